"""The writer of log lines is bounded and never blocks."""

import json
import os
import threading
import unittest

from cuminwall import outputs
from cuminwall.direct import journal


class JournalTest(unittest.TestCase):
    """Lines written to a pipe."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.writer, False)
        os.set_blocking(self.reader, False)
        self.now = 1000.0
        self.later: list[object] = []
        self.journal = journal.Journal(
            "a",
            self.writer,
            lambda delay, action: self.later.append(action),
            lambda: self.now,
        )

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def lines(self) -> list[dict]:
        data = os.read(self.reader, 1 << 24)
        return [json.loads(line) for line in data.splitlines()]

    def test_line(self) -> None:
        self.journal.add("work", "answered", {"request": "5c"})
        self.journal.flush()
        (line,) = self.lines()
        self.assertEqual(line["request"], "5c")
        self.assertEqual(line["instance"], "a")

    def test_long_text_of_a_caller_is_shortened(self) -> None:
        self.journal.add("work", "answered", {"request": "x" * 2**20})
        self.journal.flush()
        (line,) = self.lines()
        self.assertEqual(
            line["request"], "x" * 256 + "... (1048576 characters)"
        )

    def test_message_of_the_program_is_whole(self) -> None:
        text = "configuration: " + "; ".join(["x" * 80] * 5)
        self.journal.add("store", "message", {"text": text})
        self.journal.flush()
        (line,) = self.lines()
        self.assertEqual(line["text"], text)

    def test_rate_of_one_part(self) -> None:
        for _ in range(journal.MAX_LINES_PER_S + 50):
            self.journal.add("work", "answered", {})
        self.journal.add("store", "lost", {})
        self.now += 1.0
        self.journal.add("work", "answered", {})
        self.journal.flush()
        lines = self.lines()
        dropped = [each for each in lines if each["event"] == "lines_dropped"]
        self.assertEqual([each["count"] for each in dropped], [50])
        self.assertIn("lost", [each["event"] for each in lines])

    def test_reader_that_does_not_read(self) -> None:
        for _ in range(60):
            self.now += 1.0
            for _ in range(journal.MAX_LINES_PER_S):
                self.journal.add("work", "answered", {"text": "x" * 100})
            self.journal.flush()
        limit = outputs.MAX_PENDING_BYTES
        self.assertLessEqual(len(self.journal.output.pending), limit)
        self.assertGreater(self.journal.output.unread_count, 0)


class BlockingPipeTest(unittest.TestCase):
    """Standard output is a pipe as a parent process makes it: it blocks."""

    FLUSH_S = 2.0  # Until a flush that has not returned counts as blocked.

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.now = 1000.0
        self.journal = journal.Journal(
            "a", self.writer, lambda delay, action: None, lambda: self.now
        )

    def flush(self) -> bool:
        """Flushes in a thread; returns whether that returned in time."""
        thread = threading.Thread(target=self.journal.flush, daemon=True)
        thread.start()
        thread.join(self.FLUSH_S)
        return not thread.is_alive()

    # A process whose log nobody read stood still in the write: it served
    # nothing and read no change of the configuration.
    def test_full_pipe_does_not_hold_the_process_up(self) -> None:
        try:
            for _ in range(20):
                self.now += 1.0
                for _ in range(journal.MAX_LINES_PER_S):
                    self.journal.add("work", "answered", {"text": "x" * 100})
                self.assertTrue(self.flush())
            self.assertGreater(self.journal.output.unread_count, 0)
        finally:
            # Ends a blocked write, with an error.
            os.close(self.reader)
            os.close(self.writer)


class SharedPipeTest(unittest.TestCase):
    """Other processes write to the same inherited pipe."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    # They may not expect that a write finds no room.
    def test_pipe_of_the_others_still_blocks(self) -> None:
        outputs.Output(self.writer)
        self.assertTrue(os.get_blocking(self.writer))

    def test_lines_without_a_scheduler_wait_for_room(self) -> None:
        output = outputs.Output(self.writer)
        line = b"x" * 999 + b"\n"
        for _ in range(200):
            self.assertTrue(output.write(line))
        self.assertGreater(len(output.pending), 0)
        received = 0
        while output.pending:
            received += len(os.read(self.reader, 1 << 20))
            output.flush()
        received += len(os.read(self.reader, 1 << 20))
        self.assertEqual(received, 200 * len(line))


if __name__ == "__main__":
    unittest.main()
