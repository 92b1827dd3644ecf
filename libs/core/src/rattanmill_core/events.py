"""Structured log lines: one for each decision and change of belief.

Lines go to standard output as JSON, by loguru like all other logs. Their
number is bounded, decisions before errors, and what is left out is counted;
a reader that does not keep up never blocks the event loop.
"""

import asyncio
import os
import time
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

# A front at its peak of about 120 calls a second, programs that loop among
# them, writes 4 or 5 lines a call; more means a fault that repeats itself, and
# the first lines tell its cause.
_LINES_PER_SECOND = 600
_ERRORS_PER_SECOND = 300
# Whoever looks for a failed request's cause begins with these; they have the
# errors' part of the lines, so that decisions cannot push them out.
_LAST_TO_GO = frozenset(("refused", "broken_off"))
_MOST_BUFFERED_BYTES = 256 * 1024
_STDOUT = 1
_WARNING = 30


class LineBudget:
    """Lines that may still be written in the present second.

    Attributes:
        dropped: Lines left out since the last report.
    """

    def __init__(self, per_second: int) -> None:
        self.per_second = per_second
        self.second = 0
        self.left = per_second
        self.dropped = 0

    def take(self, second: int) -> bool:
        """Whether one more line fits into this second."""
        if second != self.second:
            self.second = second
            self.left = self.per_second
        if self.left <= 0:
            self.dropped += 1
            return False
        self.left -= 1
        return True


class LineWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    Args:
        descriptor: Where the lines go.
        instance: Name of this instance, part of every line.
    """

    def __init__(self, descriptor: int, instance: str) -> None:
        self.descriptor = descriptor
        self.instance = instance
        self.decisions = LineBudget(_LINES_PER_SECOND)
        self.errors = LineBudget(_ERRORS_PER_SECOND)
        self.buffer = bytearray()
        os.set_blocking(descriptor, False)

    def __call__(self, message: "Message") -> None:
        """Takes one record of loguru."""
        record = message.record
        now = record["time"].timestamp()
        is_error = record["level"].no >= _WARNING
        is_last = is_error or record["message"] in _LAST_TO_GO
        budget = self.errors if is_last else self.decisions
        if not budget.take(int(now)):
            return
        self._report_dropped(now)
        extra = record["extra"]
        fields = extra.get("fields") or {}
        if not fields and extra.get("part"):
            fields = {"part": extra["part"]}
        if record["exception"]:
            fields = {**fields, "exception": str(message)[-2000:]}
        self._line(now, record["level"].name, record["message"], fields)

    def _report_dropped(self, now: float) -> None:
        dropped = self.decisions.dropped + self.errors.dropped
        if not dropped:
            return
        self.decisions.dropped = 0
        self.errors.dropped = 0
        self._line(now, "WARNING", "log_lines_dropped", {"count": dropped})

    def _line(
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
            if len(self.buffer) > _MOST_BUFFERED_BYTES:
                # The reader has stopped: old lines go, new ones tell more.
                self.errors.dropped += self.buffer.count(b"\n")
                self.buffer.clear()
        except OSError:
            # The reader is gone; there is nobody left to tell.
            self.buffer.clear()


def configure_events(instance: str, level: str = "INFO") -> None:
    """Sends all logs of this process to standard output as JSON lines."""
    logger.remove()
    logger.add(
        LineWriter(_STDOUT, instance),
        level=level,
        format="{message}",
        diagnose=False,
        backtrace=False,
    )


def log_event(event: str, **fields: Any) -> None:
    """Writes one line for a decision or a change of belief.

    Args:
        event: Its name; docs/LOGS.md lists all.
        fields: What decided it. Ages end with ``_s``, times with ``_ms``.
    """
    logger.bind(fields=fields).info(event)


def warn_event(event: str, **fields: Any) -> None:
    """As ``log_event``, for what an operator should look at."""
    logger.bind(fields=fields).warning(event)


def loop_seconds() -> float:
    """Returns the running loop's time, for spans within the process."""
    return asyncio.get_running_loop().time()


def boot_seconds() -> float:
    """Returns seconds of a clock that also runs while a machine is asleep."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_seconds() -> float:
    """Returns seconds since 1970, for expiry that outlives the process."""
    return time.time()
