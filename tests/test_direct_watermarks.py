"""Tests of watermarks, which bound the staleness of replicas."""

import unittest

from cuminwall.direct import messages, shared_watermarks, statements
from tests import direct_world


def make_world(**options: object) -> direct_world.World:
    """Returns one instance with a primary and a replica."""
    primary = direct_world.FakeServer("p")
    primary.is_primary = True
    replica = direct_world.FakeServer("q")
    world = direct_world.World(("a",), (primary, replica), **options)
    world.run(3.0)
    return world


class WatermarksTest(unittest.TestCase):
    """Only a server that proved to be the primary sets watermarks."""

    def test_replica_in_a_transaction_tells_nothing(self) -> None:
        world = make_world()
        instance = world.instances["a"]
        writer = instance.caller("db")
        writer.send(statements.Write("w1", "WRITE 1 x"))
        world.run(0.2)
        # The transaction occupies the primary's connection; the primary is
        # kept for writes, so the replica is preferred for reads.
        writer.send(statements.Begin("b0", "BEGIN", False))
        writer.send(statements.Write("w2", "WRITE 1 x"))
        world.run(0.2)
        reader = instance.caller("aged")
        reader.send(statements.Begin("b1", "BEGIN READ", True))
        reader.send(statements.Read("r1", "READ 1"))
        world.run(0.2)
        group = instance.state.groups["s"]
        count_before = len(group.watermarks)
        world.run(0.2)
        reader.send(statements.Read("r2", "READ 1"))
        world.run(0.2)
        self.assertEqual(reader.reasons(), [None] * 3)
        self.assertEqual(len(world.servers["q"].statements_run), 2)
        self.assertEqual(len(group.watermarks), count_before)
        self.assertEqual(group.primary, "p")

    def test_read_misses_no_old_commit(self) -> None:
        # A replica that stops replicating must not serve reads once its last
        # passed watermark is older than the route's maximum age.
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


class SharedWatermarksTest(unittest.TestCase):
    """Instances without work at a primary read from replicas all the same."""

    def setUp(self) -> None:
        servers = [direct_world.FakeServer(name) for name in ("p", "q")]
        servers[0].is_primary = True
        self.world = direct_world.World(("a", "b"), tuple(servers))
        self.world.run(3.0)

    def read(self, request: str, writer: direct_world.Caller) -> None:
        """Writes at one instance and reads at the other."""
        writer.send(statements.Write(f"w{request}", "WRITE 1 x"))
        reader = self.world.instances["b"].caller("aged")
        reader.send(statements.Read(request, "READ 1"))
        self.world.run(0.1)
        reader.leave()

    def reads_at(self, server: str) -> list[tuple[str, float]]:
        """Returns the reads that a server has run, and when."""
        run = self.world.servers[server].statements_run
        return [(each, at) for each, _, at in run if each.startswith("r")]

    # In a large fleet an instance reads rarely: here each read comes when what
    # the one before has told is too old.
    def test_rare_reads_leave_the_primary(self) -> None:
        state = self.world.instances["b"].state
        # As where a server accepts few connections.
        state.limits = state.limits._replace(idle_connection_s=0.5)
        writer = self.world.instances["a"].caller("db")
        for number in range(10):
            self.read(f"r{number}", writer)
            for count in range(14):
                writer.send(statements.Write(f"w{number}-{count}", "WRITE 1 x"))
                self.world.run(0.1)
        self.assertLessEqual(len(self.reads_at("p")), 1)
        self.assertGreaterEqual(len(self.reads_at("q")), 9)

    def test_shared_watermarks_miss_no_old_commit(self) -> None:
        writer = self.world.instances["a"].caller("db")
        for number in range(10):
            self.read(f"r{number}", writer)
        stopped_at = self.world.now
        self.world.servers["q"].lag_s = 1000.0
        for number in range(10, 50):
            self.read(f"r{number}", writer)
        for request, at in self.reads_at("q"):
            age_s = at - stopped_at
            self.assertLess(age_s, direct_world.ROUTE_AGE_S, request)

    def test_delayed_reply_makes_no_watermark_younger(self) -> None:
        state = self.world.instances["b"].state
        state.now = self.world.now
        shared_watermarks.tell(state, 7)
        told = messages.SharedWatermark("s", 0.4, 1, 9)
        reply = messages.ShareReply(
            7, 1, (), 1, 0.1, True, 0.0, watermarks=(told,)
        )
        sent_at = state.request_pacing.watermarks_sent_at
        number = state.request_pacing.watermarks_number
        state.now += 5.0
        shared_watermarks.handle_reply(state, reply._replace(number=number))
        shared = state.groups["s"].shared_watermarks
        self.assertAlmostEqual(shared[-1].sent_at, sent_at - 0.4)
        late = reply._replace(number=number + 1)
        shared_watermarks.handle_reply(state, late)
        self.assertEqual(len(shared), 1)
