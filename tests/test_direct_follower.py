"""Following the store, by what a store does that loses changes."""

import asyncio
import unittest

from cuminwall import exceptions
from cuminwall.direct import catalog, events, follower, ports


def version(number: int) -> ports.StoreItem:
    """Returns the fact of a version of the configuration."""
    value = catalog.EMPTY._replace(version=number)
    return ports.StoreItem(ports.ItemKind.CATALOG, "", value, number)


def shared(revision: int) -> ports.StoreItem:
    """Returns the fact of a shared value."""
    return ports.StoreItem(ports.ItemKind.SHARED, "x", b"", revision)


class Script:
    """A store that answers as it is told.

    Attributes:
      answers: The answers to come; an error is raised.
      calls: What was asked: "all", or after which revision.
    """

    def __init__(self, answers: list[ports.StoreItems | Exception]):
        self.answers = answers
        self.calls: list[str] = []

    async def read_all(self) -> ports.StoreItems:
        """Returns the next answer."""
        return await self._next("all")

    async def changes(self, after: int, wait_s: float) -> ports.StoreItems:
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


async def follow(script: Script) -> list[events.Event]:
    """Follows a store for a moment; returns the events."""
    heard: list[events.Event] = []
    followed = follower.Follower(script, heard.append, lambda: 1.0)
    task = asyncio.create_task(followed.follow())
    await asyncio.sleep(0.3)
    task.cancel()
    return heard


class MissedChangeTest(unittest.IsolatedAsyncioTestCase):
    """A change that an answer has left out is found."""

    async def test_change_passed_over_before_the_wait_was_cut(self) -> None:
        # Version 2 came at revision 8. The store told of 9 alone and dropped
        # its history, so that a wait from 9 on finds nothing missing.
        script = Script(
            [
                ports.StoreItems([version(1)], 7),
                ports.StoreItems([shared(9)], 9),
                exceptions.StoreUnavailableError("reset"),
                ports.StoreItems([version(2), shared(9)], 9),
            ]
        )
        heard = await follow(script)
        versions = []
        for event in heard:
            if isinstance(event, events.CatalogSeen):
                versions.append(event.catalog.version)
        self.assertEqual(versions, [1, 2])
        wanted = ["all", "after 7", "after 9", "all", "after 9"]
        self.assertEqual(script.calls, wanted)

    async def test_wait_without_a_change_goes_on(self) -> None:
        script = Script(
            [ports.StoreItems([version(1)], 7), ports.StoreItems([], 8)]
        )
        await follow(script)
        self.assertEqual(script.calls, ["all", "after 7", "after 8"])


if __name__ == "__main__":
    unittest.main()
