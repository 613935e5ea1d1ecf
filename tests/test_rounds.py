"""Tests for rounds, the session's settings and the reading of answers."""

import struct
import unittest

import hypothesis
from hypothesis import strategies as st

from cuminwall import (
    answers,
    exceptions,
    outcomes,
    rounds,
    session_effects,
    session_rounds,
    session_settings,
    statements,
    wire,
    work,
)

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)
CACHE = statements.StatementCache()

FLUSH = wire.Message(b"H", b"").encode()
SYNC = wire.sync()
INSERT = "INSERT INTO t VALUES (1)"


def bind(name, portal=""):
    payload = wire.cstring(portal) + wire.cstring(name) + b"\0" * 6
    return wire.Message(b"B", payload).encode()


def describe(name, kind=b"S"):
    return wire.Message(b"D", kind + wire.cstring(name)).encode()


def execute(portal=""):
    return wire.Message(b"E", wire.cstring(portal) + b"\0" * 4).encode()


def bind_and_execute(name):
    return bind(name) + execute()


def complete(command):
    return wire.command_complete(command)


PARSED = wire.Message(b"1", b"").encode()
CLOSED = wire.Message(b"3", b"").encode()
ERROR = wire.error_response("42601", "syntax error")


PREPARE_AND_BIND = wire.parse_message("", INSERT) + bind("")


class Driver:
    """Feeds bytes to a session and ends each round as a server would."""

    def __init__(self, **options):
        self.rounds = session_rounds.SessionRounds(CACHE, **options)
        self.framer = wire.Framer()
        self.actions = []
        self.reported = {}

    def feed(self, data, answer=None, status=b"I", failure=None):
        """Returns the cuts of `data`; each round gets `answer`."""
        cuts = []
        for message in self.framer.feed(data):
            cut = self.rounds.add(message)
            if cut is None:
                continue
            cuts.append(cut)
            ready = cut
            if isinstance(cut, rounds.Refused):
                ready = cut.sync_round
            if isinstance(ready, rounds.RoundReady):
                self.end(ready, answer, status, failure)
        self.actions += cuts
        return cuts

    def end(self, ready, answer, status, failure):
        seen = answers.AnswerReader()
        if answer is None:
            answer = b"".join(_success(mark) for mark in ready.marks)
        seen.feed(answer)
        end = work.RoundEnd(status, failure)
        self.reported.update(self.rounds.finish(ready, seen, end))

    def only(self, data, **answer):
        """Returns the one cut of `data`."""
        (cut,) = self.feed(data, **answer)
        return cut


def _success(mark):
    return {b"1": PARSED, b"3": CLOSED}.get(mark.tag, complete("X"))


