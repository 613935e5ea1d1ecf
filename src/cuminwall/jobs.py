"""Rounds at a home: placing them on backend servers and judging the answers.

A round waits in its group while no server may serve it, and in a server's
queue while all connections are busy. It leaves with exactly one answer.
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
    """Takes in a round that an entry instance sent here."""
    job = Job(key, request, state.now)
    state.jobs[key] = job
    group = state.groups.get(request.service)
    if group is None:
        _finish(state, job, outcomes.NO_HOME, out)
        return
    pin = (key.origin, request.session)
    if request.pinned:
        _run_pinned(state, group, job, pin, out)
        return
    place(state, group, job, out)


def place(state: State, group: Group, job: Job, out: list[Effect]) -> None:
    """Sends a job to a backend server, or lets it wait."""
    if job.request.access == work.Access.READ:
        server = _choose_for_read(state, group, job, out)
    else:
        server = _choose_for_write(state, group, job)
    if isinstance(server, outcomes.Failure):
        _finish(state, job, server, out)
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
    """Judges what a backend server answered to a job."""
    job = state.jobs.get(key)
    if job is None:
        return
    group = state.groups[job.request.service]
    server = group.servers.get(job.server)
    pin = (key.origin, job.request.session)
    in_transaction = result.status != IDLE
    if result.loss != work.Loss.NONE:
        _lose(state, group, job, server, pin, result, out)
        return
    failure = _judge(state, group, job, result)
    if failure is not None:
        in_transaction = False
    if in_transaction:
        wrote = job.request.access == work.Access.WRITE or job.wrote
        state.pins[pin] = Pin(
            group.service, job.server, job.term, wrote, job.as_primary
        )
    else:
        _leave_server(state, group, server, pin, out)
        if failure is not None:
            out.append(Unpin(pin))
    floor = _floor_after(job, result, failure)
    status = result.status if failure is None else IDLE
    answer = work.HomeAnswer(status, failure, floor, job.server, in_transaction)
    if _needs_replica(state, group, job, result, answer):
        _await_replica(state, group, job, answer, result.lsn, out)
        return
    _answer(state, job, answer, out)


def abandon(state: State, key: work.RoundKey, out: list[Effect]) -> None:
    """Drops a job whose entry instance or caller is gone."""
    job = state.jobs.get(key)
    if job is None:
        return
    job.abandoned = True
    if not job.server:
        _drop_waiting(state, job, out)


def cancel_waiting(
    state: State, pin: tuple[str, int], out: list[Effect]
) -> None:
    """Refuses what waits here for a session and was not sent to a server."""
    for job in list(state.jobs.values()):
        if (job.key.origin, job.request.session) != pin or job.server:
            continue
        _drop_waiting(state, job, out)


def _drop_waiting(state: State, job: Job, out: list[Effect]) -> None:
    """Takes a job out of whatever it waits in and refuses it."""
    group = state.groups[job.request.service]
    if job in group.parked:
        group.parked.remove(job)
    for server in group.servers.values():
        server.queue.remove(job.request.workspace, job)
    _finish(state, job, outcomes.CANCELED, out)


def release_pin(state: State, pin: tuple[str, int], out: list[Effect]) -> None:
    """Ends what a session left open here."""
    held = state.pins.get(pin)
    if held is None:
        return
    out.append(Unpin(pin))
    group = state.groups.get(held.service)
    server = group.servers.get(held.server) if group else None
    if group is None:
        del state.pins[pin]
        return
    _leave_server(state, group, server, pin, out)


def abort_replaced(state: State, group: Group, out: list[Effect]) -> None:
    """Cuts what still waits for a replaced primary, which may be frozen."""
    for job in state.jobs.values():
        if job.request.service != group.service or not job.server:
            continue
        if job.as_primary and job.term < group.term and job.answer is None:
            out.append(AbortRound((job.key.origin, job.request.session)))


def retry_parked(state: State, group: Group, out: list[Effect]) -> None:
    """Tries again to place what waits, after something changed."""
    if not group.parked:
        return
    waiting = group.parked
    group.parked = []
    for job in waiting:
        if state.now - job.arrived_at >= state.times.park_s:
            _finish(state, job, _why_parked(group, job), out)
            continue
        place(state, group, job, out)


def check_replicas(state: State, group: Group, out: list[Effect]) -> None:
    """Answers the writes that a replica has by now."""
    if not group.awaiting_replica:
        return
    reached = _highest_replica_lsn(group)
    left = []
    for lsn, until, job in group.awaiting_replica:
        answer = job.answer
        if answer is None:
            continue
        if not groups.is_lease_valid(state, group, job.term):
            answer = answer._replace(failure=outcomes.WRITE_LEASE_LAPSED)
        elif lsn > reached and state.now >= until:
            answer = answer._replace(failure=outcomes.REPLICA_NOT_REACHED)
        elif lsn > reached:
            left.append((lsn, until, job))
            continue
        _answer(state, job, answer, out)
    group.awaiting_replica = left
    if left:
        _probe_replicas(group, out)


def start_queued(
    state: State, group: Group, server: Server, out: list[Effect]
) -> None:
    """Starts queued jobs while connections are free."""
    while server.queue.size and server.in_use < server.permits:
        job = server.queue.pop()
        if not _still_fits(state, group, server, job):
            job.server = ""
            place(state, group, job, out)
            continue
        _start(state, group, server, job, out)


def handle_permits_changed(
    state: State, group: Group, server: Server, out: list[Effect]
) -> None:
    """Follows a new share of a server's connections.

    Without any, what waits for the server is placed anew.
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
    """Returns the primary if this instance may use it now."""
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
    """Returns a replica that shows what the read needs, else the primary."""
    if job.floor is None:
        job.floor = _floor_since(group, job.arrived_at)
    floor = job.floor
    if floor is not None and groups.is_floor_lost(group, floor):
        return outcomes.FLOOR_LOST
    replica = _best_replica(state, group, job)
    if replica is not None:
        job.as_primary = False
        job.term = group.term
        return replica
    if floor is None:
        _ask_for_mark(state, group, out)
        return None
    if not groups.is_floor_known(group, floor):
        return None
    waited = state.now - job.arrived_at
    if waited < state.times.replica_wait_s and _is_near(group, floor):
        return None
    return _choose_for_write(state, group, job)


