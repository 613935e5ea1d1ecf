"""A simulation of several instances: real reducers with fake I/O.

The test advances the clock. The fakes are a store, a network, and database
groups whose logs are lists of write ids. The world checks the guarantees while
it runs and records each violation.
"""

import functools
import heapq
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from cuminwall import (
    calls,
    configuration,
    document,
    effects,
    events,
    outcomes,
    placement,
    ports,
    probes,
    reducer,
    relays,
    state,
    timings,
    work,
)

STORE_DELAY_S = 0.003
LIST_INTERVAL_S = 0.5
TIMELINE_START = 1
BASE_LSN = 1000
PROBE_DEAD_S = 0.3
PROBE_PAUSE_S = 0.01
FAULT_FREE_S = 4.0
WITHDRAWN_S = 5.0
ZONE_OUT_S = 3.0


class FakeServer:
    """A backend server whose log is a list of write ids."""

    def __init__(self, name: str, zone: str, delay_s: float):
        self.name = name
        self.zone = zone
        self.delay_s = delay_s
        self.log: list[str] = []
        self.in_recovery = True
        self.timeline = TIMELINE_START
        self.is_alive = True
        self.frozen_until = 0.0
        # Since when it has been up without interruption.
        self.up_since = 0.0

    @property
    def lsn(self) -> int:
        """The log position."""
        return BASE_LSN + len(self.log)


class FakeGroup:
    """A database group with asynchronous, delayed replication."""

    def __init__(self, service: str, servers: list[FakeServer]):
        self.service = service
        self.servers = {server.name: server for server in servers}
        servers[0].in_recovery = False
        self.latest_promoted = servers[0].name
        self.highest_timeline = TIMELINE_START
        # (replay time, replica, timeline, log) for each replica to replay.
        self.shipped: list[tuple[float, str, int, list[str]]] = []

    def write(self, now: float, server: FakeServer, write_id: str) -> None:
        """Appends a write to a server's log and ships it to the replicas."""
        server.log.append(write_id)
        for other in self.servers.values():
            if other is server or not other.in_recovery:
                continue
            if other.timeline > server.timeline:
                continue
            at = now + other.delay_s
            copy = list(server.log)
            self.shipped.append((at, other.name, server.timeline, copy))

    def replicate(self, now: float) -> None:
        """Replays the shipped logs that are due."""
        left = []
        for item in self.shipped:
            at, name, timeline, log = item
            server = self.servers[name]
            if at > now:
                left.append(item)
                continue
            if not server.in_recovery or timeline < server.timeline:
                continue
            if not server.is_alive:
                left.append(item)
                continue
            if len(log) >= len(server.log) or timeline > server.timeline:
                server.log = list(log)
                server.timeline = timeline
        self.shipped = left

    def promote(self, now: float, server: FakeServer) -> int:
        """Promotes a replica and returns the position where its log forks."""
        fork = server.lsn
        if server.in_recovery:
            server.in_recovery = False
            self.highest_timeline += 1
            server.timeline = self.highest_timeline
            self.latest_promoted = server.name
            for other in self.servers.values():
                if other is not server and other.in_recovery:
                    copy = list(server.log)
                    at = now + other.delay_s
                    item = (at, other.name, server.timeline, copy)
                    self.shipped.append(item)
        return fork

    def demote_stale(self) -> None:
        """Turns old primaries into replicas of the newest one."""
        newest = self.servers[self.latest_promoted]
        for server in self.servers.values():
            if server is newest or server.in_recovery or not server.is_alive:
                continue
            server.in_recovery = True
            server.log = list(newest.log)
            server.timeline = newest.timeline


