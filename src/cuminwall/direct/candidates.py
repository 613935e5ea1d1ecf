"""Chooses the server that becomes the primary of a service."""

from cuminwall.direct import durability, groups, log_branches, open_orders
from cuminwall.direct.answers import Position
from cuminwall.direct.fleet_state import UNLED, PrimaryChange
from cuminwall.direct.servers_state import Group, Server
from cuminwall.direct.state import State


def has_candidate(state: State, group: Group) -> bool:
    """Returns whether some server may become primary."""
    for server in group.servers.values():
        if is_candidate(state, group, server):
            return True
    return False


def has_usable_candidate(state: State, group: Group) -> bool:
    """Returns whether some server that is to stay may become primary."""
    for server in group.servers.values():
        if not is_candidate(state, group, server):
            continue
        if groups.is_usable(state, server):
            return True
    return False


def is_candidate(state: State, group: Group, server: Server) -> bool:
    """Returns whether a server may become primary in place of the current.

    One that is to leave may be the only one that has all acknowledged commits.
    """
    change = state.primary_watch.changes.get(group.service)
    replaced = group.primary
    if change is not None and not state.limits.are_primaries_fenced:
        # The newest order, which names the primary, may be of this change.
        replaced = "" if change.cause == UNLED else change.old_primary
    if server.entry.server == replaced:
        return False
    if durability.must_keep_commits(state, group):
        return not server.is_gone
    return groups.is_usable(state, server)


def find_best(
    state: State, group: Group, change: PrimaryChange, required: Position
) -> Server | None:
    """Returns the best candidate whose log reaches a position, or None.

    Logs that an earlier promotion has abandoned go last, however long they are.
    Then servers that are to stay go first, then warm ones, then by log and by
    zone.

    An order that was not answered may be carried out late. Where the platform
    does not check the fencing token, that would undo a newer order for another
    server, so the same server is ordered again. Where it does, but commits must
    be kept, the same server goes first: what it acknowledged between the two
    orders would be lost.
    """
    best = None
    best_rank: tuple[bool, bool, bool, bool, Position, bool] | None = None
    ordered: set[str] = set()
    if durability.must_keep_commits(state, group):
        ordered = open_orders.usurpers(state, group)
    pending = open_orders.pending_target(state, group)
    for server in group.servers.values():
        if not is_candidate(state, group, server) or server.status is None:
            continue
        name = server.entry.server
        if name in change.refused_servers:
            continue
        if pending not in ("", name) and pending not in change.refused_servers:
            continue
        if state.now - server.status_at > 4 * state.limits.inquiry_timeout_s:
            continue
        if server.status.position < required:
            continue
        position = server.status.position
        is_valid = not log_branches.is_abandoned(group.fork, position)
        is_usable = groups.is_usable(state, server)
        is_warm = server.entry.cold_s <= 0
        is_near = server.entry.zone == state.zone
        rank = (
            is_valid,
            name in ordered,
            is_usable,
            is_warm,
            position,
            is_near,
        )
        if best_rank is None or rank > best_rank:
            best = server
            best_rank = rank
    return best
