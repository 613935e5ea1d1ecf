"""Which operations are still answered before this process ends.

During a shutdown callers go on arriving, as long as the platform sends them. A
statement that would be passed on too late is refused at once, so that its
caller can go to another instance: once at a server it can't be refused.
"""

from cuminwall.direct import catalog
from cuminwall.direct.answers import Failure, Reason
from cuminwall.direct.state import State

# Fractions of the grace period: when the process ends in any case, and how long
# before that the last statement is sent whose answer may take longer.
END_FRACTION = 0.9
MAX_ANSWER_FRACTION = 0.4

REFUSAL = Failure(
    Reason.OVERLOADED, "this instance shuts down; retry at another one now"
)


def is_time_left(state: State, route: catalog.Route) -> bool:
    """Returns whether a statement sent now is answered before the end."""
    if state.is_exiting:
        return False
    if not state.is_shutting_down:
        return True
    grace_s = state.limits.grace_s
    answer_s = min(route.timeout_s, MAX_ANSWER_FRACTION * grace_s)
    ends_at = state.shutdown_began_at + END_FRACTION * grace_s
    return state.now + answer_s <= ends_at
