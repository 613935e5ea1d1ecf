"""A complete site on this machine: platform, database groups and daemons.

Each is a process of its own and is connected by TCP on loopback. The demo, the
benchmarks and the tests across processes use it.
"""

import asyncio
import base64
import json
import os
import pathlib
import secrets
import signal
import socket
import sys
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

import aiohttp
import scramp

from cuminwall import configapply, store

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
USER = "cuminwall"
PASSWORD = "cuminwall"
PEER_SECRET = "a secret of the stand-in site"


class ServerPlan(NamedTuple):
    """A backend server to start.

    Attributes:
      name: Its id within the service.
      zone: Its availability zone.
    """

    name: str
    zone: str


class GroupPlan(NamedTuple):
    """A database group to start; the first server is its primary.

    Attributes:
      service: The name of the database service.
      servers: Its backend servers.
      replication_delay_s: The replay delay of replicas.
      max_connections: The limit on client connections of each server.
      connect_delay_s: The delay before a new connection is authenticated.
    """

    service: str
    servers: tuple[ServerPlan, ...]
    replication_delay_s: float = 0.05
    max_connections: int = 20
    connect_delay_s: float = 0.01


class Process:
    """A process of the site.

    Attributes:
      name: The name of the process, also of its log file.
      process: The process.
      ports: Its ports, as it printed them or as they were set.
      log_path: The file with its standard error.
    """

    def __init__(
        self,
        name: str,
        process: asyncio.subprocess.Process,
        ports: dict[str, int],
        log_path: pathlib.Path,
    ):
        self.name = name
        self.process = process
        self.ports = ports
        self.log_path = log_path

    @property
    def is_running(self) -> bool:
        """Whether the process is still running."""
        return self.process.returncode is None

    def send(self, number: int) -> None:
        """Sends a signal if the process is still running."""
        if self.is_running:
            self.process.send_signal(number)

    async def end(self, number: int = signal.SIGKILL) -> int:
        """Ends the process and returns its exit code."""
        self.send(number)
        return await self.process.wait()


