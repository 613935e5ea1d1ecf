"""Changing the primary of a database group, step by step, at its steward.

Fence: nobody holds a write lease of the old term. Choose: the replica with
the highest position. Agree: the new term stands in the store, unconfirmed.
Promote: one home orders it, under a permit that lapses like a lease. Confirm:
the term stands in the store with its timeline, and leases are lent again.
"""

import enum
from typing import NamedTuple

from cuminwall import (
    calls,
    events,
    groups,
    leases,
    managed_groups,
    membership,
    messages,
    ports,
)
from cuminwall.effects import Effect, Log, SendToPeer
from cuminwall.state import (
    Group,
    ManagedGroup,
    PrimaryChange,
    ReceivedReport,
    State,
    Stewardship,
)

PREFIX = "failover"

MIN_ZONES = 2
MAX_REPORT_WAIT_S = 0.3
MAX_CATCH_UP_S = 3.0
READ_BACK_PAUSE_S = 0.25
MAX_KEPT_TERMS = 20


class Phase(enum.Enum):
    """The steps of a change of primary."""

    FENCING = "fencing"
    CHOOSING = "choosing"
    AGREEING = "agreeing"
    PROMOTING = "promoting"
    CONFIRMING = "confirming"


class RecordAgreed(NamedTuple):
    """The record of a new, unconfirmed term was written."""

    shard: int
    service: str
    record: messages.GroupRecord
    write_id: str


class RecordConfirmed(NamedTuple):
    """The record of a confirmed term was written."""

    shard: int
    service: str
    record: messages.GroupRecord
    write_id: str


class RecordReadBack(NamedTuple):
    """The record was read because a write of it was unclear."""

    shard: int
    service: str
    write: RecordAgreed | RecordConfirmed


def tick(state: State, hold: Stewardship, out: list[Effect]) -> None:
    """Moves every change of the shard on, and begins those that are due."""
    for charge in hold.managed_groups.values():
        if charge.swap_pending:
            _read_again(state, hold, charge, out)
            continue
        if charge.record is None:
            _find_first(state, hold, charge, out)
            continue
        if charge.change is None:
            _begin_if_due(state, charge, out)
        if charge.change is not None:
            _advance(state, hold, charge, charge.change, out)


def _read_again(
    state: State, hold: Stewardship, charge: ManagedGroup, out: list[Effect]
) -> None:
    """Reads a record back that could not be read a moment ago."""
    then = charge.pending_read_back
    if (
        then is None
        or state.now - charge.read_back_failed_at < READ_BACK_PAUSE_S
    ):
        return
    charge.pending_read_back = None
    key = f"{calls.GROUPS_PREFIX}{hold.shard}/{charge.service}"
    calls.read(state, key, then, out)


def handle_permit_request(
    state: State,
    hold: Stewardship,
    sender: str,
    ask: messages.PermitRequest,
    out: list[Effect],
) -> None:
    """Confirms an order to promote for a short time, if it still stands."""
    charge = hold.managed_groups.get(ask.service)
    if charge is None or charge.change is None or charge.record is None:
        return
    change = charge.change
    if change.phase is not Phase.PROMOTING or change.promoting_home != sender:
        return
    if charge.record.terms[-1].term != ask.term:
        return
    if change.candidate != ask.server:
        return
    if state.now - change.phase_started_at >= state.times.promote_s:
        return
    duration_s = state.times.permit_s
    change.permit_expires_at = leases.lender_expiry(state.now, duration_s)
    grant = messages.PermitGrant(
        ask.number, ask.service, ask.server, ask.term, duration_s
    )
    out.append(SendToPeer(sender, grant))


def handle_promotion_report(
    state: State,
    hold: Stewardship,
    report: messages.PromotionReport,
    out: list[Effect],
) -> None:
    """Confirms a term whose server was promoted."""
    charge = hold.managed_groups.get(report.service)
    if charge is None or charge.change is None or charge.record is None:
        return
    change = charge.change
    newest = charge.record.terms[-1]
    if change.phase is not Phase.PROMOTING or newest.term != report.term:
        return
    if newest.primary != report.server:
        return
    if not report.done:
        text = f"{report.service}: {report.server} was not promoted"
        out.append(Log(PREFIX, text))
        return
    _confirm(state, hold, charge, report.timeline, report.fork_lsn, out)


