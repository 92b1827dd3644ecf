"""Connections to endpoints and services, with bounds on what they send.

aiohttp bounds a header line and the number of lines, and stops reading while a
body is not consumed. It does not bound interim responses, nor the sizes and
extensions of chunks, which an endpoint may send without an end.
"""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from rattanmill_core import Metrics, part_logger

_log = part_logger("connections")
# Heads, interim responses, and the sizes and extensions of chunks of one
# response, beyond a byte for each byte of its body.
_MAX_FRAMING_BYTES = 64 * 1024
# All that was read is parsed before other tasks have a turn.
_READ_BYTES = 16 * 1024


class FramingError(aiohttp.ClientPayloadError):
    """A response has more framing than any sound one."""


class _BoundedHandler(ResponseHandler):
    """Protocol of one connection.

    Attributes:
        received_bytes: Bytes of the current response, framing included.
        body: Body of the current response, or None.

    Args:
        metrics: Counts responses that were given up.
        loop: Event loop.
    """

    def __init__(
        self, metrics: Metrics, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(loop)
        self.metrics = metrics
        self.received_bytes = 0
        self.body: aiohttp.StreamReader | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.max_size = _READ_BYTES
        super().connection_made(transport)

    def set_response_params(self, **params: Any) -> None:
        """Prepares for the response to the next request."""
        self.received_bytes = 0
        self.body = None
        super().set_response_params(**params)

    def feed_data(
        self, data: tuple[Any, aiohttp.StreamReader], size: int = 0
    ) -> None:
        """Queues a head, with the body that follows it."""
        _, self.body = data
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        self.received_bytes += len(data)
        super().data_received(data)
        body_bytes = self.body.total_bytes if self.body else 0
        max_bytes = _MAX_FRAMING_BYTES + body_bytes
        if self.received_bytes - body_bytes > max_bytes:
            self._give_up(max_bytes)

    def _give_up(self, max_bytes: int) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        peer = self.transport.get_extra_info("peername")
        error = FramingError(f"response exceeds {max_bytes} bytes of framing")
        _log.warning("Gave up a response of {}: {}", peer, error)
        self.metrics.count("rattanmill_responses_oversized")
        if self.body:
            self.body.set_exception(error)
        self.set_exception(error)
        self.transport.abort()


def bounded_connector(metrics: Metrics, **options: Any) -> aiohttp.TCPConnector:
    """Returns a connector whose connections bound what they receive.

    Args:
        metrics: Counts responses that were given up.
        **options: Options of the connector.
    """
    connector = aiohttp.TCPConnector(**options)
    loop = asyncio.get_running_loop()
    # aiohttp has no public option for it.
    connector._factory = functools.partial(_BoundedHandler, metrics, loop)
    return connector
