"""Runs statements through the given ports and measures their latency.

Each connection runs one statement, or one transaction, at a time. In a closed
loop the next one starts when the last has ended. At a set rate each start is
planned, and the latency counts from the planned start, so that a stalled
server does not reduce the number of slow samples (coordinated omission).
"""

import os

# libuv opens an io_uring ring at start unless told otherwise.
os.environ["UV_USE_IO_URING"] = "0"

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import Any

import asyncpg
import uvloop
from absl import app, flags

from bench import latencies, loadplan

HOST = "127.0.0.1"
CONNECTS_AT_ONCE = 8
KEYS = 1000

READ_SQL = "SELECT amount FROM payment WHERE id = $1"
WRITE_SQL = "INSERT INTO payment VALUES ($1, $2) ON CONFLICT DO NOTHING"

_PORTS = flags.DEFINE_list(
    "ports", [], "The ports; connections are spread over them."
)
_CONNECTIONS = flags.DEFINE_integer(
    "connections", 16, "The number of connections."
)
_DURATION_S = flags.DEFINE_float("duration_s", 5.0, "Measured time, seconds.")
_RATE = flags.DEFINE_float(
    "rate", 0.0, "Starts a second over all connections; 0 is a closed loop."
)
_MIX = flags.DEFINE_list(
    "mix", ["read=1"], "Weights of read, write and transaction."
)
_USER = flags.DEFINE_string("user", "cuminwall", "The user, or the key's id.")
_PASSWORD = flags.DEFINE_string("password", "cuminwall", "Its password.")
_DATABASE = flags.DEFINE_string("database", "billing", "The database.")
_SEED = flags.DEFINE_integer("seed", 1, "Chooses the statements.")

Operation = Callable[["Client"], Awaitable[None]]


class Tally:
    """The results of all connections.

    Attributes:
      latencies_us: The latency of each operation that succeeded.
      errors: The number of failures by SQLSTATE or exception type.
    """

    def __init__(self) -> None:
        self.latencies_us: list[int] = []
        self.errors: dict[str, int] = {}

    def count_error(self, error: Exception) -> None:
        """Counts a failure."""
        name = getattr(error, "sqlstate", None) or type(error).__name__
        self.errors[name] = self.errors.get(name, 0) + 1


class Client:
    """One connection and its prepared statements.

    Attributes:
      connection: The connection.
      read: The prepared statement that reads one row.
      write: The prepared statement that writes one row, if one is needed.
      random: Chooses rows and operations.
    """

    def __init__(self, connection: asyncpg.Connection, seed: int):
        self.connection = connection
        self.random = random.Random(seed)
        self.read: Any = None
        self.write: Any = None

    async def prepare(self, names: Iterable[str]) -> None:
        """Prepares the statements that the operations need."""
        self.read = await self.connection.prepare(READ_SQL)
        if set(names) != {"read"}:
            self.write = await self.connection.prepare(WRITE_SQL)


async def read(client: Client) -> None:
    """Reads one row."""
    await client.read.fetchval(client.random.randrange(KEYS))


async def write(client: Client) -> None:
    """Writes one row."""
    await client.write.fetch(client.random.randrange(KEYS), 1)


async def run_transaction(client: Client) -> None:
    """Reads and writes one row in a transaction."""
    key = client.random.randrange(KEYS)
    async with client.connection.transaction():
        await client.read.fetchval(key)
        await client.write.fetch(key, 1)


OPERATIONS: Mapping[str, Operation] = {
    "read": read,
    "write": write,
    "transaction": run_transaction,
}


async def connect(count: int, names: Sequence[str]) -> list[Client]:
    """Opens all connections, CONNECTS_AT_ONCE at a time."""
    connect_slots = asyncio.Semaphore(CONNECTS_AT_ONCE)

    async def open_one(index: int) -> Client:
        port = int(_PORTS.value[index % len(_PORTS.value)])
        async with connect_slots:
            connection = await asyncpg.connect(
                host=HOST,
                port=port,
                user=_USER.value,
                password=_PASSWORD.value,
                database=_DATABASE.value,
                ssl=False,
            )
            client = Client(connection, _SEED.value * 100_003 + index)
            await client.prepare(names)
            return client

    return await asyncio.gather(*(open_one(index) for index in range(count)))


async def run_operations(
    client: Client,
    index: int,
    connections: int,
    plan: loadplan.Plan,
    tally: Tally,
) -> None:
    """Runs operations on one connection until the plan ends."""
    number = 0
    operations = [OPERATIONS[name] for name in plan.names]
    while True:
        began_at = time.monotonic()
        if plan.interval_s:
            began_at = loadplan.planned_start(plan, index, connections, number)
            number += 1
            if began_at >= plan.ends_at:
                return
            await asyncio.sleep(max(0.0, began_at - time.monotonic()))
        if began_at >= plan.ends_at:
            return
        operation = operations[0]
        if len(operations) > 1:
            operation = client.random.choices(operations, plan.weights)[0]
        try:
            await operation(client)
        except (
            asyncpg.PostgresError,
            asyncpg.InterfaceError,
            OSError,
        ) as error:
            tally.count_error(error)
            if client.connection.is_closed():
                return
            continue
        ended_at = time.monotonic()
        if began_at >= plan.started_at and ended_at <= plan.ends_at:
            tally.latencies_us.append(round(1e6 * (ended_at - began_at)))


async def run() -> latencies.Summary:
    """Runs the load that the flags describe."""
    mix = loadplan.parse_mix(_MIX.value, OPERATIONS)
    count = _CONNECTIONS.value
    clients = await connect(count, list(mix))
    started_at = time.monotonic() + latencies.RAMP_S
    plan = loadplan.Plan(
        started_at,
        started_at + _DURATION_S.value,
        count / _RATE.value if _RATE.value else 0.0,
        tuple(mix),
        tuple(mix.values()),
    )
    tally = Tally()
    tasks = []
    for index, client in enumerate(clients):
        tasks.append(run_operations(client, index, count, plan, tally))
    await asyncio.gather(*tasks)
    for client in clients:
        client.connection.terminate()
    histogram = latencies.make_histogram(tally.latencies_us)
    return latencies.summarize(histogram, tally.errors, _DURATION_S.value)


def main(argv: Sequence[str]) -> None:
    """Runs a load and prints its summary as one line of JSON."""
    del argv
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        print(json.dumps(runner.run(run())), flush=True)


if __name__ == "__main__":
    app.run(main)
