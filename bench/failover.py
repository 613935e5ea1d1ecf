"""Measures changes of primary: gap of writes, and what writes were told.

A site of separate processes takes writes through every daemon while its
primary fails in one of several ways. Afterwards the table at the surviving
primary is compared with what each write was told.
"""

import asyncio
import collections
import itertools
import json
import pathlib
import signal
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import psycopg
from absl import app, flags

from bench import callers, daemonlogs
from cuminwall import placement
from cuminwall_standins import site

SERVICE = "billing"
ZONES = ("sediu", "dispecerat", "ghiseu-nord")
DAEMONS_PER_ZONE = 2
SHARDS = 4
SERVERS = ("a", "b", "c")
SECRET = "the clerks' secret"
ACCOUNT = callers.Account("clerk-1", SECRET, SERVICE)
CONNECTIONS = 20
SPARE_CONNECTIONS = 4
RATE_PER_S = 100000
WRITE_PAUSE_S = 0.02
NEWCOMER_PAUSE_S = 0.1
STEADY_S = 1.0
STORE_FAULT_S = 3.0
STORE_SLOW_S = 0.6
PAUSE_S = 3.0
HEALED_S = 0.7
GUARD_S = 40.0
POLL_S = 0.02
TARGET_MEDIAN_S = 2.0
TARGET_WORST_S = 9.0
RUNS_PER_SITE = 10

_RUNS = flags.DEFINE_integer("runs", 50, "How many changes of primary.")
_KINDS = flags.DEFINE_list("kinds", [], "Only these kinds, in this order.")
_OUT = flags.DEFINE_string("out", "", "Where the results go, as JSON.")
_KEEP = flags.DEFINE_string("keep", "", "Where the daemons' logs are kept.")


class RunResult(NamedTuple):
    """One change of primary.

    Attributes:
      kind: How the primary failed.
      gap_s: The longest time without a write that was done.
      longest_s: The longest write of all, done or not.
      parts: How long each part took.
      told: How many writes were told what.
      reasons: How many writes failed for which reason.
      lost: Writes told done that are not there.
      repeated: Writes that are there more than once.
      untrue: Writes told "not run" or "failed" that are there.
      fault: What went wrong in the run itself, or "".
    """

    kind: str
    gap_s: float
    longest_s: float
    parts: daemonlogs.Parts
    told: dict[str, int]
    reasons: dict[str, int]
    lost: list[int]
    repeated: list[int]
    untrue: list[int]
    fault: str


class Load:
    """Writers through every daemon until they are stopped.

    One writer stays on each daemon; beside them newcomers connect to one
    daemon after the other and write once.

    Attributes:
      site: The site.
      table: Where they write.
      requests: The writes that are over.
      newcomers: Of these, the ones by newcomers.
      stopping: Whether no further write is begun.
    """

    def __init__(self, site_: site.Site, table: str):
        self.site = site_
        self.table = table
        self.requests: list[callers.Request] = []
        self.newcomers: list[callers.Request] = []
        self.stopping = False
        self.numbers = itertools.count(1)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts a writer for each daemon."""
        for instance in list(self.site.daemons):
            self.add(instance)
        self.tasks.append(asyncio.create_task(self._send_newcomers()))

    def add(self, instance: str) -> None:
        """Starts a writer through a daemon."""
        self.tasks.append(asyncio.create_task(self._write_all(instance)))

    async def stop(self) -> None:
        """Waits until the writes in hand are over."""
        self.stopping = True
        async with asyncio.timeout(GUARD_S):
            while self.tasks:
                await self.tasks.pop()

    def has_success_of_all(self, since: float) -> bool:
        """Returns whether each daemon did a newcomer's write since then."""
        done = set()
        for request in self.newcomers:
            if request.told is callers.Told.DONE and request.began_at > since:
                done.add(request.instance)
        return set(self.site.daemons) <= done

    async def _write_all(self, instance: str) -> None:
        """Writes through a daemon as long as it is there."""
        while not self.stopping and instance in self.site.daemons:
            try:
                connection = await callers.connect(self.site, instance, ACCOUNT)
            except (psycopg.Error, KeyError):
                await asyncio.sleep(callers.RECONNECT_PAUSE_S)
                continue
            async with connection:
                await self._write_on(connection, instance)

    async def _send_newcomers(self) -> None:
        """Lets newcomers in at an even pace."""
        while not self.stopping:
            for instance in list(self.site.daemons):
                task = asyncio.create_task(self._write_once(instance))
                self.tasks.append(task)
                await asyncio.sleep(NEWCOMER_PAUSE_S)

    async def _write_once(self, instance: str) -> None:
        """Connects, writes once and leaves."""
        try:
            connection = await callers.connect(self.site, instance, ACCOUNT)
        except (psycopg.Error, KeyError):
            return
        async with connection:
            request = await self._write(connection, instance)
        self.newcomers.append(request)

    async def _write_on(
        self, connection: psycopg.AsyncConnection, instance: str
    ) -> None:
        """Writes on a connection until it ends."""
        while not self.stopping and not connection.closed:
            await self._write(connection, instance)
            await asyncio.sleep(WRITE_PAUSE_S)

    async def _write(
        self, connection: psycopg.AsyncConnection, instance: str
    ) -> callers.Request:
        """Writes a number of its own."""
        number = next(self.numbers)
        statement = f"INSERT INTO {self.table} VALUES (%s)"
        request = await callers.run_one(
            connection, instance, number, statement, (number,)
        )
        self.requests.append(request)
        return request


