"""Elects the coordinator: a value in the store, bound to a lease, names it.

The coordinator lends the shared limits and orders changes of primary. It
acts only while its lease is valid by its own clock, counted from before each
renewal was sent. Each new coordinator raises the epoch.
"""

import collections
import json

from cuminwall import placement
from cuminwall.direct import (
    failover,
    lease_grants,
    lender,
    membership,
    messages,
    revisions,
    usage_collection,
    workload,
)
from cuminwall.direct.effects import (
    Effect,
    EndLease,
    GrantLease,
    KeepLease,
    Note,
    RestartWatch,
    SendToPeer,
)
from cuminwall.direct.fleet_state import (
    COORDINATOR_NAME,
    Coordinator,
    CoordinatorLoad,
)
from cuminwall.direct.state import State, SwapPurpose, TimerKind

PART = "coordination"

EPOCH_NAME = "epoch"
LEASE_MARGIN_S = 0.05  # Taken off a lease to allow for clock drift.
RANK_DELAY_S = 0.12  # Between the takeover attempts of successive ranks.
MAX_RANK = 8
MIN_DELAY_S = 0.02
NOT_SCHEDULED = float("inf")  # In place of the time of the next attempt.
CLAIM_SEEN_S = 1.0  # Time by which a change of the store is surely seen.
# Without a reply from the coordinator; requests are sent every 0.4 s.
REPLY_TIMEOUT_S = 0.6
MAX_PEERS_PER_ZONE = 3  # Asked in turn who coordinates.


def is_coordinator(state: State) -> bool:
    """Returns whether this instance is the coordinator and its lease valid."""
    return state.own_lease.is_valid(state.now)


def handle_coordinator_value(
    state: State, value: bytes | None, revision: int, out: list[Effect]
) -> None:
    """Handles the value in the store that names the coordinator."""
    if value is not None:
        if revision < state.discovery.newest_revision:
            # A peer has named a newer one, which the store does not show yet.
            return
        state.discovery.newest_revision = revision
    state.discovery.claimed = _decode(value, revision)
    _update_coordinator(state, out)


def handle_member_change(state: State, out: list[Effect]) -> None:
    """Checks, after a member changed, whether the coordinator has ended."""
    claimed = state.discovery.claimed
    is_ended = claimed is not None and _has_ended(state, claimed)
    if is_ended == (state.coordinator is not None):
        _update_coordinator(state, out)


def _update_coordinator(state: State, out: list[Effect]) -> None:
    """Updates who coordinates, and starts or stops coordinating here."""
    coordinator = state.discovery.claimed
    if coordinator is not None and _has_ended(state, coordinator):
        fields = {
            "coordinator": coordinator.instance,
            "epoch": coordinator.epoch,
        }
        out.append(Note(PART, "coordinator_ended", fields))
        coordinator = None
    is_lost = coordinator is None and (
        state.coordinator is not None
        or state.discovery.no_coordinator_since is None
    )
    if is_lost:
        state.discovery.no_coordinator_since = state.now
    state.coordinator = coordinator
    own_lease = state.own_lease
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
    # One that is scheduled stays, or frequent changes could put it off forever.
    if is_lost or (
        coordinator is None and own_lease.next_attempt_at == NOT_SCHEDULED
    ):
        _schedule_attempt(state, MIN_DELAY_S)


def ask_peer_for_coordinator(state: State, out: list[Effect]) -> None:
    """Asks a peer who coordinates when the known coordinator does not reply.

    An instance without access to the store learns of a change this way.
    """
    if state.now < state.discovery.last_reply_at + REPLY_TIMEOUT_S:
        return
    peers = _peers_to_ask(state)
    if not peers:
        return
    state.discovery.query_count += 1
    peer = peers[state.discovery.query_count % len(peers)]
    out.append(
        SendToPeer(
            peer, messages.FindCoordinator(state.discovery.newest_revision)
        )
    )


def _peers_to_ask(state: State) -> list[str]:
    """Returns a few peers of each availability zone, always the same.

    Each peer that is asked takes a link. If every instance asked all others,
    the links of an outage would grow with the square of the fleet.
    """
    counts: collections.Counter[str] = collections.Counter()
    peers = []
    for name in placement.ranked(f"ask {state.instance}", state.members):
        zone = state.members[name].zone
        if name == state.instance or counts[zone] == MAX_PEERS_PER_ZONE:
            continue
        counts[zone] += 1
        peers.append(name)
    return peers


def handle_find_coordinator(
    state: State,
    sender: str,
    request: messages.FindCoordinator,
    out: list[Effect],
) -> None:
    """Answers a peer that asks who coordinates, if it knows an older one."""
    known = state.coordinator
    if known is None or known.revision <= request.revision:
        return
    out.append(SendToPeer(sender, messages.CoordinatorInfo(*known)))


