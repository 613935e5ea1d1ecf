"""The lender's accounting of one shared limit.

The amounts recorded for a holder are never below what that holder may use: a
holder reduces its use before it reports the reduction, and a grant that it
might still accept is counted as accepted. So the sum over all holders never
exceeds the total. The tokens of the unallocated part (`level`) are counted in
the same way.
"""

import math
import operator
from typing import NamedTuple

from cuminwall import leases, messages
from cuminwall.shares import Amounts

DIVISION_INTERVAL_S = 0.05
PREFETCH_FRACTION = (
    0.5  # Fraction of the lender's tokens that may be prefetched.
)

DENIED_S = 4.0  # A holder that has not asked for so long no longer counts.
MAX_RETRY_S = 3.0
ROUNDING = 1e-6  # Tokens; sums of fractions may be this far off.


class Policy(NamedTuple):
    """How limits of one kind are granted.

    Attributes:
      lease_s: Lease duration of a share.
      floor_s: Lease duration of the floor of a share.
      drain_s: How long a holder may go on using an expired share.
      regular_fractions: The fraction of each component available for regular
        demand; the rest stays in the pool.
      floor_fraction: The fraction of the total available for all floors.
      max_floor_fraction: The same, where each floor has a minimum amount.
      min_floor: The minimum useful amounts of a floor.
      is_integral: Whether amounts are integers.
      has_tokens: Whether the last component is a burst, with tokens.
      max_holder_fraction: The fraction of the total that one holder may have.
      min_burst: The minimum useful burst of a share; if not every holder
        can have it, tokens are fetched one by one instead.
      asks_per_token: How many times holders that were denied tokens may
        together ask for each token that comes.
    """

    lease_s: float
    floor_s: float
    drain_s: float
    regular_fractions: Amounts
    floor_fraction: float
    max_floor_fraction: float
    min_floor: Amounts
    is_integral: bool
    has_tokens: bool
    max_holder_fraction: float = 1.0
    min_burst: float = 0.0
    asks_per_token: float = 2.0


class Allocation:
    """A holder's share of a limit, as recorded by the lender.

    Attributes:
      number: The number of the holder's latest request.
      held: The most that the holder may have under the short lease.
      floor: The most that it may have under the long lease.
      wanted: What the holder would like to have.
      granted_at: When the last reply was sent.
      reserve_until: Until when the holder certainly doesn't use its floor.
      expires_at: When `held` has certainly expired.
      floor_expires_at: When the floor has certainly expired.
      level_sent: The tokens sent with the last reply.
      returned: The total of tokens that the holder has returned.
      is_active: Whether the holder takes part in the division.
      denied_at: When it last asked for tokens and did not get all; reset when
        it gets them.
      extra: What it gets beyond its ceiling, where integral amounts do not
        divide evenly.
    """

    __slots__ = (
        "number",
        "held",
        "floor",
        "wanted",
        "granted_at",
        "reserve_until",
        "expires_at",
        "floor_expires_at",
        "level_sent",
        "returned",
        "is_active",
        "denied_at",
        "extra",
    )

    def __init__(self, components: int):
        zeros = (0.0,) * components
        self.number = 0
        self.held: Amounts = zeros
        self.floor: Amounts = zeros
        self.wanted: Amounts = zeros
        self.granted_at = leases.NEVER
        self.reserve_until = leases.NEVER
        self.expires_at = leases.NEVER
        self.floor_expires_at = leases.NEVER
        self.level_sent = 0.0
        self.returned = 0.0
        self.is_active = True
        self.denied_at = leases.NEVER
        self.extra = 0.0


