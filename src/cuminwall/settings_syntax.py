"""Parses SET and RESET and rewrites them so that they leave no state behind.

SET is sent as SET LOCAL: the server checks the name and the value, and its
connection, which callers share, is unchanged once the transaction has ended.
"""

import re
import string
from typing import Any, NamedTuple

from pglast import ast, enums, keywords

from cuminwall import session_effects

PROXY_PREFIX = "cuminwall."
MAX_TOKEN_CHARACTERS = 512
MAX_REQUEST_ID_CHARACTERS = 200

_Kind = enums.VariableSetKind
_SMALL_LETTERS = str.maketrans(string.ascii_uppercase, string.ascii_lowercase)
_SIMPLE_NAME = re.compile(r"[a-z_][a-z0-9_]*\Z")
# PostgreSQL's quote_ident() quotes every keyword but the unreserved ones.
_QUOTED_KEYWORDS = (
    keywords.COL_NAME_KEYWORDS
    | keywords.RESERVED_KEYWORDS
    | keywords.TYPE_FUNC_NAME_KEYWORDS
)
_AGE = re.compile(r"\s*(\d{1,9}(?:\.\d{1,9})?)\s*(ms|s|min|h)?\s*\Z")
_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_UTF8_NAMES = frozenset({"utf8", "unicode"})
_ON_VALUES = frozenset({"on", "true", "yes", "1", "t", "y"})

# Lists whose elements PostgreSQL quotes as identifiers.
QUOTED_LISTS = frozenset(
    {"search_path", "temp_tablespaces", "local_preload_libraries"}
)
_ROLE_SETTINGS = frozenset({"role", "session_authorization"})
# A commit acknowledged before it is in the log has no log position yet, and an
# idle server connection is shared, so a caller must not set its timeout.
_SERVER_SETTINGS = frozenset({"synchronous_commit", "idle_session_timeout"})
_TRANSACTION_SETTINGS = frozenset(
    {"transaction_read_only", "transaction_isolation", "transaction_deferrable"}
)


class SessionChange(NamedTuple):
    """A change of a session setting.

    Attributes:
      effect: The change.
      sql: The statement for the server, or "" if none has to be sent.
    """

    effect: session_effects.SessionEffect
    sql: str


class PassedThrough(NamedTuple):
    """A change that ends with its transaction; it is sent unchanged.

    Attributes:
      may_write: Whether it may let a read-only transaction write.
    """

    may_write: bool


class RefusedChange(NamedTuple):
    """A change that is refused.

    Attributes:
      detail: The reason, for the caller.
      bad_value: Whether only the name or value of a proxy setting is wrong.
    """

    detail: str
    bad_value: bool = False


def is_utf8(encoding: str) -> bool:
    """Returns whether `encoding` is a spelling of UTF8."""
    normalized = re.sub(r"[^a-z0-9]", "", encoding.lower())
    return normalized in _UTF8_NAMES


def fold_name(name: str) -> str:
    """Returns a setting's name with the letters A to Z made small.

    PostgreSQL compares other letters as they are.
    """
    return name.translate(_SMALL_LETTERS)


def find_refused_setting(name: str, value: str | None) -> str:
    """Returns why a session may not change this setting, or ""."""
    name = name.lower()
    if name in _ROLE_SETTINGS:
        return f"SET {name.upper().replace('_', ' ')}"
    if name == "client_encoding" and value is not None and not is_utf8(value):
        return "a client encoding other than UTF8"
    if name == "standard_conforming_strings":
        if value is None or value.lower() in _ON_VALUES:
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
    """Returns an age such as "2s" in seconds, or None if it is malformed."""
    match = _AGE.match(text)
    if match is None:
        return None
    number, unit = match.groups()
    return float(number) * _SECONDS_PER_UNIT[unit or "s"]


def parse_proxy_setting(
    name: str, value: str | None
) -> SessionChange | RefusedChange:
    """Parses the value of a proxy setting (`cuminwall.*`).

    Args:
      name: The full name in lower case.
      value: The value; None means the default.
    """
    if name == "cuminwall.max_age":
        if value is None:
            return SessionChange(session_effects.MaxAgeChanged(None), "")
        age = parse_max_age(value)
        if age is None:
            return RefusedChange(f"{name} must be an age such as '2s'", True)
        return SessionChange(session_effects.MaxAgeChanged(age), "")
    if name == "cuminwall.request_id":
        if value is not None and len(value) > MAX_REQUEST_ID_CHARACTERS:
            return RefusedChange(
                f"{name} is longer than {MAX_REQUEST_ID_CHARACTERS} characters",
                True,
            )
        return SessionChange(session_effects.RequestIdSet(value or ""), "")
    if name == "cuminwall.session":
        if not value or len(value) > MAX_TOKEN_CHARACTERS:
            return RefusedChange(f"{name} must be a session token", True)
        return SessionChange(session_effects.SessionTokenSet(value), "")
    return RefusedChange(f"there is no setting {name}", True)


def parse_set(
    node: Any,
) -> SessionChange | PassedThrough | RefusedChange:
    """Parses a SET or RESET statement."""
    kind = node.kind
    if kind == _Kind.VAR_RESET_ALL:
        return SessionChange(session_effects.SettingsReset(), "")
    if kind == _Kind.VAR_SET_MULTI:
        return _parse_multiple(node)
    if kind not in (
        _Kind.VAR_SET_VALUE,
        _Kind.VAR_SET_DEFAULT,
        _Kind.VAR_RESET,
    ):
        return RefusedChange("SET FROM CURRENT")
    values = _extract_values(node)
    if values is None:
        return RefusedChange("SET with an interval")
    return _parse_single(node, values)


def _parse_single(
    node: Any, values: list[str]
) -> SessionChange | PassedThrough | RefusedChange:
    """Parses a SET of one setting."""
    name = fold_name(node.name)
    value = _join_values(name, values) if values else None
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
        return SessionChange(effect, f"SET LOCAL {quote_name(name)} TO DEFAULT")
    literals = ", ".join(quote_literal(item) for item in values)
    return SessionChange(effect, f"SET LOCAL {quote_name(name)} = {literals}")


def _parse_multiple(
    node: Any,
) -> SessionChange | PassedThrough | RefusedChange:
    """Parses SET TRANSACTION or SET SESSION CHARACTERISTICS."""
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


def _extract_values(node: Any) -> list[str] | None:
    """Returns the values of a SET as text, or None if one is not a constant."""
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


def _join_values(name: str, values: list[str]) -> str:
    """Returns `values` as one string in the form that set_config() accepts."""
    if name in QUOTED_LISTS:
        values = [quote_identifier(value) for value in values]
    return ", ".join(values)


def quote_literal(text: str) -> str:
    """Returns `text` as a string literal that is safe under any setting."""
    quoted = "'" + text.replace("'", "''") + "'"
    if "\\" in quoted:
        return "E" + quoted.replace("\\", "\\\\")
    return quoted


def quote_identifier(text: str) -> str:
    """Returns `text` as an identifier, quoted if necessary."""
    if _SIMPLE_NAME.match(text) and text not in _QUOTED_KEYWORDS:
        return text
    return '"' + text.replace('"', '""') + '"'


def quote_name(name: str) -> str:
    """Returns the name of a setting, each of its parts quoted if necessary."""
    return ".".join(quote_identifier(part) for part in name.split("."))
