"""Tests of connections to backend servers."""

import asyncio
import struct
import time
import unittest

import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall import (
    backend,
    backend_channel,
    backend_errors,
    backend_plan,
    backend_settings,
    exceptions,
    wire,
    work,
)
from tests import fake_server, naive_backend

SILENCE_S = 0.15


def step(message: bytes) -> work.Step:
    return work.Step(message)


def parse(sql: str, name: str = "") -> work.Step:
    name = name or f"s_{sql}"
    return work.Step(wire.parse_message(name, sql), name)


def bind(sql: str, portal: str = "", name: str = "") -> work.Step:
    payload = wire.cstring(portal) + wire.cstring(name or f"s_{sql}")
    return step(wire.Message(b"B", payload + b"\0" * 6).encode())


def execute(portal: str = "", limit: int = 0) -> work.Step:
    payload = wire.cstring(portal) + struct.pack("!i", limit)
    return step(wire.Message(b"E", payload).encode())


def describe(kind: bytes, name: str) -> work.Step:
    return step(wire.Message(b"D", kind + wire.cstring(name)).encode())


def close(kind: bytes, name: str) -> work.Step:
    return step(wire.Message(b"C", kind + wire.cstring(name)).encode())


def prepared(*statements: str) -> tuple[work.Prepared, ...]:
    return tuple(work.Prepared(f"s_{sql}", sql, ()) for sql in statements)


SYNC = step(wire.sync())
FLUSH = step(wire.Message(b"H", b"").encode())


def query(sql: str) -> work.Step:
    return step(wire.query(sql))


def tags(data: bytes) -> str:
    found = wire.Framer().feed(data)
    return b"".join(message.tag for message in found).decode()


class BackendTestCase(fake_server.ServerTestCase):
    """Runs steps on connections to a fake server."""

    async def asyncSetUp(self):  # noqa: N802
        await super().asyncSetUp()
        self.received = []
        self.connections = []

    async def asyncTearDown(self):  # noqa: N802
        for connection in self.connections:
            connection.abort()
        await super().asyncTearDown()

    async def connect(self, within_s=fake_server.GUARD_S):
        connection = await backend.connect(
            self.target, self.deadline_in(within_s)
        )
        self.connections.append(connection)
        return connection


class LoginTest(BackendTestCase):
    """The login at a backend server."""

    async def test_scram(self):
        self.server.login_method = "scram"
        connection = await self.connect()
        self.assertTrue(connection.reusable)
        self.assertEqual(connection.login.secret, 4_000_000_000)

    async def test_wrong_password(self):
        self.server.login_method = "scram"
        with self.assertRaises(backend_errors.LoginRefusedError) as caught:
            self.target = self.target._replace(password="wrong")
            await self.connect()
        self.assertEqual(caught.exception.fields["C"], "28P01")
        self.assertFalse(caught.exception.sent)

    async def test_cleartext_is_not_sent(self):
        self.server.login_method = "cleartext"
        with self.assertRaises(backend_errors.LoginMethodError):
            await self.connect()

    async def test_server_that_does_not_finish_scram(self):
        login = backend.backend_login.Login("u", "p", "d")
        login.handle_message(wire.Message(b"R", b"\0\0\0\x0aSCRAM-SHA-256\0\0"))
        with self.assertRaises(exceptions.ProtocolError):
            login.handle_message(wire.Message(b"R", b"\0\0\0\0"))

    async def test_silent_server(self):
        self.server.accepting = False
        with self.assertRaises(exceptions.AnswerTimeoutError):
            await self.connect(within_s=SILENCE_S)
        await self.until(lambda: self.server.open_now == 0)

    async def test_nobody_listens(self):
        await self.server.stop()
        with self.assertRaises(exceptions.ConnectionLostError):
            await self.connect()


