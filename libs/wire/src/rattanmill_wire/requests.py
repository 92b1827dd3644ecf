"""Requests and replies between instances over ZeroMQ.

One ROUTER socket answers, one DEALER socket a peer asks. A request that gets
no reply in its time yields None, and the connection is made anew: one that
has gone silent without a reset would otherwise swallow all that follow.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any, Self

import msgspec
import zmq

from rattanmill_core import (
    Metrics,
    SettingsError,
    log_event,
    warn_event,
)

_QUEUE_MESSAGES = 1000
_CONNECT_MS = 500
_RECONNECT_MS = 30
_RECONNECT_MOST_MS = 300
# Requests under way at a time; more means that this process can't keep up,
# and the asker does better to ask another one.
_MOST_SERVED = 2000
# Messages taken in a row before other work has its turn.
_AT_ONCE = 50
_LINGER_MS = 100

Serve = Callable[[Any], msgspec.Struct | Awaitable[msgspec.Struct]]


class Codec:
    """Encodes and decodes a union of tagged structs as msgpack."""

    def __init__(self, messages: Any) -> None:
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(messages)

    def encode(self, message: msgspec.Struct) -> bytes:
        """Returns a message's bytes."""
        return self.encoder.encode(message)

    def decode(self, data: bytes) -> Any:
        """Returns the message, or None if it is of no kind known here."""
        try:
            return self.decoder.decode(data)
        except msgspec.DecodeError as error:
            warn_event("message_undecodable", why=str(error), bytes=len(data))
            return None


class _Socket:
    """A ZeroMQ socket on the event loop, without a future for each message.

    Its descriptor becomes readable once for any number of changes, and a call
    that sends may take that sign away. So what there is to receive is looked
    for after each sign and after each message sent.

    Args:
        kind: ZeroMQ's kind of socket.
        received: Called with the frames of each message.
        writable: Called when messages may go out again.
    """

    def __init__(
        self,
        kind: int,
        received: Callable[[list[bytes]], None],
        writable: Callable[[], None] = lambda: None,
    ) -> None:
        self.socket = zmq.Context.instance().socket(kind)
        _bound(self.socket)
        self.received = received
        self.writable = writable
        self.loop = asyncio.get_running_loop()
        self.is_due = False
        self.loop.add_reader(self.socket.fd, self._look)

    def send(self, frames: list[bytes]) -> bool:
        """Sends a message; False if there is no connection or no room.

        Raises:
            zmq.ZMQError: It can't be sent.
        """
        try:
            self.socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            is_sent = False
        else:
            is_sent = True
        events = self.socket.getsockopt(zmq.EVENTS)
        if events & zmq.POLLIN or (events & zmq.POLLOUT and not is_sent):
            self._look_soon()
        return is_sent

    def close(self, linger_ms: int = 0) -> None:
        """Closes it; what was sent has so long to get out."""
        if not self.socket.closed:
            self.loop.remove_reader(self.socket.fd)
            self.socket.close(linger=linger_ms)

    def _look_soon(self) -> None:
        if not self.is_due:
            self.is_due = True
            self.loop.call_soon(self._look)

    def _look(self) -> None:
        self.is_due = False
        for _ in range(_AT_ONCE):
            if self.socket.closed:
                return
            try:
                frames = self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                self.writable()
                return
            self.received(frames)
        self._look_soon()


class RequestServer:
    """Answers requests at one address.

    Most are answered as they come in; those that have to wait for something
    get a task of their own.

    Args:
        address: ``IP:PORT`` to bind.
        codec: Messages understood.
        serve: Returns the reply to a message, or what has to be awaited for
            it.
        metrics: Where requests that were dropped are counted.
    """

    def __init__(
        self, address: str, codec: Codec, serve: Serve, metrics: Metrics
    ) -> None:
        self.address = address
        self.codec = codec
        self.serve = serve
        self.metrics = metrics
        self.tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> Self:
        self.socket = _Socket(zmq.ROUTER, self._receive)
        try:
            self.socket.socket.bind(f"tcp://{self.address}")
        except zmq.ZMQError as error:
            self.socket.close()
            raise SettingsError(
                f"{self.address} cannot be used between instances: {error}"
            ) from error
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self.tasks:
            task.cancel()
        self.socket.close(_LINGER_MS)

    def _receive(self, frames: list[bytes]) -> None:
        is_taken = len(frames) == 3 and len(self.tasks) < _MOST_SERVED
        message = self.codec.decode(frames[2]) if is_taken else None
        if message is None:
            self.metrics.count("rattanmill_requests_dropped")
            return
        sender, number, _ = frames
        try:
            reply = self.serve(message)
        except Exception as error:
            # Raised on, it would keep others from being received.
            _report(error)
            return
        if isinstance(reply, msgspec.Struct):
            self._send(sender, number, reply)
            return
        task = asyncio.create_task(self._answer(sender, number, reply))
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    async def _answer(
        self, sender: bytes, number: bytes, reply: Awaitable[msgspec.Struct]
    ) -> None:
        self._send(sender, number, await reply)

    def _send(
        self, sender: bytes, number: bytes, reply: msgspec.Struct
    ) -> None:
        # A peer that reads nothing gets no more once its queue is full.
        self.socket.send([sender, number, self.codec.encode(reply)])

    def _ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _report(task.exception())


