"""Reads what the instances logged about configurations and the store."""

import collections
import json
import pathlib
from typing import Any, NamedTuple

KEPT_PARTS = ("store", "config", "coordination", "node", "journal")
ANSWERED = "answered"


class Line(NamedTuple):
    """A line of a log.

    Attributes:
      at: When it was written, by the system's monotonic clock.
      part: The part of the program.
      event: What happened.
      fields: The rest.
    """

    at: float
    part: str
    event: str
    fields: dict[str, Any]


class Log(NamedTuple):
    """What an instance logged.

    Attributes:
      lines: The lines of the parts that matter here.
      counts: How many lines there are of each part and event.
      malformed: Lines that aren't JSON, as those of a crash.
    """

    lines: list[Line]
    counts: collections.Counter[str]
    malformed: list[str]


def read(path: pathlib.Path, wall_clock_offset_s: float) -> Log:
    """Returns what an instance logged.

    Args:
      path: The file.
      wall_clock_offset_s: The time of day less the monotonic clock.
    """
    log = Log([], collections.Counter(), [])
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            try:
                fields = json.loads(text)
                at = float(fields.pop("at")) - wall_clock_offset_s
                part = str(fields.pop("part"))
                event = str(fields.pop("event"))
            except (ValueError, KeyError, TypeError, AttributeError):
                log.malformed.append(text.rstrip())
                continue
            log.counts[f"{part} {event}"] += 1
            if part in KEPT_PARTS:
                log.lines.append(Line(at, part, event, fields))
    return log


def find_in_force(log: Log, version: int, after: float) -> float | None:
    """Returns when a version, or a later one, came into force.

    Args:
      log: The log of an instance.
      version: The version.
      after: When it was sent.
    """
    for line in log.lines:
        if line.part != "config" or line.event != "in_force":
            continue
        if line.at >= after and line.fields["version"] >= version:
            return line.at
    return None
