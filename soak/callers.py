"""Callers, which keep sessions open and send operations."""

import asyncio
import collections
import functools
import random
import time
from typing import Any, NamedTuple, TypedDict

from soak import deployment, drawing, records, requests
from soak.attempts import Attempt
from soak.caller_sessions import (
    HOST,
    LIMIT_BYTES,
    Caller,
    Endpoint,
    LostError,
)
from soak.statement_checks import PROMISES

ZONE_WEIGHTS = (366.0, 280.0, 266.0, 288.0)
CONNECT_TIMEOUT_S = 2.0
RAMP_S = 6.0  # Over which the sessions are opened.
RETRIES = 2
RETRY_PAUSE_S = 0.05
REOPEN_PAUSE_S = 0.3
REFUSED_PAUSE_S = 3.0  # After a database or key was refused.
PROBE_PAUSE_S = 0.3
SHORT_SESSION_PART = 0.15  # Of the sessions; they serve one operation.
LARGE_MESSAGES = 6  # Of each process of callers, at most.
ATTEMPTS_A_PROCESS = 1_000_000
LAG_CHECK_S = 0.02
FAILED = "FAILED"
UNSURE = ("TIMEOUT", "INDOUBT", FAILED)  # Promise nothing.
REFUSALS = ("NODB", "UNAUTH")


class Plan(TypedDict):
    """What the callers do.

    Attributes:
      seed: Of all their choices.
      sessions: How many sessions to keep open.
      per_s: Operations a second over all sessions.
      began_at: The time that results count from, by the monotonic clock.
      ends_at: When to end.
      instances: The name, zone and port of each instance.
      shares: The part of the traffic of each workspace.
      keys: The keys of each workspace.
      databases: The databases.
      added: Databases that may be added meanwhile.
    """

    seed: int
    sessions: int
    per_s: float
    began_at: float
    ends_at: float
    instances: list[tuple[str, str, int]]
    shares: list[float]
    keys: list[list[str]]
    databases: list[str]
    added: list[str]


class Refusal(NamedTuple):
    """A refusal of a database or a key.

    Attributes:
      code: Its code.
      origin: What was refused.
      refused_at: When, by the monotonic clock.
    """

    code: str
    origin: requests.Origin
    refused_at: float