class PreparedStatementTest(unittest.TestCase):
    """Names of statements, and when they count."""

    def test_names_come_from_the_content(self):
        names = set()
        for name in ("", "mine"):
            driver = Driver()
            cut = driver.only(wire.parse_message(name, "SELECT 1") + SYNC)
            names.add(cut.round_.steps[0].parsed_name)
        self.assertEqual(len(names), 1)
        other = rounds.make_prepared("SELECT 1", (23,)).name
        self.assertNotIn(other, names)

    def test_a_later_round_includes_the_statement(self):
        driver = Driver()
        driver.feed(wire.parse_message("a", INSERT, [23]) + SYNC)
        cut = driver.only(bind("a") + describe("a") + execute() + SYNC)
        prepared = rounds.make_prepared(INSERT, (23,))
        self.assertEqual(cut.round_.prepared, (prepared,))
        self.assertIs(cut.round_.access, work.Access.WRITE)
        for step in cut.round_.steps[:2]:
            self.assertIn(prepared.name.encode(), step.message)

    def test_a_statement_parsed_in_the_round_is_not_prepared_before(self):
        cut = Driver().only(
            wire.parse_message("", "SELECT 1") + bind_and_execute("") + SYNC
        )
        self.assertEqual(cut.round_.prepared, ())
        self.assertIs(cut.round_.access, work.Access.READ)

    def test_a_failed_parse_leaves_no_statement(self):
        driver = Driver()
        two = wire.parse_message("a", "SELECT 1") + wire.parse_message(
            "b", "SELECT 2"
        )
        driver.feed(two + SYNC, answer=PARSED + ERROR)
        self.assertEqual(set(driver.rounds.statements), {"a"})
        cut = driver.feed(bind_and_execute("b") + SYNC)[0]
        self.assertIs(cut.failure, outcomes.UNKNOWN_STATEMENT)

    def test_close_is_answered_and_keeps_the_shared_statement(self):
        driver = Driver()
        driver.feed(wire.parse_message("a", "SELECT 1") + SYNC)
        cut = driver.only(wire.close_statement("a") + SYNC)
        sent = wire.close_statement(rounds.ABSENT_STATEMENT)
        self.assertEqual(cut.round_.steps[0].message, sent)
        self.assertEqual(driver.rounds.statements, {})

    def test_a_skipped_close_closes_nothing(self):
        driver = Driver()
        driver.feed(wire.parse_message("a", "SELECT 1") + SYNC)
        driver.feed(
            bind_and_execute("a") + wire.close_statement("a") + SYNC,
            answer=ERROR,
        )
        self.assertEqual(set(driver.rounds.statements), {"a"})

    def test_a_name_in_use_is_refused(self):
        driver = Driver()
        again = wire.parse_message("a", "SELECT 1")
        driver.feed(again + SYNC)
        cut = driver.feed(again + SYNC)[0]
        self.assertIs(cut.failure, outcomes.DUPLICATE_STATEMENT)

    def test_one_text_under_two_names_is_parsed_once(self):
        two = wire.parse_message("a", "SELECT 1") + wire.parse_message(
            "b", "SELECT 1"
        )
        steps = Driver().only(two + SYNC).round_.steps
        self.assertEqual(steps[1].parsed_name, "")
        self.assertNotEqual(steps[0].parsed_name, "")

    def test_deallocate_drops_the_statement(self):
        for sql in ("DEALLOCATE a", "DEALLOCATE ALL", "DISCARD ALL"):
            driver = Driver()
            driver.feed(wire.parse_message("a", "SELECT 1") + SYNC)
            driver.feed(wire.query(sql))
            self.assertEqual(driver.rounds.statements, {})


