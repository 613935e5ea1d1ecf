"""Finds the services that need a new primary, as the coordinator sees them."""

from cuminwall import leases
from cuminwall.direct import (
    candidates,
    durability,
    groups,
    inquiries,
    lease_grants,
    lender,
    open_orders,
)
from cuminwall.direct.effects import Effect
from cuminwall.direct.fleet_state import (
    EVACUATED,
    LEAVING,
    UNANSWERED,
    UNLED,
)
from cuminwall.direct.servers_state import Group, Server
from cuminwall.direct.state import State

REPORT_AGE_S = 1.5  # How long an instance's report counts.
MIN_REPORTERS = 2  # Fewer if there are fewer instances.
NO_PRIMARY_S = 0.8  # How long a service may lack a known primary.
STORE_SETTLE_S = 2.2  # For entries to reappear after a store outage.


def record_unreachable_servers(
    state: State, sender: str, unreachable: tuple
) -> None:
    """Records which servers an instance can't reach."""
    for report in unreachable:
        reports = state.primary_watch.unreachable_reports.setdefault(
            report.server, {}
        )
        reports[sender] = (state.now, state.now - report.age_s)
    reported_servers = {report.server for report in unreachable}
    for server, reports in state.primary_watch.unreachable_reports.items():
        if server not in reported_servers:
            reports.pop(sender, None)


def find_cause(state: State, group: Group, out: list[Effect]) -> str:
    """Returns why a service needs a new primary, or ""."""
    if not _has_reliable_view(state):
        return ""
    primary = group.servers.get(group.primary)
    if primary is None:
        since = state.primary_watch.no_primary_since.setdefault(
            group.service, state.now
        )
        if state.now - since < NO_PRIMARY_S or not candidates.has_candidate(
            state, group
        ):
            return ""
        return "no primary"
    state.primary_watch.no_primary_since.pop(group.service, None)
    if _is_unled(state, group, primary, out):
        return UNLED
    if open_orders.pending_target(state, group):
        # An order that is carried out late would undo the change.
        return ""
    is_open = bool(open_orders.usurpers(state, group))
    # What is acknowledged depends on the server of the open order, so that
    # a primary that is to leave does not go first where commits must be kept.
    may_leave = not (is_open and durability.must_keep_commits(state, group))
    if may_leave and not groups.is_usable(state, primary):
        cause = _planned_cause(state, group, primary)
    else:
        cause = _unreachable_cause(state, group, primary, out)
    if is_open:
        return cause or UNANSWERED
    return cause


def _is_unled(
    state: State, group: Group, primary: Server, out: list[Effect]
) -> bool:
    """Returns whether the server that an order names does not lead.

    The order was written, but perhaps never given or not carried out.
    """
    watch = state.primary_watch
    if state.limits.are_primaries_fenced:
        return False
    if watch.confirmed_orders.get(group.service, 0) == group.order:
        return False
    since = watch.unled_since.setdefault(group.service, state.now)
    if primary.status_at <= since:
        inquiries.query_status(state, primary, out)
        return False
    if leads(group, primary):
        watch.confirmed_orders[group.service] = group.order
        watch.unled_since.pop(group.service, None)
        lease_grants.offer(state, group.service, out)
        return False
    inquiries.query_status(state, primary, out)
    if state.now - since < state.limits.unled_order_s:
        return False
    return primary.status is not None


def leads(group: Group, server: Server) -> bool:
    """Returns whether a server acts as primary by the newest order."""
    status = server.status
    if status is None or not status.is_primary:
        return False
    return status.term > group.order_above_term


def _planned_cause(state: State, group: Group, primary: Server) -> str:
    """Returns why a running primary is to be replaced, or ""."""
    if not candidates.has_usable_candidate(state, group):
        return ""
    if primary.entry.is_leaving:
        return LEAVING
    return EVACUATED


def _unreachable_cause(
    state: State, group: Group, primary: Server, out: list[Effect]
) -> str:
    """Returns why an unreachable primary is to be replaced, or ""."""
    name = primary.entry.server
    reports = dict(state.primary_watch.unreachable_reports.get(name, {}))
    if primary.unreachable_since is not None:
        reports[state.instance] = (state.now, primary.unreachable_since)
    reporters = 0
    led_since = state.primary_watch.led_since.get(group.service, leases.NEVER)
    for reported_at, since in reports.values():
        unreachable_since = max(since, led_since)
        if state.now - reported_at > REPORT_AGE_S:
            continue
        if state.now - unreachable_since >= state.limits.primary_unreachable_s:
            reporters += 1
    if not reports:
        return ""
    status_age_s = state.now - primary.status_at
    if status_age_s > state.limits.inquiry_timeout_s:
        inquiries.query_status(state, primary, out)
    if reporters < min(MIN_REPORTERS, len(state.members)):
        return ""
    is_fresh = status_age_s <= 2 * state.limits.inquiry_timeout_s
    if is_fresh and not primary.status_alive:
        return "the primary is out of reach"
    if is_fresh and 2 * reporters > len(state.members):
        return "most instances can't reach the primary"
    return ""


def _has_reliable_view(state: State) -> bool:
    """Returns whether this instance sees enough to replace a primary.

    A coordinator that has not heard from half of the other instances may
    itself be the one that is cut off.
    """
    if not state.is_store_up:
        return False
    if state.now < state.store_up_since + STORE_SETTLE_S:
        if state.had_outage:
            return False
    lender_ = state.lender
    if (
        lender_ is None
        or state.now
        < lender_.started_at + 2 * state.limits.share_request_interval_s
    ):
        return False
    heard_count = lender.count_active_instances(state, REPORT_AGE_S)
    others = len(state.members) - 1
    return 2 * heard_count >= others
