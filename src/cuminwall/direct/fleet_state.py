"""The instances, the coordinator and its duties: shares and primaries."""

import enum
from typing import NamedTuple

from cuminwall import leases, lending, shares
from cuminwall.direct.answers import Position
from cuminwall.direct.log_branches import Fork

COORDINATOR_NAME = "coordinator"  # Of the value that names the coordinator.


class Member(NamedTuple):
    """An instance of the system.

    Attributes:
      instance: Its name.
      boot: Identifies its process.
      zone: Its availability zone.
      host: The IP number on which its peers reach it.
      port: The port on which its peers reach it.
      revision: The store's revision of its record.
      cores: How many processor cores it may use, in full cores.
    """

    instance: str
    boot: str
    zone: str
    host: str
    port: int
    revision: int
    cores: float = 1.0


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


class CoordinatorDiscovery:
    """What this instance has learned of who coordinates.

    Attributes:
      claimed: The coordinator by the newest known value, or None.
      no_coordinator_since: Since when there is none, if so.
      newest_revision: The highest revision of such a value that was ever seen.
      last_reply_at: When the coordinator last replied to a request.
      query_count: How many times a peer was asked who coordinates.
      last_request_epoch: The epoch of the latest request to a coordinator; 0
        if none.
      last_request_at: When that was sent.
      earlier_request_at: When the latest request to an earlier coordinator
        was sent, or this process started.
      has_earlier_reply: Whether a coordinator before the one that replied
        latest has ever replied.
      seen_at: When this instance learned of the present coordinator.
      cut_off_since: Since when this instance is cut off with its availability
        zone, or None.
      last_reply_epoch: The epoch of the latest reply of a coordinator.
      last_reply_sent_at: When that was sent, on the coordinator's clock.
    """

    __slots__ = (
        "claimed",
        "no_coordinator_since",
        "newest_revision",
        "last_reply_at",
        "query_count",
        "last_request_epoch",
        "last_request_at",
        "earlier_request_at",
        "has_earlier_reply",
        "seen_at",
        "cut_off_since",
        "last_reply_epoch",
        "last_reply_sent_at",
    )

    def __init__(self) -> None:
        self.claimed: Coordinator | None = None
        self.no_coordinator_since: float | None = None
        self.newest_revision = 0
        self.last_reply_at = leases.NEVER
        self.query_count = 0
        self.last_request_epoch = 0
        self.last_request_at = leases.NEVER
        self.earlier_request_at = float("inf")
        self.has_earlier_reply = False
        self.seen_at = leases.NEVER
        self.cut_off_since: float | None = None
        self.last_reply_epoch = 0
        self.last_reply_sent_at = leases.NEVER


class StoreView:
    """How far this instance knows the store, and when that was confirmed.

    Attributes:
      revision: The store's revision up to which all changes were read.
      newest_change: The revision of the newest change that was read.
      member_gone_at: When an instance was last seen to have left.
      whole_revision: The revision at which the whole store was last read.
      whole_at: When that was.
      whole_took_s: How long it took.
      answered_at: When there was no later change, by an answer of the store.
      told_at: When the coordinator last knew of no later change.
      confirmed_at: When there was none, by the coordinator's last answer from
        the store.
      request_number: The request whose reply, or a later one, confirms the
        view next; 0 if the next request is to be that one.
      request_sent_at: When it was sent.
      is_in_doubt: Whether changes may be missed.
      config_behind_since: Since when a peer had a newer configuration, or None.
    """

    __slots__ = (
        "revision",
        "newest_change",
        "member_gone_at",
        "whole_revision",
        "whole_at",
        "whole_took_s",
        "answered_at",
        "told_at",
        "confirmed_at",
        "request_number",
        "request_sent_at",
        "is_in_doubt",
        "config_behind_since",
    )

    def __init__(self) -> None:
        self.revision = 0
        self.newest_change = 0
        self.member_gone_at = leases.NEVER
        self.whole_revision = 0
        self.whole_at = leases.NEVER
        self.whole_took_s = 0.0
        self.answered_at = leases.NEVER
        self.told_at = leases.NEVER
        self.confirmed_at = leases.NEVER
        self.request_number = 0
        self.request_sent_at = leases.NEVER
        self.is_in_doubt = False
        self.config_behind_since: float | None = None


