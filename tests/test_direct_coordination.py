"""Tests of the coordinator's lease and of taking over."""

import unittest

from cuminwall import placement
from cuminwall.direct import (
    coordination,
    effects,
    events,
    fleet_state,
    membership,
    messages,
    reducer,
    revisions,
    state,
)
from tests import direct_world

NAMES = ("a", "b", "c", "d", "e")


class RenewalTest(unittest.TestCase):
    """The coordinator keeps its lease."""

    def test_lost_answers_in_a_row(self) -> None:
        # The store renews the lease, but its answers are lost. Renewals must go
        # on without waiting for answers, or the lease would expire.
        world = direct_world.World(NAMES)
        world.run(4.0)
        epochs = []
        for _ in range(5):
            world.store.lost_renewals = 3
            world.run(2.0)
            epochs.append(world.coordinator().state.own_lease.epoch)
        self.assertEqual(epochs, [1] * 5)
        for instance in world.instances.values():
            self.assertEqual(instance.log_fields("lease_lapsed"), [])


class TakeoverTest(unittest.TestCase):
    """Another instance takes over soon after the coordinator has ended."""

    SOON_S = 0.4  # Less than what is left of the lease.

    def test_restarted_coordinator(self) -> None:
        world = direct_world.World(NAMES)
        world.run(4.0)
        holder = world.coordinator().name
        world.kill(holder)
        world.start(holder)
        world.run(self.SOON_S)
        self.assertEqual(world.epochs(), [0, 0, 0, 0, 2])

    def test_small_instance_does_not_take_over_from_a_large_fleet(self) -> None:
        # All others send it their requests, which a small one is slow to serve.
        for large in NAMES:
            world = direct_world.World(NAMES)
            for name, instance in world.instances.items():
                cores = 2.0 if name == large else 0.5
                limits = world.limits._replace(cores=cores)
                instance.state.limits = limits
            world.run(4.0)
            holder = world.coordinator()
            if holder.name == large:
                continue
            holder.has_store = False
            world.run(3.0)
            self.assertEqual(world.instances[large].state.own_lease.epoch, 2)

    def test_epochs_lost_with_a_copy_are_not_given_out_again(self) -> None:
        # Only a process that started since the store was restored takes part;
        # it can't know the epochs that the copy lacks.
        known = state.State("a", "z1")
        known.now = 1.0
        known.is_store_up = True
        known.members["a"] = fleet_state.Member("a", "", "z1", "h", 1, 1)
        claimed = []
        for era in (1, 2, 3):
            record = membership.record_name("a")
            known.shared_revisions[record] = revisions.compose(era, 7)
            known.epoch = 4
            known.own_lease = fleet_state.CoordinatorLease()
            known.own_lease.is_grant_pending = True
            known.pending_swaps.clear()
            out: list[effects.Effect] = []
            coordination.handle_lease_result(known, 5, known.now, 1.0, out)
            calls = [e for e in out if isinstance(e, effects.CompareAndSwap)]
            claimed.append(int(calls[0].values[coordination.EPOCH_NAME]))
        self.assertEqual(claimed[0], 5)
        self.assertGreater(claimed[1], 1_000_000)
        self.assertGreater(claimed[2], claimed[1])

    def test_claim_is_written_once_though_it_is_seen_late(self) -> None:
        # A second one would be taken for another coordinator's.
        world = direct_world.World(NAMES)
        world.run(4.0)
        publish = world.publish_shared
        claims = []

        def publish_late(name: str, value: bytes | None, revision: int) -> None:
            if name == coordination.COORDINATOR_NAME and value is not None:
                claims.append(revision)
            world.schedule(0.1, lambda: publish(name, value, revision))

        world.publish_shared = publish_late
        holder = world.coordinator().name
        world.kill(holder)
        world.start(holder)
        world.run(2.0)
        self.assertEqual(len(claims), 1)

    def test_all_instances_restarted(self) -> None:
        world = direct_world.World(NAMES)
        world.run(4.0)
        for name in NAMES:
            world.kill(name)
            world.start(name)
        world.run(self.SOON_S)
        self.assertEqual(world.epochs(), [0, 0, 0, 0, 2])


