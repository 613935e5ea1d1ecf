"""Tests of the soak's checks of statements, and of what it draws."""

import random
import unittest

from soak import drawing, records, requests, statement_checks
from soak.session_state import ConnectionState

PROOF = "p1"
ROWS = records.digest_all([b"row "])
VALUES = records.digest_values({b"a": b"1"})


def make_asked(number="1", **fields):
    """Returns a read that was answered with success."""
    text = fields.pop("sent", b"READ i ")
    asked = records.Asked(
        number,
        "s1",
        1,
        records.NO_TRANSACTION,
        text.split(b" ")[0].decode(),
        False,
        records.make_digest(records.remove_name(text)),
        records.shorten(text),
        VALUES,
        "",
        "",
        PROOF,
        ROWS,
    )
    return asked._replace(**fields)


def make_run(number="1", **fields):
    """Returns the run of that read."""
    text = fields.pop("ran", b"READ i ")
    run = records.Run(
        number,
        "i-1",
        1,
        records.NO_TRANSACTION,
        records.make_digest(records.remove_name(text)),
        records.shorten(text),
        False,
        VALUES,
        "",
        PROOF,
        ROWS,
    )
    return run._replace(**fields)


class StatementChecksTestCase(unittest.TestCase):
    """Checks what a caller sent against what a server ran."""

    def find(self, asked, runs, commits=()):
        """Returns the rules that are broken, with what happened."""
        seen = records.ServerRecords()
        seen.runs.extend(runs)
        for number, writes in commits:
            position = records.Position(1, len(seen.commits))
            seen.commits.append(
                records.Commit(number, "svc", position, tuple(writes))
            )
        evidence = statement_checks.Evidence(asked, seen)
        cases = statement_checks.check(evidence)
        return [(each.rule, each.what) for each in cases]

    def find_transaction(self, **commit):
        """Returns the cases of a write in a transaction and its COMMIT."""
        text = b"WRITE i d"
        write = make_run("1", ran=text, writes=True, transaction=7)
        end = make_run("2", ran=b"COMMIT", transaction=7)
        sent = [
            make_asked("1", sent=text, writes=True, transaction=1),
            make_asked("2", sent=b"COMMIT", transaction=1, **commit),
        ]
        return self.find(sent, [write, end], [("2", [write])])


class TestUnasked(StatementChecksTestCase):
    """What no caller sent."""

    def test_the_text_that_was_sent_is_no_case(self):
        self.assertEqual(self.find([make_asked()], [make_run()]), [])

    def test_a_text_without_its_last_blank_is_a_case(self):
        found = self.find([make_asked()], [make_run(ran=b"READ i")])
        self.assertEqual(found, [("UNASKED", "changed text at i-1")])

    def test_an_unknown_request_id_is_a_case(self):
        found = self.find([], [make_run("-")])
        self.assertEqual(found, [("UNASKED", "no such request id at i-1")])

    def test_another_name_of_a_prepared_statement_is_no_case(self):
        asked = make_asked(sent=b"EXECUTE s1 i  d ")
        run = make_run(ran=b"EXECUTE w12 i  d ")
        self.assertEqual(self.find([asked], [run]), [])

    def test_a_missing_blank_after_a_prepared_name_is_a_case(self):
        asked = make_asked(sent=b"EXECUTE s1 ")
        found = self.find([asked], [make_run(ran=b"EXECUTE s1")])
        self.assertEqual(found, [("UNASKED", "changed text at i-1")])

    def test_a_commit_that_was_asked_for_is_no_case(self):
        self.assertEqual(self.find_transaction(), [])

    def test_a_commit_that_nobody_asked_for_is_a_case(self):
        text = b"WRITE i d"
        asked = make_asked(sent=text, writes=True, transaction=1)
        write = make_run(ran=text, writes=True, transaction=7)
        found = self.find([asked], [write], [("-", [write])])
        self.assertEqual(found, [("UNASKED", "committed unasked at i-1")])

    def test_a_commit_of_another_transaction_is_a_case(self):
        text = b"WRITE i d"
        write = make_run("1", ran=text, writes=True, transaction=7)
        asked = [
            make_asked("1", sent=text, writes=True, transaction=1),
            make_asked("2", sent=b"COMMIT", transaction=2, code=None),
        ]
        found = self.find(asked, [write], [("2", [write])])
        what = "committed by another's COMMIT at i-1"
        self.assertEqual(found, [("UNASKED", what)])


