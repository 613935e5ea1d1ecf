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


class ConnectionStatus(enum.Enum):
    """What a connection to a backend server is doing.

    Attributes:
      OPENING: It is being opened.
      IDLE: It is free.
      RUNNING: It runs a statement, alone or in a transaction.
      IDLE_IN_TRANSACTION: It holds a transaction between two statements.
      ROLLING_BACK: It rolls a transaction back and is free then.
    """

    OPENING = enum.auto()
    IDLE = enum.auto()
    RUNNING = enum.auto()
    IDLE_IN_TRANSACTION = enum.auto()
    ROLLING_BACK = enum.auto()


class AnswerKind(enum.Enum):
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
      status: What it is doing.
      operation: The statement that it runs, or None.
      session: The session whose transaction it holds, or None.
      pending_answers: What the open answers are for, oldest first.
      values: The session values in force on it.
      prepared: The names of the prepared statements on it.
      last_used_at: When it was last used.
      last_sent_at: When its last command was sent.
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
        "last_used_at",
        "last_sent_at",
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
        self.prepared: set[str] = set()
        self.last_used_at = 0.0
        self.last_sent_at = 0.0


class Inquiry:
    """A question to a server on a connection of its own.

    Attributes:
      number: The connection's number.
      server: The server.
      command: What it is asked.
      sent_at: When.
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
    """A position of the primary.

    Attributes:
      sent_at: Every commit acknowledged before this is at or below it.
      position: The position.
    """

    sent_at: float
    position: Position


class Server:
    """A backend server.

    Attributes:
      entry: What it says of itself.
      is_gone: Whether it has no entry any more.
      cold_until: Until when it is slow after its start.
      next_attempt_at: When it may next be offered work while it is cold.
      unusable_since: Since when it should get no new work, or None.
      connections: Those of this instance.
      waiting: Work that waits for one of them.
      avoid_until: Until when it is left alone, since it was out of reach.
      lagging_until: Until when reads leave it alone, since it lacked a
        position.
      overloaded_until: Until when it is left alone, since it took no more work.
      not_primary_until: Until when it is not asked to act as primary, since it
        said that it is none.
      refusals: How many connections it refused since it took one.
      last_answer_at: When it last answered.
      unreachable_since: When it was first out of reach since then, or None.
      is_unreachable: Whether it could not be reached since it last answered.
      status: What it answered last to the coordinator, or None.
      status_at: When that was, or when it failed to answer.
      status_alive: Whether it answered at all.
    """

    __slots__ = (
        "entry",
        "is_gone",
        "cold_until",
        "next_attempt_at",
        "unusable_since",
        "connections",
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
        "status_alive",
    )

    def __init__(self, entry: catalog.ServerEntry):
        self.entry = entry
        self.is_gone = False
        self.cold_until = leases.NEVER
        self.next_attempt_at: float | None = None
        self.unusable_since: float | None = None
        self.connections: list[Connection] = []
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
        self.status_alive = True


class Group:
    """The servers of one database service.

    Attributes:
      service: The service.
      servers: By id.
      primary: The id of the server that leads, or "".
      primary_revision: The store's revision that says so.
      primary_expected_at: By when a lost primary should be replaced, or None.
      watermarks: Positions of the primary, oldest first.
      waiting: Work that waits for a primary.
    """

    __slots__ = (
        "service",
        "servers",
        "primary",
        "primary_revision",
        "primary_expected_at",
        "watermarks",
        "waiting",
    )

    def __init__(self, service: str):
        self.service = service
        self.servers: dict[str, Server] = {}
        self.primary = ""
        self.primary_revision = 0
        self.primary_expected_at: float | None = None
        self.watermarks: deque[Watermark] = deque()
        self.waiting: wait_queue.WaitQueue[Operation] = wait_queue.WaitQueue()
