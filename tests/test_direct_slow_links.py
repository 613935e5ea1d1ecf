"""Tests of an instance whose link is slow beside a large configuration."""

import asyncio
import base64
import json
import pathlib
import sys
import time
import unittest
from collections.abc import Callable
from typing import Any

from cuminwall.direct import events, follower, store_view

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from fleet import store  # noqa: E402

FIRST_REVISION = 7
# How long the link takes for the large answer: longer than the timeout of a
# call whose answer does not begin.
ANSWER_S = 2.0
CHUNKS = 40
CHECK_S = 0.1  # Between two checks whether changes are missed.
DOUBT_S = 1.0  # Until an instance that lacks a change calls anew.
# Beyond what the link takes: the start of the answer, and a busy machine.
SLACK_S = 0.5
GUARD_S = 8.0


def make_item(version: int) -> dict[str, Any]:
    """Returns the store's item of a version of the configuration."""
    config = {"Version": version, "Routes": [], "Services": [], "Tenants": []}
    return {
        "Key": "op/config",
        "Value": base64.b64encode(json.dumps(config).encode()).decode(),
        "Revision": FIRST_REVISION + version,
        "Created": 1,
        "Lease": 0,
    }


class SlowLinkStore:
    """A store behind a link that takes long for an answer with a change.

    Attributes:
      port: Its port.
      calls: The calls: "all" or "watch", in their order.
      changed: Set once there is version 2 of the configuration.
    """

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=65536
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the calls of one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                await self._answer(head.split(" ")[1], writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, writer: asyncio.StreamWriter) -> None:
        """Answers one call."""
        version = 2 if self.changed.is_set() else 1
        as_of = FIRST_REVISION + version
        if path.startswith("/v1/kv-range"):
            self.calls.append("all")
            page = {
                "items": [make_item(version)],
                "HasMore": False,
                "AsOf": as_of,
            }
            await self._send(page, ANSWER_S * (version - 1), writer)
            return
        self.calls.append("watch")
        if f"after={FIRST_REVISION + 1}&" in path:
            await self.changed.wait()
            answer = {"events": [make_item(2)], "AsOf": FIRST_REVISION + 2}
            await self._send(answer, ANSWER_S, writer)
            return
        await asyncio.sleep(GUARD_S)

    async def _send(
        self, body: dict[str, Any], seconds: float, writer: asyncio.StreamWriter
    ) -> None:
        """Sends an answer, evenly over some time."""
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
        data = head.encode() + data
        size = -(-len(data) // CHUNKS)
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            await asyncio.sleep(seconds / CHUNKS)

    def close(self) -> None:
        """Stops listening."""
        if self.server is not None:
            self.server.close()


class SlowAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer that is arriving is read to its end, by the first call."""

    async def asyncSetUp(self) -> None:
        self.store = SlowLinkStore()
        await self.store.start()
        self.addCleanup(self.store.close)
        self.versions: dict[int, float] = {}
        self.is_in_doubt = False
        self.changed_at = 0.0

    def follow(self) -> None:
        """Starts to follow the store."""
        self.follower = follower.Follower(
            store.Store("127.0.0.1", self.store.port),
            self.handle,
            time.monotonic,
            find_wait_s=self.find_wait_s,
        )
        task = asyncio.create_task(self.follower.follow())
        self.addCleanup(task.cancel)

    def find_wait_s(self) -> float:
        """Returns how long the next call waits for a change."""
        if self.is_in_doubt:
            return store_view.SHORT_WAIT_S
        return store_view.LONG_WAIT_S

    def handle(self, event: events.Event) -> None:
        """Records when a version comes into force."""
        if isinstance(event, events.CatalogSeen):
            self.versions.setdefault(event.catalog.version, event.now)

    def change(self) -> None:
        """Puts version 2 into the store."""
        self.store.changed.set()
        self.changed_at = time.monotonic()

    async def follow_until_change(self) -> None:
        """Follows the store; puts version 2 into it during a call."""
        self.follow()
        await self.wait_until(lambda: "watch" in self.store.calls)
        self.change()
        await asyncio.sleep(DOUBT_S)

    async def wait_until(self, is_done: Callable[[], bool]) -> None:
        """Waits until something is so."""
        async with asyncio.timeout(GUARD_S):
            while not is_done():
                await asyncio.sleep(0.01)

    async def check(self, calls: list[str]) -> None:
        """Fails unless version 2 came by these calls, without a break."""
        await self.wait_until(lambda: 2 in self.versions)
        self.assertEqual(self.store.calls[: len(calls)], calls)
        took_s = self.versions[2] - self.changed_at
        self.assertLess(took_s, ANSWER_S + SLACK_S)

    async def test_whole_store_is_read(self) -> None:
        self.change()
        self.follow()
        await self.check(["all"])

    async def test_change_is_read_in_doubt(self) -> None:
        await self.follow_until_change()
        self.is_in_doubt = True
        async with asyncio.timeout(GUARD_S):
            while 2 not in self.versions:
                self.follower.restart_watch()
                await asyncio.sleep(CHECK_S)
        await self.check(["all", "watch"])

    async def test_change_is_read_before_all_is_read_again(self) -> None:
        await self.follow_until_change()
        async with asyncio.timeout(GUARD_S):
            while 2 not in self.versions:
                self.follower.reread()
                await asyncio.sleep(CHECK_S)
        await self.check(["all", "watch"])
        self.follower.reread()
        await self.wait_until(lambda: self.store.calls.count("all") == 2)


if __name__ == "__main__":
    unittest.main()
