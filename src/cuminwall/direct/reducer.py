"""The reducer: maps each event to changes of the state and to effects.

It does no I/O and reads no clock or random numbers; the time comes with the
events. The engine performs the effects.
"""

import functools
import heapq
from typing import Any

from cuminwall.direct import (
    connections,
    coordination,
    dispatch,
    events,
    failover,
    groups,
    holds,
    inquiries,
    lease_grants,
    lease_requests,
    lender,
    membership,
    messages,
    open_orders,
    primary_checks,
    primary_orders,
    quotas,
    results,
    retries,
    sessions,
    shutdown,
    store_view,
    timers,
    usage_clock,
    usage_reports,
    workload,
)
from cuminwall.direct.answers import Answer
from cuminwall.direct.catalog import Catalog
from cuminwall.direct.effects import Effect, Note, SendToPeer
from cuminwall.direct.servers_state import AnswerKind, Connection
from cuminwall.direct.state import State, SwapPurpose

PART = "config"

MAX_LIMITS_LOGGED = 100  # Workspaces in one log line.

_MAX_REVISION = 1 << 62  # Above every revision of the store.


def reduce(state: State, event: events.Event) -> list[Effect]:
    """Handles one event and returns the effects to perform."""
    state.now = event.now
    out: list[Effect] = []
    handle(event, state, out)
    run_unblocked(state, out)
    return out


def run_unblocked(state: State, out: list[Effect]) -> None:
    """Continues the operations and sessions that an event has unblocked."""
    while state.unassigned or state.ready_sessions or state.freed_servers:
        while state.unassigned:
            dispatch.assign(state, state.unassigned.popleft(), out)
        while state.freed_servers:
            dispatch.run_waiting(state, state.freed_servers.pop(), out)
        if state.ready_sessions:
            sessions.advance(state, state.ready_sessions.popleft(), out)


@functools.singledispatch
def handle(event: Any, state: State, out: list[Effect]) -> None:
    """Handles one event; each type has its own function."""
    raise TypeError(type(event))


@handle.register
def _(event: events.CallerArrived, state: State, out: list[Effect]) -> None:
    sessions.handle_caller_arrived(
        state, event.session, event.database, event.key, out
    )


@handle.register
def _(event: events.StatementArrived, state: State, out: list[Effect]) -> None:
    sessions.handle_statement(state, event.session, event.statement, out)


@handle.register
def _(event: events.CallerLeft, state: State, out: list[Effect]) -> None:
    sessions.handle_caller_left(state, event.session, out)


@handle.register
def _(event: events.ConnectionOpened, state: State, out: list[Effect]) -> None:
    inquiry = state.inquiries.get(event.connection)
    if inquiry is not None:
        inquiries.handle_opened(state, inquiry, out)
        return
    connection = state.connections.get(event.connection)
    if connection is None:
        return
    groups.record_answer(state, connection.server)
    connection.server.refusals = 0
    connections.set_idle(state, connection)
    dispatch.run_waiting(state, connection.server, out)


@handle.register
def _(event: events.CommandAnswered, state: State, out: list[Effect]) -> None:
    inquiry = state.inquiries.get(event.connection)
    if inquiry is not None:
        inquiries.handle_answer(state, inquiry, event.answer, out)
        return
    connection = state.connections.get(event.connection)
    if connection is None or not connection.pending_answers:
        return
    groups.record_answer(state, connection.server)
    expected = connection.pending_answers.popleft()
    _handle_answer(state, connection, expected, event.answer, out)


@handle.register
def _(event: events.ConnectionEnded, state: State, out: list[Effect]) -> None:
    inquiry = state.inquiries.get(event.connection)
    if inquiry is not None:
        inquiries.handle_failure(state, inquiry, event.failure is not None, out)
        return
    connection = state.connections.get(event.connection)
    if connection is None:
        return
    retries.handle_connection_end(
        state, connection, event.failure, event.is_refused, out
    )


@handle.register
def _(event: events.CatalogSeen, state: State, out: list[Effect]) -> None:
    if event.catalog.version <= state.catalog.version:
        return
    before = state.catalog
    state.catalog = event.catalog
    state.store_view.config_behind_since = None
    fields = {
        "version": event.catalog.version,
        "before": before.version,
        "revision": event.revision,
        "limits": _changed_limits(before, event.catalog),
    }
    out.append(Note(PART, "in_force", fields))
    sessions.handle_new_catalog(state, out)


@handle.register
def _(event: events.ServerSeen, state: State, out: list[Effect]) -> None:
    groups.handle_entry(state, event.entry, out)


@handle.register
def _(event: events.ServerGone, state: State, out: list[Effect]) -> None:
    groups.handle_entry_removed(state, event.server, out)


@handle.register
def _(event: events.EvacuationSeen, state: State, out: list[Effect]) -> None:
    groups.handle_zone_change(state, event.zone, event.is_out, out)


