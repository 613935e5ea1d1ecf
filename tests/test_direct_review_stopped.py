"""A real process of direct service that is stopped for some seconds."""

import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import urllib.parse
from typing import Any, BinaryIO

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "platform" / "cuminwall_node.py"

CONFIG_APPLY_S = 3.0  # By which a version must be in force everywhere.
START_S = 30.0
SETTLE_S = 3.0  # For the instance to register and to lend to itself.
PORTS = 5
POSITION = "1.10"

SETTINGS = """
NodeName = "n1"
Ip = "127.0.0.1"
Zone = "z"
PortRange = [{0}, {1}]
[ListenAddrs]
Frontend = "127.0.0.1:{2}"
Ready = "127.0.0.1:{3}"
[Limits]
CpuQuota = 1.0
Cores = 1
[Bounds]
GracePeriodS = 6
ConfigApplyMs = 3000
FencingEnforced = true
[platform]
Address = "127.0.0.1:{4}"
[Provider]
Address = "127.0.0.1:1"
"""


def make_config(version: int, service: str) -> bytes:
    """Returns a configuration whose only route leads to a service."""
    route = {
        "Host": "db",
        "Service": service,
        "Kind": "primary",
        "TimeoutMs": 2500,
        "TargetLatencyMs": 500,
    }
    tenant = {"Name": "t", "ApiKeys": ["k"], "RatePerS": 500, "Burst": 500}
    services = [{"Name": "old", "MaxConns": 40}, {"Name": "new", "MaxConns": 9}]
    config = {
        "Version": version,
        "Routes": [route],
        "Services": services,
        "Tenants": [tenant],
    }
    return json.dumps(config).encode()


def make_entry(service: str, port: int) -> bytes:
    """Returns the entry of a primary."""
    entry = {
        "Service": service,
        "Address": f"127.0.0.1:{port}",
        "Zone": "z",
        "Capacity": 3,
        "State": "ready",
        "WarmupLeftMs": 0,
        "DbRole": "primary",
        "born": 1,
    }
    return json.dumps(entry).encode()


def find_ports() -> int:
    """Returns the first of some adjacent ports that are free."""
    for first in range(20_000 + os.getpid() % 1000, 30_000, PORTS):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + PORTS):
                    address = ("127.0.0.1", port)
                    stack.enter_context(socket.create_server(address))
            except OSError:
                continue
            return first
    raise OSError("no free ports")


