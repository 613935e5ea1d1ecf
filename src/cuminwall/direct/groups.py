"""Tracks the backend servers of each database service and its primary.

The primary is known from the servers' entries in the store and from their
answers: a server that refuses to act as primary is believed at once. Where a
replaced primary may go on to act as one, neither proves anything once an order
was given; then the primary is the server that the newest order names.
"""

from cuminwall import leases
from cuminwall.direct import open_orders, primary_leases
from cuminwall.direct.catalog import ServerEntry
from cuminwall.direct.effects import CloseConnection, Effect, Note
from cuminwall.direct.servers_state import (
    ConnectionStatus,
    DepartedServer,
    Group,
    Server,
)
from cuminwall.direct.state import State, TimerKind

PART = "groups"

# For how long a server whose entry was removed may still run, or its log be
# transferred to a new server at its address.
DEPARTED_S = 8.0


def find(state: State, service: str) -> Group:
    """Returns the group of a service, creating it if necessary."""
    group = state.groups.get(service)
    if group is None:
        group = state.groups[service] = Group(service)
    return group


def handle_entry(state: State, entry: ServerEntry, out: list[Effect]) -> None:
    """Handles a new or changed entry of a server."""
    _forget_departed(find(state, entry.service), entry)
    known = state.servers.get(entry.server)
    if known is not None and known.entry.revision >= entry.revision:
        known.is_gone = False
        return
    is_new = known is None or known.entry.born_ms != entry.born_ms
    if known is not None and known.entry.service != entry.service:
        _remove(state, known, out)
        known = None
    if known is None:
        known = state.servers[entry.server] = Server(entry)
        find(state, entry.service).servers[entry.server] = known
    known.entry = entry
    known.is_gone = False
    known.cold_until = state.now + entry.cold_s
    if is_new:
        known.avoid_until = leases.NEVER
        known.unreachable_since = None
        known.is_unreachable = False
    out.append(
        Note(
            PART,
            "server_seen",
            {
                "server": entry.server,
                "service": entry.service,
                "zone": entry.zone,
                "primary": entry.is_primary,
                "leaving": entry.is_leaving,
                "cold_s": entry.cold_s,
                "revision": entry.revision,
            },
        )
    )
    _update_primary(state, known, out)
    close_idle_if_unusable(state, known, out)


def handle_entry_removed(state: State, server: str, out: list[Effect]) -> None:
    """Handles the removal of a server's entry."""
    known = state.servers.get(server)
    if known is None or known.is_gone:
        return
    known.is_gone = True
    out.append(
        Note(
            PART,
            "server_gone",
            {"server": server, "revision": known.entry.revision},
        )
    )
    close_idle_if_unusable(state, known, out)
    group = find(state, known.entry.service)
    _record_departed(state, group, known.entry)
    if group.primary == server:
        set_primary(state, group, "", "entry gone", out)
    if not known.connections:
        _remove(state, known, out)


def _record_departed(state: State, group: Group, entry: ServerEntry) -> None:
    """Remembers a server whose entry was removed, for `DEPARTED_S`."""
    for server, departed in list(group.departed.items()):
        if state.now - departed.departed_at >= DEPARTED_S:
            del group.departed[server]
    group.departed[entry.server] = DepartedServer(
        entry.host, entry.port, state.now
    )


def _forget_departed(group: Group, entry: ServerEntry) -> None:
    """Forgets a departed server that is back or has a successor."""
    for server, departed in list(group.departed.items()):
        is_successor = departed[:2] == (entry.host, entry.port)
        if server == entry.server or is_successor:
            del group.departed[server]


def set_primary(
    state: State, group: Group, server: str, cause: str, out: list[Effect]
) -> None:
    """Sets the primary of a group; "" if none is known."""
    if group.primary == server:
        return
    out.append(
        Note(
            PART,
            "primary_known" if server else "primary_unknown",
            {
                "service": group.service,
                "server": server,
                "before": group.primary,
                "cause": cause,
                "revision": group.primary_revision,
            },
        )
    )
    group.former_primary = "" if server else group.primary
    group.primary = server
    if not server:
        primary_leases.expect_primary(state, group, state.limits.switchover_s)
    if server:
        group.primary_expected_at = None
        state.servers[server].not_primary_until = leases.NEVER
        state.unassigned.extend(group.waiting.drain())


def record_order(
    state: State, group: Group, server: str, order: int, out: list[Effect]
) -> None:
    """Records an order that made, or will make, a server the primary.

    Args:
      state: The state.
      group: The group.
      server: The server.
      order: The store's revision of the order.
      out: The effects.
    """
    if order <= group.order:
        return
    group.order = order
    group.ordered_primary = server
    open_orders.record(state, group, order, server)
    if state.limits.are_primaries_fenced:
        return
    if group.lease.order < order:
        primary_leases.drop(state, group, "a newer order", out)
    if server in group.servers and not group.servers[server].is_gone:
        set_primary(state, group, server, "the newest order", out)
    else:
        set_primary(state, group, "", "the newest order", out)


def highest_term(group: Group) -> int:
    """Returns the highest term that a server of a group has told."""
    term = 0
    for server in group.servers.values():
        if server.status is not None:
            term = max(term, server.status.term)
    return term


def update_fork(group: Group) -> None:
    """Notes that the newest order was carried out, once a log shows its term.

    An order that never was has abandoned nothing.
    """
    fork = group.ordered_fork
    if fork is None:
        return
    positions = []
    if group.watermarks:
        positions.append(group.watermarks[-1].position)
    for server in group.servers.values():
        if server.status is None:
            continue
        positions.append(server.status.position)
        if server.status.is_primary and server.status.term > fork.above_term:
            group.fork = fork
    if any(position.term > fork.above_term for position in positions):
        group.fork = fork


