"""Tests of orders that get no answer and are carried out late, or never."""

import unittest

import hypothesis
from hypothesis import strategies

from cuminwall.direct import events
from tests import sync_world, test_direct_failover

NAMES = ("a", "b", "c")
SERVERS = (("p", "z1"), ("q", "z2"), ("r", "z3"))
BACK_S = 0.3  # The primary is back so long after the order.
AWAY_S = 60.0  # Orders that are carried out then come after all of a test.


def make_world(sync_replicas: int = 1) -> sync_world.World:
    """Returns three instances with a primary and two replicas."""
    servers = tuple(sync_world.LoggingServer(*each) for each in SERVERS)
    servers[0].is_primary = True
    servers[1].lag_s = 0.003
    servers[2].lag_s = 0.004
    world = sync_world.World(NAMES, servers, sync_replicas)
    world.run(4.0)
    return world


class UnansweredOrderTest(unittest.TestCase):
    """A primary whose successor was ordered is back before the answer."""

    SYNC_REPLICAS = 1

    def setUp(self) -> None:
        self.world = make_world(self.SYNC_REPLICAS)
        self.primary = self.world.replicas[0]
        self.target = self.primary
        self.writers = test_direct_failover.Writers(self.world)
        self.world.acknowledged = self.acknowledged
        self.world.run(1.0)

    def acknowledged(self) -> set[str]:
        return {request for _, request in self.writers.acknowledged}

    def count_orders(self) -> int:
        """Returns how many orders were given."""
        count = 0
        for instance in self.world.instances.values():
            count += len(instance.log_fields("ordered"))
        return count

    def lose_primary(self, late_s: list[float]) -> None:
        """Lets the primary go, and orders be carried out late.

        Args:
          late_s: After what time each of the next orders is, in seconds.
        """
        self.writers.is_going = False
        self.world.run(0.2)
        self.world.late_orders = list(late_s)
        before = self.count_orders()
        self.world.crash(self.primary)
        self.world.remove_entry(self.primary)
        for _ in range(400):
            if self.count_orders() > before:
                break
            self.world.run(0.01)
        else:
            self.fail("no order was given")
        name = self.world.coordinator().log_fields("ordered")[-1]["target"]
        server = self.world.servers[name]
        assert isinstance(server, sync_world.LoggingServer)
        self.target = server

    def bring_back(self) -> None:
        """Brings the primary back, and the writers."""
        self.world.run(BACK_S)
        self.primary.is_unreachable = False
        self.world.write_entry(self.primary)
        self.writers = test_direct_failover.Writers(self.world)

    def check(self) -> None:
        """Checks that no promotion lost a commit, and that writers go on."""
        self.assertEqual([each for each in self.world.lost if each], [])
        before = len(self.acknowledged())
        self.world.run(3.0)
        self.assertGreater(len(self.acknowledged()), before)


