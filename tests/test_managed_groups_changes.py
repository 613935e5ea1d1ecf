"""Tests of when a steward goes through the reports on a primary."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall import failover, managed_groups, messages, state, timings

SERVICE = "ledger"
AGE_S = timings.DEFAULTS.report_age_s

steps = st.lists(
    st.one_of(
        st.tuples(
            st.just("ask"),
            st.tuples(
                st.sampled_from("abc"),
                st.sampled_from(["p", "r"]),
                st.booleans(),
                st.booleans(),
            ),
        ),
        st.tuples(st.just("record"), st.sampled_from(["p", "r"])),
        st.tuples(st.just("wait"), st.sampled_from([0.05, 0.7, 1.5, 1.6])),
    ),
    max_size=30,
)


def make_record(term: int, primary: str) -> messages.GroupRecord:
    entry = messages.TermEntry(term, primary, term, 0)
    return messages.GroupRecord(SERVICE, True, (entry,))


class CheckTest(unittest.TestCase):
    """A primary that may have failed is looked at on each tick."""

    def setUp(self) -> None:
        self.state = state.State("i", "a", timings.DEFAULTS, 1, 100.0)
        self.state.now = 100.0
        self.hold = state.Stewardship(0)
        self.charge = state.ManagedGroup(SERVICE)
        self.hold.managed_groups[SERVICE] = self.charge
        self.charge.record = make_record(1, "p")

    def ask(
        self, zone: str, server: str, reachable: bool, in_recovery: bool
    ) -> None:
        report = messages.ServerReport(
            SERVICE, server, reachable, in_recovery, 1, 5, 0.0
        )
        ask = messages.LeaseRequest(
            1, 0, zone, ((SERVICE, 1, True),), (report,)
        )
        managed_groups.handle_lease_request(
            self.state, self.hold, f"home-{zone}", ask, []
        )

    @settings(derandomize=True, deadline=None, database=None, max_examples=500)
    @given(steps)
    def test_every_failed_primary_is_checked(self, happens) -> None:
        self.setUp()
        for number, (kind, value) in enumerate(happens):
            if kind == "ask":
                self.ask(*value)
            elif kind == "record":
                self.charge.record = make_record(number + 2, value)
            else:
                self.state.now += value
            doubted = managed_groups.needs_check(self.state, self.charge)
            reports = dict(self.charge.reports)
            failed = failover._is_failed(
                self.state, self.charge, self.charge.record.terms[-1].primary
            )
            if failed:
                self.assertTrue(doubted)
            if not doubted:
                self.charge.reports = reports

    def test_drops_the_reports_of_homes_that_are_gone(self) -> None:
        self.ask("a", "p", True, False)
        for _ in range(round(3 * AGE_S / 0.05)):
            self.state.now += 0.05
            failover.tick(self.state, self.hold, [])
        self.assertEqual(self.charge.reports, {})

    def test_is_not_checked_while_no_report_contradicts_it(self) -> None:
        for _ in range(round(2 * AGE_S / 0.05)):
            self.state.now += 0.05
            self.ask("a", "p", True, False)
            doubted = managed_groups.needs_check(self.state, self.charge)
        self.assertFalse(doubted)


if __name__ == "__main__":
    unittest.main()
