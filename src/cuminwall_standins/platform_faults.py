"""Faults that the stand-in platform shows when told to."""

import asyncio
import enum
from typing import TypedDict


class Reachability(enum.Enum):
    """How a caller fares: answered, cut off at once, or left waiting."""

    OK = "ok"
    REFUSE = "refuse"
    HANG = "hang"


class FaultsDocument(TypedDict, total=False):
    """The body of POST /faults; fields left out stay as they are."""

    down: str
    cut_zones: dict[str, str]
    slow_s: float
    lose_answers: int
    lapse_leases: list[str]


class Signal:
    """Wakes all who wait for the next change."""

    def __init__(self) -> None:
        self.changed = asyncio.Event()

    def notify(self) -> None:
        """Wakes everyone who took `changed` before this call."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Faults:
    """The faults in force.

    Attributes:
      down: How every caller fares.
      cut_zones: How the callers of a zone fare.
      slow_s: The delay before each call takes effect, in seconds.
      lose_answers: How many of the next writes go without an answer.
    """

    def __init__(self, signal: Signal) -> None:
        self.signal = signal
        self.down = Reachability.OK
        self.cut_zones: dict[str, Reachability] = {}
        self.slow_s = 0.0
        self.lose_answers = 0

    def apply(self, document: FaultsDocument) -> None:
        """Puts the given fields in force; ValueError leaves all as it was."""
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
        """Returns how a caller of `zone` fares now."""
        if self.down is not Reachability.OK:
            return self.down
        return self.cut_zones.get(zone, Reachability.OK)

    async def admit(self, zone: str) -> bool:
        """Waits out a hang; returns False if the caller is cut off."""
        while True:
            changed = self.signal.changed
            reach = self.reachability(zone)
            if reach is not Reachability.HANG:
                return reach is Reachability.OK
            await changed.wait()

    def consume_lost_answer(self) -> bool:
        """Returns whether the answer of the write just done is lost."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True
