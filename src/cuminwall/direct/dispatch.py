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


def place(state: State, work: Work, out: list[Effect]) -> None:
    """Offers a statement to a server, or lets it wait."""
    if work.stage is Stage.OVER:
        return
    if work.offers >= state.limits.max_attempts:
        works.refuse(state, work, "no server took it", out)
        return
    group = groups.find(state, work.route.service)
    server = placing.choose(state, group, work)
    if server is None:
        _wait_for_primary(state, work, out)
        return
    warmups.note_offer(state, server)
    work.server = server.entry.server
    connection = connections.acquire(state, server, work, out)
    if connection is not None:
        run(state, work, connection, out)
        return
    works.set_timer(state, work, work.wait_until)


def run(
    state: State, work: Work, connection: Connection, out: list[Effect]
) -> None:
    """Sends a statement on a free connection or on its transaction's."""
    session = work.session
    work.connection = connection
    work.offers += 1
    work.server = connection.server.entry.server
    shape = _shape_of(work)
    flight = connections.preparation(connection, session, shape)
    connection.use = Use.WORKING
    connection.work = work
    transaction = session.transaction
    if transaction is not None and transaction.connection is connection:
        flight.append((command(work), Expected.STATEMENT))
        sent(state, work)
    elif transaction is not None or _needs_check(work):
        read_only = transaction is not None and transaction.read_only
        opens = OpenTransaction(
            read_only and work.after is not None, work.after
        )
        flight.append((opens, Expected.BEGIN))
        work.stage = Stage.BEGINNING
        work.sent_at = state.now
        works.set_timer(state, work, state.now + state.limits.silence_s)
        works.set_timer(state, work, state.now + begin_limit_s(state, work))
    else:
        flight.append((command(work), Expected.STATEMENT))
        sent(state, work)
    connections.send(state, connection, flight, out)


def wake(state: State, server: Server, out: list[Effect]) -> None:
    """Gives free connections of a server to the work that waits there."""
    while True:
        found = connections.next_waiting(state, server, out)
        if found is None:
            return
        free, work = found
        if work.stage is Stage.OVER or work.connection is not None:
            continue
        run(state, work, free, out)


def _wait_for_primary(state: State, work: Work, out: list[Effect]) -> None:
    """Lets work wait for a primary, if one may lead in time."""
    until = work.came_at + state.limits.primary_wait_s
    until = min(until, work.came_at + work.route.timeout_s)
    group = groups.find(state, work.route.service)
    if state.is_shutting_down or _is_hopeless(state, group, until):
        works.refuse(state, work, "no primary", out)
        return
    work.stage = Stage.ROOM
    work.wait_until = until
    group.waiting.push(work.route.priority, work.target_at, work)
    works.set_timer(state, work, until)


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


def begin_limit_s(state: State, work: Work) -> float:
    """Returns how long the opening of a transaction may take."""
    return min(work.route.timeout_s, max(0.2, 2 * state.limits.silence_s))


def sent(state: State, work: Work) -> None:
    """Notes that a statement is on its way to the server."""
    work.stage = Stage.SENT
    work.has_token = False
    work.sent_at = state.now
    works.set_timer(state, work, state.now + state.limits.silence_s)
    works.set_timer(state, work, state.now + work.route.timeout_s)


def _needs_check(work: Work) -> bool:
    """Returns whether a read must run where the server proves its lead."""
    return not work.writes and work.after is None


def _shape_of(work: Work) -> statements.Shape | None:
    """Returns the prepared statement that work runs, if any."""
    if not isinstance(work.statement, statements.Execute):
        return None
    return work.session.shapes[work.statement.name]


@functools.singledispatch
def _forward(statement: Any, work: Work) -> Command:
    """Returns the command that carries a statement."""
    return Forward(statement, _after(work))


@_forward.register
def _(statement: statements.Execute, work: Work) -> Command:
    shape = work.session.shapes[statement.name]
    name = connections.shape_name(shape)
    return ForwardExecute(statement, name, _after(work))


def command(work: Work) -> Command:
    """Returns the command that carries a statement."""
    return _forward(work.statement, work)


def _after(work: Work) -> Any:
    """Returns the position that a statement asks for by itself."""
    if work.session.transaction is not None:
        return None
    return work.after
