"""Tests of the pool of connections to one backend server."""

import asyncio
import unittest

import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall import backend, backend_errors, outcomes, pool, wire, work
from tests import fake_server

LIMITS = pool.Limits(
    spare=0, open_timeout_s=fake_server.GUARD_S, ping_after_s=3600.0
)


class PoolTestCase(fake_server.ServerTestCase):
    """Makes a pool, and closes it."""

    def make_pool(self, permits, **limits):
        self.pool = pool.Pool(self.target, permits, LIMITS._replace(**limits))

    async def asyncTearDown(self):  # noqa: N802
        await self.pool.close(self.deadline_in(0))
        await super().asyncTearDown()

    async def acquire(self, within_s=fake_server.GUARD_S):
        return await self.pool.acquire(self.deadline_in(within_s))

    async def run_query(self, connection, sql):
        async def sink(data):
            raise AssertionError("a small answer is withheld")

        steps = (work.Step(wire.query(sql)),)
        return await connection.run_steps(
            steps, (), (), sink, fake_server.GUARD_S
        )

    def silence(self, *numbers):
        """Has the sessions of these numbers swallow every message."""

        async def take(session, message):
            return session.number in numbers

        self.server.hook = take


class AcquireTest(PoolTestCase):
    """Who gets a connection, and when."""

    async def test_idle_connection_is_used_again(self):
        self.make_pool(3)
        first = await self.acquire()
        self.pool.release(first)
        self.assertIs(await self.acquire(), first)
        self.assertEqual(self.server.opened, 1)

    async def test_spare_connections_are_opened_in_advance(self):
        self.make_pool(3, spare=2)
        self.pool.start()
        await self.until(lambda: len(self.pool.idle) == 2)
        await self.acquire()
        await self.until(lambda: len(self.pool.idle) == 2)
        await self.acquire()
        self.assertEqual(self.pool.total, 3)

    async def test_waiters_are_served_in_order(self):
        self.make_pool(1)
        held = await self.acquire()
        order = []

        async def wait(number):
            connection = await self.acquire()
            order.append(number)
            self.pool.release(connection)

        tasks = []
        for number in range(3):
            tasks.append(asyncio.create_task(wait(number)))
            await self.until(lambda: len(self.pool.waiters) == len(tasks))
        self.pool.release(held)
        await asyncio.gather(*tasks)
        self.assertEqual(order, [0, 1, 2])
        self.assertEqual(self.server.peak, 1)

    async def test_wait_ends_at_the_deadline(self):
        self.make_pool(1)
        held = await self.acquire()
        self.assertIs(await self.acquire(0.05), outcomes.QUEUE_TIMEOUT)
        self.pool.release(held)
        self.assertIs(await self.acquire(), held)

    async def test_queue_is_bounded(self):
        self.make_pool(1, max_waiters=0)
        await self.acquire()
        self.assertIs(await self.acquire(), outcomes.QUEUE_FULL)

    async def test_canceled_wait_loses_no_connection(self):
        self.make_pool(1)
        held = await self.acquire()
        task = asyncio.create_task(self.acquire())
        await self.until(lambda: self.pool.waiters)
        # The connection comes, and the wait is canceled before it sees it.
        self.pool.release(held)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(self.pool.idle, [held])

    async def test_open_transaction_is_not_passed_on(self):
        self.make_pool(1)
        first = await self.acquire()
        await self.run_query(first, "begin")
        self.pool.release(first)
        second = await self.acquire()
        self.assertIsNot(second, first)
        self.assertEqual(second.status, b"I")


class PermitTest(PoolTestCase):
    """The share of the server's connections."""

    async def test_fewer_permits_close_idle_connections_only(self):
        self.make_pool(3)
        held = [await self.acquire() for _ in range(3)]
        self.pool.release(held[0])
        self.pool.set_permits(1)
        await self.until(lambda: self.pool.total == 2)
        self.assertTrue(held[0].channel.closed.is_set())
        answer = await self.run_query(held[1], "update 1")
        self.assertEqual(answer.status, b"I")
        self.pool.release(held[1])
        await self.until(lambda: self.pool.total == 1)
        self.assertIs(held[2].channel.broken, None)

    async def test_more_permits_serve_waiters(self):
        self.make_pool(0)
        task = asyncio.create_task(self.acquire())
        await self.until(lambda: self.pool.waiters)
        self.pool.set_permits(1)
        self.assertIsInstance(await task, backend.BackendConnection)

    async def test_closing_connection_counts_until_the_server_closes_it(self):
        self.make_pool(1)
        first = await self.acquire()
        await self.run_query(first, "begin")
        let_go = asyncio.Event()

        async def slow(session, message):
            if message.tag == b"X":
                await let_go.wait()
            return False

        self.server.hook = slow
        self.pool.release(first)
        task = asyncio.create_task(self.acquire())
        await self.until(
            lambda: self.server.sessions[0].received[-1].tag == b"X"
        )
        self.assertEqual(self.server.opened, 1)
        self.assertEqual(self.pool.status().closing, 1)
        let_go.set()
        await task
        self.assertEqual(self.server.peak, 1)


