"""The report of a run, as text."""

import collections
import statistics

from soak import measures, statement_checks
from soak.site import Options, Result
from soak.store import RANGE_PATH
from soak.timeline import Version

SHOWN = 8  # Cases and delays.


def make(options: Options, result: Result) -> list[str]:
    """Returns the lines of the report."""
    lines = [f"options: {options}"]
    for section in (
        _describe_load,
        _describe_steps,
        _describe_cases,
        _describe_statements,
        _describe_delays,
        _describe_calls,
        _describe_logs,
    ):
        lines.extend(section(result))
    return lines


def _describe_load(result: Result) -> list[str]:
    """Describes what the callers did and what the machine bore."""
    sent: collections.Counter[int] = collections.Counter()
    done: collections.Counter[int] = collections.Counter()
    codes: collections.Counter[str] = collections.Counter()
    durations: list[float] = []
    for report in result.callers:
        sent.update({int(k): v for k, v in report["sent"].items()})
        done.update({int(k): v for k, v in report["done"].items()})
        codes.update(report["codes"])
        durations.extend(report["durations_ms"])
    lags = [round(each["max_lag_s"], 3) for each in result.callers]
    refused = sum(each.refused for each in result.fleet.by_name.values())
    shed = sum(each.shed for each in result.fleet.by_name.values())
    quantiles = statistics.quantiles(durations, n=100) if durations else []
    lines = [
        f"operations sent {sum(sent.values())}, done {sum(done.values())};"
        f" done a second: median {_median(list(done.values()))}",
        "done by second: " + " ".join(str(done[s]) for s in sorted(sent)),
        f"codes: {dict(codes.most_common())}",
        f"statements checked {result.checks.statements}; servers refused"
        f" {refused} connections, shed {shed} statements; promotions"
        f" {result.fleet.promotions}",
        f"lag of stand-ins {result.max_lag_s:.3f} s, of callers {lags} s;"
        f" instances hold {result.memory_mb:.0f} MB; processor time of all"
        f" children {result.instance_cpu_s:.0f} s",
        f"instances that ended by themselves: {result.ends}",
    ]
    busiest = sorted(result.scheduling.items(), key=lambda each: -each[1].ran_s)
    for name, scheduling in busiest[:3]:
        lines.append(
            f"  {name} ran {scheduling.ran_s:.1f} s, waited for a processor"
            f" {scheduling.waited_s:.1f} s"
        )
    if quantiles:
        lines.append(f"durations ms: p50 {quantiles[49]} p99 {quantiles[98]}")
    return lines


def _describe_steps(result: Result) -> list[str]:
    """Describes the faults and the versions."""
    lines = []
    for at_s, kind, subject in result.steps:
        lines.append(f"{at_s:8.3f} {kind} {subject}")
    timeline = result.timeline
    for version in timeline.versions:
        at_s = timeline.since_start(version.acknowledged_at)
        lines.append(f"{at_s:8.3f} version {version.number}: {version.change}")
    return sorted(lines)


def _describe_cases(result: Result) -> list[str]:
    """Describes the cases."""
    cases = result.checks.cases
    in_touch = [each for each in cases if each.is_in_touch]
    lines = [
        f"CONFIG cases: {len(in_touch)} in touch, {len(cases) - len(in_touch)}"
        " not in touch"
    ]
    by_instance = collections.Counter(each.instance for each in in_touch)
    lines.append(f"by instance: {dict(by_instance.most_common(SHOWN))}")
    for case in in_touch[:SHOWN]:
        lines.append(f"  {case}")
    return lines


def _describe_statements(result: Result) -> list[str]:
    """Describes the cases of the rules on statements."""
    runs = result.records.runs
    prepared = sum(bool(run.shape) for run in runs)
    commits = result.records.commits
    lines = [
        f"statements that ran: {len(runs)}, {prepared} of them prepared;"
        f" commits in the logs: {len(commits)}"
    ]
    for rule in statement_checks.RULES:
        cases = [each for each in result.statement_cases if each.rule == rule]
        lines.append(f"{rule} cases: {len(cases)}")
        for case in cases[:SHOWN]:
            lines.append(f"  {case.what}; id {case.number}")
            lines.append(f"    sent {case.sent}")
            lines.append(f"    ran {case.ran}")
    return lines


