"""A primary that was just promoted is not judged by older reports."""

import unittest

from cuminwall import failover, managed_groups, messages, placement
from tests import world


class NewPrimaryTest(unittest.TestCase):
    """What a steward makes of reports around a promotion."""

    def setUp(self):
        self.world = world.make_world()
        self.world.run(3.0)
        self.node = self.world.nodes[world.steward_of(self.world, "ledger")]
        shard = placement.shard_of("ledger", self.world.shard_count)
        self.hold = self.node.state.stewardships[shard]
        self.charge = self.hold.managed_groups["ledger"]

    def confirm(self, server: str) -> None:
        """Puts a new term in force, as its confirmation does."""
        state = self.node.state
        state.now = self.world.now
        entry = messages.TermEntry(2, server, 2, 1000)
        terms = (*self.charge.record.terms, entry)
        record = messages.GroupRecord("ledger", True, terms)
        self.charge.record = record
        then = failover.RecordConfirmed(0, "ledger", record, "w")
        failover._continue_after_write(state, self.hold, self.charge, then, [])

    def hear(self, age_s: float) -> None:
        """Every home reports that sb is in recovery, by a probe so old."""
        for name, node in self.world.nodes.items():
            report = messages.ServerReport(
                "ledger", "sb", True, True, 1, 1000, age_s
            )
            shard = self.hold.shard
            ask = messages.LeaseRequest(1, shard, node.zone, (), (report,))
            state = self.node.state
            managed_groups.handle_lease_request(state, self.hold, name, ask, [])

    def test_older_probes_do_not_speak_against_it(self):
        self.confirm("sb")
        self.hear(0.2)
        failover.tick(self.node.state, self.hold, [])
        self.assertIsNone(self.charge.change)

    def test_newer_probes_do(self):
        self.confirm("sb")
        self.node.state.now += 0.5
        self.hear(0.2)
        failover.tick(self.node.state, self.hold, [])
        self.assertIsNotNone(self.charge.change)
