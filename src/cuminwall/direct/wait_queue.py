"""Queue of operations that wait for a server or a connection.

Each item is queued under a kind, and capacity that fits one kind only takes the
first item of that kind. Whose turn it is among priorities and kinds is decided
by `load.turns`; within both, an item comes first that must start first. One
that can no longer meet its target comes after all that can still meet theirs,
since serving it first would only make others late too.
"""

import heapq
from typing import Generic, NamedTuple, TypeVar

from cuminwall.load import turns

T = TypeVar("T")

WORK_S = 0.01  # Of an item of which nothing is known.


class Entry(NamedTuple, Generic[T]):
    """One queued item.

    Attributes:
      start_by: When to start it at the latest, to meet its target.
      sequence: Its sequence number, in order of arrival.
      priority: 0 is the highest.
      target_at: When it should be answered, in seconds.
      item: The item.
      work_s: How long its service takes.
      weight: The weight of its kind among those of its priority.
    """

    start_by: float
    sequence: int
    priority: int
    target_at: float
    item: T
    work_s: float
    weight: float


class WaitQueue(Generic[T]):
    """A queue of items by kind.

    Attributes:
      queues: The items of each kind by priority; no queue is empty.
      turns: Whose turn it is.
      size: The number of queued items.
      arrivals: The number of items ever queued.
    """

    __slots__ = ("queues", "turns", "size", "arrivals")

    def __init__(self) -> None:
        self.queues: dict[str, dict[int, _Queue[T]]] = {}
        self.turns = turns.Turns()
        self.size = 0
        self.arrivals = 0

    def __len__(self) -> int:
        return self.size

    def push(
        self,
        priority: int,
        target_at: float,
        item: T,
        kind: str = "",
        work_s: float = WORK_S,
        weight: float = 1.0,
    ) -> None:
        """Adds an item.

        Args:
          priority: 0 is the highest.
          target_at: When it should be answered, in seconds.
          item: The item.
          kind: The kind of capacity that it needs.
          work_s: How long its service takes.
          weight: The weight of its kind among those of its priority.
        """
        self.arrivals += 1
        self.size += 1
        entry = Entry(
            target_at - work_s,
            self.arrivals,
            priority,
            target_at,
            item,
            work_s,
            weight,
        )
        queues = self.queues.setdefault(kind, {})
        queue = queues.get(priority)
        if queue is None:
            queue = queues[priority] = _Queue()
        heapq.heappush(queue.timely, entry)

    def pop(self, now: float) -> T:
        """Removes and returns the first item.

        Raises:
          IndexError: The queue is empty.
        """
        if not self.size:
            raise IndexError("pop from an empty queue")
        kind = min(self.queues, key=lambda each: self._find_turn(each, now))
        return self.pop_kind(kind, now)

    def pop_kind(self, kind: str, now: float) -> T:
        """Removes and returns the first item of a kind, which must exist."""
        entry = self.peek_kind(kind, now)
        self.turns.charge(entry.priority, kind, entry.work_s, entry.weight)
        self._remove(kind, entry)
        return entry.item

    def peek_kind(self, kind: str, now: float) -> Entry[T]:
        """Returns the first entry of a kind, which must exist."""
        priority = self._find_turn(kind, now).priority
        return self.queues[kind][priority].first(now)

    def kinds(self, now: float) -> list[str]:
        """Returns the kinds of queued items, ordered by their turns."""
        if len(self.queues) == 1:
            return list(self.queues)
        return sorted(self.queues, key=lambda kind: self._find_turn(kind, now))

    def count_kind(self, kind: str) -> int:
        """Returns the number of queued items of a kind."""
        count = 0
        for queue in self.queues.get(kind, {}).values():
            count += queue.count()
        return count

    def count_by_priority(self) -> dict[int, int]:
        """Returns the number of queued items of each priority."""
        counts: dict[int, int] = {}
        for queues in self.queues.values():
            for priority, queue in queues.items():
                counts[priority] = counts.get(priority, 0) + queue.count()
        return counts

    def discard(self, item: T, kind: str = "") -> None:
        """Removes an item, if it is queued."""
        for queue in self.queues.get(kind, {}).values():
            for entry in queue.entries():
                if entry.item is item:
                    self._remove(kind, entry)
                    return

    def drain(self) -> list[T]:
        """Removes and returns all items, by priority and then by target."""
        timely: list[Entry[T]] = []
        late: list[Entry[T]] = []
        for queues in self.queues.values():
            for queue in queues.values():
                timely.extend(queue.timely)
                late.extend(queue.late)
        timely.sort(key=_drain_key)
        late.sort(key=_drain_key)
        self.queues.clear()
        self.turns.clear()
        self.size = 0
        return [entry.item for entry in timely + late]

    def _find_turn(self, kind: str, now: float) -> turns.Turn:
        """Returns the turn of a kind, which is that of its first item."""
        best = None
        for priority, queue in self.queues[kind].items():
            entry = queue.first(now)
            turn = self.turns.find(
                priority, kind, entry.start_by, entry.sequence, now
            )
            if best is None or turn < best:
                best = turn
        assert best is not None
        return best

    def _remove(self, kind: str, entry: Entry[T]) -> None:
        """Removes an entry and the queues that are empty then."""
        queues = self.queues[kind]
        queue = queues[entry.priority]
        queue.remove(entry)
        self.size -= 1
        if not queue.count():
            del queues[entry.priority]
        if not queues:
            del self.queues[kind]
        if not self.size:
            self.turns.clear()


class _Queue(Generic[T]):
    """The entries of one kind and priority.

    Attributes:
      timely: Those that can still meet their target, as a heap.
      late: Those that no longer can, in the order in which they missed it.
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
        while self.timely and self.timely[0].start_by <= now:
            heapq.heappush(self.late, heapq.heappop(self.timely))
        return self.timely[0] if self.timely else self.late[0]

    def remove(self, entry: Entry[T]) -> None:
        """Removes an entry."""
        for heap in (self.timely, self.late):
            if heap and heap[0] is entry:
                heapq.heappop(heap)
                return
            if entry in heap:
                heap.remove(entry)
                heapq.heapify(heap)
                return


def _drain_key(entry: Entry) -> tuple[int, float, int]:
    """Returns the sort key of an entry of a drained queue."""
    return entry.priority, entry.start_by, entry.sequence
