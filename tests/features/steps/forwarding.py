"""Steps for replies that are forwarded between instances and to callers."""

import asyncio
import contextlib
import http.client
import io
import random
import socket
from types import SimpleNamespace
from unittest import mock

import zmq
from aiohttp import web
from behave import given, then, when

from rattanmill_core import MemoryBudget, Metrics, Ran
from rattanmill_entry.edge import edge_middleware
from rattanmill_entry.http import caller_routes
from rattanmill_entry.replies import (
    JSON_HEADERS,
    STREAM_HEADERS,
    whole_reply,
)
from rattanmill_wire import (
    CallKind,
    CallStart,
    ReplyChunk,
    ReplyEnd,
    ReplyHead,
)
from rattanmill_wire.peers import PeerHub, PeerSecret

_BODY_BYTES = 1024 * 1024
_SECONDS = 5.0
_ATTEMPTS = 2
_PARTS = [b"a", b"b"]
_BODY = b'{"an":"answer"}' * 40_000
_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"a"}}]}\n\n'
_REQUESTS = {
    "a streamed answer": b'{"model":"m","messages":[{}],"stream":true}',
    "a whole answer": b'{"model":"m","messages":[{}]}',
}


def _free_address():
    with socket.create_server(("127.0.0.1", 0)) as free:
        return f"127.0.0.1:{free.getsockname()[1]}"


def _replies_of(call, fault):
    """Returns the replies of an owner up to its fault."""
    head = ReplyHead(call, 200, STREAM_HEADERS)
    first, second = ReplyChunk(call, 0, b"a"), ReplyChunk(call, 1, b"b")
    end = ReplyEnd(call, 2)
    return {
        "end after a part": [head, first],
        "fail after a part": [head, first, ValueError("unforeseen")],
        "leave out a part": [head, second, end],
        "leave out the last part": [head, first, end],
        "begin twice": [head, first, head, second, end],
    }[fault]


@given("an owner whose replies {fault}")
def step_owner(context, fault):
    async def serve(start):
        for reply in _replies_of(start.call, fault):
            if isinstance(reply, Exception):
                raise reply
            yield reply

    context.serve = serve


def _hub(name, secret, serve, address=None, memory=None):
    return PeerHub(
        name,
        address or _free_address(),
        secret,
        Metrics(),
        serve,
        mock.Mock(),
        _SECONDS,
        memory,
    )


async def _forward(serve):
    """Returns the replies of a call that one hub forwards to another."""
    public, secret = zmq.curve_keypair()
    pair = PeerSecret(secret, public)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: None)
    async with _hub("owner", pair, serve) as owner, _hub("a", pair, serve) as a:
        peer = a.peer("owner", owner.address)
        call = peer.call(CallStart("c", CallKind.CHAT), lambda: False)
        async with asyncio.timeout(_SECONDS / 2):
            replies = [reply async for reply in call]
        peer.close()
        return replies


@when("a call is forwarded to it")
def step_forwarded(context):
    context.replies = asyncio.run(_forward(context.serve))


@then('the call ends as "{reason}" after its parts')
def step_refused(context, reason):
    *parts, last = context.replies
    assert last.refusal.reason == reason, context.replies
    assert parts[0].status == 200, parts
    assert all(isinstance(p, ReplyChunk) for p in parts[1:]), parts


@given("an owner that is not running")
def step_owner_stopped(context):
    context.served = []
    has_both = asyncio.Event()

    async def serve(start):
        context.served.append(start)
        yield ReplyHead(start.call, 200, STREAM_HEADERS)
        if len(context.served) == _ATTEMPTS:
            has_both.set()
        async with asyncio.timeout(_SECONDS / 2):
            await has_both.wait()
        for sequence, part in enumerate(_PARTS):
            yield ReplyChunk(start.call, sequence, part)
        yield ReplyEnd(start.call, len(_PARTS))

    context.serve = serve


@when("a call to it is given up, and sent again once the owner runs")
def step_send_again(context):
    context.replies = asyncio.run(_send_again(context.serve))


async def _send_again(serve):
    """Returns the replies to the second attempt of a call."""
    public, secret = zmq.curve_keypair()
    pair = PeerSecret(secret, public)
    address = _free_address()
    start = CallStart("c", CallKind.CHAT)
    async with _hub("a", pair, serve) as a:
        peer = a.peer("owner", address)
        given_up = [r async for r in peer.call(start, lambda: True)]
        assert given_up[0].refusal.reason == "owner_unreachable", given_up
        async with _hub("owner", pair, serve, address):
            return [r async for r in peer.call(start, lambda: False)]


