"""Elects the coordinator: a value in the store, bound to a lease, names it.

The coordinator lends the shared limits and orders changes of primary. It
acts only while its lease is valid by its own clock, counted from before each
renewal was sent. Each new coordinator raises the epoch.
"""

import json

from cuminwall import placement
from cuminwall.direct import failover, lender, messages
from cuminwall.direct.effects import (
    Effect,
    EndLease,
    GrantLease,
    KeepLease,
    Note,
    Say,
)
from cuminwall.direct.fleet_state import Coordinator
from cuminwall.direct.state import Purpose, State, Subject

PART = "coordination"

NAME = "coordinator"
EPOCH_NAME = "epoch"
LEASE_MARGIN_S = 0.05  # Taken off a lease to allow for clock drift.
RANK_DELAY_S = 0.12  # Between the takeover attempts of successive ranks.
MAX_RANK = 8
MIN_DELAY_S = 0.02
# Without a reply from the coordinator; requests are sent every 0.4 s.
REPLY_TIMEOUT_S = 0.6


def is_held(state: State) -> bool:
    """Returns whether this instance is the coordinator and its lease valid."""
    return state.hold.is_sure(state.now)


def seen(
    state: State, value: bytes | None, revision: int, out: list[Effect]
) -> None:
    """Handles the value in the store that names the coordinator."""
    if value is not None:
        state.succession.newest = max(state.succession.newest, revision)
    state.succession.claimed = _decode(value, revision)
    _update_coordinator(state, out)


def member_seen(state: State, out: list[Effect]) -> None:
    """Checks, after a member changed, whether the coordinator has ended."""
    claimed = state.succession.claimed
    is_ended = claimed is not None and _has_ended(state, claimed)
    if is_ended == (state.coordinator is not None):
        _update_coordinator(state, out)


def _update_coordinator(state: State, out: list[Effect]) -> None:
    """Updates who coordinates, and starts or stops coordinating here."""
    coordinator = state.succession.claimed
    if coordinator is not None and _has_ended(state, coordinator):
        fields = {
            "coordinator": coordinator.instance,
            "epoch": coordinator.epoch,
        }
        out.append(Note(PART, "coordinator_ended", fields))
        coordinator = None
    if coordinator is None and (
        state.coordinator or state.vacant_since is None
    ):
        state.vacant_since = state.now
    state.coordinator = coordinator
    own_lease = state.hold
    is_own = (
        coordinator is not None
        and coordinator.instance == state.instance
        and coordinator.boot == state.boot
    )
    if is_own:
        assert coordinator is not None
        _start(state, coordinator, out)
        return
    if own_lease.epoch:
        _stop(state, "another instance took over", out)
    if coordinator is None:
        _schedule_attempt(state)


def seek(state: State, out: list[Effect]) -> None:
    """Asks a peer who coordinates when the known coordinator does not reply.

    An instance without access to the store learns of a change this way.
    """
    if state.now < state.succession.granted_at + REPLY_TIMEOUT_S:
        return
    peers = sorted(name for name in state.members if name != state.instance)
    if not peers:
        return
    state.succession.seeks += 1
    peer = peers[state.succession.seeks % len(peers)]
    out.append(Say(peer, messages.Seek(state.succession.newest)))


def sought(
    state: State, sender: str, request: messages.Seek, out: list[Effect]
) -> None:
    """Answers a peer that asks who coordinates, if it knows an older one."""
    known = state.coordinator
    if known is None or known.revision <= request.revision:
        return
    out.append(Say(sender, messages.Leader(*known)))


def told(
    state: State, sender: str, leader: messages.Leader, out: list[Effect]
) -> bool:
    """Handles a peer's answer; returns whether it names a newer coordinator."""
    if leader.revision <= state.succession.newest:
        return False
    if state.is_store_up and state.coordinator is None:
        # The store shows no coordinator; the peer may not know that yet.
        return False
    state.succession.newest = leader.revision
    state.succession.claimed = Coordinator(*leader)
    fields = {"peer": sender, **leader._asdict()}
    out.append(Note(PART, "told_by_peer", fields))
    _update_coordinator(state, out)
    return True


def is_registered(state: State) -> bool:
    """Returns whether this process is registered in the store."""
    own = state.members.get(state.instance)
    return own is not None and own.boot == state.boot


def tick(state: State, out: list[Effect]) -> None:
    """Renews the lease, or tries to take over if there is no coordinator."""
    own_lease = state.hold
    if own_lease.epoch:
        if state.now >= own_lease.until and not own_lease.is_lapsed:
            own_lease.is_lapsed = True
            out.append(Note(PART, "lease_lapsed", {"epoch": own_lease.epoch}))
            failover.give_up(state, out)
        if state.now >= own_lease.renew_at:
            # Even if an earlier renewal is unanswered: answers may be lost.
            own_lease.renew_at = state.now + state.limits.lease_renew_s
            out.append(KeepLease(own_lease.lease))
        state.remind(own_lease.renew_at, Subject.COORDINATOR)
        return
    if state.coordinator is not None or state.is_leaving:
        return
    if state.now < own_lease.try_at or not state.is_store_up:
        return
    if not is_registered(state):
        # The others would take it for a process that has been replaced.
        _schedule_attempt(state)
        return
    if own_lease.is_asking or state.pending_swap(Purpose.COORDINATE):
        return
    if own_lease.lease and state.now < own_lease.until:
        _write_claim(state, out)
        return
    own_lease.is_asking = True
    out.append(GrantLease(state.limits.instance_lease_s))


