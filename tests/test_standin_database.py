"""Tests of the stand-in database group, with ordinary client libraries."""

import asyncio
import json
import logging
import os
import signal
import struct
import sys
import unittest
from collections.abc import Callable
from typing import Any

import aiohttp
import asyncpg
import pg8000.native
import psycopg
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from cuminwall import wire
from cuminwall_standins import (
    database,
    engine,
    errors,
    executor,
    extended,
    functions,
    members,
    rewriting,
    sql,
    timelines,
    transactions,
)

GUARD_S = 20.0
POLL_S = 0.01
NEVER_S = 3600.0
PROBE = (
    "SELECT pg_is_in_recovery(), CASE WHEN pg_is_in_recovery()"
    " THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END,"
    " CASE WHEN pg_is_in_recovery() THEN"
    " (SELECT received_tli FROM pg_stat_wal_receiver)"
    " ELSE pg_walfile_name(pg_current_wal_lsn()) END"
)


def setUpModule():  # noqa: N802
    logger.disable("cuminwall_standins")
    logging.getLogger("psycopg").setLevel(logging.CRITICAL)


def tearDownModule():  # noqa: N802
    logger.enable("cuminwall_standins")
    logging.getLogger("psycopg").setLevel(logging.NOTSET)


async def wait_until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(GUARD_S):
        while not condition():
            await asyncio.sleep(POLL_S)


class GroupCase(unittest.IsolatedAsyncioTestCase):
    """Servers that end with the test; the first one is the primary."""

    async def asyncSetUp(self):
        loop = asyncio.get_running_loop()
        guard = loop.call_later(GUARD_S, self.expire)
        self.addCleanup(guard.cancel)

    def expire(self) -> None:
        """Ends a test that waits for something that never comes."""
        for task in asyncio.all_tasks():
            task.cancel()

    async def start(self, count: int = 1, **options) -> None:
        self.servers: list[database.DatabaseServer] = []
        options = {"connect_delay_s": 0.0, "demote_delay_s": 0.0} | options
        for index in range(count):
            server = database.DatabaseServer(
                database.Options(primary=index == 0, **options)
            )
            await server.start()
            self.addAsyncCleanup(server.stop, True)
            self.servers.append(server)
        for server in self.servers:
            server.set_members([x.replication_address for x in self.servers])

    async def connect(self, index: int = 0, **options) -> Any:
        connection = await psycopg.AsyncConnection.connect(
            host="127.0.0.1",
            port=self.servers[index].port,
            dbname="test",
            **{"user": "cuminwall", "password": "cuminwall"} | options,
        )
        await connection.set_autocommit(True)
        self.addAsyncCleanup(connection.close)
        return connection

    async def run_sql(self, text: str, index: int = 0) -> list[tuple]:
        connection = await self.connect(index)
        async with connection, asyncio.timeout(GUARD_S):
            cursor = await connection.execute(text)
            return await cursor.fetchall() if cursor.description else []

    async def caught_up(self, index: int, leader: int = 0) -> None:
        data = self.servers[index].data
        await wait_until(
            lambda: (
                data.is_streaming
                and data.lsn == self.servers[leader].data.lsn
                and data.history == self.servers[leader].data.history
            )
        )


