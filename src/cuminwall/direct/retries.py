"""What becomes of a statement whose answer does not come.

A connection may end, refuse to open or stay silent. What surely has not run
is offered again; what may have run is told as what is known of it.
"""

from cuminwall.direct import (
    connections,
    dispatch,
    groups,
    statements,
    works,
)
from cuminwall.direct.answers import (
    Failure,
    Phase,
    Reason,
)
from cuminwall.direct.callers_state import Stage, Work
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.servers_state import Connection, Server, Use
from cuminwall.direct.state import State, TimerKind

PART = "work"

MAX_DOUBLED = 2  # How often the pause after a refused connection doubles.


def handle_connection_end(
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
        handle_lost_answer(
            state, work, connection, "the connection was lost", out
        )
    elif connection.holder is not None:
        session = connection.holder
        if session.transaction is not None:
            session.transaction.connection = None
            session.phase = Phase.FAILED
    if len(server.waiting):
        state.unassigned.extend(server.waiting.drain())


def handle_lost_answer(
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
            works.finish_failed(state, work, Reason.OUTCOME_UNKNOWN, cause, out)
            return
        _offer_again(state, work, connection, cause, out)
        return
    transaction.connection = None
    is_commit = isinstance(work.statement, statements.Commit)
    if is_commit and transaction.wrote:
        works.finish_failed(state, work, Reason.OUTCOME_UNKNOWN, cause, out)
        return
    works.finish_failed(state, work, Reason.ROLLED_BACK, cause, out)


def handle_operation_timer(state: State, work: Work, out: list[Effect]) -> None:
    """Looks at a statement whose time has come."""
    if work.stage is Stage.OVER:
        return
    if work.stage in (Stage.TOKENS, Stage.ROOM):
        if state.now >= work.wait_until:
            wants_token = work.stage is Stage.TOKENS
            missing = "token" if wants_token else "room"
            works.refuse(state, work, f"no {missing} in time", out)
        elif work.resume_at is not None and state.now >= work.resume_at:
            work.resume_at = None
            state.unassigned.append(work)
        return
    connection = work.connection
    if connection is None:
        return
    if work.stage is Stage.BEGINNING:
        limit_s = dispatch.begin_limit_s(state, work)
    else:
        limit_s = work.route.timeout_s
    if state.now < work.sent_at + limit_s:
        if state.now >= work.sent_at + state.limits.silence_s:
            _doubt(state, work, connection.server, out)
        return
    groups.record_unreachable(state, connection.server, "no answer", out)
    connections.drop(state, connection, out)
    if work.stage is Stage.BEGINNING:
        handle_lost_answer(state, work, connection, "no answer to begin", out)
        return
    is_plain = work.session.transaction is None and not work.writes
    if not is_plain:
        handle_lost_answer(state, work, connection, "timeout", out)
        return
    work.connection = None
    works.finish_failed(state, work, Reason.TIMED_OUT, "timeout", out)


def _doubt(state: State, work: Work, server: Server, out: list[Effect]) -> None:
    """Takes in that a server has left a statement unanswered for a while."""
    if server.last_answer_at < work.sent_at:
        groups.record_silent(state, server, out)


def handle_connection_timer(
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
        works.refuse(state, work, cause, out)
        return
    state.unassigned.append(work)


def _refused(
    state: State,
    connection: Connection,
    failure: Failure | None,
    out: list[Effect],
) -> None:
    """Takes in that a server did not take a connection."""
    server = connection.server
    if failure is None:
        groups.record_unreachable(state, server, "no connection", out)
    else:
        pause_s = state.limits.full_s * 2 ** min(server.refusals, MAX_DOUBLED)
        server.refusals += 1
        server.overloaded_until = state.now + pause_s
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
            server.avoid_until = state.now + state.limits.suspect_s
    if failure is None or failure.reason is Reason.WRONG_SERVER:
        _offer_waiting_elsewhere(state, server, True)
        return
    # Its connections are used up, by those of processes that have ended too.
    _offer_waiting_elsewhere(state, server, False)
    if len(server.waiting):
        due_at = server.overloaded_until
        state.set_timer(due_at, TimerKind.SERVER, server.entry.server)


def handle_server_timer(state: State, name: str, out: list[Effect]) -> None:
    """Tries again to connect to a server that took no more connections."""
    server = state.servers.get(name)
    if server is None or not len(server.waiting):
        return
    work = server.waiting.pop(state.now)
    if work.stage is not Stage.OVER:
        state.unassigned.append(work)
        return
    handle_server_timer(state, name, out)


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
            connections.wait_at(server, work)
            continue
        work.tried.add(server.entry.server)
        if is_lost:
            work.offers += 1
        state.unassigned.append(work)
