"""Tokens of the workspaces: each operation takes one before it runs.

An operation that finds none waits a short time, while the coordinator is
asked for more. One that can't get a token in that time is refused at once.
"""

from cuminwall import buckets, shares
from cuminwall.direct import coordination, lender, messages, operations
from cuminwall.direct.callers_state import Operation, Stage
from cuminwall.direct.effects import Effect, Note, SendToPeer
from cuminwall.direct.fleet_state import TokenRate
from cuminwall.direct.state import State, TimerKind
from cuminwall.messages import ShareReport

PART = "quotas"

# More than the demand, so that a share lasts while this instance is cut off;
# what is not used goes back with each ask.
DEMAND_POLICY = buckets.DemandPolicy(
    smoothing_s=4.0,
    rate_factor=1.5,
    prefetch_s=0.0,
    keep_s=0.2,
    headroom_s=0.9,
    min_demand=0.0,
    spare_tokens=0.5,
)
IDLE_S = 8.0  # After so long without an operation a share is given back.
MAX_CHECK_INTERVAL_S = 0.02  # How often waiting work is looked at, at least.
MIN_CHECK_INTERVAL_S = 0.002  # And at most.
NEW_COORDINATOR_S = 1.0  # By when somebody should coordinate again.
RATE_WINDOW_S = 0.5  # Over which the coming of tokens is measured.
MAX_EXCESS = 1  # Operations that may wait beyond what came lately.
MAX_WAITING = 50  # Operations of a workspace that wait for a token.


def admit(state: State, work: Operation, out: list[Effect]) -> None:
    """Takes a token for an operation, or lets it wait or refuses it."""
    bucket = _find(state, work.session.workspace)
    if bucket is None:
        operations.queue_for_dispatch(state, work)
        return
    bucket.arrivals += 1
    state.last_demand_at[bucket.workspace] = state.now
    buckets.refill(bucket, state.now)
    if not bucket.waiting and bucket.level >= 1.0:
        _admit(state, bucket, work)
        return
    if len(bucket.waiting) >= MAX_WAITING or _is_hopeless(state, bucket):
        request_tokens_now(state, bucket, out)
        operations.refuse(state, work, _describe(bucket, state.now), out)
        return
    work.stage = Stage.WAITING_FOR_TOKEN
    wait_s = state.limits.token_wait_s
    if state.coordinator is None or not coordination.is_registered(state):
        wait_s = min(work.route.timeout_s, state.limits.no_coordinator_wait_s)
    elif _is_out_of_touch(state, bucket):
        # What is held here goes on, and is all there is.
        wait_s = max(wait_s, work.route.target_s)
    work.wait_until = state.now + wait_s
    state.set_timer(work.wait_until, TimerKind.OPERATION, work.number)
    bucket.waiting.append((work.number, state.now))
    request_tokens_now(state, bucket, out)
    _look_again(state, bucket)


def admit_waiting(state: State, bucket: buckets.Bucket) -> None:
    """Lets waiting operations go on, as far as there are tokens."""
    buckets.refill(bucket, state.now)
    while bucket.waiting:
        work = state.operations.get(bucket.waiting[0][0])
        if work is None or work.stage is not Stage.WAITING_FOR_TOKEN:
            bucket.waiting.popleft()
            continue
        if bucket.level < 1.0:
            _look_again(state, bucket)
            return
        bucket.waiting.popleft()
        _admit(state, bucket, work)


def handle_timer(state: State, workspace: str, out: list[Effect]) -> None:
    """Looks at the operations that wait for a workspace's tokens."""
    bucket = state.buckets.get(workspace)
    if bucket is None:
        return
    admit_waiting(state, bucket)
    if bucket.waiting:
        request_tokens_now(state, bucket, out)


