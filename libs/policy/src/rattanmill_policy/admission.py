"""What may start: limits found by feedback, and refusals in time."""

import math
import random

import msgspec

from rattanmill_core import WorkClass

_DECAY_SECONDS = 60.0
_MOST_DECAYS = 20.0
_MOST_TURNS = 430
_GOES_ON = 0.9
_STEP = 0.2
_TOLERANCE = 2.0
_LEAST_GRADIENT = 0.5
_LEAST_LIMIT = 1.0
_MOST_LIMIT = 256.0
FIRST_LIMIT = 4.0
_LEAST_DELAY_SHARE = 0.5
_DELAY_STEP = 0.1
_DELAY_SECONDS = 3.0
_MARGIN_STEP = 0.03
_LEAST_MARGIN = 0.2
_MOST_PERMITS = 10.0
_FREE_SHARE = 0.5
_LEAST_ALLOWED = 0.02
_LEAST_RETURN_SECONDS = 0.5
_RATE_SECONDS = 5.0


def next_limit(
    limit: float, in_flight: int, seconds: float, least_seconds: float
) -> float:
    """Returns an endpoint's limit after an answer (gradient method).

    Args:
        limit: Limit so far.
        in_flight: Calls there when the answer came, with its own.
        seconds: Time the call took.
        least_seconds: Time it would have taken at the best speed seen.
    """
    gradient = _TOLERANCE * least_seconds / max(seconds, 1e-6)
    gradient = min(1.0, max(_LEAST_GRADIENT, gradient))
    if gradient == 1.0 and in_flight < limit / 2:
        # The limit was not what kept it fast: nothing is learned from that.
        return limit
    goal = limit * gradient + math.sqrt(limit) / 2
    limit += _STEP * (goal - limit)
    return min(_MOST_LIMIT, max(_LEAST_LIMIT, limit))


class Rate:
    """Events a second, over the last few seconds."""

    def __init__(self) -> None:
        self.value = 0.0
        self.at = 0.0
        self.began = 0.0

    def note(self, now: float) -> None:
        """Counts one event."""
        self.began = self.began or now
        self.value = self._decayed(now) + 1
        self.at = now

    def per_second(self, now: float) -> float:
        """Returns the rate."""
        span = min(_RATE_SECONDS, max(0.5, now - self.began))
        window = _RATE_SECONDS * (1 - math.exp(-span / _RATE_SECONDS))
        return self._decayed(now) / window

    def _decayed(self, now: float) -> float:
        return self.value * math.exp((self.at - now) / _RATE_SECONDS)


class Shape:
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
        self.reached += [_GOES_ON**number for number in range(_MOST_TURNS)]
        self.run = 0.0
        self.pause = 0.0
        self.output = 0.0
        self.weight = 1.0
        self.at = 0.0

    def note_call(self, number: int, now: float) -> None:
        """Notes that a program makes its call ``number``, from 1."""
        # Weights grow with time instead of old counts being shrunk; after a
        # long pause only so far, since the power would overflow in half a day.
        pause = (now - (self.at or now)) / _DECAY_SECONDS
        self.weight *= math.exp(min(pause, _MOST_DECAYS))
        self.at = now
        self.reached[min(number, _MOST_TURNS)] += self.weight
        if self.weight > 1e6:
            self.reached = [count / self.weight for count in self.reached]
            self.weight = 1.0

    def learn(self, name: str, value: float) -> None:
        """Takes a sample of ``run``, ``pause`` or ``output``."""
        old = getattr(self, name)
        setattr(self, name, old + _STEP / 2 * (value - old) if old else value)

    def mean_calls(self) -> float:
        """Returns the mean number of calls of a program."""
        if not self.reached[1]:
            return 1.0
        return max(1.0, sum(self.reached) / self.reached[1])

    def calls(self, percent: float) -> int:
        """Returns the number of calls that ``percent`` of programs keep to."""
        least = self.reached[1] * (1 - percent / 100)
        for number in range(1, _MOST_TURNS):
            if self.reached[number + 1] <= least:
                return number
        return _MOST_TURNS


class Verdict(msgspec.Struct):
    """Whether a call may wait for a place, and else when to come back."""

    admitted: bool
    cause: str = ""
    retry_after: float = 0.0


