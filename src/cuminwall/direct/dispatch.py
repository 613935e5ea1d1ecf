"""Assigns operations to backend servers and sends their statements.

A read that must see every commit runs in a transaction of its own or of its
caller, since a server opens one only while it is the primary. So does a long
read, whose minimum position the opening carries. The statement is sent only
once the server has opened that transaction.
"""

import functools
from typing import Any

from cuminwall.direct import (
    connections,
    groups,
    operations,
    placing,
    primary_leases,
    queueing,
    statements,
    usage_counts,
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

# Of the id and text of a statement that gets a prefix. A message of a limited
# size may not grow, and this is far below 1 MiB at four bytes a character.
MAX_PREFIXED_CHARS = 200_000


def assign(state: State, operation: Operation, out: list[Effect]) -> None:
    """Assigns an operation to a server, or queues it until one may run it."""
    if operation.stage is Stage.FINISHED:
        return
    if operation.attempts >= state.limits.max_attempts:
        operations.refuse(state, operation, "no server accepted it", out)
        return
    if operation.attempts and is_timed_out(state, operation):
        operations.refuse(state, operation, "no server ran it in time", out)
        return
    group = groups.find(state, operation.route.service)
    server = placing.choose(state, group, operation)
    if server is None:
        _wait_for_primary(state, operation, out)
        return
    warmups.record_attempt(state, server)
    operation.server = server.entry.server
    connection = connections.acquire(state, server, operation, out)
    if connection is not None:
        send_statement(state, operation, connection, out)
        return
    if queueing.is_hopeless(state, server, operation):
        operations.refuse(state, operation, queueing.HOPELESS, out)
        return
    operations.set_timer(state, operation, operation.wait_until)


def send_statement(
    state: State,
    operation: Operation,
    connection: Connection,
    out: list[Effect],
) -> None:
    """Sends a statement on an idle connection or on its transaction's."""
    session = operation.session
    operation.connection = connection
    operation.attempts += 1
    operation.is_opened_for = connection.is_new
    connection.is_new = False
    if operation.first_sent_at is None:
        operation.first_sent_at = state.now
    operation.server = connection.server.entry.server
    group = groups.find(state, operation.route.service)
    operation.primary_order = group.lease.order
    shape = _find_shape(operation)
    batch = connections.prepare_commands(connection, session, shape)
    connection.status = ConnectionStatus.RUNNING
    connection.operation = operation
    transaction = session.transaction
    if transaction is not None and transaction.connection is connection:
        batch.append((make_command(operation), AnswerKind.STATEMENT))
        mark_sent(state, operation)
    elif transaction is not None or _needs_own_transaction(operation):
        batch.append((_make_open_command(operation), AnswerKind.BEGIN))
        _mark_opening(state, operation)
    else:
        batch.append((make_command(operation), AnswerKind.STATEMENT))
        mark_sent(state, operation)
        usage_counts.count_start(state, operation)
    connections.send(state, connection, batch, out)


def is_timed_out(state: State, operation: Operation) -> bool:
    """Returns whether the timeout of an operation's route has passed."""
    return state.now >= operation.arrived_at + operation.route.timeout_s


def run_waiting(state: State, server: Server, out: list[Effect]) -> None:
    """Runs the operations queued at a server on its idle connections."""
    while True:
        pair = connections.next_waiting(state, server, out)
        if pair is None:
            return
        connection, operation = pair
        if (
            operation.stage is Stage.FINISHED
            or operation.connection is not None
        ):
            continue
        if not _may_send(state, operation, server):
            state.unassigned.append(operation)
            continue
        send_statement(state, operation, connection, out)


def _may_send(state: State, operation: Operation, server: Server) -> bool:
    """Returns whether a server may still run an operation that was queued."""
    if operation.min_position is not None:
        return True
    group = groups.find(state, operation.route.service)
    return primary_leases.is_held(state, group, server)


def _wait_for_primary(
    state: State, operation: Operation, out: list[Effect]
) -> None:
    """Queues an operation for a primary, if one is expected in time."""
    until = operation.arrived_at + state.limits.primary_wait_s
    until = min(until, operation.arrived_at + operation.route.timeout_s)
    group = groups.find(state, operation.route.service)
    if state.is_shutting_down or _is_primary_overdue(state, group, until):
        operations.refuse(state, operation, "no primary is known", out)
        return
    operation.stage = Stage.WAITING_FOR_CONNECTION
    operation.wait_until = until
    group.waiting.push(operation.route.priority, operation.target_at, operation)
    operations.set_timer(state, operation, until)


def _is_primary_overdue(state: State, group: Group, until: float) -> bool:
    """Returns whether no primary can be expected before `until`."""
    if state.now >= until:
        return True
    if group.lease.has_expired:
        # The coordinator is out of reach; another instance may reach it.
        return True
    back_at = group.primary_expected_at
    if back_at is None:
        return False
    if state.now > back_at + state.limits.overdue_s:
        return True
    return back_at > until


def begin_timeout_s(state: State, operation: Operation) -> float:
    """Returns the timeout of the opening of a transaction."""
    return min(
        operation.route.timeout_s, max(0.2, 2 * state.limits.silence_timeout_s)
    )


def _make_open_command(operation: Operation) -> OpenTransaction:
    """Returns the command that opens the transaction of a statement.

    One that requires a position is for reading only, and may be at a replica.
    """
    transaction = operation.session.transaction
    only_reads = transaction is None or transaction.read_only
    is_positioned = operation.min_position is not None
    return OpenTransaction(only_reads and is_positioned, operation.min_position)


def _mark_opening(state: State, operation: Operation) -> None:
    """Records that the transaction of a statement is being opened."""
    operation.stage = Stage.OPENING_TRANSACTION
    operation.sent_at = state.now
    operations.set_timer(
        state, operation, state.now + state.limits.silence_timeout_s
    )
    operations.set_timer(
        state, operation, state.now + begin_timeout_s(state, operation)
    )


def mark_sent(state: State, operation: Operation) -> None:
    """Records that a statement is being sent to its server."""
    operation.stage = Stage.SENT
    operation.has_token = False
    operation.sent_at = state.now
    operations.set_timer(
        state, operation, state.now + state.limits.silence_timeout_s
    )
    operations.set_timer(
        state, operation, state.now + operation.route.timeout_s
    )


def _needs_own_transaction(operation: Operation) -> bool:
    """Returns whether a single read runs in a transaction of its own.

    It does for proof that its server is the primary, or to leave the minimum
    position to the opening of the transaction.
    """
    if operation.writes:
        return False
    return operation.min_position is None or _is_long(operation)


def _is_long(operation: Operation) -> bool:
    """Returns whether a statement's own command must not grow."""
    statement = operation.statement
    return len(statement.request) + len(statement.text) > MAX_PREFIXED_CHARS


def _find_shape(operation: Operation) -> statements.Shape | None:
    """Returns the prepared statement that an operation runs, if any."""
    if not isinstance(operation.statement, statements.Execute):
        return None
    return operation.session.prepared_statements[operation.statement.name]


@functools.singledispatch
def _command_for(statement: Any, operation: Operation) -> Command:
    """Returns the command that carries a statement."""
    return Forward(statement, _statement_position(operation))


@_command_for.register
def _(statement: statements.Execute, operation: Operation) -> Command:
    shape = operation.session.prepared_statements[statement.name]
    connection = operation.connection
    assert connection is not None
    name = connection.prepared[shape]
    return ForwardExecute(statement, name, _statement_position(operation))


def make_command(operation: Operation) -> Command:
    """Returns the command that carries a statement."""
    return _command_for(operation.statement, operation)


def _statement_position(operation: Operation) -> Any:
    """Returns the minimum position that a statement's own command carries.

    In a transaction the command that opens it carries the position.
    """
    if operation.session.transaction is not None or _is_long(operation):
        return None
    return operation.min_position
