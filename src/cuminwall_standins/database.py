"""One backend server of the stand-in database group.

Run as `python -m cuminwall_standins.database`, or start a `DatabaseServer`. It
prints its ports as one line of JSON.
"""

import asyncio
import json
import secrets
import sys
from collections.abc import Sequence
from typing import NamedTuple

from absl import app, flags
from loguru import logger

from cuminwall_standins import (
    control,
    engine,
    errors,
    faults,
    replication,
    session,
    startup,
)

HOST = "127.0.0.1"
DEFAULT_MAX_CONNECTIONS = 20
DEFAULT_CONNECT_DELAY_S = 0.01
DEFAULT_DEMOTE_DELAY_S = 0.3

_PORT = flags.DEFINE_integer("port", 0, "Client port; 0 lets the OS choose.")
_REPLICATION_PORT = flags.DEFINE_integer(
    "replication_port", 0, "Replication port; 0 lets the OS choose."
)
_CONTROL_PORT = flags.DEFINE_integer(
    "control_port", 0, "HTTP port of the fault switches; 0 lets the OS choose."
)
_PRIMARY = flags.DEFINE_boolean(
    "primary", False, "Whether to start as primary."
)
_MEMBERS = flags.DEFINE_list(
    "members", [], "The group's replication addresses, each host:port."
)
_USER = flags.DEFINE_string("user", "cuminwall", "The one user.")
_PASSWORD = flags.DEFINE_string("password", "cuminwall", "The user's password.")
_MAX_CONNECTIONS = flags.DEFINE_integer(
    "max_connections", DEFAULT_MAX_CONNECTIONS, "Client connections at most."
)
_CONNECT_DELAY_S = flags.DEFINE_float(
    "connect_delay_s",
    DEFAULT_CONNECT_DELAY_S,
    "How long a new connection takes, in seconds.",
)
_REPLICATION_DELAY_S = flags.DEFINE_float(
    "replication_delay_s", 0.0, "How late a replica replays, in seconds."
)
_DEMOTE_DELAY_S = flags.DEFINE_float(
    "demote_delay_s",
    DEFAULT_DEMOTE_DELAY_S,
    "How long an old primary goes on after it met a newer one, in seconds.",
)


class Options(NamedTuple):
    """How to run a server; the fields are those of the flags."""

    port: int = 0
    replication_port: int = 0
    control_port: int = 0
    primary: bool = False
    members: tuple[str, ...] = ()
    user: str = "cuminwall"
    password: str = "cuminwall"
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    connect_delay_s: float = DEFAULT_CONNECT_DELAY_S
    replication_delay_s: float = 0.0
    demote_delay_s: float = DEFAULT_DEMOTE_DELAY_S


