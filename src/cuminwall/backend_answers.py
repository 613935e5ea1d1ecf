"""The answers of one round: which are the caller's, and when they are whole.

Messages of a backend server are matched against the answers that a plan
expects. The caller's go out in order, byte for byte; the rest is consumed.
Nothing here does I/O.
"""

from collections import deque
from collections.abc import Collection, Iterable

from cuminwall import backend_plan, exceptions, probes, wire
from cuminwall.backend_plan import AnswerKind, ExpectedAnswer, Purpose

# An answer up to this size is given out whole, at the end of its round.
STREAM_THRESHOLD_BYTES = 64 * 1024
# Notices beyond this size that follow a completion are dropped.
MAX_WITHHELD_BYTES = 4 * 1024 * 1024

_ALLOWED = {
    AnswerKind.PARSE_COMPLETE: frozenset({b"1"}),
    AnswerKind.BIND_COMPLETE: frozenset({b"2"}),
    AnswerKind.CLOSE_COMPLETE: frozenset({b"3"}),
    AnswerKind.PARAMETERS: frozenset({b"t"}),
    AnswerKind.ROW_SHAPE: frozenset({b"T", b"n"}),
    AnswerKind.EXECUTION: frozenset({b"D", b"H", b"d", b"c", b"C", b"I", b"s"}),
    AnswerKind.READY: frozenset({b"Z"}),
    AnswerKind.QUERY: frozenset(
        {b"T", b"D", b"H", b"d", b"c", b"C", b"I", b"Z"}
    ),
}
_LAST = frozenset({b"1", b"2", b"3", b"t", b"n", b"I", b"s", b"C", b"Z"})
_COMPLETIONS = frozenset({b"C", b"I", b"s"})
# Only output of a further statement proves that a completion was not the last.
_OUTPUT = frozenset({b"D", b"H", b"d"})

# Errors that say that a prepared statement does not fit any more.
_STALE_STATES = frozenset({"0A000", "26000", "42P05"})
_FATAL = frozenset({"FATAL", "PANIC"})

_SETTING_TAGS = frozenset({b"SET\0", b"RESET\0"})
_UNPREPARING_TAGS = frozenset({b"DISCARD ALL\0", b"DEALLOCATE ALL\0"})
# What these leave behind outlives every reset that keeps statements.
_LASTING_TAGS = frozenset({b"LISTEN\0", b"PREPARE\0", b"LOAD\0"})


