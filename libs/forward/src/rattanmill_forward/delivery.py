"""Writes responses to callers that may read slowly, within bounds.

What a caller does not read stays in its connection's write buffer, in the
buffered part of its response and in the endpoint's connection. All of these
are counted while a response is stalled, and reading from the endpoint pauses.
"""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator
from typing import Self

from aiohttp import web

from rattanmill_core import Metrics, log_event, loop_seconds
from rattanmill_forward.dispatch import Job
from rattanmill_forward.exchange import EndpointResponse

# Small enough that the piece that is written adds little to what is counted.
_PIECE_BYTES = 16 * 1024
# Memory of the smallest front ends of docs/design/load.md.
DEFAULT_MEMORY_BYTES = 136_000_000
# The smallest front ends need 52 MB when idle and 43 KB for each connection,
# and freed memory is not all reused.
_HELD_SHARE = 0.125

# So many more bodies of one size find room before the bound is reached.
_RESERVED_BODIES = 16
_WHY_CUT_OFF = {
    "deadline": "the caller did not read it by the deadline",
    "memory": "the caller did not read it, and too much is held for callers",
}


def max_held_bytes(memory_bytes: int | None) -> int:
    """Returns how many bytes a process may hold for callers.

    Args:
        memory_bytes: Memory limit of the process, or None if it is unknown.
    """
    return int((memory_bytes or DEFAULT_MEMORY_BYTES) * _HELD_SHARE)


class BodyBuffer:
    """A body in pieces, which can be freed one by one as they are written.

    Attributes:
        size: Size in bytes.
    """

    def __init__(self) -> None:
        self.pieces: collections.deque[bytearray] = collections.deque()
        self.size = 0

    def append(self, chunk: bytes) -> None:
        """Adds the next part; small ones are joined."""
        if self.pieces and len(self.pieces[-1]) + len(chunk) <= _PIECE_BYTES:
            self.pieces[-1] += chunk
        else:
            self.pieces.append(bytearray(chunk))
        self.size += len(chunk)

    def take(self) -> bytearray:
        """Removes and returns the first piece."""
        piece = self.pieces.popleft()
        self.size -= len(piece)
        return piece

    def take_all(self) -> bytes:
        """Removes and returns all."""
        body = b"".join(self.pieces)
        self.pieces.clear()
        self.size = 0
        return body


