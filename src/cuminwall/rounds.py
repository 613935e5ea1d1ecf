"""Rounds of a caller's messages, and what to do with each of them.

Prepared statements get names derived from their content, so that they can be
prepared again on any server connection that runs a later round. Pure: no I/O.
"""

import hashlib
from typing import NamedTuple

from cuminwall import outcomes, session_effects, statements, work

MAX_ROUND_BYTES = 16 * 1024 * 1024
MAX_STATEMENTS = 1000
MAX_STATEMENT_CHARACTERS = 1024 * 1024
# A declared parameter type counts as a part of the text.
CHARACTERS_PER_TYPE = 4
MAX_PORTALS = 1000
MAX_SETTINGS = 100
MAX_SETTING_CHARACTERS = 1024
MESSAGE_OVERHEAD_BYTES = 256

STATEMENT_PREFIX = "cw_"
# No statement has this name, so closing it only yields a CloseComplete.
ABSENT_STATEMENT = "cw_absent"


class Limits(NamedTuple):
    """The limits of one session.

    Attributes:
      round_bytes: Bytes of the messages of one round.
      statements: Prepared statements.
      statement_characters: Characters of their texts, names and declared
        parameter types together.
      portals: Open portals.
    """

    round_bytes: int = MAX_ROUND_BYTES
    statements: int = MAX_STATEMENTS
    statement_characters: int = MAX_STATEMENT_CHARACTERS
    portals: int = MAX_PORTALS


DEFAULT_LIMITS = Limits()


class CallerStatement(NamedTuple):
    """A statement that the caller prepared.

    Attributes:
      prepared: The statement as sent to servers.
      statement: Its classification.
      characters: The size of its text, of the caller's name for it and of its
        declared parameter types.
    """

    prepared: work.Prepared
    statement: statements.Statement
    characters: int


class ExpectedCompletion(NamedTuple):
    """A completion that the server will send, and its effects on the session.

    Attributes:
      tag: The tag of the completion: b"1", b"3", or b"C" for a statement.
      effects: The effects of a statement.
      name: The caller's name of the statement prepared or closed, or None.
      statement: The statement prepared, or None if it was closed.
    """

    tag: bytes
    effects: tuple[session_effects.SessionEffect, ...] = ()
    name: str | None = None
    statement: CallerStatement | None = None


class RoundReady(NamedTuple):
    """A round to run.

    Attributes:
      round_: The round.
      expected: The completions that the server will send, in order.
      synced: Whether the caller gets a ReadyForQuery after it.
      token: A session token to apply before the round, or "".
      reads_answer: Whether to read the server's answer for effects on the
        session.
      drops_warning: Whether to drop the warning that a SET LOCAL causes outside
        a transaction; the proxy sends SET as SET LOCAL.
    """

    round_: work.Round
    expected: tuple[ExpectedCompletion, ...]
    synced: bool = True
    token: str = ""
    reads_answer: bool = False
    drops_warning: bool = False


class LocalAnswer(NamedTuple):
    """A round that is answered without a server.

    Attributes:
      data: The answer, without ReadyForQuery.
      synced: Whether a ReadyForQuery follows.
      token: A session token to apply first, or "".
    """

    data: bytes
    synced: bool
    token: str = ""


class Refused(NamedTuple):
    """A round that is answered with an error; none of it is sent.

    Attributes:
      failure: The failure.
      detail: The cause, for the caller's error message.
      synced: Whether a ReadyForQuery follows.
      sync_round: A Sync to run first, if an earlier round ended in a Flush.
    """

    failure: outcomes.Failure
    detail: str
    synced: bool
    sync_round: RoundReady | None = None


RoundAction = RoundReady | LocalAnswer | Refused


def make_prepared(sql: str, type_oids: tuple[int, ...]) -> work.Prepared:
    """Returns a statement with a name derived from its content."""
    digest = hashlib.sha256(sql.encode())
    digest.update(b"\0" + repr(type_oids).encode())
    name = STATEMENT_PREFIX + digest.hexdigest()[:32]
    return work.Prepared(name, sql, type_oids)
