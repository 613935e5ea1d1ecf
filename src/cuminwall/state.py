"""The reducer's state, in small tables that are changed in place.

Each table is written only by the module that owns it, which is named after
the table's subject.
"""

import enum
from collections import deque
from typing import Any, NamedTuple

from cuminwall import (
    buckets,
    configuration,
    document,
    fairness,
    hometable,
    leases,
    lending,
    messages,
    ports,
    shares,
    timings,
    work,
)

MAX_WATERMARKS = 600  # One minute of probes of a primary at 0.1 s.


class Session:
    """A caller's session at its entry instance.

    Attributes:
      number: The session's number on this instance.
      login: The caller's login.
      floor: The minimum position that its reads must show, or None.
      transaction_home: The home that has its open transaction, or "".
      running_round: The number of its round under way, or 0.
      unserved_since: Since when it may start nothing new, or None.
    """

    __slots__ = (
        "number",
        "login",
        "floor",
        "transaction_home",
        "running_round",
        "unserved_since",
    )

    def __init__(self, number: int, login: work.Login):
        self.number = number
        self.login = login
        self.floor: work.Position | None = None
        self.transaction_home = ""
        self.running_round = 0
        self.unserved_since: float | None = None


class PendingRound:
    """A round at its entry instance that is not answered yet.

    Attributes:
      session: The session's number.
      request: What is sent to the home.
      home: The home that it was sent to, or "" while it waits here.
      tried_homes: The homes that were tried.
      arrived_at: When the caller sent it.
      tables: The tables read; empty if unknown.
    """

    __slots__ = (
        "session",
        "request",
        "home",
        "tried_homes",
        "arrived_at",
        "tables",
    )

    def __init__(
        self,
        session: int,
        request: work.RoundRequest,
        arrived_at: float,
        tables: tuple[str, ...] = (),
    ):
        self.session = session
        self.request = request
        self.home = ""
        self.tried_homes: list[str] = []
        self.arrived_at = arrived_at
        self.tables = tables


class Job:
    """A round at its home.

    Attributes:
      key: The round's key.
      request: What the entry instance sent.
      arrived_at: When it reached this home.
      server: The backend server that runs it, or "" while it waits.
      as_primary: Whether it depends on the server being the primary.
      term: The group's term when it was placed.
      floor: The minimum position that it must show, once known.
      attempts: How often it was sent to a backend server.
      abandoned: Whether nobody waits for its answer any more.
      answer: The answer, withheld until a replica has the write.
      wrote: Whether its transaction has written before.
    """

    __slots__ = (
        "key",
        "request",
        "arrived_at",
        "server",
        "as_primary",
        "term",
        "floor",
        "attempts",
        "abandoned",
        "answer",
        "wrote",
    )

    def __init__(
        self, key: work.RoundKey, request: work.RoundRequest, arrived_at: float
    ):
        self.key = key
        self.request = request
        self.arrived_at = arrived_at
        self.server = ""
        self.as_primary = False
        self.term = 0
        self.floor = request.floor
        self.attempts = 0
        self.abandoned = False
        self.answer: work.HomeAnswer | None = None
        self.wrote = False


class ServerShare(NamedTuple):
    """A backend server and this instance's share of its connections."""

    service: str
    server: str
    share: shares.Share


class Pin(NamedTuple):
    """A backend connection that is reserved for a session.

    Attributes:
      service: The database service.
      server: The id of the backend server.
      term: The group's term when the connection was pinned.
      wrote: Whether its transaction has written.
      as_primary: Whether it depends on the server being the primary.
    """

    service: str
    server: str
    term: int
    wrote: bool
    as_primary: bool


class Server:
    """A backend server, as a home sees it.

    Attributes:
      name: Its id in the service.
      zone: Its availability zone.
      out_of_service: Whether it or its zone is taken out of service.
      reachable: Whether new connections get answers.
      in_recovery: Whether it says that it is in recovery.
      lsn: Its log position.
      timeline: Its timeline; 0 until it has answered.
      answered_at: When the last answered probe was sent.
      failing_since: Since when probes fail, or None.
      current_as_of: It has everything that the primary had at this time.
      permits: How many connections this instance may have to it.
      share: This instance's share of the server's connections.
      in_use: How many of the permitted connections are busy.
      queue: Jobs that wait for a connection.
    """

    __slots__ = (
        "name",
        "zone",
        "out_of_service",
        "reachable",
        "in_recovery",
        "lsn",
        "timeline",
        "answered_at",
        "failing_since",
        "current_as_of",
        "permits",
        "share",
        "in_use",
        "queue",
    )

    def __init__(self, name: str, zone: str):
        self.name = name
        self.zone = zone
        self.out_of_service = False
        self.reachable = False
        self.in_recovery = True
        self.lsn = 0
        self.timeline = 0
        self.answered_at = leases.NEVER
        self.failing_since: float | None = None
        self.current_as_of = leases.NEVER
        self.permits = 0
        self.share = shares.Share("", 1)
        self.in_use = 0
        self.queue: fairness.FairQueue[Job] = fairness.FairQueue()


