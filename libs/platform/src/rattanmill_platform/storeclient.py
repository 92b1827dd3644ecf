"""HTTP/1.1 client for the platform store, based on h11.

aiohttp is not used: a storage instance needs it for nothing else, and loading
it takes more than half the processor time of the rest of its start.
"""

import asyncio
import itertools
import socket
import urllib.parse
from collections.abc import AsyncIterator
from typing import Self

import h11

from rattanmill_platform.calls import (
    CONNECT_TIMEOUT_SECONDS,
    REVISION_HEADER,
    Reply,
    Request,
    Unavailable,
)
from rattanmill_platform.sockets import create_tcp_socket

_MAX_HEAD_BYTES = 64 * 1024
# Shorter than the time after which servers usually close idle connections.
_MAX_IDLE_SECONDS = 15.0
# Methods that may be sent a second time.
_IDEMPOTENT_METHODS = frozenset(("GET", "PUT", "DELETE"))


class _Protocol(asyncio.Protocol):
    """Buffers what one connection receives.

    Attributes:
        received: Bytes that were not read yet.
        error: Why the connection was lost, if it was not closed by the store.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.eof = False
        self.error: Exception | None = None
        self.arrived = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data
        self.arrived.set()

    def eof_received(self) -> bool:
        self.eof = True
        self.arrived.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.eof = True
        self.error = exc
        self.arrived.set()

    async def read(self) -> bytes:
        """Returns what has arrived; empty if the store closed the connection.

        Raises:
            OSError: The connection was lost.
        """
        while not self.received and not self.eof:
            self.arrived.clear()
            await self.arrived.wait()
        if not self.received and self.error:
            raise self.error
        data = bytes(self.received)
        self.received.clear()
        return data


class _Connection:
    """One connection to the store, used for one call at a time.

    Attributes:
        idle_since: Loop time of the end of the last call.
    """

    def __init__(self, protocol: _Protocol) -> None:
        self.protocol = protocol
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self.idle_since = 0.0

    def is_reusable(self, now: float) -> bool:
        """Whether an idle connection can be used for another call.

        Data that arrived without a call would be taken for its response.
        """
        is_expired = now > self.idle_since + _MAX_IDLE_SECONDS
        return not (is_expired or self.protocol.eof or self.protocol.received)

    def is_complete(self) -> bool:
        """Whether the call has ended and nothing follows its response."""
        states = (self.http.our_state, self.http.their_state)
        spare, _ = self.http.trailing_data
        return states == (h11.DONE, h11.DONE) and not spare

    def close(self) -> None:
        """Closes the connection at once."""
        self.protocol.transport.abort()

    async def call(self, host: str, request: Request) -> Reply:
        """Sends a call and reads its response.

        Raises:
            OSError: The connection broke.
            h11.RemoteProtocolError: The response is not valid.
        """
        self._write(host, request)
        response = await self._read_head()
        body = b"".join([part async for part in self._read_body()])
        revision = dict(response.headers).get(REVISION_HEADER.lower().encode())
        return Reply(response.status_code, body, int(revision or 0))

    def _write(self, host: str, request: Request) -> None:
        body = request.body or b""
        headers = {"Host": host, **request.headers}
        if request.body is not None:
            headers["Content-Length"] = str(len(body))
        head = h11.Request(
            method=request.method,
            target=request.path,
            headers=list(headers.items()),
        )
        events = (head, h11.Data(data=body), h11.EndOfMessage())
        parts = [self.http.send(event) or b"" for event in events]
        self.protocol.transport.write(b"".join(parts))

    async def _read_head(self) -> h11.Response:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event

    async def _read_body(self) -> AsyncIterator[bytes]:
        while isinstance(event := await self._next_event(), h11.Data):
            yield bytes(event.data)

    async def _next_event(self) -> h11.Event:
        while (event := self.http.next_event()) is h11.NEED_DATA:
            data = await self.protocol.read()
            if not data and self.http.their_state is h11.SEND_RESPONSE:
                raise ConnectionResetError("store disconnected")
            self.http.receive_data(data)
        return event


class StoreClient:
    """Sends HTTP requests to the platform store over reused connections.

    ``StoreCalls`` adds the circuit breaker and the metrics.

    Attributes:
        idle: Connections without a call, by host.

    Args:
        ip: IP address that connections are made from.
    """

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.idle: dict[str, list[_Connection]] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for connection in itertools.chain(*self.idle.values()):
            connection.close()

    async def send(self, request: Request) -> Reply | Unavailable:
        """Sends a call and returns its response."""
        host = urllib.parse.urlsplit(request.base).netloc
        try:
            async with asyncio.timeout(request.timeout):
                return await self._call(host, request)
        except (OSError, ValueError, h11.RemoteProtocolError) as error:
            return Unavailable(str(error) or "time-out")

    async def _call(self, host: str, request: Request) -> Reply:
        """Calls once; again if the connection broke and this is harmless.

        The store may close an idle connection at any time.
        """
        connection = self._take_idle(host) or await self._connect(host)
        try:
            return await self._call_on(connection, host, request)
        except ConnectionError:
            if request.method not in _IDEMPOTENT_METHODS:
                raise
        return await self._call_on(await self._connect(host), host, request)

    async def _call_on(
        self, connection: _Connection, host: str, request: Request
    ) -> Reply:
        """Calls on a connection, which is kept after a whole response."""
        try:
            reply = await connection.call(host, request)
        except BaseException:
            connection.close()
            raise
        self._keep(host, connection)
        return reply

    async def _connect(self, host: str) -> _Connection:
        loop = asyncio.get_running_loop()
        ip, _, port = host.rpartition(":")
        sock = create_tcp_socket((socket.AF_INET, socket.SOCK_STREAM, 0))
        try:
            sock.bind((self.ip, 0))
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.sock_connect(sock, (ip, int(port)))
            _, protocol = await loop.create_connection(_Protocol, sock=sock)
        except BaseException:
            sock.close()
            raise
        return _Connection(protocol)

    def _take_idle(self, host: str) -> _Connection | None:
        self._close_unusable()
        connections = self.idle.get(host)
        return connections.pop() if connections else None

    def _keep(self, host: str, connection: _Connection) -> None:
        if not connection.is_complete():
            connection.close()
            return
        connection.http.start_next_cycle()
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.setdefault(host, []).append(connection)

    def _close_unusable(self) -> None:
        now = asyncio.get_running_loop().time()
        for host, connections in self.idle.items():
            usable = [c for c in connections if c.is_reusable(now)]
            for connection in connections:
                if connection not in usable:
                    connection.close()
            self.idle[host] = usable
