"""Write leases: a round at the home and at the steward, in time and bytes."""

import functools

from bench import fits, fleets
from cuminwall import (
    effects,
    events,
    messages,
    placement,
    probes,
    state,
    writeleases,
)

GROUPS = (2, 8, 32, 128)
HOLDERS = (2, 8, 16, 32)
FIXED_GROUPS = 33
ROUNDS = 10
TICKS = 20
LSN = 1_000_000_000


def measure() -> list[fits.Slope]:
    """Returns every slope of this module."""
    home_s, steward_s, answer_s, ask_b, answer_b = [], [], [], [], []
    memory, idle, probe = [], [], []
    stands_home, stands_steward, stands_b = [], [], []
    for groups in GROUPS:
        home = make_home(groups, 1)
        steward = make_steward(groups)
        ask = _ask_of(home)
        answer = _answer_of(steward, ask)
        said = events.PeerMessageReceived(steward.now, "entry-00001", ask)
        heard = events.PeerMessageReceived(home.now, home.instance, answer)
        home_s.append((groups, _ask_s(home)))
        steward_s.append((groups, _feed_s(steward, said)))
        answer_s.append((groups, _feed_s(home, heard)))
        ask_b.append((groups, len(messages.encode(ask))))
        let_stand(home)
        short = _ask_of(home)
        said = events.PeerMessageReceived(steward.now, "entry-00001", short)
        stands_home.append((groups, _ask_s(home)))
        stands_steward.append((groups, _feed_s(steward, said)))
        stands_b.append((groups, len(messages.encode(short))))
        answer_b.append((groups, len(messages.encode(answer))))
        memory.append(
            (groups, fits.memory_bytes(functools.partial(make_home, groups, 1)))
        )
        idle.append((groups, _tick_s(make_home(groups, fleets.SHARDS))))
        probe.append((groups, _probe_s(home)))
    holders = []
    lent = []
    for count in HOLDERS:
        holders.append((count, _holder_memory(count)))
        lent.append((count, _steward_tick_s(count)))
    return [
        fits.fit("lease_ask_home", "s", "groups", home_s),
        fits.fit("lease_ask_steward", "s", "groups", steward_s),
        fits.fit("lease_answer_home", "s", "groups", answer_s),
        fits.fit("lease_ask_bytes", "bytes", "groups", ask_b),
        fits.fit("lease_stands_home", "s", "groups", stands_home),
        fits.fit("lease_stands_steward", "s", "groups", stands_steward),
        fits.fit("lease_stands_bytes", "bytes", "groups", stands_b),
        fits.fit("lease_answer_bytes", "bytes", "groups", answer_b),
        fits.fit("group_memory", "bytes", "groups", memory),
        fits.fit("tick_by_groups", "s", "groups", idle),
        fits.fit("probe_taken", "s", "groups", probe),
        fits.fit("holder_memory", "bytes", "homes", holders),
        fits.fit("steward_tick", "s", "homes", lent),
    ]


def make_home(groups: int, shards: int) -> state.State:
    """Returns a home of `groups` groups, all held and probed."""
    home = fleets.make_home(groups, 1, shards)
    for service, group in home.groups.items():
        group.record = record_of(service)
        group.lease_term = 1
        group.lease_until = home.now + 1000.0
        for name in group.servers:
            answer = probes.ProbeAnswer(name != "s0", LSN, 1)
            fleets.feed(
                home,
                events.ServerProbed(home.now, service, name, home.now, answer),
            )
        group.reports_changed = False
    return home


def let_stand(home: state.State) -> None:
    """Lets the steward have answered the last reports of every group."""
    for group in home.groups.values():
        shard = placement.shard_of(group.service, home.shard_count)
        group.reported_to = home.shards[shard].steward
        group.reported_at = home.now


def record_of(service: str) -> messages.GroupRecord:
    """Returns the record of a group whose first primary still serves."""
    return messages.GroupRecord(
        service, True, (messages.TermEntry(1, "s0", 1, 0),)
    )


