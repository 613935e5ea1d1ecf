"""Tests that an error in one event does not stop the engine of an instance."""

import asyncio
import socket
import time
import unittest
from typing import Any, cast
from unittest import mock

import uvloop

from cuminwall.direct import engine, events, journal, state
from cuminwall.direct.state import TimerKind


class ErrorTest(unittest.IsolatedAsyncioTestCase):
    """One event can't be handled."""

    def make_engine(self) -> engine.Engine:
        nothing = cast(Any, None)
        return engine.Engine(
            state.State("a", "z"),
            nothing,
            nothing,
            nothing,
            nothing,
            journal.Journal("a", call_later=lambda *_: None),
            None,
        )

    async def test_the_next_event_is_handled(self) -> None:
        made = self.make_engine()
        with mock.patch.object(engine.logger, "error") as logged:
            made.handle_event(cast(Any, events.PromotionOutcome(True, False)))
            made.handle_event(
                events.StoreStatusReported(engine.boot_clock(), True, "")
            )
        self.assertTrue(made.state.is_store_up)
        logged.assert_called_once()

    async def test_a_caller_whose_statement_failed_waits_for_ever(self) -> None:
        made = self.make_engine()
        made.callers = mock.Mock()
        now = engine.boot_clock()
        unknown = cast(Any, object())
        made.handle_event(events.CallerArrived(now, 7, "db", "key"))
        with mock.patch("cuminwall.direct.sessions.handle_statement", None):
            made.handle_event(events.StatementArrived(now, 7, unknown))
        made.callers.close.assert_called_once_with(7)

    async def test_a_malformed_peer_message_is_survived(self) -> None:
        made = self.make_engine()
        message = events.PeerMessageReceived(engine.boot_clock(), "b", object())
        made.handle_event(message)
        made.handle_event(
            events.StoreStatusReported(engine.boot_clock(), True, "")
        )
        self.assertTrue(made.state.is_store_up)

    async def test_other_timers_fire(self) -> None:
        made = self.make_engine()
        fired = asyncio.Event()
        calls: list[TimerKind] = []

        def handle(state_: Any, timer: Any, out: Any) -> None:
            calls.append(timer.kind)
            if timer.kind is TimerKind.TOKENS:
                raise RuntimeError("test")
            fired.set()

        now = engine.boot_clock()
        made.state.set_timer(now, TimerKind.TOKENS)
        made.state.set_timer(now, TimerKind.QUOTAS)
        with mock.patch("cuminwall.direct.timers.handle_timer", handle):
            made.handle_event(events.TimersDue(now))
            await asyncio.wait_for(fired.wait(), 1.0)
        self.assertEqual(calls, [TimerKind.TOKENS, TimerKind.QUOTAS])


class HeldUpTest(unittest.TestCase):
    """The process did not get the processor for a while."""

    def test_what_came_meanwhile_is_handled_before_overdue_timers(self) -> None:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            order = runner.run(self.hold_up())
        self.assertEqual(order, ["answer", "timer"])

    async def hold_up(self) -> list[str]:
        """Returns in which order an answer and a timer are handled."""
        loop = asyncio.get_running_loop()
        order: list[str] = []
        done = asyncio.Event()
        made = ErrorTest().make_engine()
        receiver, sender = socket.socketpair()

        def read() -> None:
            receiver.recv(1)
            order.append("answer")

        def handle(state_: Any, timer: Any, out: Any) -> None:
            order.append("timer")
            done.set()

        loop.add_reader(receiver, read)
        with mock.patch("cuminwall.direct.timers.handle_timer", handle):
            made.state.set_timer(engine.boot_clock() + 0.02, TimerKind.QUOTAS)
            made.handle_event(
                events.StoreStatusReported(engine.boot_clock(), True, "")
            )
            await asyncio.sleep(0)
            sender.send(b"x")
            time.sleep(0.3)
            await asyncio.wait_for(done.wait(), 1.0)
        loop.remove_reader(receiver)
        receiver.close()
        sender.close()
        return order


if __name__ == "__main__":
    unittest.main()
