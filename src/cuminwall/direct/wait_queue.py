"""The order in which work that found no room gets it.

The higher priority goes first, and within it what must be answered first.
Work that has missed its target yields to all that can still make it, since
serving it first would only make others late too. Whoever has room for work
of one kind only takes the first of that kind.
"""

import heapq
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class Entry(NamedTuple, Generic[T]):
    """One item that waits.

    Attributes:
      priority: 0 is the highest.
      target_at: When it should be answered, in seconds.
      sequence: Its place in the order of arrival.
      item: What waits.
    """

    priority: int
    target_at: float
    sequence: int
    item: T


class WaitQueue(Generic[T]):
    """Work that waits, by kind.

    Attributes:
      queues: The work of each kind; no queue is empty.
      size: How much waits.
      arrivals: How many items ever came.
    """

    __slots__ = ("queues", "size", "arrivals")

    def __init__(self) -> None:
        self.queues: dict[str, _Queue[T]] = {}
        self.size = 0
        self.arrivals = 0

    def __len__(self) -> int:
        return self.size

    def push(
        self, priority: int, target_at: float, item: T, kind: str = ""
    ) -> None:
        """Lets an item wait.

        Args:
          priority: 0 is the highest.
          target_at: When it should be answered, in seconds.
          item: What waits.
          kind: What it needs room for.
        """
        self.arrivals += 1
        self.size += 1
        entry = Entry(priority, target_at, self.arrivals, item)
        queue = self.queues.get(kind)
        if queue is None:
            queue = self.queues[kind] = _Queue()
        heapq.heappush(queue.timely, entry)

    def pop(self, now: float) -> T:
        """Returns who gets room now.

        Raises:
          IndexError: Nobody waits.
        """
        if not self.size:
            raise IndexError("nobody waits")
        return self.pop_kind(self.kinds(now)[0], now)

    def pop_kind(self, kind: str, now: float) -> T:
        """Returns who of a kind gets room now; some must wait."""
        queue = self.queues[kind]
        entry = queue.first(now)
        queue.remove(entry)
        self._removed(kind, queue)
        return entry.item

    def peek_kind(self, kind: str, now: float) -> Entry[T]:
        """Returns the entry of a kind that goes first; some must wait."""
        return self.queues[kind].first(now)

    def kinds(self, now: float) -> list[str]:
        """Returns the kinds of which work waits, who goes first ahead."""
        ranked = []
        for kind, queue in self.queues.items():
            entry = queue.first(now)
            if entry.target_at > now:
                ranked.append((False, *entry[:3], kind))
            else:
                ranked.append((True, 0, *entry[1:3], kind))
        ranked.sort()
        return [each[-1] for each in ranked]

    def count_kind(self, kind: str) -> int:
        """Returns how much work of a kind waits."""
        queue = self.queues.get(kind)
        return 0 if queue is None else queue.count()

    def discard(self, item: T, kind: str = "") -> None:
        """Removes an item, if it waits."""
        queue = self.queues.get(kind)
        if queue is None:
            return
        for entry in queue.entries():
            if entry.item is item:
                queue.remove(entry)
                self._removed(kind, queue)
                return

    def drain(self) -> list[T]:
        """Returns all that wait, in order, and forgets them."""
        timely: list[Entry[T]] = []
        late: list[Entry[T]] = []
        for queue in self.queues.values():
            timely.extend(queue.timely)
            late.extend(queue.late)
        timely.sort(key=_order)
        late.sort(key=_missed)
        self.queues.clear()
        self.size = 0
        return [entry.item for entry in timely + late]

    def _removed(self, kind: str, queue: "_Queue[T]") -> None:
        """Takes in that an entry of a queue is gone."""
        self.size -= 1
        if not queue.count():
            del self.queues[kind]


class _Queue(Generic[T]):
    """Work of one kind.

    Attributes:
      timely: What can still be answered in time, as a heap.
      late: What has missed its target, in the order in which it did.
    """

    __slots__ = ("timely", "late")

    def __init__(self) -> None:
        self.timely: list[Entry[T]] = []
        self.late: list[Entry[T]] = []

    def count(self) -> int:
        """Returns how much waits."""
        return len(self.timely) + len(self.late)

    def entries(self) -> list[Entry[T]]:
        """Returns everything that waits, in no order."""
        return self.timely + self.late

    def first(self, now: float) -> Entry[T]:
        """Returns who goes first; some must wait."""
        while self.timely and self.timely[0].target_at <= now:
            self.late.append(heapq.heappop(self.timely))
        if self.timely:
            return self.timely[0]
        return min(self.late, key=_missed)

    def remove(self, entry: Entry[T]) -> None:
        """Removes an entry."""
        if self.timely and self.timely[0] is entry:
            heapq.heappop(self.timely)
        elif entry in self.late:
            self.late.remove(entry)
        else:
            self.timely.remove(entry)
            heapq.heapify(self.timely)


def _order(entry: Entry) -> tuple[int, float, int]:
    """Returns what timely entries are ordered by."""
    return entry[:3]


def _missed(entry: Entry) -> tuple[float, int]:
    """Returns what late entries are ordered by."""
    return entry[1:3]
