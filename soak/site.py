"""A whole deployment: stand-ins, instances and callers, run once."""

import asyncio
import json
import pathlib
import random
import resource
import subprocess
import sys
import time
from typing import Any, NamedTuple

from soak import (
    callers,
    changes,
    checks,
    daemons,
    deployment,
    faults,
    logs,
    plans,
    records,
    requests,
    server_groups,
    servers,
    statement_checks,
    timeline,
)
from soak.store import Store

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 90.0
SETTLE_S = 3.0  # Between the start of the instances and that of the callers.
CALLERS_START_S = 2.0
CALLERS_END_S = 15.0
LAG_CHECK_S = 0.02
PAGE_BYTES = 4096
ADDED_COUNT = 12  # Databases that callers try before they are added.


class Options(NamedTuple):
    """What a run is.

    Attributes:
      seed: Of all its choices.
      scenario: One of `plans.SCENARIOS`.
      instances: How many instances.
      sessions: How many sessions the callers keep open.
      per_s: Operations a second.
      rate_factor: The rate of each workspace over its usual traffic.
      seconds: How long the callers send, in seconds.
      processes: How many processes of callers.
      tree: The source tree whose instances run.
      folder: For settings, logs and results.
      first_port: Where to look for free ports.
      link_mbps: What the link from the store to one instance carries, in
        Mbit/s; 0 for any amount.
    """

    seed: int
    scenario: str
    instances: int
    sessions: int
    per_s: float
    rate_factor: float
    seconds: float
    processes: int
    tree: pathlib.Path
    folder: pathlib.Path
    first_port: int
    link_mbps: float = 0.0


class Result(NamedTuple):
    """What a run showed.

    Attributes:
      timeline: What was written and impaired.
      ended_at: When it ended.
      checks: The cases.
      store: The store, with the calls it got.
      fleet: The backend servers.
      logs: What each instance logged.
      callers: The report of each process of callers.
      steps: The faults and changes as they came.
      max_lag_s: How late this process was at most.
      memory_mb: Resident memory of the instances.
      instance_cpu_s: Processor time of all child processes.
      scheduling: How each instance was scheduled.
      ends: Instances that ended by themselves, with their exit codes.
      records: What the backend servers ran and committed.
      statement_cases: The rules on statements that were broken.
    """

    timeline: timeline.Timeline
    ended_at: float
    checks: checks.Checks
    store: Store
    fleet: server_groups.Fleet
    logs: dict[str, logs.Log]
    callers: list[dict[str, Any]]
    steps: list[tuple[float, str, str]]
    max_lag_s: float
    memory_mb: float
    instance_cpu_s: float
    scheduling: dict[str, daemons.Scheduling]
    ends: list[tuple[str, int]]
    records: records.ServerRecords
    statement_cases: list[statement_checks.StatementCase]