def _describe_delays(result: Result) -> list[str]:
    """Describes when versions came into force, and traces the latest."""
    delays = measures.find_delays(result.timeline, result.logs, result.ended_at)
    calm = [each for each in delays if not each.is_impaired]
    lines = []
    if calm:
        worst = max(calm, key=lambda each: each.delay_s)
        lines.append(f"longest delay without impairment: {worst}")
    if not delays:
        return lines
    latest = max(delays, key=lambda each: each.late_s)
    lines.append(f"latest by the rule, with impairments: {latest}")
    longest = max(delays, key=lambda each: each.delay_s)
    lines.append(f"longest delay of all: {longest}")
    for version in result.timeline.versions:
        of_version = [e for e in delays if e.version == version.number]
        if of_version:
            lines.append(_describe_version(result, version, of_version))
    for delay in {latest, longest}:
        version = _find_version(result, delay.version)
        lines.append(f"trace of {delay}")
        lines.extend(
            measures.trace(
                result.timeline,
                delay.instance,
                version,
                version.acknowledged_at + delay.delay_s,
                result.store.follows[delay.instance],
                result.logs[delay.instance],
            )
        )
    return lines


def _describe_version(
    result: Result, version: Version, delays: list[measures.Delay]
) -> str:
    worst = max(delays, key=lambda each: each.delay_s)
    values = [each.delay_s for each in delays]
    at_s = result.timeline.since_start(version.acknowledged_at)
    return (
        f"{at_s:8.3f} version {version.number} in force after: median"
        f" {_median(values)} s, max {worst.delay_s} s at {worst.instance}"
        f"{', impaired' if worst.is_impaired else ''}"
    )


def _find_version(result: Result, number: int) -> Version:
    for version in result.timeline.versions:
        if version.number == number:
            return version
    raise KeyError(number)


def _describe_calls(result: Result) -> list[str]:
    """Describes the calls to the store."""
    follows = result.store.follows
    gaps = measures.find_gaps(result.timeline, follows)
    arrivals = measures.find_arrival_gaps(result.timeline, follows)
    gaps.sort(key=lambda each: -each.length_s)
    arrivals.sort(key=lambda each: -each.length_s)
    lines = [f"calls to the store: {dict(result.store.call_counts)}"]
    peaks = list(result.store.counts_by_second.values())
    lines.append(
        f"most a second: {max(each[0] for each in peaks):.0f} writes,"
        f" {max(each[1] for each in peaks):.0f} reads; refused as too many"
        f" {result.store.refusals}"
    )
    lines.append("longest times without a call for changes at the store:")
    for gap in gaps[:SHOWN]:
        at_s = result.timeline.since_start(gap.at)
        lines.append(f"  {gap.length_s} s from {at_s} at {gap.instance}")
    worst = [0.0] * len(follows)
    for index, instance in enumerate(follows):
        own = [g.length_s for g in gaps if g.instance == instance]
        worst[index] = max(own, default=0.0)
    lines.append(f"  of each instance the longest: median {_median(worst)} s")
    lines.append("longest times between two calls for changes:")
    for gap in arrivals[:SHOWN]:
        at_s = result.timeline.since_start(gap.at)
        lines.append(f"  {gap.length_s} s from {at_s} at {gap.instance}")
    doubts = measures.find_doubts(result.timeline, follows, result.logs)
    doubts.sort(key=lambda each: -each.length_s)
    lengths = [gap.length_s for gap in doubts]
    lines.append(
        f"doubts: {len(doubts)}; until the next call: median"
        f" {_median(lengths)} s; longest:"
    )
    for gap in doubts[:SHOWN]:
        at_s = result.timeline.since_start(gap.at)
        lines.append(f"  {gap.length_s} s from {at_s} at {gap.instance}")
    cancelled = 0
    reads = 0
    for calls in follows.values():
        for call in calls:
            if call.began_at < result.timeline.began_at:
                continue
            cancelled += call.outcome == "lost"
            reads += call.path == RANGE_PATH
    lines.append(f"calls for changes given up: {cancelled}; reads: {reads}")
    return lines


def _describe_logs(result: Result) -> list[str]:
    """Describes what the instances logged."""
    counts: collections.Counter[str] = collections.Counter()
    malformed: list[str] = []
    for log in result.logs.values():
        counts.update(log.counts)
        malformed.extend(log.malformed)
    lines = [f"log lines: {dict(counts.most_common())}"]
    lines.append(f"lines that are not JSON: {len(malformed)}")
    lines.extend(malformed[:SHOWN])
    return lines


def _median(values: list[float] | list[int]) -> float:
    return round(statistics.median(values), 3) if values else 0.0
