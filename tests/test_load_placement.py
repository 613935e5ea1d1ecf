"""The choice among servers."""

import collections
import unittest
from typing import Any

from cuminwall.load import placement

INSTANCES = 100


def candidate(server: str, **changes: Any) -> placement.Candidate:
    """Returns a near and idle server of usual speed."""
    default = placement.Candidate(
        server, 0, 5, True, True, False, slowdown=1.0, reserve=0.0
    )
    return default._replace(**changes)


def choose(*candidates: placement.Candidate, number: int = 1) -> str:
    """Returns the server that one instance chooses."""
    return placement.choose(candidates, "a", number)


class SimultaneousChoiceTest(unittest.TestCase):
    """Load: 100 instances that know the same choose at the same moment."""

    def count(
        self, candidates: list[placement.Candidate]
    ) -> collections.Counter[str]:
        """Returns how many instances choose each server."""
        chosen: collections.Counter[str] = collections.Counter()
        for number in range(INSTANCES):
            chosen[placement.choose(candidates, f"edge-{number}", 17)] += 1
        return chosen

    def test_equal_servers_get_about_equal_parts(self) -> None:
        chosen = self.count([candidate(name) for name in "abc"])
        self.assertLess(max(chosen.values()), INSTANCES / 2)

    def test_a_slight_difference_does_not_draw_all(self) -> None:
        nearly = [
            candidate("a", slowdown=1.0),
            candidate("b", slowdown=1.02),
            candidate("c", slowdown=1.04),
        ]
        chosen = self.count(nearly)
        self.assertLess(max(chosen.values()), INSTANCES / 2)

    def test_the_operations_of_one_instance_spread_too(self) -> None:
        servers = [candidate(name) for name in "abc"]
        chosen = {choose(*servers, number=each) for each in range(20)}
        self.assertEqual(chosen, set("abc"))


class PreferenceTest(unittest.TestCase):
    """Load: little; where a read goes if the servers differ in one thing."""

    def test_idle_connections_and_the_own_zone_come_first(self) -> None:
        far = candidate("a", is_near=False)
        closed = candidate("b", has_idle=False)
        self.assertEqual(choose(far, closed, candidate("c")), "c")
        self.assertEqual(choose(closed, far), "a")

    def test_a_zone_is_left_only_for_a_clearly_faster_server(self) -> None:
        far = candidate("a", is_near=False)
        self.assertEqual(choose(far, candidate("b", slowdown=1.4)), "b")
        self.assertEqual(choose(far, candidate("b", slowdown=2.0)), "a")

    def test_a_zone_is_kept_while_all_servers_are_slow(self) -> None:
        far = candidate("a", is_near=False, slowdown=4.0)
        self.assertEqual(choose(far, candidate("b", slowdown=5.0)), "b")

    def test_a_server_with_more_slots_gets_more(self) -> None:
        small = candidate("a", load=1)
        self.assertEqual(choose(small, candidate("b", load=2, slots=20)), "b")


class PrimaryReserveTest(unittest.TestCase):
    """Load: reads, while the primary has what only it can run."""

    def test_reads_stay_while_the_primary_is_not_needed(self) -> None:
        reserve = placement.primary_reserve(0.0, 3, 0, 1.0)
        near = candidate("a", reserve=reserve)
        self.assertEqual(choose(near, candidate("b", is_near=False)), "a")

    def test_reads_leave_while_work_for_the_primary_waits(self) -> None:
        reserve = placement.primary_reserve(0.3, 3, 2, 1.0)
        near = candidate("a", reserve=reserve)
        self.assertEqual(choose(near, candidate("b", is_near=False)), "b")

    def test_a_slower_primary_is_spared_more(self) -> None:
        usual = placement.primary_reserve(0.3, 3, 0, 1.0)
        slow = placement.primary_reserve(0.3, 3, 0, 2.0)
        self.assertGreater(slow, usual)


if __name__ == "__main__":
    unittest.main()
