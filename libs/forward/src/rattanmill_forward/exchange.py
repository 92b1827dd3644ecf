"""HTTP/1.1 to endpoints, by h11.

A call that may run once needs to know more than usual clients tell: whether
anything was sent, whether an answer is whole or was cut, and whether it
belongs to the request. Connections are kept only while that is certain.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
from typing import Self

import h11
import msgspec

from rattanmill_core import Metrics, log_event, loop_seconds
from rattanmill_forward.calls import AnswerHead, Dialect, Headers
from rattanmill_forward.endpoints import Endpoint
from rattanmill_platform import bound_silence

# A trip takes a few milliseconds; an endpoint whose first packet was dropped,
# or that is cut off, is not worth more of a caller's time.
_CONNECT_SECONDS = 0.25
# Idle connections are closed this long before the endpoint would: a request
# that crosses its close may have run.
_IDLE_MARGIN_SECONDS = 1.0
_IDLE_SECONDS = 20.0
_MOST_IDLE = 24
_MOST_HEAD_BYTES = 64 * 1024
_PAUSE_BYTES = 256 * 1024


class ConnectFailed(msgspec.Struct, frozen=True):
    """Nothing was sent.

    Attributes:
        why: What happened.
        is_refused: Whether nobody listens at the address.
    """

    why: str
    is_refused: bool = False


class Broken(msgspec.Struct, frozen=True):
    """The request was sent and may have run."""

    why: str


class BrokenError(Exception):
    """The connection ended, or what came is no answer."""


class _Wire(asyncio.Protocol):
    """Bytes of one connection, with back-pressure."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.eof = False
        self.error: Exception | None = None
        self.waiter: asyncio.Future | None = None
        self.paused = False
        self.writable = asyncio.Event()
        self.writable.set()

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data
        if len(self.received) > _PAUSE_BYTES and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        self.eof = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.eof:
            self.error = exc or ConnectionResetError("closed")
        self.eof = True
        self.writable.set()
        self._wake()

    def fail(self, error: Exception) -> None:
        """Ends what is being received with an error of our own."""
        self.error = error
        self.eof = True
        self._wake()

    @property
    def is_clean(self) -> bool:
        """Whether it is open and nothing has come that nobody asked for."""
        return not (self.eof or self.received or self.error)

    async def receive(self) -> bytes:
        """Returns what has come; empty at a proper end.

        Raises:
            BrokenError: The connection was reset.
        """
        while not self.received and not self.eof:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        if self.received:
            data = bytes(self.received)
            self.received.clear()
            if self.paused:
                self.paused = False
                self.transport.resume_reading()
            return data
        if self.error:
            raise BrokenError(str(self.error) or "connection reset")
        return b""

    def _wake(self) -> None:
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)


class Connection:
    """One connection to an endpoint, used for one request at a time."""

    def __init__(self, endpoint: Endpoint, wire: _Wire) -> None:
        self.endpoint = endpoint
        self.wire = wire
        self.http = _new_http()
        self.idle_until = 0.0
        self.may_break = False
        self.pump: asyncio.Task | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether the next request may go over it."""
        return self.wire.is_clean and loop_seconds() < self.idle_until

    def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        rest: AsyncIterator[bytes] | None = None,
    ) -> None:
        """Writes a request; the rest of its body follows as it comes.

        Raises:
            h11.LocalProtocolError: It can't be written as a request.
        """
        request = h11.Request(method=method, target=target, headers=headers)
        data = self.http.send(request)
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        if rest is None:
            data += self.http.send(h11.EndOfMessage()) or b""
        self.request = request
        self.wire.transport.write(data)
        if rest is not None:
            self.pump = asyncio.create_task(self._send_rest(rest))

    async def _send_rest(self, rest: AsyncIterator[bytes]) -> None:
        """Passes the rest of a body on, as fast as the endpoint reads it."""
        try:
            async for chunk in rest:
                await self.wire.writable.wait()
                if self.wire.eof:
                    return
                self.wire.transport.write(self.http.send(h11.Data(data=chunk)))
            self.wire.transport.write(self.http.send(h11.EndOfMessage()) or b"")
        except (BrokenError, OSError, h11.LocalProtocolError) as error:
            # Whoever waits for the answer learns it from the connection.
            self.wire.fail(error)

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Returns the next event of the answer.

        Raises:
            BrokenError: It ended early, or is no answer.
        """
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise BrokenError(f"not an answer: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            data = await self.wire.receive()
            try:
                self.http.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise BrokenError(f"not an answer: {error}") from error

    def skip_answer(self) -> None:
        """Goes on to the next answer on this connection.

        An extra answer, to an earlier request, stands where ours is due.
        """
        rest, _ = self.http.trailing_data
        self.http = _new_http()
        # Tells the parser which request is out, nothing is sent again.
        bare = [
            (name, value)
            for name, value in self.request.headers
            if name != b"content-length"
        ]
        self.http.send(
            h11.Request(
                method=self.request.method,
                target=self.request.target,
                headers=bare,
            )
        )
        self.http.send(h11.EndOfMessage())
        # No bytes would mean the connection's end to the parser.
        if rest:
            self.http.receive_data(rest)

    def abort(self) -> None:
        """Closes it at once, which ends the endpoint's work on it."""
        if self.pump:
            self.pump.cancel()
        if self.wire.transport:
            self.wire.transport.abort()


def _new_http() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=_MOST_HEAD_BYTES
    )


