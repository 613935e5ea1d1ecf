"""The two ends of a lease, for any clocks within the drift."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall import leases

SLOWEST = 1 - leases.MAX_CLOCK_DRIFT
FASTEST = 1 + leases.MAX_CLOCK_DRIFT
rates = st.sampled_from((SLOWEST, FASTEST)) | st.floats(SLOWEST, FASTEST)
offsets = st.floats(-1000.0, 1000.0)
FLOAT_ERROR_S = 1e-9


class LeaseTest(unittest.TestCase):
    """A holder never counts on what its lender takes as lapsed."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        holder_rate=rates,
        lender_rate=rates,
        holder_offset=offsets,
        lender_offset=offsets,
        delay_s=st.just(0.0) | st.floats(0.0, 60.0),
        duration_s=st.floats(0.0, 60.0),
    )
    def test_the_holder_ends_first(
        self,
        holder_rate,
        lender_rate,
        holder_offset,
        lender_offset,
        delay_s,
        duration_s,
    ):
        asked_at = holder_offset
        granted_at = lender_offset + lender_rate * delay_s
        until = leases.holder_expiry(asked_at, duration_s)
        lapse = leases.lender_expiry(granted_at, duration_s)
        holder_ends_s = (until - holder_offset) / holder_rate
        lender_ends_s = (lapse - lender_offset) / lender_rate
        self.assertLessEqual(holder_ends_s, lender_ends_s + FLOAT_ERROR_S)

    def test_the_margin_covers_a_lease_of_no_length(self):
        self.assertLess(leases.holder_expiry(5.0, 0.0), 5.0)
        self.assertGreater(leases.lender_expiry(5.0, 0.0), 5.0)
