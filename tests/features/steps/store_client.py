"""Steps about the HTTP client of the platform's store, on real sockets."""

import asyncio
import collections
import contextlib
import itertools
import unittest.mock

import h11
from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from rattanmill_core import Metrics
from rattanmill_platform import Reply, StoreCalls, StoreClient, Unavailable
from rattanmill_platform.calls import Request

_HOST = "127.0.0.1"
_SECONDS = 5.0
_SHORT_SECONDS = 0.05
_LOOP_ROUNDS = 20
_HEAD_END = b"\r\n\r\n"
_MB = 1024 * 1024
_MAX_REPLY_BYTES = _MB
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED_HEAD = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
# What is sent once, and what is repeated.
_ENDLESS = {
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1000),
    "header lines": (_OK, b"A: b\r\n" * 1000),
    "one header line": (_OK + b"A: ", b"b" * 10_000),
    "a body without length": (_OK + b"\r\n", b"b" * 10_000),
    "a body of 1 GB": (
        _OK + b"Content-Length: 1000000000\r\n\r\n",
        b"b" * 10_000,
    ),
    "chunks": (_CHUNKED_HEAD, (b"3e8\r\n" + b"b" * 1000 + b"\r\n") * 10),
    "chunks of one byte": (_CHUNKED_HEAD, b"1\r\nb\r\n" * 1000),
    "chunks with extensions": (
        _CHUNKED_HEAD,
        (b"1;" + b"e" * 100 + b"\r\nb\r\n") * 100,
    ),
    "a chunk extension": (_CHUNKED_HEAD + b"1;", b"e" * 10_000),
    "trailers": (_CHUNKED_HEAD + b"0\r\n", b"A: b\r\n" * 1000),
}
_ANSWERS = {
    "a body that is cut off": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
    "a chunk that is cut off": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"
    ),
    "no HTTP": b"nonsense\r\n\r\n",
    "a wrong revision": (
        b"HTTP/1.1 200 OK\r\nKV-Revision: x\r\nContent-Length: 0\r\n\r\n"
    ),
    "a head without an end": b"HTTP/1.1 200 OK\r\nX: " + b"y" * 200_000,
}


class Store:
    """A store that answers each call with the call's own path.

    Attributes:
        paths: Paths of the calls received.
        connections: Number of connections accepted.
        acts: What to do with the next calls instead of answering them.
        called: Set when a call has arrived.
        released: Set when waiting calls are answered.
        sends_spare: Whether each response is sent twice.
        spare_sent: Set when a response was sent that no call asked for.
    """

    def __init__(self):
        self.paths = []
        self.connections = 0
        self.acts = iter(())
        self.called = asyncio.Event()
        self.released = asyncio.Event()
        self.spare_sent = asyncio.Event()
        self.sends_spare = False
        self.tasks = set()

    def accept(self, reader, writer):
        """Serves a connection in a task of its own."""
        self.connections += 1
        self.tasks.add(asyncio.create_task(self._serve(reader, writer)))

    async def _serve(self, reader, writer):
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            while path := await _read_call(reader):
                self.paths.append(path)
                self.called.set()
                act = next(self.acts, _answer)
                if await act(self, writer, path) is False:
                    return


async def _read_call(reader):
    try:
        head = await reader.readuntil(_HEAD_END)
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode().splitlines()
    sizes = [
        line for line in lines if line.lower().startswith("content-length:")
    ]
    if sizes:
        await reader.readexactly(int(sizes[0].split(":")[1]))
    return lines[0].split(" ")[1]


def _response(path):
    return (
        f"HTTP/1.1 200 OK\r\nKV-Revision: 7\r\n"
        f"Content-Length: {len(path)}\r\n\r\n{path}"
    ).encode()


async def _answer(store, writer, path):
    if path == "/waits":
        await store.released.wait()
    writer.write(_response(path))


async def _answer_and_end(store, writer, path):
    writer.write(_response(path))
    return False


async def _end(store, writer, path):
    return False


async def _answer_twice(store, writer, path):
    writer.write(_response(path) * 2)
    store.spare_sent.set()


async def _answer_twice_apart(store, writer, path):
    writer.write(_response(path))
    # The first one is read alone.
    await asyncio.sleep(0.005)
    writer.write(_response(path))
    store.spare_sent.set()


def _request(port, method, path, seconds=_SECONDS):
    body = b"{}" if method == "POST" else None
    return Request(method, f"http://{_HOST}:{port}", path, body, {}, seconds)


async def _let_arrive():
    """Lets the loop read what was sent on its sockets."""
    for _ in range(_LOOP_ROUNDS):
        await asyncio.sleep(0)


