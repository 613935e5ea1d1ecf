"""A model of the store, the coordinator and all followers in simulated time.

It runs the reducer and the follower of each instance against a fake store whose
calls take time, may fail and may leave changes out. It records each instance
that is in touch with the store and lacks a change for longer than a bound.

An instance is in touch if, for a while, it ran, the store was reachable from
it in both directions, and the store was not impaired.
"""

import asyncio
import bisect
import collections
import itertools
import random
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from cuminwall import exceptions
from cuminwall.direct import (
    catalog,
    effects,
    events,
    follower,
    limits,
    ports,
    revisions,
    statements,
    store_view,
)
from tests import direct_world

START_S = 100.0
SLOW_S = 0.24  # How long a slow store takes for a call.
# Timeouts of the client, as those of the platform's adapter.
READ_TIMEOUT_S = 1.5
WATCH_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 0.5
CHECK_S = 0.1  # Between two checks of what each instance knows.
WORKSPACES = 80
NEVER = float("-inf")
TRACED_PARTS = ("store", "config", "coordination")
MAX_TRACE_LINES = 80


class Bounds(NamedTuple):
    """The bounds of a deployment, in seconds.

    Attributes:
      apply_s: From the store's acknowledgement of a change until each instance
        in touch has it in force.
      contact_s: How long the conditions for being in touch must have held.
    """

    apply_s: float
    contact_s: float


SMALL = Bounds(3.0, 4.0)
GROWN = Bounds(5.0, 5.0)
LARGE = Bounds(6.0, 5.0)
BOUNDS = {9: SMALL, 73: GROWN, 195: LARGE}


