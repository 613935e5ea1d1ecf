"""The demonstration: starts a site and runs a series of steps on it.

Prints each step with its outcome and its duration. Exits with 0 if every step
succeeded, else with 1 after naming the step that failed.
"""

import asyncio
import contextlib
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

import psycopg

from cuminwall_standins import site

SERVICES = ("billing", "ledger")
ZONES = ("sediu", "dispecerat")
DAEMONS = (
    ("sediu-1", "sediu"),
    ("sediu-2", "sediu"),
    ("dispecerat-1", "dispecerat"),
    ("dispecerat-2", "dispecerat"),
)
KEY_ID = "clerk-1"
KEY_SECRET = "the clerks' secret"
FAILOVER_LIMIT_S = 9.0

Step = Callable[["Demonstration"], Awaitable[str]]


class StepFailedError(Exception):
    """A step of the demonstration failed."""


class Demonstration:
    """The state shared by the steps.

    Attributes:
      site: The processes.
      token: The session token returned after the payment.
    """

    def __init__(self, site_: site.Site):
        self.site = site_
        self.token = ""

    async def connect(
        self, instance: str, password: str = KEY_SECRET, token: str = ""
    ) -> psycopg.AsyncConnection:
        """Connects a psycopg client through a daemon."""
        options = f"-c cuminwall.session={token}" if token else ""
        return await psycopg.AsyncConnection.connect(
            host=site.HOST,
            port=self.site.daemons[instance].ports["port"],
            user=KEY_ID,
            password=password,
            dbname="billing",
            options=options,
            autocommit=True,
            connect_timeout=10,
        )


def make_document(site_: site.Site) -> dict:
    """Returns the configuration of the demonstration."""
    services = {name: site_.describe_service(name) for name in SERVICES}
    return {
        "zones": {zone: {} for zone in ZONES},
        "workspaces": {"clerks": {"rate": 500, "burst": 500}},
        "services": services,
        "keys": {
            KEY_ID: {
                "workspace": "clerks",
                "verifier": site.make_verifier(KEY_SECRET),
            }
        },
        "rules": [],
        "open_routes": [],
    }


async def start(site_: site.Site) -> None:
    """Starts every process of the site and waits until it is ready."""
    servers = (
        site.ServerPlan("a", ZONES[0]),
        site.ServerPlan("b", ZONES[1]),
        site.ServerPlan("c", ZONES[1]),
    )
    starting = [site_.start_platform("--list_lag_s=0.5")]
    for service in SERVICES:
        plan = site.GroupPlan(service, servers)
        starting.append(site_.start_group(plan))
    await asyncio.gather(*starting)
    await site_.apply(make_document(site_))
    for instance, zone in DAEMONS:
        await site_.start_daemon(instance, zone)
    await site_.wait_until_ready()


def expect(condition: bool, message: str) -> None:
    """Raises StepFailedError with the message unless the condition holds."""
    if not condition:
        raise StepFailedError(message)


async def write_payment(demo: Demonstration) -> str:
    """A clerk writes a payment."""
    async with await demo.connect("sediu-1") as connection:
        await connection.execute(
            "CREATE TABLE payment (id integer PRIMARY KEY, amount integer)"
        )
        await connection.execute("INSERT INTO payment VALUES (1, 250)")
        token = connection.info.parameter_status("cuminwall.session")
    expect(bool(token), "no session token after a write")
    demo.token = token or ""
    return f"written, session token {demo.token}"


async def read_with_token(demo: Demonstration) -> str:
    """The payment is read through another daemon, with the token."""
    async with await demo.connect(
        "dispecerat-1", token=demo.token
    ) as connection:
        return await read_payment(connection)


async def read_without_token(demo: Demonstration) -> str:
    """The payment is read through another daemon, without a token."""
    async with await demo.connect("dispecerat-2") as connection:
        return await read_payment(connection)


async def read_payment(connection: psycopg.AsyncConnection) -> str:
    """Reads the payment."""
    cursor = await connection.execute(
        "SELECT amount FROM payment WHERE id = %s", (1,)
    )
    row = await cursor.fetchone()
    expect(row is not None and row[0] == 250, f"read {row!r}")
    return "read 250"