def handle_coordinator_info(
    state: State, sender: str, info: messages.CoordinatorInfo, out: list[Effect]
) -> bool:
    """Handles a peer's answer; returns whether it names a newer coordinator."""
    if info.revision <= state.discovery.newest_revision:
        return False
    if state.is_store_up and state.coordinator is None:
        # The store shows no coordinator; the peer may not know that yet.
        return False
    state.discovery.newest_revision = info.revision
    state.discovery.claimed = Coordinator(*info)
    fields = {"peer": sender, **info._asdict()}
    out.append(Note(PART, "told_by_peer", fields))
    _update_coordinator(state, out)
    return True


def is_registered(state: State) -> bool:
    """Returns whether this process is registered in the store."""
    return membership.is_current(state, state.instance, state.boot)


def tick(state: State, out: list[Effect]) -> None:
    """Renews the lease, or tries to take over if there is no coordinator."""
    own_lease = state.own_lease
    if own_lease.epoch:
        if (
            state.now >= own_lease.valid_until
            and not own_lease.may_have_expired
        ):
            own_lease.may_have_expired = True
            out.append(Note(PART, "lease_lapsed", {"epoch": own_lease.epoch}))
            failover.stop(state, out)
        if state.now >= own_lease.renew_at:
            # Even if an earlier renewal is unanswered: answers may be lost.
            own_lease.renew_at = state.now + state.limits.lease_renew_s
            out.append(KeepLease(own_lease.lease_id))
            state.coordinator_load.renewals_sent += 1
        state.set_timer(own_lease.renew_at, TimerKind.COORDINATOR)
        return
    if state.coordinator is None and not state.is_shutting_down:
        _attempt_in_turn(state, out)


def _attempt_in_turn(state: State, out: list[Effect]) -> None:
    """Tries to take over, unless that is not due or not possible yet."""
    own_lease = state.own_lease
    if state.now < own_lease.next_attempt_at:
        return
    if not state.is_store_up:
        # The first reading of the whole store schedules another.
        own_lease.next_attempt_at = NOT_SCHEDULED
        return
    if own_lease.is_grant_pending or state.has_pending_swap(
        SwapPurpose.COORDINATE
    ):
        # An answer may tell of a failure, after which it must go on.
        _schedule_attempt(state, RANK_DELAY_S)
        return
    turn_at = own_lease.next_attempt_at + _rank(state) * RANK_DELAY_S
    if state.now < turn_at:
        # The rank may change before then.
        check_at = min(turn_at, state.now + RANK_DELAY_S)
        state.set_timer(check_at, TimerKind.COORDINATOR)
        return
    if not is_registered(state):
        # The others would take it for a process that has been replaced.
        _schedule_attempt(state, MIN_DELAY_S)
        return
    if own_lease.lease_id and state.now < own_lease.valid_until:
        _write_claim(state, out)
        return
    own_lease.is_grant_pending = True
    out.append(GrantLease(state.limits.instance_lease_s))


def handle_lease_result(
    state: State,
    lease: int,
    sent_at: float,
    ttl_s: float | None,
    out: list[Effect],
) -> None:
    """Handles the result of granting or renewing the lease."""
    own_lease = state.own_lease
    if not own_lease.is_grant_pending and lease != own_lease.lease_id:
        # The result concerns a lease that was given up meanwhile.
        return
    own_lease.is_grant_pending = False
    if ttl_s is None:
        _schedule_attempt(state, MIN_DELAY_S)
        return
    if ttl_s <= 0.0:
        own_lease.lease_id = 0
        if own_lease.epoch:
            _stop(state, "the lease expired", out)
        return
    if own_lease.epoch:
        workload.record_renewal(state, sent_at)
        lender.adapt_pace(state, state.now - sent_at)
    own_lease.lease_id = lease
    own_lease.valid_until = max(
        own_lease.valid_until, sent_at + ttl_s - LEASE_MARGIN_S
    )
    if own_lease.may_have_expired and state.now < own_lease.valid_until:
        own_lease.may_have_expired = False
        out.append(Note(PART, "lease_renewed", {"epoch": own_lease.epoch}))
        failover.start(state)
    if own_lease.epoch:
        state.set_timer(own_lease.valid_until, TimerKind.COORDINATOR)
        return
    if state.coordinator is None:
        _write_claim(state, out)


def handle_claim_written(state: State) -> None:
    """Waits for the claim that was written to be seen, before another one."""
    _schedule_attempt(state, CLAIM_SEEN_S)


