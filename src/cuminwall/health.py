"""Health, readiness, metrics and status over HTTP."""

import time

from aiohttp import web
from prometheus_client import generate_latest

from cuminwall import groups, stewards
from cuminwall.state import Group, State

METRICS_TYPE = "text/plain; version=0.0.4"


class HealthServer:
    """Answers the platform's balancer, operators and metrics collectors.

    Attributes:
      state: The reducer's state.
      runner: The running HTTP server.
    """

    def __init__(self, state: State):
        self.state = state
        self.runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Listens and returns the port."""
        application = web.Application()
        application.router.add_get("/healthz", self._healthz)
        application.router.add_get("/readyz", self._readyz)
        application.router.add_get("/metrics", self._metrics)
        application.router.add_get("/status", self._status)
        self.runner = web.AppRunner(application, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, port)
        await site.start()
        return self.runner.addresses[0][1]

    async def close(self) -> None:
        """Stops listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        reason = why_not_ready(self.state)
        if reason:
            return web.Response(status=503, text=reason + "\n")
        return web.Response(text="ready\n")

    async def _metrics(self, request: web.Request) -> web.Response:
        body = generate_latest()
        return web.Response(body=body, headers={"Content-Type": METRICS_TYPE})

    async def _status(self, request: web.Request) -> web.Response:
        return web.json_response(describe(self.state))


def why_not_ready(state: State) -> str:
    """Returns why the balancer shall send no new callers, or ""."""
    if state.draining:
        return "leaving"
    if not state.config.version:
        return "no configuration"
    if state.instance not in state.members:
        return "not in the instance list yet"
    if not state.config.is_zone_serving(state.zone):
        return "the availability zone is out of service"
    if time.monotonic() >= state.fresh_until:
        return "the configuration may be out of date"
    return ""


def describe(state: State) -> dict:
    """Returns what operators may see of an instance."""
    now = time.monotonic()
    held = []
    for shard in state.stewardships:
        if stewards.is_active(state, shard):
            held.append(shard)
    return {
        "instance": state.instance,
        "zone": state.zone,
        "config_version": state.config.version,
        "config_fresh_s": round(state.fresh_until - now, 3),
        "members": sorted(state.members),
        "draining": state.draining,
        "sessions": len(state.sessions),
        "stewardships": held,
        "groups": [_describe_group(state, g) for g in state.groups.values()],
    }


def _describe_group(state: State, group: Group) -> dict:
    """Returns what operators may see of a database group."""
    primary = group.primary
    servers = []
    for server in group.servers.values():
        servers.append(
            {
                "server": server.name,
                "zone": server.zone,
                "out": server.out_of_service,
                "reachable": server.reachable,
                "in_recovery": server.in_recovery,
                "timeline": server.timeline,
                "lsn": server.lsn,
                "age_s": _age_s(state, server.current_as_of),
                "permits": server.permits,
                "in_use": server.in_use,
            }
        )
    return {
        "service": group.service,
        "term": group.term,
        "primary": primary.name if primary else "",
        "lease_s": _left_s(state, group),
        "servers": servers,
    }


def _left_s(state: State, group: Group) -> float:
    """Returns how long the write lease may still be counted on."""
    if not groups.is_lease_valid(state, group, group.term):
        return 0.0
    return round(max(0.0, group.lease_until - time.monotonic()), 3)


def _age_s(state: State, shows_since: float) -> float | None:
    """Returns the age of a server's data, or None if unknown."""
    if shows_since < state.started_at:
        return None
    return round(time.monotonic() - shows_since, 3)
