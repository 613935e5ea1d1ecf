"""Calls of the platform's store whose answers the reducer awaits.

Each call is remembered with what to do next; an answer that is None means
that the outcome is unknown.
"""

import functools
from typing import Any, NamedTuple

from cuminwall import events
from cuminwall.effects import (
    Effect,
    GrantStoreLease,
    ReadPrefix,
    ReadValue,
    RenewStoreLease,
    SwapValue,
)
from cuminwall.state import State

ROOT = "/cuminwall/"
CONFIG_HEAD_KEY = ROOT + "config/head"
SHARDS_PREFIX = ROOT + "shards/"
STEWARDS_PREFIX = ROOT + "stewards/"
GROUPS_PREFIX = ROOT + "groups/"


@functools.singledispatch
def resume(
    continuation: Any,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    """Goes on with what waited for a call; one function for each type."""
    raise TypeError(type(continuation))


def handle_answer(
    state: State, event: events.StoreAnswered, out: list[Effect]
) -> None:
    """Gives an answer to what waits for it."""
    continuation = state.pending_calls.pop(event.call, None)
    if continuation is not None:
        resume(continuation, state, event, out)


def swap(
    state: State,
    key: str,
    expected_revision: int,
    value: dict | None,
    continuation: NamedTuple,
    out: list[Effect],
    lease_id: int = 0,
) -> None:
    """Compares and swaps; `continuation` gets Swapped, SwapConflict or None."""
    call = _remember(state, continuation)
    out.append(SwapValue(call, key, expected_revision, value, lease_id))


def read(
    state: State, key: str, continuation: NamedTuple, out: list[Effect]
) -> None:
    """Reads; `continuation` gets a Found, or None if unknown."""
    out.append(ReadValue(_remember(state, continuation), key))


def read_prefix(
    state: State, prefix: str, continuation: NamedTuple, out: list[Effect]
) -> None:
    """Reads; `continuation` gets a tuple of Found, or None if unknown."""
    out.append(ReadPrefix(_remember(state, continuation), prefix))


def grant_lease(
    state: State, ttl_s: int, continuation: NamedTuple, out: list[Effect]
) -> None:
    """Asks for a store lease; `continuation` gets its id, or None if unknown."""
    out.append(GrantStoreLease(_remember(state, continuation), ttl_s))


def renew_lease(
    state: State, lease_id: int, continuation: NamedTuple, out: list[Effect]
) -> None:
    """Renews a store lease; `continuation` gets the time to live, or None."""
    out.append(RenewStoreLease(_remember(state, continuation), lease_id))


class StoredValue(NamedTuple):
    """What stands under a key; revision 0 and None if nothing does."""

    key: str
    revision: int
    value: dict | None


def _remember(state: State, then: NamedTuple) -> int:
    """Returns the number of a new call."""
    call = state.next_number()
    state.pending_calls[call] = then
    return call
