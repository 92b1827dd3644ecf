"""Reads callers' bodies up to the configured limits.

The body of a turn is read whole, since its chain is put before it. Of any other
body, as much as can be sent again is buffered before an endpoint is chosen. The
rest of a longer body is streamed as it arrives, so that a few long bodies do
not exhaust the memory of a front end, which shows as front ends that are
killed. What is held of a body is reserved before it is read.
"""

from collections.abc import AsyncIterator

from aiohttp import StreamReader

from rattanmill_core import HeldMemory, Ran, Reason, Refusal, refuse
from rattanmill_forward import web
from rattanmill_forward.connection import BrokenError

# Typical bodies have at most 20 KB; a thousand buffers of this size fit into a
# front end's memory.
_MAX_BUFFERED_BYTES = 64 * 1024
# What a turn takes at its end: its body, the text that is kept of it, and the
# message that has the text.
_TURN_COPIES = 3
# What other bodies take: the buffer, and what is being written of it.
_PLAIN_COPIES = 2
# What has arrived of longer ones beside the buffer.
_READ_AHEAD_BYTES = 64 * 1024
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RevokedError(TimeoutError):
    """A body made next to no progress, and its memory was needed."""


class FramingError(Exception):
    """A body has more framing than its chunks need."""


class BodyStream:
    """The part of a long body that is forwarded as it arrives, once.

    Attributes:
        size: Size of the whole body in bytes, or None if it is unknown until
            the body ends.
        is_started: Whether any of it may have been forwarded.
        refusal: Why it was rejected, or None.

    Args:
        request: The request with the body.
        received_bytes: Bytes received so far.
        max_bytes: Maximum size of the whole body.
        held: Memory that is reserved for it.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        received_bytes: int,
        max_bytes: int,
        held: HeldMemory,
    ) -> None:
        self.held = held
        self.content = request.content
        self.size = request.content_length
        self.received_bytes = received_bytes
        self.max_bytes = max_bytes
        self.is_started = False
        self.refusal: Refusal | None = None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            BrokenError: The body exceeds a limit, or has stalled.
        """
        self.is_started = True
        try:
            async for chunk in self.content.iter_any():
                self.held.receive(len(chunk))
                self.received_bytes += len(chunk)
                if self.received_bytes > self.max_bytes:
                    self.refusal = _too_large(self.max_bytes)
                    raise BrokenError("request body exceeds the limit")
                yield chunk
        except FramingError as error:
            self.refusal = _refuse_framing(self.content, error)
            raise BrokenError(str(error)) from error
        except RevokedError as error:
            # An endpoint may have begun to run the request.
            self.refusal = refuse(
                Reason.ANSWER_CUT, str(error), ran=Ran.UNKNOWN
            )
            raise BrokenError(str(error)) from error
        self.held.finish()


async def read_body(
    request: web.BaseRequest,
    max_bytes: int,
    read_whole: bool,
    held: HeldMemory,
) -> tuple[bytes, BodyStream | None] | Refusal:
    """Reads a body, or the part of it that is buffered.

    Args:
        request: The request with the body.
        max_bytes: Maximum size of the whole body.
        read_whole: Whether the whole body is read, however long.
        held: Gets the memory that is reserved for it.
    """
    length = request.content_length
    if (length or 0) > max_bytes:
        return _too_large(max_bytes)
    if not held.grow(_held_bytes(length or 0, read_whole)):
        return _memory_exhausted()
    held.begin(lambda: _revoke(request))
    refusal = await _accept_expectation(request)
    if refusal:
        return refusal
    body = bytearray()
    try:
        async for chunk in request.content.iter_any():
            held.receive(len(chunk))
            body += chunk
            if len(body) > max_bytes:
                return _too_large(max_bytes)
            if not held.cover(_held_bytes(len(body), read_whole)):
                return _memory_exhausted()
            if (
                len(body) > _MAX_BUFFERED_BYTES
                and not read_whole
                and not _is_complete(request)
            ):
                rest = BodyStream(request, len(body), max_bytes, held)
                return bytes(body), rest
    except FramingError as error:
        return _refuse_framing(request.content, error)
    except RevokedError:
        return _memory_exhausted()
    else:
        held.finish()
        return bytes(body), None
    finally:
        # An error that ends the body, and is kept with it, refers to this
        # frame.
        body.clear()


def _held_bytes(size: int, read_whole: bool) -> int:
    """Returns how much memory a body of a size takes while it is served."""
    if read_whole:
        return size * _TURN_COPIES
    if size <= _MAX_BUFFERED_BYTES:
        return size * _PLAIN_COPIES
    return _MAX_BUFFERED_BYTES * _PLAIN_COPIES + _READ_AHEAD_BYTES


def _revoke(request: web.BaseRequest) -> None:
    request.content.set_exception(
        RevokedError("the request body made too little progress")
    )


async def _accept_expectation(request: web.BaseRequest) -> Refusal | None:
    """Sends ``100 Continue`` if the caller waits for it.

    Otherwise the caller would hold its body back until its own timeout.
    """
    expected = request.headers.get("Expect", "").lower()
    if not expected:
        return None
    if expected != "100-continue":
        return refuse(
            Reason.BAD_REQUEST, f"unsupported expectation: {expected}"
        )
    if request.can_read_body:
        await request.writer.write(_CONTINUE)
        # The head of the final response is still to be written.
        request.writer.output_size = 0
    return None


def _is_complete(request: web.BaseRequest) -> bool:
    return request.content.is_eof() and request.content.at_eof()


def _refuse_framing(content: StreamReader, error: FramingError) -> Refusal:
    # What follows is read for a while, so that the caller gets the refusal.
    content.set_exception(None)
    return refuse(Reason.BODY_TOO_LARGE, str(error))


def _too_large(max_bytes: int) -> Refusal:
    return refuse(
        Reason.BODY_TOO_LARGE, f"request body exceeds {max_bytes} bytes"
    )


def _memory_exhausted() -> Refusal:
    return refuse(
        Reason.MEMORY_EXHAUSTED,
        "the memory for requests is used by others",
    )
