"""Time-bounded leases: how long each side relies on a grant.

The holder counts the duration from before it sent its request and subtracts
a margin for clock drift; the lender counts from its reply and adds the
margin. Network delay can then only shorten the holder's time, and the lender
never treats a lease as expired while its holder still relies on it.
"""

from typing import NamedTuple

DRIFT = 0.02  # Fraction by which two clocks may run at different rates.
MARGIN_S = 0.005  # Covers the resolution of clocks and timers.

NEVER = float("-inf")


class Loan(NamedTuple):
    """A lease as recorded by its lender.

    Attributes:
      holder: The instance that holds it.
      lapses_at: When it has expired for certain, in seconds of the lender's
        clock.
    """

    holder: str
    lapses_at: float


def held_until(asked_at: float, duration_s: float) -> float:
    """Returns when a lease expires for its holder, on the holder's clock.

    Args:
      asked_at: When the holder sent its request, in seconds.
      duration_s: The granted duration, in seconds.
    """
    return asked_at + duration_s * (1 - DRIFT) - MARGIN_S


def lapses_at(granted_at: float, duration_s: float) -> float:
    """Returns when the lender may treat a lease as expired."""
    return granted_at + duration_s * (1 + DRIFT) + MARGIN_S
