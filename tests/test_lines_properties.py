"""Properties of the line protocol's codecs: bytes in, bytes out."""

import pathlib
import sys
import unittest
from typing import Any, SupportsIndex

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall.direct import commands, ports, statements
from cuminwall.direct.answers import Answer, Position

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A package named `platform` would clash with the standard library's module.
sys.path.insert(0, str(ROOT / "platform"))

from fleet import line_buffer, lines  # noqa: E402
from tests import naive_lines  # noqa: E402
from tests.test_wire_sessions import (  # noqa: E402
    REFUSED_LINES,
    allowed,
    filled,
    kinds,
    texts,
    words,
)

bounded = settings(
    derandomize=True, deadline=None, database=None, max_examples=300
)
LIMIT = naive_lines.MAX_MESSAGE_BYTES
END = naive_lines.LINE_END
requests = words.filter(lambda word: word != naive_lines.OWN_ID)
positions = st.builds(
    Position, st.integers(0, 1 << 63), st.integers(0, 1 << 63)
)
cuts = st.lists(st.integers(0, 1 << 16), max_size=6)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    """Returns the pieces of bytes."""
    pieces = []
    start = 0
    for end in (*sorted(place % (len(data) + 1) for place in places), None):
        pieces.append(data[start:end])
        start = end or 0
    return pieces


def parse(line: bytes) -> Any:
    """Returns the message of a caller's line."""
    (message,) = lines.CallerLines().feed(line + END)
    return message


def encode(command: Any) -> bytes:
    """Returns the bytes that a server gets."""
    return lines.ServerLines().encode_command(command)


def after(position: Position | None) -> bytes:
    """Returns the prefix for a minimum position."""
    if position is None:
        return b""
    return b"AFTER %d.%d " % position


class StatementTest(unittest.TestCase):
    """A server received other bytes than a caller had sent."""

    @bounded
    @given(requests, allowed, st.none() | positions)
    def test_text(
        self, request: bytes, text: bytes, position: Position | None
    ) -> None:
        statement = parse(b"QUERY " + request + b" " + text)
        sent = encode(commands.Forward(statement, position))
        prefix = after(position)
        self.assertEqual(sent, b"QUERY " + request + b" " + prefix + text + END)

    @bounded
    @given(requests, words, texts, st.none() | positions)
    def test_prepared_name(
        self,
        request: bytes,
        name: bytes,
        arguments: bytes,
        position: Position | None,
    ) -> None:
        for rest in (b"", b" " + arguments):
            line = b"QUERY " + request + b" EXECUTE " + name + rest
            if END in line:
                continue
            command = commands.ForwardExecute(parse(line), "w7", position)
            beginning = b"QUERY " + request + b" " + after(position)
            expected = beginning + b"EXECUTE w7" + rest + END
            self.assertEqual(encode(command), expected)

    @bounded
    @given(words, texts)
    def test_value_that_is_set_again(self, name: bytes, value: bytes) -> None:
        text = b"SET " + name + b" " + value
        statement = parse(b"QUERY 1 " + text)
        command = commands.AssignValue(statement.name, statement.value)
        self.assertEqual(encode(command), b"QUERY - " + text + END)

    @bounded
    @given(words, kinds, texts)
    def test_shape_that_is_prepared_again(
        self, name: bytes, kind: bytes, shape: bytes
    ) -> None:
        definition = kind + b" " + shape
        line = b"QUERY 1 PREPARE " + name + b" " + definition
        statement = parse(line)
        sent = encode(commands.PrepareShape("w7", statement.shape))
        self.assertEqual(sent, b"QUERY - PREPARE w7 " + definition + END)

    @bounded
    @given(requests, filled, filled)
    def test_texts_that_differ_stay_different(
        self, request: bytes, one: bytes, other: bytes
    ) -> None:
        prepared = []
        for shape in (one, other):
            line = b"QUERY " + request + b" PREPARE s READ " + shape
            prepared.append(parse(line).shape)
        self.assertEqual(prepared[0] == prepared[1], one == other)


