"""A model: callers leave at any moment, and any answer may not come.

Whatever happens, each connection that is not idle has someone who waits for it,
or a time by which it is closed; and nothing starts for a caller who has left.
"""

import unittest
from typing import Any

import hypothesis
from hypothesis import stateful, strategies

from cuminwall.direct import commands, effects, events, statements
from cuminwall.direct.answers import Phase, Reason
from cuminwall.direct.servers_state import AnswerKind, ConnectionStatus
from tests import direct_world

TIMEOUT_S = 2.0
CLOSED_S = direct_world.limits.DEFAULTS.connect_timeout_s
STEP_S = 0.05
MARGIN_S = 2 * STEP_S
LATE_S = 0.5
CONNECTIONS = 8
MAX_CALLERS = 6

FAULTS = ("lost", "cut", "late", "busy")
KINDS = (AnswerKind.BEGIN, AnswerKind.STATEMENT, AnswerKind.END)
FORWARDS = (commands.Forward, commands.ForwardExecute)


class FaultyWorld(direct_world.World):
    """A world whose servers' answers are lost, cut, late, or a refusal.

    Attributes:
      faults: The faults of the next answers, by the kind of command.
      silent: The connections on which an answer was lost; no more comes there.
      late_until: Until when the answers of a connection are late.
      gone: The requests of callers who have left.
      started: Those of them that were sent to a server after that.
    """

    def __init__(self, servers: tuple[direct_world.FakeServer, ...]):
        self.faults: dict[AnswerKind, str] = {}
        self.silent: set[int] = set()
        self.late_until: dict[int, float] = {}
        self.gone: set[str] = set()
        self.started: list[str] = []
        config = direct_world.make_catalog()
        routes = {}
        for name, route in config.routes.items():
            routes[name] = route._replace(timeout_s=TIMEOUT_S)
        limits = config.services["s"]._replace(connections=CONNECTIONS)
        config = config._replace(routes=routes, services={"s": limits})
        super().__init__(("a",), servers, config=config)
        self.instance = self.instances["a"]
        self.deliver = self.instance.handle_event
        self.instance.handle_event = self.handle_event  # type: ignore[method-assign]

    def perform(self, instance: direct_world.Instance, effect: Any) -> None:
        if isinstance(effect, effects.SendCommands):
            for command in effect.commands:
                if not isinstance(command, FORWARDS):
                    continue
                request = command.statement.request
                if request in self.gone:
                    self.started.append(request)
        super().perform(instance, effect)

    def _serve(
        self,
        instance: direct_world.Instance,
        number: int,
        link: direct_world.ServerLink,
        command: Any,
    ) -> None:
        kind = _kind_of(command)
        is_open = instance.links.get(number) is link
        if not is_open or self.faults.get(kind) != "busy":
            super()._serve(instance, number, link, command)
            return
        del self.faults[kind]
        if link.phase is not Phase.IDLE:
            link.phase = Phase.FAILED
        answer = direct_world._fail(self, link, Reason.OVERLOADED)
        event = events.CommandAnswered(self.now, number, answer)
        self.schedule(
            direct_world.LINK_S,
            lambda: instance.handle_event(event._replace(now=self.now)),
        )

    def handle_event(self, event: Any) -> None:
        """Passes an event on, unless it is an answer with a fault."""
        if not isinstance(event, events.CommandAnswered):
            self.deliver(event)
            return
        number = event.connection
        connection = self.instance.state.connections.get(number)
        if connection is None or number in self.silent:
            if connection is None:
                self.deliver(event)
            return
        fault = ""
        kind = connection.pending_answers[0]
        if self.faults.get(kind) in ("lost", "cut", "late"):
            fault = self.faults.pop(kind)
        if fault == "lost":
            self.silent.add(number)
        elif fault == "cut":
            self.silent.add(number)
            self.instance.links.pop(number, None)
            self.deliver(events.ConnectionEnded(self.now, number, None, False))
        elif fault == "late":
            self.late_until[number] = self.now + LATE_S
        if fault in ("lost", "cut"):
            return
        delay_s = self.late_until.get(number, 0.0) - self.now
        if delay_s <= 0.0:
            self.deliver(event)
            return
        self.schedule(
            delay_s, lambda: self.deliver(event._replace(now=self.now))
        )


