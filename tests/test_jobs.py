"""Tests of rounds at a home: their placement and their answers."""

import unittest

from cuminwall import effects, events, messages, outcomes, work
from tests import harness

READ = work.Access.READ
NOT_SENT = work.Loss.NOT_SENT
SENT = work.Loss.SENT


def floor(term, lsn):
    return work.Position(term, lsn)


class HomeCase(unittest.TestCase):
    """A home with the lease of term 1; its servers are at position 1000."""

    acknowledge = "primary"

    def setUp(self):
        self.home = harness.make_home(acknowledge=self.acknowledge)

    def place(self, number, **fields):
        """Returns the server that a round is started on, or ""."""
        found = self.home.receive_round(number, **fields)
        chosen = harness.find(found, effects.Execute)
        return chosen[0].server if chosen else ""

    def failure(self, found):
        return harness.answer_of(found).failure

    def replace(self, primary="sb"):
        """Feeds a record with a new term and another primary."""
        newer = harness.make_record((1, "sa", 1, 0), (2, primary, 2, 1000))
        return self.home.receive_message("b-0", messages.RecordUpdate(newer))

    def open_transaction(self, number=1):
        self.home.receive_round(number, begins_transaction=True)
        self.home.return_result(number, status=b"T", lsn=0)

    def commit(self, number=2):
        """Sends the COMMIT of the open transaction, classified as a read."""
        return self.home.receive_round(
            number, access=READ, pinned=True, ends_transaction=True
        )


class WriteTest(HomeCase):
    """Writes run on the primary under a write lease."""

    def test_a_write_goes_to_the_primary(self):
        self.assertEqual(self.place(1), "sa")

    def test_an_acknowledged_write_carries_its_position(self):
        self.home.receive_round(1)
        answer = harness.answer_of(self.home.return_result(1))
        self.assertIsNone(answer.failure)
        self.assertEqual(answer.floor, floor(1, 1001))

    def test_a_write_waits_while_no_lease_is_held(self):
        self.home.grant_write_lease(until=self.home.now)
        self.assertEqual(self.place(1), "")

    def test_a_lease_that_lapsed_meanwhile_makes_the_outcome_unknown(self):
        self.home.receive_round(1)
        self.home.grant_write_lease(until=self.home.now)
        found = self.home.return_result(1)
        self.assertIs(self.failure(found), outcomes.WRITE_LEASE_LAPSED)

    def test_an_answer_in_recovery_makes_the_outcome_unknown(self):
        self.home.receive_round(1)
        found = self.home.return_result(1, in_recovery=True)
        self.assertIs(self.failure(found), outcomes.WRITE_LEASE_LAPSED)

    def test_a_new_term_makes_the_outcome_unknown(self):
        self.home.receive_round(1)
        self.replace()
        self.home.grant_write_lease(2)
        found = self.home.return_result(1)
        self.assertIs(self.failure(found), outcomes.WRITE_LEASE_LAPSED)

    def test_a_servers_own_error_is_true_without_lease(self):
        self.home.receive_round(1)
        self.home.grant_write_lease(until=self.home.now)
        found = self.home.return_result(1, errored=True)
        self.assertIsNone(self.failure(found))


