"""Everything that can happen to an instance, as data.

`now` is the time since the machine started, in seconds; it goes on while the
machine is suspended.
"""

from typing import Any, NamedTuple

from cuminwall.direct.answers import Answer, Failure
from cuminwall.direct.catalog import Catalog, ServerEntry
from cuminwall.direct.statements import Statement


class CallerArrived(NamedTuple):
    """A caller named its database and its key."""

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
    """A caller's connection is over."""

    now: float
    session: int


class ConnectionOpened(NamedTuple):
    """A backend server took a connection."""

    now: float
    connection: int


class CommandAnswered(NamedTuple):
    """A backend server answered the oldest open command of a connection."""

    now: float
    connection: int
    answer: Answer


class ConnectionEnded(NamedTuple):
    """A connection to a backend server is over, or was refused.

    Attributes:
      now: The time.
      connection: Its number.
      failure: What the server said, or None if the connection just ended.
      is_refused: Whether it never was open.
    """

    now: float
    connection: int
    failure: Failure | None
    is_refused: bool


class CatalogSeen(NamedTuple):
    """A version of the configuration was read."""

    now: float
    catalog: Catalog


class ServerSeen(NamedTuple):
    """A backend server's entry was read."""

    now: float
    entry: ServerEntry


class ServerGone(NamedTuple):
    """A backend server has no entry any more."""

    now: float
    server: str


class EvacuationSeen(NamedTuple):
    """An availability zone is taken out, or brought back."""

    now: float
    zone: str
    is_out: bool


class SharedValueSeen(NamedTuple):
    """A value that the instances share in the store was read.

    Attributes:
      now: The time.
      name: Its name.
      value: Its bytes; None if it is gone.
      revision: The store's revision of the change.
    """

    now: float
    name: str
    value: bytes | None
    revision: int


class SnapshotRead(NamedTuple):
    """Everything in the store was read anew.

    Attributes:
      now: The time.
      servers: The ids of the servers that have an entry.
      zones: The availability zones that are taken out.
      shared: The names of the shared values.
    """

    now: float
    servers: frozenset[str]
    zones: frozenset[str]
    shared: frozenset[str]


class StoreStatusReported(NamedTuple):
    """The store answers, or answers no more."""

    now: float
    is_up: bool
    cause: str


class SwapFinished(NamedTuple):
    """A conditional write of the store is over.

    Attributes:
      now: The time.
      number: The number of the call.
      sent_at: When it was sent.
      revision: The store's revision if it took effect, 0 if it did not,
        None if that is unknown.
    """

    now: float
    number: int
    sent_at: float
    revision: int | None


class LeaseCallFinished(NamedTuple):
    """A call about this instance's lease is over.

    Attributes:
      now: The time.
      lease: The lease; 0 if there is none.
      sent_at: When the call was sent.
      ttl_s: How long the lease holds from then on; 0 if it is over, None if
        no answer came.
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
      fencing_token: The number that the order carried.
      outcome: What came of it.
    """

    now: float
    service: str
    server: str
    fencing_token: int
    outcome: "PromotionOutcome"


class PromotionOutcome(NamedTuple):
    """What came of an order to promote a server.

    Attributes:
      is_done: Whether the server leads.
      is_refused: Whether the order was refused: a newer one exists, or the
        server does not run.
    """

    is_done: bool
    is_refused: bool


class PeerMessageReceived(NamedTuple):
    """Another instance sent a message."""

    now: float
    sender: str
    message: Any


class ShutdownRequested(NamedTuple):
    """This instance is to end."""

    now: float


class TimersDue(NamedTuple):
    """Some timer is due."""

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
    | SwapFinished
    | LeaseCallFinished
    | PromotionFinished
    | PeerMessageReceived
    | ShutdownRequested
    | TimersDue
)
