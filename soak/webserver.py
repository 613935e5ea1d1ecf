"""A minimal HTTP/1.1 server whose handler may answer late or never."""

import asyncio
import http
import urllib.parse
from collections.abc import Callable
from typing import NamedTuple, cast

HEAD_END = b"\r\n\r\n"
PACKET_BYTES = 8192  # What a slow link carries at once.


class Call(NamedTuple):
    """A call that a connection received.

    Attributes:
      method: The method.
      path: The path, without its query.
      query: The query's fields.
      headers: Names in lower case and values.
      body: The body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


Handler = Callable[["Connection", Call], None]


class Connection(asyncio.Protocol):
    """A connection, whose calls are handled one after the other.

    Attributes:
      handler: Handles a call; it answers with `answer`, now or later.
      on_lost: Called when the connection has ended.
      is_mute: Whether nothing is answered on it any more.
      link_bytes_per_s: What its link carries; 0 for any amount.
    """

    def __init__(
        self,
        handler: Handler,
        on_lost: Callable[["Connection"], None],
        link_bytes_per_s: float = 0.0,
    ):
        self.handler = handler
        self.on_lost = on_lost
        self.link_bytes_per_s = link_bytes_per_s
        self.is_mute = False
        self.received = bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Handles the calls that have arrived in full."""
        self.received += data
        while True:
            head_size = self.received.find(HEAD_END)
            if head_size < 0:
                return
            call = _parse_head(bytes(self.received[:head_size]))
            size = int(call.headers.get("content-length", 0))
            end = head_size + len(HEAD_END) + size
            if len(self.received) < end:
                return
            body = bytes(self.received[head_size + len(HEAD_END) : end])
            del self.received[:end]
            self.handler(self, call._replace(body=body))

    def connection_lost(self, error: Exception | None) -> None:
        """Tells the owner."""
        self.transport = None
        self.on_lost(self)

    def answer(self, status: int, body: bytes) -> None:
        """Sends an answer unless the connection has ended or is mute."""
        if self.transport is None or self.is_mute:
            return
        phrase = http.HTTPStatus(status).phrase
        head = (
            f"HTTP/1.1 {status} {phrase}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._send(head.encode() + body)

    def _send(self, data: bytes) -> None:
        """Sends bytes, as fast as the link carries them."""
        if self.transport is None or self.is_mute:
            return
        if not self.link_bytes_per_s or len(data) <= PACKET_BYTES:
            self.transport.write(data)
            return
        self.transport.write(data[:PACKET_BYTES])
        delay_s = PACKET_BYTES / self.link_bytes_per_s
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._send, data[PACKET_BYTES:])

    def abort(self) -> None:
        """Ends the connection at once."""
        if self.transport is not None:
            self.transport.abort()


def _parse_head(head: bytes) -> Call:
    """Returns the call that a head begins, without its body."""
    first, *rest = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    parts = urllib.parse.urlsplit(target)
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    query = dict(urllib.parse.parse_qsl(parts.query, True))
    return Call(method, parts.path, query, headers, b"")