def _begin_if_due(
    state: State, charge: ManagedGroup, out: list[Effect]
) -> None:
    """Begins a change when the primary fails or is taken out."""
    record = charge.record
    assert record is not None
    primary = record.terms[-1].primary
    if not record.active:
        # A former steward left the term unconfirmed.
        charge.change = PrimaryChange(Phase.FENCING, state.now, False)
        return
    doubted = managed_groups.needs_check(state, charge)
    if doubted and _is_failed(state, charge, primary):
        text = f"{charge.service}: primary {primary} does not serve"
        out.append(Log(PREFIX, text))
        _begin(state, charge, False, out)
        return
    if _is_taken_out(state, charge, primary):
        text = f"{charge.service}: primary {primary} is taken out"
        out.append(Log(PREFIX, text))
        _begin(state, charge, True, out)


def _begin(
    state: State, charge: ManagedGroup, planned: bool, out: list[Effect]
) -> None:
    """Stops lending and recalls what is lent."""
    assert charge.record is not None
    charge.change = PrimaryChange(Phase.FENCING, state.now, planned)
    term = charge.record.terms[-1].term
    shard = membership.shard_of(state, charge.service)
    recall = messages.Recall(shard, charge.service, term, planned)
    for holder in charge.lease_expiries:
        out.append(SendToPeer(holder, recall))


def _is_failed(state: State, charge: ManagedGroup, primary: str) -> bool:
    """Returns whether homes of enough zones find the primary not serving."""
    serving: set[str] = set()
    failing: set[str] = set()
    for (_, server), lent in managed_groups.fresh_reports(
        state, charge, leases.NEVER
    ).items():
        if server != primary:
            continue
        if managed_groups.is_serving_primary(lent.report):
            serving.add(lent.zone)
        elif not lent.report.reachable or _is_newer(charge, lent):
            failing.add(lent.zone)
    failing -= serving
    needed = min(MIN_ZONES, _home_zone_count(state, charge.service))
    return len(failing) >= needed and len(failing) > len(serving)


def _is_newer(charge: ManagedGroup, lent: ReceivedReport) -> bool:
    """Returns whether a report's probe came after the term was confirmed.

    An older probe of the new primary finds it in recovery still.
    """
    return lent.received_at - lent.report.age_s > charge.confirmed_at


def _home_zone_count(state: State, service: str) -> int:
    """Returns how many zones have homes of a service, at least 1."""
    zones = set()
    for home in membership.homes(state, service):
        zones.add(membership.zone_of(state, home))
    return max(1, len(zones))


def _is_taken_out(state: State, charge: ManagedGroup, primary: str) -> bool:
    """Returns whether the operators took the primary out and another may."""
    entry = state.config.services.get(charge.service)
    if entry is None or primary not in entry.servers:
        return False
    if state.config.is_server_serving(charge.service, primary):
        return False
    return any(
        _is_candidate(state, charge, server) and server != primary
        for server in entry.servers
    )


def _is_candidate(state: State, charge: ManagedGroup, server: str) -> bool:
    """Returns whether a server may be chosen at all."""
    return state.config.is_server_serving(charge.service, server)


def _advance(
    state: State,
    hold: Stewardship,
    charge: ManagedGroup,
    change: PrimaryChange,
    out: list[Effect],
) -> None:
    """Moves a change on by at most one step."""
    if _confirm_if_promoted(state, hold, charge, change, out):
        return
    if change.phase is Phase.FENCING:
        if managed_groups.has_leases(state, hold, charge):
            return
        change.phase = Phase.CHOOSING
        change.phase_started_at = change.fenced_at = state.now
        text = f"{charge.service}: no write lease is held any more"
        out.append(Log(PREFIX, text))
        return
    if change.phase is Phase.CHOOSING:
        _choose(state, hold, charge, change, out)
        return
    if change.phase is Phase.PROMOTING:
        _await_promotion(state, hold, charge, change, out)


