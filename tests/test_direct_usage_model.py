"""A model: usage is reported while everything around it fails.

Whatever happens, the platform accepts one report for a window, each fencing
token has one holder, holders don't take turns within the lease, and no
workspace is reported that did not run as much.
"""

import unittest

import hypothesis
from hypothesis import stateful, strategies

from cuminwall.direct import events
from tests import usage_world

NAMES = ("a", "b", "c")
ANY_NAME = strategies.sampled_from(NAMES)
# Of a clock; more would move a count by over a window.
STEPS_S = strategies.sampled_from((-1.5, 0.0, 1.5))
FAULTS = strategies.sampled_from(("lost", "late", "silent"))
SECONDS = strategies.sampled_from((0.05, 0.4, 1.0, 2.0, 4.0))
TAKEOVER_S = 1.5  # By which another coordinates.


class UsageMachine(stateful.RuleBasedStateMachine):
    """Instances whose coordinator and platform fail in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = usage_world.UsageWorld(NAMES)
        self.world.run(4.0)
        self.world.start_callers()
        self.world.run(5.0)

    def name_of(self, name: str, is_coordinator: bool) -> str:
        """Returns an instance, or the one that coordinates now."""
        if is_coordinator:
            for instance in self.world.instances.values():
                if instance.is_alive and instance.state.own_lease.epoch:
                    return instance.name
        return name

    @stateful.rule(seconds=SECONDS)
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.world.run(seconds)

    @stateful.rule(name=ANY_NAME, is_coordinator=strategies.booleans())
    def kill(self, name: str, is_coordinator: bool) -> None:
        """A process is killed."""
        self.world.kill(self.name_of(name, is_coordinator))
        self.world.run(TAKEOVER_S)

    @stateful.rule(name=ANY_NAME)
    def hand_over(self, name: str) -> None:
        """The coordinator is told to shut down, and starts again."""
        name = self.name_of(name, True)
        event = events.ShutdownRequested(self.world.now)
        self.world.instances[name].handle_event(event)
        self.world.run(0.3)
        self.world.kill(name)
        self.world.start(name)
        self.world.run(0.3)

    @stateful.rule(name=ANY_NAME)
    def restart(self, name: str) -> None:
        """A process that was killed starts again."""
        if not self.world.instances[name].is_alive:
            self.world.start(name)

    @stateful.rule(name=ANY_NAME, is_coordinator=strategies.booleans())
    def freeze(self, name: str, is_coordinator: bool) -> None:
        """A machine stands still."""
        name = self.name_of(name, is_coordinator)
        if self.world.instances[name].is_alive:
            self.world.frozen.setdefault(name, [])
            self.world.run(TAKEOVER_S)

    @stateful.rule(name=ANY_NAME)
    def thaw(self, name: str) -> None:
        """It goes on."""
        self.world.thaw(name)

    @stateful.rule(name=ANY_NAME, is_coordinator=strategies.booleans())
    def cut(self, name: str, is_coordinator: bool) -> None:
        """A machine is cut off from the others, or the cut heals."""
        instance = self.world.instances[self.name_of(name, is_coordinator)]
        instance.is_isolated = not instance.is_isolated
        self.world.run(TAKEOVER_S)

    @stateful.rule(name=ANY_NAME, is_coordinator=strategies.booleans())
    def cut_store(self, name: str, is_coordinator: bool) -> None:
        """A machine is cut off from the store."""
        name = self.name_of(name, is_coordinator)
        self.world.instances[name].has_store = False
        self.world.run(TAKEOVER_S)

    @stateful.rule(name=ANY_NAME)
    def heal_store(self, name: str) -> None:
        """It reaches the store again, and reads all of it."""
        instance = self.world.instances[name]
        if not instance.has_store:
            instance.has_store = True
            self.world.read_all(instance)

    @stateful.rule(name=ANY_NAME, seconds=STEPS_S)
    def step_clock(self, name: str, seconds: float) -> None:
        """A wall clock jumps."""
        self.world.wall_steps[name] = seconds

    @stateful.rule(fault=FAULTS, count=strategies.integers(1, 3))
    def fail_calls(self, fault: str, count: int) -> None:
        """The platform does not answer the next reports."""
        self.world.call_faults += [fault] * count

    @stateful.rule(count=strategies.integers(1, 3))
    def lose_store_answers(self, count: int) -> None:
        """The store does not answer the next writes, which take effect."""
        self.world.store.lost_answers += count

    @stateful.rule()
    def lose_changes(self) -> None:
        """No instance is told of the changes of the store any more."""
        for instance in self.world.instances.values():
            instance.is_watch_dead = True

    @stateful.invariant()
    def rules_hold(self) -> None:
        """Fails if the platform has seen a broken rule."""
        assert not self.world.faults, self.world.faults

    def teardown(self) -> None:
        """Lets everything go on, and checks that reports go on, too."""
        self.world.call_faults.clear()
        self.world.store.lost_answers = 0
        self.world.wall_steps.clear()
        for name in NAMES:
            self.world.thaw(name)
            self.restart(name)
            self.heal_store(name)
            self.world.instances[name].is_isolated = False
        self.world.run(30.0)
        self.rules_hold()
        newest = max(self.world.reported(), default=0)
        assert newest >= self.world.window() - 6, self.world.reported()


UsageModelTest = UsageMachine.TestCase
UsageModelTest.settings = hypothesis.settings(
    max_examples=25,
    phases=(hypothesis.Phase.generate,),
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
)


if __name__ == "__main__":
    unittest.main()
