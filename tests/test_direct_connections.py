"""Connections to backend servers, shared by all instances."""

import functools
import unittest

from cuminwall.direct import connections, events, statements
from cuminwall.direct.answers import Answer, Failure, Reason
from tests import direct_world


def make_world(names: tuple[str, ...]) -> direct_world.World:
    """Returns a world with one primary."""
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
        # The servers still count the connections of the instance that has
        # just ended.
        world = make_world(("a", "b", "c"))
        ended = world.instances["c"]
        ended.handle_event(events.ShutdownRequested(world.now))
        while not ended.state.is_exiting:
            world.run(0.05)
        world.run(0.1)
        known = world.instances["a"].state
        self.assertEqual(len(known.members), 2, known.members)
        self.assertEqual(
            connections.max_connections(known, known.servers["p"]), 19
        )


class FullServerTest(unittest.TestCase):
    """A server that refuses further connections."""

    def test_operation_waits_until_a_connection_is_accepted(self) -> None:
        # After a power failure the servers count dead connections for 3 s.
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
        original = carriers[kind]
        carriers[kind] = refuse_or_open
        try:
            caller = instance.caller("db")
            caller.send(statements.Write("w", "WRITE 1 x"))
            world.run(0.6)
        finally:
            carriers[kind] = original
        self.assertEqual(caller.reasons(), [None])


class FewConnectionsTest(unittest.TestCase):
    """More instances than a server accepts connections."""

    INSTANCES = 73
    CONNECTIONS = 49
    WORKSPACES = 20
    OPERATIONS_PER_S = 25.0  # At one primary; a third of what its slots run.
    REFUSED_FRACTION = 0.02
    OPENED_FRACTION = 0.6  # Of the statements.

    def make_world(self) -> direct_world.World:
        """Returns a world with one primary that accepts few connections."""
        config = direct_world.make_catalog()
        workspaces = {}
        keys = {}
        for number in range(self.WORKSPACES):
            name = f"w{number}"
            workspaces[name] = config.workspaces["w"]._replace(name=name)
            keys[f"key{number}"] = name
        limits = config.services["s"]._replace(connections=self.CONNECTIONS)
        config = config._replace(
            workspaces=workspaces, keys=keys, services={"s": limits}
        )
        primary = direct_world.FakeServer("p")
        primary.is_primary = True
        primary.max_connections = self.CONNECTIONS
        names = tuple(f"edge{number}" for number in range(self.INSTANCES))
        world = direct_world.World(names, (primary,), config=config)
        world.run(4.0)
        return world

    def run_transactions(self, world: direct_world.World) -> list[bool]:
        """Runs transactions that rest between their statements.

        Returns whether each was served.
        """
        outcomes = []

        def start(number: int) -> None:
            name = world.random.choice(list(world.instances))
            key = f"key{world.random.randrange(self.WORKSPACES)}"
            caller = world.instances[name].caller("db", key)
            script = [
                statements.Begin(f"b{number}", "BEGIN", False),
                statements.Write(f"w{number}", "WRITE 1 x"),
                statements.Commit(f"c{number}", "COMMIT"),
            ]
            if number % 2:
                script = [statements.Write(f"w{number}", "WRITE 1 x")]

            def handle_answer(answer: Answer) -> None:
                if answer.failure is not None or not script:
                    outcomes.append(answer.failure is None)
                    caller.leave()
                    return
                statement = script.pop(0)
                world.schedule(0.1, lambda: caller.send(statement))

            caller.on_answer = handle_answer
            caller.send(script.pop(0))

        for number in range(int(self.OPERATIONS_PER_S * 12.0)):
            delay_s = number / self.OPERATIONS_PER_S
            world.schedule(delay_s, functools.partial(start, number))
        world.run(14.0)
        return outcomes

    def test_room_for_work_while_connections_elsewhere_are_idle(self) -> None:
        world = self.make_world()
        outcomes = self.run_transactions(world)
        refused = outcomes.count(False) / len(outcomes)
        self.assertLessEqual(refused, self.REFUSED_FRACTION)

    def test_statements_need_not_each_open_a_connection(self) -> None:
        # Each instance has a statement a second for one primary. It may have a
        # connection for two thirds of the time.
        world = self.make_world()
        server = world.servers["p"]
        outcomes = []

        def start(number: int) -> None:
            name = world.random.choice(list(world.instances))
            caller = world.instances[name].caller("db", "key0")
            caller.on_answer = outcomes.append
            caller.send(statements.Write(f"w{number}", "WRITE 1 x"))

        for count in range(12 * self.INSTANCES):
            delay_s = count / self.INSTANCES
            world.schedule(delay_s, functools.partial(start, count))
        world.run(13.0)
        opened = sum(each.opened for each in world.instances.values())
        failed = [each for each in outcomes if each.failure is not None]
        self.assertLessEqual(opened / len(outcomes), self.OPENED_FRACTION)
        self.assertLessEqual(len(failed), self.REFUSED_FRACTION * len(outcomes))
        self.assertLessEqual(server.refused, self.REFUSED_FRACTION * opened)

    def test_idle_connections_beyond_the_share_are_given_up(self) -> None:
        world = self.make_world()
        self.run_transactions(world)
        self.assertEqual(world.count_links(world.servers["p"]), 0)


class UnreachablePrimaryTest(unittest.TestCase):
    """A primary that is unreachable from one instance only."""

    RATE = 20.0
    CUT_S = 6.0

    def test_operations_are_refused_at_once(self) -> None:
        world = make_world(("a", "b", "c"))
        # Another instance coordinates and reaches the primary, so it does not
        # replace it.
        instance = world.instances["a"]
        if instance.state.own_lease.epoch:
            instance = world.instances["b"]
        world.cut_pairs.add((instance.name, "p"))
        instance.caller("db").send(statements.Write("w0", "WRITE 1 x"))
        # A failover would be complete by then.
        world.run(5.0)
        callers = []
        for number in range(int(self.RATE * self.CUT_S)):
            caller = instance.caller("db")
            caller.send(statements.Write(f"w{number}", "WRITE 1 x"))
            callers.append((world.now, caller))
            world.run(1 / self.RATE)
        world.run(1.0)
        delayed = 0
        for sent_at, caller in callers:
            self.assertEqual(caller.reasons(), [Reason.OVERLOADED])
            delayed += caller.times[0] - sent_at > 0.1
        # One operation tries the server again after each pause.
        pause_s = instance.state.limits.unreachable_pause_s
        self.assertLessEqual(delayed, self.CUT_S / pause_s + 1)

    def test_operations_succeed_when_it_is_reachable_again(self) -> None:
        world = make_world(("a", "b", "c"))
        instance = world.instances["a"]
        world.cut_pairs.add(("a", "p"))
        instance.caller("db").send(statements.Write("w0", "WRITE 1 x"))
        world.run(4.0)
        world.cut_pairs.clear()
        limits = instance.state.limits
        recovery_s = limits.unreachable_pause_s + limits.connect_timeout_s + 0.1
        sent = []
        for number in range(60):
            caller = instance.caller("db")
            caller.send(statements.Write(f"w{number}", "WRITE 1 x"))
            sent_at = world.now
            world.run(0.05)
            sent.append((sent_at, caller))
        world.run(1.0)
        first_at = sent[0][0]
        for sent_at, caller in sent:
            if sent_at > first_at + recovery_s:
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
            open_now = instance.state.connections.values()
            workspace = "w" if number % 2 else "v"
            self.assertEqual([each.workspace for each in open_now], [workspace])


if __name__ == "__main__":
    unittest.main()