class AttemptTest(unittest.TestCase):
    """When an instance tries to take over."""

    STEP_S = 0.01

    def setUp(self) -> None:
        self.known = state.State("a", "z1")
        self.known.boot = "boot"
        self.known.is_store_up = True
        self.now = 100.0
        self.add_member("a", 1.0)

    def handle(self, event: events.Event) -> list[effects.Effect]:
        """Returns the calls of the store that an event causes."""
        kinds = (effects.GrantLease, effects.CompareAndSwap)
        found = reducer.reduce(self.known, event)
        return [effect for effect in found if isinstance(effect, kinds)]

    def add_member(self, name: str, cores: float) -> None:
        """Adds an instance."""
        self.known.members[name] = fleet_state.Member(
            name, "boot", "z1", "h", 1, 1, cores
        )

    def lose(self) -> None:
        """Reports that the store names no coordinator."""
        name = coordination.COORDINATOR_NAME
        self.handle(events.SharedValueSeen(self.now, name, None, 5))

    def change_record(self) -> None:
        """Reports a record that changes nothing about the ranks."""
        name = membership.record_name("other")
        self.handle(events.SharedValueSeen(self.now, name, b"{}", 6))

    def run_for(
        self, duration_s: float, has_changes: bool = False
    ) -> list[effects.Effect]:
        """Returns the calls of the store that the timers cause."""
        found = []
        for step in range(round(duration_s / self.STEP_S)):
            self.now += self.STEP_S
            if has_changes and step % 5 == 0:
                self.change_record()
            found += self.handle(events.TimersDue(self.now))
        return found

    def claim(self) -> effects.CompareAndSwap:
        """Returns the claim that follows the loss."""
        self.lose()
        found = self.run_for(0.1)
        self.assertEqual([type(call) for call in found], [effects.GrantLease])
        granted = events.LeaseCallFinished(self.now, 7, self.now, 3.0)
        (claim,) = self.handle(granted)
        assert isinstance(claim, effects.CompareAndSwap)
        return claim

    def test_written_claim_is_awaited_beside_changes(self) -> None:
        claim = self.claim()
        self.handle(
            events.SwapFinished(self.now, claim.number, self.now, revision=8)
        )
        found = self.run_for(coordination.CLAIM_SEEN_S - 0.05, has_changes=True)
        self.assertEqual(found, [])
        self.assertEqual(len(self.run_for(0.1)), 1)

    def test_claim_in_flight_is_not_written_twice(self) -> None:
        self.claim()
        self.assertEqual(self.run_for(2.0, has_changes=True), [])

    # No timer was left when the answer came after the next attempt was due.
    def test_attempt_follows_a_claim_that_failed_late(self) -> None:
        claim = self.claim()
        self.run_for(0.5)
        self.handle(
            events.SwapFinished(self.now, claim.number, self.now, revision=None)
        )
        self.assertEqual(len(self.run_for(0.3)), 1)

    def test_delay_follows_a_rank_that_changes(self) -> None:
        self.lose()
        for number in range(3):
            self.add_member(f"large{number}", 9.0)
        delay_s = coordination.MIN_DELAY_S + 3 * coordination.RANK_DELAY_S
        self.assertEqual(self.run_for(delay_s - 0.02), [])
        self.assertEqual(len(self.run_for(0.04)), 1)

    def test_attempt_comes_soon_when_those_before_it_go(self) -> None:
        for number in range(9):
            self.add_member(f"large{number}", 9.0)
        self.lose()
        self.assertEqual(self.run_for(0.2), [])
        for number in range(9):
            self.known.members.pop(f"large{number}")
        found = self.run_for(coordination.RANK_DELAY_S)
        self.assertEqual(len(found), 1)

    def test_store_without_answers_puts_the_attempt_off(self) -> None:
        self.known.is_store_up = False
        self.lose()
        self.assertEqual(self.run_for(2.0, has_changes=True), [])
        nothing: frozenset[str] = frozenset()
        self.handle(events.SnapshotRead(self.now, nothing, nothing, nothing, 4))
        self.known.is_store_up = True
        self.assertEqual(self.run_for(0.01), [])
        self.assertEqual(len(self.run_for(0.05)), 1)

    def test_waiting_for_the_turn_adds_no_timers(self) -> None:
        for number in range(9):
            self.add_member(f"large{number}", 9.0)
        self.lose()
        for _ in range(100):
            self.change_record()
        self.run_for(0.5, has_changes=True)
        timers = [
            timer
            for timer in self.known.timers
            if timer.kind is state.TimerKind.COORDINATOR
        ]
        self.assertEqual(len(timers), 1)


class LargeFleetTest(unittest.TestCase):
    """Records change without end in a fleet of 195, and the first ranks end."""

    FLEET = 195
    GONE = 5
    CHANGE_S = 0.02
    SUCCESSION_S = 4.0

    def test_successor_takes_over_beside_changes(self) -> None:
        names = tuple(f"i{number}" for number in range(self.FLEET))
        world = direct_world.World(names)
        world.run(4.0)
        old = world.coordinator().state
        ranked = placement.ranked(f"epoch {old.epoch}", old.members)
        ranked.remove(old.instance)
        for name in (old.instance, *ranked[: self.GONE - 1]):
            world.kill(name)
        for _ in range(round(self.SUCCESSION_S / self.CHANGE_S)):
            world.store.revision += 1
            record = membership.record_name("changing")
            world.publish_shared(record, b"{}", world.store.revision)
            world.run(self.CHANGE_S)
        leading = []
        for instance in world.instances.values():
            if instance.is_alive and instance.state.own_lease.epoch:
                leading.append(instance.name)
        self.assertEqual(len(leading), 1)


class StaleRecordTest(unittest.TestCase):
    """An instance without the store knows only earlier processes."""

    def test_living_coordinator_is_not_taken_for_ended(self) -> None:
        # The coordinator's instance was restarted while this one lacked the
        # store; a peer tells of it.
        world = direct_world.World(NAMES)
        world.run(4.0)
        names = [name for name in NAMES if name != world.coordinator().name]
        alone = world.instances[names[0]]
        peer, other = names[1:3]
        alone.has_store = False
        world.start(other)
        world.run(1.0)
        record = world.instances[peer].state.members[other]
        info = messages.CoordinatorInfo(
            other, record.boot, 2, record.revision + 1
        )
        alone.notes.clear()
        alone.handle_event(events.PeerMessageReceived(world.now, peer, info))
        self.assertEqual(alone.log_fields("coordinator_ended"), [])
        self.assertEqual(alone.state.coordinator.instance, other)


class OutageLinksTest(unittest.TestCase):
    """Instances that get no replies ask peers who coordinates."""

    def test_links_of_an_outage_do_not_grow_with_the_fleet(self) -> None:
        names = tuple(f"edge{number}" for number in range(60))
        world = direct_world.World(names)
        world.run(4.0)
        instance = world.instances["edge7"]
        asked = set()
        for _ in range(200):
            instance.state.now += 1.0
            out: list[effects.Effect] = []
            coordination.ask_peer_for_coordinator(instance.state, out)
            asked.update(effect.instance for effect in out)
        self.assertEqual(len(asked), coordination.MAX_PEERS_PER_ZONE)
        self.assertNotIn("edge7", asked)


if __name__ == "__main__":
    unittest.main()
