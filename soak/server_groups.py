"""All backend servers, and which of them lead."""

import asyncio

from soak import records
from soak.servers import Server

PROMOTE_S = 0.6


class Fleet:
    """All backend servers.

    Attributes:
      by_name: The servers.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Server] = {}
        self.promotions: list[str] = []

    def add(self, server: Server) -> None:
        """Adds a server; servers of a service know each other."""
        self.by_name[server.name] = server
        group = self.find_group(server.service)
        for each in group:
            each.peers = group

    def find_group(self, service: str) -> list[Server]:
        """Returns the servers of a service."""
        group = []
        for each in self.by_name.values():
            if each.service == service:
                group.append(each)
        return group

    def find_primary(self, service: str) -> Server | None:
        """Returns the running primary of a service, or None."""
        for each in self.find_group(service):
            if each.role == records.PRIMARY and not each.is_down:
                return each
        return None

    def promote(self, service: str, name: str) -> bool:
        """Promotes a server after a while; returns whether it runs."""
        chosen = self.by_name.get(name)
        if chosen is None or chosen.service != service or chosen.is_down:
            return False
        if chosen.role == records.PRIMARY:
            return True
        self.promotions.append(name)
        loop = asyncio.get_running_loop()
        loop.call_later(PROMOTE_S, self._lead, chosen)
        return True

    def _lead(self, chosen: Server) -> None:
        """Makes a server the primary of the next term, unless it is down."""
        if chosen.is_down:
            return
        term = 1 + max(each.position.term for each in chosen.peers)
        for each in chosen.peers:
            if each.role == records.PRIMARY:
                each.role = records.REPLICA
                each.register()
        chosen.role = records.PRIMARY
        chosen.records.drop_after(chosen.service, chosen.position)
        chosen.position = records.Position(term, chosen.position.number)
        chosen.register()
