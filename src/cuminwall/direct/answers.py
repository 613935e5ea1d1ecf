"""What comes back for a statement, from a backend server or from here."""

import enum
from typing import NamedTuple


class Position(NamedTuple):
    """A place in the log of a database group; later places compare greater.

    Attributes:
      term: The primary's term.
      number: The number of the commit.
    """

    term: int
    number: int


class Phase(enum.Enum):
    """Where a session stands after an answer.

    Attributes:
      IDLE: Outside a transaction.
      OPEN: In a transaction.
      FAILED: In a transaction that can only be rolled back.
    """

    IDLE = enum.auto()
    OPEN = enum.auto()
    FAILED = enum.auto()


class Reason(enum.Enum):
    """Why a statement was not answered with a success.

    Attributes:
      OVERLOADED: Not run: no room for it, or the workspace is over its rate.
      ROLLED_BACK: The transaction is undone.
      BEHIND: Not run: the server lacks a position that was asked for.
      NOT_PRIMARY: Not run: the server is no primary.
      WRONG_SERVER: Not run: another server answers at this address.
      TOO_MANY_CONNECTIONS: Not run: the server takes no more connections.
      OUTCOME_UNKNOWN: It may have run, wholly or not at all.
      TIMED_OUT: No answer came within the time limit.
      FAILED: The server ran it, without success.
      UNKNOWN_STATEMENT: Not run: no prepared statement has this name.
      NO_DATABASE: Not run: no route leads to this database.
      KEY_UNKNOWN: Not run: the key is of no workspace.
      MALFORMED: Not run: the statement can't be understood or has no place
        in the session's present phase.
    """

    OVERLOADED = enum.auto()
    ROLLED_BACK = enum.auto()
    BEHIND = enum.auto()
    NOT_PRIMARY = enum.auto()
    WRONG_SERVER = enum.auto()
    TOO_MANY_CONNECTIONS = enum.auto()
    OUTCOME_UNKNOWN = enum.auto()
    TIMED_OUT = enum.auto()
    FAILED = enum.auto()
    UNKNOWN_STATEMENT = enum.auto()
    NO_DATABASE = enum.auto()
    KEY_UNKNOWN = enum.auto()
    MALFORMED = enum.auto()


# After these a backend server surely has not run the statement.
NOT_RUN_REASONS = frozenset(
    {
        Reason.OVERLOADED,
        Reason.BEHIND,
        Reason.NOT_PRIMARY,
        Reason.WRONG_SERVER,
        Reason.TOO_MANY_CONNECTIONS,
    }
)


class Failure(NamedTuple):
    """A failure and what is said of it.

    Attributes:
      reason: Its type.
      detail: One sentence for the caller's log.
    """

    reason: Reason
    detail: str


class Status(NamedTuple):
    """What a server says of itself when it is asked.

    Attributes:
      is_primary: Whether it leads.
      term: The highest term that it knows.
      position: How far its log goes.
    """

    is_primary: bool
    term: int
    position: Position


class Answer(NamedTuple):
    """The whole answer to one statement.

    Attributes:
      rows: The rows, as the server sent them.
      completion: What the server completed it with; "" without a server.
      failure: Why it was no success, or None.
      phase: Where the session stands after it.
      position: The server's place in its log, or None.
      status: What it says of itself, if that was asked for.
    """

    rows: tuple[str, ...]
    completion: str
    failure: Failure | None
    phase: Phase
    position: Position | None
    status: Status | None = None


def done(phase: Phase) -> Answer:
    """Returns the answer to a statement that needs no server."""
    return Answer((), "", None, phase, None)


def failed(reason: Reason, detail: str, phase: Phase) -> Answer:
    """Returns an answer that was made here."""
    return Answer((), "", Failure(reason, detail), phase, None)
