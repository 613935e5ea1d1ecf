"""The instances of the system, and which of them serve a database service.

The platform's list lags, so an instance that it no longer shows is kept for
a while, and one that does not answer is passed over for a while.
"""

from cuminwall import placement, ports
from cuminwall.effects import Effect, Log
from cuminwall.state import Member, State

PREFIX = "membership"


def apply_instance_list(
    state: State, records: tuple[ports.InstanceRecord, ...], out: list[Effect]
) -> None:
    """Takes over the instance list."""
    if records == state.listed_records:
        return
    state.listed_records = records
    listed = set()
    for record in records:
        listed.add(record.instance)
        member = state.members.get(record.instance)
        if member is None:
            state.members[record.instance] = Member(record)
            text = f"instance {record.instance} of {record.zone} joined"
            out.append(Log(PREFIX, text))
            _place(state, record)
            continue
        if record.leaving and not member.record.leaving:
            text = f"instance {record.instance} is leaving"
            out.append(Log(PREFIX, text))
        if record != member.record:
            _displace(state, member.record)
            member.record = record
            _place(state, record)
        member.missing_since = None
        state.missing_instances.discard(record.instance)
    _note_missing(state, listed)


def remove_expired(state: State, out: list[Effect]) -> None:
    """Forgets instances that were missing from the list for long."""
    gone = []
    for instance in state.missing_instances:
        since = state.members[instance].missing_since
        assert since is not None
        if state.now - since >= state.times.members_keep_s:
            gone.append(instance)
    for instance in sorted(gone):
        member = state.members.pop(instance)
        state.missing_instances.discard(instance)
        _displace(state, member.record)
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
    zone = zone_of(state, state.instance)
    return state.instance in _zone_homes(state, zone, service)


def own_services(state: State) -> list[str]:
    """Returns the services that this instance is a home of."""
    found = []
    decided: dict[tuple[str, int], bool] = {}
    for service, entry in state.config.services.items():
        home_set = placement.home_set(service, state.shard_count)
        key = (home_set, entry.home_count_per_zone)
        is_own = decided.get(key)
        if is_own is None:
            is_own = decided[key] = is_home(state, service)
        if is_own:
            found.append(service)
    return found


def mark_unresponsive(state: State, instance: str) -> None:
    """Notes that an instance did not answer."""
    member = state.members.get(instance)
    if member is not None:
        member.unresponsive_until = state.now + state.times.home_retry_s


def is_unresponsive(state: State, instance: str) -> bool:
    """Returns whether an instance did not answer lately."""
    member = state.members.get(instance)
    return member is None or member.unresponsive_until > state.now


def active_instances(state: State) -> list[str]:
    """Returns the instances that are not leaving."""
    found: list[str] = []
    for members in state.home_table.members.values():
        found.extend(members)
    return found


def zones(state: State) -> set[str]:
    """Returns the zones that have instances that are not leaving."""
    return set(state.home_table.members)


def zone_of(state: State, instance: str) -> str:
    """Returns the availability zone of an instance, or ""."""
    member = state.members.get(instance)
    return member.record.zone if member else ""


def relays(state: State, zone: str) -> list[str]:
    """Returns the instances of `zone` that watch the store, best first."""
    found = state.relays_cache.get(zone)
    if found is None:
        members = state.home_table.members.get(zone, set())
        count = placement.relay_count(len(members))
        found = placement.ranked("relay", members)[:count]
        state.relays_cache[zone] = found
    return found


def invalidate_homes(state: State) -> None:
    """Lets go what a new configuration may have changed."""
    wanted = set()
    for service, entry in state.config.services.items():
        home_set = placement.home_set(service, state.shard_count)
        wanted.add((home_set, entry.home_count_per_zone))
    state.home_table.retain(wanted)
    state.homes_cache.clear()


def _note_missing(state: State, listed: set[str]) -> None:
    """Notes since when instances are missing from the list."""
    for instance, member in state.members.items():
        if instance in listed or instance == state.instance:
            continue
        if member.missing_since is None:
            member.missing_since = state.now
            state.missing_instances.add(instance)


def _place(state: State, record: ports.InstanceRecord) -> None:
    """Takes a record into account where it may be responsible."""
    if not record.leaving:
        state.home_table.add(record.zone, record.instance)
    _note_change(state)


def _displace(state: State, record: ports.InstanceRecord) -> None:
    """Takes a former record out of account."""
    state.home_table.remove(record.zone, record.instance)
    _note_change(state)


def _note_change(state: State) -> None:
    """Lets go what was worked out from the instances before."""
    state.members_version += 1
    state.homes_cache.clear()
    state.relays_cache.clear()
    state.steward_ranking_cache.clear()
    state.successors_cache.clear()


def _place_homes(state: State, service: str) -> tuple[str, ...]:
    """Works out the homes of a service, those of this zone first."""
    found: list[str] = []
    for zone in sorted(
        zones(state), key=lambda name: (name != state.zone, name)
    ):
        found.extend(_zone_homes(state, zone, service))
    return tuple(found)


def _zone_homes(state: State, zone: str, service: str) -> list[str]:
    """Returns the homes of a service in one zone, the best first."""
    entry = state.config.services.get(service)
    if entry is None or not state.config.is_zone_serving(zone):
        return []
    count = entry.home_count_per_zone
    home_set = placement.home_set(service, state.shard_count)
    ranked = state.home_table.find(zone, home_set, count)
    return [name for _, name in ranked]


def shard_of(state: State, service: str) -> int:
    """Returns the shard of a service or workspace."""
    return placement.shard_of(service, state.shard_count)
