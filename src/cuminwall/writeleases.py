"""Write leases at a home: asking, counting and handing back.

A write is acknowledged only while the lease of its term is held. The lease
is asked for together with a report of the backend servers, so that a steward
learns in one message who holds what and which server answers whom.
"""

from cuminwall import (
    groups,
    jobs,
    leases,
    membership,
    messages,
    placement,
    sharerequests,
)
from cuminwall.effects import (
    Effect,
    Log,
    Probe,
    SendToPeer,
    WatchServers,
)
from cuminwall.state import Group, Server, State

PREFIX = "leases"

FULL_REPORT_INTERVAL_S = 5.0


def update_groups(state: State, out: list[Effect]) -> None:
    """Takes up the groups this instance is a home of, and drops others."""
    changed = _take_up_new(state)
    for service, group in list(state.groups.items()):
        wanted = membership.is_home(state, service) and not state.draining
        if wanted or _is_busy(state, group):
            continue
        _hand_back(state, group, out)
        sharerequests.release_group(state, group, out)
        del state.groups[service]
        changed = True
    for group in state.groups.values():
        changed |= _update_servers(state, group)
    if changed:
        watch_servers(state, out)


def watch_servers(state: State, out: list[Effect]) -> None:
    """Tells the engine which backend servers to probe."""
    watched = set()
    for service, group in state.groups.items():
        for name in group.servers:
            watched.add((service, name))
    out.append(WatchServers(frozenset(watched)))


def send_due_requests(state: State, out: list[Effect]) -> None:
    """Asks the stewards for leases where it is time."""
    by_shard: dict[int, list[Group]] = {}
    for service, group in state.groups.items():
        shard = placement.shard_of(service, state.shard_count)
        by_shard.setdefault(shard, []).append(group)
    for shard, members in by_shard.items():
        view = state.shards.get(shard)
        if view is None or not view.steward:
            continue
        urgent = any(_is_urgent(state, group) for group in members)
        wait_s = state.times.tick_s if urgent else state.times.lease_renew_s
        last = state.lease_requests.get(shard)
        if last is not None and state.now - last[1] < wait_s:
            continue
        _ask(state, shard, view.steward, members, out)


def handle_reply(
    state: State,
    sender: str,
    answer: messages.LeaseReply,
    out: list[Effect],
) -> None:
    """Takes over a steward's answer to the newest ask."""
    for record in answer.records:
        apply_record(state, record, out)
    last = state.lease_requests.get(answer.shard)
    if last is None or last[0] != answer.number:
        return
    asked_at = last[1]
    for grant in answer.grants:
        group = state.groups.get(grant.service)
        if group is None:
            continue
        if group.reported_in_request == answer.number:
            group.reported_to = sender
            group.reported_at = state.now
        if not grant.duration_s:
            continue
        if answer.number <= group.ignored_up_to_request:
            continue
        had = groups.is_lease_valid(state, group, grant.term)
        group.lease_term = grant.term
        group.lease_until = leases.holder_expiry(asked_at, grant.duration_s)
        if not had and groups.is_lease_valid(state, group, grant.term):
            text = f"{group.service} term {grant.term}: lease from {sender}"
            out.append(Log(PREFIX, text))
            jobs.retry_parked(state, group, out)


def apply_record(
    state: State, record: messages.GroupRecord, out: list[Effect]
) -> None:
    """Takes over a group's newer record."""
    group = state.groups.get(record.service)
    if group is None or not groups.apply_record(state, group, record, out):
        return
    if group.primary is not None:
        out.append(Probe(group.service, group.primary.name))
        jobs.abort_replaced(state, group, out)
    jobs.retry_parked(state, group, out)


def handle_recall(
    state: State, sender: str, recall: messages.Recall, out: list[Effect]
) -> None:
    """Hands a lease back, at once or when open transactions have ended."""
    group = state.groups.get(recall.service)
    if group is None:
        answer = messages.LeaseRelease(
            recall.shard, recall.service, recall.term
        )
        out.append(SendToPeer(sender, answer))
        return
    if recall.planned and not group.recall_deadline:
        group.recall_deadline = state.now + state.times.planned_drain_s
    group.pending_recall = (sender, recall)
    finish_recall(state, group, out)


def finish_recall(state: State, group: Group, out: list[Effect]) -> None:
    """Hands back what was recalled, once nothing speaks against it."""
    if group.pending_recall is None:
        return
    sender, recall = group.pending_recall
    waits = recall.planned and state.now < group.recall_deadline
    if waits and _uses_primary(state, group):
        return
    group.pending_recall = None
    group.recall_deadline = 0.0
    if group.lease_term == recall.term:
        group.lease_until = leases.NEVER
    _ignore_asks(state, group)
    answer = messages.LeaseRelease(recall.shard, recall.service, recall.term)
    out.append(SendToPeer(sender, answer))
    text = f"{group.service} term {recall.term}: lease handed back"
    out.append(Log(PREFIX, text))


