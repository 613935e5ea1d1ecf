"""The connections of callers: sockets and their messages."""

import asyncio
import collections
import sys
from collections.abc import Callable
from typing import cast

from loguru import logger

from cuminwall import plainhttp
from cuminwall.direct import events, ports, statements
from cuminwall.direct.answers import Answer, Failure, Phase, Reason
from cuminwall.direct.memory import Memory
from cuminwall.direct.statements import Statement
from cuminwall.load import memory_budget

PART = "callers"

NO_LOGIN = Failure(Reason.MALFORMED, "the first message must be a login")

LOGIN_S = 10.0  # Timeout of the login.
FLUSH_CHECK_S = 0.02  # Between two looks at what is still to be sent.
FLUSH_S = 2.0  # How long a closed connection may take to send its output.
MAX_UNSENT_BYTES = 4 * 1024 * 1024
# While so many statements of a caller are unanswered, no more are read.
MAX_UNANSWERED = 16
# Of what was read already, so many statements at most are passed on unanswered.
MAX_DECODED = 64
# The same for the memory that their texts take.
MAX_UNANSWERED_BYTES = 256 * 1024
MESSAGE_S = 60.0  # How long the rest of a message may take.
UNREAD_S = 60.0  # How long answers may wait to be read.
TIGHT_S = 5.0  # Both while large senders wait for room.
SWEEP_S = 1.0  # Between two looks for connections that are too slow.
# How long a transaction may be left open while there is no room for others.
LEFT_OPEN_S = 5.0


