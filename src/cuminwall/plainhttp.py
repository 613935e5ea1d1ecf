"""A minimal HTTP/1.1 client and server on top of h11.

For processes that have to use little memory.
"""

import asyncio
import socket
import types
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Self

import h11
from loguru import logger

from cuminwall import exceptions

READ_BYTES = 65536
MAX_BODY_BYTES = 64 * 1024 * 1024
# The kernel resends a lost SYN after one second and then at growing intervals;
# a new attempt to connect is faster.
CONNECT_TIMEOUT_S = 0.7
# After a timeout, what has arrived is still read. A look takes a pass of the
# event loop or more: one pass reads from the socket, the next handles the data.
LOOK_S = 0.005
QUIET_LOOKS = 3  # Looks without data after which a call fails.
# How long an answer that has begun may pause after the timeout: on a slow link
# its packets wait behind others.
MAX_STALL_S = 0.3
# An answer that goes on arriving after the timeout ends no later than this many
# times the timeout after it, unless the looks so far were fewer than these: a
# slow event loop needs the time for itself.
MAX_EXTRA_TIMEOUTS = 3
MIN_LOOKS = 20
MAX_IDLE = 4  # Idle connections that a client keeps open.
REQUEST_TIMEOUT_S = 5.0  # How long a server waits for the rest of a request.
# A peer that vanishes without closing is detected after about three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


class Response(NamedTuple):
    """A response.

    Attributes:
      status: The status.
      body: The body.
      headers: Names in lower case and values.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class Request(NamedTuple):
    """A request that a server received."""

    method: str
    path: str


Handler = Callable[[Request], Awaitable[Response]]


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Enables TCP keep-alive, so that the kernel detects a dead peer."""
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
        logger.debug("http: can't enable TCP keep-alive: {!r}", error)


