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
from cuminwall.direct.effects import SwapValues
from cuminwall.direct.fleet_state import (
    Change,
    Coordinator,
    Hold,
    Lender,
    Member,
    Succession,
    TokenRate,
)
from cuminwall.direct.servers_state import Connection, Group, Inquiry, Server


class Timer(NamedTuple):
    """Something to look at when its time has come.

    Attributes:
      due_at: When.
      order: Keeps timers of the same time in order.
      subject: What kind of thing.
      key: Which one.
    """

    due_at: float
    order: int
    subject: "Subject"
    key: Any


class Subject(enum.Enum):
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


class Purpose(enum.Enum):
    """What a conditional write of the store is for."""

    REGISTER = enum.auto()
    COORDINATE = enum.auto()
    ORDER = enum.auto()


class Swap(NamedTuple):
    """A conditional write on its way.

    Attributes:
      purpose: What it is for.
      names: The values that it writes.
    """

    purpose: Purpose
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
      out_zones: The availability zones that are taken out.
      buckets: The workspaces' tokens here.
      timers: What to look at when.
      ready: Sessions that may go on with their next statement.
      unplaced: Work for which a server is to be chosen.
      vacated: Servers to which a connection has ended while work waits there.
      awaiting_config: Callers that came before the first configuration.
      boot: Tells this process from earlier ones of the instance.
      entropy: Random bytes of this process.
      peer_host: Where other instances reach this one.
      peer_port: On which port.
      secret: By which instances know each other; empty until it is read.
      members: The instances of the system, by name.
      most_members: The most instances that there were lately.
      most_members_at: When there were so many.
      shared_revisions: The store's revision of each shared value.
      swaps: The conditional writes on their way, by number.
      succession: What is heard of who coordinates.
      coordinator: Who coordinates, or None.
      vacant_since: Since when nobody coordinates, if so.
      epoch: The highest epoch that was seen.
      hold: This instance's part in coordination.
      lender: What it lends while it coordinates, or None.
      changes: The changes of primary in course, by service.
      unknown_since: Since when a service has no known primary.
      missed_by: Which instances can't reach a server: when that was heard,
        and since when.
      inquiries: Questions to servers, by number.
      next_request_at: When the coordinator is asked next.
      token_rates: How fast each workspace gets tokens here.
      last_demand_at: When a workspace last asked for a token here.
      behind_since: Since when a peer had a newer configuration, or None.
      leaving_since: Since when this instance is about to end.
      is_store_up: Whether the store answers.
      store_up_since: Since when it does.
      had_outage: Whether it ever failed to answer.
      snapshots: How many times the whole store was read.
      is_leaving: Whether this instance is about to end.
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
        self.out_zones: set[str] = set()
        self.buckets: dict[str, buckets.Bucket] = {}
        self.timers: list[Timer] = []
        self.ready: deque[Session] = deque()
        self.unplaced: deque[Operation] = deque()
        self.vacated: list[Server] = []
        self.awaiting_config: list[Session] = []
        self.boot = ""
        self.entropy = b""
        self.peer_host = ""
        self.peer_port = 0
        self.secret = b""
        self.members: dict[str, Member] = {}
        self.most_members = 0
        self.most_members_at = leases.NEVER
        self.shared_revisions: dict[str, int] = {}
        self.swaps: dict[int, Swap] = {}
        self.succession = Succession()
        self.coordinator: Coordinator | None = None
        self.vacant_since: float | None = None
        self.epoch = 0
        self.hold = Hold()
        self.lender: Lender | None = None
        self.changes: dict[str, Change] = {}
        self.unknown_since: dict[str, float] = {}
        self.missed_by: dict[str, dict[str, tuple[float, float]]] = {}
        self.inquiries: dict[int, Inquiry] = {}
        self.next_request_at = leases.NEVER
        self.token_rates: dict[str, TokenRate] = {}
        self.last_demand_at: dict[str, float] = {}
        self.behind_since: float | None = None
        self.leaving_since = 0.0
        self.is_store_up = False
        self.store_up_since = 0.0
        self.had_outage = False
        self.snapshots = 0
        self.numbers = 0
        self.is_leaving = False

    def next_number(self) -> int:
        """Returns a number that was not used before."""
        self.numbers += 1
        return self.numbers

    def remind(self, due_at: float, subject: Subject, key: Any = None) -> None:
        """Sets a timer; whoever handles it checks whether it still counts."""
        timer = Timer(due_at, self.next_number(), subject, key)
        heapq.heappush(self.timers, timer)

    def swap(
        self,
        purpose: Purpose,
        expected: dict[str, int],
        values: dict[str, bytes],
        leased: frozenset[str],
        lease: int,
        out: list[Any],
    ) -> None:
        """Asks for a conditional write of the store."""
        number = self.next_number()
        self.swaps[number] = Swap(purpose, tuple(values))
        out.append(
            SwapValues(number, expected, values, leased, lease, frozenset())
        )

    def pending_swap(self, purpose: Purpose) -> bool:
        """Returns whether a conditional write for a purpose is on its way."""
        return any(swap.purpose is purpose for swap in self.swaps.values())
