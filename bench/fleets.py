"""Documents, instance lists and reducer states of any size."""

from typing import Any

from cuminwall import (
    configuration,
    document,
    effects,
    events,
    messages,
    ports,
    reducer,
    state,
    timings,
)

ZONES = 8
SERVERS = 3
SHARDS = 128
START_S = 100.0
VERIFIER = (
    "SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2FsdA==$"
    "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:"
    "BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBA="
)


def zone_name(number: int) -> str:
    """Returns the name of an availability zone."""
    return f"zone-{number % ZONES}"


def instance_name(number: int) -> str:
    """Returns the id of an instance."""
    return f"entry-{number:05d}"


def service_name(number: int) -> str:
    """Returns the name of a database service."""
    return f"ledger-{number:05d}"


def make_service(number: int) -> dict[str, Any]:
    """Returns a service with its servers in neighbouring zones."""
    servers = {}
    for index in range(SERVERS):
        servers[f"s{index}"] = {
            "host": f"10.{index}.{number // 250}.{number % 250}",
            "port": 5432,
            "zone": zone_name(number + index),
        }
    return {
        "servers": servers,
        "database": service_name(number),
        "user": "cuminwall",
        "password": "backend secret",
        "connections_per_server": 35,
    }


def make_document(services: int, workspaces: int, keys: int) -> Any:
    """Returns a document of the given size."""
    workspace_entries = {}
    for number in range(workspaces):
        workspace_entries[f"space-{number:05d}"] = {"rate": 100, "burst": 200}
    service_entries = {}
    for number in range(services):
        service_entries[service_name(number)] = make_service(number)
    key_entries = {}
    for number in range(keys):
        space = f"space-{number % max(1, workspaces):05d}"
        key_entries[f"key-{number:05d}"] = {
            "workspace": space,
            "verifier": VERIFIER,
        }
    return document.normalize(
        {
            "zones": {zone_name(number): {} for number in range(ZONES)},
            "workspaces": workspace_entries,
            "services": service_entries,
            "keys": key_entries,
        }
    )


def make_records(members: int) -> tuple[ports.InstanceRecord, ...]:
    """Returns an instance list."""
    records = []
    for number in range(members):
        record = ports.InstanceRecord(
            instance_name(number),
            zone_name(number),
            f"10.9.{number // 250}.{number % 250}",
            7000,
            False,
        )
        records.append(record)
    return tuple(records)


def make_state(shards: int = SHARDS, number: int = 0) -> state.State:
    """Returns the initial state of an instance."""
    return state.State(
        instance_name(number),
        zone_name(number),
        timings.DEFAULTS,
        shards,
        START_S,
    )


def feed(state_: state.State, event: Any) -> list[effects.Effect]:
    """Feeds an event to the reducer and returns its effects."""
    return reducer.reduce(state_, event)


def load_document(state_: state.State, value: Any, version: int = 1) -> None:
    """Feeds a document as the configuration in force."""
    config = configuration.parse(value, version)
    feed(state_, events.ConfigLoaded(state_.now, config))


def set_stewards(state_: state.State, stewards: int) -> None:
    """Fills in the steward of each shard."""
    for shard in range(state_.shard_count):
        steward = instance_name(shard % stewards)
        state_.shards[shard] = messages.ShardRecord(
            shard, 1, steward, (), True, shard + 1
        )
    state_.shards_revision = state_.shard_count


def make_home(services: int, members: int, shards: int = SHARDS) -> state.State:
    """Returns a state with an instance list, a configuration and stewards."""
    home = make_state(shards)
    load_document(home, make_document(services, 8, 8))
    feed(home, events.InstancesListed(home.now, make_records(members)))
    set_stewards(home, members)
    return home
