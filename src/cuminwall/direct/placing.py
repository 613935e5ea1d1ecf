"""Chooses the backend server for an operation.

No operation is refused while a server that may run it has capacity. Reads go
to the server where `cuminwall.load.placement` finds the lowest cost: by this
instance's load there, its learned speed, whether a connection must be opened,
and its availability zone. Operations that must see every commit go to the
primary, which reads leave to them while they need it.
"""

from cuminwall.direct import (
    connections,
    groups,
    primary_leases,
    speeds,
    warmups,
    watermarks,
)
from cuminwall.direct.answers import Position
from cuminwall.direct.callers_state import Operation
from cuminwall.direct.catalog import Freshness
from cuminwall.direct.servers_state import ConnectionStatus, Group, Server
from cuminwall.direct.state import State
from cuminwall.load import placement, server_speeds, waits


def choose(state: State, group: Group, operation: Operation) -> Server | None:
    """Returns the server for an operation; None while no server may run it.

    Sets the minimum position of the operation.
    """
    operation.min_position = None
    if not operation.needs_primary:
        server = _choose_reader(state, group, operation)
        if server is not None:
            return server
    return find_primary(state, group, operation)


def find_primary(
    state: State, group: Group, operation: Operation
) -> Server | None:
    """Returns the primary, or the best guess while the store is unavailable.

    Where servers fence themselves, trying one that is not the primary costs
    only time. Other servers than the known primary are tried only while the
    store does not answer. Elsewhere a lease names the only server to use.
    """
    server = group.servers.get(group.primary)
    if server is not None and _may_act_as_primary(state, server):
        is_held = primary_leases.is_held(state, group, server)
        if is_held and groups.may_serve_as_primary(state, server):
            return server
    if state.is_store_up or not state.limits.are_primaries_fenced:
        return None
    for server in group.servers.values():
        if not _may_act_as_primary(state, server):
            continue
        if groups.is_usable(state, server):
            return server
    return None


def _may_act_as_primary(state: State, server: Server) -> bool:
    """Returns whether a server may be sent what only a primary runs."""
    if not _is_reachable(state, server):
        return False
    return state.now >= max(
        server.not_primary_until, warmups.next_attempt_at(state, server)
    )


def _is_reachable(state: State, server: Server) -> bool:
    """Returns whether a server may be tried.

    An unreachable server is avoided for a while. Then a single operation
    tries it, so that the others need not wait for the outcome.
    """
    if state.now < server.avoid_until:
        return False
    if not server.is_unreachable:
        return True
    return not any(
        each.status is ConnectionStatus.OPENING for each in server.connections
    )


def load(server: Server) -> int:
    """Returns how many operations of this instance a server has."""
    busy = len(server.waiting)
    for connection in server.connections:
        if connection.status in (
            ConnectionStatus.RUNNING,
            ConnectionStatus.OPENING,
            ConnectionStatus.ROLLING_BACK,
        ):
            busy += 1
    return busy


def _choose_reader(
    state: State, group: Group, operation: Operation
) -> Server | None:
    """Returns the best replica for a read, or the primary if it is better."""
    min_position = _find_min_position(state, group, operation)
    if min_position is None:
        return None
    candidates = []
    for server in group.servers.values():
        if not _may_read(state, server, operation):
            continue
        if _is_reserved(state, group, server):
            continue
        candidates.append(_make_candidate(state, group, server, operation))
    if not candidates:
        return None
    chosen = placement.choose(candidates, state.instance, operation.number)
    best = group.servers[chosen]
    is_primary = best.entry.server == group.primary
    if not is_primary or not primary_leases.is_held(state, group, best):
        operation.min_position = min_position
    return best


def _find_min_position(
    state: State, group: Group, operation: Operation
) -> Position | None:
    """Returns the position a replica must have reached; None if unknown."""
    group.read_at = state.now
    watermark = watermarks.oldest_valid(state, group, operation.route.max_age_s)
    if watermark is None:
        return None
    written = operation.session.last_write_position
    if operation.route.freshness is Freshness.OWN and written is not None:
        return max(watermark.position, written)
    return watermark.position


def _may_read(state: State, server: Server, operation: Operation) -> bool:
    """Returns whether a read may be sent to a server."""
    if not groups.is_usable(state, server):
        return False
    if server.entry.server in operation.tried:
        return False
    if not _is_reachable(state, server):
        return False
    until = max(server.lagging_until, server.overloaded_until)
    return state.now >= max(until, warmups.next_attempt_at(state, server))


def _is_reserved(state: State, group: Group, server: Server) -> bool:
    """Returns whether a primary is left to what only it can run.

    A read that no replica may serve goes to it all the same.
    """
    if server.entry.server != group.primary or len(group.servers) < 2:
        return False
    return waits.is_room_short(server.overloaded_until, state.now)


def _make_candidate(
    state: State, group: Group, server: Server, operation: Operation
) -> placement.Candidate:
    """Returns what the choice of a server takes into account."""
    slowdown = speeds.slowdown(state, group, server)
    reserve = 0.0
    if server.entry.server == group.primary:
        reserve = placement.primary_reserve(
            server_speeds.primary_fraction(group.primary_demand),
            len(group.servers),
            _count_primary_only(server),
            slowdown,
        )
    return placement.Candidate(
        server.entry.server,
        load(server),
        server.entry.slots,
        server.entry.zone == state.zone,
        connections.has_idle(server, operation.session.workspace),
        state.now < server.cold_until,
        slowdown,
        reserve,
    )


def _count_primary_only(server: Server) -> int:
    """Returns how many operations here wait for a primary or need it."""
    count = len(server.waiting)
    for connection in server.connections:
        operation = connection.operation
        if operation is not None and operation.needs_primary:
            count += 1
    return count
