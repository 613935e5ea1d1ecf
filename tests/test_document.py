"""Tests of the document, its faults and its parsed form."""

import pathlib
import unittest

from cuminwall import configuration, document, jsontext, operatorfile
from cuminwall.faults import Fault, format_path
from tests.documents import sample

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operators" / "configuration.md"


def faults_of(value) -> dict[str, str]:
    """Returns what was expected by the place of each fault."""
    found = document.check(value)
    if isinstance(found, dict):
        return {}
    return {format_path(fault.path): fault.expected for fault in found}


def parsed(value=None) -> configuration.Configuration:
    """Returns the parsed form of a valid document."""
    checked = document.check(value or sample())
    assert isinstance(checked, dict), checked
    return configuration.parse(checked, 7)


class CheckTest(unittest.TestCase):
    """What is accepted, and that every fault is named at once."""

    def test_sample_is_accepted(self):
        self.assertEqual(faults_of(sample()), {})
        self.assertEqual(document.check({}), document.empty())

    def test_all_faults_come_at_once(self):
        value = sample()
        del value["services"]["billing"]["user"]
        del value["services"]["billing"]["database"]
        value["services"]["billing"]["servers"]["a"]["port"] = 0
        value["services"]["billing"]["servers"]["a"]["zone"] = "nowhere"
        value["services"]["billing"]["password_env"] = "X"
        value["services"]["orders"]["reserved_connections"] = 2
        value["workspaces"]["clerks"]["rate"] = 0
        value["workspaces"]["clerks"]["color"] = "red"
        value["workspaces"]["crews"]["services"].append("absent")
        value["workspaces"]["Bad Name"] = {"rate": 1, "burst": 1}
        value["keys"]["clerks-1"] = {"workspace": "gone", "verifier": "x"}
        value["rules"][0]["max_age_s"] = "60"
        value["rules"][2]["workspace"] = "gone"
        value["open_routes"][0]["tables"] = ["a b"]
        value["zones"]["sediu"]["state"] = "gone"
        value["version"] = 3
        self.assertEqual(
            sorted(faults_of(value)),
            [
                "keys.clerks-1.verifier",
                "keys.clerks-1.workspace",
                "open_routes[0].tables[0]",
                "rules[0].max_age_s",
                "rules[2].workspace",
                "services.billing.database",
                "services.billing.password_env",
                "services.billing.servers.a.port",
                "services.billing.servers.a.zone",
                "services.billing.user",
                "services.orders.reserved_connections",
                "version",
                "workspaces.Bad Name",
                "workspaces.clerks.color",
                "workspaces.clerks.rate",
                "workspaces.crews.services[1]",
                "zones.sediu.state",
            ],
        )

    def test_values_of_wrong_types_are_faults_and_no_crash(self):
        for section in document.SECTIONS:
            for wrong in (None, 1, "x", [1], {"x": 1}, [[]], {"x": []}):
                value = sample()
                value[section] = wrong
                with self.subTest(section=section, wrong=wrong):
                    self.assertTrue(faults_of(value))
        for wrong in (None, 1, "x", [], True):
            self.assertTrue(faults_of(wrong))

    def test_two_rules_for_one_table_are_a_fault(self):
        value = sample()
        value["rules"].append(dict(value["rules"][1], tables=["payments"]))
        value["rules"].append(dict(value["rules"][0], max_age_s=5))
        self.assertEqual(
            sorted(faults_of(value)), ["rules[3].tables", "rules[4].tables"]
        )

    def test_an_empty_list_of_services_is_a_fault(self):
        value = sample()
        value["workspaces"]["crews"]["services"] = []
        self.assertEqual(list(faults_of(value)), ["workspaces.crews.services"])

    def test_names_with_a_trailing_newline_are_faults(self):
        value = sample()
        value["zones"]["x\n"] = {}
        self.assertEqual(list(faults_of(value)), ["zones.x\n"])

    def test_hidden_password_is_a_fault_and_none_is_shown(self):
        value = sample()
        value["services"]["billing"]["password"] = "***"
        self.assertEqual(list(faults_of(value)), ["services.billing.password"])
        value["services"]["billing"]["password"] = ["secret"]
        value["services"]["gone"] = [{"password": "secret"}]
        found = document.check(value)
        self.assertEqual(len(found), 2)
        self.assertNotIn("secret", " ".join(str(fault) for fault in found))

    def test_fault_message(self):
        value = sample()
        value["rules"][2]["max_age_s"] = -1
        found = document.check(value)
        self.assertEqual(
            str(found[0]), "rules[2].max_age_s: found -1, expected at least 0"
        )


