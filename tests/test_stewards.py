"""Tests of acquiring, keeping and losing the stewardship of a shard."""

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
    """A stewardship lasts by its store lease or by promises of successors."""

    def setUp(self):
        self.steward = harness.make_steward()
        self.stewardship = self.steward.state.stewardships[0]

    def request_promises(self):
        """Has the steward request promises; returns the request."""
        self.stewardship.store_failing = True
        found = self.steward.tick(harness.TIMES.steward_renew_s + 0.01)
        requests = harness.sent_messages(found, messages.PromiseRequest)
        self.requested = sorted(name for name, _ in requests)
        return requests[0][1]

    def promise(self, successor, request, duration_s=PROMISE_S):
        answer = messages.PromiseReply(
            request.number, 0, request.epoch, duration_s
        )
        self.steward.receive_message(successor, answer)

    def is_extended(self):
        return self.stewardship.valid_until > self.steward.now + 0.5

    def test_it_ends_by_its_own_clock(self):
        self.assertTrue(stewards.is_active(self.steward.state, 0))
        self.steward.now = self.stewardship.valid_until
        self.steward.state.now = self.steward.now
        self.assertFalse(stewards.is_active(self.steward.state, 0))

    def test_an_expired_stewardship_only_revokes_its_lease(self):
        harness.send_reports(
            self.steward, "a-0", harness.make_report("sa", reachable=False)
        )
        harness.send_reports(
            self.steward, "c-0", harness.make_report("sa", reachable=False)
        )
        self.stewardship.managed_groups["ledger"].lease_expiries["a-0"] = (
            harness.NOW + 50.0
        )
        self.stewardship.valid_until = self.steward.now + 1.0
        found = self.steward.tick(1.0)
        self.assertEqual(harness.find(found, effects.SwapValue), [])
        self.assertEqual(harness.sent_messages(found, messages.Recall), [])
        self.assertEqual(len(harness.find(found, effects.RevokeStoreLease)), 1)
        self.assertNotIn(0, self.steward.state.stewardships)

    def test_a_renewal_counts_from_when_it_was_sent(self):
        self.stewardship.valid_until = harness.NOW + 1.0
        keep = harness.only(self.steward.tick(0.8), effects.RenewStoreLease)
        sent_at = self.steward.now
        self.steward.now += 0.1
        self.steward.reduce(events.StoreAnswered, keep.call, sent_at, 3.0)
        until = leases.holder_expiry(sent_at, 3.0)
        self.assertEqual(self.stewardship.valid_until, until)

    def test_every_successor_must_promise(self):
        request = self.request_promises()
        self.assertEqual(self.requested, ["a-0", "c-0"])
        self.stewardship.valid_until = self.steward.now + 0.1
        self.promise("a-0", request)
        self.assertFalse(self.is_extended())
        self.promise("c-0", request)
        self.assertTrue(self.is_extended())

    def test_promises_count_from_when_they_were_asked_for(self):
        request = self.request_promises()
        requested_at = self.steward.now
        self.stewardship.valid_until = self.steward.now + 0.1
        self.steward.now += 0.05
        self.promise("a-0", request)
        self.promise("c-0", request)
        until = leases.holder_expiry(requested_at, PROMISE_S)
        self.assertEqual(self.stewardship.valid_until, until)

    def test_a_refusal_is_no_promise(self):
        request = self.request_promises()
        self.stewardship.valid_until = self.steward.now + 0.1
        self.promise("a-0", request)
        self.promise("c-0", request, duration_s=0.0)
        self.assertFalse(self.is_extended())

    def test_promises_of_an_older_round_do_not_count(self):
        older = self.request_promises()
        self.promise("a-0", older)
        newer = self.request_promises()
        self.stewardship.valid_until = self.steward.now + 0.1
        self.promise("a-0", older)
        self.promise("c-0", newer)
        self.assertFalse(self.is_extended())

    def test_former_successors_must_promise_too(self):
        self.stewardship.former_successors = ("a-1",)
        request = self.request_promises()
        self.assertEqual(self.requested, ["a-0", "a-1", "c-0"])
        self.stewardship.valid_until = self.steward.now + 0.1
        self.promise("a-0", request)
        self.promise("c-0", request)
        self.assertFalse(self.is_extended())
        self.promise("a-1", request)
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
        self.assertTrue(self.stewardship.record_pending)
        self.assertEqual(
            set(self.stewardship.former_successors), {"a-0", "a-1", "c-0"}
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
        value = {**self.stewardship.record, "epoch": 2, "steward": "c-0"}
        found = calls.StoredValue("", 9, value)
        self.steward.reduce(events.StoreAnswered, 77, self.steward.now, found)
        self.assertNotIn(0, self.steward.state.stewardships)


class PromiseTest(unittest.TestCase):
    """A successor gives promises and keeps them."""

    def setUp(self):
        self.successor = harness.Harness("a-0")

    def request_promise(self, epoch=1):
        """Returns for how long the successor promises not to acquire."""
        request = messages.PromiseRequest(5, 0, epoch)
        ((_, answer),) = harness.sent_messages(
            self.successor.receive_message("b-0", request),
            messages.PromiseReply,
        )
        return answer.duration_s

    def vacate(self, after_s=0.0):
        """Makes the shard vacant; returns the requests for a store lease."""
        vacant = messages.ShardRecord(0, 1, "b-0", ("a-0", "c-0"), False, 6)
        self.successor.state.shards[0] = vacant
        self.successor.tick()
        found = self.successor.tick(after_s)
        return harness.find(found, effects.GrantStoreLease)

    def test_it_promises(self):
        self.assertEqual(self.request_promise(), PROMISE_S)

    def test_it_refuses_an_older_epoch(self):
        self.assertEqual(self.request_promise(epoch=0), 0.0)

    def test_it_refuses_while_it_acquires_the_shard(self):
        self.assertEqual(len(self.vacate()), 0)
        self.assertIn(0, self.successor.state.stewardships)
        self.assertEqual(self.request_promise(), 0.0)

    def test_it_refuses_while_it_leaves(self):
        self.successor.reduce(events.DrainOrdered)
        self.assertEqual(self.request_promise(), 0.0)

    def test_it_acquires_a_vacant_shard(self):
        self.vacate()
        self.assertIn(0, self.successor.state.stewardships)

    def test_it_acquires_no_shard_before_its_promise_has_expired(self):
        self.request_promise()
        expiry_s = leases.lender_expiry(0.0, PROMISE_S)
        self.vacate(expiry_s - 0.01)
        self.assertNotIn(0, self.successor.state.stewardships)
        self.successor.tick(0.02)
        self.assertIn(0, self.successor.state.stewardships)

    def test_a_later_promise_does_not_shorten_an_earlier_one(self):
        self.successor.state.promised_until[0] = harness.NOW + 100.0
        self.request_promise()
        until = self.successor.state.promised_until[0]
        self.assertEqual(until, harness.NOW + 100.0)

    def test_a_restarted_instance_keeps_what_it_may_have_promised(self):
        self.successor.state.started_at = self.successor.now
        expiry_s = leases.lender_expiry(0.0, PROMISE_S)
        self.vacate(expiry_s - 0.01)
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
    """The steps of an acquisition, with the answer to each lost once."""

    def setUp(self):
        self.instance = harness.Harness("a-0")
        vacant = messages.ShardRecord(0, 1, "b-0", ("a-0", "c-0"), False, 6)
        self.instance.state.shards[0] = vacant
        self.call = harness.only(self.instance.tick(), effects.GrantStoreLease)

    def answer(self, value):
        """Answers the pending call and keeps the next one."""
        found = self.instance.reduce(
            events.StoreAnswered, self.call.call, self.instance.now, value
        )
        following = harness.find(
            found, effects.SwapValue, effects.ReadValue, effects.ReadPrefix
        )
        self.call = following[0] if following else None
        return found

    @property
    def stewardship(self):
        return self.instance.state.stewardships.get(0)

    def answer_steps_before(self, step):
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
        self.answer_steps_before(4)
        self.assertFalse(self.stewardship.active)
        self.answer(())
        self.assertTrue(self.stewardship.active)
        self.assertEqual(self.stewardship.epoch, 5)

    def test_its_stewardship_counts_from_the_lease_request(self):
        requested_at = self.instance.now
        self.answer(77)
        self.instance.now += 0.4
        self.answer(ports.Swapped(10))
        until = leases.holder_expiry(requested_at, 3)
        self.assertEqual(self.stewardship.valid_until, until)

    def test_it_waits_for_leases_that_an_earlier_steward_granted(self):
        self.answer_steps_before(5)
        longest_s = max(harness.TIMES.write_lease_s, harness.TIMES.permit_s)
        until = leases.lender_expiry(self.instance.now, longest_s)
        self.assertEqual(self.stewardship.earlier_leases_until, until)

    def test_a_step_without_answer_ends_it(self):
        for step in (0, 1, 2, 3, 4):
            with self.subTest(step=step):
                self.setUp()
                self.answer_steps_before(step)
                self.answer(None)
                self.assertIsNone(self.stewardship)

    def test_another_that_holds_the_key_ends_it(self):
        self.answer_steps_before(1)
        self.answer(ports.SwapConflict(None))
        self.assertIsNone(self.stewardship)

    def test_another_that_changed_the_record_ends_it(self):
        self.answer_steps_before(3)
        self.answer(ports.SwapConflict(None))
        self.assertIsNone(self.stewardship)

    def test_it_does_not_stay_in_a_step_that_is_never_answered(self):
        for step in (0, 1, 2, 3, 4):
            with self.subTest(step=step):
                self.setUp()
                self.answer_steps_before(step)
                self.instance.tick(harness.TIMES.steward_lease_s + 0.01)
                self.assertIsNone(self.stewardship)

    def test_a_late_answer_to_an_ended_attempt_changes_nothing(self):
        self.answer_steps_before(1)
        late = self.call
        self.instance.tick(harness.TIMES.steward_lease_s + 0.01)
        self.call = late
        self.answer(ports.Swapped(10))
        self.assertIsNone(self.stewardship)


class IsolationTest(unittest.TestCase):
    """A steward releases its shard if most zones do not report to it."""

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
        stewardship = self.steward.state.stewardships[0]
        stewardship.active_since = self.steward.now
        self.assertTrue(self.tick_after())
