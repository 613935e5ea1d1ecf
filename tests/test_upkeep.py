"""Tests of the background loops of an instance."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from loguru import logger

from cuminwall import calls, confighead, configstore, upkeep
from cuminwall.ports import StoreEntry

ROUND_S = 0.01  # Pauses between rounds in these tests.
GUARD_S = 5.0


class LoopTest(unittest.IsolatedAsyncioTestCase):
    """A loop meets an error that nobody expected, then none."""

    def setUp(self) -> None:
        self.engine = mock.Mock()
        times = self.engine.state.times
        times.tick_s = times.list_interval_s = ROUND_S
        self.engine.state.config.version = 0
        self.store = mock.Mock()
        self.instances = mock.AsyncMock()
        nothing: Any = None
        self.upkeep = upkeep.Upkeep(
            self.engine, self.store, self.instances, nothing, nothing
        )
        self.lines: list[str] = []
        sink = logger.add(self.lines.append, format="{level} {message}")
        self.addCleanup(logger.remove, sink)
        self.replace("cuminwall.reruns.RERUN_S", ROUND_S)
        self.replace("cuminwall.upkeep.WATCH_PAUSE_S", ROUND_S)
        self.replace("cuminwall.upkeep.FETCH_PAUSE_S", ROUND_S)

    def replace(self, name: str, value: Any) -> None:
        """Replaces something for the duration of a test."""
        patch = mock.patch(name, value)
        patch.start()
        self.addCleanup(patch.stop)

    async def check(self, loop: Any, done: asyncio.Event) -> None:
        """Checks that a loop gets on after an error, and logs that once."""
        task = asyncio.create_task(loop)
        waiting = asyncio.create_task(done.wait())
        await asyncio.wait(
            (task, waiting),
            timeout=GUARD_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        self.assertFalse(task.done())
        self.assertTrue(done.is_set())
        for each in (task, waiting):
            each.cancel()
        await asyncio.gather(task, waiting, return_exceptions=True)
        self.assertTrue(task.cancelled())
        self.assertEqual(len(self.lines), 1)
        self.assertRegex(self.lines[0], "^ERROR upkeep: .*Error")

    def fail_first(self, done: asyncio.Event, result: Any) -> Any:
        """Returns a function that fails once and then sets `done`."""
        outcomes = iter([KeyError("malformed")])

        def answer(*arguments: Any) -> Any:
            del arguments
            for error in outcomes:
                raise error
            done.set()
            return result

        return answer

    async def test_ticks(self) -> None:
        done = asyncio.Event()
        self.engine.feed.side_effect = self.fail_first(done, None)
        await self.check(self.upkeep._tick(), done)

    async def test_announcements(self) -> None:
        done = asyncio.Event()
        self.instances.announce.side_effect = self.fail_first(done, None)
        await self.check(self.upkeep._announce(), done)

    async def test_instance_list(self) -> None:
        done = asyncio.Event()
        self.instances.list_instances.side_effect = self.fail_first(done, ())
        await self.check(self.upkeep._read_list(), done)

    async def test_watch_of_a_relay(self) -> None:
        done = asyncio.Event()
        self.replace("cuminwall.relays.needs_watch", lambda state: True)
        malformed = StoreEntry(f"{calls.SHARDS_PREFIX}1", b"{", 1)
        snapshot = mock.Mock(entries=[malformed], revision=1)
        self.store.read_prefix = mock.AsyncMock(return_value=snapshot)

        async def watch(root: str, revision: int) -> Any:
            del root, revision
            done.set()
            await asyncio.Event().wait()
            yield []

        self.store.watch = watch
        check = asyncio.create_task(self.check(self.upkeep._watch(), done))
        while not self.store.read_prefix.await_count:
            await asyncio.sleep(0)
        snapshot.entries = []
        self.engine.state.shard_count = 0
        await check

    async def test_configuration(self) -> None:
        done = asyncio.Event()
        reader = mock.AsyncMock()
        reader.get.return_value = StoreEntry(confighead.HEAD_KEY, b"{}", 1)
        self.replace("cuminwall.upkeep.Upkeep._readers", lambda _: [reader])
        self.upkeep.request_config(1)
        load_changed = configstore.load_changed

        # The repair of the value is not followed by another request.
        async def load(*arguments: Any) -> Any:
            if reader.get.await_count:
                done.set()
                await asyncio.Event().wait()
            return await load_changed(*arguments)

        self.replace("cuminwall.configstore.load_changed", load)
        await self.check(self.upkeep._load_configurations(), done)


if __name__ == "__main__":
    unittest.main()
