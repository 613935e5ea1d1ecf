"""Tests of the minimal HTTP client and server."""

import asyncio
import socket
import threading
import time
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import uvloop

from cuminwall import exceptions, plainhttp

HOST = "127.0.0.1"
GUARD_S = 20.0


async def echo(request: plainhttp.Request) -> plainhttp.Response:
    """Responds with the method and path of the request."""
    text = f"{request.method} {request.path}"
    return plainhttp.Response(200, text.encode())


async def open_port(
    handler: plainhttp.Handler,
) -> tuple[asyncio.Server, int]:
    """Starts a server; returns it and its port."""
    server = await plainhttp.serve(HOST, 0, handler)
    return server, server.sockets[0].getsockname()[1]


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """Calls to one address, their timeouts and failures."""

    async def test_answers_on_one_connection(self) -> None:
        server, port = await open_port(echo)
        client = plainhttp.Client(HOST, port)
        for path in ("/a", "/b"):
            response = await client.call("GET", path, 2.0)
            self.assertEqual(response.body, f"GET {path}".encode())
            self.assertEqual(len(client.idle), 1)
        client.close_idle()
        server.close()

    async def test_timeout(self) -> None:
        async def never(request: plainhttp.Request) -> plainhttp.Response:
            await asyncio.sleep(30)
            return plainhttp.Response(200, b"")

        server, port = await open_port(never)
        client = plainhttp.Client(HOST, port)
        with self.assertRaises(exceptions.AnswerTimeoutError):
            await client.call("GET", "/", 0.1)
        self.assertEqual(client.idle, [])
        server.close()

    async def test_closed_transport_counts_as_lost(self) -> None:
        # uvloop raises RuntimeError if the transport is closed during the call.
        # Uncaught, it ended the task that follows the store.
        server, port = await open_port(echo)
        client = plainhttp.Client(HOST, port)
        await client.call("GET", "/", 2.0)

        def write(data: bytes) -> None:
            raise RuntimeError("the handler is closed")

        broken = mock.patch.object(client.idle[0].writer, "write", write)
        lost = self.assertRaises(exceptions.ConnectionLostError)
        with broken, lost:
            await client.call("GET", "/", 2.0)
        server.close()

    async def test_refused(self) -> None:
        server, port = await open_port(echo)
        server.close()
        await server.wait_closed()
        with self.assertRaises(exceptions.ConnectionLostError):
            await plainhttp.Client(HOST, port).call("GET", "/", 1.0)

    async def test_connecting_does_not_use_up_a_long_wait(self) -> None:
        # The listener never accepts and its queue is full, so the SYN of one
        # more connection gets no answer, as from an unreachable address.
        listener = socket.create_server((HOST, 0), backlog=0)
        port = listener.getsockname()[1]
        fillers = []
        for _ in range(8):
            opening = asyncio.open_connection(HOST, port)
            fillers.append(asyncio.create_task(opening))
        await asyncio.sleep(0.1)
        started_at = time.monotonic()
        with self.assertRaises(exceptions.AnswerTimeoutError):
            await plainhttp.Client(HOST, port).call("GET", "/", 30.0)
        self.assertLess(time.monotonic() - started_at, 2.0)
        for filler in fillers:
            filler.cancel()
        listener.close()


class SocketServer:
    """A server in a thread, which goes on while the event loop stands still.

    Attributes:
      port: Its port.
      is_called: Set when it has received a request.
    """

    def __init__(self, answer: Callable[[socket.socket], None]):
        self.answer = answer
        self.listener = socket.create_server((HOST, 0))
        self.port = self.listener.getsockname()[1]
        self.is_called = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        """Answers one call."""
        connection, _ = self.listener.accept()
        with self.listener, connection:
            if not connection.recv(65536):
                return
            self.is_called.set()
            try:
                self.answer(connection)
            except OSError:
                return  # The client has given up, as tests expect.


def head(size: int) -> bytes:
    """Returns the head of an answer."""
    return f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode()


