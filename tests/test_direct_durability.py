"""Tests that a promotion keeps commits that a replica had to receive."""

import unittest

import hypothesis
from hypothesis import strategies

from cuminwall.direct import events
from tests import sync_world, test_direct_failover

NAMES = ("a", "b", "c")
REPLACED_S = test_direct_failover.REPLACED_S
# Of acknowledged writes, once a server that has them all can be promoted: two
# inquiries that fail, the promotion, and two checks of the coordinator.
BACK_S = 3.0


def make_world() -> sync_world.World:
    """Returns three instances with a primary and two replicas."""
    servers = []
    for name, zone in (("p", "z1"), ("q", "z2"), ("r", "z3")):
        servers.append(sync_world.LoggingServer(name, zone))
    servers[0].is_primary = True
    servers[1].lag_s = 0.003
    servers[2].lag_s = 0.004
    world = sync_world.World(NAMES, tuple(servers))
    world.run(4.0)
    return world


def take_out(world: sync_world.World, zone: str, is_out: bool) -> None:
    """Takes an availability zone out, or brings it back."""
    for instance in world.instances.values():
        event = events.EvacuationSeen(world.now, zone, is_out)
        instance.handle_event(event)


class KeptCommitsTest(unittest.TestCase):
    """Only one replica has the last acknowledged commits."""

    def setUp(self) -> None:
        self.world = make_world()
        self.primary, self.holder, self.other = self.world.replicas
        self.writers = test_direct_failover.Writers(self.world)
        self.world.run(1.0)

    def acknowledged(self) -> set[str]:
        return {request for _, request in self.writers.acknowledged}

    def crash_after(self, deaf_s: float) -> set[str]:
        """Crashes the primary; only `holder` has its last commits.

        Returns:
          The writes that were acknowledged before.
        """
        self.world.deafen(self.other, deaf_s + 0.1)
        self.world.run(deaf_s)
        self.world.crash(self.primary)
        return self.acknowledged()

    def check(self, acknowledged: set[str]) -> None:
        """Checks the first promotion and that service is back."""
        self.assertTrue(self.world.logs)
        self.assertEqual(acknowledged - set(self.world.logs[0]), set())
        before = len(self.writers.acknowledged)
        self.world.run(BACK_S)
        self.assertGreater(len(self.writers.acknowledged), before)

    # A failover must not pass over the only replica that has the last
    # acknowledged commits because it is about to leave.
    def test_draining_replica_has_them(self) -> None:
        self.world.write_entry(self.holder, is_leaving=True)
        self.world.run(1.0)
        acknowledged = self.crash_after(1.0)
        self.world.run(REPLACED_S)
        self.check(acknowledged)

    # ... because it is cold.
    def test_cold_replica_has_them(self) -> None:
        self.world.write_entry(self.holder, cold_s=20.0)
        acknowledged = self.crash_after(1.0)
        self.world.run(REPLACED_S)
        self.check(acknowledged)

    # ... because its availability zone was taken out.
    def test_evacuated_replica_has_them(self) -> None:
        take_out(self.world, self.holder.zone, True)
        acknowledged = self.crash_after(1.0)
        self.world.run(REPLACED_S)
        self.check(acknowledged)

    # ... because it did not answer in time.
    def test_silent_replica_has_them(self) -> None:
        for name in NAMES:
            self.world.cut_pairs.add((name, self.holder.name))
        acknowledged = self.crash_after(0.5)
        self.world.run(4.0)
        self.assertEqual(self.world.promoted, [])
        waiting = self.world.coordinator().log_fields("awaiting_logs")
        self.assertIn(self.holder.name, waiting[-1]["missing"])
        self.world.cut_pairs.clear()
        self.world.run(REPLACED_S)
        self.check(acknowledged)

    # ... because its entry is gone while its successor starts.
    def test_successor_of_a_departed_replica_has_them(self) -> None:
        acknowledged = self.crash_after(0.5)
        self.holder.is_unreachable = True
        self.world.remove_entry(self.holder)
        self.world.run(4.0)
        self.assertEqual(self.world.promoted, [])
        self.holder.is_unreachable = False
        self.world.write_entry(self.holder)
        self.world.run(REPLACED_S)
        self.check(acknowledged)

    def test_departed_replica_is_not_waited_for_for_ever(self) -> None:
        self.world.crash(self.holder)
        self.world.remove_entry(self.holder)
        self.world.run(9.0)
        self.world.crash(self.primary)
        self.world.run(REPLACED_S)
        self.assertEqual(len(self.world.logs), 1)
        lost = self.acknowledged() - set(self.world.logs[0])
        self.assertEqual(lost, set())

    # Callers get an answer at once while no server may be promoted.
    def test_writes_are_refused_meanwhile(self) -> None:
        for name in NAMES:
            self.world.cut_pairs.add((name, self.holder.name))
        self.crash_after(0.5)
        self.world.run(4.0)
        refused = len(self.writers.refused)
        self.world.run(1.0)
        self.assertGreater(len(self.writers.refused), refused + 10)

    def test_only_replica_that_answers_is_enough_without_the_setting(
        self,
    ) -> None:
        service = self.world.config.services["s"]._replace(sync_replicas=0)
        config = self.world.config._replace(services={"s": service}, version=2)
        self.world.configure(config)
        for name in NAMES:
            self.world.cut_pairs.add((name, self.holder.name))
        self.crash_after(0.5)
        self.world.run(REPLACED_S)
        self.assertEqual(len(self.world.promoted), 1)


