"""A home's share of the connections to each backend server.

The permits of a server are what the steward has lent. A connection in use
is never cut when the share shrinks or lapses; it counts until it is free.
"""

from cuminwall import jobs, messages, sharelending, shares
from cuminwall.effects import Effect, SetPermits
from cuminwall.state import Group, Server, ServerShare, State

SPARE_PART = 0.5  # Wanted connections beyond those needed now.
SPARE = 1


def take_up(group: Group, server: Server) -> ServerShare:
    """Returns the share of a server that has become known."""
    name = sharelending.connections_name(group.service, server.name)
    server.share = shares.Line(name, 1)
    return ServerShare(group.service, server.name, server.share)


def lapse(state: State, out: list[Effect]) -> None:
    """Drops permits that have lapsed; called before anything else happens."""
    if state.now < state.permits_until:
        return
    state.permits_until = float("inf")
    for group in list(state.groups.values()):
        for server in list(group.servers.values()):
            note_bounds(state, server)
            apply(state, group, server, out)


def note_bounds(state: State, server: Server) -> None:
    """Notes when a server's permits lapse next."""
    for bound in (server.share.until, server.share.floor_until):
        if state.now < bound:
            state.permits_until = min(state.permits_until, bound)


def needs_more(server: Server) -> bool:
    """Returns whether work waits for a connection."""
    if not server.permits:
        return True
    return bool(server.queue.size) and server.in_use >= server.permits


def state_line(server: Server, now: float) -> messages.ShareLine:
    """Returns what an ask states."""
    line = server.share
    shares.lapse(line, now)
    needed = server.in_use + server.queue.size
    wanted = needed + SPARE + int(needed * SPARE_PART)
    if server.out_of_service:
        wanted = 0
    held = max(line.held[0], server.in_use - line.floor[0])
    stated = _line(line, (held,), line.floor, (float(wanted),), False)
    return stated._replace(short=float(needs_more(server)))


def give_back(server: Server) -> messages.ShareLine:
    """Returns the last ask for a server, which gives all back."""
    line = server.share
    line.held = line.floor = (0.0,)
    return _line(line, line.held, line.floor, line.held, True)


def apply(
    state: State, group: Group, server: Server, out: list[Effect]
) -> None:
    """Puts the share of a server's connections in force."""
    permits = int(shares.usable(server.share, state.now)[0])
    if permits == server.permits:
        return
    server.permits = permits
    out.append(SetPermits(group.service, server.name, permits))
    jobs.handle_permits_changed(state, group, server, out)


def _line(
    line: shares.Line,
    held: shares.Amounts,
    floor: shares.Amounts,
    wanted: shares.Amounts,
    is_leaving: bool,
) -> messages.ShareLine:
    """Returns a stated line without tokens."""
    return messages.ShareLine(
        line.name,
        line.accepted,
        held,
        floor,
        wanted,
        0.0,
        0.0,
        0.0,
        0.0,
        is_leaving,
    )
