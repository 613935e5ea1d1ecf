"""Rounds at a home: places them on backend servers and checks the answers.

A round is parked in its group while no server may serve it, and waits in a
server's queue while all connections are busy. It gets exactly one answer.
"""

from cuminwall import groups, outcomes, work
from cuminwall.effects import (
    AbortRound,
    Answer,
    Effect,
    Execute,
    Log,
    Probe,
    Unpin,
)
from cuminwall.state import Group, Job, Pin, Server, State

PREFIX = "routing"

MAX_PARKED = 2000
MAX_QUEUED_PER_WORKSPACE = 500
MAX_ATTEMPTS = 3

IDLE = b"I"
IN_TRANSACTION = b"T"


def handle_round(
    state: State,
    key: work.RoundKey,
    request: work.RoundRequest,
    out: list[Effect],
) -> None:
    """Places a round that an entry instance sent to this home."""
    job = Job(key, request, state.now)
    state.jobs[key] = job
    group = state.groups.get(request.service)
    if group is None:
        _fail(state, job, outcomes.NO_HOME, out)
        return
    pin = (key.origin, request.session)
    if request.pinned:
        _run_pinned(state, group, job, pin, out)
        return
    place(state, group, job, out)


def place(state: State, group: Group, job: Job, out: list[Effect]) -> None:
    """Runs a job on a backend server, or queues or parks it."""
    if job.request.access == work.Access.READ:
        server = _choose_for_read(state, group, job, out)
    else:
        server = _choose_for_write(state, group, job)
    if isinstance(server, outcomes.Failure):
        _fail(state, job, server, out)
        return
    if server is None:
        _park(state, group, job, out)
        return
    _enqueue(state, group, server, job, out)


def handle_result(
    state: State,
    key: work.RoundKey,
    result: work.ServerResult,
    out: list[Effect],
) -> None:
    """Handles the result that a backend server returned for a job."""
    job = state.jobs.get(key)
    if job is None:
        return
    group = state.groups[job.request.service]
    server = group.servers.get(job.server)
    pin = (key.origin, job.request.session)
    in_transaction = result.status != IDLE
    if result.loss != work.Loss.NONE:
        _handle_loss(state, group, job, server, pin, result, out)
        return
    failure = _check_answer(state, group, job, result)
    if failure is not None:
        in_transaction = False
    if in_transaction:
        wrote = job.request.access == work.Access.WRITE or job.wrote
        state.pins[pin] = Pin(
            group.service, job.server, job.term, wrote, job.as_primary
        )
    else:
        _release_connection(state, group, server, pin, out)
        if failure is not None:
            out.append(Unpin(pin))
    floor = _new_floor(job, result, failure)
    status = result.status if failure is None else IDLE
    answer = work.HomeAnswer(status, failure, floor, job.server, in_transaction)
    if _needs_replica(state, group, job, result, answer):
        _await_replica(state, group, job, answer, result.lsn, out)
        return
    _answer(state, job, answer, out)


def abandon(state: State, key: work.RoundKey, out: list[Effect]) -> None:
    """Marks a job as abandoned, and drops it if it is not running."""
    job = state.jobs.get(key)
    if job is None:
        return
    job.abandoned = True
    if not job.server:
        _drop_waiting(state, job, out)


def cancel_waiting(
    state: State, pin: tuple[str, int], out: list[Effect]
) -> None:
    """Cancels the jobs of a session that are not on a server yet."""
    for job in list(state.jobs.values()):
        if (job.key.origin, job.request.session) != pin or job.server:
            continue
        _drop_waiting(state, job, out)


def _drop_waiting(state: State, job: Job, out: list[Effect]) -> None:
    """Removes a waiting job from its queue and answers it as canceled."""
    group = state.groups[job.request.service]
    if job in group.parked:
        group.parked.remove(job)
    for server in group.servers.values():
        server.queue.remove(job.request.workspace, job)
    _fail(state, job, outcomes.CANCELED, out)


def release_pin(state: State, pin: tuple[str, int], out: list[Effect]) -> None:
    """Closes the connection pinned by a session; the server rolls back."""
    pinned = state.pins.get(pin)
    if pinned is None:
        return
    out.append(Unpin(pin))
    group = state.groups.get(pinned.service)
    server = group.servers.get(pinned.server) if group else None
    if group is None:
        del state.pins[pin]
        return
    _release_connection(state, group, server, pin, out)


def abort_replaced(state: State, group: Group, out: list[Effect]) -> None:
    """Cuts the rounds still running on a replaced primary.

    It may be frozen, so that no answer would ever come.
    """
    for job in state.jobs.values():
        if job.request.service != group.service or not job.server:
            continue
        if job.as_primary and job.term < group.term and job.answer is None:
            out.append(AbortRound((job.key.origin, job.request.session)))


