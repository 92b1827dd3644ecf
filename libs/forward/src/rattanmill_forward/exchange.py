"""HTTP/1.1 client for endpoints, based on h11.

For calls that must not run twice, the client has to know more than usual
clients tell: whether anything was sent, whether a response is complete or was
cut off, and whether it belongs to the request. Connections are reused only
while that is certain.
"""

import collections
from collections.abc import AsyncIterator
from typing import Self

import h11
import msgspec

from rattanmill_core import Metrics, log_event, loop_seconds, warn_event
from rattanmill_forward.calls import Headers, HttpCodec, ResponseHead
from rattanmill_forward.connection import (
    READ_BYTES,
    BrokenError,
    Connection,
    Excess,
    ExcessError,
    open_connection,
)
from rattanmill_forward.endpoints import Endpoint

# Idle connections are closed this long before the endpoint would close them: a
# request that crosses the endpoint's close may have run.
_IDLE_MARGIN_SECONDS = 1.0
_MAX_IDLE_SECONDS = 20.0
_MAX_IDLE_CONNECTIONS = 24
_MAX_OPEN_CONNECTIONS = 1024
# What may come before an answer: interim responses, of which servers send one
# or two, and the rest of what belongs to an earlier request.
_MAX_SKIPPED_MESSAGES = 16
_MAX_SKIPPED_BYTES = 256 * 1024


class ConnectFailed(msgspec.Struct, frozen=True):
    """Nothing was sent.

    Attributes:
        why: What happened.
        is_connection_refused: Whether no process listens at the address.
    """

    why: str
    is_connection_refused: bool = False


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """The request was sent and may have run."""

    why: str


