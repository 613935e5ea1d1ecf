"""Queue of operations that wait for a server or a connection.

Operations are ordered by priority, then by the time at which they should be
answered. One that has missed its target comes after all that can still meet
theirs, since serving it first would only make others late too. Each item is
queued under a kind, and capacity that fits one kind only takes the first item
of that kind.
"""

import heapq
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class Entry(NamedTuple, Generic[T]):
    """One queued item.

    Attributes:
      priority: 0 is the highest.
      target_at: When it should be answered, in seconds.
      sequence: Its sequence number, in order of arrival.
      item: The item.
    """

    priority: int
    target_at: float
    sequence: int
    item: T


class WaitQueue(Generic[T]):
    """A queue of items by kind.

    Attributes:
      queues: The items of each kind; no queue is empty.
      size: The number of queued items.
      arrivals: The number of items ever queued.
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
        """Adds an item.

        Args:
          priority: 0 is the highest.
          target_at: When it should be answered, in seconds.
          item: The item.
          kind: The kind of capacity that it needs.
        """
        self.arrivals += 1
        self.size += 1
        entry = Entry(priority, target_at, self.arrivals, item)
        queue = self.queues.get(kind)
        if queue is None:
            queue = self.queues[kind] = _Queue()
        heapq.heappush(queue.timely, entry)

    def pop(self, now: float) -> T:
        """Removes and returns the first item.

        Raises:
          IndexError: The queue is empty.
        """
        if not self.size:
            raise IndexError("pop from an empty queue")
        return self.pop_kind(self.kinds(now)[0], now)

    def pop_kind(self, kind: str, now: float) -> T:
        """Removes and returns the first item of a kind, which must exist."""
        queue = self.queues[kind]
        entry = queue.first(now)
        queue.remove(entry)
        self._count_removal(kind, queue)
        return entry.item

    def peek_kind(self, kind: str, now: float) -> Entry[T]:
        """Returns the first entry of a kind, which must exist."""
        return self.queues[kind].first(now)

    def kinds(self, now: float) -> list[str]:
        """Returns the kinds of queued items, ordered by their first items."""
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
        """Returns the number of queued items of a kind."""
        queue = self.queues.get(kind)
        return 0 if queue is None else queue.count()

    def discard(self, item: T, kind: str = "") -> None:
        """Removes an item, if it is queued."""
        queue = self.queues.get(kind)
        if queue is None:
            return
        for entry in queue.entries():
            if entry.item is item:
                queue.remove(entry)
                self._count_removal(kind, queue)
                return

    def drain(self) -> list[T]:
        """Removes and returns all items, in order."""
        timely: list[Entry[T]] = []
        late: list[Entry[T]] = []
        for queue in self.queues.values():
            timely.extend(queue.timely)
            late.extend(queue.late)
        timely.sort(key=_timely_key)
        late.sort(key=_late_key)
        self.queues.clear()
        self.size = 0
        return [entry.item for entry in timely + late]

    def _count_removal(self, kind: str, queue: "_Queue[T]") -> None:
        """Updates the counts after an entry was removed from a queue."""
        self.size -= 1
        if not queue.count():
            del self.queues[kind]


class _Queue(Generic[T]):
    """The entries of one kind.

    Attributes:
      timely: Those that can still meet their target, as a heap.
      late: Those that have missed it, in the order in which they did.
    """

    __slots__ = ("timely", "late")

    def __init__(self) -> None:
        self.timely: list[Entry[T]] = []
        self.late: list[Entry[T]] = []

    def count(self) -> int:
        """Returns the number of entries."""
        return len(self.timely) + len(self.late)

    def entries(self) -> list[Entry[T]]:
        """Returns all entries, in no particular order."""
        return self.timely + self.late

    def first(self, now: float) -> Entry[T]:
        """Returns the first entry; the queue must not be empty."""
        while self.timely and self.timely[0].target_at <= now:
            self.late.append(heapq.heappop(self.timely))
        if self.timely:
            return self.timely[0]
        return min(self.late, key=_late_key)

    def remove(self, entry: Entry[T]) -> None:
        """Removes an entry."""
        if self.timely and self.timely[0] is entry:
            heapq.heappop(self.timely)
        elif entry in self.late:
            self.late.remove(entry)
        else:
            self.timely.remove(entry)
            heapq.heapify(self.timely)


def _timely_key(entry: Entry) -> tuple[int, float, int]:
    """Returns the sort key of a timely entry."""
    return entry[:3]


def _late_key(entry: Entry) -> tuple[float, int]:
    """Returns the sort key of a late entry."""
    return entry[1:3]
