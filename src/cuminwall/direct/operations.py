"""The life cycle of an operation: created, admitted, answered or abandoned."""

import zlib
from typing import Any

from cuminwall import buckets
from cuminwall.direct import statements, store_view
from cuminwall.direct.answers import Answer, Phase, Reason, failed
from cuminwall.direct.callers_state import Operation, Session, Stage
from cuminwall.direct.catalog import Freshness
from cuminwall.direct.effects import Effect, Measure, Note, Reply
from cuminwall.direct.state import State, TimerKind

PART = "work"


def make(
    state: State, session: Session, statement: Any, writes: bool
) -> Operation:
    """Returns a new operation for a statement; its database has a route."""
    transaction = session.transaction
    if transaction is not None:
        route = transaction.route
    else:
        route = state.catalog.routes[session.database]
    operation = Operation(
        state.next_number(), session, statement, route, state.now
    )
    operation.writes = writes
    if transaction is None:
        operation.needs_primary = writes or route.freshness is Freshness.ALL
    else:
        is_aged = route.freshness is not Freshness.ALL
        operation.needs_primary = not (transaction.read_only and is_aged)
    state.operations[operation.number] = operation
    session.operation = operation
    return operation


def queue_for_dispatch(state: State, operation: Operation) -> None:
    """Queues an operation that has its token, for a choice of server."""
    target_based = (
        operation.arrived_at
        + state.limits.wait_fraction * operation.route.target_s
    )
    operation.wait_until = max(
        target_based, state.now + state.limits.min_wait_s
    )
    operation.admitted_at = state.now
    operation.stage = Stage.WAITING_FOR_CONNECTION
    state.unassigned.append(operation)


def refuse(
    state: State, operation: Operation, cause: str, out: list[Effect]
) -> None:
    """Answers that an operation has not run; its transaction is undone."""
    reason = Reason.OVERLOADED
    if operation.session.transaction is not None:
        reason = Reason.ROLLED_BACK
    _pause_session(state, operation.session)
    finish_failed(state, operation, reason, cause, out)


def _pause_session(state: State, session: Session) -> None:
    """Lets statements that were sent ahead wait after a refusal.

    Else a caller that sends many would at once try the next, and crowd out
    those that wait for their answers.
    """
    if not session.inbox or state.is_shutting_down:
        return
    session.resume_at = state.now + state.limits.overload_pause_s
    state.set_timer(session.resume_at, TimerKind.SESSION, session.number)


def finish_failed(
    state: State,
    operation: Operation,
    reason: Reason,
    cause: str,
    out: list[Effect],
) -> None:
    """Answers an operation with a failure detected by this instance."""
    phase = Phase.IDLE
    transaction = operation.session.transaction
    if transaction is not None:
        phase = Phase.FAILED
        if isinstance(operation.statement, statements.Commit):
            phase = Phase.IDLE
    finish(state, operation, failed(reason, cause, phase), out)


def finish(
    state: State, operation: Operation, answer: Answer, out: list[Effect]
) -> None:
    """Answers an operation; its session may go on to the next statement."""
    session = operation.session
    _end(state, operation)
    session.phase = answer.phase
    if answer.phase is Phase.IDLE:
        session.transaction = None
    session.last_active_at = state.now
    outcome = "done"
    if answer.failure is not None:
        outcome = answer.failure.reason.name.lower()
    kind = type(operation.statement).__name__.lower()
    out.append(_make_note(state, operation, answer, kind, outcome))
    out.append(Measure(kind, outcome, state.now - operation.arrived_at))
    if session.is_gone:
        return
    out.append(Reply(session.number, answer))
    state.ready_sessions.append(session)


def abandon(state: State, operation: Operation, out: list[Effect]) -> None:
    """Ends an operation whose caller has disconnected."""
    was_sent = operation.connection is not None
    _end(state, operation)
    fields = {"offered": was_sent, **_log_fields(state, operation)}
    out.append(Note(PART, "abandoned", fields))


def _end(state: State, operation: Operation) -> None:
    """Removes an operation from the state and from the queues."""
    bucket = state.buckets.get(operation.session.workspace)
    if operation.has_token and bucket is not None:
        # It was never sent, so it does not count against the rate.
        buckets.return_token(bucket, state.now)
    if operation.stage is Stage.WAITING_FOR_CONNECTION:
        server = state.servers.get(operation.server)
        if server is not None:
            server.waiting.discard(operation, operation.session.workspace)
        group = state.groups.get(operation.route.service)
        if group is not None:
            group.waiting.discard(operation)
    operation.stage = Stage.FINISHED
    state.operations.pop(operation.number, None)
    operation.session.operation = None


def _make_note(
    state: State, operation: Operation, answer: Answer, kind: str, outcome: str
) -> Note:
    """Returns the log line of an answered operation."""
    fields = {
        "kind": kind,
        "outcome": outcome,
        **_log_fields(state, operation),
    }
    if answer.failure is not None:
        fields["cause"] = answer.failure.detail
    return Note(PART, "answered", fields)


def _log_fields(state: State, operation: Operation) -> dict[str, Any]:
    """Returns what the log tells of an operation at its end."""
    session = operation.session
    return {
        "request": operation.statement.request,
        "session": session.number,
        "database": session.database,
        "workspace": session.workspace,
        "service": operation.route.service,
        "server": operation.server,
        "offers": operation.attempts,
        "after": operation.min_position,
        "ms": round(1000 * (state.now - operation.arrived_at), 1),
        **text_fields(operation.statement.text),
        **store_view.config_fields(state),
        **_stage_times(operation, state.now),
    }


def text_fields(text: str) -> dict[str, Any]:
    """Returns what the log tells of a statement's text as it was received."""
    # Bytes that were not valid UTF-8 become what they were.
    data = text.encode("utf-8", "surrogateescape")
    return {"text_bytes": len(data), "text_crc": f"{zlib.crc32(data):08x}"}


def _stage_times(operation: Operation, now: float) -> dict[str, Any]:
    """Returns for how long an operation was in each stage, in milliseconds.

    They add up to the whole time. A stage that it did not reach is left out.
    """
    fields: dict[str, Any] = {}
    since = operation.arrived_at
    stages = (
        ("token_ms", operation.admitted_at),
        ("connection_ms", operation.first_sent_at),
        ("server_ms", now),
    )
    for name, ended_at in stages:
        if ended_at is None:
            fields[name] = round(1000 * (now - since), 1)
            return fields
        fields[name] = round(1000 * (ended_at - since), 1)
        since = ended_at
    fields["opened"] = operation.is_opened_for
    return fields


def set_timer(state: State, operation: Operation, due_at: float) -> None:
    """Sets a timer for an operation."""
    state.set_timer(due_at, TimerKind.OPERATION, operation.number)
