"""Tests of the follower with a store that leaves changes out."""

import asyncio
import unittest

from cuminwall import exceptions
from cuminwall.direct import catalog, events, follower, ports


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


if __name__ == "__main__":
    unittest.main()
