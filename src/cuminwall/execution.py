"""Rounds on backend servers: connections, pins and withheld completions.

The reducer decides where a round runs and whether its answer may be given;
this module runs it. The completion of an answer is kept back until then.
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


class Held(NamedTuple):
    """A connection and the pool that it belongs to."""

    connection: backend.BackendConnection
    pool: pool.Pool


class Running:
    """A round that this instance runs on a backend server.

    Attributes:
      round_: The caller's messages.
      sink: Takes the answer.
      verdict: Set to the home's answer once it is decided.
      tail: The withheld end of the answer.
    """

    __slots__ = ("round_", "sink", "verdict", "tail")

    def __init__(self, round_: work.Round, sink: work.Sink):
        self.round_ = round_
        self.sink = sink
        self.verdict: asyncio.Future[work.HomeAnswer] | None = None
        self.tail = b""


Ran = Callable[[work.RoundKey, work.ServerResult], None]
Answered = Callable[[work.RoundKey, work.HomeAnswer], None]


class Executor:
    """Runs rounds on the backend servers of this instance's groups.

    Attributes:
      ran: Told what a backend server answered.
      answered: Told once an answer is given whole.
      pools: By service and server.
      running: The rounds in hand, by work.
      pins: The connections of open transactions, by session.
    """

    def __init__(self, ran: Ran, answered: Answered):
        self.ran = ran
        self.answered = answered
        self.pools: dict[tuple[str, str], pool.Pool] = {}
        self.running: dict[work.RoundKey, Running] = {}
        self.pins: dict[tuple[str, int], Held] = {}
        self.active: dict[tuple[str, int], Held] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def add_round(
        self, key: work.RoundKey, round_: work.Round, sink: work.Sink
    ) -> None:
        """Takes in a round before the reducer places it."""
        self.running[key] = Running(round_, sink)

    def discard_round(self, key: work.RoundKey) -> None:
        """Forgets a round that went elsewhere."""
        self.running.pop(key, None)

    def execute(self, effect: effects.Execute) -> None:
        """Starts a round on the backend server that was chosen."""
        task = asyncio.get_running_loop().create_task(self.run(effect))
        self.tasks.add(task)
        task.add_done_callback(self._task_ended)

    def deliver_answer(
        self, key: work.RoundKey, answer: work.HomeAnswer
    ) -> bool:
        """Decides on a round; returns whether a task gives the answer."""
        running = self.running.get(key)
        if running is None:
            return False
        if running.verdict is None:
            del self.running[key]
            return False
        if not running.verdict.done():
            running.verdict.set_result(answer)
        return True

    def close_pinned(self, pin: tuple[str, int]) -> None:
        """Closes a session's connection; the server rolls back."""
        held = self.pins.pop(pin, None)
        if held is not None:
            held.connection.abort()
            held.pool.release(held.connection)

    def abort(self, pin: tuple[str, int]) -> None:
        """Cuts the connection on which a session's round runs."""
        held = self.active.get(pin)
        if held is not None:
            held.connection.abort()

    async def cancel(self, pin: tuple[str, int]) -> None:
        """Asks the backend server to cancel what a session runs."""
        held = self.active.get(pin)
        if held is None:
            return
        deadline = asyncio.get_running_loop().time() + CANCEL_TIMEOUT_S
        try:
            await held.connection.cancel(deadline)
        except backend_errors.ExchangeError as error:
            logger.info("{}: a cancel request failed: {}", PREFIX, error)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("{}: a task failed: {!r}", PREFIX, task.exception())

    async def run(self, effect: effects.Execute) -> None:
        """Runs a round and gives its answer once that is decided."""
        running = self.running.get(effect.key)
        if running is None:
            self.ran(effect.key, _lost(work.Loss.NOT_SENT, False))
            return
        running.verdict = asyncio.get_running_loop().create_future()
        result = await self._run(effect, running)
        verdict = running.verdict
        if result.loss is not work.Loss.NONE:
            # The reducer may place it anew, with another verdict to come.
            running.verdict = None
            self.ran(effect.key, result)
            return
        self.ran(effect.key, result)
        answer = await verdict
        self.running.pop(effect.key, None)
        if answer.failure is None and running.tail:
            await running.sink(running.tail)
        self.answered(effect.key, answer)

    async def _run(
        self, effect: effects.Execute, running: Running
    ) -> work.ServerResult:
        """Runs a round on a connection and files that connection."""
        held = await self._get_connection(effect)
        if held is None:
            return _lost(work.Loss.NOT_SENT, False)
        self.active[effect.pin] = held
        try:
            answer = await self._run_steps(effect, running, held.connection)
        except backend_errors.ExchangeError as error:
            logger.info(
                "{}: {} {} broke off: {}",
                PREFIX,
                effect.service,
                effect.server,
                error,
            )
            held.pool.release(held.connection)
            loss = work.Loss.SENT if error.sent else work.Loss.NOT_SENT
            return _lost(loss, error.delivered)
        except BaseException:
            held.connection.abort()
            held.pool.release(held.connection)
            raise
        finally:
            self.active.pop(effect.pin, None)
        if isinstance(answer, backend_settings.SettingRefused):
            held.pool.release(held.connection)
            return _refuse_setting(running, answer)
        running.tail = answer.tail
        status = answer.status if running.round_.synced else IN_TRANSACTION
        if status == IDLE:
            held.pool.release(held.connection)
        else:
            self.pins[effect.pin] = held
        position = answer.position
        return work.ServerResult(
            status,
            work.Loss.NONE,
            answer.delivered,
            answer.server_error is not None,
            position.in_recovery if position else False,
            position.lsn if position else 0,
        )

    async def _get_connection(self, effect: effects.Execute) -> Held | None:
        """Returns the session's own connection, or one of the pool."""
        held = self.pins.pop(effect.pin, None)
        if held is not None:
            return held
        found = self.pools.get((effect.service, effect.server))
        if found is None:
            return None
        deadline = asyncio.get_running_loop().time() + ACQUIRE_TIMEOUT_S
        connection = await found.acquire(deadline)
        if isinstance(connection, outcomes.Failure):
            return None
        return Held(connection, found)

    async def _run_steps(
        self,
        effect: effects.Execute,
        running: Running,
        connection: backend.BackendConnection,
    ) -> backend.RoundAnswer | backend_settings.SettingRefused:
        """Runs a round and learns the position behind it."""
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
                position=effect.pipelines_position,
            )
        if isinstance(answer, backend_settings.SettingRefused):
            return answer
        ended = round_.synced and answer.status == IDLE
        if not effect.wants_position or not ended or answer.position:
            return answer
        behind = await connection.run_steps(
            (), (), round_.settings, running.sink, SILENCE_TIMEOUT_S, True
        )
        if isinstance(behind, backend_settings.SettingRefused):
            return answer
        return answer._replace(position=behind.position)


def _refuse_setting(
    running: Running, refused: backend_settings.SettingRefused
) -> work.ServerResult:
    """Answers a round whose session settings the server refuses."""
    names = ", ".join(refused.names)
    running.tail = wire.error_response(
        refused.fields.get("C", INVALID_SETTING),
        refused.fields.get("M", f"not run: cannot set {names}"),
    )
    return work.ServerResult(IDLE, work.Loss.NONE, False, True, False, 0)


def _lost(loss: work.Loss, delivered: bool) -> work.ServerResult:
    """Returns the result of a round whose answer is not there."""
    return work.ServerResult(IDLE, loss, delivered, False, False, 0)
