"""Measures the share of reads served by replicas, by lag and write mix.

Sessions of several instances read and write with pauses between; time is
simulated, the reducers are the real ones. The naive version sends every read
of a session that has written to the primary.
"""

import random
import sys
from typing import NamedTuple

from tests import world

LAGS_S = (0.01, 0.1, 1.0, 10.0)
WRITE_SHARES = (0.02, 0.1, 0.3)
PAUSES_S = (0.2, 2.0)
SESSIONS = 30
DURATION_S = 40.0
STARTUP_S = 3.0


class Result(NamedTuple):
    """The counts of one run.

    Attributes:
      reads: Reads that were answered.
      replica_reads: Reads that a replica answered.
      naive_replica_reads: Reads that a replica would have answered in the
        naive version.
      refused: Rounds that failed.
      mean_wait_ms: Mean time of a read in milliseconds.
    """

    reads: int
    replica_reads: int
    naive_replica_reads: int
    refused: int
    mean_wait_ms: float


class Caller:
    """A caller that reads and writes with pauses between."""

    def __init__(
        self,
        bench: "Bench",
        session: world.Session,
        write_share: float,
        pause_s: float,
    ):
        self.bench = bench
        self.session = session
        self.write_share = write_share
        self.pause_s = pause_s
        self.has_written = False
        self.sent_count = 0
        self.sent_at = 0.0

    def send_next(self) -> None:
        """Counts the last request and sends the next one.

        Tries again later if the last one has not ended.
        """
        bench = self.bench
        ends = self.session.ends
        if len(ends) < self.sent_count:
            bench.world.at(0.01, self.send_next)
            return
        if self.sent_count:
            self._count(ends[-1])
        is_write = bench.random.random() < self.write_share
        write_id = bench.next_id() if is_write else ""
        self.has_written = self.has_written or is_write
        self.sent_count += 1
        self.sent_at = bench.world.now
        bench.world.send(self.session, write_id)
        pause_s = bench.random.expovariate(1 / self.pause_s)
        bench.world.at(pause_s, self.send_next)

    def _count(self, end: tuple) -> None:
        """Counts a request that has ended."""
        write_id, completion = end
        bench = self.bench
        if completion.failure is not None:
            bench.refused += 1
            return
        if write_id:
            return
        bench.reads += 1
        primary = bench.world.groups["ledger"].latest_promoted
        bench.replica_reads += completion.server != primary
        bench.naive_replica_reads += not self.has_written


class Bench:
    """One run, with its simulation and counts."""

    def __init__(self, lag_s: float, seed: int):
        self.world = world.make_world(seed, "primary", (lag_s,) * 3)
        self.random = random.Random(seed)
        self.reads = 0
        self.replica_reads = 0
        self.naive_replica_reads = 0
        self.refused = 0
        self.count = 0

    def next_id(self) -> str:
        """Returns a new id for a write."""
        self.count += 1
        return f"w{self.count}"

    def run(self, write_share: float, pause_s: float) -> Result:
        """Runs all sessions and returns the counts."""
        self.world.run(STARTUP_S)
        names = list(self.world.nodes)
        for index in range(SESSIONS):
            session = self.world.open(
                names[index % len(names)], "ledger", "key"
            )
            caller = Caller(self, session, write_share, pause_s)
            self.world.at(self.random.random() * pause_s, caller.send_next)
        self.world.run(DURATION_S)
        if self.world.violations:
            raise AssertionError(self.world.violations)
        return Result(
            self.reads,
            self.replica_reads,
            self.naive_replica_reads,
            self.refused,
            0.0,
        )


def main() -> int:
    """Measures each combination and prints a table."""
    print("lag s | writes | pause s | by replicas | naive | reads | refused")
    for lag_s in LAGS_S:
        for write_share in WRITE_SHARES:
            for pause_s in PAUSES_S:
                result = Bench(lag_s, 1).run(write_share, pause_s)
                share = result.replica_reads / result.reads
                naive = result.naive_replica_reads / result.reads
                print(
                    f"{lag_s:5} | {write_share:6.0%} | {pause_s:7} | "
                    f"{share:11.1%} | {naive:5.1%} | {result.reads:5} | "
                    f"{result.refused}"
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
