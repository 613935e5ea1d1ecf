"""Callers, their transactions and their statements on the way."""

from __future__ import annotations

import enum
from collections import deque
from typing import TYPE_CHECKING

from cuminwall.direct import catalog
from cuminwall.direct.answers import Phase, Position
from cuminwall.direct.statements import Shape, Statement

if TYPE_CHECKING:
    from cuminwall.direct.servers_state import Connection


class Session:
    """A caller.

    Attributes:
      number: Its number on this instance.
      database: The database that it named.
      key: The key that it showed.
      workspace: The workspace of the key.
      phase: What its caller was told last.
      values: Its session values.
      prepared_statements: Its prepared statements by the caller's names.
      last_write_position: The newest position that it wrote, or None.
      inbox: Statements that wait for the one in course.
      operation: The statement in course, or None.
      transaction: Its open transaction, or None.
      is_closing: Whether it is closed as soon as it is idle.
      is_gone: Whether its caller has left.
      last_active_at: When it was last heard or answered.
    """

    __slots__ = (
        "number",
        "database",
        "key",
        "workspace",
        "phase",
        "values",
        "prepared_statements",
        "last_write_position",
        "inbox",
        "operation",
        "transaction",
        "is_closing",
        "is_gone",
        "last_active_at",
    )

    def __init__(self, number: int, database: str, key: str, workspace: str):
        self.number = number
        self.database = database
        self.key = key
        self.workspace = workspace
        self.phase = Phase.IDLE
        self.values: dict[str, str] = {}
        self.prepared_statements: dict[str, Shape] = {}
        self.last_write_position: Position | None = None
        self.inbox: deque[Statement] = deque()
        self.operation: Operation | None = None
        self.transaction: Transaction | None = None
        self.is_closing = False
        self.is_gone = False
        self.last_active_at = 0.0


class Transaction:
    """A caller's open transaction.

    Attributes:
      read_only: Whether its caller opened it only to read.
      route: The route in force when it began.
      connection: Where it runs; None before its first statement.
      requires_primary: Whether its server runs it only while it leads.
      wrote: Whether it has run a write.
    """

    __slots__ = (
        "read_only",
        "route",
        "connection",
        "requires_primary",
        "wrote",
    )

    def __init__(self, read_only: bool, route: catalog.Route):
        self.read_only = read_only
        self.route = route
        self.connection: Connection | None = None
        self.requires_primary = False
        self.wrote = False


class Stage(enum.Enum):
    """How far a statement has come.

    Attributes:
      WAITING_FOR_TOKEN: It waits for its workspace's tokens.
      WAITING_FOR_CONNECTION: It waits for a server or a connection.
      OPENING: Its connection is being opened.
      OPENING_TRANSACTION: The transaction that it needs is being opened.
      SENT: It may have reached the server.
      FINISHED: It is answered.
    """

    WAITING_FOR_TOKEN = enum.auto()
    WAITING_FOR_CONNECTION = enum.auto()
    OPENING = enum.auto()
    OPENING_TRANSACTION = enum.auto()
    SENT = enum.auto()
    FINISHED = enum.auto()


class Operation:
    """One statement on its way to a backend server and back.

    Attributes:
      number: Its number on this instance.
      session: Whose it is.
      statement: The statement.
      route: The route in force when it came.
      writes: Whether it writes.
      needs_primary: Whether only the primary may run it.
      stage: How far it has come.
      has_token: Whether it took a token and has not been sent since.
      arrived_at: When it came.
      target_at: When it should be answered.
      wait_until: Until when it may wait for room.
      retry_at: When it is offered again to a full primary, or None.
      sent_at: When it was sent, or the opening of its transaction.
      min_position: The position that a replica must have, or None.
      server: The server that it was offered to last, or "".
      tried: The servers that refused it or failed it.
      attempts: How many times it was offered to a server.
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
        "has_token",
        "arrived_at",
        "target_at",
        "wait_until",
        "retry_at",
        "sent_at",
        "min_position",
        "server",
        "tried",
        "attempts",
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
        self.stage = Stage.WAITING_FOR_CONNECTION
        self.has_token = False
        self.arrived_at = now
        self.target_at = now + route.target_s
        self.wait_until = now
        self.retry_at: float | None = None
        self.sent_at = now
        self.min_position: Position | None = None
        self.server = ""
        self.tried: set[str] = set()
        self.attempts = 0
        self.connection: Connection | None = None
