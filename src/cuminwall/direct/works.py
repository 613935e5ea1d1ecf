"""One statement's way to a backend server and back.

A statement waits for tokens, then for a server and a connection, and is
sent. What surely has not run is offered to another server. What may have run
is never sent again, but for reads outside a caller's transaction.
"""

import functools
from typing import Any

from cuminwall.direct import (
    connections,
    groups,
    marks,
    placing,
    statements,
    warmups,
)
from cuminwall.direct.answers import (
    NOT_RUN,
    Answer,
    Failure,
    Phase,
    Reason,
    failed,
)
from cuminwall.direct.catalog import Freshness
from cuminwall.direct.commands import (
    Command,
    EndTransaction,
    Forward,
    ForwardExecute,
    OpenTransaction,
)
from cuminwall.direct.effects import Effect, Measure, Note, Reply
from cuminwall.direct.state import (
    Connection,
    Expected,
    Group,
    Server,
    Session,
    Stage,
    State,
    Subject,
    Transaction,
    Use,
    Work,
)

PART = "work"

MAX_DOUBLED = 2  # How often the pause after a refused connection doubles.


def make(
    state: State, session: Session, statement: Any, writes: bool
) -> Work | None:
    """Returns the work for a statement; None if its database has no route."""
    transaction = session.transaction
    route = state.catalog.routes.get(session.database)
    if transaction is not None:
        route = transaction.route
    if route is None:
        return None
    work = Work(state.next_number(), session, statement, route, state.now)
    work.writes = writes
    if transaction is None:
        work.needs_primary = writes or route.freshness is Freshness.ALL
    else:
        is_aged = route.freshness is not Freshness.ALL
        work.needs_primary = not (transaction.read_only and is_aged)
    state.works[work.number] = work
    session.work = work
    return work


def admit(state: State, work: Work) -> None:
    """Lets a statement go on that has its token."""
    wait_s = state.limits.wait_part * work.route.target_s
    work.wait_until = work.came_at + max(state.limits.least_wait_s, wait_s)
    work.stage = Stage.ROOM
    state.unplaced.append(work)


def place(state: State, work: Work, out: list[Effect]) -> None:
    """Offers a statement to a server, or lets it wait."""
    if work.stage is Stage.OVER:
        return
    if work.offers >= state.limits.max_attempts:
        refuse(state, work, "no server took it", out)
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
    _set_room_timer(state, work)


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
        flight.append((_command(work), Expected.STATEMENT))
        _sent(state, work)
    elif transaction is not None or _needs_check(work):
        read_only = transaction is not None and transaction.read_only
        opens = OpenTransaction(
            read_only and work.after is not None, work.after
        )
        flight.append((opens, Expected.BEGIN))
        work.stage = Stage.BEGINNING
        _set_timer(state, work, state.now + _begin_limit_s(state, work))
    else:
        flight.append((_command(work), Expected.STATEMENT))
        _sent(state, work)
    connections.send(state, connection, flight, out)


