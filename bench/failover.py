"""Measures failovers: the gap in writes, and whether answers were true.

A site of separate processes serves writes through every daemon while its
primary fails in one of several ways. Afterwards the table at the surviving
primary is compared with the answer to each write.
"""

import asyncio
import collections
import itertools
import json
import pathlib
import signal
import sys
import tempfile
import time

import psycopg
from absl import app, flags

from bench import (
    callers,
    daemonlogs,
    failoverreport,
    primaryfaults,
    sites,
    writers,
)
from cuminwall_standins import site

BEFORE_FAULT_S = 1.0
AFTER_RESTORE_S = 0.7
RUNS_PER_SITE = 10

_RUNS = flags.DEFINE_integer("runs", 50, "The number of failovers.")
_KINDS = flags.DEFINE_list(
    "kinds", [], "Only these kinds of faults, in this order."
)
_OUT = flags.DEFINE_string(
    "out", "", "The file to write the results to, as JSON."
)
_KEEP = flags.DEFINE_string(
    "keep", "", "The folder to keep the daemons' logs in."
)


class Bench:
    """A site and the measurements made on it.

    Attributes:
      site: The site.
      tables: The writes of each run, by the table that they went to.
    """

    def __init__(self, site_: site.Site):
        self.site = site_
        self.tables: dict[str, list[callers.Request]] = {}

    async def read_table(self, table: str) -> collections.Counter[int]:
        """Returns how often each number is in a table at the primary."""
        name = await sites.find_primary(self.site)
        port = self.site.servers[(sites.SERVICE, name)].ports["port"]
        async with await psycopg.AsyncConnection.connect(
            host=site.HOST,
            port=port,
            user=site.USER,
            password=site.PASSWORD,
            dbname=sites.SERVICE,
        ) as connection:
            cursor = await connection.execute(f"SELECT id FROM {table}")
            rows = await cursor.fetchall()
        return collections.Counter(row[0] for row in rows)

    async def run(self, number: int, kind: str) -> failoverreport.RunResult:
        """Measures one failover under load."""
        await sites.wait_until_healthy(self.site)
        table = f"payment_{number}"
        instance = next(iter(self.site.daemons))
        async with await callers.connect(
            self.site, instance, sites.ACCOUNT
        ) as connection:
            await connection.execute(f"CREATE TABLE {table} (id integer)")
        load = writers.Load(self.site, table)
        load.start()
        fault = ""
        try:
            async with asyncio.timeout(sites.TIMEOUT_S):
                while not load.has_success_through_all(0.0):
                    await asyncio.sleep(sites.POLL_S)
            await asyncio.sleep(BEFORE_FAULT_S)
            old_primary = await sites.find_primary(self.site)
            fault_at = time.time()
            fault_task = asyncio.create_task(
                primaryfaults.FAULTS[kind](self.site, load, old_primary)
            )
            await self._wait_for_failover(load, old_primary)
            await fault_task
            await self.restore(old_primary)
            await asyncio.sleep(AFTER_RESTORE_S)
        except TimeoutError:
            fault = "writes did not resume through every daemon"
        await load.stop()
        await sites.wait_until_healthy(self.site)
        self.tables[table] = load.requests
        return await self.make_result(kind, table, fault_at, fault)

    async def _wait_for_failover(
        self, load: writers.Load, old_primary: str
    ) -> None:
        """Waits for a new primary and for a write through every daemon."""
        async with asyncio.timeout(sites.TIMEOUT_S):
            while await sites.find_primary(self.site) in ("", old_primary):
                await asyncio.sleep(sites.POLL_S)
            since = time.time()
            while not load.has_success_through_all(since):
                await asyncio.sleep(sites.POLL_S)

    async def restore(self, server: str) -> None:
        """Restarts or repairs a failed server, which rejoins as a replica."""
        process = self.site.servers[(sites.SERVICE, server)]
        if not process.is_running:
            await self.site.restart_server(sites.SERVICE, server)
            return
        process.send(signal.SIGCONT)
        await self.site.inject_fault(sites.SERVICE, server, "thaw")
        await self.site.inject_fault(sites.SERVICE, server, "mend")

    async def make_result(
        self, kind: str, table: str, fault_at: float, fault: str
    ) -> failoverreport.RunResult:
        """Compares the table at the primary with the answers to the writes."""
        requests = self.tables[table]
        stored = await self.read_table(table)
        gap_s, done_at = failoverreport.longest_gap(requests, fault_at)
        lines = daemonlogs.read_lines(self.site.folder, fault_at, "failover")
        return failoverreport.RunResult(
            kind,
            round(gap_s, 3),
            round(max(one.ended_at - one.began_at for one in requests), 3),
            daemonlogs.measure_parts(lines, fault_at, done_at),
            dict(collections.Counter(one.outcome.value for one in requests)),
            dict(collections.Counter(one.reason for one in requests)),
            *failoverreport.compare(requests, stored),
            fault,
        )

    async def recheck(self) -> tuple[int, int, int]:
        """Compares every table of the site again, after all failovers."""
        totals = [0, 0, 0]
        for table, requests in self.tables.items():
            found = failoverreport.compare(
                requests, await self.read_table(table)
            )
            for place, numbers in enumerate(found):
                totals[place] += len(numbers)
        return totals[0], totals[1], totals[2]


