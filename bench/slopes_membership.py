"""Measures what ticks and instance-list changes cost an instance."""

import functools
import json

from bench import fits, fleets
from cuminwall import events, membership, ports, relays, state

MEMBERS = (9, 725, 1450, 2900)
SERVICES = (590, 1475, 2950, 5900)
PLANNED_MEMBERS = 2900
PLANNED_SERVICES = 5900
FIXED_MEMBERS = 725
TICKS = 20
CALLS = 5
TICK_S = 0.05


def measure() -> list[fits.Slope]:
    """Returns every slope of this module."""
    unchanged, joined, left, ticks, relay = [], [], [], [], []
    for members in MEMBERS:
        home = _make_member(members)
        records = fleets.make_records(members)
        unchanged.append((members, _list_s(home, records)))
        joined.append((members, _join_s(home, records)))
        left.append((members, _leave_s(home, records)))
        ticks.append((members, _tick_s(home)))
        relay.append((members, _relay_s(home)))
    memory = []
    for members in MEMBERS:
        memory.append(
            (
                members,
                fits.memory_bytes(functools.partial(_make_with_list, members)),
            )
        )
    by_services = []
    for services in SERVICES:
        home = fleets.make_home(services, FIXED_MEMBERS)
        records = fleets.make_records(FIXED_MEMBERS)
        by_services.append((services, _join_s(home, records)))
    return [
        fits.fit("list_unchanged", "s", "members", unchanged),
        fits.fit("member_joins", "s", "members", joined),
        fits.fit("member_leaves", "s", "members", left),
        fits.fit("tick_by_members", "s", "members", ticks),
        fits.fit("relay_choice", "s", "members", relay),
        fits.fit("member_memory", "bytes", "members", memory),
        fits.fit("list_bytes", "bytes", "members", _list_bytes()),
        fits.fit("list_parsed", "s", "members", _list_parsed()),
        fits.fit("member_joins_services", "s", "services", by_services),
    ]


def _make_member(members: int) -> state.State:
    """Returns an instance of a fleet with the planned services per member."""
    services = members * PLANNED_SERVICES // PLANNED_MEMBERS
    return fleets.make_home(services, members)


def _make_with_list(members: int) -> state.State:
    """Returns the state of an instance that has only an instance list."""
    member = fleets.make_state()
    records = fleets.make_records(members)
    fleets.feed(member, events.InstancesListed(member.now, records))
    return member


def _list_bytes() -> list[tuple[float, float]]:
    """Returns the size of the platform's answer, as JSON."""
    points = []
    for members in MEMBERS:
        points.append((float(members), float(len(_list_text(members)))))
    return points


def _list_parsed() -> list[tuple[float, float]]:
    """Returns the time of parsing the platform's answer into records."""
    points = []
    for members in MEMBERS:
        parse = functools.partial(_parse_list, _list_text(members))
        points.append((float(members), fits.cpu_per_call_s(parse, CALLS)))
    return points


def _list_text(members: int) -> str:
    records = fleets.make_records(members)
    return json.dumps([record._asdict() for record in records])


def _parse_list(text: str) -> list[ports.InstanceRecord]:
    return [ports.InstanceRecord(**item) for item in json.loads(text)]


def _list_s(home: state.State, records: tuple) -> float:
    listed = events.InstancesListed(home.now, records)
    return fits.cpu_per_call_s(lambda: fleets.feed(home, listed), 5)


def _join_s(home: state.State, records: tuple) -> float:
    """Returns the time of handling a list with one more instance."""
    larger = fleets.make_records(len(records) + 3)
    sizes = iter(range(len(records) + 1, len(records) + 4))

    def join() -> None:
        listed = events.InstancesListed(home.now, larger[: next(sizes)])
        fleets.feed(home, listed)

    return fits.cpu_s(join, 3)


def _leave_s(home: state.State, records: tuple) -> float:
    """Returns the time of handling that one more instance shuts down."""
    indexes = iter(range(1, 4))
    current = list(records)

    def leave() -> None:
        index = next(indexes)
        current[index] = current[index]._replace(leaving=True)
        fleets.feed(home, events.InstancesListed(home.now, tuple(current)))

    return fits.cpu_s(leave, 3)


def _tick_s(home: state.State) -> float:
    def tick() -> None:
        fleets.feed(home, events.Tick(home.now + TICK_S))

    return fits.cpu_per_call_s(tick, TICKS)


def _relay_s(home: state.State) -> float:
    def choose() -> None:
        relays.is_relay(home)
        relays.choose_sources(home)
        membership.relays(home, fleets.zone_name(1))

    return fits.cpu_per_call_s(choose, 5)
