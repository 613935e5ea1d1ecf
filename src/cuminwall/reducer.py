"""The reducer: maps each event to state changes and effects.

It is deterministic: it does no I/O and uses neither a clock nor random
numbers. Events carry the time. The engine performs the effects.
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
    promotion_orders,
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
    """Applies an event to the state and returns the resulting effects."""
    state.now = event.now
    out: list[Effect] = []
    connectionshares.drop_expired(state, out)
    handle_event(event, state, out)
    return out


@functools.singledispatch
def handle_event(event: Any, state: State, out: list[Effect]) -> None:
    """Handles an event; one function for each type."""
    raise TypeError(type(event))


@functools.singledispatch
def handle_message(
    message: Any, state: State, sender: str, out: list[Effect]
) -> None:
    """Handles a message from a peer; one function for each type."""
    raise TypeError(type(message))


@handle_event.register
def _(event: events.RoundArrived, state: State, out: list[Effect]) -> None:
    session = state.sessions.get(event.session)
    service = session.login.service if session else ""
    workspace = session.login.workspace if session else ""
    max_age_s = _effective_max_age_s(state, event, service, workspace)
    request = work.RoundRequest(
        service,
        workspace,
        event.session,
        event.access,
        event.begins_transaction,
        event.ends_transaction,
        False,
        None,
        max_age_s,
        state.config.version,
    )
    sessions.handle_round(
        state, event.session, event.number, request, event.tables, out
    )


@handle_event.register
def _(event: events.HomeRoundArrived, state: State, out: list[Effect]) -> None:
    jobs.handle_round(state, event.key, event.request, out)


@handle_event.register
def _(event: events.RoundExecuted, state: State, out: list[Effect]) -> None:
    jobs.handle_result(state, event.key, event.result, out)


@handle_event.register
def _(event: events.HomeAnswered, state: State, out: list[Effect]) -> None:
    sessions.handle_home_answer(state, event.number, event.answer, out)


@handle_event.register
def _(event: events.HomeLost, state: State, out: list[Effect]) -> None:
    sessions.handle_home_lost(
        state, event.number, event.sent, event.delivered, out
    )


@handle_event.register
def _(event: events.RoundAbandoned, state: State, out: list[Effect]) -> None:
    jobs.abandon(state, event.key, out)


@handle_event.register
def _(event: events.CancelRequested, state: State, out: list[Effect]) -> None:
    jobs.cancel_waiting(state, event.pin, out)


@handle_event.register
def _(
    event: events.EntrySessionClosed, state: State, out: list[Effect]
) -> None:
    jobs.release_session(state, event.pin, out)


@handle_event.register
def _(event: events.OriginLost, state: State, out: list[Effect]) -> None:
    jobs.release_origin(state, event.origin, out)


@handle_event.register
def _(event: events.SessionOpened, state: State, out: list[Effect]) -> None:
    sessions.open_session(state, event.session, event.login, out)


@handle_event.register
def _(event: events.SessionClosed, state: State, out: list[Effect]) -> None:
    sessions.close_session(state, event.session, out)


@handle_event.register
def _(event: events.ServerProbed, state: State, out: list[Effect]) -> None:
    group = state.groups.get(event.service)
    server = group.servers.get(event.server) if group else None
    if group is None or server is None:
        return
    was_reachable = server.reachable
    was_in_recovery = server.in_recovery
    groups.apply_probe_result(
        state, group, server, event.sent_at, event.result, out
    )
    if server is group.primary:
        group.wants_watermark_since = None
    changed = was_reachable != server.reachable
    if changed or was_in_recovery != server.in_recovery:
        group.reports_changed = True
    jobs.check_replicas(state, group, out)
    jobs.retry_parked(state, group, out)


@handle_event.register
def _(event: events.PromotionFinished, state: State, out: list[Effect]) -> None:
    promotion_orders.handle_promotion_result(
        state,
        event.service,
        event.server,
        event.term,
        event.answer,
        event.fork_lsn,
        out,
    )


@handle_event.register
def _(event: events.StoreAnswered, state: State, out: list[Effect]) -> None:
    calls.handle_answer(state, event, out)


@handle_event.register
def _(event: events.StoreValueSeen, state: State, out: list[Effect]) -> None:
    relays.handle_store_value(state, event, out)


@handle_event.register
def _(event: events.ConfigLoaded, state: State, out: list[Effect]) -> None:
    if event.config.version <= state.config.version:
        return
    state.config = event.config
    out.append(Log("config", f"version {event.config.version} is in force"))
    relays.handle_config_loaded(state)
    membership.invalidate_homes(state)
    writeleases.update_groups(state, out)
    sessions.recheck_sessions(state, out)


@handle_event.register
def _(event: events.InstancesListed, state: State, out: list[Effect]) -> None:
    membership.apply_instance_list(state, event.records, out)
    writeleases.update_groups(state, out)


@handle_event.register
def _(
    event: events.PeerMessageReceived, state: State, out: list[Effect]
) -> None:
    handle_message(event.message, state, event.sender, out)


@handle_event.register
def _(event: events.DrainOrdered, state: State, out: list[Effect]) -> None:
    state.draining = True
    out.append(Log("membership", "this instance is shutting down"))
    stewards.release_all(state, out)
    sessions.recheck_sessions(state, out)


@handle_event.register
def _(event: events.Tick, state: State, out: list[Effect]) -> None:
    membership.remove_expired(state, out)
    stewards.tick(state, out)
    for stewardship in state.stewardships.values():
        if stewards.is_active(state, stewardship.shard):
            failover.tick(state, stewardship, out)
    writeleases.send_due_requests(state, out)
    sharerequests.tick(state, out)
    admission.tick(state, out)
    relays.tick(state, out)
    relays.expire(state)
    promotion_orders.expire(state)
    for group in state.groups.values():
        writeleases.finish_recall(state, group, out)
        jobs.check_replicas(state, group, out)
        jobs.retry_parked(state, group, out)
    sessions.close_unserved(state, out)


@handle_message.register
def _(
    message: messages.LeaseRequest, state: State, sender: str, out: list[Effect]
) -> None:
    stewardship = _active_stewardship(state, message.shard)
    if stewardship is not None:
        managed_groups.handle_lease_request(
            state, stewardship, sender, message, out
        )


@handle_message.register
def _(
    message: messages.LeaseReply, state: State, sender: str, out: list[Effect]
) -> None:
    writeleases.handle_reply(state, sender, message, out)


@handle_message.register
def _(
    message: messages.Recall, state: State, sender: str, out: list[Effect]
) -> None:
    writeleases.handle_recall(state, sender, message, out)


@handle_message.register
def _(
    message: messages.LeaseRelease, state: State, sender: str, out: list[Effect]
) -> None:
    stewardship = state.stewardships.get(message.shard)
    if stewardship is not None:
        managed_groups.handle_release(stewardship, sender, message)
        if stewards.is_active(state, stewardship.shard):
            failover.tick(state, stewardship, out)


@handle_message.register
def _(
    message: messages.RecordUpdate, state: State, sender: str, out: list[Effect]
) -> None:
    writeleases.apply_record(state, message.record, out)


@handle_message.register
def _(
    message: messages.PromotionOrder,
    state: State,
    sender: str,
    out: list[Effect],
) -> None:
    promotion_orders.handle_promotion_order(state, sender, message, out)


@handle_message.register
def _(
    message: messages.PermitRequest,
    state: State,
    sender: str,
    out: list[Effect],
) -> None:
    stewardship = _active_stewardship(state, message.shard)
    if stewardship is not None:
        failover.handle_permit_request(state, stewardship, sender, message, out)


@handle_message.register
def _(
    message: messages.PermitGrant, state: State, sender: str, out: list[Effect]
) -> None:
    promotion_orders.handle_permit_grant(state, sender, message, out)


@handle_message.register
def _(
    message: messages.PromotionReport,
    state: State,
    sender: str,
    out: list[Effect],
) -> None:
    stewardship = _active_stewardship(state, message.shard)
    if stewardship is not None:
        failover.handle_promotion_report(state, stewardship, message, out)


@handle_message.register
def _(
    message: messages.PromiseRequest,
    state: State,
    sender: str,
    out: list[Effect],
) -> None:
    stewards.handle_promise_request(state, sender, message, out)


@handle_message.register
def _(
    message: messages.PromiseReply,
    state: State,
    sender: str,
    out: list[Effect],
) -> None:
    stewards.handle_promise_reply(state, sender, message)


@handle_message.register
def _(
    message: messages.RelayRequest, state: State, sender: str, out: list[Effect]
) -> None:
    relays.handle_request(state, sender, message, out)


@handle_message.register
def _(
    message: messages.RelayReply, state: State, sender: str, out: list[Effect]
) -> None:
    relays.handle_reply(state, sender, message, out)


@handle_message.register
def _(
    message: messages.ShareRequest, state: State, sender: str, out: list[Effect]
) -> None:
    stewardship = _active_stewardship(state, message.shard)
    if stewardship is not None:
        sharelending.handle_request(state, stewardship, sender, message, out)


@handle_message.register
def _(
    message: messages.ShareReply, state: State, sender: str, out: list[Effect]
) -> None:
    sharerequests.handle_reply(state, message, out)
    admission.handle_reply(state, out)


def _active_stewardship(state: State, shard: int) -> Stewardship | None:
    """Returns the stewardship of a shard if this instance may act on it."""
    if not stewards.is_active(state, shard):
        return None
    return state.stewardships[shard]


def _effective_max_age_s(
    state: State,
    event: events.RoundArrived,
    service: str,
    workspace: str,
) -> float | None:
    """Returns the maximum age that both the rules and the caller allow."""
    if event.access != work.Access.READ:
        return None
    allowed_s = state.config.max_age_for(service, workspace, event.tables)
    if not allowed_s:
        return None
    if event.max_age_s is None:
        return allowed_s
    return min(allowed_s, event.max_age_s)
