"""Callers at their entry instance."""

import unittest

from cuminwall import effects, events, outcomes, tokens, work
from tests import harness

READ = work.Access.READ
WRITE = work.Access.WRITE


def make_answer(**fields):
    values = {
        "status": b"I",
        "failure": None,
        "floor": None,
        "server": "sa",
        "pinned": False,
    }
    values.update(fields)
    return work.HomeAnswer(**values)


IDLE_S = harness.TIMES.idle_grace_s


class EntryCase(unittest.TestCase):
    """An entry instance that is a home of nothing, with one session."""

    def setUp(self):
        self.entry = harness.Harness("a-0")
        self.entry.list_instances("a-0", "b-0", "c-0", leaving="a-0")
        self.entry.open_session()

    def dispatched(self, found):
        return [item.home for item in harness.find(found, effects.Dispatch)]

    def completed(self, found):
        return harness.only(found, effects.Complete).end

    def lose_home(self, number, sent, delivered=False):
        return self.entry.reduce(events.HomeLost, number, sent, delivered)

    def receive_answer(self, number, **fields):
        return self.entry.reduce(
            events.HomeAnswered, number, make_answer(**fields)
        )

    def open_transaction(self):
        self.entry.send_round(1, access=WRITE, begins=True)
        self.receive_answer(1, status=b"T", pinned=True)


class HomeLostTest(EntryCase):
    """A home that went silent."""

    def test_an_unsent_write_is_retried_on_another_home(self):
        first = self.dispatched(self.entry.send_round(1, access=WRITE))
        second = self.dispatched(self.lose_home(1, sent=False))
        self.assertEqual(sorted(first + second), ["b-0", "c-0"])

    def test_a_write_that_may_have_been_sent_is_not_retried(self):
        self.entry.send_round(1, access=WRITE)
        found = self.lose_home(1, sent=True)
        self.assertEqual(self.dispatched(found), [])
        self.assertIs(self.completed(found).failure, outcomes.ANSWER_LOST)

    def test_a_read_is_retried_on_another_home(self):
        self.entry.send_round(1)
        self.assertEqual(len(self.dispatched(self.lose_home(1, sent=True))), 1)

    def test_a_partly_delivered_read_is_not_retried(self):
        self.entry.send_round(1)
        found = self.lose_home(1, sent=True, delivered=True)
        failure = self.completed(found).failure
        self.assertIs(failure, outcomes.READ_ANSWER_LOST)

    def test_each_home_is_tried_once(self):
        self.entry.send_round(1, access=WRITE)
        self.lose_home(1, sent=False)
        found = self.lose_home(1, sent=False)
        self.assertIs(self.completed(found).failure, outcomes.NO_HOME)

    def test_an_instance_that_is_no_longer_a_home_is_skipped(self):
        first = self.dispatched(self.entry.send_round(1, access=WRITE))
        second = self.dispatched(
            self.receive_answer(1, failure=outcomes.NO_HOME)
        )
        self.assertEqual(sorted(first + second), ["b-0", "c-0"])

    def test_an_unsent_round_loses_its_transaction(self):
        self.open_transaction()
        self.entry.send_round(2, access=WRITE)
        found = self.lose_home(2, sent=False)
        failure = self.completed(found).failure
        self.assertIs(failure, outcomes.TRANSACTION_LOST)

    def test_a_commit_that_may_have_been_sent_has_an_unknown_outcome(self):
        self.open_transaction()
        self.entry.send_round(2, access=READ, ends=True)
        found = self.lose_home(2, sent=True)
        self.assertIs(self.completed(found).failure, outcomes.ANSWER_LOST)


