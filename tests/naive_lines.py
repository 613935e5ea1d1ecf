"""A backend server and a proxy of the line protocol, naive and byte-wise.

Both are written from the protocol's description alone and share no code with
cuminwall. The proxy opens a new connection to a server for each transaction
and each single statement, and renames nothing.
"""

import zlib
from typing import NamedTuple

MAX_MESSAGE_BYTES = 1_048_576  # Without the line end.
LINE_END = b"\r\n"
OWN_ID = b"-"
FAILING_ITEM = b"fail"  # A statement on this item is run and fails.
IDLE = b"I"
OPEN = b"T"
FAILED = b"E"


class Shape(NamedTuple):
    """The definition of a prepared statement."""

    kind: bytes
    text: bytes


class Run(NamedTuple):
    """A caller's statement that a server has run.

    Attributes:
      request: Its id.
      word: Its first word.
      arguments: What follows, but for the name of a prepared statement.
      shape: What its prepared name stood for on the connection, or None.
      values: The session values that were in force.
    """

    request: bytes
    word: bytes
    arguments: bytes
    shape: Shape | None
    values: tuple[tuple[bytes, bytes], ...]


class Place(NamedTuple):
    """Where a server ran a statement.

    Attributes:
      connection: The number of the connection.
      transaction: The number of its transaction there; 0 outside of one.
    """

    connection: int
    transaction: int


class Record:
    """What all connections to servers have seen.

    Attributes:
      runs: The statements run, in order.
      places: Where each was run.
      commits: The ids of the writes that were committed, in order.
      texts: The texts of callers' statements as they were received.
      longest: The length of the longest message, in bytes.
      errors: What breaks the protocol.
      prepared: The largest number of prepared statements of a connection.
      resets: How many connections were reset.
    """

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.places: list[Place] = []
        self.commits: list[bytes] = []
        self.texts: dict[bytes, bytes] = {}
        self.longest = 0
        self.errors: list[str] = []
        self.prepared = 0
        self.resets = 0
        self.connections = 0


def answer_lines(run: Run) -> list[bytes]:
    """Returns the lines that answer a statement, but for READY.

    They depend on all that a statement runs with, and hold bytes of any kind.
    """
    digest = zlib.crc32(repr(run).encode())
    if run.arguments.strip().startswith(FAILING_ITEM):
        return [b"ERROR FAILED  failed %x  " % digest]
    lines = []
    if run.word != b"COMMIT":
        tail = run.arguments[-40:].replace(b"\n", b"\r")
        for number in range(digest % 4):
            lines.append(b"ROW " + b" " * number + b"%x" % digest + tail)
        if digest % 5 == 0:
            lines.append(b"ROW ")
    blanks = b" " * (digest % 3)
    lines.append(b"COMPLETE 7.%x " % digest + b"\xff\x00 x" + blanks)
    return lines


