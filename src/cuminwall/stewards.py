"""Acquires, renews and releases the stewardship of shards.

The steward of a shard is the one instance that grants leases on the shard's
database groups and limits. It owns a key in the store that is bound to a
store lease. In a store outage nobody can acquire a shard, so the steward may
stay in office as long as every eligible successor promises not to acquire its
shard. One refusal or missing reply ends the stewardship.
"""

from typing import NamedTuple

from cuminwall import (
    calls,
    events,
    leases,
    managed_groups,
    membership,
    messages,
    placement,
    ports,
)
from cuminwall.effects import Effect, Log, RevokeStoreLease, SendToPeer
from cuminwall.state import State, Stewardship

PREFIX = "steward"


class LeaseGranted(NamedTuple):
    """Continues an acquisition once the store lease is granted."""

    shard: int


class KeyCreated(NamedTuple):
    """Continues once the steward's key is created."""

    shard: int
    lease_id: int
    requested_at: float


class RecordRead(NamedTuple):
    """Continues once the shard's record is read."""

    shard: int


class RecordSwapped(NamedTuple):
    """Continues once the shard's record is written."""

    shard: int
    value: dict


class GroupsRead(NamedTuple):
    """Continues once the records of the shard's groups are read."""

    shard: int


class LeaseRenewed(NamedTuple):
    """Continues once the store lease is renewed."""

    shard: int
    lease_id: int


class LeaseRegranted(NamedTuple):
    """Continues once a new store lease is granted after an outage."""

    shard: int


def is_active(state: State, shard: int) -> bool:
    """Returns whether this instance may grant leases of the shard now."""
    stewardship = state.stewardships.get(shard)
    return (
        stewardship is not None
        and stewardship.active
        and state.now < stewardship.valid_until
    )


def tick(state: State, out: list[Effect]) -> None:
    """Acquires vacant shards, renews stewardships, drops expired ones."""
    for shard in range(state.shard_count):
        stewardship = state.stewardships.get(shard)
        if stewardship is None:
            if _may_acquire(state, shard):
                _start_acquiring(state, shard, out)
            continue
        if state.now >= stewardship.valid_until and not _is_acquiring(
            state, stewardship
        ):
            _release(state, stewardship, "its lease expired", out)
            continue
        if stewardship.active and _is_isolated(state, stewardship):
            _release(state, stewardship, "no reports from most zones", out)
            continue
        if stewardship.active:
            _renew(state, stewardship, out)
            _update_record(state, stewardship, out)


def handle_promise_request(
    state: State,
    sender: str,
    request: messages.PromiseRequest,
    out: list[Effect],
) -> None:
    """Replies to a steward with a promise not to acquire its shard.

    A duration of 0 refuses the promise.
    """
    view = state.shards.get(request.shard)
    known_epoch = view.epoch if view else 0
    refuses = request.shard in state.stewardships or request.epoch < known_epoch
    duration_s = 0.0 if refuses or state.draining else state.times.promise_s
    if duration_s:
        until = leases.lender_expiry(state.now, duration_s)
        earlier = state.promised_until.get(request.shard, leases.NEVER)
        state.promised_until[request.shard] = max(until, earlier)
    reply = messages.PromiseReply(
        request.number, request.shard, request.epoch, duration_s
    )
    out.append(SendToPeer(sender, reply))


def handle_promise_reply(
    state: State, sender: str, reply: messages.PromiseReply
) -> None:
    """Extends the stewardship when every successor has promised."""
    stewardship = state.stewardships.get(reply.shard)
    if stewardship is None or not stewardship.active:
        return
    if reply.number != stewardship.promise_number or not reply.duration_s:
        return
    stewardship.promised_by.add(sender)
    successors = set(_successors(stewardship)) | set(
        stewardship.former_successors
    )
    successors.discard(state.instance)
    if not successors or not successors <= stewardship.promised_by:
        return
    until = leases.holder_expiry(
        stewardship.promises_requested_at, reply.duration_s
    )
    stewardship.valid_until = max(stewardship.valid_until, until)


def release_all(state: State, out: list[Effect]) -> None:
    """Releases every shard before the instance shuts down."""
    for stewardship in list(state.stewardships.values()):
        _release(state, stewardship, "this instance is shutting down", out)


