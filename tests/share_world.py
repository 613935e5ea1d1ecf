"""Simulation of the holders and lenders of one limit and their messages.

The test advances the time. Messages may be late, lost or reordered; instances
die and pause; lenders are replaced.
"""

import heapq
import random
from collections.abc import Callable

from cuminwall import buckets, lending, messages, shares

RATE_POLICY = lending.Policy(
    lease_s=2.0,
    floor_s=6.0,
    drain_s=0.0,
    lendable=(0.5, 0.5),
    floor_part=0.2,
    floor_most=0.3,
    floor_least=(0.0, 1.0),
    is_whole=False,
    has_level=True,
)
CONNECTIONS_POLICY = RATE_POLICY._replace(
    lendable=(1.0,),
    floor_part=0.5,
    floor_most=1.0,
    floor_least=(1.0,),
    is_whole=True,
    has_level=False,
)
RENEW_S = 0.5
LONG_DELAY_S = 1.5


class Holder:
    """An instance with a share of rate and burst, or of connections."""

    def __init__(self, name: str, components: int, now: float):
        self.name = name
        self.line = shares.Line("limit", components)
        self.bucket = buckets.Bucket("w", self.line, now)
        self.is_rate = components == 2
        self.wanted = 0.0
        self.epoch = 0
        self.is_alive = True
        self.is_cut = False
        self.is_deaf = False
        self.slow_count = 0
        self.paused_until = 0.0

    def held(self, now: float) -> shares.Amounts:
        """Returns the amounts that it may use now."""
        if self.is_rate:
            buckets.settle(self.bucket, now)
        return shares.usable(self.line, now)

    def state_line(self, now: float) -> messages.ShareLine:
        """Returns the report for a request."""
        if self.is_rate:
            return buckets.state_line(self.bucket, now)
        shares.lapse(self.line, now)
        share = self.line
        wanted = (self.wanted,)
        return messages.ShareLine(
            share.name, share.accepted, share.held, share.floor, wanted,
            0.0, 0.0, 0.0, 0.0, False,
        )  # fmt: skip

    def granted(self, number: int, grant: messages.ShareGrant, now: float):
        """Applies a grant."""
        if self.is_rate:
            return buckets.granted(self.bucket, number, grant, now)
        return shares.accept(self.line, number, grant, now)


