"""Calls to endpoints: model engines and plain services."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace

import aiohttp
import msgspec

from rattanmill_core import DECODE_ERRORS
from rattanmill_entry.deltas import check_delta
from rattanmill_policy import Outcome

_CONNECT_TIMEOUT_SECONDS = 2.0
_READ_TIMEOUT_SECONDS = 60.0
_MIN_TIMEOUT_SECONDS = 0.001
_MAX_EVENT_BYTES = 1024 * 1024
_MAX_DETAIL_BYTES = 4096


class Usage(msgspec.Struct):
    """Tokens an engine reports for a call."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Delta(msgspec.Struct):
    """A part of a streamed answer.

    Attributes:
        fields: The ``delta`` object of the first choice.
        event: JSON of the whole event.
    """

    fields: dict
    event: bytes


class Finished(msgspec.Struct):
    """The whole answer has arrived.

    Attributes:
        finish_reason: Why the engine stopped.
        usage: Tokens that the engine reported.
    """

    finish_reason: str
    usage: Usage


class Failed(msgspec.Struct):
    """The attempt ended without a complete response.

    Attributes:
        outcome: How it ended.
        status: HTTP status, or 0.
        detail: Description of the error, or the body of the response.
    """

    outcome: Outcome
    status: int
    detail: str


class ServiceResponse(msgspec.Struct):
    """Response of a plain service."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class _WireUsage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None


class _Choice(msgspec.Struct):
    delta: dict = msgspec.field(default_factory=dict)
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = msgspec.field(default_factory=list)
    usage: _WireUsage | None = None
    error: object = None


_EVENT_DECODER = msgspec.json.Decoder(_Event)
_EXCLUDED_RESPONSE_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_MAX_ANSWER_BYTES = 64 * 1024 * 1024


def stream_chat(
    session: aiohttp.ClientSession,
    url: str,
    body: bytes,
    headers: dict[str, str],
    read_timeout_seconds: float = _READ_TIMEOUT_SECONDS,
) -> AsyncIterator[Delta | Finished | Failed]:
    """Runs a chat call; the last part is Finished or Failed.

    An answer is complete only with a finish reason, a usage and the
    ``[DONE]`` line. Otherwise a connection that ends early would look like a
    short answer.

    Args:
        session: HTTP session.
        url: Base URL of the engine.
        body: JSON of the request.
        headers: Headers of the request.
        read_timeout_seconds: Longest time between two reads.
    """
    headers = {"Content-Type": "application/json", **headers}
    return _stream(
        session.post(
            f"{url}/v1/chat/completions",
            data=body,
            headers=headers,
            timeout=_stream_timeout(read_timeout_seconds),
            allow_redirects=False,
            middlewares=(_no_resend_middleware(),),
        )
    )


def resume_chat(
    session: aiohttp.ClientSession,
    url: str,
    request_id: str,
    read_timeout_seconds: float = _READ_TIMEOUT_SECONDS,
) -> AsyncIterator[Delta | Finished | Failed]:
    """Reads the stream of a call again from its first token.

    Args:
        session: HTTP session.
        url: Base URL of the engine.
        request_id: Id of the call at the engine.
        read_timeout_seconds: Longest time between two reads.
    """
    return _stream(
        session.get(
            f"{url}/v1/streams/{request_id}?from=0",
            timeout=_stream_timeout(read_timeout_seconds),
            allow_redirects=False,
        )
    )


def _stream_timeout(read_timeout_seconds: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=None,
        sock_connect=_CONNECT_TIMEOUT_SECONDS,
        sock_read=read_timeout_seconds,
    )


async def _stream(
    call: contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse],
) -> AsyncIterator[Delta | Finished | Failed]:
    try:
        async with call as response:
            if response.status != 200:
                yield await _failed_response(response)
                return
            async for part in _parts(response.content):
                yield part
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as e:
        yield Failed(Outcome.NOT_CONNECTED, 0, str(e))
    except TimeoutError:
        yield Failed(Outcome.TIMED_OUT, 0, "timed out waiting for a token")
    except (aiohttp.ClientError, OSError, *DECODE_ERRORS) as error:
        yield Failed(Outcome.BROKEN, 0, str(error) or "connection lost")


async def _parts(
    content: aiohttp.StreamReader,
) -> AsyncIterator[Delta | Finished | Failed]:
    finish = ""
    usage = None
    async for data in _events(content):
        if data == b"[DONE]":
            if finish and usage:
                yield Finished(finish, usage)
            else:
                yield Failed(
                    Outcome.BROKEN, 0, "no finish reason or usage in stream"
                )
            return
        event = _EVENT_DECODER.decode(data)
        if event.error is not None:
            detail = data.decode(errors="replace")[:_MAX_DETAIL_BYTES]
            yield Failed(Outcome.BROKEN, 0, detail)
            return
        if event.usage:
            usage = _usage(event.usage)
        if event.choices:
            choice = event.choices[0]
            finish = choice.finish_reason or finish
            if choice.delta:
                check_delta(choice.delta)
                yield Delta(choice.delta, data)
    yield Failed(Outcome.BROKEN, 0, "stream ended early")


async def _failed_response(response: aiohttp.ClientResponse) -> Failed:
    """Returns the failure for a response with an error status.

    Only ``draining`` shows that nothing ran; an engine that fails for another
    reason may have started the call.
    """
    detail = (await response.content.read(_MAX_DETAIL_BYTES)).decode(
        errors="replace"
    )
    if response.status == 503 and '"draining"' in detail:
        outcome = Outcome.DRAINING
    elif response.status >= 500:
        outcome = Outcome.BROKEN
    else:
        outcome = Outcome.REJECTED
    return Failed(outcome, response.status, detail)


async def _events(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yields the data of each server-sent event."""
    rest = b""
    size = 0
    # Bytes since the last event with data, comments included.
    idle_bytes = 0
    async for part in content.iter_any():
        size += len(part)
        if size > _MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError("response too large")
        idle_bytes += len(part)
        rest += part
        *events, rest = rest.split(b"\n\n")
        for event in events:
            for line in event.split(b"\n"):
                if line.startswith(b"data:"):
                    idle_bytes = len(rest)
                    yield line[5:].strip()
        if idle_bytes > _MAX_EVENT_BYTES:
            raise aiohttp.ClientPayloadError("event too large")


