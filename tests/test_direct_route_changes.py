"""A route that moves or goes, or a key that goes, at any moment of a session.

A seeded random walk lets callers and the platform do what they may at any
moment, and judges each statement that an instance sends to a server.
"""

import dataclasses
import random
import unittest
from collections.abc import Callable
from typing import Any

from cuminwall.direct import (
    answers,
    catalog,
    commands,
    effects,
    events,
    statements,
)
from cuminwall.direct.answers import Phase, Reason
from cuminwall.direct.callers_state import Operation, Stage
from tests import direct_world

DATABASES = ("db", "aged", "own")
KEYS = {"key": "w", "other": "v"}
SERVICES = ("s", "t")
# The service of a database in a new version; "" for no route.
ROUTE_CHOICES = ("s", "t") * 4 + ("",)
TIMEOUTS_S = (0.3, 0.8, 2.0)
IDLE_S = 3.0
SLACK_S = 0.001  # Of times that the simulation rounds.
WALK_SEEDS = range(8)
WALK_STEPS = 3000
MEAN_STEP_S = 0.02
MAX_PERSONS = 30


@dataclasses.dataclass
class Request:
    """One statement of a caller, as the caller sent it.

    Attributes:
      name: Its request id.
      instance: The instance that it was sent to.
      database: The database of its session.
      key: The key of its session.
      arrived_at: When it arrived at the instance.
      began_at: When the BEGIN of its transaction arrived; None outside one.
      rested_from: When its transaction last sent or got something before it.
      config: The configuration in force at the instance when it arrived.
      own_config: The same for the BEGIN of its transaction, if there is one.
    """

    name: str
    instance: str
    database: str
    key: str
    arrived_at: float
    began_at: float | None
    rested_from: float
    config: catalog.Catalog = dataclasses.field(repr=False)
    own_config: catalog.Catalog = dataclasses.field(repr=False)


@dataclasses.dataclass
class Sent:
    """A statement that an instance sent to a server.

    Attributes:
      request: The statement.
      service: The service of the server.
      at: When it was sent.
      stage: The stage of its operation when its route last changed, or "".
      changed_at: When that was.
      timeout_s: The time limit of the operation's route.
    """

    request: Request
    service: str
    at: float
    stage: str
    changed_at: float
    timeout_s: float


class Server(direct_world.FakeServer):
    """A server of one of two services.

    Attributes:
      service: The service.
      is_busy: Whether it refuses every statement and transaction.
      delay_s: How long it takes for each of them beside the time to run it.
    """

    def __init__(self, name: str, service: str, is_primary: bool):
        super().__init__(name)
        self.service = service
        self.is_primary = is_primary
        self.is_busy = False
        self.delay_s = 0.0


