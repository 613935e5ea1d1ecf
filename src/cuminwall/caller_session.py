"""The session phase of a caller's connection: runs its rounds in order."""

import asyncio
import collections
from typing import TYPE_CHECKING

from loguru import logger

from cuminwall import answers, exceptions, outcomes, rounds, wire
from cuminwall.session_rounds import SessionRounds

if TYPE_CHECKING:
    from cuminwall import caller_connection

_TERMINATE_TAG = b"X"
_IDLE = b"I"


class SessionPhase:
    """Runs a caller's rounds one at a time.

    Attributes:
      connection: The connection.
      rounds: Groups the messages into rounds.
      session: The session's number on the serving side.
      framer: Splits the bytes into messages.
      queue: Messages that are not part of a round yet, or None if empty.
      queued_bytes: The size of the queued messages.
      task: Runs rounds; None while the session waits for messages.
      pending_failure: The failure with which to end the session after the
        queued messages are answered, or None.
    """

    __slots__ = (
        "pending_failure",
        "connection",
        "framer",
        "queue",
        "queued_bytes",
        "rounds",
        "session",
        "task",
    )

    def __init__(
        self,
        connection: "caller_connection.CallerConnection",
        session_rounds: SessionRounds,
        session: int,
    ):
        self.connection = connection
        self.rounds = session_rounds
        self.session = session
        self.framer = wire.Framer(session_rounds.limits.round_bytes)
        self.queue: collections.deque[wire.Message] | None = None
        self.queued_bytes = 0
        self.task: asyncio.Task[None] | None = None
        self.pending_failure: tuple[outcomes.Failure, str] | None = None

    def receive(self, data: bytes) -> None:
        """Handles bytes from the caller."""
        if self.pending_failure is not None:
            return
        try:
            messages = self.framer.feed(data)
        except exceptions.ProtocolError as error:
            self.fail_after_queue(outcomes.PROTOCOL_VIOLATION, str(error))
            return
        if messages:
            if self.queue is None:
                self.queue = collections.deque()
            for message in messages:
                self.queue.append(message)
                self.queued_bytes += _size(message)
        self.connection.update_message_timer(
            bool(messages), bool(self.framer.buffer)
        )
        self.process_queue()

    def fail_after_queue(self, failure: outcomes.Failure, detail: str) -> None:
        """Ends the session once the queued messages are answered."""
        self.pending_failure = (failure, detail)
        self.connection.pause_reading()
        self.process_queue()

    def process_queue(self) -> None:
        """Handles queued messages and starts the next round, if any."""
        if self.task is None and not self.connection.closing:
            action = self._next_action()
            if action is not None:
                self.task = asyncio.create_task(self._run_queued(action))
        self._update_reading()

    def _update_reading(self) -> None:
        """Pauses or resumes reading, depending on the size of the queue."""
        if self.pending_failure is not None:
            return
        limits = self.connection.front_end.limits
        if self.queued_bytes > limits.pause_bytes:
            self.connection.pause_reading()
        elif self.queued_bytes <= limits.pause_bytes // 2:
            self.connection.resume_reading()

    def _next_action(self) -> rounds.RoundReady | rounds.Refused | None:
        """Returns the next action that needs the serving side, if any.

        Messages before it that do not need the serving side are answered.
        """
        connection = self.connection
        while self.queue and not connection.closing:
            if connection.is_write_paused():
                return None
            message = self.queue.popleft()
            self.queued_bytes -= _size(message)
            if message.tag == _TERMINATE_TAG:
                connection.close()
                return None
            try:
                action = self.rounds.add(message)
            except exceptions.ProtocolError as error:
                connection.fail(outcomes.PROTOCOL_VIOLATION, str(error))
                return None
            if isinstance(action, rounds.RoundReady):
                return action
            if isinstance(action, rounds.LocalAnswer):
                self._answer_locally(action)
            elif isinstance(action, rounds.Refused):
                if action.sync_round is not None:
                    return action
                self._answer_refused(action)
        self.queue = None
        if not connection.closing:
            self._end_if_needed()
        return None

    def _end_if_needed(self) -> None:
        """Ends the session if it has failed, or is idle while draining."""
        if self.pending_failure is not None:
            self.connection.fail(*self.pending_failure)
            return
        if self.connection.front_end.draining and self.is_idle():
            self.connection.start_draining()

    def is_idle(self) -> bool:
        """Returns whether no round, message or transaction is in progress."""
        return (
            self.task is None
            and not self.queue
            and self.rounds.status == _IDLE
            and not self.rounds.unsynced
        )

    def _answer_locally(self, action: rounds.LocalAnswer) -> None:
        connection = self.connection
        if action.token:
            failure = connection.front_end.port.add_token(
                self.session, action.token
            )
            if failure is not None:
                self._answer_refused(rounds.Refused(failure, "", action.synced))
                return
        connection.write(action.data + self._encode_ready(action.synced))

    def _answer_refused(self, action: rounds.Refused) -> None:
        connection = self.connection
        logger.info(
            "caller: refused a round of session {}: {} {!r}",
            self.session,
            action.failure.reason,
            action.detail,
        )
        if action.failure.fatal:
            connection.fail(action.failure, action.detail)
            return
        error = encode_failure(action.failure, action.detail)
        connection.write(error + self._encode_ready(action.synced))

    def _encode_ready(self, synced: bool) -> bytes:
        if not synced:
            return b""
        return wire.ready_for_query(self.rounds.status)

    async def _run_queued(
        self, action: rounds.RoundReady | rounds.Refused
    ) -> None:
        """Runs rounds until no complete round is queued."""
        connection = self.connection
        next_action: rounds.RoundReady | rounds.Refused | None = action
        try:
            while next_action is not None and not connection.closing:
                await self._perform(next_action)
                await connection.drain()
                next_action = self._next_action()
                self._update_reading()
        except Exception:
            logger.exception("caller: session {} failed", self.session)
            connection.fail(outcomes.INTERNAL_ERROR)
        finally:
            self.task = None
            connection.end_lost_session()
        if not connection.closing and not self.queue:
            self._end_if_needed()

    async def _perform(
        self, action: rounds.RoundReady | rounds.Refused
    ) -> None:
        if isinstance(action, rounds.RoundReady):
            await self._run_round(action)
            return
        assert action.sync_round is not None
        self.connection.write(encode_failure(action.failure, action.detail))
        await self._run_round(action.sync_round)

    async def _run_round(self, ready: rounds.RoundReady) -> None:
        """Runs a round on the serving side and sends the rest of its answer."""
        connection = self.connection
        port = connection.front_end.port
        if ready.token:
            failure = port.add_token(self.session, ready.token)
            if failure is not None:
                self.rounds.abandon(ready)
                refused = rounds.Refused(failure, "", ready.synced)
                self._answer_refused(refused)
                return
        reader = answers.AnswerReader(ready.drops_warning)

        async def sink(data: bytes) -> None:
            if ready.reads_answer:
                data = reader.feed(data)
            connection.write(data)
            if connection.is_write_paused():
                await connection.drain()

        end = await port.run(self.session, ready.round_, sink)
        changed_parameters = self.rounds.finish(ready, reader, end)
        parts = []
        for name, value in changed_parameters.items():
            parts.append(wire.parameter_status(name, value))
        if end.token:
            parts.append(wire.parameter_status("cuminwall.session", end.token))
        connection.write(b"".join(parts))
        if end.failure is not None and end.failure.fatal:
            connection.fail(end.failure)
            return
        answer = b""
        if end.failure is not None:
            answer = encode_failure(end.failure)
        connection.write(answer + self._encode_ready(ready.synced))


def _size(message: wire.Message) -> int:
    return len(message.payload) + rounds.MESSAGE_OVERHEAD_BYTES


def encode_failure(failure: outcomes.Failure, detail: str = "") -> bytes:
    """Returns the ErrorResponse for `failure`."""
    severity = "FATAL" if failure.fatal else "ERROR"
    return wire.error_response(
        failure.sqlstate, failure.message, severity, detail.replace("\0", " ")
    )
