"""The instances, the coordinator and its duties: shares and primaries."""

import enum
from typing import NamedTuple

from cuminwall import leases, lending
from cuminwall.direct.answers import Position


class Member(NamedTuple):
    """An instance of the system.

    Attributes:
      instance: Its name.
      boot: Identifies its process.
      zone: Its availability zone.
      host: The IP number on which its peers reach it.
      port: The port on which its peers reach it.
      revision: The store's revision of its record.
    """

    instance: str
    boot: str
    zone: str
    host: str
    port: int
    revision: int


class Coordinator(NamedTuple):
    """The coordinator, as named in the store.

    Attributes:
      instance: The instance.
      boot: Identifies its process.
      epoch: Counts the changes of coordinator.
      revision: The store's revision of the value.
    """

    instance: str
    boot: str
    epoch: int
    revision: int


class Succession:
    """What this instance has learned of who coordinates.

    Attributes:
      claimed: The coordinator by the newest known value, or None.
      newest: The highest revision of such a value that was ever seen.
      granted_at: When the coordinator last replied to a request.
      seeks: How many times a peer was asked who coordinates.
      asked_epoch: The epoch of the latest request to a coordinator; 0 if none.
      asked_at: When that was sent.
      free_since: When the latest request to an earlier coordinator was sent,
        or this process started.
    """

    __slots__ = (
        "claimed",
        "newest",
        "granted_at",
        "seeks",
        "asked_epoch",
        "asked_at",
        "free_since",
    )

    def __init__(self) -> None:
        self.claimed: Coordinator | None = None
        self.newest = 0
        self.granted_at = leases.NEVER
        self.seeks = 0
        self.asked_epoch = 0
        self.asked_at = leases.NEVER
        self.free_since = float("inf")


class Hold:
    """This instance's lease in the store, which it coordinates under.

    Attributes:
      lease: The id of the lease, or 0.
      until: Until when the lease is certainly valid.
      epoch: The epoch in which this instance coordinates, or 0.
      renew_at: When the lease is renewed next.
      try_at: When this instance may next try to take over.
      is_asking: Whether the store was asked for a lease and has not answered.
      is_lapsed: Whether the lease may have expired, which the store has not
        confirmed.
    """

    __slots__ = (
        "lease",
        "until",
        "epoch",
        "renew_at",
        "try_at",
        "is_asking",
        "is_lapsed",
    )

    def __init__(self) -> None:
        self.lease = 0
        self.until = 0.0
        self.epoch = 0
        self.renew_at = 0.0
        self.try_at = 0.0
        self.is_asking = False
        self.is_lapsed = False

    def is_sure(self, now: float) -> bool:
        """Returns whether this instance coordinates and its lease is valid."""
        return self.epoch > 0 and now < self.until


class Flow:
    """Measures how fast a workspace's operations take tokens here.

    Attributes:
      rate: Tokens a second, in the last whole measuring period.
      count: Tokens since `since`.
      since: When the current period began.
    """

    __slots__ = ("rate", "count", "since")

    def __init__(self, now: float):
        self.rate = 0.0
        self.count = 0
        self.since = now


class Lender:
    """The shares of limits that the coordinator lends.

    Attributes:
      epoch: Its epoch.
      since: When it began to lend.
      quiet_since: Since when no earlier lender can have had a majority.
      limits: The shared limits, by name.
      unheard: By instance, the process that may still hold shares from an
        earlier lender.
      heard_at: When each instance last sent a request.
      free_since: When each of them last sent one to an earlier lender.
      unheard_part: The fraction of each limit that `unheard` may hold at most.
      is_settled: Whether no share from an earlier lender can be in use.
      prune_at: When silent instances are next checked for.
    """

    __slots__ = (
        "epoch",
        "since",
        "quiet_since",
        "limits",
        "unheard",
        "heard_at",
        "free_since",
        "unheard_part",
        "is_settled",
        "prune_at",
    )

    def __init__(self, epoch: int, now: float):
        self.epoch = epoch
        self.since = now
        self.quiet_since = now
        self.limits: dict[str, lending.Limit] = {}
        self.unheard: dict[str, str] = {}
        self.heard_at: dict[str, float] = {}
        self.free_since: dict[str, float] = {}
        self.unheard_part = 1.0
        self.is_settled = False
        self.prune_at = now


class Step(enum.Enum):
    """The steps of a change of primary.

    Attributes:
      ASKING: The candidates are asked for the ends of their logs.
      STEPPING_DOWN: The old primary is told to become a replica.
      CHOOSING: The new primary is chosen once a candidate has caught up.
      WRITING: The order is being written to the store.
      ORDERED: The order was given and is not yet answered.
    """

    ASKING = enum.auto()
    STEPPING_DOWN = enum.auto()
    CHOOSING = enum.auto()
    WRITING = enum.auto()
    ORDERED = enum.auto()


class Change:
    """A change of primary in progress.

    Attributes:
      service: The database service.
      cause: Why it is made.
      before: The old primary, or "".
      begun_at: When it began.
      step: The current step.
      asked_at: When the servers were last asked.
      wait_until: The deadline of the step.
      is_fenced: Whether the old primary was told to step down.
      log_end: The end of its log, if it reported one then.
      target: The server to promote.
      tried: The servers whose promotion was refused.
      fence: The fencing token of the order.
    """

    __slots__ = (
        "service",
        "cause",
        "before",
        "begun_at",
        "step",
        "asked_at",
        "wait_until",
        "is_fenced",
        "log_end",
        "target",
        "tried",
        "fence",
    )

    def __init__(self, service: str, cause: str, before: str, now: float):
        self.service = service
        self.cause = cause
        self.before = before
        self.begun_at = now
        self.step = Step.ASKING
        self.asked_at = now
        self.wait_until = now
        self.is_fenced = False
        self.log_end: Position | None = None
        self.target = ""
        self.tried: set[str] = set()
        self.fence = 0
