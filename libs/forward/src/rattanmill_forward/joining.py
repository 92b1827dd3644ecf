"""Joins the responses of several attempts to one stream.

A stream that breaks may be resumed by another attempt within the response that
the caller already gets. Only a response that goes on exactly where the caller
is may be joined to it.
"""

import http
from collections.abc import AsyncIterator

from rattanmill_core import LoopShare
from rattanmill_forward.calls import ResponseHead
from rattanmill_forward.connection import BrokenError, Excess, ExcessError
from rattanmill_forward.events import Block, BlockReader
from rattanmill_forward.exchange import EndpointResponse

# Longer ids are not taken for numbers.
_MAX_ID_DIGITS = 18
# As much as is buffered of any other answer. Events have less than 1 KB, and
# comments between them keep a connection open.
_MAX_BYTES_PER_EVENT = 256 * 1024
# Other calls wait while so many are written to the caller.
_BLOCKS_PER_TURN = 16


class EndedEarlyError(BrokenError):
    """A body came to its end before its stream did."""


class NotContinuedError(BrokenError):
    """A later attempt's response does not go on where the caller is."""


class StreamPosition:
    """How far into a stream its caller is, by the ids of its events.

    Attributes:
        last_id: Id of the last event that the caller has, also from an earlier
            response, or empty.
        first_number: Number in the id of the first event of this response, or
            None.
        step: Difference between the ids of the last two events, or None if it
            is not known.
        is_even: Whether that difference has always been the same.
        has_events: Whether this response has brought an event.
        is_resumable: Whether an endpoint can be asked to go on after what the
            caller has, which takes an id that is a number.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.first_number: int | None = None
        self.step: int | None = None
        self.is_even = True
        self.has_events = False
        self.is_resumable = True

    def record(self, event: Block) -> None:
        """Records an event that the caller gets."""
        step = self._step_to(event)
        if step is not None and step > 0:
            self.is_even = self.is_even and self.step in (None, step)
            self.step = step
        number = _number(event.event_id)
        if not self.has_events:
            self.first_number = number
        self.has_events = True
        self.is_resumable = number is not None
        self.last_id = event.event_id or self.last_id

    def is_continued_by(self, event: Block) -> bool:
        """Whether an event of a later attempt is the next one."""
        if not self.has_events:
            return True
        step = self._step_to(event)
        if step is None or step <= 0:
            return False
        if self.step is None:
            # Ids count events, or begin with the difference between two.
            return step in (1, self.first_number)
        return step == self.step or not self.is_even

    def _step_to(self, event: Block) -> int | None:
        last, number = _number(self.last_id), _number(event.event_id)
        return None if last is None or number is None else number - last


class StreamJoiner:
    """The attempts of one stream and what its caller has of it.

    Attributes:
        position: How far the caller is.
        first_head: Head of the response that the caller gets, or None.
        has_begun: Whether the caller has a part of that response.
        attempts: Number of attempts that have begun a response.
        interruptions: Number of attempts that were interrupted, or did not go
            on, since the caller got an event.
        is_more_due: Whether an attempt broke off within an event since.
        incomplete_bytes: Bytes that the newest attempt sent after its last
            complete block.
        max_events: Number of events that the caller may get, or None.
        max_data_bytes: Size of their data in bytes, or None.
        event_count: Number of events that the caller got.
        data_bytes: Size of their data in bytes.
    """

    def __init__(self) -> None:
        self.position = StreamPosition()
        self.first_head: ResponseHead | None = None
        self.has_begun = False
        self.attempts = 0
        self.interruptions = 0
        self.is_more_due = False
        self.incomplete_bytes = 0
        self.max_events: int | None = None
        self.max_data_bytes: int | None = None
        self.event_count = 0
        self.data_bytes = 0

    def begin(self, head: ResponseHead) -> None:
        """Begins an attempt with the head of its response.

        Raises:
            NotContinuedError: It can't continue the response that has begun.
        """
        self.attempts += 1
        self.incomplete_bytes = 0
        if not self.has_begun:
            self.first_head = head
        first = self.first_head
        if head.status != first.status:
            raise NotContinuedError(f"status {head.status}")
        if head.stream_type != first.stream_type:
            raise NotContinuedError(f"content type {head.content_type!r}")

    async def blocks(self, response: EndpointResponse) -> AsyncIterator[Block]:
        """Yields the blocks of an attempt that its caller is to get.

        Raises:
            BrokenError: The body was cut off, or its end is not the stream's.
            ExcessError: It has more than a stream may have.
            NotContinuedError: It does not go on where the caller is.
        """
        reader = BlockReader()
        loop_share = LoopShare(_BLOCKS_PER_TURN)
        bytes_without_event = 0
        head = response.head
        is_checked = not self.position.has_events
        held: list[Block] = []
        count = 0
        try:
            async for chunk in response.chunks():
                bytes_without_event += len(chunk)
                for block in reader.feed(chunk):
                    await loop_share.step()
                    if block.is_event:
                        bytes_without_event = 0
                    if not is_checked and not block.is_event:
                        held.append(block)
                        continue
                    if not is_checked:
                        self._check_continued(block)
                        is_checked = True
                    self._check_bounds(block)
                    for each in (*held, block):
                        self.has_begun = True
                        self._record(head, each)
                        yield each
                    held.clear()
                    count += block.is_event
                if bytes_without_event > _MAX_BYTES_PER_EVENT:
                    bytes_without_event = 0
                    yield self._take_rest(head, reader, is_checked)
        except (NotContinuedError, ExcessError):
            raise
        except BrokenError:
            self.is_more_due |= is_checked and reader.is_within_event
            raise
        finally:
            self.incomplete_bytes = len(reader.buffer)
        self._check_end(head, reader, count)
        rest = [Block(reader.buffer, "", None)] if reader.buffer else []
        for each in (*held, *rest):
            yield each

    def _take_rest(
        self, head: ResponseHead, reader: BlockReader, is_checked: bool
    ) -> Block:
        """Returns what has come of a long body that has no events.

        Raises:
            ExcessError: It should have some.
        """
        if head.is_event_stream or not is_checked:
            raise ExcessError(
                Excess.NO_EVENT,
                f"more than {_MAX_BYTES_PER_EVENT} bytes without an event",
            )
        block = Block(reader.take_rest(), "", None)
        self.has_begun = True
        self._record(head, block)
        return block

    def _check_bounds(self, block: Block) -> None:
        """Checks that the caller may get a block."""
        if not block.is_event:
            return
        if self.event_count == self.max_events:
            raise ExcessError(
                Excess.TOKENS,
                f"more than the {self.max_events} events asked for",
            )
        size = self.data_bytes + len(block.data)
        if self.max_data_bytes is not None and size > self.max_data_bytes:
            raise ExcessError(
                Excess.TURN, f"more than {self.max_data_bytes} bytes of a turn"
            )

    def _record(self, head: ResponseHead, block: Block) -> None:
        if block.is_event:
            self.event_count += 1
            self.data_bytes += len(block.data)
            self.position.record(block)
            self.interruptions = 0
            self.is_more_due = False
        elif not head.is_event_stream:
            # Sent again, a body that is no stream of events would be doubled.
            self.position.is_resumable = False

    def _check_continued(self, event: Block) -> None:
        if not self.position.is_continued_by(event):
            raise NotContinuedError(
                f"event {event.event_id!r} after {self.position.last_id!r}"
            )

    def _check_end(
        self, head: ResponseHead, reader: BlockReader, count: int
    ) -> None:
        """Checks that a body that came to its end is the end of the stream."""
        if head.status == http.HTTPStatus.NO_CONTENT:
            return
        if head.is_event_stream or self.position.has_events:
            self._check_events_end(head, reader, count)
        if not count and self.is_more_due:
            raise NotContinuedError("no event, though more was due")

    def _check_events_end(
        self, head: ResponseHead, reader: BlockReader, count: int
    ) -> None:
        """Checks that a body that came to its end is a whole stream of events.

        An endpoint that is terminated closes its connections in an orderly way.
        """
        if reader.is_within_event:
            self.is_more_due = True
            raise EndedEarlyError("the stream ended within an event")
        if not count and not (head.is_delimited and self.position.last_id):
            raise EndedEarlyError("the stream ended without an event")
        if reader.is_within_block and not head.is_delimited:
            raise EndedEarlyError("the connection ended within a comment")


def _number(event_id: str) -> int | None:
    if event_id.isdecimal() and len(event_id) <= _MAX_ID_DIGITS:
        return int(event_id)
    return None
