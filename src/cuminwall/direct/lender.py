"""Lends shares of the workspaces' rates to instances, as the coordinator.

While the store does not answer, the coordinator's lease can't be renewed. It
goes on lending for a limited time, as long as a majority of the instances
sends its requests to it alone: a successor lends little until it has heard
from a majority itself, or that time is over.

A new coordinator does not know what its predecessor has lent. Until it has
recovered, it lends only what is given back to it. It has recovered once every
earlier process has reported what it holds, has been replaced by a later
process of its instance, or has been silent for longer than any share lasts.
"""

from cuminwall import lending
from cuminwall.direct import (
    membership,
    messages,
    shared_watermarks,
    usage_clock,
    usage_collection,
)
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.fleet_state import Coordinator, Lender
from cuminwall.direct.state import State

PART = "lender"

RATE_PREFIX = "rate:"
LENDABLE_FRACTIONS = (
    0.9,
    0.6,
)  # Of rate and burst; the rest goes token by token.
FLOOR_FRACTION = 0.05  # Of the limit, for all instances that are cut off.
MIN_FLOOR = (0.0, 0.5)
# Of the limit, per holder, and never more than an equal part; more comes token
# by token. So the silent instances of a zone tie up no more than its part.
MAX_HOLDER_FRACTION = 0.2
# By how much the fleet may grow while a share lasts.
MAX_GROWTH = 4 / 3
MIN_LEVEL = 1.5  # Tokens; a smaller bucket wastes much of its rate.
# How long a request shows that its sender uses no other lender.
MAJORITY_S = 0.6
# Of all instances together. The coordinator sets their pace, so that its work
# grows neither with their number nor with the operations that find no token.
MAX_REQUESTS_PER_S = 900.0
# Of tokens that were denied, of all workspaces together; each may ask in
# proportion to its rate.
MAX_ASKS_PER_S = 2000.0
# While renewals of its lease take longer than this, what is received holds them
# up, and it lets the others ask less often.
SLOW_RENEWAL_S = 0.1
SLOWDOWN_STEP = 1.5
MAX_SLOWDOWN = 6.0
# Back from the slowest pace in two seconds; meanwhile operations wait in vain.
RECOVERY_STEP = 0.83
CHECK_INTERVAL_S = 2.0  # Between checks for silent instances.
DRIFT_S = 1.0  # Margin before the shares of a silent process count as void.


def start(state: State, coordinator: Coordinator) -> None:
    """Starts to lend, as the new coordinator."""
    lender = state.lender = Lender(coordinator.epoch, state.now)
    if state.store_view.whole_revision:
        lender.view_since = state.store_view.whole_at
    lender.unreported = membership.other_processes(state)


def stop(state: State) -> None:
    """Stops lending."""
    state.lender = None


def handle_share_request(
    state: State, sender: str, request: messages.ShareRequest, out: list[Effect]
) -> messages.ShareReply | None:
    """Returns the reply to a request; None if it must not be answered."""
    lender = state.lender
    if lender is None or request.epoch != lender.epoch:
        return None
    if not membership.is_current(state, sender, request.boot):
        return None
    lender.last_request_at[sender] = state.now
    lender.earlier_request_at[sender] = (
        state.now - request.since_earlier_request_s
    )
    lender.supported_at[sender] = request.sent_no_earlier_than
    is_usage_taken = usage_collection.take(state, sender, request)
    if request.was_answered_earlier:
        lender.new_processes.discard(sender)
    else:
        lender.new_processes.add(sender)
    if not _may_lend(state, lender):
        return None
    holder = membership.process_name(sender, request.boot)
    grants = []
    for line in request.reports:
        limit = _find_limit(state, lender, line.name)
        if limit is None:
            continue
        grant = lending.handle_report(
            limit, holder, request.number, line, state.now
        )
        if grant is not None:
            grants.append(grant)
    if request.is_complete and lender.unreported.get(sender) == request.boot:
        del lender.unreported[sender]
    update_recovery(state, out)
    return messages.ShareReply(
        number=request.number,
        epoch=request.epoch,
        grants=tuple(grants),
        config_version=state.catalog.version,
        interval_s=_request_interval_s(state, lender),
        is_reported=lender.unreported.get(sender) != request.boot,
        sent_at=state.now,
        newest_change=state.store_view.newest_change,
        view_age_s=state.now - state.store_view.answered_at,
        watermarks=shared_watermarks.handle_request(state, request),
        clock_s=usage_clock.agreed_time(state),
        is_usage_taken=is_usage_taken,
    )


