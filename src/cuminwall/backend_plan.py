"""From the steps of a round to the bytes sent and the answers expected.

Statements carry names derived from their content, so that many sessions share
them on one connection. A Parse of a statement that exists is not sent, and a
statement that is missing is parsed ahead of its first use. Nothing here does
I/O.
"""

import enum
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from cuminwall import exceptions, wire, work

MAX_STATEMENTS = 256


class AnswerKind(enum.Enum):
    """What the server answers to one message."""

    PARSE_COMPLETE = enum.auto()
    BIND_COMPLETE = enum.auto()
    CLOSE_COMPLETE = enum.auto()
    PARAMETERS = enum.auto()
    ROW_SHAPE = enum.auto()
    EXECUTION = enum.auto()
    READY = enum.auto()
    QUERY = enum.auto()
    LOCAL = enum.auto()


class Purpose(enum.Enum):
    """On whose behalf a message was sent.

    SETTINGS is a change whose answer is awaited before the round is sent;
    SETTINGS_BEFORE goes in the same write as the round.
    """

    CALLER = enum.auto()
    STATEMENTS = enum.auto()
    SETTINGS = enum.auto()
    SETTINGS_BEFORE = enum.auto()
    POSITION = enum.auto()


class ExpectedAnswer(NamedTuple):
    """An answer that is still to come.

    Attributes:
      kind: Its kind.
      purpose: Who asked; only the caller's answers reach the sink.
      statement: The statement that is parsed or closed, or "".
      message: For a LOCAL answer the encoded message itself.
    """

    kind: AnswerKind
    purpose: Purpose = Purpose.CALLER
    statement: str = ""
    message: bytes = b""


class Plan(NamedTuple):
    """What to send, and what to expect in return.

    Attributes:
      request: The bytes to write.
      expected: The answers in the order in which they come.
      used_statements: The names of the statements that the round makes or uses.
    """

    request: bytes
    expected: list[ExpectedAnswer]
    used_statements: frozenset[str]


class PreparedStatements:
    """The prepared statements on one connection, least recently used first.

    Attributes:
      names: The statements that exist.
      stale: Those among them that must be closed before any use.
    """

    def __init__(self, limit: int = MAX_STATEMENTS):
        self.limit = limit
        self.names: dict[str, None] = {}
        self.stale: set[str] = set()

    def add(self, name: str) -> None:
        """Notes that a statement exists now."""
        self.names[name] = None

    def discard(self, name: str) -> None:
        """Notes that a statement does not exist any more."""
        self.names.pop(name, None)
        self.stale.discard(name)

    def clear(self) -> None:
        """Notes that no statement exists any more."""
        self.names.clear()
        self.stale.clear()

    def mark_used(self, names: Iterable[str]) -> None:
        """Marks statements as used just now."""
        for name in names:
            if name in self.names:
                del self.names[name]
                self.names[name] = None

    def mark_stale(self, names: Iterable[str]) -> None:
        """Has statements closed ahead of the next round.

        A name that was thought not to exist is included, since closing what
        does not exist is no error.
        """
        for name in names:
            self.names.setdefault(name)
            self.stale.add(name)

    def choose_evicted(self, wanted: Collection[str]) -> list[str]:
        """Returns what to close so that `wanted` fits under the limit."""
        closed = list(self.stale)
        surplus = len(self.names) - len(closed) - self.limit
        for name in wanted:
            if name not in self.names or name in self.stale:
                surplus += 1
        for name in self.names:
            if surplus <= 0:
                break
            if name in wanted or name in self.stale:
                continue
            closed.append(name)
            surplus -= 1
        return closed


PARSE_COMPLETE = wire.Message(b"1", b"").encode()
CLOSE_COMPLETE = wire.Message(b"3", b"").encode()

_SIMPLE_ANSWERS = {
    b"B": (AnswerKind.BIND_COMPLETE,),
    b"E": (AnswerKind.EXECUTION,),
    b"S": (AnswerKind.READY,),
    b"Q": (AnswerKind.QUERY,),
    b"H": (),
}


