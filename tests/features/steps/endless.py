"""Steps about endpoints that send more than an answer may have."""

import asyncio
import contextlib
import fcntl
import itertools
import random
import sys
import termios
from unittest import mock

from behave import then, when

from rattanmill_core import Metrics
from rattanmill_forward import events
from rattanmill_forward.calls import HttpCodec, ResponseHead
from rattanmill_forward.connection import (
    BrokenError,
    Connection,
    ExcessError,
)
from rattanmill_forward.endpoints import Endpoint
from rattanmill_forward.exchange import ConnectionPool, OutcomeUnknown
from rattanmill_forward.joining import StreamJoiner

_REQUEST = "r"
_WAIT_SECONDS = 20.0
_MAX_TURNS = 100_000
# Between two looks at what has arrived.
_ARRIVAL_SECONDS = 0.1
_MAX_LOOKS = 100
_PIECE_BYTES = 16 * 1024
# More than any bound; a test that reads all of it has failed.
_MAX_BYTES = 8 * 1024 * 1024
_STREAM_TYPE = "text/event-stream"
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
_FOREIGN = b"HTTP/1.1 200 X\r\nx-request-id: other\r\n"
_OWN = b"HTTP/1.1 200 X\r\nx-request-id: r\r\n"
_REJECTION = b"HTTP/1.1 503 X\r\nx-request-id: r\r\n\r\n"
# What comes first, and what comes again and again.
_BEFORE_ANSWER = {
    "interim responses": (b"", _INTERIM),
    "answers to another request": (
        b"",
        _FOREIGN + b"Content-Length: 0\r\n\r\n",
    ),
    "an answer to another request": (_FOREIGN + b"\r\n", b"no answer "),
}
_CHUNKED = _OWN + b"Transfer-Encoding: chunked\r\n\r\n"
_LINES = {
    "one status line": (b"HTTP/1.1 200 ", b"x"),
    "one header line": (b"HTTP/1.1 200 X\r\nx-more: ", b"x"),
    "header lines": (b"HTTP/1.1 200 X\r\n", b"x-more: 1\r\n"),
    "one chunk's size": (_CHUNKED, b"0"),
    "chunk extensions": (_CHUNKED + b"1", b";x=1"),
    "trailers": (_CHUNKED + b"1\r\na\r\n0\r\n", b"x-more: 1\r\n"),
}
_NO_EVENTS = {
    "an event that never ends": b"data: more\n",
    "comments": b": wait\n\n",
    "bytes that are no events": b"no answer ",
    "empty lines": b"\n\n",
}


def decode_response(status, headers):
    fields = {name.lower(): value for name, value in headers}
    return ResponseHead(status, headers, request_id=fields["x-request-id"])


def make_codec():
    return HttpCodec(
        decode_call=lambda method, target, headers: "not used",
        endpoint_headers=lambda *args: [],
        decode_response=decode_response,
        encode_refusal=lambda refusal: None,
    )


class Exchange:
    """A call to an endpoint that sends some bytes and others without end.

    Attributes:
        metrics: Metrics of the caller's side.
        is_closed: Set once the connection of the endpoint is closed.
        goes_on: Set once it sends what has no end.

    Args:
        start: What it sends first.
        again: What it sends again and again, or nothing.
    """

    def __init__(self, start, again):
        self.start = start
        self.again = again
        self.metrics = Metrics()
        self.is_closed = asyncio.Event()
        self.goes_on = asyncio.Event()

    async def serve(self, reader, writer):
        """Serves the connection."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.start)
        piece = self.again * (_PIECE_BYTES // max(1, len(self.again)))
        try:
            await self.goes_on.wait()
            while piece:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
            await reader.read()
        except ConnectionError:
            pass
        self.is_closed.set()
        writer.close()

    async def send(self):
        """Returns the response."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.pool = ConnectionPool("127.0.0.1", make_codec(), self.metrics)
        endpoint = Endpoint("one", "app", "east", f"{host}:{port}", 4, False)
        return await self.pool.send(
            endpoint,
            "GET",
            "/",
            [("Host", "a"), ("Content-Length", "0")],
            b"",
            _REQUEST,
        )


def play(start, again, use, waits=False):
    """Returns what ``use`` makes of an exchange and its response.

    Args:
        start: What the endpoint sends first.
        again: What it sends again and again, or nothing.
        use: Function that uses exchange and response.
        waits: Whether the endpoint goes on only when it is told to.
    """

    async def run():
        exchange = Exchange(start, again)
        if not waits:
            exchange.goes_on.set()
        async with asyncio.timeout(_WAIT_SECONDS):
            response = await exchange.send()
            result = await use(exchange, response)
        for connection in exchange.pool.active:
            connection.abort()
        exchange.pool.close()
        await exchange.is_closed.wait()
        exchange.server.close()
        return result

    return asyncio.run(run())


