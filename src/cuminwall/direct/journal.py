"""Writes log lines as JSON objects on standard output, without blocking.

A line is dropped, and counted, when the reader is too slow or when one part
of the program writes too many within a second. Another line tells how many
were dropped.
"""

import collections
import json
import time
from collections.abc import Callable
from typing import Any

from loguru import logger

from cuminwall import outputs

TEXT = "text"  # The field of a message of the program itself.
MAX_LINES_PER_S = 400  # For each part of the program.
MAX_FIELD_CHARS = 256  # Callers choose ids and names of up to a megabyte.
MAX_TEXT_CHARS = 4096  # Of a message of the program itself.


class Journal:
    """Writes log lines.

    Attributes:
      instance: The name of this instance, in each line.
      output: The bytes to be written.
      dropped: Lines dropped since the last line about that.
      rate_dropped: All lines dropped since their part wrote too many.
    """

    def __init__(
        self,
        instance: str,
        descriptor: int = 1,
        call_later: outputs.CallLater | None = None,
        clock: Callable[[], float] = time.time,
    ):
        self.instance = instance
        self.output = outputs.Output(descriptor, call_later)
        self.clock = clock
        self.dropped = 0
        self.rate_dropped = 0
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
            self.dropped += 1
            self.rate_dropped += 1
            return
        self._append(now, part, event, fields)

    def flush(self) -> None:
        """Writes pending lines, as far as possible without blocking."""
        self.output.flush()

    def finish(self) -> None:
        """Writes pending lines before the process ends."""
        self.output.finish(outputs.FINISH_S)

    def count_dropped(self) -> int:
        """Returns how many lines were not written."""
        return self.rate_dropped + self.output.unread_count

    def _append(
        self, now: float, part: str, event: str, fields: dict[str, Any]
    ) -> None:
        """Adds a line to those to be written."""
        line = {
            "at": round(now, 3),
            "instance": self.instance,
            "part": part,
            "event": event,
        }
        for name, value in fields.items():
            most = MAX_TEXT_CHARS if name == TEXT else MAX_FIELD_CHARS
            line[name] = _shorten(value, most)
        data = json.dumps(line, default=str).encode() + b"\n"
        if not self.output.write(data):
            self.dropped += 1

    def _report_dropped(self, now: float) -> None:
        """Writes a line that tells how many were dropped."""
        if not self.dropped:
            return
        dropped = self.dropped
        self.dropped = 0
        self._append(now, "journal", "lines_dropped", {"count": dropped})


def _shorten(value: Any, most: int) -> Any:
    """Returns a field's value; of a long text its beginning and its length."""
    if not isinstance(value, str) or len(value) <= most:
        return value
    return f"{value[:most]}... ({len(value)} characters)"


def capture(journal: Journal, level: str = "INFO") -> None:
    """Replaces the sinks of `loguru` by a journal."""

    def sink(message: Any) -> None:
        record = message.record
        part, _, text = record["message"].partition(": ")
        fields = {TEXT: text, "level": record["level"].name.lower()}
        journal.add(part, "message", fields)

    logger.remove()
    logger.add(sink, level=level, format="{message}")
