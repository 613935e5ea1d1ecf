"""Compare-and-swap of JSON values when the answer may be lost.

Each value contains the `write_id` of the swap that wrote it. If a swap got no
usable answer, the key is read back:

* The value has our write_id: the swap took effect.
* The revision has changed and the value has another write_id: our swap can no
  longer take effect, since it compares the revision. It may have taken effect
  before another write replaced it; that is `Superseded`.
* The revision is still the expected one: this proves nothing. The request may
  still be in transit and take effect after the read. Only the same swap, with
  the same write_id and expected revision, may be retried: at most one of the
  copies can find the expected revision, and the conflict of the other shows our
  write_id. Any other write must wait until the outcome of one copy is known.

Revisions are never reused, except 0, which means that there is no key. A key
first written by a swap from revision 0 and then deleted could be written again
by a delayed copy. So such a key is either never deleted, or bound to a lease:
the store refuses a delayed copy whose lease has ended.
"""

import asyncio
import json
from typing import Any, NamedTuple

from cuminwall import exceptions, ports

WRITE_ID = "write_id"
READ_TRIES = 3
READ_PAUSE_S = 0.2


class Unclear(NamedTuple):
    """It is unknown whether the swap took effect or still will.

    Attributes:
      reason: A short stable name, for logs and metrics.
    """

    reason: str


NOT_READ_BACK = Unclear("not_read_back")
STILL_EXPECTED = Unclear("still_expected")


class Superseded(ports.SwapConflict):
    """A conflict in which our swap may have been applied and then replaced.

    It can no longer take effect. This answer does not prove that the change was
    never in force.
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
    """Swaps a JSON value, and reads it back if the answer is lost.

    Args:
      store: The store.
      key: The key.
      expected_revision: The revision that the key must have, 0 for none.
      body: The value without its write_id.
      write_id: Unique to this change; retries use the same one.
      lease_id: The lease to which the key is bound, or 0.
      repeated: Whether any process has sent a copy of this swap before.
      read_tries: The maximum number of times to read back.
      read_pause_s: The pause before each further read, in seconds.

    Returns:
      Swapped with the revision of our value; SwapConflict if the swap did not
      and will not take effect; Superseded if it may have taken effect but has
      been replaced; Unclear if the caller must retry the same swap or treat
      its outcome as unknown.
    """
    value = encode_body(body, write_id)
    try:
        answer = await store.swap(key, expected_revision, value, lease_id)
    except exceptions.StoreUnavailableError:
        return await _read_back(
            store, key, expected_revision, write_id, read_tries, read_pause_s
        )
    if isinstance(answer, ports.SwapConflict):
        return _classify_conflict(answer, write_id, repeated)
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


def _classify_conflict(
    conflict: ports.SwapConflict, write_id: str, repeated: bool
) -> ports.Swapped | ports.SwapConflict:
    """Distinguishes a conflict with an earlier copy of our swap from others."""
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
    outcome: ports.Swapped | ports.SwapConflict | Unclear = NOT_READ_BACK
    for attempt in range(read_tries):
        if attempt:
            await asyncio.sleep(read_pause_s)
        try:
            current = await store.get(key)
        except exceptions.StoreUnavailableError:
            continue
        outcome = _classify_read_back(current, expected_revision, write_id)
        if outcome is not STILL_EXPECTED:
            return outcome
    return outcome


def _classify_read_back(
    current: ports.StoreEntry | None, expected_revision: int, write_id: str
) -> ports.Swapped | ports.SwapConflict | Unclear:
    """Returns what reading back after a lost answer proves about the swap."""
    if current is not None and read_write_id(current.value) == write_id:
        return ports.Swapped(current.revision)
    revision = current.revision if current is not None else 0
    if revision == expected_revision:
        return STILL_EXPECTED
    return Superseded(current)
