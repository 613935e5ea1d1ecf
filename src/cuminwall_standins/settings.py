"""The run-time settings of one session: SET, RESET, SHOW and DISCARD."""

from typing import Any

from pglast import ast, enums

from cuminwall_standins import errors

DEFAULTS = {
    "application_name": "",
    "client_encoding": "UTF8",
    "datestyle": "ISO, MDY",
    "default_transaction_read_only": "off",
    "integer_datetimes": "on",
    "intervalstyle": "postgres",
    "search_path": '"$user", public',
    "server_encoding": "UTF8",
    "server_version": "16.4",
    "standard_conforming_strings": "on",
    "statement_timeout": "0",
    "timezone": "UTC",
    "transaction_isolation": "read committed",
}
REPORTED = {
    "application_name": "application_name",
    "client_encoding": "client_encoding",
    "datestyle": "DateStyle",
    "default_transaction_read_only": "default_transaction_read_only",
    "in_hot_standby": "in_hot_standby",
    "integer_datetimes": "integer_datetimes",
    "intervalstyle": "IntervalStyle",
    "server_encoding": "server_encoding",
    "server_version": "server_version",
    "standard_conforming_strings": "standard_conforming_strings",
    "timezone": "TimeZone",
}
_KINDS = enums.VariableSetKind
_RESETS = (_KINDS.VAR_RESET, _KINDS.VAR_SET_DEFAULT)
_CHARACTERISTICS = "SESSION CHARACTERISTICS"


class Settings:
    """The values of one session, of which a transaction may be undone.

    Attributes:
      initial: What RESET goes back to.
      values: What is in force.
      values_at_begin: What was in force when the open transaction began, or None.
      local_names: What SET LOCAL changed in the open transaction.
    """

    def __init__(self, initial: dict[str, str]):
        self.initial = DEFAULTS | initial
        self.values = dict(self.initial)
        self.values_at_begin: dict[str, str] | None = None
        self.local_names: set[str] = set()

    def begin(self) -> None:
        """Starts a transaction."""
        self.values_at_begin = dict(self.values)
        self.local_names.clear()

    def end(self, is_committed: bool) -> None:
        """Ends a transaction, keeping what it changed if it committed."""
        before, self.values_at_begin = self.values_at_begin, None
        if before is None:
            return
        if not is_committed:
            self.values = before
            return
        for name in self.local_names:
            self.restore(name, before)

    def restore(self, name: str, source: dict[str, str]) -> None:
        """Takes one value from `source`; none there removes it."""
        self.values.pop(name, None)
        if name in source:
            self.values[name] = source[name]

    def apply(self, node: Any) -> str:
        """Carries out SET, RESET or DISCARD and returns its tag."""
        if isinstance(node, ast.DiscardStmt):
            self.values = dict(self.initial)
            return "DISCARD ALL"
        name = (node.name or "").lower()
        if node.kind is _KINDS.VAR_RESET_ALL:
            self.values = dict(self.initial)
        elif node.kind in _RESETS:
            self.restore(name, self.initial)
        elif node.kind is _KINDS.VAR_SET_MULTI:
            if node.name == _CHARACTERISTICS and is_read_only(node.args):
                self.values["default_transaction_read_only"] = "on"
        else:
            self.values[name] = ", ".join(_text(x) for x in node.args)
            if node.is_local:
                self.local_names.add(name)
        is_reset = node.kind in (_KINDS.VAR_RESET, _KINDS.VAR_RESET_ALL)
        return "RESET" if is_reset else "SET"

    def show(self, name: str) -> str:
        """Returns the value of a setting.

        Raises:
          errors.SqlError: There is no such setting.
        """
        if name.lower() in self.values:
            return self.values[name.lower()]
        raise errors.SqlError(
            "42704", f'unrecognized configuration parameter "{name}"'
        )


def is_read_only(options: Any, default: bool = False) -> bool:
    """Returns whether transaction options ask for READ ONLY."""
    for option in options or ():
        if option.defname == "transaction_read_only":
            return bool(option.arg.val.ival)
    return default


def _text(constant: Any) -> str:
    value = constant.val
    if isinstance(value, ast.Boolean):
        return "on" if value.boolval else "off"
    for name in ("sval", "fval", "ival"):
        if hasattr(value, name):
            return str(getattr(value, name))
    return ""