def send_periodic_request(state: State, out: list[Effect]) -> None:
    """Sends the regular ask."""
    if state.now < state.next_request_at:
        return
    state.next_request_at = state.now + state.limits.share_request_interval_s
    state.set_timer(state.next_request_at, TimerKind.QUOTAS)
    send_share_request(state, list(state.buckets.values()), True, out)
    coordination.ask_peer_for_coordinator(state, out)


def release_all(state: State, out: list[Effect]) -> None:
    """Gives every share back, since no operation comes any more."""
    state.last_demand_at.clear()
    for bucket in state.buckets.values():
        bucket.waiting.clear()
    send_share_request(state, list(state.buckets.values()), True, out)


def request_tokens_now(
    state: State, bucket: buckets.Bucket, out: list[Effect]
) -> None:
    """Asks for one workspace's tokens, unless an ask is on its way."""
    if shares.may_request_now(bucket.share, state.now):
        send_share_request(state, [bucket], False, out)


def send_share_request(
    state: State,
    wanted: list[buckets.Bucket],
    is_complete: bool,
    out: list[Effect],
) -> None:
    """Tells the coordinator what is held, needed and seen here."""
    coordinator = state.coordinator
    if coordinator is None or not coordination.is_registered(state):
        # Whoever takes over next must know of all that may hold a share.
        return
    number = state.next_number()
    lines = []
    for bucket in wanted:
        since_s = state.now - bucket.share.requested_at
        is_open = not bucket.share.is_answered
        if is_open and since_s < shares.REQUEST_TIMEOUT_S and not is_complete:
            continue
        line = _state_line(state, bucket)
        bucket.requested_tokens = line.shortfall
        shares.record_request(
            bucket.share, number, state.now, line.shortfall > 0
        )
        lines.append(line)
    message = messages.ShareRequest(
        number=number,
        boot=state.boot,
        epoch=coordinator.epoch,
        is_complete=is_complete,
        reports=tuple(lines),
        unreachable=_missed(state),
        config_version=state.catalog.version,
        is_shutting_down=state.is_shutting_down,
        since_earlier_request_s=_note_asked(state, coordinator.epoch),
    )
    if coordinator.instance != state.instance:
        out.append(SendToPeer(coordinator.instance, message))
        return
    if state.lender is not None:
        grants = lender.handle_share_request(
            state, state.instance, message, out
        )
        if grants is not None:
            handle_share_reply(state, grants)


def _note_asked(state: State, epoch: int) -> float:
    """Notes an ask; returns for how long no earlier coordinator was asked."""
    known = state.discovery
    if known.last_request_epoch not in (0, epoch):
        known.earlier_request_at = known.last_request_at
    known.last_request_epoch = epoch
    known.last_request_at = state.now
    return max(0.0, state.now - known.earlier_request_at)


def handle_share_reply(state: State, grants: messages.ShareReply) -> None:
    """Takes in the coordinator's answer; one of an earlier epoch is void."""
    coordinator = state.coordinator
    if coordinator is None or coordinator.epoch != grants.epoch:
        return
    state.discovery.last_reply_at = state.now
    for grant in grants.grants:
        workspace = grant.name.removeprefix(lender.RATE_PREFIX)
        bucket = state.buckets.get(workspace)
        if bucket is None:
            continue
        accepted = buckets.apply_grant(bucket, grants.number, grant, state.now)
        if accepted is None:
            continue
        if accepted.has_grown or grant.level:
            bucket.share.backoff_s = shares.MIN_BACKOFF_S
        elif bucket.share.was_urgent:
            shares.increase_backoff(bucket.share)
        admit_waiting(state, bucket)


def _state_line(state: State, bucket: buckets.Bucket) -> ShareReport:
    """Returns what is stated of one workspace; an unused share goes back."""
    asked_at = state.last_demand_at.get(bucket.workspace, 0.0)
    if state.now - asked_at > IDLE_S and not bucket.waiting:
        del state.buckets[bucket.workspace]
        return buckets.release(bucket, state.now)
    return buckets.make_report(bucket, state.now)


