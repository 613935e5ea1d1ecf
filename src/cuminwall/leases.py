"""The time-bounded lease: how long a holder may count on what was lent.

The holder counts from before it sent its request and takes off a margin for
clock drift; the lender counts from its answer and adds the margin. Delay in
the network can then only shorten the holder's time, and the lender never
takes a loan as lapsed while its holder still counts on it.
"""

from typing import NamedTuple

MAX_CLOCK_DRIFT = (
    0.02  # Share by which the clocks of two instances may run apart.
)
MARGIN_S = 0.005  # Resolution of clocks and timers.

NEVER = float("-inf")


class Lease(NamedTuple):
    """What a lender remembers of one lease.

    Attributes:
      holder: The instance that holds it.
      expires_at: Lender's clock in seconds; from then on nobody counts on it.
    """

    holder: str
    expires_at: float


def holder_expiry(requested_at: float, duration_s: float) -> float:
    """Returns until when the holder may count on a lease, on its own clock.

    Args:
      requested_at: When the holder sent its request, in seconds.
      duration_s: What the lender granted, in seconds.
    """
    return requested_at + duration_s * (1 - MAX_CLOCK_DRIFT) - MARGIN_S


def lender_expiry(granted_at: float, duration_s: float) -> float:
    """Returns from when the lender may take a lease as lapsed."""
    return granted_at + duration_s * (1 + MAX_CLOCK_DRIFT) + MARGIN_S
