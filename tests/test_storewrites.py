"""Tests of swaps whose answer may be lost."""

import asyncio
import unittest
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall import exceptions, ports, store, storewrites
from cuminwall_standins import platform

GUARD_S = 60.0
KEY = "group/billing-db"
OURS = "w-ours"

Unavailable = exceptions.StoreUnavailableError


class Copy(NamedTuple):
    """A swap that is still under way."""

    expected_revision: int
    value: bytes


class FakeStore:
    """One key, a script of faults, and the true history.

    Attributes:
      swap_faults: For each swap "", "lost", "never" or "late"; then "".
      before_calls: For each call "", "other", "deliver" or "down"; then "".
      history: Each value that ever stood, with its revision.
    """

    def __init__(self, swap_faults=(), before_calls=(), exists=True):
        self.swap_faults = list(swap_faults)
        self.before_calls = list(before_calls)
        self.revision = 5
        self.entry = None
        self.history = []
        self.late = []
        self.others = 0
        if exists:
            self.write(b'{"write_id": "w-old"}')

    def write(self, value):
        self.revision += 1
        self.entry = ports.StoreEntry(KEY, value, self.revision)
        self.history.append(self.entry)

    def write_other(self):
        self.others += 1
        self.write(storewrites.encode_body({}, f"w-other-{self.others}"))

    def standing_revision(self):
        return self.entry.revision if self.entry else 0

    def apply(self, copy):
        if self.standing_revision() != copy.expected_revision:
            return ports.SwapConflict(self.entry)
        self.write(copy.value)
        return ports.Swapped(self.revision)

    def deliver_late(self):
        copies, self.late = self.late, []
        for copy in copies:
            self.apply(copy)

    def happen(self):
        event = self.before_calls.pop(0) if self.before_calls else ""
        if event == "other":
            self.write_other()
        elif event == "deliver":
            self.deliver_late()
        elif event == "down":
            raise Unavailable("down")

    async def get(self, key):
        self.happen()
        return self.entry

    async def swap(self, key, expected_revision, value, lease_id=0):
        self.happen()
        copy = Copy(expected_revision, value)
        fault = self.swap_faults.pop(0) if self.swap_faults else ""
        if fault == "":
            return self.apply(copy)
        if fault == "lost":
            self.apply(copy)
        elif fault == "late":
            self.late.append(copy)
        raise Unavailable(fault)

    def own_revisions(self):
        found = []
        for entry in self.history:
            if storewrites.read_write_id(entry.value) == OURS:
                found.append(entry.revision)
        return found


async def swap(fake, expected_revision, repeated=False, read_tries=3):
    return await storewrites.swap_with_id(
        fake,
        KEY,
        expected_revision,
        {"term": 4},
        OURS,
        repeated=repeated,
        read_tries=read_tries,
        read_pause_s=0.0,
    )


class OutcomeTest(unittest.IsolatedAsyncioTestCase):
    """One case for each answer."""

    async def test_plain(self):
        fake = FakeStore()
        self.assertEqual(await swap(fake, 6), ports.Swapped(7))
        self.assertEqual(fake.entry.value, b'{"term": 4, "write_id": "w-ours"}')

    async def test_conflict(self):
        fake = FakeStore()
        answer = await swap(fake, 5)
        self.assertIs(type(answer), ports.SwapConflict)
        self.assertEqual(answer.current, fake.entry)

    async def test_lost_after_effect(self):
        fake = FakeStore(["lost"])
        self.assertEqual(await swap(fake, 6), ports.Swapped(7))
        self.assertEqual(fake.own_revisions(), [7])

    async def test_lost_and_replaced_is_superseded(self):
        fake = FakeStore(["lost"], ["", "other"])
        answer = await swap(fake, 6)
        self.assertIs(type(answer), storewrites.Superseded)
        self.assertIsInstance(answer, ports.SwapConflict)
        self.assertEqual(answer.current, fake.entry)
        self.assertEqual(fake.own_revisions(), [7])

    async def test_late_copy_is_unclear_until_repeated(self):
        fake = FakeStore(["late"])
        answer = await swap(fake, 6)
        self.assertIs(answer, storewrites.STILL_EXPECTED)
        self.assertEqual(fake.own_revisions(), [])
        fake.deliver_late()
        answer = await swap(fake, 6, repeated=True)
        self.assertEqual(answer, ports.Swapped(7))
        self.assertEqual(fake.own_revisions(), [7])

    async def test_late_copy_after_its_retry_has_no_effect(self):
        fake = FakeStore(["late"])
        await swap(fake, 6)
        self.assertEqual(await swap(fake, 6, repeated=True), ports.Swapped(7))
        fake.deliver_late()
        self.assertEqual(fake.own_revisions(), [7])

    async def test_late_copy_that_comes_while_reading_back(self):
        fake = FakeStore(["late"], ["", "", "deliver"])
        self.assertEqual(await swap(fake, 6), ports.Swapped(7))

    async def test_retry_superseded(self):
        fake = FakeStore(["late"])
        await swap(fake, 6)
        fake.deliver_late()
        fake.write_other()
        answer = await swap(fake, 6, repeated=True)
        self.assertIs(type(answer), storewrites.Superseded)

    async def test_reads_are_bounded(self):
        fake = FakeStore(["lost"], ["", "down", "down", "down"])
        answer = await swap(fake, 6)
        self.assertIs(answer, storewrites.NOT_READ_BACK)
        self.assertEqual(fake.before_calls, [])
        fake = FakeStore(["lost"], ["", "down", "down"])
        self.assertEqual(await swap(fake, 6), ports.Swapped(7))

    async def test_new_key(self):
        fake = FakeStore(["lost"], exists=False)
        self.assertEqual(await swap(fake, 0), ports.Swapped(6))
        fake = FakeStore(["never"], exists=False)
        self.assertIs(await swap(fake, 0), storewrites.STILL_EXPECTED)

    async def test_deleted_by_another(self):
        fake = FakeStore(["never"])
        fake.entry = None
        answer = await swap(fake, 6)
        self.assertEqual(answer, storewrites.Superseded(None))
        self.assertIs(type(answer), storewrites.Superseded)

    def test_values_without_write_id(self):
        for value in (b"", b"{", b"\xff", b"[]", b"3", b"{}"):
            self.assertIsNone(storewrites.read_write_id(value))
        self.assertIsNone(storewrites.read_write_id(b'{"write_id": 3}'))


