"""Tests for callers' connections, with a fake serving side."""

import asyncio
import functools
import os
import pathlib
import socket
import ssl
import struct
import unittest

# The loop must not open an io_uring ring.
os.environ["UV_USE_IO_URING"] = "0"

import asyncpg
import pg8000.native
import psycopg
import uvloop
from loguru import logger

from cuminwall import (
    caller_limits,
    front_end,
    logins,
    outcomes,
    rounds,
    wire,
    work,
)
from tests import fake_service

GUARD_S = 30
SHORT_S = 0.05
CERTIFICATE = pathlib.Path(__file__).parent / "data" / "localhost.pem"
INSERT = "INSERT INTO t VALUES (1)"


def setUpModule():  # noqa: N802
    logger.disable("cuminwall")


def tearDownModule():  # noqa: N802
    logger.enable("cuminwall")


def on_uvloop(test):
    """Runs an async test on uvloop, with a guard."""

    @functools.wraps(test)
    def run(self):
        uvloop.run(asyncio.wait_for(self.run_with_front_end(test), GUARD_S))

    return run


class Caller:
    """A caller that sends bytes of its own making."""

    @classmethod
    async def connect(cls, port):
        caller = cls()
        caller.reader, caller.writer = await asyncio.open_connection(
            "127.0.0.1", port
        )
        return caller

    def send(self, data):
        self.writer.write(data)

    async def log_in(self, **parameters):
        names = {
            "user": logins.OPEN_USER,
            "database": fake_service.OPEN_SERVICE,
        }
        self.send(wire.startup_packet(names | parameters))
        return await self.read_ready()

    async def read(self):
        """Returns the next message."""
        tag, length = struct.unpack("!cI", await self.reader.readexactly(5))
        return wire.Message(tag, await self.reader.readexactly(length - 4))

    async def read_ready(self):
        """Returns the messages up to a ReadyForQuery."""
        messages = [await self.read()]
        while messages[-1].tag != b"Z":
            messages.append(await self.read())
        return messages

    async def read_error(self):
        """Returns the fields of an error that ends the connection."""
        message = await self.read()
        assert message.tag == b"E", message
        assert await self.reader.read() == b""
        return wire.read_error_fields(message.payload)

    async def query(self, sql):
        self.send(wire.query(sql))
        return await self.read_ready()


def tags(messages):
    return b"".join(message.tag for message in messages)


