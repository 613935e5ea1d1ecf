"""The instances of the system, and which of them serve a database service.

The platform's list lags, so an instance that it no longer shows is kept for
a while, and one that does not answer is passed over for a while.
"""

from cuminwall import placement, ports
from cuminwall.effects import Effect, Log
from cuminwall.state import Member, State

PREFIX = "membership"


def update(
    state: State, records: tuple[ports.InstanceRecord, ...], out: list[Effect]
) -> None:
    """Takes over the instance list."""
    listed = set()
    for record in records:
        listed.add(record.instance)
        member = state.members.get(record.instance)
        if member is None:
            state.members[record.instance] = Member(record)
            text = f"instance {record.instance} of {record.zone} joined"
            out.append(Log(PREFIX, text))
            state.homes_cache.clear()
            continue
        if record.leaving and not member.record.leaving:
            text = f"instance {record.instance} is leaving"
            out.append(Log(PREFIX, text))
        if record != member.record:
            member.record = record
            state.homes_cache.clear()
        member.missing_since = None
    _note_missing(state, listed)


def expire(state: State, out: list[Effect]) -> None:
    """Forgets instances that were missing from the list for long."""
    gone = []
    for instance, member in state.members.items():
        if member.missing_since is None:
            continue
        if state.now - member.missing_since >= state.times.members_keep_s:
            gone.append(instance)
    for instance in gone:
        del state.members[instance]
        state.homes_cache.clear()
        out.append(Log(PREFIX, f"instance {instance} is gone"))


def homes(state: State, service: str) -> tuple[str, ...]:
    """Returns the homes of a service, those of this zone first."""
    cached = state.homes_cache.get(service)
    if cached is not None:
        return cached
    found = _place_homes(state, service)
    state.homes_cache[service] = found
    return found


def is_home(state: State, service: str) -> bool:
    """Returns whether this instance is a home of `service`."""
    return state.instance in homes(state, service)


def pass_over(state: State, instance: str) -> None:
    """Notes that an instance did not answer."""
    member = state.members.get(instance)
    if member is not None:
        member.passed_over_until = state.now + state.times.home_retry_s


def is_passed_over(state: State, instance: str) -> bool:
    """Returns whether an instance did not answer lately."""
    member = state.members.get(instance)
    return member is None or member.passed_over_until > state.now


def staying(state: State) -> list[str]:
    """Returns the instances that are not leaving."""
    found = []
    for instance, member in state.members.items():
        if not member.record.leaving:
            found.append(instance)
    return found


def zone_of(state: State, instance: str) -> str:
    """Returns the availability zone of an instance, or ""."""
    member = state.members.get(instance)
    return member.record.zone if member else ""


def relays(state: State, zone: str) -> list[str]:
    """Returns the instances of `zone` that watch the store, best first."""
    members = []
    for instance in staying(state):
        if zone_of(state, instance) == zone:
            members.append(instance)
    count = placement.relay_count(len(members))
    return placement.ranked("relay", members)[:count]


def _note_missing(state: State, listed: set[str]) -> None:
    """Notes since when instances are missing from the list."""
    for instance, member in state.members.items():
        if instance in listed or instance == state.instance:
            continue
        if member.missing_since is None:
            member.missing_since = state.now


def _place_homes(state: State, service: str) -> tuple[str, ...]:
    """Works out the homes of a service, those of this zone first."""
    entry = state.config.services.get(service)
    if entry is None:
        return ()
    by_zone: dict[str, list[str]] = {}
    for instance in staying(state):
        zone = zone_of(state, instance)
        if not state.config.is_zone_serving(zone):
            continue
        by_zone.setdefault(zone, []).append(instance)
    found: list[str] = []
    for zone in sorted(by_zone, key=lambda name: (name != state.zone, name)):
        best = placement.ranked(service, by_zone[zone])
        found.extend(best[: entry.home_count_per_zone])
    return tuple(found)


def shard_of(state: State, service: str) -> int:
    """Returns the shard of a service or workspace."""
    return placement.shard_of(service, state.shard_count)
