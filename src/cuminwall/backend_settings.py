"""Session settings on a shared backend connection.

A connection serves many sessions in turn. Each round names the settings that
its session wants; what differs from those in force is changed ahead of it.
"""

import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

# RESET ALL leaves these as they are, so they would leak into later sessions.
# The last lets a commit be answered before it is in the log, which makes the
# position read behind it too low for the session's own writes.
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

# SET would take the value of these as one quoted name instead of a list.
_LIST_NAMES = frozenset({"search_path", "temp_tablespaces"})

_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_]*(\.[A-Za-z_][A-Za-z0-9_]*)*")

RESET_ALL = "RESET ALL"

# Values that a connection remembers as accepted by its server.
MAX_ACCEPTED = 256

Setting = tuple[str, str]


class SettingRefused(NamedTuple):
    """A session setting could not be put in force; nothing else was sent.

    Attributes:
      names: The settings that were to be changed.
      fields: The server's error fields by letter; empty if not asked.
    """

    names: tuple[str, ...]
    fields: Mapping[str, str]


class Change(NamedTuple):
    """What brings a connection's settings to the wanted ones.

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
    """Returns the names that are malformed or may not be set."""
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
    """Returns the statements from `in_force` to `wanted`.

    Args:
      in_force: What was assigned on the connection since its last reset.
      wanted: What the session wants.
      reset: Whether to start from a reset of everything.
    """
    statements = []
    assigned = []
    if reset:
        statements.append(RESET_ALL)
        in_force = {}
    for name in in_force:
        if name not in wanted:
            statements.append(f"RESET {name}")
    for name, value in wanted.items():
        if in_force.get(name) == value:
            continue
        statements.append(_assignment(name, value))
        assigned.append((name, value))
    return Change("; ".join(statements), tuple(assigned), wanted)


def _assignment(name: str, value: str) -> str:
    literal = _quote(value)
    if name.lower() in _LIST_NAMES:
        return f"SELECT pg_catalog.set_config('{name}', {literal}, false)"
    return f"SET {name} TO {literal}"


def _quote(value: str) -> str:
    escaped = value.replace("\\", "\\\\").replace("'", "''")
    if "\\" not in value:
        return f"'{escaped}'"
    # An escape string reads the same under every standard_conforming_strings.
    return f"E'{escaped}'"


class SessionSettings:
    """The settings of one connection.

    Attributes:
      in_force: What was assigned since the last reset.
      reset_needed: Whether they may differ from `in_force`.
      accepted: Values that the server took before, oldest first.
    """

    def __init__(self) -> None:
        self.in_force: Mapping[str, str] = {}
        self.reset_needed = False
        self.accepted: dict[Setting, None] = {}

    def plan_change_to(
        self, wanted: Iterable[Setting], status: bytes
    ) -> Change:
        """Returns what puts `wanted` in force at a transaction status."""
        if status == b"E":
            # A failed transaction takes no change.
            return NO_CHANGE
        # A reset inside a transaction would undo its own SET LOCAL.
        reset = self.reset_needed and status == b"I"
        return plan_change(self.in_force, dict(wanted), reset)

    def is_accepted(self, change: Change) -> bool:
        """Returns whether the server took these values before.

        Only then may a round follow without waiting, for after a refusal it
        would run under the wrong settings.
        """
        return all(setting in self.accepted for setting in change.assigned)

    def record_change(self, change: Change, status: bytes) -> None:
        """Notes that a change took effect at a transaction status."""
        if not change.sql:
            return
        for setting in change.assigned:
            if len(self.accepted) >= MAX_ACCEPTED:
                del self.accepted[next(iter(self.accepted))]
            self.accepted[setting] = None
        self.in_force = change.in_force
        # What a transaction sets, its rollback takes back.
        self.reset_needed = status == b"T"
