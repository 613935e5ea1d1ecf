"""How long a wait for capacity will be, and whether it is hopeless.

The estimates are low: claims are taken to be served in the best order for the
one in question, and all of its capacity to be at work. So what they call
hopeless would have waited in vain.
"""

import math
from typing import NamedTuple

DECAY_S = 5.0  # Time constant of the mean.
# A mean of fewer observations, by weight, says too little.
MIN_OBSERVATIONS = 3.0

# How long room at a server counts as short after it was refused.
SHORT_S = 2.0


class ServiceTime(NamedTuple):
    """How long statements take at a server, or those of a route.

    Attributes:
      total_s: The decayed sum of the observed times.
      observations: The decayed number of observations.
      observed_at: When the latest one was added.
    """

    total_s: float = 0.0
    observations: float = 0.0
    observed_at: float = 0.0


UNKNOWN = ServiceTime()


class Queue(NamedTuple):
    """What an operation finds where it would wait.

    Attributes:
      ahead: How many operations are served before it, at least.
      serving: How many connections serve them; 0 if none does now.
      closed_s: For how long the server takes none.
    """

    ahead: int
    serving: int
    closed_s: float


def observe(known: ServiceTime, seconds: float, now: float) -> ServiceTime:
    """Returns the service time with one more observation."""
    weight = math.exp(min(0.0, known.observed_at - now) / DECAY_S)
    return ServiceTime(
        known.total_s * weight + seconds, known.observations * weight + 1.0, now
    )


def mean_s(known: ServiceTime) -> float | None:
    """Returns the mean time of a statement, or None if too little is known."""
    if known.observations < MIN_OBSERVATIONS:
        return None
    return known.total_s / known.observations


def expected_s(queue: Queue, service_s: float) -> float:
    """Returns the least wait to expect before an operation is served."""
    wait_s = queue.closed_s
    if queue.serving:
        wait_s += queue.ahead * service_s / queue.serving
    return wait_s


def is_hopeless(queue: Queue, service_s: float | None, left_s: float) -> bool:
    """Returns whether an operation would wait in vain.

    Args:
      queue: What it finds.
      service_s: The mean time of a statement there, or None if unknown.
      left_s: How long it may wait.
    """
    if service_s is None:
        return queue.closed_s > left_s
    return expected_s(queue, service_s) > left_s


def is_room_short(refused_until: float, now: float) -> bool:
    """Returns whether a server lately had no room for more.

    What could run elsewhere then leaves it to what only that server can run.

    Args:
      refused_until: Until when it was last avoided for that reason.
      now: The time.
    """
    return now < refused_until + SHORT_S


def is_token_hopeless(needed: float, rate: float, left_s: float) -> bool:
    """Returns whether the tokens of a share alone come too late.

    Args:
      needed: Tokens missing for an operation and those before it.
      rate: Tokens a second that the share gains.
      left_s: How long the operation may wait.
    """
    return needed > rate * left_s
