"""Estimates how slow a backend server is, from what its answers took.

Statements differ in length, so an answer is compared with what the same kind of
statement usually takes at all servers of the service. The estimate is the
mean of the logarithms of these ratios, which one very long statement hardly
changes. Older observations count less. Few observations leave an estimate near
neutral, and so does the time after the latest one, so that a server which was
avoided is tried again.

An answer in error counts as a slow one however fast it came, and a statement
without an answer counts as soon as it has taken longer than usual.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

HALF_LIFE_S = 3.0  # After this time an observation of a server counts half.
USUAL_HALF_LIFE_S = 10.0  # The same of what a kind of statement takes.
# How many observations of a usual server each estimate is mixed with.
NEUTRAL_OBSERVATIONS = 3.0
MAX_RATIO = 8.0  # A longer time, or a shorter one, counts as this.
FAILURE_RATIO = 8.0  # What a failure counts as.
OVERDUE_RATIO = 3.0  # From then on an unanswered statement counts.
MIN_SECONDS = 0.0005  # Shorter times are not told apart.
MIN_ANSWERS = 0.5  # Fewer, after their decay, give no expected time.

_MAX_LOG = math.log(MAX_RATIO)


class Estimate(NamedTuple):
    """What is known of a server's speed.

    Attributes:
      at: The time up to which the sums have decayed.
      observations: The decayed number of ratios.
      log_ratios: The decayed sum of their logarithms.
      answers: The decayed number of answers.
      seconds: The decayed sum of the times that they took.
    """

    at: float = 0.0
    observations: float = 0.0
    log_ratios: float = 0.0
    answers: float = 0.0
    seconds: float = 0.0


class Usual(NamedTuple):
    """What one kind of statement takes at all servers of a service.

    Attributes:
      at: The time up to which the sums have decayed.
      answers: The decayed number of answers.
      log_seconds: The decayed sum of the logarithms of their times.
    """

    at: float = 0.0
    answers: float = 0.0
    log_seconds: float = 0.0


class PrimaryDemand(NamedTuple):
    """How much of the work of a service only its primary can do.

    Attributes:
      at: The time up to which the sums have decayed.
      primary_s: The decayed time of the statements that need the primary.
      total_s: The decayed time of all statements.
    """

    at: float = 0.0
    primary_s: float = 0.0
    total_s: float = 0.0


NEUTRAL = Estimate()
UNKNOWN = Usual()
NO_DEMAND = PrimaryDemand()


def add_ratio(estimate: Estimate, now: float, ratio: float) -> Estimate:
    """Adds how many times longer than usual an answer took."""
    factor = _factor(estimate.at, now, HALF_LIFE_S)
    return Estimate(
        max(now, estimate.at),
        estimate.observations * factor + 1.0,
        estimate.log_ratios * factor + _bounded_log(ratio),
        estimate.answers * factor,
        estimate.seconds * factor,
    )


def add_failure(estimate: Estimate, now: float) -> Estimate:
    """Adds a failure: an error, a lost connection or a missing answer."""
    return add_ratio(estimate, now, FAILURE_RATIO)


def add_time(estimate: Estimate, now: float, seconds: float) -> Estimate:
    """Adds the time that an answer took, whatever its kind."""
    factor = _factor(estimate.at, now, HALF_LIFE_S)
    return Estimate(
        max(now, estimate.at),
        estimate.observations * factor,
        estimate.log_ratios * factor,
        estimate.answers * factor + 1.0,
        estimate.seconds * factor + seconds,
    )


def slowdown(
    estimate: Estimate,
    now: float,
    overdue: Iterable[float] = (),
    silent_ratio: float = 0.0,
) -> float:
    """Returns how many times longer than usual statements take at a server.

    Args:
      estimate: What is known of the server.
      now: The time.
      overdue: For each statement that has long been unanswered, how many times
        longer than usual it has already taken.
      silent_ratio: The same of the oldest statement since which the server has
        answered nothing at all; 0 if there is none.
    """
    factor = _factor(estimate.at, now, HALF_LIFE_S)
    observations = estimate.observations * factor
    log_ratios = estimate.log_ratios * factor
    for ratio in overdue:
        observations += 1.0
        log_ratios += _bounded_log(ratio)
    mean = math.exp(log_ratios / (observations + NEUTRAL_OBSERVATIONS))
    return max(mean, min(MAX_RATIO, silent_ratio / OVERDUE_RATIO))


def count_observations(estimate: Estimate, now: float) -> float:
    """Returns how many recent ratios an estimate rests on."""
    return estimate.observations * _factor(estimate.at, now, HALF_LIFE_S)


def expected_s(
    estimate: Estimate, now: float, min_answers: float = MIN_ANSWERS
) -> float | None:
    """Returns the mean time of a statement at a server; None if unknown."""
    if estimate.answers * _factor(estimate.at, now, HALF_LIFE_S) < min_answers:
        return None
    return estimate.seconds / estimate.answers


def add_usual(usual: Usual, now: float, seconds: float) -> Usual:
    """Adds the time of an answer to what its kind usually takes."""
    factor = _factor(usual.at, now, USUAL_HALF_LIFE_S)
    log_seconds = math.log(max(MIN_SECONDS, seconds))
    return Usual(
        max(now, usual.at),
        usual.answers * factor + 1.0,
        usual.log_seconds * factor + log_seconds,
    )


def ratio_to_usual(usual: Usual, seconds: float) -> float | None:
    """Returns a time over the usual one of its kind; None if unknown."""
    if usual.answers <= 0.0:
        return None
    usual_s = math.exp(usual.log_seconds / usual.answers)
    return max(MIN_SECONDS, seconds) / usual_s


def add_demand(
    demand: PrimaryDemand, now: float, seconds: float, needs_primary: bool
) -> PrimaryDemand:
    """Adds the time that a statement took."""
    factor = _factor(demand.at, now, USUAL_HALF_LIFE_S)
    primary_s = seconds if needs_primary else 0.0
    return PrimaryDemand(
        max(now, demand.at),
        demand.primary_s * factor + primary_s,
        demand.total_s * factor + seconds,
    )


def primary_fraction(demand: PrimaryDemand) -> float:
    """Returns which part of the work of a service needs its primary."""
    if demand.total_s <= 0.0:
        return 0.0
    return demand.primary_s / demand.total_s


def _factor(since: float, now: float, half_life_s: float) -> float:
    """Returns how much an observation made at `since` counts now."""
    return math.exp2(-max(0.0, now - since) / half_life_s)


def _bounded_log(ratio: float) -> float:
    """Returns the logarithm of a ratio, within bounds."""
    return min(_MAX_LOG, max(-_MAX_LOG, math.log(max(1e-9, ratio))))
