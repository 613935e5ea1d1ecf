"""Converts between the document and the rows of the console's forms.

A row represents one item of a section. Its key is the item's name, so that
rows do not depend on the order of a list.
"""

import contextlib
import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from cuminwall import document
from cuminwall.consolesections import (
    NAME_COLUMN,
    NAMES,
    NUMBER,
    STATE,
    Column,
    Section,
)
from cuminwall.document import Document
from cuminwall.faults import Fault, Path, describe

# The key of the row for a new item; no name in the document starts with "+".
NEW_ROW_KEY = "+new"


class Row(NamedTuple):
    """One row of a form.

    Attributes:
      key: The item's name, or `NEW_ROW_KEY`.
      path: The path of the item in the document.
      values: The values of the fields.
      is_deleted: Whether the operator marked it for deletion.
    """

    key: str
    path: Path
    values: Mapping[str, Any]
    is_deleted: bool = False


class SubmittedForm(NamedTuple):
    """A form as the operator submitted it.

    Attributes:
      document: The document with the form's changes, not yet checked.
      rows: The rows of the form, with their paths in that document.
      faults: Faults of rows that could not be put into the document.
    """

    document: Document
    rows: tuple[Row, ...]
    faults: tuple[Fault, ...]


def make_rows(section: Section, value: Document) -> tuple[Row, ...]:
    """Returns a row for each item of the section and one for a new item."""
    rows = []
    for path, key, item in _items(section, value):
        rows.append(Row(key, path, {**_key_values(section, path), **item}))
    rows.append(Row(NEW_ROW_KEY, (), {}))
    return tuple(rows)


def _items(section: Section, value: Any) -> list[tuple[Path, str, Any]]:
    """Returns the path, the name and the content of each item."""
    found: list[tuple[Path, str, Any]] = []
    if section.name == "servers":
        for service, entry in sorted(value["services"].items()):
            for server, item in sorted(entry["servers"].items()):
                path = ("services", service, "servers", server)
                found.append((path, f"{service}/{server}", item))
        return found
    if section.name in document.LISTED_SECTIONS:
        for index, item in enumerate(value[section.name]):
            item_path: Path = (section.name, index)
            found.append((item_path, document.item_name(item), item))
        return found
    for name, item in sorted(value[section.name].items()):
        found.append(((section.name, name), name, item))
    return found


def _key_values(section: Section, path: Path) -> dict[str, Any]:
    """Returns the fields that are part of the item's name."""
    if section.name == "servers":
        return {"service": path[1], NAME_COLUMN: path[3]}
    if section.name in document.LISTED_SECTIONS:
        return {}
    return {NAME_COLUMN: path[-1]}


def apply_form(
    section: Section, base: Document, form: Mapping[str, str]
) -> SubmittedForm:
    """Applies a submitted form to the document that it was made from.

    Args:
      section: The section.
      base: The document from which the form was made.
      form: The fields `KEY|COLUMN`, and `KEY|delete` for a deleted row. An
        item without fields here is not changed.
    """
    value = _copy(section, base)
    rows: list[Row] = []
    deleted: list[Row] = []
    for row in make_rows(section, base)[:-1]:
        if f"{row.key}|delete" in form:
            deleted.append(row._replace(is_deleted=True))
            continue
        changed = _read_row(section, row, form)
        _put(value, changed.path, _content(section, changed))
        rows.append(changed)
    faults: list[Fault] = []
    new = _read_row(section, Row(NEW_ROW_KEY, (), {}), form)
    if _is_filled(section, new):
        new = _add(section, value, new, faults)
    for row in reversed(deleted):
        _remove(value, row.path)
    all_rows = _renumber(section, rows + deleted, new)
    return SubmittedForm(value, all_rows, tuple(faults))


def _copy(section: Section, base: Document) -> Any:
    """Returns a copy of the document in which the section can be modified."""
    value: dict[str, Any] = dict(base)
    top = section.path[0]
    if section.name in document.LISTED_SECTIONS:
        value[top] = list(value[top])
        return value
    value[top] = dict(value[top])
    if section.name == "servers":
        for name, service in value[top].items():
            servers = dict(service["servers"])
            value[top][name] = {**service, "servers": servers}
    return value