def leased(
    state: State,
    lease: int,
    sent_at: float,
    ttl_s: float | None,
    out: list[Effect],
) -> None:
    """Handles the result of granting or renewing the lease."""
    own_lease = state.hold
    if not own_lease.is_asking and lease != own_lease.lease:
        # The result concerns a lease that was given up meanwhile.
        return
    own_lease.is_asking = False
    if ttl_s is None:
        _schedule_attempt(state)
        return
    if ttl_s <= 0.0:
        own_lease.lease = 0
        if own_lease.epoch:
            _stop(state, "the lease expired", out)
        return
    own_lease.lease = lease
    own_lease.until = max(own_lease.until, sent_at + ttl_s - LEASE_MARGIN_S)
    if own_lease.is_lapsed and state.now < own_lease.until:
        own_lease.is_lapsed = False
        out.append(Note(PART, "lease_renewed", {"epoch": own_lease.epoch}))
        failover.take_up(state)
    if own_lease.epoch:
        state.remind(own_lease.until, Subject.COORDINATOR)
        return
    if state.coordinator is None:
        _write_claim(state, out)


def leave(state: State, out: list[Effect]) -> None:
    """Ends the lease, so that another instance can take over at once."""
    own_lease = state.hold
    if own_lease.lease:
        out.append(EndLease(own_lease.lease))
    if own_lease.epoch:
        _stop(state, "this instance shuts down", out)


def _write_claim(state: State, out: list[Effect]) -> None:
    """Writes the value that makes this instance the coordinator."""
    value = {
        "instance": state.instance,
        "boot": state.boot,
        "epoch": state.epoch + 1,
    }
    state.swap(
        Purpose.COORDINATE,
        {
            # Nonzero if it names a coordinator whose process has ended but
            # whose lease has not expired.
            NAME: state.shared_revisions.get(NAME, 0),
            EPOCH_NAME: state.shared_revisions.get(EPOCH_NAME, 0),
        },
        {
            NAME: json.dumps(value).encode(),
            EPOCH_NAME: str(state.epoch + 1).encode(),
        },
        frozenset({NAME}),
        state.hold.lease,
        out,
    )
    _schedule_attempt(state)


def _schedule_attempt(state: State) -> None:
    """Schedules the next attempt, staggered by rank across the instances."""
    ranked = placement.ranked(f"epoch {state.epoch}", state.members)
    rank = MAX_RANK
    if state.instance in ranked:
        rank = min(MAX_RANK, ranked.index(state.instance))
    own_lease = state.hold
    own_lease.try_at = state.now + MIN_DELAY_S + rank * RANK_DELAY_S
    state.remind(own_lease.try_at, Subject.COORDINATOR)


def _start(state: State, coordinator: Coordinator, out: list[Effect]) -> None:
    """Starts to coordinate."""
    own_lease = state.hold
    if own_lease.epoch == coordinator.epoch or state.now >= own_lease.until:
        return
    own_lease.epoch = coordinator.epoch
    own_lease.renew_at = state.now + state.limits.lease_renew_s
    out.append(
        Note(
            PART,
            "took_over",
            {
                "epoch": coordinator.epoch,
                "revision": coordinator.revision,
                "lease_s": round(own_lease.until - state.now, 3),
            },
        )
    )
    lender.take_up(state, coordinator)
    failover.take_up(state)
    first_tick_at = state.now + failover.TICK_S
    state.remind(first_tick_at, Subject.FAILOVER, own_lease.epoch)
    state.remind(own_lease.renew_at, Subject.COORDINATOR)


def _stop(state: State, cause: str, out: list[Effect]) -> None:
    """Stops coordinating."""
    own_lease = state.hold
    out.append(
        Note(PART, "gave_up", {"epoch": own_lease.epoch, "cause": cause})
    )
    own_lease.epoch = 0
    own_lease.lease = 0
    own_lease.until = 0.0
    own_lease.is_asking = False
    own_lease.is_lapsed = False
    lender.give_up(state)
    failover.give_up(state, out)
    _schedule_attempt(state)


def _has_ended(state: State, coordinator: Coordinator) -> bool:
    """Returns whether a later process of its instance has replaced it."""
    member = state.members.get(coordinator.instance)
    return member is not None and member.boot != coordinator.boot


def _decode(value: bytes | None, revision: int) -> Coordinator | None:
    """Returns the coordinator that a value names; None if malformed."""
    if value is None:
        return None
    try:
        fields = json.loads(value)
        return Coordinator(
            str(fields["instance"]),
            str(fields["boot"]),
            int(fields["epoch"]),
            revision,
        )
    except (ValueError, KeyError, TypeError):
        return None
