"""The pool of connections to backend servers.

A connection belongs to one workspace, whose name the server gets at login.
The servers limit the connections of all instances together, so each instance
keeps an even share. It may open a few more while a server accepts them, so that
a transaction which rests doesn't hold up its other work; those are given up
soon after their use. Where a server accepts fewer than there are instances,
each keeps its part over time: one connection for a part of the time. At its
limit an idle connection of one workspace is closed to open one for another.
"""

import string

from cuminwall.direct import groups, membership, queueing
from cuminwall.direct.callers_state import Operation, Session
from cuminwall.direct.commands import (
    AssignValue,
    Command,
    EndTransaction,
    PrepareShape,
    ResetConnection,
)
from cuminwall.direct.effects import (
    CloseConnection,
    Effect,
    OpenConnection,
    SendCommands,
)
from cuminwall.direct.servers_state import (
    AnswerKind,
    Connection,
    ConnectionStatus,
    Server,
)
from cuminwall.direct.state import State, TimerKind
from cuminwall.direct.statements import Shape

RESERVED = 2  # Connections to each server kept free for the coordinator.
# An operation this close to its target may displace an idle connection that
# operations of another workspace wait for.
DISPLACE_S = 0.08
# Connections to a server that an instance may use even if its share is smaller.
MIN_USABLE = 2
# Of an even part of a server's connections, for those that are kept over time;
# the rest is for those that are just opened or used.
KEPT_FRACTION = 0.8
# A part that was not used counts no longer. All instances may keep a connection
# at once for this long, after a time in which none did.
MAX_UNUSED_S = 1.5
ROUNDING_S = 1e-6
MAX_PREPARED = 200  # Prepared statements kept on one connection.
NAME_CHARACTERS = string.ascii_lowercase + string.ascii_uppercase


def max_connections(state: State, server: Server) -> int:
    """Returns how many connections this instance may have to a server."""
    return max(MIN_USABLE, even_share(state, server))


def even_share(state: State, server: Server) -> int:
    """Returns how many connections every instance may keep to a server."""
    return int(_exact_share(state, server))


def _exact_share(state: State, server: Server) -> float:
    """Returns an even part of the connections that a server accepts."""
    service = state.catalog.services.get(server.entry.service)
    if service is None:
        return 0.0
    count = max(1, membership.count_members(state))
    return (service.connections - RESERVED) / count


def _kept_share(state: State, server: Server) -> float:
    """Returns how many connections this instance may keep on average."""
    return KEPT_FRACTION * _exact_share(state, server)


def _has_unused_share(state: State, server: Server) -> bool:
    """Returns whether one connection beyond the even share may be kept."""
    if even_share(state, server) or len(server.connections) != 1:
        return False
    if server.refusals:
        # The server has no room, so others need the connection now.
        return False
    _update_unused_share(state, server)
    return server.unused_share_s > ROUNDING_S


def _update_unused_share(state: State, server: Server) -> None:
    """Adds up the part of a server's connections that was not used lately.

    Must be called before the number of connections changes.
    """
    part = _kept_share(state, server)
    elapsed_s = max(0.0, state.now - server.unused_share_at)
    gained_s = MAX_UNUSED_S * part
    if elapsed_s < MAX_UNUSED_S:
        gained_s = elapsed_s * (part - len(server.connections))
    limit_s = MAX_UNUSED_S * part
    unused_s = max(-limit_s, server.unused_share_s + gained_s)
    server.unused_share_s = min(limit_s, unused_s)
    server.unused_share_at = state.now


def acquire(
    state: State, server: Server, operation: Operation, out: list[Effect]
) -> Connection | None:
    """Returns an idle connection, or queues the operation and returns None.

    May also open a connection. That one goes to the operation which is first
    in the queue when it is open, so this one is queued in either case.
    """
    workspace = operation.session.workspace
    found = _find_idle(server, workspace, operation.session)
    if found is not None:
        return found
    queueing.enqueue(state, server, operation)
    if _exceeds_opening(server, workspace):
        open_for_workspace(state, server, workspace, False, out)
    return None


def open_for_workspace(
    state: State,
    server: Server,
    workspace: str,
    is_urgent: bool,
    out: list[Effect],
) -> None:
    """Opens a connection for a workspace, if the limit allows one more.

    At the limit, an idle connection of another workspace is closed for it.

    Args:
      state: The state.
      server: The server.
      workspace: The workspace.
      is_urgent: Whether it may replace an idle connection for which
        operations of another workspace are queued.
      out: The effects.
    """
    if server.refusals and state.now < server.overloaded_until:
        state.set_timer(
            server.overloaded_until, TimerKind.SERVER, server.entry.server
        )
        return
    if len(server.connections) >= max_connections(state, server):
        if not is_urgent and not _exceeds_soon_idle(server, workspace):
            return
        if not _close_least_recent(state, server, is_urgent, out):
            return
    number = state.next_number()
    connection = Connection(number, server, workspace)
    connection.last_sent_at = connection.last_used_at = state.now
    _update_unused_share(state, server)
    server.connections.append(connection)
    state.connections[number] = connection
    out.append(make_open_effect(number, server, workspace))
    expect_answer(state, connection)


