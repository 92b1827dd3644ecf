"""Load and speed of endpoints.

Learned from this front end's own calls, and from load reports and prefixes that
other front ends share where endpoints report a slowdown.
"""

import collections
import math
import random
from collections.abc import Callable, Iterable
from typing import Self

import msgspec

from rattanmill_core import log_event, loop_seconds
from rattanmill_forward.calls import Call, Load, PromptPart
from rattanmill_forward.endpoints import Endpoint
from rattanmill_forward.placing import EndpointEstimate

_RATIO_STEP = 0.2
_MIN_AVERAGE_STEP = 0.05
_MIN_DURATION_RATIO = 0.2
_MAX_DURATION_RATIO = 8.0
# The duration ratio of an endpoint decays towards 1 with this time constant, so
# that one that has recovered gets work again. Slow endpoints get little work,
# and must not look fast again before the next wave of it.
_RATIO_DECAY_SECONDS = 40.0
# Load of other front ends that a response reported decays with this time
# constant: their calls last about as long.
_LOAD_DECAY_SECONDS = 1.0
# Episodes of slow work last about 0.6 s. Half of that is left on average when
# one is reported.
_SLOW_SECONDS_LEFT = 0.3
# Where speed changes from moment to moment, a single duration counts as at most
# this much longer or shorter than expected: it says little about the long term.
_MAX_SAMPLE_DEVIATION = 0.25
_MIN_AVOID_SECONDS = 0.5
_MAX_AVOID_SECONDS = 4.0
_DOMAIN_AVOID_SECONDS = 0.7
_DOMAIN_FAILURE_WINDOW_SECONDS = 1.0
_MAX_PREFIXES = 4000
# Initial estimate of the time in which an engine reads a prompt token; engines
# in use take 5 to 16 microseconds.
_INITIAL_PREFILL_TOKEN_SECONDS = 8e-6
# Prompts with at most this many uncached tokens show the time to the first
# event without prefill; those with at least the minimum below show the duration
# of prefill.
_MAX_SHORT_PREFILL_TOKENS = 400
_MIN_LONG_PREFILL_TOKENS = 1_500
# Initial estimate of the time to the first event without prefill.
_INITIAL_FIRST_EVENT_SECONDS = 0.03
_INITIAL_EVENT_SECONDS = 0.03
_INITIAL_CALL_SECONDS = 0.03
# Random variation between calls on one endpoint; within it, the choice between
# equal endpoints is random.
_TIE_BREAK_JITTER = 0.02


