"""The metadata store over HTTP, which can be made to misbehave.

Each instance has a listener of its own, so that its calls can be told apart.
"""

import asyncio
import base64
import collections
import functools
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from soak import items, webserver

HOST = "127.0.0.1"
ANSWER_S = 0.004
SLOW_FACTOR = 60
WRITES_PER_S = 1200
READS_PER_S = 6000
RENEWAL_PRICE = 0.1  # Of a read.
LEASE_CHECK_S = 0.02
COORDINATOR_KEY = "cuminwall/coordinator"
MEMBER_PREFIX = "cuminwall/instances/"
PROTECTED = ("op/", "servers/")
WATCH_PATH = "/v1/kv-watch"
RANGE_PATH = "/v1/kv-range"
KEEP_PATH = "/v1/kv-keep/"
END_PATH = "/v1/kv-lease-end/"


class Answer(NamedTuple):
    """A status and a body."""

    status: int
    body: bytes


class Follow:
    """One call by which an instance learns of changes.

    Attributes:
      path: The path of the call.
      wait_s: How long it waits for a change; 0 for a read.
      began_at: When it arrived.
      ended_at: When it was answered or its connection ended; None until then.
      outcome: The status of the answer, "lost", or "" until then.
    """

    __slots__ = ("path", "wait_s", "began_at", "ended_at", "outcome")

    def __init__(self, path: str, wait_s: float, began_at: float):
        self.path = path
        self.wait_s = wait_s
        self.began_at = began_at
        self.ended_at: float | None = None
        self.outcome = ""


class Waiter(NamedTuple):
    """A call that waits for a change.

    Attributes:
      connection: Its connection.
      after: The revision after which changes are reported.
      timer: Ends the wait.
    """

    connection: webserver.Connection
    after: int
    timer: asyncio.TimerHandle


