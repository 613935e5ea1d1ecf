"""The account of the memory that clients can fill, and who gives way.

Holders are named by numbers. A holder of little is not counted, so that small
messages cost nothing here.
"""

from collections.abc import Iterable
from typing import NamedTuple

SMALL_BYTES = 4096  # A holder of less counts as one of nothing.
MIB = 1024 * 1024
# What a process takes by itself, with the sessions that its site opens.
PROCESS_BYTES = 60 * MIB
# Of the rest, for what is counted. Decoding and encoding a message takes a few
# more copies of it, and freed memory isn't returned at once.
COUNTED_FRACTION = 0.5
MIN_BUDGET_BYTES = 8 * MIB
TIGHT_FRACTION = 0.5  # Of the budget; beyond it, large senders wait.
CLOSED_DOWN_TO = 0.875  # Of the budget, when holders are closed.
FREE_BYTES = 64 * 1024  # A holder of less never waits for room.
RESERVED_FILES = 200  # Descriptors that sockets can't use.
SPARE_SOCKETS = 24  # For listeners, probes and the store.
SPARE_FRACTION = 0.1  # Of the sockets, for other instances.
CALLERS_FRACTION = 0.6  # Of the sockets of callers and servers together.


class Idle(NamedTuple):
    """A connection that could be closed to make room for another.

    Attributes:
      number: Its number.
      used_at: When something was last received on it.
      is_outside: Whether it is outside a transaction.
    """

    number: int
    used_at: float
    is_outside: bool


class Account:
    """What each holder has in memory.

    Attributes:
      budget: The bytes that all may hold; None without a bound.
      total: The bytes that all hold.
      held: The bytes of each holder that holds more than a little.
    """

    def __init__(self, budget: int | None):
        self.budget = budget
        self.total = 0
        self.held: dict[int, int] = {}

    def set(self, holder: int, size: int) -> None:
        """Sets what a holder has."""
        before = self.held.pop(holder, 0)
        if size < SMALL_BYTES:
            size = 0
        if size:
            self.held[holder] = size
        self.total += size - before

    def is_tight(self) -> bool:
        """Returns whether large senders have to wait."""
        if self.budget is None:
            return False
        return self.total > TIGHT_FRACTION * self.budget

    def must_wait(self, holder: int) -> bool:
        """Returns whether nothing more may be read from a holder now."""
        return self.is_tight() and self.held.get(holder, 0) > FREE_BYTES

    def choose_excess(self) -> list[int]:
        """Returns the holders to close, those that hold most first."""
        if self.budget is None or self.total <= self.budget:
            return []
        left = self.total - CLOSED_DOWN_TO * self.budget
        chosen = []
        for holder in sorted(self.held, key=self.held.__getitem__)[::-1]:
            if left <= 0:
                break
            chosen.append(holder)
            left -= self.held[holder]
        return chosen


def find_budget(memory_bytes: int | None) -> int | None:
    """Returns what clients may fill of a machine's memory."""
    if memory_bytes is None:
        return None
    rest = COUNTED_FRACTION * (memory_bytes - PROCESS_BYTES)
    return max(MIN_BUDGET_BYTES, int(rest))


def find_socket_limit(descriptors: int | None) -> int | None:
    """Returns how many connections callers and servers may have together."""
    if descriptors is None:
        return None
    sockets = descriptors - RESERVED_FILES
    return max(1, int(sockets * (1 - SPARE_FRACTION)) - SPARE_SOCKETS)


def has_room(callers: int, others: int, limit: int | None) -> bool:
    """Returns whether callers leave enough connections to servers.

    Args:
      callers: The connections of callers.
      others: Those to servers.
      limit: How many there may be together; None without a bound.
    """
    if limit is None:
        return True
    return callers <= CALLERS_FRACTION * limit and callers + others <= limit


def choose_idle(
    candidates: Iterable[Idle], now: float, left_open_s: float
) -> int | None:
    """Returns the connection that makes room for another, or None.

    It is the one that was used longest ago outside a transaction, or one whose
    transaction has been left open for so long if all others were used since.
    """
    outside: Idle | None = None
    left_open: Idle | None = None
    for each in candidates:
        if each.is_outside:
            if outside is None or each.used_at < outside.used_at:
                outside = each
            continue
        if each.used_at > now - left_open_s:
            continue
        if left_open is None or each.used_at < left_open.used_at:
            left_open = each
    if left_open is not None and outside is not None:
        # One that has just come is no more idle than an old transaction.
        if outside.used_at > now - left_open_s:
            return left_open.number
    chosen = outside or left_open
    return None if chosen is None else chosen.number
