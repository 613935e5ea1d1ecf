"""Tests of whose turn it is while room is short."""

import unittest

from cuminwall.direct.wait_queue import WaitQueue
from cuminwall.load import turns

PRIORITIES = (0, 1, 2)
WORK_S = 0.01


def serve(queue, count, now=0.0):
    """Returns the first `count` items of a queue."""
    return [queue.pop(now) for _ in range(count)]


class TestClasses(unittest.TestCase):
    """The classes of the configuration, while there is too little for all."""

    def test_burst_of_the_last_class(self):
        """The load: a burst of one kind, 2.4 times its rate.

        The first class is served before it, up to its own part.
        """
        queue = WaitQueue()
        for number in range(24):
            queue.push(2, 10.0, ("lookup", number), "w", 0.04)
        for number in range(4):
            queue.push(0, 10.0, ("draft", number), "w", 0.01)
        served = serve(queue, 5)
        self.assertEqual([each[0] for each in served].count("draft"), 4)

    def test_lowest_class_does_not_starve(self):
        """The load: the first class alone asks for more than there is.

        Fails under a strict order of priorities: the others get nothing.
        """
        queue = WaitQueue()
        for number in range(70):
            for priority in PRIORITIES:
                queue.push(priority, 10.0, priority, str(number % 3))
        served = serve(queue, 70)
        shares = [served.count(priority) for priority in PRIORITIES]
        for share, expected in zip(shares, (40, 20, 10), strict=True):
            self.assertAlmostEqual(share, expected, delta=2)

    def test_long_statements_count_as_such(self):
        """The load: statements of 8 and of 40 ms in classes of one weight."""
        accounts = turns.Accounts()
        served = []
        for _ in range(60):
            name = min(("long", "short"), key=accounts.start)
            accounts.charge(name, 0.04 if name == "long" else 0.008, 1.0)
            served.append(name)
        self.assertAlmostEqual(served.count("long"), 10, delta=1)

    def test_three_slots_and_24_waiting(self):
        """The load: three slots for 8 ms each, 24 waiting, 50 ms to answer.

        The first class is not held up by those that can't meet their target
        any more. A late one is served once no other waits.
        """
        queue = WaitQueue()
        for number in range(12):
            queue.push(0, 0.005, ("late", number), "a", 0.008)
            queue.push(0, 0.050, ("timely", number), "b", 0.008)
        served = []
        for step in range(4):
            served.extend(serve(queue, 3, 0.008 * step))
        self.assertEqual({each[0] for each in served}, {"timely"})
        self.assertEqual(len(serve(queue, 12, 0.032)), 12)

    def test_too_short_for_the_statement(self):
        """The load: one has 20 ms left for a statement of 40 ms.

        Fails where the order knows the target alone: the hopeless one is
        first, and the other misses its target too.
        """
        queue = WaitQueue()
        queue.push(1, 0.02, "hopeless", "a", 0.04)
        queue.push(1, 0.05, "possible", "b", 0.04)
        self.assertEqual(serve(queue, 2), ["possible", "hopeless"])


class TestWorkspaces(unittest.TestCase):
    """Workspaces of one class."""

    def test_hot_workspace(self):
        """The load: one workspace at 6 times the rate of each of four others.

        Fails where the earliest target is first: the hot one, which came
        first, gets the first 24 turns.
        """
        queue = WaitQueue()
        for number in range(24):
            queue.push(1, 1.0 + number / 100, "hot", "hot")
        for name in "abcd":
            for number in range(4):
                queue.push(1, 1.5 + number / 100, name, name)
        served = serve(queue, 20)
        self.assertEqual(served.count("hot"), 4)
        for name in "abcd":
            self.assertEqual(served.count(name), 4)

    def test_weights(self):
        """The load: two workspaces of different weight, both waiting."""
        queue = WaitQueue()
        for _ in range(30):
            queue.push(1, 1.0, "heavy", "heavy", WORK_S, 2.0)
            queue.push(1, 1.0, "light", "light", WORK_S, 1.0)
        served = serve(queue, 30)
        self.assertAlmostEqual(served.count("heavy"), 20, delta=1)

    def test_pause_earns_nothing(self):
        """The load: one workspace comes back after a time without claims."""
        accounts = turns.Accounts()
        for _ in range(100):
            accounts.charge("busy", WORK_S, 1.0)
        served = []
        for _ in range(10):
            name = min(("busy", "back"), key=accounts.start)
            accounts.charge(name, WORK_S, 1.0)
            served.append(name)
        self.assertAlmostEqual(served.count("back"), 5, delta=1)

    def test_accounts_are_bounded(self):
        """The load: many workspaces that come once, and one that stays."""
        accounts = turns.Accounts()
        for number in range(5000):
            accounts.charge(str(number), WORK_S, 1.0)
            accounts.charge("stays", WORK_S, 1.0)
        self.assertLess(len(accounts.received), 200)

    def test_calm(self):
        """In calm, with one waiting at a time, order is by arrival."""
        queue = WaitQueue()
        for number in range(3):
            queue.push(number % 3, 1.0, number, str(number))
            self.assertEqual(queue.pop(0.0), number)
            self.assertFalse(queue.turns.members)

    def test_counts_by_class(self):
        """What an operator sees of a queue."""
        queue = WaitQueue()
        for priority, kind in ((0, "a"), (2, "a"), (2, "b")):
            queue.push(priority, 1.0, kind, kind)
        self.assertEqual(queue.count_by_priority(), {0: 1, 2: 2})
