"""Splits a workspace's rate and burst evenly over the instances.

The baseline that lent shares are compared with.
"""


class FixedSplit:
    """The token buckets of one workspace, one for each instance."""

    def __init__(self, rate: float, burst: float, instances: list[str]):
        count = len(instances)
        self.rate = rate / count
        self.burst = max(1.0, burst / count)
        self.levels = dict.fromkeys(instances, self.burst)
        self.filled_at = dict.fromkeys(instances, 0.0)

    def admit(self, instance: str, now: float) -> bool:
        """Takes a token; returns whether there was one."""
        refilled = (now - self.filled_at[instance]) * self.rate
        level = min(self.burst, self.levels[instance] + refilled)
        self.filled_at[instance] = now
        admitted = level >= 1.0
        self.levels[instance] = level - 1.0 if admitted else level
        return admitted
