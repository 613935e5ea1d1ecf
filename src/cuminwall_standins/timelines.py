"""Log records and timeline histories."""

from collections.abc import Sequence
from typing import NamedTuple


class Timeline(NamedTuple):
    """One timeline of a log's history.

    Attributes:
      timeline: The number, which each promotion increases.
      start_lsn: The fork point, in bytes.
      identity: Distinguishes promotions that chose the same number.
    """

    timeline: int
    start_lsn: int
    identity: str


class Record(NamedTuple):
    """One committed transaction.

    Attributes:
      end_lsn: The log position after it, in bytes.
      payload: CBOR of the time in seconds and the statements.
    """

    end_lsn: int
    payload: bytes


FIRST = Timeline(1, 0x1000000, "")


def timeline_at(history: Sequence[Timeline], lsn: int) -> int:
    """Returns the timeline of a log position."""
    timeline = FIRST.timeline
    for entry in history:
        if entry.start_lsn <= lsn:
            timeline = entry.timeline
    return timeline


def common_lsn(
    one: Sequence[Timeline], other: Sequence[Timeline]
) -> int | None:
    """Returns where two histories diverge, or None if they are equal."""
    for mine, theirs in zip(one, other, strict=False):
        if mine != theirs:
            return min(mine.start_lsn, theirs.start_lsn)
    longer = one if len(one) > len(other) else other
    shorter = min(len(one), len(other))
    return longer[shorter].start_lsn if len(longer) > shorter else None
