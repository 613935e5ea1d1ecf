"""How long changes take, in the time of the decisions alone.

The clock is a number that the bench moves; messages take 0.5 to 4 ms and the
store 3 ms each way.
"""

from collections.abc import Callable

from bench import fits, slopes_store

INSTANCES = (6, 12, 24)
FAILED = (1, 4, 16)
GROUPS = 16
LOST_GROUPS = (4, 8, 16)
LOST_ZONE = "a"
SETTLE_S = 12.0
STEP_S = 0.05
LIMIT_S = 30.0
OLD_PRIMARY = "sa"


def measure() -> list[fits.Slope]:
    """Returns every slope of this module."""
    changes, writes, spread, stewards = [], [], [], []
    for failed in FAILED:
        took_s, swaps = _fail_primaries(failed)
        changes.append((failed, took_s))
        writes.append((failed, swaps))
    zone = []
    for groups in LOST_GROUPS:
        zone.append((groups, _lose_zone(groups)))
    for instances in INSTANCES:
        spread.append((instances, _change_config(instances)))
        stewards.append((instances, _lose_steward(instances)))
    return [
        fits.fit("primaries_changed", "s", "groups", changes),
        fits.fit("primaries_changed_writes", "writes", "groups", writes),
        fits.fit("zone_lost", "s", "groups", zone),
        fits.fit("config_in_force", "s", "instances", spread),
        fits.fit("steward_replaced", "s", "instances", stewards),
    ]


def _until(
    made: slopes_store.CountingWorld, is_done: Callable[[], bool]
) -> float:
    """Lets time go on until it is done; returns how long that took."""
    began = made.now
    while not is_done():
        if made.now - began > LIMIT_S:
            raise RuntimeError("the fleet does not come to rest")
        made.run(STEP_S)
    return made.now - began


def _fail_primaries(failed: int) -> tuple[float, float]:
    """Returns seconds and store writes until all have a new primary."""
    made = slopes_store.make_world(INSTANCES[0], 2, GROUPS)
    made.run(SETTLE_S)
    names = [f"ledger{number}" for number in range(failed)]
    for name in names:
        made.groups[name].servers[OLD_PRIMARY].is_alive = False
    made.counts.clear()
    took_s = _until(made, lambda: _have_new_primary(made, names))
    return took_s, float(made.counts["writes"])


def _lose_zone(groups: int) -> float:
    """Returns the seconds until a lost zone's primaries are replaced."""
    made = slopes_store.make_world(INSTANCES[0], 2, groups)
    made.run(SETTLE_S)
    for name, node in made.nodes.items():
        if node.zone == LOST_ZONE:
            made.kill(name)
    for group in made.groups.values():
        group.servers[OLD_PRIMARY].is_alive = False
    return _until(made, lambda: _have_new_primary(made, list(made.groups)))


def _have_new_primary(
    made: slopes_store.CountingWorld, names: list[str]
) -> bool:
    """Returns whether every living home lends for a new primary."""
    for node in made.nodes.values():
        for name in names:
            group = node.state.groups.get(name)
            if group is None or not node.is_alive:
                continue
            primary = group.primary
            if primary is None or primary.name == OLD_PRIMARY:
                return False
            if node.state.now >= group.lease_until:
                return False
    return True


def _change_config(instances: int) -> float:
    """Returns the seconds until a new configuration is in force."""
    made = slopes_store.make_world(instances, 2, 2)
    made.run(SETTLE_S)
    made.put_config(2, made.documents[1])

    def is_done() -> bool:
        versions = {node.state.config.version for node in made.nodes.values()}
        return versions == {2}

    return _until(made, is_done)


def _lose_steward(instances: int) -> float:
    """Returns the seconds until a lost steward's shard is held again."""
    made = slopes_store.make_world(instances, 2, 2)
    made.run(SETTLE_S)
    lost = ""
    for node in made.nodes.values():
        if 0 in node.state.stewardships:
            lost = node.name
    made.kill(lost)

    def is_done() -> bool:
        for node in made.nodes.values():
            hold = node.state.stewardships.get(0)
            if node.name != lost and hold is not None and hold.active:
                return True
        return False

    return _until(made, is_done)
