"""Tests of primary changes, at the steward and at the home that promotes."""

import unittest

from cuminwall import (
    calls,
    effects,
    events,
    managed_groups,
    messages,
    ports,
    probes,
    state,
)
from cuminwall.failover import READ_BACK_PAUSE_S, Phase
from tests import harness

AGREED = harness.make_record((1, "sa", 1, 0), (2, "sb", 0, 990), active=False)
UP = (
    harness.make_report("sa", primary=True),
    harness.make_report("sb"),
    harness.make_report("sc"),
)
DOWN = (
    harness.make_report("sa", reachable=False),
    harness.make_report("sb", lsn=990),
    harness.make_report("sc", lsn=980),
)


class StewardCase(unittest.TestCase):
    """The steward of "ledger", whose primary is "sa"."""

    record = harness.RECORD

    def setUp(self):
        self.steward = harness.make_steward(self.record)
        self.stewardship = self.steward.state.stewardships[0]
        self.managed_group = self.stewardship.managed_groups["ledger"]

    def report_from(self, *reports, homes=("a-0", "b-0", "c-0")):
        for home in homes:
            harness.send_reports(self.steward, home, *reports)

    def tick(self, after_s=0.1):
        return self.steward.tick(after_s)

    @property
    def phase(self):
        return (
            self.managed_group.change.phase
            if self.managed_group.change
            else None
        )

    def fence(self):
        """Advances to the phase after fencing: no lease is held."""
        self.report_from(*DOWN)
        self.tick()
        self.managed_group.lease_expiries.clear()
        self.tick()
        self.assertIs(self.phase, Phase.CHOOSING)

    def agree(self):
        """Advances to the write of the new term and returns it."""
        self.fence()
        self.report_from(*DOWN)
        return harness.only(self.tick(), effects.SwapValue)

    def answer(self, call, value):
        return self.steward.reduce(
            events.StoreAnswered, call.call, self.steward.now, value
        )

    def promote(self):
        """Advances to the promotion order; returns the home and the order."""
        found = self.answer(self.agree(), ports.Swapped(5))
        ((home, order),) = harness.sent_messages(found, messages.PromotionOrder)
        return home, order

    def ask_permit(self, home, server="sb", term=2):
        request = messages.PermitRequest(3, 0, "ledger", server, term)
        found = self.steward.receive_message(home, request)
        return harness.sent_messages(found, messages.PermitGrant)

    def report_done(self, server="sb", term=2, done=True, fork=995):
        report = messages.PromotionReport(
            0, "ledger", server, term, done, 2, fork
        )
        return self.steward.receive_message("b-0", report)


class FailureDetectionTest(StewardCase):
    """When the steward regards a primary as failed."""

    def test_failures_seen_from_two_zones_begin_a_change(self):
        self.report_from(*DOWN, homes=("a-0", "c-0"))
        self.tick()
        self.assertIs(self.phase, Phase.FENCING)

    def test_failures_seen_from_one_zone_do_not(self):
        self.report_from(*UP, homes=("b-0", "c-0"))
        self.report_from(*DOWN, homes=("a-0",))
        self.tick()
        self.assertIsNone(self.phase)

    def test_failures_seen_by_one_home_of_a_zone_do_not(self):
        self.report_from(*UP, homes=("b-0", "c-0"))
        self.report_from(*DOWN, homes=("a-0", "a-1"))
        self.tick()
        self.assertIsNone(self.phase)

    def test_an_even_split_does_not(self):
        self.steward.list_instances("a-0", "b-0", "c-0", "d-0")
        self.report_from(*UP, homes=("b-0", "c-0"))
        self.report_from(*DOWN, homes=("a-0", "d-0"))
        self.tick()
        self.assertIsNone(self.phase)

    def test_old_reports_do_not_count(self):
        self.report_from(*DOWN, homes=("a-0",))
        self.tick(harness.TIMES.report_age_s + 0.1)
        self.report_from(*DOWN, homes=("c-0",))
        self.tick()
        self.assertIsNone(self.phase)

    def test_a_primary_that_says_it_is_a_replica_has_failed(self):
        self.report_from(
            harness.make_report("sa"),
            harness.make_report("sb"),
            harness.make_report("sc"),
        )
        self.tick()
        self.assertIs(self.phase, Phase.FENCING)

    def test_a_primary_taken_out_is_replaced_as_planned(self):
        self.steward.load_config(2, zones=harness.zones_without("a"))
        self.report_from(*UP, homes=("b-0", "c-0"))
        self.tick()
        self.assertTrue(self.managed_group.change.planned)


