"""Messages between instances, over links that each side proves itself on."""

from collections.abc import Callable
from typing import Any

from loguru import logger

from cuminwall import exceptions, links, peers
from cuminwall.direct import events, messages, state

PART = "fleet"


class Fleet:
    """The links of this instance.

    Attributes:
      state: Where the other instances' addresses stand.
      on_event: Takes an event.
      clock: Tells the time of events.
      peers: The links, once the secret is known.
      listener: Takes links from peers.
    """

    def __init__(
        self,
        state_: state.State,
        on_event: Callable[[events.Event], None],
        clock: Callable[[], float],
    ):
        self.state = state_
        self.on_event = on_event
        self.clock = clock
        self.peers: peers.Peers | None = None
        self.listener: links.Listener | None = None

    async def start(self, secret: bytes) -> None:
        """Begins to talk with the other instances."""
        if self.listener is not None:
            self.listener.close()
            await self.listener.wait_closed()
        own = self.state
        identity = links.Identity(own.instance, own.zone, secret)
        handler = links.LinkHandler(self._received, _ended)
        self.peers = peers.Peers(identity, self._address, handler, handler)
        try:
            self.listener = await links.listen(
                identity,
                own.peer_host,
                own.peer_port,
                self.peers.link_handler(),
            )
        except OSError as error:
            logger.error("{}: no links from peers: {!r}", PART, error)

    def send(self, instance: str, message: Any) -> None:
        """Sends a message, if the peer can be reached."""
        if self.peers is not None:
            self.peers.send(instance, messages.CODEC.encode(message))

    async def close(self) -> None:
        """Ends every link."""
        if self.peers is not None:
            await self.peers.close()

    def _address(self, instance: str) -> tuple[str, int] | None:
        """Returns where an instance is reached."""
        member = self.state.members.get(instance)
        return None if member is None else (member.host, member.port)

    def _received(self, link: links.Link, data: bytes) -> None:
        """Takes in a message."""
        try:
            message = messages.CODEC.decode(data)
        except exceptions.ProtocolError as error:
            peer = link.peer.instance
            logger.warning("{}: {}: {}", PART, peer, error)
            return
        now = self.clock()
        self.on_event(
            events.PeerMessageReceived(now, link.peer.instance, message)
        )


def _ended(link: links.Link) -> None:
    """Takes in the end of a link; the next message opens another."""
    logger.info("{}: link with {} ended", PART, link.peer.instance)
