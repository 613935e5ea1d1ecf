"""SET and RESET: what they change, and the form that leaves no state behind.

SET is sent as SET LOCAL: the server checks the name and the value, and its
connection, which callers share, is unchanged once the transaction has ended.
"""

import re
from typing import Any, NamedTuple

from pglast import ast, enums

from cuminwall import session_effects

PROXY_PREFIX = "cuminwall."
MAX_TOKEN_CHARACTERS = 512
MAX_REQUEST_ID_CHARACTERS = 200

_Kind = enums.VariableSetKind
_SIMPLE_NAME = re.compile(r"[a-z_][a-z0-9_]*\Z")
_AGE = re.compile(r"\s*(\d{1,9}(?:\.\d{1,9})?)\s*(ms|s|min|h)?\s*\Z")
_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_UTF8_NAMES = frozenset({"utf8", "unicode"})
_ON_WORDS = frozenset({"on", "true", "yes", "1", "t", "y"})

# PostgreSQL quotes each element of these when it flattens the list.
_QUOTED_LISTS = frozenset(
    {"search_path", "temp_tablespaces", "local_preload_libraries"}
)
_ROLE_SETTINGS = frozenset({"role", "session_authorization"})
# A commit that is answered before it is in the log has no position yet, and an
# idle server connection waits for its next caller, not for this one.
_SERVER_SETTINGS = frozenset({"synchronous_commit", "idle_session_timeout"})
_TRANSACTION_SETTINGS = frozenset(
    {"transaction_read_only", "transaction_isolation", "transaction_deferrable"}
)


class SessionChange(NamedTuple):
    """A change that the session keeps.

    Attributes:
      effect: The change.
      sql: What is sent to the server, or "" if the server takes no part.
    """

    effect: session_effects.SessionEffect
    sql: str


class PassedThrough(NamedTuple):
    """A change that ends with its transaction; it is sent as it is.

    Attributes:
      may_write: Whether it may let a read-only transaction write.
    """

    may_write: bool


class RefusedChange(NamedTuple):
    """A change that is not carried.

    Attributes:
      detail: What about it, for the caller.
      bad_value: Whether only the value is wrong.
    """

    detail: str
    bad_value: bool = False


def is_utf8(encoding: str) -> bool:
    """Returns whether `encoding` is a spelling of UTF8."""
    word = re.sub(r"[^a-z0-9]", "", encoding.lower())
    return word in _UTF8_NAMES


def find_refused_setting(name: str, value: str | None) -> str:
    """Returns why a session may not have this setting, or ""."""
    name = name.lower()
    if name in _ROLE_SETTINGS:
        return f"SET {name.upper().replace('_', ' ')}"
    if name == "client_encoding" and value is not None and not is_utf8(value):
        return "a client encoding other than UTF8"
    if name == "standard_conforming_strings":
        if value is None or value.lower() in _ON_WORDS:
            return ""
        return "standard_conforming_strings other than on"
    if name in _SERVER_SETTINGS and value is not None:
        return f"SET {name}"
    if name.startswith(PROXY_PREFIX):
        return "cuminwall's own settings are set by SET only"
    if name in _TRANSACTION_SETTINGS:
        return f"{name} for a session"
    return ""


def parse_max_age(text: str) -> float | None:
    """Returns an age in seconds, or None if `text` is not one."""
    match = _AGE.match(text)
    if match is None:
        return None
    number, unit = match.groups()
    return float(number) * _SECONDS_PER_UNIT[unit or "s"]


def parse_proxy_setting(
    name: str, value: str | None
) -> SessionChange | RefusedChange:
    """Returns the change of one of cuminwall's own settings.

    Args:
      name: The full name in lower case.
      value: The value; None means the default.
    """
    if name == "cuminwall.max_age":
        if value is None:
            return SessionChange(session_effects.MaxAgeChanged(None), "")
        age = parse_max_age(value)
        if age is None:
            return RefusedChange(f"{name} takes an age such as '2s'", True)
        return SessionChange(session_effects.MaxAgeChanged(age), "")
    if name == "cuminwall.request_id":
        if value is not None and len(value) > MAX_REQUEST_ID_CHARACTERS:
            return RefusedChange(f"{name} is too long", True)
        return SessionChange(session_effects.RequestIdSet(value or ""), "")
    if name == "cuminwall.session":
        if not value or len(value) > MAX_TOKEN_CHARACTERS:
            return RefusedChange(f"{name} takes a session token", True)
        return SessionChange(session_effects.SessionTokenSet(value), "")
    return RefusedChange(f"there is no setting {name}", True)