class Group:
    """A database group, as one of its homes sees it.

    Attributes:
      service: The database service.
      servers: Its backend servers by id.
      record: The agreed terms, or None before they are known.
      lease_term: The term of the write lease.
      lease_until: When the write lease expires.
      watermarks: The watermarks, from probes of the primary under a valid
        lease: (sent at, lsn).
      parked: Jobs that no server may serve now.
      awaiting_replica: Writes that wait for a replica: (lsn, until, job).
      wants_watermark_since: A job waits for a probe sent at or after this time.
      reports_changed: Whether the steward needs new reports soon.
      pending_recall: The steward that recalls the lease and its message, or None.
      recall_deadline: Until when open transactions may delay the release.
      ignored_up_to_request: Replies to requests up to this number grant nothing.
      reported_in_request: The number of the last request that carried its reports.
      reported_to: The steward that replied to that request, or "".
      reported_at: When that reply came.
    """

    __slots__ = (
        "service",
        "servers",
        "record",
        "lease_term",
        "lease_until",
        "watermarks",
        "parked",
        "awaiting_replica",
        "wants_watermark_since",
        "reports_changed",
        "pending_recall",
        "recall_deadline",
        "ignored_up_to_request",
        "reported_in_request",
        "reported_to",
        "reported_at",
    )

    def __init__(self, service: str):
        self.service = service
        self.servers: dict[str, Server] = {}
        self.record: messages.GroupRecord | None = None
        self.lease_term = 0
        self.lease_until = leases.NEVER
        self.watermarks: deque[tuple[float, int]] = deque(maxlen=MAX_WATERMARKS)
        self.parked: list[Job] = []
        self.awaiting_replica: list[tuple[int, float, Job]] = []
        self.wants_watermark_since: float | None = None
        self.reports_changed = False
        self.pending_recall: tuple[str, messages.Recall] | None = None
        self.recall_deadline = 0.0
        self.ignored_up_to_request = 0
        self.reported_in_request = 0
        self.reported_to = ""
        self.reported_at = leases.NEVER

    @property
    def term(self) -> int:
        """The newest agreed term, or 0."""
        return self.record.terms[-1].term if self.record else 0

    @property
    def primary(self) -> Server | None:
        """The confirmed primary, or None during a change."""
        if self.record is None or not self.record.active:
            return None
        return self.servers.get(self.record.terms[-1].primary)


class Member:
    """An instance of the system.

    Attributes:
      record: Its record in the instance list.
      missing_since: Since when it is missing from the list, or None.
      unresponsive_until: Until when it is not chosen as a home.
    """

    __slots__ = ("record", "missing_since", "unresponsive_until")

    def __init__(self, record: ports.InstanceRecord):
        self.record = record
        self.missing_since: float | None = None
        self.unresponsive_until = leases.NEVER


class ReceivedReport(NamedTuple):
    """A server report that a steward received.

    Attributes:
      report: The home's report.
      zone: The home's availability zone.
      received_at: When it came; the home may confirm it later.
    """

    report: messages.ServerReport
    zone: str
    received_at: float


class PrimaryChange:
    """A primary change that a steward carries out.

    Attributes:
      phase: Its current phase.
      phase_started_at: When that phase began.
      planned: Whether it is a switchover, with the old primary working.
      started_at: When the change began.
      fenced_at: When no home held a write lease any more.
      candidate: The backend server to be promoted, or "".
      promoting_home: The home that was ordered to promote it, or "".
      permit_expires_at: When the permit to promote expires.
      failed_candidates: Servers that could not be promoted.
    """

    __slots__ = (
        "phase",
        "phase_started_at",
        "planned",
        "started_at",
        "fenced_at",
        "candidate",
        "promoting_home",
        "permit_expires_at",
        "failed_candidates",
    )

    def __init__(self, phase: enum.Enum, now: float, planned: bool):
        self.phase = phase
        self.phase_started_at = now
        self.planned = planned
        self.started_at = now
        self.fenced_at = now
        self.candidate = ""
        self.promoting_home = ""
        self.permit_expires_at = leases.NEVER
        self.failed_candidates: set[str] = set()


