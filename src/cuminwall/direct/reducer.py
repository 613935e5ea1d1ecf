"""The one reducer: every event goes in here, effects come out as data.

It does no I/O and knows no clock and no random numbers; time comes in with
the events. The engine carries the effects out.
"""

import functools
import heapq
from typing import Any

from cuminwall.direct import connections, events, groups, sessions, works
from cuminwall.direct.answers import Answer
from cuminwall.direct.effects import Effect, EndProcess, Note
from cuminwall.direct.state import (
    Connection,
    Expected,
    State,
    Subject,
    Timer,
)

PART = "config"


def reduce(state: State, event: events.Event) -> list[Effect]:
    """Takes in one event and returns what is to be done."""
    state.now = event.now
    out: list[Effect] = []
    handle(event, state, out)
    settle(state, out)
    return out


def settle(state: State, out: list[Effect]) -> None:
    """Goes on with the work and the sessions that an event has freed."""
    while state.unplaced or state.ready:
        while state.unplaced:
            works.place(state, state.unplaced.popleft(), out)
        if state.ready:
            sessions.advance(state, state.ready.popleft(), out)


@functools.singledispatch
def handle(event: Any, state: State, out: list[Effect]) -> None:
    """Takes in one event; one function for each type."""
    raise TypeError(type(event))


@handle.register
def _(event: events.CallerArrived, state: State, out: list[Effect]) -> None:
    sessions.arrive(state, event.session, event.database, event.key, out)


@handle.register
def _(event: events.StatementArrived, state: State, out: list[Effect]) -> None:
    sessions.said(state, event.session, event.statement, out)


@handle.register
def _(event: events.CallerLeft, state: State, out: list[Effect]) -> None:
    sessions.left(state, event.session, out)


@handle.register
def _(event: events.ConnectionOpened, state: State, out: list[Effect]) -> None:
    connection = state.connections.get(event.connection)
    if connection is None:
        return
    groups.reached(connection.server, state.now)
    connections.set_idle(state, connection)
    works.wake(state, connection, out)


@handle.register
def _(event: events.CommandAnswered, state: State, out: list[Effect]) -> None:
    connection = state.connections.get(event.connection)
    if connection is None or not connection.expected:
        return
    groups.reached(connection.server, state.now)
    expected = connection.expected.popleft()
    _answered(state, connection, expected, event.answer, out)


@handle.register
def _(event: events.ConnectionEnded, state: State, out: list[Effect]) -> None:
    connection = state.connections.get(event.connection)
    if connection is None:
        return
    works.ended(state, connection, event.failure, event.is_refused, out)


@handle.register
def _(event: events.CatalogSeen, state: State, out: list[Effect]) -> None:
    if event.catalog.version <= state.catalog.version:
        return
    before = state.catalog.version
    state.catalog = event.catalog
    fields = {"version": event.catalog.version, "before": before}
    out.append(Note(PART, "in_force", fields))
    sessions.catalog_seen(state, out)


@handle.register
def _(event: events.ServerSeen, state: State, out: list[Effect]) -> None:
    groups.seen(state, event.entry, out)


@handle.register
def _(event: events.ServerGone, state: State, out: list[Effect]) -> None:
    groups.gone(state, event.server, out)


@handle.register
def _(event: events.EvacuationSeen, state: State, out: list[Effect]) -> None:
    groups.zone_changed(state, event.zone, event.is_out, out)


@handle.register
def _(event: events.SnapshotRead, state: State, out: list[Effect]) -> None:
    state.snapshots += 1
    for server in list(state.servers):
        if server not in event.servers:
            groups.gone(state, server, out)
    for zone in list(state.out_zones):
        if zone not in event.zones:
            groups.zone_changed(state, zone, False, out)


@handle.register
def _(event: events.StoreHeard, state: State, out: list[Effect]) -> None:
    if state.is_store_up == event.is_up:
        return
    state.is_store_up = event.is_up
    name = "regained" if event.is_up else "lost"
    out.append(Note("store", name, {"cause": event.cause}))
    if not event.is_up:
        for group in state.groups.values():
            state.unplaced.extend(group.waiting.drain())


@handle.register
def _(event: events.SharedValueSeen, state: State, out: list[Effect]) -> None:
    del event, state, out


@handle.register
def _(event: events.ShutdownOrdered, state: State, out: list[Effect]) -> None:
    state.is_leaving = True
    out.append(EndProcess())


@handle.register
def _(event: events.TimePassed, state: State, out: list[Effect]) -> None:
    while state.timers and state.timers[0].due_at <= state.now:
        timer = heapq.heappop(state.timers)
        _due(state, timer, out)
        settle(state, out)


def _answered(
    state: State,
    connection: Connection,
    expected: Expected,
    answer: Answer,
    out: list[Effect],
) -> None:
    """Takes in the answer to one command."""
    if expected is Expected.PREPARATION:
        if answer.failure is not None:
            connections.drop(state, connection, out)
            works.ended(state, connection, None, False, out)
        return
    if expected is Expected.BEGIN:
        works.begun(state, connection, answer, out)
    elif expected is Expected.STATEMENT:
        works.answered(state, connection, answer, out)
    elif expected is Expected.END:
        works.transaction_ended(state, connection, answer, out)


def _due(state: State, timer: Timer, out: list[Effect]) -> None:
    """Looks at what a timer is about, if it still counts."""
    if timer.subject is Subject.WORK:
        work = state.works.get(timer.key)
        if work is not None:
            works.due(state, work, out)
    elif timer.subject is Subject.SESSION:
        sessions.due(state, timer.key, out)
    elif timer.subject is Subject.CONNECTION:
        connection = state.connections.get(timer.key)
        if connection is not None:
            works.connection_due(state, connection, out)
