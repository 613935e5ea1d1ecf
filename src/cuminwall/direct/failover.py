"""Changes the primary of a database service, as the coordinator decides.

The steps: ask the replicas for the end of their logs; for a planned
switchover, make the old primary step down and wait until a replica has its
whole log; write the order to the store, whose revision becomes the fencing
token; give the order. An unanswered order may still be carried out, so the
next one gets a higher token.

A replaced primary that does not refuse to act as one must not be used any more
when its successor is ordered: either it has confirmed that it stepped down, or
every lease on it was released or has expired.
"""

from cuminwall.direct import (
    candidates,
    change_notes,
    durability,
    groups,
    held_replicas,
    inquiries,
    lease_grants,
    open_orders,
    primary_checks,
    primary_orders,
)
from cuminwall.direct.answers import Position
from cuminwall.direct.effects import Effect, Promote
from cuminwall.direct.events import PromotionOutcome
from cuminwall.direct.fleet_state import (
    PLANNED_CAUSES,
    UNANSWERED,
    ChangeStep,
    PrimaryChange,
)
from cuminwall.direct.servers_state import Group, Server
from cuminwall.direct.state import State

TICK_S = 0.1  # Between checks of the services and their primary changes.
RECALL_INTERVAL_S = 0.3  # Between repeated recalls of leases.


def start(state: State) -> None:
    """Starts to watch the services' primaries, as the new coordinator."""
    state.primary_watch.changes.clear()
    state.primary_watch.no_primary_since.clear()
    state.primary_watch.unled_since.clear()
    state.primary_watch.led_since.clear()
    state.primary_watch.confirmed_orders.clear()


def stop(state: State, out: list[Effect]) -> None:
    """Stops watching the services and abandons the changes in progress."""
    for change in state.primary_watch.changes.values():
        change_notes.add(state, change, "left", {}, out)
    state.primary_watch.changes.clear()


def tick(state: State, out: list[Effect]) -> None:
    """Checks every service and advances the changes in progress."""
    for service in state.catalog.services:
        group = state.groups.get(service)
        if group is None:
            continue
        change = state.primary_watch.changes.get(service)
        if change is not None:
            _advance(state, group, change, out)
            continue
        cause = primary_checks.find_cause(state, group, out)
        if cause:
            _begin(state, group, cause, out)
        elif durability.must_keep_commits(state, group):
            held_replicas.release_abandoned(state, group, out)


def handle_order_written(
    state: State, service: str, revision: int | None, out: list[Effect]
) -> None:
    """Handles the result of writing an order; gives the order if written."""
    change = state.primary_watch.changes.get(service)
    if change is None or change.step is not ChangeStep.WRITING_ORDER:
        return
    if not revision:
        # Not written, or unknown: choose again and write against the
        # revision that the store then shows.
        change.step = ChangeStep.CHOOSING
        change.step_deadline = state.now + state.limits.inquiry_timeout_s
        return
    change.fencing_token = revision
    change.step = ChangeStep.ORDERED
    change.step_deadline = state.now + state.limits.promotion_retry_s
    group = groups.find(state, service)
    groups.record_order(state, group, change.target, revision, out)
    if _is_over(state, group, change):
        # Later coordinators must know that it is not given.
        open_orders.handle_answer(state, group, revision, False, out)
        change.step = ChangeStep.CHOOSING
        return
    group.order_above_term = change.above_term
    group.ordered_fork = change.fork
    epoch = state.own_lease.epoch
    out.append(Promote(service, change.target, revision, epoch))
    change_notes.add(state, change, "ordered", {}, out)
    if change.cause == UNANSWERED:
        # Until it is answered, the primary may acknowledge what its server has.
        held_replicas.release(state, group, out)


def handle_promotion_outcome(
    state: State,
    service: str,
    server: str,
    fencing_token: int,
    outcome: PromotionOutcome,
    out: list[Effect],
) -> None:
    """Handles the answer to an order."""
    group = state.groups.get(service)
    if outcome.is_done and group is not None and fencing_token == group.order:
        group.fork = group.ordered_fork or group.fork
    if outcome.is_done and group is not None and server in group.servers:
        groups.set_primary(state, group, server, "promoted", out)
    if group is not None and (outcome.is_done or outcome.is_refused):
        is_done = outcome.is_done
        open_orders.handle_answer(state, group, fencing_token, is_done, out)
    change = state.primary_watch.changes.get(service)
    if change is None or change.fencing_token != fencing_token:
        return
    if outcome.is_done and state.limits.are_primaries_fenced:
        _finish(state, change, out)
        return
    if outcome.is_done:
        change_notes.add(state, change, "accepted", {}, out)
        change.step = ChangeStep.AWAITING_LEAD
        change.step_deadline = state.now + state.limits.unled_order_s
        return
    if outcome.is_refused:
        change_notes.add(state, change, "refused", {}, out)
        change.refused_servers.add(server)
        change.step = ChangeStep.QUERYING
        change.step_deadline = state.now


