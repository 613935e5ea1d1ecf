"""Tests of how a site of stand-ins chooses the ports of its processes."""

import asyncio
import errno
import pathlib
import socket
import tempfile
import unittest

from cuminwall_standins import site


class PortsTest(unittest.IsolatedAsyncioTestCase):
    """A port is kept for its process until that listens."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = site.Site(pathlib.Path(folder.name))

    async def asyncTearDown(self) -> None:
        await self.site.stop()

    async def test_nobody_else_gets_the_port(self) -> None:
        for port in self.site.reserve_ports(3):
            with socket.socket() as other, self.assertRaises(OSError) as caught:
                other.bind((site.HOST, port))
            self.assertEqual(caught.exception.errno, errno.EADDRINUSE)

    async def test_its_process_can_listen_on_it(self) -> None:
        (port,) = self.site.reserve_ports(1)
        for _ in range(2):
            server = await asyncio.start_server(
                lambda r, w: None, site.HOST, port
            )
            server.close()
            await server.wait_closed()

    async def test_port_is_free_after_the_end_of_the_site(self) -> None:
        (port,) = self.site.reserve_ports(1)
        await self.site.stop()
        with socket.socket() as other:
            other.bind((site.HOST, port))


if __name__ == "__main__":
    unittest.main()
