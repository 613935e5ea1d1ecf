"""Idempotent writes: the caller's request id is recorded with the write.

The id is inserted into a table of the same database, in the transaction of the
write, so that either both are committed or neither is. A retry violates the
primary key and does not run.
"""

import time
from typing import NamedTuple

from cuminwall import backend, backend_settings, outcomes, wire, work

TABLE = "cuminwall_request"
CREATE_SQL = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (workspace text NOT NULL,"
    " id text NOT NULL, recorded_at_s bigint NOT NULL,"
    " PRIMARY KEY (workspace, id))"
)
MAX_ID_CHARACTERS = 200

IDLE = b"I"
FAILED_TRANSACTION = b"E"
UNIQUE_VIOLATION = "23505"
UNDEFINED_TABLE = "42P01"


class Request(NamedTuple):
    """A round whose id is to be recorded.

    Attributes:
      round_: The caller's messages.
      workspace: The workspace that the id belongs to.
      pinned: Whether the session's transaction is open already.
      timeout_s: The longest time without a message from the server.
    """

    round_: work.Round
    workspace: str
    pinned: bool
    timeout_s: float


async def run(
    connection: backend.BackendConnection, request: Request, sink: work.Sink
) -> backend.RoundAnswer | backend_settings.SettingRefused:
    """Runs a write unless its id is recorded: then `DUPLICATE_REQUEST`.

    Raises:
      backend_errors.ExchangeError: As `BackendConnection.run_steps` does.
    """
    recorded = await _record(connection, request)
    code = _error_code(recorded)
    if code == UNDEFINED_TABLE and not request.pinned:
        await _query(connection, request, "ROLLBACK")
        await _query(connection, request, CREATE_SQL)
        recorded = await _record(connection, request)
        code = _error_code(recorded)
    if code:
        return await _refuse(connection, request, recorded, code)
    round_ = request.round_
    answer = await connection.run_steps(
        round_.steps,
        round_.prepared,
        round_.settings,
        sink,
        request.timeout_s,
    )
    if request.pinned or isinstance(answer, backend_settings.SettingRefused):
        return answer
    return await _end(connection, request, answer)


async def _record(
    connection: backend.BackendConnection, request: Request
) -> backend.RoundAnswer:
    """Inserts the id; begins a transaction unless one is open."""
    now_s = int(time.time())
    sql = (
        f"INSERT INTO {TABLE} VALUES ({_quote(request.workspace)},"
        f" {_quote(request.round_.request_id)}, {now_s})"
    )
    if not request.pinned:
        sql = f"BEGIN; {sql}"
    return await _query(connection, request, sql)


async def _end(
    connection: backend.BackendConnection,
    request: Request,
    answer: backend.RoundAnswer,
) -> backend.RoundAnswer:
    """Commits the transaction of the write, or rolls it back if it failed."""
    if answer.status == IDLE or not request.round_.synced:
        return answer
    if answer.status == FAILED_TRANSACTION:
        ended = await _query(connection, request, "ROLLBACK")
        return answer._replace(status=ended.status)
    ended = await _query(connection, request, "COMMIT", position=True)
    if ended.server_error is not None:
        return ended
    return answer._replace(status=ended.status, position=ended.position)


async def _refuse(
    connection: backend.BackendConnection,
    request: Request,
    recorded: backend.RoundAnswer,
    code: str,
) -> backend.RoundAnswer:
    """Returns the error answer of a write whose id was not recorded."""
    tail = recorded.completion
    if code == UNIQUE_VIOLATION:
        failure = outcomes.DUPLICATE_REQUEST
        tail = wire.error_response(failure.sqlstate, failure.message)
    status = recorded.status
    if not request.pinned:
        status = (await _query(connection, request, "ROLLBACK")).status
    return recorded._replace(status=status, completion=tail)


async def _query(
    connection: backend.BackendConnection,
    request: Request,
    sql: str,
    position: bool = False,
) -> backend.RoundAnswer:
    """Runs a statement of the proxy and discards its output."""
    answer = await connection.run_steps(
        (work.Step(wire.query(sql)),),
        (),
        request.round_.settings,
        _discard,
        request.timeout_s,
        query_position=position,
    )
    if isinstance(answer, backend_settings.SettingRefused):
        fields = dict(answer.fields)
        return backend.RoundAnswer(IDLE, b"", fields, None, False)
    return answer


def _error_code(answer: backend.RoundAnswer) -> str:
    """Returns the SQLSTATE of an answer, or "" for a success."""
    if answer.server_error is None:
        return ""
    return answer.server_error.get("C", "XX000")


def _quote(text: str) -> str:
    """Returns a text as an SQL literal."""
    return "'" + text.replace("'", "''").replace("\0", "") + "'"


async def _discard(data: bytes) -> None:
    """Discards the output of the proxy's own statements."""