class Limit:
    """A shared limit at its lender.

    Attributes:
      total: The total that all holders together may have.
      policy: How it is granted.
      unclaimed: What holders of an earlier lender may still use without
        having reported it here.
      unclaimed_floors: The most of that which may be floors.
      allocated: The sum of the amounts under short leases.
      floors: The sum of all floors.
      reserve: The sum of the floors that their holders certainly don't use.
      reserve_until: When `reserve` has to be computed again.
      level: The tokens of the pool, which is the unallocated part and the
        reserve.
      level_at: When the level was last updated.
      allocations: By holder.
      active_count: How many of them take part in the division.
      denied_count: How many have lately been denied tokens.
      ceilings: The most that any holder gets, by component.
      divided_at: When the ceilings were computed.
      earlier_leases_until: When earlier lenders' short leases have expired.
      earlier_floors_until: When their floors have expired as well.
    """

    __slots__ = (
        "total",
        "policy",
        "unclaimed",
        "unclaimed_floors",
        "allocated",
        "floors",
        "reserve",
        "reserve_until",
        "level",
        "level_at",
        "allocations",
        "active_count",
        "denied_count",
        "ceilings",
        "divided_at",
        "earlier_leases_until",
        "earlier_floors_until",
    )

    def __init__(
        self, total: Amounts, policy: Policy, is_first: bool, since: float
    ):
        """Starts to grant shares of a limit.

        Args:
          total: The total that all holders together may have.
          policy: How it is granted.
          is_first: Whether there was no earlier lender.
          since: When this lender took over.
        """
        zeros = (0.0,) * len(total)
        self.total = total
        self.policy = policy
        self.unclaimed: Amounts = zeros if is_first else total
        self.unclaimed_floors: Amounts = zeros
        self.allocated: Amounts = zeros
        self.floors: Amounts = zeros
        self.reserve: Amounts = zeros
        self.reserve_until = float("inf")
        self.level = total[-1] if is_first else 0.0
        self.level_at = since
        self.allocations: dict[str, Allocation] = {}
        self.active_count = 0
        self.denied_count = 0
        self.ceilings: Amounts = total
        self.divided_at = leases.NEVER
        self.earlier_leases_until = leases.NEVER
        self.earlier_floors_until = leases.NEVER
        if not is_first:
            self.unclaimed_floors = tuple(_floor_budgets(self))
            self.earlier_leases_until = _lender_expiry(
                policy, since, policy.lease_s
            )
            self.earlier_floors_until = _lender_expiry(
                policy, since, policy.floor_s
            )


def handle_report(
    limit: Limit,
    holder: str,
    number: int,
    report: messages.ShareReport,
    now: float,
) -> messages.ShareGrant | None:
    """Processes a holder's report and returns its grant.

    Returns None if the report is final or the request is outdated.
    """
    refill(limit, now)
    allocation = limit.allocations.get(holder)
    is_new = allocation is None
    if allocation is None:
        allocation = limit.allocations[holder] = Allocation(len(limit.total))
        allocation.returned = report.returned
        limit.active_count += 1
    elif number <= allocation.number:
        return None
    _drop_expired(limit, allocation, now)
    _apply_report(limit, allocation, report, is_new)
    if not is_new:
        _extend_reserve(limit, allocation, report, now)
    _collect_tokens(limit, allocation, report)
    allocation.number = number
    _set_active(limit, allocation, not report.is_final)
    if report.is_final:
        return None
    allocation.wanted = report.wanted
    _renew(limit, allocation, now)
    if now - limit.divided_at >= DIVISION_INTERVAL_S or is_new:
        _divide(limit, now)
    return _grant(limit, allocation, report, now)


def set_total(limit: Limit, total: Amounts, now: float) -> None:
    """Changes the total after a change of the configuration."""
    if total == limit.total:
        return
    refill(limit, now)
    limit.total = total
    limit.divided_at = leases.NEVER
    _trim_level(limit)


def set_holder_fraction(limit: Limit, fraction: float) -> None:
    """Changes the fraction of the total that one holder may have."""
    if fraction != limit.policy.max_holder_fraction:
        limit.policy = limit.policy._replace(max_holder_fraction=fraction)
        limit.divided_at = leases.NEVER


def drop_unclaimed(limit: Limit, free_since: float, now: float) -> None:
    """Drops the unclaimed amounts once all holders have reported.

    Whatever is still unclaimed then belonged to processes that have ended.

    Args:
      limit: The limit.
      free_since: Since when nobody has used the unclaimed amounts, in seconds.
      now: The time, in seconds.
    """
    refill(limit, now)
    if limit.policy.has_tokens:
        limit.level += limit.unclaimed[0] * max(0.0, now - free_since)
    limit.unclaimed = (0.0,) * len(limit.total)
    limit.unclaimed_floors = limit.unclaimed
    limit.earlier_leases_until = leases.NEVER
    limit.earlier_floors_until = leases.NEVER
    limit.divided_at = leases.NEVER
    _trim_level(limit)


