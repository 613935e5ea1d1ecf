"""The instances as processes of their own, with their output in files."""

import asyncio
import math
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import NamedTuple

from cuminwall import exceptions, plainhttp
from soak import relays
from soak.timeline import Timeline

HOST = "127.0.0.1"
COMMAND = "platform/cuminwall_node.py"
FIRST_PORT = 20_000
END_PORT = 32_000
PORTS_EACH = 6
RESTART_S = 0.5
POLL_S = 0.1
PROBE_TIMEOUT_S = 1.0
READY_PATH = "/v1/readyz"
OK = 200
PASSED_ON = ("PATH", "HOME", "LANG")

SETTINGS = """\
NodeName = "{name}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{host}"
Zone = "{zone}"
Region = "gorun-judet"
PortRange = [{peers},{metrics}]
Seeds = []
Bootstrap = true
HeartbeatMs = 1200
[Zones]
{zone} = "gorun-judet"
[ListenAddrs]
Frontend = "{host}:{callers}"
Ready = "{host}:{ready}"
ControlPlane = "{host}:{ready}"
[Limits]
CpuQuota = 0.516
Cores = 1
MemoryMb = 200
MaxFds = 4300
[Bounds]
ContactMs = 5000
DrainTimeoutMs = 10000
GracePeriodS = 6
ConfigApplyMs = 5000
FencingEnforced = true
[platform]
Address = "{host}:{store}"
form = "kv"
WritesPerS = 1200
ReadsPerS = 6000
HistoryS = 20
TtlMinMs = 1000
[Provider]
Address = "{host}:{store}"
Duties = ["failover"]
DutyPerS = 50.0
"""


class Ports(NamedTuple):
    """The ports of an instance, of its store and of its relay."""

    callers: int
    ready: int
    peers: int
    metrics: int
    store: int
    relay: int


class Scheduling(NamedTuple):
    """How a process was scheduled since its start.

    Attributes:
      ran_s: How long it ran.
      waited_s: How long it could have run and waited for a processor.
    """

    ran_s: float
    waited_s: float


class Daemon:
    """One instance.

    Attributes:
      name: Its name.
      zone: Its availability zone.
      ports: Its ports.
      log: The file of its output.
      relay: Passes on what other instances send.
      process: The process, once started.
      is_removed: Whether it was killed for good.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        ports: Ports,
        tree: pathlib.Path,
        folder: pathlib.Path,
        timeline: Timeline,
    ):
        self.name = name
        self.zone = zone
        self.ports = ports
        self.tree = tree
        self.timeline = timeline
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.toml"
        text = SETTINGS.format(
            name=name, zone=zone, host=HOST, **ports._asdict()
        )
        self.settings.write_text(text, encoding="utf-8")
        self.relay = relays.Relay(ports.relay, ports.peers)
        self.process: subprocess.Popen[bytes] | None = None
        self.is_removed = False

    def start(self) -> None:
        """Starts the process."""
        environment = {}
        for variable in PASSED_ON:
            if variable in os.environ:
                environment[variable] = os.environ[variable]
        environment["CUMINWALL_CONFIG"] = str(self.settings)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, COMMAND],
                cwd=self.tree,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def is_running(self) -> bool:
        """Returns whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def read_scheduling(self) -> Scheduling:
        """Returns how the process was scheduled."""
        assert self.process is not None
        path = pathlib.Path(f"/proc/{self.process.pid}/schedstat")
        ran_ns, waited_ns, _ = path.read_text(encoding="ascii").split()
        return Scheduling(int(ran_ns) / 1e9, int(waited_ns) / 1e9)

    async def wait_until_ready(self, until: float) -> bool:
        """Returns whether it became ready by a time."""
        while time.monotonic() < until:
            if await self._is_ready():
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def _is_ready(self) -> bool:
        client = plainhttp.Client(HOST, self.ports.ready)
        try:
            answer = await client.call("GET", READY_PATH, PROBE_TIMEOUT_S)
        except (
            exceptions.AnswerTimeoutError,
            exceptions.ConnectionLostError,
        ):
            return False
        finally:
            client.close_idle()
        return answer.status == OK

    async def kill(self) -> None:
        """Kills the process and starts it again after a while."""
        assert self.process is not None
        began_at = time.monotonic()
        self.timeline.add_impairment(
            self.name, "killed", began_at, began_at + RESTART_S
        )
        self.process.kill()
        self.process.wait()
        await asyncio.sleep(RESTART_S)
        self.start()
        self.timeline.add_impairment(
            self.name, "killed", began_at, time.monotonic()
        )

    def remove(self) -> None:
        """Kills the process for good."""
        self.is_removed = True
        self.timeline.add_impairment(
            self.name, "removed", time.monotonic(), math.inf
        )
        self.end()

    async def cut(self, for_s: float) -> None:
        """Holds back all that others and this instance tell each other.

        Only connections that others opened are held: these are the ones that
        an instance gets requests by.
        """
        began_at = time.monotonic()
        self.timeline.add_impairment(
            self.name, "cut", began_at, began_at + for_s
        )
        self.relay.hold()
        await asyncio.sleep(for_s)
        self.relay.release()
        self.timeline.add_impairment(
            self.name, "cut", began_at, time.monotonic()
        )

    async def pause(self, for_s: float) -> None:
        """Pauses the process."""
        assert self.process is not None
        began_at = time.monotonic()
        self.timeline.add_impairment(
            self.name, "paused", began_at, began_at + for_s
        )
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.process.send_signal(signal.SIGCONT)
        self.timeline.add_impairment(
            self.name, "paused", began_at, time.monotonic()
        )

    def end(self) -> None:
        """Ends the process for good."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def find_ports(count: int, first: int) -> list[Ports]:
    """Returns free ports for so many instances, from a first one on."""
    result: list[Ports] = []
    base = first
    while len(result) < count:
        if base + PORTS_EACH > END_PORT:
            raise OSError("too few free ports")
        candidate = Ports(*range(base, base + len(Ports._fields)))
        base += PORTS_EACH
        if _are_free(candidate):
            result.append(candidate)
    return result


def _are_free(ports: Ports) -> bool:
    """Returns whether nothing listens on any of the ports."""
    for port in ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True