def _choose(
    state: State,
    hold: Stewardship,
    charge: ManagedGroup,
    change: PrimaryChange,
    out: list[Effect],
) -> None:
    """Chooses the replica with the highest position and agrees on it."""
    if state.now - change.phase_started_at < MAX_REPORT_WAIT_S:
        if not _all_reported(state, charge, change.fenced_at):
            return
    record = charge.record
    assert record is not None
    primary = record.terms[-1].primary
    if record.active and not _is_still_due(state, charge, change):
        charge.change = None
        text = f"{charge.service}: primary {primary} serves; no change"
        out.append(Log(PREFIX, text))
        return
    best = _best_candidate(state, charge, change)
    if best is None:
        # Servers that failed before may have come back.
        change.failed_candidates.clear()
        return
    if change.planned and not _has_caught_up(state, charge, change, best[1]):
        return
    _agree(state, hold, charge, change, best, out)


def _is_still_due(
    state: State, charge: ManagedGroup, change: PrimaryChange
) -> bool:
    """Returns whether the reason for a change still stands."""
    assert charge.record is not None
    primary = charge.record.terms[-1].primary
    if change.planned:
        return _is_taken_out(state, charge, primary)
    return _is_failed(state, charge, primary)


def _agree(
    state: State,
    hold: Stewardship,
    charge: ManagedGroup,
    change: PrimaryChange,
    best: tuple[str, int],
    out: list[Effect],
) -> None:
    """Writes the new term, not yet confirmed, to the store.

    The server's position at the choice stands as its fork until that is known.
    """
    assert charge.record is not None
    server, lsn = best
    change.candidate = server
    change.phase = Phase.AGREEING
    change.phase_started_at = state.now
    newest = charge.record.terms[-1]
    kept = charge.record.terms
    if not charge.record.active:
        kept = kept[:-1]
    entry = messages.TermEntry(newest.term + 1, server, 0, lsn)
    terms = (*kept, entry)[-MAX_KEPT_TERMS:]
    record = messages.GroupRecord(charge.service, False, terms)
    text = f"{charge.service} term {entry.term}: choosing {server}"
    out.append(Log(PREFIX, text))
    _write(state, hold, charge, record, RecordAgreed, out)


def _all_reported(state: State, charge: ManagedGroup, since: float) -> bool:
    """Returns whether every home that reports did so since the fence."""
    reports = managed_groups.fresh_reports(state, charge, leases.NEVER)
    all_homes = {home for home, _ in reports}
    fresh = {
        home for home, _ in managed_groups.fresh_reports(state, charge, since)
    }
    return bool(fresh) and fresh == all_homes


def _best_candidate(
    state: State, charge: ManagedGroup, change: PrimaryChange
) -> tuple[str, int] | None:
    """Returns the server with the highest position that enough zones reach."""
    assert charge.record is not None
    old_primary = charge.record.terms[-1].primary
    zones: dict[str, set[str]] = {}
    ranks: dict[str, tuple[int, int, str]] = {}
    reports = managed_groups.fresh_reports(state, charge, change.fenced_at)
    for (_, server), lent in reports.items():
        report = lent.report
        if not report.reachable or server in change.failed_candidates:
            continue
        if server == old_primary and charge.record.active:
            continue
        if not _is_candidate(state, charge, server):
            continue
        if not _is_on_or_after_history(charge, report):
            continue
        zones.setdefault(server, set()).add(lent.zone)
        rank = (report.timeline, report.lsn, server)
        ranks[server] = max(rank, ranks.get(server, rank))
    needed = min(MIN_ZONES, _home_zone_count(state, charge.service))
    able = [ranks[name] for name in ranks if len(zones[name]) >= needed]
    if not able:
        return None
    best = max(able)
    return best[2], best[1]


def _is_on_or_after_history(
    charge: ManagedGroup, report: messages.ServerReport
) -> bool:
    """Returns whether a server has nothing that the history left out.

    A timeline past the last confirmed one comes of a promotion that was never
    confirmed; nothing was acknowledged on it, so all of it may be kept.
    """
    history = _history(charge)
    assert history.record is not None
    if not history.record.terms:
        return True
    if report.timeline > history.record.terms[-1].timeline:
        return True
    if not report.in_recovery:
        # A replaced primary that came back; it cannot be promoted.
        return False
    return groups.is_on_history(history, report.timeline, report.lsn)


def _history(charge: ManagedGroup) -> Group:
    """Returns a group that holds the confirmed terms alone."""
    history = Group(charge.service)
    record = charge.record
    assert record is not None
    terms = [entry for entry in record.terms if entry.timeline]
    history.record = messages.GroupRecord(charge.service, True, tuple(terms))
    return history


