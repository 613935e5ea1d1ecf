"""Forwards rounds to other instances; implements both ends of a data link.

Flow control bounds how much of an answer the home sends before the entry
instance has passed it on, so that a slow caller fills neither the memory of
an instance nor the link.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from cuminwall import exceptions, frames, links, peers, work

PREFIX = "forwarding"

WINDOW_BYTES = 256 * 1024
CHUNK_BYTES = 64 * 1024


class ForwardedRound:
    """A round that was forwarded to a home.

    Attributes:
      round_: The caller's messages.
      sink: Receives the answer.
      home: The instance that runs the round.
      link: The link over which it was sent; None before that.
      delivered: Whether a part of the answer was passed to the caller.
      chunks: Frames of the answer that are not passed on yet.
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
    """Sends the answer of a round from its home to the entry instance.

    Attributes:
      link: The link to the entry instance.
      number: The round's number at the entry instance.
      unacknowledged_bytes: Bytes sent that the entry instance has not passed
        on yet.
      window_open: Set while `unacknowledged_bytes` is below WINDOW_BYTES.
    """

    __slots__ = ("link", "number", "unacknowledged_bytes", "window_open")

    def __init__(self, link: links.Link, number: int):
        self.link = link
        self.number = number
        self.unacknowledged_bytes = 0
        self.window_open = asyncio.Event()
        self.window_open.set()

    async def __call__(self, data: bytes) -> None:
        """Sends a part of the answer, waiting while the window is full."""
        for start in range(0, len(data), CHUNK_BYTES):
            part = data[start : start + CHUNK_BYTES]
            await self.window_open.wait()
            self.unacknowledged_bytes += len(part)
            if self.unacknowledged_bytes >= WINDOW_BYTES:
                self.window_open.clear()
            chunk = frames.Chunk(self.number, part)
            await self.link.send(frames.CODEC.encode(chunk))

    def acknowledge(self, size: int) -> None:
        """Opens the window by bytes that the entry instance passed on."""
        self.unacknowledged_bytes -= size
        if self.unacknowledged_bytes < WINDOW_BYTES:
            self.window_open.set()

    def unblock(self) -> None:
        """Unblocks the sender after the link has ended."""
        self.unacknowledged_bytes = 0
        self.window_open.set()


AnswerCallback = Callable[[int, work.HomeAnswer], None]
LossCallback = Callable[[int, bool, bool], None]
ArrivalCallback = Callable[[work.RoundKey, frames.Run, work.Sink], None]


class Forwarder:
    """Forwards rounds to homes and receives rounds that this home runs.

    Attributes:
      peers: The links to other instances.
      on_answer: Called when a home has sent its whole answer.
      on_loss: Called when no answer will come: number, sent, delivered.
      on_arrival: Called with each round that this home is to run.
      forwarded: The forwarded rounds by number.
      sinks: The answers being sent from this home, by round.
      tasks: One task for each forwarded round.
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
        request: work.RoundRequest,
        round_: work.Round,
        sink: work.Sink,
    ) -> None:
        """Forwards a round to a home."""
        forwarded = ForwardedRound(round_, sink, home)
        self.forwarded[number] = forwarded
        run = frames.Run(number, request, round_)
        task = asyncio.create_task(self._exchange(number, forwarded, run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_notice(
        self, home: str, frame: frames.SessionGone | frames.Cancel
    ) -> None:
        """Sends a frame that needs no answer to a home."""
        assert self.peers is not None
        link = await self.peers.open_data(home)
        if link is not None:
            link.send_nowait(frames.CODEC.encode(frame))

    def send_end(self, key: work.RoundKey, answer: work.HomeAnswer) -> None:
        """Sends the end of an answer to the entry instance."""
        sink = self.sinks.pop(key, None)
        if sink is not None:
            end = frames.End(key.number, answer)
            sink.link.send_nowait(frames.CODEC.encode(end))

    def accept_round(self, link: links.Link, run: frames.Run) -> None:
        """Accepts a round that this home is to run."""
        key = work.RoundKey(link.peer.instance, run.number)
        sink = self.sinks[key] = RemoteSink(link, run.number)
        self.on_arrival(key, run, sink)

    def handle_answer_frame(self, frame: frames.Chunk | frames.End) -> None:
        """Queues a frame of an answer."""
        forwarded = self.forwarded.get(frame.number)
        if forwarded is not None:
            forwarded.chunks.put_nowait(frame)

    def handle_acknowledgement(
        self, link: links.Link, frame: frames.Acknowledged
    ) -> None:
        """Applies an acknowledgement of the entry instance."""
        sink = self.sinks.get(work.RoundKey(link.peer.instance, frame.number))
        if sink is not None:
            sink.acknowledge(frame.size)

    def link_ended(self, link: links.Link) -> None:
        """Unblocks the answers and fails the rounds that used a link."""
        for key, sink in list(self.sinks.items()):
            if sink.link is link:
                sink.unblock()
                del self.sinks[key]
        for forwarded in list(self.forwarded.values()):
            if forwarded.link is link:
                forwarded.chunks.put_nowait(frames.LINK_LOST)

    async def _exchange(
        self, number: int, forwarded: ForwardedRound, run: frames.Run
    ) -> None:
        """Sends a round to its home and passes the answer to the caller."""
        assert self.peers is not None
        link = await self.peers.open_data(forwarded.home)
        if link is None or not link.send_nowait(frames.CODEC.encode(run)):
            self._report_loss(number, forwarded, False)
            return
        forwarded.link = link
        while True:
            frame = await forwarded.chunks.get()
            if frame is frames.LINK_LOST:
                self._report_loss(number, forwarded, True)
                return
            if isinstance(frame, frames.End):
                self.forwarded.pop(number, None)
                self.on_answer(number, frame.answer)
                return
            forwarded.delivered = True
            await forwarded.sink(frame.data)
            acknowledgement = frames.Acknowledged(number, len(frame.data))
            link.send_nowait(frames.CODEC.encode(acknowledgement))

    def _report_loss(
        self, number: int, forwarded: ForwardedRound, was_sent: bool
    ) -> None:
        """Reports that no complete answer will come."""
        if self.forwarded.get(number) is forwarded:
            del self.forwarded[number]
        logger.info("{}: round {} lost at {}", PREFIX, number, forwarded.home)
        self.on_loss(number, was_sent, forwarded.delivered)


def decode(data: bytes) -> object:
    """Decodes a frame of a data link.

    Raises:
      exceptions.ProtocolError: The bytes are not such a frame.
    """
    frame = frames.CODEC.decode(data)
    if not isinstance(frame, frames.LINK_FRAMES):
        raise exceptions.ProtocolError(
            f"{type(frame).__name__} is not a frame of a data link"
        )
    return frame