class RefusalTest(unittest.TestCase):
    """What is refused, and what follows."""

    def test_a_refused_parse_skips_to_sync(self):
        driver = Driver()
        data = wire.parse_message("", "LISTEN a") + bind_and_execute("") + SYNC
        refused, ready = driver.feed(data)
        self.assertIs(refused.failure, outcomes.NOT_CARRIED)
        self.assertFalse(refused.synced)
        self.assertEqual(ready, rounds.LocalAnswer(b"", True))

    def test_nothing_of_a_refused_round_is_sent(self):
        driver = Driver()
        driver.feed(wire.parse_message("a", INSERT) + SYNC)
        data = bind_and_execute("a") + wire.parse_message("", "LISTEN a") + SYNC
        for cut in driver.feed(data):
            self.assertNotIsInstance(cut, rounds.RoundReady)

    def test_a_refused_query_is_followed_by_ready_at_once(self):
        cut = Driver().only(wire.query("SELECT 1; LISTEN a"))
        self.assertEqual(
            (cut.failure, cut.synced), (outcomes.NOT_CARRIED, True)
        )

    def test_a_round_over_a_limit_changes_nothing(self):
        limits = rounds.Limits(round_bytes=2_000, statements=2, portals=2)
        driver = Driver(limits=limits)
        for name in "ab":
            driver.feed(wire.parse_message(name, "SELECT 1") + SYNC)
        cut = driver.feed(wire.parse_message("c", "SELECT 1") + SYNC)[0]
        self.assertIs(cut.failure, outcomes.TOO_MANY_STATEMENTS)
        portals = b"".join(bind("a", name) for name in "xyz")
        cut = driver.feed(portals + SYNC)[0]
        self.assertIs(cut.failure, outcomes.TOO_MANY_STATEMENTS)
        cut = driver.feed(bind_and_execute("a") * 10 + SYNC)[0]
        self.assertIs(cut.failure, outcomes.ROUND_TOO_LARGE)
        cut = driver.only(bind_and_execute("a") + SYNC)
        self.assertIsInstance(cut, rounds.RoundReady)

    def test_texts_of_statements_are_bounded(self):
        driver = Driver(limits=rounds.Limits(statement_characters=20))
        steps = (
            (wire.parse_message("a", "SELECT 1"), "a"),
            (wire.parse_message("b", "SELECT 2"), "ab"),
            (wire.parse_message("c", "SELECT 3"), "ab"),
            (wire.close_statement("a"), "b"),
            (wire.parse_message("c", "SELECT 3"), "bc"),
        )
        for _ in range(3):
            for message, names in steps:
                driver.feed(message + SYNC)
                self.assertEqual(set(driver.rounds.statements), set(names))
            driver.feed(wire.query("DEALLOCATE ALL"))

    def test_settings_are_bounded(self):
        driver = Driver()
        for number in range(rounds.MAX_SETTINGS):
            driver.feed(wire.query(f"SET a.b{number} = 1"))
        cut = driver.only(wire.query("SET a.c = 1"))
        self.assertIs(cut.failure, outcomes.BAD_SETTING)
        cut = driver.only(wire.query("SET a.b0 = 2"))
        self.assertIsInstance(cut, rounds.RoundReady)

    def test_unknown_or_malformed_messages_raise(self):
        broken = [(b"?", b""), (b"P", b"a"), (b"P", b"a\0b\0"), (b"E", b"\0")]
        for tag, payload in broken:
            with self.assertRaises(exceptions.ProtocolError):
                Driver().feed(wire.Message(tag, payload).encode())


class FlushTest(unittest.TestCase):
    """Rounds that end in a Flush."""

    def test_a_flush_ends_a_round_without_ready(self):
        driver = Driver()
        first, second = driver.feed(PREPARE_AND_BIND + FLUSH + execute() + SYNC)
        self.assertFalse(first.synced or first.round_.synced)
        self.assertTrue(second.synced and second.round_.synced)
        self.assertEqual(driver.feed(FLUSH), [rounds.LocalAnswer(b"", False)])

    def test_preparing_statements_holds_no_server_connection(self):
        driver = Driver()
        parse = wire.parse_message("", INSERT)
        cut = driver.only(parse + describe("") + FLUSH)
        self.assertFalse(cut.synced)
        self.assertIs(cut.round_.access, work.Access.READ)
        self.assertTrue(cut.round_.synced)
        self.assertEqual(cut.round_.steps[-1].message, SYNC)
        cut = driver.only(bind_and_execute("") + SYNC)
        self.assertIs(cut.round_.access, work.Access.WRITE)
        self.assertEqual(len(cut.round_.prepared), 1)

    def test_an_error_of_a_parse_skips_to_the_sync_of_the_caller(self):
        driver = Driver()
        driver.feed(wire.parse_message("", "x") + FLUSH, answer=ERROR)
        self.assertEqual(driver.feed(bind_and_execute("")), [])
        self.assertEqual(driver.only(SYNC), rounds.LocalAnswer(b"", True))

    def test_a_parse_after_a_flushed_portal_does_not_release_the_connection(
        self,
    ):
        driver = Driver()
        parse = wire.parse_message("b", "SELECT 1")
        driver.feed(PREPARE_AND_BIND + FLUSH)
        cut = driver.only(parse + FLUSH)
        self.assertFalse(cut.round_.synced)

    def test_after_a_server_error_the_sync_reaches_the_server(self):
        driver = Driver()
        driver.feed(PREPARE_AND_BIND + FLUSH, answer=ERROR)
        self.assertEqual(driver.feed(bind_and_execute("")), [])
        cut = driver.only(SYNC)
        self.assertEqual(cut.round_.steps, (work.Step(SYNC),))

    def test_after_a_failure_the_sync_is_answered_here(self):
        driver = Driver()
        driver.feed(
            PREPARE_AND_BIND + FLUSH, answer=b"", failure=outcomes.NO_SERVER
        )
        self.assertEqual(driver.only(SYNC), rounds.LocalAnswer(b"", True))

    def test_a_refusal_after_an_executed_flush_ends_the_session(self):
        driver = Driver()
        driver.feed(
            wire.parse_message("a", INSERT) + bind_and_execute("a") + FLUSH
        )
        cut = driver.only(wire.parse_message("", "LISTEN a"))
        self.assertTrue(cut.failure.fatal)

    def test_a_refused_query_after_a_flush_syncs_the_server(self):
        driver = Driver()
        driver.feed(PREPARE_AND_BIND + FLUSH)
        cut = driver.only(wire.query("LISTEN a"))
        self.assertEqual(cut.closing.round_.steps, (work.Step(SYNC),))

    def test_a_setting_made_before_the_error_is_undone(self):
        driver = Driver()
        parse = wire.parse_message("", "SET a.b = 1")
        driver.feed(parse + bind_and_execute("") + FLUSH)
        driver.feed(wire.parse_message("", "SELECT 1") + FLUSH, answer=ERROR)
        driver.feed(SYNC, answer=b"")
        self.assertEqual(driver.rounds.settings.in_force, {})


