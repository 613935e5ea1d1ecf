"""Callers at their entry instance: admission, floors and the way of a round.

The workspace of a round is that of the key which the caller proved. The key
is looked up again for every round, so that a withdrawn one stops at once.
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
    """Admits a caller, or rejects it with the reason."""
    session = Session(number, login)
    failure = _check_login(state, session)
    if failure is not None:
        out.append(Reject(number, failure))
        return
    state.sessions[number] = session
    _count_in(state, login.workspace, out)
    out.append(Admit(number))


def close_session(state: State, number: int, out: list[Effect]) -> None:
    """Forgets a caller; its open transaction is rolled back."""
    session = state.sessions.pop(number, None)
    if session is None:
        return
    bucket = state.buckets.get(session.login.workspace)
    if bucket is not None:
        bucket.sessions -= 1
    state.unserved.pop(number, None)
    if session.running_round:
        _abandon(state, session.running_round, out)
    if session.transaction_home == state.instance:
        jobs.release_pin(state, (state.instance, number), out)
    elif session.transaction_home:
        out.append(ReleasePin(session.transaction_home, number))


def add_token(state: State, number: int, token: str) -> outcomes.Failure | None:
    """Raises a session's floor to that of a token that the caller brings."""
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
    order: work.RoundRequest,
    tables: tuple[str, ...],
    out: list[Effect],
) -> None:
    """Checks a round and sends it to a home.

    Args:
      state: The state.
      session_number: The caller's session.
      number: The work's number on this instance.
      order: What the engine knows; key, floor and home are filled in here.
      tables: The tables read; empty if unknown.
      out: Takes the effects.
    """
    session = state.sessions.get(session_number)
    if session is None:
        _refuse(number, IDLE, outcomes.SHUTTING_DOWN, out)
        return
    failure = check_round(state, session, order, tables)
    if failure is not None:
        _refuse_checked(session, number, failure, out)
        return
    pending = PendingRound(
        session_number,
        _complete_order(state, session, order),
        state.now,
        tables,
    )
    is_request = not order.ends_transaction
    taken = rates.Admission.ADMITTED
    bucket = state.buckets.get(session.login.workspace)
    if is_request and bucket is not None:
        taken = rates.admit(state, bucket, number)
    if taken is rates.Admission.REFUSED:
        _refuse_checked(session, number, outcomes.RATE_EXCEEDED, out)
        return
    state.pending_rounds[number] = pending
    session.running_round = number
    if bucket is not None and buckets.is_low(bucket):
        sharerequests.request_now(state, bucket, out)
    if taken is rates.Admission.QUEUED:
        return
    send_to_home(state, number, pending, out)


def send_admitted(state: State, number: int, out: list[Effect]) -> bool:
    """Sends a round that got its token; returns whether it used it.

    It is checked again: its key may have been withdrawn while it waited.
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
    """Refuses a round that waited and has gone nowhere."""
    pending = state.pending_rounds.get(number)
    if pending is None:
        return
    text = f"session {pending.session}: {failure.reason}"
    out.append(Log(PREFIX, text))
    _end(state, number, pending, failure, out)


def send_to_home(
    state: State, number: int, pending: PendingRound, out: list[Effect]
) -> None:
    """Sends a checked round to the best home."""
    session = state.sessions.get(pending.session)
    if session is None:
        del state.pending_rounds[number]
        return
    session.running_round = number
    home = session.transaction_home or _choose_home(state, pending)
    if not home:
        _end(state, number, pending, outcomes.NO_HOME, out)
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
    """Ends a round with its home's answer."""
    pending = state.pending_rounds.get(number)
    if pending is None:
        return
    if answer.failure is outcomes.NO_HOME and not pending.request.pinned:
        # That instance serves the database no more; nothing ran there.
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
    """Decides on a round whose home went silent."""
    pending = state.pending_rounds.get(number)
    if pending is None:
        return
    membership.mark_unresponsive(state, pending.home)
    session = state.sessions.get(pending.session)
    pinned = pending.request.pinned
    is_read = pending.request.access == work.Access.READ
    if not pinned and not delivered and (not sent or is_read):
        # Nothing ran, or nothing that running twice could harm.
        pending.home = ""
        send_to_home(state, number, pending, out)
        return
    if session is not None:
        session.transaction_home = ""
    failure = outcomes.ANSWER_LOST
    if pinned and not sent:
        failure = outcomes.TRANSACTION_LOST
    elif is_read and not pinned:
        # In a transaction it may have been the COMMIT of a write.
        failure = outcomes.READ_ANSWER_LOST
    _end(state, number, pending, failure, out)


def recheck_sessions(state: State, out: list[Effect]) -> None:
    """Looks at every session anew, and closes those that end.

    What a session's standing depends on changes only with the configuration
    and when this instance leaves.
    """
    state.unserved.clear()
    for session in state.sessions.values():
        if _standing_failure(state, session) is None:
            session.unserved_since = None
            continue
        if session.unserved_since is None:
            session.unserved_since = state.now
        state.unserved[session.number] = session
    close_unserved(state, out)


