"""The start times and the mix of the operations of a load."""

from collections.abc import Container, Iterable
from typing import NamedTuple


class Plan(NamedTuple):
    """The times, the rate and the mix of the operations of a load.

    Attributes:
      started_at: When measuring starts, on the monotonic clock.
      ends_at: When it ends.
      interval_s: Seconds between two starts on one connection; 0 is a closed
        loop.
      names: The operations to choose from.
      weights: The weight of each operation.
    """

    started_at: float
    ends_at: float
    interval_s: float
    names: tuple[str, ...]
    weights: tuple[float, ...]


def parse_mix(texts: Iterable[str], known: Container[str]) -> dict[str, float]:
    """Returns the weight of each operation of a mix such as "read=3".

    Raises:
      ValueError: An operation is unknown, a weight is not a number above 0, or
        the mix is empty.
    """
    mix = {}
    for text in texts:
        name, _, weight = text.partition("=")
        if name not in known:
            raise ValueError(f"unknown operation {name!r}")
        mix[name] = float(weight)
        if not mix[name] > 0:
            raise ValueError(
                f"weight {weight} of operation {name} is not positive"
            )
    if not mix:
        raise ValueError("the mix names no operation")
    return mix


def planned_start(
    plan: Plan, index: int, connections: int, number: int
) -> float:
    """Returns when an operation of a connection is due, at a set rate.

    Args:
      plan: The plan.
      index: The connection's index.
      connections: The number of connections.
      number: The operation's number on this connection, from 0.
    """
    offset_s = plan.interval_s * index / connections
    return plan.started_at + offset_s + number * plan.interval_s
