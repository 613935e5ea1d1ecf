"""Tests of the fair queue against a naive implementation."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall import fairness

NAMES = ("a", "b", "c")
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), st.sampled_from(NAMES)),
        st.tuples(st.just("pop"), st.just("")),
        st.tuples(st.just("remove"), st.sampled_from(NAMES)),
    ),
    max_size=60,
)


class NaiveQueue:
    """Keeps the order of turns and all items in plain lists."""

    def __init__(self):
        self.turns = []
        self.items = []

    def push(self, name, item):
        if name not in self.turns:
            self.turns.append(name)
        self.items.append((name, item))

    def pop(self):
        name = self.turns.pop(0)
        entry = next(each for each in self.items if each[0] == name)
        self.items.remove(entry)
        if any(each[0] == name for each in self.items):
            self.turns.append(name)
        return entry[1]

    def remove(self, name, item):
        if (name, item) not in self.items:
            return False
        self.items.remove((name, item))
        if all(each[0] != name for each in self.items):
            self.turns.remove(name)
        return True


class FairQueueTest(unittest.TestCase):
    """Round robin between workspaces; first in, first out within each."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(steps=STEPS)
    def test_as_naive(self, steps):
        queue = fairness.FairQueue()
        naive = NaiveQueue()
        for count, (step, name) in enumerate(steps):
            if step == "push":
                queue.push(name, count)
                naive.push(name, count)
            elif step == "remove":
                item = count // 2
                self.assertEqual(
                    queue.remove(name, item), naive.remove(name, item)
                )
            elif naive.items:
                self.assertEqual(queue.pop(), naive.pop())
            else:
                self.assertRaises(IndexError, queue.pop)
            self.assertEqual(len(queue), len(naive.items))
            for each in NAMES:
                held = [entry for entry in naive.items if entry[0] == each]
                self.assertEqual(queue.length(each), len(held))

    def test_large_sender_does_not_delay_a_small_one(self):
        queue = fairness.FairQueue()
        for item in range(100):
            queue.push("large", item)
        queue.push("small", "x")
        self.assertEqual([queue.pop(), queue.pop()], [0, "x"])


if __name__ == "__main__":
    unittest.main()
