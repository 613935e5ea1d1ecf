"""Measures write-lease rounds at homes and stewards, in time and bytes."""

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
    home_s, steward_s, reply_s, request_bytes, reply_bytes = [], [], [], [], []
    memory, idle, probe = [], [], []
    stands_home, stands_steward, stands_bytes = [], [], []
    for groups in GROUPS:
        home = make_home(groups, 1)
        steward = make_steward(groups)
        request = _make_request(home)
        reply = _make_reply(steward, request)
        received = events.PeerMessageReceived(
            steward.now, "entry-00001", request
        )
        reply_received = events.PeerMessageReceived(
            home.now, home.instance, reply
        )
        home_s.append((groups, _request_s(home)))
        steward_s.append((groups, _feed_s(steward, received)))
        reply_s.append((groups, _feed_s(home, reply_received)))
        request_bytes.append((groups, len(messages.encode(request))))
        acknowledge_reports(home)
        short = _make_request(home)
        received = events.PeerMessageReceived(steward.now, "entry-00001", short)
        stands_home.append((groups, _request_s(home)))
        stands_steward.append((groups, _feed_s(steward, received)))
        stands_bytes.append((groups, len(messages.encode(short))))
        reply_bytes.append((groups, len(messages.encode(reply))))
        memory.append(
            (groups, fits.memory_bytes(functools.partial(make_home, groups, 1)))
        )
        idle.append((groups, _tick_s(make_home(groups, fleets.SHARDS))))
        probe.append((groups, _probe_s(home)))
    holders = []
    steward_ticks = []
    for count in HOLDERS:
        holders.append((count, _holder_memory(count)))
        steward_ticks.append((count, _steward_tick_s(count)))
    return [
        fits.fit("lease_ask_home", "s", "groups", home_s),
        fits.fit("lease_ask_steward", "s", "groups", steward_s),
        fits.fit("lease_answer_home", "s", "groups", reply_s),
        fits.fit("lease_ask_bytes", "bytes", "groups", request_bytes),
        fits.fit("lease_stands_home", "s", "groups", stands_home),
        fits.fit("lease_stands_steward", "s", "groups", stands_steward),
        fits.fit("lease_stands_bytes", "bytes", "groups", stands_bytes),
        fits.fit("lease_answer_bytes", "bytes", "groups", reply_bytes),
        fits.fit("group_memory", "bytes", "groups", memory),
        fits.fit("tick_by_groups", "s", "groups", idle),
        fits.fit("probe_taken", "s", "groups", probe),
        fits.fit("holder_memory", "bytes", "homes", holders),
        fits.fit("steward_tick", "s", "homes", steward_ticks),
    ]


def make_home(groups: int, shards: int) -> state.State:
    """Returns a home of `groups` groups, each with a write lease and probes."""
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


def acknowledge_reports(home: state.State) -> None:
    """Marks the current reports of every group as acknowledged."""
    for group in home.groups.values():
        shard = placement.shard_of(group.service, home.shard_count)
        group.reported_to = home.shards[shard].steward
        group.reported_at = home.now


def record_of(service: str) -> messages.GroupRecord:
    """Returns the record of a group that has had one primary only."""
    return messages.GroupRecord(
        service, True, (messages.TermEntry(1, "s0", 1, 0),)
    )


def make_steward(groups: int) -> state.State:
    """Returns the steward of the only shard, which has all groups."""
    steward = fleets.make_home(groups, 1, 1)
    stewardship = state.Stewardship(0)
    stewardship.active = True
    stewardship.epoch = 1
    stewardship.valid_until = steward.now + 1000.0
    stewardship.renewed_at = steward.now
    stewardship.record = {"successors": []}
    for number in range(groups):
        service = fleets.service_name(number)
        managed_group = stewardship.managed_groups[service] = (
            state.ManagedGroup(service)
        )
        managed_group.record = record_of(service)
    steward.stewardships[0] = stewardship
    return steward


def _make_request(home: state.State) -> messages.LeaseRequest:
    out: list[effects.Effect] = []
    home.lease_requests.clear()
    writeleases.send_due_requests(home, out)
    sent = [item for item in out if isinstance(item, effects.SendToPeer)]
    message = sent[0].message
    assert isinstance(message, messages.LeaseRequest)
    return message


def _make_reply(
    steward: state.State, request: messages.LeaseRequest
) -> messages.LeaseReply:
    received = events.PeerMessageReceived(steward.now, "entry-00001", request)
    out = fleets.feed(steward, received)
    sent = [item for item in out if isinstance(item, effects.SendToPeer)]
    message = sent[0].message
    assert isinstance(message, messages.LeaseReply)
    return message


def _request_s(home: state.State) -> float:
    """Returns the time of making and encoding a lease request."""
    return fits.cpu_per_call_s(
        lambda: messages.encode(_make_request(home)), ROUNDS
    )


def _feed_s(receiver: state.State, event: events.PeerMessageReceived) -> float:
    """Returns the time of decoding, handling and answering a message."""
    data = messages.encode(event.message)

    def handle() -> None:
        message = messages.decode(data)
        out = fleets.feed(receiver, event._replace(message=message))
        for effect in out:
            if isinstance(effect, effects.SendToPeer):
                messages.encode(effect.message)

    return fits.cpu_per_call_s(handle, ROUNDS)


def _tick_s(home: state.State) -> float:
    """Returns the time of a tick at which nothing is due."""
    for shard in range(home.shard_count):
        home.lease_requests[shard] = (0, home.now)

    def tick() -> None:
        home.relay.round_started_at = home.now
        fleets.feed(home, events.Tick(home.now))

    return fits.cpu_per_call_s(tick, TICKS)


def _probe_s(home: state.State) -> float:
    """Returns the time of handling one probe of two servers of each group."""
    answer = probes.ProbeAnswer(True, LSN, 1)

    def handle() -> None:
        for service in home.groups:
            for name in ("s1", "s2"):
                event = events.ServerProbed(
                    home.now, service, name, home.now, answer
                )
                fleets.feed(home, event)

    return fits.cpu_per_call_s(handle, ROUNDS)


def _grant_leases(steward: state.State, homes: int) -> None:
    """Makes several homes lease every group from the steward."""
    request = _make_request(make_home(FIXED_GROUPS, 1))
    for number in range(homes):
        sender = fleets.instance_name(number)
        copy = messages.decode(messages.encode(request))
        assert isinstance(copy, messages.LeaseRequest)
        zone_request = copy._replace(zone=fleets.zone_name(number))
        fleets.feed(
            steward,
            events.PeerMessageReceived(steward.now, sender, zone_request),
        )


def _holder_memory(homes: int) -> float:
    def make() -> state.State:
        steward = make_steward(FIXED_GROUPS)
        _grant_leases(steward, homes)
        return steward

    return fits.memory_bytes(make)


def _steward_tick_s(homes: int) -> float:
    steward = make_steward(FIXED_GROUPS)
    _grant_leases(steward, homes)
    fleets.feed(steward, events.Tick(steward.now))
    # Recent reports are checked more closely, so let them age and renew them.
    steward.now += 2 * steward.times.report_age_s
    _grant_leases(steward, homes)
    fleets.feed(steward, events.Tick(steward.now))
    return _tick_s(steward)
