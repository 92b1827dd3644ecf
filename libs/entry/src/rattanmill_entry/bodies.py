"""Reads callers' bodies as far as the daemon's memory has room for them."""

import asyncio

from aiohttp import web

from rattanmill_core import HeldMemory, Reason, Refusal, refuse
from rattanmill_entry.node import Node

# What a body takes while its call is served: the body, what it is decoded to,
# the messages to the owner of its program, and the request to an endpoint.
_BODY_COPIES = 6
# What one connection may have read in one turn of the event loop.
_READ_BYTES = 8 * 1024
# What is parsed of a body before its reader has taken it.
BUFFER_BYTES = 16 * 1024
# The rest of a body whose call was refused is read for this long, so that its
# caller gets the refusal.
LINGERING_SECONDS = 2.0
_HELD_KEY = "held_memory"


class _StalledError(TimeoutError):
    """A body made next to no progress, and its memory was needed."""


class _BoundedHandler(web.RequestHandler):
    """A connection of which little is read in one turn of the event loop."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.max_size = _READ_BYTES
        super().connection_made(transport)


class _BoundedServer(web.Server):
    """Creates such connections."""

    def __call__(self) -> web.RequestHandler:
        """Creates the protocol of a new connection."""
        return _BoundedHandler(self, loop=self._loop, **self._kwargs)


class BoundedRunner(web.AppRunner):
    """Serves an application on such connections."""

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        # aiohttp has no public option for the class of its connections.
        server.__class__ = _BoundedServer
        return server


def hold_memory(request: web.Request, held: HeldMemory) -> None:
    """Gives a request the memory that is reserved for it."""
    request[_HELD_KEY] = held


async def read_body(node: Node, request: web.Request) -> bytes | Refusal:
    """Returns a request's body, or why it is refused."""
    seconds = node.settings.receive_seconds
    try:
        async with asyncio.timeout(seconds):
            return await _read(node, request, request[_HELD_KEY])
    except TimeoutError:
        detail = f"The body did not arrive within {seconds:g} s."
        return refuse(Reason.BODY_TOO_SLOW, detail)


async def _read(
    node: Node, request: web.Request, held: HeldMemory
) -> bytes | Refusal:
    max_bytes = node.settings.body_bytes
    length = request.content_length or 0
    if length > max_bytes:
        return _too_large(max_bytes)
    if not held.grow(length * _BODY_COPIES):
        return _memory_exhausted()
    held.begin(lambda: request.content.set_exception(_StalledError()))
    body = bytearray()
    try:
        async for chunk in request.content.iter_any():
            held.receive(len(chunk))
            body += chunk
            if len(body) > max_bytes:
                return _too_large(max_bytes)
            if not held.cover(len(body) * _BODY_COPIES):
                return _memory_exhausted()
    except _StalledError:
        return _memory_exhausted()
    else:
        held.finish()
        return bytes(body)
    finally:
        # An error that ends the body, and is kept with it, refers to this
        # frame.
        body.clear()


def _too_large(max_bytes: int) -> Refusal:
    return refuse(Reason.BODY_TOO_LARGE, f"The maximum is {max_bytes} bytes.")


def _memory_exhausted() -> Refusal:
    detail = "The memory for requests is used by others."
    return refuse(Reason.MEMORY_EXHAUSTED, detail)
