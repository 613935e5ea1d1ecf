"""Carrying out the reducer's calls of the platform's store."""

import functools
import json
import time
from collections.abc import Callable
from typing import Any

from loguru import logger

from cuminwall import calls, effects, events, exceptions, ports

PREFIX = "store"

StoreEffect = (
    effects.SwapValue
    | effects.GrantStoreLease
    | effects.RenewStoreLease
    | effects.RevokeStoreLease
    | effects.ReadValue
    | effects.ReadPrefix
)
Feed = Callable[[events.Event], None]


class StoreCalls:
    """Sends the reducer's calls to the store.

    Attributes:
      store: The store.
    """

    def __init__(self, store: ports.StorePort):
        self.store = store

    async def perform(self, effect: StoreEffect, feed: Feed) -> None:
        """Makes a call and feeds its answer back; None if unknown."""
        asked_at = time.monotonic()
        answer = None
        try:
            answer = await _call(effect, self.store)
        except exceptions.StoreUnavailableError as error:
            logger.debug("{}: no answer: {}", PREFIX, error)
        if isinstance(effect, effects.RevokeStoreLease):
            return
        now = time.monotonic()
        feed(events.StoreAnswered(now, effect.call, asked_at, answer))


def decode_value(value: bytes) -> dict | None:
    """Returns the JSON object of a stored value; None if it is gone."""
    if not value:
        return None
    return json.loads(value)


def to_stored_value(
    key: str, entry: ports.StoreEntry | None
) -> calls.StoredValue:
    """Returns an entry as the reducer sees it."""
    if entry is None:
        return calls.StoredValue(key, 0, None)
    return calls.StoredValue(key, entry.revision, decode_value(entry.value))


@functools.singledispatch
async def _call(effect: Any, store: ports.StorePort) -> Any:
    raise TypeError(type(effect))


@_call.register
async def _(effect: effects.SwapValue, store: ports.StorePort) -> Any:
    value = None
    if effect.value is not None:
        value = json.dumps(effect.value).encode()
    return await store.swap(
        effect.key, effect.expected_revision, value, effect.lease_id
    )


@_call.register
async def _(effect: effects.GrantStoreLease, store: ports.StorePort) -> Any:
    return await store.grant_lease(effect.ttl_s)


@_call.register
async def _(effect: effects.RenewStoreLease, store: ports.StorePort) -> Any:
    return await store.keep_lease_alive(effect.lease_id)


@_call.register
async def _(effect: effects.RevokeStoreLease, store: ports.StorePort) -> Any:
    return await store.revoke_lease(effect.lease_id)


@_call.register
async def _(effect: effects.ReadValue, store: ports.StorePort) -> Any:
    return to_stored_value(effect.key, await store.get(effect.key))


@_call.register
async def _(effect: effects.ReadPrefix, store: ports.StorePort) -> Any:
    found = []
    for entry in await store.get_prefix(effect.prefix):
        found.append(to_stored_value(entry.key, entry))
    return tuple(found)