class RoundTestCase(BackendTestCase):
    """Runs rounds on one connection."""

    async def asyncSetUp(self):  # noqa: N802
        await super().asyncSetUp()
        self.connection = await self.connect()
        self.session = self.server.sessions[0]

    async def sink(self, data: bytes) -> None:
        self.received.append(data)

    async def run_round(self, *steps, **options):
        async with asyncio.timeout(fake_server.GUARD_S):
            return await self.connection.run_steps(
                steps,
                options.pop("prepared", ()),
                options.pop("settings", ()),
                options.pop("sink", self.sink),
                options.pop("timeout_s", fake_server.GUARD_S),
                **options,
            )


class AnswerTest(RoundTestCase):
    """Which part of an answer is passed to the sink."""

    async def test_small_answer_is_withheld_whole(self):
        answer = await self.run_round(query("rows 2"))
        self.assertEqual(tags(answer.completion), "TDDC")
        self.assertEqual(self.received, [])
        self.assertFalse(answer.delivered)

    async def test_large_answer_streams_all_but_the_completion(self):
        answer = await self.run_round(query("rows 3000 100"))
        self.assertTrue(answer.delivered)
        self.assertEqual(tags(b"".join(self.received)), "T" + "D" * 3000)
        self.assertEqual(tags(answer.completion), "C")

    async def test_only_the_last_completion_is_withheld(self):
        answer = await self.run_round(query("rows 3000 100;rows 0;update 1"))
        self.assertEqual(
            tags(b"".join(self.received)), "T" + "D" * 3000 + "CTC"
        )
        self.assertEqual(tags(answer.completion), "C")

    async def test_description_after_the_completion(self):
        big = "rows 3000 100"
        steps = [parse(big), bind(big), execute()]
        steps += [describe(b"S", f"s_{big}"), SYNC]
        answer = await self.run_round(*steps)
        self.assertEqual(tags(answer.completion), "CtT")

    async def test_slow_sink_pauses_reading(self):
        opened = asyncio.Event()

        async def slow(data):
            self.received.append(data)
            await opened.wait()

        # The timeout for the server is shorter than the delay of the sink.
        task = asyncio.create_task(
            self.run_round(
                query("rows 20000 2000"), sink=slow, timeout_s=SILENCE_S
            )
        )
        channel = self.connection.channel
        await self.until(lambda: channel.reading_paused)
        await asyncio.sleep(2 * SILENCE_S)
        bound = backend_channel.HIGH_WATER_BYTES + 512 * 1024
        self.assertLess(channel.answers.ready_bytes, bound)
        opened.set()
        answer = await task
        self.assertEqual(
            b"".join(self.received).count(b"rows 20000 2000" * 100), 20000
        )
        self.assertEqual(tags(answer.completion), "C")

    async def test_hold_up_of_this_process_is_no_silence_of_the_server(self):
        task = asyncio.create_task(
            self.run_round(query("rows 10"), timeout_s=SILENCE_S)
        )
        # The request is sent; the server, in this process too, has not read it.
        await asyncio.sleep(0)
        time.sleep(2 * SILENCE_S)
        answer = await task
        self.assertEqual(tags(answer.completion), "T" + "D" * 10 + "C")

    async def test_server_error(self):
        answer = await self.run_round(query("begin;fail 22012"))
        self.assertEqual(answer.status, b"E")
        self.assertEqual(answer.server_error["C"], "22012")
        self.assertEqual(tags(answer.completion), "CE")
        self.assertFalse(self.connection.reusable)

    async def test_position_after_a_commit(self):
        answer = await self.run_round(query("update 1"), query_position=True)
        self.assertEqual(answer.position, self.server.position)
        self.assertEqual(tags(answer.completion), "C")

    async def test_no_position_in_a_failed_transaction(self):
        answer = await self.run_round(
            query("begin;fail 22012"), query_position=True
        )
        self.assertIsNone(answer.position)
        self.assertEqual(answer.server_error["C"], "22012")

    async def test_cancel(self):
        await self.connection.cancel(self.deadline_in())
        self.assertEqual(self.server.cancels, [1])
        self.assertFalse(self.connection.reusable)


