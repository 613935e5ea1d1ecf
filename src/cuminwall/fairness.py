"""A queue that serves workspaces round robin, however many items each has."""

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class FairQueue(Generic[T]):
    """First in, first out within a workspace; round robin between them."""

    __slots__ = ("lanes", "size")

    def __init__(self) -> None:
        self.lanes: dict[str, deque[T]] = {}
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def push(self, workspace: str, item: T) -> None:
        """Appends `item` to the queue of its workspace."""
        lane = self.lanes.get(workspace)
        if lane is None:
            lane = self.lanes[workspace] = deque()
        lane.append(item)
        self.size += 1

    def pop(self) -> T:
        """Returns the next item; its workspace goes to the end of the cycle.

        Raises:
          IndexError: The queue is empty.
        """
        if not self.size:
            raise IndexError("pop from an empty queue")
        workspace, lane = next(iter(self.lanes.items()))
        del self.lanes[workspace]
        item = lane.popleft()
        self.size -= 1
        if lane:
            self.lanes[workspace] = lane
        return item

    def length(self, workspace: str) -> int:
        """Returns the number of queued items of a workspace."""
        lane = self.lanes.get(workspace)
        return len(lane) if lane else 0

    def remove(self, workspace: str, item: T) -> bool:
        """Removes an item and returns whether it was queued."""
        lane = self.lanes.get(workspace)
        if lane is None or item not in lane:
            return False
        lane.remove(item)
        self.size -= 1
        if not lane:
            del self.lanes[workspace]
        return True
