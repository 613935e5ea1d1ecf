"""Follows the store: reads all of it once, then every change.

When changes were missed, all is read again. A wait that ended without an
answer may have been preceded by answers that left changes out, so it counts
as missed too. While the store does not answer, what is known stays in force.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from cuminwall import exceptions
from cuminwall.direct import events, ports

WAIT_S = 25.0  # How long a call waits for a change; the store allows 30 s.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0


class Follower:
    """Tells the reducer what stands in the store.

    Attributes:
      store: The store.
      on_event: Takes an event.
      clock: Tells the time of events.
      revision: Up to which all changes were told; None to read all.
      backoff_s: How long to wait after the next failure.
      pending_call: The call in course.
      is_rereading: Whether some change was missed.
    """

    def __init__(
        self,
        store: ports.StorePort,
        on_event: Callable[[events.Event], None],
        clock: Callable[[], float],
    ):
        self.store = store
        self.on_event = on_event
        self.clock = clock
        self.revision: int | None = None
        self.backoff_s = FIRST_PAUSE_S
        self.pending_call: asyncio.Future[None] | None = None
        self.is_rereading = False

    async def follow(self) -> None:
        """Follows the store until cancelled."""
        while True:
            self.pending_call = asyncio.ensure_future(self._next_step())
            try:
                await self.pending_call
            except asyncio.CancelledError:
                if not self.is_rereading:
                    raise
                self.is_rereading = False
                self.revision = None
                continue
            except ports.HistoryLostError:
                self.revision = None
                continue
            except exceptions.StoreUnavailableError as error:
                self._heard(False, str(error))
                self.revision = None
                await asyncio.sleep(self.backoff_s * random.uniform(0.5, 1.0))
                self.backoff_s = min(2 * self.backoff_s, LONGEST_PAUSE_S)
                continue
            self._heard(True, "")

    def reread(self) -> None:
        """Reads the whole store anew: some change in it was missed."""
        if (
            self.pending_call is None
            or self.pending_call.done()
            or self.revision is None
        ):
            return
        self.is_rereading = True
        self.pending_call.cancel()

    async def _next_step(self) -> None:
        """Reads the store, or waits for what changes in it."""
        if self.revision is None:
            await self._read_all()
        else:
            await self._read_changes()

    async def _read_all(self) -> None:
        """Reads the whole store."""
        found = await self.store.read_all()
        self._tell(found.items)
        names: dict[ports.ItemKind, set[str]] = {}
        for kind in ports.ItemKind:
            names[kind] = set()
        for fact in found.items:
            if fact.value is not None:
                names[fact.kind].add(fact.name)
        self.on_event(
            events.SnapshotRead(
                self.clock(),
                frozenset(names[ports.ItemKind.SERVER]),
                frozenset(names[ports.ItemKind.ZONE_OUT]),
                frozenset(names[ports.ItemKind.SHARED]),
            )
        )
        self.revision = found.revision

    async def _read_changes(self) -> None:
        """Waits for changes and tells them."""
        assert self.revision is not None
        found = await self.store.watch(self.revision, WAIT_S)
        self._tell(found.items)
        self.revision = max(self.revision, found.revision)

    def _tell(self, facts: Iterable[ports.StoreItem]) -> None:
        """Turns facts into events, in the order in which they came."""
        for fact in facts:
            self.on_event(_to_event(fact.value, fact, self.clock()))

    def _heard(self, is_up: bool, cause: str) -> None:
        """Tells whether the store answers."""
        if is_up:
            self.backoff_s = FIRST_PAUSE_S
        self.on_event(events.StoreStatusReported(self.clock(), is_up, cause))


def _to_event(value: Any, fact: ports.StoreItem, now: float) -> events.Event:
    """Returns the event that tells a fact."""
    return _MAKERS[fact.kind](now, fact.name, value, fact.revision)


def _catalog(now: float, name: str, value: Any, revision: int) -> Any:
    del name, revision
    return events.CatalogSeen(now, value)


def _server(now: float, name: str, value: Any, revision: int) -> Any:
    del revision
    if value is None:
        return events.ServerGone(now, name)
    return events.ServerSeen(now, value)


def _zone(now: float, name: str, value: Any, revision: int) -> Any:
    del revision
    return events.EvacuationSeen(now, name, value is not None)


def _shared(now: float, name: str, value: Any, revision: int) -> Any:
    return events.SharedValueSeen(now, name, value, revision)


_MAKERS = {
    ports.ItemKind.CATALOG: _catalog,
    ports.ItemKind.SERVER: _server,
    ports.ItemKind.ZONE_OUT: _zone,
    ports.ItemKind.SHARED: _shared,
}
