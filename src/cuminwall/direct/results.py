"""Handles the answers of backend servers to the commands of operations.

A statement that has certainly not run is retried on another server. One that
may have run is never sent again, except for reads outside a caller's
transaction.
"""

from cuminwall.direct import (
    connections,
    dispatch,
    groups,
    operations,
    primary_leases,
    queueing,
    speeds,
    statements,
    usage_counts,
    watermarks,
)
from cuminwall.direct.answers import (
    NOT_RUN_REASONS,
    Answer,
    Failure,
    Phase,
    Reason,
)
from cuminwall.direct.callers_state import Operation, Stage, Transaction
from cuminwall.direct.commands import Command, EndTransaction
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.servers_state import (
    AnswerKind,
    Connection,
    ConnectionStatus,
)
from cuminwall.direct.state import State

PART = "work"


def handle_transaction_opened(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Handles the answer to the opening of a transaction."""
    operation = connection.operation
    if operation is None:
        connections.close(state, connection, out)
        return
    if answer.failure is not None:
        _handle_not_run(state, connection, operation, answer.failure, out)
        return
    if operation.min_position is None:
        _record_primary(state, connection, answer, out)
    if operation.stage is Stage.FINISHED:
        # The caller has disconnected meanwhile.
        connections.roll_back(state, connection, out)
        return
    if dispatch.is_timed_out(state, operation):
        operation.connection = None
        connections.roll_back(state, connection, out)
        operations.refuse(state, operation, "no server ran it in time", out)
        return
    session = operation.session
    batch: list[tuple[Command, AnswerKind]]
    batch = [(dispatch.make_command(operation), AnswerKind.STATEMENT)]
    if session.transaction is not None:
        session.transaction.connection = connection
        session.transaction.requires_primary = operation.min_position is None
        connection.session = session
    else:
        batch.append((EndTransaction(), AnswerKind.END))
    dispatch.mark_sent(state, operation)
    usage_counts.count_start(state, operation)
    connections.send(state, connection, batch, out)


def handle_statement_answered(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Handles the answer to a caller's statement."""
    operation = connection.operation
    if operation is None:
        connections.close(state, connection, out)
        return
    failure = answer.failure
    if failure is not None and failure.reason in NOT_RUN_REASONS:
        usage_counts.count_not_run(state, operation)
    speeds.record_answer(state, connection, answer, out)
    if operation.stage is Stage.FINISHED:
        _handle_orphan(state, connection, answer, out)
        return
    if failure is None:
        queueing.record_time(state, operation)
    transaction = operation.session.transaction
    if transaction is not None and transaction.connection is connection:
        _handle_in_transaction(state, operation, connection, answer, out)
        return
    if failure is not None and failure.reason in NOT_RUN_REASONS:
        _handle_not_run(state, connection, operation, failure, out)
        return
    if failure is None and operation.writes:
        if not _may_acknowledge(state, connection, operation):
            _release(state, connection, answer, out)
            _finish_unacknowledged(state, operation, out)
            return
        _record_write(state, connection, operation, answer, out)
    _release(state, connection, answer, out)
    operations.finish(state, operation, answer._replace(phase=Phase.IDLE), out)


def handle_transaction_ended(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Handles the answer to the rollback of a transaction."""
    if connection.pending_answers:
        return
    _free(state, connection, answer, out)


def _handle_in_transaction(
    state: State,
    operation: Operation,
    connection: Connection,
    answer: Answer,
    out: list[Effect],
) -> None:
    """Handles the answer to a statement of a caller's transaction."""
    session = operation.session
    transaction = session.transaction
    assert transaction is not None
    if isinstance(operation.statement, statements.Commit):
        _handle_commit(state, operation, connection, transaction, answer, out)
        return
    if answer.failure is None:
        transaction.wrote = transaction.wrote or operation.writes
        if transaction.requires_primary:
            _record_primary(state, connection, answer, out)
        connection.status = ConnectionStatus.IDLE_IN_TRANSACTION
        connection.operation = None
        operations.finish(
            state, operation, answer._replace(phase=Phase.OPEN), out
        )
        return
    if answer.failure.reason is Reason.NOT_PRIMARY:
        groups.handle_not_primary(state, connection.server, out)
    transaction.connection = None
    connections.roll_back(state, connection, out)
    operations.finish(
        state, operation, answer._replace(phase=Phase.FAILED), out
    )


def _handle_commit(
    state: State,
    operation: Operation,
    connection: Connection,
    transaction: Transaction,
    answer: Answer,
    out: list[Effect],
) -> None:
    """Handles the answer to a COMMIT."""
    if answer.failure is None and transaction.wrote:
        if not _may_acknowledge(state, connection, operation):
            connections.close(state, connection, out)
            _finish_unacknowledged(state, operation, out)
            return
        _record_write(state, connection, operation, answer, out)
    if answer.failure is not None:
        if answer.failure.reason is Reason.NOT_PRIMARY:
            groups.handle_not_primary(state, connection.server, out)
        connections.close(state, connection, out)
    else:
        connections.set_idle(state, connection)
        dispatch.run_waiting(state, connection.server, out)
    operations.finish(state, operation, answer._replace(phase=Phase.IDLE), out)


def _may_acknowledge(
    state: State, connection: Connection, operation: Operation
) -> bool:
    """Returns whether the server was surely the primary when it wrote."""
    group = groups.find(state, operation.route.service)
    return primary_leases.is_still_held(
        state, group, connection.server, operation.primary_order
    )


def _finish_unacknowledged(
    state: State, operation: Operation, out: list[Effect]
) -> None:
    """Answers a write whose server may have been replaced meanwhile."""
    operations.finish_failed(
        state,
        operation,
        Reason.OUTCOME_UNKNOWN,
        "the lease on the primary ended before its answer",
        out,
    )


def _record_write(
    state: State,
    connection: Connection,
    operation: Operation,
    answer: Answer,
    out: list[Effect],
) -> None:
    """Records the position of an acknowledged write."""
    session = operation.session
    if answer.position is not None:
        written = session.last_write_position
        if written is None or answer.position > written:
            session.last_write_position = answer.position
    _record_primary(state, connection, answer, out)


def _record_primary(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Records the position and role shown by an answer of the primary."""
    server = connection.server
    group = groups.find(state, server.entry.service)
    if not primary_leases.is_held(state, group, server):
        return
    watermarks.record(state, group, connection.last_sent_at, answer.position)
    groups.handle_primary_confirmed(state, server, out)


def _release(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Frees a connection, now or once its transaction has ended."""
    if not connection.pending_answers:
        _free(state, connection, answer, out)
        return
    # The rollback of the transaction around a read is still unanswered.
    connection.status = ConnectionStatus.ROLLING_BACK
    connection.operation = None
    connections.expect_answer(state, connection)


def _free(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Marks a connection as idle; closes it if a transaction is still open."""
    if answer.phase is not Phase.IDLE:
        connections.close(state, connection, out)
        return
    connections.set_idle(state, connection)
    dispatch.run_waiting(state, connection.server, out)


def _handle_orphan(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Handles the answer to a statement whose caller has disconnected."""
    if connection.pending_answers or answer.phase is Phase.IDLE:
        _release(state, connection, answer, out)
        return
    connections.roll_back(state, connection, out)


def _handle_not_run(
    state: State,
    connection: Connection,
    operation: Operation,
    failure: Failure,
    out: list[Effect],
) -> None:
    """Handles the refusal of a statement that a server has not run.

    What it says of the server and of the connection holds even if the operation
    has ended meanwhile, which nothing may start again.
    """
    operation.connection = None
    server = connection.server
    _record_refusal(state, operation, connection, failure, out)
    if failure.reason is Reason.WRONG_SERVER or connection.pending_answers:
        connections.close(state, connection, out)
    else:
        connections.set_idle(state, connection)
        dispatch.run_waiting(state, connection.server, out)
    out.append(
        Note(
            PART,
            "not_taken",
            {
                "request": operation.statement.request,
                "server": server.entry.server,
                "reason": failure.reason.name.lower(),
                "after": operation.min_position,
                "offer": operation.attempts,
            },
        )
    )
    if operation.stage is not Stage.FINISHED:
        _retry_elsewhere(state, operation, failure, out)


def _retry_elsewhere(
    state: State, operation: Operation, failure: Failure, out: list[Effect]
) -> None:
    """Retries a statement elsewhere that its server has refused.

    Any other failure of the opening of its transaction goes to the caller.
    """
    if failure.reason not in NOT_RUN_REASONS:
        operations.finish_failed(
            state, operation, failure.reason, failure.detail, out
        )
        return
    operation.tried.add(operation.server)
    operation.stage = Stage.WAITING_FOR_CONNECTION
    if operation.needs_primary and failure.reason is Reason.OVERLOADED:
        operation.retry_at = state.now + state.limits.overload_pause_s
        if operation.retry_at >= operation.wait_until:
            operations.refuse(
                state, operation, "the primary is overloaded", out
            )
            return
        operations.set_timer(state, operation, operation.retry_at)
        return
    state.unassigned.append(operation)


def _record_refusal(
    state: State,
    operation: Operation,
    connection: Connection,
    failure: Failure,
    out: list[Effect],
) -> None:
    """Records why a server did not run a statement, to prefer others."""
    server = connection.server
    if failure.reason is Reason.NOT_PRIMARY:
        groups.handle_not_primary(state, server, out)
    elif failure.reason is Reason.OVERLOADED:
        server.overloaded_until = state.now + state.limits.overload_pause_s
        speeds.record_failure(state, server, out)
    elif failure.reason is Reason.BEHIND:
        written = operation.session.last_write_position
        if written is None or operation.min_position != written:
            server.lagging_until = state.now + state.limits.lagging_pause_s
