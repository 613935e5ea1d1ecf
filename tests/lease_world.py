"""A simulation whose replaced primaries go on until they learn of it.

It judges what callers saw: no write is acknowledged that was committed at a
replaced primary, and no read that must show every commit lacks one that was
acknowledged before it was sent.
"""

from collections.abc import Iterable
from typing import Any

from cuminwall.direct import effects, events, limits, statements
from cuminwall.direct.answers import Answer
from tests import direct_world

LIMITS = limits.DEFAULTS._replace(are_primaries_fenced=False)
PROMOTE_S = 1.0
LEARNS_S = 1.0  # Until a replaced primary that reaches the new one steps down.


class World(direct_world.World):
    """Instances and servers with partitions, freezes and unfenced primaries.

    Attributes:
      leader: The server that was promoted last.
      islands: The names of those that reach only each other; each instance or
        server in none of them is on the main land, as is the store.
      faults: The promises that were broken.
      acknowledged: When each acknowledged write was, by request.
      lost: The writes that a promotion has undone.
      deposed_commits: The writes that were committed at a replaced primary.
      sent_fences: The fencing tokens of the orders, as they were sent.
      held: What the cuts hold up: sender, receiver and message.
      frozen: The events that wait for each suspended instance.
      sent: When each read was sent, by request.
      late_orders_s: By how much the next orders are carried out late, the last
        one first; those are not answered.
      counter: How many requests were made.
    """

    def __init__(self, names: tuple[str, ...], seed: int):
        self.leader = "p"
        self.islands: list[set[str]] = []
        self.held: list[tuple[str, str, Any]] = []
        self.frozen: dict[str, list[Any]] = {}
        self.faults: list[str] = []
        self.acknowledged: dict[str, float] = {}
        self.sent: dict[str, float] = {}
        self.lost: set[str] = set()
        self.deposed_commits: set[str] = set()
        self.sent_fences: list[int] = []
        self.late_orders_s: list[float] = []
        self.counter = 0
        servers = []
        for name in ("p", "q", "r"):
            servers.append(direct_world.FakeServer(name))
        servers[0].is_primary = True
        servers[1].lag_s = 0.02
        servers[2].lag_s = 0.04
        super().__init__(names, tuple(servers), seed, LIMITS)
        self.promote_s = PROMOTE_S

    def perform(self, instance: direct_world.Instance, effect: Any) -> None:
        if isinstance(effect, effects.SendToPeer):
            self._say(instance, effect)
        elif isinstance(effect, effects.Promote):
            self._promote(instance, effect)
        else:
            super().perform(instance, effect)

    def isolate(self, names: Iterable[str]) -> None:
        """Cuts off some instances and servers; the store is not among them."""
        self.islands.append(set(names))
        self._update_cuts()

    def heal(self) -> None:
        """Ends all cuts and delivers what was held up by them."""
        self.islands.clear()
        self._update_cuts()
        held, self.held = self.held, []
        for sender, receiver, message in held:
            self._deliver(sender, receiver, message)

    def freeze(self, name: str, for_s: float) -> None:
        """Suspends an instance; it handles what came meanwhile afterwards."""
        if name in self.frozen:
            return
        instance = self.instances[name]
        waiting: list[Any] = []
        self.frozen[name] = waiting
        handle = instance.handle_event
        instance.handle_event = waiting.append  # type: ignore[method-assign]

        def wake() -> None:
            instance.handle_event = handle  # type: ignore[method-assign]
            del self.frozen[name]
            instance.timer_at = float("inf")
            for event in waiting:
                handle(event._replace(now=self.now))
            handle(events.TimersDue(self.now))

        self.schedule(for_s, wake)

    def write_at(self, name: str) -> None:
        """Sends one write at an instance and records its outcome."""
        request = self._next_request("w")
        caller = self.instances[name].caller("db")

        def check(answer: Answer) -> None:
            if answer.failure is not None:
                return
            self.acknowledged[request] = self.now
            if request in self.deposed_commits:
                self.faults.append(f"{request} committed at a replaced primary")

        caller.on_answer = check
        caller.send(statements.Write(request, f"WRITE {request} x"))

    def read_at(self, name: str, database: str) -> None:
        """Sends one read at an instance; it is judged where it runs."""
        request = self._next_request(database)
        self.sent[request] = self.now
        caller = self.instances[name].caller(database)
        caller.send(statements.Read(request, "READ 1"))

    def record_run(self, server: direct_world.FakeServer, request: str) -> None:
        sent_at = self.sent.get(request)
        if sent_at is None:
            return
        age_s = 0.0
        if request.startswith("aged"):
            age_s = direct_world.ROUTE_AGE_S
        seen = set()
        for at, written, _ in server.log:
            if server.is_primary or at + server.lag_s <= self.now:
                seen.add(written)
        for written, at in self.acknowledged.items():
            if at < sent_at - age_s and written not in seen | self.lost:
                fault = f"{request} at {server.name} lacks {written}"
                self.faults.append(fault)

    def record_commit(
        self, server: direct_world.FakeServer, requests: list[str]
    ) -> None:
        if server.name == self.leader:
            super().record_commit(server, requests)
            return
        for request in requests:
            self.deposed_commits.add(request)
            server.log.append((self.now, request, server.term))

    def _next_request(self, prefix: str) -> str:
        self.counter += 1
        return f"{prefix}{self.counter}"

    def _island_of(self, name: str) -> int:
        for index, island in enumerate(self.islands):
            if name in island:
                return index
        return -1

    def _reaches(self, one: str, other: str) -> bool:
        return self._island_of(one) == self._island_of(other)

    def _update_cuts(self) -> None:
        """Applies the islands to links, connections and the store."""
        self.cut_pairs.clear()
        for name, instance in self.instances.items():
            for server in self.servers:
                if not self._reaches(name, server):
                    self.cut_pairs.add((name, server))
            has_store = self._island_of(name) < 0
            if has_store == instance.has_store:
                continue
            instance.has_store = has_store
            if has_store:
                self._read_all(instance)
                continue
            instance.handle_event(
                events.StoreStatusReported(self.now, False, "cut")
            )

    def _deliver(self, sender: str, receiver: str, message: Any) -> None:
        peer = self.instances.get(receiver)
        if peer is not None:
            peer.handle_event(
                events.PeerMessageReceived(self.now, sender, message)
            )

    def _say(
        self, instance: direct_world.Instance, effect: effects.SendToPeer
    ) -> None:
        def deliver() -> None:
            if not self._reaches(instance.name, effect.instance):
                held = (instance.name, effect.instance, effect.message)
                self.held.append(held)
                return
            self._deliver(instance.name, effect.instance, effect.message)

        self.schedule(direct_world.LINK_S, deliver)

    def _promote(
        self, instance: direct_world.Instance, effect: effects.Promote
    ) -> None:
        lease = instance.state.own_lease
        if lease.epoch != effect.epoch or not lease.is_valid(self.now):
            return
        if self.sent_fences and effect.fencing_token < self.sent_fences[-1]:
            self.faults.append(f"fence {effect.fencing_token} after a higher")
        self.sent_fences.append(effect.fencing_token)
        late_s = self.late_orders_s.pop() if self.late_orders_s else 0.0
        self.schedule(late_s + PROMOTE_S, lambda: self._lead(effect.server))
        if late_s:
            return
        outcome = events.PromotionOutcome(True, False)
        answer = events.PromotionFinished(
            self.now,
            effect.service,
            effect.server,
            effect.fencing_token,
            outcome,
        )
        self.schedule(
            direct_world.LINK_S,
            lambda: instance.handle_event(answer._replace(now=self.now)),
        )

    def _lead(self, name: str) -> None:
        """Makes a server the primary; the old one goes on for now."""
        if name == self.leader:
            return
        chosen = self.servers[name]
        old = self.servers[self.leader]
        kept = chosen.position(self.now).number
        kept_log = chosen.log[:kept]
        kept_requests = {request for _, request, _ in kept_log}
        for _, request, _ in old.log:
            if request not in kept_requests:
                self.lost.add(request)
        term = 1 + max(each.term for each in self.servers.values())
        for server in self.servers.values():
            if server is old and old.is_primary:
                continue
            server.log = list(kept_log)
            server.term = term
        self.leader = name
        chosen.is_primary = True
        self.promoted.append(("s", name, term))
        self.write_entry(chosen)
        self._step_down_later(old, chosen)

    def _step_down_later(
        self,
        old: direct_world.FakeServer,
        chosen: direct_world.FakeServer,
    ) -> None:
        """Lets a replaced primary learn of the new one when it reaches it."""

        def learn() -> None:
            if not self._reaches(old.name, self.leader) or old.is_unreachable:
                self.schedule(LEARNS_S, learn)
                return
            if old.name == self.leader:
                return
            old.is_primary = False
            old.log = list(self.servers[self.leader].log)
            old.term = self.servers[self.leader].term
            self.write_entry(old)

        self.schedule(LEARNS_S, learn)
