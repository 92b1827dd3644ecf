"""Connections to other instances over ZeroMQ with CURVE encryption.

One ROUTER socket receives calls from other instances. For each peer, a DEALER
socket and a task send calls to it and receive the replies. All instances share
one CURVE key pair, which is read from a file; an instance without it cannot
connect, since the server key is not published anywhere.

Long messages are sent in parts, so that what strangers send is bounded before
their handshake shows that they are none.
"""

import asyncio
import contextlib
import itertools
import pathlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Self

import msgspec
import zmq
import zmq.asyncio

from rattanmill_core import (
    HeldMemory,
    MemoryBudget,
    Metrics,
    Ran,
    Reason,
    RepeatedEvent,
    SettingsError,
    log_ids,
    new_id,
    part_logger,
    refuse,
    start_loop,
)
from rattanmill_wire.acceptance import (
    MAX_CONNECTIONS,
    AcceptedConnections,
    bound_accepted,
)
from rattanmill_wire.messages import (
    CallCancel,
    CallCredit,
    CallStart,
    Message,
    ReplyChunk,
    ReplyEnd,
    ReplyHead,
    ReplyRefused,
    decode_message,
    encode_message,
)
from rattanmill_wire.parts import (
    PART_BYTES,
    Incomplete,
    PartialRequests,
    split,
)

_log = part_logger("peers")
_QUEUE_MESSAGES = 1000
_WINDOW_CHUNKS = 64
_SEND_TIMEOUT_MS = 2000
# The longest body that the settings allow, and its headers.
_MAX_MESSAGE_BYTES = 65 * 1024 * 1024
# What encryption adds to a message.
_CURVE_BYTES = 64
# What the body of a forwarded call takes while it is served: the body, what it
# is decoded to, and the request to an endpoint.
_BODY_COPIES = 4
_REPLY_POLL_SECONDS = 0.1
# Between the id of a call and the number of an attempt to forward it.
_ATTEMPT_MARK = "#"

Reply = ReplyHead | ReplyChunk | ReplyEnd | ReplyRefused
_LAST_REPLIES = (ReplyEnd, ReplyRefused)
Serve = Callable[[CallStart], AsyncIterator[Reply]]
Notice = Callable[[Message, Callable[[Message], Awaitable[None]]], None]


class PeerSecret(msgspec.Struct, frozen=True):
    """CURVE key pair shared by all instances, as Z85; also signs receipts."""

    secret: bytes
    public: bytes


def load_secret(path: str) -> PeerSecret:
    """Reads the shared secret key.

    Raises:
        SettingsError: The file is missing or holds no Z85 key of 40 characters.
    """
    try:
        secret = pathlib.Path(path).read_bytes().strip()
        return PeerSecret(secret, zmq.curve_public(secret))
    except (OSError, ValueError, zmq.ZMQError) as error:
        raise SettingsError(
            f"{path}: no usable secret key (40 characters of Z85): {error}"
        ) from error


class _ReplyStream:
    """Received replies of one forwarded call.

    Attributes:
        queue: Replies that are not yet read.
        has_head: Whether the head has been read.
        chunks: Number of chunks that have been read.
    """

    def __init__(self) -> None:
        self.queue: asyncio.Queue[Reply] = asyncio.Queue()
        self.has_head = False
        self.chunks = 0

    def is_continued_by(self, reply: Reply) -> bool:
        """Whether a reply follows the last one; counts it as read."""
        match reply:
            case ReplyHead():
                is_first, self.has_head = not self.has_head, True
                return is_first
            case ReplyChunk():
                self.chunks += 1
                return self.has_head and reply.seq == self.chunks - 1
            case ReplyEnd():
                return self.has_head and reply.count == self.chunks
        return True