class InvalidAnswerTest(RoundTestCase):
    """Answers that are incomplete, late, of a wrong type or missing."""

    async def test_connection_closed_within_a_message(self):

        async def cut(session):
            session.send(wire.data_row([b"x"])[:-1])
            await session.writer.drain()
            session.writer.close()

        self.handle_with(b"Q", cut)
        with self.assertRaises(backend_errors.BackendLostError) as caught:
            await self.run_round(query("rows 1"))
        self.assertTrue(caught.exception.sent)
        self.assertFalse(caught.exception.delivered)
        with self.assertRaises(backend_errors.BackendLostError) as caught:
            await self.run_round(query("rows 1"))
        self.assertFalse(caught.exception.sent)

    async def test_connection_closed_after_delivery(self):

        async def cut(session):
            shape = wire.row_description([wire.Column("v")])
            session.send(shape + wire.data_row([b"x" * 1000]) * 200)
            await self.until(lambda: self.received)
            session.writer.close()

        self.handle_with(b"Q", cut)
        with self.assertRaises(backend_errors.BackendLostError) as caught:
            await self.run_round(query("rows 1"))
        self.assertTrue(caught.exception.delivered)

    async def test_silence(self):
        self.handle_with(b"Q", lambda session: asyncio.sleep(0))
        with self.assertRaises(exceptions.AnswerTimeoutError) as caught:
            await self.run_round(query("rows 1"), timeout_s=SILENCE_S)
        self.assertTrue(caught.exception.sent)
        await self.until(lambda: self.server.open_now == 0)

    async def test_fatal_message_is_a_lost_connection(self):

        async def end(session):
            session.send(wire.error_response("57P01", "ends", "FATAL"))

        self.handle_with(b"Q", end)
        with self.assertRaises(backend_errors.BackendLostError) as caught:
            await self.run_round(query("update 1"))
        self.assertEqual(caught.exception.fields["C"], "57P01")

    async def test_extra_answer_in_the_same_packet(self):

        async def twice(session):
            one = wire.command_complete("DO") + wire.ready_for_query(b"I")
            session.send(one + one)

        self.handle_with(b"Q", twice)
        with self.assertRaises(backend_errors.BackendProtocolError):
            await self.run_round(query("notice"))
        self.assertFalse(self.connection.reusable)

    async def test_late_answer_while_idle(self):
        self.session.send(wire.command_complete("SELECT 1"))
        await self.until(lambda: self.connection.channel.closed.is_set())
        self.assertIs(
            self.connection.channel.close_reason.error_type,
            backend_errors.BackendProtocolError,
        )

    async def test_answer_of_another_kind(self):

        async def crossed(session):
            session.send(wire.Message(b"2", b"").encode())

        self.handle_with(b"P", crossed)
        with self.assertRaises(backend_errors.BackendProtocolError):
            await self.run_round(parse("rows 1"), SYNC)

    async def test_canceled_round_closes_the_connection(self):
        self.handle_with(b"Q", lambda session: asyncio.sleep(0))
        task = asyncio.create_task(self.run_round(query("rows 1")))
        await self.until(lambda: self.session.received)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await self.until(lambda: self.connection.channel.closed.is_set())