class Bench:
    """A site and the runs on it.

    Attributes:
      site: The site.
      spare_names: Names for daemons that take another's place.
    """

    def __init__(self, site_: site.Site):
        self.site = site_
        self.spare_names = (f"spare-{number}" for number in itertools.count(1))
        self.tables: dict[str, list[callers.Request]] = {}

    async def start(self) -> None:
        """Starts every process and waits until all serve."""
        await self.site.start_platform("--list_lag_s=0.5")
        servers = tuple(map(site.ServerPlan, SERVERS, ZONES))
        limit = CONNECTIONS + SPARE_CONNECTIONS
        await self.site.start_group(
            site.GroupPlan(SERVICE, servers, max_connections=limit)
        )
        await self.site.apply(make_document(self.site))
        for zone in ZONES:
            for number in range(1, DAEMONS_PER_ZONE + 1):
                await self.site.start_daemon(f"{zone}-{number}", zone)
        await self.site.wait_until_ready()

    async def primary(self) -> str:
        """Returns the primary as the first daemon that answers knows it."""
        status = await self.site.status(next(iter(self.site.daemons)))
        return status["groups"][0]["primary"] if status["groups"] else ""

    async def steward(self) -> str:
        """Returns the daemon that lends for the service."""
        shard = placement.shard_of(SERVICE, SHARDS)
        for instance in self.site.daemons:
            status = await self.site.status(instance)
            if shard in status["stewardships"]:
                return instance
        raise RuntimeError("no steward")

    async def wait_whole(self) -> None:
        """Waits until every server answers and one alone is primary."""
        async with asyncio.timeout(GUARD_S):
            await self.site.wait_until_ready(GUARD_S)
            while not await self._is_whole():
                await asyncio.sleep(POLL_S)

    async def _is_whole(self) -> bool:
        for instance in self.site.daemons:
            status = await self.site.status(instance)
            for group in status["groups"]:
                if not _is_group_whole(group):
                    return False
        return True

    async def read_table(self, table: str) -> collections.Counter[int]:
        """Returns how often each number stands at the primary."""
        name = await self.primary()
        port = self.site.servers[(SERVICE, name)].ports["port"]
        async with await psycopg.AsyncConnection.connect(
            host=site.HOST,
            port=port,
            user=site.USER,
            password=site.PASSWORD,
            dbname=SERVICE,
        ) as connection:
            cursor = await connection.execute(f"SELECT id FROM {table}")
            rows = await cursor.fetchall()
        return collections.Counter(row[0] for row in rows)

    async def run(self, number: int, kind: str) -> RunResult:
        """Runs one change of primary under load."""
        await self.wait_whole()
        table = f"payment_{number}"
        instance = next(iter(self.site.daemons))
        async with await callers.connect(
            self.site, instance, ACCOUNT
        ) as connection:
            await connection.execute(f"CREATE TABLE {table} (id integer)")
        load = Load(self.site, table)
        load.start()
        fault = ""
        try:
            async with asyncio.timeout(GUARD_S):
                while not load.has_success_of_all(0.0):
                    await asyncio.sleep(POLL_S)
            await asyncio.sleep(STEADY_S)
            former = await self.primary()
            fault_at = time.time()
            healing = asyncio.create_task(FAULTS[kind](self, load, former))
            await self._wait_changed(load, former)
            await healing
            await self.heal(former)
            await asyncio.sleep(HEALED_S)
        except TimeoutError:
            fault = "writes did not come back through every daemon"
        await load.stop()
        await self.wait_whole()
        self.tables[table] = load.requests
        return await self.judge(kind, table, fault_at, fault)

    async def _wait_changed(self, load: Load, former: str) -> None:
        """Waits until writes go on through each daemon at another primary."""
        async with asyncio.timeout(GUARD_S):
            while await self._primary_or_none() in ("", former):
                await asyncio.sleep(POLL_S)
            since = time.time()
            while not load.has_success_of_all(since):
                await asyncio.sleep(POLL_S)

    async def _primary_or_none(self) -> str:
        """Returns the primary, or "" if the daemon asked does not answer."""
        for instance in list(self.site.daemons):
            try:
                status = await self.site.status(instance)
            except (TimeoutError, OSError):
                continue
            if status["groups"]:
                return status["groups"][0]["primary"]
        return ""

    async def heal(self, server: str) -> None:
        """Brings a failed server back as a replica."""
        process = self.site.servers[(SERVICE, server)]
        if not process.is_running:
            await self.site.restart_server(SERVICE, server)
            return
        process.send(signal.SIGCONT)
        await self.site.switch(SERVICE, server, "thaw")
        await self.site.switch(SERVICE, server, "mend")

    async def judge(
        self, kind: str, table: str, fault_at: float, fault: str
    ) -> RunResult:
        """Compares what stands at the primary with what writes were told."""
        requests = self.tables[table]
        there = await self.read_table(table)
        gap_s, done_at = longest_gap(requests, fault_at)
        lines = daemonlogs.read_lines(self.site.folder, fault_at, "failover")
        return RunResult(
            kind,
            round(gap_s, 3),
            round(max(one.ended_at - one.began_at for one in requests), 3),
            daemonlogs.measure_parts(lines, fault_at, done_at),
            dict(collections.Counter(one.told.value for one in requests)),
            dict(collections.Counter(one.reason for one in requests)),
            *compare(requests, there),
            fault,
        )

    async def recheck(self) -> tuple[int, int, int]:
        """Compares every table of the site once more, after all changes."""
        totals = [0, 0, 0]
        for table, requests in self.tables.items():
            found = compare(requests, await self.read_table(table))
            for place, numbers in enumerate(found):
                totals[place] += len(numbers)
        return totals[0], totals[1], totals[2]