@when("an endpoint sends {what} without end in place of an answer")
def step_before_answer(context, what):
    async def use(exchange, response):
        await exchange.is_closed.wait()
        context.metrics = exchange.metrics
        return response

    with _counting_parsed() as parsed:
        context.response = play(*_BEFORE_ANSWER[what], use)
    context.byte_count = sum(parsed)


@when("an endpoint sends {lines} without end within its answer")
def step_within_answer(context, lines):
    async def use(exchange, response):
        if not isinstance(response, OutcomeUnknown):
            try:
                with response:
                    async for _ in response.chunks():
                        pass
            except BrokenError as error:
                response = OutcomeUnknown(str(error))
        await exchange.is_closed.wait()
        return response

    with _counting_parsed() as parsed:
        context.response = play(*_LINES[lines], use)
    context.byte_count = sum(parsed)


@contextlib.contextmanager
def _counting_parsed():
    """Yields a list that gets the bytes parsed of each closed connection."""
    parsed = []
    abort = Connection.abort

    def count(connection):
        parsed.append(connection.received_bytes)
        abort(connection)

    with mock.patch.object(Connection, "abort", count):
        yield parsed


@then("the answer is broken off, and its connection closed")
@then("the call is given up, and may have run")
def step_given_up(context):
    assert isinstance(context.response, OutcomeUnknown), context.response


@then('the excess "{excess}" is counted once')
def step_counted(context, excess):
    counts = context.metrics.recorder.counts
    series = ("rattanmill_excess_answers", (("excess", excess),))
    assert counts.get(series) == 1, counts


@then("fewer than {limit:d} KB were {done}")
def step_few(context, limit, done):
    assert 0 < context.byte_count < limit * 1024, context.byte_count


@when(
    "an endpoint sends {count:d} interim responses and a foreign one, then the"
    " answer"
)
def step_sound(context, count):
    async def use(exchange, response):
        with response:
            return [chunk async for chunk in response.chunks()]

    foreign = _FOREIGN + b"Content-Length: 5\r\n\r\nother"
    own = _OWN + b"Content-Length: 4\r\n\r\nmine"
    context.body = play(_INTERIM * count + foreign + own, b"", use)


@then("the call is answered whole")
def step_answered(context):
    assert b"".join(context.body) == b"mine", context.body


@when("an endpoint rejects a call, with a body without end")
def step_rejection(context):
    async def use(exchange, response):
        with response:
            try:
                await response.discard(_PIECE_BYTES)
            except ExcessError as error:
                return error

    context.error = play(_REJECTION, b"no answer ", use)


@then('reading the rejection ends with the excess "{excess}"')
def step_rejected(context, excess):
    assert context.error.excess == excess, context.error


@when("an endpoint sends a body without end and nobody reads it")
def step_unread(context):
    async def use(exchange, response):
        protocol = response.connection.protocol
        for _ in range(_MAX_TURNS):
            if protocol.is_reading_paused:
                break
            await asyncio.sleep(0)
        with response:
            assert protocol.is_reading_paused
            return len(protocol.received)

    context.held = play(_OWN + b"\r\n", b"no answer ", use)


@when("an endpoint sends a body without end and all that fits has arrived")
def step_arrived(context):
    async def use(exchange, response):
        protocol = response.connection.protocol
        descriptor = protocol.transport.get_extra_info("socket").fileno()
        held = -1
        with response:
            for _ in range(_MAX_LOOKS):
                before, held = held, _held_bytes(protocol, descriptor)
                if held == before:
                    return held
                await asyncio.sleep(_ARRIVAL_SECONDS)
        raise AssertionError("there is always more")

    context.held = play(_OWN + b"\r\n", b"no answer ", use)


def _held_bytes(protocol, descriptor):
    unread = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4))
    return len(protocol.received) + int.from_bytes(unread, sys.byteorder)


@then("at most {limit:d} KB of it are held")
def step_held(context, limit):
    assert 0 < context.held <= limit * 1024, context.held


async def count_rows(items, count):
    """Returns how many items came in a row each time, without a turn between.

    Args:
        items: An asynchronous iterator.
        count: Number of items to read.
    """
    turn = 0

    async def take_turns():
        nonlocal turn
        while True:
            turn += 1
            await asyncio.sleep(0)

    other = asyncio.create_task(take_turns())
    rows = {}
    async for _ in items:
        rows[turn] = rows.get(turn, 0) + 1
        count -= 1
        if not count:
            break
    other.cancel()
    return rows


@when("an endpoint sends small chunks without end and {count:d} are read")
def step_small_chunks(context, count):
    async def use(exchange, response):
        with response:
            return await count_rows(response.chunks(), count)

    start = _OWN + b"Transfer-Encoding: chunked\r\n\r\n"
    context.rows = play(start, b"1\r\nx\r\n", use)


@then("others had their turn after each {limit:d} of them")
def step_turns(context, limit):
    assert max(context.rows.values()) <= limit, max(context.rows.values())


