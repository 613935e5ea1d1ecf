"""Tests of crowds of clients that misbehave, against a real instance.

They check that it lives, that its memory and sockets stay within the machine
that its settings tell, and that an ordinary caller is served afterwards, with
the crowd still connected. No check depends on a time.
"""

import pathlib
import tempfile
import unittest

from tests.crowd_site import ITEM, LOGIN, RESERVED_FILES, CrowdSite, LargeRows

MEMORY_MB = 90
FEW_DESCRIPTORS = 280
MANY_DESCRIPTORS = 4300
CROWD = 100
MESSAGE_BYTES = 1024 * 1024
READ = b"READ " + ITEM


def make_message(text: bytes, size: int) -> bytes:
    """Returns a statement of so many bytes with its line end."""
    return (b"QUERY 1 " + text).ljust(size, b"x") + b"\r\n"


class CrowdTest(unittest.IsolatedAsyncioTestCase):
    """Starts the instance of each test and checks it at the end."""

    max_descriptors = MANY_DESCRIPTORS

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = CrowdSite(
            pathlib.Path(folder.name), MEMORY_MB, self.max_descriptors
        )
        self.addCleanup(self.site.stop)
        await self.site.start()

    async def check(self) -> None:
        """Checks what must hold with the crowd still connected."""
        site = self.site
        sockets = site.count_sockets()
        is_served = await site.is_served()
        self.assertTrue(site.instance.is_running())
        peak_mb = site.peak_memory_mb()
        print(f"{self.id()}: {peak_mb:.0f} MB, {sockets} sockets")
        self.assertLessEqual(peak_mb, MEMORY_MB)
        self.assertLessEqual(sockets, self.max_descriptors - RESERVED_FILES)
        self.assertTrue(is_served)


class ReceivedTest(CrowdTest):
    """What callers send."""

    async def test_unfinished_messages_before_login(self) -> None:
        data = make_message(READ, MESSAGE_BYTES)[:-20]
        await self.site.connect(CROWD, data)
        await self.check()

    async def test_unfinished_messages_after_login(self) -> None:
        data = make_message(READ, MESSAGE_BYTES)[:-20]
        await self.site.connect(CROWD, LOGIN + data)
        await self.check()

    async def test_whole_messages_at_once(self) -> None:
        data = make_message(b"WRITE " + ITEM + b" ", MESSAGE_BYTES)
        clients = await self.site.connect(CROWD, LOGIN + data[:-2])
        await self.site.send(clients, data[-2:] + 4 * data)
        await self.check()

    async def test_messages_of_wide_characters(self) -> None:
        text = b"WRITE " + ITEM + " \U0001f600".encode()
        data = make_message(text, MESSAGE_BYTES)
        clients = await self.site.connect(CROWD, LOGIN + data[:-2])
        await self.site.send(clients, data[-2:] + 4 * data)
        await self.check()

    async def test_messages_in_small_pieces(self) -> None:
        clients = await self.site.connect(CROWD, LOGIN)
        piece = make_message(READ, MESSAGE_BYTES // 8)[:-2]
        for _ in range(7):
            await self.site.send(clients, piece)
        await self.check()

    async def test_messages_a_byte_at_a_time(self) -> None:
        clients = await self.site.connect(CROWD, LOGIN)
        data = make_message(READ, 500)
        for start in range(len(data)):
            for client in clients:
                try:
                    client.send(data[start : start + 1])
                except OSError:
                    continue
        await self.check()

    async def test_messages_far_over_the_limit_without_an_end(self) -> None:
        data = make_message(READ, 5 * MESSAGE_BYTES)[:-2]
        await self.site.connect(CROWD, LOGIN + data)
        await self.check()

    async def test_messages_far_over_the_limit_with_an_end(self) -> None:
        data = make_message(READ, 3 * MESSAGE_BYTES)
        await self.site.connect(CROWD, LOGIN + 2 * data)
        await self.check()

    async def test_statements_sent_ahead_and_no_answer_read(self) -> None:
        data = 20_000 * (b"QUERY 1 READ " + ITEM + b"\r\n")
        await self.site.connect(CROWD, LOGIN + data)
        await self.check()

    async def test_large_messages_one_by_one_in_calm(self) -> None:
        text = make_message(b"WRITE " + ITEM + b" ", MESSAGE_BYTES)[
            len("QUERY 1 ") : -2
        ]
        for _ in range(5):
            answer = await self.site.ask(text)
            self.assertIn(b"COMPLETE i-svc-0", answer)
        await self.check()


class KeptTest(CrowdTest):
    """What a session keeps."""

    async def test_prepared_statements_without_end(self) -> None:
        data = bytearray(LOGIN)
        for number in range(150):
            text = f"PREPARE s{number} READ ".encode()
            data += make_message(text, MESSAGE_BYTES // 10)
        await self.site.connect(CROWD // 5, bytes(data))
        await self.check()

    async def test_session_values_without_end(self) -> None:
        data = bytearray(LOGIN)
        for number in range(150):
            text = f"SET n{number} ".encode()
            data += make_message(text, MESSAGE_BYTES // 10)
        await self.site.connect(CROWD // 5, bytes(data))
        await self.check()


class AnswersTest(CrowdTest):
    """What is sent to callers."""

    async def test_large_answers_that_nobody_reads(self) -> None:
        self.site.server.drawing = LargeRows(MESSAGE_BYTES - 10)
        data = LOGIN + 12 * (b"QUERY 1 READ " + ITEM + b"\r\n")
        await self.site.connect(CROWD, data)
        await self.site.settle()
        await self.check()


class DescriptorsTest(CrowdTest):
    """Connections that are opened and left."""

    max_descriptors = FEW_DESCRIPTORS

    async def test_connections_without_a_login(self) -> None:
        await self.site.connect(CROWD, b"")
        await self.check()

    async def test_connections_that_stop_in_the_login(self) -> None:
        await self.site.connect(CROWD, LOGIN[:-5])
        await self.check()

    async def test_sessions_that_are_left_open(self) -> None:
        await self.site.connect(CROWD, LOGIN)
        await self.check()

    async def test_transactions_that_are_left_open(self) -> None:
        data = LOGIN + b"QUERY 1 BEGIN\r\nQUERY 2 WRITE " + ITEM + b" x\r\n"
        await self.site.connect(CROWD, data)
        await self.check()

    async def test_connections_to_the_readiness_probe(self) -> None:
        port = self.site.instance.ports.ready
        await self.site.connect(CROWD, b"GET /v1/readyz HT", port)
        await self.check()

    async def test_connections_to_the_metrics(self) -> None:
        port = self.site.instance.ports.metrics
        await self.site.connect(CROWD, b"GET /metrics HT", port)
        await self.check()


if __name__ == "__main__":
    unittest.main()
