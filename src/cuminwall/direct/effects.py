"""The effects: what the reducer asks the engine to do, as data."""

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


class KeepInSession(NamedTuple):
    """Tells how many bytes a session keeps, by its values and statements."""

    session: int
    size: int


class CloseCaller(NamedTuple):
    """Closes a caller's connection once earlier answers are delivered."""

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
    """Sends commands in one write; they are answered in this order."""

    connection: int
    commands: tuple[Command, ...]


class CloseConnection(NamedTuple):
    """Closes a connection to a backend server."""

    connection: int


class CompareAndSwap(NamedTuple):
    """Writes shared values if all have the expected revisions.

    Attributes:
      number: Identifies the call in `SwapFinished`.
      expected: The expected revision by name; 0 if there must be no value.
      values: The new value by name.
      leased: The names whose values are removed when the lease ends.
      lease: The id of the lease, or 0.
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
    """Orders that a server becomes the primary of its service.

    Attributes:
      service: The database service.
      server: The server.
      fencing_token: The fencing token, higher than that of every earlier order.
      epoch: The epoch of the coordinator that gives it. It must not be sent
        after that one's lease has expired.
    """

    service: str
    server: str
    fencing_token: int
    epoch: int


class ReportUsage(NamedTuple):
    """Reports the usage of a window to the platform.

    Attributes:
      window: The number of the window.
      counts: The requests that began to run in it, by workspace.
      fencing_token: The fencing token, higher than that of every earlier
        holder's reports.
      epoch: The epoch of the coordinator that gives it. It must not be sent
        after that one's lease has expired.
    """

    window: int
    counts: dict[str, int]
    fencing_token: int
    epoch: int


class ReadClock(NamedTuple):
    """Reads the machine's wall clock."""


class StartPeerLinks(NamedTuple):
    """Starts the links with the other instances.

    Attributes:
      secret: The secret by which they authenticate each other.
    """

    secret: bytes


class RereadStore(NamedTuple):
    """Reads the whole store again, since a change was missed."""


class RestartWatch(NamedTuple):
    """Calls the store anew if a call has been waiting long for changes."""


class SendToPeer(NamedTuple):
    """Sends a message to another instance."""

    instance: str
    message: Any


class ExitProcess(NamedTuple):
    """Ends the process, at the end of the shutdown."""


class Note(NamedTuple):
    """Writes one log line about a decision.

    Attributes:
      part: The part of the program that decided.
      event: The short, stable name of the decision.
      fields: Its reasons and its outcome.
    """

    part: str
    event: str
    fields: dict[str, Any]


class Measure(NamedTuple):
    """Records one finished operation in the metrics.

    Attributes:
      kind: The kind of statement.
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
    | KeepInSession
    | CloseCaller
    | OpenConnection
    | SendCommands
    | CloseConnection
    | CompareAndSwap
    | GrantLease
    | KeepLease
    | EndLease
    | Promote
    | ReportUsage
    | ReadClock
    | StartPeerLinks
    | RereadStore
    | RestartWatch
    | SendToPeer
    | ExitProcess
    | Note
    | Measure
)
