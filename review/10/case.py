"""Instances get SIGHUP while they start, in three rolling restarts."""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_2 as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 3
GAP_S = 2.0  # Between two machines of a rolling restart.
GRACE_S = 6.0
RESTART_S = 0.5
HUP_AFTER_S = 0.15
ENDS = 3  # So many ends in a day, on two machines, are a fault.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Supervisor:
    """Restarts an instance whose process has ended, as the platform does."""

    def __init__(self, site: standins.Site, node: standins.Node):
        self.site = site
        self.node = node
        self.own_ends = 0

    async def restart(self) -> bool:
        """Stops the instance with SIGTERM; returns whether it is back."""
        record = self.site.record
        node = self.node
        record(f"SIGTERM to {node.name}")
        node.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while node.is_running() and time.monotonic() < until:
            await asyncio.sleep(0.05)
        if node.is_running():
            record(f"{node.name} still runs after the grace period")
            return False
        await asyncio.sleep(RESTART_S)
        node.start()
        record(f"{node.name} starts")
        if TROUBLE:
            await asyncio.sleep(HUP_AFTER_S)
            node.settings.touch()
            record(f"SIGHUP to {node.name}")
            node.signal(signal.SIGHUP)
        return await self._wait_until_ready()

    async def _wait_until_ready(self) -> bool:
        record = self.site.record
        until = time.monotonic() + 15.0
        while time.monotonic() < until:
            if not self.node.is_running():
                assert self.node.process is not None
                code = self.node.process.returncode
                self.own_ends += 1
                record(f"{self.node.name} has ended by itself, code {code}")
                await asyncio.sleep(RESTART_S)
                self.node.start()
                record(f"{self.node.name} starts")
            elif await self.node.is_ready():
                record(f"{self.node.name} is ready")
                return True
            await asyncio.sleep(0.05)
        return False


async def run() -> int:
    """Runs the case once."""
    record = standins.Record(HERE / "record.txt")
    config = standins.make_config(7, [standins.make_tenant("t1", ["key1"])])
    site = standins.Site(record, 3, config)
    try:
        if not await site.start():
            record("the instances did not become ready")
            return NOT_RUN
        supervisors = [Supervisor(site, node) for node in site.nodes[:2]]
        for _ in range(ROUNDS):
            tasks = []
            for supervisor in supervisors:
                tasks.append(asyncio.create_task(supervisor.restart()))
                await asyncio.sleep(GAP_S)
            if not all(await asyncio.gather(*tasks)):
                return NOT_RUN
        ends = {each.node.name: each.own_ends for each in supervisors}
        record(f"ends by themselves: {ends}")
        print(f"ends by themselves: {ends}")
        is_fault = sum(count >= ENDS for count in ends.values()) >= 2
        return BROKEN if is_fault else HELD
    finally:
        site.end()


sys.exit(asyncio.run(run()))
