"""How an instance knows that its configuration is current.

A few relays in each availability zone read the store; the other instances ask
them, so that store reads do not grow with the fleet. What an answer proves is
counted from before the question. When the store is silent, a relay asks the
other zones: the newest proof that one of them has counts, and if every zone
answers with this version and none has a proof, the version is taken as
current, since nobody can have changed it.
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
    """The head of the configuration was read."""


def is_relay(state: State) -> bool:
    """Returns whether this instance reads the store for its zone."""
    return state.instance in membership.relays(state, state.zone)


def tick(state: State, out: list[Effect]) -> None:
    """Asks for what is new, where it is time."""
    relay = state.relay
    if state.now - relay.round_started_at < state.times.relay_ask_s:
        return
    relay.round_started_at = state.now
    relay.round_replies.clear()
    asked = choose_sources(state)
    if is_relay(state) or not asked:
        if not relay.is_reading_store:
            relay.is_reading_store = True
            calls.read(state, calls.CONFIG_HEAD_KEY, HeadRead(), out)
    silent_s = state.now - relay.confirmed_current_at
    if is_relay(state):
        if silent_s >= SILENT_REQUESTS * state.times.relay_ask_s:
            for source in _other_zone_relays(state):
                _ask(state, source, out)
        return
    for source in asked:
        _ask(state, source, out)


def handle_request(
    state: State, sender: str, ask: messages.RelayRequest, out: list[Effect]
) -> None:
    """Answers another instance."""
    relay = state.relay
    relay.subscribers[sender] = state.now
    out.append(SendToPeer(sender, _news(state, ask.number, ask.revision)))
    if ask.version > relay.head_version:
        _learn_version(state, ask.version, out)


def handle_reply(
    state: State,
    sender: str,
    answer: messages.RelayReply,
    out: list[Effect],
) -> None:
    """Takes over what another instance knows."""
    for record in answer.shards:
        apply_shard_record(state, record)
    _learn_version(state, answer.version, out)
    asked_at = _asked_at(state, sender, answer.number)
    if asked_at is None:
        return
    relay = state.relay
    relay.round_replies[sender] = (answer.version, answer.age_s)
    if answer.version < relay.head_version:
        return
    if answer.age_s >= 0:
        _prove(state, asked_at - answer.age_s)
    if is_relay(state) and _all_zones_agree(state):
        _prove(state, relay.round_started_at)


def handle_config_loaded(state: State) -> None:
    """Notes that a configuration was taken over."""
    relay = state.relay
    if state.config.version >= relay.fetching_version:
        relay.fetching_version = 0
    relay.head_version = max(relay.head_version, state.config.version)
    _extend(state)


def handle_store_value(
    state: State, event: events.StoreValueSeen, out: list[Effect]
) -> None:
    """Takes over a value that the store's watch showed."""
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
    """Takes over a newer record of a shard."""
    known = state.shards.get(record.shard)
    if known is not None and record.revision <= known.revision:
        return
    state.shards[record.shard] = record
    state.shards_revision = max(state.shards_revision, record.revision)


def _shard_record(shard: int, keys: ShardKeys) -> messages.ShardRecord:
    """Returns a shard's two keys as one record."""
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
    """Returns whom to ask: a relay here, or others if none answers."""
    relay = state.relay
    # Each instance has its own order, so that the relays share the asks.
    own_relays = placement.ranked(
        f"ask:{state.instance}", membership.relays(state, state.zone)
    )
    for name in own_relays:
        if name == state.instance:
            continue
        asked = relay.unanswered.get(name)
        if asked is None or state.now - asked[1] < _patience_s(state):
            return [name]
    found = []
    for name in own_relays:
        if name != state.instance:
            found.append(name)
    return found + _other_zone_relays(state)


def _patience_s(state: State) -> float:
    """Returns how long a source may leave an ask unanswered."""
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


def _ask(state: State, source: str, out: list[Effect]) -> None:
    """Asks one source; the first unanswered ask keeps its time."""
    relay = state.relay
    number = state.next_number()
    since = relay.unanswered.get(source, (0, state.now))[1]
    relay.unanswered[source] = (number, since)
    state.relay_requests[number] = (source, state.now)
    ask = messages.RelayRequest(
        number, state.config.version, state.shards_revision
    )
    out.append(SendToPeer(source, ask))


def _asked_at(state: State, sender: str, number: int) -> float | None:
    """Returns when an ask was sent whose answer this is."""
    asked = state.relay_requests.pop(number, None)
    if asked is None or asked[0] != sender:
        return None
    state.relay.unanswered.pop(sender, None)
    return asked[1]


def expire(state: State) -> None:
    """Forgets asks that were never answered, and old subscribers."""
    limit_s = state.times.fresh_s
    for number, asked in list(state.relay_requests.items()):
        if state.now - asked[1] > limit_s:
            del state.relay_requests[number]
    keep_s = SUBSCRIBER_KEEP_REQUESTS * state.times.relay_ask_s
    for name, asked_at in list(state.relay.subscribers.items()):
        if state.now - asked_at > keep_s:
            del state.relay.subscribers[name]


def _all_zones_agree(state: State) -> bool:
    """Returns whether each other zone answered that it has nothing newer.

    An instance whose proof is old reaches the store no more than this one. As
    long as a proof is young it says itself how long the version was current.
    """
    answered_zones = set()
    for name, (version, age_s) in state.relay.round_replies.items():
        if 0 <= age_s < _patience_s(state):
            return False
        if version == state.config.version:
            answered_zones.add(membership.zone_of(state, name))
    zones = _other_zones(state)
    return bool(zones) and zones <= answered_zones


def _news(state: State, number: int, revision: int) -> messages.RelayReply:
    """Returns what this instance knows, beyond `revision`."""
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
    """Tells everyone who asked lately what is new."""
    for name in state.relay.subscribers:
        out.append(SendToPeer(name, _news(state, 0, state.shards_revision - 1)))


def _learn_version(state: State, version: int, out: list[Effect]) -> None:
    """Loads a configuration that is newer than the one in force."""
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


def _prove(state: State, proof_at: float) -> None:
    """Notes that `head_version` was surely current at `proof_at`."""
    relay = state.relay
    relay.confirmed_current_at = max(relay.confirmed_current_at, proof_at)
    _extend(state)


def _extend(state: State) -> None:
    """Counts the configuration as current if it is the newest known."""
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
def _head_read(
    then: HeadRead,
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
        _prove(state, event.asked_at)


def needs_watch(state: State) -> bool:
    """Returns whether this instance shall watch the store itself."""
    return is_relay(state) or not choose_sources(state)
