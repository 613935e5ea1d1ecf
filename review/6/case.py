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
QUIET_S = 1.0  # Nobody writes from so long before the crash until it is over.
DEAF_S = 6.5  # `replica_lag`: one replica, deaf; the primary crashes meanwhile.
MAX_CRASH_S = 6.5
BACK_AFTER_S = 0.3  # The primary is back so long after the promote call.
LATE_S = 2.0  # `applied_late`: 2 to 12 s.
BEAT_PHASE_S = 1.15  # The crash comes so long after a heartbeat.
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
                if site.is_quiet:
                    await asyncio.sleep(WRITE_PAUSE_S)
                    continue
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


def find_replica(site: sync_2.SyncSite) -> sync_2.SyncBackend:
    """Returns the replica nearest to the coordinator."""
    name = site.store.find_coordinator()
    zone = next(each.zone for each in site.nodes if each.name == name)
    replicas = [each for each in site.backends if each is not site.leader]
    near = [each for each in replicas if each.zone == zone]
    return (near or replicas)[0]


async def crash_primary(site: sync_2.SyncSite) -> None:
    """A replica goes deaf and the primary crashes; both come back."""
    record = site.record
    site.is_quiet = True
    await asyncio.sleep(QUIET_S)
    primary = site.leader
    replica = find_replica(site)
    passed_s = time.monotonic() - primary.reached_at
    await asyncio.sleep((BEAT_PHASE_S - passed_s) % sync_2.HEARTBEAT_S)
    site.late_s = LATE_S
    replica.is_deaf = True
    began_at = time.monotonic()
    record(f"{replica.name} receives nothing; {primary.name} crashes")
    primary.crash()
    while time.monotonic() < began_at + MAX_CRASH_S - BACK_AFTER_S:
        if site.late_target:
            break
        await asyncio.sleep(0.02)
    await asyncio.sleep(BACK_AFTER_S)
    await primary.come_back()
    record(f"{primary.name} is back with its log")
    site.is_quiet = False
    await asyncio.sleep(began_at + DEAF_S - time.monotonic())
    replica.is_deaf = False
    record(f"{replica.name} receives again")
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
            await crash_primary(site)
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