def cap_unclaimed(limit: Limit, fraction: float, now: float) -> None:
    """Limits the unclaimed amounts to a fraction of the total.

    Args:
      limit: The limit.
      fraction: The most that holders which have not reported may have.
      now: The time, in seconds.
    """
    refill(limit, now)
    cap = tuple(total * fraction for total in limit.total)
    limit.unclaimed = _min(limit.unclaimed, cap)
    limit.unclaimed_floors = _min(limit.unclaimed_floors, limit.unclaimed)


def extend_earlier_leases(limit: Limit, granted_until: float) -> None:
    """Postpones the assumed expiry of an earlier lender's leases.

    Args:
      limit: The limit, with holders that have not reported.
      granted_until: Until when an earlier lender may have granted, in seconds.
    """
    if limit.earlier_floors_until <= limit.level_at:
        return
    policy = limit.policy
    leases_until = _lender_expiry(policy, granted_until, policy.lease_s)
    if limit.earlier_leases_until > limit.level_at:
        limit.earlier_leases_until = max(
            limit.earlier_leases_until, leases_until
        )
    floors_until = _lender_expiry(policy, granted_until, policy.floor_s)
    limit.earlier_floors_until = max(limit.earlier_floors_until, floors_until)


def unallocated(limit: Limit) -> Amounts:
    """Returns the unallocated amounts; negative after a reduced total."""
    amounts = []
    for index, total in enumerate(limit.total):
        held = limit.allocated[index] + limit.floors[index]
        amounts.append(total - limit.unclaimed[index] - held)
    return tuple(amounts)


def refill(limit: Limit, now: float) -> None:
    """Adds the tokens that the pool has gained up to `now`."""
    if limit.level_at < limit.earlier_leases_until <= now:
        _add_gained(limit, limit.earlier_leases_until)
        limit.unclaimed = _min(limit.unclaimed, limit.unclaimed_floors)
    if limit.level_at < limit.earlier_floors_until <= now:
        _add_gained(limit, limit.earlier_floors_until)
        limit.unclaimed = (0.0,) * len(limit.total)
        limit.unclaimed_floors = limit.unclaimed
    _add_gained(limit, now)


def water_level(wants: list[float], total: float) -> float:
    """Returns the ceiling of a max-min fair division (water-filling)."""
    remaining = total
    for index, want in enumerate(sorted(wants)):
        equal_part = remaining / (len(wants) - index)
        if want > equal_part:
            return max(0.0, equal_part)
        remaining -= want
    return float("inf")


def _lender_expiry(policy: Policy, now: float, duration_s: float) -> float:
    """Returns when a share granted now has certainly expired and drained."""
    return leases.lender_expiry(now, duration_s) + policy.drain_s


def _add_gained(limit: Limit, now: float) -> None:
    """Adds the pool's tokens up to `now`, across expiries of the reserve."""
    while limit.reserve_until <= now:
        _add_at_constant_rate(limit, limit.reserve_until)
        _update_reserve(limit, limit.level_at)
    _add_at_constant_rate(limit, now)


def _add_at_constant_rate(limit: Limit, now: float) -> None:
    """Adds the tokens of an interval in which the pool did not change."""
    elapsed_s = max(0.0, now - limit.level_at)
    limit.level_at = max(limit.level_at, now)
    if not limit.policy.has_tokens:
        return
    limit.level += elapsed_s * max(0.0, _pool(limit, 0))
    _trim_level(limit)


def _pool(limit: Limit, index: int) -> float:
    """Returns the pool's amount of a component."""
    return unallocated(limit)[index] + limit.reserve[index]


def _trim_level(limit: Limit) -> None:
    """Drops the tokens that exceed the pool's burst."""
    limit.level = min(limit.level, max(0.0, _pool(limit, -1)))