@then("the owner has served both attempts")
def step_both_served(context):
    assert len(context.served) == _ATTEMPTS, context.served
    assert {start.call for start in context.served} == {"c"}, context.served


@then("the replies to the second one are whole")
def step_whole(context):
    head, *chunks, end = context.replies
    assert isinstance(head, ReplyHead), context.replies
    assert isinstance(end, ReplyEnd), context.replies
    assert [chunk.data for chunk in chunks] == _PARTS, context.replies


@given("a front door whose replies end after a part")
def step_door(context):
    async def dispatch(node, start):
        if start.stream:
            yield ReplyHead(start.call, 200, STREAM_HEADERS)
            yield ReplyChunk(start.call, 0, _EVENT)
            return
        head, first, *_ = whole_reply(start, 200, JSON_HEADERS, _BODY)
        yield head
        yield first

    context.dispatch = dispatch


@contextlib.asynccontextmanager
async def _door(dispatch):
    limits = SimpleNamespace(
        connections=10, receive_seconds=_SECONDS, body_bytes=_BODY_BYTES
    )
    node = SimpleNamespace(
        metrics=Metrics(),
        settings=limits,
        draining=False,
        in_flight=0,
        busy_connections=set(),
        bodies=MemoryBudget(64 * _BODY_BYTES),
    )
    app = web.Application(middlewares=[edge_middleware(node)])
    app.add_routes(caller_routes(node))
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    try:
        with mock.patch("rattanmill_entry.http.dispatch", dispatch):
            address = _free_address()
            host, port = address.split(":")
            await web.TCPSite(runner, host, int(port)).start()
            yield address
    finally:
        await runner.cleanup()


async def _request(dispatch, version, body):
    """Returns all that the caller receives until the connection closes."""
    async with _door(dispatch) as address, asyncio.timeout(_SECONDS):
        reader, writer = await asyncio.open_connection(*address.split(":"))
        head = (
            f"POST /v1/chat/completions {version}\r\nHost: x\r\n"
            f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        received = b""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                received += data
        writer.close()
        return received


@when("{version} callers request {answer}")
def step_request(context, version, answer):
    context.streamed = answer == "a streamed answer"
    context.received = asyncio.run(
        _request(context.dispatch, version, _REQUESTS[answer])
    )


class _Received:
    """Bytes in the form of a socket, for the parser of responses."""

    def __init__(self, data):
        self.data = data

    def makefile(self, mode):
        """Returns the bytes as a file."""
        return io.BytesIO(self.data)


@then("the response is recognizably incomplete")
def step_incomplete(context):
    response = http.client.HTTPResponse(_Received(context.received))
    response.begin()
    assert response.status == 200, context.received[:300]
    try:
        body = response.read()
    except http.client.IncompleteRead as error:
        assert error.partial == _BODY[: len(error.partial)]
        return
    assert context.streamed, body[:300]
    events = body.split(b"\n\n")
    assert b"[DONE]" not in body, body
    assert events[0] + b"\n\n" == _EVENT, body
    assert b'"error":' in events[1] and not events[2], body


@given("an owner with memory for {size:d} bytes, of which {used:d} are used")
def step_owner_memory(context, size, used):
    context.memory = MemoryBudget(size)
    assert context.memory.hold().grow(used)
    context.served = []

    async def serve(start):
        context.served.append(start.body)
        for reply in whole_reply(start, 200, JSON_HEADERS, b"{}"):
            yield reply

    context.serve = serve


@when("a call with a body of {size:d} bytes is forwarded to it")
def step_forward_long(context, size):
    context.body = random.Random(size).randbytes(size)
    context.replies = asyncio.run(_forward_body(context))


async def _forward_body(context):
    """Returns the replies of a call with a body."""
    public, secret = zmq.curve_keypair()
    pair = PeerSecret(secret, public)
    owner = _hub("owner", pair, context.serve, memory=context.memory)
    async with owner, _hub("a", pair, context.serve) as a:
        start = CallStart("c", CallKind.SERVICE, body=context.body)
        call = a.peer("owner", owner.address).call(start, lambda: False)
        async with asyncio.timeout(_SECONDS):
            return [reply async for reply in call]


@then("the call has reached the owner as it was sent")
def step_reached(context):
    assert context.served == [context.body]
    assert context.replies[0].status == 200, context.replies


@then('the call is refused with "{reason}"')
def step_call_refused(context, reason):
    (reply,) = context.replies
    assert reply.refusal.reason == reason, reply
    assert reply.refusal.ran == Ran.NO, reply
    assert not context.served


@then("the owner holds {used:d} bytes afterwards")
def step_held_afterwards(context, used):
    assert context.memory.held_bytes == used, context.memory.held_bytes