def _finish(state: State, change: PrimaryChange, out: list[Effect]) -> None:
    """Ends a change whose server leads, or will at once."""
    change_notes.add(state, change, "done", {}, out)
    watch = state.primary_watch
    del watch.changes[change.service]
    watch.led_since[change.service] = state.now
    watch.confirmed_orders[change.service] = change.fencing_token
    watch.no_primary_since.pop(change.service, None)
    watch.unled_since.pop(change.service, None)
    lease_grants.offer(state, change.service, out)


def _begin(state: State, group: Group, cause: str, out: list[Effect]) -> None:
    """Begins a change of primary."""
    change = PrimaryChange(group.service, cause, group.primary, state.now)
    state.primary_watch.changes[group.service] = change
    change_notes.add(state, change, "begun", {"before": group.primary}, out)
    is_kept = durability.must_keep_commits(state, group)
    if cause == UNANSWERED and not is_kept:
        _supersede(state, group, change, None, out)
        return
    _restart(state, group, change, out)


def _supersede(
    state: State,
    group: Group,
    change: PrimaryChange,
    best: Server | None,
    out: list[Effect],
) -> None:
    """Gives a newer order in place of those that were not answered.

    It is for the primary: that changes nothing. But one of the others may be
    carried out before it, and what the server of that one acknowledged would
    then be lost. So where commits must be kept it is for this server, if that
    has them all; whichever of the two orders comes first, it leads.

    Args:
      state: The state.
      group: The group.
      change: The change.
      best: The server with all acknowledged commits, if it is known.
      out: The effects.
    """
    target = group.servers.get(group.primary)
    if best is not None and best.entry.server in open_orders.usurpers(
        state, group
    ):
        target = best
    if target is None or target.entry.server in change.refused_servers:
        change.step = ChangeStep.ORDERED
        change.step_deadline = state.now + state.limits.promotion_retry_s
        return
    primary_orders.write(state, group, change, target, out)


