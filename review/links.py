"""Links of one failure domain to the others, with cuts that reset.

While a target is cut off, its open connections are reset, and so are new ones.

Usage: python3 links.py CONTROL-ADDRESS SOURCE-IP LISTEN=TARGET ...

A line of text to the control address names what the addresses of the targets
begin with that are cut off from then on; an empty one ends the cut. It is sent
back once that is done.
"""

import asyncio
import socket
import struct
import sys

_READ_BYTES = 65536


class Links:
    """Forwards connections to targets.

    Attributes:
        cut: Beginning of the addresses that are cut off, or empty.
        open: Target and both ends of each open connection.

    Args:
        source: IP address that targets see.
    """

    def __init__(self, source: str) -> None:
        self.source = source
        self.cut = ""
        self.open: set[tuple[str, asyncio.StreamWriter]] = set()

    async def take(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: str,
    ) -> None:
        """Forwards one connection."""
        if self._is_cut(target):
            _reset(writer)
            return
        host, _, port = target.rpartition(":")
        try:
            there, back = await asyncio.open_connection(
                host, int(port), local_addr=(self.source, 0)
            )
        except OSError:
            _reset(writer)
            return
        ends = {(target, writer), (target, back)}
        self.open |= ends
        if self._is_cut(target):
            self._reset_all()
        pumps = {
            asyncio.create_task(_pump(reader, back)),
            asyncio.create_task(_pump(there, writer)),
        }
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            self.open -= ends
            writer.close()
            back.close()

    async def control(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the control address."""
        line = await reader.readline()
        self.cut = line.decode().strip()
        self._reset_all()
        writer.write(line)
        writer.close()

    def _is_cut(self, target: str) -> bool:
        return bool(self.cut) and target.startswith(self.cut)

    def _reset_all(self) -> None:
        for target, writer in list(self.open):
            if self._is_cut(target):
                _reset(writer)


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while data := await reader.read(_READ_BYTES):
            writer.write(data)
            await writer.drain()
    except OSError:
        return


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    if not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _run(control: str, source: str, routes: list[str]) -> None:
    links = Links(source)
    host, _, port = control.rpartition(":")
    await asyncio.start_server(links.control, host, int(port))
    for route in routes:
        address, _, target = route.partition("=")
        host, _, port = address.rpartition(":")
        await asyncio.start_server(
            lambda reader, writer, to=target: links.take(reader, writer, to),
            host,
            int(port),
        )
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_run(sys.argv[1], sys.argv[2], sys.argv[3:]))