class ProtocolTest(GroupCase):
    """The protocol, as three client libraries use it."""

    async def test_psycopg(self):
        await self.start()
        connection = await self.connect()
        await connection.execute(
            "CREATE TABLE t (id bigserial PRIMARY KEY, name text NOT NULL,"
            " paid boolean, amount float8, raw bytea,"
            " at timestamptz DEFAULT now())"
        )
        for name, paid in (("é", True), ("b", None)):
            cursor = await connection.execute(
                "INSERT INTO t (name, paid, amount, raw)"
                " VALUES (%s, %s, %s, %s) RETURNING id",
                (name, paid, 1.5, b"\0x"),
            )
            self.assertEqual(cursor.statusmessage, "INSERT 0 1")
        connection.prepare_threshold = 1
        for _ in range(4):
            cursor = await connection.execute(
                "SELECT id, name, paid, amount, raw FROM t WHERE id < %s", (9,)
            )
        rows = await cursor.fetchall()
        expected = [(1, "é", True, 1.5, b"\0x"), (2, "b", None, 1.5, b"\0x")]
        self.assertEqual(rows, expected)
        binary = connection.cursor(binary=True)
        await binary.execute("SELECT id, name, paid, amount, raw FROM t")
        self.assertEqual(await binary.fetchall(), expected)
        with self.assertRaises(psycopg.errors.NotNullViolation):
            await connection.execute("INSERT INTO t (name) VALUES (NULL)")
        with self.assertRaises(psycopg.errors.UndefinedTable):
            await connection.execute("SELECT * FROM nowhere")
        with self.assertRaises(psycopg.errors.SyntaxError):
            await connection.execute("SELEC 1")

    async def test_asyncpg(self):
        await self.start()
        connection = await asyncpg.connect(
            host="127.0.0.1",
            port=self.servers[0].port,
            user="cuminwall",
            password="cuminwall",
            database="test",
        )
        await connection.execute("CREATE TABLE t (id int PRIMARY KEY, n text)")
        rows = [(1, "a"), (2, None), (3, "c")]
        await connection.executemany("INSERT INTO t VALUES ($1, $2)", rows)
        statement = await connection.prepare(
            "SELECT n, id + $1 AS more, n IS NULL AS missing FROM t"
            " WHERE id IN ($2, 3) ORDER BY id LIMIT $3"
        )
        found = [tuple(x) for x in await statement.fetch(10, 2, 9)]
        self.assertEqual(found, [(None, 12, True), ("c", 13, False)])
        async with connection.transaction():
            ids = []
            async for row in connection.cursor(
                "SELECT id FROM t ORDER BY id", prefetch=2
            ):
                ids.append(row["id"])
        self.assertEqual(ids, [1, 2, 3])
        with self.assertRaises(asyncpg.UniqueViolationError):
            await connection.execute("INSERT INTO t VALUES ($1, $2)", 1, "x")
        with self.assertRaises(asyncpg.ReadOnlySQLTransactionError):
            async with connection.transaction(readonly=True):
                await connection.execute("DELETE FROM t")
        await connection.reset()
        self.assertEqual(await connection.fetchval("SELECT count(*) FROM t"), 3)
        await connection.close()

    async def test_pg8000(self):
        await self.start()

        def use_in_thread() -> list:
            connection = pg8000.native.Connection(
                "cuminwall",
                password="cuminwall",
                host="127.0.0.1",
                port=self.servers[0].port,
            )
            connection.run("CREATE TABLE t (id int, name text, paid boolean)")
            connection.run(
                "INSERT INTO t VALUES (:i, :n, :p)", i=1, n="a", p=True
            )
            connection.run("START TRANSACTION")
            connection.run("DELETE FROM t")
            connection.run("ROLLBACK")
            prepared = connection.prepare("SELECT * FROM t WHERE id = :i")
            rows = [prepared.run(i=1), prepared.run(i=2)]
            connection.close()
            return rows

        rows = await asyncio.to_thread(use_in_thread)
        self.assertEqual(rows, [[[1, "a", True]], []])

    async def test_failed_transaction(self):
        await self.start()
        await self.run_sql("CREATE TABLE t (id int)")
        connection = await self.connect()
        await connection.execute("BEGIN")
        await connection.execute("INSERT INTO t VALUES (1)")
        await connection.execute("SAVEPOINT a")
        with self.assertRaises(psycopg.errors.UndefinedTable):
            await connection.execute("INSERT INTO nowhere VALUES (1)")
        status = psycopg.pq.TransactionStatus
        self.assertEqual(connection.info.transaction_status, status.INERROR)
        with self.assertRaises(psycopg.errors.InFailedSqlTransaction):
            await connection.execute("SELECT 1")
        await connection.execute("ROLLBACK TO a")
        self.assertEqual(connection.info.transaction_status, status.INTRANS)
        await connection.execute("INSERT INTO t VALUES (2)")
        await connection.execute("ROLLBACK TO a")
        await connection.execute("COMMIT")
        self.assertEqual(connection.info.transaction_status, status.IDLE)
        self.assertEqual(await self.run_sql("SELECT id FROM t"), [(1,)])

    async def test_simple_query_is_one_transaction(self):
        await self.start()
        await self.run_sql("CREATE TABLE t (id int PRIMARY KEY)")
        connection = await self.connect()
        with self.assertRaises(psycopg.errors.UniqueViolation):
            await connection.execute(
                "INSERT INTO t VALUES (1); INSERT INTO t VALUES (1)"
            )
        self.assertEqual(await self.run_sql("SELECT * FROM t"), [])
        cursor = await connection.execute("")
        self.assertIsNone(cursor.description)

    async def test_error_skips_to_sync(self):
        await self.start()
        await self.run_sql("CREATE TABLE t (id int PRIMARY KEY)")
        connection = await self.connect()
        with self.assertRaises(psycopg.errors.UndefinedTable):
            async with connection.pipeline():
                await connection.execute("INSERT INTO t VALUES (1)")
                await connection.execute("INSERT INTO nowhere VALUES (1)")
                await connection.execute("INSERT INTO t VALUES (2)")
        self.assertEqual(await self.run_sql("SELECT * FROM t"), [])

    async def test_settings(self):
        await self.start()
        connection = await self.connect(application_name="first")
        await connection.execute("SET application_name = 'second'")
        await connection.execute("BEGIN; SET LOCAL search_path = 'x'; COMMIT")
        await connection.execute("BEGIN; SET timezone = 'EET'; ROLLBACK")
        for name, value in (
            ("application_name", "second"),
            ("search_path", '"$user", public'),
            ("timezone", "UTC"),
        ):
            cursor = await connection.execute(f"SHOW {name}")
            self.assertEqual(await cursor.fetchone(), (value,))
        await connection.execute("DISCARD ALL")
        cursor = await connection.execute("SHOW application_name")
        self.assertEqual(await cursor.fetchone(), ("first",))

    async def test_refused_connections(self):
        await self.start(max_connections=1)
        for options in ({"password": "wrong"}, {"user": "other"}):
            with self.assertRaisesRegex(psycopg.OperationalError, "password"):
                await self.connect(**options)
        await wait_until(lambda: not self.servers[0].sessions)
        first = await self.connect()
        with self.assertRaisesRegex(psycopg.OperationalError, "too many"):
            await self.connect()
        await first.close()
        await wait_until(lambda: not self.servers[0].sessions)
        await self.connect()

    async def test_cancel_request(self):
        await self.start()
        connection = await self.connect()
        sleeping = asyncio.create_task(
            connection.execute("SELECT pg_sleep(%s)", (NEVER_S,))
        )
        (session,) = self.servers[0].sessions.values()
        await wait_until(lambda: session.executor.waiting)
        await connection.cancel_safe(timeout=GUARD_S)
        with self.assertRaises(psycopg.errors.QueryCanceled):
            await sleeping
        cursor = await connection.execute("SELECT 1")
        self.assertEqual(await cursor.fetchone(), (1,))


