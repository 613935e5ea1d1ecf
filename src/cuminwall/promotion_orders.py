"""Carrying out a steward's order to promote a backend server, at a home.

Between order and act time may pass unseen, so the home asks once more and
acts only while the permit stands, counted from before that question.
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
    """Asks whether an order still stands."""
    number = state.next_number()
    state.permit_requests[number] = (sender, state.now, order)
    ask = messages.PermitRequest(
        number, order.shard, order.service, order.server, order.term
    )
    out.append(SendToPeer(sender, ask))


def handle_permit_grant(
    state: State,
    sender: str,
    grant: messages.PermitGrant,
    out: list[Effect],
) -> None:
    """Promotes the server while the permit stands."""
    asked = state.permit_requests.pop(grant.number, None)
    if asked is None or asked[0] != sender:
        return
    not_after = leases.holder_expiry(asked[1], grant.duration_s)
    if state.now >= not_after:
        return
    state.promotion_orders[(grant.service, grant.term)] = asked[2], sender
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
    """Reports to the steward how the promotion ended."""
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
    """Forgets questions that were never answered."""
    for number, asked in list(state.permit_requests.items()):
        if state.now - asked[1] > state.times.permit_s:
            del state.permit_requests[number]
