"""Rate limits of the workspaces: each operation takes a token before it runs.

An operation that finds no token waits a short time, while more are requested
from the coordinator. One that can't get a token in that time is refused at
once.
"""

from cuminwall import buckets, leases, shares
from cuminwall.direct import (
    coordination,
    lender,
    messages,
    operations,
    reach,
    shared_watermarks,
    store_view,
    usage_clock,
    usage_counts,
    workload,
)
from cuminwall.direct.callers_state import Operation, Stage
from cuminwall.direct.effects import Effect, Note, SendToPeer
from cuminwall.direct.fleet_state import RequestPacing, TokenRate
from cuminwall.direct.state import State, TimerKind
from cuminwall.load import waits
from cuminwall.messages import ShareReport

PART = "quotas"

HOPELESS = "no token expected in time"  # Why an operation is refused.

# Requests more than the demand, so that the share suffices while this instance
# is cut off. Unused tokens are returned with each request.
DEMAND_POLICY = buckets.DemandPolicy(
    smoothing_s=4.0,
    rate_factor=1.5,
    prefetch_s=0.0,
    keep_s=0.2,
    headroom_s=0.9,
    min_demand=0.0,
    spare_tokens=0.5,
)
IDLE_S = 8.0  # A share is released after so long without an operation.
# Bounds of the time until waiting operations are checked again.
MAX_CHECK_INTERVAL_S = 0.02
MIN_CHECK_INTERVAL_S = 0.002
NEW_COORDINATOR_S = 1.0  # Time by which a new coordinator is expected.
RATE_WINDOW_S = 0.5  # Time over which the rate of tokens is measured.
MAX_EXCESS = 1  # Operations that may wait beyond the tokens expected in time.
MAX_WAITING = 50  # Operations of a workspace that wait for a token.
# Intervals between requests after which each share is reported again.
REPORT_INTERVALS = 20
MAX_REPORT_FRACTION = 0.25  # Of a share's lease, for the same.
SURPLUS = 0.25  # Tokens, or burst, beyond those needed that are reported.
# Requests that an instance may send at once after a pause. In a large fleet an
# instance rarely has an operation, and that one must not wait for the pace.
MAX_ALLOWANCE = 3.0
# Of the pace, for regular requests beside those for tokens.
MAX_REGULAR_FRACTION = 0.25
ROUNDING = 1e-6  # Requests; an allowance that is due may be this far off.
# Bounds of the wait for a reply, which is longer the longer replies take. A
# reply to any but the latest request is void, so asking again too soon would
# make all replies of a slow coordinator void.
MAX_REPLY_TIMEOUT_S = 2.0
REPLY_TIMEOUT_FACTOR = 3.0


def admit(state: State, operation: Operation, out: list[Effect]) -> None:
    """Admits an operation with a token, or lets it wait, or refuses it."""
    bucket = _find_bucket(state, operation.session.workspace)
    if bucket is None:
        operations.queue_for_dispatch(state, operation)
        return
    bucket.arrivals += 1
    state.last_demand_at[bucket.workspace] = state.now
    buckets.refill(bucket, state.now)
    if not bucket.waiting and bucket.level >= 1.0:
        _admit(state, bucket, operation)
        return
    if len(bucket.waiting) >= MAX_WAITING or _is_token_unlikely(state, bucket):
        request_tokens_now(state, bucket, out)
        operations.refuse(state, operation, _describe(bucket, state.now), out)
        return
    operation.stage = Stage.WAITING_FOR_TOKEN
    wait_s = _token_wait_s(state)
    if state.coordinator is None or not coordination.is_registered(state):
        wait_s = min(
            operation.route.timeout_s, state.limits.no_coordinator_wait_s
        )
    elif _is_coordinator_silent(state, bucket) and _has_rate(state, bucket):
        # The tokens of the share held here are all that will come.
        wait_s = max(wait_s, operation.route.target_s)
        if _is_token_hopeless(state, bucket, wait_s):
            request_tokens_now(state, bucket, out)
            operations.refuse(state, operation, HOPELESS, out)
            return
    operation.wait_until = state.now + wait_s
    state.set_timer(operation.wait_until, TimerKind.OPERATION, operation.number)
    bucket.waiting.append((operation.number, state.now))
    request_tokens_now(state, bucket, out)
    _schedule_check(state, bucket)


