"""Tests of moments in which much fails at once, under full load."""

import unittest

from cuminwall import lending
from cuminwall.direct import lender, limits, quotas, reach, statements
from tests import direct_world, test_direct_quotas

NAMES = ("a", "b", "c", "d", "e", "f")


class AnnouncementTest(unittest.TestCase):
    """The coordinator is replaced while some instances lack the store."""

    SOON_S = 0.05  # One message, far less than the interval between requests.

    def test_successor_tells_those_that_lack_the_store(self) -> None:
        world = direct_world.World(NAMES)
        world.run(4.0)
        holder = world.coordinator().name
        others = [name for name in NAMES if name != holder]
        lacking = [world.instances[name] for name in others[:2]]
        for instance in lacking:
            instance.has_store = False
        world.kill(holder)
        while world.now < 110.0 and not self._has_successor(world, holder):
            world.run(0.01)
        world.run(self.SOON_S)
        epochs = [each.state.coordinator.epoch for each in lacking]
        self.assertEqual(epochs, [2, 2])

    def _has_successor(self, world: direct_world.World, holder: str) -> bool:
        try:
            return world.coordinator().name != holder
        except LookupError:
            return False


class RecoveredTokensTest(unittest.TestCase):
    """All instances are restarted, and many callers return at once."""

    def test_tokens_add_up_while_the_lender_recovers(self) -> None:
        policy = lending.Policy(
            12.0, 13.0, 0.0, (0.9, 0.6), 0.05, 0.05, (0.0, 0.5), False, True
        )
        limit = lending.Limit((20.0, 20.0), policy, False, 100.0)
        lending.drop_unclaimed(limit, 100.2, 100.7)
        self.assertAlmostEqual(limit.level, 10.0)
        lending.refill(limit, 110.0)
        self.assertEqual(limit.level, 20.0)

    def test_workspace_first_used_later_has_the_tokens_since(self) -> None:
        world = test_direct_quotas.make_world(10.0, 10.0)
        successor = self.replace_coordinator(world)
        load = test_direct_quotas.Load(world, {successor.name: 1.0}, 100.0)
        load.run(0.1)
        self.assertGreater(load.count, 3)
        self.assertEqual(load.refused_fraction(), 0.0)

    def test_nothing_is_credited_if_a_process_asked_an_earlier_lender(
        self,
    ) -> None:
        world = test_direct_quotas.make_world(20.0, 20.0)
        settled = self.replace_coordinator(world).log_fields("settled")
        self.assertEqual(settled[0]["free_s"], 0.0)

    def test_restart_of_all_counts_from_the_last_start(self) -> None:
        world = test_direct_quotas.make_world(20.0, 20.0)
        for name in test_direct_quotas.NAMES:
            world.kill(name)
            world.start(name)
        restarted_at = world.now
        world.run(3.0)
        lent = world.coordinator().state.lender
        assert lent is not None
        self.assertTrue(lent.is_recovered)
        self.assertGreaterEqual(lent.free_since, restarted_at)
        settled = world.coordinator().log_fields("settled")
        self.assertGreater(settled[0]["free_s"], 0.0)

    def test_request_that_was_never_answered_brings_nothing(self) -> None:
        # Processes that start ask the former coordinator, until they know of
        # its end.
        world = test_direct_quotas.make_world(20.0, 20.0)
        holder = world.coordinator().name
        state = world.instances["b" if holder == "a" else "a"].state
        self.assertFalse(quotas._was_answered_earlier(state, 1))
        self.assertTrue(quotas._was_answered_earlier(state, 2))
        started = world.start(state.instance).state
        started.discovery.last_request_epoch = 1
        self.assertFalse(quotas._was_answered_earlier(started, 2))

    def replace_coordinator(
        self, world: direct_world.World
    ) -> direct_world.Instance:
        """Restarts the coordinator alone; returns the settled successor."""
        holder = world.coordinator().name
        world.kill(holder)
        world.start(holder)
        world.run(5.0)
        successor = world.coordinator()
        self.assertEqual(len(successor.log_fields("settled")), 1)
        return successor

    def test_workspace_that_comes_back_has_no_new_burst(self) -> None:
        # A configuration drops it, and the next one has it again.
        world = test_direct_quotas.make_world(10.0, 10.0)
        state = world.coordinator().state
        config = state.catalog
        assert state.lender is not None
        name = lender.RATE_PREFIX + "w"
        limit = lender._find_limit(state, state.lender, name)
        assert limit is not None
        limit.level = 0.0
        state.catalog = config._replace(workspaces={})
        self.assertIsNone(lender._find_limit(state, state.lender, name))
        state.catalog = config
        found = lender._find_limit(state, state.lender, name)
        self.assertIs(found, limit)


