"""Tokens that an instance holds of a workspace's shared rate and burst.

All buckets of a workspace and the lender's rest together never admit more
than one bucket with the whole rate and burst would.
"""

import math
from collections import deque
from typing import NamedTuple

from cuminwall import messages, shares

DEMAND_STEP_S = 0.2  # Shortest time over which demand is measured.
SPIKE_WINDOW_S = 1.0  # Time over which a sudden rise is spread.
LOW_LEVEL_S = 0.05  # Demand below whose tokens more are asked for at once.


class DemandPolicy(NamedTuple):
    """How much of a workspace's limits an instance would like to hold.

    Attributes:
      smoothing_s: Time constant of the smoothed demand.
      rate_factor: Wanted rate per demand; the rest comes from the pool.
      prefetch_s: Demand for which tokens are kept ready.
      keep_s: Tokens beyond this demand are given back.
      headroom_s: Demand for which the burst has room beyond that.
      min_demand: Requests a second; below, each fetches its own token.
      spare_tokens: Tokens that are kept whatever the demand.
    """

    smoothing_s: float = 0.5
    rate_factor: float = 0.5
    prefetch_s: float = 0.25
    keep_s: float = 0.3
    headroom_s: float = 0.2
    min_demand: float = 20.0
    spare_tokens: float = 0.0


DEFAULT_DEMAND_POLICY = DemandPolicy()


class Bucket:
    """This instance's share of a workspace's rate and burst.

    Attributes:
      workspace: The workspace.
      share: The share: rate and burst.
      policy: How much it would like to hold.
      level: The tokens: requests that may come at once.
      level_at: When the level was worked out, in seconds.
      returned: The tokens ever given back to the lender.
      demand: Requests a second, smoothed, whether served or not.
      arrivals: Requests since `demand` was worked out.
      demand_at: When that was.
      sessions: The callers of the workspace here.
      waiting: Rounds that wait for a token: number and arrival time.
      requested_tokens: How many tokens the latest ask wanted for what waits.
      is_scarce: Whether the last answer brought fewer than were wanted.
    """

    __slots__ = (
        "workspace",
        "share",
        "policy",
        "level",
        "level_at",
        "returned",
        "demand",
        "arrivals",
        "demand_at",
        "sessions",
        "waiting",
        "requested_tokens",
        "is_scarce",
    )

    def __init__(
        self,
        workspace: str,
        share: shares.Share,
        now: float,
        policy: DemandPolicy = DEFAULT_DEMAND_POLICY,
    ):
        self.workspace = workspace
        self.share = share
        self.policy = policy
        self.level = 0.0
        self.level_at = now
        self.returned = 0.0
        self.demand = 0.0
        self.arrivals = 0
        self.demand_at = now
        self.sessions = 0
        self.waiting: deque[tuple[int, float]] = deque()
        self.requested_tokens = 0.0
        self.is_scarce = False


def is_low(bucket: Bucket) -> bool:
    """Returns whether the tokens will not last until the regular ask."""
    if bucket.waiting:
        return True
    if bucket.demand < bucket.policy.min_demand:
        return False
    return bucket.level < LOW_LEVEL_S * bucket.demand


def refill(bucket: Bucket, now: float) -> None:
    """Lets a bucket gain tokens up to `now`, at what was lent when."""
    line = bucket.share
    bounds = sorted((line.until, line.floor_from, line.floor_until))
    for bound in bounds:
        if bucket.level_at < bound <= now:
            _gain(bucket, bound)
    _gain(bucket, now)
    shares.drop_expired(line, now)


def return_token(bucket: Bucket, now: float) -> None:
    """Takes a token back that was not used; what doesn't fit is given back."""
    refill(bucket, now)
    _put(bucket, 1.0, now)


def make_report(bucket: Bucket, now: float) -> messages.ShareReport:
    """Returns what an ask states, after giving surplus tokens back."""
    refill(bucket, now)
    _measure_demand(bucket, now)
    appetite = bucket.policy
    is_known = bucket.demand >= appetite.min_demand
    demand = bucket.demand if is_known else 0.0
    waiting = float(len(bucket.waiting))
    kept = waiting + appetite.keep_s * demand + appetite.spare_tokens
    surplus = max(0.0, bucket.level - kept)
    bucket.level -= surplus
    bucket.returned += surplus
    wanted = (
        appetite.rate_factor * demand,
        kept + appetite.headroom_s * demand,
    )
    line = bucket.share
    return messages.ShareReport(
        name=line.name,
        accepted_number=line.accepted_number,
        held=line.held,
        floor=line.floor,
        wanted=wanted,
        level=bucket.level,
        shortfall=max(0.0, waiting - bucket.level),
        prefetch=max(
            0.0,
            appetite.prefetch_s * demand - max(0.0, bucket.level - waiting),
        ),
        returned=bucket.returned,
        is_final=False,
    )


def release(bucket: Bucket, now: float) -> messages.ShareReport:
    """Returns the last ask of a bucket, which gives all of it back."""
    refill(bucket, now)
    bucket.returned += bucket.level
    bucket.level = 0.0
    line = bucket.share
    line.held = line.floor = (0.0, 0.0)
    return messages.ShareReport(
        line.name,
        line.accepted_number,
        line.held,
        line.floor,
        line.held,
        0.0,
        0.0,
        0.0,
        bucket.returned,
        True,
    )


def apply_grant(
    bucket: Bucket, number: int, grant: messages.ShareGrant, now: float
) -> shares.Accepted | None:
    """Takes the lender's answer; None if it is not for the latest ask."""
    refill(bucket, now)
    accepted = shares.accept(bucket.share, number, grant, now)
    if accepted is None:
        return None
    bucket.is_scarce = grant.level < bucket.requested_tokens
    _put(bucket, grant.level, now)
    return accepted


def _put(bucket: Bucket, tokens: float, now: float) -> None:
    """Adds tokens; what the burst has no room for is given back."""
    bucket.level += tokens
    _, burst = shares.usable(bucket.share, now)
    over = max(0.0, bucket.level - burst)
    bucket.level -= over
    bucket.returned += over


def _gain(bucket: Bucket, now: float) -> None:
    """Adds tokens at what was lent since, and keeps them within what is."""
    passed_s = max(0.0, now - bucket.level_at)
    rate, burst = shares.usable(bucket.share, bucket.level_at)
    bucket.level = min(burst, bucket.level + passed_s * rate)
    bucket.level_at = max(bucket.level_at, now)
    _, burst = shares.usable(bucket.share, now)
    bucket.level = min(burst, bucket.level)


def _measure_demand(bucket: Bucket, now: float) -> None:
    """Smooths the arrivals since the last measurement."""
    passed_s = now - bucket.demand_at
    if passed_s < DEMAND_STEP_S:
        # A sudden rise counts at once.
        least = bucket.arrivals / SPIKE_WINDOW_S
        bucket.demand = max(bucket.demand, least)
        return
    kept = math.exp(-passed_s / bucket.policy.smoothing_s)
    measured = bucket.arrivals / passed_s
    bucket.demand = bucket.demand * kept + measured * (1 - kept)
    bucket.arrivals = 0
    bucket.demand_at = now
