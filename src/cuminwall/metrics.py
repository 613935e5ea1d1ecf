"""OpenTelemetry metrics, exported over HTTP in the Prometheus format."""

import time
from collections.abc import Iterable

from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider

from cuminwall import engine, groups

METER_NAME = "cuminwall"


def observe(engine_: engine.Engine) -> None:
    """Registers the instruments that observe an engine."""
    provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
    metrics.set_meter_provider(provider)
    meter = metrics.get_meter(METER_NAME)
    state = engine_.state

    def sessions(options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(len(state.sessions))

    def version(options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(state.config.version)

    def freshness(options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(state.fresh_until - time.monotonic())

    def counters(options: CallbackOptions) -> Iterable[Observation]:
        for (name, label), value in engine_.counters.items():
            yield Observation(value, {"event": name, "label": label})

    def leases(options: CallbackOptions) -> Iterable[Observation]:
        for group in state.groups.values():
            held = groups.is_lease_valid(state, group, group.term)
            yield Observation(int(held), {"service": group.service})

    meter.create_observable_gauge(
        "cuminwall_sessions", [sessions], description="Callers logged in."
    )
    meter.create_observable_gauge(
        "cuminwall_config_version",
        [version],
        description="Version of the configuration in force.",
    )
    meter.create_observable_gauge(
        "cuminwall_config_fresh_seconds",
        [freshness],
        unit="s",
        description="How long the configuration counts as current.",
    )
    meter.create_observable_gauge(
        "cuminwall_write_lease_held",
        [leases],
        description="1 for each database service whose write lease is held.",
    )
    meter.create_observable_counter(
        "cuminwall_events",
        [counters],
        description="Decisions by kind and label.",
    )
