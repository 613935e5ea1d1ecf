"""The instances of the system and the homes of a service."""

import unittest

from cuminwall import membership
from tests import harness

ALL = ("a-0", "b-0", "c-0")


class MembershipTest(unittest.TestCase):
    """Lagging lists, leaving instances and zones taken out."""

    def setUp(self):
        self.instance = harness.Harness("a-0")

    def homes(self):
        return membership.homes(self.instance.state, "ledger")

    def test_homes_of_the_own_zone_come_first(self):
        self.assertEqual(self.homes(), ALL)

    def test_a_leaving_instance_is_no_home(self):
        self.instance.list_instances(*ALL, leaving="b-0")
        self.assertEqual(self.homes(), ("a-0", "c-0"))

    def test_a_leaving_instance_is_no_relay(self):
        self.instance.list_instances(*ALL, leaving="b-0")
        self.assertEqual(membership.relays(self.instance.state, "b"), [])

    def test_a_zone_taken_out_has_no_homes(self):
        self.instance.load_config(2, zones=harness.zones_without("b"))
        self.assertEqual(self.homes(), ("a-0", "c-0"))
        self.instance.load_config(3)
        self.assertEqual(self.homes(), ALL)

    def test_an_instance_missing_for_a_moment_stays(self):
        self.instance.list_instances("a-0", "b-0")
        self.instance.tick(harness.TIMES.members_keep_s - 0.1)
        self.instance.list_instances(*ALL)
        self.instance.tick(harness.TIMES.members_keep_s)
        self.assertEqual(self.homes(), ALL)

    def test_an_instance_missing_for_long_is_gone(self):
        self.instance.list_instances("a-0", "b-0")
        self.instance.tick(harness.TIMES.members_keep_s)
        self.assertEqual(self.homes(), ("a-0", "b-0"))

    def test_an_instance_stays_in_its_own_list(self):
        self.instance.list_instances("b-0", "c-0")
        self.instance.tick(harness.TIMES.members_keep_s)
        self.assertIn("a-0", self.instance.state.members)

    def test_an_unresponsive_instance_is_avoided_for_a_while(self):
        membership.mark_unresponsive(self.instance.state, "b-0")
        self.assertTrue(membership.is_unresponsive(self.instance.state, "b-0"))
        self.instance.tick(harness.TIMES.home_retry_s)
        self.assertFalse(membership.is_unresponsive(self.instance.state, "b-0"))
