"""Connections to backend servers over several reducers."""

import unittest
from unittest import mock

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cuminwall import connectionshares, effects, events, shares
from tests import test_faults, world

CONNECTIONS = 20
RESERVED = 2
HOMES = 6
WHOLE = CONNECTIONS - RESERVED - HOMES
NODES = test_faults.NODES
LOADS = st.tuples(st.just("load"), st.sampled_from(NODES), st.integers(1, 30))


class Script(test_faults.Script):
    """Plays loads and faults, and adds connections up all the time."""

    def __init__(self, seed: int):
        super().__init__(seed, "replica")
        self.most = 0.0
        self.watch()

    def watch(self) -> None:
        """Adds up, again and again, what all homes may use and do use."""
        self.add_up()
        self.world.at(0.005, self.watch)

    def add_up(self) -> None:
        for name in self.world.groups["ledger"].servers:
            total = 0.0
            for node in self.world.nodes.values():
                group = node.state.groups.get("ledger")
                if group is None or not node.is_alive:
                    continue
                server = group.servers[name]
                usable = shares.usable(server.share, self.world.now)[0]
                total += max(usable, server.in_use)
            self.most = max(self.most, total)

    def do_load(self, name: str, count: int) -> None:
        """Many readers come at once."""
        if not self.world.nodes[name].is_alive:
            return
        for _ in range(count):
            session = self.world.open(name, "ledger", "key")
            if isinstance(session, world.Session):
                self.world.send(session)


class TotalTest(unittest.TestCase):
    """The sum over all homes."""

    @settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=40,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        seed=st.integers(0, 1000),
        actions=st.lists(
            st.one_of(LOADS, LOADS, test_faults.ACTIONS),
            min_size=5,
            max_size=25,
        ),
    )
    def test_never_more_than_the_total(self, seed, actions):
        script = Script(seed)
        for action in actions:
            script.play(action)
        script.world.run(1.0)
        self.assertLessEqual(script.most, WHOLE)
        self.assertGreater(script.most, 0)


class DemandTest(unittest.TestCase):
    """Connections follow the work."""

    def servers(self, script: Script, name: str) -> dict:
        return script.world.nodes[name].state.groups["ledger"].servers

    def test_each_home_has_one_at_least(self):
        script = Script(1)
        for name in NODES:
            for server in self.servers(script, name).values():
                self.assertGreaterEqual(server.permits, 1)

    def test_busy_home_gets_more(self):
        script = Script(1)
        busy = self.servers(script, "a-0")["sa"]
        busy.in_use = 6
        script.world.run(2.0)
        self.assertGreaterEqual(busy.permits, 6)
        busy.in_use = 0
        other = self.servers(script, "b-0")["sa"]
        other.in_use = 6
        script.world.run(2.0)
        self.assertGreaterEqual(other.permits, 6)
        self.assertLessEqual(busy.permits, 2)
        permits = [self.servers(script, n)["sa"].permits for n in NODES]
        self.assertLessEqual(sum(permits), WHOLE)

    def test_expired_permits_start_no_job_even_before_a_tick(self):
        script = Script(1)
        node = script.world.nodes["a-0"]
        server = self.servers(script, "a-0")["sa"]
        server.in_use = 6
        script.world.run(2.0)
        had = server.permits
        lapsed = events.InstancesListed(server.share.until, ())
        out = world.reducer.reduce(node.state, lapsed)
        self.assertLess(server.permits, had)
        self.assertEqual(server.permits, int(server.share.floor[0]))
        changed = [e for e in out if isinstance(e, effects.SetPermits)]
        self.assertIn(("ledger", "sa", server.permits), changed)

    def test_share_and_floor_outlast_an_unreachable_steward(self):
        script = Script(1)
        script.world.run(2.0)
        for zone in "bc":
            script.do_cut("a", zone)
        script.do_cut_store("a")
        script.world.run(30.0)
        for server in self.servers(script, "a-0").values():
            self.assertGreaterEqual(server.permits, 1)
        script.world.run(200.0)
        held = [s.permits for s in self.servers(script, "a-0").values()]
        shard = world.placement.shard_of("ledger", script.world.shard_count)
        steward = script.world.nodes["a-0"].state.shards[shard].steward
        if steward[0] != "a":
            self.assertEqual(held, [0, 0, 0])

    def test_expired_connection_in_use_counts_while_it_drains(self):
        script = Script(1)
        steward = world.steward_of(script.world, "ledger")
        name = "a-0" if steward[0] != "a" else "b-0"
        busy = self.servers(script, name)["sa"]
        busy.in_use = 6
        script.world.run(2.0)
        for zone in test_faults.ZONES:
            script.do_cut(name[0], zone)
        script.do_cut_store(name[0])
        with mock.patch.object(connectionshares, "SPARE", 20):
            script.world.run(30.0)
            self.assertEqual(busy.permits, 1)
            self.assertLessEqual(script.most, WHOLE)
            busy.in_use = 0
            script.world.run(50.0)
        self.assertLessEqual(script.most, WHOLE)
        rest = 0
        for other in NODES:
            if other[0] != name[0]:
                rest += self.servers(script, other)["sa"].permits
        self.assertEqual(rest, WHOLE - 2)

    def test_leaving_home_releases_its_share(self):
        script = Script(1)
        node = script.world.nodes["a-0"]
        node.is_leaving = True
        script.world.feed(node, events.DrainOrdered)
        script.world.run(3.0)
        self.assertNotIn("ledger", node.state.groups)
        shard = world.placement.shard_of("ledger", script.world.shard_count)
        steward = script.world.nodes[world.steward_of(script.world, "ledger")]
        limits = steward.state.stewardships[shard].limits
        self.assertEqual(len(limits), 3)
        for limit in limits.values():
            for holder, loan in limit.allocations.items():
                if holder.startswith("a-0@"):
                    self.assertEqual((loan.held, loan.floor), ((0.0,), (0.0,)))


if __name__ == "__main__":
    unittest.main()
