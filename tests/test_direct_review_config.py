"""Tests of the review of issue 35: old configurations, hold-ups, log output."""

import asyncio
import base64
import json
import os
import pathlib
import pty
import random
import socket
import subprocess
import sys
import threading
import time
import unittest
from typing import Any
from unittest import mock

import uvloop

from cuminwall import (
    confighead,
    exceptions,
    outputs,
    placement,
    plainhttp,
    upkeep,
)
from cuminwall.direct import (
    catalog,
    coordination,
    events,
    fleet_state,
    follower,
    lender,
    limits,
    membership,
    messages,
    ports,
    state,
    statements,
    store_view,
)
from cuminwall.ports import StoreEntry
from tests import direct_world

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from fleet import store  # noqa: E402

GUARD_S = 5.0
CONFIG_REVISION = 6


def make_config(version: int) -> str:
    """Returns a configuration as the operator writes it."""
    return json.dumps(
        {"Version": version, "Routes": [], "Services": [], "Tenants": []}
    )


def make_item(version: int) -> dict[str, Any]:
    """Returns the store's item of a configuration."""
    value = base64.b64encode(make_config(version).encode()).decode()
    return {
        "Key": "op/config",
        "Value": value,
        "Revision": CONFIG_REVISION + version,
        "Created": 1,
        "Lease": 0,
    }


def receive_request(connection: socket.socket) -> str:
    """Returns the first line of a request without a body."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65536)
        if not received:
            return ""
        data += received
    return data.split(b"\r\n", 1)[0].decode()


def send_answer(connection: socket.socket, body: dict[str, Any]) -> None:
    """Sends an answer of the store."""
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
    connection.sendall(head.encode() + data)


class StoreThread:
    """A store in a thread, which goes on while the event loop stands still.

    Attributes:
      port: Its port.
      connections: The connections that it has accepted.
      is_watched: Set when it was called for changes the first time.
      may_tell: Set to answer that call with version 2.
      is_told: Set when that answer was sent.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.connections: list[socket.socket] = []
        self.is_watched = threading.Event()
        self.may_tell = threading.Event()
        self.is_told = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Closes every socket."""
        self.may_tell.set()
        self.listener.close()
        for connection in self.connections:
            connection.close()

    def _accept(self) -> None:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        """Answers the calls of one connection."""
        while True:
            try:
                line = receive_request(connection)
                if not line:
                    return
                self._answer(connection, line)
            except OSError:
                return

    def _answer(self, connection: socket.socket, line: str) -> None:
        """Answers one call; only the first one for changes is answered."""
        if "kv-range" in line:
            answer = {"items": [make_item(1)], "HasMore": False, "AsOf": 7}
            send_answer(connection, answer)
            return
        if self.is_watched.is_set():
            return
        self.is_watched.set()
        self.may_tell.wait(GUARD_S)
        send_answer(connection, {"events": [make_item(2)], "AsOf": 8})
        self.is_told.set()


class RestartAfterHoldUpTest(unittest.TestCase):
    """A timer that is overdue after a hold-up replaces the call for changes."""

    def test_answer_that_has_come_is_not_thrown_away(self) -> None:
        store_ = StoreThread()
        self.addCleanup(store_.close)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            versions = runner.run(self.follow(store_))
        self.assertEqual(versions, [1, 2])

    async def follow(self, store_: StoreThread) -> list[int]:
        """Returns the versions that were seen shortly after a hold-up."""
        versions: list[int] = []

        def handle(event: events.Event) -> None:
            if isinstance(event, events.CatalogSeen):
                versions.append(event.catalog.version)

        client = store.Store("127.0.0.1", store_.port)
        follower_ = follower.Follower(client, handle, time.monotonic)
        task = asyncio.create_task(follower_.follow())
        while not store_.is_watched.is_set():
            await asyncio.sleep(0.01)
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, follower_.restart_watch)
        store_.may_tell.set()
        store_.is_told.wait(GUARD_S)
        time.sleep(0.3)
        await asyncio.sleep(0.3)
        task.cancel()
        return versions


class AnswerBehindTimeoutTest(unittest.TestCase):
    """An answer came in time; the loop stood still beyond the timeout."""

    def test_answer_that_has_come_is_used(self) -> None:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self.call())

    async def call(self) -> None:
        """Makes a call and holds up the loop past its timeout."""
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        client = plainhttp.Client("127.0.0.1", port)
        task = asyncio.create_task(client.call("GET", "/", 0.3))
        loop = asyncio.get_running_loop()
        connection, _ = await loop.run_in_executor(None, listener.accept)
        await loop.run_in_executor(None, receive_request, connection)
        send_answer(connection, {})
        time.sleep(0.6)
        try:
            response = await task
        except exceptions.AnswerTimeoutError as error:
            self.fail(f"the answer was in the socket for 0.6 s: {error}")
        finally:
            connection.close()
            listener.close()
        self.assertEqual(response.status, 200)


class LateAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer of the store is read long after it was sent."""

    HELD_UP_S = 3.0

    # The coordinator tells this age to all others.
    async def test_view_is_no_newer_than_the_answer(self) -> None:
        known = state.State("a", "z1")
        self.now = 100.0

        def handle(event: events.Event) -> None:
            if isinstance(event, events.ChangesRead):
                known.now = event.now
                store_view.record_answer(known, event)

        follower_ = follower.Follower(
            HeldUpStore(self), handle, lambda: self.now
        )
        follower_.revision = 7
        task = asyncio.create_task(follower_.follow())
        await asyncio.sleep(0.05)
        task.cancel()
        answered_at = 100.0 + store_view.SHORT_WAIT_S
        self.assertLessEqual(known.store_view.answered_at, answered_at)


