"""The configuration in force: a document made immutable and fast to look up.

`parse` expects a document that `cuminwall.document.check` has passed.
"""

import operator
from collections.abc import Callable, Mapping
from typing import NamedTuple, TypeVar

from cuminwall import document, staleness
from cuminwall.document import (
    Document,
    KeyDocument,
    ServerDocument,
    ServiceDocument,
    WorkspaceDocument,
    ZoneDocument,
)
from cuminwall.work import KeyEntry

Source = TypeVar("Source")
Parsed = TypeVar("Parsed")


class Server(NamedTuple):
    """A backend server.

    Attributes:
      name: Its id within the service.
      host: Its host, an IP number or a name.
      port: Its port.
      zone: Its availability zone.
      serving: Whether the operators let it serve.
    """

    name: str
    host: str
    port: int
    zone: str
    serving: bool


class Service(NamedTuple):
    """A database service.

    Attributes:
      name: The name that callers give as their database.
      servers: Its backend servers by id.
      database: The name of the database on the backend servers.
      user: The daemon's own user on the backend servers.
      password: The daemon's own password, or "".
      password_env: The environment variable that holds it, or "".
      connections_per_server: Connections to one server from all instances.
      reserved_connections: How many of them are kept for the daemons' own
        probes and promotions.
      slots: How many of its servers an instance may hold open at a time.
      acknowledge: Who must have a write before it is acknowledged.
      home_count_per_zone: How many instances of a zone hold connections.
    """

    name: str
    servers: Mapping[str, Server]
    database: str
    user: str
    password: str
    password_env: str
    connections_per_server: int
    reserved_connections: int
    slots: int
    acknowledge: str
    home_count_per_zone: int


class Workspace(NamedTuple):
    """A workspace.

    Attributes:
      name: Its name.
      rate: Requests a second, over all instances.
      burst: Requests that may come at once, over all instances.
      services: The services that it may use; None means all.
      keys_grace_s: Seconds beyond the freshness bound for which its requests
        go on while an instance cannot confirm its configuration.
    """

    name: str
    rate: float
    burst: float
    services: frozenset[str] | None
    keys_grace_s: float


class Configuration(NamedTuple):
    """One version of the configuration.

    Attributes:
      version: The version; 0 means that there is none yet.
      zones: Whether each availability zone serves.
      workspaces: The workspaces by name.
      services: The services by name.
      keys: The keys in force by id.
      age_limits: The rules on the age of data, by service and workspace.
      open_tables: What may be read without a key by service; None means all
        its tables.
    """

    version: int
    zones: Mapping[str, bool]
    workspaces: Mapping[str, Workspace]
    services: Mapping[str, Service]
    keys: Mapping[str, KeyEntry]
    age_limits: Mapping[tuple[str, str], staleness.AgeLimits]
    open_tables: Mapping[str, frozenset[str] | None]

    def is_zone_serving(self, zone: str) -> bool:
        """Returns whether `zone` may get new work; an unknown one may not."""
        return self.zones.get(zone, False)

    def is_server_serving(self, service: str, server: str) -> bool:
        """Returns whether a backend server and its zone may get new work."""
        entry = self.services.get(service)
        if entry is None or server not in entry.servers:
            return False
        found = entry.servers[server]
        return found.serving and self.is_zone_serving(found.zone)

    def may_use(self, workspace: str, service: str) -> bool:
        """Returns whether `workspace` may use `service`."""
        entry = self.workspaces.get(workspace)
        if entry is None or service not in self.services:
            return False
        return entry.services is None or service in entry.services

    def has_open_route(self, service: str) -> bool:
        """Returns whether anything of `service` may be read without a key."""
        return service in self.open_tables

    def is_open(self, service: str, tables: tuple[str, ...]) -> bool:
        """Returns whether a read of `tables` needs no key.

        Names are compared as the statement writes them. `tables` is empty
        when it is not known what the read touches.
        """
        if service not in self.open_tables:
            return False
        allowed = self.open_tables[service]
        if allowed is None:
            return True
        return bool(tables) and allowed.issuperset(tables)

    def max_age_for(
        self, service: str, workspace: str, tables: tuple[str, ...]
    ) -> float:
        """Returns the oldest data in seconds that a read may accept.

        `tables` is empty when it is not known what the read touches; the
        strictest rule then counts. 0 means that no rule allows any age.
        """
        ages = self.age_limits.get((service, workspace))
        if ages is None:
            ages = self.age_limits.get((service, staleness.ANY_WORKSPACE))
        if ages is None:
            return 0.0
        return staleness.max_age_of_read(ages, tables)


