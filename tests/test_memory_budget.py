"""Tests of the account of the memory that clients fill."""

import unittest

from cuminwall.load import memory_budget
from cuminwall.load.memory_budget import MIB, Account, Idle


class AccountTest(unittest.TestCase):
    """Who waits and who is closed as memory fills."""

    def setUp(self) -> None:
        self.account = Account(10 * MIB)

    def test_crowd_of_large_messages_closes_the_largest_first(self) -> None:
        for holder in range(9):
            self.account.set(holder, MIB)
        self.account.set(9, 3 * MIB)
        self.assertEqual(self.account.choose_excess(), [9, 8])

    def test_large_senders_wait_and_small_ones_do_not(self) -> None:
        self.account.set(1, 6 * MIB)
        self.account.set(2, 8192)
        self.assertTrue(self.account.must_wait(1))
        self.assertFalse(self.account.must_wait(2))
        self.account.set(1, 0)
        self.assertFalse(self.account.is_tight())
        self.assertEqual(self.account.total, 8192)

    def test_without_a_bound_nobody_waits(self) -> None:
        account = Account(memory_budget.find_budget(None))
        account.set(1, 1000 * MIB)
        self.assertFalse(account.must_wait(1))
        self.assertEqual(account.choose_excess(), [])


class RoomTest(unittest.TestCase):
    """Connections that callers leave to servers."""

    def test_smallest_machine_takes_the_sessions_of_a_whole_site(self) -> None:
        limit = memory_budget.find_socket_limit(4300)
        self.assertTrue(memory_budget.has_room(2000, 1000, limit))
        self.assertFalse(memory_budget.has_room(2500, 0, limit))
        self.assertFalse(memory_budget.has_room(2000, 2000, limit))

    def test_crowd_of_open_transactions_gives_way_last(self) -> None:
        idle = [Idle(1, 5.0, False), Idle(2, 9.0, True), Idle(3, 8.0, True)]
        self.assertEqual(memory_budget.choose_idle(idle, 9.0, 1.0), 3)
        self.assertEqual(memory_budget.choose_idle(idle, 10.0, 5.0), 1)
        self.assertEqual(memory_budget.choose_idle(idle[:1], 10.0, 5.0), 1)
        self.assertIsNone(memory_budget.choose_idle(idle[:1], 9.0, 5.0))


if __name__ == "__main__":
    unittest.main()
