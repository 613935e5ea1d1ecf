"""Asks the coordinator for leases on primaries, and releases recalled ones."""

from cuminwall import leases
from cuminwall.direct import (
    coordination,
    groups,
    lease_grants,
    messages,
    primary_leases,
)
from cuminwall.direct.effects import Effect, SendToPeer
from cuminwall.direct.state import State, TimerKind

# The wait for a reply doubles up to this when none comes in time. Only the
# reply to the latest request counts.
MAX_REPLY_TIMEOUT_S = 1.2


def handle_new_coordinator(state: State, out: list[Effect]) -> None:
    """Asks a new coordinator at once."""
    state.lease_request.due_at = state.now
    handle_timer(state, out)


def handle_timer(state: State, out: list[Effect]) -> None:
    """Notices expired leases, and sends the next request when it is due."""
    if state.limits.are_primaries_fenced:
        return
    for group in state.groups.values():
        primary_leases.check_expiry(state, group, out)
    if state.now >= state.lease_request.due_at:
        _send_request(state, out)


def handle_reply(
    state: State, reply: messages.PrimaryLeaseReply, out: list[Effect]
) -> None:
    """Handles the leases in the reply to the latest request."""
    coordinator = state.coordinator
    request = state.lease_request
    if coordinator is None or coordinator.epoch != reply.epoch:
        return
    if reply.number != request.number:
        return
    request.is_answered = True
    until = leases.holder_expiry(request.sent_at, reply.duration_s)
    for granted in reply.leases:
        group = groups.find(state, granted.service)
        if reply.number <= group.lease.ignored_up_to_request:
            continue
        if granted.order < group.order or state.now >= until:
            continue
        server, order = granted.server, granted.order
        groups.record_order(state, group, server, order, out)
        primary_leases.extend(state, group, server, order, until, out)


def handle_recall(
    state: State,
    sender: str,
    recall: messages.PrimaryLeaseRecall,
    out: list[Effect],
) -> None:
    """Releases a lease that the coordinator recalls."""
    group = groups.find(state, recall.service)
    if group.lease.order <= recall.order:
        primary_leases.drop(state, group, "recalled", out)
    release = messages.PrimaryLeaseRelease(
        state.lease_request.number,
        state.boot,
        recall.epoch,
        recall.service,
        recall.order,
    )
    out.append(SendToPeer(sender, release))


def _send_request(state: State, out: list[Effect]) -> None:
    """Asks the coordinator for leases on all primaries."""
    request = state.lease_request
    interval_s = max(
        state.limits.share_request_interval_s, state.request_pacing.interval_s
    )
    if not request.is_answered:
        longer_s = min(MAX_REPLY_TIMEOUT_S, 2 * request.interval_s)
        interval_s = max(interval_s, longer_s)
    request.interval_s = interval_s
    request.due_at = state.now + interval_s
    state.set_timer(request.due_at, TimerKind.PRIMARY_LEASES)
    coordinator = state.coordinator
    if coordinator is None or not coordination.is_registered(state):
        # The next coordinator must know every process that may hold a lease.
        return
    request.number = state.next_number()
    request.sent_at = state.now
    request.is_answered = False
    message = messages.PrimaryLeaseRequest(
        request.number, state.boot, coordinator.epoch, _held_leases(state)
    )
    if coordinator.instance != state.instance:
        out.append(SendToPeer(coordinator.instance, message))
        return
    reply = lease_grants.handle_request(state, state.instance, message)
    if reply is not None:
        handle_reply(state, reply, out)


def _held_leases(state: State) -> tuple[messages.HeldLease, ...]:
    """Returns the leases that are valid now."""
    held = []
    for group in state.groups.values():
        if state.now < group.lease.until:
            held.append(messages.HeldLease(group.service, group.lease.order))
    return tuple(held)
