"""Tests of the stand-in platform: calls, leases, faults and accounting."""

import asyncio
import json
import os
import signal
import sys
import unittest
from unittest import mock

import aiohttp
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall import ports
from cuminwall_standins import (
    platform,
    platform_accounting,
    platform_gateway,
    platform_instances,
    platform_keys,
)
from tests import naive_keyvalues

GUARD_S = 60.0

encode = naive_keyvalues.encode
KEYS = [b"a", b"a/1", b"a/2", b"a/\xff", b"b", b"c"]

keys = st.sampled_from(KEYS).map(encode)
ends = st.sampled_from([b"", b"\0", *KEYS]).map(encode)
values = st.sampled_from([b"", b"x", b"yy"]).map(encode)
puts = st.fixed_dictionaries({"key": keys, "value": values})
deletes = st.fixed_dictionaries({"key": keys, "range_end": ends})
ranges = st.fixed_dictionaries(
    {
        "key": keys,
        "range_end": ends,
        "limit": st.integers(0, 3).map(str),
        "keys_only": st.booleans(),
    }
)
relations = st.sampled_from(["EQUAL", "NOT_EQUAL", "LESS", "GREATER"])


def compare(target, field, operands):
    return st.fixed_dictionaries(
        {
            "key": keys,
            "target": st.just(target),
            "result": relations,
            field: operands,
        }
    )


numbers = st.integers(0, 12).map(str)
compares = st.one_of(
    compare("MOD", "mod_revision", numbers),
    compare("CREATE", "create_revision", numbers),
    compare("VERSION", "version", st.integers(0, 3).map(str)),
    compare("VALUE", "value", values),
)
operations = st.one_of(
    puts.map(lambda body: {"request_put": body}),
    deletes.map(lambda body: {"request_delete_range": body}),
    ranges.map(lambda body: {"request_range": body}),
)
branches = st.lists(operations, max_size=4)
txns = st.fixed_dictionaries(
    {
        "compare": st.lists(compares, max_size=2),
        "success": branches,
        "failure": branches,
    }
)
calls = st.one_of(
    st.tuples(st.just("/v3/kv/txn"), txns),
    st.tuples(st.just("/v3/kv/put"), puts),
    st.tuples(st.just("/v3/kv/range"), ranges),
    st.tuples(st.just("/v3/kv/deleterange"), deletes),
)


def without_headers(answer):
    if isinstance(answer, list):
        return [without_headers(item) for item in answer]
    if not isinstance(answer, dict):
        return answer
    kept = {}
    for name, item in answer.items():
        if name != "header":
            kept[name] = without_headers(item)
    return kept


def handle_call(state, path, body, now=0.0):
    try:
        return platform_gateway.handle_call(state, path, body, now)
    except platform_keys.RefusedError:
        return None


