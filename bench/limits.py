"""Lent shares of rates against a fixed split, on virtual time.

Eight workspaces on nine instances in three zones. One tenant sends five
times its rate; sessions are unevenly spread and roam. What a workspace is
due is what one token bucket for all instances would have admitted.

  PYTHONPATH=src:. python -m bench.limits
"""

import random
from typing import Any, NamedTuple

from absl import app, flags
from tests import naive_bucket, world

from bench import fixed_split
from cuminwall import effects, events, messages, outcomes, timings

DURATION = flags.DEFINE_float("duration_s", 60.0, "Virtual seconds of load.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of arrivals and of roaming.")
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
BURST_S = 1.0  # Burst per rate.
WITHIN_LOAD = 0.8  # Offered load of a tenant within its rate.
OVER_LOAD = 5.0
ROAM_S = 4.0
OVER = "w0"


class Offer(NamedTuple):
    """A request that a caller sent."""

    at: float
    instance: str


class Tally:
    """What became of one workspace's requests."""

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self.offers: list[Offer] = []
        self.refused: dict[int, outcomes.Failure] = {}


class Result(NamedTuple):
    """What a workspace got.

    Attributes:
      offered: Requests that its callers sent.
      due: How many of them one bucket for all would have admitted.
      served: How many were admitted.
      wrongful: How many were refused though that bucket would have not.
    """

    offered: int
    due: int
    served: int
    wrongful: int


class LimitsWorld(world.World):
    """A world that counts messages about shares, and refusals.

    Attributes:
      message_count: Asks and answers between instances.
      message_bytes: Their size.
      stops_at: When callers send no more.
      places: The workspace's tally and place of each request on its way.
    """

    def __init__(self, *args: Any, **options: Any):
        self.message_count = 0
        self.message_bytes = 0
        self.places: dict[tuple[str, int], tuple[Tally, int]] = {}
        self.stops_at = float("inf")
        super().__init__(*args, **options)

    def send_to_peer(
        self, node: world.Node, effect: effects.SendToPeer
    ) -> None:
        """Counts what goes to another instance, and carries it."""
        kinds = (messages.ShareRequest, messages.ShareReply)
        if effect.instance != node.name and isinstance(effect.message, kinds):
            self.message_count += 1
            self.message_bytes += len(messages.encode(effect.message))
        super().send_to_peer(node, effect)

    def complete(self, node: world.Node, effect: effects.Complete) -> None:
        """Notes a refusal."""
        found = self.places.pop((node.name, effect.number), None)
        if found is not None and effect.end.failure is not None:
            tally, place = found
            tally.refused[place] = effect.end.failure
        super().complete(node, effect)


class Callers:
    """The callers of one workspace, who roam."""

    def __init__(self, name: str, rate: float, rng: random.Random):
        self.name = name
        self.rng = rng
        load = OVER_LOAD if name == OVER else WITHIN_LOAD
        self.offered = rate * load
        self.tally = Tally(rate, rate * BURST_S)
        self.instances: list[str] = []
        self.weights: list[float] = []
        self.sessions: dict[str, list[world.Session]] = {}

    def roam(self, here: LimitsWorld) -> None:
        """Spreads the callers anew; those that stay keep their sessions."""
        names = [node.name for node in here.nodes.values() if node.is_alive]
        count = self.rng.choice((1, 2, 3, len(names)))
        self.instances = self.rng.sample(names, count)
        self.weights = [1.0 / (place + 1) for place in range(count)]
        for name in list(self.sessions):
            if name in self.instances:
                continue
            for session in self.sessions.pop(name):
                self._close(here, session)
        here.at(ROAM_S, lambda: self.roam(here))

    def send(self, here: LimitsWorld) -> None:
        """Sends a request at an instance, on a session that is free."""
        if here.now >= here.stops_at:
            return
        gap_s = self.rng.expovariate(self.offered)
        here.at(gap_s, lambda: self.send(here))
        name = self.rng.choices(self.instances, self.weights)[0]
        node = here.nodes[name]
        place = len(self.tally.offers)
        if not node.is_alive:
            return
        session = self._free_session(here, name)
        self.tally.offers.append(Offer(here.now, name))
        if isinstance(session, outcomes.Failure):
            self.tally.refused[place] = session
            return
        number = node.state.last_number + 1
        here.places[name, number] = (self.tally, place)
        here.send(session)

    def _free_session(self, here: LimitsWorld, name: str) -> Any:
        """Returns a session without a request, a new one if need be."""
        found = self.sessions.setdefault(name, [])
        for session in found:
            known = session.node.state.sessions.get(session.number)
            if known is not None and not known.running_round:
                return session
        session = here.open(name, "ledger", self.name)
        if not isinstance(session, outcomes.Failure):
            found.append(session)
        return session

    def _close(self, here: LimitsWorld, session: world.Session) -> None:
        """Ends a session once its request has ended."""
        known = session.node.state.sessions.get(session.number)
        if known is not None and known.running_round:
            here.at(0.1, lambda: self._close(here, session))
            return
        number = session.number
        here.feed(session.node, lambda now: events.SessionClosed(now, number))


