"""Call counts and rate limits of the stand-in platform."""

import collections
from typing import Any


class Accounting:
    """Calls and bytes by group and by kind, in total and since a mark.

    Attributes:
      waiting_watches: The number of open watches.
    """

    def __init__(self, now: float) -> None:
        self.counts: collections.Counter[tuple[str, str, str]]
        self.counts = collections.Counter()
        self.waiting_watches = 0
        self.mark(now)

    def add(self, group: str, kind: str, measure: str, amount: int = 1) -> None:
        """Adds to a measure: "calls", "bytes_in" or "bytes_out"."""
        self.counts["groups", group, measure] += amount
        self.counts["kinds", kind, measure] += amount

    def mark(self, now: float) -> None:
        """Resets the counts since the mark."""
        self.marked_at = now
        self.at_mark = self.counts.copy()

    def report(self, now: float) -> dict[str, Any]:
        """Returns the body of GET /accounting."""
        return {
            "total": _nest(self.counts),
            "since_mark": _nest(self.counts - self.at_mark),
            "since_mark_s": now - self.marked_at,
            "waiting_watches": self.waiting_watches,
        }


class Pacer:
    """Spaces calls evenly at `rate` per second; 0 means no limit."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.next_start_at = 0.0

    def delay_s(self, now: float) -> float:
        """Reserves the next slot; returns how long a call must wait for it."""
        if not self.rate:
            return 0.0
        starts_at = max(now, self.next_start_at)
        self.next_start_at = starts_at + 1 / self.rate
        return starts_at - now


def _nest(counts: collections.Counter[tuple[str, str, str]]) -> dict[str, Any]:
    nested: dict[str, Any] = {"groups": {}, "kinds": {}}
    for (scope, name, measure), amount in sorted(counts.items()):
        nested[scope].setdefault(name, {})[measure] = amount
    return nested
