"""Acknowledging after the primary or after a replica: both ways, measured.

Writers write through several instances, then the primary dies. Counts the
writes that were acknowledged and are not in the log of the next primary, and
the time until an acknowledgement. Time is a number; the reducers are the
product's.
"""

import statistics
import sys
from typing import NamedTuple

from tests import world

LAGS_S = (0.01, 0.1, 1.0)
RUNS = 20
WRITERS = 6
WRITE_INTERVAL_S = 0.1
STARTUP_S = 3.0
LOAD_S = 3.0
RECOVERY_S = 8.0
WATCHED = 40  # The newest acknowledgements to look through.


class Result(NamedTuple):
    """What was counted over all runs.

    Attributes:
      acknowledged: Writes told done.
      lost: Those that the next primary does not have.
      median_ms: Median time to an acknowledgement, in milliseconds.
      gap_s: Median time without acknowledgements, in seconds.
    """

    acknowledged: int
    lost: int
    median_ms: float
    gap_s: float


class Writer:
    """A caller that writes at an interval."""

    def __init__(self, world_: world.World, name: str, times: list):
        self.world = world_
        self.name = name
        self.session = world_.open(name, "ledger", "key")
        self.times = times
        self.count = 0
        self.is_running = True

    def step(self) -> None:
        """Writes, and notes when the acknowledgement came."""
        if not self.is_running:
            return
        self.count += 1
        sent_at = self.world.now
        write_id = f"{self.name}:{self.count}"
        self.world.send(self.session, write_id)
        self.world.at(0.001, lambda: self._watch(sent_at, write_id))
        self.world.at(WRITE_INTERVAL_S, self.step)

    def _watch(self, sent_at: float, write_id: str) -> None:
        if write_id in self.session.acknowledged[-WATCHED:]:
            self.times.append((self.world.now, self.world.now - sent_at))
            return
        if self.world.now - sent_at < RECOVERY_S:
            self.world.at(0.001, lambda: self._watch(sent_at, write_id))


def run_once(acknowledge: str, lag_s: float, seed: int) -> tuple:
    """Returns acknowledged, lost, times and the gap of one run."""
    fakes = world.make_world(seed, acknowledge, (lag_s, lag_s, 1.3 * lag_s))
    fakes.run(STARTUP_S)
    times: list[tuple[float, float]] = []
    writers = []
    for name in list(fakes.nodes)[:WRITERS]:
        writer = Writer(fakes, name, times)
        writers.append(writer)
        fakes.at(fakes.random.random() * WRITE_INTERVAL_S, writer.step)
    fakes.run(LOAD_S)
    group = fakes.groups["ledger"]
    group.servers[group.latest_promoted].is_alive = False
    killed_at = fakes.now
    fakes.run(RECOVERY_S)
    for writer in writers:
        writer.is_running = False
    fakes.run(1.0)
    log = set(group.servers[group.latest_promoted].log)
    told = [w for writer in writers for w in writer.session.acknowledged]
    lost = sum(w not in log for w in told)
    after = [at for at, took in times if at - took > killed_at]
    return told, lost, [t for _, t in times], min(after) - killed_at


def measure(acknowledge: str, lag_s: float) -> Result:
    """Returns what all runs together show."""
    acknowledged = 0
    lost = 0
    waits: list[float] = []
    gaps = []
    for seed in range(RUNS):
        told, lost_now, times, gap_s = run_once(acknowledge, lag_s, seed)
        acknowledged += len(told)
        lost += lost_now
        waits.extend(times)
        gaps.append(gap_s)
    return Result(
        acknowledged,
        lost,
        1000 * statistics.median(waits),
        statistics.median(gaps),
    )


def main() -> int:
    """Prints a table."""
    print("lag s | after | acknowledged | lost | median ms | gap s")
    for lag_s in LAGS_S:
        for acknowledge in ("primary", "replica"):
            result = measure(acknowledge, lag_s)
            print(
                f"{lag_s:5} | {acknowledge:7} | {result.acknowledged:12} | "
                f"{result.lost:4} | {result.median_ms:9.1f} | "
                f"{result.gap_s:.2f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
