"""Matches the messages of a backend server to the answers a round expects.

The caller's answers are passed on in order, byte for byte; answers to queries
of the daemon itself are consumed. Nothing here does I/O.
"""

from collections import deque
from collections.abc import Collection, Iterable

from cuminwall import backend_plan, exceptions, probes, wire
from cuminwall.backend_plan import Answer, Pending, Purpose

# A smaller answer is passed on as a whole, at the end of its round.
KEEP_BYTES = 64 * 1024
# Once more than this is withheld, further notices are dropped.
MAX_HELD_BYTES = 4 * 1024 * 1024

_ALLOWED_TAGS = {
    Answer.PARSE_COMPLETE: frozenset({b"1"}),
    Answer.BIND_COMPLETE: frozenset({b"2"}),
    Answer.CLOSE_COMPLETE: frozenset({b"3"}),
    Answer.PARAMETERS: frozenset({b"t"}),
    Answer.ROW_SHAPE: frozenset({b"T", b"n"}),
    Answer.EXECUTION: frozenset({b"D", b"H", b"d", b"c", b"C", b"I", b"s"}),
    Answer.READY: frozenset({b"Z"}),
    Answer.QUERY: frozenset({b"T", b"D", b"H", b"d", b"c", b"C", b"I", b"Z"}),
}
_FINAL_TAGS = frozenset({b"1", b"2", b"3", b"t", b"n", b"I", b"s", b"C", b"Z"})
_COMPLETION_TAGS = frozenset({b"C", b"I", b"s"})
# Only output of another statement shows that a completion was not the last.
_OUTPUT_TAGS = frozenset({b"D", b"H", b"d"})

# Errors that show that a prepared statement is outdated or missing.
_STALE_STATES = frozenset({"0A000", "26000", "42P05"})
_FATAL_SEVERITIES = frozenset({"FATAL", "PANIC"})

_SETTING_TAGS = frozenset({b"SET\0", b"RESET\0"})
_UNPREPARING_TAGS = frozenset({b"DISCARD ALL\0", b"DEALLOCATE ALL\0"})
# Their effect survives every reset that keeps the prepared statements.
_UNRESETTABLE_TAGS = frozenset({b"LISTEN\0", b"PREPARE\0", b"LOAD\0"})