class FenceTest(StewardCase):
    """No lease may be valid when another primary is chosen."""

    def test_every_lease_is_recalled(self):
        self.report_from(*UP)
        self.report_from(*DOWN, homes=("a-0", "b-0", "c-0"))
        recalls = harness.sent_messages(self.tick(), messages.Recall)
        holders = sorted(holder for holder, _ in recalls)
        self.assertEqual(holders, ["a-0", "b-0", "c-0"])

    def test_it_waits_until_the_last_lease_lapses(self):
        self.report_from(*UP)
        expiry = max(self.managed_group.lease_expiries.values())
        self.report_from(*DOWN)
        self.tick()
        self.tick(expiry - self.steward.now - 0.001)
        self.assertIs(self.phase, Phase.FENCING)
        self.tick(0.002)
        self.assertIs(self.phase, Phase.CHOOSING)

    def test_it_goes_on_once_every_lease_is_handed_back(self):
        self.report_from(*UP)
        self.report_from(*DOWN)
        self.tick()
        back = messages.LeaseRelease(0, "ledger", 1)
        self.steward.receive_message("a-0", back)
        self.steward.receive_message("b-0", back)
        self.assertIs(self.phase, Phase.FENCING)
        self.steward.receive_message("c-0", back)
        self.assertIs(self.phase, Phase.CHOOSING)

    def test_it_waits_for_leases_of_an_earlier_steward(self):
        self.stewardship.earlier_leases_until = self.steward.now + 1.0
        self.report_from(*DOWN)
        self.managed_group.lease_expiries.clear()
        self.tick()
        self.tick(0.5)
        self.assertIs(self.phase, Phase.FENCING)

    def test_a_primary_that_is_back_stays(self):
        self.fence()
        self.report_from(*UP)
        self.tick()
        self.assertIsNone(self.phase)
        self.assertEqual(self.managed_group.record, harness.RECORD)


class ChoiceTest(StewardCase):
    """Which replica is promoted."""

    def chosen(self, *reports):
        self.fence()
        self.report_from(*reports)
        found = harness.find(self.tick(1.0), effects.SwapValue)
        return found[0].value["terms"][-1][1] if found else ""

    def test_the_highest_position_wins(self):
        self.assertEqual(self.chosen(*DOWN), "sb")
        self.setUp()
        other = harness.make_report("sb", lsn=970)
        self.assertEqual(self.chosen(DOWN[0], other, DOWN[2]), "sc")

    def test_the_highest_timeline_wins_over_the_position(self):
        self.managed_group.record = harness.make_record(
            (1, "sa", 1, 0), (2, "sa", 2, 500)
        )
        behind = harness.make_report("sb", lsn=500, timeline=1)
        ahead = harness.make_report("sc", lsn=600, timeline=2)
        self.assertEqual(self.chosen(DOWN[0], behind, ahead), "sc")

    def test_a_replica_off_the_history_is_not_chosen(self):
        self.managed_group.record = harness.make_record(
            (1, "sc", 1, 0), (2, "sa", 2, 500)
        )
        off = harness.make_report("sb", lsn=501, timeline=1)
        on = harness.make_report("sc", lsn=499, timeline=1)
        self.assertEqual(self.chosen(DOWN[0], off, on), "sc")

    def test_a_replica_seen_from_one_zone_is_not_chosen(self):
        self.fence()
        self.report_from(*DOWN, homes=("a-0",))
        only_c = (DOWN[0], harness.make_report("sb", reachable=False), DOWN[2])
        self.report_from(*only_c, homes=("b-0", "c-0"))
        found = harness.only(self.tick(1.0), effects.SwapValue)
        self.assertEqual(found.value["terms"][-1][1], "sc")

    def test_a_server_taken_out_is_not_chosen(self):
        self.steward.load_config(2, zones=harness.zones_without("b"))
        self.assertEqual(self.chosen(*DOWN), "sc")

    # A write that was acknowledged once a replica had it would be lost with
    # the choice of another that lacks it.
    def test_a_server_taken_out_is_chosen_if_only_it_has_a_write(self):
        self.steward.load_config(
            2, zones=harness.zones_without("b"), acknowledge="replica"
        )
        self.assertEqual(self.chosen(*DOWN), "sb")

    def test_a_server_in_service_is_chosen_if_it_has_all_writes(self):
        self.steward.load_config(
            2, zones=harness.zones_without("b"), acknowledge="replica"
        )
        level = harness.make_report("sc", lsn=990)
        self.assertEqual(self.chosen(DOWN[0], DOWN[1], level), "sc")

    def test_positions_from_before_the_fence_do_not_choose(self):
        self.fence()
        stale = [item._replace(age_s=0.05) for item in DOWN]
        self.report_from(*stale)
        found = self.tick(0.4)
        self.assertEqual(harness.find(found, effects.SwapValue), [])

    def test_reports_from_before_the_fence_do_not_choose(self):
        self.fence()
        self.managed_group.change.fenced_at = self.steward.now + 0.01
        found = self.tick(1.0)
        self.assertEqual(harness.find(found, effects.SwapValue), [])


