"""Time-bounded leases: how long each side relies on a grant.

The holder counts the duration from before it sent its request and subtracts
a margin for clock drift; the lender counts from its reply and adds the
margin. Network delay can then only shorten the holder's time, and the lender
never treats a lease as expired while its holder still relies on it.
"""

MAX_CLOCK_DRIFT = (
    0.02  # Fraction by which two clocks may run at different rates.
)
MARGIN_S = 0.005  # Covers the resolution of clocks and timers.

NEVER = float("-inf")


def holder_expiry(requested_at: float, duration_s: float) -> float:
    """Returns when a lease expires for its holder, on the holder's clock.

    Args:
      requested_at: When the holder sent its request, in seconds.
      duration_s: The granted duration, in seconds.
    """
    return requested_at + duration_s * (1 - MAX_CLOCK_DRIFT) - MARGIN_S


def lender_expiry(granted_at: float, duration_s: float) -> float:
    """Returns when the lender may treat a lease as expired."""
    return granted_at + duration_s * (1 + MAX_CLOCK_DRIFT) + MARGIN_S


def has_unexpired(expiries: dict[str, float], now: float) -> bool:
    """Returns whether some holder may still rely on its lease.

    Args:
      expiries: When the lease of each holder has expired for certain, by
        `lender_expiry`; expired ones are removed.
      now: The lender's time.
    """
    for holder, expires_at in list(expiries.items()):
        if now >= expires_at:
            del expiries[holder]
    return bool(expiries)
