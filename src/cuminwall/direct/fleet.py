"""Messages between instances, over mutually authenticated links."""

from collections.abc import Callable
from typing import Any

from loguru import logger

from cuminwall import exceptions, links, peers
from cuminwall.direct import events, messages, state

PART = "fleet"


class Fleet:
    """The links of this instance.

    Attributes:
      state: The state, for the other instances' addresses.
      on_event: Handles an event.
      clock: Returns the time for events.
      peers: The links to peers; None until the secret is known.
      listener: Accepts links from peers.
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
        """Starts to listen for links from peers and to open links to them."""
        if self.listener is not None:
            self.listener.close()
            await self.listener.wait_closed()
        state_ = self.state
        identity = links.Identity(state_.instance, state_.zone, secret)
        handler = links.LinkHandler(self._received, _handle_link_end)
        self.peers = peers.Peers(identity, self._address, handler, handler)
        try:
            self.listener = await links.listen(
                identity,
                state_.peer_host,
                state_.peer_port,
                self.peers.link_handler(),
            )
        except OSError as error:
            logger.error("{}: can't listen for peers: {!r}", PART, error)

    def send(self, instance: str, message: Any) -> None:
        """Sends a message; it is lost if the peer can't be reached."""
        if self.peers is not None:
            self.peers.send(instance, messages.CODEC.encode(message))

    async def close(self) -> None:
        """Closes every link."""
        if self.peers is not None:
            await self.peers.close()

    def _address(self, instance: str) -> tuple[str, int] | None:
        """Returns the host and port of an instance; None if unknown."""
        member = self.state.members.get(instance)
        return None if member is None else (member.host, member.port)

    def _received(self, link: links.Link, data: bytes) -> None:
        """Handles a message from a peer."""
        try:
            message = messages.CODEC.decode(data)
        except exceptions.ProtocolError as error:
            peer = link.peer.instance
            logger.warning("{}: {}: {}", PART, peer, error)
            return
        now = self.clock()
        self.on_event(
            events.PeerMessageReceived(
                now, link.peer.instance, message, len(data)
            )
        )


def _handle_link_end(link: links.Link) -> None:
    """Logs the end of a link; the next message opens another."""
    logger.info("{}: link with {} ended", PART, link.peer.instance)
