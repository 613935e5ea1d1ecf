"""One statement's life at this instance: made, admitted, answered."""

from typing import Any

from cuminwall import buckets
from cuminwall.direct import statements
from cuminwall.direct.answers import Answer, Phase, Reason, failed
from cuminwall.direct.callers_state import Operation, Session, Stage
from cuminwall.direct.catalog import Freshness
from cuminwall.direct.effects import Effect, Measure, Note, Reply
from cuminwall.direct.state import State, TimerKind

PART = "work"


def make(
    state: State, session: Session, statement: Any, writes: bool
) -> Operation:
    """Returns the work for a statement whose database has a route."""
    transaction = session.transaction
    if transaction is not None:
        route = transaction.route
    else:
        route = state.catalog.routes[session.database]
    work = Operation(state.next_number(), session, statement, route, state.now)
    work.writes = writes
    if transaction is None:
        work.needs_primary = writes or route.freshness is Freshness.ALL
    else:
        is_aged = route.freshness is not Freshness.ALL
        work.needs_primary = not (transaction.read_only and is_aged)
    state.operations[work.number] = work
    session.operation = work
    return work


def queue_for_dispatch(state: State, work: Operation) -> None:
    """Lets a statement go on that has its token."""
    in_time = work.arrived_at + state.limits.wait_fraction * work.route.target_s
    work.wait_until = max(in_time, state.now + state.limits.min_wait_s)
    work.stage = Stage.WAITING_FOR_CONNECTION
    state.unassigned.append(work)


def refuse(
    state: State, work: Operation, cause: str, out: list[Effect]
) -> None:
    """Tells a caller that its statement has not run."""
    reason = Reason.OVERLOADED
    if work.session.transaction is not None:
        reason = Reason.ROLLED_BACK
    finish_failed(state, work, reason, cause, out)


def finish_failed(
    state: State, work: Operation, reason: Reason, cause: str, out: list[Effect]
) -> None:
    """Answers a statement with a failure that was found here."""
    phase = Phase.IDLE
    transaction = work.session.transaction
    if transaction is not None:
        phase = Phase.FAILED
        if isinstance(work.statement, statements.Commit):
            phase = Phase.IDLE
    finish(state, work, failed(reason, cause, phase), out)


def finish(
    state: State, work: Operation, answer: Answer, out: list[Effect]
) -> None:
    """Answers a statement; its session may go on with the next."""
    session = work.session
    _end(state, work)
    session.phase = answer.phase
    if answer.phase is Phase.IDLE:
        session.transaction = None
    session.last_active_at = state.now
    outcome = "done"
    if answer.failure is not None:
        outcome = answer.failure.reason.name.lower()
    kind = type(work.statement).__name__.lower()
    out.append(_note_of(state, work, answer, kind, outcome))
    out.append(Measure(kind, outcome, state.now - work.arrived_at))
    if session.is_gone:
        return
    out.append(Reply(session.number, answer))
    state.ready_sessions.append(session)


def abandon(state: State, work: Operation, out: list[Effect]) -> None:
    """Takes in that the caller of a statement has left."""
    was_sent = work.connection is not None
    _end(state, work)
    out.append(
        Note(
            PART,
            "abandoned",
            {"request": work.statement.request, "offered": was_sent},
        )
    )


def _end(state: State, work: Operation) -> None:
    """Takes a statement off the tables, and out of where it waits."""
    bucket = state.buckets.get(work.session.workspace)
    if work.has_token and bucket is not None:
        # It was never sent, so it costs its workspace nothing.
        buckets.return_token(bucket, state.now)
    if work.stage is Stage.WAITING_FOR_CONNECTION:
        server = state.servers.get(work.server)
        if server is not None:
            server.waiting.discard(work, work.session.workspace)
        group = state.groups.get(work.route.service)
        if group is not None:
            group.waiting.discard(work)
    work.stage = Stage.FINISHED
    state.operations.pop(work.number, None)
    work.session.operation = None


def _note_of(
    state: State, work: Operation, answer: Answer, kind: str, outcome: str
) -> Note:
    """Returns the log line of an answered statement."""
    session = work.session
    fields = {
        "request": work.statement.request,
        "session": session.number,
        "workspace": session.workspace,
        "kind": kind,
        "outcome": outcome,
        "server": work.server,
        "offers": work.attempts,
        "after": work.min_position,
        "ms": round(1000 * (state.now - work.arrived_at), 1),
        "config": state.catalog.version,
    }
    if answer.failure is not None:
        fields["cause"] = answer.failure.detail
    return Note(PART, "answered", fields)


def set_timer(state: State, work: Operation, due_at: float) -> None:
    """Looks at a statement again at a time."""
    state.set_timer(due_at, TimerKind.OPERATION, work.number)
