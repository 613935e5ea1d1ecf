"""Differences between two documents, field by field.

A document holds no null, so None stands for a field that is absent.
"""

import copy
import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from cuminwall import document
from cuminwall.document import Document
from cuminwall.redaction import HIDDEN, SECRET_FIELDS, redact


class Difference(NamedTuple):
    """One field that differs.

    Attributes:
      path: The names from the root to the field; a rule or an open route
        goes by `document.item_name`.
      before: The value before, or None.
      after: The value after, or None.
    """

    path: tuple[str, ...]
    before: Any
    after: Any

    def __str__(self) -> str:
        place = ".".join(self.path)
        return f"{place}: {_shown(self.before)} -> {_shown(self.after)}"


def _shown(value: Any) -> str:
    """Returns a value as one line of text."""
    if value is None:
        return "(absent)"
    return json.dumps(value, ensure_ascii=False, sort_keys=True)


def diff(before: Document, after: Document) -> tuple[Difference, ...]:
    """Returns what differs between two normal documents."""
    found = _walk((), _by_name(before), _by_name(after))
    return tuple(found)


def _walk(
    path: tuple[str, ...], before: Any, after: Any
) -> Iterator[Difference]:
    """Yields the differences below `path`."""
    if not isinstance(before, dict) or not isinstance(after, dict):
        if not _is_same(before, after):
            yield Difference(path, before, after)
        return
    for name in sorted(before.keys() | after.keys()):
        yield from _walk((*path, name), before.get(name), after.get(name))


def _is_same(before: Any, after: Any) -> bool:
    """Returns whether two values are written alike; 1 and 1.0 are not."""
    return _shown(before) == _shown(after)


def apply(value: Document, differences: Iterable[Difference]) -> Document:
    """Returns the document with the differences applied."""
    root = copy.deepcopy(_by_name(value))
    for difference in differences:
        place = root
        for name in difference.path[:-1]:
            place = place[name]
        name = difference.path[-1]
        if difference.after is None:
            place.pop(name, None)
            continue
        place[name] = difference.after
    return _from_names(root)


def _by_name(value: Document) -> dict[str, Any]:
    """Returns the document with its lists turned into mappings."""
    root: dict[str, Any] = dict(value)
    for section in document.LISTED_SECTIONS:
        items = {}
        for item in root[section]:
            items[document.item_name(item)] = item
        root[section] = items
    return root


def _from_names(root: dict[str, Any]) -> Document:
    """Returns the document of which `_by_name` gave `root`."""
    value = dict(root)
    for section in document.LISTED_SECTIONS:
        value[section] = list(root[section].values())
    return document.normalize(value)


def hide_secrets(difference: Difference) -> Difference:
    """Returns the difference with the secrets in it hidden."""
    if difference.path[-1] not in SECRET_FIELDS:
        before = redact(difference.before)
        return Difference(difference.path, before, redact(difference.after))
    before = None if difference.before is None else HIDDEN
    after = None if difference.after is None else HIDDEN
    return Difference(difference.path, before, after)
