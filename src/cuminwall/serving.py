"""Pools and probes of the backend servers that this instance serves as home."""

import asyncio
import functools
import os
import time
from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger

from cuminwall import (
    backend,
    configuration,
    effects,
    events,
    outcomes,
    pool,
    prober,
    probes,
    promotion,
    settings,
    timings,
)

PREFIX = "servers"

NAME_SEPARATOR = "/"
CLOSE_TIMEOUT_S = 5.0

Feed = Callable[[events.Event], None]


class Servers:
    """Manages the pools, probes and promotions of backend servers.

    Attributes:
      credentials: The credentials in the daemon's settings, by service.
      pools: The connection pools, by service and server id.
      permits: The number of connections that each of them may have.
      prober: Probes the watched servers.
      targets: The watched servers, by service and server id.
      feed: Passes events to the reducer; gets the results of probes.
      tasks: The pools that are being closed.
    """

    def __init__(
        self,
        times: timings.Timings,
        credentials: Mapping[str, settings.Credentials],
    ):
        self.times = times
        self.credentials = credentials
        self.pools: dict[tuple[str, str], pool.Pool] = {}
        self.permits: dict[tuple[str, str], int] = {}
        self.prober = prober.Prober(
            self._report_probe, times.probe_interval_s, times.probe_timeout_s
        )
        self.targets: dict[tuple[str, str], backend.Target] = {}
        self.feed: Feed | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def watch(
        self,
        config: configuration.Configuration,
        watched: frozenset[tuple[str, str]],
    ) -> None:
        """Keeps probes and pools for exactly these servers."""
        targets = {}
        for service, server in watched:
            target = self._target(config, service, server)
            if target is not None:
                targets[(service, server)] = target
        for key in list(self.pools):
            if self.targets.get(key) != targets.get(key):
                self._close_pool(key)
        self.targets = targets
        for key, target in targets.items():
            if key not in self.pools:
                permits = self.permits.get(key, 0)
                self.pools[key] = pool.Pool(target, permits)
                self.pools[key].start()
        self.prober.set_targets(targets.values())

    def set_permits(self, service: str, server: str, permits: int) -> None:
        """Changes this instance's share of a server's connections."""
        self.permits[(service, server)] = permits
        found = self.pools.get((service, server))
        if found is not None:
            found.set_permits(permits)

    def probe_now(self, service: str, server: str) -> None:
        """Probes a server without waiting for its next regular probe."""
        target = self.targets.get((service, server))
        if target is not None:
            self.prober.probe_soon(target.name)

    async def promote(self, effect: effects.Promote, feed: Feed) -> None:
        """Orders a server to become primary, unless the deadline has passed."""
        key = (effect.service, effect.server)
        target = self.targets.get(key)
        answer = None
        fork_lsn = 0
        if target is not None and time.monotonic() < effect.not_after:
            limit_s = self.times.promote_s
            await promotion.promote(target, limit_s, limit_s)
            found = await promotion.read_fork(target, limit_s)
            if found is not None:
                answer, fork_lsn = found
        feed(
            events.PromotionFinished(
                time.monotonic(),
                effect.service,
                effect.server,
                effect.term,
                answer,
                fork_lsn,
            )
        )

    async def close(self) -> None:
        """Closes every pool and ends the probes."""
        await self.prober.close()
        for key in list(self.pools):
            self._close_pool(key)
        while self.tasks:
            await asyncio.wait(self.tasks)

    def _target(
        self,
        config: configuration.Configuration,
        service: str,
        server: str,
    ) -> backend.Target | None:
        """Returns a server's address and credentials, or None if it is unknown.

        Credentials in the daemon's settings override those of the document.
        """
        entry = config.services.get(service)
        if entry is None or server not in entry.servers:
            return None
        found = entry.servers[server]
        user = entry.user
        password = entry.password
        password_env = entry.password_env
        own = self.credentials.get(service)
        if own is not None:
            user = own.user or user
            if own.password or own.password_env:
                password = own.password
                password_env = own.password_env
        if password_env:
            password = os.environ.get(password_env, "")
        return backend.Target(
            f"{service}{NAME_SEPARATOR}{server}",
            found.host,
            found.port,
            user,
            password,
            entry.database,
        )

    def _close_pool(self, key: tuple[str, str]) -> None:
        closing = self.pools.pop(key)
        deadline = asyncio.get_running_loop().time() + CLOSE_TIMEOUT_S
        task = asyncio.create_task(closing.close(deadline))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _report_probe(
        self,
        name: str,
        sent_at: float,
        answer: probes.ProbeAnswer | prober.ProbeFailure,
    ) -> None:
        """Feeds the result of a probe to the reducer."""
        service, _, server = name.partition(NAME_SEPARATOR)
        result = _to_result(answer)
        if self.feed is not None:
            now = time.monotonic()
            self.feed(
                events.ServerProbed(now, service, server, sent_at, result)
            )


@functools.singledispatch
def _to_result(answer: Any) -> probes.ProbeAnswer | outcomes.Failure:
    raise TypeError(type(answer))


@_to_result.register
def _(answer: probes.ProbeAnswer) -> probes.ProbeAnswer | outcomes.Failure:
    return answer


@_to_result.register
def _(answer: prober.ProbeFailure) -> outcomes.Failure:
    logger.debug("{}: {}", PREFIX, answer.message)
    return outcomes.NO_SERVER