class EndpointResponse:
    """An endpoint's response whose head has arrived.

    Attributes:
        head: Status and headers.
        is_complete: Whether the body was read to its end.

    Args:
        pool: Gets the connection back.
        connection: Connection that delivers the body.
        head: Status and headers.
    """

    def __init__(
        self, pool: "ConnectionPool", connection: Connection, head: ResponseHead
    ) -> None:
        self.pool = pool
        self.connection = connection
        self.head = head
        self.is_complete = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            BrokenError: The body was cut off.
        """
        while True:
            event = await self.connection.next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.is_complete = True
                return
            else:
                raise BrokenError("response ended early")

    async def discard(self, max_bytes: int) -> None:
        """Reads the body, so that its connection can be reused.

        Raises:
            BrokenError: The body was cut off.
            ExcessError: It is longer than that.
        """
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > max_bytes:
                raise ExcessError(
                    Excess.REJECTION,
                    f"more than {max_bytes} bytes after a rejection",
                )

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.pool.release(self.connection, self.head, self.is_complete)


class _Skipped:
    """Bounds what an endpoint sends before its answer.

    Args:
        connection: Connection on which the answer is due.
    """

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.bytes_before = connection.received_bytes
        self.messages = 0

    def count_message(self) -> None:
        """Counts a response that is not the answer.

        Raises:
            ExcessError: There have been too many.
        """
        self.messages += 1
        if self.messages > _MAX_SKIPPED_MESSAGES:
            raise ExcessError(
                Excess.MESSAGES,
                f"more than {_MAX_SKIPPED_MESSAGES} responses before the"
                " answer",
            )
        self.check_bytes()

    def check_bytes(self) -> None:
        """Checks the bytes so far.

        Raises:
            ExcessError: There have been too many.
        """
        received = self.connection.received_bytes - self.bytes_before
        if received > _MAX_SKIPPED_BYTES:
            raise ExcessError(
                Excess.BYTES,
                f"more than {_MAX_SKIPPED_BYTES} bytes before the answer",
            )


class ConnectionPool:
    """Connections to endpoints.

    Attributes:
        max_open: Number of connections from which on idle ones are closed for
            new ones.

    Args:
        source_ip: IP address of this process.
        codec: Decodes heads of responses.
        metrics: Counters.
    """

    def __init__(
        self, source_ip: str, codec: HttpCodec, metrics: Metrics
    ) -> None:
        self.source_ip = source_ip
        self.codec = codec
        self.metrics = metrics
        self.idle: dict[str, collections.deque[Connection]] = {}
        self.active: set[Connection] = set()
        self.read_buffer = bytearray(READ_BYTES)
        self.max_open = _MAX_OPEN_CONNECTIONS

    async def send(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        request_id: str,
        body_stream: AsyncIterator[bytes] | None = None,
        abort_when_unreachable: bool = False,
    ) -> EndpointResponse | ConnectFailed | OutcomeUnknown:
        """Sends a request and returns its response once the head has arrived.

        If the caller cancels the request, the connection is closed, which ends
        the endpoint's work.

        Args:
            endpoint: The endpoint to send to.
            method: HTTP method.
            target: Path and query.
            headers: Headers of the request.
            body: The buffered part of the body.
            request_id: Id that the response must carry.
            body_stream: The rest of the body.
            abort_when_unreachable: Whether the request is given up once the
                endpoint's domain is unreachable.
        """
        connection = await self._acquire(endpoint)
        if isinstance(connection, ConnectFailed):
            return connection
        connection.abort_when_unreachable = abort_when_unreachable
        self.active.add(connection)
        try:
            connection.send(method, target, headers, body, body_stream)
        except h11.LocalProtocolError as error:
            self._drop(connection)
            return ConnectFailed(f"request cannot be sent: {error}")
        try:
            head = await self._read_head(connection, request_id)
        except (BrokenError, h11.LocalProtocolError) as error:
            self._drop(connection)
            if isinstance(error, ExcessError):
                self.record_excess(endpoint, request_id, error)
            return OutcomeUnknown(str(error))
        except BaseException:
            self._drop(connection)
            raise
        return EndpointResponse(self, connection, head)

    def record_excess(
        self, endpoint: Endpoint, request_id: str, error: ExcessError
    ) -> None:
        """Records that an endpoint sent more than an answer may have."""
        self.metrics.count("rattanmill_excess_answers", excess=error.excess)
        warn_event(
            "answer_in_excess",
            request=request_id,
            endpoint=endpoint.name,
            service=endpoint.service,
            excess=error.excess,
            why=str(error),
        )

    def _drop(self, connection: Connection) -> None:
        self.active.discard(connection)
        connection.abort()

    def abort_domain(self, domain: str) -> None:
        """Gives up requests to a domain that became unreachable.

        Otherwise a stream would end only when its caller times out, after two
        seconds and more. Idle connections may be dead too and are closed.
        """
        aborted = [
            connection
            for connection in self.active
            if connection.abort_when_unreachable
            and connection.endpoint.domain == domain
        ]
        for connection in aborted:
            connection.protocol.fail(
                BrokenError("failure domain is unreachable")
            )
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
            exchanges=len(aborted),
            idle=len(idle),
        )

    async def can_connect(self, endpoint: Endpoint) -> bool:
        """Whether a connection to an endpoint can be opened."""
        connection = await self._open_connection(endpoint)
        if isinstance(connection, ConnectFailed):
            return False
        connection.abort()
        return True

    async def _read_head(
        self, connection: Connection, request_id: str
    ) -> ResponseHead:
        skipped = _Skipped(connection)
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.InformationalResponse):
                skipped.count_message()
                continue
            if not isinstance(event, h11.Response):
                raise BrokenError("connection closed without a response")
            head = self.codec.decode_response(
                event.status_code, _headers(event.headers)
            )
            if head.request_id == request_id or not head.request_id:
                return head
            self.metrics.count("rattanmill_foreign_answers")
            skipped.count_message()
            await self._discard_response(connection, skipped)

    async def _discard_response(
        self, connection: Connection, skipped: _Skipped
    ) -> None:
        """Reads a response to another request to its end."""
        while not isinstance(
            event := await connection.next_event(), h11.EndOfMessage
        ):
            if not isinstance(event, h11.Data):
                raise BrokenError("response to another request was cut off")
            skipped.check_bytes()
        connection.expect_next_response()

    async def _acquire(self, endpoint: Endpoint) -> Connection | ConnectFailed:
        idle = self.idle.get(endpoint.address)
        while idle:
            connection = idle.pop()
            same = connection.endpoint.name == endpoint.name
            if same and connection.is_reusable:
                connection.protocol.is_idle = False
                return connection
            connection.abort()
        return await self._open_connection(endpoint)

    async def _open_connection(
        self, endpoint: Endpoint
    ) -> Connection | ConnectFailed:
        self.metrics.count("rattanmill_endpoint_connections")
        self._make_room()
        try:
            return await open_connection(
                endpoint, self.source_ip, self.read_buffer
            )
        except (OSError, TimeoutError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            return ConnectFailed(
                str(error) or "connection timed out", is_refused
            )

    def _make_room(self) -> None:
        """Closes an idle connection if there are too many in all."""
        idle_count = sum(map(len, self.idle.values()))
        if idle_count and idle_count + len(self.active) >= self.max_open:
            # The one that was least recently used, of the endpoint with most.
            max(self.idle.values(), key=len).popleft().abort()

    def has_open_idle(self, endpoint: Endpoint) -> bool:
        """Whether an idle connection to the endpoint is still open."""
        return any(
            connection.endpoint == endpoint and connection.protocol.is_clean
            for connection in self.idle.get(endpoint.address, ())
        )

    async def refuses_connections(self, endpoint: Endpoint) -> bool:
        """Whether no process listens at an endpoint's address.

        An endpoint that is merely unreachable may still be running.
        """
        connection = await self._open_connection(endpoint)
        if isinstance(connection, ConnectFailed):
            return connection.is_connection_refused
        connection.abort()
        return False

    def release(
        self, connection: Connection, head: ResponseHead, is_complete: bool
    ) -> None:
        """Keeps a connection if its response was complete, with no extra data.

        Otherwise closes it.
        """
        self.active.discard(connection)
        is_kept = is_complete and not head.closes_connection
        if not is_kept or not connection.finish():
            connection.abort()
            return
        limit = _MAX_IDLE_SECONDS
        if head.idle_timeout_seconds is not None:
            limit = min(limit, head.idle_timeout_seconds - _IDLE_MARGIN_SECONDS)
        connection.idle_until = loop_seconds() + limit
        idle = self.idle.setdefault(
            connection.endpoint.address, collections.deque()
        )
        idle.append(connection)
        while len(idle) > _MAX_IDLE_CONNECTIONS:
            idle.popleft().abort()

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        for address, idle in list(self.idle.items()):
            reusable = [c for c in idle if c.is_reusable]
            for connection in idle:
                if connection not in reusable:
                    connection.abort()
            if reusable:
                self.idle[address] = collections.deque(reusable)
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
