"""Faults that can be injected into the stand-in platform."""

import asyncio
import enum
from typing import TypedDict


class Reachability(enum.Enum):
    """How calls are treated: answered, refused at once, or left waiting."""

    OK = "ok"
    REFUSE = "refuse"
    HANG = "hang"


class FaultsDocument(TypedDict, total=False):
    """The body of POST /faults; absent fields keep their values."""

    down: str
    cut_zones: dict[str, str]
    slow_s: float
    lose_answers: int
    lapse_leases: list[str]


class Signal:
    """Wakes all tasks that wait for the next change."""

    def __init__(self) -> None:
        self.changed = asyncio.Event()

    def notify(self) -> None:
        """Sets the current `changed` event and replaces it by a new one."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Faults:
    """The active faults.

    Attributes:
      down: How calls of all zones are treated.
      cut_zones: How calls from a zone are treated.
      slow_s: The delay before each call takes effect, in seconds.
      lose_answers: How many of the next writes get no answer.
    """

    def __init__(self, signal: Signal) -> None:
        self.signal = signal
        self.down = Reachability.OK
        self.cut_zones: dict[str, Reachability] = {}
        self.slow_s = 0.0
        self.lose_answers = 0

    def apply(self, document: FaultsDocument) -> None:
        """Sets the given fields; ValueError changes nothing."""
        down = Reachability(document.get("down", self.down.value))
        zones = self.cut_zones
        if "cut_zones" in document:
            given = document["cut_zones"]
            zones = {zone: Reachability(mode) for zone, mode in given.items()}
        slow_s = float(document.get("slow_s", self.slow_s))
        lose_answers = int(document.get("lose_answers", self.lose_answers))
        self.down, self.cut_zones = down, zones
        self.slow_s, self.lose_answers = slow_s, lose_answers
        self.signal.notify()

    def reachability(self, zone: str) -> Reachability:
        """Returns how calls from `zone` are treated now."""
        if self.down is not Reachability.OK:
            return self.down
        return self.cut_zones.get(zone, Reachability.OK)

    async def admit(self, zone: str) -> bool:
        """Waits while calls hang; returns False if the call is refused."""
        while True:
            changed = self.signal.changed
            reach = self.reachability(zone)
            if reach is not Reachability.HANG:
                return reach is Reachability.OK
            await changed.wait()

    def consume_lost_answer(self) -> bool:
        """Returns whether to drop the answer of a write, and counts it."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True
