"""All that the reducer knows, in tables that are changed in place.

Each subject's module owns the tables named after it and is the only one that
writes them.
"""

import enum
import heapq
from collections import deque
from typing import Any, NamedTuple

from cuminwall import buckets, leases
from cuminwall.direct import catalog, limits
from cuminwall.direct.callers_state import Operation, Session
from cuminwall.direct.effects import CompareAndSwap
from cuminwall.direct.fleet_state import (
    Coordinator,
    CoordinatorDiscovery,
    CoordinatorLease,
    Lender,
    Member,
    PrimaryChange,
    TokenRate,
)
from cuminwall.direct.servers_state import Connection, Group, Inquiry, Server


class Timer(NamedTuple):
    """Something to look at when its time has come.

    Attributes:
      due_at: When.
      order: Keeps timers of the same time in order.
      kind: What kind of thing.
      key: Which one.
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
    FAILOVER = enum.auto()
    SHUTDOWN = enum.auto()


class SwapPurpose(enum.Enum):
    """What a conditional write of the store is for."""

    REGISTER = enum.auto()
    COORDINATE = enum.auto()
    ORDER = enum.auto()


class PendingSwap(NamedTuple):
    """A conditional write on its way.

    Attributes:
      purpose: What it is for.
      names: The values that it writes.
    """

    purpose: SwapPurpose
    names: tuple[str, ...]


class State:
    """All that an instance knows.

    Attributes:
      instance: Its name.
      zone: Its availability zone.
      now: The time of the latest event, in seconds.
      limits: Durations and bounds.
      catalog: The configuration in force.
      sessions: The callers, by number.
      operations: Statements on their way, by number.
      groups: The database services, by name.
      servers: The backend servers, by id.
      connections: The connections to them, by number.
      evacuated_zones: The availability zones that are taken out.
      buckets: The workspaces' tokens here.
      timers: What to look at when.
      ready_sessions: Sessions that may go on with their next statement.
      unassigned: Work for which a server is to be chosen.
      freed_servers: Servers to which a connection has ended while work waits there.
      awaiting_config: Callers that came before the first configuration.
      boot: Tells this process from earlier ones of the instance.
      secret_candidate: Random bytes of this process.
      peer_host: Where other instances reach this one.
      peer_port: On which port.
      secret: By which instances know each other; empty until it is read.
      members: The instances of the system, by name.
      peak_members: The most instances that there were lately.
      peak_members_at: When there were so many.
      shared_revisions: The store's revision of each shared value.
      pending_swaps: The conditional writes on their way, by number.
      discovery: What is heard of who coordinates.
      coordinator: Who coordinates, or None.
      no_coordinator_since: Since when nobody coordinates, if so.
      epoch: The highest epoch that was seen.
      own_lease: This instance's part in coordination.
      lender: What it lends while it coordinates, or None.
      primary_changes: The changes of primary in course, by service.
      no_primary_since: Since when a service has no known primary.
      unreachable_reports: Which instances can't reach a server: when that was heard,
        and since when.
      inquiries: Questions to servers, by number.
      next_request_at: When the coordinator is asked next.
      token_rates: How fast each workspace gets tokens here.
      last_demand_at: When a workspace last asked for a token here.
      stale_config_since: Since when a peer had a newer configuration, or None.
      shutdown_began_at: Since when this instance is about to end.
      is_store_up: Whether the store answers.
      store_up_since: Since when it does.
      had_outage: Whether it ever failed to answer.
      snapshot_count: How many times the whole store was read.
      is_shutting_down: Whether this instance is about to end.
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
        self.awaiting_config: list[Session] = []
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
        self.no_coordinator_since: float | None = None
        self.epoch = 0
        self.own_lease = CoordinatorLease()
        self.lender: Lender | None = None
        self.primary_changes: dict[str, PrimaryChange] = {}
        self.no_primary_since: dict[str, float] = {}
        self.unreachable_reports: dict[str, dict[str, tuple[float, float]]] = {}
        self.inquiries: dict[int, Inquiry] = {}
        self.next_request_at = leases.NEVER
        self.token_rates: dict[str, TokenRate] = {}
        self.last_demand_at: dict[str, float] = {}
        self.stale_config_since: float | None = None
        self.shutdown_began_at = 0.0
        self.is_store_up = False
        self.store_up_since = 0.0
        self.had_outage = False
        self.snapshot_count = 0
        self.last_number = 0
        self.is_shutting_down = False

    def next_number(self) -> int:
        """Returns a number that was not used before."""
        self.last_number += 1
        return self.last_number

    def set_timer(
        self, due_at: float, kind: TimerKind, key: Any = None
    ) -> None:
        """Sets a timer; whoever handles it checks whether it still counts."""
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
        """Asks for a conditional write of the store."""
        number = self.next_number()
        self.pending_swaps[number] = PendingSwap(purpose, tuple(values))
        out.append(
            CompareAndSwap(number, expected, values, leased, lease, frozenset())
        )

    def has_pending_swap(self, purpose: SwapPurpose) -> bool:
        """Returns whether a conditional write for a purpose is on its way."""
        return any(
            swap.purpose is purpose for swap in self.pending_swaps.values()
        )
