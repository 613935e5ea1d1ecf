"""Tests of usage reports: counted everywhere, reported once by one instance."""

import unittest

from cuminwall.direct import (
    effects,
    events,
    limits,
    messages,
    usage_reports,
    usage_state,
)
from tests import direct_world, usage_world
from tests.usage_world import DELAY_S, WINDOW_S

NAMES = ("a", "b", "c")
FIVE = ("a", "b", "c", "d", "e")  # Of which two are a minority.
CALM_S = 12.0


def make_world(names: tuple[str, ...] = NAMES) -> usage_world.UsageWorld:
    """Returns a world in which the callers have just begun to send."""
    world = usage_world.UsageWorld(names)
    world.run(4.0)
    world.start_callers()
    return world


def other_than_coordinator(world: usage_world.UsageWorld) -> str:
    """Returns the name of an instance that doesn't coordinate."""
    coordinator = world.coordinator().name
    return next(name for name in NAMES if name != coordinator)


class UsageTest(unittest.TestCase):
    """Base of the tests."""

    def assert_reported(
        self, world: usage_world.UsageWorld, first: int, last: int
    ) -> None:
        """Checks that each window was reported, exactly."""
        self.assertEqual([], world.faults)
        reported = world.reported()
        for window in range(first, last + 1):
            self.assertIn(window, reported)
            # The start of a statement is known to its time in a queue.
            for workspace, count in world.truth[window].items():
                told = reported[window].get(workspace, 0)
                self.assertAlmostEqual(count, told, delta=2)


class CalmTest(UsageTest):
    """A steady stream of statements at all instances."""

    def test_each_window_is_reported_once(self) -> None:
        world = make_world()
        first = world.window() + 1
        world.run(CALM_S)
        last = world.window() - 2
        self.assert_reported(world, first, last)
        windows = [report.window for report in world.accepted]
        self.assertEqual(sorted(set(windows)), windows)
        holders = {report.holder for report in world.accepted}
        self.assertEqual({world.coordinator().name}, holders)

    def test_statements_that_a_server_refuses_are_not_counted(self) -> None:
        world = make_world()
        server = world.servers["p"]
        reader = world.instances[other_than_coordinator(world)]
        world.run(4.7)
        before = reader.state.usage.own.counts[world.window()].copy()
        server.is_primary = False
        world.is_sending = False
        world.run(0.5)
        caller = reader.caller("db", "w1")
        caller.send(direct_world.statements.Write("w1.x", "WRITE x y"))
        world.run(0.5)
        after = reader.state.usage.own.counts[world.window()]
        self.assertLessEqual(after["w1"], before["w1"] + 3)
        self.assertNotIn("w1.x", [run[0] for run in server.statements_run])

    def test_nothing_happens_where_no_window_is_set(self) -> None:
        world = usage_world.UsageWorld(NAMES)
        for instance in world.instances.values():
            instance.state.limits = limits.DEFAULTS
        world.run(4.0)
        world.start_callers()
        world.run(CALM_S)
        self.assertEqual([], world.accepted)
        self.assertNotIn("usage", world.store.values)
        for instance in world.instances.values():
            self.assertEqual({}, instance.state.usage.own.counts)
            self.assertIsNone(instance.state.usage.collection)
            self.assertIsNone(instance.state.usage.clock.own_offset)


class ClockTest(UsageTest):
    """Wall clocks differ and jump."""

    def test_a_jump_of_a_clock_changes_nothing(self) -> None:
        for step_s in (-2.0, 2.0):
            world = make_world(FIVE)
            first = world.window() + 1
            world.run(CALM_S / 2)
            world.wall_steps[world.coordinator().name] = step_s
            world.wall_steps[other_than_coordinator(world)] = step_s
            world.run(CALM_S / 2)
            self.assert_reported(world, first, world.window() - 2)

    def test_a_clock_that_is_off_from_the_start(self) -> None:
        world = usage_world.UsageWorld(FIVE)
        world.wall_steps["a"] = 1.3
        world.wall_steps["b"] = -1.3
        world.run(4.0)
        world.start_callers()
        first = world.window() + 1
        world.run(CALM_S)
        self.assert_reported(world, first, world.window() - 2)


