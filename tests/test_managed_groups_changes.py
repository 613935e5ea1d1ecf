"""Tests of when a steward evaluates the reports on a primary."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall import failover, managed_groups, messages, state, timings

SERVICE = "ledger"
AGE_S = timings.DEFAULTS.report_age_s

steps = st.lists(
    st.one_of(
        st.tuples(
            st.just("report"),
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
    """A primary that may have failed is checked on each tick."""

    def setUp(self) -> None:
        self.state = state.State("i", "a", timings.DEFAULTS, 1, 100.0)
        self.state.now = 100.0
        self.stewardship = state.Stewardship(0)
        self.managed_group = state.ManagedGroup(SERVICE)
        self.stewardship.managed_groups[SERVICE] = self.managed_group
        self.managed_group.record = make_record(1, "p")

    def send_report(
        self, zone: str, server: str, reachable: bool, in_recovery: bool
    ) -> None:
        report = messages.ServerReport(
            SERVICE, server, reachable, in_recovery, 1, 5, 0.0
        )
        request = messages.LeaseRequest(
            1, 0, zone, ((SERVICE, 1, True),), (report,)
        )
        managed_groups.handle_lease_request(
            self.state, self.stewardship, f"home-{zone}", request, []
        )

    @settings(derandomize=True, deadline=None, database=None, max_examples=500)
    @given(steps)
    def test_every_failed_primary_is_checked(self, actions) -> None:
        self.setUp()
        for number, (kind, value) in enumerate(actions):
            if kind == "report":
                self.send_report(*value)
            elif kind == "record":
                self.managed_group.record = make_record(number + 2, value)
            else:
                self.state.now += value
            needs_check = managed_groups.needs_check(
                self.state, self.managed_group
            )
            reports = dict(self.managed_group.reports)
            failed = failover._is_failed(
                self.state,
                self.managed_group,
                self.managed_group.record.terms[-1].primary,
            )
            if failed:
                self.assertTrue(needs_check)
            if not needs_check:
                self.managed_group.reports = reports

    def test_drops_the_reports_of_homes_that_are_gone(self) -> None:
        self.send_report("a", "p", True, False)
        for _ in range(round(3 * AGE_S / 0.05)):
            self.state.now += 0.05
            failover.tick(self.state, self.stewardship, [])
        self.assertEqual(self.managed_group.reports, {})

    def test_is_not_checked_while_no_report_contradicts_it(self) -> None:
        for _ in range(round(2 * AGE_S / 0.05)):
            self.state.now += 0.05
            self.send_report("a", "p", True, False)
            needs_check = managed_groups.needs_check(
                self.state, self.managed_group
            )
        self.assertFalse(needs_check)


if __name__ == "__main__":
    unittest.main()