def _report(error: BaseException | None) -> None:
    asyncio.get_running_loop().call_exception_handler(
        {"message": "A request failed.", "exception": error}
    )


class _Channel:
    """One connection to a peer; closed only once nobody waits on it."""

    def __init__(self, address: str) -> None:
        self.socket = _Socket(zmq.DEALER, self._receive, self._send_late)
        # Without it, requests queue for a peer that is down, and reach it
        # long after their askers have given up.
        self.socket.socket.immediate = True
        self.socket.socket.connect(f"tcp://{address}")
        self.waiting: dict[bytes, asyncio.Future] = {}
        self.unsent: dict[bytes, bytes] = {}
        self.heard_at = float("-inf")
        self.is_given_up = False

    async def ask(self, number: bytes, data: bytes, seconds: float) -> bytes:
        """Sends a request and returns the reply.

        Raises:
            TimeoutError: There was none in time.
            zmq.ZMQError: It could not be sent.
        """
        loop = self.socket.loop
        future = self.waiting[number] = loop.create_future()
        timer = loop.call_later(seconds, _time_out, future)
        try:
            # In order: a message that goes out may take away the sign that
            # those before it may go out as well.
            self.unsent[number] = data
            self._send_late()
            return await future
        finally:
            timer.cancel()
            del self.waiting[number]
            self.unsent.pop(number, None)
            self._close_if_unused()

    def give_up(self) -> None:
        """Closes it once nobody waits on it any more."""
        self.is_given_up = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self.is_given_up and not self.waiting:
            self.socket.close()

    def _send_late(self) -> None:
        """Sends what had to wait for a connection, or for room."""
        while self.unsent:
            number = next(iter(self.unsent))
            if not self.socket.send([number, self.unsent[number]]):
                return
            del self.unsent[number]

    def _receive(self, frames: list[bytes]) -> None:
        number, data = frames
        self.heard_at = self.socket.loop.time()
        future = self.waiting.get(number)
        if future is not None and not future.done():
            future.set_result(data)


def _time_out(future: asyncio.Future) -> None:
    if not future.done():
        future.set_exception(TimeoutError())


class RequestLink:
    """Asks one peer.

    Attributes:
        failures: Requests in a row that got no reply.
        heard_at: Loop time of the last reply.

    Args:
        address: ``IP:PORT`` of the peer.
        codec: Messages understood.
    """

    def __init__(self, address: str, codec: Codec) -> None:
        self.address = address
        self.codec = codec
        self.failures = 0
        self.heard_at = float("-inf")
        self.numbers = itertools.count()
        self.channel: _Channel | None = None

    async def ask(self, message: msgspec.Struct, seconds: float) -> Any:
        """Returns the reply, or None if there was none in time.

        None says nothing about whether the request was carried out.
        """
        if self.channel is None:
            self.channel = _Channel(self.address)
        channel = self.channel
        number = next(self.numbers).to_bytes(8, "big")
        asked_at = asyncio.get_running_loop().time()
        try:
            data = await channel.ask(
                number, self.codec.encode(message), seconds
            )
        except (TimeoutError, zmq.ZMQError) as error:
            self._failed(channel, message, error, asked_at)
            return None
        if self.failures:
            log_event("peer_back", peer=self.address, failures=self.failures)
        self.failures = 0
        self.heard_at = asyncio.get_running_loop().time()
        return self.codec.decode(data)

    def is_heard(self, seconds: float) -> bool:
        """Whether the last request got a reply, so many seconds ago at most."""
        silence = asyncio.get_running_loop().time() - self.heard_at
        return not self.failures and silence < seconds

    def close(self) -> None:
        """Closes the connection once nobody waits for a reply on it."""
        if self.channel:
            self.channel.give_up()
        self.channel = None

    def _failed(
        self,
        channel: _Channel,
        message: msgspec.Struct,
        error: Exception,
        asked_at: float,
    ) -> None:
        if not self.failures:
            log_event(
                "peer_silent",
                peer=self.address,
                asked=type(message).__name__,
                why=str(error) or "timeout",
            )
        self.failures += 1
        # One that answers others is only slow.
        if channel is self.channel and channel.heard_at < asked_at:
            self.close()


def _bound(socket: zmq.Socket) -> None:
    socket.sndhwm = _QUEUE_MESSAGES
    socket.rcvhwm = _QUEUE_MESSAGES
    socket.linger = 0
    socket.connect_timeout = _CONNECT_MS
    socket.reconnect_ivl = _RECONNECT_MS
    socket.reconnect_ivl_max = _RECONNECT_MOST_MS