class SimulatedLoop(asyncio.BaseEventLoop):
    """An event loop that advances its time to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.simulated_s = START_S
        self._clock_resolution = 1e-9
        self._selector = self

    def time(self) -> float:
        """Returns the simulated time, in seconds."""
        return self.simulated_s

    def select(self, timeout: float | None) -> list[Any]:
        """Advances the time by the timeout.

        Raises:
          RuntimeError: Nothing will ever happen.
        """
        if timeout is None:
            raise RuntimeError("no timer is set")
        self.simulated_s += max(0.0, timeout)
        return []

    def _process_events(self, event_list: list[Any]) -> None:
        """Does nothing; there are no sockets."""

    def _write_to_self(self) -> None:
        """Does nothing; there are no threads."""


class Failure(NamedTuple):
    """An instance in touch lacked a change for longer than the bound.

    Attributes:
      instance: The instance.
      change: The change.
      late_s: Time since the acknowledgement, when first seen.
    """

    instance: str
    change: str
    late_s: float


class Change(NamedTuple):
    """A change that the store has acknowledged.

    Attributes:
      text: What it is.
      at: When it was acknowledged.
      is_known: Returns whether an instance has it in force.
    """

    text: str
    at: float
    is_known: Callable[["ModelInstance"], bool]


class DeafnessEnd(NamedTuple):
    """What happens when the watches report changes again.

    Attributes:
      is_cut: Whether the calls that wait at this moment are cut.
      is_woken: Whether they look for changes at once, otherwise.
      is_drop_exact: Whether the history is dropped up to the last answer of a
        watch meanwhile only.
    """

    is_cut: bool = True
    is_woken: bool = True
    is_drop_exact: bool = False


class Impairment:
    """Whether something is impaired, and when it last was.

    Attributes:
      count: How many impairments last.
      ended_at: When the latest ended.
    """

    def __init__(self) -> None:
        self.count = 0
        self.ended_at = NEVER

    def lasted(self, now: float, seconds: float) -> bool:
        """Returns whether there was none for some time."""
        return not self.count and now - self.ended_at >= seconds


class Waiter:
    """A call at the store that waits for changes.

    Attributes:
      woken: Is done when there is something to report.
      client: Whose call it is.
      is_hung: Whether it is never answered.
    """

    def __init__(self, client: "StoreClient"):
        self.woken: asyncio.Future[None] = client.world.loop.create_future()
        self.client = client
        self.is_hung = False

    def wake(self) -> None:
        """Makes the call look for changes."""
        if not self.woken.done() and not self.is_hung:
            self.woken.set_result(None)

    def cut(self) -> None:
        """Ends the call without an answer."""
        if not self.woken.done() and not self.is_hung:
            error = exceptions.StoreUnavailableError("connection cut")
            self.woken.set_exception(error)


class ModelStore(direct_world.FakeStore):
    """The store, with one revision counter and watches.

    Attributes:
      items: The present items, by kind and name.
      log: All changes of this era, oldest first.
      log_revisions: Their revisions.
      oldest: The history up to this revision is no longer available.
      waiters: The calls that wait for changes.
      is_silent: Whether no call is answered.
      is_busy: Whether each call is refused.
      is_slow: Whether each call takes long.
      is_deaf: Whether the watches report nothing.
      deaf_as_of: The revision of the last answer meanwhile, 0 if none.
    """

    world: "StoreWorld"

    def __init__(self, world: "StoreWorld"):
        super().__init__(world)
        self.revision = revisions.compose(revisions.FIRST_ERA, 1)
        self.items: dict[tuple[ports.ItemKind, str], ports.StoreItem] = {}
        self.log: list[ports.StoreItem] = []
        self.log_revisions: list[int] = []
        self.oldest = 0
        self.waiters: dict[Waiter, None] = {}
        self.is_silent = False
        self.is_busy = False
        self.is_slow = False
        self.is_deaf = False
        self.deaf_as_of = 0

    @property
    def era(self) -> int:
        """The era."""
        return revisions.era_of(self.revision)

    def record(self, kind: ports.ItemKind, name: str, value: Any) -> None:
        """Records a change that has the present revision."""
        item = ports.StoreItem(kind, name, value, self.revision)
        if value is None:
            self.items.pop((kind, name), None)
        else:
            self.items[kind, name] = item
        self.log.append(item)
        self.log_revisions.append(self.revision)
        if not self.is_deaf:
            self.wake_all()

    def wake_all(self) -> None:
        """Makes all waiting calls look for changes."""
        for waiter in list(self.waiters):
            waiter.wake()

    def cut_all(self) -> None:
        """Ends all waiting calls without an answer."""
        for waiter in list(self.waiters):
            waiter.cut()

    def drop_history(self, up_to: int | None = None) -> None:
        """Drops the changes up to a revision, or all of them."""
        self.oldest = max(self.oldest, up_to or self.revision)

    def changes_after(self, after: int) -> list[ports.StoreItem]:
        """Returns the changes after a revision.

        Raises:
          ports.HistoryLostError: They are no longer available.
        """
        if after < self.oldest:
            raise ports.HistoryLostError(f"no history after {after}")
        return self.log[bisect.bisect_right(self.log_revisions, after) :]

    def begin_deafness(self) -> None:
        """Lets the watches report nothing from now on."""
        self.is_deaf = True
        self.deaf_as_of = 0
        self.world.impairment.count += 1
        self.world.note("", "fault: watches are deaf")

    def end_deafness(self, ending: "DeafnessEnd") -> None:
        """Drops the history, and lets the watches report changes again."""
        self.is_deaf = False
        self.world.impairment.count -= 1
        self.world.impairment.ended_at = self.world.now
        up_to = self.deaf_as_of if ending.is_drop_exact else None
        self.drop_history(up_to)
        self.world.note("", f"fault: watches are no longer deaf, {ending}")
        if ending.is_cut:
            self.cut_all()
        elif ending.is_woken:
            self.wake_all()

    def restore(self) -> None:
        """Restores a copy that lacks all leases, in a new era."""
        for lease in list(self.leases):
            self.end(lease)
        era = self.era + 1
        self.revision = revisions.compose(era, 1)
        self.oldest = self.revision
        self.log.clear()
        self.log_revisions.clear()
        for key, item in list(self.items.items()):
            self.revision += 1
            value: Any = item.value
            if isinstance(value, catalog.ServerEntry):
                value = value._replace(revision=self.revision)
                self.world.entries[value.server] = value
            if key[0] is ports.ItemKind.SHARED:
                stored = self.values[key[1]]
                self.values[key[1]] = stored._replace(revision=self.revision)
            self.items[key] = item._replace(value=value, revision=self.revision)
        self.oldest = self.revision
        self.cut_all()


class StoreClient:
    """One instance's client of the store: `ports.StorePort`.

    Attributes:
      instance: The instance.
      store: The store.
      era: The highest era that an answer has told.
      call_times: When a call for changes or of the whole store was sent.
      lease_eras: The era of each lease.
    """

    def __init__(self, world: "StoreWorld", instance: "ModelInstance"):
        self.world = world
        self.instance = instance
        self.store = world.store
        self.era = 0
        self.call_times: list[float] = []
        self.lease_eras: dict[int, int] = {}

    async def read_all(self) -> ports.StoreItems:
        """Returns all items of the store."""
        self.call_times.append(self.world.now)

        async def read() -> ports.StoreItems:
            items = list(self.store.items.values())
            return ports.StoreItems(items, self.store.revision)

        return await self._call(read, READ_TIMEOUT_S)

    def is_answer_arriving(self) -> bool:
        """Returns False: each answer arrives as a whole."""
        return False

    async def watch(self, after: int, wait_s: float) -> ports.StoreItems:
        """Returns the items changed after a revision; waits for a change."""
        self.call_times.append(self.world.now)
        era = revisions.era_of(after)
        self._require_era(era)

        async def wait() -> ports.StoreItems:
            return await self._wait(after, wait_s)

        result = await self._call(wait, wait_s + WATCH_TIMEOUT_S)
        self._require_era(era)
        return result

    async def swap(self, call: effects.CompareAndSwap) -> int:
        """Writes shared values if all have the expected revisions."""
        era = self.era
        eras = {self.lease_eras.get(call.lease, era)}
        for revision in call.expected.values():
            eras.add(revisions.era_of(revision) if revision else era)
        if eras != {era}:
            return 0

        async def write() -> int:
            return self.store.swap(call)

        revision = await self._call(write, WRITE_TIMEOUT_S)
        if 0 < era != self.era:
            raise exceptions.StoreUnavailableError("restored meanwhile")
        return revision

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Returns the id of a new lease and its time to live, in seconds."""

        async def grant() -> int:
            return self.store.grant(ttl_s)

        lease = await self._call(grant, WRITE_TIMEOUT_S)
        self.lease_eras[lease] = self.era
        return lease, ttl_s

    async def keep_lease(self, lease: int) -> float:
        """Renews a lease; returns its time to live, 0 if it has expired."""

        async def keep() -> float:
            if lease not in self.store.leases:
                return 0.0
            return self.store.renew(lease)

        return await self._call(keep, WRITE_TIMEOUT_S)

    async def end_lease(self, lease: int) -> None:
        """Ends a lease, which removes the values bound to it."""

        async def end() -> None:
            self.store.end(lease)

        await self._call(end, WRITE_TIMEOUT_S)

    async def _wait(self, after: int, wait_s: float) -> ports.StoreItems:
        """Waits at the store for changes."""
        store = self.store
        if after < store.oldest:
            store.changes_after(after)
        until = self.world.now + wait_s
        waiter = Waiter(self)
        store.waiters[waiter] = None
        try:
            while True:
                changes = [] if store.is_deaf else store.changes_after(after)
                if changes:
                    return ports.StoreItems(changes, store.revision)
                waiter.woken = self.world.loop.create_future()
                left_s = until - self.world.now
                await asyncio.wait([waiter.woken], timeout=left_s)
                if waiter.is_hung:
                    await self._hang()
                if not waiter.woken.done():
                    if store.is_deaf:
                        store.deaf_as_of = store.revision
                    return ports.StoreItems([], store.revision)
                waiter.woken.result()
        finally:
            del store.waiters[waiter]

    async def _call(
        self, action: Callable[[], Coroutine[Any, Any, Any]], timeout_s: float
    ) -> Any:
        """Makes a call to the store."""
        await self.instance.running.wait()
        try:
            async with asyncio.timeout(timeout_s):
                result = await self._exchange(action)
        except TimeoutError:
            await self.instance.running.wait()
            text = f"no answer for {timeout_s:g} s"
            raise exceptions.StoreUnavailableError(text) from None
        await self.instance.running.wait()
        self.era = max(self.era, self.store.era)
        return result

    async def _exchange(
        self, action: Callable[[], Coroutine[Any, Any, Any]]
    ) -> Any:
        """Carries a call to the store and its answer back."""
        await self._travel()
        if self.store.is_busy:
            await self._travel()
            raise exceptions.StoreUnavailableError("status 503")
        try:
            result = await action()
        except (exceptions.StoreUnavailableError, ports.HistoryLostError):
            await self._travel()
            raise
        await self._travel()
        return result

    async def _travel(self) -> None:
        """Takes the time of one way; never ends while there is none."""
        way_s = SLOW_S if self.store.is_slow else direct_world.STORE_S
        await asyncio.sleep(way_s / 2)
        if self.store.is_silent or self.instance.is_store_cut:
            await self._hang()

    async def _hang(self) -> None:
        """Waits until it is cancelled."""
        await self.world.loop.create_future()

    def _require_era(self, era: int) -> None:
        """Raises HistoryLostError unless the store is still in an era."""
        if era != self.era:
            raise ports.HistoryLostError(f"era {self.era}, no longer {era}")


