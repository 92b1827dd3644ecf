"""Structured log lines, one for each decision and change of known state.

Lines are written to standard output as JSON through loguru, like all other
logs. Their rate is limited, with separate limits for decisions and errors so
that decisions are dropped first, and dropped lines are counted. A slow reader
never blocks the event loop.
"""

import asyncio
import os
import time
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

# A front end at its peak of about 120 calls per second, including programs in
# a loop, writes 4 or 5 lines per call. A higher rate means a recurring fault,
# and the first lines show its cause.
_MAX_LINES_PER_SECOND = 600
_MAX_ERRORS_PER_SECOND = 300
# The search for the cause of a failed request starts with these events. They
# count against the limit for errors, so that decisions cannot displace them.
_PRIORITY_EVENTS = frozenset(("refused", "broken_off"))
_REPEATED_SECONDS = 1.0
_MAX_BUFFERED_BYTES = 256 * 1024
_STDOUT_DESCRIPTOR = 1
_WARNING_LEVEL = 30


class LineRateLimiter:
    """Limits the number of lines written per second.

    Attributes:
        dropped: Number of lines dropped since the last report.
    """

    def __init__(self, per_second: int) -> None:
        self.per_second = per_second
        self.second = 0
        self.left = per_second
        self.dropped = 0

    def try_acquire(self, second: int) -> bool:
        """Consumes one line; returns False if the limit is reached."""
        if second != self.second:
            self.second = second
            self.left = self.per_second
        if self.left <= 0:
            self.dropped += 1
            return False
        self.left -= 1
        return True


class LineWriter:
    """Writes lines to a file descriptor without blocking on its reader.

    Args:
        descriptor: File descriptor to write to.
        instance: Name of this instance, included in every line.
    """

    def __init__(self, descriptor: int, instance: str) -> None:
        self.descriptor = descriptor
        self.instance = instance
        self.decisions = LineRateLimiter(_MAX_LINES_PER_SECOND)
        self.errors = LineRateLimiter(_MAX_ERRORS_PER_SECOND)
        self.buffer = bytearray()
        os.set_blocking(descriptor, False)

    def __call__(self, message: "Message") -> None:
        """Writes one loguru record, unless the limit is reached."""
        record = message.record
        now = record["time"].timestamp()
        is_error = record["level"].no >= _WARNING_LEVEL
        has_priority = is_error or record["message"] in _PRIORITY_EVENTS
        limiter = self.errors if has_priority else self.decisions
        if not limiter.try_acquire(int(now)):
            return
        self._report_dropped(now)
        extra = record["extra"]
        fields = extra.get("fields") or {}
        if not fields and extra.get("part"):
            fields = {"part": extra["part"]}
        if record["exception"]:
            fields = {**fields, "exception": str(message)[-2000:]}
        self._write_line(now, record["level"].name, record["message"], fields)

    def _report_dropped(self, now: float) -> None:
        dropped = self.decisions.dropped + self.errors.dropped
        if not dropped:
            return
        self.decisions.dropped = 0
        self.errors.dropped = 0
        self._write_line(
            now, "WARNING", "log_lines_dropped", {"count": dropped}
        )

    def _write_line(
        self, now: float, level: str, event: str, fields: dict[str, Any]
    ) -> None:
        line = {
            "time": round(now, 4),
            "level": level,
            "instance": self.instance,
            "event": event,
            **fields,
        }
        self.buffer += msgspec.json.encode(line) + b"\n"
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self.descriptor, self.buffer)
            del self.buffer[:written]
        except BlockingIOError:
            if len(self.buffer) > _MAX_BUFFERED_BYTES:
                # The reader has stopped: drop the old lines, since new ones are
                # more useful.
                self.errors.dropped += self.buffer.count(b"\n")
                self.buffer.clear()
        except OSError:
            # The reader has closed the stream.
            self.buffer.clear()


def configure_events(instance: str, level: str = "INFO") -> None:
    """Sends all logs of this process to standard output as JSON lines."""
    logger.remove()
    logger.add(
        LineWriter(_STDOUT_DESCRIPTOR, instance),
        level=level,
        format="{message}",
        diagnose=False,
        backtrace=False,
    )


def log_event(event: str, **fields: Any) -> None:
    """Logs a decision or a change of known state.

    Args:
        event: Name of the event, as listed in docs/LOGS.md.
        fields: Values behind the decision. Names of ages end with ``_s``,
            names of times with ``_ms``.
    """
    logger.bind(fields=fields).info(event)


def warn_event(event: str, **fields: Any) -> None:
    """Like ``log_event``, for events that an operator should examine."""
    logger.bind(fields=fields).warning(event)


class RepeatedEvent:
    """Logs an event that may come often, once a second at most.

    Attributes:
        unlogged: How often it came since the last line.
        logged_at: Loop time of the last line.

    Args:
        name: Name of the event.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.unlogged = 0
        self.logged_at = float("-inf")

    def record(self, **fields: object) -> None:
        """Records the event; logs it with these fields and its count."""
        self.unlogged += 1
        now = loop_seconds()
        if now - self.logged_at < _REPEATED_SECONDS:
            return
        warn_event(self.name, **fields, count=self.unlogged)
        self.logged_at = now
        self.unlogged = 0


def loop_seconds() -> float:
    """Returns the event loop's time, for durations within the process."""
    return asyncio.get_running_loop().time()


def boot_seconds() -> float:
    """Returns seconds of a clock that includes time in system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_seconds() -> float:
    """Returns seconds since 1970, for expiry times that outlive the process."""
    return time.time()