def parse_set(
    node: Any,
) -> SessionChange | PassedThrough | RefusedChange:
    """Returns what a SET or RESET changes."""
    kind = node.kind
    if kind == _Kind.VAR_RESET_ALL:
        return SessionChange(session_effects.SettingsReset(), "")
    if kind == _Kind.VAR_SET_MULTI:
        return _read_multiple(node)
    if kind not in (
        _Kind.VAR_SET_VALUE,
        _Kind.VAR_SET_DEFAULT,
        _Kind.VAR_RESET,
    ):
        return RefusedChange("SET FROM CURRENT")
    values = _read_values(node)
    if values is None:
        return RefusedChange("SET with an interval")
    return _read_single(node, values)


def _read_single(
    node: Any, values: list[str]
) -> SessionChange | PassedThrough | RefusedChange:
    """Returns what a SET of one setting changes."""
    name = node.name.lower()
    value = _flatten(name, values) if values else None
    if name.startswith(PROXY_PREFIX):
        if node.is_local:
            return RefusedChange("SET LOCAL of cuminwall's own settings")
        return parse_proxy_setting(name, value)
    if name in _TRANSACTION_SETTINGS:
        return PassedThrough(may_write=True)
    refused = find_refused_setting(name, value)
    if refused:
        return RefusedChange(refused)
    if node.is_local:
        return PassedThrough(may_write=False)
    effect = session_effects.SettingChanged(name, value)
    if value is None:
        return SessionChange(
            effect, f"SET LOCAL {_quote_name(name)} TO DEFAULT"
        )
    literals = ", ".join(quote_literal(item) for item in values)
    return SessionChange(effect, f"SET LOCAL {_quote_name(name)} = {literals}")


def _read_multiple(
    node: Any,
) -> SessionChange | PassedThrough | RefusedChange:
    """Returns what SET TRANSACTION or SET SESSION CHARACTERISTICS changes."""
    options: tuple[Any, ...] = node.args or ()
    if node.name == "TRANSACTION":
        for option in options:
            if option.defname != "transaction_read_only":
                continue
            return PassedThrough(may_write=not option.arg.val.ival)
        return PassedThrough(may_write=False)
    if node.name == "TRANSACTION SNAPSHOT":
        return PassedThrough(may_write=False)
    if node.name != "SESSION CHARACTERISTICS" or len(options) != 1:
        return RefusedChange(f"SET {node.name} of several modes at once")
    option = options[0]
    name = f"default_{option.defname}"
    constant: Any = option.arg.val
    value: str
    if hasattr(constant, "sval"):
        value = constant.sval
    else:
        value = "on" if constant.ival else "off"
    effect = session_effects.SettingChanged(name, value)
    return SessionChange(effect, f"SET LOCAL {name} = {quote_literal(value)}")


def _read_values(node: Any) -> list[str] | None:
    """Returns the values of a SET as text, or None if one is no constant."""
    values = []
    for argument in node.args or ():
        if not isinstance(argument, ast.A_Const):
            return None
        constant = argument.val
        for attribute in ("sval", "fval", "ival"):
            value = getattr(constant, attribute, None)
            if value is not None:
                values.append(str(value))
                break
    return values


def _flatten(name: str, values: list[str]) -> str:
    """Returns `values` as set_config() takes them."""
    if name in _QUOTED_LISTS:
        values = [quote_identifier(value) for value in values]
    return ", ".join(values)


def quote_literal(text: str) -> str:
    """Returns `text` as a string constant, whatever the server's settings."""
    quoted = "'" + text.replace("'", "''") + "'"
    if "\\" in quoted:
        return "E" + quoted.replace("\\", "\\\\")
    return quoted


def quote_identifier(text: str) -> str:
    """Returns `text` as an identifier."""
    if _SIMPLE_NAME.match(text):
        return text
    return '"' + text.replace('"', '""') + '"'


def _quote_name(name: str) -> str:
    return ".".join(quote_identifier(part) for part in name.split("."))
