"""The process of one instance of direct service."""

import asyncio
import os
import secrets
import signal
import time
from collections.abc import Callable
from typing import NamedTuple

import uvloop
from loguru import logger

from cuminwall import exceptions, plainhttp, process_signals, reruns
from cuminwall.direct import (
    engine,
    events,
    follower,
    journal,
    limits,
    meters,
    ports,
    queueing,
    speeds,
    state,
    store_view,
)

PART = "node"

METRICS_PATH = "/metrics"
MAX_PROBES = 8  # Connections to each of the two addresses.
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
EXIT_BAD_SETTINGS = 2
ENTROPY_BYTES = 32
BOOT_BYTES = 8
EXIT_DELAY_S = 0.1  # Time to send the last answers before the process exits.
START_READ_S = 2.0  # For how long unreadable settings are read again.
READ_PAUSE_S = 0.05  # Between these readings.
REREAD_S = 0.5  # Until settings that have changed are read once more.
FLUSH_FRACTION = 0.97  # Of the grace period, for those that take longer.


class Address(NamedTuple):
    """An address to listen on or to connect to."""

    host: str
    port: int


class Settings(NamedTuple):
    """The settings of one instance.

    Attributes:
      instance: Its name.
      zone: Its availability zone.
      callers: Address of the listener for callers.
      ready: Address of the readiness probe.
      peers: Address of the listener for other instances.
      metrics: Address of the metrics.
      store: The platform's store.
      provider: The service that promotes backend servers.
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
    """The adapter of a platform.

    Attributes:
      read_settings: Reads the settings.
      make_store: Creates the client of the store.
      make_provider: Creates the client for what one instance does for all.
      caller_codec: Creates the codec of a caller's connection.
      server_codec: Creates the codec of a backend server's connection.
      ready_path: The path of the readiness probe.
      began_at: Start time of the process, by `engine.boot_clock`.
    """

    read_settings: Callable[[], Settings]
    make_store: Callable[[str, int], ports.StorePort]
    make_provider: Callable[[str, int], ports.ProviderPort]
    caller_codec: Callable[[], ports.CallerCodec]
    server_codec: Callable[[], ports.ServerCodec]
    ready_path: str
    began_at: float


class Node:
    """One running instance.

    Attributes:
      settings: Its settings.
      platform: The adapter of the platform.
      journal: The writer of log lines.
      engine: The engine that runs its reducer.
      reread_timer: When the settings are read once more, or None.
      is_reload_failing: Whether the latest reading of them has failed.
    """

    def __init__(self, settings: Settings, platform: Platform):
        self.settings = settings
        self.platform = platform
        loop = asyncio.get_running_loop()
        self.journal = journal.Journal(
            settings.instance, call_later=loop.call_later
        )
        journal.capture(self.journal)
        meters_ = meters.Meters()
        state_ = state.State(settings.instance, settings.zone, settings.limits)
        state_.discovery.earlier_request_at = platform.began_at
        state_.secret_candidate = secrets.token_bytes(ENTROPY_BYTES)
        state_.boot = secrets.token_hex(BOOT_BYTES)
        state_.peer_host, state_.peer_port = settings.peers
        self.engine = engine.Engine(
            state_,
            platform.make_store(*settings.store),
            platform.make_provider(*settings.provider),
            platform.caller_codec,
            platform.server_codec,
            self.journal,
            meters_,
        )
        self.reread_timer: asyncio.TimerHandle | None = None
        self.is_reload_failing = False
        self._add_gauges(meters_)

    async def serve(self) -> None:
        """Serves until the instance has shut down; ends the process."""
        settings = self.settings
        self.journal.add(PART, "start", {"zone": settings.zone})
        loop = asyncio.get_running_loop()
        actions = {
            signal.SIGTERM: self.shut_down,
            signal.SIGINT: self.shut_down,
            signal.SIGHUP: self.reload,
        }
        process_signals.handle(loop, actions)
        state_ = self.engine.state
        follower_ = follower.Follower(
            self.engine.store,
            self.engine.handle_event,
            engine.boot_clock,
            lambda: follower.pause_s(len(state_.members)),
            lambda: store_view.find_wait_s(state_, engine.boot_clock()),
            lambda: store_view.is_whole_read_due(state_, engine.boot_clock()),
        )
        self.engine.reread_store = follower_.reread
        self.engine.restart_watch = follower_.restart_watch
        self.engine.start_task(
            reruns.run_forever(engine.PART, follower_.follow)
        )
        await plainhttp.serve(*settings.ready, self._answer_probe, MAX_PROBES)
        await plainhttp.serve(
            *settings.metrics, self._answer_metrics, MAX_PROBES
        )
        await self.engine.callers.listen(*settings.callers)
        await self.engine.ended.wait()
        self.journal.add(PART, "stop", {})
        await asyncio.sleep(EXIT_DELAY_S)
        await self.engine.callers.flush(self._flush_time_s())
        self.journal.finish()
        # Skips closing the links to peers in order, which would take long.
        os._exit(0)

    def _flush_time_s(self) -> float:
        """Returns how long the last answers may take to be sent."""
        state_ = self.engine.state
        grace_s = FLUSH_FRACTION * state_.limits.grace_s
        return state_.shutdown_began_at + grace_s - engine.boot_clock()

    def shut_down(self) -> None:
        """Starts the shutdown."""
        self.engine.handle_event(events.ShutdownRequested(engine.boot_clock()))

    def reload(self) -> None:
        """Reads the settings again; only new limits take effect.

        They may be read while they are being written. So they are read once
        more after a while, and until they can be read at all.
        """
        is_read = self._reload_once(is_asked=True)
        self._schedule_reread(is_last=is_read)

    def _schedule_reread(self, is_last: bool) -> None:
        """Reads the settings later, and again if that is not the last time."""
        if self.reread_timer is not None:
            self.reread_timer.cancel()

        def reread() -> None:
            is_read = self._reload_once(is_asked=False)
            if not (is_read and is_last):
                self._schedule_reread(is_last=is_read)

        loop = asyncio.get_running_loop()
        self.reread_timer = loop.call_later(REREAD_S, reread)

    def _reload_once(self, is_asked: bool) -> bool:
        """Reads the settings; returns whether they could be read."""
        try:
            settings = self.platform.read_settings()
        except (OSError, exceptions.SettingsError) as error:
            if is_asked or not self.is_reload_failing:
                self.journal.add(PART, "reload_failed", {"cause": str(error)})
            self.is_reload_failing = True
            return False
        changed = [
            name
            for name in Settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.engine.state.limits = settings.limits
        self.settings = settings
        if is_asked or self.is_reload_failing or changed:
            self.journal.add(PART, "reload", {"changed": changed})
        self.is_reload_failing = False
        return True

    def _add_gauges(self, meters_: meters.Meters) -> None:
        """Registers the gauges that are read from the state."""
        state_ = self.engine.state
        meters_.gauge(
            "cuminwall_sessions",
            "Callers with an open session.",
            lambda: len(state_.sessions),
        )
        meters_.gauge(
            "cuminwall_config_version",
            "Version of the configuration in force.",
            lambda: state_.catalog.version,
        )
        meters_.gauge(
            "cuminwall_config_confirmed_age_seconds",
            "Time since the configuration was confirmed to be the newest.",
            lambda: store_view.unconfirmed_s(state_, engine.boot_clock()),
        )
        meters_.gauge(
            "cuminwall_cut_off",
            "Whether this instance is cut off with its availability zone.",
            lambda: int(state_.discovery.cut_off_since is not None),
        )
        meters_.gauge(
            "cuminwall_server_connections",
            "Connections to backend servers.",
            lambda: len(state_.connections),
        )
        meters_.labelled_gauge(
            "cuminwall_server_slowdown",
            "How many times longer than usual a server's statements take.",
            "server",
            lambda: speeds.read_slowdowns(state_, engine.boot_clock()),
        )
        meters_.labelled_gauge(
            "cuminwall_server_expected_seconds",
            "The mean time of a server's recent statements.",
            "server",
            lambda: speeds.read_expected_s(state_, engine.boot_clock()),
        )
        meters_.labelled_gauge(
            "cuminwall_server_observations",
            "How many recent answers the estimate of a server rests on.",
            "server",
            lambda: speeds.read_observations(state_, engine.boot_clock()),
        )
        meters_.labelled_gauge(
            "cuminwall_waiting_operations",
            "Operations that wait for a server or a connection.",
            "priority",
            lambda: queueing.count_waiting(state_),
        )
        meters_.gauge(
            "cuminwall_log_lines_dropped",
            "Log lines that were not written.",
            self.journal.count_dropped,
        )

    async def _answer_probe(
        self, request: plainhttp.Request
    ) -> plainhttp.Response:
        """Answers the readiness probe."""
        if request.path != self.platform.ready_path:
            return plainhttp.Response(NOT_FOUND, b"")
        state_ = self.engine.state
        is_out = (
            state_.is_shutting_down
            or state_.discovery.cut_off_since is not None
        )
        if is_out or state_.catalog.version < 0:
            return plainhttp.Response(UNAVAILABLE, b"not ready\n")
        return plainhttp.Response(OK, b"ready\n")

    async def _answer_metrics(
        self, request: plainhttp.Request
    ) -> plainhttp.Response:
        """Answers a request for the metrics."""
        if request.path != METRICS_PATH:
            return plainhttp.Response(NOT_FOUND, b"")
        return plainhttp.Response(OK, meters.render())


def run(platform: Platform) -> None:
    """Runs one instance until it has shut down."""
    settings = _read_at_start(platform)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(settings, platform))


def _read_at_start(platform: Platform) -> Settings:
    """Returns the settings, which may be being written just now.

    Raises:
      SystemExit: They can't be read.
    """
    end = time.monotonic() + START_READ_S
    while True:
        try:
            return platform.read_settings()
        except (OSError, exceptions.SettingsError) as error:
            if time.monotonic() >= end:
                logger.error("{}: {}", PART, error)
                raise SystemExit(EXIT_BAD_SETTINGS) from error
        time.sleep(READ_PAUSE_S)


async def _serve(settings: Settings, platform: Platform) -> None:
    await Node(settings, platform).serve()
