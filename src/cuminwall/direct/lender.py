"""What the coordinator lends of the workspaces' rates.

When the store does not answer, the coordinator's lease can't be renewed. It
goes on lending for a time as long as most instances ask it, and nobody else:
whoever takes over meanwhile lends little until it has heard most of them
itself, or that time is over.

A new coordinator does not know what its predecessor has lent. It lends only
what it is given back, until every process that was there before it has told
what it holds, has been replaced by a later process of its instance, or has
been silent for as long as any loan lasts.
"""

from cuminwall import lending
from cuminwall.direct import membership, messages
from cuminwall.direct.effects import Effect, Note
from cuminwall.direct.fleet_state import Coordinator, Lender
from cuminwall.direct.state import State

PART = "lender"

RATE_PREFIX = "rate:"
LENDABLE = (0.9, 0.6)  # The rest is fetched token by token.
FLOOR_PART = 0.05  # Of the whole, for all that lose touch.
FLOOR_LEAST = (0.0, 0.5)
MOST_PART = 0.2  # Of the whole, for one holder; more comes token by token.
LEAST_LEVEL = 1.5  # Tokens; a share of less room loses much of its rate.
MAJORITY_S = 0.6  # How long an ask shows that its sender has no other lender.
PRUNE_S = 2.0  # Between two looks for silent instances.
DRIFT_S = 1.0  # Added before a silent process counts as without any loan.


def start(state: State, found: Coordinator) -> None:
    """Begins to lend."""
    lent = state.lender = Lender(found.epoch, state.now)
    for member in state.members.values():
        if member.instance != state.instance:
            lent.unreported[member.instance] = member.boot


def stop(state: State) -> None:
    """Ceases to lend."""
    state.lender = None


def handle_share_request(
    state: State, sender: str, ask: messages.ShareRequest, out: list[Effect]
) -> messages.ShareReply | None:
    """Returns the answer to an ask; None if it was meant for another."""
    lent = state.lender
    if lent is None or ask.epoch != lent.epoch:
        return None
    member = state.members.get(sender)
    if member is None or member.boot != ask.boot:
        return None
    lent.last_request_at[sender] = state.now
    lent.earlier_request_at[sender] = state.now - ask.since_earlier_request_s
    if not _may_lend(state, lent):
        return None
    holder = f"{sender}@{ask.boot}"
    grants = []
    for line in ask.reports:
        limit = _find(state, lent, line.name)
        if limit is None:
            continue
        grant = lending.handle_report(
            limit, holder, ask.number, line, state.now
        )
        if grant is not None:
            grants.append(grant)
    if ask.is_complete and lent.unreported.get(sender) == ask.boot:
        del lent.unreported[sender]
    update_recovery(state, out)
    version = state.catalog.version
    return messages.ShareReply(ask.number, ask.epoch, tuple(grants), version)


def update_recovery(state: State, out: list[Effect]) -> None:
    """Lends freely once nobody may hold what this lender has not lent."""
    lent = state.lender
    if lent is None or lent.is_recovered:
        return
    for instance, boot in list(lent.unreported.items()):
        member = state.members.get(instance)
        if member is None or member.boot != boot:
            del lent.unreported[instance]
    if _may_have_another(state, lent, len(lent.unreported)):
        lent.earlier_lender_until = state.now
        for limit in lent.limits.values():
            lending.extend_earlier_leases(limit, state.now + MAJORITY_S)
    is_quiet = state.now >= lent.earlier_lender_until + _quiet_s(state)
    if lent.unreported and not is_quiet:
        if not _are_most_free(state, lent):
            return
        part = _unheard_part(state, lent)
        if part != lent.unreported_fraction:
            lent.unreported_fraction = part
            for limit in lent.limits.values():
                lending.cap_unclaimed(limit, part, state.now)
        return
    lent.is_recovered = True
    for limit in lent.limits.values():
        lending.drop_unclaimed(limit, state.now)
    out.append(
        Note(
            PART,
            "settled",
            {
                "epoch": lent.epoch,
                "after_s": round(state.now - lent.started_at, 3),
                "silent": sorted(lent.unreported),
            },
        )
    )


