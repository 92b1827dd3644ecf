"""One HTTP/1.1 connection to an endpoint, based on h11.

It tells the end of a response from the end of its connection, and an orderly
close from a reset.
"""

import asyncio
import contextlib
import enum
import socket
from collections.abc import AsyncIterator

import h11

from rattanmill_core import LoopShare, loop_seconds
from rattanmill_forward.calls import Headers
from rattanmill_forward.endpoints import Endpoint
from rattanmill_platform import create_tcp_socket

# A round trip takes a few milliseconds. An endpoint whose first packet was
# dropped, or that is partitioned, is not worth more of a caller's time.
_CONNECT_TIMEOUT_SECONDS = 0.25
_MAX_HEAD_BYTES = 64 * 1024
# An endpoint that sends faster than its answer is passed on has to wait.
# Several hundred connections fit into a front end's memory.
_READ_PAUSE_BYTES = 16 * 1024
READ_BYTES = 16 * 1024
# For what an endpoint sends before it is read; the kernel doubles it.
_RECEIVE_BUFFER_BYTES = 16 * 1024
# Bounds what is parsed at a time, and so the memory that it takes.
_PIECE_BYTES = 16 * 1024
# Part of a body that is written at once.
_SENT_BYTES = 64 * 1024
# Other calls wait while so many are handled.
_EVENTS_PER_TURN = 16


class BrokenError(Exception):
    """The connection ended, or the data received is not a valid response."""


class Excess(enum.StrEnum):
    """What an endpoint sent too much of."""

    MESSAGES = "messages"
    BYTES = "bytes"
    REJECTION = "rejection"
    NO_EVENT = "no_event"
    TOKENS = "tokens"
    TURN = "turn"


class ExcessError(BrokenError):
    """An endpoint sent more than an answer may have.

    Args:
        excess: What it sent too much of.
        message: The bound that it exceeded.
    """

    def __init__(self, excess: Excess, message: str) -> None:
        super().__init__(message)
        self.excess = excess


class _ClientProtocol(asyncio.BufferedProtocol):
    """Buffers the bytes of one connection, with backpressure.

    Attributes:
        is_idle: Whether no response is due; what comes then is no answer.
        error: Why the connection failed, or empty.

    Args:
        read_buffer: Where reads go first. Connections of one event loop share
            it, as each read is taken out at once.
    """

    def __init__(self, read_buffer: bytearray) -> None:
        self.read_buffer = memoryview(read_buffer)
        self.is_idle = False
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.eof = False
        self.error = ""
        self.waiter: asyncio.Future | None = None
        self.is_reading_paused = False
        self.writable = asyncio.Event()
        self.writable.set()

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.received += self.read_buffer[:nbytes]
        if self.is_idle:
            self.transport.abort()
            return
        if (
            len(self.received) > _READ_PAUSE_BYTES
            and not self.is_reading_paused
        ):
            self.is_reading_paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        self.eof = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.eof:
            self.error = str(exc or "connection closed") or "connection reset"
        self.eof = True
        self.writable.set()
        self._wake()

    def fail(self, error: Exception) -> None:
        """Ends the receiving side with an error of this process."""
        self.error = str(error) or type(error).__name__
        self.eof = True
        self._wake()

    @property
    def is_clean(self) -> bool:
        """Whether the connection is open with no unsolicited data."""
        return not (self.eof or self.received or self.error)

    async def receive(self) -> bytes:
        """Returns a piece of the data; empty if the peer closed the connection.

        Raises:
            BrokenError: The connection was reset.
        """
        while not self.received and not self.eof:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        if self.received:
            data = bytes(self.received[:_PIECE_BYTES])
            del self.received[:_PIECE_BYTES]
            if self.is_reading_paused and not self.received:
                self.is_reading_paused = False
                self.transport.resume_reading()
            return data
        if self.error:
            raise BrokenError(self.error)
        return b""

    def _wake(self) -> None:
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)