class KeyTest(EntryCase):
    """A key is looked up for every round."""

    def withdraw(self):
        return self.entry.load_config(2, keys={})

    def test_an_idle_session_of_a_withdrawn_key_is_closed(self):
        closed = harness.only(self.withdraw(), effects.CloseSession)
        self.assertIs(closed.failure, outcomes.KEY_WITHDRAWN)

    def test_a_round_of_a_withdrawn_key_is_refused(self):
        self.withdraw()
        found = self.entry.send_round(1, access=WRITE)
        self.assertEqual(self.dispatched(found), [])
        self.assertIs(self.completed(found).failure, outcomes.KEY_WITHDRAWN)

    def test_an_open_transaction_of_a_withdrawn_key_is_rolled_back(self):
        self.open_transaction()
        closed = harness.only(self.withdraw(), effects.CloseSession)
        failure = outcomes.KEY_WITHDRAWN_IN_TRANSACTION
        self.assertIs(closed.failure, failure)
        found = self.entry.reduce(events.SessionClosed, 7)
        self.assertEqual(len(harness.find(found, effects.ReleasePin)), 1)

    def test_a_running_round_of_a_withdrawn_key_is_canceled_after_a_grace(self):
        self.entry.send_round(1, access=WRITE)
        self.assertEqual(harness.find(self.withdraw(), effects.CancelRound), [])
        found = self.entry.tick(harness.TIMES.withdrawn_grace_s)
        self.assertEqual(len(harness.find(found, effects.CancelRound)), 1)

    def test_a_key_of_another_workspace_is_withdrawn(self):
        workspaces = {
            "clerks": {"rate": 10, "burst": 10},
            "crews": {"rate": 10, "burst": 10},
        }
        keys = {"key": {"workspace": "crews", "verifier": "v"}}
        self.entry.load_config(2, workspaces=workspaces, keys=keys)
        found = self.entry.send_round(1)
        self.assertIs(self.completed(found).failure, outcomes.KEY_WITHDRAWN)

    def test_the_workspace_comes_from_the_key(self):
        dispatch = harness.only(self.entry.send_round(1), effects.Dispatch)
        self.assertEqual(dispatch.order.workspace, "clerks")
        refused = self.entry.open_session(8, workspace="crews")
        self.assertIs(refused.failure, outcomes.KEY_WITHDRAWN)

    def test_a_key_that_may_be_out_of_date_is_refused(self):
        self.entry.state.fresh_until = self.entry.now
        found = self.entry.send_round(1)
        self.assertIs(self.completed(found).failure, outcomes.KEYS_NOT_CURRENT)

    def test_a_workspace_may_have_a_grace_for_its_keys(self):
        workspaces = {"clerks": {"rate": 10, "burst": 10, "keys_grace_s": 30}}
        self.entry.load_config(2, workspaces=workspaces)
        self.entry.state.fresh_until = self.entry.now
        self.assertEqual(len(self.dispatched(self.entry.send_round(1))), 1)
        self.entry.tick(30.0)
        self.receive_answer(1)
        found = self.entry.send_round(2)
        self.assertIs(self.completed(found).failure, outcomes.KEYS_NOT_CURRENT)


class OpenRouteTest(unittest.TestCase):
    """Callers without a key read what is open to all, and nothing else."""

    def setUp(self):
        routes = [{"service": "ledger", "tables": ["notices"]}]
        self.entry = harness.Harness("a-0", open_routes=routes)
        self.entry.list_instances("a-0", "b-0", "c-0", leaving="a-0")
        self.entry.open_session(key_id="", workspace="")

    def failure(self, **fields):
        found = self.entry.send_round(1, **fields)
        ends = harness.find(found, effects.Complete)
        return ends[0].end.failure if ends else None

    def test_an_open_table_is_read(self):
        self.assertIsNone(self.failure(tables=("notices",)))

    def test_another_table_is_not_read(self):
        failure = self.failure(tables=("payments",))
        self.assertIs(failure, outcomes.KEY_NEEDED)

    def test_an_open_table_does_not_open_another(self):
        failure = self.failure(tables=("notices", "payments"))
        self.assertIs(failure, outcomes.KEY_NEEDED)

    def test_unknown_tables_are_not_read(self):
        self.assertIs(self.failure(), outcomes.KEY_NEEDED)

    def test_nothing_is_written(self):
        failure = self.failure(access=WRITE, tables=("notices",))
        self.assertIs(failure, outcomes.NOT_CARRIED)

    def test_it_is_read_while_keys_may_be_out_of_date(self):
        self.entry.state.fresh_until = self.entry.now
        self.assertIsNone(self.failure(tables=("notices",)))

    def test_a_route_that_was_closed_ends_the_session(self):
        closed = harness.only(self.entry.load_config(2), effects.CloseSession)
        self.assertIs(closed.failure, outcomes.KEY_WITHDRAWN)


