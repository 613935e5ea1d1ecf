"""What decisions cost in the reducer alone: no sockets, no clock, no engine.

Each size is a number of databases known in the configuration, of instances,
and of sessions connected here. Prints microseconds, the least of several runs
since other work on the machine only adds, and the ratio to the first size.
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
OWN = "sediu-0"
LSN = 1000
LEASE_S = 1e9
SHARDS = 4
ROUND_INTERVAL_S = 1.0  # So that no rate is ever exceeded.
WARM_UP = 200

_RUNS = flags.DEFINE_integer("runs", 5, "How often each cost is measured.")
_ROUNDS = flags.DEFINE_integer("rounds", 2000, "Rounds in each run.")
_SIZES = flags.DEFINE_list(
    "sizes",
    ["3:9:0", "300:300:0", "5900:2900:0", "3:9:5000"],
    "Each databases:instances:sessions.",
)


class Size(NamedTuple):
    """How large a site is, as one instance sees it.

    Attributes:
      databases: Database groups in the configuration.
      instances: Instances in the list.
      sessions: Callers connected to this one.
    """

    databases: int
    instances: int
    sessions: int


class Bench:
    """One instance's reducer, filled to a size.

    Attributes:
      size: The size.
      state: The state.
      now: The time that the next event tells.
      number: The last number of a round.
      service: A database group that this instance is a home of.
    """

    def __init__(self, size: Size):
        self.size = size
        self.now = 1000.0
        self.number = 10_000_000
        self.document = make_document(size.databases)
        self.records = make_records(size.instances)
        self.state = state.State(
            OWN, ZONES[0], timings.DEFAULTS, SHARDS, self.now
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
            self.fill_group(group)
        self.service = next(iter(self.state.groups))
        self.session = self.open_session()
        for _ in range(size.sessions):
            self.open_session()

    def feed(self, event: events.Event) -> list[effects.Effect]:
        """Feeds an event and returns its effects."""
        return reducer.reduce(self.state, event)

    def parse(self, version: int) -> configuration.Configuration:
        """Returns the configuration under a version."""
        return configuration.parse(self.document, version)

    def fill_group(self, group: state.Group) -> None:
        """Lets a group be served: a term, a lease, and probes."""
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
        """Opens a session whose floor is known."""
        self.number += 1
        login = work.Login(self.service, KEY, WORKSPACE, "", "")
        opened = events.SessionOpened(self.now, self.number, login)
        self.feed(opened)
        session = self.state.sessions[self.number]
        session.floor = work.Position(1, LSN)
        return self.number

    def arrive(self, access: work.Access) -> effects.Execute:
        """Feeds a round and returns where it is to run."""
        self.now += ROUND_INTERVAL_S
        self.number += 1
        out = self.feed(
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
        for effect in out:
            if isinstance(effect, effects.Execute):
                return effect
        raise RuntimeError(f"the round was not placed: {out}")

    def finish(self, execute: effects.Execute, lsn: int) -> None:
        """Feeds a server's answer up to the round's completion."""
        result = work.ServerResult(
            b"I", work.Loss.NONE, False, False, False, lsn
        )
        out = self.feed(events.RoundExecuted(self.now, execute.key, result))
        for effect in out:
            if not isinstance(effect, effects.Answer):
                continue
            answered = events.HomeAnswered(
                self.now, effect.key.number, effect.answer
            )
            ended = self.feed(answered)
            if isinstance(ended[-1], effects.Complete):
                return
        raise RuntimeError(f"the round was not completed: {out}")

    def run_read(self) -> None:
        """Takes a read from its arrival to its completion."""
        self.finish(self.arrive(work.Access.READ), 0)

    def run_write(self) -> None:
        """Takes a write from its arrival to its completion."""
        self.finish(self.arrive(work.Access.WRITE), LSN)

    def tick(self) -> None:
        """Lets a tick pass in which nothing changed."""
        self.now += timings.DEFAULTS.tick_s
        self.feed(events.Tick(self.now))

    def change_config(self) -> None:
        """Puts the next version of the configuration in force."""
        version = self.state.config.version + 1
        changed = self.state.config._replace(version=version)
        self.feed(events.ConfigLoaded(self.now, changed))

    def list_same(self) -> None:
        """Reads an instance list that did not change."""
        self.feed(events.InstancesListed(self.now, self.records))

    def list_other(self) -> None:
        """Reads an instance list in which one other instance leaves."""
        last = self.records[-1]
        changed = last._replace(leaving=not last.leaving)
        self.records = (*self.records[:-1], changed)
        self.feed(events.InstancesListed(self.now, self.records))


def make_document(databases: int) -> document.Document:
    """Returns a configuration with so many database groups."""
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


def measure_us(call: Callable[[], None], count: int) -> float:
    """Returns the least time of a call over several runs, microseconds."""
    costs = []
    for _ in range(_RUNS.value):
        began = time.perf_counter()
        for _ in range(count):
            call()
        costs.append(1e6 * (time.perf_counter() - began) / count)
    return min(costs)


def measure(size: Size) -> dict[str, float]:
    """Returns each cost at a size, in microseconds."""
    bench = Bench(size)
    rounds = _ROUNDS.value
    for _ in range(WARM_UP):
        bench.run_read()
        bench.run_write()
    costs = {
        "read round": measure_us(bench.run_read, rounds),
        "write round": measure_us(bench.run_write, rounds),
        "tick": measure_us(bench.tick, 20),
    }
    costs["read placement"] = measure_placement_us(bench, rounds)
    costs["same list"] = measure_us(bench.list_same, 1)
    costs["configuration change"] = measure_us(bench.change_config, 1)
    costs["membership change"] = measure_us(bench.list_other, 1)
    return costs


def measure_placement_us(bench: Bench, rounds: int) -> float:
    """Returns the time of a read's arrival alone, in microseconds."""
    costs = []
    for _ in range(_RUNS.value):
        spent = 0.0
        for _ in range(rounds):
            began = time.perf_counter()
            execute = bench.arrive(work.Access.READ)
            spent += time.perf_counter() - began
            bench.finish(execute, 0)
        costs.append(1e6 * spent / rounds)
    return min(costs)


def parse_size(text: str) -> Size:
    """Returns the size that a flag describes."""
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
