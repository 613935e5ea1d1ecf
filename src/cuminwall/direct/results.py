"""What becomes of a statement once a backend server has answered.

What surely has not run is offered to another server. What may have run is
never sent again, but for reads outside a caller's transaction.
"""

from cuminwall.direct import (
    connections,
    dispatch,
    groups,
    statements,
    watermarks,
    works,
)
from cuminwall.direct.answers import (
    NOT_RUN,
    Answer,
    Failure,
    Phase,
    Reason,
)
from cuminwall.direct.callers_state import Stage, Transaction, Work
from cuminwall.direct.commands import Command, EndTransaction
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.servers_state import Connection, Expected, Use
from cuminwall.direct.state import State, TimerKind

PART = "work"


def begun(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in the answer to the opening of a transaction."""
    work = connection.work
    if work is None:
        connections.drop(state, connection, out)
        return
    if answer.failure is not None:
        work.connection = None
        _offer_failed(state, connection, work, answer.failure, out)
        return
    if work.after is None:
        _note_lead(state, connection, answer, out)
    if work.stage is Stage.OVER:
        # Its caller has left meanwhile.
        connections.roll_back(state, connection, out)
        return
    session = work.session
    flight: list[tuple[Command, Expected]]
    flight = [(dispatch.command(work), Expected.STATEMENT)]
    if session.transaction is not None:
        session.transaction.connection = connection
        session.transaction.proves_lead = work.after is None
        connection.holder = session
    else:
        flight.append((EndTransaction(), Expected.END))
    dispatch.sent(state, work)
    connections.send(state, connection, flight, out)


def answered(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in the answer to a caller's statement."""
    work = connection.work
    if work is None:
        connections.drop(state, connection, out)
        return
    if work.stage is Stage.OVER:
        _settle_orphan(state, connection, answer, out)
        return
    failure = answer.failure
    transaction = work.session.transaction
    if transaction is not None and transaction.connection is connection:
        _answered_inside(state, work, connection, answer, out)
        return
    if failure is not None and failure.reason in NOT_RUN:
        work.connection = None
        _offer_failed(state, connection, work, failure, out)
        return
    if failure is None and work.writes:
        _note_write(state, connection, work, answer, out)
    _release(state, connection, answer, out)
    works.finish(state, work, answer._replace(phase=Phase.IDLE), out)


def transaction_ended(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in that a transaction was rolled back."""
    if connection.expected:
        return
    _free(state, connection, answer, out)


def _answered_inside(
    state: State,
    work: Work,
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
        if transaction.proves_lead:
            _note_lead(state, connection, answer, out)
        connection.use = Use.RESTING
        connection.work = None
        works.finish(state, work, answer._replace(phase=Phase.OPEN), out)
        due_at = state.now + state.catalog.transaction_idle_s
        state.set_timer(due_at, TimerKind.SESSION, session.number)
        return
    if answer.failure.reason is Reason.NOT_PRIMARY:
        groups.handle_not_primary(state, connection.server, out)
    transaction.connection = None
    connections.roll_back(state, connection, out)
    works.finish(state, work, answer._replace(phase=Phase.FAILED), out)


def _committed(
    state: State,
    work: Work,
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
        connections.drop(state, connection, out)
    else:
        connections.set_idle(state, connection)
        dispatch.wake(state, connection.server, out)
    works.finish(state, work, answer._replace(phase=Phase.IDLE), out)


def _note_write(
    state: State,
    connection: Connection,
    work: Work,
    answer: Answer,
    out: list[Effect],
) -> None:
    """Takes in that a write was acknowledged."""
    session = work.session
    if answer.position is not None:
        floor = session.floor
        if floor is None or answer.position > floor:
            session.floor = answer.position
    _note_lead(state, connection, answer, out)


def _note_lead(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in an answer that only a primary gives."""
    server = connection.server
    group = groups.find(state, server.entry.service)
    watermarks.record(state, group, connection.asked_at, answer.position)
    groups.handle_primary_confirmed(state, server, out)


def _release(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Frees a connection, now or once the end of its transaction is told."""
    if not connection.expected:
        _free(state, connection, answer, out)
        return
    # The end of the transaction around a read is still to be answered.
    connection.use = Use.ENDING
    connection.work = None


def _free(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Notes that a connection is free again, if the server says so too."""
    if answer.phase is not Phase.IDLE:
        connections.drop(state, connection, out)
        return
    connections.set_idle(state, connection)
    dispatch.wake(state, connection.server, out)


def _settle_orphan(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in the answer to a statement whose caller has left."""
    if connection.expected or answer.phase is Phase.IDLE:
        _release(state, connection, answer, out)
        return
    connections.roll_back(state, connection, out)


def _offer_failed(
    state: State,
    connection: Connection,
    work: Work,
    failure: Failure,
    out: list[Effect],
) -> None:
    """Offers a statement elsewhere that a server surely has not run."""
    server = connection.server
    _learn(state, work, connection, failure, out)
    if failure.reason is Reason.WRONG_SERVER or connection.expected:
        connections.drop(state, connection, out)
    else:
        connections.set_idle(state, connection)
        dispatch.wake(state, connection.server, out)
    out.append(
        Note(
            PART,
            "not_taken",
            {
                "request": work.statement.request,
                "server": server.entry.server,
                "reason": failure.reason.name.lower(),
                "after": work.after,
                "offer": work.offers,
            },
        )
    )
    if failure.reason not in NOT_RUN:
        works.finish_failed(state, work, failure.reason, failure.detail, out)
        return
    work.tried.add(server.entry.server)
    work.stage = Stage.ROOM
    if work.needs_primary and failure.reason is Reason.OVERLOADED:
        work.resume_at = state.now + state.limits.full_s
        if work.resume_at >= work.wait_until:
            works.refuse(state, work, "the primary is full", out)
            return
        works.set_timer(state, work, work.resume_at)
        return
    state.unassigned.append(work)


def _learn(
    state: State,
    work: Work,
    connection: Connection,
    failure: Failure,
    out: list[Effect],
) -> None:
    """Takes in why a server did not run a statement."""
    server = connection.server
    if failure.reason is Reason.NOT_PRIMARY:
        groups.handle_not_primary(state, server, out)
    elif failure.reason is Reason.OVERLOADED:
        server.overloaded_until = state.now + state.limits.full_s
    elif failure.reason is Reason.BEHIND:
        floor = work.session.floor
        if floor is None or work.after != floor:
            server.lagging_until = state.now + state.limits.lagging_s
