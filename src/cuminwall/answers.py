"""What a session must learn from a server's answer while it passes through.

The bytes come in pieces of any size. Nothing is kept but the completions.
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
    """One completed message of the round.

    Attributes:
      command: The command tag, for a completed statement.
      suspended: Whether a portal has more rows.
    """

    command: str
    suspended: bool


class AnswerReader:
    """Reads an answer as it passes.

    Attributes:
      completions: The completions in order.
      failed: Whether an ErrorResponse passed.
      drops_warning: Whether to drop the warning about SET LOCAL in no transaction.
    """

    def __init__(self, drops_warning: bool = False):
        self.completions: list[Completion] = []
        self.failed = False
        self.drops_warning = drops_warning
        self.buffered = b""
        self.skip_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Reads `data` and returns what goes to the caller now."""
        if self.drops_warning:
            return self._filter(data)
        self._walk(data)
        return data

    def _walk(self, data: bytes) -> None:
        """Reads the headers, and the bodies of completions."""
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
            self._note(tag, data[offset + _HEADER_BYTES : end])
            if end > available:
                self.skip_bytes = end - available
            offset = end

    def _filter(self, data: bytes) -> bytes:
        """Returns the whole messages in `data` that are not muted."""
        data = self.buffered + data
        self.buffered = b""
        offset = 0
        passed = []
        while len(data) - offset >= _HEADER_BYTES:
            tag = data[offset : offset + 1]
            (length,) = _LENGTH.unpack_from(data, offset + 1)
            end = offset + 1 + length
            if end > len(data):
                break
            body = data[offset + _HEADER_BYTES : end]
            self._note(tag, body)
            if tag != b"N" or not _is_muted(body):
                passed.append(data[offset:end])
            offset = end
        self.buffered = data[offset:]
        return b"".join(passed)

    def _note(self, tag: bytes, body: bytes) -> None:
        if tag == b"E":
            self.failed = True
            return
        if tag not in _COMPLETION_TAGS:
            return
        command = ""
        if tag == b"C":
            command = body.partition(b"\0")[0].decode(errors="replace")
        self.completions.append(Completion(command, tag == b"s"))


def _is_muted(body: bytes) -> bool:
    return wire.read_error_fields(body).get("C") == _WARNING_SQLSTATE