class MovingAverage:
    """Moving average of the duration of one kind of call over all endpoints."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.samples = 0

    def add(self, seconds: float) -> None:
        """Adds a measurement."""
        self.samples += 1
        step = max(_MIN_AVERAGE_STEP, 1 / self.samples)
        self.seconds += step * (seconds - self.seconds)


class EndpointStats:
    """What is known of one endpoint.

    Attributes:
        own_calls: Calls of this front end in flight at the endpoint.
        duration_ratio: Duration of calls there relative to the average.
        measured_at: Loop time of the last measurement.
        load: The load that it reported last, to this or another front end, or
            None.
        load_at: Loop time of that report.
        own_calls_at_load: Calls of this front end that were sent before that
            time and were in flight when the report arrived here.
        avoid_until: Loop time until which it gets no work if others can.
        failures: Consecutive failures.
        sent_at: Loop time at which each call in flight was sent, by request id.
        waiting_since: The same for the calls without a first byte.
        pending_prefill_tokens: Uncached prompt tokens of these calls, by
            request id.
        prefixes: Prompt prefixes that it should have cached, least recently
            used first, and whether this front end has reported each to others.
        undecodable_headers: Names of headers of its responses that could not
            be decoded and were logged.
    """

    def __init__(self) -> None:
        self.own_calls = 0
        self.duration_ratio = 1.0
        self.measured_at = float("-inf")
        self.load: Load | None = None
        self.load_at = 0.0
        self.own_calls_at_load = 0
        self.avoid_until = 0.0
        self.failures = 0
        self.sent_at: dict[str, float] = {}
        self.waiting_since: dict[str, float] = {}
        self.pending_prefill_tokens: dict[str, int] = {}
        self.prefixes: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )
        self.undecodable_headers: set[str] = set()

    def active_requests(self, now: float) -> float:
        """Returns how many requests run or wait there, as far as known."""
        if self.load is None:
            return float(self.own_calls)
        reported = self.load.running + self.load.waiting
        others = max(0, reported - self.own_calls_at_load)
        decay = math.exp((self.load_at - now) / _LOAD_DECAY_SECONDS)
        return self.own_calls + others * decay

    def duration_ratio_at(self, now: float) -> float:
        """Returns its duration ratio, which decays to 1 with age."""
        age = now - self.measured_at
        weight = math.exp(-age / _RATIO_DECAY_SECONDS)
        return 1.0 + (self.duration_ratio - 1.0) * weight

    def record_duration_ratio(self, sample: float, now: float) -> None:
        """Adds a measured duration relative to the average."""
        sample = min(max(sample, _MIN_DURATION_RATIO), _MAX_DURATION_RATIO)
        start = self.duration_ratio_at(now)
        self.duration_ratio = start + _RATIO_STEP * (sample - start)
        self.measured_at = now

    def slowdown_at(self, now: float, seconds: float) -> float:
        """Returns how many times as long a call takes there now as usually.

        Slow work ends soon, so a long call is slow for a small part of its time
        only. Otherwise all front ends would leave an endpoint for as long as it
        is slow and overload the others.

        Args:
            now: Loop time at which the call is sent.
            seconds: Usual duration of the call there.
        """
        slowdown = self.load and self.load.slowdown
        if not slowdown or seconds <= 0:
            return 1.0
        age = now - self.load_at
        slow_left = _SLOW_SECONDS_LEFT * math.exp(-age / _SLOW_SECONDS_LEFT)
        if seconds * slowdown <= slow_left:
            return slowdown
        return 1.0 + slow_left * (1.0 - 1.0 / slowdown) / seconds

    def record_load(self, load: Load, reported_at: float) -> None:
        """Records a load report, unless a newer one is known.

        The report contains this front end's calls that were sent before it.
        """
        if self.load and reported_at < self.load_at:
            return
        self.load = load
        self.load_at = reported_at
        self.own_calls_at_load = sum(
            sent_at <= reported_at for sent_at in self.sent_at.values()
        )

    def cached_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Returns how many tokens of a prompt should be cached there.

        A part counts only if all parts before it are cached too.
        """
        return self.cached_tokens_of(_prefix_keys(parts), parts)

    def cached_tokens_of(
        self, keys: list[str], parts: tuple[PromptPart, ...]
    ) -> int:
        """As ``cached_tokens``, given the key of each prefix."""
        tokens = 0
        for key, part in zip(keys, parts, strict=True):
            if key not in self.prefixes:
                break
            tokens += part.tokens
        return tokens

    def uncached_tokens(self, call: Call) -> int:
        """Returns how many tokens of a call's prompt it has to read."""
        return call.uncached_tokens(self.cached_tokens(call.prompt_parts))

    def record_prompt(self, parts: tuple[PromptPart, ...]) -> None:
        """Records that it reads a prompt."""
        for key in _prefix_keys(parts):
            self.prefixes.setdefault(key, False)
            self.prefixes.move_to_end(key)
        while len(self.prefixes) > _MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def take_unreported(self, parts: tuple[PromptPart, ...]) -> str | None:
        """Marks the prefix of the first part as reported to others.

        Returns:
            The prefix, or None if it has been reported before. Later parts
            belong to a single program and are of no use to others.
        """
        for prefix in _prefix_keys(parts[:1]):
            if self.prefixes.get(prefix) is False:
                self.prefixes[prefix] = True
                return prefix
        return None

    def record_shared_prefix(self, prefix: str) -> None:
        """Records a prefix that another front end has sent there.

        It is dropped before all that this front end uses itself.
        """
        if prefix in self.prefixes or len(self.prefixes) >= _MAX_PREFIXES:
            return
        self.prefixes[prefix] = False
        self.prefixes.move_to_end(prefix, last=False)


