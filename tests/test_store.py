"""Tests of the store and instance list adapters against the stand-in."""

import asyncio
import contextlib
import json
import unittest

from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from cuminwall import exceptions, instancelist, ports, store, storehttp
from cuminwall_standins import platform, platform_keys

GUARD_S = 60.0
SHORT_TIMEOUT_S = 0.2
SHORT_IDLE_S = 0.05

Unavailable = exceptions.StoreUnavailableError


class PlatformTestCase(unittest.IsolatedAsyncioTestCase):
    """A stand-in with a clock that the test sets, and adapters for it."""

    async def asyncSetUp(self):
        self.now = 1000.0
        self.server = platform.PlatformServer(clock=lambda: self.now)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.endpoint = f"http://127.0.0.1:{self.server.port}"
        self.store = self.open_store()

    def open_store(
        self, zone="sediu", timeout_s=GUARD_S, idle_s=store.WATCH_IDLE_S
    ):
        opened = store.EtcdStore(self.endpoint, zone, timeout_s, idle_s)
        self.addAsyncCleanup(opened.close)
        return opened

    async def until(self, condition):
        async with asyncio.timeout(GUARD_S):
            while not condition():
                await asyncio.sleep(0.005)

    async def collect(self, watch, count):
        """Returns the first `count` entries of a watch."""
        entries = []
        async with asyncio.timeout(GUARD_S), contextlib.aclosing(watch):
            async for batch in watch:
                entries += batch
                if len(entries) >= count:
                    break
        return entries


class SwapTest(PlatformTestCase):
    """Reading and compare-and-swap."""

    async def test_create_change_delete(self):
        self.assertIsNone(await self.store.get("a"))
        created = await self.store.swap("a", 0, b"\x00one")
        entry = await self.store.get("a")
        wanted = ports.StoreEntry("a", b"\x00one", created.revision)
        self.assertEqual(entry, wanted)
        conflict = await self.store.swap("a", 0, b"two")
        self.assertEqual(conflict, ports.SwapConflict(wanted))
        changed = await self.store.swap("a", created.revision, b"two")
        self.assertEqual((await self.store.get("a")).value, b"two")
        gone = await self.store.swap("a", changed.revision, None)
        self.assertIsInstance(gone, ports.Swapped)
        self.assertIsNone(await self.store.get("a"))
        conflict = await self.store.swap("a", changed.revision, b"three")
        self.assertEqual(conflict, ports.SwapConflict(None))

    async def test_empty_value(self):
        swapped = await self.store.swap("a", 0, b"")
        wanted = ports.StoreEntry("a", b"", swapped.revision)
        self.assertEqual(await self.store.get("a"), wanted)

    async def test_prefix(self):
        for key in ("k", "k/1", "k/é", "k0", "l"):
            await self.store.swap(key, 0, key.encode())
        entries = await self.store.get_prefix("k/")
        self.assertEqual([entry.key for entry in entries], ["k/1", "k/é"])
        self.assertEqual(len(await self.store.get_prefix("")), 5)
        self.assertEqual(await self.store.get_prefix("m"), [])
        snapshot = await self.store.read_prefix("m")
        self.assertEqual(snapshot.revision, self.server.keys.revision)

    async def test_racing_increments_lose_nothing(self):
        await self.store.swap("n", 0, b"0")

        async def increment(times):
            own = self.open_store()
            wins = []
            while len(wins) < times:
                entry = await own.get("n")
                value = str(int(entry.value) + 1).encode()
                answer = await own.swap("n", entry.revision, value)
                if isinstance(answer, ports.Swapped):
                    wins.append(answer.revision)
            return wins

        async with asyncio.timeout(GUARD_S):
            results = await asyncio.gather(*[increment(10) for _ in range(6)])
        self.assertEqual((await self.store.get("n")).value, b"60")
        revisions = [revision for wins in results for revision in wins]
        self.assertEqual(len(set(revisions)), 60)

    async def test_value_over_the_limit(self):
        with self.assertRaises(Unavailable):
            await self.store.swap("a", 0, bytes(1_000_001))
        self.assertIsNone(await self.store.get("a"))
        await self.store.swap("a", 0, bytes(1_000_000))
        self.assertEqual(len((await self.store.get("a")).value), 1_000_000)


