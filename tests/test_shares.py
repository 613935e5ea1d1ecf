"""Lent shares under any mix of faults: never more than the whole."""

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cuminwall import lending, messages, shares
from tests import naive_bucket, share_world

NAMES = tuple(f"i{place}" for place in range(4))
SLACK = 1e-6

names = st.sampled_from(NAMES)
pauses = st.floats(0.02, 3.0)
ACTIONS = st.one_of(
    st.tuples(st.just("wait"), pauses),
    st.tuples(st.just("load"), names, st.integers(1, 30), st.floats(0.0, 0.1)),
    st.tuples(st.just("load"), names, st.integers(1, 30), st.floats(0.0, 0.1)),
    st.tuples(st.just("want"), names, st.integers(0, 20)),
    st.tuples(st.just("pause"), names, pauses),
    st.tuples(st.just("restart"), names),
    st.tuples(st.just("cut"), names),
    st.tuples(st.just("heal")),
    st.tuples(st.just("lose"), st.integers(1, 4)),
    st.tuples(st.just("slow"), names, st.integers(1, 6)),
    st.tuples(st.just("deaf"), names),
    st.tuples(st.just("contend"), names),
    st.tuples(st.just("contend"), names),
    st.tuples(st.just("replace"), st.floats(0.0, 4.0)),
)
SCRIPTS = st.lists(ACTIONS, min_size=5, max_size=40)
GENERATED = {
    "derandomize": True,
    "deadline": None,
    "database": None,
    "max_examples": 250,
    "suppress_health_check": list(HealthCheck),
}


class Script:
    """Plays actions on one limit."""

    def __init__(self, whole: tuple[float, ...], seed: int):
        self.world = share_world.ShareWorld(whole, len(NAMES), seed)
        self.world.run(1.0)

    def play(self, actions: list[tuple]) -> share_world.ShareWorld:
        for action in actions:
            holder = None
            if len(action) > 1 and action[1] in NAMES:
                holder = self.world.find(action[1])
            getattr(self, "do_" + action[0])(holder, *action[1:])
            self.world.run(0.01)
        self.world.run(2.0)
        return self.world

    def do_wait(self, _holder, duration_s):
        self.world.run(duration_s)

    def do_load(self, holder, _name, count, gap_s):
        for _ in range(count):
            if self.world.now >= holder.paused_until:
                self.world.request(holder)
            self.world.run(gap_s)

    def do_want(self, holder, _name, amount):
        holder.wanted = float(amount)

    def do_pause(self, holder, _name, duration_s):
        holder.paused_until = self.world.now + duration_s

    def do_restart(self, holder, name):
        holder.is_alive = False
        self.world.join(name)

    def do_cut(self, holder, _name):
        holder.is_cut = True

    def do_heal(self, _holder):
        for holder in self.world.holders.values():
            holder.is_cut = False
            holder.loses_replies = False

    def do_lose(self, _holder, count):
        self.world.losses += count

    def do_slow(self, holder, _name, count):
        holder.slow_count += count

    def do_deaf(self, holder, _name):
        """Its asks are heard, the answers are not."""
        holder.loses_replies = True

    def do_contend(self, holder, name):
        """This instance wants all, the others nothing."""
        for other in self.world.holders.values():
            other.wanted = 0.0
        holder.wanted = 40.0
        self.do_load(holder, name, 40, 0.01)

    def do_replace(self, _holder, gap_s):
        self.world.replace_lender(gap_s)


class SharedRatesTest(unittest.TestCase):
    """All buckets together against one naive bucket."""

    @settings(**GENERATED)
    @given(
        whole=st.tuples(st.sampled_from([2, 10, 40]), st.integers(1, 40)),
        seed=st.integers(0, 1000),
        actions=SCRIPTS,
    )
    def test_never_more_than_one_bucket_admits(self, whole, seed, actions):
        whole = (float(whole[0]), float(whole[1]))
        script = Script(whole, seed)
        naive = naive_bucket.NaiveBucket(*whole, 100.0)
        world = script.play(actions)
        refused = [at for at in world.admitted if not naive.take(at)]
        self.assertEqual(refused, [])
        for most, allowed in zip(world.max_held, whole, strict=True):
            self.assertLessEqual(most, allowed + SLACK)
        self.assertLessEqual(world.max_level, whole[1] + SLACK)

    def test_bucket_and_interval_bound_agree(self):
        admitted = [1.0, 1.0, 1.5, 2.0, 2.0]
        naive = naive_bucket.NaiveBucket(2.0, 2.0, 1.0)
        taken = [naive.take(at) for at in admitted]
        self.assertEqual(taken, [True, True, True, True, False])
        self.assertGreater(naive_bucket.excess(2.0, 2.0, admitted), 0)
        self.assertLessEqual(naive_bucket.excess(2.0, 2.0, admitted[:4]), 0)


class SharedConnectionsTest(unittest.TestCase):
    """Whole numbers, by demand."""

    @settings(**GENERATED)
    @given(whole=st.integers(1, 20), seed=st.integers(0, 1000), actions=SCRIPTS)
    def test_never_more_than_the_total(self, whole, seed, actions):
        world = Script((float(whole),), seed).play(actions)
        self.assertLessEqual(world.max_held[0], whole)

    def test_demand_moves_the_connections(self):
        world = share_world.ShareWorld((20.0,), 4, 1)
        world.find("i0").wanted = 20.0
        world.run(2.0)
        self.assertEqual(world.find("i0").held(world.now), (14.0,))
        world.find("i0").wanted = 0.0
        world.find("i1").wanted = 20.0
        world.run(2.0)
        self.assertEqual(world.find("i1").held(world.now), (14.0,))
        self.assertEqual(world.find("i0").held(world.now), (2.0,))

    def test_equal_demand_divides_all_of_it(self):
        world = share_world.ShareWorld((10.0,), 4, 1)
        for holder in world.holders.values():
            holder.wanted = 20.0
        world.run(2.0)
        held = [each.held(world.now)[0] for each in world.holders.values()]
        self.assertEqual(sorted(held), [2.0, 2.0, 3.0, 3.0])

    def test_cut_off_home_keeps_its_floor_alone(self):
        world = share_world.ShareWorld((12.0,), 3, 1)
        cut = world.find("i0")
        cut.wanted = 12.0
        world.run(2.0)
        cut.is_cut = True
        world.run(2.5)
        self.assertEqual(cut.held(world.now), (2.0,))
        world.run(6.0)
        self.assertEqual(cut.held(world.now), (0.0,))