class DatabaseServer:
    """A backend server; after `stop` it may be started again with its log.

    Attributes:
      port: The client port, once started.
      replication_port: The replication port, once started.
      control_port: The HTTP port of the fault switches, once started.
      data: The data and the log.
      sessions: The admitted connections by process id, the oldest first.
    """

    def __init__(self, options: Options = Options()):  # noqa: B008
        self.options = options
        self.port = options.port
        self.replication_port = options.replication_port
        self.control_port = options.control_port
        self.connect_delay_s = options.connect_delay_s
        self.data = engine.Engine(options.primary)
        self.faults = faults.Faults()
        self.verifier = startup.Verifier(options.user, options.password)
        self.sessions: dict[int, session.Session] = {}
        self.tasks: dict[asyncio.Task, asyncio.StreamWriter] = {}
        self.next_process_id = 1
        self.listener: asyncio.Server | None = None
        self.replication = replication.Replication(
            self.data, self.faults, self.close_clients
        )
        self.replication.members.addresses = options.members
        self.replication.delay_s = options.replication_delay_s
        self.replication.demote_delay_s = options.demote_delay_s
        self.control = control.Control(self)

    @property
    def replication_address(self) -> str:
        """Returns the address that the other members are told."""
        return f"{HOST}:{self.replication_port}"

    async def start(self) -> None:
        """Opens all ports and begins to replicate."""
        self.replication_port = await self.replication.start(
            HOST, self.replication_port
        )
        self.control_port = await self.control.start(HOST, self.control_port)
        self.listener = await asyncio.start_server(self.accept, HOST, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def stop(self, abort: bool = False) -> None:
        """Closes everything.

        Args:
          abort: Whether clients get no message, as when a process is killed.
        """
        if self.listener:
            self.listener.close()
        if not abort:
            error = errors.SqlError(
                "57P01", "the server is shutting down", "FATAL"
            )
            for known in self.sessions.values():
                known.send_fatal_error(error)
        tasks = list(self.tasks)
        self.close_clients(abort)
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.replication.stop()
        await self.control.stop()

    def set_members(self, members: Sequence[str]) -> None:
        """Sets the group's replication addresses."""
        self.replication.members.set_addresses(tuple(members))

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        if self.faults.are_clients_cut:
            writer.transport.abort()
            return
        process_id = self.next_process_id
        self.next_process_id += 1
        secret = secrets.randbits(32)
        task = asyncio.current_task()
        assert task is not None
        self.tasks[task] = writer
        try:
            await session.Session(
                self, process_id, secret, reader, writer
            ).run()
        except asyncio.CancelledError:
            logger.debug("database: connection {} was closed", process_id)
        finally:
            self.tasks.pop(task)
            self.sessions.pop(process_id, None)

    def admit(self, new: session.Session) -> None:
        """Counts a session.

        Raises:
          errors.SqlError: There are too many.
        """
        if len(self.sessions) >= self.options.max_connections:
            raise errors.SqlError(
                "53300", "sorry, too many clients already", "FATAL"
            )
        self.sessions[new.process_id] = new

    def cancel(self, request: startup.CancelRequest) -> None:
        """Interrupts the statement that a session waits in."""
        known = self.sessions.get(request.process_id)
        if known and known.secret == request.secret:
            known.executor.cancel()

    def close_clients(self, abort: bool = True) -> None:
        """Closes all client connections."""
        for task, writer in list(self.tasks.items()):
            if abort:
                writer.transport.abort()
            task.cancel()

    def freeze(self) -> None:
        """Stops all progress; sockets stay open."""
        self.faults.thawed.clear()

    def thaw(self) -> None:
        """Ends `freeze`."""
        self.faults.thawed.set()

    def slow(self, delay_s: float) -> None:
        """Delays each answer."""
        self.faults.answer_delay_s = delay_s

    def hold_answers(self, count: int, hold_s: float) -> None:
        """Holds back each of the next answers."""
        self.faults.held_answers = count
        self.faults.hold_s = hold_s

    def silence(self, count: int) -> int:
        """Lets open connections answer nothing any more.

        Args:
          count: How many, the oldest first.

        Returns:
          How many there were.
        """
        silenced = 0
        for known in self.sessions.values():
            if silenced == count:
                break
            if known.is_silent:
                continue
            known.silence()
            silenced += 1
        return silenced

    def cut_clients(self) -> None:
        """Closes all client connections and refuses new ones."""
        self.faults.are_clients_cut = True
        self.close_clients()

    def cut_members(self, members: Sequence[str]) -> None:
        """Ends replication with some members, in both directions."""
        self.faults.cut_members = frozenset(members)
        self.replication.members.abort_connections(self.faults.cut_members)

    def mend(self) -> None:
        """Ends `cut_clients` and `cut_members`."""
        self.faults.are_clients_cut = False
        self.faults.cut_members = frozenset()

    def lag(self, delay_s: float) -> None:
        """Sets how late this replica replays."""
        self.replication.delay_s = delay_s


async def _serve(options: Options) -> None:
    server = DatabaseServer(options)
    await server.start()
    ports = {
        "port": server.port,
        "replication_port": server.replication_port,
        "control_port": server.control_port,
    }
    print(json.dumps(ports), flush=True)
    await asyncio.Event().wait()


def main(argv: Sequence[str]) -> None:
    """Runs a server until the process ends."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]}")
    logger.remove()
    logger.add(sys.stderr, level="INFO")
    options = Options(
        port=_PORT.value,
        replication_port=_REPLICATION_PORT.value,
        control_port=_CONTROL_PORT.value,
        primary=_PRIMARY.value,
        members=tuple(_MEMBERS.value),
        user=_USER.value,
        password=_PASSWORD.value,
        max_connections=_MAX_CONNECTIONS.value,
        connect_delay_s=_CONNECT_DELAY_S.value,
        replication_delay_s=_REPLICATION_DELAY_S.value,
        demote_delay_s=_DEMOTE_DELAY_S.value,
    )
    asyncio.run(_serve(options))


if __name__ == "__main__":
    app.run(main)
