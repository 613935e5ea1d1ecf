"""Operations that wait for a connection: their order, and how long it takes.

Keeps what `load.waits` needs to know of each group of servers.
"""

from cuminwall.direct import groups
from cuminwall.direct.callers_state import Operation
from cuminwall.direct.servers_state import (
    ConnectionStatus,
    Group,
    Server,
)
from cuminwall.direct.state import State
from cuminwall.load import server_speeds, turns, waits

HOPELESS = "no room expected in time"  # Why an operation is refused.
WORK_S = 0.01  # Of a statement whose route was not used lately.
# Connections with these will soon serve another operation.
SERVING_STATUSES = (
    ConnectionStatus.OPENING,
    ConnectionStatus.RUNNING,
    ConnectionStatus.ROLLING_BACK,
)


def enqueue(state: State, server: Server, operation: Operation) -> None:
    """Queues an operation for a connection to a server."""
    group = groups.find(state, operation.route.service)
    workspace = operation.session.workspace
    server.waiting.push(
        operation.route.priority,
        operation.target_at,
        operation,
        workspace,
        _work_s(group, operation),
        _weight(state, workspace),
    )


def record_time(state: State, operation: Operation) -> None:
    """Records how long a statement of a route took."""
    group = groups.find(state, operation.route.service)
    seconds = state.now - operation.sent_at
    name = operation.route.database
    known = group.route_times.get(name, waits.UNKNOWN)
    group.route_times[name] = waits.observe(known, seconds, state.now)


def is_hopeless(state: State, server: Server, operation: Operation) -> bool:
    """Returns whether an operation queued at a server waits there in vain."""
    queue = _describe_queue(state, server, operation.session.workspace)
    left_s = operation.wait_until - state.now
    expected_s = server_speeds.expected_s(
        server.speed, state.now, waits.MIN_OBSERVATIONS
    )
    return waits.is_hopeless(queue, expected_s, left_s)


def count_waiting(state: State) -> dict[str, float]:
    """Returns how many operations of each priority wait for room."""
    counts: dict[str, float] = {}
    queues = [server.waiting for server in state.servers.values()]
    queues.extend(group.waiting for group in state.groups.values())
    for queue in queues:
        for priority, count in queue.count_by_priority().items():
            label = str(min(priority, turns.MAX_HALVINGS))
            counts[label] = counts.get(label, 0.0) + count
    return counts


def _describe_queue(
    state: State, server: Server, workspace: str
) -> waits.Queue:
    """Returns what the last operation of a workspace finds at a server."""
    queue = server.waiting
    # Every workspace gets its turns.
    in_turns = queue.count_kind(workspace) * len(queue.queues)
    serving = 0
    for connection in server.connections:
        serving += connection.status in SERVING_STATUSES
    closed_s = 0.0
    if not serving and server.refusals:
        closed_s = max(0.0, server.overloaded_until - state.now)
    ahead = min(len(queue), in_turns) - 1
    return waits.Queue(max(0, ahead), serving, closed_s)


def _work_s(group: Group, operation: Operation) -> float:
    """Returns how long an operation takes a server, as far as is known."""
    known = group.route_times.get(operation.route.database, waits.UNKNOWN)
    mean_s = waits.mean_s(known)
    return WORK_S if mean_s is None else mean_s


def _weight(state: State, workspace: str) -> float:
    """Returns the weight of a workspace among those of a class."""
    limits = state.catalog.workspaces.get(workspace)
    return 1.0 if limits is None else turns.weight_of(limits.priority)
