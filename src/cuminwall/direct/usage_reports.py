"""Reports the usage of each window to the platform, as the coordinator.

A report is written to the store before it is sent, on condition that nobody
else coordinates and that the report before it is unchanged. So there is one
report for a window, whoever sends it, and the revision of the write is a
fencing token that no other holder has. A new coordinator writes and sends the
newest report again, unchanged, since it may not have been accepted.

Windows are reported in their order. One that can't be reported in time is
given up: its callers lose nothing by it, while two reports that differ would
make both doubtful.
"""

import json
from typing import Any

from cuminwall.direct import usage_clock, usage_collection, usage_counts
from cuminwall.direct.effects import Effect, Note, ReportUsage, RereadStore
from cuminwall.direct.events import UsageOutcome
from cuminwall.direct.fleet_state import COORDINATOR_NAME
from cuminwall.direct.state import State, SwapPurpose
from cuminwall.direct.usage_state import (
    ReportStep,
    UsageCollection,
    UsageRecord,
)

PART = "usage"

RECORD_NAME = "usage"
SETTLE_S = 1.0  # After the end of a window, for answers that are on their way.
# Of the time in which a window must be reported: how long silent instances are
# waited for. The rest is for writing and sending the report.
AWAIT_FRACTION = 0.7
RETRY_S = 0.5  # Between attempts to write or to send a report.
MAX_NAMES_LOGGED = 20


def handle_record(state: State, value: bytes | None, out: list[Effect]) -> None:
    """Handles the newest report, as read from the store.

    One that is removed, or is older than one that was seen, changes nothing:
    the store may have been restored from a copy.
    """
    if value is None:
        return
    record = _decode(value)
    if record is None:
        out.append(Note(PART, "malformed_record", {}))
        return
    if record.window >= usage_counts.recorded_window(state):
        state.usage.record = record
    collection = state.usage.collection
    if collection is None:
        return
    report = collection.report
    if report is None or report.window != record.window:
        usage_collection.skip_recorded(collection, record.window)


def tick(state: State, out: list[Effect]) -> None:
    """Takes the next step of a report, if one is due."""
    collection = state.usage.collection
    if collection is None or not usage_clock.is_on(state):
        return
    usage_clock.agree(state)
    if usage_clock.offset(state) is None:
        return
    if state.now < collection.started_at + state.limits.duty_lease_s:
        # So holders can't take turns within that time.
        return
    _skip_late(state, collection, out)
    if collection.report is None:
        _choose(state, collection, out)
    elif state.now < collection.retry_at:
        return
    elif collection.step is ReportStep.RECORDING:
        _write(state, collection, out)
    elif collection.step is ReportStep.SENDING:
        _send(state, collection, out)


def handle_written(
    state: State, revision: int | None, out: list[Effect]
) -> None:
    """Handles the result of writing a report; sends it if it was written."""
    collection = state.usage.collection
    if collection is None or collection.step is not ReportStep.RECORDING:
        return
    if not revision or collection.written is not collection.report:
        # Not written, or unknown, or this was the write of an earlier report:
        # what the store has is read first.
        collection.retry_at = state.now + RETRY_S
        out.append(RereadStore())
        return
    state.usage.record = collection.report
    collection.fencing_token = revision
    collection.step = ReportStep.SENDING
    _log(state, collection, "recorded", {}, out)
    _send(state, collection, out)


def handle_outcome(
    state: State,
    window: int,
    fencing_token: int,
    outcome: UsageOutcome,
    out: list[Effect],
) -> None:
    """Handles the platform's answer to a report."""
    collection = state.usage.collection
    if collection is None or collection.report is None:
        return
    if collection.fencing_token != fencing_token:
        return
    if outcome is UsageOutcome.ACCEPTED:
        _log(state, collection, "accepted", {}, out)
        _settle(state, collection)
    elif outcome is UsageOutcome.REFUSED:
        # A higher token was seen. This one must not be used again.
        _log(state, collection, "refused", {}, out)
        collection.step = ReportStep.RECORDING
        collection.fencing_token = 0
        collection.retry_at = state.now + state.limits.duty_lease_s


def _choose(
    state: State, collection: UsageCollection, out: list[Effect]
) -> None:
    """Begins the next report, if enough is known for it."""
    record = state.usage.record
    if record is not None and _is_repeat_due(state, collection, record):
        collection.report = record
        _write(state, collection, out)
        return
    window = collection.next_window
    ended_s = state.now - usage_clock.end_of(state, window)
    if ended_s < SETTLE_S:
        return
    silent = usage_collection.find_silent(state, collection, window)
    if silent and ended_s < AWAIT_FRACTION * state.limits.usage_delay_s:
        return
    if 2 * len(silent) > len(state.members):
        return
    counts = {}
    for workspace, count in sorted(collection.totals.get(window, {}).items()):
        if count > 0:
            counts[workspace] = count
    collection.report = UsageRecord(window, counts)
    if silent:
        fields = {"silent": silent[:MAX_NAMES_LOGGED], "count": len(silent)}
        _log(state, collection, "incomplete", fields, out)
    _write(state, collection, out)


