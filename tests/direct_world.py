"""A simulation of several instances of `cuminwall.direct` in one process.

Time is simulated. The store, the backend servers and the links between
instances are fakes that behave correctly unless a test cuts them off, slows
them down or drops their answers.
"""

import functools
import heapq
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from cuminwall.direct import (
    answers,
    catalog,
    commands,
    effects,
    events,
    limits,
    reducer,
    state,
    statements,
    store_view,
)
from cuminwall.direct.answers import Answer, Failure, Phase, Position, Reason

LINK_S = 0.002
STORE_S = 0.004
CALL_TIMEOUT_S = 1.5  # Of a call to the platform.
LOST_S = 0.5  # Until a call whose answer was lost times out.
ROUTE_AGE_S = 1.5


def route(database: str = "db", **changes: Any) -> catalog.Route:
    """Returns a route with defaults for tests."""
    default = catalog.Route(
        database, "s", catalog.Freshness.ALL, 0.0, 0.8, 0.15, 1, False
    )
    return default._replace(**changes)


def make_catalog(
    version: int = 1, rate: float = 1000.0, burst: float = 1000.0
) -> catalog.Catalog:
    """Returns a configuration with one service and three databases."""
    aged = catalog.Freshness.AGED
    own = catalog.Freshness.OWN
    routes = {
        "db": route(),
        "aged": route("aged", freshness=aged, max_age_s=ROUTE_AGE_S),
        "own": route("own", freshness=own, max_age_s=ROUTE_AGE_S),
    }
    return catalog.Catalog(
        version,
        routes,
        {"s": catalog.ServiceLimits("s", 60, 0.0)},
        {"w": catalog.Workspace("w", rate, burst, 1)},
        {"key": "w"},
        3.0,
    )


class StoredValue(NamedTuple):
    """A value of the fake store."""

    value: bytes
    revision: int
    lease: int


class FakeStore:
    """Shared values with revisions and leases."""

    def __init__(self, world: "World"):
        self.world = world
        self.values: dict[str, StoredValue] = {}
        self.leases: dict[int, float] = {}
        self.ttls: dict[int, float] = {}
        self.revision = 1
        self.is_up = True
        self.lost_answers = 0
        self.lost_renewals = 0

    def swap(self, call: effects.CompareAndSwap) -> int:
        """Writes values if all have the expected revisions."""
        for name, revision in call.expected.items():
            stored = self.values.get(name)
            if (stored.revision if stored else 0) != revision:
                return 0
        if call.leased and call.lease not in self.leases:
            return 0
        self.revision += 1
        for name, value in call.values.items():
            lease = call.lease if name in call.leased else 0
            self.values[name] = StoredValue(value, self.revision, lease)
            self.world.publish_shared(name, value, self.revision)
        for name in call.removed:
            if self.values.pop(name, None) is not None:
                self.world.publish_shared(name, None, self.revision)
        return self.revision

    def grant(self, ttl_s: float) -> int:
        """Returns a new lease."""
        lease = len(self.ttls) + 1
        self.ttls[lease] = ttl_s
        self.renew(lease)
        return lease

    def renew(self, lease: int) -> float:
        """Renews a lease; returns its time to live, 0 if it has expired."""
        ttl_s = self.ttls[lease]
        if lease not in self.leases and len(self.leases) >= lease:
            return 0.0
        self.leases[lease] = self.world.now + ttl_s
        self.world.schedule(ttl_s, lambda: self.expire(lease))
        return ttl_s

    def expire(self, lease: int) -> None:
        """Ends a lease unless it was renewed meanwhile."""
        if self.leases.get(lease, float("inf")) > self.world.now:
            return
        self.end(lease)

    def end(self, lease: int) -> None:
        """Ends a lease and removes its values."""
        if self.leases.pop(lease, None) is None:
            return
        for name, stored in list(self.values.items()):
            if stored.lease != lease:
                continue
            del self.values[name]
            self.revision += 1
            self.world.publish_shared(name, None, self.revision)


