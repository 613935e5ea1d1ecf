"""Sessions: login, the statements of each session, and its end.

Statements that concern the session alone are answered here. A transaction is
opened at a server only with its first statement, so that a caller that pauses
after BEGIN holds no connection. Key and route are looked up again for each
operation, which waits while the configuration is unconfirmed (`holds`).
"""

import functools
import sys
from typing import Any

from cuminwall.direct import (
    connections,
    dispatch,
    groups,
    holds,
    operations,
    primary_leases,
    process_end,
    quotas,
    statements,
    store_view,
)
from cuminwall.direct.answers import Failure, Phase, Reason, done, failed
from cuminwall.direct.callers_state import Session, Transaction
from cuminwall.direct.catalog import Route
from cuminwall.direct.effects import (
    AcceptSession,
    CloseCaller,
    Effect,
    KeepInSession,
    Note,
    RejectSession,
    Reply,
)
from cuminwall.direct.servers_state import ConnectionStatus
from cuminwall.direct.state import State, TimerKind

PART = "sessions"

# Statements of one caller queued behind the one in progress. A caller that is
# read no further has sent fewer, as what is read at once is bounded.
MAX_INBOX = 32 * 1024
MIN_COUNTED_BYTES = 1024  # A session that keeps less is not counted.
ENTRY_BYTES = 150  # Of a kept value, beside its texts.
FIRST_CONFIG_WAIT_S = 1.5  # How long a login waits for the first configuration.


def handle_caller_arrived(
    state: State, number: int, database: str, key: str, out: list[Effect]
) -> None:
    """Opens a session for a caller, or rejects the caller.

    Before the first configuration is known the session waits for it.
    """
    session = Session(number, database, key, "")
    session.last_active_at = state.now
    state.sessions[number] = session
    route = state.catalog.routes.get(database)
    is_too_late = route is not None and not process_end.is_time_left(
        state, route
    )
    if state.is_exiting or is_too_late:
        _reject(state, session, process_end.REFUSAL, out)
        return
    if state.catalog.version < 0:
        state.holds.logins.append(session)
        state.set_timer(
            state.now + FIRST_CONFIG_WAIT_S, TimerKind.SESSION, number
        )
        return
    if holds.must_hold(state):
        holds.hold_login(state, session, out)
        return
    _open(state, session, out)


def open_awaiting(state: State, out: list[Effect]) -> None:
    """Opens the sessions that wait for a configuration, or its confirmation."""
    if state.catalog.version < 0 or state.holds.since is not None:
        return
    awaiting = state.holds.logins
    state.holds.logins = []
    for session in awaiting:
        if not session.is_gone:
            _open(state, session, out)


def handle_new_catalog(state: State, out: list[Effect]) -> None:
    """Opens the waiting sessions; closes those whose key was withdrawn."""
    open_awaiting(state, out)
    for session in list(state.sessions.values()):
        failure = _find_denial(state, session)
        if failure is None or failure.reason is not Reason.KEY_UNKNOWN:
            continue
        _close_withdrawn(state, session, out)


def handle_statement(
    state: State, number: int, statement: Any, out: list[Effect]
) -> None:
    """Queues a caller's statement; closes a session that queues too many."""
    session = state.sessions.get(number)
    if session is None:
        return
    session.last_active_at = state.now
    session.inbox.append(statement)
    if len(session.inbox) > MAX_INBOX:
        out.append(
            Note(PART, "flooded", {"session": number, "most": MAX_INBOX})
        )
        close(state, session, out)
        return
    if session not in state.holds.logins:
        state.ready_sessions.append(session)


def handle_caller_left(state: State, number: int, out: list[Effect]) -> None:
    """Removes the session of a caller that has disconnected.

    An unfinished operation is abandoned and a transaction rolled back.
    """
    session = state.sessions.pop(number, None)
    if session is None:
        return
    session.is_gone = True
    session.inbox.clear()
    if session.operation is not None:
        operations.abandon(state, session.operation, out)
        _detach_connection(state, session, out)
    elif session.transaction is not None:
        _roll_back(state, session.transaction, out)


def advance(state: State, session: Session, out: list[Effect]) -> None:
    """Runs a session's queued statements until one must wait for a server."""
    while session.operation is None and not session.is_gone:
        if not session.inbox:
            if session.is_closing and session.phase is Phase.IDLE:
                close(state, session, out)
            return
        if state.now < session.resume_at and not state.is_shutting_down:
            return
        if session.transaction is None and holds.must_hold(state):
            holds.hold(state, session, out)
            return
        _execute(session.inbox.popleft(), state, session, out)


