"""Rate limits of direct service, under the expected loads."""

import unittest
from typing import Any

from cuminwall.direct import (
    answers,
    effects,
    events,
    lender,
    quotas,
    statements,
)
from tests import direct_world, naive_bucket

NAMES = ("a", "b", "c", "d", "e", "f", "g", "h", "i")
REFUSED_FRACTION = 0.01  # Required bound for requests within the rate.
ISOLATED_REFUSED_FRACTION = 0.1  # The same while some instances are cut off.
DISCOVERY_S = 4.0  # Time for the instances to discover each other.


class Load:
    """Reads of one workspace at random times, each from a new caller."""

    def __init__(
        self, world: direct_world.World, weights: dict[str, float], rate: float
    ):
        self.world = world
        self.weights = weights
        self.rate = rate
        self.count = 0
        self.outcomes: list[tuple[float, bool]] = []
        self.callers: dict[str, direct_world.Caller] = {}
        self.until = world.now

    def run(self, seconds: float) -> None:
        """Sends for a while."""
        self.until = self.world.now + seconds
        self._plan()
        self.world.run(seconds + 1.0)

    def refused_fraction(self) -> float:
        """Returns the fraction of the requests that was refused."""
        refused = [at for at, ok in self.outcomes if not ok]
        return len(refused) / max(1, len(self.outcomes))

    def _plan(self) -> None:
        delay_s = self.world.random.expovariate(self.rate)
        if self.world.now + delay_s < self.until:
            self.world.schedule(delay_s, self._send)

    def _send(self) -> None:
        names = list(self.weights)
        weights = list(self.weights.values())
        name = self.world.random.choices(names, weights)[0]
        instance = self.world.instances[name]
        self.count += 1
        request = f"r{self.count}"
        caller = instance.caller("aged")

        def handle_answer(answer: answers.Answer) -> None:
            ok = answer.failure is None
            self.outcomes.append((self.world.now, ok))
            caller.leave()

        caller.on_answer = handle_answer
        caller.send(statements.Read(request, "READ 1"))
        self._plan()


def make_world(
    rate: float, burst: float, seed: int = 1, names: tuple[str, ...] = NAMES
) -> direct_world.World:
    """Returns a world with three fast servers."""
    servers = []
    for name in ("p", "q", "r"):
        server = direct_world.FakeServer(name)
        server.service_s = 0.002
        server.is_primary = name == "p"
        servers.append(server)
    config = direct_world.make_catalog(1, rate, burst)
    world = direct_world.World(names, tuple(servers), seed, config=config)
    world.run(DISCOVERY_S)
    return world


def admitted_times(world: direct_world.World) -> list[float]:
    """Returns when servers ran the requests, in order."""
    times = []
    for server in world.servers.values():
        times.extend(at for _, _, at in server.statements_run)
    return sorted(times)


def times_beyond_limit(
    world: direct_world.World, rate: float, burst: float
) -> list[float]:
    """Returns when requests ran that one bucket would not have admitted."""
    times = admitted_times(world)
    slack = 1.0 + rate * 2 * (0.05 + direct_world.LINK_S)
    naive = naive_bucket.NaiveBucket(rate, burst + slack, times[0])
    return [at for at in times if not naive.take(at)]