class World(direct_world.World):
    """Instances and two services, and what was in force and sent when.

    Attributes:
      in_force: The configurations of each instance, and since when.
      requests: The callers' statements by id.
      sent: The statements that were sent to servers, in their order.
      stages: The stage of each operation when its route changed, and when.
    """

    def __init__(
        self,
        servers: tuple[Server, ...],
        seed: int = 1,
        config: catalog.Catalog | None = None,
    ):
        self.in_force: dict[str, list[tuple[float, catalog.Catalog]]] = {}
        self.requests: dict[str, Request] = {}
        self.sent: list[Sent] = []
        self.stages: dict[str, tuple[str, float]] = {}
        super().__init__(
            ("a", "b"), servers, seed, config=config or make_config(1, {})
        )

    def write_entry(
        self, server: direct_world.FakeServer, **changes: Any
    ) -> None:
        """Writes a server's entry, with its service."""
        assert isinstance(server, Server)
        super().write_entry(server, **{"service": server.service, **changes})

    def perform(self, instance: direct_world.Instance, effect: Any) -> None:
        """Performs an effect and records what the checks need."""
        if isinstance(effect, effects.Promote):
            # No promotion is carried out: a primary only comes back.
            return
        if isinstance(effect, effects.Note) and effect.event == "in_force":
            self._record_config(instance)
        if isinstance(effect, effects.SendCommands):
            self._record_sent(instance, effect)
        super().perform(instance, effect)

    def cut_connections(self, server: Server) -> None:
        """Ends all connections to a server."""
        for instance in self.instances.values():
            for number, link in list(instance.links.items()):
                if link.server is not server:
                    continue
                del instance.links[number]
                instance.handle_event(
                    events.ConnectionEnded(self.now, number, None, False)
                )

    def _record_config(self, instance: direct_world.Instance) -> None:
        config = instance.state.catalog
        history = self.in_force.setdefault(instance.name, [])
        history.append((self.now, config))
        for operation in instance.state.operations.values():
            route = config.routes.get(operation.session.database)
            if route is not None and route.service == operation.route.service:
                continue
            stage = operation.stage.name.lower()
            if operation.attempts and not operation.connection:
                stage = "retried " + stage
            elif not operation.server and stage == "waiting_for_connection":
                stage = "waiting_for_primary"
            self.stages[operation.statement.request] = (stage, self.now)

    def _record_sent(
        self, instance: direct_world.Instance, effect: effects.SendCommands
    ) -> None:
        connection = instance.state.connections.get(effect.connection)
        for command in effect.commands:
            if not isinstance(
                command, commands.Forward | commands.ForwardExecute
            ):
                continue
            assert connection is not None
            operation = connection.operation
            assert operation is not None
            self.sent.append(self._describe(operation, connection.server))

    def _describe(self, operation: Operation, server: Any) -> Sent:
        name = operation.statement.request
        stage, changed_at = self.stages.get(name, ("", 0.0))
        return Sent(
            self.requests[name],
            server.entry.service,
            self.now,
            stage,
            changed_at,
            operation.route.timeout_s,
        )

    def _serve(
        self,
        instance: direct_world.Instance,
        number: int,
        link: direct_world.ServerLink,
        command: Any,
    ) -> None:
        """Makes a server run a command, or refuse it while it is busy."""
        is_statement = isinstance(
            command, commands.Forward | commands.ForwardExecute
        )
        is_begin = isinstance(command, commands.OpenTransaction)
        server = link.server
        assert isinstance(server, Server)
        if is_statement or is_begin:
            link.free_at = max(self.now, link.free_at) + server.delay_s
        if server.is_busy and (is_statement or is_begin):
            failure = answers.Failure(Reason.OVERLOADED, "test")
            answer = answers.Answer((), "", failure, link.phase, None)

            def deliver() -> None:
                if instance.links.get(number) is link:
                    event = events.CommandAnswered(self.now, number, answer)
                    instance.handle_event(event)

            self.schedule(server.delay_s + direct_world.LINK_S, deliver)
            return
        super()._serve(instance, number, link, command)


def make_config(
    version: int,
    services: dict[str, str],
    keys: tuple[str, ...] = tuple(KEYS),
    timeout_s: float = 0.8,
    rate: float = 1000.0,
) -> catalog.Catalog:
    """Returns a configuration.

    Args:
      version: Its version.
      services: The service of each database; "s" if it is not named, and no
        route if it is "".
      keys: The keys in force.
      timeout_s: The time limit of the routes.
      rate: Operations a second of each workspace; as many at once at most.
    """
    default = direct_world.make_catalog(version, rate, rate)
    routes = {}
    for database, route in default.routes.items():
        service = services.get(database, "s")
        if service:
            routes[database] = route._replace(
                service=service, timeout_s=timeout_s
            )
    workspaces = {}
    for workspace in KEYS.values():
        workspaces[workspace] = catalog.Workspace(workspace, rate, rate, 1)
    return default._replace(
        routes=routes,
        services={
            name: catalog.ServiceLimits(name, 60, 0.0) for name in SERVICES
        },
        workspaces=workspaces,
        keys={key: KEYS[key] for key in keys},
        transaction_idle_s=IDLE_S,
    )


def make_servers() -> tuple[Server, ...]:
    """Returns a primary and a replica of each service."""
    servers = []
    for service in SERVICES:
        servers.append(Server(f"{service}1", service, True))
        servers.append(Server(f"{service}2", service, False))
    return tuple(servers)


