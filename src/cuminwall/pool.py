"""The connections of this instance to one backend server.

An instance has a share of each server's connections: its permits. Sockets
that open, serve, idle or close all count against them, so that the instances
together never exceed what the server takes.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

from cuminwall import backend, backend_errors, outcomes
from cuminwall.pool_status import Limits, PoolStatus

FIRST_RETRY_S = 0.05
MAX_RETRY_S = 2.0

OnClosed = Callable[[backend.BackendConnection], None]
Connect = Callable[
    [backend.Target, float, OnClosed], Awaitable[backend.BackendConnection]
]


Waiter = asyncio.Future[backend.BackendConnection | outcomes.Failure]


class Pool:
    """The connections to one backend server.

    Attributes:
      target: The server.
      permits: The share in force; see `set_permits`.
      idle: Ready connections, the last used at the end.
      busy: Connections given out or being tried.
      closing: Connections whose sockets are not closed yet.
      opening: How many connections are being opened.
      waiters: Requests that wait, the oldest first.
    """

    def __init__(
        self,
        target: backend.Target,
        permits: int,
        limits: Limits = Limits(),  # noqa: B008
        connect: Connect = backend.connect,
    ):
        self.target = target
        self.permits = permits
        self.limits = limits
        self.connect = connect
        self.loop = asyncio.get_running_loop()
        self.idle: list[backend.BackendConnection] = []
        self.busy: set[backend.BackendConnection] = set()
        self.closing: set[backend.BackendConnection] = set()
        self.opening = 0
        self.waiters: deque[Waiter] = deque()
        self.failures = 0
        self.last_failure: backend_errors.ExchangeError | None = None
        self.silent = 0
        self.started = False
        self.shutting_down = False
        self.shutdown_event = asyncio.Event()
        self.all_closed = asyncio.Event()
        self.retry: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def total(self) -> int:
        """The sockets that count against the permits."""
        counted = len(self.idle) + len(self.busy) + len(self.closing)
        return counted + self.opening

    def status(self) -> PoolStatus:
        """Returns what the decisions may know."""
        return PoolStatus(
            self.permits,
            len(self.idle),
            len(self.busy),
            self.opening,
            len(self.closing),
            len(self.waiters),
            self.failures,
            self.last_failure,
            self.silent,
        )

    def start(self) -> None:
        """Opens the spare connections, and tries idle ones from time to time.

        Without it a pool opens connections on request only.
        """
        self.started = True
        self.start_task(self.check_idle_connections())
        self.balance()

    def set_permits(self, permits: int) -> None:
        """Changes the share; a busy connection is never cut for it."""
        self.permits = permits
        self.balance()

    async def acquire(
        self, deadline: float
    ) -> backend.BackendConnection | outcomes.Failure:
        """Returns a connection, or why there is none.

        Nothing was sent for the request when it is refused.

        Args:
          deadline: Until when to wait, on the event loop's clock in seconds.
        """
        while self.idle and not self.shutting_down:
            connection = self.idle.pop()
            self.busy.add(connection)
            if not self.is_long_idle(connection):
                self.balance()
                return connection
            if await self.check_connection(connection):
                self.balance()
                return connection
            # What silenced one may have silenced all that were idle as long,
            # and the request has no time to find out one by one.
            self.check_long_idle()
        return await self.wait_for_connection(deadline)

    def release(self, connection: backend.BackendConnection) -> None:
        """Takes a connection back; one in a transaction is closed."""
        self.busy.discard(connection)
        if connection.channel.closed.is_set():
            self.balance()
            return
        if connection.reusable and not self.shutting_down:
            self.idle.append(connection)
        else:
            self.start_closing(connection)
        self.balance()

    async def close(self, deadline: float) -> None:
        """Closes every connection; a busy one is cut at `deadline` only."""
        self.shutting_down = True
        self.shutdown_event.set()
        if self.retry is not None:
            self.retry.cancel()
        for connection in self.idle:
            self.start_closing(connection)
        self.idle.clear()
        for waiter in self.waiters:
            _settle(waiter, outcomes.SHUTTING_DOWN)
        self.waiters.clear()
        try:
            async with asyncio.timeout_at(deadline):
                await self.wait_until_empty()
        except TimeoutError:
            for connection in list(self.busy):
                connection.abort()
            await self.wait_until_empty()

    async def wait_until_empty(self) -> None:
        """Waits until no socket is left."""
        while self.total:
            self.all_closed.clear()
            await self.all_closed.wait()

    def is_long_idle(self, connection: backend.BackendConnection) -> bool:
        """Returns whether a connection is to be tried before use."""
        idle_s = self.loop.time() - connection.channel.idle_since
        return idle_s > self.limits.ping_after_s

    async def check_connection(
        self, connection: backend.BackendConnection
    ) -> bool:
        """Returns whether a busy connection answers; if not, it is closed."""
        try:
            await connection.ping(self.limits.ping_timeout_s)
        except backend_errors.ExchangeError as error:
            self.silent += 1
            logger.info(
                "backend: idle connection to {} replaced: {}",
                self.target.name,
                error,
            )
            self.discard(connection)
            return False
        except BaseException:
            self.discard(connection)
            raise
        return True

    def check_long_idle(self) -> None:
        """Tries every connection that was idle for long."""
        suspects = []
        for connection in self.idle:
            if self.is_long_idle(connection):
                suspects.append(connection)
        for connection in suspects:
            self.idle.remove(connection)
            self.busy.add(connection)
            self.start_task(self.check_and_release(connection))

    async def check_and_release(
        self, connection: backend.BackendConnection
    ) -> None:
        """Tries one connection and takes it back if it answers."""
        if await self.check_connection(connection):
            self.release(connection)

    async def check_idle_connections(self) -> None:
        """Tries idle connections, so that a request seldom has to.

        One at a time, since a connection is not at hand while it is tried.
        """
        period_s = self.limits.ping_after_s / 2
        while not self.shutting_down:
            for connection in list(self.idle):
                idle_s = self.loop.time() - connection.channel.idle_since
                if idle_s < period_s or connection not in self.idle:
                    continue
                self.idle.remove(connection)
                self.busy.add(connection)
                await self.check_and_release(connection)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period_s):
                    await self.shutdown_event.wait()

    async def wait_for_connection(
        self, deadline: float
    ) -> backend.BackendConnection | outcomes.Failure:
        """Waits for a connection that opens or is released."""
        if self.shutting_down:
            return outcomes.SHUTTING_DOWN
        if len(self.waiters) >= self.limits.max_waiters:
            return outcomes.QUEUE_FULL
        waiter: Waiter = self.loop.create_future()
        self.waiters.append(waiter)
        self.balance()
        try:
            async with asyncio.timeout_at(deadline):
                return await waiter
        except TimeoutError:
            self.cancel_wait(waiter)
            return outcomes.QUEUE_TIMEOUT
        except BaseException:
            self.cancel_wait(waiter)
            raise

    def cancel_wait(self, waiter: Waiter) -> None:
        """Undoes a wait that ended; its connection may have just come."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        if not waiter.done() or waiter.cancelled():
            return
        result = waiter.result()
        if isinstance(result, backend.BackendConnection):
            self.release(result)

    def balance(self) -> None:
        """Closes what is too many, serves those who wait, opens ahead."""
        self.close_surplus()
        self.serve_waiters()
        self.open_connections()
        if not self.total:
            self.all_closed.set()

    def serve_waiters(self) -> None:
        """Gives idle connections to those who wait."""
        while self.waiters and self.idle:
            waiter = self.waiters.popleft()
            if waiter.done():
                continue
            connection = self.idle.pop()
            self.busy.add(connection)
            waiter.set_result(connection)

    def close_surplus(self) -> None:
        """Closes idle connections over the permits, the longest idle first."""
        while self.idle and self.total - len(self.closing) > self.permits:
            self.start_closing(self.idle.pop(0))

    def open_connections(self) -> None:
        """Opens connections for those who wait, and the spare ones."""
        if self.shutting_down:
            return
        wanted = len(self.waiters)
        if self.started and self.retry is None:
            wanted += self.limits.spare - len(self.idle)
        while self.opening < wanted and self.total < self.permits:
            self.opening += 1
            self.start_task(self.open_connection())

    async def open_connection(self) -> None:
        """Opens one connection and hands it on."""
        deadline = self.loop.time() + self.limits.open_timeout_s
        connection = None
        try:
            connection = await self.connect(
                self.target, deadline, self.handle_closed
            )
        except backend_errors.ExchangeError as error:
            self.handle_open_failure(error)
        finally:
            self.opening -= 1
            if connection is None:
                self.balance()
        if connection is None:
            return
        self.failures = 0
        self.last_failure = None
        self.busy.add(connection)
        self.release(connection)

    def handle_open_failure(self, error: backend_errors.ExchangeError) -> None:
        """Counts a fresh connection that failed; one who waits is told."""
        self.failures += 1
        self.last_failure = error
        logger.info(
            "backend: no fresh connection to {} ({} in a row): {}",
            self.target.name,
            self.failures,
            error,
        )
        while self.waiters:
            waiter = self.waiters.popleft()
            if _settle(waiter, outcomes.NO_SERVER):
                break
        if self.retry is None and not self.shutting_down:
            doubled_s = FIRST_RETRY_S * 2 ** min(self.failures, 16)
            self.retry = self.loop.call_later(
                min(doubled_s, MAX_RETRY_S), self.end_retry_wait
            )

    def end_retry_wait(self) -> None:
        """Lets spare connections be opened again."""
        self.retry = None
        self.balance()

    def start_closing(self, connection: backend.BackendConnection) -> None:
        """Closes a connection that is neither idle nor busy any more."""
        self.closing.add(connection)
        self.start_task(connection.close())

    def discard(self, connection: backend.BackendConnection) -> None:
        """Closes a busy connection at once."""
        self.busy.discard(connection)
        if not connection.channel.closed.is_set():
            self.closing.add(connection)
            connection.abort()
        self.balance()

    def handle_closed(self, connection: backend.BackendConnection) -> None:
        """Stops counting a connection whose socket is closed."""
        self.closing.discard(connection)
        self.busy.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.balance()

    def start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs `coroutine` beside, and keeps it from being collected."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _settle(waiter: Waiter, failure: outcomes.Failure) -> bool:
    if waiter.done():
        return False
    waiter.set_result(failure)
    return True
