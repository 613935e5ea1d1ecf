"""A single token bucket for all instances, as the reference for the tests."""

SLACK = 1e-6


class NaiveBucket:
    """A token bucket that sees every request in order."""

    def __init__(self, rate: float, burst: float, now: float):
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.level_at = now

    def take(self, now: float) -> bool:
        """Takes a token; returns whether there was one."""
        gained = (now - self.level_at) * self.rate
        self.level = min(self.burst, self.level + gained)
        self.level_at = now
        if self.level < 1.0 - SLACK:
            return False
        self.level -= 1.0
        return True


def excess(rate: float, burst: float, admitted: list[float]) -> float:
    """Returns the most by which any interval exceeds burst + rate * length.

    Args:
      rate: Requests per second.
      burst: Requests at once.
      admitted: When requests were admitted, in order.
    """
    worst = float("-inf")
    for place, since in enumerate(admitted):
        for count, until in enumerate(admitted[place:], start=1):
            allowed = burst + rate * (until - since)
            worst = max(worst, count - allowed)
    return worst
