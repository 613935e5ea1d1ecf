"""HTTP/1.1 in small: calls on one address, and a server of small answers.

For processes in which memory counts. The protocol itself is h11's.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11
from loguru import logger

from cuminwall import exceptions

READ_BYTES = 65536
MAX_BODY_BYTES = 64 * 1024 * 1024
# A packet that opens a connection and is lost is sent again after a second
# and then ever later; a fresh try is sooner there.
CONNECT_S = 0.7
MAX_IDLE = 4  # Unused connections that a client keeps.
REQUEST_TIMEOUT_S = 5.0  # How long a server waits for a request's rest.
# A peer that is gone without a word is noticed after about three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


class Response(NamedTuple):
    """The status and the body of an answer."""

    status: int
    body: bytes


class Request(NamedTuple):
    """A request that a server takes."""

    method: str
    path: str


Handler = Callable[[Request], Awaitable[Response]]


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Has the kernel notice a far end that went silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    try:
        for level, option, value in options:
            sock.setsockopt(level, option, value)
    except OSError as error:
        logger.debug("http: no keep-alive: {!r}", error)


class Client:
    """Calls on one address.

    A connection on which a call failed is closed: its next answer could be
    another call's.
    """

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self.idle: list[_Exchange] = []

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> Response:
        """Returns the answer to one call, whatever its status.

        Raises:
          exceptions.AnswerTimeoutError: No whole answer came in time.
          exceptions.ConnectionLostError: The connection failed.
        """
        sent = [("Host", f"{self.host}:{self.port}"), *headers]
        if body:
            sent.append(("Content-Type", "application/json"))
        if body or method == "POST":
            sent.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=path, headers=sent)
        exchange: _Exchange | None = None
        try:
            async with asyncio.timeout(timeout_s):
                exchange = self.idle.pop() if self.idle else None
                if exchange is None:
                    exchange = await _connect(self.host, self.port)
                response = await exchange.run(request, body)
        except TimeoutError as error:
            _abort(exchange)
            if error.errno is not None:
                # The kernel's: the far end has not answered its probes.
                text = f"{path}: {error!r}"
                raise exceptions.ConnectionLostError(text) from error
            text = f"{path}: no answer for {timeout_s:g} s"
            raise exceptions.AnswerTimeoutError(text) from error
        except (
            OSError,
            EOFError,
            RuntimeError,  # What uvloop raises on a transport that is closed.
            h11.RemoteProtocolError,
        ) as error:
            _abort(exchange)
            text = f"{path}: {error!r}"
            raise exceptions.ConnectionLostError(text) from error
        except BaseException:
            _abort(exchange)
            raise
        if exchange.can_go_on() and len(self.idle) < MAX_IDLE:
            self.idle.append(exchange)
        else:
            exchange.abort()
        return response

    def close_idle(self) -> None:
        """Closes the unused connections, which may have gone silent."""
        for exchange in self.idle:
            exchange.abort()
        self.idle.clear()


class _Exchange:
    """One connection of a client."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.CLIENT)

    async def run(self, request: h11.Request, body: bytes) -> Response:
        """Sends a request and returns its answer."""
        data = self.protocol.send(request) or b""
        if body:
            data += self.protocol.send(h11.Data(data=body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        status = 0
        parts: list[bytes] = []
        size = 0
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                self.protocol.receive_data(await self.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    raise EOFError("the answer is too long")
            elif isinstance(event, h11.EndOfMessage):
                return Response(status, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("the connection ended")

    def can_go_on(self) -> bool:
        """Makes the connection fit for another call; returns whether it is."""
        if self.writer.is_closing() or self.reader.at_eof():
            return False
        if self.protocol.our_state is not h11.DONE:
            return False
        if self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        return True

    def abort(self) -> None:
        """Closes the connection at once."""
        self.writer.transport.abort()


def _abort(exchange: _Exchange | None) -> None:
    if exchange is not None:
        exchange.abort()


async def _connect(host: str, port: int) -> _Exchange:
    async with asyncio.timeout(CONNECT_S):
        reader, writer = await asyncio.open_connection(host, port)
    enable_keepalive(writer.transport)
    return _Exchange(reader, writer)


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Answers requests by `handler` until the server is closed."""

    async def talk(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        enable_keepalive(writer.transport)
        try:
            await _answer_all(reader, writer, handler)
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            logger.debug("http: a connection ended: {!r}", error)
        finally:
            writer.transport.abort()

    return await asyncio.start_server(talk, host, port)


async def _answer_all(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
) -> None:
    """Answers the requests of one connection in order."""
    protocol = h11.Connection(h11.SERVER)
    request: h11.Request | None = None
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(READ_BYTES)
            protocol.receive_data(data)
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            assert request is not None
            target = request.target.decode("ascii", "replace")
            method = request.method.decode("ascii", "replace")
            response = await handler(Request(method, target))
            _write(protocol, writer, response)
            await writer.drain()
            if protocol.our_state is not h11.DONE:
                return
            protocol.start_next_cycle()
        elif isinstance(event, h11.ConnectionClosed):
            return


def _write(
    protocol: h11.Connection,
    writer: asyncio.StreamWriter,
    response: Response,
) -> None:
    """Sends one answer."""
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(response.body))),
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    data = protocol.send(head) or b""
    data += protocol.send(h11.Data(data=response.body)) or b""
    data += protocol.send(h11.EndOfMessage()) or b""
    writer.write(data)
