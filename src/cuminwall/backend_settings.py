"""Session settings on a shared backend connection.

A connection serves many sessions in turn. Each round passes the settings of
its session; those that differ from the settings in force are changed first.
"""

import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cuminwall import settings_syntax

# RESET ALL does not reset these, so they would leak into later sessions.
# With synchronous_commit off a commit is answered before it is in the log, so
# a position read after it could be below the session's own writes.
DISALLOWED_NAMES = frozenset(
    {
        "role",
        "session_authorization",
        "transaction_deferrable",
        "transaction_isolation",
        "transaction_read_only",
        "synchronous_commit",
    }
)

# As in PostgreSQL, which takes every byte beyond ASCII for a letter.
_PART = r"[A-Za-z_\u0080-\U0010ffff][A-Za-z0-9_$\u0080-\U0010ffff]*"
_NAME = re.compile(rf"{_PART}(\.{_PART})*")

RESET_ALL = "RESET ALL"

# How many accepted values a connection remembers.
MAX_ACCEPTED = 256

Setting = tuple[str, str]


class SettingRefused(NamedTuple):
    """Session settings could not be applied; the round was not sent.

    Attributes:
      names: The settings that were to be changed.
      fields: The server's error fields by type; empty if the settings were
        refused without sending them.
    """

    names: tuple[str, ...]
    fields: Mapping[str, str]


class Change(NamedTuple):
    """A change of a connection's settings to those of a session.

    Attributes:
      sql: The statements, to be sent as one simple query; "" for none.
      assigned: The settings that `sql` assigns.
      in_force: The settings in force afterwards.
    """

    sql: str
    assigned: tuple[Setting, ...]
    in_force: Mapping[str, str]


NO_CHANGE = Change("", (), {})


def find_disallowed(settings: Iterable[Setting]) -> tuple[str, ...]:
    """Returns the names of settings that are malformed or not allowed."""
    refused = []
    for name, value in settings:
        if not _NAME.fullmatch(name) or name.lower() in DISALLOWED_NAMES:
            refused.append(name)
            continue
        if "\0" in value:
            refused.append(name)
    return tuple(refused)


def plan_change(
    in_force: Mapping[str, str], wanted: Mapping[str, str], reset: bool
) -> Change:
    """Returns the change from `in_force` to `wanted`.

    Args:
      in_force: The settings assigned since the connection's last reset.
      wanted: The settings of the session.
      reset: Whether to reset all settings first.
    """
    statements = []
    assigned = []
    if reset:
        statements.append(RESET_ALL)
        in_force = {}
    for name in in_force:
        if name not in wanted:
            statements.append(f"RESET {settings_syntax.quote_name(name)}")
    for name, value in wanted.items():
        if in_force.get(name) == value:
            continue
        statements.append(_assignment(name, value))
        assigned.append((name, value))
    return Change("; ".join(statements), tuple(assigned), wanted)


def _assignment(name: str, value: str) -> str:
    literal = _quote(value)
    if name.lower() in settings_syntax.QUOTED_LISTS:
        # SET would take the quoted list for one name.
        return f"SELECT pg_catalog.set_config('{name}', {literal}, false)"
    return f"SET {settings_syntax.quote_name(name)} TO {literal}"


def _quote(value: str) -> str:
    escaped = value.replace("\\", "\\\\").replace("'", "''")
    if "\\" not in value:
        return f"'{escaped}'"
    # An escape string does not depend on standard_conforming_strings.
    return f"E'{escaped}'"


class SessionSettings:
    """The settings of one connection.

    Attributes:
      in_force: The settings assigned since the last reset.
      reset_needed: Whether the actual settings may differ from `in_force`.
      accepted: Values that the server accepted before, oldest first.
    """

    def __init__(self) -> None:
        self.in_force: Mapping[str, str] = {}
        self.reset_needed = False
        self.accepted: dict[Setting, None] = {}

    def plan_change_to(
        self, wanted: Iterable[Setting], status: bytes
    ) -> Change:
        """Returns the change that puts `wanted` in force.

        Args:
          wanted: The settings of the session.
          status: The connection's transaction status.
        """
        if status == b"E":
            # A failed transaction refuses SET.
            return NO_CHANGE
        # A reset inside a transaction would undo the caller's SET LOCAL.
        reset = self.reset_needed and status == b"I"
        return plan_change(self.in_force, dict(wanted), reset)

    def is_accepted(self, change: Change) -> bool:
        """Returns whether the server accepted these values before.

        Only then may a round be sent without waiting for the answer, since
        after a refusal it would run under the wrong settings.
        """
        return all(setting in self.accepted for setting in change.assigned)

    def record_change(self, change: Change, status: bytes) -> None:
        """Records that a change took effect at a transaction status."""
        if not change.sql:
            return
        for setting in change.assigned:
            if len(self.accepted) >= MAX_ACCEPTED:
                del self.accepted[next(iter(self.accepted))]
            self.accepted[setting] = None
        self.in_force = change.in_force
        # A rollback of the transaction would undo the change.
        self.reset_needed = status == b"T"
