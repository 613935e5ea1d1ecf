"""Notices that this instance no longer hears of the store's changes.

A call that waits for changes may never be answered: the store was silent when
it came, or its connection is dead while new ones work. Other calls then tell
nothing about it. Each call has a price, so not every instance can wait for a
short time only. The coordinator does, and tells the others the newest change
that it knows, and how long ago the store confirmed that. An instance that
lacks that change for a while, hears nothing from the coordinator, or has had no
recent confirmation calls anew and waits for a short time as well.

A watch may also leave a change out and claim to tell all up to a later one. The
coordinator reads the whole store from time to time to find such a change.
"""

import math
from typing import TypedDict

from cuminwall.direct import events, messages
from cuminwall.direct.effects import (
    Effect,
    Note,
    RereadStore,
    RestartWatch,
)
from cuminwall.direct.state import State

PART = "store"
CONFIG_PART = "config"

LONG_WAIT_S = 25.0  # For changes; the store allows 30 s.
SHORT_WAIT_S = 0.75
# How long this instance may lack a change, or hear nothing. A healthy one lacks
# it for as long as `follower.MAX_PAUSE_S` and a reply of the coordinator take.
UNCONFIRMED_S = 1.0
# How long ago the store may have confirmed the view. Beyond the above it allows
# for the pause and the short wait of the coordinator.
MAX_VIEW_AGE_S = 2.2
# Between two whole readings by the coordinator; at least this many times as
# long as one takes, since its link carries requests of all instances too.
WHOLE_READ_S = 1.0
WHOLE_READ_RATIO = 4.0


class ConfigFields(TypedDict):
    """What a log line tells of the configuration in force.

    Attributes:
      config: Its version.
      config_age_ms: How long ago it was last confirmed to be the newest; None
        if it never was.
      config_source: Who confirmed it, "store" or "coordinator".
    """

    config: int
    config_age_ms: float | None
    config_source: str


def unconfirmed_s(state: State, now: float) -> float:
    """Returns how long ago what is known here was confirmed to be newest."""
    view = state.store_view
    return now - max(view.answered_at, view.confirmed_at)


def config_fields(state: State) -> ConfigFields:
    """Returns the configuration in force and its confirmation, for a log."""
    view = state.store_view
    age_s = unconfirmed_s(state, state.now)
    is_by_store = view.answered_at >= view.confirmed_at
    return {
        "config": state.catalog.version,
        "config_age_ms": None if math.isinf(age_s) else round(1000 * age_s, 1),
        "config_source": "store" if is_by_store else "coordinator",
    }


def find_wait_s(state: State, now: float) -> float:
    """Returns how long the next call to the store waits for a change."""
    is_coordinator = state.own_lease.epoch > 0
    if is_coordinator or now - state.store_view.told_at >= UNCONFIRMED_S:
        return SHORT_WAIT_S
    if unconfirmed_s(state, now) >= MAX_VIEW_AGE_S:
        return SHORT_WAIT_S
    return LONG_WAIT_S


def is_whole_read_due(state: State, now: float) -> bool:
    """Returns whether to read the whole store, though nothing failed.

    A watch may leave a change out without a sign of it. The coordinator finds
    it this way, and tells the others.
    """
    view = state.store_view
    interval_s = max(WHOLE_READ_S, WHOLE_READ_RATIO * view.whole_took_s)
    return state.own_lease.epoch > 0 and now - view.whole_at >= interval_s


def record_answer(state: State, event: events.ChangesRead) -> None:
    """Records an answer of the store."""
    view = state.store_view
    view.revision = event.revision
    view.newest_change = max(view.newest_change, event.newest_change)
    current_at = state.now if event.current_at is None else event.current_at
    view.answered_at = max(view.answered_at, current_at)
    view.is_in_doubt = False
    if event.is_whole:
        view.whole_revision = event.revision
        view.whole_at = state.now
        view.whole_took_s = state.now - current_at


def record_missed(event: events.ChangeMissed, out: list[Effect]) -> None:
    """Logs a change that a watch had left out."""
    fields = {"name": event.name, "revision": event.revision}
    out.append(Note(PART, "missed_change", fields))


def record_request(state: State, number: int) -> None:
    """Records a request to the coordinator, to know how old its reply is.

    Requests may overlap, so only one at a time is looked at.
    """
    view = state.store_view
    if not view.request_number:
        view.request_number = number
        view.request_sent_at = state.now


def handle_reply(
    state: State, reply: messages.ShareReply, out: list[Effect]
) -> None:
    """Compares what is known here with what the coordinator knows."""
    coordinator = state.coordinator
    if coordinator is None or coordinator.epoch != reply.epoch:
        return
    view = state.store_view
    if reply.newest_change > view.revision:
        check(state, out)
        return
    if reply.newest_change > max(view.newest_change, view.whole_revision):
        # An answer claimed to tell all changes up to a later one.
        fields = {
            "revision": reply.newest_change,
            "claimed": view.revision,
        }
        out.append(Note(PART, "missed_change", fields))
        out.append(RereadStore())
        return
    view.told_at = state.now
    if 0 < view.request_number <= reply.number:
        # Counted from a request, since the reply may have been held up.
        confirmed_at = view.request_sent_at - reply.view_age_s
        view.confirmed_at = max(view.confirmed_at, confirmed_at)
        view.request_number = 0
    check(state, out)


def check(state: State, out: list[Effect]) -> None:
    """Replaces a call that has waited long if changes may be missed."""
    view = state.store_view
    if state.own_lease.epoch or not state.is_store_up:
        return
    if not _may_miss_changes(state):
        view.is_in_doubt = False
        return
    if not view.is_in_doubt:
        view.is_in_doubt = True
        fields = {
            "revision": view.revision,
            "answered_s_ago": _seconds_ago(state, view.answered_at),
            "told_s_ago": _seconds_ago(state, view.told_at),
            "confirmed_s_ago": _seconds_ago(state, view.confirmed_at),
        }
        out.append(Note(PART, "in_doubt", fields))
    out.append(RestartWatch())


def _seconds_ago(state: State, at: float) -> float | None:
    """Returns how long ago a time was, for a log; None if never."""
    return None if math.isinf(at) else round(state.now - at, 3)


def _may_miss_changes(state: State) -> bool:
    """Returns whether a change may have been missed for long."""
    view = state.store_view
    if state.now - max(view.answered_at, view.told_at) >= UNCONFIRMED_S:
        return True
    return unconfirmed_s(state, state.now) >= MAX_VIEW_AGE_S


def record_restart(event: events.WatchRestarted, out: list[Effect]) -> None:
    """Logs that the store is called anew."""
    fields = {"called_s_ago": round(event.called_s_ago, 3)}
    out.append(Note(PART, "watch_restarted", fields))


def check_config_version(state: State, version: int, out: list[Effect]) -> None:
    """Reads the store again if a peer has had a newer configuration for long.

    This finds a change that the store did not report, for example because it
    dropped its history.
    """
    view = state.store_view
    if version <= state.catalog.version:
        # That peer may lack the same change.
        return
    if view.config_behind_since is None:
        view.config_behind_since = state.now
        return
    if state.now - view.config_behind_since < state.limits.stale_config_s:
        return
    view.config_behind_since = None
    fields = {"version": state.catalog.version, "newer": version}
    out.append(Note(CONFIG_PART, "behind", fields))
    out.append(RereadStore())