class PlannedChangeTest(StewardCase):
    """A planned change loses no writes."""

    def setUp(self):
        super().setUp()
        self.steward.load_config(2, zones=harness.zones_without("a"))
        self.report_from(*UP)
        self.tick()
        self.managed_group.lease_expiries.clear()
        self.tick()

    def test_it_waits_until_the_replica_has_everything(self):
        behind = harness.make_report("sb", lsn=999)
        self.report_from(UP[0], behind, harness.make_report("sc", lsn=998))
        found = self.tick()
        self.assertEqual(harness.find(found, effects.SwapValue), [])
        self.report_from(*UP)
        self.assertEqual(len(harness.find(self.tick(), effects.SwapValue)), 1)

    def test_a_server_in_service_gets_time_to_catch_up(self):
        zones = {**harness.zones_without("a"), "b": {"state": "out"}}
        self.steward.load_config(3, zones=zones, acknowledge="replica")
        ahead = harness.make_report("sb", lsn=1000)
        behind = harness.make_report("sc", lsn=990)
        primary = harness.make_report("sa", primary=True, lsn=1000)
        self.report_from(primary, ahead, behind)
        self.assertEqual(harness.find(self.tick(0.4), effects.SwapValue), [])
        level = harness.make_report("sc", lsn=1000)
        self.report_from(primary, ahead, level)
        found = harness.only(self.tick(), effects.SwapValue)
        self.assertEqual(found.value["terms"][-1][1], "sc")

    def test_a_position_from_before_the_fence_does_not_count(self):
        stale = UP[0]._replace(age_s=0.08)
        self.report_from(stale, *UP[1:])
        found = self.tick()
        self.assertEqual(harness.find(found, effects.SwapValue), [])
        self.report_from(UP[0], *UP[1:])
        self.assertEqual(len(harness.find(self.tick(), effects.SwapValue)), 1)

    def test_it_is_canceled_when_the_zone_is_back(self):
        self.steward.load_config(3)
        self.report_from(*UP)
        self.tick()
        self.assertIsNone(self.phase)


