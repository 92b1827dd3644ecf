"""Steps about bodies without an end, on real sockets."""

import asyncio
import itertools
from types import SimpleNamespace

import aiohttp
from behave import given, then, when

from rattanmill_core import Metrics
from rattanmill_platform import (
    Directory,
    Reply,
    StoreCalls,
    Unavailable,
    session_sender,
)
from rattanmill_policy import LoadPoller

_HOST = "127.0.0.1"
_MB = 1024 * 1024
_PART = bytes(64 * 1024)
_SECONDS = 5.0
_SHORT_SECONDS = 0.05
_HEAD_END = b"\r\n\r\n"
_OK = b"HTTP/1.1 200 OK\r\n\r\n"


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


def _run(context, read):
    """Runs ``read``, a function of a session and the server's address."""
    context.sent = 0

    async def serve(reader, writer):
        await reader.readuntil(_HEAD_END)
        if context.parts is None:
            await asyncio.sleep(_SECONDS)
        writer.write(_OK)
        for part in context.parts or ():
            writer.write(part)
            await writer.drain()
            context.sent += len(part)
            # Drained at once while the socket takes it.
            await asyncio.sleep(0)
        writer.close()

    async def run():
        tasks = set()

        def accept(reader, writer):
            tasks.add(asyncio.create_task(serve(reader, writer)))

        server = await asyncio.start_server(accept, _HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with server, aiohttp.ClientSession() as session:
            await read(session, f"http://{_HOST}:{port}")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


@when("a key is read through a session that accepts {size:d} MB")
def step_read_key(context, size):
    context.metrics = Metrics()

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


@then(
    "the key-value service counts as away, because of too many bytes of {part}"
)
def step_oversized(context, part):
    assert isinstance(context.reply, Unavailable), context.reply
    assert context.reply.excess == part, context.reply
    assert context.calls.breaker.failures == 1
    line = f'rattanmill_kv_oversized_total{{kind="read",part="{part}"}} 1.0'
    assert line in context.metrics.exposition().decode()


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