def make_open_effect(
    number: int, server: Server, workspace: str
) -> OpenConnection:
    """Returns the effect that opens a connection to a server."""
    entry = server.entry
    return OpenConnection(
        number, entry.service, entry.server, entry.host, entry.port, workspace
    )


def close(state: State, connection: Connection, out: list[Effect]) -> None:
    """Closes a connection whose state is uncertain or that is not needed."""
    if connection.number not in state.connections:
        return
    remove(state, connection)
    out.append(CloseConnection(connection.number))


def remove(state: State, connection: Connection) -> None:
    """Removes a closed connection from the state."""
    if state.connections.pop(connection.number, None) is None:
        return
    server = connection.server
    _update_unused_share(state, server)
    server.connections.remove(connection)
    if len(server.waiting):
        state.freed_servers.append(server)


def set_idle(state: State, connection: Connection) -> None:
    """Marks a connection as idle."""
    connection.status = ConnectionStatus.IDLE
    connection.operation = None
    connection.session = None
    connection.last_used_at = state.now
    _schedule_check(state, connection)


def _schedule_check(state: State, connection: Connection) -> None:
    """Sets the timer to check whether an idle connection is needed."""
    server = connection.server
    if _has_unused_share(state, server):
        excess = len(server.connections) - _kept_share(state, server)
        delay_s = max(
            state.limits.borrowed_idle_s, server.unused_share_s / excess
        )
    else:
        delay_s = _max_idle_s(state, server)
    connection.check_at = state.now + delay_s
    state.set_timer(
        connection.check_at, TimerKind.CONNECTION, connection.number
    )


def roll_back(state: State, connection: Connection, out: list[Effect]) -> None:
    """Rolls back a connection's transaction; the answer makes it idle."""
    connection.status = ConnectionStatus.ROLLING_BACK
    connection.operation = None
    connection.session = None
    send(state, connection, [(EndTransaction(), AnswerKind.END)], out)


def send(
    state: State,
    connection: Connection,
    batch: list[tuple[Command, AnswerKind]],
    out: list[Effect],
) -> None:
    """Sends commands in one batch, and sets the time for their answers."""
    connection.last_sent_at = state.now
    commands = []
    for command, answer_kind in batch:
        commands.append(command)
        connection.pending_answers.append(answer_kind)
    out.append(SendCommands(connection.number, tuple(commands)))
    expect_answer(state, connection)


def expect_answer(state: State, connection: Connection) -> None:
    """Sets the time by which a connection must answer, or be open.

    It holds whoever waits for the answer: a statement has the timeout of its
    route, and all else that of opening a connection.
    """
    timeout_s = state.limits.connect_timeout_s
    if connection.operation is not None:
        timeout_s = connection.operation.route.timeout_s
    connection.answer_by = state.now + timeout_s
    watch(state, connection)


def watch(state: State, connection: Connection) -> None:
    """Sets the timer for a connection's answer, unless one is due before."""
    if state.now < connection.watched_at <= connection.answer_by:
        return
    connection.watched_at = connection.answer_by
    state.set_timer(
        connection.watched_at, TimerKind.CONNECTION, connection.number
    )


def prepare_commands(
    connection: Connection, session: Session, shape: Shape | None
) -> list[tuple[Command, AnswerKind]]:
    """Returns commands that give a connection the state a session needs.

    The connection's recorded state is updated at once: the commands are sent
    ahead of the statement, and a connection on which one fails is closed.
    """
    batch: list[tuple[Command, AnswerKind]] = []
    if connection.session is None and _must_reset(connection, session):
        connection.values = {}
        connection.prepared = {}
        batch.append((ResetConnection(), AnswerKind.PREPARATION))
    for name, value in session.values.items():
        if connection.values.get(name) == value:
            continue
        connection.values[name] = value
        batch.append((AssignValue(name, value), AnswerKind.PREPARATION))
    if shape is not None and shape not in connection.prepared:
        name = _make_prepared_name(connection)
        connection.prepared[shape] = name
        batch.append((PrepareShape(name, shape), AnswerKind.PREPARATION))
    return batch


