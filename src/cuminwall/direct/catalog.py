"""The configuration and the backend servers' entries, decoded."""

import enum
from typing import NamedTuple


class Freshness(enum.Enum):
    """Which commits a read must show.

    Attributes:
      ALL: Every commit acknowledged before the read.
      AGED: Every commit acknowledged longer ago than the route's age.
      OWN: As AGED, and all earlier commits of the same session.
    """

    ALL = enum.auto()
    AGED = enum.auto()
    OWN = enum.auto()


class Route(NamedTuple):
    """How statements for one database are routed.

    Attributes:
      database: The name that callers use.
      service: The database service whose servers run the statements.
      freshness: Which commits reads must show.
      max_age_s: How old the data of a read may be; 0 for ALL.
      timeout_s: How long one statement may take.
      target_s: The target time from arrival to answer.
      priority: The order in which waiting operations are served; 0 is first.
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
      name: Its name, which is also sent to backend servers.
      rate: Operations a second.
      burst: Operations at once.
      priority: The order in which waiting operations are served; 0 is first.
    """

    name: str
    rate: float
    burst: float
    priority: int


class ServiceLimits(NamedTuple):
    """The limits of the servers of a service.

    Attributes:
      name: The service.
      connections: Connections to one server, from all instances together.
      warmup_rate: Requests a second that a cold server may get, from all
        instances together; 0 for no limit.
      sync_replicas: How many replicas must have received a commit before it is
        acknowledged.
    """

    name: str
    connections: int
    warmup_rate: float
    sync_replicas: int = 0


class Catalog(NamedTuple):
    """One version of the configuration.

    Attributes:
      version: Its number; versions only rise.
      routes: By database.
      services: By name.
      workspaces: By name.
      keys: The workspace of each key.
      transaction_idle_s: How long a session may be idle in a transaction.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, ServiceLimits]
    workspaces: dict[str, Workspace]
    keys: dict[str, str]
    transaction_idle_s: float


# Rate and burst of a workspace that has no limit; finite, since lending divides
# a limit.
NO_LIMIT = 1e15
# Of a service whose limits are unknown: less than any cold server must bear.
STRICTEST_WARMUP_RATE = 1.0


def refused_workspace(name: str) -> Workspace:
    """Returns a workspace whose limit is unknown: all of it is refused.

    Its last known limit may be higher than the one now in force, so that using
    it could exceed that. A refused operation can be retried.
    """
    return Workspace(name, 0.0, 0.0, 1)


def strictest_limits(name: str) -> ServiceLimits:
    """Returns the limits of a service for which none are known.

    They are safe whatever the true ones are: few connections are kept, a cold
    server gets hardly anything, and a promotion waits for each replica that
    may hold an acknowledged commit.
    """
    return ServiceLimits(name, 1, STRICTEST_WARMUP_RATE, 1)


EMPTY = Catalog(-1, {}, {}, {}, {}, 0.0)


class ServerEntry(NamedTuple):
    """A backend server's entry in the store, which it writes itself.

    Attributes:
      server: Its id.
      born_ms: When it started; distinguishes it from an earlier one of this id.
      service: Its database service.
      host: Its IP number.
      port: Its port.
      zone: Its availability zone.
      slots: How many statements it runs at once.
      is_leaving: Whether it is shutting down.
      is_primary: Whether it acts as the primary.
      cold_s: How much longer its warm-up takes.
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