def release_all(state: State, out: list[Effect]) -> None:
    """Hands every lease back, when the instance leaves."""
    for group in state.groups.values():
        _hand_back(state, group, out)


def _take_up_new(state: State) -> bool:
    """Becomes a home where it is new; returns whether it did."""
    basis = (state.members_version, state.config.version)
    if state.draining or state.homes_basis == basis:
        return False
    state.homes_basis = basis
    changed = False
    for service in membership.own_services(state):
        if service in state.groups:
            continue
        group = state.groups[service] = Group(service)
        # An answer under way may be to a lease that was handed back since.
        _ignore_asks(state, group)
        changed = True
    return changed


def _ignore_asks(state: State, group: Group) -> None:
    """Lets the answers to the asks sent so far grant nothing."""
    shard = placement.shard_of(group.service, state.shard_count)
    last = state.lease_requests.get(shard)
    group.ignored_up_to_request = last[0] if last else 0


def _update_servers(state: State, group: Group) -> bool:
    """Follows the configuration; returns whether the servers changed."""
    entry = state.config.services.get(group.service)
    if entry is None:
        return False
    changed = False
    for name, wanted in entry.servers.items():
        server = group.servers.get(name)
        if server is None:
            server = group.servers[name] = Server(name, wanted.zone)
            sharerequests.track_server(state, group, server)
            changed = True
        server.out_of_service = not state.config.is_server_serving(
            group.service, name
        )
    for name in list(group.servers):
        if name not in entry.servers:
            group.servers[name].out_of_service = True
    return changed


def _is_busy(state: State, group: Group) -> bool:
    """Returns whether jobs or transactions of a group are still open."""
    for job in state.jobs.values():
        if job.request.service == group.service:
            return True
    return any(pin.service == group.service for pin in state.pins.values())


def _uses_primary(state: State, group: Group) -> bool:
    """Returns whether a transaction or write is open on the primary."""
    primary = group.primary
    if primary is None:
        return False
    return primary.in_use > 0 or bool(group.awaiting_replica)


def _is_urgent(state: State, group: Group) -> bool:
    """Returns whether a group cannot wait for the next regular ask."""
    if group.reports_changed:
        return True
    return not groups.is_lease_valid(state, group, group.term)


def _ask(
    state: State,
    shard: int,
    steward: str,
    members: list[Group],
    out: list[Effect],
) -> None:
    """Sends one ask for all groups of a shard."""
    number = state.next_number()
    state.lease_requests[shard] = (number, state.now)
    terms = []
    reports = []
    for group in members:
        stands = _do_reports_stand(state, group, steward)
        group.reports_changed = False
        confirmed = group.record is not None and group.record.active
        terms.append((group.service, group.term, confirmed))
        if stands:
            continue
        group.reported_in_request = number
        group.reported_to = ""
        for server in group.servers.values():
            reports.append(_report(state, group, server))
    ask = messages.LeaseRequest(
        number, shard, state.zone, tuple(terms), tuple(reports)
    )
    out.append(SendToPeer(steward, ask))


def _do_reports_stand(state: State, group: Group, steward: str) -> bool:
    """Returns whether the steward knows all but the newest positions.

    Positions count only when a new primary is chosen, and then no lease is
    valid any more.
    """
    if group.reports_changed or group.reported_to != steward:
        return False
    if state.now - group.reported_at >= FULL_REPORT_INTERVAL_S:
        return False
    if not groups.is_lease_valid(state, group, group.term):
        return False
    primary = group.primary
    for server in group.servers.values():
        if server.failing_since is not None or not server.timeline:
            return False
        if server.in_recovery == (server is primary):
            return False
    return primary is not None


def _report(
    state: State, group: Group, server: Server
) -> messages.ServerReport:
    """Returns what this instance knows of a server."""
    failing = server.failing_since is not None
    age_s = state.now - server.answered_at if server.timeline else -1.0
    return messages.ServerReport(
        group.service,
        server.name,
        not failing and bool(server.timeline),
        server.in_recovery,
        server.timeline,
        server.lsn,
        age_s,
    )


def _hand_back(state: State, group: Group, out: list[Effect]) -> None:
    """Gives a lease back unasked."""
    if not groups.is_lease_valid(state, group, group.lease_term):
        return
    group.lease_until = leases.NEVER
    _ignore_asks(state, group)
    shard = placement.shard_of(group.service, state.shard_count)
    view = state.shards.get(shard)
    if view is None or not view.steward:
        return
    answer = messages.LeaseRelease(shard, group.service, group.lease_term)
    out.append(SendToPeer(view.steward, answer))
