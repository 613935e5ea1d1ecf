"""A small scripted PostgreSQL server for tests of the backend side.

Its statements are words: "rows 3 10" gives 3 rows of 10 bytes, "update 2"
changes 2 rows, "fail 22012" fails when run, "bad" fails when parsed, "notice"
sends a notice; begin, commit, rollback, SET, RESET and the position query work
as in PostgreSQL. A hook may take over any message.
"""

import asyncio
import os
import struct
import unittest
from collections.abc import Awaitable, Callable

import scramp
import uvloop

from cuminwall import backend, probes, wire

# uvloop opens an io_uring ring otherwise.
os.environ["UV_USE_IO_URING"] = "0"

PASSWORD = "the daemon's own"
GUARD_S = 20.0

Hook = Callable[["FakeSession", wire.Message], Awaitable[bool]]


class SqlError(Exception):
    """A statement failed with an SQLSTATE."""


class FakeServer:
    """Listens on a port of the system's choice.

    Attributes:
      hook: Sees each message first; true means that it took it over.
      peak: The most sockets open at once.
      cancels: The process ids that were to be canceled.
    """

    def __init__(self, method: str = "trust"):
        self.login_method = method
        self.hook: Hook | None = None
        self.accepting = True
        self.sessions: list[FakeSession] = []
        self.opened = 0
        self.open_now = 0
        self.peak = 0
        self.cancels: list[int] = []
        self.position = probes.ProbeAnswer(False, 0x1_0000_0010, 3)
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()
        mechanism = scramp.ScramMechanism("SCRAM-SHA-256")
        self.mechanism = mechanism
        self.verifier = mechanism.make_auth_info(PASSWORD)

    async def start(self) -> int:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        self.opened += 1
        self.open_now += 1
        self.peak = max(self.peak, self.open_now)
        session = FakeSession(self, reader, writer, self.opened)
        try:
            await session.run()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The client left, or the test ends.
            pass
        finally:
            self.open_now -= 1
            writer.transport.abort()
            self.tasks.discard(task)


