"""Who lends: taking, keeping and losing a shard."""

import unittest

from cuminwall import (
    calls,
    effects,
    events,
    leases,
    messages,
    ports,
    stewards,
)
from tests import harness

PROMISE_S = harness.TIMES.promise_s


class RenewalTest(unittest.TestCase):
    """A hold goes on by its store lease, or by every successor's promise."""

    def setUp(self):
        self.steward = harness.make_steward()
        self.hold = self.steward.state.stewardships[0]

    def ask_promises(self):
        """Lets the steward ask for promises; returns the ask."""
        self.hold.store_failing = True
        found = self.steward.tick(harness.TIMES.steward_renew_s + 0.01)
        asks = harness.sent_messages(found, messages.PromiseRequest)
        self.asked = sorted(name for name, _ in asks)
        return asks[0][1]

    def promise(self, successor, ask, duration_s=PROMISE_S):
        answer = messages.PromiseReply(ask.number, 0, ask.epoch, duration_s)
        self.steward.receive_message(successor, answer)

    def is_extended(self):
        return self.hold.valid_until > self.steward.now + 0.5

    def test_it_ends_by_its_own_clock(self):
        self.assertTrue(stewards.is_active(self.steward.state, 0))
        self.steward.now = self.hold.valid_until
        self.steward.state.now = self.steward.now
        self.assertFalse(stewards.is_active(self.steward.state, 0))

    def test_an_expired_stewardship_only_revokes_its_lease(self):
        harness.send_reports(
            self.steward, "a-0", harness.make_report("sa", reachable=False)
        )
        harness.send_reports(
            self.steward, "c-0", harness.make_report("sa", reachable=False)
        )
        self.hold.managed_groups["ledger"].lease_expiries["a-0"] = (
            harness.NOW + 50.0
        )
        self.hold.valid_until = self.steward.now + 1.0
        found = self.steward.tick(1.0)
        self.assertEqual(harness.find(found, effects.SwapValue), [])
        self.assertEqual(harness.sent_messages(found, messages.Recall), [])
        self.assertEqual(len(harness.find(found, effects.RevokeStoreLease)), 1)
        self.assertNotIn(0, self.steward.state.stewardships)

    def test_a_renewal_counts_from_when_it_was_sent(self):
        self.hold.valid_until = harness.NOW + 1.0
        keep = harness.only(self.steward.tick(0.8), effects.RenewStoreLease)
        sent_at = self.steward.now
        self.steward.now += 0.1
        self.steward.reduce(events.StoreAnswered, keep.call, sent_at, 3.0)
        until = leases.holder_expiry(sent_at, 3.0)
        self.assertEqual(self.hold.valid_until, until)

    def test_every_successor_must_promise(self):
        ask = self.ask_promises()
        self.assertEqual(self.asked, ["a-0", "c-0"])
        self.hold.valid_until = self.steward.now + 0.1
        self.promise("a-0", ask)
        self.assertFalse(self.is_extended())
        self.promise("c-0", ask)
        self.assertTrue(self.is_extended())

    def test_promises_count_from_when_they_were_asked_for(self):
        ask = self.ask_promises()
        asked_at = self.steward.now
        self.hold.valid_until = self.steward.now + 0.1
        self.steward.now += 0.05
        self.promise("a-0", ask)
        self.promise("c-0", ask)
        until = leases.holder_expiry(asked_at, PROMISE_S)
        self.assertEqual(self.hold.valid_until, until)

    def test_a_refusal_is_no_promise(self):
        ask = self.ask_promises()
        self.hold.valid_until = self.steward.now + 0.1
        self.promise("a-0", ask)
        self.promise("c-0", ask, duration_s=0.0)
        self.assertFalse(self.is_extended())

    def test_promises_of_an_older_round_do_not_count(self):
        older = self.ask_promises()
        self.promise("a-0", older)
        newer = self.ask_promises()
        self.hold.valid_until = self.steward.now + 0.1
        self.promise("a-0", older)
        self.promise("c-0", newer)
        self.assertFalse(self.is_extended())

    def test_former_successors_must_promise_too(self):
        self.hold.former_successors = ("a-1",)
        ask = self.ask_promises()
        self.assertEqual(self.asked, ["a-0", "a-1", "c-0"])
        self.hold.valid_until = self.steward.now + 0.1
        self.promise("a-0", ask)
        self.promise("c-0", ask)
        self.assertFalse(self.is_extended())
        self.promise("a-1", ask)
        self.assertTrue(self.is_extended())

    def test_successors_of_an_unclear_change_are_all_asked(self):
        self.steward.list_instances("a-1", "b-0", "c-0")
        self.steward.now += harness.TIMES.members_keep_s
        for home in ("a-1", "c-0"):
            harness.send_reports(
                self.steward, home, harness.make_report("sa", primary=True)
            )
        self.steward.tick()
        self.steward.tick(0.1)
        self.assertTrue(self.hold.record_pending)
        self.assertEqual(
            set(self.hold.former_successors), {"a-0", "a-1", "c-0"}
        )

    def test_a_key_expired_in_the_store_ends_it_while_the_store_answers(self):
        keep = harness.only(self.steward.tick(0.8), effects.RenewStoreLease)
        self.steward.reduce(
            events.StoreAnswered, keep.call, self.steward.now, 0.0
        )
        self.assertNotIn(0, self.steward.state.stewardships)

    def test_another_epoch_in_the_record_ends_it(self):
        then = stewards.RecordRead(0)
        self.steward.state.pending_calls[77] = then
        value = {**self.hold.record, "epoch": 2, "steward": "c-0"}
        found = calls.StoredValue("", 9, value)
        self.steward.reduce(events.StoreAnswered, 77, self.steward.now, found)
        self.assertNotIn(0, self.steward.state.stewardships)