def admit_waiting(state: State, bucket: buckets.Bucket) -> None:
    """Admits waiting operations, as far as there are tokens."""
    buckets.refill(bucket, state.now)
    while bucket.waiting:
        operation = state.operations.get(bucket.waiting[0][0])
        if operation is None or operation.stage is not Stage.WAITING_FOR_TOKEN:
            bucket.waiting.popleft()
            continue
        if bucket.level < 1.0:
            _schedule_check(state, bucket)
            return
        bucket.waiting.popleft()
        _admit(state, bucket, operation)


def handle_timer(state: State, workspace: str, out: list[Effect]) -> None:
    """Admits what it can of a workspace; requests more tokens if needed."""
    bucket = state.buckets.get(workspace)
    if bucket is None:
        return
    admit_waiting(state, bucket)
    if bucket.waiting:
        request_tokens_now(state, bucket, out)


def send_due_requests(state: State, out: list[Effect]) -> None:
    """Sends the regular share request, or one that callers wait for."""
    if state.now < state.next_request_at:
        _send_wanted(state, out)
        # Another request has postponed the regular one.
        _set_request_timer(state, state.next_request_at)
        return
    interval_s = state.limits.share_request_interval_s
    if _must_report_all(state):
        # A new coordinator may not have known yet that it is.
        pacing = state.request_pacing
        if _has_reported_all(state):
            _lengthen_reply_timeout(pacing)
        interval_s = min(interval_s, pacing.reply_timeout_s)
        send_share_request(state, _buckets_in_use(state), True, out)
        pacing.complete_again_at = state.now + interval_s
    else:
        send_share_request(state, _buckets_to_report(state), False, out)
    state.next_request_at = state.now + interval_s
    _set_request_timer(state, state.next_request_at)
    coordination.ask_peer_for_coordinator(state, out)


def release_all(state: State, out: list[Effect]) -> None:
    """Releases every share; no operation will arrive any more."""
    state.last_demand_at.clear()
    for bucket in state.buckets.values():
        bucket.waiting.clear()
    send_share_request(state, list(state.buckets.values()), True, out)


def request_tokens_now(
    state: State, bucket: buckets.Bucket, out: list[Effect]
) -> None:
    """Requests tokens for one workspace as soon as the pace allows it."""
    timeout_s = state.request_pacing.reply_timeout_s
    if shares.may_request_now(bucket.share, state.now, timeout_s):
        state.request_pacing.wanted[bucket.workspace] = None
        _send_wanted(state, out)


def _send_wanted(state: State, out: list[Effect]) -> None:
    """Requests the tokens that operations wait for, or sets a timer for it."""
    pacing = state.request_pacing
    if not pacing.wanted:
        return
    allowance = _current_allowance(pacing, state.now)
    if allowance < 1.0 - ROUNDING:
        due_at = state.now + (1.0 - allowance) * pacing.interval_s
        _set_request_timer(state, due_at)
        return
    pacing.allowance = max(0.0, allowance - 1.0)
    pacing.allowance_at = state.now
    send_share_request(state, _buckets_to_report(state), False, out)
    interval_s = state.limits.share_request_interval_s
    is_pace_slow = pacing.interval_s > MAX_REGULAR_FRACTION * interval_s
    if is_pace_slow and _is_report_confirmed(state):
        # It serves as the regular one, too.
        state.next_request_at = max(
            state.next_request_at, state.now + interval_s
        )


def _current_allowance(pacing: RequestPacing, now: float) -> float:
    """Returns how many requests may be sent now."""
    gained = MAX_ALLOWANCE
    if pacing.interval_s > 0:
        gained = (now - pacing.allowance_at) / pacing.interval_s
    return min(MAX_ALLOWANCE, pacing.allowance + gained)


