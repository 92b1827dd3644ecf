"""Steps about requests between instances, over real sockets."""

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable

from behave import given, then, when

from rattanmill_core import Metrics
from rattanmill_keeper.messages import Fetch, codec
from rattanmill_wire import RequestLink, RequestServer

_SECONDS = 5.0
_IN_VAIN_SECONDS = 0.1
_LATE_SECONDS = 0.02
_METRICS = Metrics()
_CODEC = codec()


class CountingLoop(asyncio.SelectorEventLoop):
    """Counts its steps."""

    def __init__(self) -> None:
        super().__init__()
        self.steps = 0

    def call_soon(self, *args, **fields):
        """Plans a step as usual."""
        self.steps += 1
        return super().call_soon(*args, **fields)


class Peer:
    """A peer that says what it was asked, and who asks it."""

    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.link = RequestLink(self.address, _CODEC)
        self.asked: list[str] = []
        self.answers: list[tuple[str, Fetch | None]] = []
        self.pauses: list[float] = []
        self.stack = contextlib.AsyncExitStack()

    async def listen(self, serve: Callable | None = None) -> None:
        """Begins to answer."""
        await self.stack.enter_async_context(
            RequestServer(self.address, _CODEC, serve or self.serve, _METRICS)
        )

    def answer(self, message: Fetch) -> Fetch:
        """Answers with the text of the question."""
        self.asked.append(message.turn)
        return Fetch(message.turn)

    async def serve(self, message: Fetch) -> Fetch:
        """The same, late."""
        self.asked.append(message.turn)
        if self.pauses:
            await asyncio.sleep(self.pauses.pop())
        return Fetch(message.turn)

    async def ask(self, text: str, seconds: float = _SECONDS) -> None:
        """Asks and notes the answer."""
        reply = await self.link.ask(Fetch(text), seconds)
        self.answers.append((text, reply))


