"""Joins the responses of several attempts to one stream.

A stream that breaks may be resumed by another attempt within the response that
the caller already gets. Only a response that goes on exactly where the caller
is may be joined to it.
"""

from collections.abc import AsyncIterator

from rattanmill_forward.calls import ResponseHead
from rattanmill_forward.events import Event, EventReader
from rattanmill_forward.exchange import BrokenError, EndpointResponse


class NotContinuedError(BrokenError):
    """A later attempt's response does not go on where the caller is."""


class StreamPosition:
    """How far into a stream its caller is, by the ids of its events.

    Attributes:
        last_id: Id of the last event that the caller has, or empty.
        is_resumable: Whether an endpoint can be asked to go on after the last
            event, which takes an id that is a number.
        is_consecutive: Whether each id was the one before plus one.

    Args:
        last_id: Id of the last event that the caller had before, or empty.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.is_resumable = True
        self.is_consecutive = True

    def record(self, event: Event) -> None:
        """Records an event that the caller gets."""
        if not event.event_id and event.data is None:
            return
        self.is_resumable = event.event_id.isdecimal()
        if self.is_resumable and self.last_id.isdecimal():
            step = int(event.event_id) - int(self.last_id)
            self.is_consecutive = self.is_consecutive and step == 1
        self.last_id = event.event_id or self.last_id

    def is_continued_by(self, event: Event) -> bool:
        """Whether an event is the next one of the stream."""
        if not self.last_id:
            return True
        if not (self.last_id.isdecimal() and event.event_id.isdecimal()):
            return False
        step = int(event.event_id) - int(self.last_id)
        return step == 1 if self.is_consecutive else step > 0


class StreamJoiner:
    """The attempts of one stream and what its caller has of it.

    Attributes:
        position: How far the caller is.
        first_head: Head of the first attempt's response, or None.
        attempts: Number of attempts that have begun.
        idle_attempts: Attempts since the caller got an event.

    Args:
        last_event_id: Id of the last event that the caller had before, or
            empty.
    """

    def __init__(self, last_event_id: str) -> None:
        self.position = StreamPosition(last_event_id)
        self.first_head: ResponseHead | None = None
        self.attempts = 0
        self.idle_attempts = 0

    def begin(self, head: ResponseHead) -> None:
        """Begins an attempt with the head of its response.

        Raises:
            NotContinuedError: It can't continue the first attempt's response.
        """
        self.attempts += 1
        self.idle_attempts += 1
        first = self.first_head = self.first_head or head
        if head.status != first.status:
            raise NotContinuedError(f"status {head.status}")
        if head.content_type != first.content_type:
            raise NotContinuedError(f"content type {head.content_type!r}")

    async def blocks(self, response: EndpointResponse) -> AsyncIterator[Event]:
        """Yields the blocks of an attempt that its caller is to get.

        Raises:
            BrokenError: The body was cut off or ended within an event.
            NotContinuedError: Its first event is not the next one.
        """
        reader = EventReader()
        head = response.head
        is_checked = self.attempts == 1
        async for chunk in response.chunks():
            for block in reader.feed(chunk):
                if not is_checked and block.data is not None:
                    self._check_continued(block)
                    is_checked = True
                self.position.record(block)
                if block.data is not None:
                    self.idle_attempts = 0
                yield block
        if head.is_event_stream and reader.is_within_event:
            raise BrokenError("the stream ended within an event")
        if reader.buffer:
            yield Event(reader.buffer, "", None)

    def _check_continued(self, event: Event) -> None:
        if not self.position.is_continued_by(event):
            raise NotContinuedError(
                f"event {event.event_id!r} after {self.position.last_id!r}"
            )
