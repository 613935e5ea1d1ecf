"""Connections between instances: CBOR messages over websockets.

There are two links to each peer, one for control and one for data, so that a
long answer does not delay lease messages. Before any other message, each side
proves that it knows the fleet's secret by an HMAC over the other's nonce.
"""

import asyncio
import contextlib
import hashlib
import hmac
import secrets
from collections.abc import Callable
from typing import NamedTuple

import cbor2
import websockets.asyncio.client
import websockets.asyncio.server
from loguru import logger
from websockets.asyncio.connection import Connection
from websockets.exceptions import WebSocketException

from cuminwall import exceptions

CONTROL = "control"
DATA = "data"

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 2.0
PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 2.0
CONTROL_MAX_BYTES = 1 << 20
DATA_MAX_BYTES = 80 << 20
MAX_QUEUED = 10_000
LOG_PREFIX = "links"


class Peer(NamedTuple):
    """The instance at the other end of a link."""

    instance: str
    zone: str
    kind: str


class Identity(NamedTuple):
    """How this instance identifies itself to its peers.

    Attributes:
      instance: Its id.
      zone: Its availability zone.
      secret: The fleet's secret.
    """

    instance: str
    zone: str
    secret: bytes


class Link:
    """An authenticated connection to a peer.

    Attributes:
      peer: The instance at the other end.
      connection: The websocket.
      outgoing: Messages to be sent; None stops sending.
      ended: Whether the link has ended and accepts no messages.
    """

    def __init__(self, peer: Peer, connection: Connection):
        self.peer = peer
        self.connection = connection
        self.outgoing: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED)
        self.ended = False

    def send_nowait(self, data: bytes) -> bool:
        """Queues a message; returns False if the link has ended.

        If the queue is full because the peer reads too slowly, the link is
        ended.
        """
        if self.ended:
            return False
        try:
            self.outgoing.put_nowait(data)
        except asyncio.QueueFull:
            self.end()
            return False
        return True

    async def send(self, data: bytes) -> None:
        """Waits for space and queues a message; drops it on an ended link."""
        if not self.ended:
            await self.outgoing.put(data)

    def end(self) -> None:
        """Drops queued messages and aborts the connection."""
        self.ended = True
        while not self.outgoing.empty():
            self.outgoing.get_nowait()
        self.connection.transport.abort()

    async def send_queued(self) -> None:
        """Sends queued messages until the link ends."""
        while True:
            data = await self.outgoing.get()
            if data is None:
                return
            await self.connection.send(data)

    async def close(self) -> None:
        """Closes the websocket."""
        await self.connection.close()


OnReceived = Callable[[Link, bytes], None]
OnEnded = Callable[[Link], None]


class LinkHandler(NamedTuple):
    """The callbacks of a link.

    Attributes:
      on_received: Called with each message.
      on_ended: Called once when the link has ended.
    """

    on_received: OnReceived
    on_ended: OnEnded


Listener = websockets.asyncio.server.Server


def listening_port(listener: Listener) -> int:
    """Returns the port of a listener."""
    return next(iter(listener.sockets)).getsockname()[1]


async def listen(
    identity: Identity, host: str, port: int, handler: LinkHandler
) -> Listener:
    """Listens for links from peers."""

    async def serve(connection: Connection) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                peer = await _accept_handshake(identity, connection)
        except (
            TimeoutError,
            WebSocketException,
            exceptions.ProtocolError,
        ) as error:
            logger.warning("{}: refused a link: {!r}", LOG_PREFIX, error)
            return
        await _run_link(Link(peer, connection), handler)

    return await websockets.asyncio.server.serve(
        serve,
        host,
        port,
        compression=None,
        max_size=DATA_MAX_BYTES,
        ping_interval=PING_INTERVAL_S,
        ping_timeout=PING_TIMEOUT_S,
    )


async def connect(
    identity: Identity,
    host: str,
    port: int,
    kind: str,
    handler: LinkHandler,
) -> tuple[Link, asyncio.Task[None]]:
    """Opens a link; returns it and a task that runs until the link ends.

    Raises:
      exceptions.ConnectionLostError: The peer cannot be reached.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            connection = await websockets.asyncio.client.connect(
                f"ws://{host}:{port}/",
                compression=None,
                max_size=DATA_MAX_BYTES,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_TIMEOUT_S,
                proxy=None,
            )
            peer = await _connect_handshake(identity, connection, kind)
    except (
        OSError,
        TimeoutError,
        WebSocketException,
        exceptions.ProtocolError,
    ) as error:
        raise exceptions.ConnectionLostError(repr(error)) from error
    link = Link(peer, connection)
    return link, asyncio.create_task(_run_link(link, handler))


async def _run_link(link: Link, handler: LinkHandler) -> None:
    """Sends and receives messages until the link ends."""
    sender = asyncio.create_task(link.send_queued())
    try:
        async for data in link.connection:
            if isinstance(data, bytes):
                handler.on_received(link, data)
    except (WebSocketException, exceptions.ProtocolError) as error:
        logger.info("{}: link to {} ended: {!r}", LOG_PREFIX, link.peer, error)
    finally:
        sender.cancel()
        with contextlib.suppress(asyncio.CancelledError, WebSocketException):
            await sender
        link.end()
        handler.on_ended(link)
        await link.close()


async def _connect_handshake(
    identity: Identity, connection: Connection, kind: str
) -> Peer:
    """Performs the handshake, as the side that connects."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = [identity.instance, identity.zone, kind, nonce]
    await connection.send(cbor2.dumps(hello))
    their_nonce, proof, instance, zone = await _receive_fields(connection, 4)
    _check_proof(identity, proof, nonce, instance)
    proof = _proof(identity.secret, their_nonce, identity.instance)
    await connection.send(cbor2.dumps([proof]))
    return Peer(instance, zone, kind)


async def _accept_handshake(identity: Identity, connection: Connection) -> Peer:
    """Performs the handshake, as the side that listens."""
    instance, zone, kind, their_nonce = await _receive_fields(connection, 4)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = _proof(identity.secret, their_nonce, identity.instance)
    hello = [nonce, proof, identity.instance, identity.zone]
    await connection.send(cbor2.dumps(hello))
    (proof,) = await _receive_fields(connection, 1)
    _check_proof(identity, proof, nonce, instance)
    return Peer(instance, zone, kind)


async def _receive_fields(connection: Connection, count: int) -> list:
    """Returns the fields of a handshake message."""
    data = await connection.recv()
    if not isinstance(data, bytes):
        raise exceptions.ProtocolError("text message in the handshake")
    try:
        fields = cbor2.loads(data)
    except cbor2.CBORDecodeError as error:
        raise exceptions.ProtocolError("malformed handshake") from error
    if not isinstance(fields, list) or len(fields) != count:
        raise exceptions.ProtocolError("malformed handshake")
    return fields


def _proof(secret: bytes, nonce: bytes, instance: str) -> bytes:
    """Returns the HMAC that proves knowledge of the secret."""
    return hmac.digest(secret, nonce + instance.encode(), hashlib.sha256)


def _check_proof(
    identity: Identity, proof: bytes, nonce: bytes, instance: str
) -> None:
    """Raises ProtocolError unless the proof is valid."""
    expected = _proof(identity.secret, nonce, instance)
    if not hmac.compare_digest(proof, expected):
        raise exceptions.ProtocolError(
            f"{instance} has a different fleet secret"
        )
