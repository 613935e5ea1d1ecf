"""Computes the tables of docs/CAPACITY.md from the slopes.

Each table stands on the page between two markers that name it; the rest of
the page is written by hand.
"""

import re

from bench import plan
from bench.capacity_loads import (
    LIST_WORK,
    Load,
    Slopes,
    compute_loads,
    config_change_s,
)

MARKERS = re.compile(
    r"(<!-- begin (?P<name>[a-z-]+) -->\n).*?(<!-- end (?P=name) -->)", re.S
)
WEAK_FIT = 0.9
ROLES = {
    "entry": {"entry"},
    "home": {"entry", "home"},
    "relay": {"entry", "home", "relay"},
    "steward": {"entry", "home", "steward"},
}


def replace_tables(page: str, tables: dict[str, str]) -> str:
    """Returns the page with each table inserted between its markers."""

    def insert_table(match: re.Match[str]) -> str:
        return match[1] + tables[match["name"]] + match[3]

    return MARKERS.sub(insert_table, page)


def make_tables(slopes: Slopes, calibration_s: float) -> dict[str, str]:
    """Returns every table by name."""
    loads = compute_loads(slopes)
    return {
        "plan": _plan(),
        "loads": _loads(loads),
        "memory": _memory(slopes),
        "budget": _budget(slopes, loads),
        "budget-without-list": _budget(
            slopes, [load for load in loads if load.work != LIST_WORK]
        ),
        "store": _store(slopes),
        "changes": _changes(slopes),
        "events": _events(slopes),
        "slopes": _slopes(slopes, calibration_s),
    }


