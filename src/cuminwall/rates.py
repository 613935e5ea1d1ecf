"""Each workspace's rate and burst at this instance: a bucket of its share.

A request that finds no token waits a short time, while the instance asks the
lender for more. All buckets of a workspace and the lender's rest together
never admit more than one bucket with the whole rate and burst would.
"""

import enum

from cuminwall import sharelending, shares
from cuminwall.buckets import Bucket, settle
from cuminwall.state import State

MAX_WAITING = 200  # Requests of a workspace that wait for a token.


class Taken(enum.Enum):
    """What became of a request."""

    ADMITTED = enum.auto()
    WAITS = enum.auto()
    REFUSED = enum.auto()


def find(state: State, workspace: str) -> Bucket | None:
    """Returns a workspace's bucket, or None if it has no limit."""
    bucket = state.buckets.get(workspace)
    if bucket is not None or workspace not in state.config.workspaces:
        return bucket
    line = shares.Line(sharelending.rate_name(workspace), 2)
    bucket = state.buckets[workspace] = Bucket(workspace, line, state.now)
    return bucket


def take(state: State, bucket: Bucket, number: int) -> Taken:
    """Takes a token for a request, or lets the request wait."""
    bucket.arrivals += 1
    settle(bucket, state.now)
    if not bucket.waiting and bucket.level >= 1.0:
        bucket.level -= 1.0
        return Taken.ADMITTED
    if len(bucket.waiting) >= MAX_WAITING:
        return Taken.REFUSED
    bucket.waiting.append((number, state.now))
    state.waiting[bucket.workspace] = bucket
    return Taken.WAITS


def is_idle(state: State, bucket: Bucket) -> bool:
    """Returns whether nobody here needs a share."""
    if bucket.sessions or bucket.waiting:
        return False
    return state.draining or not bucket.arrivals
