"""Reads the configuration from peers, like from the platform's store.

Parts are content-addressed: a part that a peer returns is the same as in the
store.
"""

import asyncio
from collections.abc import Callable

from cuminwall import confighead, exceptions, frames, links, peers, ports

ANSWER_TIMEOUT_S = 2.0

SnapshotSource = Callable[[], confighead.Snapshot | None]


class PeerConfig:
    """Requests configuration values from peers and answers their requests.

    Attributes:
      peers: The links to other instances.
      snapshot: Returns this instance's configuration, or None.
      pending: The pending requests by number.
      last_number: The number of the last request.
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
            raise exceptions.StoreUnavailableError(f"{instance} is unreachable")
        self.last_number += 1
        number = self.last_number
        future = asyncio.get_running_loop().create_future()
        self.pending[number] = future
        try:
            link.send_nowait(
                frames.CODEC.encode(frames.ValueRequest(number, key))
            )
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reply = await future
        except TimeoutError as error:
            raise exceptions.StoreUnavailableError(
                f"{instance} did not answer in {ANSWER_TIMEOUT_S:g} s"
            ) from error
        finally:
            del self.pending[number]
        if not reply.is_known:
            return None
        return ports.StoreEntry(key, reply.value, 0)

    def handle_request(
        self, link: links.Link, request: frames.ValueRequest
    ) -> None:
        """Answers a peer's request."""
        value = self._find(request.key)
        reply = frames.ValueReply(
            request.number, value is not None, value or b""
        )
        link.send_nowait(frames.CODEC.encode(reply))

    def handle_reply(self, reply: frames.ValueReply) -> None:
        """Resolves the request that a peer has answered."""
        future = self.pending.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply)

    def _find(self, key: str) -> bytes | None:
        """Returns a value of this instance's configuration, or None."""
        snapshot = self.snapshot()
        if snapshot is None:
            return None
        if key == confighead.HEAD_KEY:
            return confighead.encode_head(snapshot.head)
        return snapshot.texts.get(key)


class PeerStore:
    """Adapts a peer's configuration to the reads that `configstore` does."""

    def __init__(self, config: PeerConfig, instance: str):
        self.config = config
        self.instance = instance

    async def get(self, key: str) -> ports.StoreEntry | None:
        """Returns the entry of `key`, or None.

        Raises:
          exceptions.StoreUnavailableError: The peer gave no answer.
        """
        return await self.config.get(self.instance, key)
