"""Tests of lease rounds in which reports are left out while they stand."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall import effects, leases, managed_groups, messages
from tests import world

ZONES = ("a", "b", "c")
SETTLE_S = 3.0

steps = st.lists(
    st.one_of(
        st.tuples(st.just("flip"), st.sampled_from(ZONES)),
        st.tuples(st.just("cut"), st.sampled_from(["ab", "bc", "ac"])),
        st.tuples(st.just("heal"), st.none()),
        st.tuples(st.just("lose"), st.integers(0, 3)),
        st.tuples(st.just("run"), st.sampled_from([0.1, 0.5, 1.0, 2.0])),
    ),
    max_size=14,
)


class LossyWorld(world.World):
    """A world that may lose control messages, and counts reports.

    Attributes:
      loses: Of four messages, how many are lost.
      reports: How many reports were sent.
    """

    loses = 0
    reports = 0

    def send_to_peer(
        self, node: world.Node, effect: effects.SendToPeer
    ) -> None:
        if isinstance(effect.message, messages.LeaseRequest):
            self.reports += len(effect.message.reports)
        if self.loses > self.random.randrange(4):
            return
        super().send_to_peer(node, effect)


def make_world(seed: int) -> LossyWorld:
    made = world.make_world(seed)
    made.__class__ = LossyWorld
    made.run(6.0)
    assert isinstance(made, LossyWorld)
    return made


class ReportsTest(unittest.TestCase):
    """What a steward knows of the servers."""

    def check(self, made: LossyWorld) -> None:
        """Checks that each steward knows what its homes know."""
        checked = 0
        for node in made.nodes.values():
            for hold in node.state.stewardships.values():
                if not hold.active:
                    continue
                for charge in hold.managed_groups.values():
                    reports = managed_groups.fresh_reports(
                        node.state, charge, leases.NEVER
                    )
                    for (home, name), lent in reports.items():
                        group = made.nodes[home].state.groups["ledger"]
                        server = group.servers[name]
                        report = lent.report
                        self.assertEqual(
                            (report.reachable, report.in_recovery),
                            (server.reachable, server.in_recovery),
                        )
                        checked += 1
        self.assertEqual(checked, 18)

    @settings(derandomize=True, deadline=None, database=None, max_examples=60)
    @given(st.integers(0, 1000), steps)
    def test_are_those_of_the_homes_after_losses(self, seed, happens) -> None:
        made = make_world(seed)
        for kind, value in happens:
            if kind == "flip":
                server = made.groups["ledger"].servers[f"s{value}"]
                server.is_alive = not server.is_alive
            elif kind == "cut":
                made.zone_cuts.add(frozenset(value))
            elif kind == "heal":
                made.zone_cuts.clear()
            elif kind == "lose":
                made.loses = value
            else:
                made.run(value)
        made.zone_cuts.clear()
        made.loses = 0
        made.run(SETTLE_S)
        for server in made.groups["ledger"].servers.values():
            server.is_alive = True
        made.run(0.3)
        made.groups["ledger"].demote_stale()
        made.run(2 * SETTLE_S)
        self.check(made)

    def test_are_omitted_while_they_are_current(self) -> None:
        made = make_world(1)
        made.run(SETTLE_S)
        made.reports = 0
        made.run(10.0)
        # Six homes with three servers each report whole twice in this time.
        self.assertLessEqual(made.reports, 3 * 18)
        self.check(made)

    def test_an_unreachable_server_is_reported_at_once(self) -> None:
        made = make_world(2)
        made.groups["ledger"].servers["sb"].is_alive = False
        made.run(0.4)
        self.check(made)

    def test_a_lost_report_is_sent_again(self) -> None:
        made = make_world(3)
        server = made.groups["ledger"].servers["sb"]
        server.is_alive = False
        made.run(1.0)
        made.loses = 4
        server.is_alive = True
        made.run(0.3)
        made.loses = 0
        made.run(1.0)
        self.check(made)


if __name__ == "__main__":
    unittest.main()
