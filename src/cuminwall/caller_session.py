"""The part of a caller's connection after its login: rounds, in order."""

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
      connection: The connection it serves.
      rounds: Cuts the messages into rounds.
      session: The session's number on the serving side.
      framer: Cuts the bytes into messages.
      queue: Messages not yet taken into a round, or None.
      queued_bytes: Their size.
      task: Runs rounds; None while the session waits for messages.
      pending_failure: Why the session ends once what came before is answered.
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
        """Takes bytes of the caller."""
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
        """Ends the session once the rounds before are answered."""
        self.pending_failure = (failure, detail)
        self.connection.pause_reading()
        self.process_queue()

    def process_queue(self) -> None:
        """Takes queued messages until a round must be run."""
        if self.task is None and not self.connection.closing:
            cut = self._next_cut()
            if cut is not None:
                self.task = asyncio.create_task(self._work(cut))
        self._balance()

    def _balance(self) -> None:
        """Pauses reading while much is queued, and resumes it."""
        if self.pending_failure is not None:
            return
        limits = self.connection.front_end.limits
        if self.queued_bytes > limits.pause_bytes:
            self.connection.pause_reading()
        elif self.queued_bytes <= limits.pause_bytes // 2:
            self.connection.resume_reading()

    def _next_cut(self) -> rounds.RoundReady | rounds.Refused | None:
        """Returns what needs the serving side next; answers the rest."""
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
                cut = self.rounds.add(message)
            except exceptions.ProtocolError as error:
                connection.fail(outcomes.PROTOCOL_VIOLATION, str(error))
                return None
            if isinstance(cut, rounds.RoundReady):
                return cut
            if isinstance(cut, rounds.LocalAnswer):
                self._answer_locally(cut)
            elif isinstance(cut, rounds.Refused):
                if cut.sync_round is not None:
                    return cut
                self._answer_refused(cut)
        self.queue = None
        if not connection.closing:
            self._end_if_due()
        return None

    def _end_if_due(self) -> None:
        """Ends the session if it is broken, or idle while draining."""
        if self.pending_failure is not None:
            self.connection.fail(*self.pending_failure)
            return
        if self.connection.front_end.draining and self.is_idle():
            self.connection.start_draining()

    def is_idle(self) -> bool:
        """Returns whether nothing of the session is under way."""
        return (
            self.task is None
            and not self.queue
            and self.rounds.status == _IDLE
            and not self.rounds.unsynced
        )

    def _answer_locally(self, cut: rounds.LocalAnswer) -> None:
        connection = self.connection
        if cut.token:
            failure = connection.front_end.port.add_token(
                self.session, cut.token
            )
            if failure is not None:
                self._answer_refused(rounds.Refused(failure, "", cut.synced))
                return
        connection.write(cut.data + self._ready(cut.synced))

    def _answer_refused(self, cut: rounds.Refused) -> None:
        connection = self.connection
        logger.info(
            "caller: session {} was refused a round, {} {!r}",
            self.session,
            cut.failure.reason,
            cut.detail,
        )
        if cut.failure.fatal:
            connection.fail(cut.failure, cut.detail)
            return
        error = encode_failure(cut.failure, cut.detail)
        connection.write(error + self._ready(cut.synced))

    def _ready(self, synced: bool) -> bytes:
        if not synced:
            return b""
        return wire.ready_for_query(self.rounds.status)

    async def _work(self, cut: rounds.RoundReady | rounds.Refused) -> None:
        """Runs rounds until no whole one is queued."""
        connection = self.connection
        following: rounds.RoundReady | rounds.Refused | None = cut
        try:
            while following is not None and not connection.closing:
                await self._carry(following)
                await connection.drain()
                following = self._next_cut()
                self._balance()
        except Exception:
            logger.exception("caller: session {} failed", self.session)
            connection.fail(outcomes.INTERNAL_ERROR)
        finally:
            self.task = None
            connection.end_lost_session()
        if not connection.closing and not self.queue:
            self._end_if_due()

    async def _carry(self, cut: rounds.RoundReady | rounds.Refused) -> None:
        if isinstance(cut, rounds.RoundReady):
            await self._run(cut)
            return
        assert cut.sync_round is not None
        self.connection.write(encode_failure(cut.failure, cut.detail))
        await self._run(cut.sync_round)

    async def _run(self, ready: rounds.RoundReady) -> None:
        """Runs one round on the serving side and answers it."""
        connection = self.connection
        port = connection.front_end.port
        if ready.token:
            failure = port.add_token(self.session, ready.token)
            if failure is not None:
                self.rounds.abandon(ready)
                refused = rounds.Refused(failure, "", ready.synced)
                self._answer_refused(refused)
                return
        seen = answers.AnswerReader(ready.drops_warning)

        async def sink(data: bytes) -> None:
            if ready.reads_answer:
                data = seen.feed(data)
            connection.write(data)
            if connection.is_write_paused():
                await connection.drain()

        end = await port.run(self.session, ready.round_, sink)
        reported = self.rounds.finish(ready, seen, end)
        parts = []
        for name, value in reported.items():
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
        connection.write(answer + self._ready(ready.synced))


def _size(message: wire.Message) -> int:
    return len(message.payload) + rounds.MESSAGE_OVERHEAD_BYTES


def encode_failure(failure: outcomes.Failure, detail: str = "") -> bytes:
    """Returns the ErrorResponse for `failure`."""
    severity = "FATAL" if failure.fatal else "ERROR"
    return wire.error_response(
        failure.sqlstate, failure.message, severity, detail.replace("\0", " ")
    )
