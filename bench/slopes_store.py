"""Calls of the store and control messages of whole fleets, counted.

Many reducers run in one process against a fake store and network; the clock
is a number, so the counts are the same on each machine.
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
    """A world that counts calls of the store and messages.

    Attributes:
      counts: What was counted since the last clearing, by name.
    """

    def __init__(self, *args: Any, **named: Any):
        self.counts: collections.Counter[str] = collections.Counter()
        super().__init__(*args, **named)

    def call_store(self, node: world.Node, effect: Any) -> None:
        """Counts a call of the store."""
        self.counts[CALLS.get(type(effect), "revokes")] += 1
        super().call_store(node, effect)

    def send_to_peer(
        self, node: world.Node, effect: effects.SendToPeer
    ) -> None:
        """Counts a control message and its bytes."""
        if effect.instance != node.name:
            self.counts["messages"] += 1
            self.counts["bytes"] += len(messages.encode(effect.message))
        super().send_to_peer(node, effect)


def measure() -> list[fits.Slope]:
    """Returns every slope of this module."""
    found: list[fits.Slope] = []
    for per, sizes in (
        ("instances", INSTANCES),
        ("shards", SHARDS),
        ("groups", GROUPS),
    ):
        points: dict[str, list[tuple[float, float]]] = {}
        for size in sizes:
            for name, value in _count(per, size).items():
                points.setdefault(name, []).append((size, value))
        for name, line in points.items():
            unit = "1/s" if name != "bytes" else "bytes/s"
            found.append(fits.fit(f"fleet_{name}_{per}", unit, per, line))
    return found


def _count(per: str, size: int) -> dict[str, float]:
    """Returns what a fleet of one size does in a second."""
    instances = size if per == "instances" else INSTANCES[0]
    shards = size if per == "shards" else SHARDS[0]
    groups = size if per == "groups" else GROUPS[0]
    made = make_world(instances, shards, groups)
    made.run(SETTLE_S)
    made.counts.clear()
    made.run(COUNTED_S)
    rates = {}
    for name in ("reads", "writes", "keepalives", "messages", "bytes"):
        rates[name] = made.counts[name] / COUNTED_S
    watching = 0
    for node in made.nodes.values():
        watching += relays.needs_watch(node.state)
    rates["watches"] = float(watching)
    return rates


def make_world(instances: int, shards: int, groups: int) -> CountingWorld:
    """Returns a fleet over three zones."""
    zones = ["a", "b", "c"]
    described = {}
    fakes = []
    for number in range(groups):
        name = f"ledger{number}"
        servers = [(f"s{zone}", zone) for zone in zones]
        described[name] = servers
        fakes.append(
            world.FakeGroup(
                name,
                [world.FakeServer(server, z, 0.05) for server, z in servers],
            )
        )
    config = world.make_document(zones, described)
    per_zone = instances // ZONES
    return CountingWorld(
        dict.fromkeys(zones, per_zone), fakes, config, shard_count=shards
    )