class PortalTest(unittest.IsolatedAsyncioTestCase):
    """Execute with a limit on the rows."""

    async def test_suspended_portal(self):
        runner = executor.Executor(engine.Engine(True), 1, "test", {})
        portals = extended.Extended(runner)
        text = "VALUES (1), (2), (3)"
        execute = wire.cstring("") + struct.pack("!i", 2)
        tags = []
        for tag, payload in (
            (b"P", wire.cstring("") + wire.cstring(text) + b"\0\0"),
            (b"B", wire.cstring("") * 2 + b"\0" * 6),
            (b"E", execute),
            (b"E", execute),
        ):
            message = wire.Message(tag, payload)
            async for part in portals.handle(message):
                tags.append(part[:1])
        self.assertEqual(b"".join(tags), b"12DDsDC")


class IsolationTest(GroupCase):
    """What sessions see of each other's transactions."""

    async def test_uncommitted_rows_are_not_seen(self):
        await self.start()
        await self.run_sql("CREATE TABLE t (id int)")
        writer = await self.connect()
        await writer.execute("BEGIN; INSERT INTO t VALUES (1)")
        cursor = await writer.execute("SELECT count(*) FROM t")
        self.assertEqual(await cursor.fetchone(), (1,))
        self.assertEqual(await self.run_sql("SELECT * FROM t"), [])
        await writer.execute("COMMIT")
        self.assertEqual(await self.run_sql("SELECT * FROM t"), [(1,)])

    async def test_second_writer_waits(self):
        await self.start()
        await self.run_sql("CREATE TABLE t (n int); INSERT INTO t VALUES (0)")
        first, second = await self.connect(), await self.connect()
        await first.execute("BEGIN; SELECT n FROM t FOR UPDATE")
        waiting = asyncio.create_task(second.execute("UPDATE t SET n = n + 1"))
        _, session = self.servers[0].sessions.values()
        await wait_until(lambda: session.executor.waiting)
        await first.execute("UPDATE t SET n = n + 1; COMMIT")
        await waiting
        self.assertEqual(await self.run_sql("SELECT n FROM t"), [(2,)])

    async def test_lost_client_gives_up_the_lock(self):
        await self.start()
        await self.run_sql("CREATE TABLE t (n int)")
        lost = await self.connect()
        await lost.execute("BEGIN; INSERT INTO t VALUES (1)")
        await lost.close()
        await self.run_sql("INSERT INTO t VALUES (2)")
        self.assertEqual(await self.run_sql("SELECT n FROM t"), [(2,)])