def _has_caught_up(
    state: State, charge: ManagedGroup, change: PrimaryChange, lsn: int
) -> bool:
    """Returns whether a planned change may go on without loss."""
    if state.now - change.fenced_at >= MAX_CATCH_UP_S:
        return True
    assert charge.record is not None
    primary = charge.record.terms[-1].primary
    reports = managed_groups.fresh_reports(state, charge, change.fenced_at)
    positions = []
    for (_, server), lent in reports.items():
        if server == primary and managed_groups.is_serving_primary(lent.report):
            positions.append(lent.report.lsn)
    return bool(positions) and lsn >= max(positions)


def _await_promotion(
    state: State,
    hold: Stewardship,
    charge: ManagedGroup,
    change: PrimaryChange,
    out: list[Effect],
) -> None:
    """Orders the promotion, and gives it up when it takes too long."""
    if not change.promoting_home:
        _order(state, charge, change, out)
        return
    if state.now - change.phase_started_at < state.times.promote_s:
        return
    if state.now < change.permit_expires_at:
        return
    text = f"{charge.service}: {change.candidate} takes too long"
    out.append(Log(PREFIX, text))
    change.failed_candidates.add(change.candidate)
    change.promoting_home = ""
    change.phase = Phase.CHOOSING
    change.phase_started_at = change.fenced_at = state.now


def _confirm_if_promoted(
    state: State,
    hold: Stewardship,
    charge: ManagedGroup,
    change: PrimaryChange,
    out: list[Effect],
) -> bool:
    """Confirms a term whose server is seen to be primary by now.

    The report of a promotion may be lost, and a former steward's order may
    have been carried out after it was gone.
    """
    assert charge.record is not None
    if charge.record.active or len(charge.record.terms) < 2:
        return False
    if _is_report_due(state, change):
        return False
    newest = charge.record.terms[-1]
    former = charge.record.terms[-2].timeline
    for (_, server), lent in managed_groups.fresh_reports(
        state, charge, leases.NEVER
    ).items():
        if server != newest.primary or not managed_groups.is_serving_primary(
            lent.report
        ):
            continue
        if lent.report.timeline > former:
            # The report shows a position behind the fork, which would hide
            # lost writes; the one at the choice may only be too low.
            timeline = lent.report.timeline
            _confirm(state, hold, charge, timeline, newest.fork_lsn, out)
            return True
    return False


def _is_report_due(state: State, change: PrimaryChange) -> bool:
    """Returns whether the home that promotes may still tell the fork."""
    if change.phase is not Phase.PROMOTING or not change.promoting_home:
        return False
    return state.now - change.phase_started_at < state.times.promote_s


def _order(
    state: State, charge: ManagedGroup, change: PrimaryChange, out: list[Effect]
) -> None:
    """Orders the promotion at a home that reaches the server."""
    assert charge.record is not None
    zone = ""
    entry = state.config.services.get(charge.service)
    if entry is not None and change.candidate in entry.servers:
        zone = entry.servers[change.candidate].zone
    best = ""
    for (home, server), lent in managed_groups.fresh_reports(
        state, charge, leases.NEVER
    ).items():
        if server != change.candidate or not lent.report.reachable:
            continue
        if not best or lent.zone == zone:
            best = home
    if not best:
        change.promoting_home = state.instance
        return
    change.promoting_home = best
    change.phase_started_at = state.now
    shard = membership.shard_of(state, charge.service)
    term = charge.record.terms[-1].term
    order = messages.PromotionOrder(
        shard, charge.service, change.candidate, term
    )
    out.append(SendToPeer(best, order))


def _find_first(
    state: State, hold: Stewardship, charge: ManagedGroup, out: list[Effect]
) -> None:
    """Writes the first record of a group from what its servers say."""
    best: tuple[int, int, str] | None = None
    for (_, server), lent in managed_groups.fresh_reports(
        state, charge, leases.NEVER
    ).items():
        if not managed_groups.is_serving_primary(lent.report):
            continue
        rank = (lent.report.timeline, lent.report.lsn, server)
        if best is None or rank > best:
            best = rank
    if best is None:
        return
    entry = messages.TermEntry(1, best[2], best[0], 0)
    record = messages.GroupRecord(charge.service, True, (entry,))
    _write(state, hold, charge, record, RecordConfirmed, out)


