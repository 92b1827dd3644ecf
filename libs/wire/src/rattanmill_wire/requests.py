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
import zmq.asyncio

from rattanmill_core import (
    Metrics,
    SettingsError,
    log_event,
    start_loop,
    warn_event,
)

_QUEUE_MESSAGES = 1000
_CONNECT_MS = 500
_RECONNECT_MS = 30
_RECONNECT_MOST_MS = 300
# Requests under way at a time; more means that this process can't keep up,
# and the asker does better to ask another one.
_MOST_SERVED = 2000

Serve = Callable[[Any], Awaitable[Any]]


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


class RequestServer:
    """Answers requests at one address, each in a task of its own.

    Args:
        address: ``IP:PORT`` to bind.
        codec: Messages understood.
        serve: Returns the reply to a message.
        metrics: Where requests that were dropped are counted.
    """

    def __init__(
        self, address: str, codec: Codec, serve: Serve, metrics: Metrics
    ) -> None:
        self.address = address
        self.codec = codec
        self.serve = serve
        self.metrics = metrics
        self.context = zmq.asyncio.Context.instance()
        self.tasks: set[asyncio.Task] = set()
        self.loop_task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.socket = self.context.socket(zmq.ROUTER)
        _bound(self.socket)
        try:
            self.socket.bind(f"tcp://{self.address}")
        except zmq.ZMQError as error:
            self.socket.close(linger=0)
            raise SettingsError(
                f"{self.address} cannot be used between instances: {error}"
            ) from error
        self.loop_task = start_loop("requests", self._receive())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.loop_task:
            self.loop_task.cancel()
        for task in self.tasks:
            task.cancel()
        self.socket.close(linger=100)

    async def _receive(self) -> None:
        while True:
            frames = await self.socket.recv_multipart()
            if len(frames) != 3 or len(self.tasks) >= _MOST_SERVED:
                self.metrics.count("rattanmill_requests_dropped")
                continue
            task = asyncio.create_task(self._answer(*frames))
            self.tasks.add(task)
            task.add_done_callback(self._ended)

    async def _answer(self, sender: bytes, number: bytes, data: bytes) -> None:
        message = self.codec.decode(data)
        if message is None:
            return
        reply = await self.serve(message)
        frames = [sender, number, self.codec.encode(reply)]
        await self.socket.send_multipart(frames)

    def _ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            task.get_loop().call_exception_handler(
                {"message": "A request failed.", "exception": task.exception()}
            )


class _Channel:
    """One connection to a peer.

    It is closed only once nobody waits on it: closing a ZeroMQ socket cancels
    whoever is sending there, which looks as if that task itself had been
    cancelled, and its caller would be left without an answer.
    """

    def __init__(self, context: zmq.asyncio.Context, address: str) -> None:
        self.socket = context.socket(zmq.DEALER)
        _bound(self.socket)
        # Without it, requests queue for a peer that is down, and reach it
        # long after their askers have given up.
        self.socket.immediate = True
        self.socket.connect(f"tcp://{address}")
        self.waiting: dict[bytes, asyncio.Future] = {}
        self.heard_at = float("-inf")
        self.is_given_up = False
        self.task = start_loop("replies", self._receive())

    async def ask(self, number: bytes, data: bytes, seconds: float) -> bytes:
        """Sends a request and returns the reply.

        Raises:
            TimeoutError: There was none in time.
            zmq.ZMQError: It could not be sent.
        """
        future = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        try:
            async with asyncio.timeout(seconds):
                await self.socket.send_multipart([number, data])
                return await future
        finally:
            del self.waiting[number]
            self._close_if_unused()

    def give_up(self) -> None:
        """Closes it once nobody waits on it any more."""
        self.is_given_up = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self.is_given_up and not self.waiting:
            self.task.cancel()
            self.socket.close(linger=0)

    async def _receive(self) -> None:
        while True:
            number, data = await self.socket.recv_multipart()
            self.heard_at = asyncio.get_running_loop().time()
            future = self.waiting.get(number)
            if future is not None and not future.done():
                future.set_result(data)


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
        self.context = zmq.asyncio.Context.instance()
        self.channel: _Channel | None = None

    async def ask(self, message: msgspec.Struct, seconds: float) -> Any:
        """Returns the reply, or None if there was none in time.

        None says nothing about whether the request was carried out.
        """
        if self.channel is None:
            self.channel = _Channel(self.context, self.address)
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


def _bound(socket: zmq.asyncio.Socket) -> None:
    socket.sndhwm = _QUEUE_MESSAGES
    socket.rcvhwm = _QUEUE_MESSAGES
    socket.linger = 0
    socket.connect_timeout = _CONNECT_MS
    socket.reconnect_ivl = _RECONNECT_MS
    socket.reconnect_ivl_max = _RECONNECT_MOST_MS
