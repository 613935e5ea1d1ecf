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

REQUEST_TIMEOUT_S = 0.1
MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.15


class Share:
    """What this instance holds of one limit.

    Attributes:
      name: The limit.
      is_pooled: Whether the floor is of use only when out of touch.
      held: What is lent for a short time.
      floor: What is lent for long beside it.
      until: When `held` lapses.
      floor_from: From when a pooled floor may be used.
      floor_until: When the floor lapses.
      accepted_number: The number of the last ask whose answer was taken.
      request_number: The number of the latest ask.
      requested_at: When it was sent.
      is_answered: Whether its answer has come.
      was_urgent: Whether it asked for what work waits for.
      backoff_s: The least time between two such asks.
    """

    __slots__ = (
        "name",
        "is_pooled",
        "held",
        "floor",
        "until",
        "floor_from",
        "floor_until",
        "accepted_number",
        "request_number",
        "requested_at",
        "is_answered",
        "was_urgent",
        "backoff_s",
    )

    def __init__(self, name: str, components: int):
        self.name = name
        self.is_pooled = components > 1
        self.held: Amounts = (0.0,) * components
        self.floor: Amounts = self.held
        self.until = leases.NEVER
        self.floor_from = leases.NEVER
        self.floor_until = leases.NEVER
        self.accepted_number = 0
        self.request_number = 0
        self.requested_at = leases.NEVER
        self.is_answered = True
        self.was_urgent = False
        self.backoff_s = MIN_BACKOFF_S


class Accepted(NamedTuple):
    """What an answer changed.

    Attributes:
      has_grown: Whether some component grew.
      has_shrunk: Whether some component shrank; the lender waits to hear it.
    """

    has_grown: bool
    has_shrunk: bool


def usable(line: Share, now: float) -> Amounts:
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


def drop_expired(line: Share, now: float) -> None:
    """Drops what has lapsed."""
    if now >= line.until:
        line.held = (0.0,) * len(line.held)
    if now >= line.floor_until:
        line.floor = (0.0,) * len(line.floor)


def accept(
    line: Share, number: int, grant: messages.ShareGrant, now: float
) -> Accepted | None:
    """Takes the lender's answer to the latest ask; None for any other."""
    if number != line.request_number or line.is_answered:
        return None
    before = usable(line, now)
    line.is_answered = True
    line.accepted_number = number
    line.held = grant.held
    line.floor = grant.floor
    line.until = leases.holder_expiry(line.requested_at, grant.lease_s)
    lender_s = leases.lender_expiry(0.0, grant.lease_s)
    line.floor_from = leases.lender_expiry(now, lender_s)
    line.floor_until = leases.holder_expiry(line.requested_at, grant.floor_s)
    drop_expired(line, now)
    has_grown = False
    has_shrunk = False
    for old, new in zip(before, usable(line, now), strict=True):
        has_grown = has_grown or new > old
        has_shrunk = has_shrunk or new < old
    return Accepted(has_grown, has_shrunk)


def record_request(
    line: Share, number: int, now: float, was_urgent: bool
) -> None:
    """Notes that an ask which states this line is being sent."""
    line.request_number = number
    line.requested_at = now
    line.is_answered = False
    line.was_urgent = was_urgent


def may_request_now(line: Share, now: float) -> bool:
    """Returns whether an urgent ask may be sent.

    An ask makes the answer to the one before it void, so the next one waits
    for the answer, or until it is probably lost.
    """
    since_s = now - line.requested_at
    if not line.is_answered:
        return since_s >= REQUEST_TIMEOUT_S
    return not line.was_urgent or since_s >= line.backoff_s


def increase_backoff(line: Share) -> None:
    """Slows urgent asks down after one that brought nothing."""
    line.backoff_s = min(MAX_BACKOFF_S, 2 * line.backoff_s)
