"""A stand-in backend server with fixed answers, too fast to be the bottleneck.

It recognizes the statements of the load tool and of a daemon and answers with
precomputed bytes. It stores no data: a read returns one row, a write always
succeeds, and the log position never advances.
"""

import os

# libuv opens an io_uring ring at start unless told otherwise.
os.environ["UV_USE_IO_URING"] = "0"

import asyncio
import json
import struct
from collections.abc import Sequence
from typing import cast

import uvloop
from absl import app, flags

from cuminwall import probes, wire

HOST = "127.0.0.1"
OID_INT4 = 23
LSN = 0x1000
TIMELINE = 1
VALUE = 250

_PORT = flags.DEFINE_integer("port", 0, "Client port; 0 lets the OS choose.")
_PRIMARY = flags.DEFINE_boolean("primary", False, "Whether it is the primary.")

_HEADER = struct.Struct("!cI")
_HEADER_BYTES = 5
_BINARY = b"\0\1"  # End of a Bind that wants its result in binary.

_READ = b"SELECT"
_WRITE = b"INSERT"
_BEGIN = b"BEGIN"
_COMMIT = b"COMMIT"
_ROLLBACK = b"ROLLBACK"
_OTHER = b"OTHER"
_VERBS = (_READ, _WRITE, _BEGIN, _COMMIT, _ROLLBACK)

_READY_FOR_QUERY = {
    status: wire.ready_for_query(status) for status in (b"I", b"T", b"E")
}
_TAGS = {
    _READ: wire.command_complete("SELECT 1"),
    _WRITE: wire.command_complete("INSERT 0 1"),
    _BEGIN: wire.command_complete("BEGIN"),
    _COMMIT: wire.command_complete("COMMIT"),
    _ROLLBACK: wire.command_complete("ROLLBACK"),
    _OTHER: wire.command_complete("SET"),
}
_ROW = wire.data_row([struct.pack("!i", VALUE)])
_TEXT_ROW = wire.data_row([str(VALUE).encode()])
_ROW_DESCRIPTION = wire.row_description([wire.Column("amount", OID_INT4, 1)])
_TEXT_ROW_DESCRIPTION = wire.row_description(
    [wire.Column("amount", OID_INT4, 0)]
)
_NO_DATA = wire.Message(b"n", b"").encode()
_PARSE_COMPLETE = wire.Message(b"1", b"").encode()
_BIND_COMPLETE = wire.Message(b"2", b"").encode()
_CLOSE_COMPLETE = wire.Message(b"3", b"").encode()
_PARAMETER_DESCRIPTIONS = {
    0: wire.Message(b"t", struct.pack("!h", 0)).encode(),
    1: wire.Message(b"t", struct.pack("!hI", 1, OID_INT4)).encode(),
    2: wire.Message(b"t", struct.pack("!hII", 2, OID_INT4, OID_INT4)).encode(),
}


