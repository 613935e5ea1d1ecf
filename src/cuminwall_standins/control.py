"""HTTP API for fault injection into a backend server.

GET /state returns the server's state. POST /NAME with a JSON object of
arguments injects or ends the fault NAME, for example POST /slow with
{"delay_s": 0.5}.
"""

import json
from typing import Any, Protocol

from aiohttp import web

from cuminwall_standins import engine, functions

FAULTS = (
    "freeze",
    "thaw",
    "slow",
    "hold_answers",
    "silence",
    "cut_clients",
    "cut_members",
    "mend",
    "lag",
    "set_members",
)


class Host(Protocol):
    """The server under control; its methods inject the faults."""

    data: engine.Engine
    sessions: dict


class Control:
    """The fault injection API of one server."""

    def __init__(self, host: Host):
        self.host = host
        self.runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Starts listening and returns the port."""
        application = web.Application()
        application.router.add_get("/state", self.get_state)
        application.router.add_post("/{name}", self.inject_fault)
        self.runner = web.AppRunner(application, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()
        return self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stops listening."""
        if self.runner:
            await self.runner.cleanup()

    async def get_state(self, _: web.Request) -> web.Response:
        """Returns the server's role, log position and connection count."""
        data = self.host.data
        state = {
            "primary": data.is_primary,
            "timeline": data.timeline,
            "lsn": functions.format_lsn(data.lsn),
            "connections": len(self.host.sessions),
            "table_statements": data.table_statements,
        }
        return web.json_response(state)

    async def inject_fault(self, request: web.Request) -> web.Response:
        """Calls the server's method for a fault."""
        name = request.match_info["name"]
        if name not in FAULTS:
            raise web.HTTPNotFound
        body = await request.text()
        try:
            arguments: dict[str, Any] = json.loads(body) if body else {}
            result = getattr(self.host, name)(**arguments)
        except (ValueError, TypeError) as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response({"result": result})