class FakeServer:
    """A backend server that steps down on a newer term.

    Attributes:
      log: The commits that it has: time, request and term.
      slots: How many statements it runs at once.
      service_s: The mean time that one statement takes.
      is_unreachable: Whether it answers nothing and accepts no connection.
      lag_s: How far a replica is behind.
      lose_answers: How many of the next answers to statements are lost.
      max_connections: How many connections it accepts in all.
      refused: How many more it has refused.
    """

    def __init__(self, name: str, zone: str = "z1"):
        self.name = name
        self.zone = zone
        self.is_primary = False
        self.term = 1
        self.log: list[tuple[float, str, int]] = []
        self.slots = 3
        self.queue = 24
        self.service_s = 0.01
        self.busy_until = [0.0] * self.slots
        self.is_unreachable = False
        self.lag_s = 0.0
        self.lose_answers = 0
        self.max_connections = 1_000_000
        self.refused = 0
        self.statements_run: list[tuple[str, str, float]] = []
        self.stepped_down = False
        self.held_term = 0

    def position(self, now: float) -> Position:
        """Returns the end of its log."""
        seen = 0
        for at, _, _ in self.log:
            if self.is_primary or at + self.lag_s <= now:
                seen += 1
        return Position(self.term, seen)


class ServerLink:
    """A connection to a fake server, as the server sees it."""

    def __init__(self, server: FakeServer, workspace: str):
        self.server = server
        self.workspace = workspace
        self.values: dict[str, str] = {}
        self.prepared: dict[str, statements.Shape] = {}
        self.phase = Phase.IDLE
        self.read_only = False
        self.writes: list[str] = []
        self.free_at = 0.0


class Caller:
    """A caller of a test, and what it received.

    Attributes:
      answers: The answers, in order.
      is_open: Whether its session is open.
      refusal: Why its session was rejected, or None.
    """

    def __init__(self, instance: "Instance", session: int):
        self.instance = instance
        self.session = session
        self.answers: list[Answer] = []
        self.times: list[float] = []
        self.is_open = False
        self.is_closed = False
        self.refusal: Failure | None = None
        self.on_answer: Callable[[Answer], None] | None = None

    def send(self, statement: Any) -> None:
        """Sends a statement."""
        now = self.instance.world.now
        self.instance.handle_event(
            events.StatementArrived(now, self.session, statement)
        )

    def leave(self) -> None:
        """Closes the connection."""
        now = self.instance.world.now
        self.instance.handle_event(events.CallerLeft(now, self.session))

    def reasons(self) -> list[Reason | None]:
        """Returns the failures of all answers."""
        result = []
        for answer in self.answers:
            failure = answer.failure
            result.append(failure.reason if failure is not None else None)
        return result


class Instance:
    """One instance, and what its effects did.

    Attributes:
      opened: How many connections to servers it has tried to open.
      is_watch_dead: Whether its call that waits for changes of the store is
        never answered.
    """

    def __init__(self, world: "World", name: str, zone: str, boot: str):
        self.world = world
        self.name = name
        self.state = state.State(name, zone, world.limits)
        self.state.boot = boot
        self.state.discovery.earlier_request_at = world.now
        self.state.secret_candidate = b"secret"
        self.state.peer_host = name
        self.state.peer_port = 1
        self.callers: dict[int, Caller] = {}
        self.links: dict[int, ServerLink] = {}
        self.notes: list[effects.Note] = []
        self.opened = 0
        self.is_alive = True
        self.is_isolated = False
        self.has_store = True
        self.is_watch_dead = False
        self.timer_at = float("inf")

    def handle_event(self, event: Any) -> None:
        """Handles an event and performs its effects."""
        if not self.is_alive:
            return
        for effect in reducer.reduce(self.state, event):
            self.world.perform(self, effect)
        self._set_timer()

    def caller(self, database: str = "db", key: str = "key") -> Caller:
        """Returns a new caller that has sent its login."""
        session = len(self.callers) + 1
        caller = self.callers[session] = Caller(self, session)
        self.handle_event(
            events.CallerArrived(self.world.now, session, database, key)
        )
        return caller

    def log_fields(self, event: str) -> list[dict[str, Any]]:
        """Returns the fields of the log lines with one event."""
        return [note.fields for note in self.notes if note.event == event]

    def _set_timer(self) -> None:
        timers = self.state.timers
        if not timers or timers[0].due_at >= self.timer_at:
            return
        due_at = self.timer_at = timers[0].due_at
        delay_s = max(0.0, due_at - self.world.now)
        self.world.schedule(delay_s, lambda: self._time_passed(due_at))

    def _time_passed(self, due_at: float) -> None:
        if due_at != self.timer_at:
            # A timer with an earlier time was set meanwhile.
            return
        timers = self.state.timers
        self.timer_at = float("inf")
        if timers and timers[0].due_at <= self.world.now:
            self.handle_event(events.TimersDue(self.world.now))
        else:
            self._set_timer()