class Store:
    """The store.

    Attributes:
      items: Its content.
      follows: The calls by which each instance learned of changes.
      call_counts: Calls by path.
      counts_by_second: Priced writes and reads, by second.
      refusals: Calls beyond the rates.
      is_silent: Whether no call is answered, now or later.
      is_busy: Whether every call is refused.
      is_slow: Whether answers take long.
      hangs_watches: Whether calls that wait are never answered.
      deaf_revision: The newest revision that watches hear of; None for all.
      is_lease_time_stopped: Whether leases don't run out.
      relay_ports: The port of the relay of each port of an instance.
      promote: Handles the promotion of a backend server.
      link_bytes_per_s: What the link to one instance carries; 0 for any amount.
    """

    def __init__(self) -> None:
        self.items = items.Items()
        self.follows: dict[str, list[Follow]] = {}
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.counts_by_second: collections.defaultdict[int, list[float]] = (
            collections.defaultdict(lambda: [0.0, 0.0])
        )
        self.refusals = 0
        self.is_silent = False
        self.is_busy = False
        self.is_slow = False
        self.hangs_watches = False
        self.deaf_revision: int | None = None
        self.is_lease_time_stopped = False
        self.relay_ports: dict[int, int] = {}
        self.promote: Callable[[str, str], bool] = lambda service, name: False
        self.link_bytes_per_s = 0.0
        self.lease_ends: dict[int, float] = {}
        self.waiters: dict[webserver.Connection, Waiter] = {}
        self.open_follows: dict[webserver.Connection, Follow] = {}
        self.connections: set[webserver.Connection] = set()
        self.busy_connections: set[webserver.Connection] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.listeners: list[asyncio.Server] = []

    async def listen(self, instance: str, port: int) -> None:
        """Listens for the calls of one instance."""
        self.follows[instance] = []
        loop = asyncio.get_running_loop()

        def make() -> webserver.Connection:
            handler = functools.partial(self._handle, instance)
            return webserver.Connection(
                handler, self._forget, self.link_bytes_per_s
            )

        self.listeners.append(await loop.create_server(make, HOST, port))

    def start(self) -> None:
        """Starts to end leases."""
        self.tasks.append(asyncio.create_task(self._expire()))

    def stop(self) -> None:
        """Ends all connections, and no more leases."""
        for task in self.tasks:
            task.cancel()
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.abort()

    def put(self, key: str, value: object) -> int:
        """Writes as the operator or a backend server; returns the revision."""
        revision = self.items.write_json(key, value)
        self._tell_waiters()
        return revision

    def find_coordinator(self) -> str:
        """Returns the instance that coordinates; empty if there is none."""
        item = self.items.by_key.get(COORDINATOR_KEY)
        if item is None:
            return ""
        return str(json.loads(base64.b64decode(item.value))["instance"])

    def fall_silent(self) -> None:
        """Answers nothing from now on, not even the calls that wait."""
        self.is_silent = True
        for connection in self.busy_connections:
            connection.is_mute = True

    def silence_connections(self) -> None:
        """Answers nothing more on any open connection; new ones work."""
        for connection in self.connections:
            connection.is_mute = True

    def hang_watches(self) -> None:
        """Never answers the calls that wait now, nor new ones that wait."""
        self.hangs_watches = True
        for connection in self.waiters:
            connection.is_mute = True

    def go_deaf(self) -> None:
        """Tells those who watch of no change from now on."""
        self.deaf_revision = self.items.revision

    def hear_again(self) -> None:
        """Ends the deafness, drops the history and cuts waiting calls."""
        self.deaf_revision = None
        self.items.drop_history()
        for connection in list(self.waiters):
            connection.abort()

    def lapse_leases(self) -> None:
        """Ends all leases at once."""
        for lease in list(self.lease_ends):
            self._end_lease(lease)

    def _forget(self, connection: webserver.Connection) -> None:
        """Handles the end of a connection."""
        self.connections.discard(connection)
        self.busy_connections.discard(connection)
        waiter = self.waiters.pop(connection, None)
        if waiter is not None:
            waiter.timer.cancel()
        self._close_follow(connection, "lost")

    def _close_follow(
        self, connection: webserver.Connection, outcome: str
    ) -> None:
        follow = self.open_follows.pop(connection, None)
        if follow is not None:
            follow.ended_at = time.monotonic()
            follow.outcome = outcome

    def _handle(
        self,
        instance: str,
        connection: webserver.Connection,
        call: webserver.Call,
    ) -> None:
        """Handles a call of an instance."""
        self.connections.add(connection)
        self.busy_connections.add(connection)
        self.call_counts[_name_call(call.path)] += 1
        if call.path in (WATCH_PATH, RANGE_PATH):
            wait_s = int(call.query.get("WaitMs", 0)) / 1000
            follow = Follow(call.path, wait_s, time.monotonic())
            self.follows[instance].append(follow)
            self.open_follows[connection] = follow
        if self.is_silent:
            connection.is_mute = True
            return
        delay_s = ANSWER_S * (SLOW_FACTOR if self.is_slow else 1)
        loop = asyncio.get_running_loop()
        if self._is_beyond_rate(call):
            self.refusals += 1
            refusal = Answer(429, b"{}")
            loop.call_later(delay_s, self._answer, connection, refusal)
            return
        if self.is_busy:
            loop.call_later(delay_s, self._answer, connection, Answer(503, b""))
            return
        loop.call_later(delay_s, self._carry_out, connection, call)

    def _is_beyond_rate(self, call: webserver.Call) -> bool:
        """Counts a call; returns whether its rate is exceeded."""
        counts = self.counts_by_second[int(time.monotonic())]
        if call.path == "/promote":
            return False
        if call.path.startswith(KEEP_PATH):
            counts[1] += RENEWAL_PRICE
        elif call.method == "GET":
            counts[1] += 1
        else:
            counts[0] += 1
        return counts[0] > WRITES_PER_S or counts[1] > READS_PER_S

    def _answer(self, connection: webserver.Connection, answer: Answer) -> None:
        """Answers a call."""
        if connection.is_mute:
            return
        self._close_follow(connection, str(answer.status))
        self.busy_connections.discard(connection)
        connection.answer(answer.status, answer.body)

    def _carry_out(
        self, connection: webserver.Connection, call: webserver.Call
    ) -> None:
        """Carries out a call and answers it."""
        if connection.is_mute or connection.transport is None:
            return
        if call.path == WATCH_PATH:
            self._watch(connection, call)
            return
        self._answer(connection, self._find_answer(call))

    def _find_answer(self, call: webserver.Call) -> Answer:
        """Returns the answer to a call that doesn't wait."""
        if call.path == RANGE_PATH:
            return self._read_range(call)
        if call.path == "/v1/kv-txn":
            return self._swap(json.loads(call.body))
        if call.path == "/v1/kv-lease":
            ttl_ms = int(json.loads(call.body)["TtlMs"])
            lease = self.items.grant_lease(ttl_ms)
            self.lease_ends[lease] = time.monotonic() + ttl_ms / 1000
            return _encode({"Lease": lease, "TtlMs": ttl_ms})
        if call.path.startswith(KEEP_PATH):
            return self._keep(int(call.path.removeprefix(KEEP_PATH)))
        if call.path.startswith(END_PATH):
            lease = int(call.path.removeprefix(END_PATH))
            if lease not in self.lease_ends:
                return Answer(404, b"{}")
            self._end_lease(lease)
            return Answer(200, b"{}")
        if call.path == "/promote":
            fields = json.loads(call.body)
            is_done = self.promote(fields["Service"], fields["Id"])
            return Answer(200 if is_done else 409, b"{}")
        return Answer(404, b"{}")

    def _read_range(self, call: webserver.Call) -> Answer:
        page = self.items.read_page(
            call.query.get("Prefix", ""), call.query.get("after", "")
        )
        encoded = ",".join(item.encoded for item in page.items)
        has_more = "true" if page.has_more else "false"
        text = (
            f'{{"items":[{encoded}],"HasMore":{has_more},'
            f'"AsOf":{self.items.revision}}}'
        )
        return Answer(200, text.encode())

    def _swap(self, fields: dict[str, Any]) -> Answer:
        """Writes if all expected revisions hold."""
        found = []
        is_met = True
        for row in fields.get("Expected", []):
            item = self.items.by_key.get(row["Key"])
            if (item.revision if item else 0) != row["Revision"]:
                is_met = False
            if item is not None:
                found.append(item.encoded)
        if not is_met:
            return Answer(412, f'{{"items":[{",".join(found)}]}}'.encode())
        puts = []
        for put in fields.get("Puts", []):
            lease = put.get("Lease", 0)
            if lease and lease not in self.lease_ends:
                return Answer(404, b"{}")
            if put["Key"].startswith(PROTECTED):
                return Answer(403, b"{}")
            value = put["Value"]
            if put["Key"].startswith(MEMBER_PREFIX):
                value = self._use_relay(value)
            puts.append((put["Key"], value, lease))
        revision = self.items.write(puts, fields.get("Remove", []))
        self._tell_waiters()
        return _encode({"Revision": revision})

    def _use_relay(self, value: str) -> str:
        """Returns an instance's record with the port of its relay."""
        record = json.loads(base64.b64decode(value))
        record["port"] = self.relay_ports.get(record["port"], record["port"])
        return base64.b64encode(json.dumps(record).encode()).decode()

    def _keep(self, lease: int) -> Answer:
        if lease not in self.lease_ends:
            return Answer(404, b"{}")
        ttl_ms = self.items.leases[lease]
        self.lease_ends[lease] = time.monotonic() + ttl_ms / 1000
        return _encode({"TtlMs": ttl_ms})

    def _end_lease(self, lease: int) -> None:
        self.lease_ends.pop(lease, None)
        self.items.end_lease(lease)
        self._tell_waiters()

    async def _expire(self) -> None:
        """Ends leases whose time is over."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            if self.is_lease_time_stopped:
                for lease in self.lease_ends:
                    self.lease_ends[lease] += now - before
            before = now
            for lease, ends_at in list(self.lease_ends.items()):
                if now >= ends_at:
                    self._end_lease(lease)

    def _watch(
        self, connection: webserver.Connection, call: webserver.Call
    ) -> None:
        """Answers a watch if there is a change; else lets it wait."""
        after = int(call.query["after"])
        if after < self.items.forgotten:
            self._answer(connection, Answer(410, b"{}"))
            return
        if self.hangs_watches:
            connection.is_mute = True
            return
        if self._answer_watch(connection, after, False):
            return
        wait_s = int(call.query["WaitMs"]) / 1000
        timer = asyncio.get_running_loop().call_later(
            wait_s, self._end_wait, connection
        )
        self.waiters[connection] = Waiter(connection, after, timer)

    def _answer_watch(
        self, connection: webserver.Connection, after: int, is_over: bool
    ) -> bool:
        """Answers a watch if it has changes or is over; returns whether."""
        up_to = self.items.revision
        if self.deaf_revision is not None:
            up_to = self.deaf_revision
        events = self.items.find_events(after, up_to)
        if not events and not is_over:
            return False
        as_of = max(after, up_to)
        text = f'{{"events":[{",".join(events)}],"AsOf":{as_of}}}'
        self._answer(connection, Answer(200, text.encode()))
        return True

    def _end_wait(self, connection: webserver.Connection) -> None:
        waiter = self.waiters.pop(connection, None)
        if waiter is not None:
            self._answer_watch(connection, waiter.after, True)

    def _tell_waiters(self) -> None:
        """Answers the watches that have a change now."""
        if self.deaf_revision is not None:
            return
        for connection, waiter in list(self.waiters.items()):
            if connection.is_mute:
                continue
            if self._answer_watch(connection, waiter.after, False):
                waiter.timer.cancel()
                self.waiters.pop(connection, None)


def _encode(fields: dict[str, object]) -> Answer:
    return Answer(200, json.dumps(fields).encode())


def _name_call(path: str) -> str:
    """Returns the path of a call without its id."""
    for prefix in (KEEP_PATH, END_PATH):
        if path.startswith(prefix):
            return prefix
    return path
