"""The statements of callers, one type for each kind.

A backend server gets the text unchanged, so each statement keeps it beside
the fields that were parsed from it.
"""

from typing import NamedTuple


class Shape(NamedTuple):
    """The definition of a prepared statement.

    Attributes:
      writes: Whether it writes.
      text: The rest of the definition, compared byte for byte.
    """

    writes: bool
    text: str


class Begin(NamedTuple):
    """Opens a transaction."""

    request: str
    text: str
    read_only: bool


class Commit(NamedTuple):
    """Commits a transaction."""

    request: str
    text: str


class Rollback(NamedTuple):
    """Rolls a transaction back."""

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
    """Sets a session value."""

    request: str
    text: str
    name: str
    value: str


class Prepare(NamedTuple):
    """Prepares a statement under a name of the session."""

    request: str
    text: str
    name: str
    shape: Shape


class Execute(NamedTuple):
    """Runs a prepared statement.

    Attributes:
      request: The request id from the caller.
      text: The whole statement.
      name: The caller's name of the prepared statement, the second word.
    """

    request: str
    text: str
    name: str


class Deallocate(NamedTuple):
    """Drops a prepared statement."""

    request: str
    text: str
    name: str


class Malformed(NamedTuple):
    """A message that is no statement, or none that is allowed.

    Attributes:
      request: Its request id, or "" if it has none.
      text: Its text; "" if that was not kept.
      cause: What is wrong with it.
    """

    request: str
    text: str
    cause: str = "malformed statement"


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
