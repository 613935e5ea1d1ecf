"""Tests of relays: how an instance learns that its version is current."""

import unittest

from cuminwall import calls, effects, events, leases, messages
from tests import harness

ASK_S = harness.TIMES.relay_ask_s
FRESH_S = harness.TIMES.fresh_s


class RelayCase(unittest.TestCase):
    """The only instance of zone a, and therefore its relay."""

    def setUp(self):
        self.relay = harness.Harness("a-0")
        self.relay.state.fresh_until = leases.NEVER
        self.number = 0

    @property
    def fresh_until(self):
        return self.relay.state.fresh_until

    def read_head(self):
        """Has the relay read the head; returns the pending call."""
        return harness.find(self.relay.tick(ASK_S), effects.ReadValue)[0]

    def answer_head(self, call, version, requested_at):
        value = {"change": {"version": version}}
        found = calls.StoredValue(calls.CONFIG_HEAD_KEY, 5, value)
        return self.relay.reduce(
            events.StoreAnswered, call.call, requested_at, found
        )

    def lose_store(self):
        """Leaves the store without answer until the other zones are polled."""
        call = self.read_head()
        self.relay.reduce(events.StoreAnswered, call.call, self.relay.now, None)

    def poll_zones(self):
        """Starts a new round; returns the request numbers by instance."""
        found = self.relay.tick(ASK_S)
        requests = harness.sent_messages(found, messages.RelayRequest)
        return {name: request.number for name, request in requests}

    def answer(self, sender, number, version=1, age_s=-1.0):
        answer = messages.RelayReply(number, version, age_s, ())
        return self.relay.receive_message(sender, answer)


class FreshnessTest(RelayCase):
    """What confirms that the configuration in force is the newest."""

    def test_a_read_confirms_the_time_before_it_was_sent(self):
        call = self.read_head()
        requested_at = self.relay.now
        self.relay.now += 0.3
        self.answer_head(call, 1, requested_at)
        until = leases.holder_expiry(requested_at, FRESH_S)
        self.assertEqual(self.fresh_until, until)

    def test_a_read_of_an_older_version_confirms_nothing(self):
        self.relay.state.relay.head_version = 2
        self.answer_head(self.read_head(), 1, self.relay.now)
        self.relay.load_config(2)
        self.assertEqual(self.fresh_until, leases.NEVER)

    def test_a_newer_version_confirms_nothing_before_it_is_loaded(self):
        found = self.answer_head(self.read_head(), 2, self.relay.now)
        self.assertEqual(harness.only(found, effects.FetchConfig).version, 2)
        self.assertEqual(self.fresh_until, leases.NEVER)
        self.relay.load_config(2)
        self.assertGreater(self.fresh_until, self.relay.now)

    def test_another_zones_confirmation_counts_with_its_age(self):
        self.lose_store()
        requests = self.poll_zones()
        requested_at = self.relay.now
        self.relay.now += 0.2
        self.answer("b-0", requests["b-0"], age_s=1.5)
        until = leases.holder_expiry(requested_at - 1.5, FRESH_S)
        self.assertEqual(self.fresh_until, until)

    def test_a_confirmation_of_an_older_version_does_not_count(self):
        self.relay.load_config(2)
        self.relay.state.fresh_until = leases.NEVER
        self.lose_store()
        requests = self.poll_zones()
        self.answer("b-0", requests["b-0"], version=1, age_s=0.0)
        self.assertEqual(self.fresh_until, leases.NEVER)

    def test_without_store_all_other_zones_must_agree(self):
        self.lose_store()
        requests = self.poll_zones()
        round_at = self.relay.now
        self.assertEqual(sorted(requests), ["b-0", "c-0"])
        self.answer("b-0", requests["b-0"])
        self.assertEqual(self.fresh_until, leases.NEVER)
        self.answer("c-0", requests["c-0"])
        until = leases.holder_expiry(round_at, FRESH_S)
        self.assertEqual(self.fresh_until, until)

    def test_answers_of_an_earlier_round_do_not_agree_with_later_ones(self):
        self.lose_store()
        self.answer("b-0", self.poll_zones()["b-0"])
        self.answer("c-0", self.poll_zones()["c-0"])
        self.assertEqual(self.fresh_until, leases.NEVER)

    def test_a_zone_with_an_older_version_does_not_agree(self):
        self.relay.load_config(2)
        self.relay.state.fresh_until = leases.NEVER
        self.lose_store()
        requests = self.poll_zones()
        self.answer("b-0", requests["b-0"], version=2)
        self.answer("c-0", requests["c-0"], version=1)
        self.assertEqual(self.fresh_until, leases.NEVER)

    def test_an_unrequested_reply_confirms_nothing(self):
        self.answer("b-0", 0, age_s=0.0)
        self.assertEqual(self.fresh_until, leases.NEVER)

    def test_nothing_is_ever_fresh_without_confirmation(self):
        for _ in range(10):
            self.relay.tick(ASK_S)
        self.assertEqual(self.fresh_until, leases.NEVER)


