"""End-to-end tests with separate processes: platform, servers and daemons."""

import asyncio
import contextlib
import copy
import functools
import itertools
import json
import pathlib
import signal
import sys
import tempfile
import unittest

import asyncpg
import pg8000.native
import psycopg
from bench import callers
from tools import demo

from cuminwall import calls, store
from cuminwall_standins import site

GUARD_S = 60.0
POLL_S = 0.02
OUTAGE_S = 7.0
SERVICE = "billing"
ZONES = ("sediu", "dispecerat")
SECRET = "the clerks' secret"
CLERK = callers.Account("clerk-1", SECRET, SERVICE)
CREW = callers.Account("crew-1", SECRET, SERVICE)
BIG_COUNT = 50000
BIG = (
    "SELECT a.d + 10 * b.d + 100 * c.d + 1000 * e.d + 10000 * f.d AS n"
    " FROM digit a, digit b, digit c, digit e, digit f WHERE f.d < 5"
    " ORDER BY 1"
)
CREATE = (
    "CREATE TABLE item (id integer PRIMARY KEY, name text, price float8,"
    " paid boolean, raw bytea, big bigint)"
)
ROWS = (
    (1, "apă", 2.5, True, b"\x00\xff", 2**40),
    (2, None, None, None, None, None),
    (3, "", -0.125, False, b"", -1),
)
INSERT = "INSERT INTO item VALUES (%s, %s, %s, %s, %s, %s)"
ERRORS = (
    "SELECT * FROM nowhere",
    "SELEC 1",
    "SELECT 1 / 0",
    "INSERT INTO item (id) VALUES (1)",
)


def on_site(test):
    """Runs an async test on the event loop of its class, with a timeout."""

    @functools.wraps(test)
    def run(self):
        self.runner.run(asyncio.wait_for(test(self), GUARD_S))

    return run


async def wait_until(condition):
    """Polls until an async condition holds; the test's timeout ends it."""
    while not await condition():
        await asyncio.sleep(POLL_S)


class SiteTest(unittest.TestCase):
    """A site of two daemons and one database group for a test class.

    Attributes:
      TIMINGS: The daemons' durations that differ from the defaults.
    """

    TIMINGS: dict[str, float] = {}

    @classmethod
    def setUpClass(cls):
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        folder = tempfile.TemporaryDirectory(prefix="cuminwall-test-")
        cls.addClassCleanup(folder.cleanup)
        cls.site = site.Site(pathlib.Path(folder.name))
        cls.addClassCleanup(lambda: cls.runner.run(cls.site.stop()))
        cls.spares = itertools.count(1)
        cls.runner.run(asyncio.wait_for(cls.start(), GUARD_S))

    @classmethod
    async def start(cls):
        await cls.site.start_platform("--list_lag_s=0.1")
        servers = (
            site.ServerPlan("a", ZONES[0]),
            site.ServerPlan("b", ZONES[1]),
        )
        await cls.site.start_group(
            site.GroupPlan(SERVICE, servers, max_connections=24)
        )
        verifier = site.make_verifier(SECRET)
        key = {"workspace": "clerks", "verifier": verifier}
        cls.document = {
            "zones": {zone: {} for zone in ZONES},
            "workspaces": {"clerks": {"rate": 10000, "burst": 10000}},
            "services": {
                SERVICE: cls.site.describe_service(
                    SERVICE, connections_per_server=20
                )
            },
            "keys": {CLERK.user: key, CREW.user: key},
            "rules": [],
            "open_routes": [],
        }
        await cls.site.apply(copy.deepcopy(cls.document))
        for zone in ZONES:
            await cls.site.start_daemon(f"{zone}-1", zone, **cls.TIMINGS)
        await cls.site.wait_until_ready()

    async def connect(self, instance="sediu-1", account=CLERK):
        return await callers.connect(self.site, instance, account)

    async def start_spare(self):
        """Starts another daemon and returns its name."""
        name = f"spare-{next(self.spares)}"
        await self.site.start_daemon(name, ZONES[0])
        await self.site.wait_until_ready()
        return name

    async def read_ids(self, instance, table):
        async with await self.connect(instance) as connection:
            cursor = await connection.execute(
                f"SELECT id FROM {table} ORDER BY id"
            )
            return [row[0] for row in await cursor.fetchall()]


