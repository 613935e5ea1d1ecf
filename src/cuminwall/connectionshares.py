"""A home's share of the connections to each backend server.

The permits of a server are what the steward has lent. A connection in use
is never cut when the share shrinks or lapses; it counts until it is free.
"""

from cuminwall import jobs, messages, sharelending, shares
from cuminwall.effects import Effect, SetPermits
from cuminwall.state import Group, Server, ServerShare, State

SPARE_FACTOR = 0.5  # Wanted connections beyond those needed now.
SPARE = 1


def create_share(group: Group, server: Server) -> ServerShare:
    """Returns the share of a server that has become known."""
    name = sharelending.connections_name(group.service, server.name)
    server.share = shares.Share(name, 1)
    return ServerShare(group.service, server.name, server.share)


def drop_expired(state: State, out: list[Effect]) -> None:
    """Drops permits that have lapsed; called before anything else happens."""
    if state.now < state.next_permit_expiry:
        return
    state.next_permit_expiry = float("inf")
    for group in list(state.groups.values()):
        for server in list(group.servers.values()):
            schedule_expiry(state, server)
            apply_share(state, group, server, out)


def schedule_expiry(state: State, server: Server) -> None:
    """Notes when a server's permits lapse next."""
    for bound in (server.share.until, server.share.floor_until):
        if state.now < bound:
            state.next_permit_expiry = min(state.next_permit_expiry, bound)


def needs_more(server: Server) -> bool:
    """Returns whether work waits for a connection."""
    if not server.permits:
        return True
    return bool(server.queue.size) and server.in_use >= server.permits


def make_report(server: Server, now: float) -> messages.ShareReport:
    """Returns what an ask states."""
    line = server.share
    shares.drop_expired(line, now)
    needed = server.in_use + server.queue.size
    wanted = needed + SPARE + int(needed * SPARE_FACTOR)
    if server.out_of_service:
        wanted = 0
    held = max(line.held[0], server.in_use - line.floor[0])
    stated = _line(line, (held,), line.floor, (float(wanted),), False)
    return stated._replace(shortfall=float(needs_more(server)))


def release(server: Server) -> messages.ShareReport:
    """Returns the last ask for a server, which gives all back."""
    line = server.share
    line.held = line.floor = (0.0,)
    return _line(line, line.held, line.floor, line.held, True)


def apply_share(
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
    line: shares.Share,
    held: shares.Amounts,
    floor: shares.Amounts,
    wanted: shares.Amounts,
    is_leaving: bool,
) -> messages.ShareReport:
    """Returns a stated line without tokens."""
    return messages.ShareReport(
        line.name,
        line.accepted_number,
        held,
        floor,
        wanted,
        0.0,
        0.0,
        0.0,
        0.0,
        is_leaving,
    )
