"""Writes one log line for each decision, frequent ones in batches.

Every routing decision is logged, and the logger takes longer for a line than
the decision itself. So these lines are formatted here, with the time of their
decision, and passed to the logger in batches.
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
    """Writes the log lines of decisions.

    Attributes:
      is_enabled: Whether the configured log level includes them.
      call_later: Calls a function after a delay in seconds; None writes every
        line at once.
      clock: Returns the Unix time in seconds.
      lines: The lines not yet written.
      second: The second that the cached texts below stand for.
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
        """Writes a line, or buffers it if it is of a frequent part."""
        if not self.is_enabled:
            return
        if self.call_later is None or part not in FREQUENT_PARTS:
            self.flush()
            logger.info("{}: {}", part, text)
            return
        if not self.lines:
            self.call_later(BATCH_DELAY_S, self.flush)
        self.lines.append(
            f"{self._format_time()} {LEVEL_NAME} {part}: {text}\n"
        )
        if len(self.lines) >= MAX_BATCH_LINES:
            self.flush()

    def flush(self) -> None:
        """Writes the buffered lines."""
        if not self.lines:
            return
        batch = "".join(self.lines)
        self.lines.clear()
        logger.opt(raw=True).info(batch)

    def _format_time(self) -> str:
        """Returns the current time in the format of the other log lines."""
        now = self.clock()
        second = int(now)
        if second != self.second:
            self.second = second
            local = time.localtime(second)
            self.second_text = time.strftime("%Y-%m-%dT%H:%M:%S", local)
            self.offset_text = time.strftime("%z", local)
        milliseconds = int(1000 * (now - second))
        return f"{self.second_text}.{milliseconds:03d}{self.offset_text}"
