"""Tests of cuminctl against the store's fake."""

import json
import os
import pathlib
import tempfile
import unittest
from unittest import mock

import aiohttp
from aiohttp import test_utils, web

from cuminwall import confighead, configstore, ctl, fleet, settingspage
from cuminwall.ctlcommands import Platform
from cuminwall.exceptions import AnswerTimeoutError, StoreUnavailableError
from cuminwall.ports import InstanceRecord
from tests.documents import sample
from tests.fakes import FakeStore, do_nothing


class FakeInstances:
    """An instance list that a test fills."""

    def __init__(self):
        self.records = []
        self.down = False

    async def list_instances(self):
        if self.down:
            raise StoreUnavailableError("down")
        return list(self.records)


def record(name: str) -> InstanceRecord:
    """Returns an instance on this machine."""
    return InstanceRecord(name, "sediu", "127.0.0.1", 1, False)


class CtlTestCase(unittest.IsolatedAsyncioTestCase):
    """A store, an instance list and a folder for files."""

    def setUp(self):
        self.store = FakeStore()
        self.instances = FakeInstances()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        for module, name in (
            (configstore, "RETRY_PAUSE_S"),
            (fleet, "POLL_INTERVAL_S"),
        ):
            patch = mock.patch.object(module, name, 0)
            patch.start()
            self.addCleanup(patch.stop)

    async def call(self, *words):
        """Carries out one call of the tool."""
        platform = Platform(self.store, self.instances)
        return await ctl.execute(["cuminctl", "--author=ana", *words], platform)

    def file(self, value) -> str:
        """Returns the path of a new file."""
        path = self.folder / f"{len(os.listdir(self.folder))}.json"
        text = value if isinstance(value, str) else json.dumps(value)
        path.write_text(text, encoding="utf-8")
        return str(path)

    async def document(self):
        """Returns the document in force."""
        return (await configstore.load(self.store)).document


class FileTest(CtlTestCase):
    """Checking, applying and showing files."""

    async def test_check_needs_no_store(self):
        self.store.down = True
        good = self.file("// c\n" + json.dumps(sample()))
        self.assertEqual((await self.call("check", good)).code, 0)
        bad = self.file({"zones": 1, "colors": {}, "base_version": "x"})
        found = await self.call("check", bad)
        self.assertEqual((found.code, found.note.count("\n")), (2, 2))
        found = await self.call("check", str(self.folder / "absent"))
        self.assertEqual(found.code, 2)
        self.assertEqual(self.store.calls, [])

    async def test_apply_show_edit_apply(self):
        found = await self.call("apply", self.file(sample()))
        self.assertEqual((found.code, found.text), (0, "accepted as version 1"))
        hidden = await self.call("show")
        self.assertNotIn("backend secret", hidden.text)
        found = await self.call("apply", self.file(hidden.text))
        self.assertEqual(found.code, 2)
        self.assertIn("services.billing.password", found.note)
        shown = await self.call("show", "--secrets")
        value = json.loads(shown.text)
        self.assertEqual(value["base_version"], 1)
        value["workspaces"]["clerks"]["rate"] = 60
        found = await self.call("apply", self.file(value))
        self.assertEqual(found.text, "accepted as version 2")
        found = await self.call("history")
        self.assertIn("workspaces.clerks.rate: 50 -> 60", found.text)
        self.assertNotIn("backend secret", found.text)

    async def test_a_conflict_is_reported_with_its_differences(self):
        await self.call("apply", self.file(sample()))
        mine = json.loads((await self.call("show", "--secrets")).text)
        await self.call("zone", "out", "sediu", "--author=ben")
        mine["workspaces"]["clerks"]["rate"] = 60
        found = await self.call("apply", self.file(mine))
        self.assertEqual((found.code, found.text), (1, ""))
        self.assertIn("changed by another: version 2 by ben", found.note)
        self.assertIn('zones.sediu.state: (absent) -> "out"', found.note)
        found = await self.call("apply", "--base=2", self.file(mine))
        self.assertEqual(found.text, "accepted as version 3")

    async def test_store_unavailable(self):
        path = self.file(sample())
        self.store.down = True
        for words in (
            ("apply", path),
            ("show",),
            ("history",),
            ("zone", "out", "sediu"),
            ("key", "create", "clerks"),
        ):
            with self.subTest(words=words):
                found = await self.call(*words)
                self.assertEqual((found.code, found.text), (3, ""))
        self.instances.down = True
        self.assertEqual((await self.call("status")).code, 3)


