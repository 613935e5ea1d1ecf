"""Tests of the decision log."""

import re
import unittest

from loguru import logger

from cuminwall import decisionlog, logs

LINE = re.compile(
    r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}[+-]\d{4} INFO    (.*)\n"
)


class DecisionLogTest(unittest.TestCase):
    """Batching loses no line and keeps their order."""

    def setUp(self):
        self.written: list[str] = []
        self.timers: list = []
        self.now = 1_000_000.25
        sink = logger.add(
            lambda message: self.written.append(str(message)),
            format=logs.TEXT_FORMAT,
            level="INFO",
        )
        self.addCleanup(logger.remove, sink)

    def make(self, is_enabled: bool = True) -> decisionlog.DecisionLog:
        return decisionlog.DecisionLog(
            is_enabled,
            lambda delay_s, flush: self.timers.append(flush),
            lambda: self.now,
        )

    def texts(self) -> list[str]:
        found = []
        for line in "".join(self.written).splitlines(keepends=True):
            match = LINE.fullmatch(line)
            self.assertIsNotNone(match, line)
            found.append(match[1])
        return found

    def test_each_decision_keeps_its_line_and_order(self):
        log = self.make()
        log.add("routing", "billing 1 goes to replica b")
        log.add("sessions", "billing {2} goes to home sediu-1")
        self.assertEqual(self.written, [])
        log.add("leases", "billing term 2: lease from sediu-2")
        log.add("routing", "billing 3 goes to primary a")
        self.timers[-1]()
        self.assertEqual(
            self.texts(),
            [
                "routing: billing 1 goes to replica b",
                "sessions: billing {2} goes to home sediu-1",
                "leases: billing term 2: lease from sediu-2",
                "routing: billing 3 goes to primary a",
            ],
        )

    def test_a_line_shows_the_time_of_its_decision(self):
        log = self.make()
        log.add("routing", "first")
        self.now += 0.5
        log.add("routing", "second")
        self.now += 10.0
        log.flush()
        lines = "".join(self.written).splitlines()
        self.assertIn(".250", lines[0].partition(" ")[0])
        self.assertIn(".750", lines[1].partition(" ")[0])

    def test_a_batch_is_bounded_and_each_begins_one_timer(self):
        log = self.make()
        for number in range(decisionlog.MAX_BATCH_LINES):
            log.add("routing", str(number))
        self.assertEqual(len(self.texts()), decisionlog.MAX_BATCH_LINES)
        self.assertEqual((log.lines, len(self.timers)), ([], 1))

    def test_a_disabled_level_writes_nothing(self):
        log = self.make(is_enabled=False)
        log.add("routing", "x")
        log.add("leases", "x")
        log.flush()
        self.assertEqual((self.written, self.timers), ([], []))


if __name__ == "__main__":
    unittest.main()
