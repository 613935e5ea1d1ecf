"""A connection to a backend server, and the rounds that it runs.

Session state that can exist on a connection between rounds:

* Prepared statements. They are named by content, shared by all sessions, and
  bounded in number.
* Settings that rounds name in `settings`. Each round states them all, so what
  differs from those in force is changed ahead of it.
* Settings that a statement changed itself. They end with the transaction: a
  RESET ALL goes ahead of the next round outside of it.

The caller side refuses what leaves other state (temporary tables, LISTEN,
advisory locks, WITH HOLD cursors, PREPARE, LOAD, COPY from the client). A
connection on which LISTEN, PREPARE or LOAD ran all the same, or to which a
CancelRequest was sent, is not `reusable`. DISCARD ALL is not used, since it
drops the prepared statements.

Two known differences from a connection without shared statements: a Parse of
a statement that exists is not checked again, so that a table dropped since
shows at its Bind; and a named statement stays when a session closes it.
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
    """How a round ended on a backend connection.

    Attributes:
      status: The transaction status: b"I", b"T" or b"E".
      completion: What was withheld: the last completion and all that follows it,
        or the whole of a small answer; without the ReadyForQuery.
      server_error: The fields of the server's last error by letter, or None.
      position: The answer to the position query, or None.
      delivered: Whether a byte went to the sink.
    """

    status: bytes
    completion: bytes
    server_error: Mapping[str, str] | None
    position: probes.ProbeAnswer | None
    delivered: bool


class Target(NamedTuple):
    """A backend server, and the daemon's own credentials there.

    Attributes:
      name: The server's name, for logs and reports.
      host: Its IP number.
      port: Its port.
      user: The daemon's own user.
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
      target: The server, and the daemon's own credentials there.
      deadline: When to give up, on the event loop's clock in seconds.
      on_closed: Called once the socket is closed, if it was ever open.

    Raises:
      backend_errors.LoginRefusedError: The server refused the login.
      backend_errors.LoginMethodError: It asked for a method not carried.
      backend_errors.BackendLostError: It was not reached, or hung up.
      backend_errors.BackendTimeoutError: It was silent until `deadline`.
      backend_errors.BackendProtocolError: It broke the protocol.
    """
    connection = BackendConnection(target, on_closed)
    channel = connection.channel
    address = f"{target.host}:{target.port}"
    try:
        async with asyncio.timeout_at(deadline):
            await channel.loop.create_connection(
                lambda: channel, target.host, target.port
            )
            await channel.finish_login()
    except TimeoutError as error:
        await channel.abort_and_wait()
        raise backend_errors.BackendTimeoutError(
            f"no login at {address} before the deadline"
        ) from error
    except OSError as error:
        await channel.abort_and_wait()
        raise backend_errors.BackendLostError(
            f"{address} not reached: {error}"
        ) from error
    except BaseException:
        await channel.abort_and_wait()
        raise
    return connection


class BackendConnection:
    """One connection; it runs one round at a time.

    Attributes:
      target: The server.
      login: What the server told at login.
      channel: Its socket.
      status: The transaction status told last.
      batch_open: Whether the last round ended without a ReadyForQuery.
      skipping: Whether the server discards everything up to a Sync.
      statements: The prepared statements that exist on it.
      settings: The session settings in force on it.
      cancel_sent: Whether a CancelRequest was sent for it.
      unresettable: Whether a statement left what no reset removes.
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
        """Tells the owner that the socket is closed."""
        if self.on_closed is not None:
            self.on_closed(self)

    def abort(self) -> None:
        """Closes the connection at once."""
        self.channel.abort()

    async def close(self) -> None:
        """Says goodbye to the server and waits until it has hung up."""
        await self.channel.close()

    async def cancel(self, deadline: float) -> None:
        """Sends a CancelRequest for the running round.

        The server may act on it late, so no other session gets the connection
        afterwards.

        Raises:
          backend_errors.BackendLostError: The server was not reached.
          backend_errors.BackendTimeoutError: It was silent until `deadline`.
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

        A position query drops the unnamed portal, so it belongs behind what
        ends a transaction. It is left out of a round that ends in a Flush.

        Args:
          steps: The messages, statement names already replaced.
          prepared: Every statement that the steps use.
          settings: The session's settings, all of them.
          sink: Gets the caller's messages, in batches.
          timeout_s: For how long the server may be silent, in seconds.
          query_position: Whether to ask for the log position right behind.
          may_change_session: Whether the steps may change settings unseen.

        Returns:
          The answer, or why nothing of the round was sent.

        Raises:
          backend_errors.BackendLostError: The connection ended.
          backend_errors.BackendTimeoutError: The server was silent.
          backend_errors.BackendProtocolError: The answer was not the round's.
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
        """Makes sure that the server still answers on this connection.

        Raises:
          backend_errors.ExchangeError: It does not; the connection is closed.
        """
        steps = (work.Step(wire.query(PING_SQL)),)
        in_force = tuple(self.settings.in_force.items())
        answer = await self.run_steps(steps, (), in_force, _no_sink, timeout_s)
        if (
            isinstance(answer, backend_settings.SettingRefused)
            or answer.server_error
        ):
            self.abort()
            raise backend_errors.BackendLostError("a ping was refused")

    def plan_settings(
        self, settings: Sequence[backend_settings.Setting]
    ) -> backend_settings.Change:
        """Returns what puts `settings` in force."""
        if self.batch_open:
            # A query in the middle of a batch would commit its first half.
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
                wire.query(change.sql), answers, _no_sink, timeout_s
            )
        except backend_errors.ExchangeError as error:
            # Nothing of the round itself has left.
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
        """Plans a round against the statements that exist here."""
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
        """Puts a change of settings and a position query around a plan."""
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
        """Takes over what a round did to the connection's state."""
        self.status = answers.status
        if answers.synced:
            self.skipping = False
        self.skipping = self.skipping or answers.skipping
        if has_steps:
            self.batch_open = not answers.synced
        if answers.settings_changed:
            self.settings.reset_needed = True
        self.unresettable = self.unresettable or answers.unresettable


async def _no_sink(data: bytes) -> None:
    raise exceptions.ProtocolError("an answer came where none was asked for")
