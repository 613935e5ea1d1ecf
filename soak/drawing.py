"""Draws the operations of callers: statements with bytes of any kind."""

import random
from typing import NamedTuple

MAX_MESSAGE_BYTES = 1024 * 1024  # With the line end.
LINE_END = b"\r\n"
# Bytes that are easily changed on the way: blanks, ends of lines in the sense
# of some functions, and bytes that are not UTF-8.
PIECES = (
    b" ",
    b"  ",
    b"\t",
    b"\r",
    b"\n",
    b"\x00",
    b"\x0b\x0c",
    b"\x1c\x1d\x1e",
    b"\x85",
    b"\xc2\x85",
    b"\xe2\x80\xa8",
    b"\xff\xfe",
    b"\xed\xb2\x80",
    b"\xc3",
    b"\\x41%20+",
    b"\"'",
    b"AFTER 1.1 ",
    b"tsf",
    b"k",
)
MAX_PIECES = 7
# Names of values and of prepared statements, few so that they collide.
NAMES = (b"s1", b"s2", b"a", b"\xff\xfe", b"n\t\r", b"\x00", b"\xc5\x9f")
SHAPES = 4  # Definitions that sessions share; others are drawn.
LARGE_BYTES = (5_000, 70_000, 400_000, MAX_MESSAGE_BYTES)
MAX_STEPS = 6
MAX_PAUSE_S = 0.06
COMMIT = "COMMIT"
ROLLBACK = "ROLLBACK"
LEAVE = "LEAVE"
ENDS = (COMMIT, ROLLBACK, LEAVE)
END_WEIGHTS = (0.8, 0.13, 0.07)
PREPARED_PART = 0.5
SETTING_PART = 0.3
DEALLOCATION_PART = 0.05
TRANSACTION_WRITE_PART = 0.5
LARGE_PART = 0.01
TOGETHER_PART = 0.25
IN_PIECES_PART = 0.15


class Prepared(NamedTuple):
    """A prepared statement as a caller knows it."""

    name: bytes
    writes: bool
    shape: bytes


class Step(NamedTuple):
    """A read or write of an operation.

    Attributes:
      writes: Whether it writes.
      data: What follows its item, with the blank before it; may be empty.
      prepared: The prepared statement that it executes, if any.
      size: To how many bytes the message is filled up; 0 to leave it.
    """

    writes: bool
    data: bytes
    prepared: Prepared | None
    size: int


class Operation(NamedTuple):
    """What a caller wants done, and may try several times.

    Attributes:
      begin: The text that opens its transaction, or b"".
      steps: Its reads and writes; one if it is no transaction.
      end: How its transaction ends: COMMIT, ROLLBACK or LEAVE.
      settings: Names and values that it sets first.
      sets_inside: Whether it sets them in its transaction.
      deallocates: Whether it drops a prepared statement first.
      is_together: Whether its statements are sent in one write.
      is_in_pieces: Whether its messages are sent in several writes.
      pause_s: Between its statements, in seconds.
    """

    begin: bytes
    steps: tuple[Step, ...]
    end: str
    settings: tuple[tuple[bytes, bytes], ...]
    sets_inside: bool
    deallocates: bool
    is_together: bool
    is_in_pieces: bool
    pause_s: float

    @property
    def writes(self) -> bool:
        """Whether any of its statements writes."""
        return any(step.writes for step in self.steps)


class Drawing:
    """Draws operations.

    Attributes:
      large_left: How many large messages may still be drawn.
    """

    def __init__(self, rng: random.Random, large: int):
        self.rng = rng
        self.large_left = large

    def draw_operation(
        self, transaction_part: float, write_part: float
    ) -> Operation:
        """Returns an operation.

        Args:
          transaction_part: How likely it is a transaction.
          write_part: How likely a single statement writes; 0 if nothing may.
        """
        rng = self.rng
        begin = b""
        steps = [self._draw_step(rng.random() < write_part)]
        if rng.random() < transaction_part:
            may_write = write_part > 0 and rng.random() < 0.8
            begin = b"BEGIN" if may_write else b"BEGIN READ"
            steps = []
            for _ in range(rng.randint(0, MAX_STEPS)):
                writes = may_write and rng.random() < TRANSACTION_WRITE_PART
                steps.append(self._draw_step(writes))
        settings = []
        while rng.random() < SETTING_PART:
            settings.append((rng.choice(NAMES), self.draw_text()))
        return Operation(
            begin,
            tuple(steps),
            rng.choices(ENDS, END_WEIGHTS)[0],
            tuple(settings),
            rng.random() < 0.3,
            rng.random() < DEALLOCATION_PART,
            rng.random() < TOGETHER_PART,
            rng.random() < IN_PIECES_PART,
            rng.uniform(0.0, MAX_PAUSE_S),
        )

    def draw_text(self) -> bytes:
        """Returns a text without the end of a line; it may be empty."""
        parts = self.rng.choices(PIECES, k=self.rng.randint(0, MAX_PIECES))
        text = b"".join(parts)
        while LINE_END in text:
            text = text.replace(LINE_END, b"\n")
        return text

    def _draw_step(self, writes: bool) -> Step:
        rng = self.rng
        data = b"" if rng.random() < 0.1 else b" " + self.draw_text()
        prepared = None
        if rng.random() < PREPARED_PART:
            shape = b"shape %d " % rng.randrange(SHAPES)
            if rng.random() < 0.3:
                shape = self.draw_text() or b" "
            prepared = Prepared(rng.choice(NAMES), writes, shape)
        size = 0
        if self.large_left and rng.random() < LARGE_PART:
            self.large_left -= 1
            size = rng.choice(LARGE_BYTES)
        return Step(writes, data, prepared, size)


def render_step(step: Step, item: str, id_bytes: int) -> bytes:
    """Returns the text of a read or write.

    Args:
      step: What to render.
      item: The item that it names.
      id_bytes: The length of its request id.
    """
    verb = b"WRITE " if step.writes else b"READ "
    if step.prepared is not None:
        verb = b"EXECUTE " + step.prepared.name + b" "
    text = verb + item.encode() + step.data
    around = len(b"QUERY  ") + id_bytes + len(LINE_END)
    missing = step.size - around - len(text)
    if missing > 0:
        text += b" " + b"z" * (missing - 1)
    return text