EMPTY = Configuration(
    version=0,
    zones={},
    workspaces={},
    services={},
    keys={},
    age_limits={},
    open_tables={},
)


def parse(
    value: Document,
    version: int,
    previous: tuple[Document, Configuration] | None = None,
) -> Configuration:
    """Returns the configuration that a checked document describes.

    Args:
      value: The document.
      version: Its version.
      previous: An earlier document and its configuration. An item that is the
        same object in both documents is taken over, which makes a small
        change of a large document cheap.
    """
    if previous is None:
        previous = document.empty(), EMPTY
    old, parsed = previous
    return Configuration(
        version=version,
        zones=_parse_items(
            _parse_zone, value["zones"], old["zones"], parsed.zones
        ),
        workspaces=_parse_items(
            _parse_workspace,
            value["workspaces"],
            old["workspaces"],
            parsed.workspaces,
        ),
        services=_parse_items(
            _parse_service, value["services"], old["services"], parsed.services
        ),
        keys=_parse_items(_parse_key, value["keys"], old["keys"], parsed.keys),
        age_limits=_parse_rules(value, old, parsed),
        open_tables=_parse_open_routes(value),
    )


def _parse_items(
    parse_item: Callable[[str, Source], Parsed],
    items: Mapping[str, Source],
    old_items: Mapping[str, Source],
    old_parsed: Mapping[str, Parsed],
) -> dict[str, Parsed]:
    """Returns each item parsed, or taken over when it is the same object."""
    parsed = {}
    for name, item in items.items():
        if item is old_items.get(name):
            parsed[name] = old_parsed[name]
            continue
        parsed[name] = parse_item(name, item)
    return parsed


def _parse_rules(
    value: Document, old: Document, parsed: Configuration
) -> Mapping[tuple[str, str], staleness.AgeLimits]:
    """Returns the rules, or the earlier ones when none changed."""
    rules = value["rules"]
    old_rules = old["rules"]
    is_same_length = len(rules) == len(old_rules)
    if is_same_length and all(map(operator.is_, rules, old_rules)):
        return parsed.age_limits
    return staleness.merge_rules(rules)


def _parse_zone(_name: str, value: ZoneDocument) -> bool:
    """Returns whether a zone serves."""
    return _is_serving(value.get("state"))


def _parse_key(_name: str, value: KeyDocument) -> KeyEntry:
    """Returns a key."""
    return KeyEntry(value["workspace"], value["verifier"])


def _is_serving(state: str | None) -> bool:
    """Returns whether a state, or its absence, means serving."""
    return state != document.OUT


def _parse_workspace(name: str, value: WorkspaceDocument) -> Workspace:
    """Returns a workspace."""
    services = value.get("services")
    return Workspace(
        name=name,
        rate=float(value["rate"]),
        burst=float(value["burst"]),
        services=None if services is None else frozenset(services),
        keys_grace_s=float(
            value.get("keys_grace_s", document.DEFAULT_KEYS_GRACE_S)
        ),
    )


def _parse_service(name: str, value: ServiceDocument) -> Service:
    """Returns a service."""
    servers = {}
    for server_name, server in value["servers"].items():
        servers[server_name] = _parse_server(server_name, server)
    total = int(value["connections_per_server"])
    default_reserved = min(document.DEFAULT_RESERVED_CONNECTIONS, total - 1)
    return Service(
        name=name,
        servers=servers,
        database=value["database"],
        user=value["user"],
        password=value.get("password", ""),
        password_env=value.get("password_env", ""),
        connections_per_server=total,
        reserved_connections=int(
            value.get("reserved_connections", default_reserved)
        ),
        slots=int(value.get("slots", document.DEFAULT_SLOTS)),
        acknowledge=value.get("acknowledge", document.DEFAULT_ACKNOWLEDGE),
        home_count_per_zone=int(
            value.get(
                "home_count_per_zone", document.DEFAULT_HOME_COUNT_PER_ZONE
            )
        ),
    )


def _parse_server(name: str, value: ServerDocument) -> Server:
    """Returns a backend server."""
    return Server(
        name=name,
        host=value["host"],
        port=int(value["port"]),
        zone=value["zone"],
        serving=_is_serving(value.get("state")),
    )


def _parse_open_routes(value: Document) -> dict[str, frozenset[str] | None]:
    """Returns the open tables by service; None means all its tables."""
    routes: dict[str, frozenset[str] | None] = {}
    for route in value["open_routes"]:
        service = route["service"]
        earlier = routes.get(service, frozenset())
        tables = route.get("tables")
        if tables is None or earlier is None:
            routes[service] = None
            continue
        routes[service] = earlier | frozenset(tables)
    return routes
