"""The shape of a deployment, and the configurations of its operator."""

import random
from typing import Any, NamedTuple

ZONES = ("sediu", "statie-tratare", "dispecerat", "ghiseu-nord")
SERVER_ZONES = ZONES[:3]
SERVICE_COUNT = 4
WORKSPACE_COUNT = 79
MAX_CONNECTIONS = 49
MIN_RATE_PER_S = 2.0
BURST_S = 1.0  # Of the rate.
IDLE_ROUTES = 40


class Kind(NamedTuple):
    """A kind of request.

    Attributes:
      letter: The first letter of its databases.
      freshness: Which reads its routes allow.
      timeout_ms: Of a statement.
      target_ms: Within which an operation should end.
      age_ms: How old reads may be; 0 for no bound.
      weight: Its part of the traffic.
      write_part: The part of the single statements that write.
      transaction_part: The part of the operations that are transactions.
      limit_s: How long a caller waits.
    """

    letter: str
    freshness: str
    timeout_ms: int
    target_ms: int
    age_ms: int
    weight: float
    write_part: float
    transaction_part: float
    limit_s: float


KINDS = (
    Kind("p", "primary", 800, 153, 0, 1.5, 0.35, 0.4, 2.5),
    Kind("b", "bounded", 2000, 503, 1500, 1.5, 0.0, 0.1, 8.0),
    Kind("o", "own", 800, 253, 2500, 7.0, 0.12, 0.12, 2.5),
)


class Workspace(NamedTuple):
    """A workspace.

    Attributes:
      name: Its name.
      share: Its part of the traffic.
      rate_per_s: How many operations it may make.
      keys: Its keys; all but the first may be withdrawn.
    """

    name: str
    share: float
    rate_per_s: float
    keys: tuple[str, ...]


def make_services(rng: random.Random) -> list[str]:
    """Returns the names of the services."""
    names = []
    for number in range(SERVICE_COUNT):
        names.append(f"svc{number}{rng.randrange(100)}")
    return names


def make_workspaces(
    rng: random.Random, per_s: float, rate_factor: float
) -> list[Workspace]:
    """Returns the workspaces, a few of them large.

    Args:
      rng: Chooses their order.
      per_s: Operations a second of all of them together.
      rate_factor: What each may do over what it usually does.
    """
    weights = [1.0 / (rank + 2) for rank in range(WORKSPACE_COUNT)]
    rng.shuffle(weights)
    result = []
    for number, weight in enumerate(weights):
        share = weight / sum(weights)
        rate = max(MIN_RATE_PER_S, round(rate_factor * share * per_s, 1))
        keys = (f"k{number}a", f"k{number}b")
        result.append(Workspace(f"w{number}", share, rate, keys))
    return result


def make_databases(services: list[str]) -> dict[str, str]:
    """Returns the first service of each database."""
    routes = {}
    for number, service in enumerate(services):
        for kind in KINDS:
            routes[f"{kind.letter}{number}"] = service
    return routes


def make_configuration(
    version: int,
    routes: dict[str, str],
    services: list[str],
    workspaces: list[Workspace],
    keys: frozenset[str],
) -> dict[str, Any]:
    """Returns a configuration as the store holds it."""
    return {
        "Version": version,
        "Routes": [_make_route(*each) for each in routes.items()],
        "Services": [_make_service(name) for name in services],
        "Limits": {"TxIdleMs": 3000},
        "Tenants": [_make_workspace(each, keys) for each in workspaces],
    }


def find_kind(database: str) -> Kind:
    """Returns the kind of a database; added ones are as the last kind."""
    for kind in KINDS:
        if database.startswith(kind.letter):
            return kind
    return KINDS[-1]


def _make_route(database: str, service: str) -> dict[str, Any]:
    kind = find_kind(database)
    route: dict[str, Any] = {
        "Name": f"r-{database}",
        "Host": database,
        "Prefix": "/",
        "Kind": kind.freshness,
        "TimeoutMs": kind.timeout_ms,
        "TargetLatencyMs": kind.target_ms,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
    }
    if kind.age_ms:
        route["MaxStalenessMs"] = kind.age_ms
    return route


def _make_service(name: str) -> dict[str, Any]:
    return {
        "Name": name,
        "HealthPath": "/healthz",
        "MaxConns": MAX_CONNECTIONS,
        "Protocol": "h1",
        "Tls": False,
        "WarmupS": 0.0,
        "WarmupPerS": 0.0,
        "SyncReplicas": 0,
    }


def _make_workspace(
    workspace: Workspace, keys: frozenset[str]
) -> dict[str, Any]:
    return {
        "Name": workspace.name,
        "ApiKeys": [key for key in workspace.keys if key in keys],
        "Priority": 1,
        "RatePerS": workspace.rate_per_s,
        "Burst": BURST_S * workspace.rate_per_s,
    }