class ProxySettingTest(unittest.TestCase):
    """cuminwall's own settings."""

    def test_they_need_no_server(self):
        driver = Driver()
        cut = driver.only(wire.query("SET cuminwall.max_age = '2s'"))
        answer = rounds.LocalAnswer(wire.command_complete("SET"), True)
        self.assertEqual(cut, answer)
        cut = driver.only(wire.query("SELECT 1"))
        self.assertEqual(cut.round_.max_age_s, 2.0)

    def test_a_request_id_is_for_the_next_write_only(self):
        driver = Driver()
        driver.feed(wire.query("SET cuminwall.request_id = 'x'"))
        given = []
        for sql in ("SELECT 1", "BEGIN", INSERT, INSERT):
            cut = driver.only(wire.query(sql), status=b"T")
            given.append(cut.round_.request_id)
        self.assertEqual(given, ["", "", "x", ""])

    def test_a_request_id_applies_to_a_write_in_the_same_query(self):
        sql = f"SET cuminwall.request_id = 'x'; {INSERT}"
        cut = Driver().only(wire.query(sql))
        self.assertEqual(cut.round_.request_id, "x")

    def test_a_prepared_write_uses_the_request_id_when_it_runs(self):
        driver = Driver()
        driver.feed(wire.query("SET cuminwall.request_id = 'x'"))
        cut = driver.only(wire.parse_message("", INSERT) + SYNC)
        self.assertEqual(cut.round_.request_id, "")
        cut = driver.only(bind_and_execute("") + SYNC)
        self.assertEqual(cut.round_.request_id, "x")

    def test_a_session_token_is_returned_with_the_action(self):
        cut = Driver().only(wire.query("SET cuminwall.session = 't'"))
        self.assertEqual(cut.token, "t")

    def test_serializable_sessions_read_from_the_primary(self):
        driver = Driver()
        sql = (
            "SET SESSION CHARACTERISTICS AS TRANSACTION "
            "ISOLATION LEVEL SERIALIZABLE"
        )
        driver.feed(wire.query(sql))
        cut = driver.only(wire.query("SELECT 1"))
        self.assertIs(cut.round_.access, work.Access.WRITE)


