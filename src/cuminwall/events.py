"""Everything that can happen to an instance, as data.

Each event carries `now`, the monotonic clock of the instance in seconds.
"""

from typing import NamedTuple

from cuminwall import configuration, messages, outcomes, ports, probes, work


class Tick(NamedTuple):
    """Time went on; sent every `TICK_S` by the engine."""

    now: float


class ConfigLoaded(NamedTuple):
    """A configuration was loaded whole.

    Attributes:
      now: Seconds.
      config: The configuration; only a higher version is taken.
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
    """The store answered a call of the reducer, or gave no usable answer.

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
    """A value of the store was seen by a watch.

    Attributes:
      now: Seconds.
      key: The store key.
      revision: Its store revision; older ones are ignored.
      value: The decoded JSON value, or None if the key is gone.
    """

    now: float
    key: str
    revision: int
    value: dict | None


class SessionOpened(NamedTuple):
    """A caller asks to be admitted."""

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
      number: The number of this work on this instance.
      access: The strictest access of its statements.
      begins_transaction: Whether it starts an explicit transaction.
      ends_transaction: Whether it only ends the transaction.
      max_age_s: The oldest data that the caller accepts, or None.
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
    """Work reached this instance as a home of its database group."""

    now: float
    key: work.RoundKey
    request: work.RoundRequest


class RoundExecuted(NamedTuple):
    """A backend server's answer, or its loss, for work that was executed."""

    now: float
    key: work.RoundKey
    result: work.ServerResult


class RoundAbandoned(NamedTuple):
    """The caller or the entry instance of a work is gone."""

    now: float
    key: work.RoundKey


class CancelRequested(NamedTuple):
    """What runs or waits for a session shall be canceled."""

    now: float
    pin: tuple[str, int]


class EntrySessionClosed(NamedTuple):
    """A session of an entry instance is gone; its transaction ends here."""

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
    """The data link to the home ended before its answer.

    Attributes:
      now: Seconds.
      number: The work's number.
      sent: Whether a byte of the work may have left.
      delivered: Whether a byte of its answer reached the caller.
    """

    now: float
    number: int
    sent: bool
    delivered: bool


class ServerProbed(NamedTuple):
    """A probe of a backend server ended.

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
      fork_lsn: Where it ended its recovery; 0 if it failed.
    """

    now: float
    service: str
    server: str
    term: int
    answer: probes.ProbeAnswer | None
    fork_lsn: int


class DrainOrdered(NamedTuple):
    """The instance shall shut down gracefully."""

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