async def hold_up(seconds: float) -> None:
    """Holds the event loop up in every pass."""
    while True:
        time.sleep(seconds)
        await asyncio.sleep(0)


class HeldUpTest(unittest.TestCase):
    """The timeout of a call passes while this process is held up."""

    LOOPS = (asyncio.new_event_loop, uvloop.new_event_loop)
    TIMEOUT_S = 0.3
    PASS_S = 0.5
    LARGE_BYTES = 512 * 1024  # Eight reads.

    def run_on_each(self, test: Callable[[], Awaitable[None]]) -> None:
        """Runs a test on each event loop."""

        async def run() -> None:
            await asyncio.wait_for(test(), GUARD_S)

        for factory in self.LOOPS:
            with (
                self.subTest(factory),
                asyncio.Runner(loop_factory=factory) as runner,
            ):
                runner.run(run())

    def test_large_answer_is_read_by_a_slow_loop(self) -> None:
        async def call() -> None:
            is_slow = threading.Event()

            def answer(connection: socket.socket) -> None:
                is_slow.wait(GUARD_S)
                body = b"x" * self.LARGE_BYTES
                connection.sendall(head(len(body)) + body)

            server = SocketServer(answer)
            client = plainhttp.Client(HOST, server.port)
            task = asyncio.create_task(client.call("GET", "/", self.TIMEOUT_S))
            await asyncio.to_thread(server.is_called.wait, GUARD_S)
            is_slow.set()
            holder = asyncio.create_task(hold_up(self.PASS_S))
            response = await task
            holder.cancel()
            client.close_idle()
            self.assertEqual(len(response.body), self.LARGE_BYTES)

        self.run_on_each(call)

    def test_connection_that_was_made_is_used(self) -> None:
        async def call() -> None:
            server = SocketServer(lambda to: to.sendall(head(0)))
            client = plainhttp.Client(HOST, server.port)
            task = asyncio.create_task(client.call("GET", "/", 5.0))
            await asyncio.sleep(0)
            time.sleep(plainhttp.CONNECT_TIMEOUT_S + 0.1)
            self.assertEqual((await task).status, 200)
            client.close_idle()

        self.run_on_each(call)

    def test_nothing_is_sent_after_the_timeout(self) -> None:
        async def call() -> None:
            server = SocketServer(lambda to: to.sendall(head(0)))
            client = plainhttp.Client(HOST, server.port)
            task = asyncio.create_task(client.call("GET", "/", self.TIMEOUT_S))
            await asyncio.sleep(0)
            time.sleep(self.TIMEOUT_S + 0.1)
            with self.assertRaises(exceptions.AnswerTimeoutError):
                await task
            await asyncio.sleep(0.1)
            self.assertFalse(server.is_called.is_set())

        self.run_on_each(call)

    def test_trickling_answer_ends(self) -> None:
        def trickle(connection: socket.socket) -> None:
            connection.sendall(head(self.LARGE_BYTES))
            while True:
                connection.sendall(b"x")
                time.sleep(plainhttp.LOOK_S / 10)

        async def call() -> None:
            server = SocketServer(trickle)
            client = plainhttp.Client(HOST, server.port)
            started_at = time.monotonic()
            with self.assertRaises(exceptions.AnswerTimeoutError):
                await client.call("GET", "/", self.TIMEOUT_S)
            bound_s = (plainhttp.MAX_EXTRA_TIMEOUTS + 1) * self.TIMEOUT_S
            passed_s = time.monotonic() - started_at
            self.assertLess(passed_s, bound_s + 1.0)

        self.run_on_each(call)

    def test_cancellation_is_not_a_timeout(self) -> None:
        async def call() -> None:
            server = SocketServer(lambda to: time.sleep(1.0))
            client = plainhttp.Client(HOST, server.port)
            task = asyncio.create_task(client.call("GET", "/", self.TIMEOUT_S))
            await asyncio.sleep(self.TIMEOUT_S - 0.05)
            time.sleep(0.1)
            await asyncio.sleep(0)
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task

        self.run_on_each(call)


if __name__ == "__main__":
    unittest.main()
