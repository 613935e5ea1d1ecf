"""One real instance before stand-ins, and crowds of clients that misbehave.

The instance gets lowered limits in its settings, so that a small crowd shows
what a large one does on a machine.
"""

import asyncio
import pathlib
import random
import re
import socket
import time

from soak import daemons, deployment, drawing, records, requests, servers
from soak.store import Store

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIRST_PORT = 27_000
START_S = 60.0
CALM_S = 20.0  # So long an ordinary caller tries before the check gives up.
TRY_S = 5.0
PAUSE_S = 0.1
SETTLE_S = 0.5  # Between what the crowd does and the look at the process.
SERVICE = "svc"
DATABASE = "o0"
KEY = "k0a"
ITEM = b"sediu-1/o0/k0a/1/1"  # As the stand-ins name items.
LOGIN = f"STARTUP {DATABASE} {KEY}\r\n".encode()
MAX_CONNECTIONS = 40
SMALL_BUFFER_BYTES = 4096
RESERVED_FILES = 200  # Descriptors that sockets may not use.


class LargeRows(drawing.Drawing):
    """Draws rows of a fixed size."""

    def __init__(self, size: int):
        super().__init__(random.Random(1), 0)
        self.size = size

    def draw_text(self) -> bytes:
        """Returns a row."""
        return b"x" * self.size


class CrowdSite:
    """An instance with its store and its server.

    Attributes:
      store: The store.
      server: The only backend server, a primary.
      instance: The instance.
      sockets: The sockets of the crowd.
    """

    def __init__(
        self, folder: pathlib.Path, memory_mb: int, max_descriptors: int
    ):
        self.store = Store()
        self.server = servers.Server(
            self.store,
            SERVICE,
            "i-svc-0",
            deployment.ZONES[0],
            records.PRIMARY,
            MAX_CONNECTIONS,
            ignore_run,
            random.Random(1),
            records.ServerRecords(),
        )
        (ports,) = daemons.find_ports(1, FIRST_PORT)
        self.instance = daemons.Daemon(
            "sediu-1", deployment.ZONES[0], ports, ROOT, folder, None
        )
        text = self.instance.settings.read_text(encoding="utf-8")
        text = re.sub("MemoryMb = .*", f"MemoryMb = {memory_mb}", text)
        text = re.sub("MaxFds = .*", f"MaxFds = {max_descriptors}", text)
        self.instance.settings.write_text(text, encoding="utf-8")
        self.sockets: list[socket.socket] = []

    async def start(self) -> None:
        """Starts everything and waits until the instance is ready."""
        asyncio.get_running_loop().set_debug(False)
        self.store.start()
        await self.server.start()
        workspace = deployment.Workspace("w0", 1.0, 100_000.0, (KEY,))
        configuration = deployment.make_configuration(
            1, {DATABASE: SERVICE}, [SERVICE], [workspace], frozenset((KEY,))
        )
        self.store.put("op/config", configuration)
        instance = self.instance
        await self.store.listen(instance.name, instance.ports.store)
        instance.start()
        if not await instance.wait_until_ready(time.monotonic() + START_S):
            raise TimeoutError("the instance is not ready")
        # It listens for callers a moment after it is ready.
        if not await self.is_served():
            raise TimeoutError("the instance serves nobody")

    def stop(self) -> None:
        """Ends everything."""
        for each in self.sockets:
            each.close()
        self.instance.end()
        self.store.stop()
        self.server.stop()

    async def connect(
        self, count: int, data: bytes, port: int = 0
    ) -> list[socket.socket]:
        """Opens connections of the crowd and sends the same on each."""
        loop = asyncio.get_running_loop()
        opened = []
        for _ in range(count):
            client = socket.socket()
            client.setblocking(False)
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
            self.sockets.append(client)
            opened.append(client)
            address = (daemons.HOST, port or self.instance.ports.callers)
            await loop.sock_connect(client, address)
        await self.send(opened, data)
        return opened

    async def send(self, clients: list[socket.socket], data: bytes) -> None:
        """Sends on all connections at once, as far as they take it."""
        tasks = [asyncio.create_task(_send(each, data)) for each in clients]
        if tasks:
            await asyncio.wait(tasks, timeout=TRY_S)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(SETTLE_S)

    async def settle(self) -> None:
        """Waits until the server runs nothing more of what was sent."""
        ran = -1
        while ran != self.server.ran:
            ran = self.server.ran
            await asyncio.sleep(2 * SETTLE_S)

    async def is_served(self) -> bool:
        """Returns whether an ordinary caller is served, with retries."""
        until = time.monotonic() + CALM_S
        while time.monotonic() < until and self.instance.is_running():
            try:
                async with asyncio.timeout(TRY_S):
                    if await self._ask():
                        return True
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(PAUSE_S)
        return False

    async def ask(self, text: bytes) -> bytes:
        """Returns all that answers one statement of a new session."""
        reader, writer = await asyncio.open_connection(
            daemons.HOST, self.instance.ports.callers
        )
        try:
            writer.write(LOGIN)
            await reader.readuntil(b"\r\n")
            writer.write(b"QUERY 1 " + text + b"\r\n")
            parts = []
            while not parts or not parts[-1].startswith(b"READY"):
                parts.append(await reader.readuntil(b"\r\n"))
            return b"".join(parts)
        finally:
            writer.transport.abort()

    async def _ask(self) -> bool:
        """Returns whether a small write is carried out."""
        return b"COMPLETE i-svc-0" in await self.ask(b"WRITE " + ITEM + b" x")

    def peak_memory_mb(self) -> float:
        """Returns the most resident memory that the instance had."""
        return self._read_status_kb("VmHWM") / 1000 * 1.024

    def count_sockets(self) -> int:
        """Returns how many sockets the instance has open."""
        assert self.instance.process is not None
        folder = pathlib.Path(f"/proc/{self.instance.process.pid}/fd")
        count = 0
        for path in folder.iterdir():
            try:
                target = str(path.readlink())
            except FileNotFoundError:
                continue
            count += target.startswith("socket:")
        return count

    def _read_status_kb(self, name: str) -> int:
        assert self.instance.process is not None
        path = pathlib.Path(f"/proc/{self.instance.process.pid}/status")
        for line in path.read_text(encoding="ascii").splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1])
        raise KeyError(name)


def ignore_run(service: str, origin: requests.Origin) -> None:
    """Stands for the checks of what ran."""


async def _send(client: socket.socket, data: bytes) -> None:
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_sendall(client, data)
    except OSError:
        return  # It was closed, which is allowed.