_ADMITTED = Verdict(True)


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
        self.shape = Shape()
        self.admitted = Rate()
        self.next_return = 0.0
        self.delay = 0.0
        self.delay_at = 0.0
        self.margin = 1.0

    def note_call(
        self, delay: float, late: bool, klass: WorkClass, now: float
    ) -> None:
        """Learns from a call that ended.

        Args:
            delay: Seconds it took beyond its run.
            late: Whether its program is past its target by now.
            klass: The class's targets.
            now: Loop time.
        """
        self.delay = self.recent_delay(now)
        self.delay += _DELAY_STEP * (delay - self.delay)
        self.delay_at = now
        # Both steps balance when just the share of late ones is as allowed.
        on_time = klass.target_percent / 100
        factor = 1 - _MARGIN_STEP * on_time
        if not late:
            factor = 1 + _MARGIN_STEP * (1 - on_time)
        self.margin = min(1.0, max(_LEAST_MARGIN, self.margin * factor))

    def recent_delay(self, now: float) -> float:
        """Returns the wait of recent calls; forgotten when none end."""
        return self.delay * math.exp((self.delay_at - now) / _DELAY_SECONDS)


class Permits:
    """Calls' worth of programs that may begin, by what ends meanwhile.

    Shared by all classes of a model: what ends makes room once, not once for
    each class.
    """

    def __init__(self) -> None:
        self.calls = 0.0
        self.at = 0.0

    def take(self, cost: float, rate: float, now: float) -> bool:
        """Lets a program of ``cost`` calls begin if any are left.

        It may overdraw them: a class of long programs would else never find
        enough, while short ones take them as they come.
        """
        earned = rate * (now - (self.at or now))
        self.calls = min(_MOST_PERMITS, self.calls + earned)
        self.at = now
        if self.calls <= 0:
            return False
        self.calls -= cost
        return True


def allowed_delay(shape: Shape, klass: WorkClass, age: float = 0.0) -> float:
    """Returns the wait per call with which a program still meets its target.

    The target's percentile of calls must fit into it. Where even without
    any wait they don't, a short wait is allowed: refusing all would help
    nobody. A program that has spent part of its time on being refused has
    less to spare. If it were admitted like a fresh one, all would begin when
    they are nearly late, and none would be in time.
    """
    calls = shape.calls(klass.target_percent)
    pauses = (calls - 1) * shape.pause
    spare = (klass.target_seconds - pauses) / calls - shape.run
    return max(spare, _LEAST_DELAY_SHARE * shape.run) - age / calls


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

    def of(self, klass: str) -> ClassState:
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
        ending: float,
        now: float,
    ) -> Verdict:
        """Decides on the first call of a program.

        Args:
            name: Class of work.
            klass: Its targets.
            permits: Of the model.
            age: Seconds since the program was made.
            delay: Expected wait of a call.
            excess: What its workspace uses beyond its share, in shares.
            ending: Calls that end, a second.
            now: Loop time.
        """
        state = self.of(name)
        allowed = allowed_delay(state.shape, klass, age) * state.margin
        # A workspace over its share makes room for the others first.
        allowed /= 1 + excess
        delay = max(delay, state.recent_delay(now))
        fill = delay / max(allowed, _LEAST_ALLOWED)
        if self._may_begin(state, permits, fill, ending, now):
            state.admitted.note(now)
            return _ADMITTED
        cause = "share" if excess > 0 else "target"
        back = self._come_back(state, klass, delay - allowed, now)
        return Verdict(False, cause, back)

    def _may_begin(
        self,
        state: ClassState,
        permits: Permits,
        fill: float,
        ending: float,
        now: float,
    ) -> bool:
        """Decides by how much of the allowed wait is used up.

        A program adds load for all its life, not only now. If all were
        admitted until the wait is too long, and none until it is short
        again, the load would swing far beyond what can be in time. So,
        between, programs begin at a rate: twice that at which others end
        when half the wait is used up, the same when all is, none at 1.5.
        """
        if fill < _FREE_SHARE:
            return True
        rate = ending * max(0.0, 3 - 2 * fill)
        cost = state.shape.mean_calls()
        return fill < 1.5 and permits.take(cost, rate, now)

    def check_deadline(self, delay: float, left: float) -> Verdict:
        """Decides on a call of a program that is under way."""
        if delay <= left:
            return _ADMITTED
        return Verdict(False, "deadline", max(_LEAST_RETURN_SECONDS, delay))

    def _come_back(
        self, state: ClassState, klass: WorkClass, excess: float, now: float
    ) -> float:
        """Returns seconds after which a place is likely.

        All that are refused in the same second would come back together and
        be refused again. Each gets a time of its own, as far from the one
        before as programs are admitted one after the other.
        """
        rate = max(state.admitted.per_second(now), 0.1)
        first = now + max(_LEAST_RETURN_SECONDS, excess)
        state.next_return = max(first, state.next_return + 1 / rate)
        most = now + max(klass.target_seconds, 2 * _LEAST_RETURN_SECONDS)
        if state.next_return > most:
            state.next_return = first
        wait = state.next_return - now
        return wait * self.rng.uniform(1.0, 1.2)
