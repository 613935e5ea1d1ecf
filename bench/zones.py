"""Measures service while a zone is taken out and while a daemon shuts down.

Callers of every zone read, write and run transactions. One zone is taken out
by configuration and brought back; then a daemon is told to end by SIGTERM.
Counted are the share of requests that were answered well, requests that were
cut, and new work in the zone more than a few seconds after it was taken out.
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
ENDED_DAEMON = f"{sites.ZONES[1]}-1"
CALLERS_PER_ZONE = 4
STAY_REQUESTS = 60
AVOID_S = 1.0
PAUSE_S = 0.02
STEADY_S = 4.0
OUT_S = 8.0
BACK_S = 6.0
LEFT_S = 4.0
GRACE_S = 3.0
END_LIMIT_S = 90.0
MOVING_ON = frozenset({"shutting_down", "zone_out"})
PLOT_INCHES = (8.0, 4.0)

_OUT = flags.DEFINE_string("out", "", "Where the results go, as JSON.")
_PLOT = flags.DEFINE_string("plot", "", "Where the plot goes.")
_KEEP = flags.DEFINE_string("keep", "", "Where the daemons' logs are kept.")


class Marks(NamedTuple):
    """When each step was, in seconds of the Unix clock.

    Attributes:
      began: The load was steady.
      out: The zone was taken out.
      back: It was brought back.
      ending: SIGTERM was sent.
      ended: The daemon's process was gone.
      replaced: Another daemon took its place and serves.
      over: The load ended.
    """

    began: float
    out: float
    back: float
    ending: float
    ended: float
    replaced: float
    over: float


class Outcome(NamedTuple):
    """One request of a caller.

    Attributes:
      zone: The caller's zone.
      request: The request and its end.
      in_transaction: Whether a transaction was open before it.
    """

    zone: str
    request: callers.Request
    in_transaction: bool


class Balancer:
    """Chooses entry instances as the platform's balancer would.

    Attributes:
      ready: The instances that say they are ready.
      avoided: Until when an instance that refused is passed over.
    """

    def __init__(self, site_: site.Site):
        self.site = site_
        self.ready: set[str] = set()
        self.avoided: dict[str, float] = {}
        self.turns = itertools.count()

    async def watch(self) -> None:
        """Asks every daemon whether it is ready, again and again."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            while True:
                for instance in list(self.site.daemons):
                    await self._ask(http, instance)
                await asyncio.sleep(sites.POLL_S)

    def choose(self, zone: str) -> str:
        """Returns an instance, of the caller's zone if one is ready."""
        now = time.monotonic()
        usable = []
        for instance in sorted(self.ready):
            if self.avoided.get(instance, 0.0) <= now:
                usable.append(instance)
        near = [name for name in usable if name.startswith(zone)]
        chosen = near or usable
        if not chosen:
            return ""
        return chosen[next(self.turns) % len(chosen)]

    def avoid(self, instance: str) -> None:
        """Passes an instance over for a while."""
        self.avoided[instance] = time.monotonic() + AVOID_S

    async def _ask(self, http: aiohttp.ClientSession, instance: str) -> None:
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
    """Callers of every zone until they are stopped.

    Attributes:
      outcomes: The requests that are over.
      stopping: Whether no further request is begun.
      without: How often a caller found no instance to connect to, by reason.
    """

    def __init__(self, site_: site.Site, balancer: Balancer):
        self.site = site_
        self.balancer = balancer
        self.outcomes: list[Outcome] = []
        self.stopping = False
        self.without: collections.Counter[str] = collections.Counter()
        self.numbers = itertools.count(1)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the callers."""
        for zone in sites.ZONES:
            for _ in range(CALLERS_PER_ZONE):
                self.tasks.append(asyncio.create_task(self._call(zone)))

    async def stop(self) -> None:
        """Waits until the requests in hand are over."""
        self.stopping = True
        async with asyncio.timeout(sites.GUARD_S):
            await asyncio.gather(*self.tasks)

    async def _call(self, zone: str) -> None:
        """Works as one caller, on one connection after the other."""
        while not self.stopping:
            instance = self.balancer.choose(zone)
            if not instance:
                self.without["nobody ready"] += 1
                await asyncio.sleep(callers.RECONNECT_PAUSE_S)
                continue
            try:
                connection = await callers.connect(
                    self.site, instance, sites.ACCOUNT
                )
            except (psycopg.Error, KeyError) as error:
                self.without[str(error).splitlines()[-1]] += 1
                self.balancer.avoid(instance)
                continue
            async with connection:
                await self._use(zone, instance, connection)

    async def _use(
        self, zone: str, instance: str, connection: psycopg.AsyncConnection
    ) -> None:
        """Works on a connection until it is time for another."""
        for turn in range(STAY_REQUESTS):
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
    """A caller with one piece of work."""

    load: Load
    zone: str
    instance: str
    connection: psycopg.AsyncConnection
    number: int

    async def run(self, statement: str, in_transaction: bool = False) -> bool:
        """Runs a statement; returns whether the caller stays."""
        parameters = (self.number,) if "%s" in statement else ()
        request = await callers.run_one(
            self.connection, self.instance, self.number, statement, parameters
        )
        self.load.outcomes.append(Outcome(self.zone, request, in_transaction))
        return request.told is callers.Told.DONE

    async def run_transaction(self) -> bool:
        """Runs a transaction of some statements."""
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
) -> tuple[Marks, dict[str, Any]]:
    """Takes the zone out and in and ends a daemon, under load."""
    facts: dict[str, Any] = {}
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
    facts["late_at_server"] = await count_statements(site_, server) - before
    facts["late_at_daemons"] = count_late(site_.folder, out + GRACE_S)
    document["zones"][OUT_ZONE] = {}
    back = time.time()
    await site_.apply(document)
    await asyncio.sleep(BACK_S)
    facts["back_at_server"] = await count_statements(site_, server) - before
    process = site_.daemons[ENDED_DAEMON]
    ending = time.time()
    process.send(signal.SIGTERM)
    async with asyncio.timeout(END_LIMIT_S):
        facts["exit_code"] = await process.process.wait()
    ended = time.time()
    await asyncio.sleep(LEFT_S)
    del site_.daemons[ENDED_DAEMON]
    await site_.start_daemon(f"{sites.ZONES[1]}-3", sites.ZONES[1])
    await site_.wait_until_ready()
    replaced = time.time()
    await asyncio.sleep(LEFT_S)
    await load.stop()
    marks = Marks(began, out, back, ending, ended, replaced, time.time())
    return marks, facts


def count_late(folder: pathlib.Path, since: float) -> int:
    """Returns how many requests the zone's daemons placed since then."""
    count = 0
    for prefix in ("routing", "sessions"):
        for path in folder.glob(f"{OUT_ZONE}-*.log"):
            for line in daemonlogs.read_file(path, since, prefix):
                count += " goes to " in line.text
    return count


