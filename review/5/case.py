"""Two of three daemons of a zone are stopped at once, as in a rollout."""

import asyncio
import itertools
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

STOPPED = 2  # Of the three daemons.
WORK_S = 0.2  # Of a read; `TimeoutMs` of its route is 2000.
REQUESTERS = 24
LIMIT_S = 2.0
ENOUGH_S = standins.GRACE_S + 1.0


class Ingress:
    """Forwards new connections as "Ingress" in PROTOCOL.md says."""

    def __init__(self, daemons):
        self.daemons = daemons
        self.misses = {each.name: 0 for each in daemons}
        self.next = itertools.count()

    async def probe(self) -> None:
        while True:
            for each in self.daemons:
                is_ready = await each.is_ready()
                misses = self.misses[each.name]
                self.misses[each.name] = 0 if is_ready else misses + 1
            await asyncio.sleep(1.0)

    def choose(self):
        in_rotation = [e for e in self.daemons if self.misses[e.name] < 2]
        if 2 * len(in_rotation) < len(self.daemons):
            # "If fewer than half of a zone's daemons are in rotation, the
            # platform uses all of that zone's daemons."
            in_rotation = self.daemons
        return in_rotation[next(self.next) % len(in_rotation)]


async def case(make_site, has_trouble: bool) -> int:
    site = make_site(3)
    record = site.record
    if not await site.start():
        print("the daemons did not get ready")
        return 2
    for backend in site.backends:
        backend.work_s = WORK_S
    ingress = Ingress(site.daemons)
    probing = asyncio.create_task(ingress.probe())
    stopped_at: dict[str, float] = {}
    lost: list[str] = []
    served = 0
    numbers = itertools.count(1)

    async def operate() -> None:
        """One session that serves a single operation."""
        nonlocal served
        daemon = ingress.choose()
        request = f"q{next(numbers):06d}"
        sent = None
        try:
            async with asyncio.timeout(LIMIT_S):
                client = await standins.Client.open(
                    daemon.frontend, "lookup", "key-alpha"
                )
                sent = time.monotonic()
                record.add("requester", f"{request} sent to {daemon.name}")
                _, outcome, _ = await client.query(request, "READ 1a4")
                client.close()
                record.add("requester", f"{request} answered {outcome}")
                served += outcome.startswith("COMPLETE")
        except (standins.Broken, OSError, TimeoutError) as error:
            record.add("requester", f"{request} failed: {error!r}")
            await asyncio.sleep(0.05)
            began = stopped_at.get(daemon.name)
            if sent is None or began is None:
                return
            if not isinstance(error, standins.Broken):
                return
            passed_on = any(
                run[0] == request
                for each in site.backends
                for run in each.taken
            )
            after = sent - began
            if passed_on and 3.0 < after <= ENOUGH_S:
                lost.append(request)
                record.add(
                    "LOST",
                    f"{request}, sent {after:.2f} s after SIGTERM, was passed "
                    f"on and its connection ended without an answer",
                )

    async def requester() -> None:
        while True:
            await operate()
            await asyncio.sleep(0.02)

    requesters = [asyncio.create_task(requester()) for _ in range(REQUESTERS)]
    await asyncio.sleep(5.0)
    if has_trouble:
        for daemon in site.daemons[:STOPPED]:
            stopped_at[daemon.name] = time.monotonic()
            daemon.signal(signal.SIGTERM)
        exits = asyncio.gather(*(e.wait() for e in site.daemons[:STOPPED]))
        try:
            await asyncio.wait_for(exits, standins.GRACE_S)
        except TimeoutError:
            for daemon in site.daemons[:STOPPED]:
                daemon.kill()
    else:
        await asyncio.sleep(standins.GRACE_S)
    await asyncio.sleep(1.0)
    for each in (*requesters, probing):
        each.cancel()
    print(f"served {served}, lost {len(lost)}")
    if served < 50:
        return 2
    return 1 if lost else 0


if __name__ == "__main__":
    standins.main(case, str(HERE))
