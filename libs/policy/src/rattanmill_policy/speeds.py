"""Speeds and load of one endpoint, learned from our own measurements.

Nothing here is set by an operator. Estimates are robust (one odd sample
cannot move them far) and decay towards the fleet's when an endpoint has not
been measured for a while, so that a slow one that has recovered is tried.
"""

import math

import msgspec

_DEFAULT_DECODE_SECONDS = 0.02
_DEFAULT_PREFILL_SECONDS = 0.0001
_DEFAULT_CALL_SECONDS = 0.1
_EWMA_WEIGHT = 0.25
_PREFILL_UP_WEIGHT = 0.03
_PREFILL_DOWN_WEIGHT = 0.4
_CLIP_FACTOR = 4.0
_WEIGHT_DECAY_SECONDS = 60.0
_MAX_SAMPLES = 10.0
_LOAD_AVERAGE_SECONDS = 2.0
_MIN_OUTPUT_TOKENS = 4
_MIN_PREFILL_TOKENS = 128
_MIN_DECAY_WEIGHT = 0.01


class LoadReport(msgspec.Struct):
    """Answer of ``GET /v1/load``, as far as it matters here."""

    waiting: int = 0
    running: int = 0
    slots: int = 0


def _clipped(value: float, around: float) -> float:
    return min(max(value, around / _CLIP_FACTOR), around * _CLIP_FACTOR)


def _decaying_min(minimum: float, usual: float, sample: float) -> float:
    """Returns the least seen, drawn slowly to what is usual by now."""
    return min(sample, minimum + _MIN_DECAY_WEIGHT * (usual - minimum))


class SpeedEstimate:
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
        self.prefill = _DEFAULT_PREFILL_SECONDS
        self.decode = _DEFAULT_DECODE_SECONDS
        self.decode_min = 0.0
        self.prefill_min = 0.0
        self.call = _DEFAULT_CALL_SECONDS
        self.samples = 0.0
        self.measured_at = 0.0

    def record_chat(
        self, now: float, first: float, total: float, uncached: int, output: int
    ) -> None:
        """Takes one answer: its times in seconds, its sizes in tokens."""
        if output >= _MIN_OUTPUT_TOKENS and total > first:
            self._update_decode((total - first) / (output - 1))
        if uncached >= _MIN_PREFILL_TOKENS:
            self._update_prefill(first / uncached)
        self._count_sample(now)

    def record_call(self, now: float, total: float) -> None:
        """Takes one answer of a plain service."""
        sample = _clipped(total, self.call) if self.samples else total
        self.call += (
            _EWMA_WEIGHT * (sample - self.call) if self.samples else 0.0
        )
        if not self.samples:
            self.call = total
        self._count_sample(now)

    def _update_decode(self, sample: float) -> None:
        if not self.decode_min:
            self.decode = self.decode_min = sample
            return
        self.decode += _EWMA_WEIGHT * (
            _clipped(sample, self.decode) - self.decode
        )
        self.decode_min = _decaying_min(self.decode_min, self.decode, sample)

    def _update_prefill(self, sample: float) -> None:
        if not self.prefill_min:
            self.prefill = self.prefill_min = sample
            return
        step = (
            _PREFILL_DOWN_WEIGHT
            if sample < self.prefill
            else _PREFILL_UP_WEIGHT
        )
        self.prefill += step * (_clipped(sample, self.prefill) - self.prefill)
        self.prefill_min = _decaying_min(self.prefill_min, self.prefill, sample)

    def _count_sample(self, now: float) -> None:
        self.samples = min(self.weight(now) + 1, _MAX_SAMPLES)
        self.measured_at = now

    def min_seconds(self, uncached: int, output: int) -> float:
        """Returns the time of a call at the best speeds seen."""
        prefill = self.prefill_min or self.prefill
        decode = self.decode_min or self.decode
        return uncached * prefill + output * decode

    def weight(self, now: float) -> float:
        """Weight of these estimates against the fleet's."""
        if not self.samples:
            return 0.0
        age = max(0.0, now - self.measured_at)
        return self.samples * math.exp(-age / _WEIGHT_DECAY_SECONDS)


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

    def __init__(self, initial_limit: float) -> None:
        self.speed = SpeedEstimate()
        self.others = 0.0
        self.slots = 0
        self.limit = initial_limit
        self.reported = 0.0
        self.used = 0.0
        self.average_reported = 0.0
        self.average_in_flight = 0.0
        # Start and expected seconds of each call there, oldest first.
        self.started: dict[int, tuple[float, float]] = {}

    def record_load_report(
        self, now: float, report: LoadReport, in_flight: int
    ) -> None:
        """Takes a load report and corrects it by what we have there.

        A report shows the load of some time ago, in which our own calls of
        that time are counted. Taken as it is, it would count our calls
        twice, and all instances would flee or rush to an endpoint at once.
        Both sides are averaged over the same time, so a lag cancels out.
        """
        reported_calls = report.waiting + report.running
        age = now - self.reported if self.reported else math.inf
        keep = math.exp(-age / _LOAD_AVERAGE_SECONDS)
        self.average_reported = keep * self.average_reported + (1 - keep) * (
            reported_calls
        )
        self.average_in_flight = keep * self.average_in_flight + (1 - keep) * (
            in_flight
        )
        self.others = max(0.0, self.average_reported - self.average_in_flight)
        self.slots = report.slots
        self.reported = now

    def overdue_factor(self, now: float) -> float:
        """How many times longer than expected the oldest call has taken.

        An endpoint that has slowed down or hangs finishes nothing, so
        nothing new is measured there; its oldest call tells all the same.
        """
        for began, expected in self.started.values():
            return max(1.0, (now - began) / max(expected, 0.01) / 2)
        return 1.0


class BlendedSpeed(msgspec.Struct):
    """Speeds of an endpoint as decisions use them, in seconds per token."""

    prefill: float
    decode: float
    call: float


def blend_speed(
    own: SpeedEstimate, fleet: SpeedEstimate, now: float
) -> BlendedSpeed:
    """Returns an endpoint's speeds, drawn towards the fleet's if unsure."""
    weight = own.weight(now)
    if not fleet.samples:
        return BlendedSpeed(own.prefill, own.decode, own.call)

    def blend(own_value: float, fleet_value: float) -> float:
        return (weight * own_value + fleet_value) / (weight + 1)

    return BlendedSpeed(
        blend(own.prefill, fleet.prefill),
        blend(own.decode, fleet.decode),
        blend(own.call, fleet.call),
    )
