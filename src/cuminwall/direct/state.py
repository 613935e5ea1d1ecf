"""All that the reducer knows, in tables that are changed in place.

Each subject's module owns the tables named after it and is the only one that
writes them.
"""

import enum
import heapq
from collections import deque
from typing import Any, NamedTuple

from cuminwall import buckets, leases
from cuminwall.direct import catalog, limits, waiting
from cuminwall.direct.answers import Phase, Position
from cuminwall.direct.statements import Shape, Statement


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
    COORDINATOR = enum.auto()
    SHUTDOWN = enum.auto()


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
      wrote: Whether it has run a write.
      opened_at: When its caller opened it.
    """

    __slots__ = ("read_only", "route", "connection", "wrote", "opened_at")

    def __init__(self, read_only: bool, route: catalog.Route, now: float):
        self.read_only = read_only
        self.route = route
        self.connection: Connection | None = None
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
      connections: Those of this instance.
      waiting: Work that waits for one of them.
      suspect_until: Until when it is left alone, since it was out of reach.
      lagging_until: Until when reads leave it alone, since it lacked a
        position.
      full_until: Until when it is left alone, since it took no more work.
      replica_until: Until when it is not asked to act as primary, since it
        said that it is none.
      reached_at: When it last answered.
      missed_at: When it was first out of reach since then, or None.
    """

    __slots__ = (
        "entry",
        "is_gone",
        "connections",
        "waiting",
        "suspect_until",
        "lagging_until",
        "full_until",
        "replica_until",
        "reached_at",
        "missed_at",
    )

    def __init__(self, entry: catalog.ServerEntry):
        self.entry = entry
        self.is_gone = False
        self.connections: list[Connection] = []
        self.waiting: waiting.Room[Work] = waiting.Room()
        self.suspect_until = leases.NEVER
        self.lagging_until = leases.NEVER
        self.full_until = leases.NEVER
        self.replica_until = leases.NEVER
        self.reached_at = leases.NEVER
        self.missed_at: float | None = None


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
      marks: Positions of the primary, oldest first.
      waiting: Work that waits for a primary.
    """

    __slots__ = (
        "service",
        "servers",
        "primary",
        "primary_revision",
        "marks",
        "waiting",
    )

    def __init__(self, service: str):
        self.service = service
        self.servers: dict[str, Server] = {}
        self.primary = ""
        self.primary_revision = 0
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
      instances: The instances of the system, by name.
      is_store_up: Whether the store answers.
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
        self.instances: set[str] = {instance}
        self.is_store_up = False
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