class PermitBoundTest(unittest.TestCase):
    """The bound under any order of events."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=40)
    @given(
        actions=st.lists(
            st.tuples(
                st.sampled_from(("get", "give", "break", "permits", "turn")),
                st.integers(0, 5),
            ),
            max_size=40,
        )
    )
    def test_never_more_than_the_permits(self, actions):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self.drive(actions))

    async def drive(self, actions):
        """Checks both counts against the most permits there were."""
        server = fake_server.FakeServer()
        port = await server.start()
        loop = asyncio.get_running_loop()
        target = fake_server.make_target(port)
        subject = pool.Pool(target, 3, LIMITS._replace(spare=1))
        subject.start()
        tasks, held = [], []
        most, broke = 3, False
        for action, number in actions:
            if action == "get":
                tasks.append(
                    loop.create_task(
                        subject.acquire(loop.time() + fake_server.GUARD_S)
                    )
                )
            elif action == "permits":
                most = max(most, number)
                subject.set_permits(number)
            elif action == "turn":
                await asyncio.sleep(0.001 * number)
            elif held:
                connection = held.pop(number % len(held))
                if action == "break":
                    # The server notices a cut socket later than the pool.
                    broke = True
                    connection.abort()
                subject.release(connection)
            for task in [task for task in tasks if task.done()]:
                tasks.remove(task)
                held.append(task.result())
            self.assertLessEqual(subject.total, most)
            if not broke:
                self.assertLessEqual(server.peak, most)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await subject.close(loop.time())
        self.assertEqual(subject.total, 0)
        await server.stop()


class DeadConnectionTest(PoolTestCase):
    """Connections that went silent, and servers that are gone."""

    async def test_dead_connection_is_replaced_without_an_error(self):
        self.make_pool(2, ping_after_s=-1.0, ping_timeout_s=0.05)
        first = await self.acquire()
        self.pool.release(first)
        self.silence(1)
        second = await self.acquire()
        self.assertIsNot(second, first)
        answer = await self.run_query(second, "update 1")
        self.assertIsNone(answer.server_error)
        facts = self.pool.status()
        self.assertEqual((facts.silent, facts.failures), (1, 0))
        await self.until(lambda: first.channel.closed.is_set())

    async def test_many_dead_connections_delay_a_request_once(self):
        self.make_pool(4, ping_after_s=-1.0, ping_timeout_s=0.05)
        held = [await self.acquire() for _ in range(4)]
        for connection in held:
            self.pool.release(connection)
        self.silence(1, 2, 3, 4)
        pings = []
        original = self.pool.check_connection

        async def counted(connection):
            pings.append(asyncio.current_task())
            return await original(connection)

        self.pool.check_connection = counted
        fresh = await self.acquire()
        self.assertNotIn(fresh, held)
        own = [task for task in pings if task is asyncio.current_task()]
        self.assertEqual(len(own), 1)

    async def test_idle_connections_are_checked_in_the_background(self):
        self.make_pool(1, spare=1, ping_after_s=0.02, ping_timeout_s=0.05)
        self.pool.start()
        await self.until(lambda: self.pool.idle)
        first = self.pool.idle[0]
        self.silence(1)
        await self.until(lambda: self.pool.status().silent == 1)
        await self.until(lambda: self.pool.idle)
        self.assertIsNot(self.pool.idle[0], first)

    async def test_unreachable_server(self):
        await self.server.stop()
        self.make_pool(2)
        self.assertIs(await self.acquire(), outcomes.NO_SERVER)
        self.assertIs(await self.acquire(), outcomes.NO_SERVER)
        facts = self.pool.status()
        self.assertEqual(facts.failures, 2)
        self.assertIsInstance(
            facts.last_failure, backend_errors.BackendLostError
        )
        self.assertEqual(self.pool.total, 0)

    async def test_failures_are_reset_after_a_success(self):
        self.server.login_method = "refuse"
        self.make_pool(2)
        self.assertIs(await self.acquire(), outcomes.NO_SERVER)
        self.assertIsInstance(
            self.pool.last_failure, backend_errors.LoginRefusedError
        )
        self.server.login_method = "trust"
        await self.acquire()
        self.assertEqual(self.pool.status().failures, 0)

    async def test_connection_lost_while_idle_leaves_the_pool(self):
        self.make_pool(1)
        first = await self.acquire()
        self.pool.release(first)
        self.server.sessions[0].writer.close()
        await self.until(lambda: not self.pool.idle)
        self.assertIsNot(await self.acquire(), first)


class CloseTest(PoolTestCase):
    """A pool that ends."""

    async def test_busy_connection_is_waited_for(self):
        self.make_pool(2)
        held = await self.acquire()
        self.pool.release(await self.acquire())
        task = asyncio.create_task(self.pool.close(self.deadline_in()))
        await self.until(lambda: self.pool.total == 1)
        answer = await self.run_query(held, "update 1")
        self.assertEqual(answer.status, b"I")
        self.assertIs(await self.acquire(), outcomes.SHUTTING_DOWN)
        self.pool.release(held)
        await task
        self.assertEqual(self.pool.total, 0)


if __name__ == "__main__":
    unittest.main()
