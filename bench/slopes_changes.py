"""Measures how long changes of a fleet take, in simulated time.

Processor time does not count: messages take 0.5 to 4 ms and the store 3 ms
each way.
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
    change_points, write_points, config_points, steward_points = [], [], [], []
    for failed in FAILED:
        took_s, swaps = _fail_primaries(failed)
        change_points.append((failed, took_s))
        write_points.append((failed, swaps))
    zone_points = []
    for groups in LOST_GROUPS:
        zone_points.append((groups, _lose_zone(groups)))
    for instances in INSTANCES:
        config_points.append((instances, _change_config(instances)))
        steward_points.append((instances, _lose_steward(instances)))
    return [
        fits.fit("primaries_changed", "s", "groups", change_points),
        fits.fit("primaries_changed_writes", "writes", "groups", write_points),
        fits.fit("zone_lost", "s", "groups", zone_points),
        fits.fit("config_in_force", "s", "instances", config_points),
        fits.fit("steward_replaced", "s", "instances", steward_points),
    ]


def _run_until(
    world_: slopes_store.CountingWorld, is_done: Callable[[], bool]
) -> float:
    """Advances time until `is_done`; returns how long that took."""
    started_at = world_.now
    while not is_done():
        if world_.now - started_at > LIMIT_S:
            raise RuntimeError("the change did not finish within LIMIT_S")
        world_.run(STEP_S)
    return world_.now - started_at


def _fail_primaries(failed: int) -> tuple[float, float]:
    """Returns seconds and store writes until failed primaries are replaced."""
    world_ = slopes_store.make_world(INSTANCES[0], 2, GROUPS)
    world_.run(SETTLE_S)
    names = [f"ledger{number}" for number in range(failed)]
    for name in names:
        world_.groups[name].servers[OLD_PRIMARY].is_alive = False
    world_.counts.clear()
    took_s = _run_until(world_, lambda: _have_new_primary(world_, names))
    return took_s, float(world_.counts["writes"])


def _lose_zone(groups: int) -> float:
    """Returns the seconds until the primaries of a failed zone are replaced."""
    world_ = slopes_store.make_world(INSTANCES[0], 2, groups)
    world_.run(SETTLE_S)
    for name, node in world_.nodes.items():
        if node.zone == LOST_ZONE:
            world_.kill(name)
    for group in world_.groups.values():
        group.servers[OLD_PRIMARY].is_alive = False
    return _run_until(
        world_, lambda: _have_new_primary(world_, list(world_.groups))
    )


def _have_new_primary(
    world_: slopes_store.CountingWorld, names: list[str]
) -> bool:
    """Returns whether all live homes hold write leases for new primaries."""
    for node in world_.nodes.values():
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
    """Returns the seconds until a new configuration is in force everywhere."""
    world_ = slopes_store.make_world(instances, 2, 2)
    world_.run(SETTLE_S)
    world_.put_config(2, world_.documents[1])

    def is_done() -> bool:
        versions = {node.state.config.version for node in world_.nodes.values()}
        return versions == {2}

    return _run_until(world_, is_done)


def _lose_steward(instances: int) -> float:
    """Returns the seconds until a failed steward is replaced."""
    world_ = slopes_store.make_world(instances, 2, 2)
    world_.run(SETTLE_S)
    lost = ""
    for node in world_.nodes.values():
        if 0 in node.state.stewardships:
            lost = node.name
    world_.kill(lost)

    def is_done() -> bool:
        for node in world_.nodes.values():
            stewardship = node.state.stewardships.get(0)
            if (
                node.name != lost
                and stewardship is not None
                and stewardship.active
            ):
                return True
        return False

    return _run_until(world_, is_done)
