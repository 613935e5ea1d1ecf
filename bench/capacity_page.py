"""The tables of docs/CAPACITY.md, worked out of the slopes.

A table stands on the page between two markers that name it; what is around
them is written by hand.
"""

import re
from typing import NamedTuple

from bench import plan
from bench.fits import Slope

Slopes = dict[str, Slope]

MARKERS = re.compile(
    r"(<!-- begin (?P<name>[a-z-]+) -->\n).*?(<!-- end (?P=name) -->)", re.S
)
WEAK_FIT = 0.9
LIST_WORK = "read the instance list"
PROBED_SERVERS = 2
PARTS = 641
ROLES = {
    "entry": {"entry"},
    "home": {"entry", "home"},
    "relay": {"entry", "home", "relay"},
    "steward": {"entry", "home", "steward"},
}


class Load(NamedTuple):
    """What one part of a role's control work takes in a second.

    Attributes:
      role: The role, each on top of those before it.
      work: What is done.
      module: Where it stands.
      slope: The slope that the processor time comes from.
      core: Share of a core.
      sent: Messages out and in a second.
      bytes_per_s: Bytes out and in a second.
    """

    role: str
    work: str
    module: str
    slope: str
    core: float
    sent: float
    bytes_per_s: float


def fill(page: str, tables: dict[str, str]) -> str:
    """Returns the page with each table put between its markers."""

    def put(match: re.Match[str]) -> str:
        return match[1] + tables[match["name"]] + match[3]

    return MARKERS.sub(put, page)


def make_tables(slopes: Slopes, calibration_s: float) -> dict[str, str]:
    """Returns every table by name."""
    loads = work_out(slopes)
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


def work_out(slopes: Slopes) -> list[Load]:
    """Returns the loads of each role at the planned size."""
    return [
        *_entry_loads(slopes),
        *_home_loads(slopes),
        *_relay_loads(slopes),
        *_steward_loads(slopes),
    ]


def _entry_loads(slopes: Slopes) -> list[Load]:
    joins_per_s = plan.LIST_CHANGES_PER_DAY / plan.DAY_S
    configs_per_s = plan.CONFIG_CHANGES_PER_DAY / plan.DAY_S
    list_s = slopes["list_unchanged"].at(plan.DAEMONS)
    parsed_s = slopes["list_parsed"].at(plan.DAEMONS)
    list_b = slopes["list_bytes"].at(plan.DAEMONS)
    change_s = _config_change_s(slopes)
    ask_b = slopes["relay_ask_bytes"].slope + slopes["relay_answer_bytes"].slope
    tick_s = slopes["tick_by_sessions"].at(plan.SESSIONS_PER_DAEMON)
    return [
        Load(
            "entry",
            LIST_WORK,
            "upkeep, instancelist, membership",
            "list_unchanged, list_parsed, list_bytes",
            plan.LISTS_PER_S * list_s + joins_per_s * parsed_s,
            2 * plan.LISTS_PER_S,
            plan.LISTS_PER_S * list_b,
        ),
        Load(
            "entry",
            "take instances in and out",
            "membership, hometable",
            "member_joins",
            joins_per_s * slopes["member_joins"].at(plan.DAEMONS),
            0.0,
            0.0,
        ),
        Load(
            "entry",
            "take a configuration over",
            "upkeep, configparts, configuration",
            "assemble_change, parse_change, config_taken, one_key_bytes",
            configs_per_s * change_s,
            configs_per_s * 4,
            configs_per_s * slopes["one_key_bytes"].at(plan.SERVICES),
        ),
        Load(
            "entry",
            "ask a relay",
            "relays",
            "relay_asked, relay_ask_bytes, relay_answer_bytes",
            plan.RELAY_ASKS_PER_S * slopes["relay_asked"].slope,
            2 * plan.RELAY_ASKS_PER_S,
            plan.RELAY_ASKS_PER_S * ask_b,
        ),
        Load(
            "entry",
            "ticks, with sessions",
            "reducer, sessions",
            "tick_by_sessions",
            plan.TICKS_PER_S * tick_s,
            0.0,
            0.0,
        ),
    ]