class PromiseTest(unittest.TestCase):
    """A successor promises, and keeps what it promised."""

    def setUp(self):
        self.successor = harness.Harness("a-0")

    def ask(self, epoch=1):
        """Returns how long the successor promises to hold still."""
        ask = messages.PromiseRequest(5, 0, epoch)
        ((_, answer),) = harness.sent_messages(
            self.successor.receive_message("b-0", ask), messages.PromiseReply
        )
        return answer.duration_s

    def vacate(self, after_s=0.0):
        """Shows the shard without steward; returns what is begun then."""
        vacant = messages.ShardRecord(0, 1, "b-0", ("a-0", "c-0"), False, 6)
        self.successor.state.shards[0] = vacant
        self.successor.tick()
        found = self.successor.tick(after_s)
        return harness.find(found, effects.GrantStoreLease)

    def test_it_promises(self):
        self.assertEqual(self.ask(), PROMISE_S)

    def test_it_refuses_an_older_epoch(self):
        self.assertEqual(self.ask(epoch=0), 0.0)

    def test_it_refuses_while_it_acquires_the_shard(self):
        self.assertEqual(len(self.vacate()), 0)
        self.assertIn(0, self.successor.state.stewardships)
        self.assertEqual(self.ask(), 0.0)

    def test_it_refuses_while_it_leaves(self):
        self.successor.reduce(events.DrainOrdered)
        self.assertEqual(self.ask(), 0.0)

    def test_it_acquires_a_vacant_shard(self):
        self.vacate()
        self.assertIn(0, self.successor.state.stewardships)

    def test_it_acquires_no_shard_before_its_promise_has_expired(self):
        self.ask()
        lapse_s = leases.lender_expiry(0.0, PROMISE_S)
        self.vacate(lapse_s - 0.01)
        self.assertNotIn(0, self.successor.state.stewardships)
        self.successor.tick(0.02)
        self.assertIn(0, self.successor.state.stewardships)

    def test_a_later_promise_does_not_shorten_an_earlier_one(self):
        self.successor.state.promised_until[0] = harness.NOW + 100.0
        self.ask()
        until = self.successor.state.promised_until[0]
        self.assertEqual(until, harness.NOW + 100.0)

    def test_a_restarted_instance_keeps_what_it_may_have_promised(self):
        self.successor.state.started_at = self.successor.now
        lapse_s = leases.lender_expiry(0.0, PROMISE_S)
        self.vacate(lapse_s - 0.01)
        self.assertNotIn(0, self.successor.state.stewardships)
        self.successor.tick(0.02)
        self.assertIn(0, self.successor.state.stewardships)

    def test_a_shard_with_a_steward_is_not_acquired(self):
        self.successor.tick(100.0)
        self.assertNotIn(0, self.successor.state.stewardships)

    def test_a_non_successor_does_not_acquire_it(self):
        other = messages.ShardRecord(0, 1, "b-0", ("c-0",), False, 6)
        self.successor.state.shards[0] = other
        self.successor.tick()
        self.successor.tick(4.0)
        self.assertNotIn(0, self.successor.state.stewardships)


