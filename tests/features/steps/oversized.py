"""Steps about bodies without an end, on real sockets."""

import asyncio
import contextlib
import itertools
from types import SimpleNamespace
from unittest import mock

import aiohttp
from aiohttp.client_proto import ResponseHandler
from behave import given, then, when

from rattanmill_core import Metrics
from rattanmill_entry import upstream
from rattanmill_entry.connections import bounded_connector
from rattanmill_entry.upstream import Failed, stream_chat
from rattanmill_platform import (
    Directory,
    Reply,
    StoreCalls,
    Unavailable,
    session_sender,
)
from rattanmill_policy import LoadPoller, Outcome

_HOST = "127.0.0.1"
_MB = 1024 * 1024
_PART = bytes(64 * 1024)
_SECONDS = 5.0
_SHORT_SECONDS = 0.05
# An attempt that is not broken off would go on for good.
_STREAM_SECONDS = 20.0
_HEAD_END = b"\r\n\r\n"
_OK = b"HTTP/1.1 200 OK\r\n\r\n"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_EVENT = b'data: {"choices": [{"delta": {"content": "a"}}]}\n\n'
# What is sent once, and what is repeated.
_ENDLESS = {
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1000),
    "chunks of one byte": (_CHUNKED, b"1\r\n\n\r\n" * 10_000),
    "chunks with extensions": (
        _CHUNKED,
        (b"1;" + b"e" * 100 + b"\r\n\n\r\n") * 500,
    ),
    "a chunk extension": (_CHUNKED + b"1;", b"e" * 50_000),
    "comments": (_OK, b": ping\n\n" * 8_000),
    "empty events": (_OK, b"\n\n" * 30_000),
    "events": (_OK, _EVENT * 1_000),
    "one event": (_OK + b"data: ", b"a" * 50_000),
}


@given("a server whose bodies have no end")
def step_endless(context):
    context.parts = itertools.repeat(_PART)
    context.seconds = _SECONDS


@given("a server whose bodies have {size:d} MB")
def step_long(context, size):
    context.parts = itertools.repeat(_PART, size * _MB // len(_PART))
    context.seconds = _SECONDS


@given("a server that does not respond")
def step_silent(context):
    context.parts = None
    context.seconds = _SHORT_SECONDS


@given("an engine that sends {what} without an end")
def step_endless_engine(context, what):
    context.head, part = _ENDLESS[what]
    context.parts = itertools.repeat(part)


def _run(context, read, connector=lambda: None):
    """Runs ``read``, a function of a session and the server's address."""
    context.sent = 0

    async def serve(reader, writer):
        await reader.readuntil(_HEAD_END)
        with contextlib.suppress(ConnectionError):
            await send(writer)
        writer.close()

    async def send(writer):
        if context.parts is None:
            await asyncio.sleep(_SECONDS)
        writer.write(getattr(context, "head", _OK))
        for part in context.parts or ():
            writer.write(part)
            await writer.drain()
            context.sent += len(part)
            # Drained at once while the socket takes it.
            await asyncio.sleep(0)

    async def run():
        tasks = set()

        def accept(reader, writer):
            tasks.add(asyncio.create_task(serve(reader, writer)))

        server = await asyncio.start_server(accept, _HOST, 0)
        port = server.sockets[0].getsockname()[1]
        session = aiohttp.ClientSession(
            connector=connector(), auto_decompress=False
        )
        async with server, session:
            await read(session, f"http://{_HOST}:{port}")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


@when("a key is read through a session that accepts {size:d} MB")
def step_read_key(context, size):
    context.metrics = mock.create_autospec(Metrics)

    async def read(session, base):
        send = session_sender(session, size * _MB)
        context.calls = StoreCalls(base, send, context.metrics)
        context.reply = await context.calls.call(
            "read", "GET", "/kv/a", timeout=context.seconds
        )

    _run(context, read)


@when("the instance list is read")
def step_read_list(context):
    context.lists = []

    async def read(session, base):
        async with Directory(base, session, context.lists.append):
            pass

    _run(context, read)


@when("the load report of an engine is read")
def step_read_load(context):
    context.reports = []

    async def read(session, base):
        state = SimpleNamespace(endpoint=SimpleNamespace(url=base))
        scheduler = SimpleNamespace(
            table=SimpleNamespace(states={"a": state}),
            record_load_report=lambda *report: context.reports.append(report),
        )
        await LoadPoller(scheduler, session)._poll("a")

    _run(context, read)


@when("a chat of at most {size:d} MB is streamed from it")
def step_stream(context, size):
    context.metrics = mock.create_autospec(Metrics)
    context.read_sizes = []
    context.last = None
    received = ResponseHandler.data_received

    def record(handler, data):
        context.read_sizes.append(len(data))
        received(handler, data)

    async def stream(session, base):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_STREAM_SECONDS):
                async for context.last in stream_chat(session, base, b"{}", {}):
                    pass

    with (
        mock.patch.object(ResponseHandler, "data_received", record),
        mock.patch.object(upstream, "_MAX_ANSWER_BYTES", size * _MB),
    ):
        _run(context, stream, lambda: bounded_connector(context.metrics))


@then('the attempt is broken off, because of "{why}"')
def step_broken_off(context, why):
    failed = context.last
    assert isinstance(failed, Failed), failed
    assert failed.outcome is Outcome.BROKEN, failed
    assert why in failed.detail, failed
    count = mock.call("rattanmill_responses_oversized")
    is_counted = count in context.metrics.count.mock_calls
    assert is_counted == ("framing" in why), context.metrics.count.mock_calls


@then("no more than {size:d} KB were parsed in a row")
def step_read_sizes(context, size):
    assert max(context.read_sizes) <= size * 1024, max(context.read_sizes)


@then(
    "the key-value service counts as away, because of too many bytes of {part}"
)
def step_oversized(context, part):
    assert isinstance(context.reply, Unavailable), context.reply
    assert context.reply.excess == part, context.reply
    assert context.calls.breaker.failures == 1
    count = mock.call("rattanmill_kv_oversized", kind="read", part=part)
    assert context.metrics.count.mock_calls.count(count) == 1


@then('the key-value service counts as away, because of "{why}"')
def step_away(context, why):
    assert context.reply == Unavailable(why), context.reply


@then("the read returns {size:d} MB")
def step_returns(context, size):
    assert context.reply == Reply(200, bytes(size * _MB), 0)


@then("no list is passed on")
def step_no_list(context):
    assert not context.lists


@then("no load report is recorded")
def step_no_report(context):
    assert not context.reports


@then("the server could send at most {size:d} MB")
def step_sent(context, size):
    assert 0 < context.sent <= size * _MB, context.sent
