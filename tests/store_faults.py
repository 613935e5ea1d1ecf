"""Draws faults of the store, the links and the processes by a seed.

Faults come in bursts, in which they overlap. Quiet times follow, long enough
for all instances to be in touch again. Changes come all the time.
"""

import random
from collections.abc import Callable
from typing import Any

from tests import store_model

BURST_S = 4.0  # In which faults begin.
MAX_FAULTS = 5  # In one burst.
MAX_FAULT_S = 4.0
DEAF_S = 1.0
QUIET_S = 10.0  # After the last fault of a burst has ended.
MEAN_CHANGES_S = (0.3, 1.0, 4.0)  # Between changes; one is drawn for a run.
ZONES = ("z2", "z3")
# A new configuration makes those that lack it read all, so that it hides that
# other changes are missed.
CHANGE_KINDS = (("config", "zone", "entry"), ("zone", "entry"), ("config",))


class Plan:
    """Faults and changes of one run.

    Attributes:
      world: The world.
      random: Draws them.
      kinds: The faults to draw from.
      mean_change_s: The mean time between two changes.
      change_kinds: The changes to draw from.
      entries: How many entries were written.
    """

    def __init__(
        self,
        world: store_model.StoreWorld,
        seed: int,
        kinds: tuple[str, ...],
    ):
        self.world = world
        self.random = random.Random(seed)
        self.kinds = kinds
        self.mean_change_s = self.random.choice(MEAN_CHANGES_S)
        self.change_kinds = self.random.choice(CHANGE_KINDS)
        self.entries = 0

    def run(self, bursts: int, quiet_s: float = QUIET_S) -> None:
        """Runs a number of bursts, each with a quiet time."""
        self._change()
        for _ in range(bursts):
            for _ in range(self.random.randint(1, MAX_FAULTS)):
                kind = self.random.choice(self.kinds)
                delay_s = self.random.uniform(0.0, BURST_S)
                self._schedule(delay_s, _FAULTS[kind])
            self.world.run(BURST_S + MAX_FAULT_S + quiet_s)

    def _schedule(
        self, delay_s: float, fault: Callable[["Plan"], None]
    ) -> None:
        self.world.schedule(delay_s, lambda: fault(self))

    def _change(self) -> None:
        """Makes one change, and more later."""
        world = self.world
        if world.is_over:
            return
        delay_s = self.random.expovariate(1 / self.mean_change_s)
        world.schedule(delay_s, self._change)
        kind = self.random.choice(self.change_kinds)
        if world.store.is_silent or world.store.is_busy:
            # The store would not acknowledge it.
            return
        if kind == "config":
            world.change_route()
        elif kind == "zone":
            is_out = self.random.random() < 0.5
            world.evacuate(self.random.choice(ZONES), is_out)
        else:
            self.entries += 1
            cold_s = float(self.entries % 2)
            world.write_entry(world.servers["q"], cold_s=cold_s)

    def _pick(self) -> store_model.ModelInstance:
        """Returns a living instance."""
        return self.random.choice(self.world.alive())

    def _impair_store(self, name: str) -> None:
        """Sets a flag of the store for some time."""
        world = self.world
        store = world.store
        if getattr(store, name):
            return
        setattr(store, name, True)
        world.impairment.count += 1
        seconds = self.random.uniform(0.2, MAX_FAULT_S)
        world.note("", f"fault: {name} for {seconds:.3f} s")

        def end() -> None:
            setattr(store, name, False)
            world.impairment.count -= 1
            world.impairment.ended_at = world.now

        world.schedule(seconds, end)

    def make_silent(self) -> None:
        """No call of the store is answered."""
        self._impair_store("is_silent")

    def make_busy(self) -> None:
        """The store refuses each call."""
        self._impair_store("is_busy")

    def make_slow(self) -> None:
        """Each call of the store takes long."""
        self._impair_store("is_slow")

    def drop_history(self) -> None:
        """The store drops its history."""
        world = self.world
        world.store.drop_history()
        world.impairment.ended_at = world.now
        world.note("", "fault: history dropped")

    def cut_watches(self) -> None:
        """The calls that wait are cut."""
        self.world.store.cut_all()
        self.world.impairment.ended_at = self.world.now
        self.world.note("", "fault: watches cut")

    def restore(self) -> None:
        """The store is restored from a copy."""
        self.world.store.restore()
        self.world.impairment.ended_at = self.world.now
        self.world.note("", "fault: restored")

    def make_deaf(self) -> None:
        """The watches report nothing, then the history is dropped."""
        store = self.world.store
        if store.is_deaf:
            return
        store.begin_deafness()
        ending = store_model.DeafnessEnd()
        self.world.schedule(DEAF_S, lambda: store.end_deafness(ending))

    def hang_watch(self) -> None:
        """The call of one instance that waits is never answered."""
        instance = self._pick()
        for waiter in self.world.wait_calls():
            if waiter.client is instance.client:
                waiter.is_hung = True
        instance.impairment.ended_at = self.world.now
        self.world.note(instance.name, "fault: watch hangs")

    def hang_watches(self) -> None:
        """No call that waits is ever answered."""
        self.world.hang_watches()

    def cut_from_store(self) -> None:
        """One instance can't reach the store."""
        instance = self._pick()
        if instance.is_store_cut:
            return
        instance.is_store_cut = True

        def end() -> None:
            instance.is_store_cut = False

        self._impair_instance(instance, "cut from the store", end)

    def pause(self) -> None:
        """One process does nothing for some time."""
        instance = self._pick()
        if not instance.running.is_set():
            return
        instance.pause()
        self._impair_instance(instance, "paused", instance.resume)

    def _impair_instance(
        self,
        instance: store_model.ModelInstance,
        text: str,
        end: Callable[[], Any],
    ) -> None:
        """Ends an impairment of an instance later."""
        world = self.world
        instance.impairment.count += 1
        seconds = self.random.uniform(0.2, MAX_FAULT_S)
        world.note(instance.name, f"fault: {text} for {seconds:.3f} s")

        def finish() -> None:
            end()
            instance.impairment.count -= 1
            instance.impairment.ended_at = world.now

        world.schedule(seconds, finish)

    def cut_from_coordinator(self) -> None:
        """Some instances and the coordinator can't reach each other."""
        coordinator = self._find_coordinator()
        if coordinator is None:
            return
        share = self.random.random()
        pairs = set()
        for instance in self.world.alive():
            if instance is coordinator or self.random.random() > share:
                continue
            pairs.add((instance.name, coordinator.name))
            pairs.add((coordinator.name, instance.name))
        self.world.cut_pairs |= pairs
        seconds = self.random.uniform(0.2, MAX_FAULT_S)
        text = f"fault: {len(pairs) // 2} cut from it for {seconds:.3f} s"
        self.world.note(coordinator.name, text)

        def end() -> None:
            self.world.cut_pairs -= pairs

        self.world.schedule(seconds, end)

    def kill_coordinator(self) -> None:
        """The coordinator ends, and starts again later."""
        coordinator = self._find_coordinator()
        if coordinator is None or len(self.world.alive()) < 3:
            return
        name = coordinator.name
        self.world.kill(name)
        seconds = self.random.uniform(0.2, MAX_FAULT_S)
        self.world.schedule(seconds, lambda: self._restart(name))

    def _restart(self, name: str) -> None:
        """Starts an instance again."""
        if not self.world.instances[name].is_alive:
            self.world.start(name)
            self.world.note(name, "started")

    def _find_coordinator(self) -> store_model.ModelInstance | None:
        """Returns the coordinator, or None."""
        for instance in self.world.alive():
            if instance.state.own_lease.epoch:
                return instance
        return None


_FAULTS: dict[str, Callable[[Plan], None]] = {
    "silent": Plan.make_silent,
    "busy": Plan.make_busy,
    "slow": Plan.make_slow,
    "history": Plan.drop_history,
    "watches_cut": Plan.cut_watches,
    "restore": Plan.restore,
    "deaf": Plan.make_deaf,
    "hang": Plan.hang_watch,
    "hang_all": Plan.hang_watches,
    "store_cut": Plan.cut_from_store,
    "pause": Plan.pause,
    "coordinator_cut": Plan.cut_from_coordinator,
    "coordinator_end": Plan.kill_coordinator,
}

ALL = tuple(_FAULTS)
# Without answers that pass changes over, which no interface allows.
ALLOWED = tuple(kind for kind in ALL if kind != "deaf")
# Those in which the store is not impaired.
CALM = (
    "hang_all",
    "hang",
    "store_cut",
    "pause",
    "coordinator_cut",
    "coordinator_end",
)
