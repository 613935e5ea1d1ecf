"""Database groups as their steward manages them: reports and write leases.

A write lease is granted only for a term that is confirmed in the store, and
not while the primary is being changed.
"""

from cuminwall import calls, leases, membership, messages
from cuminwall.effects import Effect, SendToPeer
from cuminwall.state import ManagedGroup, ReceivedReport, State, Stewardship


def load(stewardship: Stewardship, stored: calls.StoredValue) -> None:
    """Loads the record of a group as read from the store."""
    service = stored.key.rpartition("/")[2]
    managed_group = stewardship.managed_groups.get(service)
    if managed_group is None:
        managed_group = stewardship.managed_groups[service] = ManagedGroup(
            service
        )
    if stored.revision < managed_group.revision:
        return
    managed_group.revision = stored.revision
    if stored.value is not None:
        managed_group.record = from_json(service, stored.value)


def handle_lease_request(
    state: State,
    stewardship: Stewardship,
    sender: str,
    request: messages.LeaseRequest,
    out: list[Effect],
) -> None:
    """Stores a home's reports and grants it the leases that it may have."""
    for report in request.reports:
        managed_group = stewardship.managed_groups.get(report.service)
        if managed_group is None:
            managed_group = stewardship.managed_groups[report.service] = (
                ManagedGroup(report.service)
            )
        key = (sender, report.server)
        managed_group.reports[key] = ReceivedReport(
            report, request.zone, state.now
        )
    grants = []
    records = []
    for service, term, confirmed in request.terms:
        managed_group = stewardship.managed_groups.get(service)
        if managed_group is None:
            continue
        managed_group.last_heard_at[sender] = state.now
        if managed_group.record is None:
            continue
        _suspect_if_reported(state, managed_group, sender)
        record = managed_group.record
        newest = record.terms[-1].term
        if (newest, record.active) > (term, confirmed):
            records.append(record)
        grants.append(_grant(state, managed_group, sender, record))
    reply = messages.LeaseReply(
        request.number, request.shard, tuple(grants), tuple(records)
    )
    out.append(SendToPeer(sender, reply))


def is_serving_primary(report: messages.ServerReport) -> bool:
    """Returns whether a report shows a reachable server that is primary."""
    return report.reachable and not report.in_recovery


def needs_check(state: State, managed_group: ManagedGroup) -> bool:
    """Returns whether the reports have to be evaluated now.

    As long as none of them contradicts the primary, this is needed only from
    time to time, to drop old reports.
    """
    if managed_group.checked_record is not managed_group.record:
        # Earlier reports may contradict the new primary.
        managed_group.checked_record = managed_group.record
        managed_group.suspected_at = state.now
    age_s = state.times.report_age_s
    if state.now - managed_group.suspected_at <= age_s:
        return True
    if state.now - managed_group.checked_at <= age_s:
        return False
    managed_group.checked_at = state.now
    return True


def handle_release(
    stewardship: Stewardship, sender: str, message: messages.LeaseRelease
) -> None:
    """Removes a released lease."""
    managed_group = stewardship.managed_groups.get(message.service)
    if managed_group is None or managed_group.record is None:
        return
    if managed_group.record.terms[-1].term == message.term:
        managed_group.lease_expiries.pop(sender, None)


def has_leases(
    state: State, stewardship: Stewardship, managed_group: ManagedGroup
) -> bool:
    """Returns whether some home may still rely on a write lease."""
    if state.now < stewardship.earlier_leases_until:
        return True
    return leases.has_unexpired(managed_group.lease_expiries, state.now)


def fresh_reports(
    state: State, managed_group: ManagedGroup, since: float
) -> dict[tuple[str, str], ReceivedReport]:
    """Returns the reports of probes sent at `since` or later.

    The result is keyed by home and server. An earlier report may still be
    valid, but its log position is outdated.
    """
    reports = {}
    for key, received in list(managed_group.reports.items()):
        last_heard_at = managed_group.last_heard_at.get(
            key[0], received.received_at
        )
        if state.now - last_heard_at > state.times.report_age_s:
            del managed_group.reports[key]
            continue
        probed_at = received.received_at - max(0.0, received.report.age_s)
        if probed_at >= since:
            reports[key] = received
    return reports


def from_json(service: str, value: dict) -> messages.GroupRecord:
    """Parses a group's record as kept in the store."""
    terms = []
    for entry in value["terms"]:
        terms.append(messages.TermEntry(*entry))
    return messages.GroupRecord(service, value["active"], tuple(terms))


def to_json(record: messages.GroupRecord, write_id: str) -> dict:
    """Returns a group's record in the form kept in the store."""
    return {
        "active": record.active,
        "terms": [list(entry) for entry in record.terms],
        "write_id": write_id,
    }


def send_record(
    state: State,
    managed_group: ManagedGroup,
    record: messages.GroupRecord,
    out: list[Effect],
) -> None:
    """Sends a new record to all known homes and all that have reported."""
    homes = {home for home, _ in managed_group.reports}
    homes.update(membership.homes(state, managed_group.service))
    for home in sorted(homes):
        out.append(SendToPeer(home, messages.RecordUpdate(record)))


def _suspect_if_reported(
    state: State, managed_group: ManagedGroup, sender: str
) -> None:
    """Suspects the primary if the sender's current report contradicts it."""
    assert managed_group.record is not None
    primary = managed_group.record.terms[-1].primary
    received = managed_group.reports.get((sender, primary))
    if received is not None and not is_serving_primary(received.report):
        managed_group.suspected_at = state.now


def _grant(
    state: State,
    managed_group: ManagedGroup,
    holder: str,
    record: messages.GroupRecord,
) -> messages.WriteGrant:
    """Grants a write lease, or refuses it with a duration of 0."""
    term = record.terms[-1].term
    if not record.active or managed_group.swap_pending:
        return messages.WriteGrant(managed_group.service, term, 0.0)
    if managed_group.change is not None and not _is_draining(
        state, managed_group, holder
    ):
        return messages.WriteGrant(managed_group.service, term, 0.0)
    duration_s = state.times.write_lease_s
    managed_group.lease_expiries[holder] = leases.lender_expiry(
        state.now, duration_s
    )
    return messages.WriteGrant(managed_group.service, term, duration_s)


def _is_draining(
    state: State, managed_group: ManagedGroup, holder: str
) -> bool:
    """Returns whether a holder may still end its transactions."""
    change = managed_group.change
    if (
        change is None
        or not change.planned
        or holder not in managed_group.lease_expiries
    ):
        return False
    return state.now - change.started_at < state.times.planned_drain_s
