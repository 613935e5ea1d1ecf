"""The socket to a backend server: framing, login, one exchange at a time.

A message that does not belong to the running exchange closes the connection,
since later answers could be matched to the wrong request.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple, cast

from loguru import logger

from cuminwall import (
    backend_answers,
    backend_errors,
    backend_login,
    exceptions,
    wire,
    work,
)

# Reading pauses while more than this many bytes wait for the sink.
HIGH_WATER_BYTES = 256 * 1024
CLOSE_TIMEOUT_S = 1.0
# After a timeout, what has arrived is still read: a process that was held up
# has its timers due before it has read anything.
LOOK_S = 0.005
QUIET_LOOKS = 3  # Looks without data after which the server counts as silent.


class CloseReason(NamedTuple):
    """Why a connection was closed."""

    error_type: type[backend_errors.ExchangeError]
    message: str
    fields: Mapping[str, str]


_CLOSED_BY_DAEMON = CloseReason(
    backend_errors.BackendLostError, "closed by the daemon", {}
)


class Channel(asyncio.Protocol):
    """The socket of one backend connection.

    Attributes:
      host: The server's IP address.
      port: The server's port.
      close_reason: Why it was closed, or None while it is usable.
      closed: Set once the socket is closed.
      idle_since: When its last exchange ended, on the event loop's clock.
    """

    def __init__(
        self,
        host: str,
        port: int,
        login: backend_login.Login,
        on_closed: Callable[[], None],
    ):
        self.host = host
        self.port = port
        self.login = login
        self.on_closed = on_closed
        self.loop = asyncio.get_running_loop()
        self.framer = wire.Framer()
        self.transport: asyncio.Transport | None = None
        self.closed = asyncio.Event()
        self.close_reason: CloseReason | None = None
        self.login_error: backend_errors.ExchangeError | None = None
        self.answers: backend_answers.AnswerCollector | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.reading_paused = False
        self.last_active_at = self.loop.time()
        self.idle_since = self.last_active_at
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the StartupMessage."""
        self.transport = cast(asyncio.Transport, transport)
        if self.close_reason is not None:
            self.transport.abort()
            return
        self.transport.write(self.login.startup_message())

    def data_received(self, data: bytes) -> None:
        """Handles bytes from the server."""
        if self.close_reason is not None:
            return
        self.last_active_at = self.loop.time()
        try:
            for message in self.framer.feed(data):
                self.handle_message(message)
        except exceptions.ProtocolError as error:
            self.fail(backend_errors.BackendProtocolError, str(error))
            return
        except exceptions.ConnectionLostError as error:
            fields = self.answers.fatal_error if self.answers else None
            self.fail(backend_errors.BackendLostError, str(error), fields)
            return
        except backend_errors.ExchangeError as error:
            self.login_error = error
            self.fail(type(error), str(error), error.fields)
            return
        self.wake_if_ready()

    def handle_message(self, message: wire.Message) -> None:
        """Handles a message from the server."""
        if self.answers is not None:
            self.answers.handle_message(message)
            return
        if not self.login.done:
            reply = self.login.handle_message(message)
            if reply and self.transport is not None:
                self.transport.write(reply)
            if self.login.done:
                self.wake()
            return
        # Only these may be sent between rounds: ParameterStatus and notices.
        if message.tag in (b"S", b"N"):
            return
        if message.tag == b"E":
            fields = wire.read_error_fields(message.payload)
            raise exceptions.ConnectionLostError(
                f"the server closed the connection: {fields.get('M', '')}"
            )
        raise exceptions.ProtocolError(
            f"unexpected message {message.tag!r} between rounds"
        )

    def wake_if_ready(self) -> None:
        """Wakes the running exchange if it can deliver or has finished."""
        answers = self.answers
        if answers is None:
            return
        if answers.done or (answers.streaming and answers.ready):
            self.wake()
        if answers.ready_bytes > HIGH_WATER_BYTES and not self.reading_paused:
            self.reading_paused = True
            cast(asyncio.Transport, self.transport).pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Records that the socket is closed and wakes the waiting task."""
        if self.closed.is_set():
            return
        if self.close_reason is None:
            reason = str(exc) if exc else "the server closed the connection"
            self.fail(backend_errors.BackendLostError, reason)
        self.closed.set()
        self.wake()
        self.on_closed()

    def fail(
        self,
        error_type: type[backend_errors.ExchangeError],
        message: str,
        fields: Mapping[str, str] | None = None,
    ) -> None:
        """Closes the connection because of a fault."""
        if self.close_reason is not None:
            return
        self.close_reason = CloseReason(error_type, message, fields or {})
        logger.info(
            "backend: connection to {}:{} closed: {}",
            self.host,
            self.port,
            message,
        )
        if self.transport is not None:
            self.transport.abort()
        self.wake()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.close_reason is None:
            self.close_reason = _CLOSED_BY_DAEMON
        if self.transport is not None:
            self.transport.abort()
        self.wake()

    async def close(self) -> None:
        """Sends Terminate and waits until the server closes the socket.

        Until then the connection counts against the server's limit.
        """
        if self.transport is not None and self.close_reason is None:
            self.close_reason = _CLOSED_BY_DAEMON
            self.transport.write(wire.terminate())
            self.wake()
            try:
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self.closed.wait()
            except TimeoutError:
                logger.info(
                    "backend: {}:{} did not close the connection in time",
                    self.host,
                    self.port,
                )
        await self.abort_and_wait()

    async def abort_and_wait(self) -> None:
        """Closes the connection at once and waits for the socket to close."""
        self.abort()
        if self.transport is not None:
            await self.closed.wait()

    async def finish_login(self) -> None:
        """Waits until the server is ready for queries."""
        while not self.login.done and self.close_reason is None:
            await self.wait()
        if self.login_error is not None:
            raise self.login_error
        if self.close_reason is not None:
            raise self.make_error(
                self.close_reason, sent=False, delivered=False
            )

    async def exchange(
        self,
        request: bytes,
        answers: backend_answers.AnswerCollector,
        sink: work.Sink,
        timeout_s: float,
    ) -> bool:
        """Sends `request` and collects its answers.

        Returns:
          Whether any bytes were passed to the sink.
        """
        if self.close_reason is not None:
            raise self.make_error(
                self.close_reason, sent=False, delivered=False
            )
        if self.answers is not None:
            raise backend_errors.BackendProtocolError(
                "an exchange is already running"
            )
        delivered = False
        self.answers = answers
        self.last_active_at = self.loop.time()
        self.timer = self.loop.call_later(
            timeout_s, self.check_timeout, timeout_s
        )
        try:
            if request:
                cast(asyncio.Transport, self.transport).write(request)
            while True:
                if self.close_reason is not None:
                    raise self.make_error(self.close_reason, True, delivered)
                if answers.streaming and answers.ready:
                    delivered = True
                    await self.deliver(answers, sink)
                    continue
                if answers.done:
                    return delivered
                await self.wait()
        except BaseException:
            self.abort()
            raise
        finally:
            self.timer.cancel()
            self.answers = None
            self.idle_since = self.loop.time()

    async def deliver(
        self, answers: backend_answers.AnswerCollector, sink: work.Sink
    ) -> None:
        """Passes ready bytes to the sink; resumes reading if it was paused."""
        await sink(answers.take_ready())
        self.last_active_at = self.loop.time()
        if self.reading_paused and self.close_reason is None:
            self.reading_paused = False
            cast(asyncio.Transport, self.transport).resume_reading()

    def check_timeout(self, timeout_s: float, looks: int = 0) -> None:
        """Closes the connection if the server was silent for `timeout_s`.

        Args:
          timeout_s: The timeout, in seconds.
          looks: How often it has looked for data after the timeout.
        """
        silent_s = self.loop.time() - self.last_active_at
        if self.waiter is None:
            # The exchange waits for the sink, not for the server.
            silent_s = 0.0
        if silent_s >= timeout_s and looks < QUIET_LOOKS:
            self.timer = self.loop.call_later(
                LOOK_S, self.check_timeout, timeout_s, looks + 1
            )
            return
        if silent_s >= timeout_s:
            self.fail(
                backend_errors.BackendTimeoutError,
                f"no data from the server for {timeout_s} s",
            )
            return
        self.timer = self.loop.call_later(
            timeout_s - silent_s, self.check_timeout, timeout_s
        )

    def make_error(
        self, close_reason: CloseReason, sent: bool, delivered: bool
    ) -> backend_errors.ExchangeError:
        """Returns the exception for a closed connection."""
        return close_reason.error_type(
            close_reason.message, sent, delivered, close_reason.fields
        )

    async def wait(self) -> None:
        """Waits until `wake` is called."""
        self.waiter = self.loop.create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def wake(self) -> None:
        """Resumes the waiting exchange or login."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
