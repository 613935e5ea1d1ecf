"""Ending in order: no caller is cut, and what was lent goes back.

The instance is not ready from the first moment. Idle sessions are closed a
few at a time, so that their callers do not all return at once elsewhere. An
open transaction has half of the grace to end.
"""

from cuminwall.direct import coordination, membership, quotas, sessions
from cuminwall.direct.answers import Phase
from cuminwall.direct.callers_state import Session
from cuminwall.direct.effects import Effect, ExitProcess, Note
from cuminwall.direct.state import State, TimerKind

PART = "shutdown"

NOT_READY_S = 1.0  # Until the platform has seen twice that it is not ready.
IDLE_PART = 0.45  # Of the grace, by which all idle sessions are closed.
TRANSACTION_PART = 0.55  # Of the grace, by which transactions are ended.
END_PART = 0.9  # Of the grace, by which the process ends in any case.


def begin(state: State, out: list[Effect]) -> None:
    """Begins to end."""
    if state.is_shutting_down:
        return
    state.is_shutting_down = True
    state.shutdown_began_at = state.now
    out.append(Note(PART, "begun", {"sessions": len(state.sessions)}))
    coordination.resign(state, out)
    tick(state, out)


def tick(state: State, out: list[Effect]) -> None:
    """Closes what may be closed by now."""
    if not state.is_shutting_down:
        return
    passed_s = state.now - state.shutdown_began_at
    grace_s = state.limits.grace_s
    _close_lot(state, passed_s, grace_s, out)
    if passed_s >= TRANSACTION_PART * grace_s:
        _end_transactions(state, out)
    if not state.sessions and passed_s >= NOT_READY_S:
        _finish(state, "done", passed_s, out)
        return
    if passed_s >= END_PART * grace_s:
        _finish(state, "cut", passed_s, out)
        return
    state.set_timer(
        state.now + state.limits.close_interval_s, TimerKind.SHUTDOWN
    )


def _finish(
    state: State, outcome: str, passed_s: float, out: list[Effect]
) -> None:
    """Gives back what was lent, takes leave and ends."""
    fields = {"after_s": round(passed_s, 3), "sessions": len(state.sessions)}
    out.append(Note(PART, outcome, fields))
    quotas.release_all(state, out)
    membership.remove_own_record(state, out)
    out.append(ExitProcess())


def _close_lot(
    state: State, passed_s: float, grace_s: float, out: list[Effect]
) -> None:
    """Closes as many idle sessions as are due by now."""
    left_s = IDLE_PART * grace_s - passed_s
    count = len(state.sessions)
    if left_s > 0:
        lots = max(1.0, left_s / state.limits.close_interval_s)
        count = max(1, int(count / lots))
    for session in list(state.sessions.values()):
        if count <= 0:
            return
        if _is_idle(session):
            sessions.close(state, session, out)
            count -= 1
        elif passed_s >= IDLE_PART * grace_s:
            session.is_closing = True


def _end_transactions(state: State, out: list[Effect]) -> None:
    """Ends the transactions that have had their time."""
    for session in list(state.sessions.values()):
        if session.operation is None and session.transaction is not None:
            sessions.end_transaction(state, session, "shutdown", out)


def _is_idle(session: Session) -> bool:
    """Returns whether a session waits for its caller, in no transaction."""
    if session.operation is not None or session.inbox:
        return False
    return session.phase is Phase.IDLE
