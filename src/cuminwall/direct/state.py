"""The state of an instance, which the reducer changes in place.

Each table is owned by the module for its subject, the only one that writes it.
"""

import enum
import heapq
from collections import deque
from typing import Any, NamedTuple

from cuminwall import buckets, leases
from cuminwall.direct import catalog, limits
from cuminwall.direct.callers_state import Holds, Operation, Session
from cuminwall.direct.effects import CompareAndSwap
from cuminwall.direct.fleet_state import (
    Coordinator,
    CoordinatorDiscovery,
    CoordinatorLease,
    CoordinatorLoad,
    LeaseGrants,
    Lender,
    Member,
    PrimaryLeaseRequests,
    PrimaryWatch,
    RequestPacing,
    StoreView,
    TokenRate,
)
from cuminwall.direct.servers_state import Connection, Group, Inquiry, Server
from cuminwall.direct.usage_state import Usage


class Timer(NamedTuple):
    """A timer that is set; it can't be cancelled.

    Attributes:
      due_at: When it fires.
      order: Keeps timers of the same time in the order of their setting.
      kind: What it is about.
      key: The id of the object that it is about, if there are several.
    """

    due_at: float
    order: int
    kind: "TimerKind"
    key: Any


class TimerKind(enum.Enum):
    """What a timer is about."""

    OPERATION = enum.auto()
    CONNECTION = enum.auto()
    SESSION = enum.auto()
    TOKENS = enum.auto()
    SERVER = enum.auto()
    INQUIRY = enum.auto()
    MEMBERSHIP = enum.auto()
    COORDINATOR = enum.auto()
    QUOTAS = enum.auto()
    PRIMARY_LEASES = enum.auto()
    FAILOVER = enum.auto()
    SHUTDOWN = enum.auto()
    HOLD = enum.auto()


class SwapPurpose(enum.Enum):
    """What a compare-and-swap of store values is for."""

    REGISTER = enum.auto()
    COORDINATE = enum.auto()
    ORDER = enum.auto()
    SETTLE = enum.auto()
    USAGE = enum.auto()


class PendingSwap(NamedTuple):
    """A compare-and-swap that was sent and is not yet answered.

    Attributes:
      purpose: What it is for.
      names: The names of the values that it writes.
    """

    purpose: SwapPurpose
    names: tuple[str, ...]


