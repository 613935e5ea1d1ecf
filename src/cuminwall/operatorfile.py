"""The file in which an operator stores or edits the document.

It holds the document and, as `base_version`, the version that it was made
from, so that a conflicting change by another operator is detected.
"""

import json
from typing import Any, NamedTuple

from cuminwall import document, jsontext
from cuminwall.document import Document
from cuminwall.faults import Fault, describe
from cuminwall.redaction import redact

BASE_VERSION = "base_version"
INDENT = 2


class OperatorFile(NamedTuple):
    """The content of a valid file.

    Attributes:
      document: The document.
      base_version: The version that it was made from; 0 means none.
    """

    document: Document
    base_version: int


def read(text: str) -> OperatorFile | list[Fault]:
    """Returns the content of a file, or every fault in it."""
    source = jsontext.read(text)
    if isinstance(source, list):
        return source
    value = source.value
    found: list[Fault] = []
    base_version: Any = 0
    if isinstance(value, dict):
        value = dict(value)
        base_version = value.pop(BASE_VERSION, 0)
        if type(base_version) is not int or base_version < 0:
            description = describe(base_version)
            expected = "a version, a whole number"
            found.append(Fault((BASE_VERSION,), description, expected))
    checked = document.check(value)
    if isinstance(checked, list):
        return found + checked
    return found or OperatorFile(checked, base_version)


def write(value: Document, version: int, with_secrets: bool) -> str:
    """Returns the text of a file that holds a document.

    Args:
      value: The document.
      version: Its version.
      with_secrets: Whether passwords are included; a file in which they are
        hidden is refused when it is applied.
    """
    content: dict[str, Any] = dict(value) if with_secrets else redact(value)
    for section in document.MAPPED_SECTIONS:
        content[section] = dict(sorted(content[section].items()))
    return json.dumps(
        {BASE_VERSION: version, **content}, indent=INDENT, ensure_ascii=False
    )
