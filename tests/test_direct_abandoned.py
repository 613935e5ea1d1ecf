"""Connections whose answer is lost, or whose operation nobody waits for."""

import unittest
from typing import Any

from cuminwall.direct import events, statements
from cuminwall.direct.answers import Failure, Phase, Reason
from cuminwall.direct.servers_state import AnswerKind, ConnectionStatus
from tests import direct_world

TIMEOUT_S = direct_world.route().timeout_s
CLOSED_S = direct_world.limits.DEFAULTS.connect_timeout_s
MARGIN_S = 0.1  # For links and for the work of servers.


class FaultyLinks:
    """Loses answers of servers to one instance, or replaces them by refusals.

    After a lost answer, nothing more comes on its connection.

    Attributes:
      lost: The kinds of command whose answers are lost.
      refused: The kinds of command that are refused, the next time.
      reason: The reason of the refusals.
      silent: The connections on which an answer was lost.
    """

    def __init__(self, instance: direct_world.Instance):
        self.instance = instance
        self.lost: set[AnswerKind] = set()
        self.refused: set[AnswerKind] = set()
        self.reason = Reason.OVERLOADED
        self.silent: set[int] = set()
        self.deliver = instance.handle_event
        instance.handle_event = self.handle_event  # type: ignore[method-assign]

    def handle_event(self, event: Any) -> None:
        """Passes an event on, unless it is an answer that is lost."""
        if not isinstance(event, events.CommandAnswered):
            self.deliver(event)
            return
        connection = self.instance.state.connections.get(event.connection)
        if connection is None or event.connection in self.silent:
            return
        kind = connection.pending_answers[0]
        if kind in self.lost:
            self.silent.add(event.connection)
            return
        if kind in self.refused:
            self.refused.discard(kind)
            self.instance.links[event.connection].phase = Phase.IDLE
            answer = event.answer._replace(
                failure=Failure(self.reason, "test"), phase=Phase.IDLE
            )
            event = event._replace(answer=answer)
        self.deliver(event)


class AbandonedTestCase(unittest.TestCase):
    """One instance, a primary and a replica, with one write done."""

    def setUp(self) -> None:
        self.primary = direct_world.FakeServer("p")
        self.primary.is_primary = True
        self.replica = direct_world.FakeServer("q")
        self.world = direct_world.World(("a",), (self.primary, self.replica))
        self.world.run(4.0)
        self.instance = self.world.instances["a"]
        self.instance.caller().send(statements.Write("w0", "WRITE 1 x"))
        self.world.run(0.5)
        self.links = FaultyLinks(self.instance)

    def busy(self) -> list[ConnectionStatus]:
        """Returns the status of each connection that is not idle."""
        found = []
        for connection in self.instance.state.connections.values():
            if connection.status is not ConnectionStatus.IDLE:
                found.append(connection.status)
        return found

    def runs(self, request: str) -> int:
        """Returns how often servers ran a statement."""
        count = 0
        for server in self.world.servers.values():
            for name, _, _ in server.statements_run:
                count += name == request
        return count


class LostAnswerTest(AbandonedTestCase):
    """A caller leaves and the answer to its statement is lost."""

    def leave(self, *script: Any) -> None:
        """Makes a caller send statements and leave before the last answer."""
        caller = self.instance.caller()
        for statement in script[:-1]:
            caller.send(statement)
            self.world.run(0.1)
        self.links.lost.add(AnswerKind.STATEMENT)
        caller.send(script[-1])
        self.world.run(0.1)
        caller.leave()
        self.links.lost.clear()

    def test_write_in_transaction_keeps_its_connection(self) -> None:
        self.leave(
            statements.Begin("1", "BEGIN", False),
            statements.Write("2", "WRITE 1 x"),
        )
        self.world.run(TIMEOUT_S - 0.1 + MARGIN_S)
        self.assertEqual(self.busy(), [])
        self.assertFalse(self.links.silent & set(self.instance.links))
        self.assertEqual(self.runs("2"), 1)
        (line,) = self.instance.log_fields("connection_silent")
        self.assertEqual((line["server"], line["request"]), ("p", "2"))

    def test_commit_keeps_its_connection(self) -> None:
        self.leave(
            statements.Begin("1", "BEGIN", False),
            statements.Write("2", "WRITE 1 x"),
            statements.Commit("3", "COMMIT"),
        )
        self.world.run(TIMEOUT_S - 0.1 + MARGIN_S)
        self.assertEqual(self.busy(), [])
        self.assertEqual(self.runs("3"), 1)

    def test_statement_by_itself_keeps_its_connection(self) -> None:
        self.leave(statements.Write("1", "WRITE 1 x"))
        self.leave(statements.Read("2", "READ 1"))
        self.world.run(TIMEOUT_S - 0.1 + MARGIN_S)
        self.assertEqual(self.busy(), [])

    def test_opening_of_transaction_keeps_its_connection(self) -> None:
        self.links.lost.add(AnswerKind.BEGIN)
        caller = self.instance.caller()
        caller.send(statements.Read("1", "READ 1"))
        self.world.run(0.1)
        caller.leave()
        self.world.run(TIMEOUT_S - 0.1 + MARGIN_S)
        self.assertEqual(self.busy(), [])

    def test_service_is_refused_for_good(self) -> None:
        # As in review/3: two connections a server, both kept.
        config = direct_world.make_catalog(2)
        limits = config.services["s"]._replace(connections=4)
        self.world.configure(config._replace(services={"s": limits}))
        self.world.run(0.5)
        for _ in range(2):
            self.leave(
                statements.Begin("1", "BEGIN", False),
                statements.Write("2", "WRITE 1 x"),
            )
        self.world.run(TIMEOUT_S + MARGIN_S)
        caller = self.instance.caller()
        caller.send(statements.Write("3", "WRITE 1 x"))
        self.world.run(0.5)
        self.assertEqual(caller.reasons(), [None])