class TransactionSettingTest(unittest.TestCase):
    """Settings follow the outcome of their transaction."""

    def in_force_after(self, *exchanges):
        driver = Driver()
        for sql, answer, status in exchanges:
            driver.feed(wire.query(sql), answer=answer, status=status)
        return driver.rounds.settings.in_force, driver.reported

    def test_commit_and_rollback(self):
        begin = ("BEGIN", complete("BEGIN"), b"T")
        change = ("SET timezone = 'x'", complete("SET"), b"T")
        commit = ("COMMIT", complete("COMMIT"), b"I")
        failed = ("COMMIT", complete("ROLLBACK"), b"I")
        expected = {"timezone": "x"}
        self.assertEqual(
            self.in_force_after(begin, change, commit),
            (expected, {"TimeZone": "x"}),
        )
        self.assertEqual(self.in_force_after(begin, change, failed), ({}, {}))

    def test_a_failed_query_is_undone(self):
        exchange = ("SET a.b = 1; SELECT 1", complete("SET") + ERROR, b"I")
        self.assertEqual(self.in_force_after(exchange), ({}, {}))

    def test_a_refused_value_is_not_kept(self):
        self.assertEqual(
            self.in_force_after(("SET work_mem = 'x'", ERROR, b"I")), ({}, {})
        )

    def test_settings_of_a_transaction_apply_after_its_commit(self):
        driver = Driver()
        driver.feed(wire.query("BEGIN"), status=b"T")
        driver.feed(wire.query("SET a.b = 1"), status=b"T")
        cut = driver.only(wire.query("SELECT 1"), status=b"T")
        self.assertEqual(cut.round_.settings, ())
        driver.feed(wire.query("COMMIT"), answer=complete("COMMIT"))
        cut = driver.only(wire.query("SELECT 1"))
        self.assertEqual(cut.round_.settings, (("a.b", "1"),))


class ModelSettings:
    """A naive version: a copy of everything at each savepoint."""

    def __init__(self, startup):
        self.startup = dict(startup)
        self.base = dict(startup)
        self.now = dict(startup)
        self.saved = []

    def commit(self):
        self.base, self.saved = dict(self.now), []

    def roll_back(self):
        self.now, self.saved = dict(self.base), []

    def change(self, name, value):
        if value is None:
            value = self.startup.get(name)
        self.now = {key: v for key, v in self.now.items() if key != name}
        if value is not None:
            self.now[name] = value

    def find(self, name):
        for index in reversed(range(len(self.saved))):
            if self.saved[index][0] == name:
                return index
        return None

    def restore(self, name):
        index = self.find(name)
        if index is not None:
            self.now = dict(self.saved[index][1])
            del self.saved[index + 1 :]

    def release(self, name):
        index = self.find(name)
        if index is not None:
            del self.saved[index:]


NAMES = st.sampled_from("ab")
ACTIONS = st.one_of(
    st.tuples(st.just("set"), NAMES, st.sampled_from(["1", "2", None])),
    st.tuples(st.sampled_from(["save", "restore", "release"]), NAMES),
    st.tuples(st.sampled_from(["commit", "roll_back", "reset"])),
)


class SessionSettingsTest(unittest.TestCase):
    """The settings agree with a naive version."""

    @SETTINGS
    @hypothesis.example(
        [
            ("set", "a", "1"),
            ("save", "b"),
            ("set", "a", "2"),
            ("save", "a"),
            ("save", "b"),
            ("restore", "a"),
            ("restore", "b"),
        ]
    )
    @hypothesis.given(st.lists(ACTIONS, max_size=30))
    def test_agrees_with_the_model(self, actions):
        startup = {"a": "0"}
        settings = session_settings.SessionSettings(startup)
        naive = ModelSettings(startup)
        for kind, *arguments in actions:
            self.act(kind, arguments, settings, naive)
            self.assertEqual(settings.in_force, naive.base)
            self.assertEqual(settings.current(), naive.now)

    def act(self, kind, arguments, settings, naive):
        # A savepoint that does not exist fails on the server.
        named = kind in ("restore", "release")
        if named and naive.find(*arguments) is None:
            return
        effects = {
            "set": session_effects.SettingChanged,
            "save": session_effects.SavepointSet,
            "restore": session_effects.SavepointRestored,
            "release": session_effects.SavepointReleased,
            "reset": session_effects.SettingsReset,
        }
        if kind in effects:
            session_settings.apply(effects[kind](*arguments), settings)
        else:
            getattr(settings, kind)()
        if kind == "set":
            naive.change(*arguments)
        elif kind == "save":
            naive.saved.append((arguments[0], dict(naive.now)))
        elif kind == "reset":
            naive.now = dict(naive.startup)
        else:
            getattr(naive, kind)(*arguments)


