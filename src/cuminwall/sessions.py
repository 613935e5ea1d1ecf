"""Sessions at their entry instance: logins, floors and routing of rounds.

A round belongs to the workspace of the key with which the caller logged in.
The key is looked up again for every round, so that withdrawing it takes effect
at once.
"""

from cuminwall import (
    buckets,
    jobs,
    membership,
    outcomes,
    rates,
    sharerequests,
    tokens,
    work,
)
from cuminwall.effects import (
    Admit,
    CancelRound,
    CloseSession,
    Complete,
    Dispatch,
    Effect,
    Log,
    Reject,
    ReleasePin,
)
from cuminwall.state import PendingRound, Session, State

PREFIX = "sessions"

IDLE = b"I"
IN_TRANSACTION = b"T"


def open_session(
    state: State, number: int, login: work.Login, out: list[Effect]
) -> None:
    """Opens a session, or rejects the login with the reason."""
    session = Session(number, login)
    failure = _check_login(state, session)
    if failure is not None:
        out.append(Reject(number, failure))
        return
    state.sessions[number] = session
    _count_session(state, login.workspace, out)
    out.append(Admit(number))


def close_session(state: State, number: int, out: list[Effect]) -> None:
    """Removes a session and rolls back its open transaction."""
    session = state.sessions.pop(number, None)
    if session is None:
        return
    bucket = state.buckets.get(session.login.workspace)
    if bucket is not None:
        bucket.sessions -= 1
    state.unserved.pop(number, None)
    if session.running_round:
        _abandon_round(state, session.running_round, out)
    if session.transaction_home == state.instance:
        jobs.release_pin(state, (state.instance, number), out)
    elif session.transaction_home:
        out.append(ReleasePin(session.transaction_home, number))


def add_token(state: State, number: int, token: str) -> outcomes.Failure | None:
    """Raises a session's floor to the position in a token from its caller."""
    session = state.sessions.get(number)
    if session is None:
        return outcomes.SHUTTING_DOWN
    floor = tokens.decode(session.login.service, token)
    if isinstance(floor, outcomes.Failure):
        return floor
    if session.floor is None or floor > session.floor:
        session.floor = floor
    return None


def handle_round(
    state: State,
    session_number: int,
    number: int,
    request: work.RoundRequest,
    tables: tuple[str, ...],
    out: list[Effect],
) -> None:
    """Checks a round, takes a token for it and sends it to a home.

    Args:
      state: The state.
      session_number: The caller's session.
      number: The round's number on this instance.
      request: The request; workspace, pin, floor and configuration version are
        filled in here.
      tables: The tables read; empty if unknown.
      out: The list to which effects are appended.
    """
    session = state.sessions.get(session_number)
    if session is None:
        _fail_unregistered(number, IDLE, outcomes.SHUTTING_DOWN, out)
        return
    failure = check_round(state, session, request, tables)
    if failure is not None:
        _refuse_on_arrival(session, number, failure, out)
        return
    pending = PendingRound(
        session_number,
        _complete_request(state, session, request),
        state.now,
        tables,
    )
    is_request = not request.ends_transaction
    admission = rates.Admission.ADMITTED
    bucket = state.buckets.get(session.login.workspace)
    if is_request and bucket is not None:
        admission = rates.admit(state, bucket, number)
    if admission is rates.Admission.REFUSED:
        _refuse_on_arrival(session, number, outcomes.RATE_EXCEEDED, out)
        return
    state.pending_rounds[number] = pending
    session.running_round = number
    if bucket is not None and buckets.is_low(bucket):
        sharerequests.request_now(state, bucket, out)
    if admission is rates.Admission.QUEUED:
        return
    send_to_home(state, number, pending, out)


def send_admitted(state: State, number: int, out: list[Effect]) -> bool:
    """Sends a round that waited for a token; returns whether it used the token.

    The round is checked again: its key may have been withdrawn meanwhile.
    """
    pending = state.pending_rounds.get(number)
    session = state.sessions.get(pending.session) if pending else None
    if pending is None or session is None:
        return False
    failure = check_round(state, session, pending.request, pending.tables)
    if failure is not None:
        refuse_waiting(state, number, failure, out)
        return False
    send_to_home(state, number, pending, out)
    return True


def refuse_waiting(
    state: State, number: int, failure: outcomes.Failure, out: list[Effect]
) -> None:
    """Refuses a round that waits for a token."""
    pending = state.pending_rounds.get(number)
    if pending is None:
        return
    text = f"session {pending.session}: {failure.reason}"
    out.append(Log(PREFIX, text))
    _fail_pending(state, number, pending, failure, out)


def send_to_home(
    state: State, number: int, pending: PendingRound, out: list[Effect]
) -> None:
    """Sends a checked round to its transaction's home, or to the best one."""
    session = state.sessions.get(pending.session)
    if session is None:
        del state.pending_rounds[number]
        return
    session.running_round = number
    home = session.transaction_home or _choose_home(state, pending)
    if not home:
        _fail_pending(state, number, pending, outcomes.NO_HOME, out)
        return
    pending.home = home
    pending.tried_homes.append(home)
    if home == state.instance:
        key = work.RoundKey(state.instance, number)
        jobs.handle_round(state, key, pending.request, out)
        return
    out.append(Dispatch(number, home, pending.request))
    text = f"{pending.request.service} {number} goes to home {home}"
    out.append(Log(PREFIX, text))