def resign(state: State, out: list[Effect]) -> None:
    """Ends the lease, so that another instance can take over at once."""
    own_lease = state.own_lease
    if own_lease.lease_id:
        out.append(EndLease(own_lease.lease_id))
    if own_lease.epoch:
        _stop(state, "this instance shuts down", out)


def _write_claim(state: State, out: list[Effect]) -> None:
    """Writes the value that makes this instance the coordinator."""
    epoch = _next_epoch(state)
    value = {
        "instance": state.instance,
        "boot": state.boot,
        "epoch": epoch,
    }
    state.compare_and_swap(
        SwapPurpose.COORDINATE,
        {
            # Nonzero if it names a coordinator whose process has ended but
            # whose lease has not expired.
            COORDINATOR_NAME: state.shared_revisions.get(COORDINATOR_NAME, 0),
            EPOCH_NAME: state.shared_revisions.get(EPOCH_NAME, 0),
        },
        {
            COORDINATOR_NAME: json.dumps(value).encode(),
            EPOCH_NAME: str(epoch).encode(),
        },
        frozenset({COORDINATOR_NAME}),
        state.own_lease.lease_id,
        out,
    )
    _schedule_attempt(state, MIN_DELAY_S)


def _next_epoch(state: State) -> int:
    """Returns an epoch that is higher than any before.

    A restored store may have lost epochs that only other processes know, so
    those of a later era of the store are higher than all of earlier ones.
    """
    record = membership.record_name(state.instance)
    era = revisions.era_of(state.shared_revisions.get(record, 0))
    lowest = revisions.start_of(max(0, era - revisions.FIRST_ERA))
    return max(state.epoch, lowest) + 1


def _schedule_attempt(state: State, delay_s: float) -> None:
    """Schedules the next attempt; the delay by rank comes on top.

    Args:
      state: The state.
      delay_s: The delay of the first rank, in seconds.
    """
    own_lease = state.own_lease
    own_lease.next_attempt_at = state.now + delay_s
    state.set_timer(own_lease.next_attempt_at, TimerKind.COORDINATOR)


def _rank(state: State) -> int:
    """Returns how many instances may try to take over before this one."""
    ranked = placement.ranked(f"epoch {state.epoch}", state.members)
    # All instances send their requests to the coordinator, so the largest ones
    # come first.
    ranked.sort(key=lambda name: state.members[name].cores, reverse=True)
    if state.instance not in ranked:
        return MAX_RANK
    return min(MAX_RANK, ranked.index(state.instance))


def _start(state: State, coordinator: Coordinator, out: list[Effect]) -> None:
    """Starts to coordinate."""
    own_lease = state.own_lease
    if (
        own_lease.epoch == coordinator.epoch
        or state.now >= own_lease.valid_until
    ):
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
                "lease_s": round(own_lease.valid_until - state.now, 3),
            },
        )
    )
    state.coordinator_load = CoordinatorLoad(state.now)
    lender.start(state, coordinator)
    lease_grants.start(state, coordinator)
    usage_collection.start(state)
    failover.start(state)
    first_tick_at = state.now + failover.TICK_S
    state.set_timer(first_tick_at, TimerKind.FAILOVER, own_lease.epoch)
    state.set_timer(own_lease.renew_at, TimerKind.COORDINATOR)
    out.append(RestartWatch())
    _announce(state, coordinator, out)


def _announce(
    state: State, coordinator: Coordinator, out: list[Effect]
) -> None:
    """Tells the other instances that this one coordinates.

    Those that lack the store, or read it slowly, would go on asking the former
    coordinator until a peer that they ask knows of the change.
    """
    info = messages.CoordinatorInfo(*coordinator)
    for instance in state.members:
        if instance != state.instance:
            out.append(SendToPeer(instance, info))


def _stop(state: State, cause: str, out: list[Effect]) -> None:
    """Stops coordinating."""
    own_lease = state.own_lease
    out.append(
        Note(PART, "gave_up", {"epoch": own_lease.epoch, "cause": cause})
    )
    own_lease.epoch = 0
    own_lease.lease_id = 0
    own_lease.valid_until = 0.0
    own_lease.is_grant_pending = False
    own_lease.may_have_expired = False
    lender.stop(state)
    lease_grants.stop(state)
    usage_collection.stop(state)
    failover.stop(state, out)
    _schedule_attempt(state, MIN_DELAY_S)


def _has_ended(state: State, coordinator: Coordinator) -> bool:
    """Returns whether a later process of its instance has replaced it.

    An older record is that of an earlier process: without the store, this
    instance may not have seen the one of the coordinator.
    """
    member = state.members.get(coordinator.instance)
    if member is None or member.boot == coordinator.boot:
        return False
    return member.revision > coordinator.revision


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
