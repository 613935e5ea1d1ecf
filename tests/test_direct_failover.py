"""Tests of changes of primary, as the coordinator decides them."""

import unittest

from cuminwall.direct import events, statements
from cuminwall.direct import groups as reducer_groups
from cuminwall.direct.answers import Reason
from tests import direct_world

NAMES = ("a", "b", "c")
REPLACED_S = 3.0  # Within which a lost primary must be replaced.
# Longest gap in a steady stream of writes: 0.6 s for the promotion itself, and
# twice 0.7 s for the longest status query to a silent server.
MAX_GAP_S = 0.6 + 2 * 0.7
MAX_PLANNED_GAP_S = 2.5  # Longest gap in writes during a planned switchover.


def make_world(seed: int = 1) -> direct_world.World:
    """Returns three instances with a primary and two replicas."""
    servers = []
    for name in ("p", "q", "r"):
        servers.append(direct_world.FakeServer(name))
    servers[0].is_primary = True
    servers[1].lag_s = 0.03
    servers[2].lag_s = 0.06
    world = direct_world.World(NAMES, tuple(servers), seed)
    world.run(4.0)
    return world


class Writers:
    """A caller at each instance that writes repeatedly."""

    def __init__(self, world: direct_world.World, pause_s: float = 0.05):
        self.world = world
        self.pause_s = pause_s
        self.count = 0
        self.acknowledged: list[tuple[float, str]] = []
        self.refused: list[str] = []
        self.is_going = True
        for name in world.instances:
            self.send(name)

    def send(self, name: str) -> None:
        """Sends the next write of an instance's caller."""
        if not self.is_going:
            return
        instance = self.world.instances[name]
        self.count += 1
        request = f"{name}{self.count}"
        caller = instance.caller("db")

        def handle_answer(answer: object) -> None:
            failure = caller.answers[-1].failure
            if failure is None:
                self.acknowledged.append((self.world.now, request))
            elif failure.reason is not Reason.OUTCOME_UNKNOWN:
                self.refused.append(request)
            caller.leave()

        caller.on_answer = handle_answer
        caller.send(statements.Write(request, f"WRITE {request} x"))
        self.world.schedule(self.pause_s, lambda: self.send(name))

    def gap_s(self) -> float:
        """Returns the longest time without an acknowledged write."""
        times = [at for at, _ in self.acknowledged]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        return max(gaps)


class UnreachablePrimaryTest(unittest.TestCase):
    """An unreachable primary is replaced."""

    def test_unreachable_primary(self) -> None:
        world = make_world()
        writers = Writers(world)
        world.run(1.0)
        world.servers["p"].is_unreachable = True
        world.run(4.0)
        self.assertEqual(len(world.promoted), 1)
        self.assertLess(writers.gap_s(), MAX_GAP_S)
        self.assertTrue(world.servers["q"].is_primary)

    def test_entry_gone(self) -> None:
        world = make_world()
        world.servers["p"].is_unreachable = True
        world.remove_entry(world.servers["p"])
        world.run(REPLACED_S)
        self.assertEqual(len(world.promoted), 1)

    def test_one_cut_instance_replaces_nobody(self) -> None:
        world = make_world()
        name = world.coordinator().name
        world.cut_pairs.add((name, "p"))
        Writers(world)
        world.run(5.0)
        self.assertEqual(world.promoted, [])

    def test_coordinator_dies_with_the_primary(self) -> None:
        world = make_world()
        name = world.coordinator().name
        world.servers["p"].is_unreachable = True
        world.kill(name)
        Writers(world)
        world.run(6.0)
        self.assertEqual(len(world.promoted), 1)

    def test_instance_that_lacks_the_store_finds_the_new_primary(self) -> None:
        world = make_world()
        holder = world.coordinator()
        name = next(name for name in NAMES if name != holder.name)
        lacking = world.instances[name]
        lacking.has_store = False
        lacking.handle_event(
            events.StoreStatusReported(world.now, False, "test")
        )
        writers = Writers(world)
        world.run(1.0)
        world.servers["p"].is_unreachable = True
        world.run(REPLACED_S)
        writers.acknowledged.clear()
        world.run(1.0)
        own = [each for _, each in writers.acknowledged if each[0] == name]
        # Each write takes up to 15 ms and the next is sent after 50 ms.
        self.assertGreater(len(own), 10)

    def test_work_that_waited_gets_its_whole_time_at_the_new_primary(
        self,
    ) -> None:
        # A timer set while it waited fires while its transaction is being
        # opened, and must not count as a missing answer.
        world = make_world()
        config = direct_world.make_catalog(2)
        patient = config.routes["db"]._replace(timeout_s=2.0)
        world.configure(config._replace(routes={"db": patient}))
        world.run(0.1)
        instance = world.instances["a"]
        known = instance.state
        group = known.groups["s"]
        warm = instance.caller("db")
        warm.send(statements.Read("w", "READ 1"))
        world.run(0.2)
        reducer_groups.set_primary(known, group, "", "test", [])
        caller = instance.caller("db")
        caller.send(statements.Read("r", "READ 1"))
        wait_s = known.limits.primary_wait_s
        world.run(wait_s - 0.003)
        entry = known.servers["p"].entry
        entry = entry._replace(revision=entry.revision + 1)
        instance.handle_event(events.ServerSeen(world.now, entry))
        world.run(1.0)
        self.assertEqual(caller.reasons(), [None])
        self.assertEqual(instance.log_fields("server_missed"), [])

    def test_lost_answer_of_an_order(self) -> None:
        world = make_world()
        world.promote_answers = False
        world.servers["p"].is_unreachable = True
        Writers(world)
        world.run(6.0)
        fences = [fence for _, _, fence in world.promoted]
        self.assertEqual(len(fences), len(set(fences)))
        self.assertTrue(world.promoted)

    def test_nothing_while_the_store_is_down(self) -> None:
        world = make_world()
        world.set_store(False)
        world.servers["p"].is_unreachable = True
        Writers(world)
        world.run(5.0)
        self.assertEqual(world.promoted, [])
        world.set_store(True)
        world.run(6.0)
        self.assertEqual(len(world.promoted), 1)


