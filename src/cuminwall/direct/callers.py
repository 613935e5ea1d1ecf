"""The connections of callers: sockets and their messages."""

import asyncio
from collections.abc import Callable
from typing import cast

from loguru import logger

from cuminwall import plainhttp
from cuminwall.direct import events, ports, statements
from cuminwall.direct.answers import Answer, Failure, Reason
from cuminwall.direct.statements import Statement

PART = "callers"

NO_LOGIN = Failure(Reason.MALFORMED, "the first message must be a login")

LOGIN_S = 10.0  # Timeout of the login.
FLUSH_CHECK_S = 0.02  # Between two looks at what is still to be sent.
FLUSH_S = 2.0  # How long a closed connection may take to send its output.
MAX_UNSENT_BYTES = 4 * 1024 * 1024
# While so many statements of a caller are unanswered, no more are read.
MAX_UNANSWERED = 16


class Callers:
    """The connections of all callers of this instance.

    Attributes:
      make_codec: Creates the codec of one connection.
      on_event: Called with each event.
      clock: Returns the time for events.
      sockets: The connections by session.
      closing: The closed connections that still send their output.
    """

    def __init__(
        self,
        make_codec: Callable[[], ports.CallerCodec],
        on_event: Callable[[events.Event], None],
        clock: Callable[[], float],
    ):
        self.make_codec = make_codec
        self.on_event = on_event
        self.clock = clock
        self.sockets: dict[int, CallerSocket] = {}
        self.closing: set[CallerSocket] = set()
        self.last_session = 0

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Starts to listen for callers."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: CallerSocket(self), host, port, backlog=1024
        )

    def accept_session(self, session: int) -> None:
        """Sends a caller the message that its session is open."""
        caller = self.sockets.get(session)
        if caller is not None:
            caller.write(caller.codec.encode_acceptance())

    def reject_session(self, session: int, failure: Failure) -> None:
        """Rejects a session and closes its connection."""
        caller = self.sockets.get(session)
        if caller is not None:
            caller.write(caller.codec.encode_rejection(failure))
            caller.close()

    def reply(self, session: int, answer: Answer) -> None:
        """Sends the answer to a statement."""
        caller = self.sockets.get(session)
        if caller is not None:
            caller.write(caller.codec.encode_answer(answer))
            caller.count_answer()

    def close(self, session: int) -> None:
        """Closes a connection after its output has been sent."""
        caller = self.sockets.get(session)
        if caller is not None:
            caller.close()

    async def flush(self, timeout_s: float) -> None:
        """Waits until all output was sent, before the process ends."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            unsent = 0
            for caller in (*self.sockets.values(), *self.closing):
                unsent += caller.count_unsent()
            if not unsent:
                return
            if loop.time() >= deadline:
                logger.warning("{}: {} bytes were not sent", PART, unsent)
                return
            await asyncio.sleep(FLUSH_CHECK_S)


class CallerSocket(asyncio.Protocol):
    """One caller's connection.

    Attributes:
      unanswered: How many statements were passed on and not answered yet. Each
        gets one answer, unless the session ends.
      is_paused: Whether nothing is read because of that.
    """

    def __init__(self, callers: Callers):
        self.callers = callers
        self.codec = callers.make_codec()
        self.transport: asyncio.Transport | None = None
        self.session = 0
        self.is_logged_in = False
        self.timer: asyncio.TimerHandle | None = None
        self.unanswered = 0
        self.is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers a new connection and starts the login timeout."""
        self.transport = cast(asyncio.Transport, transport)
        plainhttp.enable_keepalive(transport)
        self.callers.last_session += 1
        self.session = self.callers.last_session
        self.callers.sockets[self.session] = self
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(LOGIN_S, self.transport.abort)

    def data_received(self, data: bytes) -> None:
        """Decodes received bytes into messages."""
        for message in self.codec.feed(data):
            if self.session not in self.callers.sockets:
                return
            self._handle(message)
        if self.unanswered >= MAX_UNANSWERED:
            self._pause()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        self.callers.closing.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.callers.sockets.pop(self.session, None) is None:
            return
        self._report_end()

    def write(self, data: bytes) -> None:
        """Sends bytes; aborts the connection of a caller that reads none."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            logger.warning(
                "{}: {}: the caller does not read its answers",
                PART,
                self.session,
            )
            transport.abort()

    def count_answer(self) -> None:
        """Counts an answer, after which more may be read."""
        self.unanswered -= 1
        if not self.is_paused or self.unanswered >= MAX_UNANSWERED:
            return
        self.is_paused = False
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def count_unsent(self) -> int:
        """Returns how many bytes wait to be sent."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def close(self) -> None:
        """Closes the connection after its output has been sent."""
        if self.callers.sockets.pop(self.session, None) is None:
            return
        self._report_end()
        self.callers.closing.add(self)
        assert self.transport is not None
        self.transport.close()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(FLUSH_S, self.transport.abort)

    def _pause(self) -> None:
        """Stops reading until enough statements are answered."""
        if self.transport is None or self.transport.is_closing():
            return
        self.is_paused = True
        self.transport.pause_reading()

    def _handle(self, message: ports.CallerMessage) -> None:
        """Turns a message into an event."""
        now = self.callers.clock()
        if isinstance(message, ports.Terminate):
            self.close()
            return
        if not self.is_logged_in:
            self._login(message, now)
            return
        if isinstance(message, ports.Login):
            message = statements.Malformed(
                "", "", "the session is open already"
            )
        self.unanswered += 1
        event = events.StatementArrived(now, self.session, message)
        self.callers.on_event(event)

    def _login(self, message: ports.Login | Statement, now: float) -> None:
        """Handles the first message."""
        if not isinstance(message, ports.Login):
            logger.warning("{}: {}: {}", PART, self.session, NO_LOGIN.detail)
            self.write(self.codec.encode_rejection(NO_LOGIN))
            self.close()
            return
        self.is_logged_in = True
        if self.timer is not None:
            self.timer.cancel()
        self.callers.on_event(
            events.CallerArrived(
                now, self.session, message.database, message.key
            )
        )

    def _report_end(self) -> None:
        """Reports that a caller with a login has disconnected."""
        if self.timer is not None:
            self.timer.cancel()
        if self.is_logged_in:
            now = self.callers.clock()
            self.callers.on_event(events.CallerLeft(now, self.session))
