"""Replies of a turn on their way to whoever still listens."""

import asyncio
from collections import deque

import msgspec

from rattanmill_entry.answers import chunk_event
from rattanmill_entry.replies import Replies, Reply
from rattanmill_wire import CallStart, ReplyChunk, ReplyEnd, ReplyHead

_MOST_PARTS = 64


class _Part(msgspec.Struct):
    """Part of a streamed answer that has not been sent yet."""

    model: str
    fields: dict


class Outbox:
    """What a turn has to say, in order, bounded for a caller that reads slowly.

    The engine is not held up by its caller. Parts that wait are joined, so
    that what waits is never more than the text of the answer, which is held
    for the history anyway. Without this a caller that stops reading would
    cost some hundred bytes for each token until memory is gone.

    Args:
        start: The call that is answered.
    """

    def __init__(self, start: CallStart) -> None:
        self.start = start
        self.waiting: deque[Reply | _Part | bytes | None] = deque()
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
        last = self.waiting[-1] if self.waiting else None
        if len(self.waiting) >= _MOST_PARTS and isinstance(last, _Part):
            join_fields(last.fields, fields)
        else:
            self._add(_Part(model, dict(fields)))

    def end(self, events: bytes) -> None:
        """Adds the last events of a streamed answer."""
        self._add(events)

    def close(self) -> None:
        """Says that nothing will be added."""
        self._add(None)

    def abandon(self) -> None:
        """Drops what waits: the caller has gone."""
        self.abandoned = True
        self.waiting.clear()

    def _add(self, *items: Reply | _Part | bytes | None) -> None:
        if not self.abandoned:
            self.waiting.extend(items)
            self.more.set()

    async def replies(self) -> Replies:
        """Yields everything until it is closed."""
        sent = 0
        while True:
            while not self.waiting:
                self.more.clear()
                await self.more.wait()
            match self.waiting.popleft():
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


def join_fields(into: dict, more: dict) -> None:
    """Adds the strings of a later delta to those of an earlier one."""
    for name, value in more.items():
        known = into.get(name)
        if name == "tool_calls" and isinstance(known, list):
            into[name] = _join_calls(known, value)
        elif isinstance(known, str) and isinstance(value, str):
            into[name] = known if name == "role" else known + value
        elif isinstance(known, dict) and isinstance(value, dict):
            into[name] = dict(known)
            join_fields(into[name], value)
        else:
            into[name] = value


def _join_calls(known: list[dict], more: list[dict]) -> list[dict]:
    calls: dict[int, dict] = {}
    for call in [*known, *more]:
        index = call.get("index", 0)
        if index not in calls:
            calls[index] = dict(call)
            continue
        changes = {k: v for k, v in call.items() if k != "index"}
        join_fields(calls[index], changes)
    return list(calls.values())
