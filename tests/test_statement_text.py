"""Tests that a statement's text arrives at a backend server as it was sent."""

import pathlib
import sys
import unittest

from cuminwall.direct import commands
from cuminwall.direct.answers import Position

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A package named `platform` would clash with the standard library's module.
sys.path.insert(0, str(ROOT / "platform"))

from fleet import lines  # noqa: E402

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


if __name__ == "__main__":
    unittest.main()
