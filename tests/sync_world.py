"""A simulation whose servers acknowledge a commit once a replica has it."""

from collections.abc import Callable

from cuminwall.direct import answers
from tests import direct_world

NEVER_S = float("inf")


class LoggingServer(direct_world.FakeServer):
    """A server whose log holds just what it has received.

    Attributes:
      is_deaf: Whether it receives nothing for now.
      missed: The commits that it receives once it does again.
    """

    def __init__(self, name: str, zone: str = "z1"):
        super().__init__(name, zone)
        self.is_deaf = False
        self.missed: list[tuple[str, int]] = []

    def position(self, now: float) -> answers.Position:
        """Returns the end of its log."""
        return answers.Position(self.term, len(self.received(now)))

    def received(self, now: float) -> list[str]:
        """Returns the commits that it has received."""
        return [request for at, request, _ in self.log if at <= now]


class World(direct_world.World):
    """Instances and servers of a service that wants its commits replicated.

    Attributes:
      logs: The log of each server at its promotion, in their order.
      acknowledged: Returns the commits that were acknowledged so far.
      lost: Which of them each promotion has lost.
    """

    def __init__(
        self,
        names: tuple[str, ...],
        servers: tuple[LoggingServer, ...],
        sync_replicas: int = 1,
    ):
        config = direct_world.make_catalog()
        service = config.services["s"]._replace(sync_replicas=sync_replicas)
        config = config._replace(services={"s": service})
        self.logs: list[list[str]] = []
        self.acknowledged: Callable[[], set[str]] = set
        self.lost: list[set[str]] = []
        self.sync_replicas = sync_replicas
        self.replicas = servers
        super().__init__(names, servers, config=config)

    def crash(self, server: LoggingServer) -> None:
        """Ends a server; what it has not sent to its replicas is lost."""
        server.is_unreachable = True
        for replica in self.replicas:
            replica.missed.clear()
            if replica is server:
                continue
            replica.log = [each for each in replica.log if each[0] <= self.now]

    def deafen(self, server: LoggingServer, for_s: float) -> None:
        """Lets a server receive nothing for a while."""
        server.is_deaf = True
        self.schedule(for_s, lambda: self._hear(server))

    def record_commit(
        self, server: direct_world.FakeServer, requests: list[str]
    ) -> None:
        for request in requests:
            server.log.append((self.now, request, server.term))
            for replica in self.replicas:
                if replica is server:
                    continue
                is_away = replica.is_deaf or replica.is_unreachable
                if is_away or replica.held_term:
                    replica.missed.append((request, server.term))
                    continue
                self._catch_up(replica)
                received_at = self.now + replica.lag_s
                replica.log.append((received_at, request, server.term))

    def acknowledge(
        self, server: direct_world.FakeServer, deliver: Callable[[], None]
    ) -> None:
        if not self.sync_replicas:
            super().acknowledge(server, deliver)
            return
        lags = [NEVER_S]
        for replica in self.replicas:
            is_listening = not (
                replica.is_unreachable or replica.is_deaf or replica.held_term
            )
            if replica is not server and is_listening:
                lags.append(replica.lag_s)
        if min(lags) == NEVER_S:
            return

        term = server.term

        def received() -> None:
            # One that has lost the lead meanwhile acknowledges nothing.
            is_leading = server.is_primary and server.term == term
            if is_leading and not server.is_unreachable:
                self.schedule(direct_world.LINK_S, deliver)

        self.schedule(min(lags), received)

    def lead(self, chosen: direct_world.FakeServer) -> None:
        assert isinstance(chosen, LoggingServer)
        kept = chosen.received(self.now)
        self.logs.append(kept)
        self.lost.append(self.acknowledged() - set(kept))
        term = 1 + max(each.term for each in self.replicas)
        log = [(self.now, request, term) for request in kept]
        for server in self.replicas:
            server.missed.clear()
            if server.is_deaf and server is not chosen:
                self._cut_log(server, kept, term)
                continue
            server.log = list(log)
            server.term = term

    def _cut_log(
        self, server: LoggingServer, kept: list[str], term: int
    ) -> None:
        """Removes what a new primary lacks; the rest is received later."""
        own = server.received(self.now)
        count = 0
        while count < min(len(own), len(kept)) and own[count] == kept[count]:
            count += 1
        del server.log[count:]
        server.missed = [(request, term) for request in kept[count:]]

    def _hear(self, server: LoggingServer) -> None:
        """Lets a server receive what it missed, if a primary still has it."""
        server.is_deaf = False
        self._catch_up(server)

    def _catch_up(self, server: LoggingServer) -> None:
        """Lets a server receive what it missed, unless it is held."""
        if server.held_term:
            return
        for request, term in server.missed:
            server.log.append((self.now, request, term))
            server.term = term
        server.missed.clear()
