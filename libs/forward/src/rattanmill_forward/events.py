"""Parser for event streams (``text/event-stream``)."""

import re
from collections.abc import Iterator

import msgspec

# A line ends with CR, LF or both. After a line that ended with LF, a CR at the
# end of the data is not the end of an empty line yet: its LF may still be to
# come. Where lines end with CR alone it is, and if its LF comes after all, that
# begins the next block as an empty line.
_EMPTY_LINE = re.compile(
    rb"\r?\n(?:\r?\n|\r(?=[^\n]))|\r(?!\n)(?:\r\n|\r(?!\n))"
)


# Bytes of the longest end of a block, and one that may show that it is none.
_MAX_END_BYTES = 5


class Block(msgspec.Struct, frozen=True):
    """One complete block of a stream.

    Attributes:
        raw: Its bytes, with the empty line that ends it.
        event_id: Its id, or empty.
        data: Its data, lines joined by line feeds; None for a block without
            data, such as a comment.
    """

    raw: bytes
    event_id: str
    data: bytes | None

    @property
    def is_event(self) -> bool:
        """Whether it is an event."""
        return self.data is not None


class BlockReader:
    """Splits a stream into complete blocks.

    An endpoint may stop in the middle of an event; the incomplete rest stays in
    the buffer and is never yielded as an event.
    """

    def __init__(self) -> None:
        self.data = b""
        self.start = 0

    @property
    def buffer(self) -> bytes:
        """The rest: what is not yielded yet."""
        return self.data[self.start :]

    @property
    def is_within_event(self) -> bool:
        """Whether the rest is more than empty lines and comments."""
        return any(
            line and not line.startswith(b":")
            for line in self.buffer.splitlines()
        )

    @property
    def is_within_block(self) -> bool:
        """Whether the rest is more than empty lines."""
        return any(self.buffer.splitlines())

    def feed(self, data: bytes) -> Iterator[Block]:
        """Yields the blocks that are complete now."""
        rest = self.buffer
        # What was searched before is not searched again, since the rest of a
        # block may be long and come in many pieces.
        searched = max(0, len(rest) - _MAX_END_BYTES)
        self.data = rest + data
        self.start = 0
        while found := _EMPTY_LINE.search(self.data, searched):
            raw = self.data[self.start : found.end()]
            self.start = searched = found.end()
            yield _parse(raw)

    def take_rest(self) -> bytes:
        """Removes and returns the rest."""
        rest = self.buffer
        self.data = b""
        self.start = 0
        return rest


def _parse(raw: bytes) -> Block:
    event_id = ""
    data = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id":
            event_id = value.decode(errors="replace")
    return Block(raw, event_id, b"\n".join(data) if data else None)
