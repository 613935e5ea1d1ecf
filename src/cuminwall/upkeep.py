"""What an instance does again and again beside serving.

It tells the reducer that time goes on, reads the instance list, keeps its own
line in it, watches the store if it is a relay, and loads configurations.
"""

import asyncio
import time

from loguru import logger

from cuminwall import (
    calls,
    configstore,
    configuration,
    engine,
    events,
    exceptions,
    peerconfig,
    peers,
    ports,
    relays,
    storecalls,
)
from cuminwall.confighead import Snapshot
from cuminwall.document import Document
from cuminwall.store import EtcdStore

PREFIX = "upkeep"

FETCH_PAUSE_S = 0.3
WATCH_PAUSE_S = 0.5
RELAY_CHECK_S = 0.5

HEAD_PREFIX = calls.CONFIG_HEAD_KEY


class Upkeep:
    """The loops of one instance.

    Attributes:
      engine: The engine.
      store: The platform's store.
      instances: The platform's instance list.
      record: This instance's line in the list.
      peer_config: Reads configurations of peers, and answers them.
      snapshot: The configuration as it was read, or None.
      parsed: Its document and what was made of it, or None.
      wanted_version: The version to be loaded.
      load_requested: Set when a newer version is to be loaded.
    """

    def __init__(
        self,
        engine_: engine.Engine,
        store: EtcdStore,
        instances: ports.InstanceListPort,
        record: ports.InstanceRecord,
        peers_: peers.Peers,
    ):
        self.engine = engine_
        self.peer_config = peerconfig.PeerConfig(peers_, self._get_snapshot)
        engine_.peer_config = self.peer_config
        self.store = store
        self.instances = instances
        self.record = record
        self.snapshot: Snapshot | None = None
        self.parsed: tuple[Document, configuration.Configuration] | None = None
        self.wanted_version = 0
        self.load_requested = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts every loop."""
        self.engine.fetch_config = self.request_config
        loops = (
            self._tick(),
            self._announce(),
            self._read_list(),
            self._watch(),
            self._load_configurations(),
        )
        for loop in loops:
            self.tasks.append(asyncio.create_task(loop))

    async def stop(self) -> None:
        """Ends every loop."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _get_snapshot(self) -> Snapshot | None:
        return self.snapshot

    def request_config(self, version: int) -> None:
        """Loads a configuration of this version or a later one soon."""
        self.wanted_version = max(self.wanted_version, version)
        self.load_requested.set()

    async def announce_shutdown(self) -> None:
        """Marks this instance as leaving in the list."""
        self.record = self.record._replace(leaving=True)
        try:
            await self.instances.announce(self.record)
        except exceptions.StoreUnavailableError as error:
            logger.info("{}: leaving is not announced: {}", PREFIX, error)

    async def withdraw(self) -> None:
        """Takes this instance off the list."""
        try:
            await self.instances.withdraw(self.record.instance)
        except exceptions.StoreUnavailableError as error:
            logger.info("{}: not taken off the list: {}", PREFIX, error)

    async def _tick(self) -> None:
        while True:
            self.engine.feed(events.Tick(time.monotonic()))
            await asyncio.sleep(self.engine.state.times.tick_s)

    async def _announce(self) -> None:
        while True:
            try:
                await self.instances.announce(self.record)
            except exceptions.StoreUnavailableError as error:
                logger.debug("{}: not announced: {}", PREFIX, error)
            await asyncio.sleep(self.engine.state.times.list_interval_s)

    async def _read_list(self) -> None:
        while True:
            try:
                records = await self.instances.list_instances()
            except exceptions.StoreUnavailableError as error:
                logger.debug("{}: no instance list: {}", PREFIX, error)
            else:
                now = time.monotonic()
                listed = events.InstancesListed(now, tuple(records))
                self.engine.feed(listed)
            await asyncio.sleep(self.engine.state.times.list_interval_s)

    async def _watch(self) -> None:
        """Watches the store while this instance is a relay."""
        while True:
            if not relays.needs_watch(self.engine.state):
                await asyncio.sleep(RELAY_CHECK_S)
                continue
            try:
                await self._watch_once()
            except exceptions.StoreUnavailableError as error:
                logger.debug("{}: the watch ended: {}", PREFIX, error)
            await asyncio.sleep(WATCH_PAUSE_S)

    async def _watch_once(self) -> None:
        """Reads what there is and follows the changes from there."""
        revision = 0
        prefixes = (calls.SHARDS_PREFIX, calls.STEWARDS_PREFIX, HEAD_PREFIX)
        for prefix in prefixes:
            snapshot = await self.store.read_prefix(prefix)
            revision = min(revision or snapshot.revision, snapshot.revision)
            for entry in snapshot.entries:
                self._see(entry)
            self._see_missing(prefix, snapshot.entries, snapshot.revision)
        async for entries in self.store.watch(calls.ROOT, revision + 1):
            for entry in entries:
                if entry.key.startswith(prefixes):
                    self._see(entry)

    def _see(self, entry: ports.StoreEntry) -> None:
        """Feeds a value of the store to the reducer."""
        value = storecalls.decode_value(entry.value)
        now = time.monotonic()
        self.engine.feed(
            events.StoreValueSeen(now, entry.key, entry.revision, value)
        )

    def _see_missing(
        self, prefix: str, entries: list[ports.StoreEntry], revision: int
    ) -> None:
        """Feeds the keys of stewards that went while nobody watched."""
        if prefix != calls.STEWARDS_PREFIX:
            return
        there = {entry.key for entry in entries}
        for shard in range(self.engine.state.shard_count):
            key = f"{prefix}{shard}"
            if key not in there:
                self._see(ports.StoreEntry(key, b"", revision))

    async def _load_configurations(self) -> None:
        """Loads newer configurations, from the store or from a peer."""
        while True:
            await self.load_requested.wait()
            self.load_requested.clear()
            while self.engine.state.config.version < self.wanted_version:
                if not await self._load_once():
                    await asyncio.sleep(FETCH_PAUSE_S)

    async def _load_once(self) -> bool:
        """Loads the configuration in force; returns whether it came."""
        for reader in self._readers():
            try:
                snapshot = await configstore.load_changed(reader, self.snapshot)
            except exceptions.StoreUnavailableError as error:
                logger.info("{}: no configuration: {}", PREFIX, error)
                continue
            if snapshot.head.version >= self.wanted_version:
                self._take(snapshot)
                return True
        return False

    def _readers(self) -> list[ports.ValueReader]:
        """Returns where to read, the best first: relays spare the store."""
        sources = relays.choose_sources(self.engine.state)
        readers: list[ports.ValueReader] = []
        for source in sources:
            readers.append(peerconfig.PeerStore(self.peer_config, source))
        if relays.needs_watch(self.engine.state):
            return [self.store, *readers]
        return [*readers, self.store]

    def _take(self, snapshot: Snapshot) -> None:
        """Feeds a configuration to the reducer."""
        self.snapshot = snapshot
        config = configuration.parse(
            snapshot.document, snapshot.head.version, self.parsed
        )
        self.parsed = snapshot.document, config
        self.engine.feed(events.ConfigLoaded(time.monotonic(), config))
