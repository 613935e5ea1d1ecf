"""Property tests of the guarantees under generated sequences of faults."""

import unittest

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from cuminwall import outcomes
from tests import world

ZONES = ("a", "b", "c")
NODES = tuple(f"{zone}-{index}" for zone in ZONES for index in range(2))
SERVERS = tuple(f"s{zone}" for zone in ZONES)
STARTUP_S = 3.0
RECOVERY_S = 9.0
LAGS_S = (0.05, 0.02, 1.5)

# A write in the new term raised the floor past the loss of those before it, and
# no read told of them any more.
LOST_BEFORE_A_WRITE = [
    ("read_with_token", "b-0"),
    ("read_without_token", "c-0"),
    ("lose_answers", 1),
    ("pause_node", "c-0", 0.05),
    ("kill_server", "sb"),
    ("write_and_read_elsewhere", "b-1", "a-0"),
    ("write_and_read_elsewhere", "a-1", "c-0"),
    ("read_with_token", "c-1"),
    ("lose_answers", 3),
    ("wait", 0.05),
    ("freeze_primary", "a-0", 0.85),
    ("write", "b-1"),
    ("write_and_read_elsewhere", "b-0", "a-0"),
]

pauses = st.floats(0.05, 2.5)
ACTIONS = st.one_of(
    st.tuples(st.just("wait"), pauses),
    st.tuples(st.just("write"), st.sampled_from(NODES)),
    st.tuples(
        st.just("write_and_read_elsewhere"),
        st.sampled_from(NODES),
        st.sampled_from(NODES),
    ),
    st.tuples(
        st.just("write_and_read_elsewhere"),
        st.sampled_from(NODES),
        st.sampled_from(NODES),
    ),
    st.tuples(st.just("burst"), st.sampled_from(NODES)),
    st.tuples(st.just("read_with_token"), st.sampled_from(NODES)),
    st.tuples(st.just("read_without_token"), st.sampled_from(NODES)),
    st.tuples(st.just("freeze_primary"), st.sampled_from(NODES), pauses),
    st.tuples(st.just("isolate_primary"), st.sampled_from(NODES), pauses),
    st.tuples(st.just("kill_node"), st.sampled_from(NODES)),
    st.tuples(st.just("pause_node"), st.sampled_from(NODES), pauses),
    st.tuples(st.just("kill_server"), st.sampled_from(SERVERS)),
    st.tuples(st.just("revive_server"), st.sampled_from(SERVERS)),
    st.tuples(st.just("freeze_server"), st.sampled_from(SERVERS), pauses),
    st.tuples(st.just("demote_stale")),
    st.tuples(st.just("cut"), st.sampled_from(ZONES), st.sampled_from(ZONES)),
    st.tuples(st.just("heal")),
    st.tuples(st.just("cut_store"), st.sampled_from(ZONES)),
    st.tuples(st.just("store_down")),
    st.tuples(st.just("store_up")),
    st.tuples(st.just("lose_answers"), st.integers(1, 4)),
)


