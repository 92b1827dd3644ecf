"""Requests and replies between instances over ZeroMQ.

A ROUTER socket serves requests; one DEALER socket for each peer sends them. A
request without a reply before its timeout yields None, and the connection is
replaced: one that was lost without a reset would drop all later requests.

Long requests are sent in parts, so that a server bounds what it holds of those
that never end.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Self

import msgspec
import zmq

from rattanmill_core import (
    DECODE_ERRORS,
    MemoryBudget,
    Metrics,
    RepeatedEvent,
    SettingsError,
    log_event,
    warn_event,
)
from rattanmill_wire.acceptance import (
    MAX_CONNECTIONS,
    AcceptedConnections,
    bound_accepted,
)
from rattanmill_wire.parts import (
    PART_BYTES,
    Incomplete,
    PartialRequests,
    split,
)

_QUEUE_MESSAGES = 1000
_CONNECT_MS = 500
_RECONNECT_MS = 30
_MAX_RECONNECT_MS = 300
# Limit of concurrent requests. Above it, this process cannot keep up, and the
# client should use another instance.
_MAX_CONCURRENT_REQUESTS = 2000
# Messages received in a row before the event loop runs other work.
_MAX_BATCH_MESSAGES = 50
_LINGER_MS = 100
# No process has the memory to continue a longer chain of turns. A connection on
# which a longer message is announced is closed before it is read.
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# Longer messages are sent from where they are, without a copy.
_COPIED_BYTES = 64 * 1024
# As plain integers: each operation on an enumeration's member takes longer than
# sending a small message.
_NOBLOCK = int(zmq.NOBLOCK)
_MORE = int(zmq.SNDMORE) | _NOBLOCK
_RCVMORE = int(zmq.RCVMORE)
_EVENTS = int(zmq.EVENTS)
_POLLIN = int(zmq.POLLIN)
_POLLOUT = int(zmq.POLLOUT)

Serve = Callable[[Any], msgspec.Struct | Awaitable[msgspec.Struct]]


class Encoded(msgspec.Struct, frozen=True):
    """A message that is encoded once for several receivers.

    Attributes:
        kind: Name of the message's type.
        data: The encoded message.
    """

    kind: str
    data: bytes


def kind_of(message: msgspec.Struct) -> str:
    """Returns the name of a message's type."""
    if isinstance(message, Encoded):
        return message.kind
    return type(message).__name__


class Codec:
    """Encodes and decodes a union of tagged structs as msgpack."""

    def __init__(self, messages: Any) -> None:
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(messages)

    def encode(self, message: msgspec.Struct) -> bytes:
        """Returns the encoded message."""
        if isinstance(message, Encoded):
            return message.data
        return self.encoder.encode(message)

    def decode(self, data: bytes | bytearray) -> Any:
        """Returns the message, or None if its type is unknown."""
        try:
            return self.decoder.decode(data)
        except DECODE_ERRORS as error:
            warn_event("message_undecodable", why=str(error), bytes=len(data))
            return None


