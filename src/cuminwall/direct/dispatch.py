"""Sends statements to backend servers, or lets them wait for one.

What must see every commit runs in a transaction of its own or its caller's,
so that the server proves its lead. The statement is sent only once the server
has opened that transaction.
"""

import functools
from typing import Any

from cuminwall.direct import (
    connections,
    groups,
    operations,
    placing,
    statements,
    warmups,
)
from cuminwall.direct.callers_state import Operation, Stage
from cuminwall.direct.commands import (
    Command,
    Forward,
    ForwardExecute,
    OpenTransaction,
)
from cuminwall.direct.effects import Effect
from cuminwall.direct.servers_state import (
    AnswerKind,
    Connection,
    ConnectionStatus,
    Group,
    Server,
)
from cuminwall.direct.state import State


def assign(state: State, work: Operation, out: list[Effect]) -> None:
    """Offers a statement to a server, or lets it wait."""
    if work.stage is Stage.FINISHED:
        return
    if work.attempts >= state.limits.max_attempts:
        operations.refuse(state, work, "no server took it", out)
        return
    group = groups.find(state, work.route.service)
    server = placing.choose(state, group, work)
    if server is None:
        _wait_for_primary(state, work, out)
        return
    warmups.record_attempt(state, server)
    work.server = server.entry.server
    connection = connections.acquire(state, server, work, out)
    if connection is not None:
        send_statement(state, work, connection, out)
        return
    operations.set_timer(state, work, work.wait_until)


def send_statement(
    state: State, work: Operation, connection: Connection, out: list[Effect]
) -> None:
    """Sends a statement on a free connection or on its transaction's."""
    session = work.session
    work.connection = connection
    work.attempts += 1
    work.server = connection.server.entry.server
    shape = _shape_of(work)
    flight = connections.prepare_commands(connection, session, shape)
    connection.status = ConnectionStatus.RUNNING
    connection.operation = work
    transaction = session.transaction
    if transaction is not None and transaction.connection is connection:
        flight.append((make_command(work), AnswerKind.STATEMENT))
        mark_sent(state, work)
    elif transaction is not None or _needs_check(work):
        read_only = transaction is not None and transaction.read_only
        opens = OpenTransaction(
            read_only and work.min_position is not None, work.min_position
        )
        flight.append((opens, AnswerKind.BEGIN))
        work.stage = Stage.OPENING_TRANSACTION
        work.sent_at = state.now
        operations.set_timer(
            state, work, state.now + state.limits.silence_timeout_s
        )
        operations.set_timer(
            state, work, state.now + begin_timeout_s(state, work)
        )
    else:
        flight.append((make_command(work), AnswerKind.STATEMENT))
        mark_sent(state, work)
    connections.send(state, connection, flight, out)


def run_waiting(state: State, server: Server, out: list[Effect]) -> None:
    """Gives free connections of a server to the work that waits there."""
    while True:
        found = connections.next_waiting(state, server, out)
        if found is None:
            return
        free, work = found
        if work.stage is Stage.FINISHED or work.connection is not None:
            continue
        send_statement(state, work, free, out)


def _wait_for_primary(state: State, work: Operation, out: list[Effect]) -> None:
    """Lets work wait for a primary, if one may lead in time."""
    until = work.arrived_at + state.limits.primary_wait_s
    until = min(until, work.arrived_at + work.route.timeout_s)
    group = groups.find(state, work.route.service)
    if state.is_shutting_down or _is_hopeless(state, group, until):
        operations.refuse(state, work, "no primary", out)
        return
    work.stage = Stage.WAITING_FOR_CONNECTION
    work.wait_until = until
    group.waiting.push(work.route.priority, work.target_at, work)
    operations.set_timer(state, work, until)


def _is_hopeless(state: State, group: Group, until: float) -> bool:
    """Returns whether no primary can be expected by a time."""
    if state.now >= until:
        return True
    back_at = group.primary_expected_at
    if back_at is None:
        return False
    if state.now > back_at + state.limits.overdue_s:
        return True
    return back_at > until


def begin_timeout_s(state: State, work: Operation) -> float:
    """Returns how long the opening of a transaction may take."""
    return min(
        work.route.timeout_s, max(0.2, 2 * state.limits.silence_timeout_s)
    )


def mark_sent(state: State, work: Operation) -> None:
    """Notes that a statement is on its way to the server."""
    work.stage = Stage.SENT
    work.has_token = False
    work.sent_at = state.now
    operations.set_timer(
        state, work, state.now + state.limits.silence_timeout_s
    )
    operations.set_timer(state, work, state.now + work.route.timeout_s)


def _needs_check(work: Operation) -> bool:
    """Returns whether a read must run where the server proves its lead."""
    return not work.writes and work.min_position is None


def _shape_of(work: Operation) -> statements.Shape | None:
    """Returns the prepared statement that work runs, if any."""
    if not isinstance(work.statement, statements.Execute):
        return None
    return work.session.prepared_statements[work.statement.name]


@functools.singledispatch
def _forward(statement: Any, work: Operation) -> Command:
    """Returns the command that carries a statement."""
    return Forward(statement, _after(work))


@_forward.register
def _(statement: statements.Execute, work: Operation) -> Command:
    shape = work.session.prepared_statements[statement.name]
    name = connections.prepared_name(shape)
    return ForwardExecute(statement, name, _after(work))


def make_command(work: Operation) -> Command:
    """Returns the command that carries a statement."""
    return _forward(work.statement, work)


def _after(work: Operation) -> Any:
    """Returns the position that a statement asks for by itself."""
    if work.session.transaction is not None:
        return None
    return work.min_position
