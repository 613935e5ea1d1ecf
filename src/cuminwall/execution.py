"""Runs rounds on backend servers, on pooled or pinned connections.

The reducer decides on which server a round runs and whether its answer is
valid. The messages that complete an answer are withheld until it has decided.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from cuminwall import (
    backend,
    backend_errors,
    backend_settings,
    effects,
    outcomes,
    pool,
    requestids,
    wire,
    work,
)

PREFIX = "execution"

ACQUIRE_TIMEOUT_S = 5.0
SILENCE_TIMEOUT_S = 30.0
CANCEL_TIMEOUT_S = 2.0

IDLE = b"I"
INVALID_SETTING = "22023"
IN_TRANSACTION = b"T"


class PooledConnection(NamedTuple):
    """A connection and the pool that it belongs to."""

    connection: backend.BackendConnection
    pool: pool.Pool


class RunningRound:
    """A round that this instance runs on a backend server.

    Attributes:
      round_: The caller's messages.
      sink: Receives the answer.
      decision: Resolved with the home's answer once the reducer has decided.
      completion: The messages that complete the answer, withheld until then.
    """

    __slots__ = ("round_", "sink", "decision", "completion")

    def __init__(self, round_: work.Round, sink: work.Sink):
        self.round_ = round_
        self.sink = sink
        self.decision: asyncio.Future[work.HomeAnswer] | None = None
        self.completion = b""


ResultCallback = Callable[[work.RoundKey, work.ServerResult], None]
AnswerCallback = Callable[[work.RoundKey, work.HomeAnswer], None]


class Executor:
    """Runs rounds on the backend servers of this instance's groups.

    Attributes:
      on_result: Called with the result of a backend server.
      on_answered: Called once an answer has been passed on completely.
      pools: The connection pools, by service and server.
      running: The rounds that are not yet answered, by key.
      pins: The connections of open transactions, by session.
      active: The connections on which a round runs now, by session.
      tasks: The tasks that run rounds.
    """

    def __init__(self, on_result: ResultCallback, on_answered: AnswerCallback):
        self.on_result = on_result
        self.on_answered = on_answered
        self.pools: dict[tuple[str, str], pool.Pool] = {}
        self.running: dict[work.RoundKey, RunningRound] = {}
        self.pins: dict[tuple[str, int], PooledConnection] = {}
        self.active: dict[tuple[str, int], PooledConnection] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def add_round(
        self, key: work.RoundKey, round_: work.Round, sink: work.Sink
    ) -> None:
        """Registers a round before the reducer places it."""
        self.running[key] = RunningRound(round_, sink)

    def discard_round(self, key: work.RoundKey) -> None:
        """Forgets a round that is sent to another instance."""
        self.running.pop(key, None)

    def execute(self, effect: effects.Execute) -> None:
        """Starts a task that runs a round on the chosen backend server."""
        task = asyncio.get_running_loop().create_task(self.run(effect))
        self.tasks.add(task)
        task.add_done_callback(self._task_ended)

    def deliver_answer(
        self, key: work.RoundKey, answer: work.HomeAnswer
    ) -> bool:
        """Passes the home's answer to the task that runs the round.

        Returns:
          Whether there is such a task; it then reports the answer as given.
        """
        running = self.running.get(key)
        if running is None:
            return False
        if running.decision is None:
            del self.running[key]
            return False
        if not running.decision.done():
            running.decision.set_result(answer)
        return True

    def close_pinned(self, pin: tuple[str, int]) -> None:
        """Closes a session's pinned connection; the server rolls back."""
        pooled = self.pins.pop(pin, None)
        if pooled is not None:
            pooled.connection.abort()
            pooled.pool.release(pooled.connection)

    def abort(self, pin: tuple[str, int]) -> None:
        """Closes the connection on which a session's round runs."""
        pooled = self.active.get(pin)
        if pooled is not None:
            pooled.connection.abort()

    async def cancel(self, pin: tuple[str, int]) -> None:
        """Sends a cancel request for the round that a session runs."""
        pooled = self.active.get(pin)
        if pooled is None:
            return
        deadline = asyncio.get_running_loop().time() + CANCEL_TIMEOUT_S
        try:
            await pooled.connection.cancel(deadline)
        except backend_errors.ExchangeError as error:
            logger.info("{}: a cancel request failed: {}", PREFIX, error)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("{}: a task failed: {!r}", PREFIX, task.exception())

    async def run(self, effect: effects.Execute) -> None:
        """Runs a round and completes its answer once the reducer allows it."""
        running = self.running.get(effect.key)
        if running is None:
            self.on_result(effect.key, _lost(work.Loss.NOT_SENT, False))
            return
        running.decision = asyncio.get_running_loop().create_future()
        result = await self._run(effect, running)
        decision = running.decision
        if result.loss is not work.Loss.NONE:
            # The reducer may place the round again and decide on that run.
            running.decision = None
            self.on_result(effect.key, result)
            return
        self.on_result(effect.key, result)
        answer = await decision
        self.running.pop(effect.key, None)
        if answer.failure is None and running.completion:
            await running.sink(running.completion)
        self.on_answered(effect.key, answer)

    async def _run(
        self, effect: effects.Execute, running: RunningRound
    ) -> work.ServerResult:
        """Runs a round, then pins its connection or returns it to the pool."""
        pooled = await self._get_connection(effect)
        if pooled is None:
            return _lost(work.Loss.NOT_SENT, False)
        self.active[effect.pin] = pooled
        try:
            answer = await self._run_steps(effect, running, pooled.connection)
        except backend_errors.ExchangeError as error:
            logger.info(
                "{}: {} {}: the exchange failed: {}",
                PREFIX,
                effect.service,
                effect.server,
                error,
            )
            pooled.pool.release(pooled.connection)
            loss = work.Loss.SENT if error.sent else work.Loss.NOT_SENT
            return _lost(loss, error.delivered)
        except BaseException:
            pooled.connection.abort()
            pooled.pool.release(pooled.connection)
            raise
        finally:
            self.active.pop(effect.pin, None)
        if isinstance(answer, backend_settings.SettingRefused):
            pooled.pool.release(pooled.connection)
            return _refuse_setting(running, answer)
        running.completion = answer.completion
        status = answer.status if running.round_.synced else IN_TRANSACTION
        if status == IDLE:
            pooled.pool.release(pooled.connection)
        else:
            self.pins[effect.pin] = pooled
        position = answer.position
        return work.ServerResult(
            status,
            work.Loss.NONE,
            answer.delivered,
            answer.server_error is not None,
            position.in_recovery if position else False,
            position.lsn if position else 0,
        )

    async def _get_connection(
        self, effect: effects.Execute
    ) -> PooledConnection | None:
        """Returns the session's pinned connection, or one from the pool."""
        pooled = self.pins.pop(effect.pin, None)
        if pooled is not None:
            return pooled
        pool_ = self.pools.get((effect.service, effect.server))
        if pool_ is None:
            return None
        deadline = asyncio.get_running_loop().time() + ACQUIRE_TIMEOUT_S
        connection = await pool_.acquire(deadline)
        if isinstance(connection, outcomes.Failure):
            return None
        return PooledConnection(connection, pool_)

    async def _run_steps(
        self,
        effect: effects.Execute,
        running: RunningRound,
        connection: backend.BackendConnection,
    ) -> backend.RoundAnswer | backend_settings.SettingRefused:
        """Runs a round and reads the log position after it, if needed."""
        round_ = running.round_
        if round_.request_id:
            request = requestids.Request(
                round_, effect.workspace, effect.pinned, SILENCE_TIMEOUT_S
            )
            answer = await requestids.run(connection, request, running.sink)
        else:
            answer = await connection.run_steps(
                round_.steps,
                round_.prepared,
                round_.settings,
                running.sink,
                SILENCE_TIMEOUT_S,
                query_position=effect.pipelines_position,
            )
        if isinstance(answer, backend_settings.SettingRefused):
            return answer
        ended = round_.synced and answer.status == IDLE
        if not effect.wants_position or not ended or answer.position:
            return answer
        after = await connection.run_steps(
            (), (), round_.settings, running.sink, SILENCE_TIMEOUT_S, True
        )
        if isinstance(after, backend_settings.SettingRefused):
            return answer
        return answer._replace(position=after.position)


def _refuse_setting(
    running: RunningRound, refused: backend_settings.SettingRefused
) -> work.ServerResult:
    """Makes an error answer for a round whose settings the server refused."""
    names = ", ".join(refused.names)
    running.completion = wire.error_response(
        refused.fields.get("C", INVALID_SETTING),
        refused.fields.get("M", f"not run: cannot set {names}"),
    )
    return work.ServerResult(IDLE, work.Loss.NONE, False, True, False, 0)


def _lost(loss: work.Loss, delivered: bool) -> work.ServerResult:
    """Returns the result of a round whose answer is lost."""
    return work.ServerResult(IDLE, loss, delivered, False, False, 0)