class FailureTest(UsageTest):
    """Answers are lost, machines end or are cut off, coordinators change."""

    def test_an_unanswered_report_is_repeated_unchanged(self) -> None:
        for fault in ("lost", "late", "silent"):
            world = make_world()
            first = world.window() + 1
            world.call_faults = [fault] * 2
            world.run(CALM_S)
            self.assert_reported(world, first, world.window() - 3)

    def test_an_instance_cut_off_tells_its_counts_later(self) -> None:
        world = make_world()
        first = world.window() + 1
        world.run(4.5)
        name = other_than_coordinator(world)
        world.instances[name].is_isolated = True
        world.run(3.0)
        world.instances[name].is_isolated = False
        world.run(CALM_S)
        self.assert_reported(world, first, world.window() - 3)

    def test_windows_are_reported_though_an_instance_is_silent(self) -> None:
        world = make_world()
        first = world.window() + 1
        world.run(4.5)
        world.kill(other_than_coordinator(world))
        world.run(CALM_S)
        last = world.window() - int(DELAY_S / WINDOW_S) - 1
        self.assertEqual([], world.faults)
        for window in range(first, last + 1):
            self.assertIn(window, world.reported())
        coordinator = world.coordinator()
        self.assertTrue(coordinator.log_fields("incomplete"))

    def test_the_next_coordinator_goes_on(self) -> None:
        world = make_world()
        first = world.window() + 1
        world.run(7.0)
        killed = world.coordinator().name
        world.kill(killed)
        world.run(2.0)
        world.start(killed)
        world.run(CALM_S)
        self.assertEqual([], world.faults)
        last = world.window() - int(DELAY_S / WINDOW_S)
        for window in range(first, last + 1):
            self.assertIn(window, world.reported())
        self.assertNotEqual(killed, world.coordinator().name)

    def test_a_report_that_was_written_but_not_sent_is_sent_by_the_next(
        self,
    ) -> None:
        world = make_world()
        world.run(6.0)
        first = world.coordinator()
        world.call_faults = ["silent"] * 3
        while len(world.call_faults) == 3:
            world.run(0.1)
        window = first.log_fields("sent")[-1]["window"]
        counts = first.state.usage.record
        world.kill(first.name)
        world.call_faults = []
        world.run(7.0)
        self.assertEqual([], world.faults)
        assert counts is not None
        self.assertEqual(counts.counts, world.reported()[window])

    def test_one_that_missed_a_report_makes_no_other(self) -> None:
        world = make_world()
        world.run(7.0)
        coordinator = world.coordinator()
        usage = coordinator.state.usage
        newest = usage.record
        assert newest is not None and usage.collection is not None
        # As if a watch had left the change out.
        usage.record = newest._replace(window=newest.window - 1)
        coordinator.state.shared_revisions["usage"] -= 1
        usage.collection.next_window = newest.window
        usage.collection.totals[newest.window] = {"w1": 1}
        world.run(3.0)
        self.assertEqual([], world.faults)
        self.assertEqual(newest.counts, world.reported()[newest.window])
        self.assertGreater(max(world.reported()), newest.window)

    def test_a_late_answer_of_the_store_confirms_no_later_report(self) -> None:
        world = make_world()
        world.run(7.0)
        state = world.coordinator().state
        collection = state.usage.collection
        assert collection is not None
        collection.report = usage_state.UsageRecord(world.window(), {"w1": 1})
        collection.step = usage_state.ReportStep.RECORDING
        out: list[effects.Effect] = []
        usage_reports.handle_written(state, 10**6, out)
        kinds = [type(effect) for effect in out]
        self.assertEqual([effects.RereadStore], kinds)

    def test_coordinators_do_not_take_turns(self) -> None:
        world = make_world()
        world.run(7.0)
        for _ in range(6):
            name = world.coordinator().name
            world.instances[name].handle_event(
                events.ShutdownRequested(world.now)
            )
            world.run(0.6)
            world.kill(name)
            world.start(name)
            world.run(0.4)
        self.assertEqual([], world.faults)
        world.run(CALM_S)
        self.assertEqual([], world.faults)

    def test_a_missed_window_is_told_with_its_cause(self) -> None:
        world = make_world()
        world.run(5.0)
        world.call_faults = ["silent"] * 100
        world.run(DELAY_S + 2 * WINDOW_S)
        missed = world.coordinator().log_fields("missed")
        self.assertTrue(missed)
        self.assertEqual("sending", missed[0]["step"])


class MessageTest(unittest.TestCase):
    """Processes of two versions exchange messages."""

    def test_counts_survive_the_wire(self) -> None:
        request = messages.ShareRequest(
            1, "b", 1, True, (), (), 1, False, 0.0, 0.0,
            5.0, 6.0, ((7, (("w", 3),)),), 4,
        )  # fmt: skip
        decoded = messages.CODEC.decode(messages.CODEC.encode(request))
        self.assertEqual(request, decoded)

    def test_an_earlier_version_needs_no_new_type(self) -> None:
        # It would reject the whole request for a type that it doesn't know.
        request = messages.ShareRequest(
            1, "b", 1, True, (), (), 1, False, 0.0, 0.0,
            5.0, 6.0, ((7, (("w", 3),)),), 4,
        )  # fmt: skip
        data = messages.CODEC.encode(request)
        earlier = messages.codec.Codec(messages.TYPES[:4])
        self.assertEqual(4, earlier.decode(data).usage_recorded)


if __name__ == "__main__":
    unittest.main()
