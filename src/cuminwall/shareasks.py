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


def take_up_workspace(state: State, workspace: str) -> buckets.Bucket | None:
    """Returns a workspace's bucket, and asks for a share if it is new."""
    is_new = workspace not in state.buckets
    bucket = rates.find(state, workspace)
    if bucket is not None and is_new:
        shard = placement.shard_of(workspace, state.shard_count)
        state.share_holders.setdefault(shard, {})[bucket.line.name] = bucket
        state.urgent_shares[bucket.line.name] = bucket
    return bucket


def take_up_server(state: State, group: Group, server: Server) -> None:
    """Begins to ask for connections to a backend server."""
    holder = connectionshares.take_up(group, server)
    shard = placement.shard_of(group.service, state.shard_count)
    state.share_holders.setdefault(shard, {})[holder.line.name] = holder
    state.urgent_shares[holder.line.name] = holder


def give_back_group(state: State, group: Group, out: list[Effect]) -> None:
    """Gives a group's connections back, when this is its home no more."""
    shard = placement.shard_of(group.service, state.shard_count)
    holders = state.share_holders.get(shard, {})
    lines = []
    for server in group.servers.values():
        holders.pop(server.share.name, None)
        state.urgent_shares.pop(server.share.name, None)
        if any(server.share.held) or any(server.share.floor):
            lines.append(connectionshares.give_back(server))
            connectionshares.apply(state, group, server, out)
    _say(state, shard, state.next_number(), lines, out)


def tick(state: State, out: list[Effect]) -> None:
    """Sends what is due."""
    for group in state.groups.values():
        _mark_urgent_servers(state, group)
    for shard, holders in state.share_holders.items():
        last = state.share_asks.get(shard)
        if last is not None and state.now - last < state.times.share_renew_s:
            continue
        if not holders or not _steward(state, shard):
            continue
        state.share_asks[shard] = state.now
        _ask(state, shard, list(holders.values()), out)
    for holder in list(state.urgent_shares.values()):
        ask_at_once(state, holder, out)


def ask_at_once(state: State, holder: Holder, out: list[Effect]) -> None:
    """Asks for one limit now, unless an ask is on its way or was of no use."""
    if not shares.may_ask_now(holder.line, state.now):
        return
    shard = _shard_of(state, holder)
    if _steward(state, shard):
        _ask(state, shard, [holder], out)


def answered(
    state: State, answer: messages.ShareAnswer, out: list[Effect]
) -> None:
    """Takes in a lender's answer."""
    holders = state.share_holders.get(answer.shard, {})
    for grant in answer.grants:
        holder = holders.get(grant.name)
        if holder is None:
            continue
        accepted = granted(holder, state, answer.number, grant, out)
        if accepted is None:
            continue
        if accepted.has_shrunk:
            # Others wait for what was given up.
            state.urgent_shares[grant.name] = holder
        if accepted.has_grown or grant.level:
            holder.line.pause_s = shares.FIRST_PAUSE_S


@functools.singledispatch
def state_line(holder: Any, state: State) -> messages.ShareLine:
    """Returns what an ask states of a holder's limit."""
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
    """Takes an answer for one limit; None if it does not count."""
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
        text = f"{holder.line.name}: {count} lent here"
        out.append(Log(PREFIX, text))
    connectionshares.note_bounds(state, server)
    connectionshares.apply(state, group, server, out)
    if connectionshares.needs_more(server):
        shares.lengthen_pause(holder.line)
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
        line = holder.line
        since_s = state.now - line.asked_at
        if not line.is_answered and since_s < shares.ASK_TIMEOUT_S:
            continue
        state.urgent_shares.pop(line.name, None)
        stated = state_line(holder, state)
        lines.append(stated)
        shares.note_asked(line, number, state.now, stated.short > 0)
    _say(state, shard, number, lines, out)


def _say(
    state: State,
    shard: int,
    number: int,
    lines: list[messages.ShareLine],
    out: list[Effect],
) -> None:
    """Sends an ask to the steward of a shard, if there is anything to say."""
    steward = _steward(state, shard)
    if not lines or not steward:
        return
    epoch = state.shards[shard].epoch
    ask = messages.ShareAsk(
        number, shard, epoch, state.started_at, tuple(lines)
    )
    out.append(SendToPeer(steward, ask))


def _steward(state: State, shard: int) -> str:
    """Returns the steward of a shard, or "" if none is known."""
    view = state.shards.get(shard)
    return view.steward if view is not None else ""


def _shard_of(state: State, holder: Holder) -> int:
    """Returns the shard of a holder's limit."""
    subject = holder.line.name.partition(":")[2].partition("/")[0]
    return placement.shard_of(subject, state.shard_count)
