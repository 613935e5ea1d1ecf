"""What a caller's messages become: rounds to run, answers, refusals.

Prepared statements get names derived from their content, so that they can be
made again on whatever server connection runs the next round. Pure: no I/O.
"""

import hashlib
from typing import NamedTuple

from cuminwall import outcomes, session_effects, statements, work

MAX_ROUND_BYTES = 16 * 1024 * 1024
MAX_STATEMENTS = 1000
MAX_STATEMENT_CHARACTERS = 1024 * 1024
MAX_PORTALS = 1000
MAX_SETTINGS = 100
MAX_SETTING_CHARACTERS = 1024
MESSAGE_OVERHEAD_BYTES = 256

STATEMENT_PREFIX = "cw_"
# No statement has this name, so a Close of it only yields a CloseComplete.
ABSENT_STATEMENT = "cw_absent"


class Limits(NamedTuple):
    """What one session may keep.

    Attributes:
      round_bytes: Bytes of the messages of one round.
      statements: Prepared statements.
      statement_characters: Characters of their texts and names together.
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
      prepared: The statement as servers get it.
      statement: What is known of it.
      characters: The size of its text and of the caller's name for it.
    """

    prepared: work.Prepared
    statement: statements.Statement
    characters: int


class ExpectedCompletion(NamedTuple):
    """What the session takes over with one completion from the server.

    Attributes:
      tag: The tag of the completion: b"1", b"3", or b"C" for a statement.
      effects: The effects of a statement.
      name: The caller's name of the statement made or closed, or None.
      statement: The statement made.
    """

    tag: bytes
    effects: tuple[session_effects.SessionEffect, ...] = ()
    name: str | None = None
    statement: CallerStatement | None = None


class RoundReady(NamedTuple):
    """A round to run.

    Attributes:
      round_: The round.
      expected: What the completions bring, in order.
      synced: Whether the caller gets a ReadyForQuery after it.
      token: A session token to take over first, or "".
      reads_answer: Whether the server's answer must be read.
      drops_warning: Whether to drop the warning that our SET LOCAL causes.
    """

    round_: work.Round
    expected: tuple[ExpectedCompletion, ...]
    synced: bool = True
    token: str = ""
    reads_answer: bool = False
    drops_warning: bool = False


class LocalAnswer(NamedTuple):
    """Messages answered without a server.

    Attributes:
      data: The answer, without ReadyForQuery.
      synced: Whether a ReadyForQuery follows.
      token: A session token to take over first, or "".
    """

    data: bytes
    synced: bool
    token: str = ""


class Refused(NamedTuple):
    """Messages that are answered with an error; none of the round is sent.

    Attributes:
      failure: The typed failure.
      detail: What caused it, for the caller.
      synced: Whether a ReadyForQuery follows.
      sync_round: A Sync to run first, after an earlier Flush; or None.
    """

    failure: outcomes.Failure
    detail: str
    synced: bool
    sync_round: RoundReady | None = None


RoundAction = RoundReady | LocalAnswer | Refused


def make_prepared(sql: str, type_oids: tuple[int, ...]) -> work.Prepared:
    """Returns a statement under the name that its content gives it."""
    digest = hashlib.sha256(sql.encode())
    digest.update(b"\0" + repr(type_oids).encode())
    name = STATEMENT_PREFIX + digest.hexdigest()[:32]
    return work.Prepared(name, sql, type_oids)
