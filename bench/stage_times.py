"""Summarizes how long operations were in each stage, from log lines.

Reads the lines of all instances from standard input; text before a line's JSON
object is ignored. Prints the quantiles of each stage of the statements that
were run, the share of them that opened a connection, and how often each cause
of a failure occurred.
"""

import collections
import json
import sys
from collections.abc import Iterable
from typing import Any

STAGES = ("token_ms", "connection_ms", "server_ms", "ms")
QUANTILES = (0.5, 0.75, 0.9, 0.99)
MAX_CAUSES = 12  # Of failures that are printed.


def read_answers(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Returns the fields of the lines about answered statements."""
    found = []
    for line in lines:
        start = line.find("{")
        if start < 0 or '"answered"' not in line:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            # The output of a process that was killed ends within a line.
            continue
        if fields.get("event") == "answered" and "outcome" in fields:
            found.append(fields)
    return found


def quantile(values: list[float], fraction: float) -> float:
    """Returns a quantile of values; 0 if there are none."""
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]


def summarize(answers: list[dict[str, Any]]) -> list[str]:
    """Returns the lines of the summary."""
    lines = []
    done = [each for each in answers if each["outcome"] == "done"]
    lines.append(f"{len(answers)} answered, {len(done)} done")
    for stage in STAGES:
        values = [each[stage] for each in done if stage in each]
        quantiles = []
        for fraction in QUANTILES:
            value = quantile(values, fraction)
            quantiles.append(f"p{100 * fraction:.0f} {value:.1f}")
        lines.append(f"{stage:14} {'  '.join(quantiles)}")
    opened = sum(1 for each in done if each.get("opened"))
    lines.append(f"opened a connection: {opened / max(1, len(done)):.3f}")
    causes: collections.Counter[str] = collections.Counter()
    for each in answers:
        if each["outcome"] != "done":
            cause = str(each.get("cause", "")).partition(";")[0]
            causes[f"{each['outcome']}: {cause}"] += 1
    for cause, count in causes.most_common(MAX_CAUSES):
        lines.append(f"{count:7} {cause}")
    return lines


def main() -> None:
    """Prints the summary of standard input."""
    print("\n".join(summarize(read_answers(sys.stdin))))


if __name__ == "__main__":
    main()