def _set_request_timer(state: State, due_at: float) -> None:
    """Sets the timer for the next request, unless one fires before then."""
    pacing = state.request_pacing
    if state.now < pacing.next_timer_at <= due_at:
        return
    pacing.next_timer_at = due_at
    state.set_timer(due_at, TimerKind.QUOTAS)


def _buckets_to_report(state: State) -> list[buckets.Bucket]:
    """Returns the buckets that wait for tokens or were not reported lately."""
    pacing = state.request_pacing
    limits = state.limits
    interval_s = max(
        limits.share_request_interval_s, REPORT_INTERVALS * pacing.interval_s
    )
    interval_s = min(interval_s, MAX_REPORT_FRACTION * limits.share_lease_s)
    found = []
    for bucket in state.buckets.values():
        since_s = state.now - bucket.share.requested_at
        is_due = since_s >= interval_s and _is_worth_report(state, bucket)
        if bucket.workspace in pacing.wanted and bucket.waiting:
            is_due = True
        elif since_s >= limits.share_request_interval_s:
            is_due = is_due or _has_surplus(state, bucket)
        if is_due:
            found.append(bucket)
    return found


def _buckets_in_use(state: State) -> list[buckets.Bucket]:
    """Returns the buckets that hold something or wait for tokens.

    At a change of coordinator every instance reports all that it holds at the
    same time, which must not fill the link of the new one.
    """
    found = []
    for bucket in state.buckets.values():
        if _holds_something(bucket) or bucket.waiting:
            found.append(bucket)
    return found


def _holds_something(bucket: buckets.Bucket) -> bool:
    """Returns whether a bucket has a part of its limit, or tokens."""
    share = bucket.share
    return any(share.held) or any(share.floor) or bucket.level > 0


def _has_surplus(state: State, bucket: buckets.Bucket) -> bool:
    """Returns whether tokens or burst held here are of use elsewhere."""
    if buckets.surplus(bucket, state.now) >= SURPLUS:
        return True
    return buckets.unused_burst(bucket) >= SURPLUS


def _is_worth_report(state: State, bucket: buckets.Bucket) -> bool:
    """Returns whether a share is held here, or the bucket is not needed."""
    return _holds_something(bucket) or _is_idle(state, bucket)


def _is_idle(state: State, bucket: buckets.Bucket) -> bool:
    """Returns whether no operation has wanted a token for long."""
    demand_at = state.last_demand_at.get(bucket.workspace, 0.0)
    return state.now - demand_at > IDLE_S and not bucket.waiting


def _must_report_all(state: State) -> bool:
    """Returns whether the coordinator is to be told of every share again."""
    if state.coordinator is None or _is_report_confirmed(state):
        return False
    if not _has_reported_all(state):
        return True
    return state.now >= state.request_pacing.complete_again_at


def _is_report_confirmed(state: State) -> bool:
    """Returns whether the present coordinator knows all shares held here."""
    coordinator = state.coordinator
    if coordinator is None:
        return False
    return state.request_pacing.reported_epoch == coordinator.epoch


def _has_reported_all(state: State) -> bool:
    """Returns whether all shares were sent to the present coordinator."""
    coordinator = state.coordinator
    if coordinator is None:
        return False
    return state.request_pacing.complete_epoch == coordinator.epoch


