"""Speed and load of one endpoint, estimated from this instance's measurements.

None of these values is configured by an operator. Estimates are robust (one
outlier cannot move them far) and decay towards those of the fleet while an
endpoint is not measured, so that a slow endpoint that has recovered is tried
again.
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
    """The fields of the response to ``GET /v1/load`` that placement uses."""

    waiting: int = 0
    running: int = 0
    slots: int = 0


def _clipped(value: float, around: float) -> float:
    return min(max(value, around / _CLIP_FACTOR), around * _CLIP_FACTOR)


def _decaying_min(minimum: float, usual: float, sample: float) -> float:
    """Returns the minimum seen, which drifts slowly towards the usual value."""
    return min(sample, minimum + _MIN_DECAY_WEIGHT * (usual - minimum))


class SpeedEstimate:
    """Estimated seconds per token and per call.

    Attributes:
        prefill: Seconds per uncached prompt token. Queueing makes samples too
            long, never too short, so low samples have more weight.
        decode: Seconds per token of the answer, under the current load.
        decode_min: Minimum of ``decode``, slowly decaying; 0 before a sample.
        prefill_min: Minimum of ``prefill``, slowly decaying; 0 before a sample.
        call: Seconds of a call to a plain service.
        samples: Decayed number of measurements, at most 10.
        measured_at: Loop time of the last measurement.
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
        """Records one answer.

        Args:
            now: Loop time.
            first: Seconds to the first token.
            total: Seconds to the end of the answer.
            uncached: Uncached tokens of the prompt.
            output: Tokens of the answer.
        """
        if output >= _MIN_OUTPUT_TOKENS and total > first:
            self._update_decode((total - first) / (output - 1))
        if uncached >= _MIN_PREFILL_TOKENS:
            self._update_prefill(first / uncached)
        self._count_sample(now)

    def record_call(self, now: float, total: float) -> None:
        """Records one answer of a plain service."""
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
        """Returns the seconds of a call at the best speeds seen."""
        prefill = self.prefill_min or self.prefill
        decode = self.decode_min or self.decode
        return uncached * prefill + output * decode

    def weight(self, now: float) -> float:
        """Returns the weight of these estimates relative to the fleet's."""
        if not self.samples:
            return 0.0
        age = max(0.0, now - self.measured_at)
        return self.samples * math.exp(-age / _WEIGHT_DECAY_SECONDS)


class EndpointStats:
    """Statistics of one endpoint, as seen by this instance.

    Attributes:
        speed: Estimated speeds.
        others: Calls of other instances there, from its lagging reports.
        slots: Maximum number of calls in a batch, from its reports; 0 if not
            reported.
        limit: Maximum concurrent calls of this instance there, adjusted by
            feedback.
        reported: Loop time of the last report.
        used: Loop time of the last placement.
        average_reported: Decayed average of the calls that it reports.
        average_in_flight: Decayed average of this instance's calls there.
        started: Loop time of the start and expected seconds of each call there,
            in order of start.
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
        self.started: dict[int, tuple[float, float]] = {}

    def record_load_report(
        self, now: float, report: LoadReport, in_flight: int
    ) -> None:
        """Records a load report, corrected by this instance's own calls.

        A report lags and includes this instance's calls at that time. Used
        unchanged, it would count these calls twice, and all instances would
        avoid or select an endpoint at the same time. Both sides are averaged
        over the same period, so that the lag cancels out.
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
        """Returns the factor by which to raise expected times, at least 1.

        It is half the ratio of the oldest call's age to its expected duration.
        An endpoint that has slowed down or hangs finishes no call and so gives
        no new measurement; the age of its oldest call still shows it.
        """
        for started_at, expected in self.started.values():
            return max(1.0, (now - started_at) / max(expected, 0.01) / 2)
        return 1.0


class BlendedSpeed(msgspec.Struct):
    """Speeds of an endpoint used for decisions, in seconds per token.

    Attributes:
        prefill: Seconds per uncached prompt token.
        decode: Seconds per token of the answer.
        call: Seconds of a call to a plain service.
    """

    prefill: float
    decode: float
    call: float


def blend_speed(
    own: SpeedEstimate, fleet: SpeedEstimate, now: float
) -> BlendedSpeed:
    """Returns an endpoint's speeds, weighted with those of the fleet."""
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