def handle_home_answer(
    state: State, number: int, answer: work.HomeAnswer, out: list[Effect]
) -> None:
    """Ends a round with its home's answer, or retries it on another home."""
    pending = state.pending_rounds.get(number)
    if pending is None:
        return
    if answer.failure is outcomes.NO_HOME and not pending.request.pinned:
        # That instance is no longer a home of the service; nothing ran there.
        membership.mark_unresponsive(state, pending.home)
        pending.home = ""
        send_to_home(state, number, pending, out)
        return
    del state.pending_rounds[number]
    session = state.sessions.get(pending.session)
    if session is None:
        return
    session.running_round = 0
    session.transaction_home = pending.home if answer.pinned else ""
    token = _raise_floor(session, answer)
    end = work.RoundEnd(answer.status, answer.failure, token, answer.server)
    out.append(Complete(number, end))


def handle_home_lost(
    state: State, number: int, sent: bool, delivered: bool, out: list[Effect]
) -> None:
    """Retries a round whose home became unreachable, or fails it.

    Args:
      state: The state.
      number: The round's number on this instance.
      sent: Whether the home may have received the round.
      delivered: Whether a part of the answer has reached the caller.
      out: The list to which effects are appended.
    """
    pending = state.pending_rounds.get(number)
    if pending is None:
        return
    membership.mark_unresponsive(state, pending.home)
    session = state.sessions.get(pending.session)
    pinned = pending.request.pinned
    is_read = pending.request.access == work.Access.READ
    if not pinned and not delivered and (not sent or is_read):
        # Nothing ran, or it was a read, which is safe to repeat.
        pending.home = ""
        send_to_home(state, number, pending, out)
        return
    if session is not None:
        session.transaction_home = ""
    failure = outcomes.ANSWER_LOST
    if pinned and not sent:
        failure = outcomes.TRANSACTION_LOST
    elif is_read and not pinned:
        # A read of a transaction may be the COMMIT of its writes.
        failure = outcomes.READ_ANSWER_LOST
    _fail_pending(state, number, pending, failure, out)


def recheck_sessions(state: State, out: list[Effect]) -> None:
    """Finds the sessions that are no longer served and closes what may end.

    Whether a session is served depends only on the configuration and on
    whether this instance is draining, so this runs when one of them changes.
    """
    state.unserved.clear()
    for session in state.sessions.values():
        if _check_served(state, session) is None:
            session.unserved_since = None
            continue
        if session.unserved_since is None:
            session.unserved_since = state.now
        state.unserved[session.number] = session
    close_unserved(state, out)


def close_unserved(state: State, out: list[Effect]) -> None:
    """Closes sessions whose key, zone or instance is no longer in service.

    If the zone is out of service or the instance shuts down, an open
    transaction may still end, and an idle session stays open for
    `idle_grace_s`, so that a request sent meanwhile gets a refusal. If the key
    is withdrawn, an open transaction is rolled back at once, and a running
    statement is canceled after `withdrawn_grace_s`.
    """
    for session in state.unserved.values():
        failure = _check_served(state, session)
        assert failure is not None
        if failure is outcomes.KEY_WITHDRAWN:
            _close_withdrawn(state, session, out)
            continue
        if session.transaction_home or session.running_round:
            session.unserved_since = state.now
            continue
        assert session.unserved_since is not None
        idle_s = state.now - session.unserved_since
        if idle_s >= state.times.idle_grace_s:
            out.append(CloseSession(session.number, failure))


def _close_withdrawn(state: State, session: Session, out: list[Effect]) -> None:
    """Closes a session whose key is withdrawn, or cancels what it runs."""
    if not session.running_round:
        failure = outcomes.KEY_WITHDRAWN
        if session.transaction_home:
            failure = outcomes.KEY_WITHDRAWN_IN_TRANSACTION
        out.append(CloseSession(session.number, failure))
        return
    assert session.unserved_since is not None
    running_s = state.now - session.unserved_since
    if running_s >= state.times.withdrawn_grace_s:
        out.append(CancelRound(session.number))


def check_round(
    state: State,
    session: Session,
    request: work.RoundRequest,
    tables: tuple[str, ...],
) -> outcomes.Failure | None:
    """Returns why a round is refused, or None."""
    failure = _check_key(state, session.login)
    if failure is not None:
        if session.transaction_home and failure is outcomes.KEY_WITHDRAWN:
            return outcomes.KEY_WITHDRAWN_IN_TRANSACTION
        return failure
    if not session.login.key_id:
        failure = _check_open_route(state, session, request, tables)
        if failure is not None:
            return failure
    if session.transaction_home:
        return None
    return _check_served(state, session)