class FakeSession:
    """One connection, with the state that PostgreSQL keeps for it."""

    def __init__(self, server: FakeServer, reader, writer, number: int):
        self.server = server
        self.reader = reader
        self.writer = writer
        self.number = number
        self.status = b"I"
        self.statements: dict[str, str] = {}
        self.portals: dict[str, list] = {}
        self.settings: dict[str, str] = {}
        self.settings_at_begin: dict[str, str] = {}
        self.skipping = False
        self.received: list[wire.Message] = []

    async def run(self) -> None:
        length = wire.parse_startup_length(await self.reader.readexactly(4))
        startup = wire.parse_startup(await self.reader.readexactly(length))
        if startup.code == wire.CANCEL_REQUEST_CODE:
            self.server.cancels.append(wire.parse_cancel(startup.payload)[0])
            return
        self.server.sessions.append(self)
        if not self.server.accepting:
            # Reads and never answers, until the client hangs up.
            await self.reader.read()
            return
        if not await self.authenticate():
            return
        self.send(wire.authentication(0))
        self.send(wire.parameter_status("server_version", "16.0"))
        self.send(wire.backend_key_data(self.number, 4_000_000_000))
        self.send(wire.ready_for_query(b"I"))
        framer = wire.Framer()
        while data := await self.reader.read(65536):
            for message in framer.feed(data):
                await self.handle_message(message)
            await self.writer.drain()

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def authenticate(self) -> bool:
        if self.server.login_method == "cleartext":
            self.send(wire.authentication(3))
            await self.reader.read(1)
            return False
        if self.server.login_method == "refuse":
            self.send(wire.error_response("28P01", "no", "FATAL"))
            return False
        if self.server.login_method == "trust":
            return True
        scram = self.server.mechanism.make_server(
            lambda user: self.server.verifier
        )
        self.send(wire.authentication(10, b"SCRAM-SHA-256\0\0"))
        first = await self.read_message()
        _, offset = wire.read_cstring(first)
        scram.set_client_first(first[offset + 4 :].decode())
        self.send(wire.authentication(11, scram.get_server_first().encode()))
        try:
            scram.set_client_final((await self.read_message()).decode())
        except scramp.ScramException:
            self.send(wire.error_response("28P01", "wrong", "FATAL"))
            return False
        self.send(wire.authentication(12, scram.get_server_final().encode()))
        return True

    async def read_message(self) -> bytes:
        _, length = struct.unpack("!cI", await self.reader.readexactly(5))
        return await self.reader.readexactly(length - 4)

    async def handle_message(self, message: wire.Message) -> None:
        self.received.append(message)
        hook = self.server.hook
        if hook is not None and await hook(self, message):
            return
        if message.tag == b"X":
            raise ConnectionResetError
        if self.skipping and message.tag != b"S":
            return
        try:
            self.answer(message)
        except SqlError as error:
            self.fail(str(error))
            self.skipping = message.tag != b"Q"
        if message.tag in (b"S", b"Q"):
            self.skipping = False
            if self.status == b"I":
                self.portals.clear()
            self.send(wire.ready_for_query(self.status))

    def fail(self, code: str) -> None:
        self.send(wire.error_response(code, "failed"))
        if self.status == b"T":
            self.status = b"E"

    def answer(self, message: wire.Message) -> None:
        payload = message.payload
        if message.tag == b"Q":
            self.statements.pop("", None)
            self.portals.pop("", None)
            for sql in wire.read_cstring(payload)[0].split(";"):
                self.check_statement(sql.strip())
                self.execute(self.make_portal(sql.strip()), 0, describe=True)
        elif message.tag == b"P":
            self.parse(payload)
        elif message.tag == b"B":
            self.bind(payload)
        elif message.tag == b"D":
            self.describe(payload)
        elif message.tag == b"E":
            name, offset = wire.read_cstring(payload)
            (limit,) = struct.unpack_from("!i", payload, offset)
            if name not in self.portals:
                raise SqlError("34000")
            self.execute(self.portals[name], limit, describe=False)
        elif message.tag == b"C":
            name = wire.read_cstring(payload, 1)[0]
            table = self.statements if payload[:1] == b"S" else self.portals
            table.pop(name, None)
            self.send(wire.Message(b"3", b"").encode())

    def check_statement(self, sql: str) -> None:
        if self.status == b"E" and sql not in ("commit", "rollback"):
            raise SqlError("25P02")
        if sql == "bad":
            raise SqlError("42601")

    def parse(self, payload: bytes) -> None:
        name, offset = wire.read_cstring(payload)
        sql = wire.read_cstring(payload, offset)[0]
        self.check_statement(sql)
        if name and name in self.statements:
            raise SqlError("42P05")
        self.statements[name] = sql
        self.send(wire.Message(b"1", b"").encode())

    def bind(self, payload: bytes) -> None:
        portal, offset = wire.read_cstring(payload)
        name = wire.read_cstring(payload, offset)[0]
        if name not in self.statements:
            raise SqlError("26000")
        self.check_statement(self.statements[name])
        if portal and portal in self.portals:
            raise SqlError("42P03")
        self.portals[portal] = self.make_portal(self.statements[name])
        self.send(wire.Message(b"2", b"").encode())

    def describe(self, payload: bytes) -> None:
        name = wire.read_cstring(payload, 1)[0]
        if payload[:1] == b"S":
            if name not in self.statements:
                raise SqlError("26000")
            self.send(wire.Message(b"t", b"\0\0").encode())
            sql = self.statements[name]
        else:
            if name not in self.portals:
                raise SqlError("34000")
            sql = self.portals[name][0]
        self.send_description(sql)

    def send_description(self, sql: str) -> None:
        if self.is_select(sql):
            self.send(wire.row_description([wire.Column("value")]))
        else:
            self.send(wire.Message(b"n", b"").encode())

    @staticmethod
    def is_select(sql: str) -> bool:
        return sql.startswith(("rows", "SELECT"))

    def make_portal(self, sql: str) -> list:
        """Returns the statement, its rows, and how many of them went out."""
        if sql == probes.POSITION_SQL:
            return [sql, [self.position_row()], 0]
        if sql.startswith("rows"):
            words = sql.split() + ["1"]
            text = sql.encode() * (int(words[2]) // len(sql) + 1)
            return [sql, [[text]] * int(words[1]), 0]
        if sql.startswith("SELECT"):
            return [sql, [[sql.encode()]], 0]
        return [sql, [], 0]

    def position_row(self) -> list[bytes | None]:
        answer = self.server.position
        lsn = probes.format_lsn(answer.lsn).encode()
        if answer.in_recovery:
            return [b"t", lsn, b"%d" % answer.timeline]
        return [b"f", lsn, b"%08X" % answer.timeline + b"0" * 16]

    def execute(self, portal: list, limit: int, describe: bool) -> None:
        sql, rows, given = portal
        if self.is_select(sql):
            if describe:
                self.send_description(sql)
            last = len(rows) if limit <= 0 else min(len(rows), given + limit)
            for row in rows[given:last]:
                self.send(wire.data_row(row))
            portal[2] = last
            if 0 < limit == last - given:
                self.send(wire.Message(b"s", b"").encode())
                return
            self.send(wire.command_complete(f"SELECT {last - given}"))
            return
        self.run_command(sql)

    def run_command(self, sql: str) -> None:
        word, _, rest = sql.partition(" ")
        if word == "":
            self.send(wire.Message(b"I", b"").encode())
            return
        if word == "fail":
            raise SqlError(rest)
        if word == "notice":
            notice = wire.error_response("00000", "told", "NOTICE")
            self.send(b"N" + notice[1:])
        elif word == "begin":
            self.settings_at_begin = dict(self.settings)
            self.status = b"T"
        elif word in ("commit", "rollback"):
            if word == "rollback" or self.status == b"E":
                self.settings = dict(self.settings_at_begin)
            self.status = b"I"
        elif word == "SET":
            name, _, value = rest.partition(" TO ")
            if "refused" in value:
                raise SqlError("22023")
            self.settings[name] = value.strip("'")
        elif sql == "RESET ALL":
            self.settings.clear()
        elif word == "RESET":
            self.settings.pop(rest, None)
        self.send(
            wire.command_complete(
                f"{word.upper()} {rest}".strip()
                if word == "update"
                else word.upper()
            )
        )


class ServerTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs tests under uvloop, each with a fake server of its own."""

    @classmethod
    def setUpClass(cls):  # noqa: N802
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls):  # noqa: N802
        asyncio.set_event_loop_policy(None)

    async def asyncSetUp(self):  # noqa: N802
        self.loop = asyncio.get_running_loop()
        self.server = FakeServer()
        self.target = make_target(await self.server.start())

    async def asyncTearDown(self):  # noqa: N802
        await self.server.stop()

    def deadline_in(self, seconds: float = GUARD_S) -> float:
        return self.loop.time() + seconds

    async def until(self, condition) -> None:
        async with asyncio.timeout(GUARD_S):
            while not condition():
                await asyncio.sleep(0.002)

    def handle_with(self, tag: bytes, action) -> None:
        """Has `action(session)` answer messages of one type."""

        async def take(session, message):
            if message.tag != tag:
                return False
            await action(session)
            return True

        self.server.hook = take


def make_target(port: int, password: str = PASSWORD) -> backend.Target:
    return backend.Target("server", "127.0.0.1", port, "u", password, "d")