def _run(context, calls):
    """Runs calls, a function of a client's ``send`` and the store."""

    async def run():
        store = context.store = Store()
        store.acts = context.acts
        store.sends_spare = getattr(context, "sends_spare", False)
        server = await asyncio.start_server(store.accept, _HOST, 0)
        port = server.sockets[0].getsockname()[1]
        if context.is_absent:
            server.close()
        async with StoreClient(_HOST) as client:

            async def send(method, path, seconds=_SECONDS):
                return await client.send(_request(port, method, path, seconds))

            try:
                return await calls(send, store)
            finally:
                server.close()
                for task in store.tasks:
                    task.cancel()
                await asyncio.gather(*store.tasks, return_exceptions=True)

    context.replies = asyncio.run(run())


@given("a store that answers each call")
def step_answers(context):
    context.acts = iter(())
    context.is_absent = False


@given("no store")
def step_absent(context):
    context.acts = iter(())
    context.is_absent = True


@given("a store that ends connections {when}")
def step_ends(context, when):
    context.is_absent = False
    context.acts = {
        "while they are idle": itertools.repeat(_answer_and_end),
        "at the second call": iter((_answer, _end)),
        "at every call but the first": itertools.chain(
            (_answer,), itertools.repeat(_end)
        ),
    }[when]


@given("a store that sends each response twice, {how}")
def step_twice(context, how):
    act = {"at once": _answer_twice, "apart": _answer_twice_apart}[how]
    context.is_absent = False
    context.acts = itertools.repeat(act)
    context.sends_spare = True


@given("a store that answers with {answer}")
def step_answers_with(context, answer):
    async def act(store, writer, path):
        if answer not in _ANSWERS:
            await store.released.wait()
        writer.write(_ANSWERS[answer])
        return False

    context.is_absent = False
    context.acts = itertools.repeat(act)


@when("{reads:d} reads and {writes:d} writes are made in turn")
def step_in_turn(context, reads, writes):
    async def calls(send, store):
        replies = {}
        for index in range(reads + writes):
            path = f"/{index}"
            replies[path] = await send("GET" if index % 2 else "POST", path)
            if store.sends_spare:
                await store.spare_sent.wait()
                store.spare_sent.clear()
            await _let_arrive()
        return replies

    _run(context, calls)


@when("a read waits while {writes:d} writes are made")
def step_while_waiting(context, writes):
    async def calls(send, store):
        waiting = asyncio.create_task(send("GET", "/waits"))
        await store.called.wait()
        paths = [f"/{index}" for index in range(writes)]
        replies = {path: await send("POST", path) for path in paths}
        store.released.set()
        return {**replies, "/waits": await waiting}

    _run(context, calls)


@when("a read and then a {call} are made")
def step_then(context, call):
    async def calls(send, store):
        await send("GET", "/first")
        await _let_arrive()
        method = "GET" if call == "read" else "POST"
        return {"/second": await send(method, "/second")}

    _run(context, calls)


@when("a read is cancelled before its response, and another one is made")
def step_cancel(context):
    async def calls(send, store):
        waiting = asyncio.create_task(send("GET", "/waits"))
        await store.called.wait()
        waiting.cancel()
        await asyncio.wait([waiting])
        assert waiting.cancelled()
        store.released.set()
        return {"/other": await send("GET", "/other")}

    _run(context, calls)


@when("a write is made")
def step_write(context):
    async def calls(send, store):
        return {"/w": await send("POST", "/w", _SHORT_SECONDS)}

    _run(context, calls)


@then("all have replies")
def step_replies(context):
    _check_own_replies(context)


@then("each has its own reply")
def step_own(context):
    _check_own_replies(context)


def _check_own_replies(context):
    for path, reply in context.replies.items():
        assert reply == Reply(200, path.encode(), 7), (path, reply)


@then("they used {number:d} connection")
@then("they used {number:d} connections")
def step_connections(context, number):
    assert context.store.connections == number, context.store.connections


@then("the {call} has a reply")
def step_has_reply(context, call):
    _check_own_replies(context)


@then("the {call} has no reply")
def step_call_no_reply(context, call):
    _check_no_reply(context)


@then("it has no reply")
def step_no_reply(context):
    _check_no_reply(context)


def _check_no_reply(context):
    (reply,) = context.replies.values()
    assert isinstance(reply, Unavailable) and reply.why, reply


@then("the store received it {times}")
def step_times(context, times):
    count = context.store.paths.count("/second")
    assert count == {"once": 1, "twice": 2}[times], context.store.paths


@then("responses of any framing, cut anywhere, give the same reply")
def step_framings(context):
    _check_framings()


