"""Stand-ins for the scripts of the second review: platform, backends, clients.

All of them run in the process of a script; the instances of cuminwall are
processes of their own, started with the command of the deploy file. All
addresses are loopback addresses. The metadata store is the one of `soak`.
"""

import asyncio
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from soak.store import Store  # noqa: E402

HOST = "127.0.0.1"
LINE_END = b"\r\n"
SLOTS = 3
HANDSHAKE_S = 0.012
WORK_S = 0.006
REPLICA_LAG_S = 0.008
SERVICE = "svc1"
FIRST_PORT = 20_000
END_PORT = 32_000
PORTS_EACH = 40
TAKEN: set[int] = set()  # Ports that this process has tried.
ZONES = ("sediu", "statie-tratare", "dispecerat")
# Machines of gorun-pool, and the smallest ones of gorun-pool-grown.
MACHINE = {"cpu": 0.537, "cores": 2, "memory": 300, "link": 1000.0}
SMALL_MACHINE = {"cpu": 0.516, "cores": 1, "memory": 200, "link": 5.0}
READY_REQUEST = b"GET /v1/readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

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
LossCounts = false
Discovery = "platform"
Ingress = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","sql","tenants","quota","places","platform"]
[Zones]
sediu = "gorun-judet"
statie-tratare = "gorun-judet"
dispecerat = "gorun-judet"
[ListenAddrs]
Frontend = "{host}:{callers}"
Ready = "{host}:{ready}"
ControlPlane = "{host}:{control}"
[Limits]
CpuQuota = {cpu}
Cores = {cores}
MemoryMb = {memory}
MaxFds = 4200
BandwidthMbps = {link}
DiskMb = 0
[FaultTolerance]
Nodes = 1
Zones = 1
RegionCount = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 4000
AckTimeoutMs = 5000
CatchUpS = 4
DrainTimeoutMs = 7000
GracePeriodS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
OuterMs = 12000
StrictRevocation = false
RevokeTimeoutMs = 5000
QuotaWindowS = 5
QuotaOverage = 0.1
QuotaTolerance = 20
WarmupOverage = 1.5
WarmupTolerance = 5
EvacuateMs = 5000
RecoveryS = 12
FencingEnforced = true
ThawSlackMs = 300
[platform]
Address = "{host}:{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
[Provider]
Address = "{host}:{store}"
RatePerS = 50.0
Duties = ["failover"]
DutyPerS = 50.0
"""


class Record:
    """Writes what happened to a file, with the time since the start."""

    def __init__(self, path: pathlib.Path):
        self.file = path.open("w", encoding="utf-8")
        self.began_at = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began_at:9.3f} {text}\n")
        self.file.flush()


def free_ports(count: int) -> list[int]:
    """Returns ports on which nothing listens now.

    They lie below those that the kernel gives to outgoing connections, and
    two scripts that run at once begin at different ones.
    """
    ports: list[int] = []
    port = FIRST_PORT + os.getpid() * PORTS_EACH % (END_PORT - FIRST_PORT)
    while len(ports) < count:
        port = FIRST_PORT if port + 1 >= END_PORT else port + 1
        if port in TAKEN:
            continue
        TAKEN.add(port)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


class Node:
    """One instance of cuminwall, a process of its own."""

    def __init__(
        self, name: str, zone: str, folder: pathlib.Path, machine: dict
    ):
        self.name = name
        self.zone = zone
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.toml"
        names = ("callers", "ready", "control", "peers", "metrics", "store")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        text = SETTINGS.format(
            name=name, zone=zone, host=HOST, **machine, **self.ports
        )
        self.settings.write_text(text, encoding="utf-8")
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        environment = {"CUMINWALL_CONFIG": str(self.settings)}
        for variable in ("PATH", "HOME", "LANG"):
            if variable in os.environ:
                environment[variable] = os.environ[variable]
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Sends a signal, if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_running(self) -> bool:
        """Returns whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Returns whether it answers the ready probe with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.ports["ready"]
            )
        except OSError:
            return False
        try:
            writer.write(READY_REQUEST)
            head = await asyncio.wait_for(reader.read(64), 1.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b" 200 " in head

    async def wait_until_ready(self, timeout_s: float = 40.0) -> bool:
        """Returns whether it became ready in time."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Backend:
    """A backend: one primary or replica of the service.

    Attributes:
      log: The commits that it has received, as (term, number, id).
      rows_of: Returns the rows of a read.
    """

    def __init__(self, site: "Site", name: str, zone: str, role: str):
        self.site = site
        self.name = name
        self.zone = zone
        self.role = role
        self.term = 1
        self.log: list[tuple[int, int, str]] = [(1, 1000, "")]
        self.port = 0
        self.listener: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.slots = asyncio.Semaphore(SLOTS)
        self.proofs = 0

    async def start(self) -> None:
        """Listens, and writes its entry."""
        self.listener = await asyncio.start_server(
            self._serve, HOST, self.port, limit=4 * 1024 * 1024
        )
        self.port = self.listener.sockets[0].getsockname()[1]
        self.register()

    def register(self) -> None:
        """Writes its entry to the store."""
        entry = {
            "Service": SERVICE,
            "Address": f"{HOST}:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Capacity": SLOTS,
            "State": "ready",
            "WarmupLeftMs": 0,
            "DbRole": self.role,
            "Sequence": 1,
            "born": 1_700_000_000_000,
        }
        self.site.store.put(f"servers/{self.name}", entry)

    def position(self) -> str:
        """Returns the end of its log."""
        term, number, _ = self.log[-1]
        return f"{term}.{number}"

    def stop(self) -> None:
        """Ends all connections."""
        if self.listener is not None:
            self.listener.close()
        for writer in self.writers:
            writer.transport.abort()

    def commit(self, number: str) -> None:
        """Adds a commit, which the replicas receive a little later."""
        entry = (self.term, self.log[-1][1] + 1, number)
        self.log.append(entry)
        loop = asyncio.get_running_loop()
        for peer in self.site.backends:
            if peer is not self:
                loop.call_later(REPLICA_LAG_S, peer.log.append, entry)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            await BackendSession(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class BackendSession:
    """One connection to a backend."""

    def __init__(
        self,
        backend: Backend,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self.backend = backend
        self.reader = reader
        self.writer = writer
        self.state = "I"
        self.may_write = False
        self.writes = 0
        self.who = ""
        self.prepared: dict[str, bool] = {}

    async def run(self) -> None:
        """Serves until the connection ends."""
        while True:
            line = await self.reader.readuntil(LINE_END)
            text = line[:-2].decode("utf-8", "surrogateescape")
            word, _, rest = text.partition(" ")
            if word == "STARTUP":
                fields = rest.split(" ")
                is_other = len(fields) > 2 and fields[2] != self.backend.name
                if fields[0] != SERVICE or is_other:
                    self._send(f"ERROR MISROUTED {self.backend.name}")
                    return
                self.who = fields[1] if len(fields) > 1 else ""
                await self._work(HANDSHAKE_S)
                self._ready()
            elif word == "TERMINATE":
                return
            else:
                number, _, statement = rest.partition(" ")
                await self._run(number, statement)

    async def _work(self, seconds: float) -> None:
        async with self.backend.slots:
            await asyncio.sleep(seconds)

    async def _run(self, number: str, text: str) -> None:
        backend = self.backend
        verb, _, tail = text.partition(" ")
        if verb == "AFTER":
            least, _, text = tail.partition(" ")
            verb, _, tail = text.partition(" ")
            term, _, count = least.partition(".")
            if backend.log[-1][:2] < (int(term), int(count)):
                self._fail("LAGGING")
                return
        is_primary = backend.role == "primary"
        if verb == "STATUS":
            term, count, _ = backend.log[-1]
            self._send(f"ROW {backend.role} {term} {term}.{count} 0 0 0 1")
            self._complete("-")
        elif verb in ("STEPDOWN", "PAUSE", "RESUME"):
            self._fail("MALFORMED")
        elif verb == "ROLLBACK":
            self.state = "I"
            self._complete("-")
        elif verb in ("SET", "RESET", "DEALLOCATE"):
            self._complete("-")
        elif verb == "PREPARE":
            name, kind = tail.split(" ")[:2]
            self.prepared[name] = kind == "WRITE"
            self._complete("-")
        elif verb == "BEGIN":
            if tail != "READ" and not is_primary:
                self._fail("READONLY")
                return
            self.state = "T"
            self.may_write = tail != "READ"
            self.writes = 0
            self._complete("-")
        else:
            await self._work(WORK_S)
            await self._finish(number, verb, tail)

    async def _finish(self, number: str, verb: str, tail: str) -> None:
        backend = self.backend
        writes = verb == "WRITE"
        if verb == "EXECUTE":
            writes = self.prepared[tail.partition(" ")[0]]
        if writes and backend.role != "primary":
            self._fail("READONLY")
            return
        backend.site.record(
            f"{backend.name} runs {number} {verb} {tail[:40]!r} as"
            f" {self.who!r}"
        )
        backend.site.on_run(backend, self.who, number)
        if verb == "COMMIT":
            self.state = "I"
            if self.writes:
                backend.commit(number)
        elif writes and self.state == "T":
            self.writes += 1
        elif writes:
            backend.commit(number)
        else:
            for row in backend.site.rows_of(tail):
                self._send(f"ROW {row}")
        backend.proofs += 1
        self._complete(f"{backend.name}.{backend.proofs}")

    def _complete(self, proof: str) -> None:
        self._send(f"COMPLETE {proof}")
        self._ready()

    def _fail(self, code: str) -> None:
        if self.state == "T":
            self.state = "E"
        self._send(f"ERROR {code} {self.backend.name}")
        self._ready()

    def _ready(self) -> None:
        self._send(f"READY {self.state} {self.backend.position()}")

    def _send(self, line: str) -> None:
        self.writer.write(line.encode("utf-8", "surrogateescape") + LINE_END)


class Site:
    """A small deployment: the platform, three backends and some instances."""

    def __init__(
        self,
        record: Record,
        instances: int,
        config: dict,
        machine: dict = MACHINE,
    ):
        self.record = record
        self.config = config
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.backends = [
            Backend(self, f"i-{number}", zone, role)
            for number, (zone, role) in enumerate(
                zip(ZONES, ("primary", "replica", "replica"), strict=True)
            )
        ]
        self.nodes = [
            Node(
                f"edge-{number}",
                ZONES[number % len(ZONES)],
                self.folder,
                machine,
            )
            for number in range(instances)
        ]
        self.rows_of = lambda item: ["value"]
        self.on_run = lambda backend, who, number: None

    async def start(self) -> bool:
        """Starts all; returns whether every instance became ready."""
        self.store.start()
        for node in self.nodes:
            await self.store.listen(node.name, node.ports["store"])
        self.put_config(self.config)
        for backend in self.backends:
            await backend.start()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            if not await node.wait_until_ready():
                print(node.log.read_text()[-2000:], file=sys.stderr)
                return False
        await asyncio.sleep(3.0)
        return True

    def put_config(self, config: dict) -> None:
        """Writes a configuration as the operator."""
        self.config = config
        self.store.put("op/config", config)
        self.record(f"operator: version {config['Version']} is confirmed")

    def end(self) -> None:
        """Ends all processes and connections."""
        for node in self.nodes:
            node.end()
        for backend in self.backends:
            backend.stop()
        self.store.stop()
        for node in self.nodes:
            for path in (node.log, node.settings):
                path.unlink(missing_ok=True)
        self.folder.rmdir()


def make_config(version: int, tenants: list[dict], **route: object) -> dict:
    """Returns a configuration with one database `db1`."""
    fields = {
        "Name": "r-1",
        "Host": "db1",
        "Prefix": "/",
        "Kind": "bounded",
        "TimeoutMs": 2000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "Service": SERVICE,
        "MaxAttempts": 2,
        "MaxStalenessMs": 1500,
        "Public": False,
    }
    fields.update(route)
    service = {
        "Name": SERVICE,
        "HealthPath": "/healthz",
        "MaxConns": 22,
        "Protocol": "h1",
        "Tls": False,
        "WarmupS": 0.0,
        "WarmupPerS": 0.0,
        "SyncReplicas": 0,
    }
    return {
        "Version": version,
        "Routes": [fields],
        "Services": [service],
        "Limits": {"TxIdleMs": 3000},
        "Tenants": tenants,
    }


def make_tenant(name: str, keys: list[str], rate: int = 66) -> dict:
    """Returns a tenant."""
    return {
        "Name": name,
        "ApiKeys": keys,
        "Priority": 1,
        "RatePerS": rate,
        "Burst": rate,
    }


class Client:
    """A requester's session, which sends one statement at a time."""

    def __init__(self, record: Record, name: str):
        self.record = record
        self.name = name
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.count = 0

    async def open(
        self, node: Node, database: str, key: str, receive_bytes: int = 0
    ) -> str:
        """Opens the session; returns the answer to STARTUP."""
        sock = socket.socket()
        if receive_bytes:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (HOST, node.ports["callers"]))
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=64 * 1024
        )
        self.writer.write(f"STARTUP {database} {key}".encode() + LINE_END)
        answer = (await self.reader.readline()).decode().strip()
        self.record(f"{self.name} STARTUP at {node.name}: {answer!r}")
        return answer

    def send(self, text: str) -> str:
        """Sends a statement; returns its id."""
        assert self.writer is not None
        self.count += 1
        number = f"{self.name}{self.count:06x}"
        self.writer.write(f"QUERY {number} {text}".encode() + LINE_END)
        self.record(f"{self.name} sends {number} {text[:60]!r}")
        return number

    async def ask(self, text: str, timeout_s: float = 8.0) -> list[str]:
        """Sends a statement; returns the lines of its answer."""
        assert self.reader is not None
        number = self.send(text)
        lines: list[str] = []
        try:
            async with asyncio.timeout(timeout_s):
                while not lines or not lines[-1].startswith("READY"):
                    line = await self.reader.readline()
                    if not line:
                        lines.append("(closed)")
                        break
                    lines.append(line.decode(errors="replace").strip())
        except (TimeoutError, OSError) as error:
            lines.append(f"({type(error).__name__})")
        self.record(f"{self.name} gets {number}: {lines}")
        return lines

    def close(self) -> None:
        """Ends the session."""
        if self.writer is not None:
            self.writer.transport.abort()
