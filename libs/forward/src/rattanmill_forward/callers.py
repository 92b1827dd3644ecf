"""Connections of callers, with timeouts for reading request heads."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import StreamReader, web

from rattanmill_core import Metrics, Reason, SettingsError, log_event, refuse
from rattanmill_forward.routes import Limits

_MAX_HEAD_BYTES = 64 * 1024
_BACKLOG = 1024
# Kernel buffers of a connection; they grow to megabytes by themselves
# otherwise, and count as memory of the front end's container.
_SOCKET_BUFFER_BYTES = 32 * 1024
# Lingers for 0 s.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
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
    """

    limits: Callable[[], Limits]
    cancel_on_disconnect: bool
    metrics: Metrics


class _Connection(web.RequestHandler):
    """One connection; refuses a request whose head arrives too slowly.

    Otherwise callers that send a few bytes now and then would hold descriptors
    until none are left for others.
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
        )
        self.policy = policy
        self.is_serving = False
        self.head_timer: asyncio.TimerHandle | None = None
        self.last_body: StreamReader | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Writing is paused while anything is left to send: only then is it
        # certain that all of a response was taken once a write returns.
        transport.set_write_buffer_limits(0)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        # A request may be refused before all of its body has arrived.
        is_body = self.last_body is not None and not self.last_body.is_eof()
        super().data_received(data)
        # An empty call only resumes parsing.
        is_head = bool(data) and not (is_body or self.is_serving)
        if is_head and not self.head_timer and self.transport is not None:
            self.head_timer = asyncio.get_running_loop().call_later(
                self.policy.limits().header_timeout_seconds,
                self._on_head_timeout,
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        self._stop_timer()
        super().connection_lost(exc)

    async def serve(self, handler: Handler, request: web.BaseRequest) -> object:
        """Serves a request whose head has arrived."""
        self._stop_timer()
        self.is_serving = True
        self.last_body = request.content
        try:
            response = await handler(request)
            if not response.prepared:
                await self._send(request, response)
            return response
        finally:
            self.is_serving = False

    async def _send(
        self, request: web.BaseRequest, response: web.Response
    ) -> None:
        """Sends a short response; its caller must read it in time."""
        await response.prepare(request)
        seconds = self.policy.limits().idle_timeout_seconds
        try:
            async with asyncio.timeout(seconds):
                await response.write_eof()
        except TimeoutError:
            self._abort_stalled(request, seconds)

    def _abort_stalled(self, request: web.BaseRequest, seconds: float) -> None:
        """Closes the connection of a caller that reads no short response."""
        self.policy.metrics.count("rattanmill_callers_stalled", why="idle")
        log_event(
            "caller_stalled",
            request=None,
            program=None,
            unread_bytes=request.transport.get_write_buffer_size(),
            stalled_s=seconds,
            why="idle",
        )
        abort_connection(request.transport)

    def _stop_timer(self) -> None:
        if self.head_timer:
            self.head_timer.cancel()
        self.head_timer = None

    def _on_head_timeout(self) -> None:
        self.head_timer = None
        if self.transport is None:
            return
        refusal = refuse(
            Reason.HEADERS_TOO_SLOW, "timed out reading the request head"
        )
        self.policy.metrics.refused(refusal)
        log_event(
            "refused",
            request=None,
            reason=refusal.reason,
            status=refusal.status,
            ran=refusal.ran,
        )
        self.transport.write(_TIMEOUT_RESPONSE)
        self.force_close()


class _Server(web.Server):
    """Creates connections with the limits that are in force."""

    def __init__(self, handler: Handler, policy: ConnectionPolicy) -> None:
        super().__init__(
            lambda request: request.protocol.serve(handler, request),
            handler_cancellation=policy.cancel_on_disconnect,
        )
        self.policy = policy

    def __call__(self) -> web.RequestHandler:
        """Creates the protocol of a new connection."""
        return _Connection(self, self.policy)


def abort_connection(transport: asyncio.Transport | None) -> None:
    """Resets a connection, so that the kernel keeps nothing to be sent."""
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


async def listen(
    address: str,
    handler: Handler,
    policy: ConnectionPolicy,
    shutdown_seconds: float,
) -> web.ServerRunner:
    """Serves connections at an address.

    Raises:
        SettingsError: The address cannot be used.
    """
    runner = web.ServerRunner(
        _Server(handler, policy), shutdown_timeout=shutdown_seconds
    )
    await runner.setup()
    host, _, port = address.rpartition(":")
    try:
        sock = socket.create_server(
            (host, int(port)),
            family=socket.AF_INET6 if ":" in host else socket.AF_INET,
            backlog=_BACKLOG,
        )
        # Connections inherit the sizes.
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)
        await web.SockSite(runner, sock, backlog=_BACKLOG).start()
    except OSError as error:
        raise SettingsError(f"cannot listen on {address}: {error}") from error
    return runner
