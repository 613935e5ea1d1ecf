"""Splits the document into parts, so that small changes move little data.

Each section is partitioned into a fixed number of buckets by a hash of the
item's name; rules and open routes are hashed by their service. Readers use
whichever parts the head names, so the numbers of buckets may change between
releases.
"""

import hashlib
import json
from collections.abc import Iterable
from typing import Any

from cuminwall import document
from cuminwall.document import Document

BUCKETS = {
    "zones": 1,
    "workspaces": 64,
    "services": 256,
    "keys": 256,
    "rules": 64,
    "open_routes": 16,
}
DIGEST_CHARS = 32


def digest(text: bytes) -> str:
    """Returns the digest of a part's text."""
    return hashlib.sha256(text).hexdigest()[:DIGEST_CHARS]


def part_name(section: str, name: str) -> str:
    """Returns the name of the part that holds the item `name`."""
    number = int.from_bytes(hashlib.sha256(name.encode()).digest()[:4], "big")
    return f"{section}/{number % BUCKETS[section]:02x}"


def split(value: Document) -> dict[str, bytes]:
    """Returns the text of each part that is not empty, by the part's name."""
    contents: dict[str, Any] = {}
    sections: Any = value
    for section in document.MAPPED_SECTIONS:
        for name, item in sections[section].items():
            part = contents.setdefault(part_name(section, name), {})
            part[name] = item
    for section in document.LISTED_SECTIONS:
        for item in sections[section]:
            name = part_name(section, item["service"])
            contents.setdefault(name, []).append(item)
    return {name: encode(content) for name, content in contents.items()}


def join(parts: Iterable[tuple[str, Any]]) -> Document:
    """Returns the document of the parts, each a name and a decoded content.

    The items are not copied, so that a reader can detect by identity which
    of them did not change.
    """
    joined: dict[str, Any] = dict(document.empty())
    for name, content in parts:
        section = name.partition("/")[0]
        if section in document.LISTED_SECTIONS:
            joined[section].extend(content)
            continue
        joined[section].update(content)
    return document.normalize(joined)


def encode(content: Any) -> bytes:
    """Returns the canonical text of a part's content."""
    return json.dumps(
        content, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    ).encode()


def decode(text: bytes) -> Any:
    """Returns the content of a part's text."""
    return json.loads(text)