class ScriptedSession(asyncio.Protocol):
    """One client connection.

    Attributes:
      transport: Its transport.
      position: The answer to a position query.
      buffer: Received bytes that are not yet a complete message.
      is_started: Whether the login is complete.
      status: The transaction status.
      verbs: The verb and the number of parameters of each prepared statement.
      bound_verb: The verb of the unnamed portal.
      row: The row that a read returns, in the format that the Bind asked for.
    """

    def __init__(self, position: bytes):
        self.transport: asyncio.Transport | None = None
        self.position = position
        self.buffer = b""
        self.is_started = False
        self.status = b"I"
        self.verbs: dict[bytes, tuple[bytes, int]] = {}
        self.bound_verb = _OTHER
        self.row = _ROW

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answers every complete message."""
        data = self.buffer + data
        assert self.transport is not None
        if not self.is_started:
            self.buffer = data
            self.handle_startup()
            return
        answers = []
        offset = 0
        while len(data) - offset >= _HEADER_BYTES:
            tag, length = _HEADER.unpack_from(data, offset)
            end = offset + 1 + length
            if end > len(data):
                break
            answers.append(self.answer(tag, data[offset + _HEADER_BYTES : end]))
            offset = end
        self.buffer = data[offset:]
        self.transport.write(b"".join(answers))

    def handle_startup(self) -> None:
        """Answers the startup message; no password is needed."""
        assert self.transport is not None
        if len(self.buffer) < wire.parse_startup_length(self.buffer[:4]):
            return
        startup = wire.parse_startup(self.buffer[4:])
        self.buffer = b""
        if startup.code != wire.PROTOCOL_VERSION:
            self.transport.write(b"N")
            return
        self.is_started = True
        self.transport.write(
            wire.authentication(0)
            + wire.parameter_status("server_version", "16.0")
            + wire.parameter_status("client_encoding", "UTF8")
            + wire.parameter_status("standard_conforming_strings", "on")
            + wire.backend_key_data(1, 1)
            + _READY_FOR_QUERY[b"I"]
        )

    def answer(self, tag: bytes, payload: bytes) -> bytes:
        """Returns the answer to one message."""
        if tag == b"B":
            name = payload.split(b"\0", 2)[1]
            self.bound_verb = self.verbs[name][0]
            self.row = _ROW if payload.endswith(_BINARY) else _TEXT_ROW
            return _BIND_COMPLETE
        if tag == b"E":
            self.update_status(self.bound_verb)
            if self.bound_verb == _READ:
                return self.row + _TAGS[_READ]
            return _TAGS[self.bound_verb]
        if tag == b"S":
            return _READY_FOR_QUERY[self.status]
        if tag == b"Q":
            return self.answer_query(payload)
        if tag == b"P":
            return self.prepare(payload)
        if tag == b"D":
            return self.describe(payload)
        if tag == b"C":
            return _CLOSE_COMPLETE
        if tag == b"X":
            assert self.transport is not None
            self.transport.close()
        return b""

    def answer_query(self, payload: bytes) -> bytes:
        """Answers a Query message, which must contain a single statement."""
        if payload.startswith(_POSITION_QUERY_PREFIX):
            return self.position + _READY_FOR_QUERY[self.status]
        verb = _find_verb(payload)
        self.update_status(verb)
        rows = _TEXT_ROW_DESCRIPTION + _TEXT_ROW if verb == _READ else b""
        return rows + _TAGS[verb] + _READY_FOR_QUERY[self.status]

    def prepare(self, payload: bytes) -> bytes:
        """Answers a Parse."""
        name, text = payload.split(b"\0", 2)[:2]
        self.verbs[name] = (_find_verb(text), text.count(b"$"))
        return _PARSE_COMPLETE

    def describe(self, payload: bytes) -> bytes:
        """Answers a Describe."""
        if payload[:1] == b"P":
            return _ROW_DESCRIPTION if self.bound_verb == _READ else _NO_DATA
        verb, count = self.verbs[payload[1:-1]]
        description = _TEXT_ROW_DESCRIPTION if verb == _READ else _NO_DATA
        return _PARAMETER_DESCRIPTIONS[count] + description

    def update_status(self, verb: bytes) -> None:
        """Updates the transaction status after a statement."""
        if verb == _BEGIN:
            self.status = b"T"
        elif verb in (_COMMIT, _ROLLBACK):
            self.status = b"I"


_POSITION_QUERY_PREFIX = probes.POSITION_SQL[:26].encode()


def _find_verb(text: bytes) -> bytes:
    """Returns the verb that a statement starts with."""
    for verb in _VERBS:
        if text.startswith(verb):
            return verb
    return _OTHER


def make_position(is_primary: bool) -> bytes:
    """Returns the answer to a position query, without the ReadyForQuery."""
    timeline = str(TIMELINE)
    if is_primary:
        timeline = f"{TIMELINE:08X}{0:08X}{1:08X}"
    values = [
        b"f" if is_primary else b"t",
        probes.format_lsn(LSN).encode(),
        timeline.encode(),
    ]
    columns = [wire.Column(name) for name in ("recovery", "lsn", "timeline")]
    description = wire.row_description(columns)
    return description + wire.data_row(values) + _TAGS[_READ]


async def _serve(port: int, is_primary: bool) -> None:
    position = make_position(is_primary)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ScriptedSession(position), HOST, port
    )
    port = server.sockets[0].getsockname()[1]
    print(json.dumps({"port": port}), flush=True)
    await asyncio.Event().wait()


def main(argv: Sequence[str]) -> None:
    """Serves until the process is ended."""
    del argv
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(_PORT.value, _PRIMARY.value))


if __name__ == "__main__":
    app.run(main)
