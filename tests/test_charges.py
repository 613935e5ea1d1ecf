"""What a steward lends to homes."""

import unittest

from cuminwall import charges, leases, messages, state
from cuminwall.failover import Phase
from tests import harness

SERVING = (harness.make_report("sa", primary=True),)


class LendingTest(unittest.TestCase):
    """Write leases are lent for a confirmed term that is not changing."""

    def setUp(self):
        self.steward = harness.make_steward()
        self.hold = self.steward.state.stewardships[0]
        self.charge = self.hold.charges["ledger"]

    def ask(self):
        return harness.granted_s(
            harness.send_reports(self.steward, "a-0", *SERVING)
        )

    def has_loans(self):
        self.steward.state.now = self.steward.now
        return charges.has_loans(self.steward.state, self.hold, self.charge)

    def change(self, planned=False):
        self.charge.change = state.PrimaryChange(
            Phase.FENCING, self.steward.now, planned
        )

    def test_a_loan_is_remembered_until_it_lapses(self):
        self.assertEqual(self.ask(), harness.TIMES.write_lease_s)
        self.steward.now = leases.lapses_at(harness.NOW, 1.5) - 0.001
        self.assertTrue(self.has_loans())
        self.steward.now += 0.001
        self.assertFalse(self.has_loans())

    def test_nothing_is_lent_while_the_primary_is_changed(self):
        self.change()
        self.assertEqual(self.ask(), 0.0)

    def test_nothing_is_lent_while_the_record_is_written(self):
        self.charge.swap_pending = True
        self.assertEqual(self.ask(), 0.0)

    def test_nothing_is_lent_for_an_unconfirmed_term(self):
        self.charge.record = harness.make_record(
            (1, "sa", 1, 0), (2, "sb", 0, 0), active=False
        )
        self.assertEqual(self.ask(), 0.0)

    def test_a_lapsed_steward_answers_nothing(self):
        self.hold.valid_until = self.steward.now
        found = harness.send_reports(self.steward, "a-0", *SERVING)
        self.assertEqual(harness.sent_messages(found, messages.LeaseAnswer), [])
        self.assertEqual(self.charge.loans, {})

    def test_during_a_planned_change_only_holders_go_on(self):
        self.change(planned=True)
        self.assertEqual(self.ask(), 0.0)
        self.charge.loans["a-0"] = harness.NOW + 1.0
        self.assertEqual(self.ask(), harness.TIMES.write_lease_s)
        self.steward.now += harness.TIMES.planned_drain_s
        self.charge.loans["a-0"] = self.steward.now + 1.0
        self.assertEqual(self.ask(), 0.0)

    def test_a_hand_back_strikes_the_loan_of_its_holder_alone(self):
        self.charge.loans = {"a-0": harness.NOW + 1.0, "c-0": harness.NOW + 1.0}
        self.steward.receive_message("a-0", messages.HandBack(0, "ledger", 1))
        self.assertEqual(list(self.charge.loans), ["c-0"])

    def test_a_hand_back_of_another_term_strikes_nothing(self):
        self.charge.loans = {"a-0": harness.NOW + 1.0}
        self.steward.receive_message("a-0", messages.HandBack(0, "ledger", 7))
        self.assertEqual(list(self.charge.loans), ["a-0"])

    def test_after_a_take_over_unknown_leases_may_be_held(self):
        self.hold.earlier_leases_until = harness.NOW + 2.0
        self.assertTrue(self.has_loans())
        self.steward.now += 2.0
        self.assertFalse(self.has_loans())
