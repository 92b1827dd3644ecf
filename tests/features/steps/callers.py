"""Steps about callers that send without an end, on real sockets."""

import asyncio
import collections
import itertools
import socket
from unittest import mock

import h11
from aiohttp.web_protocol import RequestHandler
from behave import given, then, when

from rattanmill_core import Metrics, Refusal
from rattanmill_core.metricserver import MetricsServer
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

    policy = ConnectionPolicy(Limits, True, context.metrics)

    async def handle(request):
        with policy.memory.hold() as held:
            body = await read_body(request, 4 * _MB, True, held)
        if isinstance(body, Refusal):
            context.metrics.refused(body)
            return web.Response(status=body.status)
        context.bodies.append(body)
        return web.Response(text="done")

    async def run():
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


_METRICS_HEAD = b"POST /metrics HTTP/1.1\r\nHost: a\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_LENGTH = b"Content-Length: 9999999999\r\n\r\n"
_ENDLESS_READERS = {
    "chunks of one byte": (_METRICS_HEAD + _CHUNKED, b"1\r\nb\r\n" * 1000),
    "a long body": (_METRICS_HEAD + _LENGTH, b"b" * 10_000),
    "header lines": (_METRICS_HEAD, b"A: b\r\n" * 1000),
}


@given("a server of metrics")
def step_metrics_server(context):
    context.parts = collections.Counter()


def _run_metrics(context, send):
    """Runs ``send``, a function of a connection to the server of metrics.

    Counts the parts that are parsed between two turns of other tasks.
    """
    parse = h11.Connection.next_event
    turns = [0]

    def count(connection):
        context.parts[turns[0]] += 1
        return parse(connection)

    async def take_turns():
        for turns[0] in itertools.count():
            await asyncio.sleep(0)

    async def run():
        with socket.create_server((_HOST, 0)) as free:
            port = free.getsockname()[1]
        others = asyncio.create_task(take_turns())
        async with MetricsServer(_HOST, Metrics(), port):
            reader, writer = await asyncio.open_connection(_HOST, port)
            await send(reader, writer)
            writer.close()
        others.cancel()

    with mock.patch.object(h11.Connection, "next_event", count):
        asyncio.run(run())


@when("a reader sends {what} without an end")
def step_read_endlessly(context, what):
    start, part = _ENDLESS_READERS[what]
    context.sent = 0
    context.is_closed = False

    async def send(reader, writer):
        writer.write(start)
        try:
            while context.sent < _MAX_SENT_MB * _MB:
                writer.write(part)
                await writer.drain()
                context.sent += len(part)
                # Drained at once while the socket takes it.
                await asyncio.sleep(0)
        except ConnectionError:
            context.is_closed = True

    _run_metrics(context, send)


@when("a reader sends {count:d} requests at once")
def step_read_often(context, count):
    async def send(reader, writer):
        writer.write(b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n" * count)
        for _ in range(count):
            await reader.readuntil(b"\r\n\r\n")

    _run_metrics(context, send)


@then("the reader is cut off before {size:d} MB are sent")
def step_reader_cut_off(context, size):
    assert context.is_closed
    assert context.sent <= size * _MB, context.sent


@then("other tasks had a turn after {count:d} parts at most")
def step_turns_of_others(context, count):
    assert max(context.parts.values()) <= count, context.parts.most_common(3)


@when("a caller sends {size:d} bytes of chunk extensions and waits")
def step_extensions(context, size):
    async def send(reader, writer):
        writer.write(_HEAD + b"1;" + b"e" * size)
        context.status_line = await reader.readline()
        writer.close()

    _run(context, send)


@then("it gets the refusal with status {status:d}")
def step_gets_refusal(context, status):
    expected = b"HTTP/1.1 %d" % status
    assert context.status_line.startswith(expected), context.status_line