class ReplicationTest(GroupCase):
    """The log on its way to a replica."""

    async def test_delay_and_positions(self):
        await self.start(2)
        await self.run_sql(
            "CREATE TABLE t (id int, at timestamptz DEFAULT now())"
        )
        await self.caught_up(1)
        self.servers[1].lag(NEVER_S)
        await self.run_sql("INSERT INTO t (id) VALUES (1)")
        primary, replica = (x.data for x in self.servers)
        await wait_until(lambda: replica.received_lsn == primary.lsn)
        self.assertEqual(await self.run_sql("SELECT id FROM t", 1), [])
        ((is_replica, behind, timeline),) = await self.run_sql(PROBE, 1)
        ((is_other, ahead, walfile),) = await self.run_sql(PROBE)
        self.assertEqual((is_replica, is_other, timeline), (True, False, "1"))
        self.assertEqual(walfile[:8], "00000001")
        self.assertEqual(len(walfile), 24)
        self.assertNotEqual(behind, ahead)
        self.servers[1].lag(0.0)
        await self.caught_up(1)
        rows = await self.run_sql("SELECT * FROM t", 1)
        self.assertEqual(rows, await self.run_sql("SELECT * FROM t"))
        ((_, position, _),) = await self.run_sql(PROBE, 1)
        self.assertEqual(position, ahead)

    async def test_replica_refuses_writes(self):
        await self.start(2)
        await self.run_sql("CREATE TABLE t (id int)")
        await self.caught_up(1)
        for text in ("INSERT INTO t VALUES (1)", "SELECT * FROM t FOR UPDATE"):
            with self.assertRaises(psycopg.errors.ReadOnlySqlTransaction):
                await self.run_sql(text, 1)
        for function in ("pg_current_wal_lsn()", "pg_walfile_name('0/1')"):
            with self.assertRaises(psycopg.errors.ObjectNotInPrerequisiteState):
                await self.run_sql(f"SELECT {function}", 1)

    async def test_volatile_write_is_refused(self):
        await self.start()
        await self.run_sql("CREATE TABLE t (n float8)")
        with self.assertRaises(psycopg.errors.FeatureNotSupported):
            await self.run_sql("INSERT INTO t VALUES (random())")