def _best_replica(state: State, group: Group, job: Job) -> Server | None:
    """Returns the least loaded replica that may serve the read."""
    best: Server | None = None
    best_rank: tuple[bool, bool, float] | None = None
    primary = group.primary
    for server in group.servers.values():
        if server is primary or not server.permits:
            continue
        if not groups.is_usable(group, server):
            continue
        if not _may_show(state, group, job, server):
            continue
        load = (server.in_use + server.queue.size) / server.permits
        rank = (load >= 1.0, server.zone != state.zone, load)
        if best_rank is None or rank < best_rank:
            best = server
            best_rank = rank
    return best


def _may_show(state: State, group: Group, job: Job, server: Server) -> bool:
    """Returns whether a replica's data is new enough for the read."""
    max_age_s = job.request.max_age_s
    floor = job.floor
    if max_age_s and groups.data_age_s(state, server) > max_age_s:
        return False
    if floor is None:
        # Without a floor of its own, a stated age is all that bounds it.
        return bool(max_age_s)
    if not groups.is_floor_known(group, floor):
        return False
    return groups.has_reached_floor(server, floor)


def _floor_since(group: Group, since: float) -> work.Position | None:
    """Returns a position of the primary read at or after `since`, if any."""
    if not group.watermarks or group.watermarks[-1][0] < since:
        return None
    return work.Position(group.term, group.watermarks[-1][1])


def _ask_for_mark(state: State, group: Group, out: list[Effect]) -> None:
    """Asks for the primary's position; one probe serves all that wait."""
    if group.wants_watermark_since is not None or group.primary is None:
        return
    group.wants_watermark_since = state.now
    out.append(Probe(group.service, group.primary.name))


def _is_near(group: Group, floor: work.Position) -> bool:
    """Returns whether some replica may reach the floor shortly."""
    return any(
        groups.is_usable(group, server) and server is not group.primary
        for server in group.servers.values()
    )


def _park(state: State, group: Group, job: Job, out: list[Effect]) -> None:
    """Lets a job wait until something changes."""
    if len(group.parked) >= MAX_PARKED:
        _finish(state, job, outcomes.QUEUE_FULL, out)
        return
    group.parked.append(job)


def _why_parked(group: Group, job: Job) -> outcomes.Failure:
    """Returns the refusal for a job that waited too long."""
    if job.request.access == work.Access.READ:
        return outcomes.FLOOR_NOT_REACHED
    return outcomes.NO_PRIMARY


def _enqueue(
    state: State, group: Group, server: Server, job: Job, out: list[Effect]
) -> None:
    """Starts a job, or queues it fairly between the workspaces."""
    if server.in_use < server.permits and not server.queue.size:
        _start(state, group, server, job, out)
        return
    workspace = job.request.workspace
    if server.queue.length(workspace) >= MAX_QUEUED_PER_WORKSPACE:
        _finish(state, job, outcomes.QUEUE_FULL, out)
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
    """Runs a round of an open transaction on its connection."""
    held = state.pins.get(pin)
    if held is None:
        _finish(state, job, outcomes.TRANSACTION_LOST, out)
        return
    job.server = held.server
    job.term = held.term
    job.wrote = held.wrote
    # A COMMIT is no write by itself, so what counts is how the hold began.
    job.as_primary = held.as_primary or job.request.access == work.Access.WRITE
    job.attempts += 1
    out.append(_execute(group, job, pin))