class State:
    """The state of an instance.

    Attributes:
      instance: Its name.
      zone: Its availability zone.
      now: The time of the latest event, in seconds.
      limits: Durations and bounds.
      catalog: The configuration in force.
      sessions: The callers' sessions, by number.
      operations: The operations in progress, by number.
      groups: The database services, by name.
      servers: The backend servers, by id.
      connections: The connections to backend servers, by number.
      evacuated_zones: The availability zones that are taken out of service.
      buckets: This instance's token buckets, by workspace.
      timers: The timers, as a heap.
      ready_sessions: Sessions that may start their next statement.
      unassigned: Operations for which a server is to be chosen.
      freed_servers: Servers that have lost a connection and have waiting
        operations.
      holds: What waits for a configuration, or its confirmation.
      boot: Identifies this process among those of the instance.
      secret_candidate: Random bytes that become the shared secret if there
        is none.
      peer_host: The host on which other instances reach this one.
      peer_port: The port on which they do.
      secret: The secret by which instances authenticate each other; empty
        until it is read.
      members: The instances of the system, by name.
      peak_members: The recent maximum of the number of instances.
      peak_members_at: When it was reached.
      shared_revisions: The store's revision of each shared value.
      pending_swaps: The unanswered compare-and-swaps, by number.
      discovery: What this instance has learned of who coordinates.
      coordinator: The coordinator, or None.
      epoch: The highest epoch that was read from the store.
      own_lease: This instance's own lease as coordinator.
      lender: The shares that it lends as coordinator, or None.
      lease_grants: The leases on primaries that it has granted as coordinator,
        or None.
      lease_request: Its own requests for leases on primaries.
      coordinator_load: How busy it is as coordinator.
      primary_watch: What it knows about the primaries as coordinator.
      usage: What it keeps to count and report the usage of workspaces.
      inquiries: Commands of the coordinator to servers, by number.
      next_request_at: When the next regular request to the coordinator is due.
      request_pacing: When further requests to it may be sent.
      token_rates: How fast each workspace takes tokens here.
      last_demand_at: When each workspace last needed a token here.
      shutdown_began_at: When this instance began to shut down.
      is_store_up: Whether the store answers.
      store_up_since: Since when it does.
      had_outage: Whether it has ever failed to answer.
      store_view: How far it knows the store.
      snapshot_count: How many times the whole store was read.
      last_number: The last number that `next_number` returned.
      is_shutting_down: Whether this instance is shutting down.
      is_exiting: Whether the process is about to end.
    """

    def __init__(
        self,
        instance: str,
        zone: str,
        limits_: limits.Limits = limits.DEFAULTS,
    ):
        self.instance = instance
        self.zone = zone
        self.now = 0.0
        self.limits = limits_
        self.catalog = catalog.EMPTY
        self.sessions: dict[int, Session] = {}
        self.operations: dict[int, Operation] = {}
        self.groups: dict[str, Group] = {}
        self.servers: dict[str, Server] = {}
        self.connections: dict[int, Connection] = {}
        self.evacuated_zones: set[str] = set()
        self.buckets: dict[str, buckets.Bucket] = {}
        self.timers: list[Timer] = []
        self.ready_sessions: deque[Session] = deque()
        self.unassigned: deque[Operation] = deque()
        self.freed_servers: list[Server] = []
        self.holds = Holds()
        self.boot = ""
        self.secret_candidate = b""
        self.peer_host = ""
        self.peer_port = 0
        self.secret = b""
        self.members: dict[str, Member] = {}
        self.peak_members = 0
        self.peak_members_at = leases.NEVER
        self.shared_revisions: dict[str, int] = {}
        self.pending_swaps: dict[int, PendingSwap] = {}
        self.discovery = CoordinatorDiscovery()
        self.coordinator: Coordinator | None = None
        self.epoch = 0
        self.own_lease = CoordinatorLease()
        self.lender: Lender | None = None
        self.lease_grants: LeaseGrants | None = None
        self.lease_request = PrimaryLeaseRequests()
        self.coordinator_load = CoordinatorLoad(0.0)
        self.primary_watch = PrimaryWatch()
        self.usage = Usage()
        self.inquiries: dict[int, Inquiry] = {}
        self.next_request_at = leases.NEVER
        self.request_pacing = RequestPacing()
        self.token_rates: dict[str, TokenRate] = {}
        self.last_demand_at: dict[str, float] = {}
        self.shutdown_began_at = 0.0
        self.is_store_up = False
        self.store_up_since = 0.0
        self.had_outage = False
        self.store_view = StoreView()
        self.snapshot_count = 0
        self.last_number = 0
        self.is_shutting_down = self.is_exiting = False

    def next_number(self) -> int:
        """Returns a number that is unique within this process."""
        self.last_number += 1
        return self.last_number

    def set_timer(
        self, due_at: float, kind: TimerKind, key: Any = None
    ) -> None:
        """Sets a timer; its handler must check whether it still applies."""
        timer = Timer(due_at, self.next_number(), kind, key)
        heapq.heappush(self.timers, timer)

    def compare_and_swap(
        self,
        purpose: SwapPurpose,
        expected: dict[str, int],
        values: dict[str, bytes],
        leased: frozenset[str],
        lease: int,
        out: list[Any],
    ) -> None:
        """Requests a compare-and-swap of store values."""
        number = self.next_number()
        self.pending_swaps[number] = PendingSwap(purpose, tuple(values))
        out.append(
            CompareAndSwap(number, expected, values, leased, lease, frozenset())
        )

    def has_pending_swap(self, purpose: SwapPurpose) -> bool:
        """Returns whether a compare-and-swap for a purpose is unanswered."""
        return any(
            swap.purpose is purpose for swap in self.pending_swaps.values()
        )