class PromotionTest(GroupCase):
    """Promotions, and what becomes of the old primary."""

    async def test_returned_primary_is_truncated(self):
        await self.start(3)
        await self.run_sql("CREATE TABLE t (id int)")
        await self.run_sql("INSERT INTO t VALUES (1)")
        await self.caught_up(1)
        await self.caught_up(2)
        old, new, _ = self.servers
        others = [x.replication_address for x in self.servers[1:]]
        old.cut_members(others)
        await self.run_sql("INSERT INTO t VALUES (2)")
        fork_lsn = new.data.lsn
        self.assertEqual(
            await self.run_sql("SELECT pg_promote()", 1), [(True,)]
        )
        await self.run_sql("INSERT INTO t VALUES (3)", 1)
        replayed = await self.run_sql("SELECT pg_last_wal_replay_lsn()", 1)
        at_fork = functions.format_lsn(new.data.history[-1].start_lsn)
        self.assertEqual(replayed, [(at_fork,)])
        await self.caught_up(2, leader=1)
        ((_, _, walfile),) = await self.run_sql(PROBE, 1)
        self.assertEqual(walfile[:8], "00000002")
        self.assertEqual(await self.run_sql("SELECT id FROM t"), [(1,), (2,)])
        client = await self.connect()
        old.mend()
        await self.caught_up(0, leader=1)
        self.assertEqual(new.data.history[-1].start_lsn, fork_lsn)
        for index in range(3):
            rows = await self.run_sql("SELECT id FROM t", index)
            self.assertEqual(rows, [(1,), (3,)])
        with self.assertRaises(psycopg.OperationalError):
            await client.execute("SELECT 1")
        with self.assertRaises(psycopg.errors.ReadOnlySqlTransaction):
            await self.run_sql("INSERT INTO t VALUES (4)")

    async def test_an_error_is_sent_before_the_sync(self):
        await self.start()
        connection = await asyncpg.connect(
            host="127.0.0.1",
            port=self.servers[0].port,
            user="cuminwall",
            password="cuminwall",
            database="test",
        )
        self.addAsyncCleanup(connection.close)
        with self.assertRaises(asyncpg.UndefinedTableError):
            await connection.prepare("SELECT * FROM nowhere")

    async def test_statements_that_name_a_table_are_counted(self):
        await self.start()
        await self.run_sql("CREATE TABLE t (id int)")
        await self.run_sql("SELECT id FROM t")
        data = self.servers[0].data
        self.assertEqual(data.table_statements, 2)
        await self.run_sql(PROBE)
        await self.run_sql("SELECT received_tli FROM pg_stat_wal_receiver")
        self.assertEqual(data.table_statements, 2)

    async def test_two_promotions_and_a_restart(self):
        await self.start(3)
        await self.run_sql("CREATE TABLE t (id int)")
        await self.caught_up(1)
        await self.caught_up(2)
        await self.servers[0].stop(abort=True)
        await self.run_sql("SELECT pg_promote()", 1)
        await self.run_sql("INSERT INTO t VALUES (1)", 1)
        await self.caught_up(2, leader=1)
        await self.servers[1].stop(abort=True)
        await self.run_sql("SELECT pg_promote()", 2)
        self.assertEqual(self.servers[2].data.timeline, 3)
        for index in (0, 1):
            await self.servers[index].start()
            await self.caught_up(index, leader=2)
            rows = await self.run_sql("SELECT id FROM t", index)
            self.assertEqual(rows, [(1,)])

    async def test_promotion_drops_what_is_not_replayed(self):
        await self.start(2)
        await self.run_sql("CREATE TABLE t (id int)")
        await self.caught_up(1)
        self.servers[1].lag(NEVER_S)
        await self.run_sql("INSERT INTO t VALUES (1)")
        replica = self.servers[1].data
        await wait_until(lambda: replica.received_lsn > replica.lsn)
        await self.run_sql("SELECT pg_promote()", 1)
        await self.caught_up(0, leader=1)
        self.assertEqual(await self.run_sql("SELECT id FROM t"), [])
        with self.assertRaises(psycopg.errors.ObjectNotInPrerequisiteState):
            await self.run_sql("SELECT pg_promote()", 1)

    async def test_stale_primary_goes_on_for_a_while(self):
        await self.start(2, demote_delay_s=NEVER_S)
        await self.run_sql("CREATE TABLE t (id int)")
        await self.caught_up(1)
        await self.run_sql("SELECT pg_promote()", 1)
        old = self.servers[0]
        await wait_until(lambda: old.data.highest_timeline == 2)
        await self.run_sql("INSERT INTO t VALUES (1)")
        self.assertEqual(old.data.timeline, 1)