class TransactionTest(HomeCase):
    """Open transactions stay on their connection and their term."""

    def test_a_commit_goes_where_the_transaction_is(self):
        self.open_transaction()
        execute = harness.only(self.commit(), effects.Execute)
        self.assertEqual((execute.server, execute.pinned), ("sa", True))

    def test_a_commit_on_a_replaced_primary_is_not_acknowledged(self):
        self.open_transaction()
        self.replace()
        self.commit()
        found = self.home.return_result(2)
        self.assertIs(self.failure(found), outcomes.WRITE_LEASE_LAPSED)

    def test_a_commit_during_a_change_of_primary_is_not_acknowledged(self):
        self.open_transaction()
        agreed = harness.make_record(
            (1, "sa", 1, 0), (2, "sb", 0, 0), active=False
        )
        self.home.receive_message("b-0", messages.RecordUpdate(agreed))
        self.commit()
        found = self.home.return_result(2)
        self.assertIs(self.failure(found), outcomes.WRITE_LEASE_LAPSED)

    def test_a_read_on_a_replaced_primary_ends_the_transaction(self):
        self.open_transaction()
        self.replace()
        self.home.receive_round(2, access=READ, pinned=True)
        found = self.home.return_result(2, status=b"T", lsn=0)
        self.assertIs(self.failure(found), outcomes.TRANSACTION_LOST)
        self.assertEqual(len(harness.find(found, effects.Unpin)), 1)

    def test_a_transaction_without_a_pin_is_lost(self):
        found = self.home.receive_round(1, pinned=True)
        self.assertIs(self.failure(found), outcomes.TRANSACTION_LOST)

    def test_an_unsent_round_loses_the_transaction(self):
        self.open_transaction()
        self.home.receive_round(2, pinned=True)
        found = self.home.return_result(2, loss=NOT_SENT)
        self.assertIs(self.failure(found), outcomes.TRANSACTION_LOST)

    def test_a_commit_whose_answer_is_lost_has_an_unknown_outcome(self):
        self.open_transaction()
        self.commit()
        found = self.home.return_result(2, loss=SENT)
        self.assertIs(self.failure(found), outcomes.ANSWER_LOST)

    def test_a_round_of_a_transaction_is_never_retried(self):
        self.open_transaction()
        self.home.receive_round(2, access=READ, pinned=True)
        found = self.home.return_result(2, loss=NOT_SENT)
        self.assertEqual(harness.find(found, effects.Execute), [])
        self.assertEqual(self.home.group.parked, [])

    def test_a_transaction_ends_with_its_session(self):
        self.open_transaction()
        found = self.home.reduce(events.EntrySessionClosed, ("b-0", 7))
        self.assertEqual(len(harness.find(found, effects.Unpin)), 1)
        self.assertEqual(self.home.state.pins, {})

    def test_a_transaction_ends_with_its_entry_instance(self):
        self.open_transaction()
        self.home.receive_round(2, session=8)
        found = self.home.reduce(events.OriginLost, "b-0")
        self.assertEqual(len(harness.find(found, effects.Unpin)), 1)
        ended = self.home.return_result(2, status=b"T")
        self.assertEqual(len(harness.find(ended, effects.Unpin)), 1)
        self.assertEqual(self.home.state.pins, {})
        self.assertEqual(self.home.group.servers["sa"].in_use, 0)


class LossTest(HomeCase):
    """Which rounds are retried when an answer is lost."""

    def retried(self, found):
        """Returns whether a round is sent again after the next tick."""
        self.assertEqual(harness.find(found, effects.Answer), [])
        return bool(harness.find(self.home.tick(), effects.Execute))

    def test_an_unsent_write_is_retried(self):
        self.home.receive_round(1)
        self.assertTrue(self.retried(self.home.return_result(1, loss=NOT_SENT)))

    def test_a_write_that_may_have_been_sent_is_not_retried(self):
        self.home.receive_round(1)
        found = self.home.return_result(1, loss=SENT)
        self.assertIs(self.failure(found), outcomes.ANSWER_LOST)
        self.assertEqual(harness.find(self.home.tick(), effects.Execute), [])

    def test_a_read_that_may_have_been_sent_is_retried(self):
        self.home.receive_round(1, access=READ, floor=floor(1, 900))
        self.assertTrue(self.retried(self.home.return_result(1, loss=SENT)))

    def test_a_partly_delivered_read_is_not_retried(self):
        self.home.receive_round(1, access=READ, floor=floor(1, 900))
        found = self.home.return_result(1, loss=SENT, delivered=True)
        self.assertIs(self.failure(found), outcomes.READ_ANSWER_LOST)

    def test_attempts_are_bounded(self):
        self.home.receive_round(1)
        self.home.return_result(1, loss=NOT_SENT)
        self.home.tick()
        self.home.return_result(1, loss=NOT_SENT)
        self.home.tick()
        found = self.home.return_result(1, loss=NOT_SENT)
        self.assertIs(self.failure(found), outcomes.NO_SERVER)