def send_share_request(
    state: State,
    wanted: list[buckets.Bucket],
    is_complete: bool,
    out: list[Effect],
) -> None:
    """Sends a share request to the coordinator.

    Args:
      state: The state.
      wanted: The buckets whose shares are requested.
      is_complete: Whether the request covers all shares held here.
      out: The effects.
    """
    coordinator = state.coordinator
    if coordinator is None or not coordination.is_registered(state):
        # The next coordinator must know every process that may hold a share.
        return
    number = state.next_number()
    reports = _make_reports(state, wanted, is_complete, number)
    pacing = state.request_pacing
    store_view.record_request(state, number)
    pacing.wanted.clear()
    if is_complete:
        pacing.complete_epoch = coordinator.epoch
    usage_clock.request_reading(state, out)
    told = usage_counts.tell(state, number, coordinator.epoch)
    message = messages.ShareRequest(
        number=number,
        boot=state.boot,
        epoch=coordinator.epoch,
        is_complete=is_complete,
        reports=reports,
        unreachable=_unreachable_servers(state),
        config_version=state.catalog.version,
        is_shutting_down=state.is_shutting_down,
        since_earlier_request_s=_record_request(state, coordinator.epoch),
        sent_no_earlier_than=_earliest_send_time(state, coordinator.epoch),
        **shared_watermarks.tell(state, number)._asdict(),
        **told._asdict(),
        was_answered_earlier=_was_answered_earlier(state, coordinator.epoch),
    )
    if coordinator.instance != state.instance:
        out.append(SendToPeer(coordinator.instance, message))
        return
    if state.lender is not None:
        reply = lender.handle_share_request(state, state.instance, message, out)
        if reply is not None:
            handle_share_reply(state, reply, out)


def _make_reports(
    state: State,
    wanted: list[buckets.Bucket],
    is_complete: bool,
    number: int,
) -> tuple[ShareReport, ...]:
    """Returns the reports of buckets and records them as requested."""
    pacing = state.request_pacing
    reports = []
    has_timed_out = False
    for bucket in wanted:
        if not bucket.share.is_answered and not is_complete:
            if state.now < bucket.share.requested_at + pacing.reply_timeout_s:
                continue
            has_timed_out = True
        report = _report_share(state, bucket)
        bucket.requested_tokens = report.shortfall
        shares.record_request(
            bucket.share, number, state.now, report.shortfall > 0
        )
        reports.append(report)
    if has_timed_out:
        _lengthen_reply_timeout(pacing)
    return tuple(reports)


def _lengthen_reply_timeout(pacing: RequestPacing) -> None:
    """Doubles the wait for a reply after one that did not come in time."""
    pacing.reply_timeout_s = min(
        MAX_REPLY_TIMEOUT_S, 2 * pacing.reply_timeout_s
    )


def _record_request(state: State, epoch: int) -> float:
    """Records a request to the coordinator of an epoch.

    Returns:
      The time since the last request to an earlier coordinator, in seconds.
    """
    discovery = state.discovery
    if discovery.last_request_epoch not in (0, epoch):
        discovery.earlier_request_at = discovery.last_request_at
    discovery.last_request_epoch = epoch
    discovery.last_request_at = state.now
    return max(0.0, state.now - discovery.earlier_request_at)


def _was_answered_earlier(state: State, epoch: int) -> bool:
    """Returns whether a coordinator of another epoch has ever replied.

    A reply that is still to come from one is ignored, so it gives nothing.
    """
    discovery = state.discovery
    if discovery.last_reply_epoch not in (0, epoch):
        return True
    return discovery.has_earlier_reply


def _earliest_send_time(state: State, epoch: int) -> float:
    """Returns a time on a coordinator's clock that is certainly past now.

    It is when the coordinator sent its latest reply, and the time since that
    came.
    """
    discovery = state.discovery
    if discovery.last_reply_epoch != epoch:
        return leases.NEVER
    since_s = state.now - discovery.last_reply_at
    return leases.holder_expiry(discovery.last_reply_sent_at, since_s)


