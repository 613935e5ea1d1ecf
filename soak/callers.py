"""Callers, which keep sessions open and send operations."""

import asyncio
import collections
import random
import time
from typing import Any, NamedTuple, TypedDict

from soak import deployment, requests

HOST = "127.0.0.1"
ZONE_WEIGHTS = (366.0, 280.0, 266.0, 288.0)
CONNECT_TIMEOUT_S = 2.0
RAMP_S = 6.0  # Over which the sessions are opened.
RETRIES = 2
RETRY_PAUSE_S = 0.05
REOPEN_PAUSE_S = 0.3
REFUSED_PAUSE_S = 3.0  # After a database or key was refused.
PROBE_PAUSE_S = 0.3
TRANSACTION_STATEMENTS = 3
TRANSACTION_WRITE_PART = 0.5
LAG_CHECK_S = 0.02
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY")
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


class Endpoint(NamedTuple):
    """What a session connects to, and as whom."""

    instance: str
    port: int
    database: str
    key: str


class LostError(Exception):
    """The connection ended, or an answer didn't come in time."""


class Caller:
    """A session.

    Attributes:
      endpoint: What it is connected to.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self.endpoint = endpoint
        self.reader = reader
        self.writer = writer

    async def read_line(self) -> str:
        """Returns the next line.

        Raises:
          LostError: The connection ended.
        """
        try:
            line = await self.reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise LostError(repr(error)) from error
        return line[:-2].decode()

    async def query(self, number: str, text: str) -> tuple[str, str]:
        """Sends a statement; returns the code of its error and the state.

        Raises:
          LostError: The connection ended.
        """
        self.writer.write(f"QUERY {number} {text}\r\n".encode())
        code = ""
        while True:
            word, _, rest = (await self.read_line()).partition(" ")
            if word == "ERROR":
                code = rest.split(" ")[0]
            if word == "READY":
                return code, rest.split(" ")[0]

    def close(self) -> None:
        """Ends the session."""
        self.writer.write(b"TERMINATE\r\n")
        self.writer.close()


class Callers:
    """All callers of a process.

    Attributes:
      plan: What they do.
      done_by_second: Operations that succeeded, by second since the start.
      codes: Errors of statements and of sessions, by code.
      refusals: The refusals of databases and keys.
      durations_ms: How long operations that succeeded took.
      max_lag_s: How late this process was at most.
    """

    def __init__(self, plan: Plan):
        self.plan = plan
        self.rng = random.Random(plan["seed"])
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
                    HOST, endpoint.port
                )
                caller = Caller(endpoint, reader, writer)
                sent_at = time.monotonic()
                writer.write(
                    f"STARTUP {endpoint.database} {endpoint.key}\r\n".encode()
                )
                line = await caller.read_line()
        except (OSError, TimeoutError, LostError):
            self.codes["not opened"] += 1
            return "not opened"
        if line.startswith("READY"):
            return caller
        code = line.split(" ")[1]
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
        while True:
            caller = await self._open(self._choose_endpoint())
            if isinstance(caller, str):
                is_refused = caller in REFUSALS
                pause_s = REFUSED_PAUSE_S if is_refused else REOPEN_PAUSE_S
                await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.5))
                continue
            await self._use(caller)
            caller.close()

    async def _use(self, caller: Caller) -> None:
        """Sends operations until the session ends or is in a bad state."""
        mean_s = self.plan["sessions"] / self.plan["per_s"]
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / mean_s))
            if caller.reader.at_eof():
                self.codes["closed while idle"] += 1
                return
            if not await self._run_once(caller):
                return

    async def _run_once(self, caller: Caller) -> bool:
        """Runs an operation; returns whether the session goes on."""
        kind = deployment.find_kind(caller.endpoint.database)
        self.sent_by_second[self._second()] += 1
        began_at = time.monotonic()
        try:
            async with asyncio.timeout(kind.limit_s):
                code = await self._retry(caller, kind)
        except (TimeoutError, LostError) as error:
            self.codes[f"session {type(error).__name__}"] += 1
            return False
        if code:
            self.codes[f"given up {code}"] += 1
            return True
        self.done_by_second[self._second()] += 1
        self.durations_ms.append(round(1000 * (time.monotonic() - began_at), 1))
        return True

    async def _retry(self, caller: Caller, kind: deployment.Kind) -> str:
        """Runs an operation, again after a promise; returns an error code."""
        is_transaction = self.rng.random() < kind.transaction_part
        writes = self.rng.random() < kind.write_part
        code = ""
        for _ in range(1 + RETRIES):
            if is_transaction:
                code = await self._transact(caller, kind)
            else:
                code = await self._run_single(caller, writes)
            if not code:
                return ""
            self.codes[code] += 1
            if code not in PROMISES:
                return code
            await asyncio.sleep(RETRY_PAUSE_S * self.rng.uniform(0.5, 1.5))
        return code

    async def _run_single(self, caller: Caller, writes: bool) -> str:
        """Runs one statement; returns the code of its error."""
        origin = self._make_origin(caller)
        item = requests.encode(origin, 0)
        text = f"WRITE {item} data" if writes else f"READ {item}"
        code, _ = await caller.query(self._make_number(), text)
        self._record_refusal(code, caller.endpoint, origin.sent_at)
        return code

    async def _transact(self, caller: Caller, kind: deployment.Kind) -> str:
        """Runs a short transaction; returns the code of its error."""
        origin = self._make_origin(caller)
        may_write = kind.write_part > 0
        begin = "BEGIN" if may_write else "BEGIN READ"
        code, state = await caller.query(self._make_number(), begin)
        for number in range(TRANSACTION_STATEMENTS):
            if code:
                break
            item = requests.encode(origin, number)
            text = f"READ {item}"
            if may_write and self.rng.random() < TRANSACTION_WRITE_PART:
                text = f"WRITE {item} data"
            code, state = await caller.query(self._make_number(), text)
        if not code:
            code, state = await caller.query(self._make_number(), "COMMIT")
        if state != "I":
            await caller.query(self._make_number(), "ROLLBACK")
        self._record_refusal(code, caller.endpoint, origin.sent_at)
        return code

    def _make_origin(self, caller: Caller) -> requests.Origin:
        endpoint = caller.endpoint
        return requests.Origin(
            endpoint.instance, endpoint.database, endpoint.key, time.monotonic()
        )

    def _make_number(self) -> str:
        """Returns a new id of a statement."""
        self.last_number += 1
        return f"{self.plan['seed']:08x}{self.last_number:08x}"