class Answer:
    """An endpoint's answer whose head has come.

    Attributes:
        head: Status and headers.

    Args:
        pool: Gets the connection back.
        connection: Where the body comes from.
        head: Status and headers.
    """

    def __init__(
        self, pool: "Pool", connection: Connection, head: AnswerHead
    ) -> None:
        self.pool = pool
        self.connection = connection
        self.head = head
        self.ended = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes.

        Raises:
            BrokenError: It was cut off.
        """
        while True:
            event = await self.connection.next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.ended = True
                return
            else:
                raise BrokenError("the answer ended early")

    async def read(self) -> bytes:
        """Returns the whole body.

        Raises:
            BrokenError: It was cut off.
        """
        return b"".join([chunk async for chunk in self.chunks()])

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.pool.give_back(self.connection, self.head, self.ended)


class Pool:
    """Connections to endpoints.

    Args:
        source: Own IP address.
        dialect: How heads of answers are read.
        metrics: Counters.
    """

    def __init__(self, source: str, dialect: Dialect, metrics: Metrics) -> None:
        self.source = source
        self.dialect = dialect
        self.metrics = metrics
        self.idle: dict[str, collections.deque[Connection]] = {}
        self.active: set[Connection] = set()

    async def ask(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        request: str,
        rest: AsyncIterator[bytes] | None = None,
        may_break: bool = False,
    ) -> Answer | ConnectFailed | Broken:
        """Sends a request and returns its answer once the head is there.

        A request whose caller cancels it ends the endpoint's work.

        Args:
            endpoint: Where to.
            method: HTTP method.
            target: Path and query.
            headers: Headers.
            body: What is at hand of the body.
            request: Id that the answer bears.
            rest: What follows of the body.
            may_break: Whether it is given up once the endpoint's domain is
                out of reach.
        """
        connection = await self._connect(endpoint)
        if isinstance(connection, ConnectFailed):
            return connection
        connection.may_break = may_break
        self.active.add(connection)
        try:
            connection.send(method, target, headers, body, rest)
        except h11.LocalProtocolError as error:
            self._drop(connection)
            return ConnectFailed(f"cannot be sent: {error}")
        try:
            head = await self._head(connection, request)
        except (BrokenError, h11.LocalProtocolError) as error:
            self._drop(connection)
            return Broken(str(error))
        except BaseException:
            self._drop(connection)
            raise
        return Answer(self, connection, head)

    def _drop(self, connection: Connection) -> None:
        self.active.discard(connection)
        connection.abort()

    def cut(self, domain: str) -> None:
        """Gives up what waits for a domain that is out of reach.

        Left waiting, a stream ends when its caller's patience does, after two
        seconds and more. Connections that are idle may be dead too.
        """
        broken = [
            connection
            for connection in self.active
            if connection.may_break and connection.endpoint.domain == domain
        ]
        for connection in broken:
            connection.wire.fail(BrokenError("its failure domain is cut off"))
        idle = [
            address
            for address, connections in self.idle.items()
            if connections and connections[0].endpoint.domain == domain
        ]
        for address in idle:
            for connection in self.idle.pop(address):
                connection.abort()
        log_event(
            "domain_given_up",
            domain=domain,
            exchanges=len(broken),
            idle=len(idle),
        )

    async def reaches(self, endpoint: Endpoint) -> bool:
        """Whether a connection to an endpoint can be made."""
        connection = await self._open(endpoint)
        if isinstance(connection, ConnectFailed):
            return False
        connection.abort()
        return True

    async def _head(self, connection: Connection, request: str) -> AnswerHead:
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BrokenError("closed without an answer")
            head = self.dialect.read_answer(
                event.status_code, _headers(event.headers)
            )
            if head.request == request or not head.request:
                return head
            self.metrics.count("rattanmill_foreign_answers")
            await self._pass_over(connection)

    async def _pass_over(self, connection: Connection) -> None:
        """Reads an answer to another request to its end."""
        while not isinstance(
            event := await connection.next_event(), h11.EndOfMessage
        ):
            if not isinstance(event, h11.Data):
                raise BrokenError("an answer to another request, cut off")
        connection.skip_answer()

    async def _connect(self, endpoint: Endpoint) -> Connection | ConnectFailed:
        idle = self.idle.get(endpoint.address)
        while idle:
            connection = idle.pop()
            same = connection.endpoint.name == endpoint.name
            if same and connection.is_reusable:
                return connection
            connection.abort()
        return await self._open(endpoint)

    async def _open(self, endpoint: Endpoint) -> Connection | ConnectFailed:
        host, _, port = endpoint.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.metrics.count("rattanmill_endpoint_connections")
        try:
            async with asyncio.timeout(_CONNECT_SECONDS):
                _, wire = await loop.create_connection(
                    _Wire, host, int(port), local_addr=(self.source, 0)
                )
        except (OSError, TimeoutError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            return ConnectFailed(str(error) or "timeout", is_refused)
        bound_silence(wire.transport.get_extra_info("socket"))
        return Connection(endpoint, wire)

    def has_open(self, endpoint: Endpoint) -> bool:
        """Whether an idle connection to it is still open."""
        return any(
            connection.endpoint == endpoint and connection.wire.is_clean
            for connection in self.idle.get(endpoint.address, ())
        )

    async def is_refused(self, endpoint: Endpoint) -> bool:
        """Whether nobody listens at an endpoint's address.

        One that is out of reach may run on.
        """
        connection = await self._open(endpoint)
        if isinstance(connection, ConnectFailed):
            return connection.is_refused
        connection.abort()
        return False

    def give_back(
        self, connection: Connection, head: AnswerHead, ended: bool
    ) -> None:
        """Keeps a connection whose answer was whole and nothing more."""
        self.active.discard(connection)
        http = connection.http
        rest, _ = http.trailing_data
        is_done = (
            ended
            and not head.closes
            and not rest
            and connection.wire.is_clean
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
        )
        if not is_done:
            connection.abort()
            return
        http.start_next_cycle()
        limit = _IDLE_SECONDS
        if head.idle_seconds is not None:
            limit = min(limit, head.idle_seconds - _IDLE_MARGIN_SECONDS)
        connection.idle_until = loop_seconds() + limit
        idle = self.idle.setdefault(
            connection.endpoint.address, collections.deque()
        )
        idle.append(connection)
        while len(idle) > _MOST_IDLE:
            idle.popleft().abort()

    def sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        for address, idle in list(self.idle.items()):
            kept = [c for c in idle if c.is_reusable]
            for connection in idle:
                if connection not in kept:
                    connection.abort()
            if kept:
                self.idle[address] = collections.deque(kept)
            else:
                del self.idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self.idle.values():
            for connection in idle:
                connection.abort()
        self.idle.clear()


def _headers(raw: h11._headers.Headers) -> Headers:
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in raw.raw_items()
    ]
