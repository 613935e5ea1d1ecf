"""Write leases at a home: requesting, renewing and releasing them.

A write is acknowledged only while the lease of its term is held. The request
for the lease carries a report on the backend servers, so that the steward
learns from one message which leases are held and which servers are reachable
from where.
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

FULL_REPORT_INTERVAL_S = (
    5.0  # Unchanged reports are sent again after this time.
)


def update_groups(state: State, out: list[Effect]) -> None:
    """Adds the groups that this instance is a home of, and drops others."""
    changed = _add_groups(state)
    for service, group in list(state.groups.items()):
        is_needed = membership.is_home(state, service) and not state.draining
        if is_needed or _is_busy(state, group):
            continue
        _release(state, group, out)
        sharerequests.release_group(state, group, out)
        del state.groups[service]
        changed = True
    for group in state.groups.values():
        changed |= _update_servers(state, group)
    if changed:
        watch_servers(state, out)


def watch_servers(state: State, out: list[Effect]) -> None:
    """Sets the backend servers that the engine probes."""
    watched = set()
    for service, group in state.groups.items():
        for name in group.servers:
            watched.add((service, name))
    out.append(WatchServers(frozenset(watched)))


def send_due_requests(state: State, out: list[Effect]) -> None:
    """Sends the lease requests that are due to the stewards."""
    by_shard: dict[int, list[Group]] = {}
    for service, group in state.groups.items():
        shard = placement.shard_of(service, state.shard_count)
        by_shard.setdefault(shard, []).append(group)
    for shard, members in by_shard.items():
        shard_record = state.shards.get(shard)
        if shard_record is None or not shard_record.steward:
            continue
        is_urgent = any(_is_urgent(state, group) for group in members)
        wait_s = state.times.tick_s if is_urgent else state.times.lease_renew_s
        latest = state.lease_requests.get(shard)
        if latest is not None and state.now - latest[1] < wait_s:
            continue
        _request(state, shard, shard_record.steward, members, out)


def handle_reply(
    state: State,
    sender: str,
    reply: messages.LeaseReply,
    out: list[Effect],
) -> None:
    """Applies a steward's reply; only the latest request gets a lease."""
    for record in reply.records:
        apply_record(state, record, out)
    latest = state.lease_requests.get(reply.shard)
    if latest is None or latest[0] != reply.number:
        return
    requested_at = latest[1]
    for grant in reply.grants:
        group = state.groups.get(grant.service)
        if group is None:
            continue
        if group.reported_in_request == reply.number:
            group.reported_to = sender
            group.reported_at = state.now
        if not grant.duration_s:
            continue
        if reply.number <= group.ignored_up_to_request:
            continue
        was_valid = groups.is_lease_valid(state, group, grant.term)
        group.lease_term = grant.term
        group.lease_until = leases.holder_expiry(requested_at, grant.duration_s)
        if not was_valid and groups.is_lease_valid(state, group, grant.term):
            text = f"{group.service} term {grant.term}: lease from {sender}"
            out.append(Log(PREFIX, text))
            jobs.retry_parked(state, group, out)


def apply_record(
    state: State, record: messages.GroupRecord, out: list[Effect]
) -> None:
    """Applies a group's record if it is newer than the known one."""
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
    """Releases a recalled lease, at once or after open transactions."""
    group = state.groups.get(recall.service)
    if group is None:
        release = messages.LeaseRelease(
            recall.shard, recall.service, recall.term
        )
        out.append(SendToPeer(sender, release))
        return
    if recall.planned and not group.recall_deadline:
        group.recall_deadline = state.now + state.times.planned_drain_s
    group.pending_recall = (sender, recall)
    finish_recall(state, group, out)