@handle.register
def _(event: events.SnapshotRead, state: State, out: list[Effect]) -> None:
    state.snapshot_count += 1
    for server in list(state.servers):
        if server not in event.servers:
            groups.handle_entry_removed(state, server, out)
    for zone in list(state.evacuated_zones):
        if zone not in event.zones:
            groups.handle_zone_change(state, zone, False, out)
    for name, revision in list(state.shared_revisions.items()):
        if name in event.shared or revision > event.revision:
            # A value that is newer was written while the store was read.
            continue
        removal = events.SharedValueSeen(event.now, name, None, _MAX_REVISION)
        handle(removal, state, out)
    membership.register(state, out)
    usage_clock.request_reading(state, out)
    if state.coordinator is None:
        coordination.handle_coordinator_value(state, None, 0, out)


@handle.register
def _(
    event: events.StoreStatusReported, state: State, out: list[Effect]
) -> None:
    if state.is_store_up == event.is_up:
        return
    state.is_store_up = event.is_up
    name = "regained" if event.is_up else "lost"
    out.append(Note("store", name, {"cause": event.cause}))
    if event.is_up:
        state.store_up_since = state.now
    else:
        holds.handle_store_lost(state, out)
        sessions.open_awaiting(state, out)
        state.had_outage = True
        for group in state.groups.values():
            state.unassigned.extend(group.waiting.drain())


@handle.register
def _(event: events.ChangesRead, state: State, out: list[Effect]) -> None:
    store_view.record_answer(state, event)
    holds.handle_answer(state, out)
    sessions.open_awaiting(state, out)


@handle.register
def _(event: events.ChangeMissed, state: State, out: list[Effect]) -> None:
    store_view.record_missed(event, out)


@handle.register
def _(event: events.WatchRestarted, state: State, out: list[Effect]) -> None:
    store_view.record_restart(event, out)


@handle.register
def _(event: events.SharedValueSeen, state: State, out: list[Effect]) -> None:
    known = state.shared_revisions.get(event.name, 0)
    if event.revision < known:
        return
    state.shared_revisions[event.name] = event.revision
    if event.value is None:
        state.shared_revisions.pop(event.name)
    if event.name.startswith(membership.RECORD_PREFIX):
        membership.handle_record(
            state, event.name, event.value, event.revision, out
        )
        coordination.handle_member_change(state, out)
        lender.update_recovery(state, out)
        membership.register(state, out)
    elif event.name == membership.SECRET_NAME:
        membership.handle_secret(state, event.value, out)
    elif event.name == coordination.EPOCH_NAME:
        state.epoch = max(state.epoch, int(event.value or b"0"))
    elif event.name == coordination.COORDINATOR_NAME:
        coordination.handle_coordinator_value(
            state, event.value, event.revision, out
        )
        quotas.handle_new_coordinator(state, out)
        lease_requests.handle_new_coordinator(state, out)
    elif event.name.startswith(primary_orders.ORDER_PREFIX):
        service = event.name.removeprefix(primary_orders.ORDER_PREFIX)
        primary_orders.handle_order(
            state, service, event.value, event.revision, out
        )
    elif event.name.startswith(open_orders.SETTLED_PREFIX):
        service = event.name.removeprefix(open_orders.SETTLED_PREFIX)
        group = groups.find(state, service)
        open_orders.handle_settled(group, event.value)
    elif event.name == usage_reports.RECORD_NAME:
        usage_reports.handle_record(state, event.value, out)


@handle.register
def _(event: events.SwapFinished, state: State, out: list[Effect]) -> None:
    swap = state.pending_swaps.pop(event.number, None)
    if swap is None:
        return
    if event.revision:
        for name in swap.names:
            known = state.shared_revisions.get(name, 0)
            state.shared_revisions[name] = max(known, event.revision)
    if swap.purpose is SwapPurpose.COORDINATE and event.revision:
        coordination.handle_claim_written(state)
    if swap.purpose is SwapPurpose.ORDER and coordination.is_coordinator(state):
        service = swap.names[0].removeprefix(primary_orders.ORDER_PREFIX)
        failover.handle_order_written(state, service, event.revision, out)
    if swap.purpose is SwapPurpose.USAGE and coordination.is_coordinator(state):
        usage_reports.handle_written(state, event.revision, out)


@handle.register
def _(event: events.LeaseCallFinished, state: State, out: list[Effect]) -> None:
    coordination.handle_lease_result(
        state, event.lease, event.sent_at, event.ttl_s, out
    )


@handle.register
def _(event: events.PromotionFinished, state: State, out: list[Effect]) -> None:
    failover.handle_promotion_outcome(
        state,
        event.service,
        event.server,
        event.fencing_token,
        event.outcome,
        out,
    )


@handle.register
def _(
    event: events.UsageReportFinished, state: State, out: list[Effect]
) -> None:
    usage_reports.handle_outcome(
        state, event.window, event.fencing_token, event.outcome, out
    )


@handle.register
def _(event: events.ClockRead, state: State, out: list[Effect]) -> None:
    del out
    usage_clock.handle_reading(state, event.wall_s)


