"""What a front learns of endpoints from the calls it makes there."""

import collections
import math
import random
from typing import Self

import msgspec

from rattanmill_core import log_event, loop_seconds
from rattanmill_forward.calls import Call, Load, PromptPart
from rattanmill_forward.endpoints import Endpoint
from rattanmill_forward.placing import View

_PACE_STEP = 0.2
_USUAL_STEP = 0.05
_LEAST_PACE = 0.2
_MOST_PACE = 8.0
# An endpoint that was not measured for so long is taken to be as fast as
# others, so that one that has recovered gets work again. Slow ones get little
# work, and must not look fast again before the next wave of it.
_TRUST_SECONDS = 40.0
# Load of other fronts that an answer reported fades: their calls last about
# as long.
_LOAD_SECONDS = 1.0
_AVOID_LEAST_SECONDS = 0.5
_AVOID_MOST_SECONDS = 4.0
_DOMAIN_AVOID_SECONDS = 0.7
_DOMAIN_WINDOW_SECONDS = 1.0
_MOST_PREFIXES = 4000
# Seconds in which an engine reads a prompt token, where nothing is known yet;
# engines in use take 5 to 16 microseconds.
_READ_SECONDS = 8e-6
# Prompts that are cached up to so many tokens show the time of a first event
# without reading; those with more to read show how long reading takes.
_LITTLE_TOKENS = 400
_MUCH_TOKENS = 1_500
# A first event without reading, where nothing is known yet.
_FIRST_TOKEN_SECONDS = 0.03
_FIRST_EVENT_SECONDS = 0.03
_FIRST_CALL_SECONDS = 0.03
# Calls on one runner differ this much by chance; ties go by lot within it.
_JITTER = 0.02


class Usual:
    """What calls of one kind take, all endpoints taken together."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.samples = 0

    def learn(self, seconds: float) -> None:
        """Takes a measurement."""
        self.samples += 1
        step = max(_USUAL_STEP, 1 / self.samples)
        self.seconds += step * (seconds - self.seconds)


class EndpointStats:
    """What is known of one endpoint.

    Attributes:
        own: Calls of this front that are there.
        pace: Time that calls take there, against the usual.
        avoid_until: Loop time until which it gets no work if others can.
        failures: Failures in a row.
        waiting: When each call there that has no first byte was sent.
        unread: Tokens that are to be read for each of these.
    """

    def __init__(self) -> None:
        self.own = 0
        self.pace = 1.0
        self.measured_at = float("-inf")
        self.load: Load | None = None
        self.load_at = 0.0
        self.own_at_load = 0
        self.avoid_until = 0.0
        self.failures = 0
        self.waiting: dict[str, float] = {}
        self.unread: dict[str, int] = {}
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def busy(self, now: float) -> float:
        """Returns how many requests run or wait there, as far as known."""
        if self.load is None:
            return float(self.own)
        reported = self.load.running + self.load.waiting
        others = max(0, reported - self.own_at_load)
        fade = math.exp((self.load_at - now) / _LOAD_SECONDS)
        return self.own + others * fade

    def pace_now(self, now: float) -> float:
        """Returns its pace, drawn to the usual as it ages."""
        age = now - self.measured_at
        trust = math.exp(-age / _TRUST_SECONDS)
        return 1.0 + (self.pace - 1.0) * trust

    def learn_pace(self, sample: float, now: float) -> None:
        """Takes a measured time against the usual."""
        sample = min(max(sample, _LEAST_PACE), _MOST_PACE)
        start = self.pace_now(now)
        self.pace = start + _PACE_STEP * (sample - start)
        self.measured_at = now

    def report(self, load: Load, now: float) -> None:
        """Takes the load that an answer reports."""
        self.load = load
        self.load_at = now
        self.own_at_load = self.own

    def cached_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Returns how much of a prompt should be cached there.

        A part counts only if all parts before it are cached too.
        """
        tokens = 0
        for key, part in zip(_prefix_keys(parts), parts, strict=True):
            if key not in self.prefixes:
                break
            tokens += part.tokens
        return tokens

    def uncached(self, call: Call) -> int:
        """Returns how many tokens of a prompt it has to read."""
        return call.unread_tokens(self.cached_tokens(call.parts))

    def sent(self, parts: tuple[PromptPart, ...]) -> None:
        """Notes that it reads a prompt."""
        for key in _prefix_keys(parts):
            self.prefixes[key] = None
            self.prefixes.move_to_end(key)
        while len(self.prefixes) > _MOST_PREFIXES:
            self.prefixes.popitem(last=False)


