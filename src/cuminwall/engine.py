"""The engine: feeds events to the reducer and performs its effects.

Events go through one queue, so that an effect that causes an event never
re-enters the reducer. All decisions are the reducer's.
"""

import asyncio
import collections
import functools
import time
from typing import Any

from loguru import logger

from cuminwall import (
    decisionlog,
    effects,
    events,
    execution,
    forwarding,
    frames,
    links,
    messages,
    outcomes,
    peerconfig,
    peers,
    reducer,
    serving,
    sessions,
    state,
    storecalls,
    work,
)

PREFIX = "engine"


class CallerRound:
    """A caller's round that is not complete yet.

    Attributes:
      round_: The caller's messages.
      sink: Receives the answer.
      done: Resolved with how the round ended.
      is_arriving: Whether the reducer is still handling its arrival.
      execute: The effect to perform in the caller's own task, or None.
    """

    __slots__ = ("round_", "sink", "done", "is_arriving", "execute")

    def __init__(
        self,
        round_: work.Round,
        sink: work.Sink,
        done: asyncio.Future[work.RoundEnd],
    ):
        self.round_ = round_
        self.sink = sink
        self.done = done
        self.is_arriving = True
        self.execute: effects.Execute | None = None


class Engine:
    """Drives the reducer of one instance.

    Attributes:
      state: The reducer's state.
      queue: Events that are not reduced yet.
      is_reducing: Whether `feed` is working through the queue.
      rounds: The callers' rounds that are not complete, by number.
      executor: Runs rounds on backend servers.
      forwarder: Sends rounds to other instances.
      peers: The links to other instances.
      servers: Pools and probes of backend servers.
      store: Performs calls to the platform's store.
      admissions: The reducer's answers to logins, by session.
      close_caller: Called to end a caller's connection.
      fetch_config: Called to load a newer configuration.
      peer_config: Reads configurations from peers, and serves them.
      counters: Counts by metric name and label.
      tasks: The tasks started by `spawn`.
      decision_log: Writes a line for each decision.
    """

    def __init__(
        self,
        state_: state.State,
        store: storecalls.StoreCalls,
        servers: serving.Servers,
    ):
        self.state = state_
        self.queue: collections.deque[events.Event] = collections.deque()
        self.is_reducing = False
        self.rounds: dict[int, CallerRound] = {}
        self.executor = execution.Executor(
            self._on_result, self._on_answer_complete
        )
        self.forwarder = forwarding.Forwarder(
            self._on_home_answered, self._on_home_lost, self._on_round_arrived
        )
        self.peers: peers.Peers | None = None
        self.servers = servers
        self.executor.pools = servers.pools
        self.store = store
        self.admissions: dict[int, work.Admitted | outcomes.Failure] = {}
        self.close_caller = _ignore_close
        self.fetch_config = _ignore_fetch
        self.peer_config: peerconfig.PeerConfig | None = None
        self.counters: collections.Counter[tuple[str, str]]
        self.counters = collections.Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        self.decision_log = decisionlog.DecisionLog()

    def attach_peers(self, peers_: peers.Peers) -> None:
        """Sets the links to other instances."""
        self.peers = peers_
        self.forwarder.peers = peers_

    def feed(self, event: events.Event) -> None:
        """Reduces an event and those that its effects cause."""
        self.queue.append(event)
        if self.is_reducing:
            return
        self.is_reducing = True
        try:
            while self.queue:
                for effect in reducer.reduce(self.state, self.queue.popleft()):
                    perform(effect, self)
        finally:
            self.is_reducing = False

    def perform_all(self, out: list[effects.Effect]) -> None:
        """Performs effects that no event caused."""
        for effect in out:
            perform(effect, self)

    def spawn(self, coroutine: Any) -> None:
        """Runs a coroutine as a task of its own."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._task_ended)

    def control_handler(self) -> links.LinkHandler:
        """Returns the callbacks for control links."""
        return links.LinkHandler(self._on_control_data, _ignore_end)

    def data_handler(self) -> links.LinkHandler:
        """Returns the callbacks for data links."""
        return links.LinkHandler(self._on_data_frame, self._on_data_link_ended)

    # The methods of `work.ServicePort`.

    def find_key(self, key_id: str) -> work.KeyEntry | outcomes.Failure:
        """Returns the key in force, or why there is none."""
        if not self.state.config.version:
            return outcomes.CONFIG_MISSING
        key = self.state.config.keys.get(key_id)
        return key if key is not None else outcomes.KEY_REFUSED

    def is_open(self, service: str) -> bool:
        """Returns whether `service` may be read without a key."""
        return self.state.config.has_open_route(service)

    def open_session(
        self, login: work.Login
    ) -> work.Admitted | outcomes.Failure:
        """Admits a caller."""
        session = self.state.next_number()
        self.feed(events.SessionOpened(time.monotonic(), session, login))
        return self.admissions.pop(session)

    def add_token(self, session: int, token: str) -> outcomes.Failure | None:
        """Raises a session's floor to that of a token."""
        return sessions.add_token(self.state, session, token)

    async def run(
        self, session: int, round_: work.Round, sink: work.Sink
    ) -> work.RoundEnd:
        """Runs a caller's round."""
        number = self.state.next_number()
        done = asyncio.get_running_loop().create_future()
        entry = self.rounds[number] = CallerRound(round_, sink, done)
        self.feed(
            events.RoundArrived(
                time.monotonic(),
                session,
                number,
                round_.access,
                round_.begins_transaction,
                round_.ends_transaction,
                round_.max_age_s,
                round_.tables,
            )
        )
        entry.is_arriving = False
        try:
            if entry.execute is not None:
                # Runs in the caller's task; another task would add latency.
                await self.executor.run(entry.execute)
            return await done
        finally:
            self.rounds.pop(number, None)

    async def cancel(self, session: int) -> None:
        """Cancels the session's round at its home."""
        caller = self.state.sessions.get(session)
        if caller is None:
            return
        pending = self.state.pending_rounds.get(caller.running_round)
        home = pending.home if pending else caller.transaction_home
        if home == self.state.instance:
            await self.cancel_at_home((home, session))
        elif home:
            await self.forwarder.send_notice(home, frames.Cancel(session))

    async def cancel_at_home(self, pin: tuple[str, int]) -> None:
        """Cancels the round that runs or waits at this home for a session."""
        self.feed(events.CancelRequested(time.monotonic(), pin))
        await self.executor.cancel(pin)

    async def close_session(self, session: int) -> None:
        """Ends a session and rolls back its open transaction."""
        self.feed(events.SessionClosed(time.monotonic(), session))

    # Callbacks of the executor, the forwarder and the links.

    def _on_result(self, key: work.RoundKey, result: work.ServerResult) -> None:
        self.feed(events.RoundExecuted(time.monotonic(), key, result))

    def _on_answer_complete(
        self, key: work.RoundKey, answer: work.HomeAnswer
    ) -> None:
        """Reports to the entry instance that an answer is complete."""
        if key.origin != self.state.instance:
            self.forwarder.send_end(key, answer)
            return
        self._on_home_answered(key.number, answer)

    def _on_home_answered(self, number: int, answer: work.HomeAnswer) -> None:
        self.feed(events.HomeAnswered(time.monotonic(), number, answer))

    def _on_home_lost(self, number: int, sent: bool, delivered: bool) -> None:
        self.feed(events.HomeLost(time.monotonic(), number, sent, delivered))

    def _on_round_arrived(
        self, key: work.RoundKey, run: frames.Run, sink: work.Sink
    ) -> None:
        self.executor.add_round(key, run.round_, sink)
        self.feed(events.HomeRoundArrived(time.monotonic(), key, run.request))

    def _on_control_data(self, link: links.Link, data: bytes) -> None:
        message = messages.decode(data)
        sender = link.peer.instance
        self.feed(events.PeerMessageReceived(time.monotonic(), sender, message))

    def _on_data_frame(self, link: links.Link, data: bytes) -> None:
        handle_frame(forwarding.decode(data), self, link)

    def _on_data_link_ended(self, link: links.Link) -> None:
        self.forwarder.link_ended(link)
        origin = link.peer.instance
        self.feed(events.OriginLost(time.monotonic(), origin))

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("{}: a task failed: {!r}", PREFIX, task.exception())