def _is_group_whole(group: dict[str, Any]) -> bool:
    """Returns whether a daemon sees each server in its role."""
    if not group["primary"]:
        return False
    for server in group["servers"]:
        is_primary = server["server"] == group["primary"]
        if not server["reachable"] or server["in_recovery"] == is_primary:
            return False
    return True


def make_document(site_: site.Site) -> dict[str, Any]:
    """Returns the configuration of the bench."""
    return {
        "zones": {zone: {} for zone in ZONES},
        "workspaces": {"clerks": {"rate": RATE_PER_S, "burst": RATE_PER_S}},
        "services": {
            SERVICE: site_.describe_service(
                SERVICE, connections_per_server=CONNECTIONS
            )
        },
        "keys": {
            ACCOUNT.user: {
                "workspace": "clerks",
                "verifier": site.make_verifier(SECRET),
            }
        },
        "rules": [],
        "open_routes": [],
    }


async def kill(bench: Bench, load: Load, server: str) -> None:
    """Kills the primary."""
    bench.site.servers[(SERVICE, server)].send(signal.SIGKILL)


async def stop_process(bench: Bench, load: Load, server: str) -> None:
    """Stops the primary's process, sockets stay open."""
    bench.site.servers[(SERVICE, server)].send(signal.SIGSTOP)


