"""A replaced primary answers BEGIN late while some requesters leave."""

import asyncio
import itertools
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))

import standins  # noqa: E402

DAEMONS = 9
MAX_CONNS = 22
LEAVERS = 8  # A daemon.
PATIENCE_S = 0.35  # Then a requester that leaves midway closes its session.


async def case(make_site, has_trouble: bool) -> int:
    site = make_site(DAEMONS, MAX_CONNS)
    record = site.record
    if not await site.start():
        print("the daemons did not get ready")
        return 2
    random.seed(28)
    numbers = itertools.count(1)
    counts = {"asked": 0, "served": 0}
    phase = {"is_counted": False}

    async def requester(daemon, database: str, kind: str) -> None:
        """A session that stays open; it reconnects after a close."""
        client = None
        while True:
            await asyncio.sleep(random.uniform(0.2, 0.4))
            request = f"q{next(numbers):06d}"
            is_counted = phase["is_counted"]
            counts["asked"] += is_counted
            outcome = ""
            try:
                async with asyncio.timeout(2.5):
                    if client is None:
                        client = await standins.Client.open(
                            daemon.frontend, database, "key-alpha"
                        )
                    text = "READ a1" if kind == "READ" else "WRITE a1 x"
                    record.add("requester", f"{request} to {daemon.name}")
                    _, outcome, _ = await client.query(request, text)
            except (standins.Broken, OSError, TimeoutError) as error:
                outcome = repr(error)
                if client is not None:
                    client.close()
                client = None
            record.add("requester", f"{request} {outcome}")
            counts["served"] += is_counted and outcome.startswith("COMPLETE")

    async def leaver(daemon) -> None:
        """Leaves in the middle of a transaction if no answer comes."""
        while True:
            await asyncio.sleep(random.uniform(0.3, 0.6))
            request = f"l{next(numbers):06d}"
            client = None
            try:
                client = await standins.Client.open(
                    daemon.frontend, "post", "key-alpha"
                )
                await client.query(request + "a", "BEGIN")
                async with asyncio.timeout(PATIENCE_S):
                    await client.query(request + "b", "WRITE a2 y")
                await client.query(request + "c", "ROLLBACK")
            except TimeoutError:
                record.add("requester", f"{request}b to {daemon.name} is left")
            except (standins.Broken, OSError):
                pass
            if client is not None:
                client.close()

    tasks = []
    for daemon in site.daemons:
        for database, kind in (
            ("post", "READ"),
            ("post", "WRITE"),
            ("lookup", "READ"),
        ):
            each = requester(daemon, database, kind)
            tasks.append(asyncio.create_task(each))

    async def measure(name: str, seconds: float) -> float:
        counts.update(asked=0, served=0)
        phase["is_counted"] = True
        await asyncio.sleep(seconds)
        phase["is_counted"] = False
        await asyncio.sleep(2.6)
        share = counts["served"] / max(1, counts["asked"])
        text = f"{name}: {counts['served']} of {counts['asked']} served"
        record.add("MEASURED", text)
        print(text)
        return share

    await measure("before", 4.0)
    leavers = []
    for daemon in site.daemons * LEAVERS:
        leavers.append(asyncio.create_task(leaver(daemon)))
    await asyncio.sleep(1.0)
    old = site.primary
    if has_trouble:
        old.begin_delay_s = 0.5
        old.state = "draining"
        await old.beat()
    await asyncio.sleep(4.0)
    old.begin_delay_s = 0.0
    for each in leavers:
        each.cancel()
    await asyncio.sleep(5.0)
    loop = asyncio.get_running_loop()
    after = await measure("after", 10.0)
    for b in site.backends:
        ages = sorted(round(loop.time() - t, 1) for t in b.in_tx.values())
        print(b.name, b.role, "open", len(b.open_now), "in tx for", ages)
    for each in (*tasks, *leavers):
        each.cancel()
    return 1 if after < 0.25 else 0


if __name__ == "__main__":
    standins.main(case, str(HERE))
