"""Rates over several reducers against one naive bucket."""

import unittest
from unittest import mock

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cuminwall import configuration, events, outcomes, sessions
from tests import naive_bucket, world

ZONES = ("a", "b", "c")
NODES = tuple(f"{zone}-{place}" for zone in ZONES for place in range(2))
RATE = 20.0
BURST = 10.0
STARTUP_S = 3.0

nodes = st.sampled_from(NODES)
pauses = st.floats(0.05, 4.0)
loads = st.tuples(
    st.just("load"), nodes, st.integers(5, 40), st.floats(0.0, 0.06)
)
ACTIONS = st.one_of(
    loads,
    loads,
    loads,
    st.tuples(st.just("wait"), pauses),
    st.tuples(st.just("kill"), nodes),
    st.tuples(st.just("join"), st.sampled_from(ZONES)),
    st.tuples(st.just("restart"), nodes),
    st.tuples(st.just("pause"), nodes, pauses),
    st.tuples(st.just("drain"), nodes),
    st.tuples(st.just("cut"), st.sampled_from(ZONES), st.sampled_from(ZONES)),
    st.tuples(st.just("heal")),
    st.tuples(st.just("kill_steward")),
    st.tuples(st.just("store_cut"), st.sampled_from(ZONES)),
)


class Script:
    """Plays requests of one workspace in a world, and notes admissions."""

    def __init__(self, seed: int, rate: float = RATE, burst: float = BURST):
        self.world = world.make_world(seed)
        self.set_limit(rate, burst)
        self.admitted: list[float] = []
        self.seen: set[tuple[str, float, int]] = set()
        self.sessions: dict[str, list[world.Session]] = {}
        self.world.run(STARTUP_S)

    def set_limit(self, rate: float, burst: float) -> None:
        version = max(self.world.documents) + 1
        config = dict(self.world.documents[1])
        config["workspaces"] = {"clerks": {"rate": rate, "burst": burst}}
        self.world.put_config(version, config)

    def send(self, state, number, pending, out):
        """Replaces `sessions.send_to_home` and records each admission."""
        place = (state.instance, state.started_at, number)
        if place not in self.seen:
            self.seen.add(place)
            self.admitted.append(state.now)
        SEND(state, number, pending, out)

    def play(self, action: tuple) -> None:
        with mock.patch.object(sessions, "send_to_home", self.send):
            getattr(self, "do_" + action[0])(*action[1:])
            self.world.run(0.02)

    def session(self, name: str) -> world.Session | None:
        """Returns a session without a request at an instance."""
        found = self.sessions.setdefault(name, [])
        for session in found:
            known = session.node.state.sessions.get(session.number)
            if known is not None and not known.running_round:
                return session
        session = self.world.open(name, "ledger", "key")
        if not isinstance(session, world.Session):
            return None
        found.append(session)
        return session

    def do_load(self, name, count, gap_s):
        if not self.world.nodes[name].is_alive:
            return
        for _ in range(count):
            session = self.session(name)
            if session is not None:
                self.world.send(session)
            self.world.run(gap_s)

    def do_wait(self, duration_s):
        self.world.run(duration_s)

    def do_kill(self, name):
        alive = [n for n in self.world.nodes.values() if n.is_alive]
        if len(alive) > 3:
            self.world.kill(name)

    def do_restart(self, name):
        """An instance dies; one of the same name starts a little later."""
        self.world.kill(name)
        self.sessions.pop(name, None)
        self.world.run(0.1)
        self.world.add_node(name, name[0])

    def do_join(self, zone):
        self.world.add_node(f"{zone}-{len(self.world.nodes)}", zone)

    def do_pause(self, name, duration_s):
        self.world.nodes[name].paused_until = self.world.now + duration_s

    def do_drain(self, name):
        node = self.world.nodes[name]
        node.is_leaving = True
        self.world.feed(node, events.DrainOrdered)

    def do_cut(self, zone, other):
        if zone != other:
            self.world.zone_cuts.add(frozenset((zone, other)))

    def do_store_cut(self, zone):
        self.world.store_cuts.add(zone)

    def do_heal(self):
        self.world.zone_cuts.clear()
        self.world.store_cuts.clear()

    def do_kill_steward(self):
        name = world.steward_of(self.world, "clerks")
        if name:
            self.do_kill(name)

    def refusals(self) -> int:
        """Returns how many requests were refused for their rate."""
        count = 0
        for found in self.sessions.values():
            for session in found:
                for _, end in session.ends:
                    count += end.failure is outcomes.RATE_EXCEEDED
        return count


