"""Who lends: the hold of one instance on a shard, kept in the store.

The steward of a shard has a key in the store that hangs on a store lease. In
a store outage nothing new can be agreed, so what is agreed may go on: while
every eligible successor promises not to take over, the hold stands. One
refusal or silence ends it.
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
    """A store lease was asked for, to take a shard."""

    shard: int


class KeyCreated(NamedTuple):
    """The steward's key was asked for."""

    shard: int
    lease_id: int
    asked_at: float


class RecordRead(NamedTuple):
    """The shard's record was read after the key was taken."""

    shard: int


class RecordSwapped(NamedTuple):
    """The shard's record was changed."""

    shard: int
    value: dict


class GroupsRead(NamedTuple):
    """The records of the shard's groups were read."""

    shard: int


class LeaseRenewed(NamedTuple):
    """The store lease was renewed."""

    shard: int
    lease_id: int


class LeaseRegranted(NamedTuple):
    """A new store lease was asked for after an outage."""

    shard: int


def is_active(state: State, shard: int) -> bool:
    """Returns whether this instance may lend for the shard now."""
    hold = state.stewardships.get(shard)
    return hold is not None and hold.active and state.now < hold.valid_until


def tick(state: State, out: list[Effect]) -> None:
    """Takes vacant shards, renews holds and lets lapsed ones go."""
    for shard in range(state.shard_count):
        hold = state.stewardships.get(shard)
        if hold is None:
            if _may_take(state, shard):
                _begin(state, shard, out)
            continue
        if state.now >= hold.valid_until and not _is_acquiring(state, hold):
            _let_go(state, hold, "its lease lapsed", out)
            continue
        if hold.active and _is_cut_off(state, hold):
            _let_go(state, hold, "homes of most zones are silent", out)
            continue
        if hold.active:
            _renew(state, hold, out)
            _update_record(state, hold, out)


def handle_promise_request(
    state: State,
    sender: str,
    ask: messages.PromiseRequest,
    out: list[Effect],
) -> None:
    """Promises a steward not to take its shard, or refuses."""
    view = state.shards.get(ask.shard)
    known_epoch = view.epoch if view else 0
    refuses = ask.shard in state.stewardships or ask.epoch < known_epoch
    duration_s = 0.0 if refuses or state.draining else state.times.promise_s
    if duration_s:
        until = leases.lender_expiry(state.now, duration_s)
        former = state.promised_until.get(ask.shard, leases.NEVER)
        state.promised_until[ask.shard] = max(until, former)
    answer = messages.PromiseReply(ask.number, ask.shard, ask.epoch, duration_s)
    out.append(SendToPeer(sender, answer))


def handle_promise_reply(
    state: State, sender: str, answer: messages.PromiseReply
) -> None:
    """Extends the hold when every successor has promised."""
    hold = state.stewardships.get(answer.shard)
    if hold is None or not hold.active:
        return
    if answer.number != hold.promise_number or not answer.duration_s:
        return
    hold.promised_by.add(sender)
    successors = set(_successors(hold)) | set(hold.former_successors)
    successors.discard(state.instance)
    if not successors or not successors <= hold.promised_by:
        return
    until = leases.holder_expiry(hold.promises_requested_at, answer.duration_s)
    hold.valid_until = max(hold.valid_until, until)


def release_all(state: State, out: list[Effect]) -> None:
    """Gives every shard up, when the instance leaves."""
    for hold in list(state.stewardships.values()):
        _let_go(state, hold, "this instance leaves", out)


def _may_take(state: State, shard: int) -> bool:
    """Returns whether this instance shall try to take a shard now."""
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
    order, delay_s = _takers(state, shard, view)
    if state.instance not in order:
        return False
    delay_s += order.index(state.instance) * state.times.successor_delay_s
    return state.now - since >= delay_s


def _may_have_promised(state: State) -> bool:
    """Returns whether a promise made before a restart may still run."""
    promise_s = state.times.promise_s
    return state.now < leases.lender_expiry(state.started_at, promise_s)


def _takers(
    state: State, shard: int, view: messages.ShardRecord | None
) -> tuple[list[str], float]:
    """Returns who may take a vacant shard in turn, and after how long."""
    if view is not None and view.epoch:
        eligible = [*view.successors, view.steward]
        alive = [name for name in eligible if name in state.members]
        if alive:
            return alive, 0.0
        # All that could promise are gone, so no promise can be running
        # beyond this delay.
        return _ranked(state, shard), state.times.orphan_s
    return _ranked(state, shard), 0.0


def _ranked(state: State, shard: int) -> list[str]:
    """Returns who suits a shard best."""
    found = state.steward_ranking_cache.get(shard)
    if found is None:
        members = membership.active_instances(state)
        found = placement.ranked(f"steward:{shard}", members)
        state.steward_ranking_cache[shard] = found
    return found


