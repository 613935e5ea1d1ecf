"""A simulation of instances in which callers and servers see bytes alone.

Between them are the product's codecs, sockets and reducer; only the transport
is a fake, which cuts what it carries into pieces.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from cuminwall.direct import callers, effects, servers
from fleet import lines
from tests import direct_world, naive_lines

LOGIN = b"STARTUP %s key\r\n"
STEP_S = 0.005  # Of simulated time between two turns of the event loop.

# Messages of cuminwall's own that a server answers with its status.
STATUS_COMMANDS = (
    b"QUERY - STATUS",
    b"QUERY - STEPDOWN ",
    b"QUERY - PAUSE ",
    b"QUERY - RESUME",
)


class FakeTransport:
    """A transport that hands what is written to a function.

    Attributes:
      on_write: The function.
      is_closed: Whether it was closed, by either end.
      is_paused: Whether nothing is read from it now.
      on_resume: Called when it is read again.
    """

    def __init__(self, on_write: Callable[[bytes], None]):
        self.on_write = on_write
        self.is_closed = False
        self.is_paused = False
        self.on_resume: Callable[[], None] = lambda: None

    def write(self, data: bytes) -> None:
        if not self.is_closed:
            self.on_write(data)

    def get_extra_info(self, name: str) -> None:
        del name

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False
        self.on_resume()

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True

    abort = close


class WireInstance(direct_world.Instance):
    """An instance with the product's sockets.

    Attributes:
      callers_port: Its callers' connections.
      servers_port: Its connections to servers.
    """

    def __init__(self, world: Any, name: str, zone: str, boot: str):
        super().__init__(world, name, zone, boot)
        self.queue: deque[Any] = deque()
        self.is_running = False

        def clock() -> float:
            return float(world.now)

        self.callers_port = callers.Callers(
            lines.CallerLines, self.handle_event, clock
        )
        self.servers_port = servers.Servers(
            lines.ServerLines, self.handle_event, clock
        )

    def handle_event(self, event: Any) -> None:
        """Handles an event after those that are handled now."""
        self.queue.append(event)
        if self.is_running:
            return
        self.is_running = True
        while self.queue:
            super().handle_event(self.queue.popleft())
        self.is_running = False


class WireCaller:
    """A caller's end of a connection.

    Attributes:
      received: All bytes that it has received.
      unread: The pieces that it has sent and that are not read yet.
    """

    def __init__(self, world: "WireWorld", name: str):
        self.world = world
        self.received = bytearray()
        port = world.wire_instance(name).callers_port
        self.socket = callers.CallerSocket(port)
        self.unread: deque[bytes] = deque()
        self.transport = FakeTransport(self.received.extend)
        self.transport.on_resume = self._deliver
        self.socket.connection_made(cast(Any, self.transport))

    def send(self, data: bytes) -> None:
        """Sends bytes, as one piece."""
        self.unread.append(data)
        self._deliver()

    def _deliver(self) -> None:
        """Delivers what was sent, as far as it is read."""
        while self.unread and not self.transport.is_paused:
            data = self.unread.popleft()
            if not self.transport.is_closed:
                self.socket.data_received(data)

    def leave(self) -> None:
        """Closes the connection."""
        self.transport.close()
        self.socket.connection_lost(None)

    def lines(self) -> list[bytes]:
        """Returns the complete lines that it has received."""
        return bytes(self.received).split(naive_lines.LINE_END)[:-1]

    def replies(self) -> list[naive_lines.Reply]:
        """Returns the answers that it has received, that to its login first.

        Of an ERROR that may be the instance's own only the code is kept.
        """
        result = []
        parts: list[bytes] = []
        for line in self.lines():
            if not line.startswith(b"READY "):
                parts.append(_without_text(line))
                continue
            result.append(naive_lines.Reply(tuple(parts), line.split(b" ")[1]))
            parts = []
        return result


def _without_text(line: bytes) -> bytes:
    """Returns a line, without its text if it is an instance's own ERROR."""
    if line.startswith(b"ERROR ") and not line.startswith(b"ERROR FAILED "):
        return b" ".join(line.split(b" ")[:2])
    return line


