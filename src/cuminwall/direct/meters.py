"""Metrics, recorded with OpenTelemetry and exported for Prometheus."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from prometheus_client import REGISTRY, generate_latest

METER_NAME = "cuminwall"
# In seconds; the target latencies of routes lie between 0.1 and 1.
LATENCY_BOUNDS = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.5,
    8.0,
)


class Meters:
    """The instruments of one instance.

    Attributes:
      statements: Answered statements, by kind and outcome.
      latency: Seconds from the arrival of a statement to its answer.
      loop_delay: Seconds by which timers are handled late.
      decisions: Decisions, by part and event.
    """

    def __init__(self) -> None:
        latency_name = "cuminwall_statement_seconds"
        delay_name = "cuminwall_timer_delay_seconds"
        views = []
        for name in (latency_name, delay_name):
            views.append(
                View(
                    instrument_name=name,
                    aggregation=ExplicitBucketHistogramAggregation(
                        LATENCY_BOUNDS
                    ),
                )
            )
        self.provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()], views=views
        )
        self.meter = self.provider.get_meter(METER_NAME)
        self.statements = self.meter.create_counter(
            "cuminwall_statements", description="Answered statements."
        )
        self.latency = self.meter.create_histogram(
            latency_name, unit="s", description="From arrival to answer."
        )
        self.loop_delay = self.meter.create_histogram(
            delay_name, unit="s", description="How late timers are handled."
        )
        self.decisions = self.meter.create_counter(
            "cuminwall_decisions", description="Decisions by part and event."
        )

    def gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Registers a gauge whose value is read at each export."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            yield Observation(read())

        self.meter.create_observable_gauge(
            name, [observe], description=description
        )

    def labelled_gauge(
        self,
        name: str,
        description: str,
        label: str,
        read: Callable[[], dict[str, float]],
    ) -> None:
        """Registers a gauge with one value for each value of a label."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for value, amount in read().items():
                yield Observation(amount, {label: value})

        self.meter.create_observable_gauge(
            name, [observe], description=description
        )

    def count_statement(self, kind: str, outcome: str, seconds: float) -> None:
        """Counts an answered statement."""
        self.statements.add(1, {"kind": kind, "outcome": outcome})
        self.latency.record(seconds, {"kind": kind})

    def count_decision(self, part: str, event: str) -> None:
        """Counts a decision."""
        self.decisions.add(1, {"part": part, "event": event})


def render() -> bytes:
    """Returns all metrics in the text format of Prometheus."""
    return generate_latest(REGISTRY)
