"""HTTP/1.1 client for endpoints, based on h11.

For calls that must not run twice, the client has to know more than usual
clients tell: whether anything was sent, whether a response is complete or was
cut off, and whether it belongs to the request. Connections are reused only
while that is certain.
"""

import asyncio
import collections
import contextlib
import socket
from collections.abc import AsyncIterator, Iterator
from typing import Self

import h11
import msgspec

from rattanmill_core import Metrics, log_event, loop_seconds
from rattanmill_forward.calls import Headers, HttpCodec, ResponseHead
from rattanmill_forward.endpoints import Endpoint
from rattanmill_platform import set_tcp_timeouts

# A round trip takes a few milliseconds. An endpoint whose first packet was
# dropped, or that is partitioned, is not worth more of a caller's time.
_CONNECT_TIMEOUT_SECONDS = 0.25
# Idle connections are closed this long before the endpoint would close them: a
# request that crosses the endpoint's close may have run.
_IDLE_MARGIN_SECONDS = 1.0
_MAX_IDLE_SECONDS = 20.0
_MAX_IDLE_CONNECTIONS = 24
_MAX_HEAD_BYTES = 64 * 1024
# Most bytes of a response that are read at a time, and beyond which reading
# pauses: a thousand responses that callers do not read must fit into a front
# end's memory.
_RECEIVE_BYTES = 16 * 1024
_READ_PAUSE_BYTES = 16 * 1024
# Kernel buffers of a connection; they grow to megabytes by themselves
# otherwise, and count as memory of the front end's container.
_SOCKET_BUFFER_BYTES = 32 * 1024
# Used by all connections, since data is copied from it as soon as it arrives.
_receive_buffer = memoryview(bytearray(_RECEIVE_BYTES))


class ConnectFailed(msgspec.Struct, frozen=True):
    """Nothing was sent.

    Attributes:
        why: What happened.
        is_connection_refused: Whether no process listens at the address.
    """

    why: str
    is_connection_refused: bool = False


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """The request was sent and may have run."""

    why: str


class BrokenError(Exception):
    """The connection ended, or the data received is not a valid response."""


class _ClientProtocol(asyncio.BufferedProtocol):
    """Buffers the bytes of one connection, with backpressure."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.eof = False
        self.error: Exception | None = None
        self.waiter: asyncio.Future | None = None
        self.is_reading_paused = False
        self.writable = asyncio.Event()
        self.writable.set()

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.received += _receive_buffer[:nbytes]
        if len(self.received) > _READ_PAUSE_BYTES:
            self.pause_reading()
        self._wake()

    def pause_reading(self) -> None:
        """Stops reading until the data received is taken."""
        if not self.is_reading_paused:
            self.is_reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads on."""
        if self.is_reading_paused:
            self.is_reading_paused = False
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        self.eof = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.eof:
            self.error = exc or ConnectionResetError("connection closed")
        self.eof = True
        self.writable.set()
        self._wake()

    def fail(self, error: Exception) -> None:
        """Ends the receiving side with an error of this process."""
        self.error = error
        self.eof = True
        self._wake()

    @property
    def is_clean(self) -> bool:
        """Whether the connection is open with no unsolicited data."""
        return not (self.eof or self.received or self.error)

    async def receive(self) -> bytes:
        """Returns the data received; empty if the peer closed the connection.

        Raises:
            BrokenError: The connection was reset.
        """
        while not self.received and not self.eof:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        if self.received:
            data = bytes(self.received[:_RECEIVE_BYTES])
            del self.received[:_RECEIVE_BYTES]
            self.resume_reading()
            return data
        if self.error:
            raise BrokenError(str(self.error) or "connection reset")
        return b""

    def _wake(self) -> None:
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)


