"""What the coordinator logs about its own load."""

import unittest

from tests import direct_world, slow_world


class LoadLineTest(unittest.TestCase):
    """One line a second tells what holds the coordinator up."""

    def make_world(self) -> slow_world.SlowWorld:
        """Returns a world with a coordinator."""
        world = slow_world.SlowWorld(("a", "b", "c"))
        world.run(4.0)
        return world

    def test_line_each_second(self) -> None:
        world = self.make_world()
        coordinator = world.coordinator()
        coordinator.notes.clear()
        world.run(3.0)
        lines = coordinator.log_fields("load")
        self.assertIn(len(lines), (2, 3))
        for line in lines:
            self.assertGreater(line["requests"], 0)
            self.assertEqual(line["requests"], line["answered"])
            self.assertGreater(line["renewals_answered"], 0)

    def test_slow_renewals_show(self) -> None:
        world = self.make_world()
        coordinator = world.coordinator()
        coordinator.notes.clear()
        world.machine(coordinator).received_until = world.now + 0.5
        world.run(2.0)
        slowest = [
            line["slowest_renewal_ms"]
            for line in coordinator.log_fields("load")
        ]
        self.assertGreater(max(slowest), 400.0)

    def test_late_timers_show(self) -> None:
        world = self.make_world()
        coordinator = world.coordinator()
        coordinator.notes.clear()
        # The process runs nothing for a while.
        coordinator.is_alive = False
        world.run(0.7)
        coordinator.is_alive = True
        coordinator.timer_at = float("inf")
        coordinator.handle_event(direct_world.events.TimersDue(world.now))
        world.run(1.2)
        delays = [
            line["timer_delay_ms"] for line in coordinator.log_fields("load")
        ]
        self.assertGreater(max(delays), 400.0)


if __name__ == "__main__":
    unittest.main()
