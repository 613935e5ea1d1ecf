"""A group member's connections to the other members, and their states.

Messages are CBOR with a length prefix. The first message on a connection is the
address of the member that opened it; after that, None requests the state.
"""

import asyncio
import struct
from typing import Any, NamedTuple

import cbor2

from cuminwall_standins import engine, faults, messages

POLL_INTERVAL_S = 0.03
ANSWER_TIMEOUT_S = 1.0
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError)

_LENGTH = struct.Struct("!I")


class Status(NamedTuple):
    """The state that a member last reported."""

    is_primary: bool
    timeline: int
    lsn: int


async def read(reader: asyncio.StreamReader) -> Any:
    """Reads the next message."""
    (size,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    return cbor2.loads(await reader.readexactly(size))


def write(writer: asyncio.StreamWriter, message: Any) -> None:
    """Sends a message.

    Raises:
      OSError: The connection is closed.
    """
    data = cbor2.dumps(message)
    messages.send(writer, _LENGTH.pack(len(data)) + data)


class Members:
    """The other members of the group.

    Attributes:
      address: The own address, as "host:port".
      addresses: The addresses of the other members.
      statuses: The states of the members that answer.
      connections: The open connections, each with the other member's address.
    """

    def __init__(self, data: engine.Engine, fault_states: faults.Faults):
        self.data = data
        self.faults = fault_states
        self.address = ""
        self.addresses: tuple[str, ...] = ()
        self.statuses: dict[str, Status] = {}
        self.connections: dict[asyncio.StreamWriter, str] = {}
        self.poll_tasks: dict[str, asyncio.Task] = {}

    def set_addresses(self, addresses: tuple[str, ...]) -> None:
        """Sets the members of the group and polls all but this one."""
        self.addresses = tuple(x for x in addresses if x != self.address)
        for member in list(self.poll_tasks):
            if member not in self.addresses:
                self.poll_tasks.pop(member).cancel()
                self.statuses.pop(member, None)
        for member in self.addresses:
            if member not in self.poll_tasks:
                task = asyncio.create_task(self.keep_polling(member))
                self.poll_tasks[member] = task

    async def stop(self) -> None:
        """Stops polling and closes all connections."""
        tasks = list(self.poll_tasks.values())
        self.poll_tasks.clear()
        self.statuses.clear()
        for task in tasks:
            task.cancel()
        self.abort_connections(frozenset(self.connections.values()))
        await asyncio.gather(*tasks, return_exceptions=True)

    def abort_connections(self, addresses: frozenset[str]) -> None:
        """Aborts the open connections with some members."""
        for writer, member in list(self.connections.items()):
            if member in addresses:
                writer.transport.abort()

    def find_primary(self) -> str | None:
        """Returns the primary on the highest timeline, if any answers."""
        best: str | None = None
        for member, status in self.statuses.items():
            if not status.is_primary:
                continue
            if best and status.timeline <= self.statuses[best].timeline:
                continue
            best = member
        return best

    async def connect(
        self, member: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection to a member.

        Raises:
          OSError: The member is unreachable.
        """
        if member in self.faults.cut_members:
            raise ConnectionRefusedError(member)
        host, _, port = member.rpartition(":")
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        self.connections[writer] = member
        write(writer, self.address)
        return reader, writer

    def disconnect(self, writer: asyncio.StreamWriter) -> None:
        """Closes a connection."""
        self.connections.pop(writer, None)
        writer.close()

    async def keep_polling(self, member: str) -> None:
        """Polls a member and reconnects after errors."""
        while True:
            try:
                await self.poll(member)
            except CONNECTION_ERRORS:
                self.statuses.pop(member, None)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def poll(self, member: str) -> None:
        """Polls a member over one connection until it fails."""
        reader, writer = await self.connect(member)
        try:
            while True:
                await self.faults.wait_thawed()
                write(writer, None)
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    status = Status(*await read(reader))
                self.statuses[member] = status
                highest = max(self.data.highest_timeline, status.timeline)
                self.data.highest_timeline = highest
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            self.disconnect(writer)
