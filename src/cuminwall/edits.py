"""Small changes of a document, each the same for the tool and the console.

An edit never changes the document that it is given.
"""

from typing import Any, cast

from cuminwall.document import Document
from cuminwall.faults import Fault, Path, describe
from cuminwall.keys import NewKey

EditResult = Document | Fault


def set_zone_state(value: Document, zone: str, state: str) -> EditResult:
    """Returns the document with an availability zone out or serving."""
    return _set_field(value, ("zones", zone), "state", state)


def set_server_state(
    value: Document, service: str, server: str, state: str
) -> EditResult:
    """Returns the document with a backend server out or serving."""
    path = ("services", service, "servers", server)
    return _set_field(value, path, "state", state)


def add_key(value: Document, workspace: str, key: NewKey) -> EditResult:
    """Returns the document with a new key."""
    if workspace not in value["workspaces"]:
        return _unknown(("workspaces", workspace))
    added = {"workspace": workspace, "verifier": key.verifier}
    return _set_field(value, ("keys",), key.key_id, added)


def withdraw_key(value: Document, key_id: str) -> EditResult:
    """Returns the document without a key."""
    if key_id not in value["keys"]:
        return _unknown(("keys", key_id))
    left = dict(value["keys"])
    del left[key_id]
    return cast(Document, {**value, "keys": left})


def _unknown(path: Path) -> Fault:
    """Returns the fault of a name that the configuration does not hold."""
    expected = "a name that the configuration holds"
    return Fault(path, describe(path[-1]), expected)


def _set_field(value: Any, path: tuple[str, ...], name: str, new: Any) -> Any:
    """Returns a copy in which the object at `path` has the field changed."""
    root = dict(value)
    place = root
    for index, part in enumerate(path):
        if part not in place:
            return _unknown(path[: index + 1])
        place[part] = dict(place[part])
        place = place[part]
    place[name] = new
    return root
