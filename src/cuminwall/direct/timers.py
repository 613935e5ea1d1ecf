"""What is done when a timer is due; one function for each subject."""

from collections.abc import Callable
from typing import Any

from cuminwall.direct import (
    coordination,
    failover,
    inquiries,
    lender,
    losses,
    membership,
    quotas,
    sessions,
    shutdown,
)
from cuminwall.direct.effects import Effect
from cuminwall.direct.state import State, Subject, Timer


def due(state: State, timer: Timer, out: list[Effect]) -> None:
    """Looks at what a timer is about, if it still counts."""
    _HANDLERS[timer.subject](state, timer.key, out)


def _work(state: State, key: Any, out: list[Effect]) -> None:
    work = state.operations.get(key)
    if work is not None:
        losses.due(state, work, out)


def _connection(state: State, key: Any, out: list[Effect]) -> None:
    connection = state.connections.get(key)
    if connection is not None:
        losses.connection_due(state, connection, out)


def _server(state: State, key: Any, out: list[Effect]) -> None:
    losses.server_due(state, key, out)


def _tokens(state: State, key: Any, out: list[Effect]) -> None:
    quotas.handle_timer(state, key, out)


def _quotas(state: State, key: Any, out: list[Effect]) -> None:
    del key
    quotas.send_periodic_request(state, out)


def _membership(state: State, key: Any, out: list[Effect]) -> None:
    del key
    membership.register(state, out)


def _coordinator(state: State, key: Any, out: list[Effect]) -> None:
    del key
    coordination.tick(state, out)


def _failover(state: State, key: Any, out: list[Effect]) -> None:
    if key != state.hold.epoch:
        return
    state.remind(state.now + failover.TICK_S, Subject.FAILOVER, key)
    if coordination.is_held(state):
        failover.tick(state, out)
        lender.settle_claims(state, out)
        lender.prune(state, out)


def _shutdown(state: State, key: Any, out: list[Effect]) -> None:
    del key
    shutdown.tick(state, out)


_HANDLERS: dict[Subject, Callable[[State, Any, list[Effect]], None]] = {
    Subject.OPERATION: _work,
    Subject.CONNECTION: _connection,
    Subject.SESSION: sessions.handle_timer,
    Subject.SERVER: _server,
    Subject.TOKENS: _tokens,
    Subject.INQUIRY: inquiries.handle_timer,
    Subject.MEMBERSHIP: _membership,
    Subject.COORDINATOR: _coordinator,
    Subject.QUOTAS: _quotas,
    Subject.FAILOVER: _failover,
    Subject.SHUTDOWN: _shutdown,
}
