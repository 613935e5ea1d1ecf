"""What `cuminctl` prints, and the exit code that goes with it."""

import time
from collections.abc import Iterable, Mapping
from functools import singledispatch
from typing import Any, NamedTuple

from cuminwall.configapply import Applied, Conflict, Refused, StoreUnavailable
from cuminwall.confighead import Change
from cuminwall.fleet import InstanceStatus, RolloutStatus
from cuminwall.ports import InstanceRecord

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_FAULTS = 2
EXIT_STORE_UNAVAILABLE = 3

STORE_UNAVAILABLE_TEXT = "the platform's store gives no answer"


class Report(NamedTuple):
    """How a command ended.

    Attributes:
      code: The exit code.
      text: What was asked for, for the standard output.
      note: What else there is to say, for the standard error.
    """

    code: int
    text: str
    note: str = ""


@singledispatch
def make_report(result: Any) -> Report:
    """Returns the report of the result of a command."""
    raise NotImplementedError(type(result))


@make_report.register
def _(result: Applied) -> Report:
    return Report(EXIT_OK, f"accepted as version {result.version}")


@make_report.register
def _(result: Conflict) -> Report:
    lines = [
        f"changed by another: version {result.version} "
        f"by {result.author} is in force; nothing was applied"
    ]
    for change in result.changes:
        lines.append(format_change(change))
    return Report(EXIT_REFUSED, "", "\n".join(lines))


@make_report.register
def _(result: Refused) -> Report:
    return Report(EXIT_FAULTS, "", format_faults(result.faults))


@make_report.register
def _(result: StoreUnavailable) -> Report:
    effect = "nothing was applied"
    if result.may_be_applied:
        effect = (
            "the change may be in force or not; look with `cuminctl history` "
            "when the store answers again"
        )
    return Report(
        EXIT_STORE_UNAVAILABLE, "", f"{STORE_UNAVAILABLE_TEXT}; {effect}"
    )


@make_report.register
def _(result: RolloutStatus) -> Report:
    lines = [f"in force on {len(result.reached)} instances"]
    for status in result.missing:
        lines.append(f"  not confirmed: {_name(status.record)}: {_why(status)}")
    if not result.is_listed:
        lines.append("the instance list gives no answer")
        return Report(EXIT_STORE_UNAVAILABLE, "", "\n".join(lines))
    if not result.reached and not result.missing:
        lines = ["the instance list is empty: nothing is confirmed"]
    if not result.is_complete:
        return Report(EXIT_REFUSED, "", "\n".join(lines))
    return Report(EXIT_OK, "\n".join(lines))


def format_faults(faults: Iterable[Any]) -> str:
    """Returns one line for each fault."""
    return "\n".join(str(fault) for fault in faults)


def format_change(change: Change) -> str:
    """Returns a change and its differences as lines."""
    when = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(change.time_s))
    lines = [f"version {change.version} by {change.author}, {when}"]
    for difference in change.differences:
        lines.append(f"  {difference}")
    if change.omitted:
        lines.append(f"  and {change.omitted} more")
    return "\n".join(lines)


def _name(record: InstanceRecord) -> str:
    """Returns how an instance is named in a line."""
    return f"{record.instance} ({record.zone}, {record.host})"


def _why(status: InstanceStatus) -> str:
    """Returns why an instance does not count as reached."""
    if status.report is None:
        return f"not reached, {status.failure}"
    return f"at version {status.version}"


def format_status(statuses: Iterable[InstanceStatus]) -> str:
    """Returns the state of the instances and of the database groups."""
    lines = ["instances"]
    groups: list[str] = []
    for status in statuses:
        name = _name(status.record)
        if status.report is None:
            lines.append(f"  {name}: not reached, {status.failure}")
            continue
        lines.append(f"  {name}: {_instance_line(status)}")
        for group in status.report.get("groups", []):
            groups.extend(_group_lines(status.record.instance, group))
    return "\n".join([*lines, "database groups", *groups])


def _instance_line(status: InstanceStatus) -> str:
    """Returns what an instance says of itself."""
    said: Mapping[str, Any] = status.report or {}
    parts = [f"version {status.version}"]
    if "sessions" in said:
        parts.append(f"{said['sessions']} sessions")
    if said.get("draining") or status.record.leaving:
        parts.append("leaving")
    if said.get("stewardships"):
        held = ", ".join(str(shard) for shard in said["stewardships"])
        parts.append(f"steward of {held}")
    return ", ".join(parts)


def _group_lines(instance: str, group: Mapping[str, Any]) -> list[str]:
    """Returns a database group as one instance sees it."""
    lines = [
        f"  {group.get('service')} on {instance}: term {group.get('term')}, "
        f"primary {group.get('primary') or 'none'}, "
        f"write lease {group.get('lease_s')} s"
    ]
    for server in group.get("servers", []):
        lines.append(f"    {_server_line(server)}")
    return lines


def _server_line(server: Mapping[str, Any]) -> str:
    """Returns a backend server as one instance sees it."""
    role = "replica" if server.get("in_recovery") else "primary"
    parts = [f"{server.get('server')} ({server.get('zone')})"]
    parts.append(role if server.get("reachable") else "not reached")
    if server.get("out"):
        parts.append("out")
    if server.get("age_s") is not None:
        parts.append(f"lag {server['age_s']} s")
    parts.append(f"position {server.get('lsn')}")
    return ", ".join(parts)
