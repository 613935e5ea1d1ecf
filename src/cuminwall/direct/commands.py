"""The commands sent to backend servers, one type for each kind."""

from typing import NamedTuple

from cuminwall.direct.answers import Position
from cuminwall.direct.statements import Execute, Shape, Statement

# Of the names that prepared statements have on connections to servers. They
# are never used again on one, and 387 million is more than one ever needs.
MAX_NAME_CHARS = 5


class Forward(NamedTuple):
    """Runs a caller's statement, its id and text unchanged.

    Attributes:
      statement: The caller's statement.
      min_position: The log position that the server must have reached,
        or None.
    """

    statement: Statement
    min_position: Position | None


class ForwardExecute(NamedTuple):
    """Executes a prepared statement under its name on the connection."""

    statement: Execute
    name: str
    min_position: Position | None


class OpenTransaction(NamedTuple):
    """Opens a transaction for a caller or for one read."""

    read_only: bool
    min_position: Position | None


class EndTransaction(NamedTuple):
    """Rolls a transaction back."""


class ResetConnection(NamedTuple):
    """Clears the values and prepared statements of a connection."""


class AssignValue(NamedTuple):
    """Sets a session value on a connection."""

    name: str
    value: str


class PrepareShape(NamedTuple):
    """Prepares a statement on a connection."""

    name: str
    shape: Shape


class AskStatus(NamedTuple):
    """Queries a server's role, term and position."""


class StepDown(NamedTuple):
    """Demotes the server to a replica if it is primary of a lower term."""

    term: int


class Hold(NamedTuple):
    """Stops a replica from receiving commits, for a term above the newest."""

    term: int


class Release(NamedTuple):
    """Lets a replica receive commits again."""


Command = (
    Forward
    | ForwardExecute
    | OpenTransaction
    | EndTransaction
    | ResetConnection
    | AssignValue
    | PrepareShape
    | AskStatus
    | StepDown
    | Hold
    | Release
)
