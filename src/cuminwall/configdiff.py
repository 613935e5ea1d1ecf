"""Differences between two documents, field by field.

Documents contain no null, so None represents an absent field.
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
        is identified by its `document.item_name`.
      before: The value before, or None.
      after: The value after, or None.
    """

    path: tuple[str, ...]
    before: Any
    after: Any

    def __str__(self) -> str:
        path = ".".join(self.path)
        return f"{path}: {_format(self.before)} -> {_format(self.after)}"


def _format(value: Any) -> str:
    """Returns a value as one line of text."""
    if value is None:
        return "(absent)"
    return json.dumps(value, ensure_ascii=False, sort_keys=True)


def diff(before: Document, after: Document) -> tuple[Difference, ...]:
    """Returns the differences between two normalized documents."""
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
    """Returns whether two values have the same text; 1 and 1.0 differ."""
    return _format(before) == _format(after)


def apply(value: Document, differences: Iterable[Difference]) -> Document:
    """Returns the document with the differences applied."""
    root = copy.deepcopy(_by_name(value))
    for difference in differences:
        parent = root
        for name in difference.path[:-1]:
            parent = parent[name]
        name = difference.path[-1]
        if difference.after is None:
            parent.pop(name, None)
            continue
        parent[name] = difference.after
    return _from_names(root)


def _by_name(value: Document) -> dict[str, Any]:
    """Returns the document with its lists as mappings by item name."""
    root: dict[str, Any] = dict(value)
    for section in document.LISTED_SECTIONS:
        items = {}
        for item in root[section]:
            items[document.item_name(item)] = item
        root[section] = items
    return root


def _from_names(root: dict[str, Any]) -> Document:
    """Returns the document from the result of `_by_name`."""
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
