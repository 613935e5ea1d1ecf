"""Tests of parts and differences, against documents made at random."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall import configdiff, confighead, configparts, document
from tests.documents import VERIFIER, sample

NAMES = st.text("abc", min_size=1, max_size=2)
STATES = st.sampled_from(["serving", "out"])
TABLES = st.lists(st.sampled_from(["t", "u", "s.t"]), min_size=1, unique=True)
SERVERS = st.fixed_dictionaries(
    {"host": st.just("h"), "port": st.integers(1, 3), "zone": NAMES},
    optional={"state": STATES},
)
SERVICES = st.fixed_dictionaries(
    {
        "servers": st.dictionaries(NAMES, SERVERS, min_size=1, max_size=2),
        "database": st.just("d"),
        "user": st.just("u"),
        "connections_per_server": st.integers(1, 3),
    },
    optional={"password": st.sampled_from(["secret1", "secret2"])},
)
WORKSPACES = st.fixed_dictionaries(
    {"rate": st.sampled_from([1, 1.0, 2.5]), "burst": st.integers(1, 2)},
    optional={"services": st.lists(NAMES, unique=True, max_size=2)},
)
KEYS = st.fixed_dictionaries(
    {"workspace": NAMES, "verifier": st.just(VERIFIER)}
)
RULES = st.fixed_dictionaries(
    {"service": NAMES, "workspace": NAMES, "max_age_s": st.integers(0, 2)},
    optional={"tables": TABLES},
)
ROUTES = st.fixed_dictionaries({"service": NAMES}, optional={"tables": TABLES})


def unique_items(items):
    """Returns a strategy for lists in which each item has its own name."""
    return st.lists(items, max_size=4, unique_by=document.item_name)


DOCUMENTS = st.fixed_dictionaries(
    {
        "zones": st.dictionaries(
            NAMES, st.fixed_dictionaries({}, optional={"state": STATES})
        ),
        "workspaces": st.dictionaries(NAMES, WORKSPACES, max_size=4),
        "services": st.dictionaries(NAMES, SERVICES, max_size=4),
        "keys": st.dictionaries(NAMES, KEYS, max_size=4),
        "rules": unique_items(RULES),
        "open_routes": unique_items(ROUTES),
    }
).map(document.normalize)


def join(texts):
    """Returns the document of the texts of parts."""
    parts = []
    for name, text in texts.items():
        parts.append((name, configparts.decode(text)))
    return configparts.join(parts)


class SplitTest(unittest.TestCase):
    """Splitting and joining."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(DOCUMENTS)
    def test_join_undoes_split(self, value):
        self.assertEqual(join(configparts.split(value)), value)

    @settings(derandomize=True, deadline=None, database=None)
    @given(DOCUMENTS)
    def test_texts_do_not_depend_on_the_order_of_fields(self, value):
        turned = {}
        for name in reversed(list(value)):
            turned[name] = value[name]
            if isinstance(value[name], dict):
                turned[name] = dict(reversed(value[name].items()))
        self.assertEqual(configparts.split(turned), configparts.split(value))

    def test_adding_a_key_changes_one_part(self):
        value = document.normalize(sample())
        before = configparts.split(value)
        value["keys"]["crews-1"] = dict(value["keys"]["clerks-1"])
        after = configparts.split(value)
        changed = [name for name in after if after[name] != before.get(name)]
        self.assertEqual(len(changed), 1)
        self.assertEqual(changed, [configparts.part_name("keys", "crews-1")])


class DiffTest(unittest.TestCase):
    """Differences between documents."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(DOCUMENTS, DOCUMENTS)
    def test_differences_applied_give_the_target(self, before, after):
        differences = configdiff.diff(before, after)
        applied = configdiff.apply(before, differences)
        self.assertEqual(configparts.split(applied), configparts.split(after))

    @settings(derandomize=True, deadline=None, database=None)
    @given(DOCUMENTS)
    def test_equal_documents_do_not_differ(self, value):
        self.assertEqual(configdiff.diff(value, value), ())

    def test_a_small_change_is_a_small_difference(self):
        before = document.normalize(sample())
        after = document.normalize(sample())
        after["services"]["billing"]["servers"]["a"]["state"] = "out"
        after["rules"][0] = dict(after["rules"][0], max_age_s=7)
        found = configdiff.diff(before, after)
        self.assertEqual(
            [str(difference) for difference in found],
            [
                "rules.billing/*/*.max_age_s: 60 -> 7",
                'services.billing.servers.a.state: (absent) -> "out"',
            ],
        )

    @settings(derandomize=True, deadline=None, database=None)
    @given(DOCUMENTS, DOCUMENTS)
    def test_a_change_keeps_no_secret(self, before, after):
        differences = configdiff.diff(before, after)
        change = confighead.make_change(1, "a", 0.0, "w", differences, ())
        text = confighead.encode_change(change)
        self.assertNotIn(b"secret1", text)
        self.assertNotIn(b"secret2", text)
        self.assertEqual(confighead.decode_change(text), change)


class HeadTest(unittest.TestCase):
    """The head, its history entries, and parts that do not fit it."""

    def test_many_differences_are_truncated(self):
        differences = []
        for number in range(confighead.MAX_DIFFERENCES + 5):
            path = ("zones", f"z{number}")
            differences.append(configdiff.Difference(path, None, {}))
        change = confighead.make_change(1, "a", 0.0, "w", differences, ())
        self.assertEqual(len(change.differences), confighead.MAX_DIFFERENCES)
        self.assertEqual(change.omitted, 5)

    def test_head_round_trips(self):
        change = confighead.make_change(3, "a", 1.5, "w", (), ("k",))
        head = confighead.Head(change, {"zones/00": "d-w"}, 2)
        text = confighead.encode_head(head)
        self.assertEqual(confighead.decode_head(text), head)

    def test_damaged_or_missing_parts_are_detected(self):
        text = b'{"sediu":{}}'
        reference = confighead.make_reference(text, "w")
        key = confighead.part_key("zones/00", reference)
        head = confighead.Head(confighead.NO_CHANGE, {"zones/00": reference}, 1)
        self.assertIsNone(confighead.assemble(head, {}, None))
        self.assertIsNone(confighead.assemble(head, {key: b"{}"}, None))
        found = confighead.assemble(head, {key: text}, None)
        self.assertEqual(found.document["zones"], {"sediu": {}})
        self.assertEqual(confighead.missing_parts(head, found.contents), {})


if __name__ == "__main__":
    unittest.main()
