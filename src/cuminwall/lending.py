"""The lender's table of one shared limit.

What the lender counts for a holder is never below what that holder may use:
the holder shrinks before it tells, and an answer that it might still take is
counted as taken. So the sum over all holders never exceeds the whole. The
tokens that belong to the unlent part (`level`) are counted the same way.
"""

import operator
from typing import NamedTuple

from cuminwall import leases, messages
from cuminwall.shares import Amounts

DIVISION_INTERVAL_S = 0.05
PREFETCH_FRACTION = (
    0.5  # Of the lender's tokens, for a holder that has no waiters.
)


class Policy(NamedTuple):
    """How a kind of limit is lent.

    Attributes:
      lease_s: How long a share is lent.
      floor_s: How long the floor of a share is lent.
      drain_s: How long a holder may go on using what has lapsed.
      regular_fractions: The part of each component that regular wants may take.
      floor_fraction: The part of the whole that all floors may take.
      max_floor_fraction: The same when each floor needs its least amount.
      min_floor: The least amounts that are of use as a floor.
      is_integral: Whether amounts are whole numbers.
      has_tokens: Whether the last component is a burst, with tokens.
      max_holder_fraction: The part of the whole that one holder may have at most.
      min_burst: The tokens that a share must have room for to be of use;
        when not all can have so many, every token is fetched by itself.
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


class Allocation:
    """What a holder has of a limit, as the lender counts it.

    Attributes:
      number: The number of the holder's latest ask.
      held: What is lent for a short time, at most.
      floor: What is lent for long beside it, at most.
      wanted: What it would like to hold.
      granted_at: When the last answer was given.
      reserve_until: Until when the holder surely doesn't use its floor.
      expires_at: When `held` has surely lapsed.
      floor_expires_at: When the floor has surely lapsed.
      level_sent: The tokens that the last answer carried.
      returned: The tokens that it has ever given back.
      is_active: Whether the holder takes part in the division.
      extra: What it gets beyond its ceiling, of whole amounts that do not
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
        self.extra = 0.0


class Limit:
    """A shared limit at its lender.

    Attributes:
      total: What may be held in all.
      policy: How it is lent.
      unclaimed: What holders of an earlier lender may still use unheard.
      unclaimed_floors: The part of that which is lent for long, at most.
      allocated: The sum of what is lent for a short time.
      floors: The sum of all floors.
      reserve: The sum of the floors that no holder uses now.
      reserve_until: When that must be worked out anew.
      level: The tokens of the pool: of the unlent part and the reserve.
      level_at: When the level was worked out.
      allocations: By holder.
      active_count: How many of them take part in the division.
      ceilings: What no holder gets more of, by component.
      divided_at: When that was worked out.
      earlier_leases_until: When earlier loans beyond their floors have lapsed.
      earlier_floors_until: When every earlier loan has lapsed.
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
        "ceilings",
        "divided_at",
        "earlier_leases_until",
        "earlier_floors_until",
    )

    def __init__(
        self, total: Amounts, policy: Policy, is_first: bool, since: float
    ):
        """Begins to lend a limit.

        Args:
          total: What may be held in all.
          policy: How it is lent.
          is_first: Whether nobody lent it before.
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
        self.ceilings: Amounts = total
        self.divided_at = leases.NEVER
        self.earlier_leases_until = leases.NEVER
        self.earlier_floors_until = leases.NEVER
        if not is_first:
            self.unclaimed_floors = tuple(_floor_budgets(self))
            self.earlier_leases_until = _lapses_at(
                policy, since, policy.lease_s
            )
            self.earlier_floors_until = _lapses_at(
                policy, since, policy.floor_s
            )


def handle_report(
    limit: Limit,
    holder: str,
    number: int,
    line: messages.ShareReport,
    now: float,
) -> messages.ShareGrant | None:
    """Takes in what a holder states and returns what it may have.

    Returns None when the ask is an old one.
    """
    refill(limit, now)
    loan = limit.allocations.get(holder)
    is_new = loan is None
    if loan is None:
        loan = limit.allocations[holder] = Allocation(len(limit.total))
        loan.returned = line.returned
        limit.active_count += 1
    elif number <= loan.number:
        return None
    _lapse(limit, loan, now)
    _count_stated(limit, loan, line, is_new)
    if not is_new:
        _note_accepted(limit, loan, line, now)
    _take_tokens(limit, loan, line)
    loan.number = number
    _set_open(limit, loan, not line.is_final)
    if line.is_final:
        return None
    loan.wanted = line.wanted
    _extend(limit, loan, now)
    if now - limit.divided_at >= DIVISION_INTERVAL_S or is_new:
        _divide(limit, now)
    return _grant(limit, loan, line, now)


