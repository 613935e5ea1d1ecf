"""Retries or fails statements whose answer does not come.

A connection may end, be refused or stay silent. A statement that can't have
run, or that may run again, is retried on another server. For any other, its
caller is told whether it was rolled back or its outcome is unknown.
"""

from cuminwall.direct import (
    connections,
    dispatch,
    groups,
    operations,
    queueing,
    speeds,
    statements,
)
from cuminwall.direct.answers import (
    Failure,
    Phase,
    Reason,
)
from cuminwall.direct.callers_state import (
    WAITING_STAGES,
    Operation,
    Stage,
)
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.servers_state import Connection, ConnectionStatus, Server
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
    connections.remove(state, connection)
    if is_refused:
        _handle_refusal(state, connection, failure, out)
        return
    operation = connection.operation
    if operation is not None and operation.stage is not Stage.FINISHED:
        speeds.record_failure(state, server, out)
        handle_lost_answer(
            state, operation, connection, "the connection was lost", out
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
    operation: Operation,
    connection: Connection,
    cause: str,
    out: list[Effect],
) -> None:
    """Retries or fails a statement whose answer will not come."""
    operation.connection = None
    if operation.stage is not Stage.SENT or _may_rerun(operation):
        _retry(state, operation, connection, cause, out)
        return
    _fail_sent(state, operation, cause, out)


def give_up(
    state: State, operation: Operation, cause: str, out: list[Effect]
) -> None:
    """Answers an operation at once with what is known of it."""
    if operation.stage is not Stage.SENT:
        operations.refuse(state, operation, cause, out)
    elif _may_rerun(operation):
        operations.finish_failed(state, operation, Reason.TIMED_OUT, cause, out)
    else:
        _fail_sent(state, operation, cause, out)


def _may_rerun(operation: Operation) -> bool:
    """Returns whether a statement may run twice: a read by itself."""
    return operation.session.transaction is None and not operation.writes


def _fail_sent(
    state: State, operation: Operation, cause: str, out: list[Effect]
) -> None:
    """Fails a statement that may have run and must not run twice."""
    transaction = operation.session.transaction
    reason = Reason.OUTCOME_UNKNOWN
    if transaction is not None:
        transaction.connection = None
        is_commit = isinstance(operation.statement, statements.Commit)
        if not (is_commit and transaction.wrote):
            reason = Reason.ROLLED_BACK
    operations.finish_failed(state, operation, reason, cause, out)


def handle_operation_timer(
    state: State, operation: Operation, out: list[Effect]
) -> None:
    """Checks a statement whose timer is due."""
    if operation.stage is Stage.FINISHED:
        return
    if operation.stage in WAITING_STAGES:
        if state.now >= operation.wait_until:
            wants_token = operation.stage is Stage.WAITING_FOR_TOKEN
            missing_resource = "token" if wants_token else "room"
            operations.refuse(
                state, operation, f"no {missing_resource} in time", out
            )
        elif operation.retry_at is not None and state.now >= operation.retry_at:
            operation.retry_at = None
            state.unassigned.append(operation)
        return
    connection = operation.connection
    if connection is None:
        return
    if operation.stage is Stage.OPENING_TRANSACTION:
        limit_s = dispatch.begin_timeout_s(state, operation)
    else:
        limit_s = operation.route.timeout_s
    if state.now < operation.sent_at + limit_s:
        if state.now >= operation.sent_at + state.limits.silence_timeout_s:
            _check_silence(state, operation, connection.server, out)
        return
    groups.record_unreachable(state, connection.server, "no answer", out)
    speeds.record_failure(state, connection.server, out)
    connections.close(state, connection, out)
    if operation.stage is Stage.OPENING_TRANSACTION:
        handle_lost_answer(
            state, operation, connection, "no answer to begin", out
        )
        return
    if not _may_rerun(operation):
        handle_lost_answer(state, operation, connection, "timeout", out)
        return
    operation.connection = None
    operations.finish_failed(state, operation, Reason.TIMED_OUT, "timeout", out)


