"""Measures what a relay does for its subscribers."""

from bench import fits, fleets
from cuminwall import calls, effects, events, messages, state

SUBSCRIBERS = (5, 20, 72, 362)
SHARDS = (8, 32, 128)
ROUNDS = 5


def measure() -> list[fits.Slope]:
    """Returns every slope of this module."""
    answered, pushed, sent = [], [], []
    for count in SUBSCRIBERS:
        relay = make_relay(count, fleets.SHARDS)
        answered.append((count, _answer_s(relay, count)))
        pushed.append((count, _push_s(relay)))
        sent.append((count, _push_bytes(relay)))
    first = []
    for shards in SHARDS:
        relay = make_relay(1, shards)
        first.append((shards, _first_answer_bytes(relay)))
    return [
        fits.fit("relay_asked", "s", "subscribers", answered),
        fits.fit("relay_push", "s", "subscribers", pushed),
        fits.fit("relay_push_bytes", "bytes", "subscribers", sent),
        fits.fit("first_answer_bytes", "bytes", "shards", first),
        fits.fit("relay_ask_bytes", "bytes", "asks", _exchange_bytes(0)),
        fits.fit("relay_answer_bytes", "bytes", "asks", _exchange_bytes(1)),
    ]


def make_relay(subscribers: int, shards: int) -> state.State:
    """Returns a relay that `subscribers` instances have sent requests to."""
    relay = fleets.make_state(shards)
    records = fleets.make_records(fleets.ZONES)
    fleets.feed(relay, events.InstancesListed(relay.now, records))
    fleets.set_stewards(relay, fleets.ZONES)
    relay.relay.confirmed_current_at = relay.now
    for number in range(subscribers):
        fleets.feed(relay, _make_request(relay, number))
    return relay


def _make_request(
    relay: state.State, number: int
) -> events.PeerMessageReceived:
    request = messages.RelayRequest(
        1_000_000 + number, 0, relay.shards_revision
    )
    return events.PeerMessageReceived(
        relay.now, fleets.instance_name(number), request
    )


def _answer_s(relay: state.State, count: int) -> float:
    """Returns the time of answering one request of each subscriber."""

    def answer() -> None:
        for number in range(count):
            for effect in fleets.feed(relay, _make_request(relay, number)):
                if isinstance(effect, effects.SendToPeer):
                    messages.encode(effect.message)

    return fits.cpu_per_call_s(answer, ROUNDS)


def _push(relay: state.State) -> list[effects.Effect]:
    """Feeds a change of a shard's key; returns the effects."""
    revision = relay.shards_revision + 1
    value = {"instance": "entry-00001", "shard": 1}
    key = f"{calls.STEWARDS_PREFIX}1"
    event = events.StoreValueSeen(relay.now, key, revision, value)
    return fleets.feed(relay, event)


def _push_s(relay: state.State) -> float:
    def push() -> None:
        for effect in _push(relay):
            if isinstance(effect, effects.SendToPeer):
                messages.encode(effect.message)

    return fits.cpu_per_call_s(push, ROUNDS)


def _push_bytes(relay: state.State) -> float:
    size = 0
    for effect in _push(relay):
        if isinstance(effect, effects.SendToPeer):
            size += len(messages.encode(effect.message))
    return float(size)


def _first_answer_bytes(relay: state.State) -> float:
    """Returns the size of the reply to the first request of an instance."""
    request = messages.RelayRequest(1_000_000, 0, 0)
    event = events.PeerMessageReceived(relay.now, "entry-00001", request)
    for effect in fleets.feed(relay, event):
        if isinstance(effect, effects.SendToPeer):
            return float(len(messages.encode(effect.message)))
    return 0.0


def _exchange_bytes(is_reply: int) -> list[tuple[float, float]]:
    """Returns the bytes of 1, 2 and 4 requests, or of their replies."""
    relay = make_relay(1, fleets.SHARDS)
    event = _make_request(relay, 0)
    message = event.message
    if is_reply:
        for effect in fleets.feed(relay, event):
            if isinstance(effect, effects.SendToPeer):
                message = effect.message
    size = float(len(messages.encode(message)))
    return [(float(count), count * size) for count in (1, 2, 4)]
