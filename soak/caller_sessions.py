"""One session of a caller: sends statements and notes what was answered."""

import asyncio
import collections
from typing import NamedTuple

from soak import records
from soak.drawing import LINE_END, Operation, Prepared

HOST = "127.0.0.1"
LIMIT_BYTES = 1024 * 1024 + 2
PIECE_PAUSE_S = 0.002
MAX_PIECES = 4


class Endpoint(NamedTuple):
    """What a session connects to, and as whom."""

    instance: str
    port: int
    database: str
    key: str


class Statement(NamedTuple):
    """A statement that is to be sent.

    Attributes:
      number: Its request id.
      text: Its text.
      attempt: The attempt at an operation that it belongs to.
      transaction: The caller's transaction, or records.NO_TRANSACTION.
      prepared: What it prepares or executes, if anything.
    """

    number: str
    text: bytes
    attempt: int
    transaction: int
    prepared: Prepared | None = None

    @property
    def verb(self) -> str:
        """Its first word."""
        return self.text.partition(b" ")[0].decode()

    @property
    def writes(self) -> bool:
        """Whether it writes."""
        if self.verb == "EXECUTE" and self.prepared is not None:
            return self.prepared.writes
        return self.verb == "WRITE"


class LostError(Exception):
    """The connection ended, or an answer didn't come in time."""


class Caller:
    """A session.

    Attributes:
      endpoint: What it is connected to.
      name: The session's name in what is noted.
      log: What all sessions noted, by request id.
      values: The values that were acknowledged.
      prepared: The prepared statements that were acknowledged, by name.
      outstanding: The statements that are not answered yet.
      state: The state that the last READY told.
      unfinished: An operation to try again on another session, after this one
        was lost; None if there is none.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        name: str,
        log: dict[str, records.Asked],
    ):
        self.endpoint = endpoint
        self.reader = reader
        self.writer = writer
        self.name = name
        self.log = log
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, Prepared] = {}
        self.outstanding: collections.deque[Statement] = collections.deque()
        self.state = "I"
        self.unfinished: Operation | None = None

    async def read_line(self) -> bytes:
        """Returns the next line.

        Raises:
          LostError: The connection ended.
        """
        try:
            line = await self.reader.readuntil(LINE_END)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise LostError(repr(error)) from error
        return line[: -len(LINE_END)]

    async def send(
        self, statements: list[Statement], is_in_pieces: bool = False
    ) -> None:
        """Sends statements in one write, or in several pieces.

        Raises:
          LostError: The connection ended.
        """
        data = bytearray()
        for statement in statements:
            self._note(statement)
            data += b"QUERY " + statement.number.encode() + b" "
            data += statement.text + LINE_END
        size = len(data)
        if is_in_pieces:
            size = max(1, len(data) // MAX_PIECES)
        try:
            for start in range(0, len(data), size):
                self.writer.write(bytes(data[start : start + size]))
                if start + size < len(data):
                    await asyncio.sleep(PIECE_PAUSE_S)
            await self.writer.drain()
        except ConnectionError as error:
            raise LostError(repr(error)) from error

    async def receive(self) -> str:
        """Waits for the answer to the first outstanding statement.

        Returns:
          The code of its error, or "".

        Raises:
          LostError: The connection ended.
        """
        code = ""
        proof = ""
        rows = []
        while True:
            word, _, rest = (await self.read_line()).partition(b" ")
            if word == b"ROW":
                rows.append(rest)
            if word == b"COMPLETE":
                proof = rest.decode()
            if word == b"ERROR":
                code = rest.split(b" ")[0].decode()
            if word == b"READY":
                break
        self.state = rest.split(b" ")[0].decode()
        statement = self.outstanding.popleft()
        self._note_answer(statement, code, proof, rows)
        if not code:
            self._acknowledge(statement)
        return code

    async def ask(self, statement: Statement, is_in_pieces: bool) -> str:
        """Sends a statement; returns the code of its error, or "".

        Raises:
          LostError: The connection ended.
        """
        await self.send([statement], is_in_pieces)
        return await self.receive()

    def close(self) -> None:
        """Ends the session."""
        if not self.outstanding:
            self.writer.write(b"TERMINATE" + LINE_END)
        self.writer.close()

    def _note(self, statement: Statement) -> None:
        """Notes a statement as sent."""
        self.outstanding.append(statement)
        text = records.remove_name(statement.text)
        self.log[statement.number] = records.Asked(
            statement.number,
            self.name,
            statement.attempt,
            statement.transaction,
            statement.verb,
            statement.writes,
            records.make_digest(text),
            records.shorten(statement.text),
        )

    def _note_answer(
        self, statement: Statement, code: str, proof: str, rows: list[bytes]
    ) -> None:
        """Notes an answer and the state that was acknowledged before it."""
        shape = ""
        if statement.verb == "EXECUTE" and statement.prepared is not None:
            found = self.prepared.get(statement.prepared.name)
            if found is not None:
                shape = records.digest_shape(found.writes, found.shape)
        self.log[statement.number] = self.log[statement.number]._replace(
            values=records.digest_values(self.values),
            shape=shape,
            code=code,
            proof=proof,
            rows=records.digest_all(rows),
        )

    def _acknowledge(self, statement: Statement) -> None:
        """Keeps what the success of a statement changes in the session."""
        if statement.verb == "SET":
            _, name, value = statement.text.split(b" ", 2)
            self.values[name] = value
        if statement.prepared is None:
            return
        if statement.verb == "PREPARE":
            self.prepared[statement.prepared.name] = statement.prepared
        if statement.verb == "DEALLOCATE":
            self.prepared.pop(statement.prepared.name, None)
