"""Measures service while a zone is taken out and while a daemon shuts down.

Callers of every zone read, write and run transactions. One zone is taken out
of service by configuration and put back; then a daemon is shut down by
SIGTERM. Counted are the share of requests that succeeded, requests that were
cut, and requests placed in the zone more than GRACE_S after it was taken out.
"""

import asyncio
import collections
import copy
import itertools
import json
import pathlib
import signal
import sys
import tempfile
import time
from typing import Any, NamedTuple

import aiohttp
import matplotlib
import matplotlib.figure
import psycopg
from absl import app, flags

from bench import callers, daemonlogs, sites
from cuminwall_standins import site

OUT_ZONE = sites.ZONES[0]
STOPPED_DAEMON = f"{sites.ZONES[1]}-1"
CALLERS_PER_ZONE = 4
REQUESTS_PER_CONNECTION = 60
AVOID_S = 1.0
PAUSE_S = 0.02
STEADY_S = 4.0
OUT_S = 8.0
BACK_S = 6.0
AFTER_STOP_S = 4.0
GRACE_S = 3.0
STOP_TIMEOUT_S = 90.0
MOVING_ON = frozenset({"shutting_down", "zone_out"})
PLOT_INCHES = (8.0, 4.0)

_OUT = flags.DEFINE_string("out", "", "The file for the results, as JSON.")
_PLOT = flags.DEFINE_string("plot", "", "The file for the plot.")
_KEEP = flags.DEFINE_string("keep", "", "The folder for the daemons' logs.")


class StepTimes(NamedTuple):
    """When each step happened, in seconds of the Unix clock.

    Attributes:
      began: The load was steady.
      out: The zone was taken out of service.
      back: It was put back into service.
      ending: SIGTERM was sent.
      ended: The daemon's process was gone.
      replaced: Its replacement was ready.
      over: The load ended.
    """

    began: float
    out: float
    back: float
    ending: float
    ended: float
    replaced: float
    over: float


class ZoneRequest(NamedTuple):
    """A request that has ended.

    Attributes:
      zone: The caller's zone.
      request: The request and its result.
      in_transaction: Whether a transaction was open before it.
    """

    zone: str
    request: callers.Request
    in_transaction: bool