class Response:
    """A response whose body comes in pieces.

    Attributes:
        byte_count: Bytes that were read.

    Args:
        pieces: The pieces.
        content_type: Its type.
    """

    def __init__(self, pieces, content_type=_STREAM_TYPE):
        self.pieces = pieces
        self.head = ResponseHead(200, [], content_type=content_type)
        self.byte_count = 0

    async def chunks(self):
        """Yields the body."""
        for piece in self.pieces:
            self.byte_count += len(piece)
            yield piece


def without_end(data):
    piece = data * (_PIECE_BYTES // len(data))
    return itertools.repeat(piece, _MAX_BYTES // len(piece))


async def read_stream(context, joiner, response):
    """Reads a stream as far as its caller gets it."""
    context.error = None
    context.got = []
    joiner.begin(response.head)
    try:
        async for block in joiner.blocks(response):
            context.got.append(block)
    except BrokenError as error:
        context.error = error
    context.byte_count = response.byte_count


@when("a chunk of {count:d} events is read")
def step_one_chunk(context, count):
    joiner = StreamJoiner()
    response = Response([b"data: a\n\n" * count])
    joiner.begin(response.head)
    context.rows = asyncio.run(count_rows(joiner.blocks(response), count))


@when("an endpoint goes on sending after an answer")
def step_after_answer(context):
    async def use(exchange, response):
        with response:
            async for _ in response.chunks():
                pass
        assert exchange.pool.has_open_idle(response.connection.endpoint)
        exchange.goes_on.set()
        await exchange.is_closed.wait()
        return exchange.is_closed.is_set()

    start = _OWN + b"Content-Length: 0\r\n\r\n"
    context.is_closed = play(start, b"no answer ", use, waits=True)


@then("its connection is closed at once")
def step_closed(context):
    assert context.is_closed


@when("a stream consists of {what} without end")
def step_no_events(context, what):
    response = Response(without_end(_NO_EVENTS[what]))
    asyncio.run(read_stream(context, StreamJoiner(), response))


@when(
    "a stream that goes on after event {number:d} consists of comments without"
    " end"
)
def step_resumed(context, number):
    joiner = StreamJoiner()
    first = Response([b"id: %d\ndata: a\n\n" % n for n in range(1, number + 1)])
    asyncio.run(read_stream(context, joiner, first))
    response = Response(without_end(_NO_EVENTS["comments"]))
    asyncio.run(read_stream(context, joiner, response))


@then('it is given up for the excess "{excess}"')
def step_excess(context, excess):
    assert isinstance(context.error, ExcessError), context.error
    assert context.error.excess == excess, context.error


@when("a stream has {count:d} events with comments between them")
def step_long(context, count):
    context.sent = b": wait\n\ndata: a\n\n" * count
    response = Response(split(context.sent))
    asyncio.run(read_stream(context, StreamJoiner(), response))


def split(data, size=_PIECE_BYTES):
    return [data[n : n + size] for n in range(0, len(data), size)]


@when("a stream's answer is a JSON document of {size:d} MB")
def step_document(context, size):
    context.sent = b'["%s"]' % (b"x" * (size * 1024 * 1024))
    response = Response(split(context.sent), "application/json")
    asyncio.run(read_stream(context, StreamJoiner(), response))


@then("its caller gets all of it")
def step_all(context):
    assert context.error is None, context.error
    got = b"".join(block.raw for block in context.got)
    assert got == context.sent, (len(got), len(context.sent))


@when(
    "a turn of at most {max_events:d} events and {max_bytes:d} bytes has"
    " {count:d} events"
)
def step_turn(context, max_events, max_bytes, count):
    joiner = StreamJoiner()
    joiner.max_events = max_events
    joiner.max_data_bytes = max_bytes
    context.sent = b"data: words\n\n" * count
    response = Response(split(context.sent))
    asyncio.run(read_stream(context, joiner, response))


@then("its caller got {count:d} events")
def step_got(context, count):
    assert len(context.got) == count, len(context.got)


def search_all(pieces):
    """Returns blocks and rest of a stream; searches from its start."""
    blocks, rest = [], b""
    for piece in pieces:
        rest += piece
        while found := events._EMPTY_LINE.search(rest):
            blocks.append(rest[: found.end()])
            rest = rest[found.end() :]
    return blocks, rest


def read_all(pieces):
    reader = events.BlockReader()
    blocks = [block.raw for piece in pieces for block in reader.feed(piece)]
    return blocks, reader.buffer


def draw_pieces(seed):
    rng = random.Random(seed)
    parts = [b"\r", b"\n", b"\r\n", b"a", b"data: abcdefgh"]
    data = b"".join(rng.choices(parts, k=rng.randint(1, 60)))
    return split(data, rng.randint(1, 9))


@then(
    "{count:d} drawn streams in pieces have the blocks that each search finds"
)
def step_pieces(context, count):
    drawn = map(draw_pieces, range(count))
    wrong = [p for p in drawn if read_all(p) != search_all(p)]
    assert not wrong, (len(wrong), wrong[:3])
    found = sum(len(read_all(draw_pieces(seed))[0]) for seed in range(count))
    assert found > count, found
