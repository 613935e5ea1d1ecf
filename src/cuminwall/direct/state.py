"""All that the reducer knows, in tables that are changed in place.

Each subject's module owns the tables named after it and is the only one that
writes them.
"""

import enum
import heapq
from collections import deque
from typing import Any, NamedTuple

from cuminwall import buckets, leases, lending
from cuminwall.direct import catalog, limits, waiting
from cuminwall.direct.answers import Phase, Position, Status
from cuminwall.direct.commands import Command
from cuminwall.direct.effects import SwapValues
from cuminwall.direct.statements import Shape, Statement


class Flow:
    """How fast a workspace's operations get tokens here.

    Attributes:
      rate: Tokens a second, over the last while.
      count: Tokens since `since`.
      since: When counting began.
    """

    __slots__ = ("rate", "count", "since")

    def __init__(self, now: float):
        self.rate = 0.0
        self.count = 0
        self.since = now


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
    """What a conditional write of the store is for."""

    REGISTER = enum.auto()
    COORDINATE = enum.auto()
    ORDER = enum.auto()


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


class Swap(NamedTuple):
    """A conditional write on its way.

    Attributes:
      purpose: What it is for.
      names: The values that it writes.
    """

    purpose: Purpose
    names: tuple[str, ...]


class Hold:
    """This instance's part in coordination.

    Attributes:
      lease: Its lease in the store, or 0.
      until: Until when the lease surely holds.
      epoch: The epoch in which it coordinates, or 0.
      renew_at: When the lease is renewed next.
      try_at: When it may try to take over.
      is_asking: Whether a call about the lease is on its way.
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


class Lender:
    """What the coordinator lends.

    Attributes:
      epoch: Its epoch.
      since: Since when it lends.
      limits: The shared limits by name.
      unheard: The processes that may hold what an earlier one has lent.
      heard_at: When each instance asked last.
      unheard_part: The part of each limit that they may have at most.
      is_settled: Whether no earlier loan can be left.
      prune_at: When silent instances are looked for next.
    """

    __slots__ = (
        "epoch",
        "since",
        "limits",
        "unheard",
        "heard_at",
        "unheard_part",
        "is_settled",
        "prune_at",
    )

    def __init__(self, epoch: int, now: float):
        self.epoch = epoch
        self.since = now
        self.limits: dict[str, lending.Limit] = {}
        self.unheard: dict[str, str] = {}
        self.heard_at: dict[str, float] = {}
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


class Session:
    """A caller.

    Attributes:
      number: Its number on this instance.
      database: The database that it named.
      key: The key that it showed.
      workspace: The workspace of the key.
      phase: What its caller was told last.
      values: Its session values.
      shapes: Its prepared statements by the caller's names.
      floor: The newest position that it wrote, or None.
      inbox: Statements that wait for the one in course.
      work: The statement in course, or None.
      transaction: Its open transaction, or None.
      is_closing: Whether it is closed as soon as it is idle.
      is_gone: Whether its caller has left.
      acted_at: When it was last heard or answered.
    """

    __slots__ = (
        "number",
        "database",
        "key",
        "workspace",
        "phase",
        "values",
        "shapes",
        "floor",
        "inbox",
        "work",
        "transaction",
        "is_closing",
        "is_gone",
        "acted_at",
    )

    def __init__(self, number: int, database: str, key: str, workspace: str):
        self.number = number
        self.database = database
        self.key = key
        self.workspace = workspace
        self.phase = Phase.IDLE
        self.values: dict[str, str] = {}
        self.shapes: dict[str, Shape] = {}
        self.floor: Position | None = None
        self.inbox: deque[Statement] = deque()
        self.work: Work | None = None
        self.transaction: Transaction | None = None
        self.is_closing = False
        self.is_gone = False
        self.acted_at = 0.0


class Transaction:
    """A caller's open transaction.

    Attributes:
      read_only: Whether its caller opened it only to read.
      route: The route in force when it began.
      connection: Where it runs; None before its first statement.
      proves_lead: Whether its server runs it only while it leads.
      wrote: Whether it has run a write.
      opened_at: When its caller opened it.
    """

    __slots__ = (
        "read_only",
        "route",
        "connection",
        "proves_lead",
        "wrote",
        "opened_at",
    )

    def __init__(self, read_only: bool, route: catalog.Route, now: float):
        self.read_only = read_only
        self.route = route
        self.connection: Connection | None = None
        self.proves_lead = False
        self.wrote = False
        self.opened_at = now


class Stage(enum.Enum):
    """How far a statement has come.

    Attributes:
      TOKENS: It waits for its workspace's tokens.
      ROOM: It waits for a server or a connection.
      OPENING: Its connection is being opened.
      BEGINNING: The transaction that it needs is being opened.
      SENT: It may have reached the server.
      OVER: It is answered.
    """

    TOKENS = enum.auto()
    ROOM = enum.auto()
    OPENING = enum.auto()
    BEGINNING = enum.auto()
    SENT = enum.auto()
    OVER = enum.auto()


class Work:
    """One statement on its way to a backend server and back.

    Attributes:
      number: Its number on this instance.
      session: Whose it is.
      statement: The statement.
      route: The route in force when it came.
      writes: Whether it writes.
      needs_primary: Whether only the primary may run it.
      stage: How far it has come.
      came_at: When it came.
      wait_until: Until when it may wait for room.
      resume_at: When it is offered again to a full primary, or None.
      sent_at: When it was sent.
      after: The position that a replica must have, or None.
      server: The server that it was offered to last, or "".
      tried: The servers that refused it or failed it.
      offers: How many times it was offered to a server.
      connection: Where it runs, or None.
    """

    __slots__ = (
        "number",
        "session",
        "statement",
        "route",
        "writes",
        "needs_primary",
        "stage",
        "came_at",
        "wait_until",
        "resume_at",
        "sent_at",
        "after",
        "server",
        "tried",
        "offers",
        "connection",
    )

    def __init__(
        self,
        number: int,
        session: Session,
        statement: Statement,
        route: catalog.Route,
        now: float,
    ):
        self.number = number
        self.session = session
        self.statement = statement
        self.route = route
        self.writes = False
        self.needs_primary = True
        self.stage = Stage.ROOM
        self.came_at = now
        self.wait_until = now
        self.resume_at: float | None = None
        self.sent_at = now
        self.after: Position | None = None
        self.server = ""
        self.tried: set[str] = set()
        self.offers = 0
        self.connection: Connection | None = None


class Use(enum.Enum):
    """What a connection to a backend server is doing.

    Attributes:
      OPENING: It is being opened.
      IDLE: It is free.
      WORKING: It runs a statement, alone or in a transaction.
      RESTING: It holds a transaction between two statements.
      ENDING: It rolls a transaction back and is free then.
    """

    OPENING = enum.auto()
    IDLE = enum.auto()
    WORKING = enum.auto()
    RESTING = enum.auto()
    ENDING = enum.auto()


class Expected(enum.Enum):
    """What the answer to a command is for.

    Attributes:
      PREPARATION: The connection's values and prepared statements.
      BEGIN: The transaction that a statement needs.
      STATEMENT: The caller's statement.
      END: The end of a transaction.
      STATUS: A status query.
    """

    PREPARATION = enum.auto()
    BEGIN = enum.auto()
    STATEMENT = enum.auto()
    END = enum.auto()
    STATUS = enum.auto()


class Connection:
    """A connection to a backend server.

    Attributes:
      number: Its number on this instance.
      server: The server.
      workspace: For whom it was opened.
      use: What it is doing.
      work: The statement that it runs, or None.
      holder: The session whose transaction it holds, or None.
      expected: What the open answers are for, oldest first.
      values: The session values in force on it.
      prepared: The names of the prepared statements on it.
      used_at: When it was last used.
      asked_at: When its last command was sent.
    """

    __slots__ = (
        "number",
        "server",
        "workspace",
        "use",
        "work",
        "holder",
        "expected",
        "values",
        "prepared",
        "used_at",
        "asked_at",
    )

    def __init__(self, number: int, server: "Server", workspace: str):
        self.number = number
        self.server = server
        self.workspace = workspace
        self.use = Use.OPENING
        self.work: Work | None = None
        self.holder: Session | None = None
        self.expected: deque[Expected] = deque()
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.used_at = 0.0
        self.asked_at = 0.0


class Server:
    """A backend server.

    Attributes:
      entry: What it says of itself.
      is_gone: Whether it has no entry any more.
      cold_until: Until when it is slow after its start.
      cold_open_at: When it may next be offered work while it is cold.
      unwanted_at: Since when it should get no new work, or None.
      connections: Those of this instance.
      waiting: Work that waits for one of them.
      suspect_until: Until when it is left alone, since it was out of reach.
      lagging_until: Until when reads leave it alone, since it lacked a
        position.
      full_until: Until when it is left alone, since it took no more work.
      replica_until: Until when it is not asked to act as primary, since it
        said that it is none.
      refusals: How many connections it refused since it took one.
      reached_at: When it last answered.
      missed_at: When it was first out of reach since then, or None.
      status: What it answered last to the coordinator, or None.
      status_at: When that was, or when it failed to answer.
      status_alive: Whether it answered at all.
    """

    __slots__ = (
        "entry",
        "is_gone",
        "cold_until",
        "cold_open_at",
        "unwanted_at",
        "connections",
        "waiting",
        "suspect_until",
        "lagging_until",
        "full_until",
        "replica_until",
        "refusals",
        "reached_at",
        "missed_at",
        "status",
        "status_at",
        "status_alive",
    )

    def __init__(self, entry: catalog.ServerEntry):
        self.entry = entry
        self.is_gone = False
        self.cold_until = leases.NEVER
        self.cold_open_at: float | None = None
        self.unwanted_at: float | None = None
        self.connections: list[Connection] = []
        self.waiting: waiting.Room[Work] = waiting.Room()
        self.suspect_until = leases.NEVER
        self.lagging_until = leases.NEVER
        self.full_until = leases.NEVER
        self.replica_until = leases.NEVER
        self.refusals = 0
        self.reached_at = leases.NEVER
        self.missed_at: float | None = None
        self.status: Status | None = None
        self.status_at = leases.NEVER
        self.status_alive = True


class Inquiry:
    """A question to a server on a connection of its own.

    Attributes:
      number: The connection's number.
      server: The server.
      command: What it is asked.
      asked_at: When.
    """

    __slots__ = ("number", "server", "command", "asked_at")

    def __init__(
        self, number: int, server: "Server", command: Command, now: float
    ):
        self.number = number
        self.server = server
        self.command = command
        self.asked_at = now


class Mark(NamedTuple):
    """A position of the primary.

    Attributes:
      asked_at: Every commit acknowledged before this is at or below it.
      position: The position.
    """

    asked_at: float
    position: Position


class Group:
    """The servers of one database service.

    Attributes:
      service: The service.
      servers: By id.
      primary: The id of the server that leads, or "".
      primary_revision: The store's revision that says so.
      back_at: By when a lost primary should be replaced, or None.
      marks: Positions of the primary, oldest first.
      waiting: Work that waits for a primary.
    """

    __slots__ = (
        "service",
        "servers",
        "primary",
        "primary_revision",
        "back_at",
        "marks",
        "waiting",
    )

    def __init__(self, service: str):
        self.service = service
        self.servers: dict[str, Server] = {}
        self.primary = ""
        self.primary_revision = 0
        self.back_at: float | None = None
        self.marks: deque[Mark] = deque()
        self.waiting: waiting.Room[Work] = waiting.Room()


class State:
    """All that an instance knows.

    Attributes:
      instance: Its name.
      zone: Its availability zone.
      now: The time of the latest event, in seconds.
      limits: Durations and bounds.
      catalog: The configuration in force.
      sessions: The callers, by number.
      works: Statements on their way, by number.
      groups: The database services, by name.
      servers: The backend servers, by id.
      connections: The connections to them, by number.
      out_zones: The availability zones that are taken out.
      buckets: The workspaces' tokens here.
      timers: What to look at when.
      ready: Sessions that may go on with their next statement.
      unplaced: Work for which a server is to be chosen.
      early: Callers that came before the first configuration.
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
      ask_at: When the coordinator is asked next.
      flows: How fast each workspace gets tokens here.
      asked_tokens_at: When a workspace last asked for a token here.
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
        self.works: dict[int, Work] = {}
        self.groups: dict[str, Group] = {}
        self.servers: dict[str, Server] = {}
        self.connections: dict[int, Connection] = {}
        self.out_zones: set[str] = set()
        self.buckets: dict[str, buckets.Bucket] = {}
        self.timers: list[Timer] = []
        self.ready: deque[Session] = deque()
        self.unplaced: deque[Work] = deque()
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
        self.coordinator: Coordinator | None = None
        self.vacant_since = 0.0
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
