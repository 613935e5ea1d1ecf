"""Applies one small edit to whatever configuration is in force."""

import secrets
import time
from collections.abc import Callable

from cuminwall import configapply, configstore
from cuminwall.configapply import (
    ApplyResult,
    Conflict,
    Refused,
    StoreUnavailable,
)
from cuminwall.document import Document
from cuminwall.edits import EditResult
from cuminwall.exceptions import StoreUnavailableError
from cuminwall.faults import Fault
from cuminwall.ports import StorePort

MAX_ATTEMPTS = 5
WRITE_ID_BYTES = 8


def make_change_metadata(
    base_version: int, author: str
) -> configapply.ChangeMetadata:
    """Returns the origin of a change that is made now."""
    write_id = secrets.token_hex(WRITE_ID_BYTES)
    return configapply.ChangeMetadata(
        base_version, author, write_id, time.time()
    )


async def apply_edit(
    store: StorePort, edit: Callable[[Document], EditResult], author: str
) -> ApplyResult:
    """Applies `edit` to the document in force.

    An edit names one thing only, so when another change comes first it is
    made again on top of that one.
    """
    result: ApplyResult = StoreUnavailable(may_be_applied=False)
    for _ in range(MAX_ATTEMPTS):
        try:
            snapshot = await configstore.load(store)
        except StoreUnavailableError:
            return StoreUnavailable(may_be_applied=False)
        edited = edit(snapshot.document)
        if isinstance(edited, Fault):
            return Refused([edited])
        origin = make_change_metadata(snapshot.head.version, author)
        result = await configapply.apply(store, edited, origin)
        if not isinstance(result, Conflict):
            return result
    return result
