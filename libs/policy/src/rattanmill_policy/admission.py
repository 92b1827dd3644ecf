"""What may start: limits found by feedback, and refusals in time."""

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
    """Returns an endpoint's limit after an answer (gradient method).

    Args:
        limit: Limit so far.
        in_flight: Calls there when the answer came, with its own.
        seconds: Time the call took.
        min_seconds: Time it would have taken at the best speed seen.
    """
    gradient = _LATENCY_TOLERANCE * min_seconds / max(seconds, 1e-6)
    gradient = min(1.0, max(_MIN_GRADIENT, gradient))
    if gradient == 1.0 and in_flight < limit / 2:
        # The limit was not what kept it fast: nothing is learned from that.
        return limit
    target = limit * gradient + math.sqrt(limit) / 2
    limit += _EWMA_WEIGHT * (target - limit)
    return min(_MAX_LIMIT, max(_MIN_LIMIT, limit))


class Rate:
    """Events a second, over the last few seconds."""

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
    """What programs of a class were like lately.

    How many calls a program makes can't be told in advance. How many
    programs reached each number of calls tells a quantile all the same,
    and needs no sign of a program's end.

    Attributes:
        reached: Programs that reached each number of calls, decayed.
        run: Seconds of a call at the best speeds seen, decayed mean.
        pause: Seconds from a call's end to the program's next one.
        output: Tokens of an answer, decayed mean.
    """

    def __init__(self) -> None:
        # Until programs were seen to their ends, one is assumed that goes on
        # at each call: what has just begun looks as if it had one call only,
        # and far too many would be admitted after a start.
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
        """Notes that a program makes its call ``number``, from 1."""
        # Weights grow with time instead of old counts being shrunk; after a
        # long pause only so far, since the power would overflow in half a day.
        elapsed = (now - (self.updated_at or now)) / _DECAY_SECONDS
        self.weight *= math.exp(min(elapsed, _MAX_DECAYS))
        self.updated_at = now
        self.reached[min(number, _MAX_CALLS)] += self.weight
        if self.weight > 1e6:
            self.reached = [count / self.weight for count in self.reached]
            self.weight = 1.0

    def record_sample(self, name: str, value: float) -> None:
        """Takes a sample of ``run``, ``pause`` or ``output``."""
        old = getattr(self, name)
        setattr(
            self, name, old + _EWMA_WEIGHT / 2 * (value - old) if old else value
        )

    def mean_calls(self) -> float:
        """Returns the mean number of calls of a program."""
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
    """Whether a call may wait for a place, and else when to come back."""

    admitted: bool
    cause: str = ""
    retry_after: float = 0.0


_ADMITTED = AdmissionDecision(True)


class ClassState:
    """What admission knows of one class.

    Attributes:
        shape: Shape of its programs.
        admitted: Rate at which programs have begun.
        next_return: Loop time given to the last that was refused.
        delay: Wait of the last calls that ended, in seconds.
        margin: Share of the allowed wait that is made use of. Found by
            feedback, so that the target's percentile of programs is in time.
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
        """Learns from a call that ended.

        Args:
            delay: Seconds it took beyond its run.
            late: Whether its program is past its target by now.
            klass: The class's targets.
            now: Loop time.
        """
        self.mean_delay = self.recent_delay(now)
        self.mean_delay += _DELAY_EWMA_WEIGHT * (delay - self.mean_delay)
        self.delay_updated_at = now
        # Both steps balance when just the share of late ones is as allowed.
        on_time = klass.target_percent / 100
        factor = 1 - _MARGIN_STEP * on_time
        if not late:
            factor = 1 + _MARGIN_STEP * (1 - on_time)
        self.margin = min(1.0, max(_MIN_MARGIN, self.margin * factor))

    def recent_delay(self, now: float) -> float:
        """Returns the wait of recent calls; forgotten when none end."""
        return self.mean_delay * math.exp(
            (self.delay_updated_at - now) / _DELAY_DECAY_SECONDS
        )


class Permits:
    """Calls' worth of programs that may begin, by what ends meanwhile.

    Shared by all classes of a model: what ends makes room once, not once for
    each class.
    """

    def __init__(self) -> None:
        self.balance = 0.0
        self.updated_at = 0.0

    def try_acquire(self, cost: float, rate: float, now: float) -> bool:
        """Lets a program of ``cost`` calls begin if any are left.

        It may overdraw them: a class of long programs would else never find
        enough, while short ones take them as they come.
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
    """Returns the wait per call with which a program still meets its target.

    The target's percentile of calls must fit into it. Where even without
    any wait they don't, a short wait is allowed: refusing all would help
    nobody. A program that has spent part of its time on being refused has
    less to spare. If it were admitted like a fresh one, all would begin when
    they are nearly late, and none would be in time.
    """
    call_count = profile.calls_percentile(klass.target_percent)
    pauses = (call_count - 1) * profile.pause
    spare = (klass.target_seconds - pauses) / call_count - profile.run
    return max(spare, _MIN_DELAY_RATIO * profile.run) - age / call_count


class Admission:
    """Admits programs, or refuses them at once.

    A program that is under way is refused only if its caller's deadline
    can't be met: what it has had would be wasted.

    Args:
        rng: Spreads times to come back.
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
            klass: Its targets.
            permits: Of the model.
            age: Seconds since the program was made.
            delay: Expected wait of a call.
            excess: What its workspace uses beyond its share, in shares.
            completion_rate: Calls that end, a second.
            now: Loop time.
        """
        state = self.class_state(name)
        allowed = allowed_delay(state.profile, klass, age) * state.margin
        # A workspace over its share makes room for the others first.
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
        """Decides by how much of the allowed wait is used up.

        A program adds load for all its life, not only now. If all were
        admitted until the wait is too long, and none until it is short
        again, the load would swing far beyond what can be in time. So,
        between, programs begin at a rate: twice that at which others end
        when half the wait is used up, the same when all is, none at 1.5.
        """
        if fill < _UNRESTRICTED_FILL:
            return True
        rate = completion_rate * max(0.0, 3 - 2 * fill)
        cost = state.profile.mean_calls()
        return fill < 1.5 and permits.try_acquire(cost, rate, now)

    def check_deadline(
        self, delay: float, remaining: float
    ) -> AdmissionDecision:
        """Decides on a call of a program that is under way."""
        if delay <= remaining:
            return _ADMITTED
        return AdmissionDecision(
            False, "deadline", max(_MIN_RETRY_AFTER_SECONDS, delay)
        )

    def _retry_after(
        self, state: ClassState, klass: WorkClass, excess: float, now: float
    ) -> float:
        """Returns seconds after which a place is likely.

        All that are refused in the same second would come back together and
        be refused again. Each gets a time of its own, as far from the one
        before as programs are admitted one after the other.
        """
        rate = max(state.admitted.per_second(now), 0.1)
        earliest = now + max(_MIN_RETRY_AFTER_SECONDS, excess)
        state.next_retry_at = max(earliest, state.next_retry_at + 1 / rate)
        latest = now + max(klass.target_seconds, 2 * _MIN_RETRY_AFTER_SECONDS)
        if state.next_retry_at > latest:
            state.next_retry_at = earliest
        wait = state.next_retry_at - now
        return wait * self.rng.uniform(1.0, 1.2)
