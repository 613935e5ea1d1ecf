"""Tokens that an instance holds of a workspace's shared rate and burst.

All buckets of a workspace and the lender's rest together never admit more
than one bucket with the whole rate and burst would.
"""

import math
from collections import deque
from typing import NamedTuple

from cuminwall import messages, shares

DEMAND_STEP_S = 0.2  # Shortest time over which demand is measured.
SUDDEN_S = 1.0  # Time over which a sudden rise is spread.
LOW_LEVEL_S = 0.05  # Demand below whose tokens more are asked for at once.


class Appetite(NamedTuple):
    """How much of a workspace's limits an instance would like to hold.

    Attributes:
      demand_time_s: Time constant of the smoothed demand.
      own_part: Wanted rate per demand; the rest comes from the pool.
      stock_s: Demand for which tokens are kept ready.
      kept_s: Tokens beyond this demand are given back.
      room_s: Demand for which the burst has room beyond that.
      least_demand: Requests a second; below, each fetches its own token.
      spare: Tokens that are kept whatever the demand.
    """

    demand_time_s: float = 0.5
    own_part: float = 0.5
    stock_s: float = 0.25
    kept_s: float = 0.3
    room_s: float = 0.2
    least_demand: float = 20.0
    spare: float = 0.0


DEFAULT_APPETITE = Appetite()


class Bucket:
    """This instance's share of a workspace's rate and burst.

    Attributes:
      workspace: The workspace.
      line: The share: rate and burst.
      appetite: How much it would like to hold.
      level: The tokens: requests that may come at once.
      level_at: When the level was worked out, in seconds.
      returned: The tokens ever given back to the lender.
      demand: Requests a second, smoothed, whether served or not.
      arrivals: Requests since `demand` was worked out.
      demand_at: When that was.
      sessions: The callers of the workspace here.
      waiting: Rounds that wait for a token: number and arrival time.
      asked: How many tokens the latest ask wanted for what waits.
      is_scarce: Whether the last answer brought fewer than were wanted.
    """

    __slots__ = (
        "workspace",
        "line",
        "appetite",
        "level",
        "level_at",
        "returned",
        "demand",
        "arrivals",
        "demand_at",
        "sessions",
        "waiting",
        "asked",
        "is_scarce",
    )

    def __init__(
        self,
        workspace: str,
        line: shares.Line,
        now: float,
        appetite: Appetite = DEFAULT_APPETITE,
    ):
        self.workspace = workspace
        self.line = line
        self.appetite = appetite
        self.level = 0.0
        self.level_at = now
        self.returned = 0.0
        self.demand = 0.0
        self.arrivals = 0
        self.demand_at = now
        self.sessions = 0
        self.waiting: deque[tuple[int, float]] = deque()
        self.asked = 0.0
        self.is_scarce = False


def is_low(bucket: Bucket) -> bool:
    """Returns whether the tokens will not last until the regular ask."""
    if bucket.waiting:
        return True
    if bucket.demand < bucket.appetite.least_demand:
        return False
    return bucket.level < LOW_LEVEL_S * bucket.demand


def settle(bucket: Bucket, now: float) -> None:
    """Lets a bucket gain tokens up to `now`, at what was lent when."""
    line = bucket.line
    bounds = sorted((line.until, line.floor_from, line.floor_until))
    for bound in bounds:
        if bucket.level_at < bound <= now:
            _gain(bucket, bound)
    _gain(bucket, now)
    shares.lapse(line, now)


def put_back(bucket: Bucket, now: float) -> None:
    """Takes a token back that was not used; what doesn't fit is given back."""
    settle(bucket, now)
    _put(bucket, 1.0, now)


def state_line(bucket: Bucket, now: float) -> messages.ShareLine:
    """Returns what an ask states, after giving surplus tokens back."""
    settle(bucket, now)
    _measure_demand(bucket, now)
    appetite = bucket.appetite
    is_known = bucket.demand >= appetite.least_demand
    demand = bucket.demand if is_known else 0.0
    waiting = float(len(bucket.waiting))
    kept = waiting + appetite.kept_s * demand + appetite.spare
    surplus = max(0.0, bucket.level - kept)
    bucket.level -= surplus
    bucket.returned += surplus
    wanted = (appetite.own_part * demand, kept + appetite.room_s * demand)
    line = bucket.line
    return messages.ShareLine(
        name=line.name,
        accepted=line.accepted,
        held=line.held,
        floor=line.floor,
        wanted=wanted,
        level=bucket.level,
        short=max(0.0, waiting - bucket.level),
        stock=max(
            0.0,
            appetite.stock_s * demand - max(0.0, bucket.level - waiting),
        ),
        returned=bucket.returned,
        is_leaving=False,
    )


def give_back(bucket: Bucket, now: float) -> messages.ShareLine:
    """Returns the last ask of a bucket, which gives all of it back."""
    settle(bucket, now)
    bucket.returned += bucket.level
    bucket.level = 0.0
    line = bucket.line
    line.held = line.floor = (0.0, 0.0)
    return messages.ShareLine(
        line.name,
        line.accepted,
        line.held,
        line.floor,
        line.held,
        0.0,
        0.0,
        0.0,
        bucket.returned,
        True,
    )


def granted(
    bucket: Bucket, number: int, grant: messages.ShareGrant, now: float
) -> shares.Accepted | None:
    """Takes the lender's answer; None if it is not for the latest ask."""
    settle(bucket, now)
    accepted = shares.accept(bucket.line, number, grant, now)
    if accepted is None:
        return None
    bucket.is_scarce = grant.level < bucket.asked
    _put(bucket, grant.level, now)
    return accepted


def _put(bucket: Bucket, tokens: float, now: float) -> None:
    """Adds tokens; what the burst has no room for is given back."""
    bucket.level += tokens
    _, burst = shares.usable(bucket.line, now)
    over = max(0.0, bucket.level - burst)
    bucket.level -= over
    bucket.returned += over


def _gain(bucket: Bucket, now: float) -> None:
    """Adds tokens at what was lent since, and keeps them within what is."""
    passed_s = max(0.0, now - bucket.level_at)
    rate, burst = shares.usable(bucket.line, bucket.level_at)
    bucket.level = min(burst, bucket.level + passed_s * rate)
    bucket.level_at = max(bucket.level_at, now)
    _, burst = shares.usable(bucket.line, now)
    bucket.level = min(burst, bucket.level)


def _measure_demand(bucket: Bucket, now: float) -> None:
    """Smooths the arrivals since the last measurement."""
    passed_s = now - bucket.demand_at
    if passed_s < DEMAND_STEP_S:
        # A sudden rise counts at once.
        least = bucket.arrivals / SUDDEN_S
        bucket.demand = max(bucket.demand, least)
        return
    kept = math.exp(-passed_s / bucket.appetite.demand_time_s)
    measured = bucket.arrivals / passed_s
    bucket.demand = bucket.demand * kept + measured * (1 - kept)
    bucket.arrivals = 0
    bucket.demand_at = now
