"""Learns from answers how fast the backend servers are.

The decisions are those of `cuminwall.load.server_speeds`. Reads that any server
of a service may run are compared between its servers. What only the primary
runs has nothing to be compared with, and only adds to its expected time.
"""

from cuminwall.direct import groups, statements
from cuminwall.direct.answers import Answer, Reason
from cuminwall.direct.callers_state import Operation, Stage
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.servers_state import (
    Connection,
    Group,
    Server,
    StatementKind,
)
from cuminwall.direct.state import State
from cuminwall.load import server_speeds

PART = "speeds"

MAX_KINDS = 256  # Kinds of statements remembered for each service.
# Times slower than the fastest server of its service: from when on a server is
# reported as slow, and until when.
SLOW_BEGIN = 2.0
SLOW_END = 1.4


def record_answer(
    state: State, connection: Connection, answer: Answer, out: list[Effect]
) -> None:
    """Records what the answer to a statement tells of its server."""
    operation = connection.operation
    assert operation is not None
    server = connection.server
    if answer.failure is not None:
        if answer.failure.reason is Reason.FAILED:
            record_failure(state, server, out)
        return
    group = groups.find(state, server.entry.service)
    seconds = state.now - operation.sent_at
    kind = kind_of(operation)
    usual = group.usual_times.get(kind, server_speeds.UNKNOWN)
    speed = server_speeds.add_time(server.speed, state.now, seconds)
    ratio = server_speeds.ratio_to_usual(usual, seconds)
    if ratio is not None and not operation.needs_primary:
        speed = server_speeds.add_ratio(speed, state.now, ratio)
    server.speed = speed
    _remember_usual(
        group, kind, server_speeds.add_usual(usual, state.now, seconds)
    )
    group.primary_demand = server_speeds.add_demand(
        group.primary_demand, state.now, seconds, operation.needs_primary
    )
    _report(state, group, out)


def record_failure(state: State, server: Server, out: list[Effect]) -> None:
    """Records that a server failed to run a statement or to answer."""
    server.speed = server_speeds.add_failure(server.speed, state.now)
    _report(state, groups.find(state, server.entry.service), out)


def slowdown(state: State, group: Group, server: Server) -> float:
    """Returns how many times longer than usual a server takes."""
    overdue = []
    silent_ratio = 0.0
    for connection in server.connections:
        operation = connection.operation
        if operation is None or operation.stage is not Stage.SENT:
            continue
        ratio = _ratio_so_far(state, group, operation)
        if ratio < server_speeds.OVERDUE_RATIO:
            continue
        overdue.append(ratio)
        if server.last_answer_at <= operation.sent_at:
            silent_ratio = max(silent_ratio, ratio)
    return server_speeds.slowdown(
        server.speed, state.now, overdue, silent_ratio
    )


def kind_of(operation: Operation) -> StatementKind:
    """Returns the kind of statement that an operation's time compares with."""
    is_commit = isinstance(operation.statement, statements.Commit)
    return StatementKind(operation.route.database, operation.writes, is_commit)


def read_slowdowns(state: State, now: float) -> dict[str, float]:
    """Returns the slowdown of each server that was observed."""
    values = {}
    for name, server in state.servers.items():
        if server.speed.observations > 0.0:
            values[name] = server_speeds.slowdown(server.speed, now)
    return values


def read_expected_s(state: State, now: float) -> dict[str, float]:
    """Returns the expected time of a statement at each known server."""
    values = {}
    for name, server in state.servers.items():
        expected_s = server_speeds.expected_s(server.speed, now)
        if expected_s is not None:
            values[name] = expected_s
    return values


def read_observations(state: State, now: float) -> dict[str, float]:
    """Returns how many recent observations there are of each server."""
    values = {}
    for name, server in state.servers.items():
        if server.speed.observations > 0.0:
            values[name] = server_speeds.count_observations(server.speed, now)
    return values


def _ratio_so_far(state: State, group: Group, operation: Operation) -> float:
    """Returns how much longer than usual a statement has taken, or 0."""
    usual = group.usual_times.get(kind_of(operation), server_speeds.UNKNOWN)
    elapsed_s = state.now - operation.sent_at
    return server_speeds.ratio_to_usual(usual, elapsed_s) or 0.0


def _remember_usual(
    group: Group, kind: StatementKind, usual: server_speeds.Usual
) -> None:
    """Stores what a kind of statement takes; forgets the oldest kind."""
    times = group.usual_times
    if kind not in times and len(times) >= MAX_KINDS:
        del times[min(times, key=lambda known: times[known].at)]
    times[kind] = usual


def _report(state: State, group: Group, out: list[Effect]) -> None:
    """Logs when a server begins or ends being slower than its peers."""
    slowdowns = {}
    for name, server in group.servers.items():
        slowdowns[name] = server_speeds.slowdown(server.speed, state.now)
    fastest = max(1.0, min(slowdowns.values(), default=1.0))
    for name, server in group.servers.items():
        relative = slowdowns[name] / fastest
        if server.is_slow and relative > SLOW_END:
            continue
        if not server.is_slow and relative < SLOW_BEGIN:
            continue
        server.is_slow = not server.is_slow
        event = "server_slow" if server.is_slow else "server_usual"
        out.append(_make_note(state, server, event, relative))


def _make_note(
    state: State, server: Server, event: str, relative: float
) -> Note:
    """Returns the log line of a server that turned slow or usual."""
    expected_s = server_speeds.expected_s(server.speed, state.now)
    seen = server_speeds.count_observations(server.speed, state.now)
    return Note(
        PART,
        event,
        {
            "server": server.entry.server,
            "service": server.entry.service,
            "slowdown": round(relative, 2),
            "observations": round(seen, 1),
            "expected_ms": expected_s and round(1000 * expected_s, 1),
        },
    )
