"""Promotes a replica by calling `pg_promote` on it."""

import asyncio
import enum
from typing import NamedTuple

from loguru import logger

from cuminwall import (
    backend,
    backend_errors,
    backend_settings,
    exceptions,
    probes,
    wire,
    work,
)

PROMOTE_SQL = "SELECT pg_promote()"
# This function keeps its last value after recovery has ended.
FORK_SQL = "SELECT pg_last_wal_replay_lsn()"
# pg_promote itself waits up to 60 s.
PROMOTE_TIMEOUT_S = 65.0
CONNECT_TIMEOUT_S = 1.0

# SQLSTATE class 57 is "operator intervention": it may end the wait of
# pg_promote although the server is still being promoted.
_INTERVENTION_CLASS = "57"


class PromotionOutcome(enum.Enum):
    """The outcome of a promotion request.

    Attributes:
      DONE: The server is a primary now.
      REFUSED: The request has no effect; the server rejected it or never
        received it.
      UNKNOWN: The server may become a primary, now or later.
    """

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Promotion(NamedTuple):
    """The result of a promotion request.

    Attributes:
      outcome: Whether the server is promoted.
      message: Details for the log.
    """

    outcome: PromotionOutcome
    message: str


async def promote(
    target: backend.Target,
    timeout_s: float = PROMOTE_TIMEOUT_S,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> Promotion:
    """Asks a replica to become the primary, over a new connection.

    Args:
      target: The replica.
      timeout_s: How long it may stay silent.
      connect_timeout_s: How long connecting may take.
    """
    loop = asyncio.get_running_loop()
    try:
        connection = await backend.connect(
            target, loop.time() + connect_timeout_s
        )
    except backend_errors.ExchangeError as error:
        return _log_result(target, PromotionOutcome.REFUSED, str(error))
    try:
        return _log_result(
            target, *await _request_promotion(connection, timeout_s)
        )
    finally:
        await connection.close()


async def read_fork(
    target: backend.Target, connect_timeout_s: float = CONNECT_TIMEOUT_S
) -> tuple[probes.ProbeAnswer, int] | None:
    """Returns a promoted server's position and where its recovery ended.

    Returns None if it gives no usable answer.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + connect_timeout_s
    try:
        connection = await backend.connect(target, deadline)
    except backend_errors.ExchangeError:
        return None
    steps = (work.Step(wire.query(FORK_SQL)),)
    try:
        answer = await connection.run_steps(
            steps, (), (), _reject_data, connect_timeout_s, query_position=True
        )
        if isinstance(answer, backend_settings.SettingRefused):
            return None
        return _parse_fork(answer)
    except exceptions.CuminwallError:
        return None
    finally:
        await connection.close()


def _parse_fork(
    answer: backend.RoundAnswer,
) -> tuple[probes.ProbeAnswer, int] | None:
    """Returns the position and the fork LSN, or None if either is missing."""
    if answer.position is None:
        return None
    for message in wire.Framer().feed(answer.completion):
        if message.tag != b"D":
            continue
        (value,) = wire.read_data_row(message.payload)
        if value is not None:
            return answer.position, probes.parse_lsn(value)
    return None


async def _request_promotion(
    connection: backend.BackendConnection, timeout_s: float
) -> Promotion:
    steps = (work.Step(wire.query(PROMOTE_SQL)),)
    try:
        answer = await connection.run_steps(
            steps, (), (), _reject_data, timeout_s
        )
    except backend_errors.ExchangeError as error:
        if error.sent:
            return Promotion(PromotionOutcome.UNKNOWN, str(error))
        return Promotion(PromotionOutcome.REFUSED, str(error))
    if isinstance(answer, backend_settings.SettingRefused):
        return Promotion(PromotionOutcome.REFUSED, "the server refused a reset")
    if answer.server_error is not None:
        return _classify_error(answer.server_error)
    for message in wire.Framer().feed(answer.completion):
        if message.tag != b"D":
            continue
        if wire.read_data_row(message.payload) == [b"t"]:
            return Promotion(PromotionOutcome.DONE, "the server was promoted")
    return Promotion(
        PromotionOutcome.UNKNOWN, "the server was not promoted in time"
    )


def _classify_error(fields: backend_errors.Fields) -> Promotion:
    message = f"{fields.get('C')} {fields.get('M')}"
    if fields.get("C", _INTERVENTION_CLASS).startswith(_INTERVENTION_CLASS):
        return Promotion(PromotionOutcome.UNKNOWN, message)
    return Promotion(PromotionOutcome.REFUSED, message)


def _log_result(
    target: backend.Target, outcome: PromotionOutcome, message: str
) -> Promotion:
    logger.info(
        "backend: promotion of {}: {}: {}",
        target.name,
        outcome.value,
        message,
    )
    return Promotion(outcome, message)


async def _reject_data(data: bytes) -> None:
    raise exceptions.ProtocolError(
        "the answer to a promotion query is too large"
    )
