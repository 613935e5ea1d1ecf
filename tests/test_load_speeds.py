"""What is learned of the speed of servers, and where reads go by it."""

import heapq
import math
import random
import unittest

from cuminwall.direct import speeds, statements
from cuminwall.load import placement, server_speeds
from tests import direct_world

SERVERS = ("a", "b", "c")
EVEN = 1.0 / len(SERVERS)
SLOTS = 5
SHORT_S = 0.008
LONG_S = 0.04
SPREAD = 0.6  # Of the logarithm of a statement's length.
SLOW = 5.0
READS = 400


class View:
    """What one instance has learned."""

    def __init__(self, instance: str):
        self.instance = instance
        self.speeds = dict.fromkeys(SERVERS, server_speeds.NEUTRAL)
        self.usual: dict[str, server_speeds.Usual] = {}
        self.chosen = 0

    def choose(self, now: float) -> str:
        """Returns the server of the next read."""
        self.chosen += 1
        candidates = []
        for name, speed in self.speeds.items():
            slow = server_speeds.slowdown(speed, now)
            candidates.append(
                placement.Candidate(
                    name, 0, SLOTS, True, True, False, slow, 0.0
                )
            )
        return placement.choose(candidates, self.instance, self.chosen)

    def learn(self, server: str, kind: str, seconds: float, now: float) -> None:
        """Takes the time of an answer into account."""
        usual = self.usual.get(kind, server_speeds.UNKNOWN)
        ratio = server_speeds.ratio_to_usual(usual, seconds)
        if ratio is not None:
            speed = self.speeds[server]
            self.speeds[server] = server_speeds.add_ratio(speed, now, ratio)
        self.usual[kind] = server_speeds.add_usual(usual, now, seconds)


class Load:
    """Reads that instances send at a steady rate to servers of some speed."""

    def __init__(self, instances: int, rate: float):
        self.random = random.Random(7)
        self.views = [View(f"i{number}") for number in range(instances)]
        self.rate = rate
        self.now = 0.0
        self.busy = dict.fromkeys(SERVERS, 0)
        self.finished: list[tuple[float, int, View, str, str, float]] = []
        self.runs: list[tuple[float, str]] = []

    def factor(self, server: str) -> float:
        """Returns how many times longer a server takes now."""
        del server
        return 1.0

    def play(self, seconds: float, length_s: float, kind: str = "k") -> None:
        """Sends reads of one kind."""
        end = self.now + seconds
        while self.now < end:
            self.now += self.random.expovariate(self.rate)
            self.deliver()
            view = self.random.choice(self.views)
            server = view.choose(self.now)
            self.busy[server] += 1
            took_s = length_s * math.exp(self.random.gauss(0.0, SPREAD))
            took_s *= self.factor(server)
            entry = (self.now + took_s, len(self.runs), view, server, kind)
            heapq.heappush(self.finished, (*entry, took_s))
            self.runs.append((self.now, server))

    def deliver(self) -> None:
        """Delivers the answers that are due."""
        while self.finished and self.finished[0][0] <= self.now:
            at, _, view, server, kind, took_s = heapq.heappop(self.finished)
            self.busy[server] -= 1
            view.learn(server, kind, took_s, at)

    def share(self, server: str, since: float, until: float) -> float:
        """Returns the part of the reads that a server got."""
        chosen = [name for at, name in self.runs if since <= at < until]
        return chosen.count(server) / len(chosen)


class SlowLoad(Load):
    """The same; one server takes five times longer between two moments."""

    def __init__(
        self, instances: int, rate: float, begin: float, end: float = math.inf
    ):
        super().__init__(instances, rate)
        self.begin = begin
        self.end = end

    def factor(self, server: str) -> float:
        """Returns how many times longer a server takes now."""
        is_slow = server == "a" and self.begin <= self.now < self.end
        return SLOW if is_slow else 1.0


class EarlySaturatedLoad(Load):
    """The same; one server is slow while half of its slots are busy."""

    def factor(self, server: str) -> float:
        """Returns how many times longer a server takes now."""
        is_full = self.busy[server] > SLOTS / 2
        return SLOW if server == "a" and is_full else 1.0


class SlowServerTest(unittest.TestCase):
    """Load: steady reads; servers of speed 1 : 1 : 5, from now on or for long.

    A server that takes five times longer should get less than half of an even
    share, and its even share again once it is well.
    """

    def test_it_gets_less_than_half_of_an_even_share(self) -> None:
        load = SlowLoad(5, 100.0, 0.0)
        load.play(20.0, LONG_S)
        self.assertLess(load.share("a", 5.0, 20.0), EVEN / 2)

    def test_a_change_is_followed_within_two_seconds(self) -> None:
        load = SlowLoad(5, 100.0, 10.0, 20.0)
        load.play(40.0, LONG_S)
        self.assertGreater(load.share("a", 5.0, 10.0), EVEN / 2)
        self.assertLess(load.share("a", 12.0, 20.0), EVEN / 2)
        # It is tried again by few, and gets its share some half-lives later.
        self.assertGreater(load.share("a", 30.0, 40.0), EVEN / 2)

    def test_sixty_instances_that_see_one_answer_a_second_each(self) -> None:
        load = SlowLoad(60, 60.0, 0.0)
        load.play(40.0, LONG_S)
        self.assertLess(load.share("a", 10.0, 40.0), EVEN / 2)

    def test_one_that_slows_at_half_of_its_slots_gets_less(self) -> None:
        load = EarlySaturatedLoad(20, 180.0)
        load.play(20.0, LONG_S)
        self.assertLess(load.share("a", 5.0, 20.0), 0.8 * EVEN)