def handle_share_reply(
    state: State, reply: messages.ShareReply, out: list[Effect]
) -> None:
    """Handles the coordinator's reply; one of an earlier epoch is ignored."""
    coordinator = state.coordinator
    if coordinator is None or coordinator.epoch != reply.epoch:
        return
    discovery = state.discovery
    discovery.has_earlier_reply = _was_answered_earlier(state, reply.epoch)
    discovery.last_reply_at = state.now
    if state.discovery.cut_off_since is not None:
        reach.check(state, out)
    discovery.last_reply_epoch = reply.epoch
    discovery.last_reply_sent_at = reply.sent_at
    shared_watermarks.handle_reply(state, reply)
    usage_counts.handle_reply(state, reply)
    pacing = state.request_pacing
    pacing.interval_s = reply.interval_s
    if reply.is_reported:
        pacing.reported_epoch = reply.epoch
    for grant in reply.grants:
        workspace = grant.name.removeprefix(lender.RATE_PREFIX)
        bucket = state.buckets.get(workspace)
        if bucket is None:
            continue
        requested_at = bucket.share.requested_at
        accepted = buckets.apply_grant(bucket, reply.number, grant, state.now)
        if accepted is None:
            continue
        workload.check_reply(state, reply.epoch, requested_at, out)
        _update_reply_timeout(state, requested_at)
        if accepted.has_grown or grant.level:
            bucket.share.backoff_s = shares.MIN_BACKOFF_S
        elif bucket.share.was_urgent:
            shares.increase_backoff(bucket.share)
            bucket.share.backoff_s = max(bucket.share.backoff_s, grant.retry_s)
        admit_waiting(state, bucket)


def _update_reply_timeout(state: State, requested_at: float) -> None:
    """Adapts the wait for a reply to how long this one took."""
    delay_s = state.now - requested_at
    state.request_pacing.reply_timeout_s = min(
        MAX_REPLY_TIMEOUT_S,
        max(shares.REQUEST_TIMEOUT_S, REPLY_TIMEOUT_FACTOR * delay_s),
    )


def _token_wait_s(state: State) -> float:
    """Returns how long an operation may wait for a token."""
    return state.limits.token_wait_s + state.request_pacing.interval_s


def _report_share(state: State, bucket: buckets.Bucket) -> ShareReport:
    """Returns the report of one workspace; releases a share not in use."""
    if _is_idle(state, bucket):
        del state.buckets[bucket.workspace]
        return buckets.release(bucket, state.now)
    return buckets.make_report(bucket, state.now)


def _unreachable_servers(
    state: State,
) -> tuple[messages.UnreachableServer, ...]:
    """Returns the servers that are unreachable from this instance."""
    found = []
    for server in state.servers.values():
        if server.unreachable_since is None or server.is_gone:
            continue
        age_s = state.now - server.unreachable_since
        found.append(messages.UnreachableServer(server.entry.server, age_s))
    return tuple(found)


def _find_bucket(state: State, workspace: str) -> buckets.Bucket | None:
    """Returns a workspace's bucket, or None if it has no limit."""
    bucket = state.buckets.get(workspace)
    if bucket is not None or workspace not in state.catalog.workspaces:
        return bucket
    share = shares.Share(lender.RATE_PREFIX + workspace, 2)
    bucket = buckets.Bucket(workspace, share, state.now, DEMAND_POLICY)
    state.buckets[workspace] = bucket
    return bucket


def _is_coordinator_silent(state: State, bucket: buckets.Bucket) -> bool:
    """Returns whether the coordinator has not replied in time."""
    if _has_fallen_silent(state):
        return True
    share = bucket.share
    if share.is_answered:
        return False
    return state.now - share.requested_at > shares.REQUEST_TIMEOUT_S


def _has_fallen_silent(state: State) -> bool:
    """Returns whether the coordinator has replied, but not of late.

    Requests are sent regularly, whether or not operations wait for tokens.
    """
    discovery = state.discovery
    coordinator = state.coordinator
    if coordinator is None or discovery.last_reply_epoch != coordinator.epoch:
        return False
    if discovery.last_request_at <= discovery.last_reply_at:
        return False
    silent_s = state.now - discovery.last_reply_at
    interval_s = state.limits.share_request_interval_s
    return silent_s > interval_s + state.request_pacing.reply_timeout_s


def _is_token_hopeless(
    state: State, bucket: buckets.Bucket, wait_s: float
) -> bool:
    """Returns whether the share held here yields no token in time."""
    rate, _ = shares.usable(bucket.share, state.now)
    needed = len(bucket.waiting) + 1.0 - bucket.level
    return waits.is_token_hopeless(needed, rate, wait_s)