class Person:
    """A caller that sends a statement only after the answer to the last.

    Attributes:
      began_at: When its BEGIN arrived; None outside a transaction.
      began_config: The configuration that was in force then.
      active_at: When it last sent or got something.
      phase: The phase in the last answer.
    """

    def __init__(self, world: World, instance: str, database: str, key: str):
        self.world = world
        self.instance = instance
        self.database = database
        self.key = key
        self.caller = world.instances[instance].caller(database, key)
        self.caller.on_answer = self.handle_answer
        self.count = 0
        self.began_at: float | None = None
        self.began_config = catalog.EMPTY
        self.active_at = world.now
        self.phase = Phase.IDLE

    def is_gone(self) -> bool:
        """Returns whether its session has ended."""
        return self.caller.is_closed or self.caller.refusal is not None

    def is_waiting(self) -> bool:
        """Returns whether a statement of its is unanswered."""
        return len(self.caller.answers) < self.count

    def handle_answer(self, answer: answers.Answer) -> None:
        """Notes the end of its transaction."""
        self.active_at = self.world.now
        self.phase = answer.phase
        if answer.phase is Phase.IDLE:
            self.began_at = None

    def send(self, make: Callable[[str], Any]) -> Request:
        """Sends a statement."""
        world = self.world
        name = f"{self.instance}{self.caller.session}.{self.count}"
        statement = make(name)
        config = world.instances[self.instance].state.catalog
        own_config = config if self.began_at is None else self.began_config
        request = Request(
            name,
            self.instance,
            self.database,
            self.key,
            world.now,
            self.began_at,
            self.active_at,
            config,
            own_config,
        )
        world.requests[name] = request
        self.count += 1
        if isinstance(statement, statements.Begin) and self.began_at is None:
            self.began_at = world.now
            self.began_config = config
        self.active_at = world.now
        self.caller.send(statement)
        return request

    def begin(self, read_only: bool = False) -> Request:
        """Opens a transaction."""
        text = "BEGIN READ" if read_only else "BEGIN"
        return self.send(lambda name: statements.Begin(name, text, read_only))

    def read(self) -> Request:
        """Reads."""
        return self.send(lambda name: statements.Read(name, "READ 1"))

    def write(self) -> Request:
        """Writes."""
        return self.send(lambda name: statements.Write(name, "WRITE 1 x"))

    def assign(self) -> Request:
        """Sets a session value, which no server is needed for."""
        return self.send(
            lambda name: statements.Assign(name, "SET x 1", "x", "1")
        )

    def commit(self) -> Request:
        """Commits."""
        return self.send(lambda name: statements.Commit(name, "COMMIT"))

    def roll_back(self) -> Request:
        """Rolls back."""
        return self.send(lambda name: statements.Rollback(name, "ROLLBACK"))