SEND = sessions.send_to_home


class TotalRateTest(unittest.TestCase):
    """Never more than one bucket for all instances would admit."""

    @settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=60,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        seed=st.integers(0, 1000),
        actions=st.lists(ACTIONS, min_size=5, max_size=25),
    )
    def test_never_more_than_one_bucket_admits(self, seed, actions):
        script = Script(seed)
        naive = naive_bucket.NaiveBucket(RATE, BURST, 0.0)
        for action in actions:
            script.play(action)
        refused = [at for at in script.admitted if not naive.take(at)]
        self.assertEqual(refused, [])

    def test_lowered_rate_holds_everywhere_shortly_after(self):
        script = Script(1, 400.0, 400.0)
        for name in NODES:
            script.play(("load", name, 40, 0.005))
        script.set_limit(RATE, BURST)
        script.play(("wait", 4.0))
        script.admitted.clear()
        for _ in range(3):
            for name in NODES:
                script.play(("load", name, 20, 0.01))
        naive = naive_bucket.NaiveBucket(RATE, BURST, 0.0)
        refused = [at for at in script.admitted if not naive.take(at)]
        self.assertEqual(refused, [])
        self.assertGreater(len(script.admitted), BURST)


class DemandTest(unittest.TestCase):
    """What is within the rate is served wherever it comes."""

    def test_callers_that_roam_are_not_refused(self):
        script = Script(1)
        for name in NODES:
            script.play(("load", name, 48, 0.0625))
        self.assertEqual(script.refusals(), 0)
        self.assertEqual(len(script.admitted), 48 * len(NODES))

    def test_request_over_the_rate_is_refused_as_not_run(self):
        script = Script(1)
        script.play(("load", "a-0", 60, 0.002))
        script.play(("wait", 1.0))
        self.assertGreater(script.refusals(), 30)
        self.assertEqual(outcomes.RATE_EXCEEDED.kind, outcomes.Kind.NOT_RUN)

    def test_withdrawn_key_does_not_run_after_its_wait(self):
        script = Script(1, 1.0, 1.0)
        script.play(("load", "a-0", 2, 0.0))
        config = dict(script.world.documents[1])
        config["keys"] = {}
        parsed = configuration.parse(config, 99)
        node = script.world.nodes["a-0"]
        script.world.feed(node, lambda now: events.ConfigLoaded(now, parsed))
        script.play(("wait", 1.0))
        self.assertEqual(len(script.admitted), 1)

    def test_cut_off_zone_goes_on_with_its_floor(self):
        script = Script(1, 100.0, 100.0)
        steward = world.steward_of(script.world, "clerks")
        name = "b-0" if steward[0] != "b" else "c-0"
        script.play(("load", name, 30, 0.02))
        for zone in ZONES:
            if zone != name[0]:
                script.play(("cut", zone, name[0]))
        script.play(("wait", 8.0))
        bucket = script.world.nodes[name].state.buckets["clerks"]
        now = script.world.now
        self.assertGreater(bucket.share.floor_until, now + 60.0)
        self.assertGreaterEqual(bucket.share.floor[1], 1.0)
        self.assertLess(bucket.share.floor_from, now)

    def test_restarted_instance_has_its_share_at_once(self):
        script = Script(1)
        steward = world.steward_of(script.world, "clerks")
        name = "a-0" if steward[0] != "a" else "b-0"
        # Its successor of the same name counts its asks from the start.
        script.world.nodes[name].state.last_number += 1_000_000
        script.play(("load", name, 20, 0.0625))
        script.play(("restart", name))
        script.play(("wait", 4.0))
        script.play(("load", name, 20, 0.0625))
        self.assertEqual(script.refusals(), 0)
        self.assertEqual(len(script.admitted), 40)

    def test_unused_workspace_costs_no_message(self):
        script = Script(1)
        for node in script.world.nodes.values():
            self.assertEqual(node.state.buckets, {})
        script.play(("load", "a-0", 5, 0.01))
        for session in script.sessions.pop("a-0"):
            number = session.number
            script.world.feed(
                session.node,
                lambda now, number=number: events.SessionClosed(now, number),
            )
        script.play(("wait", 2.0))
        self.assertEqual(script.world.nodes["a-0"].state.buckets, {})


if __name__ == "__main__":
    unittest.main()
