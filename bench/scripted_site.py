"""A site whose backend servers answer from a script, and loads on it."""

import asyncio
import json
import pathlib
import sys
from collections.abc import Sequence
from typing import Any

from bench import latencies
from cuminwall_standins import site

SERVICE = "billing"
ZONE = "sediu"
KEY_ID = "clerk-1"
KEY_SECRET = "the clerks' secret"
UNBOUNDED_RATE = 1_000_000
LOAD_GRACE_S = 30.0
CLOCK_TICKS = 100  # Units of CPU time a second in /proc.


class ScriptedSite(site.Site):
    """A site with one group of scripted servers, all in one zone."""

    async def start_scripted_group(
        self, replicas: int, connections_per_server: int
    ) -> None:
        """Starts a primary `a` and its replicas `b`, `c` and so on."""
        names = [chr(ord("a") + place) for place in range(1 + replicas)]
        servers = tuple(site.ServerPlan(name, ZONE) for name in names)
        self.plans[SERVICE] = site.GroupPlan(
            SERVICE, servers, max_connections=connections_per_server
        )
        for name in names:
            self.servers[(SERVICE, name)] = await self._start(
                f"{SERVICE}-{name}",
                "bench.scripted",
                (f"--primary={name == 'a'}",),
                reads_ports=True,
            )

    async def start_program(
        self, name: str, module: str, *arguments: str
    ) -> site.Process:
        """Starts a program that prints its ports, and ends it with the site."""
        started = await self._start(name, module, arguments, reads_ports=True)
        self.servers[("", name)] = started
        return started

    async def start_relay(self, ports: Sequence[int]) -> site.Process:
        """Starts a relay before some servers."""
        targets = ",".join(map(str, ports))
        return await self.start_program(
            "relay", "bench.relay", f"--targets={targets}"
        )

    def server_ports(self, names: Sequence[str]) -> list[int]:
        """Returns the ports of servers."""
        return [self.servers[(SERVICE, name)].ports["port"] for name in names]

    def make_document(self, **service: Any) -> dict[str, Any]:
        """Returns a configuration with one key and no bound on the rate."""
        return {
            "zones": {ZONE: {}},
            "workspaces": {
                "clerks": {"rate": UNBOUNDED_RATE, "burst": UNBOUNDED_RATE}
            },
            "services": {SERVICE: self.describe_service(SERVICE, **service)},
            "keys": {
                KEY_ID: {
                    "workspace": "clerks",
                    "verifier": site.make_verifier(KEY_SECRET),
                }
            },
            "rules": [],
            "open_routes": [],
        }


class Load:
    """A load that several processes make together.

    Attributes:
      processes: How many.
      connections: How many in all.
      duration_s: The measured time in seconds.
      rate: Starts a second in all; 0 is a closed loop.
      mix: The operations.
    """

    def __init__(
        self,
        processes: int,
        connections: int,
        duration_s: float,
        rate: float = 0.0,
        mix: str = "read=1",
    ):
        self.processes = processes
        self.connections = connections
        self.duration_s = duration_s
        self.rate = rate
        self.mix = mix

    async def run(self, ports: Sequence[int]) -> latencies.Summary:
        """Runs the load through ports.

        Raises:
          RuntimeError: A process of the load failed.
        """
        runs = []
        for place in range(self.processes):
            runs.append(self._run_one(ports, place))
        summaries = await asyncio.gather(*runs)
        return latencies.merge(summaries)

    async def _run_one(
        self, ports: Sequence[int], place: int
    ) -> latencies.Summary:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.load",
            f"--ports={','.join(map(str, ports))}",
            f"--connections={self.connections // self.processes}",
            f"--duration_s={self.duration_s}",
            f"--rate={self.rate / self.processes}",
            f"--mix={self.mix}",
            f"--user={KEY_ID}",
            f"--password={KEY_SECRET}",
            f"--database={SERVICE}",
            f"--seed={place + 1}",
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(self.duration_s + LOAD_GRACE_S):
                output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        if process.returncode != 0:
            raise RuntimeError(f"the load ended with {process.returncode}")
        return json.loads(output)


class CpuMeter:
    """Tells how much processor time a process used since this was made."""

    def __init__(self, process: site.Process):
        self.path = pathlib.Path(f"/proc/{process.process.pid}/stat")
        self.began_s = self._read_s()

    def used_s(self) -> float:
        """Returns the processor time used, in seconds."""
        return self._read_s() - self.began_s

    def _read_s(self) -> float:
        fields = self.path.read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