class FakeStore:
    """A compare-and-swap store with leases, on the world's clock."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[int, dict, int]] = {}
        self.leases: dict[int, tuple[float, int]] = {}
        self.revision = 0
        self.last_lease = 0
        self.changes: list[tuple[str, int, dict | None]] = []

    def expire(self, now: float) -> None:
        """Revokes the expired leases."""
        for lease, (until, _) in list(self.leases.items()):
            if now >= until:
                self.revoke(lease)

    def revoke(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        self.leases.pop(lease, None)
        for key, (_, _, holder) in list(self.entries.items()):
            if holder == lease:
                self.put(key, None, 0)

    def put(self, key: str, value: dict | None, lease: int) -> int:
        """Sets or deletes a key without a condition."""
        self.revision += 1
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = (self.revision, value, lease)
        self.changes.append((key, self.revision, value))
        return self.revision

    def find(self, key: str) -> calls.StoredValue:
        """Returns the value of a key."""
        entry = self.entries.get(key)
        if entry is None:
            return calls.StoredValue(key, 0, None)
        return calls.StoredValue(key, entry[0], entry[1])


@functools.singledispatch
def apply(effect: Any, store: FakeStore, now: float) -> Any:
    """Applies a call to the store and returns its answer."""
    raise TypeError(type(effect))


@apply.register
def _(effect: effects.SwapValue, store: FakeStore, now: float) -> Any:
    found = store.find(effect.key)
    if found.revision != effect.expected_revision:
        return ports.SwapConflict(None)
    if effect.lease_id and effect.lease_id not in store.leases:
        return None
    revision = store.put(effect.key, effect.value, effect.lease_id)
    return ports.Swapped(revision)


@apply.register
def _(effect: effects.GrantStoreLease, store: FakeStore, now: float) -> Any:
    store.last_lease += 1
    store.leases[store.last_lease] = (now + effect.ttl_s, effect.ttl_s)
    return store.last_lease


@apply.register
def _(effect: effects.RenewStoreLease, store: FakeStore, now: float) -> Any:
    lease = store.leases.get(effect.lease_id)
    if lease is None:
        return 0.0
    store.leases[effect.lease_id] = (now + lease[1], lease[1])
    return float(lease[1])


@apply.register
def _(effect: effects.RevokeStoreLease, store: FakeStore, now: float) -> Any:
    store.revoke(effect.lease_id)
    return True


@apply.register
def _(effect: effects.ReadValue, store: FakeStore, now: float) -> Any:
    return store.find(effect.key)


@apply.register
def _(effect: effects.ReadPrefix, store: FakeStore, now: float) -> Any:
    keys = [key for key in store.entries if key.startswith(effect.prefix)]
    return tuple(store.find(key) for key in keys)


class Node:
    """One instance: its reducer and the state that its engine would have."""

    def __init__(self, name: str, zone: str, state_: state.State):
        self.name = name
        self.zone = zone
        self.state = state_
        self.is_alive = True
        self.paused_until = 0.0
        self.is_leaving = False
        self.watched: set[tuple[str, str]] = set()
        self.seen_changes = 0
        self.seen_version = 0
        self.admitted: dict[int, Any] = {}
        self.closed: dict[int, outcomes.Failure] = {}


class Request(NamedTuple):
    """A round that a session sent.

    Attributes:
      session: The session.
      write_id: The id that it writes, or "" for a read.
      sent_at: When it was sent.
      expected: The writes acknowledged to the session by then.
    """

    session: "Session"
    write_id: str
    sent_at: float
    expected: tuple[str, ...]


class Session:
    """A caller's session at an instance.

    Attributes:
      may_miss_lost_writes: Whether its reads may lack writes that a promotion
        has lost, since it brought no token of theirs.
    """

    def __init__(self, node: Node, number: int, service: str, key: str):
        self.node = node
        self.number = number
        self.service = service
        self.key = key
        self.token = ""
        self.acknowledged: list[str] = []
        self.may_miss_lost_writes = False
        self.ends: list[tuple[str, work.RoundEnd]] = []


class World:
    """Instances, the fakes that they use, and a clock.

    Attributes:
      violations: A description of each violated guarantee.
      executions: Each round that reached a server: time, service, server,
        key and write id.
    """

    def __init__(
        self,
        zones: dict[str, int],
        groups: list[FakeGroup],
        config: document.Document,
        seed: int = 0,
        times: timings.Timings = timings.DEFAULTS,
        shard_count: int = 2,
    ):
        self.now = 100.0
        self.random = random.Random(seed)
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.times = times
        self.shard_count = shard_count
        self.store = FakeStore()
        self.groups = {group.service: group for group in groups}
        self.documents = {1: config}
        self.nodes: dict[str, Node] = {}
        self.zone_cuts: set[frozenset[str]] = set()
        self.store_cuts: set[str] = set()
        self.is_store_down = False
        self.lose_answers = 0
        self.violations: list[str] = []
        self.executions: list[tuple[float, str, str, str, str]] = []
        self.executed_writes: set[str] = set()
        self.withdrawn: dict[str, float] = {}
        self.zones_out: dict[str, float] = {}
        # Since when no fault has been active.
        self.fault_free_since = self.now
        self.cut_free_since = self.now
        self.replicas_with_write: dict[str, set[str]] = {}
        self.lost_writes: set[str] = set()
        self.requests: dict[tuple[str, int], Request] = {}
        self.read_results: dict[tuple[str, int], list[str]] = {}
        self.refused_writes: list[str] = []
        self.probing_until: dict[tuple[str, str, str], float] = {}
        self.put_config(1, config)
        for zone, count in zones.items():
            for index in range(count):
                self.add_node(f"{zone}-{index}", zone)
        self.at(0.05, self._housekeep)

    def put_config(self, version: int, config: document.Document) -> None:
        """Publishes a configuration in the store."""
        self.documents[version] = config
        for key in self.documents[1]["keys"]:
            if key in config["keys"]:
                self.withdrawn.pop(key, None)
            else:
                self.withdrawn.setdefault(key, self.now)
        for zone, entry in config["zones"].items():
            if entry.get("state") == document.OUT:
                self.zones_out.setdefault(zone, self.now)
            else:
                self.zones_out.pop(zone, None)
        head = {"change": {"version": version}}
        self.store.put(calls.CONFIG_HEAD_KEY, head, 0)

    def add_node(self, name: str, zone: str) -> Node:
        """Starts an instance."""
        fresh = state.State(name, zone, self.times, self.shard_count, self.now)
        node = self.nodes[name] = Node(name, zone, fresh)
        self.at(0.0, lambda: self._feed_instance_list(node))
        self.at(0.01, lambda: self._tick(node))
        return node

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        self.order += 1
        entry = (self.now + delay_s, self.order, action)
        heapq.heappush(self.heap, entry)

    def run(self, duration_s: float) -> None:
        """Advances the clock and runs the actions that fall due."""
        end = self.now + duration_s
        while self.heap and self.heap[0][0] <= end:
            at, _, action = heapq.heappop(self.heap)
            self.now = max(self.now, at)
            action()
        self.now = end

    def feed(self, node: Node, make: Callable[[float], Any]) -> None:
        """Feeds a node an event, after its pause if it is paused."""
        if not node.is_alive:
            return
        if self.now < node.paused_until:
            wait_s = node.paused_until - self.now
            self.at(wait_s, lambda: self.feed(node, make))
            return
        for effect in reducer.reduce(node.state, make(self.now)):
            perform(effect, self, node)

    def kill(self, name: str) -> None:
        """Kills an instance without a shutdown."""
        self.nodes[name].is_alive = False

    def can_talk(self, one: Node, other: Node) -> bool:
        """Returns whether two instances reach each other."""
        if not one.is_alive or not other.is_alive:
            return False
        return self.are_zones_connected(one.zone, other.zone)

    def are_zones_connected(self, zone: str, other: str) -> bool:
        """Returns whether two zones reach each other."""
        return frozenset((zone, other)) not in self.zone_cuts

    def network_s(self) -> float:
        """Returns the delay of a message."""
        return self.random.uniform(0.0005, 0.004)

    def open(self, name: str, service: str, key: str, token: str = "") -> Any:
        """Opens a session at an instance; returns it or the failure."""
        node = self.nodes[name]
        number = node.state.next_number()
        entry = node.state.config.keys.get(key)
        workspace = entry.workspace if entry else ""
        login = work.Login(service, key, workspace, token, "test")
        self.feed(node, lambda now: events.SessionOpened(now, number, login))
        result = node.admitted.pop(number, outcomes.NO_HOME)
        if isinstance(result, outcomes.Failure):
            return result
        session = Session(node, number, service, key)
        session.token = token
        return session

    def send(
        self,
        session: Session,
        write_id: str = "",
        tables: tuple[str, ...] = (),
    ) -> int:
        """Sends a write, or a read if there is no id."""
        node = session.node
        number = node.state.next_number()
        access = work.Access.WRITE if write_id else work.Access.READ
        self.requests[(node.name, number)] = Request(
            session, write_id, self.now, tuple(session.acknowledged)
        )
        self.feed(
            node,
            lambda now: events.RoundArrived(
                now, session.number, number, access, False, False, None, tables
            ),
        )
        return number

    def all_logs(self) -> list[list[str]]:
        """Returns every server's log."""
        found = []
        for group in self.groups.values():
            for server in group.servers.values():
                found.append(server.log)
        return found

    def check_end(self) -> None:
        """Checks the guarantees that can be checked only at the end."""
        for log in self.all_logs():
            if len(log) != len(set(log)):
                self.violations.append(f"a write occurs twice in {log}")
            for write_id in self.refused_writes:
                if write_id in log:
                    self.violations.append(
                        f"{write_id} ran but was reported as not run"
                    )

    def _housekeep(self) -> None:
        self.store.expire(self.now)
        for group in self.groups.values():
            group.replicate(self.now)
        for node in self.nodes.values():
            self._feed_changes(node)
            self._check_version(node)
        self._track_faults()
        self.at(0.01, self._housekeep)

    def _check_version(self, node: Node) -> None:
        """Checks that a node's configuration version never decreases."""
        version = node.state.config.version
        if version < node.seen_version:
            self.violations.append(f"{node.name} went back to {version}")
        node.seen_version = version

    def _track_faults(self) -> None:
        """Tracks since when no fault has been active."""
        faults = bool(self.zone_cuts or self.store_cuts or self.is_store_down)
        if self.zone_cuts:
            self.cut_free_since = self.now
        for node in self.nodes.values():
            if self.now < node.paused_until or not node.is_alive:
                faults = True
        for group in self.groups.values():
            for server in group.servers.values():
                is_up = server.is_alive and self.now >= server.frozen_until
                if not is_up:
                    server.up_since = self.now
                is_stale = group.latest_promoted != server.name
                faults |= not is_up or (is_stale and not server.in_recovery)
        if faults or self.lose_answers:
            self.fault_free_since = self.now

    def _is_fault_free_since(self, since: float) -> bool:
        """Returns whether no fault was active just before `since` or later."""
        return self.fault_free_since <= since - FAULT_FREE_S

    def _check_may_run(self, effect: effects.Execute, key: str) -> None:
        """Checks that the key and the server's zone may still run rounds."""
        withdrawn_at = self.withdrawn.get(key)
        bound_s = WITHDRAWN_S + self.times.withdrawn_grace_s
        if withdrawn_at is not None and self._is_fault_free_since(withdrawn_at):
            if self.now > withdrawn_at + bound_s:
                text = f"withdrawn {key} runs on {effect.server}"
                self.violations.append(text)
        group = self.groups[effect.service]
        out_at = self.zones_out.get(group.servers[effect.server].zone)
        if out_at is not None and self._is_fault_free_since(out_at):
            if self.now > out_at + ZONE_OUT_S:
                text = f"{effect.server} runs a round in a zone out of service"
                self.violations.append(text)

    def _check_lost_writes(self, group: FakeGroup, chosen: FakeServer) -> None:
        """Checks that a promotion loses no acknowledged write needlessly.

        An acknowledged write may be lost only if every replica that had it
        was unreachable when the new primary was chosen.
        """
        for write_id, names in self.replicas_with_write.items():
            if write_id in chosen.log or write_id in self.lost_writes:
                continue
            for name in names:
                holder = group.servers[name]
                is_reachable = holder.up_since <= self.now - FAULT_FREE_S
                is_joined = self.cut_free_since <= self.now - FAULT_FREE_S
                if holder.in_recovery and is_reachable and is_joined:
                    text = f"{chosen.name} lacks {write_id} of {name}"
                    self.violations.append(text)
            self.lost_writes.add(write_id)

    def _feed_changes(self, node: Node) -> None:
        """Feeds a relay the store's changes, as its watch would."""
        if not node.is_alive or self._is_store_unreachable(node):
            return
        if not relays.needs_watch(node.state):
            return
        changes = self.store.changes[node.seen_changes :]
        node.seen_changes = len(self.store.changes)
        for key, revision, value in changes:
            self._feed_change(node, key, revision, value)

    def _feed_change(
        self, node: Node, key: str, revision: int, value: dict | None
    ) -> None:
        self.feed(
            node, lambda now: events.StoreValueSeen(now, key, revision, value)
        )

    def _is_store_unreachable(self, node: Node) -> bool:
        return self.is_store_down or node.zone in self.store_cuts

    def _tick(self, node: Node) -> None:
        if not node.is_alive:
            return
        self.feed(node, events.Tick)
        self.at(self.times.tick_s, lambda: self._tick(node))

    def _feed_instance_list(self, node: Node) -> None:
        if not node.is_alive:
            return
        if not self._is_store_unreachable(node):
            records = []
            for other in self.nodes.values():
                if not other.is_alive:
                    continue
                records.append(
                    ports.InstanceRecord(
                        other.name, other.zone, "", 0, other.is_leaving
                    )
                )
            found = tuple(records)
            self.feed(node, lambda now: events.InstancesListed(now, found))
        self.at(LIST_INTERVAL_S, lambda: self._feed_instance_list(node))

    def probe(self, node: Node, service: str, name: str) -> None:
        """Probes a server for a node, at most once per `PROBE_PAUSE_S`."""
        probe_key = (node.name, service, name)
        wait_s = self.probing_until.get(probe_key, 0.0) - self.now
        if wait_s > PROBE_PAUSE_S:
            return
        if wait_s > 0:
            self.probing_until[probe_key] += PROBE_PAUSE_S
            self.at(wait_s, lambda: self._probe(node, service, name))
            return
        self.probing_until[probe_key] = self.now + PROBE_PAUSE_S
        self._probe(node, service, name)

    def _probe(self, node: Node, service: str, name: str) -> None:
        server = self.groups[service].servers[name]
        sent_at = self.now
        is_reachable = server.is_alive and self.are_zones_connected(
            node.zone, server.zone
        )
        is_reachable = is_reachable and self.now >= server.frozen_until
        if not is_reachable:
            delay_s = 0.005 if not server.is_alive else PROBE_DEAD_S
            result: Any = outcomes.NO_SERVER
        else:
            delay_s = 2 * self.network_s()
            result = probes.ProbeAnswer(
                server.in_recovery, server.lsn, server.timeline
            )
        self.at(
            delay_s,
            lambda: self.feed(
                node,
                lambda now: events.ServerProbed(
                    now, service, name, sent_at, result
                ),
            ),
        )

    def keep_probing(self, node: Node, service: str, name: str) -> None:
        """Probes a server for a node as long as it is watched."""
        if not node.is_alive or (service, name) not in node.watched:
            return
        self.probe(node, service, name)
        self.at(
            self.times.probe_interval_s,
            lambda: self.keep_probing(node, service, name),
        )

    def execute(self, node: Node, effect: effects.Execute) -> None:
        """Runs a round on a server for a node."""
        group = self.groups[effect.service]
        server = group.servers[effect.server]
        request = self.requests.get((effect.key.origin, effect.key.number))
        is_reachable = server.is_alive and self.are_zones_connected(
            node.zone, server.zone
        )
        if request is None or not is_reachable:
            loss = work.Loss.NOT_SENT
            lost = work.ServerResult(b"I", loss, False, False, False, 0)
            self.at(0.002, lambda: self.deliver_result(node, effect, lost))
            return
        self._check_may_run(effect, request.session.key)
        wait_s = max(0.0, server.frozen_until - self.now)
        self.at(
            self.network_s() + wait_s,
            lambda: self._run_round(node, effect, server, request),
        )

    def _run_round(
        self,
        node: Node,
        effect: effects.Execute,
        server: FakeServer,
        request: Request,
    ) -> None:
        """Runs a round on a server and sends its answer."""
        group = self.groups[effect.service]
        key = request.session.key
        self.executions.append(
            (self.now, effect.service, server.name, key, request.write_id)
        )
        lost = work.ServerResult(b"I", work.Loss.SENT, False, False, False, 0)
        if not server.is_alive:
            self.at(0.002, lambda: self.deliver_result(node, effect, lost))
            return
        errored = False
        if request.write_id in self.executed_writes:
            self.violations.append(f"{request.write_id} was sent twice")
        if request.write_id:
            self.executed_writes.add(request.write_id)
        if request.write_id and server.in_recovery:
            errored = True
        elif request.write_id:
            group.write(self.now, server, request.write_id)
        else:
            round_key = (effect.key.origin, effect.key.number)
            self.read_results[round_key] = list(server.log)
        lsn = server.lsn if effect.wants_position else 0
        result = work.ServerResult(
            b"I", work.Loss.NONE, False, errored, server.in_recovery, lsn
        )
        if not self.are_zones_connected(node.zone, server.zone):
            result = lost
        self.at(
            self.network_s(), lambda: self.deliver_result(node, effect, result)
        )

    def deliver_result(
        self, node: Node, effect: effects.Execute, result: work.ServerResult
    ) -> None:
        """Feeds a node a server's result."""
        key = effect.key
        self.feed(node, lambda now: events.RoundExecuted(now, key, result))

    def deliver_answer(self, node: Node, effect: effects.Answer) -> None:
        """Delivers a home's answer to the entry instance."""
        key = effect.key
        self._check_answer(node, key, effect.answer)
        if key.origin == node.name:
            self._deliver(node, key.number, effect.answer)
            return
        origin = self.nodes[key.origin]
        if not self.can_talk(node, origin):
            return
        self.at(
            self.network_s(),
            lambda: self._deliver(origin, key.number, effect.answer),
        )

    def _deliver(
        self, node: Node, number: int, answer: work.HomeAnswer
    ) -> None:
        self.feed(node, lambda now: events.HomeAnswered(now, number, answer))

    def _check_answer(
        self, node: Node, key: work.RoundKey, answer: work.HomeAnswer
    ) -> None:
        """Checks that no replaced primary acknowledges a write."""
        request = self.requests.get((key.origin, key.number))
        if request is None or answer.failure or not request.write_id:
            return
        group = self.groups[request.session.service]
        server = group.servers[answer.server]
        if request.write_id not in server.log:
            return
        if group.latest_promoted != answer.server:
            self.violations.append(
                f"{request.write_id} acknowledged by {answer.server} while "
                f"{group.latest_promoted} is primary"
            )

    def complete(self, node: Node, effect: effects.Complete) -> None:
        """Reports the end of a round to its caller and checks the answer."""
        round_key = (node.name, effect.number)
        request = self.requests.pop(round_key, None)
        if request is None:
            return
        session = request.session
        end = effect.end
        session.ends.append((request.write_id, end))
        if end.token:
            session.token = end.token
        failure = end.failure
        if failure is not None:
            if failure.kind is outcomes.Kind.NOT_RUN and request.write_id:
                self.refused_writes.append(request.write_id)
            return
        if request.write_id:
            group = self.groups[session.service]
            if request.write_id in group.servers[end.server].log:
                session.acknowledged.append(request.write_id)
                self._record_holders(group, request.write_id)
            return
        shown = self.read_results.get(round_key, [])
        missing = [w for w in request.expected if w not in shown]
        if session.may_miss_lost_writes:
            missing = [w for w in missing if w not in self.lost_writes]
        if missing:
            self.violations.append(f"a read misses {missing} of its session")

    def _record_holders(self, group: FakeGroup, write_id: str) -> None:
        """Records which replicas had a write when it was acknowledged."""
        names = set()
        for server in group.servers.values():
            if write_id in server.log and server.in_recovery:
                names.add(server.name)
        self.replicas_with_write[write_id] = names

    def dispatch(self, node: Node, effect: effects.Dispatch) -> None:
        """Sends a round to its home."""
        home = self.nodes.get(effect.home)
        number = effect.number
        if home is None or not self.can_talk(node, home):
            self._lose_home(node, number, False)
            return
        key = work.RoundKey(node.name, number)
        request = effect.request
        self.at(
            self.network_s(),
            lambda: self.feed(
                home, lambda now: events.HomeRoundArrived(now, key, request)
            ),
        )
        self.at(0.5, lambda: self._watch_home(node, home, number))

    def _watch_home(self, node: Node, home: Node, number: int) -> None:
        """Polls until a home is unreachable and then ends the data link."""
        pending = node.state.pending_rounds.get(number)
        if pending is None or pending.home != home.name:
            return
        if not self.can_talk(node, home):
            self._lose_home(node, number, True)
            return
        self.at(0.5, lambda: self._watch_home(node, home, number))

    def _lose_home(self, node: Node, number: int, sent: bool) -> None:
        self.at(
            0.001,
            lambda: self.feed(
                node,
                lambda now: events.HomeLost(now, number, sent, False),
            ),
        )

    def call_store(self, node: Node, effect: Any) -> None:
        """Makes a call to the store, with its faults."""
        asked_at = self.now
        if self._is_store_unreachable(node):
            self._answer_store(node, effect, asked_at, None, 1.0)
            return
        self.at(STORE_DELAY_S, lambda: self._apply_call(node, effect, asked_at))

    def _apply_call(self, node: Node, effect: Any, asked_at: float) -> None:
        self.store.expire(self.now)
        answer = apply(effect, self.store, self.now)
        delay_s = STORE_DELAY_S
        if self.lose_answers > 0:
            self.lose_answers -= 1
            answer = None
            delay_s = 1.0
        self._answer_store(node, effect, asked_at, answer, delay_s)

    def _answer_store(
        self,
        node: Node,
        effect: Any,
        asked_at: float,
        answer: Any,
        delay_s: float,
    ) -> None:
        if isinstance(effect, effects.RevokeStoreLease):
            return
        call = effect.call
        self.at(
            delay_s,
            lambda: self.feed(
                node,
                lambda now: events.StoreAnswered(now, call, asked_at, answer),
            ),
        )

    def send_to_peer(self, node: Node, effect: effects.SendToPeer) -> None:
        """Delivers a control message, unless the network is cut."""
        other = self.nodes.get(effect.instance)
        if other is None or not self.can_talk(node, other):
            return
        message = effect.message
        sender = node.name
        delay_s = 0.0 if other is node else self.network_s()
        self.at(
            delay_s,
            lambda: self.feed(
                other,
                lambda now: events.PeerMessageReceived(now, sender, message),
            ),
        )

    def promote(self, node: Node, effect: effects.Promote) -> None:
        """Promotes a server for a node."""
        group = self.groups[effect.service]
        server = group.servers[effect.server]
        is_reachable = server.is_alive and self.are_zones_connected(
            node.zone, server.zone
        )
        is_reachable = is_reachable and self.now >= server.frozen_until
        answer = None
        fork = 0
        if is_reachable and self.now < effect.not_after:
            if server.in_recovery:
                self._check_lost_writes(group, server)
            fork = group.promote(self.now, server)
            answer = probes.ProbeAnswer(False, server.lsn, server.timeline)
        self.at(
            0.02,
            lambda: self.feed(
                node,
                lambda now: events.PromotionFinished(
                    now,
                    effect.service,
                    effect.server,
                    effect.term,
                    answer,
                    fork,
                ),
            ),
        )

    def cancel(self, node: Node, session: int) -> None:
        """Sends a home the cancel request of a session."""
        found = node.state.sessions.get(session)
        pending = (
            node.state.pending_rounds.get(found.running_round)
            if found
            else None
        )
        if pending is None or pending.home not in self.nodes:
            return
        self._notify_home(node, pending.home, session, events.CancelRequested)

    def release(self, node: Node, home: str, session: int) -> None:
        """Notifies a home that a session has ended."""
        if home in self.nodes:
            self._notify_home(node, home, session, events.EntrySessionClosed)

    def _notify_home(
        self, node: Node, home: str, session: int, make: Any
    ) -> None:
        """Delivers an event of a session over the data link."""
        other = self.nodes[home]
        pin = (node.name, session)
        if other is not node and not self.can_talk(node, other):
            return
        self.at(
            self.network_s(),
            lambda: self.feed(other, lambda now: make(now, pin)),
        )

    def fetch(self, node: Node) -> None:
        """Loads the configuration from the store, or from a peer."""
        found = self.store.find(calls.CONFIG_HEAD_KEY)
        version = found.value["change"]["version"] if found.value else 0
        if self._is_store_unreachable(node):
            version = 0
            for other in self.nodes.values():
                if self.can_talk(node, other):
                    version = max(version, other.state.config.version)
        if version <= node.state.config.version:
            self.at(0.3, lambda: self._fetch_again(node))
            return
        config = configuration.parse(self.documents[version], version)
        self.at(
            0.02,
            lambda: self.feed(
                node, lambda now: events.ConfigLoaded(now, config)
            ),
        )

    def _fetch_again(self, node: Node) -> None:
        if node.state.config.version < node.state.relay.head_version:
            self.fetch(node)


