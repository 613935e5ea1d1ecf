"""What callers tell the checks by the items that their statements name.

A statement reaches a backend server unchanged, so its item can carry where and
when its operation was sent.
"""

from typing import NamedTuple

MICROSECONDS = 1_000_000


class Origin(NamedTuple):
    """Where an operation comes from.

    Attributes:
      instance: The instance that it was sent to.
      database: The database of its session.
      key: The key of its session.
      sent_at: When its first statement was sent, in seconds of the system's
        monotonic clock.
    """

    instance: str
    database: str
    key: str
    sent_at: float


def encode(origin: Origin, number: int) -> str:
    """Returns an item that carries an origin.

    Args:
      origin: The origin.
      number: The number of the item among those of its operation.
    """
    sent = int(origin.sent_at * MICROSECONDS)
    return "/".join(
        (origin.instance, origin.database, origin.key, f"{sent:x}", str(number))
    )


def decode(item: str) -> Origin:
    """Returns the origin that an item carries."""
    instance, database, key, sent, _ = item.split("/")
    return Origin(instance, database, key, int(sent, 16) / MICROSECONDS)