class WithinRateTest(unittest.TestCase):
    """Requests of a workspace within its rate are served."""

    def test_small_workspace_spread_over_all(self) -> None:
        # Nine instances get about one request a second each: a fixed share of
        # the burst would not hold a single token.
        world = make_world(18.0, 18.0)
        even = dict.fromkeys(NAMES, 1.0)
        load = Load(world, even, 9.0)
        load.run(30.0)
        self.assertGreater(load.count, 200)
        self.assertLessEqual(load.refused_fraction(), REFUSED_FRACTION)

    def test_uneven_spread(self) -> None:
        world = make_world(40.0, 40.0, 2)
        weights = dict(zip(NAMES, (9, 5, 3, 2, 1, 1, 1, 1, 1), strict=True))
        load = Load(world, weights, 28.0)
        load.run(30.0)
        self.assertLessEqual(load.refused_fraction(), REFUSED_FRACTION)

    def test_uneven_spread_close_to_the_rate(self) -> None:
        # Tokens that one instance does not use must reach the others.
        world = make_world(28.0, 28.0, 3)
        weights = dict(zip(NAMES, (6, 2, 4, 2, 1, 2, 4, 1, 2), strict=True))
        load = Load(world, weights, 22.0)
        load.run(20.0)
        self.assertLessEqual(load.refused_fraction(), REFUSED_FRACTION)

    def test_load_moves_to_other_instances(self) -> None:
        # An instance ends; its callers reconnect to two others.
        world = make_world(40.0, 40.0, 3)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 26.0)
        load.run(10.0)
        load.outcomes.clear()
        weights = dict.fromkeys(NAMES[1:], 1.0)
        weights["b"] = weights["c"] = 3.0
        load.weights = weights
        load.run(10.0)
        self.assertLessEqual(load.refused_fraction(), REFUSED_FRACTION)

    def test_store_down(self) -> None:
        # No instance can take over, so the lender keeps granting shares.
        world = make_world(40.0, 40.0, 7)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 24.0)
        load.run(4.0)
        load.outcomes.clear()
        world.schedule(0.5, lambda: world.set_store(False))
        load.run(8.0)
        self.assertLessEqual(load.refused_fraction(), REFUSED_FRACTION)

    def test_coordinator_and_another_lack_the_store(self) -> None:
        # A third instance becomes coordinator; the two learn that from peers.
        world = make_world(40.0, 40.0, 13)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 25.0)
        load.run(6.0)
        holder = world.coordinator().name
        other = next(name for name in NAMES if name != holder)
        world.instances[holder].has_store = False
        world.instances[other].has_store = False
        world.run(2.0)
        load.outcomes.clear()
        load.run(10.0)
        self.assertLessEqual(load.refused_fraction(), REFUSED_FRACTION)

    def test_operations_that_did_not_run_use_no_token(self) -> None:
        # All servers are unreachable for seconds, as after a power failure.
        world = make_world(10.0, 10.0, 14, names=NAMES[:1])
        instance = world.instances["a"]
        for name in world.servers:
            world.cut_pairs.add(("a", name))
        callers = []
        for number in range(80):
            caller = instance.caller("db")
            caller.send(statements.Write(f"w{number}", "WRITE 1 x"))
            callers.append(caller)
            world.run(0.05)
        world.run(2.0)
        causes = {caller.answers[0].failure.detail for caller in callers}
        rates = [cause for cause in causes if "rate" in cause or "tok" in cause]
        self.assertEqual(rates, [])

    def test_burst_after_an_idle_time(self) -> None:
        # The lender holds the burst, one message away.
        world = make_world(10.0, 10.0, 14, names=NAMES[:1])
        instance = world.instances["a"]
        instance.caller("db").send(statements.Write("first", "WRITE 1 x"))
        world.run(1.5)
        callers = []
        for number in range(8):
            caller = instance.caller("db")
            caller.send(statements.Write(f"x{number}", "WRITE 1 x"))
            callers.append(caller)
        world.run(1.0)
        reasons = [caller.reasons() for caller in callers]
        self.assertEqual(reasons, [[None]] * len(callers))

    def test_all_start_again(self) -> None:
        # The lease of the killed coordinator has not expired yet.
        world = make_world(40.0, 40.0, 12)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 24.0)
        load.run(4.0)
        load.outcomes.clear()
        for name in NAMES:
            world.kill(name)
            world.start(name)
        world.run(0.02)
        load.run(3.0)
        self.assertLessEqual(load.refused_fraction(), REFUSED_FRACTION)

    def test_all_but_one_start_again(self) -> None:
        # One does not come back; the others take half a second to start.
        world = make_world(40.0, 40.0, 15)
        load = Load(world, dict.fromkeys(NAMES[:8], 1.0), 22.0)
        load.run(4.0)
        load.outcomes.clear()
        for name in NAMES:
            world.kill(name)
        for name in NAMES[:8]:
            started = world.start(name)
            started.state.discovery.earlier_request_at -= 0.5
        world.run(0.02)
        load.run(3.0)
        self.assertLessEqual(load.refused_fraction(), REFUSED_FRACTION)

    def test_leaving_instance_serves_until_its_end(self) -> None:
        world = make_world(40.0, 40.0, 8)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 24.0)
        load.run(4.0)
        load.outcomes.clear()
        leaving = world.instances["c"]
        # A session with an open transaction keeps the instance running.
        load.weights = {"c": 1.0}
        load.rate = 6.0
        leaving.caller("db").send(statements.Begin("b", "BEGIN", False))
        leaving.handle_event(events.ShutdownRequested(world.now))
        load.run(2.0)
        self.assertGreater(len(load.outcomes), 5)
        self.assertLessEqual(load.refused_fraction(), REFUSED_FRACTION)


