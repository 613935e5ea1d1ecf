"""Calls to the platform's store whose answers the reducer awaits.

Each call is stored with a continuation that handles its answer. An answer of
None means that the outcome is unknown.
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
    """Runs the continuation of a call; one function for each type."""
    raise TypeError(type(then))


def answered(
    state: State, event: events.StoreAnswered, out: list[Effect]
) -> None:
    """Resumes the continuation of an answered call."""
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
    """Compares and swaps; `continuation` gets Swapped, SwapConflict or None."""
    call = _register(state, then)
    out.append(SwapValue(call, key, expected_revision, value, lease_id))


def read(state: State, key: str, then: NamedTuple, out: list[Effect]) -> None:
    """Reads a value; `continuation` gets a StoredValue, or None if unknown."""
    out.append(ReadValue(_register(state, then), key))


def read_prefix(
    state: State, prefix: str, then: NamedTuple, out: list[Effect]
) -> None:
    """Reads a prefix; `continuation` gets a tuple of StoredValue, or None."""
    out.append(ReadPrefix(_register(state, then), prefix))


def grant_lease(
    state: State, ttl_s: int, then: NamedTuple, out: list[Effect]
) -> None:
    """Requests a store lease; `continuation` gets its id, or None."""
    out.append(GrantStoreLease(_register(state, then), ttl_s))


def keep_lease(
    state: State, lease_id: int, then: NamedTuple, out: list[Effect]
) -> None:
    """Renews a store lease; `continuation` gets its time to live, or None."""
    out.append(KeepStoreLease(_register(state, then), lease_id))


class Found(NamedTuple):
    """The value of a store key; revision 0 and None if it does not exist."""

    key: str
    revision: int
    value: dict | None


def _register(state: State, then: NamedTuple) -> int:
    """Registers a continuation and returns the number of its call."""
    call = state.next_number()
    state.calls[call] = then
    return call