def adapt_pace(state: State, renewal_s: float) -> None:
    """Adapts the pace of the requests to how long a renewal has taken."""
    lender = state.lender
    if lender is None:
        return
    step = SLOWDOWN_STEP if renewal_s > SLOW_RENEWAL_S else RECOVERY_STEP
    lender.slowdown = min(MAX_SLOWDOWN, max(1.0, step * lender.slowdown))


def _request_interval_s(state: State, lender: Lender) -> float:
    """Returns the time between two requests of one instance."""
    return lender.slowdown * len(state.members) / MAX_REQUESTS_PER_S


def update_recovery(state: State, out: list[Effect]) -> None:
    """Ends the recovery once no share from an earlier lender can be in use."""
    lender = state.lender
    if lender is None or lender.is_recovered:
        return
    membership.drop_ended(state, lender.unreported)
    if _may_use_earlier_lender(state, lender, len(lender.unreported)):
        lender.earlier_lender_until = state.now
        for limit in lender.limits.values():
            lending.extend_earlier_leases(limit, state.now + MAJORITY_S)
    is_expired = state.now >= lender.earlier_lender_until + _max_share_s(state)
    if lender.unreported and not is_expired:
        if not _has_free_majority(state, lender):
            return
        fraction = _unreported_fraction(state, lender)
        if fraction != lender.unreported_fraction:
            lender.unreported_fraction = fraction
            lender.unreported_since = state.now
            for limit in lender.limits.values():
                lending.cap_unclaimed(limit, fraction, state.now)
        return
    lender.is_recovered = True
    lender.free_since = _free_since(state, lender)
    for limit in lender.limits.values():
        lending.drop_unclaimed(limit, lender.free_since, state.now)
    out.append(
        Note(
            PART,
            "settled",
            {
                "epoch": lender.epoch,
                "after_s": round(state.now - lender.started_at, 3),
                "free_s": round(state.now - lender.free_since, 3),
                "silent": sorted(lender.unreported),
            },
        )
    )


def _free_since(state: State, lender: Lender) -> float:
    """Returns since when no share from an earlier lender is in use.

    That is now, unless all processes were replaced: then nobody has used any
    since the last of them started or left.
    """
    if lender.unreported or not lender.new_processes.issuperset(state.members):
        return state.now
    since = max(lender.view_since, state.store_view.member_gone_at)
    for instance in state.members:
        since = max(since, lender.earlier_request_at[instance])
    return min(since, state.now)


def remove_silent_instances(state: State, out: list[Effect]) -> None:
    """Removes the records of instances that have long been silent."""
    lender = state.lender
    if lender is None or state.now < lender.next_check_at:
        return
    lender.next_check_at = state.now + CHECK_INTERVAL_S
    silent = []
    for instance in state.members:
        last_request_at = lender.last_request_at.get(
            instance, lender.started_at
        )
        if state.now - last_request_at > _max_share_s(state):
            silent.append(instance)
    if not _may_use_earlier_lender(state, lender, len(silent)):
        membership.remove_records(state, silent, out)


def _max_share_s(state: State) -> float:
    """Returns how long a silent process may go on using its shares.

    It includes the time for which an earlier lender may go on lending after
    it has lost its majority.
    """
    limits = state.limits
    longest_s = max(limits.share_lease_s, limits.share_floor_s)
    return MAJORITY_S + longest_s + DRIFT_S


def _has_free_majority(state: State, lender: Lender) -> bool:
    """Returns whether no earlier lender can still have a majority.

    Without its lease, a lender lends only to a majority that has sent it
    requests within the last `MAJORITY_S`.
    """
    count = 0
    for instance in state.members:
        last_sent_at = lender.earlier_request_at.get(instance, state.now)
        if state.now - last_sent_at >= MAJORITY_S:
            count += 1
    return 2 * count > len(state.members)


