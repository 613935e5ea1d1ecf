"""Reads from the daemons' logs when each step of a failover happened."""

import datetime
import pathlib
from typing import NamedTuple

TIMESTAMP_LENGTH = len("2026-01-01T00:00:00.000+0000")
TIMESTAMP_FORMAT = "%Y-%m-%dT%H:%M:%S.%f%z"
DETECTED = "does not serve"
FENCED = "no write lease is held any more"
PROMOTED = " leads"


class Line(NamedTuple):
    """A log line.

    Attributes:
      at: Seconds of the Unix clock.
      text: The line without its time.
    """

    at: float
    text: str


class Parts(NamedTuple):
    """How long each phase of a failover took, in seconds; None if not logged.

    Attributes:
      detect: From the fault until the steward logs that the primary does not
        serve.
      fence: From then until no write lease is held.
      promote: From then until the new term is confirmed.
      spread: From then until the end of the gap in writes.
    """

    detect: float | None
    fence: float | None
    promote: float | None
    spread: float | None


def read_lines(folder: pathlib.Path, since: float, prefix: str) -> list[Line]:
    """Returns the lines of one log part from all logs of a folder, by time."""
    lines = []
    for path in folder.glob("*.log"):
        lines.extend(read_file(path, since, prefix))
    return sorted(lines)


def read_file(path: pathlib.Path, since: float, prefix: str) -> list[Line]:
    """Returns the lines of one log part since a time."""
    lines = []
    for text in path.read_text(encoding="utf-8").splitlines():
        if f" {prefix}: " not in text:
            continue
        line = _parse_line(text)
        if line is not None and line.at >= since:
            lines.append(line)
    return lines


def measure_parts(lines: list[Line], fault_at: float, done_at: float) -> Parts:
    """Returns the phases of a failover.

    The failure counts when first detected; a step that was repeated counts
    when it last happened.
    """
    times: list[float | None] = [fault_at]
    for pattern in (DETECTED, FENCED, PROMOTED):
        times.append(_find_step(lines, pattern, done_at))
    times.append(done_at)
    parts: list[float | None] = []
    for before, after in zip(times, times[1:], strict=False):
        if before is None or after is None:
            parts.append(None)
            continue
        parts.append(round(after - before, 3))
    return Parts(*parts)


def _find_step(lines: list[Line], pattern: str, until: float) -> float | None:
    """Returns when a step was: the first detection, the last of others."""
    times = [line.at for line in lines if pattern in line.text]
    times = [at for at in times if at <= until]
    if not times:
        return None
    return times[0] if pattern == DETECTED else times[-1]


def _parse_line(text: str) -> Line | None:
    """Parses a line; returns None for one that does not start with a time."""
    try:
        at = datetime.datetime.strptime(
            text[:TIMESTAMP_LENGTH], TIMESTAMP_FORMAT
        )
    except ValueError:
        return None
    return Line(at.timestamp(), text[TIMESTAMP_LENGTH:].strip())