class CoordinatorLease:
    """This instance's lease in the store, which it coordinates under.

    Attributes:
      lease_id: The id of the lease, or 0.
      valid_until: Until when the lease is certainly valid.
      epoch: The epoch in which this instance coordinates, or 0.
      renew_at: When the lease is renewed next.
      next_attempt_at: When this instance may next try to take over.
      is_grant_pending: Whether the store was asked for a lease and has not
        answered.
      may_have_expired: Whether the lease may have expired, which the store
        has not confirmed.
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
        """Returns whether this instance coordinates and its lease is valid."""
        return self.epoch > 0 and now < self.valid_until


class RequestPacing:
    """When this instance may send share requests to the coordinator.

    Attributes:
      interval_s: The mean time between two, as the coordinator told.
      allowance: How many may be sent at once.
      allowance_at: When that was computed.
      next_timer_at: When the timer for the next one is due.
      wanted: The workspaces whose operations wait for tokens; a set in order.
      complete_epoch: To the coordinator of which epoch all shares were last
        reported.
      complete_again_at: When they are reported again without a reply.
      reported_epoch: The epoch whose coordinator has confirmed such a report.
      reply_timeout_s: How long to wait for a reply before asking again.
      slow_reply_at: When a late reply was last logged.
      watermarks_number: The latest request that told or asked for watermarks.
      watermarks_sent_at: When that was sent.
    """

    __slots__ = (
        "interval_s",
        "allowance",
        "allowance_at",
        "next_timer_at",
        "wanted",
        "complete_again_at",
        "complete_epoch",
        "reported_epoch",
        "reply_timeout_s",
        "slow_reply_at",
        "watermarks_number",
        "watermarks_sent_at",
    )

    def __init__(self) -> None:
        self.interval_s = 0.0
        self.allowance = 0.0
        self.allowance_at = leases.NEVER
        self.next_timer_at = leases.NEVER
        self.wanted: dict[str, None] = {}
        self.complete_again_at = leases.NEVER
        self.complete_epoch = 0
        self.reported_epoch = 0
        self.reply_timeout_s = shares.REQUEST_TIMEOUT_S
        self.slow_reply_at = leases.NEVER
        self.watermarks_number = 0
        self.watermarks_sent_at = leases.NEVER


class TokenRate:
    """Measures how fast a workspace's operations take tokens here.

    Attributes:
      rate: Tokens a second, in the last whole measuring period.
      count: Tokens since `measured_since`.
      measured_since: When the current period began.
    """

    __slots__ = ("rate", "count", "measured_since")

    def __init__(self, now: float):
        self.rate = 0.0
        self.count = 0
        self.measured_since = now


class Lender:
    """The shares of limits that the coordinator lends.

    Attributes:
      epoch: Its epoch.
      started_at: When it began to lend.
      earlier_lender_until: Until when an earlier lender may have had a
        majority.
      limits: The shared limits, by name.
      unreported: By instance, the process that may still hold shares from an
        earlier lender.
      last_request_at: When each instance last sent a request.
      earlier_request_at: When each of them last sent one to an earlier lender.
      supported_at: Before when each has certainly not sent its latest one.
      unreported_fraction: The fraction of each limit that `unreported` may
        hold at most.
      unreported_since: Since when it is so small.
      view_since: Since when it has seen which processes left.
      new_processes: The instances whose processes no earlier lender has
        answered.
      free_since: Since when no share from an earlier lender is in use, once
        `is_recovered`.
      is_recovered: Whether no share from an earlier lender can be in use.
      next_check_at: When silent instances are next checked for.
      slowdown: By how much the requests are further apart than usual, since
        the lease is renewed slowly.
    """

    __slots__ = (
        "epoch",
        "started_at",
        "earlier_lender_until",
        "limits",
        "unreported",
        "last_request_at",
        "earlier_request_at",
        "supported_at",
        "unreported_fraction",
        "unreported_since",
        "view_since",
        "new_processes",
        "free_since",
        "is_recovered",
        "next_check_at",
        "slowdown",
    )

    def __init__(self, epoch: int, now: float):
        self.epoch = epoch
        self.started_at = now
        self.earlier_lender_until = now
        self.limits: dict[str, lending.Limit] = {}
        self.unreported: dict[str, str] = {}
        self.last_request_at: dict[str, float] = {}
        self.earlier_request_at: dict[str, float] = {}
        self.supported_at: dict[str, float] = {}
        self.unreported_fraction = 1.0
        self.unreported_since = now
        self.view_since = now
        self.new_processes: set[str] = set()
        self.free_since = now
        self.is_recovered = False
        self.next_check_at = now
        self.slowdown = 1.0


class PrimaryLeaseRequests:
    """This instance's requests for leases on primaries.

    Attributes:
      number: The number of the latest.
      sent_at: When it was sent.
      is_answered: Whether its reply came.
      interval_s: The time until the next one.
      due_at: When that is sent.
    """

    __slots__ = ("number", "sent_at", "is_answered", "interval_s", "due_at")

    def __init__(self) -> None:
        self.number = 0
        self.sent_at = leases.NEVER
        self.is_answered = True
        self.interval_s = 0.0
        self.due_at = leases.NEVER


class LeaseGrants:
    """The leases on primaries that the coordinator has granted.

    A holder is a process: its instance, "@" and the id of its boot.

    Attributes:
      epoch: Its epoch.
      expiries: By service and holder, when the lease has expired for certain.
      last_numbers: The number of each holder's latest request.
      unreported: By instance, the process that may still hold leases of an
        earlier coordinator.
      released: By service, the unreported processes that have released theirs.
      earlier_until: When leases of an earlier coordinator have expired.
      is_predecessor_gone: Whether no earlier coordinator can grant any more.
    """

    __slots__ = (
        "epoch",
        "expiries",
        "last_numbers",
        "unreported",
        "released",
        "earlier_until",
        "is_predecessor_gone",
    )

    def __init__(self, epoch: int):
        self.epoch = epoch
        self.expiries: dict[str, dict[str, float]] = {}
        self.last_numbers: dict[str, int] = {}
        self.unreported: dict[str, str] = {}
        self.released: dict[str, set[str]] = {}
        self.earlier_until = leases.NEVER
        self.is_predecessor_gone = False


class CoordinatorLoad:
    """How busy the coordinator was since its last line about that.

    Attributes:
      since: When these figures began.
      requests: Share requests received.
      answered: Those of them that were answered.
      reports: Reports of single shares in them.
      received_bytes: The length of them all.
      renewals_sent: Renewals of its lease that were sent.
      renewals_answered: Renewals that the store has answered.
      slowest_renewal_s: The longest that one of these answers took.
      timer_delay_s: The most that a timer of this process was late.
    """

    __slots__ = (
        "since",
        "requests",
        "answered",
        "reports",
        "received_bytes",
        "renewals_sent",
        "renewals_answered",
        "slowest_renewal_s",
        "timer_delay_s",
    )

    def __init__(self, now: float):
        self.since = now
        self.requests = 0
        self.answered = 0
        self.reports = 0
        self.received_bytes = 0
        self.renewals_sent = 0
        self.renewals_answered = 0
        self.slowest_renewal_s = 0.0
        self.timer_delay_s = 0.0


class ChangeStep(enum.Enum):
    """The steps of a change of primary.

    Attributes:
      QUERYING: The candidates are asked for the ends of their logs.
      STEPPING_DOWN: The old primary is told to become a replica.
      HOLDING: The replicas are told to receive no more commits.
      RECALLING: The leases on the old primary are recalled.
      CHOOSING: The new primary is chosen once a candidate has caught up.
      WRITING_ORDER: The order is being written to the store.
      ORDERED: The order was given and is not yet answered.
      AWAITING_LEAD: The order was accepted; the server does not lead yet.
    """

    QUERYING = enum.auto()
    STEPPING_DOWN = enum.auto()
    HOLDING = enum.auto()
    RECALLING = enum.auto()
    CHOOSING = enum.auto()
    WRITING_ORDER = enum.auto()
    ORDERED = enum.auto()
    AWAITING_LEAD = enum.auto()


class PrimaryWatch:
    """What the coordinator knows about the primaries of the services.

    Attributes:
      changes: The changes of primary in progress, by service.
      no_primary_since: Since when a service has no known primary.
      unled_since: Since when the server that a service's newest order names is
        not seen to act as primary.
      confirmed_orders: By service, the order whose server is known to lead.
      led_since: When each service's last change ended; reports that its primary
        was unreachable before count from then.
      unreachable_reports: By server and reporting instance, when it last
        reported the server as unreachable, and since when the server is.
    """

    __slots__ = (
        "changes",
        "no_primary_since",
        "unled_since",
        "confirmed_orders",
        "led_since",
        "unreachable_reports",
    )

    def __init__(self) -> None:
        self.changes: dict[str, PrimaryChange] = {}
        self.no_primary_since: dict[str, float] = {}
        self.unled_since: dict[str, float] = {}
        self.confirmed_orders: dict[str, int] = {}
        self.led_since: dict[str, float] = {}
        self.unreachable_reports: dict[str, dict[str, tuple[float, float]]] = {}


# Causes of a change.
UNLED = "the ordered server does not lead"
UNANSWERED = "an order was not answered"
LEAVING = "the primary leaves"
EVACUATED = "its zone is taken out"
PLANNED_CAUSES = (LEAVING, EVACUATED)


class PrimaryChange:
    """A change of primary in progress.

    Attributes:
      service: The database service.
      cause: Why it is made.
      old_primary: The old primary, or "".
      started_at: When it began.
      step: The current step.
      queried_at: When the servers were last asked.
      logs_since: The ends of logs count that were asked for since then.
      step_deadline: The deadline of the step.
      is_fenced: Whether the old primary was told to step down.
      is_recalling: Whether no lease on the old primary is granted any more.
      held_term: The term for which the replicas are held; 0 if they are not.
      log_end: The end of its log, if it reported one then.
      catch_up_goal: An earlier end of its log, which a candidate must reach
        before it is told to step down.
      catch_up_goal_at: When it reported that.
      target: The server to promote.
      above_term: It leads by this change if its term is higher than this one.
      fork: Where its term starts, or None.
      refused_servers: The servers whose promotion was refused.
      fencing_token: The fencing token of the order.
    """

    __slots__ = (
        "service",
        "cause",
        "old_primary",
        "started_at",
        "step",
        "queried_at",
        "logs_since",
        "step_deadline",
        "is_fenced",
        "is_recalling",
        "held_term",
        "log_end",
        "catch_up_goal",
        "catch_up_goal_at",
        "target",
        "above_term",
        "fork",
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
        self.logs_since = now
        self.step_deadline = now
        self.is_fenced = False
        self.is_recalling = False
        self.held_term = 0
        self.log_end: Position | None = None
        self.catch_up_goal: Position | None = None
        self.catch_up_goal_at = leases.NEVER
        self.target = ""
        self.above_term = 0
        self.fork: Fork | None = None
        self.refused_servers: set[str] = set()
        self.fencing_token = 0