class PageTest(unittest.TestCase):
    """The operators' page."""

    def test_example_is_accepted_and_every_field_is_described(self):
        text = PAGE.read_text(encoding="utf-8")
        example = text.partition("```json\n")[2].partition("```")[0]
        found = operatorfile.read(example)
        self.assertIsInstance(found, operatorfile.OperatorFile, found)
        schemas = (
            document.SERVICE_SCHEMA,
            document.SERVER_SCHEMA,
            document.WORKSPACE_SCHEMA,
            document.RULE_SCHEMA,
            document.SCHEMA,
        )
        for schema in schemas:
            for name in schema["properties"]:
                self.assertRegex(text, rf"\| .*\b{name}\b.* \|")


class JsonTextTest(unittest.TestCase):
    """Reading of JSON with comments."""

    def test_comments_and_trailing_commas(self):
        text = '{/* a */ "zones": {"sediu": {},}, // b\n}'
        self.assertEqual(
            jsontext.read(text), jsontext.ParsedText({"zones": {"sediu": {}}})
        )

    def test_faults(self):
        for text in (
            "{",
            "",
            '{"a": 1, "a": 2}',
            "{a: 1, a: 2, /* */}",
            "[" * 5000,
        ):
            with self.subTest(text=text[:20]):
                found = jsontext.read(text)
                self.assertIsInstance(found, list)
                self.assertIsInstance(found[0], Fault)

    def test_numbers_that_are_not_finite(self):
        found = jsontext.read('{"a": [1, NaN], "b": 1e999}')
        self.assertEqual([fault.path for fault in found], [("a", 1), ("b",)])


class ConfigurationTest(unittest.TestCase):
    """Lookups in the parsed form."""

    def test_defaults(self):
        found = parsed()
        self.assertEqual(found.version, 7)
        billing = found.services["billing"]
        self.assertEqual(billing.slots, 3)
        self.assertEqual(billing.reserved_connections, 2)
        self.assertEqual(billing.acknowledge, "replica")
        self.assertEqual(billing.home_count_per_zone, 2)
        self.assertEqual(found.services["orders"].reserved_connections, 1)
        self.assertEqual(found.services["orders"].acknowledge, "primary")
        self.assertIsNone(found.workspaces["clerks"].services)
        self.assertEqual(found.keys["clerks-1"].workspace, "clerks")

    def test_states(self):
        value = sample()
        self.assertTrue(parsed(value).is_server_serving("billing", "a"))
        self.assertFalse(parsed(value).is_server_serving("billing", "b"))
        self.assertFalse(parsed(value).is_server_serving("billing", "c"))
        value["zones"]["sediu"]["state"] = "out"
        self.assertFalse(parsed(value).is_server_serving("billing", "a"))
        self.assertFalse(parsed(value).is_zone_serving("sediu"))
        self.assertFalse(parsed(value).is_zone_serving("absent"))

    def test_may_use(self):
        found = parsed()
        self.assertTrue(found.may_use("clerks", "orders"))
        self.assertTrue(found.may_use("crews", "billing"))
        self.assertFalse(found.may_use("crews", "orders"))
        self.assertFalse(found.may_use("absent", "billing"))
        self.assertFalse(found.may_use("clerks", "absent"))

    def test_open_routes(self):
        value = sample()
        self.assertTrue(parsed(value).is_open("billing", ("notices",)))
        self.assertFalse(
            parsed(value).is_open("billing", ("notices", "payments"))
        )
        self.assertFalse(parsed(value).is_open("billing", ("x.notices",)))
        self.assertFalse(parsed(value).is_open("billing", ()))
        self.assertTrue(parsed(value).has_open_route("billing"))
        self.assertFalse(parsed(value).has_open_route("orders"))
        self.assertFalse(parsed(value).is_open("orders", ("notices",)))
        value["open_routes"].append({"service": "billing"})
        self.assertTrue(parsed(value).is_open("billing", ("payments",)))

    def test_max_age(self):
        found = parsed()
        for workspace, tables, age_s in (
            ("clerks", ("other",), 60),
            ("clerks", ("other", "payments"), 0),
            ("clerks", (), 0),
            ("crews", ("meters",), 0),
            ("crews", ("public.meters",), 0),
            ("crews", ("audit.meters",), 0),
            ("crews", ("other",), 60),
        ):
            with self.subTest(workspace=workspace, tables=tables):
                self.assertEqual(
                    found.max_age_for("billing", workspace, tables), age_s
                )
        self.assertEqual(found.max_age_for("orders", "clerks", ("x",)), 0)

    def test_rules_for_a_named_workspace_and_table_take_precedence(self):
        value = sample()
        value["rules"][1]["tables"] = ["payments"]
        value["rules"].append(
            {"service": "billing", "workspace": "crews", "max_age_s": 5}
        )
        found = parsed(value)
        for workspace, tables, age_s in (
            ("crews", ("meters",), 600),
            ("crews", ("public.meters",), 5),
            ("crews", ("other",), 5),
            ("crews", ("payments",), 0),
            ("clerks", ("meters",), 60),
        ):
            with self.subTest(workspace=workspace, tables=tables):
                self.assertEqual(
                    found.max_age_for("billing", workspace, tables), age_s
                )


if __name__ == "__main__":
    unittest.main()