class Callers:
    """The connections of all callers of this instance.

    Attributes:
      make_codec: Creates the codec of one connection.
      on_event: Called with each event.
      clock: Returns the time for events.
      sockets: The connections by session.
      closing: The closed connections that still send their output.
      memory: What the connections hold.
      max_sockets: How many connections callers and servers may have together,
        or None.
      count_others: Returns how many the servers have.
      logins: Those without a login, by session, oldest first.
      unfinished: Since when the message that each is sending is unfinished,
        by session, oldest first.
      unread: Since when answers wait to be read, in the same way.
      waiting: Those that wait for memory, in order.
    """

    def __init__(
        self,
        make_codec: Callable[[], ports.CallerCodec],
        on_event: Callable[[events.Event], None],
        clock: Callable[[], float],
        memory: Memory | None = None,
        max_sockets: int | None = None,
        count_others: Callable[[], int] = lambda: 0,
    ):
        self.memory = memory or Memory(None, lambda event, fields: None)
        self.memory.on_room = self.admit_waiting
        self.max_sockets = max_sockets
        self.count_others = count_others
        self.logins: dict[int, CallerSocket] = {}
        self.unfinished: dict[int, float] = {}
        self.unread: dict[int, float] = {}
        self.waiting: dict[int, CallerSocket] = {}
        self.make_codec = make_codec
        self.on_event = on_event
        self.clock = clock
        self.sockets: dict[int, CallerSocket] = {}
        self.closing: set[CallerSocket] = set()
        self.last_session = 0

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Starts to listen for callers."""
        loop = asyncio.get_running_loop()
        loop.call_later(SWEEP_S, self._sweep)
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
            caller.is_outside = answer.phase is Phase.IDLE
            caller.write(caller.codec.encode_answer(answer))
            caller.count_answer()

    def keep(self, session: int, size: int) -> None:
        """Notes what a session keeps."""
        caller = self.sockets.get(session)
        if caller is not None:
            caller.kept_bytes = size
            caller.count_held()

    def make_room(self, newcomer: int = 0) -> bool:
        """Closes a connection if need be; returns whether there is room.

        Args:
          newcomer: The connection that needs the room, which is not closed.
        """
        count = len(self.sockets) + len(self.closing)
        others = self.count_others()
        if memory_budget.has_room(count, others, self.max_sockets):
            return True
        for session in self.logins:
            self._drop(session, "no_login")
            return True
        candidates = []
        for session, caller in self.sockets.items():
            if caller.unanswered or session == newcomer:
                continue
            candidates.append(
                memory_budget.Idle(session, caller.used_at, caller.is_outside)
            )
        chosen = memory_budget.choose_idle(
            candidates, self.clock(), LEFT_OPEN_S
        )
        if chosen is None:
            return False
        self._drop(chosen, "idle")
        return True

    def admit_waiting(self) -> None:
        """Lets those that wait for memory send on, once this event is over."""
        if self.waiting:
            asyncio.get_running_loop().call_soon(self._admit_waiting)

    def _admit_waiting(self) -> None:
        """Lets those that wait for memory send on, as far as there is room."""
        for session in list(self.waiting):
            if self.memory.account.is_tight():
                return
            caller = self.waiting.pop(session, None)
            if caller is not None:
                caller.read_on()

    def _sweep(self) -> None:
        """Closes the connections that are too slow."""
        loop = asyncio.get_running_loop()
        loop.call_later(SWEEP_S, self._sweep)
        is_tight = self.memory.account.is_tight()
        message_s = TIGHT_S if is_tight else MESSAGE_S
        unread_s = TIGHT_S if is_tight else UNREAD_S
        self._drop_since(self.unfinished, message_s, "message")
        self._drop_since(self.unread, unread_s, "unread")

    def _drop_since(
        self, since: dict[int, float], timeout_s: float, cause: str
    ) -> None:
        """Closes the connections of a list that are in it for too long."""
        latest = self.clock() - timeout_s
        for session, at in list(since.items()):
            if at > latest:
                return
            del since[session]
            self._drop(session, cause)

    def _drop(self, session: int, cause: str) -> None:
        """Closes a connection at once."""
        caller = self.sockets.get(session)
        if caller is None:
            return
        self.memory.note("dropped", {"session": session, "cause": cause})
        caller.abort()

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
      sizes: The memory that the text of each of them takes.
      unanswered_bytes: The sum of these.
      kept_bytes: What the session keeps.
      is_counted: Whether the account has something of it.
      is_paused: Whether nothing is read now.
      is_unread: Whether the caller leaves answers unread.
      is_outside: Whether it is outside a transaction.
      used_at: When something was last received.
    """

    def __init__(self, callers: Callers):
        self.callers = callers
        self.codec = callers.make_codec()
        self.transport: asyncio.Transport | None = None
        self.session = 0
        self.is_logged_in = False
        self.timer: asyncio.TimerHandle | None = None
        self.unanswered = 0
        self.sizes: collections.deque[int] = collections.deque()
        self.unanswered_bytes = 0
        self.kept_bytes = 0
        self.is_counted = False
        self.is_paused = False
        self.is_unread = False
        self.is_outside = True
        self.used_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers a new connection and starts the login timeout."""
        self.transport = cast(asyncio.Transport, transport)
        plainhttp.enable_keepalive(transport)
        self.callers.last_session += 1
        self.session = self.callers.last_session
        self.callers.sockets[self.session] = self
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(LOGIN_S, self.transport.abort)
        self.used_at = self.callers.clock()
        if not self.callers.make_room(self.session):
            self.callers.memory.note("refused", {"session": self.session})
            self.abort()
            return
        self.callers.logins[self.session] = self

    def data_received(self, data: bytes) -> None:
        """Decodes received bytes into messages."""
        if self.session not in self.callers.sockets:
            return
        self.used_at = self.callers.clock()
        self._decode(data)
        self.read_on()

    def pause_writing(self) -> None:
        """Notes that the caller leaves answers unread."""
        self.is_unread = True
        if self.session in self.callers.sockets:
            self.callers.unread[self.session] = self.callers.clock()

    def resume_writing(self) -> None:
        """Notes that the caller has read its answers."""
        self.is_unread = False
        self.callers.unread.pop(self.session, None)
        if self.session in self.callers.sockets:
            self.count_held()
            self.read_on()

    def read_on(self) -> None:
        """Decodes what was held back, and reads more if that is allowed."""
        while self.codec.count_held() and not self._is_full():
            before = self.codec.count_held()
            self._decode(b"")
            if self.session not in self.callers.sockets:
                return
            if self.codec.count_held() == before:
                break
        self.count_held()
        if self.session not in self.callers.sockets:
            return
        must_pause = self._is_full() or self._must_wait()
        assert self.transport is not None
        if must_pause == self.is_paused or self.transport.is_closing():
            return
        self.is_paused = must_pause
        if must_pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def count_held(self) -> None:
        """Tells the account what the connection holds."""
        held = self.codec.count_held()
        unfinished = self.callers.unfinished
        if not held:
            unfinished.pop(self.session, None)
        elif not self._is_full():
            unfinished.setdefault(self.session, self.used_at)
        held += self.unanswered_bytes + self.kept_bytes + self.count_unsent()
        if held >= memory_budget.SMALL_BYTES or self.is_counted:
            self.is_counted = held >= memory_budget.SMALL_BYTES
            self.callers.memory.set(self.session, held, self.abort)

    def abort(self) -> None:
        """Ends the connection at once."""
        assert self.transport is not None
        self.transport.abort()
        if self._remove():
            self._report_end()

    def _decode(self, data: bytes) -> None:
        """Decodes messages, as many as may be unanswered."""
        most = max(1, MAX_DECODED - self.unanswered)
        for message in self.codec.feed(data, most):
            if self.session not in self.callers.sockets:
                return
            self.callers.unfinished.pop(self.session, None)
            self._handle(message)

    def _is_full(self) -> bool:
        """Returns whether answers must be sent before more is decoded."""
        return (
            self.unanswered >= MAX_UNANSWERED
            or self.unanswered_bytes > MAX_UNANSWERED_BYTES
            or self.is_unread
        )

    def _must_wait(self) -> bool:
        """Returns whether it waits for memory that others hold."""
        callers = self.callers
        if not callers.memory.account.must_wait(self.session):
            return False
        callers.waiting[self.session] = self
        return True

    def _remove(self) -> bool:
        """Removes the connection; returns whether it was still there."""
        callers = self.callers
        callers.logins.pop(self.session, None)
        callers.unfinished.pop(self.session, None)
        callers.unread.pop(self.session, None)
        callers.waiting.pop(self.session, None)
        if callers.sockets.pop(self.session, None) is None:
            return False
        if self.is_counted:
            self.is_counted = False
            callers.memory.set(self.session, 0, self.abort)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        self.callers.closing.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self._remove():
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
        elif self.is_unread:
            self.count_held()

    def count_answer(self) -> None:
        """Counts an answer, after which more may be read."""
        self.unanswered -= 1
        if self.sizes:
            self.unanswered_bytes -= self.sizes.popleft()
        if self.is_paused or self.is_counted or self.codec.count_held():
            self.read_on()

    def count_unsent(self) -> int:
        """Returns how many bytes wait to be sent."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def close(self) -> None:
        """Closes the connection after its output has been sent."""
        if not self._remove():
            return
        self._report_end()
        self.callers.closing.add(self)
        assert self.transport is not None
        self.transport.close()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(FLUSH_S, self.transport.abort)

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
        size = sys.getsizeof(message.text)
        self.sizes.append(size)
        self.unanswered_bytes += size
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
        self.callers.logins.pop(self.session, None)
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