@functools.singledispatch
def perform(effect: Any, world: World, node: Node) -> None:
    """Performs an effect in the world; those without a handler are ignored."""


@perform.register
def _(effect: effects.Admit, world: World, node: Node) -> None:
    node.admitted[effect.session] = work.Admitted(effect.session)


@perform.register
def _(effect: effects.Reject, world: World, node: Node) -> None:
    node.admitted[effect.session] = effect.failure


@perform.register
def _(effect: effects.CloseSession, world: World, node: Node) -> None:
    node.closed[effect.session] = effect.failure
    session = effect.session
    world.at(
        0.0,
        lambda: world.feed(
            node, lambda now: events.SessionClosed(now, session)
        ),
    )


@perform.register
def _(effect: effects.WatchServers, world: World, node: Node) -> None:
    new = set(effect.servers) - node.watched
    node.watched = set(effect.servers)
    for service, name in sorted(new):
        world.keep_probing(node, service, name)


@perform.register
def _(effect: effects.Probe, world: World, node: Node) -> None:
    world.probe(node, effect.service, effect.server)


@perform.register
def _(effect: effects.Execute, world: World, node: Node) -> None:
    world.execute(node, effect)


@perform.register
def _(effect: effects.Answer, world: World, node: Node) -> None:
    world.deliver_answer(node, effect)