class ShareWorld:
    """One limit with its holders and its current lender."""

    def __init__(self, whole: shares.Amounts, count: int, seed: int):
        self.now = 100.0
        self.whole = whole
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
        self.most_level = 0.0
        self.most_held = (0.0,) * len(whole)
        for index in range(count):
            self.join(f"i{index}")

    def join(self, name: str) -> None:
        """Starts an instance, or a new process of a known instance."""
        holder = Holder(name, len(self.whole), self.now)
        self.holders[f"{name}@{self.now}"] = holder
        holder.epoch = self.epoch
        self.at(0.0, lambda: self.renew(holder))

    def find(self, name: str) -> Holder | None:
        """Returns the running instance of a name, if there is one."""
        for holder in self.holders.values():
            if holder.name == name and holder.is_alive:
                return holder
        return None

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        self.order += 1
        heapq.heappush(self.heap, (self.now + delay_s, self.order, action))

    def run(self, duration_s: float) -> None:
        """Advances the time; updates the maxima after each action."""
        end = self.now + duration_s
        while self.heap and self.heap[0][0] <= end:
            at, _, action = heapq.heappop(self.heap)
            self.now = max(self.now, at)
            action()
            self.check()
        self.now = end
        self.check()

    def check(self) -> None:
        """Updates the maxima of what all holders and the pool have together."""
        sums = [0.0] * len(self.whole)
        level = 0.0
        for holder in self.holders.values():
            if not holder.is_alive:
                continue
            for index, amount in enumerate(holder.held(self.now)):
                sums[index] += amount
            level += holder.bucket.level
        if not self.is_vacant:
            lending.settle(self.limit, self.now)
            level += self.limit.level
            for index, amount in enumerate(lending.free(self.limit)):
                pool = amount + self.limit.reserve[index]
                sums[index] += max(0.0, pool)
        self.most_held = tuple(map(max, self.most_held, sums))
        if self.policy.has_level:
            self.most_level = max(self.most_level, level)

    def wake(self, holder: Holder, action: Callable[[], None]) -> None:
        """Runs an action at an instance, after its pause if it is paused."""
        if not holder.is_alive:
            return
        if self.now < holder.paused_until:
            wait_s = holder.paused_until - self.now
            self.at(wait_s, lambda: self.wake(holder, action))
            return
        action()

    def renew(self, holder: Holder) -> None:
        """Sends the regular requests of an instance."""
        if not holder.is_alive:
            return
        self.wake(holder, lambda: self.ask(holder))
        self.at(RENEW_S, lambda: self.renew(holder))

    def ask(self, holder: Holder) -> None:
        """Sends a request to the lender that the instance knows."""
        if not shares.may_ask_now(holder.line, self.now):
            return
        if not holder.is_cut and not self.is_vacant:
            holder.epoch = self.epoch
        self.number += 1
        number = self.number
        report = holder.state_line(self.now)
        shares.note_asked(holder.line, number, self.now, report.short > 0)
        epoch = holder.epoch
        self.carry(holder, lambda: self.hear(holder, number, epoch, report))

    def hear(self, holder, number, epoch, report) -> None:
        """Processes a request at the lender and sends the reply."""
        if self.is_vacant or epoch != self.epoch:
            return
        key = f"{holder.name}@{id(holder)}"
        grant = lending.asked(self.limit, key, number, report, self.now)
        if grant is None:
            return
        if holder.is_deaf:
            return
        self.carry(
            holder,
            lambda: self.wake(
                holder, lambda: self.answered(holder, number, grant)
            ),
        )

    def answered(self, holder, number, grant) -> None:
        """Applies a reply; reports a reduced share soon afterwards."""
        accepted = holder.granted(number, grant, self.now)
        if holder.is_rate:
            self.serve(holder)
        if accepted is not None and accepted.has_shrunk:
            self.at(0.05, lambda: self.wake(holder, lambda: self.ask(holder)))

    def carry(self, holder: Holder, action: Callable[[], None]) -> None:
        """Delivers a message after a delay, or loses it."""
        if holder.is_cut:
            return
        if self.losses:
            self.losses -= 1
            return
        delay_s = self.random.uniform(0.0005, 0.004)
        if holder.slow_count:
            holder.slow_count -= 1
            delay_s = self.random.uniform(0.1, LONG_DELAY_S)
        self.at(delay_s, action)

    def request(self, holder: Holder) -> None:
        """Adds a request of a caller to a bucket."""
        if not holder.is_rate:
            return
        bucket = holder.bucket
        bucket.arrivals += 1
        bucket.waiting.append((0, self.now))
        self.serve(holder)
        if bucket.waiting:
            self.ask(holder)

    def serve(self, holder: Holder) -> None:
        """Admits waiting requests while there are tokens; drops late ones."""
        bucket = holder.bucket
        buckets.settle(bucket, self.now)
        while bucket.waiting and bucket.level >= 1.0:
            bucket.waiting.popleft()
            bucket.level -= 1.0
            self.admitted.append(self.now)
        while bucket.waiting and self.now - bucket.waiting[0][1] > 0.25:
            bucket.waiting.popleft()

    def replace_lender(self, gap_s: float) -> None:
        """Replaces the lender, after a gap, by one with a new epoch."""
        self.epoch += 1
        self.is_vacant = True
        epoch = self.epoch
        self.at(gap_s, lambda: self.take_over(epoch))

    def take_over(self, epoch: int) -> None:
        """Starts a new lender, which knows no allocations."""
        if epoch != self.epoch:
            return
        self.is_vacant = False
        self.limit = lending.Limit(self.whole, self.policy, False, self.now)

    def set_whole(self, whole: shares.Amounts) -> None:
        """Changes the total of the limit."""
        self.whole = whole
        lending.set_whole(self.limit, whole, self.now)
