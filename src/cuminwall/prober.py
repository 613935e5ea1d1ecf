"""Probes backend servers, each over a connection of its own.

A connection can fall silent for good while the server is healthy. A probe
that fails on the kept connection is therefore retried once on a new one, and
only a failure of the retry counts against the server.
"""

import asyncio
import contextlib
import enum
import functools
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from loguru import logger

from cuminwall import backend, backend_errors, backend_settings, probes

PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.5
MIN_PAUSE_S = 0.01


class ProbeFailureReason(enum.Enum):
    """Why a server gave no usable answer on a new connection.

    Attributes:
      UNREACHABLE: The connection could not be made or was lost.
      SILENT: It did not answer before the deadline.
      REFUSED: It answered with an error.
      MALFORMED: It broke the protocol.
    """

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    REFUSED = "refused"
    MALFORMED = "malformed"


class ProbeFailure(NamedTuple):
    """The result of a failed probe.

    Attributes:
      reason: Why it failed.
      message: Details for the log.
    """

    reason: ProbeFailureReason
    message: str


# Called with the server's name, the monotonic time in seconds before the
# probe was sent, and the probe's result.
Report = Callable[[str, float, probes.ProbeAnswer | ProbeFailure], None]


class Prober:
    """Probes servers at an interval.

    Attributes:
      report: Called with the result of each probe.
      interval_s: From the start of one probe to the start of the next.
      timeout_s: How long a server may take for one step of a probe.
      server_probes: The probes of each server, by the name of the server.
      tasks: The task that probes each server.
      canceled_tasks: Canceled tasks that have not ended yet.
    """

    def __init__(
        self,
        report: Report,
        interval_s: float = PROBE_INTERVAL_S,
        timeout_s: float = PROBE_TIMEOUT_S,
    ):
        self.report = report
        self.interval_s = interval_s
        self.timeout_s = timeout_s
        self.server_probes: dict[str, ServerProbe] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.canceled_tasks: set[asyncio.Task[None]] = set()

    def set_targets(self, targets: Iterable[backend.Target]) -> None:
        """Probes exactly these servers from now on."""
        wanted = {target.name: target for target in targets}
        for name, server_probe in list(self.server_probes.items()):
            if wanted.get(name) != server_probe.target:
                self.stop_probing(name)
        for name, target in wanted.items():
            if name in self.server_probes:
                continue
            server_probe = ServerProbe(target, self.timeout_s)
            self.server_probes[name] = server_probe
            self.tasks[name] = asyncio.create_task(
                self.keep_probing(server_probe)
            )

    def probe_soon(self, name: str) -> None:
        """Probes a server at once, or right after the probe in progress."""
        server_probe = self.server_probes.get(name)
        if server_probe is not None:
            server_probe.probe_now.set()

    def stop_probing(self, name: str) -> None:
        """Stops probing a server and closes the connection to it."""
        del self.server_probes[name]
        task = self.tasks.pop(name)
        task.cancel()
        self.canceled_tasks.add(task)
        task.add_done_callback(self.canceled_tasks.discard)

    async def close(self) -> None:
        """Stops all probes and waits until their connections are closed."""
        for name in list(self.server_probes):
            self.stop_probing(name)
        await asyncio.gather(*self.canceled_tasks, return_exceptions=True)

    async def keep_probing(self, server_probe: "ServerProbe") -> None:
        """Probes one server until canceled."""
        try:
            while True:
                started_at = time.monotonic()
                server_probe.probe_now.clear()
                sent_at, answer = await server_probe.probe()
                self.report(server_probe.target.name, sent_at, answer)
                passed_s = time.monotonic() - started_at
                # Requested probes run one at a time, with a minimum pause.
                await asyncio.sleep(max(0.0, MIN_PAUSE_S - passed_s))
                await server_probe.wait(max(0.0, self.interval_s - passed_s))
        finally:
            await server_probe.close()


class ServerProbe:
    """Probes one server over a connection that it keeps.

    Attributes:
      target: The server.
      timeout_s: How long it may take for one step.
      connection: The connection that is kept for probes, or None.
      probe_now: Set to run the next probe without waiting for its time.
    """

    def __init__(self, target: backend.Target, timeout_s: float):
        self.target = target
        self.timeout_s = timeout_s
        self.connection: backend.BackendConnection | None = None
        self.probe_now = asyncio.Event()

    async def wait(self, pause_s: float) -> None:
        """Waits for the time of the next probe, or until one is requested."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self.probe_now.wait()

    async def probe(self) -> tuple[float, probes.ProbeAnswer | ProbeFailure]:
        """Probes the server, on a new connection if the kept one fails.

        Returns:
          The monotonic time before the probe was sent, and its result.
        """
        started_at = time.monotonic()
        if self.connection is not None:
            try:
                return started_at, await query_position(
                    self.connection, self.timeout_s
                )
            except backend_errors.ExchangeError as error:
                logger.info(
                    "backend: probe connection to {} replaced: {}",
                    self.target.name,
                    error,
                )
                await self.close()
        try:
            # The answer's age counts from here, not from the first attempt.
            sent_at, answer = await self.probe_on_new_connection()
        except backend_errors.ExchangeError as error:
            await self.close()
            return started_at, classify_failure(error)
        return sent_at, answer

    async def probe_on_new_connection(self) -> tuple[float, probes.ProbeAnswer]:
        """Probes over a new connection and keeps it."""
        loop = asyncio.get_running_loop()
        self.connection = await backend.connect(
            self.target, loop.time() + self.timeout_s
        )
        sent_at = time.monotonic()
        return sent_at, await query_position(self.connection, self.timeout_s)

    async def close(self) -> None:
        """Closes the kept connection."""
        connection, self.connection = self.connection, None
        if connection is not None:
            await connection.close()


async def query_position(
    connection: backend.BackendConnection, timeout_s: float
) -> probes.ProbeAnswer:
    """Queries the server's log position.

    Raises:
      backend_errors.ExchangeError: There was no usable answer.
    """
    answer = await connection.run_steps(
        (), (), (), _reject_data, timeout_s, query_position=True
    )
    if isinstance(answer, backend_settings.SettingRefused):
        raise backend_errors.ProbeRefusedError(
            "the server refused a reset", sent=True
        )
    if answer.position is None:
        raise backend_errors.ProbeRefusedError(
            "the server refused the position query", sent=True
        )
    return answer.position


@functools.singledispatch
def classify_failure(error: backend_errors.ExchangeError) -> ProbeFailure:
    """Returns the probe failure for an error; one function for each type."""
    return ProbeFailure(ProbeFailureReason.REFUSED, str(error))


@classify_failure.register
def _(error: backend_errors.BackendLostError) -> ProbeFailure:
    return ProbeFailure(ProbeFailureReason.UNREACHABLE, str(error))


@classify_failure.register
def _(error: backend_errors.BackendTimeoutError) -> ProbeFailure:
    return ProbeFailure(ProbeFailureReason.SILENT, str(error))


@classify_failure.register
def _(error: backend_errors.BackendProtocolError) -> ProbeFailure:
    return ProbeFailure(ProbeFailureReason.MALFORMED, str(error))


async def _reject_data(data: bytes) -> None:
    raise backend_errors.ProbeRefusedError(
        "unexpected data in the answer to a probe", sent=True
    )
