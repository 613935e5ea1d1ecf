"""Backend servers, their groups and the connections to them."""

from __future__ import annotations

import enum
from collections import deque
from typing import NamedTuple

from cuminwall import leases
from cuminwall.direct import catalog, wait_queue
from cuminwall.direct.answers import Position, Status
from cuminwall.direct.callers_state import Operation, Session
from cuminwall.direct.commands import Command
from cuminwall.direct.log_branches import Fork
from cuminwall.direct.statements import Shape
from cuminwall.load import server_speeds, waits


class ConnectionStatus(enum.Enum):
    """What a connection to a backend server is being used for.

    Attributes:
      OPENING: It is being opened.
      IDLE: It is free.
      RUNNING: It runs a statement, alone or in a transaction.
      IDLE_IN_TRANSACTION: It holds an open transaction between statements.
      ROLLING_BACK: It rolls back a transaction, to become idle afterwards.
    """

    OPENING = enum.auto()
    IDLE = enum.auto()
    RUNNING = enum.auto()
    IDLE_IN_TRANSACTION = enum.auto()
    ROLLING_BACK = enum.auto()


class AnswerKind(enum.Enum):
    """What an expected answer of a connection completes.

    Attributes:
      PREPARATION: Setting session values or preparing a statement.
      BEGIN: Opening the transaction that a statement needs.
      STATEMENT: The caller's statement.
      END: Ending a transaction.
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
      workspace: The workspace that it was opened for.
      status: What it is used for now.
      operation: The statement that it runs, or None.
      session: The session whose transaction it holds, or None.
      pending_answers: The answers still to come, oldest first.
      values: The session values in force on it.
      prepared: The names of the prepared statements on it, by definition.
      names_used: How many names of prepared statements it has ever had.
      last_used_at: When it was last used.
      last_sent_at: When its last command was sent.
      answer_by: By when it must have answered, or be open; it is closed if it
        has not.
      watched_at: When the latest timer for that is due.
      is_new: Whether no statement was ever sent on it.
      check_at: When it is next checked whether it is needed.
    """

    __slots__ = (
        "number",
        "server",
        "workspace",
        "status",
        "operation",
        "session",
        "pending_answers",
        "values",
        "prepared",
        "names_used",
        "last_used_at",
        "last_sent_at",
        "answer_by",
        "watched_at",
        "is_new",
        "check_at",
    )

    def __init__(self, number: int, server: Server, workspace: str):
        self.number = number
        self.server = server
        self.workspace = workspace
        self.status = ConnectionStatus.OPENING
        self.operation: Operation | None = None
        self.session: Session | None = None
        self.pending_answers: deque[AnswerKind] = deque()
        self.values: dict[str, str] = {}
        self.prepared: dict[Shape, str] = {}
        self.names_used = 0
        self.last_used_at = 0.0
        self.last_sent_at = 0.0
        self.answer_by = 0.0
        self.watched_at = 0.0
        self.is_new = True
        self.check_at = 0.0


class Inquiry:
    """A command of the coordinator to a server, on its own connection.

    Attributes:
      number: The connection's number.
      server: The server.
      command: The command.
      sent_at: When it was sent.
    """

    __slots__ = ("number", "server", "command", "sent_at")

    def __init__(
        self, number: int, server: Server, command: Command, now: float
    ):
        self.number = number
        self.server = server
        self.command = command
        self.sent_at = now


class Watermark(NamedTuple):
    """A watermark: a log position that the primary reported.

    Attributes:
      sent_at: When the statement that it answered was sent; every commit
        acknowledged before then is at or below the position.
      position: The position.
    """

    sent_at: float
    position: Position


class StatementKind(NamedTuple):
    """Statements whose times at different servers are compared.

    Attributes:
      database: The database that they name.
      writes: Whether they write.
      is_commit: Whether they end a transaction.
    """

    database: str
    writes: bool
    is_commit: bool


class Server:
    """A backend server.

    Attributes:
      entry: Its entry in the store.
      is_gone: Whether its entry was removed.
      cold_until: When its warm-up ends.
      next_attempt_at: When it may next get an operation during its warm-up.
      unusable_since: Since when it gets no new operations, or None.
      connections: This instance's connections to it.
      unused_share_s: For how long this instance may have one connection more
        than its part of those that the server accepts, in connection seconds.
      unused_share_at: When that was computed.
      waiting: The operations that wait for a connection.
      avoid_until: Until when it is avoided, since it was unreachable.
      lagging_until: Until when reads avoid it, since it had not reached the
        position that a read required.
      overloaded_until: Until when it is avoided, since it had no room for more.
      not_primary_until: Until when it is not used as primary, since it answered
        that it is none.
      refusals: How many connections it has refused since it last accepted one.
      last_answer_at: When it last answered.
      unreachable_since: When it was first unreachable or silent since then,
        or None.
      is_unreachable: Whether it was unreachable since it last answered.
      status: Its latest answer to a status query, or None.
      status_at: When it answered the latest query, or failed to.
      status_asked_at: When that query was sent.
      status_alive: Whether it answered that query at all.
      refuses_hold: Whether it does not know how to receive no more commits.
      speed: How fast it is, by what this instance has seen.
      is_slow: Whether it was reported as slower than its peers.
    """

    __slots__ = (
        "entry",
        "is_gone",
        "cold_until",
        "next_attempt_at",
        "unusable_since",
        "connections",
        "unused_share_s",
        "unused_share_at",
        "waiting",
        "avoid_until",
        "lagging_until",
        "overloaded_until",
        "not_primary_until",
        "refusals",
        "last_answer_at",
        "unreachable_since",
        "is_unreachable",
        "status",
        "status_at",
        "status_asked_at",
        "status_alive",
        "refuses_hold",
        "speed",
        "is_slow",
    )

    def __init__(self, entry: catalog.ServerEntry):
        self.entry = entry
        self.is_gone = False
        self.cold_until = leases.NEVER
        self.next_attempt_at: float | None = None
        self.unusable_since: float | None = None
        self.connections: list[Connection] = []
        self.unused_share_s = 0.0
        self.unused_share_at = leases.NEVER
        self.waiting: wait_queue.WaitQueue[Operation] = wait_queue.WaitQueue()
        self.avoid_until = leases.NEVER
        self.lagging_until = leases.NEVER
        self.overloaded_until = leases.NEVER
        self.not_primary_until = leases.NEVER
        self.refusals = 0
        self.last_answer_at = leases.NEVER
        self.unreachable_since: float | None = None
        self.is_unreachable = False
        self.status: Status | None = None
        self.status_at = leases.NEVER
        self.status_asked_at = leases.NEVER
        self.status_alive = True
        self.refuses_hold = False
        self.speed = server_speeds.NEUTRAL
        self.is_slow = False


