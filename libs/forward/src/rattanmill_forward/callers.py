"""Connections of callers, and how long each may take to say what it wants."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from rattanmill_core import Metrics, Reason, SettingsError, log_event, refuse
from rattanmill_forward.routes import Limits

_MOST_HEAD_BYTES = 64 * 1024
_BACKLOG = 1024
_TOO_SLOW = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

Serve = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Bounds(msgspec.Struct, frozen=True):
    """How a server treats its connections.

    Attributes:
        limits: Returns the operators' bounds that are in force.
        cancels: Whether a caller that leaves ends its request.
        metrics: Counts refusals.
    """

    limits: Callable[[], Limits]
    cancels: bool
    metrics: Metrics


class _Connection(web.RequestHandler):
    """One connection; refuses a head that comes too slowly.

    Callers that send a few bytes now and then would hold descriptors until
    none are left for others.
    """

    def __init__(self, server: "_Server", bounds: Bounds) -> None:
        limits = bounds.limits()
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_seconds,
            access_log=None,
            max_line_size=_MOST_HEAD_BYTES,
            max_field_size=_MOST_HEAD_BYTES,
        )
        self.bounds = bounds
        self.serving = False
        self.head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if not (self.serving or self.head_timer or self.transport is None):
            self.head_timer = asyncio.get_running_loop().call_later(
                self.bounds.limits().header_seconds, self._give_up
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        self._stop_timer()
        super().connection_lost(exc)

    async def serve(self, serve: Serve, request: web.BaseRequest) -> object:
        """Serves a request whose head has come."""
        self._stop_timer()
        self.serving = True
        try:
            return await serve(request)
        finally:
            self.serving = False

    def _stop_timer(self) -> None:
        if self.head_timer:
            self.head_timer.cancel()
        self.head_timer = None

    def _give_up(self) -> None:
        self.head_timer = None
        if self.transport is None:
            return
        refusal = refuse(Reason.HEADERS_TOO_SLOW, "the head took too long")
        self.bounds.metrics.refused(refusal)
        log_event(
            "refused",
            request=None,
            reason=refusal.reason,
            status=refusal.status,
            ran=refusal.ran,
        )
        self.transport.write(_TOO_SLOW)
        self.force_close()


class _Server(web.Server):
    """Makes connections with the bounds that are in force."""

    def __init__(self, serve: Serve, bounds: Bounds) -> None:
        super().__init__(
            lambda request: request.protocol.serve(serve, request),
            handler_cancellation=bounds.cancels,
        )
        self.bounds = bounds

    def __call__(self) -> web.RequestHandler:
        """Makes the protocol of a new connection."""
        return _Connection(self, self.bounds)


async def listen(
    address: str, serve: Serve, bounds: Bounds, shutdown_seconds: float
) -> web.ServerRunner:
    """Serves connections at an address.

    Raises:
        SettingsError: The address cannot be used.
    """
    runner = web.ServerRunner(
        _Server(serve, bounds), shutdown_timeout=shutdown_seconds
    )
    await runner.setup()
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), backlog=_BACKLOG)
    try:
        await site.start()
    except OSError as error:
        raise SettingsError(f"{address} cannot be used: {error}") from error
    return runner
