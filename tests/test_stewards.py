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
from tests import lone

PROMISE_S = lone.TIMES.promise_s


class KeepingTest(unittest.TestCase):
    """A hold goes on by its store lease, or by every successor's promise."""

    def setUp(self):
        self.steward = lone.make_steward()
        self.hold = self.steward.state.stewardships[0]

    def ask_promises(self):
        """Lets the steward ask for promises; returns the ask."""
        self.hold.store_failing = True
        found = self.steward.tick(lone.TIMES.steward_renew_s + 0.01)
        asks = lone.said(found, messages.PromiseAsk)
        self.asked = sorted(name for name, _ in asks)
        return asks[0][1]

    def promise(self, successor, ask, duration_s=PROMISE_S):
        answer = messages.PromiseAnswer(ask.number, 0, ask.epoch, duration_s)
        self.steward.hear(successor, answer)

    def is_extended(self):
        return self.hold.valid_until > self.steward.now + 0.5

    def test_it_ends_by_its_own_clock(self):
        self.assertTrue(stewards.is_active(self.steward.state, 0))
        self.steward.now = self.hold.valid_until
        self.steward.state.now = self.steward.now
        self.assertFalse(stewards.is_active(self.steward.state, 0))

    def test_a_lapsed_hold_sends_nothing_but_its_end(self):
        lone.tell(self.steward, "a-0", lone.report("sa", reachable=False))
        lone.tell(self.steward, "c-0", lone.report("sa", reachable=False))
        self.hold.managed_groups["ledger"].lease_expiries["a-0"] = (
            lone.NOW + 50.0
        )
        self.hold.valid_until = self.steward.now + 1.0
        found = self.steward.tick(1.0)
        self.assertEqual(lone.find(found, effects.SwapValue), [])
        self.assertEqual(lone.said(found, messages.Recall), [])
        self.assertEqual(len(lone.find(found, effects.RevokeStoreLease)), 1)
        self.assertNotIn(0, self.steward.state.stewardships)

    def test_a_renewal_counts_from_when_it_was_sent(self):
        self.hold.valid_until = lone.NOW + 1.0
        keep = lone.only(self.steward.tick(0.8), effects.KeepStoreLease)
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
        self.steward.now += lone.TIMES.members_keep_s
        for home in ("a-1", "c-0"):
            lone.tell(self.steward, home, lone.report("sa", primary=True))
        self.steward.tick()
        self.steward.tick(0.1)
        self.assertTrue(self.hold.record_pending)
        self.assertEqual(
            set(self.hold.former_successors), {"a-0", "a-1", "c-0"}
        )

    def test_a_key_lapsed_in_the_store_ends_it_while_the_store_answers(self):
        keep = lone.only(self.steward.tick(0.8), effects.KeepStoreLease)
        self.steward.reduce(
            events.StoreAnswered, keep.call, self.steward.now, 0.0
        )
        self.assertNotIn(0, self.steward.state.stewardships)

    def test_another_epoch_in_the_record_ends_it(self):
        then = stewards.RecordRead(0)
        self.steward.state.calls[77] = then
        value = {**self.hold.record, "epoch": 2, "steward": "c-0"}
        found = calls.Found("", 9, value)
        self.steward.reduce(events.StoreAnswered, 77, self.steward.now, found)
        self.assertNotIn(0, self.steward.state.stewardships)


