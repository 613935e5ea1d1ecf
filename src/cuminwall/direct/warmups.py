"""How much work a cold server gets from this instance.

All instances together may send it only so many requests a second. Each takes
its even part, and their turns follow one another, so that the parts add up to
the whole in every second without a word between the instances.
"""

from cuminwall import placement
from cuminwall.direct import membership
from cuminwall.direct.servers_state import Server
from cuminwall.direct.state import State


def next_attempt_at(state: State, server: Server) -> float:
    """Returns from when a server may be offered work."""
    if state.now >= server.cold_until:
        return state.now
    step_s = _step_s(state, server)
    if step_s is None:
        return state.now
    if server.next_attempt_at is None:
        server.next_attempt_at = state.now + _first_delay_s(state, step_s)
    return server.next_attempt_at


def record_attempt(state: State, server: Server) -> None:
    """Notes that a server was offered work."""
    step_s = _step_s(state, server)
    if state.now >= server.cold_until or step_s is None:
        server.next_attempt_at = None
        return
    server.next_attempt_at = state.now + step_s


def _step_s(state: State, server: Server) -> float | None:
    """Returns the time between two offers; None if nothing bounds them."""
    service = state.catalog.services.get(server.entry.service)
    if service is None or service.warmup_rate <= 0:
        return None
    return membership.count_members(state) / service.warmup_rate


def _first_delay_s(state: State, step_s: float) -> float:
    """Returns this instance's turn within the first step."""
    names = placement.ranked("warmup", state.members)
    if state.instance not in names:
        return step_s
    return step_s * names.index(state.instance) / max(1, len(names))
