"""State of sessions, their transactions and the statements in progress."""

from __future__ import annotations

import enum
from collections import deque
from typing import TYPE_CHECKING

from cuminwall.direct import catalog
from cuminwall.direct.answers import Phase, Position
from cuminwall.direct.statements import Shape, Statement
from cuminwall.direct.usage_state import NO_WINDOW

if TYPE_CHECKING:
    from cuminwall.direct.servers_state import Connection


class Session:
    """A caller's session.

    Attributes:
      number: Its number on this instance.
      database: The database named at login.
      key: The API key given at login.
      workspace: The workspace of the key.
      phase: The transaction phase in the last answer to the caller.
      values: Session values set by the caller.
      prepared_statements: Prepared statements by the caller's names.
      kept_bytes: The memory that both take.
      last_write_position: Position of the session's latest write, or None.
      inbox: Statements queued behind the one in progress.
      operation: The operation in progress, or None.
      transaction: The open transaction, or None.
      is_closing: Whether to close the session as soon as it is idle.
      is_gone: Whether the caller has disconnected.
      last_active_at: Time of the last statement or answer.
      resume_at: When its next statement may start, after a refusal.
      idle_check_at: When it is next checked whether its transaction has been
        idle for too long.
    """

    __slots__ = (
        "number",
        "database",
        "key",
        "workspace",
        "phase",
        "values",
        "prepared_statements",
        "kept_bytes",
        "last_write_position",
        "inbox",
        "operation",
        "transaction",
        "is_closing",
        "is_gone",
        "last_active_at",
        "resume_at",
        "idle_check_at",
    )

    def __init__(self, number: int, database: str, key: str, workspace: str):
        self.number = number
        self.database = database
        self.key = key
        self.workspace = workspace
        self.phase = Phase.IDLE
        self.values: dict[str, str] = {}
        self.prepared_statements: dict[str, Shape] = {}
        self.kept_bytes = 0
        self.last_write_position: Position | None = None
        self.inbox: deque[Statement] = deque()
        self.operation: Operation | None = None
        self.transaction: Transaction | None = None
        self.is_closing = False
        self.is_gone = False
        self.last_active_at = 0.0
        self.resume_at = 0.0
        self.idle_check_at = 0.0

    def is_idle(self) -> bool:
        """Returns whether it has no statement and no transaction."""
        if self.operation is not None or self.inbox:
            return False
        return self.phase is Phase.IDLE


class Holds:
    """What waits for a configuration, or for its confirmation.

    Attributes:
      since: Since when something waits for its confirmation, or None.
      sessions: The sessions whose statements wait for that, in order.
      logins: The sessions that are not open yet: there is no configuration, or
        it is to be confirmed.
      is_allowed: Whether something may be made to wait: not after a time in
        which the store did not answer.
    """

    __slots__ = ("since", "sessions", "logins", "is_allowed")

    def __init__(self) -> None:
        self.since: float | None = None
        self.sessions: list[Session] = []
        self.logins: list[Session] = []
        self.is_allowed = False


class Transaction:
    """A caller's open transaction.

    Attributes:
      read_only: Whether the caller opened it as read only.
      route: The route in force when it began.
      connection: Its backend connection; None before the first statement.
      requires_primary: Whether the server runs it only while it is the primary.
      wrote: Whether a write has succeeded in it.
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
    """The progress of an operation.

    Attributes:
      WAITING_FOR_TOKEN: Waits for a rate limit token of its workspace.
      WAITING_FOR_CONNECTION: Waits for a server or a connection.
      OPENING: Its connection is being opened.
      OPENING_TRANSACTION: The server is opening the transaction that it needs.
      SENT: The statement may have reached the server.
      FINISHED: Answered or abandoned.
    """

    WAITING_FOR_TOKEN = enum.auto()
    WAITING_FOR_CONNECTION = enum.auto()
    OPENING = enum.auto()
    OPENING_TRANSACTION = enum.auto()
    SENT = enum.auto()
    FINISHED = enum.auto()


# Stages in which nothing was sent to a server.
WAITING_STAGES = (Stage.WAITING_FOR_TOKEN, Stage.WAITING_FOR_CONNECTION)


class Operation:
    """One statement, from its arrival to its answer.

    Attributes:
      number: Its number on this instance.
      session: The session that sent it.
      statement: The statement.
      route: The route in force when it arrived.
      writes: Whether it writes.
      needs_primary: Whether only the primary may run it.
      stage: Its progress.
      has_token: Whether it holds a token that it has not used by being sent.
      arrived_at: When it arrived.
      target_at: When it should be answered, by the route's target latency.
      wait_until: Deadline of waiting for a token or for capacity.
      retry_at: When to retry on an overloaded primary, or None.
      admitted_at: When it got its token or needed none, or None before that.
      first_sent_at: When something was first sent to a server for it, or None.
      is_opened_for: Whether its latest attempt was the first on its connection.
      sent_at: When it, or the opening of its transaction, was sent.
      min_position: Log position that the server must have reached, or None.
      server: The server chosen last, or "".
      tried: Servers that refused it or failed while it was there.
      attempts: The attempts made to run it on a server.
      connection: The backend connection that runs it, or None.
      primary_order: The order that had made its server primary when it was
        sent there.
      usage_window: The window in which it counts as usage; `NO_WINDOW` if it
        doesn't.
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
        "admitted_at",
        "first_sent_at",
        "is_opened_for",
        "sent_at",
        "min_position",
        "server",
        "tried",
        "attempts",
        "connection",
        "primary_order",
        "usage_window",
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
        self.admitted_at: float | None = None
        self.first_sent_at: float | None = None
        self.is_opened_for = False
        self.sent_at = now
        self.min_position: Position | None = None
        self.server = ""
        self.tried: set[str] = set()
        self.attempts = 0
        self.connection: Connection | None = None
        self.primary_order = 0
        self.usage_window = NO_WINDOW
