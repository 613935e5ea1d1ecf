"""What becomes of a statement once a backend server has answered.

What surely has not run is offered to another server. What may have run is
never sent again, but for reads outside a caller's transaction.
"""

from cuminwall.direct import (
    connections,
    dispatch,
    groups,
    operations,
    statements,
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
from cuminwall.direct.state import State, TimerKind

PART = "work"


def handle_transaction_opened(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in the answer to the opening of a transaction."""
    work = connection.operation
    if work is None:
        connections.close(state, connection, out)
        return
    if answer.failure is not None:
        work.connection = None
        _offer_failed(state, connection, work, answer.failure, out)
        return
    if work.min_position is None:
        _note_lead(state, connection, answer, out)
    if work.stage is Stage.FINISHED:
        # Its caller has left meanwhile.
        connections.roll_back(state, connection, out)
        return
    session = work.session
    flight: list[tuple[Command, AnswerKind]]
    flight = [(dispatch.make_command(work), AnswerKind.STATEMENT)]
    if session.transaction is not None:
        session.transaction.connection = connection
        session.transaction.requires_primary = work.min_position is None
        connection.session = session
    else:
        flight.append((EndTransaction(), AnswerKind.END))
    dispatch.mark_sent(state, work)
    connections.send(state, connection, flight, out)


def handle_statement_answered(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in the answer to a caller's statement."""
    work = connection.operation
    if work is None:
        connections.close(state, connection, out)
        return
    if work.stage is Stage.FINISHED:
        _settle_orphan(state, connection, answer, out)
        return
    failure = answer.failure
    transaction = work.session.transaction
    if transaction is not None and transaction.connection is connection:
        _answered_inside(state, work, connection, answer, out)
        return
    if failure is not None and failure.reason in NOT_RUN_REASONS:
        work.connection = None
        _offer_failed(state, connection, work, failure, out)
        return
    if failure is None and work.writes:
        _note_write(state, connection, work, answer, out)
    _release(state, connection, answer, out)
    operations.finish(state, work, answer._replace(phase=Phase.IDLE), out)


def handle_transaction_ended(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in that a transaction was rolled back."""
    if connection.pending_answers:
        return
    _free(state, connection, answer, out)


def _answered_inside(
    state: State,
    work: Operation,
    connection: Connection,
    answer: Answer,
    out: list[Effect],
) -> None:
    """Takes in the answer to a statement of a caller's transaction."""
    session = work.session
    transaction = session.transaction
    assert transaction is not None
    if isinstance(work.statement, statements.Commit):
        _committed(state, work, connection, transaction, answer, out)
        return
    if answer.failure is None:
        transaction.wrote = transaction.wrote or work.writes
        if transaction.requires_primary:
            _note_lead(state, connection, answer, out)
        connection.status = ConnectionStatus.IDLE_IN_TRANSACTION
        connection.operation = None
        operations.finish(state, work, answer._replace(phase=Phase.OPEN), out)
        due_at = state.now + state.catalog.transaction_idle_s
        state.set_timer(due_at, TimerKind.SESSION, session.number)
        return
    if answer.failure.reason is Reason.NOT_PRIMARY:
        groups.handle_not_primary(state, connection.server, out)
    transaction.connection = None
    connections.roll_back(state, connection, out)
    operations.finish(state, work, answer._replace(phase=Phase.FAILED), out)


def _committed(
    state: State,
    work: Operation,
    connection: Connection,
    transaction: Transaction,
    answer: Answer,
    out: list[Effect],
) -> None:
    """Takes in the answer to a commit."""
    if answer.failure is None and transaction.wrote:
        _note_write(state, connection, work, answer, out)
    if answer.failure is not None:
        if answer.failure.reason is Reason.NOT_PRIMARY:
            groups.handle_not_primary(state, connection.server, out)
        connections.close(state, connection, out)
    else:
        connections.set_idle(state, connection)
        dispatch.run_waiting(state, connection.server, out)
    operations.finish(state, work, answer._replace(phase=Phase.IDLE), out)


def _note_write(
    state: State,
    connection: Connection,
    work: Operation,
    answer: Answer,
    out: list[Effect],
) -> None:
    """Takes in that a write was acknowledged."""
    session = work.session
    if answer.position is not None:
        floor = session.last_write_position
        if floor is None or answer.position > floor:
            session.last_write_position = answer.position
    _note_lead(state, connection, answer, out)


def _note_lead(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in an answer that only a primary gives."""
    server = connection.server
    group = groups.find(state, server.entry.service)
    watermarks.record(state, group, connection.last_sent_at, answer.position)
    groups.handle_primary_confirmed(state, server, out)


def _release(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Frees a connection, now or once the end of its transaction is told."""
    if not connection.pending_answers:
        _free(state, connection, answer, out)
        return
    # The end of the transaction around a read is still to be answered.
    connection.status = ConnectionStatus.ROLLING_BACK
    connection.operation = None


def _free(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Notes that a connection is free again, if the server says so too."""
    if answer.phase is not Phase.IDLE:
        connections.close(state, connection, out)
        return
    connections.set_idle(state, connection)
    dispatch.run_waiting(state, connection.server, out)


def _settle_orphan(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in the answer to a statement whose caller has left."""
    if connection.pending_answers or answer.phase is Phase.IDLE:
        _release(state, connection, answer, out)
        return
    connections.roll_back(state, connection, out)


def _offer_failed(
    state: State,
    connection: Connection,
    work: Operation,
    failure: Failure,
    out: list[Effect],
) -> None:
    """Offers a statement elsewhere that a server surely has not run."""
    server = connection.server
    _learn(state, work, connection, failure, out)
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
                "request": work.statement.request,
                "server": server.entry.server,
                "reason": failure.reason.name.lower(),
                "after": work.min_position,
                "offer": work.attempts,
            },
        )
    )
    if failure.reason not in NOT_RUN_REASONS:
        operations.finish_failed(
            state, work, failure.reason, failure.detail, out
        )
        return
    work.tried.add(server.entry.server)
    work.stage = Stage.WAITING_FOR_CONNECTION
    if work.needs_primary and failure.reason is Reason.OVERLOADED:
        work.retry_at = state.now + state.limits.overload_pause_s
        if work.retry_at >= work.wait_until:
            operations.refuse(state, work, "the primary is full", out)
            return
        operations.set_timer(state, work, work.retry_at)
        return
    state.unassigned.append(work)


def _learn(
    state: State,
    work: Operation,
    connection: Connection,
    failure: Failure,
    out: list[Effect],
) -> None:
    """Takes in why a server did not run a statement."""
    server = connection.server
    if failure.reason is Reason.NOT_PRIMARY:
        groups.handle_not_primary(state, server, out)
    elif failure.reason is Reason.OVERLOADED:
        server.overloaded_until = state.now + state.limits.overload_pause_s
    elif failure.reason is Reason.BEHIND:
        floor = work.session.last_write_position
        if floor is None or work.min_position != floor:
            server.lagging_until = state.now + state.limits.lagging_pause_s
