"""Rounds that run on another instance: both ends of the data links.

The entry instance bounds what the home may send ahead of what the caller has
taken, so that a slow caller fills neither instance's memory nor the link.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from cuminwall import exceptions, frames, links, peers, work

PREFIX = "forwarding"

WINDOW_BYTES = 256 * 1024
CHUNK_BYTES = 64 * 1024


class ForwardedRound:
    """A round that was sent to a home.

    Attributes:
      round_: The caller's messages.
      sink: Takes the answer.
      home: The home.
      link: The link it went over, or None before.
      delivered: Whether a byte of the answer came.
      chunks: Parts of the answer that the caller has not taken.
    """

    __slots__ = ("round_", "sink", "home", "link", "delivered", "chunks")

    def __init__(self, round_: work.Round, sink: work.Sink, home: str):
        self.round_ = round_
        self.sink = sink
        self.home = home
        self.link: links.Link | None = None
        self.delivered = False
        self.chunks: asyncio.Queue[frames.Chunk | frames.End] = asyncio.Queue()


class RemoteSink:
    """Takes the answer of a round at its home and sends it on.

    Attributes:
      link: The link to the entry instance.
      number: The work's number there.
      unacknowledged_bytes: Bytes sent that the entry instance has not passed on.
    """

    __slots__ = ("link", "number", "unacknowledged_bytes", "window_open")

    def __init__(self, link: links.Link, number: int):
        self.link = link
        self.number = number
        self.unacknowledged_bytes = 0
        self.window_open = asyncio.Event()
        self.window_open.set()

    async def __call__(self, data: bytes) -> None:
        """Sends a part of the answer, once there is room for it."""
        for start in range(0, len(data), CHUNK_BYTES):
            part = data[start : start + CHUNK_BYTES]
            await self.window_open.wait()
            self.unacknowledged_bytes += len(part)
            if self.unacknowledged_bytes >= WINDOW_BYTES:
                self.window_open.clear()
            chunk = frames.Chunk(self.number, part)
            await self.link.put(frames.CODEC.encode(chunk))

    def acknowledge(self, size: int) -> None:
        """Notes that the entry instance has passed on `size` bytes."""
        self.unacknowledged_bytes -= size
        if self.unacknowledged_bytes < WINDOW_BYTES:
            self.window_open.set()

    def unblock(self) -> None:
        """Lets the rest go, when nobody takes it any more."""
        self.unacknowledged_bytes = 0
        self.window_open.set()


AnswerCallback = Callable[[int, work.HomeAnswer], None]
LossCallback = Callable[[int, bool, bool], None]
ArrivalCallback = Callable[[work.RoundKey, frames.Run, work.Sink], None]


class Forwarder:
    """Sends rounds to homes and takes rounds for this one.

    Attributes:
      peers: The links.
      on_answer: Told of a home's answer.
      on_loss: Told that a home went silent: number, sent, delivered.
      on_arrival: Told of a round for this home.
      forwarded: The rounds at homes, by number.
      sinks: The answers under way from here, by work.
    """

    def __init__(
        self,
        on_answer: AnswerCallback,
        on_loss: LossCallback,
        on_arrival: ArrivalCallback,
    ):
        self.peers: peers.Peers | None = None
        self.on_answer = on_answer
        self.on_loss = on_loss
        self.on_arrival = on_arrival
        self.forwarded: dict[int, ForwardedRound] = {}
        self.sinks: dict[work.RoundKey, RemoteSink] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def dispatch(
        self,
        number: int,
        home: str,
        order: work.RoundRequest,
        round_: work.Round,
        sink: work.Sink,
    ) -> None:
        """Sends a round to a home."""
        sent = ForwardedRound(round_, sink, home)
        self.forwarded[number] = sent
        run = frames.Run(number, order, round_)
        task = asyncio.create_task(self._carry(number, sent, run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_notice(
        self, home: str, frame: frames.SessionGone | frames.Cancel
    ) -> None:
        """Sends a short notice to a home."""
        assert self.peers is not None
        link = await self.peers.open_data(home)
        if link is not None:
            link.post(frames.CODEC.encode(frame))

    def send_end(self, key: work.RoundKey, answer: work.HomeAnswer) -> None:
        """Sends the end of an answer to the entry instance."""
        sink = self.sinks.pop(key, None)
        if sink is not None:
            end = frames.End(key.number, answer)
            sink.link.post(frames.CODEC.encode(end))

    def accept_round(self, link: links.Link, run: frames.Run) -> None:
        """Takes a round for this home."""
        key = work.RoundKey(link.peer.instance, run.number)
        sink = self.sinks[key] = RemoteSink(link, run.number)
        self.on_arrival(key, run, sink)

    def handle_answer_frame(self, frame: frames.Chunk | frames.End) -> None:
        """Takes a part of an answer."""
        sent = self.forwarded.get(frame.number)
        if sent is not None:
            sent.chunks.put_nowait(frame)

    def handle_acknowledgement(
        self, link: links.Link, frame: frames.Acknowledged
    ) -> None:
        """Notes that more of an answer was passed on."""
        sink = self.sinks.get(work.RoundKey(link.peer.instance, frame.number))
        if sink is not None:
            sink.acknowledge(frame.size)

    def link_ended(self, link: links.Link) -> None:
        """Ends what went over a link."""
        for key, sink in list(self.sinks.items()):
            if sink.link is link:
                sink.unblock()
                del self.sinks[key]
        for sent in list(self.forwarded.values()):
            if sent.link is link:
                sent.chunks.put_nowait(frames.LINK_LOST)

    async def _carry(
        self, number: int, sent: ForwardedRound, run: frames.Run
    ) -> None:
        """Sends a round and passes its answer on."""
        assert self.peers is not None
        link = await self.peers.open_data(sent.home)
        if link is None or not link.post(frames.CODEC.encode(run)):
            self._give_up(number, sent, False)
            return
        sent.link = link
        while True:
            frame = await sent.chunks.get()
            if frame is frames.LINK_LOST:
                self._give_up(number, sent, True)
                return
            if isinstance(frame, frames.End):
                self.forwarded.pop(number, None)
                self.on_answer(number, frame.answer)
                return
            sent.delivered = True
            await sent.sink(frame.data)
            took = frames.Acknowledged(number, len(frame.data))
            link.post(frames.CODEC.encode(took))

    def _give_up(
        self, number: int, sent: ForwardedRound, was_sent: bool
    ) -> None:
        """Tells that no answer will come."""
        if self.forwarded.get(number) is sent:
            del self.forwarded[number]
        logger.info("{}: {} is lost at {}", PREFIX, number, sent.home)
        self.on_loss(number, was_sent, sent.delivered)


def decode(data: bytes) -> object:
    """Returns a frame.

    Raises:
      exceptions.ProtocolError: The bytes are no frame.
    """
    frame = frames.CODEC.decode(data)
    if not isinstance(frame, frames.LINK_FRAMES):
        raise exceptions.ProtocolError("not a frame of its own")
    return frame