def set_total(limit: Limit, total: Amounts, now: float) -> None:
    """Takes over a changed configuration of the limit."""
    if total == limit.total:
        return
    refill(limit, now)
    limit.total = total
    limit.divided_at = leases.NEVER
    _trim_level(limit)


def drop_unclaimed(limit: Limit, now: float) -> None:
    """Takes in that no holder of an earlier lender is unheard any more.

    What is unclaimed then was held by processes that have ended.
    """
    refill(limit, now)
    limit.unclaimed = (0.0,) * len(limit.total)
    limit.unclaimed_floors = limit.unclaimed
    limit.earlier_leases_until = leases.NEVER
    limit.earlier_floors_until = leases.NEVER
    limit.divided_at = leases.NEVER


def cap_unclaimed(limit: Limit, fraction: float, now: float) -> None:
    """Takes in how much of the whole unheard holders may have at most.

    Args:
      limit: The limit.
      fraction: The part of the whole.
      now: The time, in seconds.
    """
    refill(limit, now)
    most = tuple(whole * fraction for whole in limit.total)
    limit.unclaimed = _least(limit.unclaimed, most)
    limit.unclaimed_floors = _least(limit.unclaimed_floors, limit.unclaimed)


def extend_earlier_leases(limit: Limit, granted_until: float) -> None:
    """Takes in that an earlier lender may have lent until a time.

    Args:
      limit: The limit, with unheard holders.
      granted_until: The time, in seconds.
    """
    if limit.earlier_floors_until <= limit.level_at:
        return
    policy = limit.policy
    quiet_until = _lapses_at(policy, granted_until, policy.lease_s)
    if limit.earlier_leases_until > limit.level_at:
        limit.earlier_leases_until = max(
            limit.earlier_leases_until, quiet_until
        )
    floor_quiet_until = _lapses_at(policy, granted_until, policy.floor_s)
    limit.earlier_floors_until = max(
        limit.earlier_floors_until, floor_quiet_until
    )


def unallocated(limit: Limit) -> Amounts:
    """Returns what nobody holds; negative after the whole was reduced."""
    found = []
    for place, whole in enumerate(limit.total):
        held = limit.allocated[place] + limit.floors[place]
        found.append(whole - limit.unclaimed[place] - held)
    return tuple(found)


def refill(limit: Limit, now: float) -> None:
    """Lets the pool gain tokens up to `now`."""
    if limit.level_at < limit.earlier_leases_until <= now:
        _gain(limit, limit.earlier_leases_until)
        limit.unclaimed = _least(limit.unclaimed, limit.unclaimed_floors)
    if limit.level_at < limit.earlier_floors_until <= now:
        _gain(limit, limit.earlier_floors_until)
        limit.unclaimed = (0.0,) * len(limit.total)
        limit.unclaimed_floors = limit.unclaimed
    _gain(limit, now)


def water_level(wants: list[float], total: float) -> float:
    """Returns the max-min fair ceiling: nobody gets more, all of it fits."""
    left = total
    for place, want in enumerate(sorted(wants)):
        part = left / (len(wants) - place)
        if want > part:
            return max(0.0, part)
        left -= want
    return float("inf")


def _lapses_at(policy: Policy, now: float, duration_s: float) -> float:
    """Returns when a loan of now has surely lapsed and drained."""
    return leases.lender_expiry(now, duration_s) + policy.drain_s


def _gain(limit: Limit, now: float) -> None:
    """Adds the tokens of the pool's rate."""
    while limit.reserve_until <= now:
        _gain_evenly(limit, limit.reserve_until)
        _sum_reserve(limit, limit.level_at)
    _gain_evenly(limit, now)


def _gain_evenly(limit: Limit, now: float) -> None:
    """Adds the tokens of a time in which the pool did not change."""
    passed_s = max(0.0, now - limit.level_at)
    limit.level_at = max(limit.level_at, now)
    if not limit.policy.has_tokens:
        return
    limit.level += passed_s * max(0.0, _pool(limit, 0))
    _trim_level(limit)


def _pool(limit: Limit, place: int) -> float:
    """Returns the pool's amount of a component."""
    return unallocated(limit)[place] + limit.reserve[place]


def _trim_level(limit: Limit) -> None:
    """Keeps the tokens within the pool's burst."""
    limit.level = min(limit.level, max(0.0, _pool(limit, -1)))


def _sum_reserve(limit: Limit, now: float) -> None:
    """Adds up the floors that their holders surely don't use now."""
    sums = [0.0] * len(limit.total)
    limit.reserve_until = float("inf")
    for loan in limit.allocations.values():
        if now >= loan.reserve_until:
            continue
        limit.reserve_until = min(limit.reserve_until, loan.reserve_until)
        for place, amount in enumerate(loan.floor):
            sums[place] += amount
    limit.reserve = tuple(sums)
    _trim_level(limit)


