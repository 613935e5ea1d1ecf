"""Tests of the minimal HTTP client and server."""

import asyncio
import socket
import time
import unittest
from unittest import mock

from cuminwall import exceptions, plainhttp

HOST = "127.0.0.1"


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