class Balancer:
    """Chooses entry instances as the platform's load balancer would.

    Attributes:
      ready: The instances whose readiness check succeeds.
      avoid_until: Until when each instance that failed a request is avoided.
    """

    def __init__(self, site_: site.Site):
        self.site = site_
        self.ready: set[str] = set()
        self.avoid_until: dict[str, float] = {}
        self.turns = itertools.count()

    async def watch(self) -> None:
        """Checks the readiness of every daemon until cancelled."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            while True:
                for instance in list(self.site.daemons):
                    await self._check_readiness(http, instance)
                await asyncio.sleep(sites.POLL_S)

    def choose(self, zone: str) -> str:
        """Returns a ready instance, of the caller's zone if possible.

        Returns "" if none is ready.
        """
        now = time.monotonic()
        usable = []
        for instance in sorted(self.ready):
            if self.avoid_until.get(instance, 0.0) <= now:
                usable.append(instance)
        near = [name for name in usable if name.startswith(zone)]
        candidates = near or usable
        if not candidates:
            return ""
        return candidates[next(self.turns) % len(candidates)]

    def avoid(self, instance: str) -> None:
        """Avoids an instance for AVOID_S."""
        self.avoid_until[instance] = time.monotonic() + AVOID_S

    async def _check_readiness(
        self, http: aiohttp.ClientSession, instance: str
    ) -> None:
        process = self.site.daemons.get(instance)
        if process is None:
            self.ready.discard(instance)
            return
        url = f"http://{site.HOST}:{process.ports['http']}/readyz"
        try:
            async with http.get(url) as response:
                is_ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            is_ready = False
        if is_ready:
            self.ready.add(instance)
        else:
            self.ready.discard(instance)


class Load:
    """Callers in every zone, which work until they are stopped.

    Attributes:
      requests: The requests that have ended.
      stopping: Whether callers start no further requests.
      connect_failures: How often a caller could not connect, by reason.
    """

    def __init__(self, site_: site.Site, balancer: Balancer):
        self.site = site_
        self.balancer = balancer
        self.requests: list[ZoneRequest] = []
        self.stopping = False
        self.connect_failures: collections.Counter[str] = collections.Counter()
        self.numbers = itertools.count(1)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the callers."""
        for zone in sites.ZONES:
            for _ in range(CALLERS_PER_ZONE):
                self.tasks.append(asyncio.create_task(self._run_caller(zone)))

    async def stop(self) -> None:
        """Stops the callers and waits for their running requests."""
        self.stopping = True
        async with asyncio.timeout(sites.TIMEOUT_S):
            await asyncio.gather(*self.tasks)

    async def _run_caller(self, zone: str) -> None:
        """Runs one caller, which uses one connection after the other."""
        while not self.stopping:
            instance = self.balancer.choose(zone)
            if not instance:
                self.connect_failures["nobody ready"] += 1
                await asyncio.sleep(callers.RECONNECT_PAUSE_S)
                continue
            try:
                connection = await callers.connect(
                    self.site, instance, sites.ACCOUNT
                )
            except (psycopg.Error, KeyError) as error:
                self.connect_failures[str(error).splitlines()[-1]] += 1
                self.balancer.avoid(instance)
                continue
            async with connection:
                await self._use_connection(zone, instance, connection)

    async def _use_connection(
        self, zone: str, instance: str, connection: psycopg.AsyncConnection
    ) -> None:
        """Sends requests on a connection, at most REQUESTS_PER_CONNECTION.

        Stops at the first failure, and avoids the instance from then on.
        """
        for turn in range(REQUESTS_PER_CONNECTION):
            if self.stopping:
                return
            number = next(self.numbers)
            caller = Caller(self, zone, instance, connection, number)
            if turn % 5 == 4:
                done = await caller.run_transaction()
            elif turn % 5 == 0:
                done = await caller.run("INSERT INTO payment VALUES (%s)")
            else:
                done = await caller.run(
                    "SELECT count(*) FROM payment WHERE id = %s"
                )
            if not done:
                self.balancer.avoid(instance)
                return
            await asyncio.sleep(PAUSE_S)


class Caller(NamedTuple):
    """A caller that runs one statement or one transaction."""

    load: Load
    zone: str
    instance: str
    connection: psycopg.AsyncConnection
    number: int

    async def run(self, statement: str, in_transaction: bool = False) -> bool:
        """Runs a statement; returns whether it succeeded."""
        parameters = (self.number,) if "%s" in statement else ()
        request = await callers.run_one(
            self.connection, self.instance, self.number, statement, parameters
        )
        self.load.requests.append(
            ZoneRequest(self.zone, request, in_transaction)
        )
        return request.outcome is callers.Outcome.DONE

    async def run_transaction(self) -> bool:
        """Runs a transaction of one insert; returns whether it succeeded."""
        if not await self.run("BEGIN"):
            return False
        for statement in ("INSERT INTO payment VALUES (%s)", "COMMIT"):
            await asyncio.sleep(PAUSE_S)
            if not await self.run(statement, True):
                return False
        return True


async def count_statements(site_: site.Site, server: str) -> int:
    """Returns how many statements of callers a backend server has run."""
    process = site_.servers[(sites.SERVICE, server)]
    port = process.ports["control_port"]
    state = await site.get_json(f"http://{site.HOST}:{port}/state")
    return state["table_statements"]


