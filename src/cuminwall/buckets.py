"""Token bucket for an instance's share of a workspace's rate and burst.

All buckets of a workspace and the lender's unallocated part together never
admit more requests than a single bucket with the total rate and burst would.
"""

import math
from collections import deque
from typing import NamedTuple

from cuminwall import messages, shares

DEMAND_STEP_S = 0.2  # Minimum interval over which demand is measured.
SUDDEN_S = 1.0  # Interval over which a sudden increase is averaged.
LOW_LEVEL_S = (
    0.05  # With tokens for less than this, more are requested at once.
)


class Appetite(NamedTuple):
    """How large a share of a workspace's limits an instance requests.

    Attributes:
      demand_time_s: Time constant of the smoothed demand.
      own_part: Requested rate as a multiple of the demand; further tokens
        come from the lender's pool.
      stock_s: Seconds of demand for which tokens are fetched ahead.
      kept_s: Tokens for more seconds of demand than this are returned.
      room_s: Seconds of demand for which the requested burst has room
        beyond that.
      least_demand: Requests per second; below it, each request fetches its
        own token.
      spare: Tokens that are kept regardless of the demand.
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
      line: The share of rate and burst.
      appetite: How large a share it requests.
      level: The available tokens, one for each request.
      level_at: When the level was last updated, in seconds.
      returned: The total of tokens ever returned to the lender.
      demand: Requests per second, smoothed, whether served or not.
      arrivals: Requests since `demand` was last updated.
      demand_at: When that was.
      sessions: The number of this workspace's sessions on this instance.
      waiting: Rounds that wait for a token: number and arrival time.
      asked: Tokens that the latest request asked for to serve them.
      is_scarce: Whether the last reply brought fewer tokens than that.
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
    """Returns whether the tokens will not last until the next request."""
    if bucket.waiting:
        return True
    if bucket.demand < bucket.appetite.least_demand:
        return False
    return bucket.level < LOW_LEVEL_S * bucket.demand


def settle(bucket: Bucket, now: float) -> None:
    """Adds the tokens gained up to `now`, at the rate usable at each time."""
    share = bucket.line
    changes_at = sorted((share.until, share.floor_from, share.floor_until))
    for change_at in changes_at:
        if bucket.level_at < change_at <= now:
            _add_gained(bucket, change_at)
    _add_gained(bucket, now)
    shares.lapse(share, now)


def put_back(bucket: Bucket, now: float) -> None:
    """Puts back an unused token; returns it to the lender if it doesn't fit."""
    settle(bucket, now)
    _add(bucket, 1.0, now)


def state_line(bucket: Bucket, now: float) -> messages.ShareLine:
    """Reports the share for a request; surplus tokens go back to the lender."""
    settle(bucket, now)
    _measure_demand(bucket, now)
    policy = bucket.appetite
    is_sufficient = bucket.demand >= policy.least_demand
    demand = bucket.demand if is_sufficient else 0.0
    waiting = float(len(bucket.waiting))
    target = waiting + policy.kept_s * demand + policy.spare
    surplus = max(0.0, bucket.level - target)
    bucket.level -= surplus
    bucket.returned += surplus
    wanted = (policy.own_part * demand, target + policy.room_s * demand)
    share = bucket.line
    return messages.ShareLine(
        name=share.name,
        accepted=share.accepted,
        held=share.held,
        floor=share.floor,
        wanted=wanted,
        level=bucket.level,
        short=max(0.0, waiting - bucket.level),
        stock=max(
            0.0,
            policy.stock_s * demand - max(0.0, bucket.level - waiting),
        ),
        returned=bucket.returned,
        is_leaving=False,
    )


def give_back(bucket: Bucket, now: float) -> messages.ShareLine:
    """Empties a bucket and returns its last report, releasing the share."""
    settle(bucket, now)
    bucket.returned += bucket.level
    bucket.level = 0.0
    share = bucket.line
    share.held = share.floor = (0.0, 0.0)
    return messages.ShareLine(
        share.name,
        share.accepted,
        share.held,
        share.floor,
        share.held,
        0.0,
        0.0,
        0.0,
        bucket.returned,
        True,
    )


def granted(
    bucket: Bucket, number: int, grant: messages.ShareGrant, now: float
) -> shares.Accepted | None:
    """Applies a grant; returns None if it is not for the latest request."""
    settle(bucket, now)
    accepted = shares.accept(bucket.line, number, grant, now)
    if accepted is None:
        return None
    bucket.is_scarce = grant.level < bucket.asked
    _add(bucket, grant.level, now)
    return accepted


def _add(bucket: Bucket, tokens: float, now: float) -> None:
    """Adds tokens; those that exceed the burst are returned to the lender."""
    bucket.level += tokens
    _, burst = shares.usable(bucket.line, now)
    excess = max(0.0, bucket.level - burst)
    bucket.level -= excess
    bucket.returned += excess


def _add_gained(bucket: Bucket, now: float) -> None:
    """Adds the tokens gained since the last update, within the burst."""
    elapsed_s = max(0.0, now - bucket.level_at)
    rate, burst = shares.usable(bucket.line, bucket.level_at)
    bucket.level = min(burst, bucket.level + elapsed_s * rate)
    bucket.level_at = max(bucket.level_at, now)
    _, burst = shares.usable(bucket.line, now)
    bucket.level = min(burst, bucket.level)


def _measure_demand(bucket: Bucket, now: float) -> None:
    """Updates the smoothed demand from the arrivals since the last update."""
    elapsed_s = now - bucket.demand_at
    if elapsed_s < DEMAND_STEP_S:
        # A sudden increase takes effect immediately.
        lower_bound = bucket.arrivals / SUDDEN_S
        bucket.demand = max(bucket.demand, lower_bound)
        return
    weight = math.exp(-elapsed_s / bucket.appetite.demand_time_s)
    measured = bucket.arrivals / elapsed_s
    bucket.demand = bucket.demand * weight + measured * (1 - weight)
    bucket.arrivals = 0
    bucket.demand_at = now
