"""Positions of the primary, by which a read proves how fresh its log is.

A primary that answers a statement which only a primary runs tells its place
in the log. Every commit acknowledged before that statement was sent is at or
below it. A replica whose log holds the position may therefore run any read
that accepts data as old as the statement.
"""

from cuminwall.direct.answers import Position
from cuminwall.direct.servers_state import Group, Watermark
from cuminwall.direct.state import State

KEPT_S = 20.0  # Above every age that a route accepts.


def record(
    state: State, group: Group, sent_at: float, position: Position | None
) -> None:
    """Remembers what the primary told.

    Args:
      state: The state.
      group: The database group.
      sent_at: When the statement was sent.
      position: What its answer told, or None.
    """
    if position is None:
        return
    marks = group.watermarks
    if (
        marks
        and sent_at < marks[-1].sent_at + state.limits.watermark_interval_s
    ):
        return
    marks.append(Watermark(sent_at, position))
    while marks[0].sent_at < state.now - KEPT_S:
        marks.popleft()


def oldest_valid(state: State, group: Group, age_s: float) -> Watermark | None:
    """Returns the mark that replicas pass first, for a read of this age."""
    least = state.now - age_s + state.limits.watermark_margin_s
    for mark in group.watermarks:
        if mark.sent_at >= least:
            return mark
    return None
