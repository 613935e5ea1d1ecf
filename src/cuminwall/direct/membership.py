"""Tracks the instances of the system by their records in the store.

Each process writes a record when it starts and removes it on an orderly
shutdown. The record of a killed process stays until the next process of its
instance replaces it, or until the coordinator removes it after a long silence.
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
PEAK_KEPT_S = 30.0  # How long a higher number of instances still counts.
RETRY_S = 0.3  # Between attempts to write the record.


def record_name(instance: str) -> str:
    """Returns the name of an instance's record."""
    return RECORD_PREFIX + instance


def register(state: State, out: list[Effect]) -> None:
    """Writes this process's record, and the shared secret if none exists."""
    if state.is_shutting_down or state.has_pending_swap(SwapPurpose.REGISTER):
        return
    if not state.snapshot_count:
        # The revision of the record to replace is not known yet.
        return
    if is_current(state, state.instance, state.boot) and state.secret:
        return
    name = record_name(state.instance)
    expected = {name: state.shared_revisions.get(name, 0)}
    values = {name: _encode(state)}
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
    """Handles a change of an instance's record."""
    instance = name.removeprefix(RECORD_PREFIX)
    if value is None:
        if state.members.pop(instance, None) is not None:
            state.store_view.member_gone_at = state.now
            out.append(Note(PART, "instance_gone", {"peer": instance}))
        return
    member = _decode(instance, value, revision)
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
    """Returns among how many instances the servers' limits are divided.

    It is the recent maximum: servers may still count an instance that has
    just gone, and it is often back soon.
    """
    count = len(state.members)
    is_old = state.now - state.peak_members_at > PEAK_KEPT_S
    if count >= state.peak_members or is_old:
        state.peak_members = count
        state.peak_members_at = state.now
    return state.peak_members


def is_current(state: State, instance: str, boot: str) -> bool:
    """Returns whether a process is the latest known one of its instance."""
    member = state.members.get(instance)
    return member is not None and member.boot == boot


def process_name(instance: str, boot: str) -> str:
    """Returns the name under which a process holds shares and leases."""
    return f"{instance}@{boot}"


def other_processes(state: State) -> dict[str, str]:
    """Returns the boot of each other instance's process."""
    boots = {}
    for member in state.members.values():
        if member.instance != state.instance:
            boots[member.instance] = member.boot
    return boots


def drop_ended(state: State, boots: dict[str, str]) -> None:
    """Removes the processes that have been replaced or have left."""
    for instance, boot in list(boots.items()):
        if not is_current(state, instance, boot):
            del boots[instance]


def handle_secret(state: State, value: bytes | None, out: list[Effect]) -> None:
    """Handles the secret by which instances authenticate each other."""
    if value is None or value == state.secret:
        return
    state.secret = value
    out.append(StartPeerLinks(value))


def remove_own_record(state: State, out: list[Effect]) -> None:
    """Removes this process's record."""
    out.extend(_removal(state, record_name(state.instance)))


def remove_records(
    state: State, instances: list[str], out: list[Effect]
) -> None:
    """Removes the records of other instances."""
    for instance in instances:
        name = record_name(instance)
        if instance == state.instance:
            continue
        out.append(Note(PART, "silent_instance_removed", {"peer": instance}))
        out.extend(_removal(state, name))


def _removal(state: State, name: str) -> list[Effect]:
    """Returns the effect that removes a record if it is unchanged."""
    revision = state.shared_revisions.get(name, 0)
    if not revision:
        return []
    expected = {name: revision}
    number = state.next_number()
    removed = frozenset({name})
    return [CompareAndSwap(number, expected, {}, frozenset(), 0, removed)]


def _encode(state: State) -> bytes:
    """Returns this process's record as stored."""
    record = {
        "boot": state.boot,
        "zone": state.zone,
        "host": state.peer_host,
        "port": state.peer_port,
        "cores": state.limits.cores,
    }
    return json.dumps(record).encode()


def _decode(instance: str, value: bytes, revision: int) -> Member | None:
    """Returns the member that a record describes; None if malformed."""
    try:
        record: Any = json.loads(value)
        return Member(
            instance,
            str(record["boot"]),
            str(record["zone"]),
            str(record["host"]),
            int(record["port"]),
            revision,
            float(record.get("cores", 1.0)),
        )
    except (ValueError, KeyError, TypeError, OverflowError):
        return None
