"""Connections to backend servers: which to use, open or close.

A connection is opened for one workspace, since the server is told its name.
The servers count the connections of all instances together, so each instance
keeps to its part; an unused connection of one workspace makes room for one
of another.
"""

from cuminwall.direct import groups, membership
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

RESERVED = 2  # Connections to a server that are kept for its coordinator.
DISPLACE_S = (
    0.08  # Before its target, work gets another workspace's connection.
)
MAX_PREPARED = 200  # Prepared statements that one connection keeps.


def max_connections(state: State, server: Server) -> int:
    """Returns how many connections this instance may have to a server."""
    service = state.catalog.services.get(server.entry.service)
    if service is None:
        return 1
    count = max(1, membership.count_members(state))
    return max(1, (service.connections - RESERVED) // count)


def acquire(
    state: State, server: Server, work: Operation, out: list[Effect]
) -> Connection | None:
    """Returns a free connection; opens one or lets the work wait if none is.

    A connection that is being opened is for whoever waits first when it is
    open, so work waits at the server in either case.
    """
    workspace = work.session.workspace
    found = _find_idle(server, workspace, work.session)
    if found is not None:
        return found
    enqueue(server, work)
    if _wants_another(server, workspace):
        open_for_workspace(state, server, workspace, False, out)
    return None


def enqueue(server: Server, work: Operation) -> None:
    """Lets work wait for a connection to a server."""
    workspace = work.session.workspace
    priority = work.route.priority
    server.waiting.push(priority, work.target_at, work, workspace)


def open_for_workspace(
    state: State,
    server: Server,
    workspace: str,
    is_urgent: bool,
    out: list[Effect],
) -> None:
    """Opens a connection for a workspace, if there is room for one more.

    Args:
      state: The state.
      server: The server.
      workspace: For whom.
      is_urgent: Whether it may take the place of a free connection for which
        work of another workspace waits.
      out: The effects.
    """
    if server.refusals and state.now < server.overloaded_until:
        state.set_timer(
            server.overloaded_until, TimerKind.SERVER, server.entry.server
        )
        return
    if len(server.connections) >= max_connections(state, server):
        if not is_urgent and not _is_short(server, workspace):
            return
        if not _close_least_used(state, server, is_urgent, out):
            return
    number = state.next_number()
    connection = Connection(number, server, workspace)
    connection.last_sent_at = connection.last_used_at = state.now
    server.connections.append(connection)
    state.connections[number] = connection
    out.append(make_open_effect(number, server, workspace))
    due_at = state.now + state.limits.connect_timeout_s
    state.set_timer(due_at, TimerKind.CONNECTION, number)


def make_open_effect(
    number: int, server: Server, workspace: str
) -> OpenConnection:
    """Returns what opens a connection to a server."""
    entry = server.entry
    return OpenConnection(
        number, entry.service, entry.server, entry.host, entry.port, workspace
    )


def close(state: State, connection: Connection, out: list[Effect]) -> None:
    """Closes a connection whose state is in doubt, or is not needed."""
    if connection.number not in state.connections:
        return
    remove(state, connection)
    out.append(CloseConnection(connection.number))


def remove(state: State, connection: Connection) -> None:
    """Takes in that a connection is over."""
    if state.connections.pop(connection.number, None) is None:
        return
    server = connection.server
    server.connections.remove(connection)
    if len(server.waiting):
        state.freed_servers.append(server)


def set_idle(state: State, connection: Connection) -> None:
    """Notes that a connection is free."""
    connection.status = ConnectionStatus.IDLE
    connection.operation = None
    connection.session = None
    connection.last_used_at = state.now
    due_at = state.now + state.limits.idle_connection_s
    state.set_timer(due_at, TimerKind.CONNECTION, connection.number)


def roll_back(state: State, connection: Connection, out: list[Effect]) -> None:
    """Ends a connection's transaction; it is free once that is answered."""
    connection.status = ConnectionStatus.ROLLING_BACK
    connection.operation = None
    connection.session = None
    send(state, connection, [(EndTransaction(), AnswerKind.END)], out)
    due_at = state.now + state.limits.connect_timeout_s
    state.set_timer(due_at, TimerKind.CONNECTION, connection.number)


def send(
    state: State,
    connection: Connection,
    flight: list[tuple[Command, AnswerKind]],
    out: list[Effect],
) -> None:
    """Sends commands in one flight."""
    connection.last_sent_at = state.now
    commands = []
    for command, expected in flight:
        commands.append(command)
        connection.pending_answers.append(expected)
    out.append(SendCommands(connection.number, tuple(commands)))


def prepare_commands(
    connection: Connection, session: Session, shape: Shape | None
) -> list[tuple[Command, AnswerKind]]:
    """Returns what makes a connection fit for a session's next statement.

    Notes it as done: the commands go out ahead of the statement, and a
    connection on which one fails is closed.
    """
    flight: list[tuple[Command, AnswerKind]] = []
    if connection.session is None and _must_reset(connection, session):
        connection.values = {}
        connection.prepared = set()
        flight.append((ResetConnection(), AnswerKind.PREPARATION))
    for name, value in session.values.items():
        if connection.values.get(name) == value:
            continue
        connection.values[name] = value
        flight.append((AssignValue(name, value), AnswerKind.PREPARATION))
    if shape is not None:
        name = prepared_name(shape)
        if name not in connection.prepared:
            connection.prepared.add(name)
            flight.append((PrepareShape(name, shape), AnswerKind.PREPARATION))
    return flight


def prepared_name(shape: Shape) -> str:
    """Returns the name of a prepared statement, derived from its content.

    Sessions that prepare the same thing share it on a connection. The
    content itself makes the name, so that two never meet.
    """
    kind = "w" if shape.writes else "r"
    return kind + shape.text.encode().hex()


def close_unused(
    state: State, connection: Connection, out: list[Effect]
) -> None:
    """Closes a connection that has been free for long."""
    unused_s = state.now - connection.last_used_at
    is_idle = connection.status is ConnectionStatus.IDLE
    if is_idle and unused_s >= state.limits.idle_connection_s:
        close(state, connection, out)


def next_waiting(
    state: State, server: Server, out: list[Effect]
) -> tuple[Connection, Operation] | None:
    """Returns who gets a free connection of a server, and which.

    A free connection goes to work of its own workspace. It makes room for
    one of another workspace when nothing waits for it, or when work of the
    other would else miss its target.
    """
    room = server.waiting
    if not len(room):
        return None
    if not groups.may_serve_as_primary(state, server):
        state.unassigned.extend(room.drain())
        return None
    for workspace in room.kinds(state.now):
        if has_idle(server, workspace):
            work = room.pop_kind(workspace, state.now)
            found = _find_idle(server, workspace, work.session)
            assert found is not None
            return found, work
        if not _wants_another(server, workspace):
            continue
        left_s = room.peek_kind(workspace, state.now).target_at - state.now
        is_urgent = 0.0 < left_s <= DISPLACE_S
        open_for_workspace(state, server, workspace, is_urgent, out)
    return None


def _wants_another(server: Server, workspace: str) -> bool:
    """Returns whether more of a workspace waits than is being opened for."""
    opening = _count_in_use(server, workspace, (ConnectionStatus.OPENING,))
    return server.waiting.count_kind(workspace) > opening


def _is_short(server: Server, workspace: str) -> bool:
    """Returns whether more of a workspace waits than will soon have room.

    Opening a connection takes as long as a statement, so what waits for one
    that is about to be free is served sooner by that.
    """
    soon_free = (
        ConnectionStatus.OPENING,
        ConnectionStatus.RUNNING,
        ConnectionStatus.ROLLING_BACK,
    )
    coming = _count_in_use(server, workspace, soon_free)
    return server.waiting.count_kind(workspace) > coming


def _count_in_use(
    server: Server, workspace: str, uses: tuple[ConnectionStatus, ...]
) -> int:
    """Returns how many connections of a workspace are in one of these uses."""
    count = 0
    for connection in server.connections:
        if connection.workspace == workspace and connection.status in uses:
            count += 1
    return count


def has_idle(server: Server, workspace: str) -> bool:
    """Returns whether a workspace's work could begin at a server at once."""
    return _count_in_use(server, workspace, (ConnectionStatus.IDLE,)) > 0


def _find_idle(
    server: Server, workspace: str, session: Session
) -> Connection | None:
    """Returns a free connection, the one that needs least preparation."""
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


def _close_least_used(
    state: State, server: Server, is_urgent: bool, out: list[Effect]
) -> bool:
    """Closes the free connection that was not used for longest."""
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
    """Returns whether a connection holds what the session must not see."""
    if len(connection.prepared) >= MAX_PREPARED:
        return True
    return any(name not in session.values for name in connection.values)
