"""The head, which is the store value that selects the configuration in force.

The head names each part by a reference: the part's digest and the id of the
write that made it. References are therefore unique, and a part that a later
head dropped is never referenced again and can be deleted.
"""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from cuminwall import configparts
from cuminwall.configdiff import Difference, hide_secrets
from cuminwall.document import Document

PREFIX = "/cuminwall/config/"
HEAD_KEY = PREFIX + "head"
MAX_DIFFERENCES = 200
MAX_DIFFERENCES_CHARS = 50_000


class Change(NamedTuple):
    """What one version changed.

    Attributes:
      version: The version that the change created.
      author: Who made it.
      time_s: When, in seconds since 1970, by the author's clock.
      write_id: The id of the write.
      differences: What changed, without secrets.
      omitted: How many further differences are not listed.
      dropped: The keys of the parts that this version replaced.
    """

    version: int
    author: str
    time_s: float
    write_id: str
    differences: tuple[Difference, ...]
    omitted: int
    dropped: tuple[str, ...]


class Head(NamedTuple):
    """Which version is in force and where its parts are.

    Attributes:
      change: The change that created this version.
      references: The reference of each part by the part's name.
      oldest: The oldest version whose history may still be kept.
    """

    change: Change
    references: Mapping[str, str]
    oldest: int

    @property
    def version(self) -> int:
        """The version in force; 0 when there is none yet."""
        return self.change.version


NO_CHANGE = Change(0, "", 0.0, "", (), 0, ())
NO_HEAD = Head(NO_CHANGE, {}, 1)


class Snapshot(NamedTuple):
    """A configuration as it was read from the store.

    Attributes:
      head: Its head.
      texts: The text of each part by the part's key.
      contents: The decoded content of each part by the part's key.
      document: The document.
    """

    head: Head
    texts: Mapping[str, bytes]
    contents: Mapping[str, Any]
    document: Document


def make_reference(text: bytes, write_id: str) -> str:
    """Returns the reference of a part that the write `write_id` creates."""
    return f"{configparts.digest(text)}-{write_id}"


def digest_of(reference: str) -> str:
    """Returns the digest in a reference."""
    return reference.partition("-")[0]


def part_key(name: str, reference: str) -> str:
    """Returns the store's key of a part."""
    return f"{PREFIX}parts/{name}/{reference}"


def history_key(version: int) -> str:
    """Returns the store's key of the history of `version`."""
    return f"{PREFIX}history/{version:012d}"


def make_change(
    version: int,
    author: str,
    time_s: float,
    write_id: str,
    differences: tuple[Difference, ...],
    dropped: tuple[str, ...],
) -> Change:
    """Returns a change; only the first differences if they exceed a bound."""
    listed: list[Difference] = []
    size_chars = 0
    for difference in differences[:MAX_DIFFERENCES]:
        hidden = hide_secrets(difference)
        size_chars += len(str(hidden))
        if size_chars > MAX_DIFFERENCES_CHARS:
            break
        listed.append(hidden)
    omitted = len(differences) - len(listed)
    return Change(
        version, author, time_s, write_id, tuple(listed), omitted, dropped
    )


def encode_head(head: Head) -> bytes:
    """Returns the text of a head."""
    return configparts.encode(
        {
            "change": head.change._asdict(),
            "parts": head.references,
            "oldest": head.oldest,
        }
    )


def decode_head(text: bytes) -> Head:
    """Returns the head of a text."""
    value = json.loads(text)
    change = _decode_change(value["change"])
    return Head(change, value["parts"], value["oldest"])


def encode_change(change: Change) -> bytes:
    """Returns the text of a history entry."""
    return configparts.encode(change._asdict())


def decode_change(text: bytes) -> Change:
    """Returns the change of a history entry."""
    return _decode_change(json.loads(text))


def _decode_change(value: dict[str, Any]) -> Change:
    """Returns the change of a decoded value."""
    differences = []
    for path, before, after in value["differences"]:
        differences.append(Difference(tuple(path), before, after))
    fields = {
        **value,
        "differences": tuple(differences),
        "dropped": tuple(value["dropped"]),
    }
    return Change(**fields)


def missing_parts(head: Head, known: Mapping[str, Any]) -> dict[str, str]:
    """Returns the names of the parts of `head` not in `known`, by key."""
    missing = {}
    for name, reference in head.references.items():
        key = part_key(name, reference)
        if key not in known:
            missing[key] = name
    return missing


def assemble(
    head: Head, texts: Mapping[str, bytes], previous: Snapshot | None
) -> Snapshot | None:
    """Returns the configuration of `head`.

    Returns None when a part is missing or does not match its digest.

    Args:
      head: The head.
      texts: The texts of the parts that `previous` does not hold, by key.
      previous: An earlier configuration, whose unchanged parts are reused.
    """
    all_texts = {}
    contents = {}
    parts = []
    for name, reference in sorted(head.references.items()):
        key = part_key(name, reference)
        if previous is not None and key in previous.contents:
            all_texts[key] = previous.texts[key]
            contents[key] = previous.contents[key]
        else:
            text = texts.get(key, b"")
            if configparts.digest(text) != digest_of(reference):
                return None
            all_texts[key] = text
            contents[key] = configparts.decode(text)
        parts.append((name, contents[key]))
    return Snapshot(head, all_texts, contents, configparts.join(parts))
