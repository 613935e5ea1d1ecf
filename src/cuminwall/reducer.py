"""The one reducer: every event goes in here, effects come out as data.

It does no I/O and knows no clock and no random numbers; time comes in with
the events. The engine carries the effects out.
"""

import functools
from typing import Any

from cuminwall import (
    admission,
    calls,
    connectionshares,
    events,
    failover,
    groups,
    jobs,
    managed_groups,
    membership,
    messages,
    orders,
    relays,
    sessions,
    sharelending,
    sharerequests,
    stewards,
    work,
    writeleases,
)
from cuminwall.effects import Effect, Log
from cuminwall.state import State, Stewardship


def reduce(state: State, event: events.Event) -> list[Effect]:
    """Takes in one event and returns what is to be done."""
    state.now = event.now
    out: list[Effect] = []
    connectionshares.drop_expired(state, out)
    handle(event, state, out)
    return out


@functools.singledispatch
def handle(event: Any, state: State, out: list[Effect]) -> None:
    """Takes in one event; one function for each type."""
    raise TypeError(type(event))


@functools.singledispatch
def hear(message: Any, state: State, sender: str, out: list[Effect]) -> None:
    """Takes in a peer's message; one function for each type."""
    raise TypeError(type(message))


@handle.register
def _(event: events.RoundArrived, state: State, out: list[Effect]) -> None:
    session = state.sessions.get(event.session)
    service = session.login.service if session else ""
    workspace = session.login.workspace if session else ""
    max_age_s = _effective_max_age_s(state, event, service, workspace)
    order = work.WorkOrder(
        service,
        workspace,
        event.session,
        event.access,
        event.begins,
        event.ends_transaction,
        False,
        None,
        max_age_s,
        state.config.version,
    )
    sessions.round_arrived(
        state, event.session, event.number, order, event.tables, out
    )


@handle.register
def _(event: events.WorkArrived, state: State, out: list[Effect]) -> None:
    jobs.arrive(state, event.key, event.order, out)


@handle.register
def _(event: events.WorkRan, state: State, out: list[Effect]) -> None:
    jobs.ran(state, event.key, event.result, out)


@handle.register
def _(event: events.WorkAnswered, state: State, out: list[Effect]) -> None:
    sessions.answered(state, event.number, event.answer, out)


@handle.register
def _(event: events.HomeLost, state: State, out: list[Effect]) -> None:
    sessions.home_lost(state, event.number, event.sent, event.delivered, out)


@handle.register
def _(event: events.WorkAbandoned, state: State, out: list[Effect]) -> None:
    jobs.abandon(state, event.key, out)


@handle.register
def _(event: events.CancelAsked, state: State, out: list[Effect]) -> None:
    jobs.cancel_waiting(state, event.pin, out)


@handle.register
def _(event: events.PinReleased, state: State, out: list[Effect]) -> None:
    jobs.release_session(state, event.pin, out)


@handle.register
def _(event: events.OriginLost, state: State, out: list[Effect]) -> None:
    jobs.release_origin(state, event.origin, out)


@handle.register
def _(event: events.SessionOpened, state: State, out: list[Effect]) -> None:
    sessions.open_session(state, event.session, event.login, out)


@handle.register
def _(event: events.SessionClosed, state: State, out: list[Effect]) -> None:
    sessions.close_session(state, event.session, out)


@handle.register
def _(event: events.ServerProbed, state: State, out: list[Effect]) -> None:
    group = state.groups.get(event.service)
    server = group.servers.get(event.server) if group else None
    if group is None or server is None:
        return
    was_reachable = server.reachable
    was_in_recovery = server.in_recovery
    groups.probed(state, group, server, event.sent_at, event.result, out)
    if server is group.primary:
        group.wants_mark_since = None
    changed = was_reachable != server.reachable
    if changed or was_in_recovery != server.in_recovery:
        group.reports_changed = True
    jobs.check_replicas(state, group, out)
    jobs.retry_parked(state, group, out)


@handle.register
def _(event: events.PromotionRan, state: State, out: list[Effect]) -> None:
    orders.ran(
        state,
        event.service,
        event.server,
        event.term,
        event.answer,
        event.fork_lsn,
        out,
    )


@handle.register
def _(event: events.StoreAnswered, state: State, out: list[Effect]) -> None:
    calls.answered(state, event, out)


@handle.register
def _(event: events.FactSeen, state: State, out: list[Effect]) -> None:
    relays.fact_seen(state, event, out)


@handle.register
def _(event: events.ConfigLoaded, state: State, out: list[Effect]) -> None:
    if event.config.version <= state.config.version:
        return
    state.config = event.config
    out.append(Log("config", f"version {event.config.version} is in force"))
    relays.loaded(state)
    membership.forget_homes(state)
    writeleases.update_groups(state, out)
    sessions.find_unserved(state, out)


