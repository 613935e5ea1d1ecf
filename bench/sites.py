"""The multi-process site that the benchmarks start."""

import asyncio
from typing import Any

from bench import callers
from cuminwall_standins import site

SERVICE = "billing"
ZONES = ("sediu", "dispecerat", "ghiseu-nord")
SERVERS = ("a", "b", "c")
DAEMONS_PER_ZONE = 2
SECRET = "the clerks' secret"
ACCOUNT = callers.Account("clerk-1", SECRET, SERVICE)
CONNECTIONS = 20
SPARE_CONNECTIONS = 4
RATE_PER_S = 100000
TIMEOUT_S = 40.0
POLL_S = 0.02


async def start(site_: site.Site) -> None:
    """Starts every process and waits until all are ready."""
    servers = tuple(map(site.ServerPlan, SERVERS, ZONES))
    limit = CONNECTIONS + SPARE_CONNECTIONS
    plan = site.GroupPlan(SERVICE, servers, max_connections=limit)
    await asyncio.gather(
        site_.start_platform("--list_lag_s=0.5"), site_.start_group(plan)
    )
    await site_.apply(make_document(site_))
    for zone in ZONES:
        for number in range(1, DAEMONS_PER_ZONE + 1):
            await site_.start_daemon(f"{zone}-{number}", zone)
    await site_.wait_until_ready()


def make_document(site_: site.Site) -> dict[str, Any]:
    """Returns the configuration of the site."""
    return {
        "zones": {zone: {} for zone in ZONES},
        "workspaces": {"clerks": {"rate": RATE_PER_S, "burst": RATE_PER_S}},
        "services": {
            SERVICE: site_.describe_service(
                SERVICE, connections_per_server=CONNECTIONS
            )
        },
        "keys": {
            ACCOUNT.user: {
                "workspace": "clerks",
                "verifier": site.make_verifier(SECRET),
            }
        },
        "rules": [],
        "open_routes": [],
    }


async def wait_until_healthy(site_: site.Site) -> None:
    """Waits until every server is reachable and in its role."""
    async with asyncio.timeout(TIMEOUT_S):
        await site_.wait_until_ready(TIMEOUT_S)
        while not await _is_every_group_healthy(site_):
            await asyncio.sleep(POLL_S)


async def find_primary(site_: site.Site) -> str:
    """Returns the primary according to the first daemon that answers, or ""."""
    for instance in list(site_.daemons):
        try:
            status = await site_.status(instance)
        except (TimeoutError, OSError):
            continue
        if status["groups"]:
            return status["groups"][0]["primary"]
    return ""


async def _is_every_group_healthy(site_: site.Site) -> bool:
    for instance in site_.daemons:
        status = await site_.status(instance)
        for group in status["groups"]:
            if not _is_group_healthy(group):
                return False
    return True


def _is_group_healthy(group: dict[str, Any]) -> bool:
    """Returns whether a daemon finds each server reachable and in its role."""
    if not group["primary"]:
        return False
    for server in group["servers"]:
        is_primary = server["server"] == group["primary"]
        if not server["reachable"] or server["in_recovery"] == is_primary:
            return False
    return True
