"""The state of an instance, which the reducer changes in place.

Each table is owned by the module for its subject, the only one that writes it.
"""

import enum
import heapq
from collections import deque
from typing import Any, NamedTuple

from cuminwall import buckets, leases
from cuminwall.direct import catalog, limits
from cuminwall.direct.callers_state import Session, Work
from cuminwall.direct.effects import SwapValues
from cuminwall.direct.fleet_state import (
    Change,
    Coordinator,
    Flow,
    Hold,
    Lender,
    Member,
    Succession,
)
from cuminwall.direct.servers_state import Connection, Group, Inquiry, Server


class Timer(NamedTuple):
    """A timer that is set; it can't be cancelled.

    Attributes:
      due_at: When it fires.
      order: Keeps timers of the same time in the order of their setting.
      subject: What it is about.
      key: The id of the object that it is about, if there are several.
    """

    due_at: float
    order: int
    subject: "Subject"
    key: Any


class Subject(enum.Enum):
    """What a timer is about."""

    WORK = enum.auto()
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
    """What a compare-and-swap of store values is for."""

    REGISTER = enum.auto()
    COORDINATE = enum.auto()
    ORDER = enum.auto()


class Swap(NamedTuple):
    """A compare-and-swap that was sent and is not yet answered.

    Attributes:
      purpose: What it is for.
      names: The names of the values that it writes.
    """

    purpose: Purpose
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
      works: The operations in progress, by number.
      groups: The database services, by name.
      servers: The backend servers, by id.
      connections: The connections to backend servers, by number.
      out_zones: The availability zones that are taken out of service.
      buckets: This instance's token buckets, by workspace.
      timers: The timers, as a heap.
      ready: Sessions that may start their next statement.
      unplaced: Operations for which a server is to be chosen.
      vacated: Servers with waiting operations that have lost a connection.
      early: Sessions that arrived before the first configuration.
      boot: Identifies this process among those of the instance.
      entropy: Random bytes that become the shared secret if there is none.
      peer_host: The host on which other instances reach this one.
      peer_port: The port on which they do.
      secret: The secret by which instances authenticate each other; empty
        until it is read.
      members: The instances of the system, by name.
      most_members: The recent maximum of the number of instances.
      most_members_at: When it was reached.
      shared_revisions: The store's revision of each shared value.
      swaps: The unanswered compare-and-swaps, by number.
      succession: What this instance has learned of who coordinates.
      coordinator: The coordinator, or None.
      vacant_since: Since when there is no coordinator, if so.
      epoch: The highest epoch that was read from the store.
      hold: This instance's own lease as coordinator.
      lender: The shares that it lends as coordinator, or None.
      changes: The primary changes in progress, by service.
      unknown_since: Since when a service has no known primary.
      missed_by: By server and reporting instance, when it last reported the
        server as unreachable, and since when the server is.
      inquiries: Commands of the coordinator to servers, by number.
      ask_at: When the next regular request to the coordinator is due.
      flows: How fast each workspace takes tokens here.
      asked_tokens_at: When each workspace last needed a token here.
      behind_since: Since when a peer had a newer configuration, or None.
      leaving_since: When this instance began to shut down.
      is_store_up: Whether the store answers.
      store_up_since: Since when it does.
      had_outage: Whether it has ever failed to answer.
      snapshots: How many times the whole store was read.
      numbers: The last number that `next_number` returned.
      is_leaving: Whether this instance is shutting down.
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
        self.works: dict[int, Work] = {}
        self.groups: dict[str, Group] = {}
        self.servers: dict[str, Server] = {}
        self.connections: dict[int, Connection] = {}
        self.out_zones: set[str] = set()
        self.buckets: dict[str, buckets.Bucket] = {}
        self.timers: list[Timer] = []
        self.ready: deque[Session] = deque()
        self.unplaced: deque[Work] = deque()
        self.vacated: list[Server] = []
        self.early: list[Session] = []
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
        self.ask_at = leases.NEVER
        self.flows: dict[str, Flow] = {}
        self.asked_tokens_at: dict[str, float] = {}
        self.behind_since: float | None = None
        self.leaving_since = 0.0
        self.is_store_up = False
        self.store_up_since = 0.0
        self.had_outage = False
        self.snapshots = 0
        self.numbers = 0
        self.is_leaving = False

    def next_number(self) -> int:
        """Returns a number that is unique within this process."""
        self.numbers += 1
        return self.numbers

    def remind(self, due_at: float, subject: Subject, key: Any = None) -> None:
        """Sets a timer; its handler must check whether it still applies."""
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
        """Requests a compare-and-swap of store values."""
        number = self.next_number()
        self.swaps[number] = Swap(purpose, tuple(values))
        out.append(
            SwapValues(number, expected, values, leased, lease, frozenset())
        )

    def pending_swap(self, purpose: Purpose) -> bool:
        """Returns whether a compare-and-swap for a purpose is unanswered."""
        return any(swap.purpose is purpose for swap in self.swaps.values())