class UvloopPromotionTest(PromotionTest):
    """The same on uvloop, which treats closed connections differently."""

    @classmethod
    def setUpClass(cls):
        # Read when the loop is made; the product may use no io_uring.
        os.environ["UV_USE_IO_URING"] = "0"
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls):
        asyncio.set_event_loop_policy(None)


class LogTest(unittest.IsolatedAsyncioTestCase):
    """The log replayed elsewhere, against a naive copy of the table."""

    steps = st.lists(
        st.tuples(
            st.sampled_from(("put", "fail", "save", "undo", "end", "drop")),
            st.integers(0, 5),
        ),
        max_size=25,
    )

    @given(steps)
    @settings(derandomize=True, deadline=None, database=None)
    def test_log_holds_what_was_committed(self, steps):
        data = engine.Engine(is_primary=True)
        expected = asyncio.run(self.apply(data, steps))
        replica = engine.Engine(is_primary=False)
        for record in data.records:
            replica.append(record)
        replica.promote()
        self.assertEqual(replica.lsn, data.lsn)
        for connection in (data.committed, replica.committed, replica.writer):
            self.assertEqual(
                dict(connection.execute("SELECT * FROM t")), expected
            )

    async def apply(self, data: engine.Engine, steps: list) -> dict[int, int]:
        """Runs the steps; returns the naive copy of what was committed."""
        (create,) = sql.parse("CREATE TABLE t (k int PRIMARY KEY, v int)")
        (put,) = sql.parse(
            "INSERT INTO t VALUES ($1, $2)"
            " ON CONFLICT (k) DO UPDATE SET v = excluded.v"
        )
        (fail,) = sql.parse("INSERT INTO t VALUES ($1, 1), ($1, 2)")
        committed: dict[int, int] = {}
        transaction = transactions.Transaction(data, False)
        await transaction.begin_writing()
        transaction.execute(create, ())
        current: dict[int, int] = {}
        saved: dict[str, dict[int, int]] = {}
        for number, (step, key) in enumerate(steps):
            if step == "put":
                transaction.execute(put, (key, number))
                current[key] = number
            elif step == "fail":
                with self.assertRaises(errors.SqlError):
                    transaction.execute(fail, (key + 100,))
            elif step == "save":
                transaction.set_savepoint(f"s{number}")
                saved[f"s{number}"] = dict(current)
            elif step == "undo" and saved:
                name = list(saved)[min(key, len(saved) - 1)]
                transaction.rollback_to(name)
                current = dict(saved[name])
                names = list(saved)
                for later in names[names.index(name) + 1 :]:
                    del saved[later]
            elif step in ("end", "drop"):
                if step == "end" or not data.records:
                    transaction.commit()
                    committed = dict(current)
                else:
                    transaction.rollback()
                    current = dict(committed)
                saved.clear()
                transaction = transactions.Transaction(data, False)
                await transaction.begin_writing()
        transaction.commit()
        return current


class HistoryTest(unittest.TestCase):
    """Forks and truncation, against logs kept as plain lists."""

    steps = st.lists(
        st.tuples(
            st.sampled_from(("write", "promote", "follow", "follow")),
            st.integers(0, 2),
            st.integers(0, 2),
            st.integers(0, 4),
        ),
        min_size=12,
        max_size=40,
    )

    @given(steps)
    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    def test_follower_has_a_prefix_of_its_primary(self, steps):
        group = [engine.Engine(index == 0) for index in range(3)]
        naive: list[list[int]] = [[], [], []]
        for number, (step, one, other, count) in enumerate(steps):
            data = group[one]
            if step == "write" and data.is_primary:
                naive[one].append(number)
                data.writer.execute("BEGIN")
                data.commit(0.0, [(f"CREATE TABLE t{number} (n int)", [])])
            elif step == "promote" and not data.is_primary:
                highest = max(x.timeline for x in group)
                data.highest_timeline = highest
                data.promote()
                self.assertEqual(data.timeline, highest + 1)
            elif (
                step == "follow"
                and one != other
                and self.follow(group[other], data, count)
            ):
                prefix = os.path.commonprefix([naive[one], naive[other]])
                naive[other] = naive[one][: len(prefix) + count]
        for data, expected in zip(group, naive, strict=True):
            rows = data.committed.execute(
                "SELECT name FROM sqlite_master ORDER BY rowid"
            )
            self.assertEqual([x for (x,) in rows], [f"t{x}" for x in expected])
            self.assertEqual(len(data.records), len(expected))
            starts = [x.start_lsn for x in data.history]
            self.assertEqual(starts, sorted(starts))
            self.assertEqual(data.history[0], timelines.FIRST)

    def follow(
        self, follower: engine.Engine, leader: engine.Engine, count: int
    ) -> bool:
        """Lets one follow the other for a few records, if it would."""
        if not leader.is_primary or leader.timeline < follower.timeline:
            return False
        if follower.is_primary and leader.timeline == follower.timeline:
            return False
        if follower.is_primary:
            follower.demote()
        common = timelines.common_lsn(leader.history, follower.history)
        common = min(follower.lsn, leader.lsn if common is None else common)
        follower.adopt_history(leader.history, common)
        for record in leader.records_after(common)[:count]:
            follower.append(record)
        return True


