"""Compare-and-swap of JSON values whose answer may be lost.

Each value carries the `write_id` of the swap that wrote it. When a swap gave
no usable answer the key is read back, and what stands there decides:

* The value has our write_id: the swap took effect.
* The revision is no longer the expected one and the value is another's: our
  swap can't take effect any more, since it compares on the revision. It may
  have taken effect before the other one replaced it; that is `Overtaken`.
* The revision is still the expected one: this proves nothing. The request may
  still be under way and take effect after the read. Only the same swap, with
  the same write_id and expected revision, may be tried again: at most one of
  the copies can find the expected revision, and the other's conflict shows our
  write_id. Anything else must wait until one of the copies is settled.

A revision never comes back, except 0, which means that there is no key. A key
first written by a swap from revision 0 and then deleted could be written once
more by a late copy. So such a key is either never deleted, or bound to a lease:
the store refuses a late copy whose lease has ended.
"""

import asyncio
import json
from typing import Any, NamedTuple

from cuminwall import exceptions, ports

WRITE_ID = "write_id"
READ_TRIES = 3
READ_PAUSE_S = 0.2


class Unclear(NamedTuple):
    """Whether the swap took effect, or will, is not known.

    Attributes:
      reason: A short stable name, for logs and metrics.
    """

    reason: str


NOT_READ_BACK = Unclear("not_read_back")
STILL_EXPECTED = Unclear("still_expected")


class Superseded(ports.SwapConflict):
    """A conflict in which our swap may have stood for a while.

    It won't take effect any more. Whoever has to tell somebody that the
    change was never in force must not do so on this answer.
    """

    __slots__ = ()


async def swap_with_id(
    store: ports.StorePort,
    key: str,
    expected_revision: int,
    body: dict[str, Any],
    write_id: str,
    lease_id: int = 0,
    repeated: bool = False,
    read_tries: int = READ_TRIES,
    read_pause_s: float = READ_PAUSE_S,
) -> ports.Swapped | ports.SwapConflict | Unclear:
    """Swaps a JSON value, and reads back when the answer is lost.

    Args:
      store: The store.
      key: The key.
      expected_revision: The revision that the key must have, 0 for none.
      body: The value without its write_id.
      write_id: Unique to this change; the same when it is tried again.
      lease_id: The lease to which the key is bound, or 0.
      repeated: Whether a copy of this very swap was sent before, by whomever.
      read_tries: How often at most to read back.
      read_pause_s: The pause before each further reading, in seconds.

    Returns:
      Swapped at the revision that our value has; SwapConflict if it did not
      take effect and won't; Overtaken if it may have but no longer stands;
      Unclear if the same swap has to be tried again or given up as unknown.
    """
    value = encode_body(body, write_id)
    try:
        answer = await store.swap(key, expected_revision, value, lease_id)
    except exceptions.StoreUnavailableError:
        return await _read_back(
            store, key, expected_revision, write_id, read_tries, read_pause_s
        )
    if isinstance(answer, ports.SwapConflict):
        return _judge_conflict(answer, write_id, repeated)
    return answer


def encode_body(body: dict[str, Any], write_id: str) -> bytes:
    """Returns the value to store."""
    return json.dumps(body | {WRITE_ID: write_id}, sort_keys=True).encode()


def read_write_id(value: bytes) -> str | None:
    """Returns the write_id of a stored value, or None if it has none."""
    try:
        body = json.loads(value)
    except ValueError:
        return None
    if not isinstance(body, dict):
        return None
    write_id = body.get(WRITE_ID)
    return write_id if isinstance(write_id, str) else None


def _judge_conflict(
    conflict: ports.SwapConflict, write_id: str, repeated: bool
) -> ports.Swapped | ports.SwapConflict:
    """Tells a conflict with another from one with an earlier copy of ours."""
    current = conflict.current
    if current is not None and read_write_id(current.value) == write_id:
        return ports.Swapped(current.revision)
    if repeated:
        return Superseded(current)
    return conflict


async def _read_back(
    store: ports.StorePort,
    key: str,
    expected_revision: int,
    write_id: str,
    read_tries: int,
    read_pause_s: float,
) -> ports.Swapped | ports.SwapConflict | Unclear:
    verdict: ports.Swapped | ports.SwapConflict | Unclear = NOT_READ_BACK
    for attempt in range(read_tries):
        if attempt:
            await asyncio.sleep(read_pause_s)
        try:
            current = await store.get(key)
        except exceptions.StoreUnavailableError:
            continue
        verdict = judge_reading(current, expected_revision, write_id)
        if verdict is not STILL_EXPECTED:
            return verdict
    return verdict


def judge_reading(
    current: ports.StoreEntry | None, expected_revision: int, write_id: str
) -> ports.Swapped | ports.SwapConflict | Unclear:
    """Returns what a reading after an unclear swap proves."""
    if current is not None and read_write_id(current.value) == write_id:
        return ports.Swapped(current.revision)
    revision = current.revision if current is not None else 0
    if revision == expected_revision:
        return STILL_EXPECTED
    return Superseded(current)