class TestMixed(StatementChecksTestCase):
    """Successes without the proof or the rows of the server."""

    def test_another_proof_is_a_case(self):
        found = self.find([make_asked(proof="p2")], [make_run()])
        self.assertEqual(found, [("MIXED", "success with proof p2")])

    def test_the_proof_of_another_statement_is_a_case(self):
        asked = [make_asked("1", proof="p2"), make_asked("2", proof="p2")]
        found = self.find(asked, [make_run("1"), make_run("2", proof="p2")])
        self.assertEqual(found, [("MIXED", "success with proof p2")])

    def test_a_row_without_its_last_blank_is_a_case(self):
        asked = make_asked(rows=records.digest_all([b"row"]))
        found = self.find([asked], [make_run()])
        self.assertEqual(found, [("MIXED", "other rows at i-1")])

    def test_a_success_of_what_never_ran_is_a_case(self):
        found = self.find([make_asked()], [])
        self.assertEqual(found, [("MIXED", "success with proof p1")])

    def test_an_error_of_what_never_ran_is_no_case(self):
        self.assertEqual(self.find([make_asked(code="BUSY")], []), [])

    def test_the_proof_of_the_second_run_of_a_read_is_no_case(self):
        runs = [make_run(proof="p0"), make_run()]
        self.assertEqual(self.find([make_asked()], runs), [])


class TestPinned(StatementChecksTestCase):
    """Statements on a wrong connection or with wrong session state."""

    def test_other_values_are_a_case(self):
        run = make_run(values=records.digest_values({}))
        found = self.find([make_asked()], [run])
        self.assertEqual(found, [("PINNED", "other session values at i-1")])

    def test_values_of_a_statement_without_an_answer_are_no_case(self):
        asked = make_asked(values=None, shape=None, code=None)
        run = make_run(values=records.digest_values({}))
        self.assertEqual(self.find([asked], [run]), [])

    def test_another_definition_is_a_case(self):
        asked = make_asked(shape=records.digest_shape(False, b"one"))
        run = make_run(shape=records.digest_shape(True, b"one"))
        found = self.find([asked], [run])
        self.assertEqual(found, [("PINNED", "another definition at i-1")])

    def test_an_acknowledged_name_that_is_unknown_is_a_case(self):
        shape = records.digest_shape(False, b"one")
        asked = make_asked(sent=b"EXECUTE s1 i", code="NOSTMT", shape=shape)
        what = "unknown name though it was acknowledged"
        self.assertEqual(self.find([asked], []), [("PINNED", what)])

    def test_a_name_that_was_never_acknowledged_may_be_unknown(self):
        asked = make_asked(sent=b"EXECUTE s1 i", code="NOSTMT", shape="")
        self.assertEqual(self.find([asked], []), [])

    def test_a_run_outside_its_transaction_is_a_case(self):
        found = self.find([make_asked(transaction=1)], [make_run()])
        self.assertEqual(found, [("PINNED", "outside its transaction at i-1")])

    def test_a_run_in_anothers_transaction_is_a_case(self):
        asked = [make_asked("1", transaction=1), make_asked("2")]
        runs = [make_run("1", transaction=7), make_run("2", transaction=7)]
        found = self.find(asked, runs)
        what = "in another's transaction at i-1"
        self.assertEqual(found, [("PINNED", what), ("PINNED", what)])

    def test_a_read_in_a_transaction_of_its_own_is_no_case(self):
        run = make_run(transaction=7)
        self.assertEqual(self.find([make_asked()], [run]), [])

    def test_another_connection_than_the_first_statement_is_a_case(self):
        asked = [
            make_asked("1", transaction=1),
            make_asked("2", transaction=1),
        ]
        runs = [
            make_run("1", transaction=7),
            make_run("2", transaction=8, connection=2),
        ]
        found = self.find(asked, runs)
        self.assertEqual(found, [("PINNED", "on another connection at i-1")])


class TestTwice(StatementChecksTestCase):
    """Writes that took effect twice."""

    def find_writes(self, commits):
        text = b"WRITE i d"
        asked = make_asked(sent=text, writes=True)
        run = make_run(ran=text, writes=True)
        return self.find([asked], [run, run], [("1", [run])] * commits)

    def test_two_commits_of_a_write_are_a_case(self):
        found = self.find_writes(2)
        self.assertEqual(found, [("TWICE", "took effect twice at i-1")])

    def test_a_run_that_was_rolled_back_does_not_count(self):
        self.assertEqual(self.find_writes(1), [])

    def test_a_commit_that_a_promotion_dropped_does_not_count(self):
        seen = records.ServerRecords()
        commit = records.Commit("1", "svc", records.Position(1, 5), ())
        seen.commits.append(commit)
        seen.drop_after("other", records.Position(1, 4))
        seen.drop_after("svc", records.Position(1, 5))
        self.assertEqual(seen.commits, [commit])
        seen.drop_after("svc", records.Position(1, 4))
        self.assertEqual(seen.commits, [])