class EqualServersTest(unittest.TestCase):
    """Load: the mix turns from short to long statements; no server changes."""

    def test_no_server_is_avoided(self) -> None:
        load = Load(20, 100.0)
        load.play(10.0, SHORT_S, "short")
        load.play(10.0, LONG_S, "long")
        for name in SERVERS:
            self.assertGreater(load.share(name, 10.0, 20.0), 0.8 * EVEN)

    def test_nothing_is_avoided_when_all_turn_slow(self) -> None:
        load = Load(20, 100.0)
        load.play(10.0, SHORT_S)
        load.play(10.0, SHORT_S * SLOW)
        for name in SERVERS:
            self.assertGreater(load.share(name, 10.0, 20.0), 0.8 * EVEN)

    def test_a_server_with_the_longer_statements_is_not_slow(self) -> None:
        view = View("a")
        for number in range(20):
            view.learn("a", "long", LONG_S, 0.1 * number)
            view.learn("b", "short", SHORT_S, 0.1 * number)
        for speed in view.speeds.values():
            self.assertLess(server_speeds.slowdown(speed, 2.0), 1.1)


class EstimateTest(unittest.TestCase):
    """Load: few answers, errors that come fast, answers that do not come."""

    def test_a_single_slow_answer_says_little(self) -> None:
        once = server_speeds.add_ratio(server_speeds.NEUTRAL, 1.0, SLOW)
        self.assertLess(server_speeds.slowdown(once, 1.0), 1.6)

    def test_a_quiet_server_returns_to_neutral(self) -> None:
        known = server_speeds.NEUTRAL
        for number in range(20):
            known = server_speeds.add_ratio(known, 0.1 * number, SLOW)
        self.assertGreater(server_speeds.slowdown(known, 2.0), 3.0)
        self.assertLess(server_speeds.slowdown(known, 17.0), 1.5)

    def test_failures_make_slow(self) -> None:
        known = server_speeds.NEUTRAL
        for number in range(5):
            known = server_speeds.add_failure(known, 0.1 * number)
        self.assertGreater(server_speeds.slowdown(known, 0.5), 2.0)

    def test_a_missing_answer_counts_before_it_comes(self) -> None:
        slow = server_speeds.slowdown(server_speeds.NEUTRAL, 1.0, (6.0, 6.0))
        self.assertGreater(slow, 1.6)

    def test_expected_time_is_the_mean(self) -> None:
        known = server_speeds.NEUTRAL
        for seconds in (0.01, 0.03):
            known = server_speeds.add_time(known, 1.0, seconds)
        self.assertEqual(server_speeds.expected_s(known, 1.0), 0.02)
        self.assertIsNone(server_speeds.expected_s(known, 60.0))


class InstanceTest(unittest.TestCase):
    """Load: five reads at once, ten times a second, at one instance."""

    def setUp(self) -> None:
        servers = tuple(map(direct_world.FakeServer, ("p", "q", "r")))
        servers[0].is_primary = True
        self.world = direct_world.World(("a",), servers)
        self.world.run(4.0)

    def read(self, count: int) -> list[str]:
        """Sends reads; returns which server answered each."""
        world = self.world
        instance = world.instances["a"]
        writer = instance.caller("db")
        callers = [instance.caller("aged") for _ in range(5)]
        for number in range(count):
            statement = statements.Read(f"r{number}", "READ 1")
            callers[number % len(callers)].send(statement)
            if number % len(callers) == 0:
                writer.send(statements.Write(f"w{number}", "WRITE 1 x"))
                world.run(0.1)
        world.run(1.0)
        proofs = []
        for caller in callers:
            proofs += [answer.completion for answer in caller.answers]
        return proofs

    def test_reads_leave_a_slow_replica_and_it_is_logged(self) -> None:
        world = self.world
        world.servers["q"].service_s *= SLOW
        proofs = self.read(READS)
        self.assertLess(proofs.count("proof q"), READS * EVEN / 2)
        logged = world.instances["a"].log_fields("server_slow")
        self.assertEqual({fields["server"] for fields in logged}, {"q"})
        # It may turn usual as its observations grow old, but not at each read.
        self.assertLess(len(logged), 10)

    def test_a_hanging_server_is_slow_before_its_statements_time_out(
        self,
    ) -> None:
        self.read(READS)
        instance = self.world.instances["a"]
        server = instance.state.servers["q"]
        group = instance.state.groups["s"]
        self.world.servers["q"].lose_answers = READS
        instance.caller("db").send(statements.Write("w", "WRITE 1 x"))
        self.world.run(0.1)
        for number in range(9):
            statement = statements.Read(f"h{number}", "READ 1")
            instance.caller("aged").send(statement)
        self.world.run(0.3)
        slowdown = speeds.slowdown(instance.state, group, server)
        self.assertGreater(slowdown, 1.4)
        # The timeouts count as well.
        known = server.speed.log_ratios
        self.world.run(1.0)
        self.assertGreater(server.speed.log_ratios, known)


if __name__ == "__main__":
    unittest.main()
