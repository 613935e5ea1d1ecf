"""Which logs surely hold every acknowledged commit.

A service may acknowledge a commit only once some of its replicas have received
it; any of these may then be the only server that still has it. If fewer than
that number have not told the end of their log, the longest of the other logs
holds every acknowledged commit. So does a log that reaches the end of the old
primary's, once that has stepped down. An old primary that can't be told to
step down may go on acknowledging commits, unless these replicas are held: they
receive nothing until one is promoted.
"""

from cuminwall.direct import groups
from cuminwall.direct.answers import Position
from cuminwall.direct.fleet_state import PrimaryChange
from cuminwall.direct.servers_state import Group, Server
from cuminwall.direct.state import State

START = Position(0, 0)  # Every log has reached it.


def sync_replicas(state: State, group: Group) -> int:
    """Returns how many replicas must have received an acknowledged commit."""
    service = state.catalog.services.get(group.service)
    return 0 if service is None else service.sync_replicas


def must_keep_commits(state: State, group: Group) -> bool:
    """Returns whether a promotion must not lose an acknowledged commit."""
    return sync_replicas(state, group) > 0


def find_required_position(
    state: State, group: Group, change: PrimaryChange
) -> Position | None:
    """Returns the position that a new primary must have; None if unknown."""
    if not must_keep_commits(state, group):
        return START
    known = []
    for server in replicas(group, change):
        if server.status is not None and _has_told_log(server, change):
            known.append(server.status.position)
    missing = missing_logs(state, group, change)
    if known and len(missing) < sync_replicas(state, group):
        return max(known)
    return change.log_end


def replicas(group: Group, change: PrimaryChange) -> list[Server]:
    """Returns the servers that may have received commits, but the primary."""
    result = []
    for server in group.servers.values():
        if server.is_gone or server.entry.server == _old_primary(group, change):
            continue
        result.append(server)
    return result


def is_waiting(group: Group, change: PrimaryChange) -> bool:
    """Returns whether a replica has not answered in this step of a change."""
    for server in replicas(group, change):
        if server.status_asked_at < change.logs_since:
            return True
    return False


def missing_logs(
    state: State, group: Group, change: PrimaryChange
) -> list[str]:
    """Returns the replicas that have not told the end of their log."""
    missing = []
    for server in replicas(group, change):
        if not _has_told_log(server, change):
            missing.append(server.entry.server)
    for name, departed in group.departed.items():
        if name == _old_primary(group, change):
            continue
        if state.now - departed.departed_at < groups.DEPARTED_S:
            missing.append(name)
    return missing


def _has_told_log(server: Server, change: PrimaryChange) -> bool:
    """Returns whether a server has told the end of its log in a change."""
    if server.status is None or server.status_asked_at < change.logs_since:
        return False
    if not change.held_term or server.refuses_hold:
        return True
    return server.status.held_term >= change.held_term


def _old_primary(group: Group, change: PrimaryChange) -> str:
    """Returns the latest known primary before a change."""
    return change.old_primary or group.former_primary
