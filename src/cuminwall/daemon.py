"""cuminwalld, the daemon: runs one instance of the system."""

import os

# Keeps libuv from opening an io_uring ring at start.
os.environ["UV_USE_IO_URING"] = "0"

import asyncio
import contextlib
import pathlib
import secrets
import signal
import ssl
import sys
import time

import uvloop
from absl import app, flags
from loguru import logger

from cuminwall import (
    caller_limits,
    decisionlog,
    engine,
    events,
    front_end,
    health,
    instancelist,
    links,
    logs,
    metrics,
    peers,
    ports,
    process_signals,
    rounds,
    serving,
    settings,
    state,
    store,
    storecalls,
    upkeep,
    writeleases,
)

PREFIX = "daemon"

EXIT_BAD_SETTINGS = 2
EXIT_IO_URING = 3
ENTROPY_BYTES = 16
SHUTDOWN_PAUSE_S = 1.0
DESCRIPTOR_FOLDER = pathlib.Path("/proc/self/fd")
RING_NAME = "io_uring"

_SETTINGS = flags.DEFINE_string(
    "settings", None, "The settings file, JSON with comments.", required=True
)


class Daemon:
    """One running instance.

    Attributes:
      settings: Its settings.
      state: The reducer's state.
      engine: Drives the reducer.
      front_end: Accepts callers.
      upkeep: The background loops.
      health: Serves health, metrics and status over HTTP.
      port: The port on which it accepts callers.
    """

    def __init__(self, settings_: settings.Settings):
        self.settings = settings_
        times = settings_.timings
        self.state = state.State(
            settings_.instance,
            settings_.zone,
            times,
            settings_.shards,
            time.monotonic(),
        )
        endpoint = settings_.platform.endpoint
        timeout_s = times.store_timeout_s
        self.store = store.EtcdStore(endpoint, settings_.zone, timeout_s)
        self.instances = instancelist.HttpInstanceList(
            endpoint, settings_.zone, timeout_s
        )
        self.servers = serving.Servers(times, settings_.credentials)
        self.engine = engine.Engine(
            self.state, storecalls.StoreCalls(self.store), self.servers
        )
        self.servers.feed = self.engine.feed
        self.engine.decision_log = _decision_log(settings_.log)
        self.health = health.HealthServer(self.state)
        self.front_end: front_end.FrontEnd | None = None
        self.upkeep: upkeep.Upkeep | None = None
        self.peers: peers.Peers | None = None
        self.listener: links.Listener | None = None
        self.port = 0

    async def start(self) -> None:
        """Opens every port and starts every loop."""
        settings_ = self.settings
        identity = links.Identity(
            settings_.instance, settings_.zone, settings_.peers.secret.encode()
        )
        self.peers = peers.Peers(
            identity,
            self._address,
            self.engine.control_handler(),
            self.engine.data_handler(),
        )
        self.engine.attach_peers(self.peers)
        self.listener = await links.listen(
            identity,
            settings_.peers.host,
            settings_.peers.port,
            self.peers.link_handler(),
        )
        peer_port = links.listening_port(self.listener)
        record = ports.InstanceRecord(
            settings_.instance,
            settings_.zone,
            settings_.peers.host,
            peer_port,
            False,
        )
        http_port = await self.health.start(
            settings_.http.host, settings_.http.port
        )
        self.front_end = front_end.FrontEnd(
            self.engine, _tls(settings_.listen), _limits(settings_.limits)
        )
        self.engine.close_caller = self.front_end.close_session
        self.port = await self.front_end.start(
            settings_.listen.host, settings_.listen.port
        )
        self.upkeep = upkeep.Upkeep(
            self.engine, self.store, self.instances, record, self.peers
        )
        self.upkeep.start()
        metrics.observe(self.engine)
        logger.info(
            "{}: instance {} in zone {} accepts callers at port {}, "
            "peers at {}, http at {}",
            PREFIX,
            settings_.instance,
            settings_.zone,
            self.port,
            peer_port,
            http_port,
        )

    async def drain(self) -> None:
        """Shuts down gracefully: waits for open work up to `drain_s`."""
        assert self.front_end is not None and self.upkeep is not None
        await self.upkeep.announce_shutdown()
        self.engine.feed(events.DrainOrdered(time.monotonic()))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.state.times.drain_s):
                await self.front_end.drain()
                await self._finish_work()
        out: list = []
        writeleases.release_all(self.state, out)
        self.engine.perform_all(out)
        await asyncio.sleep(SHUTDOWN_PAUSE_S)

    async def stop(self) -> None:
        """Closes everything."""
        assert self.upkeep is not None and self.peers is not None
        assert self.front_end is not None and self.listener is not None
        await self.upkeep.withdraw()
        await self.upkeep.stop()
        await self.front_end.close()
        await self.peers.close()
        self.listener.close()
        await self.servers.close()
        await self.health.close()
        await self.store.close()
        await self.instances.close()
        self.engine.decision_log.flush()

    async def _finish_work(self) -> None:
        """Waits until no job and no pin of any instance is left here."""
        while self.state.jobs or self.state.pins:
            await asyncio.sleep(self.state.times.tick_s)

    def _address(self, instance: str) -> tuple[str, int] | None:
        """Returns the host and port of a peer, or None if it is unknown."""
        member = self.state.members.get(instance)
        if member is None:
            return None
        return member.record.host, member.record.port


