"""Leases on primaries, as the coordinator that grants and recalls them.

A new coordinator does not know what its predecessor has granted. Every process
that has not asked it yet may still hold a lease, until none that an earlier
coordinator could have granted is valid any more.

Without its own lease in the store, a coordinator only extends the leases that
it granted before, and only while two thirds of the instances support it. A
successor waits until more than half of them have left it. Both sides count
messages by when they were sent, so a message that is held up on its way counts
as old.
"""

from cuminwall import leases
from cuminwall.direct import (
    follower,
    groups,
    lender,
    membership,
    messages,
    primary_leases,
)
from cuminwall.direct.effects import Effect, Note, SendToPeer
from cuminwall.direct.fleet_state import Coordinator, LeaseGrants
from cuminwall.direct.servers_state import Group
from cuminwall.direct.state import State, TimerKind

PART = "lease_grants"

# Of the instances, for a coordinator whose lease in the store may have expired.
# With more than half at its successor the two can't both have enough, even if
# the fleet has grown by a third meanwhile.
SUPPORT = (2, 3)


def start(state: State, coordinator: Coordinator) -> None:
    """Starts to grant leases, as the new coordinator."""
    grants = state.lease_grants = LeaseGrants(coordinator.epoch)
    grants.unreported = membership.other_processes(state)
    grants.earlier_until = _latest_expiry(state)


def stop(state: State) -> None:
    """Stops granting leases."""
    state.lease_grants = None


def handle_request(
    state: State, sender: str, request: messages.PrimaryLeaseRequest
) -> messages.PrimaryLeaseReply | None:
    """Returns the leases for an instance; None if it must not be answered."""
    grants = state.lease_grants
    if grants is None or request.epoch != grants.epoch:
        return None
    if not membership.is_current(state, sender, request.boot):
        return None
    holder = membership.process_name(sender, request.boot)
    if request.number <= grants.last_numbers.get(holder, 0):
        return None
    grants.last_numbers[holder] = request.number
    _record_held(state, grants, holder, request)
    if grants.unreported.get(sender) == request.boot:
        del grants.unreported[sender]
    granted = []
    held = set(request.held)
    for service in state.catalog.services:
        group = groups.find(state, service)
        is_held = messages.HeldLease(service, group.order) in held
        lease = _grant(state, grants, holder, group, is_held)
        if lease is not None:
            granted.append(lease)
    return messages.PrimaryLeaseReply(
        request.number,
        request.epoch,
        _duration_s(state),
        tuple(granted),
    )


def handle_release(
    state: State, sender: str, release: messages.PrimaryLeaseRelease
) -> None:
    """Removes a lease that its holder has released."""
    grants = state.lease_grants
    if grants is None or release.epoch != grants.epoch:
        return
    holder = membership.process_name(sender, release.boot)
    if grants.last_numbers.get(holder, 0) > release.number:
        # It has asked again since.
        return
    if grants.unreported.get(sender) == release.boot:
        grants.released.setdefault(release.service, set()).add(holder)
    grants.expiries.get(release.service, {}).pop(holder, None)


def recall(state: State, group: Group, out: list[Effect]) -> None:
    """Recalls all leases on the primary of a service."""
    grants = state.lease_grants
    if grants is None:
        return
    message = messages.PrimaryLeaseRecall(
        grants.epoch, group.service, group.order
    )
    names = {name.partition("@")[0] for name in _holders(state, group.service)}
    names.update(grants.unreported)
    for name in sorted(names):
        if name != state.instance:
            out.append(SendToPeer(name, message))
    primary_leases.drop(state, group, "recalled", out)
    own = membership.process_name(state.instance, state.boot)
    grants.expiries.get(group.service, {}).pop(own, None)


def has_holders(state: State, service: str) -> bool:
    """Returns whether some process may still rely on a lease of a service."""
    grants = state.lease_grants
    if grants is None:
        return True
    if _holders(state, service):
        return True
    released = grants.released.get(service, set())
    for instance, boot in grants.unreported.items():
        if membership.process_name(instance, boot) not in released:
            return state.now < grants.earlier_until
    return False


