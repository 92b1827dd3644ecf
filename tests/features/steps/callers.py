"""Steps about callers that send without an end, on real sockets."""

import asyncio
import itertools
import socket
from unittest import mock

from aiohttp.web_protocol import RequestHandler
from behave import given, then, when

from rattanmill_core import Metrics
from rattanmill_forward import web
from rattanmill_forward.bodies import read_body
from rattanmill_forward.callers import ConnectionPolicy, listen
from rattanmill_forward.routes import Limits

_HOST = "127.0.0.1"
_MB = 1024 * 1024
_MAX_SENT_MB = 64
_SHUTDOWN_SECONDS = 0.1
_HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
# What is sent once, and what is repeated.
_ENDLESS = {
    "chunks of one byte": (b"", b"1\r\nb\r\n" * 10_000),
    "chunks with extensions": (b"", (b"1;" + b"e" * 200 + b"\r\nb\r\n") * 300),
    "a chunk extension": (b"1;", b"e" * 65_536),
}


@given("a front end's listener")
def step_listener(context):
    context.metrics = mock.create_autospec(Metrics)
    context.bodies = []
    context.read_sizes = []


def _run(context, send):
    """Runs ``send``, a function of a connection to the listener."""
    received = RequestHandler.data_received

    def record(handler, data):
        context.read_sizes.append(len(data))
        received(handler, data)

    async def handle(request):
        body = await read_body(request, 4 * _MB, True)
        context.bodies.append(body)
        return web.Response(text="done")

    async def run():
        policy = ConnectionPolicy(Limits, True, context.metrics)
        with socket.create_server((_HOST, 0)) as free:
            port = free.getsockname()[1]
        listener = await listen(
            f"{_HOST}:{port}", handle, policy, _SHUTDOWN_SECONDS
        )
        await send(*await asyncio.open_connection(_HOST, port))
        await listener.cleanup()

    with mock.patch.object(RequestHandler, "data_received", record):
        asyncio.run(run())


@when("a caller sends {what} without an end")
def step_send_endlessly(context, what):
    start, part = _ENDLESS[what]
    context.sent = 0
    context.is_closed = False

    async def send(reader, writer):
        writer.write(_HEAD + start)
        try:
            while context.sent < _MAX_SENT_MB * _MB:
                writer.write(part)
                await writer.drain()
                context.sent += len(part)
                # Drained at once while the socket takes it.
                await asyncio.sleep(0)
        except ConnectionError:
            context.is_closed = True
        writer.close()

    _run(context, send)


@when("a caller sends a body of {size:d} bytes in chunks of {chunk:d} bytes")
def step_send(context, size, chunk):
    sizes = itertools.repeat(chunk, size // chunk)
    rest = [size % chunk] if size % chunk else []
    chunks = [b"%x\r\n%s\r\n" % (n, b"b" * n) for n in [*sizes, *rest]]

    async def send(reader, writer):
        writer.write(b"".join([_HEAD, *chunks, b"0\r\n\r\n"]))
        assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"
        writer.close()

    _run(context, send)


@then("the caller is cut off before {size:d} MB are sent")
def step_closed(context, size):
    assert context.is_closed
    assert context.sent <= size * _MB, context.sent


@then('{count:d} request of a caller was refused as "{reason}"')
@then('{count:d} requests of a caller were refused as "{reason}"')
def step_refused(context, count, reason):
    calls = context.metrics.refused.call_args_list
    reasons = [call.args[0].reason for call in calls]
    assert reasons.count(reason) == count, reasons


@then("no more than {size:d} KB of it were parsed in a row")
def step_read_sizes(context, size):
    assert max(context.read_sizes) <= size * 1024, max(context.read_sizes)


@then("the request has {size:d} bytes")
def step_has_body(context, size):
    ((body, rest),) = context.bodies
    assert rest is None
    assert body == b"b" * size, len(body)
