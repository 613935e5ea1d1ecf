"""Positions by which reads prove how fresh a replica is."""

import unittest

from cuminwall.direct import statements
from tests import direct_world


def make_world(**options: object) -> direct_world.World:
    """Returns one instance before a primary and a replica far behind."""
    primary = direct_world.FakeServer("p")
    primary.is_primary = True
    replica = direct_world.FakeServer("q")
    world = direct_world.World(("a",), (primary, replica), **options)
    world.run(3.0)
    return world


class WatermarksTest(unittest.TestCase):
    """Only a server that proved its lead tells how far the log goes."""

    def test_replica_in_a_transaction_tells_nothing(self) -> None:
        world = make_world()
        instance = world.instances["a"]
        writer = instance.caller("db")
        writer.send(statements.Write("w1", "WRITE 1 x"))
        world.run(0.2)
        # Its transaction holds the primary's connection. The replica is then
        # preferred, since the primary is kept for writes.
        writer.send(statements.Begin("b0", "BEGIN", False))
        writer.send(statements.Write("w2", "WRITE 1 x"))
        world.run(0.2)
        reader = instance.caller("aged")
        reader.send(statements.Begin("b1", "BEGIN READ", True))
        reader.send(statements.Read("r1", "READ 1"))
        world.run(0.2)
        group = instance.state.groups["s"]
        before = len(group.watermarks)
        world.run(0.2)
        reader.send(statements.Read("r2", "READ 1"))
        world.run(0.2)
        self.assertEqual(reader.reasons(), [None] * 3)
        self.assertEqual(len(world.servers["q"].statements_run), 2)
        self.assertEqual(len(group.watermarks), before)
        self.assertEqual(group.primary, "p")

    def test_read_misses_no_old_commit(self) -> None:
        # A replica that hears nothing any more must not serve reads once the
        # last proof is older than the route's age.
        world = make_world()
        instance = world.instances["a"]
        writer = instance.caller("db")
        writer.send(statements.Write("w1", "WRITE 1 x"))
        world.run(0.2)
        world.servers["q"].lag_s = 1000.0
        for number in range(2, 40):
            writer.send(statements.Write(f"w{number}", "WRITE 1 x"))
            reader = instance.caller("aged")
            reader.send(statements.Begin("b", "BEGIN READ", True))
            reader.send(statements.Read(f"r{number}", "READ 1"))
            reader.send(statements.Read(f"s{number}", "READ 1"))
            world.run(0.1)
        for request, _, at in world.servers["q"].statements_run:
            self.assertLess(at, 103.4 + direct_world.ROUTE_AGE_S, request)