async def freeze(bench: Bench, load: Load, server: str) -> None:
    """Freezes the primary towards clients and members."""
    await bench.site.switch(SERVICE, server, "freeze")


async def cut(bench: Bench, load: Load, server: str) -> None:
    """Cuts the primary off from clients; its replicas still follow it."""
    await bench.site.switch(SERVICE, server, "cut_clients")


async def kill_store_down(bench: Bench, load: Load, server: str) -> None:
    """Kills the primary while the store is down."""
    await bench.site.platform_fault(down="refuse")
    await kill(bench, load, server)
    await asyncio.sleep(STORE_FAULT_S)
    await bench.site.platform_fault(down="ok")


async def kill_store_slow(bench: Bench, load: Load, server: str) -> None:
    """Kills the primary while the store is slow."""
    await bench.site.platform_fault(slow_s=STORE_SLOW_S)
    await kill(bench, load, server)
    await asyncio.sleep(STORE_FAULT_S)
    await bench.site.platform_fault(slow_s=0.0)


async def kill_steward(bench: Bench, load: Load, server: str) -> None:
    """Kills the primary and the steward; a new daemon takes its place."""
    instance = await bench.steward()
    status = await bench.site.status(instance)
    process = bench.site.daemons.pop(instance)
    process.send(signal.SIGKILL)
    await kill(bench, load, server)
    await process.process.wait()
    name = next(bench.spare_names)
    await bench.site.start_daemon(name, status["zone"])
    load.add(name)


async def kill_daemon_paused(bench: Bench, load: Load, server: str) -> None:
    """Kills the primary while a daemon other than the steward is paused."""
    steward = await bench.steward()
    others = [name for name in bench.site.daemons if name != steward]
    process = bench.site.daemons[others[-1]]
    process.send(signal.SIGSTOP)
    await kill(bench, load, server)
    await asyncio.sleep(PAUSE_S)
    process.send(signal.SIGCONT)


Fault = Callable[[Bench, Load, str], Coroutine[None, None, None]]

FAULTS: dict[str, Fault] = {
    "kill": kill,
    "stop": stop_process,
    "freeze": freeze,
    "cut": cut,
    "kill_store_down": kill_store_down,
    "kill_store_slow": kill_store_slow,
    "kill_steward": kill_steward,
    "kill_daemon_paused": kill_daemon_paused,
}
CYCLE = (
    "kill",
    "cut",
    "kill",
    "stop",
    "kill_steward",
    "kill",
    "freeze",
    "kill_store_down",
    "kill",
    "kill_store_slow",
    "kill",
    "kill_daemon_paused",
)


def longest_gap(
    requests: list[callers.Request], fault_at: float
) -> tuple[float, float]:
    """Returns the longest time without a success, and when it ended."""
    done = []
    for request in requests:
        if request.told is callers.Told.DONE:
            done.append(request.ended_at)
    done.sort()
    gap_s, ended_at = 0.0, fault_at
    for before, after in itertools.pairwise(done):
        if after > fault_at and after - before > gap_s:
            gap_s, ended_at = after - before, after
    return gap_s, ended_at


def compare(
    requests: list[callers.Request], there: collections.Counter[int]
) -> tuple[list[int], list[int], list[int]]:
    """Returns the lost, the repeated and the untruly refused writes."""
    lost, untrue = [], []
    for request in requests:
        count = there[request.number]
        if request.told is callers.Told.DONE and not count:
            lost.append(request.number)
        if request.told in (callers.Told.NOT_RUN, callers.Told.FAILED):
            if count:
                untrue.append(request.number)
    repeated = [number for number, count in there.items() if count > 1]
    return lost, repeated, untrue


def summarize(results: list[RunResult]) -> dict[str, Any]:
    """Returns the figures over all runs and by kind."""
    kinds = {"all": results}
    for result in results:
        kinds.setdefault(result.kind, []).append(result)
    return {kind: summarize_kind(chosen) for kind, chosen in kinds.items()}