class ReadTest(HomeCase):
    """Reads go to replicas that have reached their floor."""

    def test_a_replica_at_the_floor_serves_the_read(self):
        server = self.place(1, access=READ, floor=floor(1, 1000))
        self.assertIn(server, ("sb", "sc"))

    def test_a_replica_below_the_floor_does_not_serve_the_read(self):
        self.place(1, access=READ, floor=floor(1, 1001))
        found = self.home.tick(harness.TIMES.replica_wait_s)
        execute = harness.only(found, effects.Execute)
        self.assertEqual(execute.server, "sa")

    def test_a_replica_on_an_old_timeline_does_not_serve_the_read(self):
        self.replace()
        self.home.grant_write_lease(2)
        self.home.probe("sb", 1001, in_recovery=False, timeline=2)
        self.home.probe("sc", 1005, timeline=1)
        server = self.place(1, access=READ, floor=floor(1, 900))
        self.assertNotEqual(server, "sc")

    def test_a_lost_floor_is_reported(self):
        self.replace()
        found = self.home.receive_round(1, access=READ, floor=floor(1, 1001))
        self.assertIs(self.failure(found), outcomes.FLOOR_LOST)

    def test_a_lost_floor_is_reported_to_a_write(self):
        # It would raise the floor past the loss, which nobody would tell then.
        self.replace()
        self.home.grant_write_lease(2)
        self.home.probe("sb", 1001, in_recovery=False, timeline=2)
        found = self.home.receive_round(1, floor=floor(1, 1001))
        self.assertIs(self.failure(found), outcomes.FLOOR_LOST)

    def test_a_floor_of_a_term_not_known_here_waits_and_is_refused(self):
        self.assertEqual(self.place(1, access=READ, floor=floor(2, 5)), "")
        found = self.home.tick(harness.TIMES.park_s)
        self.assertIs(self.failure(found), outcomes.FLOOR_NOT_REACHED)

    def test_without_a_floor_a_read_waits_for_the_primary(self):
        self.home.now += 1.0
        self.assertEqual(self.place(1, access=READ), "")
        found = self.home.probe("sa", 1000, in_recovery=False)
        execute = harness.only(found, effects.Execute)
        self.assertIn(execute.server, ("sb", "sc"))

    def test_a_probe_sent_before_the_read_gives_it_no_floor(self):
        sent_at = self.home.now
        self.home.now += 1.0
        self.place(1, access=READ)
        watermarks = self.home.group.watermarks
        self.home.reduce(
            events.ServerProbed,
            "ledger",
            "sa",
            sent_at,
            harness.probes.ProbeAnswer(False, 1000, 1),
        )
        self.assertLess(watermarks[-1][0], self.home.now)
        self.assertEqual(len(self.home.group.parked), 1)

    def test_a_probe_without_lease_gives_no_floor(self):
        self.home.now += 1.0
        self.place(1, access=READ)
        self.home.grant_write_lease(until=self.home.now)
        self.home.probe("sa", 1000, in_recovery=False)
        self.assertEqual(len(self.home.group.parked), 1)

    def test_an_accepted_age_needs_no_floor(self):
        server = self.place(1, access=READ, max_age_s=5.0)
        self.assertIn(server, ("sb", "sc"))

    def test_data_older_than_the_accepted_age_is_not_read(self):
        self.home.now += 6.0
        self.assertEqual(self.place(1, access=READ, max_age_s=5.0), "")

    def test_a_read_on_the_primary_needs_the_lease_at_its_answer(self):
        for server in ("sb", "sc"):
            self.home.fail_probe(server)
        self.home.receive_round(1, access=READ, floor=floor(1, 1000))
        self.home.tick(1.0)
        self.home.grant_write_lease(until=self.home.now)
        found = self.home.return_result(1)
        self.assertIs(self.failure(found), outcomes.READ_LEASE_LAPSED)

    def test_a_server_taken_out_gets_no_reads(self):
        self.home.load_config(2, zones=harness.zones_without("b"))
        for number in range(1, 5):
            server = self.place(
                number, session=number, access=READ, floor=floor(1, 900)
            )
            self.assertNotEqual(server, "sb")


class ParkTest(HomeCase):
    """Parked rounds end with a failure that says they have not run."""

    def test_a_write_without_primary_is_refused_in_time(self):
        self.home.grant_write_lease(until=self.home.now)
        self.assertEqual(self.place(1), "")
        almost = self.home.tick(harness.TIMES.park_s - 1.0)
        self.assertEqual(harness.find(almost, effects.Answer), [])
        found = self.home.tick(1.0)
        self.assertIs(self.failure(found), outcomes.NO_PRIMARY)
        self.assertEqual(harness.find(found, effects.Execute), [])

    def test_every_failure_of_a_waiting_round_says_not_run(self):
        for failure in (
            outcomes.NO_PRIMARY,
            outcomes.NO_SERVER,
            outcomes.FLOOR_NOT_REACHED,
            outcomes.FLOOR_LOST,
            outcomes.QUEUE_FULL,
            outcomes.CANCELED,
        ):
            self.assertIs(failure.kind, outcomes.Kind.NOT_RUN)

    def test_cancel_refuses_a_parked_round(self):
        self.home.grant_write_lease(until=self.home.now)
        self.home.receive_round(1)
        found = self.home.reduce(events.CancelRequested, ("b-0", 7))
        self.assertIs(self.failure(found), outcomes.CANCELED)
        self.home.grant_write_lease()
        self.assertEqual(harness.find(self.home.tick(), effects.Execute), [])

    def test_cancel_leaves_a_running_round_to_the_server(self):
        self.home.receive_round(1)
        found = self.home.reduce(events.CancelRequested, ("b-0", 7))
        self.assertEqual(harness.find(found, effects.Answer), [])
        self.assertIsNone(self.failure(self.home.return_result(1)))

    def test_a_parked_round_that_is_abandoned_does_not_run(self):
        self.home.grant_write_lease(until=self.home.now)
        self.home.receive_round(1)
        self.home.reduce(events.RoundAbandoned, work.RoundKey("b-0", 1))
        self.home.grant_write_lease()
        self.assertEqual(harness.find(self.home.tick(), effects.Execute), [])
        self.assertEqual(self.home.state.jobs, {})