class FaultTest(GroupCase):
    """Each fault switch."""

    async def test_freeze_and_thaw(self):
        await self.start(2)
        await self.run_sql("CREATE TABLE t (id int)")
        await self.caught_up(1)
        connection = await self.connect()
        server = self.servers[0]
        server.freeze()
        writing = asyncio.create_task(
            connection.execute("INSERT INTO t VALUES (1)")
        )
        connecting = asyncio.create_task(self.connect())
        await wait_until(lambda: len(server.tasks) == 2)
        await wait_until(lambda: not self.servers[1].data.is_streaming)
        self.assertEqual(len(server.sessions), 1)
        self.assertFalse(writing.done() or connecting.done())
        self.assertEqual(server.data.lsn, self.servers[1].data.lsn)
        server.thaw()
        await writing
        await connecting
        await self.caught_up(1)
        self.assertEqual(await self.run_sql("SELECT id FROM t", 1), [(1,)])

    async def test_slow(self):
        await self.start()
        connection = await self.connect()
        self.servers[0].slow(NEVER_S)
        answer = asyncio.create_task(connection.execute("SELECT 1"))
        (session,) = self.servers[0].sessions.values()
        await wait_until(lambda: not session.is_idle)
        self.assertFalse(answer.done())
        self.servers[0].slow(0.0)
        await self.run_sql("SELECT 1")
        self.assertFalse(answer.done())
        answer.cancel()

    async def test_silent_connections(self):
        await self.start()
        await self.run_sql("CREATE TABLE t (id int)")
        await wait_until(lambda: not self.servers[0].sessions)
        silent, other = await self.connect(), await self.connect()
        await silent.execute("BEGIN; INSERT INTO t VALUES (1)")
        self.assertEqual(self.servers[0].silence(1), 1)
        await other.execute("INSERT INTO t VALUES (2)")
        answer = asyncio.create_task(silent.execute("SELECT 1"))
        self.assertEqual(await self.run_sql("SELECT id FROM t"), [(2,)])
        self.assertFalse(answer.done())
        answer.cancel()

    async def test_cut_clients(self):
        await self.start()
        connection = await self.connect()
        self.servers[0].cut_clients()
        with self.assertRaises(psycopg.OperationalError):
            await connection.execute("SELECT 1")
        with self.assertRaises(psycopg.OperationalError):
            await self.connect()
        self.servers[0].mend()
        await self.connect()

    async def test_cut_member(self):
        await self.start(3)
        await self.run_sql("CREATE TABLE t (id int)")
        await self.caught_up(1)
        cut = [x.replication.members for x in self.servers[:2]]
        self.servers[0].cut_members([cut[1].address])
        with self.assertRaises(members.CONNECTION_ERRORS):
            await cut[0].poll(cut[1].address)
        with self.assertRaises(members.CONNECTION_ERRORS):
            await cut[1].poll(cut[0].address)
        await wait_until(lambda: not self.servers[1].data.is_streaming)
        await self.run_sql("INSERT INTO t VALUES (1)")
        await self.caught_up(2)
        self.assertEqual(await self.run_sql("SELECT * FROM t", 1), [])
        ((_, _, timeline),) = await self.run_sql(PROBE, 1)
        self.assertIsNone(timeline)
        self.servers[0].mend()
        await self.caught_up(1)

    async def test_crossed_answers(self):
        await self.start()
        first, second = await self.connect(), await self.connect()
        server = self.servers[0]
        server.hold_answers(1, NEVER_S)
        late = asyncio.create_task(first.execute("SELECT 1"))
        await wait_until(lambda: server.faults.held_answers == 0)
        cursor = await second.execute("SELECT 2")
        self.assertEqual(await cursor.fetchone(), (2,))
        self.assertFalse(late.done())
        late.cancel()


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """The server as a process of its own."""

    async def test_process_and_control_port(self):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cuminwall_standins.database",
            "--primary",
            env=dict(os.environ),
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(GUARD_S):
                ports = json.loads(await process.stdout.readline())
                await self.use(ports)
        finally:
            process.send_signal(signal.SIGKILL)
            await process.wait()

    async def use(self, ports: dict[str, int]) -> None:
        connection = await asyncpg.connect(
            host="127.0.0.1",
            port=ports["port"],
            user="cuminwall",
            password="cuminwall",
            database="test",
        )
        base = f"http://127.0.0.1:{ports['control_port']}"
        async with aiohttp.ClientSession(base) as http:
            async with http.get("/state") as answer:
                state = await answer.json()
            self.assertEqual(state["connections"], 1)
            self.assertTrue(state["primary"])
            for name, body, status in (
                ("lag", {"delay_s": 1.0}, 200),
                ("lag", {"other": 1.0}, 400),
                ("data", {}, 404),
                ("cut_clients", {}, 200),
            ):
                async with http.post(f"/{name}", json=body) as answer:
                    self.assertEqual(answer.status, status)
        # A query sent before the client has noticed would fail otherwise.
        await wait_until(connection.is_closed)
        with self.assertRaises(asyncpg.InterfaceError):
            await connection.fetch("SELECT 1")


