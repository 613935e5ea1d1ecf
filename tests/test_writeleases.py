"""Write leases at a home."""

import unittest

from cuminwall import effects, events, groups, leases, messages, work
from tests import harness


class WriteLeaseTest(unittest.TestCase):
    """Asking, counting and handing back."""

    def setUp(self):
        self.home = harness.make_home()
        self.home.grant_write_lease(until=leases.NEVER)

    def ask(self):
        """Lets the home ask and returns the number of its ask."""
        found = harness.sent_messages(
            self.home.tick(1.0), messages.LeaseRequest
        )
        ((steward, ask),) = found
        self.assertEqual(steward, "b-0")
        return ask.number

    def grant(self, number, term=1, duration_s=1.5):
        grant = messages.WriteGrant("ledger", term, duration_s)
        answer = messages.LeaseReply(number, 0, (grant,), ())
        return self.home.receive_message("b-0", answer)

    def recall(self, planned=False):
        recall = messages.Recall(0, "ledger", 1, planned)
        return self.home.receive_message("b-0", recall)

    def is_valid(self):
        return groups.is_lease_valid(self.home.state, self.home.group, 1)

    def test_it_counts_from_the_request(self):
        number = self.ask()
        asked_at = self.home.now
        self.home.now += 0.3
        self.grant(number)
        until = leases.holder_expiry(asked_at, 1.5)
        self.assertEqual(self.home.group.lease_until, until)

    def test_it_expires(self):
        self.grant(self.ask())
        self.assertTrue(self.is_valid())
        self.home.tick(1.5)
        self.assertFalse(self.is_valid())

    def test_a_reply_to_an_older_request_is_ignored(self):
        number = self.ask()
        self.ask()
        self.grant(number)
        self.assertFalse(self.is_valid())

    def test_a_refusal_grants_nothing(self):
        self.grant(self.ask(), duration_s=0.0)
        self.assertFalse(self.is_valid())

    def test_a_lease_of_another_term_is_not_valid(self):
        self.grant(self.ask(), term=2)
        self.assertFalse(self.is_valid())

    def test_a_recalled_lease_is_invalid_before_it_is_released(self):
        self.grant(self.ask())
        found = harness.sent_messages(self.recall(), messages.LeaseRelease)
        back = messages.LeaseRelease(0, "ledger", 1)
        self.assertEqual(found, [("b-0", back)])
        self.assertFalse(self.is_valid())

    def test_a_reply_in_transit_at_a_recall_is_ignored(self):
        number = self.ask()
        self.recall()
        self.grant(number)
        self.assertFalse(self.is_valid())

    def test_a_planned_recall_waits_for_open_transactions(self):
        self.grant(self.ask())
        self.home.receive_round(1, begins_transaction=True)
        self.home.return_result(1, status=b"T", lsn=0)
        self.assertEqual(
            harness.sent_messages(self.recall(True), messages.LeaseRelease), []
        )
        ended = self.home.receive_round(
            2, access=work.Access.READ, pinned=True, ends_transaction=True
        )
        self.assertTrue(harness.find(ended, effects.Execute))
        acknowledged = self.home.return_result(2)
        self.assertIsNone(harness.answer_of(acknowledged).failure)
        found = harness.sent_messages(self.home.tick(), messages.LeaseRelease)
        self.assertEqual(len(found), 1)

    def test_a_planned_recall_does_not_wait_forever(self):
        self.grant(self.ask())
        self.home.receive_round(1, begins_transaction=True)
        self.home.return_result(1, status=b"T", lsn=0)
        self.recall(True)
        found = self.home.tick(harness.TIMES.planned_drain_s)
        self.assertEqual(
            len(harness.sent_messages(found, messages.LeaseRelease)), 1
        )

    def test_no_new_write_begins_during_a_planned_recall(self):
        self.grant(self.ask())
        self.home.receive_round(1, begins_transaction=True)
        self.recall(True)
        found = self.home.receive_round(2, session=8)
        self.assertEqual(harness.find(found, effects.Execute), [])

    def test_a_reply_from_before_the_group_was_dropped_is_ignored(self):
        self.grant(self.ask())
        number = self.ask()
        dropped = self.home.load_config(2, zones=harness.zones_without("a"))
        self.assertEqual(
            len(harness.sent_messages(dropped, messages.LeaseRelease)), 1
        )
        self.home.load_config(3)
        self.home.receive_message("b-0", messages.RecordUpdate(harness.RECORD))
        self.grant(number)
        self.assertFalse(self.is_valid())

    def test_a_draining_home_accepts_no_lease_it_has_released(self):
        self.grant(self.ask())
        number = self.ask()
        self.home.receive_round(1, begins_transaction=True)
        self.home.return_result(1, status=b"T", lsn=0)
        self.home.reduce(events.DrainOrdered)
        self.home.reduce(events.EntrySessionClosed, ("b-0", 7))
        dropped = self.home.list_instances("a-0", "b-0", "c-0")
        self.assertEqual(
            len(harness.sent_messages(dropped, messages.LeaseRelease)), 1
        )
        self.grant(number)
        self.assertNotIn("ledger", self.home.state.groups)


class ReportTest(unittest.TestCase):
    """What a home tells a steward of its servers."""

    def test_a_failing_server_is_reported_at_once(self):
        home = harness.make_home()
        home.tick(1.0)
        home.fail_probe("sa")
        ((_, ask),) = harness.sent_messages(
            home.tick(0.1), messages.LeaseRequest
        )
        reachable = {item.server: item.reachable for item in ask.reports}
        self.assertEqual(reachable, {"sa": False, "sb": True, "sc": True})
