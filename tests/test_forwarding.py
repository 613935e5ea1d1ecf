"""Tests of forwarded rounds, at both ends of a data link."""

import asyncio
import unittest

from cuminwall import forwarding, frames, work
from tests import harness

GUARD_S = 10.0
ROUND = work.Round(access=work.Access.WRITE, steps=(work.Step(b"x"),))
ANSWER = work.HomeAnswer(b"I", None, None, "sa", False)


class FakeLink:
    """A link that records what is sent over it.

    Attributes:
      sent: The frames.
      accepts: Whether the peer still accepts messages.
    """

    def __init__(self):
        self.sent = []
        self.accepts = True
        self.peer = harness.ports.InstanceRecord("b-0", "b", "", 0, False)

    def send_nowait(self, data):
        if self.accepts:
            self.sent.append(forwarding.decode(data))
        return self.accepts

    async def send(self, data):
        self.send_nowait(data)


class FakePeers:
    """Peers reached over the given link, or unreachable if it is None."""

    def __init__(self, link):
        self.link = link

    async def open_data(self, instance):
        return self.link


class EntryTest(unittest.IsolatedAsyncioTestCase):
    """The entry instance sends a round and passes the answer on."""

    def setUp(self):
        self.answers = []
        self.losses = []
        self.received = b""
        self.link = FakeLink()
        self.forwarder = forwarding.Forwarder(
            lambda number, answer: self.answers.append((number, answer)),
            lambda *loss: self.losses.append(loss),
            lambda key, run, sink: None,
        )
        self.forwarder.peers = FakePeers(self.link)

    async def sink(self, data):
        self.received += data

    def dispatch(self, number=1):
        self.forwarder.dispatch(
            number, "b-0", harness.make_request(), ROUND, self.sink
        )

    async def finish(self):
        """Waits until every round has ended."""
        async with asyncio.timeout(GUARD_S):
            while self.forwarder.tasks:
                await asyncio.sleep(0)

    async def until_sent(self, count):
        async with asyncio.timeout(GUARD_S):
            while len(self.link.sent) < count:
                await asyncio.sleep(0)

    async def test_an_answer_is_passed_on_whole(self):
        self.dispatch()
        await self.until_sent(1)
        for part in (b"one", b"two"):
            self.forwarder.handle_answer_frame(frames.Chunk(1, part))
        self.forwarder.handle_answer_frame(frames.End(1, ANSWER))
        await self.finish()
        self.assertEqual(self.received, b"onetwo")
        self.assertEqual(self.answers, [(1, ANSWER)])
        self.assertEqual(self.link.sent[1:], [frames.Acknowledged(1, 3)] * 2)

    async def test_answers_that_cross_reach_their_own_rounds(self):
        self.dispatch(1)
        self.dispatch(2)
        await self.until_sent(2)
        self.forwarder.handle_answer_frame(frames.End(2, ANSWER))
        self.forwarder.handle_answer_frame(frames.End(1, ANSWER))
        await self.finish()
        self.assertEqual(sorted(item[0] for item in self.answers), [1, 2])

    async def test_a_late_answer_is_dropped(self):
        self.forwarder.handle_answer_frame(frames.Chunk(9, b"late"))
        self.forwarder.handle_answer_frame(frames.End(9, ANSWER))
        self.assertEqual((self.received, self.answers), (b"", []))

    async def test_an_unreachable_home_was_not_sent_to(self):
        self.forwarder.peers = FakePeers(None)
        self.dispatch()
        await self.finish()
        self.assertEqual(self.losses, [(1, False, False)])

    async def test_a_link_that_takes_nothing_was_not_sent_to(self):
        self.link.accepts = False
        self.dispatch()
        await self.finish()
        self.assertEqual(self.losses, [(1, False, False)])

    async def test_a_link_that_ends_may_have_carried_the_round(self):
        self.dispatch()
        await self.until_sent(1)
        self.forwarder.link_ended(self.link)
        await self.finish()
        self.assertEqual(self.losses, [(1, True, False)])

    async def test_a_link_that_ends_amid_an_answer_loses_it_as_delivered(self):
        self.dispatch()
        await self.until_sent(1)
        self.forwarder.handle_answer_frame(frames.Chunk(1, b"part"))
        await self.until_sent(2)
        self.forwarder.link_ended(self.link)
        await self.finish()
        self.assertEqual(self.losses, [(1, True, True)])
        self.assertEqual(self.answers, [])


class HomeTest(unittest.IsolatedAsyncioTestCase):
    """The home bounds the unacknowledged bytes of an answer."""

    async def test_it_waits_while_the_window_is_full(self):
        link = FakeLink()
        sink = forwarding.RemoteSink(link, 1)
        size = 4 * forwarding.WINDOW_BYTES
        task = asyncio.create_task(sink(bytes(size)))
        await asyncio.sleep(0)
        sent = sum(len(frame.data) for frame in link.sent)
        self.assertEqual(sent, forwarding.WINDOW_BYTES)
        async with asyncio.timeout(GUARD_S):
            while not task.done():
                sink.acknowledge(forwarding.CHUNK_BYTES)
                await asyncio.sleep(0)
        sent = sum(len(frame.data) for frame in link.sent)
        self.assertEqual(sent, size)

    async def test_the_end_of_an_answer_is_sent_once(self):
        link = FakeLink()
        forwarder = forwarding.Forwarder(
            lambda *_: None, lambda *_: None, lambda *_: None
        )
        run = frames.Run(4, harness.make_request(), ROUND)
        forwarder.accept_round(link, run)
        key = work.RoundKey("b-0", 4)
        forwarder.send_end(key, ANSWER)
        forwarder.send_end(key, ANSWER)
        self.assertEqual(link.sent, [frames.End(4, ANSWER)])
