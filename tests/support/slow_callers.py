"""An endpoint and callers on loopback sockets, for tests of slow readers.

Their socket buffers are small, so that what nobody reads soon stays in the
front end.
"""

import asyncio
import contextlib
import http.client
import io
import itertools
import socket
import types
from collections.abc import AsyncIterator, Callable, Iterator

HOST = "a.example"
SOCKET_BUFFER_BYTES = 8 * 1024
_PAUSE_SECONDS = 0.01
_STEADY_SECONDS = 0.2
_MAX_STEADY_CHECKS = 300
# Far beyond what any step takes.
_PATIENCE_SECONDS = 60.0
_EVENT_BYTES = 2048
_CHUNKS_END = b"0\r\n\r\n"
_IDS = itertools.count(1)


class EndpointRequest:
    """One request at the endpoint stand-in.

    Attributes:
        target: Path of the request.
        sent_bytes: Bytes of the body that the front end's connection took.
        is_closed: Whether the front end closed the connection before the body
            was sent.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.sent_bytes = 0
        self.is_closed = False


class SlowEndpoint:
    """Answers with as many bytes as the path's last part says.

    Paths ``/stream/SIZE`` and ``/stream/SIZE/EVENT_SIZE`` are answered with
    events and ``/plain/SIZE`` with a
    body that has a length. ``/part/SIZE`` announces twice the size, and the
    second half is never sent.

    Attributes:
        requests: Requests so far.
        connections: Number of open connections.
        address: ``IP:PORT``.
    """

    def __init__(self) -> None:
        self.requests: list[EndpointRequest] = []
        self.connections = 0
        self.address = ""

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["SlowEndpoint"]:
        """Serves until the block ends; its clients must be closed by then."""
        server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, backlog=2048
        )
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        yield self
        server.close()
        await wait_for(lambda: not self.connections)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        sock = writer.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
        )
        writer.transport.set_write_buffer_limits(0)
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                request = EndpointRequest(target)
                self.requests.append(request)
                try:
                    await self._answer(request, reader, writer)
                except OSError:
                    request.is_closed = True
                    raise
        self.connections -= 1
        writer.close()

    async def _answer(
        self,
        request: EndpointRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        _, kind, *sizes = request.target.split("/")
        length, event_bytes = map(int, [*sizes, _EVENT_BYTES][:2])
        announced = 2 * length if kind == "part" else length
        framing = f"Content-Length: {announced}\r\n"
        if kind == "stream":
            framing = (
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n"
            )
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n{framing}\r\n"
            "".encode()
        )
        parts = _pieces(length)
        if kind == "stream":
            parts = _events(length, event_bytes)
        for part in parts:
            writer.write(part)
            await writer.drain()
            request.sent_bytes += len(part)
        if kind == "part":
            await reader.read()


def _events(length: int, event_bytes: int) -> Iterator[bytes]:
    for number in range(1, length // event_bytes + 1):
        start = f"id: {number}\ndata: ".encode()
        event = start.ljust(event_bytes - 2, b"x") + b"\n\n"
        yield f"{len(event):x}\r\n".encode() + event + b"\r\n"
    yield _CHUNKS_END


def _pieces(length: int) -> Iterator[bytes]:
    size = 16 * 1024
    for start in range(0, length, size):
        yield b"x" * min(size, length - start)


class SlowCaller:
    """A caller that reads only when it is told to.

    Attributes:
        request: Id of its newest request.
        path: Path of its request.
        received: Bytes read so far.
        end: How the connection ended, or empty.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.request = ""
        self.path = ""
        self.received = bytearray()
        self.end = ""

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> "SlowCaller":
        """Connects to a front end."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES
        )
        await asyncio.get_running_loop().sock_connect(sock, address)
        return cls(sock)

    async def send(self, path: str, deadline_ms: int) -> None:
        """Sends a request."""
        self.request = f"slow{next(_IDS):08x}"
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {self.request}\r\nX-Program-Id: p\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, head.encode())

    async def read(self, until: Callable[[], object] = lambda: False) -> None:
        """Reads to the end of the connection, or until a condition holds."""
        loop = asyncio.get_running_loop()
        while not until():
            try:
                data = await loop.sock_recv(self.sock, 65536)
            except OSError as error:
                self.end = type(error).__name__
                return
            if not data:
                self.end = "closed"
                return
            self.received += data

    @property
    def status(self) -> int:
        """Status of the response."""
        return int(self.received.split(b" ", 2)[1])

    @property
    def is_whole(self) -> bool:
        """Whether it has a whole response."""
        if self.received.endswith(_CHUNKS_END):
            return self.body_bytes() is not None
        return not self.is_chunked and self.body_bytes() is not None

    @property
    def is_chunked(self) -> bool:
        """Whether the response comes in chunks."""
        head, _, _ = self.received.partition(b"\r\n\r\n")
        return b"transfer-encoding: chunked" in head.lower()

    def body_bytes(self) -> int | None:
        """Returns the size of the body, or None if it is not whole."""
        connection = types.SimpleNamespace(
            makefile=lambda mode: io.BytesIO(self.received)
        )
        response = http.client.HTTPResponse(connection)
        try:
            response.begin()
            return len(response.read())
        except http.client.HTTPException:
            return None


async def wait_until_steady(figures: Callable[[], object]) -> None:
    """Waits until figures no longer change, as nobody reads any more."""
    before = None
    for _ in range(_MAX_STEADY_CHECKS):
        if before == (before := figures()):
            return
        await asyncio.sleep(_STEADY_SECONDS)
    raise AssertionError(f"still changing: {before}")


async def wait_for(condition: Callable[[], object]) -> None:
    """Waits until a condition holds."""
    async with asyncio.timeout(_PATIENCE_SECONDS):
        while True:
            if condition():
                return
            await asyncio.sleep(_PAUSE_SECONDS)
