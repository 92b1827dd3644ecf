"""HTTP/1.1 client for the platform store, based on h11.

aiohttp is not used: a storage instance needs it for nothing else, and loading
it takes more than half the processor time of the rest of its start.
"""

import asyncio
import itertools
import socket
import urllib.parse
from typing import Self

import h11

from rattanmill_platform.calls import (
    CONNECT_TIMEOUT_SECONDS,
    REVISION_HEADER,
    Excess,
    Reply,
    Request,
    Unavailable,
)
from rattanmill_platform.sockets import create_tcp_socket

MAX_REPLY_BYTES = 16 * 1024 * 1024
_MAX_HEAD_BYTES = 64 * 1024
# Heads, chunk sizes and trailers of one response, beyond a byte for each byte
# of its body.
_MAX_FRAMING_BYTES = 64 * 1024
# What h11 suggests if a head, a chunk's size or a trailer has no end.
_HEADERS_TOO_LARGE = 431
_READ_BYTES = 16 * 1024
_MAX_UNREAD_BYTES = 64 * 1024
# Parsed in a row before other tasks get a turn: about a millisecond.
_EVENTS_PER_TURN = 32
# Shorter than the time after which servers usually close idle connections.
_MAX_IDLE_SECONDS = 15.0
# Methods that may be sent a second time.
_IDEMPOTENT_METHODS = frozenset(("GET", "PUT", "DELETE"))


class _OversizedError(Exception):
    """A response is longer than any that the store may send."""

    def __init__(self, excess: Excess, max_bytes: int) -> None:
        super().__init__(f"response exceeds {max_bytes} bytes of {excess}")
        self.excess = excess


class _Protocol(asyncio.Protocol):
    """Buffers what one connection receives, up to a bound.

    Attributes:
        received: Bytes that were not read yet.
        is_paused: Whether the socket is not read until these are.
        error: Why the connection was lost, if it was not closed by the store.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.is_paused = False
        self.eof = False
        self.error: Exception | None = None
        self.arrived = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data
        if len(self.received) >= _MAX_UNREAD_BYTES and not self.is_paused:
            self.is_paused = True
            self.transport.pause_reading()
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
        """Returns the next bytes; empty if the store closed the connection.

        Raises:
            OSError: The connection was lost.
        """
        while not self.received and not self.eof:
            self.arrived.clear()
            await self.arrived.wait()
        if not self.received and self.error:
            raise self.error
        data = bytes(self.received[:_READ_BYTES])
        del self.received[:_READ_BYTES]
        if self.is_paused and not self.received:
            self.is_paused = False
            self.transport.resume_reading()
        return data


class _Response:
    """Size of the response to one call, and the bounds of its parts.

    Attributes:
        max_bytes: Maximum size of the body.
        read_bytes: Bytes that were read, framing included.
        body: The body read so far.
        events: Events parsed so far.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.read_bytes = 0
        self.body = bytearray()
        self.events = 0

    def announce(self, head: h11.Response) -> None:
        """Checks the announced size of the body."""
        length = dict(head.headers).get(b"content-length", b"0")
        self._check_body(int(length))

    def add_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        self._check_body(len(self.body) + len(data))
        self.body += data

    def check_framing(self) -> None:
        """Checks what is no body, once all that was read has been parsed."""
        framing_bytes = self.read_bytes - len(self.body)
        max_bytes = _MAX_FRAMING_BYTES + len(self.body)
        if framing_bytes > max_bytes:
            raise _OversizedError(Excess.FRAMING, max_bytes)

    def _check_body(self, size: int) -> None:
        if size > self.max_bytes:
            raise _OversizedError(Excess.BODY, self.max_bytes)


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

    async def call(self, host: str, request: Request, max_bytes: int) -> Reply:
        """Sends a call and reads its response.

        Args:
            host: ``IP:PORT`` of the store.
            request: The call.
            max_bytes: Maximum size of the response's body.

        Raises:
            OSError: The connection broke.
            h11.RemoteProtocolError: The response is not valid.
            _OversizedError: The response is too long.
        """
        self._write(host, request)
        response = _Response(max_bytes)
        head = await self._read_head(response)
        response.announce(head)
        await self._read_body(response)
        revision = dict(head.headers).get(REVISION_HEADER.lower().encode())
        return Reply(head.status_code, bytes(response.body), int(revision or 0))

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

    async def _read_head(self, response: _Response) -> h11.Response:
        while True:
            event = await self._next_event(response)
            if isinstance(event, h11.Response):
                return event

    async def _read_body(self, response: _Response) -> None:
        while isinstance(event := await self._next_event(response), h11.Data):
            response.add_body(event.data)

    async def _next_event(self, response: _Response) -> h11.Event:
        response.events += 1
        if response.events % _EVENTS_PER_TURN == 0:
            await asyncio.sleep(0)
        while (event := self.http.next_event()) is h11.NEED_DATA:
            response.check_framing()
            data = await self.protocol.read()
            if not data and self.http.their_state is h11.SEND_RESPONSE:
                raise ConnectionResetError("store disconnected")
            response.read_bytes += len(data)
            self.http.receive_data(data)
        return event


class StoreClient:
    """Sends HTTP requests to the platform store over reused connections.

    ``StoreCalls`` adds the circuit breaker and the metrics.

    Attributes:
        idle: Connections without a call, by host.

    Args:
        ip: IP address that connections are made from.
        max_reply_bytes: Maximum size of a response's body.
    """

    def __init__(self, ip: str, max_reply_bytes: int = MAX_REPLY_BYTES) -> None:
        self.ip = ip
        self.max_reply_bytes = max_reply_bytes
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
        except _OversizedError as error:
            return Unavailable(str(error), error.excess)
        except h11.RemoteProtocolError as error:
            is_long = error.error_status_hint == _HEADERS_TOO_LARGE
            excess = Excess.FRAMING if is_long else None
            return Unavailable(str(error), excess)
        except (OSError, ValueError) as error:
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
            reply = await connection.call(host, request, self.max_reply_bytes)
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
