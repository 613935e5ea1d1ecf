"""Lending in large fleets on small machines, when all callers come at once."""

import unittest
from typing import Any

from cuminwall.direct import catalog, lender, messages, statements
from tests import direct_world, slow_world

WORKSPACES = 80
OPERATIONS_PER_S = 1200.0  # Of all callers, whose tokens suffice for half.
OBSERVED_S = 6.0
SETTLED_S = 2.0
RESTART_AFTER_S = 3.0
# A process that is asked this often is not busy with its answers.
MAX_REQUESTS_PER_S = 1000.0


def make_catalog(
    total_rate: float = OPERATIONS_PER_S / 2,
) -> catalog.Catalog:
    """Returns a configuration with a few large and many small workspaces.

    Args:
      total_rate: Operations a second that all workspaces together may run.
    """
    config = direct_world.make_catalog()
    workspaces = {}
    keys = {}
    weights = [1.0 / (3 + number) for number in range(WORKSPACES)]
    for number, weight in enumerate(weights):
        name = f"w{number}"
        rate = max(3.0, total_rate * weight / sum(weights))
        workspaces[name] = catalog.Workspace(name, rate, rate, 1)
        keys[f"key{number}"] = name
    services = {"s": config.services["s"]._replace(connections=10_000)}
    return config._replace(workspaces=workspaces, keys=keys, services=services)


def make_server(service_s: float = 0.01) -> direct_world.FakeServer:
    """Returns a primary that runs any number of statements at once.

    Args:
      service_s: The mean time that one statement takes.
    """
    server = direct_world.FakeServer("p")
    server.is_primary = True
    server.slots = 1000
    server.busy_until = [0.0] * server.slots
    server.service_s = service_s
    return server


class Crowd:
    """Callers of all workspaces that come back when they are refused."""

    def __init__(self, world: slow_world.SlowWorld, rate: float):
        self.world = world
        self.rate = rate
        self.is_over = False
        self.count = 0
        self.served = 0
        self.refused = 0

    def start(self) -> None:
        """Sends operations from now on."""
        self._send()

    def _send(self) -> None:
        if self.is_over:
            return
        world = self.world
        self.count += 1
        name = world.random.choice(list(world.instances))
        number = int(WORKSPACES * world.random.random() ** 2)
        self._call(name, f"key{number}", 2)
        world.schedule(world.random.expovariate(self.rate), self._send)

    def _call(self, name: str, key: str, retries: int) -> None:
        caller = self.world.instances[name].caller("aged", key)
        if caller.refusal is not None:
            return

        def handle_answer(answer: Any) -> None:
            caller.leave()
            if answer.failure is None:
                self.served += 1
                return
            self.refused += 1
            if retries:
                other = self.world.random.choice(list(self.world.instances))
                delay_s = self.world.random.uniform(0.05, 0.3)
                self.world.schedule(
                    delay_s, lambda: self._call(other, key, retries - 1)
                )

        caller.on_answer = handle_answer
        request = f"r{self.count}.{retries}"
        caller.send(statements.Read(request, "READ 1"))


class ColdStartTest(unittest.TestCase):
    """All instances start in the same second, under full load."""

    def test_lending_comes_back_after_all_lost_power_30(self) -> None:
        self.check(30)

    def test_lending_comes_back_after_all_lost_power_100(self) -> None:
        self.check(100)

    def test_lending_comes_back_after_all_lost_power_300(self) -> None:
        self.check(300)

    def check(self, size: int) -> None:
        names = tuple(f"edge{number}" for number in range(size))
        server = make_server(0.002)
        world = slow_world.SlowWorld(
            names, (server,), size, config=make_catalog()
        )
        crowd = Crowd(world, OPERATIONS_PER_S)
        crowd.start()
        world.run(RESTART_AFTER_S)
        for name in names:
            world.kill(name)
        for name in names:
            world.start(name)
        world.machines.clear()
        # The lease of the coordinator that was killed may last this long.
        world.run(world.limits.instance_lease_s)
        crowd.served = crowd.refused = 0
        world.run(OBSERVED_S)
        crowd.is_over = True
        taken = []
        settled = []
        for instance in world.instances.values():
            taken.extend(instance.log_fields("took_over"))
            settled.extend(instance.log_fields("settled"))
        self.assertEqual(len(taken), 1, taken)
        self.assertEqual([each["epoch"] for each in settled], [2])
        self.assertLessEqual(settled[0]["after_s"], SETTLED_S)
        self.assertGreater(crowd.served, OBSERVED_S * OPERATIONS_PER_S / 4)
        received = world.machine(world.coordinator()).received
        count = received[messages.ShareRequest]
        self.assertLessEqual(
            count / (OBSERVED_S + world.limits.instance_lease_s),
            MAX_REQUESTS_PER_S,
        )