class Walk:
    """A random walk of callers, the operator and the servers."""

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.world = World(make_servers(), seed)
        self.world.run(4.0)
        self.persons: list[Person] = []
        self.version = 1

    def run(self, steps: int) -> None:
        """Takes steps of a random length in time."""
        choices = (
            (self.act, 60),
            (self.rush, 4),
            (self.configure, 2),
            (self.disturb, 3),
            (self.calm, 5),
        )
        actions = [action for action, _ in choices]
        weights = [weight for _, weight in choices]
        for _ in range(steps):
            self.random.choices(actions, weights)[0]()
            self.world.run(self.random.expovariate(1 / MEAN_STEP_S))
            if self.random.random() < 0.01:
                self.world.run(self.random.uniform(0.0, 1.2 * IDLE_S))

    def act(self) -> None:
        """Lets one caller come, send a statement, or leave."""
        self.persons = [each for each in self.persons if not each.is_gone()]
        if len(self.persons) < MAX_PERSONS:
            self.persons.append(
                Person(
                    self.world,
                    self.random.choice(("a", "b")),
                    self.random.choice(DATABASES),
                    self.random.choice(list(KEYS)),
                )
            )
            return
        person = self.random.choice(self.persons)
        if person.is_waiting():
            if self.random.random() < 0.01:
                person.caller.leave()
                self.persons.remove(person)
            return
        if person.phase is Phase.FAILED:
            person.roll_back()
            return
        if person.began_at is None:
            self.random.choice(
                (
                    person.begin,
                    lambda: person.begin(True),
                    person.read,
                    person.write,
                )
            )()
            return
        self.random.choice(
            (
                person.read,
                person.read,
                person.write,
                person.write,
                person.assign,
                person.commit,
                person.roll_back,
            )
        )()

    def rush(self) -> None:
        """Changes the configuration shortly after several statements."""
        for _ in range(self.random.randint(1, 20)):
            self.act()
        self.world.run(
            self.random.choice((0.0, 0.02, 0.3)) * self.random.random()
        )
        self.configure()

    def configure(self) -> None:
        """Writes a new version that may change routes, keys and limits."""
        self.version += self.random.randint(1, 5)
        services = {}
        for database in DATABASES:
            services[database] = self.random.choice(ROUTE_CHOICES)
        keys = [key for key in KEYS if self.random.random() < 0.8]
        self.world.configure(
            make_config(
                self.version,
                services,
                tuple(keys),
                self.random.choice(TIMEOUTS_S),
                self.random.choice((1000.0, 1000.0, 100.0, 20.0, 5.0)),
            )
        )

    def disturb(self) -> None:
        """Lets something of the platform go wrong."""
        server = self.random.choice(list(self.world.servers.values()))
        assert isinstance(server, Server)
        kind = self.random.randrange(9)
        if kind == 0:
            server.is_unreachable = True
        elif kind == 1:
            server.is_busy = True
        elif kind == 2:
            server.lose_answers = self.random.randint(1, 3)
        elif kind == 3:
            server.lag_s = self.random.choice((0.0, 0.5, 5.0))
        elif kind == 4:
            server.service_s = self.random.choice((0.01, 0.3, 1.0))
        elif kind == 5:
            server.max_connections = self.random.choice((0, 1, 3))
        elif kind == 6:
            server.delay_s = self.random.choice((0.1, 0.25, 0.5))
        elif kind == 7:
            self.world.cut_connections(server)
        elif server.is_primary:
            self.world.write_entry(server, is_primary=False)

    def calm(self) -> None:
        """Mends a server."""
        server = self.random.choice(list(self.world.servers.values()))
        assert isinstance(server, Server)
        server.is_unreachable = False
        server.is_busy = False
        server.delay_s = 0.0
        server.lose_answers = 0
        server.lag_s = 0.0
        server.service_s = 0.01
        server.max_connections = 1_000_000
        self.world.write_entry(server)


class Findings:
    """What is wrong with the statements sent in a walk, by kind.

    Attributes:
      count: The statements judged.
      services: Those run by a service that was not in force for them.
      keys: Those of a key that was not in force when they arrived.
      late: Those sent by an old route after its time limit from their arrival.
      rested: Those of a transaction that had been idle for too long.
      longest_s: The longest time after a change that one was sent by the old
        route, by the stage that it was in at the change.
    """

    def __init__(self) -> None:
        self.count = 0
        self.services: list[str] = []
        self.keys: list[str] = []
        self.late: list[str] = []
        self.rested: list[str] = []
        self.longest_s: dict[str, float] = {}

    def judge(self, world: World) -> None:
        """Judges all statements that were sent."""
        for sent in world.sent:
            self.count += 1
            self._judge(world, sent)

    def _judge(self, world: World, sent: Sent) -> None:
        request = sent.request
        if request.key not in request.config.keys:
            self.keys.append(f"{sent}")
        began_at = request.began_at
        route = request.own_config.routes.get(request.database)
        if route is None or route.service != sent.service:
            self.services.append(f"{sent}")
        if began_at is not None:
            rested_s = request.arrived_at - request.rested_from
            if rested_s > IDLE_S + SLACK_S:
                self.rested.append(f"{rested_s:.3f} s: {sent}")
        elif sent.stage:
            since_s = sent.at - request.arrived_at
            if since_s > sent.timeout_s + SLACK_S:
                self.late.append(f"{since_s:.3f} s: {sent}")
        self._measure(world, sent)

    def _measure(self, world: World, sent: Sent) -> None:
        """Records for how long the old route has been used."""
        request = sent.request
        kind = sent.stage
        changed_at = sent.changed_at
        if request.began_at is not None:
            kind = "transaction"
            changed_at = self._changed_at(world, sent)
        if not kind or sent.at < changed_at:
            return
        longest_s = self.longest_s.get(kind, 0.0)
        self.longest_s[kind] = max(longest_s, sent.at - changed_at)

    def _changed_at(self, world: World, sent: Sent) -> float:
        """Returns when the route of a transaction was first replaced."""
        request = sent.request
        began_at = request.began_at
        assert began_at is not None
        for at, config in world.in_force[request.instance]:
            route = config.routes.get(request.database)
            if at >= began_at:
                if route is None or route.service != sent.service:
                    return at
        return float("inf")