class StatementTest(RoundTestCase):
    """Prepared statements shared by sessions."""

    def parsed(self) -> list[bytes]:
        seen = self.session.received
        return [m.payload for m in seen if m.tag == b"P"]

    async def test_existing_statement_is_not_parsed_again(self):
        steps = [parse("rows 1"), bind("rows 1"), execute(), SYNC]
        first = await self.run_round(*steps)
        second = await self.run_round(*steps)
        self.assertEqual(tags(first.completion), "12DC")
        self.assertEqual(first.completion, second.completion)
        self.assertEqual(len(self.parsed()), 1)

    async def test_missing_statement_is_parsed_silently(self):
        answer = await self.run_round(
            bind("rows 1"), execute(), SYNC, prepared=prepared("rows 1")
        )
        self.assertEqual(tags(answer.completion), "2DC")

    async def test_skipped_parse_is_not_prepared(self):
        steps = [parse("bad"), parse("rows 1"), SYNC]
        answer = await self.run_round(*steps)
        self.assertEqual(tags(answer.completion), "E")
        self.assertEqual(self.connection.statements.names, {})

    async def test_flush_then_error_then_sync(self):
        answer = await self.run_round(parse("rows 1"), FLUSH)
        self.assertEqual(tags(answer.completion), "1")
        self.assertFalse(self.connection.reusable)
        answer = await self.run_round(parse("bad"), FLUSH)
        self.assertEqual(tags(answer.completion), "E")
        answer = await self.run_round(parse("rows 2"), FLUSH)
        self.assertEqual(answer.completion, b"")
        answer = await self.run_round(parse("rows 3"), SYNC)
        self.assertEqual((answer.completion, answer.status), (b"", b"I"))
        self.assertEqual(list(self.connection.statements.names), ["s_rows 1"])
        self.assertTrue(self.connection.reusable)

    async def test_number_of_statements_is_bounded(self):
        self.connection.statements.limit = 3
        for count in range(8):
            answer = await self.run_round(parse(f"rows {count}"), SYNC)
            self.assertEqual(tags(answer.completion), "1")
            held = self.session.statements
            self.assertEqual(set(held), set(self.connection.statements.names))
            self.assertLessEqual(len(held), 3)

    async def test_outdated_statement_is_parsed_again(self):
        await self.run_round(parse("fail 0A000"), SYNC)
        for _ in range(2):
            answer = await self.run_round(
                bind("fail 0A000"),
                execute(),
                SYNC,
                prepared=prepared("fail 0A000"),
            )
            self.assertEqual(tags(answer.completion), "2E")
        self.assertEqual(len(self.parsed()), 2)


