"""One client's connection: its messages, answered as a backend server does."""

import asyncio
from typing import Protocol

from loguru import logger

from cuminwall import exceptions, wire
from cuminwall_standins import (
    engine,
    errors,
    executor,
    extended,
    faults,
    messages,
    settings,
    sql,
    startup,
)

READ_BYTES = 64 * 1024
FLUSH_BYTES = 256 * 1024

_LOST = (ConnectionError, asyncio.IncompleteReadError, exceptions.ProtocolError)


class Host(Protocol):
    """What a session needs of its server."""

    data: engine.Engine
    faults: faults.Faults
    verifier: startup.Verifier
    connect_delay_s: float

    def admit(self, session: "Session") -> None:
        """Counts the session, or refuses it with an `errors.SqlError`."""

    def cancel(self, request: startup.CancelRequest) -> None:
        """Interrupts the statement of another session."""


class SilencedError(exceptions.CuminwallError):
    """The connection is to answer nothing any more."""


class Session:
    """One connection from its first packet to its end."""

    def __init__(
        self,
        host: Host,
        process_id: int,
        secret: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self.host = host
        self.process_id = process_id
        self.secret = secret
        self.reader = reader
        self.writer = writer
        self.output = bytearray()
        self.is_silent = False
        self.skips_to_sync = False
        self.is_idle = False
        self.executor = executor.Executor(host.data, process_id, "", {})
        self.extended = extended.Extended(self.executor)
        self.reported: dict[str, str] = {}
        self.handlers = {
            b"Q": self.on_query,
            b"H": self.on_flush,
            b"S": self.on_sync,
        }

    async def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            await self.serve()
        except SilencedError:
            self.executor.end(is_committed=False)
            while await self.reader.read(READ_BYTES):
                continue
        except errors.SqlError as error:
            self.send_fatal_error(error)
        except _LOST as error:
            logger.debug(
                "session: connection {} ended: {}", self.process_id, error
            )
        finally:
            self.executor.end(is_committed=False)
            self.writer.close()

    async def serve(self) -> None:
        """Starts up and answers messages until Terminate."""
        await self.host.faults.wait_thawed()
        greeting = await startup.read_first_packet(self.reader, self.writer)
        if isinstance(greeting, startup.CancelRequest):
            self.host.cancel(greeting)
            return
        self.host.admit(self)
        await asyncio.sleep(self.host.connect_delay_s)
        parameters = greeting.parameters
        user = parameters.pop("user", "")
        await startup.authenticate(
            self.reader, self.writer, user, self.host.verifier
        )
        parameters.pop("database", None)
        self.executor = executor.Executor(
            self.host.data,
            self.process_id,
            user,
            {name.lower(): value for name, value in parameters.items()},
        )
        self.extended = extended.Extended(self.executor)
        self.report_settings()
        self.output += wire.backend_key_data(self.process_id, self.secret)
        self.output += wire.ready_for_query(b"I")
        await self.flush()
        await self.answer_messages()

    def silence(self) -> None:
        """Lets the connection answer nothing any more."""
        self.is_silent = True
        # An open transaction would keep all others from writing for good.
        if self.is_idle:
            self.executor.end(is_committed=False)

    def send_fatal_error(self, error: errors.SqlError) -> None:
        """Tells the client why its connection ends."""
        if not self.writer.is_closing():
            self.writer.write(_error(error))

    async def answer_messages(self) -> None:
        """Answers messages until Terminate or the end of the stream."""
        framer = wire.Framer()
        while True:
            self.is_idle = True
            data = await self.reader.read(READ_BYTES)
            self.is_idle = False
            if not data:
                return
            for message in framer.feed(data):
                await self.host.faults.wait_thawed()
                if self.is_silent:
                    raise SilencedError
                if message.tag == b"X":
                    return
                await self.answer(message)

    async def answer(self, message: wire.Message) -> None:
        """Answers one message; an error skips the rest up to Sync."""
        if self.skips_to_sync and message.tag != b"S":
            return
        try:
            await self.handle(message)
        except errors.SqlError as error:
            if error.severity == "FATAL":
                raise
            self.executor.fail()
            self.output += _error(error)
            self.skips_to_sync = message.tag not in (b"Q", b"S")
            if self.skips_to_sync:
                await self.flush()
            else:
                await self.ready()

    async def handle(self, message: wire.Message) -> None:
        """Calls the handler of a message."""
        if message.tag in self.handlers:
            await self.handlers[message.tag](message.payload)
            return
        async for part in self.extended.handle(message):
            self.output += part
            await self.flush_if_large()

    async def flush_if_large(self) -> None:
        """Sends what is due once it is much."""
        if len(self.output) > FLUSH_BYTES:
            await self.flush()

    async def ready(self) -> None:
        """Tells that the next query may come."""
        if not self.executor.in_block:
            self.extended.portals.clear()
        self.report_settings()
        self.output += wire.ready_for_query(self.executor.status)
        await self.flush()

    def report_settings(self) -> None:
        """Tells the client of settings that changed."""
        for name, label in settings.REPORTED.items():
            value = self.executor.show(name)
            if self.reported.get(name) != value:
                self.reported[name] = value
                self.output += wire.parameter_status(label, value)

    async def flush(self) -> None:
        """Sends what is due, subject to the faults in force."""
        data = bytes(self.output)
        self.output.clear()
        if not data:
            return
        await self.host.faults.delay_answer()
        if self.is_silent:
            raise SilencedError
        messages.send(self.writer, data)
        await self.writer.drain()

    async def on_query(self, payload: bytes) -> None:
        """Runs a simple Query, which may hold several statements."""
        text, _ = wire.read_cstring(payload)
        statements = sql.parse(text)
        if not statements:
            self.output += messages.EMPTY_QUERY
        for index, statement in enumerate(statements):
            outcome = await self.executor.run(statement, ())
            if index == len(statements) - 1:
                self.executor.finish_implicit()
            if outcome.fields:
                self.output += extended.row_description(outcome.fields, ())
            for row in extended.data_rows(outcome, (), 0, None):
                self.output += row
                await self.flush_if_large()
            self.output += wire.command_complete(outcome.tag)
        await self.ready()

    async def on_flush(self, _: bytes) -> None:
        """Sends what is due."""
        await self.flush()

    async def on_sync(self, _: bytes) -> None:
        """Ends a group of extended messages and its implicit transaction."""
        self.skips_to_sync = False
        self.executor.finish_implicit()
        await self.ready()


def _error(error: errors.SqlError) -> bytes:
    return wire.error_response(error.sqlstate, error.message, error.severity)
