"""Compares lent shares of rates with a fixed split, on virtual time.

Eight workspaces on nine instances in three zones. One workspace sends five
times its rate; sessions are unevenly spread and move between instances. What
a workspace is due is what one token bucket for all instances would admit.

  PYTHONPATH=src:. python -m bench.limits
"""

import random
from typing import Any, NamedTuple

from absl import app, flags
from tests import naive_bucket, world

from bench import fixed_split
from cuminwall import effects, events, messages, outcomes, timings

DURATION = flags.DEFINE_float("duration_s", 60.0, "Virtual seconds of load.")
SEED = flags.DEFINE_integer(
    "seed", 1, "Seed of the arrivals and of the moves of sessions."
)
FAULT = flags.DEFINE_enum(
    "fault", "none", ["none", "steward", "cut"], "What fails halfway."
)
SHARE_LEASE = flags.DEFINE_float("share_lease_s", 0.0, "0 is the default.")

ZONES = ("a", "b", "c")
INSTANCES_PER_ZONE = 3
WARM_UP_S = 4.0
COOL_DOWN_S = 2.0
LARGE_RATE = 80.0  # Requests a second.
SMALL_RATE = 10.0
LARGE_COUNT = 2
WORKSPACE_COUNT = 8
BURST_S = 1.0  # Seconds of the rate that the burst holds.
WITHIN_RATE_LOAD = 0.8  # Offered load as a multiple of the rate.
OVER_RATE_LOAD = 5.0
MOVE_INTERVAL_S = 4.0
OVER_RATE = "w0"


class Arrival(NamedTuple):
    """A request that a caller sent."""

    at: float
    instance: str


class Tally:
    """The requests of one workspace, and why some of them failed."""

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self.arrivals: list[Arrival] = []
        self.refused: dict[int, outcomes.Failure] = {}


class Result(NamedTuple):
    """Requests of a workspace by what became of them.

    Attributes:
      offered: Requests that its callers sent.
      due: Requests that one bucket for all instances would admit.
      served: Requests that were admitted.
      wrongful: Requests that were refused although that bucket would admit
        them.
    """

    offered: int
    due: int
    served: int
    wrongful: int


class LimitsWorld(world.World):
    """A simulation that counts share messages and records refusals.

    Attributes:
      message_count: Share requests and replies between instances.
      message_bytes: Their total size.
      stops_at: When callers stop sending.
      pending: The tally of each unanswered request and its index there.
    """

    def __init__(self, *args: Any, **options: Any):
        self.message_count = 0
        self.message_bytes = 0
        self.pending: dict[tuple[str, int], tuple[Tally, int]] = {}
        self.stops_at = float("inf")
        super().__init__(*args, **options)

    def send_to_peer(
        self, node: world.Node, effect: effects.SendToPeer
    ) -> None:
        """Counts share messages to other instances, then sends the message."""
        kinds = (messages.ShareRequest, messages.ShareReply)
        if effect.instance != node.name and isinstance(effect.message, kinds):
            self.message_count += 1
            self.message_bytes += len(messages.encode(effect.message))
        super().send_to_peer(node, effect)

    def complete(self, node: world.Node, effect: effects.Complete) -> None:
        """Records the failure of a request."""
        found = self.pending.pop((node.name, effect.number), None)
        if found is not None and effect.end.failure is not None:
            tally, index = found
            tally.refused[index] = effect.end.failure
        super().complete(node, effect)


class Callers:
    """The callers of one workspace, who move between instances."""

    def __init__(self, name: str, rate: float, rng: random.Random):
        self.name = name
        self.rng = rng
        load = OVER_RATE_LOAD if name == OVER_RATE else WITHIN_RATE_LOAD
        self.offered = rate * load
        self.tally = Tally(rate, rate * BURST_S)
        self.instances: list[str] = []
        self.weights: list[float] = []
        self.sessions: dict[str, list[world.Session]] = {}

    def move(self, world_: LimitsWorld) -> None:
        """Picks new instances; closes the sessions on those no longer used."""
        names = [node.name for node in world_.nodes.values() if node.is_alive]
        count = self.rng.choice((1, 2, 3, len(names)))
        self.instances = self.rng.sample(names, count)
        self.weights = [1.0 / (index + 1) for index in range(count)]
        for name in list(self.sessions):
            if name in self.instances:
                continue
            for session in self.sessions.pop(name):
                self._close(world_, session)
        world_.at(MOVE_INTERVAL_S, lambda: self.move(world_))

    def send(self, world_: LimitsWorld) -> None:
        """Sends a request on an idle session, and schedules the next one."""
        if world_.now >= world_.stops_at:
            return
        gap_s = self.rng.expovariate(self.offered)
        world_.at(gap_s, lambda: self.send(world_))
        name = self.rng.choices(self.instances, self.weights)[0]
        node = world_.nodes[name]
        index = len(self.tally.arrivals)
        if not node.is_alive:
            return
        session = self._idle_session(world_, name)
        self.tally.arrivals.append(Arrival(world_.now, name))
        if isinstance(session, outcomes.Failure):
            self.tally.refused[index] = session
            return
        number = node.state.last_number + 1
        world_.pending[name, number] = (self.tally, index)
        world_.send(session)

    def _idle_session(self, world_: LimitsWorld, name: str) -> Any:
        """Returns an idle session at an instance, opened if there is none."""
        found = self.sessions.setdefault(name, [])
        for session in found:
            known = session.node.state.sessions.get(session.number)
            if known is not None and not known.running_round:
                return session
        session = world_.open(name, "ledger", self.name)
        if not isinstance(session, outcomes.Failure):
            found.append(session)
        return session

    def _close(self, world_: LimitsWorld, session: world.Session) -> None:
        """Closes a session once its running request has ended."""
        known = session.node.state.sessions.get(session.number)
        if known is not None and known.running_round:
            world_.at(0.1, lambda: self._close(world_, session))
            return
        number = session.number
        world_.feed(session.node, lambda now: events.SessionClosed(now, number))


