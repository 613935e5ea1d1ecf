"""Answers to statements, from a backend server or from this instance."""

import enum
from typing import NamedTuple


class Position(NamedTuple):
    """A position in the log of a database group; later ones compare greater.

    Attributes:
      term: The primary's term.
      number: The sequence number of the commit.
    """

    term: int
    number: int


class Phase(enum.Enum):
    """The transaction phase of a session after an answer.

    Attributes:
      IDLE: Outside a transaction.
      OPEN: In a transaction.
      FAILED: In a transaction that can only be rolled back.
    """

    IDLE = enum.auto()
    OPEN = enum.auto()
    FAILED = enum.auto()


class Reason(enum.Enum):
    """Why a statement failed.

    Attributes:
      OVERLOADED: Not run: no capacity, or the workspace is over its rate.
      ROLLED_BACK: The transaction was rolled back.
      BEHIND: Not run: the server has not reached the minimum position.
      NOT_PRIMARY: Not run: the server is not the primary.
      WRONG_SERVER: Not run: another server answers at this address.
      TOO_MANY_CONNECTIONS: Not run: the server accepts no more connections.
      OUTCOME_UNKNOWN: It has run completely or not at all.
      TIMED_OUT: No answer came within the time limit.
      FAILED: The server ran it and reported an error.
      UNKNOWN_STATEMENT: Not run: no prepared statement has this name.
      NO_DATABASE: Not run: this database has no route.
      KEY_UNKNOWN: Not run: the key belongs to no workspace.
      MALFORMED: Not run: the statement can't be parsed or is not allowed in
        the session's present phase.
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


# With these reasons a backend server has certainly not run the statement.
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
    """A failure.

    Attributes:
      reason: Its type.
      detail: A one-line message for the caller.
    """

    reason: Reason
    detail: str


class Status(NamedTuple):
    """A server's reply to a status query.

    Attributes:
      is_primary: Whether it is the primary.
      term: The highest term that it knows.
      position: The end of its log.
      held_term: The term for which it receives no more commits; 0 if it does.
    """

    is_primary: bool
    term: int
    position: Position
    held_term: int = 0


class Answer(NamedTuple):
    """The complete answer to one statement.

    Attributes:
      rows: The rows, as the server sent them.
      completion: The server's completion text; "" without a server.
      failure: The failure, or None.
      phase: The transaction phase of the session after it.
      position: The server's log position, or None.
      status: The server's status, if it was queried.
    """

    rows: tuple[str, ...]
    completion: str
    failure: Failure | None
    phase: Phase
    position: Position | None
    status: Status | None = None


def done(phase: Phase) -> Answer:
    """Returns a success that needs no server."""
    return Answer((), "", None, phase, None)


def failed(reason: Reason, detail: str, phase: Phase) -> Answer:
    """Returns a failure detected by this instance."""
    return Answer((), "", Failure(reason, detail), phase, None)
