"""Everything the reducer can ask the engine to do, as data."""

from typing import Any, NamedTuple

from cuminwall.direct.answers import Answer, Failure
from cuminwall.direct.commands import Command


class AcceptSession(NamedTuple):
    """Tells a caller that its session is open."""

    session: int


class RejectSession(NamedTuple):
    """Refuses a session and closes the caller's connection."""

    session: int
    failure: Failure


class Reply(NamedTuple):
    """Answers a caller's statement."""

    session: int
    answer: Answer


class CloseCaller(NamedTuple):
    """Closes a caller's connection once what was said is delivered."""

    session: int


class OpenConnection(NamedTuple):
    """Connects to a backend server, for one workspace."""

    connection: int
    service: str
    server: str
    host: str
    port: int
    workspace: str


class SendCommands(NamedTuple):
    """Sends commands in one flight; they are answered in this order."""

    connection: int
    commands: tuple[Command, ...]


class CloseConnection(NamedTuple):
    """Closes a connection to a backend server."""

    connection: int


class CompareAndSwap(NamedTuple):
    """Writes shared values if all have the expected revisions.

    Attributes:
      number: The number of the call.
      expected: The revision by name; 0 if there must be none.
      values: The new value by name.
      leased: The names whose values end with this instance's lease.
      lease: That lease.
      removed: The names of values to remove.
    """

    number: int
    expected: dict[str, int]
    values: dict[str, bytes]
    leased: frozenset[str]
    lease: int
    removed: frozenset[str]


class GrantLease(NamedTuple):
    """Asks the store for a lease."""

    ttl_s: float


class KeepLease(NamedTuple):
    """Renews this instance's lease."""

    lease: int


class EndLease(NamedTuple):
    """Ends this instance's lease."""

    lease: int


class Promote(NamedTuple):
    """Orders that a server takes the lead of its service.

    Attributes:
      service: The database service.
      server: The server.
      fencing_token: A number higher than that of every earlier order.
    """

    service: str
    server: str
    fencing_token: int


class StartPeerLinks(NamedTuple):
    """Begins to talk with the other instances.

    Attributes:
      secret: By which they know each other.
    """

    secret: bytes


class RereadStore(NamedTuple):
    """Reads the whole store: some change in it was missed."""


class SendToPeer(NamedTuple):
    """Sends a message to another instance."""

    instance: str
    message: Any


class ExitProcess(NamedTuple):
    """Ends this instance: nothing is left to do."""


class Note(NamedTuple):
    """Writes one log line about a decision.

    Attributes:
      part: The part of the program that decided.
      event: A short stable name of the decision.
      fields: What decided it, and the outcome.
    """

    part: str
    event: str
    fields: dict[str, Any]


class Measure(NamedTuple):
    """Counts one operation's end, for the metrics.

    Attributes:
      kind: What it was.
      outcome: How it ended.
      seconds: How long it took.
    """

    kind: str
    outcome: str
    seconds: float


Effect = (
    AcceptSession
    | RejectSession
    | Reply
    | CloseCaller
    | OpenConnection
    | SendCommands
    | CloseConnection
    | CompareAndSwap
    | GrantLease
    | KeepLease
    | EndLease
    | Promote
    | StartPeerLinks
    | RereadStore
    | SendToPeer
    | ExitProcess
    | Note
    | Measure
)
