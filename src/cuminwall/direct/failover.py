"""Changing the primary of a database service, decided by the coordinator.

A change goes step by step: ask the replicas how far their logs go; for a
planned change make the old primary step down and wait until a replica has
all of its log; write the order to the store, which gives it a number higher
than that of every earlier order; give the order. An order that was not
answered may still be carried out, so the next one gets a higher number.
"""

import json

from cuminwall.direct import groups, inquiries, lender
from cuminwall.direct.answers import Position
from cuminwall.direct.effects import Effect, Note, Promote
from cuminwall.direct.events import PromotionOutcome
from cuminwall.direct.fleet_state import ChangeStep, PrimaryChange
from cuminwall.direct.servers_state import Group, Server
from cuminwall.direct.state import State, SwapPurpose

PART = "failover"

ORDER_PREFIX = "orders/"
TICK_S = 0.1  # How often a change in course is looked at.
REPORT_AGE_S = 1.5  # How long what an instance has reported counts.
FEW = 2  # Instances that must miss a primary, unless there are fewer.
UNKNOWN_S = 0.8  # How long a service may be without a known primary.
OUTAGE_SETTLE_S = 2.2  # After an outage of the store, entries come back.


def start(state: State) -> None:
    """Begins to watch over the services."""
    state.primary_changes.clear()
    state.no_primary_since.clear()


def stop(state: State, out: list[Effect]) -> None:
    """Ceases to watch over the services."""
    for change in state.primary_changes.values():
        _note(state, change, "left", {}, out)
    state.primary_changes.clear()


def record_unreachable_servers(
    state: State, sender: str, unreachable: tuple
) -> None:
    """Takes in which servers an instance can't reach."""
    for report in unreachable:
        reports = state.unreachable_reports.setdefault(report.server, {})
        reports[sender] = (state.now, state.now - report.age_s)
    named = {report.server for report in unreachable}
    for server, reports in state.unreachable_reports.items():
        if server not in named:
            reports.pop(sender, None)


def tick(state: State, out: list[Effect]) -> None:
    """Looks at every service, and goes on with the changes in course."""
    for service in state.catalog.services:
        group = state.groups.get(service)
        if group is None:
            continue
        change = state.primary_changes.get(service)
        if change is not None:
            _go_on(state, group, change, out)
            continue
        cause = _cause(state, group, out)
        if cause:
            _begin(state, group, cause, out)


def handle_order_written(
    state: State, service: str, revision: int | None, out: list[Effect]
) -> None:
    """Takes in whether an order stands in the store."""
    change = state.primary_changes.get(service)
    if change is None or change.step is not ChangeStep.WRITING_ORDER:
        return
    if not revision:
        # Not written, or unknown: chosen and written anew, under what the
        # store then says stands there.
        change.step = ChangeStep.CHOOSING
        change.step_deadline = state.now + state.limits.inquiry_timeout_s
        return
    change.fencing_token = revision
    change.step = ChangeStep.ORDERED
    change.step_deadline = state.now + state.limits.promotion_retry_s
    out.append(Promote(service, change.target, revision))
    _note(state, change, "ordered", {}, out)


def handle_promotion_outcome(
    state: State,
    service: str,
    server: str,
    fencing_token: int,
    outcome: PromotionOutcome,
    out: list[Effect],
) -> None:
    """Takes in the answer to an order."""
    group = state.groups.get(service)
    if outcome.is_done and group is not None and server in group.servers:
        groups.set_primary(state, group, server, "promoted", out)
    change = state.primary_changes.get(service)
    if change is None or change.fencing_token != fencing_token:
        return
    if outcome.is_done:
        _note(state, change, "done", {}, out)
        del state.primary_changes[service]
        state.no_primary_since.pop(service, None)
        return
    if outcome.is_refused:
        _note(state, change, "refused", {}, out)
        change.refused_servers.add(server)
        change.step = ChangeStep.QUERYING
        change.step_deadline = state.now


