"""Steps about memory of requests that end early."""

import asyncio
import contextlib
import gc
import tracemalloc
from types import SimpleNamespace
from unittest import mock

from aiohttp import StreamReader
from behave import then, when
from steps.endless import make_codec

from rattanmill_core import MemoryBudget, Metrics
from rattanmill_entry import bodies as daemon_bodies
from rattanmill_forward import bodies as front_bodies
from rattanmill_forward.endpoints import Endpoint
from rattanmill_forward.exchange import ConnectionPool, OutcomeUnknown

_MAX_BYTES = 1024 * 1024
_CHUNK_BYTES = 30_000
_WAIT_SECONDS = 20.0


@contextlib.contextmanager
def _traced(context):
    """Notes how much more memory is held at the end than at the start."""
    gc.collect()
    gc.disable()
    context.scenario_stack.callback(gc.enable)
    tracemalloc.start()
    context.scenario_stack.callback(tracemalloc.stop)
    before, _ = tracemalloc.get_traced_memory()
    yield
    context.held = tracemalloc.get_traced_memory()[0] - before


class _Request(dict):
    """What is read of a request of either server."""

    def __init__(self, content, content_length):
        super().__init__()
        self.content = content
        self.content_length = content_length
        self.headers = {}


def _read_at_front(request, held):
    return front_bodies.read_body(request, _MAX_BYTES, True, held)


def _read_at_daemon(request, held):
    settings = SimpleNamespace(
        receive_seconds=_WAIT_SECONDS, body_bytes=_MAX_BYTES
    )
    daemon_bodies.hold_memory(request, held)
    return daemon_bodies.read_body(SimpleNamespace(settings=settings), request)


_READERS = {"front end": _read_at_front, "daemon": _read_at_daemon}


async def _read_part(read, size, end):
    """Reads a part of a body, until something ends it.

    Args:
        read: Function of the request and its memory that reads the body.
        size: Bytes that arrive.
        end: Function of the request and its memory that ends it.
    """
    request = _Request(_new_content(), _MAX_BYTES)
    held = MemoryBudget().hold()
    reading = asyncio.create_task(read(request, held))
    for _ in range(size // _CHUNK_BYTES):
        await asyncio.sleep(0)
        request.content.feed_data(bytes(_CHUNK_BYTES))
    await asyncio.sleep(0)
    end(request, held)
    with contextlib.suppress(ConnectionError):
        await reading


def _new_content():
    return StreamReader(
        mock.Mock(), _MAX_BYTES, loop=asyncio.get_running_loop()
    )


def _revoke(request, held):
    held.revoke()


def _disconnect(request, held):
    request.content.set_exception(ConnectionResetError("connection lost"))


_ENDS = {
    "others need the memory, as it stalls": _revoke,
    "its caller disconnects": _disconnect,
}


@when("{size:d} bytes of a body have been read by a {reader}, and {what}")
def step_read_part(context, size, reader, what):
    read, end = _READERS[reader], _ENDS[what]
    # What is imported and cached at first use is no part of it.
    asyncio.run(_read_part(read, _CHUNK_BYTES, end))
    with _traced(context):
        asyncio.run(_read_part(read, size, end))


def _broken_off(size):
    """Returns the rest of a body whose caller has disconnected."""
    request = _Request(_new_content(), 2 * size)
    _disconnect(request, None)
    held = MemoryBudget().hold()
    return front_bodies.BodyStream(request, size, _MAX_BYTES, held).chunks()


async def _forward(size):
    is_closed = asyncio.Event()

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            while await reader.read(_CHUNK_BYTES):
                pass
        writer.close()
        is_closed.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = ConnectionPool("127.0.0.1", make_codec(), Metrics())
    headers = [("Host", "a"), ("Content-Length", str(2 * size))]
    endpoint = Endpoint("one", "app", "east", f"{host}:{port}", 4, False)
    async with server, asyncio.timeout(_WAIT_SECONDS):
        outcome = await pool.send(
            endpoint, "POST", "/", headers, bytes(size), "r", _broken_off(size)
        )
        await is_closed.wait()
    assert isinstance(outcome, OutcomeUnknown), outcome


@when("the rest of a body of {size:d} bytes breaks off while it is forwarded")
def step_broken_off(context, size):
    asyncio.run(_forward(1))
    with _traced(context):
        asyncio.run(_forward(size))


@then("less than {limit:d} KB of it are in memory")
def step_freed(context, limit):
    assert context.held < limit * 1024, context.held
