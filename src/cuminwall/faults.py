"""Faults in settings and documents, all collected in one pass.

A fault names the place, what stands there and what should stand there, so
that an operator can mend a file without guessing.
"""

import json
from collections.abc import Iterable
from typing import Any, NamedTuple

from jsonschema import protocols
from jsonschema.exceptions import ValidationError

from cuminwall.redaction import SECRET_FIELDS, redact

FOUND_LIMIT_CHARS = 60
NOTHING = "nothing"

Path = tuple[str | int, ...]


class Fault(NamedTuple):
    """One fault.

    Attributes:
      path: The keys and indexes from the root to the place.
      found: What stands there, shortened.
      expected: What should stand there.
    """

    path: Path
    found: str
    expected: str

    def __str__(self) -> str:
        place = format_path(self.path)
        return f"{place}: found {self.found}, expected {self.expected}"


def format_path(path: Path) -> str:
    """Returns `path` as text, such as `rules[2].max_age_s`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
            continue
        text += f".{part}" if text else part
    return text or "(the whole)"


def describe(value: Any, path: Path = ()) -> str:
    """Returns `value` as short JSON text; a secret is not shown."""
    if path and path[-1] in SECRET_FIELDS:
        return "a value that is not shown"
    if isinstance(value, dict) and len(value) > 3:
        return f"an object of {len(value)} fields"
    if isinstance(value, list) and len(value) > 3:
        return f"a list of {len(value)} items"
    text = json.dumps(redact(value), ensure_ascii=False)
    if len(text) > FOUND_LIMIT_CHARS:
        return text[:FOUND_LIMIT_CHARS] + "..."
    return text


def collect(validator: protocols.Validator, value: Any) -> list[Fault]:
    """Returns every fault that the schema finds in `value`, by place."""
    faults: list[Fault] = []
    for error in validator.iter_errors(value):
        faults.extend(_from_error(error))
    return sort_distinct(faults)


def sort_distinct(faults: Iterable[Fault]) -> list[Fault]:
    """Returns the faults ordered by place, each once."""
    return sorted(set(faults), key=_order)


def _order(fault: Fault) -> tuple[str, str, str]:
    """Returns the key by which faults are ordered."""
    return format_path(fault.path), fault.found, fault.expected


def _from_error(error: ValidationError) -> list[Fault]:
    """Returns the faults of one schema error."""
    path = tuple(error.absolute_path)
    if "propertyNames" in error.absolute_schema_path:
        found = describe(error.instance)
        expected = "a name that is " + _expected(error)
        return [Fault((*path, str(error.instance)), found, expected)]
    if error.validator == "additionalProperties":
        return _unknown_fields(error, path)
    if error.validator == "required":
        return _missing_fields(error, path)
    found = describe(error.instance, path)
    return [Fault(path, found, _expected(error))]


def _unknown_fields(error: ValidationError, path: Path) -> list[Fault]:
    """Returns one fault for each field that the schema does not know."""
    schema: Any = error.schema
    instance: Any = error.instance
    known = schema.get("properties", {})
    expected = "no such field; known are " + ", ".join(sorted(known))
    faults = []
    for name in instance.keys() - known.keys():
        place = (*path, name)
        found = describe(instance[name], place)
        faults.append(Fault(place, found, expected))
    return faults


def _missing_fields(error: ValidationError, path: Path) -> list[Fault]:
    """Returns one fault for each required field that is missing."""
    schema: Any = error.schema
    instance: Any = error.instance
    required: Any = error.validator_value
    faults = []
    for name in required:
        if name in instance:
            continue
        field = schema.get("properties", {}).get(name, {})
        expected = "a value"
        if "type" in field:
            expected = _expected_type(field, field["type"])
        faults.append(Fault((*path, name), NOTHING, expected))
    return faults


def _expected(error: ValidationError) -> str:
    """Returns in words what the failed check asks for."""
    schema: Any = error.schema
    wanted: Any = error.validator_value
    match error.validator:
        case "type":
            return _expected_type(schema, wanted)
        case "enum":
            return "one of " + ", ".join(json.dumps(item) for item in wanted)
        case "minimum":
            return f"at least {wanted}"
        case "exclusiveMinimum":
            return f"more than {wanted}"
        case "maximum":
            return f"at most {wanted}"
        case "minLength" | "minItems" | "minProperties":
            return f"at least {wanted} of them"
        case "uniqueItems":
            return "each item once"
        case _:
            return schema.get("description", error.message)


def _expected_type(schema: Any, name: str) -> str:
    """Returns a JSON type in words, with the schema's own description."""
    article = "an" if name[0] in "aeiou" else "a"
    text = f"{article} {name}"
    description = schema.get("description")
    return f"{text}: {description}" if description else text