def update(state: State) -> None:
    """Updates which processes may rely on leases of an earlier coordinator."""
    grants = state.lease_grants
    if grants is None:
        return
    membership.drop_ended(state, grants.unreported)
    if not grants.is_predecessor_gone:
        grants.earlier_until = _latest_expiry(state)
        grants.is_predecessor_gone = not lender.may_have_predecessor(state)


def offer(state: State, service: str, out: list[Effect]) -> None:
    """Lets all instances ask for leases on a new primary."""
    grants = state.lease_grants
    if grants is None or state.limits.are_primaries_fenced:
        return
    grants.released.pop(service, None)
    for instance in state.members:
        if instance != state.instance:
            message = messages.PrimaryLeaseOffer(grants.epoch)
            out.append(SendToPeer(instance, message))
    state.lease_request.due_at = state.now
    state.set_timer(state.now, TimerKind.PRIMARY_LEASES)


def note_holders(state: State, service: str, out: list[Effect]) -> None:
    """Logs who holds up a change of primary."""
    grants = state.lease_grants
    if grants is None:
        return
    fields = {
        "service": service,
        "holders": sorted(_holders(state, service)),
        "unreported": sorted(grants.unreported),
        "earlier_left_s": round(grants.earlier_until - state.now, 3),
    }
    out.append(Note(PART, "awaiting_holders", fields))


def _record_held(
    state: State,
    grants: LeaseGrants,
    holder: str,
    request: messages.PrimaryLeaseRequest,
) -> None:
    """Records which leases a holder relies on, by its own account."""
    held = {lease.service for lease in request.held}
    expires_at = _latest_expiry(state)
    for service, expiries in grants.expiries.items():
        if service not in held:
            expiries.pop(holder, None)
    for service in held:
        expiries = grants.expiries.setdefault(service, {})
        expiries.setdefault(holder, expires_at)


def _grant(
    state: State,
    grants: LeaseGrants,
    holder: str,
    group: Group,
    is_extension: bool,
) -> messages.PrimaryLease | None:
    """Grants a lease of one service, if the holder may have it now.

    Args:
      state: The state.
      grants: The leases granted so far.
      holder: The holder.
      group: The service's group.
      is_extension: Whether it holds a lease on the same primary.
    """
    primary = group.servers.get(group.primary)
    change = state.primary_watch.changes.get(group.service)
    if primary is None or (change is not None and change.is_recalling):
        return None
    confirmed = state.primary_watch.confirmed_orders.get(group.service, 0)
    if not is_extension and confirmed != group.order:
        return None
    expiries = grants.expiries.setdefault(group.service, {})
    if not state.own_lease.is_valid(state.now):
        if not is_extension or not _has_support(state):
            return None
    expiries[holder] = leases.lender_expiry(state.now, _duration_s(state))
    return messages.PrimaryLease(group.service, group.primary, group.order)


def _has_support(state: State) -> bool:
    """Returns whether enough instances use no other coordinator."""
    limits = state.limits
    if state.now >= state.own_lease.valid_until + limits.lend_without_lease_s:
        return False
    needed, total = SUPPORT
    return total * lender.count_supporters(state) >= needed * len(state.members)


def _holders(state: State, service: str) -> list[str]:
    """Returns the processes that hold a lease of a service."""
    grants = state.lease_grants
    if grants is None:
        return []
    expiries = grants.expiries.get(service, {})
    leases.has_unexpired(expiries, state.now)
    held = []
    for holder in expiries:
        instance, _, boot = holder.partition("@")
        member = state.members.get(instance)
        if member is None or member.boot == boot:
            held.append(holder)
    return held


def _duration_s(state: State) -> float:
    """Returns the duration of a lease.

    The loss of a coordinator and its successor are each seen with a delay that
    grows with the fleet; leases should last until then.
    """
    limits = state.limits
    delay_s = follower.pause_s(len(state.members))
    return min(limits.max_primary_lease_s, limits.primary_lease_s + 2 * delay_s)


def _latest_expiry(state: State) -> float:
    """Returns when any lease that is granted now has expired for certain."""
    return leases.lender_expiry(state.now, state.limits.max_primary_lease_s)
