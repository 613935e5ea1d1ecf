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


class CoordinatorDiscovery:
    """What is heard of who coordinates.

    Attributes:
      claimed: Who does by the value in the store, or None.
      newest_revision: The newest revision of such a value that was ever seen.
      last_reply_at: When the coordinator last answered an ask.
      query_count: How often a peer was asked who coordinates.
      last_request_epoch: The epoch of the coordinator that was asked last; 0 if none.
      last_request_at: When it was asked last.
      earlier_request_at: When an earlier coordinator was asked last, or this process
        began.
    """

    __slots__ = (
        "claimed",
        "newest_revision",
        "last_reply_at",
        "query_count",
        "last_request_epoch",
        "last_request_at",
        "earlier_request_at",
    )

    def __init__(self) -> None:
        self.claimed: Coordinator | None = None
        self.newest_revision = 0
        self.last_reply_at = leases.NEVER
        self.query_count = 0
        self.last_request_epoch = 0
        self.last_request_at = leases.NEVER
        self.earlier_request_at = float("inf")


class CoordinatorLease:
    """This instance's part in coordination.

    Attributes:
      lease_id: Its lease in the store, or 0.
      valid_until: Until when the lease surely holds.
      epoch: The epoch in which it coordinates, or 0.
      renew_at: When the lease is renewed next.
      next_attempt_at: When it may try to take over.
      is_grant_pending: Whether a call for a lease is on its way.
      may_have_expired: Whether the lease may have lapsed unnoticed.
    """

    __slots__ = (
        "lease_id",
        "valid_until",
        "epoch",
        "renew_at",
        "next_attempt_at",
        "is_grant_pending",
        "may_have_expired",
    )

    def __init__(self) -> None:
        self.lease_id = 0
        self.valid_until = 0.0
        self.epoch = 0
        self.renew_at = 0.0
        self.next_attempt_at = 0.0
        self.is_grant_pending = False
        self.may_have_expired = False

    def is_valid(self, now: float) -> bool:
        """Returns whether this instance surely coordinates now."""
        return self.epoch > 0 and now < self.valid_until


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
      started_at: Since when it lends.
      earlier_lender_until: Since when no earlier lender has had most of the instances.
      limits: The shared limits by name.
      unreported: The processes that may hold what an earlier one has lent.
      last_request_at: When each instance asked last.
      earlier_request_at: Since when each of them has asked no earlier lender.
      unreported_fraction: The part of each limit that they may have at most.
      is_recovered: Whether no earlier loan can be left.
      next_check_at: When silent instances are looked for next.
    """

    __slots__ = (
        "epoch",
        "started_at",
        "earlier_lender_until",
        "limits",
        "unreported",
        "last_request_at",
        "earlier_request_at",
        "unreported_fraction",
        "is_recovered",
        "next_check_at",
    )

    def __init__(self, epoch: int, now: float):
        self.epoch = epoch
        self.started_at = now
        self.earlier_lender_until = now
        self.limits: dict[str, lending.Limit] = {}
        self.unreported: dict[str, str] = {}
        self.last_request_at: dict[str, float] = {}
        self.earlier_request_at: dict[str, float] = {}
        self.unreported_fraction = 1.0
        self.is_recovered = False
        self.next_check_at = now


class ChangeStep(enum.Enum):
    """How far a change of primary has come.

    Attributes:
      QUERYING: The candidates are asked how far their logs go.
      STEPPING_DOWN: The old primary is made a replica.
      CHOOSING: The one to promote is chosen, once it has caught up.
      WRITING_ORDER: The order is being written to the store.
      ORDERED: The order is given.
    """

    QUERYING = enum.auto()
    STEPPING_DOWN = enum.auto()
    CHOOSING = enum.auto()
    WRITING_ORDER = enum.auto()
    ORDERED = enum.auto()


class PrimaryChange:
    """A change of primary in course.

    Attributes:
      service: The database service.
      cause: Why.
      old_primary: The primary before it, or "".
      started_at: When it began.
      step: How far it has come.
      queried_at: When the servers were asked last.
      step_deadline: Until when the step may take.
      is_fenced: Whether the old primary was told to step down.
      log_end: Where its log ends, if it told.
      target: The server that is to lead.
      refused_servers: The servers that could not be promoted.
      fencing_token: The number of the order.
    """

    __slots__ = (
        "service",
        "cause",
        "old_primary",
        "started_at",
        "step",
        "queried_at",
        "step_deadline",
        "is_fenced",
        "log_end",
        "target",
        "refused_servers",
        "fencing_token",
    )

    def __init__(self, service: str, cause: str, old_primary: str, now: float):
        self.service = service
        self.cause = cause
        self.old_primary = old_primary
        self.started_at = now
        self.step = ChangeStep.QUERYING
        self.queried_at = now
        self.step_deadline = now
        self.is_fenced = False
        self.log_end: Position | None = None
        self.target = ""
        self.refused_servers: set[str] = set()
        self.fencing_token = 0