class ModelInstance(direct_world.Instance):
    """One instance with its follower and its client of the store.

    Attributes:
      running: Is set unless the process is paused.
      backlog: What arrived while it was paused.
      is_store_cut: Whether it has no path to the store.
      impairment: Whether it is impaired.
      client: Its client of the store.
      follower: Its follower.
      task: The task of the follower.
      restarts: When it wanted another call of the store.
      restart_causes: How many times each type of event was the reason.
      handled: The type of the event that is handled.
    """

    world: "StoreWorld"

    def __init__(self, world: "StoreWorld", name: str, zone: str, boot: str):
        super().__init__(world, name, zone, boot)
        self.running = asyncio.Event()
        self.running.set()
        self.backlog: list[Any] = []
        self.is_store_cut = False
        self.impairment = Impairment()
        self.impairment.ended_at = world.now
        self.client = StoreClient(world, self)
        self.restarts: list[float] = []
        self.restart_causes: collections.Counter[str] = collections.Counter()
        self.handled = ""
        self.follower = follower.Follower(
            self.client,
            self.handle_event,
            lambda: world.now,
            lambda: follower.pause_s(len(self.state.members)),
            lambda: store_view.find_wait_s(self.state, world.now),
            lambda: store_view.is_whole_read_due(self.state, world.now),
        )
        self.task = world.loop.create_task(self.follower.follow())
        self.task.add_done_callback(self._handle_end)

    def handle_event(self, event: Any) -> None:
        """Handles an event, later if the process is paused."""
        if not self.running.is_set():
            self.backlog.append(event)
            return
        self.handled = type(event).__name__
        super().handle_event(event)

    def _handle_end(self, task: asyncio.Task[None]) -> None:
        """Reports a follower that has ended by itself."""
        if not task.cancelled():
            error = task.exception() or RuntimeError("the follower has ended")
            self.world.errors.append(error)

    def pause(self) -> None:
        """Stops the process."""
        self.running.clear()

    def resume(self) -> None:
        """Continues the process; all that has arrived is handled at once."""
        if self.running.is_set():
            return
        self.running.set()
        backlog, self.backlog = self.backlog, []
        for event in backlog:
            if hasattr(event, "now"):
                event = event._replace(now=self.world.now)
            self.handle_event(event)

    def longest_starvation_s(self, since: float) -> float:
        """Returns the longest time from a wanted call of the store to a call.

        Args:
          since: Only calls wanted after this time count.
        """
        longest_s = 0.0
        calls = [*self.client.call_times, self.world.now]
        for before, after in itertools.pairwise(calls):
            wanted = [
                at for at in self.restarts if max(before, since) < at <= after
            ]
            if wanted:
                longest_s = max(longest_s, after - wanted[0])
        return longest_s


