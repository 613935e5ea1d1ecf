"""The sockets of the connections to backend servers."""

import asyncio
from collections.abc import Callable
from typing import cast

from loguru import logger

from cuminwall import exceptions, plainhttp
from cuminwall.direct import effects, events, ports
from cuminwall.direct.answers import Answer, Failure
from cuminwall.direct.memory import Memory
from cuminwall.load import memory_budget

PART = "servers"


class Servers:
    """All connections of this instance to backend servers.

    Attributes:
      make_codec: Makes the codec of one connection.
      on_event: Handles an event.
      clock: Returns the time for events.
      sockets: The connections by number.
      tasks: The tasks that open connections, by number.
      memory: What the connections hold.
    """

    def __init__(
        self,
        make_codec: Callable[[], ports.ServerCodec],
        on_event: Callable[[events.Event], None],
        clock: Callable[[], float],
        memory: Memory | None = None,
    ):
        self.memory = memory or Memory(None, lambda event, fields: None)
        self.make_codec = make_codec
        self.on_event = on_event
        self.clock = clock
        self.sockets: dict[int, ServerSocket] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}

    def count(self) -> int:
        """Returns how many connections are open or being opened."""
        return len(self.sockets) + len(self.tasks)

    def connect(self, effect: effects.OpenConnection) -> None:
        """Starts to open a connection."""
        task = asyncio.create_task(self._connect(effect))
        self.tasks[effect.connection] = task
        task.add_done_callback(
            lambda _: self.tasks.pop(effect.connection, None)
        )

    def send(self, effect: effects.SendCommands) -> None:
        """Sends commands in one write."""
        socket = self.sockets.get(effect.connection)
        if socket is None or socket.transport is None:
            return
        codec = socket.codec
        parts = [codec.encode_command(command) for command in effect.commands]
        socket.transport.write(b"".join(parts))

    def close(self, connection: int) -> None:
        """Closes a connection at once."""
        task = self.tasks.get(connection)
        if task is not None:
            task.cancel()
        socket = self.sockets.pop(connection, None)
        if socket is not None and socket.transport is not None:
            socket.transport.close()
            socket.forget()

    async def _connect(self, effect: effects.OpenConnection) -> None:
        """Opens a connection; a failure is reported as an event."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(
                lambda: ServerSocket(self, effect), effect.host, effect.port
            )
        except OSError as error:
            logger.debug("{}: {}: {!r}", PART, effect.server, error)
            number = effect.connection
            self.on_event(
                events.ConnectionEnded(self.clock(), number, None, True)
            )


class ServerSocket(asyncio.Protocol):
    """One connection to a backend server."""

    def __init__(self, servers: Servers, effect: effects.OpenConnection):
        self.servers = servers
        self.effect = effect
        self.codec = servers.make_codec()
        self.transport: asyncio.Transport | None = None
        self.is_open = False
        self.failure: Failure | None = None
        self.is_counted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the login message."""
        self.transport = cast(asyncio.Transport, transport)
        plainhttp.enable_keepalive(transport)
        effect = self.effect
        self.servers.sockets[effect.connection] = self
        login = self.codec.encode_login(
            effect.service, effect.workspace, effect.server
        )
        self.transport.write(login)

    def data_received(self, data: bytes) -> None:
        """Decodes messages and handles them."""
        try:
            messages = self.codec.feed(data)
        except exceptions.ProtocolError as error:
            logger.warning("{}: {}: {}", PART, self.effect.server, error)
            self._abort()
            return
        self._count_held()
        for message in messages:
            if self.effect.connection in self.servers.sockets:
                self._handle(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end, unless the connection was closed here."""
        number = self.effect.connection
        if self.servers.sockets.get(number) is not self:
            return
        del self.servers.sockets[number]
        self.forget()
        now = self.servers.clock()
        self.servers.on_event(
            events.ConnectionEnded(now, number, self.failure, not self.is_open)
        )

    def forget(self) -> None:
        """Removes what the connection held from the account."""
        if self.is_counted:
            self.is_counted = False
            self.servers.memory.set(-self.effect.connection, 0, self._abort)

    def _count_held(self) -> None:
        """Tells the account what the connection holds of an answer."""
        held = self.codec.count_held()
        if held < memory_budget.SMALL_BYTES:
            self.forget()
            return
        self.is_counted = True
        self.servers.memory.set(-self.effect.connection, held, self._abort)

    def _handle(self, message: ports.ServerMessage) -> None:
        """Turns a message into an event."""
        now = self.servers.clock()
        number = self.effect.connection
        if isinstance(message, Answer):
            self.servers.on_event(events.CommandAnswered(now, number, message))
            return
        if isinstance(message, Failure):
            self.failure = message
            self._abort()
            return
        self.is_open = True
        self.servers.on_event(events.ConnectionOpened(now, number))

    def _abort(self) -> None:
        """Aborts the connection."""
        if self.transport is not None:
            self.transport.abort()
