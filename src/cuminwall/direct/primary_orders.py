"""Orders that make a server the primary, as they stand in the store."""

import json
from typing import Any

from cuminwall.direct import change_notes, groups, log_branches, open_orders
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.fleet_state import (
    COORDINATOR_NAME,
    ChangeStep,
    PrimaryChange,
)
from cuminwall.direct.servers_state import Group, Server
from cuminwall.direct.state import State, SwapPurpose

ORDER_PREFIX = "orders/"


def handle_order(
    state: State,
    service: str,
    value: bytes | None,
    revision: int,
    out: list[Effect],
) -> None:
    """Handles an order that was read from the store."""
    if value is None:
        return
    try:
        fields: Any = json.loads(value)
        server = str(fields["server"])
        above_term = int(fields["above_term"])
        ordered_fork = log_branches.decode(fields.get("ordered_fork"))
        fork = log_branches.decode(fields.get("fork"))
        group = groups.find(state, service)
        open_orders.record_encoded(state, group, fields.get("open"))
    except (ValueError, KeyError, TypeError):
        out.append(
            Note(change_notes.PART, "malformed_order", {"service": service})
        )
        return
    groups.record_order(state, group, server, revision, out)
    if revision == group.order:
        group.order_above_term = above_term
        group.ordered_fork = ordered_fork
        group.fork = fork or group.fork


def write(
    state: State,
    group: Group,
    change: PrimaryChange,
    best: Server,
    out: list[Effect],
) -> None:
    """Writes the order that a server becomes, or stays, primary."""
    change.target = best.entry.server
    position = None if best.status is None else best.status.position
    change.above_term = groups.highest_term(group)
    change.fork = None
    if change.target != group.primary and position is not None:
        change.fork = log_branches.Fork(change.above_term, position)
    if change.target == group.ordered_primary:
        # An earlier order may have made it primary already.
        change.above_term = group.order_above_term
        change.fork = group.ordered_fork
        if change.fork is not None and position is not None:
            change.fork = log_branches.extend(change.fork, position)
    change.step = ChangeStep.WRITING_ORDER
    change.step_deadline = state.now + state.limits.promotion_retry_s
    assert state.coordinator is not None
    name = ORDER_PREFIX + group.service
    order = {
        "server": change.target,
        "above_term": change.above_term,
        "epoch": state.own_lease.epoch,
        "cause": change.cause,
        "ordered_fork": log_branches.encode(change.fork),
        "fork": log_branches.encode(group.fork),
        "open": open_orders.encode(state, group),
    }
    state.compare_and_swap(
        SwapPurpose.ORDER,
        {
            name: state.shared_revisions.get(name, 0),
            # Nobody may have taken over meanwhile.
            COORDINATOR_NAME: state.coordinator.revision,
        },
        {name: json.dumps(order).encode()},
        frozenset(),
        0,
        out,
    )
    fields = {"position": position, "log_end": change.log_end}
    change_notes.add(state, change, "chosen", fields, out)
