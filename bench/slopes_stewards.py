"""Measures ticks of stewards and of instances new to the fleet."""

from bench import fits, fleets
from cuminwall import effects, events, state

MEMBERS = (90, 725, 1450, 2900)
TICKS = 4
STEWARD_TICKS = 20


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


def _make_member(members: int, shards: int) -> state.State:
    """Returns the state of an instance with an instance list, no services."""
    member = fleets.make_state(shards)
    records = fleets.make_records(members)
    fleets.feed(member, events.InstancesListed(member.now, records))
    return member


def _steward_s(members: int) -> float:
    """Returns the time of a tick of the steward of one empty shard."""
    member = _make_member(members, 1)
    stewardship = state.Stewardship(0)
    stewardship.active = True
    stewardship.valid_until = member.now + 1000.0
    stewardship.renewed_at = member.now
    member.stewardships[0] = stewardship
    out: list[effects.Effect] = []
    out.extend(_tick(member))
    for effect in out:
        if isinstance(effect, effects.SwapValue):
            stewardship.record = effect.value
    stewardship.record_pending = False
    return _tick_s(member, STEWARD_TICKS)


def _make_newcomer(members: int) -> state.State:
    """Returns the state of an instance before the first reply of a relay."""
    member = _make_member(members, fleets.SHARDS)
    # It must not try to acquire a vacant shard while this is measured.
    for shard in range(fleets.SHARDS):
        member.vacant_since[shard] = member.now + 1000.0
    return member


def _first_s(members: int) -> float:
    """Returns the time of its first tick.

    That tick ranks the instances for every shard.
    """
    newcomers = iter([_make_newcomer(members) for _ in range(fits.REPEATS)])
    return fits.cpu_s(lambda: _tick(next(newcomers)))


def _newcomer_s(members: int) -> float:
    """Returns the time of a later tick."""
    member = _make_newcomer(members)
    return _tick_s(member, TICKS)


def _tick(member: state.State) -> list[effects.Effect]:
    member.relay.round_started_at = member.now
    return fleets.feed(member, events.Tick(member.now))


def _tick_s(member: state.State, ticks: int) -> float:
    return fits.cpu_per_call_s(lambda: _tick(member), ticks)
