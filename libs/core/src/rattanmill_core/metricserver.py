"""Serves ``/metrics`` over HTTP/1.1, by h11.

aiohttp is not used: a storage instance needs it for nothing else, and loading
it takes more than half the processor time of the rest of its start.
"""

import asyncio
import contextlib
from typing import Self

import h11

from rattanmill_core.events import warn_event
from rattanmill_core.listening import (
    ACCEPTED_AT_ONCE,
    ClosedConnections,
    lengthen_queue,
    open_listening,
)
from rattanmill_core.metrics import Metrics

METRICS_PORT = 9464
_PATH = b"/metrics"
# Over a usual request. All that was read is parsed before other tasks have a
# turn.
_READ_BYTES = 1024
_MAX_REQUEST_BYTES = 16 * 1024
_TOO_LARGE_STATUS = 413
# An operator reads them with one or two. The oldest one gives way to another.
_MAX_CONNECTIONS = 32
# Longer than the usual time between two reads of the metrics.
_IDLE_SECONDS = 75.0


class MetricsServer:
    """Serves a process's metrics in the Prometheus text format.

    An address that is in use is reported, and the process runs without it.

    Attributes:
        connections: Tasks that serve the open connections, oldest first.
        closed: Connections that gave way to others.

    Args:
        ip: IP address to listen at.
        metrics: The metrics.
        port: Port to listen at.
    """

    def __init__(
        self, ip: str, metrics: Metrics, port: int = METRICS_PORT
    ) -> None:
        self.ip = ip
        self.metrics = metrics
        self.port = port
        self.server: asyncio.Server | None = None
        self.connections: dict[asyncio.Task, None] = {}
        self.closed = ClosedConnections(_MAX_CONNECTIONS, metrics)

    async def __aenter__(self) -> Self:
        try:
            listening = open_listening(self.ip, self.port)
            self.server = await asyncio.start_server(
                self._accept,
                sock=listening,
                backlog=ACCEPTED_AT_ONCE,
                limit=_MAX_REQUEST_BYTES,
            )
            lengthen_queue(listening)
        except OSError as error:
            warn_event("metrics_not_served", why=str(error))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.server:
            self.server.close()
        for task in self.connections:
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self.connections) >= _MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.cancel()
            self.closed.record("too_many")
        task = asyncio.create_task(self._serve(reader, writer))
        self.connections[task] = None
        task.add_done_callback(self._on_end)

    def _on_end(self, task: asyncio.Task) -> None:
        self.connections.pop(task, None)
        error = None if task.cancelled() else task.exception()
        if error:
            task.get_loop().call_exception_handler(
                {"message": "metrics were not exposed", "exception": error}
            )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(h11.SERVER)
        with contextlib.closing(writer):
            try:
                while await self._respond(connection, reader, writer):
                    connection.start_next_cycle()
            except h11.RemoteProtocolError as error:
                _send(connection, writer, error.error_status_hint, b"")
            except (OSError, TimeoutError):
                pass

    async def _respond(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers one request; returns whether another one may follow."""
        async with asyncio.timeout(_IDLE_SECONDS):
            request = await _read_request(connection, reader)
            if request is None:
                return False
            status, body = await self._answer(request)
            _send(connection, writer, status, body, request.method == b"HEAD")
            await writer.drain()
        return connection.our_state is h11.DONE

    async def _answer(self, request: h11.Request) -> tuple[int, bytes]:
        if request.target.partition(b"?")[0] != _PATH:
            return 404, b""
        if request.method not in (b"GET", b"HEAD"):
            return 405, b""
        return 200, await self.metrics.read()


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> h11.Request | None:
    """Reads a whole request; returns None if the client has closed.

    Raises:
        h11.RemoteProtocolError: The request is not valid or too long.
    """
    request = None
    received_bytes = 0
    # Requests that have already arrived are read without waiting.
    await asyncio.sleep(0)
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(_READ_BYTES)
            received_bytes += len(data)
            if received_bytes > _MAX_REQUEST_BYTES:
                raise h11.RemoteProtocolError(
                    "request too long", error_status_hint=_TOO_LARGE_STATUS
                )
            connection.receive_data(data)
            await asyncio.sleep(0)
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request
        elif isinstance(event, h11.ConnectionClosed):
            return None


def _send(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes,
    is_head: bool = False,
) -> None:
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(body))),
    ]
    events = (
        h11.Response(status_code=status, headers=headers),
        h11.Data(data=b"" if is_head else body),
        h11.EndOfMessage(),
    )
    for event in events:
        writer.write(connection.send(event) or b"")
