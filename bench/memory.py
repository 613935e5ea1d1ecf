"""Measures the memory that an idle caller connection takes in a daemon.

Each step opens the same number of connections from this process to a process
of its own, of which the resident set is measured. The difference per
connection is thus the memory on the server side:

* `transport`: a listener whose protocol does nothing;
* `daemon`: a real daemon, after login, no statement run;
* `daemon, one read`: the same after a prepared read on each connection.

The size of a session's Python objects is measured by tracemalloc, in this
process and without sockets.
"""

import os

# libuv opens an io_uring ring at start unless told otherwise.
os.environ["UV_USE_IO_URING"] = "0"

import asyncio
import gc
import json
import pathlib
import resource
import sys
import tempfile
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

import asyncpg
import uvloop
from absl import app, flags

from bench import scripted_site
from cuminwall import (
    caller_connection,
    caller_session,
    front_end,
    session_rounds,
    state,
    work,
)
from cuminwall_standins import site

CONNECTS_AT_ONCE = 8
SETTLE_S = 3.0
READ_SQL = "SELECT amount FROM payment WHERE id = $1"
PAGE_BYTES = resource.getpagesize()
EXTRA_DESCRIPTORS = 200

_CONNECTIONS = flags.DEFINE_integer(
    "connections", 5000, "The number of idle connections."
)
_SERVE = flags.DEFINE_boolean("serve", False, "Run as the idle listener.")


class IdleProtocol(asyncio.Protocol):
    """Holds a connection and ignores what it sends."""


async def serve_idle() -> None:
    """Listens with a protocol that does nothing, and prints the port."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(IdleProtocol, site.HOST, 0, backlog=1024)
    port = server.sockets[0].getsockname()[1]
    print(json.dumps({"port": port}), flush=True)
    await asyncio.Event().wait()


def resident_bytes(process: site.Process) -> int:
    """Returns the resident set of a process."""
    path = pathlib.Path(f"/proc/{process.process.pid}/statm")
    return int(path.read_text().split()[1]) * PAGE_BYTES


async def open_all(count: int, open_one: Callable[[], Any]) -> list[Any]:
    """Runs `open_one` `count` times, CONNECTS_AT_ONCE at a time."""
    connect_slots = asyncio.Semaphore(CONNECTS_AT_ONCE)

    async def open_when_free() -> Any:
        async with connect_slots:
            return await open_one()

    return await asyncio.gather(*(open_when_free() for _ in range(count)))


async def measure_transport(
    site_: scripted_site.ScriptedSite, count: int
) -> float:
    """Returns the bytes per connection in an idle listener."""
    process = await site_.start_program("idle", "bench.memory", "--serve")
    loop = asyncio.get_running_loop()
    port = process.ports["port"]

    async def connect() -> asyncio.BaseTransport:
        transport, _ = await loop.create_connection(
            asyncio.Protocol, site.HOST, port
        )
        return transport

    before = resident_bytes(process)
    transports = await open_all(count, connect)
    await asyncio.sleep(SETTLE_S)
    used = resident_bytes(process) - before
    for transport in transports:
        transport.close()
    await process.end()
    return used / count


async def measure_daemon(
    site_: scripted_site.ScriptedSite, count: int
) -> tuple[float, float]:
    """Returns the bytes per connection after login, and after a read."""
    await site_.start_platform("--list_lag_s=0.2")
    await site_.start_scripted_group(1, 20)
    await site_.apply(site_.make_document(home_count_per_zone=1))
    process = await site_.start_daemon("daemon", scripted_site.ZONE)
    await site_.wait_until_ready()
    port = process.ports["port"]

    async def connect() -> asyncpg.Connection:
        return await asyncpg.connect(
            host=site.HOST,
            port=port,
            user=scripted_site.KEY_ID,
            password=scripted_site.KEY_SECRET,
            database=scripted_site.SERVICE,
            ssl=False,
            timeout=60,
        )

    # The first connections fill caches that later ones share.
    warm_up = await open_all(CONNECTS_AT_ONCE, connect)
    for connection in warm_up:
        await connection.fetchval(READ_SQL, 1)
    await asyncio.sleep(SETTLE_S)
    before = resident_bytes(process)
    connections = await open_all(count, connect)
    await asyncio.sleep(SETTLE_S)
    after_login = resident_bytes(process) - before
    waiting = iter(connections)

    async def read_once() -> None:
        await next(waiting).fetchval(READ_SQL, 1)

    await open_all(count, read_once)
    await asyncio.sleep(SETTLE_S)
    after_read = resident_bytes(process) - before
    return after_login / count, after_read / count


def measure_objects(count: int) -> dict[str, float]:
    """Returns the bytes of each object of a session, by tracemalloc."""
    door = front_end.FrontEnd(_NO_PORT)
    makers: dict[str, Callable[[], Any]] = {
        "caller connection": lambda: caller_connection.CallerConnection(door),
        "session rounds": lambda: session_rounds.SessionRounds(door.cache, {}),
        "session phase": lambda: caller_session.SessionPhase(
            _NO_PORT, session_rounds.SessionRounds(door.cache, {}), 1
        ),
        "reducer session": lambda: state.Session(
            1, work.Login("billing", "k", "w", "", "127.0.0.1:50000")
        ),
    }
    sizes = {}
    for name, make in makers.items():
        sizes[name] = _traced_bytes(make, count)
    return sizes


_NO_PORT: Any = None


def _traced_bytes(make: Callable[[], Any], count: int) -> float:
    """Returns the mean bytes of an object that `make` returns."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = [make() for _ in range(count)]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return (after - before) / count


def raise_descriptor_limit(wanted: int) -> None:
    """Raises this process's soft limit of open files.

    Raises:
      RuntimeError: The hard limit is too low.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft >= wanted:
        return
    if hard != resource.RLIM_INFINITY and hard < wanted:
        raise RuntimeError(f"the hard limit of {hard} open files is too low")
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


async def run() -> None:
    """Measures every step and prints the results."""
    count = _CONNECTIONS.value
    report: dict[str, float] = {}
    with tempfile.TemporaryDirectory(prefix="cuminwall-bench-") as folder:
        site_ = scripted_site.ScriptedSite(pathlib.Path(folder))
        site_.daemon_settings["limits"] = {"max_sessions": 2 * count}
        try:
            report["transport"] = await measure_transport(site_, count)
            login, read = await measure_daemon(site_, count)
        finally:
            await site_.stop()
    report["daemon"] = login
    report["daemon, one read"] = read
    for name, size in measure_objects(count).items():
        report[f"objects: {name}"] = size
    for name, size in report.items():
        print(f"{name:32} {size:10.0f} bytes a connection")
    print(json.dumps({name: round(size) for name, size in report.items()}))


def main(argv: Sequence[str]) -> None:
    """Measures, or runs the idle listener."""
    del argv
    raise_descriptor_limit(_CONNECTIONS.value + EXTRA_DESCRIPTORS)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve_idle() if _SERVE.value else run())
    sys.exit(0)


if __name__ == "__main__":
    app.run(main)
