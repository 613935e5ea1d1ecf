"""A promote call is carried out late, when its change was given up."""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_2 as standins  # noqa: E402
import sync_2  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WRITERS = 3
WRITE_PAUSE_S = 0.3
MAX_CUT_S = 5.0  # `primary_cut` from the core.
BACK_AFTER_S = 0.5  # After the promote call, within that.
LATE_S = 7.0  # `applied_late`: 2 to 12 s.
DEAF_AFTER_S = 1.0  # After the cut has ended.
DEAF_S = 6.5  # `replica_lag`, deaf.
HELD, BROKEN, NOT_RUN = 0, 1, 2


async def write(site: sync_2.SyncSite, number: int) -> None:
    """Writes all the time; notes what is acknowledged."""
    rng = random.Random(number)
    count = 0
    while True:
        count += 1
        client = standins.Client(lambda text: None, f"w{number}s{count}n")
        try:
            node = site.nodes[rng.randrange(len(site.nodes))]
            async with asyncio.timeout(3.0):
                answer = await client.open(node, "db1", "key1")
            while answer.startswith("READY"):
                lines = await client.ask(f"WRITE {rng.randrange(99)} x", 3.0)
                if not lines[-1].startswith("READY"):
                    break
                if lines[0].startswith("COMPLETE"):
                    site.acknowledged.add(f"{client.name}{client.count:06x}")
                await asyncio.sleep(WRITE_PAUSE_S)
        except (OSError, TimeoutError):
            pass
        finally:
            client.close()
        await asyncio.sleep(WRITE_PAUSE_S)


async def cut_primary(site: sync_2.SyncSite) -> None:
    """Cuts the primary off from the store; later a replica goes deaf."""
    record = site.record
    primary = site.leader
    site.late_s = LATE_S
    primary.is_cut = True
    record(f"{primary.name}, the primary, can't reach the store")
    until = time.monotonic() + MAX_CUT_S
    while not site.late_target and time.monotonic() < until - BACK_AFTER_S:
        await asyncio.sleep(0.02)
    await asyncio.sleep(BACK_AFTER_S)
    primary.is_cut = False
    primary.register()
    record(f"{primary.name} reaches the store again")
    await asyncio.sleep(DEAF_AFTER_S)
    for backend in site.backends:
        if backend.name == site.late_target:
            backend.is_deaf = True
            record(f"{backend.name} receives nothing")
            await asyncio.sleep(DEAF_S)
            backend.is_deaf = False
            record(f"{backend.name} receives again")
            site.replicate()


async def run() -> int:
    """Runs the case once."""
    record = standins.Record(HERE / "record.txt")
    config = standins.make_config(
        7,
        [standins.make_tenant("tenant1", ["key1"], 200)],
        Kind="primary",
        TimeoutMs=800,
        TargetLatencyMs=150,
    )
    config["Services"][0]["SyncReplicas"] = 1
    site = sync_2.SyncSite(record, 4, config)
    writers: list[asyncio.Task] = []
    try:
        if not await site.start():
            record("the instances did not become ready")
            return NOT_RUN
        for number in range(WRITERS):
            writers.append(asyncio.create_task(write(site, number)))
        began_at = time.monotonic()
        await asyncio.sleep(3.0)
        if TROUBLE:
            await cut_primary(site)
        while time.monotonic() < began_at + 20.0:
            await asyncio.sleep(0.1)
        count = len(site.acknowledged) + sum(map(len, site.lost))
        record(f"{count} writes were acknowledged; lost: {site.lost}")
        print(
            f"{count} writes acknowledged; promotions:"
            f" {[len(lost) for lost in site.lost]} lost"
        )
        if not site.acknowledged:
            return NOT_RUN
        if any(site.lost):
            return BROKEN
        return NOT_RUN if TROUBLE and not site.late_target else HELD
    finally:
        for writer in writers:
            writer.cancel()
        site.end()


sys.exit(asyncio.run(run()))