def _execute(group: Group, job: Job, pin: tuple[str, int]) -> Execute:
    """Returns the effect that runs a job on its server."""
    order = job.request
    stays_open = order.begins_transaction or (
        order.pinned and not order.ends_transaction
    )
    return Execute(
        job.key,
        group.service,
        job.server,
        order.workspace,
        order.pinned,
        pin,
        job.as_primary,
        job.as_primary and not stays_open,
    )


def _still_fits(state: State, group: Group, server: Server, job: Job) -> bool:
    """Returns whether a queued job may still run on the server."""
    if job.as_primary:
        # The same conditions as for placing it, or it would come back here.
        return _choose_for_write(state, group, job) is server
    return groups.is_usable(group, server) and _may_show(
        state, group, job, server
    )


def _judge(
    state: State, group: Group, job: Job, result: work.ServerResult
) -> outcomes.Failure | None:
    """Returns why a whole answer must not be given as a success."""
    if not job.as_primary:
        return None
    if groups.is_lease_valid(state, group, job.term):
        if not result.in_recovery:
            return None
    if result.errored and result.status == IDLE:
        # The server's own error is true whoever is primary.
        return None
    if result.status != IDLE:
        return outcomes.TRANSACTION_LOST
    if job.request.access == work.Access.READ and not job.wrote:
        return outcomes.READ_LEASE_LAPSED
    return outcomes.WRITE_LEASE_LAPSED


def _lose(
    state: State,
    group: Group,
    job: Job,
    server: Server | None,
    pin: tuple[str, int],
    result: work.ServerResult,
    out: list[Effect],
) -> None:
    """Decides on a job whose answer is lost."""
    _leave_server(state, group, server, pin, out)
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
    _finish(state, job, failure, out)


def _loss_failure(job: Job, result: work.ServerResult) -> outcomes.Failure:
    """Returns what is true of a job whose answer is lost."""
    if result.loss == work.Loss.NOT_SENT:
        if job.request.pinned:
            return outcomes.TRANSACTION_LOST
        return outcomes.NO_SERVER
    if job.request.access == work.Access.READ and not job.wrote:
        return outcomes.READ_ANSWER_LOST
    return outcomes.ANSWER_LOST


def _leave_server(
    state: State,
    group: Group,
    server: Server | None,
    pin: tuple[str, int],
    out: list[Effect],
) -> None:
    """Gives a connection free and starts what waits for it."""
    if state.pins.pop(pin, None) is None or server is None:
        return
    server.in_use -= 1
    start_queued(state, group, server, out)


def _floor_after(
    job: Job, result: work.ServerResult, failure: outcomes.Failure | None
) -> work.Position | None:
    """Returns the session's floor after a job, or None if unchanged.

    A read on the primary leaves the floor where it is. Raised to the primary's
    position, it would keep the session off the replicas for as long as others
    write.
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
    """Returns whether a write is acknowledged only with a replica's copy."""
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
    """Keeps an answer until a replica has the write."""
    job.answer = answer
    until = state.now + state.times.replica_ack_s
    group.awaiting_replica.append((lsn, until, job))
    _probe_replicas(group, out)


def _probe_replicas(group: Group, out: list[Effect]) -> None:
    """Probes the replicas out of turn, for the writes that wait for one."""
    for server in group.servers.values():
        if server is not group.primary and server.reachable:
            out.append(Probe(group.service, server.name))


def _highest_replica_lsn(group: Group) -> int:
    """Returns the highest position of a replica on the current timeline."""
    primary = group.primary
    highest = 0
    for server in group.servers.values():
        if server is primary or not groups.is_usable(group, server):
            continue
        highest = max(highest, server.lsn)
    return highest


def _finish(
    state: State, job: Job, failure: outcomes.Failure, out: list[Effect]
) -> None:
    """Ends a job without a server's answer."""
    answer = work.HomeAnswer(IDLE, failure, None, "", False)
    _answer(state, job, answer, out)


def _answer(
    state: State, job: Job, answer: work.HomeAnswer, out: list[Effect]
) -> None:
    """Ends a job."""
    state.jobs.pop(job.key, None)
    if job.abandoned:
        release_pin(state, (job.key.origin, job.request.session), out)
    out.append(Answer(job.key, answer))


def release_session(
    state: State, pin: tuple[str, int], out: list[Effect]
) -> None:
    """Ends all that runs or stands open here for a session elsewhere."""
    for key, job in list(state.jobs.items()):
        if key.origin == pin[0] and job.request.session == pin[1]:
            abandon(state, key, out)
            if key in state.jobs:
                return
    release_pin(state, pin, out)


def release_origin(state: State, origin: str, out: list[Effect]) -> None:
    """Ends all that runs or stands open here for another instance."""
    for key in list(state.jobs):
        if key.origin == origin:
            abandon(state, key, out)
    running = {
        (key.origin, job.request.session) for key, job in state.jobs.items()
    }
    for pin in list(state.pins):
        if pin[0] == origin and pin not in running:
            release_pin(state, pin, out)
