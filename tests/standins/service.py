"""Stand-in for a plain service; counts how often each key ran.

Usage: python -m standins.service ADDRESS
"""

import asyncio
import collections
import os
import socket
import struct

from aiohttp import web

from standins.common import Faults, StandIn, argument, drop, run

_CRASH_EXIT = 17
_RESET_PAUSE_SECONDS = 0.05
_NO_LINGER = struct.pack("ii", 1, 0)


class ServiceFaults(Faults, kw_only=True):
    """Faults of the service.

    Attributes:
        slow_seconds: Time each call takes.
        hang: Whether calls never end.
        lose_answers: So many further calls run and lose their answer.
        reset_answers: So many further answers have no length, and their
            connection is reset within the body.
        refuse_before: So many further connections are dropped before running.
        fail_status: Status to answer with, after running; 0: none.
        fencing: Whether calls with an old fencing number are refused.
        redirect_to: URL that calls are redirected to after running.
        crash_marker: The process dies when a body contains this text.
    """

    slow_seconds: float = 0.0
    hang: bool = False
    lose_answers: int = 0
    reset_answers: int = 0
    refuse_before: int = 0
    fail_status: int = 0
    fencing: bool = False
    redirect_to: str = ""
    crash_marker: str = ""


class Service(StandIn):
    """Runs calls; ``GET /runs`` tells how often each key ran."""

    def __init__(self) -> None:
        super().__init__(ServiceFaults())
        self.runs: collections.Counter[str] = collections.Counter()
        self.highest: dict[str, int] = {}

    def app(self) -> web.Application:
        app = super().app()
        app.router.add_get("/runs", self.show_runs)
        app.router.add_route("*", "/{path:.*}", self.call)
        return app

    async def show_runs(self, request: web.Request) -> web.Response:
        """Answers with the number of runs by idempotency key."""
        return web.json_response(dict(self.runs))

    async def call(self, request: web.Request) -> web.Response:
        """Runs one call."""
        faults = self.faults
        if faults.refuse_before:
            faults.refuse_before -= 1
            await drop(request)
        body = await request.read()
        if faults.crash_marker and faults.crash_marker.encode() in body:
            os._exit(_CRASH_EXIT)
        key = request.headers.get("Idempotency-Key", "")
        if self._is_stale(request):
            self.stats["fenced"] += 1
            return web.json_response({"error": "old fencing"}, status=412)
        self.runs[key] += 1
        self.stats["calls"] += 1
        if faults.hang:
            await asyncio.sleep(3600)
        await asyncio.sleep(faults.slow_seconds)
        if faults.lose_answers:
            faults.lose_answers -= 1
            await drop(request)
        if faults.reset_answers:
            faults.reset_answers -= 1
            await _reset_within_body(request)
        if faults.redirect_to:
            return web.Response(
                status=307, headers={"Location": faults.redirect_to}
            )
        answer = {
            "path": request.path,
            "method": request.method,
            "body": body.decode(errors="replace"),
            "run": self.runs[key],
        }
        return web.json_response(answer, status=faults.fail_status or 200)

    def _is_stale(self, request: web.Request) -> bool:
        fence = request.headers.get("Rattanmill-Fence", "")
        if not self.faults.fencing or ":" not in fence:
            return False
        scope, number = fence.rsplit(":", 1)
        highest = max(self.highest.get(scope, 0), int(number))
        self.highest[scope] = highest
        return int(number) < highest


async def _reset_within_body(request: web.Request) -> None:
    transport = request.transport
    transport.write(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b'Connection: close\r\n\r\n{"path": "/depo'
    )
    await asyncio.sleep(_RESET_PAUSE_SECONDS)
    lingering = transport.get_extra_info("socket")
    lingering.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    await drop(request)


if __name__ == "__main__":
    run(Service().app(), argument(1))