def retry_parked(state: State, group: Group, out: list[Effect]) -> None:
    """Places the parked jobs again; refuses those that waited too long."""
    if not group.parked:
        return
    waiting = group.parked
    group.parked = []
    for job in waiting:
        if state.now - job.arrived_at >= state.times.park_s:
            _fail(state, job, _parked_failure(group, job), out)
            continue
        place(state, group, job, out)


def check_replicas(state: State, group: Group, out: list[Effect]) -> None:
    """Answers the writes that a replica has replayed, or whose wait is over."""
    if not group.awaiting_replica:
        return
    reached = _highest_replica_lsn(group)
    remaining = []
    for lsn, until, job in group.awaiting_replica:
        answer = job.answer
        if answer is None:
            continue
        if not groups.is_lease_valid(state, group, job.term):
            answer = answer._replace(failure=outcomes.WRITE_LEASE_LAPSED)
        elif lsn > reached and state.now >= until:
            answer = answer._replace(failure=outcomes.REPLICA_NOT_REACHED)
        elif lsn > reached:
            remaining.append((lsn, until, job))
            continue
        _answer(state, job, answer, out)
    group.awaiting_replica = remaining
    if remaining:
        _probe_replicas(group, out)


def start_queued(
    state: State, group: Group, server: Server, out: list[Effect]
) -> None:
    """Starts queued jobs while connections are free."""
    while server.queue.size and server.in_use < server.permits:
        job = server.queue.pop()
        if not _may_still_run(state, group, server, job):
            job.server = ""
            place(state, group, job, out)
            continue
        _start(state, group, server, job, out)


def handle_permits_changed(
    state: State, group: Group, server: Server, out: list[Effect]
) -> None:
    """Applies a new number of permitted connections to a server.

    At zero, the jobs in the server's queue are placed again.
    """
    if server.permits:
        start_queued(state, group, server, out)
        retry_parked(state, group, out)
        return
    while server.queue.size:
        job = server.queue.pop()
        job.server = ""
        place(state, group, job, out)


def _choose_for_write(
    state: State, group: Group, job: Job
) -> Server | outcomes.Failure | None:
    """Returns the primary if this instance may use it now.

    A write may not run in place of telling its session that an earlier one was
    lost: it would raise the floor beyond the loss, which nobody would tell any
    more.
    """
    floor = job.request.floor
    if floor is not None and groups.is_floor_lost(group, floor):
        return outcomes.FLOOR_LOST
    if floor is not None and not groups.is_floor_known(group, floor):
        return None
    primary = group.primary
    if primary is None or not primary.reachable or group.pending_recall:
        return None
    if not primary.permits:
        return None
    if not groups.is_lease_valid(state, group, group.term):
        return None
    job.as_primary = True
    job.term = group.term
    return primary


def _choose_for_read(
    state: State, group: Group, job: Job, out: list[Effect]
) -> Server | outcomes.Failure | None:
    """Returns a replica that is fresh enough for the read, else the primary."""
    if job.floor is None:
        job.floor = _watermark_since(group, job.arrived_at)
    floor = job.floor
    if floor is not None and groups.is_floor_lost(group, floor):
        return outcomes.FLOOR_LOST
    replica = _best_replica(state, group, job)
    if replica is not None:
        job.as_primary = False
        job.term = group.term
        return replica
    if floor is None:
        _request_watermark(state, group, out)
        return None
    if not groups.is_floor_known(group, floor):
        return None
    waited = state.now - job.arrived_at
    if waited < state.times.replica_wait_s and _may_catch_up(group, floor):
        return None
    return _choose_for_write(state, group, job)


def _best_replica(state: State, group: Group, job: Job) -> Server | None:
    """Returns the best replica for the read: free, near and least loaded."""
    best: Server | None = None
    best_rank: tuple[bool, bool, float] | None = None
    primary = group.primary
    for server in group.servers.values():
        if server is primary or not server.permits:
            continue
        if not groups.is_usable(group, server):
            continue
        if not _is_fresh_enough(state, group, job, server):
            continue
        load = (server.in_use + server.queue.size) / server.permits
        rank = (load >= 1.0, server.zone != state.zone, load)
        if best_rank is None or rank < best_rank:
            best = server
            best_rank = rank
    return best


def _is_fresh_enough(
    state: State, group: Group, job: Job, server: Server
) -> bool:
    """Returns whether a replica's data is new enough for the read."""
    max_age_s = job.request.max_age_s
    floor = job.floor
    if max_age_s and groups.data_age_s(state, server) > max_age_s:
        return False
    if floor is None:
        # Without a floor, only the accepted age limits staleness.
        return bool(max_age_s)
    if not groups.is_floor_known(group, floor):
        return False
    return groups.has_reached_floor(server, floor)


