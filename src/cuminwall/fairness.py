"""A queue that serves workspaces in turn, whatever each of them sends."""

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
        """Puts `item` behind the others of its workspace."""
        lane = self.lanes.get(workspace)
        if lane is None:
            lane = self.lanes[workspace] = deque()
        lane.append(item)
        self.size += 1

    def pop(self) -> T:
        """Returns the next item; its workspace goes to the end of the turn.

        Raises:
          IndexError: The queue is empty.
        """
        if not self.size:
            raise IndexError("empty queue")
        workspace, lane = next(iter(self.lanes.items()))
        del self.lanes[workspace]
        item = lane.popleft()
        self.size -= 1
        if lane:
            self.lanes[workspace] = lane
        return item

    def length(self, workspace: str) -> int:
        """Returns how many items of the workspace wait."""
        lane = self.lanes.get(workspace)
        return len(lane) if lane else 0

    def remove(self, workspace: str, item: T) -> bool:
        """Takes one item out; returns whether it was there."""
        lane = self.lanes.get(workspace)
        if lane is None or item not in lane:
            return False
        lane.remove(item)
        self.size -= 1
        if not lane:
            del self.lanes[workspace]
        return True
