"""Tests of the soak's backend servers and of the sessions of its callers."""

import asyncio
import random
import unittest

from soak import (
    attempts,
    caller_sessions,
    drawing,
    records,
    requests,
    servers,
    statement_checks,
)
from soak.store import Store

SERVICE = "svc1"
ITEM = requests.encode(requests.Origin("edge-a-1", "p1", "k1", 1.0), 0)


def make_server(role=records.PRIMARY):
    """Returns a server without faults, and what it records."""
    seen = records.ServerRecords()
    server = servers.Server(
        Store(),
        SERVICE,
        "i-1",
        "a",
        role,
        2,
        lambda service, origin: None,
        random.Random(1),
        seen,
    )
    server.choose_fault = lambda: None
    return server, seen


class ServerTestCase(unittest.IsolatedAsyncioTestCase):
    """A server that is spoken to as an instance does."""

    role = records.PRIMARY

    async def asyncSetUp(self):
        self.server, self.seen = make_server(self.role)
        await self.server.start()
        self.addCleanup(self.server.stop)
        self.reader, self.writer = await self.connect()

    async def connect(self):
        reader, writer = await asyncio.open_connection(
            servers.HOST, self.server.port
        )
        self.addCleanup(writer.close)
        writer.write(b"STARTUP svc1 w1 i-1\r\n")
        self.assertTrue((await reader.readline()).startswith(b"READY I"))
        return reader, writer

    async def ask(self, text, number=b"1"):
        """Returns the code of the error, or "", and the state."""
        self.writer.write(b"QUERY " + number + b" " + text + b"\r\n")
        code = ""
        while True:
            line = await self.reader.readuntil(b"\r\n")
            word, _, rest = line.decode(errors="replace").partition(" ")
            if word == "ERROR":
                code = rest.split(" ")[0]
            if word == "READY":
                return code, rest.split(" ")[0]

    async def ask_all(self, *texts):
        return [await self.ask(text) for text in texts]


class TestServer(ServerTestCase):
    """What a backend server keeps of a connection, and records."""

    async def test_a_text_is_recorded_without_its_prefix(self):
        text = b"READ " + ITEM.encode() + b"  \xff \t "
        await self.ask(b"AFTER 1.1000 " + text)
        self.assertEqual(self.seen.runs[0].digest, records.make_digest(text))

    async def test_a_position_that_is_missing_is_refused(self):
        found = await self.ask(b"AFTER 1.1001 READ " + ITEM.encode())
        self.assertEqual(found, ("LAGGING", "I"))
        self.assertEqual(self.seen.runs, [])

    async def test_a_reset_makes_prepared_names_unknown(self):
        execute = b"EXECUTE n " + ITEM.encode()
        found = await self.ask_all(
            b"PREPARE n READ x ", execute, b"RESET", execute
        )
        self.assertEqual([code for code, _ in found], ["", "", "", "NOSTMT"])
        shape = records.digest_shape(False, b"x ")
        self.assertEqual([run.shape for run in self.seen.runs], [shape])

    async def test_a_failed_transaction_is_not_committed(self):
        found = await self.ask_all(
            b"BEGIN",
            b"WRITE " + ITEM.encode() + b" d",
            b"EXECUTE unknown " + ITEM.encode(),
            b"READ " + ITEM.encode(),
            b"COMMIT",
        )
        self.assertEqual(
            found[2:], [("NOSTMT", "E"), ("MALFORMED", "E"), ("ABORTED", "I")]
        )
        self.assertEqual(self.seen.commits, [])

    async def test_a_commit_holds_the_writes_of_its_transaction(self):
        write = b"WRITE " + ITEM.encode()
        await self.ask_all(write, b"BEGIN", write, write)
        await self.ask(b"COMMIT", b"9")
        found = [(each.number, len(each.writes)) for each in self.seen.commits]
        self.assertEqual(found, [("1", 1), ("9", 2)])

    async def test_a_closed_connection_rolls_back(self):
        await self.ask_all(b"BEGIN", b"WRITE " + ITEM.encode())
        self.writer.close()
        self.reader, self.writer = await self.connect()
        await self.ask_all(b"BEGIN", b"COMMIT")
        self.assertEqual(self.seen.commits, [])

    async def test_a_crash_drops_what_is_at_work(self):
        slots = self.server.free_slots
        self.server.free_slots = 0
        self.writer.write(b"QUERY 1 WRITE " + ITEM.encode() + b"\r\n")
        while not self.server.queue:
            await asyncio.sleep(0.001)
        self.server.crash()
        await self.server.restart()
        self.server.free_slots = slots
        self.reader, self.writer = await self.connect()
        await self.ask(b"READ " + ITEM.encode(), b"2")
        await self.ask(b"READ " + ITEM.encode(), b"3")
        self.assertEqual([run.number for run in self.seen.runs], ["2", "3"])
        self.assertFalse(self.server.queue)


class TestReplica(ServerTestCase):
    """What a replica refuses."""

    role = records.REPLICA

    async def test_writes_and_plain_transactions_are_refused(self):
        item = ITEM.encode()
        found = await self.ask_all(
            b"WRITE " + item, b"BEGIN", b"BEGIN READ", b"READ " + item
        )
        codes = [code for code, _ in found]
        self.assertEqual(codes, ["READONLY", "READONLY", "", ""])


class TestCaller(ServerTestCase):
    """What a caller notes, on a session that nothing changes on the way."""

    async def test_operations_of_many_seeds_break_no_rule(self):
        log = {}
        numbers = iter(range(1, 1_000_000))
        endpoint = caller_sessions.Endpoint("edge-a-1", 0, "p1", "k1")
        caller = caller_sessions.Caller(
            endpoint, self.reader, self.writer, "s1", log
        )
        draw = drawing.Drawing(random.Random(1), 3)
        for number in range(1, 41):
            operation = draw.draw_operation(0.5, 0.5)._replace(pause_s=0.0)
            if operation.begin:
                operation = operation._replace(end=drawing.COMMIT)
            attempt = attempts.Attempt(
                caller,
                operation,
                number,
                lambda: str(next(numbers)),
                lambda index: ITEM,
            )
            await attempt.run()
            self.assertFalse(attempt.is_over)
        self.assertGreater(len(self.seen.commits), 5)
        evidence = statement_checks.Evidence(log.values(), self.seen)
        self.assertEqual(statement_checks.check(evidence), [])


if __name__ == "__main__":
    unittest.main()
