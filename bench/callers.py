"""Callers for the benchmarks, which record the outcome of each request."""

import enum
import time
from typing import NamedTuple

import psycopg

from cuminwall import outcomes
from cuminwall_standins import site

CONNECT_TIMEOUT_S = 10
RECONNECT_PAUSE_S = 0.02


class Outcome(enum.Enum):
    """The outcome of a request, as its caller was told it.

    Attributes:
      DONE: Success.
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
    outcomes.Kind.NOT_RUN: Outcome.NOT_RUN,
    outcomes.Kind.FAILED: Outcome.FAILED,
    outcomes.Kind.OUTCOME_UNKNOWN: Outcome.UNKNOWN,
}


class Request(NamedTuple):
    """A request that has ended; times are seconds of the Unix clock.

    Attributes:
      number: Unique over all callers of a run.
      instance: The entry instance.
      began_at: When it was sent.
      ended_at: When the caller learned the outcome.
      outcome: The outcome.
      reason: The typed reason or SQLSTATE of a failure, else "".
    """

    number: int
    instance: str
    began_at: float
    ended_at: float
    outcome: Outcome
    reason: str


class Account(NamedTuple):
    """The credentials and the service that callers connect with.

    Attributes:
      user: The id of the key.
      password: The key.
      service: The database service.
    """

    user: str
    password: str
    service: str


def classify(error: psycopg.Error) -> tuple[Outcome, str]:
    """Returns the outcome that an error reports, and its reason."""
    message = error.diag.message_primary
    if message is None:
        return _classify_text(str(error))
    failure = _BY_MESSAGE.get(message)
    if failure is None:
        return Outcome.FAILED, f"{error.sqlstate}: {message}"
    return _BY_KIND[failure.kind], failure.reason


def _classify_text(text: str) -> tuple[Outcome, str]:
    """Returns the outcome that an error without fields reports.

    A typed answer that arrives between two requests reaches the caller in the
    text of the next request's error.
    """
    for message, failure in _BY_MESSAGE.items():
        if message in text:
            return _BY_KIND[failure.kind], failure.reason
    return Outcome.UNTYPED, " ".join(text.split()) or "connection ended"


async def connect(
    site_: site.Site, instance: str, account: Account
) -> psycopg.AsyncConnection:
    """Connects an ordinary client through a daemon.

    Raises:
      psycopg.Error: The daemon is unreachable or refuses the connection.
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
    """Runs a statement and returns the request with its outcome."""
    began_at = time.time()
    outcome, reason = Outcome.DONE, ""
    try:
        await connection.execute(statement, parameters)
    except psycopg.Error as error:
        outcome, reason = classify(error)
    return Request(number, instance, began_at, time.time(), outcome, reason)
