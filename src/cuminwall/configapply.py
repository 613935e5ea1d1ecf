"""How a document is put in force in the platform's store.

A change first writes the parts that differ, under keys of its own, and then
swaps the head. Before the swap nothing is in force, after it everything is.
"""

import asyncio
import functools
from collections.abc import Mapping
from typing import Any, NamedTuple

from cuminwall import confighead, configparts, configstore, document
from cuminwall.configdiff import diff
from cuminwall.confighead import Change, Head
from cuminwall.configstore import retry
from cuminwall.document import Document
from cuminwall.exceptions import StoreUnavailableError
from cuminwall.faults import Fault
from cuminwall.ports import StorePort, SwapConflict

MAX_VALUE_BYTES = 1_000_000
KEPT_VERSIONS = 200
MAX_TRIMMED_AT_ONCE = 4
MAX_CHANGES_SHOWN = 20


class Applied(NamedTuple):
    """The document is in force from `version` on."""

    version: int


class Conflict(NamedTuple):
    """Nothing was applied: another change came first.

    Attributes:
      version: The version in force.
      author: Who made it.
      changes: What changed since the version that the document is based on,
        oldest first, as far as the history is kept.
    """

    version: int
    author: str
    changes: tuple[Change, ...]


class Refused(NamedTuple):
    """Nothing was applied: the document has faults."""

    faults: list[Fault]


class StoreUnavailable(NamedTuple):
    """The store gave no answer.

    Attributes:
      may_be_applied: Whether the change may have taken effect all the same.
    """

    may_be_applied: bool


ApplyResult = Applied | Conflict | Refused | StoreUnavailable


class ChangeMetadata(NamedTuple):
    """Where a change comes from.

    Attributes:
      base_version: The version that the document was made from.
      author: Who makes the change.
      write_id: A new id of letters and digits, never used before.
      time_s: The time in seconds since 1970, for the history.
    """

    base_version: int
    author: str
    write_id: str
    time_s: float


class _Plan(NamedTuple):
    """A change that is ready to be written.

    Attributes:
      revision: The store revision of the head that it replaces.
      current: That head.
      head: The new head.
      texts: The texts of the new parts by key.
    """

    revision: int
    current: Head
    head: Head
    texts: Mapping[str, bytes]


async def apply(
    store: StorePort, value: Any, origin: ChangeMetadata
) -> ApplyResult:
    """Puts a document, not yet checked, in force or tells why not."""
    checked = document.check(value)
    if isinstance(checked, list):
        return Refused(checked)
    texts = configparts.split(checked)
    faults = _check_sizes(texts)
    if faults:
        return Refused(faults)
    try:
        current, revision = await configstore.read_head(store)
        references = _make_references(texts, current, origin.write_id)
        if references == current.references:
            return Applied(current.version)
        if origin.base_version != current.version:
            return await _changed_by(store, current, origin.base_version)
        new_texts = _new_texts(texts, current, references)
        change = await _make_change(
            store, current, references, new_texts, origin
        )
        oldest = await _trim_history(store, current)
        head = Head(change, references, oldest)
        plan = _Plan(revision, current, head, new_texts)
        await _write_parts(store, plan)
    except StoreUnavailableError:
        return StoreUnavailable(may_be_applied=False)
    return await _swap_head(store, plan)


def _check_sizes(texts: Mapping[str, bytes]) -> list[Fault]:
    """Returns a fault for each part that is too large for the store."""
    faults = []
    for name, text in texts.items():
        if len(text) <= MAX_VALUE_BYTES:
            continue
        section = name.partition("/")[0]
        expected = f"parts of at most {MAX_VALUE_BYTES} bytes"
        found = f"a part {name} of {len(text)} bytes"
        faults.append(Fault((section,), found, expected))
    return faults


def _make_references(
    texts: Mapping[str, bytes], current: Head, write_id: str
) -> dict[str, str]:
    """Returns the references of all parts; an equal part keeps its own."""
    references = {}
    for name, text in texts.items():
        reference = confighead.make_reference(text, write_id)
        old = current.references.get(name, "")
        if confighead.digest_of(old) == confighead.digest_of(reference):
            reference = old
        references[name] = reference
    return references


def _new_texts(
    texts: Mapping[str, bytes], current: Head, references: Mapping[str, str]
) -> dict[str, bytes]:
    """Returns the texts of the parts that `current` does not name, by key."""
    new_texts = {}
    for name, reference in references.items():
        if current.references.get(name) != reference:
            key = confighead.part_key(name, reference)
            new_texts[key] = texts[name]
    return new_texts


