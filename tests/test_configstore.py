"""Tests of reading and changing the configuration in the store."""

import asyncio
import itertools
import unittest
from unittest import mock

from cuminwall import (
    configapply,
    confighead,
    configparts,
    configstore,
    configuration,
    document,
)
from cuminwall.configapply import Applied, Conflict, Refused, StoreUnavailable
from cuminwall.exceptions import StoreUnavailableError
from tests.documents import sample
from tests.fakes import FakeStore, do_nothing

WRITE_IDS = itertools.count(1)


def with_rate(rate):
    """Returns the sample with another rate for the clerks."""
    value = sample()
    value["workspaces"]["clerks"]["rate"] = rate
    return value


class StoreTestCase(unittest.IsolatedAsyncioTestCase):
    """A store without pauses between attempts."""

    def setUp(self):
        self.store = FakeStore()
        patch = mock.patch.object(configstore, "RETRY_PAUSE_S", 0)
        patch.start()
        self.addCleanup(patch.stop)

    async def apply(self, value, base_version, author="ana"):
        """Applies a document under a new write id."""
        write_id = f"w{next(WRITE_IDS)}"
        origin = configapply.ChangeMetadata(base_version, author, write_id, 1.0)
        return await configapply.apply(self.store, value, origin)

    async def loaded(self):
        """Returns the version and the document in force."""
        snapshot = await configstore.load(self.store)
        return snapshot.head.version, snapshot.document

    def keys(self, word):
        """Returns the keys in the store that hold `word`."""
        return [key for key in self.store.entries if word in key]


class ApplyTest(StoreTestCase):
    """Changes that nobody disturbs."""

    async def test_versions_go_up_by_one(self):
        self.assertEqual(await self.apply(sample(), 0), Applied(1))
        self.assertEqual(await self.apply(with_rate(9), 1), Applied(2))
        version, value = await self.loaded()
        self.assertEqual(version, 2)
        self.assertEqual(value, document.normalize(with_rate(9)))

    async def test_applying_the_same_document_changes_nothing(self):
        await self.apply(sample(), 0)
        before = dict(self.store.entries)
        self.assertEqual(await self.apply(sample(), 0), Applied(1))
        self.assertEqual(self.store.entries, before)

    async def test_an_invalid_document_is_refused_without_a_store_call(self):
        found = await self.apply({"zones": 1, "x": 2}, 0)
        self.assertIsInstance(found, Refused)
        self.assertEqual(len(found.faults), 2)
        self.assertEqual(self.store.calls, [])

    async def test_too_large_a_part_is_refused(self):
        value = sample()
        tables = [
            f"table_with_a_long_name_{number}" for number in range(50_000)
        ]
        value["open_routes"][0]["tables"] = tables
        found = await self.apply(value, 0)
        self.assertIsInstance(found, Refused)
        self.assertEqual(found.faults[0].path, ("open_routes",))
        self.assertEqual(self.store.entries, {})

    async def test_a_small_change_reads_and_writes_little(self):
        await self.apply(sample(), 0)
        first = await configstore.load(self.store)
        await self.apply(with_rate(9), 1)
        self.store.calls.clear()
        second = await configstore.load_changed(self.store, first)
        self.assertEqual(len(self.store.calls), 2)
        self.assertEqual(second.document, document.normalize(with_rate(9)))
        self.assertIs(
            second.document["services"]["billing"],
            first.document["services"]["billing"],
        )

    async def test_parse_reuses_unchanged_items(self):
        await self.apply(sample(), 0)
        first = await configstore.load(self.store)
        parsed = configuration.parse(first.document, 1)
        changed = with_rate(9)
        changed["rules"][0]["max_age_s"] = 1
        await self.apply(changed, 1)
        second = await configstore.load_changed(self.store, first)
        found = configuration.parse(
            second.document, 2, (first.document, parsed)
        )
        self.assertEqual(found, configuration.parse(second.document, 2))
        self.assertIs(found.services["billing"], parsed.services["billing"])

    async def test_history_is_kept_to_a_bound(self):
        with mock.patch.object(configapply, "KEPT_VERSIONS", 3):
            for version in range(12):
                found = await self.apply(with_rate(version + 1), version)
                self.assertEqual(found, Applied(version + 1))
        self.assertEqual(len(self.keys("/history/")), 4)
        # Version 8 is the oldest in the history, and it replaced version 7.
        part = configparts.part_name("workspaces", "clerks")
        self.assertEqual(len(self.keys(part)), 6)
        expected = document.normalize(with_rate(12))
        self.assertEqual(await self.loaded(), (12, expected))
        changes = await configstore.read_history(self.store, 50)
        versions = [change.version for change in changes]
        self.assertEqual(versions, [8, 9, 10, 11, 12])
        self.assertEqual(
            [str(item) for item in changes[-1].differences],
            ["workspaces.clerks.rate: 11 -> 12"],
        )