class LenderTest(unittest.TestCase):
    """One lender of connections, ask by ask."""

    def setUp(self):
        self.limit = self.begin(True, 0.0)

    def begin(self, is_first, now):
        policy = share_world.CONNECTIONS_POLICY._replace(floor_fraction=0.1)
        return lending.Limit((10.0,), policy, is_first, now)

    def ask(self, holder, number, now, wanted, held=0.0, floor=0.0):
        line = messages.ShareReport(
            "limit",
            number - 1,
            (held,),
            (floor,),
            (wanted,),
            0.0,
            0.0,
            0.0,
            0.0,
            False,
        )
        grant = lending.handle_report(self.limit, holder, number, line, now)
        return grant.held[0], grant.floor[0]

    def test_late_report_of_an_expired_share_is_granted_nothing(self):
        first, _ = self.ask("a", 1, 0.0, 10.0)
        self.assertGreaterEqual(first, 5.0)
        self.ask("b", 1, 3.0, 10.0)
        got, floor = self.ask("b", 2, 3.1, 10.0)
        late, late_floor = self.ask("a", 2, 3.2, 10.0, held=first)
        self.assertLessEqual(got + floor + late + late_floor, 10.0)

    def test_claimed_share_moves_before_earlier_leases_have_expired(self):
        self.limit = self.begin(False, 0.0)
        self.ask("a", 5, 0.1, 9.0, held=9.0, floor=1.0)
        self.assertEqual(self.ask("b", 5, 0.2, 9.0), (0.0, 0.0))
        self.ask("a", 6, 0.3, 0.0, held=9.0, floor=1.0)
        self.ask("a", 7, 0.4, 0.0, held=2.0, floor=1.0)
        got, _ = self.ask("b", 6, 0.5, 9.0)
        self.assertGreaterEqual(got, 5.0)

    def test_floor_of_a_dead_holder_is_reclaimed(self):
        self.ask("a", 1, 0.0, 10.0)
        self.ask("b", 1, 5.0, 10.0)
        self.assertLess(sum(self.ask("b", 2, 5.9, 10.0)), 10.0)
        self.assertEqual(sum(self.ask("b", 3, 7.0, 10.0)), 10.0)
        self.assertEqual(list(self.limit.loans), ["b"])


class ShareTest(unittest.TestCase):
    """A holder's part."""

    def test_only_the_reply_to_the_latest_request_is_accepted(self):
        line = shares.Share("limit", 1)
        grant = messages.ShareGrant("limit", (5.0,), (1.0,), 0.0, 2.0, 6.0)
        shares.record_request(line, 1, 0.0, True)
        shares.record_request(line, 2, 0.2, True)
        self.assertIsNone(shares.accept(line, 1, grant, 0.3))
        self.assertIsNotNone(shares.accept(line, 2, grant, 0.4))
        self.assertIsNone(shares.accept(line, 2, grant, 0.5))
        self.assertEqual(shares.usable(line, 2.1), (6.0,))
        self.assertEqual(shares.usable(line, 2.2), (1.0,))


class DemandTest(unittest.TestCase):
    """A rate follows the callers."""

    def test_rate_moves_to_where_all_callers_are(self):
        world = share_world.ShareWorld((40.0, 40.0), 4, 1)
        for name in ("i0", "i1"):
            holder = world.find(name)
            before = len(world.admitted)
            for _ in range(300):
                world.request(holder)
                world.run(0.025)
            count = len(world.admitted) - before
            self.assertGreaterEqual(count, 290)
            self.assertGreater(holder.share.held[0], 15.0)

    def test_changed_rate_is_in_force_at_the_next_renewal(self):
        world = share_world.ShareWorld((40.0, 40.0), 2, 1)
        holder = world.find("i0")
        for _ in range(80):
            world.request(holder)
            world.run(0.025)
        world.set_total((4.0, 4.0))
        world.run(2 * share_world.RENEW_S)
        sums = [0.0, 0.0]
        for each in world.holders.values():
            for place, amount in enumerate(each.held(world.now)):
                sums[place] += amount
        self.assertLessEqual(sums[0], 4.0 + SLACK)
        self.assertLessEqual(sums[1], 4.0 + SLACK)


class WaterLevelTest(unittest.TestCase):
    """The max-min fair ceiling against raising everybody bit by bit."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        wants=st.lists(st.integers(0, 50), min_size=1, max_size=8),
        whole=st.integers(0, 200),
    )
    def test_as_naive(self, wants, whole):
        step = 1 / 64
        got = [0.0] * len(wants)
        left = float(whole)
        while left > step * len(wants):
            open_places = [p for p, want in enumerate(wants) if got[p] < want]
            if not open_places:
                break
            for place in open_places:
                got[place] += step
                left -= step
        level = lending.water_level([float(want) for want in wants], whole)
        for place, want in enumerate(wants):
            self.assertAlmostEqual(got[place], min(want, level), delta=0.3)