class DeafReplicasWorld(direct_world.World):
    """Replicas receive nothing; a promotion changes no other server's log."""

    def lead(self, chosen: direct_world.FakeServer) -> None:
        del chosen.log[chosen.position(self.now).number :]
        chosen.term = 1 + max(each.term for each in self.servers.values())


class AbandonedLogTest(unittest.TestCase):
    """A log that a promotion has abandoned does not lead again."""

    def replace_twice(self, ends_coordinator: bool) -> list[str]:
        """Lets the first primary come back as its successor is lost.

        Returns:
          The servers that were promoted.
        """
        servers = []
        for name in ("p", "q", "r"):
            servers.append(direct_world.FakeServer(name))
            servers[-1].lag_s = 1000.0
        servers[0].is_primary = True
        servers[0].lag_s = 0.0
        world = DeafReplicasWorld(NAMES, tuple(servers), 1)
        world.run(4.0)
        Writers(world)
        world.run(1.0)
        world.servers["p"].is_unreachable = True
        world.run(REPLACED_S)
        new = world.servers[world.promoted[0][1]]
        new.is_unreachable = True
        world.servers["p"].is_unreachable = False
        if ends_coordinator:
            world.kill(world.coordinator().name)
        world.run(2 * REPLACED_S)
        return [server for _, server, _ in world.promoted]

    # A failover must not promote a log that the one before had abandoned.
    def test_abandoned_log_returns(self) -> None:
        promoted = self.replace_twice(False)
        self.assertEqual(len(promoted), 2, promoted)
        self.assertNotIn("p", promoted)

    def test_abandoned_log_returns_at_a_new_coordinator(self) -> None:
        promoted = self.replace_twice(True)
        self.assertEqual(len(promoted), 2, promoted)
        self.assertNotIn("p", promoted)


class SwitchoverTest(unittest.TestCase):
    """A planned switchover loses no acknowledged write."""

    def check(self, world: direct_world.World, writers: Writers) -> None:
        leader = next(s for s in world.servers.values() if s.is_primary)
        committed = {request for _, request, _ in leader.log}
        for _, request in writers.acknowledged:
            self.assertIn(request, committed)
        for request in writers.refused:
            self.assertNotIn(request, committed)
        self.assertLess(writers.gap_s(), MAX_PLANNED_GAP_S)

    def test_leaving_primary(self) -> None:
        world = make_world()
        writers = Writers(world)
        world.run(1.0)
        world.write_entry(world.servers["p"], is_leaving=True)
        world.run(4.0)
        writers.is_going = False
        world.run(2.0)
        self.assertEqual(len(world.promoted), 1)
        self.assertTrue(world.servers["p"].stepped_down)
        self.check(world, writers)

    def test_no_candidate_no_step_down(self) -> None:
        world = make_world()
        for name in ("q", "r"):
            world.remove_entry(world.servers[name])
        world.write_entry(world.servers["p"], is_leaving=True)
        world.run(3.0)
        self.assertEqual(world.promoted, [])
        self.assertFalse(world.servers["p"].stepped_down)


class CoordinatorLeaseTest(unittest.TestCase):
    """At most one instance coordinates at a time."""

    def holders(self, world: direct_world.World) -> list[str]:
        names = []
        for instance in world.instances.values():
            own_lease = instance.state.own_lease
            if (
                instance.is_alive
                and own_lease.epoch
                and world.now < own_lease.valid_until
            ):
                names.append(instance.name)
        return names

    def test_never_two(self) -> None:
        world = make_world()
        for step in range(400):
            if step == 50:
                world.kill(world.coordinator().name)
            if step == 150:
                world.set_store(False)
            if step == 250:
                world.set_store(True)
            world.run(0.05)
            self.assertLessEqual(len(self.holders(world)), 1, step)
        self.assertEqual(len(self.holders(world)), 1)

    def test_lost_answer_of_taking_over(self) -> None:
        world = make_world()
        name = world.coordinator().name
        world.store.lost_answers = 3
        world.kill(name)
        world.run(5.0)
        self.assertEqual(len(self.holders(world)), 1)


if __name__ == "__main__":
    unittest.main()