class _Socket:
    """A ZeroMQ socket on the event loop, without a future for each message.

    The socket's descriptor is edge-triggered: it becomes readable once for any
    number of changes, and a send may clear that event. The socket is therefore
    checked for received messages after each event and after each send.

    Args:
        kind: ZeroMQ socket type.
        received: Called with the frames of each message.
        writable: Called when messages may be sent again.
    """

    def __init__(
        self,
        kind: int,
        received: Callable[[list[bytes]], None],
        writable: Callable[[], None] = lambda: None,
    ) -> None:
        self.socket = zmq.Context.instance().socket(kind)
        _set_options(self.socket)
        self.received = received
        self.writable = writable
        self.loop = asyncio.get_running_loop()
        self.is_scheduled = False
        self.loop.add_reader(self.socket.fd, self._receive_batch)

    def send(self, frames: list[bytes | memoryview]) -> bool:
        """Sends a message; returns False if not connected or the queue is full.

        Raises:
            zmq.ZMQError: The message cannot be sent.
        """
        *others, last = frames
        try:
            for frame in others:
                self.socket.send(frame, _MORE)
            is_copied = len(last) < _COPIED_BYTES
            self.socket.send(last, _NOBLOCK, copy=is_copied)
        except zmq.Again:
            is_sent = False
        else:
            is_sent = True
        events = self.socket.getsockopt(_EVENTS)
        if events & _POLLIN or (events & _POLLOUT and not is_sent):
            self._schedule_receive()
        return is_sent

    def close(self, linger_ms: int = 0) -> None:
        """Closes the socket; sends queued messages for up to ``linger_ms``."""
        if not self.socket.closed:
            self.loop.remove_reader(self.socket.fd)
            self.socket.close(linger=linger_ms)

    def _schedule_receive(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self._receive_batch)

    def _receive_batch(self) -> None:
        self.is_scheduled = False
        for _ in range(_MAX_BATCH_MESSAGES):
            if self.socket.closed:
                return
            if not self.socket.getsockopt(_EVENTS) & _POLLIN:
                self.writable()
                return
            self.received(self._receive())
        self._schedule_receive()

    def _receive(self) -> list[bytes]:
        frames = [self.socket.recv(_NOBLOCK)]
        while self.socket.getsockopt(_RCVMORE):
            frames.append(self.socket.recv(_NOBLOCK))
        return frames


class ServerLimits(msgspec.Struct, frozen=True):
    """What a server takes from all that connect to it.

    Attributes:
        max_bytes: Maximum size of a request.
        parts_bytes: Memory for long requests that have arrived in part; one
            alone may exceed it.
        max_connections: Maximum number of connections.
    """

    max_bytes: int = _MAX_MESSAGE_BYTES
    parts_bytes: int = _MAX_MESSAGE_BYTES
    max_connections: int = MAX_CONNECTIONS


class RequestServer:
    """Answers requests at one address.

    Most requests are answered immediately; each one that has to wait gets its
    own task.

    Attributes:
        parts: Long requests that have arrived in part.
        accepted: Connections of other instances.

    Args:
        address: ``IP:PORT`` to bind.
        codec: Codec of the supported messages.
        serve: Returns the reply to a message, or an awaitable of the reply.
        metrics: Counts dropped requests.
        limits: What it takes.
        refusal: Reply to a long request for which there is no memory, or None
            to drop it.
    """

    def __init__(
        self,
        address: str,
        codec: Codec,
        serve: Serve,
        metrics: Metrics,
        limits: ServerLimits | None = None,
        refusal: msgspec.Struct | None = None,
    ) -> None:
        self.address = address
        self.codec = codec
        self.serve = serve
        self.metrics = metrics
        self.limits = limits or ServerLimits()
        self.refusal = refusal
        self.refused = RepeatedEvent("requests_refused")
        self.parts = PartialRequests(
            MemoryBudget(self.limits.parts_bytes), self.limits.max_bytes
        )
        self.tasks: set[asyncio.Task] = set()
        self.stack = contextlib.ExitStack()

    async def __aenter__(self) -> Self:
        self.socket = _Socket(zmq.ROUTER, self._receive)
        self.socket.socket.maxmsgsize = PART_BYTES
        bound_accepted(self.socket.socket)
        port = int(self.address.rpartition(":")[2])
        self.accepted = self.stack.enter_context(
            AcceptedConnections(
                self.socket.socket,
                port,
                self.limits.max_connections,
                self.metrics,
            )
        )
        try:
            self.socket.socket.bind(f"tcp://{self.address}")
        except zmq.ZMQError as error:
            self.stack.close()
            self.socket.close()
            raise SettingsError(
                f"{self.address} cannot be used between instances: {error}"
            ) from error
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self.tasks:
            task.cancel()
        self.stack.close()
        self.socket.close(_LINGER_MS)

    def _receive(self, frames: list[bytes]) -> None:
        if len(self.tasks) >= _MAX_CONCURRENT_REQUESTS:
            self.metrics.count("rattanmill_requests_dropped")
            return
        match frames:
            case [sender, number, data]:
                self._serve(sender, number, data)
            case [sender, number, header, part]:
                self._receive_part(sender, number, header, part)
            case _:
                self.metrics.count("rattanmill_requests_dropped")

    def _receive_part(
        self, sender: bytes, number: bytes, header: bytes, part: bytes
    ) -> None:
        outcome = self.parts.add((sender, number), header, part)
        match outcome:
            case Incomplete.AWAITED:
                pass
            case Incomplete.DROPPED:
                self.metrics.count("rattanmill_requests_dropped")
            case Incomplete.REFUSED:
                self._refuse(sender, number)
            case _:
                self._serve(sender, number, outcome)

    def _refuse(self, sender: bytes, number: bytes) -> None:
        """Tells at once that there is no memory for a long request."""
        self.metrics.count("rattanmill_requests_refused", why="memory")
        self.refused.record(
            why="memory",
            held_bytes=self.parts.memory.held_bytes,
            requests=len(self.parts.requests),
        )
        if self.refusal is not None:
            self._send(sender, number, self.refusal)

    def _serve(
        self, sender: bytes, number: bytes, data: bytes | bytearray
    ) -> None:
        message = self.codec.decode(data)
        if message is None:
            self.metrics.count("rattanmill_requests_dropped")
            return
        try:
            reply = self.serve(message)
        except Exception as error:
            # If raised further, it would stop other requests from being
            # received.
            _report_error(error)
            return
        if isinstance(reply, msgspec.Struct):
            self._send(sender, number, reply)
            return
        task = asyncio.create_task(self._answer(sender, number, reply))
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    async def _answer(
        self, sender: bytes, number: bytes, reply: Awaitable[msgspec.Struct]
    ) -> None:
        self._send(sender, number, await reply)

    def _send(
        self, sender: bytes, number: bytes, reply: msgspec.Struct
    ) -> None:
        # Replies are dropped while the queue of a peer that does not read is
        # full.
        self.socket.send([sender, number, self.codec.encode(reply)])

    def _task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _report_error(task.exception())


