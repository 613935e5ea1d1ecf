"""Keeps an instance's configuration current and knows until when it is.

A few relays in each availability zone read the store; the other instances
poll them, so that store reads do not grow with the fleet. What a reply
confirms counts from the time of the request. In a store outage, a relay polls
the relays of the other zones. The latest time at which one of them confirmed
the version as current counts. If every other zone replies with this version
and none has a recent confirmation, the version is taken as current, since
nobody can have changed it.
"""

from typing import NamedTuple

from cuminwall import calls, events, leases, membership, messages, placement
from cuminwall.effects import Effect, FetchConfig, Log, SendToPeer
from cuminwall.state import ShardKeys, State

PREFIX = "config"

NOT_CONFIRMED = -1.0
SILENT_REQUESTS = 2
SUBSCRIBER_KEEP_REQUESTS = 3


class HeadRead(NamedTuple):
    """Continues once the head of the configuration is read."""


def is_relay(state: State) -> bool:
    """Returns whether this instance reads the store for its zone."""
    return state.instance in membership.relays(state, state.zone)


def tick(state: State, out: list[Effect]) -> None:
    """Polls the store or other instances when a new round is due."""
    relay = state.relay
    if state.now - relay.round_started_at < state.times.relay_ask_s:
        return
    relay.round_started_at = state.now
    relay.round_replies.clear()
    polled = choose_sources(state)
    if is_relay(state) or not polled:
        if not relay.is_reading_store:
            relay.is_reading_store = True
            calls.read(state, calls.CONFIG_HEAD_KEY, HeadRead(), out)
    silent_s = state.now - relay.confirmed_current_at
    if is_relay(state):
        if silent_s >= SILENT_REQUESTS * state.times.relay_ask_s:
            for source in _other_zone_relays(state):
                _poll(state, source, out)
        return
    for source in polled:
        _poll(state, source, out)


def handle_request(
    state: State, sender: str, request: messages.RelayRequest, out: list[Effect]
) -> None:
    """Replies to an instance that polls this one, and subscribes it."""
    relay = state.relay
    relay.subscribers[sender] = state.now
    out.append(
        SendToPeer(sender, _make_reply(state, request.number, request.revision))
    )
    if request.version > relay.head_version:
        _learn_version(state, request.version, out)


def handle_reply(
    state: State,
    sender: str,
    reply: messages.RelayReply,
    out: list[Effect],
) -> None:
    """Applies a reply or a pushed update of another instance."""
    for record in reply.shards:
        apply_shard_record(state, record)
    _learn_version(state, reply.version, out)
    requested_at = _pop_request_time(state, sender, reply.number)
    if requested_at is None:
        return
    relay = state.relay
    relay.round_replies[sender] = (reply.version, reply.age_s)
    if reply.version < relay.head_version:
        return
    if reply.age_s >= 0:
        _confirm_current(state, requested_at - reply.age_s)
    if is_relay(state) and _all_zones_agree(state):
        _confirm_current(state, relay.round_started_at)


def handle_config_loaded(state: State) -> None:
    """Updates the freshness after a configuration came into force."""
    relay = state.relay
    if state.config.version >= relay.fetching_version:
        relay.fetching_version = 0
    relay.head_version = max(relay.head_version, state.config.version)
    _extend_freshness(state)


def handle_store_value(
    state: State, event: events.StoreValueSeen, out: list[Effect]
) -> None:
    """Applies a value that the store's watch delivered."""
    if event.key == calls.CONFIG_HEAD_KEY:
        if event.value is not None:
            _learn_version(state, event.value["change"]["version"], out)
        _push(state, out)
        return
    shard_text = event.key.rpartition("/")[2]
    if not shard_text.isdecimal():
        return
    shard = int(shard_text)
    if event.key.startswith(calls.SHARDS_PREFIX):
        keys = state.relay.shard_keys.setdefault(shard, ShardKeys())
        if event.revision <= keys.record_revision:
            return
        keys.record = event.value
        keys.record_revision = event.revision
    elif event.key.startswith(calls.STEWARDS_PREFIX):
        keys = state.relay.shard_keys.setdefault(shard, ShardKeys())
        if event.revision <= keys.held_revision:
            return
        keys.held_by = event.value["instance"] if event.value else ""
        keys.held_revision = event.revision
    else:
        return
    apply_shard_record(state, _shard_record(shard, keys))
    _push(state, out)


def apply_shard_record(state: State, record: messages.ShardRecord) -> None:
    """Stores a shard's record if it is newer than the known one."""
    known = state.shards.get(record.shard)
    if known is not None and record.revision <= known.revision:
        return
    state.shards[record.shard] = record
    state.shards_revision = max(state.shards_revision, record.revision)


def _shard_record(shard: int, keys: ShardKeys) -> messages.ShardRecord:
    """Combines a shard's two store keys into one record."""
    value = keys.record or {"epoch": 0, "steward": "", "successors": []}
    return messages.ShardRecord(
        shard,
        value["epoch"],
        value["steward"],
        tuple(value["successors"]),
        bool(keys.held_by),
        max(keys.record_revision, keys.held_revision),
    )