class SettingsTest(RoundTestCase):
    """Session settings do not leak into other sessions."""

    def server_settings(self) -> dict[str, str]:
        return self.session.settings

    async def test_each_round_gets_its_own_settings(self):
        for wanted in ({"a": "1"}, {"a": "2", "b.c": "x"}, {}, {"a": "2"}):
            await self.run_round(
                query("rows 1"), settings=tuple(wanted.items())
            )
            self.assertEqual(self.server_settings(), wanted)

    async def test_round_is_not_sent_after_a_refused_setting(self):
        answer = await self.run_round(
            query("update 1"), settings=(("a", "refused"),)
        )
        self.assertIsInstance(answer, backend_settings.SettingRefused)
        self.assertEqual(answer.fields["C"], "22023")
        seen = [m.payload for m in self.session.received]
        self.assertNotIn(b"update 1\0", seen)
        self.assertTrue(self.connection.reusable)

    async def test_setting_refused_after_it_was_accepted_before(self):
        wanted = (("a", "1"),)
        await self.run_round(query("rows 1"), settings=wanted)
        await self.run_round(query("rows 1"))

        async def refuse(session, message):
            if message.payload.startswith(b"SET a"):
                session.fail("22023")
                session.send(wire.ready_for_query(b"I"))
                return True
            return False

        self.server.hook = refuse
        with self.assertRaises(backend_errors.BackendProtocolError) as caught:
            await self.run_round(query("update 1"), settings=wanted)
        self.assertTrue(caught.exception.sent)

    async def test_list_of_names_is_not_quoted_as_one(self):
        wanted = {"search_path": "a, b"}
        change = backend_settings.plan_change({}, wanted, False)
        self.assertEqual(
            change.sql,
            "SELECT pg_catalog.set_config('search_path', 'a, b', false)",
        )

    async def test_role_is_refused_without_sending_it(self):
        answer = await self.run_round(
            query("update 1"), settings=(("ROLE", "admin"),)
        )
        self.assertEqual(answer.names, ("ROLE",))
        self.assertEqual(self.session.received, [])

    async def test_value_is_quoted(self):
        change = backend_settings.plan_change({}, {"a": "x'; y\\"}, False)
        self.assertEqual(change.sql, "SET a TO E'x''; y\\\\'")

    async def test_setting_in_a_transaction_that_rolls_back(self):
        await self.run_round(query("begin"))
        wanted = (("a", "1"),)
        await self.run_round(query("rows 1"), settings=wanted)
        self.assertEqual(self.server_settings(), {"a": "1"})
        await self.run_round(query("rollback"), settings=wanted)
        self.assertEqual(self.server_settings(), {})
        await self.run_round(query("rows 1"), settings=wanted)
        self.assertEqual(self.server_settings(), {"a": "1"})

    async def test_setting_of_a_statement_is_reset(self):
        await self.run_round(query("SET a TO '1'"))
        self.assertEqual(self.server_settings(), {"a": "1"})
        await self.run_round(query("rows 1"))
        self.assertEqual(self.server_settings(), {})

    async def test_no_reset_inside_a_transaction(self):
        await self.run_round(query("begin;SET a TO '1'"))
        await self.run_round(query("rows 1"))
        self.assertEqual(self.server_settings(), {"a": "1"})
        await self.run_round(query("commit"))
        await self.run_round(query("rows 1"))
        self.assertEqual(self.server_settings(), {})

    async def test_undetected_change_is_reset(self):
        wanted = (("b", "1"),)
        await self.run_round(
            query("notice"), settings=wanted, may_change_session=True
        )
        self.server_settings()["a"] = "left behind"
        await self.run_round(query("rows 1"), settings=wanted)
        self.assertEqual(self.server_settings(), {"b": "1"})


STATEMENTS = (
    "rows 0",
    "rows 2",
    "rows 900 100",
    "update 1",
    "bad",
    "fail 22012",
    "notice",
    "",
    "begin",
    "commit",
    "rollback",
)

ACTIONS = st.one_of(
    st.tuples(st.just("parse"), st.sampled_from(STATEMENTS)),
    st.tuples(
        st.sampled_from(("bind", "describe", "close")), st.integers(0, 5)
    ),
    st.tuples(st.just("execute"), st.sampled_from((0, 1, 2))),
    st.tuples(st.just("run"), st.sampled_from(STATEMENTS)),
    st.tuples(st.sampled_from(("portal", "close portal")), st.just(0)),
)
ROUNDS = st.one_of(
    st.tuples(
        st.integers(0, 2),
        st.lists(ACTIONS, max_size=6),
        st.sampled_from(("sync", "sync", "flush")),
    ),
    st.tuples(
        st.integers(0, 2),
        st.lists(st.sampled_from(STATEMENTS), min_size=1, max_size=3),
        st.just("query"),
    ),
)


