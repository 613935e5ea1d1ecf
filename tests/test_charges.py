"""Tests of the write leases that a steward grants."""

import unittest

from cuminwall import charges, leases, messages, state
from cuminwall.failover import Phase
from tests import lone

SERVING = (lone.report("sa", primary=True),)


class LendingTest(unittest.TestCase):
    """Write leases are granted for a confirmed term that is not changing."""

    def setUp(self):
        self.steward = lone.make_steward()
        self.stewardship = self.steward.state.stewardships[0]
        self.managed_group = self.stewardship.charges["ledger"]

    def request_lease(self):
        return lone.granted_s(lone.tell(self.steward, "a-0", *SERVING))

    def has_leases(self):
        self.steward.state.now = self.steward.now
        return charges.has_loans(
            self.steward.state, self.stewardship, self.managed_group
        )

    def start_change(self, planned=False):
        self.managed_group.change = state.Change(
            Phase.FENCING, self.steward.now, planned
        )

    def test_a_loan_is_remembered_until_it_lapses(self):
        self.assertEqual(self.request_lease(), lone.TIMES.write_lease_s)
        self.steward.now = leases.lapses_at(lone.NOW, 1.5) - 0.001
        self.assertTrue(self.has_leases())
        self.steward.now += 0.001
        self.assertFalse(self.has_leases())

    def test_nothing_is_lent_while_the_primary_is_changed(self):
        self.start_change()
        self.assertEqual(self.request_lease(), 0.0)

    def test_nothing_is_lent_while_the_record_is_written(self):
        self.managed_group.swapping = True
        self.assertEqual(self.request_lease(), 0.0)

    def test_nothing_is_lent_for_an_unconfirmed_term(self):
        self.managed_group.record = lone.record(
            (1, "sa", 1, 0), (2, "sb", 0, 0), active=False
        )
        self.assertEqual(self.request_lease(), 0.0)

    def test_a_lapsed_steward_answers_nothing(self):
        self.stewardship.valid_until = self.steward.now
        found = lone.tell(self.steward, "a-0", *SERVING)
        self.assertEqual(lone.said(found, messages.LeaseAnswer), [])
        self.assertEqual(self.managed_group.loans, {})

    def test_during_a_planned_change_only_holders_go_on(self):
        self.start_change(planned=True)
        self.assertEqual(self.request_lease(), 0.0)
        self.managed_group.loans["a-0"] = lone.NOW + 1.0
        self.assertEqual(self.request_lease(), lone.TIMES.write_lease_s)
        self.steward.now += lone.TIMES.planned_drain_s
        self.managed_group.loans["a-0"] = self.steward.now + 1.0
        self.assertEqual(self.request_lease(), 0.0)

    def test_a_hand_back_strikes_the_loan_of_its_holder_alone(self):
        self.managed_group.loans = {
            "a-0": lone.NOW + 1.0,
            "c-0": lone.NOW + 1.0,
        }
        self.steward.hear("a-0", messages.HandBack(0, "ledger", 1))
        self.assertEqual(list(self.managed_group.loans), ["c-0"])

    def test_a_hand_back_of_another_term_strikes_nothing(self):
        self.managed_group.loans = {"a-0": lone.NOW + 1.0}
        self.steward.hear("a-0", messages.HandBack(0, "ledger", 7))
        self.assertEqual(list(self.managed_group.loans), ["a-0"])

    def test_after_a_take_over_unknown_leases_may_be_held(self):
        self.stewardship.quiet_until = lone.NOW + 2.0
        self.assertTrue(self.has_leases())
        self.steward.now += 2.0
        self.assertFalse(self.has_leases())