class ClientsTest(SiteTest):
    """Client libraries get the same answers as from a backend server.

    The scripts run once at server a itself, so it must stay the primary: a
    server that gets no processor for a quarter of a second is replaced else.
    """

    TIMINGS = {"probe_timeout_s": 10.0}

    def connection_arguments(self):
        """Yields the arguments to connect directly and through a daemon."""
        ports = self.site.servers[(SERVICE, "a")].ports
        direct = (ports["port"], site.USER, site.PASSWORD)
        ports = self.site.daemons["dispecerat-1"].ports
        proxied = (ports["port"], CLERK.user, CLERK.password)
        for port, user, password in (direct, proxied):
            yield {
                "host": site.HOST,
                "port": port,
                "user": user,
                "password": password,
            }

    async def assert_equal_answers(self, script):
        direct, proxied = [
            await script(arguments) for arguments in self.connection_arguments()
        ]
        self.assertGreater(len(direct), 10)
        for expected, found in zip(direct, proxied, strict=True):
            self.assertEqual(found, expected)

    @on_site
    async def test_psycopg(self):
        await self.assert_equal_answers(run_psycopg)

    @on_site
    async def test_asyncpg(self):
        await self.assert_equal_answers(run_asyncpg)

    @on_site
    async def test_pg8000(self):
        async def script(arguments):
            return await asyncio.to_thread(run_pg8000, arguments)

        await self.assert_equal_answers(script)


async def run_psycopg(arguments):
    """Runs the script with psycopg 3 and returns the answers."""
    seen = []
    async with await psycopg.AsyncConnection.connect(
        dbname=SERVICE, autocommit=True, **arguments
    ) as connection:

        async def execute(text, parameters=None, **options):
            try:
                cursor = await connection.execute(text, parameters, **options)
            except psycopg.Error as error:
                seen.append((error.sqlstate, error.diag.severity_nonlocalized))
                return
            types = [column.type_code for column in cursor.description or ()]
            rows = await cursor.fetchall() if types else []
            seen.append((cursor.statusmessage, types, rows))

        await execute(CREATE)
        for row in ROWS:
            await execute(INSERT, row)
        for is_binary in (False, True):
            await execute("SELECT * FROM item ORDER BY id", binary=is_binary)
            for number in (1, 2, 3):
                text = "SELECT name, big FROM item WHERE id = %s"
                await execute(text, (number,), prepare=True, binary=is_binary)
        for text in ERRORS:
            await execute(text)
        await execute("")
        cursor = await connection.execute("SELECT 1; SELECT 2 AS two")
        while True:
            seen.append((cursor.description[0].name, await cursor.fetchall()))
            if not cursor.nextset():
                break
        with contextlib.suppress(psycopg.errors.UniqueViolation):
            async with connection.transaction():
                await execute("UPDATE item SET big = big + %s", (1,))
                await connection.execute(ERRORS[3])
        async with connection.transaction():
            await execute("DELETE FROM item WHERE id = %s", (2,))
        await execute("BEGIN")
        await execute(ERRORS[0])
        await execute("SELECT 1")
        await execute("ROLLBACK")
        async with connection.pipeline():
            cursors = []
            for number in range(20):
                cursors.append(
                    await connection.execute("SELECT %s::int", (number,))
                )
        for cursor in cursors:
            seen.append(await cursor.fetchall())
        await make_digits(connection.execute)
        await execute(BIG)
        await execute("DROP TABLE digit")
        await execute("DROP TABLE item")
    return seen


async def make_digits(execute):
    """Fills the table that the large answer is computed from."""
    await execute("CREATE TABLE digit (d integer)")
    values = ", ".join(f"({digit})" for digit in range(10))
    await execute(f"INSERT INTO digit VALUES {values}")


async def run_asyncpg(arguments):
    """Runs the script with asyncpg and returns the answers."""
    seen = []
    connection = await asyncpg.connect(database=SERVICE, **arguments)

    async def execute(text, *parameters):
        try:
            statement = await connection.prepare(text)
            rows = await statement.fetch(*parameters)
        except asyncpg.PostgresError as error:
            seen.append(error.sqlstate)
            return
        types = [one.type.name for one in statement.get_attributes()]
        seen.append((statement.get_statusmsg(), types, [*map(tuple, rows)]))

    insert = "INSERT INTO item VALUES ($1, $2, $3, $4, $5, $6)"
    seen.append(await connection.execute(CREATE))
    for row in ROWS[:2]:
        seen.append(await connection.execute(insert, *row))
    await connection.executemany(insert, ROWS[2:])
    await execute("SELECT * FROM item ORDER BY id")
    for number in (1, 2, 3, 4):
        await execute("SELECT name, big FROM item WHERE id = $1", number)
    for text in ERRORS:
        await execute(text)
    seen.append(await connection.execute("SELECT 1; SELECT 2"))
    with contextlib.suppress(asyncpg.UniqueViolationError):
        async with connection.transaction():
            await execute("UPDATE item SET big = $1 WHERE id = 1", 5)
            await connection.execute(ERRORS[3])
    async with connection.transaction():
        await execute("DELETE FROM item WHERE id = $1", 2)
        async with connection.transaction():
            await execute("DELETE FROM item WHERE id = $1", 3)
        rows = []
        async for row in connection.cursor("SELECT id FROM item", prefetch=1):
            rows.append(tuple(row))
        seen.append(rows)
    await execute("SELECT id FROM item ORDER BY id")
    await make_digits(connection.execute)
    rows = await connection.fetch(BIG)
    seen.append([row["n"] for row in rows])
    seen.append(len(rows) == BIG_COUNT)
    seen.append(await connection.execute("DROP TABLE digit"))
    seen.append(await connection.execute("DROP TABLE item"))
    await connection.close()
    return seen


