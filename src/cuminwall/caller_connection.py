"""One caller's connection: bytes, deadlines and backpressure.

A connection has no task of its own while it is idle; a task runs while the
serving side works on its rounds.
"""

import asyncio
import socket
from typing import TYPE_CHECKING, cast

from loguru import logger

from cuminwall import (
    caller_login,
    caller_session,
    exceptions,
    logins,
    outcomes,
    session_rounds,
)

if TYPE_CHECKING:
    from cuminwall import front_end

_KEEPALIVE_IDLE_S = 60
_KEEPALIVE_INTERVAL_S = 10
_KEEPALIVE_PROBES = 3


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Attributes:
      front_end: The front door that accepted it.
      transport: The transport, encrypted once TLS was agreed.
      phase: What takes the caller's bytes.
      client: The caller's address, for the log.
      closing: Whether nothing more is read or answered.
      process_id: What a CancelRequest names, or 0 before the login.
      secret: What a CancelRequest proves itself by.
    """

    __slots__ = (
        "client",
        "closing",
        "drain_timer",
        "lost",
        "phase",
        "process_id",
        "reading_paused",
        "secret",
        "front_end",
        "stall_timer",
        "timer",
        "tls_task",
        "transport",
        "write_waiter",
    )

    def __init__(self, server: "front_end.FrontEnd"):
        self.front_end = server
        self.transport: asyncio.Transport | None = None
        self.phase: caller_login.LoginPhase | caller_session.SessionPhase = (
            caller_login.LoginPhase(self)
        )
        self.client = ""
        self.closing = False
        self.lost = False
        self.process_id = 0
        self.secret = 0
        self.reading_paused = False
        self.timer: asyncio.TimerHandle | None = None
        self.stall_timer: asyncio.TimerHandle | None = None
        self.drain_timer: asyncio.TimerHandle | None = None
        self.tls_task: asyncio.Task[None] | None = None
        self.write_waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes a new connection, if there is room."""
        # uvloop's transports are no subclass of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        self.client = f"{peer[0]}:{peer[1]}" if peer else "unknown"
        _keep_alive(transport.get_extra_info("socket"))
        limits = self.front_end.limits
        self.transport.set_write_buffer_limits(high=limits.write_buffer_bytes)
        self.start_timer(limits.login_timeout_s, outcomes.LOGIN_TIMEOUT)
        self.front_end.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Hands bytes to the phase; a protocol error ends the connection."""
        if self.closing:
            return
        if self.tls_task is not None:
            # It cannot have come encrypted.
            self.abort()
            return
        try:
            self.phase.receive(data)
        except exceptions.ProtocolError as error:
            self.fail(outcomes.PROTOCOL_VIOLATION, str(error))
        except Exception:
            logger.exception("caller: {} could not be read", self.client)
            self.fail(outcomes.INTERNAL_ERROR)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the session, after the round that runs."""
        if self.lost:
            return
        self.lost = True
        self.closing = True
        self.stop_timer()
        self.resume_writing()
        self.front_end.remove_connection(self)
        self.end_lost_session()

    def end_lost_session(self) -> None:
        """Ends the session of a lost connection once no round runs."""
        phase = self.phase
        if not isinstance(phase, caller_session.SessionPhase):
            return
        if not self.lost or phase.task is not None:
            return
        self.front_end.start_task(
            self.front_end.port.close_session(phase.session)
        )
        self.phase = caller_login.LoginPhase(self)

    def pause_writing(self) -> None:
        """Notes that the caller does not read its answers."""
        if self.write_waiter is not None or self.lost:
            return
        loop = asyncio.get_running_loop()
        self.write_waiter = loop.create_future()
        self.stall_timer = loop.call_later(
            self.front_end.limits.answer_stall_timeout_s, self._abort_stalled
        )

    def resume_writing(self) -> None:
        """Goes on with answers and with queued rounds."""
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        waiter, self.write_waiter = self.write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        phase = self.phase
        if isinstance(phase, caller_session.SessionPhase) and not self.closing:
            phase.process_queue()

    def _abort_stalled(self) -> None:
        logger.warning("caller: {} leaves its answers unread", self.client)
        self.abort()

    def is_write_paused(self) -> bool:
        """Returns whether answers wait for the caller to read."""
        return self.write_waiter is not None

    async def drain(self) -> None:
        """Waits until answers may be written, or the connection is lost."""
        while self.write_waiter is not None:
            await asyncio.shield(self.write_waiter)

    def write(self, data: bytes) -> None:
        """Sends `data`, unless the connection is closing."""
        if data and not self.closing and self.transport is not None:
            self.transport.write(data)

    def pause_reading(self) -> None:
        """Stops reading; a message under way then has no deadline."""
        if self.reading_paused or self.closing:
            return
        assert self.transport is not None
        self.reading_paused = True
        self.stop_timer()
        self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads again."""
        if not self.reading_paused or self.closing:
            return
        assert self.transport is not None
        self.reading_paused = False
        self.transport.resume_reading()
        phase = self.phase
        if isinstance(phase, caller_session.SessionPhase):
            self.update_message_timer(True, bool(phase.framer.buffer))

    def update_message_timer(self, completed: bool, has_partial: bool) -> None:
        """Keeps the deadline of the message under way.

        Args:
          completed: Whether a message was completed since the last call.
          has_partial: Whether part of another message has come.
        """
        if completed or not has_partial:
            self.stop_timer()
        if has_partial and self.timer is None and not self.reading_paused:
            timeout_s = self.front_end.limits.message_timeout_s
            self.start_timer(timeout_s, outcomes.MESSAGE_TIMEOUT)

    def start_timer(self, timeout_s: float, failure: outcomes.Failure) -> None:
        """Ends the connection with `failure` in `timeout_s` seconds."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(timeout_s, self._time_out, failure)

    def stop_timer(self) -> None:
        """Withdraws the deadline."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _time_out(self, failure: outcomes.Failure) -> None:
        self.timer = None
        if isinstance(self.phase, caller_session.SessionPhase):
            self.phase.fail_after_queue(failure, "")
        else:
            self.fail(failure)

    def fail(self, failure: outcomes.Failure, detail: str = "") -> None:
        """Tells the caller why and closes the connection."""
        if self.closing:
            return
        logger.info(
            "caller: {} ends, {} {!r}", self.client, failure.reason, detail
        )
        if self.tls_task is not None:
            # No one could read an error in the middle of a handshake.
            self.abort()
            return
        fatal = failure._replace(fatal=True)
        self.write(caller_session.encode_failure(fatal, detail))
        self.close()

    def close(self) -> None:
        """Closes once what was written is sent, or soon in any case."""
        if self.closing:
            return
        self.closing = True
        self.stop_timer()
        if self.transport is None:
            return
        self.transport.close()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(
            self.front_end.limits.close_timeout_s, self.abort
        )

    def abort(self) -> None:
        """Closes without sending the rest."""
        self.closing = True
        self.stop_timer()
        if self.tls_task is not None:
            self.tls_task.cancel()
        if not self.lost and self.transport is not None:
            self.transport.abort()

    def start_tls(self) -> None:
        """Begins the TLS handshake on this connection."""
        self.tls_task = self.front_end.start_task(self._start_tls())

    async def _start_tls(self) -> None:
        assert self.transport is not None
        assert self.front_end.tls is not None
        loop = asyncio.get_running_loop()
        try:
            transport = await loop.start_tls(
                self.transport,
                self,
                self.front_end.tls,
                server_side=True,
                ssl_handshake_timeout=self.front_end.limits.login_timeout_s,
            )
        except (OSError, asyncio.CancelledError) as error:
            logger.info("caller: {} made no TLS, {!r}", self.client, error)
            self.tls_task = None
            self.abort()
            # The transport told its handshake, not this protocol.
            self.connection_lost(None)
            return
        self.tls_task = None
        assert transport is not None
        self.transport = transport
        if self.closing:
            transport.abort()
            return
        limits = self.front_end.limits
        transport.set_write_buffer_limits(high=limits.write_buffer_bytes)

    def start_session(self, caller: logins.Caller, session: int) -> None:
        """Goes from the login to the session."""
        self.stop_timer()
        server = self.front_end
        cutter = session_rounds.SessionRounds(
            server.cache,
            caller.settings,
            caller.max_age_s,
            server.limits.session,
        )
        self.phase = caller_session.SessionPhase(self, cutter, session)
        server.add_session(self)
        server.by_session_number[session] = self
        self.write(
            caller_login.encode_login_complete(
                caller, self.process_id, self.secret
            )
        )

    def start_draining(self) -> None:
        """Ends the connection some time after it is idle.

        A request that is on its way then meets a session that refuses it.
        """
        if self.drain_timer is not None:
            self.drain_timer.cancel()
        if isinstance(self.phase, caller_login.LoginPhase):
            self.fail(outcomes.SHUTTING_DOWN)
            return
        loop = asyncio.get_running_loop()
        self.drain_timer = loop.call_later(
            self.front_end.limits.drain_idle_s, self._end_drained
        )

    def _end_drained(self) -> None:
        self.drain_timer = None
        if self.phase.is_idle():
            self.fail(outcomes.SHUTTING_DOWN)


def _keep_alive(sock: socket.socket | None) -> None:
    """Lets the system find out when a silent caller is gone."""
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_NODELAY, 1),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
