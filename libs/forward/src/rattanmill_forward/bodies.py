"""Callers' bodies, read up to the operators' bounds.

A turn's body is read whole, since its chain goes before it. Of any other one
as much as could be sent again is read before an endpoint is chosen; what is
longer goes on as it arrives, so that a few long bodies do not fill the
memory of a front. One notices that by fronts that are killed.
"""

from collections.abc import AsyncIterator

from aiohttp import web

from rattanmill_core import Reason, Refusal, refuse
from rattanmill_forward.exchange import BrokenError

# Bodies in use have at most 20 KB; a thousand of this bound at a time fill
# the memory of no front.
_KEPT_BYTES = 64 * 1024
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Rest:
    """The part of a long body that is passed on as it arrives, once.

    Attributes:
        size: Bytes of the whole body, or None if only its end will tell.
        taken: Whether any of it may have been passed on.
        refusal: Why it was given up, or None.

    Args:
        request: Whose body it is.
        come: Bytes that have come so far.
        most: Most bytes of the whole body.
    """

    def __init__(self, request: web.BaseRequest, come: int, most: int) -> None:
        self.content = request.content
        self.size = request.content_length
        self.come = come
        self.most = most
        self.taken = False
        self.refusal: Refusal | None = None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields it as it comes.

        Raises:
            BrokenError: It is longer than the bound.
        """
        self.taken = True
        async for chunk in self.content.iter_any():
            self.come += len(chunk)
            if self.come > self.most:
                self.refusal = _too_large(self.most)
                raise BrokenError("the caller's body is too long")
            yield chunk


async def read_body(
    request: web.BaseRequest, most: int, whole: bool
) -> tuple[bytes, Rest | None] | Refusal:
    """Reads a body, or the part of it that is kept.

    Args:
        request: Whose body it is.
        most: Most bytes of the whole body.
        whole: Whether all of it is read, however long.
    """
    if (request.content_length or 0) > most:
        return _too_large(most)
    refusal = await _invite(request)
    if refusal:
        return refusal
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > most:
            return _too_large(most)
        if len(body) > _KEPT_BYTES and not whole and not _ended(request):
            return bytes(body), Rest(request, len(body), most)
    return bytes(body), None


async def _invite(request: web.BaseRequest) -> Refusal | None:
    """Asks for the body if the caller waits to be asked.

    It would else hold its body back until its own time-out.
    """
    expected = request.headers.get("Expect", "").lower()
    if not expected:
        return None
    if expected != "100-continue":
        return refuse(Reason.BAD_REQUEST, f"cannot meet Expect: {expected}")
    if request.can_read_body:
        await request.writer.write(_CONTINUE)
        # The answer's head is still to be written.
        request.writer.output_size = 0
    return None


def _ended(request: web.BaseRequest) -> bool:
    return request.content.is_eof() and request.content.at_eof()


def _too_large(most: int) -> Refusal:
    return refuse(Reason.BODY_TOO_LARGE, f"a body of more than {most} bytes")