def _prefix_keys(parts: tuple[PromptPart, ...]) -> list[str]:
    keys = []
    key = ""
    for part in parts:
        key = f"{key}/{part.digest}"
        keys.append(key)
    return keys


class InFlightCall:
    """Context manager that counts a call as in flight at an endpoint."""

    def __init__(
        self, stats: EndpointStats, request_id: str, uncached_tokens: int
    ) -> None:
        self.stats = stats
        self.request_id = request_id
        self.uncached_tokens = uncached_tokens

    def __enter__(self) -> Self:
        now = loop_seconds()
        self.stats.own_calls += 1
        self.stats.sent_at[self.request_id] = now
        self.stats.waiting_since[self.request_id] = now
        self.stats.pending_prefill_tokens[self.request_id] = (
            self.uncached_tokens
        )
        return self

    def first_byte_received(self) -> None:
        """Records that the first byte of the response has arrived."""
        self.stats.waiting_since.pop(self.request_id, None)
        self.stats.pending_prefill_tokens.pop(self.request_id, None)

    def __exit__(self, *exc_info: object) -> None:
        self.stats.own_calls -= 1
        self.stats.sent_at.pop(self.request_id, None)
        self.first_byte_received()


class PerformanceModel:
    """Learned load and speed of all endpoints.

    Attributes:
        own_domain: Failure domain of this front end.
        stats: Statistics by endpoint name.
        averages: Average durations by timing key, see ``Job.timing_key``.
        avoid_domain_until: Loop time until which a domain is suspected to be
            unreachable, by domain.
        unreachable_at: Loop times of failed connection attempts, by domain and
            endpoint.
        services_with_slowdown: Services of which an endpoint has reported a
            slowdown. Their calls are placed among sampled endpoints.
        on_own_load: Called with a report with a slowdown that a response to
            this front end had.
        on_own_prefix: Called with an endpoint's name and a prompt prefix that
            this front end sends there for the first time.
    """

    def __init__(self, own_domain: str) -> None:
        self.own_domain = own_domain
        self.stats: dict[str, EndpointStats] = {}
        self.averages: dict[str, MovingAverage] = {}
        self.avoid_domain_until: dict[str, float] = {}
        self.unreachable_at: dict[str, dict[str, float]] = {}
        self.services_with_slowdown: set[str] = set()
        self.on_own_load: Callable[[str, Load], None] = lambda name, load: None
        self.on_own_prefix: Callable[[str, str], None] = lambda name, prefix: (
            None
        )

    def stats_of(self, endpoint: Endpoint) -> EndpointStats:
        """Returns the statistics of an endpoint."""
        stats = self.stats.get(endpoint.name)
        if stats is None:
            stats = self.stats[endpoint.name] = EndpointStats()
        return stats

    def forget(self, endpoint: Endpoint) -> None:
        """Drops the statistics of an endpoint that was removed or restarted."""
        self.stats.pop(endpoint.name, None)

    def average_for(
        self, timing_key: str, initial_seconds: float
    ) -> MovingAverage:
        """Returns the average duration of a kind of call."""
        average = self.averages.get(timing_key)
        if average is None:
            average = self.averages[timing_key] = MovingAverage(initial_seconds)
        return average

    def is_learned(self, timing_key: str) -> bool:
        """Whether calls of a kind have been measured."""
        average = self.averages.get(timing_key)
        return average is not None and average.samples > 0

    def estimate(
        self, endpoint: Endpoint, call: Call, timing_key: str, events: float
    ) -> EndpointEstimate:
        """Estimates what a call would take at an endpoint.

        Args:
            endpoint: The endpoint.
            call: The call.
            timing_key: Kind of call whose average duration applies.
            events: Expected number of events; 0 if it is not a stream.
        """
        now = loop_seconds()
        stats = self.stats_of(endpoint)
        ratio = stats.duration_ratio_at(now) * random.uniform(
            1, 1 + _TIE_BREAK_JITTER
        )
        prefill = queued_prefill = 0.0
        slot = None
        if events:
            span = self.averages.get(f"span/{timing_key}")
            slot = span and span.seconds * ratio
            average = self.average_for(timing_key, _INITIAL_EVENT_SECONDS)
            first = self.average_for(
                f"first/{timing_key}", _INITIAL_FIRST_EVENT_SECONDS
            )
            token = self.average_for(
                f"read/{timing_key}", _INITIAL_PREFILL_TOKEN_SECONDS
            )
            run = first.seconds + events * average.seconds
            prefill = stats.uncached_tokens(call) * token.seconds
            queued_prefill = (
                sum(stats.pending_prefill_tokens.values()) * token.seconds
            )
        else:
            average = self.average_for(timing_key, _INITIAL_CALL_SECONDS)
            run = average.seconds
        if endpoint.service in self.services_with_slowdown:
            ratio *= stats.slowdown_at(now, run * ratio)
        run *= ratio
        prefill *= ratio
        queued_prefill *= ratio
        oldest = min(stats.waiting_since.values(), default=now)
        overdue = max(0.0, now - oldest - 3 * (run + prefill) - 0.1)
        return EndpointEstimate(
            endpoint.name,
            endpoint.domain == self.own_domain,
            endpoint.slots,
            stats.active_requests(now),
            run,
            prefill,
            queued_prefill,
            overdue,
            slot,
        )

    def not_avoided(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Returns those that did not fail recently, nor did their domain."""
        now = loop_seconds()
        domains = {
            domain
            for domain, until in self.avoid_domain_until.items()
            if until > now
        }
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.domain not in domains
            and self.stats_of(endpoint).avoid_until <= now
        ]

    def record_failure(self, endpoint: Endpoint, is_unreachable: bool) -> None:
        """Records a call that got no response.

        If two endpoints of another domain can't be reached within the window,
        the domain is suspected to be partitioned. Trying each of its endpoints
        in turn would use up a call's whole time.
        """
        now = loop_seconds()
        stats = self.stats_of(endpoint)
        stats.failures += 1
        pause = _MIN_AVOID_SECONDS * 2 ** min(stats.failures - 1, 3)
        stats.avoid_until = now + min(pause, _MAX_AVOID_SECONDS)
        log_event(
            "endpoint_suspected",
            endpoint=endpoint.name,
            failures=stats.failures,
            unreached=is_unreachable,
            avoid_s=round(stats.avoid_until - now, 3),
        )
        if not is_unreachable or endpoint.domain == self.own_domain:
            return
        unreachable_at = self.unreachable_at.setdefault(endpoint.domain, {})
        unreachable_at[endpoint.name] = now
        fresh = [
            at
            for at in unreachable_at.values()
            if now - at < _DOMAIN_FAILURE_WINDOW_SECONDS
        ]
        if len(fresh) >= 2:
            self.avoid_domain_until[endpoint.domain] = (
                now + _DOMAIN_AVOID_SECONDS
            )
            log_event("domain_suspected", domain=endpoint.domain)

    def record_response(self, endpoint: Endpoint, load: Load | None) -> None:
        """Records the head of a response."""
        stats = self.stats_of(endpoint)
        stats.failures = 0
        stats.avoid_until = 0.0
        self.avoid_domain_until.pop(endpoint.domain, None)
        self.unreachable_at.pop(endpoint.domain, None)
        if load:
            self.record_load(endpoint, load, loop_seconds())
            if load.slowdown is not None:
                self.on_own_load(endpoint.name, load)

    def record_load(
        self, endpoint: Endpoint, load: Load, reported_at: float
    ) -> None:
        """Records a load report of this or another front end.

        Args:
            endpoint: The endpoint.
            load: What it reported.
            reported_at: Loop time of the report.
        """
        self.stats_of(endpoint).record_load(load, reported_at)
        if load.slowdown is not None:
            self.services_with_slowdown.add(endpoint.service)

    def record_prompt(
        self, endpoint: Endpoint, parts: tuple[PromptPart, ...]
    ) -> None:
        """Records that a prompt is sent to an endpoint."""
        stats = self.stats_of(endpoint)
        stats.record_prompt(parts)
        if endpoint.service not in self.services_with_slowdown:
            return
        prefix = stats.take_unreported(parts)
        if prefix:
            self.on_own_prefix(endpoint.name, prefix)

    def cached_tokens(
        self, endpoints: Iterable[Endpoint], parts: tuple[PromptPart, ...]
    ) -> list[int]:
        """Returns how many tokens of a prompt each endpoint should have."""
        keys = _prefix_keys(parts)
        return [
            self.stats_of(endpoint).cached_tokens_of(keys, parts)
            for endpoint in endpoints
        ]

    def record_duration(
        self,
        endpoint: Endpoint,
        timing_key: str,
        seconds: float,
        initial_seconds: float,
    ) -> None:
        """Records the duration of a call, or an interval between events."""
        average = self.average_for(timing_key, initial_seconds)
        if average.samples:
            self._record_ratio(endpoint, seconds / average.seconds)
        average.add(seconds)

    def _record_ratio(self, endpoint: Endpoint, sample: float) -> None:
        now = loop_seconds()
        stats = self.stats_of(endpoint)
        if endpoint.service in self.services_with_slowdown:
            expected = stats.duration_ratio_at(now)
            deviation = expected * _MAX_SAMPLE_DEVIATION
            sample = min(
                max(sample, expected - deviation), expected + deviation
            )
        stats.record_duration_ratio(sample, now)

    def record_call(
        self, endpoint: Endpoint, timing_key: str, seconds: float
    ) -> None:
        """Records the duration of a call to a plain service."""
        self.record_duration(
            endpoint, timing_key, seconds, _INITIAL_CALL_SECONDS
        )

    def record_event_interval(
        self, endpoint: Endpoint, timing_key: str, seconds: float
    ) -> None:
        """Records the mean interval between events of a stream."""
        self.record_duration(
            endpoint, timing_key, seconds, _INITIAL_EVENT_SECONDS
        )

    def record_stream(
        self, endpoint: Endpoint, timing_key: str, seconds: float
    ) -> None:
        """Records the time between the first and last event of a stream.

        It shows how long streams hold a slot. The time to the first event is
        left out, since it includes the wait for the slot.
        """
        ratio = self.stats_of(endpoint).duration_ratio_at(loop_seconds())
        self.average_for(f"span/{timing_key}", 0.0).add(seconds / ratio)

    def record_first_event(
        self,
        endpoint: Endpoint,
        timing_key: str,
        seconds: float,
        uncached_tokens: int,
    ) -> None:
        """Records the time to the first event of a stream.

        Args:
            endpoint: The endpoint that ran the call.
            timing_key: Kind of call whose average duration applies.
            seconds: Time from sending the call.
            uncached_tokens: Prompt tokens that the endpoint had to read.
        """
        seconds /= self.stats_of(endpoint).duration_ratio_at(loop_seconds())
        first = self.average_for(
            f"first/{timing_key}", _INITIAL_FIRST_EVENT_SECONDS
        )
        if uncached_tokens <= _MAX_SHORT_PREFILL_TOKENS:
            first.add(seconds)
        elif uncached_tokens >= _MIN_LONG_PREFILL_TOKENS:
            token = self.average_for(
                f"read/{timing_key}", _INITIAL_PREFILL_TOKEN_SECONDS
            )
            token.add(max(0.0, seconds - first.seconds) / uncached_tokens)


class Pick(msgspec.Struct, frozen=True):
    """An endpoint chosen for a call, and the estimates behind the choice."""

    endpoint: Endpoint
    expected_seconds: float
    active_requests: float
    cached_tokens: int
    uncached_tokens: int
    candidates: int
    estimate: EndpointEstimate
    compared: tuple[EndpointEstimate, ...]
    is_sampled: bool
