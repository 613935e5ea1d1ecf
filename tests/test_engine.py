"""Tests of the engine with rounds whose home is the same instance."""

import asyncio
import time
import unittest

from cuminwall import (
    backend,
    backend_errors,
    configuration,
    document,
    engine,
    events,
    messages,
    outcomes,
    ports,
    probes,
    reducer,
    serving,
    state,
    timings,
    wire,
    work,
    writeleases,
)
from tests import harness

SERVICE = "billing"
KEY = "clerk-1"
TIMEOUT_S = 10.0
TAIL = wire.command_complete("SELECT 1")


class FakeConnection:
    """A connection that loses its first rounds, then answers."""

    def __init__(self, losses: list[bool]):
        self.losses = losses
        self.tasks: list[asyncio.Task | None] = []

    async def run_steps(self, *_args, **_kwargs) -> backend.RoundAnswer:
        self.tasks.append(asyncio.current_task())
        await asyncio.sleep(0)
        if self.losses:
            raise backend_errors.BackendLostError("cut", self.losses.pop(0))
        return backend.RoundAnswer(b"I", TAIL, None, None, False)


class FakePool:
    """A pool that always returns the same connection."""

    def __init__(self, connection: FakeConnection):
        self.connection = connection
        self.acquired = 0

    async def acquire(self, _deadline: float) -> FakeConnection:
        self.acquired += 1
        return self.connection

    def release(self, _connection: FakeConnection) -> None:
        self.acquired -= 1


def make_state() -> state.State:
    """Returns the state of a single instance, home of one service."""
    value = document.empty()
    value["zones"] = {"sediu": {}}
    value["workspaces"] = {"clerks": {"rate": 100, "burst": 100}}
    value["keys"] = {KEY: {"workspace": "clerks", "verifier": "v"}}
    server = {"host": "127.0.0.1", "port": 5432, "zone": "sediu"}
    value["services"] = {
        SERVICE: {
            "servers": {"a": server, "b": server},
            "database": SERVICE,
            "user": "u",
            "connections_per_server": 20,
        }
    }
    now = time.monotonic()
    made = state.State("sediu-1", "sediu", timings.DEFAULTS, 1, now)
    config = configuration.parse(value, 1)
    reducer.reduce(made, events.ConfigLoaded(now, config))
    made.fresh_until = now + 1000
    record = ports.InstanceRecord("sediu-1", "sediu", "127.0.0.1", 1, False)
    reducer.reduce(made, events.InstancesListed(now, (record,)))
    entry = messages.TermEntry(1, "a", 1, 0)
    writeleases.apply_record(
        made, messages.GroupRecord(SERVICE, True, (entry,)), []
    )
    made.groups[SERVICE].lease_term = 1
    made.groups[SERVICE].lease_until = now + 1000
    harness.grant_shares(made)
    return made


class LocalRoundTest(unittest.IsolatedAsyncioTestCase):
    """A round whose home is this instance."""

    async def asyncSetUp(self):
        self.connection = FakeConnection([])
        self.pool = FakePool(self.connection)
        self.state = make_state()
        servers = serving.Servers(timings.DEFAULTS, {})
        self.engine = engine.Engine(self.state, None, servers)
        self.engine.servers.watch = lambda *_: None
        for name in ("a", "b"):
            self.engine.executor.pools[(SERVICE, name)] = self.pool
            self.probe(name)
        login = work.Login(SERVICE, KEY, "clerks", "", "")
        admitted = self.engine.open_session(login)
        self.session = admitted.session
        self.state.sessions[self.session].floor = work.Position(1, 1000)
        self.received = b""

    def probe(self, name: str) -> None:
        """Feeds an answered probe."""
        now = time.monotonic()
        answer = probes.ProbeAnswer(name != "a", 1000, 1)
        self.engine.feed(events.ServerProbed(now, SERVICE, name, now, answer))

    async def sink(self, data: bytes) -> None:
        """Collects the answer."""
        self.received += data

    async def run_read(self) -> work.RoundEnd:
        """Runs a read."""
        steps = (work.Step(wire.query("SELECT 1")),)
        round_ = work.Round(work.Access.READ, steps)
        return await self.engine.run(self.session, round_, self.sink)

    def assert_nothing_left(self) -> None:
        """Asserts that no round, job or connection is left."""
        executor = self.engine.executor
        left = (self.engine.rounds, executor.running, executor.active)
        self.assertEqual(left, ({}, {}, {}))
        self.assertEqual((self.state.jobs, self.state.pending_rounds), ({}, {}))
        self.assertEqual(self.pool.acquired, 0)

    async def test_it_runs_in_the_callers_own_task(self):
        end = await self.run_read()
        self.assertEqual((end.status, end.failure), (b"I", None))
        self.assertEqual(self.received, TAIL)
        self.assertEqual(self.connection.tasks, [asyncio.current_task()])
        self.assert_nothing_left()

    async def test_a_read_that_was_lost_is_run_again(self):
        self.connection.losses = [True]
        running = asyncio.create_task(self.run_read())
        async with asyncio.timeout(TIMEOUT_S):
            while not running.done():
                # The lost round is parked until a probe is answered.
                await asyncio.sleep(0)
                self.probe("b")
            end = await running
        self.assertEqual((end.failure, self.received), (None, TAIL))
        self.assertEqual(len(self.connection.tasks), 2)
        self.assertNotIn(asyncio.current_task(), self.connection.tasks)
        self.assert_nothing_left()

    async def test_a_read_that_is_lost_every_time_fails_once(self):
        self.connection.losses = [True] * 9
        running = asyncio.create_task(self.run_read())
        async with asyncio.timeout(TIMEOUT_S):
            while not running.done():
                await asyncio.sleep(0)
                self.probe("b")
            end = await running
        self.assertIs(end.failure, outcomes.READ_ANSWER_LOST)
        self.assertEqual(self.received, b"")
        self.assert_nothing_left()

    async def test_rounds_of_several_callers_do_not_mix(self):
        login = work.Login(SERVICE, KEY, "clerks", "", "")
        ends = await asyncio.gather(
            self.run_read(), self.run_read(), self.run_read()
        )
        self.assertEqual([end.failure for end in ends], [None] * 3)
        self.assertEqual(len(set(self.connection.tasks)), 3)
        self.assertIsInstance(self.engine.open_session(login), work.Admitted)
        self.assert_nothing_left()


if __name__ == "__main__":
    unittest.main()
