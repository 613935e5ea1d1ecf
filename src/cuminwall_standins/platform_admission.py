"""What every call on the stand-in platform passes: faults, rates, counts."""

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
    """Carries out calls as the faults and rates allow, and counts them.

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
        """Ends the calls that are still being carried out."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def serve(
        self,
        request: web.Request,
        group: str,
        kind: str,
        work: Callable[[], Any],
    ) -> web.Response:
        """Carries out `work` even if the caller gives up meanwhile.

        That is how a call takes effect after its caller's timeout.
        """
        size = len(await request.read())
        self.accounting.add(group, kind, "calls")
        self.accounting.add(group, kind, "bytes_in", size)
        task = asyncio.create_task(self._carry_out(request, group, work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        response = await asyncio.shield(task)
        size = response.content_length or 0
        self.accounting.add(group, kind, "bytes_out", size)
        return response

    async def admit(self, request: web.Request) -> bool:
        """Waits out a hang; cuts the caller off and returns False if told."""
        if await self.faults.admit(request.headers.get("x-zone", "")):
            return True
        cut(request)
        return False

    async def _carry_out(
        self, request: web.Request, group: str, work: Callable[[], Any]
    ) -> web.Response:
        if not await self.admit(request):
            return web.Response()
        pacer = self.pacers.get(group)
        paced_s = pacer.delay_s(self.clock()) if pacer else 0.0
        if self.faults.slow_s + paced_s:
            await asyncio.sleep(self.faults.slow_s + paced_s)
        try:
            answer = work()
        except platform_keys.RefusedError as error:
            refusal = {"error": str(error), "message": str(error)}
            return web.json_response(
                refusal | {"code": error.code}, status=HTTP_STATUS[error.code]
            )
        if group == "writes" and self.faults.consume_lost_answer():
            cut(request)
        return web.json_response(answer)


def cut(request: web.Request) -> None:
    """Ends the connection without an answer."""
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
