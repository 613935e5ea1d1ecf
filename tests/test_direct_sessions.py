"""Sessions of direct service: answers to callers, and what servers run."""

import unittest
import zlib

from cuminwall.direct import events, statements
from cuminwall.direct.answers import Phase, Reason
from cuminwall.direct.servers_state import ConnectionStatus
from tests import direct_world


def make_world(
    names: tuple[str, ...] = ("a",), seed: int = 1
) -> direct_world.World:
    """Returns a world with a primary and a replica."""
    primary = direct_world.FakeServer("p")
    primary.is_primary = True
    replica = direct_world.FakeServer("q")
    replica.lag_s = 0.06
    world = direct_world.World(names, (primary, replica), seed)
    world.run(4.0)
    return world


class LoginTest(unittest.TestCase):
    """Accepted and rejected logins."""

    def test_unknown_key(self) -> None:
        caller = make_world().instances["a"].caller("db", "wrong")
        self.assertEqual(caller.refusal.reason, Reason.KEY_UNKNOWN)

    def test_unknown_database(self) -> None:
        caller = make_world().instances["a"].caller("none")
        self.assertEqual(caller.refusal.reason, Reason.NO_DATABASE)

    def test_before_the_first_configuration(self) -> None:
        world = direct_world.World(("a",))
        caller = world.instances["a"].caller()
        self.assertFalse(caller.is_open)
        world.run(1.0)
        self.assertTrue(caller.is_open)

    def test_statement_sent_with_the_login_is_answered_too_early(self) -> None:
        world = direct_world.World(("a",))
        caller = world.instances["a"].caller()
        caller.send(statements.Assign("1", "SET x 1", "x", "1"))
        self.assertEqual(caller.answers, [])
        world.run(1.0)
        self.assertTrue(caller.is_open)
        self.assertEqual(caller.reasons(), [None])


