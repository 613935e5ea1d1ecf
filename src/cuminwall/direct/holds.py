"""Holds callers back while nobody has confirmed the configuration for long.

A process that stood still wakes up to statements and to news of the store at
the same time, and the statements are read first. Those that begin something new
wait until the store was asked, which takes milliseconds. If it does not answer,
service goes on: they are held once, for a short time, and not again before the
store has answered.
"""

from cuminwall.direct import store_view
from cuminwall.direct.callers_state import Session
from cuminwall.direct.effects import Effect, Note, RereadStore
from cuminwall.direct.state import State, TimerKind

PART = "holds"

MAX_HOLD_S = 0.25
# Before a configuration must be in force; for the call to the store.
MARGIN_S = 0.4


def must_hold(state: State) -> bool:
    """Returns whether what begins now must wait for the store."""
    if not state.holds.is_allowed or not state.is_store_up:
        return False
    return not state.is_shutting_down and _is_too_old(state)


def hold(state: State, session: Session, out: list[Effect]) -> None:
    """Holds a session with a statement back; asks the store."""
    _ask_store(state, out)
    state.holds.sessions.append(session)


def hold_login(state: State, session: Session, out: list[Effect]) -> None:
    """Holds a caller's login back; asks the store."""
    _ask_store(state, out)
    state.holds.logins.append(session)


def handle_answer(state: State, out: list[Effect]) -> None:
    """Handles an answer of the store, which may confirm the configuration."""
    state.holds.is_allowed = True
    handle_confirmation(state, out)


def handle_confirmation(state: State, out: list[Effect]) -> None:
    """Ends the hold if the configuration is confirmed now."""
    if not _is_too_old(state):
        _release(state, "confirmed", out)


def handle_store_lost(state: State, out: list[Effect]) -> None:
    """Ends the hold: the store does not answer."""
    _give_up(state, "the store does not answer", out)


def handle_timer(state: State, out: list[Effect]) -> None:
    """Ends a hold that has lasted too long."""
    since = state.holds.since
    if since is not None and state.now >= since + MAX_HOLD_S:
        _give_up(state, "no answer in time", out)


def _is_too_old(state: State) -> bool:
    """Returns whether the configuration's confirmation is too old."""
    age_s = store_view.unconfirmed_s(state, state.now)
    return age_s >= state.limits.config_apply_s - MARGIN_S


def _ask_store(state: State, out: list[Effect]) -> None:
    """Begins a hold, unless one has begun."""
    if state.holds.since is not None:
        return
    state.holds.since = state.now
    state.set_timer(state.now + MAX_HOLD_S, TimerKind.HOLD)
    out.append(Note(PART, "begun", {**store_view.config_fields(state)}))
    out.append(RereadStore())


def _give_up(state: State, cause: str, out: list[Effect]) -> None:
    """Ends a hold without an answer; none begins before there is one."""
    if state.holds.since is not None:
        state.holds.is_allowed = False
    _release(state, cause, out)


def _release(state: State, cause: str, out: list[Effect]) -> None:
    """Lets the held sessions go on, in the order of their arrival."""
    since = state.holds.since
    if since is None:
        return
    fields = {
        "cause": cause,
        "held_ms": round(1000 * (state.now - since), 1),
        "sessions": len(state.holds.sessions),
        "logins": len(state.holds.logins),
        **store_view.config_fields(state),
    }
    out.append(Note(PART, "ended", fields))
    state.holds.since = None
    state.ready_sessions.extend(state.holds.sessions)
    state.holds.sessions = []
