"""Connections between instances: websockets that carry CBOR.

Two links lead to each peer, one for control and one for data, so that a long
answer does not hold up a lease. Each side proves that it knows the fleet's
secret by an HMAC over the other's nonce before anything else is taken.
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
    """This instance, towards its peers.

    Attributes:
      instance: Its id.
      zone: Its availability zone.
      secret: The fleet's secret.
    """

    instance: str
    zone: str
    secret: bytes


class Link:
    """One authenticated connection to a peer.

    Attributes:
      peer: The other end.
      connection: The websocket.
      outgoing: Messages that wait to be sent; None ends the link.
      ended: Whether nothing is sent any more.
    """

    def __init__(self, peer: Peer, connection: Connection):
        self.peer = peer
        self.connection = connection
        self.outgoing: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED)
        self.ended = False

    def send_nowait(self, data: bytes) -> bool:
        """Queues a message; returns False if the peer takes none any more.

        A peer that leaves so much unread that the queue is full is cut off.
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
        """Queues a message once there is room; drops it on an ended link."""
        if not self.ended:
            await self.outgoing.put(data)

    def end(self) -> None:
        """Takes no more messages and cuts the connection."""
        self.ended = True
        while not self.outgoing.empty():
            self.outgoing.get_nowait()
        self.connection.transport.abort()

    async def send_queued(self) -> None:
        """Sends what is queued until the link ends."""
        while True:
            data = await self.outgoing.get()
            if data is None:
                return
            await self.connection.send(data)

    async def close(self) -> None:
        """Ends the link."""
        await self.connection.close()


OnReceived = Callable[[Link, bytes], None]
OnEnded = Callable[[Link], None]


class LinkHandler(NamedTuple):
    """What happens with a link.

    Attributes:
      on_received: Called with each message.
      on_ended: Called once when the link is over.
    """

    on_received: OnReceived
    on_ended: OnEnded


Listener = websockets.asyncio.server.Server


def listening_port(listener: Listener) -> int:
    """Returns the port that a listener has."""
    return next(iter(listener.sockets)).getsockname()[1]


async def listen(
    identity: Identity, host: str, port: int, handler: LinkHandler
) -> Listener:
    """Takes links from peers."""

    async def serve(connection: Connection) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                peer = await _accept(identity, connection)
        except (
            TimeoutError,
            WebSocketException,
            exceptions.ProtocolError,
        ) as error:
            logger.warning("{}: a link was refused: {!r}", LOG_PREFIX, error)
            return
        await _carry(Link(peer, connection), handler)

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
    """Opens a link; the task ends when the link does.

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
            peer = await _introduce(identity, connection, kind)
    except (
        OSError,
        TimeoutError,
        WebSocketException,
        exceptions.ProtocolError,
    ) as error:
        raise exceptions.ConnectionLostError(repr(error)) from error
    link = Link(peer, connection)
    return link, asyncio.create_task(_carry(link, handler))


async def _carry(link: Link, handler: LinkHandler) -> None:
    """Carries messages both ways until the link ends."""
    sender = asyncio.create_task(link.send_queued())
    try:
        async for data in link.connection:
            if isinstance(data, bytes):
                handler.on_received(link, data)
    except (WebSocketException, exceptions.ProtocolError) as error:
        logger.info("{}: {} ended: {!r}", LOG_PREFIX, link.peer, error)
    finally:
        sender.cancel()
        with contextlib.suppress(asyncio.CancelledError, WebSocketException):
            await sender
        link.end()
        handler.on_ended(link)
        await link.close()


async def _introduce(
    identity: Identity, connection: Connection, kind: str
) -> Peer:
    """Proves this side and checks the other, as the side that connects."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = [identity.instance, identity.zone, kind, nonce]
    await connection.send(cbor2.dumps(hello))
    their_nonce, proof, instance, zone = await _receive(connection, 4)
    _check(identity, proof, nonce, instance)
    proof = _proof(identity.secret, their_nonce, identity.instance)
    await connection.send(cbor2.dumps([proof]))
    return Peer(instance, zone, kind)


async def _accept(identity: Identity, connection: Connection) -> Peer:
    """Proves this side and checks the other, as the side that listens."""
    instance, zone, kind, their_nonce = await _receive(connection, 4)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = _proof(identity.secret, their_nonce, identity.instance)
    hello = [nonce, proof, identity.instance, identity.zone]
    await connection.send(cbor2.dumps(hello))
    (proof,) = await _receive(connection, 1)
    _check(identity, proof, nonce, instance)
    return Peer(instance, zone, kind)


async def _receive(connection: Connection, count: int) -> list:
    """Returns the fields of a message of the handshake."""
    data = await connection.recv()
    if not isinstance(data, bytes):
        raise exceptions.ProtocolError("text in the handshake")
    try:
        fields = cbor2.loads(data)
    except cbor2.CBORDecodeError as error:
        raise exceptions.ProtocolError("malformed handshake") from error
    if not isinstance(fields, list) or len(fields) != count:
        raise exceptions.ProtocolError("malformed handshake")
    return fields


def _proof(secret: bytes, nonce: bytes, instance: str) -> bytes:
    """Returns the HMAC that shows knowledge of the secret."""
    return hmac.digest(secret, nonce + instance.encode(), hashlib.sha256)


def _check(
    identity: Identity, proof: bytes, nonce: bytes, instance: str
) -> None:
    """Raises ProtocolError unless the proof is right."""
    wanted = _proof(identity.secret, nonce, instance)
    if not hmac.compare_digest(proof, wanted):
        raise exceptions.ProtocolError(f"{instance} has another secret")
