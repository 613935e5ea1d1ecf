"""Applies a single edit to the configuration in force."""

import secrets
import time
from collections.abc import Callable

from cuminwall import configapply, configstore
from cuminwall.configapply import ApplyResult, ChangedBy, Refused, StoreDown
from cuminwall.document import Document
from cuminwall.edits import Edited
from cuminwall.exceptions import StoreUnavailableError
from cuminwall.faults import Fault
from cuminwall.ports import StorePort

ATTEMPTS = 5
WRITE_ID_BYTES = 8


def make_origin(base_version: int, author: str) -> configapply.Origin:
    """Returns the metadata of a change that is made now."""
    write_id = secrets.token_hex(WRITE_ID_BYTES)
    return configapply.Origin(base_version, author, write_id, time.time())


async def change(
    store: StorePort, edit: Callable[[Document], Edited], author: str
) -> ApplyResult:
    """Applies `edit` to the document in force.

    An edit changes only one item, so when another change is applied first,
    the edit is retried on top of it.
    """
    result: ApplyResult = StoreDown(may_be_applied=False)
    for _ in range(ATTEMPTS):
        try:
            snapshot = await configstore.load(store)
        except StoreUnavailableError:
            return StoreDown(may_be_applied=False)
        edited = edit(snapshot.document)
        if isinstance(edited, Fault):
            return Refused([edited])
        metadata = make_origin(snapshot.head.version, author)
        result = await configapply.apply(store, edited, metadata)
        if not isinstance(result, ChangedBy):
            return result
    return result