def summarize_kind(results: list[RunResult]) -> dict[str, Any]:
    """Returns the figures over some runs."""
    gaps = sorted(result.gap_s for result in results)
    told: collections.Counter[str] = collections.Counter()
    for result in results:
        told.update(result.told)
    parts = {}
    for name in daemonlogs.Parts._fields:
        values = [getattr(result.parts, name) for result in results]
        seen = [value for value in values if value is not None]
        parts[name] = round(statistics.median(seen), 3) if seen else None
    return {
        "runs": len(results),
        "median_s": round(statistics.median(gaps), 3),
        "p90_s": gaps[max(0, -(-9 * len(gaps) // 10) - 1)],
        "worst_s": gaps[-1],
        "longest_write_s": max(result.longest_s for result in results),
        "told": dict(told),
        "parts_median_s": parts,
        "lost": sum(len(result.lost) for result in results),
        "repeated": sum(len(result.repeated) for result in results),
        "untrue": sum(len(result.untrue) for result in results),
        "faults": [result.fault for result in results if result.fault],
    }


def show(summary: dict[str, Any]) -> None:
    """Prints a table."""
    base = summary.get("kill", summary["all"])["median_s"]
    heads = (
        "runs",
        "median",
        "p90",
        "worst",
        "longest",
        "x kill",
        "lost",
        "twice",
    )
    print(f"{'kind':20}" + "".join(f"{head:>8}" for head in heads), end="")
    print(f"{'untrue':>8}  detect/fence/promote/spread")
    for kind, row in summary.items():
        names = ("median_s", "p90_s", "worst_s", "longest_write_s")
        numbers = [row[name] for name in names]
        print(f"{kind:20}{row['runs']:8}", end="")
        print("".join(f"{number:8.2f}" for number in numbers), end="")
        print(f"{row['median_s'] / base:8.2f}{row['lost']:8}", end="")
        parts = "/".join(str(x) for x in row["parts_median_s"].values())
        print(f"{row['repeated']:8}{row['untrue']:8}  {parts}")
    total = summary["all"]
    print(f"told: {total['told']}")
    print(f"median {total['median_s']:.2f} s of target {TARGET_MEDIAN_S} s")
    print(f"worst {total['worst_s']:.2f} s of target {TARGET_WORST_S} s")


async def run_site(
    folder: pathlib.Path, kinds: list[str], results: list[RunResult]
) -> tuple[int, int, int]:
    """Runs some changes on one site; returns what the last check found."""
    site_ = site.Site(folder)
    try:
        bench = Bench(site_)
        await bench.start()
        for kind in kinds:
            result = await bench.run(len(results), kind)
            results.append(result)
            print(f"{len(results):4} {kind:20} {result.gap_s:6.2f} s", end="")
            print(f" {result.told} {result.fault}", flush=True)
        return await bench.recheck()
    finally:
        await site_.stop()


async def measure() -> int:
    """Runs everything; returns 1 if a write was lost, repeated or untrue."""
    order = itertools.cycle(_KINDS.value or CYCLE)
    kinds = list(itertools.islice(order, _RUNS.value))
    results: list[RunResult] = []
    late = [0, 0, 0]
    with tempfile.TemporaryDirectory(prefix="cuminwall-bench-") as scratch:
        base = pathlib.Path(_KEEP.value or scratch)
        for first in range(0, len(kinds), RUNS_PER_SITE):
            folder = base / f"site-{first}"
            folder.mkdir(parents=True)
            part = kinds[first : first + RUNS_PER_SITE]
            found = await run_site(folder, part, results)
            late = [sum(pair) for pair in zip(late, found, strict=True)]
    summary = summarize(results)
    show(summary)
    print(f"checked again at each site's end: {late} lost, twice, untrue")
    if _OUT.value:
        document = {
            "targets_s": {"median": TARGET_MEDIAN_S, "worst": TARGET_WORST_S},
            "summary": summary,
            "late": late,
            "runs": [
                {**one._asdict(), "parts": one.parts._asdict()}
                for one in results
            ],
        }
        text = json.dumps(document, indent=1)
        pathlib.Path(_OUT.value).write_text(text, encoding="utf-8")
    total = summary["all"]
    wrong = total["lost"] + total["repeated"] + total["untrue"] + sum(late)
    return 1 if wrong or total["faults"] else 0


def main(argv: list[str]) -> None:
    """Runs the measurement."""
    del argv
    sys.exit(asyncio.run(measure()))


if __name__ == "__main__":
    app.run(main)