class SlowStatementTest(AbandonedTestCase):
    """A caller leaves while its statement still runs."""

    def test_statement_is_cut_before_its_timeout(self) -> None:
        caller = self.instance.caller()
        self.primary.service_s = 0.75 * TIMEOUT_S / 1.5
        caller.send(statements.Write("1", "WRITE 1 x"))
        self.world.run(0.05)
        opened = self.instance.opened
        caller.leave()
        self.world.run(TIMEOUT_S + MARGIN_S)
        self.assertEqual(self.runs("1"), 1)
        self.assertEqual(self.busy(), [])
        self.primary.service_s = 0.01
        other = self.instance.caller()
        other.send(statements.Write("2", "WRITE 1 x"))
        self.world.run(0.2)
        self.assertEqual(other.reasons(), [None])
        self.assertEqual(self.instance.opened, opened)


class LostRollbackTest(AbandonedTestCase):
    """The answer to a rollback of our own is lost."""

    def test_rollback_behind_a_read_keeps_its_connection(self) -> None:
        self.links.lost.add(AnswerKind.END)
        caller = self.instance.caller()
        caller.send(statements.Read("1", "READ 1"))
        self.world.run(CLOSED_S + MARGIN_S)
        self.assertEqual(caller.reasons(), [None])
        self.assertEqual(self.busy(), [])
        self.assertFalse(self.links.silent & set(self.instance.links))

    def test_rollback_behind_an_abandoned_read(self) -> None:
        self.links.lost.add(AnswerKind.END)
        caller = self.instance.caller()
        self.primary.service_s = 0.1
        caller.send(statements.Read("1", "READ 1"))
        self.world.run(0.02)
        caller.leave()
        self.world.run(0.15 + CLOSED_S + MARGIN_S)
        self.assertEqual(self.runs("1"), 1)
        self.assertEqual(self.busy(), [])

    def test_rollback_by_itself(self) -> None:
        self.links.lost.add(AnswerKind.END)
        caller = self.instance.caller()
        caller.send(statements.Begin("1", "BEGIN", False))
        caller.send(statements.Write("2", "WRITE 1 x"))
        self.world.run(0.1)
        caller.send(statements.Rollback("3", "ROLLBACK"))
        self.world.run(CLOSED_S + MARGIN_S)
        self.assertEqual(self.busy(), [])


class RefusedOpeningTest(AbandonedTestCase):
    """The opening of a transaction is refused after its caller left."""

    def open_and_leave(self, database: str, read_only: bool) -> None:
        """Makes a caller leave before its transaction is open, or refused."""
        self.links.refused.add(AnswerKind.BEGIN)
        caller = self.instance.caller(database)
        caller.send(statements.Begin("1", "BEGIN", read_only))
        caller.send(statements.Read("2", "READ 1"))
        caller.leave()
        self.world.run(0.1)
        self.assertFalse(self.links.refused)

    def check(self) -> None:
        """Fails if something runs for the caller."""
        self.world.run(0.5)
        self.assertEqual(self.runs("2"), 0)
        self.assertEqual(self.busy(), [])
        for fields in self.instance.log_fields("answered"):
            self.assertNotEqual(fields["request"], "2")
        for server in self.instance.state.servers.values():
            self.assertEqual(len(server.waiting), 0)
        for group in self.instance.state.groups.values():
            self.assertEqual(len(group.waiting), 0)

    def test_statement_runs_at_another_server(self) -> None:
        self.links.reason = Reason.OVERLOADED
        self.open_and_leave("aged", True)
        self.check()

    def test_statement_runs_at_the_next_primary(self) -> None:
        config = direct_world.make_catalog(2)
        routes = {"db": direct_world.route(timeout_s=3.0)}
        self.world.configure(config._replace(routes=routes))
        self.world.run(0.5)
        self.links.reason = Reason.NOT_PRIMARY
        self.open_and_leave("db", False)
        self.primary.is_primary = False
        self.replica.is_primary = True
        self.world.write_entry(self.primary)
        self.world.write_entry(self.replica)
        self.check()

    def test_statement_is_answered_again(self) -> None:
        self.links.reason = Reason.FAILED
        self.open_and_leave("db", False)
        self.check()
        self.assertEqual(len(self.instance.log_fields("abandoned")), 1)

    def test_connection_is_not_used_again(self) -> None:
        opened = self.instance.opened
        self.links.reason = Reason.NOT_PRIMARY
        self.open_and_leave("db", False)
        self.assertEqual(self.busy(), [])
        self.assertEqual(self.instance.opened, opened)


if __name__ == "__main__":
    unittest.main()