def _update_reserve(limit: Limit, now: float) -> None:
    """Adds up the floors that their holders certainly don't use now."""
    sums = [0.0] * len(limit.total)
    limit.reserve_until = float("inf")
    for allocation in limit.allocations.values():
        if now >= allocation.reserve_until:
            continue
        limit.reserve_until = min(limit.reserve_until, allocation.reserve_until)
        for index, amount in enumerate(allocation.floor):
            sums[index] += amount
    limit.reserve = tuple(sums)
    _trim_level(limit)


def _floor_budgets(limit: Limit) -> list[float]:
    """Returns the most that all floors together may have."""
    policy = limit.policy
    budgets = []
    for total, minimum in zip(limit.total, policy.min_floor, strict=True):
        fraction = (
            policy.max_floor_fraction if minimum else policy.floor_fraction
        )
        budgets.append(total * fraction)
    return budgets


def _set_amounts(
    limit: Limit, allocation: Allocation, held: Amounts, floor: Amounts
) -> None:
    """Changes the amounts of an allocation and updates the sums."""
    is_reserved = limit.level_at < allocation.reserve_until
    allocated = []
    floors = []
    reserve = []
    for index, amount in enumerate(held):
        allocated.append(
            limit.allocated[index] + amount - allocation.held[index]
        )
        change = floor[index] - allocation.floor[index]
        floors.append(limit.floors[index] + change)
        reserve.append(limit.reserve[index] + change * is_reserved)
    limit.allocated = tuple(allocated)
    limit.floors = tuple(floors)
    limit.reserve = tuple(reserve)
    allocation.held = held
    allocation.floor = floor


def _set_active(limit: Limit, allocation: Allocation, is_active: bool) -> None:
    """Sets whether a holder takes part in the division."""
    if allocation.is_active != is_active:
        limit.active_count += 1 if is_active else -1
        limit.divided_at = leases.NEVER
    allocation.is_active = is_active


def _renew(limit: Limit, allocation: Allocation, now: float) -> None:
    """Restarts the lease of an allocation."""
    allocation.expires_at = _lender_expiry(
        limit.policy, now, limit.policy.lease_s
    )
    allocation.floor_expires_at = max(
        allocation.floor_expires_at, allocation.expires_at
    )


def _drop_expired(limit: Limit, allocation: Allocation, now: float) -> None:
    """Reclaims expired amounts; their tokens are lost."""
    zeros = (0.0,) * len(limit.total)
    if now >= allocation.floor_expires_at:
        _set_amounts(limit, allocation, zeros, zeros)
    elif now >= allocation.expires_at:
        _set_amounts(limit, allocation, zeros, allocation.floor)


def _apply_report(
    limit: Limit,
    allocation: Allocation,
    report: messages.ShareReport,
    is_new: bool,
) -> None:
    """Reduces an allocation to the amounts that its holder reports.

    A holder that is new to this lender had its share from an earlier one. It
    claims that share once, from the unclaimed amounts.
    """
    if not is_new:
        held = _min(report.held, allocation.held)
        _set_amounts(
            limit, allocation, held, _min(report.floor, allocation.floor)
        )
        return
    floor = _min(report.floor, limit.unclaimed_floors)
    floor = _min(floor, limit.unclaimed)
    limit.unclaimed_floors = _subtract(limit.unclaimed_floors, floor)
    limit.unclaimed = _subtract(limit.unclaimed, floor)
    held = _min(report.held, limit.unclaimed)
    limit.unclaimed = _subtract(limit.unclaimed, held)
    _set_amounts(limit, allocation, held, floor)


def _extend_reserve(
    limit: Limit,
    allocation: Allocation,
    report: messages.ShareReport,
    now: float,
) -> None:
    """Extends the time in which the holder certainly doesn't use its floor.

    That is the lease duration of its last grant, counted from its receipt.
    """
    if (
        not limit.policy.has_tokens
        or report.accepted_number != allocation.number
    ):
        return
    until = leases.lender_expiry(allocation.granted_at, limit.policy.lease_s)
    if now >= until:
        return
    was_reserved = now < allocation.reserve_until
    allocation.reserve_until = until
    if not was_reserved:
        _update_reserve(limit, now)


