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
from rattanmill_forward.bodies import BodyStream, read_body
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


async def _read_part(size, end):
    """Reads a part of a body, until something ends it.

    Args:
        size: Bytes that arrive.
        end: Function of the request and its memory that ends it.
    """
    loop = asyncio.get_running_loop()
    content = StreamReader(mock.Mock(), _MAX_BYTES, loop=loop)
    request = SimpleNamespace(
        content=content, content_length=_MAX_BYTES, headers={}
    )
    held = MemoryBudget().hold()
    reading = asyncio.create_task(read_body(request, _MAX_BYTES, True, held))
    for _ in range(size // _CHUNK_BYTES):
        content.feed_data(bytes(_CHUNK_BYTES))
        await asyncio.sleep(0)
    end(request, held)
    with contextlib.suppress(ConnectionError):
        await reading


def _revoke(request, held):
    held.revoke()


def _disconnect(request, held):
    request.content.set_exception(ConnectionResetError("connection lost"))


_ENDS = {
    "others need the memory, as it stalls": _revoke,
    "its caller disconnects": _disconnect,
}


@when("{size:d} bytes of a body have been read, and {what}")
def step_read_part(context, size, what):
    # What is imported and cached at first use is no part of it.
    asyncio.run(_read_part(_CHUNK_BYTES, _ENDS[what]))
    with _traced(context):
        asyncio.run(_read_part(size, _ENDS[what]))


def _broken_off(size):
    """Returns the rest of a body whose caller has disconnected."""
    content = StreamReader(
        mock.Mock(), _MAX_BYTES, loop=asyncio.get_running_loop()
    )
    request = SimpleNamespace(content=content, content_length=2 * size)
    _disconnect(request, None)
    held = MemoryBudget().hold()
    return BodyStream(request, size, _MAX_BYTES, held).chunks()


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
