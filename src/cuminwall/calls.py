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
    KeepStoreLease,
    ReadPrefix,
    ReadValue,
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
    then: Any,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    """Goes on with what waited for a call; one function for each type."""
    raise TypeError(type(then))


def answered(
    state: State, event: events.StoreAnswered, out: list[Effect]
) -> None:
    """Gives an answer to what waits for it."""
    then = state.calls.pop(event.call, None)
    if then is not None:
        resume(then, state, event, out)


def swap(
    state: State,
    key: str,
    expected_revision: int,
    value: dict | None,
    then: NamedTuple,
    out: list[Effect],
    lease_id: int = 0,
) -> None:
    """Compares and swaps; `then` gets Swapped, SwapConflict or None."""
    call = _remember(state, then)
    out.append(SwapValue(call, key, expected_revision, value, lease_id))


def read(state: State, key: str, then: NamedTuple, out: list[Effect]) -> None:
    """Reads; `then` gets a Found, or None if unknown."""
    out.append(ReadValue(_remember(state, then), key))


def read_prefix(
    state: State, prefix: str, then: NamedTuple, out: list[Effect]
) -> None:
    """Reads; `then` gets a tuple of Found, or None if unknown."""
    out.append(ReadPrefix(_remember(state, then), prefix))


def grant_lease(
    state: State, ttl_s: int, then: NamedTuple, out: list[Effect]
) -> None:
    """Asks for a store lease; `then` gets its id, or None if unknown."""
    out.append(GrantStoreLease(_remember(state, then), ttl_s))


def keep_lease(
    state: State, lease_id: int, then: NamedTuple, out: list[Effect]
) -> None:
    """Renews a store lease; `then` gets the time to live, or None."""
    out.append(KeepStoreLease(_remember(state, then), lease_id))


class Found(NamedTuple):
    """What stands under a key; revision 0 and None if nothing does."""

    key: str
    revision: int
    value: dict | None


def _remember(state: State, then: NamedTuple) -> int:
    """Returns the number of a new call."""
    call = state.next_number()
    state.calls[call] = then
    return call