def _ignore_close(session: int, failure: outcomes.Failure) -> None:
    """Does nothing; the front end replaces it."""


def _ignore_fetch(version: int) -> None:
    """Does nothing; the upkeep loops replace it."""


def _ignore_end(link: links.Link) -> None:
    """Does nothing: control messages are repeated over the next link."""


@functools.singledispatch
def handle_frame(frame: Any, engine: Engine, link: links.Link) -> None:
    """Handles a frame from a data link; one function for each type."""
    raise TypeError(type(frame))


@handle_frame.register
def _(frame: frames.Run, engine: Engine, link: links.Link) -> None:
    engine.forwarder.accept_round(link, frame)


@handle_frame.register(frames.Chunk)
@handle_frame.register(frames.End)
def _(
    frame: frames.Chunk | frames.End, engine: Engine, link: links.Link
) -> None:
    engine.forwarder.handle_answer_frame(frame)


@handle_frame.register
def _(frame: frames.Acknowledged, engine: Engine, link: links.Link) -> None:
    engine.forwarder.handle_acknowledgement(link, frame)


@handle_frame.register
def _(frame: frames.SessionGone, engine: Engine, link: links.Link) -> None:
    pin = (link.peer.instance, frame.session)
    engine.feed(events.EntrySessionClosed(time.monotonic(), pin))


