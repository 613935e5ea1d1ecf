"""Holders and lenders of one limit, with the messages between them.

Time is a number that the test moves. Messages may be late, lost or overtake
each other; instances die and pause; lenders are replaced.
"""

import heapq
import random
from collections.abc import Callable

from cuminwall import buckets, lending, messages, shares

RATE_POLICY = lending.Policy(
    lease_s=2.0,
    floor_s=6.0,
    drain_s=0.0,
    regular_fractions=(0.5, 0.5),
    floor_fraction=0.2,
    max_floor_fraction=0.3,
    min_floor=(0.0, 1.0),
    is_integral=False,
    has_tokens=True,
)
CONNECTIONS_POLICY = RATE_POLICY._replace(
    regular_fractions=(1.0,),
    floor_fraction=0.5,
    max_floor_fraction=1.0,
    min_floor=(1.0,),
    is_integral=True,
    has_tokens=False,
)
RENEW_S = 0.5
LONG_DELAY_S = 1.5


class Holder:
    """An instance with a bucket, or with a number of connections."""

    def __init__(self, name: str, components: int, now: float):
        self.name = name
        self.share = shares.Share("limit", components)
        self.bucket = buckets.Bucket("w", self.share, now)
        self.is_rate = components == 2
        self.wanted = 0.0
        self.epoch = 0
        self.is_alive = True
        self.is_cut = False
        self.loses_replies = False
        self.slow_count = 0
        self.paused_until = 0.0

    def held(self, now: float) -> shares.Amounts:
        """Returns what it would use now."""
        if self.is_rate:
            buckets.refill(self.bucket, now)
        return shares.usable(self.share, now)

    def make_report(self, now: float) -> messages.ShareReport:
        """Returns what an ask states."""
        if self.is_rate:
            return buckets.make_report(self.bucket, now)
        shares.drop_expired(self.share, now)
        line = self.share
        want = (self.wanted,)
        return messages.ShareReport(
            line.name, line.accepted_number, line.held, line.floor, want,
            0.0, 0.0, 0.0, 0.0, False,
        )  # fmt: skip

    def apply_grant(self, number: int, grant: messages.ShareGrant, now: float):
        """Takes an answer."""
        if self.is_rate:
            return buckets.apply_grant(self.bucket, number, grant, now)
        return shares.accept(self.share, number, grant, now)


