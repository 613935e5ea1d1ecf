"""What is sent to a backend server, one type for each kind."""

from typing import NamedTuple

from cuminwall.direct.answers import Position
from cuminwall.direct.statements import Execute, Shape, Statement


class Forward(NamedTuple):
    """A caller's statement, its id and text unchanged.

    Attributes:
      statement: The caller's statement.
      min_position: The position that the server's log must hold, or None.
    """

    statement: Statement
    min_position: Position | None


class ForwardExecute(NamedTuple):
    """A caller's call of a prepared statement, under the name used here."""

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
    """Drops the values and prepared statements of a connection."""


class AssignValue(NamedTuple):
    """Sets a session value on a connection."""

    name: str
    value: str


class PrepareShape(NamedTuple):
    """Makes a prepared statement on a connection."""

    name: str
    shape: Shape


class AskStatus(NamedTuple):
    """Asks a server for its role, term and position."""


class StepDown(NamedTuple):
    """Makes a primary of a term below `term` a replica."""

    term: int


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
)
