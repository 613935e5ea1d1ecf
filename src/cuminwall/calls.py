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
    """Runs the continuation of a call; one function for each type."""
    raise TypeError(type(continuation))


def handle_answer(
    state: State, event: events.StoreAnswered, out: list[Effect]
) -> None:
    """Resumes the continuation of an answered call."""
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
    call = _register(state, continuation)
    out.append(SwapValue(call, key, expected_revision, value, lease_id))


def read(
    state: State, key: str, continuation: NamedTuple, out: list[Effect]
) -> None:
    """Reads a value; `continuation` gets a StoredValue, or None if unknown."""
    out.append(ReadValue(_register(state, continuation), key))


def read_prefix(
    state: State, prefix: str, continuation: NamedTuple, out: list[Effect]
) -> None:
    """Reads a prefix; `continuation` gets a tuple of StoredValue, or None."""
    out.append(ReadPrefix(_register(state, continuation), prefix))


def grant_lease(
    state: State, ttl_s: int, continuation: NamedTuple, out: list[Effect]
) -> None:
    """Requests a store lease; `continuation` gets its id, or None."""
    out.append(GrantStoreLease(_register(state, continuation), ttl_s))


def renew_lease(
    state: State, lease_id: int, continuation: NamedTuple, out: list[Effect]
) -> None:
    """Renews a store lease; `continuation` gets its time to live, or None."""
    out.append(RenewStoreLease(_register(state, continuation), lease_id))


class StoredValue(NamedTuple):
    """The value of a store key; revision 0 and None if it does not exist."""

    key: str
    revision: int
    value: dict | None


def _register(state: State, continuation: NamedTuple) -> int:
    """Registers a continuation and returns the number of its call."""
    call = state.next_number()
    state.pending_calls[call] = continuation
    return call
