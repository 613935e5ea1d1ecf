"""The configuration as a peer has it, read like the platform's store.

Parts are named by their content, so that whatever a peer answers for one is
the same as what the store holds.
"""

import asyncio
from collections.abc import Callable

from cuminwall import confighead, exceptions, frames, links, peers, ports

ANSWER_TIMEOUT_S = 2.0

SnapshotSource = Callable[[], confighead.Snapshot | None]


class PeerConfig:
    """Asks peers for values of the configuration, and answers them.

    Attributes:
      peers: The links to other instances.
      snapshot: Returns what this instance has.
      pending: The asks under way, by number.
    """

    def __init__(self, peers_: peers.Peers, snapshot: SnapshotSource):
        self.peers = peers_
        self.snapshot = snapshot
        self.pending: dict[int, asyncio.Future[frames.ValueReply]] = {}
        self.last_number = 0

    async def get(self, instance: str, key: str) -> ports.StoreEntry | None:
        """Returns a value of a peer's configuration, or None.

        Raises:
          exceptions.StoreUnavailableError: The peer gave no answer.
        """
        link = await self.peers.open_data(instance)
        if link is None:
            raise exceptions.StoreUnavailableError(f"{instance} is not reached")
        self.last_number += 1
        number = self.last_number
        future = asyncio.get_running_loop().create_future()
        self.pending[number] = future
        try:
            link.post(frames.CODEC.encode(frames.ValueRequest(number, key)))
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await future
        except TimeoutError as error:
            raise exceptions.StoreUnavailableError(
                f"{instance} gave no answer"
            ) from error
        finally:
            del self.pending[number]
        if not answer.is_known:
            return None
        return ports.StoreEntry(key, answer.value, 0)

    def handle_request(
        self, link: links.Link, ask: frames.ValueRequest
    ) -> None:
        """Answers a peer."""
        value = self._find(ask.key)
        answer = frames.ValueReply(ask.number, value is not None, value or b"")
        link.post(frames.CODEC.encode(answer))

    def handle_reply(self, answer: frames.ValueReply) -> None:
        """Takes a peer's answer."""
        future = self.pending.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    def _find(self, key: str) -> bytes | None:
        """Returns a value that this instance has, or None."""
        snapshot = self.snapshot()
        if snapshot is None:
            return None
        if key == confighead.HEAD_KEY:
            return confighead.encode_head(snapshot.head)
        return snapshot.texts.get(key)


class PeerStore:
    """One peer's configuration, as far as `configstore` reads a store."""

    def __init__(self, config: PeerConfig, instance: str):
        self.config = config
        self.instance = instance

    async def get(self, key: str) -> ports.StoreEntry | None:
        """Returns the entry of `key`, or None.

        Raises:
          exceptions.StoreUnavailableError: The peer gave no answer.
        """
        return await self.config.get(self.instance, key)
