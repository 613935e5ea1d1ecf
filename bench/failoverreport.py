"""Evaluates measured failovers: comparison, figures and table."""

import collections
import itertools
import statistics
from typing import Any, NamedTuple

from bench import callers, daemonlogs

TARGET_MEDIAN_S = 2.0
TARGET_WORST_S = 9.0


class RunResult(NamedTuple):
    """The result of one failover.

    Attributes:
      kind: How the primary failed.
      gap_s: The longest time without a successful write.
      longest_s: The longest duration of a write, successful or not.
      parts: How long each phase took.
      told: The number of writes by the outcome that was reported.
      reasons: The number of writes by reason of failure.
      lost: Writes reported as done that are not in the table.
      repeated: Writes that are in the table more than once.
      untrue: Writes reported as not run or failed that are in the table.
      fault: What went wrong in the run itself, or "".
    """

    kind: str
    gap_s: float
    longest_s: float
    parts: daemonlogs.Parts
    told: dict[str, int]
    reasons: dict[str, int]
    lost: list[int]
    repeated: list[int]
    untrue: list[int]
    fault: str


def longest_gap(
    requests: list[callers.Request], fault_at: float
) -> tuple[float, float]:
    """Returns the longest time without a success after a fault, and its end."""
    done = []
    for request in requests:
        if request.outcome is callers.Outcome.DONE:
            done.append(request.ended_at)
    done.sort()
    gap_s, ended_at = 0.0, fault_at
    for before, after in itertools.pairwise(done):
        if after > fault_at and after - before > gap_s:
            gap_s, ended_at = after - before, after
    return gap_s, ended_at


def compare(
    requests: list[callers.Request], stored: collections.Counter[int]
) -> tuple[list[int], list[int], list[int]]:
    """Returns the lost, the repeated and the untrue writes.

    `RunResult` says which those are.
    """
    lost, untrue = [], []
    for request in requests:
        count = stored[request.number]
        if request.outcome is callers.Outcome.DONE and not count:
            lost.append(request.number)
        if request.outcome in (callers.Outcome.NOT_RUN, callers.Outcome.FAILED):
            if count:
                untrue.append(request.number)
    repeated = [number for number, count in stored.items() if count > 1]
    return lost, repeated, untrue


def summarize(results: list[RunResult]) -> dict[str, Any]:
    """Returns the figures over all runs and by kind."""
    kinds = {"all": results}
    for result in results:
        kinds.setdefault(result.kind, []).append(result)
    return {kind: summarize_kind(runs) for kind, runs in kinds.items()}


def summarize_kind(results: list[RunResult]) -> dict[str, Any]:
    """Returns the figures of a group of runs."""
    gaps = sorted(result.gap_s for result in results)
    told: collections.Counter[str] = collections.Counter()
    for result in results:
        told.update(result.told)
    parts = {}
    for name in daemonlogs.Parts._fields:
        values = [getattr(result.parts, name) for result in results]
        measured = [value for value in values if value is not None]
        parts[name] = (
            round(statistics.median(measured), 3) if measured else None
        )
    return {
        "runs": len(results),
        "median_s": round(statistics.median(gaps), 3),
        "p90_s": gaps[max(0, -(-9 * len(gaps) // 10) - 1)],
        "worst_s": gaps[-1],
        "longest_write_s": max(result.longest_s for result in results),
        "told": dict(told),
        "parts_median_s": parts,
        "lost": sum(len(result.lost) for result in results),
        "repeated": sum(len(result.repeated) for result in results),
        "untrue": sum(len(result.untrue) for result in results),
        "faults": [result.fault for result in results if result.fault],
    }


def print_table(summary: dict[str, Any]) -> None:
    """Prints the figures as a table."""
    base = summary.get("kill", summary["all"])["median_s"]
    heads = (
        "runs",
        "median",
        "p90",
        "worst",
        "longest",
        "x kill",
        "lost",
        "twice",
    )
    print(f"{'kind':20}" + "".join(f"{head:>8}" for head in heads), end="")
    print(f"{'untrue':>8}  detect/fence/promote/spread")
    for kind, row in summary.items():
        names = ("median_s", "p90_s", "worst_s", "longest_write_s")
        numbers = [row[name] for name in names]
        print(f"{kind:20}{row['runs']:8}", end="")
        print("".join(f"{number:8.2f}" for number in numbers), end="")
        print(f"{row['median_s'] / base:8.2f}{row['lost']:8}", end="")
        parts = "/".join(str(x) for x in row["parts_median_s"].values())
        print(f"{row['repeated']:8}{row['untrue']:8}  {parts}")
    total = summary["all"]
    print(f"told: {total['told']}")
    print(f"median {total['median_s']:.2f} s of target {TARGET_MEDIAN_S} s")
    print(f"worst {total['worst_s']:.2f} s of target {TARGET_WORST_S} s")
