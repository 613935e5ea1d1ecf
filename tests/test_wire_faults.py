"""Sessions whose servers refuse messages and lose connections.

Here answers can't be foreseen. What ran is judged by what callers had sent and
what they had been answered.
"""

import asyncio
import pathlib
import random
import sys
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A package named `platform` would clash with the standard library's module.
sys.path.insert(0, str(ROOT / "platform"))

from tests import naive_lines, wire_world  # noqa: E402
from tests.test_wire_sessions import Script, bounded, join, scripts  # noqa: E402

PROMISES = (b"BUSY", b"ABORTED", b"LAGGING", b"READONLY", b"MALFORMED")
FAULT_PROBABILITY = 0.04


class Judge:
    """Follows one session by its messages and their answers.

    Attributes:
      values: The values that were acknowledged.
      prepared: The shapes that were acknowledged.
      in_transaction: The writes that succeeded in the open transaction.
      must_commit: The writes that must have taken effect once.
      must_not_commit: The writes that must not have taken effect.
    """

    def __init__(self, test: unittest.TestCase, record: naive_lines.Record):
        self.test = test
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, naive_lines.Shape] = {}
        self.state = naive_lines.IDLE
        self.writes: list[bytes] = []
        self.record = record
        self.runs: dict[bytes, list[naive_lines.Run]] = {}
        for run in record.runs:
            self.runs.setdefault(run.request, []).append(run)

    def follow(self, line: bytes, reply: naive_lines.Reply) -> None:
        """Judges one message and its answer."""
        first, _, rest = line.partition(b" ")
        request, _, text = rest.partition(b" ")
        word, _, rest = text.partition(b" ")
        is_success = reply.lines[-1].startswith(b"COMPLETE")
        if first == b"QUERY" and is_success:
            self._follow_session(word, rest)
        runs = self.runs.get(request, [])
        if word in (b"READ", b"WRITE", b"EXECUTE", b"COMMIT") and runs:
            self._judge_runs(runs, word, text, rest)
        if reply.lines[-1] == b"COMPLETE -":
            self.test.assertEqual(runs, [])
        elif is_success:
            answers = [tuple(naive_lines.answer_lines(run)) for run in runs]
            self.test.assertIn(reply.lines, answers)
        self._judge_effects(request, word, runs, reply, is_success)
        self.state = reply.state

    def _follow_session(self, word: bytes, rest: bytes) -> None:
        """Records values and shapes that were acknowledged."""
        name, _, value = rest.partition(b" ")
        if word == b"SET":
            self.values[name] = value
        elif word == b"PREPARE":
            kind, _, shape = value.partition(b" ")
            self.prepared[name] = naive_lines.Shape(kind, shape)
        elif word == b"DEALLOCATE":
            del self.prepared[rest]

    def _judge_runs(
        self,
        runs: list[naive_lines.Run],
        word: bytes,
        text: bytes,
        rest: bytes,
    ) -> None:
        """Judges text, values and shape of what was run for a message."""
        shape = None
        arguments = text[len(word) :]
        if word == b"EXECUTE":
            name = rest.partition(b" ")[0]
            shape = self.prepared[name]
            arguments = arguments[1 + len(name) :]
        values = tuple(sorted(self.values.items()))
        expected = naive_lines.Run(
            runs[0].request, word, arguments, shape, values
        )
        for run in runs:
            self.test.assertEqual(run, expected)

    def _judge_effects(
        self,
        request: bytes,
        word: bytes,
        runs: list[naive_lines.Run],
        reply: naive_lines.Reply,
        is_success: bool,
    ) -> None:
        """Judges which writes took effect."""
        is_promise = reply.lines[-1].split(b" ")[1] in PROMISES
        is_write = word == b"WRITE"
        if runs and runs[0].shape is not None:
            is_write = runs[0].shape.kind == b"WRITE"
        if self.state == naive_lines.IDLE and reply.state == naive_lines.IDLE:
            self._judge_write(request, is_write and is_success, is_promise)
        elif is_write and is_success:
            self.writes.append(request)
        if reply.state != naive_lines.IDLE:
            return
        has_committed = word == b"COMMIT" and is_success
        is_undone = word == b"ROLLBACK" or is_promise
        for write in self.writes:
            self._judge_write(write, has_committed, is_undone)
        self.writes = []

    def _judge_write(
        self, request: bytes, must_commit: bool, is_undone: bool
    ) -> None:
        """Judges how often a write took effect."""
        count = self.record.commits.count(request)
        self.test.assertLessEqual(count, 1)
        if must_commit:
            self.test.assertEqual(count, 1)
        elif is_undone:
            self.test.assertEqual(count, 0)


async def play(
    drawn: list[Script], seed: int
) -> tuple[list[wire_world.WireCaller], naive_lines.Record]:
    """Plays sessions; returns what callers and servers saw."""
    world = wire_world.WireWorld(seed)
    world.busy_probability = FAULT_PROBABILITY
    world.loss_probability = FAULT_PROBABILITY
    source = random.Random(seed)
    callers = []
    for number, script in enumerate(drawn):
        caller = wire_world.WireCaller(world, "a")
        caller.send(wire_world.LOGIN % script.database)
        for piece in wire_world.cut(join(script.lines(number)), source, 2):
            caller.send(piece)
        callers.append(caller)
        await world.run_on(source.choice((0.0, 0.02)))
    await world.run_on(6.0)
    return callers, world.record


class FaultyServerTest(unittest.TestCase):
    """After a refusal or a lost connection something else was run or told."""

    @settings(bounded, max_examples=250)
    @given(st.lists(scripts, min_size=1, max_size=3), st.integers(1, 1000))
    def test_drawn_sessions(self, drawn: list[Script], seed: int) -> None:
        callers, record = asyncio.run(play(drawn, seed))
        self.assertEqual(record.errors, [])
        for number, (caller, script) in enumerate(
            zip(callers, drawn, strict=True)
        ):
            judge = Judge(self, record)
            lines = script.lines(number)
            replies = caller.replies()[1:]
            if not caller.transport.is_closed:
                self.assertEqual(len(replies), len(lines))
            for line, reply in zip(lines, replies, strict=False):
                judge.follow(line, reply)
        self.assertLessEqual(record.longest, naive_lines.MAX_MESSAGE_BYTES)


if __name__ == "__main__":
    unittest.main()