def _floor_budgets(limit: Limit) -> list[float]:
    """Returns what all floors together may take at most."""
    policy = limit.policy
    budgets = []
    for whole, least in zip(limit.total, policy.min_floor, strict=True):
        part = policy.max_floor_fraction if least else policy.floor_fraction
        budgets.append(whole * part)
    return budgets


def _set_loan(
    limit: Limit, loan: Allocation, held: Amounts, floor: Amounts
) -> None:
    """Changes a loan and the sums."""
    is_reserved = limit.level_at < loan.reserve_until
    lent = []
    floors = []
    reserve = []
    for place, amount in enumerate(held):
        lent.append(limit.allocated[place] + amount - loan.held[place])
        change = floor[place] - loan.floor[place]
        floors.append(limit.floors[place] + change)
        reserve.append(limit.reserve[place] + change * is_reserved)
    limit.allocated = tuple(lent)
    limit.floors = tuple(floors)
    limit.reserve = tuple(reserve)
    loan.held = held
    loan.floor = floor


def _set_open(limit: Limit, loan: Allocation, is_open: bool) -> None:
    """Notes whether a holder takes part in the division."""
    if loan.is_active != is_open:
        limit.active_count += 1 if is_open else -1
        limit.divided_at = leases.NEVER
    loan.is_active = is_open


def _extend(limit: Limit, loan: Allocation, now: float) -> None:
    """Counts a loan as lent from now on."""
    loan.expires_at = _lapses_at(limit.policy, now, limit.policy.lease_s)
    loan.floor_expires_at = max(loan.floor_expires_at, loan.expires_at)


def _lapse(limit: Limit, loan: Allocation, now: float) -> None:
    """Takes back what has lapsed; its tokens are lost."""
    zeros = (0.0,) * len(limit.total)
    if now >= loan.floor_expires_at:
        _set_loan(limit, loan, zeros, zeros)
    elif now >= loan.expires_at:
        _set_loan(limit, loan, zeros, loan.floor)


def _count_stated(
    limit: Limit, loan: Allocation, line: messages.ShareReport, is_new: bool
) -> None:
    """Lowers a loan to what its holder states.

    A holder that is new to this lender had its share from an earlier one;
    that share is claimed once, from what is not yet claimed.
    """
    if not is_new:
        held = _least(line.held, loan.held)
        _set_loan(limit, loan, held, _least(line.floor, loan.floor))
        return
    floor = _least(line.floor, limit.unclaimed_floors)
    floor = _least(floor, limit.unclaimed)
    limit.unclaimed_floors = _minus(limit.unclaimed_floors, floor)
    limit.unclaimed = _minus(limit.unclaimed, floor)
    held = _least(line.held, limit.unclaimed)
    limit.unclaimed = _minus(limit.unclaimed, held)
    _set_loan(limit, loan, held, floor)


def _note_accepted(
    limit: Limit, loan: Allocation, line: messages.ShareReport, now: float
) -> None:
    """Extends the time in which the holder surely leaves its floor alone.

    It does so for as long as its last answer is lent, from its receipt.
    """
    if not limit.policy.has_tokens or line.accepted_number != loan.number:
        return
    until = leases.lender_expiry(loan.granted_at, limit.policy.lease_s)
    if now >= until:
        return
    was_reserved = now < loan.reserve_until
    loan.reserve_until = until
    if not was_reserved:
        _sum_reserve(limit, now)


def _take_tokens(
    limit: Limit, loan: Allocation, line: messages.ShareReport
) -> None:
    """Takes in the tokens given back, or sent with an answer not taken."""
    if not limit.policy.has_tokens:
        return
    if line.accepted_number != loan.number:
        limit.level += loan.level_sent
    loan.level_sent = 0.0
    limit.level += max(0.0, line.returned - loan.returned)
    loan.returned = line.returned
    _trim_level(limit)


def _minus(one: Amounts, other: Amounts) -> Amounts:
    """Returns the difference of each component."""
    return tuple(map(operator.sub, one, other))


def _least(one: Amounts, other: Amounts) -> Amounts:
    """Returns the lesser amount of each component."""
    return tuple(map(min, one, other))


def _divide(limit: Limit, now: float) -> None:
    """Drops lapsed loans and works out the max-min fair ceilings."""
    _expire(limit, now)
    limit.divided_at = now
    ceilings = []
    for place, whole in enumerate(limit.total):
        wants = []
        lendable = whole * limit.policy.regular_fractions[place]
        for loan in limit.allocations.values():
            if loan.is_active:
                wants.append(_want_of(limit, loan, place))
        most = whole * limit.policy.max_holder_fraction
        ceilings.append(min(most, water_level(wants, lendable)))
    if limit.policy.has_tokens and ceilings[-1] < limit.policy.min_burst:
        ceilings = [0.0] * len(ceilings)
    limit.ceilings = tuple(ceilings)
    if limit.policy.is_integral:
        _divide_rest(limit)


