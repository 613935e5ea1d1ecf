"""Plans: which faults and changes come when, by scenario and seed."""

import random
from typing import NamedTuple

FIRST_CHANGE_S = 4.0
CHANGE_PAUSES_S = (1.0, 2.5)
FIRST_FAULT_S = 8.0
CYCLE_S = 17.0  # Faults, and a calm time in which instances are in touch.
FAULT_PAUSES_S = (0.2, 2.0)  # Between the faults of a cycle.
FAULTS_A_CYCLE = (2, 4)
END_CALM_S = 12.0
SOON_S = 0.05  # After a fault.


class Step(NamedTuple):
    """A fault or a change.

    Attributes:
      at_s: When it comes, in seconds since the start.
      kind: What it is: a name of `faults.Faults.actions`.
      for_s: How long it lasts; 0 if it has no duration.
    """

    at_s: float
    kind: str
    for_s: float = 0.0


# How long the kinds of fault last.
DURATIONS_S = {
    "silent": 4.5,
    "silent_lapse": 4.5,
    "busy": 4.5,
    "busy_lapse": 4.5,
    "slow": 4.5,
    "deaf": 1.0,
    "hang": 0.5,
    "dead_connections": 0.0,
    "kill_coordinator": 0.0,
    "remove_coordinator": 0.0,
    "pause_coordinator": 2.0,
    "cut_coordinator": 10.0,
    "kill": 0.0,
    "pause": 2.0,
    "lose_primary": 4.0,
}
# Scenarios of several faults, each with the time since the first one.
COMPOUNDS = {
    "silent_kill": ((0.0, "silent"), (4.0, "kill_coordinator")),
    "silent_remove": ((0.0, "silent"), (3.5, "remove_coordinator")),
    "silent_cut": ((0.0, "silent"), (4.0, "cut_coordinator")),
    "grow": ((0.0, "grow"),),
}
CALM = "calm"
RANDOM = "random"
SCENARIOS = (CALM, RANDOM, *DURATIONS_S, *COMPOUNDS)


def make_plan(scenario: str, seed: int, length_s: float) -> list[Step]:
    """Returns the steps of a scenario, in their order."""
    rng = random.Random(f"{scenario} {seed}")
    steps = _make_changes(rng, length_s)
    last_s = length_s - END_CALM_S
    at_s = FIRST_FAULT_S
    while scenario != CALM and at_s < last_s:
        if scenario == RANDOM:
            steps.extend(_make_cycle(rng, at_s))
        elif scenario in COMPOUNDS:
            for after_s, kind in COMPOUNDS[scenario]:
                steps.extend(_make_fault(kind, at_s + after_s))
        else:
            steps.extend(_make_fault(scenario, at_s))
        at_s += CYCLE_S
    return sorted(steps)


def _make_changes(rng: random.Random, length_s: float) -> list[Step]:
    """Returns changes all along."""
    steps = []
    at_s = FIRST_CHANGE_S
    while at_s < length_s:
        steps.append(Step(at_s, "change"))
        at_s += rng.uniform(*CHANGE_PAUSES_S)
    return steps


def _make_fault(kind: str, at_s: float) -> list[Step]:
    """Returns a fault and moves right after its beginning and its end.

    Args:
      kind: The fault; one that `DURATIONS_S` does not name has no duration.
      at_s: When it comes, in seconds.
    """
    for_s = DURATIONS_S.get(kind, 0.0)
    return [
        Step(at_s, kind, for_s),
        Step(at_s + SOON_S, "move"),
        Step(at_s + for_s + 2 * SOON_S, "move"),
    ]


def _make_cycle(rng: random.Random, at_s: float) -> list[Step]:
    """Returns faults that overlap, and moves among them."""
    steps = []
    for kind in rng.sample(sorted(DURATIONS_S), rng.randint(*FAULTS_A_CYCLE)):
        for_s = DURATIONS_S[kind]
        steps.append(Step(at_s, kind, for_s))
        steps.append(Step(at_s + for_s + SOON_S, "move"))
        at_s += rng.uniform(*FAULT_PAUSES_S)
    return steps
