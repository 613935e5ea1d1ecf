"""What becomes of a statement whose answer does not come.

A connection may end, refuse to open or stay silent. What surely has not run
is offered again; what may have run is told as what is known of it.
"""

from cuminwall.direct import (
    connections,
    dispatch,
    groups,
    operations,
    statements,
)
from cuminwall.direct.answers import (
    Failure,
    Phase,
    Reason,
)
from cuminwall.direct.callers_state import Operation, Stage
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.servers_state import Connection, ConnectionStatus, Server
from cuminwall.direct.state import State, TimerKind

PART = "work"

MAX_DOUBLED = 2  # How often the pause after a refused connection doubles.


def handle_connection_end(
    state: State,
    connection: Connection,
    failure: Failure | None,
    is_refused: bool,
    out: list[Effect],
) -> None:
    """Takes in that a connection is over."""
    server = connection.server
    connections.remove(state, connection)
    if is_refused:
        _refused(state, connection, failure, out)
        return
    work = connection.operation
    if work is not None and work.stage is not Stage.FINISHED:
        handle_lost_answer(
            state, work, connection, "the connection was lost", out
        )
    elif connection.session is not None:
        session = connection.session
        if session.transaction is not None:
            session.transaction.connection = None
            session.phase = Phase.FAILED
    if len(server.waiting):
        state.unassigned.extend(server.waiting.drain())


def handle_lost_answer(
    state: State,
    work: Operation,
    connection: Connection,
    cause: str,
    out: list[Effect],
) -> None:
    """Decides about a statement whose answer will not come."""
    work.connection = None
    transaction = work.session.transaction
    if work.stage is not Stage.SENT:
        _offer_again(state, work, connection, cause, out)
        return
    if transaction is None:
        if work.writes:
            operations.finish_failed(
                state, work, Reason.OUTCOME_UNKNOWN, cause, out
            )
            return
        _offer_again(state, work, connection, cause, out)
        return
    transaction.connection = None
    is_commit = isinstance(work.statement, statements.Commit)
    if is_commit and transaction.wrote:
        operations.finish_failed(
            state, work, Reason.OUTCOME_UNKNOWN, cause, out
        )
        return
    operations.finish_failed(state, work, Reason.ROLLED_BACK, cause, out)


def handle_operation_timer(
    state: State, work: Operation, out: list[Effect]
) -> None:
    """Looks at a statement whose time has come."""
    if work.stage is Stage.FINISHED:
        return
    if work.stage in (Stage.WAITING_FOR_TOKEN, Stage.WAITING_FOR_CONNECTION):
        if state.now >= work.wait_until:
            wants_token = work.stage is Stage.WAITING_FOR_TOKEN
            missing = "token" if wants_token else "room"
            operations.refuse(state, work, f"no {missing} in time", out)
        elif work.retry_at is not None and state.now >= work.retry_at:
            work.retry_at = None
            state.unassigned.append(work)
        return
    connection = work.connection
    if connection is None:
        return
    if work.stage is Stage.OPENING_TRANSACTION:
        limit_s = dispatch.begin_timeout_s(state, work)
    else:
        limit_s = work.route.timeout_s
    if state.now < work.sent_at + limit_s:
        if state.now >= work.sent_at + state.limits.silence_timeout_s:
            _doubt(state, work, connection.server, out)
        return
    groups.record_unreachable(state, connection.server, "no answer", out)
    connections.close(state, connection, out)
    if work.stage is Stage.OPENING_TRANSACTION:
        handle_lost_answer(state, work, connection, "no answer to begin", out)
        return
    is_plain = work.session.transaction is None and not work.writes
    if not is_plain:
        handle_lost_answer(state, work, connection, "timeout", out)
        return
    work.connection = None
    operations.finish_failed(state, work, Reason.TIMED_OUT, "timeout", out)


def _doubt(
    state: State, work: Operation, server: Server, out: list[Effect]
) -> None:
    """Takes in that a server has left a statement unanswered for a while."""
    if server.last_answer_at < work.sent_at:
        groups.record_silent(state, server, out)


def handle_connection_timer(
    state: State, connection: Connection, out: list[Effect]
) -> None:
    """Looks at a connection that may hang or has long been unused."""
    if connection.status is ConnectionStatus.IDLE:
        connections.close_unused(state, connection, out)
        return
    if connection.status not in (
        ConnectionStatus.OPENING,
        ConnectionStatus.ROLLING_BACK,
    ):
        return
    if state.now < connection.last_sent_at + state.limits.connect_timeout_s:
        return
    connections.close(state, connection, out)
    if connection.status is ConnectionStatus.OPENING:
        _refused(state, connection, None, out)


def _offer_again(
    state: State,
    work: Operation,
    connection: Connection,
    cause: str,
    out: list[Effect],
) -> None:
    """Offers a statement again whose connection failed it."""
    work.stage = Stage.WAITING_FOR_CONNECTION
    work.tried.add(connection.server.entry.server)
    if state.now >= work.arrived_at + work.route.timeout_s:
        operations.refuse(state, work, cause, out)
        return
    state.unassigned.append(work)


def _refused(
    state: State,
    connection: Connection,
    failure: Failure | None,
    out: list[Effect],
) -> None:
    """Takes in that a server did not take a connection."""
    server = connection.server
    if failure is None:
        groups.record_unreachable(state, server, "no connection", out)
    else:
        pause_s = state.limits.overload_pause_s * 2 ** min(
            server.refusals, MAX_DOUBLED
        )
        server.refusals += 1
        server.overloaded_until = state.now + pause_s
        out.append(
            Note(
                PART,
                "connection_refused",
                {
                    "server": server.entry.server,
                    "reason": failure.reason.name.lower(),
                    "connections": len(server.connections),
                },
            )
        )
        if failure.reason is Reason.WRONG_SERVER:
            server.avoid_until = state.now + state.limits.unreachable_pause_s
    if failure is None or failure.reason is Reason.WRONG_SERVER:
        _offer_waiting_elsewhere(state, server, True)
        return
    # Its connections are used up, by those of processes that have ended too.
    _offer_waiting_elsewhere(state, server, False)
    if len(server.waiting):
        due_at = server.overloaded_until
        state.set_timer(due_at, TimerKind.SERVER, server.entry.server)


def handle_server_timer(state: State, name: str, out: list[Effect]) -> None:
    """Tries again to connect to a server that took no more connections."""
    server = state.servers.get(name)
    if server is None or not len(server.waiting):
        return
    work = server.waiting.pop(state.now)
    if work.stage is not Stage.FINISHED:
        state.unassigned.append(work)
        return
    handle_server_timer(state, name, out)


def _offer_waiting_elsewhere(
    state: State, server: Server, is_lost: bool
) -> None:
    """Offers what waits for a server to others.

    Args:
      state: The state.
      server: The server.
      is_lost: Whether the server was out of reach; else what only the primary
        can run goes on waiting for it.
    """
    for work in server.waiting.drain():
        if work.stage is Stage.FINISHED:
            continue
        if not is_lost and (work.needs_primary or work.min_position is None):
            connections.enqueue(server, work)
            continue
        work.tried.add(server.entry.server)
        if is_lost:
            work.attempts += 1
        state.unassigned.append(work)
