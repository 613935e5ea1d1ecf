"""Backend servers that speak the platform's line protocol.

They run statements after a while and tell the checks of each one that ran.
"""

import asyncio
import collections
import random
import time
from collections.abc import Callable
from typing import NamedTuple, cast

from soak import requests
from soak.store import Store

HOST = "127.0.0.1"
LINE_END = b"\r\n"
HANDSHAKE_S = 0.012
REPLICA_LAG_S = 0.06
PROMOTE_S = 0.6
BEAT_S = 1.2
SLOTS = 3
MAX_QUEUE = 24
PRIMARY = "primary"
REPLICA = "replica"
# How long statements take, in seconds.
WORK_S = {"p": 0.006, "b": 0.03, "o": 0.018}
DEFAULT_WORK_S = 0.006
OWN_ID = "-"

OnRun = Callable[[str, requests.Origin], None]


class Position(NamedTuple):
    """A position in the log of a service."""

    term: int
    number: int


class Server:
    """One backend server.

    Attributes:
      service: Its service.
      name: Its name.
      zone: Its availability zone.
      role: Whether it is the primary or a replica.
      position: The last commit that it has applied.
      sessions: The open connections.
      refused: Connections refused as too many.
      ran: Reads and writes that ran.
      shed: Statements refused since too many wait.
    """

    def __init__(
        self,
        store: Store,
        service: str,
        name: str,
        zone: str,
        role: str,
        max_connections: int,
        on_run: OnRun,
        rng: random.Random,
    ):
        self.store = store
        self.service = service
        self.name = name
        self.zone = zone
        self.role = role
        self.max_connections = max_connections
        self.on_run = on_run
        self.rng = rng
        self.position = Position(1, 1000)
        self.peers: list[Server] = []
        self.sessions: set[Session] = set()
        self.refused = 0
        self.ran = 0
        self.shed = 0
        self.port = 0
        self.listener: asyncio.Server | None = None
        self.free_slots = SLOTS
        self.queue: collections.deque[tuple[float, Callable[[], None]]] = (
            collections.deque()
        )

    async def start(self) -> None:
        """Listens, and registers in the store."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(lambda: Session(self), HOST, 0)
        self.listener = listener
        self.port = listener.sockets[0].getsockname()[1]
        self.register()

    def stop(self) -> None:
        """Ends all connections."""
        if self.listener is not None:
            self.listener.close()
        for session in list(self.sessions):
            session.close()

    def register(self) -> None:
        """Writes its entry."""
        entry = {
            "Service": self.service,
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
        self.store.put(f"servers/{self.name}", entry)

    def occupy(self, work_s: float, done: Callable[[], None]) -> bool:
        """Calls back after work in a slot; returns whether it may wait."""
        if self.free_slots == 0:
            if len(self.queue) >= MAX_QUEUE:
                self.shed += 1
                return False
            self.queue.append((work_s, done))
            return True
        self.free_slots -= 1
        loop = asyncio.get_running_loop()
        loop.call_later(work_s, self._release, done)
        return True

    def commit(self) -> None:
        """Adds a commit, which the replicas apply later."""
        term, number = self.position
        self.position = Position(term, number + 1)
        loop = asyncio.get_running_loop()
        for peer in self.peers:
            if peer is not self:
                loop.call_later(REPLICA_LAG_S, peer.apply, self.position)

    def apply(self, position: Position) -> None:
        """Applies a commit of the primary."""
        self.position = max(self.position, position)

    def _release(self, done: Callable[[], None]) -> None:
        """Ends a work and starts the next one that waits."""
        self.free_slots += 1
        if self.queue:
            work_s, waiting = self.queue.popleft()
            self.occupy(work_s, waiting)
        done()


class Session(asyncio.Protocol):
    """A connection to a backend server."""

    def __init__(self, server: Server):
        self.server = server
        self.received = bytearray()
        self.transport: asyncio.Transport | None = None
        self.is_open = False
        self.phase = "I"
        self.has_written = False
        self.inbox: collections.deque[str] = collections.deque()
        self.is_at_work = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Rolls back."""
        self.transport = None
        self.server.sessions.discard(self)

    def data_received(self, data: bytes) -> None:
        """Handles the lines that have arrived."""
        self.received += data
        *lines, rest = bytes(self.received).split(LINE_END)
        self.received = bytearray(rest)
        for line in lines:
            self.inbox.append(line.decode())
        self._continue()

    def _continue(self) -> None:
        """Handles the lines that wait, until one of them takes time."""
        while self.inbox and not self.is_at_work and self.transport:
            self._handle(self.inbox.popleft())

    def _handle(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            self._open(rest.split(" "))
        elif word == "TERMINATE":
            self.close()
        else:
            number, _, text = rest.partition(" ")
            self._run(number, text)

    def _open(self, fields: list[str]) -> None:
        server = self.server
        is_other = len(fields) > 2 and fields[2] != server.name
        if fields[0] != server.service or is_other:
            self._refuse("MISROUTED")
            return
        if len(server.sessions) >= server.max_connections:
            server.refused += 1
            self._refuse("TOOMANY")
            return
        server.sessions.add(self)
        self._work(HANDSHAKE_S, self._send_ready)

    def _refuse(self, code: str) -> None:
        self._send(f"ERROR {code} {self.server.name}")
        self.close()

    def close(self) -> None:
        """Ends the connection."""
        if self.transport is not None:
            self.transport.close()

    def _run(self, number: str, text: str) -> None:
        """Runs a statement."""
        verb, _, tail = text.partition(" ")
        server = self.server
        if verb == "AFTER":
            least, _, text = tail.partition(" ")
            verb, _, tail = text.partition(" ")
            term, _, count = least.partition(".")
            if server.position < Position(int(term), int(count)):
                self._fail("LAGGING")
                return
        is_primary = server.role == PRIMARY
        if verb == "BEGIN":
            self._begin(tail != "READ")
        elif verb == "ROLLBACK":
            self.phase = "I"
            self.has_written = False
            self._complete([])
        elif verb in ("READ", "WRITE", "COMMIT"):
            if self.phase == "E" and verb != "COMMIT":
                self._fail("MALFORMED")
                return
            if verb == "WRITE" and not is_primary:
                self._fail("READONLY")
                return
            self._work(
                self._choose_work_s(tail), lambda: self._finish(verb, tail)
            )
        elif verb == "STATUS":
            self._work(0.0005, self._tell_status)
        elif verb == "STEPDOWN":
            if is_primary and int(tail) > server.position.term:
                server.role = REPLICA
                server.register()
            self._tell_status()
        elif verb in ("PAUSE", "RESUME"):
            self._tell_status()
        else:  # Values and prepared names, which the callers don't use.
            self._complete([])

    def _begin(self, may_write: bool) -> None:
        """Begins a transaction."""
        if may_write and self.server.role != PRIMARY:
            self._fail("READONLY")
            return
        self.phase = "T"
        self._complete([])

    def _choose_work_s(self, item: str) -> float:
        """Returns how long a read, write or commit takes."""
        mean_s = DEFAULT_WORK_S
        fields = item.split(" ")[0].split("/")
        if len(fields) > 1:
            mean_s = WORK_S.get(fields[1][:1], DEFAULT_WORK_S)
        return mean_s * self.server.rng.uniform(0.5, 1.5)

    def _work(self, work_s: float, done: Callable[[], None]) -> None:
        """Occupies a slot, then calls back."""

        def finish() -> None:
            self.is_at_work = False
            done()
            self._continue()

        self.is_at_work = True
        if not self.server.occupy(work_s, finish):
            self.is_at_work = False
            self._fail("BUSY")

    def _finish(self, verb: str, tail: str) -> None:
        """Ends a read, write or commit after its work."""
        if self.transport is None:
            return
        server = self.server
        if verb == "WRITE" and server.role != PRIMARY:
            self._fail("READONLY")
            return
        if verb == "COMMIT":
            if self.has_written:
                server.commit()
            self.phase = "I"
            self.has_written = False
            self._complete([], self._make_proof())
            return
        server.ran += 1
        item = tail.split(" ")[0]
        server.on_run(server.service, requests.decode(item))
        if verb == "READ":
            self._complete(["none"], self._make_proof())
            return
        if self.phase == "T":
            self.has_written = True
        else:
            server.commit()
        self._complete([], self._make_proof())

    def _make_proof(self) -> str:
        return f"{self.server.name}.{time.monotonic_ns():x}"

    def _tell_status(self) -> None:
        server = self.server
        term, number = server.position
        row = (
            f"{server.role} {term} {term}.{number} 0 0"
            f" {SLOTS - server.free_slots} {len(server.sessions)}"
        )
        self._complete([row])

    def _complete(self, rows: list[str], proof: str = "-") -> None:
        for row in rows:
            self._send(f"ROW {row}")
        self._send(f"COMPLETE {proof}")
        self._send_ready()

    def _fail(self, code: str) -> None:
        if self.phase == "T":
            self.phase = "E"
        self._send(f"ERROR {code} {self.server.name}")
        self._send_ready()

    def _send_ready(self) -> None:
        term, number = self.server.position
        self._send(f"READY {self.phase} {term}.{number}")

    def _send(self, line: str) -> None:
        if self.transport is not None:
            self.transport.write(line.encode() + LINE_END)


class Fleet:
    """All backend servers.

    Attributes:
      by_name: The servers.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Server] = {}
        self.promotions: list[str] = []

    def add(self, server: Server) -> None:
        """Adds a server; servers of a service know each other."""
        self.by_name[server.name] = server
        group = self.find_group(server.service)
        for each in group:
            each.peers = group

    def find_group(self, service: str) -> list[Server]:
        """Returns the servers of a service."""
        group = []
        for each in self.by_name.values():
            if each.service == service:
                group.append(each)
        return group

    def promote(self, service: str, name: str) -> bool:
        """Promotes a server after a while; returns whether it runs."""
        chosen = self.by_name.get(name)
        if chosen is None or chosen.service != service:
            return False
        if chosen.role == PRIMARY:
            return True
        self.promotions.append(name)
        loop = asyncio.get_running_loop()
        loop.call_later(PROMOTE_S, self._lead, chosen)
        return True

    def _lead(self, chosen: Server) -> None:
        """Makes a server the primary of the next term."""
        term = 1 + max(each.position.term for each in chosen.peers)
        for each in chosen.peers:
            if each.role == PRIMARY:
                each.role = REPLICA
                each.register()
        chosen.role = PRIMARY
        chosen.position = Position(term, chosen.position.number)
        chosen.register()