def is_cut(outcome: Outcome) -> bool:
    """Returns whether a request got no typed answer or broke a transaction."""
    told = outcome.request.told
    if told is callers.Told.DONE:
        return False
    return told is not callers.Told.NOT_RUN or outcome.in_transaction


def share_by_second(
    outcomes_: list[Outcome], began: float
) -> dict[str, list[tuple[int, float]]]:
    """Returns the share of requests answered well, by zone and second."""
    good: collections.Counter[tuple[str, int]] = collections.Counter()
    every: collections.Counter[tuple[str, int]] = collections.Counter()
    for outcome in outcomes_:
        second = int(outcome.request.ended_at - began)
        every[(outcome.zone, second)] += 1
        if outcome.request.told is callers.Told.DONE:
            good[(outcome.zone, second)] += 1
    shares: dict[str, list[tuple[int, float]]] = {}
    for zone, second in sorted(every):
        key = (zone, second)
        point = (second, round(good[key] / every[key], 4))
        shares.setdefault(zone, []).append(point)
    return shares


def summarize(
    load: Load, marks: Marks, facts: dict[str, Any]
) -> dict[str, Any]:
    """Returns the figures by phase, and the counts that must be 0."""
    phases = {
        "steady": (marks.began, marks.out),
        "zone out": (marks.out, marks.back),
        "zone back": (marks.back, marks.ending),
        "shutdown": (marks.ending, marks.ended + LEFT_S),
        "replaced": (marks.ended + LEFT_S, marks.over),
    }
    rows = {}
    for phase, (start, end) in phases.items():
        chosen = []
        for outcome in load.outcomes:
            if start <= outcome.request.ended_at < end:
                chosen.append(outcome)
        rows[phase] = summarize_phase(chosen, end - start)
    return {
        "phases": rows,
        "cut": sum(row["cut"] for row in rows.values()),
        "without_instance": dict(load.without),
        "ending_s": round(marks.ended - marks.ending, 3),
        **facts,
    }


def summarize_phase(chosen: list[Outcome], length_s: float) -> dict[str, Any]:
    """Returns the figures of one phase."""
    counts: collections.Counter[str] = collections.Counter()
    cuts: collections.Counter[str] = collections.Counter()
    zones: dict[str, list[bool]] = {}
    longest_s = 0.0
    for outcome in chosen:
        request = outcome.request
        counts[request.reason or "done"] += 1
        if is_cut(outcome):
            place = "in a transaction" if outcome.in_transaction else "alone"
            cuts[f"{request.reason} ({place})"] += 1
        is_done = request.told is callers.Told.DONE
        zones.setdefault(outcome.zone, []).append(is_done)
        longest_s = max(longest_s, request.ended_at - request.began_at)
    return {
        "requests_per_s": round(len(chosen) / length_s, 1),
        "share": {
            zone: round(sum(done) / len(done), 4)
            for zone, done in zones.items()
        },
        "told": dict(counts),
        "cut": sum(cuts.values()),
        "cut_reasons": dict(cuts),
        "longest_s": round(longest_s, 3),
    }


def show(summary: dict[str, Any]) -> None:
    """Prints a table."""
    for phase, row in summary["phases"].items():
        shares = " ".join(f"{z} {x:.4f}" for z, x in row["share"].items())
        print(f"{phase:10} {row['requests_per_s']:7.1f}/s  {shares}", end="")
        print(f"  cut {row['cut']} longest {row['longest_s']:.2f} s")
        print(f"{'':10} {row['told']} {row['cut_reasons']}")
    for name, value in summary.items():
        if name != "phases":
            print(f"{name}: {value}")


def plot(
    shares: dict[str, list[tuple[int, float]]], marks: Marks, path: str
) -> None:
    """Draws the share of requests answered well over time."""
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
        at = getattr(marks, field) - marks.began
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
        watching = asyncio.create_task(balancer.watch())
        try:
            await sites.start(site_)
            instance = next(iter(site_.daemons))
            async with await callers.connect(
                site_, instance, sites.ACCOUNT
            ) as connection:
                await connection.execute("CREATE TABLE payment (id integer)")
            load = Load(site_, balancer)
            marks, facts = await measure_site(site_, load)
        finally:
            watching.cancel()
            await site_.stop()
    summary = summarize(load, marks, facts)
    show(summary)
    shares = share_by_second(load.outcomes, marks.began)
    if _PLOT.value:
        plot(shares, marks, _PLOT.value)
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