@perform.register
def _(effect: effects.Complete, world: World, node: Node) -> None:
    world.complete(node, effect)


@perform.register
def _(effect: effects.Dispatch, world: World, node: Node) -> None:
    world.dispatch(node, effect)


@perform.register
def _(effect: effects.SendToPeer, world: World, node: Node) -> None:
    world.send_to_peer(node, effect)


@perform.register
def _(effect: effects.CancelRound, world: World, node: Node) -> None:
    world.cancel(node, effect.session)


@perform.register
def _(effect: effects.ReleasePin, world: World, node: Node) -> None:
    world.release(node, effect.home, effect.session)


@perform.register
def _(effect: effects.Promote, world: World, node: Node) -> None:
    world.promote(node, effect)


@perform.register
def _(effect: effects.FetchConfig, world: World, node: Node) -> None:
    world.at(0.001, lambda: world.fetch(node))


@perform.register(effects.SwapValue)
@perform.register(effects.GrantStoreLease)
@perform.register(effects.RenewStoreLease)
@perform.register(effects.RevokeStoreLease)
@perform.register(effects.ReadValue)
@perform.register(effects.ReadPrefix)
def _(effect: Any, world: World, node: Node) -> None:
    world.call_store(node, effect)


def make_document(
    zones: list[str], services: dict[str, list[tuple[str, str]]], **extra: Any
) -> document.Document:
    """Returns a configuration with one workspace and the key "key"."""
    described = {}
    for name, servers in services.items():
        described[name] = {
            "servers": {
                server: {"host": "h", "port": 1, "zone": zone}
                for server, zone in servers
            },
            "database": name,
            "user": "u",
            "connections_per_server": 20,
            "acknowledge": extra.get("acknowledge", "replica"),
        }
    out = extra.get("out", ())
    described_zones: dict[str, dict] = {}
    for zone in zones:
        described_zones[zone] = {"state": document.OUT} if zone in out else {}
    keys = {"key": {"workspace": "clerks", "verifier": "v"}}
    return document.normalize(
        {
            "zones": described_zones,
            "workspaces": {
                "clerks": {"rate": 100000, "burst": 100000},
            },
            "services": described,
            "keys": extra.get("keys", keys),
            "rules": extra.get("rules", []),
            "open_routes": extra.get("open_routes", []),
        }
    )


def make_world(
    seed: int = 0,
    acknowledge: str = "replica",
    lags_s: tuple[float, ...] = (0.05, 0.05, 0.05),
    **extra: Any,
) -> World:
    """Returns three zones with two instances each, and one group."""
    zones = ["a", "b", "c"]
    servers = [(f"s{zone}", zone) for zone in zones]
    config = make_document(
        zones, {"ledger": servers}, acknowledge=acknowledge, **extra
    )
    fakes = []
    for (name, zone), lag_s in zip(servers, lags_s, strict=True):
        fakes.append(FakeServer(name, zone, lag_s))
    group = FakeGroup("ledger", fakes)
    return World(dict.fromkeys(zones, 2), [group], config, seed)


def steward_of(world: World, service: str) -> str:
    """Returns the service's active steward, or ""."""
    shard = placement.shard_of(service, world.shard_count)
    for node in world.nodes.values():
        hold = node.state.stewardships.get(shard)
        if node.is_alive and hold is not None and hold.active:
            return node.name
    return ""