class AcquisitionTest(unittest.TestCase):
    """The steps of a take-over, with every answer lost once."""

    def setUp(self):
        self.taker = harness.Harness("a-0")
        vacant = messages.ShardRecord(0, 1, "b-0", ("a-0", "c-0"), False, 6)
        self.taker.state.shards[0] = vacant
        self.call = harness.only(self.taker.tick(), effects.GrantStoreLease)

    def answer(self, value):
        """Answers the call under way; keeps the one that follows."""
        found = self.taker.reduce(
            events.StoreAnswered, self.call.call, self.taker.now, value
        )
        following = harness.find(
            found, effects.SwapValue, effects.ReadValue, effects.ReadPrefix
        )
        self.call = following[0] if following else None
        return found

    @property
    def hold(self):
        return self.taker.state.stewardships.get(0)

    def go_to(self, step):
        """Answers every step before `step`."""
        value = {
            "epoch": 4,
            "steward": "b-0",
            "successors": ["a-0"],
            "shard": 0,
            "write_id": "b-0:1",
        }
        answers = (
            77,
            ports.Swapped(10),
            calls.StoredValue("", 8, value),
            ports.Swapped(11),
            (),
        )
        for answer in answers[:step]:
            self.answer(answer)

    def test_it_is_active_once_everything_is_read(self):
        self.go_to(4)
        self.assertFalse(self.hold.active)
        self.answer(())
        self.assertTrue(self.hold.active)
        self.assertEqual(self.hold.epoch, 5)

    def test_its_stewardship_counts_from_the_lease_request(self):
        asked_at = self.taker.now
        self.answer(77)
        self.taker.now += 0.4
        self.answer(ports.Swapped(10))
        until = leases.holder_expiry(asked_at, 3)
        self.assertEqual(self.hold.valid_until, until)

    def test_it_waits_for_leases_that_an_earlier_steward_granted(self):
        self.go_to(5)
        longest_s = max(harness.TIMES.write_lease_s, harness.TIMES.permit_s)
        until = leases.lender_expiry(self.taker.now, longest_s)
        self.assertEqual(self.hold.earlier_leases_until, until)

    def test_a_step_without_answer_ends_it(self):
        for step in (0, 1, 2, 3, 4):
            with self.subTest(step=step):
                self.setUp()
                self.go_to(step)
                self.answer(None)
                self.assertIsNone(self.hold)

    def test_another_that_holds_the_key_ends_it(self):
        self.go_to(1)
        self.answer(ports.SwapConflict(None))
        self.assertIsNone(self.hold)

    def test_another_that_changed_the_record_ends_it(self):
        self.go_to(3)
        self.answer(ports.SwapConflict(None))
        self.assertIsNone(self.hold)

    def test_it_does_not_stay_in_a_step_that_is_never_answered(self):
        for step in (0, 1, 2, 3, 4):
            with self.subTest(step=step):
                self.setUp()
                self.go_to(step)
                self.taker.tick(harness.TIMES.steward_lease_s + 0.01)
                self.assertIsNone(self.hold)

    def test_a_late_answer_to_an_ended_attempt_changes_nothing(self):
        self.go_to(1)
        late = self.call
        self.taker.tick(harness.TIMES.steward_lease_s + 0.01)
        self.call = late
        self.answer(ports.Swapped(10))
        self.assertIsNone(self.hold)


class IsolationTest(unittest.TestCase):
    """A steward that the homes of most zones don't reach lets go."""

    def setUp(self):
        self.steward = harness.make_steward()
        self.steward.state.stewardships[0].active_since = harness.NOW - 60.0

    def tick_after(self, *homes):
        for home in homes:
            harness.send_reports(
                self.steward, home, harness.make_report("sa", primary=True)
            )
        self.steward.tick(0.1)
        return 0 in self.steward.state.stewardships

    def test_it_releases_the_shard_when_only_its_own_zone_reports(self):
        self.assertFalse(self.tick_after("b-0"))

    def test_it_stays_while_most_zones_report(self):
        self.assertTrue(self.tick_after("b-0", "c-0"))

    def test_it_waits_for_homes_that_learn_of_it(self):
        hold = self.steward.state.stewardships[0]
        hold.active_since = self.steward.now
        self.assertTrue(self.tick_after())