def _begin(state: State, shard: int, out: list[Effect]) -> None:
    """Begins to take a shard."""
    hold = state.stewardships[shard] = Stewardship(shard)
    hold.renewed_at = state.now
    ttl_s = round(state.times.steward_lease_s)
    calls.grant_lease(state, ttl_s, LeaseGranted(shard), out)
    out.append(Log(PREFIX, f"shard {shard} is vacant; taking it"))


def _is_acquiring(state: State, hold: Stewardship) -> bool:
    """Returns whether the first steps are still under way in time."""
    if hold.active:
        return False
    return state.now - hold.renewed_at < state.times.steward_lease_s


def _is_cut_off(state: State, hold: Stewardship) -> bool:
    """Returns whether the homes of most zones have been silent for long.

    Another steward may reach them, and the store while this one holds it.
    """
    if state.now < hold.active_since + 2 * state.times.report_age_s:
        return False
    wanted = set()
    heard = set()
    for charge in hold.managed_groups.values():
        for home in membership.homes(state, charge.service):
            wanted.add(membership.zone_of(state, home))
        for (home, _), lent in charge.reports.items():
            heard_at = charge.last_heard_at.get(home, lent.received_at)
            if state.now - heard_at <= state.times.report_age_s:
                heard.add(lent.zone)
    return 2 * len(heard & wanted) < len(wanted)


def _let_go(
    state: State, hold: Stewardship, reason: str, out: list[Effect]
) -> None:
    """Ends a hold."""
    del state.stewardships[hold.shard]
    # What others did with the shard is not yet known here.
    state.vacant_since[hold.shard] = state.now + state.times.steward_renew_s
    if hold.lease_id:
        out.append(RevokeStoreLease(hold.lease_id))
    out.append(Log(PREFIX, f"shard {hold.shard} is let go: {reason}"))


def _renew(state: State, hold: Stewardship, out: list[Effect]) -> None:
    """Renews the hold, and asks for promises while the store is silent."""
    if state.now - hold.renewed_at < state.times.steward_renew_s:
        return
    hold.renewed_at = state.now
    if hold.reacquiring:
        _retake(state, hold, out)
    else:
        then = LeaseRenewed(hold.shard, hold.lease_id)
        calls.renew_lease(state, hold.lease_id, then, out)
    if hold.store_failing:
        _ask_promises(state, hold, out)


def _ask_promises(state: State, hold: Stewardship, out: list[Effect]) -> None:
    """Begins a new round of promises."""
    hold.promise_number = state.next_number()
    hold.promises_requested_at = state.now
    hold.promised_by = set()
    ask = messages.PromiseRequest(hold.promise_number, hold.shard, hold.epoch)
    for successor in {*_successors(hold), *hold.former_successors}:
        if successor != state.instance:
            out.append(SendToPeer(successor, ask))


def _retake(state: State, hold: Stewardship, out: list[Effect]) -> None:
    """Sets the lapsed key again while promises keep the hold."""
    ttl_s = round(state.times.steward_lease_s)
    calls.grant_lease(state, ttl_s, LeaseRegranted(hold.shard), out)


def _successors(hold: Stewardship) -> tuple[str, ...]:
    """Returns the successors that stand in the record."""
    if hold.record is None:
        return ()
    return tuple(hold.record["successors"])


def _wanted_successors(state: State, shard: int) -> list[str]:
    """Returns one successor for each other zone, or one of this zone."""
    found = state.successors_cache.get(shard)
    if found is None:
        found = state.successors_cache[shard] = _choose_successors(state, shard)
    return found


def _choose_successors(state: State, shard: int) -> list[str]:
    """Works out the successors that a shard should have."""
    best: dict[str, str] = {}
    for name in _ranked(state, shard):
        zone = membership.zone_of(state, name)
        if name != state.instance and zone not in best:
            best[zone] = name
    if len(best) > 1:
        best.pop(state.zone, None)
    return sorted(best.values())


def _update_record(state: State, hold: Stewardship, out: list[Effect]) -> None:
    """Lists other successors when the instances have changed."""
    if hold.record_pending or hold.store_failing:
        return
    wanted = _wanted_successors(state, hold.shard)
    if wanted == list(_successors(hold)):
        hold.former_successors = ()
        return
    _swap_record(state, hold, wanted, out)


def _swap_record(
    state: State,
    hold: Stewardship,
    successors: list[str],
    out: list[Effect],
) -> None:
    """Writes the shard's record under this instance's epoch."""
    value = {
        "shard": hold.shard,
        "epoch": hold.epoch,
        "steward": state.instance,
        "successors": successors,
        "write_id": f"{state.instance}:{state.next_number()}",
    }
    hold.record_pending = True
    hold.former_successors = tuple(
        {*hold.former_successors, *_successors(hold), *successors}
    )
    key = f"{calls.SHARDS_PREFIX}{hold.shard}"
    then = RecordSwapped(hold.shard, value)
    calls.swap(state, key, hold.revision, value, then, out)


