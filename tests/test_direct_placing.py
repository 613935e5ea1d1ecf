"""Where work is placed while connections are scarce, under steady loads."""

import unittest

from cuminwall.direct import statements
from tests import direct_world

WORKSPACES = 8
RATE = 40.0  # Requests a second at one instance, all workspaces together.
SINGLE_SERVER_RATE = 100.0  # The same while one server must run everything.
RUN_S = 20.0
OPENED_FRACTION = 0.1  # Connections opened a request; each costs as much work.
SINGLE_SERVER_OPENED_FRACTION = (
    0.5  # Half of the statements find one of their own.
)
SINGLE_SERVER_REFUSED_FRACTION = 0.01


def make_world(connections: int) -> direct_world.World:
    """Returns an instance before three servers, with eight workspaces."""
    config = direct_world.make_catalog()
    plain = config.workspaces["w"]
    workspaces = {}
    keys = {}
    for number in range(WORKSPACES):
        name = f"w{number}"
        workspaces[name] = plain._replace(name=name)
        keys[f"key{number}"] = name
    services = {"s": config.services["s"]._replace(connections=connections)}
    config = config._replace(
        workspaces=workspaces, keys=keys, services=services
    )
    servers = []
    for name in ("p", "q", "r"):
        server = direct_world.FakeServer(name)
        server.is_primary = name == "p"
        servers.append(server)
    world = direct_world.World(("a",), tuple(servers), 3, config=config)
    world.run(4.0)
    return world


def send(
    world: direct_world.World, database: str, count: int, rate: float
) -> float:
    """Sends reads of random workspaces; returns the part that was refused."""
    instance = world.instances["a"]
    callers = []
    # A position of the primary must be known before a replica may read.
    first = instance.caller("db", "key0")
    first.send(statements.Write("first", "WRITE 1 x"))
    world.run(0.1)
    for number in range(count):
        weights = [1.0 / (rank + 1) for rank in range(WORKSPACES)]
        chosen = world.random.choices(range(WORKSPACES), weights)[0]
        caller = instance.caller(database, f"key{chosen}")
        caller.send(statements.Read(f"r{number}", "READ 1"))
        callers.append(caller)
        if number % 20 == 0:
            first.send(statements.Write(f"w{number}", "WRITE 1 x"))
        world.run(world.random.expovariate(rate))
    world.run(1.0)
    reasons = [caller.reasons() for caller in callers]
    return 1.0 - reasons.count([None]) / count


class ScarceConnectionsTest(unittest.TestCase):
    """Eight workspaces, four connections to each of three servers."""

    def test_reads_prefer_servers_with_a_connection_of_their_workspace(
        self,
    ) -> None:
        world = make_world(6)
        count = int(RATE * RUN_S)
        refused = send(world, "aged", count, RATE)
        opened = world.instances["a"].opened
        self.assertLessEqual(opened / count, OPENED_FRACTION)
        self.assertLessEqual(refused, 0.01)

    def test_one_server_is_not_reopened_for_each_statement(self) -> None:
        # All must see every commit, so the primary's four connections serve
        # eight workspaces: each is kept for what waits for it.
        world = make_world(6)
        world.servers["p"].slots = 8
        world.servers["p"].busy_until = [0.0] * 8
        count = int(SINGLE_SERVER_RATE * RUN_S)
        refused = send(world, "db", count, SINGLE_SERVER_RATE)
        opened = world.instances["a"].opened
        self.assertLessEqual(opened / count, SINGLE_SERVER_OPENED_FRACTION)
        self.assertLessEqual(refused, SINGLE_SERVER_REFUSED_FRACTION)

    def test_ended_operations_leave_no_state(self) -> None:
        world = make_world(6)
        instance = world.instances["a"]
        world.servers["p"].is_unreachable = True
        for number in range(20):
            caller = instance.caller("db", f"key{number % WORKSPACES}")
            caller.send(statements.Read(f"r{number}", "READ 1"))
            if number % 2:
                caller.leave()
        world.run(5.0)
        known = instance.state
        self.assertEqual(len(known.operations), 0)
        for server in known.servers.values():
            self.assertEqual(len(server.waiting), 0)


if __name__ == "__main__":
    unittest.main()
