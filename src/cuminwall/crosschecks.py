"""Checks of the document that involve more than one field.

They also run on values that violate the schema, and skip whatever is not of
the expected type: the schema check reports it.
"""

from collections.abc import Iterator
from typing import Any

from cuminwall.faults import Fault, Path, describe

ANY_WORKSPACE = "*"
ANY_TABLE = "*"


def check(value: dict[str, Any]) -> list[Fault]:
    """Returns every inconsistency between the fields of a document."""
    faults: list[Fault] = []
    for path, service in _items(value, "services"):
        _check_service(value, path, service, faults)
    for path, workspace in _items(value, "workspaces"):
        _check_names(value, path, workspace, "services", faults)
    for path, key in _items(value, "keys"):
        _check_name(value, path, key, "workspace", faults)
    _check_rules(value, faults)
    _check_open_routes(value, faults)
    return faults


def _section(value: dict[str, Any], name: str) -> dict[str, Any]:
    """Returns a section that is a mapping, or {} when it is not one."""
    section = value.get(name)
    return section if isinstance(section, dict) else {}


def _items(
    value: dict[str, Any], name: str
) -> Iterator[tuple[Path, dict[str, Any]]]:
    """Yields the path and content of each object of a section."""
    section = value.get(name)
    pairs: list[tuple[Any, Any]] = []
    if isinstance(section, dict):
        pairs = list(section.items())
    if isinstance(section, list):
        pairs = list(enumerate(section))
    for key, item in pairs:
        if isinstance(item, dict):
            yield (name, key), item


def _check_service(
    value: dict[str, Any],
    path: Path,
    service: dict[str, Any],
    faults: list[Fault],
) -> None:
    """Checks a service's servers, credentials and connections."""
    for server_path, server in _items(service, "servers"):
        _check_name(value, path + server_path, server, "zone", faults)
    if "password" in service and "password_env" in service:
        expected = "password or password_env, not both"
        faults.append(Fault((*path, "password_env"), "both", expected))
    reserved = service.get("reserved_connections")
    total = service.get("connections_per_server")
    if not isinstance(reserved, int) or not isinstance(total, int):
        return
    if reserved >= total:
        expected = f"less than connections_per_server ({total})"
        field_path = (*path, "reserved_connections")
        faults.append(Fault(field_path, describe(reserved), expected))


def _check_name(
    value: dict[str, Any],
    path: Path,
    item: dict[str, Any],
    field: str,
    faults: list[Fault],
) -> None:
    """Checks that the name in `field` exists in the section of its kind."""
    name = item.get(field)
    if not isinstance(name, str) or name in _section(value, field + "s"):
        return
    expected = f"the name of a {field} of this document"
    faults.append(Fault((*path, field), describe(name), expected))


def _check_names(
    value: dict[str, Any],
    path: Path,
    item: dict[str, Any],
    field: str,
    faults: list[Fault],
) -> None:
    """Checks that each name in the list `field` exists in that section."""
    names = item.get(field)
    if not isinstance(names, list):
        return
    known = _section(value, field)
    for index, name in enumerate(names):
        if not isinstance(name, str) or name in known:
            continue
        expected = f"the name of one of the {field} of this document"
        name_path = (*path, field, index)
        faults.append(Fault(name_path, describe(name), expected))


def _check_rules(value: dict[str, Any], faults: list[Fault]) -> None:
    """Checks the names in rules, and that no two rules name one table."""
    seen: dict[tuple[str, str, str], int] = {}
    for path, rule in _items(value, "rules"):
        _check_name(value, path, rule, "service", faults)
        workspace = rule.get("workspace")
        if workspace != ANY_WORKSPACE:
            _check_name(value, path, rule, "workspace", faults)
        scope = (str(rule.get("service")), str(workspace))
        _check_tables(path, rule, scope, seen, faults)


def _check_open_routes(value: dict[str, Any], faults: list[Fault]) -> None:
    """Checks the names in open routes, and that no table occurs twice."""
    seen: dict[tuple[str, str, str], int] = {}
    for path, route in _items(value, "open_routes"):
        _check_name(value, path, route, "service", faults)
        scope = (str(route.get("service")), ANY_WORKSPACE)
        _check_tables(path, route, scope, seen, faults)


def _check_tables(
    path: Path,
    item: dict[str, Any],
    scope: tuple[str, str],
    seen: dict[tuple[str, str, str], int],
    faults: list[Fault],
) -> None:
    """Checks that no earlier item of the same scope names the same table."""
    tables = item.get("tables", [ANY_TABLE])
    if not isinstance(tables, list):
        return
    index = path[-1]
    for table in tables:
        if not isinstance(table, str) or not isinstance(index, int):
            continue
        first = seen.setdefault((*scope, table), index)
        if first == index:
            continue
        found = "any table" if table == ANY_TABLE else describe(table)
        expected = f"a table that {path[0]}[{first}] does not name"
        faults.append(Fault((*path, "tables"), found, expected))