def _restart(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Starts over with asking every candidate for the end of its log."""
    change.step = ChangeStep.QUERYING
    change.step_deadline = state.now + state.limits.inquiry_timeout_s
    change.logs_since = state.now
    change.held_term = 0
    _query_candidates(state, group, change, out)


def _advance(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Takes the next step of a change when it is due."""
    if change.step is not ChangeStep.WRITING_ORDER and _is_over(
        state, group, change
    ):
        change_notes.add(state, change, "over", {"primary": group.primary}, out)
        del state.primary_watch.changes[group.service]
        return
    if change.step is ChangeStep.QUERYING:
        _check_candidates(state, group, change, out)
    elif change.step is ChangeStep.STEPPING_DOWN:
        _await_step_down(state, group, change, out)
    elif change.step is ChangeStep.HOLDING:
        _await_hold(state, group, change, out)
    elif change.step is ChangeStep.RECALLING:
        _await_recall(state, group, change, out)
    elif change.step is ChangeStep.AWAITING_LEAD:
        _await_lead(state, group, change, out)
    elif change.step is ChangeStep.CHOOSING:
        _choose(state, group, change, out)
    elif state.now >= change.step_deadline:
        # The order was not answered; a newer one supersedes it.
        if change.cause == UNANSWERED:
            # The primary may have been lost meanwhile.
            change_notes.add(state, change, "left", {}, out)
            del state.primary_watch.changes[change.service]
            return
        _restart(state, group, change, out)


def _is_over(state: State, group: Group, change: PrimaryChange) -> bool:
    """Returns whether another server than before leads already.

    To close an open order is pointless as well once the primary is lost.
    """
    if not state.limits.are_primaries_fenced:
        return False
    if change.cause == UNANSWERED:
        return group.primary != change.old_primary
    return group.primary not in ("", change.old_primary)


def _await_lead(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Waits until the promoted server acts as primary.

    Leases on it that were granted sooner would only make instances send it
    statements that it refuses.
    """
    server = group.servers.get(change.target)
    if server is None or state.now >= change.step_deadline:
        _restart(state, group, change, out)
        return
    if server.status_at > change.queried_at and primary_checks.leads(
        group, server
    ):
        _finish(state, change, out)
        return
    inquiries.query_status(state, server, out)


def _check_candidates(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Waits for the candidates' answers."""
    known_count = 0
    pending_count = 0
    for server in group.servers.values():
        if not candidates.is_candidate(state, group, server):
            continue
        if server.status_at < change.queried_at:
            pending_count += 1
        elif server.status is not None:
            known_count += 1
    if pending_count and state.now < change.step_deadline:
        return
    if change.cause == UNANSWERED:
        if durability.must_keep_commits(state, group):
            _hold(state, group, change, out)
        else:
            _supersede(state, group, change, None, out)
        return
    if not known_count:
        _restart(state, group, change, out)
        return
    old = _reachable_old_primary(state, change)
    if old is not None:
        _step_down_in_time(state, group, change, old, out)
        return
    if _must_recall(state, change):
        _recall(state, group, change, out)
        return
    if durability.must_keep_commits(state, group):
        _hold(state, group, change, out)
        return
    change.step = ChangeStep.CHOOSING
    change.step_deadline = state.now
    _choose(state, group, change, out)


def _hold(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Stops the replicas from receiving commits of an old primary.

    Else it could acknowledge commits that only a replica has that is not
    chosen.
    """
    if change.log_end is not None or not _knows_logs(state, group, change):
        change.step = ChangeStep.CHOOSING
        change.step_deadline = state.now
        _choose(state, group, change, out)
        return
    change.step = ChangeStep.HOLDING
    change.step_deadline = state.now + state.limits.inquiry_timeout_s
    change.logs_since = state.now
    change.held_term = groups.highest_term(group) + 1
    for server in durability.replicas(group, change):
        inquiries.hold(state, server, change.held_term, out)


def _knows_logs(state: State, group: Group, change: PrimaryChange) -> bool:
    """Returns whether enough servers have told the ends of their logs."""
    return durability.find_required_position(state, group, change) is not None


def _await_hold(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Waits until the replicas receive no more commits."""
    is_due = state.now >= change.step_deadline
    if durability.is_waiting(group, change) and not is_due:
        return
    change_notes.add(state, change, "held", {"term": change.held_term}, out)
    change.step = ChangeStep.CHOOSING
    change.step_deadline = state.now
    _choose(state, group, change, out)


def _reachable_old_primary(
    state: State, change: PrimaryChange
) -> Server | None:
    """Returns the old primary if it can still be told to step down."""
    old = state.servers.get(change.old_primary)
    if old is None or old.is_gone or change.is_fenced:
        return None
    return old if old.unreachable_since is None else None


def _step_down_in_time(
    state: State,
    group: Group,
    change: PrimaryChange,
    old: Server,
    out: list[Effect],
) -> None:
    """Makes the old primary a replica once a candidate can catch up."""
    if _may_step_down(state, group, change, old):
        _step_down(state, group, change, old, out)
        return
    is_goal_new = change.catch_up_goal_at == state.now
    if is_goal_new or state.now >= change.step_deadline:
        _restart(state, group, change, out)


def _may_step_down(
    state: State, group: Group, change: PrimaryChange, old: Server
) -> bool:
    """Returns whether a candidate can catch up once the primary stepped down.

    Where commits must be kept, nothing could be promoted until then. An
    unplanned change does not wait: its old primary serves few callers.
    """
    if change.cause not in PLANNED_CAUSES:
        return True
    if not durability.must_keep_commits(state, group):
        return True
    goal = change.catch_up_goal
    for server in group.servers.values():
        if goal is None or server.status is None:
            continue
        if not candidates.is_candidate(state, group, server):
            continue
        if not groups.is_usable(state, server):
            continue
        if server.status.position >= goal:
            return True
    goal_age_s = state.now - change.catch_up_goal_at
    if goal is None or goal_age_s >= state.limits.catch_up_timeout_s:
        if old.status is not None and old.status_at >= change.queried_at:
            change.catch_up_goal = old.status.position
            change.catch_up_goal_at = state.now
    return False


def _step_down(
    state: State,
    group: Group,
    change: PrimaryChange,
    old: Server,
    out: list[Effect],
) -> None:
    """Makes the old primary a replica, so that its log stops growing."""
    change.step = ChangeStep.STEPPING_DOWN
    held_replicas.release(state, group, out)
    change.queried_at = state.now
    change.step_deadline = state.now + state.limits.inquiry_timeout_s
    inquiries.order_step_down(state, old, groups.highest_term(group) + 1, out)


def _await_step_down(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Waits until the old primary has stepped down."""
    old = state.servers.get(change.old_primary)
    is_pending = old is not None and old.status_at < change.queried_at
    if is_pending and state.now < change.step_deadline:
        return
    if old is not None and not is_pending:
        is_refused = old.status is None and old.status_alive
        if is_refused and durability.must_keep_commits(state, group):
            # It may acknowledge more commits.
            _step_down(state, group, change, old, out)
            return
    change.is_fenced = True
    if old is not None and not is_pending and old.status is not None:
        change.log_end = old.status.position
    change_notes.add(
        state, change, "stepped_down", {"log_end": change.log_end}, out
    )
    if change.log_end is None and durability.must_keep_commits(state, group):
        # It may go on as primary.
        _restart(state, group, change, out)
        return
    if not state.limits.are_primaries_fenced:
        _recall(state, group, change, out)
        if not _has_confirmed_step_down(old, change):
            return
    change.step = ChangeStep.CHOOSING
    change.step_deadline = state.now + state.limits.catch_up_timeout_s
    change.logs_since = state.now
    _query_candidates(state, group, change, out)


def _has_confirmed_step_down(old: Server | None, change: PrimaryChange) -> bool:
    """Returns whether the old primary says that it is a replica now."""
    if old is None or old.status is None:
        return False
    return old.status_at >= change.queried_at and not old.status.is_primary


def _must_recall(state: State, change: PrimaryChange) -> bool:
    """Returns whether leases on the old primary may still be in use."""
    if state.limits.are_primaries_fenced:
        return False
    if not change.is_recalling:
        return True
    return lease_grants.has_holders(state, change.service)


def _recall(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Recalls the leases on the old primary."""
    change.is_recalling = True
    change.step = ChangeStep.RECALLING
    change.step_deadline = state.now + RECALL_INTERVAL_S
    lease_grants.recall(state, group, out)


def _await_recall(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Waits until nobody relies on a lease on the old primary."""
    if not lease_grants.has_holders(state, change.service):
        change_notes.add(state, change, "recalled", {}, out)
        # The logs may have grown meanwhile.
        _restart(state, group, change, out)
        return
    if state.now >= change.step_deadline:
        lease_grants.note_holders(state, change.service, out)
        _recall(state, group, change, out)


def _query_candidates(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Asks the candidates for their status, while they catch up."""
    change.queried_at = state.now
    keeps_commits = durability.must_keep_commits(state, group)
    for server in group.servers.values():
        is_old = server.entry.server == change.old_primary
        if candidates.is_candidate(state, group, server) or (
            is_old and keeps_commits
        ):
            inquiries.query_status(state, server, out)


def _choose(
    state: State, group: Group, change: PrimaryChange, out: list[Effect]
) -> None:
    """Chooses the server with the longest log and writes the order."""
    best = None
    groups.update_fork(group)
    required = durability.find_required_position(state, group, change)
    if required is not None:
        best = candidates.find_best(state, group, change, required)
    if change.cause == UNANSWERED:
        _supersede(state, group, change, best, out)
        return
    may_wait = state.now < change.step_deadline
    if best is None or best.status is None:
        if may_wait and change.log_end is not None:
            _query_candidates(state, group, change, out)
        elif not may_wait and not _is_waiting_for_logs(state, group, change):
            _log_missing_logs(state, group, change, required, out)
            held_replicas.release(state, group, out)
            change.refused_servers.clear()
            _restart(state, group, change, out)
        return
    log_end = change.log_end
    if may_wait and log_end is not None:
        is_behind = best.status.position < log_end
        if is_behind or not groups.is_usable(state, best):
            _query_candidates(state, group, change, out)
            return
    primary_orders.write(state, group, change, best, out)


def _is_waiting_for_logs(
    state: State, group: Group, change: PrimaryChange
) -> bool:
    """Returns whether servers that must tell their logs may yet answer."""
    if not durability.must_keep_commits(state, group):
        return False
    return state.now < change.queried_at + state.limits.inquiry_timeout_s


def _log_missing_logs(
    state: State,
    group: Group,
    change: PrimaryChange,
    required: Position | None,
    out: list[Effect],
) -> None:
    """Logs why no server can be promoted without losing commits."""
    if not durability.must_keep_commits(state, group):
        return
    fields = {
        "required": required,
        "missing": durability.missing_logs(state, group, change),
        "sync_replicas": durability.sync_replicas(state, group),
    }
    change_notes.add(state, change, "awaiting_logs", fields, out)