async def run_site(
    folder: pathlib.Path,
    kinds: list[str],
    results: list[failoverreport.RunResult],
) -> tuple[int, int, int]:
    """Runs several failovers on one site; returns the totals of `recheck`."""
    site_ = site.Site(folder)
    try:
        bench = Bench(site_)
        await sites.start(site_)
        for kind in kinds:
            result = await bench.run(len(results), kind)
            results.append(result)
            print(f"{len(results):4} {kind:20} {result.gap_s:6.2f} s", end="")
            print(f" {result.told} {result.fault}", flush=True)
        return await bench.recheck()
    finally:
        await site_.stop()


async def measure() -> int:
    """Runs all failovers.

    Returns 1 if a write was lost, repeated or untrue, or if a run failed.
    """
    order = itertools.cycle(_KINDS.value or primaryfaults.CYCLE)
    kinds = list(itertools.islice(order, _RUNS.value))
    results: list[failoverreport.RunResult] = []
    rechecked = [0, 0, 0]
    with tempfile.TemporaryDirectory(prefix="cuminwall-bench-") as scratch:
        base = pathlib.Path(_KEEP.value or scratch)
        for first in range(0, len(kinds), RUNS_PER_SITE):
            folder = base / f"site-{first}"
            folder.mkdir(parents=True)
            site_kinds = kinds[first : first + RUNS_PER_SITE]
            totals = await run_site(folder, site_kinds, results)
            rechecked = [
                sum(pair) for pair in zip(rechecked, totals, strict=True)
            ]
    summary = failoverreport.summarize(results)
    failoverreport.print_table(summary)
    print(f"checked again at each site's end: {rechecked} lost, twice, untrue")
    if _OUT.value:
        document = {
            "targets_s": {
                "median": failoverreport.TARGET_MEDIAN_S,
                "worst": failoverreport.TARGET_WORST_S,
            },
            "summary": summary,
            "late": rechecked,
            "runs": [
                {**one._asdict(), "parts": one.parts._asdict()}
                for one in results
            ],
        }
        text = json.dumps(document, indent=1)
        pathlib.Path(_OUT.value).write_text(text, encoding="utf-8")
    total = summary["all"]
    wrong = total["lost"] + total["repeated"] + total["untrue"] + sum(rechecked)
    return 1 if wrong or total["faults"] else 0


def main(argv: list[str]) -> None:
    """Runs the measurement."""
    del argv
    sys.exit(asyncio.run(measure()))


if __name__ == "__main__":
    app.run(main)
