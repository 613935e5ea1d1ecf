"""Single edits of a document, shared by cuminctl and the console.

An edit never modifies the document that it is given.
"""

from typing import Any, cast

from cuminwall.document import Document
from cuminwall.faults import Fault, Path, describe
from cuminwall.keys import NewKey

EditResult = Document | Fault


def set_zone_state(value: Document, zone: str, state: str) -> EditResult:
    """Returns the document with the state of an availability zone set."""
    return _set_field(value, ("zones", zone), "state", state)


def set_server_state(
    value: Document, service: str, server: str, state: str
) -> EditResult:
    """Returns the document with the state of a backend server set."""
    path = ("services", service, "servers", server)
    return _set_field(value, path, "state", state)


def add_key(value: Document, workspace: str, key: NewKey) -> EditResult:
    """Returns the document with a new key."""
    if workspace not in value["workspaces"]:
        return _unknown(("workspaces", workspace))
    item = {"workspace": workspace, "verifier": key.verifier}
    return _set_field(value, ("keys",), key.key_id, item)


def withdraw_key(value: Document, key_id: str) -> EditResult:
    """Returns the document without a key."""
    if key_id not in value["keys"]:
        return _unknown(("keys", key_id))
    remaining = dict(value["keys"])
    del remaining[key_id]
    return cast(Document, {**value, "keys": remaining})


def _unknown(path: Path) -> Fault:
    """Returns the fault for a name that the configuration does not contain."""
    expected = "a name that the configuration contains"
    return Fault(path, describe(path[-1]), expected)


def _set_field(value: Any, path: tuple[str, ...], name: str, new: Any) -> Any:
    """Returns a copy in which a field of the object at `path` is set."""
    root = dict(value)
    node = root
    for index, part in enumerate(path):
        if part not in node:
            return _unknown(path[: index + 1])
        node[part] = dict(node[part])
        node = node[part]
    node[name] = new
    return root
