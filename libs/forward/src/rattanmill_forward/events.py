"""Events of a stream (``text/event-stream``), as they arrive."""

import msgspec


class Event(msgspec.Struct, frozen=True):
    """One whole event.

    Attributes:
        raw: Its bytes, with the empty line that ends it.
        event_id: Its id, or empty.
        data: Its data, lines joined by line feeds.
    """

    raw: bytes
    event_id: str
    data: bytes


class EventReader:
    """Cuts a stream into whole events.

    An endpoint may stop in the middle of one; what is not whole stays here
    and is never passed on.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are whole now."""
        self.rest += data
        found = []
        while (end := _event_end(self.rest)) > 0:
            found.append(_parse(self.rest[:end]))
            self.rest = self.rest[end:]
        return found


def _event_end(data: bytes) -> int:
    ends = [
        at + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (at := data.find(mark)) >= 0
    ]
    return min(ends, default=0)


def _parse(raw: bytes) -> Event:
    event_id = ""
    data = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id":
            event_id = value.decode(errors="replace")
    return Event(raw, event_id, b"\n".join(data))
