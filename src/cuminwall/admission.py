"""Rounds that wait at their entry instance for a token of their workspace."""

from cuminwall import buckets, outcomes, sessions, sharerequests, shares
from cuminwall.effects import Effect
from cuminwall.state import State


def tick(state: State, out: list[Effect]) -> None:
    """Sends rounds for which there is a token; refuses the late ones."""
    for bucket in list(state.waiting_buckets.values()):
        admit_waiting(state, bucket, out)
        _refuse_late(state, bucket, out)
        if not bucket.waiting:
            del state.waiting_buckets[bucket.workspace]
            continue
        sharerequests.request_now(state, bucket, out)


def handle_reply(state: State, out: list[Effect]) -> None:
    """Sends the rounds that an answer of a lender lets go."""
    for bucket in list(state.waiting_buckets.values()):
        admit_waiting(state, bucket, out)
        if bucket.waiting:
            if bucket.share.was_urgent and bucket.share.is_answered:
                shares.increase_backoff(bucket.share)
            sharerequests.request_now(state, bucket, out)
            continue
        del state.waiting_buckets[bucket.workspace]


def admit_waiting(
    state: State, bucket: buckets.Bucket, out: list[Effect]
) -> None:
    """Sends the rounds that wait, in their order, while there are tokens."""
    buckets.refill(bucket, state.now)
    while bucket.waiting and bucket.level >= 1.0:
        number, _ = bucket.waiting.popleft()
        if sessions.send_admitted(state, number, out):
            bucket.level -= 1.0


def _refuse_late(
    state: State, bucket: buckets.Bucket, out: list[Effect]
) -> None:
    """Refuses the rounds that have waited long enough."""
    wait_s = state.times.share_wait_s
    while bucket.waiting and state.now - bucket.waiting[0][1] >= wait_s:
        number, _ = bucket.waiting.popleft()
        sessions.refuse_waiting(state, number, outcomes.RATE_EXCEEDED, out)
