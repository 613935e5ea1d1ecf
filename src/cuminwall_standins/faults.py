"""The faults injected into one backend server."""

import asyncio


class Faults:
    """The faults that are active.

    Attributes:
      thawed: Cleared while the server is frozen on all connections.
      answer_delay_s: The delay of each answer, in seconds.
      held_answers: How many of the next answers get a further delay.
      hold_s: That further delay, in seconds.
      are_clients_cut: Whether client connections are refused.
      cut_members: The members with which replication is interrupted.
    """

    def __init__(self) -> None:
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.answer_delay_s = 0.0
        self.held_answers = 0
        self.hold_s = 0.0
        self.are_clients_cut = False
        self.cut_members: frozenset[str] = frozenset()

    async def wait_thawed(self) -> None:
        """Waits while the server is frozen."""
        if not self.thawed.is_set():
            await self.thawed.wait()

    async def delay_answer(self) -> None:
        """Waits for the delay of the next answer."""
        await self.wait_thawed()
        delay_s = self.answer_delay_s
        if self.held_answers > 0:
            self.held_answers -= 1
            delay_s += self.hold_s
        if delay_s > 0:
            await asyncio.sleep(delay_s)
            await self.wait_thawed()