def _may_acquire(state: State, shard: int) -> bool:
    """Returns whether this instance should try to acquire a shard now."""
    if state.draining or state.instance not in state.members:
        return False
    if state.now < state.promised_until.get(shard, leases.NEVER):
        return False
    view = state.shards.get(shard)
    if view is not None and view.epoch and _may_have_promised(state):
        return False
    if view is not None and view.held:
        state.vacant_since.pop(shard, None)
        return False
    since = state.vacant_since.setdefault(shard, state.now)
    order, delay_s = _acquisition_order(state, shard, view)
    if state.instance not in order:
        return False
    delay_s += order.index(state.instance) * state.times.successor_delay_s
    return state.now - since >= delay_s


def _may_have_promised(state: State) -> bool:
    """Returns whether a promise made before a restart may still be valid."""
    promise_s = state.times.promise_s
    return state.now < leases.lender_expiry(state.started_at, promise_s)


def _acquisition_order(
    state: State, shard: int, view: messages.ShardRecord | None
) -> tuple[list[str], float]:
    """Returns who may acquire a vacant shard in turn, and the first delay."""
    if view is not None and view.epoch:
        eligible = [*view.successors, view.steward]
        alive = [name for name in eligible if name in state.members]
        if alive:
            return alive, 0.0
        # Every instance that could have promised is gone, so after this
        # delay no promise can still be valid.
        return _ranked(state, shard), state.times.orphan_s
    return _ranked(state, shard), 0.0


def _ranked(state: State, shard: int) -> list[str]:
    """Returns the active instances by their rank for a shard."""
    ranking = state.steward_ranking_cache.get(shard)
    if ranking is None:
        members = membership.active_instances(state)
        ranking = placement.ranked(f"steward:{shard}", members)
        state.steward_ranking_cache[shard] = ranking
    return ranking


def _start_acquiring(state: State, shard: int, out: list[Effect]) -> None:
    """Requests the store lease that the steward's key will be bound to."""
    stewardship = state.stewardships[shard] = Stewardship(shard)
    stewardship.renewed_at = state.now
    ttl_s = round(state.times.steward_lease_s)
    calls.grant_lease(state, ttl_s, LeaseGranted(shard), out)
    out.append(Log(PREFIX, f"shard {shard} is vacant; acquiring it"))


def _is_acquiring(state: State, stewardship: Stewardship) -> bool:
    """Returns whether an acquisition is under way and has not timed out."""
    if stewardship.active:
        return False
    return state.now - stewardship.renewed_at < state.times.steward_lease_s


def _is_isolated(state: State, stewardship: Stewardship) -> bool:
    """Returns whether the homes of most zones have stopped reporting.

    Another instance may reach both them and the store, but cannot become
    steward while this one keeps the key.
    """
    if state.now < stewardship.active_since + 2 * state.times.report_age_s:
        return False
    home_zones = set()
    reporting_zones = set()
    for managed_group in stewardship.managed_groups.values():
        for home in membership.homes(state, managed_group.service):
            home_zones.add(membership.zone_of(state, home))
        for (home, _), received in managed_group.reports.items():
            heard_at = managed_group.last_heard_at.get(
                home, received.received_at
            )
            if state.now - heard_at <= state.times.report_age_s:
                reporting_zones.add(received.zone)
    return 2 * len(reporting_zones & home_zones) < len(home_zones)


def _release(
    state: State, stewardship: Stewardship, reason: str, out: list[Effect]
) -> None:
    """Ends a stewardship and revokes its store lease."""
    del state.stewardships[stewardship.shard]
    # The view of the shard lags: another instance may already have acquired
    # it, so this instance does not try again at once.
    state.vacant_since[stewardship.shard] = (
        state.now + state.times.steward_renew_s
    )
    if stewardship.lease_id:
        out.append(RevokeStoreLease(stewardship.lease_id))
    out.append(Log(PREFIX, f"shard {stewardship.shard} released: {reason}"))


def _renew(state: State, stewardship: Stewardship, out: list[Effect]) -> None:
    """Renews the store lease, and requests promises in a store outage."""
    if state.now - stewardship.renewed_at < state.times.steward_renew_s:
        return
    stewardship.renewed_at = state.now
    if stewardship.reacquiring:
        _reacquire(state, stewardship, out)
    else:
        continuation = LeaseRenewed(stewardship.shard, stewardship.lease_id)
        calls.renew_lease(state, stewardship.lease_id, continuation, out)
    if stewardship.store_failing:
        _request_promises(state, stewardship, out)