class Callers:
    """All callers of a process.

    Attributes:
      plan: What they do.
      done_by_second: Operations that succeeded, by second since the start.
      codes: Errors of statements and of sessions, by code.
      refusals: The refusals of databases and keys.
      durations_ms: How long operations that succeeded took.
      max_lag_s: How late this process was at most.
      asked: The statements that were sent, by request id.
    """

    def __init__(self, plan: Plan):
        self.plan = plan
        self.rng = random.Random(plan["seed"])
        self.drawing = drawing.Drawing(self.rng, LARGE_MESSAGES)
        self.asked: dict[str, records.Asked] = {}
        self.last_session = 0
        self.last_attempt = plan["seed"] * ATTEMPTS_A_PROCESS
        self.done_by_second: collections.Counter[int] = collections.Counter()
        self.sent_by_second: collections.Counter[int] = collections.Counter()
        self.codes: collections.Counter[str] = collections.Counter()
        self.refusals: list[Refusal] = []
        self.durations_ms: list[float] = []
        self.max_lag_s = 0.0
        self.lags_by_second: collections.defaultdict[int, float] = (
            collections.defaultdict(float)
        )
        self.last_number = 0
        self.by_zone: dict[str, list[tuple[str, int]]] = {}
        for name, zone, port in plan["instances"]:
            self.by_zone.setdefault(zone, []).append((name, port))

    async def run(self) -> None:
        """Runs until the plan's end."""
        tasks = [asyncio.create_task(self._watch_lag())]
        for _ in range(self.plan["sessions"]):
            tasks.append(asyncio.create_task(self._keep_session()))
        for database in self.plan["added"]:
            tasks.append(asyncio.create_task(self._probe(database)))
        await asyncio.sleep(self.plan["ends_at"] - time.monotonic())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def report(self) -> dict[str, Any]:
        """Returns what was seen, as JSON values."""
        return {
            "done": dict(self.done_by_second),
            "sent": dict(self.sent_by_second),
            "codes": dict(self.codes),
            "refusals": [
                (each.code, list(each.origin), each.refused_at)
                for each in self.refusals
            ],
            "durations_ms": self.durations_ms,
            "max_lag_s": self.max_lag_s,
            "lags": dict(self.lags_by_second),
            "asked": list(self.asked.values()),
        }

    async def _watch_lag(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_CHECK_S)
            lag_s = time.monotonic() - before - LAG_CHECK_S
            self.max_lag_s = max(self.max_lag_s, lag_s)
            second = self._second()
            self.lags_by_second[second] = max(
                self.lags_by_second[second], lag_s
            )

    def _second(self) -> int:
        return int(time.monotonic() - self.plan["began_at"])

    def _choose_endpoint(self) -> Endpoint:
        """Returns what a new session connects to."""
        zones = list(self.by_zone)
        zone = self.rng.choices(zones, ZONE_WEIGHTS[: len(zones)])[0]
        instance, port = self.rng.choice(self.by_zone[zone])
        keys = self.rng.choices(self.plan["keys"], self.plan["shares"])[0]
        databases = self.plan["databases"]
        weights = [deployment.find_kind(each).weight for each in databases]
        database = self.rng.choices(databases, weights)[0]
        return Endpoint(instance, port, database, self.rng.choice(keys))

    async def _open(self, endpoint: Endpoint) -> Caller | str:
        """Opens a session; returns why not if it is refused or fails."""
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    HOST, endpoint.port, limit=LIMIT_BYTES
                )
                self.last_session += 1
                name = f"{self.plan['seed']}-{self.last_session}"
                caller = Caller(endpoint, reader, writer, name, self.asked)
                sent_at = time.monotonic()
                writer.write(
                    f"STARTUP {endpoint.database} {endpoint.key}\r\n".encode()
                )
                line = await caller.read_line()
        except (OSError, TimeoutError, LostError):
            self.codes["not opened"] += 1
            return "not opened"
        if line.startswith(b"READY"):
            return caller
        code = line.split(b" ")[1].decode()
        self.codes[f"startup {code}"] += 1
        self._record_refusal(code, endpoint, sent_at)
        writer.close()
        return code

    def _record_refusal(
        self, code: str, endpoint: Endpoint, sent_at: float
    ) -> None:
        if code not in REFUSALS:
            return
        origin = requests.Origin(
            endpoint.instance, endpoint.database, endpoint.key, sent_at
        )
        self.refusals.append(Refusal(code, origin, time.monotonic()))

    async def _probe(self, database: str) -> None:
        """Opens sessions for a database that may be added, again and again."""
        while True:
            await asyncio.sleep(PROBE_PAUSE_S * self.rng.uniform(0.5, 1.5))
            endpoint = self._choose_endpoint()._replace(database=database)
            caller = await self._open(endpoint)
            if isinstance(caller, Caller):
                await self._run_once(caller)
                caller.close()

    async def _keep_session(self) -> None:
        """Keeps a session open and sends operations on it."""
        await asyncio.sleep(RAMP_S * self.rng.random())
        unfinished = None
        lost: Endpoint | None = None
        while True:
            endpoint = self._choose_endpoint()
            if unfinished is not None and lost is not None:
                endpoint = endpoint._replace(
                    database=lost.database, key=lost.key
                )
            caller = await self._open(endpoint)
            if isinstance(caller, str):
                is_refused = caller in REFUSALS
                pause_s = REFUSED_PAUSE_S if is_refused else REOPEN_PAUSE_S
                await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.5))
                continue
            await self._use(caller, unfinished)
            lost = caller.endpoint
            unfinished = caller.unfinished
            caller.close()

    async def _use(
        self, caller: Caller, unfinished: drawing.Operation | None
    ) -> None:
        """Sends operations until the session ends or is in a bad state.

        Args:
          caller: The session.
          unfinished: What another session was lost with, if anything.
        """
        if unfinished is not None:
            self.codes["tried again on another session"] += 1
            if not await self._run_once(caller, unfinished):
                return
        mean_s = self.plan["sessions"] / self.plan["per_s"]
        is_short = self.rng.random() < SHORT_SESSION_PART
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / mean_s))
            if caller.reader.at_eof():
                self.codes["closed while idle"] += 1
                return
            if not await self._run_once(caller) or is_short:
                return

    async def _run_once(
        self, caller: Caller, operation: drawing.Operation | None = None
    ) -> bool:
        """Runs an operation; returns whether the session goes on.

        Args:
          caller: The session.
          operation: What to run; None to draw one.
        """
        kind = deployment.find_kind(caller.endpoint.database)
        self.sent_by_second[self._second()] += 1
        began_at = time.monotonic()
        if operation is None:
            operation = self.drawing.draw_operation(
                kind.transaction_part, kind.write_part
            )
        try:
            async with asyncio.timeout(kind.limit_s):
                code, is_over = await self._retry(caller, operation)
        except (TimeoutError, LostError) as error:
            self.codes[f"session {type(error).__name__}"] += 1
            return False
        if code:
            self.codes[f"given up {code}"] += 1
            return not is_over
        self.done_by_second[self._second()] += 1
        self.durations_ms.append(round(1000 * (time.monotonic() - began_at), 1))
        return not is_over

    async def _retry(
        self, caller: Caller, operation: drawing.Operation
    ) -> tuple[str, bool]:
        """Runs an operation, again in full where that is allowed.

        Returns:
          The code of its error, and whether the session must be closed.
        """
        code = ""
        for _ in range(1 + RETRIES):
            origin = self._make_origin(caller)
            self.last_attempt += 1
            attempt = Attempt(
                caller,
                operation,
                self.last_attempt,
                self._make_number,
                functools.partial(requests.encode, origin),
            )
            try:
                code = await attempt.run()
            except LostError:
                if not operation.writes or not attempt.is_decided:
                    caller.unfinished = operation
                raise
            if not code:
                return "", attempt.is_over
            self.codes[code] += 1
            self._record_refusal(code, caller.endpoint, origin.sent_at)
            if attempt.is_over or not _may_retry(code, operation, attempt):
                return code, attempt.is_over
            await asyncio.sleep(RETRY_PAUSE_S * self.rng.uniform(0.5, 1.5))
        return code, False

    def _make_origin(self, caller: Caller) -> requests.Origin:
        endpoint = caller.endpoint
        return requests.Origin(
            endpoint.instance, endpoint.database, endpoint.key, time.monotonic()
        )

    def _make_number(self) -> str:
        """Returns a new id of a statement."""
        self.last_number += 1
        return f"{self.plan['seed']:08x}{self.last_number:08x}"


def _may_retry(
    code: str, operation: drawing.Operation, attempt: Attempt
) -> bool:
    """Returns whether an operation may be tried again after an error."""
    if code in PROMISES:
        return True
    if code not in UNSURE:
        return False
    if code == FAILED:
        return not operation.writes
    return not operation.writes or not attempt.is_decided