class PrefixEndTest(unittest.TestCase):
    """The end of a prefix's range."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=500)
    @given(
        st.lists(st.sampled_from(b"\x00a\xfe\xff"), max_size=3).map(bytes),
        st.lists(st.sampled_from(b"\x00a\xfe\xff"), min_size=1, max_size=4),
    )
    def test_against_startswith(self, prefix, key_octets):
        key = bytes(key_octets)
        end = store.prefix_end(prefix)
        found = platform_keys.in_range(key, prefix or b"\0", end)
        self.assertEqual(found, key.startswith(prefix))


class LeaseTest(PlatformTestCase):
    """Leases, by the stand-in's clock."""

    async def test_keeps_alive_and_revokes(self):
        lease_id = await self.store.grant_lease(10)
        self.assertGreater(lease_id, 2**53)
        await self.store.swap("a", 0, b"x", lease_id)
        self.now += 9
        self.assertEqual(await self.store.keep_lease_alive(lease_id), 10.0)
        self.now += 9
        self.assertIsNotNone(await self.store.get("a"))
        await self.store.revoke_lease(lease_id)
        self.assertIsNone(await self.store.get("a"))
        await self.store.revoke_lease(lease_id)

    async def test_expires_while_its_holder_is_paused(self):
        lease_id = await self.store.grant_lease(10)
        held = await self.store.swap("steward", 0, b"first", lease_id)
        other = self.open_store("derby")
        taken = await other.swap("steward", 0, b"second")
        self.assertIsInstance(taken, ports.SwapConflict)
        self.now += 10
        taken = await other.swap("steward", 0, b"second")
        self.assertIsInstance(taken, ports.Swapped)
        self.assertEqual(await self.store.keep_lease_alive(lease_id), 0.0)
        late = await self.store.swap("steward", held.revision, b"late")
        self.assertEqual(late.current.value, b"second")
        with self.assertRaises(Unavailable):
            await self.store.swap("else", 0, b"late", lease_id)
        self.assertIsNone(await self.store.get("else"))


class OutageTest(PlatformTestCase):
    """No usable answer, for whatever reason."""

    async def assert_unavailable(self, opened):
        with self.assertRaises(Unavailable):
            await opened.get("a")
        with self.assertRaises(Unavailable):
            await opened.get_prefix("a")
        with self.assertRaises(Unavailable):
            await opened.swap("a", 0, b"x")
        with self.assertRaises(Unavailable):
            await opened.grant_lease(5)
        with self.assertRaises(Unavailable):
            await opened.keep_lease_alive(5)
        with self.assertRaises(Unavailable):
            await opened.revoke_lease(5)
        with self.assertRaises(Unavailable):
            await self.collect(opened.watch("a", 1), 1)

    async def test_down(self):
        self.server.apply_faults({"down": "refuse"})
        await self.assert_unavailable(self.store)
        self.server.apply_faults({"down": "ok"})
        self.assertIsNone(await self.store.get("a"))

    async def test_hang_may_take_effect_later(self):
        self.server.apply_faults({"down": "hang"})
        opened = self.open_store(timeout_s=SHORT_TIMEOUT_S)
        await self.assert_unavailable(opened)
        self.assertEqual(self.server.keys.entries, {})
        self.server.apply_faults({"down": "ok"})
        await self.until(lambda: b"a" in self.server.keys.entries)

    async def test_slow(self):
        self.server.apply_faults({"slow_s": 2 * GUARD_S})
        opened = self.open_store(timeout_s=SHORT_TIMEOUT_S)
        with self.assertRaises(Unavailable):
            await opened.get("a")

    async def test_cut_zone(self):
        self.server.apply_faults({"cut_zones": {"sediu": "refuse"}})
        await self.assert_unavailable(self.store)
        other = self.open_store("ghiseu-nord")
        self.assertIsNone(await other.get("a"))

    async def test_nobody_listens(self):
        await self.server.stop()
        await self.assert_unavailable(self.store)

    async def test_answer_lost_after_effect(self):
        self.server.apply_faults({"lose_answers": 1})
        with self.assertRaises(Unavailable):
            await self.store.swap("a", 0, b"x")
        self.assertEqual((await self.store.get("a")).value, b"x")
        # A repeated POST would have made a second revision or a conflict.
        self.assertEqual(self.server.keys.revision, 2)
        calls = self.server.accounting.counts["kinds", store.TXN_PATH, "calls"]
        self.assertEqual(calls, 1)

    async def test_log_has_one_line_for_each_change(self):
        lines = []
        sink = logger.add(lines.append, format="{level} {message}")
        self.addCleanup(logger.remove, sink)
        self.server.apply_faults({"down": "refuse"})
        for _ in range(3):
            with self.assertRaises(Unavailable):
                await self.store.get("a")
        self.server.apply_faults({"down": "ok"})
        for _ in range(2):
            await self.store.get("a")
        self.assertEqual(len(lines), 2)
        self.assertRegex(
            lines[0], r"^WARNING store: no answer to /v3/kv/range: "
        )
        self.assertRegex(
            lines[1], r"^INFO store: answers again, 3 calls failed"
        )


class UnexpectedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers that make no sense are no answers."""

    bodies = (
        b"",
        b"{",
        b"[]",
        b"null",
        b"{}",
        b'{"result": null}',
        b'{"responses": [{}]}',
        b'{"header": {"revision": "x"}, "kvs": [{"key": "*"}]}',
        b'{"header": {"revision": "3"}, "more": true}',
        b'{"error": {"code": 14}}',
        b'{"result": {"canceled": true, "compact_revision": "9"}}',
        b"\xff",
    )

    async def asyncSetUp(self):
        self.answer = (200, b"")
        self.release = asyncio.Event()
        application = web.Application()
        self.respond_with = self.respond
        application.router.add_route(
            "*", "/{path:.*}", lambda request: self.respond_with(request)
        )
        runner = web.AppRunner(application)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.endpoint = f"http://127.0.0.1:{runner.addresses[0][1]}"
        self.store = store.EtcdStore(self.endpoint, "sediu", GUARD_S)
        self.addAsyncCleanup(self.store.close)

    async def respond(self, request):
        status, body = self.answer
        if request.path == "/v3/else":
            status = 200
        headers = {"Location": "/v3/else"} if status == 307 else {}
        return web.Response(status=status, body=body, headers=headers)

    async def assert_unavailable(self, call):
        with self.assertRaises(Unavailable):
            await call

    async def first(self, watch):
        async with contextlib.aclosing(watch):
            return await anext(watch)

    async def test_bodies(self):
        for body in self.bodies:
            with self.subTest(body):
                self.answer = (200, body + b"\n")
                await self.assert_unavailable(self.store.get("a"))
                await self.assert_unavailable(self.store.get_prefix("a"))
                await self.assert_unavailable(self.store.swap("a", 0, b""))
                await self.assert_unavailable(self.store.grant_lease(1))
                await self.assert_unavailable(self.store.keep_lease_alive(1))
                await self.assert_unavailable(
                    self.first(self.store.watch("a", 1))
                )

    async def test_watch_that_the_store_ended(self):
        """The store may leave the stream open after it ended the watch."""

        async def respond(request):
            response = web.StreamResponse()
            await response.prepare(request)
            header = b'{"result": {"header": {"revision": "9"}, '
            await response.write(header + b'"created": true}}\n')
            await response.write(header + b'"canceled": true}}\n')
            await self.release.wait()
            return response

        self.respond_with = respond
        watch = self.store.watch("a", 1)
        async with asyncio.timeout(GUARD_S):
            with self.assertRaisesRegex(Unavailable, "canceled"):
                await self.first(watch)
        self.release.set()

    async def test_statuses(self):
        good = b'{"header": {"revision": "3"}, "succeeded": true, "ID": "4"}'
        self.answer = (200, good)
        self.assertEqual(await self.store.swap("a", 0, b""), ports.Swapped(3))
        for status in (307, 400, 404, 500, 503):
            with self.subTest(status):
                self.answer = (status, good)
                await self.assert_unavailable(self.store.get("a"))
                await self.assert_unavailable(self.store.swap("a", 0, b""))
                await self.assert_unavailable(self.store.grant_lease(1))
                await self.assert_unavailable(
                    self.first(self.store.watch("a", 1))
                )

    async def test_instance_list(self):
        listed = instancelist.HttpInstanceList(self.endpoint, "", GUARD_S)
        self.addAsyncCleanup(listed.close)
        for body in (b"", b"{}x", b"[{}]", b"[1]", b"3"):
            with self.subTest(body):
                self.answer = (200, body)
                await self.assert_unavailable(listed.list_instances())
        record = ports.InstanceRecord("i", "a", "h", 1, False)
        good = json.dumps([record._asdict()]).encode()
        # An answer like the last one is as good as parsed again, and no
        # caller's changes to it or malformed answers stay.
        for body, wanted in (
            (good, [record]),
            (good, [record]),
            (b"[]", []),
            (b"[]", []),
            (good, [record]),
        ):
            self.answer = (200, body)
            found = await listed.list_instances()
            self.assertEqual(found, wanted)
            found.clear()
            self.answer = (200, b"")
            await self.assert_unavailable(listed.list_instances())
        self.answer = (503, b"[]")
        await self.assert_unavailable(listed.list_instances())
        await self.assert_unavailable(listed.withdraw("a"))


class WatchTest(PlatformTestCase):
    """Watches: replay, order, gaps and reconnecting."""

    async def write(self, key, value):
        entry = await self.store.get(key)
        revision = entry.revision if entry else 0
        return await self.store.swap(key, revision, value)

    def history(self, prefix, from_revision):
        """Returns what a watch must yield, from the stand-in's records."""
        wanted = []
        for event in self.server.keys.events:
            entry = event.entry
            if entry.mod_revision < from_revision:
                continue
            key = entry.key.decode()
            if key.startswith(prefix):
                wanted.append(
                    ports.StoreEntry(key, entry.value, entry.mod_revision)
                )
        return wanted

    async def test_replays_the_past(self):
        first = await self.write("k/1", b"x")
        second = await self.write("k/1", b"y")
        await self.write("other", b"z")
        await self.store.swap("k/1", second.revision, None)
        entries = await self.collect(self.store.watch("k/", first.revision), 3)
        self.assertEqual([entry.value for entry in entries], [b"x", b"y", b""])
        self.assertEqual(entries, self.history("k/", first.revision))

    async def test_from_now_on(self):
        await self.write("k/1", b"old")
        task = asyncio.create_task(self.collect(self.store.watch("k/", 0), 1))
        await self.until(lambda: self.server.accounting.waiting_watches)
        await self.write("k/1", b"new")
        (entry,) = await task
        self.assertEqual(entry.value, b"new")

    async def test_from_now_on_keeps_its_start_when_reconnecting(self):
        opened = self.open_store(idle_s=SHORT_IDLE_S)
        counts = self.server.accounting.counts
        calls = ("kinds", store.WATCH_PATH, "calls")
        task = asyncio.create_task(self.collect(opened.watch("k/", 0), 1))
        await self.until(lambda: self.server.accounting.waiting_watches)
        self.server.apply_faults({"cut_zones": {"sediu": "hang"}})
        # Let through what was on its way before the zone was cut.
        seen = counts[calls]
        await self.until(lambda: counts[calls] > seen)
        other = self.open_store("derby")
        await other.swap("k/1", 0, b"meanwhile")
        self.server.apply_faults({"cut_zones": {}})
        (entry,) = await task
        self.assertEqual(entry.value, b"meanwhile")

    async def test_large_value(self):
        swapped = await self.store.swap("k/1", 0, bytes(1_000_000))
        (entry,) = await self.collect(
            self.store.watch("k/", swapped.revision), 1
        )
        self.assertEqual(len(entry.value), 1_000_000)

    async def test_no_gap_under_concurrent_writes(self):
        writes = 20
        writers = 4

        async def write_all(writer):
            for number in range(writes):
                text = f"{writer}-{number}".encode()
                await self.write(f"k/{writer}", text)
                await self.write(f"other/{writer}", text)

        async def start_watch(revision):
            await self.until(lambda: self.server.keys.revision >= revision)
            # Half of the watches start in the past, half in the future.
            start = revision - 19 if revision % 40 else revision + 20
            opened = self.open_store(idle_s=SHORT_IDLE_S)
            last = f"k/{writers}"
            found = []
            watch = opened.watch("k/", start)
            async with asyncio.timeout(GUARD_S), contextlib.aclosing(watch):
                async for batch in watch:
                    found += batch
                    if batch[-1].key == last:
                        break
            return start, found

        watches = [
            asyncio.create_task(start_watch(revision))
            for revision in range(20, 2 * writers * writes - 20, 20)
        ]
        async with asyncio.timeout(GUARD_S):
            await asyncio.gather(*[write_all(one) for one in range(writers)])
            await self.write(f"k/{writers}", b"last")
            results = await asyncio.gather(*watches)
        for start, found in results:
            self.assertEqual(found, self.history("k/", start))

    async def test_silent_watch_reconnects_without_a_gap(self):
        opened = self.open_store(idle_s=SHORT_IDLE_S)
        written = []
        task = asyncio.create_task(self.collect(opened.watch("k/", 0), 20))
        counts = self.server.accounting.counts
        key = ("kinds", store.WATCH_PATH, "calls")
        await self.until(lambda: counts[key])
        for number in range(20):
            seen = counts[key]
            if number % 5 == 0:
                await self.until(lambda seen=seen: counts[key] > seen + 1)
            written.append(str(number).encode())
            await self.write("k/1", written[-1])
        entries = await task
        self.assertEqual([entry.value for entry in entries], written)
        await self.until(lambda: not self.server.accounting.waiting_watches)

    async def test_ends_when_its_zone_is_cut(self):
        task = asyncio.create_task(self.collect(self.store.watch("k/", 1), 1))
        await self.until(lambda: self.server.accounting.waiting_watches)
        self.server.apply_faults({"cut_zones": {"sediu": "refuse"}})
        with self.assertRaises(Unavailable):
            await task

    async def test_ends_when_nothing_answers_any_more(self):
        opened = self.open_store(timeout_s=SHORT_TIMEOUT_S, idle_s=SHORT_IDLE_S)
        task = asyncio.create_task(self.collect(opened.watch("k/", 1), 1))
        await self.until(lambda: self.server.accounting.waiting_watches)
        self.server.apply_faults({"cut_zones": {"sediu": "hang"}})
        with self.assertRaises(Unavailable):
            await task


class SilentConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Open connections that went silent while new ones work."""

    async def asyncSetUp(self):
        self.silent = set()
        self.connections = set()
        self.arrived = 0
        self.go_on = asyncio.Event()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.server = server
        port = server.sockets[0].getsockname()[1]
        self.channel = storehttp.HttpChannel(
            "store", f"http://127.0.0.1:{port}", "sediu", SHORT_TIMEOUT_S
        )
        self.addAsyncCleanup(self.channel.close)

    async def asyncTearDown(self):
        self.server.close()
        for writer in self.connections:
            writer.close()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.arrived += 1
                await self.go_on.wait()
                if writer in self.silent:
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                await writer.drain()

    async def until(self, condition):
        async with asyncio.timeout(GUARD_S):
            while not condition():
                await asyncio.sleep(0.005)

    async def test_one_timeout_drops_all_idle_connections(self):
        self.channel.timeout_s = GUARD_S
        calls = [self.channel.call("GET", "/") for _ in range(3)]
        waiting = asyncio.gather(*calls)
        await self.until(lambda: self.arrived == 3)
        self.go_on.set()
        await waiting
        self.assertEqual(len(self.connections), 3)
        self.silent = set(self.connections)
        self.channel.pool.session._timeout = storehttp.aiohttp.ClientTimeout(
            total=SHORT_TIMEOUT_S
        )
        with self.assertRaises(Unavailable):
            await self.channel.call("GET", "/")
        self.assertEqual((await self.channel.call("GET", "/")).status, 200)

    async def test_calls_in_flight_outlive_their_pool(self):
        self.channel.timeout_s = GUARD_S
        waiting = asyncio.create_task(self.channel.call("GET", "/"))
        await self.until(lambda: self.arrived == 1)
        session = self.channel.pool.session
        await self.channel.close()
        self.assertFalse(session.closed)
        self.go_on.set()
        self.assertEqual((await waiting).status, 200)
        self.assertTrue(session.closed)


class InstanceListTest(PlatformTestCase):
    """The instance list's adapter."""

    async def test_announce_list_withdraw(self):
        listed = instancelist.HttpInstanceList(self.endpoint, "sediu", GUARD_S)
        self.addAsyncCleanup(listed.close)
        one = ports.InstanceRecord("a/b c", "sediu", "127.0.0.1", 7000, False)
        two = ports.InstanceRecord("i2", "derby", "127.0.0.1", 7001, False)
        await listed.announce(one)
        await listed.announce(two)
        self.assertEqual(set(await listed.list_instances()), {one, two})
        await listed.announce(two._replace(leaving=True))
        await listed.withdraw("a/b c")
        self.assertEqual(
            await listed.list_instances(), [two._replace(leaving=True)]
        )
        self.now += 10
        self.assertEqual(await listed.list_instances(), [])

    async def test_outage(self):
        listed = instancelist.HttpInstanceList(self.endpoint, "sediu", GUARD_S)
        self.addAsyncCleanup(listed.close)
        self.server.apply_faults({"cut_zones": {"sediu": "refuse"}})
        with self.assertRaises(Unavailable):
            await listed.list_instances()
        with self.assertRaises(Unavailable):
            await listed.withdraw("i1")


if __name__ == "__main__":
    unittest.main()