class IsolatedInstancesTest(unittest.TestCase):
    """Instances that reach neither the others nor the store keep serving.

    The usual load of a workspace is its rate divided by 1.6, and the partition
    lasts twelve seconds. The load at the isolated instances is within the
    rate, so their own shares should suffice.
    """

    SEVEN = NAMES[:7]
    CUT_S = 12.0

    def check(self, rate: float, cut: tuple[str, ...], seed: int) -> None:
        world = make_world(rate, rate, seed, names=self.SEVEN)
        load = Load(world, dict.fromkeys(self.SEVEN, 1.0), rate / 1.6)
        load.run(6.0)
        for name in cut:
            world.instances[name].is_isolated = True
            world.instances[name].has_store = False
        load.outcomes.clear()
        load.run(self.CUT_S)
        self.assertLessEqual(load.refused_fraction(), ISOLATED_REFUSED_FRACTION)

    def coordinator(self, rate: float, seed: int) -> str:
        """Returns the coordinator in the world of a seed."""
        world = make_world(rate, rate, seed, names=self.SEVEN)
        return world.coordinator().name

    def others(self, rate: float, seed: int) -> list[str]:
        """Returns the instances other than the coordinator."""
        holder = self.coordinator(rate, seed)
        return [name for name in self.SEVEN if name != holder]

    def test_two_of_seven(self) -> None:
        cut = self.others(70.0, 11)[:2]
        self.check(70.0, tuple(cut), 11)

    def test_two_of_seven_of_a_small_workspace(self) -> None:
        cut = self.others(22.0, 12)[:2]
        self.check(22.0, tuple(cut), 12)

    def test_three_of_seven_with_the_coordinator(self) -> None:
        cut = self.others(70.0, 13)[:2]
        self.check(70.0, (self.coordinator(70.0, 13), *cut), 13)


class BoundTest(unittest.TestCase):
    """No workspace gets more than one bucket with the total limit allows."""

    def check(
        self, world: direct_world.World, rate: float, burst: float
    ) -> None:
        self.assertEqual(times_beyond_limit(world, rate, burst), [])

    def test_hot_workspace(self) -> None:
        # It sends 7.5 times its usual load; the excess over its rate is
        # refused.
        world = make_world(20.0, 20.0, 4)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 95.0)
        load.run(20.0)
        self.check(world, 20.0, 20.0)
        served = len(admitted_times(world))
        self.assertGreaterEqual(served, 0.9 * 20.0 * 20.0)

    def test_hot_while_the_coordinator_dies(self) -> None:
        world = make_world(20.0, 20.0, 5)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 95.0)
        holder = world.coordinator().name
        world.schedule(5.0, lambda: world.kill(holder))
        load.weights.pop(holder)
        load.run(20.0)
        self.check(world, 20.0, 20.0)

    def test_hot_while_the_coordinator_alone_lacks_the_store(self) -> None:
        # It can't know whether another instance has taken over.
        world = make_world(20.0, 20.0, 9)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 95.0)
        cut = world.coordinator()
        world.schedule(5.0, lambda: setattr(cut, "has_store", False))
        load.run(20.0)
        self.check(world, 20.0, 20.0)

    def test_hot_while_the_coordinator_is_cut_off(self) -> None:
        world = make_world(20.0, 20.0, 10)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 95.0)
        cut = world.coordinator()

        def cut_off() -> None:
            cut.has_store = False
            cut.is_isolated = True

        world.schedule(5.0, cut_off)
        load.run(20.0)
        self.check(world, 20.0, 20.0)

    def test_hot_while_most_lack_the_store_with_the_coordinator(self) -> None:
        # It remains the lender of most instances; another becomes the lender
        # of the rest.
        world = make_world(20.0, 20.0, 11)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 95.0)
        holder = world.coordinator().name
        most = [holder, *(name for name in NAMES if name != holder)][:5]

        def cut_off() -> None:
            for name in most:
                world.instances[name].has_store = False

        world.schedule(5.0, cut_off)
        load.run(30.0)
        self.check(world, 20.0, 20.0)

    def test_hot_while_all_start_again(self) -> None:
        world = make_world(20.0, 20.0, 6)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 95.0)

        def restart() -> None:
            for name in NAMES:
                world.kill(name)
                world.start(name)

        world.schedule(5.0, restart)
        load.run(20.0)
        self.check(world, 20.0, 20.0)


