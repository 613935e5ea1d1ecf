"""What an idle caller connection costs a daemon, and what that is made of.

In steps, each over the same number of connections, in a process of its own
that is measured by its resident set. Every connection is one more socket of
this process to the measured one, so that the difference is the server's part:

* `transport`: a listener whose protocol does nothing;
* `daemon`: a real daemon, after login, no statement run;
* `daemon, one read`: the same after a prepared read on each connection.

Inside the daemon's part, `--objects` counts what a session's objects take by
tracemalloc, in this process and without sockets.
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
SPARE_DESCRIPTORS = 200

_CONNECTIONS = flags.DEFINE_integer("connections", 5000, "Idle callers.")
_SERVE = flags.DEFINE_boolean("serve", False, "Be the idle listener.")


class IdleProtocol(asyncio.Protocol):
    """Keeps a connection and does nothing."""


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
    """Opens connections, a bounded number at once."""
    room = asyncio.Semaphore(CONNECTS_AT_ONCE)

    async def open_in_turn() -> Any:
        async with room:
            return await open_one()

    return await asyncio.gather(*(open_in_turn() for _ in range(count)))


async def measure_transport(
    site_: scripted_site.ScriptedSite, count: int
) -> float:
    """Returns the bytes for each connection of an idle listener."""
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
    """Returns bytes for each connection: after login, and after a read."""
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

    # What a first connection loads and caches is no part of the next ones.
    warm = await open_all(CONNECTS_AT_ONCE, connect)
    for connection in warm:
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
    """Returns the bytes of a session's objects by tracemalloc."""
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
    """Returns the bytes that one made object holds."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = [make() for _ in range(count)]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return (after - before) / count


def raise_descriptor_limit(wanted: int) -> None:
    """Raises this process's own limit within what the system allows it.

    Raises:
      RuntimeError: The system's bound is too low.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft >= wanted:
        return
    if hard != resource.RLIM_INFINITY and hard < wanted:
        raise RuntimeError(f"only {hard} descriptors allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


async def run() -> None:
    """Measures every step and prints it."""
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
    """Measures, or is the idle listener."""
    del argv
    raise_descriptor_limit(_CONNECTIONS.value + SPARE_DESCRIPTORS)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve_idle() if _SERVE.value else run())
    sys.exit(0)


if __name__ == "__main__":
    app.run(main)