class TestRefused(StatementChecksTestCase):
    """Writes that were committed after a promise that nothing is kept."""

    def test_a_commit_after_each_promise_is_a_case(self):
        for code in statement_checks.PROMISES:
            with self.subTest(code):
                found = self.find_transaction(code=code)
                what = f"committed after {code} at i-1"
                self.assertEqual(found, [("REFUSED", what)])

    def test_a_commit_after_an_unknown_outcome_is_no_case(self):
        for code in ("INDOUBT", "TIMEOUT", None):
            with self.subTest(code):
                self.assertEqual(self.find_transaction(code=code), [])


class TestSize(unittest.TestCase):
    """Messages to a server that are longer than the wire allows."""

    def test_a_message_that_is_too_long_is_a_case(self):
        seen = records.ServerRecords()
        seen.oversized.append(1024 * 1024 + 1)
        evidence = statement_checks.Evidence([], seen)
        found = [each.rule for each in statement_checks.check(evidence)]
        self.assertEqual(found, ["SIZE"])


class TestDrawing(unittest.TestCase):
    """What callers send."""

    def setUp(self):
        self.drawing = drawing.Drawing(random.Random(1), 4)

    def test_no_text_holds_the_end_of_a_line(self):
        for _ in range(5_000):
            self.assertNotIn(b"\r\n", self.drawing.draw_text())

    def test_texts_end_in_blanks_are_empty_and_are_not_utf_8(self):
        texts = [self.drawing.draw_text() for _ in range(500)]
        self.assertIn(b"", texts)
        self.assertTrue(any(each.endswith(b"  ") for each in texts))
        self.assertTrue(any(b"\xff" in each for each in texts))

    def test_a_seed_gives_the_same_operations_again(self):
        other = drawing.Drawing(random.Random(1), 4)
        for _ in range(50):
            one = self.drawing.draw_operation(0.4, 0.4)
            self.assertEqual(one, other.draw_operation(0.4, 0.4))

    def test_large_messages_are_few_and_within_the_limit(self):
        sizes = []
        for _ in range(2_000):
            for step in self.drawing.draw_operation(0.4, 0.4).steps:
                text = drawing.render_step(step, "i/o1/k/1/0", 16)
                sizes.append(len(b"QUERY " + text + b" \r\n") + 16)
        sizes.sort()
        self.assertLessEqual(sizes[-1], drawing.MAX_MESSAGE_BYTES)
        self.assertEqual(sum(size > 4_000 for size in sizes), 4)


class TestConnectionState(unittest.TestCase):
    """What a server keeps of a connection."""

    def setUp(self):
        self.state = ConnectionState(records.ServerRecords())

    def test_a_value_keeps_its_blanks(self):
        self.state.assign(b"a  1 ")
        self.state.assign(b"b ")
        self.assertEqual(self.state.values, {b"a": b" 1 ", b"b": b""})

    def test_a_reset_drops_values_and_prepared_statements(self):
        self.state.assign(b"a 1")
        self.state.prepare(b"s1 READ x")
        self.state.reset()
        self.assertEqual((self.state.values, self.state.prepared), ({}, {}))

    def test_a_prepared_statement_keeps_its_definition(self):
        self.state.prepare(b"s1 WRITE  x ")
        found = self.state.prepared[b"s1"]
        self.assertEqual((found.writes, found.shape), (True, b" x "))

    def test_the_end_of_a_transaction_drops_its_writes(self):
        self.state.begin(True)
        self.state.writes.append(make_run())
        self.state.end()
        self.assertEqual(self.state.writes, [])
        self.assertEqual(self.state.phase, "I")


class TestItems(unittest.TestCase):
    """The item that tells where a statement comes from."""

    def test_an_item_holds_no_blank(self):
        origin = requests.Origin("edge-a-1", "o3", "k7b", 12.5)
        self.assertNotIn(" ", requests.encode(origin, 3))


if __name__ == "__main__":
    unittest.main()