class Site:
    """The processes of a site.

    Attributes:
      folder: The folder of settings files and logs.
      platform: The process of the platform.
      servers: The processes of the backend servers, by service and server id.
      server_arguments: The command-line arguments of each backend server.
      daemons: The processes of the daemons, by instance.
      plans: The database groups, by service.
      document: The configuration last applied.
      version: The version of that configuration.
      daemon_settings: Additional settings for daemons started from now on.
      reserved: Sockets that keep the ports of processes from others.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.daemon_settings: dict[str, Any] = {}
        self.reserved: list[socket.socket] = []
        self.platform: Process | None = None
        self.servers: dict[tuple[str, str], Process] = {}
        self.server_arguments: dict[tuple[str, str], tuple[str, ...]] = {}
        self.daemons: dict[str, Process] = {}
        self.plans: dict[str, GroupPlan] = {}
        self.document: dict[str, Any] = {}
        self.version = 0

    @property
    def endpoint(self) -> str:
        """The platform's URL."""
        assert self.platform is not None
        return f"http://{HOST}:{self.platform.ports['port']}"

    async def start_platform(self, *arguments: str) -> None:
        """Starts the platform."""
        self.platform = await self._start(
            "platform",
            "cuminwall_standins.platform",
            arguments,
            reads_ports=True,
        )

    async def start_group(self, plan: GroupPlan) -> None:
        """Starts the servers of a database group."""
        self.plans[plan.service] = plan
        ports = self.reserve_ports(3 * len(plan.servers))
        members = ",".join(
            f"{HOST}:{ports[3 * place + 1]}"
            for place in range(len(plan.servers))
        )
        starting = []
        for place, server in enumerate(plan.servers):
            port, replication_port, control_port = ports[
                3 * place : 3 * place + 3
            ]
            arguments = (
                f"--port={port}",
                f"--replication_port={replication_port}",
                f"--control_port={control_port}",
                f"--primary={place == 0}",
                f"--members={members}",
                f"--user={USER}",
                f"--password={PASSWORD}",
                f"--max_connections={plan.max_connections}",
                f"--connect_delay_s={plan.connect_delay_s}",
                f"--replication_delay_s={plan.replication_delay_s}",
            )
            key = (plan.service, server.name)
            self.server_arguments[key] = arguments
            starting.append(self._start_server(key))
        await asyncio.gather(*starting)

    async def restart_server(self, service: str, server: str) -> None:
        """Kills a server and starts it again, without data, as a replica."""
        key = (service, server)
        await self.servers[key].end()
        self.server_arguments[key] = (
            *self.server_arguments[key],
            "--primary=False",
        )
        await self._start_server(key)

    async def start_daemon(
        self, instance: str, zone: str, **timings: float
    ) -> Process:
        """Starts a daemon; it serves once a configuration is applied."""
        port, peer_port, http_port = self.reserve_ports(3)
        settings = {
            "instance": instance,
            "zone": zone,
            "listen": {"host": HOST, "port": port},
            "peers": {"host": HOST, "port": peer_port, "secret": PEER_SECRET},
            "http": {"host": HOST, "port": http_port},
            "platform": {"endpoint": self.endpoint},
            "timings": timings,
            **self.daemon_settings,
        }
        path = self.folder / f"{instance}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        process = await self._start(
            instance,
            "cuminwall.daemon_start",
            (f"--settings={path}",),
            reads_ports=False,
        )
        process.ports.update(port=port, peer_port=peer_port, http=http_port)
        self.daemons[instance] = process
        return process

    async def apply(self, document: dict[str, Any]) -> int:
        """Applies a configuration and returns its version.

        Raises:
          RuntimeError: The configuration was rejected.
        """
        store_ = store.EtcdStore(self.endpoint, "", 2.0)
        origin = configapply.ChangeMetadata(
            self.version, "site", secrets.token_hex(8), time.time()
        )
        try:
            result = await configapply.apply(store_, document, origin)
        finally:
            await store_.close()
        if not isinstance(result, configapply.Applied):
            raise RuntimeError(result)
        self.document = document
        self.version = result.version
        return result.version

    def describe_service(self, service: str, **extra: Any) -> dict[str, Any]:
        """Returns the configuration of a service."""
        plan = self.plans[service]
        servers = {}
        for server in plan.servers:
            process = self.servers[(service, server.name)]
            servers[server.name] = {
                "host": HOST,
                "port": process.ports["port"],
                "zone": server.zone,
            }
        return {
            "servers": servers,
            "database": service,
            "user": USER,
            "password": PASSWORD,
            "connections_per_server": plan.max_connections,
            **extra,
        }

    async def wait_until_ready(
        self, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Waits until each daemon is ready and each write lease is held.

        Raises:
          TimeoutError: It took longer than `timeout_s`.
        """
        async with asyncio.timeout(timeout_s):
            for instance in self.daemons:
                while not await self._is_ready(instance):
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def status(self, instance: str) -> dict[str, Any]:
        """Returns a daemon's status."""
        port = self.daemons[instance].ports["http"]
        return await get_json(f"http://{HOST}:{port}/status")

    async def inject_fault(
        self, service: str, server: str, name: str, **arguments: Any
    ) -> None:
        """Injects or ends a fault of a backend server."""
        port = self.servers[(service, server)].ports["control_port"]
        await post_json(f"http://{HOST}:{port}/{name}", arguments)

    async def inject_platform_fault(self, **arguments: Any) -> None:
        """Sets faults of the platform."""
        await post_json(f"{self.endpoint}/faults", arguments)

    async def stop(self) -> None:
        """Kills all processes."""
        everything = [*self.daemons.values(), *self.servers.values()]
        if self.platform is not None:
            everything.append(self.platform)
        for process in everything:
            process.send(signal.SIGKILL)
        for process in everything:
            await process.process.wait()
        for each in self.reserved:
            each.close()
        self.reserved.clear()

    def reserve_ports(self, count: int) -> list[int]:
        """Returns unused ports that nobody else gets while the site runs.

        The system gives a port that is bound to no other socket. A process may
        listen on it all the same if it allows the address to be reused, as
        those of a site do.
        """
        ports = []
        for _ in range(count):
            reserved = socket.socket()
            self.reserved.append(reserved)
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind((HOST, 0))
            ports.append(reserved.getsockname()[1])
        return ports

    async def _start_server(self, key: tuple[str, str]) -> None:
        """Starts the process of a server."""
        self.servers[key] = await self._start(
            "-".join(key),
            "cuminwall_standins.database",
            self.server_arguments[key],
            reads_ports=True,
        )

    async def _is_ready(self, instance: str) -> bool:
        """Returns whether a daemon is ready and its write leases are held."""
        try:
            status = await self.status(instance)
        except aiohttp.ClientError:
            return False
        if status["config_version"] < self.version:
            return False
        if status["config_fresh_s"] <= 0:
            return False
        if not set(self.daemons) <= set(status["members"]):
            return False
        return all(group["lease_s"] > 0 for group in status["groups"])

    async def _start(
        self,
        name: str,
        module: str,
        arguments: Sequence[str],
        reads_ports: bool,
    ) -> Process:
        """Starts a process; `reads_ports` if it prints its ports."""
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=asyncio.subprocess.PIPE if reads_ports else log,
                stderr=log,
                env={**os.environ, "UV_USE_IO_URING": "0"},
            )
        ports: dict[str, int] = {}
        if reads_ports:
            assert process.stdout is not None
            async with asyncio.timeout(START_TIMEOUT_S):
                line = await process.stdout.readline()
            ports = json.loads(line)
        return Process(name, process, ports, log_path)


def make_verifier(password: str) -> str:
    """Returns the SCRAM-SHA-256 verifier of a password."""
    mechanism = scramp.ScramMechanism("SCRAM-SHA-256")
    salt, stored, server, rounds = mechanism.make_auth_info(
        password, iteration_count=4096
    )
    texts = [base64.b64encode(part).decode() for part in (salt, stored, server)]
    return f"SCRAM-SHA-256${rounds}:{texts[0]}${texts[1]}:{texts[2]}"


async def get_json(url: str) -> dict[str, Any]:
    """Returns the JSON object at a URL."""
    timeout = aiohttp.ClientTimeout(total=2.0)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(url) as response,
    ):
        return await response.json()


async def post_json(url: str, body: dict[str, Any]) -> None:
    """Posts a JSON object."""
    timeout = aiohttp.ClientTimeout(total=2.0)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.post(url, json=body) as response,
    ):
        response.raise_for_status()
