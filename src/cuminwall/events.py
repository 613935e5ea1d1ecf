"""Everything that can happen to an instance, as data.

Each event carries `now`, the monotonic clock of the instance in seconds.
"""

from typing import NamedTuple

from cuminwall import configuration, messages, outcomes, ports, probes, work


class Tick(NamedTuple):
    """The clock advanced; fed every `tick_s` by the upkeep loops."""

    now: float


class ConfigLoaded(NamedTuple):
    """A complete configuration was loaded.

    Attributes:
      now: Seconds.
      config: The configuration; applied only if its version is higher.
    """

    now: float
    config: configuration.Configuration


class InstancesListed(NamedTuple):
    """The platform's instance list was read."""

    now: float
    records: tuple[ports.InstanceRecord, ...]


class PeerMessageReceived(NamedTuple):
    """A peer's message arrived on the control link."""

    now: float
    sender: str
    message: messages.Message


class StoreAnswered(NamedTuple):
    """A call to the store was answered, or its outcome is unknown.

    Attributes:
      now: Seconds.
      call: The number that the effect carried.
      asked_at: When the call was sent.
      answer: The answer; None if unknown.
    """

    now: float
    call: int
    asked_at: float
    answer: object | None


class StoreValueSeen(NamedTuple):
    """A watch of the store saw the value of a key.

    Attributes:
      now: Seconds.
      key: The store key.
      revision: Its store revision; values of older revisions are ignored.
      value: The decoded JSON value, or None if the key was deleted.
    """

    now: float
    key: str
    revision: int
    value: dict | None


class SessionOpened(NamedTuple):
    """A caller has logged in and its session needs to be admitted."""

    now: float
    session: int
    login: work.Login


class SessionClosed(NamedTuple):
    """A caller's connection ended."""

    now: float
    session: int


class RoundArrived(NamedTuple):
    """A caller sent a round.

    Attributes:
      now: Seconds.
      session: The caller's session.
      number: The number of the round on this instance.
      access: WRITE if a statement of it may write.
      begins_transaction: Whether it starts an explicit transaction.
      ends_transaction: Whether it only ends the transaction.
      max_age_s: The maximum age of data that the caller accepts, or None.
      tables: The tables read.
    """

    now: float
    session: int
    number: int
    access: work.Access
    begins_transaction: bool
    ends_transaction: bool
    max_age_s: float | None
    tables: tuple[str, ...]


class HomeRoundArrived(NamedTuple):
    """A round reached this instance as a home of its database group."""

    now: float
    key: work.RoundKey
    request: work.RoundRequest


class RoundExecuted(NamedTuple):
    """A backend server has answered a round, or its answer was lost."""

    now: float
    key: work.RoundKey
    result: work.ServerResult


class RoundAbandoned(NamedTuple):
    """The caller or the entry instance of a round is gone."""

    now: float
    key: work.RoundKey


class CancelRequested(NamedTuple):
    """A caller asked to cancel what runs or waits for its session."""

    now: float
    pin: tuple[str, int]


class EntrySessionClosed(NamedTuple):
    """A session of an entry instance has ended; so must its transaction."""

    now: float
    pin: tuple[str, int]


class OriginLost(NamedTuple):
    """The data link from an entry instance ended."""

    now: float
    origin: str


class HomeAnswered(NamedTuple):
    """The home's answer reached the entry instance."""

    now: float
    number: int
    answer: work.HomeAnswer


class HomeLost(NamedTuple):
    """The data link to the home ended before the home's answer.

    Attributes:
      now: Seconds.
      number: The round's number.
      sent: Whether a byte of the round may have been sent.
      delivered: Whether a byte of its answer reached the caller.
    """

    now: float
    number: int
    sent: bool
    delivered: bool


class ServerProbed(NamedTuple):
    """A probe of a backend server was answered or failed.

    Attributes:
      now: Seconds.
      service: The database service.
      server: The id of the backend server.
      sent_at: When the probe was sent.
      result: The answer, or why there is none.
    """

    now: float
    service: str
    server: str
    sent_at: float
    result: probes.ProbeAnswer | outcomes.Failure


class PromotionFinished(NamedTuple):
    """An order to promote a backend server was carried out here.

    Attributes:
      now: Seconds.
      service: The database service.
      server: The id of the backend server.
      term: The term of the order.
      answer: What the server reports afterwards; None if it failed.
      fork_lsn: The log position where its recovery ended; 0 if it failed.
    """

    now: float
    service: str
    server: str
    term: int
    answer: probes.ProbeAnswer | None
    fork_lsn: int


class DrainOrdered(NamedTuple):
    """The instance was ordered to drain before it shuts down."""

    now: float


Event = (
    Tick
    | ConfigLoaded
    | InstancesListed
    | PeerMessageReceived
    | StoreAnswered
    | StoreValueSeen
    | SessionOpened
    | SessionClosed
    | RoundArrived
    | HomeRoundArrived
    | RoundExecuted
    | RoundAbandoned
    | CancelRequested
    | EntrySessionClosed
    | OriginLost
    | HomeAnswered
    | HomeLost
    | ServerProbed
    | PromotionFinished
    | DrainOrdered
)
