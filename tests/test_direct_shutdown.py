"""Tests of the orderly shutdown of an instance under load."""

import unittest

from cuminwall.direct import events, statements
from cuminwall.direct.answers import Reason
from tests import direct_world

# The platform asks once a second whether an instance is ready and sends it new
# callers until it has been refused twice.
SENT_CALLERS_S = 2.0


def make_world() -> direct_world.World:
    """Returns one instance with a primary and a replica."""
    servers = (direct_world.FakeServer("p"), direct_world.FakeServer("q"))
    servers[0].is_primary = True
    world = direct_world.World(("a", "b"), servers)
    world.run(3.0)
    return world


class LastCallersTest(unittest.TestCase):
    """Callers that arrive during a shutdown are served or refused."""

    def test_served_as_long_as_they_are_sent(self) -> None:
        world = make_world()
        instance = world.instances["a"]
        instance.handle_event(events.ShutdownRequested(world.now))
        world.run(SENT_CALLERS_S - 0.05)
        self.assertFalse(instance.state.is_exiting)
        caller = instance.caller("db")
        caller.send(statements.Write("x", "WRITE x 1"))
        world.run(0.15)
        self.assertEqual(caller.reasons(), [None])

    def test_refused_when_the_process_is_about_to_end(self) -> None:
        world = make_world()
        instance = world.instances["a"]
        instance.handle_event(events.ShutdownRequested(world.now))
        while not instance.state.is_exiting:
            world.run(0.01)
        caller = instance.caller("db")
        assert caller.refusal is not None
        self.assertIs(caller.refusal.reason, Reason.OVERLOADED)
        self.assertFalse(caller.is_open)


if __name__ == "__main__":
    unittest.main()
