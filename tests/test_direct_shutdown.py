"""Tests of the orderly shutdown of an instance under load."""

import asyncio
import socket
import unittest

from cuminwall.direct import callers, events, statements
from cuminwall.direct.answers import Reason
from tests import direct_world

# The platform asks once a second whether an instance is ready and sends it new
# callers until it has been refused twice.
SENT_CALLERS_S = 2.0


def make_world() -> direct_world.World:
    """Returns one instance with a primary and a replica."""
    servers = (direct_world.FakeServer("p"), direct_world.FakeServer("q"))
    servers[0].is_primary = True
    world = direct_world.World(("a", "b"), servers)
    world.run(3.0)
    return world


class LastCallersTest(unittest.TestCase):
    """Callers that arrive during a shutdown are served or refused."""

    def test_served_as_long_as_they_are_sent(self) -> None:
        world = make_world()
        instance = world.instances["a"]
        instance.handle_event(events.ShutdownRequested(world.now))
        world.run(SENT_CALLERS_S - 0.05)
        self.assertFalse(instance.state.is_exiting)
        caller = instance.caller("db")
        caller.send(statements.Write("x", "WRITE x 1"))
        world.run(0.15)
        self.assertEqual(caller.reasons(), [None])

    def test_refused_when_the_process_is_about_to_end(self) -> None:
        world = make_world()
        instance = world.instances["a"]
        instance.handle_event(events.ShutdownRequested(world.now))
        while not instance.state.is_exiting:
            world.run(0.01)
        caller = instance.caller("db")
        assert caller.refusal is not None
        self.assertIs(caller.refusal.reason, Reason.OVERLOADED)
        self.assertFalse(caller.is_open)


class LateStatementsTest(unittest.TestCase):
    """Every statement that arrives is answered before the process ends."""

    def setUp(self) -> None:
        self.world = make_world()
        config = direct_world.make_catalog(2)
        routes = {}
        for name, route in config.routes.items():
            routes[name] = route._replace(timeout_s=2.0)
        self.world.configure(config._replace(routes=routes))
        self.world.run(0.1)
        self.instance = self.world.instances["a"]

    def shut_down(self) -> None:
        event = events.ShutdownRequested(self.world.now)
        self.instance.handle_event(event)

    def run_to_end(self) -> None:
        """Runs until the process ends, a moment after it has decided to."""
        while not self.instance.state.is_exiting:
            self.world.run(0.01)
        self.world.run(0.1)

    def silence_servers(self) -> None:
        for server in self.world.servers.values():
            server.lose_answers = 1000

    # Statements that were passed on when there was no time left for an answer
    # were cut off at the end of the process.
    def test_callers_arrive_until_the_end(self) -> None:
        for server in self.world.servers.values():
            server.service_s = 0.2
        self.shut_down()
        callers: dict[str, direct_world.Caller] = {}
        while not self.instance.state.is_exiting:
            request = f"x{len(callers)}"
            caller = callers[request] = self.instance.caller("aged")
            if caller.is_open:
                caller.send(statements.Read(request, "READ 1"))
            self.world.run(0.03)
        self.world.run(0.1)
        ran = set()
        for server in self.world.servers.values():
            ran.update(request for request, _, _ in server.statements_run)
        outcomes = set()
        for request, caller in callers.items():
            if not caller.is_open:
                assert caller.refusal is not None
                self.assertIs(caller.refusal.reason, Reason.OVERLOADED)
                self.assertNotIn(request, ran)
                continue
            self.assertEqual(len(caller.answers), 1, request)
            outcomes.update(caller.reasons())
        self.assertLessEqual(outcomes, {None, Reason.OVERLOADED})
        self.assertIn(None, outcomes)

    def test_what_is_known_is_told_at_the_end(self) -> None:
        reader = self.instance.caller("aged")
        writer = self.instance.caller("db")
        owner = self.instance.caller("db")
        owner.send(statements.Begin("t0", "BEGIN", False))
        owner.send(statements.Write("t1", "WRITE 1 x"))
        self.world.run(0.3)
        self.silence_servers()
        reader.send(statements.Read("r", "READ 1"))
        writer.send(statements.Write("w", "WRITE 2 x"))
        owner.send(statements.Write("t2", "WRITE 3 x"))
        # So that only the end of the process ends them.
        for operation in self.instance.state.operations.values():
            operation.route = operation.route._replace(timeout_s=60.0)
        self.shut_down()
        self.run_to_end()
        self.assertEqual(reader.reasons(), [Reason.TIMED_OUT])
        self.assertEqual(writer.reasons(), [Reason.OUTCOME_UNKNOWN])
        self.assertEqual(owner.reasons(), [None, None, Reason.ROLLED_BACK])

    def test_statements_behind_one_that_runs_are_answered(self) -> None:
        caller = self.instance.caller("aged")
        for server in self.world.servers.values():
            server.service_s = 1.3
        for number in range(5):
            caller.send(statements.Read(f"x{number}", "READ 1"))
        self.shut_down()
        self.run_to_end()
        self.assertEqual(len(caller.answers), 5)
        self.assertIs(caller.reasons()[0], None)
        self.assertIs(caller.reasons()[-1], Reason.OVERLOADED)

    def test_open_transaction_goes_on_in_the_first_half(self) -> None:
        caller = self.instance.caller("db")
        caller.send(statements.Begin("t0", "BEGIN", False))
        caller.send(statements.Write("t1", "WRITE 1 x"))
        self.world.run(0.3)
        self.shut_down()
        self.world.run(1.45)
        caller.send(statements.Write("t2", "WRITE 2 x"))
        self.world.run(1.45)
        caller.send(statements.Commit("t3", "COMMIT"))
        self.run_to_end()
        self.assertEqual(caller.reasons(), [None] * 4)

    def test_late_commit_is_not_run_and_told_so(self) -> None:
        caller = self.instance.caller("db")
        caller.send(statements.Begin("t0", "BEGIN", False))
        caller.send(statements.Write("t1", "WRITE 1 x"))
        self.world.run(0.3)
        self.shut_down()
        self.world.run(1.5)
        caller.send(statements.Read("t2", "READ 1"))
        self.world.run(1.3)
        for server in self.world.servers.values():
            server.service_s = 1.3
        caller.send(statements.Read("t3", "READ 1"))
        caller.send(statements.Commit("t4", "COMMIT"))
        self.run_to_end()
        self.assertEqual(caller.reasons(), [None] * 4 + [Reason.ROLLED_BACK])
        for server in self.world.servers.values():
            committed = [request for _, request, _ in server.log]
            self.assertNotIn("t1", committed)

    def test_second_signal_changes_nothing(self) -> None:
        self.shut_down()
        self.world.run(1.0)
        self.shut_down()
        began_at = self.instance.state.shutdown_began_at
        self.run_to_end()
        self.assertLess(self.world.now - began_at, 3.0)

    def test_caller_that_waits_for_the_first_configuration(self) -> None:
        world = direct_world.World(("a",))
        instance = world.instances["a"]
        caller = instance.caller("db")
        instance.handle_event(events.ShutdownRequested(world.now))
        world.run(0.5)
        assert caller.refusal is not None
        self.assertIs(caller.refusal.reason, Reason.OVERLOADED)