class DifferentialTest(unittest.TestCase):
    """Random calls against the naive service."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=400)
    @given(st.lists(calls, max_size=25))
    def test_answers_and_revisions(self, sequence):
        state = platform_keys.KeyValues()
        naive = naive_keyvalues.NaiveKeyValues()
        for path, body in sequence:
            answer = handle_call(state, path, body)
            wanted = naive.call(path, body)
            self.assertEqual(without_headers(answer), wanted)
            self.assertEqual(state.revision, naive.revision)
            if answer is not None:
                self.assertEqual(
                    answer["header"]["revision"], str(naive.revision)
                )

    @settings(derandomize=True, deadline=None, database=None, max_examples=200)
    @given(st.lists(calls, max_size=25), st.integers(1, 20))
    def test_watch_from_any_revision(self, sequence, start):
        state = platform_keys.KeyValues()
        naive = naive_keyvalues.NaiveKeyValues()
        for path, body in sequence:
            handle_call(state, path, body)
            naive.call(path, body)
        watch = platform_gateway.Watch(
            state,
            {
                "create_request": {
                    "key": encode(b"\0"),
                    "range_end": encode(b"\0"),
                    "start_revision": str(start),
                }
            },
        )
        found = []
        with mock.patch.object(platform_gateway, "WATCH_BATCH_EVENTS", 3):
            while events := watch.next_events():
                batch = [platform_event(event) for event in events]
                # A batch goes past its size only to complete a revision.
                if len(batch) > 3:
                    self.assertEqual(batch[2][0], batch[-1][0])
                found += batch
                self.assertEqual(watch.next_revision, batch[-1][0] + 1)
        revisions = [revision for revision, _, _ in found]
        self.assertEqual(revisions, sorted(revisions))
        found.sort(key=lambda event: event[:2])
        self.assertEqual(found, naive.changes(start, naive.revision))


def platform_event(event):
    decode = naive_keyvalues.base64.b64decode
    entry = event["kv"]
    value = decode(entry.get("value", ""))
    if event.get("type") == "DELETE":
        value = None
    return int(entry["mod_revision"]), decode(entry["key"]), value


class LeaseTest(unittest.TestCase):
    """Leases on the state alone, with the time given."""

    def setUp(self):
        self.state = platform_keys.KeyValues()
        self.lease_id = self.state.grant(10, now=100.0)
        for key in (b"a", b"b"):
            self.state.write(key, b"x", self.lease_id)
        self.state.complete_revision()

    def test_stands_until_ttl(self):
        self.state.expire(109.9)
        self.assertEqual(set(self.state.entries), {b"a", b"b"})

    def test_expiry_deletes_keys_under_one_revision(self):
        before = self.state.revision
        self.state.expire(110.0)
        self.assertEqual(self.state.entries, {})
        self.assertEqual(self.state.revision, before + 1)
        events = list(self.state.events_from(before + 1, b"\0", b"\0"))
        self.assertEqual([event.deleted for event in events], [True, True])

    def test_keep_alive_counts_from_renewal(self):
        self.assertEqual(self.state.keep_alive(self.lease_id, 109.0), 10)
        self.state.expire(118.9)
        self.assertIn(b"a", self.state.entries)
        self.state.expire(119.0)
        self.assertNotIn(b"a", self.state.entries)
        self.assertEqual(self.state.keep_alive(self.lease_id, 119.0), 0)

    def test_rewritten_without_lease_survives(self):
        self.state.write(b"a", b"y", 0)
        self.state.complete_revision()
        self.state.expire(200.0)
        self.assertEqual(set(self.state.entries), {b"a"})

    def test_put_with_lapsed_lease_is_refused_without_effect(self):
        self.state.expire(200.0)
        before = self.state.revision
        put = {"key": encode(b"z"), "lease": str(self.lease_id)}
        body = {"success": [{"request_put": {"key": encode(b"y")}}]}
        body["success"].append({"request_put": put})
        with self.assertRaises(platform_keys.RefusedError) as caught:
            platform_gateway.handle_call(self.state, "/v3/kv/txn", body, 200.0)
        self.assertEqual(caught.exception.code, platform_keys.NOT_FOUND)
        self.assertEqual(self.state.revision, before)
        self.assertEqual(self.state.entries, {})


class RefusalTest(unittest.TestCase):
    """What the gateway refuses, each time without effect."""

    def refused(self, path, body):
        state = platform_keys.KeyValues()
        with self.assertRaises(platform_keys.RefusedError) as caught:
            platform_gateway.handle_call(state, path, body, 0.0)
        self.assertEqual(state.revision, 1)
        self.assertEqual(state.entries, {})
        return caught.exception.code

    def test_value_over_one_megabyte(self):
        body = {"key": encode(b"a"), "value": encode(bytes(1_000_001))}
        self.refused("/v3/kv/put", body)
        body["value"] = encode(bytes(1_000_000))
        state = platform_keys.KeyValues()
        platform_gateway.handle_call(state, "/v3/kv/put", body, 0.0)
        self.assertEqual(state.revision, 2)

    def test_malformed(self):
        self.refused("/v3/kv/put", {"key": "*"})
        self.refused("/v3/kv/put", {"key": encode(b"a"), "lease": "x"})
        self.refused("/v3/kv/range", {})
        self.refused("/v3/lease/grant", {"TTL": "0"})
        self.refused("/v3/kv/txn", {"success": [{}]})

    def test_malformed_operation_undoes_earlier_ones(self):
        put = {"request_put": {"key": encode(b"a")}}
        bad = {"request_put": {"key": encode(b"b"), "value": "*"}}
        self.refused("/v3/kv/txn", {"success": [put, bad]})

    def test_not_carried(self):
        code = self.refused("/v3/kv/txn", {"success": [{"request_txn": {}}]})
        self.assertEqual(code, platform_keys.UNIMPLEMENTED)

    def test_unknown_lease(self):
        code = self.refused("/v3/lease/revoke", {"ID": "5"})
        self.assertEqual(code, platform_keys.NOT_FOUND)


class LaggingListTest(unittest.TestCase):
    """The instance list with the time given."""

    record = ports.InstanceRecord("i1", "sediu", "127.0.0.1", 7000, False)

    def test_shows_late(self):
        listed = platform_instances.LaggingList(2.0, 10.0)
        listed.announce(self.record, 100.0)
        self.assertEqual(listed.visible_records(101.9), [])
        self.assertEqual(listed.visible_records(102.0), [self.record])
        listed.withdraw("i1", 103.0)
        self.assertEqual(listed.visible_records(104.9), [self.record])
        self.assertEqual(listed.visible_records(105.0), [])

    def test_drops_out_when_not_renewed(self):
        listed = platform_instances.LaggingList(2.0, 10.0)
        listed.announce(self.record, 100.0)
        listed.announce(self.record, 105.0)
        self.assertEqual(listed.visible_records(116.9), [self.record])
        self.assertEqual(listed.visible_records(117.0), [])

    def test_leaving_replaces(self):
        listed = platform_instances.LaggingList(0.0, 10.0)
        listed.announce(self.record, 100.0)
        leaving = self.record._replace(leaving=True)
        listed.announce(leaving, 101.0)
        self.assertEqual(listed.visible_records(101.0), [leaving])


class PacerTest(unittest.TestCase):
    """The rate limits with the time given."""

    def test_spaces_calls(self):
        pacer = platform_accounting.Pacer(100.0)
        delays = [round(pacer.delay_s(5.0), 6) for _ in range(4)]
        self.assertEqual(delays, [0.0, 0.01, 0.02, 0.03])
        self.assertEqual(pacer.delay_s(6.0), 0.0)

    def test_no_limit(self):
        pacer = platform_accounting.Pacer(0.0)
        self.assertEqual([pacer.delay_s(5.0) for _ in range(3)], [0.0] * 3)


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """The stand-in over HTTP."""

    async def asyncSetUp(self):
        self.now = 1000.0
        self.server = platform.PlatformServer(clock=lambda: self.now)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        base = f"http://127.0.0.1:{self.server.port}"
        self.session = aiohttp.ClientSession(
            base, timeout=aiohttp.ClientTimeout(total=GUARD_S)
        )
        self.addAsyncCleanup(self.session.close)

    async def post(self, path, body, zone=""):
        headers = {"x-zone": zone}
        async with self.session.post(
            path, json=body, headers=headers
        ) as response:
            return response.status, await response.json()

    async def put(self, key, value, zone=""):
        body = {"key": encode(key), "value": encode(value)}
        return await self.post("/v3/kv/put", body, zone)

    async def until(self, condition):
        async with asyncio.timeout(GUARD_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_statuses(self):
        status, answer = await self.put(b"a", b"x")
        self.assertEqual((status, answer["header"]["revision"]), (200, "2"))
        status, answer = await self.post("/v3/lease/revoke", {"ID": "1"})
        self.assertEqual((status, answer["code"]), (404, 5))
        status, answer = await self.post("/v3/kv/range", {})
        self.assertEqual((status, answer["code"]), (400, 3))

    async def test_lease_expires_by_the_clock_without_a_call(self):
        _, granted = await self.post("/v3/lease/grant", {"TTL": "5"})
        body = {"key": encode(b"a"), "lease": granted["ID"]}
        await self.post("/v3/kv/put", body)
        self.assertIn(b"a", self.server.keys.entries)
        self.now += 5.0
        await self.until(lambda: not self.server.keys.entries)

    async def test_lapse_leases(self):
        _, granted = await self.post("/v3/lease/grant", {"TTL": "500"})
        await self.post("/faults", {"lapse_leases": [granted["ID"]]})
        body = {"ID": granted["ID"]}
        _, answer = await self.post("/v3/lease/keepalive", body)
        self.assertNotIn("TTL", answer["result"])

    async def test_down_refuses_without_effect(self):
        await self.post("/faults", {"down": "refuse"})
        with self.assertRaises(aiohttp.ClientError):
            await self.put(b"a", b"x")
        await self.post("/faults", {"down": "ok"})
        self.assertEqual(self.server.keys.revision, 1)
        status, _ = await self.put(b"a", b"x")
        self.assertEqual(status, 200)

    async def test_hang_takes_effect_after_the_caller_gave_up(self):
        await self.post("/faults", {"down": "hang"})
        call = asyncio.create_task(self.put(b"a", b"x"))
        await self.until(lambda: self.server.accounting.counts)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.assertEqual(self.server.keys.entries, {})
        await self.post("/faults", {"down": "ok"})
        await self.until(lambda: b"a" in self.server.keys.entries)

    async def test_cut_zone_spares_others(self):
        await self.post("/faults", {"cut_zones": {"sediu": "refuse"}})
        with self.assertRaises(aiohttp.ClientError):
            await self.put(b"a", b"x", "sediu")
        status, _ = await self.put(b"b", b"x", "derby")
        self.assertEqual(status, 200)
        self.assertEqual(set(self.server.keys.entries), {b"b"})

    async def test_lost_answers_spare_reads(self):
        await self.post("/faults", {"lose_answers": 2})
        for value in (b"1", b"2"):
            status, _ = await self.post("/v3/kv/range", {"key": encode(b"a")})
            self.assertEqual(status, 200)
            with self.assertRaises(aiohttp.ClientError):
                await self.put(b"a", value)
        self.assertEqual(self.server.keys.entries[b"a"].value, b"2")
        status, _ = await self.put(b"a", b"3")
        self.assertEqual(status, 200)

    async def test_rate_limit_holds_back_writes_alone(self):
        self.server.admission.pacers["writes"].rate = 0.001
        await self.put(b"a", b"x")
        counts = self.server.accounting.counts
        call = asyncio.create_task(self.put(b"b", b"x"))
        await self.until(lambda: counts["groups", "writes", "calls"] == 2)
        status, _ = await self.post("/v3/kv/range", {"key": encode(b"a")})
        self.assertEqual(status, 200)
        self.assertEqual(set(self.server.keys.entries), {b"a"})
        self.assertFalse(call.done())
        call.cancel()

    async def test_unknown_fault_is_refused(self):
        for document in (
            {"downn": "ok"},
            {"down": "maybe"},
            {"slow_s": 1, "lapse_leases": ["x"]},
        ):
            async with self.session.post("/faults", json=document) as response:
                self.assertEqual(response.status, 400)
        self.assertEqual(self.server.faults.slow_s, 0.0)

    async def test_accounting(self):
        await self.put(b"a", b"x")
        await self.post("/accounting/mark", {})
        await self.post("/v3/kv/range", {"key": encode(b"a")})
        put = {"request_put": {"key": encode(b"a")}}
        await self.post("/v3/kv/txn", {"success": [put]})
        read = {"request_range": {"key": encode(b"a")}}
        await self.post("/v3/kv/txn", {"success": [read]})
        await self.post("/v3/lease/keepalive", {"ID": "1"})
        async with self.session.get("/accounting") as response:
            report = await response.json()
        groups = report["since_mark"]["groups"]
        self.assertEqual(groups["writes"]["calls"], 1)
        self.assertEqual(groups["reads"]["calls"], 2)
        self.assertEqual(groups["keepalives"]["calls"], 1)
        self.assertEqual(report["total"]["groups"]["writes"]["calls"], 2)
        self.assertGreater(groups["reads"]["bytes_in"], 0)
        self.assertGreater(groups["reads"]["bytes_out"], 0)
        kinds = report["since_mark"]["kinds"]
        self.assertEqual(kinds["/v3/kv/txn"]["calls"], 2)

    async def test_waiting_watches_are_counted(self):
        body = {"create_request": {"key": encode(b"a")}}
        async with self.session.post("/v3/watch", json=body) as response:
            line = json.loads(await response.content.readline())
            self.assertTrue(line["result"]["created"])
            self.assertEqual(self.server.accounting.waiting_watches, 1)
            await self.put(b"a", b"x")
            line = json.loads(await response.content.readline())
            (event,) = line["result"]["events"]
            self.assertEqual(event["kv"]["value"], encode(b"x"))
            response.close()
        await self.until(lambda: not self.server.accounting.waiting_watches)

    async def test_instances(self):
        record = LaggingListTest.record._asdict()
        async with self.session.put("/instances/i1", json=record) as response:
            self.assertEqual(response.status, 200)
        async with self.session.get("/instances") as response:
            self.assertEqual(await response.json(), [record])
        async with self.session.delete("/instances/i1") as response:
            self.assertEqual(response.status, 200)
        async with self.session.get("/instances") as response:
            self.assertEqual(await response.json(), [])


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """The stand-in as a process."""

    async def test_prints_its_port_and_ends_on_sigterm(self):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cuminwall_standins.platform",
            "--writes_per_s=300",
            stdout=asyncio.subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        )
        async with asyncio.timeout(GUARD_S):
            line = await process.stdout.readline()
            port = json.loads(line)["port"]
            url = f"http://127.0.0.1:{port}/accounting"
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as response,
            ):
                self.assertEqual(response.status, 200)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(await process.wait(), 0)


if __name__ == "__main__":
    unittest.main()