def _collect_tokens(
    limit: Limit, allocation: Allocation, report: messages.ShareReport
) -> None:
    """Adds returned tokens, and those of a grant that was not accepted."""
    if not limit.policy.has_tokens:
        return
    if report.accepted_number != allocation.number:
        limit.level += allocation.level_sent
    allocation.level_sent = 0.0
    limit.level += max(0.0, report.returned - allocation.returned)
    allocation.returned = report.returned
    _trim_level(limit)


def _subtract(one: Amounts, other: Amounts) -> Amounts:
    """Returns the component-wise difference."""
    return tuple(map(operator.sub, one, other))


def _min(one: Amounts, other: Amounts) -> Amounts:
    """Returns the component-wise minimum."""
    return tuple(map(min, one, other))


def _divide(limit: Limit, now: float) -> None:
    """Drops expired allocations and computes the max-min fair ceilings."""
    _expire(limit, now)
    limit.divided_at = now
    limit.denied_count = _count_denied(limit, now)
    ceilings = []
    for index, total in enumerate(limit.total):
        wants = []
        lendable = total - limit.unclaimed[index]
        available = lendable * limit.policy.regular_fractions[index]
        for allocation in limit.allocations.values():
            if allocation.is_active:
                wants.append(_want_of(limit, allocation, index))
        cap = total * limit.policy.max_holder_fraction
        ceilings.append(min(cap, water_level(wants, available)))
    if limit.policy.has_tokens and ceilings[-1] < limit.policy.min_burst:
        ceilings = [0.0] * len(ceilings)
    limit.ceilings = tuple(ceilings)
    if limit.policy.is_integral:
        _divide_remainder(limit)


def _count_denied(limit: Limit, now: float) -> int:
    """Returns how many holders have lately been denied tokens."""
    count = 0
    for allocation in limit.allocations.values():
        if now - allocation.denied_at <= DENIED_S:
            count += 1
    return count


def _retry_s(
    limit: Limit,
    allocation: Allocation,
    report: messages.ShareReport,
    now: float,
) -> float:
    """Returns after what time a holder should ask for tokens again.

    All that lack tokens then ask a few times for each token that comes, no
    matter how many they are.
    """
    if not limit.policy.has_tokens or report.shortfall <= 0:
        return 0.0
    if allocation.level_sent + ROUNDING >= report.shortfall:
        allocation.denied_at = leases.NEVER
        return 0.0
    allocation.denied_at = now
    count = max(1, limit.denied_count)
    asks_per_s = limit.policy.asks_per_token * limit.total[0]
    if asks_per_s * MAX_RETRY_S <= count:
        return MAX_RETRY_S
    return count / asks_per_s


def _divide_remainder(limit: Limit) -> None:
    """Assigns the remainder of an integral division, one unit per holder."""
    ceiling = limit.ceilings[0]
    remainder = limit.total[0]
    above = []
    for holder, allocation in limit.allocations.items():
        allocation.extra = 0.0
        if not allocation.is_active:
            continue
        want = _want_of(limit, allocation, 0)
        remainder -= int(min(want, ceiling))
        if want > ceiling:
            above.append(holder)
    for holder in sorted(above)[: max(0, int(remainder))]:
        limit.allocations[holder].extra = 1.0


def _expire(limit: Limit, now: float) -> None:
    """Drops expired amounts, and allocations that are no longer needed."""
    for holder, allocation in list(limit.allocations.items()):
        _drop_expired(limit, allocation, now)
        if now < allocation.expires_at:
            continue
        _set_active(limit, allocation, False)
        if now < max(allocation.floor_expires_at, limit.earlier_floors_until):
            # Its holder must not claim a share of an earlier lender twice.
            continue
        del limit.allocations[holder]


def _floor_per_holder(limit: Limit, index: int) -> float:
    """Returns the floor that each active holder should have."""
    policy = limit.policy
    count = max(1, limit.active_count)
    total = limit.total[index]
    minimum = policy.min_floor[index]
    budget = max(
        total * policy.floor_fraction,
        min(total * policy.max_floor_fraction, count * minimum),
    )
    floor = max(minimum, budget / count)
    return float(int(floor)) if policy.is_integral else floor


