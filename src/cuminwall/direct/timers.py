"""Calls the handler of a due timer, by the timer's subject."""

from collections.abc import Callable
from typing import Any

from cuminwall.direct import (
    coordination,
    failover,
    holds,
    inquiries,
    lease_grants,
    lease_requests,
    lender,
    membership,
    quotas,
    reach,
    retries,
    sessions,
    shutdown,
    store_view,
    usage_reports,
    workload,
)
from cuminwall.direct.effects import Effect
from cuminwall.direct.state import State, Timer, TimerKind


def handle_timer(state: State, timer: Timer, out: list[Effect]) -> None:
    """Calls the handler of a due timer."""
    _HANDLERS[timer.kind](state, timer.key, out)


def _operation(state: State, key: Any, out: list[Effect]) -> None:
    operation = state.operations.get(key)
    if operation is not None:
        retries.handle_operation_timer(state, operation, out)


def _connection(state: State, key: Any, out: list[Effect]) -> None:
    connection = state.connections.get(key)
    if connection is not None:
        retries.handle_connection_timer(state, connection, out)


def _server(state: State, key: Any, out: list[Effect]) -> None:
    retries.handle_server_timer(state, key, out)


def _tokens(state: State, key: Any, out: list[Effect]) -> None:
    quotas.handle_timer(state, key, out)


def _quotas(state: State, key: Any, out: list[Effect]) -> None:
    del key
    quotas.send_due_requests(state, out)
    store_view.check(state, out)
    reach.check(state, out)
    sessions.close_idle(state, reach.count_sessions_to_close(state), out)


def _primary_leases(state: State, key: Any, out: list[Effect]) -> None:
    del key
    lease_requests.handle_timer(state, out)


def _membership(state: State, key: Any, out: list[Effect]) -> None:
    del key
    membership.register(state, out)


def _coordinator(state: State, key: Any, out: list[Effect]) -> None:
    del key
    coordination.tick(state, out)


def _failover(state: State, key: Any, out: list[Effect]) -> None:
    if key != state.own_lease.epoch:
        return
    state.set_timer(state.now + failover.TICK_S, TimerKind.FAILOVER, key)
    workload.report(state, out)
    if coordination.is_coordinator(state):
        lease_grants.update(state)
        failover.tick(state, out)
        lender.update_recovery(state, out)
        lender.remove_silent_instances(state, out)
        usage_reports.tick(state, out)


def _hold(state: State, key: Any, out: list[Effect]) -> None:
    del key
    holds.handle_timer(state, out)
    sessions.open_awaiting(state, out)


def _shutdown(state: State, key: Any, out: list[Effect]) -> None:
    del key
    shutdown.tick(state, out)


_HANDLERS: dict[TimerKind, Callable[[State, Any, list[Effect]], None]] = {
    TimerKind.OPERATION: _operation,
    TimerKind.CONNECTION: _connection,
    TimerKind.SESSION: sessions.handle_timer,
    TimerKind.SERVER: _server,
    TimerKind.TOKENS: _tokens,
    TimerKind.INQUIRY: inquiries.handle_timer,
    TimerKind.MEMBERSHIP: _membership,
    TimerKind.COORDINATOR: _coordinator,
    TimerKind.QUOTAS: _quotas,
    TimerKind.PRIMARY_LEASES: _primary_leases,
    TimerKind.FAILOVER: _failover,
    TimerKind.SHUTDOWN: _shutdown,
    TimerKind.HOLD: _hold,
}
