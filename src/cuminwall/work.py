"""What the caller side hands to the serving side, and what comes back.

The caller side cuts a caller's messages into rounds. The serving side runs a
round on a backend server, here or on another instance, and answers with the
server's own messages, passed through byte for byte.
"""

import enum
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from cuminwall import outcomes


class Access(enum.IntEnum):
    """What a statement may do; anything not proved to be a read is a WRITE."""

    READ = 0
    WRITE = 1


class Position(NamedTuple):
    """A point in the log of a database group.

    Attributes:
      term: The group's term.
      lsn: The log sequence number, in bytes.
    """

    term: int
    lsn: int


class Prepared(NamedTuple):
    """A statement that a round needs on whatever connection runs it.

    Attributes:
      name: The name on the backend connection, derived from the content.
      sql: The statement.
      type_oids: The types that the caller gave for the parameters.
    """

    name: str
    sql: str
    type_oids: tuple[int, ...]


class Step(NamedTuple):
    """One message of a round as it goes to the backend server.

    Attributes:
      message: The encoded message.
      parsed_name: The name of the statement that this Parse makes, or "".
    """

    message: bytes
    parsed_name: str = ""


class Round(NamedTuple):
    """A caller's messages up to and with a Query, Sync or Flush.

    Attributes:
      access: The strictest access among the statements bound or run; to
        prepare one is a READ.
      steps: The messages in order, statement names already replaced.
      prepared: Every statement that the steps use before one of them parses
        it.
      synced: Whether the round ends in a ReadyForQuery (Query or Sync).
      begins_transaction: Whether a statement starts an explicit transaction.
      ends_transaction: Whether it holds nothing but the end of one.
      settings: Session settings to be in force outside the open transaction,
        name and value as set_config() takes them. Steps leave none behind:
        SET is sent as SET LOCAL.
      max_age_s: The oldest data that the caller accepts; None means its floor.
      tables: The names of the tables read, for the rules; empty if unknown.
      request_id: The caller's id for a write that is safe to repeat, or "".
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
      failure: Why it failed, or None; the sink has then got no completion.
      token: The session token after the round, or "" if unchanged.
      server: The backend server that ran it, or "".
    """

    status: bytes
    failure: outcomes.Failure | None
    token: str = ""
    server: str = ""


class Login(NamedTuple):
    """A caller that proved its key, or uses an open route.

    Attributes:
      service: The name of the database service.
      key_id: The id of the key, or "" on an open route.
      workspace: The workspace of the key, or "" on an open route.
      token: The session token that the caller brought, or "".
      client: The caller's address, for the log.
    """

    service: str
    key_id: str
    workspace: str
    token: str
    client: str


class Admitted(NamedTuple):
    """A login was accepted under this session number."""

    session: int


class KeyEntry(NamedTuple):
    """What the configuration in force says of a key.

    Attributes:
      workspace: The key's workspace.
      verifier: The SCRAM-SHA-256 verifier in PostgreSQL's text form.
    """

    workspace: str
    verifier: str


Sink = Callable[[bytes], Awaitable[None]]


class ServicePort(Protocol):
    """What the caller side asks of the serving side."""

    def find_key(self, key_id: str) -> KeyEntry | outcomes.Failure:
        """Returns the key in force, or why there is none."""

    def is_open(self, service: str) -> bool:
        """Returns whether `service` may be read without a key."""

    def open_session(self, login: Login) -> Admitted | outcomes.Failure:
        """Admits a caller."""

    def add_token(self, session: int, token: str) -> outcomes.Failure | None:
        """Raises the session's floor to what a token brought later stands for.

        Returns:
          Why the token is of no use, or None.
        """

    async def run(self, session: int, round_: Round, sink: Sink) -> RoundEnd:
        """Runs a round; `sink` gets encoded messages without ReadyForQuery.

        A round that fails after messages went to `sink` ends with a failure,
        and no CommandComplete of the last statement was given. After an error
        of the server, or none, a round that is not synced is followed by
        others up to a synced one. After a failure it is not: the serving side
        has then ended whatever the rounds since the last Sync began.
        """

    async def cancel(self, session: int) -> None:
        """Asks the backend server to cancel what the session runs."""

    async def close_session(self, session: int) -> None:
        """Ends a session and rolls back its open transaction."""


class RoundKey(NamedTuple):
    """Names one round over all instances.

    Attributes:
      origin: The entry instance.
      number: Its running number there.
    """

    origin: str
    number: int


class RoundRequest(NamedTuple):
    """What a home needs to know to place a round.

    Attributes:
      service: The database service.
      workspace: The workspace that the key proved, or "".
      session: The caller's session at the entry instance.
      access: The strictest access of its statements.
      begins_transaction: Whether it starts an explicit transaction.
      ends_transaction: Whether it holds nothing but the end of one.
      pinned: Whether the session's transaction is open at this home.
      floor: The oldest position to be read, or None if the session has none.
      max_age_s: The oldest data accepted instead of the floor, or None.
      config_version: The version that the entry instance decided by.
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
    """Why a backend server's answer is not there.

    Attributes:
      NONE: The answer is there.
      NOT_SENT: No byte of the round left.
      SENT: The connection ended or timed out after a byte may have left.
    """

    NONE = 0
    NOT_SENT = 1
    SENT = 2


class ServerResult(NamedTuple):
    """What became of a round on a backend server.

    Attributes:
      status: The transaction status after it.
      loss: Whether the answer was lost.
      delivered: Whether a byte of the answer reached the caller.
      errored: Whether the server answered with an error.
      in_recovery: What the server says of itself behind the round.
      lsn: The server's log position behind the round; 0 if not asked.
    """

    status: bytes
    loss: Loss
    delivered: bool
    errored: bool
    in_recovery: bool
    lsn: int


class HomeAnswer(NamedTuple):
    """What a home tells the entry instance about a round.

    Attributes:
      status: The transaction status after it.
      failure: Why it failed, or None.
      floor: The session's floor from now on, or None if unchanged.
      server: The backend server that ran it, or "".
      pinned: Whether the session's transaction stays open at the home.
    """

    status: bytes
    failure: outcomes.Failure | None
    floor: Position | None
    server: str
    pinned: bool
