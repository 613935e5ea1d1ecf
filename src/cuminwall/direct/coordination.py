"""Which instance coordinates: a value in the store that ends with a lease.

The coordinator lends the shared limits and orders changes of primary. It
acts only while its lease surely holds by its own clock, which counts from
before each renewal was sent. Whoever takes over raises the epoch.
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
    SendToPeer,
)
from cuminwall.direct.fleet_state import Coordinator
from cuminwall.direct.state import State, SwapPurpose, TimerKind

PART = "coordination"

COORDINATOR_NAME = "coordinator"
EPOCH_NAME = "epoch"
MARGIN_S = 0.05  # Kept off a lease, for clocks that run apart.
RANK_DELAY_S = 0.12  # How much later each next instance tries to take over.
MAX_RANK = 8
VACANT_DELAY_S = 0.02
SEEK_S = 0.6  # Without an answer; a regular ask comes each 0.4 s.


def is_coordinator(state: State) -> bool:
    """Returns whether this instance coordinates now."""
    return state.own_lease.is_valid(state.now)


def handle_coordinator_value(
    state: State, value: bytes | None, revision: int, out: list[Effect]
) -> None:
    """Takes in who coordinates, as the store says."""
    if value is not None:
        state.discovery.newest_revision = max(
            state.discovery.newest_revision, revision
        )
    state.discovery.claimed = _decode(value, revision)
    _judge(state, out)


def handle_member_change(state: State, out: list[Effect]) -> None:
    """Takes in an instance's line: it may tell that the coordinator ended."""
    claimed = state.discovery.claimed
    is_ended = claimed is not None and _has_ended(state, claimed)
    if is_ended == (state.coordinator is not None):
        _judge(state, out)


def _judge(state: State, out: list[Effect]) -> None:
    """Works out who coordinates."""
    found = state.discovery.claimed
    if found is not None and _has_ended(state, found):
        fields = {"coordinator": found.instance, "epoch": found.epoch}
        out.append(Note(PART, "coordinator_ended", fields))
        found = None
    if found is None and (
        state.coordinator or state.no_coordinator_since is None
    ):
        state.no_coordinator_since = state.now
    state.coordinator = found
    hold = state.own_lease
    is_own = (
        found is not None
        and found.instance == state.instance
        and found.boot == state.boot
    )
    if is_own:
        assert found is not None
        _take_up(state, found, out)
        return
    if hold.epoch:
        _lose(state, "another took over", out)
    if found is None:
        _plan_try(state)


def ask_peer_for_coordinator(state: State, out: list[Effect]) -> None:
    """Asks a peer who coordinates, when the known one gives no answer.

    An instance that lacks the store learns of a change in this way.
    """
    if state.now < state.discovery.last_reply_at + SEEK_S:
        return
    peers = sorted(name for name in state.members if name != state.instance)
    if not peers:
        return
    state.discovery.query_count += 1
    peer = peers[state.discovery.query_count % len(peers)]
    out.append(
        SendToPeer(
            peer, messages.FindCoordinator(state.discovery.newest_revision)
        )
    )


def handle_find_coordinator(
    state: State, sender: str, ask: messages.FindCoordinator, out: list[Effect]
) -> None:
    """Answers a peer that asks who coordinates."""
    known = state.coordinator
    if known is None or known.revision <= ask.revision:
        return
    out.append(SendToPeer(sender, messages.CoordinatorInfo(*known)))


def handle_coordinator_info(
    state: State, sender: str, info: messages.CoordinatorInfo, out: list[Effect]
) -> bool:
    """Takes in who coordinates, as a peer says; returns whether it is news."""
    if info.revision <= state.discovery.newest_revision:
        return False
    if state.is_store_up and state.coordinator is None:
        # The peer may not know yet what the store has told here.
        return False
    state.discovery.newest_revision = info.revision
    state.discovery.claimed = Coordinator(*info)
    fields = {"peer": sender, **info._asdict()}
    out.append(Note(PART, "told_by_peer", fields))
    _judge(state, out)
    return True


def is_registered(state: State) -> bool:
    """Returns whether this process stands in the store."""
    own = state.members.get(state.instance)
    return own is not None and own.boot == state.boot


def tick(state: State, out: list[Effect]) -> None:
    """Renews the lease, or tries to take over where nobody coordinates."""
    hold = state.own_lease
    if hold.epoch:
        if state.now >= hold.valid_until and not hold.may_have_expired:
            hold.may_have_expired = True
            out.append(Note(PART, "lease_lapsed", {"epoch": hold.epoch}))
            failover.stop(state, out)
        if state.now >= hold.renew_at:
            # Whether or not an earlier one is answered: answers may be lost.
            hold.renew_at = state.now + state.limits.lease_renew_s
            out.append(KeepLease(hold.lease_id))
        state.set_timer(hold.renew_at, TimerKind.COORDINATOR)
        return
    if state.coordinator is not None or state.is_shutting_down:
        return
    if state.now < hold.next_attempt_at or not state.is_store_up:
        return
    if not is_registered(state):
        # The others would take it for an earlier process that has ended.
        _plan_try(state)
        return
    if hold.is_grant_pending or state.has_pending_swap(SwapPurpose.COORDINATE):
        return
    if hold.lease_id and state.now < hold.valid_until:
        _write(state, out)
        return
    hold.is_grant_pending = True
    out.append(GrantLease(state.limits.instance_lease_s))