class ManagedGroup:
    """A database group, as its steward manages it.

    Attributes:
      service: The database service.
      record: The record in the store, or None.
      revision: Its store revision; 0 if there is none.
      lease_expiries: When each home's write lease expires.
      reports: The newest report by home and server.
      last_heard_at: When each home last confirmed its reports.
      change: The primary change under way, or None.
      swap_pending: Whether a write of the record is not answered yet.
      pending_read_back: The continuation for reading the record back after a
        write with unknown outcome, or None.
      read_back_failed_at: When that read was last tried.
      confirmed_at: When the newest term was confirmed here.
      checked_record: The record whose primary was last checked.
      checked_at: When all reports were last checked.
      suspected_at: When a report last spoke against the primary.
    """

    __slots__ = (
        "service",
        "record",
        "revision",
        "lease_expiries",
        "reports",
        "last_heard_at",
        "change",
        "swap_pending",
        "pending_read_back",
        "read_back_failed_at",
        "confirmed_at",
        "checked_record",
        "checked_at",
        "suspected_at",
    )

    def __init__(self, service: str):
        self.service = service
        self.record: messages.GroupRecord | None = None
        self.revision = 0
        self.lease_expiries: dict[str, float] = {}
        self.reports: dict[tuple[str, str], ReceivedReport] = {}
        self.last_heard_at: dict[str, float] = {}
        self.change: PrimaryChange | None = None
        self.swap_pending = False
        self.pending_read_back: NamedTuple | None = None
        self.read_back_failed_at = leases.NEVER
        self.confirmed_at = leases.NEVER
        self.checked_record: messages.GroupRecord | None = None
        self.checked_at = leases.NEVER
        self.suspected_at = leases.NEVER


class Stewardship:
    """This instance's claim, acquired or being acquired, on a shard.

    Attributes:
      shard: The shard's number.
      active: Whether it grants leases and shares.
      epoch: The epoch of its claim.
      lease_id: The store lease that the steward key is attached to.
      valid_until: When the claim expires unless it is renewed.
      renewed_at: When the last renewal was sent.
      record: The shard's record in the store, or None.
      revision: Its store revision.
      record_pending: Whether a write of the record is not answered yet.
      former_successors: The successors before a record write with unknown
        outcome.
      earlier_leases_until: Until when leases of an earlier steward may be
        valid.
      active_since: Since when it grants.
      managed_groups: The groups of the shard by service.
      promise_number: The number of the newest promise request.
      promises_requested_at: When it was sent.
      promised_by: The successors that promised in reply to it.
      store_failing: Whether the last renewal got no answer.
      reacquiring: Whether the expired key is being set again.
      limits: The shared limits of the shard by name.
    """

    __slots__ = (
        "shard",
        "active",
        "epoch",
        "lease_id",
        "valid_until",
        "renewed_at",
        "record",
        "revision",
        "record_pending",
        "former_successors",
        "earlier_leases_until",
        "active_since",
        "managed_groups",
        "promise_number",
        "promises_requested_at",
        "promised_by",
        "store_failing",
        "reacquiring",
        "limits",
    )

    def __init__(self, shard: int):
        self.shard = shard
        self.active = False
        self.epoch = 0
        self.lease_id = 0
        self.valid_until = leases.NEVER
        self.renewed_at = leases.NEVER
        self.record: dict | None = None
        self.revision = 0
        self.record_pending = False
        self.former_successors: tuple[str, ...] = ()
        self.earlier_leases_until = leases.NEVER
        self.active_since = float("inf")
        self.managed_groups: dict[str, ManagedGroup] = {}
        self.promise_number = 0
        self.promises_requested_at = leases.NEVER
        self.promised_by: set[str] = set()
        self.store_failing = False
        self.reacquiring = False
        self.limits: dict[str, lending.Limit] = {}


