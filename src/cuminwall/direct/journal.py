"""Writes log lines as JSON objects on standard output, without blocking.

An inherited descriptor usually blocks: while nobody reads a full pipe, a write
to it would hold up the event loop and all that the process serves. It is
therefore made non-blocking.

A line is dropped, and counted, when the reader is too slow or when one part
of the program writes too many within a second. Another line tells how many
were dropped.
"""

import collections
import contextlib
import json
import os
import time
from collections.abc import Callable
from typing import Any

from loguru import logger

FLUSH_S = 0.05  # How long lines are collected before they are written.
MAX_PENDING_BYTES = 1024 * 1024
MAX_LINES_PER_S = 400  # For each part of the program.

CallLater = Callable[[float, Callable[[], None]], object]


class Journal:
    """Writes log lines.

    Attributes:
      instance: The name of this instance, in each line.
      descriptor: The file descriptor to write to; made non-blocking.
      call_later: Schedules a call after so many seconds; None writes at once.
      pending: The bytes to be written.
      dropped: Lines dropped since the last line about that.
      totals: All dropped lines, by cause.
    """

    def __init__(
        self,
        instance: str,
        descriptor: int = 1,
        call_later: CallLater | None = None,
        clock: Callable[[], float] = time.time,
    ):
        self.instance = instance
        self.descriptor = descriptor
        with contextlib.suppress(OSError):
            # There is no such descriptor, so nothing can be logged either.
            os.set_blocking(descriptor, False)
        self.call_later = call_later
        self.clock = clock
        self.pending = bytearray()
        self.dropped = 0
        self.totals: collections.Counter[str] = collections.Counter()
        self.is_flush_due = False
        self.second = 0
        self.lines_this_second: collections.Counter[str] = collections.Counter()

    def add(self, part: str, event: str, fields: dict[str, Any]) -> None:
        """Writes a line, unless its part has written too many lately."""
        now = self.clock()
        if int(now) != self.second:
            self.second = int(now)
            self.lines_this_second.clear()
            self._report_dropped(now)
        self.lines_this_second[part] += 1
        if self.lines_this_second[part] > MAX_LINES_PER_S:
            self._drop("rate")
            return
        self._append(now, part, event, fields)

    def flush(self) -> None:
        """Writes pending lines, as far as possible without blocking."""
        self.is_flush_due = False
        if not self.pending:
            return
        try:
            count = os.write(self.descriptor, self.pending)
        except BlockingIOError:
            count = 0
        except OSError:
            # The reader is gone, so this failure can't be logged either.
            self.totals["unread"] += self.pending.count(b"\n")
            self.pending.clear()
            return
        del self.pending[:count]
        if self.pending:
            self._schedule_flush()

    def _append(
        self, now: float, part: str, event: str, fields: dict[str, Any]
    ) -> None:
        """Adds a line to those to be written."""
        line = {
            "at": round(now, 3),
            "instance": self.instance,
            "part": part,
            "event": event,
            **fields,
        }
        data = json.dumps(line, default=str).encode() + b"\n"
        if len(self.pending) + len(data) > MAX_PENDING_BYTES:
            self._drop("unread")
            return
        self.pending += data
        self._schedule_flush()

    def _drop(self, cause: str) -> None:
        self.dropped += 1
        self.totals[cause] += 1

    def _report_dropped(self, now: float) -> None:
        """Writes a line that tells how many were dropped."""
        if not self.dropped:
            return
        dropped = self.dropped
        self.dropped = 0
        self._append(now, "journal", "lines_dropped", {"count": dropped})

    def _schedule_flush(self) -> None:
        if self.call_later is None:
            if not self.is_flush_due:
                self.is_flush_due = True
                self.flush()
            return
        if not self.is_flush_due:
            self.is_flush_due = True
            self.call_later(FLUSH_S, self.flush)


def capture(journal: Journal, level: str = "INFO") -> None:
    """Replaces the sinks of `loguru` by a journal."""

    def sink(message: Any) -> None:
        record = message.record
        part, _, text = record["message"].partition(": ")
        fields = {"text": text, "level": record["level"].name.lower()}
        journal.add(part, "message", fields)

    logger.remove()
    logger.add(sink, level=level, format="{message}")
