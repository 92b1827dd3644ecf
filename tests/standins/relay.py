"""TCP relay whose connections can be cut by the address they come from.

Usage: python -m standins.relay CONTROL-ADDRESS LISTEN=TARGET ...
"""

import asyncio
import contextlib
import sys

from aiohttp import web

from standins.common import Faults, StandIn, argument, listening, run

_READ_BYTES = 65536
_POLL_SECONDS = 0.02


class Relay(StandIn):
    """Relays bytes; a cut source's connections are closed and refused."""

    def __init__(self, routes: list[str]) -> None:
        super().__init__(Faults())
        self.routes = [route.split("=") for route in routes]

    def app(self) -> web.Application:
        app = super().app()
        app.cleanup_ctx.append(listening(self.routes, self._relay))
        return app

    def _is_cut(self, source: str) -> bool:
        return source.startswith(tuple(self.faults.cut_sources))

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: str,
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        with contextlib.closing(writer):
            if self._is_cut(source):
                return
            host, port = target.rsplit(":", 1)
            try:
                there, back = await asyncio.open_connection(host, int(port))
            except OSError:
                return
            with contextlib.closing(back):
                tasks = [
                    asyncio.create_task(_pump(reader, back)),
                    asyncio.create_task(_pump(there, writer)),
                    asyncio.create_task(self._until_cut(source)),
                ]
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in tasks:
                    task.cancel()

    async def _until_cut(self, source: str) -> None:
        while not self._is_cut(source):
            await asyncio.sleep(_POLL_SECONDS)


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(_READ_BYTES):
            writer.write(data)
            await writer.drain()


if __name__ == "__main__":
    run(Relay(sys.argv[2:]).app(), argument(1))