def remove_silent_instances(state: State, out: list[Effect]) -> None:
    """Removes the lines of instances that have been silent for long."""
    lent = state.lender
    if lent is None or state.now < lent.next_check_at:
        return
    lent.next_check_at = state.now + PRUNE_S
    silent = []
    for instance in state.members:
        heard_at = lent.last_request_at.get(instance, lent.started_at)
        if state.now - heard_at > _quiet_s(state):
            silent.append(instance)
    if not _may_have_another(state, lent, len(silent)):
        membership.remove_records(state, silent, out)


def _quiet_s(state: State) -> float:
    """Returns for how long a silent process may use what it was lent.

    An earlier lender goes on for a moment after most have turned from it.
    """
    limits = state.limits
    longest_s = max(limits.share_lease_s, limits.share_floor_s)
    return MAJORITY_S + longest_s + DRIFT_S


def _are_most_free(state: State, lent: Lender) -> bool:
    """Returns whether no earlier lender can have been asked by most lately.

    One without its lease lends only while most have asked it lately.
    """
    count = 0
    for instance in state.members:
        free_since = lent.earlier_request_at.get(instance, state.now)
        if state.now - free_since >= MAJORITY_S:
            count += 1
    return 2 * count > len(state.members)


def _may_have_another(state: State, lent: Lender, count: int) -> bool:
    """Returns whether so many silent instances may have an earlier lender.

    It goes on without the store for a time, as long as most ask it.
    """
    if 2 * count < len(state.members):
        return False
    return state.now < lent.started_at + state.limits.lend_without_lease_s


def _may_lend(state: State, lent: Lender) -> bool:
    """Returns whether nobody else can have become the lender of most."""
    hold = state.own_lease
    if hold.is_valid(state.now) and hold.epoch == lent.epoch:
        return True
    if state.now >= hold.valid_until + state.limits.lend_without_lease_s:
        return False
    heard = count_active_instances(state, MAJORITY_S)
    return 2 * (heard + 1) > len(state.members)


def _unheard_part(state: State, lent: Lender) -> float:
    """Returns how much of a limit those may have that were not heard."""
    if 2 * len(lent.unreported) >= len(state.members):
        return 1.0
    return min(1.0, len(lent.unreported) * MOST_PART + FLOOR_PART)


def _find(state: State, lent: Lender, name: str) -> lending.Limit | None:
    """Returns a limit with its present whole; None if there is none."""
    entry = state.catalog.workspaces.get(name.removeprefix(RATE_PREFIX))
    if entry is None:
        lent.limits.pop(name, None)
        return None
    whole = (entry.rate, entry.burst)
    limit = lent.limits.get(name)
    if limit is not None:
        lending.set_total(limit, whole, state.now)
        return limit
    policy = lending.Policy(
        lease_s=state.limits.share_lease_s,
        floor_s=state.limits.share_floor_s,
        drain_s=0.0,
        regular_fractions=LENDABLE,
        floor_fraction=FLOOR_PART,
        max_floor_fraction=FLOOR_PART,
        min_floor=FLOOR_LEAST,
        is_integral=False,
        has_tokens=True,
        max_holder_fraction=MOST_PART,
        min_burst=LEAST_LEVEL,
    )
    limit = lending.Limit(whole, policy, lent.epoch == 1, lent.started_at)
    if lent.is_recovered:
        lending.drop_unclaimed(limit, state.now)
    else:
        lending.extend_earlier_leases(
            limit, lent.earlier_lender_until + MAJORITY_S
        )
        lending.cap_unclaimed(limit, lent.unreported_fraction, state.now)
    lent.limits[name] = limit
    return limit


def count_active_instances(state: State, within_s: float) -> int:
    """Returns how many other instances asked lately."""
    lent = state.lender
    if lent is None:
        return 0
    count = 0
    for instance, heard_at in lent.last_request_at.items():
        if instance == state.instance:
            continue
        if state.now - heard_at <= within_s:
            count += 1
    return count
