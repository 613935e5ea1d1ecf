"""Tests of the follower with a store that leaves changes out."""

import asyncio
import unittest

from cuminwall import exceptions
from cuminwall.direct import catalog, events, follower, ports, store_view


def config_item(number: int) -> ports.StoreItem:
    """Returns the store item of a version of the configuration."""
    value = catalog.EMPTY._replace(version=number)
    return ports.StoreItem(ports.ItemKind.CATALOG, "", value, number)


def shared_item(revision: int) -> ports.StoreItem:
    """Returns the store item of a shared value."""
    return ports.StoreItem(ports.ItemKind.SHARED, "x", b"", revision)


class ScriptedStore:
    """A store with scripted answers.

    Attributes:
      answers: The remaining answers; an exception is raised.
      calls: The calls made: "all", or after which revision.
    """

    def __init__(self, answers: list[ports.StoreItems | Exception]):
        self.answers = answers
        self.calls: list[str] = []

    async def read_all(self) -> ports.StoreItems:
        """Returns the next answer."""
        return await self._next("all")

    def is_answer_arriving(self) -> bool:
        """Returns False: each answer arrives as a whole."""
        return False

    async def watch(self, after: int, wait_s: float) -> ports.StoreItems:
        """Returns the next answer."""
        del wait_s
        return await self._next(f"after {after}")

    async def _next(self, call: str) -> ports.StoreItems:
        self.calls.append(call)
        if not self.answers:
            await asyncio.sleep(60.0)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


async def follow(store: ScriptedStore) -> list[events.Event]:
    """Follows a store for a short time; returns the events."""
    received: list[events.Event] = []
    follower_ = follower.Follower(store, received.append, lambda: 1.0)
    task = asyncio.create_task(follower_.follow())
    await asyncio.sleep(0.3)
    task.cancel()
    return received


class MissedChangeTest(unittest.IsolatedAsyncioTestCase):
    """A change that an answer left out is found."""

    async def test_change_passed_over_before_the_wait_was_cut(self) -> None:
        # Version 2 was written at revision 8. The store reported only 9 and
        # dropped its history, so that a watch from 9 on notices no gap.
        store = ScriptedStore(
            [
                ports.StoreItems([config_item(1)], 7),
                ports.StoreItems([shared_item(9)], 9),
                exceptions.StoreUnavailableError("reset"),
                ports.StoreItems([config_item(2), shared_item(9)], 9),
            ]
        )
        received = await follow(store)
        versions = []
        for event in received:
            if isinstance(event, events.CatalogSeen):
                versions.append(event.catalog.version)
        self.assertEqual(versions, [1, 2])
        expected = ["all", "after 7", "after 9", "all", "after 9"]
        self.assertEqual(store.calls, expected)

    async def test_wait_without_a_change_goes_on(self) -> None:
        store = ScriptedStore(
            [ports.StoreItems([config_item(1)], 7), ports.StoreItems([], 8)]
        )
        await follow(store)
        self.assertEqual(store.calls, ["all", "after 7", "after 8"])


class ManyChangesTest(unittest.IsolatedAsyncioTestCase):
    """Changes in quick succession, as when all instances start."""

    async def test_changes_that_follow_closely_are_read_together(self) -> None:
        store = BusyStore()
        follower_ = follower.Follower(
            store, lambda event: None, lambda: 1.0, lambda: 0.1
        )
        task = asyncio.create_task(follower_.follow())
        await asyncio.sleep(0.55)
        task.cancel()
        self.assertGreater(store.revision, 50)
        self.assertLessEqual(store.calls, 8)

    async def test_reread_is_not_lost_in_a_pause(self) -> None:
        store = ScriptedStore(
            [
                ports.StoreItems([config_item(1)], 7),
                ports.StoreItems([shared_item(8)], 8),
                ports.StoreItems([config_item(1)], 8),
            ]
        )
        follower_ = follower.Follower(
            store, lambda event: None, lambda: 1.0, lambda: 30.0
        )
        task = asyncio.create_task(follower_.follow())
        await asyncio.sleep(0.05)
        follower_.reread()
        await asyncio.sleep(0.05)
        task.cancel()
        self.assertEqual(store.calls[:3], ["all", "after 7", "all"])

    def test_calls_do_not_grow_with_the_fleet(self) -> None:
        for size in (9, 100):
            calls_per_s = size / follower.pause_s(size)
            self.assertLessEqual(calls_per_s, follower.MAX_CALLS_PER_S + 1e-6)