class StoreWorld(direct_world.World):
    """A world in which changes reach each instance by its follower.

    Attributes:
      loop: The event loop with the simulated time.
      bounds: The bounds.
      impairment: Whether the store is impaired.
      pending: The changes that some instance may lack.
      failures: Which instances lacked a change for too long, by instance and
        change.
      trace: What happened: time, instance or "", and text.
      errors: What was raised by callbacks and tasks; `run` raises it.
      random_state: That of the common generator before.
    """

    store: ModelStore
    instances: dict[str, ModelInstance]  # type: ignore[assignment]

    def __init__(
        self,
        size: int,
        seed: int = 1,
        bounds: Bounds | None = None,
        limits_: limits.Limits = limits.DEFAULTS,
    ):
        self.loop = SimulatedLoop()
        self.bounds = bounds or BOUNDS[size]
        self.impairment = Impairment()
        self.pending: list[Change] = []
        self.failures: dict[tuple[str, str], Failure] = {}
        self.trace: list[tuple[float, str, str]] = []
        self.errors: list[BaseException] = []
        self.loop.set_exception_handler(self._handle_error)
        self.random_state = random.getstate()
        self.is_over = False
        super().__init__((), (), seed, limits_, make_catalog())
        # The follower draws its backoff from the common generator.
        random.seed(seed)
        self.store = ModelStore(self)
        for name in ("p", "q"):
            server = make_server(name)
            server.is_primary = name == "p"
            self.servers[name] = server
            self.write_entry(server)
        self.store.revision += 1
        self.store.record(ports.ItemKind.CATALOG, "", self.config)
        for number in range(size):
            self.start(f"edge{number}")
        self.schedule(CHECK_S, self._check)

    @property
    def now(self) -> float:
        """The simulated time, in seconds."""
        return self.loop.time()

    @now.setter
    def now(self, value: float) -> None:
        """Ignores the time; the event loop has it."""

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        self.loop.call_later(delay_s, action)

    def run(self, seconds: float) -> None:
        """Advances the time and runs what is scheduled."""
        self.loop.run_until_complete(asyncio.sleep(seconds))
        if self.errors:
            raise self.errors[0]

    def _handle_error(self, loop: Any, context: dict[str, Any]) -> None:
        """Records an error of a callback or a task."""
        del loop
        error = context.get("exception")
        self.errors.append(error or RuntimeError(context["message"]))

    def close(self) -> None:
        """Ends the followers and the event loop."""
        self.is_over = True
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(direct_world.LINK_S)
        self.loop.close()
        random.setstate(self.random_state)

    def start(self, name: str) -> ModelInstance:  # type: ignore[override]
        """Starts or restarts an instance."""
        self.boots += 1
        instance = ModelInstance(self, name, "z1", f"boot{self.boots}")
        self.instances[name] = instance
        return instance

    def kill(self, name: str) -> None:
        """Ends an instance without a shutdown."""
        super().kill(name)
        self.note(name, "killed")
        self.instances[name].task.cancel()

    def note(self, instance: str, text: str) -> None:
        """Adds a line to the trace."""
        self.trace.append((self.now, instance, text))

    def alive(self) -> list[ModelInstance]:
        """Returns the instances that are alive."""
        return [each for each in self.instances.values() if each.is_alive]

    def count_links(self, server: direct_world.FakeServer) -> int:
        """Returns 0: the servers accept any number of connections."""
        del server
        return 0

    def wait_calls(self) -> list["Waiter"]:
        """Returns the calls that wait at the store, of living instances."""
        return [w for w in self.store.waiters if w.client.instance.is_alive]

    def hang_watches(self) -> None:
        """Lets no call that waits now be answered, as if its link were dead."""
        for waiter in self.wait_calls():
            instance = waiter.client.instance
            waiter.is_hung = True
            instance.impairment.ended_at = self.now
            self.note(instance.name, "fault: watch hangs")

    # Changes of the operator and the servers.

    def configure(self, config: catalog.Catalog) -> None:
        """Puts a configuration into the store."""
        self.config = config
        self.store.revision += 1
        self.store.record(ports.ItemKind.CATALOG, "", config)
        version = config.version
        self._add_change(
            f"config {version}",
            lambda instance: instance.state.catalog.version >= version,
        )

    def change_route(self) -> None:
        """Puts a configuration with another time limit into the store."""
        version = self.config.version + 1
        route = self.config.routes["own"]
        route = route._replace(timeout_s=0.8 + version / 1000)
        routes = {**self.config.routes, "own": route}
        self.configure(self.config._replace(version=version, routes=routes))

    def write_entry(self, server: Any, **changes: Any) -> None:
        """Writes a server's entry."""
        super().write_entry(server, **changes)
        name = server.name
        entry = self.entries[name]
        self.store.record(ports.ItemKind.SERVER, name, entry)

        def is_known(instance: ModelInstance) -> bool:
            known = instance.state.servers.get(name)
            return known is not None and known.entry.revision >= entry.revision

        self._add_change(f"entry {name} {entry.revision}", is_known)

    def evacuate(self, zone: str, is_out: bool) -> None:
        """Takes an availability zone out of service, or back."""
        self.store.revision += 1
        value = True if is_out else None
        self.store.record(ports.ItemKind.ZONE_OUT, zone, value)
        prefix = f"zone {zone} "
        # A later change of the same zone replaces an earlier one.
        for change in list(self.pending):
            if change.text.startswith(prefix):
                self.pending.remove(change)
        self._add_change(
            f"{prefix}{is_out} {self.store.revision}",
            lambda instance: (zone in instance.state.evacuated_zones) == is_out,
        )

    def publish_shared(
        self, name: str, value: bytes | None, revision: int
    ) -> None:
        """Records a change of a shared value."""
        del revision
        self.store.record(ports.ItemKind.SHARED, name, value)

    def _publish(self, instance: Any, event: Any) -> None:
        """Does nothing; the followers learn of the change by the store."""

    def _add_change(self, text: str, is_known: Any) -> None:
        if self.instances:
            self.note("", f"acknowledged {text}")
            self.pending.append(Change(text, self.now, is_known))

    # What is checked.

    def is_in_touch(self, instance: ModelInstance) -> bool:
        """Returns whether an instance is in touch."""
        contact_s = self.bounds.contact_s
        if not self.impairment.lasted(self.now, contact_s):
            return False
        return instance.impairment.lasted(self.now, contact_s)

    def _check(self) -> None:
        """Records the instances that lack a change for too long."""
        if self.is_over:
            return
        self.schedule(CHECK_S, self._check)
        for change in list(self.pending):
            lacking = [i for i in self.alive() if not change.is_known(i)]
            if not lacking:
                self.pending.remove(change)
                continue
            late_s = self.now - change.at
            if late_s <= self.bounds.apply_s:
                continue
            for instance in lacking:
                key = (instance.name, change.text)
                if key in self.failures or not self.is_in_touch(instance):
                    continue
                self.failures[key] = Failure(*key, round(late_s, 1))
                self.note(instance.name, f"lacks {change.text}")

    def describe_failures(self) -> str:
        """Returns the failures and the trace of the first, as text."""
        failures = list(self.failures.values())
        if not failures:
            return ""
        first = failures[0]
        count = len({failure.instance for failure in failures})
        lines = []
        for at, name, text in self.trace:
            if name in ("", first.instance) or text.startswith("fault"):
                lines.append(f"{at - START_S:8.3f} {name} {text[:200]}")
            if text == f"lacks {first.change}":
                break
        head = f"{len(failures)} failures at {count} instances; {first}"
        return "\n".join([head, *lines[-MAX_TRACE_LINES:]])

    # Effects.

    def perform(self, instance: Any, effect: Any) -> None:
        """Performs an effect."""
        performer = _CALLS.get(type(effect))
        if performer is not None:
            self.loop.create_task(performer(self, instance, effect))
        elif isinstance(effect, effects.RereadStore):
            instance.follower.reread()
        elif isinstance(effect, effects.RestartWatch):
            instance.restarts.append(self.now)
            instance.restart_causes[instance.handled] += 1
            instance.follower.restart_watch()
        else:
            if isinstance(effect, effects.Note) and effect.part in TRACED_PARTS:
                self.note(instance.name, f"{effect.event} {effect.fields}")
            super().perform(instance, effect)

    async def _swap_values(
        self, instance: ModelInstance, effect: effects.CompareAndSwap
    ) -> None:
        sent_at = self.now
        revision: int | None
        try:
            revision = await instance.client.swap(effect)
        except exceptions.StoreUnavailableError:
            revision = None
        instance.handle_event(
            events.SwapFinished(self.now, effect.number, sent_at, revision)
        )

    async def _grant_lease(
        self, instance: ModelInstance, effect: effects.GrantLease
    ) -> None:
        sent_at = self.now
        lease = 0
        ttl_s: float | None
        try:
            lease, ttl_s = await instance.client.grant_lease(effect.ttl_s)
        except exceptions.StoreUnavailableError:
            ttl_s = None
        instance.handle_event(
            events.LeaseCallFinished(self.now, lease, sent_at, ttl_s)
        )

    async def _keep_lease(
        self, instance: ModelInstance, effect: effects.KeepLease
    ) -> None:
        sent_at = self.now
        ttl_s: float | None
        try:
            ttl_s = await instance.client.keep_lease(effect.lease)
        except exceptions.StoreUnavailableError:
            ttl_s = None
        instance.handle_event(
            events.LeaseCallFinished(self.now, effect.lease, sent_at, ttl_s)
        )

    async def _end_own_lease(
        self, instance: ModelInstance, effect: effects.EndLease
    ) -> None:
        try:
            await instance.client.end_lease(effect.lease)
        except exceptions.StoreUnavailableError as error:
            self.note(instance.name, f"end_lease: {error}")