def _divide_rest(limit: Limit) -> None:
    """Gives out, one each, what does not divide evenly."""
    ceiling = limit.ceilings[0]
    rest = limit.total[0]
    above = []
    for holder, loan in limit.allocations.items():
        loan.extra = 0.0
        if not loan.is_active:
            continue
        want = _want_of(limit, loan, 0)
        rest -= int(min(want, ceiling))
        if want > ceiling:
            above.append(holder)
    for holder in sorted(above)[: max(0, int(rest))]:
        limit.allocations[holder].extra = 1.0


def _expire(limit: Limit, now: float) -> None:
    """Drops what has lapsed."""
    for holder, loan in list(limit.allocations.items()):
        _lapse(limit, loan, now)
        if now < loan.expires_at:
            continue
        _set_open(limit, loan, False)
        if now < max(loan.floor_expires_at, limit.earlier_floors_until):
            # Until then it must not claim from an earlier lender again.
            continue
        del limit.allocations[holder]


def _floor_of_one(limit: Limit, place: int) -> float:
    """Returns the floor that each open holder should have, if it is of use."""
    policy = limit.policy
    count = max(1, limit.active_count)
    whole = limit.total[place]
    least = policy.min_floor[place]
    budget = max(
        whole * policy.floor_fraction,
        min(whole * policy.max_floor_fraction, count * least),
    )
    part = max(least, budget / count)
    return float(int(part)) if policy.is_integral else part


def _floor_for(limit: Limit, loan: Allocation) -> Amounts:
    """Returns the floor for one holder, within the budget of all floors."""
    found = []
    unlent = unallocated(limit)
    for place, budget in enumerate(_floor_budgets(limit)):
        others = limit.floors[place] - loan.floor[place]
        others += limit.unclaimed_floors[place]
        room = min(budget - others, loan.floor[place] + unlent[place])
        part = min(_floor_of_one(limit, place), room)
        if part <= 0 or part < limit.policy.min_floor[place]:
            return (0.0,) * len(limit.total)
        found.append(float(int(part)) if limit.policy.is_integral else part)
    return tuple(found)


def _grant(
    limit: Limit, loan: Allocation, line: messages.ShareReport, now: float
) -> messages.ShareGrant:
    """Lends what fits, counts it, and returns it."""
    policy = limit.policy
    kept = loan.held
    floor = _floor_for(limit, loan)
    _set_loan(limit, loan, kept, tuple(map(max, loan.floor, floor)))
    targets = []
    for place, left in enumerate(unallocated(limit)):
        share = _share_of(limit, loan, line, place)
        if not policy.has_tokens:
            share -= floor[place]
        targets.append(max(0.0, min(share, kept[place] + max(0.0, left))))
    target = tuple(targets)
    _set_loan(limit, loan, tuple(map(max, kept, target)), loan.floor)
    loan.granted_at = now
    if any(floor):
        loan.floor_expires_at = _lapses_at(policy, now, policy.floor_s)
    level = _send_tokens(limit, loan, line, target)
    return messages.ShareGrant(
        line.name, target, floor, level, policy.lease_s, policy.floor_s
    )


def _want_of(limit: Limit, loan: Allocation, place: int) -> float:
    """Returns what a holder wants, at least what it has for long."""
    if limit.policy.has_tokens:
        return loan.wanted[place]
    return max(loan.wanted[place], _floor_of_one(limit, place))


def _share_of(
    limit: Limit, loan: Allocation, line: messages.ShareReport, place: int
) -> float:
    """Returns a holder's fair part of a component."""
    share = min(_want_of(limit, loan, place), limit.ceilings[place])
    if limit.policy.is_integral:
        return float(int(share)) + loan.extra
    is_burst = limit.policy.has_tokens and place == len(limit.total) - 1
    if is_burst and line.shortfall > 0:
        share = max(share, line.level + min(line.shortfall, limit.level))
    return share


def _send_tokens(
    limit: Limit, loan: Allocation, line: messages.ShareReport, target: Amounts
) -> float:
    """Moves tokens to a holder, as far as its burst has room."""
    if not limit.policy.has_tokens:
        return 0.0
    room = max(0.0, target[-1] - line.level)
    sent = min(line.shortfall, limit.level, room)
    stock = min(
        line.prefetch, (limit.level - sent) * PREFETCH_FRACTION, room - sent
    )
    sent += max(0.0, stock)
    # The burst was lent already; tokens that no longer fit go with it.
    excess = limit.level - sent - max(0.0, _pool(limit, -1))
    sent += max(0.0, min(excess, room - sent))
    limit.level -= sent
    _trim_level(limit)
    loan.level_sent = sent
    return sent