@settings(max_examples=60, deadline=None, derandomize=True)
@given_values(
    st.binary(max_size=300),
    st.sampled_from(("length", "chunked", "end")),
    st.lists(st.integers(0, 600), max_size=6),
)
def _check_framings(body, framing, cuts):
    head = b"HTTP/1.1 200 OK\r\nkv-revision: 12\r\n"
    data = {
        "length": b"Content-Length: %d\r\n\r\n%s" % (len(body), body),
        "chunked": b"Transfer-Encoding: chunked\r\n\r\n" + _chunked(body),
        "end": b"\r\n" + body,
    }[framing]
    bounds = [0, *sorted(cuts), len(head + data)]
    pieces = [(head + data)[a:b] for a, b in itertools.pairwise(bounds)]

    async def run():
        ended = asyncio.Event()

        async def serve(reader, writer):
            await _read_call(reader)
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0)
            writer.close()
            ended.set()

        server = await asyncio.start_server(serve, _HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with server, StoreClient(_HOST) as client:
            reply = await client.send(_request(port, "GET", "/x"))
            await ended.wait()
            return reply

    assert asyncio.run(run()) == Reply(200, body, 12)


def _chunked(body, size=100):
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
    return b"".join([*chunks, b"0\r\n\r\n"])


@given("a store that sends {what} without an end")
def step_endless(context, what):
    head, part = _ENDLESS[what]
    context.sent = 0

    async def act(store, writer, path):
        writer.write(head)
        while True:
            writer.write(part)
            await writer.drain()
            context.sent += len(part)
            # Drained at once while the socket takes it.
            await asyncio.sleep(0)

    context.act = act


def _framed(body, how):
    length = f"Content-Length: {len(body)}\r\n\r\n".encode()
    return {
        "with a length": _OK + length + body,
        "without length": _OK + b"\r\n" + body,
        "in chunks of 1 kB": _CHUNKED_HEAD + _chunked(body, 1000),
    }[how]


@given("a store that sends the largest body {how}")
def step_largest(context, how):
    data = _framed(b"b" * _MAX_REPLY_BYTES, how)

    async def act(store, writer, path):
        writer.write(data)
        return False

    context.act = act


@given("a store that sends a body in {count:d} chunks of one byte")
def step_many_parts(context, count):
    async def act(store, writer, path):
        writer.write(_CHUNKED_HEAD + _chunked(b"b" * count, 1))

    context.act = act


@given("a store that goes on sending after its response")
def step_goes_on(context):
    async def act(store, writer, path):
        writer.write(_response(path))
        # The response is read alone.
        await _let_arrive()
        while True:
            writer.write(b"b" * 10_000)
            await writer.drain()

    context.act = act


async def _take_turns(turns):
    for turns[0] in itertools.count():
        await asyncio.sleep(0)


@contextlib.contextmanager
def _counted_parts(turns, counts):
    """Counts the parts that are parsed between two turns of other tasks."""
    parse = h11.Connection.next_event

    def count(connection):
        counts[turns[0]] += 1
        return parse(connection)

    with unittest.mock.patch.object(h11.Connection, "next_event", count):
        yield


async def _read_bounded(context, rounds):
    """Reads once through a client whose responses are bounded."""
    store = Store()
    store.acts = itertools.repeat(context.act)
    server = await asyncio.start_server(store.accept, _HOST, 0)
    port = server.sockets[0].getsockname()[1]
    turns = [0]
    context.parts = collections.Counter()
    others = asyncio.create_task(_take_turns(turns))
    async with StoreClient(_HOST, _MAX_REPLY_BYTES) as client:
        context.metrics = unittest.mock.create_autospec(Metrics)
        context.calls = StoreCalls(
            f"http://{_HOST}:{port}", client.send, context.metrics
        )
        with _counted_parts(turns, context.parts):
            context.reply = await context.calls.call(
                "read", "GET", "/x", timeout=_SECONDS
            )
        for _ in range(rounds):
            await asyncio.sleep(0)
        context.held_bytes = sum(
            len(connection.protocol.received)
            for connection in itertools.chain(*client.idle.values())
        )
    server.close()
    for task in (others, *store.tasks):
        task.cancel()
    await asyncio.gather(others, *store.tasks, return_exceptions=True)


@when("a read is made")
def step_read(context):
    asyncio.run(_read_bounded(context, 0))


@when("a read is made and the store has sent for {rounds:d} turns")
def step_read_and_wait(context, rounds):
    asyncio.run(_read_bounded(context, rounds))


@then("it has no reply, because of too many bytes of {part}")
def step_oversized(context, part):
    assert isinstance(context.reply, Unavailable), context.reply
    assert context.reply.excess == part, context.reply
    assert context.calls.breaker.failures == 1
    count = unittest.mock.call(
        "rattanmill_kv_oversized", kind="read", part=part
    )
    assert context.metrics.count.mock_calls.count(count) == 1


@then("the store could send at most {size:d} MB of it")
def step_sent(context, size):
    assert context.sent <= size * _MB, context.sent


@then("it has the largest body as its reply")
def step_has_largest(context):
    assert context.reply == Reply(200, b"b" * _MAX_REPLY_BYTES, 0)


@then("others had a turn after {count:d} parts at most")
def step_turns(context, count):
    assert isinstance(context.reply, Reply), context.reply
    assert max(context.parts.values()) <= count, context.parts.most_common(3)


@then("the process holds at most {size:d} MB of it")
def step_held(context, size):
    assert context.reply == Reply(200, b"/x", 7), context.reply
    assert context.held_bytes <= size * _MB, context.held_bytes
