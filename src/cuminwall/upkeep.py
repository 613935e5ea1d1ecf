"""The background loops of an instance.

They feed clock ticks to the reducer, read the instance list and renew this
instance's record in it, watch the store if the instance is a relay, and load
configurations.
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
    reruns,
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
    """Runs the background loops of one instance.

    Attributes:
      engine: The engine.
      store: The platform's store.
      instances: The platform's instance list.
      record: This instance's record in the list.
      peer_config: Reads configurations from peers, and serves them.
      snapshot: The newest configuration read, or None.
      parsed: Its document and the configuration parsed from it, or None.
      wanted_version: The lowest version that satisfies the request to load.
      load_requested: Set when a newer version is to be loaded.
      tasks: The running loops.
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
        """Cancels every loop and waits until it has ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _get_snapshot(self) -> Snapshot | None:
        return self.snapshot

    def request_config(self, version: int) -> None:
        """Requests that this version or a later one is loaded."""
        self.wanted_version = max(self.wanted_version, version)
        self.load_requested.set()

    async def announce_shutdown(self) -> None:
        """Marks this instance as shutting down in the instance list."""
        self.record = self.record._replace(leaving=True)
        try:
            await self.instances.announce(self.record)
        except exceptions.StoreUnavailableError as error:
            logger.info(
                "{}: could not announce the shutdown: {}", PREFIX, error
            )

    async def withdraw(self) -> None:
        """Removes this instance from the list."""
        try:
            await self.instances.withdraw(self.record.instance)
        except exceptions.StoreUnavailableError as error:
            logger.info(
                "{}: not removed from the instance list: {}", PREFIX, error
            )

    async def _tick(self) -> None:
        await reruns.run_forever(PREFIX, self._feed_ticks)

    async def _announce(self) -> None:
        await reruns.run_forever(PREFIX, self._renew_record)

    async def _read_list(self) -> None:
        await reruns.run_forever(PREFIX, self._poll_list)

    async def _watch(self) -> None:
        await reruns.run_forever(PREFIX, self._watch_as_relay)

    async def _load_configurations(self) -> None:
        await reruns.run_forever(PREFIX, self._load_on_request)

    async def _feed_ticks(self) -> None:
        """Feeds the time to the reducer."""
        while True:
            self.engine.feed(events.Tick(time.monotonic()))
            await asyncio.sleep(self.engine.state.times.tick_s)

    async def _renew_record(self) -> None:
        """Renews this instance's record in the instance list."""
        while True:
            try:
                await self.instances.announce(self.record)
            except exceptions.StoreUnavailableError as error:
                logger.debug(
                    "{}: could not announce this instance: {}", PREFIX, error
                )
            await asyncio.sleep(self.engine.state.times.list_interval_s)

    async def _poll_list(self) -> None:
        """Reads the instance list."""
        while True:
            try:
                records = await self.instances.list_instances()
            except exceptions.StoreUnavailableError as error:
                logger.debug(
                    "{}: could not read the instance list: {}", PREFIX, error
                )
            else:
                now = time.monotonic()
                listed = events.InstancesListed(now, tuple(records))
                self.engine.feed(listed)
            await asyncio.sleep(self.engine.state.times.list_interval_s)

    async def _watch_as_relay(self) -> None:
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
        """Reads the current values and watches for changes from there."""
        revision = 0
        prefixes = (calls.SHARDS_PREFIX, calls.STEWARDS_PREFIX, HEAD_PREFIX)
        for prefix in prefixes:
            snapshot = await self.store.read_prefix(prefix)
            revision = min(revision or snapshot.revision, snapshot.revision)
            for entry in snapshot.entries:
                self._feed_entry(entry)
            self._feed_deletions(prefix, snapshot.entries, snapshot.revision)
        async for entries in self.store.watch(calls.ROOT, revision + 1):
            for entry in entries:
                if entry.key.startswith(prefixes):
                    self._feed_entry(entry)

    def _feed_entry(self, entry: ports.StoreEntry) -> None:
        """Feeds a store entry to the reducer."""
        value = storecalls.decode_value(entry.value)
        now = time.monotonic()
        self.engine.feed(
            events.StoreValueSeen(now, entry.key, entry.revision, value)
        )

    def _feed_deletions(
        self, prefix: str, entries: list[ports.StoreEntry], revision: int
    ) -> None:
        """Feeds the deletion of steward keys that are not in the store.

        They may have been deleted while this instance did not watch.
        """
        if prefix != calls.STEWARDS_PREFIX:
            return
        present = {entry.key for entry in entries}
        for shard in range(self.engine.state.shard_count):
            key = f"{prefix}{shard}"
            if key not in present:
                self._feed_entry(ports.StoreEntry(key, b"", revision))

    async def _load_on_request(self) -> None:
        """Loads newer configurations, from the store or from a peer."""
        while True:
            # A request may be left from before an unexpected error.
            while self.engine.state.config.version < self.wanted_version:
                if not await self._load_once():
                    await asyncio.sleep(FETCH_PAUSE_S)
            await self.load_requested.wait()
            self.load_requested.clear()

    async def _load_once(self) -> bool:
        """Loads the configuration from the first source that has it.

        Returns:
          Whether one had the wanted version or a later one.
        """
        for reader in self._readers():
            try:
                snapshot = await configstore.load_changed(reader, self.snapshot)
            except exceptions.StoreUnavailableError as error:
                logger.info(
                    "{}: could not load a configuration: {}", PREFIX, error
                )
                continue
            if snapshot.head.version >= self.wanted_version:
                self._apply(snapshot)
                return True
        return False

    def _readers(self) -> list[ports.ValueReader]:
        """Returns the sources to read from, in order of preference.

        Instances that are no relays ask a relay first, to reduce store reads.
        """
        sources = relays.choose_sources(self.engine.state)
        readers: list[ports.ValueReader] = []
        for source in sources:
            readers.append(peerconfig.PeerStore(self.peer_config, source))
        if relays.needs_watch(self.engine.state):
            return [self.store, *readers]
        return [*readers, self.store]

    def _apply(self, snapshot: Snapshot) -> None:
        """Feeds a configuration to the reducer."""
        self.snapshot = snapshot
        config = configuration.parse(
            snapshot.document, snapshot.head.version, self.parsed
        )
        self.parsed = snapshot.document, config
        self.engine.feed(events.ConfigLoaded(time.monotonic(), config))
