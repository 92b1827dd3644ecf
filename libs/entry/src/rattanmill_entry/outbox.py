"""Queue of a turn's replies to its caller."""

import asyncio
from collections import deque

import msgspec

from rattanmill_entry.answers import chunk_event
from rattanmill_entry.deltas import join_fields
from rattanmill_entry.replies import Replies, Reply
from rattanmill_wire import CallStart, ReplyChunk, ReplyEnd, ReplyHead

_MAX_QUEUED_PARTS = 64


class _Part(msgspec.Struct):
    """Part of a streamed answer that has not been sent yet."""

    model: str
    fields: dict


class Outbox:
    """A turn's replies in order, bounded when the caller reads slowly.

    A slow caller does not block the engine. Queued parts are joined, so that
    the queue never holds more than the text of the answer, which is kept for
    the history anyway. Otherwise a caller that stops reading would cost some
    hundred bytes per token until memory is exhausted.

    Args:
        start: The call that the replies belong to.
    """

    def __init__(self, start: CallStart) -> None:
        self.start = start
        self.queue: deque[Reply | _Part | bytes | None] = deque()
        self.more = asyncio.Event()
        self.streaming = False
        self.abandoned = False

    def put(self, *replies: Reply) -> None:
        """Adds replies that are complete in themselves."""
        self._add(*replies)

    def begin(self, head: ReplyHead) -> None:
        """Adds the head of a streamed answer, unless it was added before."""
        if not self.streaming:
            self.streaming = True
            self._add(head)

    def part(self, model: str, fields: dict) -> None:
        """Adds part of a streamed answer."""
        last = self.queue[-1] if self.queue else None
        if len(self.queue) >= _MAX_QUEUED_PARTS and isinstance(last, _Part):
            join_fields(last.fields, fields)
        else:
            self._add(_Part(model, dict(fields)))

    def end(self, events: bytes) -> None:
        """Adds the last events of a streamed answer."""
        self._add(events)

    def close(self) -> None:
        """Marks the end of the replies."""
        self._add(None)

    def abandon(self) -> None:
        """Drops the queue after the caller disconnected."""
        self.abandoned = True
        self.queue.clear()

    def _add(self, *items: Reply | _Part | bytes | None) -> None:
        if not self.abandoned:
            self.queue.extend(items)
            self.more.set()

    async def replies(self) -> Replies:
        """Yields the replies until the outbox is closed."""
        sent = 0
        while True:
            while not self.queue:
                self.more.clear()
                await self.more.wait()
            match self.queue.popleft():
                case None:
                    return
                case _Part() as part:
                    event = chunk_event(
                        self.start.call, part.model, part.fields, None
                    )
                    yield ReplyChunk(self.start.call, sent, event)
                    sent += 1
                case bytes() as events:
                    yield ReplyChunk(self.start.call, sent, events)
                    yield ReplyEnd(self.start.call, sent + 1)
                case reply:
                    yield reply