def close_unserved(state: State, out: list[Effect]) -> None:
    """Closes sessions whose key, zone or instance serves no more.

    An open transaction may end before its zone or instance leaves, and an
    idle session may send one more request, which is refused. It may
    not when the key is withdrawn: it is rolled back, and a statement that
    still runs is canceled after a short time.
    """
    for session in state.unserved.values():
        failure = _standing_failure(state, session)
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
    """Ends a session whose key is withdrawn."""
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
    order: work.RoundRequest,
    tables: tuple[str, ...],
) -> outcomes.Failure | None:
    """Returns why a round must not run, or None."""
    failure = _check_key(state, session.login)
    if failure is not None:
        if session.transaction_home and failure is outcomes.KEY_WITHDRAWN:
            return outcomes.KEY_WITHDRAWN_IN_TRANSACTION
        return failure
    if not session.login.key_id:
        failure = _check_open(state, session, order, tables)
        if failure is not None:
            return failure
    if session.transaction_home:
        return None
    return _standing_failure(state, session)


def _count_in(state: State, workspace: str, out: list[Effect]) -> None:
    """Notes a new caller of a workspace; its first request is expected."""
    bucket = sharerequests.track_workspace(state, workspace)
    if bucket is None:
        return
    bucket.sessions += 1
    bucket.arrivals += 1
    if not any(bucket.share.held):
        sharerequests.request_now(state, bucket, out)


def _abandon(state: State, number: int, out: list[Effect]) -> None:
    """Drops what runs for a caller that is gone."""
    pending = state.pending_rounds.pop(number, None)
    if pending is None or not pending.home:
        return
    if pending.home == state.instance:
        jobs.abandon(state, work.RoundKey(state.instance, number), out)
        return
    out.append(ReleasePin(pending.home, pending.session))


def _check_login(state: State, session: Session) -> outcomes.Failure | None:
    """Returns why a caller is not admitted, or None; takes its token."""
    login = session.login
    if not state.config.version:
        return outcomes.CONFIG_MISSING
    if login.service not in state.config.services:
        return outcomes.UNKNOWN_SERVICE
    failure = _check_key(state, login) or _standing_failure(state, session)
    if failure is not None:
        return failure
    if login.token:
        floor = tokens.decode(login.service, login.token)
        if isinstance(floor, outcomes.Failure):
            return floor
        session.floor = floor
    return None


def _check_key(state: State, login: work.Login) -> outcomes.Failure | None:
    """Returns why a caller's key is not good now, or None."""
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


def _check_open(
    state: State,
    session: Session,
    order: work.RoundRequest,
    tables: tuple[str, ...],
) -> outcomes.Failure | None:
    """Returns why a round of a caller without key must not run, or None."""
    if order.access != work.Access.READ:
        return outcomes.NOT_CARRIED
    if not tables and (order.ends_transaction or session.transaction_home):
        return None
    if not state.config.is_open(session.login.service, tables):
        return outcomes.KEY_NEEDED
    return None


def _standing_failure(
    state: State, session: Session
) -> outcomes.Failure | None:
    """Returns why a session gets no new work here, or None."""
    if state.draining:
        return outcomes.SHUTTING_DOWN
    if not state.config.is_zone_serving(state.zone):
        return outcomes.ZONE_OUT
    failure = _check_key(state, session.login)
    if failure is outcomes.KEY_WITHDRAWN:
        return failure
    return None


def _complete_order(
    state: State, session: Session, order: work.RoundRequest
) -> work.RoundRequest:
    """Returns the order with what this instance decides."""
    login = session.login
    return order._replace(
        workspace=login.workspace,
        pinned=bool(session.transaction_home),
        floor=session.floor,
        config_version=state.config.version,
    )


def _choose_home(state: State, pending: PendingRound) -> str:
    """Returns the best home that was not tried, or ""."""
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


def _refuse_checked(
    session: Session,
    number: int,
    failure: outcomes.Failure,
    out: list[Effect],
) -> None:
    """Refuses a round before it has gone anywhere."""
    status = IN_TRANSACTION if session.transaction_home else IDLE
    text = f"session {session.number}: {failure.reason}"
    out.append(Log(PREFIX, text))
    _refuse(number, status, failure, out)


def _refuse(
    number: int, status: bytes, failure: outcomes.Failure, out: list[Effect]
) -> None:
    """Ends a round that was not taken in."""
    out.append(Complete(number, work.RoundEnd(status, failure)))


def _end(
    state: State,
    number: int,
    pending: PendingRound,
    failure: outcomes.Failure,
    out: list[Effect],
) -> None:
    """Ends a round that was taken in, without an answer of its home."""
    state.pending_rounds.pop(number, None)
    session = state.sessions.get(pending.session)
    status = IDLE
    if session is not None:
        session.running_round = 0
        if session.transaction_home:
            status = IN_TRANSACTION
    out.append(Complete(number, work.RoundEnd(status, failure)))
