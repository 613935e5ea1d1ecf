"""Changes the primary of a database group; runs at the shard's steward.

The change goes through five phases. Fencing: wait until no write lease of the
old term is valid. Choosing: pick the replica with the highest log position.
Agreeing: write the new term to the store, unconfirmed. Promoting: one home
promotes the server under a permit that expires like a lease. Confirming:
write the new primary's timeline to the store; then leases are granted again.
"""

import enum
from typing import NamedTuple

from cuminwall import (
    calls,
    document,
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
    """The phase of a primary change."""

    FENCING = "fencing"
    CHOOSING = "choosing"
    AGREEING = "agreeing"
    PROMOTING = "promoting"
    CONFIRMING = "confirming"


class RecordAgreed(NamedTuple):
    """Continues once a new, unconfirmed term is written."""

    shard: int
    service: str
    record: messages.GroupRecord
    write_id: str


class RecordConfirmed(NamedTuple):
    """Continues once a confirmed term is written."""

    shard: int
    service: str
    record: messages.GroupRecord
    write_id: str


class RecordReadBack(NamedTuple):
    """Continues once a record is read back after an unclear write."""

    shard: int
    service: str
    write: RecordAgreed | RecordConfirmed


def tick(state: State, stewardship: Stewardship, out: list[Effect]) -> None:
    """Advances the shard's primary changes and starts those that are due."""
    for managed_group in stewardship.managed_groups.values():
        if managed_group.swap_pending:
            _retry_read_back(state, stewardship, managed_group, out)
            continue
        if managed_group.record is None:
            _write_first_record(state, stewardship, managed_group, out)
            continue
        if managed_group.change is None:
            _start_if_due(state, managed_group, out)
        if managed_group.change is not None:
            _advance(
                state, stewardship, managed_group, managed_group.change, out
            )


def _retry_read_back(
    state: State,
    stewardship: Stewardship,
    managed_group: ManagedGroup,
    out: list[Effect],
) -> None:
    """Retries a failed read-back after a pause."""
    continuation = managed_group.pending_read_back
    if (
        continuation is None
        or state.now - managed_group.read_back_failed_at < READ_BACK_PAUSE_S
    ):
        return
    managed_group.pending_read_back = None
    key = f"{calls.GROUPS_PREFIX}{stewardship.shard}/{managed_group.service}"
    calls.read(state, key, continuation, out)


def handle_permit_request(
    state: State,
    stewardship: Stewardship,
    sender: str,
    request: messages.PermitRequest,
    out: list[Effect],
) -> None:
    """Grants a short permit for a promotion order that is still current."""
    managed_group = stewardship.managed_groups.get(request.service)
    if (
        managed_group is None
        or managed_group.change is None
        or managed_group.record is None
    ):
        return
    change = managed_group.change
    if change.phase is not Phase.PROMOTING or change.promoting_home != sender:
        return
    if managed_group.record.terms[-1].term != request.term:
        return
    if change.candidate != request.server:
        return
    if state.now - change.phase_started_at >= state.times.promote_s:
        return
    duration_s = state.times.permit_s
    change.permit_expires_at = leases.lender_expiry(state.now, duration_s)
    grant = messages.PermitGrant(
        request.number,
        request.service,
        request.server,
        request.term,
        duration_s,
    )
    out.append(SendToPeer(sender, grant))


def handle_promotion_report(
    state: State,
    stewardship: Stewardship,
    report: messages.PromotionReport,
    out: list[Effect],
) -> None:
    """Confirms the newest term if its server was promoted."""
    managed_group = stewardship.managed_groups.get(report.service)
    if (
        managed_group is None
        or managed_group.change is None
        or managed_group.record is None
    ):
        return
    change = managed_group.change
    newest = managed_group.record.terms[-1]
    if change.phase is not Phase.PROMOTING or newest.term != report.term:
        return
    if newest.primary != report.server:
        return
    if not report.done:
        text = f"{report.service}: promotion of {report.server} failed"
        out.append(Log(PREFIX, text))
        return
    _confirm(
        state, stewardship, managed_group, report.timeline, report.fork_lsn, out
    )


def _start_if_due(
    state: State, managed_group: ManagedGroup, out: list[Effect]
) -> None:
    """Starts a change if the primary failed or is taken out of service."""
    record = managed_group.record
    assert record is not None
    primary = record.terms[-1].primary
    if not record.active:
        # An earlier steward left the term unconfirmed.
        managed_group.change = PrimaryChange(Phase.FENCING, state.now, False)
        return
    doubted = managed_groups.needs_check(state, managed_group)
    if doubted and _is_failed(state, managed_group, primary):
        text = f"{managed_group.service}: primary {primary} does not serve"
        out.append(Log(PREFIX, text))
        _start_change(state, managed_group, False, out)
        return
    if _is_taken_out(state, managed_group, primary):
        text = (
            f"{managed_group.service}: primary {primary} "
            "is taken out of service"
        )
        out.append(Log(PREFIX, text))
        _start_change(state, managed_group, True, out)


def _start_change(
    state: State, managed_group: ManagedGroup, planned: bool, out: list[Effect]
) -> None:
    """Stops granting write leases and recalls those that are held."""
    assert managed_group.record is not None
    managed_group.change = PrimaryChange(Phase.FENCING, state.now, planned)
    term = managed_group.record.terms[-1].term
    shard = membership.shard_of(state, managed_group.service)
    recall = messages.Recall(shard, managed_group.service, term, planned)
    for holder in managed_group.lease_expiries:
        out.append(SendToPeer(holder, recall))


def _is_failed(state: State, managed_group: ManagedGroup, primary: str) -> bool:
    """Returns whether homes in enough zones report the primary as failed."""
    serving: set[str] = set()
    failing: set[str] = set()
    for (_, server), received in managed_groups.fresh_reports(
        state, managed_group, leases.NEVER
    ).items():
        if server != primary:
            continue
        if managed_groups.is_serving_primary(received.report):
            serving.add(received.zone)
        elif not received.report.reachable or _is_after_confirmation(
            managed_group, received
        ):
            failing.add(received.zone)
    failing -= serving
    needed = min(MIN_ZONES, _home_zone_count(state, managed_group.service))
    return len(failing) >= needed and len(failing) > len(serving)


def _is_after_confirmation(
    managed_group: ManagedGroup, received: ReceivedReport
) -> bool:
    """Returns whether a report's probe was sent after the confirmation.

    An older probe of the new primary still found it in recovery.
    """
    return (
        received.received_at - received.report.age_s
        > managed_group.confirmed_at
    )


def _home_zone_count(state: State, service: str) -> int:
    """Returns the number of zones with homes of a service, at least 1."""
    zones = set()
    for home in membership.homes(state, service):
        zones.add(membership.zone_of(state, home))
    return max(1, len(zones))


def _is_taken_out(
    state: State, managed_group: ManagedGroup, primary: str
) -> bool:
    """Returns whether the primary is out of service and replaceable.

    Another server of the group must be in service to replace it.
    """
    entry = state.config.services.get(managed_group.service)
    if entry is None or primary not in entry.servers:
        return False
    if state.config.is_server_serving(managed_group.service, primary):
        return False
    return any(
        _is_candidate(state, managed_group, server) and server != primary
        for server in entry.servers
    )


def _is_candidate(
    state: State, managed_group: ManagedGroup, server: str
) -> bool:
    """Returns whether the configuration has a server in service."""
    return state.config.is_server_serving(managed_group.service, server)


def _advance(
    state: State,
    stewardship: Stewardship,
    managed_group: ManagedGroup,
    change: PrimaryChange,
    out: list[Effect],
) -> None:
    """Advances a change by at most one phase."""
    if _confirm_if_promoted(state, stewardship, managed_group, change, out):
        return
    if change.phase is Phase.FENCING:
        if managed_groups.has_leases(state, stewardship, managed_group):
            return
        change.phase = Phase.CHOOSING
        change.phase_started_at = change.fenced_at = state.now
        text = f"{managed_group.service}: no write lease is held any more"
        out.append(Log(PREFIX, text))
        return
    if change.phase is Phase.CHOOSING:
        _choose(state, stewardship, managed_group, change, out)
        return
    if change.phase is Phase.PROMOTING:
        _await_promotion(state, stewardship, managed_group, change, out)


def _choose(
    state: State,
    stewardship: Stewardship,
    managed_group: ManagedGroup,
    change: PrimaryChange,
    out: list[Effect],
) -> None:
    """Chooses the replica with the highest position and writes its term."""
    if state.now - change.phase_started_at < MAX_REPORT_WAIT_S:
        if not _all_reported(state, managed_group, change.fenced_at):
            return
    record = managed_group.record
    assert record is not None
    primary = record.terms[-1].primary
    if record.active and not _is_still_due(state, managed_group, change):
        managed_group.change = None
        text = (
            f"{managed_group.service}: primary {primary} serves again; "
            "change canceled"
        )
        out.append(Log(PREFIX, text))
        return
    best = _best_candidate(state, managed_group, change)
    if best is None:
        # Servers that could not be promoted before may have recovered.
        change.failed_candidates.clear()
        return
    if change.planned and not _has_caught_up(
        state, managed_group, change, best[1]
    ):
        return
    _agree(state, stewardship, managed_group, change, best, out)


def _is_still_due(
    state: State, managed_group: ManagedGroup, change: PrimaryChange
) -> bool:
    """Returns whether the reason for a change still holds."""
    assert managed_group.record is not None
    primary = managed_group.record.terms[-1].primary
    if change.planned:
        return _is_taken_out(state, managed_group, primary)
    return _is_failed(state, managed_group, primary)


def _agree(
    state: State,
    stewardship: Stewardship,
    managed_group: ManagedGroup,
    change: PrimaryChange,
    best: tuple[str, int],
    out: list[Effect],
) -> None:
    """Writes the new term, not yet confirmed, to the store.

    The candidate's position when it was chosen stands in for the fork
    position until that is known.
    """
    assert managed_group.record is not None
    server, lsn = best
    change.candidate = server
    change.phase = Phase.AGREEING
    change.phase_started_at = state.now
    newest = managed_group.record.terms[-1]
    kept = managed_group.record.terms
    if not managed_group.record.active:
        kept = kept[:-1]
    entry = messages.TermEntry(newest.term + 1, server, 0, lsn)
    terms = (*kept, entry)[-MAX_KEPT_TERMS:]
    record = messages.GroupRecord(managed_group.service, False, terms)
    text = f"{managed_group.service} term {entry.term}: choosing {server}"
    out.append(Log(PREFIX, text))
    _write(state, stewardship, managed_group, record, RecordAgreed, out)


def _all_reported(
    state: State, managed_group: ManagedGroup, since: float
) -> bool:
    """Returns whether each reporting home has reported since `since`."""
    reports = managed_groups.fresh_reports(state, managed_group, leases.NEVER)
    all_homes = {home for home, _ in reports}
    fresh = {
        home
        for home, _ in managed_groups.fresh_reports(state, managed_group, since)
    }
    return bool(fresh) and fresh == all_homes


def _best_candidate(
    state: State, managed_group: ManagedGroup, change: PrimaryChange
) -> tuple[str, int] | None:
    """Returns the best server that enough zones reach, and its position.

    The best one has the highest timeline and, on it, the highest position.
    Where a write is acknowledged once a replica has it, one that is out of
    service counts as well: it may be the only one that has some writes.
    """
    assert managed_group.record is not None
    old_primary = managed_group.record.terms[-1].primary
    zones: dict[str, set[str]] = {}
    ranks: dict[str, tuple[int, int, bool, str]] = {}
    may_be_out = _may_be_out(state, managed_group, change)
    reports = managed_groups.fresh_reports(
        state, managed_group, change.fenced_at
    )
    for (_, server), received in reports.items():
        report = received.report
        if not report.reachable or server in change.failed_candidates:
            continue
        if server == old_primary and managed_group.record.active:
            continue
        is_serving = _is_candidate(state, managed_group, server)
        if not is_serving and not may_be_out:
            continue
        if not _is_on_or_past_history(managed_group, report):
            continue
        zones.setdefault(server, set()).add(received.zone)
        rank = (report.timeline, report.lsn, is_serving, server)
        ranks[server] = max(rank, ranks.get(server, rank))
    needed = min(MIN_ZONES, _home_zone_count(state, managed_group.service))
    eligible = [ranks[name] for name in ranks if len(zones[name]) >= needed]
    if not eligible:
        return None
    _, lsn, _, server = max(eligible)
    return server, lsn


def _may_be_out(
    state: State, managed_group: ManagedGroup, change: PrimaryChange
) -> bool:
    """Returns whether a server that is out of service may be chosen.

    In a planned change another one first gets the time to catch up.
    """
    service = state.config.services.get(managed_group.service)
    if service is None:
        return False
    waited_s = state.now - change.fenced_at
    if change.planned and waited_s < MAX_CATCH_UP_S:
        return False
    return service.acknowledge == document.ACKNOWLEDGE_REPLICA


def _is_on_or_past_history(
    managed_group: ManagedGroup, report: messages.ServerReport
) -> bool:
    """Returns whether a server's log has not diverged from the history.

    A timeline past the last confirmed one comes from a promotion that was
    never confirmed; nothing was acknowledged on it, so all of it may be kept.
    """
    history = _confirmed_history(managed_group)
    assert history.record is not None
    if not history.record.terms:
        return True
    if report.timeline > history.record.terms[-1].timeline:
        return True
    if not report.in_recovery:
        # A replaced primary that came back cannot be promoted.
        return False
    return groups.is_on_history(history, report.timeline, report.lsn)


def _confirmed_history(managed_group: ManagedGroup) -> Group:
    """Returns a group with only the confirmed terms."""
    history = Group(managed_group.service)
    record = managed_group.record
    assert record is not None
    terms = [entry for entry in record.terms if entry.timeline]
    history.record = messages.GroupRecord(
        managed_group.service, True, tuple(terms)
    )
    return history


def _has_caught_up(
    state: State, managed_group: ManagedGroup, change: PrimaryChange, lsn: int
) -> bool:
    """Returns whether a planned change may proceed without losing writes.

    After CATCH_UP_S it proceeds in any case.
    """
    if state.now - change.fenced_at >= MAX_CATCH_UP_S:
        return True
    assert managed_group.record is not None
    primary = managed_group.record.terms[-1].primary
    reports = managed_groups.fresh_reports(
        state, managed_group, change.fenced_at
    )
    positions = []
    for (_, server), received in reports.items():
        if server == primary and managed_groups.is_serving_primary(
            received.report
        ):
            positions.append(received.report.lsn)
    return bool(positions) and lsn >= max(positions)


def _await_promotion(
    state: State,
    stewardship: Stewardship,
    managed_group: ManagedGroup,
    change: PrimaryChange,
    out: list[Effect],
) -> None:
    """Orders the promotion, and abandons it when it takes too long."""
    if not change.promoting_home:
        _order_promotion(state, managed_group, change, out)
        return
    if state.now - change.phase_started_at < state.times.promote_s:
        return
    if state.now < change.permit_expires_at:
        return
    text = f"{managed_group.service}: promotion of {change.candidate} timed out"
    out.append(Log(PREFIX, text))
    change.failed_candidates.add(change.candidate)
    change.promoting_home = ""
    change.phase = Phase.CHOOSING
    change.phase_started_at = change.fenced_at = state.now


def _confirm_if_promoted(
    state: State,
    stewardship: Stewardship,
    managed_group: ManagedGroup,
    change: PrimaryChange,
    out: list[Effect],
) -> bool:
    """Confirms the newest term if reports show its server as primary.

    The report of a promotion may be lost, or an earlier steward's order may
    have been executed after that steward was gone.
    """
    assert managed_group.record is not None
    if managed_group.record.active or len(managed_group.record.terms) < 2:
        return False
    if _is_report_due(state, change):
        return False
    newest = managed_group.record.terms[-1]
    former = managed_group.record.terms[-2].timeline
    for (_, server), received in managed_groups.fresh_reports(
        state, managed_group, leases.NEVER
    ).items():
        if server != newest.primary or not managed_groups.is_serving_primary(
            received.report
        ):
            continue
        if received.report.timeline > former:
            # The reported position lies past the fork and would hide lost
            # writes. The one from the choice is at most too low.
            timeline = received.report.timeline
            _confirm(
                state,
                stewardship,
                managed_group,
                timeline,
                newest.fork_lsn,
                out,
            )
            return True
    return False


def _is_report_due(state: State, change: PrimaryChange) -> bool:
    """Returns whether the promoting home may still report the fork."""
    if change.phase is not Phase.PROMOTING or not change.promoting_home:
        return False
    return state.now - change.phase_started_at < state.times.promote_s


def _order_promotion(
    state: State,
    managed_group: ManagedGroup,
    change: PrimaryChange,
    out: list[Effect],
) -> None:
    """Orders the promotion at a home that reaches the server.

    A home in the server's zone is preferred.
    """
    assert managed_group.record is not None
    zone = ""
    entry = state.config.services.get(managed_group.service)
    if entry is not None and change.candidate in entry.servers:
        zone = entry.servers[change.candidate].zone
    best = ""
    for (home, server), received in managed_groups.fresh_reports(
        state, managed_group, leases.NEVER
    ).items():
        if server != change.candidate or not received.report.reachable:
            continue
        if not best or received.zone == zone:
            best = home
    if not best:
        change.promoting_home = state.instance
        return
    change.promoting_home = best
    change.phase_started_at = state.now
    shard = membership.shard_of(state, managed_group.service)
    term = managed_group.record.terms[-1].term
    order = messages.PromotionOrder(
        shard, managed_group.service, change.candidate, term
    )
    out.append(SendToPeer(best, order))


def _write_first_record(
    state: State,
    stewardship: Stewardship,
    managed_group: ManagedGroup,
    out: list[Effect],
) -> None:
    """Writes a group's first record once a server reports as primary."""
    best: tuple[int, int, str] | None = None
    for (_, server), received in managed_groups.fresh_reports(
        state, managed_group, leases.NEVER
    ).items():
        if not managed_groups.is_serving_primary(received.report):
            continue
        rank = (received.report.timeline, received.report.lsn, server)
        if best is None or rank > best:
            best = rank
    if best is None:
        return
    entry = messages.TermEntry(1, best[2], best[0], 0)
    record = messages.GroupRecord(managed_group.service, True, (entry,))
    _write(state, stewardship, managed_group, record, RecordConfirmed, out)


def _confirm(
    state: State,
    stewardship: Stewardship,
    managed_group: ManagedGroup,
    timeline: int,
    fork_lsn: int,
    out: list[Effect],
) -> None:
    """Writes the newest term as confirmed, with its timeline and fork."""
    assert managed_group.record is not None and managed_group.change is not None
    managed_group.change.phase = Phase.CONFIRMING
    managed_group.change.phase_started_at = state.now
    newest = managed_group.record.terms[-1]._replace(
        timeline=timeline, fork_lsn=fork_lsn
    )
    terms = (*managed_group.record.terms[:-1], newest)
    record = messages.GroupRecord(managed_group.service, True, terms)
    _write(state, stewardship, managed_group, record, RecordConfirmed, out)


def _write(
    state: State,
    stewardship: Stewardship,
    managed_group: ManagedGroup,
    record: messages.GroupRecord,
    continuation_type: type[RecordAgreed] | type[RecordConfirmed],
    out: list[Effect],
) -> None:
    """Compares and swaps a group's record."""
    managed_group.swap_pending = True
    write_id = f"{state.instance}:{state.next_number()}"
    continuation = continuation_type(
        stewardship.shard, managed_group.service, record, write_id
    )
    _swap(state, stewardship, managed_group, continuation, out)


def _swap(
    state: State,
    stewardship: Stewardship,
    managed_group: ManagedGroup,
    continuation: RecordAgreed | RecordConfirmed,
    out: list[Effect],
) -> None:
    """Sends the compare-and-swap of a record, also to retry it."""
    key = f"{calls.GROUPS_PREFIX}{stewardship.shard}/{managed_group.service}"
    value = managed_groups.to_json(continuation.record, continuation.write_id)
    calls.swap(state, key, managed_group.revision, value, continuation, out)


def _find_pending_write(
    state: State, shard: int, service: str
) -> tuple[Stewardship, ManagedGroup] | None:
    """Returns a group whose record is being written here, or None."""
    stewardship = state.stewardships.get(shard)
    if stewardship is None:
        return None
    managed_group = stewardship.managed_groups.get(service)
    if managed_group is None or not managed_group.swap_pending:
        return None
    return stewardship, managed_group


def _apply_swap_answer(
    continuation: RecordAgreed | RecordConfirmed,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> tuple[Stewardship, ManagedGroup] | None:
    """Returns the changed group if the swap took effect, else reads it back."""
    pending = _find_pending_write(
        state, continuation.shard, continuation.service
    )
    if pending is None:
        return None
    stewardship, managed_group = pending
    if isinstance(event.answer, ports.Swapped):
        managed_group.swap_pending = False
        managed_group.revision = event.answer.revision
        managed_group.record = continuation.record
        return stewardship, managed_group
    key = f"{calls.GROUPS_PREFIX}{continuation.shard}/{continuation.service}"
    read_back = RecordReadBack(
        continuation.shard, continuation.service, continuation
    )
    calls.read(state, key, read_back, out)
    return None


@calls.resume.register(RecordAgreed)
@calls.resume.register(RecordConfirmed)
def _resume_record_written(
    continuation: RecordAgreed | RecordConfirmed,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    written = _apply_swap_answer(continuation, state, event, out)
    if written is not None:
        _continue_after_write(state, written[0], written[1], continuation, out)


@calls.resume.register
def _resume_record_read_back(
    continuation: RecordReadBack,
    state: State,
    event: events.StoreAnswered,
    out: list[Effect],
) -> None:
    pending = _find_pending_write(
        state, continuation.shard, continuation.service
    )
    if pending is None:
        return
    stewardship, managed_group = pending
    found = event.answer
    if not isinstance(found, calls.StoredValue):
        # Nothing else is decided until the record could be read.
        managed_group.pending_read_back = continuation
        managed_group.read_back_failed_at = state.now
        return
    write_id = found.value["write_id"] if found.value else ""
    if write_id == continuation.write.write_id:
        managed_group.swap_pending = False
        managed_group.revision = found.revision
        managed_group.record = continuation.write.record
        _continue_after_write(
            state, stewardship, managed_group, continuation.write, out
        )
        return
    if found.revision == managed_group.revision:
        # The first swap may still arrive. Both expect the same revision, so
        # at most one of them takes effect.
        _swap(state, stewardship, managed_group, continuation.write, out)
        return
    managed_group.swap_pending = False
    managed_group.change = None
    managed_groups.load(stewardship, found)
    text = f"{continuation.service}: another steward changed the record"
    out.append(Log(PREFIX, text))


def _continue_after_write(
    state: State,
    stewardship: Stewardship,
    managed_group: ManagedGroup,
    continuation: RecordAgreed | RecordConfirmed,
    out: list[Effect],
) -> None:
    """Announces a record that was written and starts the next phase."""
    managed_groups.send_record(state, managed_group, continuation.record, out)
    if isinstance(continuation, RecordConfirmed):
        newest = continuation.record.terms[-1]
        text = (
            f"{managed_group.service} term {newest.term}: "
            f"{newest.primary} leads"
        )
        out.append(Log(PREFIX, text))
        managed_group.change = None
        managed_group.confirmed_at = state.now
        managed_group.lease_expiries.clear()
        return
    change = managed_group.change
    if change is None:
        return
    change.phase = Phase.PROMOTING
    change.phase_started_at = state.now
    change.promoting_home = ""
    _order_promotion(state, managed_group, change, out)
