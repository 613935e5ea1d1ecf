"""One instance of direct service, from its settings to its end."""

import asyncio
import os
import secrets
import signal
from collections.abc import Callable
from typing import NamedTuple

import uvloop
from loguru import logger

from cuminwall import exceptions, plainhttp
from cuminwall.direct import (
    engine,
    events,
    follower,
    journal,
    limits,
    meters,
    ports,
    state,
)

PART = "node"

METRICS_PATH = "/metrics"
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
EXIT_BAD_SETTINGS = 2
ENTROPY_BYTES = 32
BOOT_BYTES = 8
EXIT_DELAY_S = 0.1  # Until the last answers have left.


class Address(NamedTuple):
    """An address to listen on or to call."""

    host: str
    port: int


class Settings(NamedTuple):
    """The settings of one instance.

    Attributes:
      instance: Its name.
      zone: Its availability zone.
      callers: Where callers connect.
      ready: Where it is asked whether it takes callers.
      peers: Where other instances connect.
      metrics: Where metrics are served.
      store: The platform's store.
      provider: Where a change of primary is ordered.
      limits: Durations and bounds.
    """

    instance: str
    zone: str
    callers: Address
    ready: Address
    peers: Address
    metrics: Address
    store: Address
    provider: Address
    limits: limits.Limits


class Platform(NamedTuple):
    """What the adapter of a platform gives.

    Attributes:
      read_settings: Reads the settings.
      make_store: Makes the client of the store.
      make_provider: Makes the client that orders a change of primary.
      caller_codec: Makes the codec of a caller's connection.
      server_codec: Makes the codec of a backend server's connection.
      ready_path: The path of the ready probe.
      began_at: When the process began, by `engine.boot_clock`.
    """

    read_settings: Callable[[], Settings]
    make_store: Callable[[str, int], ports.StorePort]
    make_provider: Callable[[str, int], ports.PromotionPort]
    caller_codec: Callable[[], ports.CallerCodec]
    server_codec: Callable[[], ports.ServerCodec]
    ready_path: str
    began_at: float


class Node:
    """One running instance.

    Attributes:
      settings: Its settings.
      platform: The adapter.
      journal: Where log lines go.
      engine: What runs its decisions.
    """

    def __init__(self, own: Settings, platform: Platform):
        self.settings = own
        self.platform = platform
        loop = asyncio.get_running_loop()
        self.journal = journal.Journal(own.instance, call_later=loop.call_later)
        journal.capture(self.journal)
        meters_ = meters.Meters()
        known = state.State(own.instance, own.zone, own.limits)
        known.discovery.earlier_request_at = platform.began_at
        known.secret_candidate = secrets.token_bytes(ENTROPY_BYTES)
        known.boot = secrets.token_hex(BOOT_BYTES)
        known.peer_host, known.peer_port = own.peers
        self.engine = engine.Engine(
            known,
            platform.make_store(*own.store),
            platform.make_provider(*own.provider),
            platform.caller_codec,
            platform.server_codec,
            self.journal,
            meters_,
        )
        self._add_gauges(meters_)

    async def serve(self) -> None:
        """Serves until told to end."""
        own = self.settings
        self.journal.add(PART, "start", {"zone": own.zone})
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.shut_down)
        loop.add_signal_handler(signal.SIGINT, self.shut_down)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        follow = follower.Follower(
            self.engine.store, self.engine.handle_event, engine.boot_clock
        )
        self.engine.reread_store = follow.reread
        self.engine.start_task(self.engine.run_forever(follow.follow))
        await plainhttp.serve(*own.ready, self._answer_probe)
        await plainhttp.serve(*own.metrics, self._answer_metrics)
        await self.engine.callers.listen(*own.callers)
        await self.engine.ended.wait()
        self.journal.add(PART, "stop", {})
        await asyncio.sleep(EXIT_DELAY_S)
        self.journal.flush()
        # Links to peers would take their time to close; all is said.
        os._exit(0)

    def shut_down(self) -> None:
        """Begins to end."""
        self.engine.handle_event(events.ShutdownRequested(engine.boot_clock()))

    def reload(self) -> None:
        """Reads the settings again and takes over what may change."""
        try:
            own = self.platform.read_settings()
        except (OSError, exceptions.SettingsError) as error:
            self.journal.add(PART, "reload_failed", {"cause": str(error)})
            return
        self.engine.state.limits = own.limits
        changed = [
            name
            for name in Settings._fields
            if getattr(own, name) != getattr(self.settings, name)
        ]
        self.settings = own
        self.journal.add(PART, "reload", {"changed": changed})

    def _add_gauges(self, meters_: meters.Meters) -> None:
        """Registers what is read from the state."""
        known = self.engine.state
        meters_.gauge(
            "cuminwall_sessions",
            "Callers with an open session.",
            lambda: len(known.sessions),
        )
        meters_.gauge(
            "cuminwall_config_version",
            "Version of the configuration in force.",
            lambda: known.catalog.version,
        )
        meters_.gauge(
            "cuminwall_server_connections",
            "Connections to backend servers.",
            lambda: len(known.connections),
        )
        meters_.gauge(
            "cuminwall_log_lines_dropped",
            "Log lines that were not written.",
            lambda: sum(self.journal.totals.values()),
        )

    async def _answer_probe(
        self, request: plainhttp.Request
    ) -> plainhttp.Response:
        """Answers whether this instance takes callers."""
        if request.path != self.platform.ready_path:
            return plainhttp.Response(NOT_FOUND, b"")
        known = self.engine.state
        if known.is_shutting_down or known.catalog.version < 0:
            return plainhttp.Response(UNAVAILABLE, b"not ready\n")
        return plainhttp.Response(OK, b"ready\n")

    async def _answer_metrics(
        self, request: plainhttp.Request
    ) -> plainhttp.Response:
        """Answers with all metrics."""
        if request.path != METRICS_PATH:
            return plainhttp.Response(NOT_FOUND, b"")
        return plainhttp.Response(OK, meters.render())


def run(platform: Platform) -> None:
    """Runs one instance; returns when it has ended."""
    try:
        own = platform.read_settings()
    except exceptions.SettingsError as error:
        logger.error("{}: {}", PART, error)
        raise SystemExit(EXIT_BAD_SETTINGS) from error
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(own, platform))


async def _serve(own: Settings, platform: Platform) -> None:
    await Node(own, platform).serve()
