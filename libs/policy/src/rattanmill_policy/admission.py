"""Admission control: adaptive concurrency limits and early refusal."""

import math
import random

import msgspec

from rattanmill_core import WorkClass

_DECAY_SECONDS = 60.0
_MAX_DECAYS = 20.0
_MAX_CALLS = 430
_PRIOR_CONTINUE_PROBABILITY = 0.9
_EWMA_WEIGHT = 0.2
_LATENCY_TOLERANCE = 2.0
_MIN_GRADIENT = 0.5
_MIN_LIMIT = 1.0
_MAX_LIMIT = 256.0
INITIAL_LIMIT = 4.0
_MIN_DELAY_RATIO = 0.5
_DELAY_EWMA_WEIGHT = 0.1
_DELAY_DECAY_SECONDS = 3.0
_MARGIN_STEP = 0.03
_MIN_MARGIN = 0.2
_MAX_PERMITS = 10.0
_UNRESTRICTED_FILL = 0.5
_MIN_ALLOWED_SECONDS = 0.02
_MIN_RETRY_AFTER_SECONDS = 0.5
_RATE_DECAY_SECONDS = 5.0


def next_limit(
    limit: float, in_flight: int, seconds: float, min_seconds: float
) -> float:
    """Returns an endpoint's concurrency limit after an answer.

    Uses the gradient method: the limit shrinks as latency rises above the
    minimum.

    Args:
        limit: Current limit, in calls.
        in_flight: Calls in flight there when the answer arrived, including its
            own.
        seconds: Duration of the call.
        min_seconds: Duration of the call at the best speed seen.
    """
    gradient = _LATENCY_TOLERANCE * min_seconds / max(seconds, 1e-6)
    gradient = min(1.0, max(_MIN_GRADIENT, gradient))
    if gradient == 1.0 and in_flight < limit / 2:
        # The endpoint was well below its limit, so a fast answer gives no
        # reason to raise it.
        return limit
    target = limit * gradient + math.sqrt(limit) / 2
    limit += _EWMA_WEIGHT * (target - limit)
    return min(_MAX_LIMIT, max(_MIN_LIMIT, limit))


class Rate:
    """Events per second, as a decayed average of the last few seconds."""

    def __init__(self) -> None:
        self.count = 0.0
        self.updated_at = 0.0
        self.started_at = 0.0

    def record(self, now: float) -> None:
        """Counts one event."""
        self.started_at = self.started_at or now
        self.count = self._decayed_count(now) + 1
        self.updated_at = now

    def per_second(self, now: float) -> float:
        """Returns the rate."""
        span = min(_RATE_DECAY_SECONDS, max(0.5, now - self.started_at))
        window = _RATE_DECAY_SECONDS * (
            1 - math.exp(-span / _RATE_DECAY_SECONDS)
        )
        return self._decayed_count(now) / window

    def _decayed_count(self, now: float) -> float:
        return self.count * math.exp(
            (self.updated_at - now) / _RATE_DECAY_SECONDS
        )


class ProgramProfile:
    """Recent statistics of the programs of one class.

    The number of calls of a program is not known in advance. Counting how many
    programs reached each number of calls gives its quantiles without an
    explicit signal that a program has ended.

    Attributes:
        reached: Programs that reached each number of calls, as a decayed count.
        run: Seconds of a call at the best speeds seen, as a decayed mean.
        pause: Seconds from the end of a call to the program's next call.
        output: Tokens of an answer, as a decayed mean.
    """

    def __init__(self) -> None:
        # The prior is a program that continues after each call. Without it,
        # programs that have just started would look as if they had one call
        # only, and far too many would be admitted after a restart.
        self.reached = [0.0]
        self.reached += [
            _PRIOR_CONTINUE_PROBABILITY**number for number in range(_MAX_CALLS)
        ]
        self.run = 0.0
        self.pause = 0.0
        self.output = 0.0
        self.weight = 1.0
        self.updated_at = 0.0

    def record_call(self, number: int, now: float) -> None:
        """Records that a program makes its call ``number``, counted from 1."""
        # Increases the weight of new samples instead of shrinking old counts.
        # The elapsed time is capped, since the exponential would overflow after
        # half a day without calls.
        elapsed = (now - (self.updated_at or now)) / _DECAY_SECONDS
        self.weight *= math.exp(min(elapsed, _MAX_DECAYS))
        self.updated_at = now
        self.reached[min(number, _MAX_CALLS)] += self.weight
        if self.weight > 1e6:
            self.reached = [count / self.weight for count in self.reached]
            self.weight = 1.0

    def record_sample(self, name: str, value: float) -> None:
        """Records a sample of ``run``, ``pause`` or ``output``."""
        old = getattr(self, name)
        setattr(
            self, name, old + _EWMA_WEIGHT / 2 * (value - old) if old else value
        )

    def mean_calls(self) -> float:
        """Returns the mean number of calls per program."""
        if not self.reached[1]:
            return 1.0
        return max(1.0, sum(self.reached) / self.reached[1])

    def calls_percentile(self, percent: float) -> int:
        """Returns the number of calls that ``percent`` of programs keep to."""
        threshold = self.reached[1] * (1 - percent / 100)
        for number in range(1, _MAX_CALLS):
            if self.reached[number + 1] <= threshold:
                return number
        return _MAX_CALLS