class Moment:
    """A caller at one moment of its session, on instance "a".

    Attributes:
      world: The world.
      person: The caller.
    """

    def __init__(self, timeout_s: float = 0.8, rate: float = 1000.0):
        config = make_config(1, {}, timeout_s=timeout_s, rate=rate)
        self.world = World(make_servers(), 1, config)
        self.world.run(4.0)
        self.person = Person(self.world, "a", "db", "key")

    def wait(self, is_there: Callable[[Operation], bool]) -> None:
        """Goes on until the caller's operation is where it should be.

        Raises:
          AssertionError: It does not get there.
        """
        instance = self.world.instances["a"]
        number = self.person.caller.session
        for _ in range(400):
            for operation in instance.state.operations.values():
                is_own = operation.session.number == number
                if is_own and is_there(operation):
                    return
            self.world.run(0.0005)
        raise AssertionError("the operation has not got there")

    def change(self, config: catalog.Catalog) -> None:
        """Puts a configuration into force now."""
        event = events.CatalogSeen(self.world.now, config)
        self.world.instances["a"].handle_event(event)
        self.world.configure(config)

    def finish(self) -> list[str]:
        """Mends the servers and ends what is open; sends one more write.

        Returns:
          The services that the write was sent to.
        """
        person = self.person
        for server in self.world.servers.values():
            assert isinstance(server, Server)
            server.is_busy = False
            self.world.write_entry(server)
        self.world.run(1.5)
        if person.began_at is not None and not person.is_gone():
            person.write()
            self.world.run(0.5)
            person.roll_back()
            self.world.run(0.5)
        if person.is_gone():
            return []
        name = person.write().name
        self.world.run(1.0)
        sent = self.world.sent
        return [each.service for each in sent if each.request.name == name]


def idle() -> Moment:
    moment = Moment()
    moment.person.write()
    moment.world.run(0.5)
    return moment


def begun() -> Moment:
    moment = Moment()
    moment.person.begin()
    return moment


def waiting_for_token() -> Moment:
    moment = Moment(rate=5.0)
    for _ in range(2):
        Person(moment.world, "a", "db", "key").write()
    moment.person.write()
    moment.wait(lambda each: each.stage is Stage.WAITING_FOR_TOKEN)
    return moment


def waiting_for_connection() -> Moment:
    moment = Moment()
    moment.person.write()
    moment.wait(is_waiting_for_connection)
    return moment


def waiting_for_primary() -> Moment:
    moment = Moment(timeout_s=2.0)
    moment.world.write_entry(moment.world.servers["s1"], is_primary=False)
    moment.world.run(0.1)
    moment.person.write()
    moment.wait(
        lambda each: (
            each.stage is Stage.WAITING_FOR_CONNECTION and not each.server
        )
    )
    return moment


def opening_transaction() -> Moment:
    moment = Moment()
    moment.person.read()
    moment.wait(lambda each: each.stage is Stage.OPENING_TRANSACTION)
    return moment


def sent() -> Moment:
    moment = Moment()
    moment.person.write()
    moment.wait(lambda each: each.stage is Stage.SENT)
    return moment


