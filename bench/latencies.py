"""What a load measured: counts and latency percentiles, to be merged."""

from collections.abc import Iterable, Sequence
from typing import TypedDict

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
RAMP_S = 0.5  # A load runs for this long before it is measured.
PERCENTILES = (50.0, 95.0, 99.0, 99.9)


class Summary(TypedDict):
    """What a run measured.

    Attributes:
      count: How many operations ended well within the measured time.
      errors: How many failed, by SQLSTATE or type.
      seconds: The measured time.
      per_second: Operations a second.
      percentiles_us: Latency in microseconds by percentile.
      encoded: The whole histogram, to be added to others.
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
    made = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for latency_us in latencies_us:
        made.record_value(min(max(latency_us, LOWEST_US), HIGHEST_US))
    return made


def summarize(
    made: histogram.HdrHistogram, errors: dict[str, int], seconds: float
) -> Summary:
    """Returns what a run measured."""
    count = made.get_total_count()
    percentiles = {}
    for percentile in PERCENTILES:
        value = made.get_value_at_percentile(percentile) if count else 0
        percentiles[str(percentile)] = int(value)
    return Summary(
        count=count,
        errors=errors,
        seconds=seconds,
        per_second=count / seconds,
        percentiles_us=percentiles,
        encoded=made.encode().decode(),
    )


def merge(summaries: Sequence[Summary]) -> Summary:
    """Returns what several processes measured together."""
    total = make_histogram(())
    errors: dict[str, int] = {}
    for summary in summaries:
        total.decode_and_add(summary["encoded"].encode())
        for name, count in summary["errors"].items():
            errors[name] = errors.get(name, 0) + count
    seconds = max(summary["seconds"] for summary in summaries)
    return summarize(total, errors, seconds)
