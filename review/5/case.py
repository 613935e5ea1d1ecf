"""The reader of the daemons' logs stops reading."""

import asyncio
import itertools
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

DAEMONS = 3
REQUESTERS = 6  # A daemon.
RECOVERY_S = 12.0
MEASURED_S = 8.0
LIMIT_S = 2.5


async def case(make_site, has_trouble: bool) -> int:
    site = make_site(DAEMONS)
    site.has_log_reader = True
    record = site.record
    if not await site.start():
        print("the daemons did not get ready")
        return 2
    random.seed(28)
    numbers = itertools.count(1)
    counts = {"asked": 0, "served": 0}
    phase = {"is_counted": False}

    async def requester(daemon) -> None:
        """A session that stays open; it reconnects after a close."""
        client = None
        while True:
            await asyncio.sleep(random.uniform(0.04, 0.12))
            request = f"q{next(numbers):06d}"
            is_counted = phase["is_counted"]
            counts["asked"] += is_counted
            outcome = ""
            try:
                async with asyncio.timeout(LIMIT_S):
                    if client is None:
                        client = await standins.Client.open(
                            daemon.frontend, "post", "key-alpha"
                        )
                    record.add("requester", f"{request} to {daemon.name}")
                    _, outcome, _ = await client.query(request, "WRITE a1 x")
            except (standins.Broken, OSError, TimeoutError) as error:
                outcome = repr(error)
                if client is not None:
                    client.close()
                client = None
            record.add("requester", f"{request} {outcome}")
            counts["served"] += is_counted and outcome.startswith("COMPLETE")

    tasks = []
    for daemon in site.daemons * REQUESTERS:
        tasks.append(asyncio.create_task(requester(daemon)))

    async def measure(name: str, seconds: float) -> float:
        counts.update(asked=0, served=0)
        phase["is_counted"] = True
        await asyncio.sleep(seconds)
        phase["is_counted"] = False
        await asyncio.sleep(LIMIT_S + 0.1)
        share = counts["served"] / max(1, counts["asked"])
        text = f"{name}: {counts['served']} of {counts['asked']} served"
        record.add("MEASURED", text)
        print(text)
        return share

    before = await measure("before the final fault", 4.0)
    # The final fault: right after a change of the configuration is confirmed.
    changed = standins.config(9, "svc", site.max_conns)
    changed["Limits"]["TxIdleMs"] = 2900
    await site.platform.put("op/config", changed)
    for daemon in site.daemons:
        daemon.signal(signal.SIGKILL)
    for daemon in site.daemons:
        await daemon.wait()
    await asyncio.sleep(standins.RESTART_S)
    for daemon in site.daemons:
        await daemon.start()
    if not all([await daemon.wait_ready() for daemon in site.daemons]):
        print("the daemons did not get ready again")
        return 2
    record.add("MEASURED", "the machines are back")
    await asyncio.sleep(1.0)
    if has_trouble:
        record.add("log readers", "SIGSTOP")
        for reader in site.log_readers:
            reader.send_signal(signal.SIGSTOP)
    await asyncio.sleep(RECOVERY_S - 1.0)
    after = await measure("later than RecoveryS after", MEASURED_S)
    ready = [await daemon.is_ready() for daemon in site.daemons]
    print(f"still answer their readiness probe: {sum(ready)} of {DAEMONS}")
    for each in tasks:
        each.cancel()
    if before < 0.25:
        return 2
    return 1 if after < 0.25 else 0


if __name__ == "__main__":
    standins.main(case, str(HERE))