class SwallowingProxy:
    """Swallows all of its first connection and passes on the others."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.count = 0
        self.tasks: list[asyncio.Task] = []

    def take(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Takes a connection."""
        self.count += 1
        work = self._swallow if self.count == 1 else self._pass_on
        self.tasks.append(asyncio.create_task(work(reader, writer)))

    async def _swallow(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.read(65536):
            pass

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        there, back = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.gather(_pass_on(reader, back), _pass_on(there, writer))


async def _pass_on(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(65536):
        writer.write(data)


def run(context, work):
    return context.loop.run_until_complete(work)


def begin(context) -> Peer:
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
    run(context, begin(context).listen())


@given("a peer that answers requests at once")
def step_peer_at_once(context):
    peer = begin(context)
    run(context, peer.listen(peer.answer))


@given("a peer that answers requests at once, but for one")
def step_peer_fails(context):
    peer = begin(context)
    context.reported = []
    context.loop.set_exception_handler(
        lambda loop, what: context.reported.append(what["exception"])
    )

    def answer(message: Fetch) -> Fetch:
        if message.turn == "fails":
            raise ValueError("fails")
        return Fetch(message.turn)

    run(context, peer.listen(answer))
    run(context, peer.ask("first"))
    peer.answers.clear()


@when("that one is sent to it in vain")
def step_fails(context):
    async def ask() -> None:
        failing = context.peer.link.ask(Fetch("fails"), _IN_VAIN_SECONDS)
        # One that answers others is only slow: the connection stays.
        said = await asyncio.gather(failing, context.peer.ask("beside"))
        assert said[0] is None, said

    run(context, ask())
    context.peer.answers.clear()


@then("the fault is reported")
def step_reported(context):
    assert [str(error) for error in context.reported] == ["fails"]


@given("a peer that answers requests, late ones first")
def step_late_first(context):
    run(context, begin(context).listen())
    context.peer.pauses = [n / 1000 for n in range(50)]


@given("a peer that does not listen yet")
def step_absent(context):
    begin(context)


@given("a peer whose first connection swallows all")
def step_swallows(context):
    peer = begin(context)

    async def start() -> None:
        await peer.listen()
        proxy = SwallowingProxy(peer.port)
        server = await asyncio.start_server(proxy.take, "127.0.0.1", 0)
        peer.stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        peer.link = RequestLink(f"127.0.0.1:{port}", _CODEC)

    run(context, start())


@when("{count:d} requests are sent to it, one after the other")
def step_in_turn(context, count):
    async def ask() -> None:
        await context.peer.ask("first")
        context.loop.steps = 0
        for number in range(count):
            await context.peer.ask(f"t{number}")
        context.per_request = context.loop.steps / count

    run(context, ask())


@when("{count:d} requests are sent to it at once")
def step_at_once(context, count):
    async def ask() -> None:
        asks = (context.peer.ask(f"t{number}") for number in range(count))
        await asyncio.gather(*asks)

    run(context, ask())


@when("a request and an answer of {size:d} bytes are sent")
def step_long(context, size):
    run(context, context.peer.ask("x" * size))


@when("it is asked in vain, and begins to listen then")
def step_listen_then(context):
    async def ask() -> None:
        await context.peer.ask("in vain", _IN_VAIN_SECONDS)
        await context.peer.listen()
        await asyncio.sleep(2 * _IN_VAIN_SECONDS)

    run(context, ask())
    assert context.peer.answers.pop() == ("in vain", None)


@when("it is asked, and begins to listen meanwhile")
def step_listen_meanwhile(context):
    async def ask() -> None:
        asked = asyncio.create_task(context.peer.ask("early"))
        await asyncio.sleep(_IN_VAIN_SECONDS)
        await context.peer.listen()
        await asked

    run(context, ask())


@when("it is asked in vain")
def step_in_vain(context):
    run(context, context.peer.ask("in vain", _IN_VAIN_SECONDS))
    assert context.peer.answers.pop() == ("in vain", None)


class SlowCodec:
    """Takes its time to encode, during which the event loop stands still."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.decode = _CODEC.decode

    def encode(self, message: Fetch) -> bytes:
        """Encodes a message."""
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


@given("a peer that answers requests, but for some that it holds back")
def step_peer_holds(context):
    peer = begin(context)

    async def serve(message: Fetch) -> Fetch:
        if message.turn == "held":
            await asyncio.Event().wait()
        return Fetch(message.turn)

    run(context, peer.listen(serve))


@when(
    "{count:d} connections begin with a request and, up to 3 ms later, a held"
    " one"
)
def step_begin_held(context, count):
    async def stand_still(seconds: float) -> None:
        # Not asleep: the end of that is too late for most connections.
        until = time.perf_counter() + seconds
        while time.perf_counter() < until:
            pass

    async def ask(seconds: float) -> None:
        peer = context.peer
        peer.link = RequestLink(peer.address, _CODEC)
        first = asyncio.create_task(peer.ask("first"))
        still = asyncio.create_task(stand_still(seconds))
        held = asyncio.create_task(peer.link.ask(Fetch("held"), _SECONDS))
        await asyncio.gather(first, still)
        held.cancel()
        await asyncio.gather(held, return_exceptions=True)
        peer.link.close()

    for number in range(count):
        run(context, ask(3 * number / count / 1000))


@when("the peer starts again")
def step_start_again(context):
    async def start_again() -> None:
        await context.peer.stack.aclose()
        # The kernel tells of the end before anything new is asked.
        await asyncio.sleep(_LATE_SECONDS)
        await context.peer.listen()

    run(context, start_again())


@then("each has its own answer")
def step_own_answer(context):
    answers = context.peer.answers
    assert answers
    wrong = [(text, said) for text, said in answers if said != Fetch(text)]
    assert not wrong, wrong


@then("the event loop took no more than {most:d} steps for each")
def step_steps(context, most):
    assert context.per_request <= most, context.per_request


@then("it is asked for nothing")
def step_nothing(context):
    assert context.peer.asked == [], context.peer.asked


@then("the next request is answered")
def step_next_answered(context):
    run(context, context.peer.ask("next"))
    assert context.peer.answers == [("next", Fetch("next"))]
