"""Speeds and load of one endpoint, learned from our own measurements.

Nothing here is set by an operator. Estimates are robust (one odd sample
cannot move them far) and decay towards the fleet's when an endpoint has not
been measured for a while, so that a slow one that has recovered is tried.
"""

import math

import msgspec

_DECODE_SECONDS = 0.02
_PREFILL_SECONDS = 0.0001
_CALL_SECONDS = 0.1
_STEP = 0.25
_STEP_UP = 0.03
_STEP_DOWN = 0.4
_CLIP = 4.0
_TRUST_SECONDS = 60.0
_MOST_SAMPLES = 10.0
_LOAD_SECONDS = 2.0
_LEAST_TOKENS = 4
_LEAST_PREFILL = 128
_LEAST_FORGET = 0.01


class LoadReport(msgspec.Struct):
    """Answer of ``GET /v1/load``, as far as it matters here."""

    waiting: int = 0
    running: int = 0
    slots: int = 0


def _clipped(value: float, around: float) -> float:
    return min(max(value, around / _CLIP), around * _CLIP)


def _least(least: float, usual: float, sample: float) -> float:
    """Returns the least seen, drawn slowly to what is usual by now."""
    return min(sample, least + _LEAST_FORGET * (usual - least))


class Speed:
    """Seconds per token and per call.

    Attributes:
        prefill: Seconds per prompt token that was not cached. Queueing makes
            samples too long, never too short, so low samples count for more.
        decode: Seconds per token of the answer, under the load there is.
        decode_least: The least of these seen, forgotten slowly.
        prefill_least: The same for prefill.
        call: Seconds of a call, for plain services.
        samples: How many measurements there were, at most 10.
    """

    def __init__(self) -> None:
        self.prefill = _PREFILL_SECONDS
        self.decode = _DECODE_SECONDS
        self.decode_least = 0.0
        self.prefill_least = 0.0
        self.call = _CALL_SECONDS
        self.samples = 0.0
        self.measured = 0.0

    def learn_chat(
        self, now: float, first: float, total: float, uncached: int, output: int
    ) -> None:
        """Takes one answer: its times in seconds, its sizes in tokens."""
        if output >= _LEAST_TOKENS and total > first:
            self._learn_decode((total - first) / (output - 1))
        if uncached >= _LEAST_PREFILL:
            self._learn_prefill(first / uncached)
        self._count(now)

    def learn_call(self, now: float, total: float) -> None:
        """Takes one answer of a plain service."""
        sample = _clipped(total, self.call) if self.samples else total
        self.call += _STEP * (sample - self.call) if self.samples else 0.0
        if not self.samples:
            self.call = total
        self._count(now)

    def _learn_decode(self, sample: float) -> None:
        if not self.decode_least:
            self.decode = self.decode_least = sample
            return
        self.decode += _STEP * (_clipped(sample, self.decode) - self.decode)
        self.decode_least = _least(self.decode_least, self.decode, sample)

    def _learn_prefill(self, sample: float) -> None:
        if not self.prefill_least:
            self.prefill = self.prefill_least = sample
            return
        step = _STEP_DOWN if sample < self.prefill else _STEP_UP
        self.prefill += step * (_clipped(sample, self.prefill) - self.prefill)
        self.prefill_least = _least(self.prefill_least, self.prefill, sample)

    def _count(self, now: float) -> None:
        self.samples = min(self.trust(now) + 1, _MOST_SAMPLES)
        self.measured = now

    def least_seconds(self, uncached: int, output: int) -> float:
        """Returns the time of a call at the best speeds seen."""
        prefill = self.prefill_least or self.prefill
        decode = self.decode_least or self.decode
        return uncached * prefill + output * decode

    def trust(self, now: float) -> float:
        """Weight of these estimates against the fleet's."""
        if not self.samples:
            return 0.0
        age = max(0.0, now - self.measured)
        return self.samples * math.exp(-age / _TRUST_SECONDS)


class EndpointStats:
    """What this instance knows of one endpoint.

    Attributes:
        speed: Its own speeds.
        others: Calls of other instances there, from its lagging reports.
        slots: Calls in a batch, from its reports; 0 if it has not said.
        limit: Calls that this instance has there at most; found by feedback.
        reported: Loop time of the last report.
        used: Loop time of the last placement.
    """

    __slots__ = (
        "average_in_flight",
        "average_reported",
        "limit",
        "others",
        "reported",
        "slots",
        "speed",
        "started",
        "used",
    )

    def __init__(self, first_limit: float) -> None:
        self.speed = Speed()
        self.others = 0.0
        self.slots = 0
        self.limit = first_limit
        self.reported = 0.0
        self.used = 0.0
        self.average_reported = 0.0
        self.average_in_flight = 0.0
        # Start and expected seconds of each call there, oldest first.
        self.started: dict[int, tuple[float, float]] = {}

    def take_report(
        self, now: float, report: LoadReport, in_flight: int
    ) -> None:
        """Takes a load report and corrects it by what we have there.

        A report shows the load of some time ago, in which our own calls of
        that time are counted. Taken as it is, it would count our calls
        twice, and all instances would flee or rush to an endpoint at once.
        Both sides are averaged over the same time, so a lag cancels out.
        """
        there = report.waiting + report.running
        age = now - self.reported if self.reported else math.inf
        keep = math.exp(-age / _LOAD_SECONDS)
        self.average_reported = keep * self.average_reported + (1 - keep) * (
            there
        )
        self.average_in_flight = keep * self.average_in_flight + (1 - keep) * (
            in_flight
        )
        self.others = max(0.0, self.average_reported - self.average_in_flight)
        self.slots = report.slots
        self.reported = now

    def overdue(self, now: float) -> float:
        """How many times longer than expected the oldest call has taken.

        An endpoint that has slowed down or hangs finishes nothing, so
        nothing new is measured there; its oldest call tells all the same.
        """
        for began, expected in self.started.values():
            return max(1.0, (now - began) / max(expected, 0.01) / 2)
        return 1.0


class Pace(msgspec.Struct):
    """Speeds of an endpoint as decisions use them, in seconds per token."""

    prefill: float
    decode: float
    call: float


def pace(own: Speed, fleet: Speed, now: float) -> Pace:
    """Returns an endpoint's speeds, drawn towards the fleet's if unsure."""
    trust = own.trust(now)
    if not fleet.samples:
        return Pace(own.prefill, own.decode, own.call)

    def blend(mine: float, all_of_us: float) -> float:
        return (trust * mine + all_of_us) / (trust + 1)

    return Pace(
        blend(own.prefill, fleet.prefill),
        blend(own.decode, fleet.decode),
        blend(own.call, fleet.call),
    )
