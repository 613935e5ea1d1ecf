"""Counts the requests that begin to run at backend servers, here.

Each instance counts by window and workspace, and tells the coordinator with
its share requests. It tells whole counts, not differences, and each again until
it is acknowledged; so a lost or repeated message does no harm. A new
coordinator is told everything again that is not yet reported.
"""

from typing import NamedTuple

from cuminwall.direct import messages, usage_clock
from cuminwall.direct.callers_state import Operation
from cuminwall.direct.state import State
from cuminwall.direct.usage_state import NO_WINDOW, UsageCounts

MIN_INTERVAL_S = 0.2  # Between two messages with counts.
MAX_ENTRIES = 400  # In one message.
MAX_SENT = 8  # Requests whose reply is awaited.


class Told(NamedTuple):
    """What a share request tells of usage: its last fields.

    Attributes:
      clock_s: The time by the sender's own wall clock; 0 if not told.
      usage_until: Up to which wall-clock time all counts were told with this
        and earlier requests; 0 if it tells none.
      usage: The counts that were not acknowledged, by window.
      usage_recorded: The newest window whose report the sender has seen.
    """

    clock_s: float = 0.0
    usage_until: float = 0.0
    usage: tuple[tuple[int, tuple[tuple[str, int], ...]], ...] = ()
    usage_recorded: int = NO_WINDOW


def count_start(state: State, operation: Operation) -> None:
    """Counts a request that is sent to a server.

    A request is a single statement, or a transaction with all of its own: this
    is called for the first of them.
    """
    if not usage_clock.is_on(state):
        return
    window = usage_clock.window_at(state, state.now)
    if window <= recorded_window(state):
        return
    operation.usage_window = window
    counts = state.usage.own.counts.setdefault(window, {})
    workspace = operation.session.workspace
    counts[workspace] = counts.get(workspace, 0) + 1


def count_not_run(state: State, operation: Operation) -> None:
    """Takes back a request that its server has not run."""
    counts = state.usage.own.counts.get(operation.usage_window, {})
    workspace = operation.session.workspace
    if counts.get(workspace, 0) > 0:
        counts[workspace] -= 1
    operation.usage_window = NO_WINDOW


def recorded_window(state: State) -> int:
    """Returns the newest window whose report was seen in the store."""
    record = state.usage.record
    return record.window if record is not None else NO_WINDOW


def drop_settled(state: State) -> None:
    """Drops the windows that are reported, or too late to be."""
    own = state.usage.own
    for window in list(own.counts):
        is_late = state.now >= usage_clock.deadline_of(state, window)
        if is_late or window <= recorded_window(state):
            del own.counts[window]
            own.acknowledged.pop(window, None)


def tell(state: State, number: int, epoch: int) -> Told:
    """Returns what the next share request tells of usage.

    Args:
      state: The state.
      number: The number of the request.
      epoch: The epoch of the coordinator that it goes to.
    """
    own = state.usage.own
    if not usage_clock.is_on(state) or usage_clock.offset(state) is None:
        return Told()
    if own.epoch != epoch:
        own.epoch = epoch
        own.acknowledged.clear()
        own.sent.clear()
    elif state.now < own.sent_at + MIN_INTERVAL_S:
        return Told()
    drop_settled(state)
    own.sent_at = state.now
    rows, until = _unacknowledged(state, own, number)
    while len(own.sent) > MAX_SENT:
        del own.sent[next(iter(own.sent))]
    return Told(
        clock_s=usage_clock.own_time(state),
        usage_until=until,
        usage=rows,
        usage_recorded=recorded_window(state),
    )


def _unacknowledged(
    state: State, own: UsageCounts, number: int
) -> tuple[tuple[tuple[int, tuple[tuple[str, int], ...]], ...], float]:
    """Returns the counts to tell, and up to which time they are complete."""
    known_offset = usage_clock.offset(state)
    assert known_offset is not None
    until = state.now + known_offset
    sent = own.sent[number] = []
    told = []
    for window in sorted(own.counts):
        acknowledged = own.acknowledged.get(window, {})
        rows = []
        for workspace, count in own.counts[window].items():
            if acknowledged.get(workspace, 0) == count:
                continue
            if len(sent) >= MAX_ENTRIES:
                until = min(until, window * state.limits.usage_window_s)
                break
            rows.append((workspace, count))
            sent.append((window, workspace, count))
        if rows:
            told.append((window, tuple(rows)))
    return tuple(told), until


def handle_reply(state: State, reply: messages.ShareReply) -> None:
    """Handles the coordinator's reply to a share request."""
    own = state.usage.own
    sent = own.sent.pop(reply.number, None)
    if sent is None or reply.epoch != own.epoch:
        return
    usage_clock.handle_agreed_time(state, reply.clock_s, own.sent_at)
    if not reply.is_usage_taken:
        return
    for window, workspace, count in sent:
        if window in own.counts:
            own.acknowledged.setdefault(window, {})[workspace] = count