class ShareWorld:
    """One limit, its holders, and its lender of the day."""

    def __init__(self, whole: shares.Amounts, count: int, seed: int):
        self.now = 100.0
        self.total = whole
        self.random = random.Random(seed)
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.number = 0
        self.losses = 0
        self.epoch = 1
        self.is_vacant = False
        self.policy = RATE_POLICY if len(whole) == 2 else CONNECTIONS_POLICY
        self.limit = lending.Limit(whole, self.policy, True, self.now)
        self.holders: dict[str, Holder] = {}
        self.admitted: list[float] = []
        self.max_level = 0.0
        self.max_held = (0.0,) * len(whole)
        for place in range(count):
            self.join(f"i{place}")

    def join(self, name: str) -> None:
        """Starts an instance, or one with the name of another again."""
        holder = Holder(name, len(self.total), self.now)
        self.holders[f"{name}@{self.now}"] = holder
        holder.epoch = self.epoch
        self.schedule(0.0, lambda: self.renew(holder))

    def find(self, name: str) -> Holder | None:
        """Returns the living instance of a name."""
        for holder in self.holders.values():
            if holder.name == name and holder.is_alive:
                return holder
        return None

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Does something later."""
        self.order += 1
        heapq.heappush(self.heap, (self.now + delay_s, self.order, action))

    def run(self, duration_s: float) -> None:
        """Lets time go on, with a check after each step."""
        end = self.now + duration_s
        while self.heap and self.heap[0][0] <= end:
            at, _, action = heapq.heappop(self.heap)
            self.now = max(self.now, at)
            action()
            self.check()
        self.now = end
        self.check()

    def check(self) -> None:
        """Adds up what all holders and the lender's pool have now."""
        sums = [0.0] * len(self.total)
        level = 0.0
        for holder in self.holders.values():
            if not holder.is_alive:
                continue
            for place, amount in enumerate(holder.held(self.now)):
                sums[place] += amount
            level += holder.bucket.level
        if not self.is_vacant:
            lending.refill(self.limit, self.now)
            level += self.limit.level
            for place, amount in enumerate(lending.unallocated(self.limit)):
                pool = amount + self.limit.reserve[place]
                sums[place] += max(0.0, pool)
        self.max_held = tuple(map(max, self.max_held, sums))
        if self.policy.has_tokens:
            self.max_level = max(self.max_level, level)

    def run_unpaused(self, holder: Holder, action: Callable[[], None]) -> None:
        """Does something at an instance once it is not paused."""
        if not holder.is_alive:
            return
        if self.now < holder.paused_until:
            wait_s = holder.paused_until - self.now
            self.schedule(wait_s, lambda: self.run_unpaused(holder, action))
            return
        action()

    def renew(self, holder: Holder) -> None:
        """Asks regularly."""
        if not holder.is_alive:
            return
        self.run_unpaused(holder, lambda: self.send_request(holder))
        self.schedule(RENEW_S, lambda: self.renew(holder))

    def send_request(self, holder: Holder) -> None:
        """Sends an ask to the lender whom the instance believes in."""
        if not shares.may_request_now(holder.share, self.now):
            return
        if not holder.is_cut and not self.is_vacant:
            holder.epoch = self.epoch
        self.number += 1
        number = self.number
        line = holder.make_report(self.now)
        shares.record_request(
            holder.share, number, self.now, line.shortfall > 0
        )
        epoch = holder.epoch
        self.deliver(
            holder, lambda: self.handle_request(holder, number, epoch, line)
        )

    def handle_request(self, holder, number, epoch, line) -> None:
        """The lender answers."""
        if self.is_vacant or epoch != self.epoch:
            return
        key = f"{holder.name}@{id(holder)}"
        grant = lending.handle_report(self.limit, key, number, line, self.now)
        if grant is None:
            return
        if holder.loses_replies:
            return
        self.deliver(
            holder,
            lambda: self.run_unpaused(
                holder, lambda: self.handle_reply(holder, number, grant)
            ),
        )

    def handle_reply(self, holder, number, grant) -> None:
        """The instance takes an answer; what it gave up it tells at once."""
        accepted = holder.apply_grant(number, grant, self.now)
        if holder.is_rate:
            self.serve(holder)
        if accepted is not None and accepted.has_shrunk:
            self.schedule(
                0.05,
                lambda: self.run_unpaused(
                    holder, lambda: self.send_request(holder)
                ),
            )

    def deliver(self, holder: Holder, action: Callable[[], None]) -> None:
        """Carries a message, or loses it."""
        if holder.is_cut:
            return
        if self.losses:
            self.losses -= 1
            return
        delay_s = self.random.uniform(0.0005, 0.004)
        if holder.slow_count:
            holder.slow_count -= 1
            delay_s = self.random.uniform(0.1, LONG_DELAY_S)
        self.schedule(delay_s, action)

    def request(self, holder: Holder) -> None:
        """A caller's request."""
        if not holder.is_rate:
            return
        bucket = holder.bucket
        bucket.arrivals += 1
        bucket.waiting.append((0, self.now))
        self.serve(holder)
        if bucket.waiting:
            self.send_request(holder)

    def serve(self, holder: Holder) -> None:
        """Admits what has tokens, and drops what waited long."""
        bucket = holder.bucket
        buckets.refill(bucket, self.now)
        while bucket.waiting and bucket.level >= 1.0:
            bucket.waiting.popleft()
            bucket.level -= 1.0
            self.admitted.append(self.now)
        while bucket.waiting and self.now - bucket.waiting[0][1] > 0.25:
            bucket.waiting.popleft()

    def replace_lender(self, gap_s: float) -> None:
        """The lender goes; after a time a new one lends, under a new epoch."""
        self.epoch += 1
        self.is_vacant = True
        epoch = self.epoch
        self.schedule(gap_s, lambda: self.take_over(epoch))

    def take_over(self, epoch: int) -> None:
        """A new lender begins, which knows no loans."""
        if epoch != self.epoch:
            return
        self.is_vacant = False
        self.limit = lending.Limit(self.total, self.policy, False, self.now)

    def set_total(self, whole: shares.Amounts) -> None:
        """Changes the configuration."""
        self.total = whole
        lending.set_total(self.limit, whole, self.now)