class KeptCommitsSwitchoverTest(unittest.TestCase):
    """A planned switchover of a service whose commits are replicated."""

    def setUp(self) -> None:
        self.world = make_world()
        self.primary, self.near, self.far = self.world.replicas
        self.writers = test_direct_failover.Writers(self.world)
        self.world.run(1.0)

    def test_leaving_primary(self) -> None:
        self.world.write_entry(self.primary, is_leaving=True)
        self.world.run(4.0)
        acknowledged = {each for _, each in self.writers.acknowledged}
        self.assertEqual(len(self.world.promoted), 1)
        self.assertTrue(self.primary.stepped_down)
        leader = next(each for each in self.world.replicas if each.is_primary)
        in_log = set(leader.received(self.world.now))
        self.assertEqual(acknowledged - in_log, set())
        gap_s = self.writers.gap_s()
        self.assertLess(gap_s, test_direct_failover.MAX_PLANNED_GAP_S)

    # Its successor would lack commits, and nobody could write until it has
    # them.
    def test_primary_leads_until_a_replica_that_stays_is_near(self) -> None:
        self.world.write_entry(self.near, is_leaving=True)
        self.world.deafen(self.far, 3.0)
        self.world.run(0.5)
        self.world.write_entry(self.primary, is_leaving=True)
        self.world.run(2.0)
        self.assertFalse(self.primary.stepped_down)
        self.assertEqual(self.world.promoted, [])
        self.world.run(4.0)
        self.assertEqual([each[1] for each in self.world.promoted], ["r"])
        acknowledged = {each for _, each in self.writers.acknowledged}
        in_log = set(self.far.received(self.world.now))
        self.assertEqual(acknowledged - in_log, set())