class EditTest(CtlTestCase):
    """Keys, availability zones and backend servers."""

    async def asyncSetUp(self):
        await self.call("apply", self.file(sample()))

    async def test_key_is_shown_once_and_withdrawn(self):
        found = await self.call("key", "create", "crews")
        self.assertEqual(found.code, 0)
        lines = dict(
            line.split(maxsplit=1) for line in found.text.splitlines()[1:3]
        )
        value = await self.document()
        self.assertEqual(value["keys"][lines["key"]]["workspace"], "crews")
        kept = b"".join(entry.value for entry in self.store.entries.values())
        self.assertNotIn(lines["secret"].encode(), kept)
        found = await self.call("key", "withdraw", lines["key"])
        self.assertEqual(found.text, "accepted as version 3")
        self.assertNotIn(lines["key"], (await self.document())["keys"])
        self.assertEqual((await self.call("key", "withdraw", "gone")).code, 2)
        self.assertEqual((await self.call("key", "create", "gone")).code, 2)

    async def test_a_key_that_may_not_be_stored_shows_no_secret(self):
        async def lose_head(method, key):
            self.store.down = (method, key) == ("swap", confighead.HEAD_KEY)

        self.store.before_call = lose_head
        found = await self.call("key", "create", "crews")
        self.assertEqual((found.code, found.text), (3, ""))
        self.assertIn("the key would be crews-", found.note)
        self.assertNotIn("secret", found.note)

    async def test_zone_and_server_out_and_in(self):
        await self.call("zone", "out", "sediu")
        await self.call("server", "out", "billing", "a")
        value = await self.document()
        self.assertEqual(value["zones"]["sediu"]["state"], "out")
        servers = value["services"]["billing"]["servers"]
        self.assertEqual(servers["a"]["state"], "out")
        await self.call("server", "in", "billing", "a")
        found = await self.call("zone", "in", "sediu")
        self.assertEqual(found.text, "accepted as version 5")
        value = await self.document()
        self.assertEqual(value["zones"]["sediu"]["state"], "serving")
        self.assertEqual((await self.call("zone", "out", "gone")).code, 2)
        found = await self.call("server", "out", "billing", "z")
        self.assertIn("services.billing.servers.z", found.note)

    async def test_an_edit_is_retried_after_a_conflict(self):
        async def disturb(method, key):
            if (method, key) == ("swap", confighead.HEAD_KEY):
                self.store.before_call = do_nothing
                await self.call("zone", "out", "ghiseu-nord")

        self.store.before_call = disturb
        found = await self.call("zone", "out", "sediu")
        self.assertEqual(found.text, "accepted as version 3")
        states = [
            item["state"] for item in (await self.document())["zones"].values()
        ]
        self.assertEqual(states, ["out", "out"])

    async def test_invalid_commands(self):
        for words in (
            (),
            ("zone",),
            ("zone", "off", "sediu"),
            ("key", "create"),
            ("show", "more"),
            ("show", "--color"),
            ("history", "--count=0"),
        ):
            with self.subTest(words=words):
                self.assertEqual((await self.call(*words)).code, 2)
        self.assertEqual((await ctl.execute(["cuminctl", "help"])).code, 0)

    async def test_settings(self):
        found = await self.call("settings", "--doc")
        self.assertEqual(found.text + "\n", settingspage.write())
        self.assertEqual((await self.call("settings")).code, 2)
        found = await self.call("settings", self.file({"zone": 1}))
        self.assertEqual(found.code, 2)
        self.assertIn("peers.host", found.note)


