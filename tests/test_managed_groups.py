"""Tests of the write leases that a steward grants."""

import unittest

from cuminwall import leases, managed_groups, messages, state
from cuminwall.failover import Phase
from tests import harness

SERVING = (harness.make_report("sa", primary=True),)


class GrantTest(unittest.TestCase):
    """Write leases are granted for a confirmed term that is not changing."""

    def setUp(self):
        self.steward = harness.make_steward()
        self.stewardship = self.steward.state.stewardships[0]
        self.managed_group = self.stewardship.managed_groups["ledger"]

    def request_lease(self):
        return harness.granted_s(
            harness.send_reports(self.steward, "a-0", *SERVING)
        )

    def has_leases(self):
        self.steward.state.now = self.steward.now
        return managed_groups.has_leases(
            self.steward.state, self.stewardship, self.managed_group
        )

    def start_change(self, planned=False):
        self.managed_group.change = state.PrimaryChange(
            Phase.FENCING, self.steward.now, planned
        )

    def test_a_lease_counts_until_it_expires(self):
        self.assertEqual(self.request_lease(), harness.TIMES.write_lease_s)
        self.steward.now = leases.lender_expiry(harness.NOW, 1.5) - 0.001
        self.assertTrue(self.has_leases())
        self.steward.now += 0.001
        self.assertFalse(self.has_leases())

    def test_no_lease_is_granted_while_the_primary_is_changed(self):
        self.start_change()
        self.assertEqual(self.request_lease(), 0.0)

    def test_no_lease_is_granted_while_the_record_is_written(self):
        self.managed_group.swap_pending = True
        self.assertEqual(self.request_lease(), 0.0)

    def test_no_lease_is_granted_for_an_unconfirmed_term(self):
        self.managed_group.record = harness.make_record(
            (1, "sa", 1, 0), (2, "sb", 0, 0), active=False
        )
        self.assertEqual(self.request_lease(), 0.0)

    def test_an_expired_steward_does_not_reply(self):
        self.stewardship.valid_until = self.steward.now
        found = harness.send_reports(self.steward, "a-0", *SERVING)
        self.assertEqual(harness.sent_messages(found, messages.LeaseReply), [])
        self.assertEqual(self.managed_group.lease_expiries, {})

    def test_only_holders_renew_during_a_planned_change(self):
        self.start_change(planned=True)
        self.assertEqual(self.request_lease(), 0.0)
        self.managed_group.lease_expiries["a-0"] = harness.NOW + 1.0
        self.assertEqual(self.request_lease(), harness.TIMES.write_lease_s)
        self.steward.now += harness.TIMES.planned_drain_s
        self.managed_group.lease_expiries["a-0"] = self.steward.now + 1.0
        self.assertEqual(self.request_lease(), 0.0)

    def test_a_release_removes_only_the_lease_of_its_sender(self):
        self.managed_group.lease_expiries = {
            "a-0": harness.NOW + 1.0,
            "c-0": harness.NOW + 1.0,
        }
        self.steward.receive_message(
            "a-0", messages.LeaseRelease(0, "ledger", 1)
        )
        self.assertEqual(list(self.managed_group.lease_expiries), ["c-0"])

    def test_a_release_of_another_term_removes_nothing(self):
        self.managed_group.lease_expiries = {"a-0": harness.NOW + 1.0}
        self.steward.receive_message(
            "a-0", messages.LeaseRelease(0, "ledger", 7)
        )
        self.assertEqual(list(self.managed_group.lease_expiries), ["a-0"])

    def test_unknown_leases_may_be_held_after_a_takeover(self):
        self.stewardship.earlier_leases_until = harness.NOW + 2.0
        self.assertTrue(self.has_leases())
        self.steward.now += 2.0
        self.assertFalse(self.has_leases())
