"""Executes a steward's order to promote a backend server; runs at a home.

An order may be delayed on its way, so the home first requests a permit from
the steward. It promotes the server only while the permit is valid; the
validity counts from before the request.
"""

from cuminwall import leases, messages, probes
from cuminwall.effects import Effect, Log, Promote, SendToPeer
from cuminwall.state import State

PREFIX = "failover"


def handle_promotion_order(
    state: State,
    sender: str,
    order: messages.PromotionOrder,
    out: list[Effect],
) -> None:
    """Requests a permit for an order."""
    number = state.next_number()
    state.permit_requests[number] = (sender, state.now, order)
    request = messages.PermitRequest(
        number, order.shard, order.service, order.server, order.term
    )
    out.append(SendToPeer(sender, request))


def handle_permit_grant(
    state: State,
    sender: str,
    grant: messages.PermitGrant,
    out: list[Effect],
) -> None:
    """Promotes the server if the permit is still valid."""
    request = state.permit_requests.pop(grant.number, None)
    if request is None or request[0] != sender:
        return
    not_after = leases.holder_expiry(request[1], grant.duration_s)
    if state.now >= not_after:
        return
    state.promotion_orders[(grant.service, grant.term)] = request[2], sender
    out.append(Promote(grant.service, grant.server, grant.term, not_after))
    text = f"{grant.service} term {grant.term}: promoting {grant.server}"
    out.append(Log(PREFIX, text))


def handle_promotion_result(
    state: State,
    service: str,
    server: str,
    term: int,
    answer: probes.ProbeAnswer | None,
    fork_lsn: int,
    out: list[Effect],
) -> None:
    """Reports the result of a promotion to the steward."""
    found = state.promotion_orders.pop((service, term), None)
    if found is None:
        return
    order, steward = found
    done = answer is not None and not answer.in_recovery
    timeline = answer.timeline if answer is not None else 0
    report = messages.PromotionReport(
        order.shard, service, server, term, done, timeline, fork_lsn
    )
    out.append(SendToPeer(steward, report))


def expire(state: State) -> None:
    """Drops permit requests that were not answered in time."""
    for number, request in list(state.permit_requests.items()):
        if state.now - request[1] > state.times.permit_s:
            del state.permit_requests[number]
