"""Whole sessions of direct service as callers and servers see them: bytes.

The same sessions are given to a naive proxy, whose servers must run the same
statements and whose callers must get the same answers.
"""

import asyncio
import pathlib
import random
import sys
import unittest
from typing import NamedTuple

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A package named `platform` would clash with the standard library's module.
sys.path.insert(0, str(ROOT / "platform"))

from tests import naive_lines, wire_world  # noqa: E402

bounded = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=400,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)


DROP_PROBABILITY = 0.3


def has_no_line_end(data: bytes) -> bool:
    """Returns whether bytes may be the end of a message."""
    return naive_lines.LINE_END not in data


ODD = (
    b" ",
    b"  ",
    b"\t",
    b"\r",
    b"\n",
    b"\n\r",
    b"\x00",
    b"\xff",
    b"\xed\xa0\x80",
    b"\xc2\x85",
    b"\xe2\x80\xa8",
    b"a",
    b"fail",
    b"AFTER 1.1 ",
    b"\xf0\x9f\x98\x80",
)
texts = st.one_of(
    st.lists(st.sampled_from(ODD), max_size=6).map(b"".join),
    st.binary(max_size=12),
).filter(has_no_line_end)
filled = texts.filter(bool)
words = st.one_of(
    st.sampled_from((b"s", b"t", b"a", b"b", b"aa", b"\xff", b"-", b"\n")),
    st.binary(min_size=1, max_size=3),
).filter(lambda word: b" " not in word and has_no_line_end(word))
kinds = st.sampled_from((b"READ", b"WRITE"))
shapes = st.one_of(st.sampled_from((b"q", b"q ", b"\xff", b" q", b"")), texts)


