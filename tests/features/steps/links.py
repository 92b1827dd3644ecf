"""Steps for requests between instances, over real sockets."""

import asyncio
import contextlib
import os
import socket
import struct
import time
from collections.abc import Callable
from unittest import mock

import zmq
from behave import given, then, when

from rattanmill_core import Metrics
from rattanmill_keeper.messages import Fetch, Unsure, codec
from rattanmill_wire import RequestLink, RequestServer, ServerLimits
from rattanmill_wire.acceptance import shut_down
from rattanmill_wire.parts import split

_SECONDS = 5.0
_SHORT_TIMEOUT_SECONDS = 0.1
_CLOSE_WAIT_SECONDS = 0.02
_POLL_SECONDS = 0.005
_POLLS = 1000
_MB = 1024 * 1024
# Greeting and first command of ZMTP 3.0 without authentication.
_GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(52, b"\0")
_READY = b"\x05READY\x0bSocket-Type\x00\x00\x00\x06"
_LONG_FRAME = struct.pack(">BQ", 2, 3 * 1024 * _MB)
_ENDLESS_PARTS = 200
_METRICS = Metrics()
_CODEC = codec()
_REFUSAL = Unsure("no memory")


class CountingLoop(asyncio.SelectorEventLoop):
    """Event loop that counts its steps."""

    def __init__(self) -> None:
        super().__init__()
        self.steps = 0

    def call_soon(self, *args, **fields):
        """Counts a step and schedules it."""
        self.steps += 1
        return super().call_soon(*args, **fields)


class Peer:
    """A server that records its requests, with a client that calls it."""

    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.link = RequestLink(self.address, _CODEC)
        self.requests: list[str] = []
        self.replies: list[tuple[str, Fetch | None]] = []
        self.pauses: list[float] = []
        self.stack = contextlib.AsyncExitStack()

    async def listen(
        self,
        serve: Callable | None = None,
        limits: ServerLimits | None = None,
    ) -> None:
        """Starts the server."""
        self.server = await self.stack.enter_async_context(
            RequestServer(
                self.address,
                _CODEC,
                serve or self.serve,
                _METRICS,
                limits,
                _REFUSAL,
            )
        )

    def answer(self, message: Fetch) -> Fetch:
        """Replies immediately with the text of the request."""
        self.requests.append(message.turn)
        return Fetch(message.turn)

    async def serve(self, message: Fetch) -> Fetch:
        """Replies with the text of the request, after a pause if set."""
        self.requests.append(message.turn)
        if self.pauses:
            await asyncio.sleep(self.pauses.pop())
        return Fetch(message.turn)

    async def ask(self, text: str, seconds: float = _SECONDS) -> None:
        """Sends a request and records the reply."""
        reply = await self.link.ask(Fetch(text), seconds)
        self.replies.append((text, reply))


