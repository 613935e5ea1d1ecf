"""Tests of who is a home or relay, against working it out anew each time."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall import (
    configuration,
    events,
    membership,
    placement,
    ports,
    reducer,
    relays,
    state,
    stewards,
    timings,
)
from tests import world

ZONES = ("a", "b", "c")
OWN = "i0"
INSTANCES = 9
SERVICES = 12

lines = st.tuples(
    st.integers(0, INSTANCES - 1), st.sampled_from(ZONES), st.booleans()
)
lists = st.tuples(st.just("list"), st.lists(lines, unique_by=lambda x: x[0]))
waits = st.tuples(st.just("wait"), st.sampled_from([0.1, 2.0, 4.0]))
configs = st.tuples(
    st.just("config"),
    st.tuples(st.sets(st.sampled_from(ZONES)), st.integers(1, 3)),
)
drains = st.tuples(st.just("drain"), st.none())
steps = st.lists(st.one_of(lists, waits, configs, drains), max_size=14)


def naive_staying(known: state.State) -> list[str]:
    found = []
    for instance, member in known.members.items():
        if not member.record.leaving:
            found.append(instance)
    return found


def naive_homes(known: state.State, service: str) -> tuple[str, ...]:
    entry = known.config.services.get(service)
    if entry is None:
        return ()
    by_zone: dict[str, list[str]] = {}
    for instance in naive_staying(known):
        zone = known.members[instance].record.zone
        if known.config.is_zone_serving(zone):
            by_zone.setdefault(zone, []).append(instance)
    found: list[str] = []
    for zone in sorted(by_zone, key=lambda name: (name != known.zone, name)):
        home_set = placement.home_set(service, known.shard_count)
        best = placement.ranked(home_set, by_zone[zone])
        found.extend(best[: entry.home_count_per_zone])
    return tuple(found)


def naive_relays(known: state.State, zone: str) -> list[str]:
    members = []
    for instance in naive_staying(known):
        if known.members[instance].record.zone == zone:
            members.append(instance)
    count = placement.relay_count(len(members))
    return placement.ranked("relay", members)[:count]


def naive_successors(known: state.State, shard: int) -> list[str]:
    best: dict[str, str] = {}
    ranked = placement.ranked(f"steward:{shard}", naive_staying(known))
    for name in ranked:
        zone = known.members[name].record.zone
        if name != known.instance and zone not in best:
            best[zone] = name
    if len(best) > 1:
        best.pop(known.zone, None)
    return sorted(best.values())


def make_config(
    out: set[str], homes: int, version: int
) -> configuration.Configuration:
    """Returns a configuration in which some zones are taken out."""
    services = {}
    for number in range(SERVICES - version % 3):
        services[f"s{number}"] = [("p", "a"), ("r", "b")]
    document = world.make_document(list(ZONES), services)
    for zone in out:
        document["zones"][zone] = {"state": "out"}
    for number, service in enumerate(document["services"].values()):
        service["home_count_per_zone"] = 1 + (homes + number) % 3
    return configuration.parse(document, version)


class Fleet:
    """One instance that hears of others."""

    def __init__(self) -> None:
        self.state = state.State(OWN, "a", timings.DEFAULTS, 4, 100.0)
        self.version = 0
        self.gone_at: dict[str, float] = {}

    def take(self, kind: str, value) -> None:
        """Lets one thing happen."""
        now = self.state.now
        if kind == "wait":
            reducer.reduce(self.state, events.Tick(now + value))
            return
        if kind == "drain":
            reducer.reduce(self.state, events.DrainOrdered(now))
            return
        if kind == "config":
            self.version += 1
            config = make_config(value[0], value[1], self.version)
            reducer.reduce(self.state, events.ConfigLoaded(now, config))
            return
        records = []
        for number, zone, leaving in value:
            records.append(
                ports.InstanceRecord(f"i{number}", zone, "h", 1, leaving)
            )
        listed = events.InstancesListed(now, tuple(records))
        reducer.reduce(self.state, listed)


class PlacementTest(unittest.TestCase):
    """Homes and relays while instances and configurations change."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(steps)
    def test_is_the_same_as_worked_out_anew(self, happens) -> None:
        fleet = Fleet()
        known = fleet.state
        listed: tuple[str, object] = ("list", [])
        for kind, value in happens:
            fleet.take(kind, value)
            if kind == "list":
                listed = (kind, value)
            for number in range(SERVICES):
                service = f"s{number}"
                homes = naive_homes(known, service)
                self.assertEqual(membership.homes(known, service), homes)
                self.assertEqual(
                    membership.is_home(known, service), OWN in homes
                )
            for zone in ZONES:
                self.assertEqual(
                    membership.relays(known, zone), naive_relays(known, zone)
                )
            for shard in range(known.shard_count):
                self.assertEqual(
                    stewards._wanted_successors(known, shard),
                    naive_successors(known, shard),
                )
            self.assertEqual(
                sorted(membership.active_instances(known)),
                sorted(naive_staying(known)),
            )
        fleet.take(*listed)
        held = set()
        for service in known.config.services:
            if OWN in naive_homes(known, service) and not known.draining:
                held.add(service)
        self.assertEqual(set(known.groups), held)

    @settings(derandomize=True, deadline=None, database=None, max_examples=200)
    @given(steps)
    def test_keeps_a_missing_instance_for_its_time(self, happens) -> None:
        fleet = Fleet()
        known = fleet.state
        missing: dict[str, float] = {}
        members: set[str] = set()
        for kind, value in happens:
            fleet.take(kind, value)
            if kind == "list":
                listed = {f"i{number}" for number, _, _ in value}
                members |= listed
                for name in members - listed - {OWN}:
                    missing.setdefault(name, known.now)
                for name in listed:
                    missing.pop(name, None)
            if kind == "wait":
                for name, since in list(missing.items()):
                    if known.now - since >= known.times.members_keep_s:
                        del missing[name]
                        members.discard(name)
            self.assertEqual(set(known.members), members)


class RelayShareTest(unittest.TestCase):
    """How the instances of a zone share its relays."""

    def test_each_relay_is_polled_by_its_part(self) -> None:
        count = 300
        records = []
        for number in range(count):
            records.append(
                ports.InstanceRecord(f"i{number}", "a", "h", 1, False)
            )
        asked: dict[str, int] = {}
        for number in range(0, count, 3):
            known = state.State(f"i{number}", "a", timings.DEFAULTS, 4, 100.0)
            reducer.reduce(known, events.InstancesListed(100.0, tuple(records)))
            if relays.is_relay(known):
                continue
            name = relays.choose_sources(known)[0]
            asked[name] = asked.get(name, 0) + 1
        self.assertEqual(set(asked), set(membership.relays(known, "a")))
        self.assertLess(max(asked.values()), 2 * sum(asked.values()) / 5)


if __name__ == "__main__":
    unittest.main()
