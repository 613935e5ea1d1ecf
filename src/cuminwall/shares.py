"""A holder's share of a shared limit, leased from the limit's lender.

A limit has one or more components, for example rate and burst. The holder
may use its share until `until` and a smaller floor until `floor_until`, both
counted from before it sent the request that was answered. Only the reply to
the latest request is accepted, so the amounts reported in that request can
only grow by its own reply.

While the holder is connected, the lender uses the floor of a pooled limit
itself. The holder therefore starts to use its floor only when the lender has
stopped for certain.
"""

from typing import NamedTuple

from cuminwall import leases, messages

Amounts = tuple[float, ...]

REQUEST_TIMEOUT_S = 0.1
MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.15


class Share:
    """This instance's share of one limit.

    Attributes:
      name: The limit.
      is_pooled: Whether the floor is usable only after `held` has expired.
      held: The amounts under the short lease.
      floor: The amounts under the long lease.
      until: When `held` expires.
      floor_from: When a pooled floor becomes usable.
      floor_until: When the floor expires.
      accepted_number: The number of the last request whose reply was accepted.
      request_number: The number of the latest request.
      requested_at: When it was sent.
      is_answered: Whether its reply has arrived.
      was_urgent: Whether it requested something that work is waiting for.
      backoff_s: The minimum time between two such requests.
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
    """How an accepted reply changed the usable amounts.

    Attributes:
      has_grown: Whether some component grew.
      has_shrunk: Whether some component shrank; the lender can grant the
        difference to others only after the next report.
    """

    has_grown: bool
    has_shrunk: bool


def usable(share: Share, now: float) -> Amounts:
    """Returns the amounts that the holder may use now."""
    floor = share.floor
    if now >= share.floor_until:
        floor = (0.0,) * len(share.held)
    if now >= share.until:
        is_too_early = share.is_pooled and now < share.floor_from
        return (0.0,) * len(share.held) if is_too_early else floor
    if share.is_pooled:
        return share.held
    return tuple(map(sum, zip(share.held, floor, strict=True)))


def drop_expired(share: Share, now: float) -> None:
    """Sets expired amounts to zero."""
    if now >= share.until:
        share.held = (0.0,) * len(share.held)
    if now >= share.floor_until:
        share.floor = (0.0,) * len(share.floor)


def accept(
    share: Share, number: int, grant: messages.ShareGrant, now: float
) -> Accepted | None:
    """Applies the reply to the latest request; returns None for any other."""
    if number != share.request_number or share.is_answered:
        return None
    before = usable(share, now)
    share.is_answered = True
    share.accepted_number = number
    share.held = grant.held
    share.floor = grant.floor
    share.until = leases.holder_expiry(share.requested_at, grant.lease_s)
    lender_duration_s = leases.lender_expiry(0.0, grant.lease_s)
    share.floor_from = leases.lender_expiry(now, lender_duration_s)
    share.floor_until = leases.holder_expiry(share.requested_at, grant.floor_s)
    drop_expired(share, now)
    has_grown = False
    has_shrunk = False
    for old, new in zip(before, usable(share, now), strict=True):
        has_grown = has_grown or new > old
        has_shrunk = has_shrunk or new < old
    return Accepted(has_grown, has_shrunk)


def record_request(
    share: Share, number: int, now: float, was_urgent: bool
) -> None:
    """Records that a request which reports this share is being sent."""
    share.request_number = number
    share.requested_at = now
    share.is_answered = False
    share.was_urgent = was_urgent


def may_request_now(
    share: Share, now: float, timeout_s: float = REQUEST_TIMEOUT_S
) -> bool:
    """Returns whether an urgent request may be sent.

    A request invalidates the reply to the one before it, so the next one
    waits for that reply or for a timeout.

    Args:
      share: The share.
      now: The time, in seconds.
      timeout_s: How long to wait for a reply.
    """
    since_s = now - share.requested_at
    if not share.is_answered:
        return since_s >= timeout_s
    return not share.was_urgent or since_s >= share.backoff_s


def increase_backoff(share: Share) -> None:
    """Doubles the backoff after an urgent request that gained nothing."""
    share.backoff_s = min(MAX_BACKOFF_S, 2 * share.backoff_s)