class Connection:
    """One connection to an endpoint, used for one request at a time."""

    def __init__(self, endpoint: Endpoint, protocol: _ClientProtocol) -> None:
        self.endpoint = endpoint
        self.protocol = protocol
        self.http = _new_http_state()
        self.idle_until = 0.0
        self.abort_when_unreachable = False
        self.body_task: asyncio.Task | None = None
        self.unforwarded_bytes = 0

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry the next request."""
        return self.protocol.is_clean and loop_seconds() < self.idle_until

    def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        body_stream: AsyncIterator[bytes] | None = None,
    ) -> None:
        """Writes a request; the rest of its body follows as it arrives.

        Raises:
            h11.LocalProtocolError: The request is not valid HTTP.
        """
        request = h11.Request(method=method, target=target, headers=headers)
        data = self.http.send(request)
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        if body_stream is None:
            data += self.http.send(h11.EndOfMessage()) or b""
        self.request = request
        self.protocol.transport.write(data)
        if body_stream is not None:
            self.body_task = asyncio.create_task(
                self._send_body_stream(body_stream)
            )

    async def _send_body_stream(
        self, body_stream: AsyncIterator[bytes]
    ) -> None:
        """Forwards the rest of a body as fast as the endpoint reads it."""
        try:
            async for chunk in body_stream:
                await self.protocol.writable.wait()
                if self.protocol.eof:
                    return
                self.protocol.transport.write(
                    self.http.send(h11.Data(data=chunk))
                )
            self.protocol.transport.write(
                self.http.send(h11.EndOfMessage()) or b""
            )
        except (BrokenError, OSError, h11.LocalProtocolError) as error:
            # The task that waits for the response gets the error from the
            # protocol.
            self.protocol.fail(error)

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Returns the next event of the response.

        Raises:
            BrokenError: The response ended early or is not valid.
        """
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise BrokenError(f"invalid response: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            data = await self.protocol.receive()
            self.unforwarded_bytes = len(data)
            try:
                self.http.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise BrokenError(f"invalid response: {error}") from error

    def expect_next_response(self) -> None:
        """Goes on to the next response on this connection.

        Called when the endpoint sent a response to an earlier request before
        the expected one.
        """
        trailing, _ = self.http.trailing_data
        self.http = _new_http_state()
        # Tells the parser which request is outstanding; nothing is sent again.
        headers = [
            (name, value)
            for name, value in self.request.headers
            if name != b"content-length"
        ]
        self.http.send(
            h11.Request(
                method=self.request.method,
                target=self.request.target,
                headers=headers,
            )
        )
        self.http.send(h11.EndOfMessage())
        # Empty data would signal the end of the connection to the parser.
        if trailing:
            self.http.receive_data(trailing)

    def abort(self) -> None:
        """Closes the connection, which ends the endpoint's work on it."""
        if self.body_task:
            self.body_task.cancel()
        if self.protocol.transport:
            self.protocol.transport.abort()


def _new_http_state() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)