_CALLS: dict[type, Any] = {
    effects.CompareAndSwap: StoreWorld._swap_values,
    effects.GrantLease: StoreWorld._grant_lease,
    effects.KeepLease: StoreWorld._keep_lease,
    effects.EndLease: StoreWorld._end_own_lease,
}


def make_server(name: str) -> direct_world.FakeServer:
    """Returns a server that runs any number of statements at once."""
    server = direct_world.FakeServer(name)
    server.slots = 200
    server.busy_until = [0.0] * server.slots
    server.service_s = 0.002
    return server


def make_catalog() -> catalog.Catalog:
    """Returns a configuration with many workspaces of small rates."""
    config = direct_world.make_catalog()
    workspaces = {}
    keys = {}
    for number in range(WORKSPACES):
        name = f"w{number}"
        workspaces[name] = catalog.Workspace(name, 6.0, 6.0, 1)
        keys[f"key{number}"] = name
    services = {"s": config.services["s"]._replace(connections=10_000)}
    return config._replace(workspaces=workspaces, keys=keys, services=services)


class Traffic:
    """Callers of all instances; each sends one statement.

    Attributes:
      world: The world.
      rate: Operations a second of each instance.
    """

    def __init__(self, world: StoreWorld, rate: float):
        self.world = world
        self.rate = rate
        self.random = random.Random(len(world.instances))
        self.count = 0

    def start(self) -> None:
        """Sends operations from now on."""
        for name in self.world.instances:
            self._schedule(name)

    def _schedule(self, name: str) -> None:
        delay_s = self.random.expovariate(self.rate)
        self.world.schedule(delay_s, lambda: self._send(name))

    def _send(self, name: str) -> None:
        if self.world.is_over:
            return
        self._schedule(name)
        instance = self.world.instances[name]
        if not instance.is_alive or not instance.running.is_set():
            return
        self.count += 1
        number = int(WORKSPACES * self.random.random() ** 2)
        caller = instance.caller("aged", f"key{number}")
        if caller.refusal is not None:
            return

        def leave(answer: Any) -> None:
            del answer
            caller.leave()

        caller.on_answer = leave
        caller.send(statements.Read(f"r{self.count}", "READ 1"))