def _limits(limits: settings.Limits) -> caller_limits.Limits:
    """Returns the limits of the front end."""
    session = rounds.Limits(round_bytes=limits.max_message_bytes)
    return caller_limits.Limits(
        login_timeout_s=limits.login_deadline_s,
        max_connections=limits.max_sessions,
        session=session,
    )


def _decision_log(log: settings.Log) -> decisionlog.DecisionLog:
    """Returns the decision log; JSON lines are not batched."""
    is_enabled = log.level in decisionlog.LEVELS_WITH_DECISIONS
    call_later = None
    if log.format != "json":
        call_later = asyncio.get_running_loop().call_later
    return decisionlog.DecisionLog(is_enabled, call_later)


def _tls(listen: settings.Listen) -> ssl.SSLContext | None:
    """Returns the TLS context for callers, or None if TLS is off."""
    if not listen.tls_cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(listen.tls_cert, listen.tls_key)
    return context


def has_io_uring() -> bool:
    """Returns whether this process has an io_uring ring open."""
    for descriptor in DESCRIPTOR_FOLDER.iterdir():
        with contextlib.suppress(OSError):
            if RING_NAME in os.readlink(descriptor):
                return True
    return False


def _ignore_reload() -> None:
    """Goes on serving; the settings are read at the start only."""
    logger.info("{}: SIGHUP: settings take effect at the next start", PREFIX)


async def _serve(settings_: settings.Settings) -> int:
    """Runs an instance until SIGTERM or SIGINT; returns the exit status."""
    if has_io_uring():
        logger.error("{}: the event loop opened an io_uring ring", PREFIX)
        return EXIT_IO_URING
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    actions = {
        signal.SIGTERM: stop_requested.set,
        signal.SIGINT: stop_requested.set,
        signal.SIGHUP: _ignore_reload,
    }
    process_signals.handle(loop, actions)
    daemon = Daemon(settings_)
    await daemon.start()
    await stop_requested.wait()
    logger.info("{}: shutting down gracefully", PREFIX)
    await daemon.drain()
    await daemon.stop()
    logger.info("{}: stopped", PREFIX)
    return 0


def main(argv: list[str]) -> int:
    """Reads the settings and runs an instance; returns the exit status."""
    del argv
    text = pathlib.Path(_SETTINGS.value).read_text(encoding="utf-8")
    settings_ = settings.read(text, secrets.token_bytes(ENTROPY_BYTES))
    if isinstance(settings_, list):
        for fault in settings_:
            print(fault, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.configure(settings_.log)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_serve(settings_))


def run() -> None:
    """Runs the program; `daemon_start` holds signals before."""
    app.run(main)
