"""Watermarks: log positions of the primary that bound a replica's staleness.

A primary that answers a statement which only a primary runs reports its log
position. Every commit acknowledged before that statement was sent is at or
below it. A replica that has reached the position may therefore run any read
that accepts data as old as the statement.
"""

from collections import deque

from cuminwall.direct.answers import Position
from cuminwall.direct.servers_state import Group, Watermark
from cuminwall.direct.state import State

RETENTION_S = 20.0  # Above the maximum age of every route.


def record(
    state: State, group: Group, sent_at: float, position: Position | None
) -> None:
    """Records a position that the primary reported.

    Args:
      state: The state.
      group: The database group.
      sent_at: When the statement was sent.
      position: The position in its answer, or None.
    """
    if position is not None:
        append(state, group.watermarks, sent_at, position)


def append(
    state: State,
    watermarks: deque[Watermark],
    sent_at: float,
    position: Position,
) -> None:
    """Appends a watermark, unless a newer or similar one is there."""
    if (
        watermarks
        and sent_at < watermarks[-1].sent_at + state.limits.watermark_interval_s
    ):
        return
    watermarks.append(Watermark(sent_at, position))
    while watermarks[0].sent_at < state.now - RETENTION_S:
        watermarks.popleft()
        if not watermarks:
            return


def oldest_valid(state: State, group: Group, age_s: float) -> Watermark | None:
    """Returns the lowest watermark that serves a read of this maximum age.

    The lower it is, the more replicas have reached it.
    """
    min_sent_at = state.now - age_s + state.limits.watermark_margin_s
    own = _oldest_since(group.watermarks, min_sent_at)
    shared = _oldest_since(group.shared_watermarks, min_sent_at)
    if own is None or shared is None:
        return own or shared
    return own if own.position <= shared.position else shared


def _oldest_since(
    watermarks: deque[Watermark], min_sent_at: float
) -> Watermark | None:
    """Returns the oldest watermark that is not older than a time."""
    for watermark in watermarks:
        if watermark.sent_at >= min_sent_at:
            return watermark
    return None
