"""The failures that a caller can get instead of a successful answer.

Each failure is a sentinel value: its kind says what is known about the effect
and its reason says why. docs/callers/outcomes.md holds the same table.
"""

import enum
from typing import NamedTuple


class Kind(enum.Enum):
    """What is known about the effect of a failed request.

    Attributes:
      NOT_RUN: No byte of the request reached a backend server.
      OUTCOME_UNKNOWN: The request may have run, wholly or not at all.
      FAILED: The request was tried and had no effect.
    """

    NOT_RUN = "not run"
    OUTCOME_UNKNOWN = "outcome unknown"
    FAILED = "failed"


class Failure(NamedTuple):
    """A kind of failure.

    Attributes:
      kind: What is known about the effect.
      reason: A short stable name, for logs and metrics.
      sqlstate: The five-character code sent to the caller.
      message: One sentence for the caller.
      fatal: Whether the caller's connection is closed with it.
    """

    kind: Kind
    reason: str
    sqlstate: str
    message: str
    fatal: bool = False


class Refusal(NamedTuple):
    """A failure and the part of the caller's request that caused it.

    Attributes:
      failure: The typed failure.
      detail: The cause, as text for the caller; may be empty.
    """

    failure: Failure
    detail: str


RATE_EXCEEDED = Failure(
    Kind.NOT_RUN,
    "rate_exceeded",
    "53400",
    "not run: the workspace exceeds its request rate",
)
KEY_REFUSED = Failure(
    Kind.NOT_RUN, "key_refused", "28P01", "not run: the key is wrong", True
)
KEY_WITHDRAWN = Failure(
    Kind.NOT_RUN,
    "key_withdrawn",
    "28000",
    "not run: the key is withdrawn",
    True,
)
KEY_WITHDRAWN_IN_TRANSACTION = Failure(
    Kind.NOT_RUN,
    "key_withdrawn_in_transaction",
    "28000",
    "not run: the key is withdrawn; the open transaction is rolled back",
    True,
)
KEY_NEEDED = Failure(
    Kind.NOT_RUN,
    "key_needed",
    "42501",
    "not run: reading this requires a key",
)
KEYS_NOT_CURRENT = Failure(
    Kind.NOT_RUN,
    "keys_not_current",
    "57P03",
    "not run: this instance cannot tell whether the key is still valid",
)
CONFIG_MISSING = Failure(
    Kind.NOT_RUN,
    "config_missing",
    "57P03",
    "not run: this instance has no configuration yet",
)
UNKNOWN_SERVICE = Failure(
    Kind.NOT_RUN,
    "unknown_service",
    "3D000",
    "not run: there is no such database",
    True,
)
ZONE_OUT = Failure(
    Kind.NOT_RUN,
    "zone_out",
    "57P03",
    "not run: this availability zone is out of service",
)
SHUTTING_DOWN = Failure(
    Kind.NOT_RUN,
    "shutting_down",
    "57P01",
    "not run: this instance is shutting down",
    True,
)
NO_PRIMARY = Failure(
    Kind.NOT_RUN,
    "no_primary",
    "57P03",
    "not run: no primary accepts writes now",
)
NO_SERVER = Failure(
    Kind.NOT_RUN,
    "no_server",
    "57P03",
    "not run: no backend server is reachable",
)
NO_HOME = Failure(
    Kind.NOT_RUN,
    "no_home",
    "57P03",
    "not run: no instance that serves the database is reachable",
)
QUEUE_TIMEOUT = Failure(
    Kind.NOT_RUN,
    "queue_timeout",
    "53300",
    "not run: no connection became free in time",
)
QUEUE_FULL = Failure(
    Kind.NOT_RUN,
    "queue_full",
    "53300",
    "not run: too many requests wait for a connection",
)
FLOOR_NOT_REACHED = Failure(
    Kind.NOT_RUN,
    "floor_not_reached",
    "57P03",
    "not run: no reachable server has the session's own writes",
)
FLOOR_LOST = Failure(
    Kind.NOT_RUN,
    "floor_lost",
    "40002",
    "not run: a write of this session was lost when the primary changed",
)
BAD_TOKEN = Failure(
    Kind.NOT_RUN,
    "bad_token",
    "22023",
    "not run: the session token is malformed",
    True,
)
NOT_CARRIED = Failure(
    Kind.NOT_RUN,
    "not_carried",
    "0A000",
    "not run: cuminwall does not support this statement",
)
PROTOCOL_VIOLATION = Failure(
    Kind.NOT_RUN,
    "protocol_violation",
    "08P01",
    "not run: the client violated the protocol",
    True,
)
CANCELED = Failure(
    Kind.NOT_RUN,
    "canceled",
    "57014",
    "not run: canceled on the caller's request",
)
DUPLICATE_REQUEST = Failure(
    Kind.FAILED,
    "duplicate_request",
    "23505",
    "failed: a request with this id was recorded before; it did not run again",
)
TRANSACTION_LOST = Failure(
    Kind.FAILED,
    "transaction_lost",
    "40001",
    "failed: the transaction's connection ended; it is rolled back",
)
WRITE_LEASE_LAPSED = Failure(
    Kind.OUTCOME_UNKNOWN,
    "write_lease_lapsed",
    "08007",
    "outcome unknown: the primary may have been replaced",
)
READ_LEASE_LAPSED = Failure(
    Kind.FAILED,
    "read_lease_lapsed",
    "57P03",
    "failed: the primary may have been replaced; the read has no effect",
)
ANSWER_LOST = Failure(
    Kind.OUTCOME_UNKNOWN,
    "answer_lost",
    "08007",
    "outcome unknown: the answer did not arrive",
)
READ_ANSWER_LOST = Failure(
    Kind.FAILED,
    "read_answer_lost",
    "57P03",
    "failed: the answer did not arrive whole; the read has no effect",
)
REPLICA_NOT_REACHED = Failure(
    Kind.OUTCOME_UNKNOWN,
    "replica_not_reached",
    "08007",
    "outcome unknown: the primary has the write, no replica confirmed it",
)
BAD_SETTING = Failure(
    Kind.NOT_RUN,
    "bad_setting",
    "22023",
    "not run: the value of the setting is not valid",
)
STATEMENT_TOO_COMPLEX = Failure(
    Kind.NOT_RUN,
    "statement_too_complex",
    "54001",
    "not run: the statement has too many parts or is nested too deeply",
)
TOO_MANY_STATEMENTS = Failure(
    Kind.NOT_RUN,
    "too_many_statements",
    "54000",
    "not run: the session keeps too many prepared statements or portals",
)
ROUND_TOO_LARGE = Failure(
    Kind.NOT_RUN,
    "round_too_large",
    "54000",
    "not run: the messages up to the next Sync are too large in total",
)
UNKNOWN_STATEMENT = Failure(
    Kind.NOT_RUN,
    "unknown_statement",
    "26000",
    "not run: there is no prepared statement of this name",
)
DUPLICATE_STATEMENT = Failure(
    Kind.NOT_RUN,
    "duplicate_statement",
    "42P05",
    "not run: there is already a prepared statement of this name",
)
REFUSED_IN_PIPELINE = Failure(
    Kind.NOT_RUN,
    "refused_in_pipeline",
    "0A000",
    "not run: refused after a Flush; the open transaction is rolled back",
    True,
)
LOGIN_TIMEOUT = Failure(
    Kind.NOT_RUN,
    "login_timeout",
    "57014",
    "not run: the login was not completed in time",
    True,
)
MESSAGE_TIMEOUT = Failure(
    Kind.NOT_RUN,
    "message_timeout",
    "08P01",
    "not run: a message was started and not completed in time",
    True,
)
TOO_MANY_LOGINS = Failure(
    Kind.NOT_RUN,
    "too_many_logins",
    "53300",
    "not run: too many connections have not logged in yet",
    True,
)
TOO_MANY_CONNECTIONS = Failure(
    Kind.NOT_RUN,
    "too_many_connections",
    "53300",
    "not run: this instance has too many connections",
    True,
)
ENCODING_NOT_CARRIED = Failure(
    Kind.NOT_RUN,
    "encoding_not_carried",
    "0A000",
    "not run: cuminwall supports only the encoding UTF8",
    True,
)
INTERNAL_ERROR = Failure(
    Kind.OUTCOME_UNKNOWN,
    "internal_error",
    "XX000",
    "outcome unknown: cuminwall failed while it handled the request",
    True,
)


def _by_reason() -> dict[str, Failure]:
    """Returns every sentinel of this module by its reason."""
    found = {}
    for value in globals().values():
        if isinstance(value, Failure):
            found[value.reason] = value
    return found


BY_REASON = _by_reason()