def _report_error(error: BaseException | None) -> None:
    asyncio.get_running_loop().call_exception_handler(
        {"message": "A request failed.", "exception": error}
    )


def _messages(
    number: bytes, data: bytes, takes_parts: bool
) -> Iterator[list[bytes | memoryview]]:
    """Yields the frames of each message that a request is sent in."""
    if takes_parts and len(data) > PART_BYTES:
        return ([number, *part] for part in split(data))
    return iter([[number, data]])


class _Unsent:
    """Messages of one request that were not sent.

    Attributes:
        next: The next one, or None.
    """

    def __init__(self, messages: Iterator[list[bytes | memoryview]]) -> None:
        self.messages = messages
        self.advance()

    def advance(self) -> None:
        """Goes on to the next message."""
        self.next = next(self.messages, None)


class _Channel:
    """One connection to a peer; closed once it has no pending requests."""

    def __init__(self, address: str) -> None:
        self.socket = _Socket(zmq.DEALER, self._receive, self._send_pending)
        # Without this option, requests queue for a peer that is down and reach
        # it long after their timeout.
        self.socket.socket.immediate = True
        self.socket.socket.connect(f"tcp://{address}")
        self.pending: dict[bytes, asyncio.Future] = {}
        self.unsent: dict[bytes, _Unsent] = {}
        self.heard_at = float("-inf")
        self.is_closing = False

    async def ask(
        self,
        number: bytes,
        messages: Iterator[list[bytes | memoryview]],
        seconds: float,
    ) -> bytes:
        """Sends a request and returns the reply.

        Args:
            number: Number of the request.
            messages: The frames of its messages.
            seconds: Timeout.

        Raises:
            TimeoutError: No reply arrived in time.
            zmq.ZMQError: The request could not be sent.
        """
        loop = self.socket.loop
        future = self.pending[number] = loop.create_future()
        timer = loop.call_later(seconds, _set_timeout, future)
        try:
            # Sends in order: a send may clear the event which reports that
            # earlier messages can be sent, too.
            self.unsent[number] = _Unsent(messages)
            self._send_pending()
            return await future
        finally:
            timer.cancel()
            del self.pending[number]
            self.unsent.pop(number, None)
            self._close_if_unused()

    def close_when_unused(self) -> None:
        """Closes the connection once it has no pending requests."""
        self.is_closing = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self.is_closing and not self.pending:
            self.socket.close()

    def _send_pending(self) -> None:
        """Sends messages that waited for a connection or for queue space."""
        while self.unsent:
            number, unsent = next(iter(self.unsent.items()))
            if unsent.next is None:
                del self.unsent[number]
            elif self.socket.send(unsent.next):
                unsent.advance()
            else:
                return

    def _receive(self, frames: list[bytes]) -> None:
        number, data = frames
        self.heard_at = self.socket.loop.time()
        future = self.pending.get(number)
        if future is not None and not future.done():
            future.set_result(data)


