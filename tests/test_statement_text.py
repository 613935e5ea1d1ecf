"""Tests that a statement's text arrives at a backend server as it was sent."""

import pathlib
import sys
import unittest

from cuminwall.direct import commands, connections
from cuminwall.direct.answers import Position

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A package named `platform` would clash with the standard library's module.
sys.path.insert(0, str(ROOT / "platform"))

from fleet import lines  # noqa: E402
from tests import test_direct_sessions  # noqa: E402

REQUEST = "5c"
NAME = "w7"


def forward_execute(text: str, position: Position | None = None) -> bytes:
    """Returns the line that carries an EXECUTE to a server."""
    statement = lines.parse_statement(REQUEST, text)
    command = commands.ForwardExecute(statement, NAME, position)
    return lines.ServerLines().encode_command(command)


class ChangedTextTest(unittest.TestCase):
    """Backend servers ran an EXECUTE without the blanks at its end."""

    def test_blanks_at_the_end_of_an_execute_are_kept(self) -> None:
        for arguments in (" ", "  ", " 1a4 ", " 1a4 abc ", " 1a4  a  b   "):
            with self.subTest(arguments):
                sent = forward_execute("EXECUTE s1" + arguments)
                expected = f"QUERY {REQUEST} EXECUTE {NAME}{arguments}\r\n"
                self.assertEqual(sent, expected.encode())

    def test_no_blank_is_added_to_an_execute_without_arguments(self) -> None:
        sent = forward_execute("EXECUTE s1")
        self.assertEqual(sent, b"QUERY 5c EXECUTE w7\r\n")

    def test_blanks_are_kept_behind_a_minimum_position(self) -> None:
        sent = forward_execute("EXECUTE s1 1a4 ", Position(3, 9))
        self.assertEqual(sent, b"QUERY 5c AFTER 3.9 EXECUTE w7 1a4 \r\n")

    def test_a_shape_that_is_not_utf8_is_prepared(self) -> None:
        world = test_direct_sessions.make_world()
        caller = world.instances["a"].caller()
        text = b"PREPARE s WRITE \xff\xfe".decode("utf-8", "surrogateescape")
        caller.send(lines.parse_statement("1", text))
        caller.send(lines.parse_statement("2", "EXECUTE s 1 x"))
        world.run(2.0)
        self.assertEqual(caller.reasons(), [None, None])

    def test_names_are_short_and_differ(self) -> None:
        names = [connections.spell_number(each) for each in range(1, 3000)]
        self.assertEqual((names[0], names[51], names[52]), ("a", "Z", "aa"))
        self.assertEqual(len(set(names)), len(names))
        last = connections.spell_number(387_000_000)
        self.assertEqual(len(last), commands.MAX_NAME_CHARS)

    def test_names_of_many_shapes_differ_and_stay_short(self) -> None:
        world = test_direct_sessions.make_world()
        caller = world.instances["a"].caller()
        names = set()
        for number in range(300):
            shape = f"PREPARE s WRITE {'x' * 1000}{number}"
            caller.send(lines.parse_statement("1", shape))
            caller.send(lines.parse_statement("2", "EXECUTE s 1 x"))
            world.run(0.1)
            for link in world.instances["a"].links.values():
                names.update(link.prepared)
        self.assertEqual(caller.reasons(), [None] * 600)
        self.assertEqual(len(names), 300)
        self.assertLessEqual(max(len(name) for name in names), 2)


if __name__ == "__main__":
    unittest.main()
