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
    Say,
)
from cuminwall.direct.fleet_state import Coordinator
from cuminwall.direct.state import Purpose, State, Subject

PART = "coordination"

NAME = "coordinator"
EPOCH_NAME = "epoch"
MARGIN_S = 0.05  # Kept off a lease, for clocks that run apart.
RANK_DELAY_S = 0.12  # How much later each next instance tries to take over.
MAX_RANK = 8
VACANT_DELAY_S = 0.02
SEEK_S = 0.6  # Without an answer; a regular ask comes each 0.4 s.


def is_held(state: State) -> bool:
    """Returns whether this instance coordinates now."""
    return state.hold.is_sure(state.now)


def seen(
    state: State, value: bytes | None, revision: int, out: list[Effect]
) -> None:
    """Takes in who coordinates, as the store says."""
    if value is not None:
        state.succession.newest = max(state.succession.newest, revision)
    state.succession.claimed = _decode(value, revision)
    _judge(state, out)


def member_seen(state: State, out: list[Effect]) -> None:
    """Takes in an instance's line: it may tell that the coordinator ended."""
    claimed = state.succession.claimed
    is_ended = claimed is not None and _has_ended(state, claimed)
    if is_ended == (state.coordinator is not None):
        _judge(state, out)


def _judge(state: State, out: list[Effect]) -> None:
    """Works out who coordinates."""
    found = state.succession.claimed
    if found is not None and _has_ended(state, found):
        fields = {"coordinator": found.instance, "epoch": found.epoch}
        out.append(Note(PART, "coordinator_ended", fields))
        found = None
    if found is None and (state.coordinator or state.vacant_since is None):
        state.vacant_since = state.now
    state.coordinator = found
    hold = state.hold
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


def seek(state: State, out: list[Effect]) -> None:
    """Asks a peer who coordinates, when the known one gives no answer.

    An instance that lacks the store learns of a change in this way.
    """
    if state.now < state.succession.granted_at + SEEK_S:
        return
    peers = sorted(name for name in state.members if name != state.instance)
    if not peers:
        return
    state.succession.seeks += 1
    peer = peers[state.succession.seeks % len(peers)]
    out.append(Say(peer, messages.Seek(state.succession.newest)))


def sought(
    state: State, sender: str, ask: messages.Seek, out: list[Effect]
) -> None:
    """Answers a peer that asks who coordinates."""
    known = state.coordinator
    if known is None or known.revision <= ask.revision:
        return
    out.append(Say(sender, messages.Leader(*known)))


def told(
    state: State, sender: str, leader: messages.Leader, out: list[Effect]
) -> bool:
    """Takes in who coordinates, as a peer says; returns whether it is news."""
    if leader.revision <= state.succession.newest:
        return False
    if state.is_store_up and state.coordinator is None:
        # The peer may not know yet what the store has told here.
        return False
    state.succession.newest = leader.revision
    state.succession.claimed = Coordinator(*leader)
    fields = {"peer": sender, **leader._asdict()}
    out.append(Note(PART, "told_by_peer", fields))
    _judge(state, out)
    return True


def is_registered(state: State) -> bool:
    """Returns whether this process stands in the store."""
    own = state.members.get(state.instance)
    return own is not None and own.boot == state.boot


def tick(state: State, out: list[Effect]) -> None:
    """Renews the lease, or tries to take over where nobody coordinates."""
    hold = state.hold
    if hold.epoch:
        if state.now >= hold.until and not hold.is_lapsed:
            hold.is_lapsed = True
            out.append(Note(PART, "lease_lapsed", {"epoch": hold.epoch}))
            failover.give_up(state, out)
        if state.now >= hold.renew_at:
            # Whether or not an earlier one is answered: answers may be lost.
            hold.renew_at = state.now + state.limits.lease_renew_s
            out.append(KeepLease(hold.lease))
        state.remind(hold.renew_at, Subject.COORDINATOR)
        return
    if state.coordinator is not None or state.is_leaving:
        return
    if state.now < hold.try_at or not state.is_store_up:
        return
    if not is_registered(state):
        # The others would take it for an earlier process that has ended.
        _plan_try(state)
        return
    if hold.is_asking or state.pending_swap(Purpose.COORDINATE):
        return
    if hold.lease and state.now < hold.until:
        _write(state, out)
        return
    hold.is_asking = True
    out.append(GrantLease(state.limits.instance_lease_s))


def leased(
    state: State,
    lease: int,
    sent_at: float,
    ttl_s: float | None,
    out: list[Effect],
) -> None:
    """Takes in the answer to a call about the lease."""
    hold = state.hold
    if not hold.is_asking and lease != hold.lease:
        # It is about a lease that was given up meanwhile.
        return
    hold.is_asking = False
    if ttl_s is None:
        _plan_try(state)
        return
    if ttl_s <= 0.0:
        hold.lease = 0
        if hold.epoch:
            _lose(state, "the lease is over", out)
        return
    hold.lease = lease
    hold.until = max(hold.until, sent_at + ttl_s - MARGIN_S)
    if hold.is_lapsed and state.now < hold.until:
        hold.is_lapsed = False
        out.append(Note(PART, "lease_renewed", {"epoch": hold.epoch}))
        failover.take_up(state)
    if hold.epoch:
        state.remind(hold.until, Subject.COORDINATOR)
        return
    if state.coordinator is None:
        _write(state, out)


def leave(state: State, out: list[Effect]) -> None:
    """Makes way for another coordinator at once."""
    hold = state.hold
    if hold.lease:
        out.append(EndLease(hold.lease))
    if hold.epoch:
        _lose(state, "this instance leaves", out)


def _write(state: State, out: list[Effect]) -> None:
    """Tries to become the coordinator."""
    value = {
        "instance": state.instance,
        "boot": state.boot,
        "epoch": state.epoch + 1,
    }
    state.swap(
        Purpose.COORDINATE,
        {
            # That of one whose process has ended, while its lease still holds.
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
    _plan_try(state)


def _plan_try(state: State) -> None:
    """Lets the instances try one after the other."""
    ranked = placement.ranked(f"epoch {state.epoch}", state.members)
    rank = MAX_RANK
    if state.instance in ranked:
        rank = min(MAX_RANK, ranked.index(state.instance))
    hold = state.hold
    hold.try_at = state.now + VACANT_DELAY_S + rank * RANK_DELAY_S
    state.remind(hold.try_at, Subject.COORDINATOR)


def _take_up(state: State, found: Coordinator, out: list[Effect]) -> None:
    """Begins to coordinate."""
    hold = state.hold
    if hold.epoch == found.epoch or state.now >= hold.until:
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
                "lease_s": round(hold.until - state.now, 3),
            },
        )
    )
    lender.take_up(state, found)
    failover.take_up(state)
    first_look = state.now + failover.TICK_S
    state.remind(first_look, Subject.FAILOVER, hold.epoch)
    state.remind(hold.renew_at, Subject.COORDINATOR)


def _lose(state: State, cause: str, out: list[Effect]) -> None:
    """Ceases to coordinate."""
    hold = state.hold
    out.append(Note(PART, "gave_up", {"epoch": hold.epoch, "cause": cause}))
    hold.epoch = 0
    hold.lease = 0
    hold.until = 0.0
    hold.is_asking = False
    hold.is_lapsed = False
    lender.give_up(state)
    failover.give_up(state, out)
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