class Answers:
    """Collects the answers of one round.

    Attributes:
      pending: The answers still to come.
      statements: The connection's statements, updated as answers arrive.
      status: The transaction status of the last ReadyForQuery.
      skipping: Whether the server discards everything up to a Sync.
      synced: Whether a ReadyForQuery came.
      ready: The caller's messages that may be passed to the sink.
      held: The last completion and what follows it, not passed on yet.
      streaming: Whether the answer has exceeded KEEP_BYTES, so that it is
        passed on as it arrives.
      server_error: The fields of the last error in the round, or None.
      setting_error: The fields of an error in a settings change, or None.
      fatal: The fields of the message that ended the connection, or None.
      position: The answer to a position query, or None.
      settings_changed: Whether a statement changed a session setting.
      lasting: Whether a statement left state that no reset removes.
    """

    def __init__(
        self,
        pending: Iterable[Pending],
        statements: backend_plan.Statements,
        status: bytes,
        used: Collection[str] = (),
    ):
        self.pending = deque(pending)
        self.statements = statements
        self.status = status
        self.used = used
        self.skipping = False
        self.synced = False
        self.ready: list[bytes] = []
        self.ready_bytes = 0
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.streaming = False
        self.server_error: dict[str, str] | None = None
        self.setting_error: dict[str, str] | None = None
        self.fatal: dict[str, str] | None = None
        self.position: probes.ProbeAnswer | None = None
        self.settings_changed = False
        self.lasting = False
        self.give_local()

    @property
    def done(self) -> bool:
        """Whether every expected answer has come."""
        return not self.pending

    def take_ready(self) -> bytes:
        """Removes and returns what may be passed to the sink now."""
        data = b"".join(self.ready)
        self.ready.clear()
        self.ready_bytes = 0
        return data

    def take_tail(self) -> bytes:
        """Removes and returns all that was not passed to the sink, in order."""
        data = b"".join(self.ready) + b"".join(self.held)
        self.ready.clear()
        self.held.clear()
        self.ready_bytes = self.held_bytes = 0
        return data

    def accept(self, message: wire.Message) -> None:
        """Handles a message of the server.

        Raises:
          exceptions.ProtocolError: It is not part of an expected answer.
          exceptions.ConnectionLostError: The server closes the connection.
        """
        tag = message.tag
        if tag == b"S":
            return
        if tag == b"N":
            self.accept_notice(message)
            return
        if tag == b"E":
            self.accept_error(message)
            return
        if not self.pending:
            raise exceptions.ProtocolError(f"unexpected message {tag!r}")
        head = self.pending[0]
        if tag not in _ALLOWED_TAGS[head.answer]:
            raise exceptions.ProtocolError(
                f"message {tag!r} received, expected {head.answer.name}"
            )
        if head.purpose is Purpose.CALLER:
            self.accept_caller(message)
        elif head.purpose is Purpose.POSITION and tag == b"D":
            row = wire.read_data_row(message.payload)
            self.position = probes.parse_answer(row)
        if tag in _FINAL_TAGS or head.answer is Answer.ROW_SHAPE:
            self.finish(head, message)

    def accept_caller(self, message: wire.Message) -> None:
        """Adds a message to the caller's answer, except ReadyForQuery."""
        if message.tag == b"Z":
            return
        if message.tag == b"C":
            self.note_command(message.payload)
        self.emit(message.tag, message.encode())

    def finish(self, head: Pending, message: wire.Message) -> None:
        """Completes the answer `head` if `message` is its last one."""
        if head.answer is Answer.QUERY and message.tag != b"Z":
            return
        self.pending.popleft()
        if message.tag == b"Z":
            self.status = message.payload
            self.synced = True
        elif head.answer is Answer.PARSE_COMPLETE and head.statement:
            self.statements.add(head.statement)
        elif head.answer is Answer.CLOSE_COMPLETE and head.statement:
            self.statements.discard(head.statement)
        self.give_local()

    def accept_notice(self, message: wire.Message) -> None:
        """Passes a notice on, unless it belongs to a query of the daemon."""
        if self.pending and self.pending[0].purpose is not Purpose.CALLER:
            return
        if self.held_bytes > MAX_HELD_BYTES:
            return
        self.emit(message.tag, message.encode())

    def accept_error(self, message: wire.Message) -> None:
        """Records an error and drops the answers skipped because of it."""
        fields = wire.read_error_fields(message.payload)
        if fields.get("V", fields.get("S")) in _FATAL_SEVERITIES:
            self.fatal = fields
            raise exceptions.ConnectionLostError(
                f"the server closed the connection: {fields.get('M', '')}"
            )
        if not self.pending:
            raise exceptions.ProtocolError("unexpected message b'E'")
        head = self.pending[0]
        if head.purpose is Purpose.SETTINGS_BEFORE:
            # The round sent after it runs under the wrong settings.
            raise exceptions.ProtocolError(
                "the server refused settings that it accepted before"
            )
        if head.purpose is Purpose.SETTINGS:
            self.setting_error = fields
        elif head.purpose is not Purpose.POSITION:
            self.server_error = fields
            self.emit(message.tag, message.encode())
        if fields.get("C") in _STALE_STATES:
            self.statements.mark_stale(self.used)
        if head.answer is not Answer.QUERY:
            self.skip_to_sync()

    def skip_to_sync(self) -> None:
        """Drops the answers that the server skips after an error."""
        while self.pending and self.pending[0].answer is not Answer.READY:
            self.pending.popleft()
        if not self.pending:
            self.skipping = True

    def give_local(self) -> None:
        """Emits the next answers that the server does not send itself."""
        while self.pending and self.pending[0].answer is Answer.LOCAL:
            message = self.pending.popleft().message
            self.emit(message[:1], message)

    def emit(self, tag: bytes, data: bytes) -> None:
        """Adds a message for the caller, withheld from a completion on."""
        if tag in _COMPLETION_TAGS:
            self.release()
            self.hold(data)
            return
        if self.held and tag in _OUTPUT_TAGS:
            self.release()
        if self.held:
            self.hold(data)
            return
        self.ready.append(data)
        self.count_ready(len(data))

    def hold(self, data: bytes) -> None:
        """Withholds a message from the sink."""
        self.held.append(data)
        self.held_bytes += len(data)

    def release(self) -> None:
        """Makes the withheld messages ready for the sink."""
        self.ready += self.held
        self.count_ready(self.held_bytes)
        self.held.clear()
        self.held_bytes = 0

    def count_ready(self, size: int) -> None:
        """Counts ready bytes; above KEEP_BYTES the answer is streamed."""
        self.ready_bytes += size
        if self.ready_bytes > KEEP_BYTES:
            self.streaming = True

    def note_command(self, payload: bytes) -> None:
        """Records the effect of a statement on the session's state."""
        if payload in _SETTING_TAGS:
            self.settings_changed = True
        elif payload in _UNPREPARING_TAGS:
            self.statements.clear()
            self.settings_changed = True
        elif payload == b"DEALLOCATE\0":
            self.statements.mark_stale(list(self.statements.names))
        elif payload in _UNRESETTABLE_TAGS:
            self.lasting = True
