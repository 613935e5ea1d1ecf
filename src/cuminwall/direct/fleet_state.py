"""The instances, what the coordinator lends, and changes of primary."""

import enum
from typing import NamedTuple

from cuminwall import leases, lending
from cuminwall.direct.answers import Position


class Member(NamedTuple):
    """An instance of the system.

    Attributes:
      instance: Its name.
      boot: Tells its process from earlier ones.
      zone: Its availability zone.
      host: The IP number on which its peers reach it.
      port: The port on which its peers reach it.
      revision: The store's revision of its line.
    """

    instance: str
    boot: str
    zone: str
    host: str
    port: int
    revision: int


class Coordinator(NamedTuple):
    """Who coordinates, as the store says.

    Attributes:
      instance: The instance.
      boot: Its process.
      epoch: Counts the changes of coordinator.
      revision: The store's revision of the line.
    """

    instance: str
    boot: str
    epoch: int
    revision: int


class Succession:
    """What is heard of who coordinates.

    Attributes:
      claimed: Who does by the value in the store, or None.
      newest: The newest revision of such a value that was ever seen.
      granted_at: When the coordinator last answered an ask.
      seeks: How often a peer was asked who coordinates.
      asked_epoch: The epoch of the coordinator that was asked last; 0 if none.
      asked_at: When it was asked last.
      free_since: When an earlier coordinator was asked last, or this process
        began.
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
    """This instance's part in coordination.

    Attributes:
      lease: Its lease in the store, or 0.
      until: Until when the lease surely holds.
      epoch: The epoch in which it coordinates, or 0.
      renew_at: When the lease is renewed next.
      try_at: When it may try to take over.
      is_asking: Whether a call for a lease is on its way.
      is_lapsed: Whether the lease may have lapsed unnoticed.
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
        """Returns whether this instance surely coordinates now."""
        return self.epoch > 0 and now < self.until


class TokenRate:
    """How fast a workspace's operations get tokens here.

    Attributes:
      rate: Tokens a second, over the last while.
      count: Tokens since `measured_since`.
      measured_since: When counting began.
    """

    __slots__ = ("rate", "count", "measured_since")

    def __init__(self, now: float):
        self.rate = 0.0
        self.count = 0
        self.measured_since = now


class Lender:
    """What the coordinator lends.

    Attributes:
      epoch: Its epoch.
      since: Since when it lends.
      quiet_since: Since when no earlier lender has had most of the instances.
      limits: The shared limits by name.
      unheard: The processes that may hold what an earlier one has lent.
      heard_at: When each instance asked last.
      free_since: Since when each of them has asked no earlier lender.
      unheard_part: The part of each limit that they may have at most.
      is_settled: Whether no earlier loan can be left.
      prune_at: When silent instances are looked for next.
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
    """How far a change of primary has come.

    Attributes:
      ASKING: The candidates are asked how far their logs go.
      STEPPING_DOWN: The old primary is made a replica.
      CHOOSING: The one to promote is chosen, once it has caught up.
      WRITING: The order is being written to the store.
      ORDERED: The order is given.
    """

    ASKING = enum.auto()
    STEPPING_DOWN = enum.auto()
    CHOOSING = enum.auto()
    WRITING = enum.auto()
    ORDERED = enum.auto()


class Change:
    """A change of primary in course.

    Attributes:
      service: The database service.
      cause: Why.
      before: The primary before it, or "".
      begun_at: When it began.
      step: How far it has come.
      asked_at: When the servers were asked last.
      wait_until: Until when the step may take.
      is_fenced: Whether the old primary was told to step down.
      log_end: Where its log ends, if it told.
      target: The server that is to lead.
      tried: The servers that could not be promoted.
      fence: The number of the order.
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