def _cause(state: State, group: Group, out: list[Effect]) -> str:
    """Returns why a service needs another primary, or ""."""
    if not _may_judge(state):
        return ""
    primary = group.servers.get(group.primary)
    if primary is None:
        since = state.no_primary_since.setdefault(group.service, state.now)
        if state.now - since < UNKNOWN_S or not _has_candidate(state, group):
            return ""
        return "no primary"
    state.no_primary_since.pop(group.service, None)
    if not groups.is_usable(state, primary):
        return _planned_cause(state, group, primary)
    return _missed_cause(state, group, primary, out)


def _planned_cause(state: State, group: Group, primary: Server) -> str:
    """Returns why a primary that still runs is to be replaced, or ""."""
    if not _has_candidate(state, group):
        return ""
    if primary.entry.is_leaving:
        return "the primary leaves"
    return "its zone is taken out"


def _missed_cause(
    state: State, group: Group, primary: Server, out: list[Effect]
) -> str:
    """Returns whether a primary is out of reach, after asking it."""
    name = primary.entry.server
    reports = dict(state.unreachable_reports.get(name, {}))
    if primary.unreachable_since is not None:
        reports[state.instance] = (state.now, primary.unreachable_since)
    missers = 0
    for heard_at, missed_at in reports.values():
        if state.now - heard_at > REPORT_AGE_S:
            continue
        if state.now - missed_at >= state.limits.primary_unreachable_s:
            missers += 1
    if not reports:
        return ""
    asked_s = state.now - primary.status_at
    if asked_s > state.limits.inquiry_timeout_s:
        inquiries.query_status(state, primary, out)
    if missers < min(FEW, len(state.members)):
        return ""
    is_fresh = asked_s <= 2 * state.limits.inquiry_timeout_s
    if is_fresh and not primary.status_alive:
        return "the primary is out of reach"
    if is_fresh and 2 * missers > len(state.members):
        return "most instances can't reach the primary"
    return ""


def _may_judge(state: State) -> bool:
    """Returns whether enough is seen from here to replace a primary.

    A coordinator that most instances can't reach may be the one that is cut
    off; theirs is the better view.
    """
    if not state.is_store_up:
        return False
    if state.now < state.store_up_since + OUTAGE_SETTLE_S:
        if state.had_outage:
            return False
    lent = state.lender
    if (
        lent is None
        or state.now
        < lent.started_at + 2 * state.limits.share_request_interval_s
    ):
        return False
    heard = lender.count_active_instances(state, REPORT_AGE_S)
    others = len(state.members) - 1
    return 2 * heard >= others


def _has_candidate(state: State, group: Group) -> bool:
    """Returns whether some server could take over."""
    for server in group.servers.values():
        if _may_lead(state, group, server):
            return True
    return False


def _may_lead(state: State, group: Group, server: Server) -> bool:
    """Returns whether a server may be chosen."""
    if server.entry.server == group.primary:
        return False
    return groups.is_usable(state, server)


def _begin(state: State, group: Group, cause: str, out: list[Effect]) -> None:
    """Begins to change a primary."""
    change = PrimaryChange(group.service, cause, group.primary, state.now)
    state.primary_changes[group.service] = change
    _note(state, change, "begun", {"before": group.primary}, out)
    _ask_all(state, group, change, out)