async def measure_site(
    site_: site.Site, load: Load
) -> tuple[StepTimes, dict[str, Any]]:
    """Takes a zone out of service and back, then ends a daemon, under load."""
    figures: dict[str, Any] = {}
    document = copy.deepcopy(site_.document)
    load.start()
    await asyncio.sleep(1.0)
    began = time.time()
    await asyncio.sleep(STEADY_S)
    document["zones"][OUT_ZONE] = {"state": "out"}
    await site_.apply(copy.deepcopy(document))
    out = time.time()
    await asyncio.sleep(GRACE_S)
    server = sites.SERVERS[sites.ZONES.index(OUT_ZONE)]
    before = await count_statements(site_, server)
    await asyncio.sleep(OUT_S - GRACE_S)
    figures["late_at_server"] = await count_statements(site_, server) - before
    figures["late_at_daemons"] = count_late(site_.folder, out + GRACE_S)
    document["zones"][OUT_ZONE] = {}
    back = time.time()
    await site_.apply(document)
    await asyncio.sleep(BACK_S)
    figures["back_at_server"] = await count_statements(site_, server) - before
    process = site_.daemons[STOPPED_DAEMON]
    ending = time.time()
    process.send(signal.SIGTERM)
    async with asyncio.timeout(STOP_TIMEOUT_S):
        figures["exit_code"] = await process.process.wait()
    ended = time.time()
    await asyncio.sleep(AFTER_STOP_S)
    del site_.daemons[STOPPED_DAEMON]
    await site_.start_daemon(f"{sites.ZONES[1]}-3", sites.ZONES[1])
    await site_.wait_until_ready()
    replaced = time.time()
    await asyncio.sleep(AFTER_STOP_S)
    await load.stop()
    step_times = StepTimes(
        began, out, back, ending, ended, replaced, time.time()
    )
    return step_times, figures


def count_late(folder: pathlib.Path, since: float) -> int:
    """Returns how many requests the zone's daemons have placed since a time."""
    count = 0
    for prefix in ("routing", "sessions"):
        for path in folder.glob(f"{OUT_ZONE}-*.log"):
            for line in daemonlogs.read_file(path, since, prefix):
                count += " goes to " in line.text
    return count


def is_cut(zone_request: ZoneRequest) -> bool:
    """Returns whether a request was cut.

    That is one that failed with anything but "not run", or at all inside a
    transaction.
    """
    outcome = zone_request.request.outcome
    if outcome is callers.Outcome.DONE:
        return False
    return outcome is not callers.Outcome.NOT_RUN or zone_request.in_transaction


def share_by_second(
    requests: list[ZoneRequest], began: float
) -> dict[str, list[tuple[int, float]]]:
    """Returns the share of requests that succeeded, by zone and second."""
    succeeded: collections.Counter[tuple[str, int]] = collections.Counter()
    total: collections.Counter[tuple[str, int]] = collections.Counter()
    for zone_request in requests:
        second = int(zone_request.request.ended_at - began)
        total[(zone_request.zone, second)] += 1
        if zone_request.request.outcome is callers.Outcome.DONE:
            succeeded[(zone_request.zone, second)] += 1
    shares: dict[str, list[tuple[int, float]]] = {}
    for zone, second in sorted(total):
        key = (zone, second)
        point = (second, round(succeeded[key] / total[key], 4))
        shares.setdefault(zone, []).append(point)
    return shares


def summarize(
    load: Load, step_times: StepTimes, figures: dict[str, Any]
) -> dict[str, Any]:
    """Returns the figures by phase, and the counts that must be 0."""
    phases = {
        "steady": (step_times.began, step_times.out),
        "zone out": (step_times.out, step_times.back),
        "zone back": (step_times.back, step_times.ending),
        "shutdown": (step_times.ending, step_times.ended + AFTER_STOP_S),
        "replaced": (step_times.ended + AFTER_STOP_S, step_times.over),
    }
    rows = {}
    for phase, (start, end) in phases.items():
        phase_requests = []
        for zone_request in load.requests:
            if start <= zone_request.request.ended_at < end:
                phase_requests.append(zone_request)
        rows[phase] = summarize_phase(phase_requests, end - start)
    return {
        "phases": rows,
        "cut": sum(row["cut"] for row in rows.values()),
        "without_instance": dict(load.connect_failures),
        "ending_s": round(step_times.ended - step_times.ending, 3),
        **figures,
    }


