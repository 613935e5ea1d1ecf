"""The order in which work that found no room gets it.

The higher priority goes first, and within it what must be answered first.
Work that has missed its target yields to all that can still make it, since
serving it first would only make others late too.
"""

import heapq
from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class Room(Generic[T]):
    """Work that waits.

    Attributes:
      timely: What can still be answered in time: priority, target time,
        order of arrival, item.
      late: What has missed its target, in the order in which it did.
      arrivals: How many items ever came.
    """

    __slots__ = ("timely", "late", "arrivals")

    def __init__(self) -> None:
        self.timely: list[tuple[int, float, int, T]] = []
        self.late: deque[T] = deque()
        self.arrivals = 0

    def __len__(self) -> int:
        return len(self.timely) + len(self.late)

    def push(self, priority: int, target_at: float, item: T) -> None:
        """Lets an item wait.

        Args:
          priority: 0 is the highest.
          target_at: When it should be answered, in seconds.
          item: What waits.
        """
        self.arrivals += 1
        entry = (priority, target_at, self.arrivals, item)
        heapq.heappush(self.timely, entry)

    def pop(self, now: float) -> T:
        """Returns who gets room now.

        Raises:
          IndexError: Nobody waits.
        """
        while self.timely:
            _, target_at, _, item = heapq.heappop(self.timely)
            if target_at > now:
                return item
            self.late.append(item)
        return self.late.popleft()

    def drain(self) -> list[T]:
        """Returns all that wait, in order, and forgets them."""
        items = [entry[3] for entry in sorted(self.timely, key=_order)]
        items.extend(self.late)
        self.timely.clear()
        self.late.clear()
        return items


def _order(entry: tuple[int, float, int, T]) -> tuple[int, float, int]:
    """Returns what entries are ordered by."""
    return entry[:3]