def finish_recall(state: State, group: Group, out: list[Effect]) -> None:
    """Releases a recalled lease once no open transaction delays it."""
    if group.pending_recall is None:
        return
    sender, recall = group.pending_recall
    may_wait = recall.planned and state.now < group.recall_deadline
    if may_wait and _uses_primary(state, group):
        return
    group.pending_recall = None
    group.recall_deadline = 0.0
    if group.lease_term == recall.term:
        group.lease_until = leases.NEVER
    _ignore_pending_replies(state, group)
    release = messages.LeaseRelease(recall.shard, recall.service, recall.term)
    out.append(SendToPeer(sender, release))
    text = f"{group.service} term {recall.term}: lease released"
    out.append(Log(PREFIX, text))


def release_all(state: State, out: list[Effect]) -> None:
    """Releases all leases when the instance shuts down."""
    for group in state.groups.values():
        _release(state, group, out)


def _add_groups(state: State) -> bool:
    """Adds groups of which this is a new home; returns whether it did."""
    basis = (state.members_version, state.config.version)
    if state.draining or state.homes_basis == basis:
        return False
    state.homes_basis = basis
    changed = False
    for service in membership.own_services(state):
        if service in state.groups:
            continue
        group = state.groups[service] = Group(service)
        # A reply in transit may grant a lease that has been released since.
        _ignore_pending_replies(state, group)
        changed = True
    return changed


def _ignore_pending_replies(state: State, group: Group) -> None:
    """Ignores the grants in replies to all requests sent so far."""
    shard = placement.shard_of(group.service, state.shard_count)
    latest = state.lease_requests.get(shard)
    group.ignored_up_to_request = latest[0] if latest else 0


def _update_servers(state: State, group: Group) -> bool:
    """Applies the configured servers; returns whether some were added."""
    entry = state.config.services.get(group.service)
    if entry is None:
        return False
    changed = False
    for name, server_entry in entry.servers.items():
        server = group.servers.get(name)
        if server is None:
            server = group.servers[name] = Server(name, server_entry.zone)
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
    """Returns whether a group has open jobs or transactions."""
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
    """Returns whether a group cannot wait for the next regular request."""
    if group.reports_changed:
        return True
    return not groups.is_lease_valid(state, group, group.term)


def _request(
    state: State,
    shard: int,
    steward: str,
    members: list[Group],
    out: list[Effect],
) -> None:
    """Sends one request for all groups of a shard."""
    number = state.next_number()
    state.lease_requests[shard] = (number, state.now)
    terms = []
    reports = []
    for group in members:
        is_current = _are_reports_current(state, group, steward)
        group.reports_changed = False
        confirmed = group.record is not None and group.record.active
        terms.append((group.service, group.term, confirmed))
        if is_current:
            continue
        group.reported_in_request = number
        group.reported_to = ""
        for server in group.servers.values():
            reports.append(_report(state, group, server))
    request = messages.LeaseRequest(
        number, shard, state.zone, tuple(terms), tuple(reports)
    )
    out.append(SendToPeer(steward, request))


def _are_reports_current(state: State, group: Group, steward: str) -> bool:
    """Returns whether the steward knows all but the latest log positions.

    Positions matter only when a new primary is chosen, and by then no lease
    is valid.
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
    """Returns this instance's report on a server."""
    is_failing = server.failing_since is not None
    age_s = state.now - server.answered_at if server.timeline else -1.0
    return messages.ServerReport(
        group.service,
        server.name,
        not is_failing and bool(server.timeline),
        server.in_recovery,
        server.timeline,
        server.lsn,
        age_s,
    )


def _release(state: State, group: Group, out: list[Effect]) -> None:
    """Releases a valid lease that was not recalled."""
    if not groups.is_lease_valid(state, group, group.lease_term):
        return
    group.lease_until = leases.NEVER
    _ignore_pending_replies(state, group)
    shard = placement.shard_of(group.service, state.shard_count)
    shard_record = state.shards.get(shard)
    if shard_record is None or not shard_record.steward:
        return
    release = messages.LeaseRelease(shard, group.service, group.lease_term)
    out.append(SendToPeer(shard_record.steward, release))