def _is_repeat_due(
    state: State, collection: UsageCollection, record: UsageRecord
) -> bool:
    """Returns whether the newest report may not have been accepted."""
    if collection.repeated_window >= record.window:
        return False
    collection.repeated_window = record.window
    return state.now < usage_clock.deadline_of(state, record.window)


def _write(
    state: State, collection: UsageCollection, out: list[Effect]
) -> None:
    """Writes the report to the store, if the store has no other one."""
    report = collection.report
    assert report is not None
    collection.step = ReportStep.RECORDING
    collection.retry_at = state.now + RETRY_S
    record = state.usage.record
    if record is not None and record.window > report.window:
        _log(state, collection, "superseded", {"by": record.window}, out)
        _settle(state, collection)
        return
    if record is not None and record.window == report.window:
        # An earlier write took effect. Nothing else may be sent for it.
        collection.report = report = record
    if state.coordinator is None or state.has_pending_swap(SwapPurpose.USAGE):
        return
    collection.written = report
    state.compare_and_swap(
        SwapPurpose.USAGE,
        {
            RECORD_NAME: state.shared_revisions.get(RECORD_NAME, 0),
            # Nobody may have taken over meanwhile.
            COORDINATOR_NAME: state.coordinator.revision,
        },
        {RECORD_NAME: json.dumps(report._asdict()).encode()},
        frozenset(),
        0,
        out,
    )


def _send(state: State, collection: UsageCollection, out: list[Effect]) -> None:
    """Sends the report; an unanswered one is sent again, unchanged."""
    report = collection.report
    assert report is not None
    collection.retry_at = state.now + state.limits.usage_retry_s
    out.append(
        ReportUsage(
            report.window,
            report.counts,
            collection.fencing_token,
            state.own_lease.epoch,
        )
    )
    _log(state, collection, "sent", {}, out)


def _skip_late(
    state: State, collection: UsageCollection, out: list[Effect]
) -> None:
    """Gives up the windows whose time to be reported is over."""
    report = collection.report
    if report is None:
        _skip_uncollected(state, collection, out)
    elif state.now >= usage_clock.deadline_of(state, report.window):
        fields = {"step": collection.step.name.lower()}
        _log(state, collection, "missed", fields, out)
        _settle(state, collection)


def _skip_uncollected(
    state: State, collection: UsageCollection, out: list[Effect]
) -> None:
    """Gives up the late windows that have no report."""
    first = collection.next_window
    end_s = state.now - state.limits.usage_delay_s
    earliest = usage_clock.window_at(state, end_s)
    if first >= earliest:
        return
    silent = usage_collection.find_silent(state, collection, earliest - 1)
    fields: dict[str, Any] = {
        "window": first,
        "last": earliest - 1,
        "step": collection.step.name.lower(),
        "silent": silent[:MAX_NAMES_LOGGED],
        "count": len(silent),
        "epoch": state.own_lease.epoch,
    }
    out.append(Note(PART, "missed", fields))
    collection.next_window = earliest
    usage_collection.drop_settled(state, collection)


def _settle(state: State, collection: UsageCollection) -> None:
    """Ends the report in progress; its window is not reported again."""
    assert collection.report is not None
    window = collection.report.window
    usage_collection.skip_recorded(collection, window)
    collection.repeated_window = max(collection.repeated_window, window)
    collection.report = None
    collection.fencing_token = 0
    collection.step = ReportStep.COLLECTING
    usage_collection.drop_settled(state, collection)


def _decode(value: bytes) -> UsageRecord | None:
    """Returns the report that a value of the store has; None if malformed."""
    try:
        fields: Any = json.loads(value)
        counts = {}
        for workspace, count in fields["counts"].items():
            counts[str(workspace)] = int(count)
        return UsageRecord(int(fields["window"]), counts)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _log(
    state: State,
    collection: UsageCollection,
    event: str,
    fields: dict[str, Any],
    out: list[Effect],
) -> None:
    """Logs an event of the report in progress."""
    report = collection.report
    assert report is not None
    ended_s = state.now - usage_clock.end_of(state, report.window)
    out.append(
        Note(
            PART,
            event,
            {
                "window": report.window,
                "requests": sum(report.counts.values()),
                "workspaces": len(report.counts),
                "fence": collection.fencing_token,
                "epoch": state.own_lease.epoch,
                "after_s": round(ended_s, 3),
                **fields,
            },
        )
    )
