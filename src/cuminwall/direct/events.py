"""The events that the reducer handles, as data.

`now` is the time since the machine booted, in seconds, including the time for
which it was suspended.
"""

import enum
from typing import Any, NamedTuple

from cuminwall.direct.answers import Answer, Failure
from cuminwall.direct.catalog import Catalog, ServerEntry
from cuminwall.direct.statements import Statement


class CallerArrived(NamedTuple):
    """A caller sent its login: its database and its key."""

    now: float
    session: int
    database: str
    key: str


class StatementArrived(NamedTuple):
    """A caller sent a statement."""

    now: float
    session: int
    statement: Statement


class CallerLeft(NamedTuple):
    """A caller's connection has ended."""

    now: float
    session: int


class ConnectionOpened(NamedTuple):
    """A backend server accepted a connection."""

    now: float
    connection: int


class CommandAnswered(NamedTuple):
    """A backend server answered the oldest pending command of a connection."""

    now: float
    connection: int
    answer: Answer


class ConnectionEnded(NamedTuple):
    """A connection to a backend server has ended, or was refused.

    Attributes:
      now: The time.
      connection: Its number.
      failure: The failure that the server reported, or None.
      is_refused: Whether it was never open.
    """

    now: float
    connection: int
    failure: Failure | None
    is_refused: bool


class CatalogSeen(NamedTuple):
    """A version of the configuration was read.

    Attributes:
      now: The time.
      catalog: The version.
      revision: The store's revision of the change that wrote it.
    """

    now: float
    catalog: Catalog
    revision: int = 0


class ServerSeen(NamedTuple):
    """A backend server's entry was read."""

    now: float
    entry: ServerEntry


class ServerGone(NamedTuple):
    """A backend server's entry was removed."""

    now: float
    server: str


class EvacuationSeen(NamedTuple):
    """An availability zone is taken out of service, or brought back."""

    now: float
    zone: str
    is_out: bool


class SharedValueSeen(NamedTuple):
    """A value that the instances share in the store was read or removed.

    Attributes:
      now: The time.
      name: Its name.
      value: Its bytes; None if it was removed.
      revision: The store's revision of the change.
    """

    now: float
    name: str
    value: bytes | None
    revision: int


class SnapshotRead(NamedTuple):
    """The whole store was read.

    Attributes:
      now: The time.
      servers: The ids of the servers that have an entry.
      zones: The availability zones that are taken out of service.
      shared: The names of the shared values.
      revision: The store's revision before it was read.
    """

    now: float
    servers: frozenset[str]
    zones: frozenset[str]
    shared: frozenset[str]
    revision: int


class StoreStatusReported(NamedTuple):
    """The store answered, or failed to answer."""

    now: float
    is_up: bool
    cause: str


class ChangesRead(NamedTuple):
    """All changes of the store up to a revision were read.

    Attributes:
      now: The time.
      revision: The revision.
      newest_change: The revision of the newest of these changes; 0 if the
        answer had none.
      is_whole: Whether the whole store was read, not only what has changed.
      current_at: A time at which there were certainly no other changes: an
        answer may be read long after it was sent. None for now.
    """

    now: float
    revision: int
    newest_change: int
    is_whole: bool = False
    current_at: float | None = None


class ChangeMissed(NamedTuple):
    """Reading the whole store showed a change that a watch had left out.

    Attributes:
      now: The time.
      name: What has changed.
      revision: The store's revision of the change.
    """

    now: float
    name: str
    revision: int


class WatchRestarted(NamedTuple):
    """The wait for changes of the store was cut short, to call it anew.

    Attributes:
      now: The time.
      called_s_ago: When the store was last called for changes.
    """

    now: float
    called_s_ago: float


class SwapFinished(NamedTuple):
    """A compare-and-swap of store values was answered, or failed.

    Attributes:
      now: The time.
      number: The number in `CompareAndSwap`.
      sent_at: When it was sent.
      revision: The store's revision if it took effect, 0 if it did not,
        None if that is unknown.
    """

    now: float
    number: int
    sent_at: float
    revision: int | None


class LeaseCallFinished(NamedTuple):
    """A lease was granted or renewed, or the call for it failed.

    Attributes:
      now: The time.
      lease: The id of the lease; 0 if none was granted.
      sent_at: When the call was sent.
      ttl_s: How long the lease is valid from then on; 0 if it has expired,
        None if no answer came.
    """

    now: float
    lease: int
    sent_at: float
    ttl_s: float | None


class PromotionFinished(NamedTuple):
    """An order to promote a server was answered.

    Attributes:
      now: The time.
      service: The database service.
      server: The server.
      fencing_token: The fencing token of the order.
      outcome: The outcome.
    """

    now: float
    service: str
    server: str
    fencing_token: int
    outcome: "PromotionOutcome"


class PromotionOutcome(NamedTuple):
    """The outcome of an order to promote a server.

    Attributes:
      is_done: Whether the server is the primary now.
      is_refused: Whether the order was refused, because a newer one exists or
        the server does not run.
    """

    is_done: bool
    is_refused: bool


class UsageReportFinished(NamedTuple):
    """A report of usage was answered, or the call for it failed.

    Attributes:
      now: The time.
      window: The number of the window.
      fencing_token: The fencing token of the report.
      outcome: The outcome.
    """

    now: float
    window: int
    fencing_token: int
    outcome: "UsageOutcome"


class UsageOutcome(enum.Enum):
    """The outcome of a report of usage.

    Attributes:
      ACCEPTED: The platform has it.
      REFUSED: A higher fencing token was seen.
      UNKNOWN: No usable answer came; it may yet be accepted.
    """

    ACCEPTED = enum.auto()
    REFUSED = enum.auto()
    UNKNOWN = enum.auto()


class ClockRead(NamedTuple):
    """The machine's wall clock was read.

    Attributes:
      now: The time.
      wall_s: The seconds since 1970 by the wall clock.
    """

    now: float
    wall_s: float


class PeerMessageReceived(NamedTuple):
    """Another instance sent a message.

    Attributes:
      now: The time of the event, in seconds.
      sender: The instance that sent it.
      message: The message.
      size: Its length, in bytes.
    """

    now: float
    sender: str
    message: Any
    size: int = 0


class ShutdownRequested(NamedTuple):
    """This instance was told to shut down."""

    now: float


class TimersDue(NamedTuple):
    """At least one timer is due."""

    now: float


Event = (
    CallerArrived
    | StatementArrived
    | CallerLeft
    | ConnectionOpened
    | CommandAnswered
    | ConnectionEnded
    | CatalogSeen
    | ServerSeen
    | ServerGone
    | EvacuationSeen
    | SharedValueSeen
    | SnapshotRead
    | StoreStatusReported
    | ChangesRead
    | ChangeMissed
    | WatchRestarted
    | SwapFinished
    | LeaseCallFinished
    | PromotionFinished
    | UsageReportFinished
    | ClockRead
    | PeerMessageReceived
    | ShutdownRequested
    | TimersDue
)
