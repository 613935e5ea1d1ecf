"""Hides secrets in values that are displayed or logged."""

from typing import Any

HIDDEN = "***"
SECRET_FIELDS = frozenset({"password"})


def redact(value: Any) -> Any:
    """Returns `value` with each secret in it replaced by `HIDDEN`."""
    if isinstance(value, list):
        return [redact(item) for item in value]
    if not isinstance(value, dict):
        return value
    redacted = {}
    for name, item in value.items():
        redacted[name] = HIDDEN if name in SECRET_FIELDS else redact(item)
    return redacted