class World:
    """The simulation: instances, servers, store and time.

    Attributes:
      promoted: The promotions: service, server and fencing token.
      accepts_orders_at_once: Whether an order is answered before its promotion
        has happened.
      late_orders: After what time each of the next orders is carried out, which
        get no answer; 0 for one that gets it at once.
      fences: The highest fencing token that was seen, by service.
    """

    def __init__(
        self,
        names: tuple[str, ...] = ("a",),
        servers: tuple[FakeServer, ...] = (),
        seed: int = 1,
        limits_: limits.Limits = limits.DEFAULTS,
        config: catalog.Catalog | None = None,
    ):
        self.now = 100.0
        self.limits = limits_
        self.random = random.Random(seed)
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.store = FakeStore(self)
        self.config = config or make_catalog()
        self.servers = {server.name: server for server in servers}
        self.entries: dict[str, catalog.ServerEntry] = {}
        self.instances: dict[str, Instance] = {}
        self.promoted: list[tuple[str, str, int]] = []
        self.promote_answers = True
        self.promote_s = 0.6
        self.accepts_orders_at_once = False
        self.late_orders: list[float] = []
        self.fences: dict[str, int] = {}
        self.boots = 0
        self.cut_pairs: set[tuple[str, str]] = set()
        for server in servers:
            self.write_entry(server)
        for name in names:
            self.start(name)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        self.count += 1
        heapq.heappush(self.heap, (self.now + delay_s, self.count, action))

    def run(self, seconds: float) -> None:
        """Advances the time and runs what is scheduled."""
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            at, _, action = heapq.heappop(self.heap)
            self.now = max(self.now, at)
            action()
        self.now = end

    def start(self, name: str) -> Instance:
        """Starts or restarts an instance."""
        self.boots += 1
        instance = Instance(self, name, "z1", f"boot{self.boots}")
        self.instances[name] = instance
        self.schedule(0.01, lambda: self._read_all(instance))
        self.schedule(
            store_view.SHORT_WAIT_S, lambda: self._end_short_wait(instance)
        )
        return instance

    def kill(self, name: str) -> None:
        """Ends an instance without a shutdown."""
        instance = self.instances[name]
        instance.is_alive = False
        for link in instance.links.values():
            link.phase = Phase.IDLE

    def coordinator(self) -> Instance:
        """Returns the coordinator.

        Raises:
          LookupError: There is none.
        """
        for instance in self.instances.values():
            if instance.is_alive and instance.state.own_lease.epoch:
                return instance
        raise LookupError("there is no coordinator")

    def epochs(self) -> list[int]:
        """Returns the instances' epochs, sorted; 0 for none."""
        result = []
        for instance in self.instances.values():
            result.append(instance.state.own_lease.epoch)
        return sorted(result)

    def configure(self, config: catalog.Catalog) -> None:
        """Puts a configuration into the store."""
        self.config = config
        self.store.revision += 1
        for instance in self.instances.values():
            self._publish(instance, events.CatalogSeen(self.now, config))

    def write_entry(self, server: FakeServer, **changes: Any) -> None:
        """Writes a server's entry."""
        self.store.revision += 1
        entry = catalog.ServerEntry(
            server=server.name,
            born_ms=1,
            service="s",
            host=server.name,
            port=1,
            zone=server.zone,
            slots=server.slots,
            is_leaving=False,
            is_primary=server.is_primary,
            cold_s=0.0,
            revision=self.store.revision,
        )._replace(**changes)
        self.entries[server.name] = entry
        for instance in self.instances.values():
            self._publish(instance, events.ServerSeen(self.now, entry))

    def remove_entry(self, server: FakeServer) -> None:
        """Removes a server's entry."""
        self.entries.pop(server.name, None)
        for instance in self.instances.values():
            self._publish(instance, events.ServerGone(self.now, server.name))

    def publish_shared(
        self, name: str, value: bytes | None, revision: int
    ) -> None:
        """Reports a change of a shared value to every instance."""
        for instance in self.instances.values():
            event = events.SharedValueSeen(self.now, name, value, revision)
            self._publish(instance, event)

    def set_store(self, is_up: bool) -> None:
        """Makes the store answer, or not."""
        self.store.is_up = is_up
        for instance in self.instances.values():
            if is_up:
                self._read_all(instance)
            else:
                instance.handle_event(
                    events.StoreStatusReported(self.now, False, "test")
                )

    def count_links(self, server: FakeServer) -> int:
        """Returns how many connections to a server are open."""
        count = 0
        for instance in self.instances.values():
            for link in instance.links.values():
                count += link.server is server
        return count

    def perform(self, instance: Instance, effect: Any) -> None:
        """Performs an effect."""
        handler = _PERFORMERS.get(type(effect))
        if handler is not None:
            handler(self, instance, effect)

    def record_run(self, server: FakeServer, request: str) -> None:
        """Records that a server runs a caller's statement."""

    def record_commit(self, server: FakeServer, requests: list[str]) -> None:
        """Adds commits to the logs of all servers."""
        for request in requests:
            for other in self.servers.values():
                other.log.append((self.now, request, server.term))

    def acknowledge(
        self, server: FakeServer, deliver: Callable[[], None]
    ) -> None:
        """Sends the answer to a commit."""
        del server
        self.schedule(LINK_S, deliver)

    def lead(self, chosen: FakeServer) -> None:
        """Starts the next term with what a server has received."""
        term = 1 + max(each.term for each in self.servers.values())
        kept_count = chosen.position(self.now).number
        for server in self.servers.values():
            del server.log[kept_count:]
            server.term = term

    def _publish(self, instance: Instance, event: Any) -> None:
        """Delivers a change of the store to an instance."""

        def deliver() -> None:
            if not (self.store.is_up and instance.has_store):
                return
            if instance.is_watch_dead:
                return
            instance.handle_event(event._replace(now=self.now))
            self._report_revision(instance)

        self.schedule(STORE_S, deliver)

    def _report_revision(self, instance: Instance) -> None:
        """Reports that all changes of the store were read."""
        revision = self.store.revision
        event = events.ChangesRead(self.now, revision, revision)
        instance.handle_event(event)

    def _end_short_wait(self, instance: Instance) -> None:
        """Answers a call that waits a short time, which found no change."""
        if not instance.is_alive:
            return
        wait_s = store_view.find_wait_s(instance.state, self.now)
        is_answered = self.store.is_up and instance.has_store
        if wait_s <= store_view.SHORT_WAIT_S and is_answered:
            if not instance.is_watch_dead:
                # After the changes that are on their way.
                self.schedule(STORE_S, lambda: self._report_revision(instance))
        self.schedule(
            store_view.SHORT_WAIT_S, lambda: self._end_short_wait(instance)
        )

    def _read_all(self, instance: Instance) -> None:
        """Makes an instance read the whole store."""
        if not self.store.is_up or not instance.has_store:
            return
        now = self.now
        instance.handle_event(events.CatalogSeen(now, self.config))
        for entry in self.entries.values():
            instance.handle_event(events.ServerSeen(now, entry))
        for name, stored in sorted(self.store.values.items()):
            instance.handle_event(
                events.SharedValueSeen(now, name, stored.value, stored.revision)
            )
        instance.handle_event(
            events.SnapshotRead(
                now,
                frozenset(self.entries),
                frozenset(),
                frozenset(self.store.values),
                self.store.revision,
            )
        )
        self._report_revision(instance)
        instance.handle_event(events.StoreStatusReported(now, True, ""))

    # Each of the methods below performs one type of effect.

    def _welcome(
        self, instance: Instance, effect: effects.AcceptSession
    ) -> None:
        instance.callers[effect.session].is_open = True

    def _turn_away(
        self, instance: Instance, effect: effects.RejectSession
    ) -> None:
        instance.callers[effect.session].refusal = effect.failure

    def _reply(self, instance: Instance, effect: effects.Reply) -> None:
        caller = instance.callers[effect.session]
        caller.answers.append(effect.answer)
        caller.times.append(self.now)
        if caller.on_answer is not None:
            caller.on_answer(effect.answer)

    def _close_caller(
        self, instance: Instance, effect: effects.CloseCaller
    ) -> None:
        instance.callers[effect.session].is_closed = True

    def _note(self, instance: Instance, effect: effects.Note) -> None:
        instance.notes.append(effect)

    def _read_again(
        self, instance: Instance, effect: effects.RereadStore
    ) -> None:
        self.schedule(STORE_S, lambda: self._read_all(instance))

    def _restart_watch(
        self, instance: Instance, effect: effects.RestartWatch
    ) -> None:
        def answer() -> None:
            if instance.is_watch_dead:
                instance.is_watch_dead = False
                self._read_all(instance)

        self.schedule(STORE_S, answer)

    def _say(self, instance: Instance, effect: effects.SendToPeer) -> None:
        def deliver() -> None:
            peer = self.instances.get(effect.instance)
            pair = (instance.name, effect.instance)
            if peer is None or peer.is_isolated or instance.is_isolated:
                return
            if pair in self.cut_pairs:
                return
            peer.handle_event(
                events.PeerMessageReceived(
                    self.now, instance.name, effect.message
                )
            )

        self.schedule(LINK_S, deliver)

    def _swap(self, instance: Instance, effect: effects.CompareAndSwap) -> None:
        sent_at = self.now

        def answer() -> None:
            revision: int | None = None
            if self.store.is_up and instance.has_store:
                revision = self.store.swap(effect)
                if self.store.lost_answers:
                    self.store.lost_answers -= 1
                    revision = None
            instance.handle_event(
                events.SwapFinished(self.now, effect.number, sent_at, revision)
            )

        self.schedule(STORE_S, answer)

    def _grant(self, instance: Instance, effect: effects.GrantLease) -> None:
        sent_at = self.now

        def answer() -> None:
            lease = 0
            ttl_s: float | None = None
            if self.store.is_up and instance.has_store:
                lease = self.store.grant(effect.ttl_s)
                ttl_s = effect.ttl_s
            instance.handle_event(
                events.LeaseCallFinished(self.now, lease, sent_at, ttl_s)
            )

        self.schedule(STORE_S, answer)

    def _keep(self, instance: Instance, effect: effects.KeepLease) -> None:
        sent_at = self.now

        def answer() -> None:
            ttl_s: float | None = None
            if self.store.lost_renewals:
                self.store.lost_renewals -= 1
                self.store.renew(effect.lease)
                self.schedule(LOST_S, lambda: deliver(None))
                return
            if self.store.is_up and instance.has_store:
                ttl_s = 0.0
                if effect.lease in self.store.leases:
                    ttl_s = self.store.renew(effect.lease)
            deliver(ttl_s)

        def deliver(ttl_s: float | None) -> None:
            instance.handle_event(
                events.LeaseCallFinished(self.now, effect.lease, sent_at, ttl_s)
            )

        self.schedule(STORE_S, answer)

    def _end_lease(self, instance: Instance, effect: effects.EndLease) -> None:
        self.schedule(STORE_S, lambda: self.store.end(effect.lease))

    def _promote(self, instance: Instance, effect: effects.Promote) -> None:
        def report(outcome: events.PromotionOutcome) -> None:
            instance.handle_event(
                events.PromotionFinished(
                    self.now,
                    effect.service,
                    effect.server,
                    effect.fencing_token,
                    outcome,
                )
            )

        late_s = self.late_orders.pop(0) if self.late_orders else 0.0
        if late_s:
            self.schedule(late_s, lambda: self.carry_out(effect))
            nothing = events.PromotionOutcome(False, False)
            self.schedule(CALL_TIMEOUT_S, lambda: report(nothing))
            return
        is_fenced_out = not self.carry_out(effect)

        def answer() -> None:
            done = self.servers[effect.server].is_primary
            done = done or self.accepts_orders_at_once
            refused = self.servers[effect.server].is_unreachable
            outcome = events.PromotionOutcome(done, refused)
            if is_fenced_out:
                outcome = events.PromotionOutcome(False, True)
            if not self.promote_answers:
                outcome = events.PromotionOutcome(False, False)
            report(outcome)

        answer_s = 0.0 if self.accepts_orders_at_once else self.promote_s
        self.schedule(answer_s + LINK_S, answer)

    def carry_out(self, effect: effects.Promote) -> bool:
        """Carries out an order; returns whether its token was accepted."""
        if self.limits.are_primaries_fenced:
            if effect.fencing_token < self.fences.get(effect.service, 0):
                return False
            self.fences[effect.service] = effect.fencing_token
            if self.servers[effect.server].is_primary:
                return True

        def promote() -> None:
            chosen = self.servers[effect.server]
            if chosen.is_unreachable:
                return
            for server in self.servers.values():
                if server.is_primary and server is not chosen:
                    server.is_primary = False
                    if server.name in self.entries:
                        self.write_entry(server)
            self.lead(chosen)
            for server in self.servers.values():
                server.held_term = 0
            chosen.is_primary = True
            self.promoted.append(
                (effect.service, effect.server, effect.fencing_token)
            )
            self.write_entry(chosen)

        self.schedule(self.promote_s, promote)
        return True

    def _open(self, instance: Instance, effect: effects.OpenConnection) -> None:
        server = self.servers[effect.server]
        instance.opened += 1

        def opened() -> None:
            pair = (instance.name, server.name)
            if server.is_unreachable or pair in self.cut_pairs:
                return
            if self.count_links(server) >= server.max_connections:
                server.refused += 1
                failure = Failure(Reason.TOO_MANY_CONNECTIONS, "test")
                instance.handle_event(
                    events.ConnectionEnded(
                        self.now, effect.connection, failure, True
                    )
                )
                return
            link = ServerLink(server, effect.workspace)
            instance.links[effect.connection] = link
            instance.handle_event(
                events.ConnectionOpened(self.now, effect.connection)
            )

        self.schedule(0.012, opened)

    def _close(
        self, instance: Instance, effect: effects.CloseConnection
    ) -> None:
        instance.links.pop(effect.connection, None)

    def _send(self, instance: Instance, effect: effects.SendCommands) -> None:
        link = instance.links.get(effect.connection)
        if link is None:
            return

        def arrive() -> None:
            pair = (instance.name, link.server.name)
            if link.server.is_unreachable or pair in self.cut_pairs:
                return
            for command in effect.commands:
                self._serve(instance, effect.connection, link, command)

        self.schedule(LINK_S, arrive)

    def _serve(
        self, instance: Instance, number: int, link: ServerLink, command: Any
    ) -> None:
        """Makes a server run one command."""
        server = link.server
        start = max(self.now, link.free_at)
        is_statement = isinstance(
            command, (commands.Forward, commands.ForwardExecute)
        )
        if is_statement:
            index = server.busy_until.index(min(server.busy_until))
            waiting = [at for at in server.busy_until if at > self.now]
            start = max(start, server.busy_until[index])
            del waiting
            start += server.service_s * self.random.uniform(0.5, 1.5)
            server.busy_until[index] = start
        link.free_at = start

        def answer() -> None:
            if server.is_unreachable or instance.links.get(number) is not link:
                return
            log_length = len(server.log)
            result = run_command(self, link, command)
            if is_statement and server.lose_answers:
                server.lose_answers -= 1
                return

            def deliver() -> None:
                instance.handle_event(
                    events.CommandAnswered(self.now, number, result)
                )

            if len(server.log) > log_length:
                self.acknowledge(server, deliver)
                return
            self.schedule(LINK_S, deliver)

        self.schedule(start - self.now, answer)