class AdmissionDecision(msgspec.Struct):
    """Whether a call is admitted to the queue, and if not, when to retry.

    Attributes:
        admitted: Whether the call is admitted.
        cause: Why it is refused: ``share``, ``target`` or ``deadline``.
        retry_after: Seconds after which to retry.
    """

    admitted: bool
    cause: str = ""
    retry_after: float = 0.0


_ADMITTED = AdmissionDecision(True)


class ClassState:
    """Admission state of one class.

    Attributes:
        profile: Statistics of its programs.
        admitted: Rate at which programs are admitted.
        next_retry_at: Loop time of the retry assigned to the last refused
            program.
        mean_delay: Decayed mean delay of recently finished calls, in seconds.
        delay_updated_at: Loop time of the last update of ``mean_delay``.
        margin: Fraction of the allowed delay that is used. Adjusted by feedback
            so that the target percentile of programs finishes in time.
    """

    def __init__(self) -> None:
        self.profile = ProgramProfile()
        self.admitted = Rate()
        self.next_retry_at = 0.0
        self.mean_delay = 0.0
        self.delay_updated_at = 0.0
        self.margin = 1.0

    def record_call(
        self, delay: float, late: bool, klass: WorkClass, now: float
    ) -> None:
        """Updates the delay and the margin after a call ended.

        Args:
            delay: Seconds that the call took beyond its run time.
            late: Whether its program has exceeded its target.
            klass: Targets of the class.
            now: Loop time.
        """
        self.mean_delay = self.recent_delay(now)
        self.mean_delay += _DELAY_EWMA_WEIGHT * (delay - self.mean_delay)
        self.delay_updated_at = now
        # The two steps cancel out when the fraction of late programs equals the
        # fraction that the target allows.
        on_time = klass.target_percent / 100
        factor = 1 - _MARGIN_STEP * on_time
        if not late:
            factor = 1 + _MARGIN_STEP * (1 - on_time)
        self.margin = min(1.0, max(_MIN_MARGIN, self.margin * factor))

    def recent_delay(self, now: float) -> float:
        """Returns the recent delay; it decays to 0 while no call ends."""
        return self.mean_delay * math.exp(
            (self.delay_updated_at - now) / _DELAY_DECAY_SECONDS
        )


class Permits:
    """Token bucket that limits program starts, counted in calls.

    Permits are earned as calls end. All classes of a model share one bucket: a
    finished call makes room once, not once for each class.

    Attributes:
        balance: Calls that newly started programs may make; negative if
            overdrawn.
        updated_at: Loop time of the last update.
    """

    def __init__(self) -> None:
        self.balance = 0.0
        self.updated_at = 0.0

    def try_acquire(self, cost: float, rate: float, now: float) -> bool:
        """Admits a program of ``cost`` calls if the balance is positive.

        The balance may become negative. Otherwise a class of long programs
        would never find enough permits while short programs take them as they
        are earned.

        Args:
            cost: Expected number of calls of the program.
            rate: Calls that end per second.
            now: Loop time.
        """
        earned = rate * (now - (self.updated_at or now))
        self.balance = min(_MAX_PERMITS, self.balance + earned)
        self.updated_at = now
        if self.balance <= 0:
            return False
        self.balance -= cost
        return True


