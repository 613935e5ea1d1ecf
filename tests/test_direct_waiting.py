"""Who gets the room of a server whose connections are all in use."""

import unittest
from unittest import mock

from cuminwall.direct import events, statements
from cuminwall.direct.answers import Failure, Reason
from tests import direct_world

REFUSAL = Failure(Reason.TOO_MANY_CONNECTIONS, "test")


def make_world() -> direct_world.World:
    """Returns a world with one instance, a primary and a replica."""
    primary = direct_world.FakeServer("p")
    primary.is_primary = True
    servers = (primary, direct_world.FakeServer("q"))
    world = direct_world.World(("a",), servers)
    world.run(4.0)
    return world


def refuse_connections(
    world: direct_world.World,
    instance: direct_world.Instance,
    effect: direct_world.effects.OpenConnection,
) -> None:
    """Makes the primary refuse a connection; the replica accepts them."""
    if effect.server != "p":
        direct_world.World._open(world, instance, effect)
        return
    ended = events.ConnectionEnded(
        world.now + 0.01, effect.connection, REFUSAL, True
    )
    world.schedule(0.01, lambda: instance.handle_event(ended))


def with_full_primary() -> mock._patch_dict:
    """Returns a context in which the primary accepts no connections."""
    kind = direct_world.effects.OpenConnection
    return mock.patch.dict(direct_world._PERFORMERS, {kind: refuse_connections})


class FullPrimaryTest(unittest.TestCase):
    """A primary whose connections are all in use by other instances."""

    def test_reads_leave_it_to_writes(self) -> None:
        """The load: reads that a replica can serve, as writes are refused.

        Fails where only the pause after a refusal counts: once that is over,
        the reads go to the primary again and take what it has.
        """
        world = make_world()
        instance = world.instances["a"]
        instance.caller("db").send(statements.Write("w0", "WRITE 1 x"))
        world.run(0.2)
        state = instance.state
        server = state.servers["p"]
        server.overloaded_until = world.now
        world.run(0.1)
        read = instance.caller("aged")
        read.send(statements.Read("r", "READ 1"))
        world.run(0.1)
        self.assertEqual(read.reasons(), [None])
        answered = instance.log_fields("answered")
        self.assertEqual(answered[-1]["server"], "q")

    def test_reads_use_it_again(self) -> None:
        """A single refusal long ago does not keep reads away."""
        world = make_world()
        instance = world.instances["a"]
        state = instance.state
        state.servers["p"].overloaded_until = world.now
        world.run(3.0)
        instance.caller("db").send(statements.Write("w0", "WRITE 1 x"))
        world.run(0.2)
        instance.caller("aged").send(statements.Read("r", "READ 1"))
        world.run(0.1)
        answered = instance.log_fields("answered")
        self.assertEqual(answered[-1]["server"], "p")

    def test_hopeless_writes_are_refused_at_once(self) -> None:
        """The load: writes, while the next attempt comes after their target.

        Fails where they wait until their target has passed.
        """
        world = make_world()
        instance = world.instances["a"]
        callers = []
        with with_full_primary():
            for number in range(20):
                caller = instance.caller("db")
                caller.send(statements.Write(f"w{number}", "WRITE 1 x"))
                callers.append((world.now, caller))
                world.run(0.1)
            world.run(1.0)
        waits_s = []
        for sent_at, caller in callers:
            self.assertEqual(caller.reasons(), [Reason.OVERLOADED])
            waits_s.append(caller.times[0] - sent_at)
        at_once = [wait_s for wait_s in waits_s if wait_s <= 0.05]
        self.assertGreater(len(at_once), len(waits_s) / 2)
        # What was refused has not run, so all is well afterwards.
        world.run(0.5)
        caller = instance.caller("db")
        caller.send(statements.Write("last", "WRITE 1 x"))
        world.run(0.5)
        self.assertEqual(caller.reasons(), [None])


class SilentCoordinatorTest(unittest.TestCase):
    """An instance in a zone that is cut off from the coordinator."""

    def test_operations_without_a_token_are_refused_at_once(self) -> None:
        """The load: a workspace's operations beyond the share held there.

        Fails where each waits for a reply that does not come.
        """
        primary = direct_world.FakeServer("p")
        primary.is_primary = True
        config = direct_world.make_catalog(rate=1.0, burst=1.0)
        world = direct_world.World(("a", "b"), (primary,), config=config)
        world.run(4.0)
        name = "a" if world.coordinator().name == "b" else "b"
        instance = world.instances[name]
        world.cut_pairs.add(("a", "b"))
        world.run(2.0)
        callers = []
        for number in range(10):
            caller = instance.caller("db")
            caller.send(statements.Write(f"w{number}", "WRITE 1 x"))
            callers.append((world.now, caller))
            world.run(0.02)
        world.run(1.0)
        late = 0
        for sent_at, caller in callers[3:]:
            self.assertEqual(caller.reasons(), [Reason.OVERLOADED])
            late += caller.times[0] - sent_at > 0.02
        self.assertEqual(late, 0)


if __name__ == "__main__":
    unittest.main()
