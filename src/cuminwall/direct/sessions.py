"""Callers: who they are, and what becomes of each of their statements.

What concerns the session alone is answered here. A transaction is opened at
a server only with its first statement, so that its caller's first pause
holds no connection. Key and route are looked up again for each operation.
"""

import functools
from typing import Any

from cuminwall.direct import (
    connections,
    dispatch,
    operations,
    quotas,
    statements,
)
from cuminwall.direct.answers import Failure, Phase, Reason, done, failed
from cuminwall.direct.callers_state import Session, Transaction
from cuminwall.direct.effects import (
    AcceptSession,
    CloseCaller,
    Effect,
    Note,
    RejectSession,
    Reply,
)
from cuminwall.direct.servers_state import ConnectionStatus
from cuminwall.direct.state import State, TimerKind

PART = "sessions"

MAX_INBOX = 64  # Statements of one caller that wait for the one in course.
FIRST_CONFIG_WAIT_S = (
    1.5  # How long a caller waits for the first configuration.
)


def handle_caller_arrived(
    state: State, number: int, database: str, key: str, out: list[Effect]
) -> None:
    """Takes in a caller that named its database and key."""
    session = Session(number, database, key, "")
    session.last_active_at = state.now
    state.sessions[number] = session
    if state.catalog.version < 0:
        state.awaiting_config.append(session)
        state.set_timer(
            state.now + FIRST_CONFIG_WAIT_S, TimerKind.SESSION, number
        )
        return
    _open(state, session, out)


def handle_new_catalog(state: State, out: list[Effect]) -> None:
    """Opens the sessions that came early; ends those without a key."""
    early = state.awaiting_config
    state.awaiting_config = []
    for session in early:
        if not session.is_gone:
            _open(state, session, out)
    for session in list(state.sessions.values()):
        failure = _objection(state, session)
        if failure is None or failure.reason is not Reason.KEY_UNKNOWN:
            continue
        _withdraw(state, session, out)


def handle_statement(
    state: State, number: int, statement: Any, out: list[Effect]
) -> None:
    """Takes in a caller's statement."""
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
    state.ready_sessions.append(session)


def handle_caller_left(state: State, number: int, out: list[Effect]) -> None:
    """Takes in that a caller's connection is over."""
    session = state.sessions.pop(number, None)
    if session is None:
        return
    session.is_gone = True
    session.inbox.clear()
    if session.operation is not None:
        operations.abandon(state, session.operation, out)
        _release_unsent(state, session, out)
    elif session.transaction is not None:
        _roll_back(state, session.transaction, out)


def advance(state: State, session: Session, out: list[Effect]) -> None:
    """Goes on with a session's next statement."""
    while session.operation is None and not session.is_gone:
        if not session.inbox:
            if session.is_closing and session.phase is Phase.IDLE:
                close(state, session, out)
            return
        _take(session.inbox.popleft(), state, session, out)


def close(state: State, session: Session, out: list[Effect]) -> None:
    """Closes a caller's connection."""
    if session.is_gone:
        return
    out.append(CloseCaller(session.number))
    handle_caller_left(state, session.number, out)


def handle_timer(state: State, number: int, out: list[Effect]) -> None:
    """Looks at a session whose time has come."""
    session = state.sessions.get(number)
    if session is None:
        return
    if session in state.awaiting_config:
        state.awaiting_config.remove(session)
        _turn_away(
            state,
            session,
            Failure(Reason.OVERLOADED, "no configuration yet"),
            out,
        )
        return
    _end_resting(state, session, out)


def _open(state: State, session: Session, out: list[Effect]) -> None:
    """Opens a session, or turns its caller away."""
    failure = _objection(state, session)
    if failure is not None:
        _turn_away(state, session, failure, out)
        return
    session.workspace = state.catalog.keys.get(session.key, "")
    out.append(AcceptSession(session.number))


def _turn_away(
    state: State, session: Session, failure: Failure, out: list[Effect]
) -> None:
    """Refuses a session."""
    out.append(
        Note(
            PART,
            "turned_away",
            {
                "session": session.number,
                "database": session.database,
                "reason": failure.reason.name.lower(),
                "config": state.catalog.version,
            },
        )
    )
    state.sessions.pop(session.number, None)
    session.is_gone = True
    out.append(RejectSession(session.number, failure))


def _objection(state: State, session: Session) -> Failure | None:
    """Returns why a session may not do anything now, or None."""
    route = state.catalog.routes.get(session.database)
    if route is None:
        return Failure(Reason.NO_DATABASE, "no such database")
    if route.is_open:
        return None
    workspace = state.catalog.keys.get(session.key)
    if workspace is None or session.workspace not in ("", workspace):
        return Failure(Reason.KEY_UNKNOWN, "the key is not known")
    return None


