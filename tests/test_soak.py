"""Tests of the soak's checks, and a short soak of a few real processes."""

import asyncio
import os
import pathlib
import tempfile
import time
import unittest

from soak import checks, measures, plans, requests, site, timeline

GUARD_S = 120.0
MIN_STATEMENTS = 200
MIN_PREPARED = 100
MIN_COMMITS = 20
MIN_MOVES = 3
FIRST_PORT = 24_000
PORT_RANGE = 4_000
PORT_BLOCK = 40


def choose_first_port() -> int:
    """Returns where to look for free ports, apart from other runs."""
    blocks = PORT_RANGE // PORT_BLOCK
    return FIRST_PORT + PORT_BLOCK * (os.getpid() % blocks)


def make_timeline() -> timeline.Timeline:
    """Returns a timeline whose second version moves, adds and withdraws."""
    result = timeline.Timeline(0.0)
    keys = frozenset({"kept", "withdrawn"})
    result.versions = [
        timeline.Version(1, 0.0, 0.1, {"db": "old"}, keys, "first"),
        timeline.Version(
            2,
            20.0,
            20.1,
            {"db": "new", "added": "new"},
            frozenset({"kept"}),
            "second",
        ),
    ]
    return result


class TestChecks(unittest.TestCase):
    """What counts as handled by an older configuration."""

    def setUp(self):
        self.timeline = make_timeline()
        self.checks = checks.Checks(self.timeline)

    def run_at(self, sent_at, service, key="kept", database="db"):
        origin = requests.Origin("i1", database, key, sent_at)
        self.checks.check_run(service, origin)
        return [each.what for each in self.checks.cases]

    def refuse_at(self, sent_at, database, key="kept"):
        origin = requests.Origin("i1", database, key, sent_at)
        self.checks.check_refusal("NODB", origin, sent_at + 0.1)
        return [each.what for each in self.checks.cases]

    def test_the_old_service_within_the_bound_is_no_case(self):
        self.assertEqual(self.run_at(25.0, "old"), [])

    def test_the_old_service_after_the_bound_is_a_case(self):
        self.assertEqual(self.run_at(25.2, "old"), ["run by old"])
        case = self.checks.cases[0]
        self.assertEqual((case.instance, case.version), ("i1", 2))
        self.assertAlmostEqual(case.version_age_s, 5.1)

    def test_the_new_service_is_no_case_once_its_version_was_sent(self):
        self.assertEqual(self.run_at(20.0, "new"), [])

    def test_a_withdrawn_key_after_the_bound_is_a_case(self):
        found = self.run_at(25.2, "new", "withdrawn")
        self.assertEqual(found, ["run with key withdrawn"])

    def test_a_route_that_was_added_may_be_refused_within_the_bound(self):
        self.assertEqual(self.refuse_at(25.0, "added"), [])

    def test_a_route_that_was_added_refused_after_the_bound_is_a_case(self):
        self.assertEqual(self.refuse_at(25.2, "added"), ["refused: NODB"])

    def test_a_withdrawn_key_may_be_refused_at_once(self):
        self.assertEqual(self.refuse_at(20.0, "db", "withdrawn"), [])

    def test_an_instance_is_in_touch_again_after_the_contact_time(self):
        self.timeline.add_impairment(timeline.EVERYONE, "silent", 10.0, 14.0)
        self.timeline.add_impairment("i2", "paused", 30.0, 32.0)
        is_in_touch = self.timeline.is_in_touch
        self.assertTrue(is_in_touch("i1", 9.9))
        self.assertFalse(is_in_touch("i1", 10.0))
        self.assertFalse(is_in_touch("i1", 18.9))
        self.assertTrue(is_in_touch("i1", 19.0))
        self.assertTrue(is_in_touch("i1", 31.0))
        self.assertFalse(is_in_touch("i2", 31.0))

    def test_an_impairment_postpones_when_a_version_is_due(self):
        version = self.timeline.versions[1]
        self.assertAlmostEqual(self.timeline.find_due_at("i1", version), 25.1)
        self.timeline.add_impairment(timeline.EVERYONE, "slow", 24.0, 26.0)
        self.assertAlmostEqual(self.timeline.find_due_at("i1", version), 31.0)

    def test_an_origin_survives_its_item(self):
        origin = requests.Origin("edge-a-1", "o3", "k7b", 1234.567891)
        self.assertEqual(requests.decode(requests.encode(origin, 2)), origin)


class TestPlans(unittest.TestCase):
    """What a seed decides."""

    def test_a_seed_gives_the_same_plan_again(self):
        for scenario in plans.SCENARIOS:
            with self.subTest(scenario):
                one = plans.make_plan(scenario, 3, 60.0)
                self.assertEqual(one, plans.make_plan(scenario, 3, 60.0))
                self.assertNotEqual(one, plans.make_plan(scenario, 4, 60.0))


class SoakTestCase(unittest.TestCase):
    """Runs a few instances for a short time."""

    def run_soak(self, scenario, seconds, link_mbps=0.0):
        """Fails if an instance broke a rule that the soak judges."""
        with tempfile.TemporaryDirectory() as folder:
            options = site.Options(
                seed=1,
                scenario=scenario,
                instances=4,
                sessions=40,
                per_s=60.0,
                rate_factor=1.6,
                seconds=seconds,
                processes=1,
                tree=site.ROOT,
                folder=pathlib.Path(folder),
                first_port=choose_first_port(),
                link_mbps=link_mbps,
            )
            began_at = time.monotonic()
            running = asyncio.wait_for(site.Site(options).run(), GUARD_S)
            result = asyncio.run(running)
        self.assertLess(time.monotonic() - began_at, GUARD_S)
        cases = [each for each in result.checks.cases if each.is_in_touch]
        self.assertEqual(cases, [])
        self.assertEqual(result.statement_cases, [])
        self.assertEqual(result.ends, [])
        self.assertGreater(result.checks.statements, MIN_STATEMENTS)
        prepared = [run for run in result.records.runs if run.shape]
        self.assertGreater(len(prepared), MIN_PREPARED)
        self.assertGreater(len(result.records.commits), MIN_COMMITS)
        moves = [
            each for each in result.timeline.versions if "from" in each.change
        ]
        self.assertGreaterEqual(len(moves), MIN_MOVES)
        delays = measures.find_delays(
            result.timeline, result.logs, result.ended_at
        )
        late = [each for each in delays if each.late_s > 0]
        self.assertEqual(late, [])


class TestOldConfigurationAfterWatchesHang(SoakTestCase):
    """Instances ran statements by a route that had long been moved.

    Calls that waited for changes were never answered, while all other calls
    were, and the instances went on waiting.
    """

    def test_a_moved_route_is_in_force_within_the_bound(self):
        self.run_soak("hang", 22.0)


class TestOldConfigurationOnSlowLinks(SoakTestCase):
    """Instances went on with routes and keys of a smaller configuration.

    A larger one took longer to arrive than a call of the store may take.
    """

    LINK_MBPS = 2.4

    def test_a_large_configuration_is_in_force_within_the_bound(self):
        self.run_soak("grow", 24.0, self.LINK_MBPS)


if __name__ == "__main__":
    unittest.main()
