"""Classification of SQL text by PostgreSQL's own grammar.

Anything that is not proved to be a read counts as a write.
"""

import collections
from collections.abc import Sequence
from typing import Any, NamedTuple

from pglast import parser

from cuminwall import (
    outcomes,
    session_effects,
    statement_bounds,
    statement_parts,
)
from cuminwall.work import Access

CACHE_MAX_ENTRIES = 4096
CACHE_MAX_CHARACTERS = 1024 * 1024
CACHE_MAX_TEXT_CHARACTERS = 16 * 1024


class Statement(NamedTuple):
    """What is known of a text, which may hold several statements.

    Attributes:
      access: The strictest access among its parts.
      command: The family of the first part.
      begins_transaction: Whether a part starts an explicit transaction.
      ends_transaction: Whether a part ends one.
      may_write: Whether a part other than BEGIN may write.
      sets_only_proxy_settings: Whether it changes cuminwall's own settings and nothing else.
      tables: The tables read; empty for a write.
      effects: For each part in order, what it changes in the session.
      sql: The text to send.
      refusal: Why it is not carried, or None.
    """

    access: Access
    command: statement_parts.Command
    begins_transaction: bool
    ends_transaction: bool
    may_write: bool
    sets_only_proxy_settings: bool
    tables: tuple[str, ...]
    effects: tuple[tuple[session_effects.SessionEffect, ...], ...]
    sql: str
    refusal: outcomes.Refusal | None


def _examine_text(
    sql: str,
) -> tuple[list[statement_parts.Part], list[statement_parts.Edit]]:
    """Returns the parts of `sql` and the edits to its text."""
    parts: list[statement_parts.Part] = []
    edits: list[statement_parts.Edit] = []
    trees: tuple[Any, ...] = parser.parse_sql(sql)
    for raw in trees:
        part = statement_parts.classify(raw.stmt, sql)
        parts.append(part)
        edits.extend(part.edits)
        if part.sql is None:
            continue
        start = raw.stmt_location
        end = start + raw.stmt_len if raw.stmt_len else len(sql)
        edits.append(statement_parts.Edit(start, end, part.sql))
    return parts, edits


def _apply_edits(sql: str, edits: Sequence[statement_parts.Edit]) -> str:
    for edit in sorted(edits, reverse=True):
        sql = sql[: edit.start] + edit.text + sql[edit.end :]
    return sql


_UNREADABLE = Statement(
    access=Access.WRITE,
    command=statement_parts.Command.UTILITY,
    begins_transaction=False,
    ends_transaction=False,
    may_write=True,
    sets_only_proxy_settings=False,
    tables=(),
    effects=((),),
    sql="",
    refusal=None,
)


def classify(sql: str) -> Statement:
    """Returns what is known of `sql`.

    Text that is not SQL counts as a write, for the server to answer.
    """
    try:
        if not statement_bounds.is_within_bounds(sql):
            refusal = outcomes.Refusal(outcomes.STATEMENT_TOO_COMPLEX, "")
            return _UNREADABLE._replace(sql=sql, refusal=refusal)
        parts, edits = _examine_text(sql)
    except (parser.ParseError, ValueError):
        return _UNREADABLE._replace(sql=sql)
    return _combine(sql, parts, edits)


def _combine(
    sql: str,
    parts: Sequence[statement_parts.Part],
    edits: Sequence[statement_parts.Edit],
) -> Statement:
    """Returns one statement for all parts of a text."""
    if not parts:
        return _UNREADABLE._replace(
            access=Access.READ,
            command=statement_parts.Command.EMPTY,
            may_write=False,
            sql=sql,
        )
    access = max(part.access for part in parts)
    tables: list[str] = []
    if access is Access.READ:
        for part in parts:
            tables.extend(name for name in part.tables if name not in tables)
    writes = False
    local = True
    refusal = None
    for part in parts:
        if part.access is Access.WRITE:
            writes = (
                writes
                or part.command is not statement_parts.Command.TRANSACTION
            )
        own = [isinstance(e, session_effects.ProxyEffect) for e in part.effects]
        local = local and bool(own) and all(own)
        refusal = refusal or part.refusal
    return Statement(
        access=access,
        command=parts[0].command,
        begins_transaction=any(part.begins_transaction for part in parts),
        ends_transaction=any(part.ends_transaction for part in parts),
        may_write=writes,
        sets_only_proxy_settings=local,
        tables=tuple(tables),
        effects=tuple(part.effects for part in parts),
        sql=_apply_edits(sql, edits) if edits else sql,
        refusal=refusal,
    )


class StatementCache:
    """The most recently used classifications, bounded by count and size."""

    def __init__(
        self,
        max_entries: int = CACHE_MAX_ENTRIES,
        max_characters: int = CACHE_MAX_CHARACTERS,
        max_text_characters: int = CACHE_MAX_TEXT_CHARACTERS,
    ):
        self.max_entries = max_entries
        self.max_characters = max_characters
        self.max_text_characters = max_text_characters
        self.entries: collections.OrderedDict[str, Statement] = (
            collections.OrderedDict()
        )
        self.characters = 0

    def classify(self, sql: str) -> Statement:
        """Returns what is known of `sql`, from the cache if it is there."""
        found = self.entries.get(sql)
        if found is not None:
            self.entries.move_to_end(sql)
            return found
        statement = classify(sql)
        if len(sql) > self.max_text_characters:
            return statement
        self.entries[sql] = statement
        self.characters += len(sql)
        while (
            len(self.entries) > self.max_entries
            or self.characters > self.max_characters
        ):
            dropped, _ = self.entries.popitem(last=False)
            self.characters -= len(dropped)
        return statement
