"""Parser for event streams (``text/event-stream``)."""

import re

import msgspec

# A line ends with CR, LF or both. After a line that ended with LF, a CR at the
# end of the data is not the end of an empty line yet: its LF may still be to
# come. Where lines end with CR alone it is, and if its LF comes after all, that
# begins the next block as an empty line.
_EMPTY_LINE = re.compile(
    rb"\r?\n(?:\r?\n|\r(?=[^\n]))|\r(?!\n)(?:\r\n|\r(?!\n))"
)


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
        self.buffer = b""

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

    def feed(self, data: bytes) -> list[Block]:
        """Returns the blocks that are complete now."""
        self.buffer += data
        blocks = []
        while (end := _find_block_end(self.buffer)) > 0:
            blocks.append(_parse(self.buffer[:end]))
            self.buffer = self.buffer[end:]
        return blocks


def _find_block_end(data: bytes) -> int:
    found = _EMPTY_LINE.search(data)
    return found.end() if found else 0


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
