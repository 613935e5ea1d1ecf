"""Tests of the console's forms and of its server."""

import html
import re
import unittest
from unittest import mock

import aiohttp
from hypothesis import given, settings

from cuminwall import (
    configapply,
    confighead,
    configstore,
    console,
    consoleforms,
    consolesections,
    document,
)
from tests.documents import sample
from tests.fakes import FakeStore, do_nothing
from tests.test_configparts import DOCUMENTS

SECTIONS = {section.name: section for section in consolesections.SECTIONS}


def fields_of(page: str) -> dict[str, str]:
    """Returns what a browser would send back from a page's first form."""
    form = page.partition('<form method="post"')[2].partition("</form>")[0]
    fields = {}
    for tag in re.findall(r"<input [^>]*>", form):
        name = re.search(r' name="([^"]*)"', tag)[1]
        value = re.search(r' value="([^"]*)"', tag)
        if 'type="checkbox"' in tag:
            continue
        fields[html.unescape(name)] = html.unescape(value[1])
    pattern = r'<select name="([^"]*)".*?</select>'
    for found in re.finditer(pattern, form):
        chosen = re.search(r"<option selected>([^<]*)", found[0])
        fields[html.unescape(found[1])] = chosen[1] if chosen else ""
    return fields


class FormsTest(unittest.TestCase):
    """From a document to a form and back."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(DOCUMENTS)
    def test_submitting_an_unmodified_form_changes_nothing(self, value):
        for section in consolesections.SECTIONS:
            form = {}
            for row in consoleforms.make_rows(section, value):
                for column in section.columns:
                    text = consoleforms.format_value(
                        column, row.values.get(column.name)
                    )
                    form[f"{row.key}|{column.name}"] = text
            filled = consoleforms.apply_form(section, value, form)
            self.assertEqual(filled.document, value)
            self.assertEqual(filled.faults, ())

    def test_edit_delete_and_add_in_a_list(self):
        base = document.normalize(sample())
        before = document.normalize(sample())
        keys = [document.item_name(rule) for rule in base["rules"]]
        filled = consoleforms.apply_form(
            SECTIONS["rules"],
            base,
            {
                f"{keys[0]}|delete": "on",
                f"{keys[2]}|max_age_s": "7.5",
                "+new|service": "orders",
                "+new|workspace": "*",
                "+new|max_age_s": "x",
            },
        )
        self.assertEqual(base, before)
        rules = filled.document["rules"]
        self.assertEqual(rules[0], base["rules"][1])
        self.assertEqual(rules[1]["max_age_s"], 7.5)
        (fault,) = document.check(filled.document)
        self.assertEqual(fault.path, ("rules", 2, "max_age_s"))
        column = SECTIONS["rules"].columns[3]
        beside = []
        for row in filled.rows:
            if consoleforms.field_faults(row, column, (fault,)):
                beside.append(row.key)
        self.assertEqual(beside, [consoleforms.NEW_ROW_KEY])

    def test_new_rows_with_duplicate_or_unknown_names(self):
        base = document.normalize(sample())
        filled = consoleforms.apply_form(
            SECTIONS["zones"], base, {"+new|name": "sediu"}
        )
        self.assertEqual(filled.faults[0].path, ("zones", "sediu", "name"))
        form = {"+new|name": "c", "+new|service": "gone"}
        filled = consoleforms.apply_form(SECTIONS["servers"], base, form)
        self.assertEqual(filled.faults[0].path[-1], "service")
        self.assertEqual(filled.document["services"], base["services"])


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """The pages over HTTP."""

    async def asyncSetUp(self):
        patch = mock.patch.object(configstore, "RETRY_PAUSE_S", 0)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = FakeStore()
        await self.apply(sample(), 0)
        tokens = console.Tokens("address", "form")
        self.console = console.Console(self.store, "ana", tokens)
        await self.console.start(0)
        self.addAsyncCleanup(self.console.close)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def apply(self, value, base_version):
        """Applies a document as another operator."""
        write_id = f"other{base_version}"
        origin = configapply.ChangeMetadata(base_version, "ben", write_id, 1.0)
        return await configapply.apply(self.store, value, origin)

    async def document(self):
        return (await configstore.load(self.store)).document

    def url(self, page):
        return f"http://127.0.0.1:{self.console.port}/address/{page}"

    async def get(self, page):
        async with self.session.get(self.url(page)) as answer:
            self.assertEqual(answer.status, 200)
            return await answer.text()

    async def post(self, page, form):
        async with self.session.post(self.url(page), data=form) as answer:
            self.assertEqual(answer.status, 200)
            return await answer.text()

    async def test_submitting_an_unmodified_page_changes_nothing(self):
        for name in SECTIONS:
            page = await self.get(name)
            self.assertNotIn("backend secret", page)
            page = await self.post(name, fields_of(page))
            self.assertIn("accepted as version 1", page)

    async def test_an_edit_is_applied(self):
        form = fields_of(await self.get("workspaces"))
        form["clerks|rate"] = "75"
        form["+new|name"] = "office"
        form["+new|rate"] = "2"
        form["+new|burst"] = "4"
        form["+new|services"] = "billing, orders"
        page = await self.post("workspaces", form)
        self.assertIn("accepted as version 2", page)
        workspaces = (await self.document())["workspaces"]
        self.assertEqual(workspaces["clerks"], {"rate": 75, "burst": 100})
        self.assertEqual(
            workspaces["office"],
            {"rate": 2, "burst": 4, "services": ["billing", "orders"]},
        )

    async def test_faults_are_shown_beside_the_fields(self):
        form = fields_of(await self.get("workspaces"))
        form["clerks|rate"] = '<b>"fast'
        form["crews|delete"] = "on"
        page = await self.post("workspaces", form)
        self.assertIn("Refused: nothing was applied.", page)
        cell = page.partition('name="clerks|rate"')[2].partition("</td>")[0]
        self.assertIn('class="fault"', cell)
        self.assertIn("expected a number", cell)
        self.assertNotIn("<b>", page)
        self.assertIn("rules[2].workspace", page)
        self.assertEqual(fields_of(page)["clerks|rate"], '<b>"fast')
        expected = document.normalize(sample())
        self.assertEqual(await self.document(), expected)

    async def test_a_conflict_shows_both_differences(self):
        form = fields_of(await self.get("zones"))
        value = sample()
        value["workspaces"]["clerks"]["rate"] = 51
        await self.apply(value, 1)
        form["sediu|state"] = "out"
        page = html.unescape(await self.post("zones", form))
        self.assertIn("changed by another: version 2 by ben", page)
        self.assertIn("workspaces.clerks.rate: 50 -> 51", page)
        self.assertIn('zones.sediu.state: (absent) -> "out"', page)
        self.assertEqual(await self.document(), document.normalize(value))
        form = fields_of(await self.get("zones"))
        form["sediu|state"] = "out"
        page = await self.post("zones", form)
        self.assertIn("accepted as version 3", page)

    async def test_keys(self):
        page = await self.post("keys", {"token": "form", "workspace": "crews"})
        secret = re.search(r"secret: ([^<]+)<", page)[1]
        key_id = re.search(r"key: ([^<]+)<", page)[1]
        self.assertIn(key_id, (await self.document())["keys"])
        page = await self.get("keys")
        self.assertNotIn(secret, page)
        form = {**fields_of(page), f"withdraw|{key_id}": "on"}
        await self.post("keys", form)
        self.assertEqual(list((await self.document())["keys"]), ["clerks-1"])
        self.assertIn(key_id, await self.get("history"))

    async def test_an_outdated_page_and_an_unavailable_store(self):
        form = fields_of(await self.get("zones"))
        form["base_version"] = "99"
        self.assertIn("too old", await self.post("zones", form))
        form["base_version"] = "1"
        form["sediu|state"] = "out"

        async def lose_head(method, key):
            self.store.down = (method, key) == ("swap", confighead.HEAD_KEY)

        self.store.before_call = lose_head
        page = await self.post("zones", form)
        self.assertIn("may be in force or not", page)
        self.store.before_call = do_nothing
        self.store.down = True
        async with self.session.get(self.url("zones")) as answer:
            self.assertEqual(answer.status, 503)

    async def test_requests_without_valid_tokens_are_forbidden(self):
        good = self.url("workspaces")
        calls = (
            ("GET", good.replace("address", "other"), {}, None),
            ("GET", good, {"Host": f"evil:{self.console.port}"}, None),
            ("POST", good, {}, {"base_version": "1"}),
            ("POST", good, {}, {"base_version": "1", "token": "x"}),
            ("POST", self.url("keys"), {}, {"workspace": "clerks"}),
        )
        before = dict(self.store.entries)
        for method, url, headers, form in calls:
            with self.subTest(method=method, url=url):
                async with self.session.request(
                    method, url, headers=headers, data=form
                ) as answer:
                    self.assertEqual(answer.status, 403)
        self.assertEqual(self.store.entries, before)
        async with self.session.get(good) as answer:
            policy = answer.headers["Content-Security-Policy"]
            self.assertIn("default-src 'none'", policy)
            self.assertEqual(answer.headers["Cache-Control"], "no-store")


if __name__ == "__main__":
    unittest.main()