class VersionTest(RelayCase):
    """The version in force never decreases."""

    def setUp(self):
        super().setUp()
        self.relay.load_config(5)

    @property
    def version(self):
        return self.relay.state.config.version

    def test_an_older_configuration_is_not_taken(self):
        self.relay.load_config(4, keys={})
        self.assertEqual(self.version, 5)
        self.assertIn("key", self.relay.state.config.keys)

    def test_an_older_version_of_a_peer_is_not_loaded(self):
        found = self.answer("b-0", 0, version=4)
        self.assertEqual(harness.find(found, effects.FetchConfig), [])

    def test_a_newer_version_of_a_peer_is_loaded(self):
        found = self.answer("b-0", 0, version=6)
        self.assertEqual(harness.only(found, effects.FetchConfig).version, 6)

    def test_a_newer_version_of_an_asker_is_loaded(self):
        found = self.relay.receive_message(
            "b-0", messages.RelayRequest(1, 6, 0)
        )
        self.assertEqual(harness.only(found, effects.FetchConfig).version, 6)

    def test_a_head_of_the_store_from_before_is_not_loaded(self):
        found = self.answer_head(self.read_head(), 4, self.relay.now)
        self.assertEqual(harness.find(found, effects.FetchConfig), [])
        self.assertEqual(self.relay.state.relay.head_version, 5)

    def test_a_watched_change_is_loaded(self):
        value = {"change": {"version": 6}}
        found = self.relay.reduce(
            events.StoreValueSeen, calls.CONFIG_HEAD_KEY, 9, value
        )
        self.assertEqual(harness.only(found, effects.FetchConfig).version, 6)


class ShardTest(RelayCase):
    """Shard records are applied in the order of their store revisions."""

    def deliver(self, prefix, revision, value):
        key = f"{prefix}0"
        self.relay.reduce(events.StoreValueSeen, key, revision, value)

    def test_an_older_record_is_ignored(self):
        older = messages.ShardRecord(0, 9, "c-0", (), True, 4)
        answer = messages.RelayReply(0, 1, -1.0, (older,))
        self.relay.receive_message("b-0", answer)
        self.assertEqual(self.relay.state.shards[0].steward, "b-0")

    def test_a_deleted_key_makes_the_shard_vacant(self):
        value = {"epoch": 2, "steward": "c-0", "successors": ["a-0"]}
        self.deliver(calls.SHARDS_PREFIX, 10, value)
        self.deliver(calls.STEWARDS_PREFIX, 11, {"instance": "c-0"})
        self.assertTrue(self.relay.state.shards[0].held)
        self.deliver(calls.STEWARDS_PREFIX, 12, None)
        self.assertFalse(self.relay.state.shards[0].held)

    def test_a_late_value_does_not_bring_a_deleted_key_back(self):
        self.deliver(calls.STEWARDS_PREFIX, 12, None)
        self.deliver(calls.STEWARDS_PREFIX, 11, {"instance": "c-0"})
        self.assertFalse(self.relay.state.shards[0].held)
