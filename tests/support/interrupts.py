"""Signals that must not break off what would be left half done."""

import contextlib
import signal
import threading
from collections.abc import Iterator
from types import FrameType

_STOPS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


@contextlib.contextmanager
def uninterrupted() -> Iterator[None]:
    """Holds back signals that end the process until its body is done."""
    if threading.current_thread() is not threading.main_thread():
        # Handlers run in the main thread only.
        yield
        return
    came: list[int] = []

    def note(number: int, frame: FrameType | None) -> None:
        came.append(number)

    # What is ignored stays so: processes inherit that.
    before = {
        stop: handler
        for stop in _STOPS
        if (handler := signal.getsignal(stop)) not in (None, signal.SIG_IGN)
    }
    for stop in before:
        signal.signal(stop, note)
    try:
        yield
    finally:
        for stop, handler in before.items():
            signal.signal(stop, handler)
    for number in came:
        signal.raise_signal(number)
