"""Whether this instance is cut off from the others with its availability zone.

Without the coordinator it gets no tokens, and without the other zones it finds
no new primary: it can serve next to nothing. Callers may still reach it, and a
balancer sends them elsewhere only if the instance reports that it is not ready.
So it does, and later closes its idle sessions, as at a shutdown.

An outage of the store, or a change of coordinator, must not make all instances
report that. So backend servers bear witness: an instance that hears from one in
another zone is not cut off, and neither is one that has missed none there.
"""

from cuminwall.direct import store_view
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.state import State

PART = "reach"

# Without a reply from the coordinator, which is sent a request each 0.4 s. A
# change of coordinator that the store shows takes less.
SILENT_S = 1.0
# Without a confirmation of what is known of the store, where no call failed.
UNCONFIRMED_S = store_view.MAX_VIEW_AGE_S
# By when a balancer that asks once a second has noticed: after two refusals.
NOTICED_S = 2.2
CLOSED_FRACTION = 0.25  # Of the idle sessions, with each check.


def coordinator_silent_s(state: State) -> float:
    """Returns for how long the coordinator has left requests unanswered.

    One that this instance has just learned of counts from then.
    """
    discovery = state.discovery
    return state.now - max(discovery.last_reply_at, discovery.seen_at)


def is_coordinator_lost(state: State) -> bool:
    """Returns whether a coordinator is known but out of reach.

    Its successor would be known by now, if the store or a peer could tell.
    """
    if state.coordinator is None:
        return False
    return coordinator_silent_s(state) >= SILENT_S


def check(state: State, out: list[Effect]) -> None:
    """Updates whether this instance is cut off."""
    is_cut_off = _is_cut_off(state)
    if is_cut_off != (state.discovery.cut_off_since is not None):
        name = "cut_off" if is_cut_off else "in_touch"
        fields = {"zone": state.zone, "sessions": len(state.sessions)}
        out.append(Note(PART, name, fields))
        state.discovery.cut_off_since = state.now if is_cut_off else None


def count_sessions_to_close(state: State) -> int:
    """Returns how many idle sessions to close, so that callers go elsewhere.

    None before a balancer has noticed, or they would come back.
    """
    since = state.discovery.cut_off_since
    if since is None or state.now - since < NOTICED_S:
        return 0
    return max(1, int(CLOSED_FRACTION * len(state.sessions)))


def _is_cut_off(state: State) -> bool:
    """Returns whether neither store, coordinator nor other zones answer."""
    if coordinator_silent_s(state) < SILENT_S:
        return False
    if state.is_store_up:
        if store_view.unconfirmed_s(state, state.now) < UNCONFIRMED_S:
            return False
    has_missed = False
    for server in state.servers.values():
        if server.is_gone or server.entry.zone == state.zone:
            continue
        if state.now - server.last_answer_at < SILENT_S:
            return False
        has_missed = has_missed or server.unreachable_since is not None
    return has_missed
