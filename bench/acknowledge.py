"""Compares acknowledging a write after the primary or after a replica.

Writers write through several instances, then the primary dies. Counts the
acknowledged writes that are missing from the log of the next primary, and the
time until an acknowledgement. Time is simulated; the reducers are the real
ones.
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
SEARCHED_ACKNOWLEDGEMENTS = (
    40  # How many of the newest acknowledgements are searched.
)


class Result(NamedTuple):
    """The counts over all runs.

    Attributes:
      acknowledged: Writes that were acknowledged.
      lost: Acknowledged writes that the next primary does not have.
      median_ms: Median time to an acknowledgement, in milliseconds.
      gap_s: Median time without acknowledgements, in seconds.
    """

    acknowledged: int
    lost: int
    median_ms: float
    gap_s: float


class Writer:
    """A caller that writes every WRITE_INTERVAL_S."""

    def __init__(self, world_: world.World, name: str, times: list):
        self.world = world_
        self.name = name
        self.session = world_.open(name, "ledger", "key")
        self.times = times
        self.count = 0
        self.is_running = True

    def send_write(self) -> None:
        """Sends a write and watches for its acknowledgement."""
        if not self.is_running:
            return
        self.count += 1
        sent_at = self.world.now
        write_id = f"{self.name}:{self.count}"
        self.world.send(self.session, write_id)
        self.world.at(
            0.001, lambda: self._check_acknowledged(sent_at, write_id)
        )
        self.world.at(WRITE_INTERVAL_S, self.send_write)

    def _check_acknowledged(self, sent_at: float, write_id: str) -> None:
        if write_id in self.session.acknowledged[-SEARCHED_ACKNOWLEDGEMENTS:]:
            self.times.append((self.world.now, self.world.now - sent_at))
            return
        if self.world.now - sent_at < RECOVERY_S:
            self.world.at(
                0.001, lambda: self._check_acknowledged(sent_at, write_id)
            )


def run_once(acknowledge: str, lag_s: float, seed: int) -> tuple:
    """Runs once.

    Returns the acknowledged writes, the number lost, the acknowledgement
    times, and the time from the failure to the next acknowledgement of a
    write that was sent after it.
    """
    world_ = world.make_world(seed, acknowledge, (lag_s, lag_s, 1.3 * lag_s))
    world_.run(STARTUP_S)
    times: list[tuple[float, float]] = []
    writers = []
    for name in list(world_.nodes)[:WRITERS]:
        writer = Writer(world_, name, times)
        writers.append(writer)
        world_.at(world_.random.random() * WRITE_INTERVAL_S, writer.send_write)
    world_.run(LOAD_S)
    group = world_.groups["ledger"]
    group.servers[group.latest_promoted].is_alive = False
    killed_at = world_.now
    world_.run(RECOVERY_S)
    for writer in writers:
        writer.is_running = False
    world_.run(1.0)
    log = set(group.servers[group.latest_promoted].log)
    acknowledged_ids = [
        w for writer in writers for w in writer.session.acknowledged
    ]
    lost = sum(w not in log for w in acknowledged_ids)
    after = [at for at, took in times if at - took > killed_at]
    return acknowledged_ids, lost, [t for _, t in times], min(after) - killed_at


def measure(acknowledge: str, lag_s: float) -> Result:
    """Returns the result over all runs."""
    acknowledged = 0
    lost = 0
    latencies_s: list[float] = []
    gaps = []
    for seed in range(RUNS):
        acknowledged_ids, run_lost, times, gap_s = run_once(
            acknowledge, lag_s, seed
        )
        acknowledged += len(acknowledged_ids)
        lost += run_lost
        latencies_s.extend(times)
        gaps.append(gap_s)
    return Result(
        acknowledged,
        lost,
        1000 * statistics.median(latencies_s),
        statistics.median(gaps),
    )


def main() -> int:
    """Measures each combination and prints a table."""
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