def begun(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in the answer to the opening of a transaction."""
    work = connection.work
    if work is None:
        connections.drop(state, connection, out)
        return
    if answer.failure is not None:
        work.connection = None
        _offer_failed(state, connection, work, answer.failure, out)
        return
    if work.after is None:
        _note_lead(state, connection, answer, out)
    if work.stage is Stage.OVER:
        # Its caller has left meanwhile.
        connections.roll_back(state, connection, out)
        return
    session = work.session
    flight: list[tuple[Command, Expected]]
    flight = [(_command(work), Expected.STATEMENT)]
    if session.transaction is not None:
        session.transaction.connection = connection
        session.transaction.proves_lead = work.after is None
        connection.holder = session
    else:
        flight.append((EndTransaction(), Expected.END))
    _sent(state, work)
    connections.send(state, connection, flight, out)


def answered(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in the answer to a caller's statement."""
    work = connection.work
    if work is None:
        connections.drop(state, connection, out)
        return
    if work.stage is Stage.OVER:
        _settle_orphan(state, connection, answer, out)
        return
    failure = answer.failure
    transaction = work.session.transaction
    if transaction is not None and transaction.connection is connection:
        _answered_inside(state, work, connection, answer, out)
        return
    if failure is not None and failure.reason in NOT_RUN:
        work.connection = None
        _offer_failed(state, connection, work, failure, out)
        return
    if failure is None and work.writes:
        _note_write(state, connection, work, answer, out)
    if connection.expected:
        # The end of the transaction around a read is still to be answered.
        connection.use = Use.ENDING
        connection.work = None
    else:
        _free(state, connection, answer, out)
    finish(state, work, answer._replace(phase=Phase.IDLE), out)


def transaction_ended(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in that a transaction was rolled back."""
    if connection.expected:
        return
    _free(state, connection, answer, out)


def ended(
    state: State,
    connection: Connection,
    failure: Failure | None,
    is_refused: bool,
    out: list[Effect],
) -> None:
    """Takes in that a connection is over."""
    server = connection.server
    connections.forget(state, connection)
    if is_refused:
        _refused(state, connection, failure, out)
        return
    work = connection.work
    if work is not None and work.stage is not Stage.OVER:
        lost(state, work, connection, "the connection was lost", out)
    elif connection.holder is not None:
        session = connection.holder
        if session.transaction is not None:
            session.transaction.connection = None
            session.phase = Phase.FAILED
    if len(server.waiting):
        state.unplaced.extend(server.waiting.drain())


def lost(
    state: State,
    work: Work,
    connection: Connection,
    cause: str,
    out: list[Effect],
) -> None:
    """Decides about a statement whose answer will not come."""
    work.connection = None
    transaction = work.session.transaction
    if work.stage is not Stage.SENT:
        _offer_again(state, work, connection, cause, out)
        return
    if transaction is None:
        if work.writes:
            finish_failed(state, work, Reason.OUTCOME_UNKNOWN, cause, out)
            return
        _offer_again(state, work, connection, cause, out)
        return
    transaction.connection = None
    is_commit = isinstance(work.statement, statements.Commit)
    if is_commit and transaction.wrote:
        finish_failed(state, work, Reason.OUTCOME_UNKNOWN, cause, out)
        return
    finish_failed(state, work, Reason.ROLLED_BACK, cause, out)


def due(state: State, work: Work, out: list[Effect]) -> None:
    """Looks at a statement whose time has come."""
    if work.stage is Stage.OVER:
        return
    if work.stage in (Stage.TOKENS, Stage.ROOM):
        if state.now >= work.wait_until:
            wants_token = work.stage is Stage.TOKENS
            missing = "token" if wants_token else "room"
            refuse(state, work, f"no {missing} in time", out)
        elif work.resume_at is not None and state.now >= work.resume_at:
            work.resume_at = None
            state.unplaced.append(work)
        return
    connection = work.connection
    if connection is None:
        return
    if work.stage is Stage.BEGINNING:
        limit_s = _begin_limit_s(state, work)
    else:
        limit_s = work.route.timeout_s
    if state.now < work.sent_at + limit_s:
        return
    groups.missed(state, connection.server, "no answer", out)
    connections.drop(state, connection, out)
    if work.stage is Stage.BEGINNING:
        lost(state, work, connection, "no answer to begin", out)
        return
    _timed_out(state, work, out)


def connection_due(
    state: State, connection: Connection, out: list[Effect]
) -> None:
    """Looks at a connection that may hang or has long been unused."""
    if connection.use is Use.IDLE:
        connections.close_unused(state, connection, out)
        return
    if connection.use not in (Use.OPENING, Use.ENDING):
        return
    if state.now < connection.asked_at + state.limits.connect_s:
        return
    connections.drop(state, connection, out)
    if connection.use is Use.OPENING:
        _refused(state, connection, None, out)


def refuse(state: State, work: Work, cause: str, out: list[Effect]) -> None:
    """Tells a caller that its statement has not run."""
    reason = Reason.OVERLOADED
    if work.session.transaction is not None:
        reason = Reason.ROLLED_BACK
    finish_failed(state, work, reason, cause, out)


def finish_failed(
    state: State, work: Work, reason: Reason, cause: str, out: list[Effect]
) -> None:
    """Answers a statement with a failure that was found here."""
    phase = Phase.IDLE
    transaction = work.session.transaction
    if transaction is not None:
        phase = Phase.FAILED
        if isinstance(work.statement, statements.Commit):
            phase = Phase.IDLE
    finish(state, work, failed(reason, cause, phase), out)


def finish(state: State, work: Work, answer: Answer, out: list[Effect]) -> None:
    """Answers a statement; its session may go on with the next."""
    session = work.session
    work.stage = Stage.OVER
    state.works.pop(work.number, None)
    session.work = None
    session.phase = answer.phase
    if answer.phase is Phase.IDLE:
        session.transaction = None
    session.acted_at = state.now
    outcome = "done"
    if answer.failure is not None:
        outcome = answer.failure.reason.name.lower()
    kind = type(work.statement).__name__.lower()
    out.append(_note_of(state, work, answer, kind, outcome))
    out.append(Measure(kind, outcome, state.now - work.came_at))
    if session.is_gone:
        return
    out.append(Reply(session.number, answer))
    state.ready.append(session)


def abandon(state: State, work: Work, out: list[Effect]) -> None:
    """Takes in that the caller of a statement has left."""
    was_sent = work.connection is not None
    work.stage = Stage.OVER
    state.works.pop(work.number, None)
    work.session.work = None
    out.append(
        Note(
            PART,
            "abandoned",
            {"request": work.statement.request, "offered": was_sent},
        )
    )


def wake(state: State, connection: Connection, out: list[Effect]) -> None:
    """Gives free connections of a server to the work that waits there."""
    server = connection.server
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
    if state.is_leaving or _is_hopeless(state, group, until):
        refuse(state, work, "no primary", out)
        return
    work.stage = Stage.ROOM
    work.wait_until = until
    target_at = work.came_at + work.route.target_s
    group.waiting.push(work.route.priority, target_at, work)
    _set_timer(state, work, until)


def _is_hopeless(state: State, group: Group, until: float) -> bool:
    """Returns whether no primary can be expected by a time."""
    if state.now >= until:
        return True
    back_at = group.back_at
    if back_at is None:
        return False
    if state.now > back_at + state.limits.overdue_s:
        return True
    return back_at > until


def _set_room_timer(state: State, work: Work) -> None:
    """Bounds how long work waits for a connection."""
    _set_timer(state, work, work.wait_until)


def _set_timer(state: State, work: Work, due_at: float) -> None:
    """Looks at a statement again at a time."""
    state.remind(due_at, Subject.WORK, work.number)


def _begin_limit_s(state: State, work: Work) -> float:
    """Returns how long the opening of a transaction may take."""
    return min(work.route.timeout_s, max(0.2, 2 * state.limits.silence_s))


def _sent(state: State, work: Work) -> None:
    """Notes that a statement is on its way to the server."""
    work.stage = Stage.SENT
    work.sent_at = state.now
    _set_timer(state, work, state.now + work.route.timeout_s)


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


def _command(work: Work) -> Command:
    """Returns the command that carries a statement."""
    return _forward(work.statement, work)


def _after(work: Work) -> Any:
    """Returns the position that a statement asks for by itself."""
    if work.session.transaction is not None:
        return None
    return work.after


def _answered_inside(
    state: State,
    work: Work,
    connection: Connection,
    answer: Answer,
    out: list[Effect],
) -> None:
    """Takes in the answer to a statement of a caller's transaction."""
    session = work.session
    transaction = session.transaction
    assert transaction is not None
    if isinstance(work.statement, statements.Commit):
        _committed(state, work, connection, transaction, answer, out)
        return
    if answer.failure is None:
        transaction.wrote = transaction.wrote or work.writes
        if transaction.proves_lead:
            _note_lead(state, connection, answer, out)
        connection.use = Use.RESTING
        connection.work = None
        finish(state, work, answer._replace(phase=Phase.OPEN), out)
        due_at = state.now + state.catalog.transaction_idle_s
        state.remind(due_at, Subject.SESSION, session.number)
        return
    if answer.failure.reason is Reason.NOT_PRIMARY:
        groups.refused_lead(state, connection.server, out)
    transaction.connection = None
    connections.roll_back(state, connection, out)
    finish(state, work, answer._replace(phase=Phase.FAILED), out)


def _committed(
    state: State,
    work: Work,
    connection: Connection,
    transaction: Transaction,
    answer: Answer,
    out: list[Effect],
) -> None:
    """Takes in the answer to a commit."""
    if answer.failure is None and transaction.wrote:
        _note_write(state, connection, work, answer, out)
    if answer.failure is not None:
        if answer.failure.reason is Reason.NOT_PRIMARY:
            groups.refused_lead(state, connection.server, out)
        connections.drop(state, connection, out)
    else:
        connections.set_idle(state, connection)
        wake(state, connection, out)
    finish(state, work, answer._replace(phase=Phase.IDLE), out)


def _note_write(
    state: State,
    connection: Connection,
    work: Work,
    answer: Answer,
    out: list[Effect],
) -> None:
    """Takes in that a write was acknowledged."""
    session = work.session
    if answer.position is not None:
        floor = session.floor
        if floor is None or answer.position > floor:
            session.floor = answer.position
    _note_lead(state, connection, answer, out)


def _note_lead(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in an answer that only a primary gives."""
    server = connection.server
    group = groups.find(state, server.entry.service)
    marks.note(state, group, connection.asked_at, answer.position)
    groups.proved_lead(state, server, out)


def _free(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Notes that a connection is free again, if the server says so too."""
    if answer.phase is not Phase.IDLE:
        connections.drop(state, connection, out)
        return
    connections.set_idle(state, connection)
    wake(state, connection, out)


def _settle_orphan(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Takes in the answer to a statement whose caller has left."""
    if connection.expected:
        connection.work = None
        connection.use = Use.ENDING
        return
    if answer.phase is Phase.IDLE:
        _free(state, connection, answer, out)
        return
    connections.roll_back(state, connection, out)


def _offer_failed(
    state: State,
    connection: Connection,
    work: Work,
    failure: Failure,
    out: list[Effect],
) -> None:
    """Offers a statement elsewhere that a server surely has not run."""
    server = connection.server
    _learn(state, work, connection, failure, out)
    if failure.reason is Reason.WRONG_SERVER or connection.expected:
        connections.drop(state, connection, out)
    else:
        connections.set_idle(state, connection)
        wake(state, connection, out)
    out.append(
        Note(
            PART,
            "not_taken",
            {
                "request": work.statement.request,
                "server": server.entry.server,
                "reason": failure.reason.name.lower(),
                "after": work.after,
                "offer": work.offers,
            },
        )
    )
    if failure.reason not in NOT_RUN:
        finish_failed(state, work, failure.reason, failure.detail, out)
        return
    work.tried.add(server.entry.server)
    work.stage = Stage.ROOM
    if work.needs_primary and failure.reason is Reason.OVERLOADED:
        work.resume_at = state.now + state.limits.full_s
        if work.resume_at >= work.wait_until:
            refuse(state, work, "the primary is full", out)
            return
        _set_timer(state, work, work.resume_at)
        return
    state.unplaced.append(work)


def _learn(
    state: State,
    work: Work,
    connection: Connection,
    failure: Failure,
    out: list[Effect],
) -> None:
    """Takes in why a server did not run a statement."""
    server = connection.server
    if failure.reason is Reason.NOT_PRIMARY:
        groups.refused_lead(state, server, out)
    elif failure.reason is Reason.OVERLOADED:
        server.full_until = state.now + state.limits.full_s
    elif failure.reason is Reason.BEHIND:
        floor = work.session.floor
        if floor is None or work.after != floor:
            server.lagging_until = state.now + state.limits.lagging_s


def _offer_again(
    state: State,
    work: Work,
    connection: Connection,
    cause: str,
    out: list[Effect],
) -> None:
    """Offers a statement again whose connection failed it."""
    work.stage = Stage.ROOM
    work.tried.add(connection.server.entry.server)
    if state.now >= work.came_at + work.route.timeout_s:
        refuse(state, work, cause, out)
        return
    state.unplaced.append(work)


def _timed_out(state: State, work: Work, out: list[Effect]) -> None:
    """Answers a statement that a server has not answered in time."""
    work.connection = None
    transaction = work.session.transaction
    if transaction is not None:
        transaction.connection = None
        is_commit = isinstance(work.statement, statements.Commit)
        if not is_commit or not transaction.wrote:
            finish_failed(state, work, Reason.ROLLED_BACK, "timeout", out)
            return
    if work.writes or transaction is not None:
        finish_failed(state, work, Reason.OUTCOME_UNKNOWN, "timeout", out)
        return
    finish_failed(state, work, Reason.TIMED_OUT, "timeout", out)


def _refused(
    state: State,
    connection: Connection,
    failure: Failure | None,
    out: list[Effect],
) -> None:
    """Takes in that a server did not take a connection."""
    server = connection.server
    if failure is None:
        groups.missed(state, server, "no connection", out)
    else:
        pause_s = state.limits.full_s * 2 ** min(server.refusals, MAX_DOUBLED)
        server.refusals += 1
        server.full_until = state.now + pause_s
        out.append(
            Note(
                PART,
                "connection_refused",
                {
                    "server": server.entry.server,
                    "reason": failure.reason.name.lower(),
                    "connections": len(server.connections),
                },
            )
        )
        if failure.reason is Reason.WRONG_SERVER:
            server.suspect_until = state.now + state.limits.suspect_s
    if failure is None or failure.reason is Reason.WRONG_SERVER:
        _offer_waiting_elsewhere(state, server, True)
        return
    # Its connections are used up, by those of processes that have ended too.
    _offer_waiting_elsewhere(state, server, False)
    if len(server.waiting):
        due_at = server.full_until
        state.remind(due_at, Subject.SERVER, server.entry.server)


def server_due(state: State, name: str, out: list[Effect]) -> None:
    """Tries again to connect to a server that took no more connections."""
    server = state.servers.get(name)
    if server is None or not len(server.waiting):
        return
    work = server.waiting.pop(state.now)
    if work.stage is not Stage.OVER:
        state.unplaced.append(work)
        return
    server_due(state, name, out)


def _offer_waiting_elsewhere(
    state: State, server: Server, is_lost: bool
) -> None:
    """Offers what waits for a server to others.

    Args:
      state: The state.
      server: The server.
      is_lost: Whether the server was out of reach; else what only the primary
        can run goes on waiting for it.
    """
    for work in server.waiting.drain():
        if work.stage is Stage.OVER:
            continue
        if not is_lost and (work.needs_primary or work.after is None):
            target_at = work.came_at + work.route.target_s
            server.waiting.push(work.route.priority, target_at, work)
            continue
        work.tried.add(server.entry.server)
        if is_lost:
            work.offers += 1
        state.unplaced.append(work)


def _note_of(
    state: State, work: Work, answer: Answer, kind: str, outcome: str
) -> Note:
    """Returns the log line of an answered statement."""
    session = work.session
    fields = {
        "request": work.statement.request,
        "session": session.number,
        "workspace": session.workspace,
        "kind": kind,
        "outcome": outcome,
        "server": work.server,
        "offers": work.offers,
        "after": work.after,
        "ms": round(1000 * (state.now - work.came_at), 1),
        "config": state.catalog.version,
    }
    if answer.failure is not None:
        fields["cause"] = answer.failure.detail
    return Note(PART, "answered", fields)
