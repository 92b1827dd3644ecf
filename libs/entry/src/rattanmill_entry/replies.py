"""Builds the replies of a call, which is served for a caller or a peer."""

from collections.abc import AsyncIterator

from rattanmill_core import Reason, Refusal, refuse
from rattanmill_wire import (
    CallStart,
    ReplyChunk,
    ReplyEnd,
    ReplyHead,
    ReplyRefused,
)

Reply = ReplyHead | ReplyChunk | ReplyEnd | ReplyRefused
Replies = AsyncIterator[Reply]
_CHUNK_BYTES = 256 * 1024
_BODILESS_STATUSES = (204, 304)
JSON_HEADERS = [("Content-Type", "application/json")]
STREAM_HEADERS = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
]


def whole_reply(
    start: CallStart, status: int, headers: list[tuple[str, str]], body: bytes
) -> list[Reply]:
    """Returns the replies for a complete response."""
    parts = [
        body[at : at + _CHUNK_BYTES] for at in range(0, len(body), _CHUNK_BYTES)
    ]
    chunks = [ReplyChunk(start.call, i, part) for i, part in enumerate(parts)]
    if _has_length(start, status):
        # A caller that can't read chunks takes the end of the connection for
        # the end of the body, unless it knows the length.
        headers = [*headers, ("Content-Length", str(len(body)))]
    head = ReplyHead(start.call, status, headers)
    return [head, *chunks, ReplyEnd(start.call, len(chunks))]


def _has_length(start: CallStart, status: int) -> bool:
    """Whether a response with this status states the length of its body.

    The end of a stream is in its events, also of a stream that is repeated.
    """
    has_body = start.method != "HEAD" and status not in _BODILESS_STATUSES
    return has_body and not start.stream


def refused(start: CallStart, refusal: Refusal) -> ReplyRefused:
    """Returns the reply that refuses a call."""
    return ReplyRefused(start.call, refusal)


def ownership_lost(start: CallStart, ran: str) -> ReplyRefused:
    """Returns the refusal of an instance that must not act for a program."""
    detail = "This instance may no longer act for the program."
    return refused(start, refuse(Reason.OWNERSHIP_LOST, detail, ran=ran))
