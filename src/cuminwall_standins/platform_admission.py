"""Applies faults and rate limits to calls on the platform and counts them."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from cuminwall_standins import (
    platform_accounting,
    platform_faults,
    platform_keys,
)

HTTP_STATUS = {
    platform_keys.INVALID_ARGUMENT: 400,
    platform_keys.NOT_FOUND: 404,
    platform_keys.UNIMPLEMENTED: 501,
}


class Admission:
    """Executes calls subject to faults and rate limits, and counts them.

    Attributes:
      pacers: The rate limit of each group that has one.
    """

    def __init__(
        self,
        faults: platform_faults.Faults,
        accounting: platform_accounting.Accounting,
        writes_per_s: float,
        reads_per_s: float,
        clock: Callable[[], float],
    ):
        self.faults = faults
        self.accounting = accounting
        self.pacers = {
            "writes": platform_accounting.Pacer(writes_per_s),
            "reads": platform_accounting.Pacer(reads_per_s),
        }
        self.clock = clock
        self.tasks: set[asyncio.Task] = set()

    async def stop(self) -> None:
        """Cancels the calls that are still running."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def serve(
        self,
        request: web.Request,
        group: str,
        kind: str,
        operation: Callable[[], Any],
    ) -> web.Response:
        """Runs `operation`, even if the caller disconnects meanwhile.

        So a call can take effect after its caller's timeout.
        """
        size = len(await request.read())
        self.accounting.add(group, kind, "calls")
        self.accounting.add(group, kind, "bytes_in", size)
        task = asyncio.create_task(self._run(request, group, operation))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        response = await asyncio.shield(task)
        size = response.content_length or 0
        self.accounting.add(group, kind, "bytes_out", size)
        return response

    async def admit(self, request: web.Request) -> bool:
        """Waits while calls hang; disconnects and returns False if refused."""
        if await self.faults.admit(request.headers.get("x-zone", "")):
            return True
        disconnect(request)
        return False

    async def _run(
        self, request: web.Request, group: str, operation: Callable[[], Any]
    ) -> web.Response:
        if not await self.admit(request):
            return web.Response()
        pacer = self.pacers.get(group)
        paced_s = pacer.delay_s(self.clock()) if pacer else 0.0
        if self.faults.slow_s + paced_s:
            await asyncio.sleep(self.faults.slow_s + paced_s)
        try:
            answer = operation()
        except platform_keys.RefusedError as error:
            refusal = {"error": str(error), "message": str(error)}
            return web.json_response(
                refusal | {"code": error.code}, status=HTTP_STATUS[error.code]
            )
        if group == "writes" and self.faults.consume_lost_answer():
            disconnect(request)
        return web.json_response(answer)


def disconnect(request: web.Request) -> None:
    """Closes the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()


async def read_object(request: web.Request) -> dict[str, Any]:
    """Returns the JSON object in a request's body."""
    try:
        body = await request.json()
    except ValueError as error:
        raise web.HTTPBadRequest from error
    if not isinstance(body, dict):
        raise web.HTTPBadRequest
    return body