_PERFORMERS: dict[type, Any] = {
    effects.AcceptSession: World._welcome,
    effects.RejectSession: World._turn_away,
    effects.Reply: World._reply,
    effects.CloseCaller: World._close_caller,
    effects.Note: World._note,
    effects.RereadStore: World._read_again,
    effects.RestartWatch: World._restart_watch,
    effects.SendToPeer: World._say,
    effects.CompareAndSwap: World._swap,
    effects.GrantLease: World._grant,
    effects.KeepLease: World._keep,
    effects.EndLease: World._end_lease,
    effects.Promote: World._promote,
    effects.OpenConnection: World._open,
    effects.CloseConnection: World._close,
    effects.SendCommands: World._send,
}


def run_command(world: World, link: ServerLink, command: Any) -> Answer:
    """Runs a command on a server and returns its answer."""
    after = getattr(command, "min_position", None)
    if after is not None and link.server.position(world.now) < after:
        return _fail(world, link, Reason.BEHIND)
    return _run(command, world, link)


def _fail(world: World, link: ServerLink, reason: Reason) -> Answer:
    if link.phase is not Phase.IDLE:
        link.phase = Phase.FAILED
    position = link.server.position(world.now)
    return Answer((), "", Failure(reason, "test"), link.phase, position)


def _succeed(world: World, link: ServerLink) -> Answer:
    position = link.server.position(world.now)
    return Answer((), "", None, link.phase, position)