def make_steward(groups: int) -> state.State:
    """Returns the steward of the one shard with all groups."""
    steward = fleets.make_home(groups, 1, 1)
    hold = state.Stewardship(0)
    hold.active = True
    hold.epoch = 1
    hold.valid_until = steward.now + 1000.0
    hold.renewed_at = steward.now
    hold.record = {"successors": []}
    for number in range(groups):
        service = fleets.service_name(number)
        charge = hold.managed_groups[service] = state.ManagedGroup(service)
        charge.record = record_of(service)
    steward.stewardships[0] = hold
    return steward


def _ask_of(home: state.State) -> messages.LeaseRequest:
    out: list[effects.Effect] = []
    home.lease_requests.clear()
    writeleases.send_due_requests(home, out)
    said = [item for item in out if isinstance(item, effects.SendToPeer)]
    message = said[0].message
    assert isinstance(message, messages.LeaseRequest)
    return message


def _answer_of(
    steward: state.State, ask: messages.LeaseRequest
) -> messages.LeaseReply:
    said = events.PeerMessageReceived(steward.now, "entry-00001", ask)
    out = fleets.feed(steward, said)
    sent = [item for item in out if isinstance(item, effects.SendToPeer)]
    message = sent[0].message
    assert isinstance(message, messages.LeaseReply)
    return message


def _ask_s(home: state.State) -> float:
    """Returns the time of making and encoding an ask."""
    return fits.cpu_per_call_s(lambda: messages.encode(_ask_of(home)), ROUNDS)


def _feed_s(receiver: state.State, event: events.PeerMessageReceived) -> float:
    """Returns the time of decoding, taking in and answering a message."""
    data = messages.encode(event.message)

    def take() -> None:
        message = messages.decode(data)
        out = fleets.feed(receiver, event._replace(message=message))
        for effect in out:
            if isinstance(effect, effects.SendToPeer):
                messages.encode(effect.message)

    return fits.cpu_per_call_s(take, ROUNDS)


def _tick_s(home: state.State) -> float:
    """Returns the time of a tick at which nothing is due."""
    for shard in range(home.shard_count):
        home.lease_requests[shard] = (0, home.now)

    def tick() -> None:
        home.relay.round_started_at = home.now
        fleets.feed(home, events.Tick(home.now))

    return fits.cpu_per_call_s(tick, TICKS)


def _probe_s(home: state.State) -> float:
    """Returns the time of taking in one probe of each server."""
    answer = probes.ProbeAnswer(True, LSN, 1)

    def take() -> None:
        for service in home.groups:
            for name in ("s1", "s2"):
                event = events.ServerProbed(
                    home.now, service, name, home.now, answer
                )
                fleets.feed(home, event)

    return fits.cpu_per_call_s(take, ROUNDS)


def _lend(steward: state.State, homes: int) -> None:
    """Lets every group be lent to several homes."""
    ask = _ask_of(make_home(FIXED_GROUPS, 1))
    for number in range(homes):
        sender = fleets.instance_name(number)
        fresh = messages.decode(messages.encode(ask))
        assert isinstance(fresh, messages.LeaseRequest)
        zoned = fresh._replace(zone=fleets.zone_name(number))
        fleets.feed(
            steward, events.PeerMessageReceived(steward.now, sender, zoned)
        )


def _holder_memory(homes: int) -> float:
    def make() -> state.State:
        steward = make_steward(FIXED_GROUPS)
        _lend(steward, homes)
        return steward

    return fits.memory_bytes(make)


def _steward_tick_s(homes: int) -> float:
    steward = make_steward(FIXED_GROUPS)
    _lend(steward, homes)
    fleets.feed(steward, events.Tick(steward.now))
    # What is known only since a moment is looked at more closely.
    steward.now += 2 * steward.times.report_age_s
    _lend(steward, homes)
    fleets.feed(steward, events.Tick(steward.now))
    return _tick_s(steward)
