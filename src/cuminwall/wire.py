"""PostgreSQL v3 messages: framing, and builders and readers for both sides.

The layout of each message is that of the PostgreSQL documentation, chapter
"Frontend/Backend Protocol". Nothing here does I/O.
"""

import struct
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from cuminwall import exceptions

PROTOCOL_VERSION = 196608
CANCEL_REQUEST_CODE = 80877102
SSL_REQUEST_CODE = 80877103
GSSENC_REQUEST_CODE = 80877104

MAX_STARTUP_BYTES = 10_000
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

OID_TEXT = 25

_HEADER = struct.Struct("!cI")
_INT16 = struct.Struct("!h")
_INT32 = struct.Struct("!i")
_UINT16 = struct.Struct("!H")
_UINT32 = struct.Struct("!I")


class Message(NamedTuple):
    """One message after the startup phase.

    Attributes:
      tag: The one-byte type, for example b"Q".
      payload: The body without tag and length.
    """

    tag: bytes
    payload: bytes

    def encode(self) -> bytes:
        """Returns the message as sent: tag, length and payload."""
        return _HEADER.pack(self.tag, len(self.payload) + 4) + self.payload


class Column(NamedTuple):
    """A column of a RowDescription, in text format by default."""

    name: str
    type_oid: int = OID_TEXT
    format_code: int = 0


class Startup(NamedTuple):
    """The first packet of a connection.

    Attributes:
      code: The protocol version or a request code.
      payload: What follows the code.
    """

    code: int
    payload: bytes


