"""Reads JSON with comments, as operators write it."""

import json
import math
from typing import Any, NamedTuple

import json5

from cuminwall.faults import Fault, Path, describe


class ParsedText(NamedTuple):
    """A readable text and the value that it holds."""

    value: Any


def read(text: str) -> ParsedText | list[Fault]:
    """Returns the value of a text, or the faults of its syntax.

    A name that stands twice in one object and a number that is not finite
    are faults.
    """
    try:
        value = _decode(text)
    except (ValueError, RecursionError) as error:
        return [Fault((), str(error), "JSON with comments")]
    faults: list[Fault] = []
    _find_endless_numbers(value, (), faults)
    return faults or ParsedText(value)


def _decode(text: str) -> Any:
    """Decodes plain JSON at once and anything else as JSON with comments.

    The reader of JSON with comments takes seconds for a large document; what
    a program wrote is plain JSON.
    """
    try:
        return json.loads(text, object_pairs_hook=_object_of_pairs)
    except json.JSONDecodeError:
        return json5.loads(text, allow_duplicate_keys=False)


def _object_of_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Returns an object, or raises ValueError when a name stands twice."""
    value: dict[str, Any] = {}
    for name, item in pairs:
        if name in value:
            raise ValueError(f'the name "{name}" twice in one object')
        value[name] = item
    return value


def _find_endless_numbers(value: Any, path: Path, faults: list[Fault]) -> None:
    """Adds a fault for each number that is infinite or not a number."""
    if isinstance(value, float) and not math.isfinite(value):
        faults.append(Fault(path, describe(value), "a finite number"))
    if isinstance(value, dict):
        for name, item in value.items():
            _find_endless_numbers(item, (*path, name), faults)
    if isinstance(value, list):
        for index, item in enumerate(value):
            _find_endless_numbers(item, (*path, index), faults)