faults = st.sampled_from(["", "lost", "never", "late"])
events = st.sampled_from(["", "", "other", "deliver", "down"])


class HistoryTest(unittest.TestCase):
    """Any sequence of faults: what is answered is true of the history."""

    @classmethod
    def setUpClass(cls):
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)

    @settings(derandomize=True, deadline=None, database=None, max_examples=1500)
    @given(
        st.lists(faults, max_size=4),
        st.lists(events, max_size=12),
        st.integers(1, 3),
        st.booleans(),
        st.booleans(),
    )
    def test_results_agree_with_the_history(
        self, swap_faults, before_calls, read_tries, exists, stale
    ):
        fake = FakeStore(swap_faults, before_calls, exists)
        expected = fake.standing_revision()
        if stale:
            fake.write_other()
        self.runner.run(self.check(fake, expected, read_tries))

    async def check(self, fake, expected, read_tries):
        answer = storewrites.NOT_READ_BACK
        for attempt in range(4):
            if not isinstance(answer, storewrites.Unclear):
                break
            answer = await swap(fake, expected, attempt > 0, read_tries)
        before = fake.own_revisions()
        fake.deliver_late()
        after = fake.own_revisions()
        self.assertLessEqual(len(after), 1)
        if isinstance(answer, ports.Swapped):
            self.assertEqual(before, [answer.revision])
        elif isinstance(answer, storewrites.Superseded):
            self.assertEqual(before, after)
        elif isinstance(answer, ports.SwapConflict):
            self.assertEqual(after, [])


class StandinTest(unittest.IsolatedAsyncioTestCase):
    """Against the stand-in platform over HTTP."""

    async def asyncSetUp(self):
        self.server = platform.PlatformServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.endpoint = f"http://127.0.0.1:{self.server.port}"

    def open_store(self, timeout_s=GUARD_S):
        opened = store.EtcdStore(self.endpoint, "broome", timeout_s)
        self.addAsyncCleanup(opened.close)
        return opened

    async def test_lost_answer(self):
        opened = self.open_store()
        self.server.apply_faults({"lose_answers": 1})
        answer = await swap(opened, 0)
        self.assertEqual(answer, ports.Swapped(2))

    async def test_hang_then_repeated(self):
        opened = self.open_store(timeout_s=0.2)
        self.server.apply_faults({"down": "hang"})
        answer = await swap(opened, 0, read_tries=1)
        self.assertIs(answer, storewrites.NOT_READ_BACK)
        self.server.apply_faults({"down": "ok"})
        patient = self.open_store()
        answer = await swap(patient, 0, repeated=True)
        self.assertEqual(answer, ports.Swapped(2))
        self.assertEqual(self.server.keys.revision, 2)

    async def test_racing_appends_with_lost_answers(self):
        """Every item is recorded once although answers get lost."""

        async def append(opened, item):
            while True:
                entry = await opened.get(KEY)
                items, revision = [], 0
                if entry is not None:
                    body = storewrites.json.loads(entry.value)
                    items, revision = body["items"], entry.revision
                answer = storewrites.NOT_READ_BACK
                repeated = False
                while isinstance(answer, storewrites.Unclear):
                    answer = await storewrites.swap_with_id(
                        opened,
                        KEY,
                        revision,
                        {"items": [*items, item]},
                        f"w-{item}",
                        repeated=repeated,
                        read_pause_s=0.0,
                    )
                    repeated = True
                if isinstance(answer, ports.Swapped):
                    return
                current = storewrites.json.loads(answer.current.value)
                # Values are append-only, so this tells who overtook whom.
                if item in current["items"]:
                    self.assertIsInstance(answer, storewrites.Superseded)
                    return

        async def append_all(writer):
            opened = self.open_store()
            for number in range(8):
                if number % 2:
                    self.server.apply_faults({"lose_answers": 2})
                await append(opened, f"{writer}-{number}")

        async with asyncio.timeout(GUARD_S):
            await asyncio.gather(*[append_all(one) for one in range(5)])
        self.server.apply_faults({"lose_answers": 0})
        entry = await self.open_store().get(KEY)
        items = storewrites.json.loads(entry.value)["items"]
        self.assertEqual(len(items), 40)
        self.assertEqual(len(set(items)), 40)


if __name__ == "__main__":
    unittest.main()