def _kind_of(command: Any) -> AnswerKind:
    """Returns what the answer to a command completes."""
    if isinstance(command, FORWARDS):
        return AnswerKind.STATEMENT
    if isinstance(command, commands.OpenTransaction):
        return AnswerKind.BEGIN
    if isinstance(command, commands.EndTransaction):
        return AnswerKind.END
    return AnswerKind.PREPARATION


class AbandonedMachine(stateful.RuleBasedStateMachine):
    """Callers, faults and replaced primaries in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.servers = []
        for name in ("p", "q"):
            self.servers.append(direct_world.FakeServer(name))
        self.servers[0].is_primary = True
        self.world = FaultyWorld(tuple(self.servers))
        self.world.run(4.0)
        self.state = self.world.instance.state
        self.callers: list[direct_world.Caller] = []
        self.sent: dict[int, list[str]] = {}
        self.once: set[str] = set()
        self.has_transaction: dict[int, bool] = {}
        self.rolling_since: dict[tuple[int, float], float] = {}
        self.count = 0
        self.arrive("db")
        self.send(self.callers[0], "write")
        self.run(0.2)

    def arrive(self, database: str) -> None:
        """Adds a caller."""
        caller = self.world.instance.caller(database)
        self.callers.append(caller)
        self.sent[caller.session] = []
        self.has_transaction[caller.session] = False

    def send(self, caller: direct_world.Caller, kind: str) -> None:
        """Makes a caller send a statement."""
        self.count += 1
        request = f"r{self.count}"
        self.sent[caller.session].append(request)
        in_transaction = self.has_transaction[caller.session]
        if kind != "read" or in_transaction:
            self.once.add(request)
        if kind in ("begin", "begin read"):
            self.has_transaction[caller.session] = True
        elif kind in ("commit", "rollback"):
            self.has_transaction[caller.session] = False
        statement: Any = statements.Read(request, "READ 1")
        if kind == "write":
            statement = statements.Write(request, "WRITE 1 x")
        elif kind == "begin":
            statement = statements.Begin(request, "BEGIN", False)
        elif kind == "begin read":
            statement = statements.Begin(request, "BEGIN READ", True)
        elif kind == "commit":
            statement = statements.Commit(request, "COMMIT")
        elif kind == "rollback":
            statement = statements.Rollback(request, "ROLLBACK")
        caller.send(statement)

    def leave(self, caller: direct_world.Caller) -> None:
        """Makes a caller leave."""
        self.callers.remove(caller)
        self.world.gone.update(self.sent[caller.session])
        caller.leave()

    def run(self, seconds: float) -> None:
        """Lets time pass, and checks the connections all the while."""
        for _ in range(max(1, round(seconds / STEP_S))):
            self.world.run(STEP_S)
            self.check_connections()

    def check_connections(self) -> None:
        """Fails if a connection is not idle and has no owner, or too long."""
        now = self.world.now
        for connection in self.state.connections.values():
            status = connection.status
            if status is ConnectionStatus.IDLE:
                continue
            if status is ConnectionStatus.IDLE_IN_TRANSACTION:
                session = connection.session
                assert session is not None and not session.is_gone
                assert session.transaction is not None
                assert session.transaction.connection is connection
                continue
            waited_s = now - connection.last_sent_at
            if status is ConnectionStatus.ROLLING_BACK:
                key = (connection.number, connection.last_sent_at)
                waited_s = now - self.rolling_since.setdefault(key, now)
            limit_s = CLOSED_S
            if status is ConnectionStatus.RUNNING:
                limit_s = TIMEOUT_S
            assert waited_s <= limit_s + MARGIN_S, (status, waited_s)
        assert not self.world.started, self.world.started

    @stateful.rule(database=strategies.sampled_from(("db", "aged", "own")))
    def arrive_at(self, database: str) -> None:
        """A caller arrives."""
        if len(self.callers) < MAX_CALLERS:
            self.arrive(database)

    @stateful.rule(
        index=strategies.integers(0, MAX_CALLERS - 1),
        kind=strategies.sampled_from(
            ("read", "write", "begin", "begin read", "commit", "rollback")
        ),
        wait_s=strategies.sampled_from((0.0, 0.05)),
    )
    def send_one(self, index: int, kind: str, wait_s: float) -> None:
        """A caller sends a statement."""
        if index < len(self.callers):
            self.send(self.callers[index], kind)
            if wait_s:
                self.run(wait_s)

    @stateful.rule(
        index=strategies.integers(0, MAX_CALLERS - 1),
        kind=strategies.sampled_from(("read", "write")),
        opening=strategies.sampled_from(("", "begin", "begin read")),
        wait_s=strategies.sampled_from((0.0, 0.003, 0.02, 0.3)),
    )
    def send_and_leave(
        self, index: int, kind: str, opening: str, wait_s: float
    ) -> None:
        """A caller sends a statement and leaves before its answer."""
        if index >= len(self.callers):
            return
        caller = self.callers[index]
        if opening:
            self.send(caller, opening)
        self.send(caller, kind)
        self.world.run(wait_s)
        self.leave(caller)

    @stateful.rule(index=strategies.integers(0, MAX_CALLERS - 1))
    def leave_one(self, index: int) -> None:
        """A caller leaves."""
        if index < len(self.callers):
            self.leave(self.callers[index])

    @stateful.rule(
        kind=strategies.sampled_from(KINDS),
        fault=strategies.sampled_from(FAULTS),
    )
    def plan_fault(self, kind: AnswerKind, fault: str) -> None:
        """The next answer to a kind of command has a fault."""
        self.world.faults[kind] = fault

    @stateful.rule()
    def replace_primary(self) -> None:
        """The other server becomes the primary."""
        old, new = self.servers
        self.servers = [new, old]
        self.world.lead(new)
        old.is_primary = False
        new.is_primary = True
        self.world.write_entry(old)
        self.world.write_entry(new)

    @stateful.rule(seconds=strategies.sampled_from((0.05, 0.2, 0.6)))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.run(seconds)

    def teardown(self) -> None:
        """Checks that nothing is left of callers once all have left."""
        self.world.faults.clear()
        self.run(TIMEOUT_S + CLOSED_S + MARGIN_S)
        for caller in self.callers:
            sent = self.sent[caller.session]
            assert len(caller.answers) == len(sent), (sent, caller.answers)
        for caller in list(self.callers):
            self.leave(caller)
        self.run(CLOSED_S + MARGIN_S)
        for connection in self.state.connections.values():
            assert connection.status is ConnectionStatus.IDLE, connection.status
            assert connection.operation is None
            link = self.world.instance.links[connection.number]
            assert link.phase is Phase.IDLE, link.phase
        assert not self.state.operations
        assert not self.state.unassigned
        for server in self.state.servers.values():
            assert not len(server.waiting)
        for group in self.state.groups.values():
            assert not len(group.waiting)
        self.check_runs()

    def check_runs(self) -> None:
        """Fails if something ran twice that may not."""
        runs: dict[str, int] = {}
        for server in self.world.servers.values():
            for request, _, _ in server.statements_run:
                runs[request] = runs.get(request, 0) + 1
        for request in self.once:
            assert runs.get(request, 0) <= 1, request


AbandonedModelTest = AbandonedMachine.TestCase
AbandonedModelTest.settings = hypothesis.settings(
    max_examples=800,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
)


if __name__ == "__main__":
    unittest.main()