class KeptCommitsTest(UnansweredOrderTest):
    """Commits must be kept: a replica receives each that is acknowledged."""

    # review/6: the change was given up, the replicas were released, and the
    # order deposed the primary later.
    def test_primary_is_back_before_the_answer(self) -> None:
        for late_s in (2.0, 3.0, 5.0, 7.0, 12.0):
            with self.subTest(late_s=late_s):
                self.setUp()
                self.lose_primary([late_s])
                self.world.deafen(self.target, 6.5)
                self.bring_back()
                self.world.run(late_s + 3.0)
                self.check()

    # The successor released the replicas and closed nothing.
    def test_coordinator_goes_after_the_order(self) -> None:
        for late_s in (1.0, 2.0, 2.4, 4.0, 7.0):
            with self.subTest(late_s=late_s):
                self.setUp()
                self.lose_primary([late_s])
                self.world.deafen(self.target, 6.5)
                name = self.world.coordinator().name
                self.world.kill(name)
                self.bring_back()
                self.world.start(name)
                self.world.run(late_s + 3.0)
                self.check()

    # ... also if all instances go.
    def test_all_instances_go_after_the_order(self) -> None:
        self.lose_primary([5.0])
        self.world.deafen(self.target, 6.5)
        for name in NAMES:
            self.world.kill(name)
        self.bring_back()
        for name in NAMES:
            self.world.start(name)
        self.world.run(9.0)
        self.check()

    # ... or loses the store, so that it coordinates no longer.
    def test_coordinator_is_cut_off_from_the_store(self) -> None:
        self.lose_primary([4.0])
        self.world.deafen(self.target, 6.5)
        coordinator = self.world.coordinator()
        coordinator.has_store = False
        event = events.StoreStatusReported(self.world.now, False, "test")
        coordinator.handle_event(event)
        self.bring_back()
        self.world.run(8.0)
        self.check()

    def test_newer_orders_get_no_answer_either(self) -> None:
        self.lose_primary([3.0, 2.0, 6.0])
        self.world.deafen(self.target, 6.5)
        self.bring_back()
        self.world.run(12.0)
        self.check()

    # Nothing is closed while the platform is away, so only what the server of
    # the open order has received may be acknowledged; that may go on.
    def test_writes_go_on_while_the_platform_is_away(self) -> None:
        self.lose_primary([6.0] + [AWAY_S] * 20)
        self.bring_back()
        self.world.run(4.0)
        before = len(self.acknowledged())
        self.world.run(1.5)
        self.assertGreater(len(self.acknowledged()), before + 10)
        self.assertEqual(self.world.promoted, [])
        other = next(
            each
            for each in self.world.replicas
            if each not in (self.primary, self.target)
        )
        self.assertTrue(other.held_term)
        self.world.run(4.0)
        self.assertTrue(self.target.is_primary)
        self.check()

    # The answer to the order that was to close the first was waited for.
    def test_primary_is_lost_again(self) -> None:
        self.lose_primary([6.0, AWAY_S])
        self.bring_back()
        self.world.run(0.5)
        self.assertEqual(self.count_orders(), 2)
        self.world.crash(self.primary)
        self.world.remove_entry(self.primary)
        self.world.run(1.2)
        begun = self.world.coordinator().log_fields("begun")
        self.assertEqual(begun[-1]["cause"], "no primary")
        self.world.run(8.0)
        self.check()

    # Two orders for two servers of one service, both open: that of the first
    # order does not answer, so that the second is for the primary.
    def test_orders_for_two_servers(self) -> None:
        self.lose_primary([5.0, 4.0])
        self.target.is_unreachable = True
        self.bring_back()
        self.world.run(2.5)
        targets = []
        for fields in self.world.coordinator().log_fields("ordered"):
            targets.append(fields["target"])
        self.assertEqual(targets[:2], [self.target.name, self.primary.name])
        self.target.is_unreachable = False
        self.world.run(9.0)
        self.check()

    # The list of open orders in the newest one tells of the other.
    def test_new_processes_know_of_two_open_orders(self) -> None:
        self.lose_primary([5.0] + [AWAY_S] * 20)
        self.target.is_unreachable = True
        self.bring_back()
        self.writers.is_going = False
        self.world.run(1.5)
        orders = self.world.coordinator().log_fields("ordered")
        self.assertEqual(orders[-1]["target"], self.primary.name)
        for name in NAMES:
            self.world.kill(name)
        self.target.is_unreachable = False
        self.target.lag_s = 0.2
        for name in NAMES:
            self.world.start(name)
        self.world.run(1.0)
        self.writers = test_direct_failover.Writers(self.world)
        self.world.run(7.0)
        self.assertTrue(self.target.is_primary)
        self.check()

    # An order for the primary, itself late, would depose the server that the
    # first one has made primary in the meantime.
    def test_both_orders_are_carried_out(self) -> None:
        self.lose_primary([2.0, 4.0] + [AWAY_S] * 20)
        self.primary.lag_s = 5.0
        self.bring_back()
        self.world.run(10.0)
        self.assertTrue(self.target.is_primary)
        self.check()

    # Its order was written, but another primary was known by then.
    def test_primary_is_back_while_the_order_is_written(self) -> None:
        self.writers.is_going = False
        self.world.run(0.2)
        self.world.crash(self.primary)
        self.world.remove_entry(self.primary)
        for _ in range(4000):
            if self.world.coordinator().log_fields("chosen"):
                break
            self.world.run(0.001)
        self.primary.is_unreachable = False
        self.world.write_entry(self.primary)
        entry = self.world.entries[self.primary.name]
        seen = events.ServerSeen(self.world.now, entry)
        self.world.coordinator().handle_event(seen)
        self.world.run(3.0)
        self.assertEqual(self.world.promoted, [])
        self.assertEqual(self.count_orders(), 0)
        self.world.kill(self.world.coordinator().name)
        self.world.run(5.0)
        self.assertEqual(self.count_orders(), 0)


class AsynchronousTest(UnansweredOrderTest):
    """No replica needs to have a commit that is acknowledged."""

    SYNC_REPLICAS = 0

    # It deposed a healthy primary, whose commits since then were gone.
    def test_order_for_the_primary_closes_the_other(self) -> None:
        self.lose_primary([2.0])
        self.bring_back()
        self.world.run(5.0)
        self.assertEqual(self.world.promoted, [])
        self.assertTrue(self.primary.is_primary)
        self.assertEqual(self.count_orders(), 2)
        self.check()

    def test_coordinator_goes_after_the_order(self) -> None:
        self.lose_primary([4.0])
        self.world.kill(self.world.coordinator().name)
        self.bring_back()
        self.world.run(7.0)
        self.assertEqual(self.world.promoted, [])
        self.check()

    # The change that is due closes the open order as well; to close it first
    # would put off what an operator waits for.
    def test_primary_is_to_leave(self) -> None:
        self.lose_primary([4.0, AWAY_S])
        self.world.run(BACK_S)
        self.primary.is_unreachable = False
        self.world.write_entry(self.primary, is_leaving=True)
        self.world.run(0.6)
        orders = self.world.coordinator().log_fields("ordered")
        self.assertEqual(len(orders), 2)
        self.assertNotEqual(orders[-1]["target"], self.primary.name)

    # The platform refuses what a server that does not run should lead; orders
    # for it must not follow each other without a pause.
    def test_primary_is_gone_again(self) -> None:
        self.lose_primary([4.0])
        self.bring_back()
        self.primary.is_unreachable = True
        self.world.run(5.0)
        self.assertTrue(self.world.promoted)
        self.assertLess(self.count_orders(), 7)
        self.check()


