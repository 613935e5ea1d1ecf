"""Backend servers that speak the platform's line protocol.

They run statements after a while and tell the checks of each one that ran.
"""

import asyncio
import collections
import random
from collections.abc import Callable

from soak import drawing, records, requests, server_sessions, statement_faults
from soak.server_sessions import SLOTS
from soak.statement_faults import Fault
from soak.store import Store

HOST = "127.0.0.1"
REPLICA_LAG_S = 0.06
MAX_QUEUE = 24

OnRun = Callable[[str, requests.Origin], None]


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
      records: What all servers ran and committed.
      silent: The connections that never get an answer again.
      is_down: Whether it has crashed.
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
        server_records: records.ServerRecords,
    ):
        self.store = store
        self.service = service
        self.name = name
        self.zone = zone
        self.role = role
        self.max_connections = max_connections
        self.on_run = on_run
        self.rng = rng
        self.records = server_records
        self.drawing = drawing.Drawing(rng, 0)
        self.silent: list[asyncio.Transport | None] = []
        self.position = records.Position(1, 1000)
        self.peers: list[Server] = []
        self.sessions: set[server_sessions.Session] = set()
        self.refused = 0
        self.ran = 0
        self.shed = 0
        self.port = 0
        self.is_down = False
        self.listener: asyncio.Server | None = None
        self.free_slots = SLOTS
        self.queue: collections.deque[tuple[float, Callable[[], None]]] = (
            collections.deque()
        )

    async def start(self) -> None:
        """Listens, and registers in the store."""
        await self._listen()
        self.register()

    async def _listen(self) -> None:
        """Listens on its port, or on a new one."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: server_sessions.Session(self), HOST, self.port
        )
        self.listener = listener
        self.port = listener.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Ends all connections; statements at work don't run."""
        self.is_down = True
        if self.listener is not None:
            self.listener.close()
        for session in list(self.sessions):
            session.has_crashed = True
            session.break_off()

    async def restart(self) -> None:
        """Comes back with its log, as a replica if another one leads."""
        self.is_down = False
        for peer in self.peers:
            if peer.role == records.PRIMARY and peer is not self:
                self.position = peer.position
        await self._listen()
        self.register()

    def stop(self) -> None:
        """Ends all connections."""
        if self.listener is not None:
            self.listener.close()
        for session in list(self.sessions):
            session.close()
        for transport in self.silent:
            if transport is not None:
                transport.close()

    def register(self) -> None:
        """Writes its entry, unless it is down."""
        if self.is_down:
            return
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

    def choose_fault(self) -> Fault | None:
        """Returns what goes wrong with a statement, mostly nothing."""
        return statement_faults.choose(self.rng)

    def commit(self, number: str, writes: tuple[records.Run, ...]) -> None:
        """Adds a commit, which the replicas apply later.

        Args:
          number: The request id of the COMMIT, or of the single write.
          writes: What takes effect.
        """
        position = self.position
        self.position = records.Position(position.term, position.number + 1)
        self.records.commits.append(
            records.Commit(number, self.service, self.position, writes)
        )
        loop = asyncio.get_running_loop()
        for peer in self.peers:
            if peer is not self:
                loop.call_later(REPLICA_LAG_S, peer.apply, self.position)

    def apply(self, position: records.Position) -> None:
        """Applies a commit of the primary."""
        if self.is_down:
            return
        self.position = max(self.position, position)

    def _release(self, done: Callable[[], None]) -> None:
        """Ends a work and starts the next one that waits."""
        self.free_slots += 1
        if self.queue:
            work_s, waiting = self.queue.popleft()
            self.occupy(work_s, waiting)
        done()
