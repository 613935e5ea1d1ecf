"""A home's share of the connections to each backend server.

The permits of a server are the connections that its steward has granted. A
connection in use is never closed because the share shrinks or expires; it
counts against the share until it is free.
"""

from cuminwall import jobs, messages, sharelending, shares
from cuminwall.effects import Effect, SetPermits
from cuminwall.state import Group, Server, ServerShare, State

SPARE_FACTOR = 0.5  # Extra connections to request, per connection needed now.
SPARE = 1  # Extra connections to request in addition.


def create_share(group: Group, server: Server) -> ServerShare:
    """Creates the empty share of a new backend server."""
    name = sharelending.connections_name(group.service, server.name)
    server.share = shares.Share(name, 1)
    return ServerShare(group.service, server.name, server.share)


def drop_expired(state: State, out: list[Effect]) -> None:
    """Withdraws expired permits; called first for every event."""
    if state.now < state.next_permit_expiry:
        return
    state.next_permit_expiry = float("inf")
    for group in list(state.groups.values()):
        for server in list(group.servers.values()):
            schedule_expiry(state, server)
            apply_share(state, group, server, out)


def schedule_expiry(state: State, server: Server) -> None:
    """Updates the time of the next expiry with that of a server's permits."""
    for expires_at in (server.share.until, server.share.floor_until):
        if state.now < expires_at:
            state.next_permit_expiry = min(state.next_permit_expiry, expires_at)


def needs_more(server: Server) -> bool:
    """Returns whether there is no permit, or jobs wait for more."""
    if not server.permits:
        return True
    return bool(server.queue.size) and server.in_use >= server.permits


def make_report(server: Server, now: float) -> messages.ShareReport:
    """Returns the report on a server's share for the next request."""
    share = server.share
    shares.drop_expired(share, now)
    needed = server.in_use + server.queue.size
    wanted = needed + SPARE + int(needed * SPARE_FACTOR)
    if server.out_of_service:
        wanted = 0
    held = max(share.held[0], server.in_use - share.floor[0])
    report = _report(share, (held,), share.floor, (float(wanted),), False)
    return report._replace(shortfall=float(needs_more(server)))


def release(server: Server) -> messages.ShareReport:
    """Returns the last report for a server, which releases the share."""
    share = server.share
    share.held = share.floor = (0.0,)
    return _report(share, share.held, share.floor, share.held, True)


def apply_share(
    state: State, group: Group, server: Server, out: list[Effect]
) -> None:
    """Sets the permits of a server to its usable share."""
    permits = int(shares.usable(server.share, state.now)[0])
    if permits == server.permits:
        return
    server.permits = permits
    out.append(SetPermits(group.service, server.name, permits))
    jobs.handle_permits_changed(state, group, server, out)


def _report(
    share: shares.Share,
    held: shares.Amounts,
    floor: shares.Amounts,
    wanted: shares.Amounts,
    is_leaving: bool,
) -> messages.ShareReport:
    """Returns a report without tokens."""
    return messages.ShareReport(
        share.name,
        share.accepted_number,
        held,
        floor,
        wanted,
        0.0,
        0.0,
        0.0,
        0.0,
        is_leaving,
    )