class RewritingTest(unittest.TestCase):
    """The differences between the SQL dialects."""

    def test_differences_between_the_dialects(self):
        for text, expected in (
            ("SELECT $1::int8", "SELECT to_int(?1)"),
            ("SELECT f(a)::varchar(3)", "SELECT CAST(f ( a ) AS TEXT)"),
            ("SELECT CAST(t.x AS bool)", "SELECT to_bool(t . x)"),
            ("SELECT 'a''b'::text", "SELECT CAST('a''b' AS TEXT)"),
            ("SELECT $$a'b$$ -- no", "SELECT 'a''b'"),
            ("SELECT a FROM public.t FOR UPDATE OF t", "SELECT a FROM t"),
            ("SELECT current_timestamp", "SELECT now()"),
        ):
            with self.subTest(text):
                self.assertEqual(rewriting.rewrite(text, False), expected)

    def test_errors_that_sqlite_does_not_know(self):
        data = engine.Engine(is_primary=True)
        for text, sqlstate in (
            ("SELECT 1 / 0", "22012"),
            ("SELECT 'a'::int", "22P02"),
            ("SELECT * FROM nowhere", "42P01"),
            ("SELECT 1; SELEC 2", "42601"),
        ):
            with (
                self.subTest(text),
                self.assertRaises(errors.SqlError) as caught,
            ):
                data.execute(sql.parse(text)[0], (), False)
            self.assertEqual(caught.exception.sqlstate, sqlstate)

    def test_columns(self):
        text = rewriting.rewrite(
            "CREATE TABLE t (id bigint GENERATED ALWAYS AS IDENTITY"
            " PRIMARY KEY, at timestamptz DEFAULT now(), n int DEFAULT 0)",
            True,
        )
        self.assertEqual(
            text,
            "CREATE TABLE t ( id INTEGER PRIMARY KEY AUTOINCREMENT ,"
            " at timestamptz DEFAULT ( now ( ) ) , n int DEFAULT 0 )",
        )


if __name__ == "__main__":
    unittest.main()