def _count_session(state: State, workspace: str, out: list[Effect]) -> None:
    """Counts a new session in its workspace's demand for tokens.

    If this instance holds no share yet, it requests one at once, since the
    first request of the session is expected soon.
    """
    bucket = sharerequests.track_workspace(state, workspace)
    if bucket is None:
        return
    bucket.sessions += 1
    bucket.arrivals += 1
    if not any(bucket.share.held):
        sharerequests.request_now(state, bucket, out)


def _abandon_round(state: State, number: int, out: list[Effect]) -> None:
    """Abandons the running round of a closed session."""
    pending = state.pending_rounds.pop(number, None)
    if pending is None or not pending.home:
        return
    if pending.home == state.instance:
        jobs.abandon(state, work.RoundKey(state.instance, number), out)
        return
    out.append(ReleasePin(pending.home, pending.session))


def _check_login(state: State, session: Session) -> outcomes.Failure | None:
    """Returns why a login is rejected, or None; sets the floor by its token."""
    login = session.login
    if not state.config.version:
        return outcomes.CONFIG_MISSING
    if login.service not in state.config.services:
        return outcomes.UNKNOWN_SERVICE
    failure = _check_key(state, login) or _check_served(state, session)
    if failure is not None:
        return failure
    if login.token:
        floor = tokens.decode(login.service, login.token)
        if isinstance(floor, outcomes.Failure):
            return floor
        session.floor = floor
    return None


def _check_key(state: State, login: work.Login) -> outcomes.Failure | None:
    """Returns why a caller's key is not valid now, or None."""
    config = state.config
    if not login.key_id:
        if config.has_open_route(login.service):
            return None
        return outcomes.KEY_WITHDRAWN
    key = config.keys.get(login.key_id)
    if key is None or key.workspace != login.workspace:
        return outcomes.KEY_WITHDRAWN
    if not config.may_use(login.workspace, login.service):
        return outcomes.KEY_WITHDRAWN
    grace_s = config.workspaces[login.workspace].keys_grace_s
    if state.now >= state.fresh_until + grace_s:
        return outcomes.KEYS_NOT_CURRENT
    return None


def _check_open_route(
    state: State,
    session: Session,
    request: work.RoundRequest,
    tables: tuple[str, ...],
) -> outcomes.Failure | None:
    """Returns why a round of a caller without a key is refused, or None."""
    if request.access != work.Access.READ:
        return outcomes.NOT_CARRIED
    if not tables and (request.ends_transaction or session.transaction_home):
        return None
    if not state.config.is_open(session.login.service, tables):
        return outcomes.KEY_NEEDED
    return None


def _check_served(state: State, session: Session) -> outcomes.Failure | None:
    """Returns why this instance runs no new rounds of a session, or None."""
    if state.draining:
        return outcomes.SHUTTING_DOWN
    if not state.config.is_zone_serving(state.zone):
        return outcomes.ZONE_OUT
    failure = _check_key(state, session.login)
    if failure is outcomes.KEY_WITHDRAWN:
        return failure
    return None


def _complete_request(
    state: State, session: Session, request: work.RoundRequest
) -> work.RoundRequest:
    """Returns the request with the fields that this instance decides."""
    login = session.login
    return request._replace(
        workspace=login.workspace,
        pinned=bool(session.transaction_home),
        floor=session.floor,
        config_version=state.config.version,
    )


def _choose_home(state: State, pending: PendingRound) -> str:
    """Returns the best untried home, or ""; unresponsive ones come last."""
    homes = membership.homes(state, pending.request.service)
    if state.instance in homes and state.instance not in pending.tried_homes:
        return state.instance
    fallback = ""
    for home in homes:
        if home in pending.tried_homes:
            continue
        if not membership.is_unresponsive(state, home):
            return home
        fallback = fallback or home
    return fallback


def _raise_floor(session: Session, answer: work.HomeAnswer) -> str:
    """Raises the session's floor; returns its token if it changed."""
    floor = answer.floor
    if floor is None:
        return ""
    if session.floor is not None and floor <= session.floor:
        return ""
    session.floor = floor
    return tokens.encode(session.login.service, floor)


def _refuse_on_arrival(
    session: Session,
    number: int,
    failure: outcomes.Failure,
    out: list[Effect],
) -> None:
    """Refuses a round on arrival and logs why."""
    status = IN_TRANSACTION if session.transaction_home else IDLE
    text = f"session {session.number}: {failure.reason}"
    out.append(Log(PREFIX, text))
    _fail_unregistered(number, status, failure, out)


def _fail_unregistered(
    number: int, status: bytes, failure: outcomes.Failure, out: list[Effect]
) -> None:
    """Fails a round that is not pending."""
    out.append(Complete(number, work.RoundEnd(status, failure)))


def _fail_pending(
    state: State,
    number: int,
    pending: PendingRound,
    failure: outcomes.Failure,
    out: list[Effect],
) -> None:
    """Fails a pending round that has no answer from its home."""
    state.pending_rounds.pop(number, None)
    session = state.sessions.get(pending.session)
    status = IDLE
    if session is not None:
        session.running_round = 0
        if session.transaction_home:
            status = IN_TRANSACTION
    out.append(Complete(number, work.RoundEnd(status, failure)))
