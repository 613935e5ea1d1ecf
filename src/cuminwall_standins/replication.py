"""Streams the log from the primary to the other members of a group.

Each member follows the primary of the highest timeline, and first gives up what
its own log holds beyond the common history. Nothing here promotes a member.
"""

import asyncio
import collections
import time
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from loguru import logger

from cuminwall_standins import engine, faults, members, timelines

APPLY_CHECK_INTERVAL_S = 0.02
MAX_BATCH_RECORDS = 256


class Received(NamedTuple):
    """A record that waits to be replayed.

    Attributes:
      received_s: When it came, in seconds of the monotonic clock.
      record: The record.
    """

    received_s: float
    record: timelines.Record


class Replication:
    """The replication of one member, both as primary and as replica.

    Attributes:
      delay_s: How long a replica waits before it replays a record.
      demote_delay_s: How long an old primary goes on after it met a newer one.
      members: The others.
    """

    def __init__(
        self,
        data: engine.Engine,
        fault_states: faults.Faults,
        on_demoted: Callable[[], None],
    ):
        self.data = data
        self.faults = fault_states
        self.on_demoted = on_demoted
        self.delay_s = 0.0
        self.demote_delay_s = 0.0
        self.members = members.Members(data, fault_states)
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> int:
        """Listens and follows; returns the port."""
        self.server = await asyncio.start_server(self.accept, host, port)
        port = self.server.sockets[0].getsockname()[1]
        self.members.address = f"{host}:{port}"
        self.members.set_addresses(self.members.addresses)
        self.tasks.add(asyncio.create_task(self.keep_following()))
        return port

    async def stop(self) -> None:
        """Closes all connections and stops following."""
        if self.server:
            self.server.close()
        await self.members.stop()
        tasks = list(self.tasks)
        self.tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Begins to serve a connection from another member."""
        task = asyncio.create_task(self.serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one other member."""
        data = self.data
        try:
            member = await members.read(reader)
            if member in self.faults.cut_members:
                return
            self.members.connections[writer] = member
            while True:
                request = await members.read(reader)
                await self.faults.wait_thawed()
                if request is None:
                    status = [data.is_primary, data.timeline, data.lsn]
                    members.write(writer, status)
                    continue
                sending = self.send_log(writer, *request)
                await _first_of(sending, reader.read())
                return
        except members.CONNECTION_ERRORS:
            return
        finally:
            self.members.disconnect(writer)

    async def send_log(
        self, writer: asyncio.StreamWriter, history: list, lsn: int
    ) -> None:
        """Sends the log behind a follower's position until roles change."""
        data = self.data
        theirs = [timelines.Timeline(*entry) for entry in history]
        common = timelines.common_lsn(data.history, theirs)
        # A primary that lost its log must not make others lose theirs.
        if not data.is_primary or (common is None and lsn > data.lsn):
            return
        common = lsn if common is None else min(common, lsn)
        mine = data.history
        members.write(writer, [mine, common])
        sent = common
        while data.is_primary and data.history is mine:
            await self.faults.wait_thawed()
            event = data.committed_event
            batch = data.records_after(sent)[:MAX_BATCH_RECORDS]
            if not batch:
                await event.wait()
                continue
            members.write(writer, batch)
            sent = batch[-1].end_lsn
            await writer.drain()

    async def keep_following(self) -> None:
        """Follows the best primary, whoever it is, or yields to it."""
        while True:
            await self.faults.wait_thawed()
            leader = self.members.find_primary()
            if leader:
                await self.meet(leader, self.members.statuses[leader])
            await asyncio.sleep(members.POLL_INTERVAL_S)

    async def meet(self, leader: str, status: members.Status) -> None:
        """Follows or yields to a primary, unless it is behind."""
        if self.data.is_primary:
            if status.timeline > self.data.timeline:
                await self.yield_to(status)
            return
        if status.timeline < self.data.timeline:
            return
        try:
            await self.stream_from(leader)
        except members.CONNECTION_ERRORS as error:
            logger.debug("replication: lost {}: {}", leader, error)

    async def yield_to(self, status: members.Status) -> None:
        """Ends being primary, as another is on a higher timeline."""
        await asyncio.sleep(self.demote_delay_s)
        await self.faults.wait_thawed()
        logger.info(
            "replication: {} on timeline {} yields to timeline {}",
            self.members.address,
            self.data.timeline,
            status.timeline,
        )
        self.data.demote()
        self.on_demoted()

    async def stream_from(self, leader: str) -> None:
        """Replays the log of a primary until another one is to be followed."""
        reader, writer = await self.members.connect(leader)
        waiting: collections.deque[Received] = collections.deque()
        data = self.data
        try:
            members.write(writer, [data.history, data.lsn])
            async with asyncio.timeout(members.ANSWER_TIMEOUT_S):
                history, common = await members.read(reader)
            if data.is_primary:
                return
            data.adopt_history(
                [timelines.Timeline(*x) for x in history], common
            )
            data.is_streaming = True
            await _first_of(
                self.receive(reader, waiting),
                self.replay(waiting),
                self.until_replaced(leader),
            )
        finally:
            data.is_streaming = False
            data.received_lsn = data.lsn
            self.members.disconnect(writer)

    async def receive(
        self,
        reader: asyncio.StreamReader,
        waiting: collections.deque[Received],
    ) -> None:
        """Takes in records until the connection ends."""
        while True:
            batch = await members.read(reader)
            await self.faults.wait_thawed()
            now_s = time.monotonic()
            for entry in batch:
                record = timelines.Record(*entry)
                waiting.append(Received(now_s, record))
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
        while (
            self.members.find_primary() == leader and not self.data.is_primary
        ):
            await asyncio.sleep(members.POLL_INTERVAL_S)


async def _first_of(*work: Coroutine[Any, Any, Any]) -> None:
    """Runs coroutines until one ends, and cancels the others."""
    tasks = [asyncio.create_task(coroutine) for coroutine in work]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