class Script:
    """Runs actions in a world where one caller moves between instances."""

    def __init__(self, seed: int, acknowledge: str):
        self.world = world.make_world(seed, acknowledge, LAGS_S)
        self.world.run(STARTUP_S)
        self.sessions: list[world.Session] = []
        self.count = 0

    def play(self, action: tuple) -> None:
        getattr(self, "do_" + action[0])(*action[1:])
        self.world.run(0.02)

    def connect(self, name: str) -> world.Session | None:
        """Reconnects the caller to an instance with its newest token.

        A caller that was told of a lost write starts anew without the token.
        """
        previous = self.sessions[-1] if self.sessions else None
        token = previous.token if previous else ""
        was_told = previous is not None and _was_told_of_loss(previous)
        if was_told:
            token = ""
        session = self.world.open(name, "ledger", "key", token)
        if not isinstance(session, world.Session):
            return None
        if previous is not None:
            # The token covers the writes acknowledged before it was issued.
            session.acknowledged = list(previous.acknowledged)
        if was_told:
            lost = self.world.lost_writes
            session.acknowledged = [
                write_id
                for write_id in session.acknowledged
                if write_id not in lost
            ]
        self.sessions.append(session)
        return session

    def do_wait(self, duration_s: float) -> None:
        self.world.run(duration_s)

    def do_write(self, name: str) -> None:
        if not self.world.nodes[name].is_alive:
            return
        session = self.connect(name)
        if session is None:
            return
        self.count += 1
        self.world.send(session, f"w{self.count}")

    def do_read_with_token(self, name: str) -> None:
        if not self.world.nodes[name].is_alive:
            return
        session = self.connect(name)
        if session is not None:
            self.world.send(session)

    def do_write_and_read_elsewhere(self, name: str, other: str) -> None:
        """Writes, then reads at another instance once that is acknowledged."""
        self.do_write(name)
        before = len(self.sessions[-1].acknowledged) if self.sessions else 0
        for _ in range(30):
            self.world.run(0.01)
            if self.sessions and (len(self.sessions[-1].acknowledged) > before):
                break
        self.do_read_with_token(other)
        self.do_read_without_token(other)

    def do_burst(self, name: str) -> None:
        """Schedules a write every 50 ms for one second."""
        for index in range(20):
            step = 0.05 * index
            self.world.at(step, lambda: self.do_write(name))

    def do_freeze_primary(self, name: str, duration_s: float) -> None:
        """Freezes the primary during a burst of writes."""
        self.do_burst(name)
        primary = self.world.groups["ledger"].latest_promoted
        self.world.run(0.2)
        self.do_freeze_server(primary, 2 + duration_s)
        self.world.run(duration_s)

    def do_isolate_primary(self, name: str, duration_s: float) -> None:
        """Cuts off the primary's zone during bursts of writes."""
        group = self.world.groups["ledger"]
        zone = group.servers[group.latest_promoted].zone
        self.do_burst(name)
        self.do_burst(f"{zone}-0")
        self.world.run(0.2)
        for other in ZONES:
            self.do_cut(zone, other)
        self.world.run(2 + duration_s)
        self.do_read_with_token(f"{zone}-1")
        self.world.run(duration_s)

    def do_read_without_token(self, name: str) -> None:
        """Reads in a new session without a token.

        It must show every write acknowledged before, but for those that a
        promotion has lost: nothing tells such a session that it had any. The
        world checks that each of these losses could not be avoided.
        """
        if not self.world.nodes[name].is_alive:
            return
        session = self.world.open(name, "ledger", "key")
        if not isinstance(session, world.Session):
            return
        session.may_miss_lost_writes = True
        if self.sessions:
            session.acknowledged = list(self.sessions[-1].acknowledged)
        self.world.send(session)

    def do_kill_node(self, name: str) -> None:
        zone = name[0]
        others = [
            node
            for node in self.world.nodes.values()
            if node.zone == zone and node.name != name and node.is_alive
        ]
        if others:
            self.world.kill(name)

    def do_pause_node(self, name: str, duration_s: float) -> None:
        node = self.world.nodes[name]
        node.paused_until = self.world.now + duration_s

    def do_kill_server(self, name: str) -> None:
        servers = self.world.groups["ledger"].servers
        alive = [server for server in servers.values() if server.is_alive]
        if len(alive) > 2:
            servers[name].is_alive = False

    def do_revive_server(self, name: str) -> None:
        self.world.groups["ledger"].servers[name].is_alive = True

    def do_freeze_server(self, name: str, duration_s: float) -> None:
        server = self.world.groups["ledger"].servers[name]
        server.frozen_until = self.world.now + duration_s

    def do_demote_stale(self) -> None:
        self.world.groups["ledger"].demote_stale()

    def do_cut(self, zone: str, other: str) -> None:
        if zone != other:
            self.world.zone_cuts.add(frozenset((zone, other)))

    def do_heal(self) -> None:
        self.world.zone_cuts.clear()
        self.world.store_cuts.clear()

    def do_cut_store(self, zone: str) -> None:
        self.world.store_cuts.add(zone)

    def do_store_down(self) -> None:
        self.world.is_store_down = True

    def do_store_up(self) -> None:
        self.world.is_store_down = False

    def do_lose_answers(self, count: int) -> None:
        self.world.lose_answers += count

    def recover(self) -> None:
        """Ends all faults and waits until the world has recovered."""
        self.do_heal()
        self.do_store_up()
        self.world.lose_answers = 0
        self.world.run(6.0)
        for server in self.world.groups["ledger"].servers.values():
            server.is_alive = True
        self.world.run(1.0)
        self.do_demote_stale()
        self.world.run(13.0)


def _was_told_of_loss(session: world.Session) -> bool:
    """Returns whether a session was told that a write of it was lost."""
    return any(end.failure is outcomes.FLOOR_LOST for _, end in session.ends)


class FaultsTest(unittest.TestCase):
    """The guarantees under any sequence of faults."""

    @settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=150,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        seed=st.integers(0, 1000),
        acknowledge=st.sampled_from(["primary", "replica"]),
        actions=st.lists(ACTIONS, min_size=5, max_size=40),
    )
    @example(382, "primary", LOST_BEFORE_A_WRITE)
    def test_no_promise_is_broken(self, seed, acknowledge, actions):
        script = Script(seed, acknowledge)
        for action in actions:
            script.play(action)
        script.recover()
        script.world.check_end()
        self.assertEqual(script.world.violations, [])

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
    def test_writes_go_on_after_every_fault_is_mended(self, seed, actions):
        script = Script(seed, "replica")
        for action in actions:
            script.play(action)
        script.recover()
        alive = [node for node in script.world.nodes.values() if node.is_alive]
        session = script.world.open(alive[0].name, "ledger", "key")
        self.assertIsInstance(session, world.Session)
        script.world.send(session, "last")
        script.world.run(RECOVERY_S)
        self.assertEqual(len(session.ends), 1)
        failure = session.ends[0][1].failure
        self.assertIsNone(failure)

    def test_a_refusal_before_the_session_has_a_floor_is_typed(self):
        script = Script(1, "replica")
        script.do_store_down()
        for zone in ZONES[1:]:
            script.do_cut(ZONES[0], zone)
        script.world.run(20.0)
        session = script.world.open("a-0", "ledger", "key")
        self.assertIs(session, outcomes.KEYS_NOT_CURRENT)