class AnswerCollector:
    """Collects the answers of one round.

    Attributes:
      pending: The answers still to come.
      statements: The connection's statements, kept right as answers arrive.
      status: The transaction status that the server told last.
      skipping: Whether the server discards everything up to a Sync.
      synced: Whether a ReadyForQuery came.
      ready: The caller's messages that may go to the sink.
      withheld: The last completion and what follows it.
      streaming: Whether the answer outgrew KEEP_BYTES.
      server_error: The fields of the caller's last error, or None.
      setting_error: The fields of an error in a change of settings, or None.
      fatal_error: The fields of the message that ended the connection, or None.
      position: The answer to a position query, or None.
      settings_changed: Whether a statement changed a session setting.
      unresettable: Whether a statement left what no reset removes.
    """

    def __init__(
        self,
        pending: Iterable[ExpectedAnswer],
        statements: backend_plan.PreparedStatements,
        status: bytes,
        used: Collection[str] = (),
    ):
        self.pending = deque(pending)
        self.statements = statements
        self.status = status
        self.used_statements = used
        self.skipping = False
        self.synced = False
        self.ready: list[bytes] = []
        self.ready_bytes = 0
        self.withheld: list[bytes] = []
        self.withheld_bytes = 0
        self.streaming = False
        self.server_error: dict[str, str] | None = None
        self.setting_error: dict[str, str] | None = None
        self.fatal_error: dict[str, str] | None = None
        self.position: probes.ProbeAnswer | None = None
        self.settings_changed = False
        self.unresettable = False
        self.emit_local_answers()

    @property
    def done(self) -> bool:
        """Whether every expected answer has come."""
        return not self.pending

    def take_ready(self) -> bytes:
        """Returns what may go to the sink now, and forgets it."""
        data = b"".join(self.ready)
        self.ready.clear()
        self.ready_bytes = 0
        return data

    def take_completion(self) -> bytes:
        """Returns everything not given out, in order, and forgets it."""
        data = b"".join(self.ready) + b"".join(self.withheld)
        self.ready.clear()
        self.withheld.clear()
        self.ready_bytes = self.withheld_bytes = 0
        return data

    def handle_message(self, message: wire.Message) -> None:
        """Matches one message.

        Raises:
          exceptions.ProtocolError: It does not belong to the answer.
          exceptions.ConnectionLostError: The server ends the connection.
        """
        tag = message.tag
        if tag == b"S":
            return
        if tag == b"N":
            self.handle_notice(message)
            return
        if tag == b"E":
            self.handle_error(message)
            return
        if not self.pending:
            raise exceptions.ProtocolError(f"extra message {tag!r}")
        head = self.pending[0]
        if tag not in _ALLOWED[head.kind]:
            raise exceptions.ProtocolError(
                f"message {tag!r} came instead of {head.kind.name}"
            )
        if head.purpose is Purpose.CALLER:
            self.handle_caller_message(message)
        elif head.purpose is Purpose.POSITION and tag == b"D":
            row = wire.read_data_row(message.payload)
            self.position = probes.parse_answer(row)
        if tag in _LAST or head.kind is AnswerKind.ROW_SHAPE:
            self.finish_if_last(head, message)

    def handle_caller_message(self, message: wire.Message) -> None:
        """Gives out a message of the caller's answer."""
        if message.tag == b"Z":
            return
        if message.tag == b"C":
            self.record_command(message.payload)
        self.emit(message.tag, message.encode())

    def finish_if_last(
        self, head: ExpectedAnswer, message: wire.Message
    ) -> None:
        """Ends the answer `head` if `message` is its last one."""
        if head.kind is AnswerKind.QUERY and message.tag != b"Z":
            return
        self.pending.popleft()
        if message.tag == b"Z":
            self.status = message.payload
            self.synced = True
        elif head.kind is AnswerKind.PARSE_COMPLETE and head.statement:
            self.statements.add(head.statement)
        elif head.kind is AnswerKind.CLOSE_COMPLETE and head.statement:
            self.statements.discard(head.statement)
        self.emit_local_answers()

    def handle_notice(self, message: wire.Message) -> None:
        """Passes a notice on, unless it is not about the caller's work."""
        if self.pending and self.pending[0].purpose is not Purpose.CALLER:
            return
        if self.withheld_bytes > MAX_WITHHELD_BYTES:
            return
        self.emit(message.tag, message.encode())

    def handle_error(self, message: wire.Message) -> None:
        """Notes an error and what the server skips because of it."""
        fields = wire.read_error_fields(message.payload)
        if fields.get("V", fields.get("S")) in _FATAL:
            self.fatal_error = fields
            raise exceptions.ConnectionLostError(
                f"the server ended the connection: {fields.get('M', '')}"
            )
        if not self.pending:
            raise exceptions.ProtocolError("extra message b'E'")
        head = self.pending[0]
        if head.purpose is Purpose.SETTINGS_BEFORE:
            # The round behind it runs under the wrong settings.
            raise exceptions.ProtocolError(
                "the server refused settings that it took before"
            )
        if head.purpose is Purpose.SETTINGS:
            self.setting_error = fields
        elif head.purpose is not Purpose.POSITION:
            self.server_error = fields
            self.emit(message.tag, message.encode())
        if fields.get("C") in _STALE_STATES:
            self.statements.mark_stale(self.used_statements)
        if head.kind is not AnswerKind.QUERY:
            self.drop_skipped()

    def drop_skipped(self) -> None:
        """Drops the answers that the server skips after an error."""
        while self.pending and self.pending[0].kind is not AnswerKind.READY:
            self.pending.popleft()
        if not self.pending:
            self.skipping = True

    def emit_local_answers(self) -> None:
        """Gives out the answers whose turn it is and that nobody sends."""
        while self.pending and self.pending[0].kind is AnswerKind.LOCAL:
            message = self.pending.popleft().message
            self.emit(message[:1], message)

    def emit(self, tag: bytes, data: bytes) -> None:
        """Adds a message to what goes out."""
        if tag in _COMPLETIONS:
            self.release_withheld()
            self.withhold(data)
            return
        if self.withheld and tag in _OUTPUT:
            self.release_withheld()
        if self.withheld:
            self.withhold(data)
            return
        self.ready.append(data)
        self.count_ready(len(data))

    def withhold(self, data: bytes) -> None:
        """Withholds a message."""
        self.withheld.append(data)
        self.withheld_bytes += len(data)

    def release_withheld(self) -> None:
        """Lets out what was withheld."""
        self.ready += self.withheld
        self.count_ready(self.withheld_bytes)
        self.withheld.clear()
        self.withheld_bytes = 0

    def count_ready(self, size: int) -> None:
        """Counts bytes that may go out; many of them start streaming."""
        self.ready_bytes += size
        if self.ready_bytes > STREAM_THRESHOLD_BYTES:
            self.streaming = True

    def record_command(self, payload: bytes) -> None:
        """Notes what a statement did to the session's state."""
        if payload in _SETTING_TAGS:
            self.settings_changed = True
        elif payload in _UNPREPARING_TAGS:
            self.statements.clear()
            self.settings_changed = True
        elif payload == b"DEALLOCATE\0":
            self.statements.mark_stale(list(self.statements.names))
        elif payload in _LASTING_TAGS:
            self.unresettable = True
