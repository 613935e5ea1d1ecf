"""Each workspace's rate and burst at this instance, as a fixed split.

Every instance takes an equal part of the whole.
"""

from typing import NamedTuple

from cuminwall import membership
from cuminwall.state import State


class Bucket:
    """A token bucket.

    Attributes:
      level: Requests that may come at once.
      filled_at: When the level was worked out, in seconds.
    """

    __slots__ = ("level", "filled_at")

    def __init__(self, level: float, filled_at: float):
        self.level = level
        self.filled_at = filled_at


class Part(NamedTuple):
    """This instance's part of a workspace's rate."""

    rate: float
    burst: float


def take(state: State, workspace: str, number: int) -> bool:
    """Takes one request off the workspace's bucket, if there is one."""
    entry = state.config.workspaces.get(workspace)
    if entry is None:
        return True
    count = max(1, len(membership.staying(state)))
    part = Part(entry.rate / count, max(1.0, entry.burst / count))
    bucket = state.buckets.get(workspace)
    if bucket is None:
        bucket = state.buckets[workspace] = Bucket(part.burst, state.now)
    gained = (state.now - bucket.filled_at) * part.rate
    bucket.level = min(part.burst, bucket.level + gained)
    bucket.filled_at = state.now
    if bucket.level < 1.0:
        return False
    bucket.level -= 1.0
    return True
