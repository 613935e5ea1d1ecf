"""Requests shares from the stewards: one message per shard and interval.

Only limits in use on this instance are requested. A limit that runs short is
requested immediately, in a message of its own.
"""

import functools
from typing import Any

from cuminwall import (
    buckets,
    connectionshares,
    messages,
    placement,
    rates,
    shares,
)
from cuminwall.effects import Effect, Log, Say
from cuminwall.state import Group, Server, ServerShare, State

PREFIX = "shares"

Holder = buckets.Bucket | ServerShare


def take_up_workspace(state: State, workspace: str) -> buckets.Bucket | None:
    """Returns a workspace's bucket; requests a share if the bucket is new."""
    is_new = workspace not in state.buckets
    bucket = rates.find(state, workspace)
    if bucket is not None and is_new:
        shard = placement.shard_of(workspace, state.shard_count)
        state.share_holders.setdefault(shard, {})[bucket.line.name] = bucket
        state.urgent_shares[bucket.line.name] = bucket
    return bucket


def take_up_server(state: State, group: Group, server: Server) -> None:
    """Starts to request connections to a backend server."""
    holder = connectionshares.take_up(group, server)
    shard = placement.shard_of(group.service, state.shard_count)
    state.share_holders.setdefault(shard, {})[holder.line.name] = holder
    state.urgent_shares[holder.line.name] = holder


def give_back_group(state: State, group: Group, out: list[Effect]) -> None:
    """Releases the connections of a group that is no longer served here."""
    shard = placement.shard_of(group.service, state.shard_count)
    holders = state.share_holders.get(shard, {})
    reports = []
    for server in group.servers.values():
        holders.pop(server.share.name, None)
        state.urgent_shares.pop(server.share.name, None)
        if any(server.share.held) or any(server.share.floor):
            reports.append(connectionshares.give_back(server))
            connectionshares.apply(state, group, server, out)
    _send(state, shard, state.next_number(), reports, out)


def tick(state: State, out: list[Effect]) -> None:
    """Sends the requests that are due."""
    for group in state.groups.values():
        _mark_urgent_servers(state, group)
    for shard, holders in state.share_holders.items():
        last_at = state.share_asks.get(shard)
        if (
            last_at is not None
            and state.now - last_at < state.times.share_renew_s
        ):
            continue
        if not holders or not _steward(state, shard):
            continue
        state.share_asks[shard] = state.now
        _request(state, shard, list(holders.values()), out)
    for holder in list(state.urgent_shares.values()):
        ask_at_once(state, holder, out)


def ask_at_once(state: State, holder: Holder, out: list[Effect]) -> None:
    """Requests one limit now, unless a request is pending or backing off."""
    if not shares.may_ask_now(holder.line, state.now):
        return
    shard = _shard_of(state, holder)
    if _steward(state, shard):
        _request(state, shard, [holder], out)


def answered(
    state: State, reply: messages.ShareAnswer, out: list[Effect]
) -> None:
    """Applies the grants of a lender's reply."""
    holders = state.share_holders.get(reply.shard, {})
    for grant in reply.grants:
        holder = holders.get(grant.name)
        if holder is None:
            continue
        accepted = granted(holder, state, reply.number, grant, out)
        if accepted is None:
            continue
        if accepted.has_shrunk:
            # The lender can grant the difference to others once it is reported.
            state.urgent_shares[grant.name] = holder
        if accepted.has_grown or grant.level:
            holder.line.pause_s = shares.FIRST_PAUSE_S


@functools.singledispatch
def state_line(holder: Any, state: State) -> messages.ShareLine:
    """Returns the report on a share for the next request."""
    raise TypeError(type(holder))


@state_line.register
def _(holder: buckets.Bucket, state: State) -> messages.ShareLine:
    if not rates.is_idle(state, holder):
        return buckets.state_line(holder, state.now)
    shard = _shard_of(state, holder)
    del state.buckets[holder.workspace]
    del state.share_holders[shard][holder.line.name]
    return buckets.give_back(holder, state.now)


@state_line.register
def _(holder: ServerShare, state: State) -> messages.ShareLine:
    group = state.groups[holder.service]
    return connectionshares.state_line(group.servers[holder.server], state.now)


@functools.singledispatch
def granted(
    holder: Any,
    state: State,
    number: int,
    grant: messages.ShareGrant,
    out: list[Effect],
) -> shares.Accepted | None:
    """Applies a grant; returns None if it is not for the latest request."""
    raise TypeError(type(holder))


@granted.register
def _(
    holder: buckets.Bucket,
    state: State,
    number: int,
    grant: messages.ShareGrant,
    out: list[Effect],
) -> shares.Accepted | None:
    return buckets.granted(holder, number, grant, state.now)


@granted.register
def _(
    holder: ServerShare,
    state: State,
    number: int,
    grant: messages.ShareGrant,
    out: list[Effect],
) -> shares.Accepted | None:
    accepted = shares.accept(holder.line, number, grant, state.now)
    if accepted is None:
        return None
    group = state.groups[holder.service]
    server = group.servers[holder.server]
    if accepted.has_grown or accepted.has_shrunk:
        count = int(shares.usable(holder.line, state.now)[0])
        text = f"{holder.line.name}: {count} granted to this instance"
        out.append(Log(PREFIX, text))
    connectionshares.note_bounds(state, server)
    connectionshares.apply(state, group, server, out)
    if connectionshares.needs_more(server):
        shares.lengthen_pause(holder.line)
    return accepted


def _mark_urgent_servers(state: State, group: Group) -> None:
    """Marks the servers for which jobs wait for a connection."""
    for server in group.servers.values():
        if not connectionshares.needs_more(server) or server.out:
            continue
        name = server.share.name
        shard = placement.shard_of(group.service, state.shard_count)
        state.urgent_shares[name] = state.share_holders[shard][name]


def _request(
    state: State, shard: int, holders: list[Holder], out: list[Effect]
) -> None:
    """Sends one request for some limits of a shard."""
    number = state.next_number()
    reports = []
    for holder in holders:
        share = holder.line
        since_s = state.now - share.asked_at
        if not share.is_answered and since_s < shares.ASK_TIMEOUT_S:
            continue
        state.urgent_shares.pop(share.name, None)
        report = state_line(holder, state)
        reports.append(report)
        shares.note_asked(share, number, state.now, report.short > 0)
    _send(state, shard, number, reports, out)


def _send(
    state: State,
    shard: int,
    number: int,
    reports: list[messages.ShareLine],
    out: list[Effect],
) -> None:
    """Sends reports to the steward of a shard, if there are any."""
    steward = _steward(state, shard)
    if not reports or not steward:
        return
    epoch = state.shards[shard].epoch
    request = messages.ShareAsk(
        number, shard, epoch, state.started_at, tuple(reports)
    )
    out.append(Say(steward, request))


def _steward(state: State, shard: int) -> str:
    """Returns the steward of a shard, or "" if none is known."""
    record = state.shards.get(shard)
    return record.steward if record is not None else ""


def _shard_of(state: State, holder: Holder) -> int:
    """Returns the shard of a holder's limit."""
    subject = holder.line.name.partition(":")[2].partition("/")[0]
    return placement.shard_of(subject, state.shard_count)
