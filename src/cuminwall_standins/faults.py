"""The fault switches of one backend server."""

import asyncio


class Faults:
    """What is wrong with the server at present.

    Attributes:
      thawed: Set unless the server makes no progress on any connection.
      answer_delay_s: How long each answer is delayed, in seconds.
      held_answers: How many of the next answers are held back.
      hold_s: How long each of them is held back, in seconds.
      are_clients_cut: Whether client connections are refused.
      cut_members: The members with which there is no replication.
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
        """Waits as long as the next answer is to be delayed."""
        await self.wait_thawed()
        delay_s = self.answer_delay_s
        if self.held_answers > 0:
            self.held_answers -= 1
            delay_s += self.hold_s
        if delay_s > 0:
            await asyncio.sleep(delay_s)
            await self.wait_thawed()
