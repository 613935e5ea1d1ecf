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

HOST = "127.0.0.1"
FIRST_REVISION = 7
# How long the link takes for a large answer: longer than the timeout of a call
# whose answer does not begin.
ANSWER_S = 2.0
PACKET_S = 0.05  # Between two parts of an answer.
CHECK_S = 0.1  # Between two checks whether changes are missed.
DOUBT_S = 1.0  # Until an instance that lacks a change calls anew.
# Beyond what the link takes: the start of the answer, and a busy machine.
SLACK_S = 0.5
GUARD_S = 8.0


def make_item(version: int, padding: int = 0) -> dict[str, Any]:
    """Returns the store's item of a version of the configuration.

    Args:
      version: The version.
      padding: By how many bytes it is larger than it need be.
    """
    config = {
        "Version": version,
        "Routes": [],
        "Services": [],
        "Tenants": [],
        "Padding": "x" * padding,
    }
    return {
        "Key": "op/config",
        "Value": base64.b64encode(json.dumps(config).encode()).decode(),
        "Revision": FIRST_REVISION + version,
        "Created": 1,
        "Lease": 0,
    }


class SlowLinkStore:
    """A store behind a link that takes long for an answer.

    Attributes:
      port: Its port.
      calls: The calls: "all" or "watch", in their order.
      version: The newest version of the configuration.
      changed: Set when there is a newer one.
    """

    PADDING = 0  # Bytes of a version.

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.version = 1
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening."""
        if self.server is not None:
            self.server.close()

    def change(self) -> None:
        """Writes another version."""
        self.version += 1
        self.changed.set()

    def link_s(self, versions: int) -> float:
        """Returns how long the link takes for a number of versions."""
        del versions
        return 0.0 if self.version == 1 else ANSWER_S

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
        if path.startswith("/v1/kv-range"):
            self.calls.append("all")
            items = [make_item(self.version, self.PADDING)]
            await self._send("items", items, writer)
            return
        self.calls.append("watch")
        after = int(path.split("after=")[1].split("&")[0]) - FIRST_REVISION
        while self.version <= after:
            self.changed.clear()
            await self.changed.wait()
        items = []
        for version in range(after + 1, self.version + 1):
            items.append(make_item(version, self.PADDING))
        await self._send("events", items, writer)

    async def _send(
        self, name: str, items: list[Any], writer: asyncio.StreamWriter
    ) -> None:
        """Sends items, evenly over the time that the link takes."""
        as_of = FIRST_REVISION + self.version
        body = json.dumps({name: items, "HasMore": False, "AsOf": as_of})
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        data = (head + body).encode()
        packets = max(1, round(self.link_s(len(items)) / PACKET_S))
        size = -(-len(data) // packets)
        for start in range(0, len(data), size):
            if packets > 1:
                await asyncio.sleep(PACKET_S)
            if writer.is_closing():
                return
            writer.write(data[start : start + size])
            await writer.drain()


class ManyVersionsStore(SlowLinkStore):
    """A store in which versions come faster than the link carries them."""

    VERSION_S = 0.1  # Between two versions.
    CARRIED_S = 0.2  # How long the link takes for one.
    PADDING = 100_000

    def link_s(self, versions: int) -> float:
        """Returns how long the link takes for a number of versions."""
        return versions * self.CARRIED_S

    async def write_versions(self, count: int) -> None:
        """Writes versions in quick succession."""
        for _ in range(count):
            await asyncio.sleep(self.VERSION_S)
            self.change()


class SlowLinkTestCase(unittest.IsolatedAsyncioTestCase):
    """Follows a store over a slow link.

    Attributes:
      store: The store.
      versions: When each version of the configuration came into force.
      is_in_doubt: Whether changes may be missed, so that calls wait shortly.
    """

    STORE = SlowLinkStore

    async def asyncSetUp(self) -> None:
        self.store = self.STORE()
        await self.store.start()
        self.addCleanup(self.store.close)
        self.versions: dict[int, float] = {}
        self.is_in_doubt = False

    def follow(self) -> None:
        """Starts to follow the store."""
        self.follower = follower.Follower(
            store.Store(HOST, self.store.port),
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

    async def wait_until(self, is_done: Callable[[], bool]) -> None:
        """Waits until something is so."""
        async with asyncio.timeout(GUARD_S):
            while not is_done():
                await asyncio.sleep(0.01)


class SlowAnswerTest(SlowLinkTestCase):
    """An answer that is arriving is read to its end, by the first call."""

    changed_at = 0.0

    def change(self) -> None:
        """Puts version 2 into the store."""
        self.store.change()
        self.changed_at = time.monotonic()

    async def follow_until_change(self) -> None:
        """Follows the store; puts version 2 into it during a call."""
        self.follow()
        await self.wait_until(lambda: "watch" in self.store.calls)
        self.change()
        await asyncio.sleep(DOUBT_S)

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


class ManyVersionsTest(SlowLinkTestCase):
    """Versions come faster than a slow link carries them all."""

    STORE = ManyVersionsStore
    VERSIONS = 40
    # The reading that was in progress, and one more.
    MAX_BEHIND_S = 2 * ManyVersionsStore.CARRIED_S

    async def test_newest_version_does_not_wait_for_all_others(self) -> None:
        self.follow()
        await self.store.write_versions(self.VERSIONS)
        newest_at = time.monotonic()
        newest = self.store.version
        await self.wait_until(lambda: newest in self.versions)
        behind_s = self.versions[newest] - newest_at
        self.assertLess(behind_s, self.MAX_BEHIND_S + SLACK_S)


if __name__ == "__main__":
    unittest.main()
