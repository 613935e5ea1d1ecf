"""Tells once a second how busy the coordinator is.

Whether its processor, its network link or the store holds it up can be told
from what it received, how late its timers are and how long its renewals take.
"""

from cuminwall.direct import messages
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.fleet_state import CoordinatorLoad
from cuminwall.direct.state import State

PART = "lender"

INTERVAL_S = 1.0  # Between lines.
SLOW_REPLY_S = 0.2  # A reply that takes longer delays callers.


def record_request(
    state: State, request: messages.ShareRequest, size: int, is_answered: bool
) -> None:
    """Records a share request that was handled."""
    load = state.coordinator_load
    load.requests += 1
    load.answered += is_answered
    load.reports += len(request.reports)
    load.received_bytes += size


def record_renewal(state: State, sent_at: float) -> None:
    """Records that the store has answered a renewal of the lease."""
    load = state.coordinator_load
    load.renewals_answered += 1
    load.slowest_renewal_s = max(load.slowest_renewal_s, state.now - sent_at)


def record_timer_delay(state: State, due_at: float) -> None:
    """Records how late a due timer is handled."""
    load = state.coordinator_load
    load.timer_delay_s = max(load.timer_delay_s, state.now - due_at)


def report(state: State, out: list[Effect]) -> None:
    """Writes a line about the coordinator's load, once a second."""
    load = state.coordinator_load
    passed_s = state.now - load.since
    if passed_s < INTERVAL_S:
        return
    state.coordinator_load = CoordinatorLoad(state.now)
    fields = {
        "epoch": state.own_lease.epoch,
        "for_s": round(passed_s, 2),
        "requests": load.requests,
        "answered": load.answered,
        "reports": load.reports,
        "received_bytes": load.received_bytes,
        "renewals_sent": load.renewals_sent,
        "renewals_answered": load.renewals_answered,
        "slowest_renewal_ms": round(1000 * load.slowest_renewal_s, 1),
        "timer_delay_ms": round(1000 * load.timer_delay_s, 1),
        "lease_left_s": round(state.own_lease.valid_until - state.now, 3),
        "instances": len(state.members),
        "slowdown": round(state.lender.slowdown, 2) if state.lender else None,
    }
    out.append(Note(PART, "load", fields))


def check_reply(
    state: State, epoch: int, requested_at: float, out: list[Effect]
) -> None:
    """Writes a line if the coordinator's reply came late, once a second."""
    delay_s = state.now - requested_at
    if delay_s < SLOW_REPLY_S:
        return
    if state.now - state.request_pacing.slow_reply_at < INTERVAL_S:
        return
    state.request_pacing.slow_reply_at = state.now
    fields = {"epoch": epoch, "ms": round(1000 * delay_s, 1)}
    out.append(Note("quotas", "slow_reply", fields))
