"""Writes responses to callers no faster than they read them.

What a caller has not read counts as memory of the machine, and so does the
beginning of a response that is buffered before the caller gets any of it.
"""

from collections.abc import Callable
from typing import Self

from rattanmill_core import HeldMemory
from rattanmill_forward import web

# Written at a time, and held by a connection whose caller does not read.
PIECE_BYTES = 16 * 1024
# Responses up to this size are buffered whole before the caller gets the first
# byte, so that one that breaks off earlier can still be retried on another
# endpoint.
_MAX_BUFFERED_BYTES = 256 * 1024


async def write_paced(
    request: web.BaseRequest, response: web.StreamResponse, data: bytes
) -> None:
    """Writes a part of a response, and waits until most of it was sent."""
    view = memoryview(data)
    for start in range(0, len(view), PIECE_BYTES):
        await response.write(view[start : start + PIECE_BYTES])
        # aiohttp has no public way to wait, and by itself waits after 64 KB.
        await request.protocol._drain_helper()


class BufferedBody:
    """The beginning of a response; a context manager gives its memory back.

    Attributes:
        pieces: What is buffered, in order.
        size: Size of that in bytes.

    Args:
        held: Gets the memory that is reserved for it.
    """

    def __init__(self, held: HeldMemory) -> None:
        self.held = held
        self.pieces: list[bytes] = []
        self.size = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.held.finish()
        self.held.release()

    def add(self, piece: bytes) -> bool:
        """Adds a piece; returns False if no more of them should be buffered."""
        self.pieces.append(piece)
        self.size += len(piece)
        return self.size <= _MAX_BUFFERED_BYTES and self.held.grow_spare(
            len(piece)
        )

    async def write(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        abort: Callable[[], object],
    ) -> None:
        """Writes it, and gives back the memory of what was written.

        Args:
            request: The caller's request.
            response: Its response, which has begun.
            abort: Called if the caller reads next to nothing, and others need
                the memory.
        """
        self.held.begin(abort)
        for index, piece in enumerate(self.pieces):
            await write_paced(request, response, piece)
            self.pieces[index] = b""
            self.held.receive(len(piece))
            self.held.shrink(min(len(piece), self.held.size))
        self.held.finish()
