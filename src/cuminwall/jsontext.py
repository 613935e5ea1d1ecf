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

    A duplicate name in an object and a number that is not finite are faults.
    """
    try:
        value = _decode(text)
    except (ValueError, RecursionError) as error:
        return [Fault((), str(error), "JSON with comments")]
    faults: list[Fault] = []
    _find_non_finite_numbers(value, (), faults)
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


def _find_non_finite_numbers(
    value: Any, path: Path, faults: list[Fault]
) -> None:
    """Adds a fault for each number that is infinite or not a number."""
    if isinstance(value, float) and not math.isfinite(value):
        faults.append(Fault(path, describe(value), "a finite number"))
    if isinstance(value, dict):
        for name, item in value.items():
            _find_non_finite_numbers(item, (*path, name), faults)
    if isinstance(value, list):
        for index, item in enumerate(value):
            _find_non_finite_numbers(item, (*path, index), faults)
