"""Tests that reports from before a promotion do not fail the new primary."""

import unittest

from cuminwall import failover, managed_groups, messages, placement
from tests import world


class NewPrimaryTest(unittest.TestCase):
    """How a steward treats reports from around a promotion."""

    def setUp(self):
        self.world = world.make_world()
        self.world.run(3.0)
        self.node = self.world.nodes[world.steward_of(self.world, "ledger")]
        shard = placement.shard_of("ledger", self.world.shard_count)
        self.stewardship = self.node.state.stewardships[shard]
        self.managed_group = self.stewardship.managed_groups["ledger"]

    def confirm(self, server: str) -> None:
        """Puts a new term into force like its confirmation."""
        state = self.node.state
        state.now = self.world.now
        entry = messages.TermEntry(2, server, 2, 1000)
        terms = (*self.managed_group.record.terms, entry)
        record = messages.GroupRecord("ledger", True, terms)
        self.managed_group.record = record
        then = failover.RecordConfirmed(0, "ledger", record, "w")
        failover._continue_after_write(
            state, self.stewardship, self.managed_group, then, []
        )

    def report_recovery(self, age_s: float) -> None:
        """Has each home report sb as in recovery, by a probe of this age."""
        for name, node in self.world.nodes.items():
            report = messages.ServerReport(
                "ledger", "sb", True, True, 1, 1000, age_s
            )
            shard = self.stewardship.shard
            request = messages.LeaseRequest(1, shard, node.zone, (), (report,))
            state = self.node.state
            managed_groups.handle_lease_request(
                state, self.stewardship, name, request, []
            )

    def test_older_probes_do_not_speak_against_it(self):
        self.confirm("sb")
        self.report_recovery(0.2)
        failover.tick(self.node.state, self.stewardship, [])
        self.assertIsNone(self.managed_group.change)

    def test_newer_probes_do(self):
        self.confirm("sb")
        self.node.state.now += 0.5
        self.report_recovery(0.2)
        failover.tick(self.node.state, self.stewardship, [])
        self.assertIsNotNone(self.managed_group.change)