def _request_promises(
    state: State, stewardship: Stewardship, out: list[Effect]
) -> None:
    """Starts a new round of promises."""
    stewardship.promise_number = state.next_number()
    stewardship.promises_requested_at = state.now
    stewardship.promised_by = set()
    request = messages.PromiseRequest(
        stewardship.promise_number, stewardship.shard, stewardship.epoch
    )
    for successor in {
        *_successors(stewardship),
        *stewardship.former_successors,
    }:
        if successor != state.instance:
            out.append(SendToPeer(successor, request))


def _reacquire(
    state: State, stewardship: Stewardship, out: list[Effect]
) -> None:
    """Creates the expired key again while promises extend the stewardship."""
    ttl_s = round(state.times.steward_lease_s)
    calls.grant_lease(state, ttl_s, LeaseRegranted(stewardship.shard), out)


def _successors(stewardship: Stewardship) -> tuple[str, ...]:
    """Returns the successors in the shard's stored record."""
    if stewardship.record is None:
        return ()
    return tuple(stewardship.record["successors"])


def _wanted_successors(state: State, shard: int) -> list[str]:
    """Returns one successor for each other zone, or one of this zone."""
    successors = state.successors_cache.get(shard)
    if successors is None:
        successors = state.successors_cache[shard] = _choose_successors(
            state, shard
        )
    return successors


def _choose_successors(state: State, shard: int) -> list[str]:
    """Chooses the highest ranked instance of each zone."""
    best: dict[str, str] = {}
    for name in _ranked(state, shard):
        zone = membership.zone_of(state, name)
        if name != state.instance and zone not in best:
            best[zone] = name
    if len(best) > 1:
        best.pop(state.zone, None)
    return sorted(best.values())


def _update_record(
    state: State, stewardship: Stewardship, out: list[Effect]
) -> None:
    """Rewrites the shard's record when its successors should change."""
    if stewardship.record_pending or stewardship.store_failing:
        return
    wanted = _wanted_successors(state, stewardship.shard)
    if wanted == list(_successors(stewardship)):
        stewardship.former_successors = ()
        return
    _swap_record(state, stewardship, wanted, out)


def _swap_record(
    state: State,
    stewardship: Stewardship,
    successors: list[str],
    out: list[Effect],
) -> None:
    """Compares and swaps the shard's record under this steward's epoch."""
    value = {
        "shard": stewardship.shard,
        "epoch": stewardship.epoch,
        "steward": state.instance,
        "successors": successors,
        "write_id": f"{state.instance}:{state.next_number()}",
    }
    stewardship.record_pending = True
    stewardship.former_successors = tuple(
        {*stewardship.former_successors, *_successors(stewardship), *successors}
    )
    key = f"{calls.SHARDS_PREFIX}{stewardship.shard}"
    continuation = RecordSwapped(stewardship.shard, value)
    calls.swap(state, key, stewardship.revision, value, continuation, out)


def _find_stewardship(
    state: State, shard: int, lease_id: int
) -> Stewardship | None:
    """Returns the stewardship that a store lease belongs to, if any."""
    stewardship = state.stewardships.get(shard)
    if stewardship is None or (lease_id and stewardship.lease_id != lease_id):
        return None
    return stewardship


def _create_key(
    state: State,
    stewardship: Stewardship,
    requested_at: float,
    out: list[Effect],
) -> None:
    """Creates the steward's key, bound to its store lease."""
    value = {"instance": state.instance, "shard": stewardship.shard}
    key = f"{calls.STEWARDS_PREFIX}{stewardship.shard}"
    continuation = KeyCreated(
        stewardship.shard, stewardship.lease_id, requested_at
    )
    calls.swap(state, key, 0, value, continuation, out, stewardship.lease_id)