def _make_prepared_name(connection: Connection) -> str:
    """Returns a new name for a prepared statement on a connection.

    Sessions that prepare the same definition share it on a connection. A name
    never stands for another definition later, not even after a reset, so a
    command that failed unnoticed can't run the wrong one. Names are short, so
    that statements hardly grow.
    """
    connection.names_used += 1
    return spell_number(connection.names_used)


def spell_number(number: int) -> str:
    """Returns a positive number in letters: a to Z, aa to ZZ, and so on."""
    letters = ""
    while number:
        number, index = divmod(number - 1, len(NAME_CHARACTERS))
        letters = NAME_CHARACTERS[index] + letters
    return letters


def close_unused(
    state: State, connection: Connection, out: list[Effect]
) -> None:
    """Closes a connection that has been idle for too long."""
    if connection.status is not ConnectionStatus.IDLE:
        return
    server = connection.server
    unused_s = state.now - connection.last_used_at
    is_old = unused_s >= _max_idle_s(state, server)
    if is_old and not _has_unused_share(state, server):
        close(state, connection, out)
    elif state.now >= connection.check_at:
        _schedule_check(state, connection)


def next_waiting(
    state: State, server: Server, out: list[Effect]
) -> tuple[Connection, Operation] | None:
    """Returns an idle connection of a server and the operation to run on it.

    An idle connection goes to operations of its own workspace. It is replaced
    by one of another workspace when none of its own are queued, or when an
    operation of the other workspace would otherwise miss its target.
    """
    queue = server.waiting
    if not len(queue):
        return None
    if not groups.may_serve_as_primary(state, server):
        state.unassigned.extend(queue.drain())
        return None
    for workspace in queue.kinds(state.now):
        if has_idle(server, workspace):
            operation = queue.pop_kind(workspace, state.now)
            found = _find_idle(server, workspace, operation.session)
            assert found is not None
            return found, operation
        if not _exceeds_opening(server, workspace):
            continue
        left_s = queue.peek_kind(workspace, state.now).target_at - state.now
        is_urgent = 0.0 < left_s <= DISPLACE_S
        open_for_workspace(state, server, workspace, is_urgent, out)
    return None


def _max_idle_s(state: State, server: Server) -> float:
    """Returns how long a connection may be idle without an unused share."""
    if len(server.connections) > even_share(state, server):
        return state.limits.borrowed_idle_s
    return state.limits.idle_connection_s


def _exceeds_opening(server: Server, workspace: str) -> bool:
    """Returns whether more operations are queued than connections opening."""
    opening = _count_with_status(server, workspace, (ConnectionStatus.OPENING,))
    return server.waiting.count_kind(workspace) > opening


def _exceeds_soon_idle(server: Server, workspace: str) -> bool:
    """Returns whether more operations are queued than connections soon idle.

    Opening a connection takes as long as a statement, so an operation is
    served sooner by a connection that is about to be idle.
    """
    soon_idle = (
        ConnectionStatus.OPENING,
        ConnectionStatus.RUNNING,
        ConnectionStatus.ROLLING_BACK,
    )
    available = _count_with_status(server, workspace, soon_idle)
    return server.waiting.count_kind(workspace) > available


def _count_with_status(
    server: Server, workspace: str, statuses: tuple[ConnectionStatus, ...]
) -> int:
    """Returns how many connections of a workspace have one of the statuses."""
    count = 0
    for connection in server.connections:
        if connection.workspace == workspace and connection.status in statuses:
            count += 1
    return count


def has_idle(server: Server, workspace: str) -> bool:
    """Returns whether a server has an idle connection of a workspace."""
    return _count_with_status(server, workspace, (ConnectionStatus.IDLE,)) > 0


def _find_idle(
    server: Server, workspace: str, session: Session
) -> Connection | None:
    """Returns an idle connection, if possible with the session's values."""
    best = None
    for connection in server.connections:
        if connection.status is not ConnectionStatus.IDLE:
            continue
        if connection.workspace != workspace:
            continue
        if connection.values == session.values:
            return connection
        best = connection
    return best


def _close_least_recent(
    state: State, server: Server, is_urgent: bool, out: list[Effect]
) -> bool:
    """Closes the least recently used idle connection; returns if it did."""
    oldest = None
    for connection in server.connections:
        if connection.status is not ConnectionStatus.IDLE:
            continue
        if not is_urgent and server.waiting.count_kind(connection.workspace):
            continue
        if oldest is None or connection.last_used_at < oldest.last_used_at:
            oldest = connection
    if oldest is None:
        return False
    close(state, oldest, out)
    return True


def _must_reset(connection: Connection, session: Session) -> bool:
    """Returns whether a connection must be reset before a session uses it.

    That is so if it has values which the session did not set, or too many
    prepared statements.
    """
    if len(connection.prepared) >= MAX_PREPARED:
        return True
    return any(name not in session.values for name in connection.values)