def _table(head: list[str], rows: list[list[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def _plan() -> str:
    rows = [
        ["daemons in a zone", f"{plan.ZONE_DAEMONS:.1f}"],
        ["sessions at a daemon", f"{plan.SESSIONS_PER_DAEMON:,.0f}"],
        [
            "statements a second at a daemon",
            f"{plan.STATEMENTS_PER_DAEMON:.0f}",
        ],
        ["homes of a service", f"{plan.HOMES}"],
        ["groups at a home", f"{plan.GROUPS_PER_DAEMON:.1f}"],
        ["backend servers that a home probes", f"{_probed_servers():.0f}"],
        ["shards", f"{plan.SHARDS}"],
        ["groups in a shard", f"{plan.GROUPS_PER_SHARD:.1f}"],
        ["stewards that a home asks", f"{plan.SHARDS_PER_DAEMON:.1f}"],
        ["homes that a steward answers", f"{plan.HOMES_PER_SHARD:.0f}"],
        ["relays in a zone", f"{plan.RELAYS_PER_ZONE}"],
        ["instances that ask a relay", f"{plan.REQUESTERS_PER_RELAY:.1f}"],
        ["changes of the list a day", f"{plan.LIST_CHANGES_PER_DAY:,}"],
    ]
    return _table(["what", "figure"], rows)


def _probed_servers() -> float:
    return plan.GROUPS_PER_DAEMON * plan.SERVERS_PER_SERVICE


def _loads(loads: list[Load]) -> str:
    rows = []
    for load in loads:
        rows.append(
            [
                load.role,
                load.work,
                load.module,
                load.slope,
                f"{load.core:.3%}" if load.core else "-",
                f"{load.messages_per_s:.1f}" if load.messages_per_s else "-",
                f"{load.bytes_per_s:,.0f}" if load.bytes_per_s else "-",
            ]
        )
    head = ["role", "work", "modules", "slopes", "core", "msg/s", "bytes/s"]
    return _table(head, rows)


def _memory_rows(slopes: Slopes) -> list[tuple[str, str, str, float]]:
    groups = plan.GROUPS_PER_SHARD / plan.GROUPS_PER_DAEMON
    # The slope was measured with 33 groups; scale it to those of a shard.
    reports = slopes["holder_memory"].slope * plan.HOMES * groups
    document = slopes["snapshot_memory"].at(plan.SERVICES)
    config = slopes["config_memory"].at(plan.SERVICES)
    members = slopes["member_memory"].at(plan.DAEMONS)
    group = slopes["group_memory"].slope * plan.GROUPS_PER_DAEMON
    sessions = slopes["session_memory"].slope * plan.SESSIONS_PER_DAEMON
    return [
        ("entry", "the document as read", "snapshot_memory", document),
        ("entry", "the configuration", "config_memory", config),
        ("entry", "the instances", "member_memory", members),
        ("entry", "sessions in the reducer", "session_memory", sessions),
        ("home", "groups", "group_memory", group),
        ("steward", "reports and loans", "holder_memory", reports),
    ]


def _memory(slopes: Slopes) -> str:
    rows = []
    for role, what, slope, size in _memory_rows(slopes):
        rows.append([role, what, slope, f"{size / 1e6:.1f}"])
    return _table(["role", "state", "slope", "MB"], rows)


def _budget(slopes: Slopes, loads: list[Load]) -> str:
    rows = []
    for role in ROLES:
        roles = ROLES[role]
        role_loads = [load for load in loads if load.role in roles]
        core = sum(load.core for load in role_loads)
        size = sum(load.bytes_per_s for load in role_loads)
        memory = 0.0
        for part, _, _, part_bytes in _memory_rows(slopes):
            memory += part_bytes if part in roles else 0.0
        rows.append(
            [
                role,
                _compare_with_budget(core, plan.BUDGET_CORE, f"{core:.2%}"),
                _compare_with_budget(
                    memory, plan.BUDGET_BYTES, f"{memory / 1e6:.0f} MB"
                ),
                _compare_with_budget(
                    size, plan.BUDGET_BYTES_PER_S, f"{size / 1e3:.0f} KB/s"
                ),
            ]
        )
    return _table(["role", "core", "memory", "control bytes"], rows)


def _compare_with_budget(value: float, limit: float, text: str) -> str:
    share = value / limit
    note = " **over**" if share > 1 else ""
    return f"{text}, {share:.1f} of the budget{note}"


def _store(slopes: Slopes) -> str:
    keepalives = slopes["fleet_keepalives_shards"].slope * plan.SHARDS
    reads = plan.RELAYS * plan.RELAY_REQUESTS_PER_S
    primary = (
        plan.PRIMARY_CHANGES_PER_DAY
        * slopes["primaries_changed_writes"].slope
        / plan.DAY_S
    )
    parts = 4 * plan.CONFIG_CHANGES_PER_DAY / plan.DAY_S
    lists = plan.DAEMONS * plan.LIST_READS_PER_S
    writes_limit = plan.STORE_WRITES_PER_S
    reads_limit = plan.STORE_READS_PER_S
    config_reads = plan.RELAYS * 3 * plan.CONFIG_CHANGES_PER_DAY / plan.DAY_S
    rows = [
        ["keepalives of stewards", "write", f"{keepalives:.0f}",
         f"{keepalives / writes_limit:.0%}", "fleet_keepalives_shards"],
        ["records of terms", "write", f"{primary:.4f}",
         f"{primary / writes_limit:.2%}", "primaries_changed_writes"],
        ["parts, history and head", "write", f"{parts:.2f}",
         f"{parts / writes_limit:.2%}", "4 a change"],
        ["head, by relays", "read", f"{reads:.0f}",
         f"{reads / reads_limit:.1%}", "fleet_reads_instances"],
        ["changed parts, by relays", "read", f"{config_reads:.1f}",
         f"{config_reads / reads_limit:.1%}", "3 a change and relay"],
        ["waiting watches", "waiting", f"{plan.RELAYS}", "-",
         "fleet_watches_instances"],
        ["instance list, read", "list", f"{lists:,.0f}",
         f"{lists / reads_limit:.0%} if counted as reads", "1 / 0.5 s each"],
        ["instance list, announced", "list", f"{lists:,.0f}",
         f"{lists / writes_limit:.0%} if counted as writes",
         "1 / 0.5 s each"],
    ]  # fmt: skip
    return _table(["calls", "kind", "calls/s", "of the rate", "slope"], rows)


def _changes(slopes: Slopes) -> str:
    rows = []
    for name in (
        "primaries_changed",
        "zone_lost",
        "steward_replaced",
        "config_in_force",
    ):
        slope = slopes[name]
        values = ", ".join(f"{value:g}" for value in slope.values)
        sizes = ", ".join(f"{size:g}" for size in slope.sizes)
        rows.append([name, f"{sizes} {slope.per}", f"{values} s"])
    return _table(["change", "sizes", "took"], rows)


def _events(slopes: Slopes) -> str:
    join_s = slopes["member_joins"].at(plan.DAEMONS)
    change_s = config_change_s(slopes)
    day_s = join_s * plan.LIST_CHANGES_PER_DAY
    config_s = change_s * plan.CONFIG_CHANGES_PER_DAY
    rows = [
        ["one change of the list", f"{join_s * 1e3:.0f} ms",
         f"{day_s / plan.DAY_S:.3%}"],
        ["one change of one key", f"{change_s * 1e3:.0f} ms",
         f"{config_s / plan.DAY_S:.3%}"],
        ["a rack of 40 in one reading", f"{plan.RACK_MEMBERS * join_s:.2f} s "
         "at most", "-"],
        ["the first tick of a new instance",
         f"{slopes['newcomer_first_tick'].at(plan.DAEMONS):.2f} s", "-"],
        ["the first document",
         f"{slopes['parse_whole'].at(plan.SERVICES):.2f} s to parse", "-"],
    ]  # fmt: skip
    head = ["event at a daemon", "processor time", "over a day, of a core"]
    return _table(head, rows)


def _slopes(slopes: Slopes, calibration_s: float) -> str:
    rows = []
    for name, slope in sorted(slopes.items()):
        fit = f"{slope.r_squared:.3f}"
        if slope.r_squared < WEAK_FIT:
            fit += " weak"
        sizes = ", ".join(f"{size:g}" for size in slope.sizes)
        rows.append(
            [
                name,
                f"{slope.slope:.3g}",
                f"{slope.intercept:.3g}",
                f"{slope.unit} per {slope.per}",
                sizes,
                fit,
            ]
        )
    head = ["name", "slope", "at 0", "unit", "sizes", "r squared"]
    text = _table(head, rows)
    return f"{text}\nCalibration loop: {calibration_s * 1e3:.1f} ms.\n"
