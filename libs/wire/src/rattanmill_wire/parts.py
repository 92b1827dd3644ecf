"""Long requests between instances, which are sent in parts.

ZeroMQ holds each message until it is whole, and reports nothing of it before. A
server therefore accepts short messages only, and reserves the memory for a long
request when its first part arrives.
"""

import enum
from collections.abc import Iterator

import msgspec

from rattanmill_core import (
    DECODE_ERRORS,
    HeldMemory,
    MemoryBudget,
    loop_seconds,
)

# Longer requests are sent in parts of this size.
PART_BYTES = 64 * 1024
# Its sender has given a request up by then.
_EXPIRY_SECONDS = 60.0

Key = tuple[bytes, bytes]


class PartHeader(msgspec.Struct, frozen=True, array_like=True):
    """Which part of a request follows.

    Attributes:
        size: Size of the whole request in bytes.
        offset: Offset of the part in it.
    """

    size: int
    offset: int


encode_header = msgspec.msgpack.Encoder().encode
_decode_header = msgspec.msgpack.Decoder(PartHeader).decode


class Incomplete(enum.Enum):
    """Why there is no whole request after a part of it.

    Attributes:
        AWAITED: Further parts are due.
        DROPPED: The part belongs to no request that is being received.
        REFUSED: The request is too long, or there is no memory for it.
    """

    AWAITED = enum.auto()
    DROPPED = enum.auto()
    REFUSED = enum.auto()


def split(data: bytes) -> Iterator[tuple[bytes, memoryview]]:
    """Yields the headers and the parts of a long request, in order."""
    view = memoryview(data)
    for offset in range(0, len(data), PART_BYTES):
        header = PartHeader(len(data), offset)
        yield encode_header(header), view[offset : offset + PART_BYTES]


class _PartialRequest:
    """A request of which parts have arrived.

    Attributes:
        data: Its parts so far, and room for the others.
        received_bytes: Size of the parts so far.
        began_at: Loop time of the first one.
        held: The memory reserved for it.
    """

    def __init__(self, size: int, held: HeldMemory) -> None:
        self.data = bytearray(size)
        self.received_bytes = 0
        self.began_at = loop_seconds()
        self.held = held

    def add(self, offset: int, part: bytes) -> bool:
        """Adds the next part; returns False if it is another one."""
        end = offset + len(part)
        if offset != self.received_bytes or end > len(self.data):
            return False
        self.data[offset:end] = part
        self.received_bytes = end
        self.held.receive(len(part))
        return True

    @property
    def is_whole(self) -> bool:
        """Whether all parts have arrived."""
        return self.received_bytes == len(self.data)


class PartialRequests:
    """Puts long requests together from their parts.

    Attributes:
        requests: Those that are not whole, by sender and number; oldest first.

    Args:
        memory: Where their memory is reserved.
        max_bytes: Maximum size of a request.
    """

    def __init__(self, memory: MemoryBudget, max_bytes: int) -> None:
        self.memory = memory
        self.max_bytes = max_bytes
        self.requests: dict[Key, _PartialRequest] = {}

    def add(
        self, key: Key, header: bytes, part: bytes
    ) -> bytearray | Incomplete:
        """Adds a part of a request.

        Args:
            key: Sender and number of the request.
            header: Encoded header of the part.
            part: The part.

        Returns:
            The request if it is whole now.
        """
        self._drop_expired()
        try:
            place = _decode_header(header)
        except DECODE_ERRORS:
            return Incomplete.DROPPED
        if place.offset == 0:
            self._drop(key)
            if not self._begin(key, place.size):
                return Incomplete.REFUSED
        request = self.requests.get(key)
        if request is None:
            return Incomplete.DROPPED
        if not request.add(place.offset, part):
            self._drop(key)
            return Incomplete.DROPPED
        if not request.is_whole:
            return Incomplete.AWAITED
        self._drop(key)
        return request.data

    def _begin(self, key: Key, size: int) -> bool:
        """Reserves the memory of a request; returns False if there is none."""
        if not PART_BYTES < size <= self.max_bytes:
            return False
        held = self.memory.hold()
        if not held.grow(size):
            return False
        held.begin(lambda: self._drop(key))
        self.requests[key] = _PartialRequest(size, held)
        return True

    def _drop(self, key: Key) -> None:
        request = self.requests.pop(key, None)
        if request is not None:
            request.held.finish()
            request.held.release()

    def _drop_expired(self) -> None:
        while self.requests:
            key, oldest = next(iter(self.requests.items()))
            if loop_seconds() - oldest.began_at < _EXPIRY_SECONDS:
                return
            self._drop(key)