class Client:
    """Makes calls to one address.

    A connection on which a call failed is closed: the next answer on it could
    belong to the failed call.

    Attributes:
      host: The host.
      port: The port.
      idle: The connections without a call.
      deadlines: The deadlines of the calls in progress.
    """

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self.idle: list[_ClientConnection] = []
        self.deadlines: set[_Deadline] = set()

    def is_answer_arriving(self) -> bool:
        """Returns whether a part of an answer was read a short time ago."""
        return any(each.has_read_lately() for each in self.deadlines)

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        may_send: Callable[[], bool] = lambda: True,
        max_bytes: int = MAX_BODY_BYTES,
    ) -> Response:
        """Returns the answer to one call, whatever its status.

        Args:
          method: The method.
          path: The path, with its query.
          timeout_s: Timeout of the whole call, in seconds. An answer that has
            arrived is read even if this process was held up beyond it, and one
            that is arriving may take up to four times as long.
          headers: The headers besides those of the connection and the body.
          body: The body, as JSON.
          may_send: Tells, once there is a connection, whether to send the call.
          max_bytes: Maximum length of the answer's body.

        Raises:
          exceptions.AnswerTooLargeError: The answer is longer; most of it was
            not read.
          exceptions.NotSentError: `may_send` returned false.
          exceptions.AnswerTimeoutError: No complete answer arrived in time.
          exceptions.ConnectionLostError: The connection failed.
        """
        all_headers = [("Host", f"{self.host}:{self.port}"), *headers]
        if body:
            all_headers.append(("Content-Type", "application/json"))
        if body or method == "POST":
            all_headers.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=path, headers=all_headers)
        connection: _ClientConnection | None = None
        deadline = _Deadline(timeout_s)
        try:
            async with deadline:
                self.deadlines.add(deadline)
                connection = self.idle.pop() if self.idle else None
                if connection is None:
                    connection = await _connect(self.host, self.port)
                if deadline.has_passed:
                    raise TimeoutError
                if not may_send():
                    raise exceptions.NotSentError(path)
                response = await connection.run(
                    request, body, deadline, max_bytes
                )
        except TimeoutError as error:
            _abort(connection)
            if error.errno is not None:
                # From the kernel: no answer to the keep-alive probes.
                text = f"{path}: {error!r}"
                raise exceptions.ConnectionLostError(text) from error
            text = f"{path}: no answer for {timeout_s:g} s"
            raise exceptions.AnswerTimeoutError(text) from error
        except (
            OSError,
            EOFError,
            RuntimeError,  # uvloop raises it on a closed transport.
            h11.RemoteProtocolError,
        ) as error:
            _abort(connection)
            text = f"{path}: {error!r}"
            raise exceptions.ConnectionLostError(text) from error
        except BaseException:
            _abort(connection)
            raise
        finally:
            self.deadlines.discard(deadline)
        if connection.prepare_next_call() and len(self.idle) < MAX_IDLE:
            self.idle.append(connection)
        else:
            connection.abort()
        return response

    def close_idle(self) -> None:
        """Closes the idle connections, whose peer may be dead."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()


class _Deadline:
    """Ends its block with TimeoutError, but first lets the loop read.

    The timer and the data of a process that was held up are due together. If
    the timer cancelled the block, an answer that came in time would be lost.

    Attributes:
      timeout_s: When it passes, in seconds from the start of the block.
      reads: How often data was read in the block.
      read_at: When data was read last, by the loop's clock.
      has_passed: Whether it has passed.
      loop: The event loop.
      limit: Ends the block.
      timer: The timer of the deadline, then of the next look.
      seen_reads: `reads` at the last look.
      looks: How many looks there were.
      quiet_looks: How many of the last ones found that nothing was read.
      latest_end: When the block ends even if data comes, by the loop's clock.
    """

    def __init__(self, timeout_s: float):
        self.timeout_s = timeout_s
        self.reads = 0
        self.read_at = 0.0
        self.has_passed = False
        self.loop = asyncio.get_running_loop()
        self.limit = asyncio.timeout(None)
        self.timer: asyncio.TimerHandle | None = None
        self.seen_reads = 0
        self.looks = 0
        self.quiet_looks = 0
        self.latest_end = 0.0

    async def __aenter__(self) -> Self:
        await self.limit.__aenter__()
        self.timer = self.loop.call_later(self.timeout_s, self._pass)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self.timer is not None:
            self.timer.cancel()
        await self.limit.__aexit__(kind, error, trace)

    def record_read(self) -> None:
        """Records that data was read."""
        self.reads += 1
        self.read_at = self.loop.time()

    def has_read_lately(self) -> bool:
        """Returns whether data was read within `MAX_STALL_S`."""
        return self.reads > 0 and self.loop.time() < self.read_at + MAX_STALL_S

    def _pass(self) -> None:
        """Begins to look for data."""
        self.has_passed = True
        self.seen_reads = self.reads
        extra_s = MAX_EXTRA_TIMEOUTS * self.timeout_s
        self.latest_end = self.loop.time() + extra_s
        self.timer = self.loop.call_later(LOOK_S, self._look)

    def _look(self) -> None:
        """Ends the block unless data was read lately."""
        self.looks += 1
        self.quiet_looks += 1
        if self.reads != self.seen_reads:
            self.seen_reads = self.reads
            self.quiet_looks = 0
        now = self.loop.time()
        is_late = now >= self.latest_end and self.looks >= MIN_LOOKS
        is_quiet = self.quiet_looks >= QUIET_LOOKS
        if is_late or is_quiet and not self.has_read_lately():
            self.limit.reschedule(now)
            return
        self.timer = self.loop.call_later(LOOK_S, self._look)


class _ClientConnection:
    """One connection of a client, which carries one call at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.CLIENT)

    async def run(
        self,
        request: h11.Request,
        body: bytes,
        deadline: _Deadline,
        max_bytes: int,
    ) -> Response:
        """Sends a request and returns its answer."""
        data = self.protocol.send(request) or b""
        if body:
            data += self.protocol.send(h11.Data(data=body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        status = 0
        headers: tuple[tuple[str, str], ...] = ()
        parts: list[bytes] = []
        size = 0
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                received = await self.reader.read(READ_BYTES)
                deadline.record_read()
                self.protocol.receive_data(received)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = _decode_headers(event)
                _check_size(_announced_bytes(headers), max_bytes)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                _check_size(size, max_bytes)
            elif isinstance(event, h11.EndOfMessage):
                return Response(status, b"".join(parts), headers)
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("connection closed before the end of the answer")

    def prepare_next_call(self) -> bool:
        """Returns whether the connection is reusable; prepares it if so."""
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


def _decode_headers(head: h11.Response) -> tuple[tuple[str, str], ...]:
    """Returns the headers of a response; their names are in lower case."""
    decoded = []
    for name, value in head.headers:
        decoded.append((name.decode("latin-1"), value.decode("latin-1")))
    return tuple(decoded)


def _announced_bytes(headers: tuple[tuple[str, str], ...]) -> int:
    """Returns the length of the body that a head tells; 0 if it tells none."""
    text = dict(headers).get("content-length", "")
    return int(text) if text.isdecimal() else 0


def _check_size(size: int, max_bytes: int) -> None:
    """Raises AnswerTooLargeError for a body that is too long."""
    if size > max_bytes:
        raise exceptions.AnswerTooLargeError(f"{size} bytes, not {max_bytes}")


def _abort(connection: _ClientConnection | None) -> None:
    if connection is not None:
        connection.abort()


async def _connect(host: str, port: int) -> _ClientConnection:
    async with _Deadline(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port)
    enable_keepalive(writer.transport)
    return _ClientConnection(reader, writer)


async def serve(
    host: str, port: int, handler: Handler, max_connections: int | None = None
) -> asyncio.Server:
    """Serves requests with `handler` until the server is closed.

    Args:
      host: The host to listen on.
      port: The port.
      handler: Answers a request.
      max_connections: Beyond so many, the oldest connection is closed.
    """
    open_: dict[asyncio.StreamWriter, None] = {}

    async def handle_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        enable_keepalive(writer.transport)
        open_[writer] = None
        if max_connections is not None and len(open_) > max_connections:
            oldest = next(iter(open_))
            del open_[oldest]
            oldest.transport.abort()
        try:
            await _handle_requests(reader, writer, handler)
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            logger.debug("http: a connection failed: {!r}", error)
        finally:
            open_.pop(writer, None)
            writer.transport.abort()

    return await asyncio.start_server(handle_connection, host, port)


async def _handle_requests(
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
            _write_response(protocol, writer, response)
            await writer.drain()
            if protocol.our_state is not h11.DONE:
                return
            protocol.start_next_cycle()
        elif isinstance(event, h11.ConnectionClosed):
            return


def _write_response(
    protocol: h11.Connection,
    writer: asyncio.StreamWriter,
    response: Response,
) -> None:
    """Writes one response."""
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(response.body))),
        *response.headers,
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    data = protocol.send(head) or b""
    data += protocol.send(h11.Data(data=response.body)) or b""
    data += protocol.send(h11.EndOfMessage()) or b""
    writer.write(data)