class Connection:
    """One connection to an endpoint, used for one request at a time.

    Attributes:
        sending: HTTP state of the request that is being sent.
        receiving: HTTP state of the response that is due. It is another object
            once the endpoint has answered an earlier request first.
        received_bytes: Bytes of responses that were parsed.
        loop_share: Lets others have the event loop while more is there.
    """

    def __init__(self, endpoint: Endpoint, protocol: _ClientProtocol) -> None:
        self.endpoint = endpoint
        self.protocol = protocol
        self.sending = self.receiving = _new_http_state()
        self.idle_until = 0.0
        self.abort_when_unreachable = False
        self.body_task: asyncio.Task | None = None
        self.received_bytes = 0
        self.loop_share = LoopShare(_EVENTS_PER_TURN)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry the next request."""
        return self.protocol.is_clean and loop_seconds() < self.idle_until

    def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        body_stream: AsyncIterator[bytes] | None = None,
    ) -> None:
        """Writes a request; the rest of its body follows as it arrives.

        Raises:
            h11.LocalProtocolError: The request is not valid HTTP.
        """
        request = h11.Request(method=method, target=target, headers=headers)
        data = self.sending.send(request)
        if len(body) > _SENT_BYTES:
            # Written at once, it would be in memory several times.
            body_stream = _pieces(body, body_stream)
            body = b""
        if body:
            data += self.sending.send(h11.Data(data=body)) or b""
        if body_stream is None:
            data += self.sending.send(h11.EndOfMessage()) or b""
        self.request = request
        self.protocol.transport.write(data)
        if body_stream is not None:
            self.body_task = asyncio.create_task(
                self._send_body_stream(body_stream)
            )

    async def _send_body_stream(
        self, body_stream: AsyncIterator[bytes]
    ) -> None:
        """Forwards the rest of a body as fast as the endpoint reads it."""
        try:
            async for chunk in body_stream:
                await self.protocol.writable.wait()
                if self.protocol.eof:
                    return
                self.protocol.transport.write(
                    self.sending.send(h11.Data(data=chunk))
                )
            self.protocol.transport.write(
                self.sending.send(h11.EndOfMessage()) or b""
            )
        except (BrokenError, OSError, h11.LocalProtocolError) as error:
            # The task that waits for the response gets the error from the
            # protocol.
            self.protocol.fail(error)
            # The caller's connection keeps it, and with it the frames here.
            error.__traceback__ = None

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Returns the next event of the response.

        Raises:
            BrokenError: The response ended early or is not valid.
        """
        while True:
            try:
                event = self.receiving.next_event()
            except h11.RemoteProtocolError as error:
                raise BrokenError(f"invalid response: {error}") from error
            if event is not h11.NEED_DATA:
                await self.loop_share.step()
                return event
            data = await self.protocol.receive()
            self.received_bytes += len(data)
            try:
                self.receiving.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise BrokenError(f"invalid response: {error}") from error

    def expect_next_response(self) -> None:
        """Goes on to the next response on this connection.

        Called when the endpoint sent a response to an earlier request before
        the expected one. The request itself may still be under way.
        """
        trailing, _ = self.receiving.trailing_data
        self.receiving = _new_http_state()
        # Tells the parser which request is outstanding; nothing is sent again.
        headers = [
            (name, value)
            for name, value in self.request.headers
            if name != b"content-length"
        ]
        self.receiving.send(
            h11.Request(
                method=self.request.method,
                target=self.request.target,
                headers=headers,
            )
        )
        self.receiving.send(h11.EndOfMessage())
        # Empty data would signal the end of the connection to the parser.
        if trailing:
            self.receiving.receive_data(trailing)

    def finish(self) -> bool:
        """Ends a request, so that the connection may carry the next one.

        Returns:
            Whether all of the request was sent, and all of its response was
            received with nothing after it. Otherwise what is sent next would
            belong to this request for the endpoint, or what it sends to the
            next one.
        """
        trailing, _ = self.receiving.trailing_data
        is_done = (
            self.sending.our_state is h11.DONE
            and self.receiving.their_state is h11.DONE
            and not trailing
            and self.protocol.is_clean
        )
        if not is_done:
            return False
        if self.sending is self.receiving:
            self.sending.start_next_cycle()
        else:
            self.sending = self.receiving = _new_http_state()
        self.protocol.is_idle = True
        return True

    def abort(self) -> None:
        """Closes the connection, which ends the endpoint's work on it."""
        if self.body_task:
            self.body_task.cancel()
        if self.protocol.transport:
            self.protocol.transport.abort()


async def _pieces(
    body: bytes, rest: AsyncIterator[bytes] | None
) -> AsyncIterator[bytes]:
    """Yields the buffered part of a body in pieces, and then the rest of it."""
    view = memoryview(body)
    for start in range(0, len(view), _SENT_BYTES):
        yield view[start : start + _SENT_BYTES]
    if rest is not None:
        async for chunk in rest:
            yield chunk


def _new_http_state() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)


async def open_connection(
    endpoint: Endpoint, source_ip: str, read_buffer: bytearray
) -> Connection:
    """Opens a connection to an endpoint.

    Args:
        endpoint: The endpoint.
        source_ip: IP address of this process.
        read_buffer: Where reads go first, shared by connections.

    Raises:
        OSError: The endpoint cannot be reached, or refuses.
        TimeoutError: It did not accept the connection in time.
    """
    host, _, port = endpoint.address.rpartition(":")
    loop = asyncio.get_running_loop()
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with contextlib.ExitStack() as stack:
        sock = stack.enter_context(
            create_tcp_socket((family, socket.SOCK_STREAM, 0))
        )
        # What was offered to the endpoint at first isn't taken back later.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        sock.bind((source_ip, 0))
        async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
            await loop.sock_connect(sock, (host, int(port)))
            _, protocol = await loop.create_connection(
                lambda: _ClientProtocol(read_buffer), sock=sock
            )
        stack.pop_all()
    return Connection(endpoint, protocol)
