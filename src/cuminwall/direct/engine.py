"""The engine: passes events to the reducer and performs its effects.

Events go through one queue, so that an effect that causes an event never
re-enters the reducer. All decisions are made by the reducer.
"""

import asyncio
import collections
import functools
import time
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from cuminwall import exceptions, reruns
from cuminwall.direct import (
    callers,
    effects,
    events,
    fleet,
    journal,
    memory,
    meters,
    ports,
    reducer,
    servers,
    state,
)
from cuminwall.load import memory_budget

PART = "engine"


def boot_clock() -> float:
    """Returns the seconds since the machine started, including suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Engine:
    """Runs the reducer of one instance.

    Attributes:
      state: The state of the reducer.
      store: The platform's store.
      provider: The platform's interface for what one instance does for all.
      journal: The writer of log lines.
      meters: The metrics, or None.
      memory: What connections hold in memory.
      callers: The callers' connections.
      servers: The connections to backend servers.
      fleet: The links to the other instances.
      reread_store: Called to read the whole store again.
      restart_watch: Called to replace a call that waits long for changes.
      ended: Set when the process may exit.
    """

    def __init__(
        self,
        state_: state.State,
        store: ports.StorePort,
        provider: ports.ProviderPort,
        caller_codec: Callable[[], ports.CallerCodec],
        server_codec: Callable[[], ports.ServerCodec],
        journal_: journal.Journal,
        meters_: meters.Meters | None,
    ):
        self.state = state_
        self.store = store
        self.provider = provider
        self.journal = journal_
        self.meters = meters_
        limits = state_.limits
        self.memory = memory.Memory(
            memory_budget.find_budget(limits.memory_bytes), self._note_memory
        )
        self.servers = servers.Servers(
            server_codec, self.handle_event, boot_clock, self.memory
        )
        self.callers = callers.Callers(
            caller_codec,
            self.handle_event,
            boot_clock,
            self.memory,
            memory_budget.find_socket_limit(limits.descriptors),
            self.servers.count,
        )
        self.fleet = fleet.Fleet(state_, self.handle_event, boot_clock)
        self.reread_store: Callable[[], None] = lambda: None
        self.restart_watch: Callable[[], None] = lambda: None
        self.ended = asyncio.Event()
        self.queue: collections.deque[events.Event] = collections.deque()
        self.is_running = False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0
        self.tasks: set[asyncio.Task[None]] = set()

    def handle_event(self, event: events.Event) -> None:
        """Passes an event to the reducer and performs its effects."""
        self.queue.append(event)
        if self.is_running:
            return
        self.is_running = True
        try:
            while self.queue:
                self._run(self.queue.popleft())
        finally:
            self.is_running = False
            self._set_timer()

    def _run(self, event: events.Event) -> None:
        """Handles one event; an error in it must not stop the others."""
        try:
            for effect in reducer.reduce(self.state, event):
                perform(effect, self)
        except Exception as error:
            name = type(event).__name__
            place = reruns.find_place(error)
            logger.error("{}: {} failed: {} {!r}", PART, name, place, error)
            if self.meters is not None:
                self.meters.count_decision(PART, "event_failed")
            if isinstance(event, events.StatementArrived):
                # Its caller would wait for an answer for ever.
                self.callers.close(event.session)

    def _note_memory(self, event: str, fields: dict[str, Any]) -> None:
        """Logs and counts a limit that a client met."""
        self.journal.add(memory.PART, event, fields)
        if self.meters is not None:
            self.meters.count_decision(memory.PART, event)

    def start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a background task."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Removes a background task that has ended; logs its exception."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                "{}: a background task failed: {!r}", PART, task.exception()
            )

    def _set_timer(self) -> None:
        """Schedules an event for the reducer's next timer."""
        timers = self.state.timers
        if not timers:
            return
        due_at = timers[0].due_at
        if self.timer is not None and self.timer_at <= due_at:
            return
        if self.timer is not None:
            self.timer.cancel()
        delay_s = max(0.0, due_at - boot_clock())
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay_s, self._handle_timer)
        self.timer_at = due_at

    def _handle_timer(self) -> None:
        """Passes the event of a due timer to the reducer."""
        self.timer = None
        now = boot_clock()
        if self.meters is not None:
            self.meters.loop_delay.record(max(0.0, now - self.timer_at))
        self.handle_event(events.TimersDue(now))

    async def compare_and_swap(self, effect: effects.CompareAndSwap) -> None:
        """Writes shared values with a compare-and-swap."""
        sent_at = boot_clock()
        revision: int | None
        try:
            revision = await self.store.swap(effect)
        except exceptions.StoreUnavailableError as error:
            self._log_failed_call("swap", error)
            revision = None
        self.handle_event(
            events.SwapFinished(boot_clock(), effect.number, sent_at, revision)
        )

    async def grant_lease(self, effect: effects.GrantLease) -> None:
        """Requests a lease from the store."""
        sent_at = boot_clock()
        lease = 0
        ttl_s: float | None
        try:
            lease, ttl_s = await self.store.grant_lease(effect.ttl_s)
        except exceptions.StoreUnavailableError as error:
            self._log_failed_call("grant_lease", error)
            ttl_s = None
        self.handle_event(
            events.LeaseCallFinished(boot_clock(), lease, sent_at, ttl_s)
        )

    async def keep_lease(self, effect: effects.KeepLease) -> None:
        """Renews this instance's lease."""
        sent_at = boot_clock()
        ttl_s: float | None
        try:
            ttl_s = await self.store.keep_lease(effect.lease)
        except exceptions.StoreUnavailableError as error:
            self._log_failed_call("keep_lease", error)
            ttl_s = None
        self.handle_event(
            events.LeaseCallFinished(boot_clock(), effect.lease, sent_at, ttl_s)
        )

    async def end_lease(self, effect: effects.EndLease) -> None:
        """Ends this instance's lease."""
        try:
            await self.store.end_lease(effect.lease)
        except exceptions.StoreUnavailableError as error:
            self._log_failed_call("end_lease", error)

    async def promote(self, effect: effects.Promote) -> None:
        """Orders the promotion of a server, unless another may by now."""
        may_send = functools.partial(self._may_coordinate, effect.epoch)
        try:
            outcome = await self.provider.promote(
                self.state.instance,
                effect.service,
                effect.server,
                effect.fencing_token,
                may_send,
            )
        except exceptions.StoreUnavailableError as error:
            self._log_failed_call("promote", error)
            outcome = events.PromotionOutcome(False, False)
        self.handle_event(
            events.PromotionFinished(
                boot_clock(),
                effect.service,
                effect.server,
                effect.fencing_token,
                outcome,
            )
        )

    async def report_usage(self, effect: effects.ReportUsage) -> None:
        """Reports the usage of a window, unless another may by now."""
        may_send = functools.partial(self._may_coordinate, effect.epoch)
        try:
            outcome = await self.provider.report_usage(
                self.state.instance,
                effect.window,
                effect.counts,
                effect.fencing_token,
                may_send,
            )
        except exceptions.StoreUnavailableError as error:
            self._log_failed_call("report_usage", error)
            outcome = events.UsageOutcome.UNKNOWN
        self.handle_event(
            events.UsageReportFinished(
                boot_clock(), effect.window, effect.fencing_token, outcome
            )
        )

    def _may_coordinate(self, epoch: int) -> bool:
        """Returns whether this instance coordinates and its lease is valid."""
        own_lease = self.state.own_lease
        return own_lease.epoch == epoch and own_lease.is_valid(boot_clock())

    def _log_failed_call(self, call: str, error: Exception) -> None:
        """Logs a call of the platform that got no usable answer."""
        fields = {"call": call, "cause": str(error)}
        self.journal.add(PART, "call_failed", fields)


