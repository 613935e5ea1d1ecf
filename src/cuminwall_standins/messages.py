"""Server side encoding and decoding of extended query messages."""

import asyncio
import struct
from collections.abc import Sequence
from typing import NamedTuple

from cuminwall import exceptions, wire

PARSE_COMPLETE = wire.Message(b"1", b"").encode()
BIND_COMPLETE = wire.Message(b"2", b"").encode()
CLOSE_COMPLETE = wire.Message(b"3", b"").encode()
EMPTY_QUERY = wire.Message(b"I", b"").encode()
NO_DATA = wire.Message(b"n", b"").encode()
PORTAL_SUSPENDED = wire.Message(b"s", b"").encode()


class Parse(NamedTuple):
    """A Parse; a 0 in `type_oids` stands for an unspecified type."""

    name: str
    text: str
    type_oids: tuple[int, ...]


class Bind(NamedTuple):
    """A Bind; a tuple of formats has no item, one for all, or one for each."""

    portal: str
    statement: str
    formats: tuple[int, ...]
    values: tuple[bytes | None, ...]
    result_formats: tuple[int, ...]


class Target(NamedTuple):
    """The target of a Describe or Close.

    Attributes:
      kind: b"S" for a prepared statement, b"P" for a portal.
      name: Its name.
    """

    kind: bytes
    name: str


class Execute(NamedTuple):
    """An Execute; `max_rows` is 0 for no limit."""

    portal: str
    max_rows: int


def read_parse(payload: bytes) -> Parse:
    """Returns the contents of a Parse."""
    name, offset = wire.read_cstring(payload)
    text, offset = wire.read_cstring(payload, offset)
    (count,) = _unpack("!H", payload, offset)
    return Parse(name, text, _unpack(f"!{count}I", payload, offset + 2))


def read_bind(payload: bytes) -> Bind:
    """Returns the contents of a Bind."""
    portal, offset = wire.read_cstring(payload)
    statement, offset = wire.read_cstring(payload, offset)
    formats, offset = _read_formats(payload, offset)
    (count,) = _unpack("!H", payload, offset)
    offset += 2
    values: list[bytes | None] = []
    for _ in range(count):
        (size,) = _unpack("!i", payload, offset)
        offset += 4
        if size < 0:
            values.append(None)
            continue
        values.append(payload[offset : offset + size])
        offset += size
    result_formats, _ = _read_formats(payload, offset)
    return Bind(portal, statement, formats, tuple(values), result_formats)


def read_target(payload: bytes) -> Target:
    """Returns the contents of a Describe or Close."""
    return Target(payload[:1], wire.read_cstring(payload, 1)[0])


def read_execute(payload: bytes) -> Execute:
    """Returns the contents of an Execute."""
    portal, offset = wire.read_cstring(payload)
    return Execute(portal, _unpack("!i", payload, offset)[0])


def read_sasl_initial(payload: bytes) -> tuple[str, str]:
    """Returns the mechanism and the data of a SASLInitialResponse."""
    mechanism, offset = wire.read_cstring(payload)
    return mechanism, payload[offset + 4 :].decode()


def parameter_description(type_oids: Sequence[int]) -> bytes:
    """Returns a ParameterDescription."""
    count = len(type_oids)
    payload = struct.pack(f"!H{count}I", count, *type_oids)
    return wire.Message(b"t", payload).encode()


def format_at(formats: Sequence[int], index: int) -> int:
    """Returns the format code of one value; 0 is text."""
    if not formats:
        return 0
    return formats[index] if len(formats) > 1 else formats[0]


def send(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Sends bytes on a connection.

    Raises:
      ConnectionResetError: It is closed; asyncio's own `write` would ignore
        this, and uvloop's would raise a RuntimeError.
    """
    if writer.is_closing():
        raise ConnectionResetError("the connection is closed")
    writer.write(data)


def _read_formats(payload: bytes, offset: int) -> tuple[tuple[int, ...], int]:
    (count,) = _unpack("!H", payload, offset)
    formats = _unpack(f"!{count}h", payload, offset + 2)
    return formats, offset + 2 + 2 * count


def _unpack(layout: str, payload: bytes, offset: int) -> tuple[int, ...]:
    try:
        return struct.unpack_from(layout, payload, offset)
    except struct.error as error:
        raise exceptions.ProtocolError("message is truncated") from error