async def _make_change(
    store: StorePort,
    current: Head,
    references: Mapping[str, str],
    new_texts: Mapping[str, bytes],
    origin: ChangeMetadata,
) -> Change:
    """Returns the change from `current` to the new parts."""
    dropped = {}
    for name, reference in current.references.items():
        if references.get(name) != reference:
            dropped[confighead.part_key(name, reference)] = name
    names = {**dropped}
    for name, reference in references.items():
        names[confighead.part_key(name, reference)] = name
    old_texts = await configstore.read_values(store, sorted(dropped))
    return confighead.make_change(
        current.version + 1,
        origin.author,
        origin.time_s,
        origin.write_id,
        diff(_join(old_texts, names), _join(new_texts, names)),
        tuple(sorted(dropped)),
    )


def _join(texts: Mapping[str, bytes], names: Mapping[str, str]) -> Document:
    """Returns the document of some parts, given by key."""
    parts = []
    for key, text in texts.items():
        parts.append((names[key], configparts.decode(text)))
    return configparts.join(parts)


async def _trim_history(store: StorePort, current: Head) -> int:
    """Deletes history that is too old; returns the oldest version kept.

    What a version dropped is deleted with the version's history, so a reader
    has as long as that to finish reading an older version.
    """
    end = current.version - KEPT_VERSIONS
    oldest = current.oldest
    for version in range(oldest, min(end, oldest + MAX_TRIMMED_AT_ONCE)):
        key = confighead.history_key(version)
        values = await configstore.read_values(store, [key])
        if key in values:
            change = confighead.decode_change(values[key])
            await _delete(store, [*change.dropped, key])
        oldest = version + 1
    return oldest


async def _delete(store: StorePort, keys: list[str]) -> None:
    """Deletes values that nothing names any more, in the given order."""
    for key in keys:
        await retry(functools.partial(_delete_one, store, key))


async def _delete_one(store: StorePort, key: str) -> None:
    """Deletes a value unless it is gone already.

    A conflict means that another operator's tool deleted it first.
    """
    entry = await store.get(key)
    if entry is not None:
        await store.swap(key, entry.revision, None)


async def _write_parts(store: StorePort, plan: _Plan) -> None:
    """Writes the new parts and the history of the version to be replaced.

    A conflict means that the value stands there already: the keys of parts
    hold the id of this write, and the history of a version has one content.
    """
    values = dict(plan.texts)
    if plan.current.version:
        key = confighead.history_key(plan.current.version)
        values[key] = confighead.encode_change(plan.current.change)
    gate = asyncio.Semaphore(configstore.PARALLEL_CALLS)

    async def write(key: str, text: bytes) -> None:
        async with gate:
            await retry(lambda: store.swap(key, 0, text))

    await asyncio.gather(*(write(key, text) for key, text in values.items()))


async def _swap_head(store: StorePort, plan: _Plan) -> ApplyResult:
    """Puts the new head in force, also when an answer is lost.

    The swap may be repeated: it names the revision that it replaces, and what
    stands there afterwards tells whose write it was.
    """
    text = confighead.encode_head(plan.head)
    try:
        answer = await retry(
            lambda: store.swap(confighead.HEAD_KEY, plan.revision, text)
        )
        if not isinstance(answer, SwapConflict):
            return Applied(plan.head.version)
        current, _ = configstore.decode_head_entry(answer.current)
        write_id = await _find_write_id(store, current, plan.head.version)
    except StoreUnavailableError:
        return StoreUnavailable(may_be_applied=True)
    if write_id == plan.head.change.write_id:
        return Applied(plan.head.version)
    try:
        await _delete(store, list(plan.texts))
        return await _changed_by(store, current, plan.current.version)
    except StoreUnavailableError:
        return StoreUnavailable(may_be_applied=False)


async def _find_write_id(store: StorePort, current: Head, version: int) -> str:
    """Returns the id of the write that made `version`.

    Raises:
      StoreUnavailableError: The store does not tell.
    """
    if current.version <= version:
        return current.change.write_id
    # Whoever replaces a version writes its history first.
    changes = await configstore.read_changes(store, current, version, version)
    if not changes:
        raise StoreUnavailableError(f"the history of {version} is not kept")
    return changes[0].write_id


async def _changed_by(
    store: StorePort, current: Head, base_version: int
) -> Conflict:
    """Returns what changed after `base_version`."""
    first = max(base_version + 1, current.version - MAX_CHANGES_SHOWN + 1)
    changes = await configstore.read_changes(
        store, current, first, current.version
    )
    author = current.change.author
    return Conflict(current.version, author, tuple(changes))