def _hold_of(state: State, shard: int, lease_id: int) -> Stewardship | None:
    """Returns the hold that a lease belongs to, if it still stands."""
    hold = state.stewardships.get(shard)
    if hold is None or (lease_id and hold.lease_id != lease_id):
        return None
    return hold


def _take_key(
    state: State, hold: Stewardship, asked_at: float, out: list[Effect]
) -> None:
    """Sets the steward's key, bound to the lease asked for at `asked_at`."""
    value = {"instance": state.instance, "shard": hold.shard}
    key = f"{calls.STEWARDS_PREFIX}{hold.shard}"
    taken = KeyCreated(hold.shard, hold.lease_id, asked_at)
    calls.swap(state, key, 0, value, taken, out, hold.lease_id)


@calls.resume.register
def _lease_granted(
    then: LeaseGranted,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    hold = state.stewardships.get(then.shard)
    if hold is None or hold.active:
        return
    if not isinstance(event.answer, int):
        _let_go(state, hold, "the store gave no lease", out)
        return
    hold.lease_id = event.answer
    _take_key(state, hold, event.asked_at, out)


@calls.resume.register
def _key_taken(
    then: KeyCreated,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    hold = _hold_of(state, then.shard, then.lease_id)
    if hold is None:
        return
    if not isinstance(event.answer, ports.Swapped):
        _let_go(state, hold, "another instance holds it", out)
        return
    hold.valid_until = leases.holder_expiry(
        then.asked_at, round(state.times.steward_lease_s)
    )
    hold.reacquiring = False
    if hold.active:
        hold.store_failing = False
        return
    key = f"{calls.SHARDS_PREFIX}{then.shard}"
    calls.read(state, key, RecordRead(then.shard), out)


@calls.resume.register
def _record_read(
    then: RecordRead,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    hold = state.stewardships.get(then.shard)
    if hold is None:
        return
    hold.record_pending = False
    found = event.answer
    if not isinstance(found, calls.StoredValue):
        if not hold.active:
            _let_go(state, hold, "its record cannot be read", out)
        return
    hold.record = found.value
    hold.revision = found.revision
    if hold.active:
        if found.value is None or found.value["epoch"] != hold.epoch:
            _let_go(state, hold, "another epoch began", out)
        return
    hold.epoch = (found.value["epoch"] if found.value else 0) + 1
    wanted = _wanted_successors(state, then.shard)
    _swap_record(state, hold, wanted, out)


@calls.resume.register
def _record_swapped(
    then: RecordSwapped,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    hold = state.stewardships.get(then.shard)
    if hold is None or then.value["epoch"] != hold.epoch:
        return
    hold.record_pending = False
    if isinstance(event.answer, ports.Swapped):
        hold.record = then.value
        hold.revision = event.answer.revision
        if not hold.active:
            prefix = f"{calls.GROUPS_PREFIX}{then.shard}/"
            calls.read_prefix(state, prefix, GroupsRead(then.shard), out)
        return
    if not hold.active:
        _let_go(state, hold, "its record could not be changed", out)
        return
    # Unclear or changed: nothing more is written before it is read back.
    hold.record_pending = True
    key = f"{calls.SHARDS_PREFIX}{then.shard}"
    calls.read(state, key, RecordRead(then.shard), out)


@calls.resume.register
def _groups_read(
    then: GroupsRead,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    hold = state.stewardships.get(then.shard)
    if hold is None or hold.active:
        return
    if not isinstance(event.answer, tuple):
        _let_go(state, hold, "its groups cannot be read", out)
        return
    for found in event.answer:
        managed_groups.load(hold, found)
    hold.active = True
    hold.active_since = state.now
    longest_s = max(state.times.write_lease_s, state.times.permit_s)
    hold.earlier_leases_until = leases.lender_expiry(state.now, longest_s)
    text = f"shard {then.shard} is held, epoch {hold.epoch}"
    out.append(Log(PREFIX, text))


@calls.resume.register
def _lease_kept(
    then: LeaseRenewed,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    hold = _hold_of(state, then.shard, then.lease_id)
    if hold is None or hold.reacquiring:
        return
    ttl_s = event.answer
    if not isinstance(ttl_s, float):
        if not hold.store_failing:
            text = f"shard {then.shard}: the store does not answer"
            out.append(Log(PREFIX, text))
        hold.store_failing = True
        return
    if ttl_s > 0:
        hold.store_failing = False
        until = leases.holder_expiry(event.asked_at, ttl_s)
        hold.valid_until = max(hold.valid_until, until)
        return
    if hold.store_failing:
        # The promises hold others off until the key stands again.
        hold.reacquiring = True
        return
    _let_go(state, hold, "its lease lapsed in the store", out)


@calls.resume.register
def _lease_regranted(
    then: LeaseRegranted,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    hold = state.stewardships.get(then.shard)
    if hold is None or not isinstance(event.answer, int):
        return
    hold.lease_id = event.answer
    _take_key(state, hold, event.asked_at, out)
