"""Rounds that wait at their entry instance for a token of their workspace."""

from cuminwall import buckets, outcomes, sessions, shareasks, shares
from cuminwall.effects import Effect
from cuminwall.state import State


def tick(state: State, out: list[Effect]) -> None:
    """Sends waiting rounds that get a token; refuses those that time out."""
    for bucket in list(state.waiting.values()):
        release(state, bucket, out)
        _refuse_timed_out(state, bucket, out)
        if not bucket.waiting:
            del state.waiting[bucket.workspace]
            continue
        shareasks.ask_at_once(state, bucket, out)


def answered(state: State, out: list[Effect]) -> None:
    """Sends waiting rounds for which a lender's reply brought tokens."""
    for bucket in list(state.waiting.values()):
        release(state, bucket, out)
        if bucket.waiting:
            if bucket.line.was_short and bucket.line.is_answered:
                shares.lengthen_pause(bucket.line)
            shareasks.ask_at_once(state, bucket, out)
            continue
        del state.waiting[bucket.workspace]


def release(state: State, bucket: buckets.Bucket, out: list[Effect]) -> None:
    """Sends waiting rounds in order of arrival while there are tokens."""
    buckets.settle(bucket, state.now)
    while bucket.waiting and bucket.level >= 1.0:
        number, _ = bucket.waiting.popleft()
        if sessions.resume(state, number, out):
            bucket.level -= 1.0


def _refuse_timed_out(
    state: State, bucket: buckets.Bucket, out: list[Effect]
) -> None:
    """Refuses the rounds that have waited for `share_wait_s`."""
    wait_s = state.times.share_wait_s
    while bucket.waiting and state.now - bucket.waiting[0][1] >= wait_s:
        number, _ = bucket.waiting.popleft()
        sessions.refuse(state, number, outcomes.RATE_EXCEEDED, out)