def choose_sources(state: State) -> list[str]:
    """Returns whom to poll: a relay of this zone, or all if none answers."""
    relay = state.relay
    # Each instance ranks the relays differently, which spreads the load.
    own_relays = placement.ranked(
        f"ask:{state.instance}", membership.relays(state, state.zone)
    )
    for name in own_relays:
        if name == state.instance:
            continue
        unanswered = relay.unanswered.get(name)
        if unanswered is None or state.now - unanswered[1] < _max_silence_s(
            state
        ):
            return [name]
    found = []
    for name in own_relays:
        if name != state.instance:
            found.append(name)
    return found + _other_zone_relays(state)


def _max_silence_s(state: State) -> float:
    """Returns how long a source may leave a request unanswered."""
    return SILENT_REQUESTS * state.times.relay_ask_s


def _other_zones(state: State) -> set[str]:
    """Returns the other zones that have instances."""
    zones = membership.zones(state)
    zones.discard(state.zone)
    return zones


def _other_zone_relays(state: State) -> list[str]:
    """Returns the relays of the other zones."""
    found = []
    for zone in sorted(_other_zones(state)):
        found.extend(membership.relays(state, zone))
    return found


def _poll(state: State, source: str, out: list[Effect]) -> None:
    """Sends a request; the time of the first unanswered one is kept."""
    relay = state.relay
    number = state.next_number()
    since = relay.unanswered.get(source, (0, state.now))[1]
    relay.unanswered[source] = (number, since)
    state.relay_requests[number] = (source, state.now)
    request = messages.RelayRequest(
        number, state.config.version, state.shards_revision
    )
    out.append(SendToPeer(source, request))


def _pop_request_time(state: State, sender: str, number: int) -> float | None:
    """Forgets a request that was answered and returns when it was sent."""
    request = state.relay_requests.pop(number, None)
    if request is None or request[0] != sender:
        return None
    state.relay.unanswered.pop(sender, None)
    return request[1]


def expire(state: State) -> None:
    """Drops requests that were never answered, and old subscribers."""
    limit_s = state.times.fresh_s
    for number, request in list(state.relay_requests.items()):
        if state.now - request[1] > limit_s:
            del state.relay_requests[number]
    keep_s = SUBSCRIBER_KEEP_REQUESTS * state.times.relay_ask_s
    for name, requested_at in list(state.relay.subscribers.items()):
        if state.now - requested_at > keep_s:
            del state.relay.subscribers[name]


def _all_zones_agree(state: State) -> bool:
    """Returns whether each other zone replied that it has nothing newer.

    An instance whose last confirmation is old cannot reach the store either.
    One with a recent confirmation states its age, which counts instead.
    """
    agreeing_zones = set()
    for name, (version, age_s) in state.relay.round_replies.items():
        if 0 <= age_s < _max_silence_s(state):
            return False
        if version == state.config.version:
            agreeing_zones.add(membership.zone_of(state, name))
    zones = _other_zones(state)
    return bool(zones) and zones <= agreeing_zones


def _make_reply(
    state: State, number: int, revision: int
) -> messages.RelayReply:
    """Returns a reply with the shard records newer than `revision`."""
    relay = state.relay
    age_s = NOT_CONFIRMED
    if relay.confirmed_current_at > leases.NEVER:
        age_s = state.now - relay.confirmed_current_at
        if age_s > state.times.fresh_s:
            age_s = NOT_CONFIRMED
    newer = []
    if revision < state.shards_revision:
        for record in state.shards.values():
            if record.revision > revision:
                newer.append(record)
    return messages.RelayReply(number, relay.head_version, age_s, tuple(newer))


def _push(state: State, out: list[Effect]) -> None:
    """Pushes the newest shard records and version to the subscribers."""
    for name in state.relay.subscribers:
        out.append(
            SendToPeer(name, _make_reply(state, 0, state.shards_revision - 1))
        )


def _learn_version(state: State, version: int, out: list[Effect]) -> None:
    """Fetches a configuration that is newer than the one in force."""
    relay = state.relay
    relay.head_version = max(relay.head_version, version)
    if relay.head_version <= state.config.version:
        return
    if relay.fetching_version >= relay.head_version:
        return
    relay.fetching_version = relay.head_version
    out.append(FetchConfig(relay.head_version))
    text = f"version {relay.head_version} is newer; loading it"
    out.append(Log(PREFIX, text))


def _confirm_current(state: State, at: float) -> None:
    """Records that `head_version` was certainly current at a time."""
    relay = state.relay
    relay.confirmed_current_at = max(relay.confirmed_current_at, at)
    _extend_freshness(state)


def _extend_freshness(state: State) -> None:
    """Extends `fresh_until` if the newest known version is in force."""
    relay = state.relay
    if state.config.version < relay.head_version:
        return
    if not state.config.version:
        return
    until = leases.holder_expiry(
        relay.confirmed_current_at, state.times.fresh_s
    )
    state.fresh_until = max(state.fresh_until, until)


@calls.resume.register
def _resume_head_read(
    continuation: HeadRead,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    relay = state.relay
    relay.is_reading_store = False
    found = event.answer
    if not isinstance(found, calls.StoredValue):
        return
    relay.store_answered_at = event.asked_at
    version = found.value["change"]["version"] if found.value else 0
    _learn_version(state, version, out)
    if version >= relay.head_version:
        _confirm_current(state, event.asked_at)


def needs_watch(state: State) -> bool:
    """Returns whether this instance has to watch the store itself."""
    return is_relay(state) or not choose_sources(state)
