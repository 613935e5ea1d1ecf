"""Tests of the instance list and the homes of a service."""

import unittest

from cuminwall import membership
from tests import lone

ALL = ("a-0", "b-0", "c-0")


class MembershipTest(unittest.TestCase):
    """Lagging lists, instances that shut down, zones out of service."""

    def setUp(self):
        self.lone = lone.Lone("a-0")

    def homes(self):
        return membership.homes(self.lone.state, "ledger")

    def test_homes_of_the_own_zone_come_first(self):
        self.assertEqual(self.homes(), ALL)

    def test_a_leaving_instance_is_no_home(self):
        self.lone.list_instances(*ALL, leaving="b-0")
        self.assertEqual(self.homes(), ("a-0", "c-0"))

    def test_a_leaving_instance_is_no_relay(self):
        self.lone.list_instances(*ALL, leaving="b-0")
        self.assertEqual(membership.relays(self.lone.state, "b"), [])

    def test_a_zone_taken_out_has_no_homes(self):
        self.lone.load(2, zones=lone.zones_without("b"))
        self.assertEqual(self.homes(), ("a-0", "c-0"))
        self.lone.load(3)
        self.assertEqual(self.homes(), ALL)

    def test_an_instance_missing_for_a_moment_stays(self):
        self.lone.list_instances("a-0", "b-0")
        self.lone.tick(lone.TIMES.members_keep_s - 0.1)
        self.lone.list_instances(*ALL)
        self.lone.tick(lone.TIMES.members_keep_s)
        self.assertEqual(self.homes(), ALL)

    def test_an_instance_missing_for_long_is_gone(self):
        self.lone.list_instances("a-0", "b-0")
        self.lone.tick(lone.TIMES.members_keep_s)
        self.assertEqual(self.homes(), ("a-0", "b-0"))

    def test_an_instance_stays_in_its_own_list(self):
        self.lone.list_instances("b-0", "c-0")
        self.lone.tick(lone.TIMES.members_keep_s)
        self.assertIn("a-0", self.lone.state.members)

    def test_an_unresponsive_instance_is_avoided_for_a_while(self):
        membership.mark_unresponsive(self.lone.state, "b-0")
        self.assertTrue(membership.is_unresponsive(self.lone.state, "b-0"))
        self.lone.tick(lone.TIMES.home_retry_s)
        self.assertFalse(membership.is_unresponsive(self.lone.state, "b-0"))