def close(state: State, session: Session, out: list[Effect]) -> None:
    """Closes a caller's connection."""
    if session.is_gone:
        return
    if session in state.holds.logins:
        state.holds.logins.remove(session)
        _reject(state, session, process_end.REFUSAL, out)
        return
    out.append(CloseCaller(session.number))
    handle_caller_left(state, session.number, out)


def handle_timer(state: State, number: int, out: list[Effect]) -> None:
    """Handles the timer of a session.

    Rejects a session that has waited too long for the first configuration,
    and ends a transaction that has been idle too long. Statements that wait
    after a refusal go on.
    """
    session = state.sessions.get(number)
    if session is None:
        return
    if session in state.holds.logins:
        state.holds.logins.remove(session)
        _reject(
            state,
            session,
            Failure(Reason.OVERLOADED, "no configuration has been loaded yet"),
            out,
        )
        return
    if session.inbox:
        state.ready_sessions.append(session)
    _end_idle_transaction(state, session, out)


def _open(state: State, session: Session, out: list[Effect]) -> None:
    """Opens a session, or rejects it."""
    failure = _find_denial(state, session)
    if failure is not None:
        _reject(state, session, failure, out)
        return
    _find_workspace(state, session)
    out.append(AcceptSession(session.number))
    state.ready_sessions.append(session)


def _find_workspace(state: State, session: Session) -> None:
    """Finds the workspace of a session's key, unless it is known.

    A route that needs no key admits a session whose key is not known yet.
    """
    if not session.workspace:
        session.workspace = state.catalog.keys.get(session.key, "")


def _reject(
    state: State, session: Session, failure: Failure, out: list[Effect]
) -> None:
    """Rejects a session."""
    out.append(
        Note(
            PART,
            "turned_away",
            {
                "session": session.number,
                "database": session.database,
                "reason": failure.reason.name.lower(),
                **store_view.config_fields(state),
            },
        )
    )
    state.sessions.pop(session.number, None)
    session.is_gone = True
    out.append(RejectSession(session.number, failure))


def _find_denial(state: State, session: Session) -> Failure | None:
    """Returns why a session may not run operations now, or None.

    An open transaction keeps the route under which it began, but not its key.
    """
    if session.transaction is not None:
        route: Route | None = session.transaction.route
    else:
        route = state.catalog.routes.get(session.database)
    if route is None:
        return Failure(Reason.NO_DATABASE, "no route for this database")
    if route.is_open:
        return None
    workspace = state.catalog.keys.get(session.key)
    if workspace is None or session.workspace not in ("", workspace):
        return Failure(Reason.KEY_UNKNOWN, "unknown API key")
    return None


def close_idle(state: State, count: int, out: list[Effect]) -> None:
    """Closes some sessions that have no statement and no transaction."""
    for session in list(state.sessions.values()):
        if count <= 0:
            return
        if session.is_idle():
            close(state, session, out)
            count -= 1


def _close_withdrawn(state: State, session: Session, out: list[Effect]) -> None:
    """Closes a session whose key was withdrawn, as soon as it is idle."""
    out.append(
        Note(
            PART,
            "key_withdrawn",
            {
                "session": session.number,
                "workspace": session.workspace,
                **store_view.config_fields(state),
                "running": session.operation is not None,
            },
        )
    )
    session.is_closing = True
    if session.operation is None and session.phase is Phase.IDLE:
        close(state, session, out)
        return
    due_at = state.now + state.limits.withdrawn_key_grace_s
    state.set_timer(due_at, TimerKind.SESSION, session.number)


def _end_idle_transaction(
    state: State, session: Session, out: list[Effect]
) -> None:
    """Ends a transaction idle for too long, or whose key was withdrawn."""
    if session.transaction is None:
        return
    if session.operation is not None:
        _schedule_idle_check(state, session, state.now)
    elif _find_denial(state, session) is not None and session.is_closing:
        end_transaction(state, session, "the key was withdrawn", out)
    elif state.now >= _find_idle_end(state, session.last_active_at):
        end_transaction(state, session, "idle in transaction too long", out)
    else:
        _schedule_idle_check(state, session, session.last_active_at)


def _find_idle_end(state: State, since: float) -> float:
    """Returns when a transaction has been idle for too long."""
    return since + state.catalog.transaction_idle_s


def _schedule_idle_check(state: State, session: Session, since: float) -> None:
    """Sets the timer for a transaction that is idle since a time, once."""
    due_at = _find_idle_end(state, since)
    if state.now < session.idle_check_at <= due_at:
        return
    session.idle_check_at = due_at
    state.set_timer(due_at, TimerKind.SESSION, session.number)