MESSAGES = st.sampled_from(
    [
        wire.query("SELECT 1"),
        wire.query(INSERT),
        wire.query("SET a.b = 1"),
        wire.query("SET cuminwall.max_age = 1"),
        wire.query("LISTEN a"),
        wire.parse_message("a", "SELECT 2"),
        wire.parse_message("", INSERT),
        wire.parse_message("", "LISTEN a"),
        wire.close_statement("a"),
        bind_and_execute(""),
        bind_and_execute("a"),
        describe("a"),
        FLUSH,
        SYNC,
    ]
)


class StreamTest(unittest.TestCase):
    """Bytes in any pieces, and bytes that are no messages."""

    @SETTINGS
    @hypothesis.given(st.lists(MESSAGES, max_size=12), st.data())
    def test_any_split_gives_the_same_rounds(self, messages, data):
        stream = b"".join(messages)
        whole = Driver()
        whole.feed(stream)
        pieces = Driver()
        for piece in split(stream, data):
            pieces.feed(piece)
        self.assertEqual(pieces.actions, whole.actions)
        self.assertEqual(pieces.rounds.statements, whole.rounds.statements)

    @SETTINGS
    @hypothesis.given(
        st.lists(
            st.one_of(
                MESSAGES,
                st.binary(max_size=40),
                st.builds(
                    lambda tag, body: wire.Message(tag, body).encode(),
                    st.sampled_from([bytes([c]) for c in b"BCDEFHPQSdcfX?"]),
                    st.binary(max_size=40),
                ),
            ),
            max_size=8,
        )
    )
    def test_invalid_bytes_raise_only_a_protocol_error(self, pieces):
        driver = Driver()
        try:
            driver.feed(b"".join(pieces))
        except exceptions.ProtocolError:
            return
        for cut in driver.actions:
            self.assertIsInstance(cut, rounds.RoundAction)

    @SETTINGS
    @hypothesis.given(
        st.lists(
            st.one_of(
                st.sampled_from([PARSED, CLOSED, ERROR, complete("COMMIT")]),
                st.binary(max_size=99).map(lambda row: wire.data_row([row])),
                st.builds(
                    lambda code: wire.Message(
                        b"N", b"C" + wire.cstring(code) + b"\0"
                    ).encode(),
                    st.sampled_from(["25P01", "01000"]),
                ),
            ),
            max_size=8,
        ),
        st.booleans(),
        st.data(),
    )
    def test_any_split_of_an_answer_gives_the_same_result(
        self, messages, muted, data
    ):
        seen = answers.AnswerReader(muted)
        pieces = split(b"".join(messages), data)
        passed = b"".join(seen.feed(piece) for piece in pieces)
        expected, completions, failed = self.read_model(messages, muted)
        self.assertEqual(passed, expected)
        tags = [completion.command for completion in seen.completions]
        self.assertEqual(tags, completions)
        self.assertEqual(seen.failed, failed)

    def read_model(self, messages, muted):
        expected = b""
        completions = []
        for message in messages:
            if message[:1] == b"N" and b"25P01" in message and muted:
                continue
            expected += message
            if message[:1] in b"13C":
                command = "COMMIT" if message[:1] == b"C" else ""
                completions.append(command)
        return expected, completions, ERROR in messages


def split(stream, data):
    """Returns the stream in pieces that hypothesis chooses."""
    places = st.lists(st.integers(0, len(stream)), max_size=6)
    cuts = sorted([0, *data.draw(places), len(stream)])
    return [stream[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]


class FramerTest(unittest.TestCase):
    """Lengths that no message may have."""

    def test_impossible_lengths_raise(self):
        for length in (0, 3, 2**31):
            header = struct.pack("!cI", b"Q", length)
            with self.assertRaises(exceptions.ProtocolError):
                wire.Framer().feed(header)


if __name__ == "__main__":
    unittest.main()
