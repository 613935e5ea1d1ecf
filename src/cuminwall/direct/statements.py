"""What a caller asks for, one type for each kind of statement.

The text travels unchanged to a backend server, so a statement keeps it; what
the decisions need stands beside it.
"""

from typing import NamedTuple


class Shape(NamedTuple):
    """What a prepared statement runs.

    Attributes:
      writes: Whether it writes.
      text: The rest of its definition, compared as it stands.
    """

    writes: bool
    text: str


class Begin(NamedTuple):
    """Opens a transaction."""

    request: str
    text: str
    read_only: bool


class Commit(NamedTuple):
    """Ends a transaction and keeps what it wrote."""

    request: str
    text: str


class Rollback(NamedTuple):
    """Ends a transaction and drops what it wrote."""

    request: str
    text: str


class Read(NamedTuple):
    """Reads one item."""

    request: str
    text: str


class Write(NamedTuple):
    """Writes one item."""

    request: str
    text: str


class Assign(NamedTuple):
    """Sets a value of the session."""

    request: str
    text: str
    name: str
    value: str


class Prepare(NamedTuple):
    """Names a statement for later use in the session."""

    request: str
    text: str
    name: str
    shape: Shape


class Execute(NamedTuple):
    """Runs a prepared statement.

    Attributes:
      request: The caller's id of the request.
      text: The whole statement.
      name: The name that the caller gave to the prepared statement.
      arguments: What follows the name, as it stands.
    """

    request: str
    text: str
    name: str
    arguments: str


class Deallocate(NamedTuple):
    """Forgets a prepared statement."""

    request: str
    text: str
    name: str


class Malformed(NamedTuple):
    """A statement of no known kind."""

    request: str
    text: str


Statement = (
    Begin
    | Commit
    | Rollback
    | Read
    | Write
    | Assign
    | Prepare
    | Execute
    | Deallocate
    | Malformed
)
