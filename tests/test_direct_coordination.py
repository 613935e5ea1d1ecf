"""Who coordinates, while the store loses answers."""

import unittest

from tests import direct_world

NAMES = ("a", "b", "c", "d", "e")


class RenewalTest(unittest.TestCase):
    """The coordinator keeps its lease."""

    def test_lost_answers_in_a_row(self) -> None:
        # The store carries renewals out and loses their answers.
        world = direct_world.World(NAMES)
        world.run(4.0)
        epochs = []
        for _ in range(5):
            world.store.lost_renewals = 3
            world.run(2.0)
            epochs.append(world.coordinator().state.own_lease.epoch)
        self.assertEqual(epochs, [1] * 5)
        for instance in world.instances.values():
            self.assertEqual(instance.log_fields("lease_lapsed"), [])


class TakeoverTest(unittest.TestCase):
    """Another coordinates soon after the coordinator has ended."""

    SOON_S = 0.4  # Less than what is left of the lease.

    def test_restarted_coordinator(self) -> None:
        world = direct_world.World(NAMES)
        world.run(4.0)
        holder = world.coordinator().name
        world.kill(holder)
        world.start(holder)
        world.run(self.SOON_S)
        self.assertEqual(world.epochs(), [0, 0, 0, 0, 2])

    def test_all_instances_restarted(self) -> None:
        world = direct_world.World(NAMES)
        world.run(4.0)
        for name in NAMES:
            world.kill(name)
            world.start(name)
        world.run(self.SOON_S)
        self.assertEqual(world.epochs(), [0, 0, 0, 0, 2])


if __name__ == "__main__":
    unittest.main()
