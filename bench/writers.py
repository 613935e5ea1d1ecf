"""Writers through every daemon of a site, while its primary fails."""

import asyncio
import itertools

import psycopg

from bench import callers, sites
from cuminwall_standins import site

WRITE_PAUSE_S = 0.02
NEWCOMER_PAUSE_S = 0.1


class Load:
    """Writers through every daemon, which work until they are stopped.

    One writer keeps using each daemon. Newcomers connect to one daemon after
    the other and write once.

    Attributes:
      site: The site.
      table: The table that they write to.
      requests: The writes that have ended.
      newcomers: The writes of `requests` that newcomers made.
      stopping: Whether writers start no further writes.
    """

    def __init__(self, site_: site.Site, table: str):
        self.site = site_
        self.table = table
        self.requests: list[callers.Request] = []
        self.newcomers: list[callers.Request] = []
        self.stopping = False
        self.numbers = itertools.count(1)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts a writer for each daemon, and the newcomers."""
        for instance in list(self.site.daemons):
            self.add(instance)
        self.tasks.append(asyncio.create_task(self._send_newcomers()))

    def add(self, instance: str) -> None:
        """Starts a writer through a daemon."""
        self.tasks.append(asyncio.create_task(self._run_writer(instance)))

    async def stop(self) -> None:
        """Stops the writers and waits for their running writes."""
        self.stopping = True
        async with asyncio.timeout(sites.TIMEOUT_S):
            while self.tasks:
                await self.tasks.pop()

    def has_success_through_all(self, since: float) -> bool:
        """Returns whether a newcomer's write succeeded through each daemon.

        Only writes that were sent after `since` count.
        """
        done = set()
        for request in self.newcomers:
            if (
                request.outcome is callers.Outcome.DONE
                and request.began_at > since
            ):
                done.add(request.instance)
        return set(self.site.daemons) <= done

    async def _run_writer(self, instance: str) -> None:
        """Writes through a daemon as long as the site has it."""
        while not self.stopping and instance in self.site.daemons:
            try:
                connection = await callers.connect(
                    self.site, instance, sites.ACCOUNT
                )
            except (psycopg.Error, KeyError):
                await asyncio.sleep(callers.RECONNECT_PAUSE_S)
                continue
            async with connection:
                await self._write_until_closed(connection, instance)

    async def _send_newcomers(self) -> None:
        """Starts a newcomer every NEWCOMER_PAUSE_S."""
        while not self.stopping:
            for instance in list(self.site.daemons):
                task = asyncio.create_task(self._write_once(instance))
                self.tasks.append(task)
                await asyncio.sleep(NEWCOMER_PAUSE_S)

    async def _write_once(self, instance: str) -> None:
        """Connects, writes once and disconnects."""
        try:
            connection = await callers.connect(
                self.site, instance, sites.ACCOUNT
            )
        except (psycopg.Error, KeyError):
            return
        async with connection:
            request = await self._write(connection, instance)
        self.newcomers.append(request)

    async def _write_until_closed(
        self, connection: psycopg.AsyncConnection, instance: str
    ) -> None:
        """Writes on a connection until it is closed."""
        while not self.stopping and not connection.closed:
            await self._write(connection, instance)
            await asyncio.sleep(WRITE_PAUSE_S)

    async def _write(
        self, connection: psycopg.AsyncConnection, instance: str
    ) -> callers.Request:
        """Writes a new number and records the request."""
        number = next(self.numbers)
        statement = f"INSERT INTO {self.table} VALUES (%s)"
        request = await callers.run_one(
            connection, instance, number, statement, (number,)
        )
        self.requests.append(request)
        return request
