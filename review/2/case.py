"""SyncReplicas 1: one replica drains, the other lags, the primary crashes."""

import asyncio
import itertools
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

DAEMONS = 3
WRITERS = 5  # A daemon.
LIMIT_S = 2.5


async def case(make_site, has_trouble: bool) -> int:
    site = make_site(DAEMONS)
    site.sync_replicas = 1
    record = site.record
    if not await site.start():
        print("the daemons did not get ready")
        return 2
    random.seed(28)
    primary, draining, other = site.backends
    draining.receive_s = 0.003
    other.receive_s = 0.003
    await asyncio.sleep(1.0)
    numbers = itertools.count(1)
    acknowledged: list[str] = []

    async def writer(daemon) -> None:
        client = None
        while True:
            await asyncio.sleep(random.uniform(0.02, 0.06))
            request = f"q{next(numbers):06d}"
            outcome = ""
            try:
                async with asyncio.timeout(LIMIT_S):
                    if client is None:
                        client = await standins.Client.open(
                            daemon.frontend, "post", "key-alpha"
                        )
                    record.add("requester", f"{request} to {daemon.name}")
                    text = f"WRITE a{random.randrange(2000)} x"
                    _, outcome, _ = await client.query(request, text)
            except (standins.Broken, OSError, TimeoutError) as error:
                outcome = repr(error)
                if client is not None:
                    client.close()
                client = None
            record.add("requester", f"{request} {outcome}")
            if outcome.startswith("COMPLETE"):
                acknowledged.append(request)

    tasks = []
    for daemon in site.daemons * WRITERS:
        tasks.append(asyncio.create_task(writer(daemon)))
    await asyncio.sleep(3.0)
    # Planned: the replica is replaced. It receives, and counts toward
    # SyncReplicas, until it ends, which is later than this case.
    draining.state = "draining"
    await draining.beat()
    record.add(draining.name, "is draining")
    await asyncio.sleep(1.0)
    before = len(acknowledged)
    known = list(acknowledged)
    if has_trouble:
        other.is_deaf = True
        record.add(other.name, "receives nothing for a while")
        await asyncio.sleep(1.0)
        primary.crash()
        known = list(acknowledged)
        other.is_deaf = False
        await asyncio.sleep(2.0)
        # Its entry is removed after three ping intervals of silence.
        await asyncio.sleep(1.6)
        await site.platform.remove(f"servers/{primary.name}")
    await asyncio.sleep(3.0)
    for each in tasks:
        each.cancel()
    print(f"acknowledged {len(acknowledged)}, {before} of them before")
    if before < 50:
        return 2
    if not site.platform.promoted:
        print("no backend was promoted")
        return 0
    name, log = site.platform.promoted[0]
    lost = sorted(set(known) - set(log))
    for request in lost:
        record.add("LOST", f"{request} was acknowledged; {name} lacks it")
    held = sorted(set(lost) & set(draining.log))
    print(f"{name} promoted, it lacks {len(lost)} acknowledged commits;")
    print(f"{len(held)} of these are in the log of {draining.name}, which runs")
    return 1 if lost else 0


if __name__ == "__main__":
    standins.main(case, str(HERE))
