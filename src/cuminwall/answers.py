"""Reads a server's answer for its effects on the session as it is forwarded.

The answer comes in chunks of any size. Only the completions are kept.
"""

import struct
from typing import NamedTuple

from cuminwall import wire

ROLLBACK = "ROLLBACK"

_HEADER_BYTES = 5
_MAX_COMMAND_BYTES = 64
_WARNING_SQLSTATE = "25P01"
_COMPLETION_TAGS = frozenset({b"1", b"3", b"C", b"I", b"s"})
_LENGTH = struct.Struct("!I")


class Completion(NamedTuple):
    """The completion of one message of the round.

    Attributes:
      command: The command tag of a CommandComplete, else "".
      suspended: Whether a portal has more rows.
    """

    command: str
    suspended: bool


class AnswerReader:
    """Parses an answer as it is forwarded.

    Attributes:
      completions: The completions in order.
      failed: Whether there was an ErrorResponse.
      drops_warning: Whether to drop the warning about SET LOCAL outside a
        transaction.
    """

    def __init__(self, drops_warning: bool = False):
        self.completions: list[Completion] = []
        self.failed = False
        self.drops_warning = drops_warning
        self.buffered = b""
        self.skip_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Parses a chunk and returns the bytes to forward to the caller now."""
        if self.drops_warning:
            return self._filter(data)
        self._scan(data)
        return data

    def _scan(self, data: bytes) -> None:
        """Parses the headers, and the bodies of completions."""
        offset = min(self.skip_bytes, len(data))
        self.skip_bytes -= offset
        if self.buffered:
            data = self.buffered + data[offset:]
            self.buffered = b""
            offset = 0
        available = len(data)
        while offset < available:
            if available - offset < _HEADER_BYTES:
                self.buffered = data[offset:]
                return
            tag = data[offset : offset + 1]
            (length,) = _LENGTH.unpack_from(data, offset + 1)
            end = offset + 1 + length
            if tag == b"C" and end > available and length < _MAX_COMMAND_BYTES:
                self.buffered = data[offset:]
                return
            self._record(tag, data[offset + _HEADER_BYTES : end])
            if end > available:
                self.skip_bytes = end - available
            offset = end

    def _filter(self, data: bytes) -> bytes:
        """Returns the completed messages, without the warning to drop."""
        data = self.buffered + data
        self.buffered = b""
        offset = 0
        kept = []
        while len(data) - offset >= _HEADER_BYTES:
            tag = data[offset : offset + 1]
            (length,) = _LENGTH.unpack_from(data, offset + 1)
            end = offset + 1 + length
            if end > len(data):
                break
            body = data[offset + _HEADER_BYTES : end]
            self._record(tag, body)
            if tag != b"N" or not _is_set_local_warning(body):
                kept.append(data[offset:end])
            offset = end
        self.buffered = data[offset:]
        return b"".join(kept)

    def _record(self, tag: bytes, body: bytes) -> None:
        if tag == b"E":
            self.failed = True
            return
        if tag not in _COMPLETION_TAGS:
            return
        command = ""
        if tag == b"C":
            command = body.partition(b"\0")[0].decode(errors="replace")
        self.completions.append(Completion(command, tag == b"s"))


def _is_set_local_warning(body: bytes) -> bool:
    return wire.read_error_fields(body).get("C") == _WARNING_SQLSTATE