class EndpointResponse:
    """An endpoint's response whose head has arrived.

    Attributes:
        head: Status and headers.
        is_complete: Whether the body was read to its end.

    Args:
        pool: Gets the connection back.
        connection: Connection that delivers the body.
        head: Status and headers.
    """

    def __init__(
        self, pool: "ConnectionPool", connection: Connection, head: ResponseHead
    ) -> None:
        self.pool = pool
        self.connection = connection
        self.head = head
        self.is_complete = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            BrokenError: The body was cut off.
        """
        while True:
            event = await self.connection.next_event()
            if isinstance(event, h11.Data):
                # Not referenced here while its consumer waits for a caller.
                data = [bytes(event.data)]
                del event
                yield data.pop()
            elif isinstance(event, h11.EndOfMessage):
                self.is_complete = True
                return
            else:
                raise BrokenError("response ended early")

    @property
    def held_bytes(self) -> int:
        """Bytes of it that were received and are not forwarded yet."""
        connection = self.connection
        return len(connection.protocol.received) + connection.unforwarded_bytes

    def record_forwarded(self, size: int) -> None:
        """Records that bytes of its body were forwarded."""
        left = self.connection.unforwarded_bytes - size
        self.connection.unforwarded_bytes = max(0, left)

    @contextlib.contextmanager
    def paused(self) -> Iterator[None]:
        """Pauses reading while its caller does not read."""
        protocol = self.connection.protocol
        protocol.pause_reading()
        yield
        if len(protocol.received) <= _READ_PAUSE_BYTES:
            protocol.resume_reading()

    async def read(self) -> bytes:
        """Returns the whole body.

        Raises:
            BrokenError: The body was cut off.
        """
        return b"".join([chunk async for chunk in self.chunks()])

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.pool.release(self.connection, self.head, self.is_complete)


class ConnectionPool:
    """Connections to endpoints.

    Args:
        source_ip: IP address of this process.
        codec: Decodes heads of responses.
        metrics: Counters.
    """

    def __init__(
        self, source_ip: str, codec: HttpCodec, metrics: Metrics
    ) -> None:
        self.source_ip = source_ip
        self.codec = codec
        self.metrics = metrics
        self.idle: dict[str, collections.deque[Connection]] = {}
        self.active: set[Connection] = set()

    async def send(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        request_id: str,
        body_stream: AsyncIterator[bytes] | None = None,
        abort_when_unreachable: bool = False,
    ) -> EndpointResponse | ConnectFailed | OutcomeUnknown:
        """Sends a request and returns its response once the head has arrived.

        If the caller cancels the request, the connection is closed, which ends
        the endpoint's work.

        Args:
            endpoint: The endpoint to send to.
            method: HTTP method.
            target: Path and query.
            headers: Headers of the request.
            body: The buffered part of the body.
            request_id: Id that the response must carry.
            body_stream: The rest of the body.
            abort_when_unreachable: Whether the request is given up once the
                endpoint's domain is unreachable.
        """
        connection = await self._acquire(endpoint)
        if isinstance(connection, ConnectFailed):
            return connection
        connection.abort_when_unreachable = abort_when_unreachable
        self.active.add(connection)
        try:
            connection.send(method, target, headers, body, body_stream)
        except h11.LocalProtocolError as error:
            self._drop(connection)
            return ConnectFailed(f"request cannot be sent: {error}")
        try:
            head = await self._read_head(connection, request_id)
        except (BrokenError, h11.LocalProtocolError) as error:
            self._drop(connection)
            return OutcomeUnknown(str(error))
        except BaseException:
            self._drop(connection)
            raise
        return EndpointResponse(self, connection, head)

    def _drop(self, connection: Connection) -> None:
        self.active.discard(connection)
        connection.abort()

    def abort_domain(self, domain: str) -> None:
        """Gives up requests to a domain that became unreachable.

        Otherwise a stream would end only when its caller times out, after two
        seconds and more. Idle connections may be dead too and are closed.
        """
        aborted = [
            connection
            for connection in self.active
            if connection.abort_when_unreachable
            and connection.endpoint.domain == domain
        ]
        for connection in aborted:
            connection.protocol.fail(
                BrokenError("failure domain is unreachable")
            )
        idle = [
            address
            for address, connections in self.idle.items()
            if connections and connections[0].endpoint.domain == domain
        ]
        for address in idle:
            for connection in self.idle.pop(address):
                connection.abort()
        log_event(
            "domain_given_up",
            domain=domain,
            exchanges=len(aborted),
            idle=len(idle),
        )

    async def can_connect(self, endpoint: Endpoint) -> bool:
        """Whether a connection to an endpoint can be opened."""
        connection = await self._open_connection(endpoint)
        if isinstance(connection, ConnectFailed):
            return False
        connection.abort()
        return True

    async def _read_head(
        self, connection: Connection, request_id: str
    ) -> ResponseHead:
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BrokenError("connection closed without a response")
            head = self.codec.decode_response(
                event.status_code, _headers(event.headers)
            )
            if head.request_id == request_id or not head.request_id:
                return head
            self.metrics.count("rattanmill_foreign_answers")
            await self._discard_response(connection)

    async def _discard_response(self, connection: Connection) -> None:
        """Reads a response to another request to its end."""
        while not isinstance(
            event := await connection.next_event(), h11.EndOfMessage
        ):
            if not isinstance(event, h11.Data):
                raise BrokenError("response to another request was cut off")
        connection.expect_next_response()

    async def _acquire(self, endpoint: Endpoint) -> Connection | ConnectFailed:
        idle = self.idle.get(endpoint.address)
        while idle:
            connection = idle.pop()
            same = connection.endpoint.name == endpoint.name
            if same and connection.is_reusable:
                return connection
            connection.abort()
        return await self._open_connection(endpoint)

    async def _open_connection(
        self, endpoint: Endpoint
    ) -> Connection | ConnectFailed:
        host, _, port = endpoint.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.metrics.count("rattanmill_endpoint_connections")
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                _, protocol = await loop.create_connection(
                    _ClientProtocol,
                    host,
                    int(port),
                    local_addr=(self.source_ip, 0),
                )
        except (OSError, TimeoutError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            return ConnectFailed(
                str(error) or "connection timed out", is_refused
            )
        sock = protocol.transport.get_extra_info("socket")
        set_tcp_timeouts(sock)
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)
        return Connection(endpoint, protocol)

    def has_open_idle(self, endpoint: Endpoint) -> bool:
        """Whether an idle connection to the endpoint is still open."""
        return any(
            connection.endpoint == endpoint and connection.protocol.is_clean
            for connection in self.idle.get(endpoint.address, ())
        )

    async def refuses_connections(self, endpoint: Endpoint) -> bool:
        """Whether no process listens at an endpoint's address.

        An endpoint that is merely unreachable may still be running.
        """
        connection = await self._open_connection(endpoint)
        if isinstance(connection, ConnectFailed):
            return connection.is_connection_refused
        connection.abort()
        return False

    def release(
        self, connection: Connection, head: ResponseHead, is_complete: bool
    ) -> None:
        """Keeps a connection if its response was complete, with no extra data.

        Otherwise closes it.
        """
        self.active.discard(connection)
        http = connection.http
        trailing, _ = http.trailing_data
        is_done = (
            is_complete
            and not head.closes_connection
            and not trailing
            and connection.protocol.is_clean
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
        )
        if not is_done:
            connection.abort()
            return
        http.start_next_cycle()
        limit = _MAX_IDLE_SECONDS
        if head.idle_timeout_seconds is not None:
            limit = min(limit, head.idle_timeout_seconds - _IDLE_MARGIN_SECONDS)
        connection.idle_until = loop_seconds() + limit
        idle = self.idle.setdefault(
            connection.endpoint.address, collections.deque()
        )
        idle.append(connection)
        while len(idle) > _MAX_IDLE_CONNECTIONS:
            idle.popleft().abort()

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        for address, idle in list(self.idle.items()):
            reusable = [c for c in idle if c.is_reusable]
            for connection in idle:
                if connection not in reusable:
                    connection.abort()
            if reusable:
                self.idle[address] = collections.deque(reusable)
            else:
                del self.idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self.idle.values():
            for connection in idle:
                connection.abort()
        self.idle.clear()


def _headers(raw: h11._headers.Headers) -> Headers:
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in raw.raw_items()
    ]
