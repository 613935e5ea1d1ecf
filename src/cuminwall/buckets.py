"""Token bucket for an instance's share of a workspace's rate and burst.

All buckets of a workspace and the lender's unallocated part together never
admit more requests than a single bucket with the total rate and burst would.
"""

import math
from collections import deque
from typing import NamedTuple

from cuminwall import messages, shares

DEMAND_STEP_S = 0.2  # Minimum interval over which demand is measured.
SPIKE_WINDOW_S = 1.0  # Interval over which a sudden increase is averaged.
LOW_LEVEL_S = (
    0.05  # With tokens for less than this, more are requested at once.
)


class DemandPolicy(NamedTuple):
    """How large a share of a workspace's limits an instance requests.

    Attributes:
      smoothing_s: Time constant of the smoothed demand.
      rate_factor: Requested rate as a multiple of the demand; further tokens
        come from the lender's pool.
      prefetch_s: Seconds of demand for which tokens are fetched ahead.
      keep_s: Tokens for more seconds of demand than this are returned.
      headroom_s: Seconds of demand for which the requested burst has room
        beyond that.
      min_demand: Requests per second; below it, each request fetches its
        own token.
      spare_tokens: Tokens that are kept regardless of the demand.
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
      share: The share of rate and burst.
      policy: How large a share it requests.
      level: The available tokens, one for each request.
      level_at: When the level was last updated, in seconds.
      returned: The total of tokens ever returned to the lender.
      demand: Requests per second, smoothed, whether served or not.
      arrivals: Requests since `demand` was last updated.
      demand_at: When that was.
      sessions: The number of this workspace's sessions on this instance.
      waiting: Rounds that wait for a token: number and arrival time.
      requested_tokens: Tokens that the latest request asked for to serve them.
      is_scarce: Whether the last reply brought fewer tokens than that.
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
    """Returns whether the tokens will not last until the next request."""
    if bucket.waiting:
        return True
    if bucket.demand < bucket.policy.min_demand:
        return False
    return bucket.level < LOW_LEVEL_S * bucket.demand


def refill(bucket: Bucket, now: float) -> None:
    """Adds the tokens gained up to `now`, at the rate usable at each time."""
    share = bucket.share
    changes_at = sorted((share.until, share.floor_from, share.floor_until))
    for change_at in changes_at:
        if bucket.level_at < change_at <= now:
            _add_gained(bucket, change_at)
    _add_gained(bucket, now)
    shares.drop_expired(share, now)


def return_token(bucket: Bucket, now: float) -> None:
    """Puts back an unused token; returns it to the lender if it doesn't fit."""
    refill(bucket, now)
    _add(bucket, 1.0, now)


def make_report(bucket: Bucket, now: float) -> messages.ShareReport:
    """Reports the share for a request; surplus tokens go back to the lender."""
    refill(bucket, now)
    _measure_demand(bucket, now)
    policy = bucket.policy
    demand = _effective_demand(bucket)
    waiting = float(len(bucket.waiting))
    target = _target_level(bucket)
    returned = _surplus(bucket, now)
    bucket.level -= returned
    bucket.returned += returned
    _release_burst(bucket)
    wanted = (policy.rate_factor * demand, target + policy.headroom_s * demand)
    share = bucket.share
    return messages.ShareReport(
        name=share.name,
        accepted_number=share.accepted_number,
        held=share.held,
        floor=share.floor,
        wanted=wanted,
        level=bucket.level,
        shortfall=max(0.0, waiting - bucket.level),
        prefetch=max(
            0.0,
            policy.prefetch_s * demand - max(0.0, bucket.level - waiting),
        ),
        returned=bucket.returned,
        is_final=False,
    )


def surplus(bucket: Bucket, now: float) -> float:
    """Returns how many tokens a report would give back to the lender."""
    refill(bucket, now)
    return _surplus(bucket, now)


def _surplus(bucket: Bucket, now: float) -> float:
    """Returns the same of a bucket that was just refilled."""
    rate, _ = shares.usable(bucket.share, now)
    kept = _target_level(bucket)
    if rate <= 0:
        # Nothing adds to a part of a token here, so it is of use elsewhere.
        kept = math.floor(kept)
    return max(0.0, bucket.level - kept)


def unused_burst(bucket: Bucket) -> float:
    """Returns the burst that serves nothing, since no rate fills it."""
    rate, burst = bucket.share.held
    return 0.0 if rate > 0 else max(0.0, burst - bucket.level)


def _release_burst(bucket: Bucket) -> None:
    """Gives up the burst that serves nothing; the pool's tokens need it."""
    rate, burst = bucket.share.held
    bucket.share.held = (rate, burst - unused_burst(bucket))


def release(bucket: Bucket, now: float) -> messages.ShareReport:
    """Empties a bucket and returns its last report, releasing the share."""
    refill(bucket, now)
    bucket.returned += bucket.level
    bucket.level = 0.0
    share = bucket.share
    share.held = share.floor = (0.0, 0.0)
    return messages.ShareReport(
        share.name,
        share.accepted_number,
        share.held,
        share.floor,
        share.held,
        0.0,
        0.0,
        0.0,
        bucket.returned,
        True,
    )


def apply_grant(
    bucket: Bucket, number: int, grant: messages.ShareGrant, now: float
) -> shares.Accepted | None:
    """Applies a grant; returns None if it is not for the latest request."""
    refill(bucket, now)
    accepted = shares.accept(bucket.share, number, grant, now)
    if accepted is None:
        return None
    bucket.is_scarce = grant.level < bucket.requested_tokens
    _add(bucket, grant.level, now)
    return accepted


def _effective_demand(bucket: Bucket) -> float:
    """Returns the demand that tokens are kept for, in requests a second."""
    is_sufficient = bucket.demand >= bucket.policy.min_demand
    return bucket.demand if is_sufficient else 0.0


def _target_level(bucket: Bucket) -> float:
    """Returns how many tokens are kept here."""
    policy = bucket.policy
    kept = policy.keep_s * _effective_demand(bucket) + policy.spare_tokens
    return len(bucket.waiting) + kept


def _add(bucket: Bucket, tokens: float, now: float) -> None:
    """Adds tokens; those that exceed the burst are returned to the lender."""
    bucket.level += tokens
    _, burst = shares.usable(bucket.share, now)
    excess = max(0.0, bucket.level - burst)
    bucket.level -= excess
    bucket.returned += excess


def _add_gained(bucket: Bucket, now: float) -> None:
    """Adds the tokens gained since the last update, within the burst."""
    elapsed_s = max(0.0, now - bucket.level_at)
    rate, burst = shares.usable(bucket.share, bucket.level_at)
    bucket.level = min(burst, bucket.level + elapsed_s * rate)
    bucket.level_at = max(bucket.level_at, now)
    _, burst = shares.usable(bucket.share, now)
    bucket.level = min(burst, bucket.level)


def _measure_demand(bucket: Bucket, now: float) -> None:
    """Updates the smoothed demand from the arrivals since the last update."""
    elapsed_s = now - bucket.demand_at
    if elapsed_s < DEMAND_STEP_S:
        # A sudden increase takes effect immediately.
        lower_bound = bucket.arrivals / SPIKE_WINDOW_S
        bucket.demand = max(bucket.demand, lower_bound)
        return
    weight = math.exp(-elapsed_s / bucket.policy.smoothing_s)
    measured = bucket.arrivals / elapsed_s
    bucket.demand = bucket.demand * weight + measured * (1 - weight)
    bucket.arrivals = 0
    bucket.demand_at = now
