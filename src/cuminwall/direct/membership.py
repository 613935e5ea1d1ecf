"""The instances of the system, as they stand in the store.

Each process writes a line when it starts and removes it when it ends in
order. The line of a process that was killed stays until the next process of
its instance replaces it, or the coordinator has not heard of it for long.
"""

import json
from typing import Any

from cuminwall.direct.effects import (
    CompareAndSwap,
    Effect,
    Note,
    StartPeerLinks,
)
from cuminwall.direct.fleet_state import Member
from cuminwall.direct.state import State, SwapPurpose, TimerKind

PART = "membership"

RECORD_PREFIX = "instances/"
SECRET_NAME = "secret"
COUNT_KEPT_S = 30.0  # How long a higher number of instances counts.
RETRY_S = 0.3  # Between two tries to write the line.


def record_name(instance: str) -> str:
    """Returns the name of an instance's line."""
    return RECORD_PREFIX + instance


def register(state: State, out: list[Effect]) -> None:
    """Writes this process's line, and the fleet's secret if there is none."""
    if state.is_shutting_down or state.has_pending_swap(SwapPurpose.REGISTER):
        return
    if not state.snapshot_count:
        # What stands in its place is not known yet.
        return
    own = state.members.get(state.instance)
    if own is not None and own.boot == state.boot and state.secret:
        return
    name = record_name(state.instance)
    expected = {name: state.shared_revisions.get(name, 0)}
    values = {name: _line(state)}
    if not state.secret:
        expected[SECRET_NAME] = 0
        values[SECRET_NAME] = state.secret_candidate
    state.compare_and_swap(
        SwapPurpose.REGISTER, expected, values, frozenset(), 0, out
    )
    state.set_timer(state.now + RETRY_S, TimerKind.MEMBERSHIP)


def handle_record(
    state: State,
    name: str,
    value: bytes | None,
    revision: int,
    out: list[Effect],
) -> None:
    """Takes in an instance's line."""
    instance = name.removeprefix(RECORD_PREFIX)
    if value is None:
        if state.members.pop(instance, None) is not None:
            out.append(Note(PART, "instance_gone", {"peer": instance}))
        return
    member = _member(instance, value, revision)
    if member is None:
        out.append(Note(PART, "malformed_line", {"peer": instance}))
        return
    known = state.members.get(instance)
    state.members[instance] = member
    count_members(state)
    if known is None or known.boot != member.boot:
        out.append(
            Note(
                PART,
                "instance_seen",
                {
                    "peer": instance,
                    "boot": member.boot,
                    "zone": member.zone,
                    "revision": revision,
                },
            )
        )


def count_members(state: State) -> int:
    """Returns how many instances to reckon with.

    One that has just gone may still be counted by the servers, and is often
    back soon; so the most of the last while counts.
    """
    count = len(state.members)
    is_old = state.now - state.peak_members_at > COUNT_KEPT_S
    if count >= state.peak_members or is_old:
        state.peak_members = count
        state.peak_members_at = state.now
    return state.peak_members


def handle_secret(state: State, value: bytes | None, out: list[Effect]) -> None:
    """Takes in the secret by which instances know each other."""
    if value is None or value == state.secret:
        return
    state.secret = value
    out.append(StartPeerLinks(value))


def remove_own_record(state: State, out: list[Effect]) -> None:
    """Removes this process's line."""
    out.extend(_removal(state, record_name(state.instance)))


def remove_records(
    state: State, instances: list[str], out: list[Effect]
) -> None:
    """Removes the lines of other instances."""
    for instance in instances:
        name = record_name(instance)
        if instance == state.instance:
            continue
        out.append(Note(PART, "silent_instance_removed", {"peer": instance}))
        out.extend(_removal(state, name))


def _removal(state: State, name: str) -> list[Effect]:
    """Returns what removes a line, if it stands as it was seen."""
    revision = state.shared_revisions.get(name, 0)
    if not revision:
        return []
    expected = {name: revision}
    number = state.next_number()
    removed = frozenset({name})
    return [CompareAndSwap(number, expected, {}, frozenset(), 0, removed)]


def _line(state: State) -> bytes:
    """Returns this process's line."""
    line = {
        "boot": state.boot,
        "zone": state.zone,
        "host": state.peer_host,
        "port": state.peer_port,
    }
    return json.dumps(line).encode()


def _member(instance: str, value: bytes, revision: int) -> Member | None:
    """Returns the member that a line tells; None if it is malformed."""
    try:
        line: Any = json.loads(value)
        return Member(
            instance,
            str(line["boot"]),
            str(line["zone"]),
            str(line["host"]),
            int(line["port"]),
            revision,
        )
    except (ValueError, KeyError, TypeError):
        return None