class HeldUpStore:
    """A store whose first answer is read late, since the process stood still.

    Attributes:
      test: The test whose clock it moves.
      calls: How many calls were made.
    """

    def __init__(self, test: LateAnswerTest):
        self.test = test
        self.calls = 0

    async def read_all(self) -> ports.StoreItems:
        """Is not called."""
        raise AssertionError

    def is_answer_arriving(self) -> bool:
        """Returns False: each answer arrives as a whole."""
        return False

    async def watch(self, after: int, wait_s: float) -> ports.StoreItems:
        """Answers the first call within a short wait."""
        del wait_s
        self.calls += 1
        if self.calls > 1:
            await asyncio.Event().wait()
        self.test.now += store_view.SHORT_WAIT_S + self.test.HELD_UP_S
        return ports.StoreItems([], after)


class RestartRaceTest(unittest.IsolatedAsyncioTestCase):
    """The call for changes is replaced at the moment of its answer."""

    async def follow(self, call: str) -> tuple[list[int], list[str]]:
        """Replaces the call from within its own report; returns what came."""
        seen: list[int] = []
        answers = TwoVersionsStore()

        def handle(event: events.Event) -> None:
            if isinstance(event, events.CatalogSeen):
                seen.append(event.catalog.version)
                if event.catalog.version == 2 and len(seen) == 2:
                    getattr(follower_, call)()

        follower_ = follower.Follower(answers, handle, lambda: 1.0)
        task = asyncio.create_task(follower_.follow())
        await asyncio.sleep(0.1)
        self.assertFalse(task.done())
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        return seen, answers.calls

    async def test_restart_within_the_report_loses_no_change(self) -> None:
        seen, calls = await self.follow("restart_watch")
        self.assertEqual(seen, [1, 2])
        self.assertEqual(calls, ["all", "after 7", "after 8"])

    async def test_reread_within_the_report_is_not_lost(self) -> None:
        _, calls = await self.follow("reread")
        self.assertEqual(calls[:3], ["all", "after 7", "all"])

    async def test_two_restarts_at_once_end_nothing(self) -> None:
        answers = TwoVersionsStore()
        follower_ = follower.Follower(answers, lambda event: None, lambda: 1.0)
        task = asyncio.create_task(follower_.follow())
        await asyncio.sleep(0.05)
        for _ in range(20):
            follower_.restart_watch()
            follower_.restart_watch()
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        self.assertFalse(task.done())
        self.assertFalse(follower_.is_restarting)
        task.cancel()


