"""Measures what the reducer alone costs: no sockets, no clock, no engine.

Each size is a number of databases in the configuration, of instances, and of
sessions connected to this instance. Prints microseconds and the ratio to the
first size. Each figure is the minimum of several runs, since other work on
the machine only adds to it.
"""

import json
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from absl import app, flags

from cuminwall import (
    configuration,
    document,
    effects,
    events,
    messages,
    ports,
    probes,
    reducer,
    state,
    timings,
    work,
    writeleases,
)

ZONES = ("sediu", "dispecerat", "ghiseu-nord")
SERVERS = ("a", "b", "c")
WORKSPACE = "clerks"
KEY = "clerk-1"
OWN_INSTANCE = "sediu-0"
LSN = 1000
LEASE_S = 1e9
SHARDS = 4
ROUND_INTERVAL_S = 1.0  # Long enough that no rate is ever exceeded.
WARM_UP_ROUNDS = 200

_RUNS = flags.DEFINE_integer("runs", 5, "Repetitions of each measurement.")
_ROUNDS = flags.DEFINE_integer("rounds", 2000, "Rounds in each run.")
_SIZES = flags.DEFINE_list(
    "sizes",
    ["3:9:0", "300:300:0", "5900:2900:0", "3:9:5000"],
    "Sizes, each as databases:instances:sessions.",
)


class Size(NamedTuple):
    """The size of a site, as one instance sees it.

    Attributes:
      databases: Database groups in the configuration.
      instances: Instances in the instance list.
      sessions: Sessions connected to this instance.
    """

    databases: int
    instances: int
    sessions: int


class Bench:
    """The reducer of one instance, with the state of a site of a given size.

    Attributes:
      size: The size of the site.
      state: The state that the reducer works on.
      now: The time of the next event.
      number: The last number given to a round or session.
      service: A database group that this instance is a home of.
    """

    def __init__(self, size: Size):
        self.size = size
        self.now = 1000.0
        self.number = 10_000_000
        self.document = make_document(size.databases)
        self.records = make_records(size.instances)
        self.state = state.State(
            OWN_INSTANCE, ZONES[0], timings.DEFAULTS, SHARDS, self.now
        )
        self.feed(events.ConfigLoaded(self.now, self.parse(1)))
        self.feed(events.InstancesListed(self.now, self.records))
        self.state.fresh_until = self.now + LEASE_S
        steward = self.records[1].instance
        for shard in range(SHARDS):
            self.state.shards[shard] = messages.ShardRecord(
                shard, 1, steward, (), True, 1
            )
        for group in self.state.groups.values():
            self.make_group_servable(group)
        self.service = next(iter(self.state.groups))
        self.session = self.open_session()
        for _ in range(size.sessions):
            self.open_session()

    def feed(self, event: events.Event) -> list[effects.Effect]:
        """Feeds an event and returns its effects."""
        return reducer.reduce(self.state, event)

    def parse(self, version: int) -> configuration.Configuration:
        """Returns the configuration with the given version."""
        return configuration.parse(self.document, version)

    def make_group_servable(self, group: state.Group) -> None:
        """Gives a group the term, lease and probe results it needs to serve."""
        entry = messages.TermEntry(1, SERVERS[0], 1, 0)
        record = messages.GroupRecord(group.service, True, (entry,))
        writeleases.apply_record(self.state, record, [])
        group.lease_term = 1
        group.lease_until = self.now + LEASE_S
        for name in SERVERS:
            answer = probes.ProbeAnswer(name != SERVERS[0], LSN, 1)
            probed = events.ServerProbed(
                self.now, group.service, name, self.now, answer
            )
            self.feed(probed)

    def open_session(self) -> int:
        """Opens a session with a known floor and returns its number."""
        self.number += 1
        login = work.Login(self.service, KEY, WORKSPACE, "", "")
        opened = events.SessionOpened(self.now, self.number, login)
        self.feed(opened)
        session = self.state.sessions[self.number]
        session.floor = work.Position(1, LSN)
        return self.number

    def start_round(self, access: work.Access) -> effects.Execute:
        """Feeds a new round and returns the effect that executes it."""
        self.now += ROUND_INTERVAL_S
        self.number += 1
        emitted = self.feed(
            events.RoundArrived(
                self.now,
                self.session,
                self.number,
                access,
                False,
                False,
                None,
                (),
            )
        )
        for effect in emitted:
            if isinstance(effect, effects.Execute):
                return effect
        raise RuntimeError(f"no Execute effect for the round: {emitted}")

    def complete_round(self, execute: effects.Execute, lsn: int) -> None:
        """Feeds the server's result and completes the round."""
        result = work.ServerResult(
            b"I", work.Loss.NONE, False, False, False, lsn
        )
        emitted = self.feed(events.RoundExecuted(self.now, execute.key, result))
        for effect in emitted:
            if not isinstance(effect, effects.Answer):
                continue
            answered = events.HomeAnswered(
                self.now, effect.key.number, effect.answer
            )
            ended = self.feed(answered)
            if isinstance(ended[-1], effects.Complete):
                return
        raise RuntimeError(f"no Complete effect for the round: {emitted}")

    def run_read(self) -> None:
        """Runs a read round from arrival to completion."""
        self.complete_round(self.start_round(work.Access.READ), 0)

    def run_write(self) -> None:
        """Runs a write round from arrival to completion."""
        self.complete_round(self.start_round(work.Access.WRITE), LSN)

    def tick(self) -> None:
        """Feeds a tick in which nothing has changed."""
        self.now += timings.DEFAULTS.tick_s
        self.feed(events.Tick(self.now))

    def load_next_config(self) -> None:
        """Loads the next version of the configuration."""
        version = self.state.config.version + 1
        changed = self.state.config._replace(version=version)
        self.feed(events.ConfigLoaded(self.now, changed))

    def feed_same_list(self) -> None:
        """Feeds an instance list that has not changed."""
        self.feed(events.InstancesListed(self.now, self.records))

    def feed_changed_list(self) -> None:
        """Feeds an instance list in which `leaving` of one instance differs."""
        last = self.records[-1]
        changed = last._replace(leaving=not last.leaving)
        self.records = (*self.records[:-1], changed)
        self.feed(events.InstancesListed(self.now, self.records))


