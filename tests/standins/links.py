"""Links of one failure domain to others, on loopback, with faults.

Each route listens at an address of this domain's view and forwards to the
real one, so a fault of a link harms one direction between two domains and
nothing else.

Usage: python -m standins.links CONTROL-ADDRESS SOURCE-IP LISTEN=TARGET ...
"""

import asyncio
import contextlib
import socket
import struct
import sys

import msgspec
from aiohttp import web

from standins.common import Faults, StandIn, argument, listening, run

_READ_BYTES = 65536
_POLL_SECONDS = 0.02


class LinkFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is wrong with the way to some targets.

    Attributes:
        to: Targets whose address begins so.
        forth: Whether bytes to the target are held back.
        back: Whether bytes from it are.
        delay_seconds: Added to each piece of bytes, both ways.
    """

    to: str
    forth: bool = False
    back: bool = False
    delay_seconds: float = 0.0


class LinksFaults(Faults, kw_only=True):
    """Faults of the links of a failure domain."""

    links: list[LinkFault] = msgspec.field(default_factory=list)


class Links(StandIn):
    """Forwards connections; bytes that are held back go on after a fault.

    Args:
        source: IP address that targets see.
        routes: ``LISTEN=TARGET``.
    """

    def __init__(self, source: str, routes: list[str]) -> None:
        super().__init__(LinksFaults())
        self.source = source
        self.routes = [route.split("=") for route in routes]
        self.open: set[tuple[str, asyncio.StreamWriter]] = set()

    def app(self) -> web.Application:
        app = super().app()
        app.router.add_post("/reset", self._reset)
        app.cleanup_ctx.append(listening(self.routes, self._take))
        return app

    async def _take(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: str,
    ) -> None:
        self.open.add((target, writer))
        try:
            await self._forward(reader, writer, target)
        finally:
            self.open.discard((target, writer))
            writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: str,
    ) -> None:
        await self._pass(target, "forth")
        host, port = target.rsplit(":", 1)
        try:
            there, back = await asyncio.open_connection(
                host, int(port), local_addr=(self.source, 0)
            )
        except OSError:
            _abort(writer)
            return
        self.open.add((target, back))
        pumps = [
            asyncio.create_task(self._pump(reader, back, target, "forth")),
            asyncio.create_task(self._pump(there, writer, target, "back")),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            await self._pass(target, "back")
        finally:
            self.open.discard((target, back))
            for pump in pumps:
                pump.cancel()
            back.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: str,
        way: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await self._pass(target, way)
                writer.write(data)
                await writer.drain()
        # Both ends see a break as soon as the way lets them.
        await self._pass(target, way)

    async def _pass(self, target: str, way: str) -> None:
        """Returns once the link lets bytes through."""
        faults = self._faults_to(target)
        await asyncio.sleep(sum(fault.delay_seconds for fault in faults))
        while any(getattr(f, way) for f in self._faults_to(target)):
            await asyncio.sleep(_POLL_SECONDS)

    def _faults_to(self, target: str) -> list[LinkFault]:
        return [f for f in self.faults.links if target.startswith(f.to)]

    async def _reset(self, request: web.Request) -> web.Response:
        """Resets open connections to targets that begin with ``to``."""
        to = (await request.json())["to"]
        for target, writer in list(self.open):
            if target.startswith(to):
                _abort(writer)
        return web.json_response({})


def _abort(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


if __name__ == "__main__":
    run(Links(argument(2), sys.argv[3:]).app(), argument(1))