def run_pg8000(arguments):
    """Runs the script with pg8000 and returns the answers."""
    seen = []
    connection = pg8000.native.Connection(database=SERVICE, **arguments)

    def execute(text, **parameters):
        try:
            rows = connection.run(text, **parameters)
        except pg8000.native.DatabaseError as error:
            seen.append(error.args[0]["C"])
            return
        seen.append((connection.columns, connection.row_count, rows))

    execute(CREATE)
    names = ("id", "name", "price", "paid", "raw", "big")
    insert = f"INSERT INTO item VALUES ({', '.join(f':{n}' for n in names)})"
    for row in ROWS:
        execute(insert, **dict(zip(names, row, strict=True)))
    execute("SELECT * FROM item ORDER BY id")
    prepared = connection.prepare("SELECT name FROM item WHERE id = :id")
    for number in (1, 2, 3, 4):
        seen.append(prepared.run(id=number))
    prepared.close()
    for text in ERRORS:
        execute(text)
    execute("")
    execute("SELECT 1; SELECT 2")
    for end in ("ROLLBACK", "COMMIT"):
        execute("BEGIN")
        execute("DELETE FROM item WHERE id = :id", id=2)
        execute(end)
        execute("SELECT id FROM item ORDER BY id")
    execute("CREATE TABLE digit (d integer)")
    for digit in range(10):
        execute("INSERT INTO digit VALUES (:d)", d=digit)
    execute(BIG)
    execute("DROP TABLE digit")
    execute("DROP TABLE item")
    connection.close()
    return seen