def make_world(seed: int, times: timings.Timings) -> LimitsWorld:
    """Returns three zones with nine instances, and eight workspaces."""
    servers = [(f"s{zone}", zone) for zone in ZONES]
    config = world.make_document(list(ZONES), {"ledger": servers})
    config["workspaces"] = {}
    config["keys"] = {}
    for place in range(WORKSPACE_COUNT):
        rate = rate_of(place)
        name = f"w{place}"
        config["workspaces"][name] = {"rate": rate, "burst": rate * BURST_S}
        config["keys"][name] = {"workspace": name, "verifier": "v"}
    group = world.FakeGroup(
        "ledger", [world.FakeServer(name, zone, 0.05) for name, zone in servers]
    )
    counts = dict.fromkeys(ZONES, INSTANCES_PER_ZONE)
    return LimitsWorld(counts, [group], config, seed, times)


def rate_of(place: int) -> float:
    """Returns the rate of a workspace."""
    return LARGE_RATE if place < LARGE_COUNT else SMALL_RATE


def judge(tally: Tally, refused: set[int], failed: int) -> Result:
    """Compares what was refused with one bucket for all instances."""
    naive = naive_bucket.NaiveBucket(tally.rate, tally.burst, 0.0)
    due = 0
    wrongful = 0
    for place, offer in enumerate(tally.offers):
        if not naive.take(offer.at):
            continue
        due += 1
        wrongful += place in refused
    served = len(tally.offers) - len(refused) - failed
    return Result(len(tally.offers), due, served, wrongful)


def split(tally: Tally, instances: list[str]) -> set[int]:
    """Returns what a fixed split would have refused."""
    buckets = fixed_split.FixedSplit(tally.rate, tally.burst, instances)
    refused = set()
    for place, offer in enumerate(tally.offers):
        if not buckets.take(offer.instance, offer.at):
            refused.add(place)
    return refused


def report(title: str, results: dict[str, Result]) -> None:
    """Prints a line of figures."""
    worst = min(result.served / result.due for result in results.values())
    due = 0
    wrongful = 0
    for name, result in results.items():
        if name == OVER:
            continue
        due += result.due
        wrongful += result.wrongful
    over = results[OVER]
    print(
        f"{title:12} worst-served {worst:.3f}  "
        f"refused within rate {wrongful / due:.4%} ({wrongful} of {due})  "
        f"over-rate tenant {over.served / over.due:.3f} of its due"
    )


def fail(here: LimitsWorld, kind: str) -> None:
    """Plays the fault halfway."""
    if kind == "steward":
        here.kill(world.steward_of(here, "w1"))
    if kind == "cut":
        for zone in ZONES[1:]:
            here.zone_cuts.add(frozenset((ZONES[0], zone)))
        here.store_cuts.add(ZONES[0])


def main(_argv: list[str]) -> None:
    """Plays the load and prints the table."""
    times = timings.DEFAULTS
    if SHARE_LEASE.value:
        times = times._replace(share_lease_s=SHARE_LEASE.value)
    here = make_world(SEED.value, times)
    here.run(WARM_UP_S)
    rng = random.Random(SEED.value)
    callers = []
    for place in range(WORKSPACE_COUNT):
        callers.append(Callers(f"w{place}", rate_of(place), rng))
    for each in callers:
        each.roam(here)
        each.send(here)
    here.message_count = 0
    here.message_bytes = 0
    here.stops_at = here.now + DURATION.value
    here.run(DURATION.value / 2)
    fail(here, FAULT.value)
    here.run(DURATION.value / 2)
    count, size = here.message_count, here.message_bytes
    here.run(COOL_DOWN_S)
    names = list(here.nodes)
    lent = {}
    fixed = {}
    other: dict[str, int] = {}
    for each in callers:
        refused = set()
        for place, failure in each.tally.refused.items():
            if failure is outcomes.RATE_EXCEEDED:
                refused.add(place)
                continue
            other[failure.reason] = other.get(failure.reason, 0) + 1
        failed = len(each.tally.refused) - len(refused)
        lent[each.name] = judge(each.tally, refused, failed)
        fixed[each.name] = judge(each.tally, split(each.tally, names), 0)
    report("lent shares", lent)
    report("fixed split", fixed)
    for name, result in lent.items():
        print(f"  {name}: lent {result}, fixed {fixed[name]}")
    print(f"  refused for other reasons: {other}")
    per = len(names) * DURATION.value
    print(
        f"messages a second and instance {count / per:.1f}, "
        f"bytes {size / per:.0f}"
    )


if __name__ == "__main__":
    app.run(main)
