"""Measures of a run: when versions came into force, and calls to the store."""

import math
from typing import NamedTuple

from soak import logs
from soak.store import Follow
from soak.timeline import EVERYONE, Timeline, Version

CONTEXT_S = 2.0  # Shown before and after in a trace.


class Delay(NamedTuple):
    """How long it took until a version was in force at an instance.

    Attributes:
      version: The version.
      instance: The instance.
      delay_s: Since its acknowledgement.
      late_s: Beyond the time that the rule allows; negative if in time.
      is_impaired: Whether the store or the instance was impaired between the
        contact time before the acknowledgement and then.
    """

    version: int
    instance: str
    delay_s: float
    late_s: float
    is_impaired: bool


class Gap(NamedTuple):
    """A time in which an instance had no call for changes at the store.

    Attributes:
      instance: The instance.
      at: When the call before ended.
      length_s: Until the next one arrived.
    """

    instance: str
    at: float
    length_s: float


def find_delays(
    timeline: Timeline,
    by_instance: dict[str, logs.Log],
    ended_at: float,
) -> list[Delay]:
    """Returns the delays of all versions written since the start.

    A version that was not in force when the run ended has a delay until then,
    and is left out if that is shorter than the rule allows.
    """
    delays = []
    for version in timeline.versions:
        if version.sent_at < timeline.began_at:
            continue
        for instance, log in by_instance.items():
            in_force = logs.find_in_force(log, version.number, version.sent_at)
            due_at = timeline.find_due_at(instance, version)
            if math.isinf(due_at):
                continue
            if in_force is None and ended_at < due_at:
                continue
            at = ended_at if in_force is None else in_force
            delays.append(
                Delay(
                    version.number,
                    instance,
                    round(at - version.acknowledged_at, 3),
                    round(at - due_at, 3),
                    _is_impaired(timeline, instance, version, at),
                )
            )
    return delays


def find_doubts(
    timeline: Timeline,
    follows: dict[str, list[Follow]],
    by_instance: dict[str, logs.Log],
) -> list[Gap]:
    """Returns how long it took from each doubt to the next call for changes."""
    gaps = []
    for instance, log in by_instance.items():
        for line in log.lines:
            if line.part != "store" or line.event != "in_doubt":
                continue
            for call in follows[instance]:
                if call.began_at >= line.at:
                    length_s = round(call.began_at - line.at, 3)
                    gaps.append(Gap(instance, line.at, length_s))
                    break
    return [gap for gap in gaps if gap.at >= timeline.began_at]


def find_gaps(
    timeline: Timeline, follows: dict[str, list[Follow]]
) -> list[Gap]:
    """Returns the times without a call for changes, of running instances."""
    gaps = []
    for instance, calls in follows.items():
        for before, after in zip(calls, calls[1:], strict=False):
            ended_at = before.ended_at
            if ended_at is None or ended_at < timeline.began_at:
                continue
            if _was_down(timeline, instance, ended_at, after.began_at):
                continue
            length_s = round(after.began_at - ended_at, 3)
            gaps.append(Gap(instance, ended_at, length_s))
    return gaps


def find_arrival_gaps(
    timeline: Timeline, follows: dict[str, list[Follow]]
) -> list[Gap]:
    """Returns the times between two calls for changes of each instance."""
    gaps = []
    for instance, calls in follows.items():
        for before, after in zip(calls, calls[1:], strict=False):
            if before.began_at < timeline.began_at:
                continue
            length_s = round(after.began_at - before.began_at, 3)
            gaps.append(Gap(instance, before.began_at, length_s))
    return gaps


def trace(
    timeline: Timeline,
    instance: str,
    version: Version,
    until: float,
    follows: list[Follow],
    log: logs.Log,
) -> list[str]:
    """Returns what an instance did until a version was in force."""
    since = version.sent_at - CONTEXT_S
    until += CONTEXT_S
    lines = []
    for follow in follows:
        ended_at = follow.ended_at
        if follow.began_at > until:
            continue
        if ended_at is not None and ended_at < since:
            continue
        end = "-" if ended_at is None else timeline.since_start(ended_at)
        text = f"call {follow.path} wait {follow.wait_s} until {end}"
        lines.append((follow.began_at, f"{text} {follow.outcome}"))
    for line in log.lines:
        if since <= line.at <= until:
            text = f"log {line.part} {line.event} {line.fields}"
            lines.append((line.at, text))
    for each in timeline.versions:
        if since <= each.sent_at <= until:
            text = f"version {each.number}: {each.change}"
            lines.append((each.acknowledged_at, text))
    for impairment in timeline.impairments:
        if impairment.subject not in (EVERYONE, instance):
            continue
        if impairment.began_at <= until and impairment.ended_at >= since:
            lines.append((impairment.began_at, f"{impairment.kind} begins"))
            lines.append((impairment.ended_at, f"{impairment.kind} ends"))
    result = []
    for at, text in sorted(lines):
        result.append(f"{timeline.since_start(at):8.3f} {instance} {text}")
    return result


def _is_impaired(
    timeline: Timeline, instance: str, version: Version, until: float
) -> bool:
    """Returns whether an impairment touches the time until `until`."""
    if not timeline.is_in_touch(instance, version.acknowledged_at):
        return True
    for impairment in timeline.impairments:
        if impairment.subject not in (EVERYONE, instance):
            continue
        if version.acknowledged_at <= impairment.began_at <= until:
            return True
    return False


def _was_down(
    timeline: Timeline, instance: str, since: float, until: float
) -> bool:
    """Returns whether an instance was killed or paused in a time."""
    for impairment in timeline.impairments:
        if impairment.subject != instance:
            continue
        if impairment.began_at <= until and impairment.ended_at >= since:
            return True
    return False