def handle_not_primary(state: State, server: Server, out: list[Effect]) -> None:
    """Handles a server's answer that it is not the primary."""
    group = find(state, server.entry.service)
    if not state.limits.are_primaries_fenced:
        if group.lease.server == server.entry.server:
            primary_leases.drop(state, group, "it refused to act", out)
        return
    server.not_primary_until = state.now + state.limits.unreachable_pause_s
    if group.primary == server.entry.server:
        set_primary(state, group, "", "it refused to act as primary", out)


def handle_primary_confirmed(
    state: State, server: Server, out: list[Effect]
) -> None:
    """Handles an answer that only a primary gives."""
    group = find(state, server.entry.service)
    if group.primary == server.entry.server:
        group.primary_expected_at = None
        return
    if not state.limits.are_primaries_fenced:
        return
    if state.is_store_up and group.primary:
        return
    set_primary(state, group, server.entry.server, "it acted as primary", out)


def record_answer(state: State, server: Server) -> None:
    """Records that a server answered."""
    server.last_answer_at = state.now
    server.unreachable_since = None
    if not server.is_unreachable:
        return
    server.is_unreachable = False
    server.avoid_until = leases.NEVER
    group = find(state, server.entry.service)
    state.unassigned.extend(group.waiting.drain())


def record_unreachable(
    state: State, server: Server, cause: str, out: list[Effect]
) -> None:
    """Records that a server could not be reached."""
    now = state.now
    server.avoid_until = now + state.limits.unreachable_pause_s
    server.is_unreachable = True
    _mark_unreachable(state, server)
    group = find(state, server.entry.service)
    if group.primary == server.entry.server:
        primary_leases.expect_primary(state, group, state.limits.failover_s)
    out.append(
        Note(
            PART,
            "server_missed",
            {
                "server": server.entry.server,
                "cause": cause,
                "reached_s_ago": round(now - server.last_answer_at, 3),
            },
        )
    )


def record_silent(state: State, server: Server, out: list[Effect]) -> None:
    """Records that a server has left a statement unanswered for a while.

    It still gets operations, but the coordinator is told to check it.
    """
    if server.unreachable_since is not None:
        return
    _mark_unreachable(state, server)
    since_s = round(state.now - server.last_answer_at, 3)
    fields = {"server": server.entry.server, "reached_s_ago": since_s}
    out.append(Note(PART, "server_silent", fields))


def _mark_unreachable(state: State, server: Server) -> None:
    """Sets since when a server is unreachable; reports a primary at once."""
    if server.unreachable_since is not None:
        return
    server.unreachable_since = state.now
    group = find(state, server.entry.service)
    if group.primary == server.entry.server:
        state.next_request_at = state.now
        state.set_timer(state.now, TimerKind.QUOTAS)


def is_usable(state: State, server: Server) -> bool:
    """Returns whether new operations may be sent to a server."""
    if server.is_gone or server.entry.is_leaving:
        return False
    return server.entry.zone not in state.evacuated_zones


def may_serve_as_primary(state: State, server: Server) -> bool:
    """Returns whether a primary may get operations that only it can run.

    During a planned switchover the old primary goes on for a short time,
    until its successor takes over, to keep the gap for callers short.
    """
    if is_usable(state, server):
        return True
    if server.is_gone or server.unusable_since is None:
        return False
    return state.now < server.unusable_since + state.limits.old_primary_grace_s


def handle_zone_change(
    state: State, zone: str, is_out: bool, out: list[Effect]
) -> None:
    """Handles that an availability zone is taken out or brought back."""
    if is_out == (zone in state.evacuated_zones):
        return
    if is_out:
        state.evacuated_zones.add(zone)
    else:
        state.evacuated_zones.discard(zone)
    out.append(Note(PART, "zone_out" if is_out else "zone_in", {"zone": zone}))
    for server in list(state.servers.values()):
        if server.entry.zone == zone:
            close_idle_if_unusable(state, server, out)


def close_idle_if_unusable(
    state: State, server: Server, out: list[Effect]
) -> None:
    """Closes idle connections to a server that gets no new operations."""
    if is_usable(state, server):
        server.unusable_since = None
        return
    if server.unusable_since is None:
        server.unusable_since = state.now
    state.unassigned.extend(server.waiting.drain())
    for connection in list(server.connections):
        if connection.status is not ConnectionStatus.IDLE:
            continue
        server.connections.remove(connection)
        del state.connections[connection.number]
        out.append(CloseConnection(connection.number))


def _update_primary(state: State, server: Server, out: list[Effect]) -> None:
    """Updates the primary after a server's entry has changed."""
    entry = server.entry
    group = find(state, entry.service)
    if group.order and not state.limits.are_primaries_fenced:
        if group.ordered_primary == entry.server:
            set_primary(state, group, entry.server, "the newest order", out)
        return
    if entry.is_primary and entry.revision > group.primary_revision:
        group.primary_revision = entry.revision
        set_primary(state, group, entry.server, "its entry", out)
        return
    if not entry.is_primary and group.primary == entry.server:
        set_primary(state, group, "", "its entry", out)


def _remove(state: State, server: Server, out: list[Effect]) -> None:
    """Removes a server from all tables."""
    group = find(state, server.entry.service)
    if group.primary == server.entry.server:
        set_primary(state, group, "", "entry gone", out)
    group.servers.pop(server.entry.server, None)
    state.servers.pop(server.entry.server, None)