def _watermark_since(group: Group, since: float) -> work.Position | None:
    """Returns the primary's newest watermark if it is from `since` or later."""
    if not group.watermarks or group.watermarks[-1][0] < since:
        return None
    return work.Position(group.term, group.watermarks[-1][1])


def _request_watermark(state: State, group: Group, out: list[Effect]) -> None:
    """Probes the primary; one probe serves all jobs that wait for it."""
    if group.wants_watermark_since is not None or group.primary is None:
        return
    group.wants_watermark_since = state.now
    out.append(Probe(group.service, group.primary.name))


def _may_catch_up(group: Group, floor: work.Position) -> bool:
    """Returns whether some usable replica may reach the floor shortly."""
    return any(
        groups.is_usable(group, server) and server is not group.primary
        for server in group.servers.values()
    )


def _park(state: State, group: Group, job: Job, out: list[Effect]) -> None:
    """Parks a job until the state of its group changes."""
    if len(group.parked) >= MAX_PARKED:
        _fail(state, job, outcomes.QUEUE_FULL, out)
        return
    group.parked.append(job)


def _parked_failure(group: Group, job: Job) -> outcomes.Failure:
    """Returns the failure for a job that was parked too long."""
    if job.request.access == work.Access.READ:
        return outcomes.FLOOR_NOT_REACHED
    return outcomes.NO_PRIMARY


def _enqueue(
    state: State, group: Group, server: Server, job: Job, out: list[Effect]
) -> None:
    """Starts a job, or adds it to the server's queue, fair by workspace."""
    if server.in_use < server.permits and not server.queue.size:
        _start(state, group, server, job, out)
        return
    workspace = job.request.workspace
    if server.queue.length(workspace) >= MAX_QUEUED_PER_WORKSPACE:
        _fail(state, job, outcomes.QUEUE_FULL, out)
        return
    server.queue.push(workspace, job)


def _start(
    state: State, group: Group, server: Server, job: Job, out: list[Effect]
) -> None:
    """Runs a job on a server."""
    server.in_use += 1
    job.server = server.name
    job.attempts += 1
    pin = (job.key.origin, job.request.session)
    state.pins[pin] = Pin(
        group.service, server.name, job.term, False, job.as_primary
    )
    out.append(_execute(group, job, pin))
    role = "primary" if job.as_primary else "replica"
    text = f"{group.service} {job.key.number} goes to {role} {server.name}"
    out.append(Log(PREFIX, text))


def _run_pinned(
    state: State,
    group: Group,
    job: Job,
    pin: tuple[str, int],
    out: list[Effect],
) -> None:
    """Runs a round of an open transaction on its pinned connection."""
    pinned = state.pins.get(pin)
    if pinned is None:
        _fail(state, job, outcomes.TRANSACTION_LOST, out)
        return
    job.server = pinned.server
    job.term = pinned.term
    job.wrote = pinned.wrote
    # A COMMIT is classified as a read, so the pin decides whether it depends
    # on the primary.
    job.as_primary = (
        pinned.as_primary or job.request.access == work.Access.WRITE
    )
    job.attempts += 1
    out.append(_execute(group, job, pin))


def _execute(group: Group, job: Job, pin: tuple[str, int]) -> Execute:
    """Returns the effect that runs a job on its server."""
    request = job.request
    stays_open = request.begins_transaction or (
        request.pinned and not request.ends_transaction
    )
    return Execute(
        job.key,
        group.service,
        job.server,
        request.workspace,
        request.pinned,
        pin,
        job.as_primary,
        job.as_primary and not stays_open,
    )


def _may_still_run(
    state: State, group: Group, server: Server, job: Job
) -> bool:
    """Returns whether a queued job may still run on its server."""
    if job.as_primary:
        # Uses the conditions of `place`; otherwise `place` could put the job
        # back into this queue endlessly.
        return _choose_for_write(state, group, job) is server
    return groups.is_usable(group, server) and _is_fresh_enough(
        state, group, job, server
    )


def _check_answer(
    state: State, group: Group, job: Job, result: work.ServerResult
) -> outcomes.Failure | None:
    """Returns why a complete answer must not be passed on, or None."""
    if not job.as_primary:
        return None
    if groups.is_lease_valid(state, group, job.term):
        if not result.in_recovery:
            return None
    if result.errored and result.status == IDLE:
        # An error with the transaction ended is final on any primary.
        return None
    if result.status != IDLE:
        return outcomes.TRANSACTION_LOST
    if job.request.access == work.Access.READ and not job.wrote:
        return outcomes.READ_LEASE_LAPSED
    return outcomes.WRITE_LEASE_LAPSED


