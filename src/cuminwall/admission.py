"""Rounds that wait at their entry instance for a token of their workspace."""

from cuminwall import buckets, outcomes, sessions, shareasks, shares
from cuminwall.effects import Effect
from cuminwall.state import State


def tick(state: State, out: list[Effect]) -> None:
    """Sends rounds for which there is a token; refuses the late ones."""
    for bucket in list(state.waiting.values()):
        release(state, bucket, out)
        _refuse_late(state, bucket, out)
        if not bucket.waiting:
            del state.waiting[bucket.workspace]
            continue
        shareasks.ask_at_once(state, bucket, out)


def answered(state: State, out: list[Effect]) -> None:
    """Sends the rounds that an answer of a lender lets go."""
    for bucket in list(state.waiting.values()):
        release(state, bucket, out)
        if bucket.waiting:
            if bucket.line.was_short and bucket.line.is_answered:
                shares.lengthen_pause(bucket.line)
            shareasks.ask_at_once(state, bucket, out)
            continue
        del state.waiting[bucket.workspace]


def release(state: State, bucket: buckets.Bucket, out: list[Effect]) -> None:
    """Sends the rounds that wait, in their order, while there are tokens."""
    buckets.settle(bucket, state.now)
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
