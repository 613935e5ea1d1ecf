"""Assigns operations to backend servers and sends their statements.

A read that must see every commit runs in a transaction of its own or of its
caller, since a server opens one only while it is the primary. The statement
is sent only once the server has opened that transaction.
"""

import functools
from typing import Any

from cuminwall.direct import (
    connections,
    groups,
    placing,
    statements,
    warmups,
    works,
)
from cuminwall.direct.callers_state import Stage, Work
from cuminwall.direct.commands import (
    Command,
    Forward,
    ForwardExecute,
    OpenTransaction,
)
from cuminwall.direct.effects import Effect
from cuminwall.direct.servers_state import (
    Connection,
    Expected,
    Group,
    Server,
    Use,
)
from cuminwall.direct.state import State


def place(state: State, operation: Work, out: list[Effect]) -> None:
    """Assigns an operation to a server, or queues it until one may run it."""
    if operation.stage is Stage.OVER:
        return
    if operation.offers >= state.limits.max_attempts:
        works.refuse(state, operation, "no server accepted it", out)
        return
    group = groups.find(state, operation.route.service)
    server = placing.choose(state, group, operation)
    if server is None:
        _wait_for_primary(state, operation, out)
        return
    warmups.note_offer(state, server)
    operation.server = server.entry.server
    connection = connections.acquire(state, server, operation, out)
    if connection is not None:
        run(state, operation, connection, out)
        return
    works.set_timer(state, operation, operation.wait_until)


def run(
    state: State, operation: Work, connection: Connection, out: list[Effect]
) -> None:
    """Sends a statement on an idle connection or on its transaction's."""
    session = operation.session
    operation.connection = connection
    operation.offers += 1
    operation.server = connection.server.entry.server
    shape = _find_shape(operation)
    batch = connections.preparation(connection, session, shape)
    connection.use = Use.WORKING
    connection.work = operation
    transaction = session.transaction
    if transaction is not None and transaction.connection is connection:
        batch.append((command(operation), Expected.STATEMENT))
        sent(state, operation)
    elif transaction is not None or _needs_primary_proof(operation):
        read_only = transaction is not None and transaction.read_only
        open_command = OpenTransaction(
            read_only and operation.after is not None, operation.after
        )
        batch.append((open_command, Expected.BEGIN))
        operation.stage = Stage.BEGINNING
        operation.sent_at = state.now
        works.set_timer(state, operation, state.now + state.limits.silence_s)
        works.set_timer(
            state, operation, state.now + begin_limit_s(state, operation)
        )
    else:
        batch.append((command(operation), Expected.STATEMENT))
        sent(state, operation)
    connections.send(state, connection, batch, out)


def wake(state: State, server: Server, out: list[Effect]) -> None:
    """Runs the operations queued at a server on its idle connections."""
    while True:
        pair = connections.next_waiting(state, server, out)
        if pair is None:
            return
        connection, operation = pair
        if operation.stage is Stage.OVER or operation.connection is not None:
            continue
        run(state, operation, connection, out)


def _wait_for_primary(state: State, operation: Work, out: list[Effect]) -> None:
    """Queues an operation for a primary, if one is expected in time."""
    until = operation.came_at + state.limits.primary_wait_s
    until = min(until, operation.came_at + operation.route.timeout_s)
    group = groups.find(state, operation.route.service)
    if state.is_leaving or _is_primary_overdue(state, group, until):
        works.refuse(state, operation, "no primary is known", out)
        return
    operation.stage = Stage.ROOM
    operation.wait_until = until
    group.waiting.push(operation.route.priority, operation.target_at, operation)
    works.set_timer(state, operation, until)


def _is_primary_overdue(state: State, group: Group, until: float) -> bool:
    """Returns whether no primary can be expected before `until`."""
    if state.now >= until:
        return True
    back_at = group.back_at
    if back_at is None:
        return False
    if state.now > back_at + state.limits.overdue_s:
        return True
    return back_at > until


def begin_limit_s(state: State, operation: Work) -> float:
    """Returns the timeout of the opening of a transaction."""
    return min(operation.route.timeout_s, max(0.2, 2 * state.limits.silence_s))


def sent(state: State, operation: Work) -> None:
    """Records that a statement is being sent to its server."""
    operation.stage = Stage.SENT
    operation.has_token = False
    operation.sent_at = state.now
    works.set_timer(state, operation, state.now + state.limits.silence_s)
    works.set_timer(state, operation, state.now + operation.route.timeout_s)


def _needs_primary_proof(operation: Work) -> bool:
    """Returns whether a read needs proof that its server is the primary."""
    return not operation.writes and operation.after is None


def _find_shape(operation: Work) -> statements.Shape | None:
    """Returns the prepared statement that an operation runs, if any."""
    if not isinstance(operation.statement, statements.Execute):
        return None
    return operation.session.shapes[operation.statement.name]


@functools.singledispatch
def _command_for(statement: Any, operation: Work) -> Command:
    """Returns the command that carries a statement."""
    return Forward(statement, _statement_position(operation))


@_command_for.register
def _(statement: statements.Execute, operation: Work) -> Command:
    shape = operation.session.shapes[statement.name]
    name = connections.shape_name(shape)
    return ForwardExecute(statement, name, _statement_position(operation))


def command(operation: Work) -> Command:
    """Returns the command that carries a statement."""
    return _command_for(operation.statement, operation)


def _statement_position(operation: Work) -> Any:
    """Returns the minimum position that a statement's own command carries.

    In a transaction the command that opens it carries the position.
    """
    if operation.session.transaction is not None:
        return None
    return operation.after