class Framer:
    """Splits a byte stream into messages; buffers at most one message."""

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES):
        self.max_message_bytes = max_message_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Returns the messages completed by `data`.

        Raises:
          exceptions.ProtocolError: A length is invalid or above the limit.
        """
        buffer = self.buffer
        buffer += data
        messages = []
        offset = 0
        available = len(buffer)
        while available - offset >= 5:
            tag, length = _HEADER.unpack_from(buffer, offset)
            if length < 4 or length > self.max_message_bytes:
                raise exceptions.ProtocolError(
                    f"invalid length of message {tag!r}: {length} bytes"
                )
            end = offset + 1 + length
            if end > available:
                break
            messages.append(Message(tag, bytes(buffer[offset + 5 : end])))
            offset = end
        if offset:
            del buffer[:offset]
        return messages


def parse_startup_length(data: bytes) -> int:
    """Returns how many bytes follow the length field of a startup packet.

    Raises:
      exceptions.ProtocolError: The length is invalid or above the limit.
    """
    (length,) = _UINT32.unpack(data)
    if length < 8 or length > MAX_STARTUP_BYTES:
        raise exceptions.ProtocolError(
            f"invalid length of startup packet: {length} bytes"
        )
    return length - 4


def parse_startup(body: bytes) -> Startup:
    """Parses the body of a startup packet, after its length field."""
    (code,) = _UINT32.unpack_from(body)
    return Startup(code, body[4:])


def parse_startup_parameters(payload: bytes) -> dict[str, str]:
    """Returns the name and value pairs of a StartupMessage.

    Raises:
      exceptions.ProtocolError: The pairs are malformed.
    """
    fields = payload.split(b"\0")
    parameters: dict[str, str] = {}
    try:
        for index in range(0, len(fields) - 1, 2):
            if not fields[index]:
                break
            parameters[fields[index].decode()] = fields[index + 1].decode()
    except (IndexError, UnicodeDecodeError) as error:
        raise exceptions.ProtocolError("malformed startup packet") from error
    return parameters


def startup_packet(parameters: Mapping[str, str]) -> bytes:
    """Returns a StartupMessage."""
    body = _UINT32.pack(PROTOCOL_VERSION)
    for name, value in parameters.items():
        body += cstring(name) + cstring(value)
    body += b"\0"
    return _UINT32.pack(len(body) + 4) + body


def cancel_packet(process_id: int, secret: int) -> bytes:
    """Returns a CancelRequest."""
    return struct.pack(
        "!IIII", 16, CANCEL_REQUEST_CODE, process_id, secret & 0xFFFFFFFF
    )


def parse_cancel(payload: bytes) -> tuple[int, int]:
    """Returns the process id and the secret of a CancelRequest.

    Raises:
      exceptions.ProtocolError: The packet is too short.
    """
    if len(payload) < 8:
        raise exceptions.ProtocolError("malformed cancel request")
    process_id, secret = struct.unpack_from("!II", payload)
    return process_id, secret


def cstring(text: str) -> bytes:
    """Returns `text` as zero-terminated bytes."""
    return text.encode() + b"\0"


def read_cstring(payload: bytes, offset: int = 0) -> tuple[str, int]:
    """Returns the string at `offset` and the offset after it.

    Raises:
      exceptions.ProtocolError: It has no terminator or is not valid UTF-8.
    """
    end = payload.find(b"\0", offset)
    if end < 0:
        raise exceptions.ProtocolError("string without terminator")
    try:
        return payload[offset:end].decode(), end + 1
    except UnicodeDecodeError as error:
        raise exceptions.ProtocolError("string is not UTF-8") from error


def query(sql: str) -> bytes:
    """Returns a simple Query."""
    return Message(b"Q", cstring(sql)).encode()


def parse_message(name: str, sql: str, type_oids: Sequence[int] = ()) -> bytes:
    """Returns a Parse of `sql` as the statement `name`."""
    payload = cstring(name) + cstring(sql) + _UINT16.pack(len(type_oids))
    for oid in type_oids:
        payload += _UINT32.pack(oid)
    return Message(b"P", payload).encode()


def close_statement(name: str) -> bytes:
    """Returns a Close of the statement `name`."""
    return Message(b"C", b"S" + cstring(name)).encode()


def sync() -> bytes:
    """Returns a Sync."""
    return Message(b"S", b"").encode()


def terminate() -> bytes:
    """Returns a Terminate."""
    return Message(b"X", b"").encode()


def row_description(columns: Iterable[Column]) -> bytes:
    """Returns a RowDescription."""
    columns = list(columns)
    payload = _INT16.pack(len(columns))
    for column in columns:
        payload += cstring(column.name)
        payload += struct.pack(
            "!IhIhih", 0, 0, column.type_oid, -1, -1, column.format_code
        )
    return Message(b"T", payload).encode()


def data_row(values: Sequence[bytes | None]) -> bytes:
    """Returns a DataRow; None stands for NULL."""
    parts = [_INT16.pack(len(values))]
    for value in values:
        if value is None:
            parts.append(_INT32.pack(-1))
            continue
        parts.append(_INT32.pack(len(value)))
        parts.append(value)
    return Message(b"D", b"".join(parts)).encode()


def read_data_row(payload: bytes) -> list[bytes | None]:
    """Returns the values of a DataRow; None stands for NULL.

    Raises:
      exceptions.ProtocolError: The row is truncated.
    """
    try:
        (count,) = _INT16.unpack_from(payload)
        offset = 2
        values: list[bytes | None] = []
        for _ in range(count):
            (size,) = _INT32.unpack_from(payload, offset)
            offset += 4
            if size < 0:
                values.append(None)
                continue
            values.append(payload[offset : offset + size])
            offset += size
    except struct.error as error:
        raise exceptions.ProtocolError("malformed data row") from error
    return values


def command_complete(command: str) -> bytes:
    """Returns a CommandComplete, for example of "INSERT 0 1"."""
    return Message(b"C", cstring(command)).encode()


def ready_for_query(status: bytes) -> bytes:
    """Returns a ReadyForQuery; `status` is b"I", b"T" or b"E"."""
    return Message(b"Z", status).encode()


def parameter_status(name: str, value: str) -> bytes:
    """Returns a ParameterStatus."""
    return Message(b"S", cstring(name) + cstring(value)).encode()


def backend_key_data(process_id: int, secret: int) -> bytes:
    """Returns a BackendKeyData."""
    return Message(b"K", struct.pack("!II", process_id, secret)).encode()


def error_response(
    sqlstate: str, message: str, severity: str = "ERROR", detail: str = ""
) -> bytes:
    """Returns an ErrorResponse."""
    payload = b"S" + cstring(severity) + b"V" + cstring(severity)
    payload += b"C" + cstring(sqlstate) + b"M" + cstring(message)
    if detail:
        payload += b"D" + cstring(detail)
    return Message(b"E", payload + b"\0").encode()


def read_error_fields(payload: bytes) -> dict[str, str]:
    """Returns the fields of an ErrorResponse or notice by their type."""
    fields: dict[str, str] = {}
    for part in payload.split(b"\0"):
        if part:
            fields[chr(part[0])] = part[1:].decode(errors="replace")
    return fields


def authentication(code: int, data: bytes = b"") -> bytes:
    """Returns an authentication request; code 0 means success."""
    return Message(b"R", _INT32.pack(code) + data).encode()
