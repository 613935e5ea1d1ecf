"""When a load's operations start, and how they are mixed."""

from collections.abc import Container, Iterable
from typing import NamedTuple


class Plan(NamedTuple):
    """When operations start and which.

    Attributes:
      started_at: When measuring begins, on the monotonic clock.
      ends_at: When it ends.
      interval_s: Between two starts of one connection; 0 is a closed loop.
      names: The operations to choose from.
      weights: How often each is chosen.
    """

    started_at: float
    ends_at: float
    interval_s: float
    names: tuple[str, ...]
    weights: tuple[float, ...]


def parse_mix(texts: Iterable[str], known: Container[str]) -> dict[str, float]:
    """Returns the weight of each operation of a mix such as "read=3".

    Raises:
      ValueError: An operation is unknown or a weight is no number above 0.
    """
    mix = {}
    for text in texts:
        name, _, weight = text.partition("=")
        if name not in known:
            raise ValueError(f"unknown operation {name!r}")
        mix[name] = float(weight)
        if not mix[name] > 0:
            raise ValueError(f"weight {weight} of {name}")
    if not mix:
        raise ValueError("an empty mix")
    return mix


def planned_start(
    plan: Plan, place: int, connections: int, number: int
) -> float:
    """Returns when a connection's operation is due, at a set rate.

    Args:
      plan: The plan.
      place: The connection's place among all.
      connections: How many there are.
      number: The operation's number on this connection, from 0.
    """
    shift_s = plan.interval_s * place / connections
    return plan.started_at + shift_s + number * plan.interval_s
