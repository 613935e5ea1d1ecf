"""Tests of the summary of the stages of statements."""

import json
import unittest

from bench import stage_times


def make_line(**fields: object) -> str:
    """Returns the log line of an answered statement, as a bench prints it."""
    return "  1.25 edge-1 " + json.dumps({"event": "answered", **fields})


class SummaryTest(unittest.TestCase):
    """The summary of the output of several instances."""

    def test_statements_and_causes(self) -> None:
        lines = [
            make_line(outcome="done", ms=30.0, token_ms=10.0, opened=True),
            make_line(outcome="done", ms=10.0, token_ms=0.0, opened=False),
            make_line(outcome="overloaded", ms=150.0, cause="no token; late"),
            make_line(outcome="done", ms=1.0)[:-9],
            "text that is not a log line",
        ]
        summary = stage_times.summarize(stage_times.read_answers(lines))
        self.assertEqual(summary[0], "3 answered, 2 done")
        self.assertIn("token_ms       p50 10.0", summary[1])
        self.assertIn("opened a connection: 0.500", summary)
        self.assertIn("      1 overloaded: no token", summary)


if __name__ == "__main__":
    unittest.main()
