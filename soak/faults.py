"""Carries out a plan: makes the store and the instances misbehave."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from soak import changes, daemons, plans, server_groups, timeline
from soak.store import Store

POLL_S = 0.005


class Faults:
    """Carries out the steps of a plan.

    Attributes:
      actions: What each kind of step does, given its duration.
      done: The steps that were begun: when, which and at which instance.
    """

    def __init__(
        self,
        store: Store,
        operator: changes.Operator,
        instances: list[daemons.Daemon],
        timeline_: timeline.Timeline,
        rng: random.Random,
        fleet: server_groups.Fleet,
        services: list[str],
    ):
        self.store = store
        self.fleet = fleet
        self.services = services
        self.operator = operator
        self.instances = instances
        self.timeline = timeline_
        self.rng = rng
        self.done: list[tuple[float, str, str]] = []
        self.actions: dict[str, Callable[[float], Awaitable[None]]] = {
            "change": self._change,
            "move": self._move,
            "grow": self._grow,
            "silent": self._be_silent,
            "silent_lapse": self._be_silent_and_lapse,
            "busy": self._be_busy,
            "busy_lapse": self._be_busy_and_lapse,
            "slow": self._be_slow,
            "deaf": self._be_deaf,
            "hang": self._hang,
            "dead_connections": self._silence_connections,
            "pause_coordinator": self._pause_coordinator,
            "remove_coordinator": self._remove_coordinator,
            "cut_coordinator": self._cut_coordinator,
            "kill_coordinator": self._kill_coordinator,
            "kill": self._kill,
            "pause": self._pause,
            "lose_primary": self._lose_primary,
        }

    async def run(self, steps: list[plans.Step]) -> None:
        """Carries out all steps at their times."""
        tasks = []
        for step in steps:
            due_at = self.timeline.began_at + step.at_s
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            action = self.actions[step.kind](step.for_s)
            tasks.append(asyncio.ensure_future(action))
        await asyncio.gather(*tasks)

    def _record(self, kind: str, subject: str = "") -> None:
        at_s = self.timeline.since_start(time.monotonic())
        self.done.append((at_s, kind, subject))

    @contextmanager
    def _impaired(self, kind: str, for_s: float) -> Iterator[None]:
        """Records that the store is impaired meanwhile."""
        now = time.monotonic()
        self._record(kind)
        self.timeline.add_impairment(timeline.EVERYONE, kind, now, now + for_s)
        yield
        # It may have lasted longer than planned.
        self.timeline.add_impairment(
            timeline.EVERYONE, kind, now, time.monotonic()
        )
        self._record(f"{kind} ended")

    async def _wait_for_store(self) -> None:
        """Waits until the store takes the operator's calls."""
        while self.store.is_silent or self.store.is_busy:
            await asyncio.sleep(POLL_S)

    async def _change(self, for_s: float) -> None:
        del for_s
        await self._wait_for_store()
        self.operator.change()

    async def _move(self, for_s: float) -> None:
        del for_s
        await self._wait_for_store()
        self.operator.move()

    async def _grow(self, for_s: float) -> None:
        del for_s
        await self._wait_for_store()
        self._record("grow")
        self.operator.grow()

    async def _be_silent(self, for_s: float) -> None:
        with self._impaired("silent", for_s):
            self.store.is_lease_time_stopped = True
            self.store.fall_silent()
            await asyncio.sleep(for_s)
            self.store.is_silent = False
            self.store.is_lease_time_stopped = False

    async def _be_silent_and_lapse(self, for_s: float) -> None:
        with self._impaired("silent_lapse", for_s):
            self.store.fall_silent()
            self.store.lapse_leases()
            await asyncio.sleep(for_s)
            self.store.is_silent = False

    async def _be_busy(self, for_s: float) -> None:
        with self._impaired("busy", for_s):
            self.store.is_busy = True
            self.store.is_lease_time_stopped = True
            await asyncio.sleep(for_s)
            self.store.is_busy = False
            self.store.is_lease_time_stopped = False

    async def _be_busy_and_lapse(self, for_s: float) -> None:
        with self._impaired("busy_lapse", for_s):
            self.store.is_busy = True
            self.store.lapse_leases()
            await asyncio.sleep(for_s)
            self.store.is_busy = False

    async def _be_slow(self, for_s: float) -> None:
        with self._impaired("slow", for_s):
            self.store.is_slow = True
            await asyncio.sleep(for_s)
            self.store.is_slow = False

    async def _be_deaf(self, for_s: float) -> None:
        """Changes the configuration while watches hear nothing."""
        with self._impaired("deaf", for_s):
            self.store.go_deaf()
            await asyncio.sleep(for_s / 2)
            await self._move(0.0)
            await asyncio.sleep(for_s / 2)
            self.store.hear_again()

    async def _hang(self, for_s: float) -> None:
        with self._impaired("hang", for_s):
            self.store.hang_watches()
            await asyncio.sleep(for_s)
            self.store.hangs_watches = False

    async def _silence_connections(self, for_s: float) -> None:
        with self._impaired("dead_connections", for_s):
            self.store.silence_connections()

    async def _kill_coordinator(self, for_s: float) -> None:
        del for_s
        name = self.store.find_coordinator()
        self._record("kill_coordinator", name)
        for instance in self.instances:
            if instance.name == name:
                await instance.kill()

    async def _remove_coordinator(self, for_s: float) -> None:
        del for_s
        name = self.store.find_coordinator()
        self._record("remove_coordinator", name)
        for instance in self.instances:
            if instance.name == name:
                instance.remove()

    async def _cut_coordinator(self, for_s: float) -> None:
        name = self.store.find_coordinator()
        self._record("cut_coordinator", name)
        for instance in self.instances:
            if instance.name == name:
                await instance.cut(for_s)

    async def _pause_coordinator(self, for_s: float) -> None:
        name = self.store.find_coordinator()
        self._record("pause_coordinator", name)
        for instance in self.instances:
            if instance.name == name:
                await instance.pause(for_s)

    async def _kill(self, for_s: float) -> None:
        del for_s
        instance = self.rng.choice(self.instances)
        self._record("kill", instance.name)
        await instance.kill()

    async def _pause(self, for_s: float) -> None:
        instance = self.rng.choice(self.instances)
        self._record("pause", instance.name)
        await instance.pause(for_s)

    async def _lose_primary(self, for_s: float) -> None:
        """Crashes the primary of a service; it comes back later."""
        primary = self.fleet.find_primary(self.rng.choice(self.services))
        if primary is None:
            return
        self._record("lose_primary", primary.name)
        primary.crash()
        await asyncio.sleep(for_s)
        await primary.restart()
        self._record("lose_primary ended", primary.name)