def _confirm(
    state: State,
    hold: Stewardship,
    charge: ManagedGroup,
    timeline: int,
    fork_lsn: int,
    out: list[Effect],
) -> None:
    """Writes that the newest term's primary was promoted."""
    assert charge.record is not None and charge.change is not None
    charge.change.phase = Phase.CONFIRMING
    charge.change.phase_started_at = state.now
    newest = charge.record.terms[-1]._replace(
        timeline=timeline, fork_lsn=fork_lsn
    )
    terms = (*charge.record.terms[:-1], newest)
    record = messages.GroupRecord(charge.service, True, terms)
    _write(state, hold, charge, record, RecordConfirmed, out)


def _write(
    state: State,
    hold: Stewardship,
    charge: ManagedGroup,
    record: messages.GroupRecord,
    then_type: type[RecordAgreed] | type[RecordConfirmed],
    out: list[Effect],
) -> None:
    """Compares and swaps a group's record."""
    charge.swap_pending = True
    write_id = f"{state.instance}:{state.next_number()}"
    then = then_type(hold.shard, charge.service, record, write_id)
    _swap(state, hold, charge, then, out)


def _swap(
    state: State,
    hold: Stewardship,
    charge: ManagedGroup,
    then: RecordAgreed | RecordConfirmed,
    out: list[Effect],
) -> None:
    """Sends the compare-and-swap, for the first time or again."""
    key = f"{calls.GROUPS_PREFIX}{hold.shard}/{charge.service}"
    value = managed_groups.to_json(then.record, then.write_id)
    calls.swap(state, key, charge.revision, value, then, out)


def _written(
    then: RecordAgreed | RecordConfirmed,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> tuple[Stewardship, ManagedGroup] | None:
    """Handles the answer to a swap; returns the charge if it took effect."""
    hold = state.stewardships.get(then.shard)
    charge = hold.managed_groups.get(then.service) if hold else None
    if hold is None or charge is None or not charge.swap_pending:
        return None
    if isinstance(event.answer, ports.Swapped):
        charge.swap_pending = False
        charge.revision = event.answer.revision
        charge.record = then.record
        return hold, charge
    key = f"{calls.GROUPS_PREFIX}{then.shard}/{then.service}"
    read_back = RecordReadBack(then.shard, then.service, then)
    calls.read(state, key, read_back, out)
    return None


@calls.resume.register(RecordAgreed)
@calls.resume.register(RecordConfirmed)
def _record_written(
    then: RecordAgreed | RecordConfirmed,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    written = _written(then, state, event, out)
    if written is not None:
        _continue_after_write(state, written[0], written[1], then, out)


@calls.resume.register
def _read_back(
    then: RecordReadBack,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    hold = state.stewardships.get(then.shard)
    charge = hold.managed_groups.get(then.service) if hold else None
    if hold is None or charge is None or not charge.swap_pending:
        return
    found = event.answer
    if not isinstance(found, calls.StoredValue):
        # Nothing else is decided before the store has answered.
        charge.pending_read_back = then
        charge.read_back_failed_at = state.now
        return
    write_id = found.value["write_id"] if found.value else ""
    if write_id == then.write.write_id:
        charge.swap_pending = False
        charge.revision = found.revision
        charge.record = then.write.record
        _continue_after_write(state, hold, charge, then.write, out)
        return
    if found.revision == charge.revision:
        # It may still arrive; the same swap again takes effect at most once.
        _swap(state, hold, charge, then.write, out)
        return
    charge.swap_pending = False
    charge.change = None
    managed_groups.load(hold, found)
    text = f"{then.service}: another steward changed the record"
    out.append(Log(PREFIX, text))


def _continue_after_write(
    state: State,
    hold: Stewardship,
    charge: ManagedGroup,
    then: RecordAgreed | RecordConfirmed,
    out: list[Effect],
) -> None:
    """Goes on once a record stands in the store."""
    managed_groups.send_record(state, charge, then.record, out)
    if isinstance(then, RecordConfirmed):
        newest = then.record.terms[-1]
        text = f"{charge.service} term {newest.term}: {newest.primary} leads"
        out.append(Log(PREFIX, text))
        charge.change = None
        charge.confirmed_at = state.now
        charge.lease_expiries.clear()
        return
    change = charge.change
    if change is None:
        return
    change.phase = Phase.PROMOTING
    change.phase_started_at = state.now
    change.promoting_home = ""
    _order(state, charge, change, out)