class QueueTest(HomeCase):
    """Rounds in a server's queue."""

    def setUp(self):
        super().setUp()
        self.server = self.home.group.servers["sa"]
        self.server.permits = 1
        for number in range(1, 4):
            self.home.receive_round(number, session=number)

    def test_permits_limit_the_running_rounds(self):
        self.assertEqual((self.server.in_use, self.server.queue.size), (1, 2))

    def test_the_next_round_starts_when_one_ends(self):
        execute = harness.only(self.home.return_result(1), effects.Execute)
        self.assertEqual(execute.key.number, 2)

    def test_a_queued_round_that_is_abandoned_does_not_run(self):
        self.home.reduce(events.RoundAbandoned, work.RoundKey("b-0", 2))
        execute = harness.only(self.home.return_result(1), effects.Execute)
        self.assertEqual(execute.key.number, 3)
        self.assertNotIn(work.RoundKey("b-0", 2), self.home.state.jobs)

    def test_a_queue_of_a_primary_that_is_taken_out_comes_to_an_end(self):
        self.server.out_of_service = True
        self.home.return_result(1)
        self.home.return_result(2)
        self.home.return_result(3)
        self.assertEqual(self.home.state.jobs, {})

    def test_a_queue_without_lease_is_parked(self):
        self.home.grant_write_lease(until=self.home.now)
        found = self.home.return_result(1)
        self.assertEqual(harness.find(found, effects.Execute), [])
        self.assertEqual(len(self.home.group.parked), 2)


class ReplicaTest(HomeCase):
    """Writes that are acknowledged once a replica has them."""

    acknowledge = "replica"

    def test_a_write_waits_for_a_replica(self):
        self.home.receive_round(1)
        self.assertEqual(
            harness.find(self.home.return_result(1), effects.Answer), []
        )
        found = self.home.probe("sb", 1001)
        self.assertIsNone(self.failure(found))

    def test_a_replica_that_lags_does_not_count(self):
        self.home.receive_round(1)
        self.home.return_result(1)
        found = self.home.probe("sb", 1000)
        self.assertEqual(harness.find(found, effects.Answer), [])

    def test_a_replica_on_another_timeline_does_not_count(self):
        self.home.receive_round(1)
        self.home.return_result(1)
        found = self.home.probe("sb", 5000, timeline=9)
        self.assertEqual(harness.find(found, effects.Answer), [])

    def test_without_a_replica_in_time_the_outcome_is_unknown(self):
        self.home.receive_round(1)
        self.home.return_result(1)
        found = self.home.tick(harness.TIMES.replica_ack_s)
        self.assertIs(self.failure(found), outcomes.REPLICA_NOT_REACHED)

    def test_a_lease_that_lapsed_while_waiting_is_reported(self):
        self.home.receive_round(1)
        self.home.return_result(1)
        self.home.grant_write_lease(until=self.home.now)
        found = self.home.probe("sb", 1001)
        self.assertIs(self.failure(found), outcomes.WRITE_LEASE_LAPSED)

    def test_the_commit_of_a_write_waits_too(self):
        self.open_transaction()
        self.commit()
        self.assertEqual(
            harness.find(self.home.return_result(2), effects.Answer), []
        )

    def test_a_read_does_not_wait(self):
        self.home.receive_round(1, access=READ, floor=floor(1, 900))
        found = self.home.return_result(1, lsn=0)
        self.assertIsNone(self.failure(found))
