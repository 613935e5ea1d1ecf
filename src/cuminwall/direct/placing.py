"""Which backend server a statement is offered to.

Nothing is refused while a server that may run it is free. Reads go where the
least work of this instance is: first to a server with a free connection for
their workspace, since opening one takes the server as long as a statement,
and then close by. What must see every commit goes to the primary.
"""

from cuminwall.direct import connections, groups, warmups, watermarks
from cuminwall.direct.answers import Position
from cuminwall.direct.callers_state import Operation
from cuminwall.direct.catalog import Freshness
from cuminwall.direct.servers_state import ConnectionStatus, Group, Server
from cuminwall.direct.state import State

OTHER_ZONE_WEIGHT = (
    0.6  # Work that outweighs the way to another availability zone.
)
PRIMARY_WEIGHT = 0.5  # Work that outweighs what only the primary can run.
OPENING_WEIGHT = 1.5  # Work that outweighs the opening of a connection.
COLD_WEIGHT = 0.6  # Work that outweighs how much slower a cold server is.


def choose(state: State, group: Group, work: Operation) -> Server | None:
    """Returns the server for a statement; None while no server may run it.

    Sets the position that the server's log must hold.
    """
    work.min_position = None
    if not work.needs_primary:
        server = _choose_reader(state, group, work)
        if server is not None:
            return server
    return find_primary(state, group, work)


def find_primary(state: State, group: Group, work: Operation) -> Server | None:
    """Returns the server that leads, as far as is known.

    Backend servers fence themselves, so asking one that does not lead costs
    time and nothing else. That is done only when the store can't tell.
    """
    server = group.servers.get(group.primary)
    if server is not None and _may_act_as_primary(state, server):
        if groups.may_serve_as_primary(state, server):
            return server
    if state.is_store_up:
        return None
    for server in group.servers.values():
        if not _may_act_as_primary(state, server):
            continue
        if groups.is_usable(state, server):
            return server
    return None


def _may_act_as_primary(state: State, server: Server) -> bool:
    """Returns whether a server may be offered what only a primary runs."""
    if not _is_within_reach(state, server):
        return False
    return state.now >= max(
        server.not_primary_until, warmups.next_attempt_at(state, server)
    )


def _is_within_reach(state: State, server: Server) -> bool:
    """Returns whether a server may be tried.

    One that was out of reach is left alone for a while, and then tried by one
    piece of work; the rest need not wait for the outcome.
    """
    if state.now < server.avoid_until:
        return False
    if not server.is_unreachable:
        return True
    return not any(
        each.status is ConnectionStatus.OPENING for each in server.connections
    )


def load(server: Server) -> int:
    """Returns how much work of this instance is at a server."""
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
    state: State, group: Group, work: Operation
) -> Server | None:
    """Returns the best replica for a read, or the primary if it is better."""
    after = _least_position(state, group, work)
    if after is None:
        return None
    best = None
    best_weight = 0.0
    for server in group.servers.values():
        if not _may_read(state, server, work):
            continue
        weight = _weight(state, group, server, work.session.workspace)
        if best is None or weight < best_weight:
            best = server
            best_weight = weight
    if best is not None and best.entry.server != group.primary:
        work.min_position = after
    return best


def _least_position(
    state: State, group: Group, work: Operation
) -> Position | None:
    """Returns the position that a replica must have, or None if unknown."""
    mark = watermarks.oldest_valid(state, group, work.route.max_age_s)
    if mark is None:
        return None
    floor = work.session.last_write_position
    if work.route.freshness is Freshness.OWN and floor is not None:
        return max(mark.position, floor)
    return mark.position


def _may_read(state: State, server: Server, work: Operation) -> bool:
    """Returns whether a read may be offered to a server."""
    if not groups.is_usable(state, server):
        return False
    if server.entry.server in work.tried:
        return False
    if not _is_within_reach(state, server):
        return False
    until = max(server.lagging_until, server.overloaded_until)
    return state.now >= max(until, warmups.next_attempt_at(state, server))


def _weight(
    state: State, group: Group, server: Server, workspace: str
) -> float:
    """Returns how much speaks against a server for a workspace's read."""
    work = float(load(server))
    if not connections.has_idle(server, workspace):
        work += OPENING_WEIGHT
    if server.entry.zone != state.zone:
        work += OTHER_ZONE_WEIGHT
    if server.entry.server == group.primary:
        work += PRIMARY_WEIGHT
    if state.now < server.cold_until:
        work += COLD_WEIGHT
    return work / max(1, server.entry.slots)