def _home_loads(slopes: Slopes) -> list[Load]:
    rounds = plan.LEASE_ROUNDS_PER_S
    asks = plan.SHARDS_PER_DAEMON
    groups = plan.GROUPS_PER_DAEMON
    ask_s = _asks(slopes, "home", asks, groups)
    answer_s = _per_messages(slopes["lease_answer_home"], asks, groups)
    ask_b = _asks(slopes, "bytes", asks, groups)
    answer_b = _per_messages(slopes["lease_answer_bytes"], asks, groups)
    probe_s = slopes["probe_taken"].slope / PROBED_SERVERS
    return [
        Load(
            "home",
            "lease rounds",
            "writeleases, groups",
            "lease_ask_*, lease_stands_*, lease_answer_*",
            rounds * (ask_s + answer_s),
            2 * rounds * asks,
            rounds * (ask_b + answer_b),
        ),
        Load(
            "home",
            "ticks, with groups",
            "reducer, writeleases, jobs",
            "tick_by_groups",
            plan.TICKS_PER_S * slopes["tick_by_groups"].slope * groups,
            0.0,
            0.0,
        ),
        Load(
            "home",
            "take answers of probes in",
            "groups, jobs",
            "probe_taken",
            plan.PROBES_PER_S * probe_s,
            2 * plan.PROBES_PER_S,
            0.0,
        ),
    ]


def _relay_loads(slopes: Slopes) -> list[Load]:
    askers = plan.ASKERS_PER_RELAY
    ask_b = slopes["relay_ask_bytes"].slope + slopes["relay_answer_bytes"].slope
    configs_per_s = plan.CONFIG_CHANGES_PER_DAY / plan.DAY_S
    part_b = slopes["one_key_bytes"].at(plan.SERVICES)
    replaced_per_s = plan.REPLACED_PER_DAY / plan.DAY_S / plan.RELAYS
    whole_b = slopes["document_bytes"].at(plan.SERVICES)
    return [
        Load(
            "relay",
            "answer those that ask",
            "relays",
            "relay_asked",
            plan.RELAY_ASKS_PER_S * slopes["relay_asked"].at(askers),
            2 * plan.RELAY_ASKS_PER_S * askers,
            plan.RELAY_ASKS_PER_S * askers * ask_b,
        ),
        Load(
            "relay",
            "give changed parts on",
            "peerconfig",
            "one_key_bytes",
            0.0,
            configs_per_s * askers * 4,
            configs_per_s * askers * part_b,
        ),
        Load(
            "relay",
            "give the whole to new instances",
            "peerconfig",
            "document_bytes",
            0.0,
            replaced_per_s * 2 * PARTS,
            replaced_per_s * whole_b,
        ),
    ]


def _steward_loads(slopes: Slopes) -> list[Load]:
    rounds = plan.LEASE_ROUNDS_PER_S
    asks = plan.HOMES_PER_SHARD
    lines = plan.GROUPS_PER_SHARD * plan.HOMES
    ask_s = _asks(slopes, "steward", asks, lines)
    ask_b = _asks(slopes, "bytes", asks, lines)
    answer_b = _per_messages(slopes["lease_answer_bytes"], asks, lines)
    tick_s = slopes["steward_tick"].at(plan.HOMES)
    return [
        Load(
            "steward",
            "answer lease rounds",
            "charges",
            "lease_ask_*, lease_stands_*, lease_answer_bytes",
            rounds * ask_s,
            2 * rounds * asks,
            rounds * (ask_b + answer_b),
        ),
        Load(
            "steward",
            "ticks, with charges",
            "failover, stewards",
            "steward_tick",
            plan.TICKS_PER_S * tick_s,
            0.0,
            0.0,
        ),
        Load(
            "steward",
            "renew the hold in the store",
            "stewards",
            "fleet_keepalives_shards",
            0.0,
            2 * plan.RENEWALS_PER_S,
            0.0,
        ),
    ]