def _has_rate(state: State, bucket: buckets.Bucket) -> bool:
    """Returns whether tokens come from the share held here."""
    rate, _ = shares.usable(bucket.share, state.now)
    return rate > 0


def _is_token_unlikely(state: State, bucket: buckets.Bucket) -> bool:
    """Returns whether no token can come while an operation may wait.

    That is so when the coordinator has just replied that it has none.
    """
    share = bucket.share
    rate, _ = shares.usable(share, state.now)
    if state.coordinator is None and rate <= 0:
        since = state.discovery.no_coordinator_since
        return since is not None and state.now - since > NEW_COORDINATOR_S
    if rate <= 0 and reach.is_coordinator_lost(state):
        return True
    if bucket.is_scarce and _is_queue_too_long(state, bucket):
        return True
    if not share.is_answered or share.backoff_s <= shares.MIN_BACKOFF_S:
        return False
    wait_s = _token_wait_s(state)
    needed = len(bucket.waiting) + 1.0 - bucket.level
    if needed <= rate * wait_s:
        return False
    # One operation waits if a request for its token can be sent in time.
    next_request_at = share.requested_at + share.backoff_s
    return needed > 1.0 or next_request_at > state.now + wait_s


def _is_queue_too_long(state: State, bucket: buckets.Bucket) -> bool:
    """Returns whether the operations ahead will use all tokens that come."""
    token_rate = state.token_rates.get(bucket.workspace)
    if token_rate is None:
        return False
    expected = max(1.0, token_rate.rate * _token_wait_s(state))
    return len(bucket.waiting) + 1 > expected + MAX_EXCESS


def _admit(state: State, bucket: buckets.Bucket, operation: Operation) -> None:
    """Takes a token for an operation and queues it for dispatch."""
    bucket.level -= 1.0
    _count_token(state, bucket)
    operation.has_token = True
    operations.queue_for_dispatch(state, operation)


def _count_token(state: State, bucket: buckets.Bucket) -> None:
    """Counts a token and measures their rate."""
    token_rate = state.token_rates.get(bucket.workspace)
    if token_rate is None:
        token_rate = state.token_rates[bucket.workspace] = TokenRate(state.now)
    token_rate.count += 1
    passed_s = state.now - token_rate.measured_since
    if passed_s >= RATE_WINDOW_S:
        token_rate.rate = token_rate.count / passed_s
        token_rate.count = 0
        token_rate.measured_since = state.now


def _schedule_check(state: State, bucket: buckets.Bucket) -> None:
    """Sets a timer to check waiting operations when a token is due."""
    rate, _ = shares.usable(bucket.share, state.now)
    delay_s = MAX_CHECK_INTERVAL_S
    if rate > 0:
        delay_s = min(delay_s, (1.0 - bucket.level) / rate)
    due_at = state.now + max(MIN_CHECK_INTERVAL_S, delay_s)
    state.set_timer(due_at, TimerKind.TOKENS, bucket.workspace)


def _describe(bucket: buckets.Bucket, now: float) -> str:
    """Returns why an operation is refused, for its caller and the log."""
    rate, burst = shares.usable(bucket.share, now)
    return f"over the rate limit; share here {rate:.2f}/s, burst {burst:.1f}"


def handle_new_coordinator(state: State, out: list[Effect]) -> None:
    """Sends a complete share request to a new coordinator at once."""
    if state.coordinator is None:
        return
    if not _has_reported_all(state):
        # How slow its predecessor was says nothing about this one.
        state.request_pacing.reply_timeout_s = shares.REQUEST_TIMEOUT_S
    state.discovery.seen_at = state.now
    state.next_request_at = state.now
    state.request_pacing.complete_again_at = state.now
    out.append(
        Note(
            PART,
            "coordinator_seen",
            {
                "coordinator": state.coordinator.instance,
                "epoch": state.coordinator.epoch,
                "revision": state.coordinator.revision,
            },
        )
    )
    send_due_requests(state, out)