class TwoVersionsStore:
    """A store whose first wait reports version 2; later ones hear nothing.

    Attributes:
      calls: The calls made.
    """

    def __init__(self) -> None:
        self.calls: list[str] = []

    def _item(self, version: int) -> ports.StoreItem:
        config = direct_world.make_catalog(version)
        revision = CONFIG_REVISION + version
        return ports.StoreItem(ports.ItemKind.CATALOG, "", config, revision)

    async def read_all(self) -> ports.StoreItems:
        """Returns the whole store."""
        self.calls.append("all")
        version = 1 if len(self.calls) == 1 else 2
        return ports.StoreItems([self._item(version)], CONFIG_REVISION + 1)

    def is_answer_arriving(self) -> bool:
        """Returns False: each answer arrives as a whole."""
        return False

    async def watch(self, after: int, wait_s: float) -> ports.StoreItems:
        """Reports version 2 once."""
        del wait_s
        self.calls.append(f"after {after}")
        if len(self.calls) == 2:
            return ports.StoreItems([self._item(2)], CONFIG_REVISION + 2)
        await asyncio.Event().wait()
        raise AssertionError


class RandomRestartTest(unittest.TestCase):
    """Restarts, timeouts and hold-ups meet at random moments."""

    SECONDS = 4.0
    SEEDS = (1, 2)

    def test_following_never_ends(self) -> None:
        for seed in self.SEEDS:
            with (
                mock.patch.object(store, "WATCH_TIMEOUT_S", 0.01),
                mock.patch.object(store, "READ_TIMEOUT_S", 0.05),
                mock.patch.object(plainhttp, "CONNECT_TIMEOUT_S", 0.01),
                mock.patch.object(follower, "MAX_BACKOFF_S", 0.02),
                mock.patch.object(follower, "MIN_BACKOFF_S", 0.01),
                asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
            ):
                runner.run(self.disturb(random.Random(seed)))

    async def disturb(self, choices: random.Random) -> None:
        """Disturbs a follower for a while; checks that it goes on."""
        calls = 0

        async def answer(request: plainhttp.Request) -> plainhttp.Response:
            nonlocal calls
            calls += 1
            await asyncio.sleep(choices.uniform(0.0, 0.03))
            if "kv-range" in request.path:
                body = {"items": [make_item(1)], "HasMore": False, "AsOf": 7}
            else:
                body = {"events": [], "AsOf": 7}
            return plainhttp.Response(200, json.dumps(body).encode())

        server = await plainhttp.serve("127.0.0.1", 0, answer)
        client = store.Store("127.0.0.1", server.sockets[0].getsockname()[1])
        waits = (0.01, 0.02, 1.0)
        follower_ = follower.Follower(
            client,
            lambda event: None,
            time.monotonic,
            lambda: choices.uniform(0.0, 0.01),
            lambda: choices.choice(waits),
        )
        task = asyncio.create_task(follower_.follow())
        end = time.monotonic() + self.SECONDS
        while time.monotonic() < end:
            await asyncio.sleep(choices.uniform(0.0, 0.01))
            follower_.restart_watch()
            if choices.random() < 0.1:
                follower_.reread()
            if choices.random() < 0.2:
                time.sleep(choices.uniform(0.0, 0.02))
        self.assertFalse(task.done())
        before = calls
        await asyncio.sleep(1.5)
        self.assertGreater(calls, before)
        task.cancel()
        server.close()


class OverlappingRequestsTest(unittest.TestCase):
    """Requests go out faster than the coordinator's replies come back."""

    # Every reply is to an earlier request than the latest, so none confirmed
    # anything and each instance called the store anew again and again.
    def test_replies_confirm_while_newer_requests_are_under_way(self) -> None:
        known = state.State("a", "z1")
        known.coordinator = fleet_state.Coordinator("b", "boot", 3, 1)
        known.is_store_up = True
        known.store_view.answered_at = 100.0
        out: list[Any] = []
        interval_s = 9 / lender.MAX_REQUESTS_PER_S
        reply_s = 2.5 * interval_s
        for step in range(1, 400):
            sent_at = 100.0 + step * interval_s
            known.now = sent_at
            store_view.record_request(known, step)
            answered = step - int(reply_s / interval_s)
            if answered < 1:
                continue
            reply = messages.ShareReply(
                answered, 3, (), 1, interval_s, True, 50.0, 0, 0.3
            )
            store_view.handle_reply(known, reply, out)
        self.assertEqual(out, [])