class WireWorld(direct_world.World):
    """A world whose servers are `naive_lines.ServerConnection`s.

    Attributes:
      record: What the servers have seen from sessions.
      links: The connections to servers that were ever opened.
      busy_probability: How likely a server answers a message with BUSY.
      loss_probability: How likely a connection ends in an answer.
    """

    def __init__(self, seed: int = 1):
        self.record = naive_lines.Record()
        self.links: list[ServerLink] = []
        self.busy_probability = 0.0
        self.loss_probability = 0.0
        primary = direct_world.FakeServer("p")
        primary.is_primary = True
        replica = direct_world.FakeServer("q")
        replica.lag_s = 0.06
        super().__init__(("a",), (primary, replica), seed)
        self.run(4.0)

    async def run_on(self, seconds: float) -> None:
        """Advances the time; the event loop takes turns meanwhile."""
        end = self.now + seconds
        while self.now < end:
            self.run(min(STEP_S, end - self.now))
            await asyncio.sleep(0)

    def wire_instance(self, name: str) -> WireInstance:
        """Returns an instance."""
        return cast(WireInstance, self.instances[name])

    def start(self, name: str) -> direct_world.Instance:
        """Starts an instance."""
        self.boots += 1
        instance = WireInstance(self, name, "z1", f"boot{self.boots}")
        self.instances[name] = instance
        self.schedule(0.01, lambda: self._read_all(instance))
        return instance

    def perform(self, instance: direct_world.Instance, effect: Any) -> None:
        """Performs an effect."""
        made = cast(WireInstance, instance)
        if isinstance(effect, effects.AcceptSession):
            made.callers_port.accept_session(effect.session)
        elif isinstance(effect, effects.RejectSession):
            made.callers_port.reject_session(effect.session, effect.failure)
        elif isinstance(effect, effects.Reply):
            made.callers_port.reply(effect.session, effect.answer)
        elif isinstance(effect, effects.CloseCaller):
            made.callers_port.close(effect.session)
        elif isinstance(effect, effects.OpenConnection):
            self.schedule(0.012, lambda: self._connect(made, effect))
        elif isinstance(effect, effects.SendCommands):
            made.servers_port.send(effect)
        elif isinstance(effect, effects.CloseConnection):
            made.servers_port.close(effect.connection)
        else:
            super().perform(instance, effect)

    def drop_idle_links(self) -> None:
        """Makes the servers close the connections on which nothing is open."""
        for link in self.links:
            if link.transport.is_closed or link.pending:
                continue
            if link.connection.state == naive_lines.IDLE:
                link.transport.close()
                link.socket.connection_lost(None)

    def _connect(
        self, instance: WireInstance, effect: effects.OpenConnection
    ) -> None:
        """Opens a connection to a server."""
        server = self.servers[effect.server]
        link = ServerLink(self, instance, effect, server)
        self.links.append(link)
        link.socket.connection_made(cast(Any, link.transport))


class ServerLink:
    """The bytes between an instance and a server.

    Attributes:
      pending: How many messages are not answered yet.
    """

    def __init__(
        self,
        world: WireWorld,
        instance: WireInstance,
        effect: effects.OpenConnection,
        server: direct_world.FakeServer,
    ):
        self.world = world
        self.server = server
        self.socket = servers.ServerSocket(instance.servers_port, effect)
        self.transport = FakeTransport(self._receive)
        self.connection = naive_lines.ServerConnection(
            world.record, server.is_primary
        )
        self.rest = b""
        self.pending = 0
        self.free_at = 0.0

    def _receive(self, data: bytes) -> None:
        """Schedules the answers to the messages that are complete."""
        *complete, self.rest = (self.rest + data).split(naive_lines.LINE_END)
        for line in complete:
            self.pending += 1
            start = max(self.world.now + direct_world.LINK_S, self.free_at)
            self.free_at = start + 0.001
            self._schedule(self.free_at, line)

    def _schedule(self, at: float, line: bytes) -> None:
        """Schedules the answer to one message."""
        self.world.schedule(at - self.world.now, lambda: self._serve(line))

    def _serve(self, line: bytes) -> None:
        """Answers one message."""
        self.pending -= 1
        if self.transport.is_closed:
            return
        world = self.world
        position = self.server.position(world.now)
        if line.startswith(STATUS_COMMANDS):
            self._step_down(line, position.term)
            role = "primary" if self.server.is_primary else "replica"
            term, number = position
            row = f"ROW {role} {term} {term}.{number} 0 0 0 0"
            answer = [row.encode(), b"COMPLETE -"]
        elif world.random.random() < world.busy_probability:
            self.connection.fail()
            answer = [b"ERROR BUSY"]
        elif self._lacks(line, position):
            answer = [b"ERROR LAGGING behind"]
        else:
            commits = len(world.record.commits)
            self.connection.is_primary = self.server.is_primary
            answer = self.connection.handle(line)
            for request in world.record.commits[commits:]:
                world.record_commit(self.server, [request.decode("latin-1")])
            position = self.server.position(world.now)
        state = self.connection.state
        ready = b"READY %s %d.%d" % (state, position.term, position.number)
        data = b"".join(part + b"\r\n" for part in (*answer, ready))
        pieces = cut(data, world.random, 2)
        if world.random.random() < world.loss_probability:
            self.socket.data_received(pieces[0])
            self.transport.close()
            self.socket.connection_lost(None)
            return
        for piece in pieces:
            self.socket.data_received(piece)

    def _step_down(self, line: bytes, term: int) -> None:
        """Makes the server a replica, if the message orders that."""
        word, _, newer = line.removeprefix(b"QUERY - ").partition(b" ")
        if word == b"STEPDOWN" and int(newer) > term:
            self.server.is_primary = False

    def _lacks(self, line: bytes, position: direct_world.Position) -> bool:
        """Returns whether the server lacks a minimum position."""
        fields = line.split(b" ", 4)
        if len(fields) < 4 or fields[2] != b"AFTER":
            return False
        term, number = fields[3].split(b".")
        return position < (int(term), int(number))


def cut(data: bytes, source: random.Random, count: int) -> list[bytes]:
    """Returns the pieces of bytes that are cut at random places."""
    places = sorted(source.randint(0, len(data)) for _ in range(count))
    pieces = []
    start = 0
    for end in (*places, len(data)):
        pieces.append(data[start:end])
        start = end
    return pieces