def allowed_delay(
    profile: ProgramProfile, klass: WorkClass, age: float = 0.0
) -> float:
    """Returns the delay per call, in seconds, that still meets the target.

    The target's percentile of calls must fit into the target. If it does not
    fit even without any delay, a short delay is allowed, since refusing all
    programs would be of no use. A program that has spent part of its time being
    refused has less time left. If it were admitted like a new one, all programs
    would start when they are almost late, and none would finish in time.

    Args:
        profile: Statistics of the class's programs.
        klass: Targets of the class.
        age: Seconds since the program was created.
    """
    call_count = profile.calls_percentile(klass.target_percent)
    pauses = (call_count - 1) * profile.pause
    spare = (klass.target_seconds - pauses) / call_count - profile.run
    return max(spare, _MIN_DELAY_RATIO * profile.run) - age / call_count


class Admission:
    """Admits new programs or refuses them immediately.

    A program that has already started is refused only if its caller's deadline
    cannot be met, because the service it has received would be wasted.

    Args:
        rng: Source of jitter for retry times.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.classes: dict[str, ClassState] = {}

    def class_state(self, klass: str) -> ClassState:
        """Returns the state of a class."""
        if klass not in self.classes:
            self.classes[klass] = ClassState()
        return self.classes[klass]

    def check_new(
        self,
        name: str,
        klass: WorkClass,
        permits: Permits,
        *,
        age: float,
        delay: float,
        excess: float,
        completion_rate: float,
        now: float,
    ) -> AdmissionDecision:
        """Decides on the first call of a program.

        Args:
            name: Class of work.
            klass: Targets of the class.
            permits: Permits of the model.
            age: Seconds since the program was created.
            delay: Expected queueing delay of a call, in seconds.
            excess: Usage of the workspace beyond its fair share, in fair
                shares.
            completion_rate: Calls that end per second.
            now: Loop time.
        """
        state = self.class_state(name)
        allowed = allowed_delay(state.profile, klass, age) * state.margin
        # Workspaces that exceed their fair share are refused first.
        allowed /= 1 + excess
        delay = max(delay, state.recent_delay(now))
        fill = delay / max(allowed, _MIN_ALLOWED_SECONDS)
        if self._may_start(state, permits, fill, completion_rate, now):
            state.admitted.record(now)
            return _ADMITTED
        cause = "share" if excess > 0 else "target"
        retry_after = self._retry_after(state, klass, delay - allowed, now)
        return AdmissionDecision(False, cause, retry_after)

    def _may_start(
        self,
        state: ClassState,
        permits: Permits,
        fill: float,
        completion_rate: float,
        now: float,
    ) -> bool:
        """Decides by the fraction of the allowed delay that is in use.

        A program adds load for its whole lifetime. If all programs were
        admitted until the delay is too long, and none until it is short again,
        the load would oscillate far beyond what can finish in time. Between
        these two states programs are therefore admitted at a rate: twice the
        rate at which others end when half of the allowed delay is used, the
        same rate when all of it is used, and 0 at 1.5.
        """
        if fill < _UNRESTRICTED_FILL:
            return True
        rate = completion_rate * max(0.0, 3 - 2 * fill)
        cost = state.profile.mean_calls()
        return fill < 1.5 and permits.try_acquire(cost, rate, now)

    def check_deadline(
        self, delay: float, remaining: float
    ) -> AdmissionDecision:
        """Decides on a call of a program that has already started.

        Args:
            delay: Expected queueing delay, in seconds.
            remaining: Seconds until the caller's deadline.
        """
        if delay <= remaining:
            return _ADMITTED
        return AdmissionDecision(
            False, "deadline", max(_MIN_RETRY_AFTER_SECONDS, delay)
        )

    def _retry_after(
        self, state: ClassState, klass: WorkClass, excess: float, now: float
    ) -> float:
        """Returns the seconds after which admission is likely.

        Programs refused within the same second would otherwise all retry
        together and be refused again. Each gets its own time, spaced by the
        interval at which programs are admitted.
        """
        rate = max(state.admitted.per_second(now), 0.1)
        earliest = now + max(_MIN_RETRY_AFTER_SECONDS, excess)
        state.next_retry_at = max(earliest, state.next_retry_at + 1 / rate)
        latest = now + max(klass.target_seconds, 2 * _MIN_RETRY_AFTER_SECONDS)
        if state.next_retry_at > latest:
            state.next_retry_at = earliest
        wait = state.next_retry_at - now
        return wait * self.rng.uniform(1.0, 1.2)
