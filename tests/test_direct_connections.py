"""Connections to backend servers, shared by all instances."""

import unittest

from cuminwall.direct import connections, events, statements
from cuminwall.direct.answers import Failure, Reason
from tests import direct_world


def make_world(names: tuple[str, ...]) -> direct_world.World:
    """Returns instances before one primary."""
    primary = direct_world.FakeServer("p")
    primary.is_primary = True
    world = direct_world.World(names, (primary,))
    world.run(4.0)
    return world


class ShareTest(unittest.TestCase):
    """How many connections an instance may have."""

    def test_even_share(self) -> None:
        world = make_world(("a", "b", "c"))
        known = world.instances["a"].state
        self.assertEqual(
            connections.max_connections(known, known.servers["p"]), 19
        )

    def test_share_stays_while_an_instance_restarts(self) -> None:
        # The servers still count the connections of one that has just gone.
        world = make_world(("a", "b", "c"))
        world.instances["c"].handle_event(events.ShutdownRequested(world.now))
        world.run(2.0)
        known = world.instances["a"].state
        self.assertEqual(len(known.members), 2, known.members)
        self.assertEqual(
            connections.max_connections(known, known.servers["p"]), 19
        )


class FullServerTest(unittest.TestCase):
    """A server that takes no more connections."""

    def test_operation_waits_until_a_connection_is_accepted(self) -> None:
        # After a loss of power the servers count dead connections for 3 s.
        world = make_world(("a",))
        instance = world.instances["a"]
        opened_at = world.now + 0.08

        def refuse_or_open(
            world_: direct_world.World,
            instance_: direct_world.Instance,
            effect: object,
        ) -> None:
            if world_.now >= opened_at:
                direct_world.World._open(world_, instance_, effect)
                return
            failure = Failure(Reason.TOO_MANY_CONNECTIONS, "test")
            number = effect.connection
            world_.schedule(
                0.01,
                lambda: instance_.handle_event(
                    events.ConnectionEnded(world_.now, number, failure, True)
                ),
            )

        carriers = direct_world._PERFORMERS
        kind = direct_world.effects.OpenConnection
        plain = carriers[kind]
        carriers[kind] = refuse_or_open
        try:
            caller = instance.caller("db")
            caller.send(statements.Write("w", "WRITE 1 x"))
            world.run(0.6)
        finally:
            carriers[kind] = plain
        self.assertEqual(caller.reasons(), [None])


class UnreachablePrimaryTest(unittest.TestCase):
    """A primary that this instance can't reach, while others can."""

    RATE = 20.0
    CUT_S = 6.0

    def test_operations_are_refused_at_once(self) -> None:
        world = make_world(("a", "b", "c"))
        # Another coordinates, and sees no reason to replace it.
        instance = world.instances["a"]
        if instance.state.own_lease.epoch:
            instance = world.instances["b"]
        world.cut_pairs.add((instance.name, "p"))
        instance.caller("db").send(statements.Write("w0", "WRITE 1 x"))
        # By then a successor would lead, if there were to be one.
        world.run(5.0)
        callers = []
        for number in range(int(self.RATE * self.CUT_S)):
            caller = instance.caller("db")
            caller.send(statements.Write(f"w{number}", "WRITE 1 x"))
            callers.append((world.now, caller))
            world.run(1 / self.RATE)
        world.run(1.0)
        held = 0
        for sent_at, caller in callers:
            self.assertEqual(caller.reasons(), [Reason.OVERLOADED])
            held += caller.times[0] - sent_at > 0.1
        # One looks whether it is back each time its pause is over.
        pause_s = instance.state.limits.unreachable_pause_s
        self.assertLessEqual(held, self.CUT_S / pause_s + 1)

    def test_operations_succeed_when_it_is_reachable_again(self) -> None:
        world = make_world(("a", "b", "c"))
        instance = world.instances["a"]
        world.cut_pairs.add(("a", "p"))
        instance.caller("db").send(statements.Write("w0", "WRITE 1 x"))
        world.run(4.0)
        world.cut_pairs.clear()
        limits = instance.state.limits
        back_s = limits.unreachable_pause_s + limits.connect_timeout_s + 0.1
        done = []
        for number in range(60):
            caller = instance.caller("db")
            caller.send(statements.Write(f"w{number}", "WRITE 1 x"))
            sent_at = world.now
            world.run(0.05)
            done.append((sent_at, caller))
        world.run(1.0)
        begun_at = done[0][0]
        for sent_at, caller in done:
            if sent_at > begun_at + back_s:
                self.assertEqual(caller.reasons(), [None])


class WorkspaceTest(unittest.TestCase):
    """A connection serves the workspace for which it was opened."""

    def test_connection_of_another_workspace_is_replaced(self) -> None:
        config = direct_world.make_catalog()
        workspaces = dict(config.workspaces)
        workspaces["v"] = config.workspaces["w"]._replace(name="v")
        config = config._replace(
            workspaces=workspaces,
            keys={"key": "w", "other": "v"},
            services={"s": config.services["s"]._replace(connections=3)},
        )
        primary = direct_world.FakeServer("p")
        primary.is_primary = True
        world = direct_world.World(("a",), (primary,), config=config)
        world.run(4.0)
        instance = world.instances["a"]
        for number in range(6):
            key = "key" if number % 2 else "other"
            caller = instance.caller("db", key)
            caller.send(statements.Write(f"w{number}", "WRITE 1 x"))
            world.run(0.4)
            self.assertEqual(caller.reasons(), [None])
            kept = instance.state.connections.values()
            workspace = "w" if number % 2 else "v"
            self.assertEqual([each.workspace for each in kept], [workspace])


if __name__ == "__main__":
    unittest.main()