class RelayView:
    """What this instance knows of the newest configuration.

    Attributes:
      head_version: The highest version known to exist.
      confirmed_current_at: When `head_version` was last confirmed to be the
        newest.
      fetching_version: The version being loaded, or 0.
      unanswered: The last request to each source: number and time.
      round_replies: In a store outage, the other zones' replies in this round
        of requests.
      round_started_at: When this round of requests began.
      store_answered_at: When the last answered read of the store was sent.
      is_reading_store: Whether a read of the store is not answered yet.
      subscribers: The instances that asked lately, and when.
      shard_keys: The known state of each shard's two keys.
    """

    __slots__ = (
        "head_version",
        "confirmed_current_at",
        "fetching_version",
        "unanswered",
        "round_replies",
        "round_started_at",
        "store_answered_at",
        "is_reading_store",
        "subscribers",
        "shard_keys",
    )

    def __init__(self) -> None:
        self.head_version = 0
        self.confirmed_current_at = leases.NEVER
        self.fetching_version = 0
        self.unanswered: dict[str, tuple[int, float]] = {}
        self.round_replies: dict[str, tuple[int, float]] = {}
        self.round_started_at = leases.NEVER
        self.store_answered_at = leases.NEVER
        self.is_reading_store = False
        self.subscribers: dict[str, float] = {}
        self.shard_keys: dict[int, ShardKeys] = {}


class ShardKeys:
    """A shard's two keys in the store, as a relay last saw them.

    Attributes:
      record: The shard's record, which has no lease, or None.
      record_revision: Its revision.
      held_by: The instance that holds the steward key, or "".
      held_revision: The revision of that key or of its deletion.
    """

    __slots__ = ("record", "record_revision", "held_by", "held_revision")

    def __init__(self) -> None:
        self.record: dict | None = None
        self.record_revision = 0
        self.held_by = ""
        self.held_revision = 0


class State:
    """The whole state of one instance."""

    def __init__(
        self,
        instance: str,
        zone: str,
        times: timings.Timings,
        shard_count: int,
        started_at: float,
    ):
        self.instance = instance
        self.zone = zone
        self.times = times
        self.shard_count = shard_count
        self.started_at = started_at
        self.now = started_at
        self.draining = False

        self.config: configuration.Configuration = configuration.parse(
            document.empty(), 0
        )
        self.fresh_until = leases.NEVER

        self.sessions: dict[int, Session] = {}
        self.unserved: dict[int, Session] = {}
        self.pending_rounds: dict[int, PendingRound] = {}

        self.groups: dict[str, Group] = {}
        self.jobs: dict[work.RoundKey, Job] = {}
        self.pins: dict[tuple[str, int], Pin] = {}

        self.members: dict[str, Member] = {}
        self.listed_records: tuple[ports.InstanceRecord, ...] = ()
        self.missing_instances: set[str] = set()
        self.home_table = hometable.HomeTable()
        self.members_version = 0
        self.homes_basis = (-1, -1)
        self.homes_cache: dict[str, tuple[str, ...]] = {}
        self.relays_cache: dict[str, list[str]] = {}
        self.steward_ranking_cache: dict[int, list[str]] = {}
        self.successors_cache: dict[int, list[str]] = {}

        self.shards: dict[int, messages.ShardRecord] = {}
        self.lease_requests: dict[int, tuple[int, float]] = {}
        self.promised_until: dict[int, float] = {}
        self.vacant_since: dict[int, float] = {}
        self.stewardships: dict[int, Stewardship] = {}
        self.relay = RelayView()
        self.relay_requests: dict[int, tuple[str, float]] = {}
        self.shards_revision = 0
        self.permit_requests: dict[
            int, tuple[str, float, messages.PromotionOrder]
        ] = {}
        self.promotion_orders: dict[
            tuple[str, int], tuple[messages.PromotionOrder, str]
        ] = {}

        self.buckets: dict[str, buckets.Bucket] = {}
        self.waiting_buckets: dict[str, buckets.Bucket] = {}
        self.share_holders: dict[
            int, dict[str, buckets.Bucket | ServerShare]
        ] = {}
        self.share_requested_at: dict[int, float] = {}
        self.next_permit_expiry = float("inf")
        self.urgent_shares: dict[str, buckets.Bucket | ServerShare] = {}
        self.pending_calls: dict[int, tuple[Any, ...]] = {}
        self.last_number = 0

    def next_number(self) -> int:
        """Returns a number not used before on this instance."""
        self.last_number += 1
        return self.last_number
