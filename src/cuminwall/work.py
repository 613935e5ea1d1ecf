"""The interface between the front end and the serving side.

The front end splits a caller's messages into rounds. The serving side runs a
round on a backend server, from this instance or from another, and passes the
server's messages back byte for byte.
"""

import enum
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from cuminwall import outcomes


class Access(enum.IntEnum):
    """Whether a statement may write; WRITE unless it is proved to be a read."""

    READ = 0
    WRITE = 1


class Position(NamedTuple):
    """A position in the log of a database group.

    Attributes:
      term: The group's term.
      lsn: The log sequence number, in bytes.
    """

    term: int
    lsn: int


class Prepared(NamedTuple):
    """A prepared statement that must exist on the connection of a round.

    Attributes:
      name: Its name on the backend connection, derived from the content.
      sql: The statement.
      type_oids: The parameter types that the caller specified.
    """

    name: str
    sql: str
    type_oids: tuple[int, ...]


class Step(NamedTuple):
    """One message of a round as it is sent to the backend server.

    Attributes:
      message: The encoded message.
      parsed_name: The name of the statement that this Parse creates, or "".
    """

    message: bytes
    parsed_name: str = ""


class Round(NamedTuple):
    """A caller's messages up to and including a Query, Sync or Flush.

    Attributes:
      access: WRITE if a statement that is bound or run may write; preparing
        a statement is a READ.
      steps: The messages in order, with statement names already replaced.
      prepared: The statements that the steps use but do not parse before.
      synced: Whether the round ends in a ReadyForQuery (Query or Sync).
      begins_transaction: Whether a statement starts an explicit transaction.
      ends_transaction: Whether it only ends a transaction.
      settings: Session settings that apply outside the open transaction, as
        name and value for set_config(). Steps change none of them: SET is
        sent as SET LOCAL.
      max_age_s: The maximum age of data that the caller accepts; None means
        that its floor applies.
      tables: The tables read, for the age rules; empty if unknown.
      request_id: The caller's idempotency key for a write, or "".
    """

    access: Access
    steps: tuple[Step, ...]
    prepared: tuple[Prepared, ...] = ()
    synced: bool = True
    begins_transaction: bool = False
    ends_transaction: bool = False
    settings: tuple[tuple[str, str], ...] = ()
    max_age_s: float | None = None
    tables: tuple[str, ...] = ()
    request_id: str = ""


class RoundEnd(NamedTuple):
    """How a round ended.

    Attributes:
      status: The transaction status: b"I", b"T" or b"E".
      failure: Why it failed, or None. After a failure the sink has not got
        the messages that complete the answer.
      token: The session token after the round, or "" if unchanged.
      server: The backend server that ran it, or "".
    """

    status: bytes
    failure: outcomes.Failure | None
    token: str = ""
    server: str = ""


class Login(NamedTuple):
    """An authenticated caller, or one that uses an open route.

    Attributes:
      service: The name of the database service.
      key_id: The id of the key, or "" on an open route.
      workspace: The workspace of the key, or "" on an open route.
      token: The session token that the caller sent, or "".
      client: The caller's address, for the log.
    """

    service: str
    key_id: str
    workspace: str
    token: str
    client: str


class Admitted(NamedTuple):
    """An accepted login, with the number of its session."""

    session: int


class KeyEntry(NamedTuple):
    """A key in the configuration in force.

    Attributes:
      workspace: The key's workspace.
      verifier: The SCRAM-SHA-256 verifier in PostgreSQL's text form.
    """

    workspace: str
    verifier: str


Sink = Callable[[bytes], Awaitable[None]]


class ServicePort(Protocol):
    """The methods of the serving side that the front end calls."""

    def find_key(self, key_id: str) -> KeyEntry | outcomes.Failure:
        """Returns the key, or why it cannot be used."""

    def is_open(self, service: str) -> bool:
        """Returns whether `service` has an open route, read without a key."""

    def open_session(self, login: Login) -> Admitted | outcomes.Failure:
        """Admits a caller."""

    def add_token(self, session: int, token: str) -> outcomes.Failure | None:
        """Raises the session's floor to the positions in a session token.

        Returns:
          Why the token is rejected, or None.
        """

    async def run(self, session: int, round_: Round, sink: Sink) -> RoundEnd:
        """Runs a round; `sink` gets encoded messages without ReadyForQuery.

        If a round fails after messages went to `sink`, the CommandComplete of
        its last statement has not been sent. A round that is not synced and
        ends without a failure, even with an error from the server, is
        followed by others up to a synced one. After a failure it is not: the
        serving side has then rolled back what the rounds since the last Sync
        began.
        """

    async def cancel(self, session: int) -> None:
        """Cancels the round that the session runs or waits for."""

    async def close_session(self, session: int) -> None:
        """Ends a session and rolls back its open transaction."""


class RoundKey(NamedTuple):
    """Identifies a round across all instances.

    Attributes:
      origin: The entry instance.
      number: Its sequence number there.
    """

    origin: str
    number: int


class RoundRequest(NamedTuple):
    """What a home needs to know to place a round.

    Attributes:
      service: The database service.
      workspace: The workspace that the key proved, or "".
      session: The caller's session at the entry instance.
      access: WRITE if a statement of it may write.
      begins_transaction: Whether it starts an explicit transaction.
      ends_transaction: Whether it only ends a transaction.
      pinned: Whether the session's transaction is open at this home.
      floor: The minimum position that a read must show, or None.
      max_age_s: The maximum age accepted instead of the floor, or None.
      config_version: The configuration version at the entry instance.
    """

    service: str
    workspace: str
    session: int
    access: Access
    begins_transaction: bool
    ends_transaction: bool
    pinned: bool
    floor: Position | None
    max_age_s: float | None
    config_version: int


class Loss(enum.IntEnum):
    """Whether and how a backend server's answer was lost.

    Attributes:
      NONE: The answer is complete.
      NOT_SENT: No byte of the round was sent.
      SENT: The connection ended or timed out after bytes may have been sent.
    """

    NONE = 0
    NOT_SENT = 1
    SENT = 2


class ServerResult(NamedTuple):
    """The result of a round on a backend server.

    Attributes:
      status: The transaction status after it.
      loss: Whether the answer was lost.
      delivered: Whether a byte of the answer reached the caller.
      errored: Whether the server answered with an error.
      in_recovery: Whether the server was in recovery after the round.
      lsn: The server's log position after the round; 0 if not requested.
    """

    status: bytes
    loss: Loss
    delivered: bool
    errored: bool
    in_recovery: bool
    lsn: int


class HomeAnswer(NamedTuple):
    """A home's answer to the entry instance about a round.

    Attributes:
      status: The transaction status after it.
      failure: Why it failed, or None.
      floor: The session's new floor, or None if unchanged.
      server: The backend server that ran it, or "".
      pinned: Whether the session's transaction stays open at the home.
    """

    status: bytes
    failure: outcomes.Failure | None
    floor: Position | None
    server: str
    pinned: bool