def refused_and_retried() -> Moment:
    moment = Moment()
    server = moment.world.servers["s1"]
    assert isinstance(server, Server)
    server.is_busy = True
    moment.person.write()
    moment.wait(lambda each: bool(each.attempts and not each.connection))
    return moment


def first_statement_waiting() -> Moment:
    moment = Moment()
    moment.person.begin()
    moment.person.write()
    moment.wait(is_waiting_for_connection)
    return moment


def resting_in_transaction() -> Moment:
    moment = begun()
    moment.person.write()
    moment.world.run(0.5)
    return moment


def after_commit() -> Moment:
    moment = resting_in_transaction()
    moment.person.commit()
    moment.world.run(0.5)
    return moment


def is_waiting_for_connection(operation: Operation) -> bool:
    """Returns whether an operation waits for a connection to be opened."""
    is_waiting = operation.stage is Stage.WAITING_FOR_CONNECTION
    return is_waiting and bool(operation.server)


MOMENTS: tuple[Callable[[], Moment], ...] = (
    idle,
    begun,
    waiting_for_token,
    waiting_for_connection,
    waiting_for_primary,
    opening_transaction,
    sent,
    refused_and_retried,
    first_statement_waiting,
    resting_in_transaction,
    after_commit,
)


class ChangeAtEachMomentTest(unittest.TestCase):
    """One change at each moment of a session, and the next statements."""

    def test_route_moves(self) -> None:
        config = make_config(2, dict.fromkeys(DATABASES, "t"))
        for make in MOMENTS:
            with self.subTest(make.__name__):
                moment = make()
                moment.change(config)
                self.assertEqual(moment.finish(), ["t"])
                self.check(moment)

    def test_route_goes(self) -> None:
        config = make_config(2, dict.fromkeys(DATABASES, ""))
        for make in MOMENTS:
            with self.subTest(make.__name__):
                moment = make()
                moment.change(config)
                self.assertEqual(moment.finish(), [])
                self.check(moment)

    def test_key_is_withdrawn(self) -> None:
        config = make_config(2, {}, keys=("other",))
        for make in MOMENTS:
            with self.subTest(make.__name__):
                moment = make()
                moment.change(config)
                self.assertEqual(moment.finish(), [])
                self.assertTrue(moment.person.is_gone())
                self.check(moment)

    def test_route_goes_and_key_is_withdrawn(self) -> None:
        services = dict.fromkeys(DATABASES, "")
        config = make_config(2, services, keys=("other",))
        for make in MOMENTS:
            with self.subTest(make.__name__):
                moment = make()
                moment.change(config)
                self.assertEqual(moment.finish(), [])
                self.check(moment)

    def test_queued_statement_runs_by_the_new_route(self) -> None:
        moment = idle()
        person = moment.person
        names = [person.write().name for _ in range(3)]
        moment.wait(lambda each: each.stage is Stage.SENT)
        moment.change(make_config(2, dict.fromkeys(DATABASES, "t")))
        moment.world.run(1.0)
        services = {}
        for each in moment.world.sent:
            services[each.request.name] = each.service
        self.assertEqual([services[name] for name in names], ["s", "t", "t"])

    def check(self, moment: Moment) -> None:
        """Checks all statements that were sent."""
        findings = Findings()
        findings.judge(moment.world)
        self.assertEqual(findings.services, [])
        self.assertEqual(findings.keys, [])
        self.assertEqual(findings.late, [])


