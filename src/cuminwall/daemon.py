"""cuminwalld: one instance of the system, from its settings to its end."""

import os

# libuv opens an io_uring ring at start unless told otherwise.
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
EXIT_FORBIDDEN_RING = 3
ENTROPY_BYTES = 16
LEAVE_PAUSE_S = 1.0
DESCRIPTORS = pathlib.Path("/proc/self/fd")
RING_NAME = "io_uring"

_SETTINGS = flags.DEFINE_string(
    "settings", None, "The settings file, JSON with comments.", required=True
)


class Daemon:
    """One running instance.

    Attributes:
      settings: What it was started with.
      state: The reducer's state.
      engine: Drives the reducer.
      frontdoor: Accepts callers.
      upkeep: The loops beside.
      health: Health, metrics and status.
      port: Where callers connect.
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
        self.frontdoor: front_end.FrontEnd | None = None
        self.upkeep: upkeep.Upkeep | None = None
        self.peers: peers.Peers | None = None
        self.listener: links.Listener | None = None
        self.port = 0

    async def start(self) -> None:
        """Opens every port and starts every loop."""
        own = self.settings
        identity = links.Identity(
            own.instance, own.zone, own.peers.secret.encode()
        )
        self.peers = peers.Peers(
            identity,
            self._address,
            self.engine.control_handler(),
            self.engine.data_handler(),
        )
        self.engine.attach_peers(self.peers)
        self.listener = await links.listen(
            identity, own.peers.host, own.peers.port, self.peers.link_handler()
        )
        peer_port = links.listening_port(self.listener)
        record = ports.InstanceRecord(
            own.instance, own.zone, own.peers.host, peer_port, False
        )
        http_port = await self.health.start(own.http.host, own.http.port)
        self.frontdoor = front_end.FrontEnd(
            self.engine, _tls(own.listen), _limits(own.limits)
        )
        self.engine.close_caller = self.frontdoor.close_session
        self.port = await self.frontdoor.start(own.listen.host, own.listen.port)
        self.upkeep = upkeep.Upkeep(
            self.engine, self.store, self.instances, record, self.peers
        )
        self.upkeep.start()
        metrics.observe(self.engine)
        logger.info(
            "{}: instance {} of {} takes callers at {}, peers at {}, "
            "http at {}",
            PREFIX,
            own.instance,
            own.zone,
            self.port,
            peer_port,
            http_port,
        )

    async def drain(self) -> None:
        """Leaves gracefully: no request is cut."""
        assert self.frontdoor is not None and self.upkeep is not None
        await self.upkeep.announce_shutdown()
        self.engine.feed(events.DrainOrdered(time.monotonic()))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.state.times.drain_s):
                await self.frontdoor.drain()
                await self._finish_work()
        out: list = []
        writeleases.release_all(self.state, out)
        self.engine.perform_all(out)
        await asyncio.sleep(LEAVE_PAUSE_S)

    async def stop(self) -> None:
        """Closes everything."""
        assert self.upkeep is not None and self.peers is not None
        assert self.frontdoor is not None and self.listener is not None
        await self.upkeep.withdraw()
        await self.upkeep.stop()
        await self.frontdoor.close()
        await self.peers.close()
        self.listener.close()
        await self.servers.close()
        await self.health.close()
        await self.store.close()
        await self.instances.close()
        self.engine.decision_log.flush()

    async def _finish_work(self) -> None:
        """Waits until no other instance has work here."""
        while self.state.jobs or self.state.pins:
            await asyncio.sleep(self.state.times.tick_s)

    def _address(self, instance: str) -> tuple[str, int] | None:
        """Returns where a peer listens."""
        member = self.state.members.get(instance)
        if member is None:
            return None
        return member.record.host, member.record.port


def _limits(own: settings.Limits) -> caller_limits.Limits:
    """Returns the caller side's bounds."""
    session = rounds.Limits(round_bytes=own.max_message_bytes)
    return caller_limits.Limits(
        login_timeout_s=own.login_deadline_s,
        max_connections=own.max_sessions,
        session=session,
    )


def _decision_log(own: settings.Log) -> decisionlog.DecisionLog:
    """Returns what writes the decisions; JSON lines come one at a time."""
    is_enabled = own.level in decisionlog.LEVELS_WITH_DECISIONS
    call_later = None
    if own.format != "json":
        call_later = asyncio.get_running_loop().call_later
    return decisionlog.DecisionLog(is_enabled, call_later)


def _tls(listen: settings.Listen) -> ssl.SSLContext | None:
    """Returns the TLS certificate and key for callers, if set."""
    if not listen.tls_cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(listen.tls_cert, listen.tls_key)
    return context


def has_ring() -> bool:
    """Returns whether this process has an io_uring ring open."""
    for descriptor in DESCRIPTORS.iterdir():
        with contextlib.suppress(OSError):
            if RING_NAME in os.readlink(descriptor):
                return True
    return False


async def _serve(own: settings.Settings) -> int:
    """Runs an instance until it is told to end."""
    if has_ring():
        logger.error("{}: the event loop opened an io_uring ring", PREFIX)
        return EXIT_FORBIDDEN_RING
    ending = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    daemon = Daemon(own)
    await daemon.start()
    await ending.wait()
    logger.info("{}: leaving gracefully", PREFIX)
    await daemon.drain()
    await daemon.stop()
    logger.info("{}: ended", PREFIX)
    return 0


def main(argv: list[str]) -> int:
    """Reads the settings and runs an instance."""
    del argv
    text = pathlib.Path(_SETTINGS.value).read_text(encoding="utf-8")
    own = settings.read(text, secrets.token_bytes(ENTROPY_BYTES))
    if isinstance(own, list):
        for fault in own:
            print(fault, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.configure(own.log)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_serve(own))


def run() -> None:
    """The entry point of the `cuminwalld` program."""
    app.run(main)


if __name__ == "__main__":
    run()