class EndlessSender:
    """Sends a message that never ends.

    Attributes:
        sent_mb: Megabytes of it that were sent.
        is_closed: Whether the connection was closed meanwhile.
    """

    def __init__(self, kind: bytes) -> None:
        self.ready = _READY + kind
        self.sent_mb = 0
        self.is_closed = False
        self.ended = asyncio.Event()

    async def send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Sends it on a connection."""
        command = bytes([4, len(self.ready)]) + self.ready
        writer.write(_GREETING + command)
        await reader.readexactly(len(_GREETING))
        writer.write(_LONG_FRAME)
        try:
            for _ in range(_ENDLESS_PARTS):
                writer.write(bytes(_MB))
                await writer.drain()
                self.sent_mb += 1
        except ConnectionError:
            self.is_closed = True
        writer.close()
        self.ended.set()


class DroppingProxy:
    """Drops all data of its first connection and forwards the others."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.count = 0
        self.tasks: list[asyncio.Task] = []

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Accepts a connection."""
        self.count += 1
        handle = self._drop if self.count == 1 else self._forward
        self.tasks.append(asyncio.create_task(handle(reader, writer)))

    async def _drop(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.read(65536):
            pass

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        await asyncio.gather(
            _forward(reader, upstream_writer), _forward(upstream_reader, writer)
        )


async def _forward(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(65536):
        writer.write(data)


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def create_peer(context) -> Peer:
    context.loop = CountingLoop()
    context.peer = Peer()

    async def clean() -> None:
        context.peer.link.close()
        await context.peer.stack.aclose()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    context.scenario_stack.callback(context.loop.close)
    context.scenario_stack.callback(lambda: run(context, clean()))
    return context.peer


@given("a peer that answers requests")
def step_peer(context):
    run(context, create_peer(context).listen())


@given("a peer that answers requests immediately")
def step_peer_at_once(context):
    peer = create_peer(context)
    run(context, peer.listen(peer.answer))


@given("a peer that answers all requests immediately except one")
def step_peer_fails(context):
    peer = create_peer(context)
    context.reported = []
    context.loop.set_exception_handler(
        lambda loop, details: context.reported.append(details["exception"])
    )

    def answer(message: Fetch) -> Fetch:
        if message.turn == "fails":
            raise ValueError("fails")
        return Fetch(message.turn)

    run(context, peer.listen(answer))
    run(context, peer.ask("first"))
    peer.replies.clear()


@when("the excepted request is sent and times out")
def step_fails(context):
    async def ask() -> None:
        failing = context.peer.link.ask(Fetch("fails"), _SHORT_TIMEOUT_SECONDS)
        # A connection that delivers other replies is only slow and stays open.
        replies = await asyncio.gather(failing, context.peer.ask("beside"))
        assert replies[0] is None, replies

    run(context, ask())
    context.peer.replies.clear()


@then("the exception is reported")
def step_reported(context):
    assert [str(error) for error in context.reported] == ["fails"]


@given("a peer that answers the last requests first")
def step_late_first(context):
    run(context, create_peer(context).listen())
    context.peer.pauses = [n / 1000 for n in range(50)]


@given("a peer that is not listening yet")
def step_absent(context):
    create_peer(context)


@given("a peer whose first connection drops all data")
def step_drops(context):
    peer = create_peer(context)

    async def start() -> None:
        await peer.listen()
        proxy = DroppingProxy(peer.port)
        server = await asyncio.start_server(proxy.accept, "127.0.0.1", 0)
        peer.stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        peer.link = RequestLink(f"127.0.0.1:{port}", _CODEC)

    run(context, start())


@when("{count:d} requests are sent to it in sequence")
def step_in_turn(context, count):
    async def ask() -> None:
        await context.peer.ask("first")
        context.loop.steps = 0
        for number in range(count):
            await context.peer.ask(f"t{number}")
        context.per_request = context.loop.steps / count

    run(context, ask())


@when("{count:d} requests are sent to it concurrently")
def step_at_once(context, count):
    async def ask() -> None:
        asks = (context.peer.ask(f"t{number}") for number in range(count))
        await asyncio.gather(*asks)

    run(context, ask())


@when("a request and a reply of {size:d} bytes are sent")
def step_long(context, size):
    run(context, context.peer.ask("x" * size))


@when("a connection to it announces a message of 3 GB and begins to send it")
def step_endless_request(context):
    context.sender = EndlessSender(b"DEALER")

    async def send() -> None:
        await context.sender.send(
            *await asyncio.open_connection("127.0.0.1", context.peer.port)
        )

    run(context, send())


@given("a peer that replies with a message of 3 GB")
def step_endless_reply(context):
    peer = create_peer(context)
    context.sender = EndlessSender(b"ROUTER")

    async def listen() -> None:
        server = await asyncio.start_server(
            context.sender.send, "127.0.0.1", peer.port
        )
        peer.stack.callback(server.close)

    run(context, listen())


@then("the connection is closed before {size:d} MB are sent")
def step_closed(context, size):
    run(context, context.sender.ended.wait())
    assert context.sender.is_closed
    assert context.sender.sent_mb < size, context.sender.sent_mb


@when("a request to it times out and it begins to listen")
def step_listen_then(context):
    async def ask() -> None:
        await context.peer.ask("timed out", _SHORT_TIMEOUT_SECONDS)
        await context.peer.listen()
        await asyncio.sleep(2 * _SHORT_TIMEOUT_SECONDS)

    run(context, ask())
    assert context.peer.replies.pop() == ("timed out", None)


@when("it begins to listen during a request")
def step_listen_meanwhile(context):
    async def ask() -> None:
        asked = asyncio.create_task(context.peer.ask("early"))
        await asyncio.sleep(_SHORT_TIMEOUT_SECONDS)
        await context.peer.listen()
        await asked

    run(context, ask())


@when("a request to it times out")
def step_times_out(context):
    run(context, context.peer.ask("timed out", _SHORT_TIMEOUT_SECONDS))
    assert context.peer.replies.pop() == ("timed out", None)


class SlowCodec:
    """Codec that blocks the event loop for a time while it encodes."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.decode = _CODEC.decode

    def encode(self, message: Fetch) -> bytes:
        """Encodes a message after the delay."""
        time.sleep(self.seconds)
        return _CODEC.encode(message)


