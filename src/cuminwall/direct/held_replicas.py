"""Replicas that receive no commits while a new primary is being chosen."""

from cuminwall import leases
from cuminwall.direct import inquiries, open_orders
from cuminwall.direct.effects import Effect
from cuminwall.direct.servers_state import Group
from cuminwall.direct.state import State

CHECK_S = 1.0  # Between questions to a server that does not answer.


def release_abandoned(state: State, group: Group, out: list[Effect]) -> None:
    """Releases replicas that were held for a change that did not happen.

    A former coordinator may have held them, too. A promotion releases them by
    itself; until it has happened, they must stay held.
    """
    lender_ = state.lender
    led_since = state.primary_watch.led_since.get(group.service, leases.NEVER)
    since = led_since + state.limits.promotion_retry_s
    if lender_ is None or state.now < since:
        return
    since = max(since, lender_.started_at)
    for server in group.servers.values():
        if server.is_gone or server.entry.server == group.primary:
            continue
        if not open_orders.may_receive(state, group, server):
            continue
        if server.status is not None and server.status_asked_at >= since:
            if server.status.held_term:
                inquiries.release(state, server, out)
        elif state.now >= server.status_asked_at + CHECK_S:
            inquiries.query_status(state, server, out)


def release(state: State, group: Group, out: list[Effect]) -> None:
    """Lets replicas receive commits again that a change has held."""
    for server in group.servers.values():
        if not open_orders.may_receive(state, group, server):
            continue
        if server.status is not None and server.status.held_term:
            inquiries.release(state, server, out)