def _ask_all(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Asks every candidate how far its log goes."""
    change.step = ChangeStep.QUERYING
    change.step_deadline = state.now + state.limits.inquiry_timeout_s
    _ask_again(state, group, change, out)


def _go_on(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Takes the next step of a change, when it is due."""
    if group.primary and group.primary != change.old_primary:
        _note(state, change, "over", {"primary": group.primary}, out)
        del state.primary_changes[group.service]
        return
    if change.step is ChangeStep.QUERYING:
        _asking(state, group, change, out)
    elif change.step is ChangeStep.STEPPING_DOWN:
        _stepping_down(state, group, change, out)
    elif change.step is ChangeStep.CHOOSING:
        _choosing(state, group, change, out)
    elif state.now >= change.step_deadline:
        # The order was not answered; a newer one makes it void.
        _ask_all(state, group, change, out)


def _asking(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Waits for the candidates' answers."""
    known = 0
    open_count = 0
    for server in group.servers.values():
        if not _may_lead(state, group, server):
            continue
        if server.status_at < change.queried_at:
            open_count += 1
        elif server.status is not None:
            known += 1
    if open_count and state.now < change.step_deadline:
        return
    if not known:
        _ask_all(state, group, change, out)
        return
    old = state.servers.get(change.old_primary)
    if old is not None and not change.is_fenced and not old.is_gone:
        if old.unreachable_since is None:
            _step_down(state, group, change, old, out)
            return
    change.step = ChangeStep.CHOOSING
    change.step_deadline = state.now


def _step_down(
    state: State,
    group: Group,
    change: PrimaryChange,
    old: Server,
    out: list[Effect],
) -> None:
    """Makes the old primary a replica, so that its log ends."""
    term = 0
    for server in group.servers.values():
        if server.status is not None:
            term = max(term, server.status.term)
    change.step = ChangeStep.STEPPING_DOWN
    change.queried_at = state.now
    change.step_deadline = state.now + state.limits.inquiry_timeout_s
    inquiries.order_step_down(state, old, term + 1, out)


def _stepping_down(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Waits until the old primary has stepped down."""
    old = state.servers.get(change.old_primary)
    is_open = old is not None and old.status_at < change.queried_at
    if is_open and state.now < change.step_deadline:
        return
    change.is_fenced = True
    if old is not None and not is_open and old.status is not None:
        change.log_end = old.status.position
    _note(state, change, "stepped_down", {"log_end": change.log_end}, out)
    change.step = ChangeStep.CHOOSING
    change.step_deadline = state.now + state.limits.catch_up_timeout_s
    _ask_again(state, group, change, out)


def _ask_again(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Asks the candidates once more, while they catch up."""
    change.queried_at = state.now
    for server in group.servers.values():
        if _may_lead(state, group, server):
            inquiries.query_status(state, server, out)


def _choosing(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Chooses the server whose log goes furthest, and writes the order."""
    best = _best(state, group, change)
    is_waiting = state.now < change.step_deadline
    if best is None or best.status is None:
        if not is_waiting:
            change.refused_servers.clear()
            _ask_all(state, group, change, out)
        return
    log_end = change.log_end
    if is_waiting and log_end is not None:
        if best.status.position < log_end:
            _ask_again(state, group, change, out)
            return
    change.target = best.entry.server
    change.step = ChangeStep.WRITING_ORDER
    change.step_deadline = state.now + state.limits.promotion_retry_s
    name = ORDER_PREFIX + group.service
    order = {
        "server": change.target,
        "epoch": state.own_lease.epoch,
        "cause": change.cause,
    }
    state.compare_and_swap(
        SwapPurpose.ORDER,
        {name: state.shared_revisions.get(name, 0)},
        {name: json.dumps(order).encode()},
        frozenset(),
        0,
        out,
    )
    _note(
        state,
        change,
        "chosen",
        {"position": best.status.position, "log_end": log_end},
        out,
    )


def _best(state: State, group: Group, change: PrimaryChange) -> Server | None:
    """Returns the candidate whose log goes furthest."""
    best = None
    best_rank: tuple[bool, Position, bool] | None = None
    for server in group.servers.values():
        if not _may_lead(state, group, server) or server.status is None:
            continue
        if server.entry.server in change.refused_servers:
            continue
        if state.now - server.status_at > 4 * state.limits.inquiry_timeout_s:
            continue
        is_warm = server.entry.cold_s <= 0
        is_near = server.entry.zone == state.zone
        rank = (is_warm, server.status.position, is_near)
        if best_rank is None or rank > best_rank:
            best = server
            best_rank = rank
    return best


def _note(
    state: State,
    change: PrimaryChange,
    event: str,
    fields: dict,
    out: list[Effect],
) -> None:
    """Writes a line about a change."""
    out.append(
        Note(
            PART,
            event,
            {
                "service": change.service,
                "cause": change.cause,
                "target": change.target,
                "fence": change.fencing_token,
                "epoch": state.own_lease.epoch,
                "after_s": round(state.now - change.started_at, 3),
                **fields,
            },
        )
    )
