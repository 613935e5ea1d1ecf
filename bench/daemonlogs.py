"""Reads the daemons' log lines: when each step of a change of primary was."""

import datetime
import pathlib
from typing import NamedTuple

STAMP_LENGTH = len("2026-01-01T00:00:00.000+0000")
STAMP_FORMAT = "%Y-%m-%dT%H:%M:%S.%f%z"
DETECTED = "does not serve"
FENCED = "no write lease is held any more"
PROMOTED = " leads"


class Line(NamedTuple):
    """A log line.

    Attributes:
      at: Seconds of the Unix clock.
      text: The line without time and level.
    """

    at: float
    text: str


class Parts(NamedTuple):
    """How long each part of a change took, in seconds; None if not seen.

    Attributes:
      detect: From the fault until the steward calls the primary failed.
      fence: From there until no write lease is held.
      promote: From there until the new term is confirmed.
      spread: From there until the first write is done.
    """

    detect: float | None
    fence: float | None
    promote: float | None
    spread: float | None


def read_lines(folder: pathlib.Path, since: float, prefix: str) -> list[Line]:
    """Returns the lines of every log of a folder with a prefix, by time."""
    lines = []
    for path in folder.glob("*.log"):
        lines.extend(read_file(path, since, prefix))
    return sorted(lines)


def read_file(path: pathlib.Path, since: float, prefix: str) -> list[Line]:
    """Returns the lines of one log with a prefix."""
    lines = []
    for text in path.read_text(encoding="utf-8").splitlines():
        if f" {prefix}: " not in text:
            continue
        line = _parse(text)
        if line is not None and line.at >= since:
            lines.append(line)
    return lines


def measure_parts(lines: list[Line], fault_at: float, done_at: float) -> Parts:
    """Returns the parts of a change; a step that is repeated counts last."""
    times: list[float | None] = [fault_at]
    for mark in (DETECTED, FENCED, PROMOTED):
        times.append(_find(lines, mark, done_at))
    times.append(done_at)
    parts: list[float | None] = []
    for before, after in zip(times, times[1:], strict=False):
        if before is None or after is None:
            parts.append(None)
            continue
        parts.append(round(after - before, 3))
    return Parts(*parts)


def _find(lines: list[Line], mark: str, until: float) -> float | None:
    """Returns when a step was; the first detection, the last of others."""
    found = [line.at for line in lines if mark in line.text]
    found = [at for at in found if at <= until]
    if not found:
        return None
    return found[0] if mark == DETECTED else found[-1]


def _parse(text: str) -> Line | None:
    """Returns a line, or None for one without a time."""
    try:
        at = datetime.datetime.strptime(text[:STAMP_LENGTH], STAMP_FORMAT)
    except ValueError:
        return None
    return Line(at.timestamp(), text[STAMP_LENGTH:].strip())