class Caller:
    """A session: its naive connection, and its names for statements.

    Statement names are never used twice, as the front end ensures.
    """

    def __init__(self, naive: naive_backend.NaiveConnection, number: int):
        self.naive = naive
        self.number = number
        self.names: list[tuple[str, str]] = []
        self.count = 0
        self.skipping = False
        self.pending: list[tuple[str, str]] = []

    def make_name(self, sql: str) -> str:
        self.count += 1
        name = f"own{self.count}"
        self.names.append((name, sql))
        return name

    def translate(self, actions):
        """Returns the unchanged messages, the steps and the statements."""
        own, steps, used = [], [], set()
        for action, value in actions:
            if action == "parse" or action == "run":
                name = self.make_name(value)
                used.add(value)
                own.append(wire.parse_message(name, value))
                steps.append(parse(value))
                if action == "parse":
                    continue
                own += [bind("", "", name).message, execute().message]
                steps += [bind(value), execute()]
                continue
            if action == "execute":
                own.append(execute("", value).message)
                steps.append(execute("", value))
                continue
            if action in ("portal", "close portal"):
                message = describe if action == "portal" else close
                own.append(message(b"P", "").message)
                steps.append(message(b"P", ""))
                continue
            if not self.names:
                continue
            name, sql = self.names[value % len(self.names)]
            if action == "bind":
                own.append(bind("", "", name).message)
                steps.append(bind(sql))
                used.add(sql)
                continue
            if action == "describe":
                used.add(sql)
            else:
                self.names.remove((name, sql))
            message = describe if action == "describe" else close
            own.append(message(b"S", name).message)
            steps.append(message(b"S", f"s_{sql}"))
        return own, steps, prepared(*sorted(used))


class DifferentialTest(unittest.TestCase):
    """A shared connection gives the same answers as separate ones."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(rounds=st.lists(ROUNDS, max_size=12), limit=st.integers(1, 4))
    def test_answers_equal_those_of_separate_connections(self, rounds, limit):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self.compare(rounds, limit))

    async def compare(self, rounds, limit):
        server = fake_server.FakeServer()
        port = await server.start()
        loop = asyncio.get_running_loop()
        connection = await backend.connect(
            fake_server.make_target(port), loop.time() + fake_server.GUARD_S
        )
        connection.statements.limit = limit
        callers = []
        for number in range(3):
            naive = await naive_backend.NaiveConnection.open(port)
            callers.append(Caller(naive, number))
        owner = None
        try:
            async with asyncio.timeout(fake_server.GUARD_S):
                for number, content, end in rounds:
                    # During an open batch or transaction the connection
                    # stays with its session.
                    caller = owner or callers[number]
                    await self.run_round(connection, caller, content, end)
                    owner = None if connection.reusable else caller
                    self.assertEqual(
                        set(server.sessions[0].statements) - {""},
                        set(connection.statements.names),
                    )
        finally:
            connection.abort()
            for caller in callers:
                caller.naive.close()
            await server.stop()

    async def run_round(self, connection, caller, content, end):
        if end == "query":
            if connection.skipping:
                return
            message = wire.query(";".join(content))
            own, steps, needed = [message], [step(message)], ()
        else:
            own, steps, needed = caller.translate(content)
            last = SYNC if end == "sync" else FLUSH
            own.append(last.message)
            steps.append(last)
        expected, caller.skipping = await caller.naive.run(own, caller.skipping)
        received = []

        async def sink(data):
            received.append(data)

        answer = await connection.run_steps(
            steps, needed, (), sink, fake_server.GUARD_S
        )
        got = wire.Framer().feed(b"".join(received) + answer.completion)
        self.assertEqual(
            got, [message for message in expected if message.tag != b"Z"]
        )
        if expected and expected[-1].tag == b"Z":
            self.assertEqual(answer.status, expected[-1].payload)
        self.remove_unparsed(caller, own, expected)

    def remove_unparsed(self, caller, own, answers):
        """Removes names whose Parse failed or was skipped."""
        parsed = sum(1 for answer in answers if answer.tag == b"1")
        for message in own:
            if message[:1] != b"P":
                continue
            if parsed:
                parsed -= 1
                continue
            name = wire.read_cstring(message, 5)[0]
            caller.names = [n for n in caller.names if n[0] != name]


class PlanTest(unittest.TestCase):
    """Invalid rounds are refused."""

    def test_query_in_skipped_batch_is_refused(self):
        planner = backend_plan.Planner(backend_plan.PreparedStatements(), ())
        with self.assertRaises(exceptions.ProtocolError):
            planner.plan([query("rows 1")], skipping=True)


if __name__ == "__main__":
    unittest.main()