@handle.register
def _(event: events.InstancesListed, state: State, out: list[Effect]) -> None:
    membership.update(state, event.records, out)
    writeleases.update_groups(state, out)


@handle.register
def _(event: events.PeerSaid, state: State, out: list[Effect]) -> None:
    hear(event.message, state, event.sender, out)


@handle.register
def _(event: events.DrainOrdered, state: State, out: list[Effect]) -> None:
    state.draining = True
    out.append(Log("membership", "this instance leaves"))
    stewards.leave(state, out)
    sessions.find_unserved(state, out)


@handle.register
def _(event: events.Tick, state: State, out: list[Effect]) -> None:
    membership.expire(state, out)
    stewards.tick(state, out)
    for hold in state.stewardships.values():
        if stewards.is_active(state, hold.shard):
            failover.tick(state, hold, out)
    writeleases.send_due_requests(state, out)
    sharerequests.tick(state, out)
    admission.tick(state, out)
    relays.tick(state, out)
    relays.expire(state)
    orders.expire(state)
    for group in state.groups.values():
        writeleases.finish_recall(state, group, out)
        jobs.check_replicas(state, group, out)
        jobs.retry_parked(state, group, out)
    sessions.close_unserved(state, out)


@hear.register
def _(
    message: messages.LeaseRequest, state: State, sender: str, out: list[Effect]
) -> None:
    hold = _active_hold(state, message.shard)
    if hold is not None:
        managed_groups.handle_lease_request(state, hold, sender, message, out)


@hear.register
def _(
    message: messages.LeaseReply, state: State, sender: str, out: list[Effect]
) -> None:
    writeleases.handle_reply(state, sender, message, out)


@hear.register
def _(
    message: messages.Recall, state: State, sender: str, out: list[Effect]
) -> None:
    writeleases.handle_recall(state, sender, message, out)


@hear.register
def _(
    message: messages.LeaseRelease, state: State, sender: str, out: list[Effect]
) -> None:
    hold = state.stewardships.get(message.shard)
    if hold is not None:
        managed_groups.handle_release(hold, sender, message)
        if stewards.is_active(state, hold.shard):
            failover.tick(state, hold, out)


@hear.register
def _(
    message: messages.RecordUpdate, state: State, sender: str, out: list[Effect]
) -> None:
    writeleases.apply_record(state, message.record, out)


@hear.register
def _(
    message: messages.PromoteOrder,
    state: State,
    sender: str,
    out: list[Effect],
) -> None:
    orders.ordered(state, sender, message, out)


@hear.register
def _(
    message: messages.PermitAsk, state: State, sender: str, out: list[Effect]
) -> None:
    hold = _active_hold(state, message.shard)
    if hold is not None:
        failover.permit_asked(state, hold, sender, message, out)


@hear.register
def _(
    message: messages.PermitGrant, state: State, sender: str, out: list[Effect]
) -> None:
    orders.permitted(state, sender, message, out)


@hear.register
def _(
    message: messages.PromoteReport,
    state: State,
    sender: str,
    out: list[Effect],
) -> None:
    hold = _active_hold(state, message.shard)
    if hold is not None:
        failover.reported(state, hold, message, out)


@hear.register
def _(
    message: messages.PromiseAsk, state: State, sender: str, out: list[Effect]
) -> None:
    stewards.promise_asked(state, sender, message, out)


@hear.register
def _(
    message: messages.PromiseAnswer,
    state: State,
    sender: str,
    out: list[Effect],
) -> None:
    stewards.promise_answered(state, sender, message)


@hear.register
def _(
    message: messages.RelayAsk, state: State, sender: str, out: list[Effect]
) -> None:
    relays.asked(state, sender, message, out)


@hear.register
def _(
    message: messages.RelayAnswer, state: State, sender: str, out: list[Effect]
) -> None:
    relays.answered(state, sender, message, out)


@hear.register
def _(
    message: messages.ShareRequest, state: State, sender: str, out: list[Effect]
) -> None:
    hold = _active_hold(state, message.shard)
    if hold is not None:
        sharelending.handle_request(state, hold, sender, message, out)


@hear.register
def _(
    message: messages.ShareReply, state: State, sender: str, out: list[Effect]
) -> None:
    sharerequests.handle_reply(state, message, out)
    admission.handle_reply(state, out)


def _active_hold(state: State, shard: int) -> Stewardship | None:
    """Returns the hold on a shard if this instance may act on it."""
    if not stewards.is_active(state, shard):
        return None
    return state.stewardships[shard]


def _effective_max_age_s(
    state: State,
    event: events.RoundArrived,
    service: str,
    workspace: str,
) -> float | None:
    """Returns the age that both the operators and the caller accept."""
    if event.access != work.Access.READ:
        return None
    allowed_s = state.config.max_age_for(service, workspace, event.tables)
    if not allowed_s:
        return None
    if event.max_age_s is None:
        return allowed_s
    return min(allowed_s, event.max_age_s)
