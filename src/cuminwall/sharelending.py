"""Steward side of shared limits: answers requests for shares of its shard.

A limit is named by its kind and subject: "rate:workspace" or
"connections:service/server".
"""

from cuminwall import lending, membership, messages
from cuminwall.effects import Effect, SendToPeer
from cuminwall.shares import Amounts
from cuminwall.state import State, Stewardship

RATE_KIND = "rate"
CONNECTIONS_KIND = "connections"

RATE_REGULAR_FRACTIONS = (0.5, 0.5)  # The rest is reserved for sudden demand.
RATE_FLOOR_FRACTION = 0.2
RATE_MAX_FLOOR_FRACTION = 0.3
RATE_MIN_FLOOR = (0.0, 1.0)

CONNECTIONS_FLOOR_FRACTION = 0.5
PROBE_CONNECTIONS_PER_HOME = 1


def handle_request(
    state: State,
    stewardship: Stewardship,
    sender: str,
    request: messages.ShareRequest,
    out: list[Effect],
) -> None:
    """Answers a request that names this steward's epoch; ignores others.

    A holder's claim to a share from an earlier steward is valid only if it
    was reported after that steward had stopped granting. The epoch in the
    request proves this.
    """
    if request.epoch != stewardship.epoch:
        return
    holder = f"{sender}@{request.started_at}"
    grants = []
    for report in request.reports:
        limit = _get_limit(state, stewardship, report.name)
        if limit is None:
            continue
        grant = lending.handle_report(
            limit, holder, request.number, report, state.now
        )
        if grant is not None:
            grants.append(grant)
    if grants:
        reply = messages.ShareReply(
            request.number, request.shard, tuple(grants)
        )
        out.append(SendToPeer(sender, reply))


def rate_name(workspace: str) -> str:
    """Returns the name of a workspace's rate limit."""
    return f"{RATE_KIND}:{workspace}"


def connections_name(service: str, server: str) -> str:
    """Returns the name of a backend server's connection limit."""
    return f"{CONNECTIONS_KIND}:{service}/{server}"


def _get_limit(
    state: State, stewardship: Stewardship, name: str
) -> lending.Limit | None:
    """Returns a limit with its configured total, or None if it has none."""
    kind, _, subject = name.partition(":")
    if kind == RATE_KIND:
        total = _total_rate(state, subject)
    else:
        total = _total_connections(state, subject)
    if total is None:
        stewardship.limits.pop(name, None)
        return None
    limit = stewardship.limits.get(name)
    if limit is not None:
        lending.set_total(limit, total, state.now)
        return limit
    policy = _rate_policy(state)
    if kind == CONNECTIONS_KIND:
        policy = _connections_policy(state)
    is_first = stewardship.epoch == 1
    limit = lending.Limit(total, policy, is_first, stewardship.active_since)
    stewardship.limits[name] = limit
    return limit


def _total_rate(state: State, workspace: str) -> Amounts | None:
    """Returns a workspace's rate and burst."""
    entry = state.config.workspaces.get(workspace)
    if entry is None:
        return None
    return (entry.rate, entry.burst)


def _total_connections(state: State, subject: str) -> Amounts | None:
    """Returns the number of connections to a server available to callers."""
    service, _, server = subject.partition("/")
    entry = state.config.services.get(service)
    if entry is None or server not in entry.servers:
        return None
    homes = len(membership.homes(state, service))
    probes = homes * PROBE_CONNECTIONS_PER_HOME
    total = entry.connections_per_server - entry.reserved_connections
    return (float(max(1, total - probes)),)


def _rate_policy(state: State) -> lending.Policy:
    """Returns the policy for workspace rates."""
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
    """Returns the policy for connections to backend servers."""
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
