"""What all stand-ins share: start, faults over HTTP, cuts by source."""

import asyncio
import collections
import json
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web


class Faults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults every stand-in can have.

    Attributes:
        cut_sources: Prefixes of IP addresses whose connections are dropped.
    """

    cut_sources: list[str] = []


class StandIn:
    """State of one stand-in process: its faults and its counts."""

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self.stats: collections.Counter[str] = collections.Counter()

    def app(self) -> web.Application:
        """Returns an application with the control routes."""
        app = web.Application(
            middlewares=[self._cut], client_max_size=64 * 1024 * 1024
        )
        app.router.add_get("/faults", self._show_faults)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/stats", self._show_stats)
        return app

    @web.middleware
    async def _cut(self, request: web.Request, handler: Any) -> Any:
        if request.path not in ("/faults", "/stats"):
            source = request.remote or ""
            if source.startswith(tuple(self.faults.cut_sources)):
                await drop(request)
        return await handler(request)

    async def _show_faults(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.faults),
            content_type="application/json",
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        changes = await request.json()
        merged = {**msgspec.to_builtins(self.faults), **changes}
        try:
            self.faults = msgspec.convert(merged, type(self.faults))
        except msgspec.ValidationError as error:
            return web.json_response({"error": str(error)}, status=400)
        return await self._show_faults(request)

    async def _show_stats(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.stats))


Forward = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, str], Awaitable[None]
]


def listening(
    routes: list[list[str]], forward: Forward
) -> Callable[[web.Application], AsyncIterator[None]]:
    """Returns what listens for as long as an application runs.

    Args:
        routes: Address to listen at, and target, of each.
        forward: Takes a connection and the target of its route.
    """

    def take(target: str) -> Callable[..., Awaitable[None]]:
        return lambda reader, writer: forward(reader, writer, target)

    async def listen(app: web.Application) -> AsyncIterator[None]:
        servers = [
            await asyncio.start_server(take(target), *address.rsplit(":", 1))
            for address, target in routes
        ]
        yield
        for server in servers:
            server.close()

    return listen


async def drop(request: web.Request) -> None:
    """Closes a request's connection without an answer."""
    if request.transport:
        request.transport.abort()
    raise asyncio.CancelledError


def run(app: web.Application, address: str) -> None:
    """Serves until the process is told to stop."""
    host, port = address.rsplit(":", 1)
    web.run_app(
        app,
        host=host,
        port=int(port),
        print=None,
        access_log=None,
        shutdown_timeout=0.2,
        handler_cancellation=True,
    )


def argument(position: int, default: str = "") -> str:
    """Returns a command-line argument."""
    return sys.argv[position] if len(sys.argv) > position else default


def json_argument(position: int) -> Any:
    """Returns a command-line argument that is JSON."""
    return json.loads(argument(position, "{}"))
