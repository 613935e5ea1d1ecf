"""Follows the store: reads it whole once, then watches for changes.

If changes were missed, the whole store is read again; so it is if the changes
since the last answer are larger than that: each has a copy of what changed, and
on a slow link they would come faster than they are read. It is also read again
after a failed call, since the answers before it may have left changes out, and
from time to time where others rely on what is known here. While the store does
not answer, the last known state stays in force.

A change that comes after a quiet time is reported at once. Those that follow it
closely are read together: at a start of all instances each writes a record, and
each would else read every record by a call of its own.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from cuminwall import exceptions
from cuminwall.direct import events, ports, store_view

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
MAX_CALLS_PER_S = 200.0  # Of all instances, to learn of changes.
MAX_PAUSE_S = 0.5  # Changes are reported no later than this.
# How many passes of the event loop the call has left before it is replaced: an
# answer is read from the socket in one, and the call handles it in the next.
RESTART_PASSES = 3


def pause_s(instances: int) -> float:
    """Returns how long an instance waits after a change before the next call.

    Args:
      instances: How many instances follow the store.
    """
    return min(MAX_PAUSE_S, instances / MAX_CALLS_PER_S)


class Follower:
    """Turns the content of the store and its changes into events.

    Attributes:
      store: The store.
      on_event: Handles an event.
      clock: Returns the time for events.
      find_pause_s: Returns how long to wait after a change.
      find_wait_s: Returns how long a call waits for a change.
      is_whole_read_due: Returns whether to read all, though nothing failed.
      wait_s: How long the call in progress waits for a change; 0 if it reads
        all or was not made yet.
      called_at: When the store was last called.
      had_change: Whether the last call reported one.
      revision: The revision up to which all changes were reported; None to
        read the whole store.
      reported: The revision of each item that was reported, by kind and name.
      backoff_s: How long to wait after the next failure.
      pending_call: The call in progress.
      must_reread: Whether the next call reads the whole store.
      is_restarting: Whether the call in progress was cancelled, for another.
    """

    def __init__(
        self,
        store: ports.StorePort,
        on_event: Callable[[events.Event], None],
        clock: Callable[[], float],
        find_pause_s: Callable[[], float] = lambda: 0.0,
        find_wait_s: Callable[[], float] = lambda: store_view.LONG_WAIT_S,
        is_whole_read_due: Callable[[], bool] = lambda: False,
    ):
        self.store = store
        self.on_event = on_event
        self.clock = clock
        self.find_pause_s = find_pause_s
        self.find_wait_s = find_wait_s
        self.is_whole_read_due = is_whole_read_due
        self.wait_s = 0.0
        self.called_at = clock()
        self.had_change = False
        self.revision: int | None = None
        self.reported: dict[tuple[ports.ItemKind, str], int] = {}
        self.backoff_s = MIN_BACKOFF_S
        self.pending_call: asyncio.Future[None] | None = None
        self.is_restarting = False
        self.must_reread = False

    async def follow(self) -> None:
        """Follows the store until cancelled."""
        while True:
            self.pending_call = asyncio.ensure_future(self._call_store())
            try:
                await self.pending_call
            except asyncio.CancelledError:
                if not self.is_restarting:
                    raise
                self.is_restarting = False
                continue
            except (ports.HistoryLostError, ports.TooManyChangesError):
                self.revision = None
                continue
            except exceptions.StoreUnavailableError as error:
                self._report_store(False, str(error))
                self.revision = None
                await asyncio.sleep(self.backoff_s * random.uniform(0.5, 1.0))
                self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
                continue
            self._report_store(True, "")

    def reread(self) -> None:
        """Cancels the watch and reads all, since a change was missed.

        An answer that is arriving is read first: it may have that change, and
        on a slow link all of it would have to be sent again. If it has not,
        this is called again.
        """
        if (
            self.pending_call is None
            or self.pending_call.done()
            or self.revision is None
            or self.must_reread
            or self.store.is_answer_arriving()
        ):
            return
        self.must_reread = True
        self.is_restarting = True
        self.pending_call.cancel()

    def restart_watch(self) -> None:
        """Replaces a call that waits long; it may never be answered.

        An answer that has arrived or is arriving is read first: after a
        hold-up, the timer that leads here may be due together with it, and on a
        slow link it takes long.

        A pause before the next call goes on: it is short, and one that began
        anew with each restart might never end.
        """
        if self.pending_call is not None:
            self._restart_later(self.pending_call, RESTART_PASSES)

    def _restart_later(self, call: asyncio.Future[None], passes: int) -> None:
        """Replaces a call unless it ends within some passes of the loop."""
        if call is not self.pending_call or call.done() or self.is_restarting:
            return
        if self.wait_s <= store_view.SHORT_WAIT_S:
            return
        if self.store.is_answer_arriving():
            return
        if passes > 0:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._restart_later, call, passes - 1)
            return
        self.is_restarting = True
        self.had_change = False
        call.cancel()
        now = self.clock()
        self.on_event(events.WatchRestarted(now, now - self.called_at))

    async def _call_store(self) -> None:
        """Reads the whole store, or waits for changes."""
        if self.must_reread:
            self.must_reread = False
            self.revision = None
        if self.revision is None or self.is_whole_read_due():
            await self._read_all()
        else:
            await self._read_changes()

    async def _read_all(self) -> None:
        """Reads the whole store and reports it."""
        self.wait_s = 0.0
        self.called_at = self.clock()
        result = await self.store.read_all()
        if self.revision is None:
            self._report_items(result.items)
        else:
            self._report_unknown(result.items, self.revision)
        names: dict[ports.ItemKind, set[str]] = {}
        for kind in ports.ItemKind:
            names[kind] = set()
        for item in result.items:
            if item.value is not None or item.is_malformed:
                names[item.kind].add(item.name)
        self.on_event(
            events.SnapshotRead(
                self.clock(),
                frozenset(names[ports.ItemKind.SERVER]),
                frozenset(names[ports.ItemKind.ZONE_OUT]),
                frozenset(names[ports.ItemKind.SHARED]),
                result.revision,
            )
        )
        self.reported = {
            (item.kind, item.name): item.revision for item in result.items
        }
        self._report_changes(result, True, self.called_at)

    async def _read_changes(self) -> None:
        """Waits for changes and reports them."""
        assert self.revision is not None
        self.wait_s = 0.0
        if self.had_change:
            await asyncio.sleep(self.find_pause_s())
        self.wait_s = self.find_wait_s()
        self.called_at = self.clock()
        result = await self.store.watch(self.revision, self.wait_s)
        self.had_change = bool(result.items)
        self._report_items(result.items)
        current_at = self.called_at
        if not result.items and self.wait_s <= store_view.SHORT_WAIT_S:
            # The store has waited for a change, but no longer than that.
            current_at += self.wait_s
        self._report_changes(result, False, min(current_at, self.clock()))

    def _report_changes(
        self, result: ports.StoreItems, is_whole: bool, current_at: float
    ) -> None:
        """Reports up to which revision the changes are known.

        Args:
          result: The answer.
          is_whole: Whether it has the whole store.
          current_at: A time at which there were certainly no other changes.
        """
        newest = max((item.revision for item in result.items), default=0)
        self.revision = max(self.revision or 0, result.revision)
        event = events.ChangesRead(
            self.clock(), self.revision, newest, is_whole, current_at
        )
        self.on_event(event)

    def _report_items(self, items: Iterable[ports.StoreItem]) -> None:
        """Turns items into events, in their order."""
        for item in items:
            self.reported[item.kind, item.name] = item.revision
            if item.is_malformed:
                continue
            self.on_event(_event_of(item.value, item, self.clock()))

    def _report_unknown(
        self, items: Iterable[ports.StoreItem], revision: int
    ) -> None:
        """Reports the items that were not reported as they are now.

        Args:
          items: All items of the store.
          revision: Up to which the watches have claimed to tell all changes.
        """
        unknown = []
        for item in items:
            if self.reported.get((item.kind, item.name)) == item.revision:
                continue
            unknown.append(item)
            if item.revision <= revision:
                now = self.clock()
                self.on_event(
                    events.ChangeMissed(now, item.name, item.revision)
                )
        self._report_items(unknown)

    def _report_store(self, is_up: bool, cause: str) -> None:
        """Reports whether the store answers."""
        if is_up:
            self.backoff_s = MIN_BACKOFF_S
        self.on_event(events.StoreStatusReported(self.clock(), is_up, cause))


def _event_of(value: Any, item: ports.StoreItem, now: float) -> events.Event:
    """Returns the event for an item."""
    return _EVENT_MAKERS[item.kind](now, item.name, value, item.revision)


def _catalog_event(now: float, name: str, value: Any, revision: int) -> Any:
    del name
    return events.CatalogSeen(now, value, revision)


def _server_event(now: float, name: str, value: Any, revision: int) -> Any:
    del revision
    if value is None:
        return events.ServerGone(now, name)
    return events.ServerSeen(now, value)


def _zone_event(now: float, name: str, value: Any, revision: int) -> Any:
    del revision
    return events.EvacuationSeen(now, name, value is not None)


def _shared_event(now: float, name: str, value: Any, revision: int) -> Any:
    return events.SharedValueSeen(now, name, value, revision)


_EVENT_MAKERS = {
    ports.ItemKind.CATALOG: _catalog_event,
    ports.ItemKind.SERVER: _server_event,
    ports.ItemKind.ZONE_OUT: _zone_event,
    ports.ItemKind.SHARED: _shared_event,
}