SMALL_BUFFER = 4096  # Bytes.


class FakeCodec:
    """A codec of a caller that sends nothing."""

    def feed(self, data: bytes) -> list[object]:
        """Returns no messages."""
        del data
        return []

    def count_held(self) -> int:
        """Returns that nothing is held."""
        return 0


class AnswerBeingSentTest(unittest.IsolatedAsyncioTestCase):
    """A long answer to a slow caller when the process ends."""

    SIZE = 1024 * 1024

    async def asyncSetUp(self) -> None:
        self.callers = callers.Callers(
            FakeCodec, lambda event: None, lambda: 1.0
        )
        server = await self.callers.listen("127.0.0.1", 0)
        self.addCleanup(server.close)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, server.sockets[0].getsockname())
        self.reader, writer = await asyncio.open_connection(
            sock=client, limit=SMALL_BUFFER
        )
        self.addCleanup(writer.close)
        while not self.callers.sockets:
            await asyncio.sleep(0.01)
        self.caller = next(iter(self.callers.sockets.values()))
        sender = self.caller.transport.get_extra_info("socket")
        sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        self.caller.write(b"x" * self.SIZE)
        self.caller.close()

    # The rest of such an answer was cut off by the exit of the process.
    async def test_process_waits_for_it(self) -> None:
        self.assertGreater(self.caller.count_unsent(), 0)

        async def read_all() -> int:
            size = 0
            while data := await self.reader.read(65536):
                size += len(data)
            return size

        reading = asyncio.create_task(read_all())
        await self.callers.flush(10.0)
        self.assertEqual(self.caller.count_unsent(), 0)
        self.assertEqual(await reading, self.SIZE)

    async def test_it_does_not_wait_for_ever(self) -> None:
        async with asyncio.timeout(2.0):
            await self.callers.flush(0.2)
        self.assertGreater(self.caller.count_unsent(), 0)


if __name__ == "__main__":
    unittest.main()