class Peer:
    """Connection to one other instance."""

    def __init__(self, hub: "PeerHub", name: str, address: str) -> None:
        self.hub = hub
        self.name = name
        self.address = address
        self.streams: dict[str, _ReplyStream] = {}
        self.attempts = itertools.count(1)
        self.numbers = itertools.count()
        self.heard = 0.0
        self.socket = hub.context.socket(zmq.DEALER)
        hub.configure_socket(self.socket)
        self.socket.curve_serverkey = hub.secret.public
        self.socket.routing_id = f"{hub.name}:{new_id()}".encode()
        # Binds the source address so that connections can be distinguished
        # by their source.
        source = hub.address.rsplit(":", 1)[0]
        self.socket.connect(f"tcp://{source}:0;{address}")
        self.task = start_loop("peer link", self._receive())

    async def send(self, message: Message) -> bool:
        """Sends a message; returns False if the send queue is full."""
        data = encode_message(message)
        try:
            for frames in self._frames(message, data):
                await self.socket.send_multipart(frames)
        except zmq.ZMQError:
            self.hub.metrics.count("rattanmill_peer_dropped", why="link_full")
            return False
        self.hub.bytes_out += len(data)
        return True

    def _frames(
        self, message: Message, data: bytes
    ) -> Iterator[list[bytes | memoryview]]:
        """Yields the frames of each ZeroMQ message that a message is sent in.

        A call names its parts, so that it can be refused before it is whole.
        """
        if len(data) <= PART_BYTES:
            return iter([[data]])
        is_call = isinstance(message, CallStart)
        name = message.call if is_call else str(next(self.numbers))
        return ([name.encode(), *part] for part in split(data))

    async def _receive(self) -> None:
        while True:
            data = await self.socket.recv()
            self.hub.bytes_in += len(data)
            message = decode_message(data)
            self.heard = asyncio.get_running_loop().time()
            match message:
                case None:
                    self.hub.metrics.count(
                        "rattanmill_peer_dropped", why="undecodable"
                    )
                case ReplyHead() | ReplyChunk() | ReplyEnd() | ReplyRefused():
                    if stream := self.streams.get(message.call):
                        stream.queue.put_nowait(message)
                case _:
                    self.hub.notice(message, self._send_reply)

    async def _send_reply(self, message: Message) -> None:
        await self.send(message)

    async def call(
        self, start: CallStart, has_moved: Callable[[], bool]
    ) -> AsyncIterator[Reply]:
        """Forwards a call and yields its replies, checking for lost ones.

        A call may be sent again under its id. The owner may receive the first
        attempt late, as after a restart, and then replies to both.

        Args:
            start: The call.
            has_moved: Returns whether another instance owns the program by
                now. A dead owner sends nothing; waiting for the timeout would
                delay calls that its successor could answer.
        """
        start = msgspec.structs.replace(
            start, call=f"{start.call}{_ATTEMPT_MARK}{next(self.attempts)}"
        )
        stream = _ReplyStream()
        self.streams[start.call] = stream
        finished = False
        try:
            if not await self.send(start):
                finished = True
                yield _unreachable(start, self.name, Ran.NO)
                return
            while True:
                reply = await self._next_reply(stream, start, has_moved)
                finished = isinstance(reply, _LAST_REPLIES)
                if not stream.is_continued_by(reply):
                    yield _reply_lost(start)
                    return
                if isinstance(reply, ReplyChunk):
                    await self._return_credit(start, stream)
                yield reply
                if finished:
                    return
        finally:
            del self.streams[start.call]
            if not finished:
                await self.send(CallCancel(start.call))

    async def _return_credit(
        self, start: CallStart, stream: _ReplyStream
    ) -> None:
        if stream.chunks % (_WINDOW_CHUNKS // 2) == 0:
            await self.send(CallCredit(start.call, _WINDOW_CHUNKS // 2))

    async def _next_reply(
        self,
        stream: _ReplyStream,
        start: CallStart,
        has_moved: Callable[[], bool],
    ) -> Reply:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        while True:
            try:
                # wait_for would start a task, and this runs for each token.
                async with asyncio.timeout(_REPLY_POLL_SECONDS):
                    return await stream.queue.get()
            except TimeoutError:
                silence_seconds = loop.time() - max(self.heard, sent_at)
                if silence_seconds > self.hub.silence_seconds or has_moved():
                    return _unreachable(start, self.name, Ran.UNKNOWN)

    def close(self) -> None:
        """Closes the connection; its pending calls end by their timeout."""
        self.task.cancel()
        self.socket.close(linger=0)


def _unreachable(start: CallStart, name: str, ran: Ran) -> ReplyRefused:
    detail = f"Instance {name}, which owns the program, does not answer."
    return ReplyRefused(
        start.call, refuse(Reason.OWNER_UNREACHABLE, detail, ran=ran)
    )


def _reply_lost(start: CallStart) -> ReplyRefused:
    detail = "Part of the answer was lost between instances."
    return ReplyRefused(start.call, refuse(Reason.ANSWER_CUT, detail))


def _ended_early(start: CallStart) -> ReplyRefused:
    detail = "The owner of the program ended the call before its answer."
    return ReplyRefused(
        start.call, refuse(Reason.INTERNAL, detail, ran=Ran.UNKNOWN)
    )


async def _only(reply: Reply) -> AsyncIterator[Reply]:
    yield reply


class _ServedCall:
    """Call from another instance that this instance is serving."""

    def __init__(self) -> None:
        self.credit = asyncio.Semaphore(_WINDOW_CHUNKS)
        self.task: asyncio.Task | None = None


class PeerHub:
    """All connections of this instance to its peers.

    Args:
        name: Name of this instance.
        address: ``IP:PORT`` to bind.
        secret: Shared key pair.
        metrics: Counts dropped messages.
        serve: Serves a forwarded call and yields its replies.
        notice: Handles any other message; gets a function that replies to it.
        silence_seconds: Timeout without a message from a peer, after which
            calls that wait for it are refused.
        memory: Memory that may be held for calls.
    """

    def __init__(
        self,
        name: str,
        address: str,
        secret: PeerSecret,
        metrics: Metrics,
        serve: Serve,
        notice: Notice,
        silence_seconds: float,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.secret = secret
        self.memory = memory or MemoryBudget()
        self.parts = PartialRequests(self.memory, _MAX_MESSAGE_BYTES)
        self.refused = RepeatedEvent("requests_refused")
        self.metrics = metrics
        self.serve = serve
        self.notice = notice
        self.silence_seconds = silence_seconds
        self.context = zmq.asyncio.Context()
        self.bytes_in = 0
        self.bytes_out = 0
        self.peers: dict[str, Peer] = {}
        self.served: dict[tuple[bytes, str], _ServedCall] = {}
        self.task: asyncio.Task | None = None
        self.stack = contextlib.ExitStack()

    def configure_socket(self, socket: zmq.asyncio.Socket) -> None:
        """Sets the keys, queue limits and timeouts of a socket."""
        socket.curve_secretkey = self.secret.secret
        socket.curve_publickey = self.secret.public
        socket.sndhwm = _QUEUE_MESSAGES
        socket.rcvhwm = _QUEUE_MESSAGES
        socket.maxmsgsize = _MAX_MESSAGE_BYTES
        socket.sndtimeo = _SEND_TIMEOUT_MS
        socket.linger = 0
        socket.reconnect_ivl = 50
        socket.reconnect_ivl_max = 1000

    async def __aenter__(self) -> Self:
        self.router = self.context.socket(zmq.ROUTER)
        self.configure_socket(self.router)
        self.router.curve_server = True
        self.router.maxmsgsize = PART_BYTES + _CURVE_BYTES
        # Without this option, a message to a peer whose queue is full is
        # dropped silently, and its caller would wait for a lost chunk.
        self.router.router_mandatory = True
        bound_accepted(self.router)
        try:
            self.router.bind(f"tcp://{self.address}")
        except zmq.ZMQError as error:
            self.context.destroy(linger=0)
            raise SettingsError(
                f"instance.peer: {self.address} cannot be used: {error}"
            ) from error
        self.stack.enter_context(
            AcceptedConnections(
                self.router,
                int(self.address.rpartition(":")[2]),
                MAX_CONNECTIONS,
                self.metrics,
            )
        )
        self.task = start_loop("peer socket", self._accept())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()
        for served in self.served.values():
            if served.task:
                served.task.cancel()
        for peer in self.peers.values():
            peer.close()
        self.stack.close()
        self.router.close(linger=200)
        self.context.destroy(linger=200)

    def peer(self, name: str, address: str) -> Peer:
        """Returns the connection to a peer; opens it on first use."""
        peer = self.peers.get(name)
        if peer and peer.address == address:
            return peer
        if peer:
            peer.close()
        peer = Peer(self, name, address)
        self.peers[name] = peer
        return peer

    def forget(self, name: str) -> None:
        """Closes the connection to a peer that has left."""
        if peer := self.peers.pop(name, None):
            peer.close()

    async def _accept(self) -> None:
        while True:
            frames = await self.router.recv_multipart()
            self.bytes_in += len(frames[-1])
            match frames:
                case [sender, data]:
                    self._handle(sender, decode_message(data))
                case [sender, name, header, part]:
                    await self._receive_part(sender, name, header, part)
                case [sender, *_]:
                    self._handle(sender, None)

    async def _receive_part(
        self, sender: bytes, name: bytes, header: bytes, part: bytes
    ) -> None:
        outcome = self.parts.add((sender, name), header, part)
        match outcome:
            case Incomplete.AWAITED:
                pass
            case Incomplete.DROPPED:
                self._handle(sender, None)
            case Incomplete.REFUSED:
                call = name.decode(errors="replace")
                await self._send(sender, self._refuse(call))
            case _:
                self._handle(sender, decode_message(outcome))

    def _refuse(self, call: str) -> ReplyRefused:
        """Records a call for which there is no memory; returns its refusal."""
        self.metrics.count("rattanmill_requests_refused", why="memory")
        self.refused.record(
            why="memory",
            held_bytes=self.memory.held_bytes,
            requests=len(self.parts.requests),
        )
        detail = "The owner of the program has no memory for the request."
        return ReplyRefused(call, refuse(Reason.MEMORY_EXHAUSTED, detail))

    def _handle(self, sender: bytes, message: Message | None) -> None:
        match message:
            case None:
                self.metrics.count("rattanmill_peer_dropped", why="undecodable")
            case CallStart():
                served = _ServedCall()
                self.served[sender, message.call] = served
                served.task = asyncio.create_task(
                    self._serve(sender, message, served)
                )
            case CallCancel():
                served = self.served.get((sender, message.call))
                if served and served.task:
                    served.task.cancel()
            case CallCredit():
                if served := self.served.get((sender, message.call)):
                    for _ in range(min(message.count, _WINDOW_CHUNKS)):
                        served.credit.release()
            case _:
                self.notice(message, self._reply_function(sender))

    def _reply_function(
        self, sender: bytes
    ) -> Callable[[Message], Awaitable[None]]:
        async def send_reply(message: Message) -> None:
            await self._send(sender, message)

        return send_reply

    async def _send(self, sender: bytes, message: Message) -> bool:
        try:
            data = encode_message(message)
            await self.router.send_multipart([sender, data])
        except zmq.ZMQError:
            self.metrics.count("rattanmill_peer_dropped", why="peer_gone")
            return False
        self.bytes_out += len(data)
        return True

    async def _serve(
        self, sender: bytes, start: CallStart, served: _ServedCall
    ) -> None:
        call, _, _ = start.call.partition(_ATTEMPT_MARK)
        is_ended = False
        try:
            with self.memory.hold() as held, log_ids(start.program, call):
                replies = self._replies(
                    msgspec.structs.replace(start, call=call), held
                )
                is_ended = await self._send_replies(
                    sender, start.call, replies, served
                )
        except asyncio.CancelledError:
            is_ended = True
            raise
        finally:
            self.served.pop((sender, start.call), None)
            if not is_ended:
                # The peer waits for the call's end while it hears from this
                # instance at all.
                await self._send(sender, _ended_early(start))

    def _replies(
        self, start: CallStart, held: HeldMemory
    ) -> AsyncIterator[Reply]:
        """Returns the replies to a call, or its refusal for want of memory."""
        if held.grow(len(start.body) * _BODY_COPIES):
            return self.serve(start)
        return _only(self._refuse(start.call))

    async def _send_replies(
        self,
        sender: bytes,
        attempt: str,
        replies: AsyncIterator[Reply],
        served: _ServedCall,
    ) -> bool:
        """Sends the replies to an attempt; returns whether its end was sent."""
        is_ended = False
        async with contextlib.aclosing(replies):
            async for reply in replies:
                if isinstance(reply, ReplyChunk):
                    await served.credit.acquire()
                reply = msgspec.structs.replace(reply, call=attempt)
                if not await self._send(sender, reply):
                    return False
                is_ended = isinstance(reply, _LAST_REPLIES)
        return is_ended
