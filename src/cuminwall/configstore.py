"""How the configuration is read from the platform's store.

The head names the parts; a reader that holds an earlier version reads the
head and the parts that differ.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from cuminwall import confighead
from cuminwall.confighead import Change, Head, Snapshot
from cuminwall.exceptions import StoreUnavailableError
from cuminwall.ports import StoreEntry, StorePort, ValueReader

MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.2
PARALLEL_CALLS = 16

Answer = TypeVar("Answer")


async def retry(call: Callable[[], Awaitable[Answer]]) -> Answer:
    """Returns the answer of a call that may be repeated.

    Raises:
      StoreUnavailableError: No attempt was answered.
    """
    for attempt in range(1, MAX_ATTEMPTS):
        try:
            return await call()
        except StoreUnavailableError:
            await asyncio.sleep(RETRY_PAUSE_S * attempt)
    return await call()


async def read_head(store: ValueReader) -> tuple[Head, int]:
    """Returns the head in force and its store revision.

    Raises:
      StoreUnavailableError: The store gave no answer.
    """
    entry = await retry(lambda: store.get(confighead.HEAD_KEY))
    return decode_head_entry(entry)


def decode_head_entry(entry: StoreEntry | None) -> tuple[Head, int]:
    """Returns the head of an entry and its revision."""
    if entry is None:
        return confighead.NO_HEAD, 0
    return confighead.decode_head(entry.value), entry.revision


async def load(store: ValueReader) -> Snapshot:
    """Returns the configuration in force.

    Raises:
      StoreUnavailableError: The store gave no usable answer.
    """
    return await load_changed(store, None)


async def load_changed(
    store: ValueReader, previous: Snapshot | None
) -> Snapshot:
    """Returns the configuration in force, reading only what is new.

    Raises:
      StoreUnavailableError: The store gave no usable answer.
    """
    # A part that is gone was replaced while this read ran: the head tells.
    for _ in range(MAX_ATTEMPTS):
        head, _ = await read_head(store)
        known = {} if previous is None else previous.contents
        missing = confighead.missing_parts(head, known)
        texts = await read_values(store, list(missing))
        snapshot = confighead.assemble(head, texts, previous)
        if snapshot is not None:
            return snapshot
    raise StoreUnavailableError("a part of the configuration is missing")


async def read_values(store: ValueReader, keys: list[str]) -> dict[str, bytes]:
    """Returns the values of the keys that exist, several read at a time."""
    values = {}
    gate = asyncio.Semaphore(PARALLEL_CALLS)

    async def read(key: str) -> None:
        async with gate:
            entry = await retry(lambda: store.get(key))
        if entry is not None:
            values[key] = entry.value

    await asyncio.gather(*(read(key) for key in keys))
    return values


async def read_changes(
    store: StorePort, current: Head, first: int, last: int
) -> list[Change]:
    """Returns the changes from `first` to `last` that are kept, in order."""
    first = max(first, current.oldest)
    keys = []
    for version in range(first, min(last, current.version - 1) + 1):
        keys.append(confighead.history_key(version))
    values = await read_values(store, keys)
    changes = []
    for key in keys:
        if key in values:
            changes.append(confighead.decode_change(values[key]))
    if first <= current.version <= last:
        changes.append(current.change)
    return changes


async def read_history(store: StorePort, count: int) -> list[Change]:
    """Returns the last `count` changes that are kept, oldest first.

    Raises:
      StoreUnavailableError: The store gave no answer.
    """
    current, _ = await read_head(store)
    if not current.version:
        return []
    first = current.version - count + 1
    return await read_changes(store, current, first, current.version)