def _handle_loss(
    state: State,
    group: Group,
    job: Job,
    server: Server | None,
    pin: tuple[str, int],
    result: work.ServerResult,
    out: list[Effect],
) -> None:
    """Retries or fails a job whose answer is lost."""
    _release_connection(state, group, server, pin, out)
    if server is not None:
        out.append(Probe(group.service, server.name))
    is_read = job.request.access == work.Access.READ
    may_repeat = result.loss == work.Loss.NOT_SENT or is_read
    if may_repeat and not result.delivered and not job.request.pinned:
        if job.attempts < MAX_ATTEMPTS and not job.abandoned:
            job.server = ""
            _park(state, group, job, out)
            return
    failure = _loss_failure(job, result)
    text = f"{group.service} {job.key.number}: {failure.reason}"
    out.append(Log(PREFIX, text))
    _fail(state, job, failure, out)


def _loss_failure(job: Job, result: work.ServerResult) -> outcomes.Failure:
    """Returns the failure for a job whose answer is lost."""
    if result.loss == work.Loss.NOT_SENT:
        if job.request.pinned:
            return outcomes.TRANSACTION_LOST
        return outcomes.NO_SERVER
    if job.request.access == work.Access.READ and not job.wrote:
        return outcomes.READ_ANSWER_LOST
    return outcomes.ANSWER_LOST


def _release_connection(
    state: State,
    group: Group,
    server: Server | None,
    pin: tuple[str, int],
    out: list[Effect],
) -> None:
    """Frees a session's connection and starts the next queued jobs."""
    if state.pins.pop(pin, None) is None or server is None:
        return
    server.in_use -= 1
    start_queued(state, group, server, out)


def _new_floor(
    job: Job, result: work.ServerResult, failure: outcomes.Failure | None
) -> work.Position | None:
    """Returns the session's floor after a job, or None if unchanged.

    A read on the primary does not raise the floor. Raised to the primary's
    position, it would keep the session off the replicas for as long as other
    sessions write.
    """
    if failure is not None:
        return None
    wrote = job.request.access == work.Access.WRITE or job.wrote
    if wrote and result.lsn:
        return work.Position(job.term, result.lsn)
    if job.request.floor is None:
        return job.floor
    return None


def _needs_replica(
    state: State,
    group: Group,
    job: Job,
    result: work.ServerResult,
    answer: work.HomeAnswer,
) -> bool:
    """Returns whether a write must reach a replica before its answer."""
    if answer.failure is not None or result.errored or answer.pinned:
        return False
    wrote = job.request.access == work.Access.WRITE or job.wrote
    if not wrote or not result.lsn:
        return False
    service = state.config.services.get(group.service)
    return service is not None and service.acknowledge == "replica"


def _await_replica(
    state: State,
    group: Group,
    job: Job,
    answer: work.HomeAnswer,
    lsn: int,
    out: list[Effect],
) -> None:
    """Withholds an answer until a replica has the write."""
    job.answer = answer
    until = state.now + state.times.replica_ack_s
    group.awaiting_replica.append((lsn, until, job))
    _probe_replicas(group, out)


def _probe_replicas(group: Group, out: list[Effect]) -> None:
    """Probes the replicas at once, for the writes that wait for one."""
    for server in group.servers.values():
        if server is not group.primary and server.reachable:
            out.append(Probe(group.service, server.name))


def _highest_replica_lsn(group: Group) -> int:
    """Returns the highest log position of a usable replica."""
    primary = group.primary
    highest = 0
    for server in group.servers.values():
        if server is primary or not groups.is_usable(group, server):
            continue
        highest = max(highest, server.lsn)
    return highest


def _fail(
    state: State, job: Job, failure: outcomes.Failure, out: list[Effect]
) -> None:
    """Ends a job with a failure instead of a server's answer."""
    answer = work.HomeAnswer(IDLE, failure, None, "", False)
    _answer(state, job, answer, out)


def _answer(
    state: State, job: Job, answer: work.HomeAnswer, out: list[Effect]
) -> None:
    """Ends a job and sends its answer."""
    state.jobs.pop(job.key, None)
    if job.abandoned:
        release_pin(state, (job.key.origin, job.request.session), out)
    out.append(Answer(job.key, answer))


def release_session(
    state: State, pin: tuple[str, int], out: list[Effect]
) -> None:
    """Ends the jobs and the transaction of a session of another instance."""
    for key, job in list(state.jobs.items()):
        if key.origin == pin[0] and job.request.session == pin[1]:
            abandon(state, key, out)
            if key in state.jobs:
                return
    release_pin(state, pin, out)


def release_origin(state: State, origin: str, out: list[Effect]) -> None:
    """Ends the jobs and transactions of all sessions of an instance."""
    for key in list(state.jobs):
        if key.origin == origin:
            abandon(state, key, out)
    running = {
        (key.origin, job.request.session) for key, job in state.jobs.items()
    }
    for pin in list(state.pins):
        if pin[0] == origin and pin not in running:
            release_pin(state, pin, out)
