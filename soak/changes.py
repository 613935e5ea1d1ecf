"""The operator, who writes configurations to the store again and again."""

import random
import time

from soak import deployment
from soak.store import Store
from soak.timeline import Timeline, Version

CONFIG_KEY = "op/config"
FIRST_VERSION = 7
MAX_STEP = 4  # Between two versions.
ADDED = "x"  # First letter of the databases that are added.
GROWN_ROUTES = 1700  # That are added at once.


class Operator:
    """Writes configurations.

    Attributes:
      routes: The service of each database, as last written.
      keys: The valid keys, as last written.
      version: The last version.
    """

    def __init__(
        self,
        store: Store,
        timeline: Timeline,
        services: list[str],
        workspaces: list[deployment.Workspace],
        rng: random.Random,
    ):
        self.store = store
        self.timeline = timeline
        self.services = services
        self.workspaces = workspaces
        self.rng = rng
        self.routes = deployment.make_databases(services)
        for number in range(deployment.IDLE_ROUTES):
            self.routes[f"idle{number}"] = rng.choice(services)
        keys: set[str] = set()
        for workspace in workspaces:
            keys.update(workspace.keys)
        self.keys = frozenset(keys)
        self.version = FIRST_VERSION
        self.added = 0

    def write(self, change: str) -> None:
        """Writes the configuration."""
        self.version += self.rng.randint(1, MAX_STEP)
        value = deployment.make_configuration(
            self.version,
            self.routes,
            self.services,
            self.workspaces,
            self.keys,
        )
        sent_at = time.monotonic()
        self.store.put(CONFIG_KEY, value)
        self.timeline.versions.append(
            Version(
                self.version,
                sent_at,
                time.monotonic(),
                dict(self.routes),
                self.keys,
                change,
            )
        )

    def move(self) -> None:
        """Swaps the services of two busy databases of a kind.

        A swap keeps the load of the services even.
        """
        kind = self.rng.choices(
            deployment.KINDS, [each.weight for each in deployment.KINDS]
        )[0]
        candidates = []
        for number in range(len(self.services)):
            candidates.append(f"{kind.letter}{number}")
        one, other = self.rng.sample(candidates, 2)
        before = self.routes
        self.routes = {**before, one: before[other], other: before[one]}
        self.write(f"{one} from {before[one]} to {before[other]}, {other} back")

    def withdraw(self) -> None:
        """Withdraws a key, if there is one left that may be withdrawn."""
        candidates = sorted(key for key in self.keys if key.endswith("b"))
        if not candidates:
            return
        key = self.rng.choice(candidates)
        self.keys -= {key}
        self.write(f"key {key} withdrawn")

    def add(self) -> None:
        """Adds a route."""
        database = f"{ADDED}{self.added}"
        self.added += 1
        service = self.rng.choice(self.services)
        self.routes = {**self.routes, database: service}
        self.write(f"{database} added")

    def grow(self) -> None:
        """Adds many routes at once, which callers don't use."""
        grown: dict[str, str] = {}
        for _ in range(GROWN_ROUTES):
            grown[f"grown{len(self.routes) + len(grown)}"] = self.services[0]
        self.routes = {**self.routes, **grown}
        self.write(f"{len(grown)} routes added")

    def change(self) -> None:
        """Makes any of the changes."""
        change = self.rng.choices(
            (self.move, self.withdraw, self.add), (6, 2, 2)
        )[0]
        change()
