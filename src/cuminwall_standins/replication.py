"""Streams the log from the primary to the other members of a group.

Each member asks all others for their state, follows the primary of the highest
timeline, and first gives up what its own log holds beyond the common history.
Messages are CBOR behind a length word. Nothing here promotes a member.
"""

import asyncio
import collections
import struct
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import cbor2
from loguru import logger

from cuminwall_standins import engine as engines
from cuminwall_standins import faults as fault_states

POLL_INTERVAL_S = 0.03
ANSWER_TIMEOUT_S = 1.0
APPLY_CHECK_INTERVAL_S = 0.02
MAX_BATCH_RECORDS = 256

_LENGTH = struct.Struct("!I")
_LOST = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError)


class Status(NamedTuple):
    """The state of a member as last heard."""

    is_primary: bool
    timeline: int
    lsn: int


class Received(NamedTuple):
    """A record that waits to be replayed.

    Attributes:
      received_s: When it came, in seconds of the monotonic clock.
      record: The record.
    """

    received_s: float
    record: engines.Record


async def _read(reader: asyncio.StreamReader) -> Any:
    (size,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    return cbor2.loads(await reader.readexactly(size))


def _write(writer: asyncio.StreamWriter, message: Any) -> None:
    data = cbor2.dumps(message)
    writer.write(_LENGTH.pack(len(data)) + data)


class Replication:
    """The replication of one member, both as primary and as replica.

    Attributes:
      delay_s: How long a replica waits before it replays a record.
      demote_delay_s: How long an old primary goes on after it met a newer one.
      members: The addresses of the others, as "host:port".
      links: The open connections and the member at the other end.
    """

    def __init__(
        self,
        data: engines.Engine,
        faults: fault_states.Faults,
        on_demoted: Callable[[], None],
    ):
        self.data = data
        self.faults = faults
        self.on_demoted = on_demoted
        self.delay_s = 0.0
        self.demote_delay_s = 0.0
        self.address = ""
        self.members: tuple[str, ...] = ()
        self.statuses: dict[str, Status] = {}
        self.links: dict[asyncio.StreamWriter, str] = {}
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task] = []
        self.watchers: dict[str, asyncio.Task] = {}

    async def start(self, host: str, port: int) -> int:
        """Listens and follows; returns the port."""
        self.server = await asyncio.start_server(self.serve, host, port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.set_members(self.members)
        self.tasks.append(asyncio.create_task(self.follow()))
        return port

    async def stop(self) -> None:
        """Closes all connections and stops following."""
        if self.server:
            self.server.close()
        tasks = [*self.tasks, *self.watchers.values()]
        self.tasks.clear()
        self.watchers.clear()
        for task in tasks:
            task.cancel()
        self.cut(frozenset(self.links.values()))
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_members(self, members: tuple[str, ...]) -> None:
        """Sets whom to follow; the own address is left out."""
        self.members = tuple(x for x in members if x != self.address)
        for member in list(self.watchers):
            if member not in self.members:
                self.watchers.pop(member).cancel()
                self.statuses.pop(member, None)
        for member in self.members:
            if member not in self.watchers:
                task = asyncio.create_task(self.watch(member))
                self.watchers[member] = task

    def cut(self, members: frozenset[str]) -> None:
        """Closes the open connections with some members."""
        for writer, member in list(self.links.items()):
            if member in members:
                writer.transport.abort()

    def leader(self) -> str | None:
        """Returns the primary to follow, if one is heard of."""
        best: str | None = None
        for member, status in self.statuses.items():
            if not status.is_primary:
                continue
            if best and status.timeline <= self.statuses[best].timeline:
                continue
            best = member
        return best

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one other member."""
        try:
            member = await _read(reader)
            if member in self.faults.cut_members:
                return
            self.links[writer] = member
            while True:
                request = await _read(reader)
                await self.faults.wait_thawed()
                if request is not None:
                    await self.send_log(writer, *request)
                    return
                data = self.data
                _write(writer, [data.is_primary, data.timeline, data.lsn])
        except _LOST:
            return
        finally:
            self.links.pop(writer, None)
            writer.close()

    async def send_log(
        self, writer: asyncio.StreamWriter, history: list, lsn: int
    ) -> None:
        """Sends the log behind a follower's position until roles change."""
        data = self.data
        theirs = [engines.Timeline(*entry) for entry in history]
        common = engines.common_lsn(data.history, theirs)
        if not data.is_primary or (common is None and lsn > data.lsn):
            return
        common = lsn if common is None else min(common, lsn)
        mine = data.history
        _write(writer, [mine, common])
        sent = common
        while data.is_primary and data.history is mine:
            await self.faults.wait_thawed()
            event = data.committed_event
            batch = data.records_after(sent)[:MAX_BATCH_RECORDS]
            if not batch:
                await event.wait()
                continue
            _write(writer, batch)
            sent = batch[-1].end_lsn
            await writer.drain()

    async def connect(
        self, member: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection to a member.

        Raises:
          OSError: It is not reached.
        """
        if member in self.faults.cut_members:
            raise ConnectionRefusedError(member)
        host, _, port = member.rpartition(":")
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        self.links[writer] = member
        _write(writer, self.address)
        return reader, writer

    def disconnect(self, writer: asyncio.StreamWriter) -> None:
        """Closes a connection that `connect` opened."""
        self.links.pop(writer, None)
        writer.close()

    async def watch(self, member: str) -> None:
        """Keeps asking a member for its state."""
        while True:
            try:
                await self.poll(member)
            except _LOST:
                self.statuses.pop(member, None)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def poll(self, member: str) -> None:
        """Asks over one connection until it fails."""
        reader, writer = await self.connect(member)
        try:
            while True:
                await self.faults.wait_thawed()
                _write(writer, None)
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    status = Status(*await _read(reader))
                self.statuses[member] = status
                highest = max(self.data.highest_timeline, status.timeline)
                self.data.highest_timeline = highest
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            self.disconnect(writer)

    async def follow(self) -> None:
        """Follows the best primary, whoever it is, or yields to it."""
        while True:
            await self.faults.wait_thawed()
            leader = self.leader()
            if leader and self.data.is_primary:
                await self.yield_to(self.statuses[leader])
            elif (
                leader and self.statuses[leader].timeline >= self.data.timeline
            ):
                try:
                    await self.stream(leader)
                except _LOST as error:
                    logger.debug("replication: lost {}: {}", leader, error)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def yield_to(self, status: Status) -> None:
        """Ends being primary if another is on a higher timeline."""
        if status.timeline <= self.data.timeline:
            return
        await asyncio.sleep(self.demote_delay_s)
        await self.faults.wait_thawed()
        logger.info(
            "replication: {} on timeline {} yields to timeline {}",
            self.address,
            self.data.timeline,
            status.timeline,
        )
        self.data.demote()
        self.on_demoted()

    async def stream(self, leader: str) -> None:
        """Replays the log of a primary until another one is to be followed."""
        reader, writer = await self.connect(leader)
        waiting: collections.deque[Received] = collections.deque()
        tasks: list[asyncio.Task] = []
        data = self.data
        try:
            _write(writer, [data.history, data.lsn])
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                history, common = await _read(reader)
            if data.is_primary:
                return
            data.follow([engines.Timeline(*x) for x in history], common)
            data.is_streaming = True
            for work in (
                self.receive(reader, waiting),
                self.replay(waiting),
                self.until_replaced(leader),
            ):
                tasks.append(asyncio.create_task(work))
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            data.is_streaming = False
            data.received_lsn = data.lsn
            self.disconnect(writer)

    async def receive(
        self,
        reader: asyncio.StreamReader,
        waiting: collections.deque[Received],
    ) -> None:
        """Takes in records until the connection ends."""
        while True:
            batch = await _read(reader)
            await self.faults.wait_thawed()
            now_s = time.monotonic()
            for entry in batch:
                waiting.append(Received(now_s, engines.Record(*entry)))
            if not self.data.is_primary:
                self.data.received_lsn = batch[-1][0]
            self.data.notify()

    async def replay(self, waiting: collections.deque[Received]) -> None:
        """Replays records when they are due, until a promotion."""
        while not self.data.is_primary:
            await self.faults.wait_thawed()
            if not waiting:
                await self.data.committed_event.wait()
                continue
            due_s = waiting[0].received_s + self.delay_s
            left_s = due_s - time.monotonic()
            if left_s > 0:
                # The delay may be changed meanwhile.
                await asyncio.sleep(min(left_s, APPLY_CHECK_INTERVAL_S))
                continue
            self.data.append(waiting.popleft().record)

    async def until_replaced(self, leader: str) -> None:
        """Returns when the primary followed is no longer the best."""
        while self.leader() == leader and not self.data.is_primary:
            await asyncio.sleep(POLL_INTERVAL_S)
