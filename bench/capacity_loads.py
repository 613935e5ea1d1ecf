"""Computes the control load of each role at the planned size."""

from typing import NamedTuple

from bench import plan
from bench.fits import Slope

Slopes = dict[str, Slope]

LIST_WORK = "read the instance list"
PROBED_SERVERS = 2
PARTS = 641


class Load(NamedTuple):
    """The load per second of one part of a role's control work.

    Attributes:
      role: The role. Homes also bear the load of entry instances; relays and
        stewards that of homes.
      work: The work done.
      module: The modules that do it.
      slope: The slopes that the figures are computed from.
      core: Processor time, as a fraction of one core.
      messages_per_s: Messages sent and received per second.
      bytes_per_s: Bytes sent and received per second.
    """

    role: str
    work: str
    module: str
    slope: str
    core: float
    messages_per_s: float
    bytes_per_s: float


def compute_loads(slopes: Slopes) -> list[Load]:
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
    list_bytes_each = slopes["list_bytes"].at(plan.DAEMONS)
    change_s = config_change_s(slopes)
    request_bytes = (
        slopes["relay_ask_bytes"].slope + slopes["relay_answer_bytes"].slope
    )
    tick_s = slopes["tick_by_sessions"].at(plan.SESSIONS_PER_DAEMON)
    return [
        Load(
            "entry",
            LIST_WORK,
            "upkeep, instancelist, membership",
            "list_unchanged, list_parsed, list_bytes",
            plan.LIST_READS_PER_S * list_s + joins_per_s * parsed_s,
            2 * plan.LIST_READS_PER_S,
            plan.LIST_READS_PER_S * list_bytes_each,
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
            plan.RELAY_REQUESTS_PER_S * slopes["relay_asked"].slope,
            2 * plan.RELAY_REQUESTS_PER_S,
            plan.RELAY_REQUESTS_PER_S * request_bytes,
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
    requests = plan.SHARDS_PER_DAEMON
    groups = plan.GROUPS_PER_DAEMON
    request_s = _lease_requests(slopes, "home", requests, groups)
    reply_s = _per_messages(slopes["lease_answer_home"], requests, groups)
    request_bytes = _lease_requests(slopes, "bytes", requests, groups)
    reply_bytes = _per_messages(slopes["lease_answer_bytes"], requests, groups)
    probe_s = slopes["probe_taken"].slope / PROBED_SERVERS
    return [
        Load(
            "home",
            "lease rounds",
            "writeleases, groups",
            "lease_ask_*, lease_stands_*, lease_answer_*",
            rounds * (request_s + reply_s),
            2 * rounds * requests,
            rounds * (request_bytes + reply_bytes),
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
    requesters = plan.REQUESTERS_PER_RELAY
    request_bytes = (
        slopes["relay_ask_bytes"].slope + slopes["relay_answer_bytes"].slope
    )
    configs_per_s = plan.CONFIG_CHANGES_PER_DAY / plan.DAY_S
    part_bytes = slopes["one_key_bytes"].at(plan.SERVICES)
    replaced_per_s = plan.REPLACED_PER_DAY / plan.DAY_S / plan.RELAYS
    document_bytes = slopes["document_bytes"].at(plan.SERVICES)
    return [
        Load(
            "relay",
            "answer those that ask",
            "relays",
            "relay_asked",
            plan.RELAY_REQUESTS_PER_S * slopes["relay_asked"].at(requesters),
            2 * plan.RELAY_REQUESTS_PER_S * requesters,
            plan.RELAY_REQUESTS_PER_S * requesters * request_bytes,
        ),
        Load(
            "relay",
            "give changed parts on",
            "peerconfig",
            "one_key_bytes",
            0.0,
            configs_per_s * requesters * 4,
            configs_per_s * requesters * part_bytes,
        ),
        Load(
            "relay",
            "give the whole to new instances",
            "peerconfig",
            "document_bytes",
            0.0,
            replaced_per_s * 2 * PARTS,
            replaced_per_s * document_bytes,
        ),
    ]


def _steward_loads(slopes: Slopes) -> list[Load]:
    rounds = plan.LEASE_ROUNDS_PER_S
    requests = plan.HOMES_PER_SHARD
    lines = plan.GROUPS_PER_SHARD * plan.HOMES
    request_s = _lease_requests(slopes, "steward", requests, lines)
    request_bytes = _lease_requests(slopes, "bytes", requests, lines)
    reply_bytes = _per_messages(slopes["lease_answer_bytes"], requests, lines)
    tick_s = slopes["steward_tick"].at(plan.HOMES)
    return [
        Load(
            "steward",
            "answer lease rounds",
            "charges",
            "lease_ask_*, lease_stands_*, lease_answer_bytes",
            rounds * request_s,
            2 * rounds * requests,
            rounds * (request_bytes + reply_bytes),
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
    """Returns the total cost of several messages that share the lines.

    Each message costs the intercept, which counts as 0 if the fit made it
    negative; each line costs the slope.
    """
    return max(0.0, slope.intercept) * messages + slope.slope * lines


def _lease_requests(
    slopes: Slopes, name: str, messages: float, lines: float
) -> float:
    """Returns the cost of a round of lease requests.

    The fraction `plan.FULL_REPORT_FRACTION` of them carries all reports.
    """
    whole = _per_messages(slopes[f"lease_ask_{name}"], messages, lines)
    short = _per_messages(slopes[f"lease_stands_{name}"], messages, lines)
    return short + plan.FULL_REPORT_FRACTION * (whole - short)


def config_change_s(slopes: Slopes) -> float:
    """Returns the processor time of applying a change of one key."""
    total = 0.0
    for name in ("assemble_change", "parse_change", "config_taken"):
        total += slopes[name].at(plan.SERVICES)
    return total
