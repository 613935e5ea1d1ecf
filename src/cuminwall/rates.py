"""Rate limiting of workspaces: one token bucket each, filled from a share.

A request that finds no token waits a short time, while the instance requests
more from the lender. All buckets of a workspace and the lender's unallocated
part together never admit more requests than a single bucket with the total
rate and burst would.
"""

import enum

from cuminwall import sharelending, shares
from cuminwall.buckets import Bucket, refill
from cuminwall.state import State

MAX_WAITING = 200  # Requests of one workspace that may wait for a token.


class Admission(enum.Enum):
    """Whether a request gets a token."""

    ADMITTED = enum.auto()
    QUEUED = enum.auto()
    REFUSED = enum.auto()


def get_bucket(state: State, workspace: str) -> Bucket | None:
    """Returns the bucket of a workspace, or None if it has no limit."""
    bucket = state.buckets.get(workspace)
    if bucket is not None or workspace not in state.config.workspaces:
        return bucket
    share = shares.Share(sharelending.rate_name(workspace), 2)
    bucket = state.buckets[workspace] = Bucket(workspace, share, state.now)
    return bucket


def admit(state: State, bucket: Bucket, number: int) -> Admission:
    """Takes a token for a request, or queues or refuses the request."""
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
    """Returns whether this instance no longer needs the share."""
    if bucket.sessions or bucket.waiting:
        return False
    return state.draining or not bucket.arrivals