def make_document(databases: int) -> document.Document:
    """Returns a configuration with the given number of database groups."""
    services = {}
    for number in range(databases):
        servers = {}
        for place, name in enumerate(SERVERS):
            servers[name] = {
                "host": "127.0.0.1",
                "port": 5432,
                "zone": ZONES[place % len(ZONES)],
            }
        services[f"db-{number}"] = {
            "servers": servers,
            "database": f"db-{number}",
            "user": "u",
            "password": "p",
            "connections_per_server": 20,
            "acknowledge": "primary",
        }
    value: Any = document.empty()
    value["zones"] = {zone: {} for zone in ZONES}
    value["workspaces"] = {WORKSPACE: {"rate": 1e6, "burst": 1e6}}
    value["services"] = services
    value["keys"] = {KEY: {"workspace": WORKSPACE, "verifier": "v"}}
    return value


def make_records(instances: int) -> tuple[ports.InstanceRecord, ...]:
    """Returns an instance list, spread evenly over the zones."""
    records = []
    for number in range(instances):
        zone = ZONES[number % len(ZONES)]
        name = f"{zone}-{number // len(ZONES)}"
        records.append(
            ports.InstanceRecord(name, zone, "127.0.0.1", 1 + number, False)
        )
    return tuple(records)


def measure_min_us(call: Callable[[], None], count: int) -> float:
    """Returns the minimum time of a call over several runs, in microseconds."""
    costs = []
    for _ in range(_RUNS.value):
        began = time.perf_counter()
        for _ in range(count):
            call()
        costs.append(1e6 * (time.perf_counter() - began) / count)
    return min(costs)


def measure(size: Size) -> dict[str, float]:
    """Returns the time of each kind of decision at a size, in microseconds."""
    bench = Bench(size)
    rounds = _ROUNDS.value
    for _ in range(WARM_UP_ROUNDS):
        bench.run_read()
        bench.run_write()
    costs = {
        "read round": measure_min_us(bench.run_read, rounds),
        "write round": measure_min_us(bench.run_write, rounds),
        "tick": measure_min_us(bench.tick, 20),
    }
    costs["read placement"] = measure_placement_us(bench, rounds)
    costs["same list"] = measure_min_us(bench.feed_same_list, 1)
    costs["configuration change"] = measure_min_us(bench.load_next_config, 1)
    costs["membership change"] = measure_min_us(bench.feed_changed_list, 1)
    return costs


def measure_placement_us(bench: Bench, rounds: int) -> float:
    """Returns the time of handling a read's arrival, in microseconds."""
    costs = []
    for _ in range(_RUNS.value):
        elapsed_s = 0.0
        for _ in range(rounds):
            began = time.perf_counter()
            execute = bench.start_round(work.Access.READ)
            elapsed_s += time.perf_counter() - began
            bench.complete_round(execute, 0)
        costs.append(1e6 * elapsed_s / rounds)
    return min(costs)


def parse_size(text: str) -> Size:
    """Parses a size such as "300:300:0"."""
    databases, instances, sessions = map(int, text.split(":"))
    return Size(databases, instances, sessions)


def main(argv: Sequence[str]) -> None:
    """Measures every size and prints the costs."""
    del argv
    first: dict[str, float] = {}
    report: dict[str, dict[str, list[float]]] = {}
    for text in _SIZES.value:
        costs = measure(parse_size(text))
        first = first or costs
        report[text] = {}
        for name, cost_us in costs.items():
            ratio = cost_us / first[name]
            report[text][name] = [round(cost_us, 2), round(ratio, 2)]
            print(f"{text:14} {name:22} {cost_us:12.2f} us {ratio:9.2f}")
            sys.stdout.flush()
    print(json.dumps(report))


if __name__ == "__main__":
    app.run(main)
