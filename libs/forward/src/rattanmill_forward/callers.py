"""Connections of callers, with timeouts for reading request heads."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import StreamReader

from rattanmill_core import (
    ACCEPTED_AT_ONCE,
    MemoryBudget,
    Metrics,
    Reason,
    SettingsError,
    lengthen_queue,
    log_event,
    open_listening,
    refuse,
)
from rattanmill_forward import web
from rattanmill_forward.bodies import FramingError
from rattanmill_forward.connections import ConnectionTable, ReadShares
from rattanmill_forward.routes import Limits
from rattanmill_forward.writing import PIECE_BYTES

_MAX_HEAD_BYTES = 64 * 1024
# Framing of one body: sizes, extensions and line ends of its chunks. A chunk of
# one byte, the shortest, has five.
_MAX_FRAMING_BYTES = 64 * 1024
_MAX_FRAMING_PER_BYTE = 5
# All that was read is parsed before other tasks have a turn.
_READ_BYTES = 32 * 1024
# What is parsed of a body before its reader has taken it.
_BUFFER_BYTES = 16 * 1024
# Share of sizes and extensions of chunks in what is received, above which a
# body counts as being in small chunks.
_SMALL_CHUNK_SHARE = 0.2
# The rest of a body whose request was refused is read for this long, so that
# its caller gets the refusal.
_LINGERING_SECONDS = 2.0
# Of a refused body in small chunks, so much of the rest is read.
_MAX_DISCARDED_BYTES = 1024 * 1024
_DEFAULT_CONNECTIONS = 1024
_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class ConnectionPolicy(msgspec.Struct, frozen=True):
    """How a server treats its connections.

    Attributes:
        limits: Returns the configured limits that are in force.
        cancel_on_disconnect: Whether a request is cancelled when its caller
            disconnects.
        metrics: Counts refusals.
        max_connections: Maximum number of open connections.
        memory: Holds the requests that arrive.
    """

    limits: Callable[[], Limits]
    cancel_on_disconnect: bool
    metrics: Metrics
    max_connections: int = _DEFAULT_CONNECTIONS
    memory: MemoryBudget = msgspec.field(default_factory=MemoryBudget)


class _Connection(web.RequestHandler):
    """One connection; refuses a request whose head arrives too slowly.

    Otherwise callers that send a few bytes now and then would hold descriptors
    until none are left for others. A body with more framing than its chunks
    need is refused.

    Attributes:
        framing_bytes: Bytes received behind the head of the current request
            that are not in its body.
        discarded_bytes: Bytes in small chunks received of its body after its
            handler has ended.
    """

    def __init__(self, server: "_Server", policy: ConnectionPolicy) -> None:
        limits = policy.limits()
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_timeout_seconds,
            access_log=None,
            max_line_size=_MAX_HEAD_BYTES,
            max_field_size=_MAX_HEAD_BYTES,
            # The endpoint gets the body as it was sent, with its encoding.
            auto_decompress=False,
            read_bufsize=_BUFFER_BYTES,
            lingering_time=_LINGERING_SECONDS,
        )
        self.table = server.table
        self.shares = server.shares
        self.policy = policy
        self.is_serving = False
        self.head_timer: asyncio.TimerHandle | None = None
        self.last_body: StreamReader | None = None
        self.framing_bytes = 0
        self.discarded_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.max_size = _READ_BYTES
        transport.set_write_buffer_limits(PIECE_BYTES)
        super().connection_made(transport)
        if not self.table.add(self):
            transport.abort()

    @property
    def is_closable(self) -> bool:
        """Whether its last response, if any, was written as a whole.

        It is written once the handler has ended, for which aiohttp has no
        public attribute.
        """
        return not self._request_in_progress

    def give_way(self) -> None:
        """Closes the connection, on which no request is in progress."""
        self.force_close()

    def data_received(self, data: bytes) -> None:
        # A request may be refused before all of its body has arrived.
        body = self.last_body
        is_body = body is not None and not body.is_eof()
        before = body.total_bytes if is_body else 0
        super().data_received(data)
        if is_body:
            framing_bytes = len(data) - body.total_bytes + before
            is_small = framing_bytes > len(data) * _SMALL_CHUNK_SHARE
            if self.is_serving:
                self._check_framing(body, framing_bytes)
            elif is_small and not body.is_eof():
                self._record_discarded(len(data))
            if self.transport is not None:
                self.transport.max_size = self._next_read_bytes(body, is_small)
        # An empty call only resumes parsing.
        is_head = bool(data) and not (is_body or self.is_serving)
        if is_head and not self.head_timer and self.transport is not None:
            self.head_timer = asyncio.get_running_loop().call_later(
                self.policy.limits().header_timeout_seconds,
                self._on_head_timeout,
            )

    def _next_read_bytes(self, body: StreamReader, is_small: bool) -> int:
        """Returns how much is to be read at a time.

        Args:
            body: The body that was read.
            is_small: Whether it comes in small chunks.
        """
        if body.is_eof():
            return self.shares.remove(self)
        return self.shares.record(self, is_small)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._stop_timer()
        self.table.remove(self)
        self.shares.remove(self)
        super().connection_lost(exc)

    async def serve(self, handler: Handler, request: web.BaseRequest) -> object:
        """Serves a request whose head has arrived."""
        self._stop_timer()
        self.is_serving = True
        self.last_body = request.content
        self.framing_bytes = 0
        self.discarded_bytes = 0
        self.table.begin(self)
        try:
            return await handler(request)
        finally:
            self.is_serving = False
            self.table.end(self)

    def _stop_timer(self) -> None:
        if self.head_timer:
            self.head_timer.cancel()
        self.head_timer = None

    def _check_framing(self, body: StreamReader, received_bytes: int) -> None:
        self.framing_bytes += received_bytes
        max_bytes = (
            _MAX_FRAMING_BYTES + body.total_bytes * _MAX_FRAMING_PER_BYTE
        )
        if self.framing_bytes > max_bytes and body.exception() is None:
            body.set_exception(
                FramingError(f"request exceeds {max_bytes} bytes of framing")
            )

    def _record_discarded(self, size: int) -> None:
        """Records a part of a refused body that comes in small chunks."""
        self.discarded_bytes += size
        if self._has_discarded_enough() and self.transport is not None:
            self.transport.pause_reading()

    def _has_discarded_enough(self) -> bool:
        return self.discarded_bytes > _MAX_DISCARDED_BYTES

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Goes on to read, unless enough of a refused body was."""
        if not self._has_discarded_enough():
            super().resume_reading(resume_parser)

    def _on_head_timeout(self) -> None:
        self.head_timer = None
        if self.transport is None:
            return
        self._record_refusal(
            Reason.HEADERS_TOO_SLOW, "timed out reading the request head"
        )
        self.transport.write(_TIMEOUT_RESPONSE)
        self.force_close()

    def _record_refusal(self, reason: Reason, detail: str) -> None:
        refusal = refuse(reason, detail)
        self.policy.metrics.refused(refusal)
        log_event(
            "refused",
            request=None,
            reason=refusal.reason,
            status=refusal.status,
            ran=refusal.ran,
        )


