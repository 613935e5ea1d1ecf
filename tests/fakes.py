"""A fake of the platform's store."""

import asyncio
from collections.abc import AsyncIterator

from cuminwall.exceptions import StoreUnavailableError
from cuminwall.ports import StoreEntry, SwapConflict, Swapped


async def do_nothing(method: str, key: str) -> None:
    """Default of `FakeStore.before_call`."""


class FakeStore:
    """A key-value store in memory that can inject faults.

    Attributes:
      entries: The stored entries by key.
      revision: The revision of the last change.
      calls: The method and key of each call.
      down: Whether every call fails without effect.
      answers_lost: How many of the next swaps take effect but lose their
        answer.
      before_call: Awaited before each call with its method and key.
      changed: Notified of each change.
    """

    def __init__(self) -> None:
        self.entries: dict[str, StoreEntry] = {}
        self.revision = 0
        self.calls: list[tuple[str, str]] = []
        self.down = False
        self.answers_lost = 0
        self.before_call = do_nothing
        self.changed = asyncio.Condition()

    async def _enter(self, method: str, key: str) -> None:
        await asyncio.sleep(0)
        await self.before_call(method, key)
        self.calls.append((method, key))
        if self.down:
            raise StoreUnavailableError("down")

    async def get(self, key: str) -> StoreEntry | None:
        await self._enter("get", key)
        return self.entries.get(key)

    async def get_prefix(self, prefix: str) -> list[StoreEntry]:
        await self._enter("get_prefix", prefix)
        keys = sorted(key for key in self.entries if key.startswith(prefix))
        return [self.entries[key] for key in keys]

    async def swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes | None,
        lease_id: int = 0,
    ) -> Swapped | SwapConflict:
        await self._enter("swap", key)
        current = self.entries.get(key)
        if (current.revision if current else 0) != expected_revision:
            return SwapConflict(current)
        self.revision += 1
        if value is None:
            del self.entries[key]
        else:
            self.entries[key] = StoreEntry(key, value, self.revision)
        async with self.changed:
            self.changed.notify_all()
        if self.answers_lost:
            self.answers_lost -= 1
            raise StoreUnavailableError("answer lost")
        return Swapped(self.revision)

    async def grant_lease(self, ttl_s: int) -> int:
        await self._enter("grant_lease", "")
        self.revision += 1
        return self.revision

    async def keep_lease_alive(self, lease_id: int) -> float:
        await self._enter("keep_lease_alive", "")
        return 0.0

    async def revoke_lease(self, lease_id: int) -> None:
        await self._enter("revoke_lease", "")

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[list[StoreEntry]]:
        await self._enter("watch", prefix)
        while True:
            found = []
            for entry in list(self.entries.values()):
                is_new = entry.revision >= from_revision
                if entry.key.startswith(prefix) and is_new:
                    found.append(entry)
            if found:
                from_revision = self.revision + 1
                yield found
                continue
            async with self.changed:
                await self.changed.wait()
