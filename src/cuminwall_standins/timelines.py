"""The log's records and the history of its timelines."""

from collections.abc import Sequence
from typing import NamedTuple


class Timeline(NamedTuple):
    """One stretch of a log's history.

    Attributes:
      timeline: The number, higher with each promotion.
      start_lsn: The fork point, in bytes.
      identity: Tells apart two promotions that took the same number.
    """

    timeline: int
    start_lsn: int
    identity: str


class Record(NamedTuple):
    """One committed transaction.

    Attributes:
      end_lsn: The log position behind it, in bytes.
      payload: CBOR of the time in seconds and the statements.
    """

    end_lsn: int
    payload: bytes


FIRST = Timeline(1, 0x1000000, "")


def timeline_at(history: Sequence[Timeline], lsn: int) -> int:
    """Returns the timeline that a log position lies on."""
    timeline = FIRST.timeline
    for entry in history:
        if entry.start_lsn <= lsn:
            timeline = entry.timeline
    return timeline


def common_lsn(
    one: Sequence[Timeline], other: Sequence[Timeline]
) -> int | None:
    """Returns up to where two histories agree; None if one holds the other."""
    for mine, theirs in zip(one, other, strict=False):
        if mine != theirs:
            return min(mine.start_lsn, theirs.start_lsn)
    longer = one if len(one) > len(other) else other
    shorter = min(len(one), len(other))
    return longer[shorter].start_lsn if len(longer) > shorter else None
