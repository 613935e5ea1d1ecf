"""Callers for the measuring programs: what each request was told, and when."""

import enum
import time
from typing import NamedTuple

import psycopg

from cuminwall import outcomes
from cuminwall_standins import site

CONNECT_TIMEOUT_S = 10
RECONNECT_PAUSE_S = 0.02


class Told(enum.Enum):
    """What a caller knows about a request once it is over.

    Attributes:
      DONE: A success.
      NOT_RUN: A typed refusal; the request must have had no effect.
      FAILED: A typed failure; the request must have had no effect.
      UNKNOWN: A typed answer that the outcome is unknown.
      UNTYPED: The connection ended without an answer.
    """

    DONE = "done"
    NOT_RUN = "not run"
    FAILED = "failed"
    UNKNOWN = "outcome unknown"
    UNTYPED = "no answer"


_BY_MESSAGE = {
    failure.message: failure for failure in outcomes.BY_REASON.values()
}
_BY_KIND = {
    outcomes.Kind.NOT_RUN: Told.NOT_RUN,
    outcomes.Kind.FAILED: Told.FAILED,
    outcomes.Kind.OUTCOME_UNKNOWN: Told.UNKNOWN,
}


class Request(NamedTuple):
    """One request and its end; times are seconds of the Unix clock.

    Attributes:
      number: Unique over all callers of a run.
      instance: The entry instance.
      began_at: When it was sent.
      ended_at: When its end was known.
      told: What the caller knows.
      reason: The typed reason or SQLSTATE of a failure, else "".
    """

    number: int
    instance: str
    began_at: float
    ended_at: float
    told: Told
    reason: str


class Account(NamedTuple):
    """As whom callers connect.

    Attributes:
      user: The id of the key.
      password: The key.
      service: The database service.
    """

    user: str
    password: str
    service: str


def classify(error: psycopg.Error) -> tuple[Told, str]:
    """Returns what an error tells, and its reason."""
    message = error.diag.message_primary
    if message is None:
        return _classify_text(str(error))
    failure = _BY_MESSAGE.get(message)
    if failure is None:
        return Told.FAILED, f"{error.sqlstate}: {message}"
    return _BY_KIND[failure.kind], failure.reason


def _classify_text(text: str) -> tuple[Told, str]:
    """Returns what an error without fields tells.

    A typed answer that comes between two requests reaches the caller as text
    of the next one's error.
    """
    for message, failure in _BY_MESSAGE.items():
        if message in text:
            return _BY_KIND[failure.kind], failure.reason
    return Told.UNTYPED, " ".join(text.split()) or "connection ended"


async def connect(
    site_: site.Site, instance: str, account: Account
) -> psycopg.AsyncConnection:
    """Connects an ordinary client through a daemon.

    Raises:
      psycopg.Error: The daemon is not there or refuses.
    """
    return await psycopg.AsyncConnection.connect(
        host=site.HOST,
        port=site_.daemons[instance].ports["port"],
        user=account.user,
        password=account.password,
        dbname=account.service,
        autocommit=True,
        connect_timeout=CONNECT_TIMEOUT_S,
    )


async def run_one(
    connection: psycopg.AsyncConnection,
    instance: str,
    number: int,
    statement: str,
    parameters: tuple[int, ...],
) -> Request:
    """Runs a statement and returns how it ended."""
    began_at = time.time()
    told, reason = Told.DONE, ""
    try:
        await connection.execute(statement, parameters)
    except psycopg.Error as error:
        told, reason = classify(error)
    return Request(number, instance, began_at, time.time(), told, reason)
