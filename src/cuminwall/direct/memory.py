"""Closes connections when clients fill the memory meant for them."""

from collections.abc import Callable
from typing import Any

from cuminwall.load import memory_budget

PART = "memory"

Note = Callable[[str, dict[str, Any]], None]


class Memory:
    """What the connections of this instance hold, and who is closed.

    A caller's connection counts under its session, a server's under its
    number with a minus sign.

    Attributes:
      account: What each connection holds.
      note: Writes a log line and counts the event.
      on_room: Called when large senders need not wait any more.
      close_by: How to close each connection that holds more than a little.
    """

    def __init__(self, budget: int | None, note: Note):
        self.account = memory_budget.Account(budget)
        self.note = note
        self.on_room: Callable[[], None] = lambda: None
        self.close_by: dict[int, Callable[[], None]] = {}

    def set(self, holder: int, size: int, close: Callable[[], None]) -> None:
        """Sets what a connection holds; closes those that hold too much."""
        was_tight = self.account.is_tight()
        self.account.set(holder, size)
        if holder in self.account.held:
            self.close_by[holder] = close
        else:
            self.close_by.pop(holder, None)
        for chosen in self.account.choose_excess():
            self._close(chosen)
        if was_tight and not self.account.is_tight():
            self.on_room()

    def _close(self, holder: int) -> None:
        """Closes a connection and forgets what it held."""
        size = self.account.held.get(holder, 0)
        self.account.set(holder, 0)
        close = self.close_by.pop(holder, None)
        if close is None:
            return
        self.note(
            "closed_for_memory",
            {"holder": holder, "bytes": size, "total": self.account.total},
        )
        close()
