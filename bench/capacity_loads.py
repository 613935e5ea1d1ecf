"""What each role's control work takes at the planned size."""

from typing import NamedTuple

from bench import plan
from bench.fits import Slope

Slopes = dict[str, Slope]

LIST_WORK = "read the instance list"
PROBED_SERVERS = 2
PARTS = 641


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
    change_s = config_change_s(slopes)
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


def config_change_s(slopes: Slopes) -> float:
    """Returns the processor time of taking one changed key over."""
    total = 0.0
    for name in ("assemble_change", "parse_change", "config_taken"):
        total += slopes[name].at(plan.SERVICES)
    return total
