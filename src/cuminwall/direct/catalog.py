"""The configuration in force and the backend servers, as decisions use them."""

import enum
from typing import NamedTuple


class Freshness(enum.Enum):
    """Which commits a read must show.

    Attributes:
      ALL: Every commit acknowledged before the read.
      AGED: Every commit acknowledged longer ago than the route's age.
      OWN: As AGED, and all commits of the same session.
    """

    ALL = enum.auto()
    AGED = enum.auto()
    OWN = enum.auto()


class Route(NamedTuple):
    """Where statements for one database go.

    Attributes:
      database: The name that callers use.
      service: The database service whose servers run the statements.
      freshness: Which commits reads must show.
      max_age_s: How old the data of a read may be; 0 for ALL.
      timeout_s: How long one statement may take.
      target_s: Within which time the whole operation should be answered.
      priority: Who goes first when work waits; 0 is the highest.
      is_open: Whether callers need no key.
    """

    database: str
    service: str
    freshness: Freshness
    max_age_s: float
    timeout_s: float
    target_s: float
    priority: int
    is_open: bool


class Workspace(NamedTuple):
    """A workspace's limits, for all instances together.

    Attributes:
      name: Its name, which backend servers are told.
      rate: Operations a second.
      burst: Operations at once.
      priority: Who goes first when work waits; 0 is the highest.
    """

    name: str
    rate: float
    burst: float
    priority: int


class ServiceLimits(NamedTuple):
    """What the servers of a service take.

    Attributes:
      name: The service.
      connections: Connections to one server, from all instances together.
      warmup_rate: Requests a second that a cold server may get, from all
        instances together; 0 for no limit.
    """

    name: str
    connections: int
    warmup_rate: float


class Catalog(NamedTuple):
    """One version of the configuration.

    Attributes:
      version: Its number; versions only move up.
      routes: By database.
      services: By name.
      workspaces: By name.
      keys: The workspace of each key.
      transaction_idle_s: How long a transaction may rest.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, ServiceLimits]
    workspaces: dict[str, Workspace]
    keys: dict[str, str]
    transaction_idle_s: float


EMPTY = Catalog(-1, {}, {}, {}, {}, 0.0)


class ServerEntry(NamedTuple):
    """What a backend server says of itself.

    Attributes:
      server: Its id.
      born_ms: When it started; tells it from an earlier one of this id.
      service: Its database service.
      host: Its IP number.
      port: Its port.
      zone: Its availability zone.
      slots: How many statements it runs at once.
      is_leaving: Whether it is about to end.
      is_primary: Whether it sees itself as the primary.
      cold_s: How much longer it is slow after its start.
      revision: The store's revision of the entry.
    """

    server: str
    born_ms: int
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_leaving: bool
    is_primary: bool
    cold_s: float
    revision: int