class FaultsTest(SiteTest):
    """Withdrawn keys, daemons that stop or crash, and an unavailable store."""

    @on_site
    async def test_a_withdrawn_key_stops_on_open_connections(self):
        async with await self.connect() as clerk:
            await clerk.execute("CREATE TABLE tally (id integer)")
            idle, held, long = [
                await self.connect("dispecerat-1", CREW) for _ in range(3)
            ]
            await idle.execute("SELECT count(*) FROM tally")
            await held.execute("BEGIN")
            await held.execute("INSERT INTO tally VALUES (1)")
            sleeping = asyncio.create_task(long.execute("SELECT pg_sleep(600)"))
            await self.withdraw(CREW.user)
            for connection in (idle, held):
                with self.assertRaisesRegex(psycopg.Error, "key is withdrawn"):
                    await connection.execute("SELECT count(*) FROM tally")
            with self.assertRaisesRegex(psycopg.Error, "withdrawn|cancel"):
                await sleeping
            with self.assertRaisesRegex(psycopg.OperationalError, "key"):
                await self.connect("dispecerat-1", CREW)
            for connection in (idle, held, long):
                await connection.close()
            await clerk.execute("INSERT INTO tally VALUES (2)")
            self.assertEqual(await self.read_ids("sediu-1", "tally"), [2])

    async def withdraw(self, key):
        """Withdraws a key and waits until it is withdrawn everywhere."""
        document = copy.deepcopy(self.site.document)
        del document["keys"][key]
        version = await self.site.apply(document)

        async def is_everywhere():
            for instance in self.site.daemons:
                status = await self.site.status(instance)
                if status["config_version"] < version:
                    return False
            return True

        await wait_until(is_everywhere)

    @on_site
    async def test_sigterm_under_load_aborts_no_transaction(self):
        async with await self.connect() as clerk:
            await clerk.execute("CREATE TABLE visit (id integer)")
        name = await self.start_spare()
        requests = []
        tasks = []
        for first in range(0, 4000, 1000):
            numbers = range(first, first + 1000)
            tasks.append(self.write_until_refused(name, numbers, requests))
        running = asyncio.gather(*tasks)

        async def is_loaded():
            return len(requests) > 20

        await wait_until(is_loaded)
        process = self.site.daemons.pop(name)
        process.send(signal.SIGTERM)
        await running
        self.assertEqual(await process.process.wait(), 0)
        reasons = {request.reason for request in requests}
        self.assertEqual(reasons, {"", "shutting_down"})
        done = []
        for request in requests:
            if request.outcome is callers.Outcome.DONE:
                done.append(request.number)
        ids = await self.read_ids("sediu-1", "visit")
        self.assertEqual(ids, sorted(done))

    async def write_until_refused(self, name, numbers, requests):
        """Writes in transactions of two statements until one is refused."""
        async with await self.connect(name) as connection:
            for number in numbers:
                for text in ("BEGIN", "INSERT INTO visit VALUES (%s)"):
                    parameters = (number,) if "%s" in text else ()
                    request = await callers.run_one(
                        connection, name, number, text, parameters
                    )
                    if request.outcome is not callers.Outcome.DONE:
                        # Only the start of a transaction may be refused.
                        self.assertEqual(text, "BEGIN")
                        requests.append(request)
                        return
                requests.append(
                    await callers.run_one(
                        connection, name, number, "COMMIT", ()
                    )
                )

    @on_site
    async def test_a_daemon_killed_in_a_transaction_leaves_nothing(self):
        async with await self.connect() as clerk:
            await clerk.execute("CREATE TABLE shift (id integer)")
            name = await self.start_spare()
            lost = await self.connect(name)
            await lost.execute("BEGIN")
            await lost.execute("INSERT INTO shift VALUES (1)")
            await self.site.daemons.pop(name).end(signal.SIGKILL)
            with self.assertRaises(psycopg.OperationalError):
                await lost.execute("COMMIT")
            await lost.close()
            # The stand-in allows one writer at a time: a transaction left
            # open would block this one until the test times out.
            await clerk.execute("INSERT INTO shift VALUES (2)")
            self.assertEqual(await self.read_ids("sediu-1", "shift"), [2])

    async def wait_for_successors(self):
        """Waits until all successors of the stewards are running daemons."""
        store_ = store.EtcdStore(self.site.endpoint, "", 2.0)

        async def are_running():
            snapshot = await store_.read_prefix(calls.SHARDS_PREFIX)
            successors = set()
            for entry in snapshot.entries:
                successors.update(json.loads(entry.value)["successors"])
            return bool(successors) and successors <= set(self.site.daemons)

        try:
            await wait_until(are_running)
        finally:
            await store_.close()

    @on_site
    async def test_statements_are_served_while_the_store_is_down(self):
        async with await self.connect() as clerk:
            await clerk.execute("CREATE TABLE crate (id integer)")
            await self.wait_for_successors()
            await self.site.inject_platform_fault(down="refuse")
            try:
                loop = asyncio.get_running_loop()
                outage_end = loop.time() + OUTAGE_S
                written = 0
                while loop.time() < outage_end:
                    written += 1
                    await clerk.execute(
                        "INSERT INTO crate VALUES (%s)", (written,)
                    )
                    ids = await self.read_ids("dispecerat-1", "crate")
                    self.assertEqual(ids, list(range(1, written + 1)))
            finally:
                await self.site.inject_platform_fault(down="ok")


class SettingsTest(unittest.IsolatedAsyncioTestCase):
    """The daemon's settings file."""

    async def test_invalid_settings_exit_with_2_and_report_all_faults(self):
        wrong = {
            "peers": {"host": "127.0.0.1", "port": 70000},
            "platform": {"endpoint": 5},
            "timings": {"tick_s": -1, "unknown_s": 1},
        }
        with tempfile.TemporaryDirectory(prefix="cuminwall-test-") as folder:
            path = pathlib.Path(folder) / "wrong.json"
            path.write_text(json.dumps(wrong), encoding="utf-8")
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cuminwall.daemon_start",
                f"--settings={path}",
                stderr=asyncio.subprocess.PIPE,
            )
            async with asyncio.timeout(GUARD_S):
                _, errors = await process.communicate()
        self.assertEqual(process.returncode, 2)
        text = errors.decode()
        for name in (
            "zone",
            "secret",
            "port",
            "endpoint",
            "tick_s",
            "unknown_s",
        ):
            self.assertIn(name, text)


class DemonstrationTest(unittest.IsolatedAsyncioTestCase):
    """The demonstration, `make demo`."""

    async def test_every_step_succeeds(self):
        async with asyncio.timeout(GUARD_S):
            self.assertEqual(await demo.main(), 0)