class OutOfServiceTest(EntryCase):
    """Zones taken out and instances that leave."""

    def test_a_zone_out_of_service_closes_sessions_between_rounds(self):
        found = self.entry.load_config(2, zones=harness.zones_without("a"))
        self.assertEqual(harness.find(found, effects.CloseSession), [])
        refused = self.completed(self.entry.send_round(1))
        self.assertIs(refused.failure, outcomes.ZONE_OUT)
        closed = harness.only(self.entry.tick(IDLE_S), effects.CloseSession)
        self.assertIs(closed.failure, outcomes.ZONE_OUT)

    def test_a_running_round_is_not_interrupted(self):
        self.entry.send_round(1)
        found = self.entry.load_config(2, zones=harness.zones_without("a"))
        self.assertEqual(harness.find(found, effects.CloseSession), [])
        self.assertIsNone(self.completed(self.receive_answer(1)).failure)
        self.entry.tick()
        closed = harness.only(self.entry.tick(IDLE_S), effects.CloseSession)
        self.assertIs(closed.failure, outcomes.ZONE_OUT)

    def test_an_open_transaction_may_still_commit(self):
        self.open_transaction()
        found = self.entry.load_config(2, zones=harness.zones_without("a"))
        self.assertEqual(harness.find(found, effects.CloseSession), [])
        commit = self.entry.send_round(2, ends=True)
        self.assertEqual(len(self.dispatched(commit)), 1)
        self.receive_answer(2)
        self.entry.tick()
        closed = harness.only(self.entry.tick(IDLE_S), effects.CloseSession)
        self.assertIs(closed.failure, outcomes.ZONE_OUT)

    def test_no_home_in_a_zone_out_of_service_is_chosen(self):
        self.entry.load_config(2, zones=harness.zones_without("b"))
        self.assertEqual(self.dispatched(self.entry.send_round(1)), ["c-0"])

    def test_a_draining_instance_interrupts_no_transaction(self):
        self.open_transaction()
        found = self.entry.reduce(events.DrainOrdered)
        self.assertEqual(harness.find(found, effects.CloseSession), [])
        commit = self.entry.send_round(2, ends=True)
        self.assertEqual(len(self.dispatched(commit)), 1)

    def test_a_draining_instance_rejects_logins(self):
        self.entry.reduce(events.DrainOrdered)
        refused = self.entry.open_session(8)
        self.assertIs(refused.failure, outcomes.SHUTTING_DOWN)


class FloorTest(EntryCase):
    """A session's floor rises and is told as a token."""

    def test_a_write_raises_it(self):
        self.entry.send_round(1, access=WRITE)
        found = self.receive_answer(1, floor=work.Position(2, 500))
        token = self.completed(found).token
        self.assertEqual(tokens.decode("ledger", token), work.Position(2, 500))
        dispatch = harness.only(self.entry.send_round(2), effects.Dispatch)
        self.assertEqual(dispatch.order.floor, work.Position(2, 500))

    def test_it_never_falls(self):
        self.entry.send_round(1, access=WRITE)
        self.receive_answer(1, floor=work.Position(2, 500))
        self.entry.send_round(2)
        found = self.receive_answer(2, floor=work.Position(1, 900))
        self.assertEqual(self.completed(found).token, "")
        dispatch = harness.only(self.entry.send_round(3), effects.Dispatch)
        self.assertEqual(dispatch.order.floor, work.Position(2, 500))

    def test_a_token_at_login_sets_the_floor(self):
        self.entry.open_session(8, token="1.ledger.3.FF")
        dispatch = harness.only(self.entry.send_round(1, 8), effects.Dispatch)
        self.assertEqual(dispatch.order.floor, work.Position(3, 255))

    def test_an_invalid_token_is_refused(self):
        refused = self.entry.open_session(8, token="1.ledger.x.FF")
        self.assertIs(refused.failure, outcomes.BAD_TOKEN)


class RoundTest(EntryCase):
    """Answers reach the round that they belong to."""

    def test_an_answer_to_an_abandoned_round_is_dropped(self):
        self.entry.send_round(1, access=WRITE)
        self.lose_home(1, sent=True)
        self.assertEqual(self.receive_answer(1), [])

    def test_an_answer_ends_its_own_round(self):
        self.entry.open_session(8)
        self.entry.send_round(1)
        self.entry.send_round(2, 8)
        complete = harness.only(self.receive_answer(2), effects.Complete)
        self.assertEqual(complete.number, 2)

    def test_closing_a_session_abandons_its_running_round(self):
        self.entry.send_round(1, access=WRITE)
        found = self.entry.reduce(events.SessionClosed, 7)
        self.assertEqual(len(harness.find(found, effects.ReleasePin)), 1)
        self.assertEqual(self.entry.state.pending_rounds, {})
