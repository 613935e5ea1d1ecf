"""A TCP relay that only copies bytes, as a lower bound for any proxy.

It connects each accepted connection to one of the targets, round robin. It
prints its port as one line of JSON.
"""

import os

# libuv opens an io_uring ring at start unless told otherwise.
os.environ["UV_USE_IO_URING"] = "0"

import asyncio
import itertools
import json
from collections.abc import Iterator, Sequence
from typing import cast

import uvloop
from absl import app, flags

HOST = "127.0.0.1"

_TARGETS = flags.DEFINE_list(
    "targets", None, "The ports that connections are relayed to.", required=True
)


class RelaySide(asyncio.Protocol):
    """One side of a relayed connection.

    Attributes:
      transport: This side's transport, or None before it is connected.
      other: The other side.
      unsent: Bytes received before the other side was connected.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: RelaySide | None = None
        self.unsent: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the bytes that the other side has received so far."""
        self.transport = cast(asyncio.Transport, transport)
        if self.other is not None:
            self.transport.write(b"".join(self.other.unsent))
            self.other.unsent.clear()

    def data_received(self, data: bytes) -> None:
        """Copies bytes to the other side."""
        other = self.other
        if other is None or other.transport is None:
            self.unsent.append(data)
            return
        other.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Closes the other side."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class CallerSide(RelaySide):
    """The caller's side; it opens the server's side.

    Attributes:
      targets: The ports to connect to, in turn.
      task: The task that opens the server's side.
    """

    def __init__(self, targets: Iterator[int]):
        super().__init__()
        self.targets = targets
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to open the server's side."""
        super().connection_made(transport)
        self.task = asyncio.create_task(self._open(next(self.targets)))

    async def _open(self, port: int) -> None:
        server_side = RelaySide()
        server_side.other = self
        self.other = server_side
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: server_side, HOST, port)


async def _serve(ports: Sequence[int]) -> None:
    targets = itertools.cycle(ports)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: CallerSide(targets), HOST, 0)
    port = server.sockets[0].getsockname()[1]
    print(json.dumps({"port": port}), flush=True)
    await asyncio.Event().wait()


def main(argv: Sequence[str]) -> None:
    """Relays until the process ends."""
    del argv
    ports = [int(port) for port in _TARGETS.value]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(ports))


if __name__ == "__main__":
    app.run(main)