def end_transaction(
    state: State, session: Session, cause: str, out: list[Effect]
) -> None:
    """Rolls back an idle transaction; closes its session if that is due."""
    transaction = session.transaction
    if transaction is None:
        return
    out.append(
        Note(
            PART,
            "transaction_ended",
            {
                "session": session.number,
                "rested_s": round(state.now - session.last_active_at, 3),
                "cause": cause,
            },
        )
    )
    _roll_back(state, transaction, out)
    session.phase = Phase.FAILED
    if session.is_closing:
        close(state, session, out)


@functools.singledispatch
def _execute(
    statement: Any, state: State, session: Session, out: list[Effect]
) -> None:
    """Answers a statement here, or starts its operation."""
    raise TypeError(type(statement))


@_execute.register
def _(
    statement: statements.Malformed,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    _fail(session, Reason.MALFORMED, statement.cause, statement, state, out)


@_execute.register
def _(
    statement: statements.Begin,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    if session.phase is not Phase.IDLE:
        _fail(
            session,
            Reason.MALFORMED,
            "a transaction is already open",
            statement,
            state,
            out,
        )
        return
    failure = _find_denial(state, session)
    if failure is not None:
        _fail(session, failure.reason, failure.detail, statement, state, out)
        return
    _find_workspace(state, session)
    route = state.catalog.routes[session.database]
    session.transaction = Transaction(statement.read_only, route)
    _succeed(session, Phase.OPEN, out)
    _schedule_idle_check(state, session, state.now)


@_execute.register
def _(
    statement: statements.Rollback,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    transaction = session.transaction
    if transaction is None:
        _fail_outside(session, statement, state, out)
        return
    _roll_back(state, transaction, out)
    session.transaction = None
    _succeed(session, Phase.IDLE, out)


@_execute.register
def _(
    statement: statements.Commit,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    transaction = session.transaction
    if transaction is None:
        _fail_outside(session, statement, state, out)
        return
    if session.phase is Phase.FAILED:
        _roll_back(state, transaction, out)
        session.transaction = None
        session.phase = Phase.IDLE
        answer = failed(
            Reason.ROLLED_BACK, "the transaction had failed", Phase.IDLE
        )
        out.append(Reply(session.number, answer))
        return
    _run(state, session, statement, False, out)


@_execute.register
def _(
    statement: statements.Read,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    _run(state, session, statement, False, out)


@_execute.register
def _(
    statement: statements.Write,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    _run(state, session, statement, True, out)


@_execute.register
def _(
    statement: statements.Execute,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    if _refuse_if_failed(state, session, statement, out):
        return
    shape = session.prepared_statements.get(statement.name)
    if shape is None:
        reason = Reason.UNKNOWN_STATEMENT
        _fail(
            session, reason, "no such prepared statement", statement, state, out
        )
        return
    _run(state, session, statement, shape.writes, out)


@_execute.register
def _(
    statement: statements.Assign,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    if _refuse_if_failed(state, session, statement, out):
        return
    before = session.values.get(statement.name)
    session.values[statement.name] = statement.value
    _count_kept(session, statement.name, before, statement.value, out)
    _succeed(session, session.phase, out)


@_execute.register
def _(
    statement: statements.Prepare,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    if _refuse_if_failed(state, session, statement, out):
        return
    before = session.prepared_statements.get(statement.name)
    session.prepared_statements[statement.name] = statement.shape
    _count_kept(
        session,
        statement.name,
        None if before is None else before.text,
        statement.shape.text,
        out,
    )
    _succeed(session, session.phase, out)


@_execute.register
def _(
    statement: statements.Deallocate,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    if _refuse_if_failed(state, session, statement, out):
        return
    before = session.prepared_statements.pop(statement.name, None)
    if before is None:
        reason = Reason.UNKNOWN_STATEMENT
        _fail(
            session, reason, "no such prepared statement", statement, state, out
        )
        return
    _count_kept(session, statement.name, before.text, None, out)
    _succeed(session, session.phase, out)


def _count_kept(
    session: Session,
    name: str,
    before: str | None,
    after: str | None,
    out: list[Effect],
) -> None:
    """Counts the memory that a session keeps, after a change under a name."""
    was_counted = session.kept_bytes >= MIN_COUNTED_BYTES
    if before is not None:
        session.kept_bytes -= _size_kept(name, before)
    if after is not None:
        session.kept_bytes += _size_kept(name, after)
    if was_counted or session.kept_bytes >= MIN_COUNTED_BYTES:
        out.append(KeepInSession(session.number, session.kept_bytes))


def _size_kept(name: str, text: str) -> int:
    """Returns the memory that a text takes under a name."""
    return sys.getsizeof(name) + sys.getsizeof(text) + ENTRY_BYTES


def _run(
    state: State,
    session: Session,
    statement: Any,
    writes: bool,
    out: list[Effect],
) -> None:
    """Starts the operation that runs a statement on a server."""
    transaction = session.transaction
    if _refuse_if_failed(state, session, statement, out):
        return
    if transaction is not None and transaction.read_only and writes:
        reason = Reason.NOT_PRIMARY
        _fail(session, reason, "read-only transaction", statement, state, out)
        return
    failure = _find_denial(state, session)
    if failure is not None:
        reason = failure.reason
        if transaction is not None:
            reason = Reason.ROLLED_BACK
        _fail(session, reason, failure.detail, statement, state, out)
        return
    if transaction is not None and _has_lost_primary(
        state, transaction, statement, writes
    ):
        _roll_back(state, transaction, out)
        if isinstance(statement, statements.Commit):
            session.transaction = None
        cause = "the lease on the primary has ended"
        _fail(session, Reason.ROLLED_BACK, cause, statement, state, out)
        return
    if transaction is None:
        _find_workspace(state, session)
    if not process_end.is_time_left(state, _find_route(state, session)):
        _refuse_too_late(state, session, statement, out)
        return
    operation = operations.make(state, session, statement, writes)
    if transaction is not None and transaction.connection is not None:
        operation.admitted_at = state.now
        dispatch.send_statement(state, operation, transaction.connection, out)
        return
    quotas.admit(state, operation, out)


def _find_route(state: State, session: Session) -> Route:
    """Returns the route of a session's next statement."""
    if session.transaction is not None:
        return session.transaction.route
    return state.catalog.routes[session.database]


def _refuse_too_late(
    state: State, session: Session, statement: Any, out: list[Effect]
) -> None:
    """Refuses a statement that would be cut off; undoes its transaction."""
    transaction = session.transaction
    reason = process_end.REFUSAL.reason
    if transaction is not None:
        _roll_back(state, transaction, out)
        reason = Reason.ROLLED_BACK
        if isinstance(statement, statements.Commit):
            session.transaction = None
    _fail(session, reason, process_end.REFUSAL.detail, statement, state, out)


def _has_lost_primary(
    state: State, transaction: Transaction, statement: Any, writes: bool
) -> bool:
    """Returns whether a write's transaction is at a former primary."""
    connection = transaction.connection
    if connection is None or not transaction.requires_primary:
        return False
    if isinstance(statement, statements.Commit):
        writes = transaction.wrote
    group = groups.find(state, transaction.route.service)
    return writes and not primary_leases.is_held(
        state, group, connection.server
    )


def _refuse_if_failed(
    state: State, session: Session, statement: Any, out: list[Effect]
) -> bool:
    """Refuses a statement in a failed transaction; returns whether it did."""
    if session.phase is not Phase.FAILED:
        return False
    reason = Reason.MALFORMED
    _fail(session, reason, "the transaction failed", statement, state, out)
    return True


def _fail(
    session: Session,
    reason: Reason,
    detail: str,
    statement: Any,
    state: State,
    out: list[Effect],
) -> None:
    """Answers a statement with a failure; fails its transaction, if any.

    What a failed transaction did is undone at once, so that it holds no
    connection until its caller ends it.
    """
    phase = Phase.IDLE
    if session.transaction is not None:
        phase = Phase.FAILED
        _roll_back(state, session.transaction, out)
    session.phase = phase
    out.append(
        Note(
            PART,
            "refused",
            {
                "request": statement.request,
                "session": session.number,
                "reason": reason.name.lower(),
                "cause": detail,
                **operations.text_fields(statement.text),
                **store_view.config_fields(state),
            },
        )
    )
    out.append(Reply(session.number, failed(reason, detail, phase)))


def _fail_outside(
    session: Session, statement: Any, state: State, out: list[Effect]
) -> None:
    """Refuses COMMIT or ROLLBACK outside a transaction."""
    detail = "no transaction is open"
    _fail(session, Reason.MALFORMED, detail, statement, state, out)


def _succeed(session: Session, phase: Phase, out: list[Effect]) -> None:
    """Answers a statement that concerns the session alone with a success."""
    session.phase = phase
    out.append(Reply(session.number, done(phase)))


def _roll_back(
    state: State, transaction: Transaction, out: list[Effect]
) -> None:
    """Rolls a transaction back at its server, if it has begun there."""
    connection = transaction.connection
    transaction.connection = None
    if connection is None or connection.number not in state.connections:
        return
    if connection.status is ConnectionStatus.IDLE_IN_TRANSACTION:
        connections.roll_back(state, connection, out)
        return
    connections.close(state, connection, out)


def _detach_connection(
    state: State, session: Session, out: list[Effect]
) -> None:
    """Detaches the connection of a session that left during a statement."""
    transaction = session.transaction
    if transaction is None or transaction.connection is None:
        return
    # The answer to that statement ends the transaction.
    transaction.connection.session = None
