"""A world of instances whose usage is reported to a platform that judges it."""

import collections
from collections.abc import Callable
from typing import Any, NamedTuple

from cuminwall.direct import catalog, effects, events, limits, statements
from tests import direct_world

WINDOW_S = 2.0
DELAY_S = 8.0
LEASE_S = 3.0
LIMITS = limits.DEFAULTS._replace(
    usage_window_s=WINDOW_S, usage_delay_s=DELAY_S, duty_lease_s=LEASE_S
)
WALL_S = 1_000_000.0  # The wall clock's time at zero.
CALL_S = 1.5  # Until a call that gets no answer is given up.
PAUSE_S = 0.3  # Between the statements of one workspace at an instance.
WORKSPACES = ("w1", "w2", "w3")


class Report(NamedTuple):
    """A report that the platform has accepted."""

    at: float
    holder: str
    window: int
    counts: dict[str, int]
    fencing_token: int


class UsageWorld(direct_world.World):
    """A world whose platform takes reports of usage and checks them.

    Attributes:
      wall_steps: By instance, by how much its wall clock is off.
      frozen: The events that frozen instances will handle, by name.
      accepted: The reports that were accepted, exact repeats too.
      faults: What is told of each rule that was broken.
      highest_token: The highest fencing token that was seen.
      token_holders: Who has sent each token.
      truth: The statements that servers ran, by window and workspace.
      call_faults: The faults of the next reports: "lost" (done, no answer),
        "late" (done late, no answer) or "silent" (not done).
    """

    def __init__(self, names: tuple[str, ...], seed: int = 1):
        self.wall_steps: dict[str, float] = {}
        self.frozen: dict[str, list[Any]] = {}
        self.accepted: list[Report] = []
        self.faults: list[str] = []
        self.highest_token = 0
        self.token_holders: dict[int, str] = {}
        self.truth: dict[int, collections.Counter[str]] = {}
        self.call_faults: list[str] = []
        self.is_sending = True
        self.sent = 0
        config = direct_world.make_catalog()
        workspaces = {}
        keys = {}
        for name in WORKSPACES:
            workspaces[name] = catalog.Workspace(name, 1000.0, 1000.0, 1)
            keys[name] = name
        config = config._replace(workspaces=workspaces, keys=keys)
        server = direct_world.FakeServer("p")
        server.is_primary = True
        super().__init__(names, (server,), seed, LIMITS, config)

    def start(self, name: str) -> direct_world.Instance:
        """Starts an instance that can be frozen."""
        instance = super().start(name)
        handle = instance.handle_event

        def handle_event(event: Any) -> None:
            if name in self.frozen and self.instances[name] is instance:
                self.frozen[name].append(event)
                return
            handle(event._replace(now=self.now))

        instance.handle_event = handle_event  # type: ignore[method-assign]
        return instance

    def kill(self, name: str) -> None:
        """Ends an instance without a shutdown."""
        super().kill(name)
        self.frozen.pop(name, None)

    def thaw(self, name: str) -> None:
        """Lets a frozen instance handle what came meanwhile."""
        for event in self.frozen.pop(name, []):
            self.instances[name].handle_event(event)

    def start_callers(self) -> None:
        """Starts a caller of each workspace at each instance."""
        for name in self.instances:
            for workspace in WORKSPACES:
                delay_s = self.random.uniform(0.0, PAUSE_S)
                self.schedule(delay_s, self._make_sender(name, workspace))

    def _make_sender(self, name: str, workspace: str) -> Callable[[], None]:
        def send() -> None:
            if not self.is_sending:
                return
            self.schedule(PAUSE_S, send)
            instance = self.instances[name]
            if not instance.is_alive or name in self.frozen:
                return
            self.sent += 1
            caller = instance.caller("aged", workspace)
            caller.on_answer = lambda answer: caller.leave()
            request = f"{workspace}.{self.sent}"
            caller.send(statements.Read(request, f"READ {request}"))

        return send

    def read_all(self, instance: direct_world.Instance) -> None:
        """Makes an instance read the whole store."""
        self._read_all(instance)

    def wall_s(self) -> float:
        """Returns the true wall-clock time."""
        return WALL_S + self.now

    def window(self) -> int:
        """Returns the window of now."""
        return int(self.wall_s() // WINDOW_S)

    def record_run(self, server: direct_world.FakeServer, request: str) -> None:
        counts = self.truth.setdefault(self.window(), collections.Counter())
        counts[request.partition(".")[0]] += 1

    def perform(self, instance: direct_world.Instance, effect: Any) -> None:
        if isinstance(effect, effects.ReadClock):
            self.schedule(0.0, lambda: self._read_clock(instance))
        elif isinstance(effect, effects.ReportUsage):
            self._send_report(instance, effect)
        else:
            super().perform(instance, effect)

    def _read_clock(self, instance: direct_world.Instance) -> None:
        wall_s = self.wall_s() + self.wall_steps.get(instance.name, 0.0)
        instance.handle_event(events.ClockRead(self.now, wall_s))

    def _send_report(
        self, instance: direct_world.Instance, effect: effects.ReportUsage
    ) -> None:
        """Carries a report, as the engine and the platform do."""
        own_lease = instance.state.own_lease
        if own_lease.epoch != effect.epoch or not own_lease.is_valid(self.now):
            self._answer(instance, effect, events.UsageOutcome.UNKNOWN, 0.0)
            return
        fault = self.call_faults.pop(0) if self.call_faults else ""
        if fault:
            unknown = events.UsageOutcome.UNKNOWN
            self._answer(instance, effect, unknown, CALL_S)
        if fault == "silent":
            return
        delay_s = direct_world.LINK_S
        if fault == "late":
            delay_s = self.random.uniform(1.0, 6.0)

        def execute() -> None:
            outcome = self._judge(instance.name, effect)
            if not fault:
                self._answer(instance, effect, outcome, direct_world.LINK_S)

        self.schedule(delay_s, execute)

    def _answer(
        self,
        instance: direct_world.Instance,
        effect: effects.ReportUsage,
        outcome: events.UsageOutcome,
        delay_s: float,
    ) -> None:
        event = events.UsageReportFinished(
            self.now, effect.window, effect.fencing_token, outcome
        )
        self.schedule(delay_s, lambda: instance.handle_event(event))

    def _judge(
        self, holder: str, effect: effects.ReportUsage
    ) -> events.UsageOutcome:
        """Accepts or refuses a report, and records the rules it breaks."""
        token = effect.fencing_token
        if self.token_holders.setdefault(token, holder) != holder:
            self.faults.append(f"two holders sent the token {token}")
        if token < self.highest_token:
            return events.UsageOutcome.REFUSED
        self.highest_token = token
        report = Report(self.now, holder, effect.window, effect.counts, token)
        for other in self.accepted:
            if other.window != report.window:
                continue
            if other.counts != report.counts:
                self.faults.append(f"two reports for {report.window}")
        self._check_turns(report)
        self._check_counts(report)
        self.accepted.append(report)
        return events.UsageOutcome.ACCEPTED

    def _check_turns(self, report: Report) -> None:
        """Checks that no holder acts again between another one's calls."""
        others = False
        for earlier in reversed(self.accepted):
            if report.at - earlier.at > LEASE_S:
                return
            if earlier.holder != report.holder:
                others = True
            elif others:
                self.faults.append(f"holders took turns at {report.at}")
                return

    def _check_counts(self, report: Report) -> None:
        """Checks that no workspace is reported that has not run anything."""
        truth = self.truth.get(report.window, collections.Counter())
        near = collections.Counter(truth)
        for window in (report.window - 1, report.window + 1):
            near += self.truth.get(window, collections.Counter())
        for workspace, count in report.counts.items():
            if count > near[workspace]:
                self.faults.append(f"{workspace} ran less in {report.window}")

    def reported(self) -> dict[int, dict[str, int]]:
        """Returns the accepted counts, by window."""
        return {report.window: report.counts for report in self.accepted}