def _missed(state: State) -> tuple[messages.UnreachableServer, ...]:
    """Returns the servers that can't be reached from here."""
    found = []
    for server in state.servers.values():
        if server.unreachable_since is None or server.is_gone:
            continue
        age_s = state.now - server.unreachable_since
        found.append(messages.UnreachableServer(server.entry.server, age_s))
    return tuple(found)


def _find(state: State, workspace: str) -> buckets.Bucket | None:
    """Returns a workspace's bucket, or None if it has no limit."""
    bucket = state.buckets.get(workspace)
    if bucket is not None or workspace not in state.catalog.workspaces:
        return bucket
    line = shares.Share(lender.RATE_PREFIX + workspace, 2)
    bucket = buckets.Bucket(workspace, line, state.now, DEMAND_POLICY)
    state.buckets[workspace] = bucket
    return bucket


def _is_out_of_touch(state: State, bucket: buckets.Bucket) -> bool:
    """Returns whether the coordinator leaves asks unanswered."""
    line = bucket.share
    if line.is_answered:
        return False
    return state.now - line.requested_at > shares.REQUEST_TIMEOUT_S


def _is_hopeless(state: State, bucket: buckets.Bucket) -> bool:
    """Returns whether no token can come in the time that work may wait.

    That is so when the coordinator has just answered that it has none.
    """
    line = bucket.share
    rate, _ = shares.usable(line, state.now)
    if state.coordinator is None and rate <= 0:
        since = state.no_coordinator_since
        return since is not None and state.now - since > NEW_COORDINATOR_S
    if bucket.is_scarce and _is_queue_too_long(state, bucket):
        return True
    if not line.is_answered or line.backoff_s <= shares.MIN_BACKOFF_S:
        return False
    needed = len(bucket.waiting) + 1.0 - bucket.level
    return needed > rate * state.limits.token_wait_s


def _is_queue_too_long(state: State, bucket: buckets.Bucket) -> bool:
    """Returns whether those who wait already will take all that comes."""
    flow = state.token_rates.get(bucket.workspace)
    if flow is None:
        return False
    coming = max(1.0, flow.rate * state.limits.token_wait_s)
    return len(bucket.waiting) + 1 > coming + MAX_EXCESS


def _admit(state: State, bucket: buckets.Bucket, work: Operation) -> None:
    """Gives an operation a token and lets it go on."""
    bucket.level -= 1.0
    _count(state, bucket)
    work.has_token = True
    operations.queue_for_dispatch(state, work)


def _count(state: State, bucket: buckets.Bucket) -> None:
    """Counts a token, and measures how fast they come."""
    flow = state.token_rates.get(bucket.workspace)
    if flow is None:
        flow = state.token_rates[bucket.workspace] = TokenRate(state.now)
    flow.count += 1
    passed_s = state.now - flow.measured_since
    if passed_s >= RATE_WINDOW_S:
        flow.rate = flow.count / passed_s
        flow.count = 0
        flow.measured_since = state.now


def _look_again(state: State, bucket: buckets.Bucket) -> None:
    """Looks at the waiting operations when the next token is due."""
    rate, _ = shares.usable(bucket.share, state.now)
    delay_s = MAX_CHECK_INTERVAL_S
    if rate > 0:
        delay_s = min(delay_s, (1.0 - bucket.level) / rate)
    due_at = state.now + max(MIN_CHECK_INTERVAL_S, delay_s)
    state.set_timer(due_at, TimerKind.TOKENS, bucket.workspace)


def _describe(bucket: buckets.Bucket, now: float) -> str:
    """Returns why an operation is refused, for its caller and the log."""
    rate, burst = shares.usable(bucket.share, now)
    return f"over the rate; here {rate:.2f}/s, burst {burst:.1f}"


def handle_new_coordinator(state: State, out: list[Effect]) -> None:
    """Tells a new coordinator at once what is held here."""
    if state.coordinator is None:
        return
    state.next_request_at = state.now
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
    send_periodic_request(state, out)