@handle_frame.register
def _(frame: frames.Cancel, engine: Engine, link: links.Link) -> None:
    pin = (link.peer.instance, frame.session)
    engine.spawn(engine.cancel_at_home(pin))


@handle_frame.register
def _(frame: frames.ValueRequest, engine: Engine, link: links.Link) -> None:
    if engine.peer_config is not None:
        engine.peer_config.handle_request(link, frame)


@handle_frame.register
def _(frame: frames.ValueReply, engine: Engine, link: links.Link) -> None:
    if engine.peer_config is not None:
        engine.peer_config.handle_reply(frame)


@functools.singledispatch
def perform(effect: Any, engine: Engine) -> None:
    """Performs an effect; one function for each type."""
    raise TypeError(type(effect))


@perform.register
def _(effect: effects.Admit, engine: Engine) -> None:
    engine.admissions[effect.session] = work.Admitted(effect.session)


@perform.register
def _(effect: effects.Reject, engine: Engine) -> None:
    engine.admissions[effect.session] = effect.failure


@perform.register
def _(effect: effects.CloseSession, engine: Engine) -> None:
    engine.close_caller(effect.session, effect.failure)


@perform.register
def _(effect: effects.Dispatch, engine: Engine) -> None:
    pending = engine.rounds.get(effect.number)
    if pending is None:
        return
    key = work.RoundKey(engine.state.instance, effect.number)
    engine.executor.discard_round(key)
    engine.forwarder.dispatch(
        effect.number, effect.home, effect.request, pending.round_, pending.sink
    )


@perform.register
def _(effect: effects.Execute, engine: Engine) -> None:
    key = effect.key
    pending = None
    if key.origin == engine.state.instance:
        pending = engine.rounds.get(key.number)
    if pending is not None and key not in engine.executor.running:
        engine.executor.add_round(key, pending.round_, pending.sink)
    if pending is not None and pending.is_arriving:
        pending.execute = effect
        return
    engine.executor.execute(effect)


@perform.register
def _(effect: effects.Answer, engine: Engine) -> None:
    if engine.executor.deliver_answer(effect.key, effect.answer):
        return
    engine._on_answer_complete(effect.key, effect.answer)


@perform.register
def _(effect: effects.Complete, engine: Engine) -> None:
    pending = engine.rounds.get(effect.number)
    if pending is not None and not pending.done.done():
        pending.done.set_result(effect.end)


@perform.register
def _(effect: effects.Unpin, engine: Engine) -> None:
    engine.executor.close_pinned(effect.pin)


@perform.register
def _(effect: effects.AbortRound, engine: Engine) -> None:
    engine.executor.abort(effect.pin)


@perform.register
def _(effect: effects.ReleasePin, engine: Engine) -> None:
    gone = frames.SessionGone(effect.session)
    engine.spawn(engine.forwarder.send_notice(effect.home, gone))


@perform.register
def _(effect: effects.CancelRound, engine: Engine) -> None:
    engine.spawn(engine.cancel(effect.session))


@perform.register
def _(effect: effects.Probe, engine: Engine) -> None:
    engine.servers.probe_now(effect.service, effect.server)


@perform.register
def _(effect: effects.WatchServers, engine: Engine) -> None:
    engine.servers.watch(engine.state.config, effect.servers)


@perform.register
def _(effect: effects.SetPermits, engine: Engine) -> None:
    engine.servers.set_permits(effect.service, effect.server, effect.permits)


@perform.register
def _(effect: effects.SendToPeer, engine: Engine) -> None:
    if effect.instance == engine.state.instance:
        now = time.monotonic()
        engine.feed(
            events.PeerMessageReceived(now, effect.instance, effect.message)
        )
        return
    if engine.peers is not None:
        engine.peers.send(effect.instance, messages.encode(effect.message))


@perform.register(effects.SwapValue)
@perform.register(effects.GrantStoreLease)
@perform.register(effects.RenewStoreLease)
@perform.register(effects.RevokeStoreLease)
@perform.register(effects.ReadValue)
@perform.register(effects.ReadPrefix)
def _(effect: storecalls.StoreEffect, engine: Engine) -> None:
    engine.spawn(engine.store.perform(effect, engine.feed))


@perform.register
def _(effect: effects.Promote, engine: Engine) -> None:
    engine.spawn(engine.servers.promote(effect, engine.feed))


@perform.register
def _(effect: effects.FetchConfig, engine: Engine) -> None:
    engine.fetch_config(effect.version)


@perform.register
def _(effect: effects.Log, engine: Engine) -> None:
    engine.decision_log.add(effect.part, effect.text)


@perform.register
def _(effect: effects.Count, engine: Engine) -> None:
    engine.counters[(effect.name, effect.label)] += 1