@when("the first requests of {count:d} connections take up to 1 ms to encode")
def step_slow(context, count):
    async def ask(seconds: float) -> None:
        peer = context.peer
        peer.link = RequestLink(peer.address, SlowCodec(seconds))
        await peer.ask("slow")
        peer.link.close()

    for number in range(count):
        run(context, ask(number / count / 1000))


@given("a peer that answers all requests except those it holds")
def step_peer_holds(context):
    peer = create_peer(context)

    async def serve(message: Fetch) -> Fetch:
        if message.turn == "held":
            await asyncio.Event().wait()
        return Fetch(message.turn)

    run(context, peer.listen(serve))


@when(
    "{count:d} connections send a request and, up to 3 ms later, a held request"
)
def step_begin_held(context, count):
    async def block_loop(seconds: float) -> None:
        # Busy waiting: a sleep would end too late for most connections.
        until = time.perf_counter() + seconds
        while time.perf_counter() < until:
            pass

    async def ask(seconds: float) -> None:
        peer = context.peer
        peer.link = RequestLink(peer.address, _CODEC)
        first = asyncio.create_task(peer.ask("first"))
        blocker = asyncio.create_task(block_loop(seconds))
        held = asyncio.create_task(peer.link.ask(Fetch("held"), _SECONDS))
        await asyncio.gather(first, blocker)
        held.cancel()
        await asyncio.gather(held, return_exceptions=True)
        peer.link.close()

    for number in range(count):
        run(context, ask(3 * number / count / 1000))


@when("the peer restarts")
def step_restart(context):
    async def restart() -> None:
        await context.peer.stack.aclose()
        # Lets the kernel report the closed connections before the next request.
        await asyncio.sleep(_CLOSE_WAIT_SECONDS)
        await context.peer.listen()

    run(context, restart())


@then("each gets its own reply")
def step_own_answer(context):
    replies = context.peer.replies
    assert replies
    wrong = [(text, reply) for text, reply in replies if reply != Fetch(text)]
    assert not wrong, wrong


@then("the event loop took no more than {max_steps:d} steps for each")
def step_steps(context, max_steps):
    assert context.per_request <= max_steps, context.per_request


@then("it received no request")
def step_nothing(context):
    assert context.peer.requests == [], context.peer.requests


@then("the next request gets a reply")
def step_next_answered(context):
    run(context, context.peer.ask("next"))
    assert context.peer.replies == [("next", Fetch("next"))]


async def until(is_reached: Callable[[], bool], what: str) -> None:
    """Waits while the event loop goes on."""
    for _ in range(_POLLS):
        if is_reached():
            return
        await asyncio.sleep(_POLL_SECONDS)
    raise AssertionError(what)


@given("a peer with memory for {size:d} bytes of long requests")
def step_peer_memory(context, size):
    peer = create_peer(context)
    run(context, peer.listen(limits=ServerLimits(parts_bytes=size)))
    # Nothing that arrives has stalled, however slow the test is.
    stopped = mock.patch("rattanmill_core.memory.loop_seconds", lambda: 1.0)
    stopped.start()
    context.scenario_stack.callback(stopped.stop)


@when(
    "requests to it of {first:d}, {second:d} and {third:d} bytes have arrived"
    " in part"
)
def step_partial(context, first, second, third):
    zmq_context = context.scenario_stack.enter_context(zmq.Context())
    context.sender = zmq_context.socket(zmq.DEALER)
    context.sender.linger = 0
    context.scenario_stack.callback(context.sender.close)
    context.sender.connect(f"tcp://{context.peer.address}")
    context.texts = ["x" * size for size in (first, second, third)]
    context.last_parts = []
    for number, text in enumerate(context.texts):
        *parts, last = split(_CODEC.encode(Fetch(text)))
        for part in parts:
            context.sender.send_multipart([bytes([number]), *part])
        context.last_parts.append([bytes([number]), *last])
    parts = context.peer.server.parts

    def have_arrived() -> bool:
        requests = parts.requests.values()
        missing = [len(r.data) - r.received_bytes for r in requests]
        return missing == [len(part[-1]) for part in context.last_parts]

    run(context, until(have_arrived, "the parts arrive"))


