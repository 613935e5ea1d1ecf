"""What a steward lends to the homes of its database groups.

A write lease is granted only for the term that stands confirmed in the
store, and not while the primary is being changed.
"""

from cuminwall import calls, leases, membership, messages
from cuminwall.effects import Effect, SendToPeer
from cuminwall.state import ManagedGroup, ReceivedReport, State, Stewardship


def load(hold: Stewardship, found: calls.StoredValue) -> None:
    """Takes over the record of a group as read from the store."""
    service = found.key.rpartition("/")[2]
    charge = hold.managed_groups.get(service)
    if charge is None:
        charge = hold.managed_groups[service] = ManagedGroup(service)
    if found.revision < charge.revision:
        return
    charge.revision = found.revision
    if found.value is not None:
        charge.record = from_json(service, found.value)


def handle_lease_request(
    state: State,
    hold: Stewardship,
    sender: str,
    ask: messages.LeaseRequest,
    out: list[Effect],
) -> None:
    """Keeps a home's reports and grants what may be granted."""
    for report in ask.reports:
        charge = hold.managed_groups.get(report.service)
        if charge is None:
            charge = hold.managed_groups[report.service] = ManagedGroup(
                report.service
            )
        key = (sender, report.server)
        charge.reports[key] = ReceivedReport(report, ask.zone, state.now)
    grants = []
    records = []
    for service, term, confirmed in ask.terms:
        charge = hold.managed_groups.get(service)
        if charge is None:
            continue
        charge.last_heard_at[sender] = state.now
        if charge.record is None:
            continue
        _doubt_if_standing(state, charge, sender)
        record = charge.record
        newest = record.terms[-1].term
        if (newest, record.active) > (term, confirmed):
            records.append(record)
        grants.append(_grant(state, charge, sender, record))
    answer = messages.LeaseReply(
        ask.number, ask.shard, tuple(grants), tuple(records)
    )
    out.append(SendToPeer(sender, answer))


def is_serving_primary(report: messages.ServerReport) -> bool:
    """Returns whether a report shows a server that answers as a primary."""
    return report.reachable and not report.in_recovery


def needs_check(state: State, charge: ManagedGroup) -> bool:
    """Returns whether the reports have to be gone through now.

    While none speaks against the primary that is needed only now and then,
    to forget old ones.
    """
    if charge.checked_record is not charge.record:
        # Reports from before may speak against the new primary.
        charge.checked_record = charge.record
        charge.suspected_at = state.now
    age_s = state.times.report_age_s
    if state.now - charge.suspected_at <= age_s:
        return True
    if state.now - charge.checked_at <= age_s:
        return False
    charge.checked_at = state.now
    return True


def handle_release(
    hold: Stewardship, sender: str, message: messages.LeaseRelease
) -> None:
    """Strikes a loan."""
    charge = hold.managed_groups.get(message.service)
    if charge is None or charge.record is None:
        return
    if charge.record.terms[-1].term == message.term:
        charge.lease_expiries.pop(sender, None)


def has_leases(state: State, hold: Stewardship, charge: ManagedGroup) -> bool:
    """Returns whether some write lease may still be counted on."""
    if state.now < hold.earlier_leases_until:
        return True
    for holder, lapses_at in list(charge.lease_expiries.items()):
        if state.now >= lapses_at:
            del charge.lease_expiries[holder]
    return bool(charge.lease_expiries)


def fresh_reports(
    state: State, charge: ManagedGroup, since: float
) -> dict[tuple[str, str], ReceivedReport]:
    """Returns the reports by home and server that show `since` or later.

    A report shows the time when its probe was sent. One that came before may
    stand, but its log position is old.
    """
    found = {}
    for key, lent in list(charge.reports.items()):
        heard_at = charge.last_heard_at.get(key[0], lent.received_at)
        if state.now - heard_at > state.times.report_age_s:
            del charge.reports[key]
            continue
        shown_at = lent.received_at - max(0.0, lent.report.age_s)
        if shown_at >= since:
            found[key] = lent
    return found


def from_json(service: str, value: dict) -> messages.GroupRecord:
    """Returns a group's record from its form in the store."""
    terms = []
    for entry in value["terms"]:
        terms.append(messages.TermEntry(*entry))
    return messages.GroupRecord(service, value["active"], tuple(terms))


def to_json(record: messages.GroupRecord, write_id: str) -> dict:
    """Returns a group's record as it is kept in the store."""
    return {
        "active": record.active,
        "terms": [list(entry) for entry in record.terms],
        "write_id": write_id,
    }


def send_record(
    state: State,
    charge: ManagedGroup,
    record: messages.GroupRecord,
    out: list[Effect],
) -> None:
    """Tells every home that reported, and every other known one."""
    listeners = {home for home, _ in charge.reports}
    listeners.update(membership.homes(state, charge.service))
    for home in sorted(listeners):
        out.append(SendToPeer(home, messages.RecordUpdate(record)))


def _doubt_if_standing(state: State, charge: ManagedGroup, sender: str) -> None:
    """Notes a report against the primary, new or said to stand."""
    assert charge.record is not None
    primary = charge.record.terms[-1].primary
    lent = charge.reports.get((sender, primary))
    if lent is not None and not is_serving_primary(lent.report):
        charge.suspected_at = state.now


def _grant(
    state: State,
    charge: ManagedGroup,
    holder: str,
    record: messages.GroupRecord,
) -> messages.WriteGrant:
    """Lends a write lease, or refuses it with a duration of 0."""
    term = record.terms[-1].term
    if not record.active or charge.swap_pending:
        return messages.WriteGrant(charge.service, term, 0.0)
    if charge.change is not None and not _is_draining(state, charge, holder):
        return messages.WriteGrant(charge.service, term, 0.0)
    duration_s = state.times.write_lease_s
    charge.lease_expiries[holder] = leases.lender_expiry(state.now, duration_s)
    return messages.WriteGrant(charge.service, term, duration_s)


def _is_draining(state: State, charge: ManagedGroup, holder: str) -> bool:
    """Returns whether a holder may end its transactions before a change."""
    change = charge.change
    if (
        change is None
        or not change.planned
        or holder not in charge.lease_expiries
    ):
        return False
    return state.now - change.started_at < state.times.planned_drain_s
