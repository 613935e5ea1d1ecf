"""Tests that each instance in touch learns of each change in time."""

import asyncio
import unittest

from cuminwall.direct import follower, ports, store_view
from tests import store_model

FLEET = 73  # Instances, as in the largest deployment with this bound.
START_S = 6.0  # Until all instances have registered and one coordinates.
WARM_S = 4.0  # Of traffic, until tokens are asked for all the time.
BUSY_RATE = 8.0  # Operations a second of each instance; more than its tokens.
# How long a call of the store may be put off once it is wanted: by the pause
# after a change, and by a short wait that is in progress.
MAX_STARVED_S = (
    follower.MAX_PAUSE_S
    + store_view.SHORT_WAIT_S
    + store_model.WATCH_TIMEOUT_S
    + 0.1
)


class ModelTestCase(unittest.TestCase):
    """Makes worlds and checks them."""

    def make_world(
        self, size: int, rate: float, seed: int = 1
    ) -> store_model.StoreWorld:
        """Returns a world with traffic."""
        world = store_model.StoreWorld(size, seed)
        self.addCleanup(world.close)
        world.run(START_S)
        store_model.Traffic(world, rate).start()
        world.run(WARM_S)
        return world

    def check(self, world: store_model.StoreWorld) -> None:
        """Fails if an instance lacked a change for too long."""
        if world.failures:
            self.fail(world.describe_failures())

    def check_starvation(
        self, world: store_model.StoreWorld, since: float
    ) -> None:
        """Fails if an instance wanted a call and did not make it."""
        starved = []
        for instance in world.alive():
            longest_s = instance.longest_starvation_s(since)
            if longest_s > MAX_STARVED_S:
                causes = dict(instance.restart_causes)
                starved.append((round(longest_s, 2), instance.name, causes))
        starved.sort(key=lambda each: each[0], reverse=True)
        if starved:
            self.fail(f"{len(starved)} starved, the longest: {starved[:3]}")

    def check_all(self, world: store_model.StoreWorld, since: float) -> None:
        """Checks what the instances know and that they call the store."""
        with self.subTest("changes"):
            self.check(world)
        with self.subTest("calls"):
            self.check_starvation(world, since)


class StarvedWatchTest(ModelTestCase):
    """An instance in doubt puts off its call of the store again and again."""

    def hang(self) -> tuple[store_model.StoreWorld, float]:
        """Returns a world after watches hung while changes came."""
        world = self.make_world(FLEET, BUSY_RATE)
        world.evacuate("z8", True)
        world.run(2.0)
        since = world.now
        world.hang_watches()
        for step in range(120):
            cold_s = float(step % 2)
            world.write_entry(world.servers["q"], cold_s=cold_s)
            if step == 55:
                world.evacuate("z9", True)
            world.run(0.1)
        return world, since

    def kill_coordinator(
        self, seed: int
    ) -> tuple[store_model.StoreWorld, float]:
        """Returns a world after the end of its coordinator."""
        world = self.make_world(FLEET, BUSY_RATE, seed)
        since = world.now
        world.kill(world.coordinator().name)
        world.run(3.0)
        world.evacuate("z9", True)
        world.change_route()
        world.run(8.0)
        return world, since

    def test_changes_are_known_though_watches_hang(self) -> None:
        self.check_all(*self.hang())

    def test_changes_are_known_after_the_end_of_the_coordinator(self) -> None:
        self.check_all(*self.kill_coordinator(1))

    def test_follower_calls_though_it_is_restarted_in_its_pause(self) -> None:
        loop = store_model.SimulatedLoop()
        self.addCleanup(loop.close)
        store = ChangingStore(loop)
        waits = [store_view.LONG_WAIT_S]
        follower_ = follower.Follower(
            store,
            lambda event: None,
            loop.time,
            lambda: follower.pause_s(FLEET),
            lambda: waits.pop() if waits else store_view.SHORT_WAIT_S,
        )

        async def restart() -> None:
            task = asyncio.ensure_future(follower_.follow())
            for _ in range(100):
                await asyncio.sleep(0.1)
                follower_.restart_watch()
            task.cancel()

        loop.run_until_complete(restart())
        ends = [*store.call_times, loop.time()]
        gaps = [b - a for a, b in zip(ends, ends[1:], strict=False)]
        self.assertLessEqual(max(gaps), MAX_STARVED_S)


class ChangingStore:
    """A store that reports a change soon after each call.

    Attributes:
      loop: The event loop.
      call_times: When it was called.
    """

    CHANGE_S = 0.05

    def __init__(self, loop: store_model.SimulatedLoop):
        self.loop = loop
        self.call_times: list[float] = []

    async def read_all(self) -> ports.StoreItems:
        """Returns an empty store."""
        self.call_times.append(self.loop.time())
        return ports.StoreItems([], 1)

    async def watch(self, after: int, wait_s: float) -> ports.StoreItems:
        """Returns the next change."""
        del wait_s
        self.call_times.append(self.loop.time())
        await asyncio.sleep(self.CHANGE_S)
        item = ports.StoreItem(ports.ItemKind.SHARED, "x", b"", after + 1)
        return ports.StoreItems([item], after + 1)


if __name__ == "__main__":
    unittest.main()
