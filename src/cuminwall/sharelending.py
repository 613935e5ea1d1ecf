"""What a steward lends of the shared limits of its shard.

A limit is named by its kind and subject: "rate:workspace" or
"connections:service/server".
"""

from cuminwall import lending, membership, messages
from cuminwall.effects import Effect, SendToPeer
from cuminwall.shares import Amounts
from cuminwall.state import State, Stewardship

RATE_KIND = "rate"
CONNECTIONS_KIND = "connections"

RATE_REGULAR_FRACTIONS = (0.5, 0.5)  # The rest stays for sudden needs.
RATE_FLOOR_FRACTION = 0.2
RATE_MAX_FLOOR_FRACTION = 0.3
RATE_MIN_FLOOR = (0.0, 1.0)

CONNECTIONS_FLOOR_FRACTION = 0.5
PROBE_CONNECTIONS_PER_HOME = 1


def handle_request(
    state: State,
    hold: Stewardship,
    sender: str,
    ask: messages.ShareRequest,
    out: list[Effect],
) -> None:
    """Answers an ask that was meant for this steward and epoch.

    What a holder claims from an earlier steward counts only if it was stated
    after that one had ceased to lend, which the epoch proves.
    """
    if ask.epoch != hold.epoch:
        return
    holder = f"{sender}@{ask.started_at}"
    grants = []
    for line in ask.reports:
        limit = _find(state, hold, line.name)
        if limit is None:
            continue
        grant = lending.handle_report(
            limit, holder, ask.number, line, state.now
        )
        if grant is not None:
            grants.append(grant)
    if grants:
        answer = messages.ShareReply(ask.number, ask.shard, tuple(grants))
        out.append(SendToPeer(sender, answer))


def rate_name(workspace: str) -> str:
    """Returns the name of a workspace's limit."""
    return f"{RATE_KIND}:{workspace}"


def connections_name(service: str, server: str) -> str:
    """Returns the name of the limit of a backend server's connections."""
    return f"{CONNECTIONS_KIND}:{service}/{server}"


def _find(state: State, hold: Stewardship, name: str) -> lending.Limit | None:
    """Returns a limit with its present whole; None if there is none."""
    kind, _, subject = name.partition(":")
    if kind == RATE_KIND:
        whole = _whole_rate(state, subject)
    else:
        whole = _whole_connections(state, subject)
    if whole is None:
        hold.limits.pop(name, None)
        return None
    limit = hold.limits.get(name)
    if limit is not None:
        lending.set_total(limit, whole, state.now)
        return limit
    policy = _rate_policy(state)
    if kind == CONNECTIONS_KIND:
        policy = _connections_policy(state)
    is_first = hold.epoch == 1
    limit = lending.Limit(whole, policy, is_first, hold.active_since)
    hold.limits[name] = limit
    return limit


def _whole_rate(state: State, workspace: str) -> Amounts | None:
    """Returns a workspace's rate and burst."""
    entry = state.config.workspaces.get(workspace)
    if entry is None:
        return None
    return (entry.rate, entry.burst)


def _whole_connections(state: State, subject: str) -> Amounts | None:
    """Returns the connections to a server that are for callers' work."""
    service, _, server = subject.partition("/")
    entry = state.config.services.get(service)
    if entry is None or server not in entry.servers:
        return None
    homes = len(membership.homes(state, service))
    probes = homes * PROBE_CONNECTIONS_PER_HOME
    total = entry.connections_per_server - entry.reserved_connections
    return (float(max(1, total - probes)),)


def _rate_policy(state: State) -> lending.Policy:
    """Returns how rates are lent."""
    return lending.Policy(
        lease_s=state.times.share_lease_s,
        floor_s=state.times.share_floor_s,
        drain_s=0.0,
        regular_fractions=RATE_REGULAR_FRACTIONS,
        floor_fraction=RATE_FLOOR_FRACTION,
        max_floor_fraction=RATE_MAX_FLOOR_FRACTION,
        min_floor=RATE_MIN_FLOOR,
        is_integral=False,
        has_tokens=True,
    )


def _connections_policy(state: State) -> lending.Policy:
    """Returns how connections are lent."""
    return lending.Policy(
        lease_s=state.times.connection_lease_s,
        floor_s=state.times.share_floor_s,
        drain_s=state.times.connection_drain_s,
        regular_fractions=(1.0,),
        floor_fraction=CONNECTIONS_FLOOR_FRACTION,
        max_floor_fraction=1.0,
        min_floor=(1.0,),
        is_integral=True,
        has_tokens=False,
    )