class AgreementTest(StewardCase):
    """The record is compared and swapped, and read back if that is unclear."""

    def test_the_new_term_is_written_unconfirmed(self):
        swap = self.agree()
        self.assertEqual(swap.expected_revision, 4)
        self.assertFalse(swap.value["active"])
        self.assertEqual(swap.value["terms"][-1][:2], [2, "sb"])

    def test_nothing_is_ordered_before_the_answer(self):
        self.agree()
        found = self.tick(1.0)
        self.assertEqual(
            harness.sent_messages(found, messages.PromotionOrder), []
        )

    def test_a_lost_answer_is_read_back(self):
        swap = self.agree()
        read = harness.only(self.answer(swap, None), effects.ReadValue)
        self.assertEqual(read.key, swap.key)
        self.assertEqual(harness.find(self.tick(9.0), effects.SwapValue), [])

    def test_a_write_that_took_effect_is_not_repeated(self):
        swap = self.agree()
        read = harness.only(self.answer(swap, None), effects.ReadValue)
        found = self.answer(read, calls.StoredValue(swap.key, 5, swap.value))
        self.assertEqual(harness.find(found, effects.SwapValue), [])
        self.assertEqual(
            len(harness.sent_messages(found, messages.PromotionOrder)), 1
        )
        self.assertEqual(self.managed_group.record.terms[-1].term, 2)

    def test_a_write_that_may_still_arrive_is_repeated_as_it_was(self):
        swap = self.agree()
        read = harness.only(self.answer(swap, None), effects.ReadValue)
        old = managed_groups.to_json(harness.RECORD, "b-0:0")
        found = self.answer(read, calls.StoredValue(swap.key, 4, old))
        again = harness.only(found, effects.SwapValue)
        self.assertEqual(again.value, swap.value)
        self.assertEqual(again.expected_revision, swap.expected_revision)

    def test_another_stewards_record_is_taken_over(self):
        swap = self.agree()
        read = harness.only(
            self.answer(swap, ports.SwapConflict(None)), effects.ReadValue
        )
        other = harness.make_record((1, "sa", 1, 0), (2, "sc", 2, 990))
        value = managed_groups.to_json(other, "c-0:8")
        found = self.answer(read, calls.StoredValue(swap.key, 6, value))
        self.assertEqual(
            harness.sent_messages(found, messages.PromotionOrder), []
        )
        self.assertEqual(self.managed_group.record, other)
        self.assertIsNone(self.phase)

    def test_a_read_without_answer_decides_nothing(self):
        swap = self.agree()
        read = harness.only(self.answer(swap, None), effects.ReadValue)
        found = self.answer(read, None)
        self.assertEqual(harness.find(found, effects.ReadValue), [])
        found = self.steward.tick(READ_BACK_PAUSE_S)
        self.assertEqual(len(harness.find(found, effects.ReadValue)), 1)
        self.assertTrue(self.managed_group.swap_pending)


class PermitTest(StewardCase):
    """A permit is valid for a short time, for one home, server and term."""

    def test_it_is_confirmed_to_the_home_that_was_ordered(self):
        home, order = self.promote()
        self.assertEqual((order.server, order.term), ("sb", 2))
        self.assertEqual(len(self.ask_permit(home)), 1)

    def test_it_is_not_confirmed_to_another_home(self):
        home, _ = self.promote()
        other = "a-0" if home != "a-0" else "c-0"
        self.assertEqual(self.ask_permit(other), [])

    def test_it_is_not_confirmed_for_another_server_or_term(self):
        home, _ = self.promote()
        self.assertEqual(self.ask_permit(home, server="sc"), [])
        self.assertEqual(self.ask_permit(home, term=1), [])

    def test_it_is_not_confirmed_late(self):
        home, _ = self.promote()
        self.steward.now += harness.TIMES.promote_s
        self.assertEqual(self.ask_permit(home), [])

    def test_it_is_not_confirmed_after_another_was_chosen(self):
        home, _ = self.promote()
        self.tick(harness.TIMES.promote_s)
        self.assertIs(self.phase, Phase.CHOOSING)
        self.assertEqual(self.ask_permit(home), [])

    def test_another_is_chosen_only_once_the_permit_has_lapsed(self):
        home, _ = self.promote()
        self.steward.now += harness.TIMES.promote_s - 0.1
        self.ask_permit(home)
        self.tick(0.2)
        self.assertIs(self.phase, Phase.PROMOTING)
        self.tick(harness.TIMES.permit_s + 0.1)
        self.assertIs(self.phase, Phase.CHOOSING)
        self.assertIn("sb", self.managed_group.change.failed_candidates)

    def test_a_lapsed_steward_confirms_nothing(self):
        home, _ = self.promote()
        self.stewardship.valid_until = self.steward.now
        self.assertEqual(self.ask_permit(home), [])


