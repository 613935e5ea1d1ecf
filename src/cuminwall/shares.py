"""A holder's part of a shared limit, lent by the steward of the limit.

A limit has one or more components, for example rate and burst. The holder
has its share until `until` and a smaller floor until `floor_until`, both
counted from before the ask that was answered. Only the answer to the latest
ask counts, so what the latest ask stated can only grow by its own answer.

The floor of a pooled limit is used by the lender while the holder is in
touch, so the holder begins to use it only once the lender has surely ceased.
"""

from typing import NamedTuple

from cuminwall import leases, messages

Amounts = tuple[float, ...]

ASK_TIMEOUT_S = 0.1
FIRST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.15


class Line:
    """What this instance holds of one limit.

    Attributes:
      name: The limit.
      is_pooled: Whether the floor is of use only when out of touch.
      held: What is lent for a short time.
      floor: What is lent for long beside it.
      until: When `held` lapses.
      floor_from: From when a pooled floor may be used.
      floor_until: When the floor lapses.
      accepted: The number of the last ask whose answer was taken.
      asked: The number of the latest ask.
      asked_at: When it was sent.
      is_answered: Whether its answer has come.
      was_short: Whether it asked for what work waits for.
      pause_s: The least time between two such asks.
    """

    __slots__ = (
        "name",
        "is_pooled",
        "held",
        "floor",
        "until",
        "floor_from",
        "floor_until",
        "accepted",
        "asked",
        "asked_at",
        "is_answered",
        "was_short",
        "pause_s",
    )

    def __init__(self, name: str, components: int):
        self.name = name
        self.is_pooled = components > 1
        self.held: Amounts = (0.0,) * components
        self.floor: Amounts = self.held
        self.until = leases.NEVER
        self.floor_from = leases.NEVER
        self.floor_until = leases.NEVER
        self.accepted = 0
        self.asked = 0
        self.asked_at = leases.NEVER
        self.is_answered = True
        self.was_short = False
        self.pause_s = FIRST_PAUSE_S


class Accepted(NamedTuple):
    """What an answer changed.

    Attributes:
      has_grown: Whether some component grew.
      has_shrunk: Whether some component shrank; the lender waits to hear it.
    """

    has_grown: bool
    has_shrunk: bool


def usable(line: Line, now: float) -> Amounts:
    """Returns what the holder may use now."""
    floor = line.floor
    if now >= line.floor_until:
        floor = (0.0,) * len(line.held)
    if now >= line.until:
        waits = line.is_pooled and now < line.floor_from
        return (0.0,) * len(line.held) if waits else floor
    if line.is_pooled:
        return line.held
    return tuple(map(sum, zip(line.held, floor, strict=True)))


def lapse(line: Line, now: float) -> None:
    """Drops what has lapsed."""
    if now >= line.until:
        line.held = (0.0,) * len(line.held)
    if now >= line.floor_until:
        line.floor = (0.0,) * len(line.floor)


def accept(
    line: Line, number: int, grant: messages.ShareGrant, now: float
) -> Accepted | None:
    """Takes the lender's answer to the latest ask; None for any other."""
    if number != line.asked or line.is_answered:
        return None
    before = usable(line, now)
    line.is_answered = True
    line.accepted = number
    line.held = grant.target
    line.floor = grant.floor
    line.until = leases.held_until(line.asked_at, grant.lease_s)
    lender_s = leases.lapses_at(0.0, grant.lease_s)
    line.floor_from = leases.lapses_at(now, lender_s)
    line.floor_until = leases.held_until(line.asked_at, grant.floor_s)
    lapse(line, now)
    has_grown = False
    has_shrunk = False
    for old, new in zip(before, usable(line, now), strict=True):
        has_grown = has_grown or new > old
        has_shrunk = has_shrunk or new < old
    return Accepted(has_grown, has_shrunk)


def note_asked(line: Line, number: int, now: float, was_short: bool) -> None:
    """Notes that an ask which states this line is being sent."""
    line.asked = number
    line.asked_at = now
    line.is_answered = False
    line.was_short = was_short


def may_ask_now(line: Line, now: float) -> bool:
    """Returns whether an urgent ask may be sent.

    An ask makes the answer to the one before it void, so the next one waits
    for the answer, or until it is probably lost.
    """
    since_s = now - line.asked_at
    if not line.is_answered:
        return since_s >= ASK_TIMEOUT_S
    return not line.was_short or since_s >= line.pause_s


def lengthen_pause(line: Line) -> None:
    """Slows urgent asks down after one that brought nothing."""
    line.pause_s = min(LONGEST_PAUSE_S, 2 * line.pause_s)