class CutZoneTest(unittest.TestCase):
    """An availability zone is cut off while callers still reach it."""

    LATE_S = 0.02

    def make_world(self) -> direct_world.World:
        """Returns a world with a server in each of two zones."""
        near = direct_world.FakeServer("near", "z1")
        far = direct_world.FakeServer("far", "z2")
        far.is_primary = True
        world = direct_world.World(
            NAMES,
            (near, far),
            limits_=limits.DEFAULTS,
            config=direct_world.make_catalog(1, 6.0, 6.0),
        )
        world.run(4.0)
        return world

    def cut(self, world: direct_world.World) -> direct_world.Instance:
        """Cuts one instance off; the others stand for the other zones."""
        holder = world.coordinator().name
        instance = world.instances["b" if holder == "a" else "a"]
        instance.is_isolated = True
        instance.has_store = False
        return instance

    def test_work_without_tokens_is_refused_at_once(self) -> None:
        world = self.make_world()
        instance = self.cut(world)
        world.run(reach.SILENT_S + 0.5)
        caller = instance.caller()
        caller.send(statements.Read("r1", "READ 1"))
        world.run(self.LATE_S)
        self.assertEqual(len(caller.reasons()), 1)
        self.assertIsNotNone(caller.reasons()[0])

    def test_work_is_held_no_longer_than_a_token_may_take(self) -> None:
        # Nothing is lent here, so nothing comes from a share either.
        world = self.make_world()
        routes = {"db": direct_world.route(target_s=0.6)}
        world.configure(world.config._replace(version=2, routes=routes))
        world.run(1.0)
        instance = self.cut(world)
        instance.caller().send(statements.Read("r1", "READ 1"))
        world.run(0.3)
        caller = instance.caller()
        caller.send(statements.Read("r2", "READ 1"))
        world.run(quotas._token_wait_s(instance.state) + self.LATE_S)
        self.assertEqual(len(caller.reasons()), 1)

    def test_cut_off_instance_is_not_ready_and_lets_callers_go(self) -> None:
        world = self.make_world()
        instance = self.cut(world)
        caller = instance.caller()
        self._miss_far(instance)
        world.run(reach.UNCONFIRMED_S + 1.0)
        self.assertIsNotNone(instance.state.discovery.cut_off_since)
        self.assertIn(caller.session, instance.state.sessions)
        world.run(reach.NOTICED_S + 1.0)
        self.assertNotIn(caller.session, instance.state.sessions)
        instance.is_isolated = False
        world.run(1.0)
        self.assertIsNone(instance.state.discovery.cut_off_since)

    def test_outage_of_store_and_coordinator_leaves_all_ready(self) -> None:
        # Servers in another zone answer, so no zone is cut off.
        world = self.make_world()
        world.set_store(False)
        world.kill(world.coordinator().name)
        for instance in world.instances.values():
            self._miss_far(instance)
        for _ in range(20):
            for instance in world.instances.values():
                far = instance.state.servers["far"]
                far.last_answer_at = world.now
            world.run(0.2)
            for instance in world.instances.values():
                self.assertIsNone(instance.state.discovery.cut_off_since)

    def test_silent_coordinator_alone_leaves_all_ready(self) -> None:
        # No server in another zone was missed.
        world = self.make_world()
        instance = self.cut(world)
        world.run(5.0)
        self.assertIsNone(instance.state.discovery.cut_off_since)

    def _miss_far(self, instance: direct_world.Instance) -> None:
        """Marks the server of the other zone as unreachable."""
        far = instance.state.servers["far"]
        far.last_answer_at = instance.state.now - 1.0
        far.unreachable_since = instance.state.now


if __name__ == "__main__":
    unittest.main()
