"""Graceful shutdown: drains the sessions and gives the shares back.

The instance reports that it is not ready from the start. Idle sessions are
closed in small batches, so that their callers do not all reconnect elsewhere
at once. Open transactions have about half of the grace period to end.
Statements are refused once they can't be answered before the end; what is not
answered by then is told what is known of it.
"""

from cuminwall.direct import (
    coordination,
    membership,
    operations,
    process_end,
    quotas,
    retries,
    sessions,
)
from cuminwall.direct.callers_state import WAITING_STAGES
from cuminwall.direct.effects import Effect, ExitProcess, Note
from cuminwall.direct.state import State, TimerKind

PART = "shutdown"

# The platform asks once a second and stops sending callers after two refusals.
NOT_READY_S = 2.2
# Fractions of the grace period, by which all idle sessions are closed and open
# transactions are ended.
IDLE_FRACTION = 0.45
TRANSACTION_FRACTION = 0.55


def begin(state: State, out: list[Effect]) -> None:
    """Begins the shutdown."""
    if state.is_shutting_down:
        return
    state.is_shutting_down = True
    state.shutdown_began_at = state.now
    out.append(Note(PART, "begun", {"sessions": len(state.sessions)}))
    coordination.resign(state, out)
    tick(state, out)


def tick(state: State, out: list[Effect]) -> None:
    """Closes the sessions that are due, and ends if all are closed."""
    if not state.is_shutting_down:
        return
    passed_s = state.now - state.shutdown_began_at
    grace_s = state.limits.grace_s
    _refuse_late(state, out)
    _close_batch(state, passed_s, grace_s, out)
    if passed_s >= TRANSACTION_FRACTION * grace_s:
        _end_transactions(state, out)
    if not state.sessions and passed_s >= NOT_READY_S:
        _finish(state, "done", passed_s, out)
        return
    if passed_s >= process_end.END_FRACTION * grace_s:
        _finish(state, "cut", passed_s, out)
        return
    state.set_timer(
        state.now + state.limits.close_interval_s, TimerKind.SHUTDOWN
    )


def _finish(
    state: State, outcome: str, passed_s: float, out: list[Effect]
) -> None:
    """Gives the shares back, removes the instance's record and ends."""
    state.is_exiting = True
    fields = {
        "after_s": round(passed_s, 3),
        "sessions": len(state.sessions),
        "unanswered": len(state.operations),
    }
    out.append(Note(PART, outcome, fields))
    for operation in list(state.operations.values()):
        retries.give_up(state, operation, "this instance ends", out)
    quotas.release_all(state, out)
    membership.remove_own_record(state, out)
    out.append(ExitProcess())


def _refuse_late(state: State, out: list[Effect]) -> None:
    """Refuses what still waits and would be sent too late."""
    for operation in list(state.operations.values()):
        if operation.stage not in WAITING_STAGES:
            continue
        if process_end.is_time_left(state, operation.route):
            continue
        operations.refuse(state, operation, process_end.REFUSAL.detail, out)


def _close_batch(
    state: State, passed_s: float, grace_s: float, out: list[Effect]
) -> None:
    """Closes the next batch of idle sessions."""
    left_s = IDLE_FRACTION * grace_s - passed_s
    count = len(state.sessions)
    if left_s > 0:
        batches = max(1.0, left_s / state.limits.close_interval_s)
        count = max(1, int(count / batches))
    for session in list(state.sessions.values()):
        if count <= 0:
            return
        if session.is_idle():
            sessions.close(state, session, out)
            count -= 1
        elif passed_s >= IDLE_FRACTION * grace_s:
            session.is_closing = True


def _end_transactions(state: State, out: list[Effect]) -> None:
    """Rolls back open transactions that run no statement."""
    for session in list(state.sessions.values()):
        if session.operation is None and session.transaction is not None:
            sessions.end_transaction(state, session, "shutdown", out)