def shrink_buffer(transport, option):
    """Keeps the system from buffering much."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, option, 16_384)


async def until(condition):
    """Waits until `condition` holds."""
    while not condition():
        await asyncio.sleep(0.001)


class FrontEndTestCase(unittest.TestCase):
    """A front door for each test."""

    limits = caller_limits.DEFAULT_LIMITS
    tls = False

    async def run_with_front_end(self, test):
        self.callers = []
        self.service = fake_service.FakeService()
        context = None
        if self.tls:
            context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            context.load_cert_chain(CERTIFICATE)
        self.door = front_end.FrontEnd(self.service, context, self.limits)
        self.port = await self.door.start("127.0.0.1", 0)
        try:
            await test(self)
        finally:
            self.service.unblocked.set()
            for caller in self.callers:
                caller.writer.transport.abort()
            await asyncio.wait_for(self.door.close(), GUARD_S)

    def options(self, **changes):
        options = {
            "host": "127.0.0.1",
            "port": self.port,
            "user": fake_service.KEY_ID,
            "password": fake_service.KEY,
        }
        return options | changes

    async def connect(self):
        self.callers.append(await Caller.connect(self.port))
        return self.callers[-1]

    async def log_in(self, **parameters):
        caller = await self.connect()
        await caller.log_in(**parameters)
        return caller


class DriverTest(FrontEndTestCase):
    """The usual drivers connect unchanged."""

    async def connect_psycopg(self, **changes):
        return await psycopg.AsyncConnection.connect(
            dbname=fake_service.SERVICE,
            autocommit=True,
            **self.options(**changes),
        )

    @on_uvloop
    async def test_psycopg(self):
        connection = await self.connect_psycopg()
        for _ in range(8):
            cursor = await connection.execute("SELECT lower(%s)", ["x"])
            self.assertEqual(await cursor.fetchone(), ("SELECT lower($1)",))
        await connection.execute("SET timezone = 'Europe/Bucharest'")
        self.assertEqual(
            connection.info.parameter_status("TimeZone"), "Europe/Bucharest"
        )
        with self.assertRaises(psycopg.errors.FeatureNotSupported):
            await connection.execute("LISTEN a")
        async with connection.transaction():
            await connection.execute(INSERT)
        async with connection.pipeline():
            cursors = [await connection.execute("SELECT 1") for _ in "abc"]
        self.assertEqual([cursor.rowcount for cursor in cursors], [1, 1, 1])
        await connection.close()

    @on_uvloop
    async def test_asyncpg(self):
        connection = await asyncpg.connect(
            database=fake_service.SERVICE,
            server_settings={"cuminwall.session": "token"},
            **self.options(),
        )
        self.assertEqual(self.service.logins[0].token, "token")
        self.assertEqual(self.service.logins[0].workspace, "trust")
        for _ in range(2):
            rows = await connection.fetch("SELECT 1")
            self.assertEqual(rows[0]["text"], "SELECT 1")
        with self.assertRaises(asyncpg.FeatureNotSupportedError):
            await connection.fetch("EXECUTE a")
        async with connection.transaction():
            await connection.execute(INSERT)
        await connection.close()

    @on_uvloop
    async def test_pg8000(self):
        await asyncio.to_thread(self.run_pg8000)

    def run_pg8000(self):
        connection = pg8000.native.Connection(
            database=fake_service.SERVICE, **self.options()
        )
        self.assertEqual(connection.run("SELECT 1"), [["SELECT 1"]])
        for _ in range(2):
            rows = connection.run("SELECT lower(:a)", a="x")
            self.assertEqual(rows, [["SELECT lower($1)"]])
        connection.close()

    @on_uvloop
    async def test_wrong_keys(self):
        for change in ({"password": "wrong"}, {"user": "unknown"}):
            with self.assertRaisesRegex(psycopg.OperationalError, "key"):
                await self.connect_psycopg(**change)
            with self.assertRaises(asyncpg.InvalidPasswordError):
                await asyncpg.connect(
                    database=fake_service.SERVICE, **self.options(**change)
                )
            with self.assertRaises(pg8000.exceptions.DatabaseError):
                await asyncio.to_thread(
                    pg8000.native.Connection,
                    database=fake_service.SERVICE,
                    **self.options(**change),
                )
        self.assertEqual(self.service.logins, [])

    @on_uvloop
    async def test_a_key_changed_during_the_login_admits_nobody(self):
        other = logins.make_verifier("other", b"0123456789abcdef")
        changes = {
            outcomes.KEY_WITHDRAWN: "withdrawn",
            work.KeyEntry("other", other): "the key is wrong",
        }
        entry = self.service.keys[fake_service.KEY_ID]
        for change, message in changes.items():
            entries = [entry, change]
            self.service.find_key = lambda _, left=entries: left.pop(0)
            with self.assertRaisesRegex(psycopg.OperationalError, message):
                await self.connect_psycopg()
        self.assertEqual(self.service.logins, [])


class TlsTest(FrontEndTestCase):
    """Encrypted connections."""

    tls = True

    @on_uvloop
    async def test_drivers_log_in_and_run(self):
        connection = await psycopg.AsyncConnection.connect(
            dbname=fake_service.SERVICE,
            sslmode="verify-full",
            sslrootcert=str(CERTIFICATE),
            **self.options(),
        )
        self.assertTrue(connection.pgconn.ssl_in_use)
        cursor = await connection.execute("SELECT 1")
        self.assertEqual(await cursor.fetchone(), ("SELECT 1",))
        await connection.close()
        context = ssl.create_default_context(cafile=CERTIFICATE)
        connection = await asyncpg.connect(
            database=fake_service.SERVICE, ssl=context, **self.options()
        )
        self.assertEqual(await connection.fetchval("SELECT 1"), "SELECT 1")
        await connection.close()

    @on_uvloop
    async def test_bytes_sent_ahead_of_the_handshake_are_refused(self):
        caller = await self.connect()
        request = struct.pack("!II", 8, wire.SSL_REQUEST_CODE)
        caller.send(request + wire.startup_packet({"user": "open"}))
        fields = await caller.read_error()
        self.assertEqual(fields["C"], outcomes.PROTOCOL_VIOLATION.sqlstate)

    @on_uvloop
    async def test_a_stalled_handshake_does_not_delay_shutdown(self):
        caller = await self.connect()
        caller.send(struct.pack("!II", 8, wire.SSL_REQUEST_CODE))
        self.assertEqual(await caller.reader.readexactly(1), b"S")
        await self.door.drain()
        self.assertEqual(await caller.reader.read(), b"")

    @on_uvloop
    async def test_a_failed_handshake_ends_the_connection(self):
        caller = await self.connect()
        caller.send(struct.pack("!II", 8, wire.SSL_REQUEST_CODE))
        self.assertEqual(await caller.reader.readexactly(1), b"S")
        caller.send(b"this is no handshake" * 10)
        await caller.reader.read()
        await until(lambda: not self.door.logging_in)


class LoginTest(FrontEndTestCase):
    """Startup packets, and connections that never log in."""

    limits = caller_limits.Limits(login_timeout_s=GUARD_S, max_logins=5)

    @on_uvloop
    async def test_requests_before_the_startup(self):
        caller = await self.connect()
        for code in (wire.SSL_REQUEST_CODE, wire.GSSENC_REQUEST_CODE):
            caller.send(struct.pack("!II", 8, code))
            self.assertEqual(await caller.reader.readexactly(1), b"N")
        messages = await caller.log_in(TimeZone="Europe/Bucharest")
        self.assertEqual(tags(messages), b"RSSSSSSSSSKZ")
        self.assertIn(
            b"TimeZone\0Europe/Bucharest\0",
            [message.payload for message in messages],
        )

    @on_uvloop
    async def test_a_startup_in_single_bytes(self):
        caller = await self.connect()
        packet = wire.startup_packet(
            {"user": "open", "database": fake_service.OPEN_SERVICE}
        )
        for byte in packet:
            caller.send(bytes([byte]))
            await caller.writer.drain()
            await asyncio.sleep(0)
        self.assertEqual((await caller.read_ready())[-1].payload, b"I")

    @on_uvloop
    async def test_newer_protocols_are_negotiated(self):
        caller = await self.connect()
        packet = wire.startup_packet(
            {"user": "open", "database": fake_service.OPEN_SERVICE}
        )
        newer = struct.pack("!I", wire.PROTOCOL_VERSION + 2)
        caller.send(packet[:4] + newer + packet[8:])
        self.assertEqual(tags(await caller.read_ready())[:2], b"vR")

    @on_uvloop
    async def test_the_open_route_is_for_open_services_only(self):
        caller = await self.connect()
        names = {"user": logins.OPEN_USER, "database": fake_service.SERVICE}
        caller.send(wire.startup_packet(names))
        message = await caller.read()
        self.assertEqual(message.payload[:4], b"\0\0\0\x0a")

    @on_uvloop
    async def test_an_unknown_service_is_reported_after_the_login(self):
        with self.assertRaisesRegex(psycopg.OperationalError, "no such"):
            await psycopg.AsyncConnection.connect(
                dbname="other", **self.options()
            )

    @on_uvloop
    async def test_malformed_packets_are_refused(self):
        packets = (
            struct.pack("!I", 2**31),
            struct.pack("!I", 3),
            struct.pack("!II", 8, 12345),
            struct.pack("!III", 12, wire.CANCEL_REQUEST_CODE, 1),
            b"GET / HTTP/1.1\r\n\r\n",
        )
        for packet in packets:
            with self.subTest(packet):
                caller = await self.connect()
                caller.send(packet)
                fields = await caller.read_error()
                self.assertEqual(fields["C"], "08P01")

    @on_uvloop
    async def test_oldest_connections_without_login_are_closed(self):
        silent = [await self.connect() for _ in range(12)]
        await until(lambda: len(self.door.logging_in) == 5)
        caller = await self.log_in()
        self.assertEqual(tags(await caller.ask("SELECT 1")), b"TDCZ")
        for oldest in silent[:7]:
            await oldest.reader.read()
        self.assertLessEqual(len(self.door.logging_in), 5)


class DeadlineTest(FrontEndTestCase):
    """Callers that fall silent halfway."""

    limits = caller_limits.Limits(
        login_timeout_s=SHORT_S,
        message_timeout_s=SHORT_S,
        answer_stall_timeout_s=SHORT_S,
        close_timeout_s=SHORT_S,
    )

    @on_uvloop
    async def test_half_a_startup(self):
        caller = await self.connect()
        caller.send(struct.pack("!I", 100))
        fields = await caller.read_error()
        self.assertEqual(fields["M"], outcomes.LOGIN_TIMEOUT.message)

    @on_uvloop
    async def test_half_a_message(self):
        caller = await self.log_in()
        caller.send(wire.query("SELECT 1") + wire.query("SELECT 2")[:-3])
        await caller.read_ready()
        fields = await caller.read_error()
        self.assertEqual(fields["M"], outcomes.MESSAGE_TIMEOUT.message)
        await until(lambda: self.service.closed == [1])

    @on_uvloop
    async def test_an_idle_session_stays(self):
        caller = await self.log_in()
        await asyncio.sleep(SHORT_S * 4)
        self.assertEqual(tags(await caller.ask("SELECT 1")), b"TDCZ")

    @on_uvloop
    async def test_unread_answers_end_the_connection(self):
        row = wire.data_row([b"x" * 1_000_000])
        self.service.answers["SELECT 1"] = row * 64
        caller = await self.log_in()
        caller.writer.transport.pause_reading()
        caller.send(wire.query("SELECT 1"))
        await until(lambda: self.service.closed == [1])


class RoundTest(FrontEndTestCase):
    """What a caller hears of its rounds."""

    limits = caller_limits.Limits(
        pause_bytes=2_000,
        write_buffer_bytes=4_000,
        session=rounds.Limits(round_bytes=100_000),
    )

    @on_uvloop
    async def test_pipelined_rounds_are_answered_in_order(self):
        caller = await self.log_in()
        texts = [f"SELECT {number}" for number in range(200)]
        caller.send(b"".join(wire.query(text) for text in texts))
        for text in texts:
            row = (await caller.read_ready())[1]
            self.assertEqual(wire.read_data_row(row.payload), [text.encode()])
        sent = [round_.steps[0].message for _, round_ in self.service.rounds]
        self.assertEqual(sent, [wire.query(text) for text in texts])

    @on_uvloop
    async def test_one_round_at_a_time_and_reading_pauses(self):
        caller = await self.log_in()
        (connection,) = self.door.sessions.values()
        self.service.unblocked.clear()
        caller.send(wire.query("SELECT 1" + " " * 500) * 50)
        await until(lambda: connection.reading_paused)
        self.assertEqual(self.service.running, 1)
        self.assertEqual(len(self.service.rounds), 1)
        self.service.unblocked.set()
        for _ in range(50):
            await caller.read_ready()
        self.assertFalse(connection.reading_paused)

    @on_uvloop
    async def test_local_answers_wait_for_a_slow_reader(self):
        caller = await self.log_in()
        (connection,) = self.door.sessions.values()
        shrink_buffer(caller.writer.transport, socket.SO_RCVBUF)
        shrink_buffer(connection.transport, socket.SO_SNDBUF)
        caller.writer.transport.pause_reading()
        count = 5_000
        sql = "SET cuminwall.max_age = 1"
        caller.send(wire.query(sql) * count)
        await until(lambda: connection.reading_paused)
        kept = connection.transport.get_write_buffer_size()
        self.assertLess(kept, 10_000)
        caller.writer.transport.resume_reading()
        for _ in range(count):
            self.assertEqual(tags(await caller.read_ready()), b"CZ")

    @on_uvloop
    async def test_a_slow_reader_pauses_the_server(self):
        caller = await self.log_in()
        (connection,) = self.door.sessions.values()
        shrink_buffer(caller.writer.transport, socket.SO_RCVBUF)
        shrink_buffer(connection.transport, socket.SO_SNDBUF)
        caller.writer.transport.pause_reading()
        self.service.chunks = 200
        caller.send(wire.query("SELECT 1"))
        await until(connection.is_write_paused)
        for _ in range(100):
            await asyncio.sleep(0)
        self.assertLess(self.service.accepted_chunks, self.service.chunks)
        caller.writer.transport.resume_reading()
        messages = await caller.read_ready()
        self.assertEqual(tags(messages), b"D" * 200 + b"TDCZ")

    @on_uvloop
    async def test_a_server_error_in_the_extended_protocol(self):
        caller = await self.log_in()
        parse = wire.parse_message("", "selec 1")
        flush = wire.Message(b"H", b"").encode()
        caller.send(parse + flush)
        self.assertEqual((await caller.read()).tag, b"E")
        caller.send(parse + wire.sync())
        self.assertEqual(tags(await caller.read_ready()), b"Z")
        self.assertEqual(tags(await caller.ask("SELECT 1")), b"TDCZ")

    @on_uvloop
    async def test_failures_keep_or_end_the_connection(self):
        caller = await self.log_in()
        self.service.failures["SELECT 1"] = outcomes.NO_SERVER
        messages = await caller.ask("SELECT 1")
        self.assertEqual(tags(messages), b"EZ")
        fields = wire.read_error_fields(messages[0].payload)
        self.assertEqual((fields["S"], fields["C"]), ("ERROR", "57P03"))
        self.service.failures["SELECT 1"] = outcomes.KEY_WITHDRAWN
        caller.send(wire.query("SELECT 1"))
        self.assertEqual((await caller.read_error())["S"], "FATAL")

    @on_uvloop
    async def test_a_crash_is_reported_as_an_unknown_outcome(self):
        caller = await self.log_in()
        self.service.statuses.clear()
        caller.send(wire.query(INSERT))
        await caller.read()
        fields = await caller.read_error()
        self.assertIn("outcome unknown", fields["M"])

    @on_uvloop
    async def test_an_internal_error_ends_one_connection_only(self):
        caller, other = await self.log_in(), await self.log_in()
        self.first_connection().phase.framer = None
        caller.send(wire.query("SELECT 1"))
        self.assertEqual((await caller.read_error())["C"], "XX000")
        self.assertEqual(tags(await other.ask("SELECT 1")), b"TDCZ")

    @on_uvloop
    async def test_the_token_comes_before_ready(self):
        caller = await self.log_in()
        self.service.token = "token"
        messages = await caller.ask(INSERT)
        self.assertEqual(tags(messages), b"CSZ")
        self.assertEqual(messages[1].payload, b"cuminwall.session\0token\0")

    @on_uvloop
    async def test_a_token_sent_after_the_login(self):
        caller = await self.log_in()
        await caller.ask("SET cuminwall.session = 'good'")
        self.assertEqual(self.service.tokens, [(1, "good")])
        caller.send(wire.query("SET cuminwall.session = 'bad'"))
        fields = await caller.read_error()
        self.assertEqual(fields["C"], outcomes.BAD_TOKEN.sqlstate)

    @on_uvloop
    async def test_the_warning_about_set_local_is_dropped(self):
        notice = wire.Message(b"N", b"C25P01\0\0").encode()
        self.service.answers["SET LOCAL a.b = '1'"] = (
            notice + wire.command_complete("SET")
        )
        caller = await self.log_in()
        self.assertEqual(tags(await caller.ask("SET a.b = 1")), b"CZ")

    @on_uvloop
    async def test_a_violation_is_reported_after_the_queued_rounds(self):
        caller = await self.log_in()
        self.service.unblocked.clear()
        garbage = struct.pack("!cI", b"Q", 2)
        caller.send(wire.query("SELECT 1") + wire.sync())
        await until(lambda: self.service.running)
        caller.send(garbage)
        await until(lambda: self.first_connection().phase.broken)
        self.service.unblocked.set()
        self.assertEqual(tags(await caller.read_ready()), b"TDCZ")
        await caller.read_ready()
        self.assertEqual((await caller.read_error())["C"], "08P01")

    def first_connection(self):
        return next(iter(self.door.sessions.values()))

    @on_uvloop
    async def test_an_oversized_message_is_refused(self):
        caller = await self.log_in()
        caller.send(struct.pack("!cI", b"Q", 2_000_000_000))
        self.assertEqual((await caller.read_error())["C"], "08P01")

    @on_uvloop
    async def test_a_session_ends_after_its_running_round(self):
        caller = await self.log_in()
        self.service.unblocked.clear()
        caller.send(wire.query(INSERT))
        await until(lambda: self.service.running)
        caller.writer.transport.abort()
        await until(lambda: not self.door.sessions)
        self.assertEqual(self.service.closed, [])
        self.service.unblocked.set()
        await until(lambda: self.service.closed == [1])


class CancelTest(FrontEndTestCase):
    """CancelRequest reaches the session that it proves to know."""

    @on_uvloop
    async def test_cancel(self):
        caller = await self.connect()
        messages = await caller.log_in()
        (key,) = [m.payload for m in messages if m.tag == b"K"]
        process_id, secret = struct.unpack("!II", key)
        self.service.unblocked.clear()
        caller.send(wire.query("SELECT 1"))
        await until(lambda: self.service.running)
        for guess in (secret ^ 1, secret):
            self.assertEqual(self.service.canceled, [])
            other = await self.connect()
            other.send(wire.cancel_packet(process_id, guess))
            self.assertEqual(await other.reader.read(), b"")
        await caller.read_ready()
        self.assertEqual(self.service.canceled, [1])


class DrainTest(FrontEndTestCase):
    """A graceful shutdown cuts no request."""

    @on_uvloop
    async def test_idle_sessions_get_an_error(self):
        caller = await self.log_in()
        await self.door.drain()
        fields = await caller.read_error()
        self.assertEqual((fields["S"], fields["C"]), ("FATAL", "57P01"))
        with self.assertRaises(ConnectionError):
            await self.connect()

    @on_uvloop
    async def test_rounds_and_transactions_finish(self):
        caller = await self.log_in()
        await caller.ask("BEGIN")
        self.service.unblocked.clear()
        caller.send(wire.query(INSERT))
        await until(lambda: self.service.running)
        drain = asyncio.create_task(self.door.drain())
        await until(lambda: self.door.draining)
        self.service.unblocked.set()
        self.assertEqual((await caller.read_ready())[-1].payload, b"T")
        self.assertEqual(tags(await caller.ask("COMMIT")), b"CZ")
        self.assertEqual((await caller.read_error())["C"], "57P01")
        await drain
        self.assertEqual(self.service.closed, [1])

    @on_uvloop
    async def test_queued_rounds_finish(self):
        caller = await self.log_in()
        self.service.unblocked.clear()
        caller.send(wire.query(INSERT) * 3)
        await until(lambda: self.service.running)
        (connection,) = self.door.sessions.values()
        await until(lambda: connection.phase.queue)
        drain = asyncio.create_task(self.door.drain())
        await until(lambda: self.door.draining)
        self.service.unblocked.set()
        for _ in range(3):
            self.assertEqual(tags(await caller.read_ready()), b"CZ")
        self.assertEqual((await caller.read_error())["C"], "57P01")
        await drain


if __name__ == "__main__":
    unittest.main()