class RestartedWatchTest(unittest.IsolatedAsyncioTestCase):
    """The call for changes is replaced, since it may never be answered."""

    PAUSE_S = 0.2  # As after a change in a fleet of 40 instances.

    async def restart_often(self, store: ScriptedStore) -> None:
        """Restarts the watch again and again, far within each pause."""
        follower_ = follower.Follower(
            store, lambda event: None, lambda: 1.0, lambda: self.PAUSE_S
        )
        task = asyncio.create_task(follower_.follow())
        await asyncio.sleep(2 * self.PAUSE_S)
        for _ in range(20):
            follower_.restart_watch()
            await asyncio.sleep(self.PAUSE_S / 4)
        task.cancel()

    # The pause counted as a call that waits long: each restart began it anew,
    # and for as long as they came, no instance called the store.
    async def test_store_is_called_however_often_it_is_restarted(self) -> None:
        store = ScriptedStore(
            [
                ports.StoreItems([config_item(1)], 7),
                ports.StoreItems([shared_item(8)], 8),
            ]
        )
        await self.restart_often(store)
        before = ["all", "after 7", "after 8"]
        self.assertEqual(store.calls[:3], before)
        self.assertGreater(len(store.calls), len(before))

    async def test_each_call_is_replaced_once(self) -> None:
        store = ScriptedStore([ports.StoreItems([config_item(1)], 7)])
        received: list[events.Event] = []
        follower_ = follower.Follower(store, received.append, lambda: 1.0)
        task = asyncio.create_task(follower_.follow())
        await asyncio.sleep(0.05)
        for _ in range(10):
            follower_.restart_watch()
        await asyncio.sleep(0.05)
        task.cancel()
        self.assertEqual(store.calls, ["all", "after 7", "after 7"])
        restarts = [e for e in received if isinstance(e, events.WatchRestarted)]
        self.assertEqual(len(restarts), 1)

    # Between two calls, the wait that is known is that of the call before.
    async def test_call_that_turns_out_short_goes_on(self) -> None:
        store = ScriptedStore(
            [
                ports.StoreItems([config_item(1)], 7),
                ports.StoreItems([shared_item(8)], 8),
            ]
        )
        received: list[events.Event] = []
        waits = iter((store_view.LONG_WAIT_S, store_view.SHORT_WAIT_S))
        loop = asyncio.get_running_loop()

        def handle(event: events.Event) -> None:
            received.append(event)
            if isinstance(event, events.SharedValueSeen):
                loop.call_soon(follower_.restart_watch)

        follower_ = follower.Follower(
            store, handle, lambda: 1.0, find_wait_s=lambda: next(waits)
        )
        task = asyncio.create_task(follower_.follow())
        await asyncio.sleep(0.1)
        task.cancel()
        self.assertEqual(store.calls, ["all", "after 7", "after 8"])
        restarts = [e for e in received if isinstance(e, events.WatchRestarted)]
        self.assertEqual(restarts, [])

    async def test_restarts_in_each_pass_do_not_put_it_off(self) -> None:
        store = ScriptedStore([ports.StoreItems([config_item(1)], 7)])
        follower_ = follower.Follower(store, lambda event: None, lambda: 1.0)
        task = asyncio.create_task(follower_.follow())
        await asyncio.sleep(0.05)
        for _ in range(40):
            follower_.restart_watch()
            await asyncio.sleep(0)
        task.cancel()
        self.assertGreater(len(store.calls), 4)


class LeftOutChangeTest(unittest.IsolatedAsyncioTestCase):
    """A watch leaves a change out and gives no sign of it."""

    async def follow(
        self, answers: list[ports.StoreItems | Exception]
    ) -> list[events.Event]:
        """Follows a store that is read whole with every second call."""
        store = ScriptedStore(answers)
        received: list[events.Event] = []
        follower_ = follower.Follower(
            store,
            received.append,
            lambda: 1.0,
            is_whole_read_due=lambda: len(store.calls) % 2 == 0,
        )
        task = asyncio.create_task(follower_.follow())
        await asyncio.sleep(0.05)
        task.cancel()
        return received

    async def test_whole_read_finds_it(self) -> None:
        # Version 2 was written at revision 8; the watch passed over it.
        received = await self.follow(
            [
                ports.StoreItems([config_item(1), shared_item(3)], 7),
                ports.StoreItems([], 9),
                ports.StoreItems([config_item(2)._replace(revision=8)], 9),
            ]
        )
        missed = [e for e in received if isinstance(e, events.ChangeMissed)]
        self.assertEqual([each.revision for each in missed], [8])
        seen = [e for e in received if isinstance(e, events.CatalogSeen)]
        self.assertEqual([each.catalog.version for each in seen], [1, 2])
        whole = [e for e in received if isinstance(e, events.SnapshotRead)]
        self.assertEqual(whole[-1].shared, frozenset())

    async def test_what_is_known_is_not_reported_again(self) -> None:
        items = [config_item(1), shared_item(3)]
        received = await self.follow(
            [
                ports.StoreItems(items, 7),
                ports.StoreItems([shared_item(8)], 8),
                ports.StoreItems([config_item(1), shared_item(8)], 9),
                ports.StoreItems([], 9),
                ports.StoreItems([config_item(1), shared_item(10)], 10),
            ]
        )
        shared = [e for e in received if isinstance(e, events.SharedValueSeen)]
        self.assertEqual([each.revision for each in shared], [3, 8, 10])
        missed = [e for e in received if isinstance(e, events.ChangeMissed)]
        self.assertEqual(missed, [])


class BusyStore:
    """A store that changes every few milliseconds.

    Attributes:
      calls: The calls made.
      revision: The revision of the last answer.
    """

    CHANGE_S = 0.005

    def __init__(self) -> None:
        self.calls = 0
        self.revision = 0
        self.started_at = asyncio.get_running_loop().time()

    async def read_all(self) -> ports.StoreItems:
        """Returns the whole store."""
        self.calls += 1
        return ports.StoreItems([config_item(1)], 1)

    def is_answer_arriving(self) -> bool:
        """Returns False: each answer arrives as a whole."""
        return False

    async def watch(self, after: int, wait_s: float) -> ports.StoreItems:
        """Returns what has changed."""
        del after, wait_s
        self.calls += 1
        await asyncio.sleep(self.CHANGE_S)
        passed_s = asyncio.get_running_loop().time() - self.started_at
        self.revision = int(passed_s / self.CHANGE_S)
        return ports.StoreItems([shared_item(self.revision)], self.revision)


if __name__ == "__main__":
    unittest.main()