class OverlappingFleetTest(unittest.TestCase):
    """Callers of many workspaces wait for tokens; the links are slow."""

    LINK_S = 0.03
    SECONDS = 10
    OPERATIONS_PER_STEP = 4
    STEP_S = 0.01

    def setUp(self) -> None:
        patch = mock.patch.object(direct_world, "LINK_S", self.LINK_S)
        patch.start()
        self.addCleanup(patch.stop)
        servers = (direct_world.FakeServer("p"), direct_world.FakeServer("q"))
        servers[0].is_primary = True
        names = ("a", "b", "c", "d", "e")
        self.world = direct_world.World(names, servers)
        workspaces = {}
        keys = {}
        for number in range(20):
            name = f"w{number}"
            workspaces[name] = catalog.Workspace(name, 5.0, 5.0, 1)
            keys[f"key {name}"] = name
        config = direct_world.make_catalog(2)
        self.world.configure(config._replace(workspaces=workspaces, keys=keys))
        self.world.run(4.0)

    def open_sessions(self) -> list[direct_world.Caller]:
        """Opens a session for each key at each follower."""
        opened = []
        coordinator = self.world.coordinator()
        for instance in self.world.instances.values():
            instance.notes.clear()
            if instance is coordinator:
                continue
            for key in self.world.config.keys:
                opened.append(instance.caller("db", key))
        self.world.run(0.5)
        return opened

    def test_nobody_is_in_doubt(self) -> None:
        sessions = self.open_sessions()
        choices = random.Random(1)
        count = 0
        for _ in range(int(self.SECONDS / self.STEP_S)):
            for _ in range(self.OPERATIONS_PER_STEP):
                caller = choices.choice(sessions)
                session = caller.instance.state.sessions.get(caller.session)
                if session is None or session.operation is not None:
                    continue
                count += 1
                caller.send(statements.Read(f"r{count}", "x"))
            self.world.run(self.STEP_S)
        for instance in self.world.instances.values():
            self.assertEqual(instance.log_fields("in_doubt"), [])


class FleetSizeTest(unittest.TestCase):
    """The thresholds allow for what a healthy fleet of each size needs."""

    SLOW_ANSWER_S = 0.2  # Of the store, or of the coordinator.
    # Around the size at which the pause after a change is as long as the time
    # between two regular requests, and the largest that one coordinator serves.
    SIZES = (9, 73, 79, 80, 88, 195, 360)

    def request_interval_s(self, size: int) -> float:
        """Returns the time between two requests of one instance."""
        regular_s = limits.DEFAULTS.share_request_interval_s
        return max(regular_s, size / lender.MAX_REQUESTS_PER_S)

    def test_oldest_confirmation_of_a_healthy_instance(self) -> None:
        for size in self.SIZES:
            view_s = follower.pause_s(size) + store_view.SHORT_WAIT_S
            oldest_s = view_s + self.request_interval_s(size)
            oldest_s += 2 * self.SLOW_ANSWER_S
            self.assertLess(oldest_s, store_view.MAX_VIEW_AGE_S, size)

    def test_coordinator_is_heard_before_an_instance_is_in_doubt(self) -> None:
        for size in self.SIZES:
            heard_s = self.request_interval_s(size) + self.SLOW_ANSWER_S
            self.assertLess(heard_s, store_view.UNCONFIRMED_S, size)


class SuccessionTest(unittest.TestCase):
    """No coordinator is left while records of instances keep changing."""

    # Each change began the wait before the attempt to take over anew.
    def test_changed_records_do_not_put_off_the_attempt(self) -> None:
        known = state.State("a", "z1")
        known.now = 100.0
        coordination.handle_coordinator_value(known, None, 5, [])
        due_at = known.own_lease.next_attempt_at
        for _ in range(20):
            known.now += 0.2
            coordination.handle_member_change(known, [])
        self.assertLessEqual(known.own_lease.next_attempt_at, due_at)