def _floor_for(limit: Limit, allocation: Allocation) -> Amounts:
    """Returns the floor for one holder, within the budget of all floors."""
    floors = []
    available = unallocated(limit)
    for index, budget in enumerate(_floor_budgets(limit)):
        others = limit.floors[index] - allocation.floor[index]
        others += limit.unclaimed_floors[index]
        room = min(budget - others, allocation.floor[index] + available[index])
        floor = min(_floor_per_holder(limit, index), room)
        if floor <= 0 or floor < limit.policy.min_floor[index]:
            return (0.0,) * len(limit.total)
        floors.append(float(int(floor)) if limit.policy.is_integral else floor)
    return tuple(floors)


def _grant(
    limit: Limit,
    allocation: Allocation,
    report: messages.ShareReport,
    now: float,
) -> messages.ShareGrant:
    """Grants a holder what fits and records it."""
    policy = limit.policy
    held_before = allocation.held
    floor = _floor_for(limit, allocation)
    _set_amounts(
        limit, allocation, held_before, tuple(map(max, allocation.floor, floor))
    )
    amounts = []
    for index, available in enumerate(unallocated(limit)):
        share = _share_of(limit, allocation, report, index)
        if not policy.has_tokens:
            share -= floor[index]
        amounts.append(
            max(0.0, min(share, held_before[index] + max(0.0, available)))
        )
    held = tuple(amounts)
    _set_amounts(
        limit, allocation, tuple(map(max, held_before, held)), allocation.floor
    )
    allocation.granted_at = now
    if any(floor):
        allocation.floor_expires_at = _lender_expiry(
            policy, now, policy.floor_s
        )
    level = _send_tokens(limit, allocation, report, held)
    return messages.ShareGrant(
        report.name,
        held,
        floor,
        level,
        policy.lease_s,
        policy.floor_s,
        _retry_s(limit, allocation, report, now),
    )


def _want_of(limit: Limit, allocation: Allocation, index: int) -> float:
    """Returns what a holder wants, at least a floor that adds to `held`."""
    if limit.policy.has_tokens:
        return allocation.wanted[index]
    return max(allocation.wanted[index], _floor_per_holder(limit, index))


def _share_of(
    limit: Limit,
    allocation: Allocation,
    report: messages.ShareReport,
    index: int,
) -> float:
    """Returns a holder's fair share of a component."""
    share = min(_want_of(limit, allocation, index), limit.ceilings[index])
    if limit.policy.is_integral:
        return float(int(share)) + allocation.extra
    is_burst = limit.policy.has_tokens and index == len(limit.total) - 1
    if is_burst and report.shortfall > 0:
        share = max(share, report.level + _whole_tokens(limit, report))
    return share


def _whole_tokens(limit: Limit, report: messages.ShareReport) -> float:
    """Returns the tokens that make up whole ones with those of the holder.

    Parts of a token are of no use to a holder, and many holders would tie up
    the whole pool with them.
    """
    available = min(report.shortfall, max(0.0, limit.level))
    whole = math.floor(report.level + available + ROUNDING)
    return min(available, max(0.0, whole - report.level))


def _send_tokens(
    limit: Limit,
    allocation: Allocation,
    report: messages.ShareReport,
    held: Amounts,
) -> float:
    """Moves tokens to a holder, as far as its burst has room for them."""
    if not limit.policy.has_tokens:
        return 0.0
    room = max(0.0, held[-1] - report.level)
    sent = min(_whole_tokens(limit, report), room)
    prefetch = min(
        report.prefetch, (limit.level - sent) * PREFETCH_FRACTION, room - sent
    )
    sent += max(0.0, prefetch)
    # The granted burst no longer belongs to the pool. Tokens that exceed the
    # pool's remaining burst are sent along.
    excess = limit.level - sent - max(0.0, _pool(limit, -1))
    sent += max(0.0, min(excess, room - sent))
    limit.level -= sent
    _trim_level(limit)
    allocation.level_sent = sent
    return sent
