"""Asking the stewards for shares: one message for each shard and interval.

Only limits that are used on this instance are asked for. A limit that runs
short is asked for at once, by itself.
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
from cuminwall.effects import Effect, Log, SendToPeer
from cuminwall.state import Group, Server, ServerShare, State

PREFIX = "shares"

Holder = buckets.Bucket | ServerShare


def track_workspace(state: State, workspace: str) -> buckets.Bucket | None:
    """Returns a workspace's bucket, and asks for a share if it is new."""
    is_new = workspace not in state.buckets
    bucket = rates.get_bucket(state, workspace)
    if bucket is not None and is_new:
        shard = placement.shard_of(workspace, state.shard_count)
        state.share_holders.setdefault(shard, {})[bucket.share.name] = bucket
        state.urgent_shares[bucket.share.name] = bucket
    return bucket


def track_server(state: State, group: Group, server: Server) -> None:
    """Begins to ask for connections to a backend server."""
    holder = connectionshares.create_share(group, server)
    shard = placement.shard_of(group.service, state.shard_count)
    state.share_holders.setdefault(shard, {})[holder.share.name] = holder
    state.urgent_shares[holder.share.name] = holder


def release_group(state: State, group: Group, out: list[Effect]) -> None:
    """Gives a group's connections back, when this is its home no more."""
    shard = placement.shard_of(group.service, state.shard_count)
    holders = state.share_holders.get(shard, {})
    lines = []
    for server in group.servers.values():
        holders.pop(server.share.name, None)
        state.urgent_shares.pop(server.share.name, None)
        if any(server.share.held) or any(server.share.floor):
            lines.append(connectionshares.release(server))
            connectionshares.apply_share(state, group, server, out)
    _say(state, shard, state.next_number(), lines, out)


def tick(state: State, out: list[Effect]) -> None:
    """Sends what is due."""
    for group in state.groups.values():
        _mark_urgent_servers(state, group)
    for shard, holders in state.share_holders.items():
        last = state.share_requested_at.get(shard)
        if last is not None and state.now - last < state.times.share_renew_s:
            continue
        if not holders or not _steward(state, shard):
            continue
        state.share_requested_at[shard] = state.now
        _ask(state, shard, list(holders.values()), out)
    for holder in list(state.urgent_shares.values()):
        request_now(state, holder, out)


def request_now(state: State, holder: Holder, out: list[Effect]) -> None:
    """Asks for one limit now, unless an ask is on its way or was of no use."""
    if not shares.may_request_now(holder.share, state.now):
        return
    shard = _shard_of(state, holder)
    if _steward(state, shard):
        _ask(state, shard, [holder], out)


def handle_reply(
    state: State, answer: messages.ShareReply, out: list[Effect]
) -> None:
    """Takes in a lender's answer."""
    holders = state.share_holders.get(answer.shard, {})
    for grant in answer.grants:
        holder = holders.get(grant.name)
        if holder is None:
            continue
        accepted = apply_grant(holder, state, answer.number, grant, out)
        if accepted is None:
            continue
        if accepted.has_shrunk:
            # Others wait for what was given up.
            state.urgent_shares[grant.name] = holder
        if accepted.has_grown or grant.level:
            holder.share.backoff_s = shares.MIN_BACKOFF_S


@functools.singledispatch
def make_report(holder: Any, state: State) -> messages.ShareReport:
    """Returns what an ask states of a holder's limit."""
    raise TypeError(type(holder))


@make_report.register
def _(holder: buckets.Bucket, state: State) -> messages.ShareReport:
    if not rates.is_idle(state, holder):
        return buckets.make_report(holder, state.now)
    shard = _shard_of(state, holder)
    del state.buckets[holder.workspace]
    del state.share_holders[shard][holder.share.name]
    return buckets.release(holder, state.now)


@make_report.register
def _(holder: ServerShare, state: State) -> messages.ShareReport:
    group = state.groups[holder.service]
    return connectionshares.make_report(group.servers[holder.server], state.now)


@functools.singledispatch
def apply_grant(
    holder: Any,
    state: State,
    number: int,
    grant: messages.ShareGrant,
    out: list[Effect],
) -> shares.Accepted | None:
    """Takes an answer for one limit; None if it does not count."""
    raise TypeError(type(holder))


@apply_grant.register
def _(
    holder: buckets.Bucket,
    state: State,
    number: int,
    grant: messages.ShareGrant,
    out: list[Effect],
) -> shares.Accepted | None:
    return buckets.apply_grant(holder, number, grant, state.now)


@apply_grant.register
def _(
    holder: ServerShare,
    state: State,
    number: int,
    grant: messages.ShareGrant,
    out: list[Effect],
) -> shares.Accepted | None:
    accepted = shares.accept(holder.share, number, grant, state.now)
    if accepted is None:
        return None
    group = state.groups[holder.service]
    server = group.servers[holder.server]
    if accepted.has_grown or accepted.has_shrunk:
        count = int(shares.usable(holder.share, state.now)[0])
        text = f"{holder.share.name}: {count} lent here"
        out.append(Log(PREFIX, text))
    connectionshares.schedule_expiry(state, server)
    connectionshares.apply_share(state, group, server, out)
    if connectionshares.needs_more(server):
        shares.increase_backoff(holder.share)
    return accepted


def _mark_urgent_servers(state: State, group: Group) -> None:
    """Marks the servers that work waits for."""
    for server in group.servers.values():
        if not connectionshares.needs_more(server) or server.out_of_service:
            continue
        name = server.share.name
        shard = placement.shard_of(group.service, state.shard_count)
        state.urgent_shares[name] = state.share_holders[shard][name]


def _ask(
    state: State, shard: int, holders: list[Holder], out: list[Effect]
) -> None:
    """Sends one ask for some limits of a shard."""
    number = state.next_number()
    lines = []
    for holder in holders:
        line = holder.share
        since_s = state.now - line.requested_at
        if not line.is_answered and since_s < shares.REQUEST_TIMEOUT_S:
            continue
        state.urgent_shares.pop(line.name, None)
        stated = make_report(holder, state)
        lines.append(stated)
        shares.record_request(line, number, state.now, stated.shortfall > 0)
    _say(state, shard, number, lines, out)


def _say(
    state: State,
    shard: int,
    number: int,
    lines: list[messages.ShareReport],
    out: list[Effect],
) -> None:
    """Sends an ask to the steward of a shard, if there is anything to say."""
    steward = _steward(state, shard)
    if not lines or not steward:
        return
    epoch = state.shards[shard].epoch
    ask = messages.ShareRequest(
        number, shard, epoch, state.started_at, tuple(lines)
    )
    out.append(SendToPeer(steward, ask))


def _steward(state: State, shard: int) -> str:
    """Returns the steward of a shard, or "" if none is known."""
    view = state.shards.get(shard)
    return view.steward if view is not None else ""


def _shard_of(state: State, holder: Holder) -> int:
    """Returns the shard of a holder's limit."""
    subject = holder.share.name.partition(":")[2].partition("/")[0]
    return placement.shard_of(subject, state.shard_count)