class UnreachableButAliveTest(unittest.TestCase):
    """The primary is out of reach of most instances, and goes on."""

    def setUp(self) -> None:
        self.world = make_world()
        self.primary, self.near, self.far = self.world.replicas
        self.near.lag_s = 0.002
        self.world.accepts_orders_at_once = True
        self.writers = test_direct_failover.Writers(self.world)
        self.world.run(1.0)
        name = self.world.coordinator().name
        other = next(each for each in NAMES if each != name)
        self.cut = {(name, "p"), (other, "p")}
        self.world.cut_pairs.update(self.cut)

    def run_until(self, event: str) -> None:
        """Runs until the coordinator has logged an event."""
        coordinator = self.world.coordinator()
        for _ in range(400):
            if coordinator.log_fields(event):
                return
            self.world.run(0.01)
        self.fail(f"no {event}")

    # It acknowledged commits after the choice that only the other replica had.
    def test_commits_between_the_choice_and_the_promotion(self) -> None:
        self.run_until("chosen")
        target = self.world.coordinator().log_fields("chosen")[-1]["target"]
        chosen = self.world.servers[target]
        assert isinstance(chosen, sync_world.LoggingServer)
        self.world.deafen(chosen, 2.0)
        while not self.world.logs:
            self.world.run(0.01)
        acknowledged = {each for _, each in self.writers.acknowledged}
        self.assertEqual(acknowledged - set(self.world.logs[0]), set())

    # Replicas that were told to receive nothing would stop all writes.
    def test_coordinator_ends_before_it_has_ordered(self) -> None:
        self.run_until("held")
        self.world.kill(self.world.coordinator().name)
        self.world.cut_pairs.clear()
        self.world.run(5.0)
        for server in self.world.replicas:
            self.assertEqual(server.held_term, 0)
        before = len(self.writers.acknowledged)
        self.world.run(1.0)
        self.assertGreater(len(self.writers.acknowledged), before)


ACTIONS = (
    "leave",
    "cold",
    "evacuate",
    "cut",
    "lose_order",
    "kill_coordinator",
    "deaf",
)


class AnyTroubleTest(unittest.TestCase):
    """No mix of trouble makes a promotion lose an acknowledged commit."""

    @hypothesis.settings(
        derandomize=True, max_examples=60, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(ACTIONS),
                strategies.sampled_from(("q", "r")),
                strategies.floats(0.0, 1.5),
            ),
            max_size=4,
        ),
        strategies.sampled_from(("q", "r")),
        strategies.floats(0.0, 1.0),
        strategies.booleans(),
    )
    def test_first_promotion(
        self,
        troubles: list[tuple[str, str, float]],
        deaf: str,
        deaf_s: float,
        crashes: bool,
    ) -> None:
        world = make_world()
        world.accepts_orders_at_once = True
        primary = world.replicas[0]
        writers = test_direct_failover.Writers(world)
        world.run(0.5)
        for action, name, pause_s in troubles:
            self.apply(world, action, name)
            world.run(pause_s)
        server = world.servers[deaf]
        assert isinstance(server, sync_world.LoggingServer)
        world.deafen(server, deaf_s + 0.1)
        world.run(deaf_s)
        if world.promoted:
            return
        if crashes:
            world.crash(primary)
        else:
            for name in NAMES[:2]:
                world.cut_pairs.add((name, primary.name))
        cut_until = world.now + 3.0
        acknowledged: set[str] = set()
        for _ in range(1500):
            if world.logs:
                break
            acknowledged = {each for _, each in writers.acknowledged}
            if world.now >= cut_until:
                world.cut_pairs.clear()
                world.promote_answers = True
            world.run(0.01)
        if crashes:
            self.assertTrue(world.logs)
        if world.logs:
            self.assertEqual(acknowledged - set(world.logs[0]), set())

    def apply(self, world: sync_world.World, action: str, name: str) -> None:
        """Brings about one trouble."""
        server = world.servers[name]
        assert isinstance(server, sync_world.LoggingServer)
        if action == "leave":
            world.write_entry(server, is_leaving=True)
        elif action == "cold":
            world.write_entry(server, cold_s=20.0)
        elif action == "evacuate":
            take_out(world, server.zone, True)
        elif action == "cut":
            for instance in world.instances:
                world.cut_pairs.add((instance, name))
        elif action == "lose_order":
            world.promote_answers = False
        elif action == "kill_coordinator":
            if sum(each.is_alive for each in world.instances.values()) > 2:
                world.kill(world.coordinator().name)
        elif action == "deaf":
            world.deafen(server, 0.5)


if __name__ == "__main__":
    unittest.main()