class EarlyReportTest(unittest.TestCase):
    """An instance reports before the new coordinator knows that it is."""

    SETTLED_S = 0.3  # Less than the interval between regular requests.

    def test_report_to_a_coordinator_that_does_not_know_it_is(self) -> None:
        world = make_world(40.0, 40.0, 18)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 24.0)
        load.run(2.0)
        for name in NAMES:
            world.kill(name)
            world.start(name)
        late = world.publish_shared

        def publish(name: str, value: bytes | None, revision: int) -> None:
            # Each change reaches the instance that made it 30 ms later.
            maker = (value or b"").partition(b'"instance": "')[2][:1].decode()
            kept = world.instances.pop(maker, None)
            late(name, value, revision)
            if kept is None:
                return
            world.instances[maker] = kept
            event = events.SharedValueSeen(world.now, name, value, revision)
            world.schedule(0.03, lambda: world._publish(kept, event))

        world.publish_shared = publish
        world.run(3.0)
        settled = world.coordinator().log_fields("settled")
        self.assertEqual(len(settled), 1)
        self.assertLessEqual(settled[0]["after_s"], self.SETTLED_S)


class RepeatedClaimTest(unittest.TestCase):
    """The value that names the coordinator is reported twice."""

    def test_shares_are_reported_again_to_a_coordinator_seen_twice(
        self,
    ) -> None:
        world = make_world(40.0, 40.0, 19)
        Load(world, dict.fromkeys(NAMES, 1.0), 24.0).run(2.0)
        name = next(each for each in NAMES if each != world.coordinator().name)
        instance = world.instances[name]
        instance.state.request_pacing.reported_epoch = 0
        out: list[effects.Effect] = []
        for _ in range(2):
            quotas.handle_new_coordinator(instance.state, out)
            instance.state.now += 0.01
        requests = [
            effect.message.is_complete
            for effect in out
            if isinstance(effect, effects.SendToPeer)
        ]
        self.assertEqual(requests, [True, True])


class HeldUpRequestTest(unittest.TestCase):
    """Requests that a partition held up arrive when it ends."""

    def test_it_shows_no_support_for_the_coordinator(self) -> None:
        # Their senders may have followed another coordinator since.
        world = make_world(40.0, 40.0, 21)
        Load(world, dict.fromkeys(NAMES, 1.0), 24.0).run(2.0)
        coordinator = world.coordinator()
        others = [name for name in NAMES if name != coordinator.name]
        held: list[tuple[str, Any]] = []
        deliver = coordinator.handle_event

        def hold(event: Any) -> None:
            if isinstance(event, events.PeerMessageReceived):
                held.append((event.sender, event))
                return
            deliver(event)

        coordinator.handle_event = hold  # type: ignore[method-assign]
        world.run(3.0)
        for _, event in held:
            if event.now < world.now - 1.0:
                deliver(event._replace(now=world.now))
        self.assertGreaterEqual(len({name for name, _ in held}), len(others))
        self.assertEqual(lender.count_supporters(coordinator.state), 1)