class _Server(web.Server):
    """Creates connections with the limits that are in force."""

    def __init__(self, handler: Handler, policy: ConnectionPolicy) -> None:
        super().__init__(
            lambda request: request.protocol.serve(handler, request),
            handler_cancellation=policy.cancel_on_disconnect,
        )
        self.policy = policy
        self.table = ConnectionTable(
            policy.max_connections, policy.memory, policy.metrics
        )
        self.shares = ReadShares()

    def __call__(self) -> web.RequestHandler:
        """Creates the protocol of a new connection."""
        return _Connection(self, self.policy)


class Listener:
    """Serves connections at an address until ``cleanup``.

    Args:
        server: Creates the connections.
        shutdown_seconds: Longest time in which ``cleanup`` lets requests
            finish.
    """

    def __init__(self, server: web.Server, shutdown_seconds: float) -> None:
        self.server = server
        self.shutdown_seconds = shutdown_seconds
        self.listening: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Starts listening.

        Raises:
            OSError: The address cannot be used.
        """
        listening = open_listening(host, port)
        self.listening = await asyncio.get_running_loop().create_server(
            self.server, sock=listening, backlog=ACCEPTED_AT_ONCE
        )
        lengthen_queue(listening)

    async def cleanup(self) -> None:
        """Closes idle connections now, and others after their request."""
        if self.listening:
            self.listening.close()
        # Requests that have arrived are given to their handlers first.
        await asyncio.sleep(0)
        self.server.pre_shutdown()
        await self.server.shutdown(self.shutdown_seconds)


async def listen(
    address: str,
    handler: Handler,
    policy: ConnectionPolicy,
    shutdown_seconds: float,
) -> Listener:
    """Serves connections at an address.

    Raises:
        SettingsError: The address cannot be used.
    """
    listener = Listener(_Server(handler, policy), shutdown_seconds)
    host, _, port = address.rpartition(":")
    try:
        await listener.start(host, int(port))
    except OSError as error:
        raise SettingsError(f"cannot listen on {address}: {error}") from error
    return listener