class SuccessionInFleetTest(unittest.TestCase):
    """The coordinator and the next in rank end; another restarts in series."""

    RESTART_S = 0.3
    SUCCESSION_S = 4.0  # 1.3 s where no record changes.

    def test_successor_takes_over_beside_restarts(self) -> None:
        servers = (direct_world.FakeServer("p"), direct_world.FakeServer("q"))
        servers[0].is_primary = True
        names = tuple(f"i{number}" for number in range(9))
        world = direct_world.World(names, servers)
        world.run(4.0)
        self.kill_first_ranks(world)
        for boot in range(int(self.SUCCESSION_S / self.RESTART_S)):
            self.restart(world, boot)
            world.run(self.RESTART_S)
        leading = []
        for instance in world.instances.values():
            if instance.is_alive and instance.state.own_lease.epoch:
                leading.append(instance.name)
        self.assertEqual(len(leading), 1)

    def kill_first_ranks(self, world: direct_world.World) -> None:
        """Kills the coordinator and the three that would follow it first."""
        old = world.coordinator()
        state_ = old.state
        ranked = placement.ranked(f"epoch {state_.epoch}", state_.members)
        ranked.remove(old.name)
        for name in (old.name, *ranked[:3]):
            world.kill(name)

    def restart(self, world: direct_world.World, boot: int) -> None:
        """Writes the record of a process that has just started."""
        record = {
            "boot": f"boot-{boot}",
            "zone": "z1",
            "host": "h",
            "port": 1,
            "cores": 0.1,
        }
        world.store.revision += 1
        world.publish_shared(
            membership.record_name("restarted"),
            json.dumps(record).encode(),
            world.store.revision,
        )


class TerminalTest(unittest.TestCase):
    """Standard output is a terminal whose reader stands still."""

    FLUSH_S = 2.0

    def test_full_terminal_does_not_hold_the_process_up(self) -> None:
        reader, writer = pty.openpty()
        try:
            output = outputs.Output(writer, lambda delay, action: None)
            thread = threading.Thread(
                target=self.fill, args=(output,), daemon=True
            )
            thread.start()
            thread.join(self.FLUSH_S)
            is_blocked = thread.is_alive()
        finally:
            os.close(reader)
            os.close(writer)
        self.assertFalse(is_blocked)

    def fill(self, output: outputs.Output) -> None:
        """Writes more than a terminal holds."""
        for _ in range(20):
            output.write(b"x" * 10_000 + b"\n")
            output.flush()


class LastLinesTest(unittest.TestCase):
    """A process logs much and then ends; its log is read all the while."""

    LINES = 1000
    PROGRAM = (
        "from cuminwall import logs, settings\n"
        "from loguru import logger\n"
        "logs.configure(settings.Log(level='info', format='text'))\n"
        f"for number in range({LINES}):\n"
        "    logger.info('line {} {}', number, 'x' * 500)\n"
    )

    def test_every_line_that_was_taken_is_written(self) -> None:
        with subprocess.Popen(
            [sys.executable, "-c", self.PROGRAM], stderr=subprocess.PIPE
        ) as process:
            assert process.stderr is not None
            data = b""
            while True:
                # Slower than a program that does nothing but log.
                part = os.read(process.stderr.fileno(), 4096)
                if not part:
                    break
                data += part
                time.sleep(0.001)
        written = data.count(b"\n")
        self.assertEqual(written, self.LINES, data[-200:])

    # A node flushed once and exited.
    def test_rest_is_written_at_the_end_of_a_node(self) -> None:
        reader, writer = os.pipe()
        output = outputs.Output(writer, lambda delay, action: None)
        for _ in range(300):
            output.write(b"x" * 999 + b"\n")
        received: list[bytes] = []

        def read() -> None:
            while part := os.read(reader, 4096):
                received.append(part)

        thread = threading.Thread(target=read, daemon=True)
        thread.start()
        output.finish(GUARD_S)
        os.close(writer)
        if output.descriptor != writer:
            os.close(output.descriptor)
        thread.join(GUARD_S)
        os.close(reader)
        self.assertEqual(sum(map(len, received)), 300_000)


class MalformedHeadTest(unittest.IsolatedAsyncioTestCase):
    """PostgreSQL path: one value of the configuration can't be read."""

    # The loop that loads configurations ended, with no line in the log.
    async def test_later_versions_are_loaded(self) -> None:
        nothing: Any = None
        engine_ = mock.Mock()
        engine_.state.config.version = 0
        upkeep_ = upkeep.Upkeep(engine_, nothing, nothing, nothing, nothing)
        reader = mock.AsyncMock()
        reader.get.return_value = StoreEntry(confighead.HEAD_KEY, b"{}", 1)
        task = asyncio.create_task(upkeep_._load_configurations())
        with (
            mock.patch.object(upkeep_, "_readers", return_value=[reader]),
            mock.patch.object(upkeep, "FETCH_PAUSE_S", 0.01),
        ):
            upkeep_.request_config(1)
            await asyncio.sleep(0.1)
            self.assertFalse(task.done())
        task.cancel()


if __name__ == "__main__":
    unittest.main()