@functools.singledispatch
def perform(effect: Any, engine: Engine) -> None:
    """Performs one effect."""
    raise TypeError(type(effect))


@perform.register
def _(effect: effects.AcceptSession, engine: Engine) -> None:
    engine.callers.accept_session(effect.session)


@perform.register
def _(effect: effects.RejectSession, engine: Engine) -> None:
    engine.callers.reject_session(effect.session, effect.failure)


@perform.register
def _(effect: effects.Reply, engine: Engine) -> None:
    engine.callers.reply(effect.session, effect.answer)


@perform.register
def _(effect: effects.KeepInSession, engine: Engine) -> None:
    engine.callers.keep(effect.session, effect.size)


@perform.register
def _(effect: effects.CloseCaller, engine: Engine) -> None:
    engine.callers.close(effect.session)


@perform.register
def _(effect: effects.OpenConnection, engine: Engine) -> None:
    engine.callers.make_room()
    engine.servers.connect(effect)


@perform.register
def _(effect: effects.SendCommands, engine: Engine) -> None:
    engine.servers.send(effect)


@perform.register
def _(effect: effects.CloseConnection, engine: Engine) -> None:
    engine.servers.close(effect.connection)


@perform.register
def _(effect: effects.CompareAndSwap, engine: Engine) -> None:
    engine.start_task(engine.compare_and_swap(effect))


@perform.register
def _(effect: effects.GrantLease, engine: Engine) -> None:
    engine.start_task(engine.grant_lease(effect))


@perform.register
def _(effect: effects.KeepLease, engine: Engine) -> None:
    engine.start_task(engine.keep_lease(effect))


@perform.register
def _(effect: effects.EndLease, engine: Engine) -> None:
    engine.start_task(engine.end_lease(effect))


@perform.register
def _(effect: effects.Promote, engine: Engine) -> None:
    engine.start_task(engine.promote(effect))


@perform.register
def _(effect: effects.ReportUsage, engine: Engine) -> None:
    engine.start_task(engine.report_usage(effect))


@perform.register
def _(effect: effects.ReadClock, engine: Engine) -> None:
    engine.handle_event(events.ClockRead(boot_clock(), time.time()))


@perform.register
def _(effect: effects.StartPeerLinks, engine: Engine) -> None:
    engine.start_task(engine.fleet.start(effect.secret))


@perform.register
def _(effect: effects.RereadStore, engine: Engine) -> None:
    engine.reread_store()


@perform.register
def _(effect: effects.RestartWatch, engine: Engine) -> None:
    engine.restart_watch()


@perform.register
def _(effect: effects.SendToPeer, engine: Engine) -> None:
    engine.fleet.send(effect.instance, effect.message)


@perform.register
def _(effect: effects.ExitProcess, engine: Engine) -> None:
    engine.ended.set()


@perform.register
def _(effect: effects.Note, engine: Engine) -> None:
    engine.journal.add(effect.part, effect.event, effect.fields)
    if engine.meters is not None:
        engine.meters.count_decision(effect.part, effect.event)


@perform.register
def _(effect: effects.Measure, engine: Engine) -> None:
    if engine.meters is not None:
        engine.meters.count_statement(
            effect.kind, effect.outcome, effect.seconds
        )
