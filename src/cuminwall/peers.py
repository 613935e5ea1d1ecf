"""Keeps the links to other instances.

A link is opened on first use and closed when the peer closes it. Messages to
an unreachable peer are dropped: every exchange of the reducer is retried or
has a timeout.
"""

import asyncio
import collections
from collections.abc import Callable, Coroutine

from loguru import logger

from cuminwall import exceptions, links

PREFIX = "links"

MAX_WAITING = 1000
RETRY_PAUSE_S = 0.2

AddressLookup = Callable[[str], tuple[str, int] | None]


class Peers:
    """The links to other instances.

    Attributes:
      identity: This instance.
      address: Looks up an instance's host and port.
      control: The handler of control links.
      data: The handler of data links.
      outgoing: Links that this side opened, by instance and kind.
      incoming: Links that peers opened.
      waiting_messages: Control messages that wait for a link, by instance.
      opening: The links being opened.
      paused_until: When an unreachable peer may be tried again.
      tasks: Tasks that open or serve links.
    """

    def __init__(
        self,
        identity: links.Identity,
        address: AddressLookup,
        control: links.LinkHandler,
        data: links.LinkHandler,
    ):
        self.identity = identity
        self.address = address
        self.control = control
        self.data = data
        self.outgoing: dict[tuple[str, str], links.Link] = {}
        self.incoming: set[links.Link] = set()
        self.waiting_messages: dict[str, collections.deque[bytes]] = {}
        self.opening: dict[tuple[str, str], asyncio.Task[links.Link | None]]
        self.opening = {}
        self.paused_until: dict[str, float] = {}
        self.tasks: set[asyncio.Task] = set()

    def send(self, instance: str, data: bytes) -> None:
        """Sends a control message, opening the link if necessary."""
        link = self.outgoing.get((instance, links.CONTROL))
        if link is not None:
            link.send_nowait(data)
            return
        queue = self.waiting_messages.get(instance)
        if queue is None:
            queue = self.waiting_messages[instance] = collections.deque(
                maxlen=MAX_WAITING
            )
        queue.append(data)
        self._spawn(self._open_control(instance))

    async def open_data(self, instance: str) -> links.Link | None:
        """Returns the data link to a peer, or None if it is unreachable."""
        return await self._open(instance, links.DATA)

    async def close(self) -> None:
        """Closes every link."""
        for task in list(self.tasks):
            task.cancel()
        for link in [*self.outgoing.values(), *self.incoming]:
            await link.close()

    def link_handler(self) -> links.LinkHandler:
        """Returns the handler of links, whichever side opened them."""
        return links.LinkHandler(self._handle_message, self._handle_end)

    def _handle_message(self, link: links.Link, data: bytes) -> None:
        key = (link.peer.instance, link.peer.kind)
        if self.outgoing.get(key) is not link:
            self.incoming.add(link)
        self._handler_of(link).on_received(link, data)

    def _handle_end(self, link: links.Link) -> None:
        key = (link.peer.instance, link.peer.kind)
        if self.outgoing.get(key) is link:
            del self.outgoing[key]
        self.incoming.discard(link)
        self._handler_of(link).on_ended(link)

    def _handler_of(self, link: links.Link) -> links.LinkHandler:
        if link.peer.kind == links.DATA:
            return self.data
        return self.control

    async def _open_control(self, instance: str) -> None:
        """Opens a control link and sends the messages that wait for it."""
        link = await self._open(instance, links.CONTROL)
        queue = self.waiting_messages.pop(instance, None)
        if link is None or queue is None:
            return
        for data in queue:
            link.send_nowait(data)

    async def _open(self, instance: str, kind: str) -> links.Link | None:
        """Returns a link; concurrent calls share one attempt to open it."""
        key = (instance, kind)
        link = self.outgoing.get(key)
        if link is not None:
            return link
        task = self.opening.get(key)
        if task is None:
            task = asyncio.create_task(self._connect(instance, kind))
            self.opening[key] = task
            task.add_done_callback(lambda _: self.opening.pop(key, None))
        return await asyncio.shield(task)

    async def _connect(self, instance: str, kind: str) -> links.Link | None:
        """Opens a link, unless an attempt failed a moment ago."""
        endpoint = self.address(instance)
        now = asyncio.get_running_loop().time()
        if endpoint is None or now < self.paused_until.get(instance, 0.0):
            return None
        try:
            link, task = await links.connect(
                self.identity,
                endpoint[0],
                endpoint[1],
                kind,
                self.link_handler(),
            )
        except exceptions.ConnectionLostError as error:
            logger.debug("{}: {} unreachable: {}", PREFIX, instance, error)
            self.paused_until[instance] = now + RETRY_PAUSE_S
            return None
        self.paused_until.pop(instance, None)
        if link.peer.instance != instance:
            logger.info(
                "{}: {} answers at the address of {}",
                PREFIX,
                link.peer.instance,
                instance,
            )
            await link.close()
            return None
        self.outgoing[(instance, kind)] = link
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return link

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