class ClosedOrderTest(unittest.TestCase):
    """Nothing is open: nothing is ordered, written or held."""

    def test_answered_order(self) -> None:
        world = make_world()
        world.crash(world.replicas[0])
        world.remove_entry(world.replicas[0])
        world.run(4.0)
        self.assertEqual(len(world.promoted), 1)
        primary = next(each for each in world.replicas if each.is_primary)
        for _ in range(2):
            world.kill(world.coordinator().name)
            world.run(4.0)
            instance = world.coordinator()
            group = instance.state.groups["s"]
            self.assertEqual(group.open_orders, {})
            self.assertEqual(group.primary, primary.name)
            self.assertEqual(instance.log_fields("ordered"), [])
            world.start(
                next(n for n in NAMES if not world.instances[n].is_alive)
            )
            world.run(3.0)
        self.assertEqual(len(world.promoted), 1)

    # An order in the store that an older version gave.
    def test_order_without_the_list_of_open_ones(self) -> None:
        world = make_world()
        value = b'{"server": "p", "above_term": 1, "epoch": 1}'
        world.store.revision += 1
        world.publish_shared("orders/s", value, world.store.revision)
        world.run(3.0)
        self.assertEqual(world.coordinator().log_fields("ordered"), [])

    def test_malformed_list_of_open_orders(self) -> None:
        world = make_world()
        for value in (b'{"server": "q", "above_term": 1, "open": [5]}', b"["):
            world.store.revision += 1
            world.publish_shared("orders/s", value, world.store.revision)
            world.run(0.5)
        notes = world.coordinator().log_fields("malformed_order")
        self.assertEqual(len(notes), 2)
        world.run(2.0)
        self.assertEqual(world.coordinator().log_fields("ordered"), [])


TROUBLES = ("kill", "crash", "deaf", "store", "late", "wait")


class AnyMomentTest(unittest.TestCase):
    """No mix of late orders and other trouble loses an acknowledged commit."""

    @hypothesis.settings(
        derandomize=True, max_examples=80, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.lists(strategies.floats(0.5, 12.0), max_size=3),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(TROUBLES),
                strategies.sampled_from(("p", "q", "r")),
                strategies.floats(0.0, 2.0),
            ),
            max_size=4,
        ),
    )
    def test_every_promotion(
        self, late_s: list[float], troubles: list[tuple[str, str, float]]
    ) -> None:
        world = make_world()
        writers = test_direct_failover.Writers(world, 0.1)
        world.acknowledged = lambda: {each for _, each in writers.acknowledged}
        world.run(0.5)
        world.late_orders = list(late_s)
        primary = world.replicas[0]
        world.crash(primary)
        world.remove_entry(primary)
        world.run(1.2)
        for trouble, name, pause_s in troubles:
            self.apply(world, trouble, name)
            world.run(pause_s)
        self.bring_all_back(world)
        world.run(15.0)
        self.assertEqual([each for each in world.lost if each], [])
        before = len(writers.acknowledged)
        world.run(3.0)
        self.assertGreater(len(writers.acknowledged), before)

    def bring_all_back(self, world: sync_world.World) -> None:
        """Ends all trouble but that of orders."""
        for server in world.replicas:
            if server.is_unreachable:
                server.is_unreachable = False
                world.write_entry(server)
        world.set_store(True)
        for name in NAMES:
            if not world.instances[name].is_alive:
                world.start(name)

    def apply(self, world: sync_world.World, trouble: str, name: str) -> None:
        """Brings about one trouble."""
        server = world.servers[name]
        assert isinstance(server, sync_world.LoggingServer)
        if trouble == "kill":
            alive = [each for each in world.instances.values() if each.is_alive]
            if len(alive) > 1:
                world.kill(alive[0].name)
        elif trouble == "crash":
            if server.is_unreachable:
                server.is_unreachable = False
                world.write_entry(server)
            elif not any(each.is_unreachable for each in world.replicas):
                world.crash(server)
                world.remove_entry(server)
        elif trouble == "deaf":
            world.deafen(server, 8.0)
        elif trouble == "store":
            world.set_store(not world.store.is_up)
        elif trouble == "late":
            world.late_orders.append(2.5)


if __name__ == "__main__":
    unittest.main()