def _usage(wire: _WireUsage) -> Usage:
    details = wire.prompt_tokens_details or _PromptDetails()
    return Usage(
        wire.prompt_tokens, wire.completion_tokens, details.cached_tokens
    )


async def call_service(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    headers: list[tuple[str, str]],
    body: bytes,
    timeout_seconds: float,
    no_resend: bool = False,
    may_send: Callable[[], bool] | None = None,
) -> ServiceResponse | Failed:
    """Runs one call of a plain service.

    Args:
        session: HTTP session.
        method: HTTP method.
        url: URL of the request.
        headers: Headers of the request.
        body: Body of the request.
        timeout_seconds: Limit of the whole call.
        no_resend: Stops aiohttp from sending the request a second time.
        may_send: Called once more when a connection has been made; needs a
            session with ``send_guard_trace``.
    """
    timeout = aiohttp.ClientTimeout(
        # aiohttp takes 0 for no limit.
        total=max(timeout_seconds, _MIN_TIMEOUT_SECONDS),
        sock_connect=_CONNECT_TIMEOUT_SECONDS,
    )
    try:
        async with session.request(
            method,
            url,
            headers=headers,
            data=body,
            timeout=timeout,
            # A redirect is passed to the caller: aiohttp would follow it and
            # send a request again that has run already.
            allow_redirects=False,
            skip_auto_headers=("Accept-Encoding", "Content-Type"),
            middlewares=(_no_resend_middleware(),) if no_resend else (),
            trace_request_ctx=may_send,
        ) as response:
            data = await _read_bounded(response)
            response_headers = [
                (str(name), value)
                for name, value in response.headers.items()
                if name.lower() not in _EXCLUDED_RESPONSE_HEADERS
            ]
            return ServiceResponse(response.status, response_headers, data)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
        _WithheldError,
    ) as e:
        return Failed(Outcome.NOT_CONNECTED, 0, str(e))
    except TimeoutError:
        return Failed(Outcome.TIMED_OUT, 0, "timed out")
    except (aiohttp.ClientError, OSError) as error:
        return Failed(Outcome.BROKEN, 0, str(error) or "connection lost")


class _WithheldError(aiohttp.ClientError):
    """The request must not be sent any more on the new connection."""


def send_guard_trace() -> aiohttp.TraceConfig:
    """Returns a trace that calls ``may_send`` between connecting and sending.

    A process may be paused while it connects; the kernel completes the
    connection meanwhile. When the process is resumed, it would send a request
    whose outcome its replacement has already reported as unknown.
    """

    async def check_may_send(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionCreateEndParams,
    ) -> None:
        may_send = context.trace_request_ctx
        if may_send is not None and not may_send():
            raise _WithheldError("not sent")

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(check_may_send)
    return trace


def _no_resend_middleware() -> aiohttp.ClientMiddlewareType:
    """Returns a middleware that prevents retries by aiohttp itself.

    If a connection breaks before the response, aiohttp sends PUT, DELETE and
    other methods again, even if the connection was new. The service would run
    one call twice.
    """
    sent = False

    async def middleware(
        request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        nonlocal sent
        if sent:
            raise aiohttp.ClientConnectionError("connection lost")
        sent = True
        return await handler(request)

    return middleware


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Returns the whole body.

    Raises:
        aiohttp.ClientError: The body is too large or was broken off.
    """
    connection = response.connection
    protocol = connection.protocol if connection else None
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > _MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError("response too large")
        parts.append(part)
    # aiohttp takes any end of the connection for the end of such a body.
    if protocol is not None and not _is_delimited(response):
        error = protocol.exception()
        if isinstance(error, aiohttp.ClientOSError):
            raise aiohttp.ClientPayloadError(str(error) or "connection reset")
    return b"".join(parts)


def _is_delimited(response: aiohttp.ClientResponse) -> bool:
    """Whether the response states the end of its body."""
    coding = response.headers.get("Transfer-Encoding", "")
    return "Content-Length" in response.headers or "chunked" in coding.lower()


async def cancel_chat(
    session: aiohttp.ClientSession, url: str, request_id: str
) -> None:
    """Cancels a call at an engine that nothing waits for any more."""
    timeout = aiohttp.ClientTimeout(total=_CONNECT_TIMEOUT_SECONDS)
    with contextlib.suppress(
        aiohttp.ClientError, OSError, asyncio.TimeoutError
    ):
        async with session.post(
            f"{url}/v1/cancel", json={"request": request_id}, timeout=timeout
        ):
            pass
