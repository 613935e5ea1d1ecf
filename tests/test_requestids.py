"""Tests of idempotent writes against a fake server connection."""

import unittest

from cuminwall import backend, backend_errors, outcomes, requestids, wire, work

WRITE = "INSERT INTO readings VALUES (1)"
DUPLICATE = {"C": requestids.UNIQUE_VIOLATION}
NO_TABLE = {"C": requestids.UNDEFINED_TABLE}


def sql_of(step):
    """Returns the text of a Query message."""
    return step.message[5:-1].decode()


class FakeConnection:
    """Answers each statement as configured and records them in order.

    Attributes:
      errors: The errors of the next statements, by their first word; "RECORD"
        is the insertion of an id.
      sent: The first word of each statement sent, in order.
      lost: The word of the statement at which the connection breaks, or "".
    """

    def __init__(self):
        self.errors: dict[str, list] = {}
        self.sent: list[str] = []
        self.lost = ""
        self.is_open = False

    async def run_steps(
        self, steps, prepared, settings, sink, timeout_s, query_position=False
    ):
        text = sql_of(steps[0])
        key = text.split(" ")[0]
        if key != "CREATE" and requestids.TABLE in text:
            key = "RECORD"
        self.sent.append(key)
        if self.lost and key == self.lost:
            raise backend_errors.ExchangeError("lost", True, False)
        failed = self.errors.get(key, [])
        error = failed.pop(0) if failed else None
        if text.startswith("BEGIN"):
            self.is_open = True
        if key in ("COMMIT", "ROLLBACK"):
            self.is_open = False
        status = b"I"
        if self.is_open:
            status = b"E" if error else b"T"
        return backend.RoundAnswer(status, b"tail", error, None, False)


async def discard(data):
    """Discards an answer."""


class RequestTest(unittest.IsolatedAsyncioTestCase):
    """Either both the id and the write are committed, or neither is."""

    def setUp(self):
        self.connection = FakeConnection()

    async def run_write(self, pinned=False, request_id="r'1"):
        if pinned:
            self.connection.is_open = True
        round_ = work.Round(
            access=work.Access.WRITE,
            steps=(work.Step(wire.query(WRITE)),),
            request_id=request_id,
        )
        request = requestids.Request(round_, "clerks", pinned, 1.0)
        return await requestids.run(self.connection, request, discard)

    async def test_the_id_is_recorded_in_the_transaction_of_the_write(self):
        answer = await self.run_write()
        self.assertEqual(self.connection.sent, ["RECORD", "INSERT", "COMMIT"])
        self.assertEqual(answer.status, b"I")
        self.assertIsNone(answer.server_error)

    async def test_a_retry_does_not_run(self):
        self.connection.errors["RECORD"] = [DUPLICATE]
        answer = await self.run_write()
        self.assertEqual(self.connection.sent, ["RECORD", "ROLLBACK"])
        self.assertEqual(answer.status, b"I")
        failure = outcomes.DUPLICATE_REQUEST
        self.assertIn(failure.sqlstate.encode(), answer.completion)

    async def test_a_failed_write_rolls_its_id_back(self):
        self.connection.errors["INSERT"] = [{"C": "23514"}]
        answer = await self.run_write()
        self.assertEqual(self.connection.sent, ["RECORD", "INSERT", "ROLLBACK"])
        self.assertEqual(answer.status, b"I")
        self.assertEqual(answer.server_error, {"C": "23514"})

    async def test_a_failed_commit_is_reported(self):
        self.connection.errors["COMMIT"] = [{"C": "40001"}]
        answer = await self.run_write()
        self.assertEqual(answer.server_error, {"C": "40001"})

    async def test_a_missing_table_is_created(self):
        self.connection.errors["RECORD"] = [NO_TABLE]
        await self.run_write()
        self.assertEqual(
            self.connection.sent,
            ["RECORD", "ROLLBACK", "CREATE", "RECORD", "INSERT", "COMMIT"],
        )

    async def test_nothing_runs_when_the_id_cannot_be_recorded(self):
        self.connection.errors["RECORD"] = [{"C": "42501"}]
        answer = await self.run_write()
        self.assertNotIn("INSERT", self.connection.sent)
        self.assertEqual(answer.server_error, {"C": "42501"})

    async def test_inside_a_transaction_the_caller_ends_it(self):
        answer = await self.run_write(pinned=True)
        self.assertEqual(self.connection.sent, ["RECORD", "INSERT"])
        self.assertEqual(answer.status, b"T")

    async def test_a_lost_answer_is_raised(self):
        for word in ("RECORD", "INSERT", "COMMIT"):
            with self.subTest(word=word):
                self.setUp()
                self.connection.lost = word
                with self.assertRaises(backend_errors.ExchangeError):
                    await self.run_write()
                self.assertEqual(self.connection.sent[-1], word)