def spaced(*parts: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Returns a strategy for texts of several fields."""
    return st.tuples(*parts).map(b" ".join).filter(has_no_line_end)


allowed = st.one_of(
    st.sampled_from((b"BEGIN", b"BEGIN READ", b"COMMIT", b"ROLLBACK")),
    spaced(st.just(b"READ"), filled),
    spaced(st.just(b"WRITE"), words, texts),
    spaced(st.just(b"SET"), words, texts),
    spaced(st.just(b"PREPARE"), words, kinds, shapes),
    spaced(st.just(b"EXECUTE"), words),
    spaced(st.just(b"EXECUTE"), words, texts),
    spaced(st.just(b"EXECUTE"), words, words, texts),
    spaced(st.just(b"DEALLOCATE"), words),
)
REFUSED_TEXTS = (
    b"",
    b" ",
    b"SET",
    b"SET ",
    b"SET s",
    b"SET  v",
    b"PREPARE",
    b"PREPARE s",
    b"PREPARE s READ",
    b"PREPARE s MAYBE q",
    b"PREPARE  READ q",
    b"EXECUTE",
    b"EXECUTE ",
    b"EXECUTE  1a4 x",
    b"DEALLOCATE",
    b"DEALLOCATE ",
    b"READ",
    b"WRITE",
    b"BEGIN NOW",
    b"BEGIN WRITE",
    b"COMMIT s",
    b"ROLLBACK s",
    b"read 1a4",
    b"RESET",
    b"STATUS",
    b"STEPDOWN 9",
    b"PAUSE 9",
    b"AFTER 1.1 READ 1a4",
    b" READ 1a4",
    b"\xff",
)
REFUSED_LINES = (
    b"",
    b" ",
    b"\r",
    b"\n",
    b"query 1 READ 1a4",
    b"QUERY",
    b"QUERY ",
    b"QUERY 1",
    b"QUERY  READ 1a4",
    b"QUERY - READ 1a4",
    b"QUERY - RESET",
    b"QUERY - STEPDOWN 9",
    b"STARTUP db key",
    b"STARTUP",
    b"READY I -",
    b"ROW x",
    b"\xff\x00",
    b"TERMINATED",
    *(b"QUERY r " + text for text in REFUSED_TEXTS),
)
refused = st.sampled_from(REFUSED_LINES)
names = st.sampled_from((b"s", b"t", b"\xff"))
statements = st.one_of(
    spaced(st.just(b"READ"), words, texts),
    spaced(st.just(b"WRITE"), words, texts),
    spaced(st.just(b"EXECUTE"), names, words, texts),
    spaced(st.just(b"EXECUTE"), names, texts),
    spaced(st.just(b"SET"), names, texts),
    spaced(st.just(b"PREPARE"), names, kinds, shapes),
)
preparations = st.tuples(
    spaced(st.just(b"PREPARE s"), kinds, shapes),
    spaced(st.just(b"PREPARE t WRITE"), shapes),
    spaced(st.just(b"PREPARE \xff READ"), shapes),
).map(list)


def make_transaction(
    begin: bytes, inner: list[bytes], end: bytes
) -> list[bytes]:
    """Returns the statements of a transaction."""
    return [begin, *inner, end]


transactions = st.builds(
    make_transaction,
    st.sampled_from((b"BEGIN", b"BEGIN", b"BEGIN READ")),
    st.lists(statements, min_size=1, max_size=4),
    st.sampled_from((b"COMMIT", b"COMMIT", b"ROLLBACK")),
)
Message = tuple[bool, bytes]


def identify(block: list[bytes]) -> list[Message]:
    """Returns the messages of statements that each need an id."""
    return [(True, text) for text in block]


singles = st.lists(statements, min_size=1, max_size=1)
blocks = st.one_of(
    preparations.map(identify),
    transactions.map(identify),
    transactions.map(identify),
    singles.map(identify),
    singles.map(identify),
    st.lists(allowed, min_size=1, max_size=1).map(identify),
    refused.map(lambda line: [(False, line)]),
)


def make_messages(
    first: list[bytes], drawn: list[list[Message]]
) -> list[Message]:
    """Returns the messages of a session."""
    messages = identify(first)
    for block in drawn:
        messages += block
    return messages


class Script(NamedTuple):
    """What one caller sends.

    Attributes:
      database: The database.
      messages: The messages: whether an id is to be put in front, and the
        text or the whole line.
    """

    database: bytes
    messages: list[Message]

    def lines(self, session: int) -> list[bytes]:
        """Returns the lines that the caller sends after its login."""
        result = []
        for number, (is_statement, text) in enumerate(self.messages):
            if is_statement:
                text = b"QUERY %d\xff.%d " % (session, number) + text
            result.append(text)
        return result


scripts = st.builds(
    Script,
    st.sampled_from((b"db", b"aged", b"own")),
    st.builds(make_messages, preparations, st.lists(blocks, max_size=8)),
)


def join(lines: list[bytes]) -> bytes:
    """Returns the bytes of lines."""
    return b"".join(line + naive_lines.LINE_END for line in lines)


class Outcome(NamedTuple):
    """What callers and servers saw of some sessions."""

    callers: list[wire_world.WireCaller]
    record: naive_lines.Record


async def play(
    parts: list[tuple[bytes, list[bytes]]], seed: int, pieces: int = 4
) -> Outcome:
    """Plays sessions at once: database and lines; returns the outcome."""
    world = wire_world.WireWorld(seed)
    source = random.Random(seed)
    callers = []
    queues = []
    for database, lines in parts:
        callers.append(wire_world.WireCaller(world, "a"))
        data = wire_world.LOGIN % database + join(lines)
        queues.append(wire_world.cut(data, source, pieces))
    for index in range(pieces + 1):
        for caller, queue in zip(callers, queues, strict=True):
            caller.send(queue[index])
        await world.run_on(source.choice((0.0, 0.004, 0.03, 0.2)))
        if source.random() < DROP_PROBABILITY:
            world.drop_idle_links()
    await world.run_on(4.0)
    return Outcome(callers, world.record)


class SessionTestCase(unittest.TestCase):
    """Compares sessions with the naive proxy."""

    def check(
        self, parts: list[tuple[bytes, list[bytes]]], seed: int
    ) -> naive_lines.Record:
        """Plays sessions and compares them; returns what servers saw."""
        outcome = asyncio.run(play(parts, seed))
        self.assertEqual(outcome.record.errors, [])
        self.assertLessEqual(
            outcome.record.longest, naive_lines.MAX_MESSAGE_BYTES
        )
        runs = []
        commits = []
        for caller, (_, lines) in zip(outcome.callers, parts, strict=True):
            naive = naive_lines.NaiveProxy()
            for line in lines:
                naive.handle(line)
            opened = naive_lines.Reply((), b"I")
            self.assertEqual(caller.replies(), [opened, *naive.replies])
            self.assertFalse(caller.transport.is_closed)
            for line in caller.lines():
                self.assertLessEqual(len(line), naive_lines.MAX_MESSAGE_BYTES)
            self.check_runs(outcome.record, naive)
            runs += naive.record.runs
            commits += naive.record.commits
        self.assertCountEqual(outcome.record.runs, runs)
        self.assertCountEqual(outcome.record.commits, commits)
        return outcome.record

    def check_runs(
        self, record: naive_lines.Record, naive: naive_lines.NaiveProxy
    ) -> None:
        """Compares the statements of one session."""
        expected = naive.record
        own = {run.request for run in expected.runs}
        runs = []
        places = []
        for run, place in zip(record.runs, record.places, strict=True):
            if run.request in own:
                runs.append(run)
                places.append(place)
        self.assertEqual(runs, expected.runs)
        for request, text in expected.texts.items():
            self.assertEqual(record.texts[request], text)
        found: dict[int, naive_lines.Place] = {}
        for number, place in zip(naive.transactions, places, strict=True):
            if number:
                self.assertGreater(place.transaction, 0)
                self.assertEqual(found.setdefault(number, place), place)
        self.assertEqual(len(set(found.values())), len(found))


class SameAsNaiveProxyTest(SessionTestCase):
    """Text, names, values or answers differ from what was sent."""

    @bounded
    @given(st.lists(scripts, min_size=1, max_size=3), st.integers(1, 1000))
    def test_drawn_sessions(self, drawn: list[Script], seed: int) -> None:
        parts = []
        for number, script in enumerate(drawn):
            parts.append((script.database, script.lines(number)))
        self.check(parts, seed)


class RefusedMessageTest(SessionTestCase):
    """A message that is not allowed costs the session more than an error."""

    def check_refused(self, refused_lines: list[bytes]) -> None:
        """Checks messages one by one, outside and inside a transaction."""
        for number, line in enumerate(refused_lines):
            with self.subTest(line[:40]):
                lines = [
                    b"QUERY a SET x  1 ",
                    b"QUERY b PREPARE s READ q ",
                    line,
                    b"QUERY c EXECUTE s 1 ",
                    b"QUERY d BEGIN",
                    b"QUERY e WRITE 1 x ",
                    line,
                    b"QUERY f EXECUTE s 2",
                    b"QUERY g COMMIT",
                    b"QUERY h EXECUTE s 3 ",
                ]
                record = self.check([(b"db", lines)], number)
                ran = [run.request for run in record.runs]
                self.assertEqual(ran, [b"c", b"e", b"h"])
                self.assertEqual(record.commits, [])

    def test_messages_that_are_none(self) -> None:
        self.check_refused(list(REFUSED_LINES))

    def test_message_over_the_limit(self) -> None:
        limit = naive_lines.MAX_MESSAGE_BYTES
        beginnings = (b"", b"QUERY z WRITE 1 ", b"QUERY - RESET ", b"STARTUP ")
        lines = []
        for beginning in beginnings:
            for size in (limit + 1, limit + 2, 3 * limit):
                lines.append(beginning + b"x" * (size - len(beginning)))
        self.check_refused(lines)

    def test_first_message_that_is_no_login(self) -> None:
        limit = naive_lines.MAX_MESSAGE_BYTES
        for line in (b"", b"QUERY 1 READ 1", b"HELLO", b"x" * (limit + 1)):
            with self.subTest(line[:40]):
                received, is_closed = asyncio.run(self.start(line))
                self.assertTrue(received.startswith(b"ERROR MALFORMED"))
                self.assertEqual(received.count(b"\r\n"), 1)
                self.assertTrue(is_closed)

    async def start(self, line: bytes) -> tuple[bytes, bool]:
        """Returns what a caller receives, and whether it is closed."""
        world = wire_world.WireWorld()
        caller = wire_world.WireCaller(world, "a")
        caller.send(line + naive_lines.LINE_END)
        caller.send(wire_world.LOGIN % b"db")
        await world.run_on(0.5)
        return bytes(caller.received), caller.transport.is_closed


class FailedTransactionTest(SessionTestCase):
    """A failed transaction answered something else than MALFORMED."""

    def test_unknown_name(self) -> None:
        lines = [b"QUERY a BEGIN", b"QUERY b BEGIN", b"QUERY c EXECUTE s 1"]
        self.check([(b"db", lines)], 1)


class EmptyFieldTest(SessionTestCase):
    """An empty value or shape was refused."""

    def test_empty_value(self) -> None:
        lines = [b"QUERY a SET x ", b"QUERY b READ 1"]
        self.check([(b"db", lines)], 1)

    def test_empty_shape(self) -> None:
        lines = [b"QUERY a PREPARE s READ ", b"QUERY b EXECUTE s 1"]
        self.check([(b"db", lines)], 1)


class SharedConnectionTest(SessionTestCase):
    """State of one session was used for another on a shared connection."""

    def test_many_shapes_on_one_connection(self) -> None:
        first = []
        second = []
        for number in range(450):
            prepare = b"QUERY %s%d PREPARE %s%d WRITE q%d "
            execute = b"QUERY %s%d.%d EXECUTE %s%d 1 %d "
            first.append(prepare % (b"a", number, b"s", number, number))
            # One that is new on the connection, and one of long before.
            for earlier in (number, max(0, number - 120)):
                fields = (b"a", number, earlier, b"s", earlier, number)
                first.append(execute % fields)
            if number % 3 == 0:
                shape = number // 2
                second.append(prepare % (b"b", number, b"s", 0, shape))
                second.append(execute % (b"b", number, 0, b"s", 0, number))
        record = self.check_slowly([first, second])
        self.assertGreater(record.resets, 0)
        self.assertLessEqual(record.prepared, 201)

    def test_two_sessions_with_the_same_names(self) -> None:
        sessions = []
        for mark in (b"a", b"b", b"c"):
            lines = []
            for number in range(40):
                name = b"s%d" % (number % 3)
                value = b" " * (number % 4) + mark
                request = b"%s%d" % (mark, number)
                lines.append(b"QUERY %s SET x %s" % (request, value))
                lines.append(b"QUERY %s SET y%s 1" % (request, mark))
                shape = b"READ q%s " % (mark * (number % 2))
                lines.append(b"QUERY x PREPARE %s %s" % (name, shape))
                lines.append(b"QUERY %s EXECUTE %s 1 " % (request, name))
            sessions.append(lines)
        record = self.check_slowly(sessions)
        self.assertGreater(record.resets, 0)

    def check_slowly(self, sessions: list[list[bytes]]) -> naive_lines.Record:
        """Plays sessions in turns, with few statements waiting; compares."""
        outcome = asyncio.run(self.play_slowly(sessions))
        expected = []
        for caller, lines in zip(outcome.callers, sessions, strict=True):
            naive = naive_lines.NaiveProxy()
            for line in lines:
                naive.handle(line)
            self.assertEqual(caller.replies()[1:], naive.replies)
            expected += naive.record.runs
        self.assertCountEqual(outcome.record.runs, expected)
        self.assertEqual(outcome.record.errors, [])
        return outcome.record

    async def play_slowly(self, sessions: list[list[bytes]]) -> Outcome:
        """Plays sessions in turns, four messages at a time."""
        world = wire_world.WireWorld()
        callers = []
        for _ in sessions:
            caller = wire_world.WireCaller(world, "a")
            caller.send(wire_world.LOGIN % b"db")
            callers.append(caller)
        for start in range(0, max(map(len, sessions)), 4):
            for caller, lines in zip(callers, sessions, strict=True):
                caller.send(join(lines[start : start + 4]))
                await world.run_on(0.05)
        await world.run_on(2.0)
        return Outcome(callers, world.record)

    def test_caller_that_left_in_a_transaction(self) -> None:
        record = asyncio.run(self.leave())
        self.assertEqual(record.commits, [b"n"])
        last = record.runs[-1]
        self.assertEqual((last.request, last.values), (b"n", ()))
        self.assertEqual(record.places[-1].transaction, 0)

    async def leave(self) -> naive_lines.Record:
        """Plays a session that leaves and then one beside it."""
        world = wire_world.WireWorld()
        one = wire_world.WireCaller(world, "a")
        lines = [b"QUERY a SET x  ", b"QUERY b BEGIN", b"QUERY c WRITE 1 x"]
        one.send(wire_world.LOGIN % b"db" + join(lines))
        await world.run_on(0.1)
        other = wire_world.WireCaller(world, "a")
        one.leave()
        other.send(wire_world.LOGIN % b"db" + join([b"QUERY n WRITE 2 y"]))
        await world.run_on(1.0)
        return world.record


if __name__ == "__main__":
    unittest.main()