@handle.register
def _(
    event: events.PeerMessageReceived, state: State, out: list[Effect]
) -> None:
    if isinstance(event.message, messages.ShareRequest):
        if state.lender is not None:
            primary_checks.record_unreachable_servers(
                state, event.sender, event.message.unreachable
            )
            store_view.check_config_version(
                state, event.message.config_version, out
            )
            grants = lender.handle_share_request(
                state, event.sender, event.message, out
            )
            workload.record_request(
                state, event.message, event.size, grants is not None
            )
            if grants is not None:
                out.append(SendToPeer(event.sender, grants))
    elif isinstance(event.message, messages.ShareReply):
        quotas.handle_share_reply(state, event.message, out)
        store_view.handle_reply(state, event.message, out)
        holds.handle_confirmation(state, out)
        sessions.open_awaiting(state, out)
        store_view.check_config_version(
            state, event.message.config_version, out
        )
    elif isinstance(event.message, messages.FindCoordinator):
        coordination.handle_find_coordinator(
            state, event.sender, event.message, out
        )
    elif isinstance(event.message, messages.CoordinatorInfo):
        if coordination.handle_coordinator_info(
            state, event.sender, event.message, out
        ):
            quotas.handle_new_coordinator(state, out)
            lease_requests.handle_new_coordinator(state, out)
    else:
        _handle_lease_message(event.message, event.sender, state, out)


@functools.singledispatch
def _handle_lease_message(
    message: Any, sender: str, state: State, out: list[Effect]
) -> None:
    """Handles a peer's message about leases on primaries."""
    fields = {"peer": sender, "type": type(message).__name__}
    out.append(Note("fleet", "unexpected_message", fields))


@_handle_lease_message.register
def _(
    message: messages.PrimaryLeaseRequest,
    sender: str,
    state: State,
    out: list[Effect],
) -> None:
    reply = lease_grants.handle_request(state, sender, message)
    if reply is not None:
        out.append(SendToPeer(sender, reply))


@_handle_lease_message.register
def _(
    message: messages.PrimaryLeaseReply,
    sender: str,
    state: State,
    out: list[Effect],
) -> None:
    lease_requests.handle_reply(state, message, out)


@_handle_lease_message.register
def _(
    message: messages.PrimaryLeaseRecall,
    sender: str,
    state: State,
    out: list[Effect],
) -> None:
    lease_requests.handle_recall(state, sender, message, out)


@_handle_lease_message.register
def _(
    message: messages.PrimaryLeaseRelease,
    sender: str,
    state: State,
    out: list[Effect],
) -> None:
    lease_grants.handle_release(state, sender, message)


@_handle_lease_message.register
def _(
    message: messages.PrimaryLeaseOffer,
    sender: str,
    state: State,
    out: list[Effect],
) -> None:
    if state.coordinator is not None:
        if state.coordinator.epoch == message.epoch:
            lease_requests.handle_new_coordinator(state, out)


@handle.register
def _(event: events.ShutdownRequested, state: State, out: list[Effect]) -> None:
    shutdown.begin(state, out)


@handle.register
def _(event: events.TimersDue, state: State, out: list[Effect]) -> None:
    if state.timers and state.timers[0].due_at <= state.now:
        workload.record_timer_delay(state, state.timers[0].due_at)
    # A timer that a handler sets for a time in the past fires with the next
    # event. Each stays set until its turn, in case handling one fails.
    last_order = state.last_number
    while state.timers and state.timers[0].due_at <= state.now:
        if state.timers[0].order > last_order:
            return
        timer = heapq.heappop(state.timers)
        timers.handle_timer(state, timer, out)
        run_unblocked(state, out)


def _changed_limits(
    before: Catalog, after: Catalog
) -> dict[str, tuple[float, float]]:
    """Returns the rate and burst of workspaces whose limits have changed."""
    changed: dict[str, tuple[float, float]] = {}
    for name, workspace in after.workspaces.items():
        known = before.workspaces.get(name)
        if known is not None and known.rate == workspace.rate:
            if known.burst == workspace.burst:
                continue
        if len(changed) >= MAX_LIMITS_LOGGED:
            break
        changed[name] = (workspace.rate, workspace.burst)
    return changed


def _handle_answer(
    state: State,
    connection: Connection,
    expected: AnswerKind,
    answer: Answer,
    out: list[Effect],
) -> None:
    """Handles the answer to one command of a connection."""
    if expected is AnswerKind.PREPARATION:
        if answer.failure is not None:
            _close_unreliable(state, connection, out)
        return
    is_statement = expected is AnswerKind.STATEMENT
    if is_statement and answer.failure is None and not answer.completion:
        # Without a proof it is no server's answer to a read, write or commit.
        # That answer was lost, and this one is to a later command.
        _close_unreliable(state, connection, out)
        return
    if expected is AnswerKind.BEGIN:
        results.handle_transaction_opened(state, connection, answer, out)
    elif expected is AnswerKind.STATEMENT:
        results.handle_statement_answered(state, connection, answer, out)
    elif expected is AnswerKind.END:
        results.handle_transaction_ended(state, connection, answer, out)


def _close_unreliable(
    state: State, connection: Connection, out: list[Effect]
) -> None:
    """Closes a connection whose statement has no answer that may be used."""
    connections.close(state, connection, out)
    retries.handle_connection_end(state, connection, None, False, out)
