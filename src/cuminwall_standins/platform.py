"""A stand-in for the platform: key-value service, instance list, faults.

One process serves all of it over HTTP; docs/contributors/standin-platform.md
tells how to start it and which faults it shows.
"""

import asyncio
import json
import signal
import time
from collections.abc import Callable
from typing import Any

from absl import app, flags
from aiohttp import web

from cuminwall import ports
from cuminwall_standins import (
    platform_accounting,
    platform_admission,
    platform_faults,
    platform_gateway,
    platform_instances,
    platform_keys,
)

MAX_BODY_BYTES = 8 * 1024 * 1024
LEASE_CHECK_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 0.1
WATCH_PATH = "/v3/watch"

FLAGS = flags.FLAGS
if __name__ == "__main__":
    flags.DEFINE_integer("port", 0, "Port; 0 lets the system choose.")
    flags.DEFINE_float("list_lag_s", 2.0, "Lag of the instance list.")
    flags.DEFINE_float("record_ttl_s", 10.0, "Life of an instance record.")
    flags.DEFINE_float("writes_per_s", 0.0, "Write limit; 0 for none.")
    flags.DEFINE_float("reads_per_s", 0.0, "Read limit; 0 for none.")


class PlatformServer:
    """The stand-in inside a running event loop.

    Attributes:
      port: The port on 127.0.0.1, after `start`.
      keys: The key-value service's state.
      faults: The faults in force.
      accounting: The counts of calls and bytes.
      admission: What each call passes through.
    """

    def __init__(
        self,
        list_lag_s: float = 0.0,
        record_ttl_s: float = 10.0,
        writes_per_s: float = 0.0,
        reads_per_s: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.clock = clock
        self.port = 0
        self.signal = platform_faults.Signal()
        self.keys = platform_keys.KeyValues()
        self.keys.on_change = self.signal.notify
        self.faults = platform_faults.Faults(self.signal)
        self.accounting = platform_accounting.Accounting(clock())
        self.instances = platform_instances.LaggingList(
            list_lag_s, record_ttl_s
        )
        self.admission = platform_admission.Admission(
            self.faults, self.accounting, writes_per_s, reads_per_s, clock
        )

    async def start(self, port: int = 0) -> None:
        """Starts to serve on 127.0.0.1."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        routes = application.router
        routes.add_post(WATCH_PATH, self._watch)
        routes.add_post("/v3/{call:.+}", self._call)
        routes.add_get("/instances", self._list)
        routes.add_put("/instances/{instance}", self._announce)
        routes.add_delete("/instances/{instance}", self._withdraw)
        routes.add_get("/accounting", self._report)
        routes.add_post("/accounting/mark", self._mark)
        routes.add_post("/faults", self._apply_faults)
        self.runner = web.AppRunner(
            application,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        self.port = self.runner.addresses[0][1]
        self.expiry = asyncio.create_task(self._expire_leases())

    async def stop(self) -> None:
        """Ends all connections and what is still being carried out."""
        self.expiry.cancel()
        await asyncio.gather(self.expiry, return_exceptions=True)
        await self.admission.stop()
        await self.runner.cleanup()

    def apply_faults(self, document: platform_faults.FaultsDocument) -> None:
        """Puts faults in force, as POST /faults does; ValueError for none."""
        lapsing: set[int] = set()
        for text in document.get("lapse_leases", []):
            lapsing.update(self.keys.leases if text == "*" else [int(text)])
        self.faults.apply(document)
        for lease_id in lapsing & self.keys.leases.keys():
            self.keys.revoke(lease_id)

    async def _expire_leases(self) -> None:
        while True:
            self.keys.expire(self.clock())
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)

    async def _call(self, request: web.Request) -> web.Response:
        path = request.path
        if path not in platform_gateway.CALLS:
            raise web.HTTPNotFound
        body = await platform_admission.read_object(request)
        try:
            group = platform_gateway.call_group(path, body)
        except TypeError as error:
            raise web.HTTPBadRequest from error

        def work() -> dict[str, Any]:
            now = self.clock()
            self.keys.expire(now)
            return platform_gateway.handle_call(self.keys, path, body, now)

        return await self.admission.serve(request, group, path, work)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        body = await platform_admission.read_object(request)
        self.accounting.add("watches", WATCH_PATH, "calls")
        if not await self.admission.admit(request):
            return web.Response()
        try:
            watch = platform_gateway.Watch(self.keys, body)
        except (KeyError, TypeError, ValueError) as error:
            raise web.HTTPBadRequest from error
        response = web.StreamResponse()
        response.content_type = "application/json"
        self.accounting.waiting_watches += 1
        try:
            await response.prepare(request)
            await self._send_events(request, response, watch)
        except ConnectionError:
            # The watcher has left.
            return response
        finally:
            self.accounting.waiting_watches -= 1
        return response

    async def _send_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        watch: platform_gateway.Watch,
    ) -> None:
        result: dict[str, Any] = {"created": True}
        while True:
            result["header"] = platform_gateway.header(self.keys)
            line = json.dumps({"result": result}).encode() + b"\n"
            self.accounting.add("watches", WATCH_PATH, "bytes_out", len(line))
            await response.write(line)
            result = {}
            while not result:
                changed = self.signal.changed
                if not await self.admission.admit(request):
                    return
                events = watch.next_events()
                if events:
                    result = {"events": events}
                    continue
                await changed.wait()

    async def _list(self, request: web.Request) -> web.Response:
        def work() -> list[dict[str, Any]]:
            shown = self.instances.visible_records(self.clock())
            return [record._asdict() for record in shown]

        return await self.admission.serve(
            request, "reads", "list_instances", work
        )

    async def _announce(self, request: web.Request) -> web.Response:
        try:
            record = ports.InstanceRecord(
                **await platform_admission.read_object(request)
            )
        except TypeError as error:
            raise web.HTTPBadRequest from error

        def work() -> dict[str, Any]:
            self.instances.announce(record, self.clock())
            return {}

        return await self.admission.serve(request, "writes", "announce", work)

    async def _withdraw(self, request: web.Request) -> web.Response:
        def work() -> dict[str, Any]:
            instance = request.match_info["instance"]
            self.instances.withdraw(instance, self.clock())
            return {}

        return await self.admission.serve(request, "writes", "withdraw", work)

    async def _report(self, request: web.Request) -> web.Response:
        return web.json_response(self.accounting.report(self.clock()))

    async def _mark(self, request: web.Request) -> web.Response:
        self.accounting.mark(self.clock())
        return web.json_response({})

    async def _apply_faults(self, request: web.Request) -> web.Response:
        document = await platform_admission.read_object(request)
        unknown = (
            document.keys() - platform_faults.FaultsDocument.__annotations__
        )
        if unknown:
            raise web.HTTPBadRequest(text=f"unknown: {sorted(unknown)}")
        try:
            self.apply_faults(document)  # type: ignore[arg-type]
        except (TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response({})


async def _serve_until_told(server: PlatformServer, port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await server.start(port)
    print(json.dumps({"port": server.port}), flush=True)
    await stop.wait()
    await server.stop()


def main(argv: list[str]) -> None:
    """Serves until SIGTERM or SIGINT."""
    server = PlatformServer(
        FLAGS.list_lag_s,
        FLAGS.record_ttl_s,
        FLAGS.writes_per_s,
        FLAGS.reads_per_s,
    )
    asyncio.run(_serve_until_told(server, FLAGS.port))


if __name__ == "__main__":
    app.run(main)
