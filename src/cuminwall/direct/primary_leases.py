"""Leases on primaries, as this instance uses them.

Where a replaced primary does not refuse to act as one, an instance uses a
primary only under a lease from the coordinator. The coordinator orders another
primary only when every lease was released or has expired, so at no time are two
servers used as the primary of a service.

A lease is checked when a statement is sent, and again before a write is
acknowledged: until then the server may have been replaced.
"""

from cuminwall import leases
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.servers_state import Group, Server
from cuminwall.direct.state import State, TimerKind

PART = "primary_leases"


def is_held(state: State, group: Group, server: Server) -> bool:
    """Returns whether a server may be used as the primary now."""
    if state.limits.are_primaries_fenced:
        return True
    lease = group.lease
    return lease.server == server.entry.server and state.now < lease.until


def is_still_held(
    state: State, group: Group, server: Server, order: int
) -> bool:
    """Returns whether a server was used as the primary ever since an order."""
    if state.limits.are_primaries_fenced:
        return True
    return group.lease.order == order and is_held(state, group, server)


def extend(
    state: State,
    group: Group,
    server: str,
    order: int,
    until: float,
    out: list[Effect],
) -> None:
    """Takes a lease, or extends the one that is held."""
    lease = group.lease
    is_new = state.now >= lease.until or lease.order != order
    lease.server = server
    lease.order = order
    lease.until = until
    lease.has_expired = False
    state.set_timer(until, TimerKind.PRIMARY_LEASES)
    if not is_new:
        return
    fields = {
        "service": group.service,
        "server": server,
        "order": order,
        "for_s": round(until - state.now, 3),
    }
    out.append(Note(PART, "granted", fields))
    group.primary_expected_at = None
    state.unassigned.extend(group.waiting.drain())


def drop(state: State, group: Group, cause: str, out: list[Effect]) -> None:
    """Stops relying on a lease, also on one that may be on its way."""
    lease = group.lease
    lease.ignored_up_to_request = state.lease_request.number
    if lease.until == leases.NEVER:
        return
    lease.until = leases.NEVER
    _log_end(state, group, cause, out)


def check_expiry(state: State, group: Group, out: list[Effect]) -> None:
    """Notices that a lease has expired."""
    lease = group.lease
    if lease.until == leases.NEVER or state.now < lease.until:
        return
    lease.until = leases.NEVER
    lease.has_expired = True
    _log_end(state, group, "expired", out)


def expect_primary(state: State, group: Group, within_s: float) -> None:
    """Sets by when a lost primary should be replaced, unless already set."""
    if group.primary_expected_at is None:
        group.primary_expected_at = state.now + within_s


def _log_end(state: State, group: Group, cause: str, out: list[Effect]) -> None:
    """Logs the end of a lease; another is expected like a new primary."""
    fields = {
        "service": group.service,
        "server": group.lease.server,
        "order": group.lease.order,
        "cause": cause,
        "requested_s_ago": round(state.now - state.lease_request.sent_at, 3),
    }
    out.append(Note(PART, "ended", fields))
    expect_primary(state, group, state.limits.failover_s)