async def run_transaction(demo: Demonstration) -> str:
    """A transaction is rolled back, another is committed."""
    async with await demo.connect("sediu-2") as connection:
        with contextlib.suppress(psycopg.Rollback):
            async with connection.transaction():
                await connection.execute("INSERT INTO payment VALUES (2, 70)")
                raise psycopg.Rollback
        async with connection.transaction():
            await connection.execute("INSERT INTO payment VALUES (3, 30)")
        cursor = await connection.execute("SELECT id FROM payment ORDER BY id")
        rows = await cursor.fetchall()
    expect(rows == [(1,), (3,)], f"read {rows!r}")
    return "one rolled back, one committed"


async def refuse_wrong_key(demo: Demonstration) -> str:
    """A wrong key is refused."""
    try:
        async with await demo.connect("sediu-1", password="wrong"):
            pass
    except psycopg.OperationalError as error:
        expect("28P01" in str(error) or "key" in str(error), str(error))
        return "refused"
    raise StepFailedError("a wrong key was accepted")


async def kill_primary(demo: Demonstration) -> str:
    """The primary is killed and writes go on."""
    async with await demo.connect("dispecerat-1") as connection:
        await connection.execute("INSERT INTO payment VALUES (4, 40)")
        server = await primary_of(demo, "dispecerat-1")
        await demo.site.servers[("billing", server)].end(signal.SIGKILL)
        started_at = time.monotonic()
        await write_until_done(connection)
        gap_s = time.monotonic() - started_at
    expect(gap_s < FAILOVER_LIMIT_S, f"writes failed for {gap_s:.1f} s")
    successor = await primary_of(demo, "dispecerat-1")
    expect(successor != server, "the primary did not change")
    return f"{server} killed, {successor} took over after {gap_s:.2f} s"


async def write_until_done(connection: psycopg.AsyncConnection) -> None:
    """Retries an idempotent write until it succeeds."""
    deadline = time.monotonic() + 2 * FAILOVER_LIMIT_S
    while True:
        try:
            await connection.execute(
                "INSERT INTO payment VALUES (5, 50) ON CONFLICT DO NOTHING"
            )
            return
        except psycopg.OperationalError:
            if time.monotonic() > deadline:
                raise
            await asyncio.sleep(0.05)


async def read_after_failover(demo: Demonstration) -> str:
    """Every acknowledged payment is there after the change of primary."""
    async with await demo.connect("sediu-1") as connection:
        cursor = await connection.execute("SELECT id FROM payment ORDER BY id")
        rows = [row[0] for row in await cursor.fetchall()]
    expect(rows == [1, 3, 4, 5], f"read {rows!r}")
    return "payments 1, 3, 4 and 5 are there"


async def primary_of(demo: Demonstration, instance: str) -> str:
    """Returns the primary of billing according to a daemon."""
    status = await demo.site.status(instance)
    for group in status["groups"]:
        if group["service"] == "billing":
            return group["primary"]
    raise StepFailedError(f"{instance} is not a home of billing")


STEPS: tuple[tuple[str, Step], ...] = (
    ("write a payment through sediu-1", write_payment),
    ("read it through dispecerat-1 with the token", read_with_token),
    ("read it through dispecerat-2 without a token", read_without_token),
    ("transactions through sediu-2", run_transaction),
    ("a wrong key", refuse_wrong_key),
    ("kill the primary", kill_primary),
    ("read after the change of primary", read_after_failover),
)


async def run_steps(demo: Demonstration) -> int:
    """Runs the steps and returns the exit code."""
    for name, step in STEPS:
        started_at = time.monotonic()
        try:
            outcome = await step(demo)
        except (StepFailedError, psycopg.Error, TimeoutError) as error:
            print(f"FAILED  {name}: {error!r}")
            return 1
        duration_ms = 1000 * (time.monotonic() - started_at)
        print(f"held    {name}: {outcome} ({duration_ms:.0f} ms)")
    print("every step held")
    return 0


async def main() -> int:
    """Runs the demonstration and returns the exit code."""
    with tempfile.TemporaryDirectory(prefix="cuminwall-demo-") as folder:
        site_ = site.Site(pathlib.Path(folder))
        try:
            started_at = time.monotonic()
            await start(site_)
            duration_s = time.monotonic() - started_at
            count = len(site_.daemons)
            print(f"held    start {count} daemons ({duration_s:.1f} s)")
            return await run_steps(Demonstration(site_))
        except (TimeoutError, RuntimeError) as error:
            print(f"FAILED  start the site: {error!r}")
            return 1
        finally:
            await site_.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