def _set_timeout(future: asyncio.Future) -> None:
    if not future.done():
        future.set_exception(TimeoutError())


class RequestLink:
    """Sends requests to one peer.

    Attributes:
        failures: Number of consecutive requests without a reply.
        heard_at: Loop time of the last reply.

    Args:
        address: ``IP:PORT`` of the peer.
        codec: Codec of the supported messages.
        takes_parts: Whether the peer takes long requests in parts, and no
            others.
    """

    def __init__(
        self, address: str, codec: Codec, takes_parts: bool = True
    ) -> None:
        self.address = address
        self.codec = codec
        self.takes_parts = takes_parts
        self.failures = 0
        self.heard_at = float("-inf")
        self.numbers = itertools.count()
        self.channel: _Channel | None = None

    async def ask(self, message: msgspec.Struct, seconds: float) -> Any:
        """Returns the reply, or None if there was none in time.

        With None, the request may or may not have been executed.
        """
        if self.channel is None:
            self.channel = _Channel(self.address)
        channel = self.channel
        number = next(self.numbers).to_bytes(8, "big")
        sent_at = asyncio.get_running_loop().time()
        try:
            messages = _messages(
                number, self.codec.encode(message), self.takes_parts
            )
            data = await channel.ask(number, messages, seconds)
        except (TimeoutError, zmq.ZMQError) as error:
            self._record_failure(channel, message, error, sent_at)
            return None
        if self.failures:
            log_event("peer_back", peer=self.address, failures=self.failures)
        self.failures = 0
        self.heard_at = asyncio.get_running_loop().time()
        return self.codec.decode(data)

    def is_heard(self, seconds: float) -> bool:
        """Whether the last request got a reply less than ``seconds`` ago."""
        silence = asyncio.get_running_loop().time() - self.heard_at
        return not self.failures and silence < seconds

    def close(self) -> None:
        """Closes the connection once no request on it awaits a reply."""
        if self.channel:
            self.channel.close_when_unused()
        self.channel = None

    def _record_failure(
        self,
        channel: _Channel,
        message: msgspec.Struct,
        error: Exception,
        sent_at: float,
    ) -> None:
        if not self.failures:
            log_event(
                "peer_silent",
                peer=self.address,
                asked=kind_of(message),
                why=str(error) or "timeout",
            )
        self.failures += 1
        # A connection that delivers other replies is only slow and stays open.
        if channel is self.channel and channel.heard_at < sent_at:
            self.close()


def _set_options(socket: zmq.Socket) -> None:
    socket.sndhwm = _QUEUE_MESSAGES
    socket.rcvhwm = _QUEUE_MESSAGES
    socket.maxmsgsize = _MAX_MESSAGE_BYTES
    socket.linger = 0
    socket.connect_timeout = _CONNECT_MS
    socket.reconnect_ivl = _RECONNECT_MS
    socket.reconnect_ivl_max = _MAX_RECONNECT_MS
