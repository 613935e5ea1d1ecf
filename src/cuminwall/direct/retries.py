"""Retries or fails statements whose answer does not come.

A connection may end, be refused or stay silent. A statement that can't have
run, or that may run again, is retried on another server. For any other, its
caller is told whether it was rolled back or its outcome is unknown.
"""

from cuminwall.direct import (
    connections,
    dispatch,
    groups,
    statements,
    works,
)
from cuminwall.direct.answers import (
    Failure,
    Phase,
    Reason,
)
from cuminwall.direct.callers_state import Stage, Work
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.servers_state import Connection, Server, Use
from cuminwall.direct.state import State, TimerKind

PART = "work"

MAX_DOUBLINGS = 2  # Of the pause after a refused connection.


def handle_connection_end(
    state: State,
    connection: Connection,
    failure: Failure | None,
    is_refused: bool,
    out: list[Effect],
) -> None:
    """Handles the end of a connection, or its refusal."""
    server = connection.server
    connections.forget(state, connection)
    if is_refused:
        _handle_refusal(state, connection, failure, out)
        return
    operation = connection.work
    if operation is not None and operation.stage is not Stage.OVER:
        handle_lost_answer(
            state, operation, connection, "the connection was lost", out
        )
    elif connection.holder is not None:
        session = connection.holder
        if session.transaction is not None:
            session.transaction.connection = None
            session.phase = Phase.FAILED
    if len(server.waiting):
        state.unassigned.extend(server.waiting.drain())


def handle_lost_answer(
    state: State,
    operation: Work,
    connection: Connection,
    cause: str,
    out: list[Effect],
) -> None:
    """Retries or fails a statement whose answer will not come."""
    operation.connection = None
    transaction = operation.session.transaction
    if operation.stage is not Stage.SENT:
        _retry(state, operation, connection, cause, out)
        return
    if transaction is None:
        if operation.writes:
            works.finish_failed(
                state, operation, Reason.OUTCOME_UNKNOWN, cause, out
            )
            return
        _retry(state, operation, connection, cause, out)
        return
    transaction.connection = None
    is_commit = isinstance(operation.statement, statements.Commit)
    if is_commit and transaction.wrote:
        works.finish_failed(
            state, operation, Reason.OUTCOME_UNKNOWN, cause, out
        )
        return
    works.finish_failed(state, operation, Reason.ROLLED_BACK, cause, out)


def handle_operation_timer(
    state: State, operation: Work, out: list[Effect]
) -> None:
    """Checks a statement whose timer is due."""
    if operation.stage is Stage.OVER:
        return
    if operation.stage in (Stage.TOKENS, Stage.ROOM):
        if state.now >= operation.wait_until:
            wants_token = operation.stage is Stage.TOKENS
            missing_resource = "token" if wants_token else "room"
            works.refuse(
                state, operation, f"no {missing_resource} in time", out
            )
        elif (
            operation.resume_at is not None and state.now >= operation.resume_at
        ):
            operation.resume_at = None
            state.unassigned.append(operation)
        return
    connection = operation.connection
    if connection is None:
        return
    if operation.stage is Stage.BEGINNING:
        limit_s = dispatch.begin_limit_s(state, operation)
    else:
        limit_s = operation.route.timeout_s
    if state.now < operation.sent_at + limit_s:
        if state.now >= operation.sent_at + state.limits.silence_s:
            _check_silence(state, operation, connection.server, out)
        return
    groups.record_unreachable(state, connection.server, "no answer", out)
    connections.drop(state, connection, out)
    if operation.stage is Stage.BEGINNING:
        handle_lost_answer(
            state, operation, connection, "no answer to begin", out
        )
        return
    may_rerun = operation.session.transaction is None and not operation.writes
    if not may_rerun:
        handle_lost_answer(state, operation, connection, "timeout", out)
        return
    operation.connection = None
    works.finish_failed(state, operation, Reason.TIMED_OUT, "timeout", out)


def _check_silence(
    state: State, operation: Work, server: Server, out: list[Effect]
) -> None:
    """Records a server as silent if it has not answered since."""
    if server.last_answer_at < operation.sent_at:
        groups.record_silent(state, server, out)


def handle_connection_timer(
    state: State, connection: Connection, out: list[Effect]
) -> None:
    """Checks a connection that may hang or has long been unused."""
    if connection.use is Use.IDLE:
        connections.close_unused(state, connection, out)
        return
    if connection.use not in (Use.OPENING, Use.ENDING):
        return
    if state.now < connection.asked_at + state.limits.connect_s:
        return
    connections.drop(state, connection, out)
    if connection.use is Use.OPENING:
        _handle_refusal(state, connection, None, out)


def _retry(
    state: State,
    operation: Work,
    connection: Connection,
    cause: str,
    out: list[Effect],
) -> None:
    """Retries a statement whose connection failed, if there is time left."""
    operation.stage = Stage.ROOM
    operation.tried.add(connection.server.entry.server)
    if state.now >= operation.came_at + operation.route.timeout_s:
        works.refuse(state, operation, cause, out)
        return
    state.unassigned.append(operation)


def _handle_refusal(
    state: State,
    connection: Connection,
    failure: Failure | None,
    out: list[Effect],
) -> None:
    """Handles a connection that could not be opened."""
    server = connection.server
    if failure is None:
        groups.record_unreachable(state, server, "no connection", out)
    else:
        pause_s = state.limits.full_s * 2 ** min(server.refusals, MAX_DOUBLINGS)
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
            server.avoid_until = state.now + state.limits.suspect_s
    if failure is None or failure.reason is Reason.WRONG_SERVER:
        _reassign_waiting(state, server, True)
        return
    # The server is out of connections; those of processes that have ended
    # may still count.
    _reassign_waiting(state, server, False)
    if len(server.waiting):
        due_at = server.overloaded_until
        state.set_timer(due_at, TimerKind.SERVER, server.entry.server)


def handle_server_timer(state: State, name: str, out: list[Effect]) -> None:
    """Retries a server that refused a connection, if operations wait for it."""
    server = state.servers.get(name)
    if server is None or not len(server.waiting):
        return
    operation = server.waiting.pop(state.now)
    if operation.stage is not Stage.OVER:
        state.unassigned.append(operation)
        return
    handle_server_timer(state, name, out)


def _reassign_waiting(
    state: State, server: Server, is_unreachable: bool
) -> None:
    """Reassigns the operations that wait for a server to other servers.

    Args:
      state: The state.
      server: The server.
      is_unreachable: Whether the server is unreachable. If not, operations
        that only the primary can run go on waiting for it.
    """
    for operation in server.waiting.drain():
        if operation.stage is Stage.OVER:
            continue
        if not is_unreachable and (
            operation.needs_primary or operation.after is None
        ):
            connections.wait_at(server, operation)
            continue
        operation.tried.add(server.entry.server)
        if is_unreachable:
            operation.offers += 1
        state.unassigned.append(operation)
