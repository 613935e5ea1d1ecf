"""Tests of a home's view of histories, floors and data ages."""

import unittest

from cuminwall import groups, messages, work
from tests import harness

# Term 2 forked from term 1 at 100; term 3 forked from term 2 below that, at 90.
FORKED_TWICE = harness.make_record(
    (1, "sa", 1, 0), (2, "sb", 2, 100), (3, "sc", 3, 90)
)


class HistoryTest(unittest.TestCase):
    """Which positions belong to the agreed history."""

    def setUp(self):
        self.home = harness.make_home(FORKED_TWICE)
        self.group = self.home.group

    def test_the_newest_timeline_belongs_to_it_wholly(self):
        self.assertTrue(groups.is_on_history(self.group, 3, 10**9))

    def test_a_former_timeline_belongs_to_it_up_to_the_fork(self):
        self.assertTrue(groups.is_on_history(self.group, 2, 90))
        self.assertFalse(groups.is_on_history(self.group, 2, 91))

    def test_a_later_fork_may_leave_out_what_an_earlier_one_kept(self):
        self.assertTrue(groups.is_on_history(self.group, 1, 90))
        self.assertFalse(groups.is_on_history(self.group, 1, 95))

    def test_an_unknown_timeline_does_not_belong_to_it(self):
        self.assertFalse(groups.is_on_history(self.group, 9, 1))

    def test_a_replaced_primary_is_not_usable(self):
        self.home.probe("sa", 80, in_recovery=False, timeline=1)
        server = self.group.servers["sa"]
        self.assertFalse(groups.is_usable(self.group, server))

    def test_a_replica_of_a_replaced_history_is_not_usable(self):
        self.home.probe("sa", 101, timeline=1)
        server = self.group.servers["sa"]
        self.assertFalse(groups.is_usable(self.group, server))

    def test_an_older_record_is_ignored(self):
        self.home.receive_message("b-0", messages.RecordUpdate(harness.RECORD))
        self.assertEqual(self.group.term, 3)

    def test_an_unconfirmed_term_has_no_primary(self):
        terms = FORKED_TWICE.terms
        entry = messages.TermEntry(4, "sa", 0, 0)
        newer = messages.GroupRecord("ledger", False, (*terms, entry))
        self.home.receive_message("b-0", messages.RecordUpdate(newer))
        self.assertIsNone(self.group.primary)
        self.assertTrue(groups.is_on_history(self.group, 3, 10**9))


class FloorTest(unittest.TestCase):
    """Floors across changes of primary."""

    def setUp(self):
        self.group = harness.make_home(FORKED_TWICE).group

    def is_lost(self, term, lsn):
        return groups.is_floor_lost(self.group, work.Position(term, lsn))

    def test_what_the_next_term_left_out_is_lost(self):
        self.assertTrue(self.is_lost(1, 101))
        self.assertTrue(self.is_lost(2, 91))

    def test_what_a_later_term_left_out_is_lost(self):
        self.assertTrue(self.is_lost(1, 95))

    def test_what_every_term_kept_is_not_lost(self):
        self.assertFalse(self.is_lost(1, 90))
        self.assertFalse(self.is_lost(2, 90))
        self.assertFalse(self.is_lost(3, 10**9))

    def test_a_newer_term_than_the_newest_is_not_known(self):
        known = groups.is_floor_known
        self.assertTrue(known(self.group, work.Position(3, 1)))
        self.assertFalse(known(self.group, work.Position(4, 1)))


class AgeTest(unittest.TestCase):
    """The age of a replica's data, measured by watermarks of the primary."""

    def setUp(self):
        self.home = harness.make_home()
        self.group = self.home.group

    def age_s(self, server):
        return groups.data_age_s(self.home.state, self.group.servers[server])

    def test_a_replica_at_a_watermark_is_as_old_as_its_probe(self):
        self.home.now += 2.0
        self.home.probe("sa", 1010, in_recovery=False)
        self.home.now += 3.0
        self.home.probe("sb", 1010)
        self.assertAlmostEqual(self.age_s("sb"), 3.0)

    def test_a_replica_below_a_watermark_is_as_old_as_the_earlier_one(self):
        self.home.now += 2.0
        self.home.probe("sa", 1010, in_recovery=False)
        self.home.now += 3.0
        self.home.probe("sb", 1009)
        self.assertAlmostEqual(self.age_s("sb"), 5.0)

    def test_a_probe_without_lease_is_no_watermark(self):
        self.home.grant_write_lease(until=self.home.now + 1.0)
        self.home.now += 2.0
        self.home.probe("sa", 1000, in_recovery=False)
        self.home.probe("sb", 1000)
        self.assertAlmostEqual(self.age_s("sb"), 2.0)

    def test_a_new_term_makes_every_age_unknown(self):
        newer = harness.make_record((1, "sa", 1, 0), (2, "sb", 2, 1000))
        self.home.receive_message("b-0", messages.RecordUpdate(newer))
        self.assertEqual(self.age_s("sc"), float("inf"))

    def test_an_older_probe_does_not_turn_a_position_back(self):
        self.home.now += 1.0
        self.home.probe("sb", 1005)
        self.home.now -= 0.5
        self.home.probe("sb", 1001)
        self.assertEqual(self.group.servers["sb"].lsn, 1005)
