"""Counts and latency percentiles of a load; several can be merged."""

from collections.abc import Iterable, Sequence
from typing import TypedDict

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
RAMP_S = 0.5  # A load runs for this long before it is measured.
PERCENTILES = (50.0, 95.0, 99.0, 99.9)


class Summary(TypedDict):
    """The results of a run.

    Attributes:
      count: Operations that succeeded within the measured time.
      errors: Operations that failed, by SQLSTATE or exception type.
      seconds: The measured time, in seconds.
      per_second: Successful operations per second.
      percentiles_us: Latency in microseconds by percentile.
      encoded: The encoded histogram, from which results are merged.
    """

    count: int
    errors: dict[str, int]
    seconds: float
    per_second: float
    percentiles_us: dict[str, int]
    encoded: str


def make_histogram(
    latencies_us: Iterable[int],
) -> histogram.HdrHistogram:
    """Returns a histogram of latencies in microseconds."""
    latency_histogram = histogram.HdrHistogram(
        LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
    )
    for latency_us in latencies_us:
        latency_histogram.record_value(
            min(max(latency_us, LOWEST_US), HIGHEST_US)
        )
    return latency_histogram


def summarize(
    latency_histogram: histogram.HdrHistogram,
    errors: dict[str, int],
    seconds: float,
) -> Summary:
    """Returns the results of a run from its histogram."""
    count = latency_histogram.get_total_count()
    percentiles = {}
    for percentile in PERCENTILES:
        value = (
            latency_histogram.get_value_at_percentile(percentile)
            if count
            else 0
        )
        percentiles[str(percentile)] = int(value)
    return Summary(
        count=count,
        errors=errors,
        seconds=seconds,
        per_second=count / seconds,
        percentiles_us=percentiles,
        encoded=latency_histogram.encode().decode(),
    )


def merge(summaries: Sequence[Summary]) -> Summary:
    """Merges the results of processes that ran at the same time."""
    total = make_histogram(())
    errors: dict[str, int] = {}
    for summary in summaries:
        total.decode_and_add(summary["encoded"].encode())
        for name, count in summary["errors"].items():
            errors[name] = errors.get(name, 0) + count
    seconds = max(summary["seconds"] for summary in summaries)
    return summarize(total, errors, seconds)