class HeldBytes:
    """The bytes held for all callers of a front end, up to a bound.

    Attributes:
        total: Bytes held now.
        stalled: Responses that wait for their callers to read.

    Args:
        max_bytes: Beyond this, the largest stalled responses are cut off.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total = 0
        self.stalled: set[Delivery] = set()

    @property
    def bufferable_bytes(self) -> int:
        """Most bytes of one body that should be buffered now.

        The less room is left, the sooner bodies are forwarded unbuffered.
        """
        return max(0, self.max_bytes - self.total) // _RESERVED_BODIES

    def cut_off_largest(self) -> None:
        """Cuts off stalled responses until the others are within the bound."""
        while self.total > self.max_bytes and self.stalled:
            largest = max(self.stalled, key=lambda each: each.held_bytes)
            largest.cut_off()


class Delivery:
    """The response to one request, as far as its caller reads it.

    Attributes:
        response: The response to the caller once it has begun, or None.
        held_bytes: Bytes that count for it now.
        buffered_bytes: Of these, the part of its body that is buffered.
        unread_bytes: Bytes that were held when it stalled last.
        stalled_at: Loop time since when it waits for its caller, or None.
        is_cut_off: Whether it was cut off since too many bytes were held.
        timer: Ends it at its deadline, while that is awaited.

    Args:
        held: The bytes held for all callers.
        request: The caller's request.
        job: The call.
        metrics: Counters.
    """

    def __init__(
        self,
        held: HeldBytes,
        request: web.BaseRequest,
        job: Job,
        metrics: Metrics,
    ) -> None:
        self.held = held
        self.request = request
        self.job = job
        self.metrics = metrics
        self.response: web.StreamResponse | None = None
        self.held_bytes = 0
        self.buffered_bytes = 0
        self.unread_bytes = 0
        self.stalled_at: float | None = None
        self.is_cut_off = False
        self.timer: asyncio.Timeout | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._hold(0)

    @property
    def is_stalled(self) -> bool:
        """Whether it ends because its caller does not read."""
        return self.is_cut_off or self.stalled_at is not None

    @contextlib.asynccontextmanager
    async def until_deadline(self) -> AsyncIterator[None]:
        """Raises TimeoutError at the deadline of the call, or if cut off."""
        try:
            async with asyncio.timeout_at(self.job.deadline) as self.timer:
                yield
        finally:
            self.timer = None

    def buffer(self, size: int) -> None:
        """Counts bytes of a body that is buffered before it is written."""
        self.buffered_bytes = size
        self._hold(size)

    async def write(
        self, data: bytes | bytearray, source: EndpointResponse | None = None
    ) -> None:
        """Writes a part, and waits until the connection has taken it.

        Args:
            data: The part.
            source: The endpoint's response that goes on after it, or None.

        Raises:
            ConnectionError: The caller disconnected.
            TimeoutError: The caller did not read it.
        """
        await self.request.writer.write(data, drain=False)
        if source:
            source.record_forwarded(len(data))
        # The connection has a copy of what it could not send yet.
        del data
        if self.request.protocol.writing_paused:
            await self._wait(source)

    async def write_buffered(
        self, body: BodyBuffer, source: EndpointResponse | None = None
    ) -> None:
        """Writes a body that was buffered, and frees each piece before it.

        Args:
            body: The body; empty afterwards.
            source: The endpoint's response that goes on after it, or None.

        Raises:
            ConnectionError: The caller disconnected.
            TimeoutError: The caller did not read it.
        """
        while body.size:
            self.buffer(body.size - len(body.pieces[0]))
            # Not referenced here while it waits for its caller.
            await self.write(body.take(), source)

    async def write_whole(
        self, response: web.StreamResponse, body: BodyBuffer
    ) -> None:
        """Writes a response whose body was received whole.

        Args:
            response: The response, with its body if that is short.
            body: The body otherwise; empty afterwards.

        Raises:
            ConnectionError: The caller disconnected.
            TimeoutError: The caller did not read it.
        """
        self.response = response
        await response.prepare(self.request)
        if isinstance(response, web.Response):
            self.buffer(0)
            await self.write(response.body or b"")
        else:
            await self.write_buffered(body)
        await self.end()

    async def end(self) -> None:
        """Ends the response, and waits until the connection has taken it.

        Raises:
            ConnectionError: The caller disconnected.
            TimeoutError: The caller did not read it.
        """
        self.request.writer.set_eof()
        if self.request.protocol.writing_paused:
            await self._wait(None)
        await self.response.write_eof()

    def cut_off(self) -> None:
        """Ends a stalled response, whose bytes no longer count."""
        self.is_cut_off = True
        self.held.stalled.discard(self)
        self._hold(0)
        if not self.timer.expired():
            self.timer.reschedule(loop_seconds())

    def record_stalled(self) -> str:
        """Records that its caller does not read; returns why it is cut off."""
        seconds = loop_seconds() - (self.stalled_at or loop_seconds())
        why = "memory" if self.is_cut_off else "deadline"
        self.metrics.count("rattanmill_callers_stalled", why=why)
        log_event(
            "caller_stalled",
            request=self.job.call.request_id,
            program=self.job.call.program,
            unread_bytes=self.unread_bytes,
            stalled_s=round(seconds, 3),
            why=why,
        )
        return _WHY_CUT_OFF[why]

    async def _wait(self, source: EndpointResponse | None) -> None:
        """Waits until the connection has taken all that was written.

        Only a stalled response needs a timer of its own.
        """
        if self.timer is None:
            async with self.until_deadline():
                await self._wait_until_taken(source)
        else:
            await self._wait_until_taken(source)

    async def _wait_until_taken(self, source: EndpointResponse | None) -> None:
        self.stalled_at = loop_seconds()
        with source.paused() if source else contextlib.nullcontext():
            self.unread_bytes = self._count_unread(source)
            self._hold(self.unread_bytes)
            self.held.stalled.add(self)
            self.held.cut_off_largest()
            try:
                await self.request.writer.drain()
            finally:
                self.held.stalled.discard(self)
        if self.request.transport is None:
            raise ConnectionResetError("caller disconnected")
        self._hold(self.buffered_bytes)
        self.stalled_at = None

    def _count_unread(self, source: EndpointResponse | None) -> int:
        transport = self.request.transport
        unsent = transport.get_write_buffer_size() if transport else 0
        received = source.held_bytes if source else 0
        return unsent + received + self.buffered_bytes

    def _hold(self, size: int) -> None:
        size = 0 if self.is_cut_off else size
        self.held.total += size - self.held_bytes
        self.held_bytes = size
