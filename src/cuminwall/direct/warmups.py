"""Limits the rate of requests that this instance sends to a cold server.

The limit holds for all instances together. Each takes an even share, and
their first requests are staggered, so that the shares add up to the limit in
every second without communication between the instances.
"""

from cuminwall import placement
from cuminwall.direct import membership
from cuminwall.direct.servers_state import Server
from cuminwall.direct.state import State


def next_attempt_at(state: State, server: Server) -> float:
    """Returns when the next request may be sent to a server."""
    if state.now >= server.cold_until:
        return state.now
    interval_s = _interval_s(state, server)
    if interval_s is None:
        return state.now
    if server.next_attempt_at is None:
        server.next_attempt_at = state.now + _first_delay_s(state, interval_s)
    return server.next_attempt_at


def record_attempt(state: State, server: Server) -> None:
    """Records an attempt to run an operation on a server."""
    interval_s = _interval_s(state, server)
    if state.now >= server.cold_until or interval_s is None:
        server.next_attempt_at = None
        return
    server.next_attempt_at = state.now + interval_s


def _interval_s(state: State, server: Server) -> float | None:
    """Returns the interval of this instance's requests; None without limit."""
    service = state.catalog.services.get(server.entry.service)
    if service is None or service.warmup_rate <= 0:
        return None
    return membership.count_members(state) / service.warmup_rate


def _first_delay_s(state: State, interval_s: float) -> float:
    """Returns this instance's offset within the first interval."""
    names = placement.ranked("warmup", state.members)
    if state.instance not in names:
        return interval_s
    return interval_s * names.index(state.instance) / max(1, len(names))