class ServerConnection:
    """A backend server's end of one connection."""

    def __init__(self, record: Record, is_primary: bool = True):
        self.record = record
        self.is_primary = is_primary
        record.connections += 1
        self.number = record.connections
        self.is_open = False
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, Shape] = {}
        self.state = IDLE
        self.transactions = 0
        self.is_read_only = False
        self.writes: list[bytes] = []

    def handle(self, line: bytes) -> list[bytes]:
        """Returns the lines that answer a message, but for READY."""
        self.record.longest = max(self.record.longest, len(line))
        word, _, rest = line.partition(b" ")
        if word == b"STARTUP" and not self.is_open:
            self.is_open = True
            return []
        if word != b"QUERY" or not self.is_open:
            return self._break(line)
        request, _, text = rest.partition(b" ")
        if request == OWN_ID:
            return self._run_own(text)
        return self._run_statement(request, text)

    def fail(self) -> None:
        """Fails the open transaction, if there is one."""
        if self.state == OPEN:
            self.state = FAILED

    def _break(self, line: bytes) -> list[bytes]:
        """Records a message that the protocol doesn't allow."""
        self.record.errors.append(repr(line[:80]))
        return [b"ERROR MALFORMED not allowed"]

    def _run_own(self, text: bytes) -> list[bytes]:
        """Runs a statement that the proxy itself issued."""
        word, _, rest = _without_position(text).partition(b" ")
        if word == b"BEGIN" and self.state == IDLE and rest in (b"", b"READ"):
            self.is_read_only = rest == b"READ"
            if not self.is_read_only and not self.is_primary:
                return [b"ERROR READONLY replica"]
            self.state = OPEN
            self.transactions += 1
        elif word == b"ROLLBACK" and self.state != IDLE and not rest:
            self._end()
        elif word == b"RESET" and self.state == IDLE and not rest:
            self.record.resets += 1
            self.values = {}
            self.prepared = {}
        elif word == b"SET":
            name, separator, value = rest.partition(b" ")
            if not separator:
                return self._break(text)
            self.values[name] = value
        elif word == b"PREPARE":
            name, _, definition = rest.partition(b" ")
            kind, separator, shape = definition.partition(b" ")
            if kind not in (b"READ", b"WRITE") or not separator:
                return self._break(text)
            self.prepared[name] = Shape(kind, shape)
            count = len(self.prepared)
            self.record.prepared = max(self.record.prepared, count)
        else:
            return self._break(text)
        return [b"COMPLETE -"]

    def _run_statement(self, request: bytes, text: bytes) -> list[bytes]:
        """Runs a caller's statement."""
        text = _without_position(text)
        word, separator, rest = text.partition(b" ")
        if word not in (b"READ", b"WRITE", b"EXECUTE", b"COMMIT"):
            return self._break(text)
        shape = None
        if word == b"EXECUTE":
            name, separator, rest = rest.partition(b" ")
            shape = self.prepared.get(name)
            if shape is None:
                return [b"ERROR NOSTMT no such name"]
            text = word + text[len(word) + 1 + len(name) :]
        kind = shape.kind if shape is not None else word
        if kind == b"WRITE" and (self.is_read_only or not self.is_primary):
            return [b"ERROR READONLY replica"]
        values = tuple(sorted(self.values.items()))
        run = Run(request, word, separator + rest, shape, values)
        self._record(run, text)
        lines = answer_lines(run)
        if lines[-1].startswith(b"ERROR"):
            self.fail()
            return lines
        if kind == b"WRITE":
            self.writes.append(request)
        if word == b"COMMIT" or self.state == IDLE:
            self.record.commits += self.writes
            self._end()
        return lines

    def _record(self, run: Run, text: bytes) -> None:
        """Records that a statement is run."""
        transaction = self.transactions if self.state != IDLE else 0
        self.record.runs.append(run)
        self.record.places.append(Place(self.number, transaction))
        self.record.texts[run.request] = text

    def _end(self) -> None:
        """Ends the transaction, if there is one."""
        self.state = IDLE
        self.is_read_only = False
        self.writes = []


def _without_position(text: bytes) -> bytes:
    """Returns a text without the prefix of a minimum position."""
    if not text.startswith(b"AFTER "):
        return text
    return text.split(b" ", 2)[2]


class Reply(NamedTuple):
    """The answer to one message, without the position in its READY.

    Attributes:
      lines: The lines before READY; an ERROR of the proxy's own without text.
      state: The state in READY.
    """

    lines: tuple[bytes, ...]
    state: bytes


