"""Executes a steward's order to promote a backend server; runs at a home.

An order may be delayed on its way, so the home first requests a permit from
the steward. It promotes the server only while the permit is valid; the
validity counts from before the request.
"""

from cuminwall import leases, messages, probes
from cuminwall.effects import Effect, Log, Promote, Say
from cuminwall.state import State

PREFIX = "failover"


def ordered(
    state: State,
    sender: str,
    order: messages.PromoteOrder,
    out: list[Effect],
) -> None:
    """Requests a permit for an order."""
    number = state.next_number()
    state.permit_asks[number] = (sender, state.now, order)
    request = messages.PermitAsk(
        number, order.shard, order.service, order.server, order.term
    )
    out.append(Say(sender, request))


def permitted(
    state: State,
    sender: str,
    grant: messages.PermitGrant,
    out: list[Effect],
) -> None:
    """Promotes the server if the permit is still valid."""
    request = state.permit_asks.pop(grant.number, None)
    if request is None or request[0] != sender:
        return
    not_after = leases.held_until(request[1], grant.duration_s)
    if state.now >= not_after:
        return
    state.orders[(grant.service, grant.term)] = request[2], sender
    out.append(Promote(grant.service, grant.server, grant.term, not_after))
    text = f"{grant.service} term {grant.term}: promoting {grant.server}"
    out.append(Log(PREFIX, text))


def ran(
    state: State,
    service: str,
    server: str,
    term: int,
    answer: probes.ProbeAnswer | None,
    fork_lsn: int,
    out: list[Effect],
) -> None:
    """Reports the result of a promotion to the steward."""
    found = state.orders.pop((service, term), None)
    if found is None:
        return
    order, steward = found
    done = answer is not None and not answer.in_recovery
    timeline = answer.timeline if answer is not None else 0
    report = messages.PromoteReport(
        order.shard, service, server, term, done, timeline, fork_lsn
    )
    out.append(Say(steward, report))


def expire(state: State) -> None:
    """Drops permit requests that were not answered in time."""
    for number, request in list(state.permit_asks.items()):
        if state.now - request[1] > state.times.permit_s:
            del state.permit_asks[number]
