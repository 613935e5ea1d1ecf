"""Connections to a backend server: the line protocol that instances speak."""

import asyncio
import collections
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from soak import records, requests
from soak.session_state import ConnectionState
from soak.statement_faults import Fault

if TYPE_CHECKING:
    from soak import servers

LINE_END = b"\r\n"
HANDSHAKE_S = 0.012
# How long statements take, in seconds.
WORK_S = {"p": 0.006, "b": 0.03, "o": 0.018}
DEFAULT_WORK_S = 0.006
SLOTS = 3
MAX_ROWS = 2
MAX_LINE_BYTES = 1024 * 1024  # Without the line end.
CONTROL_VERBS = (b"STATUS", b"STEPDOWN", b"PAUSE", b"RESUME")
STATEMENT_VERBS = (b"READ", b"WRITE", b"EXECUTE", b"COMMIT")


class Session(asyncio.Protocol):
    """A connection to a backend server.

    Attributes:
      state: Its values, prepared statements and transaction.
      inbox: The lines that wait for the one at work.
      has_crashed: Whether its server crashed, so that nothing runs any more.
    """

    def __init__(self, server: "servers.Server"):
        self.server = server
        self.state = ConnectionState(server.records)
        self.received = bytearray()
        self.transport: asyncio.Transport | None = None
        self.inbox: collections.deque[bytes] = collections.deque()
        self.is_at_work = False
        self.has_crashed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Rolls back, unless a commit is at work."""
        self.transport = None
        self.server.sessions.discard(self)
        if not self.is_at_work:
            self.state.end()

    def data_received(self, data: bytes) -> None:
        """Handles the lines that have arrived."""
        self.received += data
        if LINE_END not in data and self.received[-2:] != LINE_END:
            return
        *lines, rest = bytes(self.received).split(LINE_END)
        self.received = bytearray(rest)
        for line in lines:
            if len(line) > MAX_LINE_BYTES:
                self.server.records.oversized.append(len(line))
            self.inbox.append(line)
        self._continue()

    def _continue(self) -> None:
        """Handles the lines that wait, until one of them takes time."""
        while self.inbox and not self.is_at_work and self.transport:
            self._handle(self.inbox.popleft())

    def _handle(self, line: bytes) -> None:
        word, _, rest = line.partition(b" ")
        if word == b"STARTUP":
            self._open(rest.decode().split(" "))
        elif word == b"TERMINATE":
            self.close()
        else:
            number, _, text = rest.partition(b" ")
            self._run(number.decode(errors="replace"), text)

    def _open(self, fields: list[str]) -> None:
        server = self.server
        is_other = len(fields) > 2 and fields[2] != server.name
        if fields[0] != server.service or is_other:
            self._refuse("MISROUTED")
            return
        if len(server.sessions) >= server.max_connections:
            server.refused += 1
            self._refuse("TOOMANY")
            return
        server.sessions.add(self)
        self._work(HANDSHAKE_S, self._send_ready)

    def _refuse(self, code: str) -> None:
        self._send(f"ERROR {code} {self.server.name}".encode())
        self.close()

    def close(self) -> None:
        """Ends the connection."""
        if self.transport is not None:
            self.transport.close()

    def _run(self, number: str, text: bytes) -> None:
        """Runs a statement."""
        verb, _, tail = text.partition(b" ")
        if verb == b"AFTER":
            least, _, text = tail.partition(b" ")
            verb, _, tail = text.partition(b" ")
            term, _, count = least.partition(b".")
            if self.server.position < records.Position(int(term), int(count)):
                self._fail("LAGGING")
                return
        if verb in CONTROL_VERBS:
            self._control(verb, tail)
        elif verb == b"ROLLBACK":
            self.state.end()
            self._complete([])
        elif self.state.phase == "E":
            self._refuse_failed(verb)
        elif verb in STATEMENT_VERBS:
            self._start(number, verb, text, tail)
        elif verb == b"BEGIN":
            self._begin(tail != b"READ")
        else:
            self._change_state(verb, tail)

    def _control(self, verb: bytes, tail: bytes) -> None:
        """Runs a statement that concerns the server."""
        server = self.server
        if verb == b"STATUS":
            self._work(0.0005, self._tell_status)
            return
        if verb == b"STEPDOWN" and server.role == records.PRIMARY:
            if int(tail) > server.position.term:
                server.role = records.REPLICA
                server.register()
        self._tell_status()

    def _refuse_failed(self, verb: bytes) -> None:
        """Refuses a statement in a failed transaction, which COMMIT ends."""
        if verb == b"COMMIT":
            self.state.end()
            self._fail("ABORTED")
            return
        self._fail("MALFORMED")

    def _change_state(self, verb: bytes, tail: bytes) -> None:
        """Runs a statement that changes what the connection keeps."""
        if verb == b"RESET":
            self.state.reset()
        elif verb == b"SET":
            self.state.assign(tail)
        elif verb == b"PREPARE":
            self.state.prepare(tail)
        elif verb == b"DEALLOCATE" and tail in self.state.prepared:
            del self.state.prepared[tail]
        else:
            self._fail("MALFORMED")
            return
        self._complete([])

    def _begin(self, may_write: bool) -> None:
        """Begins a transaction."""
        if self.state.phase != "I":
            self._fail("MALFORMED")
            return
        if may_write and self.server.role != records.PRIMARY:
            self._fail("READONLY")
            return
        self.state.begin(may_write)
        self._complete([])

    def _start(
        self, number: str, verb: bytes, text: bytes, tail: bytes
    ) -> None:
        """Starts a read, write or commit."""
        writes = verb == b"WRITE"
        shape = ""
        item = tail
        if verb == b"EXECUTE":
            name, _, item = tail.partition(b" ")
            prepared = self.state.prepared.get(name)
            if prepared is None:
                self._fail("NOSTMT")
                return
            writes = prepared.writes
            shape = records.digest_shape(writes, prepared.shape)
        if self._is_read_only(verb, writes):
            self._fail("READONLY")
            return
        run = records.Run(
            number,
            self.server.name,
            self.state.number,
            self.state.transaction,
            records.make_digest(records.remove_name(text)),
            records.shorten(text),
            writes,
            records.digest_values(self.state.values),
            shape,
            "",
            "",
        )
        item_text = item.split(b" ")[0].decode(errors="replace")
        self._work(
            self._choose_work_s(item_text),
            lambda: self._finish(run, verb, item_text),
        )

    def _is_read_only(self, verb: bytes, writes: bool) -> bool:
        """Returns whether a statement may not run here."""
        state = self.state
        is_primary = self.server.role == records.PRIMARY
        if state.phase == "I":
            return writes and not is_primary
        if not state.may_write:
            return writes
        if verb == b"COMMIT" and not state.writes:
            return False
        return not is_primary

    def _choose_work_s(self, item: str) -> float:
        """Returns how long a read, write or commit takes."""
        mean_s = DEFAULT_WORK_S
        fields = item.split("/")
        if len(fields) > 1:
            mean_s = WORK_S.get(fields[1][:1], DEFAULT_WORK_S)
        return mean_s * self.server.rng.uniform(0.5, 1.5)

    def _work(self, work_s: float, done: Callable[[], None]) -> None:
        """Occupies a slot, then calls back."""

        def finish() -> None:
            self.is_at_work = False
            done()
            if self.transport is None:
                self.state.end()
            self._continue()

        self.is_at_work = True
        if not self.server.occupy(work_s, finish):
            self.is_at_work = False
            self._fail("BUSY")

    def _finish(self, run: records.Run, verb: bytes, item: str) -> None:
        """Ends a read, write or commit after its work.

        It runs even if the connection has ended meanwhile.
        """
        server = self.server
        if server.is_down or self.has_crashed:
            return
        if self._is_read_only(verb, run.writes):
            self._fail("READONLY")
            return
        fault = server.choose_fault()
        if fault is Fault.BEFORE:
            self.break_off()
            return
        rows = self._make_rows() if self._gives_rows(verb, run) else []
        run = run._replace(
            proof=self._make_proof(), rows=records.digest_all(rows)
        )
        server.records.runs.append(run)
        if verb != b"COMMIT":
            server.ran += 1
            server.on_run(server.service, requests.decode(item))
        if fault is Fault.FAILURE:
            self._end_failed(verb)
            return
        self._take_effect(run, verb)
        if fault is Fault.AFTER:
            self.break_off()
        elif fault is Fault.SILENCE:
            self.transport, silent = None, self.transport
            server.silent.append(silent)
        elif fault is Fault.CUT:
            self._send(b"COMPLETE " + run.proof.encode())
            self.break_off()
        else:
            self._complete(rows, run.proof)

    def _end_failed(self, verb: bytes) -> None:
        """Ends a statement that ran without effect."""
        if verb == b"COMMIT":
            self.state.end()
        self._fail("FAILED")

    def _gives_rows(self, verb: bytes, run: records.Run) -> bool:
        return verb != b"COMMIT" and not run.writes

    def _take_effect(self, run: records.Run, verb: bytes) -> None:
        """Commits a statement, or keeps it for the COMMIT."""
        state = self.state
        if verb == b"COMMIT":
            if state.writes:
                self.server.commit(run.number, tuple(state.writes))
            state.end()
        elif not run.writes:
            return
        elif state.phase == "T":
            state.writes.append(run)
        else:
            self.server.commit(run.number, (run,))

    def _make_rows(self) -> list[bytes]:
        """Returns rows with bytes of any kind."""
        rows = []
        for _ in range(self.server.rng.randint(0, MAX_ROWS)):
            rows.append(self.server.drawing.draw_text())
        return rows

    def break_off(self) -> None:
        """Ends the connection without an answer; rolls back."""
        if self.transport is not None:
            self.transport.close()
        self.transport = None
        self.server.sessions.discard(self)
        self.state.end()

    def _make_proof(self) -> str:
        return f"{self.server.name}.{time.monotonic_ns():x}"

    def _tell_status(self) -> None:
        server = self.server
        term, number = server.position
        row = (
            f"{server.role} {term} {term}.{number} 0 0"
            f" {SLOTS - server.free_slots} {len(server.sessions)}"
        )
        self._complete([row.encode()])

    def _complete(self, rows: list[bytes], proof: str = "-") -> None:
        for row in rows:
            self._send(b"ROW " + row)
        self._send(f"COMPLETE {proof}".encode())
        self._send_ready()

    def _fail(self, code: str) -> None:
        if self.state.phase == "T":
            self.state.phase = "E"
        self._send(f"ERROR {code} {self.server.name}".encode())
        self._send_ready()

    def _send_ready(self) -> None:
        term, number = self.server.position
        self._send(f"READY {self.state.phase} {term}.{number}".encode())

    def _send(self, line: bytes) -> None:
        if self.transport is not None:
            self.transport.write(line + LINE_END)