class FleetTest(CtlTestCase):
    """Waiting for every instance."""

    def setUp(self):
        super().setUp()
        self.versions = {}
        self.asked = []

    async def ask(self, item):
        """Answers as each instance would, one version further each time."""
        self.asked.append(item.instance)
        version = self.versions.get(item.instance)
        if version is None:
            raise AnswerTimeoutError("no answer")
        self.versions[item.instance] = version + 1
        return {"instance": item.instance, "config_version": version}

    async def wait(self, timeout_s):
        return await fleet.wait_for_version(
            self.instances, self.ask, 5, timeout_s
        )

    async def test_waits_until_each_is_at_or_past_the_version(self):
        self.versions = {"a": 5, "b": 2, "c": 9}
        self.instances.records = [record(name) for name in "abc"]
        spread = await self.wait(60)
        self.assertTrue(spread.is_complete)
        self.assertEqual(len(spread.reached), 3)
        self.assertEqual(self.asked.count("b"), 4)
        self.assertEqual(self.asked.count("a"), 1)

    async def test_reports_instances_that_are_not_confirmed(self):
        self.versions = {"a": 5, "b": 1}
        self.instances.records = [record(name) for name in "abc"]
        spread = await self.wait(0)
        self.assertFalse(spread.is_complete)
        found = {item.record.instance: item for item in spread.missing}
        self.assertEqual(found["b"].version, 1)
        self.assertEqual(found["c"].failure, "no answer")

    async def test_nothing_is_confirmed_without_a_list(self):
        self.assertFalse((await self.wait(0)).is_complete)
        self.instances.down = True
        self.assertFalse((await self.wait(0)).is_listed)

    async def test_withdraw_waits_and_status_prints_over_http(self):
        await self.call("apply", self.file(sample()))
        said = {
            "instance": "a",
            "zone": "sediu",
            "config_version": 2,
            "sessions": 4,
            "groups": [
                {
                    "service": "billing",
                    "term": 3,
                    "primary": "x",
                    "lease_s": 1.2,
                    "servers": [
                        {"server": "x", "zone": "sediu", "reachable": True}
                    ],
                }
            ],
        }

        async def answer(request):
            return web.json_response(said)

        application = web.Application()
        application.router.add_get("/status", answer)
        async with test_utils.TestServer(application) as server:
            port = f"--http_port={server.port}"
            self.instances.records = [record("a")]
            words = (
                "key",
                "withdraw",
                "clerks-1",
                "--wait",
                "--wait_s=9",
                port,
            )
            found = await self.call(*words)
            self.assertEqual(found.code, 0)
            self.assertIn("in force on 1 instances", found.text)
            found = await self.call("status", port)
            self.assertEqual(found.code, 0)
            self.assertIn("billing on a: term 3, primary x", found.text)
            self.instances.records = [record("a"), record("b")]
            found = await self.call("status", "--json", port)
            self.assertEqual(found.code, 1)
            first, second = json.loads(found.text)
            self.assertEqual(first["status"], said)
            self.assertEqual(
                second["failure"], "another instance answers there"
            )
            words = ("zone", "out", "sediu", "--wait", "--wait_s=0", port)
            found = await self.call(*words)
            self.assertEqual(found.code, 1)
            self.assertIn("accepted as version 3", found.text)
            self.assertIn("a (sediu, 127.0.0.1): at version 2", found.note)
            self.assertIn("b (sediu, 127.0.0.1): not reached", found.note)

    async def test_missing_and_malformed_answers(self):
        async def broken(request):
            return web.Response(text="[1")

        application = web.Application()
        application.router.add_get("/status", broken)
        async with (
            test_utils.TestServer(application) as server,
            aiohttp.ClientSession() as session,
        ):
            ask = fleet.make_status_query(session, server.port, 60.0)
            with self.assertRaises(AnswerTimeoutError):
                await ask(record("a"))
            await server.close()
            with self.assertRaises(AnswerTimeoutError):
                await ask(record("a"))


if __name__ == "__main__":
    unittest.main()