def _read_row(section: Section, row: Row, form: Mapping[str, str]) -> Row:
    """Returns the row with the values of the form's fields.

    A field whose text is unchanged keeps its value, so that submitting an
    unmodified form changes nothing.
    """
    values = dict(row.values)
    for column in section.columns:
        text = form.get(f"{row.key}|{column.name}")
        if text is None or (column.is_key and row.key != NEW_ROW_KEY):
            continue
        shown = format_value(column, row.values.get(column.name))
        if shown in (text, text.strip()):
            continue
        text = text.strip()
        if column.is_optional and not text:
            values.pop(column.name, None)
            continue
        values[column.name] = _read_value(column, text)
    return row._replace(values=values)


def _read_value(column: Column, text: str) -> Any:
    """Returns the value of a field; an invalid number stays a string."""
    if column.kind == NAMES:
        return text.replace(",", " ").split()
    if column.kind != NUMBER:
        return text
    for convert in (int, float):
        with contextlib.suppress(ValueError):
            number = convert(text)
            # Infinity and NaN can't be written as JSON.
            is_kept = isinstance(number, int) or math.isfinite(number)
            return number if is_kept else text
    return text


def format_value(column: Column, value: Any) -> str:
    """Returns a value as the text of its field."""
    if value is None:
        # An absent state means serving.
        return document.SERVING if column.kind == STATE else ""
    if column.kind == NAMES and isinstance(value, list):
        return ", ".join(str(item) for item in value)
    return str(value)


def _content(section: Section, row: Row) -> dict[str, Any]:
    """Returns the item of a row."""
    item = dict(row.values)
    for column in section.columns:
        if column.is_key:
            item.pop(column.name, None)
    return item


def _is_filled(section: Section, row: Row) -> bool:
    """Returns whether the operator entered anything in the new item's row."""
    for column in section.columns:
        if column.kind == STATE:
            continue
        if row.values.get(column.name) not in (None, "", []):
            return True
    return False


def _add(section: Section, value: Any, row: Row, faults: list[Fault]) -> Row:
    """Adds a new row to the document; returns the row with its path."""
    item = _content(section, row)
    name = str(row.values.get(NAME_COLUMN, ""))
    if section.name in document.LISTED_SECTIONS:
        value[section.name].append(item)
        return row._replace(path=(section.name, len(value[section.name]) - 1))
    path: tuple[str, ...] = (section.name, name)
    items = value[section.path[0]]
    if section.name == "servers":
        service = str(row.values.get("service", ""))
        path = ("services", service, "servers", name)
        if service not in items:
            expected = "the name of a service of this document"
            field_path = (*path[:3], name, "service")
            faults.append(Fault(field_path, describe(service), expected))
            return row._replace(path=path)
        items = items[service]["servers"]
    if name in items:
        expected = "a name that is not in use"
        faults.append(Fault((*path, NAME_COLUMN), describe(name), expected))
        return row._replace(path=path)
    items[name] = item
    return row._replace(path=path)


def _put(value: Any, path: Path, item: Any) -> None:
    """Sets the item at a path."""
    for part in path[:-1]:
        value = value[part]
    value[path[-1]] = item


def _remove(value: Any, path: Path) -> None:
    """Removes the item at a path."""
    for part in path[:-1]:
        value = value[part]
    del value[path[-1]]


def _renumber(section: Section, rows: list[Row], new: Row) -> tuple[Row, ...]:
    """Returns the rows with their paths after the deleted ones are removed."""
    if section.name not in document.LISTED_SECTIONS:
        return (*rows, new)
    renumbered = []
    index = 0
    for row in rows:
        if row.is_deleted:
            renumbered.append(row._replace(path=()))
            continue
        renumbered.append(row._replace(path=(section.name, index)))
        index += 1
    if new.path:
        new = new._replace(path=(section.name, index))
    return (*renumbered, new)


def field_faults(
    row: Row, column: Column, faults: tuple[Fault, ...]
) -> list[Fault]:
    """Returns the faults of one field of a row."""
    if not row.path:
        return []
    found = []
    depth = len(row.path)
    for fault in faults:
        if fault.path[:depth] != row.path:
            continue
        field = fault.path[depth : depth + 1]
        # A fault of the whole row is shown beside its name.
        if field == (column.name,) or (not field and column.is_key):
            found.append(fault)
    return found
