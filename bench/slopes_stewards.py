"""Ticks of stewards, and of instances that do not know the shards yet."""

from bench import fits, fleets
from cuminwall import effects, events, state

MEMBERS = (90, 725, 1450, 2900)
TICKS = 4
LENT_TICKS = 20


def measure() -> list[fits.Slope]:
    """Returns every slope of this module."""
    steward, newcomer, first = [], [], []
    for members in MEMBERS:
        first.append((members, _first_s(members)))
        steward.append((members, _steward_s(members)))
        newcomer.append((members, _newcomer_s(members)))
    return [
        fits.fit("steward_tick_members", "s", "members", steward),
        fits.fit("newcomer_first_tick", "s", "members", first),
        fits.fit("newcomer_tick", "s", "members", newcomer),
    ]


def _make(members: int, shards: int) -> state.State:
    """Returns an instance that knows the list and no service."""
    made = fleets.make_state(shards)
    records = fleets.make_records(members)
    fleets.feed(made, events.InstancesListed(made.now, records))
    return made


def _steward_s(members: int) -> float:
    """Returns the time of a tick of the steward of one empty shard."""
    made = _make(members, 1)
    hold = state.Stewardship(0)
    hold.active = True
    hold.valid_until = made.now + 1000.0
    hold.renewed_at = made.now
    made.stewardships[0] = hold
    out: list[effects.Effect] = []
    out.extend(_tick(made))
    for effect in out:
        if isinstance(effect, effects.SwapValue):
            hold.record = effect.value
    hold.record_pending = False
    return _tick_s(made, LENT_TICKS)


def _newcomer(members: int) -> state.State:
    """Returns an instance before the first word of a relay."""
    made = _make(members, fleets.SHARDS)
    # Its turn to take a vacant shard does not come while this is measured.
    for shard in range(fleets.SHARDS):
        made.vacant_since[shard] = made.now + 1000.0
    return made


def _first_s(members: int) -> float:
    """Returns the time of its first tick, which ranks for every shard."""
    fresh = iter([_newcomer(members) for _ in range(fits.REPEATS)])
    return fits.cpu_s(lambda: _tick(next(fresh)))


def _newcomer_s(members: int) -> float:
    """Returns the time of a later tick."""
    made = _newcomer(members)
    return _tick_s(made, TICKS)


def _tick(made: state.State) -> list[effects.Effect]:
    made.relay.round_started_at = made.now
    return fleets.feed(made, events.Tick(made.now))


def _tick_s(made: state.State, ticks: int) -> float:
    return fits.cpu_per_call_s(lambda: _tick(made), ticks)
