"""Compares a daemon with a relay that only copies bytes, and with neither.

Runs the same load direct, through the relay and through a daemon, in turn and
several times, and prints ratios: statements per second in a closed loop, and
the latency added at a moderate rate. --forwards adds a second daemon that is
not a home, --other_source a daemon of another revision of the source. They
run in turn with the others so that all meet the same disturbances of the
machine.
"""

import asyncio
import json
import os
import pathlib
import statistics
import sys
import tempfile
from collections.abc import Mapping, Sequence

from absl import app, flags

from bench import latencies, scripted_site
from cuminwall_standins import site

CONNECTIONS_PER_SERVER = 65

_ROUNDS = flags.DEFINE_integer("rounds", 3, "How often each path is run.")
_DURATION_S = flags.DEFINE_float("duration_s", 4.0, "Seconds of each run.")
_CONNECTIONS = flags.DEFINE_integer("connections", 64, "Of the closed loop.")
_RATE = flags.DEFINE_float("rate", 800.0, "The moderate rate, per second.")
_MIX = flags.DEFINE_string("mix", "read=1", "The operations of the load.")
_LOADERS = flags.DEFINE_integer(
    "loaders", 2, "Processes that generate the load."
)
_REPLICAS = flags.DEFINE_integer("replicas", 2, "Replicas of the group.")
_LOG_LEVEL = flags.DEFINE_string("log_level", "info", "The daemons' log level.")
_FORWARDS = flags.DEFINE_boolean(
    "forwards", False, "Add a daemon that is no home."
)
_OTHER_SOURCE = flags.DEFINE_string(
    "other_source", "", "Add a daemon that runs from this source folder."
)
_MODERATE = flags.DEFINE_boolean("moderate", True, "Run the moderate load.")

Results = dict[str, list[latencies.Summary]]


async def start(site_: scripted_site.ScriptedSite) -> dict[str, list[int]]:
    """Starts the site and returns the ports of each path."""
    await site_.start_platform("--list_lag_s=0.2")
    await site_.start_scripted_group(_REPLICAS.value, CONNECTIONS_PER_SERVER)
    names = ["daemon"]
    if _FORWARDS.value:
        names.append("forwarder")
    if _OTHER_SOURCE.value:
        names.append("other")
    homes = len(names) - _FORWARDS.value
    await site_.apply(site_.make_document(home_count_per_zone=homes))
    for name in names:
        await _start_daemon(site_, name)
    await site_.wait_until_ready()
    await _wait_until_settled(site_)
    paths = {}
    for name in names:
        path = "other" if name == "other" else "daemon"
        if not (await site_.status(name))["groups"]:
            path = "forwarded"
        paths[path] = [site_.daemons[name].ports["port"]]
    direct = site_.server_ports(_read_targets())
    relay = await site_.start_relay(direct)
    return {"direct": direct, "relay": [relay.ports["port"]], **paths}


async def _start_daemon(site_: scripted_site.ScriptedSite, name: str) -> None:
    """Starts a daemon; the one named "other" from the other source folder."""
    path = os.environ.get("PYTHONPATH", "")
    try:
        if name == "other":
            os.environ["PYTHONPATH"] = f"{_OTHER_SOURCE.value}:{path}"
        await site_.start_daemon(name, scripted_site.ZONE)
    finally:
        os.environ["PYTHONPATH"] = path


def _read_targets() -> list[str]:
    """Returns the servers that the direct load is sent to."""
    if _MIX.value != "read=1" or not _REPLICAS.value:
        return ["a"]
    return [chr(ord("b") + index) for index in range(_REPLICAS.value)]


async def _wait_until_settled(site_: scripted_site.ScriptedSite) -> None:
    """Waits until every write lease has been held for a moment."""
    await asyncio.sleep(1.0)
    await site_.wait_until_ready()