def _per_messages(slope: Slope, messages: float, lines: float) -> float:
    """Returns the whole of several messages that share the lines."""
    return max(0.0, slope.intercept) * messages + slope.slope * lines


def _asks(slopes: Slopes, name: str, messages: float, lines: float) -> float:
    """Returns a round of asks, of which a few carry all reports."""
    whole = _per_messages(slopes[f"lease_ask_{name}"], messages, lines)
    short = _per_messages(slopes[f"lease_stands_{name}"], messages, lines)
    return short + plan.FULL_REPORTS * (whole - short)


def _config_change_s(slopes: Slopes) -> float:
    total = 0.0
    for name in ("assemble_change", "parse_change", "config_taken"):
        total += slopes[name].at(plan.SERVICES)
    return total


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
        ["backend servers that a home probes", f"{_servers():.0f}"],
        ["shards", f"{plan.SHARDS}"],
        ["groups in a shard", f"{plan.GROUPS_PER_SHARD:.1f}"],
        ["stewards that a home asks", f"{plan.SHARDS_PER_DAEMON:.1f}"],
        ["homes that a steward answers", f"{plan.HOMES_PER_SHARD:.0f}"],
        ["relays in a zone", f"{plan.RELAYS_PER_ZONE}"],
        ["instances that ask a relay", f"{plan.ASKERS_PER_RELAY:.1f}"],
        ["changes of the list a day", f"{plan.LIST_CHANGES_PER_DAY:,}"],
    ]
    return _table(["what", "figure"], rows)


def _servers() -> float:
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
                f"{load.sent:.1f}" if load.sent else "-",
                f"{load.bytes_per_s:,.0f}" if load.bytes_per_s else "-",
            ]
        )
    head = ["role", "work", "modules", "slopes", "core", "msg/s", "bytes/s"]
    return _table(head, rows)


def _memory_rows(slopes: Slopes) -> list[tuple[str, str, str, float]]:
    groups = plan.GROUPS_PER_SHARD / plan.GROUPS_PER_DAEMON
    # Measured with 33 groups; a shard has more.
    lent = slopes["holder_memory"].slope * plan.HOMES * groups
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
        ("steward", "reports and loans", "holder_memory", lent),
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
        taken = [load for load in loads if load.role in roles]
        core = sum(load.core for load in taken)
        size = sum(load.bytes_per_s for load in taken)
        memory = 0.0
        for part, _, _, held in _memory_rows(slopes):
            memory += held if part in roles else 0.0
        rows.append(
            [
                role,
                _against(core, plan.BUDGET_CORE, f"{core:.2%}"),
                _against(memory, plan.BUDGET_BYTES, f"{memory / 1e6:.0f} MB"),
                _against(
                    size, plan.BUDGET_BYTES_PER_S, f"{size / 1e3:.0f} KB/s"
                ),
            ]
        )
    return _table(["role", "core", "memory", "control bytes"], rows)


def _against(value: float, limit: float, text: str) -> str:
    share = value / limit
    mark = " **over**" if share > 1 else ""
    return f"{text}, {share:.1f} of the budget{mark}"


def _store(slopes: Slopes) -> str:
    keeps = slopes["fleet_keepalives_shards"].slope * plan.SHARDS
    reads = plan.RELAYS * plan.RELAY_ASKS_PER_S
    primary = (
        plan.PRIMARY_CHANGES_PER_DAY
        * slopes["primaries_changed_writes"].slope
        / plan.DAY_S
    )
    parts = 4 * plan.CONFIG_CHANGES_PER_DAY / plan.DAY_S
    lists = plan.DAEMONS * plan.LISTS_PER_S
    writes_limit = plan.STORE_WRITES_PER_S
    reads_limit = plan.STORE_READS_PER_S
    config_reads = plan.RELAYS * 3 * plan.CONFIG_CHANGES_PER_DAY / plan.DAY_S
    rows = [
        ["keepalives of stewards", "write", f"{keeps:.0f}",
         f"{keeps / writes_limit:.0%}", "fleet_keepalives_shards"],
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
    change_s = _config_change_s(slopes)
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
