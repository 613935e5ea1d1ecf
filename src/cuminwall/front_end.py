"""Listens for callers and keeps their connections within bounds."""

import asyncio
import secrets
import ssl
from collections.abc import Coroutine

from loguru import logger

from cuminwall import (
    caller_connection,
    caller_limits,
    caller_session,
    outcomes,
    statements,
    work,
)

BACKLOG = 1024
MOCK_SECRET_BYTES = 32

_MAX_PROCESS_ID = 0x7FFFFFFF
_SECRET_BITS = 32


class FrontEnd:
    """Accepts callers.

    Attributes:
      port: The serving side.
      tls: The certificate and key, or None for no TLS.
      limits: The bounds.
      mock_secret: Makes challenges for unknown keys; the same on all instances
        so that they give the same challenge.
      cache: The classified statements of all sessions.
      draining: Whether sessions are ended as they become idle.
      logging_in: Connections that have not logged in, oldest first.
      sessions: Connections that have logged in, by process id.
      by_session_number: The same by the serving side's number of the session.
    """

    def __init__(
        self,
        port: work.ServicePort,
        tls: ssl.SSLContext | None = None,
        limits: caller_limits.Limits = caller_limits.DEFAULT_LIMITS,
        mock_secret: bytes = b"",
    ):
        self.port = port
        self.tls = tls
        self.limits = limits
        self.mock_secret = mock_secret or secrets.token_bytes(MOCK_SECRET_BYTES)
        self.cache = statements.StatementCache()
        self.draining = False
        self.logging_in: dict[caller_connection.CallerConnection, None] = {}
        self.sessions: dict[int, caller_connection.CallerConnection] = {}
        self.by_session_number: dict[
            int, caller_connection.CallerConnection
        ] = {}
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.all_closed = asyncio.Event()

    async def start(self, host: str, port: int) -> int:
        """Listens and returns the port, which the system chooses for 0."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: caller_connection.CallerConnection(self),
            host,
            port,
            backlog=BACKLOG,
        )
        chosen = self.server.sockets[0].getsockname()[1]
        logger.info("caller: listening on {}:{}", host, chosen)
        return chosen

    def add_connection(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Takes a new connection; the oldest without a login makes room."""
        if self.draining:
            connection.fail(outcomes.SHUTTING_DOWN)
            return
        total = len(self.logging_in) + len(self.sessions)
        if len(self.sessions) >= self.limits.max_connections:
            connection.fail(outcomes.TOO_MANY_CONNECTIONS)
            return
        if self.logging_in and (
            len(self.logging_in) >= self.limits.max_logins
            or total >= self.limits.max_connections
        ):
            oldest = next(iter(self.logging_in))
            oldest.fail(outcomes.TOO_MANY_LOGINS)
            self.logging_in.pop(oldest, None)
        self.logging_in[connection] = None

    def add_session(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Notes that a connection has logged in."""
        self.logging_in.pop(connection, None)
        process_id = 0
        while process_id == 0 or process_id in self.sessions:
            process_id = secrets.randbelow(_MAX_PROCESS_ID)
        connection.process_id = process_id
        connection.secret = secrets.randbits(_SECRET_BITS)
        self.sessions[process_id] = connection

    def remove_connection(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Notes that a connection is gone."""
        self.logging_in.pop(connection, None)
        self.sessions.pop(connection.process_id, None)
        phase = connection.phase
        if isinstance(phase, caller_session.SessionPhase):
            self.by_session_number.pop(phase.session, None)
        if not self.logging_in and not self.sessions:
            self.all_closed.set()

    def close_session(self, session: int, failure: outcomes.Failure) -> None:
        """Ends a session between its rounds."""
        connection = self.by_session_number.get(session)
        if connection is not None:
            connection.fail(failure)

    def cancel(self, process_id: int, secret: int) -> None:
        """Asks the serving side to cancel what a session runs."""
        connection = self.sessions.get(process_id)
        if connection is None or connection.secret != secret:
            logger.info("caller: a cancel request names no session")
            return
        phase = connection.phase
        if not isinstance(phase, caller_session.SessionPhase):
            return
        if phase.task is not None:
            self.start_task(self.port.cancel(phase.session))

    def start_task(
        self, coroutine: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        """Runs `coroutine` in a task that is kept until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("caller: a task failed, {!r}", task.exception())

    async def drain(self) -> None:
        """Stops listening and waits until each session has ended in peace.

        A running round, and an open transaction, is waited for.
        """
        self.draining = True
        if self.server is not None:
            self.server.close()
        logger.info("caller: draining {} sessions", len(self.sessions))
        for connection in [*self.logging_in, *self.sessions.values()]:
            connection.start_draining()
        while self.logging_in or self.sessions:
            self.all_closed.clear()
            await self.all_closed.wait()
        while self.tasks:
            await asyncio.wait(self.tasks)

    async def close(self) -> None:
        """Stops listening and ends every connection at once."""
        self.draining = True
        if self.server is not None:
            self.server.close()
        for connection in [*self.logging_in, *self.sessions.values()]:
            connection.abort()
        while self.logging_in or self.sessions:
            self.all_closed.clear()
            await self.all_closed.wait()
        while self.tasks:
            await asyncio.wait(self.tasks)