class PrimaryLease:
    """This instance's lease on the primary of a service.

    Attributes:
      server: The primary.
      order: The order that made it primary.
      until: When the lease expires.
      has_expired: Whether it has expired without being renewed or recalled.
      ignored_up_to_request: Replies to requests up to this number don't renew
        it.
    """

    __slots__ = (
        "server",
        "order",
        "until",
        "has_expired",
        "ignored_up_to_request",
    )

    def __init__(self) -> None:
        self.server = ""
        self.order = 0
        self.until = leases.NEVER
        self.has_expired = False
        self.ignored_up_to_request = 0


class DepartedServer(NamedTuple):
    """A server whose entry was removed; it may still run.

    Attributes:
      host: Its IP number.
      port: Its port. A server that later uses this address has its log.
      departed_at: When the entry was removed.
    """

    host: str
    port: int
    departed_at: float


class OpenOrder(NamedTuple):
    """An order to promote a server that may still be carried out.

    Attributes:
      server: The server.
      until: When it is too old for that.
    """

    server: str
    until: float


class Group:
    """The servers of one database service.

    Attributes:
      service: The service.
      servers: By id.
      departed: The servers whose entries were removed lately, by id.
      primary: The id of the primary, or "" if it is unknown.
      former_primary: The id of the latest known primary, if it is unknown now.
      primary_revision: The store's revision of the newest entry that named a
        primary.
      order: The store's revision of the newest known order that named a
        primary; 0 if none was ever given.
      ordered_primary: The server that it named, or "".
      order_above_term: A server that acts as primary in a higher term than
        this does so by that order; a replaced one may do so in a lower term.
      ordered_fork: Where it starts a new term, if it is carried out; or None.
      fork: Where the latest promotion known to have been carried out has
        started its term, or None.
      open_orders: Orders that may still be carried out, by their revision.
      settled_order: The newest order up to which none is.
      lease: This instance's lease on the primary, where it needs one.
      primary_expected_at: By when a new primary is expected, or None.
      watermarks: Watermarks of this instance's own answers, oldest first.
      shared_watermarks: Those that other instances have told, oldest first.
      told_watermark_at: The time of its own newest one that it has told.
      read_at: When a read that a replica may run last arrived.
      waiting: The operations that wait for a primary.
      usual_times: What each kind of statement takes at all its servers.
      primary_demand: How much of its work only the primary can do.
      route_times: How long those of each route take, by database.
    """

    __slots__ = (
        "service",
        "servers",
        "departed",
        "primary",
        "former_primary",
        "primary_revision",
        "order",
        "ordered_primary",
        "order_above_term",
        "ordered_fork",
        "fork",
        "open_orders",
        "settled_order",
        "lease",
        "primary_expected_at",
        "watermarks",
        "shared_watermarks",
        "told_watermark_at",
        "read_at",
        "waiting",
        "usual_times",
        "primary_demand",
        "route_times",
    )

    def __init__(self, service: str):
        self.service = service
        self.servers: dict[str, Server] = {}
        self.departed: dict[str, DepartedServer] = {}
        self.primary = ""
        self.former_primary = ""
        self.primary_revision = 0
        self.order = 0
        self.ordered_primary = ""
        self.order_above_term = 0
        self.ordered_fork: Fork | None = None
        self.fork: Fork | None = None
        self.open_orders: dict[int, OpenOrder] = {}
        self.settled_order = 0
        self.lease = PrimaryLease()
        self.primary_expected_at: float | None = None
        self.watermarks: deque[Watermark] = deque()
        self.shared_watermarks: deque[Watermark] = deque()
        self.told_watermark_at = leases.NEVER
        self.read_at = leases.NEVER
        self.waiting: wait_queue.WaitQueue[Operation] = wait_queue.WaitQueue()
        self.usual_times: dict[StatementKind, server_speeds.Usual] = {}
        self.primary_demand = server_speeds.NO_DEMAND
        self.route_times: dict[str, waits.ServiceTime] = {}
