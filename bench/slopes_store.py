"""Counts the store calls and control messages of whole fleets.

Many reducers run in one process against a fake store and network. Time is
simulated, so the counts are the same on each machine.
"""

import collections
from typing import Any

from tests import world

from bench import fits
from cuminwall import effects, messages, relays

ZONES = 3
SETTLE_S = 12.0
COUNTED_S = 10.0
INSTANCES = (6, 12, 24)
SHARDS = (2, 8, 16)
GROUPS = (2, 4, 8)

CALLS: dict[type, str] = {
    effects.SwapValue: "writes",
    effects.GrantStoreLease: "writes",
    effects.RenewStoreLease: "keepalives",
    effects.ReadValue: "reads",
    effects.ReadPrefix: "reads",
}


class CountingWorld(world.World):
    """A simulation that counts store calls and control messages.

    Attributes:
      counts: The counts since the last `clear`, by name.
    """

    def __init__(self, *args: Any, **named: Any):
        self.counts: collections.Counter[str] = collections.Counter()
        super().__init__(*args, **named)

    def call_store(self, node: world.Node, effect: Any) -> None:
        """Counts a store call, then makes it."""
        self.counts[CALLS.get(type(effect), "revokes")] += 1
        super().call_store(node, effect)

    def send_to_peer(
        self, node: world.Node, effect: effects.SendToPeer
    ) -> None:
        """Counts a control message and its bytes, then sends it."""
        if effect.instance != node.name:
            self.counts["messages"] += 1
            self.counts["bytes"] += len(messages.encode(effect.message))
        super().send_to_peer(node, effect)


def measure() -> list[fits.Slope]:
    """Returns every slope of this module."""
    slopes: list[fits.Slope] = []
    for per, sizes in (
        ("instances", INSTANCES),
        ("shards", SHARDS),
        ("groups", GROUPS),
    ):
        points: dict[str, list[tuple[float, float]]] = {}
        for size in sizes:
            for name, value in _count(per, size).items():
                points.setdefault(name, []).append((size, value))
        for name, values in points.items():
            unit = "1/s" if name != "bytes" else "bytes/s"
            slopes.append(fits.fit(f"fleet_{name}_{per}", unit, per, values))
    return slopes


def _count(per: str, size: int) -> dict[str, float]:
    """Returns what a fleet of one size does per second, and its watches."""
    instances = size if per == "instances" else INSTANCES[0]
    shards = size if per == "shards" else SHARDS[0]
    groups = size if per == "groups" else GROUPS[0]
    world_ = make_world(instances, shards, groups)
    world_.run(SETTLE_S)
    world_.counts.clear()
    world_.run(COUNTED_S)
    rates = {}
    for name in ("reads", "writes", "keepalives", "messages", "bytes"):
        rates[name] = world_.counts[name] / COUNTED_S
    watches = 0
    for node in world_.nodes.values():
        watches += relays.needs_watch(node.state)
    rates["watches"] = float(watches)
    return rates


def make_world(instances: int, shards: int, groups: int) -> CountingWorld:
    """Returns a fleet over three zones."""
    zones = ["a", "b", "c"]
    servers_by_service = {}
    fakes = []
    for number in range(groups):
        name = f"ledger{number}"
        servers = [(f"s{zone}", zone) for zone in zones]
        servers_by_service[name] = servers
        fakes.append(
            world.FakeGroup(
                name,
                [world.FakeServer(server, z, 0.05) for server, z in servers],
            )
        )
    config = world.make_document(zones, servers_by_service)
    per_zone = instances // ZONES
    return CountingWorld(
        dict.fromkeys(zones, per_zone), fakes, config, shard_count=shards
    )
