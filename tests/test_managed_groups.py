"""What a steward lends to homes."""

import unittest

from cuminwall import leases, managed_groups, messages, state
from cuminwall.failover import Phase
from tests import harness

SERVING = (harness.make_report("sa", primary=True),)


class GrantTest(unittest.TestCase):
    """Write leases are lent for a confirmed term that is not changing."""

    def setUp(self):
        self.steward = harness.make_steward()
        self.hold = self.steward.state.stewardships[0]
        self.charge = self.hold.managed_groups["ledger"]

    def ask(self):
        return harness.granted_s(
            harness.send_reports(self.steward, "a-0", *SERVING)
        )

    def has_loans(self):
        self.steward.state.now = self.steward.now
        return managed_groups.has_leases(
            self.steward.state, self.hold, self.charge
        )

    def change(self, planned=False):
        self.charge.change = state.PrimaryChange(
            Phase.FENCING, self.steward.now, planned
        )

    def test_a_lease_counts_until_it_expires(self):
        self.assertEqual(self.ask(), harness.TIMES.write_lease_s)
        self.steward.now = leases.lender_expiry(harness.NOW, 1.5) - 0.001
        self.assertTrue(self.has_loans())
        self.steward.now += 0.001
        self.assertFalse(self.has_loans())

    def test_no_lease_is_granted_while_the_primary_is_changed(self):
        self.change()
        self.assertEqual(self.ask(), 0.0)

    def test_no_lease_is_granted_while_the_record_is_written(self):
        self.charge.swap_pending = True
        self.assertEqual(self.ask(), 0.0)

    def test_no_lease_is_granted_for_an_unconfirmed_term(self):
        self.charge.record = harness.make_record(
            (1, "sa", 1, 0), (2, "sb", 0, 0), active=False
        )
        self.assertEqual(self.ask(), 0.0)

    def test_an_expired_steward_does_not_reply(self):
        self.hold.valid_until = self.steward.now
        found = harness.send_reports(self.steward, "a-0", *SERVING)
        self.assertEqual(harness.sent_messages(found, messages.LeaseReply), [])
        self.assertEqual(self.charge.lease_expiries, {})

    def test_only_holders_renew_during_a_planned_change(self):
        self.change(planned=True)
        self.assertEqual(self.ask(), 0.0)
        self.charge.lease_expiries["a-0"] = harness.NOW + 1.0
        self.assertEqual(self.ask(), harness.TIMES.write_lease_s)
        self.steward.now += harness.TIMES.planned_drain_s
        self.charge.lease_expiries["a-0"] = self.steward.now + 1.0
        self.assertEqual(self.ask(), 0.0)

    def test_a_release_removes_only_the_lease_of_its_sender(self):
        self.charge.lease_expiries = {
            "a-0": harness.NOW + 1.0,
            "c-0": harness.NOW + 1.0,
        }
        self.steward.receive_message(
            "a-0", messages.LeaseRelease(0, "ledger", 1)
        )
        self.assertEqual(list(self.charge.lease_expiries), ["c-0"])

    def test_a_release_of_another_term_removes_nothing(self):
        self.charge.lease_expiries = {"a-0": harness.NOW + 1.0}
        self.steward.receive_message(
            "a-0", messages.LeaseRelease(0, "ledger", 7)
        )
        self.assertEqual(list(self.charge.lease_expiries), ["a-0"])

    def test_unknown_leases_may_be_held_after_a_takeover(self):
        self.hold.earlier_leases_until = harness.NOW + 2.0
        self.assertTrue(self.has_loans())
        self.steward.now += 2.0
        self.assertFalse(self.has_loans())