async def run_in_turn(
    site_: scripted_site.ScriptedSite,
    paths: Mapping[str, Sequence[int]],
    load_: scripted_site.Load,
) -> Results:
    """Runs a load over each path in turn, several times."""
    results: Results = {path: [] for path in paths}
    for number in range(_ROUNDS.value):
        for path, ports in paths.items():
            meters = _start_meters(site_)
            summary = await load_.run(ports)
            results[path].append(summary)
            busy = _processor_use(meters, load_.duration_s)
            print(
                f"{number + 1} {path:10} {summary['per_second']:8.0f}/s "
                f"p50 {summary['percentiles_us']['50.0']} us "
                f"p99 {summary['percentiles_us']['99.0']} us "
                f"errors {summary['errors']} busy {busy}",
                flush=True,
            )
    return results


def _start_meters(
    site_: scripted_site.ScriptedSite,
) -> dict[str, scripted_site.CpuMeter]:
    """Returns a meter for each process except those of the load."""
    processes: dict[str, site.Process] = {**site_.daemons}
    for (_, name), process in site_.servers.items():
        processes[name] = process
    return {
        name: scripted_site.CpuMeter(process)
        for name, process in processes.items()
    }


def _processor_use(
    meters: Mapping[str, scripted_site.CpuMeter], duration_s: float
) -> str:
    """Returns the processor use of each process; 1.0 is one processor.

    The logins before a run are included, so the figures are a little too high.
    """
    busy = []
    for name, meter in meters.items():
        share = meter.used_s() / (duration_s + latencies.RAMP_S)
        busy.append(f"{name}={share:.2f}")
    return " ".join(busy)


def _median(summaries: Sequence[latencies.Summary], percentile: str) -> float:
    """Returns the median of a percentile over the runs, in milliseconds."""
    values = [run["percentiles_us"][percentile] for run in summaries]
    return statistics.median(values) / 1000


def report_closed(results: Results) -> dict[str, float]:
    """Returns the statements per second of each path, and their ratios."""
    report = {}
    rates = {}
    for path, summaries in results.items():
        rates[path] = statistics.median(run["per_second"] for run in summaries)
        report[f"{path}_per_second"] = round(rates[path], 1)
    for path, rate in rates.items():
        if path != "relay":
            report[f"{path}_to_relay"] = round(rate / rates["relay"], 3)
    for path in ("forwarded", "other"):
        if path in rates:
            ratio = rates[path] / rates["daemon"]
            report[f"{path}_to_daemon"] = round(ratio, 3)
    return report


def report_moderate(results: Results) -> dict[str, float]:
    """Returns direct latency percentiles and what each path adds, in ms."""
    report = {}
    for percentile in ("50.0", "99.0"):
        direct = _median(results["direct"], percentile)
        report[f"direct_p{percentile}_ms"] = round(direct, 3)
        for path, summaries in results.items():
            if path == "direct":
                continue
            added = _median(summaries, percentile) - direct
            report[f"{path}_adds_p{percentile}_ms"] = round(added, 3)
    return report


async def run() -> int:
    """Runs the comparison and returns the exit code."""
    with tempfile.TemporaryDirectory(prefix="cuminwall-bench-") as folder:
        site_ = scripted_site.ScriptedSite(pathlib.Path(folder))
        site_.daemon_settings["log"] = {"level": _LOG_LEVEL.value}
        try:
            paths = await start(site_)
            closed = scripted_site.Load(
                _LOADERS.value,
                _CONNECTIONS.value,
                _DURATION_S.value,
                mix=_MIX.value,
            )
            print(f"closed loop, {_CONNECTIONS.value} connections")
            results = await run_in_turn(site_, paths, closed)
            report = report_closed(results)
            if _MODERATE.value:
                moderate = scripted_site.Load(
                    1, 16, _DURATION_S.value, _RATE.value, _MIX.value
                )
                print(f"{_RATE.value} a second, 16 connections")
                moderate_results = await run_in_turn(site_, paths, moderate)
                report.update(report_moderate(moderate_results))
        finally:
            await site_.stop()
    print(json.dumps(report, indent=1))
    return 0


def main(argv: Sequence[str]) -> None:
    """Runs the comparison."""
    del argv
    sys.exit(asyncio.run(run()))


if __name__ == "__main__":
    app.run(main)