class StatementTest(unittest.TestCase):
    """Statements outside and inside transactions."""

    def setUp(self) -> None:
        self.world = make_world()
        self.instance = self.world.instances["a"]

    def test_prepared_statement_under_own_name(self) -> None:
        caller = self.instance.caller()
        shape = statements.Shape(True, "q2c")
        caller.send(statements.Prepare("1", "PREPARE s WRITE q2c", "s", shape))
        caller.send(statements.Execute("2", "EXECUTE s 1 x", "s"))
        caller.send(statements.Execute("3", "EXECUTE t 1 x", "t"))
        self.world.run(0.5)
        unknown_name = Reason.UNKNOWN_STATEMENT
        self.assertEqual(caller.reasons(), [None, None, unknown_name])

    def test_log_line_identifies_the_text(self) -> None:
        caller = self.instance.caller()
        caller.send(statements.Write("2", "WRITE 1 x\udcff "))
        self.world.run(0.5)
        (line,) = self.instance.log_fields("answered")
        self.assertEqual(line["text_bytes"], 11)
        crc = zlib.crc32(b"WRITE 1 x\xff ")
        self.assertEqual(line["text_crc"], f"{crc:08x}")

    def test_values_do_not_reach_another_session(self) -> None:
        one = self.instance.caller()
        one.send(statements.Assign("1", "SET x 1", "x", "1"))
        one.send(statements.Write("2", "WRITE 1 x"))
        self.world.run(0.5)
        other = self.instance.caller()
        other.send(statements.Write("3", "WRITE 1 x"))
        self.world.run(0.5)
        for link in self.instance.links.values():
            if link.server.name == "p":
                self.assertEqual(link.values, {})

    def test_refused_message_leaves_its_transaction_open(self) -> None:
        refused = (
            statements.Malformed("3", "HELLO"),
            statements.Begin("3", "BEGIN", False),
            statements.Execute("3", "EXECUTE s 1", "s"),
            statements.Deallocate("3", "DEALLOCATE s", "s"),
        )
        for statement in refused:
            with self.subTest(statement):
                caller = self.instance.caller()
                caller.send(statements.Begin("1", "BEGIN", False))
                caller.send(statements.Write("2", "WRITE 1 x"))
                self.world.run(0.5)
                caller.send(statement)
                self.world.run(0.5)
                statuses = set()
                for connection in self.instance.state.connections.values():
                    statuses.add(connection.status)
                self.assertEqual(statuses, {ConnectionStatus.IDLE})
                self.assertEqual(caller.answers[-1].phase, Phase.FAILED)
                caller.send(statements.Rollback("4", "ROLLBACK"))
                self.world.run(0.5)
                self.assertEqual(caller.answers[-1].phase, Phase.IDLE)

    def test_success_without_the_proof_of_a_server(self) -> None:
        # The answer to a read is lost, that to the ROLLBACK behind it arrives.
        caller = self.instance.caller()
        self.world.servers["p"].lose_answers = 1
        caller.send(statements.Read("1", "READ 1"))
        self.world.run(4.0)
        (answer,) = caller.answers
        self.assertIsNone(answer.failure)
        self.assertEqual(answer.rows, ("row of 1",))
        self.assertEqual(answer.completion, "proof p")

    def test_rollback_discards_writes(self) -> None:
        caller = self.instance.caller()
        caller.send(statements.Begin("1", "BEGIN", False))
        caller.send(statements.Write("2", "WRITE 1 x"))
        caller.send(statements.Rollback("3", "ROLLBACK"))
        self.world.run(0.5)
        self.assertEqual(caller.reasons(), [None] * 3)
        self.assertEqual(self.world.servers["p"].log, [])

    def test_failed_transaction_accepts_only_its_end(self) -> None:
        caller = self.instance.caller()
        caller.send(statements.Begin("1", "BEGIN READ", True))
        caller.send(statements.Write("2", "WRITE 1 x"))
        caller.send(statements.Read("3", "READ 1"))
        caller.send(statements.Commit("4", "COMMIT"))
        self.world.run(0.5)
        self.assertEqual(
            caller.reasons(),
            [None, Reason.NOT_PRIMARY, Reason.MALFORMED, Reason.ROLLED_BACK],
        )
        self.assertIs(caller.answers[-1].phase, Phase.IDLE)

    def test_session_sees_its_own_write(self) -> None:
        self.world.servers["q"].lag_s = 60.0
        caller = self.instance.caller("own")
        for number in range(20):
            caller.send(statements.Write(f"w{number}", "WRITE 1 x"))
            caller.send(statements.Read(f"r{number}", "READ 1"))
        self.world.run(5.0)
        self.assertEqual(caller.reasons(), [None] * 40)
        self.assertEqual(self.world.servers["q"].statements_run, [])


class LostAnswerTest(unittest.TestCase):
    """Answers to the caller when a server's answer is lost."""

    def setUp(self) -> None:
        self.world = make_world()
        self.primary = self.world.servers["p"]

    def test_write_has_unknown_outcome_and_is_not_retried(self) -> None:
        caller = self.world.instances["a"].caller()
        self.primary.lose_answers = 1
        caller.send(statements.Write("w", "WRITE 1 x"))
        self.world.run(3.0)
        self.assertEqual(caller.reasons(), [Reason.OUTCOME_UNKNOWN])
        ran = [request for request, _, _ in self.primary.statements_run]
        self.assertEqual(ran, ["w"])

    def test_transaction_is_rolled_back(self) -> None:
        caller = self.world.instances["a"].caller()
        caller.send(statements.Begin("1", "BEGIN", False))
        self.primary.lose_answers = 1
        caller.send(statements.Write("2", "WRITE 1 x"))
        self.world.run(3.0)
        caller.send(statements.Commit("3", "COMMIT"))
        self.world.run(1.0)
        rolled_back = Reason.ROLLED_BACK
        self.assertEqual(caller.reasons(), [None, rolled_back, rolled_back])
        self.assertEqual(self.primary.log, [])

    def test_commit_has_unknown_outcome(self) -> None:
        caller = self.world.instances["a"].caller()
        caller.send(statements.Begin("1", "BEGIN", False))
        caller.send(statements.Write("2", "WRITE 1 x"))
        self.world.run(0.5)
        self.primary.lose_answers = 1
        caller.send(statements.Commit("3", "COMMIT"))
        self.world.run(3.0)
        self.assertEqual(caller.reasons()[-1], Reason.OUTCOME_UNKNOWN)