class Listener:
    """Serves each connection in a thread."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def serve(self, connection: socket.socket, lines: BinaryIO) -> None:
        """Serves one connection until it ends."""
        raise NotImplementedError

    def _accept(self) -> None:
        """Accepts connections until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self._run, args=(connection,), daemon=True
                ).start()

    def _run(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            self.serve(connection, connection.makefile("rb"))


class Primary(Listener):
    """A backend server that answers every statement.

    Attributes:
      requests: The ids of the callers' statements that it has run.
    """

    def __init__(self) -> None:
        self.requests: list[str] = []
        super().__init__()

    def serve(self, connection: socket.socket, lines: BinaryIO) -> None:
        """Answers the messages of one connection."""
        for line in lines:
            words = line.decode().split()
            ready = f"READY I {POSITION}\r\n"
            if words[0] != "QUERY":
                connection.sendall(ready.encode())
                continue
            row = "x"
            if words[2] == "STATUS":
                row = f"primary 1 {POSITION} 0 0 0 1"
            else:
                if words[1] != "-":
                    self.requests.append(words[1])
            answer = f"ROW {row}\r\nCOMPLETE proof\r\n{ready}"
            connection.sendall(answer.encode())


class Store(Listener):
    """The platform's store.

    Attributes:
      items: The items, by key.
      changes: All changes, in order.
      revision: The revision of the last change.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.items: dict[str, dict[str, Any]] = {}
        self.changes: list[dict[str, Any]] = []
        self.revision = 1
        super().__init__()

    def put(self, key: str, value: bytes) -> None:
        """Writes an item, as the operator or a server does."""
        with self.changed:
            self.revision += 1
            self._write(key, base64.b64encode(value).decode(), 0)

    def serve(self, connection: socket.socket, lines: BinaryIO) -> None:
        """Answers the calls of one connection."""
        while line := lines.readline().decode():
            size = 0
            while header := lines.readline().decode().strip().lower():
                if header.startswith("content-length:"):
                    size = int(header.partition(":")[2])
            body = json.loads(lines.read(size)) if size else {}
            url = urllib.parse.urlsplit(line.split()[1])
            query = dict(urllib.parse.parse_qsl(url.query))
            with self.changed:
                answer = json.dumps(self._answer(url.path, query, body))
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(answer)}\r\n\r\n"
            connection.sendall((head + answer).encode())

    def _answer(
        self, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> dict[str, Any]:
        """Returns the answer to one call."""
        if path == "/v1/kv-range":
            items = list(self.items.values())
            return {"items": items, "HasMore": False, "AsOf": self.revision}
        if path == "/v1/kv-watch":
            after = int(query["after"])
            self.changed.wait_for(
                lambda: self.revision > after, int(query["WaitMs"]) / 1000
            )
            found = [each for each in self.changes if each["Revision"] > after]
            return {"events": found, "AsOf": self.revision}
        if path == "/v1/kv-txn":
            self.revision += 1
            for put in body["Puts"]:
                self._write(put["Key"], put["Value"], put.get("Lease", 0))
            return {"Revision": self.revision}
        return {"Lease": 1, "TtlMs": 1000}

    def _write(self, key: str, value: str, lease: int) -> None:
        """Writes an item at the present revision."""
        item = {
            "Key": key,
            "Value": value,
            "Revision": self.revision,
            "Created": self.revision,
            "Lease": lease,
        }
        self.items[key] = item
        self.changes.append(item)
        self.changed.notify_all()


class StoppedProcessTest(unittest.TestCase):
    """A version and then statements come while the process is stopped."""

    STATEMENTS = 3

    def setUp(self) -> None:
        self.old = Primary()
        self.new = Primary()
        self.store = Store()
        for listener in (self.old, self.new, self.store):
            self.addCleanup(listener.listener.close)
        self.store.put("op/config", make_config(1, "old"))
        self.store.put("servers/a", make_entry("old", self.old.port))
        self.store.put("servers/b", make_entry("new", self.new.port))
        first = find_ports()
        ports = (first, first + 1, first + 2, first + 3, self.store.port)
        self.address = ("127.0.0.1", first + 2)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.log = pathlib.Path(folder, "log")
        settings = pathlib.Path(folder, "settings.toml")
        settings.write_text(SETTINGS.format(*ports), encoding="utf-8")
        output = self.enterContext(self.log.open("wb"))
        self.process = subprocess.Popen(
            [sys.executable, str(PROGRAM)],
            env={**os.environ, "CUMINWALL_CONFIG": str(settings)},
            stdout=output,
            stderr=output,
        )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)

    def open_session(self) -> socket.socket:
        """Opens a session and runs a statement in it."""
        caller = socket.create_connection(self.address, 5.0)
        self.addCleanup(caller.close)
        lines = caller.makefile("rb")
        self.addCleanup(lines.close)
        caller.sendall(b"STARTUP db k\r\n")
        self.assertIn(b"READY", lines.readline())
        caller.sendall(b"QUERY before READ 1\r\n")
        self.assertIn(b"ROW", lines.readline())
        return caller

    def wait_for_start(self) -> None:
        """Waits until the process accepts callers."""
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                socket.create_connection(self.address).close()
                time.sleep(SETTLE_S)
                return
            time.sleep(0.1)
        self.fail(self.log.read_text(encoding="utf-8"))

    def change_route(self, is_stopped: bool) -> None:
        """Changes the route and sends statements after the bound."""
        self.wait_for_start()
        callers = [self.open_session() for _ in range(self.STATEMENTS)]
        if is_stopped:
            self.process.send_signal(signal.SIGSTOP)
        self.store.put("op/config", make_config(2, "new"))
        time.sleep(CONFIG_APPLY_S + 0.2)
        for number, caller in enumerate(callers):
            caller.sendall(f"QUERY after-{number} READ 1\r\n".encode())
        time.sleep(0.1)
        self.process.send_signal(signal.SIGCONT)
        time.sleep(1.5)

    def assert_new_version(self) -> None:
        """Checks that the later statements ran by the new version."""
        late = [each for each in self.old.requests if each != "before"]
        lines = self.log.read_text(encoding="utf-8").splitlines()
        shown = [each for each in lines if "config_age_ms" in each]
        self.assertEqual(late, [], shown[-1:])
        self.assertEqual(len(self.new.requests), self.STATEMENTS)

    # A process that gets no processor for as long is in touch by the rules.
    def test_stopped_process(self) -> None:
        self.change_route(is_stopped=True)
        self.assert_new_version()

    def test_running_process(self) -> None:
        self.change_route(is_stopped=False)
        self.assert_new_version()


if __name__ == "__main__":
    unittest.main()