def _may_use_earlier_lender(state: State, lender: Lender, count: int) -> bool:
    """Returns whether `count` silent instances may use an earlier lender.

    Without the store, such a lender goes on for a limited time, as long as a
    majority sends it requests.
    """
    if 2 * count < len(state.members):
        return False
    return state.now < lender.started_at + state.limits.lend_without_lease_s


def _may_lend(state: State, lender: Lender) -> bool:
    """Returns whether no other lender can have a majority."""
    own_lease = state.own_lease
    if own_lease.is_valid(state.now) and own_lease.epoch == lender.epoch:
        return True
    if state.now >= own_lease.valid_until + state.limits.lend_without_lease_s:
        return False
    return 2 * count_supporters(state) > len(state.members)


def _unreported_fraction(state: State, lender: Lender) -> float:
    """Returns the fraction of a limit that unreported processes may hold."""
    if 2 * len(lender.unreported) >= len(state.members):
        return 1.0
    # An earlier lender may have known fewer instances.
    fraction = min(MAX_HOLDER_FRACTION, MAX_GROWTH * _holder_fraction(state))
    return min(1.0, len(lender.unreported) * fraction + FLOOR_FRACTION)


def _holder_fraction(state: State) -> float:
    """Returns the fraction of a limit that one holder may have."""
    return min(MAX_HOLDER_FRACTION, 1.0 / max(1, len(state.members)))


def _find_limit(
    state: State, lender: Lender, name: str
) -> lending.Limit | None:
    """Returns a limit as configured now; None if it is not configured."""
    entry = state.catalog.workspaces.get(name.removeprefix(RATE_PREFIX))
    if entry is None:
        # If it comes back, what was lent of it still counts.
        return None
    total = (entry.rate, entry.burst)
    limit = lender.limits.get(name)
    holder_fraction = _holder_fraction(state)
    if limit is not None:
        lending.set_total(limit, total, state.now)
        lending.set_holder_fraction(limit, holder_fraction)
        return limit
    policy = lending.Policy(
        lease_s=state.limits.share_lease_s,
        floor_s=state.limits.share_floor_s,
        drain_s=0.0,
        regular_fractions=LENDABLE_FRACTIONS,
        floor_fraction=FLOOR_FRACTION,
        max_floor_fraction=FLOOR_FRACTION,
        min_floor=MIN_FLOOR,
        is_integral=False,
        has_tokens=True,
        max_holder_fraction=holder_fraction,
        min_burst=MIN_LEVEL,
        asks_per_token=_asks_per_token(state),
    )
    since = min(lender.started_at, lender.free_since)
    limit = lending.Limit(total, policy, lender.epoch == 1, since)
    # Nothing of it was lent or reported before, so its tokens have added up.
    if lender.is_recovered:
        lending.drop_unclaimed(limit, lender.free_since, lender.free_since)
    else:
        lending.extend_earlier_leases(
            limit, lender.earlier_lender_until + MAJORITY_S
        )
        lending.cap_unclaimed(
            limit, lender.unreported_fraction, lender.unreported_since
        )
    lender.limits[name] = limit
    return limit


def _asks_per_token(state: State) -> float:
    """Returns how often holders may ask for each token that comes."""
    total_rate = sum(each.rate for each in state.catalog.workspaces.values())
    return max(1.0, MAX_ASKS_PER_S / max(1.0, total_rate))


def count_supporters(state: State) -> int:
    """Returns how many instances, with this one, use no other lender."""
    lender = state.lender
    if lender is None:
        return 0
    count = 1
    for instance, sent_at in lender.supported_at.items():
        if instance == state.instance or instance not in state.members:
            continue
        if state.now - sent_at <= MAJORITY_S:
            count += 1
    return count


def may_have_predecessor(state: State) -> bool:
    """Returns whether an earlier coordinator may still have a majority."""
    lender = state.lender
    if lender is None:
        return True
    if state.now >= lender.started_at + state.limits.lend_without_lease_s:
        return False
    return not _has_free_majority(state, lender)


def count_active_instances(state: State, within_s: float) -> int:
    """Returns how many other instances sent a request lately."""
    lender = state.lender
    if lender is None:
        return 0
    count = 0
    for instance, last_request_at in lender.last_request_at.items():
        if instance == state.instance:
            continue
        if state.now - last_request_at <= within_s:
            count += 1
    return count
