"""Collects the instances' counts of usage, as the coordinator."""

from cuminwall.direct import membership, messages, usage_clock, usage_counts
from cuminwall.direct.state import State
from cuminwall.direct.usage_state import ProcessUsage, UsageCollection


def start(state: State) -> None:
    """Starts to collect, as the new coordinator."""
    if not usage_clock.is_on(state):
        return
    collection = state.usage.collection = UsageCollection(state.now)
    collection.next_window = 1 + usage_counts.recorded_window(state)
    if state.usage.record is None:
        collection.next_window = usage_clock.window_at(state, state.now)


def stop(state: State) -> None:
    """Stops collecting."""
    state.usage.collection = None


def take(state: State, sender: str, request: messages.ShareRequest) -> bool:
    """Takes the counts of a request; returns whether they are known now."""
    collection = state.usage.collection
    if collection is None or not request.usage_until:
        return False
    usage_clock.record_told_time(state, sender, request.clock_s)
    name = membership.process_name(sender, request.boot)
    process = collection.processes.setdefault(name, ProcessUsage())
    if request.number < process.number:
        # A newer one came before it; its counts are not the latest.
        return False
    process.number = request.number
    process.told_until = request.usage_until
    skip_recorded(collection, request.usage_recorded)
    for window, rows in request.usage:
        if window >= collection.next_window:
            _replace_counts(collection, process, window, rows)
    return True


def _replace_counts(
    collection: UsageCollection,
    process: ProcessUsage,
    window: int,
    rows: tuple[tuple[str, int], ...],
) -> None:
    """Replaces counts of a process by later ones, in the totals too."""
    known = process.counts.setdefault(window, {})
    totals = collection.totals.setdefault(window, {})
    for workspace, count in rows:
        change = count - known.get(workspace, 0)
        totals[workspace] = totals.get(workspace, 0) + change
        known[workspace] = count


def skip_recorded(collection: UsageCollection, window: int) -> None:
    """Leaves out a window that has a report, with all before it.

    An instance may know of a report that a restored store has lost. Another
    one for its window could differ from it.
    """
    collection.next_window = max(collection.next_window, window + 1)


def drop_settled(state: State, collection: UsageCollection) -> None:
    """Drops the counts of settled windows, and processes without counts."""
    for window in list(collection.totals):
        if window < collection.next_window:
            del collection.totals[window]
    for name, process in list(collection.processes.items()):
        for window in list(process.counts):
            if window < collection.next_window:
                del process.counts[window]
        instance, _, boot = name.rpartition("@")
        is_current = membership.is_current(state, instance, boot)
        if not process.counts and not is_current:
            del collection.processes[name]


def find_silent(
    state: State, collection: UsageCollection, window: int
) -> list[str]:
    """Returns the instances that have not told all of a window."""
    silent = []
    wall_end = usage_clock.wall_end_of(state, window)
    for member in state.members.values():
        name = membership.process_name(member.instance, member.boot)
        process = collection.processes.get(name)
        if process is None or process.told_until < wall_end:
            silent.append(member.instance)
    return silent