class PiecesTest(unittest.TestCase):
    """What was received depended on where the bytes had been cut."""

    @bounded
    @given(
        st.lists(
            st.sampled_from(REFUSED_LINES)
            | allowed.map(lambda text: b"QUERY 1 " + text),
            max_size=8,
        ),
        cuts,
    )
    def test_callers_messages(
        self, sent: list[bytes], places: list[int]
    ) -> None:
        data = b"".join(line + END for line in sent)
        codec = lines.CallerLines()
        received: list[ports.CallerMessage] = []
        for piece in cut(data, places):
            received += codec.feed(piece)
        self.assertEqual(received, [parse(line) for line in sent])

    @bounded
    @given(st.lists(texts, max_size=4), filled, positions, cuts)
    def test_rows_and_proof(
        self,
        rows: list[bytes],
        proof: bytes,
        position: Position,
        places: list[int],
    ) -> None:
        data = b""
        for row in rows:
            data += b"ROW " + row + END
        data += b"COMPLETE " + proof + END + b"READY T %d.%d" % position + END
        codec = lines.ServerLines()
        codec.feed(b"READY I -" + END)
        received: list[Any] = []
        for piece in cut(data, places):
            received += codec.feed(piece)
        (answer,) = received
        self.assertIsInstance(answer, Answer)
        self.assertEqual(lines.CallerLines().encode_answer(answer), data)

    @bounded
    @given(
        st.sampled_from(sorted(lines.REASONS)),
        filled,
        positions,
        cuts,
    )
    def test_error(
        self, code: str, text: bytes, position: Position, places: list[int]
    ) -> None:
        data = b"ERROR " + code.encode() + b" " + text + END
        data += b"READY E %d.%d" % position + END
        codec = lines.ServerLines()
        codec.feed(b"READY I -" + END)
        received: list[Any] = []
        for piece in cut(data, places):
            received += codec.feed(piece)
        (answer,) = received
        self.assertEqual(lines.CallerLines().encode_answer(answer), data)


class LimitTest(unittest.TestCase):
    """A message of a size at the limit was taken or sent wrongly."""

    def test_caller_at_the_limit_and_over(self) -> None:
        for size in range(LIMIT - 2, LIMIT + 4):
            line = b"QUERY 1 WRITE 1 ".ljust(size, b"x")
            for step in (1000, 65_537, size, size + 1, size + 2):
                codec = lines.CallerLines()
                data = line + END + b"QUERY 2 READ 1" + END
                received: list[Any] = []
                for start in range(0, len(data), step):
                    received += codec.feed(data[start : start + step])
                with self.subTest(size=size, step=step):
                    first, second = received
                    is_malformed = isinstance(first, statements.Malformed)
                    self.assertEqual(is_malformed, size > LIMIT)
                    self.assertEqual(first.request, "1")
                    self.assertIsInstance(second, statements.Read)

    def test_server_at_the_limit(self) -> None:
        for word in (b"ROW ", b"COMPLETE ", b"ERROR FAILED ", b"ERROR NEW "):
            for size in range(LIMIT - 16, LIMIT + 1):
                line = word.ljust(size - 2, b"\xff") + b"  "
                ready = b"READY I 1.2" + END
                rest = END + ready
                if word == b"ROW ":
                    rest = END + b"COMPLETE p" + rest
                codec = lines.ServerLines()
                codec.feed(b"READY I -" + END)
                (answer,) = codec.feed(line + rest)
                sent = lines.CallerLines().encode_answer(answer)
                with self.subTest(word=word, size=size):
                    for part in sent.split(END):
                        self.assertLessEqual(len(part), LIMIT)
                    if word != b"ERROR NEW ":
                        self.assertTrue(sent == line + rest)


class CountingBytes(bytearray):
    """Bytes that count how many of them are searched, copied and moved."""

    work = 0

    def find(self, *args: Any) -> int:
        start = args[1] if len(args) > 1 else 0
        found = super().find(*args)
        end = len(self) if found < 0 else found + len(args[0])
        self.work += max(0, end - start)
        return found

    def __getitem__(self, index: Any) -> Any:
        result = super().__getitem__(index)
        if isinstance(index, slice):
            self.work += len(result)
        return result

    def __delitem__(self, index: SupportsIndex | slice) -> None:
        before = len(self)
        super().__delitem__(index)
        if len(self) != before:
            self.work += len(self)


class WorkTest(unittest.TestCase):
    """Long lines took time or memory out of proportion."""

    def feed(self, data: bytes, step: int) -> tuple[int, int]:
        """Feeds pieces, bounds the work; returns most bytes kept and lines."""
        buffer = line_buffer.LineBuffer()
        counted = CountingBytes()
        buffer.rest = counted
        limit = 3 * len(data) + 2 * (len(data) // step + 1)
        kept = 0
        count = 0
        for start in range(0, len(data), step):
            count += len(buffer.feed(data[start : start + step]))
            self.assertIs(buffer.rest, counted)
            self.assertLessEqual(counted.work, limit)
            kept = max(kept, len(buffer.rest))
        return kept, count

    def test_line_in_small_pieces(self) -> None:
        for step in (7, 64, 1000, 65_536):
            with self.subTest(step=step):
                _, count = self.feed(b"\r" * LIMIT + END, step)
                self.assertEqual(count, 1)

    def test_many_lines_in_one_piece(self) -> None:
        data = (b"x" * 14 + END) * 65_536
        self.assertEqual(self.feed(data, len(data)), (0, 65_536))

    def test_line_without_an_end(self) -> None:
        for step in (997, 65_536, 3 * LIMIT):
            with self.subTest(step=step):
                kept, count = self.feed(b"x" * (8 * LIMIT), step)
                self.assertEqual(count, 0)
                self.assertLessEqual(kept, LIMIT + 1)


if __name__ == "__main__":
    unittest.main()