class OldRouteTest(unittest.TestCase):
    """For how long a route may still be used after it was replaced."""

    def make_reader(self) -> tuple[World, Person]:
        """Returns a caller whose next read goes to the replica."""
        servers = make_servers()
        servers[0].zone = "z2"
        world = World(servers)
        world.run(4.0)
        persons = [Person(world, "a", "aged", "key") for _ in range(8)]
        persons[0].write()
        world.run(1.0)
        for _ in range(5):
            for person in persons:
                person.read()
            world.run(0.2)
        world.sent.clear()
        return world, persons[0]

    def test_read_is_not_sent_again_after_its_time_limit(self) -> None:
        world, person = self.make_reader()
        replica = world.servers["s2"]
        primary = world.servers["s1"]
        assert isinstance(replica, Server) and isinstance(primary, Server)
        replica.delay_s = 0.8
        primary.delay_s = 0.55
        arrived_at = person.read().arrived_at
        world.configure(make_config(2, dict.fromkeys(DATABASES, "t")))
        world.run(0.75)
        self.assertEqual([each.service for each in world.sent], ["s"])
        world.cut_connections(replica)
        world.run(5.0)
        times = [each.at - arrived_at for each in world.sent]
        self.assertLessEqual(max(times), 0.8 + SLACK_S)

    def test_transaction_keeps_its_route_as_long_as_it_is_used(self) -> None:
        moment = resting_in_transaction()
        person = moment.person
        began_at = person.began_at
        moment.change(make_config(2, dict.fromkeys(DATABASES, "t")))
        for _ in range(10):
            person.write()
            moment.world.run(0.96 * IDLE_S)
        person.commit()
        moment.world.run(0.2)
        self.assertEqual(person.caller.reasons(), [None] * 13)
        services = {each.service for each in moment.world.sent}
        self.assertEqual(services, {"s"})
        last_s = moment.world.sent[-1].at - began_at
        self.assertGreater(last_s, 9 * IDLE_S)

    def test_transaction_that_rests_too_long_ends(self) -> None:
        for name in ("begin", "write", "assign"):
            with self.subTest(name):
                moment = resting_in_transaction()
                if name == "begin":
                    moment = begun()
                moment.change(make_config(2, dict.fromkeys(DATABASES, "t")))
                if name == "assign":
                    moment.person.assign()
                moment.world.run(IDLE_S + 0.5)
                moment.person.write()
                moment.world.run(0.5)
                reasons = moment.person.caller.reasons()
                self.assertEqual(reasons[-1], Reason.MALFORMED)

    def test_transaction_ends_by_an_idle_time_that_grows(self) -> None:
        moment = resting_in_transaction()
        config = make_config(2, dict.fromkeys(DATABASES, "t"))
        moment.change(config._replace(transaction_idle_s=2 * IDLE_S))
        moment.world.run(2 * IDLE_S + 0.5)
        moment.person.write()
        moment.world.run(0.5)
        reasons = moment.person.caller.reasons()
        self.assertEqual(reasons[-1], Reason.MALFORMED)

    def test_key_that_becomes_known_counts_for_its_workspace(self) -> None:
        config = make_config(1, {}, keys=("other",))
        route = config.routes["db"]
        opened = config._replace(routes={"db": route._replace(is_open=True)})
        world = World(make_servers(), 1, opened)
        world.run(4.0)
        person = Person(world, "a", "db", "key")
        self.assertTrue(person.caller.is_open)
        refusing = make_config(2, {}, rate=0.0)
        world.configure(refusing)
        world.run(0.5)
        person.write()
        world.run(1.0)
        self.assertEqual(world.sent, [])


class RandomWalkTest(unittest.TestCase):
    """Any changes at any moment; several walks are judged together."""

    findings: Findings

    @classmethod
    def setUpClass(cls) -> None:
        cls.findings = Findings()
        for seed in WALK_SEEDS:
            walk = Walk(seed)
            walk.run(WALK_STEPS)
            cls.findings.judge(walk.world)

    def test_changes_meet_statements_at_each_stage(self) -> None:
        self.assertGreater(self.findings.count, 1000)
        for stage in (
            "waiting_for_token",
            "waiting_for_connection",
            "waiting_for_primary",
            "opening_transaction",
            "retried waiting_for_connection",
            "transaction",
        ):
            self.assertIn(stage, self.findings.longest_s)

    def test_service_is_in_force_at_arrival_or_at_begin(self) -> None:
        self.assertEqual(self.findings.services, [])

    def test_key_is_in_force_at_arrival(self) -> None:
        self.assertEqual(self.findings.keys, [])

    def test_old_route_is_used_no_longer_than_its_time_limit(self) -> None:
        self.assertEqual(self.findings.late, [])

    def test_transaction_does_not_rest_longer_than_it_may(self) -> None:
        self.assertEqual(self.findings.rested, [])


if __name__ == "__main__":
    unittest.main()