@calls.resume.register
def _resume_lease_granted(
    continuation: LeaseGranted,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    stewardship = state.stewardships.get(continuation.shard)
    if stewardship is None or stewardship.active:
        return
    if not isinstance(event.answer, int):
        _release(state, stewardship, "the store granted no lease", out)
        return
    stewardship.lease_id = event.answer
    _create_key(state, stewardship, event.asked_at, out)


@calls.resume.register
def _resume_key_taken(
    continuation: KeyCreated,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    stewardship = _find_stewardship(
        state, continuation.shard, continuation.lease_id
    )
    if stewardship is None:
        return
    if not isinstance(event.answer, ports.Swapped):
        _release(state, stewardship, "its key could not be created", out)
        return
    stewardship.valid_until = leases.holder_expiry(
        continuation.requested_at, round(state.times.steward_lease_s)
    )
    stewardship.reacquiring = False
    if stewardship.active:
        stewardship.store_failing = False
        return
    key = f"{calls.SHARDS_PREFIX}{continuation.shard}"
    calls.read(state, key, RecordRead(continuation.shard), out)


@calls.resume.register
def _resume_record_read(
    continuation: RecordRead,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    stewardship = state.stewardships.get(continuation.shard)
    if stewardship is None:
        return
    stewardship.record_pending = False
    found = event.answer
    if not isinstance(found, calls.StoredValue):
        if not stewardship.active:
            _release(state, stewardship, "its record could not be read", out)
        return
    stewardship.record = found.value
    stewardship.revision = found.revision
    if stewardship.active:
        if found.value is None or found.value["epoch"] != stewardship.epoch:
            _release(state, stewardship, "its record has another epoch", out)
        return
    stewardship.epoch = (found.value["epoch"] if found.value else 0) + 1
    wanted = _wanted_successors(state, continuation.shard)
    _swap_record(state, stewardship, wanted, out)


@calls.resume.register
def _resume_record_swapped(
    continuation: RecordSwapped,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    stewardship = state.stewardships.get(continuation.shard)
    if stewardship is None or continuation.value["epoch"] != stewardship.epoch:
        return
    stewardship.record_pending = False
    if isinstance(event.answer, ports.Swapped):
        stewardship.record = continuation.value
        stewardship.revision = event.answer.revision
        if not stewardship.active:
            prefix = f"{calls.GROUPS_PREFIX}{continuation.shard}/"
            calls.read_prefix(
                state, prefix, GroupsRead(continuation.shard), out
            )
        return
    if not stewardship.active:
        _release(state, stewardship, "its record could not be written", out)
        return
    # The write failed or its outcome is unknown, so the record is read back
    # before anything else is written.
    stewardship.record_pending = True
    key = f"{calls.SHARDS_PREFIX}{continuation.shard}"
    calls.read(state, key, RecordRead(continuation.shard), out)


@calls.resume.register
def _resume_groups_read(
    continuation: GroupsRead,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    stewardship = state.stewardships.get(continuation.shard)
    if stewardship is None or stewardship.active:
        return
    if not isinstance(event.answer, tuple):
        _release(state, stewardship, "its groups could not be read", out)
        return
    for found in event.answer:
        managed_groups.load(stewardship, found)
    stewardship.active = True
    stewardship.active_since = state.now
    longest_s = max(state.times.write_lease_s, state.times.permit_s)
    stewardship.earlier_leases_until = leases.lender_expiry(
        state.now, longest_s
    )
    text = f"shard {continuation.shard} acquired, epoch {stewardship.epoch}"
    out.append(Log(PREFIX, text))


@calls.resume.register
def _resume_lease_kept(
    continuation: LeaseRenewed,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    stewardship = _find_stewardship(
        state, continuation.shard, continuation.lease_id
    )
    if stewardship is None or stewardship.reacquiring:
        return
    ttl_s = event.answer
    if not isinstance(ttl_s, float):
        if not stewardship.store_failing:
            text = f"shard {continuation.shard}: no answer from the store"
            out.append(Log(PREFIX, text))
        stewardship.store_failing = True
        return
    if ttl_s > 0:
        stewardship.store_failing = False
        until = leases.holder_expiry(event.asked_at, ttl_s)
        stewardship.valid_until = max(stewardship.valid_until, until)
        return
    if stewardship.store_failing:
        # The promises keep others from acquiring the shard until the key
        # exists again.
        stewardship.reacquiring = True
        return
    _release(state, stewardship, "its lease expired in the store", out)


@calls.resume.register
def _resume_lease_regranted(
    continuation: LeaseRegranted,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    stewardship = state.stewardships.get(continuation.shard)
    if stewardship is None or not isinstance(event.answer, int):
        return
    stewardship.lease_id = event.answer
    _create_key(state, stewardship, event.asked_at, out)