def _withdraw(state: State, session: Session, out: list[Effect]) -> None:
    """Ends a session whose key is withdrawn, as soon as nothing runs."""
    out.append(
        Note(
            PART,
            "key_withdrawn",
            {
                "session": session.number,
                "workspace": session.workspace,
                "config": state.catalog.version,
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


def _end_resting(state: State, session: Session, out: list[Effect]) -> None:
    """Ends a transaction that rests too long, or whose key is withdrawn."""
    if session.transaction is None or session.operation is not None:
        return
    rested_s = state.now - session.last_active_at
    if _objection(state, session) is not None and session.is_closing:
        end_transaction(state, session, "key withdrawn", out)
    elif rested_s >= state.catalog.transaction_idle_s:
        end_transaction(state, session, "it rested too long", out)


def end_transaction(
    state: State, session: Session, cause: str, out: list[Effect]
) -> None:
    """Rolls a resting transaction back, and ends its session if that is due."""
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
def _take(
    statement: Any, state: State, session: Session, out: list[Effect]
) -> None:
    """Answers a statement or sends it on its way."""
    _fail(session, Reason.MALFORMED, "not understood", statement, state, out)


@_take.register
def _(
    statement: statements.Begin,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    if session.phase is not Phase.IDLE:
        _fail(
            session, Reason.MALFORMED, "in a transaction", statement, state, out
        )
        return
    failure = _objection(state, session)
    if failure is not None:
        _fail(session, failure.reason, failure.detail, statement, state, out)
        return
    route = state.catalog.routes[session.database]
    session.transaction = Transaction(statement.read_only, route)
    _done(session, Phase.OPEN, out)
    due_at = state.now + state.catalog.transaction_idle_s
    state.set_timer(due_at, TimerKind.SESSION, session.number)


@_take.register
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
    _done(session, Phase.IDLE, out)


@_take.register
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
        answer = failed(Reason.ROLLED_BACK, "it had failed", Phase.IDLE)
        out.append(Reply(session.number, answer))
        return
    _run(state, session, statement, False, out)


@_take.register
def _(
    statement: statements.Read,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    _run(state, session, statement, False, out)


@_take.register
def _(
    statement: statements.Write,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    _run(state, session, statement, True, out)


@_take.register
def _(
    statement: statements.Execute,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    shape = session.prepared_statements.get(statement.name)
    if shape is None:
        reason = Reason.UNKNOWN_STATEMENT
        _fail(session, reason, "no such name", statement, state, out)
        return
    _run(state, session, statement, shape.writes, out)


@_take.register
def _(
    statement: statements.Assign,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    if _fails_in_failed(state, session, statement, out):
        return
    session.values[statement.name] = statement.value
    _done(session, session.phase, out)


@_take.register
def _(
    statement: statements.Prepare,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    if _fails_in_failed(state, session, statement, out):
        return
    session.prepared_statements[statement.name] = statement.shape
    _done(session, session.phase, out)


@_take.register
def _(
    statement: statements.Deallocate,
    state: State,
    session: Session,
    out: list[Effect],
) -> None:
    if _fails_in_failed(state, session, statement, out):
        return
    if session.prepared_statements.pop(statement.name, None) is None:
        reason = Reason.UNKNOWN_STATEMENT
        _fail(session, reason, "no such name", statement, state, out)
        return
    _done(session, session.phase, out)


def _run(
    state: State,
    session: Session,
    statement: Any,
    writes: bool,
    out: list[Effect],
) -> None:
    """Sends a statement on its way to a server."""
    transaction = session.transaction
    if _fails_in_failed(state, session, statement, out):
        return
    if transaction is not None and transaction.read_only and writes:
        reason = Reason.NOT_PRIMARY
        _roll_back(state, transaction, out)
        _fail(session, reason, "read only", statement, state, out)
        return
    failure = _objection(state, session)
    if failure is not None and _ends_operation(session, failure):
        reason = failure.reason
        if transaction is not None:
            _roll_back(state, transaction, out)
            reason = Reason.ROLLED_BACK
        _fail(session, reason, failure.detail, statement, state, out)
        return
    work = operations.make(state, session, statement, writes)
    if transaction is not None and transaction.connection is not None:
        dispatch.send_statement(state, work, transaction.connection, out)
        return
    quotas.admit(state, work, out)


def _ends_operation(session: Session, failure: Failure) -> bool:
    """Returns whether a change of the configuration ends what runs.

    A transaction keeps the route under which it began, but not its key.
    """
    if session.transaction is None:
        return True
    return failure.reason is Reason.KEY_UNKNOWN


def _fails_in_failed(
    state: State, session: Session, statement: Any, out: list[Effect]
) -> bool:
    """Refuses a statement in a failed transaction; returns whether."""
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
    """Refuses a statement here."""
    phase = Phase.IDLE
    if session.transaction is not None:
        phase = Phase.FAILED
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
                "config": state.catalog.version,
            },
        )
    )
    out.append(Reply(session.number, failed(reason, detail, phase)))


def _fail_outside(
    session: Session, statement: Any, state: State, out: list[Effect]
) -> None:
    """Refuses the end of a transaction where there is none."""
    detail = "no transaction"
    _fail(session, Reason.MALFORMED, detail, statement, state, out)


def _done(session: Session, phase: Phase, out: list[Effect]) -> None:
    """Answers a statement that concerns the session alone."""
    session.phase = phase
    out.append(Reply(session.number, done(phase)))


def _roll_back(
    state: State, transaction: Transaction, out: list[Effect]
) -> None:
    """Ends a transaction at its server, if it has begun there."""
    connection = transaction.connection
    transaction.connection = None
    if connection is None or connection.number not in state.connections:
        return
    if connection.status is ConnectionStatus.IDLE_IN_TRANSACTION:
        connections.roll_back(state, connection, out)
        return
    connections.close(state, connection, out)


def _release_unsent(state: State, session: Session, out: list[Effect]) -> None:
    """Frees what a caller held that left while a statement was in course."""
    transaction = session.transaction
    if transaction is None or transaction.connection is None:
        return
    # A statement runs there; its answer ends the transaction.
    transaction.connection.session = None
