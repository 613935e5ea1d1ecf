"""Each workspace's rate and burst at this instance: a bucket of its share.

A request that finds no token waits a short time, while the instance asks the
lender for more. All buckets of a workspace and the lender's rest together
never admit more than one bucket with the whole rate and burst would.
"""

import enum

from cuminwall import sharelending, shares
from cuminwall.buckets import Bucket, refill
from cuminwall.state import State

MAX_WAITING = 200  # Requests of a workspace that wait for a token.


class Admission(enum.Enum):
    """What became of a request."""

    ADMITTED = enum.auto()
    QUEUED = enum.auto()
    REFUSED = enum.auto()


def get_bucket(state: State, workspace: str) -> Bucket | None:
    """Returns a workspace's bucket, or None if it has no limit."""
    bucket = state.buckets.get(workspace)
    if bucket is not None or workspace not in state.config.workspaces:
        return bucket
    line = shares.Share(sharelending.rate_name(workspace), 2)
    bucket = state.buckets[workspace] = Bucket(workspace, line, state.now)
    return bucket


def admit(state: State, bucket: Bucket, number: int) -> Admission:
    """Takes a token for a request, or lets the request wait."""
    bucket.arrivals += 1
    refill(bucket, state.now)
    if not bucket.waiting and bucket.level >= 1.0:
        bucket.level -= 1.0
        return Admission.ADMITTED
    if len(bucket.waiting) >= MAX_WAITING:
        return Admission.REFUSED
    bucket.waiting.append((number, state.now))
    state.waiting_buckets[bucket.workspace] = bucket
    return Admission.QUEUED


def is_idle(state: State, bucket: Bucket) -> bool:
    """Returns whether nobody here needs a share."""
    if bucket.sessions or bucket.waiting:
        return False
    return state.draining or not bucket.arrivals