def make_world(seed: int, times: timings.Timings) -> LimitsWorld:
    """Returns three zones with nine instances, and eight workspaces."""
    servers = [(f"s{zone}", zone) for zone in ZONES]
    config = world.make_document(list(ZONES), {"ledger": servers})
    config["workspaces"] = {}
    config["keys"] = {}
    for index in range(WORKSPACE_COUNT):
        rate = rate_of_workspace(index)
        name = f"w{index}"
        config["workspaces"][name] = {"rate": rate, "burst": rate * BURST_S}
        config["keys"][name] = {"workspace": name, "verifier": "v"}
    group = world.FakeGroup(
        "ledger", [world.FakeServer(name, zone, 0.05) for name, zone in servers]
    )
    counts = dict.fromkeys(ZONES, INSTANCES_PER_ZONE)
    return LimitsWorld(counts, [group], config, seed, times)


def rate_of_workspace(index: int) -> float:
    """Returns the rate of a workspace."""
    return LARGE_RATE if index < LARGE_COUNT else SMALL_RATE


def compare_with_one_bucket(
    tally: Tally, refused: set[int], failed: int
) -> Result:
    """Compares the refusals with those of one bucket for all instances."""
    one_bucket = naive_bucket.NaiveBucket(tally.rate, tally.burst, 0.0)
    due = 0
    wrongful = 0
    for index, arrival in enumerate(tally.arrivals):
        if not one_bucket.take(arrival.at):
            continue
        due += 1
        wrongful += index in refused
    served = len(tally.arrivals) - len(refused) - failed
    return Result(len(tally.arrivals), due, served, wrongful)


def refusals_of_fixed_split(tally: Tally, instances: list[str]) -> set[int]:
    """Returns the indexes of the requests that a fixed split would refuse."""
    buckets = fixed_split.FixedSplit(tally.rate, tally.burst, instances)
    refused = set()
    for index, arrival in enumerate(tally.arrivals):
        if not buckets.admit(arrival.instance, arrival.at):
            refused.add(index)
    return refused


def report(title: str, results: dict[str, Result]) -> None:
    """Prints the figures of one way of sharing as a line."""
    worst = min(result.served / result.due for result in results.values())
    due = 0
    wrongful = 0
    for name, result in results.items():
        if name == OVER_RATE:
            continue
        due += result.due
        wrongful += result.wrongful
    over = results[OVER_RATE]
    print(
        f"{title:12} worst-served {worst:.3f}  "
        f"refused within rate {wrongful / due:.4%} ({wrongful} of {due})  "
        f"over-rate tenant {over.served / over.due:.3f} of its due"
    )


def inject_fault(world_: LimitsWorld, kind: str) -> None:
    """Injects the fault that the `fault` flag names."""
    if kind == "steward":
        world_.kill(world.steward_of(world_, "w1"))
    if kind == "cut":
        for zone in ZONES[1:]:
            world_.zone_cuts.add(frozenset((ZONES[0], zone)))
        world_.store_cuts.add(ZONES[0])


def main(_argv: list[str]) -> None:
    """Runs the load and prints the figures."""
    times = timings.DEFAULTS
    if SHARE_LEASE.value:
        times = times._replace(share_lease_s=SHARE_LEASE.value)
    world_ = make_world(SEED.value, times)
    world_.run(WARM_UP_S)
    rng = random.Random(SEED.value)
    callers = []
    for index in range(WORKSPACE_COUNT):
        callers.append(Callers(f"w{index}", rate_of_workspace(index), rng))
    for group in callers:
        group.move(world_)
        group.send(world_)
    world_.message_count = 0
    world_.message_bytes = 0
    world_.stops_at = world_.now + DURATION.value
    world_.run(DURATION.value / 2)
    inject_fault(world_, FAULT.value)
    world_.run(DURATION.value / 2)
    count, size_bytes = world_.message_count, world_.message_bytes
    world_.run(COOL_DOWN_S)
    names = list(world_.nodes)
    lent = {}
    fixed = {}
    other: dict[str, int] = {}
    for group in callers:
        refused = set()
        for index, failure in group.tally.refused.items():
            if failure is outcomes.RATE_EXCEEDED:
                refused.add(index)
                continue
            other[failure.reason] = other.get(failure.reason, 0) + 1
        failed = len(group.tally.refused) - len(refused)
        lent[group.name] = compare_with_one_bucket(group.tally, refused, failed)
        fixed[group.name] = compare_with_one_bucket(
            group.tally, refusals_of_fixed_split(group.tally, names), 0
        )
    report("lent shares", lent)
    report("fixed split", fixed)
    for name, result in lent.items():
        print(f"  {name}: lent {result}, fixed {fixed[name]}")
    print(f"  refused for other reasons: {other}")
    per = len(names) * DURATION.value
    print(
        f"messages a second and instance {count / per:.1f}, "
        f"bytes {size_bytes / per:.0f}"
    )


if __name__ == "__main__":
    app.run(main)
