"""Log lines about changes of primary."""

from typing import Any

from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.fleet_state import PrimaryChange
from cuminwall.direct.state import State

PART = "failover"


def add(
    state: State,
    change: PrimaryChange,
    event: str,
    fields: dict[str, Any],
    out: list[Effect],
) -> None:
    """Logs an event of a change."""
    out.append(
        Note(
            PART,
            event,
            {
                "service": change.service,
                "cause": change.cause,
                "target": change.target,
                "fence": change.fencing_token,
                "epoch": state.own_lease.epoch,
                "after_s": round(state.now - change.started_at, 3),
                **fields,
            },
        )
    )