@functools.singledispatch
def _run(command: Any, world: World, link: ServerLink) -> Answer:
    """Runs a command; by default, one that carries a caller's statement."""
    server = link.server
    statement = command.statement
    is_write = isinstance(statement, statements.Write)
    if isinstance(command, commands.ForwardExecute):
        shape = link.prepared.get(command.name)
        if shape is None:
            return _fail(world, link, Reason.UNKNOWN_STATEMENT)
        is_write = shape.writes
    if link.phase is Phase.FAILED:
        return _fail(world, link, Reason.MALFORMED)
    is_commit = isinstance(statement, statements.Commit)
    if not server.is_primary and _needs_primary(link, is_write, is_commit):
        return _fail(world, link, Reason.NOT_PRIMARY)
    server.statements_run.append((statement.request, statement.text, world.now))
    world.record_run(server, statement.request)
    if is_write:
        link.writes.append(statement.request)
    if is_commit or link.phase is Phase.IDLE:
        world.record_commit(server, link.writes)
        link.writes = []
        link.phase = Phase.IDLE
        link.read_only = False
    answer = _succeed(world, link)
    rows = (f"row of {statement.request}",)
    return answer._replace(rows=rows, completion=f"proof {server.name}")


def _needs_primary(link: ServerLink, is_write: bool, is_commit: bool) -> bool:
    """Returns whether only a primary may run a statement."""
    if is_write:
        return True
    if link.phase is not Phase.OPEN or link.read_only:
        return False
    return not is_commit or bool(link.writes)