def handle_lease_result(
    state: State,
    lease: int,
    sent_at: float,
    ttl_s: float | None,
    out: list[Effect],
) -> None:
    """Takes in the answer to a call about the lease."""
    hold = state.own_lease
    if not hold.is_grant_pending and lease != hold.lease_id:
        # It is about a lease that was given up meanwhile.
        return
    hold.is_grant_pending = False
    if ttl_s is None:
        _plan_try(state)
        return
    if ttl_s <= 0.0:
        hold.lease_id = 0
        if hold.epoch:
            _lose(state, "the lease is over", out)
        return
    hold.lease_id = lease
    hold.valid_until = max(hold.valid_until, sent_at + ttl_s - MARGIN_S)
    if hold.may_have_expired and state.now < hold.valid_until:
        hold.may_have_expired = False
        out.append(Note(PART, "lease_renewed", {"epoch": hold.epoch}))
        failover.start(state)
    if hold.epoch:
        state.set_timer(hold.valid_until, TimerKind.COORDINATOR)
        return
    if state.coordinator is None:
        _write(state, out)


def resign(state: State, out: list[Effect]) -> None:
    """Makes way for another coordinator at once."""
    hold = state.own_lease
    if hold.lease_id:
        out.append(EndLease(hold.lease_id))
    if hold.epoch:
        _lose(state, "this instance leaves", out)


def _write(state: State, out: list[Effect]) -> None:
    """Tries to become the coordinator."""
    value = {
        "instance": state.instance,
        "boot": state.boot,
        "epoch": state.epoch + 1,
    }
    state.compare_and_swap(
        SwapPurpose.COORDINATE,
        {
            # That of one whose process has ended, while its lease still holds.
            COORDINATOR_NAME: state.shared_revisions.get(COORDINATOR_NAME, 0),
            EPOCH_NAME: state.shared_revisions.get(EPOCH_NAME, 0),
        },
        {
            COORDINATOR_NAME: json.dumps(value).encode(),
            EPOCH_NAME: str(state.epoch + 1).encode(),
        },
        frozenset({COORDINATOR_NAME}),
        state.own_lease.lease_id,
        out,
    )
    _plan_try(state)


def _plan_try(state: State) -> None:
    """Lets the instances try one after the other."""
    ranked = placement.ranked(f"epoch {state.epoch}", state.members)
    rank = MAX_RANK
    if state.instance in ranked:
        rank = min(MAX_RANK, ranked.index(state.instance))
    hold = state.own_lease
    hold.next_attempt_at = state.now + VACANT_DELAY_S + rank * RANK_DELAY_S
    state.set_timer(hold.next_attempt_at, TimerKind.COORDINATOR)


def _take_up(state: State, found: Coordinator, out: list[Effect]) -> None:
    """Begins to coordinate."""
    hold = state.own_lease
    if hold.epoch == found.epoch or state.now >= hold.valid_until:
        return
    hold.epoch = found.epoch
    hold.renew_at = state.now + state.limits.lease_renew_s
    out.append(
        Note(
            PART,
            "took_over",
            {
                "epoch": found.epoch,
                "revision": found.revision,
                "lease_s": round(hold.valid_until - state.now, 3),
            },
        )
    )
    lender.start(state, found)
    failover.start(state)
    first_look = state.now + failover.TICK_S
    state.set_timer(first_look, TimerKind.FAILOVER, hold.epoch)
    state.set_timer(hold.renew_at, TimerKind.COORDINATOR)


def _lose(state: State, cause: str, out: list[Effect]) -> None:
    """Ceases to coordinate."""
    hold = state.own_lease
    out.append(Note(PART, "gave_up", {"epoch": hold.epoch, "cause": cause}))
    hold.epoch = 0
    hold.lease_id = 0
    hold.valid_until = 0.0
    hold.is_grant_pending = False
    hold.may_have_expired = False
    lender.stop(state)
    failover.stop(state, out)
    _plan_try(state)


def _has_ended(state: State, found: Coordinator) -> bool:
    """Returns whether a later process of the coordinator's instance runs."""
    member = state.members.get(found.instance)
    return member is not None and member.boot != found.boot


def _decode(value: bytes | None, revision: int) -> Coordinator | None:
    """Returns the coordinator that a value names."""
    if value is None:
        return None
    try:
        given = json.loads(value)
        return Coordinator(
            str(given["instance"]),
            str(given["boot"]),
            int(given["epoch"]),
            revision,
        )
    except (ValueError, KeyError, TypeError):
        return None
