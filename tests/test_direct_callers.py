"""Tests of messages that a caller may not send, over real sockets."""

import asyncio
import pathlib
import sys
import unittest
from typing import Any

from cuminwall.direct import callers, effects, events, statements
from tests import direct_world, test_direct_sessions

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A package named `platform` would clash with the standard library's module.
sys.path.insert(0, str(ROOT / "platform"))

from fleet import lines  # noqa: E402
from fleet.line_buffer import MAX_LINE_BYTES  # noqa: E402

TIMEOUT_S = 5.0


class CallerTestCase(unittest.IsolatedAsyncioTestCase):
    """A caller on a real socket, answered by a simulated instance."""

    async def asyncSetUp(self) -> None:
        self.world = test_direct_sessions.make_world()
        self.instance = self.world.instances["a"]
        self.callers = callers.Callers(
            lines.CallerLines, self.handle, lambda: self.world.now
        )
        server = await self.callers.listen("127.0.0.1", 0)
        self.addCleanup(server.close)
        address = server.sockets[0].getsockname()
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.addCleanup(self.writer.close)
        self.arrived = 0
        self.is_answering = True
        self.is_answer_due = False

    def handle(self, event: events.Event) -> None:
        """Passes a caller's event to the simulated instance, with its answer.

        The sessions of both have the same numbers, as there is one.
        """
        if isinstance(event, events.CallerArrived):
            self.simulated = self.instance.caller(event.database, event.key)
            self.callers.accept_session(event.session)
        if not isinstance(event, events.StatementArrived):
            return
        self.simulated.send(event.statement)
        self.arrived += 1
        if self.is_answering and not self.is_answer_due:
            self.is_answer_due = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self.answer, event.session)

    def answer(self, session: int) -> None:
        """Lets time pass until all is answered, and passes the answers on."""
        self.is_answer_due = False
        simulated = self.instance.state.sessions[self.simulated.session]
        while simulated.inbox or simulated.operation is not None:
            self.world.run(0.1)
        for answer in self.simulated.answers:
            self.callers.reply(session, answer)
        self.simulated.answers.clear()

    async def ask(self, data: bytes, until: bytes = b"READY") -> list[bytes]:
        """Sends bytes; returns the lines up to one that begins as told."""
        self.writer.write(data)
        found: list[bytes] = []
        async with asyncio.timeout(TIMEOUT_S):
            while not found or not found[-1].startswith(until):
                line = await self.reader.readline()
                self.assertTrue(line, f"the connection ended after {found}")
                found.append(line)
        return found

    async def log_in(self) -> None:
        """Opens the session, with a value and a prepared statement."""
        await self.ask(b"STARTUP db key\r\n")
        await self.ask(b"QUERY 1 SET x  1 \r\n")
        await self.ask(b"QUERY 2 PREPARE s READ q\r\n")


class PipelinedStatementTest(CallerTestCase):
    """A caller that sent many statements at once was disconnected."""

    async def test_many_statements_at_once_are_all_answered(self) -> None:
        await self.log_in()
        count = 300
        sent = [b"QUERY r%d READ 1\r\n" % number for number in range(count)]
        self.writer.write(b"".join(sent))
        for number in range(count):
            row, _, _ = await self.ask(b"")
            self.assertEqual(row, b"ROW row of r%d\r\n" % number)

    async def test_all_that_was_read_reaches_its_session(self) -> None:
        await self.log_in()
        self.arrived = 0
        self.is_answering = False
        for count in (41, 41):
            self.writer.write(b"QUERY 1 SET x 1\r\n" * count)
            await self.writer.drain()
            await asyncio.sleep(0.1)
        # What came later waits in the caller's buffers, not here.
        self.assertEqual(self.arrived, 41)
        self.answer(1)
        await asyncio.sleep(0.1)
        self.assertEqual(self.arrived, 82)

    async def test_a_login_before_statements_at_once(self) -> None:
        await self.ask(b"STARTUP db key\r\nQUERY 1 READ 1\r\n")
        row, _, _ = await self.ask(b"")
        self.assertEqual(row, b"ROW row of 1\r\n")


class RefusedMessageTest(CallerTestCase):
    """Callers were disconnected without an error for a wrong message."""

    async def test_each_is_refused_and_the_session_goes_on(self) -> None:
        await self.log_in()
        refused = (
            b"",
            b"HELLO",
            b"QUERY - READ 1",
            b"QUERY  READ 1",
            b"QUERY 3 READ",
            b"STARTUP db key",
            b"QUERY 3 WRITE 1 ".ljust(MAX_LINE_BYTES + 1, b"x"),
            b"QUERY 3 WRITE 1 ".ljust(3 * MAX_LINE_BYTES, b"x"),
        )
        for line in refused:
            with self.subTest(line[:20]):
                error, ready = await self.ask(line + b"\r\n")
                self.assertTrue(error.startswith(b"ERROR MALFORMED "), error)
                self.assertEqual(ready, b"READY I -\r\n")
        *rows, ready = await self.ask(b"QUERY 4 EXECUTE s 1\r\n")
        self.assertEqual(rows[0], b"ROW row of 4\r\n")
        session = self.instance.state.sessions[self.simulated.session]
        self.assertEqual(session.values, {"x": " 1 "})
        for server in self.world.servers.values():
            requests = [each[0] for each in server.statements_run]
            self.assertLessEqual(set(requests), {"4"})

    async def test_before_the_login_it_is_refused(self) -> None:
        (error,) = await self.ask(b"QUERY 1 READ 1\r\n", b"ERROR")
        self.assertTrue(error.startswith(b"ERROR MALFORMED "), error)
        self.assertEqual(await self.reader.read(), b"")

    async def test_nothing_behind_a_refused_login_is_handled(self) -> None:
        await self.ask(b"HELLO\r\nSTARTUP db key\r\n", b"ERROR")
        self.assertEqual(await self.reader.read(), b"")
        self.assertEqual(self.instance.callers, {})


class LongReadTest(unittest.TestCase):
    """A read of a megabyte left as a longer message, with its position."""

    def test_a_long_text(self) -> None:
        length = MAX_LINE_BYTES - len("QUERY 2 ")
        self.check_read("2", "READ 1 ".ljust(length, "x"))

    def test_a_long_request_id(self) -> None:
        self.check_read("2" * (MAX_LINE_BYTES - len("QUERY  READ 1")), "READ 1")

    def check_read(self, request: str, text: str) -> None:
        """Checks that the read's position is in the transaction around it."""
        world = test_direct_sessions.make_world()
        caller = world.instances["a"].caller("aged")
        caller.send(statements.Write("1", "WRITE 1 x"))
        world.run(0.3)
        # So that a replica runs the read.
        instance = world.instances["a"]
        instance.state.servers["p"].overloaded_until = world.now + 9.0
        sent: list[bytes] = []
        perform = world.perform

        def record(instance: direct_world.Instance, effect: Any) -> None:
            if isinstance(effect, effects.SendCommands):
                for command in effect.commands:
                    sent.append(lines.ServerLines().encode_command(command))
            perform(instance, effect)

        world.perform = record
        caller.send(statements.Read(request, text))
        world.run(1.0)
        self.assertEqual(caller.reasons(), [None, None])
        begin, read, end = sent
        self.assertRegex(begin, rb"^QUERY - AFTER \S+ BEGIN READ\r\n$")
        self.assertEqual(read, f"QUERY {request} {text}\r\n".encode())
        self.assertEqual(end, b"QUERY - ROLLBACK\r\n")


if __name__ == "__main__":
    unittest.main()
