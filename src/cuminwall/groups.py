"""What a home knows of a database group: its servers, terms and ages.

The age of a replica's data is measured without comparing clocks. Each probe
of the primary that a valid write lease covers is a mark: at the time it was
sent, the log was at the position it found, or before. A replica that has
reached a mark's position shows all that the primary had when it was sent.
"""

from cuminwall import leases, messages, outcomes, probes, work
from cuminwall.effects import Effect, Log
from cuminwall.state import Group, Server, State

PREFIX = "groups"


def apply_probe_result(
    state: State,
    group: Group,
    server: Server,
    sent_at: float,
    result: probes.ProbeAnswer | outcomes.Failure,
    out: list[Effect],
) -> None:
    """Takes over the result of a probe."""
    if isinstance(result, outcomes.Failure):
        _probe_failed(state, group, server, out)
        return
    if not server.reachable:
        text = f"{group.service}/{server.name} answers"
        out.append(Log(PREFIX, text))
    server.reachable = True
    server.failing_since = None
    if sent_at < server.answered_at:
        return
    server.answered_at = sent_at
    server.in_recovery = result.in_recovery
    server.lsn = result.lsn
    if result.timeline:
        # A replica that has lost its primary no longer tells its timeline.
        server.timeline = result.timeline
    _update_marks(state, group, server, sent_at)


def apply_record(
    state: State, group: Group, record: messages.GroupRecord, out: list[Effect]
) -> bool:
    """Takes over an agreed state if it is newer; returns whether it was."""
    known = group.record
    new = record.terms[-1]
    if known is not None:
        old = known.terms[-1]
        if (new.term, record.active) <= (old.term, known.active):
            return False
    group.record = record
    group.watermarks.clear()
    for server in group.servers.values():
        # What it showed of a former term may have been left out.
        server.current_as_of = leases.NEVER
    if record.active:
        text = f"{group.service} term {new.term}: primary is {new.primary}"
    else:
        text = f"{group.service} term {new.term}: {new.primary} is promoted"
    out.append(Log(PREFIX, text))
    return True


def is_lease_valid(state: State, group: Group, term: int) -> bool:
    """Returns whether this instance holds the write lease of `term` now."""
    if group.lease_term != term or group.term != term:
        return False
    return state.now < group.lease_until


def is_usable(group: Group, server: Server) -> bool:
    """Returns whether a server's data belongs to the agreed history."""
    if not server.reachable or server.out_of_service or not server.timeline:
        return False
    if not server.in_recovery and server is not group.primary:
        # A replaced primary, or one whose promotion was never confirmed.
        return False
    return is_on_history(group, server.timeline, server.lsn)


def is_on_history(group: Group, timeline: int, lsn: int) -> bool:
    """Returns whether a position on a timeline is part of the history."""
    if group.record is None:
        return False
    lowest_fork: int | None = None
    for entry in reversed(group.record.terms):
        if entry.timeline == timeline:
            return lowest_fork is None or lsn <= lowest_fork
        if not entry.timeline:
            continue
        if lowest_fork is None or entry.fork_lsn < lowest_fork:
            lowest_fork = entry.fork_lsn
    return False


def is_floor_lost(group: Group, floor: work.Position) -> bool:
    """Returns whether a later term left out what the floor stands for."""
    if group.record is None:
        return False
    for entry in group.record.terms:
        if entry.term <= floor.term or not entry.timeline:
            continue
        if floor.lsn > entry.fork_lsn:
            return True
    return False


def is_floor_known(group: Group, floor: work.Position) -> bool:
    """Returns whether the floor's term is known here."""
    return floor.term <= group.term


def has_reached_floor(server: Server, floor: work.Position) -> bool:
    """Returns whether a server on the history has reached the floor."""
    return server.lsn >= floor.lsn


def data_age_s(state: State, server: Server) -> float:
    """Returns the age of a replica's data in seconds, at most."""
    return state.now - server.current_as_of


def _probe_failed(
    state: State, group: Group, server: Server, out: list[Effect]
) -> None:
    """Notes that fresh connections to a server get no answer."""
    if server.failing_since is None:
        server.failing_since = state.now
    if server.reachable:
        text = f"{group.service}/{server.name} does not answer"
        out.append(Log(PREFIX, text))
    server.reachable = False


def _update_marks(
    state: State, group: Group, server: Server, sent_at: float
) -> None:
    """Adds a mark of the primary, or moves a replica's age forward."""
    if server is group.primary:
        if server.in_recovery or not is_lease_valid(state, group, group.term):
            return
        group.watermarks.append((sent_at, server.lsn))
        server.current_as_of = sent_at
        return
    if not is_on_history(group, server.timeline, server.lsn):
        return
    for marked_at, lsn in reversed(group.watermarks):
        if lsn <= server.lsn:
            server.current_as_of = max(server.current_as_of, marked_at)
            break
