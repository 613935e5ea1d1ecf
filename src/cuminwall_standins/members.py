"""What a member of a group knows of the others, and its connections to them.

Messages are CBOR behind a length word. A connection begins with the address of
the member that opened it; after that None asks for the state.
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
    """The state of a member as last heard."""

    is_primary: bool
    timeline: int
    lsn: int


async def read(reader: asyncio.StreamReader) -> Any:
    """Returns the next message."""
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
      addresses: The addresses of the others.
      statuses: The states of those that answer.
      connections: The open connections and the member at the other end.
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
        """Sets who the members are; the own address is left out."""
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
        """Closes all connections and stops asking."""
        tasks = list(self.poll_tasks.values())
        self.poll_tasks.clear()
        self.statuses.clear()
        for task in tasks:
            task.cancel()
        self.abort_connections(frozenset(self.connections.values()))
        await asyncio.gather(*tasks, return_exceptions=True)

    def abort_connections(self, addresses: frozenset[str]) -> None:
        """Closes the open connections with some members."""
        for writer, member in list(self.connections.items()):
            if member in addresses:
                writer.transport.abort()

    def find_primary(self) -> str | None:
        """Returns the primary of the highest timeline, if one answers."""
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
          OSError: It is not reached.
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
        """Keeps asking a member for its state."""
        while True:
            try:
                await self.poll(member)
            except CONNECTION_ERRORS:
                self.statuses.pop(member, None)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def poll(self, member: str) -> None:
        """Asks over one connection until it fails."""
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