class RaceTest(StoreTestCase):
    """Operators who change at the same time."""

    async def test_the_second_change_gets_a_conflict(self):
        await self.apply(sample(), 0)
        self.assertEqual(await self.apply(with_rate(7), 1, "ben"), Applied(2))
        found = await self.apply(with_rate(8), 1, "ana")
        self.assertIsInstance(found, Conflict)
        self.assertEqual((found.version, found.author), (2, "ben"))
        self.assertEqual(
            [str(item) for item in found.changes[0].differences],
            ["workspaces.clerks.rate: 50 -> 7"],
        )

    async def test_of_concurrent_changes_one_wins_and_the_rest_leave_no_parts(
        self,
    ):
        await self.apply(sample(), 0)
        found = await asyncio.gather(
            *(self.apply(with_rate(60 + n), 1, f"op{n}") for n in range(8))
        )
        won = [n for n, answer in enumerate(found) if answer == Applied(2)]
        self.assertEqual(len(won), 1)
        for n, answer in enumerate(found):
            if n in won:
                continue
            self.assertIsInstance(answer, Conflict)
            self.assertEqual(answer.author, f"op{won[0]}")
        expected = document.normalize(with_rate(60 + won[0]))
        self.assertEqual(await self.loaded(), (2, expected))
        part = configparts.part_name("workspaces", "clerks")
        self.assertEqual(len(self.keys(part)), 2)

    async def test_a_read_is_retried_when_a_part_was_deleted(self):
        await self.apply(sample(), 0)
        entries = self.store.entries
        self.store.entries = dict(entries)
        await self.apply(with_rate(7), 1)
        later = self.store.entries
        head = confighead.decode_head(later[confighead.HEAD_KEY].value)
        (dropped,) = head.change.dropped
        del later[dropped]
        self.store.entries = entries

        async def replace(method, key):
            if key == dropped:
                self.store.entries = later

        self.store.before_call = replace
        expected = document.normalize(with_rate(7))
        self.assertEqual(await self.loaded(), (2, expected))

    async def test_a_missing_part_fails_the_read(self):
        await self.apply(sample(), 0)
        for key in self.keys("/parts/zones/"):
            del self.store.entries[key]
        with self.assertRaises(StoreUnavailableError):
            await configstore.load(self.store)


class FaultTest(StoreTestCase):
    """A store that goes down or loses its answers."""

    async def test_store_unavailable_before_the_swap_applies_nothing(self):
        await self.apply(sample(), 0)
        before = await self.loaded()
        self.store.calls.clear()
        await self.apply(with_rate(9), 1)
        calls = len(self.store.calls)
        for allowed in range(calls - 1):
            self.store = FakeStore()
            await self.apply(sample(), 0)
            left = itertools.count(allowed, -1)

            async def go_down(method, key, left=left):
                self.store.down = next(left) <= 0

            self.store.before_call = go_down
            with self.subTest(allowed=allowed):
                found = await self.apply(with_rate(9), 1)
                self.assertEqual(found, StoreUnavailable(may_be_applied=False))
                self.store.before_call = do_nothing
                self.store.down = False
                self.assertEqual(await self.loaded(), before)
                self.assertEqual(await self.apply(with_rate(9), 1), Applied(2))

    async def test_any_one_answer_lost_after_its_effect(self):
        await self.apply(sample(), 0)
        before = self.store.revision
        await self.apply(with_rate(9), 1)
        swaps = self.store.revision - before
        self.assertGreaterEqual(swaps, 3)
        for lost in range(swaps):
            self.store = FakeStore()
            await self.apply(sample(), 0)
            left = itertools.count(lost, -1)

            async def lose_one(method, key, left=left):
                if method == "swap" and next(left) == 0:
                    self.store.answers_lost = 1

            self.store.before_call = lose_one
            with self.subTest(lost=lost):
                found = await self.apply(with_rate(9), 1)
                self.assertEqual(found, Applied(2))
                expected = document.normalize(with_rate(9))
                self.assertEqual(await self.loaded(), (2, expected))

    async def test_a_lost_answer_is_resolved_from_the_history(self):
        await self.apply(sample(), 0)
        head_swaps = itertools.count(1)
        others = []

        async def disturb(method, key):
            if (method, key) != ("swap", confighead.HEAD_KEY):
                return
            match next(head_swaps):
                case 1:
                    self.store.answers_lost = 1
                case 2:
                    others.append(await self.apply(with_rate(10), 2, "ben"))

        self.store.before_call = disturb
        self.assertEqual(await self.apply(with_rate(9), 1), Applied(2))
        self.assertEqual(others, [Applied(3)])
        expected = document.normalize(with_rate(10))
        self.assertEqual(await self.loaded(), (3, expected))

    async def test_swap_without_any_answer_may_be_applied(self):
        await self.apply(sample(), 0)

        async def lose(method, key):
            self.store.down = (method, key) == ("swap", confighead.HEAD_KEY)

        self.store.before_call = lose
        found = await self.apply(with_rate(9), 1)
        self.assertEqual(found, StoreUnavailable(may_be_applied=True))


if __name__ == "__main__":
    unittest.main()
