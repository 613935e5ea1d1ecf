"""The faults of a primary that the failover benchmark injects."""

import asyncio
import signal
from collections.abc import Callable, Coroutine

from bench import sites, writers
from cuminwall import placement
from cuminwall_standins import site

SHARDS = 4
STORE_FAULT_S = 3.0
STORE_SLOW_S = 0.6
PAUSE_S = 3.0


async def steward_of(site_: site.Site) -> str:
    """Returns the daemon that is the steward of the service's shard.

    Raises:
      RuntimeError: No daemon is.
    """
    shard = placement.shard_of(sites.SERVICE, SHARDS)
    for instance in site_.daemons:
        status = await site_.status(instance)
        if shard in status["stewardships"]:
            return instance
    raise RuntimeError("no daemon is steward of the shard of the service")


async def kill(site_: site.Site, load: writers.Load, server: str) -> None:
    """Kills the primary."""
    site_.servers[(sites.SERVICE, server)].send(signal.SIGKILL)


async def stop_process(
    site_: site.Site, load: writers.Load, server: str
) -> None:
    """Suspends the primary's process; its sockets stay open."""
    site_.servers[(sites.SERVICE, server)].send(signal.SIGSTOP)


async def freeze(site_: site.Site, load: writers.Load, server: str) -> None:
    """Stops the primary from answering clients and its replicas."""
    await site_.inject_fault(sites.SERVICE, server, "freeze")


async def cut(site_: site.Site, load: writers.Load, server: str) -> None:
    """Disconnects the primary from clients; its replicas still follow it."""
    await site_.inject_fault(sites.SERVICE, server, "cut_clients")


async def kill_store_down(
    site_: site.Site, load: writers.Load, server: str
) -> None:
    """Kills the primary while the store is down."""
    await site_.inject_platform_fault(down="refuse")
    await kill(site_, load, server)
    await asyncio.sleep(STORE_FAULT_S)
    await site_.inject_platform_fault(down="ok")


async def kill_store_slow(
    site_: site.Site, load: writers.Load, server: str
) -> None:
    """Kills the primary while the store is slow."""
    await site_.inject_platform_fault(slow_s=STORE_SLOW_S)
    await kill(site_, load, server)
    await asyncio.sleep(STORE_FAULT_S)
    await site_.inject_platform_fault(slow_s=0.0)


async def kill_steward(
    site_: site.Site, load: writers.Load, server: str
) -> None:
    """Kills the primary and the steward, which a new daemon replaces."""
    instance = await steward_of(site_)
    status = await site_.status(instance)
    process = site_.daemons.pop(instance)
    process.send(signal.SIGKILL)
    await kill(site_, load, server)
    await process.process.wait()
    name = f"spare-{load.table}"
    await site_.start_daemon(name, status["zone"])
    load.add(name)


async def kill_daemon_paused(
    site_: site.Site, load: writers.Load, server: str
) -> None:
    """Kills the primary while a daemon other than the steward is paused."""
    steward = await steward_of(site_)
    others = [name for name in site_.daemons if name != steward]
    process = site_.daemons[others[-1]]
    process.send(signal.SIGSTOP)
    await kill(site_, load, server)
    await asyncio.sleep(PAUSE_S)
    process.send(signal.SIGCONT)


Fault = Callable[[site.Site, writers.Load, str], Coroutine[None, None, None]]

FAULTS: dict[str, Fault] = {
    "kill": kill,
    "stop": stop_process,
    "freeze": freeze,
    "cut": cut,
    "kill_store_down": kill_store_down,
    "kill_store_slow": kill_store_slow,
    "kill_steward": kill_steward,
    "kill_daemon_paused": kill_daemon_paused,
}
CYCLE = (
    "kill",
    "cut",
    "kill",
    "stop",
    "kill_steward",
    "kill",
    "freeze",
    "kill_store_down",
    "kill",
    "kill_store_slow",
    "kill",
    "kill_daemon_paused",
)