class NaiveProxy:
    """One caller's session.

    Attributes:
      record: What its servers have seen.
      replies: The answers to the caller.
      transactions: For each statement run, the number of the caller's
        transaction; 0 outside of one.
    """

    def __init__(self) -> None:
        self.record = Record()
        self.replies: list[Reply] = []
        self.transactions: list[int] = []
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, Shape] = {}
        self.state = IDLE
        self.begun = 0
        self.is_read_only = False
        self.connection: ServerConnection | None = None

    def handle(self, line: bytes) -> None:
        """Answers one message after the login."""
        lines = self._answer(line)
        is_error = lines[-1].startswith(b"ERROR")
        if is_error and self.state == OPEN:
            # A transaction with a failed statement has failed.
            self.state = FAILED
        self.replies.append(Reply(tuple(lines), self.state))

    def _answer(self, line: bytes) -> list[bytes]:
        """Returns the lines of an answer before READY."""
        malformed = [b"ERROR MALFORMED"]
        if len(line) > MAX_MESSAGE_BYTES:
            return malformed
        word, _, rest = line.partition(b" ")
        request, _, text = rest.partition(b" ")
        if word != b"QUERY" or request in (b"", OWN_ID):
            return malformed
        word, _, rest = text.partition(b" ")
        ends = word in (b"COMMIT", b"ROLLBACK") and not rest
        if self.state == FAILED and not ends:
            return malformed
        if word in (b"COMMIT", b"ROLLBACK", b"BEGIN"):
            return self._answer_bounds(request, text, word, rest) or malformed
        if word in (b"SET", b"PREPARE", b"DEALLOCATE"):
            return self._answer_session(word, rest) or malformed
        if word == b"EXECUTE" and rest:
            name = rest.partition(b" ")[0]
            if not name:
                return malformed
            if name not in self.prepared:
                return [b"ERROR NOSTMT"]
            return self._forward(request, text, self.prepared[name].kind)
        if word in (b"READ", b"WRITE") and rest:
            return self._forward(request, text, word)
        return malformed

    def _answer_bounds(
        self, request: bytes, text: bytes, word: bytes, rest: bytes
    ) -> list[bytes]:
        """Answers BEGIN, COMMIT and ROLLBACK; returns [] if malformed."""
        if word == b"BEGIN":
            if self.state != IDLE or rest not in (b"", b"READ"):
                return []
            self.state = OPEN
            self.begun += 1
            self.is_read_only = rest == b"READ"
            self.connection = None
            return [b"COMPLETE -"]
        if self.state == IDLE or rest:
            return []
        if word == b"ROLLBACK" or self.state == FAILED:
            self.state = IDLE
            is_rollback = word == b"ROLLBACK"
            return [b"COMPLETE -" if is_rollback else b"ERROR ABORTED"]
        lines = self._forward(request, text, word)
        self.state = IDLE
        return lines

    def _answer_session(self, word: bytes, rest: bytes) -> list[bytes]:
        """Answers SET, PREPARE and DEALLOCATE; returns [] if malformed."""
        name, separator, value = rest.partition(b" ")
        if not name:
            return []
        if word == b"SET":
            if not separator:
                return []
            self.values[name] = value
        elif word == b"PREPARE":
            kind, separator, shape = value.partition(b" ")
            if kind not in (b"READ", b"WRITE") or not separator:
                return []
            self.prepared[name] = Shape(kind, shape)
        elif self.prepared.pop(rest, None) is None:
            return [b"ERROR NOSTMT"]
        return [b"COMPLETE -"]

    def _forward(self, request: bytes, text: bytes, kind: bytes) -> list[bytes]:
        """Runs a statement on a connection of its own or its transaction's."""
        if self.state == IDLE:
            self.connection = None
        is_first = self.connection is None
        connection = self.connection or ServerConnection(self.record)
        if is_first:
            connection.handle(b"STARTUP s w")
        for name, value in self.values.items():
            connection.handle(b"QUERY - SET " + name + b" " + value)
        for name, shape in self.prepared.items():
            definition = b" ".join((name, *shape))
            connection.handle(b"QUERY - PREPARE " + definition)
        if self.state == OPEN:
            self.connection = connection
        if self.state == OPEN and is_first:
            word = b"BEGIN READ" if self.is_read_only else b"BEGIN"
            connection.handle(b"QUERY - " + word)
        count = len(self.record.runs)
        lines = connection.handle(b"QUERY " + request + b" " + text)
        if len(self.record.runs) > count:
            number = self.begun if self.state == OPEN else 0
            self.transactions.append(number)
        if lines == [b"ERROR READONLY replica"]:
            return [b"ERROR READONLY"]
        return lines
