"""Tells how long turns of the event loop take.

A turn that takes long holds up everything that waits in this process: calls,
deadlines and heartbeats. From outside that looks like a slow endpoint, a slow
network or a frozen machine.
"""

import asyncio
import time

import msgspec

from rattanmill_core.events import loop_seconds, warn_event
from rattanmill_core.metrics import Metrics

_CHECK_INTERVAL_SECONDS = 0.25
# Shorter ones are usual, and delay calls by less than their way takes.
_MIN_RECORDED_SECONDS = 0.05
# Heartbeats are sent as often.
_MIN_LOGGED_SECONDS = 0.2
_LOG_INTERVAL_SECONDS = 5.0


class LongTurns(msgspec.Struct, frozen=True):
    """Turns of the event loop that were long, since the last report.

    Attributes:
        count: Number of turns.
        longest_seconds: Longest time by which a timer was late.
        cpu_seconds: Processor time that the process used meanwhile. Much less
            than the turn took: the process was not run, or was blocked.
    """

    count: int
    longest_seconds: float
    cpu_seconds: float


class TurnReport:
    """Bounds how often long turns are reported.

    Attributes:
        reported_at: Time of the last report, in seconds.
        pending: Long turns since then, or None.
    """

    def __init__(self) -> None:
        self.reported_at = float("-inf")
        self.pending: LongTurns | None = None

    def record(
        self, late_seconds: float, cpu_seconds: float, now: float
    ) -> LongTurns | None:
        """Records by how much a timer was late; returns what to report now.

        Args:
            late_seconds: Time by which it was late.
            cpu_seconds: Processor time used since the timer before.
            now: Time in seconds.
        """
        if late_seconds >= _MIN_LOGGED_SECONDS:
            self.pending = _add(self.pending, late_seconds, cpu_seconds)
        if now - self.reported_at < _LOG_INTERVAL_SECONDS:
            return None
        report, self.pending = self.pending, None
        if report:
            self.reported_at = now
        return report


async def watch_turns(metrics: Metrics) -> None:
    """Records long turns of the event loop until it is cancelled."""
    report = TurnReport()
    while True:
        due_at = loop_seconds() + _CHECK_INTERVAL_SECONDS
        cpu_before = time.process_time()
        await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
        now = loop_seconds()
        late_seconds = now - due_at
        if late_seconds >= _MIN_RECORDED_SECONDS:
            metrics.observe("rattanmill_loop_late_seconds", late_seconds)
        long_turns = report.record(
            late_seconds, time.process_time() - cpu_before, now
        )
        if long_turns:
            warn_event(
                "loop_held_up",
                count=long_turns.count,
                longest_ms=round(long_turns.longest_seconds * 1000),
                cpu_ms=round(long_turns.cpu_seconds * 1000),
            )


def _add(
    before: LongTurns | None, late_seconds: float, cpu_seconds: float
) -> LongTurns:
    if before is None:
        return LongTurns(1, late_seconds, cpu_seconds)
    return LongTurns(
        before.count + 1,
        max(before.longest_seconds, late_seconds),
        before.cpu_seconds + cpu_seconds,
    )
