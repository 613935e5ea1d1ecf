"""Parses JSON with comments, as written by operators."""

import json
import math
from typing import Any, NamedTuple

import json5

from cuminwall.faults import Fault, Path, describe


class ParsedText(NamedTuple):
    """The result of parsing a valid text."""

    value: Any


def read(text: str) -> ParsedText | list[Fault]:
    """Returns the parsed value of a text, or its syntax faults.

    A duplicate name in an object, a number that is not finite and a text that
    is not valid Unicode are faults.
    """
    try:
        value = _decode(text)
    except (ValueError, RecursionError) as error:
        return [Fault((), str(error), "JSON with comments")]
    faults: list[Fault] = []
    _find_faults(value, (), faults)
    return faults or ParsedText(value)


def _decode(text: str) -> Any:
    """Decodes plain JSON or, if that fails, JSON with comments.

    The json5 parser takes seconds for a large document, but documents written
    by programs are plain JSON.
    """
    try:
        return json.loads(text, object_pairs_hook=_object_of_pairs)
    except json.JSONDecodeError:
        value = json5.loads(text, allow_duplicate_keys=False)
    # The json5 parser leaves the halves of an escaped surrogate pair apart.
    return json.loads(json.dumps(value), object_pairs_hook=_object_of_pairs)


def _object_of_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Returns an object; raises ValueError for a duplicate name."""
    value: dict[str, Any] = {}
    for name, item in pairs:
        if name in value:
            raise ValueError(f'duplicate name "{name}" in one object')
        value[name] = item
    return value


def _find_faults(value: Any, path: Path, faults: list[Fault]) -> None:
    """Adds a fault for each number or text that can't be stored."""
    if isinstance(value, float) and not math.isfinite(value):
        faults.append(Fault(path, describe(value), "a finite number"))
    if isinstance(value, str):
        _check_text(value, path, faults)
    if isinstance(value, dict):
        for name, item in value.items():
            _check_text(name, path, faults)
            _find_faults(item, (*path, name), faults)
    if isinstance(value, list):
        for index, item in enumerate(value):
            _find_faults(item, (*path, index), faults)


def _check_text(text: str, path: Path, faults: list[Fault]) -> None:
    """Adds a fault for a text that can't be written as UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        # The text is not shown: it may be a password.
        found = "half of a surrogate pair"
        faults.append(Fault(path, found, "text of whole characters"))