class ConfirmationTest(StewardCase):
    """Leases of a term are granted once its primary is known as promoted."""

    def test_a_report_confirms_the_term_with_its_fork(self):
        self.promote()
        swap = harness.only(self.report_done(), effects.SwapValue)
        self.assertTrue(swap.value["active"])
        self.assertEqual(swap.value["terms"][-1], [2, "sb", 2, 995])
        self.answer(swap, ports.Swapped(6))
        found = harness.send_reports(self.steward, "a-0")
        self.assertEqual(harness.granted_s(found), harness.TIMES.write_lease_s)

    def test_a_report_of_a_failure_confirms_nothing(self):
        self.promote()
        found = self.report_done(done=False)
        self.assertEqual(harness.find(found, effects.SwapValue), [])

    def test_a_report_of_another_term_or_server_confirms_nothing(self):
        self.promote()
        for found in (self.report_done(term=1), self.report_done("sc")):
            self.assertEqual(harness.find(found, effects.SwapValue), [])

    def test_a_fork_is_not_taken_from_a_position_behind_it(self):
        self.promote()
        promoted = harness.make_report("sb", lsn=5000, primary=True, timeline=2)
        self.report_from(DOWN[0], promoted, DOWN[2])
        self.assertEqual(harness.find(self.tick(), effects.SwapValue), [])
        self.report_from(DOWN[0], promoted, DOWN[2])
        found = harness.only(
            self.tick(harness.TIMES.promote_s), effects.SwapValue
        )
        self.assertEqual(found.value["terms"][-1], [2, "sb", 2, 990])


class UnconfirmedTest(StewardCase):
    """A term that an earlier steward left unconfirmed."""

    record = AGREED

    def test_no_lease_is_granted(self):
        found = harness.send_reports(self.steward, "a-0", *DOWN)
        self.assertEqual(harness.granted_s(found), 0.0)

    def test_it_is_confirmed_when_its_server_was_promoted(self):
        promoted = harness.make_report("sb", lsn=5000, primary=True, timeline=2)
        self.report_from(DOWN[0], promoted, DOWN[2])
        swap = harness.only(self.tick(), effects.SwapValue)
        self.assertEqual(swap.value["terms"][-1], [2, "sb", 2, 990])

    def test_it_is_replaced_by_a_newer_term_otherwise(self):
        self.report_from(*DOWN)
        self.tick()
        self.report_from(*DOWN)
        swap = harness.only(self.tick(), effects.SwapValue)
        terms = [entry[0] for entry in swap.value["terms"]]
        self.assertEqual(terms, [1, 3])


class PromotionOrderTest(unittest.TestCase):
    """A home promotes a server only while its permit is valid."""

    def setUp(self):
        self.home = harness.make_home()
        order = messages.PromotionOrder(0, "ledger", "sb", 2)
        ((steward, self.request),) = harness.sent_messages(
            self.home.receive_message("b-0", order), messages.PermitRequest
        )
        self.assertEqual(steward, "b-0")

    def permit(self, sender="b-0"):
        grant = messages.PermitGrant(
            self.request.number, "ledger", "sb", 2, 1.0
        )
        found = self.home.receive_message(sender, grant)
        return harness.find(found, effects.Promote)

    def test_it_asks_before_it_acts(self):
        (promote,) = self.permit()
        self.assertEqual(promote.server, "sb")
        self.assertLess(promote.not_after, harness.NOW + 1.0)

    def test_a_late_permit_is_void(self):
        self.home.now += 1.0
        self.assertEqual(self.permit(), [])

    def test_a_permit_of_another_is_void(self):
        self.assertEqual(self.permit("c-0"), [])

    def test_a_permit_is_used_once(self):
        self.permit()
        self.assertEqual(self.permit(), [])

    def test_the_end_is_reported(self):
        self.permit()
        answer = probes.ProbeAnswer(False, 1200, 2)
        found = self.home.reduce(
            events.PromotionFinished, "ledger", "sb", 2, answer, 1100
        )
        ((steward, report),) = harness.sent_messages(
            found, messages.PromotionReport
        )
        self.assertEqual(steward, "b-0")
        self.assertTrue(report.done)
        self.assertEqual((report.timeline, report.fork_lsn), (2, 1100))

    def test_no_answer_is_no_promotion(self):
        self.permit()
        found = self.home.reduce(
            events.PromotionFinished, "ledger", "sb", 2, None, 0
        )
        ((_, report),) = harness.sent_messages(found, messages.PromotionReport)
        self.assertFalse(report.done)


class FirstRecordTest(unittest.TestCase):
    """The first record of a group."""

    def test_it_names_the_serving_primary(self):
        steward = harness.make_steward()
        stewardship = steward.state.stewardships[0]
        stewardship.managed_groups["ledger"] = state.ManagedGroup("ledger")
        harness.send_reports(steward, "a-0", *UP)
        swap = harness.only(steward.tick(0.1), effects.SwapValue)
        self.assertEqual(swap.expected_revision, 0)
        self.assertEqual(swap.value["terms"], [[1, "sa", 1, 0]])
