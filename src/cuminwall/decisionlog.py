"""The log lines of decisions: one each, and those of rounds in batches.

A line for every routing decision is wanted, and the logger takes longer over
a line than the decision itself. So these lines are put together here, with
the time of their decision, and given to the logger several at a time.
"""

import time
from collections.abc import Callable

from loguru import logger

BATCH_DELAY_S = 0.02
MAX_BATCH_LINES = 256
FREQUENT_PARTS = frozenset({"routing", "sessions"})
LEVELS_WITH_DECISIONS = frozenset({"trace", "debug", "info"})
LEVEL_NAME = "INFO   "

CallLater = Callable[[float, Callable[[], None]], object]


class DecisionLog:
    """Writes the lines of decisions.

    Attributes:
      is_enabled: Whether the level in force includes them.
      call_later: Calls something after so many seconds; None writes every
        line at once.
      clock: Tells the time of day, in seconds since the epoch.
      lines: What waits to be written.
    """

    def __init__(
        self,
        is_enabled: bool = True,
        call_later: CallLater | None = None,
        clock: Callable[[], float] = time.time,
    ):
        self.is_enabled = is_enabled
        self.call_later = call_later
        self.clock = clock
        self.lines: list[str] = []
        self.second = -1
        self.second_text = ""
        self.offset_text = ""

    def add(self, part: str, text: str) -> None:
        """Writes a line, or keeps it for a moment if it is a frequent one."""
        if not self.is_enabled:
            return
        if self.call_later is None or part not in FREQUENT_PARTS:
            self.flush()
            logger.info("{}: {}", part, text)
            return
        if not self.lines:
            self.call_later(BATCH_DELAY_S, self.flush)
        self.lines.append(f"{self._time_text()} {LEVEL_NAME} {part}: {text}\n")
        if len(self.lines) >= MAX_BATCH_LINES:
            self.flush()

    def flush(self) -> None:
        """Writes what waits."""
        if not self.lines:
            return
        batch = "".join(self.lines)
        self.lines.clear()
        logger.opt(raw=True).info(batch)

    def _time_text(self) -> str:
        """Returns the time of day as the other lines show it."""
        now = self.clock()
        second = int(now)
        if second != self.second:
            self.second = second
            local = time.localtime(second)
            self.second_text = time.strftime("%Y-%m-%dT%H:%M:%S", local)
            self.offset_text = time.strftime("%z", local)
        milliseconds = int(1000 * (now - second))
        return f"{self.second_text}.{milliseconds:03d}{self.offset_text}"
