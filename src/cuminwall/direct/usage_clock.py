"""The wall-clock time by which usage is counted, and its windows.

Wall clocks may differ and may jump. The instances agree on the median of
their clocks: each tells its own to the coordinator and learns the median from
the replies. The agreed clock is kept as an offset to the time since boot, so a
jump of one machine's clock has no effect on its counts.
"""

import statistics

from cuminwall.direct.effects import Effect, ReadClock
from cuminwall.direct.state import State
from cuminwall.direct.usage_state import NO_WINDOW

AGREE_INTERVAL_S = 1.0  # Between two computations of the median.
FRESH_S = 5.0  # For which a clock that was told counts.
MAX_ROUND_TRIP_S = 0.2  # A reply that took longer tells no exact time.


def is_on(state: State) -> bool:
    """Returns whether this deployment wants usage to be reported."""
    return state.limits.usage_window_s > 0


def request_reading(state: State, out: list[Effect]) -> None:
    """Has the machine's wall clock read, if usage is reported."""
    if is_on(state):
        out.append(ReadClock())


def handle_reading(state: State, wall_s: float) -> None:
    """Handles a reading of this machine's wall clock."""
    state.usage.clock.own_offset = wall_s - state.now


def offset(state: State) -> float | None:
    """Returns the wall-clock time minus that since boot; None if unknown."""
    clock = state.usage.clock
    if clock.agreed_offset is not None:
        return clock.agreed_offset
    return clock.own_offset


def own_time(state: State) -> float:
    """Returns the time by this machine's wall clock; 0 if unknown."""
    own_offset = state.usage.clock.own_offset
    return state.now + own_offset if own_offset is not None else 0.0


def agreed_time(state: State) -> float:
    """Returns the time by the agreed clock; 0 if there is none."""
    agreed_offset = state.usage.clock.agreed_offset
    return state.now + agreed_offset if agreed_offset is not None else 0.0


def window_at(state: State, at: float) -> int:
    """Returns the window of a time since boot; `NO_WINDOW` if unknown."""
    known_offset = offset(state)
    if known_offset is None:
        return NO_WINDOW
    return int((at + known_offset) // state.limits.usage_window_s)


def end_of(state: State, window: int) -> float:
    """Returns when a window ends, as a time since boot."""
    known_offset = offset(state)
    assert known_offset is not None
    return wall_end_of(state, window) - known_offset


def wall_end_of(state: State, window: int) -> float:
    """Returns when a window ends, as a wall-clock time."""
    return (window + 1) * state.limits.usage_window_s


def deadline_of(state: State, window: int) -> float:
    """Returns by when a window must be reported, as a time since boot."""
    return end_of(state, window) + state.limits.usage_delay_s


def handle_agreed_time(state: State, wall_s: float, asked_at: float) -> None:
    """Takes over the agreed clock from the coordinator's reply.

    Args:
      state: The state.
      wall_s: The agreed time when the reply was sent; 0 if there is none.
      asked_at: When the request was sent.
    """
    round_trip_s = state.now - asked_at
    if wall_s and round_trip_s <= MAX_ROUND_TRIP_S:
        agreed_at = state.now - round_trip_s / 2
        state.usage.clock.agreed_offset = wall_s - agreed_at


def record_told_time(state: State, sender: str, wall_s: float) -> None:
    """Records the time by an instance's own clock, as the coordinator."""
    collection = state.usage.collection
    if collection is not None and wall_s:
        offset_s = wall_s - state.now
        collection.clock_offsets[sender] = (offset_s, state.now)


def agree(state: State) -> None:
    """Sets the agreed clock to the median, if over half have told theirs."""
    collection = state.usage.collection
    if collection is None:
        return
    if state.now < collection.clock_checked_at + AGREE_INTERVAL_S:
        return
    collection.clock_checked_at = state.now
    fresh = []
    for instance, (offset_s, told_at) in collection.clock_offsets.items():
        if instance in state.members and state.now - told_at <= FRESH_S:
            fresh.append(offset_s)
    if 2 * len(fresh) > len(state.members):
        state.usage.clock.agreed_offset = statistics.median(fresh)