class SilentZoneTest(unittest.TestCase):
    """The coordinator is replaced while a zone of many instances is cut off."""

    INSTANCES = 60
    ZONE = 15
    RATE = 120.0

    def test_limits_are_lent_while_a_quarter_is_silent(self) -> None:
        # What the silent ones may hold at most is kept back, not the whole.
        names = tuple(f"edge{number}" for number in range(self.INSTANCES))
        world = make_world(self.RATE, self.RATE, 17, names=names)
        load = Load(world, dict.fromkeys(names, 1.0), self.RATE / 1.6)
        load.run(4.0)
        ended = world.coordinator().name
        others = [name for name in names if name != ended]
        for name in others[: self.ZONE]:
            world.instances[name].is_isolated = True
            world.instances[name].has_store = False
        load.weights = dict.fromkeys(others[self.ZONE :], 1.0)
        load.rate *= 1.0 - self.ZONE / self.INSTANCES
        world.kill(ended)
        world.run(2.5)
        load.outcomes.clear()
        load.run(6.0)
        self.assertLessEqual(load.refused_fraction(), ISOLATED_REFUSED_FRACTION)


class LargeFleetBoundTest(unittest.TestCase):
    """The same bound in a fleet whose silent part is not waited for."""

    INSTANCES = 40
    ZONE = 10
    RATE = 120.0

    def run_cut(self, seed: int, rate: float) -> direct_world.World:
        """Cuts a zone off and ends the coordinator, under a hot load."""
        names = tuple(f"edge{number}" for number in range(self.INSTANCES))
        world = make_world(rate, rate, seed, names=names)
        load = Load(world, dict.fromkeys(names, 1.0), 3.0 * rate)
        ended = world.coordinator().name
        others = [name for name in names if name != ended]

        def cut_off() -> None:
            for name in others[: self.ZONE]:
                world.instances[name].is_isolated = True
                world.instances[name].has_store = False
            world.kill(ended)

        def end_cut() -> None:
            for name in others[: self.ZONE]:
                instance = world.instances[name]
                instance.is_isolated = False
                instance.has_store = True
                world._read_all(instance)

        world.schedule(3.0, cut_off)
        world.schedule(9.0, end_cut)
        load.weights.pop(ended)
        load.run(14.0)
        return world

    def test_hot_while_a_zone_is_silent_at_a_takeover(self) -> None:
        for seed in (21, 22, 23):
            with self.subTest(seed=seed):
                world = self.run_cut(seed, self.RATE)
                late = times_beyond_limit(world, self.RATE, self.RATE)
                self.assertEqual(late, [])

    def test_small_workspace_while_a_zone_is_silent_at_a_takeover(self) -> None:
        for seed in (24, 25, 26):
            with self.subTest(seed=seed):
                world = self.run_cut(seed, 6.0)
                self.assertEqual(times_beyond_limit(world, 6.0, 6.0), [])


class SmallBurstTest(unittest.TestCase):
    """A burst smaller than the number of instances is still used."""

    def test_small_limit_is_used(self) -> None:
        # Nine holders share a burst of 8: in equal shares none had a token.
        world = make_world(8.0, 8.0, 4)
        load = Load(world, dict.fromkeys(NAMES, 1.0), 30.0)
        load.run(20.0)
        served = len(admitted_times(world))
        self.assertGreaterEqual(served, 0.9 * 8.0 * 20.0)

    def test_scarce_tokens_are_not_scattered_over_many_instances(self) -> None:
        # Each of them used to keep a part of a token that served nobody.
        names = tuple(f"edge{number}" for number in range(60))
        world = make_world(5.0, 5.0, 16, names=names)
        load = Load(world, dict.fromkeys(names, 1.0), 60.0)
        load.run(20.0)
        served = len(admitted_times(world))
        self.assertGreaterEqual(served, 0.9 * 5.0 * 20.0)