class ConfigChangeTest(unittest.TestCase):
    """Changes of the configuration while sessions are open."""

    def test_withdrawn_key_ends_an_idle_session(self) -> None:
        world = make_world()
        caller = world.instances["a"].caller()
        world.configure(direct_world.make_catalog(2)._replace(keys={}))
        world.run(0.1)
        self.assertTrue(caller.is_closed)

    def test_withdrawn_key_ends_a_transaction_soon(self) -> None:
        world = make_world()
        caller = world.instances["a"].caller()
        caller.send(statements.Begin("1", "BEGIN", False))
        caller.send(statements.Write("2", "WRITE 1 x"))
        world.run(0.5)
        world.configure(direct_world.make_catalog(2)._replace(keys={}))
        world.run(2.0)
        self.assertTrue(caller.is_closed)
        self.assertEqual(world.servers["p"].log, [])

    def test_missed_change_is_found_by_a_peer(self) -> None:
        # One instance misses a change without any failed call: the store
        # dropped its history before that instance could read the change.
        world = make_world(("a", "b", "c"))
        behind = next(
            each
            for each in world.instances.values()
            if not each.state.own_lease.epoch
        )
        behind.has_store = False
        world.configure(direct_world.make_catalog(2)._replace(keys={}))
        world.run(0.2)
        behind.has_store = True
        self.assertEqual(behind.state.catalog.version, 1)
        world.run(1.5)
        self.assertEqual(behind.state.catalog.version, 2)

    def test_older_version_changes_nothing(self) -> None:
        world = make_world()
        world.configure(direct_world.make_catalog(5))
        world.run(0.1)
        world.configure(direct_world.make_catalog(4)._replace(keys={}))
        world.run(0.1)
        self.assertEqual(world.instances["a"].state.catalog.version, 5)

    def test_zone_taken_out_gets_no_new_work(self) -> None:
        world = make_world()
        world.servers["q"].zone = "z2"
        world.write_entry(world.servers["q"])
        world.run(0.1)
        instance = world.instances["a"]
        instance.handle_event(events.EvacuationSeen(world.now, "z2", True))
        caller = instance.caller("aged")
        for number in range(10):
            caller.send(statements.Read(f"r{number}", "READ 1"))
        world.run(2.0)
        self.assertEqual(world.servers["q"].statements_run, [])
        self.assertEqual(caller.reasons(), [None] * 10)


class ShutdownTest(unittest.TestCase):
    """An orderly shutdown."""

    def test_idle_sessions_close_in_batches_and_transactions_end(self) -> None:
        world = make_world(("a", "b"))
        instance = world.instances["a"]
        idle = [instance.caller() for _ in range(20)]
        busy = instance.caller()
        busy.send(statements.Begin("1", "BEGIN", False))
        busy.send(statements.Write("2", "WRITE 1 x"))
        world.run(0.3)
        instance.handle_event(events.ShutdownRequested(world.now))
        world.run(0.5)
        closed = sum(caller.is_closed for caller in idle)
        self.assertGreater(closed, 0)
        self.assertLess(closed, 20)
        busy.send(statements.Commit("3", "COMMIT"))
        world.run(3.0)
        self.assertEqual(busy.reasons(), [None] * 3)
        self.assertTrue(all(caller.is_closed for caller in idle))
        self.assertTrue(busy.is_closed)
        self.assertTrue(instance.log_fields("done"))


if __name__ == "__main__":
    unittest.main()