class PromiseTest(unittest.TestCase):
    """A successor promises, and keeps what it promised."""

    def setUp(self):
        self.successor = lone.Lone("a-0")

    def ask(self, epoch=1):
        """Returns how long the successor promises to hold still."""
        ask = messages.PromiseAsk(5, 0, epoch)
        ((_, answer),) = lone.said(
            self.successor.hear("b-0", ask), messages.PromiseAnswer
        )
        return answer.duration_s

    def vacate(self, after_s=0.0):
        """Shows the shard without steward; returns what is begun then."""
        vacant = messages.ShardRecord(0, 1, "b-0", ("a-0", "c-0"), False, 6)
        self.successor.state.shards[0] = vacant
        self.successor.tick()
        found = self.successor.tick(after_s)
        return lone.find(found, effects.GrantStoreLease)

    def test_it_promises(self):
        self.assertEqual(self.ask(), PROMISE_S)

    def test_it_refuses_an_older_epoch(self):
        self.assertEqual(self.ask(epoch=0), 0.0)

    def test_it_refuses_while_it_takes_the_shard(self):
        self.assertEqual(len(self.vacate()), 0)
        self.assertIn(0, self.successor.state.stewardships)
        self.assertEqual(self.ask(), 0.0)

    def test_it_refuses_while_it_leaves(self):
        self.successor.reduce(events.DrainOrdered)
        self.assertEqual(self.ask(), 0.0)

    def test_it_takes_a_vacant_shard(self):
        self.vacate()
        self.assertIn(0, self.successor.state.stewardships)

    def test_it_does_not_take_a_shard_before_its_promise_has_lapsed(self):
        self.ask()
        lapse_s = leases.lender_expiry(0.0, PROMISE_S)
        self.vacate(lapse_s - 0.01)
        self.assertNotIn(0, self.successor.state.stewardships)
        self.successor.tick(0.02)
        self.assertIn(0, self.successor.state.stewardships)

    def test_a_later_promise_does_not_shorten_an_earlier_one(self):
        self.successor.state.promised_until[0] = lone.NOW + 100.0
        self.ask()
        until = self.successor.state.promised_until[0]
        self.assertEqual(until, lone.NOW + 100.0)

    def test_a_restarted_instance_keeps_what_it_may_have_promised(self):
        self.successor.state.started_at = self.successor.now
        lapse_s = leases.lender_expiry(0.0, PROMISE_S)
        self.vacate(lapse_s - 0.01)
        self.assertNotIn(0, self.successor.state.stewardships)
        self.successor.tick(0.02)
        self.assertIn(0, self.successor.state.stewardships)

    def test_a_held_shard_is_not_taken(self):
        self.successor.tick(100.0)
        self.assertNotIn(0, self.successor.state.stewardships)

    def test_who_is_no_successor_does_not_take_it(self):
        other = messages.ShardRecord(0, 1, "b-0", ("c-0",), False, 6)
        self.successor.state.shards[0] = other
        self.successor.tick()
        self.successor.tick(4.0)
        self.assertNotIn(0, self.successor.state.stewardships)


class TakingTest(unittest.TestCase):
    """The steps of a take-over, with every answer lost once."""

    def setUp(self):
        self.taker = lone.Lone("a-0")
        vacant = messages.ShardRecord(0, 1, "b-0", ("a-0", "c-0"), False, 6)
        self.taker.state.shards[0] = vacant
        self.call = lone.only(self.taker.tick(), effects.GrantStoreLease)

    def answer(self, value):
        """Answers the call under way; keeps the one that follows."""
        found = self.taker.reduce(
            events.StoreAnswered, self.call.call, self.taker.now, value
        )
        following = lone.find(
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
            calls.Found("", 8, value),
            ports.Swapped(11),
            (),
        )
        for answer in answers[:step]:
            self.answer(answer)

    def test_it_lends_once_everything_is_read(self):
        self.go_to(4)
        self.assertFalse(self.hold.active)
        self.answer(())
        self.assertTrue(self.hold.active)
        self.assertEqual(self.hold.epoch, 5)

    def test_its_hold_counts_from_when_the_lease_was_asked_for(self):
        asked_at = self.taker.now
        self.answer(77)
        self.taker.now += 0.4
        self.answer(ports.Swapped(10))
        until = leases.holder_expiry(asked_at, 3)
        self.assertEqual(self.hold.valid_until, until)

    def test_it_waits_for_leases_that_an_earlier_steward_lent(self):
        self.go_to(5)
        longest_s = max(lone.TIMES.write_lease_s, lone.TIMES.permit_s)
        until = leases.lender_expiry(self.taker.now, longest_s)
        self.assertEqual(self.hold.quiet_until, until)

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
                self.taker.tick(lone.TIMES.steward_lease_s + 0.01)
                self.assertIsNone(self.hold)

    def test_a_late_answer_to_an_ended_attempt_changes_nothing(self):
        self.go_to(1)
        late = self.call
        self.taker.tick(lone.TIMES.steward_lease_s + 0.01)
        self.call = late
        self.answer(ports.Swapped(10))
        self.assertIsNone(self.hold)


class CutOffTest(unittest.TestCase):
    """A steward that the homes of most zones don't reach lets go."""

    def setUp(self):
        self.steward = lone.make_steward()
        self.steward.state.stewardships[0].active_since = lone.NOW - 60.0

    def tick_after(self, *homes):
        for home in homes:
            lone.tell(self.steward, home, lone.report("sa", primary=True))
        self.steward.tick(0.1)
        return 0 in self.steward.state.stewardships

    def test_it_lets_go_when_only_its_own_zone_is_heard(self):
        self.assertFalse(self.tick_after("b-0"))

    def test_it_stays_while_most_zones_are_heard(self):
        self.assertTrue(self.tick_after("b-0", "c-0"))

    def test_it_waits_for_homes_that_learn_of_it(self):
        hold = self.steward.state.stewardships[0]
        hold.active_since = self.steward.now
        self.assertTrue(self.tick_after())