@_run.register
def _(
    command: commands.ResetConnection, world: World, link: ServerLink
) -> Answer:
    link.values = {}
    link.prepared = {}
    return _succeed(world, link)


@_run.register
def _(command: commands.AssignValue, world: World, link: ServerLink) -> Answer:
    link.values[command.name] = command.value
    return _succeed(world, link)


@_run.register
def _(command: commands.PrepareShape, world: World, link: ServerLink) -> Answer:
    link.prepared[command.name] = command.shape
    return _succeed(world, link)


@_run.register
def _(
    command: commands.OpenTransaction, world: World, link: ServerLink
) -> Answer:
    if not command.read_only and not link.server.is_primary:
        return _fail(world, link, Reason.NOT_PRIMARY)
    link.phase = Phase.OPEN
    link.read_only = command.read_only
    return _succeed(world, link)


@_run.register
def _(
    command: commands.EndTransaction, world: World, link: ServerLink
) -> Answer:
    link.phase = Phase.IDLE
    link.writes = []
    return _succeed(world, link)


@_run.register
def _(command: commands.AskStatus, world: World, link: ServerLink) -> Answer:
    return _status_answer(world, link)


@_run.register
def _(command: commands.StepDown, world: World, link: ServerLink) -> Answer:
    server = link.server
    if command.term > server.term and server.is_primary:
        server.is_primary = False
        server.stepped_down = True
    return _status_answer(world, link)


@_run.register
def _(command: commands.Hold, world: World, link: ServerLink) -> Answer:
    server = link.server
    if not server.is_primary and command.term > server.term:
        server.held_term = command.term
    return _status_answer(world, link)


@_run.register
def _(command: commands.Release, world: World, link: ServerLink) -> Answer:
    link.server.held_term = 0
    return _status_answer(world, link)


def _status_answer(world: World, link: ServerLink) -> Answer:
    server = link.server
    position = server.position(world.now)
    status = answers.Status(
        server.is_primary,
        max(server.term, server.held_term),
        position,
        server.held_term,
    )
    return _succeed(world, link)._replace(status=status)