def _check_silence(
    state: State, operation: Operation, server: Server, out: list[Effect]
) -> None:
    """Records a server as silent if it has not answered since."""
    if server.last_answer_at < operation.sent_at:
        groups.record_silent(state, server, out)


def handle_connection_timer(
    state: State, connection: Connection, out: list[Effect]
) -> None:
    """Checks a connection that may hang or has long been unused.

    One that has not answered in time is closed, whether or not someone waits
    for the answer: what it was sent may still run.
    """
    if connection.status is ConnectionStatus.IDLE:
        connections.close_unused(state, connection, out)
        return
    if connection.status is ConnectionStatus.IDLE_IN_TRANSACTION:
        # Nothing is unanswered; its session ends the transaction.
        return
    if state.now < connection.answer_by:
        connections.watch(state, connection)
        return
    operation = connection.operation
    if operation is not None and operation.stage is not Stage.FINISHED:
        handle_operation_timer(state, operation, out)
        return
    out.append(_note_silence(state, connection))
    connections.close(state, connection, out)
    if connection.status is ConnectionStatus.OPENING:
        _handle_refusal(state, connection, None, out)


def _note_silence(state: State, connection: Connection) -> Note:
    """Returns the log line of a connection that did not answer in time."""
    request = ""
    if connection.operation is not None:
        request = connection.operation.statement.request
    return Note(
        PART,
        "connection_silent",
        {
            "server": connection.server.entry.server,
            "workspace": connection.workspace,
            "status": connection.status.name.lower(),
            "request": request,
            "sent_s_ago": round(state.now - connection.last_sent_at, 3),
        },
    )


def _retry(
    state: State,
    operation: Operation,
    connection: Connection,
    cause: str,
    out: list[Effect],
) -> None:
    """Retries a statement whose connection failed, if there is time left."""
    operation.stage = Stage.WAITING_FOR_CONNECTION
    operation.tried.add(connection.server.entry.server)
    if dispatch.is_timed_out(state, operation):
        operations.refuse(state, operation, cause, out)
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
        pause_s = state.limits.overload_pause_s * 2 ** min(
            server.refusals, MAX_DOUBLINGS
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
        _reassign_waiting(state, server, True, out)
        return
    # The server is out of connections; those of processes that have ended
    # may still count.
    _reassign_waiting(state, server, False, out)
    if len(server.waiting):
        due_at = server.overloaded_until
        state.set_timer(due_at, TimerKind.SERVER, server.entry.server)


def handle_server_timer(state: State, name: str, out: list[Effect]) -> None:
    """Retries a server that refused a connection, if operations wait for it."""
    server = state.servers.get(name)
    if server is None or not len(server.waiting):
        return
    operation = server.waiting.pop(state.now)
    if operation.stage is not Stage.FINISHED:
        state.unassigned.append(operation)
        return
    handle_server_timer(state, name, out)


def _reassign_waiting(
    state: State, server: Server, is_unreachable: bool, out: list[Effect]
) -> None:
    """Reassigns the operations that wait for a server to other servers.

    Args:
      state: The state.
      server: The server.
      is_unreachable: Whether the server is unreachable. If not, operations
        that only the primary can run go on waiting for it, as long as they
        may be served in time.
      out: The effects.
    """
    for operation in server.waiting.drain():
        if operation.stage is Stage.FINISHED:
            continue
        if not is_unreachable and (
            operation.needs_primary or operation.min_position is None
        ):
            queueing.enqueue(state, server, operation)
            if queueing.is_hopeless(state, server, operation):
                operations.refuse(state, operation, queueing.HOPELESS, out)
            continue
        operation.tried.add(server.entry.server)
        if is_unreachable:
            operation.attempts += 1
        state.unassigned.append(operation)