class TokenDelayTest(unittest.TestCase):
    """Many instances, each with a few operations a second."""

    INSTANCES = 195
    OPERATIONS_PER_S = 586.0
    TOKENS_PER_S = 2400.0  # So that no workspace is near its limit.
    # Of the tightest target latency in the configuration.
    MAX_FRACTION = 1 / 3

    def test_tokens_do_not_come_late_in_a_large_fleet(self) -> None:
        # Most operations find no token at their instance, and the next one
        # comes much later than their targets.
        names = tuple(f"edge{number}" for number in range(self.INSTANCES))
        server = make_server()
        config = make_catalog(self.TOKENS_PER_S)
        world = slow_world.SlowWorld(names, (server,), 7, config=config)
        world.run(3.0)
        crowd = Crowd(world, self.OPERATIONS_PER_S)
        crowd.start()
        world.run(1.0)
        for instance in world.instances.values():
            instance.notes.clear()
        received = world.machine(world.coordinator()).received
        received.clear()
        world.run(OBSERVED_S)
        crowd.is_over = True
        delays = []
        for instance in world.instances.values():
            for fields in instance.log_fields("answered"):
                delays.append(fields["token_ms"] / 1000)
        delays.sort()
        target_s = min(route.target_s for route in world.config.routes.values())
        self.assertGreater(len(delays), self.OPERATIONS_PER_S * OBSERVED_S / 2)
        late = delays[int(0.9 * len(delays))]
        self.assertLessEqual(late, self.MAX_FRACTION * target_s)
        count = received[messages.ShareRequest]
        self.assertLessEqual(count / OBSERVED_S, MAX_REQUESTS_PER_S)


class CoordinatorChangeTest(unittest.TestCase):
    """The coordinator loses the store while all instances are under load."""

    INSTANCES = 84

    def test_reports_do_not_hold_up_the_new_coordinator(self) -> None:
        # All instances report to it in the same moment. It must go on renewing
        # its lease, and the others must not have to ask less often than an
        # operation may wait for its token.
        names = tuple(f"edge{number}" for number in range(self.INSTANCES))
        server = make_server(0.002)
        world = slow_world.SlowWorld(names, (server,), 5, config=make_catalog())
        crowd = Crowd(world, OPERATIONS_PER_S / 3)
        crowd.start()
        world.run(9.0)
        former = world.coordinator()
        former.has_store = False
        world.run(5.5)
        crowd.is_over = True
        coordinator = world.coordinator()
        self.assertIsNot(coordinator, former)
        self.assertEqual(coordinator.log_fields("lease_lapsed"), [])
        lines = coordinator.log_fields("load")
        limits = world.limits
        slowest_ms = max(line["slowest_renewal_ms"] for line in lines)
        self.assertLess(slowest_ms, 1000 * limits.instance_lease_s / 2)
        interval_s = self.INSTANCES / lender.MAX_REQUESTS_PER_S
        for line in lines:
            self.assertLess(line["slowdown"] * interval_s, limits.token_wait_s)

    def test_pace_recovers_with_the_store(self) -> None:
        # A slow store slows the renewals too. Two seconds after it is back, the
        # instances ask as often as before.
        world = direct_world.World(("a", "b"))
        world.run(3.0)
        known = world.coordinator().state
        for _ in range(20):
            lender.adapt_pace(known, 1.0)
        renewals = int(SETTLED_S / known.limits.lease_renew_s)
        for _ in range(renewals):
            lender.adapt_pace(known, 0.01)
        assert known.lender is not None
        self.assertEqual(known.lender.slowdown, 1.0)


if __name__ == "__main__":
    unittest.main()
