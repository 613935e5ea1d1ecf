"""A connection to a backend server, which runs one round at a time.

Session state that can exist on a connection between rounds:

* Prepared statements. They are named by content, shared by all sessions, and
  bounded in number.
* Settings that rounds pass in `settings`. Each round passes its full set;
  those that differ from the settings in force are changed ahead of it.
* Settings that a statement changed itself. They end with the transaction: a
  RESET ALL is sent ahead of the next round outside of it.

The front end refuses statements that leave other state behind (temporary
tables, LISTEN, advisory locks, WITH HOLD cursors, PREPARE, LOAD, COPY from
the client). A connection on which LISTEN, PREPARE or LOAD ran nevertheless,
or for which a CancelRequest was sent, is not `reusable`. DISCARD ALL is not
used, since it drops the prepared statements.

Two known differences from a connection without shared statements: a Parse of
a statement that exists is not sent again, so a table dropped in the meantime
is reported at the Bind; and a named statement still exists after a session
closes it.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from cuminwall import (
    backend_answers,
    backend_channel,
    backend_errors,
    backend_login,
    backend_plan,
    backend_settings,
    exceptions,
    probes,
    wire,
    work,
)
from cuminwall.backend_plan import AnswerKind, ExpectedAnswer, Purpose

PING_SQL = "SELECT 1"


class RoundAnswer(NamedTuple):
    """The result of a round on a backend connection.

    Attributes:
      status: The transaction status: b"I", b"T" or b"E".
      completion: The part of the answer not passed to the sink: the last
        completion and all that follows it, or the whole of a small answer;
        without the ReadyForQuery.
      server_error: The fields of the server's last error by type, or
        None.
      position: The answer to the position query, or None.
      delivered: Whether any bytes were passed to the sink.
    """

    status: bytes
    completion: bytes
    server_error: Mapping[str, str] | None
    position: probes.ProbeAnswer | None
    delivered: bool


class Target(NamedTuple):
    """The address of a backend server and the daemon's credentials for it.

    Attributes:
      name: The server's name, for logs and reports.
      host: Its IP address.
      port: Its port.
      user: The user as which the daemon logs in.
      password: That user's password.
      database: The database to use.
    """

    name: str
    host: str
    port: int
    user: str
    password: str
    database: str


async def connect(
    target: Target,
    deadline: float,
    on_closed: Callable[["BackendConnection"], None] | None = None,
) -> "BackendConnection":
    """Opens a connection and logs in.

    Args:
      target: The server's address and the credentials.
      deadline: When to give up, on the event loop's clock in seconds.
      on_closed: Called once the socket is closed, if it was ever open.

    Raises:
      backend_errors.LoginRefusedError: The server refused the login.
      backend_errors.LoginMethodError: It requires an unsupported method.
      backend_errors.BackendLostError: The connection failed or was closed.
      backend_errors.BackendTimeoutError: The login took until `deadline`.
      backend_errors.BackendProtocolError: It violated the protocol.
    """
    connection = BackendConnection(target, on_closed)
    channel = connection.channel
    address = f"{target.host}:{target.port}"
    try:
        async with asyncio.timeout_at(deadline):
            await _open_socket(channel, target)
            await channel.finish_login()
    except TimeoutError as error:
        await channel.abort_and_wait()
        raise backend_errors.BackendTimeoutError(
            f"login at {address} not finished before the deadline"
        ) from error
    except OSError as error:
        await channel.abort_and_wait()
        raise backend_errors.BackendLostError(
            f"cannot connect to {address}: {error}"
        ) from error
    except BaseException:
        await channel.abort_and_wait()
        raise
    return connection


async def _open_socket(
    channel: backend_channel.Channel, target: Target
) -> None:
    """Connects the socket.

    If this fails, also by being canceled, the event loop closes a socket that
    it has opened and does not always tell the channel.
    """
    try:
        await channel.loop.create_connection(
            lambda: channel, target.host, target.port
        )
    except BaseException:
        channel.abort()
        if channel.transport is not None:
            channel.connection_lost(None)
        raise


class BackendConnection:
    """A logged-in connection to a backend server.

    Attributes:
      target: The server.
      login: The login, with the parameters that the server reported.
      channel: The socket.
      status: The transaction status of the last ReadyForQuery.
      batch_open: Whether the last round ended without a ReadyForQuery.
      skipping: Whether the server discards everything up to a Sync.
      statements: The prepared statements that exist on it.
      settings: The session settings in force on it.
      cancel_sent: Whether a CancelRequest was sent for it.
      unresettable: Whether a statement left state that no reset removes.
    """

    def __init__(
        self,
        target: Target,
        on_closed: Callable[["BackendConnection"], None] | None = None,
    ):
        self.target = target
        self.on_closed = on_closed
        self.login = backend_login.Login(
            target.user, target.password, target.database
        )
        self.channel = backend_channel.Channel(
            target.host, target.port, self.login, self.handle_closed
        )
        self.status = b"I"
        self.batch_open = False
        self.skipping = False
        self.cancel_sent = False
        self.unresettable = False
        self.statements = backend_plan.PreparedStatements()
        self.settings = backend_settings.SessionSettings()

    @property
    def reusable(self) -> bool:
        """Whether another session may use the connection now."""
        if (
            self.channel.close_reason is not None
            or self.channel.answers is not None
        ):
            return False
        if self.cancel_sent or self.unresettable:
            return False
        return self.status == b"I" and not (self.batch_open or self.skipping)

    def handle_closed(self) -> None:
        """Notifies the owner that the socket is closed."""
        if self.on_closed is not None:
            self.on_closed(self)

    def abort(self) -> None:
        """Closes the connection at once."""
        self.channel.abort()

    async def close(self) -> None:
        """Sends Terminate and waits until the server closes the socket."""
        await self.channel.close()

    async def cancel(self, deadline: float) -> None:
        """Sends a CancelRequest for the running round.

        The server may act on it late and cancel a later round, so the
        connection is not reusable afterwards.

        Raises:
          backend_errors.BackendLostError: The request could not be sent.
          backend_errors.BackendTimeoutError: No answer before `deadline`.
        """
        self.cancel_sent = True
        packet = wire.cancel_packet(self.login.process_id, self.login.secret)
        writer = None
        try:
            async with asyncio.timeout_at(deadline):
                reader, writer = await asyncio.open_connection(
                    self.channel.host, self.channel.port
                )
                writer.write(packet)
                await reader.read()
        except TimeoutError as error:
            raise backend_errors.BackendTimeoutError(
                "no answer to a cancel request before the deadline", True
            ) from error
        except OSError as error:
            raise backend_errors.BackendLostError(
                f"cancel request failed: {error}", True
            ) from error
        finally:
            if writer is not None:
                writer.transport.abort()

    async def run_steps(
        self,
        steps: Sequence[work.Step],
        prepared: Sequence[work.Prepared],
        settings: Sequence[backend_settings.Setting],
        sink: work.Sink,
        timeout_s: float,
        query_position: bool = False,
        may_change_session: bool = False,
    ) -> RoundAnswer | backend_settings.SettingRefused:
        """Runs a round; at most its last step is a Query, Sync or Flush.

        A position query drops the unnamed portal, so it should only follow
        the end of a transaction. It is omitted if the round ends in a Flush.

        Args:
          steps: The messages, with statement names already replaced.
          prepared: Every statement that the steps use.
          settings: The full settings of the session.
          sink: Receives the caller's messages, in batches.
          timeout_s: The longest time without a byte from the server, in
            seconds.
          query_position: Whether to query the log position after the steps.
          may_change_session: Whether the steps may change settings without
            a command tag that shows it.

        Returns:
          The answer, or the settings for which the round was not sent.

        Raises:
          backend_errors.BackendLostError: The connection was closed.
          backend_errors.BackendTimeoutError: The server sent nothing for
            `timeout_s`.
          backend_errors.BackendProtocolError: The answer did not match the
            round.
        """
        refused = backend_settings.find_disallowed(settings)
        if refused:
            return backend_settings.SettingRefused(refused, {})
        change = self.plan_settings(settings)
        if not self.settings.is_accepted(change):
            refusal = await self.apply_settings(change, timeout_s)
            if refusal is not None:
                return refusal
            change = backend_settings.NO_CHANGE
        plan = self.plan_steps(steps, prepared)
        request, answers = self.add_internal_queries(
            plan, change, steps, query_position
        )
        delivered = await self.channel.exchange(
            request, answers, sink, timeout_s
        )
        self.settings.record_change(change, self.status)
        if may_change_session:
            self.settings.reset_needed = True
        self.record_round(answers, bool(steps))
        return RoundAnswer(
            answers.status,
            answers.take_completion(),
            answers.server_error,
            answers.position,
            delivered,
        )

    async def ping(self, timeout_s: float) -> None:
        """Checks that the server still answers on this connection.

        Raises:
          backend_errors.ExchangeError: It does not; the connection is closed.
        """
        steps = (work.Step(wire.query(PING_SQL)),)
        in_force = tuple(self.settings.in_force.items())
        answer = await self.run_steps(
            steps, (), in_force, _reject_output, timeout_s
        )
        if (
            isinstance(answer, backend_settings.SettingRefused)
            or answer.server_error
        ):
            self.abort()
            raise backend_errors.BackendLostError("ping query failed")

    def plan_settings(
        self, settings: Sequence[backend_settings.Setting]
    ) -> backend_settings.Change:
        """Returns the change that puts `settings` in force."""
        if self.batch_open:
            # A simple query inside a batch would commit the steps before it.
            return backend_settings.NO_CHANGE
        return self.settings.plan_change_to(settings, self.status)

    async def apply_settings(
        self, change: backend_settings.Change, timeout_s: float
    ) -> backend_settings.SettingRefused | None:
        """Puts a change in force and waits for the server's answer."""
        pending = [ExpectedAnswer(AnswerKind.QUERY, Purpose.SETTINGS)]
        answers = backend_answers.AnswerCollector(
            pending, self.statements, self.status
        )
        try:
            await self.channel.exchange(
                wire.query(change.sql), answers, _reject_output, timeout_s
            )
        except backend_errors.ExchangeError as error:
            # The round itself has not been sent.
            error.sent = False
            raise
        if answers.setting_error is not None:
            self.status = answers.status
            names = tuple(name for name, _ in change.assigned)
            return backend_settings.SettingRefused(names, answers.setting_error)
        self.settings.record_change(change, self.status)
        return None

    def plan_steps(
        self, steps: Sequence[work.Step], prepared: Sequence[work.Prepared]
    ) -> backend_plan.Plan:
        """Plans a round for the statements that exist on this connection."""
        planner = backend_plan.Planner(self.statements, prepared)
        try:
            return planner.plan(steps, self.skipping, self.status == b"E")
        except exceptions.ProtocolError as error:
            self.channel.fail(backend_errors.BackendProtocolError, str(error))
            raise backend_errors.BackendProtocolError(str(error)) from error

    def add_internal_queries(
        self,
        plan: backend_plan.Plan,
        change: backend_settings.Change,
        steps: Sequence[work.Step],
        query_position: bool,
    ) -> tuple[bytes, backend_answers.AnswerCollector]:
        """Adds the settings change and the position query to a plan."""
        request = plan.request
        pending = plan.expected
        if change.sql:
            request = wire.query(change.sql) + request
            pending = [
                ExpectedAnswer(AnswerKind.QUERY, Purpose.SETTINGS_BEFORE),
                *pending,
            ]
        if query_position and self.leaves_server_ready(steps):
            request += wire.query(probes.POSITION_SQL)
            pending = [
                *pending,
                ExpectedAnswer(AnswerKind.QUERY, Purpose.POSITION),
            ]
        answers = backend_answers.AnswerCollector(
            pending, self.statements, self.status, plan.used_statements
        )
        return request, answers

    def leaves_server_ready(self, steps: Sequence[work.Step]) -> bool:
        """Returns whether the server is ready for queries after `steps`."""
        if not steps:
            return not self.batch_open
        return steps[-1].message[:1] in (b"Q", b"S")

    def record_round(
        self, answers: backend_answers.AnswerCollector, has_steps: bool
    ) -> None:
        """Updates the connection's state after a round."""
        self.status = answers.status
        if answers.synced:
            self.skipping = False
        self.skipping = self.skipping or answers.skipping
        if has_steps:
            self.batch_open = not answers.synced
        if answers.settings_changed:
            self.settings.reset_needed = True
        self.unresettable = self.unresettable or answers.unresettable


async def _reject_output(data: bytes) -> None:
    raise exceptions.ProtocolError("unexpected answer to an internal query")