def _prefix_keys(parts: tuple[PromptPart, ...]) -> list[str]:
    keys = []
    key = ""
    for part in parts:
        key = f"{key}/{part.digest}"
        keys.append(key)
    return keys


class Stay:
    """A call's stay at an endpoint, counted there while it lasts."""

    def __init__(self, stats: EndpointStats, request: str, unread: int) -> None:
        self.stats = stats
        self.request = request
        self.unread = unread

    def __enter__(self) -> Self:
        self.stats.own += 1
        self.stats.waiting[self.request] = loop_seconds()
        self.stats.unread[self.request] = self.unread
        return self

    def answered(self) -> None:
        """The first byte has come."""
        self.stats.waiting.pop(self.request, None)
        self.stats.unread.pop(self.request, None)

    def __exit__(self, *exc_info: object) -> None:
        self.stats.own -= 1
        self.answered()


class Knowledge:
    """What is known of all endpoints.

    Attributes:
        domain: Failure domain of this front.
        stats: By endpoint.
        usual: Time of a call by kind, see ``kind_of``.
        avoid_domains: Loop time until which a domain seems out of reach.
    """

    def __init__(self, domain: str) -> None:
        self.domain = domain
        self.stats: dict[str, EndpointStats] = {}
        self.usual: dict[str, Usual] = {}
        self.avoid_domains: dict[str, float] = {}
        self.unreached: dict[str, dict[str, float]] = {}

    def of(self, endpoint: Endpoint) -> EndpointStats:
        """Returns what is known of an endpoint."""
        stats = self.stats.get(endpoint.name)
        if stats is None:
            stats = self.stats[endpoint.name] = EndpointStats()
        return stats

    def forget(self, endpoint: Endpoint) -> None:
        """Drops what is known of one that left or started anew."""
        self.stats.pop(endpoint.name, None)

    def usual_of(self, kind: str, first: float) -> Usual:
        """Returns the usual time of a kind of call."""
        usual = self.usual.get(kind)
        if usual is None:
            usual = self.usual[kind] = Usual(first)
        return usual

    def view(
        self, endpoint: Endpoint, call: Call, kind: str, events: float
    ) -> View:
        """Returns an endpoint as a decision about a call sees it.

        Args:
            endpoint: The endpoint.
            call: The call.
            kind: Kind of call, for its usual time.
            events: Events that the answer should have; 0: no stream.
        """
        now = loop_seconds()
        stats = self.of(endpoint)
        pace = stats.pace_now(now) * random.uniform(1, 1 + _JITTER)
        read = ahead = 0.0
        if events:
            usual = self.usual_of(kind, _FIRST_EVENT_SECONDS)
            first = self.usual_of(f"first/{kind}", _FIRST_TOKEN_SECONDS)
            token = self.usual_of(f"read/{kind}", _READ_SECONDS)
            run = (first.seconds + events * usual.seconds) * pace
            read = stats.uncached(call) * token.seconds * pace
            ahead = sum(stats.unread.values()) * token.seconds * pace
        else:
            usual = self.usual_of(kind, _FIRST_CALL_SECONDS)
            run = usual.seconds * pace
        oldest = min(stats.waiting.values(), default=now)
        overdue = max(0.0, now - oldest - 3 * (run + read) - 0.1)
        return View(
            endpoint.name,
            endpoint.domain == self.domain,
            endpoint.slots,
            stats.busy(now),
            run,
            read,
            ahead,
            overdue,
        )

    def is_avoided(self, endpoint: Endpoint) -> bool:
        """Whether it should get no work if others can."""
        now = loop_seconds()
        return (
            self.of(endpoint).avoid_until > now
            or self.avoid_domains.get(endpoint.domain, 0.0) > now
        )

    def failed(self, endpoint: Endpoint, is_unreached: bool) -> None:
        """Learns from a call that got no answer.

        Two endpoints of another domain that cannot be reached one after the
        other mean that the domain is cut off. Trying each of its endpoints
        in turn would cost a call its whole time.
        """
        now = loop_seconds()
        stats = self.of(endpoint)
        stats.failures += 1
        pause = _AVOID_LEAST_SECONDS * 2 ** min(stats.failures - 1, 3)
        stats.avoid_until = now + min(pause, _AVOID_MOST_SECONDS)
        log_event(
            "endpoint_suspected",
            endpoint=endpoint.name,
            failures=stats.failures,
            unreached=is_unreached,
            avoid_s=round(stats.avoid_until - now, 3),
        )
        if not is_unreached or endpoint.domain == self.domain:
            return
        unreached = self.unreached.setdefault(endpoint.domain, {})
        unreached[endpoint.name] = now
        fresh = [
            at for at in unreached.values() if now - at < _DOMAIN_WINDOW_SECONDS
        ]
        if len(fresh) >= 2:
            self.avoid_domains[endpoint.domain] = now + _DOMAIN_AVOID_SECONDS
            log_event("domain_suspected", domain=endpoint.domain)

    def answered(self, endpoint: Endpoint, load: Load | None) -> None:
        """Learns from the head of an answer."""
        stats = self.of(endpoint)
        stats.failures = 0
        stats.avoid_until = 0.0
        self.avoid_domains.pop(endpoint.domain, None)
        self.unreached.pop(endpoint.domain, None)
        if load:
            stats.report(load, loop_seconds())

    def measured(
        self, endpoint: Endpoint, kind: str, seconds: float, first: float
    ) -> None:
        """Learns from the time that a call, or an event of it, has taken."""
        usual = self.usual_of(kind, first)
        if usual.samples:
            self.of(endpoint).learn_pace(
                seconds / usual.seconds, loop_seconds()
            )
        usual.learn(seconds)

    def measured_call(
        self, endpoint: Endpoint, kind: str, seconds: float
    ) -> None:
        """Learns from a call of a plain service."""
        self.measured(endpoint, kind, seconds, _FIRST_CALL_SECONDS)

    def measured_event(
        self, endpoint: Endpoint, kind: str, seconds: float
    ) -> None:
        """Learns from the mean time between events of a stream."""
        self.measured(endpoint, kind, seconds, _FIRST_EVENT_SECONDS)

    def measured_first(
        self, endpoint: Endpoint, kind: str, seconds: float, unread: int
    ) -> None:
        """Learns from the time to the first event of a stream.

        Args:
            endpoint: Where it ran.
            kind: Kind of call.
            seconds: From sending the call.
            unread: Tokens that were to be read.
        """
        seconds /= self.of(endpoint).pace_now(loop_seconds())
        first = self.usual_of(f"first/{kind}", _FIRST_TOKEN_SECONDS)
        if unread <= _LITTLE_TOKENS:
            first.learn(seconds)
        elif unread >= _MUCH_TOKENS:
            token = self.usual_of(f"read/{kind}", _READ_SECONDS)
            token.learn(max(0.0, seconds - first.seconds) / unread)


class Pick(msgspec.Struct, frozen=True):
    """An endpoint chosen for a call, and what spoke for it."""

    endpoint: Endpoint
    expected_seconds: float
    busy: float
    cached_tokens: int
    unread_tokens: int
    candidates: int