@then("a request of {size:d} bytes is refused at once")
def step_refused(context, size):
    asked = context.peer.link.ask(Fetch("x" * size), _SECONDS)
    assert run(context, asked) == _REFUSAL


@when("the others have arrived as a whole")
def step_rest(context):
    context.peer.replies.clear()
    for part in context.last_parts:
        context.sender.send_multipart(part)


@then("all of them and a request of {size:d} bytes get their own replies")
def step_all_answered(context, size):
    for number, text in enumerate(context.texts):
        run(context, until(lambda: context.sender.poll(0), "a reply arrives"))
        reply = context.sender.recv_multipart()
        assert reply[0] == bytes([number])
        assert _CODEC.decode(reply[1]) == Fetch(text)
    run(context, context.peer.ask("x" * size))
    step_own_answer(context)


@given("a peer that takes {count:d} connections")
def step_peer_connections(context, count):
    peer = create_peer(context)
    run(context, peer.listen(limits=ServerLimits(max_connections=count)))


def open_connections(context, count):
    """Opens connections to the peer that send nothing."""
    context.connections = [
        context.scenario_stack.enter_context(
            socket.create_connection(("127.0.0.1", context.peer.port))
        )
        for _ in range(count)
    ]
    for connection in context.connections:
        connection.setblocking(False)


def closed_connections(context):
    """Returns those that the peer has closed."""

    def is_closed(connection: socket.socket) -> bool:
        try:
            while connection.recv(1024):
                pass
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    return [each for each in context.connections if is_closed(each)]


@when("a request is sent to it, and {count:d} connections to it are opened")
def step_open_many(context, count):
    run(context, context.peer.ask("first"))
    context.peer.replies.clear()
    open_connections(context, count)


@then("it closes all but {count:d} of these")
def step_closes_others(context, count):
    expected = len(context.connections) - count
    run(
        context,
        until(
            lambda: len(closed_connections(context)) >= expected,
            "the others are closed",
        ),
    )
    assert len(closed_connections(context)) == expected


@when("these are closed and {count:d} others are opened")
def step_others_opened(context, count):
    for connection in context.connections:
        connection.close()
    accepted = context.peer.server.accepted
    run(context, until(lambda: len(accepted.open) == 1, "they are closed"))
    open_connections(context, count)
    run(context, until(lambda: len(accepted.open) == 1 + count, "accepted"))


@then("it closes none of these")
def step_closes_none(context):
    run(context, context.peer.link.ask(Fetch("beside"), _SECONDS))
    assert not closed_connections(context)


@then("at most {limit:d} KB arrive on each of them before they are read")
def step_unread(context, limit):
    accepted = context.peer.server.accepted.open
    expected = 1 + len(context.connections)
    run(context, until(lambda: len(accepted) == expected, "accepted"))
    for descriptor in accepted:
        with socket.socket(fileno=os.dup(descriptor)) as connection:
            size = connection.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        assert size <= limit * 1024, size


@then("a connection of another port is not shut down by its descriptor")
def step_other_port(context):
    port = context.peer.port
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        connection, _ = server.accept()
        with client, connection:
            assert not shut_down(connection.fileno(), port)
            connection.sendall(b"still open")
            assert client.recv(100) == b"still open"
            assert shut_down(connection.fileno(), server.getsockname()[1])
            assert client.recv(100) == b""
            context.closed_descriptor = os.dup(connection.fileno())
    os.close(context.closed_descriptor)


@then("neither is a file, nor a descriptor that is closed")
def step_no_connection(context):
    before = len(os.listdir("/proc/self/fd"))
    with open(os.devnull, "rb") as file:
        assert not shut_down(file.fileno(), context.peer.port)
    assert not shut_down(context.closed_descriptor, context.peer.port)
    assert len(os.listdir("/proc/self/fd")) == before
