"""What goes wrong with statements at a backend server."""

import enum
import random


class Fault(enum.Enum):
    """What goes wrong with a statement.

    Attributes:
      BEFORE: The connection ends before it runs.
      AFTER: It ends after it ran, without an answer.
      CUT: It ends in the middle of the answer.
      SILENCE: It stays, without an answer.
      FAILURE: It runs without effect and is answered with an error.
    """

    BEFORE = "before"
    AFTER = "after"
    CUT = "cut"
    SILENCE = "silence"
    FAILURE = "failure"


# How likely each fault is.
FAULT_PARTS = {
    Fault.BEFORE: 0.004,
    Fault.AFTER: 0.01,
    Fault.CUT: 0.004,
    Fault.SILENCE: 0.0005,
    Fault.FAILURE: 0.004,
}


def choose(rng: random.Random) -> Fault | None:
    """Returns what goes wrong with a statement, mostly nothing."""
    choice = rng.random()
    for fault, part in FAULT_PARTS.items():
        if choice < part:
            return fault
        choice -= part
    return None