def summarize_phase(
    phase_requests: list[ZoneRequest], length_s: float
) -> dict[str, Any]:
    """Returns the figures of one phase."""
    counts: collections.Counter[str] = collections.Counter()
    cuts: collections.Counter[str] = collections.Counter()
    zones: dict[str, list[bool]] = {}
    longest_s = 0.0
    for zone_request in phase_requests:
        request = zone_request.request
        counts[request.reason or "done"] += 1
        if is_cut(zone_request):
            where = (
                "in a transaction" if zone_request.in_transaction else "alone"
            )
            cuts[f"{request.reason} ({where})"] += 1
        is_done = request.outcome is callers.Outcome.DONE
        zones.setdefault(zone_request.zone, []).append(is_done)
        longest_s = max(longest_s, request.ended_at - request.began_at)
    return {
        "requests_per_s": round(len(phase_requests) / length_s, 1),
        "share": {
            zone: round(sum(done) / len(done), 4)
            for zone, done in zones.items()
        },
        "told": dict(counts),
        "cut": sum(cuts.values()),
        "cut_reasons": dict(cuts),
        "longest_s": round(longest_s, 3),
    }


def print_table(summary: dict[str, Any]) -> None:
    """Prints the figures as a table."""
    for phase, row in summary["phases"].items():
        shares = " ".join(f"{z} {x:.4f}" for z, x in row["share"].items())
        print(f"{phase:10} {row['requests_per_s']:7.1f}/s  {shares}", end="")
        print(f"  cut {row['cut']} longest {row['longest_s']:.2f} s")
        print(f"{'':10} {row['told']} {row['cut_reasons']}")
    for name, value in summary.items():
        if name != "phases":
            print(f"{name}: {value}")


def plot(
    shares: dict[str, list[tuple[int, float]]], step_times: StepTimes, path: str
) -> None:
    """Plots the share of requests that succeeded over time."""
    matplotlib.use("Agg")
    figure = matplotlib.figure.Figure(figsize=PLOT_INCHES)
    axes = figure.subplots()
    for zone, points in shares.items():
        seconds = [second for second, _ in points]
        axes.plot(seconds, [share for _, share in points], label=zone)
    names = {
        "out": "zone out",
        "back": "zone back",
        "ending": "SIGTERM",
        "ended": "ended",
        "replaced": "replaced",
    }
    for field, name in names.items():
        at = getattr(step_times, field) - step_times.began
        axes.axvline(at, color="grey", linewidth=0.8)
        axes.text(at, 0.02, name, rotation=90, fontsize=8)
    axes.set_ylim(0.0, 1.05)
    axes.set_xlabel("seconds")
    axes.set_ylabel("share of requests answered well")
    axes.legend(loc="lower right")
    pathlib.Path(path).parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)


async def measure() -> int:
    """Runs the measurement; returns 1 if a count that must be 0 is not."""
    with tempfile.TemporaryDirectory(prefix="cuminwall-bench-") as scratch:
        folder = pathlib.Path(_KEEP.value or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        site_ = site.Site(folder)
        balancer = Balancer(site_)
        watch_task = asyncio.create_task(balancer.watch())
        try:
            await sites.start(site_)
            instance = next(iter(site_.daemons))
            async with await callers.connect(
                site_, instance, sites.ACCOUNT
            ) as connection:
                await connection.execute("CREATE TABLE payment (id integer)")
            load = Load(site_, balancer)
            step_times, figures = await measure_site(site_, load)
        finally:
            watch_task.cancel()
            await site_.stop()
    summary = summarize(load, step_times, figures)
    print_table(summary)
    shares = share_by_second(load.requests, step_times.began)
    if _PLOT.value:
        plot(shares, step_times, _PLOT.value)
    if _OUT.value:
        text = json.dumps({"summary": summary, "shares": shares}, indent=1)
        pathlib.Path(_OUT.value).write_text(text, encoding="utf-8")
    late = summary["late_at_server"] + summary["late_at_daemons"]
    return 1 if summary["cut"] or late or summary["exit_code"] else 0


def main(argv: list[str]) -> None:
    """Runs the measurement."""
    del argv
    sys.exit(asyncio.run(measure()))


if __name__ == "__main__":
    app.run(main)
