"""Relays between instances, which can hold back all that passes.

The store hands out the address of an instance's relay in place of its own.
"""

import asyncio
from typing import cast

HOST = "127.0.0.1"


class Relay:
    """Passes on the connections that others open to an instance.

    Attributes:
      port: Where others connect.
      target: The port of the instance.
      is_holding: Whether all bytes are held back for now.
    """

    def __init__(self, port: int, target: int):
        self.port = port
        self.target = target
        self.is_holding = False
        self.ends: set[End] = set()
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: End(self, None), HOST, self.port
        )

    def stop(self) -> None:
        """Ends all connections."""
        if self.listener is not None:
            self.listener.close()
        for end in list(self.ends):
            end.abort()

    def hold(self) -> None:
        """Holds all bytes back from now on."""
        self.is_holding = True

    def release(self) -> None:
        """Passes on what was held back and what comes."""
        self.is_holding = False
        for end in list(self.ends):
            end.pass_on()


class End(asyncio.Protocol):
    """One end of a relayed connection.

    Attributes:
      other: The other end; None until it is connected.
    """

    def __init__(self, relay: Relay, other: "End | None"):
        self.relay = relay
        self.other = other
        self.held = bytearray()
        self.transport: asyncio.Transport | None = None
        self.is_lost = False
        self.connecting: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connects to the instance if this end was accepted."""
        self.transport = cast(asyncio.Transport, transport)
        self.relay.ends.add(self)
        if self.other is None:
            self.connecting = asyncio.ensure_future(self._connect())
            return
        self.other.other = self
        self.other.pass_on()

    def data_received(self, data: bytes) -> None:
        """Passes data on, or holds it back."""
        self.held += data
        self.pass_on()

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the other end too."""
        self.is_lost = True
        self.transport = None
        self.relay.ends.discard(self)
        if self.other is not None:
            self.other.abort()

    def pass_on(self) -> None:
        """Passes on what has arrived unless it is held back."""
        if self.relay.is_holding or self.other is None or not self.held:
            return
        if self.other.transport is not None:
            self.other.transport.write(bytes(self.held))
            self.held.clear()

    def abort(self) -> None:
        """Ends this end at once."""
        if self.transport is not None:
            self.transport.abort()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, end = await loop.create_connection(
                lambda: End(self.relay, self), HOST, self.relay.target
            )
        except OSError:
            # The instance is down, as its peer finds by this end.
            self.abort()
            return
        if self.is_lost:
            end.abort()
