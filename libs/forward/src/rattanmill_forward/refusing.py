"""Decides whether a call is refused at once, and when its caller may retry.

The expected load is bursts in which more calls arrive than all endpoints can
start in time. A call that starts too late costs a slot and is of no use, while
its caller could retry when slots are free.
"""

import collections
import contextlib
import math
import random
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from rattanmill_core import Reason, Refusal, refuse
from rattanmill_forward.placing import EndpointEstimate
from rattanmill_forward.routes import Service
from rattanmill_forward.stats import EndpointStats
from rattanmill_policy.urgency import Urgency, request_priority

# Load changes within about a second.
_MAX_REPORT_AGE_SECONDS = 1.0
# A caller that returns sooner finds the same state.
_MIN_RETRY_SECONDS = 0.05
# Retries are spread over this multiple of the time until a slot is free, since
# slots become free one by one.
_RETRY_SPREAD = 2.0
# Callers honour Retry-After up to this share of their time left.
_MAX_RETRY_SHARE = 1 / 3
# Fewer own calls say little about the calls of all front ends in the queues.
_MIN_QUEUE_SAMPLE = 5


class ExpectedStart(msgspec.Struct, frozen=True):
    """When a call would start at the earliest, by reports of endpoints.

    Attributes:
        seconds: Time until then; 0 if a slot is free.
        ages_seconds: Ages of the reports.
        share_ahead: Share of the waiting calls that start before it.
    """

    seconds: float
    ages_seconds: tuple[float, ...]
    share_ahead: float


def start_seconds(estimate: EndpointEstimate, share_ahead: float) -> float:
    """Returns the expected time until a call starts at an endpoint.

    Slots become free as other calls end, so their mean duration counts where it
    is known. The prefill of earlier calls is not counted: it is not known which
    of them wait for a slot, and a call that can be served must not be
    refused.

    Args:
        estimate: Placement's estimate for the endpoint.
        share_ahead: Share of the calls waiting there that start before it.
    """
    slots = max(1, estimate.slots)
    beyond = estimate.active_requests + 1 - slots
    if beyond <= 0:
        return 0.0
    # A slot must become free even for the first one in the queue.
    ends_needed = min(beyond, 1.0) + max(0.0, beyond - 1) * share_ahead
    slot_seconds = estimate.slot_seconds
    if slot_seconds is None:
        slot_seconds = estimate.run_seconds
    return ends_needed / slots * slot_seconds


def has_recent_report(stats: EndpointStats | None, now: float) -> bool:
    """Whether an endpoint has reported load and slowdown recently."""
    return report_age_seconds(stats, now) <= _MAX_REPORT_AGE_SECONDS


def report_age_seconds(stats: EndpointStats | None, now: float) -> float:
    """Returns the age of an endpoint's report with a slowdown.

    Returns infinity if there is none.
    """
    if stats is None or stats.load is None or stats.load.slowdown is None:
        return math.inf
    return now - stats.load_at


def earliest_start(
    estimates: Iterable[EndpointEstimate],
    stats: Mapping[str, EndpointStats],
    share_ahead: float,
    now: float,
) -> ExpectedStart | None:
    """Returns when a call would start, or None if a recent report is missing.

    Args:
        estimates: Placement's estimates for the endpoints compared.
        stats: Statistics by endpoint name.
        share_ahead: Share of the waiting calls that start before it.
        now: Loop time.
    """
    estimates = list(estimates)
    ages = tuple(report_age_seconds(stats.get(e.name), now) for e in estimates)
    if not ages or max(ages) > _MAX_REPORT_AGE_SECONDS:
        return None
    return ExpectedStart(
        min(start_seconds(estimate, share_ahead) for estimate in estimates),
        ages,
        share_ahead,
    )


def retry_seconds(
    start: ExpectedStart, seconds_left: float, rng: random.Random
) -> float:
    """Returns the Retry-After for a call that is refused, in seconds.

    Args:
        start: When it would start.
        seconds_left: How long the caller still waits.
        rng: Source of the spread.
    """
    earliest = max(_MIN_RETRY_SECONDS, start.seconds)
    latest = min(
        earliest * _RETRY_SPREAD, max(0.0, seconds_left) * _MAX_RETRY_SHARE
    )
    # Without a spread, all callers with little time left would come together.
    earliest = min(earliest, latest / _RETRY_SPREAD)
    return math.floor(rng.uniform(earliest, latest) * 1000) / 1000


def refuse_late(
    start: ExpectedStart | None,
    seconds_left: float,
    program_seconds_left: float | None,
    rng: random.Random,
) -> Refusal | None:
    """Refuses a call that would start too late.

    Args:
        start: When it would start, or None if that is unknown.
        seconds_left: Time until the call's deadline.
        program_seconds_left: Time until its program should be done, if this is
            its first turn; else None.
        rng: Source of the spread of Retry-After.
    """
    if start is None or not start.seconds:
        return None
    limits = [(seconds_left, "its deadline is")]
    if program_seconds_left is not None:
        limits.append((program_seconds_left, "its program should be done"))
    limit, meaning = min(limits)
    if start.seconds <= limit:
        return None
    ages = start.ages_seconds
    return refuse(
        Reason.OVERLOADED,
        f"expected to start in {start.seconds:.2f} s at the earliest of"
        f" {len(ages)} endpoints, but {meaning} in {limit:.2f} s (reports"
        f" {min(ages):.2f} to {max(ages):.2f} s old,"
        f" {start.share_ahead:.2f} of the waiting calls start before)",
        retry_after=retry_seconds(start, seconds_left, rng),
    )


class QueueSample:
    """Own calls that wait at engines: a sample of the queues by priority.

    Reports tell how many calls wait, but not how urgent they are. Without the
    sample, an urgent call would be refused because of less urgent ones that it
    overtakes.

    Attributes:
        waiting: Number of calls without a response, by service and priority.
    """

    def __init__(self) -> None:
        self.waiting: dict[str, collections.Counter[int]] = {}

    @contextlib.contextmanager
    def count_waiting(
        self, service: Service, priority: int | None
    ) -> Iterator[None]:
        """Counts a call as waiting until the block ends."""
        if priority is None:
            yield
            return
        levels = self.waiting.setdefault(service.name, collections.Counter())
        levels[priority] += 1
        try:
            yield
        finally:
            levels[priority] -= 1

    def share_ahead(self, service: Service, priority: int | None) -> float:
        """Returns the share of waiting calls that start before a new one.

        While the sample is too small, none is assumed to, except for the calls
        that are admitted last.
        """
        if priority is None:
            return 1.0
        levels = self.waiting.get(service.name, {})
        total = sum(levels.values())
        if total < _MIN_QUEUE_SAMPLE:
            ranks = len(service.route_priorities)
            last = request_priority(ranks - 1, ranks, Urgency.NEW)
            return float(priority >= last)
        ahead = sum(n for level, n in levels.items() if level <= priority)
        return ahead / total
