"""Watermarks that instances tell each other through the coordinator.

In a large fleet an instance rarely has work at a given primary, and without a
recent watermark its reads could only run there. So instances add the newest
watermarks of their own to their share requests, and the coordinator's replies
tell the newest of all for the services that the receiver reads from.

A time is passed on as an age, and never becomes younger on its way: the
coordinator counts an age from the earliest time at which the request can have
been sent, and the receiver of a reply from when it sent the request that was
answered. What an instance was told it does not pass on as its own.
"""

from collections import deque
from typing import NamedTuple

from cuminwall.direct import groups, messages, watermarks
from cuminwall.direct.answers import Position
from cuminwall.direct.servers_state import Group, Watermark
from cuminwall.direct.state import State

SHARING_INTERVAL_S = 0.2  # Between two requests of an instance that tell any.
READ_RECENTLY_S = 5.0  # For so long after a read an instance wants to be told.
MAX_SERVICES = 32  # Told, or asked for, in one message.
MAX_AGE_S = 5.0  # Older watermarks are not told.


class Told(NamedTuple):
    """What a share request tells and asks for: its fields of these names."""

    watermarks: tuple[messages.SharedWatermark, ...] = ()
    wanted_watermarks: tuple[str, ...] = ()


def tell(state: State, number: int) -> Told:
    """Returns what the next share request tells and asks for.

    Args:
      state: The state.
      number: The number of the share request.
    """
    pacing = state.request_pacing
    if state.now < pacing.watermarks_sent_at + SHARING_INTERVAL_S:
        return Told()
    told: list[messages.SharedWatermark] = []
    wanted: list[str] = []
    for group in state.groups.values():
        if len(told) < MAX_SERVICES:
            _add_newest(state, group, told)
        is_read = state.now - group.read_at < READ_RECENTLY_S
        if is_read and len(wanted) < MAX_SERVICES:
            wanted.append(group.service)
    pacing.watermarks_number = number
    pacing.watermarks_sent_at = state.now
    return Told(tuple(told), tuple(wanted))


def handle_request(
    state: State, request: messages.ShareRequest
) -> tuple[messages.SharedWatermark, ...]:
    """Records what an instance told; returns what it wants to be told."""
    for told in request.watermarks[:MAX_SERVICES]:
        _record(state, told, request.sent_no_earlier_than)
    reply = []
    for service in request.wanted_watermarks[:MAX_SERVICES]:
        group = state.groups.get(service)
        newest = None if group is None else _find_newest(group)
        if newest is not None:
            reply.append(_encode(state, service, newest))
    return tuple(reply)


def handle_reply(state: State, reply: messages.ShareReply) -> None:
    """Records what the coordinator told, if it answers the latest request."""
    pacing = state.request_pacing
    if reply.number != pacing.watermarks_number:
        return
    for told in reply.watermarks:
        _record(state, told, pacing.watermarks_sent_at)


def _add_newest(
    state: State, group: Group, told: list[messages.SharedWatermark]
) -> None:
    """Adds an instance's own newest watermark, unless it was told before."""
    if not group.watermarks:
        return
    newest = group.watermarks[-1]
    is_old = state.now - newest.sent_at > MAX_AGE_S
    if is_old or newest.sent_at <= group.told_watermark_at:
        return
    group.told_watermark_at = newest.sent_at
    told.append(_encode(state, group.service, newest))


def _encode(
    state: State, service: str, watermark: Watermark
) -> messages.SharedWatermark:
    """Returns a watermark as it is sent to another instance."""
    age_s = state.now - watermark.sent_at
    return messages.SharedWatermark(service, age_s, *watermark.position)


def _record(
    state: State, fields: tuple[str, float, int, int], aged_from: float
) -> None:
    """Records a watermark whose age was right at a time or later."""
    told = messages.SharedWatermark(*fields)
    if told.service not in state.catalog.services:
        return
    group = groups.find(state, told.service)
    position = Position(told.term, told.number)
    watermarks.append(
        state, group.shared_watermarks, aged_from - told.age_s, position
    )


def _find_newest(group: Group) -> Watermark | None:
    """Returns the newest watermark of a group, whoever recorded it."""
    newest = None
    known: deque[Watermark]
    for known in (group.watermarks, group.shared_watermarks):
        if known and (newest is None or known[-1].sent_at > newest.sent_at):
            newest = known[-1]
    return newest