class Planner:
    """Plans one round against the statements of a connection."""

    def __init__(
        self, statements: PreparedStatements, prepared: Sequence[work.Prepared]
    ):
        self.statements = statements
        self.statements_by_name = {entry.name: entry for entry in prepared}
        self.existing: set[str] = set()
        self.failed = False
        self.request: list[bytes] = []
        self.expected: list[ExpectedAnswer] = []

    def plan(
        self,
        steps: Sequence[work.Step],
        skipping: bool = False,
        failed: bool = False,
    ) -> Plan:
        """Returns what to send for `steps`.

        Args:
          steps: The round; at most its last step is a Query, Sync or Flush.
          skipping: Whether the server discards everything up to a Sync.
          failed: Whether the round starts in a failed transaction.

        Raises:
          exceptions.ProtocolError: The server would never answer a step.
        """
        self.failed = failed
        used = set(self.statements_by_name)
        for step in steps:
            if step.parsed_name:
                used.add(step.parsed_name)
        if skipping:
            self.add_skipped_steps(steps)
        else:
            self.evict_statements(used)
            for step in steps:
                self.add_step(step)
        return Plan(b"".join(self.request), self.expected, frozenset(used))

    def evict_statements(self, wanted: Collection[str]) -> None:
        """Closes surplus statements ahead of the steps."""
        closed = self.statements.choose_evicted(wanted)
        for name in closed:
            self.request.append(wire.close_statement(name))
            self.expect(AnswerKind.CLOSE_COMPLETE, Purpose.STATEMENTS, name)
        self.existing = set(self.statements.names).difference(closed)
        self.statements.mark_used(wanted)

    def add_step(self, step: work.Step) -> None:
        """Adds one step."""
        tag = step.message[:1]
        if tag == b"P":
            self.add_parse(step)
            return
        if tag == b"C" and self.is_named_statement(step.message):
            # Other sessions share the statement, so it stays.
            self.answer_locally(CLOSE_COMPLETE)
            return
        if tag in (b"B", b"D"):
            self.ensure_prepared(_used_statement(step.message))
        self.request.append(step.message)
        for answer in _answers_to(step.message):
            self.expect(answer)

    def add_parse(self, step: work.Step) -> None:
        """Adds a Parse, unless its statement exists."""
        name = step.parsed_name
        if name and name in self.existing:
            if not self.failed:
                self.answer_locally(PARSE_COMPLETE)
                return
            # A failed transaction refuses most statements, and only the
            # server can tell which.
            self.request.append(_without_name(step.message))
            self.expect(AnswerKind.PARSE_COMPLETE)
            return
        self.request.append(step.message)
        self.expect(AnswerKind.PARSE_COMPLETE, Purpose.CALLER, name)
        if name:
            self.existing.add(name)

    def ensure_prepared(self, name: str) -> None:
        """Parses the statement `name` if it is missing."""
        if name in self.existing or name not in self.statements_by_name:
            return
        entry = self.statements_by_name[name]
        self.request.append(
            wire.parse_message(name, entry.sql, entry.type_oids)
        )
        self.expect(AnswerKind.PARSE_COMPLETE, Purpose.STATEMENTS, name)
        self.existing.add(name)

    def add_skipped_steps(self, steps: Sequence[work.Step]) -> None:
        """Adds steps that the server discards up to a Sync."""
        for step in steps:
            tag = step.message[:1]
            if tag == b"Q":
                raise exceptions.ProtocolError(
                    "a Query came where the server waits for a Sync"
                )
            if tag == b"S":
                self.request.append(step.message)
                self.expect(AnswerKind.READY)

    def answer_locally(self, message: bytes) -> None:
        """Expects nothing of the server, and gives out `message` in turn."""
        self.expected.append(ExpectedAnswer(AnswerKind.LOCAL, message=message))

    def expect(
        self,
        kind: AnswerKind,
        purpose: Purpose = Purpose.CALLER,
        statement: str = "",
    ) -> None:
        """Expects an answer of the server."""
        self.expected.append(ExpectedAnswer(kind, purpose, statement))

    @staticmethod
    def is_named_statement(message: bytes) -> bool:
        """Returns whether a Close or Describe is of a named statement."""
        return message[5:6] == b"S" and message[6:7] != b"\0"


def _answers_to(message: bytes) -> tuple[AnswerKind, ...]:
    tag = message[:1]
    if tag == b"D":
        if message[5:6] == b"S":
            return (AnswerKind.PARAMETERS, AnswerKind.ROW_SHAPE)
        return (AnswerKind.ROW_SHAPE,)
    if tag == b"C":
        return (AnswerKind.CLOSE_COMPLETE,)
    if tag not in _SIMPLE_ANSWERS:
        raise exceptions.ProtocolError(f"step {tag!r} is not carried")
    return _SIMPLE_ANSWERS[tag]


def _used_statement(message: bytes) -> str:
    if message[:1] == b"D":
        if message[5:6] != b"S":
            return ""
        return wire.read_cstring(message, 6)[0]
    _, offset = wire.read_cstring(message, 5)
    return wire.read_cstring(message, offset)[0]


def _without_name(message: bytes) -> bytes:
    _, offset = wire.read_cstring(message, 5)
    return wire.Message(b"P", b"\0" + message[offset:]).encode()
