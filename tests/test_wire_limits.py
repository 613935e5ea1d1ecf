"""Messages of a size at the limit, through a whole instance."""

import asyncio
import pathlib
import sys
import unittest

from cuminwall.direct import commands

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A package named `platform` would clash with the standard library's module.
sys.path.insert(0, str(ROOT / "platform"))

from tests import naive_lines, wire_world  # noqa: E402
from tests.test_wire_sessions import SessionTestCase, join  # noqa: E402

LIMIT = naive_lines.MAX_MESSAGE_BYTES
SIZES = (LIMIT - 20, LIMIT - 2, LIMIT - 1, LIMIT)
NAME = b"n" * commands.MAX_NAME_CHARS  # Grows with no other name.
MAX_NAME_GROWTH = commands.MAX_NAME_CHARS - 1  # Of a name of one byte.
# The names of a connection that are shorter than the longest ones.
SHORT_NAMES = sum(52**size for size in range(1, commands.MAX_NAME_CHARS))


def pad(line: bytes, size: int) -> bytes:
    """Returns a message of a size that ends with blanks."""
    return line + b"\xff" * (size - len(line) - 2) + b"  "


class SizeTest(SessionTestCase):
    """A message that is allowed was refused or grew over the limit."""

    def check_all(self, before: list[bytes], line: bytes) -> None:
        """Checks a message of each size on each kind of route."""
        for database in (b"db", b"aged", b"own"):
            for size in SIZES:
                with self.subTest(database=database, size=size):
                    lines = [*before, pad(line, size), b"QUERY e READ 9"]
                    self.check([(database, lines)], 1)

    def test_read(self) -> None:
        self.check_all([b"QUERY 1 WRITE 1 x"], b"QUERY 2 READ 1")

    def test_read_in_a_transaction(self) -> None:
        before = [b"QUERY 1 WRITE 1 x", b"QUERY 2 BEGIN READ"]
        self.check_all(before, b"QUERY 3 READ 1")

    def test_write(self) -> None:
        self.check_all([], b"QUERY 2 WRITE 1 ")

    def test_value(self) -> None:
        self.check_all([], b"QUERY 2 SET x ")

    def test_shape(self) -> None:
        self.check_all([], b"QUERY 2 PREPARE %s READ " % NAME)

    def test_shape_with_a_short_name_and_a_long_id(self) -> None:
        self.check_all([], b"QUERY 5c0e7a21d94b36f8 PREPARE s READ ")

    def test_large_shape_runs(self) -> None:
        for size in SIZES:
            with self.subTest(size=size):
                prepare = pad(b"QUERY 2 PREPARE %s WRITE " % NAME, size)
                execute = b"QUERY 3 EXECUTE %s 1 " % NAME
                lines = [prepare, execute, b"QUERY 4 READ 1"]
                self.check([(b"own", lines)], 1)

    def test_execute(self) -> None:
        before = [b"QUERY 1 WRITE 1 x", b"QUERY 2 PREPARE %s READ q" % NAME]
        self.check_all(before, b"QUERY 3 EXECUTE %s 1 " % NAME)

    def test_execute_with_a_long_name(self) -> None:
        name = b"n" * 100_000
        before = [b"QUERY 1 WRITE 1 x", b"QUERY 2 PREPARE %s READ q" % name]
        self.check_all(before, b"QUERY 3 EXECUTE %s 1 " % name)

    def test_execute_with_room_for_another_name(self) -> None:
        prepare = b"QUERY 2 PREPARE s WRITE q"
        execute = pad(b"QUERY 3 EXECUTE s 1 ", LIMIT - MAX_NAME_GROWTH)
        self.check([(b"own", [prepare, execute])], 1)

    def test_execute_without_room_for_another_name(self) -> None:
        for size in (LIMIT - 1, LIMIT):
            received, record = asyncio.run(self.execute(size, 0))
            with self.subTest(size=size):
                self.assertLessEqual(record.longest, LIMIT)
                self.assertIn(b"ERROR MALFORMED", received)
                ran = [run.request for run in record.runs]
                self.assertEqual(ran, [b"3", b"5"])

    def test_execute_on_a_connection_that_has_used_many_names(self) -> None:
        size = LIMIT - MAX_NAME_GROWTH
        _, record = asyncio.run(self.execute(size, SHORT_NAMES))
        self.assertIn(b"4", record.texts)
        self.assertLessEqual(record.longest, LIMIT)

    async def execute(
        self, size: int, names_used: int
    ) -> tuple[bytes, naive_lines.Record]:
        """Plays an EXECUTE of a size; returns what was seen.

        Args:
          size: The size in bytes.
          names_used: How many names its connection has given before.
        """
        world = wire_world.WireWorld()
        caller = wire_world.WireCaller(world, "a")
        caller.send(wire_world.LOGIN % b"db")
        caller.send(join([b"QUERY 3 WRITE 1 x"]))
        await world.run_on(0.2)
        for connection in world.instances["a"].state.connections.values():
            connection.names_used = names_used
        execute = pad(b"QUERY 4 EXECUTE s 1 ", size)
        prepare = b"QUERY 2 PREPARE s WRITE q"
        caller.send(join([prepare, execute, b"QUERY 5 EXECUTE s 2 x"]))
        await world.run_on(1.0)
        return bytes(caller.received), world.record


if __name__ == "__main__":
    unittest.main()
