"""Tests of the arithmetic of the benchmark programs."""

import unittest

from bench import latencies, loadplan
from hypothesis import given, settings
from hypothesis import strategies as st

KNOWN = ("read", "write", "transaction")
LATENCIES = st.lists(st.integers(1, 1_000_000), min_size=1, max_size=200)


class LatenciesTest(unittest.TestCase):
    """Percentiles and merged runs."""

    def summarize(self, values: list[int]) -> latencies.Summary:
        histogram = latencies.make_histogram(values)
        return latencies.summarize(histogram, {}, 2.0)

    @given(LATENCIES)
    @settings(derandomize=True, deadline=None, database=None)
    def test_percentiles_are_those_of_the_sorted_values(self, values):
        summary = self.summarize(values)
        ordered = sorted(values)
        for percentile in latencies.PERCENTILES:
            # The library rounds the rank to the nearest, halves upwards.
            rank = int(len(ordered) * percentile / 100 + 0.5)
            exact = ordered[max(1, rank) - 1]
            found = summary["percentiles_us"][str(percentile)]
            self.assertAlmostEqual(found, exact, delta=1 + exact / 500)

    @given(LATENCIES, LATENCIES)
    @settings(derandomize=True, deadline=None, database=None)
    def test_merging_counts_as_one_run(self, first, second):
        merged = latencies.merge(
            [self.summarize(first), self.summarize(second)]
        )
        expected = self.summarize(first + second)
        self.assertEqual(merged["count"], expected["count"])
        self.assertEqual(merged["per_second"], expected["per_second"])
        self.assertEqual(merged["percentiles_us"], expected["percentiles_us"])

    def test_errors_add_up(self):
        histogram = latencies.make_histogram([5])
        first = latencies.summarize(histogram, {"53400": 2}, 1.0)
        second = latencies.summarize(histogram, {"53400": 1, "57P03": 4}, 1.0)
        merged = latencies.merge([first, second])
        self.assertEqual(merged["errors"], {"53400": 3, "57P03": 4})

    def test_an_empty_run_has_no_rate(self):
        summary = self.summarize([])
        self.assertEqual((summary["count"], summary["per_second"]), (0, 0.0))


class PlanTest(unittest.TestCase):
    """Start times of operations, and the mix of their kinds."""

    def test_starts_are_spread_evenly_over_connections(self):
        rate, connections = 100.0, 4
        plan = loadplan.Plan(10.0, 20.0, connections / rate, ("read",), (1.0,))
        starts = []
        for place in range(connections):
            for number in range(5):
                starts.append(
                    loadplan.planned_start(plan, place, connections, number)
                )
        for place, start in enumerate(sorted(starts)):
            self.assertAlmostEqual(start, 10.0 + place / rate)

    def test_a_mix_has_weights(self):
        mix = loadplan.parse_mix(["read=3", "transaction=0.5"], KNOWN)
        self.assertEqual(mix, {"read": 3.0, "transaction": 0.5})

    def test_a_wrong_mix_is_refused(self):
        for texts in ([], ["delete=1"], ["read=0"], ["read=-1"], ["read"]):
            with self.subTest(texts), self.assertRaises(ValueError):
                loadplan.parse_mix(texts, KNOWN)


if __name__ == "__main__":
    unittest.main()