class Site:
    """A deployment.

    Attributes:
      options: What is run.
      instances: The instances.
      max_lag_s: How late this process was at most.
    """

    def __init__(self, options: Options):
        self.options = options
        self.rng = random.Random(options.seed)
        self.services = deployment.make_services(self.rng)
        self.workspaces = deployment.make_workspaces(
            self.rng, options.per_s, options.rate_factor
        )
        self.timeline = timeline.Timeline(time.monotonic())
        self.wall_clock_offset_s = time.time() - time.monotonic()
        self.store = Store()
        self.store.link_bytes_per_s = options.link_mbps * 1e6 / 8
        self.checks = checks.Checks(self.timeline)
        self.records = records.ServerRecords()
        self.fleet = server_groups.Fleet()
        self.operator = changes.Operator(
            self.store,
            self.timeline,
            self.services,
            self.workspaces,
            random.Random(options.seed + 1),
        )
        self.instances: list[daemons.Daemon] = []
        self.callers: list[subprocess.Popen[bytes]] = []
        self.max_lag_s = 0.0

    async def run(self) -> Result:
        """Runs the deployment once."""
        try:
            return await self._run()
        finally:
            for process in self.callers:
                if process.poll() is None:
                    process.kill()
                    process.wait()
            for instance in self.instances:
                instance.end()
                instance.relay.stop()
            self.store.stop()
            for server in self.fleet.by_name.values():
                server.stop()

    async def _run(self) -> Result:
        options = self.options
        await self._start_stand_ins()
        await self._start_instances()
        lag = asyncio.create_task(self._watch_lag())
        self.timeline.began_at = time.monotonic() + CALLERS_START_S
        outputs = self._start_callers()
        faults_ = faults.Faults(
            self.store,
            self.operator,
            self.instances,
            self.timeline,
            random.Random(options.seed + 2),
            self.fleet,
            self.services,
        )
        steps = plans.make_plan(options.scenario, options.seed, options.seconds)
        await faults_.run(steps)
        ended_at = self.timeline.began_at + options.seconds
        await asyncio.sleep(max(0.0, ended_at - time.monotonic()))
        memory_mb = self._measure_memory_mb()
        scheduling = {}
        for instance in self.instances:
            if instance.is_running():
                scheduling[instance.name] = instance.read_scheduling()
        ends = self._find_ends()
        await self._wait_for_callers()
        lag.cancel()
        for instance in self.instances:
            instance.end()
        usage = resource.getrusage(resource.RUSAGE_CHILDREN)
        reports = []
        for path in outputs:
            reports.append(json.loads(path.read_text(encoding="utf-8")))
        self._check_refusals(reports)
        statement_cases = self._check_statements(reports)
        by_instance = {}
        for instance in self.instances:
            by_instance[instance.name] = logs.read(
                instance.log, self.wall_clock_offset_s
            )
        return Result(
            self.timeline,
            ended_at,
            self.checks,
            self.store,
            self.fleet,
            by_instance,
            reports,
            faults_.done,
            self.max_lag_s,
            memory_mb,
            usage.ru_utime + usage.ru_stime,
            scheduling,
            ends,
            self.records,
            statement_cases,
        )

    async def _start_stand_ins(self) -> None:
        """Starts the store and the backend servers; writes a configuration."""
        self.store.promote = self.fleet.promote
        self.store.start()
        for service in self.services:
            for number, zone in enumerate(deployment.SERVER_ZONES):
                server = servers.Server(
                    self.store,
                    service,
                    f"i-{service}-{number}",
                    zone,
                    records.PRIMARY if number == 0 else records.REPLICA,
                    deployment.MAX_CONNECTIONS,
                    self.checks.check_run,
                    random.Random(self.rng.random()),
                    self.records,
                )
                self.fleet.add(server)
                await server.start()
        self.operator.write("first")

    async def _start_instances(self) -> None:
        """Starts all instances and waits until they are ready.

        Raises:
          TimeoutError: Not all became ready in time.
        """
        options = self.options
        ports = daemons.find_ports(options.instances, options.first_port)
        for number, each in enumerate(ports):
            zone = deployment.ZONES[number % len(deployment.ZONES)]
            name = f"edge-{zone}-{number // len(deployment.ZONES) + 1}"
            instance = daemons.Daemon(
                name, zone, each, options.tree, options.folder, self.timeline
            )
            self.instances.append(instance)
            self.store.relay_ports[each.peers] = each.relay
            await self.store.listen(name, each.store)
            await instance.relay.start()
        for instance in self.instances:
            instance.start()
            await asyncio.sleep(0)
        until = time.monotonic() + START_TIMEOUT_S
        for instance in self.instances:
            if not await instance.wait_until_ready(until):
                raise TimeoutError(f"{instance.name} is not ready")
        await asyncio.sleep(SETTLE_S)

    def _start_callers(self) -> list[pathlib.Path]:
        """Starts the callers; returns the files of their results."""
        options = self.options
        outputs = []
        for number in range(options.processes):
            plan = callers.Plan(
                seed=1000 * options.seed + number,
                sessions=options.sessions // options.processes,
                per_s=options.per_s / options.processes,
                began_at=self.timeline.began_at,
                ends_at=self.timeline.began_at + options.seconds,
                instances=[
                    (each.name, each.zone, each.ports.callers)
                    for each in self.instances
                ],
                shares=[each.share for each in self.workspaces],
                keys=[list(each.keys) for each in self.workspaces],
                databases=list(deployment.make_databases(self.services)),
                added=[f"{changes.ADDED}{each}" for each in range(ADDED_COUNT)],
            )
            path = options.folder / f"callers-{number}.plan"
            path.write_text(json.dumps(plan), encoding="utf-8")
            output = options.folder / f"callers-{number}.json"
            outputs.append(output)
            with (options.folder / f"callers-{number}.log").open("ab") as log:
                process = subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "soak.caller_process",
                        f"--plan={path}",
                        f"--out={output}",
                    ],
                    cwd=ROOT,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                )
            self.callers.append(process)
        return outputs

    async def _wait_for_callers(self) -> None:
        """Waits until the callers have written their results.

        Raises:
          TimeoutError: They didn't end in time.
        """
        until = time.monotonic() + CALLERS_END_S
        for process in self.callers:
            while process.poll() is None:
                if time.monotonic() > until:
                    raise TimeoutError("the callers don't end")
                await asyncio.sleep(0.05)

    def _check_refusals(self, reports: list[dict[str, Any]]) -> None:
        """Checks the refusals that the callers saw."""
        for report in reports:
            for code, origin, refused_at in report["refusals"]:
                self.checks.check_refusal(
                    code, requests.Origin(*origin), refused_at
                )

    def _check_statements(
        self, reports: list[dict[str, Any]]
    ) -> list[statement_checks.StatementCase]:
        """Checks what ran against what the callers sent and were told."""
        asked = []
        for report in reports:
            for fields in report.pop("asked"):
                asked.append(records.Asked(*fields))
        path = self.options.folder / "runs.json"
        path.write_text(json.dumps(self.records.runs), encoding="utf-8")
        evidence = statement_checks.Evidence(asked, self.records)
        return statement_checks.check(evidence)

    def _find_ends(self) -> list[tuple[str, int]]:
        """Returns the instances that ended by themselves."""
        ends = []
        for instance in self.instances:
            process = instance.process
            if instance.is_removed:
                continue
            if process is not None and process.poll() is not None:
                ends.append((instance.name, process.returncode))
        return ends

    def _measure_memory_mb(self) -> float:
        """Returns the resident memory of the instances."""
        pages = 0
        for instance in self.instances:
            if instance.process is None or not instance.is_running():
                continue
            path = pathlib.Path(f"/proc/{instance.process.pid}/statm")
            pages += int(path.read_text(encoding="ascii").split()[1])
        return round(pages * PAGE_BYTES / 2**20)

    async def _watch_lag(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_CHECK_S)
            lag_s = time.monotonic() - before - LAG_CHECK_S
            self.max_lag_s = max(self.max_lag_s, lag_s)
